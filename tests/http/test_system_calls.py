"""System calls that fail for a moment: connections are still accepted, and no endpoint is blamed for this machine."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import struct
from collections.abc import Callable
from pathlib import Path

import pytest

from kestrelspar.http import parser
from kestrelspar.http.sender import SHUTDOWN_ACCEPT_TIME
from kestrelspar.runtime import loop as loop_module
from kestrelspar.runtime.loop import MS, SECOND
from snowlock.interface import Outcome
from tests.http.test_endings import intercept_stop
from tests.test_http import HttpTestbed, attempt, ok, submit_request

ACCEPT_ERRORS = [
    errno.ECONNABORTED,
    errno.EINTR,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
]
SKIPPING_LOOP_TIMEOUT = 1  # with which the loop of the tests looks ahead
LOCAL_ERRORS = [errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETUNREACH, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
REMOTE_ERRORS = [errno.ECONNREFUSED, errno.ECONNRESET, errno.EHOSTUNREACH, errno.ETIMEDOUT]
ABORTIVE_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER with which close() sends a reset


class FailingSocket(socket.socket):
    """A socket whose calls fail as often as ``failures`` says, by the name of the call: error and number of times."""

    failures: dict[str, tuple[int, int]] = {}
    is_accepted = False  # only on accepted sockets setsockopt and close fail

    @classmethod
    def fail(cls, call: str) -> None:
        error, times = cls.failures.get(call, (0, 0))
        if times > 0:
            cls.failures[call] = error, times - 1
            raise OSError(error, os.strerror(error))

    def connect_ex(self, address: object) -> int:
        try:
            self.fail("connect")
        except OSError as error:
            assert error.errno is not None
            return error.errno
        return super().connect_ex(address)  # type: ignore[arg-type]

    def accept(self) -> tuple[socket.socket, object]:
        self.fail("accept")
        accepted, address = super().accept()
        sock = FailingSocket(fileno=accepted.detach())
        sock.is_accepted = True
        return sock, address

    def setsockopt(self, *given: object) -> None:  # type: ignore[override]
        if self.is_accepted:
            self.fail("setsockopt")
        super().setsockopt(*given)  # type: ignore[arg-type]

    def close(self) -> None:
        super().close()
        if self.is_accepted:
            self.fail("close")


@pytest.fixture(autouse=True)
def failing_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    FailingSocket.failures = {}
    monkeypatch.setattr(loop_module.socket, "socket", FailingSocket)


@pytest.mark.parametrize("error", ACCEPT_ERRORS)
@pytest.mark.parametrize("call", ["accept", "setsockopt", "close"])
def test_connections_are_accepted_after_a_call_has_failed_on_one(tmp_path: Path, call: str, error: int) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    FailingSocket.failures[call] = error, 3
    for number in range(8):
        with contextlib.suppress(OSError):  # the connections that fail
            testbed.talk(submit_request(f"t{number}"))
    assert testbed.talk(submit_request("last")).startswith(b"HTTP/1.1 202 ")


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EINVAL, errno.ENOMEM])
def test_a_request_is_answered_although_the_system_refuses_a_socket_option(tmp_path: Path, error: int) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    FailingSocket.failures["setsockopt"] = error, 3
    answers = [testbed.talk(submit_request(f"t{number}")) for number in range(4)]
    assert all(answer.startswith(b"HTTP/1.1 202 ") for answer in answers)


@pytest.mark.parametrize("error", LOCAL_ERRORS)
def test_a_connection_that_this_machine_can_not_make_is_retried_and_blames_no_endpoint(
    tmp_path: Path, error: int
) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    FailingSocket.failures["connect"] = error, 3
    assert attempt(testbed, timeout=SECOND) is Outcome.OK
    FailingSocket.failures["connect"] = error, 1_000
    testbed.platform.connections = 0
    testbed.peer.script = lambda *_: parser.response(200, keep=False)
    testbed.run_for(SECOND)
    assert attempt(testbed) in (Outcome.OK, Outcome.MOOT)
    assert attempt(testbed) is Outcome.MOOT


@pytest.mark.parametrize("error", REMOTE_ERRORS)
def test_a_connection_that_the_endpoint_does_not_take_counts_against_it(tmp_path: Path, error: int) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    FailingSocket.failures["connect"] = error, 1
    assert attempt(testbed) is Outcome.CONNECT_FAILED


def test_an_interrupted_connect_goes_on(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    real = socket.socket.connect_ex

    def interrupted(sock: socket.socket, address: object) -> int:
        status = real(sock, address)  # type: ignore[arg-type]
        return errno.EINTR if status == errno.EINPROGRESS else status

    monkeypatch.setattr(FailingSocket, "connect_ex", interrupted)
    assert attempt(testbed) is Outcome.OK


def test_an_aborted_connection_resets_none_of_those_behind_it_when_the_listener_closes(tmp_path: Path) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    stopped: Callable[[], bool] = intercept_stop(testbed)
    listener = testbed.server._listener or socket.socket()
    testbed.run_for(MS)
    listener = testbed.server._listener
    assert listener is not None
    testbed.courier.close()
    testbed.run_for(SHUTDOWN_ACCEPT_TIME - 20 * MS)
    waiting = [socket.create_connection(testbed.address) for _ in range(5)]
    FailingSocket.failures["accept"] = errno.ECONNABORTED, 2
    testbed.server._close_listener(listener)
    for sock in waiting:
        sock.sendall(submit_request())
    testbed.run_for(200 * MS)
    for sock in waiting:
        sock.settimeout(1)
        assert sock.recv(100).startswith(b"HTTP/1.1 503 ")
    assert not stopped()


def test_a_failed_poll_stops_neither_timers_nor_tasks(tmp_path: Path) -> None:
    testbed = HttpTestbed(tmp_path, ok)

    class FailingPoll:
        def __init__(self, real: object) -> None:
            self.real, self.failures = real, 5

        def poll(self, timeout: int) -> list[tuple[int, int]]:
            if self.failures and timeout != SKIPPING_LOOP_TIMEOUT:
                self.failures -= 1
                raise OSError(errno.ENOMEM, "no memory")
            return self.real.poll(timeout)  # type: ignore[attr-defined, no-any-return]

        def __getattr__(self, name: str) -> object:
            return getattr(self.real, name)

    testbed.loop._poll = FailingPoll(testbed.loop._poll)  # type: ignore[assignment]
    assert testbed.talk(submit_request()).startswith(b"HTTP/1.1 202 ")


def test_an_exception_in_a_timer_does_not_end_the_loop(tmp_path: Path) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    testbed.loop.call_at(testbed.loop.now, lambda: [][0])  # type: ignore[var-annotated]
    testbed.run_for(10 * MS)
    assert testbed.talk(submit_request()).startswith(b"HTTP/1.1 202 ")
