"""Converts recorded times to the clock of the process that reads them.

Theory of operation. All times in the journal are times of the monotonic clock, which no step of the wall clock moves.
On Linux all processes share this clock until the machine restarts, and each boot has an id. So times that were recorded
in this boot need no conversion, whatever the wall clock says.

After a restart of the machine, the monotonic clock begins anew, and only the wall clock tells how much time has passed
since. It may have been stepped meanwhile. At least the time since the boot has passed, so a smaller difference of the
wall clocks is not believed. A larger one is, as there is nothing to compare it with. Where that could break a rule, the
caller decides on the careful side: see ``Conversion.is_same_boot``.

A journal without boot ids, as earlier versions wrote it, tells both cases apart only by the wall clock: a small
difference between the two clock offsets, or one that would extend deadlines by less than an hour, counts as a
correction of the wall clock, and any other as a restart of the machine.

Times are microseconds.
"""

from __future__ import annotations

import struct
import time
from dataclasses import dataclass
from pathlib import Path
from uuid import UUID

SECOND = 1_000_000
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
BOOT_FIELDS = struct.Struct("<16sq")  # boot id, monotonic time at which the record was written
# A recorded time may be this much ahead of ours in the same boot, as the readings are not simultaneous.
MAX_AHEAD = 2 * SECOND
# Without boot ids: differences of the clock offsets from which on the machine counts as restarted.
MIN_SHIFT_BACK, MIN_SHIFT_FORWARD = 2 * SECOND, 3_600 * SECOND


def monotonic() -> int:
    """The monotonic clock."""
    return time.monotonic_ns() // 1000


def boot_id() -> bytes:
    """The 16 bytes that identify this boot of the machine; empty where the system does not tell."""
    try:
        return UUID(BOOT_ID_FILE.read_text().strip()).bytes
    except (OSError, ValueError):
        return b""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """What one process knew of its clocks when it wrote a part of the journal."""

    offset: int  # from the monotonic clock to Unix time
    boot: bytes = b""  # boot id; empty: unknown
    monotonic: int = 0  # time of this reading; 0: unknown

    @staticmethod
    def now() -> ClockReading:
        """A reading of the clocks of this process."""
        at = monotonic()
        return ClockReading(time.time_ns() // 1000 - at, boot_id(), at)


@dataclass(frozen=True, slots=True)
class Conversion:
    """How times of a writer become times of the reader."""

    shift: int = 0  # to add to a monotonic time of the writer
    offset: int = 0  # of the writer, from its monotonic clock to Unix time
    # Whether the writer's clock is the reader's. If not, the time that has passed since is an estimate.
    is_same_boot: bool = True

    def from_monotonic(self, when: int) -> int:
        """A monotonic time of the writer on the reader's clock."""
        return when + self.shift

    def from_unix(self, when: int) -> int:
        """A time that the writer recorded as Unix time, on the reader's monotonic clock."""
        return when - self.offset + self.shift


def conversion(writer: ClockReading, reader: ClockReading) -> Conversion:
    """How times recorded by ``writer`` become times of ``reader``, which reads them later."""
    if writer.boot and reader.boot:
        if writer.boot == reader.boot and writer.monotonic <= reader.monotonic + MAX_AHEAD:
            return Conversion(0, writer.offset)
        by_wall_clock = reader.monotonic + reader.offset - writer.monotonic - writer.offset
        elapsed = max(by_wall_clock, reader.monotonic)
        return Conversion(reader.monotonic - elapsed - writer.monotonic, writer.offset, is_same_boot=False)
    step = writer.offset - reader.offset
    if -MIN_SHIFT_BACK < step < MIN_SHIFT_FORWARD:
        return Conversion(0, writer.offset)
    return Conversion(step, writer.offset, is_same_boot=False)
