"""Cold endpoints fall under the sum of what all couriers send: beyond N calls only 2 x root of N + 2 are chance."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from kestrelspar.core.courier import Courier
from kestrelspar.journal import Journal
from kestrelspar.runtime.loop import SECOND as S
from snowlock import interface as api
from snowlock.interface import EndpointList, ListKind, Outcome
from tests.bench import LIMIT, Scene, settings
from tests.cold import Play, Story
from tests.forwarder import MS, SECOND, Forwarder, route

# The part of the couriers that restart, when, the load, and how long the outage is: it ends at 14 s.
SHAPES = [
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
def test_a_cold_return_is_never_pushed_over(couriers: int, rate: float) -> None:
    # Guards against a guess at the others from when this one heard (200 couriers, 3 calls a second: 1.4 times the
    # bound), a restart that knows nothing (2 couriers: 1.2), and growth on itself within one span.
    for restarted, at, load, span in SHAPES:
        for seed, how in enumerate(("refuses", "shut", "told", "hangs")):
            story = Story(couriers, rate, how, load, 14 - span, 14, at, restarted, seed, until=21)
            assert Play(story).run().worst() <= 1, story


@pytest.mark.parametrize(("how", "seed"), [("refuses", 4), ("hangs", 1)])
def test_two_hundred_that_heard_of_it_late_are_no_fewer(how: str, seed: int) -> None:
    assert Play(Story(200, 3, how, 1.3, 4, 18, seed=seed, until=28)).run().worst() <= 1


def test_recovery_is_not_given_away() -> None:
    slow = [Play(Story(couriers, 20, "refuses", 1.0, seed=1)).run().recovered() for couriers in (2, 10, 30, 200)]
    assert max(slow) < 6


def test_a_restart_recalls_outages_and_their_end(tmp_path: Path) -> None:
    # Guards against a restarted courier that knows nothing of an outage and lets its backlog go at once.
    scene = Scene(tmp_path, routes_apart=(True, True))
    rows = (api.Endpoint(b"a", 7), api.Endpoint(b"b", 7))
    scene.courier._events.append(EndpointList(ListKind.DELTA, rows))
    scene.courier._decide()
    module = scene.courier.module
    module._mark_down(module.routes[b"a"], "test")
    module.routes[b"a"].failing_since = (scene.loop.now - 3 * S) * 1000
    scene.courier._events.append(api.AttemptEnded(99, 0, b"a", Outcome.TIMEOUT, 0, False))
    scene.courier._decide()

    def again() -> Courier:
        copy = Path(shutil.copytree(tmp_path, tmp_path.parent / "copy", dirs_exist_ok=True))
        return Courier(scene.loop, settings(routes_apart=(True, True)), 1, Journal(str(copy), LIMIT))

    row = again()._recalled(rows[0])
    assert abs(row.down_ns - 3 * SECOND) < 100 * MS and row.back_ns == 0 and again()._recalled(rows[1]) == rows[1]
    module.routes[b"a"].back = (scene.loop.now - S) * 1000
    scene.courier._events.append(api.AttemptEnded(99, 0, b"b", Outcome.OK, 0, True))
    scene.courier._decide()
    assert abs(again()._recalled(rows[0]).back_ns - SECOND) < 100 * MS
    module.routes[b"a"].down = False
    scene.courier._events.append(api.AttemptEnded(99, 0, b"a", Outcome.OK, 0, True))
    scene.courier._decide()
    assert again()._recalled(rows[0]) == rows[0]


@pytest.mark.parametrize(("down", "back", "careful"), [(5, 0, True), (5, 2, True), (20, 12, False), (0, 0, False)])
def test_a_route_that_was_down_before_a_restart_is_not_called_at_once(down: int, back: int, careful: bool) -> None:
    first = []
    for seed in range(20):
        f = Forwarder(seed=seed)
        f.feed(
            EndpointList(
                ListKind.DELTA, (api.Endpoint(route("a"), 1, limit=2.0, down_ns=down * SECOND, back_ns=back * SECOND),)
            )
        )
        first.append(bool(f.arrive(1)))
    assert any(first) is not careful
