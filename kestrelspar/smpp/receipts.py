"""Delivery receipts: parses them, and assigns them to the messages that wait for them. No I/O.

Sources: SMPP 3.4, section 5.2.12 (esm_class), 5.3.2.35 (message_state), appendix B (the receipt's text).
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from kestrelspar.core.messages import DELIVERED, FAILED, RETURNED
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Pdu, State

MESSAGE_TYPE_MASK, DELIVERY_RECEIPT, INTERMEDIATE_NOTIFICATION = 0x3C, 0x04, 0x20  # message type in esm_class
_STATES_BY_STAT = {
    "DELIVRD": State.DELIVERED,
    "EXPIRED": State.EXPIRED,
    "DELETED": State.DELETED,
    "UNDELIV": State.UNDELIVERABLE,
    "ACCEPTD": State.ACCEPTED,
    "UNKNOWN": State.UNKNOWN,
    "REJECTD": State.REJECTED,
    "ENROUTE": State.ENROUTE,
}
_ID_PATTERN = re.compile(r"\bid:\s*([^\s]+)", re.I)
_STAT_PATTERN = re.compile(r"\bstat:\s*([A-Z]+)", re.I)

# The courier's final state for each final message_state. With REJECTED and DELETED the message certainly had no effect,
# so submitting it again is harmless. With EXPIRED and UNDELIVERABLE the gateway tried to deliver it, and the
# confirmation of the last try may have been lost on its way to the gateway.
FINAL_STATES = {
    State.DELIVERED: DELIVERED,
    State.ACCEPTED: DELIVERED,
    State.REJECTED: RETURNED,
    State.DELETED: RETURNED,
    State.EXPIRED: FAILED,
    State.UNDELIVERABLE: FAILED,
    State.UNKNOWN: FAILED,
}


@dataclass(frozen=True, slots=True)
class Receipt:
    """A receipt: the gateway's id of a message, and its message_state."""

    id: str
    state: State

    @property
    def final_state(self) -> str | None:
        """The final state of the message; None while it is scheduled or en route."""
        return FINAL_STATES.get(self.state)


def is_receipt(pdu: Pdu) -> bool:
    """Whether a deliver_sm or data_sm from a gateway is a receipt rather than a mobile-originated message."""
    return pdu.number("esm_class") & MESSAGE_TYPE_MASK in (DELIVERY_RECEIPT, INTERMEDIATE_NOTIFICATION)


def parse(pdu: Pdu) -> Receipt | None:
    """Parse a receipt; None if the id or the state is missing.

    Each of them is taken from an optional parameter if that has a value, else from the text. A state that is not
    defined counts as UNKNOWN, which is final. In an intermediate notification any state but DELIVERED and ACCEPTED
    counts as ENROUTE.
    """
    receipted_id, state_value = pdu.tlv(p.RECEIPTED_MESSAGE_ID), pdu.tlv(p.MESSAGE_STATE)
    text = (pdu.message or pdu.tlv(p.MESSAGE_PAYLOAD) or b"").decode("latin-1")
    message_id = receipted_id.split(b"\0")[0].decode("latin-1") if receipted_id else ""
    if not message_id and (match := _ID_PATTERN.search(text)):
        message_id = match[1]
    state = None
    if state_value:
        state = State(state_value[0]) if state_value[0] in State._value2member_map_ else State.UNKNOWN
    elif match := _STAT_PATTERN.search(text):
        state = _STATES_BY_STAT.get(match[1].upper(), State.UNKNOWN)
    if not message_id or state is None:
        return None
    if pdu.number("esm_class") & MESSAGE_TYPE_MASK == INTERMEDIATE_NOTIFICATION and state not in (
        State.DELIVERED,
        State.ACCEPTED,
    ):
        state = State.ENROUTE  # an intermediate notification: the gateway is still trying
    return Receipt(message_id, state)


def normalized_id(message_id: str, base: str) -> str:
    """Normalize a message_id, read as ``text`` or as a ``hex`` or ``decimal`` number, for comparison.

    Some gateways return the id in one number base in submit_sm_resp and in another one in the receipt. An id that is
    not a number of the given base is compared as text, so it may fail to match, but never matches another message. The
    prefix of the result, ``n`` or ``t``, keeps numbers and texts apart.
    """
    if base == "text":
        return "t" + message_id
    try:
        if not re.fullmatch(r"[0-9A-Fa-f]+", message_id):
            raise ValueError
        return f"n{int(message_id, 16 if base == 'hex' else 10)}"
    except ValueError:
        return "t" + message_id


class ReceiptTracker:
    """Which message waits for which receipts of which gateway."""

    def __init__(self) -> None:
        self._message_numbers: dict[tuple[str, str], int] = {}  # by gateway and normalized id
        self._awaited: dict[int, tuple[str, dict[str, str]]] = {}  # by message: gateway, and id by normalized id
        self._pending_counts: dict[str, int] = {}  # by gateway: number of waiting messages

    def expect(self, number: int, gateway: str, ids: list[str], base: str) -> None:
        """Wait for a receipt for each of these ids, as they stood in the responses; ``base``: see ``normalized_id``.

        Replaces what the message waited for before. No receipt can be assigned to an empty id, so it is left out.
        """
        self.drop(number)
        awaited = {normalized_id(message_id, base): message_id for message_id in ids if message_id}
        self._awaited[number] = gateway, awaited
        self._pending_counts[gateway] = self._pending_counts.get(gateway, 0) + 1
        for normalized in awaited:
            self._message_numbers[gateway, normalized] = number

    def message_number(self, gateway: str, message_id: str, base: str) -> int | None:
        """The number of the message that a receipt is for; None if no message waits for it."""
        return self._message_numbers.get((gateway, normalized_id(message_id, base)))

    def pending_count(self, gateway: str) -> int:
        """The number of messages that wait for receipts of a gateway."""
        return self._pending_counts.get(gateway, 0)

    def remaining_ids(self, number: int, message_id: str, base: str) -> list[str]:
        """The ids that a message, which has to be waiting, still waits for after the receipt for one of them."""
        return [
            other
            for normalized, other in self._awaited[number][1].items()
            if normalized != normalized_id(message_id, base)
        ]

    def awaits_several(self, number: int) -> bool:
        """Whether a message, which has to be waiting, waits for more than one receipt."""
        return len(self._awaited[number][1]) > 1

    def drop(self, number: int) -> None:
        """Stop waiting for the receipts of a message; does nothing if it waits for none."""
        gateway, awaited = self._awaited.pop(number, ("", {}))
        for normalized in awaited:
            if self._message_numbers.get((gateway, normalized)) == number:  # a gateway may have reused the id since
                del self._message_numbers[gateway, normalized]
        if gateway:
            self._pending_counts[gateway] -= 1
