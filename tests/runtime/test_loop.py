"""The event loop: several tasks at one socket, suspensions that are resumed early, and full buffers."""

from __future__ import annotations

import socket

import pytest

from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BUFFER_SIZE, BufferPool, Stream
from kestrelspar.runtime.loop import MS, SECOND, TIMED_OUT, Loop, Suspension
from tests.bench import CLOCK, SkippingLoop


def run_for(loop: SkippingLoop, duration: int) -> None:
    deadline = loop.now + duration
    loop.call_at(deadline, lambda: None)
    while loop.now < deadline:
        loop.turn()


def test_all_tasks_that_wait_for_a_socket_are_resumed() -> None:
    # Guards against a task that waits for good because another one waits for the same.
    loop, (ours, peer) = SkippingLoop(CLOCK), socket.socketpair()
    resumed: list[tuple[str, bool]] = []
    for name, timeout in (("first", 50 * MS), ("second", 5 * MS), ("third", 50 * MS)):
        loop.spawn(lambda name=name, timeout=timeout: resumed.append((name, loop.readable(ours, loop.now + timeout))))
    run_for(loop, 10 * MS)
    assert resumed == [("second", False)]
    peer.send(b"x")
    run_for(loop, 5 * MS)
    assert resumed[1:] == [("first", True), ("third", True)]
    for sock in (ours, peer):
        sock.close()


def test_a_resume_before_the_park_is_kept_and_one_for_another_park_is_not_taken() -> None:
    loop, got = SkippingLoop(CLOCK), []

    def task() -> None:
        early, other = Suspension(loop), Suspension(loop)
        early.resume("early")
        other.resume("surplus")
        got.append(loop.park(Suspension(loop), loop.now + MS))
        got.append(loop.park(early))

    loop.spawn(task)
    run_for(loop, 5 * MS)
    assert got == [TIMED_OUT, "early"]


def test_a_full_buffer_is_not_taken_for_the_end_of_the_input() -> None:
    loop, (ours, peer) = SkippingLoop(CLOCK), socket.socketpair()
    ours.setblocking(False)
    stream, errors = Stream(loop, ours, BufferPool(1)), []
    peer.send(b"x" * (BUFFER_SIZE + 1))

    def read() -> None:
        while True:
            try:
                stream.fill(None)
            except ValueError as error:
                errors.append(error)
                return

    loop.spawn(read)
    run_for(loop, 5 * MS)
    assert errors and len(stream.unread) == BUFFER_SIZE
    stream.close()
    peer.close()


@pytest.mark.parametrize("value", [None, 7])
def test_a_resumed_task_gets_the_first_value(value: object) -> None:
    loop, got = SkippingLoop(CLOCK), []

    def task() -> None:
        suspension = Suspension(loop)
        loop.call_at(loop.now + MS, lambda: (suspension.resume(value), suspension.resume("second")))
        got.append(loop.park(suspension))

    loop.spawn(task)
    run_for(loop, 5 * MS)
    assert got == [value]


class ManualClock:
    """A clock that only the test moves."""

    def __init__(self) -> None:
        self.now = SECOND

    def __call__(self) -> int:
        return self.now


@pytest.mark.parametrize(("held_up_ms", "is_logged"), [(140, False), (200, True), (3_000, True)])
def test_a_turn_that_takes_long_is_logged(held_up_ms: int, is_logged: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against late answers whose log does not tell a process that stood still from a platform that did.
    clock, logged = ManualClock(), list[dict[str, object]]()
    loop = Loop(clock)
    monkeypatch.setattr(logs, "warn", lambda name, **fields: logged.append({"event": name} | fields))
    loop.spawn(lambda: setattr(clock, "now", clock.now + held_up_ms * MS))
    loop.spawn(lambda: None)
    loop.turn()
    loop.spawn(lambda: None)
    loop.turn()
    assert logged == ([{"event": "held-up", "turn_ms": held_up_ms, "wake_late_ms": 0}] if is_logged else [])


@pytest.mark.parametrize(("late_ms", "is_logged"), [(140, False), (200, True)])
def test_a_turn_that_begins_late_is_logged(late_ms: int, is_logged: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    clock, logged = ManualClock(), list[dict[str, object]]()
    loop = Loop(clock)
    monkeypatch.setattr(logs, "warn", lambda name, **fields: logged.append({"event": name} | fields))
    loop.call_at(clock.now + 5 * MS, lambda: None)
    real = loop._poll

    class Poll:
        def poll(self, timeout_ms: int) -> list[tuple[int, int]]:
            clock.now += (timeout_ms + late_ms) * MS
            return real.poll(0)

    monkeypatch.setattr(loop, "_poll", Poll())
    loop.turn()
    assert logged == ([{"event": "held-up", "turn_ms": 0, "wake_late_ms": late_ms}] if is_logged else [])
