"""The one place where configuration is read, checked and given defaults. Errors name the faulty key."""

from __future__ import annotations

import os
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from kestrelspar import plugins
from kestrelspar.courier import Carrier, NextHop
from kestrelspar.loop import MS, SECOND
from snowlock import interface as api
from snowlock import settings
from snowlock.settings import Section, SettingsError


def address(text: Any) -> tuple[str, int]:
    """HOST:PORT; ``ValueError`` where it is not that."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r:.60} is not HOST:PORT")
    return host, int(port)


def place(name: Any, names: tuple[str, ...], what: str) -> int:
    """The place of a name in the settings' list."""
    for index, known in enumerate(names):
        if name == known:
            return index
    raise ValueError(f"unknown {what} {name!r:.40}")


STATES = {"active": api.EndpointState.READY, "leaving": api.EndpointState.DRAINING,
          "left": api.EndpointState.GONE}


@dataclass(frozen=True, slots=True)
class Account:
    """A contractor that may bind."""

    system_id: str
    password: str
    tenant: int
    cls: int
    window: int


@dataclass(frozen=True, slots=True)
class Gateway:
    """An SMPP gateway: a next hop."""

    name: str
    address: tuple[str, int]
    dest: int
    zone: int
    kind: int
    system_id: str
    password: str
    bind: str
    window: int
    response: int  # microseconds, as all times here
    enquire: int
    throttle_wait: int
    source_addr: str
    destination_addr: str


@dataclass(frozen=True, slots=True)
class Smpp:
    """The SMPP front."""

    listen: tuple[str, int]
    system_id: str
    bind_within: int
    enquire: int
    response: int
    receipt_hold: int
    most_sessions: int
    accounts: tuple[Account, ...]
    service_types: dict[str, int]
    destinations: dict[str, int]  # by prefix of the destination address
    gateways: tuple[Gateway, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """All that the program is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: str
    seed: int
    sockets: int
    memory: int
    disk_bytes: int
    known: dict[str, Any]
    settings: api.Settings


def _positive(value: Any) -> float:
    number = float(value)
    if not 0 < number < 1e9:
        raise ValueError
    return number


def _seed(value: Any) -> int:
    """Any text or number will do for random numbers; hexadecimal text is taken at its value."""
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
    """The JSON in a file; errors name the file."""
    try:
        return ujson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error


def read(environment: Mapping[str, str], again: bool = False) -> Config:
    """Configuration from RELAY_CONFIG's file; the other RELAY_ variables go before it.

    Read again, the file is newer than the environment: where discovery is, it says.
    """
    if "RELAY_CONFIG" not in environment:
        raise SettingsError("RELAY_CONFIG: missing")
    raw = _object_or_error(read_json(environment["RELAY_CONFIG"]))
    for key in ("name", "listen", "discovery", "state"):
        variable = f"RELAY_{key.upper()}"
        if environment.get(variable) and not (again and key == "discovery" and key in raw):
            raw[key] = environment[variable]
    top = Section(raw, "config")
    limits = top.section("limits", optional=True)
    return Config(
        name=top.get("name", str, "courier"),
        listen=top.get("listen", address),
        discovery=top.get("discovery", address),
        state=top.get("state", _folder),
        seed=top.get("seed", _seed, 1),
        sockets=int(limits.get("sockets", _positive, 1024)),
        memory=int(limits.get("memory_mb", _positive, 64.0) * 1_000_000),
        disk_bytes=int(limits.get("disk_mb", _positive, 3.0) * 1_000_000),
        known=top.get("known", _object, {}),
        settings=settings.read(top.get("settings", _object)),
    )


def _object_or_error(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise SettingsError("config: an object is needed")
    return value


def _folder(value: Any) -> str:
    if not os.path.isdir(str(value)):
        raise ValueError
    return str(value)


def read_map(path: str, told: api.Settings, carrier: Carrier) -> list[NextHop]:
    """A transport map of the operators' own, as ``kestrelspar.nginx`` writes it."""
    top = Section(_object_or_error(read_json(path)), "map")
    groups = {d.get("group", int): d for d in top.sections("destinations")}
    apart = [kind for kind, is_apart in enumerate(told.routes_apart) if is_apart]
    hops = []
    for e in top.sections("endpoints", optional=False):
        d = groups.get(e.get("group", int), Section({}, "map.destinations"))
        tries, read, come_up, within = (
            int(d.get(key, _positive, 0))
            for key in ("tries", "read_timeout_ms", "connect_timeout_ms", "within_ms")
        )
        endpoint = api.Endpoint(
            e.get("name", str).encode(), e.get("group", int),
            e.get("zone", lambda value: place(value, told.zones, "zone"), 0),
            e.get("type", lambda value: place(value, told.kinds, "type"), apart[0] if apart else 0),
            e.get("status", STATES.__getitem__), e.get("weight", _positive, 1.0),
            int(e.get("backup", _truth, False)), tries, read * MS * 1000,
            int(e.get("max_fails", _positive, 0)),
        )
        target = d.get("target", str, "/v1/messages")
        hops.append(NextHop(endpoint, e.get("address", address), carrier, target, come_up * MS or 1 << 62,
                            within * MS or 1 << 62))
    return hops


def read_plugins(path: str) -> list[plugins.Rule]:
    """The rules of the scripts that a file names, relative to it; none where it is absent or says off."""
    if not os.path.exists(path):
        return []
    top = Section(_object_or_error(read_json(path)), "plugins")
    scripts = top.get("scripts", _strings, [])
    if not top.get("enabled", _truth, False):
        return []
    return [rule for name in scripts for rule in plugins.read(Path(path).parent / name)]


def _strings(value: Any) -> list[str]:
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ValueError
    return value


def read_smpp(path: str, told: api.Settings) -> Smpp | None:
    """The SMPP front's file; nothing where it is absent or says that the front is off."""
    if not os.path.exists(path):
        return None
    top = Section(_object_or_error(read_json(path)), "smpp")
    if not top.get("enabled", _truth, False):
        return None
    classes = tuple(c.name for c in told.classes)
    tenants = tuple(t.name for t in told.tenants)

    def named(names: tuple[str, ...], what: str) -> Callable[[Any], int]:
        return lambda value: place(value, names, what) if names else 0

    def integers(value: Any) -> dict[str, int]:
        return {str(key): int(number) for key, number in _object(value).items()}

    accounts = tuple(
        Account(
            system_id=a.get("system_id", _text(15)), password=a.get("password", _text(8)),
            tenant=a.get("tenant", named(tenants, "tenant"), 0), cls=a.get("class", named(classes, "class")),
            window=int(a.get("window", _positive, 10)),
        )
        for a in top.sections("accounts")
    )
    gateways = tuple(
        Gateway(
            name=g.get("name", _text(40)), address=g.get("address", address),
            dest=g.get("dest", int), zone=g.get("zone", named(told.zones, "zone"), 0),
            kind=g.get("kind", named(told.kinds, "kind"), 0),
            system_id=g.get("system_id", _text(15)), password=g.get("password", _text(8)),
            bind=g.get("bind", _bind, "transceiver"), window=int(g.get("window", _positive, 10)),
            response=int(g.get("response_ms", _positive, 10_000) * MS),
            enquire=int(g.get("enquire_link_ms", _positive, 30_000) * MS),
            throttle_wait=int(g.get("throttle_wait_ms", _positive, 1_000) * MS),
            source_addr=g.get("source_addr", _text(20), ""),
            destination_addr=g.get("destination_addr", _text(20), ""),
        )
        for g in top.sections("gateways")
    )
    names = [g.name for g in gateways]
    if len(set(names)) < len(names):
        raise SettingsError("smpp.gateways: two have one name")
    return Smpp(
        listen=top.get("listen", address),
        system_id=top.get("system_id", _text(15), "kestrelspar"),
        bind_within=int(top.get("bind_within_ms", _positive, 5_000) * MS),
        enquire=int(top.get("enquire_link_ms", _positive, 30_000) * MS),
        response=int(top.get("response_ms", _positive, 5_000) * MS),
        receipt_hold=int(top.get("receipt_hold_s", _positive, 3_600) * SECOND),
        most_sessions=int(top.get("most_sessions", _positive, 64)),
        accounts=accounts,
        service_types={
            name: place(cls, classes, f"class for service type {name!r} in smpp.service_types")
            for name, cls in top.get("service_types", _object, {}).items()
        },
        destinations=top.get("destinations", integers, {}),
        gateways=gateways,
    )


def _truth(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError
    return value


def _text(most: int) -> Callable[[Any], str]:
    def check(value: Any) -> str:
        if not isinstance(value, str) or len(value.encode()) > most or "\0" in value:
            raise ValueError
        return value
    return check


def _bind(value: Any) -> str:
    if value not in ("transmitter", "transceiver"):  # a receiver could not submit
        raise ValueError
    return str(value)
