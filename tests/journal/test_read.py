"""Read-only decoding of a journal: histories, damage reported by offset, and the file left unchanged."""

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
from tests.test_program import ROOT, TEST_TIMEOUT

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=80)


def write_journal(directory: Path) -> Path:
    """Write a journal with messages in different states, and return the path of its file.

    "told" has a final state that was not reported yet; "never" has an attempt that provably never ran.
    """
    journal, now = Journal(str(directory), 3_000_000), time.monotonic_ns() // 1000
    for number, name in enumerate(("open", "may", "accepted", "ended", "told", "never"), 1):
        text = json.dumps({"trace": name, "class": "payment" if number % 2 else "reading", "dest": 7, "sender": "http"})
        assert journal.record_accepted(number, now + 10_000_000, text, b"body-" + name.encode())
    for number in (2, 3, 4, 6):
        assert journal.record_attempt(number, 0, now)
    journal.record_not_run(6, 0)
    journal.record_awaited(3, '{"by":"smpp","gate":"g","ids":["1"]}')
    for number in (4, 5):
        journal.record_end(number, "delivered" if number == 4 else "returned", 0 if number == 4 else 500)
    journal.record_done(4)
    journal.retain_ended("acme 1", "{}", 60_000_000)
    return directory / "journal"


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "kestrelspar", "journal", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT,
        check=False,
    )


def test_each_message_is_shown_with_its_state(tmp_path: Path) -> None:
    content = read(write_journal(tmp_path).read_bytes())
    assert {h.trace: (h.state, h.done) for h in content.histories.values()} == {
        "open": ("open", False),
        "may": ("may-have-run", False),
        "accepted": ("accepted", False),
        "ended": ("delivered", True),
        "told": ("returned", False),
        "never": ("open", False),
    }
    may_have_run, never = content.histories[2], content.histories[6]
    assert may_have_run.attempts[0].ran and not never.attempts[0].ran and never.attempts[0].at is not None
    assert abs(may_have_run.attempts[0].at - time.time_ns() // 1000) < 3_600_000_000, "times are Unix times"  # type: ignore[operator]
    assert not content.faults and not content.torn and set(content.ended) == {"acme 1"}


def test_replacements_of_a_message_are_counted(tmp_path: Path) -> None:
    journal = Journal(str(tmp_path), 3_000_000)
    journal.record_accepted(1, 5, '{"trace":"t"}', b"old")
    journal.record_replacement(1, '{"trace":"t"}', b"new")
    history = read((tmp_path / "journal").read_bytes()).histories[1]
    assert (history.body, history.replaced) == (b"new", 1)


@DETERMINISTIC
@given(st.data())
def test_one_damaged_byte_is_reported_and_hides_one_record_at_most(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    whole = write_journal(tmp_path_factory.mktemp("j")).read_bytes()
    at, bit = data.draw(st.integers(0, len(whole) - 1)), data.draw(st.integers(0, 7))
    damaged = whole[:at] + bytes([whole[at] ^ 1 << bit]) + whole[at + 1 :]
    good, content = read(whole), read(damaged)
    assert content.faults or content.torn and at >= last_record_start(whole), (
        "damage before the last record is no torn end"
    )
    hidden = {fault.at for fault in content.faults if "is invalid" not in fault.description}
    assert len(hidden) + bool(content.torn) == 1
    # If a TAKEN record is damaged, the other records of its message are reported as invalid, too.
    assert good.kinds.total() - content.kinds.total() == 1 + sum("is invalid" in f.description for f in content.faults)


def last_record_start(whole: bytes) -> int:
    """The offset of the last valid record."""
    return [scanned.at for scanned in records.scan(whole)][-1]


def test_a_damaged_length_does_not_hide_what_follows(tmp_path: Path) -> None:
    path = write_journal(tmp_path)
    whole = path.read_bytes()
    second = next(scanned.at for scanned in records.scan(whole) if scanned.kind == records.TAKEN)
    for length in (b"\xff\xff\xff\x7f", b"\x00\x01\x00\x00", b"\0\0\0\0"):
        path.write_bytes(whole[:second] + length + whole[second + 4 :])
        journal = Journal(str(tmp_path), 3_000_000)
        # The TAKEN record of message 1 is lost; the attempt of message 2 that may have run is still known.
        assert set(journal.entries) == {2, 3, 5, 6} and journal.entries[2].may_have_run_since is not None
        path.write_bytes(whole)


@DETERMINISTIC
@given(st.binary(max_size=200), st.integers(0, 600))
def test_any_bytes_can_be_read(tmp_path_factory: pytest.TempPathFactory, garbage: bytes, cut: int) -> None:
    assert read(garbage).size == len(garbage)
    whole = write_journal(tmp_path_factory.mktemp("j")).read_bytes()
    content = read(whole[:cut] + garbage)
    # The garbage has room for fewer than 12 heads of records.
    assert content.kinds.total() <= len(whole[:cut]) // records.HEAD.size + 12


@pytest.mark.parametrize("kind", KINDS)
def test_damage_hides_no_later_record_of_any_kind(kind: int) -> None:
    assert [scanned.kind for scanned in records.scan(b"\xff" * 30 + records.record(kind, 1, b"x"))][1:] == [kind]


def test_a_record_of_an_unknown_kind_is_a_fault() -> None:
    content = read(records.record(records.TAKEN, 1, records.taken_payload(1, "{}", b"")) + records.record(77, 1, b"x"))
    assert [fault.description for fault in content.faults] == [
        "unknown kind 77 of number 1 is invalid: ValueError('unknown kind')"
    ]
    assert 77 not in KINDS


def test_the_commands_report_the_content_and_leave_the_file_unchanged(tmp_path: Path) -> None:
    path = write_journal(tmp_path)
    before = path.read_bytes()
    state = ["--state", str(tmp_path)]
    rows = [json.loads(line) for line in run_command("export", *state, "--bodies").stdout.splitlines()]
    assert {row["trace"]: row["body"] for row in rows}["may"] == "body-may" and len(rows) == 6
    payments = [
        json.loads(line)
        for line in run_command("show", *state, "--class", "payment", "--open", "--json").stdout.splitlines()
    ]
    assert {row["trace"] for row in payments} == {"open", "accepted", "told"}
    one = run_command("show", *state, "--trace", "told")
    assert one.returncode == 0 and "returned" in one.stdout
    none = run_command("show", *state, "--trace", "nobody")
    assert none.returncode == 1 and "no record of 'nobody'" in none.stderr
    report = json.loads(run_command("stats", *state, "--json").stdout)
    assert report["open"] == {"open": 2, "may-have-run": 1, "accepted": 1, "returned": 1}
    assert report["bytes"] == len(before) == sum(report["bytes_by_kind"].values()) and report["ended_kept"] == 1
    good = run_command("verify", *state)
    assert good.returncode == 0 and "0 faults" in good.stdout and path.read_bytes() == before
    # Damage within a record, and a torn end.
    path.write_bytes(before[:60] + b"\0\0\0" + before[63:] + b"half")
    bad = run_command("verify", *state)
    assert bad.returncode == 1 and f"{path}:" in bad.stderr and "4 bytes torn" in bad.stdout
    (tmp_path / "empty").mkdir()
    missing = run_command("verify", "--state", str(tmp_path / "empty"))
    assert missing.returncode == 1 and "No such file" in missing.stderr
