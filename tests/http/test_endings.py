"""Races at the end of a client's connection and of the process: bytes that arrive at the moment of a close."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from kestrelspar.core.courier import EXIT_TIMEOUT, End, Message
from kestrelspar.http import parser
from kestrelspar.http.sender import IDLE_TIMEOUT, State
from kestrelspar.runtime.loop import MS, SECOND
from tests.test_http import HttpTestbed, ok, submit_request

END = "end"  # an orderly close
RESET = "reset"


class Caller:
    """A client's socket that the test controls step by step."""

    def __init__(self, stage: HttpTestbed) -> None:
        self.stage, self.sock = stage, socket.create_connection(stage.address)
        self.sock.setblocking(False)
        self.got, self.ending = b"", ""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> None:
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self.ending = RESET
            return
        self.got += data
        self.ending = self.ending or ("" if data else END)

    def read_until(self, done: Callable[[], object]) -> None:
        def read_and_check() -> object:
            self.read()
            return done()

        self.stage.run_until(read_and_check)

    def send_and_expect(self, data: bytes, status: bytes) -> None:
        self.got = b""
        self.send(data)
        self.read_until(lambda: b"\r\n\r\n" in self.got)
        assert self.got.startswith(b"HTTP/1.1 " + status), self.got


@pytest.mark.parametrize("closing", [False, True])
def test_a_request_after_the_half_close_is_neither_accepted_nor_reset(tmp_path: Path, closing: bool) -> None:
    stage = HttpTestbed(tmp_path, ok)
    caller = Caller(stage)
    caller.send_and_expect(submit_request("first"), b"202")
    if closing:
        stage.courier.close()
    caller.read_until(lambda: caller.ending)
    assert caller.ending == END and stage.server._clients[State.LEAVING]
    caller.send(submit_request("second"))
    stage.run_for(100 * MS)
    caller.read()
    assert caller.ending == END and not stage.courier.find("second")
    caller.sock.close()
    stage.run_until(lambda: stage.server.count == 0)
    assert [head.headers["x-trace-id"] for head, _ in stage.peer.seen] == ["first"]


@pytest.mark.parametrize(
    ("data", "answer"),
    [
        # An incomplete request, which continues after the response.
        (b"POST /reading HTTP/1.1\r\nX-", b"HTTP/1.1 408 "),
        (submit_request(body=b"x" * 90)[:-40], b"HTTP/1.1 408 "),
        (b"BREW /tea HTTP/1.1\r\n\r\n", b"HTTP/1.1 405 "),
    ],
)
def test_a_final_response_is_not_overtaken_by_a_reset(tmp_path: Path, data: bytes, answer: bytes) -> None:
    stage = HttpTestbed(tmp_path, ok)
    caller = Caller(stage)
    caller.send(data)
    stage.run_until(lambda: stage.server._clients[State.LEAVING])
    for _ in range(20):
        caller.send(b"x" * 1000)
        stage.run_for(20 * MS)
    caller.read_until(lambda: caller.ending)
    assert caller.ending == END and caller.got.startswith(answer)


def test_a_final_response_arrives_although_the_client_has_sent_another_request(tmp_path: Path) -> None:
    # Guards against close() directly after a response with `Connection: close` while another request is in transit.
    stage = HttpTestbed(tmp_path, ok)
    caller = Caller(stage)
    caller.send(submit_request("one", Connection="close") + submit_request("two"))
    caller.read_until(lambda: caller.ending)
    assert caller.ending == END and caller.got.count(b"HTTP/1.1 202") == 1 and not stage.courier.find("two")


def test_a_request_that_arrives_as_the_idle_time_ends_is_served(tmp_path: Path) -> None:
    stage = HttpTestbed(tmp_path, ok)
    caller = Caller(stage)
    caller.send_and_expect(submit_request("one"), b"202")
    stage.run_until(lambda: stage.server._clients[State.IDLE])
    (client,) = stage.server._clients[State.IDLE]
    caller.send(submit_request("two"))
    client.stream.expire_read()  # the idle time ends in the turn in which the bytes have already arrived
    caller.got = b""
    caller.read_until(lambda: b"\r\n\r\n" in caller.got)
    assert caller.got.startswith(b"HTTP/1.1 202")
    stage.run_for(IDLE_TIMEOUT + SECOND)
    assert stage.server.count == 0


# Shutdown


def intercept_stop(stage: HttpTestbed) -> Callable[[], bool]:
    """Prevents that the loop stops; the returned function says whether it would have."""
    stopped_at: list[int] = []
    stage.loop.stop = lambda: stopped_at.append(stage.loop.now)  # type: ignore[method-assign]
    return lambda: bool(stopped_at)


def test_idle_connections_are_closed_early_and_orderly(tmp_path: Path) -> None:
    # Guards against idle clients that send a request on a connection which is still open when the process exits.
    stage = HttpTestbed(tmp_path, ok)
    callers = [Caller(stage) for _ in range(5)]
    for number, caller in enumerate(callers):
        caller.send_and_expect(submit_request(f"t{number}"), b"202")
    stopped, started_at = intercept_stop(stage), stage.loop.now
    stage.courier.close()
    for caller in callers:
        caller.read_until(lambda caller=caller: caller.ending)
        assert caller.ending == END and stage.loop.now < started_at + 100 * MS
        caller.sock.close()
    stage.run_until(stopped)
    assert stage.loop.now < started_at + SECOND


def test_requests_on_new_connections_after_sigterm_are_deferred_and_none_is_reset(tmp_path: Path) -> None:
    stage = HttpTestbed(tmp_path, ok)
    stopped, started_at = intercept_stop(stage), stage.loop.now
    stage.courier.close()
    for number in range(4):
        caller = Caller(stage)
        caller.send_and_expect(submit_request(f"t{number}"), b"503")
        assert b"Connection: close" in caller.got
        caller.read_until(lambda caller=caller: caller.ending)
        assert caller.ending == END
        caller.sock.close()
        stage.run_for(100 * MS)
    silent = Caller(stage)
    stage.run_for(300 * MS)
    silent.send_and_expect(submit_request("late"), b"503")  # it connected before the listener was closed
    silent.sock.close()
    stage.run_until(stopped)
    assert stage.loop.now < started_at + 2 * SECOND


def test_the_process_does_not_exit_while_a_request_is_being_read(tmp_path: Path) -> None:
    stage = HttpTestbed(tmp_path, ok)
    stopped, started_at = intercept_stop(stage), stage.loop.now
    caller, data = Caller(stage), submit_request("slow")
    caller.send(data[:40])
    stage.run_for(10 * MS)
    stage.courier.close()
    stage.run_for(1500 * MS)
    assert not stopped()
    caller.send_and_expect(data[40:], b"503")
    caller.sock.close()
    stage.run_until(stopped)
    assert stage.loop.now < started_at + EXIT_TIMEOUT


def test_a_client_that_never_closes_its_side_does_not_delay_the_exit(tmp_path: Path) -> None:
    stage = HttpTestbed(tmp_path, ok)
    callers = [Caller(stage) for _ in range(3)]
    callers[0].send_and_expect(submit_request("t0"), b"202")
    callers[1].send(b"POST /rea")
    stopped, started_at = intercept_stop(stage), stage.loop.now
    stage.courier.close()
    while not stopped():
        callers[0].read()
        if callers[0].ending != RESET:
            callers[0].send(b"x")  # it continues to send slowly after the half-close
        stage.run_for(50 * MS)
    assert stage.loop.now <= started_at + EXIT_TIMEOUT + 200 * MS
    for caller in callers:
        caller.sock.close()


def test_a_pending_notice_is_sent_before_the_exit(tmp_path: Path) -> None:
    answers: list[bytes | None] = [None, parser.response(204)]
    stage = HttpTestbed(
        tmp_path, lambda *_: parser.response(500), lambda *_: answers.pop(0) if answers else parser.response(204)
    )
    stage.courier.busy_checks.append(stage.notices.has_pending)
    caller = Caller(stage)
    # The payment may have been processed, so its final state is reported by a notice.
    caller.send_and_expect(submit_request("pay", "payment", X_Expires_In="700m"), b"202")
    stopped = intercept_stop(stage)
    stage.courier.close()
    stage.run_until(stopped)
    assert not stage.journal.entries and stage.notices_seen()[-1]["state"] == "failed"


# Notices


def test_an_unresponsive_persistent_connection_does_not_delay_a_notice(tmp_path: Path) -> None:
    # Guards against waiting 2 s for a response on that connection, as a final state may be late by 300 ms at most.
    stage = HttpTestbed(tmp_path, lambda *_: None, lambda *_: parser.response(204))
    times: list[int] = []

    def platform(_: parser.Head, body: bytes) -> bytes | None:
        if stage.platform.connections == 1 and times:
            return None  # the first connection stops responding after its first notice
        times.append(stage.loop.now)
        return parser.response(204)

    stage.platform.script = platform
    for trace in ("a", "b"):
        stage.talk(submit_request(trace, "payment", X_Expires_In="600m"))
        deadline = stage.loop.now + 600 * MS
        stage.run_until(lambda: not stage.journal.entries)
        assert times[-1] < deadline + 300 * MS
    assert stage.platform.connections == 2


def test_many_rejected_notices_delay_no_others_and_are_not_sent_one_by_one(tmp_path: Path) -> None:
    stage = HttpTestbed(tmp_path, ok)
    stage.platform.script = lambda _, body: parser.response(400 if b'"bad' in body else 204)
    acknowledged: list[str] = []

    def settle(trace: str) -> None:
        stage.notices.report_end(Message(trace, 0, 0, 7, 0, b"", stage.notices), End("failed"))
        acknowledged.append(trace)

    traces = [f"{'bad' if n % 40 == 39 else 'good'}{n}" for n in range(200)]
    for trace in traces:
        stage.loop.spawn(settle, trace)
    stage.run_until(lambda: len(acknowledged) == 200)
    assert len(stage.platform.seen) < 150 and sorted(acknowledged) == sorted(traces)
