"""A stand-in SMPP gateway: accepts submits up to a rate limit, sends receipts and injects configured faults."""

from __future__ import annotations

import random
import socket
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp import table
from kestrelspar.smpp.pdu import Command, Pdu, State, Status
from kestrelspar.smpp.table import BOUND_STATES, SessionState, Side
from kestrelspar.standins.server import accept

RECEIPT_STATES = {
    State.DELIVERED: "DELIVRD",
    State.UNDELIVERABLE: "UNDELIV",
    State.EXPIRED: "EXPIRED",
    State.REJECTED: "REJECTD",
}


@dataclass
class Behaviour:
    """Limits, delays and faults of a stand-in gateway; times in microseconds, shares from 0 to 1."""

    # Maximum accepted submits in any second, over all sessions; a further one gets ESME_RTHROTTLED. 0: no limit.
    limit: int = 0
    # Maximum submits of a session that wait for their latency to pass; a further one gets ESME_RMSGQFUL. 0: no limit.
    window: int = 0
    latency: int = 5 * MS  # delay of each response
    receipts: int = -1  # delay of a receipt after the response; -1: no receipts
    lost: float = 0.0  # share of receipts that are not sent
    undelivered: float = 0.0  # share of messages whose receipt has the state UNDELIV
    refuses: float = 0.0  # share of submits answered with ESME_RSYSERR
    silent: float = 0.0  # share of submits without a response
    cuts: float = 0.0  # share of submits on which the connection is closed


class Session:
    """State of one connection."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.state, self.in_flight, self.sequence = stream, SessionState.OPEN, 0, 0


class Gateway:
    """Serves any number of sessions.

    ``accepted``: accepted submits by text, including those that get no response. ``answers``: responses to submits, by
    status.
    """

    def __init__(
        self,
        loop: Loop,
        listener: socket.socket,
        behaviour: Behaviour,
        seed: int = 1,
        on_submit: Callable[[str, Pdu], None] = lambda outcome, pdu: None,
    ) -> None:
        """``on_submit`` is called for each submit, with the name of its status, or "silence" or "cut" for a fault."""
        self.loop, self.behaviour, self._on_submit = loop, behaviour, on_submit
        self._random = random.Random(seed)
        self._sessions: list[Session] = []
        self._accepted_at: deque[int] = deque()  # times of the submits accepted within the last second
        self._states: dict[str, State] = {}  # by message_id, for query_sm
        self.accepted: Counter[bytes] = Counter()
        self.answers: Counter[str] = Counter()
        self.first_accepted_at = self.last_accepted_at = 0  # times of the first and last accepted submit
        loop.spawn(accept, loop, listener, BufferPool(1024), self._serve)

    def _serve(self, stream: Stream) -> None:
        session, buffer = Session(stream), bytearray()
        self._sessions.append(session)
        try:
            while True:
                size = p.complete_length(buffer)
                if not size:
                    stream.fill(None)
                    buffer += stream.unread
                    stream.consume(len(stream.unread))
                    continue
                data = bytes(buffer[:size])
                del buffer[:size]
                try:
                    self._handle(session, p.decode(data))
                except p.MalformedPduError as error:
                    self._post(session, Pdu(Command.GENERIC_NACK, error.sequence, error.status))
        except (ConnectionClosedError, DeadlineExceededError, p.FramingError):
            pass
        finally:
            self._sessions.remove(session)
            stream.close()

    def _handle(self, session: Session, pdu: Pdu) -> None:
        if pdu.command & p.RESPONSE:
            return
        refusal = table.refusal(Side.CENTRE, session.state, pdu)
        if refusal is not None or pdu.command is Command.OUTBIND:
            self._post(session, refusal or Pdu(Command.GENERIC_NACK, pdu.sequence, Status.ESME_RINVCMDID))
        elif pdu.command in BOUND_STATES:
            session.state = BOUND_STATES[pdu.command]
            self._post(session, pdu.reply(system_id="stand-in"))
        elif pdu.command is Command.SUBMIT_SM or pdu.command is Command.DATA_SM:
            self.loop.spawn(self._handle_submit, session, pdu)
        elif pdu.command is Command.QUERY_SM:
            state = self._states.get(pdu.text("message_id"))
            self._post(
                session,
                pdu.reply(Status.ESME_RINVMSGID)
                if state is None
                else pdu.reply(message_id=pdu.text("message_id"), message_state=state),
            )
        elif pdu.command is Command.CANCEL_SM:
            self._post(session, pdu.reply(Status.ESME_RCANCELFAIL))
        else:
            self._post(session, pdu.reply())
            if pdu.command is Command.UNBIND:
                session.stream.close()

    def _handle_submit(self, session: Session, pdu: Pdu) -> None:
        behaviour, now = self.behaviour, self.loop.now
        while self._accepted_at and self._accepted_at[0] <= now - SECOND:
            self._accepted_at.popleft()
        # A number in [0, 1) that selects at most one fault: its range is divided into refuses, silent and cuts.
        status, draw = Status.ESME_ROK, self._random.random()
        if behaviour.limit and len(self._accepted_at) >= behaviour.limit:
            status = Status.ESME_RTHROTTLED
        elif behaviour.window and session.in_flight >= behaviour.window:
            status = Status.ESME_RMSGQFUL
        elif draw < behaviour.refuses:
            status = Status.ESME_RSYSERR
        else:
            self._accepted_at.append(now)
            self.accepted[pdu.message or pdu.tlv(p.MESSAGE_PAYLOAD) or b""] += 1
            self.first_accepted_at, self.last_accepted_at = self.first_accepted_at or now, now
        session.in_flight += 1
        self.loop.sleep(behaviour.latency)
        session.in_flight -= 1
        draw -= behaviour.refuses
        if not status and 0 <= draw < behaviour.silent:
            self._on_submit("silence", pdu)
            return
        if not status and 0 <= draw - behaviour.silent < behaviour.cuts:
            self._on_submit("cut", pdu)
            session.stream.close()
            return
        self.answers[status.name] += 1
        self._on_submit(status.name, pdu)
        message_id = f"{self.answers.total():08x}"
        self._post(session, pdu.reply(status, message_id=message_id))
        if not status and pdu.number("registered_delivery") & 3 and behaviour.receipts >= 0:
            self._states[message_id] = State.ENROUTE
            self.loop.call_at(
                self.loop.now + behaviour.receipts, lambda: self.loop.spawn(self._send_receipt, message_id, pdu)
            )

    def _send_receipt(self, message_id: str, pdu: Pdu) -> None:
        state = State.UNDELIVERABLE if self._random.random() < self.behaviour.undelivered else State.DELIVERED
        self._states[message_id] = state
        if self._random.random() < self.behaviour.lost:
            return
        receivers = [s for s in self._sessions if s.state in (SessionState.RX, SessionState.TRX)]
        if not receivers:
            self.loop.call_at(self.loop.now + SECOND, lambda: self.loop.spawn(self._send_receipt, message_id, pdu))
            return
        session = self._random.choice(receivers)
        session.sequence += 1
        text = f"id:{message_id} sub:001 dlvrd:001 submit date:0 done date:0 stat:{RECEIPT_STATES[state]} err:000 text:"
        self._post(
            session,
            Pdu(
                Command.DELIVER_SM,
                session.sequence,
                0,
                {
                    "esm_class": 4,
                    "source_addr": pdu.text("destination_addr"),
                    "destination_addr": pdu.text("source_addr"),
                },
                text.encode(),
            ),
        )

    def _post(self, session: Session, pdu: Pdu) -> None:
        try:
            session.stream.write(p.encode(pdu), self.loop.now + SECOND)
        except (ConnectionClosedError, DeadlineExceededError):
            session.stream.close()
