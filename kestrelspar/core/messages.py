"""Messages, answers to their submission, results of delivery attempts, and final states. No protocol, no I/O."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol

from kestrelspar.runtime.loop import MS
from snowlock.interface import Outcome

if TYPE_CHECKING:
    from kestrelspar.core.front_ends import SenderSide

DEFAULT_RETRY_AFTER = 1_000 * MS  # default retry-after delay of a deferred submission
# Outcomes that prove that the attempt did not run.
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.REJECTED)

# Bytes of memory: what an open message takes beside its body, how many copies of the body there are at most (the
# message's, and one in the request of an attempt), and what the id of an ended one takes.
MESSAGE_SIZE, BODY_COPIES, ENDED_MESSAGE_SIZE = 10_000, 2.25, 600

# Final states. A returned message may be submitted again under its id; a failed one may not.
DELIVERED, FAILED, RETURNED = "delivered", "failed", "returned"
WITHDRAWN = "withdrawn"  # cancelled by the sender side before it was ever sent


@dataclass(slots=True)
class Message:
    """One message, independent of the protocol that it arrived by.

    ``deadline`` and ``start`` are microseconds of the event loop's clock.
    """

    trace: str  # message id given by the sender side
    cls: int  # index of its class in the settings
    tenant: int  # index of its tenant in the settings
    dest: int  # number of its destination
    deadline: int
    body: bytes
    sender: SenderSide
    key: str = ""  # idempotency key
    extra: dict[str, Any] = field(default_factory=dict)  # data of the front end, JSON-serializable
    number: int = 0  # number in the journal
    # Earliest time of the first attempt; 0: at once. The delivery timeout counts from it, or from a later acceptance.
    start: int = 0
    report_time: int = 0  # microseconds at the end of its time that are kept for the report of its end
    client: str = ""  # who submitted it, as far as the front end can tell; empty: unknown
    memory: int = 0  # bytes that are taken from the account for it

    @property
    def decide_by(self) -> int:
        """Latest time at which its end should be decided, so that the report of that arrives in time."""
        return self.deadline - self.report_time


@dataclass(frozen=True, slots=True)
class EndedMessage:
    """An ended message, remembered for a while to recognize duplicate submissions."""

    until: int  # time at which it is forgotten, in microseconds of the event loop's clock
    state: str  # final state; empty for a part that was replaced by a joined message
    fingerprint: tuple[int, int, int]


class RefusalReason(Enum):
    """Why a submission is refused. The values appear in logs and in answers to clients."""

    CLOSING = "shutting down"
    FULL = "holds as many messages as it may"
    DISK = "journal full"
    MEMORY = "no memory for it now"
    GREEDY = "this client holds more than its share of the messages"
    UNKNOWN_DEST = "unknown destination"
    DUPLICATE = "this id was handed in before"
    PLUGIN = "plug-in"
    INTERNAL = "internal error"
    STALE = "the list of endpoints is too old:"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a submission: accepted, deferred (retry later), or rejected (do not retry)."""

    accepted: bool
    defer: bool = False
    why: RefusalReason = RefusalReason.CLOSING  # without meaning in ``ACCEPTED``
    text: str = ""
    retry_after: int = DEFAULT_RETRY_AFTER  # of a deferred submission, in microseconds

    @property
    def reason(self) -> str:
        """The reason as text, for logs and for clients."""
        return f"{self.why.value} {self.text}".strip()


ACCEPTED = Answer(True)


class OutstandingCall(Protocol):
    """A call that timed out and can't be withdrawn: it may still run, and be answered on its open connection."""

    def wait(self, deadline: int) -> Result | None:
        """Wait until the call is no longer out, at most until ``deadline``, in microseconds of the loop's clock.

        Returns the call's result if a late response shows that it ran or may have run, MOOT at the deadline, and
        None if the message may be sent again.
        """


@dataclass(frozen=True, slots=True)
class Result:
    """How a delivery attempt ended."""

    outcome: Outcome
    retry_after: int = 0  # retry-after delay in microseconds; 0: none
    no_slot: bool = False  # with MOOT: the call was not forwarded, as no slot was free
    already_answered: bool = False  # the message has its final answer: no further attempt, and no report of its end
    report: tuple[float, ...] = ()  # load report of the endpoint, in the order of ``Settings.columns``; empty: none
    note: str = ""
    internal_error: bool = False  # this courier's own fault: the outcome says nothing about the next hop
    queued: int = 0  # microseconds in a queue before the first byte, excluded from the latency of the call
    outstanding: OutstandingCall | None = None  # the call, if it is still out after its time-out
    # Microseconds for which the connection had rested since its last call; None: this was its first call.
    rested: int | None = None
    # With OK, if the next hop has only accepted the message and its outcome follows: the name of the outcome source in
    # ``Courier.outcome_sources``, and the data by which that source recognizes the outcome.
    outcome_source: tuple[str, dict[str, Any]] | None = None


@dataclass(frozen=True, slots=True)
class End:
    """The final state of a message, as reported to its sender side."""

    state: str
    after_ms: int = 0  # retry-after delay of a returned message, in milliseconds


def memory_size(body_bytes: int) -> int:
    """Bytes that an open message with a body of this size takes."""
    return MESSAGE_SIZE + int(BODY_COPIES * body_bytes)


def fingerprint(message: Message) -> tuple[int, int, int]:
    """The values that are equal in two submissions under one id if they are the same message."""
    return message.cls, message.dest, zlib.crc32(message.body, zlib.crc32(message.key.encode()))
