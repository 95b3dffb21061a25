"""Crossings of a delivery attempt: resets at each byte, answers that trickle, flood or never end."""

from __future__ import annotations

import contextlib
import socket
import struct
from pathlib import Path

import pytest

from kestrelspar.core.courier import Message
from kestrelspar.http.nexthop import BODY_TIMEOUT
from kestrelspar.http.sender import State
from kestrelspar.runtime.buffers import Stream
from kestrelspar.runtime.loop import MS, SECOND
from snowlock.interface import Outcome
from tests.bench import PAYMENT
from tests.http.test_endings import END, Caller
from tests.test_http import Peer, Stage, attempt, hand_in, ok

RESET_NOW = struct.pack("ii", 1, 0)  # SO_LINGER: close is a reset


class Hop(Peer):
    """A next hop that does nothing by itself: the test drives its sockets."""

    def __init__(self, stage: Stage) -> None:
        super().__init__(stage, ok)
        stage.peer = self

    def serve(self, stream: Stream) -> None:
        pass

    @property
    def socks(self) -> list[socket.socket]:
        return [stream.sock for stream in self.streams]


def out(stage: Stage, span: int = 2 * SECOND) -> list[Outcome]:
    got: list[Outcome] = []
    message = Message("t", PAYMENT, 0, 7, stage.loop.now + 9 * SECOND, b"x" * 40, stage.ends, "key")
    stage.loop.spawn(
        lambda: got.append(stage.pool.attempt(message, stage.hop(), stage.loop.now + span, lambda: True).outcome)
    )
    return got


@pytest.mark.parametrize("answered", [0, 5, 12, 15])
@pytest.mark.parametrize("read", [0, 1, 60, 200])
def test_a_reset_at_each_byte_never_proves_that_a_whole_call_did_not_run(
    tmp_path: Path, read: int, answered: int
) -> None:
    # Guards against a payment that is sent again though its last byte had left.
    stage = Stage(tmp_path, ok)
    hop = Hop(stage)
    got = out(stage)
    stage.until(lambda: hop.socks)
    stage.wait(5 * MS)
    (sock,) = hop.socks
    if read:
        sock.recv(read)
    if answered:
        sock.send(b"HTTP/1.1 503 X\r\n"[:answered])
        stage.wait(2 * MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_NOW)
    sock.close()
    stage.until(lambda: got)
    assert got[0] in (Outcome.RESET, Outcome.ERROR)


@pytest.mark.parametrize(
    "piece", [b"HTTP/1.1 100 Continue\r\n\r\n" * 50, b"X-A: 1\r\n", b"x" * 4000, b"5\r\nhello\r\n" * 100]
)
@pytest.mark.parametrize("start", [b"", b"HTTP/1.1 503 X\r\n", b"HTTP/1.1 429 X\r\nTransfer-Encoding: chunked\r\n\r\n"])
def test_an_answer_that_never_ends_is_bounded_in_time_and_memory(tmp_path: Path, start: bytes, piece: bytes) -> None:
    stage = Stage(tmp_path, ok)
    hop = Hop(stage)
    got = out(stage, 20 * SECOND)
    stage.until(lambda: hop.socks)
    stage.wait(5 * MS)
    (sock,), began = hop.socks, stage.loop.now
    over: list[int] = []

    def flood() -> None:
        try:
            sock.send(start)
            while not got:
                stage.loop.writable(sock, stage.loop.now + 10 * MS)
                with contextlib.suppress(BlockingIOError):
                    sock.send(piece)
                stage.loop.sleep(MS)
        except OSError:
            pass
        over.append(1)

    stage.loop.spawn(flood)
    stage.until(lambda: got and over)
    assert got[0] in (Outcome.ERROR, Outcome.RESET) and stage.loop.now - began < BODY_TIMEOUT + SECOND
    assert stage.buffers._made <= 4


def test_the_rest_of_answers_is_read_for_few_at_once(tmp_path: Path) -> None:
    # Guards against descriptors held by answers whose first line has come and whose rest trickles: no slot bounds it.
    stage = Stage(tmp_path, ok, slots=3)
    hop = Hop(stage)
    for number in range(8):
        got = out(stage)
        stage.until(lambda number=number: len(hop.socks) > number)
        stage.wait(2 * MS)
        hop.socks[number].send(b"HTTP/1.1 200 OK\r\nContent-Le")
        stage.until(lambda got=got: got)
        assert got == [Outcome.OK]
    assert stage.pool._draining_responses <= 3
    stage.wait(BODY_TIMEOUT + SECOND)
    assert stage.pool._draining_responses == 0


def test_noise_on_a_kept_connection_is_no_answer(tmp_path: Path) -> None:
    stage = Stage(tmp_path, ok)
    assert attempt(stage) is Outcome.OK
    stage.peer.streams[0].sock.send(b"HTTP/1.1 2")  # half a line from an endpoint, as the connection rests
    stage.wait(2 * MS)
    assert attempt(stage) is Outcome.OK and stage.peer.connections == 2


def test_a_slow_request_that_gives_way_is_answered(tmp_path: Path) -> None:
    # Guards against a reset over half a request where descriptors run short.
    stage = Stage(tmp_path, ok)
    slow = [Caller(stage) for _ in range(20)]
    for caller in slow:
        caller.send(b"POST /reading HTTP/1.1\r\nX-")
    stage.until(lambda: len(stage.server._clients[State.ASKING]) == 20)
    stage.wait(400 * MS)
    began = stage.loop.now
    assert b" 202 " in stage.talk(hand_in()) and stage.loop.now - began < 400 * MS
    slow[0].until(lambda: slow[0].over)
    assert slow[0].over == END and slow[0].got.startswith(b"HTTP/1.1 408 ")


def test_a_200_that_comes_as_its_time_is_up_is_not_taken_for_delivered(tmp_path: Path) -> None:
    # Guards against a message without an end: who sent that answer late counts it for nothing, and no notice went.
    stage = Stage(tmp_path, ok)
    hop = Hop(stage)
    span = 100 * MS
    got, by = out(stage, span), stage.loop.now + span
    stage.until(lambda: hop.socks)
    stage.wait(2 * MS)
    real, stage.loop.clock = stage.loop.clock, lambda: max(real(), by + 50 * MS)  # there in that turn
    hop.socks[0].send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    stage.until(lambda: got)
    assert got == [Outcome.TIMEOUT]
