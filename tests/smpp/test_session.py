"""One SMPP session: requests that were never written, writers that give up, and responses that belong to no request."""

from __future__ import annotations

import socket

from kestrelspar.runtime.buffers import BufferPool, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Suspension
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu
from kestrelspar.smpp.session import NotSentError, Session, SessionLostError
from kestrelspar.smpp.table import SessionState
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


def test_a_writer_that_times_out_leaves_its_turn_to_the_next_one() -> None:
    pair = SessionPair()
    pair.request(LARGE, SECOND)  # writes, and waits for the peer to read
    pair.request(Pdu(Command.ENQUIRE_LINK), 50 * MS)
    pair.request(Pdu(Command.UNBIND), 800 * MS)
    pair.run_for(100 * MS)
    assert pair.outcomes[0] == "NotSentError"
    data = b""
    for _ in range(40):  # within 200 ms
        data += pair.read()
        pair.run_for(5 * MS)
    written = [p.HEADER.unpack_from(data, at)[1] for at in pdu_offsets(data)]
    assert written == [Command.SUBMIT_SM, Command.UNBIND]


def pdu_offsets(data: bytes) -> list[int]:
    offsets, at = [], 0
    while at + p.HEADER.size <= len(data):
        offsets.append(at)
        at += p.HEADER.unpack_from(data, at)[0]
    return offsets


def test_a_bind_response_to_another_request_binds_nobody() -> None:
    # Guards against a client that gets the rights of an account by answering an enquire_link.
    pair = SessionPair()
    pair.request(Pdu(Command.ENQUIRE_LINK), SECOND)
    pair.run_for(5 * MS)
    pair.peer.send(p.encode(Pdu(Command.BIND_TRANSCEIVER_RESP, 1, 0, {"system_id": "x"})))
    pair.run_for(5 * MS)
    assert pair.outcomes[0] == "BIND_TRANSCEIVER_RESP" and pair.session.state is SessionState.OPEN


def test_a_malformed_alert_notification_gets_a_generic_nack_and_the_session_stays_open() -> None:
    pair = SessionPair()
    pair.run_for(5 * MS)
    pair.peer.send(p.HEADER.pack(18, Command.ALERT_NOTIFICATION, 0, 7) + b"xx")
    pair.run_for(5 * MS)
    size, command, status, sequence = p.HEADER.unpack_from(pair.read())
    assert (command, sequence) == (Command.GENERIC_NACK, 7) and status and not pair.session.closed
