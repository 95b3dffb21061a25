"""Budgets from the decision module's state: own and reported limits, slow start, and second attempts."""

from __future__ import annotations

import pytest

from kestrelspar.peers.demand import slow_start_calls, take_snapshot
from kestrelspar.runtime.loop import SECOND as S
from snowlock.interface import AttemptEnded, Outcome
from tests.forwarder import MS, SECOND, Forwarder, route, settings


def forwarder_with_limit() -> Forwarder:
    f = Forwarder(settings(routes_apart=(True,), forwarders=10, limit_column=0, share_left_column=None))
    f.endpoints("a", "b")
    f.arrive(1)
    f.outcome(1, Outcome.OK, report=(50.0,))
    return f


def test_a_budget_follows_the_lower_of_own_and_reported_limit() -> None:
    f = forwarder_with_limit()
    known, other = (name.encode().ljust(6, b".").decode() for name in ("a", "b"))
    if f.sends[0][1].endpoint == route("b"):
        known, other = other, known
    found = take_snapshot(f.controller, f.settings, 0.9, 1.0)
    assert {key: (d.calls, d.window) for key, d in found.budgets.items()} == {f"e:{known}": (45, S)}
    assert found.routes == {known: 1, other: 1} and not found.down and not found.silent
    reported = take_snapshot(f.controller, f.settings, 0.9, 0.2, {known: 20.0, other: 100.0}.__getitem__)
    assert {key: d.calls * S / d.window for key, d in reported.budgets.items()} == {
        f"e:{known}": 18,
        f"e:{other}": 90,
        "r:1": pytest.approx(0.2 * (18 + 90), abs=1),
    }, "the lower of own and reported limit"
    above = take_snapshot(f.controller, f.settings, 0.9, 1.0, {known: 90.0, other: 0.0}.__getitem__)
    assert above.budgets[f"e:{known}"].calls == 45, "a reported limit never raises the own one"
    recovering = take_snapshot(f.controller, f.settings, 0.9, 1.0, recovering={known: 0})
    assert recovering.budgets[f"c:{known}"].fully_lendable and recovering.budgets[
        f"c:{known}"
    ].calls == slow_start_calls(50.0, 0, f.settings)


def test_the_snapshot_lists_silent_endpoints_and_those_in_an_outage() -> None:
    f = forwarder_with_limit()
    for number in range(2, 8):
        f.arrive(number)
    f.now += 5 * SECOND
    f.feed()
    assert take_snapshot(f.controller, f.settings, 0.9, 1.0).silent
    for (number, which), at in list(f.in_flight.items()):
        f.feed(AttemptEnded(number, which, at, Outcome.TIMEOUT, 100 * MS, False, 0))
    f.in_flight.clear()
    found = take_snapshot(f.controller, f.settings, 0.9, 1.0)
    assert found.down and found.closed == found.down


def test_slow_start_grows_in_delayed_steps() -> None:
    ramp_settings = settings(cold_from=0.2, ramp_ns=10 * SECOND, fall_ns=SECOND)
    calls = [slow_start_calls(100.0, since_return * S, ramp_settings) for since_return in range(0, 11)]
    assert calls == sorted(calls) and calls[0] == 10 and calls[-1] < 50
    for since_return, each in enumerate(calls):
        assert each <= 0.5 * 100 * (0.2 + 0.8 * max(0.0, since_return - 2.5) / 10) + 1e-6 or each == 10
