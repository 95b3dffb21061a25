"""Translates between SMPP status codes and the outcomes, refusals and final states of the core."""

from __future__ import annotations

import hmac

from kestrelspar.core.messages import DELIVERED, RETURNED, WITHDRAWN, Answer, End, RefusalReason, Result
from kestrelspar.smpp.pdu import Status
from snowlock.interface import Outcome

# Outcomes by the command_status of a response. Any status that is neither here nor in REJECTED is an error, after which
# the message may have run.
OUTCOMES = {
    Status.ESME_ROK: Outcome.OK,
    Status.ESME_RTHROTTLED: Outcome.FULL,
    Status.ESME_RMSGQFUL: Outcome.FULL,
    Status.ESME_RINVBNDSTS: Outcome.CONNECT_FAILED,  # not bound in the view of the gateway, which processed nothing
    Status.ESME_RX_T_APPN: Outcome.FULL,  # temporary error of the application that receives the message
}

# The message itself is invalid: it did not run, and would be rejected again.
REJECTED = frozenset(
    {
        # Length, command, priority, registered delivery.
        0x01,
        0x03,
        0x06,
        0x07,
        # Addresses, service type, esm_class, type of number and numbering plan.
        0x0A,
        0x0B,
        0x15,
        0x43,
        0x48,
        0x49,
        0x50,
        0x51,
        # Permanent error of the receiving application, or rejection by it.
        0x65,
        0x66,
        # Times and optional parameters.
        0x61,
        0x62,
        0xC0,
        0xC1,
        0xC2,
        0xC3,
        0xC4,
    }
)

# The status for a client whose message was deferred, by reason.
DEFERRALS = {
    RefusalReason.CLOSING: Status.ESME_RTHROTTLED,
    RefusalReason.FULL: Status.ESME_RMSGQFUL,
    RefusalReason.DISK: Status.ESME_RMSGQFUL,
    RefusalReason.MEMORY: Status.ESME_RMSGQFUL,
    RefusalReason.GREEDY: Status.ESME_RTHROTTLED,
    RefusalReason.PLUGIN: Status.ESME_RTHROTTLED,
    RefusalReason.UNKNOWN_DEST: Status.ESME_RTHROTTLED,
    RefusalReason.STALE: Status.ESME_RTHROTTLED,
    RefusalReason.INTERNAL: Status.ESME_RSYSERR,
}
REJECTIONS = {RefusalReason.UNKNOWN_DEST: Status.ESME_RINVDSTADR}

# The message_state of a receipt, and the ``stat`` in its text.
DELIVRD, EXPIRED, UNDELIV, REJECTD = (2, "DELIVRD"), (3, "EXPIRED"), (5, "UNDELIV"), (8, "REJECTD")
DELETED = (4, "DELETED")


def same_secret(secret: str, other: str) -> bool:
    """Whether two secrets are equal, compared in constant time."""
    return hmac.compare_digest(secret.encode(), other.encode())


def result_of(status: int, throttle_wait: int) -> Result:
    """The outcome for a command_status.

    After ``Outcome.FULL`` the retry-after delay is ``throttle_wait``, as SMPP carries none; after others there is none.
    """
    default = Outcome.REJECTED if status in REJECTED else Outcome.ERROR
    outcome = OUTCOMES.get(status, default)  # type: ignore[call-overload]
    wait = throttle_wait if outcome is Outcome.FULL else 0
    return Result(outcome, wait, note=f"status {status:#x}" if status else "")


def status_of(answer: Answer) -> Status:
    """The command_status for a client whose message was deferred or rejected."""
    if answer.defer:
        return DEFERRALS[answer.why]
    return REJECTIONS.get(answer.why, Status.ESME_RSUBMITFAIL)


def receipt_state(end: End, expired: bool) -> tuple[int, str]:
    """The message_state and ``stat`` of a receipt; after REJECTD it is safe to submit the message again.

    ``expired`` tells EXPIRED from UNDELIV for a failed message, and has no effect on other final states.
    """
    if end.state == DELIVERED:
        return DELIVRD
    if end.state == RETURNED:
        return REJECTD
    if end.state == WITHDRAWN:
        return DELETED
    return EXPIRED if expired else UNDELIV
