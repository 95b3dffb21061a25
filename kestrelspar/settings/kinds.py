"""Kinds of values in ``kestrelspar.conf``: how each is parsed from a word, formatted and described.

Each field of a section's struct is ``Annotated`` with a ``msgspec.Meta`` made by a function of this module, such as
``duration``. The parser, the checks, ``config show`` and docs/configuration.md all use that metadata.
"""

from __future__ import annotations

import ipaddress
import os
import re
import stat
from collections.abc import Callable
from typing import Any

from msgspec import Meta

MS, SECOND = 1_000, 1_000_000
_NUMBER = re.compile(r"([0-9]+(?:\.[0-9]+)?)([A-Za-z]*)")
# Factors by unit: times in microseconds, sizes in bytes.
TIME_UNITS = {"us": 1, "ms": MS, "s": SECOND, "m": 60 * SECOND, "h": 3_600 * SECOND, "d": 86_400 * SECOND}
SIZE_UNITS = {"B": 1, "KB": 1_000, "MB": 1_000_000, "GB": 1_000_000_000}
SWITCH_WORDS = {"on": True, "yes": True, "true": True, "off": False, "no": False, "false": False}
MAX_SECRET_LENGTH = 4096  # characters


def _meta(kind: str, doc: str, minimum: int | None = None, maximum: int | None = None, **extra: Any) -> Meta:
    return Meta(ge=minimum, le=maximum, description=doc, extra={"kind": kind, **extra})


def duration(doc: str, minimum: int, maximum: int) -> Meta:
    """A time with its unit, stored in microseconds, as are the bounds ``minimum`` and ``maximum``."""
    return _meta("duration", doc, minimum, maximum)


def size(doc: str, minimum: int, maximum: int) -> Meta:
    """A number of bytes with its unit, as a decimal power: a KB has 1,000 bytes."""
    return _meta("size", doc, minimum, maximum)


def number(doc: str, minimum: int, maximum: int) -> Meta:
    """A whole number."""
    return _meta("number", doc, minimum, maximum)


def text(doc: str, maximum: int = 200, minimum: int = 0) -> Meta:
    """One word, or text in quotes. ``maximum`` and ``minimum`` count bytes of UTF-8."""
    return Meta(description=doc, extra={"kind": "text", "most": maximum, "least": minimum})


def choice(doc: str, *names: str) -> Meta:
    """One of a few names."""
    return Meta(description=doc, extra={"kind": "choice", "names": names})


def switch(doc: str) -> Meta:
    """On or off."""
    return _meta("switch", doc)


def address(doc: str) -> Meta:
    """HOST:PORT, where the host is an IPv4 address or localhost: names are not resolved."""
    return _meta("address", doc)


def path(doc: str) -> Meta:
    """A file, relative to the configuration file that names it."""
    return _meta("path", doc)


def secret(doc: str) -> Meta:
    """A file with a secret, which only its owner may read; ``read_secret`` checks that. Relative as in ``path``."""
    return _meta("secret", doc)


def format_quantity(value: int, units: dict[str, int] = TIME_UNITS) -> str:
    """Format a time or size as in the file, in the largest unit that divides it; 0 is ``0s`` or ``0B``."""
    unit = max((name for name, factor in units.items() if value % factor == 0), key=units.__getitem__)
    return f"{value // units[unit]}{unit}" if value else f"0{'s' if units is TIME_UNITS else 'B'}"


def describe_accepted(meta: Meta) -> str:
    """Describe the values that are accepted, for error messages and the documentation."""
    extra = meta.extra or {}
    kind = extra["kind"]
    if kind == "duration":
        return f"a time from {format_quantity(meta.ge or 0)} to {format_quantity(meta.le or 0)}, like 500ms or 30s"  # type: ignore[arg-type]
    if kind == "size":
        minimum, maximum = format_quantity(meta.ge or 0, SIZE_UNITS), format_quantity(meta.le or 0, SIZE_UNITS)  # type: ignore[arg-type]
        return f"a size from {minimum} to {maximum}, like 64KB or 3MB"
    if kind == "number":
        return f"a whole number from {meta.ge} to {meta.le}"
    if kind == "choice":
        return " or ".join(extra["names"])
    if kind == "text":
        return f"text of {extra['least']} to {extra['most']} bytes"
    return {
        "switch": "on or off",
        "address": "HOST:PORT with an IPv4 address or localhost",
        "path": "a file",
        "secret": "a file that only its owner may read",
    }[kind]


def _quantity(word: str, units: dict[str, int]) -> int:
    """Parse a number with its unit; raises ``ValueError`` also for a fraction of the smallest unit."""
    match = _NUMBER.fullmatch(word)
    if match is None or match[2] not in units:
        raise ValueError
    value = float(match[1]) * units[match[2]]
    if value != int(value):
        raise ValueError
    return int(value)


def _address(word: str) -> tuple[str, int]:
    host, _, port = word.rpartition(":")
    host = "127.0.0.1" if host == "localhost" else str(ipaddress.IPv4Address(host))
    if not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ValueError
    return host, int(port)


def _integer(word: str) -> int:
    if not re.fullmatch(r"-?[0-9]{1,18}", word):
        raise ValueError
    return int(word)


_PARSERS: dict[str, Callable[[str], Any]] = {
    "duration": lambda word: _quantity(word, TIME_UNITS),
    "size": lambda word: _quantity(word, SIZE_UNITS),
    "number": _integer,
    "switch": SWITCH_WORDS.__getitem__,
    "address": _address,
    "text": str,
    "choice": str,
    "path": str,
    "secret": str,
}


def parse_value(word: str, meta: Meta, base_directory: str) -> Any:
    """Parse a word as a value of this kind; paths are relative to ``base_directory``.

    Raises ``ValueError``, whose text says what is wrong, but not what is accepted; see ``describe_accepted``.
    """
    extra = meta.extra or {}
    kind = extra["kind"]
    try:
        found = _PARSERS[kind](word)
    except (ValueError, KeyError):
        raise ValueError(f"{word!r:.60} will not do") from None
    if kind in ("path", "secret"):
        return os.path.join(base_directory, found)
    if kind == "choice" and found not in extra["names"]:
        raise ValueError(f"{word!r:.60} is unknown")
    if kind == "text" and (not extra["least"] <= len(found.encode()) <= extra["most"] or "\0" in found):
        raise ValueError(f"{word!r:.60} has {len(found.encode())} bytes" if "\0" not in found else "holds a NUL")
    minimum, maximum = meta.ge, meta.le
    if minimum is not None and found < minimum or maximum is not None and found > maximum:
        raise ValueError(f"{word!r:.60} is out of bounds")
    return found


def format_value(found: Any, meta: Meta) -> str:
    """Format a value as it would be written in the file."""
    kind = (meta.extra or {})["kind"]
    if kind == "duration":
        return format_quantity(found)
    if kind == "size":
        return format_quantity(found, SIZE_UNITS)
    if kind == "switch":
        return "on" if found else "off"
    if kind == "address":
        return f"{found[0]}:{found[1]}"
    return str(found)


def read_secret(file: str) -> str:
    """Read the secret in a file, without the line end.

    Raises ``ValueError`` if the file can't be read, if its mode gives others any access, or unless it holds one line of
    printable text.
    """
    try:
        with open(file, encoding="utf-8") as file_object:
            mode = stat.S_IMODE(os.fstat(file_object.fileno()).st_mode)
            if mode & 0o077:
                raise ValueError(f"{file} may be read by others, mode {mode:03o} (wanted: 600 or less)")
            found = file_object.read(MAX_SECRET_LENGTH + 1).rstrip("\r\n")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8 text"
        raise ValueError(f"{file} can't be read: {reason}") from None
    if not found or len(found) > MAX_SECRET_LENGTH or not found.isprintable():
        raise ValueError(f"{file} holds no usable secret (wanted: one line of printable text)")
    return found
