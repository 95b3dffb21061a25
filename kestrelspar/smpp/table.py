"""Which requests are served in which session state, for both sides, and the responses to the others. No I/O.

Follows SMPP 3.4, table 2-1 and section 5.1.2. A request that is not served gets its own response type with an error
status, or a generic_nack if it has no response or is meant for the other side.
"""

from __future__ import annotations

from enum import Enum

from kestrelspar.smpp.pdu import RESPONSE, Command, Pdu, Status


class SessionState(Enum):
    """The state of a session: open, or bound in one of three ways."""

    OPEN = "open"
    TX = "transmitter"
    RX = "receiver"
    TRX = "transceiver"


class Side(Enum):
    """The side that receives a PDU: the message centre (the SMPP server) or the ESME (the client of a gateway)."""

    CENTRE = "message centre"
    ESME = "ESME"


BOUND_STATES = {
    Command.BIND_TRANSMITTER: SessionState.TX,
    Command.BIND_RECEIVER: SessionState.RX,
    Command.BIND_TRANSCEIVER: SessionState.TRX,
}
_ALL_STATES = frozenset(SessionState)
_NO_STATE: frozenset[SessionState] = frozenset()
_TRANSMITTING, _RECEIVING = (
    frozenset({SessionState.TX, SessionState.TRX}),
    frozenset({SessionState.RX, SessionState.TRX}),
)

# By receiving side and request: the states in which it is served, and the status of its response in other states. None
# stands for a generic_nack with ESME_RINVCMDID, as the request is meant for the other side or has no response; with
# ``_ALL_STATES`` it is never used.
_ROWS: dict[Side, dict[Command, tuple[frozenset[SessionState], Status | None]]] = {
    Side.CENTRE: {
        Command.BIND_TRANSMITTER: (frozenset({SessionState.OPEN}), Status.ESME_RALYBND),
        Command.BIND_RECEIVER: (frozenset({SessionState.OPEN}), Status.ESME_RALYBND),
        Command.BIND_TRANSCEIVER: (frozenset({SessionState.OPEN}), Status.ESME_RALYBND),
        Command.UNBIND: (_ALL_STATES, None),
        Command.ENQUIRE_LINK: (_ALL_STATES, None),
        Command.SUBMIT_SM: (_TRANSMITTING, Status.ESME_RINVBNDSTS),
        Command.SUBMIT_MULTI: (_TRANSMITTING, Status.ESME_RINVBNDSTS),
        Command.DATA_SM: (_TRANSMITTING, Status.ESME_RINVBNDSTS),
        Command.QUERY_SM: (_TRANSMITTING, Status.ESME_RINVBNDSTS),
        Command.CANCEL_SM: (_TRANSMITTING, Status.ESME_RINVBNDSTS),
        Command.REPLACE_SM: (_TRANSMITTING, Status.ESME_RINVBNDSTS),
        Command.DELIVER_SM: (_NO_STATE, None),
        Command.OUTBIND: (frozenset({SessionState.OPEN}), None),  # a gateway has connected, and requests a bind
        Command.ALERT_NOTIFICATION: (_NO_STATE, None),
    },
    Side.ESME: {
        Command.OUTBIND: (frozenset({SessionState.OPEN}), None),
        Command.UNBIND: (_ALL_STATES, None),
        Command.ENQUIRE_LINK: (_ALL_STATES, None),
        Command.DELIVER_SM: (_RECEIVING, Status.ESME_RINVBNDSTS),
        Command.DATA_SM: (_RECEIVING, Status.ESME_RINVBNDSTS),
        Command.ALERT_NOTIFICATION: (_RECEIVING, None),
        Command.BIND_TRANSMITTER: (_NO_STATE, None),
        Command.BIND_RECEIVER: (_NO_STATE, None),
        Command.BIND_TRANSCEIVER: (_NO_STATE, None),
        Command.SUBMIT_SM: (_NO_STATE, None),
        Command.SUBMIT_MULTI: (_NO_STATE, None),
        Command.QUERY_SM: (_NO_STATE, None),
        Command.CANCEL_SM: (_NO_STATE, None),
        Command.REPLACE_SM: (_NO_STATE, None),
    },
}


def refusal(side: Side, state: SessionState, pdu: Pdu) -> Pdu | None:
    """The response by which ``side`` refuses a request that is not served in this state; None if it is served."""
    served, status = _ROWS[side][pdu.command]
    if state in served:
        return None
    if status is None:
        return Pdu(Command.GENERIC_NACK, pdu.sequence, Status.ESME_RINVCMDID)
    return pdu.reply(status)


def requests() -> list[Command]:
    """All commands that are requests."""
    return [command for command in Command if not command & RESPONSE]
