"""Mobile-originated messages from gateways: accepted like any other message, and routed by destination address."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from kestrelspar.core.courier import Courier
from kestrelspar.core.messages import DELIVERED, Answer, End, Message, RefusalReason
from kestrelspar.runtime import logs
from kestrelspar.settings.resolve import Gateway
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Pdu, Status

# Responses to a gateway for messages that are not accepted: a temporary error (the gateway may send the message again)
# and a permanent one.
DEFERRED_STATUS, REJECTED_STATUS = Status.ESME_RX_T_APPN, Status.ESME_RX_R_APPN


class InboundMessages:
    """The sender side of messages from gateways. Their final states go only to the log."""

    name = "smpp-inbound"

    def __init__(self, courier: Courier, forward_alert: Callable[[str, Pdu], None] = lambda gateway, pdu: None) -> None:
        """``forward_alert`` forwards an alert_notification of the named gateway to bound clients; default: to none."""
        self._courier, self._forward_alert = courier, forward_alert

    def submit(self, gateway: Gateway, pdu: Pdu, answer: Callable[[Status], bool]) -> None:
        """Process a deliver_sm or data_sm in the task of its message.

        The response is sent as soon as the message is journalled or refused; the message is accepted only if ``answer``
        returns that the response was written. After an exception the gateway is told to send the message again.
        """
        try:
            message = self._build_message(gateway, pdu, answer)
        except Exception:
            logs.fault("submission", peer=gateway.name, sequence=pdu.sequence)
            answer(DEFERRED_STATUS)
            return
        if message is not None:
            self._submit(gateway, message, answer)

    def _build_message(self, gateway: Gateway, pdu: Pdu, answer: Callable[[Status], bool]) -> Message | None:
        """Build the message of a deliver_sm or data_sm; None if it is refused, which is answered here."""
        payload = pdu.tlv(p.MESSAGE_PAYLOAD)
        body = pdu.message if payload is None else payload
        tlvs = [(tag, value.hex()) for tag, value in pdu.tlvs if tag != p.MESSAGE_PAYLOAD]
        address = pdu.text("destination_addr")
        prefix = max((known for known in gateway.inbound if address.startswith(known)), key=len, default=None)
        if prefix is None:
            self._refuse(gateway, pdu, answer, Status.ESME_RINVDSTADR)
            return None
        if len(body) > p.MAX_BODY_BYTES or payload is not None and pdu.message:
            self._refuse(gateway, pdu, answer, Status.ESME_RINVMSGLEN)
            return None
        if sum(len(value) for _, value in tlvs) > 2 * p.MAX_TLV_BYTES:  # the values are hexadecimal here
            self._refuse(gateway, pdu, answer, Status.ESME_ROPTPARNOTALLWD)
            return None
        trace = os.urandom(8).hex()
        settings = self._courier.settings
        deadline = self._courier.loop.now + settings.classes[gateway.inbound_class].deadline_ns // 1000
        extra = {
            "smpp": p.stored_fields(pdu),
            "tlvs": tlvs,
            "gate": gateway.name,
            "payload": payload is not None,
            "submitted": int(time.time()),
        }
        return Message(
            trace,
            gateway.inbound_class,
            gateway.inbound_tenant,
            gateway.inbound[prefix],
            deadline,
            body,
            self,
            trace,
            extra,
        )

    def _submit(self, gateway: Gateway, message: Message, answer: Callable[[Status], bool]) -> None:
        """Submit a message, and answer its gateway."""
        trace = message.trace
        has_answer = False

        def respond(result: Answer) -> bool:
            nonlocal has_answer
            has_answer = True
            if result.accepted:
                return answer(Status.ESME_ROK)
            logs.event("deferred" if result.defer else "rejected", trace=trace, why=result.reason, front=self.name)
            status = Status.ESME_RINVDSTADR if result.why is RefusalReason.UNKNOWN_DEST else REJECTED_STATUS
            answer(DEFERRED_STATUS if result.defer else status)
            return False

        try:
            self._courier.submit(message, respond)
        except Exception:
            logs.fault("submission", trace=trace, peer=gateway.name)
            if not has_answer:  # the message is not accepted; the gateway may send it again
                answer(DEFERRED_STATUS)

    @staticmethod
    def _refuse(gateway: Gateway, pdu: Pdu, answer: Callable[[Status], bool], status: Status) -> None:
        logs.event(
            "smpp-inbound-refused",
            peer=gateway.name,
            source_addr=pdu.text("source_addr"),
            destination_addr=pdu.text("destination_addr"),
            status=status.name,
        )
        answer(status)

    def forward_alert(self, gateway: Gateway, pdu: Pdu) -> None:
        """Forward an alert_notification to the clients bound now, as it says that a handset can be reached now."""
        self._forward_alert(gateway.name, pdu)

    def recover(self, message: Message) -> bool:
        """See ``core.courier``; always false, as messages from gateways are never held back."""
        return False

    def report_time(self, time_left: int) -> int:
        """Always 0: nobody waits for a report."""
        return 0

    def report_end(self, message: Message, end: End) -> None:
        """Log a message that was not delivered; the gateway got its response when the message was accepted."""
        if end.state != DELIVERED:
            logs.warn(
                "smpp-inbound-lost",
                trace=message.trace,
                peer=message.extra["gate"],
                state=end.state,
                source_addr=message.extra["smpp"]["source_addr"],
            )
