"""A journal read for people: histories, damage told by its place, and nothing changed."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.journal import Journal, records
from kestrelspar.journal.read import KINDS, read
from tests.test_program import FAR, ROOT

FIXED = settings(derandomize=True, deadline=None, max_examples=80)


def written(folder: Path) -> Path:
    """A journal with one message in each state."""
    log, now = Journal(str(folder), 3_000_000), time.monotonic_ns() // 1000
    for number, name in enumerate(("open", "may", "accepted", "ended", "told", "never"), 1):
        text = json.dumps({"trace": name, "class": "payment" if number % 2 else "reading", "dest": 7, "sender": "http"})
        assert log.taken(number, now + 10_000_000, text, b"body-" + name.encode())
    for number in (2, 3, 4, 6):
        assert log.attempt(number, 0, now)
    log.not_run(6, 0)
    log.awaits(3, '{"by":"smpp","gate":"g","ids":["1"]}')
    for number in (4, 5):
        log.verdict(number, "delivered" if number == 4 else "returned", 0 if number == 4 else 500)
    log.done(4)
    log.keep_ended("acme 1", "{}", 60_000_000)
    return folder / "journal"


def verb(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "kestrelspar", "journal", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=FAR,
        check=False,
    )


def test_each_message_is_shown_where_it_stands(tmp_path: Path) -> None:
    found = read(written(tmp_path).read_bytes())
    assert {h.trace: (h.state, h.over) for h in found.histories.values()} == {
        "open": ("open", False),
        "may": ("may-have-run", False),
        "accepted": ("accepted", False),
        "ended": ("delivered", True),
        "told": ("returned", False),
        "never": ("open", False),
    }
    may, never = found.histories[2], found.histories[6]
    assert may.attempts[0].ran and not never.attempts[0].ran and never.attempts[0].at is not None
    assert abs(may.attempts[0].at - time.time_ns() // 1000) < 3_600_000_000, "times are the wall clock's"  # type: ignore[operator]
    assert not found.faults and not found.torn and set(found.ended) == {"acme 1"}


def test_a_text_that_was_replaced_counts(tmp_path: Path) -> None:
    log = Journal(str(tmp_path), 3_000_000)
    log.taken(1, 5, '{"trace":"t"}', b"old")
    log.replaced(1, '{"trace":"t"}', b"new")
    history = read((tmp_path / "journal").read_bytes()).histories[1]
    assert (history.body, history.replaced) == (b"new", 1)


@FIXED
@given(st.data())
def test_one_damaged_byte_is_told_and_hides_one_record_at_most(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    whole = written(tmp_path_factory.mktemp("j")).read_bytes()
    at, bit = data.draw(st.integers(0, len(whole) - 1)), data.draw(st.integers(0, 7))
    spoilt = whole[:at] + bytes([whole[at] ^ 1 << bit]) + whole[at + 1 :]
    good, found = read(whole), read(spoilt)
    assert found.faults or found.torn and at >= good_end(whole), "damage before the last record is no torn end"
    hidden = {fault.at for fault in found.faults if "makes no sense" not in fault.what}
    assert len(hidden) + bool(found.torn) == 1
    # A record that makes no sense without its message's beginning is told, too.
    assert good.kinds.total() - found.kinds.total() == 1 + sum("makes no sense" in f.what for f in found.faults)


def good_end(whole: bytes) -> int:
    """Where the last record begins."""
    return [piece.at for piece in records.scan(whole)][-1]


def test_a_damaged_length_does_not_hide_what_follows(tmp_path: Path) -> None:
    path = written(tmp_path)
    whole = path.read_bytes()
    second = [piece.at for piece in records.scan(whole)][1]
    for length in (b"\xff\xff\xff\x7f", b"\x00\x01\x00\x00", b"\0\0\0\0"):
        path.write_bytes(whole[:second] + length + whole[second + 4 :])
        log = Journal(str(tmp_path), 3_000_000)
        # The first message's record is the damaged one; what may have run is still known to have.
        assert set(log.entries) == {2, 3, 5, 6} and log.entries[2].maybe_since is not None
        path.write_bytes(whole)


@FIXED
@given(st.binary(max_size=200), st.integers(0, 600))
def test_no_bytes_break_it(tmp_path_factory: pytest.TempPathFactory, garbage: bytes, cut: int) -> None:
    assert read(garbage).size == len(garbage)
    whole = written(tmp_path_factory.mktemp("j")).read_bytes()
    found = read(whole[:cut] + garbage)
    assert found.kinds.total() <= len(whole[:cut]) // records.HEAD.size + 12


@pytest.mark.parametrize("kind", KINDS)
def test_damage_hides_no_record_of_any_kind_behind_it(kind: int) -> None:
    assert [piece.kind for piece in records.scan(b"\xff" * 30 + records.record(kind, 1, b"x"))][1:] == [kind]


def test_an_unknown_kind_is_a_fault_by_its_name() -> None:
    found = read(records.record(records.TAKEN, 1, records.taken_payload(1, "{}", b"")) + records.record(77, 1, b"x"))
    assert [fault.what for fault in found.faults] == [
        "unknown kind 77 of number 1 makes no sense: ValueError('unknown kind')"
    ]
    assert 77 not in KINDS


def test_the_verbs_show_what_is_there_and_change_nothing(tmp_path: Path) -> None:
    path = written(tmp_path)
    before = path.read_bytes()
    state = ["--state", str(tmp_path)]
    rows = [json.loads(line) for line in verb("export", *state, "--bodies").stdout.splitlines()]
    assert {row["trace"]: row["body"] for row in rows}["may"] == "body-may" and len(rows) == 6
    payments = [
        json.loads(line) for line in verb("show", *state, "--class", "payment", "--open", "--json").stdout.splitlines()
    ]
    assert {row["trace"] for row in payments} == {"open", "accepted", "told"}
    one = verb("show", *state, "--trace", "told")
    assert one.returncode == 0 and "returned" in one.stdout
    none = verb("show", *state, "--trace", "nobody")
    assert none.returncode == 1 and "no record of 'nobody'" in none.stderr
    report = json.loads(verb("stats", *state, "--json").stdout)
    assert report["open"] == {"open": 2, "may-have-run": 1, "accepted": 1, "returned": 1}
    assert report["bytes"] == len(before) == sum(report["bytes_by_kind"].values()) and report["ended_kept"] == 1
    good = verb("verify", *state)
    assert good.returncode == 0 and "0 faults" in good.stdout and path.read_bytes() == before
    path.write_bytes(before[:60] + b"\0\0\0" + before[63:] + b"half")
    bad = verb("verify", *state)
    assert bad.returncode == 1 and f"{path}:" in bad.stderr and "4 bytes torn" in bad.stdout
    missing = verb("verify", "--state", str(tmp_path.parent))
    assert missing.returncode == 1 and "No such file" in missing.stderr
