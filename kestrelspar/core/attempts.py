"""How far a delivery has come, what one attempt may send, and the result of an attempt that an exception has ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from kestrelspar.core.messages import OutstandingCall, Result
from snowlock.interface import Outcome, Send


@dataclass(slots=True)
class DeliveryProgress:
    """How far the delivery of a message has come; kept when an exception interrupts it."""

    attempts: int  # made so far
    maybe_since_ns: int | None  # when the first of them that may have run was sent; None: none can have run
    outstanding: OutstandingCall | None = None  # the last one, if its call is still out
    last_send: Send | None = None  # the controller's action for the last one


class AttemptGuard:
    """The ``transport_map.SendGuard`` of one delivery attempt."""

    __slots__ = ("_may_send", "_record_attempt", "has_passed")

    def __init__(self, may_send: Callable[[], bool], record_attempt: Callable[[], bool]) -> None:
        self._may_send, self._record_attempt = may_send, record_attempt
        self.has_passed = False  # whether the carrier was allowed to send the first byte

    def __call__(self) -> bool:
        """See ``SendGuard``."""
        self.has_passed = self._may_send() and self._record_attempt()
        return self.has_passed

    def may_continue(self) -> bool:
        """Whether the rest of the attempt may still be sent."""
        return self._may_send()


def result_after_fault(guard: AttemptGuard) -> Result:
    """The result of an attempt that ended by an exception.

    Nothing is sent before the guard has passed. After that the message may have run, and may still be running.
    """
    if guard.has_passed:
        return Result(Outcome.RESET, note="internal error", internal_error=True)
    return Result(Outcome.MOOT, note="internal error before the first byte", internal_error=True)
