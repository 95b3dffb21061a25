"""The removal log: persistence, dropping of old rows, the size limit, damage, and a full disk."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.journal import removal_log
from kestrelspar.journal.removal_log import RemovalLog
from snowlock.interface import EndpointState

READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE
STATES = {"-": GONE, "!": DRAINING, "+": READY}

# Steps: a revision, and names with the sign of their state; or cut REVISION, which drops the rows through it. Then the
# names that a new process finds with a revision above 0, each with its sign.
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


@pytest.mark.parametrize(("steps", "expected"), STEPS)
def test_recorded_states_survive_a_restart_until_they_are_dropped(tmp_path: Path, steps: str, expected: str) -> None:
    log = RemovalLog(tmp_path / "x.left", 10_000)
    for step in steps.split(";"):
        revision, *names = step.split()
        if revision == "cut":
            log.drop_through(int(names[0]))
        else:
            assert log.record({name[1:]: STATES[name[0]] for name in names}, int(revision))
    signs = {state: sign for sign, state in STATES.items()}
    reopened = RemovalLog(tmp_path / "x.left", 10_000)
    assert " ".join(sorted(name + signs[state] for name, state in reopened.since(0).items())) == expected
    assert reopened.since(0) == log.since(0) and not reopened.since(9)


def test_rows_that_do_not_fit_are_logged_or_the_oldest_are_dropped(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    names = [f"s-{n * 2654435761 % 2**32:08x}" for n in range(1_500)]
    for drop_oldest in (False, True):
        log = RemovalLog(tmp_path / f"{drop_oldest}.left", 8_192, drop_oldest)
        recorded = [log.record({name: GONE}, n) for n, name in enumerate(names)]
        assert (tmp_path / f"{drop_oldest}.left").stat().st_size <= 8_192 and all(recorded) is drop_oldest
        found = RemovalLog(tmp_path / f"{drop_oldest}.left", 8_192).since(-1)
        if drop_oldest:
            assert list(found)[-300:] == names[-300:] and list(found) == list(log.rows_by_key)
        else:
            assert log.incomplete and set(log.rows_by_key) == set(names), "the running process still has all rows"
            log.drop_through(len(names))
            assert (
                not log.incomplete and log.record({"a": GONE}) and RemovalLog(log.file, 8_192).since(0) == {"a": GONE}
            )
    assert capsys.readouterr().out.count("map-left-not-kept") == 1


def test_a_full_disk_is_logged_once_and_retried_and_damage_loses_only_its_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    log = RemovalLog(tmp_path / "x.left", 10_000)
    log.record({"a": GONE})

    def full(*_: object) -> int:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(removal_log.os, "pwrite", full)
        patch.setattr(removal_log.os, "rename", full)
        assert not log.record({"b": GONE}) and not log.record({"c": DRAINING})
        log.retry_write()
    assert capsys.readouterr().out.count("map-left-not-kept") == 1 and not list(tmp_path.glob("*.new"))
    assert RemovalLog(log.file, 10_000).since(0) == {"a": GONE}
    log.retry_write()
    log.record({"d": GONE})
    log.record({"e": GONE})
    data = log.file.read_bytes()
    assert RemovalLog(log.file, 10_000).since(0) == {"a": GONE, "b": GONE, "c": DRAINING, "d": GONE, "e": GONE}
    # A flipped bit in the first record, and a torn end.
    log.file.write_bytes(data[:30] + bytes([data[30] ^ 1]) + data[31:-1])
    damaged = RemovalLog(log.file, 10_000)
    assert damaged.since(0) == {"d": GONE} and "map-left-bad-record" in capsys.readouterr().out
    damaged.record({"f": GONE})
    assert RemovalLog(log.file, 10_000).since(0) == {"d": GONE, "f": GONE}
