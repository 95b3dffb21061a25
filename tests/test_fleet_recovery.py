"""A recovering endpoint must not be overloaded by the sum of all couriers' calls.

Where N calls are expected, the bound is N + 2 * sqrt(N) + 2, which allows for chance.
"""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from kestrelspar.core.courier import Courier
from kestrelspar.journal import Journal
from kestrelspar.runtime.loop import SECOND as LOOP_SECOND
from snowlock import interface as api
from snowlock.interface import EndpointList, ListKind, Outcome
from tests.bench import JOURNAL_MAX_BYTES, CourierTestbed, settings
from tests.fleet_recovery import Scenario, Simulation
from tests.forwarder import MS, SECOND, Forwarder, route

# Share of the couriers that restart, time of their restart in s, load as a share of the limit, and duration of the
# outage in s, which ends at 14 s.
RESTARTS_AND_LOADS = [
    (0.0, 0.0, 1.6, 3.0),
    (0.0, 0.0, 1.3, 8.0),
    (0.7, 14.3, 1.0, 8.0),
    (0.7, 12.0, 1.3, 8.0),
    (1.0, 16.0, 1.3, 8.0),
]


@pytest.mark.parametrize(
    ("couriers", "rate"),
    [(2, 1), (2, 20), (2, 60), (10, 3), (10, 100), (30, 2), (30, 10), (200, 3), (200, 12), (200, 60)],
)
def test_a_recovering_endpoint_is_not_overloaded_by_the_fleet(couriers: int, rate: float) -> None:
    # Guards against three faults: the number of other couriers is estimated from the time at which this courier noticed
    # the outage (200 couriers, 3 calls a second: 1.4 times the bound); a restarted courier knows nothing of the outage
    # (2 couriers: 1.2 times the bound); the calls of a window raise the budget of the same window.
    for restarted, restart_at, load, duration in RESTARTS_AND_LOADS:
        for seed, how in enumerate(("refuses", "closed", "retry-after", "hangs")):
            scenario = Scenario(couriers, rate, how, load, 14 - duration, 14, restart_at, restarted, seed, until=21)
            assert Simulation(scenario).run().worst_overload() <= 1, scenario


@pytest.mark.parametrize(("how", "seed"), [("refuses", 4), ("hangs", 1)])
def test_couriers_that_notice_an_outage_late_count_in_the_fail_back_budget(how: str, seed: int) -> None:
    assert Simulation(Scenario(200, 3, how, 1.3, 4, 18, seed=seed, until=28)).run().worst_overload() <= 1


def test_half_of_the_load_is_served_within_six_seconds_of_recovery() -> None:
    times = [
        Simulation(Scenario(couriers, 20, "refuses", 1.0, seed=1)).run().recovery_time()
        for couriers in (2, 10, 30, 200)
    ]
    assert max(times) < 6


def test_a_restarted_courier_knows_of_outages_and_recoveries(tmp_path: Path) -> None:
    # Guards against a restarted courier that knows nothing of an outage and sends its backlog at once.
    testbed = CourierTestbed(tmp_path, routes_apart=(True, True))
    entries = (api.Endpoint(b"a", 7), api.Endpoint(b"b", 7))
    testbed.courier._events.append(EndpointList(ListKind.DELTA, entries))
    testbed.courier._decide()
    controller = testbed.courier.controller
    controller._mark_down(controller.routes[b"a"], "test")
    controller.routes[b"a"].failing_since = (testbed.loop.now - 3 * LOOP_SECOND) * 1000
    testbed.courier._events.append(api.AttemptEnded(99, 0, b"a", Outcome.TIMEOUT, 0, False))
    testbed.courier._decide()

    def restarted() -> Courier:
        copy = Path(shutil.copytree(tmp_path, tmp_path.parent / "copy", dirs_exist_ok=True))
        return Courier(testbed.loop, settings(routes_apart=(True, True)), 1, Journal(str(copy), JOURNAL_MAX_BYTES))

    entry = restarted()._with_journalled_state(entries[0])
    assert (
        abs(entry.down_ns - 3 * SECOND) < 100 * MS
        and entry.back_ns == 0
        and restarted()._with_journalled_state(entries[1]) == entries[1]
    )
    controller.routes[b"a"].recovering_since = (testbed.loop.now - LOOP_SECOND) * 1000
    testbed.courier._events.append(api.AttemptEnded(99, 0, b"b", Outcome.OK, 0, True))
    testbed.courier._decide()
    assert abs(restarted()._with_journalled_state(entries[0]).back_ns - SECOND) < 100 * MS
    controller.routes[b"a"].down = False
    testbed.courier._events.append(api.AttemptEnded(99, 0, b"a", Outcome.OK, 0, True))
    testbed.courier._decide()
    assert restarted()._with_journalled_state(entries[0]) == entries[0]


@pytest.mark.parametrize(
    ("down", "recovering", "delayed"), [(5, 0, True), (5, 2, True), (20, 12, False), (0, 0, False)]
)
def test_a_route_that_was_down_before_a_restart_is_not_called_at_once(
    down: int, recovering: int, delayed: bool
) -> None:
    sent_at_once = []
    for seed in range(20):
        f = Forwarder(seed=seed)
        f.feed(
            EndpointList(
                ListKind.DELTA,
                (api.Endpoint(route("a"), 1, limit=2.0, down_ns=down * SECOND, back_ns=recovering * SECOND),),
            )
        )
        sent_at_once.append(bool(f.arrive(1)))
    assert any(sent_at_once) is not delayed
