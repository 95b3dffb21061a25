"""A state directory whose writes fail: nothing is lost, ended twice or taken on, and the courier recovers by itself."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from kestrelspar.http import parser
from kestrelspar.journal import Journal, store
from kestrelspar.runtime.loop import MS, SECOND
from tests.test_http import HttpTestbed, ok, submit_request

READY_REQUEST = parser.request("GET", "/health/ready", "app.svc", {})


class FailingDisk:
    """Fails writes to the journal, by an error or by writing half; optionally truncations, too."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.error, self.is_short, self.fails_truncation, self.is_failing = errno.EIO, False, False, False
        self._write, self._ftruncate = os.write, os.ftruncate
        patch.setattr(store.os, "write", self.write)
        patch.setattr(store.os, "ftruncate", self.ftruncate)

    def write(self, file: int, data: bytes) -> int:
        if not self.is_failing:
            return self._write(file, data)
        if self.is_short:
            return self._write(file, data[: len(data) // 2])
        self._write(file, data[: len(data) // 2])
        raise OSError(self.error, os.strerror(self.error))

    def ftruncate(self, file: int, size: int) -> None:
        if self.is_failing and self.fails_truncation:
            raise OSError(self.error, os.strerror(self.error))
        self._ftruncate(file, size)


@pytest.fixture(params=["EIO", "ENOSPC", "short", "truncation fails"])
def disk(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> FailingDisk:
    failing = FailingDisk(monkeypatch)
    failing.error = errno.ENOSPC if request.param == "ENOSPC" else errno.EIO
    failing.is_short, failing.fails_truncation = request.param == "short", request.param == "truncation fails"
    return failing


def reopened(directory: Path) -> Journal:
    """The journal as a process would read it that is started now, from a copy."""
    copy = directory.parent / f"{directory.name}-copy"
    copy.mkdir(exist_ok=True)
    (copy / "journal").write_bytes((directory / "journal").read_bytes())
    return Journal(str(copy), 3_000_000)


def test_while_writes_fail_nothing_is_taken_on_and_readiness_says_why(tmp_path: Path, disk: FailingDisk) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    disk.is_failing = True
    assert b" 503 " in testbed.talk(submit_request("a")) and not testbed.journal.entries
    answer = testbed.talk(READY_REQUEST, until=lambda got: b"written" in got)
    assert answer.startswith(b"HTTP/1.1 503 ") and b"the journal can't be written" in answer
    testbed.run_for(5 * SECOND)
    disk.is_failing = False
    testbed.run_for(SECOND)
    assert testbed.talk(READY_REQUEST).startswith(b"HTTP/1.1 200 ")
    assert b" 202 " in testbed.talk(submit_request("b"))
    testbed.run_until(lambda: not testbed.journal.entries)
    assert not reopened(tmp_path).entries


@pytest.mark.parametrize("outage", [100 * MS, 3 * SECOND])
def test_a_message_that_may_be_repeated_is_delivered_while_writes_fail(
    tmp_path: Path, disk: FailingDisk, outage: int
) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    testbed.courier.accept, accept = (
        lambda *given: (accept(*given), setattr(disk, "is_failing", True))[0],
        (testbed.courier.accept),
    )
    testbed.talk(submit_request("a"))
    testbed.run_until(lambda: testbed.peer.seen)
    testbed.run_for(outage)
    assert not testbed.courier.open
    disk.is_failing = False
    testbed.run_for(SECOND)
    again = reopened(tmp_path)
    assert not again.entries and len(testbed.peer.seen) == 1 and not testbed.notices_seen()


def test_a_payment_is_not_called_unrecorded_and_is_called_once_writes_work(tmp_path: Path, disk: FailingDisk) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    testbed.courier.accept, accept = (
        lambda *given: (accept(*given), setattr(disk, "is_failing", True))[0],
        (testbed.courier.accept),
    )
    testbed.talk(submit_request("p", "payment"))
    testbed.run_for(2 * SECOND)
    assert not testbed.peer.seen
    disk.is_failing = False
    testbed.run_until(lambda: testbed.peer.seen)
    testbed.run_until(lambda: not testbed.journal.entries)
    assert len(testbed.peer.seen) == 1 and not testbed.notices_seen()


@pytest.mark.parametrize("outage", [SECOND, 20 * SECOND])
def test_no_end_is_told_that_a_restart_would_not_know(tmp_path: Path, disk: FailingDisk, outage: int) -> None:
    # The message has 9 s. Writes fail from its first call on, which the endpoint answers with an error.
    def error(*_: object) -> bytes:
        disk.is_failing = True
        return parser.response(500)

    testbed = HttpTestbed(tmp_path, error)
    started_at = testbed.loop.now
    testbed.talk(submit_request("p", "payment"))
    testbed.run_for(outage)
    told_at_deadline = outage > 9 * SECOND
    assert bool(testbed.notices_seen()) == told_at_deadline
    disk.is_failing = False
    testbed.run_until(lambda: testbed.notices_seen())
    assert testbed.notices_seen() == [{"id": "p", "state": "failed"}]
    assert testbed.loop.now - started_at < max(outage + SECOND, 9_300 * MS)
    testbed.run_for(SECOND)
    assert not reopened(tmp_path).entries and len(testbed.peer.seen) == 1


def test_no_record_follows_a_torn_one(tmp_path: Path, disk: FailingDisk) -> None:
    journal = Journal(str(tmp_path), 3_000_000)
    assert journal.record_accepted(1, 100, "{}", b"first")
    disk.is_failing = True
    assert not journal.record_accepted(2, 100, "{}", b"lost") and journal.failing
    assert set(reopened(tmp_path).entries) == {1}
    disk.is_failing = False
    assert journal.probe() and not journal.failing
    assert journal.record_accepted(3, 100, "{}", b"later") and set(reopened(tmp_path).entries) == {1, 3}


def test_a_kill_while_writes_fail_leaves_the_message_as_recorded(tmp_path: Path, disk: FailingDisk) -> None:
    journal = Journal(str(tmp_path), 3_000_000)
    journal.record_accepted(1, 100, "{}", b"")
    journal.record_attempt(1, 0, 50)
    disk.is_failing = True
    assert not journal.record_end(1, "returned", 0) and not journal.entries[1].verdict
    entry = reopened(tmp_path).entries[1]
    assert entry.may_have_run_since == 50 and not entry.verdict
    journal.record_done(1)
    disk.is_failing = False
    journal.probe()
    assert not reopened(tmp_path).entries
