"""Backoff of forty couriers on a stepped clock, against a discovery whose request limit also counts refusals."""

from __future__ import annotations

import heapq
from collections import deque

import pytest

from kestrelspar.http.backoff import (
    CONNECT_TIMEOUT,
    MAX_RESPONSE_TIMEOUT,
    MAX_STALENESS,
    SAFETY_MARGIN,
    DiscoveryBackoff,
)
from kestrelspar.runtime.loop import MS, SECOND

REQUESTS_PER_SECOND = 10  # in any second; discovery refuses what exceeds this


def simulate(couriers: int, duration: int) -> tuple[list[int], set[int]]:
    """All couriers lose their watch at 0. Returns the times of their requests, and which couriers were served."""
    backoffs = [DiscoveryBackoff(couriers, seed, pushed=False) for seed in range(couriers)]
    due = [(backoff.next_delay(received=True), courier) for courier, backoff in enumerate(backoffs)]
    heapq.heapify(due)
    recent: deque[int] = deque()
    times, answered = [], set()
    while due and due[0][0] < duration:
        now, courier = heapq.heappop(due)
        while recent and recent[0] <= now - SECOND:
            recent.popleft()
        recent.append(now)
        times.append(now)
        if len(recent) <= REQUESTS_PER_SECOND:
            answered.add(courier)
        else:
            heapq.heappush(due, (now + 5 * MS + backoffs[courier].next_delay(received=False), courier))
    return times, answered


def test_forty_couriers_that_lose_discovery_at_once_all_reconnect() -> None:
    times, answered = simulate(40, 20 * SECOND)
    assert len(answered) == 40
    busiest = max(sum(at <= other < at + SECOND for other in times) for at in times)
    assert busiest < 35 and len(times) < 160


@pytest.mark.parametrize("couriers", [1, 3, 40, 200, 5_000])
def test_a_pushed_list_is_requested_within_the_time_that_a_drain_allows(couriers: int) -> None:
    # Guards against spreading the requests of a large fleet so widely that some couriers learn of a drain too late.
    backoff = DiscoveryBackoff(couriers, 1, pushed=True)
    assert backoff.initial_delay() == 0 and max(backoff.next_delay(received=True) for _ in range(200)) < 400 * MS
    assert (
        max(backoff.next_delay(received=False) for _ in range(200)) < 6 * SECOND
        and backoff.next_delay(received=True) < 400 * MS
    )


def test_small_fleets_have_short_delays_and_each_seed_has_its_own() -> None:
    backoff = DiscoveryBackoff(3, 1, pushed=False)
    waits = [backoff.next_delay(received=False) for _ in range(200)]
    assert max(waits) < 2 * SECOND and max(waits[:2]) < 600 * MS and backoff.initial_delay() < 150 * MS
    assert backoff.next_delay(received=True) < 150 * MS
    one, same, other = (DiscoveryBackoff(40, seed, pushed=False) for seed in (2, 2, 3))
    assert one.initial_delay() == same.initial_delay() != other.initial_delay()


def request_intervals(backoff: DiscoveryBackoff, header_delays: list[int | None]) -> tuple[list[int], int | None]:
    """Intervals between the requests of one courier, and the index of the one that was answered.

    ``header_delays``: for each request, the time until the response headers arrive (None: no connection in time).
    """
    found = []
    for n, header_delay in enumerate(header_delays):
        if header_delay is not None and header_delay <= backoff.response_timeout:
            return found, n
        lasted = CONNECT_TIMEOUT if header_delay is None else CONNECT_TIMEOUT + backoff.response_timeout
        found.append(lasted + backoff.next_delay(received=False, headers_timed_out=header_delay is not None))
    return found, None


@pytest.mark.parametrize("couriers", [1, 3, 40, 200, 5_000])
@pytest.mark.parametrize("header_delay", [1_500 * MS, 3 * SECOND, 3_900 * MS])
def test_slow_response_headers_are_waited_for_and_requests_stay_frequent_enough(
    couriers: int, header_delay: int
) -> None:
    for seed in range(50):
        found, answered = request_intervals(
            DiscoveryBackoff(couriers, seed, pushed=False),
            [None, header_delay, None, header_delay, header_delay, header_delay, header_delay],
        )
        assert answered is not None and max(found) <= MAX_STALENESS - SAFETY_MARGIN
        # Never answered: requests are frequent enough to learn of changes in time, and no more frequent than after
        # refusals.
        silent, answered = request_intervals(DiscoveryBackoff(couriers, seed, pushed=False), [MAX_STALENESS] * 40)
        assert (
            answered is None
            and max(silent) <= MAX_STALENESS - SAFETY_MARGIN
            and min(silent[3:]) >= MAX_RESPONSE_TIMEOUT
        )


def test_the_response_timeout_does_not_grow_where_the_list_is_pushed() -> None:
    backoff = DiscoveryBackoff(40, 1, pushed=True)
    silent, _ = request_intervals(backoff, [MAX_STALENESS] * 20)
    assert backoff.response_timeout == 1 * SECOND and max(silent) <= 3 * SECOND


def test_an_address_change_resets_the_response_timeout() -> None:
    backoff = DiscoveryBackoff(40, 1, pushed=False)
    request_intervals(backoff, [MAX_STALENESS] * 5)
    assert backoff.response_timeout == MAX_RESPONSE_TIMEOUT
    backoff.address_changed()
    assert backoff.response_timeout == 1 * SECOND
