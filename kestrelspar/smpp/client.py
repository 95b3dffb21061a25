"""Delivery attempts to SMPP gateways, outcomes by response or by receipt, and requests that gateways send."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from kestrelspar.core.courier import Courier
from kestrelspar.core.messages import DELIVERED, FAILED, NEVER_RAN, RETURNED, Message, Result
from kestrelspar.core.transport_map import NextHop, SendGuard
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, TIMED_OUT, Loop, Suspension
from kestrelspar.settings.resolve import Gateway
from kestrelspar.smpp import parts, receipts, status_codes
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.link import BIND_COMMANDS, BoundSession, Link
from kestrelspar.smpp.pdu import Command, Pdu, State, Status
from kestrelspar.smpp.session import NotSentError, SessionLostError
from kestrelspar.smpp.table import BOUND_STATES, Side, refusal
from snowlock import interface as api
from snowlock.interface import Outcome

if TYPE_CHECKING:
    from kestrelspar.keys import TlsStore  # imports ssl, so only for type checks

# An attempt waits for a session until its deadline, or for this time if that is longer and still leaves the attempt its
# time-out before the message's deadline. It then returns to the decision module, as it occupies a slot.
MAX_QUEUE_TIME = 2 * SECOND
# Receipts of one gateway that wait for their submit_sm_resp. Further ones get a temporary error, so that the gateway
# sends them again.
MAX_EARLY_RECEIPTS = 1_000
QUERY_TIMEOUT = 400 * MS  # for each query_sm or cancel_sm about a message whose receipt is missing


class TimedOutSubmits:
    """The submits of one delivery attempt that timed out: in flight until a late response or the end of the session.

    A ``courier.OutstandingCall``.
    """

    def __init__(self, loop: Loop, gateway: Gateway, part_count: int = 1) -> None:
        self._loop = loop
        self.gateway = gateway  # that the submits were sent to; its settings tell what a response means
        self.part_count = part_count  # submits of the attempt: one for each part of the message
        self.in_flight = 0
        self.has_timed_out = False  # for at least one submit
        self.late_response: Pdu | None = None
        self._waiting: Suspension | None = None  # the next attempt of the message, which waits until all have ended

    @property
    def all_ended(self) -> bool:
        """Whether none is in flight any more."""
        return self.in_flight <= 0

    def record_timeout(self) -> None:
        """Record a submit that timed out and that may still be answered."""
        self.in_flight += 1
        self.has_timed_out = True

    def record_late_response(self, response: Pdu | None) -> None:
        """Record the late response to one of the submits, or None if its session has ended without one."""
        self.in_flight -= 1
        # The response to one part of several says nothing about the other parts.
        self.late_response = response if self.part_count == 1 else None
        if self.all_ended and self._waiting is not None:
            self._waiting.resume()

    def wait(self, deadline: int) -> Result | None:
        """Wait until no submit is in flight: see ``courier.OutstandingCall``.

        A late response is read by the settings of the gateway that sent it.
        """
        while not self.all_ended:
            self._waiting = Suspension(self._loop)
            if self._loop.park(self._waiting, deadline) is TIMED_OUT:
                return Result(Outcome.MOOT, note="an earlier attempt is still in flight")
        if self.late_response is None:
            return None
        result = SmppCarrier._result(self.gateway, self.late_response)
        return None if result.outcome in NEVER_RAN else result


class InboundHandler(Protocol):
    """Receiver of the messages and alerts that gateways send."""

    def submit(self, gateway: Gateway, pdu: Pdu, answer: Callable[[Status], bool]) -> None:
        """Handle a message, in its own task; ``answer`` sends the response and returns whether it was written."""

    def forward_alert(self, gateway: Gateway, pdu: Pdu) -> None:
        """Handle an alert_notification, which has no response."""


class SmppCarrier:
    """Makes delivery attempts to SMPP gateways, and handles what the gateways send."""

    name = "smpp"

    def __init__(
        self,
        loop: Loop,
        buffers: BufferPool,
        settings: api.Settings,
        gateways: tuple[Gateway, ...],
        courier: Courier | None = None,
        inbound: InboundHandler | None = None,
        seed: int = 0,
        keys: TlsStore | None = None,
    ) -> None:
        """``courier`` gets the outcomes reported by receipts; ``inbound`` gets the messages that gateways send.

        ``seed`` is for the jitter of bind delays. Without ``courier`` receipts are acknowledged and dropped, without
        ``inbound`` messages and alerts. Without ``keys`` connections are made without TLS.
        """
        self.loop, self.buffers, self.settings = loop, buffers, settings
        self._courier, self._inbound = courier, inbound
        self._links: dict[bytes, Link] = {}
        for gateway in gateways:
            link = Link(
                loop,
                buffers,
                gateway,
                settings.connect_timeout_ns // 1000,
                seed ^ zlib.crc32(gateway.name.encode()),
                self._handle,
                keys,
            )
            link.needs_receiving = self._receiving_predicate(gateway)
            self._links[gateway.name.encode()] = link
        self._tracker = receipts.ReceiptTracker()

    def _receiving_predicate(self, gateway: Gateway) -> Callable[[], bool]:
        return lambda: gateway.stay_bound or self._tracker.pending_count(gateway.name) > 0

    def hops(self) -> list[NextHop]:
        """The gateways as entries of the transport map."""
        return [
            NextHop(
                api.Endpoint(name, link.gateway.dest, link.gateway.zone, link.gateway.kind, rank=link.gateway.rank),
                link.gateway.address,
                self,
            )
            for name, link in self._links.items()
        ]

    def start(self) -> None:
        """Bind to the gateways that need a permanent session."""
        for link in self._links.values():
            link.ensure_receiving()

    def attempt(self, message: Message, hop: NextHop, deadline: int, guard: SendGuard) -> Result:
        """Make one delivery attempt: bind if needed, and send one submit_sm, or one for each part of a long message."""
        link = self._links[hop.endpoint.id]
        link.attempts_in_progress += 1
        try:
            return self._attempt(message, link, deadline, guard)
        finally:
            link.attempts_in_progress -= 1

    def _attempt(self, message: Message, link: Link, deadline: int, guard: SendGuard) -> Result:
        gateway = link.gateway
        try:
            link.last_reference += 1
            requests = build_submits(message, gateway, link.last_reference)
            for request in requests:
                p.encode(request)
        except ValueError as error:
            logs.warn("smpp-unsendable", trace=message.trace, hop=gateway.name, why=str(error))
            return Result(Outcome.MOOT, note="message does not fit into a submit_sm")
        timed_out = TimedOutSubmits(self.loop, gateway, len(requests))
        result = self._submit_all(message, link, requests, deadline, guard, timed_out)
        return dataclasses.replace(result, outstanding=timed_out) if timed_out.has_timed_out else result

    def _submit_all(
        self,
        message: Message,
        link: Link,
        requests: list[Pdu],
        deadline: int,
        guard: SendGuard,
        timed_out: TimedOutSubmits,
    ) -> Result:
        """Send the parts of a message, and return the outcome of all."""
        # The first part is sent alone, so that nothing has run if the gateway refuses it.
        first = self._submit(message, link, requests[0], deadline, guard, timed_out)
        if len(requests) == 1 or first.outcome is not Outcome.OK:
            return first
        results: list[Result | None] = [first, *[None] * (len(requests) - 1)]
        all_ended = Suspension(self.loop)

        def may_continue() -> bool:
            """Whether a part may be sent; called right before its first byte, as another part may have failed."""
            failed = any(ended is not None and ended.outcome is not Outcome.OK for ended in results)
            return not failed and guard.may_continue()

        def send_part(index: int) -> None:
            try:
                results[index] = self._submit(message, link, requests[index], deadline, may_continue, timed_out)
            finally:
                if results[index] is None:
                    results[index] = Result(Outcome.ERROR, note="internal error")
                if all(results):
                    all_ended.resume()

        for index in range(1, len(requests)):
            self.loop.spawn(send_part, index)
        self.loop.park(all_ended)
        return _combined_result([result for result in results if result is not None])

    def _submit(
        self,
        message: Message,
        link: Link,
        request: Pdu,
        deadline: int,
        guard: Callable[[], bool],
        timed_out: TimedOutSubmits,
    ) -> Result:
        """Wait for a session with room, send one submit_sm, and return its outcome."""
        started_at, timeout = self.loop.now, max(0, deadline - self.loop.now)
        # The time-out starts when the submit is sent, so that time spent waiting for a session does not count.
        bound = link.acquire(max(deadline, min(started_at + MAX_QUEUE_TIME, message.decide_by - timeout)))
        waited, deadline = self.loop.now - started_at, min(message.decide_by, self.loop.now + timeout)
        if bound is None:
            wait = max(0, link.backoff.retry_at - self.loop.now)
            return Result(Outcome.CONNECT_FAILED, wait, note="no session")
        if not isinstance(bound, BoundSession):
            return Result(Outcome.MOOT, note="window full", queued=waited)
        try:
            # Other messages may have been throttled while this one waited for a bind or for a session with room.
            if not guard():
                return Result(Outcome.MOOT, note="barred meanwhile", queued=waited)
            return dataclasses.replace(self._send(message, link, bound, request, deadline, timed_out), queued=waited)
        finally:
            link.release(bound)

    def _send(
        self,
        message: Message,
        link: Link,
        bound: BoundSession,
        request: Pdu,
        deadline: int,
        timed_out: TimedOutSubmits,
    ) -> Result:
        """Send one submit_sm on a session, and return its outcome."""
        gateway, sent = link.gateway, self.loop.now
        try:
            response = bound.session.request(
                request, min(deadline, sent + gateway.response_timeout), timed_out.record_late_response
            )
        except NotSentError:
            return Result(Outcome.CONNECT_FAILED, note="broke before the last byte")
        except SessionLostError:
            return Result(Outcome.RESET)
        except DeadlineExceededError:
            # SMPP cannot withdraw a submit in flight. The session is drained rather than closed, as other requests on
            # it still need their responses.
            timed_out.record_timeout()
            bound.window.record_loss(self.loop.now)
            bound.session.drain()
            return Result(Outcome.TIMEOUT)
        except Exception:
            bound.session.close()  # the submit must not stay out where nobody waits for its response
            raise
        result, must_report = self._result(gateway, response), True
        with logs.contained("flow control", trace=message.trace, hop=gateway.name):
            must_report = link.record_response(bound, sent, response)
        if result.outcome is Outcome.FULL and not must_report:
            # After ESME_RTHROTTLED and ESME_RMSGQFUL rate control already delays all submits to this gateway. The
            # refusal is not reported, as the decision module would count each refusal of one burst. ESME_RX_T_APPN is
            # not reported either, although no rate control applies to it.
            return Result(Outcome.MOOT, result.retry_after, note="throttled")
        return result

    @staticmethod
    def _result(gateway: Gateway, response: Pdu) -> Result:
        """The outcome of a response; if outcomes come by receipt, success only means that the message was accepted."""
        if response.command is not Command.SUBMIT_SM_RESP:  # a generic_nack, or a response of another type
            status = response.status or Status.ESME_RSYSERR
            return status_codes.result_of(status, gateway.throttle_wait)
        result = status_codes.result_of(response.status, gateway.throttle_wait)
        if result.outcome is Outcome.OK and gateway.outcome == "receipt":
            awaits = {"gate": gateway.name, "ids": [response.text("message_id")]}
            return dataclasses.replace(result, outcome_source=(SmppCarrier.name, awaits))
        return result

    # Outcomes by receipt

    def expect(self, message: Message, awaits: dict[str, Any]) -> None:
        """See ``core.courier.OutcomeSource``."""
        link = self._links.get(str(awaits["gate"]).encode())
        base = "text" if link is None else link.gateway.response_id
        self._tracker.expect(message.number, awaits["gate"], awaits["ids"], base)
        if link is not None:
            waiting, link.early_receipts = link.early_receipts, []
            for suspension in waiting:
                suspension.resume()
            link.ensure_receiving()

    def stop_waiting(self, message: Message) -> None:
        """See ``core.courier.OutcomeSource``."""
        self._tracker.drop(message.number)

    def query_outcome(self, message: Message, awaits: dict[str, Any]) -> str:
        """Query the gateway for the final state of a message without a receipt; cancel what it has not delivered.

        Returns the final state. The message is not sent again, whatever its class, as the gateway may still be
        processing it.
        """
        link = self._links.get(str(awaits["gate"]).encode())
        if link is None:
            return FAILED
        ends = [self._query_or_cancel(link, message, message_id) for message_id in awaits["ids"]]
        if len(set(ends)) == 1 and (ends[0] == DELIVERED or not awaits.get("some")):
            return ends[0]
        return FAILED  # some parts were or may have been delivered

    def _query_deadline(self, message: Message) -> int:
        return min(self.loop.now + QUERY_TIMEOUT, message.decide_by)

    def _query_or_cancel(self, link: Link, message: Message, message_id: str) -> str:
        """Query the final state of one part by query_sm; if that yields none, cancel the part by cancel_sm.

        Returns FAILED if the part is not cancelled either, if a response is missing, without a session or an id, or if
        the time is up.
        """
        submitted = message.extra.get("smpp", {})
        source = {
            key: submitted.get(key, "" if key == "source_addr" else 0)
            for key in ("source_addr_ton", "source_addr_npi", "source_addr")
        }
        source["source_addr"] = source["source_addr"] or link.gateway.source_addr
        dest = {
            key: submitted.get(key, "" if key == "destination_addr" else 0)
            for key in ("dest_addr_ton", "dest_addr_npi", "destination_addr")
        }
        dest["destination_addr"] = dest["destination_addr"] or link.gateway.destination_addr
        bound = next(
            (bound for bound in link.sessions if bound.open and bound.session.state in BOUND_STATES.values()), None
        )
        if bound is None or not message_id or self.loop.now >= message.decide_by:
            return FAILED
        try:
            response = bound.session.request(
                Pdu(Command.QUERY_SM, fields={"message_id": message_id, **source}), self._query_deadline(message)
            )
            state = response.number("message_state")
            if response.command is Command.QUERY_SM_RESP and not response.status and state in receipts.FINAL_STATES:
                return receipts.FINAL_STATES[State(state)]
            response = bound.session.request(
                Pdu(Command.CANCEL_SM, fields={"message_id": message_id, **source, **dest}),
                self._query_deadline(message),
            )
        except (NotSentError, SessionLostError, DeadlineExceededError, ValueError):
            return FAILED
        # Cancelled before delivery: it certainly took no effect and may be submitted again.
        return RETURNED if response.command is Command.CANCEL_SM_RESP and not response.status else FAILED

    def _handle_receipt(self, link: Link, bound: BoundSession, pdu: Pdu) -> None:
        """Handle a receipt in its own task; after an exception the gateway is to send it again."""
        try:
            self._process_receipt(link, bound, pdu)
        except Exception:
            logs.fault("receipt", peer=bound.session.name, sequence=pdu.sequence)
            bound.session.send(pdu.reply(Status.ESME_RX_T_APPN))

    def _process_receipt(self, link: Link, bound: BoundSession, pdu: Pdu) -> None:
        """Acknowledge a receipt after its outcome has been journalled.

        A receipt that cannot be read, or that no message waits for, is logged and acknowledged without effect.
        """
        gateway, receipt = link.gateway, receipts.parse(pdu)
        if receipt is None or self._courier is None or gateway.outcome != "receipt":
            logs.event("smpp-receipt-unread", peer=bound.session.name)
            bound.session.send(pdu.reply())
            return
        wait_until = self.loop.now + gateway.response_timeout
        while (number := self._tracker.message_number(gateway.name, receipt.id, gateway.receipt_id)) is None:
            # The receipt may arrive before the submit_sm_resp that it belongs to, or on another session. It is looked
            # up again every 50 ms, as an attempt may end without a call of ``expect``.
            if not link.attempts_in_progress or self.loop.now >= wait_until:
                logs.event(
                    "smpp-receipt-unknown", peer=bound.session.name, id=receipt.id, state=receipt.state.name.lower()
                )
                bound.session.send(pdu.reply())
                return
            if len(link.early_receipts) >= MAX_EARLY_RECEIPTS:
                bound.session.send(pdu.reply(Status.ESME_RX_T_APPN))
                return
            suspension = Suspension(self.loop)
            link.early_receipts.append(suspension)
            if (
                self.loop.park(suspension, min(wait_until, self.loop.now + 50 * MS)) is TIMED_OUT
                and suspension in link.early_receipts
            ):
                link.early_receipts.remove(suspension)
        bound.session.send(
            pdu.reply(Status.ESME_ROK if self._apply_receipt(gateway, number, receipt) else Status.ESME_RX_T_APPN)
        )

    def _apply_receipt(self, gateway: Gateway, number: int, receipt: receipts.Receipt) -> bool:
        """Apply a receipt to its message; false if the outcome could not be journalled.

        A long message is delivered when all of its parts are; any other final state of one part ends it at once.
        """
        assert self._courier is not None
        if receipt.final_state is None:
            return True
        if receipt.final_state == DELIVERED:
            remaining = self._tracker.remaining_ids(number, receipt.id, gateway.receipt_id)
            if remaining:  # the other parts of a long message have no receipt yet
                if not self._courier.update_awaited_outcome(
                    number, {"gate": gateway.name, "ids": remaining, "some": True}
                ):
                    return False
                self._tracker.expect(number, gateway.name, remaining, gateway.response_id)
                return True
        end = receipt.final_state
        if end == RETURNED and self._courier.awaited_outcome(number).get("some", self._tracker.awaits_several(number)):
            end = FAILED  # another part was or may have been delivered, so the message may have taken effect
        return self._courier.outcome_received(number, end)

    # Requests from gateways

    def _handle(self, link: Link, bound: BoundSession, pdu: Pdu) -> None:
        """Handle a request from a gateway; must not block."""
        session = bound.session
        refused = refusal(Side.ESME, session.state, pdu)
        if refused is not None:
            session.send(refused)
        elif pdu.command is Command.OUTBIND:
            # This side is binding already.
            session.send(Pdu(Command.GENERIC_NACK, pdu.sequence, Status.ESME_RINVBNDSTS))
        elif pdu.command is Command.ALERT_NOTIFICATION:
            if self._inbound is not None:
                self._inbound.forward_alert(link.gateway, pdu)
        elif pdu.command not in (Command.DELIVER_SM, Command.DATA_SM):
            return  # unbind and enquire_link do not get here: the session answers them
        elif receipts.is_receipt(pdu):
            self.loop.spawn(self._handle_receipt, link, bound, pdu)
        elif self._inbound is not None and link.gateway.inbound:
            self.loop.spawn(self._inbound.submit, link.gateway, pdu, lambda status: session.send(pdu.reply(status)))
        else:  # acknowledged all the same, so that the gateway does not send it again
            logs.event(
                "smpp-not-passed-on",
                peer=session.name,
                command=pdu.command.name.lower(),
                source_addr=pdu.text("source_addr"),
            )
            session.send(pdu.reply())

    def outbind_handler(self, system_id: str, password: str) -> Callable[[Stream], None] | None:
        """The function that takes over the connection of an outbind; None if no gateway has these credentials."""
        for link in self._links.values():
            gateway = link.gateway
            if (
                gateway.outbind_system_id
                and gateway.outbind_system_id == system_id
                and status_codes.same_secret(gateway.outbind_password, password)
            ):
                command = Command.BIND_RECEIVER if gateway.bind == "pair" else BIND_COMMANDS[gateway.bind]
                logs.event("smpp-outbind", peer=gateway.name)
                return partial(self.loop.spawn, link.accept_outbind, command)
        return None

    def close_idle(self, hop: NextHop) -> None:
        """Unbind the gateway's sessions that have no submits in flight and are not needed to receive."""
        self._links[hop.endpoint.id].close_idle()

    def shut_down(self) -> None:
        """Unbind the sessions without submits in flight, and bind no more.

        The other sessions may still get responses. Messages without one are recovered from the journal.
        """
        for link in self._links.values():
            link.shut_down()


def _combined_result(results: list[Result]) -> Result:
    """The outcome of an attempt in parts.

    It succeeded if all parts did. If only some did, the message may have run: the outcome is TIMEOUT if the first part
    that failed timed out, else ERROR. The first of ``results`` has to be a success.
    """
    failed = [result for result in results if result.outcome is not Outcome.OK]
    if not failed:
        sources = [result.outcome_source for result in results if result.outcome_source is not None]
        if not sources:
            return results[0]
        ids = [message_id for _, awaits in sources for message_id in awaits["ids"]]
        return dataclasses.replace(results[0], outcome_source=(sources[0][0], sources[0][1] | {"ids": ids}))
    wait = max(result.retry_after for result in failed)
    note = f"{len(results) - len(failed)} of {len(results)} parts were accepted, then {failed[0].outcome.name.lower()}"
    return Result(Outcome.TIMEOUT if failed[0].outcome is Outcome.TIMEOUT else Outcome.ERROR, wait, note=note)


def build_submits(message: Message, gateway: Gateway, reference: int) -> list[Pdu]:
    """The submit_sm requests for a message from any front end; TLVs are passed unchanged.

    There are several if the gateway is configured for parts and the text does not fit into one PDU; ``reference`` is
    their concatenation reference number. Raises ``ValueError`` if the message would need too many parts.
    """
    submitted = message.extra.get("smpp", {})
    fields = {name: submitted[name] for name in p.SM_FIELDS if name in submitted}
    fields.setdefault("source_addr", gateway.source_addr)
    fields.setdefault("destination_addr", gateway.destination_addr)
    fields.update(registered_delivery=int(gateway.outcome == "receipt"), schedule_delivery_time="", validity_period="")
    tlvs = [(int(tag), bytes.fromhex(value)) for tag, value in message.extra.get("tlvs", [])]
    body = message.body
    if gateway.coding == "text" and not submitted:
        from kestrelspar.smpp import alphabets  # imports the GSM codec, so only if needed

        fields["data_coding"], body = alphabets.encode_text(body)
    # A message with its own user data header cannot have a second one.
    has_header = int(fields.get("esm_class", 0)) & parts.UDHI
    if gateway.split != "payload" and not has_header:
        pieces = parts.split(body, int(fields.get("data_coding", 0)), gateway.split)
        if len(pieces) > 1:
            requests = []
            for sequence, piece in enumerate(pieces, 1):
                short_message, part_tlvs = parts.mark_part(piece, gateway.split, reference, len(pieces), sequence)
                part_fields = {
                    "esm_class": int(fields.get("esm_class", 0)) | (parts.UDHI if gateway.split == "udh" else 0)
                }
                requests.append(
                    Pdu(Command.SUBMIT_SM, fields=fields | part_fields, message=short_message, tlvs=[*tlvs, *part_tlvs])
                )
            return requests
        if len(body) <= 254:
            return [Pdu(Command.SUBMIT_SM, fields=fields, message=body, tlvs=tlvs)]
    if len(body) > 254 or message.extra.get("payload"):
        return [Pdu(Command.SUBMIT_SM, fields=fields, tlvs=[*tlvs, (p.MESSAGE_PAYLOAD, body)])]
    return [Pdu(Command.SUBMIT_SM, fields=fields, message=body, tlvs=tlvs)]
