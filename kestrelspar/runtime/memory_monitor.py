"""Compares the memory account with the process at intervals, and logs which holders have reached their bounds."""

from __future__ import annotations

from collections import Counter

from kestrelspar.runtime import logs
from kestrelspar.runtime.loop import MS, SECOND, Loop
from kestrelspar.runtime.memory import Holder, MemoryAccount, ResidentMemory

SAMPLE_INTERVAL = 100 * MS
LOG_INTERVAL = SECOND  # between two lines about one holder


class MemoryMonitor:
    """Watches one account."""

    def __init__(self, loop: Loop, account: MemoryAccount, resident: ResidentMemory) -> None:
        self._loop, self._account, self._resident = loop, account, resident
        self._refused: Counter[Holder] = Counter()  # since the last line, by holder
        self._log_at: dict[Holder, int] = {}
        account.on_refusal = self._note_refusal

    def run(self) -> None:
        """Sample the process's memory until the process ends."""
        while True:
            self._account.sample(self._resident.read())
            for holder in [holder for holder in self._refused if self._log_at[holder] <= self._loop.now]:
                self._log(holder)
            self._loop.sleep(SAMPLE_INTERVAL)

    def _note_refusal(self, holder: Holder) -> None:
        self._refused[holder] += 1
        if self._log_at.setdefault(holder, 0) <= self._loop.now:
            self._log(holder)

    def _log(self, holder: Holder) -> None:
        holding = self._account.holdings()[holder]
        logs.warn(
            "memory-refused",
            holder=holder.value,
            count=self._refused.pop(holder),
            taken=holding.taken,
            peak=holding.peak,
            free=self._account.free,
        )
        self._log_at[holder] = self._loop.now + LOG_INTERVAL
