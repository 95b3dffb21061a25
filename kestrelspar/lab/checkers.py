"""Checkers of a run on the test rig. They see only what member systems received and what clients were sent."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from kestrelspar.lab.rig import Call, Submission

SECOND = 1_000_000
# After a message's time: a final answer that arrives later than this counts as lost (standing test).
MAX_END_DELAY = SECOND // 2


def max_calls_per_second(calls: Iterable[Call], window: int = SECOND) -> int:
    """Return the most calls, including refused ones, that a member system received within any ``window``.

    The window is in microseconds. If timestamps may be late by up to some delay, pass one second less that delay: calls
    whose timestamps lie within such a window arrived within one second.
    """
    recent: deque[int] = deque()
    most = 0
    for call in sorted(calls, key=lambda c: c.at):
        recent.append(call.at)
        while recent[0] <= call.at - window:
            recent.popleft()
        most = max(most, len(recent))
    return most


def repeats(calls: Iterable[Call]) -> list[Call]:
    """Return the second and later calls of each message, by time."""
    seen: set[str] = set()
    found = []
    for call in sorted(calls, key=lambda c: c.at):
        if call.trace in seen:
            found.append(call)
        seen.add(call.trace)
    return found


def delivery_violations(sent: dict[str, Submission], calls: Iterable[Call]) -> list[str]:
    """Describe the accepted messages without an end, messages with several ends, and payments that ran more than once.

    A message is accepted if its client got status 202. One that ran may have been reported as failed or returned, if
    its answer was lost or late. So an accepted message counts as one without an end only if it neither ran nor was
    reported, and its courier's state has not been lost since. Any message counts as one with several ends only if it
    was reported with different states.
    """
    ran = Counter(call.trace for call in calls if call.accepted)
    found = []
    for trace, message in sent.items():
        ends = sorted(set(message.notices))
        if message.status == 202 and not ran[trace] and not ends and not message.state_lost:
            found.append(f"{message.message_class} {trace}: no end")
        if len(ends) > 1:
            found.append(f"{message.message_class} {trace}: {' and '.join(ends)}")
        if message.message_class == "payment" and ran[trace] > 1:
            found.append(f"{message.message_class} {trace}: ran {ran[trace]} times")
    return found


def end_delays(sent: dict[str, Submission], calls: Iterable[Call]) -> dict[str, int]:
    """Return, by accepted message, the microseconds from its time's end to its first end; negative: before.

    An end is an answered call or a notice. Messages without an end are left out: see ``delivery_violations``.
    """
    ends: dict[str, int] = {}
    for call in calls:
        if call.answered_at is not None:
            ends[call.trace] = min(call.answered_at, ends.get(call.trace, call.answered_at))
    for trace, message in sent.items():
        if message.first_notice_at is not None:
            ends[trace] = min(message.first_notice_at, ends.get(trace, message.first_notice_at))
    return {
        trace: ends[trace] - message.at - message.lifetime
        for trace, message in sent.items()
        if message.status == 202 and trace in ends
    }


def late_ends(sent: dict[str, Submission], calls: Iterable[Call], clock_error: int = 0) -> list[str]:
    """Describe the accepted messages whose first end came too late.

    ``clock_error``: microseconds by which timestamps of arrivals may be late.
    """
    return [
        f"{sent[trace].message_class} {trace}: ended {delay / SECOND:.3f} s after its time"
        for trace, delay in end_delays(sent, calls).items()
        if delay > MAX_END_DELAY + clock_error
    ]


def concurrent_calls(calls: Iterable[Call]) -> list[str]:
    """Describe the calls that arrived while an earlier call of their message was out on an open connection."""
    return [f"{call.trace}: two calls at once at {call.at}" for call in calls if call.concurrent]


def served_share(sent: dict[str, Submission], calls: Iterable[Call]) -> float:
    """Return the share of the submitted messages, accepted or not, that ran; 0 if none was submitted."""
    ran = {call.trace for call in calls if call.accepted}
    return len(ran & sent.keys()) / max(1, len(sent))
