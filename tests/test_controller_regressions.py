"""Regression tests of the decision module: one for each failure found in incidents and in random scenarios."""

from __future__ import annotations

import pytest

from snowlock.control import EAGER_SWEEP_MAX_ROUTES
from snowlock.interface import (
    Arrival,
    AttemptEnded,
    EndpointList,
    EndpointState,
    ListKind,
    Outcome,
    Refuse,
    Safety,
    Tenant,
)
from tests.forwarder import MS, SECOND, Forwarder, message_class, route, settings


def deliver(f: Forwarder, destination: int, start: int, count: int = 20, latency: int = 100 * MS) -> None:
    """Deliver ``count`` messages, numbered from ``start``, so that the latency of the destination is known."""
    for number in range(start, start + count):
        f.arrive(number, destination=destination)
        f.wait(latency)
        f.outcome(number, Outcome.OK, latency=latency)


def test_the_slot_cap_applies_only_while_other_destinations_wait_for_a_slot() -> None:
    f = Forwarder(settings(slots=6))
    f.endpoints("a", destination=1)
    f.endpoints("b", destination=2)
    deliver(f, 1, 100)
    f.arrive(1, destination=2)
    f.outcome(1, Outcome.FULL, wait_ns=5 * SECOND)  # destination 2 waits for the retry-after, not for a slot
    for number in range(10, 20):
        f.arrive(number, destination=1)
    assert len(f.in_flight) == 5
    f.endpoints("c", destination=3)
    assert [s.message for s in f.arrive(30, destination=3)] == [30]


def test_destinations_with_short_calls_get_scarce_slots_first() -> None:
    f = Forwarder(settings(slots=2))
    f.endpoints("s", destination=1)
    f.endpoints("q", destination=2)
    deliver(f, 1, 1, latency=2 * SECOND)
    deliver(f, 2, 100)
    f.endpoints("x", destination=3)
    f.endpoints("y", destination=4)
    f.arrive(500, destination=3)
    f.arrive(501, destination=4)
    assert f.arrive(502, destination=1) == f.arrive(503, destination=2) == []
    assert [s.message for s in f.outcome(500, Outcome.OK)] == [503]


def test_the_longest_backlog_is_refused_with_a_retry_after_while_nearly_full() -> None:
    f = Forwarder(settings(slots=2, max_open=20, max_retry_after_ns=3 * SECOND))
    for number in range(30):
        f.arrive(number)
    answers = [answer for _, answer in f.answers.values()]
    assert len(answers) == 12
    assert all(isinstance(answer, Refuse) and 0 < answer.retry_after_ns <= 3 * SECOND for answer in answers)


def test_new_messages_avoid_a_silent_route_before_the_first_time_out() -> None:
    f = Forwarder(settings(slots=50, tolls=(0.0, 1.0)))
    f.endpoints("a", rate=1.0)
    f.endpoints("b", rate=1.0, zone=1)
    deliver(f, 1, 1)
    f.arrive(100)
    f.arrive(101)
    f.wait(3 * SECOND)
    assert [s.endpoint for s in f.arrive(102)] == [route("b")]


def test_hanging_routes_leave_slots_to_routes_that_answer() -> None:
    # Guards against calls to hanging destinations that together hold every slot until their time-outs.
    f = Forwarder(settings(message_class(aim_ns=4 * SECOND), message_class(Safety.UNSAFE, aim_ns=3 * SECOND), slots=10))
    for destination in range(1, 6):
        f.endpoints("abcde"[destination - 1], destination=destination)
        deliver(f, destination, 100 * destination, latency=40 * MS)
    waits: list[int] = []

    def advance() -> None:
        f.wait(8 * MS)
        due = {send.message: at + send.timeout_ns for at, send in f.sends}
        for message, _ in [call for call in f.in_flight if due[call[0]] <= f.now]:
            f.outcome(message, Outcome.TIMEOUT)

    for number in range(1000, 1400):
        f.arrive(number, cls=number % 2, destination=1 + number % 5)
        if number % 5 == 4:  # the only destination that answers
            start = f.now
            while (number, 0) not in f.in_flight and f.now < start + 2 * SECOND:
                advance()
            waits.append(f.now - start)
            if (number, 0) in f.in_flight:
                f.outcome(number, Outcome.OK, latency=40 * MS)
        advance()
    assert sum(waits) / len(waits) < 20 * MS


def test_a_route_gets_two_calls_until_its_first_answer() -> None:
    # Guards against calls that hold all slots when a replaced endpoint hangs, or at a start during an outage.
    f = Forwarder()
    f.endpoints("a")
    for number in range(1, 9):
        f.arrive(number)
    assert len(f.in_flight) == 2
    f.outcome(1, Outcome.OK)
    f.wait(100 * MS)
    assert len(f.in_flight) == 7


def test_unsafe_calls_have_a_long_time_out_only_while_they_are_few() -> None:
    f = Forwarder(settings(message_class(Safety.UNSAFE, aim_ns=3 * SECOND), slots=20))
    f.endpoints("a", rate=1000.0)
    deliver(f, 1, 1, latency=40 * MS)
    timeouts = [sent.timeout_ns for number in range(100, 104) for sent in f.arrive(number)]
    assert timeouts[0] == timeouts[1] == 6 * SECOND and timeouts[3] < SECOND


def test_a_lossy_route_is_not_marked_down_and_unsafe_messages_avoid_it() -> None:
    # Guards against a route that loses a third of the answers being marked down every few seconds.
    f = Forwarder(settings(message_class(), message_class(Safety.UNSAFE), slots=20, tolls=(0.0, 1.0)))
    f.endpoints("b", rate=100.0, zone=1)
    deliver(f, 1, 1, latency=40 * MS)
    f.endpoints("a", rate=100.0)
    deliver(f, 1, 50, latency=40 * MS)
    for number in range(100, 400):
        f.arrive(number)
        f.wait(10 * MS)
        while number not in f.answers and (number, f.attempts[number] - 1) in f.in_flight:
            lost = number % 3 == 0 and f.in_flight[number, f.attempts[number] - 1] == route("a")
            f.outcome(number, Outcome.RESET if lost else Outcome.OK, latency=40 * MS)
        for message in [message for message, _ in f.in_flight]:
            f.outcome(message, Outcome.OK, latency=40 * MS)
    assert not f.logs
    for number, cls, name in ((1000, 0, "a"), (1001, 1, "b")):
        (sent,) = f.arrive(number, cls=cls)
        assert sent.endpoint == route(name)


def test_consecutive_time_outs_mark_a_route_down_sooner_than_quick_failures() -> None:
    # Guards against hanging routes that stay in use for long because many calls elsewhere were lost.
    for outcome, down in ((Outcome.TIMEOUT, True), (Outcome.RESET, False)):
        f = Forwarder(settings(slots=50))
        f.endpoints("a", destination=1)
        deliver(f, 1, 1)
        # With these usual shares, three failures in a row prove an outage only if they are time-outs.
        f.controller.failure_shares = [0.2, 0.2]
        for number in range(100, 103):
            f.arrive(number)
        for number in range(100, 103):
            f.outcome(number, outcome)
        assert bool(f.logs) is down


def test_a_queue_is_not_evaluated_while_no_slot_is_free() -> None:
    # Guards against work that grows with the square of the number of held messages.
    f = Forwarder(settings(slots=2, max_open=10_000))
    f.endpoints("a", "b")
    for number in range(500):
        f.arrive(number)
    evaluations: list[int] = []  # not empty once the worth of a message has been evaluated
    f.controller._worth = lambda *_: float(len(evaluations) or not evaluations.append(1))  # type: ignore
    for number in range(500, 600):
        f.arrive(number)
    assert not evaluations and len(f.in_flight) == 1


def test_a_single_call_probes_a_route_after_a_refusal() -> None:
    f = Forwarder(settings(slots=50))
    f.endpoints("a")
    f.arrive(1)
    f.outcome(1, Outcome.FULL)
    for number in range(2, 8):
        f.arrive(number)
    assert len(f.wait(1200 * MS)) == 1


def test_calls_are_paced_to_the_reported_limit() -> None:
    f = Forwarder(settings(slots=50, limit_column=0))
    f.endpoints("a")
    f.arrive(1)
    f.feed(AttemptEnded(1, 0, route("a"), Outcome.OK, 100 * MS, True, report=(4.0,)))
    del f.in_flight[1, 0]
    f.answers[1] = (f.now, Outcome.OK)
    f.feed(*(Arrival(n, 0, 1, 10 * SECOND) for n in range(2, 40)))
    for _ in range(30):
        f.wait(100 * MS)
        for message, number in list(f.in_flight):
            target = f.in_flight.pop((message, number))
            f.answers[message] = (f.now, Outcome.OK)
            f.feed(AttemptEnded(message, number, target, Outcome.OK, 100 * MS, True, report=(4.0,)))
    assert 10 <= len(f.sends) - 1 <= 4 * 3 + 4


def test_failed_connects_beside_answered_calls_are_a_connection_cap_and_no_outage() -> None:
    f = Forwarder(settings(slots=50))
    f.endpoints("a")
    for number in range(1, 6):
        f.arrive(number)
    f.wait(100 * MS)
    f.outcome(1, Outcome.OK)
    f.outcome(2, Outcome.CONNECT_FAILED)
    assert not f.logs
    assert [s.message for s in f.wait(SECOND)] == [2]  # tried again beside the calls that are still in flight


def test_backoff_grows_with_each_try() -> None:
    f = Forwarder(settings(message_class(deadline_ns=60 * SECOND), max_attempts=6))
    f.endpoints("a", "b", "c", rate=1000.0)
    f.arrive(1)
    backoffs = []
    for _ in range(4):
        ended = f.now
        f.outcome(1, Outcome.RESET)
        while (1, f.attempts[1] - 1) not in f.in_flight:
            f.wait(MS)
        backoffs.append(f.now - ended)
    assert all(later > 1.5 * sooner for sooner, later in zip(backoffs, backoffs[1:], strict=False))


def test_a_tenants_burst_waits_behind_messages_within_other_tenants_shares() -> None:
    f = Forwarder(settings(slots=2, tenants=(Tenant(2.0), Tenant(2.0)), over_share_worth=0.2))
    f.endpoints("a", "b")
    for destination, name in ((3, "x"), (4, "y")):
        f.endpoints(name, destination=destination)
        f.arrive(destination, destination=destination)
    f.feed(*(Arrival(n, 0, 1, 10 * SECOND, tenant=0) for n in range(10, 30)))
    f.feed(Arrival(50, 0, 1, 10 * SECOND, tenant=1))
    served = []
    for number in [3, 4] + [0] * 8:  # 0: the message that was sent last
        sends = f.outcome(number or served[-1], Outcome.OK)
        served += [s.message for s in sends]
    assert served.index(50) < 7  # after the messages of the burst within its tenant's share, before the others


def test_idle_connections_of_seldom_called_endpoints_are_closed_where_connects_fail() -> None:
    for capped in (False, True):
        f = Forwarder(settings(slots=50, idle_ns=5 * SECOND))
        f.endpoints("a", destination=1)
        f.endpoints("b", destination=2)
        for number in range(1, 12):
            f.arrive(number, destination=1 + number % 2)
            f.outcome(number, Outcome.CONNECT_FAILED if capped and number == 5 else Outcome.OK)
            f.wait(9 * SECOND)
        assert bool(f.closed) is capped


def test_refusals_are_an_outage_only_if_the_allowance_is_unused() -> None:
    for remaining, down in ((0.1, False), (0.97, True)):
        f = Forwarder(settings(slots=50, limit_column=0, share_left_column=1))
        f.endpoints("a")
        for number in range(1, 6):
            f.arrive(number)
        for number in range(1, 6):
            if (number, 0) in f.in_flight:
                target = f.in_flight.pop((number, 0))
                f.feed(AttemptEnded(number, 0, target, Outcome.FULL, 1, False, 0, report=(8.0, remaining)))
                f.wait(SECOND)
        assert bool(f.logs) is down


def test_refusals_lengthen_the_call_interval_to_an_equal_share_of_the_rate() -> None:
    f = Forwarder(
        settings(
            message_class(deadline_ns=90 * SECOND),
            slots=50,
            forwarders=100,
            limit_column=0,
            share_left_column=1,
            max_attempts=100,
        )
    )
    f.endpoints("a")
    f.arrive(1)
    start = f.now
    while f.now < start + 60 * SECOND:
        if (1, f.attempts[1] - 1) in f.in_flight:
            number = f.attempts[1] - 1
            target = f.in_flight.pop((1, number))
            f.feed(AttemptEnded(1, number, target, Outcome.FULL, 1, False, 0, report=(10.0, 0.0)))
        f.wait(100 * MS)
    assert len(f.sends) <= 12


def test_only_the_class_that_fails_at_an_endpoint_avoids_it() -> None:
    f = Forwarder(settings(message_class(), message_class(), slots=50, tolls=(0.0, 1.0)))
    f.endpoints("a", zone=0)
    f.endpoints("b", zone=1)
    number = 0
    for _ in range(6):
        for cls in (0, 1):
            number += 1
            f.arrive(number, cls=cls)
            while number not in f.answers:
                target = f.in_flight.get((number, f.attempts[number] - 1))
                if target is not None:
                    f.outcome(number, Outcome.ERROR if cls and target == route("a") else Outcome.OK)
                f.wait(500 * MS)
    assert [s.endpoint for s in f.arrive(100, cls=0)] == [route("a")]
    assert [s.endpoint for s in f.arrive(101, cls=1)] == [route("b")]


def test_messages_are_answered_despite_absurd_rates_and_load_reports() -> None:
    absurd = (0.0, -3.0, float("inf"), float("-inf"), float("nan"), 1e-40, 1e38)
    for forwarders in (1, 5000):
        f = Forwarder(
            settings(
                message_class(deadline_ns=20 * SECOND),
                slots=1,
                forwarders=forwarders,
                limit_column=0,
                share_left_column=1,
            )
        )
        for index, rate in enumerate(absurd):
            for _ in range(2):
                f.endpoints(f"r{index}", destination=index, rate=rate)
            f.endpoints(f"r{index}", destination=index + 50, kind=1, rate=rate)
            f.endpoints(f"r{index}", destination=index, rate=rate)
        f.feed(*(Arrival(n, 0, n % len(absurd), 20 * SECOND) for n in range(1, 60)))
        outcomes = [Outcome.FULL, Outcome.OK, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.OK]
        for step in range(400):
            for message, attempt in sorted(f.in_flight):
                end = outcomes[step % 5]
                target = f.in_flight.pop((message, attempt))
                report = (absurd[step % 7], absurd[step % 3])
                f.feed(AttemptEnded(message, attempt, target, end, step, end is Outcome.OK, 0, report=report))
                if end is Outcome.OK:
                    f.answers[message] = (f.now, end)
            f.wait(100 * MS)
        assert len(f.answers) == 59 and all(0 <= at < 1 << 63 for at, _ in f.timers)


def test_removed_routes_and_finished_messages_are_forgotten() -> None:
    f = Forwarder(settings(message_class(Safety.SAFE, ordered=True), slots=50))
    for number in range(1, 120):
        f.endpoints(f"e{number}", destination=1)
        f.arrive(number, key=number)
        f.outcome(number, Outcome.TIMEOUT if number % 2 else Outcome.OK)
        f.endpoints(f"e{number}", destination=1, state=EndpointState.GONE)
        f.wait(11 * SECOND)
    controller = f.controller
    assert (
        len(controller.routes) <= 3
        and len(controller.key_available_at) <= 3
        and not controller.key_queues
        and not controller.messages
    )


def test_messages_that_wait_for_a_route_are_bundled_into_one_call_and_one_slot() -> None:
    f = Forwarder(settings(slots=3, bundles=(4, 1)))
    f.endpoints("a")
    f.arrive(1)
    f.outcome(1, Outcome.FULL, wait_ns=800 * MS)
    for number in range(2, 12):
        f.arrive(number)
    sent = f.wait(4 * SECOND)
    # One call of four messages probes the route; the others wait for its outcome.
    assert [s.message for s in sent[:4]] == [1, 2, 3, 4]
    assert len(sent) == 4 and f.controller.inflight == 1
    for number in (3, 1, 4):  # outcomes in any order
        f.outcome(number, Outcome.OK)
    assert f.controller.inflight >= 1
    f.outcome(2, Outcome.OK)
    f.wait(4 * SECOND)
    assert {5, 6, 7, 8} <= {s.message for _, s in f.sends}


def test_the_outcome_of_a_bundled_call_counts_once() -> None:
    f = Forwarder(settings(bundles=(20,)))
    for number in range(1, 4):
        f.arrive(number)
    assert len(f.endpoints("a")) == 3  # all in one call
    for number in range(1, 4):
        f.outcome(number, Outcome.CONNECT_FAILED)
    assert f.controller.routes[route("a")].failures == 1


def test_idle_connections_are_closed_before_use_while_calls_on_them_are_lost() -> None:
    f = Forwarder(settings(idle_ns=60 * SECOND))
    for name, destination in (("a", 1), ("b", 2), ("c", 3)):
        f.endpoints(name, destination=destination)
        deliver(f, destination, destination * 100)
    for number, destination in ((1, 1), (2, 2), (3, 3)):
        f.wait(SECOND)
        f.arrive(number, destination=destination)
        if not f.closed:
            f.wait(SECOND)
            f.outcome(number, Outcome.TIMEOUT)
    assert f.closed == [route("c")]  # two calls were lost: the third uses a new connection
    f.outcome(3, Outcome.OK)
    f.arrive(4, destination=3)
    # Idle connections are closed again, as the endpoint may have others that are older than the one just used.
    assert len(f.closed) == 2
    f.outcome(4, Outcome.OK)
    f.wait(60 * SECOND)
    f.arrive(5, destination=3)
    assert len(f.closed) == 2  # the estimated loss has decayed, so this call tests an idle connection


def test_a_message_whose_repeat_window_has_ended_is_answered_at_once() -> None:
    cls = message_class(Safety.KEYED, zone_bound=True, window_ns=3 * SECOND, deadline_ns=20 * SECOND)
    f = Forwarder(settings(cls))
    f.endpoints("a")
    start = f.now
    f.arrive(1)
    f.wait(SECOND)
    f.outcome(1, Outcome.ERROR)
    f.endpoints("a", state=EndpointState.GONE)
    f.wait(15 * SECOND)
    assert 1 in f.answers and f.answers[1][0] <= start + 4 * SECOND


def test_a_failed_list_request_is_repeated_by_a_timer_with_growing_backoff() -> None:
    f = Forwarder(settings(must_subscribe=True, ask_within_ns=10 * SECOND))
    backoffs: list[int] = []
    for _ in range(6):
        f.arrive(100 + len(backoffs))
        f.feed(EndpointList(ListKind.FAILED))
        failed, before = f.now, f.subscribed
        f.arrive(200 + len(backoffs))  # other events do not repeat the request
        assert f.subscribed == before
        while f.subscribed == before:
            f.wait(50 * MS)
        backoffs.append(f.now - failed)
    assert backoffs[-1] > 3 * backoffs[0] and max(backoffs) <= 10 * SECOND


def test_a_retry_after_to_the_end_of_a_used_up_rate_window_is_no_outage() -> None:
    for remaining, logged in ((0.0, False), (1.0, True)):
        f = Forwarder(settings(share_left_column=0, limit_column=1))
        f.endpoints("a")
        f.arrive(1)
        f.feed(AttemptEnded(1, 0, route("a"), Outcome.FULL, 50 * MS, False, 1500 * MS, report=(remaining, 4.0)))
        assert any("refuses all" in line for line in f.logs) is logged


def test_a_route_is_added_to_a_large_list_right_after_a_sweep_of_removed_routes() -> None:
    # With EAGER_SWEEP_MAX_ROUTES or more routes, removed ones are not swept at each change of the list. Guards against
    # an exception when a route is added between two sweeps to a destination whose routes share a limit.
    f = Forwarder()
    f.endpoints(*(f"{number:04}" for number in range(EAGER_SWEEP_MAX_ROUTES)), kind=1)
    f.wait(MS)
    f.endpoints("added", destination=2, kind=1)
    assert len(f.controller.routes) == EAGER_SWEEP_MAX_ROUTES + 1
    assert [send.endpoint for send in f.arrive(1, destination=2)] == [route("added")]


def test_a_route_added_to_a_large_list_shares_the_outage_of_its_destination() -> None:
    f = Forwarder()
    f.endpoints(*(f"{number:04}" for number in range(EAGER_SWEEP_MAX_ROUTES)), kind=1)
    f.endpoints("a", destination=2, kind=1)
    for number in range(1, 6):
        f.arrive(number, destination=2)
    for number in [number for number, _ in f.in_flight if number < 6]:
        f.outcome(number, Outcome.CONNECT_FAILED)
    f.wait(MS)
    f.endpoints("b", destination=2, kind=1)
    assert f.controller.routes[route("b")].down


@pytest.mark.parametrize("noise", [900.0, 999_999.0])
def test_noise_that_raises_a_limit_lasts_for_one_response(noise: float) -> None:
    # Guards against calls above the limit for as long as two honest reports take.
    f = Forwarder(settings(message_class(), columns=("x0", "x1"), share_left_column=0, limit_column=1, slots=4))
    f.endpoints("a")
    for number, rate in enumerate((60.0, 60.0, noise, 60.0)):
        f.arrive(number)
        f.wait(SECOND)
        f.outcome(number, Outcome.OK, report=(0.5, rate))
    assert f.controller.routes[route("a")].limit.rate == 60.0


def test_a_limit_that_falls_below_a_tenth_counts_with_the_second_report() -> None:
    f = Forwarder(settings(message_class(), columns=("x0", "x1"), share_left_column=0, limit_column=1, slots=4))
    f.endpoints("a")
    rates = []
    for number, rate in enumerate((600.0, 3.0, 3.0)):
        f.arrive(number)
        f.wait(SECOND)
        f.outcome(number, Outcome.OK, report=(0.5, rate))
        rates.append(f.controller.routes[route("a")].limit.rate)
    assert rates == [600.0, 600.0, 3.0]
