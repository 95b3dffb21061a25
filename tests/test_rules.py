"""The six rules that a controller's actions must keep; each test is a scenario in which a wrong action breaks one."""

from __future__ import annotations

from snowlock.interface import EndpointState, Fail, Outcome, RateHint, Refuse, Safety, Withdrawn
from tests.forwarder import MS, SECOND, Forwarder, message_class, route, settings


def test_a_waiting_message_is_answered_before_its_deadline() -> None:
    f = Forwarder()
    start = f.now
    f.arrive(1)  # no route at all
    f.run_to(start + 10 * SECOND)
    at, answer = f.answers[1]
    assert isinstance(answer, Refuse) and at < start + 10 * SECOND


def test_a_time_out_at_the_deadline_is_answered() -> None:
    f = Forwarder(settings(message_class(Safety.UNSAFE)))
    f.endpoints("a")
    (send,) = f.arrive(1)
    f.wait(send.timeout_ns)
    f.outcome(1, Outcome.TIMEOUT)
    assert isinstance(f.answers[1][1], Fail)


def test_an_unsafe_message_is_not_sent_again_after_it_may_have_run() -> None:
    for outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET):
        f = Forwarder(settings(message_class(Safety.UNSAFE)))
        f.endpoints("a", "b")
        assert f.arrive(1)
        f.outcome(1, outcome)
        f.wait(9 * SECOND)
        assert len(f.sends) == 1 and isinstance(f.answers[1][1], Fail)


def test_an_unsafe_message_is_sent_again_if_it_cannot_have_run() -> None:
    for outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT):
        f = Forwarder(settings(message_class(Safety.UNSAFE)))
        f.endpoints("a", "b")
        assert f.arrive(1)
        f.outcome(1, outcome)
        f.wait(9 * SECOND)
        assert len(f.sends) == 2


def test_a_keyed_message_stays_in_its_zone_and_window() -> None:
    cls = message_class(Safety.KEYED, zone_bound=True, window_ns=3 * SECOND)
    f = Forwarder(settings(cls, tolls=(0.0, 1.0)))
    f.endpoints("a", zone=0)
    f.endpoints("b", zone=1)
    assert f.arrive(1)[0].endpoint == route("a")
    first = f.now
    while 1 not in f.answers and f.now < first + 9 * SECOND:
        if (1, f.attempts[1] - 1) in f.in_flight:
            f.outcome(1, Outcome.TIMEOUT)
        f.wait(100 * MS)
    assert len(f.sends) > 1 and {s.endpoint for _, s in f.sends} == {route("a")}
    assert max(at for at, _ in f.sends) < first + 3 * SECOND and isinstance(f.answers[1][1], Fail)


def test_nothing_new_goes_to_a_draining_or_gone_endpoint() -> None:
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        f = Forwarder()
        f.endpoints("a", "b")
        f.endpoints("a", state=state)
        assert [s.endpoint for n in range(2) for s in f.arrive(n)] == [route("b")] * 2
        f.outcome(0, Outcome.OK)
        f.wait(50 * MS)
        assert {s.endpoint for n in range(2, 5) for s in f.arrive(n)} == {route("b")}


def test_a_retry_after_blocks_the_route_for_every_message() -> None:
    f = Forwarder()
    f.endpoints("a")
    f.arrive(1)
    refused_at = f.now
    f.outcome(1, Outcome.FULL, wait_ns=2 * SECOND)
    assert f.arrive(2) == []
    assert f.run_to(refused_at + 2 * SECOND - 1) == []
    assert [s.message for s in f.wait(200 * MS)] == [1]
    f.outcome(1, Outcome.OK)
    f.wait(200 * MS)
    assert [s.message for _, s in f.sends] == [1, 1, 2]


def test_a_retry_after_blocks_all_routes_that_share_a_limit() -> None:
    f = Forwarder()
    f.endpoints("a", "b", kind=1)
    f.arrive(1)
    assert f.outcome(1, Outcome.FULL, wait_ns=2 * SECOND) == [] and f.arrive(2) == []
    assert f.endpoints("c", kind=1) == []  # a route that is listed during the wait is blocked too


def test_messages_of_one_key_are_sent_one_at_a_time_and_in_order() -> None:
    f = Forwarder(settings(message_class(Safety.UNSAFE, ordered=True)))
    f.endpoints("a", "b")
    assert f.arrive(1, key=9) and f.arrive(2, key=9) == [] and f.arrive(3, key=8)
    assert [s.message for s in f.outcome(1, Outcome.OK)] == [2]


def test_a_key_waits_for_settle_ns_after_an_attempt_that_may_still_run() -> None:
    f = Forwarder(settings(message_class(Safety.UNSAFE, ordered=True)))
    f.endpoints("a", "b")
    f.arrive(1, key=9)
    f.arrive(2, key=9)
    assert f.outcome(1, Outcome.TIMEOUT) == []
    assert f.wait(99 * MS) == [] and [s.message for s in f.wait(300 * MS)] == [2]


def test_a_withdrawn_message_holds_its_key_while_its_attempt_is_in_flight() -> None:
    f = Forwarder(settings(message_class(Safety.UNSAFE, ordered=True)))
    f.endpoints("a", "b")
    f.arrive(1, key=9)
    f.arrive(2, key=9)
    assert f.feed(Withdrawn(1)) == [] and f.wait(SECOND) == []
    f.answers[1] = (f.now, "withdrawn")
    assert [s.message for s in f.outcome(1, Outcome.OK)] == [2]


def test_a_failing_route_gets_few_calls_and_more_as_it_recovers() -> None:
    f = Forwarder(settings(slots=100))
    f.endpoints("a", rate=10.0)
    number = 0
    counts = []
    for second in range(24):
        before = len(f.sends)
        for _ in range(20):
            number += 1
            f.arrive(number)
            f.wait(50 * MS)
            for message, attempt in list(f.in_flight):
                f.outcome(message, Outcome.CONNECT_FAILED if second < 8 else Outcome.OK, attempt=attempt)
        counts.append(len(f.sends) - before)
    bound = 2.0 * 0.2 * 10.0
    assert max(counts[2:9]) <= bound and counts[-1] > 3 * max(counts[2:9])


def test_a_replacement_listed_during_an_outage_is_not_flooded() -> None:
    f = Forwarder(settings(slots=100))
    f.endpoints("a", kind=1, rate=10.0)
    for number in range(1, 6):
        f.arrive(number)
    for number in range(1, 6):
        if (number, 0) in f.in_flight:
            f.outcome(number, Outcome.CONNECT_FAILED)
    f.endpoints("b", kind=1, rate=10.0)
    f.endpoints("a", kind=1, state=EndpointState.GONE)
    for number in range(10, 60):
        f.arrive(number)
    assert sum(send.endpoint == route("b") for _, send in f.sends) <= 4


def test_failures_at_one_route_count_for_others_that_share_a_limit() -> None:
    f = Forwarder(settings(slots=100, forwarders=50))
    f.endpoints("a", "b", kind=1, rate=10.0)
    for number in range(1, 30):  # at other destinations one call in three fails, so that one failure proves little
        f.endpoints(f"x{number}", destination=10 + number)
        f.arrive(number, destination=10 + number)
        f.outcome(number, Outcome.OK if number % 3 else Outcome.CONNECT_FAILED)
    f.logs.clear()
    f.arrive(100)
    f.outcome(100, Outcome.CONNECT_FAILED)
    f.wait(SECOND)
    f.outcome(100, Outcome.CONNECT_FAILED)
    second_endpoint = f.in_flight.get((100, 1)) or f.sends[-1][1].endpoint
    if second_endpoint == f.sends[-2][1].endpoint:
        f.wait(5 * SECOND)
        f.outcome(100, Outcome.CONNECT_FAILED)
    assert any("destination 1 " in line for line in f.logs)


def test_couriers_with_the_same_retry_after_do_not_call_at_once() -> None:
    starts = []
    for seed in range(20):
        f = Forwarder(settings(message_class(deadline_ns=60 * SECOND), slots=10, forwarders=200), seed=seed)
        f.endpoints("a", "b", kind=1, rate=10.0)
        f.arrive(1)
        refused_at = f.now
        f.outcome(1, Outcome.FULL, wait_ns=8 * SECOND)
        f.wait(40 * SECOND)
        starts += [at - refused_at for at, _ in f.sends[1:2]]
    assert sum(start < 10 * SECOND for start in starts) <= 4


def test_couriers_that_noticed_an_outage_together_do_not_retry_together() -> None:
    """Guards against synchronized retries that overload a recovering destination.

    In random scenario h88a7c5, 18 forwarders called again 6.2 s after the burst by which they noticed the outage.
    """
    retry_times = []
    for seed in range(30):
        f = Forwarder(
            settings(
                message_class(deadline_ns=60 * SECOND),
                slots=10,
                forwarders=200,
                fall_ns=3 * SECOND,
                rate_hint=RateHint.NONE,
            ),
            seed=seed,
        )
        f.endpoints("a", "b", kind=1, rate=1.0)
        f.arrive(1)
        f.outcome(1, Outcome.CONNECT_FAILED)
        f.wait(SECOND)
        f.outcome(1, Outcome.CONNECT_FAILED)  # on the other route, too: the destination and both routes are down
        assert all(r.down for r in f.controller.routes.values())
        start, before = f.now, len(f.sends)
        f.wait(30 * SECOND)
        retry_times += [at - start for at, _ in f.sends[before : before + 1]]
    for at in range(30):  # no more than a quarter retry in the same second
        assert sum(at * SECOND <= s < (at + 1) * SECOND for s in retry_times) <= 8


def test_the_placeholder_for_an_unlisted_rate_is_not_used_as_a_rate() -> None:
    f = Forwarder(settings(slots=50, rate_hint=RateHint.NONE, limit_column=0))
    f.endpoints("a", rate=1e6)
    f.arrive(1)
    f.outcome(1, Outcome.CONNECT_FAILED)
    f.arrive(2)
    f.wait(1500 * MS)
    assert len(f.sends) == 1  # at a million calls a second the fail-back budget would allow any number


def test_two_refusals_over_some_time_are_an_outage_without_load_reports() -> None:
    f = Forwarder(settings(message_class(deadline_ns=60 * SECOND), forwarders=100))
    f.endpoints("a")
    f.arrive(1)
    for _ in range(2):
        f.outcome(1, Outcome.FULL)
        f.wait(4 * SECOND)
    assert any("refuses all" in line for line in f.logs)


def test_failures_at_several_routes_with_own_limits_mark_all_of_them_down() -> None:
    """Guards against an overload found in random scenario h3c5c25.

    Every courier that knew of the outage called each route twice, which overloaded the routes as they recovered.
    """
    f = Forwarder(settings(message_class(deadline_ns=60 * SECOND), forwarders=200))
    f.endpoints("a", "b", "c", rate=2.0)
    f.controller.failure_shares[0] = 0.25  # many destinations fail
    f.arrive(1)
    for _ in range(3):
        f.outcome(1, Outcome.CONNECT_FAILED)
        f.wait(SECOND)
    f.wait(5 * SECOND)
    assert all(r.down for r in f.controller.routes.values()) and len(f.sends) == 3


def test_a_long_retry_after_of_one_response_stops_a_destination_for_a_bounded_time() -> None:
    # Guards against noise in one Retry-After that stops a destination for an hour.
    for kind in (0, 1):  # routes with limits of their own, and routes that share one
        f = Forwarder(settings(message_class(deadline_ns=600 * SECOND)))
        f.endpoints("a", kind=kind)
        assert f.arrive(1) and f.arrive(2)
        f.outcome(1, Outcome.FULL, wait_ns=3_600 * SECOND)
        f.wait(200 * MS)
        f.outcome(2, Outcome.FULL, wait_ns=3_600 * SECOND)  # of a call that was out already: it confirms nothing
        assert f.wait(29 * SECOND) == []
        assert f.wait(20 * SECOND), "called again"
        while f.in_flight:
            f.outcome(next(iter(f.in_flight))[0], Outcome.OK)
            f.wait(10 * SECOND)
        assert len(f.answers) == 2


def test_a_long_retry_after_that_is_told_again_is_kept() -> None:
    # Guards against calls each half minute to a destination that means what it tells.
    f = Forwarder(settings(message_class(deadline_ns=600 * SECOND)))
    f.endpoints("a")
    assert f.arrive(1)
    f.outcome(1, Outcome.FULL, wait_ns=300 * SECOND)
    assert len(f.wait(60 * SECOND)) == 1
    f.outcome(1, Outcome.FULL, wait_ns=240 * SECOND)
    assert f.wait(239 * SECOND) == [] and f.wait(60 * SECOND)
    f.outcome(1, Outcome.OK)
    assert f.arrive(2)
    f.outcome(2, Outcome.FULL, wait_ns=300 * SECOND)
    assert f.wait(60 * SECOND), "the delay of another response is doubtful again"


def test_a_retry_after_of_half_a_minute_is_kept_at_once() -> None:
    f = Forwarder(settings(message_class(deadline_ns=600 * SECOND)))
    f.endpoints("a")
    assert f.arrive(1)
    f.outcome(1, Outcome.FULL, wait_ns=30 * SECOND)
    assert f.wait(30 * SECOND - MS) == [] and f.wait(30 * SECOND)
