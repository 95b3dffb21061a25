"""What the core calls on: sender sides, sources of later outcomes, peers and hooks."""

from __future__ import annotations

from typing import Any, Protocol

from kestrelspar.core.messages import Answer, End, Message, Result
from kestrelspar.runtime.loop import MS
from snowlock import interface as api

# Time for the report of an end, taken from the end of a message's time; at most that share of the time left.
REPORT_TIME, MAX_REPORT_TIME_SHARE = 300 * MS, 0.05


def default_report_time(time_left: int) -> int:
    """``SenderSide.report_time`` for reports that normally arrive within milliseconds."""
    return min(REPORT_TIME, int(MAX_REPORT_TIME_SHARE * time_left))


class SenderSide(Protocol):
    """The front end that a message was submitted through."""

    name: str

    def report_time(self, time_left: int) -> int:
        """How long before its deadline the end of a message is decided, so that its report arrives in time.

        ``time_left`` until that deadline is in microseconds, as is the result, which is smaller.
        """

    def report_end(self, message: Message, end: End) -> None:
        """Report the final state if this sender side needs a report; returns when no further report is needed."""

    def recover(self, message: Message) -> bool:
        """Called after a restart for each recovered message; true if the sender side delays its delivery.

        The result has no effect on a message whose final state was journalled before the restart.
        """


class OutcomeSource(Protocol):
    """A source of outcomes that arrive after a next hop has accepted a message, such as SMPP receipts.

    ``awaits``: the data by which the source recognizes the outcome of a message.
    """

    def expect(self, message: Message, awaits: dict[str, Any]) -> None:
        """Wait for the message's outcome, also after a restart; report it by ``Courier.outcome_received``."""

    def query_outcome(self, message: Message, awaits: dict[str, Any]) -> str:
        """Query the outcome until ``message.decide_by``, which is near; returns the final state."""

    def stop_waiting(self, message: Message) -> None:
        """Called when the message no longer waits for an outcome."""


class Peers(Protocol):
    """Shares budgets with other couriers, and is notified of accepted and ended messages; optional.

    ``is_retry``: true unless the call is the first attempt of its message.
    """

    def spend_budget(self, endpoint: api.EndpointId, is_retry: bool) -> bool:
        """Take one call from this courier's share of the budget of the endpoint; false if none is left now."""

    def wait_for_budget(self, endpoint: api.EndpointId, is_retry: bool, deadline: int) -> None:
        """Wait until the budget has room for a call, at most until the given time."""

    def attempt_ended(self, endpoint: api.EndpointId, result: Result, sent: int) -> None:
        """Called when a call has ended; ``sent``: the time at which its wait for the budget ended."""

    def message_accepted(self, message: Message) -> None:
        """Called when ``Courier.accept`` has accepted a message; not for a joined or a recovered message."""

    def message_ended(self, message: Message, end: End) -> None:
        """Called right before a final state is reported to the sender side.

        Not called if nothing is reported, nor for a final state that was journalled before a restart.
        """


class Hook(Protocol):
    """A plug-in called when a message arrives and when it ends."""

    def arrival(self, message: Message) -> Answer | None:
        """Return an answer that defers or rejects the message, or None; may change the message.

        After None, the next hook is called, and then the courier's other checks. Not called for duplicates.
        """

    def end(self, message: Message, end: End) -> None:
        """Called with the final state of the message, in the same cases as ``Peers.message_ended``."""
