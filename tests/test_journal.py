"""The journal: recovery of messages, damaged files, the size limit, changes of the clock, limits and outages."""

from __future__ import annotations

import os
import time
from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.journal import clock, records, store
from kestrelspar.journal.clock import SECOND

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=60)


def open_journal(directory: Path, limit: int = 3_000_000, attempts: int = 8) -> store.Journal:
    return store.Journal(str(directory), limit, attempts)


def disk_usage(directory: Path) -> int:
    return sum(-(-file.stat().st_size // 512) * 512 for file in directory.iterdir())


def test_open_messages_are_recovered_with_their_history(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    for number in (1, 2, 3):
        assert journal.record_accepted(number, 9_000_000 + number, '{"trace":"t"}', b"body")
    assert journal.record_attempt(1, 0, 111) and journal.record_attempt(1, 1, 222)
    journal.record_not_run(1, 0)
    journal.record_end(2, "returned", 500)
    assert journal.record_awaited(1, '{"by":"smpp","ids":["a","b"]}') and journal.record_awaited(
        1, '{"by":"smpp","ids":["b"]}'
    )
    journal.record_done(3)
    for _ in range(2):  # the second time, from the file that the first compacted
        journal = open_journal(tmp_path)
        assert set(journal.entries) == {1, 2}
        one, two = journal.entries[1], journal.entries[2]
        assert one.awaits == '{"by":"smpp","ids":["b"]}' and not two.awaits
        assert (one.attempts, one.may_have_run_since, one.body, one.deadline) == (2, 222, b"body", 9_000_001)
        assert (two.verdict, two.after_ms, two.may_have_run_since) == ("returned", 500, None)


def test_attempts_that_never_ran_still_count_after_a_restart(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    journal.record_accepted(1, 5, "{}", b"")
    journal.record_attempt(1, 0, 10)
    journal.record_not_run(1, 0)
    for _ in range(3):
        journal = open_journal(tmp_path)
        assert (journal.entries[1].attempts, journal.entries[1].may_have_run_since) == (1, None)


@DETERMINISTIC
@given(st.integers(0, 400), st.binary(max_size=60))
def test_any_torn_tail_is_cut_and_the_other_records_stay(
    tmp_path_factory: pytest.TempPathFactory, cut: int, garbage: bytes
) -> None:
    directory = tmp_path_factory.mktemp("torn")
    journal = open_journal(directory)
    for number in range(1, 6):
        journal.record_accepted(number, 100, "{}", b"x" * number)
    path = directory / "journal"
    whole = path.read_bytes()
    path.write_bytes(whole[: min(cut, len(whole))] + garbage)
    recovered = open_journal(directory)
    assert set(recovered.entries) <= set(range(1, 6)) and list(recovered.entries) == sorted(recovered.entries)
    assert all(entry.body == b"x" * number for number, entry in recovered.entries.items())
    assert recovered.record_accepted(9, 1, "{}", b"after")
    assert open_journal(directory).entries[9].body == b"after"


def test_a_damaged_record_is_skipped_and_logged(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    journal = open_journal(tmp_path)
    for number in (1, 2):
        journal.record_accepted(number, 100, "{}", b"body%d" % number)
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.index(b"body1")] ^= 255
    (tmp_path / "journal").write_bytes(data)
    assert set(open_journal(tmp_path).entries) == {2}
    assert "event=journal-bad-records records=1" in capfd.readouterr().out


def test_records_of_a_newer_version_are_skipped_and_are_no_damage(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    journal = open_journal(tmp_path)
    assert journal.record_accepted(1, 9_000_000, "{}", b"body")
    newer = records.KNOWN_KINDS[-1] + 1
    with (tmp_path / "journal").open("ab") as file:
        file.write(records.record(newer, 0, b"of no message") + records.record(newer, 1, b"of one"))
    assert set(open_journal(tmp_path).entries) == {1}
    log = capfd.readouterr().out
    assert f"event=journal-newer-records records=2 kinds={newer}" in log and "journal-bad-record" not in log


def test_the_directory_stays_within_its_limit_and_a_full_journal_refuses_messages(tmp_path: Path) -> None:
    limit = 200_000
    journal, accepted = open_journal(tmp_path, limit), []
    for number in range(1, 400):
        if journal.record_accepted(number, 100, "{}", bytes(3000)):
            accepted.append(number)
            assert journal.record_attempt(number, 0, 5)
        assert disk_usage(tmp_path) <= limit
        if number % 3 == 0 and accepted:
            journal.record_end(accepted[0], "failed", 0)
            journal.record_done(accepted.pop(0))
    assert 0 < len(accepted) < 100 and set(open_journal(tmp_path, limit).entries) == set(accepted)


def test_a_file_full_of_open_messages_has_room_for_all_their_later_records(tmp_path: Path) -> None:
    limit, accepted = 60_000, []
    journal = open_journal(tmp_path, limit, 40)
    for number in range(1, 200):
        if journal.record_accepted(number, 100, "{}", bytes(40)):
            accepted.append(number)
    for index in range(40):  # all records that can follow; in this order compaction frees little
        for number in accepted:
            assert journal.record_attempt(number, index, 5)
            if index < 39:
                journal.record_not_run(number, index)
            assert disk_usage(tmp_path) <= limit
    for number in accepted:
        journal.record_end(number, "delivered", 0)
        assert journal.entries[number].verdict == open_copy(tmp_path).entries[number].verdict
    for number in accepted:
        journal.record_done(number)
        assert disk_usage(tmp_path) <= limit
    assert len(accepted) > 5 and not open_journal(tmp_path, limit).entries


def open_copy(directory: Path) -> store.Journal:
    copy = directory.parent / f"{directory.name}-copy"
    copy.mkdir(exist_ok=True)
    (copy / "journal").write_bytes((directory / "journal").read_bytes())
    return open_journal(copy)


def test_a_failed_write_is_refused_and_leaves_no_partial_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = open_journal(tmp_path)
    journal.record_accepted(1, 100, "{}", b"kept")
    real = os.write

    def cut_short(file: int, data: bytes) -> int:
        real(file, data[: len(data) // 2])
        raise OSError(28, "no space left")

    monkeypatch.setattr(store.os, "write", cut_short)
    assert not journal.record_accepted(2, 100, "{}", b"lost") and not journal.record_attempt(1, 0, 5)
    monkeypatch.undo()
    assert journal.record_accepted(3, 100, "{}", b"later")
    assert set(open_journal(tmp_path).entries) == {1, 3}


def with_attempt(directory: Path) -> store.Journal:
    """A journal with a message that has a deadline and an attempt that may have run."""
    journal = open_journal(directory)
    now = clock.monotonic()
    journal.record_accepted(1, now + 9 * SECOND, "{}", b"")
    journal.record_attempt(1, 0, now + 1)
    return journal


def shifts(directory: Path, journal: store.Journal) -> tuple[float, float]:
    """By how many seconds the next process reads the deadline and the attempt later than they were recorded."""
    entry, recorded = open_journal(directory).entries[1], journal.entries[1]
    assert entry.may_have_run_since is not None and recorded.may_have_run_since is not None
    return (entry.deadline - recorded.deadline) / SECOND, (
        entry.may_have_run_since - recorded.may_have_run_since
    ) / SECOND


# Change of the wall clock, in seconds.
@pytest.mark.parametrize("step", [-86_400, -3_600, -7, 7, 60, 3_600, 86_400])
def test_a_step_of_the_wall_clock_moves_no_deadline_and_no_window(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    journal, real = with_attempt(tmp_path), time.time_ns
    journal.record_limit(b"s-1", 20.0)
    journal.record_outage(b"s-2", (5, 6))
    journal.retain_ended("n", "text", 60 * SECOND)
    monkeypatch.setattr(time, "time_ns", lambda: real() + step * 10**9)
    assert shifts(tmp_path, journal) == (0, 0)
    again = open_journal(tmp_path)  # reads what the process before has compacted, with the offset of its start
    assert (again.limit(b"s-1"), again.outage(b"s-2"), again.ended("n")) == (20.0, (5, 6), "text")
    monkeypatch.setattr(time, "time_ns", real)  # stepped back again
    assert shifts(tmp_path, journal) == (0, 0)
    assert open_journal(tmp_path).outage(b"s-2") == (5, 6)


@pytest.mark.parametrize("step", [-3_600, 0, 3_600])  # of the wall clock during the restart, in seconds
def test_after_a_restart_of_the_machine_windows_are_over_and_deadlines_follow_the_wall_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    journal = with_attempt(tmp_path)
    journal.record_outage(b"s-2", (clock.monotonic(), clock.monotonic()))
    real_time, real_monotonic = time.time_ns, time.monotonic_ns
    booted_at = real_monotonic() - 2 * 10**9  # the machine was down for no time, and has been up for 2 s
    monkeypatch.setattr(time, "time_ns", lambda: real_time() + (2 + step) * 10**9)
    monkeypatch.setattr(time, "monotonic_ns", lambda: real_monotonic() - booted_at)
    monkeypatch.setattr(clock, "boot_id", lambda: bytes(16))
    now = clock.monotonic()
    again = open_journal(tmp_path)
    entry = again.entries[1]
    left = (entry.deadline - now) / SECOND
    # At least the time since the boot has passed.
    assert left == pytest.approx(9 - 2 - max(0, step), abs=0.5)
    assert entry.may_have_run_since is not None and now - entry.may_have_run_since > 3_500 * SECOND
    outage = again.outage(b"s-2")
    assert outage is not None and outage[0] <= now + SECOND and outage[1] is None


def test_a_clock_that_is_behind_the_recorded_times_counts_as_one_of_another_boot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = with_attempt(tmp_path)
    real = time.monotonic_ns
    monkeypatch.setattr(time, "monotonic_ns", lambda: real() - 100 * 10**9)
    entry = open_journal(tmp_path).entries[1]
    assert entry.deadline - clock.monotonic() <= 9 * SECOND < journal.entries[1].deadline - clock.monotonic()


# A journal of an earlier version has no boot ids. Change of the wall clock, and expected shift of the recorded times,
# in seconds. A clock that was set forward by 2 s or more looks like a restart of the machine; one that was set back by
# an hour or more is not taken for a correction.
@pytest.mark.parametrize(("step", "shift"), [(-60, 0), (-1, 0), (1, 0), (60, -60), (-7200, 7200)])
def test_without_boot_ids_a_wall_clock_set_back_by_less_than_an_hour_extends_no_deadline_and_no_window(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int, shift: int
) -> None:
    monkeypatch.setattr(clock, "boot_id", lambda: b"")
    journal, real = open_journal(tmp_path), time.time_ns
    journal.record_accepted(1, 9_000_000, "{}", b"")
    journal.record_attempt(1, 0, 8_000_000)
    assert b"".join(bytes([s.kind]) for s in records.scan((tmp_path / "journal").read_bytes())).count(records.BOOT) == 0
    monkeypatch.setattr(time, "time_ns", lambda: real() + step * 10**9)
    entry = open_journal(tmp_path).entries[1]
    assert entry.may_have_run_since is not None
    assert abs(entry.deadline - 9_000_000 - shift * 1_000_000) < 100_000
    margin = store.REBOOT_MARGIN if shift else 0
    assert abs(entry.may_have_run_since - 8_000_000 - shift * 1_000_000 + margin) < 100_000


def test_without_boot_ids_times_are_converted_after_a_restart_of_the_machine(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock, "boot_id", lambda: b"")
    journal = open_journal(tmp_path)
    journal.record_accepted(1, 50_000_000, "{}", b"")
    real = time.monotonic_ns
    monkeypatch.setattr(time, "monotonic_ns", lambda: real() - 30_000_000_000)  # as after a restart
    deadline = open_journal(tmp_path).entries[1].deadline
    assert abs(deadline - 20_000_000) < 1_000_000


def test_limits_survive_a_restart_until_they_expire_and_are_written_rarely(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = [time.monotonic_ns()]
    monkeypatch.setattr(time, "monotonic_ns", lambda: now[0])
    journal = open_journal(tmp_path)
    sizes = []
    for rate, seconds in ((20.0, 0), (21.0, 1), (30.0, 1), (30.0, 6), (30.0, 1)):
        now[0] += seconds * 1_000_000_000
        journal.record_limit(b"s-1", rate)
        sizes.append(journal._size)
    # A small change, a large change, an unchanged limit whose record is old, and one whose record is new.
    assert [b > a for a, b in pairwise(sizes)] == [False, True, True, False]
    # Read from the compacted file.
    assert open_journal(tmp_path).limit(b"s-1") == 30.0 and open_journal(tmp_path).limit(b"s-2") == 0.0
    now[0] += 60_000_000_000
    assert open_journal(tmp_path).limit(b"s-1") == 0.0


def test_the_number_of_retained_limits_is_bounded(tmp_path: Path) -> None:
    journal = open_journal(tmp_path, 200_000)
    for number in range(2_000):
        journal.record_limit(b"s-%d" % number, 5.0)
    assert len(journal._limits) <= 256 and journal.limit(b"s-1999") == 5.0 and journal._reserved_size < 256 * 64
    small = tmp_path / "small"
    small.mkdir()
    journal = open_journal(small, 4_096)
    for number in range(100):
        journal.record_limit(b"s-%d" % number, 5.0)
    # The last limits were not retained, as there was no room.
    assert journal.limit(b"s-0") and not journal.limit(b"s-99") and disk_usage(small) <= 4_096


def test_an_outage_is_retained_for_as_long_as_it_lasts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against an outage that is written only at its beginning: its record would expire after a minute, and a
    # restart would lose it.
    journal, real, offset = open_journal(tmp_path), time.monotonic_ns, [0]
    monkeypatch.setattr(time, "monotonic_ns", lambda: real() + offset[0])
    for _ in range(5):
        journal.record_outage(b"a", (1_000_000, None))
        assert journal.outage(b"a") is not None
        offset[0] += 40 * 10**9
    offset[0] += 60 * 10**9
    assert journal.outage(b"a") is None
