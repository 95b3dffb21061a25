"""The event loop: several tasks at one socket, suspensions that are resumed early, and full buffers."""

from __future__ import annotations

import socket

import pytest

from kestrelspar.runtime.buffers import BUFFER_SIZE, BufferPool, Stream
from kestrelspar.runtime.loop import MS, TIMED_OUT, Suspension
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
