"""Messages recovered after a restart, with their earlier attempts; calls that may no longer be sent."""

from __future__ import annotations

import pytest

from snowlock.interface import (
    Arrival,
    Endpoint,
    EndpointList,
    EndpointState,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Safety,
)
from tests.forwarder import MS, SECOND, Forwarder, message_class, route, settings


def recovered(
    cls: Safety,
    attempts: int = 1,
    may_have_run_for: int | None = None,
    time_left: int = 9 * SECOND,
    window: int = 5 * SECOND,
) -> Forwarder:
    """A courier after a restart that has recovered message 1.

    ``may_have_run_for``: ns since the first attempt that may have run; None: no attempt can have run.
    """
    forwarder = Forwarder(settings(message_class(cls, window_ns=window), max_attempts=3))
    forwarder.endpoints("a", "b")
    since = None if may_have_run_for is None else forwarder.now - may_have_run_for
    forwarder.attempts[1] = attempts
    forwarder.feed(Arrival(1, 0, 1, time_left, 0, 0, attempts, since))
    return forwarder


def test_an_unsafe_message_that_may_have_run_is_failed_at_once_and_never_sent() -> None:
    forwarder = recovered(Safety.UNSAFE, 1, 100 * MS)
    assert isinstance(forwarder.answers[1][1], Fail) and not forwarder.sends


def test_a_message_that_surely_did_not_run_is_sent_again_whatever_its_class() -> None:
    for cls in Safety:
        assert len(recovered(cls, 2).sends) == 1


def test_a_keyed_message_is_sent_again_only_within_the_window_of_its_first_attempt() -> None:
    assert len(recovered(Safety.KEYED, 1, 4 * SECOND).sends) == 1
    late = recovered(Safety.KEYED, 1, 5 * SECOND)
    assert not late.sends and isinstance(late.answers[1][1], Refuse)
    slow = recovered(Safety.KEYED, 1, 4 * SECOND)
    slow.wait(2 * SECOND)  # the window ends while the call is in flight
    slow.outcome(1, Outcome.ERROR)
    slow.wait(8 * SECOND)
    assert len(slow.sends) == 1 and 1 in slow.answers


def test_earlier_attempts_count_and_an_expired_message_is_answered_at_once() -> None:
    exhausted = recovered(Safety.SAFE, 3)
    assert not exhausted.sends and 1 in exhausted.answers
    last = recovered(Safety.SAFE, 2)
    last.outcome(1, Outcome.ERROR)
    assert 1 in last.answers and len(last.sends) == 1
    expired = recovered(Safety.SAFE, 0, time_left=0)
    assert not expired.sends and 1 in expired.answers


def test_a_refusal_has_a_retry_after() -> None:
    forwarder = Forwarder(settings(message_class(Safety.SAFE), max_retry_after_ns=2 * SECOND))
    forwarder.arrive(1)
    forwarder.wait(10 * SECOND)
    answer = forwarder.answers[1][1]
    assert isinstance(answer, Refuse) and 0 < answer.retry_after_ns <= 2 * SECOND


def test_a_call_decided_before_a_drain_or_a_retry_after_may_not_be_sent_after_it() -> None:
    forwarder = Forwarder()
    forwarder.endpoints("a")
    may_send = forwarder.controller.may_still_send
    forwarder.arrive(1)
    assert may_send(forwarder.now, route("a"), 1) and not may_send(forwarder.now, route("x"), 1)
    assert not may_send(forwarder.now, route("a"), 2), "an unknown message"
    forwarder.outcome(1, Outcome.FULL, wait_ns=300 * MS)
    assert not may_send(forwarder.now + 299 * MS, route("a"), 1) and may_send(forwarder.now + 301 * MS, route("a"), 1)
    forwarder.endpoints("a", state=EndpointState.DRAINING)
    assert not may_send(forwarder.now + SECOND, route("a"), 1)


# ``delay``: from the start of the first attempt, which may have run; the window of a keyed message is 3 s.
@pytest.mark.parametrize(
    ("safety", "delay", "allowed"),
    [
        (Safety.KEYED, 2_900 * MS, True),
        (Safety.KEYED, 3_000 * MS, False),
        (Safety.SAFE, 9 * SECOND, True),
    ],
)
def test_a_repeat_decided_within_its_window_may_not_be_sent_after_it(safety: Safety, delay: int, allowed: bool) -> None:
    # Guards against a repeat that is sent too late, as its connection is established only once the destination has
    # recovered.
    f = Forwarder(settings(message_class(safety, window_ns=3 * SECOND)))
    f.endpoints("a")
    f.arrive(1)
    started = f.now
    f.wait(SECOND)
    f.outcome(1, Outcome.TIMEOUT)
    f.wait(SECOND)
    assert f.attempts[1] == 2 and f.controller.may_still_send(started + delay, route("a"), 1) is allowed


def test_untried_recovered_messages_are_not_shed_for_new_ones() -> None:
    # Guards against a restart after which recovered messages are shed: all arrive in one batch, followed by new ones.
    f = Forwarder(settings(message_class(), slots=2, max_open=20, max_retry_after_ns=3 * SECOND))
    f.endpoints("a", rate=1000.0)
    f.feed(*(Arrival(number, 0, 1, 10 * SECOND, kept=True) for number in range(25)))
    for number in range(100, 130):
        f.arrive(number)
    f.wait(6 * SECOND)
    assert not [number for number in f.answers if number < 25] and len(f.answers) >= 20
    f.wait(2 * SECOND)
    f.arrive(500)
    assert [number for number in f.answers if number < 25]  # near the end of their time, recovered messages may be shed


def test_untried_recovered_messages_are_not_refused_on_an_estimate() -> None:
    controller_settings = settings(message_class(), slots=20, forwarders=200, share_left_column=0, limit_column=1)
    for kept in (False, True):
        f = Forwarder(controller_settings)
        f.feed(EndpointList(ListKind.DELTA, (Endpoint(route("a"), 1, limit=2.0),)))  # equal share: a call in 100 s
        f.feed(*(Arrival(number, 0, 1, 10 * SECOND, kept=kept) for number in range(8)))
        f.wait(5 * SECOND)
        assert len(f.answers) == (0 if kept else 8)
        f.wait(6 * SECOND)
        assert len(f.answers) == 8


def test_a_call_times_out_before_its_messages_deadline() -> None:
    # Guards against an answer that is read at the deadline, or after it by the sender's clock, so that the message gets
    # no final answer.
    f = Forwarder(settings(message_class(Safety.UNSAFE, aim_ns=9 * SECOND)))
    f.endpoints("a")
    (send,) = f.arrive(1)
    assert send.timeout_ns <= 10 * SECOND - 2 * f.settings.tick_ns
