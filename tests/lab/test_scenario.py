"""Scenario files are parsed, and their errors are reported by line; the checkers find what they check for."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from kestrelspar.lab import checkers, scenario
from kestrelspar.lab.rig import Call, Member, Submission, TimedLoop
from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.settings.lines import ConfErrors
from tests.test_program import ROOT

VALID = (
    "lab\n couriers 3\n for 9s\nmember m1\n limit 7\ntraffic *\n m1 2\ntraffic n1\n m1 0\n"
    "at 2s\n delay 0s 1s\nat 1s\n cut n0 n2\n"
)


def test_a_file_is_parsed_and_its_actions_are_sorted_by_time(tmp_path: Path) -> None:
    (tmp_path / "a.conf").write_text(VALID)
    loaded = scenario.load(str(tmp_path / "a.conf"))
    assert (loaded.couriers, loaded.span, loaded.limits, loaded.latencies) == (
        3,
        9 * SECOND,
        {"m1": 7},
        {"m1": 20 * MS},
    )
    assert loaded.rates() == {"n0": {"m1": 2.0}, "n1": {"m1": 0.0}, "n2": {"m1": 2.0}}
    assert [(a.at, a.name, a.arguments) for a in loaded.actions] == [
        (SECOND, "cut", ("n0", "n2")),
        (2 * SECOND, "delay", (0, SECOND)),
    ]
    assert scenario.load(str(tmp_path / "a.conf"), 8).couriers == 8
    for file in sorted((ROOT / "scenarios").glob("*.conf")):
        assert scenario.load(str(file)).limits


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),  # a text of VALID and its replacement; line and text of the error
    [
        ("for 9s", "for ever", 3, "lab.for: 'ever' will not do (wanted: a time"),
        ("limit 7", "limits 7", 5, "member m1.limits: unknown key (wanted: limit or pace or group)"),
        ("traffic n1", "traffic n9", 8, "'n9' is not a courier (wanted: * or n0 to n2)"),
        ("n0 n2", "n0 n7", 13, "at.cut: 'n7' is not a known courier"),
        ("delay 0s 1s", "delay 0s", 11, "at.delay: has 1 arguments"),
        ("cut n0 n2", "bribe n0", 13, "at.bribe: unknown action (wanted: cut, "),
        ("at 2s", "at two", 10, "at: 'two'"),
        ("member m1\n limit 7\n", "", 0, "member: missing section"),
        ("lab", "lap", 1, "lap: unknown section"),
    ],
)
def test_errors_are_reported_with_file_and_line(tmp_path: Path, old: str, new: str, line: int, message: str) -> None:
    file = tmp_path / "a.conf"
    file.write_text(
        VALID.replace(old, new)
        .replace(" m1 2\n", "" if "missing section" in message else " m1 2\n")
        .replace(" m1 0\n", "" if "missing section" in message else " m1 0\n")
    )
    with pytest.raises(ConfErrors) as raised:
        scenario.load(str(file))
    assert any(str(error).startswith(f"{file}:{line}: ") and message in str(error) for error in raised.value.errors)


def test_checkers_find_lost_and_repeated_messages_and_the_busiest_second() -> None:
    sent = {
        name: Submission(cls, "n0", 0, 202, list(notices))
        for name, cls, notices in (
            ("fine", "reading", []),
            ("reported", "payment", ["failed"]),
            ("lost", "reading", []),
            ("two", "reading", ["failed", "returned"]),
            ("twice", "payment", []),
            ("again", "reading", []),
        )
    }
    sent["state lost"] = Submission("reading", "n1", 0, 202, [], state_lost=True)
    sent["refused"] = Submission("reading", "n1", 0, 503)
    calls = [Call(n, name, "", True) for n, name in enumerate(("fine", "twice", "twice", "again", "again"))]
    assert checkers.delivery_violations(sent, calls) == [
        "reading lost: no end",
        "reading two: failed and returned",
        "payment twice: ran 2 times",
    ]
    assert [call.trace for call in checkers.repeats(calls)] == ["twice", "again"]
    times = [0, 1, SECOND - 1, SECOND, SECOND + 1, 3 * SECOND]
    assert checkers.max_calls_per_second([Call(time, "x", "", False) for time in reversed(times)]) == 3


def test_a_recovering_member_is_overloaded_above_a_capacity_that_grows_with_time() -> None:
    loop = TimedLoop()
    member = Member(loop, 10, 0, Random(1), {})
    assert not any(member._is_overloaded() for _ in range(50)), "it is not recovering"
    member.down = True
    member.up()
    assert [member._is_overloaded() for _ in range(12)].index(True) == 9, "2 + 3 sqrt(2) + 3 calls in a second"
    loop.now += 5 * SECOND
    assert [member._is_overloaded() for _ in range(30)].index(True) == 16, "half way its capacity is 6 calls a second"
    loop.now += 5 * SECOND
    assert not any(member._is_overloaded() for _ in range(50))
    loop._poll.poll(0)
    member.listener.close()
