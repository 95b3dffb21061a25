"""One small test for each failure met in incidents and hunts; none needs the bench."""

from __future__ import annotations

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


def learn(f: Forwarder, destination: int, start: int, count: int = 20, latency: int = 100 * MS) -> None:
    """Deliver some messages so that the pace is known."""
    for number in range(start, start + count):
        f.arrive(number, destination=destination)
        f.wait(latency)
        f.outcome(number, Outcome.OK, latency=latency)


def test_the_slot_cap_binds_for_those_that_wait_for_a_slot_only() -> None:
    f = Forwarder(settings(slots=6))
    f.endpoints("a", destination=1)
    f.endpoints("b", destination=2)
    learn(f, 1, 100)
    f.arrive(1, destination=2)
    f.outcome(1, Outcome.FULL, wait_ns=5 * SECOND)  # waits for its time, and could use no slot
    for number in range(10, 20):
        f.arrive(number, destination=1)
    assert len(f.out) == 5
    f.endpoints("c", destination=3)
    assert [s.message for s in f.arrive(30, destination=3)] == [30]


def test_quick_destinations_get_scarce_slots_first() -> None:
    f = Forwarder(settings(slots=2))
    f.endpoints("s", destination=1)
    f.endpoints("q", destination=2)
    learn(f, 1, 1, latency=2 * SECOND)
    learn(f, 2, 100)
    f.endpoints("x", destination=3)
    f.endpoints("y", destination=4)
    f.arrive(500, destination=3)
    f.arrive(501, destination=4)
    assert f.arrive(502, destination=1) == f.arrive(503, destination=2) == []
    assert [s.message for s in f.outcome(500, Outcome.OK)] == [503]


def test_nearly_full_the_longest_backlog_gives_way_with_a_time_to_come_back() -> None:
    f = Forwarder(settings(slots=2, max_open=20, max_retry_after_ns=3 * SECOND))
    for number in range(30):
        f.arrive(number)
    answers = [answer for _, answer in f.ended.values()]
    assert len(answers) == 12
    assert all(isinstance(a, Refuse) and 0 < a.retry_after_ns <= 3 * SECOND for a in answers)


def test_new_messages_leave_a_silent_route_before_the_first_time_out() -> None:
    f = Forwarder(settings(slots=50, tolls=(0.0, 1.0)))
    f.endpoints("a", rate=1.0)
    f.endpoints("b", rate=1.0, zone=1)
    learn(f, 1, 1)
    f.arrive(100)
    f.arrive(101)
    f.wait(3 * SECOND)
    assert [s.endpoint for s in f.arrive(102)] == [route("b")]


def test_routes_that_hang_leave_slots_to_those_that_serve() -> None:
    # Guards against calls to several hanging destinations that hold every slot until their time-outs.
    f = Forwarder(settings(message_class(aim_ns=4 * SECOND), message_class(Safety.UNSAFE, aim_ns=3 * SECOND), slots=10))
    for destination in range(1, 6):
        f.endpoints("abcde"[destination - 1], destination=destination)
        learn(f, destination, 100 * destination, latency=40 * MS)
    waits: list[int] = []

    def pass_time() -> None:
        f.wait(8 * MS)
        due = {send.message: at + send.timeout_ns for at, send in f.sends}
        for message, _ in [call for call in f.out if due[call[0]] <= f.now]:
            f.outcome(message, Outcome.TIMEOUT)

    for number in range(1000, 1400):
        f.arrive(number, cls=number % 2, destination=1 + number % 5)
        if number % 5 == 4:  # the one that serves; the others answer nothing
            start = f.now
            while (number, 0) not in f.out and f.now < start + 2 * SECOND:
                pass_time()
            waits.append(f.now - start)
            if (number, 0) in f.out:
                f.outcome(number, Outcome.OK, latency=40 * MS)
        pass_time()
    assert sum(waits) / len(waits) < 20 * MS


def test_a_route_that_has_answered_nothing_gets_two_calls_and_then_all() -> None:
    # Guards against replacements that hang too, and a start in an outage: all slots would wait there.
    f = Forwarder()
    f.endpoints("a")
    for number in range(1, 9):
        f.arrive(number)
    assert len(f.out) == 2
    f.outcome(1, Outcome.OK)
    f.wait(100 * MS)
    assert len(f.out) == 7


def test_an_unsafe_call_waits_long_only_while_few_do() -> None:
    f = Forwarder(settings(message_class(Safety.UNSAFE, aim_ns=3 * SECOND), slots=20))
    f.endpoints("a", rate=1000.0)
    learn(f, 1, 1, latency=40 * MS)
    spans = [sent.timeout_ns for number in range(100, 104) for sent in f.arrive(number)]
    assert spans[0] == spans[1] == 6 * SECOND and spans[3] < SECOND


def test_lost_answers_now_and_then_close_no_route_and_unsafe_calls_take_the_better_one() -> None:
    # Guards against routes that lose a third of the answers and are treated as in an outage each few seconds.
    f = Forwarder(settings(message_class(), message_class(Safety.UNSAFE), slots=20, tolls=(0.0, 1.0)))
    f.endpoints("b", rate=100.0, zone=1)
    learn(f, 1, 1, latency=40 * MS)
    f.endpoints("a", rate=100.0)
    learn(f, 1, 50, latency=40 * MS)
    for number in range(100, 400):
        f.arrive(number)
        f.wait(10 * MS)
        while number not in f.ended and (number, f.attempts[number] - 1) in f.out:
            lost = number % 3 == 0 and f.out[number, f.attempts[number] - 1] == route("a")
            f.outcome(number, Outcome.RESET if lost else Outcome.OK, latency=40 * MS)
        for message in [message for message, _ in f.out]:
            f.outcome(message, Outcome.OK, latency=40 * MS)
    assert not f.logs
    for number, cls, name in ((1000, 0, "a"), (1001, 1, "b")):
        (sent,) = f.arrive(number, cls=cls)
        assert sent.endpoint == route(name)


def test_time_outs_in_a_row_close_a_route_sooner_than_quick_failures() -> None:
    # Guards against slow routes that stay open for long because many calls elsewhere were lost.
    for outcome, closed in ((Outcome.TIMEOUT, True), (Outcome.RESET, False)):
        f = Forwarder(settings(slots=50))
        f.endpoints("a", destination=1)
        learn(f, 1, 1)
        f.controller.failure_shares = [0.2, 0.2]  # the usual share: three in a row are no chance, nor quite sure
        for number in range(100, 103):
            f.arrive(number)
        for number in range(100, 103):
            f.outcome(number, outcome)
        assert bool(f.logs) is closed


def test_a_long_queue_is_not_looked_at_while_no_slot_is_free() -> None:
    # Guards against work that grows with the square of what is held.
    f = Forwarder(settings(slots=2, max_open=10_000))
    f.endpoints("a", "b")
    for number in range(500):
        f.arrive(number)
    looks: list[int] = []
    f.controller._worth = lambda *_: float(len(looks) or not looks.append(1))  # type: ignore
    for number in range(500, 600):
        f.arrive(number)
    assert not looks and len(f.out) == 1


def test_after_a_refusal_one_call_finds_out() -> None:
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
    del f.out[1, 0]
    f.ended[1] = (f.now, Outcome.OK)
    f.feed(*(Arrival(n, 0, 1, 10 * SECOND) for n in range(2, 40)))
    for _ in range(30):
        f.wait(100 * MS)
        for message, number in list(f.out):
            target = f.out.pop((message, number))
            f.ended[message] = (f.now, Outcome.OK)
            f.feed(AttemptEnded(message, number, target, Outcome.OK, 100 * MS, True, report=(4.0,)))
    assert 10 <= len(f.sends) - 1 <= 4 * 3 + 4


def test_failed_connects_beside_served_calls_are_a_cap_and_no_outage() -> None:
    f = Forwarder(settings(slots=50))
    f.endpoints("a")
    for number in range(1, 6):
        f.arrive(number)
    f.wait(100 * MS)
    f.outcome(1, Outcome.OK)
    f.outcome(2, Outcome.CONNECT_FAILED)
    assert not f.logs
    assert [s.message for s in f.wait(SECOND)] == [2]  # again beside those that are still out


def test_waits_between_tries_grow() -> None:
    f = Forwarder(settings(message_class(deadline_ns=60 * SECOND), max_attempts=6))
    f.endpoints("a", "b", "c", rate=1000.0)
    f.arrive(1)
    gaps = []
    for _ in range(4):
        ended = f.now
        f.outcome(1, Outcome.RESET)
        while (1, f.attempts[1] - 1) not in f.out:
            f.wait(MS)
        gaps.append(f.now - ended)
    assert all(later > 1.5 * sooner for sooner, later in zip(gaps, gaps[1:], strict=False))


def test_a_tenants_burst_waits_behind_messages_within_their_share() -> None:
    f = Forwarder(settings(slots=2, tenants=(Tenant(2.0), Tenant(2.0)), over_share_worth=0.2))
    f.endpoints("a", "b")
    for destination, name in ((3, "x"), (4, "y")):
        f.endpoints(name, destination=destination)
        f.arrive(destination, destination=destination)
    f.feed(*(Arrival(n, 0, 1, 10 * SECOND, tenant=0) for n in range(10, 30)))
    f.feed(Arrival(50, 0, 1, 10 * SECOND, tenant=1))
    served = []
    for number in [3, 4] + [0] * 8:
        sends = f.outcome(number or served[-1], Outcome.OK)
        served += [s.message for s in sends]
    assert served.index(50) < 7  # after what its own share lets the burst have, ahead of the rest


def test_idle_connections_of_seldom_called_endpoints_are_shut_where_connects_fail() -> None:
    for capped in (False, True):
        f = Forwarder(settings(slots=50, idle_ns=5 * SECOND))
        f.endpoints("a", destination=1)
        f.endpoints("b", destination=2)
        for number in range(1, 12):
            f.arrive(number, destination=1 + number % 2)
            f.outcome(number, Outcome.CONNECT_FAILED if capped and number == 5 else Outcome.OK)
            f.wait(9 * SECOND)
        assert bool(f.closed) is capped


def test_refusals_above_a_limit_are_no_outage_but_those_of_an_unused_one_are() -> None:
    for left, down in ((0.1, False), (0.97, True)):
        f = Forwarder(settings(slots=50, limit_column=0, share_left_column=1))
        f.endpoints("a")
        for number in range(1, 6):
            f.arrive(number)
        for number in range(1, 6):
            if (number, 0) in f.out:
                target = f.out.pop((number, 0))
                f.feed(AttemptEnded(number, 0, target, Outcome.FULL, 1, False, 0, report=(8.0, left)))
                f.wait(SECOND)
        assert bool(f.logs) is down


def test_refusals_stretch_the_gap_to_an_even_share_of_the_rate() -> None:
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
        if (1, f.attempts[1] - 1) in f.out:
            number = f.attempts[1] - 1
            target = f.out.pop((1, number))
            f.feed(AttemptEnded(1, number, target, Outcome.FULL, 1, False, 0, report=(10.0, 0.0)))
        f.wait(100 * MS)
    assert len(f.sends) <= 12


def test_a_class_that_one_endpoint_cannot_take_moves_on_alone() -> None:
    f = Forwarder(settings(message_class(), message_class(), slots=50, tolls=(0.0, 1.0)))
    f.endpoints("a", zone=0)
    f.endpoints("b", zone=1)
    number = 0
    for _ in range(6):
        for cls in (0, 1):
            number += 1
            f.arrive(number, cls=cls)
            while number not in f.ended:
                target = f.out.get((number, f.attempts[number] - 1))
                if target is not None:
                    f.outcome(number, Outcome.ERROR if cls and target == route("a") else Outcome.OK)
                f.wait(500 * MS)
    assert [s.endpoint for s in f.arrive(100, cls=0)] == [route("a")]
    assert [s.endpoint for s in f.arrive(101, cls=1)] == [route("b")]


def test_absurd_lists_and_reports_do_no_harm() -> None:
    odd = (0.0, -3.0, float("inf"), float("-inf"), float("nan"), 1e-40, 1e38)
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
        for index, rate in enumerate(odd):
            for _ in range(2):
                f.endpoints(f"r{index}", destination=index, rate=rate)
            f.endpoints(f"r{index}", destination=index + 50, kind=1, rate=rate)
            f.endpoints(f"r{index}", destination=index, rate=rate)
        f.feed(*(Arrival(n, 0, n % len(odd), 20 * SECOND) for n in range(1, 60)))
        outcomes = [Outcome.FULL, Outcome.OK, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.OK]
        for turn in range(400):
            for message, attempt in sorted(f.out):
                end = outcomes[turn % 5]
                target = f.out.pop((message, attempt))
                report = (odd[turn % 7], odd[turn % 3])
                f.feed(AttemptEnded(message, attempt, target, end, turn, end is Outcome.OK, 0, report=report))
                if end is Outcome.OK:
                    f.ended[message] = (f.now, end)
            f.wait(100 * MS)
        assert len(f.ended) == 59 and all(0 <= at < 1 << 63 for at, _ in f.timers)


def test_nothing_long_gone_is_remembered() -> None:
    f = Forwarder(settings(message_class(Safety.SAFE, ordered=True), slots=50))
    for number in range(1, 120):
        f.endpoints(f"e{number}", destination=1)
        f.arrive(number, key=number)
        f.outcome(number, Outcome.TIMEOUT if number % 2 else Outcome.OK)
        f.endpoints(f"e{number}", destination=1, state=EndpointState.GONE)
        f.wait(11 * SECOND)
    held = f.controller
    assert len(held.routes) <= 3 and len(held.key_available_at) <= 3 and not held.key_queues and not held.messages


def test_what_waits_for_a_route_goes_as_one_call_and_holds_one_slot() -> None:
    f = Forwarder(settings(slots=3, bundles=(4, 1)))
    f.endpoints("a")
    f.arrive(1)
    f.outcome(1, Outcome.FULL, wait_ns=800 * MS)
    for number in range(2, 12):
        f.arrive(number)
    sent = f.wait(4 * SECOND)
    assert [s.message for s in sent[:4]] == [1, 2, 3, 4]  # one call of four finds out, the rest wait for it
    assert len(sent) == 4 and f.controller.inflight == 1
    for number in (3, 1, 4):  # outcomes in any order
        f.outcome(number, Outcome.OK)
    assert f.controller.inflight >= 1
    f.outcome(2, Outcome.OK)
    f.wait(4 * SECOND)
    assert {5, 6, 7, 8} <= {s.message for _, s in f.sends}


def test_one_call_is_one_lesson() -> None:
    f = Forwarder(settings(bundles=(20,)))
    for number in range(1, 4):
        f.arrive(number)
    assert len(f.endpoints("a")) == 3  # all in one call
    for number in range(1, 4):
        f.outcome(number, Outcome.CONNECT_FAILED)
    assert f.controller.routes[route("a")].failures == 1


def test_idle_connections_are_shut_before_use_while_calls_on_them_are_lost() -> None:
    f = Forwarder(settings(idle_ns=60 * SECOND))
    for name, destination in (("a", 1), ("b", 2), ("c", 3)):
        f.endpoints(name, destination=destination)
        learn(f, destination, destination * 100)
    for number, destination in ((1, 1), (2, 2), (3, 3)):
        f.wait(SECOND)
        f.arrive(number, destination=destination)
        if not f.closed:
            f.wait(SECOND)
            f.outcome(number, Outcome.TIMEOUT)
    assert f.closed == [route("c")]  # two were lost: the third goes on a new connection
    f.outcome(3, Outcome.OK)
    f.arrive(4, destination=3)
    assert len(f.closed) == 2  # another of its idle connections may be older
    f.outcome(4, Outcome.OK)
    f.wait(60 * SECOND)
    f.arrive(5, destination=3)
    assert len(f.closed) == 2  # it faded: this one finds out


def test_a_message_that_no_route_may_have_any_more_is_answered_at_once() -> None:
    cls = message_class(Safety.KEYED, zone_bound=True, window_ns=3 * SECOND, deadline_ns=20 * SECOND)
    f = Forwarder(settings(cls))
    f.endpoints("a")
    start = f.now
    f.arrive(1)
    f.wait(SECOND)
    f.outcome(1, Outcome.ERROR)
    f.endpoints("a", state=EndpointState.GONE)
    f.wait(15 * SECOND)
    assert 1 in f.ended and f.ended[1][0] <= start + 4 * SECOND


def test_a_failed_question_for_the_list_is_put_again_by_a_timer_with_growing_waits() -> None:
    f = Forwarder(settings(must_subscribe=True, ask_within_ns=10 * SECOND))
    asked: list[int] = []
    for _ in range(6):
        f.arrive(100 + len(asked))
        f.feed(EndpointList(ListKind.FAILED))
        failed, before = f.now, f.subscribed
        f.arrive(200 + len(asked))  # events alone do not ask again
        assert f.subscribed == before
        while f.subscribed == before:
            f.wait(50 * MS)
        asked.append(f.now - failed)
    assert asked[-1] > 3 * asked[0] and max(asked) <= 10 * SECOND


def test_a_told_wait_to_the_end_of_a_used_up_span_is_no_outage() -> None:
    for left, log in ((0.0, False), (1.0, True)):
        f = Forwarder(settings(share_left_column=0, limit_column=1))
        f.endpoints("a")
        f.arrive(1)
        f.feed(AttemptEnded(1, 0, route("a"), Outcome.FULL, 50 * MS, False, 1500 * MS, report=(left, 4.0)))
        assert any("refuses all" in line for line in f.logs) is log
