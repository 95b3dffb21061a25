"""The judge of the soak reports each planted violation, and nothing where the pages allow what was seen."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from kestrelspar.lab.rig import Call, Submission
from kestrelspar.lab.soak_judge import (
    Leaving,
    Record,
    Recovery,
    Restart,
    Rule,
    SlowStartRules,
    ToldWait,
    budget,
    judge,
    story,
)
from kestrelspar.runtime.loop import MS, SECOND

END = 60 * SECOND


def record_of(*submissions: tuple[str, Submission], calls: tuple[Call, ...] = ()) -> Record:
    rules = SlowStartRules(cold_from=0.2, ramp=10 * SECOND, window=SECOND, multiple=2.0)
    return Record(dict(submissions), {"m1": list(calls)}, 7_500 * MS, rules, ended_at=END)


def accepted(message_class: str = "reading", at: int = 0, notice_at: int | None = None) -> Submission:
    notices = [] if notice_at is None else ["returned"]
    return Submission(message_class, "n0", at, 202, notices, 4 * SECOND, notice_at)


def call(at: int, trace: str = "a", ran: bool = True, concurrent: bool = False, courier: str = "n0") -> Call:
    answered_at = at + 60 * MS if ran else None
    return Call(at, trace, courier, ran, concurrent=concurrent, answered_at=answered_at)


def never_ended() -> Record:
    return record_of(("a", accepted()))


def ended_late() -> Record:
    return record_of(("a", accepted(notice_at=4_501 * MS)))


def payment_ran_twice() -> Record:
    return record_of(("a", accepted("payment")), calls=(call(SECOND), call(2 * SECOND)))


def work_order_ran_after_its_window() -> Record:
    return record_of(("a", accepted("work-order")), calls=(call(0), call(7_551 * MS)))


def two_at_once() -> Record:
    return record_of(("a", accepted()), calls=(call(0), call(10 * MS, concurrent=True)))


def called_while_leaving() -> Record:
    record = record_of(("a", accepted()), calls=(call(6_551 * MS),))
    record.leavings.append(Leaving("m1", 0, 20 * SECOND))
    record.submissions["a"].lifetime = 20 * SECOND
    return record


def called_before_a_wait_was_over() -> Record:
    record = record_of(("a", accepted()), calls=(call(151 * MS),))
    record.waits.append(ToldWait("m1", "n0", 0, 2 * SECOND))
    return record


def overloaded_while_cold() -> Record:
    # 0.2 * 2 * 10 calls a second are allowed at first; that is 4, and its budget 13.
    calls = (call(500 * MS, "x", ran=False), *(call(SECOND + number * MS, "x") for number in range(20)))
    record = record_of(calls=calls)
    record.recoveries.append(Recovery("m1", 0, SECOND, 10.0))
    return record


def not_ready_in_time() -> Record:
    record = record_of()
    record.restarts.append(Restart("n0", 0, 0, started_at=SECOND, ready_at=11_001 * MS))
    return record


def given_up_untried_after_a_restart() -> Record:
    record = record_of(*((f"t{n}", accepted(at=SECOND, notice_at=2 * SECOND)) for n in range(6)))
    record.restarts.append(Restart("n0", 1_100 * MS, 1_100 * MS, 1_500 * MS, 1_600 * MS))
    return record


def closed_unanswered() -> Record:
    record = record_of(("a", Submission("reading", "n0", 0, 0, lifetime=4 * SECOND)))
    record.unanswered.append("a")
    return record


def crashed() -> Record:
    record = record_of()
    record.crashes.append("n0 ended by itself with 1")
    return record


@pytest.mark.parametrize(
    ("plant", "rule"),
    [
        (never_ended, Rule.LOST),
        (ended_late, Rule.LOST),
        (payment_ran_twice, Rule.DUPLICATE),
        (work_order_ran_after_its_window, Rule.DUPLICATE),
        (two_at_once, Rule.CONCURRENT),
        (called_while_leaving, Rule.DRAIN),
        (called_before_a_wait_was_over, Rule.WAIT),
        (overloaded_while_cold, Rule.SLOW_START),
        (not_ready_in_time, Rule.READY),
        (given_up_untried_after_a_restart, Rule.GIVEN_UP),
        (closed_unanswered, Rule.UNANSWERED),
        (crashed, Rule.CRASH),
    ],
)
def test_each_planted_violation_is_reported(plant: Callable[[], Record], rule: Rule) -> None:
    assert [violation.rule for violation in judge(plant())] == [rule]


def ended_half_a_second_late() -> Record:
    return record_of(("a", accepted(notice_at=4_500 * MS)))


def ended_late_but_soon_after_a_restart() -> Record:
    record = record_of(("a", accepted(notice_at=8 * SECOND)))
    record.restarts.append(Restart("n0", 4 * SECOND, 5 * SECOND, 6 * SECOND, 6_500 * MS))
    return record


def refused() -> Record:
    return record_of(("a", Submission("reading", "n0", 0, 503, lifetime=4 * SECOND)))


def reading_ran_twice() -> Record:
    return record_of(("a", accepted()), calls=(call(0), call(2 * SECOND)))


def work_order_ran_again_inside_its_window() -> Record:
    return record_of(("a", accepted("work-order")), calls=(call(0), call(7_550 * MS)))


def payment_was_refused_first() -> Record:
    return record_of(("a", accepted("payment")), calls=(call(0, ran=False), call(SECOND)))


def called_before_the_list_was_told() -> Record:
    record = called_while_leaving()
    record.calls["m1"] = [call(6_550 * MS)]
    return record


def sent_before_it_was_told_and_held_back() -> Record:
    record = called_before_a_wait_was_over()
    record.calls["m1"][0].sent_at = 1
    return record


def overloaded_by_uninformed_couriers() -> Record:
    record = overloaded_while_cold()
    for late in record.calls["m1"][1:]:
        late.courier = "n1"
    return record


@pytest.mark.parametrize(
    "allowed",
    [
        ended_half_a_second_late,
        ended_late_but_soon_after_a_restart,
        refused,
        reading_ran_twice,
        work_order_ran_again_inside_its_window,
        payment_was_refused_first,
        called_before_the_list_was_told,
        sent_before_it_was_told_and_held_back,
        overloaded_by_uninformed_couriers,
    ],
)
def test_what_the_pages_allow_is_not_reported(allowed: Callable[[], Record]) -> None:
    assert not judge(allowed())


def test_the_budget_of_a_cold_return_is_that_of_the_standing_test() -> None:
    assert budget(4) == 4 + 3 * 2 + 3
    assert budget(100) == 100 + 2 * 10 + 2


def test_a_story_has_what_all_processes_saw_of_a_message_by_time() -> None:
    record = record_of(("a", accepted(notice_at=3 * SECOND)), calls=(call(SECOND, ran=False), call(SECOND, "b")))
    lines = story(record, "a", [("n0", "event=taken trace=a left_ms=1\nevent=taken trace=ab left_ms=1\n")])
    assert [line.split()[-1] for line in lines] == ["202", "run", "returned", "over", "left_ms=1"]
