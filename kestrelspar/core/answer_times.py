"""How long before or after the end of its time each message's final answer was acknowledged. No I/O.

All times are microseconds of the event loop's clock.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass

from kestrelspar.runtime.loop import MS

# Bounds of the histogram: milliseconds left of the message's time at the acknowledgement; negative ones are late.
BUCKET_BOUNDS_MS = (-500, -300, -100, 0, 100, 300, 1_000)
LATE_AFTER = 300 * MS  # after a message's time, an end may be reported for so long (protocol page)


@dataclass(frozen=True, slots=True)
class AnswerSteps:
    """When the steps of one final answer were done."""

    decided_at: int  # the final state was known
    recorded_at: int  # it was in the journal, or the journal was no longer waited for
    acknowledged_at: int  # the sender side needed no further report

    def time_left(self, deadline: int) -> int:
        """Microseconds left of the message's time at the acknowledgement; negative if it was late."""
        return deadline - self.acknowledged_at

    def slowest(self, deadline: int) -> str:
        """The step that took the most time: ``decision`` counts from the deadline, the others from the step before."""
        durations = {
            "decision": self.decided_at - deadline,
            "journal": self.recorded_at - self.decided_at,
            "report": self.acknowledged_at - self.recorded_at,
        }
        return max(durations, key=durations.__getitem__)


class AnswerTimes:
    """Histogram of the time left at the acknowledgements of final answers."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)

    def record(self, time_left: int) -> None:
        """Count one final answer; ``time_left`` is in microseconds."""
        self._counts[bisect_left(BUCKET_BOUNDS_MS, time_left / MS)] += 1

    def as_dict(self) -> dict[str, int]:
        """Counts by the upper bound of the time left in milliseconds; not cumulative."""
        return dict(zip([*map(str, BUCKET_BOUNDS_MS), "more"], self._counts, strict=True))
