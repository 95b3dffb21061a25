"""One SMPP session: requests that were never written, writers that give up, and responses that belong to no request."""

from __future__ import annotations

import socket

from kestrelspar.runtime.buffers import BufferPool, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Suspension
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu
from kestrelspar.smpp.session import NotSentError, Session, SessionLostError
from tests.bench import CLOCK, SkippingLoop

SEND_BUFFER_BYTES = 4_096
LARGE = Pdu(Command.SUBMIT_SM, tlvs=[(p.MESSAGE_PAYLOAD, b"x" * 60_000)])


class SessionPair:
    """A session on one end of a connection with small buffers; the test reads and writes the other end."""

    def __init__(self) -> None:
        self.loop = SkippingLoop(CLOCK)
        ours, self.peer = socket.socketpair()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        for sock in (ours, self.peer):
            sock.setblocking(False)
        self.session = Session(self.loop, Stream(self.loop, ours, BufferPool(8)), "peer", 30 * SECOND, SECOND)
        self.outcomes: list[str] = []
        self.loop.spawn(self.session.run, lambda pdu: None)

    def request(self, pdu: Pdu, timeout: int, then: Suspension | None = None) -> None:
        """Send a request, record its outcome, and then wait for something else, as a delivery attempt does."""

        def run() -> None:
            try:
                response = self.session.request(pdu, self.loop.now + timeout)
            except (NotSentError, SessionLostError, DeadlineExceededError) as error:
                self.outcomes.append(type(error).__name__)
            else:
                self.outcomes.append(response.command.name)
            self.outcomes.append(f"resumed with {self.loop.park(Suspension(self.loop))}")

        self.loop.spawn(run)

    def run_for(self, duration: int) -> None:
        deadline = self.loop.now + duration
        self.loop.call_at(deadline, lambda: None)
        while self.loop.now < deadline:
            self.loop.turn()

    def read(self) -> bytes:
        data = b""
        while True:
            try:
                data += self.peer.recv(1 << 20)
            except BlockingIOError:
                return data


def test_requests_that_were_never_written_resume_their_tasks_once() -> None:
    # Guards against a slot that is taken for good: the surplus resume ended a message that waited for its next action.
    pair = SessionPair()
    for timeout in (300 * MS, 2 * SECOND, 2 * SECOND):
        pair.request(LARGE, timeout)
    pair.run_for(SECOND)
    assert pair.outcomes == ["NotSentError"] * 3 and pair.session.closed and not pair.session.in_flight
