"""Delivery attempts over SMPP: sessions to gateways, bound when first needed."""

from __future__ import annotations

from collections.abc import Callable

from kestrelspar.core.courier import NEVER_RAN, Message, NextHop, Result
from kestrelspar.core.transport_map import Leave
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, Late, Stream
from kestrelspar.runtime.loop import LATE, Loop, Parking, connect
from kestrelspar.settings.resolve import Gateway
from kestrelspar.smpp import errors, parts
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu
from kestrelspar.smpp.session import Lost, NotSent, Session
from kestrelspar.smpp.table import BINDS, Side, refusal
from snowlock import interface as api
from snowlock.interface import Outcome

HOW = {"transmitter": Command.BIND_TRANSMITTER, "receiver": Command.BIND_RECEIVER,
       "transceiver": Command.BIND_TRANSCEIVER}


class Link:
    """The one session to a gateway; those who need it while it is being bound wait for the same bind."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.session: Session | None = None
        self.binding = False
        self.waiting: list[Parking] = []
        self.reference = 0  # of the last message in parts


class Doubt:
    """Submits of one attempt whose time is over and that are still out on an open session."""

    def __init__(self, deadline: int, parts: int = 1) -> None:
        self.deadline = deadline  # of its message: after that nobody asks
        self.parts = parts
        self.out = 0
        self.over = False
        self.answer: Pdu | None = None
        self.waiting: Parking | None = None

    def settle(self, answer: Pdu | None) -> None:
        """Its answer came after all, or its session has ended."""
        self.out -= 1
        self.over = self.out <= 0
        self.answer = answer if self.parts == 1 else None  # one part's answer says nothing of the others
        if self.over and self.waiting is not None:
            self.waiting.resume()


class Gateways:
    """Makes delivery attempts to SMPP gateways."""

    def __init__(self, loop: Loop, buffers: BufferPool, settings: api.Settings,
                 gateways: tuple[Gateway, ...]) -> None:
        self.loop, self.buffers, self.settings = loop, buffers, settings
        self._links = {gateway.name.encode(): Link(gateway) for gateway in gateways}
        self._doubts: dict[int, Doubt] = {}

    def hops(self) -> list[NextHop]:
        """The gateways as entries of the transport map."""
        return [
            NextHop(api.Endpoint(name, link.gateway.dest, link.gateway.zone, link.gateway.kind),
                    link.gateway.address, self)
            for name, link in self._links.items()
        ]

    def attempt(self, message: Message, hop: NextHop, deadline: int, leave: Leave) -> Result:
        """One delivery attempt, from bind to outcome: one submit_sm, or one for each part of a long message."""
        link = self._links[hop.endpoint.id]
        gateway = link.gateway
        try:
            link.reference += 1
            requests = submits(message, gateway, link.reference)
            for request in requests:
                p.encode(request)
        except ValueError as error:
            logs.warn("smpp-unsendable", trace=message.trace, hop=gateway.name, why=str(error))
            return Result(Outcome.MOOT, note="no submit_sm can hold it")
        earlier = self._earlier(message, deadline, gateway)
        if earlier is not None:
            return earlier
        session = self._bound(link, min(deadline, self.loop.now + self.settings.connect_timeout_ns // 1000))
        if session is None:
            return Result(Outcome.CONNECT_FAILED)
        doubt = Doubt(message.deadline, len(requests))
        first = self._submit(message, gateway, session, requests[0], deadline, leave, doubt)
        if len(requests) == 1 or first.outcome is not Outcome.OK:
            return first
        results: list[Result | None] = [first, *[None] * (len(requests) - 1)]
        over = Parking(self.loop)

        def more() -> bool:
            """Asked right before each part's first byte: another one may have failed while it waited for the window."""
            failed = any(known is not None and known.outcome is not Outcome.OK for known in results)
            return not failed and leave.still()

        def part(place: int) -> None:
            try:
                results[place] = self._submit(message, gateway, session, requests[place], deadline, more, doubt)
            finally:
                if results[place] is None:
                    results[place] = Result(Outcome.ERROR, note="fault")
                if all(results):
                    over.resume()

        # The first one alone: a gateway that takes nothing is asked once, and then nothing has run.
        for place in range(1, len(requests)):
            self.loop.spawn(part, place)
        self.loop.park(over)
        return _together([result for result in results if result is not None])

    def _submit(self, message: Message, gateway: Gateway, session: Session, request: Pdu, deadline: int,
                leave: Callable[[], bool], doubt: Doubt) -> Result:
        """One submit_sm, from its place in the window to its outcome."""
        if not session.room(gateway.window, deadline):
            if session.closed or session.retired:
                return Result(Outcome.CONNECT_FAILED, note="session ended")
            return Result(Outcome.MOOT, note="window full")
        # Others of its clump may have been throttled while it waited for the bind or for the window.
        if not leave():
            session.pass_on()
            return Result(Outcome.MOOT, note="barred meanwhile")
        try:
            answer = session.ask(request, min(deadline, self.loop.now + gateway.response), doubt.settle)
        except NotSent:
            return Result(Outcome.CONNECT_FAILED, note="broke before the last byte")
        except Lost:
            return Result(Outcome.RESET)
        except Late:
            # SMPP can't call it back, and the others on the session need their answers: it ends after them.
            self._doubts = {n: d for n, d in self._doubts.items() if d.deadline > self.loop.now}
            self._doubts[message.number] = doubt
            doubt.out += 1
            session.retire()
            return Result(Outcome.TIMEOUT)
        return errors.result(answer.status, gateway.throttle_wait)

    def _earlier(self, message: Message, deadline: int, gateway: Gateway) -> Result | None:
        """What came of an earlier attempt that timed out; nothing if another may be made.

        Guards against two attempts of a message at once: while the first is out on an open session, the
        next waits. An answer that came late spares it.
        """
        doubt = self._doubts.get(message.number)
        if doubt is None:
            return None
        if not doubt.over:
            doubt.waiting = Parking(self.loop)
            if self.loop.park(doubt.waiting, deadline) is LATE:
                return Result(Outcome.MOOT, note="an earlier attempt is still out")
        del self._doubts[message.number]
        if doubt.answer is None:
            return None
        result = errors.result(doubt.answer.status, gateway.throttle_wait)
        return None if result.outcome in NEVER_RAN else result

    def _bound(self, link: Link, deadline: int) -> Session | None:
        """The bound session, or nothing when connection or bind failed."""
        session = link.session
        if session is not None and not (session.closed or session.retired or session.stream.ended()):
            return session
        if session is not None and not session.retired:
            session.close()
        link.session = None
        if link.binding:
            turn = Parking(self.loop)
            link.waiting.append(turn)
            shared = self.loop.park(turn, deadline)
            return None if shared is LATE or shared is None or shared.closed else shared
        link.binding = True
        try:
            link.session = self._bind(link.gateway, deadline)
        finally:
            link.binding = False
            waiting, link.waiting = link.waiting, []
            for turn in waiting:
                turn.resume(link.session)
        return link.session

    def _bind(self, gateway: Gateway, deadline: int) -> Session | None:
        sock = connect(self.loop, gateway.address, deadline)
        if sock is None:
            return None
        stream = Stream(self.loop, sock, self.buffers)
        session = Session(self.loop, stream, gateway.name, gateway.enquire, gateway.response)
        self.loop.spawn(session.run, lambda pdu: self._handle(session, pdu))
        bind = Pdu(HOW[gateway.bind], fields={
            "system_id": gateway.system_id, "password": gateway.password, "interface_version": 0x34,
        })
        try:
            answer = session.ask(bind, deadline)
        except (NotSent, Lost, Late):
            session.close()
            return None
        if answer.status:
            logs.warn("smpp-bind-refused", peer=gateway.name, status=f"{answer.status:#x}")
            session.close()
            return None
        session.state = BINDS[bind.command]
        return session

    @staticmethod
    def _handle(session: Session, pdu: Pdu) -> None:
        """What a gateway asks of us: its messages are answered, but nobody here is waiting for them."""
        refused = refusal(Side.ESME, session.state, pdu)
        if refused is not None:
            session.post(refused)
            return
        logs.event("smpp-not-passed-on", peer=session.name, command=pdu.command.name.lower(),
                   source_addr=pdu.text("source_addr"))
        if pdu.command in (Command.DELIVER_SM, Command.DATA_SM):  # an alert has no response
            session.post(pdu.reply())

    def close_idle(self, hop: NextHop) -> None:
        """End the gateway's session if nothing is out on it."""
        link = self._links[hop.endpoint.id]
        if link.session is not None and not link.session.outstanding:
            self.loop.spawn(link.session.unbind)
            link.session = None

    def leave(self) -> None:
        """Unbind where nothing is out. What is out may yet be answered, and otherwise is the journal's."""
        for link in self._links.values():
            if link.session is not None and not link.session.outstanding:
                self.loop.spawn(link.session.unbind)


def _together(results: list[Result]) -> Result:
    """The outcome of an attempt in parts: delivered when all are. Once one has run, the whole may have."""
    bad = [result for result in results if result.outcome is not Outcome.OK]
    if not bad:
        return results[0]
    wait = max(result.told_wait for result in bad)
    note = f"{len(results) - len(bad)} of {len(results)} parts were taken, then {bad[0].outcome.name.lower()}"
    return Result(Outcome.TIMEOUT if bad[0].outcome is Outcome.TIMEOUT else Outcome.ERROR, wait, note=note)


def submits(message: Message, gateway: Gateway, reference: int) -> list[Pdu]:
    """The submit_sm for a message, whichever front it came by; TLVs are carried as they came.

    Several where it is longer than one short message and the gateway is told to get parts; ``reference`` is theirs.
    """
    told = message.extra.get("smpp", {})
    fields = {name: told[name] for name in p.SM_FIELDS if name in told}
    fields.setdefault("source_addr", gateway.source_addr)
    fields.setdefault("destination_addr", gateway.destination_addr)
    fields.update(registered_delivery=0, schedule_delivery_time="", validity_period="")
    tlvs = [(int(tag), bytes.fromhex(value)) for tag, value in message.extra.get("tlvs", [])]
    body = message.body
    if gateway.coding == "text" and not told:
        from kestrelspar.smpp import text  # only where it is wanted

        fields["data_coding"], body = text.coded(body)
    header = int(fields.get("esm_class", 0)) & parts.UDHI  # its own header: it can't have a second one
    if gateway.split != "payload" and not header:
        cut = parts.split(body, int(fields.get("data_coding", 0)), gateway.split)
        if len(cut) > 1:
            found = []
            for place, piece in enumerate(cut, 1):
                text_, more = parts.marked(piece, gateway.split, reference, len(cut), place)
                marks = {"esm_class": int(fields.get("esm_class", 0)) | (parts.UDHI if gateway.split == "udh" else 0)}
                found.append(Pdu(Command.SUBMIT_SM, fields=fields | marks, message=text_, tlvs=[*tlvs, *more]))
            return found
        if len(body) <= 254:
            return [Pdu(Command.SUBMIT_SM, fields=fields, message=body, tlvs=tlvs)]
    if len(body) > 254 or message.extra.get("payload"):
        return [Pdu(Command.SUBMIT_SM, fields=fields, tlvs=[*tlvs, (p.MESSAGE_PAYLOAD, body)])]
    return [Pdu(Command.SUBMIT_SM, fields=fields, message=body, tlvs=tlvs)]
