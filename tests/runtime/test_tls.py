"""TLS streams over memory BIOs: transfer of data, closing, and faulty peers."""

from __future__ import annotations

import random
import socket
import ssl
from collections.abc import Callable
from pathlib import Path

import pytest
import trustme
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from kestrelspar.runtime.tls import BadHandshake, TlsStream
from tests.bench import CLOCK, SkippingLoop, listener

CA = trustme.CA()
CERT = CA.issue_cert("gate.example", "127.0.0.1")
UNTRUSTED_CA = trustme.CA()


def contexts(minimum: ssl.TLSVersion = ssl.TLSVersion.TLSv1_2) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    server, client = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    CERT.configure_cert(server)
    CA.configure_trust(client)
    server.minimum_version = client.maximum_version = minimum
    client.maximum_version = ssl.TLSVersion.MAXIMUM_SUPPORTED
    return server, client


class ConnectedPair:
    """Both ends of a connection on one event loop; exceptions of tasks are collected."""

    def __init__(self, loop: Loop | None = None) -> None:
        self.loop, self.pool = loop or SkippingLoop(CLOCK), BufferPool()
        ours, theirs = socket.socketpair()
        for end in (ours, theirs):
            end.setblocking(False)
        self.ours, self.theirs = ours, theirs
        self.errors: list[BaseException] = []

    def tls(
        self, name: str = "gate.example", server: ssl.SSLContext | None = None, client: ssl.SSLContext | None = None
    ) -> tuple[TlsStream, TlsStream]:
        default_contexts = contexts()
        return (
            TlsStream(self.loop, self.ours, self.pool, server or default_contexts[0], True),
            TlsStream(self.loop, self.theirs, self.pool, client or default_contexts[1], False, name),
        )

    def run_tasks(self, *calls: Callable[[], object], within: int = 60 * SECOND) -> None:
        unfinished = [len(calls)]

        def run(call: Callable[[], object]) -> None:
            try:
                call()
            except (ConnectionClosedError, DeadlineExceededError) as error:
                self.errors.append(error)
            unfinished[0] -= 1

        for call in calls:
            self.loop.spawn(run, call)
        end = self.loop.now + within
        while unfinished[0]:
            assert self.loop.now < end, "the loop waits for something that does not happen"
            self.loop.turn()


def handshake_both(pair: ConnectedPair, one: TlsStream, other: TlsStream) -> None:
    pair.run_tasks(lambda: one.handshake(pair.loop.now + SECOND), lambda: other.handshake(pair.loop.now + SECOND))


def read(stream: Stream, count: int) -> bytes:
    found = b""
    while len(found) < count:
        if not len(stream.unread):
            stream.fill(None)
        found += bytes(stream.unread)
        stream.consume(len(stream.unread))
    return found


@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.lists(st.integers(0, 70_000), min_size=1, max_size=5))
def test_data_of_any_size_arrives_complete_in_both_directions(sizes: list[int]) -> None:
    pair = ConnectedPair()
    one, other = pair.tls()
    handshake_both(pair, one, other)
    data = [random.Random(size).randbytes(size) for size in sizes]
    got: list[bytes] = []

    def send_and_receive() -> None:
        for piece in data:
            one.write(piece, None)
            got.append(read(one, len(piece)))

    def echo() -> None:
        for piece in data:
            other.write(read(other, len(piece)), None)

    pair.run_tasks(send_and_receive, echo)
    assert got == data and not pair.errors
    one.close()
    other.close()


def test_close_notify_and_a_broken_connection_both_end_the_stream() -> None:
    for broken in (False, True):
        pair = ConnectedPair()
        one, other = pair.tls()
        handshake_both(pair, one, other)
        other.write(b"last", None)
        pair.theirs.close() if broken else other.close()
        assert not one.peer_closed(), "the last data of the peer is not read yet"
        assert read(one, 4) == b"last" and one.peer_closed()
        pair.run_tasks(lambda: one.fill(None))  # noqa: B023
        assert isinstance(pair.errors[0], ConnectionClosedError)


def test_a_stream_that_received_only_session_tickets_is_reusable() -> None:
    pair = ConnectedPair()
    one, other = pair.tls()
    handshake_both(pair, one, other)
    assert len(pair.theirs.recv(1, socket.MSG_PEEK)) == 1, "the server's session tickets should have arrived"
    assert other.is_reusable() and not other.peer_closed()
    one.write(b"x", None)
    assert not other.is_reusable() and bytes(other.unread) == b"x"


def test_without_a_free_buffer_an_open_connection_does_not_count_as_closed() -> None:
    pair = ConnectedPair()
    one, other = pair.tls()
    handshake_both(pair, one, other)
    assert other.is_reusable()
    taken = []
    while (buffer := other.pool.acquire()) is not None:
        taken.append(buffer)
    assert not other.peer_closed() and not other.is_reusable()
    for buffer in taken:
        other.pool.release(buffer)
    assert other.is_reusable()


@pytest.mark.parametrize(
    ("case", "why"),
    [("other name", "mismatch"), ("other authority", "unable to get local issuer"), ("old version", "")],
)
def test_the_handshake_with_an_untrusted_peer_fails_on_both_sides(case: str, why: str) -> None:
    pair = ConnectedPair()
    server, client = contexts()
    if case == "other authority":
        client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        UNTRUSTED_CA.configure_trust(client)
    if case == "old version":
        server.minimum_version = ssl.TLSVersion.TLSv1_3
        client.maximum_version = ssl.TLSVersion.TLSv1_2
    one, other = pair.tls("other.example" if case == "other name" else "gate.example", server, client)
    received: list[bytes] = []
    pair.run_tasks(
        lambda: (one.handshake(pair.loop.now + SECOND), received.append(read(one, 1))),
        lambda: other.handshake(pair.loop.now + SECOND),
    )
    assert len(pair.errors) == 2 and any(why in str(error) for error in pair.errors) and not received


@pytest.mark.parametrize(
    "first_bytes",
    [
        b"\x00\x00\x00\x2f\x00\x00\x00\x09" + b"\0" * 39,
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01\xff\xff",
        bytes(random.Random(3).randbytes(2_000)),
        b"",
    ],
)
def test_a_peer_without_tls_or_that_stalls_delays_no_other_task(first_bytes: bytes) -> None:
    pair = ConnectedPair()
    one, _ = pair.tls()
    turns: list[int] = []

    def other_task() -> None:
        for _ in range(5):
            pair.loop.sleep(50 * MS)
            turns.append(pair.loop.now)

    if first_bytes:
        pair.theirs.send(first_bytes)
    pair.run_tasks(lambda: one.handshake(pair.loop.now + 400 * MS), other_task)
    assert len(turns) == 5 and isinstance(pair.errors[0], (BadHandshake, DeadlineExceededError))
    one.close()


def test_an_endless_handshake_message_is_refused() -> None:
    pair = ConnectedPair()
    one, _ = pair.tls()
    # Records of a handshake message with a declared length of 16 MB.
    record = b"\x16\x03\x01\x40\x00" + b"\x01\xff\xff\xff" + b"\0" * 16_380

    def flood() -> None:
        end = Stream(pair.loop, pair.theirs, pair.pool)
        for _ in range(100):
            end.write(record, pair.loop.now + SECOND)

    pair.run_tasks(lambda: one.handshake(pair.loop.now + SECOND), flood)
    assert any(isinstance(error, BadHandshake) for error in pair.errors)


def test_dial_connects_over_real_sockets_and_returns_none_without_an_answer(tmp_path: Path) -> None:
    loop, pool = SkippingLoop(CLOCK), BufferPool()
    sock, address = listener()
    server, client = contexts(ssl.TLSVersion.TLSv1_3)
    got: list[bytes] = []

    def serve() -> None:
        loop.readable(sock, None)
        conn, _ = sock.accept()
        conn.setblocking(False)
        stream = TlsStream(loop, conn, pool, server, True)
        stream.handshake(loop.now + SECOND)
        stream.write(read(stream, 3)[::-1], None)
        stream.close()

    def call() -> None:
        from kestrelspar.runtime import tls

        stream = tls.dial(loop, pool, address, loop.now + SECOND, client)
        assert stream is not None and "gate.example" in stream.names()
        stream.write(b"abc", None)
        got.append(read(stream, 3))
        assert connect(loop, address, loop.now + SECOND) is not None
        assert tls.dial(loop, pool, address, loop.now + SECOND, client) is None, "the server does not answer any more"
        got.append(b"done")

    loop.spawn(serve)
    loop.spawn(call)
    end = loop.now + 20 * SECOND
    while len(got) < 2:
        assert loop.now < end
        loop.turn()
    assert got[0] == b"cba"
