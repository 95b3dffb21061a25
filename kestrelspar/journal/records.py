"""The journal's records: bytes to meaning and back. No I/O.

Each record: bytes of payload and CRC-32 of the rest (4 bytes each, little-endian), kind (1), the message's number (8),
payload. Times are microseconds of the monotonic clock of the process that wrote them; a CLOCK record tells how far that
was behind the wall clock. docs/design/journal.md has the payloads.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field

HEAD = struct.Struct("<IIBQ")  # bytes of payload, checksum of the rest, kind, number of the message
ATTEMPT_AT = struct.Struct("<Hq")  # which, and when
LIMIT_AT = struct.Struct("<qd")  # until when, and calls a second
OUTAGE_AT = struct.Struct("<qqq")  # known until, since when, on its way back since
MOST_PAYLOAD = 96 * 1024
CLOCK, TAKEN, ATTEMPT, NOT_RUN, VERDICT, DONE, ENDED, AWAITS, LIMIT, LEFT = range(
    1, 11
)  # LEFT: in files of its own, left.py
OUTAGE = 11
KNOWN = range(CLOCK, OUTAGE + 1)


@dataclass(slots=True)
class Entry:
    """One open message as the journal holds it. Times are microseconds of this process's clock."""

    number: int
    text: str  # the front's own JSON object
    body: bytes
    deadline: int
    attempts: int = 0
    maybe_since: int | None = None  # when the first attempt left that may have run
    verdict: str = ""  # decided, but the sender side has not been told
    after_ms: int = 0
    awaits: str = ""  # it was accepted, and its outcome comes later: what it waits for
    _sent: dict[int, int] = field(default_factory=dict)  # attempts not known to be harmless

    def tried(self, which: int, sent: int) -> None:
        """An attempt leaves."""
        self.attempts = max(self.attempts, which + 1)
        self._sent[which] = sent
        self._first()

    def not_run(self, which: int) -> None:
        """An attempt proved never to have run."""
        self.attempts = max(self.attempts, which + 1)
        self._sent.pop(which, None)
        self._first()

    def _first(self) -> None:
        self.maybe_since = min(self._sent.values(), default=None)

    def records(self) -> bytes:
        """The whole of it, anew."""
        parts = [record(TAKEN, self.number, taken_payload(self.deadline, self.text, self.body))]
        if self.attempts and self.attempts - 1 not in self._sent:
            parts.append(record(NOT_RUN, self.number, ATTEMPT_AT.pack(self.attempts - 1, 0)))
        for which, sent in self._sent.items():
            parts.append(record(ATTEMPT, self.number, ATTEMPT_AT.pack(which, sent)))
        if self.awaits:
            parts.append(record(AWAITS, self.number, self.awaits.encode()))
        if self.verdict:
            parts.append(record(VERDICT, self.number, verdict_payload(self.verdict, self.after_ms)))
        return b"".join(parts)


def taken_payload(deadline: int, text: str, body: bytes) -> bytes:
    """Of TAKEN: deadline (8 bytes), size of the text (4), the text as JSON, the body."""
    head = text.encode()
    return struct.pack("<qI", deadline, len(head)) + head + body


def verdict_payload(state: str, after_ms: int) -> bytes:
    """Of VERDICT: when to come back, milliseconds (4 bytes), and the end's name."""
    return struct.pack("<I", after_ms) + state.encode()


def ended_record(name: str, until: int, text: str) -> bytes:
    """What is known of an ended message: until when (Unix time, 8 bytes), size of its name (4), name, text."""
    return record(ENDED, 0, struct.pack("<qI", until, len(name.encode())) + name.encode() + text.encode())


def limit_record(endpoint: bytes, until: int, rate: float) -> bytes:
    """What an endpoint told of its limit: known until (Unix time, 8 bytes), calls a second (8), its id."""
    return record(LIMIT, 0, LIMIT_AT.pack(until, rate) + endpoint)


def outage_record(endpoint: bytes, until: int, since: int, back: int) -> bytes:
    """An endpoint's outage, in Unix time (8 bytes each): known until, since when, and on its way back since when, 0 where it
    is not; all 0 where it serves again. Then its id."""
    return record(OUTAGE, 0, OUTAGE_AT.pack(until, since, back) + endpoint)


def record(kind: int, number: int, payload: bytes) -> bytes:
    """A whole record."""
    rest = struct.pack("<BQ", kind, number) + payload
    return struct.pack("<II", len(payload), zlib.crc32(rest)) + rest


@dataclass(frozen=True, slots=True)
class Piece:
    """A whole record, or with a ``fault`` the bytes in its place that are none."""

    at: int
    end: int
    kind: int = 0
    number: int = 0
    payload: bytes = b""
    fault: str = ""


def whole(data: bytes, at: int) -> int:
    """Where the record that begins there ends; 0 where none does."""
    if at + HEAD.size > len(data):
        return 0
    size, check, kind, _ = HEAD.unpack_from(data, at)
    end = int(at + HEAD.size + size)
    if size > MOST_PAYLOAD or end > len(data) or zlib.crc32(memoryview(data)[at + 8 : end]) != check:
        return 0
    return end


def scan(data: bytes) -> Iterator[Piece]:
    """All records in turn, and what is damaged between them; what no record follows is torn, and not told.

    Guards against damage that hides what comes after it: a length may be what is damaged, so it is believed only where
    a record begins behind it. Else the next whole record is looked for, byte by byte.
    """
    at = 0
    while at + HEAD.size <= len(data):
        end = whole(data, at)
        if end:
            _, _, kind, number = HEAD.unpack_from(data, at)
            yield Piece(at, end, kind, number, data[at + HEAD.size : end])
            at = end
            continue
        size, _, kind, number = HEAD.unpack_from(data, at)
        behind = at + HEAD.size + size
        if size <= MOST_PAYLOAD and (behind == len(data) or whole(data, behind)):
            yield Piece(at, behind, fault=f"checksum of a record of {size} bytes, kind {kind}, number {number}")
            at = behind
            continue
        follows = next(
            (
                place
                for place in range(at + 1, len(data) - HEAD.size + 1)
                if data[place + 8] in KNOWN and whole(data, place)
            ),
            None,
        )
        if follows is None:
            return
        yield Piece(at, follows, fault=f"{follows - at} bytes are no record")
        at = follows
