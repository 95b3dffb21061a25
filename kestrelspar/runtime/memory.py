"""The account of the process's memory: what each holder may take of ``limits.memory_mb``, and what it has taken.

The platform ends a process that exceeds the limit, files in the state directory included. What clients cause is taken
from the account before it is allocated, and refused where there is no room. What is needed to answer and end accepted
messages is set aside at the start, so that clients cannot use it up. Sizes are bytes.
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

MB = 1_000_000
# A request that asks for more than this share of what is free is refused, so that small ones still have room when
# large ones no longer do.
MAX_SHARE_OF_FREE = 1 / 8
SAMPLE_TOLERANCE = MB  # by which the process may exceed its account before the difference counts as used


class Holder(Enum):
    """What memory is taken for; the values are the names in logs and statistics."""

    PROGRAM = "program"  # code, lists and settings at the start
    ANSWERS = "answers"  # set aside for delivery attempts, notices and lists
    FILES = "files"  # in the state directory, a compacted copy included
    CONNECTIONS = "connections"  # of clients
    REQUESTS = "requests"  # heads and bodies that are being received
    MESSAGES = "messages"  # open messages with their bodies
    ENDED = "ended"  # ids of ended messages, kept to recognize duplicates
    SESSIONS = "sessions"  # PDUs that are being received over SMPP
    UNACCOUNTED = "unaccounted"  # what the process holds beyond all of these


@dataclass(frozen=True, slots=True)
class Holding:
    """What a holder has taken, the most that it had, and how often it was refused."""

    taken: int
    peak: int
    refusals: int


class MemoryAccount:
    """What is taken of the limit, by holder.

    ``on_refusal`` is called with the holder each time that one is refused.
    """

    def __init__(self, limit: int, max_shares: dict[Holder, float] | None = None) -> None:
        """``max_shares``: by holder, the most that it may take of what is not set aside at the start."""
        self.limit = limit
        self._max_shares = max_shares or {}
        self._taken: Counter[Holder] = Counter()
        self._peaks: Counter[Holder] = Counter()
        self._refusals: Counter[Holder] = Counter()
        self._set_aside = 0
        self._peak_taken = 0  # of all holders together, without ``FILES`` and ``UNACCOUNTED``
        self.on_refusal: Callable[[Holder], None] = lambda holder: None

    @property
    def free(self) -> int:
        """What no holder has taken; negative if more is taken than the limit."""
        return self.limit - self._taken.total()

    def set_aside(self, holder: Holder, size: int) -> None:
        """Take a fixed amount for the whole run of the process."""
        self._set_aside += size
        self.take(holder, size)

    def take(self, holder: Holder, size: int) -> None:
        """Take memory that can't be refused."""
        self._taken[holder] += size
        self._peaks[holder] = max(self._peaks[holder], self._taken[holder])
        self._peak_taken = max(self._peak_taken, self._resident_taken())

    def has_room(self, holder: Holder, size: int) -> bool:
        """Whether ``try_take`` would succeed."""
        share = self._max_shares.get(holder, 1.0)
        is_within_share = self._taken[holder] + size <= share * (self.limit - self._set_aside)
        return is_within_share and size <= MAX_SHARE_OF_FREE * self.free

    def try_take(self, holder: Holder, size: int) -> bool:
        """Take memory, if there is room for it; a refusal is counted."""
        if not self.has_room(holder, size):
            self.count_refusal(holder)
            return False
        self.take(holder, size)
        return True

    def count_refusal(self, holder: Holder) -> None:
        """Count that something was refused for lack of memory."""
        self._refusals[holder] += 1
        self.on_refusal(holder)

    def give_back(self, holder: Holder, size: int) -> None:
        """Return what was taken."""
        self._taken[holder] -= size

    def sample(self, resident: int) -> None:
        """Compare the account with what the process holds in memory.

        Freed memory stays with the process, so that it may hold as much as the account's peak. What it holds beyond
        that is memory that no holder knows of.
        """
        self._taken[Holder.UNACCOUNTED] = max(0, resident - self._peak_taken - SAMPLE_TOLERANCE)
        self._peaks[Holder.UNACCOUNTED] = max(self._peaks[Holder.UNACCOUNTED], self._taken[Holder.UNACCOUNTED])

    def _resident_taken(self) -> int:
        return self._taken.total() - self._taken[Holder.FILES] - self._taken[Holder.UNACCOUNTED]

    def as_dict(self) -> dict[str, object]:
        """The account for statistics: limit, free bytes, and by holder the bytes taken, their peak and refusals."""
        return {
            "limit": self.limit,
            "free": self.free,
            "holders": {
                holder.value: {"taken": holding.taken, "peak": holding.peak, "refused": holding.refusals}
                for holder, holding in self.holdings().items()
                if holding.peak or holding.refusals
            },
        }

    def holdings(self) -> dict[Holder, Holding]:
        """The account by holder."""
        return {holder: Holding(self._taken[holder], self._peaks[holder], self._refusals[holder]) for holder in Holder}


class ResidentMemory:
    """Reads how much memory this process holds; one descriptor stays open."""

    def __init__(self) -> None:
        self._page_size = os.sysconf("SC_PAGE_SIZE")
        try:
            self._file = os.open("/proc/self/statm", os.O_RDONLY)
        except OSError:
            self._file = -1

    def read(self) -> int:
        """Bytes in memory; 0 if the system does not tell."""
        if self._file < 0:
            return 0
        try:
            return int(os.pread(self._file, 100, 0).split()[1]) * self._page_size
        except (OSError, ValueError, IndexError):
            return 0
