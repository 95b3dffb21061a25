"""Scenario files: what is told, and every fault of a file by its line. Judges: what is wrong is caught."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from kestrelspar.lab import judge, scenario
from kestrelspar.lab.rig import Call, Member, Noted, Submission
from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.settings.lines import ConfFaults
from tests.test_program import ROOT

GOOD = (
    "lab\n couriers 3\n for 9s\nmember m1\n limit 7\ntraffic *\n m1 2\ntraffic n1\n m1 0\n"
    "at 2s\n delay 0s 1s\nat 1s\n cut n0 n2\n"
)


def test_a_file_as_told_in_the_order_of_its_times(tmp_path: Path) -> None:
    (tmp_path / "a.conf").write_text(GOOD)
    told = scenario.load(str(tmp_path / "a.conf"))
    assert (told.couriers, told.span, told.limits, told.paces) == (3, 9 * SECOND, {"m1": 7}, {"m1": 20 * MS})
    assert told.rates() == {"n0": {"m1": 2.0}, "n1": {"m1": 0.0}, "n2": {"m1": 2.0}}
    assert [(a.at, a.name, a.words) for a in told.actions] == [
        (SECOND, "cut", ("n0", "n2")),
        (2 * SECOND, "delay", (0, SECOND)),
    ]
    assert scenario.load(str(tmp_path / "a.conf"), 8).couriers == 8
    for file in sorted((ROOT / "scenarios").glob("*.conf")):
        assert scenario.load(str(file)).limits


@pytest.mark.parametrize(
    ("old", "new", "line", "words"),
    [
        ("for 9s", "for ever", 3, "lab.for: 'ever' will not do (wanted: a time"),
        ("limit 7", "limits 7", 5, "member m1.limits: unknown key (wanted: limit or pace or group)"),
        ("traffic n1", "traffic n9", 8, "'n9' is no courier (wanted: * or n0 to n2)"),
        ("n0 n2", "n0 n7", 13, "at.cut: 'n7' is no courier"),
        ("delay 0s 1s", "delay 0s", 11, "at.delay: has 1 words"),
        ("cut n0 n2", "bribe n0", 13, "at.bribe: unknown fault (wanted: cut, "),
        ("at 2s", "at two", 10, "at: 'two'"),
        ("member m1\n limit 7\n", "", 0, "member: there is none"),
        ("lab", "lap", 1, "lap: unknown section"),
    ],
)
def test_what_will_not_do_is_named_by_its_line(tmp_path: Path, old: str, new: str, line: int, words: str) -> None:
    file = tmp_path / "a.conf"
    file.write_text(
        GOOD.replace(old, new)
        .replace(" m1 2\n", "" if "there is none" in words else " m1 2\n")
        .replace(" m1 0\n", "" if "there is none" in words else " m1 0\n")
    )
    with pytest.raises(ConfFaults) as found:
        scenario.load(str(file))
    assert any(str(fault).startswith(f"{file}:{line}: ") and words in str(fault) for fault in found.value.faults)


def test_the_judges_catch_what_they_are_for() -> None:
    sent = {
        name: Submission(cls, "n0", 0, 202, list(told))
        for name, cls, told in (
            ("fine", "reading", []),
            ("told", "payment", ["failed"]),
            ("lost", "reading", []),
            ("two", "reading", ["failed", "returned"]),
            ("twice", "payment", []),
            ("again", "reading", []),
        )
    }
    sent["folder"] = Submission("reading", "n1", 0, 202, [], state_lost=True)
    sent["refused"] = Submission("reading", "n1", 0, 503)
    calls = [Call(n, name, "", True) for n, name in enumerate(("fine", "twice", "twice", "again", "again"))]
    assert judge.wrong_ends(sent, calls) == [
        "reading lost: no end",
        "reading two: failed and returned",
        "payment twice: ran 2 times",
    ]
    assert [call.trace for call in judge.repeats(calls)] == ["twice", "again"]
    at = [0, 1, SECOND - 1, SECOND, SECOND + 1, 3 * SECOND]
    assert judge.most_in_a_second([Call(t, "x", "", False) for t in reversed(at)]) == 3


def test_a_member_that_comes_back_cold_falls_when_it_is_pushed_and_bears_more_with_time() -> None:
    loop = Noted()
    member = Member(loop, 10, 0, Random(1), {})
    assert not any(member._is_overloaded() for _ in range(50)), "it was never away"
    member.down = True
    member.up()
    assert [member._is_overloaded() for _ in range(12)].index(True) == 9, "2 + 3 sqrt(2) + 3 calls in a second"
    loop.now += 5 * SECOND
    assert [member._is_overloaded() for _ in range(30)].index(True) == 16, "half way it bears 6 a second"
    loop.now += 5 * SECOND
    assert not any(member._is_overloaded() for _ in range(50))
    loop._poll.poll(0)
    member.listener.close()
