"""Encoding and decoding of journal records. No I/O.

Layout of a record, little-endian: payload size in bytes (4 bytes), CRC-32 of all that follows it (4), kind (1), message
number (8; 0 in records of no message), payload. Times in TAKEN and ATTEMPT records are microseconds of the monotonic
clock of the process that wrote them; a CLOCK record has the offset from that clock to Unix time when the process was
started, and a BOOT record the boot of the machine that the clock counts from. Expiries and the times of outages are
monotonic times plus that offset. The payloads are described in docs/design/journal.md.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

HEAD = struct.Struct("<IIBQ")  # payload size, checksum of what follows it, kind, message number
ATTEMPT_FIELDS = struct.Struct("<Hq")  # attempt index, time at which it was sent (0 in NOT_RUN)
LIMIT_FIELDS = struct.Struct("<qd")  # expiry (Unix time in microseconds), calls per second
OUTAGE_FIELDS = struct.Struct("<qqq")  # expiry, start of the outage, start of the recovery (Unix microseconds)
MAX_PAYLOAD = 96 * 1024  # bytes
MAX_RECORD = HEAD.size + MAX_PAYLOAD  # bytes
SCAN_WINDOW = 8 * MAX_RECORD  # bytes of a file that are read at once
# Kinds of records. TAKEN: a message was accepted, or its content was replaced; ATTEMPT: an attempt is about to be sent;
# NOT_RUN: an attempt never ran, as its outcome proved; AWAITS: the next hop accepted the message, and its outcome
# follows; VERDICT: the message's final state is decided; DONE: it needs no further report. ENDED: text retained on an
# ended message. LIMIT and OUTAGE: rate limit and outage of an endpoint. LEFT: removals and drains, written only to the
# files of removal_log.py. BOOT: boot of the machine of the CLOCK record that follows.
CLOCK, TAKEN, ATTEMPT, NOT_RUN, VERDICT, DONE, ENDED, AWAITS, LIMIT, LEFT = range(1, 11)
OUTAGE, BOOT = 11, 12
KNOWN_KINDS = range(CLOCK, BOOT + 1)


@dataclass(slots=True)
class Entry:
    """One open message in the journal. Times are microseconds of this process's monotonic clock."""

    number: int
    text: str  # JSON object with the fields of the message other than body and deadline
    body: bytes
    deadline: int
    attempts: int = 0  # number of attempts so far, with those that never ran
    may_have_run_since: int | None = None  # start of the first attempt that may have run
    verdict: str = ""  # decided final state, which may not have been reported to the sender side yet; empty: none
    after_ms: int = 0  # retry-after delay of a returned message, in milliseconds
    awaits: str = ""  # JSON data by which the awaited outcome is recognized; empty: none is awaited
    _unresolved: dict[int, int] = field(default_factory=dict)  # by attempt index: start, if it may have run

    def attempted(self, index: int, sent: int) -> None:
        """Record that an attempt is about to be sent."""
        self.attempts = max(self.attempts, index + 1)
        self._unresolved[index] = sent
        self._update_may_have_run_since()

    def not_run(self, index: int) -> None:
        """Record that an attempt never ran, as its outcome proved."""
        self.attempts = max(self.attempts, index + 1)
        self._unresolved.pop(index, None)
        self._update_may_have_run_since()

    def _update_may_have_run_since(self) -> None:
        self.may_have_run_since = min(self._unresolved.values(), default=None)

    def records(self) -> bytes:
        """The records that compaction writes for the entry."""
        parts = [record(TAKEN, self.number, taken_payload(self.deadline, self.text, self.body))]
        if self.attempts and self.attempts - 1 not in self._unresolved:
            # Without an ATTEMPT record of the last attempt, this one preserves the number of attempts.
            parts.append(record(NOT_RUN, self.number, ATTEMPT_FIELDS.pack(self.attempts - 1, 0)))
        for index, sent in self._unresolved.items():
            parts.append(record(ATTEMPT, self.number, ATTEMPT_FIELDS.pack(index, sent)))
        if self.awaits:
            parts.append(record(AWAITS, self.number, self.awaits.encode()))
        if self.verdict:
            parts.append(record(VERDICT, self.number, verdict_payload(self.verdict, self.after_ms)))
        return b"".join(parts)


def taken_payload(deadline: int, text: str, body: bytes) -> bytes:
    """Payload of TAKEN: deadline (8 bytes), size of the text in bytes (4), the text (JSON), the body."""
    encoded_text = text.encode()
    return struct.pack("<qI", deadline, len(encoded_text)) + encoded_text + body


def verdict_payload(state: str, after_ms: int) -> bytes:
    """Payload of VERDICT: retry-after delay in milliseconds (4 bytes), name of the final state."""
    return struct.pack("<I", after_ms) + state.encode()


def ended_record(name: str, until: int, text: str) -> bytes:
    """Record of a text retained on an ended message.

    Payload: expiry (Unix microseconds, 8 bytes), size of the name in bytes (4), name, text.
    """
    return record(ENDED, 0, struct.pack("<qI", until, len(name.encode())) + name.encode() + text.encode())


def limit_record(endpoint: bytes, until: int, rate: float) -> bytes:
    """Record of an endpoint's rate limit: expiry (Unix microseconds, 8 bytes), calls per second (8), endpoint id."""
    return record(LIMIT, 0, LIMIT_FIELDS.pack(until, rate) + endpoint)


def outage_record(endpoint: bytes, until: int, since: int, recovering_since: int) -> bytes:
    """Record of an endpoint's outage.

    Payload: expiry, start, and start of the recovery (Unix microseconds, 8 bytes each), endpoint id. The start of the
    recovery is 0 if it has not begun; all times are 0 if the endpoint serves again.
    """
    return record(OUTAGE, 0, OUTAGE_FIELDS.pack(until, since, recovering_since) + endpoint)


def record(kind: int, number: int, payload: bytes) -> bytes:
    """Encode one record."""
    rest = struct.pack("<BQ", kind, number) + payload
    return struct.pack("<II", len(payload), zlib.crc32(rest)) + rest


@dataclass(frozen=True, slots=True)
class ScannedRecord:
    """A valid record, or a damaged range of bytes, which ``fault`` describes."""

    at: int  # offset of its first byte
    end: int  # offset after its last byte
    kind: int = 0
    number: int = 0
    payload: bytes = b""
    fault: str = ""


def record_end(data: bytes, at: int) -> int:
    """The end offset of the valid record that begins at ``at``; 0 if there is none."""
    if at + HEAD.size > len(data):
        return 0
    size, checksum, kind, _ = HEAD.unpack_from(data, at)
    end = int(at + HEAD.size + size)
    if size > MAX_PAYLOAD or end > len(data) or zlib.crc32(memoryview(data)[at + 8 : end]) != checksum:
        return 0
    return end


def scan_file(path: Path) -> Iterator[ScannedRecord]:
    """Yield what ``scan`` yields of a file's content, without holding the whole file in memory; nothing without a file.

    A damaged range is held as a whole. Raises ``OSError`` if the file can't be read.
    """
    if not path.exists():
        return
    with path.open("rb", buffering=0) as file:
        window, base, is_last = b"", 0, False
        while not is_last:
            more = file.read(SCAN_WINDOW)
            is_last = not more
            window += more
            scanned_bytes = 0
            for scanned in scan(window, base, is_last):
                scanned_bytes = scanned.end - base
                yield scanned
            window, base = window[scanned_bytes:], base + scanned_bytes


def scan(data: bytes, base: int = 0, is_last: bool = True) -> Iterator[ScannedRecord]:
    """Yield all records in order, and the damaged ranges before and between them.

    ``data`` begins at the offset ``base`` of a file. Unless ``is_last`` is set, more bytes follow, and what can't be
    told without them is not yielded: the last records, and a damaged range that has no valid record behind it.

    Invalid bytes that no valid record follows are a torn write. They are not reported, unless their length field points
    exactly to the end of the data. As the length field of a damaged record may be damaged, too, it is used to skip the
    record only if a valid record or the end of the data follows there. Otherwise the next valid record of a known kind
    is searched byte by byte, so that none is hidden.
    """
    at = 0
    while at + HEAD.size <= len(data) and (is_last or at + 2 * MAX_RECORD <= len(data)):
        end = record_end(data, at)
        if end:
            _, _, kind, number = HEAD.unpack_from(data, at)
            yield ScannedRecord(base + at, base + end, kind, number, data[at + HEAD.size : end])
            at = end
            continue
        size, _, kind, number = HEAD.unpack_from(data, at)
        next_at = at + HEAD.size + size
        if size <= MAX_PAYLOAD and (next_at == len(data) or record_end(data, next_at)):
            yield ScannedRecord(
                base + at,
                base + next_at,
                fault=f"checksum mismatch in a record of {size} bytes, kind {kind}, number {number}",
            )
            at = next_at
            continue
        next_valid = next(
            (
                candidate
                for candidate in range(at + 1, len(data) - HEAD.size + 1)
                if data[candidate + 8] in KNOWN_KINDS and record_end(data, candidate)
            ),
            None,
        )
        if next_valid is None:
            return
        yield ScannedRecord(base + at, base + next_valid, fault=f"{next_valid - at} bytes are not a valid record")
        at = next_valid
