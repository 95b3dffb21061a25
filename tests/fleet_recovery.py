"""Simulation of a fleet of independent controllers whose only endpoint recovers from an outage.

It measures the load on the recovering endpoint, and the time until it serves half of its limit again.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass

from msgspec.structs import replace

from snowlock.interface import Arrival, Endpoint, EndpointList, ListKind, Outcome, RateHint, Safety, Send, Settings
from tests.forwarder import MS, SECOND, Forwarder, message_class, settings

FALL_NS, RAMP_NS, COLD_FROM, TIP_MULTIPLE = 1_500 * MS, 9 * SECOND, 0.2, 2.0
CALL_DURATION = 40 * MS
MAX_OPEN = 40  # messages that a courier may hold


def fleet_settings(couriers: int) -> Settings:
    safe = message_class(aim_ns=4 * SECOND, deadline_ns=16 * SECOND, late_worth=0.4)
    once = message_class(Safety.UNSAFE, aim_ns=3 * SECOND, deadline_ns=16 * SECOND, late_worth=0.4)
    return settings(
        safe,
        once,
        slots=6,
        max_open=MAX_OPEN,
        max_attempts=8,
        forwarders=couriers,
        rate_hint=RateHint.NONE,
        share_left_column=0,
        limit_column=1,
        fall_ns=FALL_NS,
        ramp_ns=RAMP_NS,
        cold_from=COLD_FROM,
        tip_multiple=TIP_MULTIPLE,
        max_retry_after_ns=2 * SECOND,
        connect_timeout_ns=1_500 * MS,
    )


@dataclass
class Scenario:
    """An outage of the endpoint, the load, and a restart of some couriers; times in seconds from the start."""

    couriers: int
    rate: float  # the endpoint's limit, in calls a second
    how: str = "refuses"  # refuses (connections), errors, closed (refuses calls), retry-after, or hangs
    load: float = 1.0  # messages, as a share of the limit
    begins: float = 6.0
    ends: float = 14.0
    restart_at: float = 0.0
    restarted: float = 0.0  # share of the couriers that restart
    seed: int = 1
    until: float = 26.0


class Simulation:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.random = scenario, random.Random(scenario.seed)
        self.couriers = [self._courier(n, scenario.seed * 1_000 + n) for n in range(scenario.couriers)]
        self.start = self.couriers[0].now
        # By courier and message: class and deadline.
        self.accepted: list[dict[int, tuple[int, int]]] = [{} for _ in self.couriers]
        # Of each call: time of its end, courier, message, time at which it was sent, outcome, retry-after, load report.
        self.in_flight: deque[tuple[int, int, int, int, Outcome, int, tuple[float, ...]]] = deque()
        self.calls: list[tuple[int, bool]] = []  # time of each call, and whether its courier knew of the outage
        self.aware: set[int] = set()  # couriers with a failed call since the outage began
        self.recent: deque[int] = deque()  # times of the calls in the last second
        self.served: list[int] = []  # times of the served calls
        self.number = 0

    def _courier(self, number: int, seed: int, before: Forwarder | None = None) -> Forwarder:
        f = Forwarder(replace(fleet_settings(self.scenario.couriers), number=number), seed)
        entry = Endpoint(b"a", 1)
        if before is not None:
            f.now = before.now
            entry = replace(entry, limit=before.controller.routes[b"a"].limit.rate)
            if outage := before.controller.outages(b"a")[b"a"]:
                entry = replace(entry, down_ns=f.now - outage[0], back_ns=f.now - outage[1] if outage[1] else 0)
        f.feed(EndpointList(ListKind.DELTA, (entry,)))
        return f

    def _outcome(self, now: int) -> tuple[int, Outcome, int, tuple[float, ...]]:
        """Return the end time, outcome, retry-after and load report of a call made now."""
        s, at = self.scenario, (now - self.start) / SECOND
        if s.begins <= at < s.ends:
            if s.how == "refuses":
                return now + 5 * MS, Outcome.CONNECT_FAILED, 0, ()
            if s.how == "errors":
                return now + CALL_DURATION, Outcome.ERROR, 0, ()
            if s.how == "closed":
                return now + 20 * MS, Outcome.FULL, 0, (1.0, s.rate)
            if s.how == "retry-after":
                return now + 20 * MS, Outcome.FULL, int((s.ends - at) * SECOND), (1.0, s.rate)
            return now + 60 * SECOND, Outcome.TIMEOUT, 0, ()  # hangs: the courier's time-out comes first
        while self.recent and self.recent[0] <= now - SECOND:
            self.recent.popleft()
        self.recent.append(now)
        report = (max(0.0, 1 - len(self.recent) / s.rate), s.rate)
        if len(self.recent) > max(1.0, s.rate):
            return now + 20 * MS, Outcome.FULL, 0, report
        self.served.append(now)
        return now + CALL_DURATION, Outcome.OK, 0, report

    def _record_sends(self, index: int, sends: list[Send]) -> None:
        f = self.couriers[index]
        for send in sends:
            self.calls.append((f.now, index in self.aware))
            due, outcome, wait, report = self._outcome(f.now)
            if due > f.now + send.timeout_ns:
                due, outcome = f.now + send.timeout_ns, Outcome.TIMEOUT
            self.in_flight.append((due, index, send.message, f.now, outcome, wait, report))

    def run(self) -> Simulation:
        s, step = self.scenario, 20 * MS
        weights = [self.random.expovariate(1.0) + 0.1 for _ in self.couriers]  # couriers have uneven loads
        arrival = self.start
        for at in range(self.start + step, self.start + int(s.until * SECOND), step):
            if s.restarted and at - step < self.start + s.restart_at * SECOND <= at:
                self._restart(at)
            for index, f in enumerate(self.couriers):
                if f.timers and min(f.timers)[0] <= at:
                    self._record_sends(index, f.run_to(at))
                f.now = at
            due = sorted(call for call in self.in_flight if call[0] <= at)
            self.in_flight = deque(call for call in self.in_flight if call[0] > at)
            for _, index, message, sent, outcome, wait, report in due:
                f = self.couriers[index]
                if sent >= self.start + s.begins * SECOND and outcome is not Outcome.OK:
                    self.aware.add(index)
                if (message, f.attempts.get(message, 0) - 1) in f.in_flight:
                    self._record_sends(index, f.outcome(message, outcome, wait, at - sent, report=report))
            while arrival <= at:
                arrival += int(self.random.expovariate(s.load * s.rate) * SECOND)
                index = self.random.choices(range(len(self.couriers)), weights)[0]
                f = self.couriers[index]
                if len(f.controller.messages) < MAX_OPEN:
                    self.number += 1
                    cls = self.number % 2
                    self.accepted[index][self.number] = cls, f.now + 16 * SECOND
                    self._record_sends(index, f.arrive(self.number, cls))
        return self

    def _restart(self, now: int) -> None:
        """Restart couriers with their untried messages, and with the limits and outages that a journal retains."""
        for index in range(int(self.scenario.restarted * len(self.couriers))):
            old = self.couriers[index]
            self.in_flight = deque(call for call in self.in_flight if call[1] != index)
            new = self.couriers[index] = self._courier(index, self.random.randrange(1 << 30), old)
            for message, (cls, deadline) in self.accepted[index].items():
                if message in old.controller.messages and not old.attempts.get(message) and deadline > now:
                    self._record_sends(index, new.feed(Arrival(message, cls, 1, deadline - now, 0, 0)))

    def worst_overload(self) -> float:
        """Return the largest ratio, over all windows of the slow start, of calls to the bound that allows for chance.

        Above 1 the endpoint is overloaded. A window has the length FALL_NS, ends with a call, and counts only if over
        two thirds of its calls came from couriers that knew of the outage. 0 if none counts.
        """
        s, worst = self.scenario, 0.0
        recovered_at = self.start + int(s.ends * SECOND)
        calls = [(at, aware) for at, aware in self.calls if at >= recovered_at]
        first = 0
        for position, (at, _) in enumerate(calls):
            share = min(1.0, COLD_FROM + (1 - COLD_FROM) * (at - recovered_at) / RAMP_NS)
            if share >= 1:
                break
            while calls[first][0] <= at - FALL_NS:
                first += 1
            expected = TIP_MULTIPLE * share * s.rate * FALL_NS / SECOND
            window = calls[first : position + 1]
            if sum(aware for _, aware in window) > len(window) * 2 / 3:
                worst = max(worst, len(window) / (expected + 2 * math.sqrt(expected) + 2))
        return worst

    def recovery_time(self) -> float:
        """Return the seconds from the end of the outage to the first second in which enough calls are served.

        Enough is half of the load or of the limit, whichever is less. Infinite if there is no such second.
        """
        recovered_at = self.start + int(self.scenario.ends * SECOND)
        served = [at for at in self.served if at >= recovered_at]
        required = min(1.0, self.scenario.load) * self.scenario.rate / 2
        for at in served:
            if sum(at <= other < at + SECOND for other in served) >= required:
                return (at - recovered_at) / SECOND
        return math.inf
