"""Counters of all couriers, which merge in any order and any number of times. No I/O.

Everything that decides the value of a fleet-wide counter lives in this file. Times are microseconds of the caller's
clock.

Theory of operation
-------------------
Counters only grow. Of each courier, two sets of counters are kept for its latest process epoch: the totals from before
that epoch (``past``), and the counts since its start (``current``). Within an epoch the larger value of each counter
wins; a later epoch replaces an earlier one. So merging is a join: order, repetition and delay don't matter.

Only the courier itself adds up its epochs; if each courier did, they would arrive at different sums. Its ``past`` is
what it persisted, or what the others hold of an earlier epoch (both sets together) if that is more. So a
lost state directory or a crash between two writes loses nothing that any other courier had received.

Every ``REPORT_INTERVAL`` a courier sends some others its changed counters, those that have waited longest first, and a
random part of all its counters; ``CounterRequest`` requests all of them at once. Counters of couriers that are gone are
sent in the replies of any courier that holds them. Each courier has at most ``MAX_COUNTERS`` counters in an epoch; all
further ones are counted together as ``OVERFLOW_KEY``.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from kestrelspar.peers.members import Outgoing
from kestrelspar.peers.messages import CounterReport, CounterRequest, PeerMessage

MS, SECOND = 1_000, 1_000_000  # microseconds
REPORT_INTERVAL = 2 * SECOND  # between unrequested reports
REPORT_FANOUT = 2  # members that receive each unrequested report
ROWS_PER_MESSAGE = 16  # counters in a message, so that it fits a datagram
MAX_KEY_LENGTH = 40  # characters of a counter's name
MAX_COUNTERS = 1_000  # max counters of one courier
OVERFLOW_KEY = "beyond"  # the counter for all further ones
MAX_COURIERS = 4_096  # max couriers whose counters are held
MAX_REPLIES = 40  # reports in reply to one request
REPLY_INTERVAL = SECOND  # min time between replies to one member


@dataclass(slots=True)
class CourierCounters:
    """The counters of one courier."""

    epoch: int
    past: dict[str, int] = field(default_factory=dict)  # totals from before the epoch
    current: dict[str, int] = field(default_factory=dict)  # counts since the epoch began
    reported_at: int = 0  # when the courier itself reported them, by the local clock; never earlier than it really did

    def total(self) -> dict[str, int]:
        """Totals over all epochs."""
        return {key: self.past.get(key, 0) + self.current.get(key, 0) for key in self.past.keys() | self.current.keys()}


class FleetCounters:
    """This courier's counters, and those it holds of the others."""

    def __init__(self, own_name: str, epoch: int, now: int, past: dict[str, int], random: Random) -> None:
        self.own_name = own_name
        self.silent = False
        self.by_courier: dict[str, CourierCounters] = {own_name: CourierCounters(epoch, dict(past), {}, now)}
        self._random = random
        self._former_epochs: dict[int, CourierCounters] = {}  # what others hold of this courier's earlier epochs
        self._changed_keys: dict[str, None] = {}  # own counters to report, the longest waiting first
        self._next_report_at = now + REPORT_INTERVAL
        self._last_reply: dict[str, int] = {}
        self._request_pending = False

    # Counters of this courier

    def add(self, key: str, amount: int = 1) -> None:
        """Add to a counter of this courier."""
        own_counters, key = self.by_courier[self.own_name].current, key[:MAX_KEY_LENGTH]
        if key not in own_counters and len(own_counters) >= MAX_COUNTERS:
            key = OVERFLOW_KEY
        own_counters[key] = own_counters.get(key, 0) + amount
        self._changed_keys[key] = None

    def own_totals(self) -> dict[str, int]:
        """Totals to persist for the next epoch."""
        return self.by_courier[self.own_name].total()

    # Counters of other couriers

    def receive(self, sender: str, messages: Iterable[PeerMessage], now: int, gone: set[str]) -> Outgoing:
        """Handle a member's messages about counters. ``gone``: members that are dead or have left.

        A reply covers this courier, the requesting one (its earlier epochs), and those gone, which can't reply.
        """
        out: Outgoing = []
        for message in messages:
            if isinstance(message, CounterReport):
                self.merge(message, now)
            elif (
                isinstance(message, CounterRequest)
                and not self.silent
                and now >= self._last_reply.get(sender, -REPLY_INTERVAL) + REPLY_INTERVAL
            ):
                self._last_reply[sender] = now
                replies = [
                    report for name in (self.own_name, sender, *sorted(gone)) for report in self.reports_on(name, now)
                ]
                out += [(sender, [report]) for report in replies[:MAX_REPLIES]]
        return out

    def merge(self, report: CounterReport, now: int) -> None:
        """Merge a report, whichever courier it is about and whoever sent it.

        Ignored if its epoch is not the latest, or if it is about one courier more than ``MAX_COURIERS``. Of reports on
        this courier, only those on its earlier epochs count.
        """
        if report.name == self.own_name:
            self._merge_own(report)
            return
        counters = self.by_courier.get(report.name)
        if counters is None or report.epoch > counters.epoch:
            if counters is None and len(self.by_courier) >= MAX_COURIERS:
                return
            counters = self.by_courier[report.name] = CourierCounters(report.epoch)
        if report.epoch < counters.epoch:
            return
        target = counters.past if report.past else counters.current
        for key, count in report.rows:
            if key in target or len(target) <= MAX_COUNTERS:  # one more than the limit, for ``OVERFLOW_KEY``
                target[key] = max(target.get(key, 0), count)
        counters.reported_at = max(counters.reported_at, now - report.age * MS)

    def _merge_own(self, report: CounterReport) -> None:
        """Merge a report on an earlier epoch: it exceeds what was persisted if the state file is outdated or lost."""
        own_counters = self.by_courier[self.own_name]
        if report.epoch >= own_counters.epoch:
            return
        former = self._former_epochs.setdefault(report.epoch, CourierCounters(report.epoch))
        target = former.past if report.past else former.current
        for key, count in report.rows:
            if key in target or len(target) <= MAX_COUNTERS:
                target[key] = max(target.get(key, 0), count)
                total = former.past.get(key, 0) + former.current.get(key, 0)
                if total > own_counters.past.get(key, 0):
                    own_counters.past[key] = total
        if len(self._former_epochs) > 2:  # only the latest can exceed what was persisted
            del self._former_epochs[min(self._former_epochs)]

    # Reports to other couriers

    def request_all(self) -> None:
        """Request all counters of all members with the next tick."""
        self._request_pending = True

    def tick(self, now: int, others: list[str]) -> Outgoing:
        """Messages that are due."""
        out: Outgoing = []
        if self.silent:
            return out
        if self._request_pending:
            self._request_pending = False
            out += [(name, [CounterRequest()]) for name in others]
        if now >= self._next_report_at and others:
            self._next_report_at = now + REPORT_INTERVAL
            self.by_courier[self.own_name].reported_at = now
            receivers = self._random.sample(others, min(REPORT_FANOUT, len(others)))
            changed = list(self._changed_keys)[:ROWS_PER_MESSAGE]
            for key in changed:
                del self._changed_keys[key]
            complete = self.reports_on(self.own_name, now)
            for name in receivers:
                own_counters = self.by_courier[self.own_name]
                if changed:
                    out.append(
                        (
                            name,
                            [
                                CounterReport(
                                    self.own_name,
                                    own_counters.epoch,
                                    False,
                                    0,
                                    [(key, own_counters.current[key]) for key in changed],
                                )
                            ],
                        )
                    )
                if complete:  # one random report of all its counters, for couriers that missed earlier ones
                    out.append((name, [self._random.choice(complete)]))
        return out

    def reports_on(self, name: str, now: int) -> list[CounterReport]:
        """Reports on all counters that are held of one courier; none if it is unknown."""
        counters = self.by_courier.get(name)
        if counters is None:
            return []
        age = 0 if name == self.own_name else max(0, now - counters.reported_at) // MS
        reports = []
        for past, values in ((True, counters.past), (False, counters.current)):
            items = sorted(values.items())
            reports += [
                CounterReport(name, counters.epoch, past, age, items[start : start + ROWS_PER_MESSAGE])
                for start in range(0, len(items), ROWS_PER_MESSAGE)
            ]
        return reports

    # Totals

    def fleet_totals(self, now: int) -> dict[str, dict[str, int]]:
        """Fleet totals by counter: sum, number of couriers included, and age of the oldest report in milliseconds."""
        totals: dict[str, dict[str, int]] = {}
        for name, counters in self.by_courier.items():
            age = 0 if name == self.own_name else max(0, now - counters.reported_at) // MS
            for key, count in counters.total().items():
                total = totals.setdefault(key, {"sum": 0, "couriers": 0, "age_ms": 0})
                total["sum"] += count
                total["couriers"] += 1
                total["age_ms"] = max(total["age_ms"], age)
        return dict(sorted(totals.items()))
