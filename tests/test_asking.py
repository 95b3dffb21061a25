"""Forty couriers and one overbooked discovery, which refused questions use up too, on a stepped clock."""

from __future__ import annotations

import heapq
from collections import deque

import pytest

from kestrelspar.http.asking import CONNECT, PATIENT, SPARE, TOLD, Asking
from kestrelspar.runtime.loop import MS, SECOND

TAKES = 10  # questions in any second; beyond that it refuses


def asked(couriers: int, span: int) -> tuple[list[int], set[int]]:
    """All lose their watch at 0: when they asked, and who was heard within the span."""
    askers = [Asking(couriers, seed, pushed=False) for seed in range(couriers)]
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


@pytest.mark.parametrize("couriers", [1, 3, 40, 200, 5_000])
def test_a_pushed_list_is_asked_for_within_the_time_that_a_drain_leaves(couriers: int) -> None:
    # Guards against a drain that many couriers, out of step with each other, would hear of too late.
    asking = Asking(couriers, 1, pushed=True)
    assert asking.start() == 0 and max(asking.broke(heard=True) for _ in range(200)) < 400 * MS
    assert max(asking.broke(heard=False) for _ in range(200)) < 6 * SECOND and asking.broke(heard=True) < 400 * MS


def test_a_few_wait_no_longer_than_before_and_each_by_its_own_seed() -> None:
    asking = Asking(3, 1, pushed=False)
    waits = [asking.broke(heard=False) for _ in range(200)]
    assert max(waits) < 2 * SECOND and max(waits[:2]) < 600 * MS and asking.start() < 150 * MS
    assert asking.broke(heard=True) < 150 * MS
    one, same, other = (Asking(40, seed, pushed=False) for seed in (2, 2, 3))
    assert one.start() == same.start() != other.start()


def gaps(asking: Asking, takes: list[int | None]) -> tuple[list[int], int | None]:
    """Times between the questions of one courier, whose heads take so long (None: refused at once); which was heard."""
    found = []
    for n, head in enumerate(takes):
        if head is not None and head <= asking.patience:
            return found, n
        lasted = CONNECT if head is None else CONNECT + asking.patience
        found.append(lasted + asking.broke(heard=False, slow=head is not None))
    return found, None


@pytest.mark.parametrize("couriers", [1, 3, 40, 200, 5_000])
@pytest.mark.parametrize("head", [1_500 * MS, 3 * SECOND, 3_900 * MS])
def test_a_discovery_that_takes_seconds_for_a_head_is_heard_and_asked_in_time(couriers: int, head: int) -> None:
    for seed in range(50):
        found, heard = gaps(Asking(couriers, seed, pushed=False), [None, head, None, head, head, head, head])
        assert heard is not None and max(found) <= TOLD - SPARE
        # For ever silent: asked as often as is needed to be told in time, and no more often than refused ones ask.
        silent, heard = gaps(Asking(couriers, seed, pushed=False), [TOLD] * 40)
        assert heard is None and max(silent) <= TOLD - SPARE and min(silent[3:]) >= PATIENT


def test_an_agent_that_pushes_is_never_waited_for_longer() -> None:
    asking = Asking(40, 1, pushed=True)
    silent, _ = gaps(asking, [TOLD] * 20)
    assert asking.patience == 1 * SECOND and max(silent) <= 3 * SECOND


def test_elsewhere_discovery_is_not_held_for_slow() -> None:
    asking = Asking(40, 1, pushed=False)
    gaps(asking, [TOLD] * 5)
    assert asking.patience == PATIENT
    asking.moved()
    assert asking.patience == 1 * SECOND
