"""Judges of a play on the rig, apart from the couriers: fed by what member systems received and clients were told."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from kestrelspar.lab.rig import Call, Submission

SECOND = 1_000_000


def most_in_a_second(calls: Iterable[Call], span: int = SECOND) -> int:
    """The most calls that a member system received in any second, refused ones too.

    Where stamps may be late, a second less by how much: what is stamped within that arrived within a second.
    """
    window: deque[int] = deque()
    most = 0
    for call in sorted(calls, key=lambda c: c.at):
        window.append(call.at)
        while window[0] <= call.at - span:
            window.popleft()
        most = max(most, len(window))
    return most


def repeats(calls: Iterable[Call]) -> list[Call]:
    """The second and later calls of each message."""
    seen: set[str] = set()
    found = []
    for call in sorted(calls, key=lambda c: c.at):
        if call.trace in seen:
            found.append(call)
        seen.add(call.trace)
    return found


def wrong_ends(sent: dict[str, Submission], calls: Iterable[Call]) -> list[str]:
    """Messages that were taken on and did not end just once, and payments that ran twice.

    One that ran may have been told as failed or returned: its answer was lost, or came late. So only what was neither
    delivered nor told, and what was told in two ways, is wrong.
    """
    ran = Counter(call.trace for call in calls if call.accepted)
    found = []
    for trace, message in sent.items():
        ends = sorted(set(message.notices))
        if message.status == 202 and not ran[trace] and not ends and not message.state_lost:
            found.append(f"{message.cls} {trace}: no end")
        if len(ends) > 1:
            found.append(f"{message.cls} {trace}: {' and '.join(ends)}")
        if message.cls == "payment" and ran[trace] > 1:
            found.append(f"{message.cls} {trace}: ran {ran[trace]} times")
    return found


def served(sent: dict[str, Submission], calls: Iterable[Call]) -> float:
    """The share of the messages handed in that ran."""
    ran = {call.trace for call in calls if call.accepted}
    return len(ran & sent.keys()) / max(1, len(sent))
