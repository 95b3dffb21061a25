"""The journal in the state directory: accepted messages, their delivery attempts and their final states.

The file is a sequence of appended records, each with its length and checksum, written without fsync. Compaction writes
the data that is still needed to a second file and renames it over the first; both files together stay within the size
limit.
"""

from __future__ import annotations

import contextlib
import errno
import itertools
import os
import struct
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

from kestrelspar.journal import clock, records
from kestrelspar.journal.clock import ClockReading, Conversion
from kestrelspar.journal.records import (
    ATTEMPT,
    AWAITS,
    BOOT,
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

BLOCK = 512  # bytes per disk block
MAX_ENDED_SHARE = 0.25  # maximum share of the size limit for texts on ended messages; the oldest are dropped first
RESERVED_PER_MESSAGE = 256  # bytes reserved for the final records of each open message
RESERVED_PER_ATTEMPT = 64  # bytes reserved for the ATTEMPT and NOT_RUN records of each possible attempt
# A longer record is accepted only while the open messages take at most this share of the size limit: where they take
# half of it, each accepted message needs a compaction, which writes all of them.
LARGE_RECORD, MAX_LARGE_SHARE = 4 * 1024, 0.375
COMPACTION_BATCH = 64 * 1024  # bytes that a compaction writes at once
MAX_LOGGED_BAD_RECORDS = 10  # damaged records that are logged one by one; further ones are only counted
# Microseconds: how long a reported limit or an outage is retained, and when an unchanged limit is written again. An
# unchanged outage is written again when less than half of its retention is left.
RETENTION, LIMIT_REWRITE_INTERVAL = 60_000_000, 5_000_000
MAX_ENDPOINTS = 256  # number of limits, and of outages, that are retained: the most recently written ones
# Microseconds by which an attempt counts as earlier if the machine was restarted since, as the time that has passed is
# only estimated: windows for repeats are over.
REBOOT_MARGIN = 3_600_000_000


def _blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


class Journal:
    """The open messages, and the file that preserves them across restarts.

    Also preserved: texts on ended messages, and rate limits and outages of endpoints.
    """

    def __init__(self, state_directory: str, max_bytes: int, max_attempts: int = 8) -> None:
        """``max_bytes``: size limit of the file and its compacted copy. ``max_attempts``: of each message."""
        self._path, self._max_bytes = Path(state_directory) / "journal", max_bytes
        self._reserved = RESERVED_PER_MESSAGE + RESERVED_PER_ATTEMPT * max_attempts
        self._new_path = Path(state_directory) / "journal.new"
        self.entries: dict[int, Entry] = {}
        self._reserved_size = 0  # size of a compacted file in bytes, plus the room reserved for later records
        self._entry_sizes: dict[int, int] = {}  # by message number: its share of ``_reserved_size`` in bytes
        # Expiries and the times of outages are microseconds of the monotonic clock.
        self._ended: dict[str, tuple[int, str]] = {}  # by name: expiry, text
        self._limits: dict[bytes, tuple[int, float]] = {}  # by endpoint: expiry, calls per second
        # By endpoint: expiry, start of the outage, start of the recovery or None.
        self._outages: dict[bytes, tuple[int, int, int | None]] = {}
        self._ended_live = 0  # bytes of the records of ended messages in a compacted file
        self._size = 0  # bytes of the file, without a torn tail
        self._started = ClockReading.now()
        self.failing = ""  # why the last write failed; empty: it did not
        self.on_failure: Callable[[], None] | None = None  # called when writes begin to fail
        self._has_torn_tail = self._compaction_failed = False
        self._write_later: list[bytes] = []  # records that could not be written and must not get lost, oldest first
        self._new_path.unlink(missing_ok=True)  # left by a compaction interrupted before its rename
        self._load()
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT, 0o600)
        self._cut_torn_tail()
        if not self._compact() and not self._size:
            self._append(self._clock())

    def _clock(self) -> bytes:
        """The records that a later process needs to convert the times of this one."""
        started = self._started
        boot = records.record(BOOT, 0, clock.BOOT_FIELDS.pack(started.boot, clock.monotonic())) if started.boot else b""
        return boot + records.record(CLOCK, 0, struct.pack("<q", started.offset))

    def _unix(self, when: int) -> int:
        """A monotonic time of this process as it is recorded: by the offset of its start, not by the wall clock now."""
        return when + self._started.offset

    def _load(self) -> None:
        """Read the file; a torn tail is cut, and damaged records are logged and skipped."""
        at = bad = 0
        self._conversion, self._recorded_boot = Conversion(), (b"", 0)
        newer: Counter[int] = Counter()  # records of kinds that only newer versions write, by kind
        for scanned in records.scan_file(self._path):
            at = scanned.end
            if scanned.kind > records.KNOWN_KINDS[-1]:
                newer[scanned.kind] += 1
                continue
            try:
                if scanned.fault:
                    raise ValueError(scanned.fault)
                self._replay(scanned.kind, scanned.number, scanned.payload)
            except (ValueError, struct.error, KeyError) as error:
                bad += 1
                if bad <= MAX_LOGGED_BAD_RECORDS:
                    logs.error("journal-bad-record", at=scanned.at, why=f"{error!r:.100}")
        size = self._path.stat().st_size if self._path.exists() else 0
        if at < size:
            logs.warn("journal-torn", bytes=size - at)
        if bad:
            logs.error("journal-bad-records", records=bad)
        if newer:
            kinds = " ".join(map(str, sorted(newer)))
            logs.warn("journal-newer-records", records=newer.total(), kinds=kinds)
        self._size = at

    def _replay(self, kind: int, number: int, payload: bytes) -> None:
        """Apply one record; raises ``ValueError``, ``KeyError`` or ``struct.error`` if it is invalid."""
        if kind == BOOT:
            self._recorded_boot = clock.BOOT_FIELDS.unpack(payload)
        elif kind == CLOCK:
            boot, written_at = self._recorded_boot
            writer = ClockReading(int(struct.unpack("<q", payload)[0]), boot, written_at)
            self._conversion, self._recorded_boot = clock.conversion(writer, self._started), (b"", 0)
        elif kind == ENDED:
            until, size = struct.unpack_from("<qI", payload)
            name, text = payload[12 : 12 + size].decode(), payload[12 + size :].decode()
            self._add_ended(name, self._conversion.from_unix(until), text)
        elif kind == LIMIT:
            until, rate = records.LIMIT_FIELDS.unpack_from(payload)
            self._add_limit(payload[records.LIMIT_FIELDS.size :], self._conversion.from_unix(until), rate)
        elif kind == OUTAGE:
            self._replay_outage(payload[records.OUTAGE_FIELDS.size :], *records.OUTAGE_FIELDS.unpack_from(payload))
        elif kind == TAKEN:
            deadline, size = struct.unpack_from("<qI", payload)
            text = payload[12 : 12 + size].decode()
            self._add(Entry(number, text, payload[12 + size :], self._conversion.from_monotonic(deadline)))
        elif kind == DONE:
            self._drop_entry(number)
        else:
            self._replay_change(kind, self.entries[number], payload)

    def _replay_outage(self, endpoint: bytes, until: int, since: int, recovering_since: int) -> None:
        """Apply an OUTAGE record.

        If the machine was restarted since, how far a recovery had come is only estimated: it counts as not begun.
        """
        convert = self._conversion.from_unix
        if not since:
            self._add_outage(endpoint, None)
        elif not self._conversion.is_same_boot:
            now = clock.monotonic()
            self._add_outage(endpoint, (now + RETENTION, min(now, convert(since)), None))
        else:
            self._add_outage(
                endpoint, (convert(until), convert(since), convert(recovering_since) if recovering_since else None)
            )

    def _replay_change(self, kind: int, entry: Entry, payload: bytes) -> None:
        """Apply a record that changes an open message."""
        if kind == AWAITS:
            self._set_awaited(entry, payload.decode())
        elif kind == VERDICT:
            entry.after_ms, entry.verdict = struct.unpack_from("<I", payload)[0], payload[4:].decode()
        elif kind == ATTEMPT:
            index, sent = records.ATTEMPT_FIELDS.unpack(payload)
            margin = 0 if self._conversion.is_same_boot else REBOOT_MARGIN
            entry.attempted(index, self._conversion.from_monotonic(sent) - margin)
        elif kind == NOT_RUN:
            entry.not_run(records.ATTEMPT_FIELDS.unpack(payload)[0])
        else:
            raise ValueError(f"unknown kind {kind}")

    def _add(self, entry: Entry) -> None:
        self._drop_entry(entry.number)  # a message whose content was replaced has a second TAKEN record
        size = len(entry.records()) + self._reserved
        self.entries[entry.number] = entry
        self._entry_sizes[entry.number] = size
        self._reserved_size += size

    def _add_ended(self, name: str, until: int, text: str) -> None:
        self._drop_ended(name)
        self._ended[name] = until, text
        self._ended_live += len(records.ended_record(name, until, text))
        self._reserved_size += len(records.ended_record(name, until, text))

    def _drop_ended(self, name: str) -> None:
        if name in self._ended:
            size = len(records.ended_record(name, *self._ended.pop(name)))
            self._ended_live -= size
            self._reserved_size -= size

    def retain_ended(self, name: str, text: str, retention: int) -> None:
        """Retain a text on an ended message across restarts for ``retention`` microseconds, if there is room."""
        now = clock.monotonic()
        record = records.ended_record(name, self._unix(now + retention), text)
        while self._ended and (
            next(iter(self._ended.values()))[0] <= now
            or self._ended_live + len(record) > MAX_ENDED_SHARE * self._max_bytes
        ):
            self._drop_ended(next(iter(self._ended)))
        if len(record) <= records.MAX_PAYLOAD and self._fits(len(record)) and self._append(record):
            self._add_ended(name, now + retention, text)

    def ended(self, name: str) -> str | None:
        """The retained text on an ended message; None if there is none, or it has expired."""
        until, text = self._ended.get(name, (0, ""))
        return text if until > clock.monotonic() else None

    def record_limit(self, endpoint: bytes, rate: float) -> None:
        """Retain the rate limit of an endpoint, in calls per second, across restarts, if there is room.

        As every answer may report the limit, it is written only if it changed by more than a tenth, or if the last
        record is older than ``LIMIT_REWRITE_INTERVAL``. A record that would fill a disk block, as its endpoint id is
        long, is not written; the same holds for outages.
        """
        now = clock.monotonic()
        until, known = self._limits.get(endpoint, (0, 0.0))
        if until > now + RETENTION - LIMIT_REWRITE_INTERVAL and abs(rate - known) <= 0.1 * known:
            return
        record = records.limit_record(endpoint, self._unix(now + RETENTION), rate)
        if len(record) < BLOCK and self._fits(len(record)) and self._append(record):
            self._add_limit(endpoint, now + RETENTION, rate)

    def _add_limit(self, endpoint: bytes, until: int, rate: float) -> None:
        if endpoint in self._limits:
            self._drop_limit(endpoint)  # its new entry is the last: the least recently reported limit is dropped first
        elif len(self._limits) >= MAX_ENDPOINTS:
            self._drop_limit(next(iter(self._limits)))
        self._limits[endpoint] = until, rate
        self._reserved_size += len(records.limit_record(endpoint, until, rate))

    def _drop_limit(self, endpoint: bytes) -> None:
        self._reserved_size -= len(records.limit_record(endpoint, *self._limits.pop(endpoint)))

    def limit(self, endpoint: bytes) -> float:
        """The retained rate limit of an endpoint in calls per second; 0 if there is none, or it has expired."""
        until, rate = self._limits.get(endpoint, (0, 0.0))
        return rate if until > clock.monotonic() else 0.0

    def record_outage(self, endpoint: bytes, outage: tuple[int, int | None] | None) -> None:
        """Retain an endpoint's outage across restarts, if there is room; None: the endpoint serves again.

        ``outage``: start of the outage, and of the recovery or None, in microseconds of the monotonic clock. The record
        is written when it has changed, and again before it expires while the outage lasts.
        """
        known, now = self._outages.get(endpoint), clock.monotonic()
        values = None
        if outage is not None:
            since, recovering_since = outage
            values = max(since, recovering_since or since, now) + RETENTION, since, recovering_since
        renewal_not_due = outage is None or known is not None and known[0] > now + RETENTION // 2
        if renewal_not_due and outage == (known and known[1:]):
            return
        record = self._outage_record(endpoint, values)
        if len(record) < BLOCK and self._fits(len(record)) and self._append(record):
            self._add_outage(endpoint, values)

    def _outage_record(self, endpoint: bytes, values: tuple[int, int, int | None] | None) -> bytes:
        if values is None:
            return records.outage_record(endpoint, 0, 0, 0)
        until, since, recovering_since = values
        recovering = 0 if recovering_since is None else self._unix(recovering_since)
        return records.outage_record(endpoint, self._unix(until), self._unix(since), recovering)

    def _add_outage(self, endpoint: bytes, values: tuple[int, int, int | None] | None) -> None:
        """``values``: expiry, start of the outage, start of the recovery or None; None: the endpoint serves."""
        if endpoint in self._outages:
            self._drop_outage(endpoint)
        elif len(self._outages) >= MAX_ENDPOINTS:
            self._drop_outage(next(iter(self._outages)))
        if values is not None:
            self._outages[endpoint] = values
            self._reserved_size += len(self._outage_record(endpoint, values))

    def _drop_outage(self, endpoint: bytes) -> None:
        self._reserved_size -= len(self._outage_record(endpoint, self._outages.pop(endpoint)))

    def outage(self, endpoint: bytes) -> tuple[int, int | None] | None:
        """The retained outage of an endpoint, as in ``record_outage``; None if there is none, or it has expired."""
        known = self._outages.get(endpoint)
        return None if known is None or known[0] <= clock.monotonic() else known[1:]

    def _drop_entry(self, number: int) -> None:
        if self.entries.pop(number, None) is not None:
            self._reserved_size -= self._entry_sizes.pop(number)

    def _fits(self, more: int) -> bool:
        """Whether the file with ``more`` bytes appended, and a compacted copy of it, stay within the limit.

        The room reserved for later records of open messages counts as used. Otherwise the file could fill up with live
        data, and no record of a final state would fit any more.
        """
        grown = max(self._size, self._reserved_size) + more
        return _blocks(grown) + _blocks(self._reserved_size + more + BLOCK) + BLOCK <= self._max_bytes

    def has_room(self, record_size: int) -> bool:
        """Whether the TAKEN record of a new message has room, after a compaction at the latest; writes nothing."""
        live = self._reserved_size + record_size + self._reserved
        if record_size > LARGE_RECORD and live > MAX_LARGE_SHARE * self._max_bytes:
            return False
        return _blocks(live) + _blocks(live + BLOCK) + BLOCK <= self._max_bytes

    def _compact(self) -> bool:
        """Write the live data to a new file and rename it over the old one; false if there is no room or it fails."""
        now = clock.monotonic()
        for name in [name for name, (until, _) in self._ended.items() if until <= now]:
            self._drop_ended(name)
        for endpoint in [endpoint for endpoint, (until, _) in self._limits.items() if until <= now]:
            self._drop_limit(endpoint)
        for endpoint in [endpoint for endpoint, (until, _, _) in self._outages.items() if until <= now]:
            self._drop_outage(endpoint)
        file = -1
        try:
            file = os.open(self._new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            size = self._write_live_records(file)
            if size is None:
                os.close(file)
                self._new_path.unlink(missing_ok=True)
                return False
            os.rename(self._new_path, self._path)
        except OSError as error:
            if not self._compaction_failed:
                logs.warn("journal-not-compacted", why=str(error))
            self._compaction_failed = True
            with contextlib.suppress(OSError):
                if file >= 0:
                    os.close(file)
                self._new_path.unlink(missing_ok=True)
            return False
        with contextlib.suppress(OSError):
            os.close(self._file)
        self._file, self._size = file, size
        # The new file has all that is known of open messages, and nothing of those that are done.
        self._compaction_failed = self._has_torn_tail = False
        self._write_later.clear()
        self._write_succeeded()
        return True

    def _live_records(self) -> Iterator[bytes]:
        """All that is still needed, as records."""
        yield self._clock()
        for entry in self.entries.values():
            yield entry.records()
        for name, (until, text) in self._ended.items():
            yield records.ended_record(name, self._unix(until), text)
        for endpoint, (until, rate) in self._limits.items():
            yield records.limit_record(endpoint, self._unix(until), rate)
        for endpoint, values in self._outages.items():
            yield self._outage_record(endpoint, values)

    def _write_live_records(self, file: int) -> int | None:
        """Write all live records in batches; returns their size in bytes, or None if both files exceed the limit.

        Raises ``OSError`` if a write fails.
        """
        written, batch, batch_size = 0, list[bytes](), 0
        for record in itertools.chain(self._live_records(), (b"",)):
            batch.append(record)
            batch_size += len(record)
            if record and batch_size < COMPACTION_BATCH:
                continue
            if _blocks(self._size) + _blocks(written + batch_size) > self._max_bytes:
                return None
            if os.write(file, b"".join(batch)) != batch_size:
                raise OSError(errno.ENOSPC, "short write")
            written, batch, batch_size = written + batch_size, [], 0
        return written

    def _append(self, record: bytes) -> bool:
        """Append a record, after a compaction if one is due; false if the limit has no room or the write fails.

        A partial write is truncated, so that no record follows a torn one. As long as that fails, nothing is appended.
        Records of ``_write_later`` come first.
        """
        if not self.retry_writes():
            return False
        near_limit = _blocks(self._size + len(record)) + _blocks(self._reserved_size + BLOCK) + BLOCK > self._max_bytes
        if near_limit or self._size > self._max_bytes // 4 and self._size > 3 * self._reserved_size:
            self._compact()
        if _blocks(self._size + len(record)) > self._max_bytes:
            return False
        return self._write(record)

    def _write(self, record: bytes) -> bool:
        """Write a record behind the last one; false if that fails."""
        try:
            if os.write(self._file, record) != len(record):
                raise OSError(errno.ENOSPC, "short write")
        except OSError as error:
            self._write_failed(error)
            self._cut_torn_tail()
            return False
        self._size += len(record)
        self._write_succeeded()
        return True

    def _write_failed(self, error: OSError) -> None:
        has_begun, self.failing = not self.failing, str(error)
        if has_begun:
            logs.error("journal-not-written", why=str(error))
            if self.on_failure is not None:
                self.on_failure()

    def _write_succeeded(self) -> None:
        if self.failing:
            logs.event("journal-written-again", size=self._size)
        self.failing = ""

    def _cut_torn_tail(self) -> bool:
        """Remove what a failed write has left behind the last record; false if that fails, too."""
        try:
            os.ftruncate(self._file, self._size)
            os.lseek(self._file, self._size, os.SEEK_SET)
        except OSError as error:
            self._write_failed(error)
            self._has_torn_tail = True
            return False
        self._has_torn_tail = False
        return True

    def _write_or_retry(self, record: bytes) -> bool:
        """Append a record that must not get lost: one that can't be written now is written as soon as that works."""
        if self._append(record):
            return True
        self._write_later.append(record)
        return False

    def retry_writes(self) -> bool:
        """Write what could not be written before; false if something is left.

        While ``failing`` is set and nothing is left to be written, a clock record shows whether writes work again.
        """
        if self._has_torn_tail and not self._cut_torn_tail():
            return False
        while self._write_later:
            if _blocks(self._size + len(self._write_later[0])) > self._max_bytes and not self._compact():
                return False
            if self._write_later and not self._write(self._write_later[0]):
                return False
            del self._write_later[:1]
        return True

    def probe(self) -> bool:
        """Whether writes work again; writes a clock record if nothing else has to be written."""
        return self.retry_writes() and (not self.failing or self._append(self._clock()))

    def record_accepted(self, number: int, deadline: int, text: str, body: bytes) -> bool:
        """Record an accepted message; if false, it must be refused.

        It is false if there was no room, if the record exceeds ``MAX_PAYLOAD``, or if the write failed.
        """
        record = records.record(TAKEN, number, records.taken_payload(deadline, text, body))
        if not self.has_room(len(record)):
            return False
        more = len(record) + self._reserved
        if not self._fits(more) and not (self._compact() and self._fits(more)):
            return False
        if len(record) > records.MAX_PAYLOAD or not self._append(record):
            return False
        self._add(Entry(number, text, body, deadline))
        return True

    def record_replacement(self, number: int, text: str, body: bytes) -> bool:
        """Record new content of a message without attempts; false, and unchanged, as in ``record_accepted``."""
        entry = self.entries[number]
        record = records.record(TAKEN, number, records.taken_payload(entry.deadline, text, body))
        if len(record) > records.MAX_PAYLOAD or not self._fits(len(record)) or not self._append(record):
            return False
        self._add(Entry(number, text, body, entry.deadline))
        return True

    def record_attempt(self, number: int, index: int, sent: int) -> bool:
        """Record an attempt that is about to be sent; if false, the attempt must not be sent.

        It is false if the record can't be written, or if the message has no entry any more.
        """
        entry = self.entries.get(number)
        if entry is None or not self._append(records.record(ATTEMPT, number, records.ATTEMPT_FIELDS.pack(index, sent))):
            return False
        entry.attempted(index, sent)
        return True

    def note_unrecorded_attempt(self, number: int, index: int, sent: int) -> bool:
        """Note an attempt that could not be recorded, and that may be repeated without harm; false without an entry.

        It is written as soon as that works. A restart before that does not know of it.
        """
        entry = self.entries.get(number)
        if entry is None:
            return False
        entry.attempted(index, sent)
        self._write_later.append(records.record(ATTEMPT, number, records.ATTEMPT_FIELDS.pack(index, sent)))
        return True

    def record_not_run(self, number: int, index: int) -> None:
        """Record that an attempt never ran, as its outcome proved.

        If the record can't be written, the attempt may count as one that may have run after a restart.
        """
        entry = self.entries.get(number)
        if entry is not None:
            entry.not_run(index)
            self._write_or_retry(records.record(NOT_RUN, number, records.ATTEMPT_FIELDS.pack(index, 0)))

    def record_awaited(self, number: int, text: str) -> bool:
        """Record that the next hop accepted a message and its outcome is awaited; false if that is not written.

        It is not written if the record exceeds ``MAX_PAYLOAD``, if the write fails, or if the message has no entry.
        """
        entry = self.entries.get(number)
        record = records.record(AWAITS, number, text.encode())
        if entry is None or len(record) > records.MAX_PAYLOAD or not self._append(record):
            return False
        self._set_awaited(entry, text)
        return True

    def _set_awaited(self, entry: Entry, text: str) -> None:
        more = len(text.encode()) - len(entry.awaits.encode())
        entry.awaits = text
        self._reserved_size += more
        self._entry_sizes[entry.number] += more

    def record_end(self, number: int, state: str, after_ms: int) -> bool:
        """Record a final state before it is reported to the sender side; false, and unchanged, if that fails."""
        entry = self.entries.get(number)
        if entry is None or not self._append(records.record(VERDICT, number, records.verdict_payload(state, after_ms))):
            return False
        entry.verdict, entry.after_ms = state, after_ms
        return True

    def record_end_later(self, number: int, state: str, after_ms: int) -> None:
        """Record a final state that has to be reported now although ``record_end`` failed, as soon as that works."""
        entry = self.entries.get(number)
        if entry is not None:
            entry.verdict, entry.after_ms = state, after_ms
            self._write_or_retry(records.record(VERDICT, number, records.verdict_payload(state, after_ms)))

    def record_done(self, number: int) -> None:
        """Record that a message needs no further report, and drop its entry.

        A record that can't be written now is written as soon as that works; a restart before that recovers the message.
        """
        if number in self.entries:
            self._drop_entry(number)
            self._write_or_retry(records.record(DONE, number, b""))

    def record_not_accepted(self, number: int) -> None:
        """Record that a message is not accepted after all, if an exception interrupted ``record_accepted``."""
        if number in self.entries:
            self._drop_entry(number)
        self._write_or_retry(records.record(DONE, number, b""))
