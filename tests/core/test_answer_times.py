"""The histogram of final answers, and the step that a late one is put down to."""

from __future__ import annotations

import pytest

from kestrelspar.core.answer_times import AnswerSteps, AnswerTimes
from kestrelspar.runtime.loop import MS, SECOND


def test_each_final_answer_is_counted_by_the_time_that_was_left() -> None:
    times = AnswerTimes()
    for time_left in (-SECOND, -500 * MS, -1, 0, 1, 300 * MS, 2 * SECOND):
        times.record(time_left)
    assert times.as_dict() == {
        "-500": 2,
        "-300": 0,
        "-100": 0,
        "0": 2,
        "100": 1,
        "300": 1,
        "1000": 0,
        "more": 1,
    }


@pytest.mark.parametrize(
    ("steps", "slowest"),
    [
        (AnswerSteps(1_400, 1_410, 1_420), "decision"),
        (AnswerSteps(990, 1_500, 1_510), "journal"),
        (AnswerSteps(990, 1_000, 1_900), "report"),
    ],
)
def test_a_late_answer_names_the_step_that_used_the_time(steps: AnswerSteps, slowest: str) -> None:
    assert steps.slowest(deadline=1_000) == slowest
