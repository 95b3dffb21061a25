"""Forty couriers and one overbooked discovery, which refused questions use up too, on a stepped clock."""

from __future__ import annotations

import heapq
from collections import deque

from kestrelspar.http.asking import Asking
from kestrelspar.runtime.loop import MS, SECOND

TAKES = 10  # questions in any second; beyond that it refuses


def asked(couriers: int, span: int) -> tuple[list[int], set[int]]:
    """All lose their watch at 0: when they asked, and who was heard within the span."""
    askers = [Asking(couriers, seed) for seed in range(couriers)]
    due = [(asking.broke(heard=True), which) for which, asking in enumerate(askers)]
    heapq.heapify(due)
    recent: deque[int] = deque()
    times, heard = [], set()
    while due and due[0][0] < span:
        now, which = heapq.heappop(due)
        while recent and recent[0] <= now - SECOND:
            recent.popleft()
        recent.append(now)
        times.append(now)
        if len(recent) <= TAKES:
            heard.add(which)
        else:
            heapq.heappush(due, (now + 5 * MS + askers[which].broke(heard=False), which))
    return times, heard


def test_forty_that_lose_discovery_at_once_all_hear_it_again() -> None:
    times, heard = asked(40, 20 * SECOND)
    assert len(heard) == 40
    busiest = max(sum(at <= other < at + SECOND for other in times) for at in times)
    assert busiest < 35 and len(times) < 160


def test_a_few_wait_no_longer_than_before_and_each_by_its_own_seed() -> None:
    asking = Asking(3, 1)
    waits = [asking.broke(heard=False) for _ in range(200)]
    assert max(waits) < 2 * SECOND and max(waits[:2]) < 600 * MS and asking.start() < 150 * MS
    assert asking.broke(heard=True) < 150 * MS
    assert [Asking(40, 2).start() for _ in range(2)] == [Asking(40, 2).start()] * 2 != [Asking(40, 3).start()] * 2
