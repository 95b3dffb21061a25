"""What left since a list was written: held over restarts, cut, bounded, and damage or a full disk do no harm."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.journal import left as module
from kestrelspar.journal.left import Left
from snowlock.interface import EndpointState

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE
STATES = {"-": GONE, "!": DRAINING, "+": READY}

# Steps (number: names with their state; cut N), and what a new process finds told after number 0.
STEPS = [
    ("1 -a !b", "a- b!"),
    ("1 -a;2 +a", ""),
    ("1 -a;2 +a;3 !a", "a!"),
    ("1 -a;2 -b;cut 1", "b-"),
    ("1 -a;2 -b;cut 2", ""),
    ("5 +x;6 -a;cut 5", "a-"),
    ("1 -a;1 -b;4 +b;cut 0", "a-"),
    ("1 !a;2 -a;cut 1", "a-"),
]


@pytest.mark.parametrize(("steps", "found"), STEPS)
def test_what_was_told_is_there_in_the_next_process(tmp_path: Path, steps: str, found: str) -> None:
    told = Left(tmp_path / "x.left", 10_000)
    for step in steps.split(";"):
        number, *names = step.split()
        if number == "cut":
            told.cut(int(names[0]))
        else:
            assert told.note({name[1:]: STATES[name[0]] for name in names}, int(number))
    signs = {state: sign for sign, state in STATES.items()}
    again = Left(tmp_path / "x.left", 10_000)
    assert " ".join(sorted(name + signs[state] for name, state in again.since(0).items())) == found
    assert again.since(0) == told.since(0) and not again.since(9)


def test_what_does_not_fit_is_said_or_the_oldest_go(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    names = [f"s-{n * 2654435761 % 2**32:08x}" for n in range(1_500)]
    for forget in (False, True):
        told = Left(tmp_path / f"{forget}.left", 8_192, forget)
        held = [told.note({name: GONE}, n) for n, name in enumerate(names)]
        assert (tmp_path / f"{forget}.left").stat().st_size <= 8_192 and all(held) is forget
        found = Left(tmp_path / f"{forget}.left", 8_192).since(-1)
        if forget:
            assert list(found)[-300:] == names[-300:] and list(found) == list(told.told)
        else:
            assert told.behind and set(told.told) == set(names), "what the process knows stays whole"
            told.cut(len(names))
            assert not told.behind and told.note({"a": GONE}) and Left(told.file, 8_192).since(0) == {"a": GONE}
    assert capsys.readouterr().out.count("map-left-not-kept") == 1


def test_a_full_disk_is_said_once_and_mended_and_damage_costs_only_its_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    told = Left(tmp_path / "x.left", 10_000)
    told.note({"a": GONE})

    def full(*_: object) -> int:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(module.os, "pwrite", full)
        patch.setattr(module.os, "rename", full)
        assert not told.note({"b": GONE}) and not told.note({"c": DRAINING})
        told.mend()
    assert capsys.readouterr().out.count("map-left-not-kept") == 1 and not list(tmp_path.glob("*.new"))
    assert Left(told.file, 10_000).since(0) == {"a": GONE}
    told.mend()
    told.note({"d": GONE})
    told.note({"e": GONE})
    data = told.file.read_bytes()
    assert Left(told.file, 10_000).since(0) == {"a": GONE, "b": GONE, "c": DRAINING, "d": GONE, "e": GONE}
    told.file.write_bytes(data[:30] + bytes([data[30] ^ 1]) + data[31:-1])  # a flip in the first, and a torn end
    damaged = Left(told.file, 10_000)
    assert damaged.since(0) == {"d": GONE} and "map-left-bad-record" in capsys.readouterr().out
    damaged.note({"f": GONE})
    assert Left(told.file, 10_000).since(0) == {"d": GONE, "f": GONE}
