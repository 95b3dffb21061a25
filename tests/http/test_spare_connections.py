"""How many connections are opened beforehand, and how often a platform that refuses them is tried."""

from __future__ import annotations

import socket

from kestrelspar.http.spare_connections import UNANSWERED_TIME, SpareConnection, SpareConnections
from kestrelspar.runtime.buffers import BufferPool
from kestrelspar.runtime.loop import MS, SECOND, bind
from tests.bench import CLOCK, SkippingLoop, listener


def run_for(loop: SkippingLoop, span: int) -> None:
    fired: list[int] = []
    loop.call_at(loop.now + span, lambda: fired.append(1))
    while not fired:
        loop.turn()


def test_a_platform_that_refuses_connections_is_tried_seldom_while_none_is_needed() -> None:
    loop = SkippingLoop(CLOCK)
    closed = bind(("127.0.0.1", 0))  # bound, and not listening: connections are refused
    spares = SpareConnections(loop, BufferPool(), closed.getsockname(), 8)
    opened: list[int] = []
    open_one = spares._open
    spares._open = lambda: (opened.append(loop.now), open_one())[1]  # type: ignore[method-assign]
    spares.refill()
    run_for(loop, 20 * SECOND)
    assert 5 < len(opened) < 20
    opened.clear()
    assert spares.take() is None
    run_for(loop, SECOND)
    assert len(opened) > 10
    closed.listen()
    run_for(loop, SECOND)
    assert len(spares._ready) == 4
    closed.close()


def test_after_an_outage_without_need_all_connections_are_ready_again() -> None:
    loop = SkippingLoop(CLOCK)
    closed = bind(("127.0.0.1", 0))
    spares = SpareConnections(loop, BufferPool(), closed.getsockname(), 8)
    spares.refill()
    run_for(loop, 10 * SECOND)
    closed.listen()
    run_for(loop, 3 * SECOND)
    assert len(spares._ready) == 4 and not spares.scarce
    closed.close()


def test_a_connection_that_its_peer_closes_is_replaced() -> None:
    loop = SkippingLoop(CLOCK)
    server, address = listener()
    spares = SpareConnections(loop, BufferPool(), address, 8)
    spares.refill()
    run_for(loop, 2 * SECOND)
    accepted: list[socket.socket] = [server.accept()[0] for _ in range(4)]
    accepted[0].close()
    run_for(loop, 3 * SECOND)
    assert len(spares._ready) == 4 and not any(spare.stream.peer_closed() for spare in spares._ready)
    run_for(loop, 10 * MS)
    for sock in [*accepted, server]:
        sock.close()


def taken_connections(spares: SpareConnections, loop: SkippingLoop, count: int) -> list[SpareConnection]:
    """Take connections, 10 ms apart; none of their requests is answered."""
    taken = []
    for _ in range(count):
        run_for(loop, 10 * MS)
        spare = spares.take()
        assert spare is not None
        taken.append(spare)
    return taken


def is_open(spare: SpareConnection) -> bool:
    return spare.stream.sock.fileno() >= 0


def test_silent_requests_do_not_use_up_the_connections() -> None:
    # Guards against notices that wait until the first of many silent requests is given up, and against a slow platform
    # whose responses are never read, as each request is given up before its response comes.
    loop = SkippingLoop(CLOCK)
    _server, address = listener()
    spares = SpareConnections(loop, BufferPool(), address, 8)
    spares.refill()
    taken = taken_connections(spares, loop, 8)
    assert spares.take() is None
    run_for(loop, UNANSWERED_TIME)
    assert spares.take() is None  # opens new ones
    run_for(loop, 10 * MS)
    assert list(map(is_open, taken)) == [True] * 4 + [False] * 4, "the latest requests make room"
    for _ in range(20):
        assert spares.take() is not None
        run_for(loop, UNANSWERED_TIME)
    assert is_open(taken[0]), "the earliest is kept: a slow platform answers it first"


def test_a_request_is_not_given_up_before_a_slow_platform_usually_answers() -> None:
    loop = SkippingLoop(CLOCK)
    _server, address = listener()
    spares = SpareConnections(loop, BufferPool(), address, 8)
    spares.refill()
    taken = taken_connections(spares, loop, 8)
    run_for(loop, SECOND)
    assert spares.release(taken[0], is_answered=True)
    taken_connections(spares, loop, 1)
    run_for(loop, SECOND - 50 * MS)
    assert spares.take() is None and all(map(is_open, taken[1:])), "the answer took a second"
    run_for(loop, 300 * MS)
    spares.take()
    assert not is_open(taken[-1]) and not spares.release(taken[-1])
