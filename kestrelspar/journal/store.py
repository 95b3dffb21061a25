"""The journal in the folder that lasts: what the courier has taken on, and what became of it.

Append-only records, each with its length and checksum, by plain writes. Compaction writes the open messages
to a second file and renames it over the first; both together stay within the folder's limit.
"""

from __future__ import annotations

import os
import struct
import time
from pathlib import Path

from kestrelspar.journal import records
from kestrelspar.journal.records import (
    ATTEMPT,
    AWAITS,
    CLOCK,
    DONE,
    ENDED,
    LIMIT,
    NOT_RUN,
    OUTAGE,
    TAKEN,
    VERDICT,
    Entry,
)
from kestrelspar.runtime import logs

BLOCK = 512
MOST_ENDED = 0.25  # of the disk, for what is known of ended messages: the oldest go first
LATER_RECORDS = 256  # room kept for each open message's end
LATER_ATTEMPT = 64  # and for each of its attempts: that it leaves, and that it never ran
MOST_TOLD = 10  # bad records by place; the rest only by number
LIMIT_FOR, LIMIT_AGAIN = 60_000_000, 5_000_000  # a limit is known so long, and written again after the latter
MOST_LIMITS = 256  # endpoints whose limit is kept: those that told it last
SHIFT_LEAST = 2_000_000  # a smaller step between the clocks of two processes is the wall clock's correction
SHIFT_BACK = (
    3_600_000_000  # and so is one that would move times on, up to here: a machine that started anew moves them back
)


def _blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


class Journal:
    """The open messages, and the file that outlasts the process."""

    def __init__(self, folder: str, limit: int, attempts: int = 8) -> None:
        self._path, self._limit = Path(folder) / "journal", limit
        self._later = LATER_RECORDS + LATER_ATTEMPT * attempts
        self._spare = Path(folder) / "journal.new"
        self.entries: dict[int, Entry] = {}
        self._live = 0  # bytes that the open messages take in a fresh file, later records included
        self._weights: dict[int, int] = {}
        self._ended: dict[str, tuple[int, str]] = {}  # by name: until when (Unix time, microseconds), and what
        self._limits: dict[bytes, tuple[int, float]] = {}  # by endpoint: until when (as above), calls a second
        self._outages: dict[bytes, tuple[int, int, int]] = {}  # by endpoint: until when, since, back since (as above)
        self._ended_live = 0  # bytes of these in a fresh file
        self._size = 0
        self._offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self._spare.unlink(missing_ok=True)  # a compaction that did not come to its rename
        self._load()
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT, 0o600)
        os.lseek(self._file, self._size, os.SEEK_SET)
        os.ftruncate(self._file, self._size)
        if not self._compact() and not self._size:
            self._append(self._clock())  # else a later process could not tell what our times mean

    def _clock(self) -> bytes:
        return records.record(CLOCK, 0, struct.pack("<q", self._offset))

    def _load(self) -> None:
        """Read the file; a torn tail is cut, a bad record is logged and passed over."""
        data = self._path.read_bytes() if self._path.exists() else b""
        at = shift = bad = 0
        for piece in records.scan(data):
            at = piece.end
            try:
                if piece.fault:
                    raise ValueError(piece.fault)
                shift = self._replay(piece.kind, piece.number, piece.payload, shift)
            except (ValueError, struct.error, KeyError) as error:
                bad += 1
                if bad <= MOST_TOLD:
                    logs.error("journal-bad-record", at=piece.at, why=f"{error!r:.100}")
        if at < len(data):
            logs.warn("journal-torn", bytes=len(data) - at)
        if bad:
            logs.error("journal-bad-records", records=bad)
        self._size = at

    def _replay(self, kind: int, number: int, payload: bytes, shift: int) -> int:
        """Take in one record; returns what to add to the times of those that follow."""
        if kind == ENDED:
            until, size = struct.unpack_from("<qI", payload)
            self._note(payload[12 : 12 + size].decode(), until, payload[12 + size :].decode())
            return shift
        if kind == LIMIT:
            until, rate = records.LIMIT_AT.unpack_from(payload)
            self._keep_limit(payload[records.LIMIT_AT.size :], until, rate)
            return shift
        if kind == OUTAGE:
            self._keep_outage(payload[records.OUTAGE_AT.size :], *records.OUTAGE_AT.unpack_from(payload))
            return shift
        if kind == CLOCK:
            step = int(struct.unpack("<q", payload)[0]) - self._offset
            # Guards against a wall clock that was set back: deadlines and windows would end later than they do.
            return 0 if -SHIFT_LEAST < step < SHIFT_BACK else step
        if kind == TAKEN:
            deadline, size = struct.unpack_from("<qI", payload)
            text = payload[12 : 12 + size].decode()
            self._hold(Entry(number, text, payload[12 + size :], deadline + shift))
        elif kind == DONE:
            self._drop(number)
        else:
            entry = self.entries[number]
            if kind == AWAITS:
                self._awaits(entry, payload.decode())
            elif kind == VERDICT:
                entry.after_ms, entry.verdict = struct.unpack_from("<I", payload)[0], payload[4:].decode()
            else:
                which, sent = records.ATTEMPT_AT.unpack(payload)
                entry.tried(which, sent + shift) if kind == ATTEMPT else entry.not_run(which)
        return shift

    def _hold(self, entry: Entry) -> None:
        self._drop(entry.number)  # a message that was replaced is there a second time
        weight = len(entry.records()) + self._later
        self.entries[entry.number] = entry
        self._weights[entry.number] = weight
        self._live += weight

    def _note(self, name: str, until: int, text: str) -> None:
        self._forget(name)
        self._ended[name] = until, text
        self._ended_live += len(records.ended_record(name, until, text))
        self._live += len(records.ended_record(name, until, text))

    def _forget(self, name: str) -> None:
        if name in self._ended:
            size = len(records.ended_record(name, *self._ended.pop(name)))
            self._ended_live -= size
            self._live -= size

    def keep_ended(self, name: str, text: str, span: int) -> None:
        """Know this of an ended message for so many microseconds, restarts included; where there is room."""
        now = time.time_ns() // 1000
        record = records.ended_record(name, now + span, text)
        while self._ended and (
            next(iter(self._ended.values()))[0] <= now or self._ended_live + len(record) > MOST_ENDED * self._limit
        ):
            self._forget(next(iter(self._ended)))
        if len(record) <= records.MOST_PAYLOAD and self._fits(len(record)) and self._append(record):
            self._note(name, now + span, text)

    def ended(self, name: str) -> str | None:
        """What is known of an ended message, if it still is."""
        until, text = self._ended.get(name, (0, ""))
        return text if until > time.time_ns() // 1000 else None

    def learnt(self, endpoint: bytes, rate: float) -> None:
        """An endpoint told its limit, in calls a second: known for a while, restarts included, if there is room.

        Written only when it moved by a tenth or is some seconds old, as every answer may tell it.
        """
        now = time.time_ns() // 1000
        until, known = self._limits.get(endpoint, (0, 0.0))
        if until > now + LIMIT_FOR - LIMIT_AGAIN and abs(rate - known) <= 0.1 * known:
            return
        record = records.limit_record(endpoint, now + LIMIT_FOR, rate)
        if len(record) < BLOCK and self._fits(len(record)) and self._append(record):
            self._keep_limit(endpoint, now + LIMIT_FOR, rate)

    def _keep_limit(self, endpoint: bytes, until: int, rate: float) -> None:
        if endpoint in self._limits:
            self._forget_limit(endpoint)  # put behind the others: those that were told longest ago go first
        elif len(self._limits) >= MOST_LIMITS:
            self._forget_limit(next(iter(self._limits)))
        self._limits[endpoint] = until, rate
        self._live += len(records.limit_record(endpoint, until, rate))

    def _forget_limit(self, endpoint: bytes) -> None:
        self._live -= len(records.limit_record(endpoint, *self._limits.pop(endpoint)))

    def limit(self, endpoint: bytes) -> float:
        """What an endpoint told of its limit not long ago, in calls a second; 0 if nothing is known."""
        until, rate = self._limits.get(endpoint, (0, 0.0))
        return rate if until > time.time_ns() // 1000 else 0.0

    def in_outage(self, endpoint: bytes, outage: tuple[int, int | None] | None) -> None:
        """An endpoint is in an outage, or on its way back, since these times of our clock, or serves again.

        Known for a while, restarts included, if there is room; written where it changed, and again before it would be
        forgotten while it lasts.
        """
        known, now = self._outages.get(endpoint), time.time_ns() // 1000
        if outage is None:
            told = (0, 0, 0)
        else:
            since, back = outage[0] + self._offset, 0 if outage[1] is None else outage[1] + self._offset
            told = (max(since, back, now) + LIMIT_FOR, since, back)
        fresh = outage is None or known is not None and known[0] > now + LIMIT_FOR // 2
        if fresh and told[1:] == (known or (0, 0, 0))[1:]:
            return
        record = records.outage_record(endpoint, *told)
        if len(record) < BLOCK and self._fits(len(record)) and self._append(record):
            self._keep_outage(endpoint, *told)

    def _keep_outage(self, endpoint: bytes, until: int, since: int, back: int) -> None:
        if endpoint in self._outages:
            self._forget_outage(endpoint)
        elif len(self._outages) >= MOST_LIMITS:
            self._forget_outage(next(iter(self._outages)))
        if since:
            self._outages[endpoint] = until, since, back
            self._live += len(records.outage_record(endpoint, until, since, back))

    def _forget_outage(self, endpoint: bytes) -> None:
        self._live -= len(records.outage_record(endpoint, *self._outages.pop(endpoint)))

    def outage(self, endpoint: bytes) -> tuple[int, int | None] | None:
        """What is known of an endpoint's outage, in times of our clock; nothing where it serves, as far as is known."""
        until, since, back = self._outages.get(endpoint, (0, 0, 0))
        if until <= time.time_ns() // 1000:
            return None
        return since - self._offset, back - self._offset if back else None

    def _drop(self, number: int) -> None:
        if self.entries.pop(number, None) is not None:
            self._live -= self._weights.pop(number)

    def _fits(self, more: int) -> bool:
        """Whether the file, grown by this, and a compacted copy of it stay within the limit.

        The file may yet grow by what its open messages have room for: without that, a file could fill up
        with what is live, and no record of an end would fit any more.
        """
        grown = max(self._size, self._live) + more
        return _blocks(grown) + _blocks(self._live + more + BLOCK) + BLOCK <= self._limit

    def _compact(self) -> bool:
        """Write what is open to a new file and put it in the old one's place."""
        now = time.time_ns() // 1000
        for name in [name for name, (until, _) in self._ended.items() if until <= now]:
            self._forget(name)
        for endpoint in [endpoint for endpoint, (until, _) in self._limits.items() if until <= now]:
            self._forget_limit(endpoint)
        for endpoint in [endpoint for endpoint, (until, _, _) in self._outages.items() if until <= now]:
            self._forget_outage(endpoint)
        data = self._clock() + b"".join(entry.records() for entry in self.entries.values())
        data += b"".join(records.ended_record(name, until, text) for name, (until, text) in self._ended.items())
        data += b"".join(records.limit_record(endpoint, *told) for endpoint, told in self._limits.items())
        data += b"".join(records.outage_record(endpoint, *told) for endpoint, told in self._outages.items())
        if _blocks(self._size) + _blocks(len(data)) > self._limit:
            return False
        file = -1
        try:
            file = os.open(self._spare, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            if os.write(file, data) != len(data):
                raise OSError("short write")
            os.rename(self._spare, self._path)
        except OSError as error:
            logs.warn("journal-not-compacted", why=str(error))
            if file >= 0:
                os.close(file)
            self._spare.unlink(missing_ok=True)
            return False
        os.close(self._file)
        self._file, self._size = file, len(data)
        return True

    def _append(self, record: bytes) -> bool:
        """Write at the end; a write cut short is taken back, so that no later record follows a torn one."""
        tight = _blocks(self._size + len(record)) + _blocks(self._live + BLOCK) + BLOCK > self._limit
        if tight or self._size > self._limit // 4 and self._size > 3 * self._live:
            self._compact()
        if _blocks(self._size + len(record)) > self._limit:
            return False
        try:
            if os.write(self._file, record) == len(record):
                self._size += len(record)
                return True
        except OSError as error:
            logs.error("journal-not-written", why=str(error))
        os.ftruncate(self._file, self._size)
        os.lseek(self._file, self._size, os.SEEK_SET)
        return False

    def taken(self, number: int, deadline: int, text: str, body: bytes) -> bool:
        """A message is taken on; false when there is no room, and then it is not."""
        record = records.record(TAKEN, number, records.taken_payload(deadline, text, body))
        more = len(record) + self._later
        if not self._fits(more) and not (self._compact() and self._fits(more)):
            return False
        if len(record) > records.MOST_PAYLOAD or not self._append(record):
            return False
        self._hold(Entry(number, text, body, deadline))
        return True

    def replaced(self, number: int, text: str, body: bytes) -> bool:
        """A message that was never attempted is another one now; false when there is no room, and it is not."""
        entry = self.entries[number]
        record = records.record(TAKEN, number, records.taken_payload(entry.deadline, text, body))
        if len(record) > records.MOST_PAYLOAD or not self._fits(len(record)) or not self._append(record):
            return False
        self._hold(Entry(number, text, body, entry.deadline))
        return True

    def attempt(self, number: int, which: int, sent: int) -> bool:
        """An attempt is about to leave; false when that could not be written, and then it must not."""
        entry = self.entries.get(number)
        if entry is None or not self._append(records.record(ATTEMPT, number, records.ATTEMPT_AT.pack(which, sent))):
            return False
        entry.tried(which, sent)
        return True

    def not_run(self, number: int, which: int) -> None:
        """The outcome proves that this attempt never ran."""
        entry = self.entries.get(number)
        if entry is not None:
            entry.not_run(which)
            self._append(records.record(NOT_RUN, number, records.ATTEMPT_AT.pack(which, 0)))

    def awaits(self, number: int, text: str) -> bool:
        """An attempt was accepted, and its outcome comes later; false when that could not be written."""
        entry = self.entries.get(number)
        record = records.record(AWAITS, number, text.encode())
        if entry is None or len(record) > records.MOST_PAYLOAD or not self._append(record):
            return False
        self._awaits(entry, text)
        return True

    def _awaits(self, entry: Entry, text: str) -> None:
        more = len(text.encode()) - len(entry.awaits.encode())
        entry.awaits = text
        self._live += more
        self._weights[entry.number] += more

    def verdict(self, number: int, state: str, after_ms: int) -> bool:
        """The final answer is decided; the sender side is still to be told. False when that could not be written."""
        entry = self.entries.get(number)
        if entry is None:
            return False
        entry.verdict, entry.after_ms = state, after_ms
        return self._append(records.record(VERDICT, number, records.verdict_payload(state, after_ms)))

    def done(self, number: int) -> None:
        """Nothing is owed any more."""
        if number in self.entries:
            self._append(records.record(DONE, number, b""))
            self._drop(number)
