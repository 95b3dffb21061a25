"""What a source told to be gone or draining since the list was written that the next start will find.

A start without its source serves on the last list at hand: a registry's kept list, or the platform's ``known``. That list
is older than what was told last, so a removal or drain told in between would be undone. Each one is written here in the
turn that told it, by a plain write, which outlasts a SIGKILL. The file is records as the journal's, each with some rows
of key, state and number; that is the source's count at the time, and what a list up to some number has is cut away. An entry that came back is written
only where its leaving is still held. The file is bounded: what does not fit is said, and never stops the courier.
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

BATCH = 200  # keys in a record
BLOCK = 512
State = EndpointState
Row = tuple[str, State, int]  # key, its state, the number under which that was told


class Left:
    """Keys that have left or drain, as a source told them, newest last."""

    def __init__(self, file: Path, most: int, forget: bool = False) -> None:
        """``most``: bytes of the file. ``forget``: where they are not enough the oldest go; else ``note`` says so."""
        self.file, self.most, self._forget = file, most, forget
        self.told: dict[str, tuple[int, State]] = {}
        self.number = 0  # of what was noted last
        self.behind = False  # the file lacks something that was told
        self._size = 0
        self._load()

    @staticmethod
    def reserve(most: int) -> int:
        """Disk that it may take at any moment: the file and its successor, in whole blocks."""
        return 2 * (-(-most // BLOCK) * BLOCK) if most else 0

    def _load(self) -> None:
        """Read the file; damage is logged and passed over, and a torn end is cut with the next write."""
        try:
            data = self.file.read_bytes()
        except FileNotFoundError:
            return
        except OSError as error:
            logs.error("map-left-unreadable", file=self.file.name, why=str(error))
            return
        for piece in records.scan(data):
            try:
                if piece.fault or piece.kind != records.LEFT:
                    raise ValueError(piece.fault or f"kind {piece.kind}")
                rows = msgspec.msgpack.decode(zlib.decompress(piece.payload), type=list[tuple[str, int, int]])
                self._take([(key, State(state), number) for key, state, number in rows])
            except (ValueError, zlib.error, msgspec.MsgspecError) as error:
                logs.error("map-left-bad-record", file=self.file.name, at=piece.at, why=f"{error!r:.100}")
            self._size = piece.end

    def _take(self, rows: list[Row]) -> None:
        for key, state, number in rows:
            self.told.pop(key, None)
            if state is not State.READY:
                self.told[key] = number, state
            self.number = max(self.number, number)

    def since(self, number: int) -> dict[str, State]:
        """What was told after this number."""
        return {key: state for key, (at, state) in self.told.items() if at > number}

    def note(self, rows: dict[str, State], number: int | None = None) -> bool:
        """What was just told, under the source's own number or the next one; false where not all of it is held."""
        number = self.number + 1 if number is None else number
        news = [
            (key, state, number) for key, state in rows.items() if self.told.get(key, (0, State.READY))[1] is not state
        ]
        if not news:
            return not self.behind
        self._take(news)
        data = _records(news)
        if self.behind or self._size + len(data) > self.most:
            return self._write()
        return self._out(lambda: self._append(data))

    def cut(self, number: int) -> None:
        """The list that a start will find has everything up to this number."""
        kept = {key: told for key, told in self.told.items() if told[0] > number}
        if len(kept) < len(self.told) or self.behind:
            self.told = kept
            self._write()

    def clear(self) -> None:
        """Nothing that was told counts any more."""
        self.told, self._size, self.behind = {}, 0, False
        self.file.unlink(missing_ok=True)

    def mend(self) -> None:
        """Try again to write what the disk refused."""
        if self.behind:
            self._write()

    def _write(self) -> bool:
        """The whole of it anew."""
        if not self.told:
            return self._out(self.clear)
        data = self._all()
        while len(data) > self.most and self._forget and self.told:
            for key in list(self.told)[: len(self.told) // 4 + 1]:
                del self.told[key]
            data = self._all()
        if len(data) > self.most:
            self._say(f"it takes more than {self.most} bytes")
            return False
        return self._out(lambda: self._replace(data))

    def _all(self) -> bytes:
        return _records([(key, state, number) for key, (number, state) in self.told.items()])

    def _out(self, write: Callable[[], None]) -> bool:
        """Write; what the disk refuses is told once."""
        try:
            write()
        except OSError as error:
            self._say(str(error))
            return False
        self.behind = False
        return True

    def _say(self, why: str) -> None:
        if not self.behind:
            logs.warn("map-left-not-kept", file=self.file.name, entries=len(self.told), why=why)
        self.behind = True

    def _append(self, data: bytes) -> None:
        file = os.open(self.file, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            os.ftruncate(file, self._size)  # a torn end would hide what follows it
            if os.pwrite(file, data, self._size) != len(data):
                os.ftruncate(file, self._size)
                raise OSError("short write")
        finally:
            os.close(file)
        self._size += len(data)

    def _replace(self, data: bytes) -> None:
        files.replace(self.file, data)
        self._size = len(data)


def _records(rows: list[Row]) -> bytes:
    parts = [
        msgspec.msgpack.encode([(key, int(state), number) for key, state, number in rows[at : at + BATCH]])
        for at in range(0, len(rows), BATCH)
    ]
    return b"".join(records.record(records.LEFT, 0, zlib.compress(part, 1)) for part in parts)
