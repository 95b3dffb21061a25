"""A response counts for the call that it belongs to: late copies, bytes that no call requested, early responses."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.core.messages import Message
from kestrelspar.core.transport_map import NextHop
from kestrelspar.http import parser
from kestrelspar.http.pool import DISTRUST_TIME, REST, SUSPICIOUS_REST
from kestrelspar.runtime.loop import MS, SECOND
from snowlock import interface as api
from snowlock.interface import Outcome
from tests.bench import PAYMENT, READING
from tests.http.test_attempts import Hop
from tests.test_http import HttpTestbed, Peer, attempt, ok, raw

READY = api.EndpointState.READY
LONG_IDLE_NS = 3_600 * 10**9


def with_idle_connections(directory: Path, count: int) -> HttpTestbed:
    """A testbed with idle connections that have rested; each has carried one call."""
    testbed = HttpTestbed(directory, lambda *_: None, idle_ns=LONG_IDLE_NS)
    got: list[Outcome] = []
    for number in range(count):
        message = Message(f"t{number}", READING, 0, 7, testbed.loop.now + SECOND, b"", testbed.sender)
        testbed.loop.spawn(
            lambda message=message: got.append(
                testbed.pool.attempt(message, testbed.hop(), testbed.loop.now + SECOND, lambda: True).outcome
            )
        )
    testbed.run_until(lambda: len(testbed.peer.seen) == count)
    for stream in testbed.peer.streams:
        stream.write(ok(), None)
    testbed.run_until(lambda: len(got) == count)
    testbed.run_for(REST)
    testbed.peer.script = ok
    return testbed


def calls_by_connection(testbed: HttpTestbed) -> list[int]:
    """Calls on each connection of the next hop, in the order in which they were opened."""
    return [testbed.peer.calls[stream] for stream in testbed.peer.streams]


@pytest.mark.parametrize(("rest", "connections"), [(0, 2), (REST - MS, 2), (REST, 1)])
def test_a_connection_rests_before_it_is_used_again(tmp_path: Path, rest: int, connections: int) -> None:
    testbed = HttpTestbed(tmp_path, ok, idle_ns=LONG_IDLE_NS)
    assert attempt(testbed) is Outcome.OK
    testbed.run_for(rest)
    assert attempt(testbed) is Outcome.OK and testbed.peer.connections == connections


def test_a_message_that_may_not_repeat_takes_the_connection_that_has_rested_longest(tmp_path: Path) -> None:
    testbed = with_idle_connections(tmp_path, 2)
    assert attempt(testbed) is Outcome.OK  # on the one used last, which then rests again
    assert len(calls_by_connection(testbed)) == 2 and calls_by_connection(testbed) == [1, 2]
    testbed.run_for(REST)
    assert attempt(testbed, PAYMENT) is Outcome.OK and calls_by_connection(testbed) == [2, 2]


@pytest.mark.parametrize(
    ("stray", "payment_connections", "reading_connections"),
    [(parser.response(200), 1, 1), (b"HTTP/1.1 2", 0, 0), (b"noise", 0, 0)],
)
def test_a_response_that_no_call_requested_makes_connections_of_all_endpoints_suspicious(
    tmp_path: Path, stray: bytes, payment_connections: int, reading_connections: int
) -> None:
    testbed = with_idle_connections(tmp_path, 2)
    other = Peer(testbed, lambda *_: None)
    testbed.courier.apply_map_update(
        "discovery", [NextHop(api.Endpoint(b"s-2", 7, 0, 0, READY), other.address, testbed.pool)]
    )
    testbed.hop = lambda *_: testbed.courier.map.hops[b"s-2"]  # type: ignore[method-assign]
    other.script = ok
    assert attempt(testbed) is Outcome.OK
    testbed.run_for(REST)
    testbed.peer.streams[1].sock.send(stray)
    testbed.run_for(300 * MS)
    made = other.connections
    assert attempt(testbed, PAYMENT) is Outcome.OK and other.connections - made == payment_connections
    made = other.connections
    testbed.run_for(REST)
    assert attempt(testbed) is Outcome.OK and other.connections - made == reading_connections
    testbed.run_for(SUSPICIOUS_REST)
    made = other.connections
    assert attempt(testbed) is Outcome.OK and other.connections == made


def test_an_unused_connection_is_kept_for_a_message_that_may_not_repeat(tmp_path: Path) -> None:
    testbed = HttpTestbed(tmp_path, ok, idle_ns=LONG_IDLE_NS)
    assert attempt(testbed, PAYMENT, leave=False) is Outcome.MOOT
    assert attempt(testbed, PAYMENT) is Outcome.OK and testbed.peer.connections == 1


@pytest.mark.parametrize("stray", [b"HTTP/1.1 2", parser.response(200), raw(503, "Content-Length: 0"), b"\0"])
def test_unrequested_bytes_close_all_idle_connections_of_the_endpoint(tmp_path: Path, stray: bytes) -> None:
    testbed = with_idle_connections(tmp_path, 3)
    testbed.peer.streams[0].sock.send(stray)
    testbed.run_for(300 * MS)
    assert all(stream.peer_closed() for stream in testbed.peer.streams)
    for calls in range(1, 4):  # each call has a connection of its own
        assert attempt(testbed) is Outcome.OK and testbed.peer.connections == 3 + calls
        testbed.run_for(REST)
    testbed.run_for(DISTRUST_TIME)
    assert attempt(testbed) is Outcome.OK and testbed.peer.connections == 7
    testbed.run_for(REST)
    assert attempt(testbed) is Outcome.OK and testbed.peer.connections == 7


@pytest.mark.parametrize("response", [ok(), raw(503, "Content-Length: 0"), raw(410, "Content-Length: 0")])
def test_a_response_on_a_used_connection_of_a_distrusted_endpoint_proves_nothing(
    tmp_path: Path, response: bytes
) -> None:
    testbed = with_idle_connections(tmp_path, 2)
    testbed.peer.script = lambda *_: None
    got: list[Outcome] = []
    message = Message("t", READING, 0, 7, testbed.loop.now + SECOND, b"", testbed.sender)
    testbed.loop.spawn(
        lambda: got.append(
            testbed.pool.attempt(message, testbed.hop(), testbed.loop.now + SECOND, lambda: True).outcome
        )
    )
    testbed.run_until(lambda: len(testbed.peer.seen) == 3)
    other, used = testbed.peer.streams
    other.sock.send(b"x")
    testbed.run_for(300 * MS)
    used.sock.send(response)
    testbed.run_until(lambda: got)
    assert got == [Outcome.RESET]


def test_a_response_before_the_last_byte_of_a_request_shows_that_the_call_never_ran(tmp_path: Path) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    hop = Hop(testbed)
    got: list[Outcome] = []
    message = Message("t", PAYMENT, 0, 7, testbed.loop.now + 9 * SECOND, b"x" * 4_000_000, testbed.sender, "key")
    testbed.loop.spawn(
        lambda: got.append(
            testbed.pool.attempt(message, testbed.hop(), testbed.loop.now + 5 * SECOND, lambda: True).outcome
        )
    )
    testbed.run_until(lambda: hop.socks)
    testbed.run_for(20 * MS)
    hop.socks[0].send(ok())
    received = 0

    def read() -> None:
        nonlocal received
        while not got:
            testbed.loop.readable(hop.socks[0], testbed.loop.now + 100 * MS)
            try:
                received += len(hop.socks[0].recv(1 << 20))
            except OSError:
                testbed.loop.sleep(MS)

    testbed.loop.spawn(read)
    testbed.run_until(lambda: got)
    assert got == [Outcome.CONNECT_FAILED] and received < 4_000_000
