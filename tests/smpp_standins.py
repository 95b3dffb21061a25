"""Stand-in gateway and contractor on loopback, as the peers of the SMPP front end."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Callable

from kestrelspar.runtime.buffers import ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from kestrelspar.settings.resolve import Account, Gateway, Smpp
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu, Status
from tests.bench import PAYMENT, READING, WORK_ORDER, CourierTestbed, listener

# Steps at which the stand-in gateway can close the connection.
CLOSE_STEPS = ("accept", "bind", "bound", "partial submit", "submit", "partial response", "response")


def read_pdu(stream: Stream) -> Pdu:
    while not (size := p.complete_length(stream.unread)):
        stream.fill(None)
    data = bytes(stream.unread[:size])
    stream.consume(size)
    return p.decode(data)


class StandInGateway:
    """Counts by text the submits that take effect, and responds to each submit with a scripted status.

    It closes ``closes`` connections at the step ``close_at``, one of ``CLOSE_STEPS``, or none if that is empty.
    ``script`` returns the status of a submit_sm_resp, or None for no response; ``pause`` returns the delay of the
    response in microseconds.
    """

    def __init__(
        self,
        testbed: CourierTestbed,
        close_at: str = "",
        closes: int = 1,
        script: Callable[[Pdu], int | None] = lambda _: 0,
        pause: Callable[[Pdu], int] = lambda _: 5 * MS,
    ) -> None:
        self.pause = pause
        self.testbed, self.loop, self.close_at, self.closes, self.script = (
            testbed,
            testbed.loop,
            close_at,
            closes,
            script,
        )
        self.listener, self.address = listener()
        # Submits that took effect, by text: those with status 0 or without a response.
        self.effects: Counter[bytes] = Counter()
        self.first_effect_at: dict[bytes, int] = {}
        self.last_effect_at: dict[bytes, int] = {}
        self.submits: list[Pdu] = []
        self.responses: list[Pdu] = []  # responses to the requests of this gateway
        self.queries: list[Pdu] = []  # query_sm and cancel_sm requests
        self.answer_query: Callable[[Pdu], Pdu] = lambda pdu: pdu.reply(Status.ESME_RINVMSGID)
        self.streams: dict[Command, Stream] = {}  # by command: the stream of its last request
        self.message_id_for: Callable[[Pdu], str] = lambda pdu: "g1"  # of the response to a submit_sm
        # Called right before a submit_sm is answered.
        self.before_response: Callable[[Pdu, Stream], None] = lambda pdu, stream: None
        self.submitted_at: list[int] = []  # times of submits
        # Submits in progress, their maximum, and submits that came while another one with the same text had no response
        # on a session that was still open.
        self.in_flight = self.max_in_flight = self.concurrent_copies = 0
        self.pending: dict[bytes, Stream] = {}  # streams of submits without a response, by text
        self.loop.spawn(self.accept)

    def accept(self) -> None:
        while True:
            self.loop.readable(self.listener, None)
            sock, _ = self.listener.accept()
            sock.setblocking(False)
            self.loop.spawn(self.serve, Stream(self.loop, sock, self.testbed.buffers))

    def closes_at(self, step: str) -> bool:
        """Whether to close a connection at this step; if so, one close fewer is left."""
        closing = step == self.close_at and self.closes > 0
        self.closes -= closing
        return closing

    def serve(self, stream: Stream) -> None:
        with contextlib.suppress(ConnectionClosedError, DeadlineExceededError):
            self.serve_requests(stream)
        stream.close()

    def serve_requests(self, stream: Stream) -> None:
        if self.closes_at("accept"):
            return
        while True:
            if self.close_at == "partial submit" and self.next_is_submit(stream) and self.closes_at("partial submit"):
                return  # a part of a submit_sm has arrived
            pdu = read_pdu(stream)
            if pdu.command & p.RESPONSE:
                self.responses.append(pdu)
                continue
            if pdu.command in (Command.QUERY_SM, Command.CANCEL_SM):
                self.queries.append(pdu)
                self.write(stream, self.answer_query(pdu))
                continue
            if pdu.command is not Command.SUBMIT_SM:
                self.streams[pdu.command] = stream
                if pdu.command is Command.BIND_TRANSCEIVER and self.closes_at("bind"):
                    return
                self.write(stream, pdu.reply(system_id="stand-in"))
                if pdu.command is Command.BIND_TRANSCEIVER and self.closes_at("bound"):
                    return
                continue
            self.loop.spawn(self.handle_submit, stream, pdu)

    def next_is_submit(self, stream: Stream) -> bool:
        while len(stream.unread) < 8:
            stream.fill(None)
        return int.from_bytes(stream.unread[4:8], "big") == Command.SUBMIT_SM

    def handle_submit(self, stream: Stream, pdu: Pdu) -> None:
        text = pdu.message or pdu.tlv(p.MESSAGE_PAYLOAD) or b""
        status = self.script(pdu)
        self.submitted_at.append(self.loop.now)
        self.submits.append(pdu)
        earlier = self.pending.get(text)
        self.concurrent_copies += earlier is not None and earlier.sock.fileno() >= 0 and not earlier.peer_closed()
        self.pending[text] = stream
        if not status:
            self.effects[text] += 1
            self.first_effect_at.setdefault(text, self.loop.now)
            self.last_effect_at[text] = self.loop.now
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.loop.sleep(self.pause(pdu))
        self.in_flight -= 1
        if self.closes_at("submit"):
            stream.close()
        elif status is not None:
            self.pending.pop(text, None)  # two destinations may get the same text
            self.before_response(pdu, stream)
            response = p.encode(pdu.reply(status, message_id=self.message_id_for(pdu)))
            partial = self.closes_at("partial response")
            self.write_bytes(stream, response[:9] if partial else response)
            if partial or self.closes_at("response"):
                stream.close()

    def receiving_stream(self) -> Stream:
        """The stream of the last session bound as receiver, else of the last one bound as transceiver."""
        return next(
            self.streams[command]
            for command in (Command.BIND_RECEIVER, Command.BIND_TRANSCEIVER)
            if command in self.streams
        )

    def receipt(self, message_id: str, stat: str, stream: Stream | None = None, **fields: object) -> None:
        """Send a delivery receipt on ``stream``; if that is None, on ``receiving_stream``."""
        text = (
            f"id:{message_id} sub:001 dlvrd:001 submit date:2612010900 done date:2612010900 stat:{stat} err:000 text:"
        )
        pdu = Pdu(
            Command.DELIVER_SM, 900 + len(self.responses), fields={"esm_class": 4, **fields}, message=text.encode()
        )
        self.write(stream or self.receiving_stream(), pdu)

    def write(self, stream: Stream, pdu: Pdu) -> None:
        self.write_bytes(stream, p.encode(pdu))

    def write_bytes(self, stream: Stream, data: bytes) -> None:
        try:
            stream.write(data, None)
        except ConnectionClosedError:
            stream.close()


class StandInContractor:
    """Binds, submits messages, and acknowledges and collects receipts; with ``stream``, on a connection that exists."""

    def __init__(
        self,
        loop: Loop,
        testbed: CourierTestbed,
        address: tuple[str, int],
        bind: Command,
        password: str = "secret",
        stream: Stream | None = None,
    ) -> None:
        self.loop, self.sequence = loop, 0
        self.response_status: Status | None = Status.ESME_ROK  # status of a deliver_sm_resp; None: no response
        self.answers: list[Pdu] = []  # all PDUs but deliver_sm: first the response to the bind, and also requests
        self.receipts: list[Pdu] = []  # all deliver_sm, also those with a message
        self.drop_receipts = 0  # number of receipts to leave unanswered; each closes the connection
        if stream is None:
            sock = connect(loop, address, loop.now + SECOND)
            assert sock is not None
            stream = Stream(loop, sock, testbed.buffers)
        self.stream = stream
        self.send_request(bind, system_id="acme", password=password)
        loop.spawn(self.run)

    def send_request(
        self, command: Command, message: bytes = b"", tlvs: list[tuple[int, bytes]] | None = None, **fields: object
    ) -> None:
        self.sequence += 1
        self.stream.write(p.encode(Pdu(command, self.sequence, 0, fields, message, tlvs or [])), None)

    def submit(self, text: bytes, service: str, **fields: object) -> None:
        self.send_request(
            Command.SUBMIT_SM,
            text,
            [(0x0204, b"\0\x07")],
            service_type=service,
            destination_addr="3725550",
            source_addr="100",
            registered_delivery=1,
            **fields,
        )

    def run(self) -> None:
        try:
            while True:
                pdu = read_pdu(self.stream)
                if pdu.command is Command.DELIVER_SM:
                    self.receipts.append(pdu)
                    if self.drop_receipts:
                        self.drop_receipts -= 1
                        self.stream.close()
                        return
                    if self.response_status is not None:
                        self.stream.write(p.encode(pdu.reply(self.response_status)), None)
                else:
                    self.answers.append(pdu)
        except (ConnectionClosedError, DeadlineExceededError):
            self.stream.close()

    def final_states(self) -> dict[str, set[int]]:
        """The message_state values in the receipts, by message id."""
        states: dict[str, set[int]] = {}
        for receipt in self.receipts:
            message_id = (receipt.tlv(p.RECEIPTED_MESSAGE_ID) or b"").rstrip(b"\0").decode()
            states.setdefault(message_id, set()).add((receipt.tlv(p.MESSAGE_STATE) or b"\0")[0])
        return states

    def accepted(self) -> list[str]:
        """The message ids of the submits with a positive response."""
        return [
            answer.text("message_id")
            for answer in self.answers
            if answer.command is Command.SUBMIT_SM_RESP and answer.status == Status.ESME_ROK
        ]


def gateway(address: tuple[str, int], name: str = "gate", **more: object) -> Gateway:
    values: dict[str, object] = {
        "name": name,
        "address": address,
        "dest": 900,
        "zone": 0,
        "kind": 1,
        "system_id": "us",
        "password": "pw",
        "bind": "transceiver",
        "window": 4,
        "response_timeout": 400 * MS,
        "enquire_link_interval": 30 * SECOND,
        "throttle_wait": 300 * MS,
        "source_addr": "1",
        "destination_addr": "2",
    }
    return Gateway(**(values | more))  # type: ignore[arg-type]


def smpp_config(gateways: tuple[Gateway, ...]) -> Smpp:
    """The configuration with a bind timeout of 5 s, a response timeout of 400 ms, and the account of the contractor."""
    return Smpp(
        ("127.0.0.1", 1),
        "kestrelspar",
        5 * SECOND,
        30 * SECOND,
        400 * MS,
        60 * SECOND,
        8,
        (Account("acme", "secret", 0, WORK_ORDER, 50),),
        {"RD": READING, "WO": WORK_ORDER, "PAY": PAYMENT},
        {"372": 900, "37299": 901},
        gateways,
    )
