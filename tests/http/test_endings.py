"""Crossings at the end of a client's connection and of the process: bytes that come in the very moment of a close."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from kestrelspar.core.courier import LEAVE_AT, End, Message
from kestrelspar.http import parser
from kestrelspar.http.sender import IDLE_TIMEOUT, State
from kestrelspar.runtime.loop import MS, SECOND
from tests.test_http import Stage, hand_in, ok

END = "end"  # the connection ended in order
RESET = "reset"


class Caller:
    """A client's socket, which the test drives step by step."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.sock = stage, socket.create_connection(stage.address)
        self.sock.setblocking(False)
        self.got, self.over = b"", ""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> None:
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self.over = RESET
            return
        self.got += data
        self.over = self.over or ("" if data else END)

    def until(self, done: Callable[[], object]) -> None:
        def there() -> object:
            self.read()
            return done()

        self.stage.until(there)

    def answered(self, data: bytes, status: bytes) -> None:
        self.got = b""
        self.send(data)
        self.until(lambda: b"\r\n\r\n" in self.got)
        assert self.got.startswith(b"HTTP/1.1 " + status), self.got


@pytest.mark.parametrize("closing", [False, True])
def test_a_request_behind_the_half_close_is_not_carried_nor_met_by_a_reset(tmp_path: Path, closing: bool) -> None:
    stage = Stage(tmp_path, ok)
    caller = Caller(stage)
    caller.answered(hand_in("first"), b"202")
    if closing:
        stage.courier.close()
    caller.until(lambda: caller.over)
    assert caller.over == END and stage.server._clients[State.LEAVING]
    caller.send(hand_in("second"))
    stage.wait(100 * MS)
    caller.read()
    assert caller.over == END and not stage.courier.find("second")
    caller.sock.close()
    stage.until(lambda: stage.server.count == 0)
    assert [head.headers["x-trace-id"] for head, _ in stage.peer.seen] == ["first"]


@pytest.mark.parametrize(
    ("data", "answer"),
    [
        (b"POST /reading HTTP/1.1\r\nX-", b"HTTP/1.1 408 "),  # half a request, and more of it after the answer
        (hand_in(body=b"x" * 90)[:-40], b"HTTP/1.1 408 "),
        (b"BREW /tea HTTP/1.1\r\n\r\n", b"HTTP/1.1 405 "),
    ],
)
def test_an_answer_that_ends_a_connection_is_not_overtaken(tmp_path: Path, data: bytes, answer: bytes) -> None:
    stage = Stage(tmp_path, ok)
    caller = Caller(stage)
    caller.send(data)
    stage.until(lambda: stage.server._clients[State.LEAVING])
    for _ in range(20):
        caller.send(b"x" * 1000)
        stage.wait(20 * MS)
    caller.until(lambda: caller.over)
    assert caller.over == END and caller.got.startswith(answer)


def test_a_last_answer_is_read_though_the_client_has_sent_on(tmp_path: Path) -> None:
    # Guards against close() right behind an answer with `Connection: close` over a request that crosses it.
    stage = Stage(tmp_path, ok)
    caller = Caller(stage)
    caller.send(hand_in("one", Connection="close") + hand_in("two"))
    caller.until(lambda: caller.over)
    assert caller.over == END and caller.got.count(b"HTTP/1.1 202") == 1 and not stage.courier.find("two")


def test_a_request_that_comes_as_the_rest_is_over_is_served(tmp_path: Path) -> None:
    stage = Stage(tmp_path, ok)
    caller = Caller(stage)
    caller.answered(hand_in("one"), b"202")
    stage.until(lambda: stage.server._clients[State.IDLE])
    (client,) = stage.server._clients[State.IDLE]
    caller.send(hand_in("two"))
    client.stream.expire()  # its time is over in the turn in which the bytes are there already
    caller.got = b""
    caller.until(lambda: b"\r\n\r\n" in caller.got)
    assert caller.got.startswith(b"HTTP/1.1 202")
    stage.wait(IDLE_TIMEOUT + SECOND)
    assert stage.server.count == 0


# The end of the process


def closed(stage: Stage) -> Callable[[], bool]:
    over: list[int] = []
    stage.loop.stop = lambda: over.append(stage.loop.now)  # type: ignore[method-assign]
    return lambda: bool(over)


def test_resting_connections_are_ended_early_and_in_order(tmp_path: Path) -> None:
    # Guards against clients that rest until the courier ends them and send on what is still open at the exit.
    stage = Stage(tmp_path, ok)
    callers = [Caller(stage) for _ in range(5)]
    for number, caller in enumerate(callers):
        caller.answered(hand_in(f"t{number}"), b"202")
    over, began = closed(stage), stage.loop.now
    stage.courier.close()
    for caller in callers:
        caller.until(lambda caller=caller: caller.over)
        assert caller.over == END and stage.loop.now < began + 100 * MS
        caller.sock.close()
    stage.until(over)
    assert stage.loop.now < began + SECOND


def test_new_connections_after_sigterm_are_served_a_refusal_and_none_is_reset(tmp_path: Path) -> None:
    stage = Stage(tmp_path, ok)
    over, began = closed(stage), stage.loop.now
    stage.courier.close()
    for number in range(4):
        caller = Caller(stage)
        caller.answered(hand_in(f"t{number}"), b"503")
        assert b"Connection: close" in caller.got
        caller.until(lambda caller=caller: caller.over)
        assert caller.over == END
        caller.sock.close()
        stage.wait(100 * MS)
    silent = Caller(stage)
    stage.wait(300 * MS)
    silent.answered(hand_in("late"), b"503")  # it came before the listener was closed
    silent.sock.close()
    stage.until(over)
    assert stage.loop.now < began + 2 * SECOND


def test_the_process_does_not_exit_over_a_request_that_is_being_read(tmp_path: Path) -> None:
    stage = Stage(tmp_path, ok)
    over, began = closed(stage), stage.loop.now
    caller, data = Caller(stage), hand_in("slow")
    caller.send(data[:40])
    stage.wait(10 * MS)
    stage.courier.close()
    stage.wait(1500 * MS)
    assert not over()
    caller.answered(data[40:], b"503")
    caller.sock.close()
    stage.until(over)
    assert stage.loop.now < began + LEAVE_AT


def test_a_client_that_never_ends_its_side_does_not_delay_the_exit(tmp_path: Path) -> None:
    stage = Stage(tmp_path, ok)
    callers = [Caller(stage) for _ in range(3)]
    callers[0].answered(hand_in("t0"), b"202")
    callers[1].send(b"POST /rea")
    over, began = closed(stage), stage.loop.now
    stage.courier.close()
    while not over():
        callers[0].read()
        if callers[0].over != RESET:
            callers[0].send(b"x")  # trickles on after the half-close
        stage.wait(50 * MS)
    assert stage.loop.now <= began + LEAVE_AT + 200 * MS
    for caller in callers:
        caller.sock.close()


def test_an_owed_notice_that_can_go_goes_before_the_exit(tmp_path: Path) -> None:
    answers: list[bytes | None] = [None, parser.response(204)]
    stage = Stage(
        tmp_path, lambda *_: parser.response(500), lambda *_: answers.pop(0) if answers else parser.response(204)
    )
    stage.courier.unfinished.append(stage.notices.has_pending)
    caller = Caller(stage)
    caller.answered(hand_in("pay", "payment", X_Expires_In="700m"), b"202")  # may have run: its end is a notice
    over = closed(stage)
    stage.courier.close()
    stage.until(over)
    assert not stage.journal.entries and stage.notices_seen()[-1]["state"] == "failed"


# Notices


def test_a_kept_connection_that_fell_silent_does_not_make_an_end_late(tmp_path: Path) -> None:
    # Guards against an end that waits 2 s for an answer there, where it may be late by 300 ms.
    stage = Stage(tmp_path, lambda *_: None, lambda *_: parser.response(204))
    times: list[int] = []

    def platform(_: parser.Head, body: bytes) -> bytes | None:
        if stage.platform.connections == 1 and times:
            return None  # the first one falls silent after its first notice
        times.append(stage.loop.now)
        return parser.response(204)

    stage.platform.script = platform
    for trace in ("a", "b"):
        stage.talk(hand_in(trace, "payment", X_Expires_In="600m"))
        deadline = stage.loop.now + 600 * MS
        stage.until(lambda: not stage.journal.entries)
        assert times[-1] < deadline + 300 * MS
    assert stage.platform.connections == 2


def test_bad_notices_hold_back_no_others(tmp_path: Path) -> None:
    stage = Stage(tmp_path, ok)
    stage.platform.script = lambda _, body: parser.response(400 if b'"bad' in body else 204)
    heard: list[str] = []

    def settle(trace: str) -> None:
        stage.notices.settle(Message(trace, 0, 0, 7, 0, b"", stage.notices), End("failed"))
        heard.append(trace)

    traces = [f"{'bad' if n % 40 == 39 else 'good'}{n}" for n in range(200)]
    for trace in traces:
        stage.loop.spawn(settle, trace)
    stage.until(lambda: len(heard) == 200)
    assert len(stage.platform.seen) < 150 and sorted(heard) == sorted(traces)
