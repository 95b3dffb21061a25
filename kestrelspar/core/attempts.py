"""What one delivery attempt may send, and the result of an attempt that an exception has ended."""

from __future__ import annotations

from collections.abc import Callable

from kestrelspar.core.messages import Result
from snowlock.interface import Outcome


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
