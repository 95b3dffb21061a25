"""Which notices are sent next, and when one is sent again. No I/O.

A notice stays in the queue until the platform has acknowledged or rejected it. While a request that carries it is
unanswered, it is sent again on another connection: a notice for a message that is over does no harm, and the first
request may be on a connection that is silent. All times are microseconds of the event loop's clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from kestrelspar.http.spare_connections import Choice
from kestrelspar.runtime.loop import MS, Suspension

MAX_BATCH_SIZE = 200  # notices in one request
# From a request to the next one that carries the same notice, while no response has come; doubles.
INITIAL_RESEND_INTERVAL, MAX_RESEND_INTERVAL = 100 * MS, 200 * MS
INITIAL_RETRY_DELAY, MAX_RETRY_DELAY = 25 * MS, 250 * MS  # after a request that failed; doubles


@dataclass(eq=False, slots=True)
class Notice:
    """One notice: its JSON, and the suspension of the task that waits for its acknowledgement."""

    line: str
    settled: Suspension
    due_at: int  # when it is to be sent next
    requests: int = 0  # that have carried it
    failures: int = 0  # of these
    first_sent_at: int = 0  # when the first request began that carries it
    sent_on: Choice | None = None  # the connection of the last request


Batch = list[Notice]  # the notices of one request


class NoticeQueue:
    """The notices that the platform has neither acknowledged nor rejected, oldest first."""

    def __init__(self) -> None:
        self._notices: dict[Notice, None] = {}
        self._halves: deque[Batch] = deque()  # of rejected batches; sent as they are, to find the rejected notice

    def __len__(self) -> int:
        return len(self._notices)

    def add(self, notice: Notice) -> None:
        """Queue a notice."""
        self._notices[notice] = None

    @property
    def has_halves(self) -> bool:
        """Whether a half of a rejected batch is to be sent."""
        return bool(self._halves)

    def next_due_at(self) -> int:
        """When the next notice is to be sent; 0 if halves of a rejected batch are. The queue must not be empty."""
        return 0 if self._halves else min(notice.due_at for notice in self._notices)

    def take_batch(self, now: int) -> Batch:
        """The notices that are to be sent now in one request; empty if ``next_due_at`` is later.

        Those whose last requests were on different connections, as ``next_sent_on`` tells, are sent in different ones.
        """
        if self._halves:
            batch = self._halves.popleft()
        else:
            sent_on = self.next_sent_on(now)
            due = (notice for notice in self._notices if notice.due_at <= now and notice.sent_on is sent_on)
            batch = list(islice(due, MAX_BATCH_SIZE))
        for notice in batch:
            notice.first_sent_at = notice.first_sent_at or now
            notice.due_at = now + min(MAX_RESEND_INTERVAL, INITIAL_RESEND_INTERVAL << min(notice.requests, 10))
            notice.requests += 1
        return batch

    def next_sent_on(self, now: int) -> Choice | None:
        """The connection of the last request with what ``take_batch`` returns next; None if there was none."""
        due = self._halves[0] if self._halves else (notice for notice in self._notices if notice.due_at <= now)
        return next((notice.sent_on for notice in due), None)

    def settle(self, batch: Batch) -> Batch:
        """Remove acknowledged or rejected notices; returns those that were still queued."""
        settled = self._still_queued(batch)
        for notice in settled:
            del self._notices[notice]
        remaining = map(self._still_queued, self._halves)
        self._halves = deque(half for half in remaining if half)
        return settled

    def split(self, batch: Batch) -> None:
        """Send the halves of a rejected batch of several notices, each in a request of its own."""
        queued = self._still_queued(batch)
        middle = len(queued) // 2
        self._halves += [half for half in (queued[:middle], queued[middle:]) if half]

    def retry(self, batch: Batch, now: int) -> int:
        """Send the notices of a failed request again after a delay, or earlier if they are due earlier.

        Returns how many of them are still queued.
        """
        owed = self._still_queued(batch)
        for notice in owed:
            delay = min(MAX_RETRY_DELAY, INITIAL_RETRY_DELAY << min(notice.failures, 10))
            notice.due_at = min(notice.due_at, now + delay)
            notice.failures += 1
        return len(owed)

    def make_due(self, now: int) -> None:
        """Send all notices again at once."""
        self._halves.clear()
        for notice in self._notices:
            notice.due_at = now

    def _still_queued(self, batch: Iterable[Notice]) -> Batch:
        return [notice for notice in batch if notice in self._notices]
