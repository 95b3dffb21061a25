"""Removals and drains reported by a source since its saved list was written.

If a source can't be reached at the start, its last saved list is used: a registry's state file, or ``known`` in the
platform's settings. That list may be older than the last report, and would undo a removal or drain in between. Each
removal or drain is therefore written here in the turn that reported it, by a plain write, which survives a SIGKILL.

The file consists of records in the journal's format, each with rows of key, state and revision. The revision is that
of the source at the time, or a number that this log assigns in ascending order. When a newer list is saved, the rows up
to its revision are dropped. That an entry is ready again is written only if its removal or drain is still on file. The
size of the file is limited: that rows don't fit is logged, and never stops the courier.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from kestrelspar.journal import records
from kestrelspar.runtime import files, logs
from snowlock.interface import EndpointState

ROWS_PER_RECORD = 200
BLOCK = 512  # bytes per disk block
State = EndpointState
Row = tuple[str, State, int]  # key, state, revision at which the state was reported


class RemovalLog:
    """Keys that a source reported as gone or draining, newest last."""

    def __init__(self, file: Path, max_bytes: int, drop_oldest: bool = False) -> None:
        """Load the file, if there is one.

        ``max_bytes``: maximum file size in bytes. ``drop_oldest``: if the rows don't fit, drop the oldest; otherwise
        ``record`` returns false.
        """
        self.file, self.max_bytes, self._drop_oldest = file, max_bytes, drop_oldest
        self.rows_by_key: dict[str, tuple[int, State]] = {}  # by key: revision and state
        self.revision = 0  # highest revision recorded so far; the owner may raise it to that of its saved list
        self.incomplete = False  # the file lacks some reported rows
        self._size = 0  # bytes of the file, without a torn end
        self._load()

    @staticmethod
    def max_disk_usage(max_bytes: int) -> int:
        """Maximum disk usage in bytes: the file and its replacement, each in whole disk blocks."""
        return 2 * (-(-max_bytes // BLOCK) * BLOCK) if max_bytes else 0

    def _load(self) -> None:
        """Read the file; damaged records are logged and skipped, and a torn end is cut at the next write."""
        try:
            data = self.file.read_bytes()
        except FileNotFoundError:
            return
        except OSError as error:
            logs.error("map-left-unreadable", file=self.file.name, why=str(error))
            return
        for scanned in records.scan(data):
            try:
                if scanned.fault or scanned.kind != records.LEFT:
                    raise ValueError(scanned.fault or f"kind {scanned.kind}")
                rows = msgspec.msgpack.decode(zlib.decompress(scanned.payload), type=list[tuple[str, int, int]])
                self._apply([(key, State(state), revision) for key, state, revision in rows])
            except (ValueError, zlib.error, msgspec.MsgspecError) as error:
                logs.error("map-left-bad-record", file=self.file.name, at=scanned.at, why=f"{error!r:.100}")
            self._size = scanned.end

    def _apply(self, rows: list[Row]) -> None:
        for key, state, revision in rows:
            self.rows_by_key.pop(key, None)
            if state is not State.READY:
                self.rows_by_key[key] = revision, state
            self.revision = max(self.revision, revision)

    def since(self, revision: int) -> dict[str, State]:
        """By key, the removals and drains that were reported after this revision and still hold."""
        return {key: state for key, (reported_at, state) in self.rows_by_key.items() if reported_at > revision}

    def record(self, rows: dict[str, State], revision: int | None = None) -> bool:
        """Record states, by key, reported at a revision (default: the next one); false if not all rows are on file."""
        revision = self.revision + 1 if revision is None else revision
        changes = [
            (key, state, revision)
            for key, state in rows.items()
            if self.rows_by_key.get(key, (0, State.READY))[1] is not state
        ]
        if not changes:
            return not self.incomplete
        self._apply(changes)
        data = _encode(changes)
        if self.incomplete or self._size + len(data) > self.max_bytes:
            return self._write()
        return self._try_write(lambda: self._append(data))

    def drop_through(self, revision: int) -> None:
        """Drop the rows up to and including this revision, as the saved list contains them."""
        remaining = {key: row for key, row in self.rows_by_key.items() if row[0] > revision}
        if len(remaining) < len(self.rows_by_key) or self.incomplete:
            self.rows_by_key = remaining
            self._write()

    def clear(self) -> None:
        """Drop all rows and delete the file; if that fails, ``retry_write`` deletes it."""
        self.rows_by_key = {}
        self._write()

    def _delete(self) -> None:
        self.file.unlink(missing_ok=True)
        self._size = 0

    def retry_write(self) -> None:
        """Write the file if it lacks some rows, as after a write that failed."""
        if self.incomplete:
            self._write()

    def _write(self) -> bool:
        """Rewrite the whole file."""
        if not self.rows_by_key:
            return self._try_write(self._delete)
        data = self._encode_all()
        while len(data) > self.max_bytes and self._drop_oldest and self.rows_by_key:
            for key in list(self.rows_by_key)[: len(self.rows_by_key) // 4 + 1]:
                del self.rows_by_key[key]
            data = self._encode_all()
        if len(data) > self.max_bytes:
            self._log_failure(f"the rows need more than the limit of {self.max_bytes} bytes")
            return False
        return self._try_write(lambda: self._replace(data))

    def _encode_all(self) -> bytes:
        return _encode([(key, state, revision) for key, (revision, state) in self.rows_by_key.items()])

    def _try_write(self, write: Callable[[], None]) -> bool:
        """Run a write; false if it fails. Consecutive failures are logged once."""
        try:
            write()
        except OSError as error:
            self._log_failure(str(error))
            return False
        self.incomplete = False
        return True

    def _log_failure(self, why: str) -> None:
        if not self.incomplete:
            logs.warn("map-left-not-kept", file=self.file.name, entries=len(self.rows_by_key), why=why)
        self.incomplete = True

    def _append(self, data: bytes) -> None:
        file = os.open(self.file, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            os.ftruncate(file, self._size)  # what remained of a longer torn end would be read as damage
            if os.pwrite(file, data, self._size) != len(data):
                os.ftruncate(file, self._size)
                raise OSError("short write")
        finally:
            os.close(file)
        self._size += len(data)

    def _replace(self, data: bytes) -> None:
        files.replace(self.file, data)
        self._size = len(data)


def _encode(rows: list[Row]) -> bytes:
    parts = [
        msgspec.msgpack.encode(
            [(key, int(state), revision) for key, state, revision in rows[at : at + ROWS_PER_RECORD]]
        )
        for at in range(0, len(rows), ROWS_PER_RECORD)
    ]
    return b"".join(records.record(records.LEFT, 0, zlib.compress(part, 1)) for part in parts)
