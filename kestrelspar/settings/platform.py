"""Reads the platform's JSON, checks it and fills in defaults. Errors name the invalid key."""

from __future__ import annotations

import os
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from snowlock import interface as api
from snowlock import settings
from snowlock.settings import Section, SettingsError


def address(text: Any) -> tuple[str, int]:
    """Parse HOST:PORT, without resolving the host. Raises ``ValueError`` for anything else."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r:.60} is not HOST:PORT")
    return host, int(port)


def index_of(name: Any, names: tuple[str, ...], what: str) -> int:
    """The index of a name in a list of the settings.

    Raises ``ValueError`` if it is unknown; ``what`` describes the name in that error.
    """
    for index, known in enumerate(names):
        if name == known:
            return index
    raise ValueError(f"unknown {what} {name!r:.40}")


# States of an endpoint by their names in discovery's list.
STATES = {"active": api.EndpointState.READY, "leaving": api.EndpointState.DRAINING, "left": api.EndpointState.GONE}


@dataclass(frozen=True, slots=True)
class Config:
    """The platform's configuration of one courier."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: str  # path of the state directory
    seed: int
    sockets: int  # maximum number of open descriptors
    memory: int  # bytes
    disk_bytes: int
    known: dict[str, Any]  # a saved list of discovery, which is used at a start; empty: none
    settings: api.Settings


def positive(value: Any) -> float:
    """Parse a number above 0 and below 1e9. Raises ``ValueError`` for anything else."""
    number = float(value)
    if not 0 < number < 1e9:
        raise ValueError
    return number


def _seed(value: Any) -> int:
    """Convert any text or number to a seed for random numbers.

    Hexadecimal text counts as a number, and the digits of a number as hexadecimal text; other text is hashed.
    """
    text = str(value)
    try:
        return int(text, 16)
    except ValueError:
        return zlib.crc32(text.encode())


def _object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError
    return value


def read_json(path: str) -> Any:
    """Read the JSON in a file. Raises ``SettingsError``, which names the file, if it can't be read or is invalid."""
    try:
        return ujson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error


def read(environment: Mapping[str, str], reload: bool = False) -> Config:
    """Read the configuration from the file that RELAY_CONFIG names.

    RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY and RELAY_STATE override the keys of the same name, unless they are empty.
    On a reload, the file is newer than the environment, so its address of discovery overrides RELAY_DISCOVERY. Raises
    ``SettingsError`` for a missing or invalid configuration.
    """
    if "RELAY_CONFIG" not in environment:
        raise SettingsError("RELAY_CONFIG: missing")
    raw = _object_or_error(read_json(environment["RELAY_CONFIG"]))
    for key in ("name", "listen", "discovery", "state"):
        variable = f"RELAY_{key.upper()}"
        if environment.get(variable) and not (reload and key == "discovery" and key in raw):
            raw[key] = environment[variable]
    top = Section(raw, "config")
    limits = top.section("limits", optional=True)
    config = Config(
        name=top.get("name", str, "courier"),
        listen=top.get("listen", address),
        discovery=top.get("discovery", address),
        state=top.get("state", _state_directory),
        seed=top.get("seed", _seed, 1),
        sockets=int(limits.get("sockets", positive, 1024)),
        memory=int(limits.get("memory_mb", positive, 64.0) * 1_000_000),
        disk_bytes=int(limits.get("disk_mb", positive, 3.0) * 1_000_000),
        known=top.get("known", _object, {}),
        settings=top.get("settings", _settings),
    )
    top.raise_errors()
    return config


def _settings(value: Any) -> api.Settings:
    return settings.read(_object(value))


def _object_or_error(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise SettingsError("config: must be an object")
    return value


def _state_directory(value: Any) -> str:
    if not os.path.isdir(str(value)):
        raise ValueError
    return str(value)
