"""The last good list, saved in the state directory: a courier that starts while the registry is down serves from it.

A file is a line of JSON with a checksum over the rest, followed by compressed JSON lines, one for each entry. A list is
written to a new file that is renamed over the old one, so a crash leaves one of the two. A file that can't be read
is logged, deleted and not used. Its size is bounded by the section's ``keep``. That space is set aside at the start
from the disk space of the journal, so that a list never takes space needed for a message.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import xxhash
from msgspec import Struct

from kestrelspar.core import entries
from kestrelspar.core.transport_map import NO_BOUND, NextHop
from kestrelspar.journal.removal_log import RemovalLog
from kestrelspar.registry.sync import KnownEntry, KnownList
from kestrelspar.runtime import files
from kestrelspar.settings.kinds import MS
from snowlock import interface as api

FORMAT = 1
BATCH_SIZE = 500  # entries compressed before other tasks of the event loop run
MAX_HEAD_SIZE = 4096
MAX_UNPACKED_SIZE = 400_000_000  # bytes of the decompressed rows; a longer list is cut off there
REMOVALS_DIVISOR = 4  # 1 / REMOVALS_DIVISOR of ``keep`` is for the log of removals since the list was written
BLOCK_SIZE = 512  # bytes


class ListHeader(Struct, kw_only=True):
    """The first line of the file."""

    format: int
    type: str  # "etcd" or "consul"
    prefix: str
    cluster: str
    revision: int  # of the registry; Consul: the index
    at_ms: int  # Unix time in ms at which the list was last known to be current
    count: int  # number of known keys; the file has no rows for those whose value could never be read
    xxh64: str  # checksum of the rest of the file, in hexadecimal
    # Revision of the removal log (journal/removal_log.py) up to which the list contains its rows; 0: none of them.
    told: int = 0


class ListRow(Struct):
    """One entry of the list."""

    key: str
    revision: int
    entry: entries.Entry


class SavedList(Struct):
    """A list that was read from its file."""

    head: ListHeader
    rows: list[ListRow]


def reserve(keep: int) -> int:
    """Disk space in bytes that a saved list of at most ``keep`` bytes may take at any time.

    It covers the old and the new file, in whole blocks, and the log of removals. 0 if ``keep`` is 0: nothing is saved.
    """
    return (
        2 * (-(-keep // BLOCK_SIZE) * BLOCK_SIZE) + RemovalLog.max_disk_usage(keep // REMOVALS_DIVISOR) if keep else 0
    )


def entry_from_hop(hop: NextHop, settings: api.Settings) -> entries.Entry:
    """Convert a next hop back to an entry. A bound on connecting or delivery that does not exist is 0 in the entry."""
    endpoint = hop.endpoint
    return entries.Entry(
        name=endpoint.id.decode(),
        address=f"{hop.address[0]}:{hop.address[1]}",
        group=endpoint.destination,
        status="active" if endpoint.state is api.EndpointState.READY else "leaving",
        zone=settings.zones[endpoint.zone] if settings.zones else None,
        type=settings.kinds[endpoint.kind] if settings.kinds else None,
        weight=endpoint.rate,
        backup=bool(endpoint.rank),
        tries=endpoint.tries,
        target=hop.target,
        read_timeout_ms=endpoint.patience_ns // (MS * 1000),
        max_fails=endpoint.fails,
        connect_timeout_ms=0 if hop.connect_timeout == NO_BOUND else hop.connect_timeout // MS,
        within_ms=0 if hop.delivery_timeout == NO_BOUND else hop.delivery_timeout // MS,
    )


def path(state_directory: str, label: str) -> Path:
    """The file of the saved list of a registry; characters of the label that may be unsafe in a name are escaped."""
    escaped_label = "".join(
        char if char.isalnum() and char.isascii() or char in "-_" else f"%{ord(char):x}" for char in label
    )
    return Path(state_directory) / f"registry-{escaped_label[:120]}.list"


def remove_unused(state_directory: str, labels: list[str]) -> list[str]:
    """Remove files of registries that are no longer followed, and incomplete files. Returns their names."""
    wanted = {path(state_directory, label).name for label in labels}
    unwanted = [
        name
        for name in sorted(os.listdir(state_directory))
        if name.startswith("registry-")
        and (
            name.endswith((".list.new", ".left.new"))
            or name.endswith((".list", ".left"))
            and f"{name[:-5]}.list" not in wanted
        )
    ]
    for name in unwanted:
        (Path(state_directory) / name).unlink(missing_ok=True)
    return unwanted


def write(
    file: Path,
    max_bytes: int,
    head: ListHeader,
    known_entries: list[tuple[str, KnownEntry]],
    settings: api.Settings,
    yield_to_loop: Callable[[], None],
) -> int:
    """Write the list and return its size in bytes, or write nothing and return 0 if it is larger than ``max_bytes``.

    Calls ``yield_to_loop`` after each batch to let other tasks run. If the disk fails, it raises ``OSError`` and the
    old file stays. ``head.xxh64`` is filled in. Entries without a next hop are left out.
    """
    packer, packed, size = zlib.compressobj(1), [], 0
    encode = msgspec.json.encode
    for start in range(0, len(known_entries), BATCH_SIZE):
        lines = [
            encode(ListRow(key, known.revision, entry_from_hop(known.hop, settings)))
            for key, known in known_entries[start : start + BATCH_SIZE]
            if known.hop is not None
        ]
        packed.append(packer.compress(b"\n".join([*lines, b""])))
        size += len(packed[-1])
        if size > max_bytes:
            return 0
        yield_to_loop()
    packed.append(packer.flush())
    body = b"".join(packed)
    head.xxh64 = xxhash.xxh64_hexdigest(body)
    data = encode(head) + b"\n" + body
    if len(data) > max_bytes:
        return 0
    files.replace(file, data)
    return len(data)


def read(file: Path, max_bytes: int) -> SavedList | None:
    """The saved list, or None if there is none. Raises ``ValueError`` if it can't be used."""
    try:
        if file.stat().st_size > max_bytes:
            raise ValueError(f"{file.name} is larger than {max_bytes} bytes")
        data = file.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise ValueError(f"{file.name}: {error}") from error
    head_line, _, body = data.partition(b"\n")
    try:
        head = msgspec.json.decode(head_line, type=ListHeader)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"{file.name}: {error}") from error
    if head.format != FORMAT:
        raise ValueError(f"{file.name}: format {head.format}, expected {FORMAT}")
    if xxhash.xxh64_hexdigest(body) != head.xxh64:
        raise ValueError(f"{file.name}: checksum mismatch")
    try:
        rows = list(_rows(zlib.decompressobj().decompress(body, MAX_UNPACKED_SIZE)))
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"{file.name}: {error}") from error
    return SavedList(head, rows)


def _rows(text: bytes) -> Iterator[ListRow]:
    decoder = msgspec.json.Decoder(ListRow)
    for line in text.splitlines():
        yield decoder.decode(line)


def restore(
    known_list: KnownList,
    saved: SavedList,
    make_hop: Callable[[entries.Entry], NextHop],
    update: Any,
    removed: dict[str, api.EndpointState],
) -> int:
    """Put a saved list into a known list.

    ``make_hop`` converts an entry to a next hop, or raises ``ValueError``. ``removed`` has the keys that were reported
    as gone or draining after the list was saved. ``update`` gets the changes. Returns the number of entries left out
    because the current settings no longer accept them.
    """
    rejected = 0
    for row in saved.rows:
        state = removed.get(row.key)
        if state is api.EndpointState.GONE:
            continue
        if state is not None:  # draining; at revision 0, so that whatever the registry sends replaces it
            row.entry.status, row.revision = "leaving", 0
        try:
            known_list.restore(row.key, make_hop(row.entry), row.revision, update)
        except ValueError:
            rejected += 1
    return rejected
