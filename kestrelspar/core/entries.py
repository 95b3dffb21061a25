"""Entries of registries and of map files: a schema that validates them, and their conversion to next hops."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from kestrelspar.core.transport_map import NO_BOUND, Carrier, NextHop
from kestrelspar.settings.kinds import MS
from kestrelspar.settings.platform import STATES, address, index_of
from snowlock import interface as api

Count = Annotated[int, Meta(ge=0, le=10**9)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]


class Entry(Struct, omit_defaults=True, kw_only=True):
    """One endpoint in the format of discovery, with the fields of an nginx import.

    ``group``: number of the destination. ``tries``: maximum attempts of a message at the destination. ``within_ms``:
    maximum delivery time of a message. ``max_fails``: consecutive failures that count as an outage. Of these and of the
    time-outs, 0 means no bound. ``origin``: the imported file. ``since_ms``: part of the format, and not used.
    """

    name: Name
    address: Annotated[str, Meta(max_length=60)]
    group: Annotated[int, Meta(ge=0, le=2**31)]
    status: Literal["active", "leaving"] = "active"
    zone: Annotated[str, Meta(max_length=200)] | None = None
    type: Annotated[str, Meta(max_length=200)] | None = None
    weight: Annotated[float, Meta(gt=0, le=1e9)] = 1.0
    since_ms: int = 0
    backup: bool = False
    max_fails: Count = 0
    tries: Count = 0
    target: Annotated[str, Meta(pattern="^/[!-~]*$", max_length=1000)] = "/v1/messages"
    read_timeout_ms: Count = 0
    connect_timeout_ms: Count = 0
    within_ms: Count = 0
    origin: str = ""


class Destination(Struct, kw_only=True):
    """Values shared by all endpoints of a destination in an imported map."""

    group: int
    target: Annotated[str, Meta(pattern="^/[!-~]*$", max_length=1000)] = "/v1/messages"
    tries: Count = 0
    read_timeout_ms: Count = 0
    connect_timeout_ms: Count = 0
    within_ms: Count = 0
    location: str = ""
    upstream: str = ""


class OwnMap(Struct, kw_only=True):
    """A map file of the operators, as written by ``kestrelspar nginx import``."""

    endpoints: list[Entry]
    destinations: list[Destination] = []


_decoder = msgspec.json.Decoder(Entry)


def decode(value: bytes | str) -> Entry:
    """Decode an entry from JSON.

    Raises ``ValueError``, which names the invalid field and the expected value, or says that the text is not UTF-8 or
    not JSON.
    """
    try:
        entry = _decoder.decode(value)
    except UnicodeDecodeError as error:
        raise ValueError("not UTF-8") from error
    address(entry.address)
    return entry


def encode(entry: Entry) -> bytes:
    """Encode the entry as JSON, without fields that have their default value."""
    return msgspec.json.encode(entry)


def to_next_hop(entry: Entry, settings: api.Settings, carrier: Carrier) -> NextHop:
    """Convert an entry to a next hop; ``ValueError`` if its zone, type or address is invalid.

    A zone or type is invalid if the settings list others but not this one; where they list none, it is ignored. An
    entry without a zone is in the first zone. An entry without a type has the first kind whose routes have separate
    limits, or kind 0 if there is none.
    """
    separate_kinds = [kind for kind, is_separate in enumerate(settings.routes_apart) if is_separate]
    zone, kind = 0, separate_kinds[0] if separate_kinds else 0
    if entry.zone is not None and settings.zones:
        zone = index_of(entry.zone, settings.zones, "zone")
    if entry.type is not None and settings.kinds:
        kind = index_of(entry.type, settings.kinds, "type")
    endpoint = api.Endpoint(
        entry.name.encode(),
        entry.group,
        zone,
        kind,
        STATES[entry.status],
        entry.weight,
        int(entry.backup),
        entry.tries,
        entry.read_timeout_ms * MS * 1000,
        entry.max_fails,
    )
    return NextHop(
        endpoint,
        address(entry.address),
        carrier,
        entry.target,
        entry.connect_timeout_ms * MS or NO_BOUND,
        entry.within_ms * MS or NO_BOUND,
    )


def with_destination_values(raw: OwnMap) -> list[Entry]:
    """The endpoints of a map; those of a listed destination have its values in place of their own."""
    destinations = {destination.group: destination for destination in raw.destinations}
    entries = []
    for entry in raw.endpoints:
        destination = destinations.get(entry.group)
        if destination is not None:
            entry = msgspec.structs.replace(
                entry,
                target=destination.target,
                tries=destination.tries,
                read_timeout_ms=destination.read_timeout_ms,
                connect_timeout_ms=destination.connect_timeout_ms,
                within_ms=destination.within_ms,
            )
        entries.append(entry)
    return entries


def read_map(path: str) -> list[Entry]:
    """Read the entries of a map file; ``ValueError`` names the file and what is wrong with it.

    That is the error of the read, the invalid field and its expected value, or a name that two endpoints have.
    """
    try:
        raw = msgspec.json.decode(Path(path).read_bytes(), type=OwnMap)
        entries = with_destination_values(raw)
        for entry in entries:
            address(entry.address)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from error
    names = [entry.name for entry in entries]
    duplicate = next((name for name in names if names.count(name) > 1), None) if len(set(names)) < len(names) else None
    if duplicate is not None:
        raise ValueError(f"{path}: two endpoints have the name {duplicate!r:.60}")
    return entries
