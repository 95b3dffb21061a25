"""Suspensions by other forwarders' reports only make the controller more careful, and end when they expire.

The last test is of agreed shares of a tenant's rate, which also come from other forwarders.
"""

from __future__ import annotations

from snowlock.interface import Arrival, Judged, Outcome, Parts, Safety, Send, Tenant
from tests.forwarder import MS, SECOND, Forwarder, message_class, route, settings


def suspend(f: Forwarder, name: str, duration: int, one_at_a_time: bool = False) -> list[Send]:
    """Suspend a route, or lift its suspension if ``duration`` is 0; returns the calls that follow at once."""
    return f.feed(Judged(((route(name), f.now + duration if duration else 0, one_at_a_time),)))


def test_a_suspended_route_gets_no_calls_until_the_suspension_expires_or_is_lifted() -> None:
    f = Forwarder(settings(routes_apart=(True,)))
    f.endpoints("a")
    suspend(f, "a", SECOND)
    assert f.arrive(1) == [] and f.wait(900 * MS) == []
    assert [s.message for s in f.wait(200 * MS)] == [1]
    f.outcome(1, Outcome.OK)
    suspend(f, "a", 5 * SECOND)
    f.arrive(2)
    assert f.arrive(3) == [] and [s.message for s in suspend(f, "a", 0)] == [2, 3]
    f.feed(Judged(((b"nobody", f.now + SECOND, False),)))  # an unknown endpoint causes no exception


def test_a_throttled_route_gets_one_call_at_a_time_and_others_are_unaffected() -> None:
    f = Forwarder(settings(routes_apart=(True,)))
    f.endpoints("a")
    suspend(f, "a", SECOND, one_at_a_time=True)
    sent = [s.message for n in range(5) for s in f.arrive(n)]
    assert sent == [0]
    f.wait(50 * MS)
    assert [s.message for s in f.outcome(0, Outcome.OK)] == [1]
    assert {s.endpoint for s in f.endpoints("b")} == {route("b")}


def test_an_agreed_share_of_a_tenants_rate_replaces_the_estimate() -> None:
    def weights(*shares: tuple[int, float]) -> list[float]:
        f = Forwarder(
            settings(message_class(Safety.SAFE), forwarders=200, tenants=(Tenant(100.0, "t"),), over_share_worth=0.5)
        )
        f.feed(Parts((), shares))
        for number in range(40):
            f.feed(Arrival(number, 0, 1, 9 * SECOND, 0, 0))
        return [f.controller.messages[n].weight for n in range(40)]

    estimated, agreed = (sum(weight == 1.0 for weight in each) for each in (weights(), weights((0, 10.0))))
    assert estimated <= 4 and 19 <= agreed <= 20, "the messages of two seconds at ten a second"
