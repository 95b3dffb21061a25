"""Judges a soak run by what clients, member systems and the platform saw. No I/O.

Each rule has the bound and the excuses of the protocol page and of the standing test, and is no stricter. Times are
microseconds of the rig's loop.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from kestrelspar.lab import checkers
from kestrelspar.lab.rig import Call, Submission
from kestrelspar.runtime.loop import MS, SECOND

TIME_LIMIT_GRACE = 50 * MS  # each time limit grows by it on sockets
AFTER_READY_GRACE = 1_500 * MS  # no report is overdue before, after a restart
TOLD_AFTER = 6 * SECOND  # a change of the list counts as told by then
DRAIN_GRACE = 500 * MS
WAIT_GRACE = 100 * MS  # calls that a told wait lets through
READY_TIME, READY_SHARE = 10 * SECOND, 0.9
MIN_UNTRIED = 5  # messages; with fewer, the share that was given up says nothing


class Rule(Enum):
    """The rules; the values are their names in reports."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    CONCURRENT = "two at once"
    DRAIN = "drain"
    SLOW_START = "slow start"
    WAIT = "wait"
    READY = "ready after a restart"
    GIVEN_UP = "given up untried after a restart"
    UNANSWERED = "read and closed without an answer"
    MEMORY = "over the memory limit"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule, and the message that it concerns, if any."""

    rule: Rule
    text: str
    trace: str = ""


@dataclass(slots=True)
class Restart:
    """One restart of a courier."""

    courier: str
    ended_at: int  # SIGTERM, or SIGKILL if there was none
    killed_at: int
    started_at: int = 0
    ready_at: int | None = None  # None: not before the end of the run


@dataclass(frozen=True, slots=True)
class Leaving:
    """A time in which the list says that a member system leaves."""

    member: str
    since: int
    until: int


@dataclass(frozen=True, slots=True)
class ToldWait:
    """A Retry-After that a courier was sent: when, and until when it has to wait."""

    member: str
    courier: str
    sent_at: int
    until: int


@dataclass(frozen=True, slots=True)
class Recovery:
    """A cold return of a member system after an outage, with its limit in calls a second."""

    member: str
    failed_at: int
    at: int
    limit: float


@dataclass(frozen=True, slots=True)
class SlowStartRules:
    """The settings' figures for a cold return."""

    cold_from: float
    ramp: int
    window: int
    multiple: float


@dataclass
class Record:
    """What was observed in a run."""

    submissions: dict[str, Submission]
    calls: dict[str, list[Call]]  # by member system
    repeat_window: int  # of work-orders
    slow_start: SlowStartRules
    ended_at: int = 0  # end of the run
    clock_error: int = 0  # arrivals may be recorded so much too late
    restarts: list[Restart] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    waits: list[ToldWait] = field(default_factory=list)
    recoveries: list[Recovery] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)  # messages whose new connection was closed after the last byte
    crashes: list[str] = field(default_factory=list)  # descriptions
    memory_limit: int = 0  # bytes, of each courier; 0: none
    peak_memory: dict[str, int] = field(default_factory=dict)  # by courier, in bytes, files included

    def all_calls(self) -> list[Call]:
        """All calls, by time."""
        return sorted((call for calls in self.calls.values() for call in calls), key=lambda call: call.at)


def judge(record: Record) -> list[Violation]:
    """All violations of a run."""
    checks = (
        _lost,
        _duplicates,
        _concurrent,
        _drains,
        _slow_start,
        _waits,
        _ready,
        _given_up,
        _unanswered,
        _memory,
        _crashes,
    )
    return [violation for check in checks for violation in check(record)]


def _excused_until(record: Record, courier: str, due: int) -> int:
    """Until when a report that is due at ``due`` is excused by restarts of its courier."""
    until = due
    for restart in sorted(record.restarts, key=lambda restart: restart.ended_at):
        ready_at = record.ended_at if restart.ready_at is None else restart.ready_at
        if restart.courier == courier and restart.ended_at <= until:
            until = max(until, ready_at + AFTER_READY_GRACE)
    return until


def _lost(record: Record) -> Iterator[Violation]:
    delays = checkers.end_delays(record.submissions, record.all_calls())
    for trace, sent in record.submissions.items():
        if sent.status != 202:
            continue
        deadline = sent.at + sent.lifetime
        due = _excused_until(record, sent.courier, deadline + checkers.MAX_END_DELAY) + record.clock_error
        if trace not in delays:
            if due < record.ended_at:
                yield Violation(Rule.LOST, f"{sent.message_class} at {sent.courier} never ended", trace)
        elif deadline + delays[trace] > due:
            late = delays[trace] / SECOND
            yield Violation(
                Rule.LOST, f"{sent.message_class} at {sent.courier} ended {late:.3f} s after its time", trace
            )


def _duplicates(record: Record) -> Iterator[Violation]:
    ran: dict[str, list[Call]] = defaultdict(list)
    for call in record.all_calls():
        if call.accepted:
            ran[call.trace].append(call)
    for trace, calls in ran.items():
        sent = record.submissions.get(trace)
        if sent is None or len(calls) < 2:
            continue
        span = calls[-1].at - calls[0].at
        if sent.message_class == "payment":
            yield Violation(Rule.DUPLICATE, f"payment ran {len(calls)} times", trace)
        elif sent.message_class == "work-order" and span > record.repeat_window + TIME_LIMIT_GRACE + record.clock_error:
            yield Violation(Rule.DUPLICATE, f"work-order ran again after {span / SECOND:.2f} s", trace)


def _concurrent(record: Record) -> Iterator[Violation]:
    for call in record.all_calls():
        if call.concurrent:
            yield Violation(Rule.CONCURRENT, "called while an earlier call was out", call.trace)


def _drains(record: Record) -> Iterator[Violation]:
    for leaving in record.leavings:
        since = leaving.since + TOLD_AFTER + DRAIN_GRACE + TIME_LIMIT_GRACE + record.clock_error
        for call in record.calls[leaving.member]:
            sent_at = call.sent_at or call.at
            if since < sent_at < leaving.until:
                late = (sent_at - leaving.since) / SECOND
                yield Violation(
                    Rule.DRAIN, f"{call.courier} called {leaving.member} {late:.2f} s after it was leaving", call.trace
                )


def budget(calls: float) -> float:
    """The calls that a cold member system bears in a window in which its settings allow ``calls``."""
    factor, spare = (3, 3) if calls < 30 else (2, 2)
    return calls + factor * math.sqrt(calls) + spare


def _slow_start(record: Record) -> Iterator[Violation]:
    rules = record.slow_start
    for recovery in record.recoveries:
        calls = [call for call in record.calls[recovery.member] if recovery.at <= call.at < recovery.at + rules.ramp]
        informed = {
            call.courier
            for call in record.calls[recovery.member]
            if recovery.failed_at <= call.at < recovery.at and not call.accepted
        }
        for index, call in enumerate(calls):
            window = [other for other in calls[: index + 1] if other.at > call.at - rules.window + record.clock_error]
            share = rules.cold_from + (1 - rules.cold_from) * (call.at - recovery.at) / rules.ramp
            allowed = rules.multiple * share * recovery.limit * rules.window / SECOND
            if len(window) <= budget(allowed):
                continue
            if sum(other.courier in informed for other in window) > 2 / 3 * len(window):
                yield Violation(
                    Rule.SLOW_START, f"{recovery.member} got {len(window)} calls where {allowed:.1f} are allowed"
                )
            break  # only the first fall counts


def _waits(record: Record) -> Iterator[Violation]:
    for wait in record.waits:
        since = wait.sent_at + WAIT_GRACE + TIME_LIMIT_GRACE + record.clock_error
        restarted = [r.killed_at for r in record.restarts if r.courier == wait.courier and r.killed_at >= wait.sent_at]
        until = min([wait.until - TIME_LIMIT_GRACE, *restarted])
        for call in record.calls[wait.member]:
            sent_at = call.sent_at or call.at
            if call.courier == wait.courier and since < sent_at < until:
                left, told = (wait.until - sent_at) / SECOND, (sent_at - wait.sent_at) / SECOND
                text = f"{wait.courier} called {wait.member} {left:.2f} s too early, {told:.2f} s after it was told"
                yield Violation(Rule.WAIT, text, call.trace)


def _ready(record: Record) -> Iterator[Violation]:
    late = [
        restart
        for restart in record.restarts
        if (record.ended_at if restart.ready_at is None else restart.ready_at) - restart.started_at > READY_TIME
    ]
    if len(late) > (1 - READY_SHARE) * len(record.restarts):
        yield Violation(Rule.READY, f"{len(late)} of {len(record.restarts)} restarts")


def _given_up(record: Record) -> Iterator[Violation]:
    called = {call.trace for call in record.all_calls()}
    first_call: dict[str, int] = {}
    for call in record.all_calls():
        first_call.setdefault(call.trace, call.at)
    for restart in record.restarts:
        if restart.ready_at is None:
            continue
        untried = [
            (trace, sent)
            for trace, sent in record.submissions.items()
            if sent.status == 202
            and sent.courier == restart.courier
            and sent.at < restart.killed_at
            and first_call.get(trace, restart.killed_at) >= restart.killed_at
            and (sent.first_notice_at or restart.killed_at) >= restart.killed_at
            and sent.at + sent.lifetime - restart.ready_at > sent.lifetime // 2
        ]
        given_up = [
            trace
            for trace, sent in untried
            if trace not in called
            and sent.first_notice_at is not None
            and sent.first_notice_at < sent.at + 0.7 * sent.lifetime
        ]
        if len(untried) >= MIN_UNTRIED and len(given_up) > len(untried) / 2:
            yield Violation(Rule.GIVEN_UP, f"{len(given_up)} of {len(untried)} at {restart.courier}", given_up[0])


def _unanswered(record: Record) -> Iterator[Violation]:
    for trace in record.unanswered:
        yield Violation(Rule.UNANSWERED, "closed after its last byte", trace)


def _memory(record: Record) -> Iterator[Violation]:
    for courier, peak in record.peak_memory.items():
        if record.memory_limit and peak > record.memory_limit:
            text = f"{courier} held {peak / 1e6:.1f} MB where {record.memory_limit / 1e6:.0f} are allowed"
            yield Violation(Rule.MEMORY, text)


def _crashes(record: Record) -> Iterator[Violation]:
    for text in record.crashes:
        yield Violation(Rule.CRASH, text)


def story(record: Record, trace: str, logs: Iterable[tuple[str, str]]) -> list[str]:
    """The history of one message: what its client, the member systems and the platform saw, and the couriers' logs."""
    sent = record.submissions[trace]
    events = [(sent.at, f"client: {sent.message_class} to {sent.courier}, status {sent.status}")]
    for member, calls in record.calls.items():
        events += [
            (call.at, f"{member}: called by {call.courier}, {'ran' if call.accepted else 'did not run'}")
            for call in calls
            if call.trace == trace
        ]
        events += [
            (call.answered_at, f"{member}: 200")
            for call in calls
            if call.trace == trace and call.answered_at is not None
        ]
    if sent.first_notice_at is not None:
        events.append((sent.first_notice_at, f"platform: {' '.join(sent.notices)}"))
    events.append((sent.at + sent.lifetime, "its time is over"))
    start = sent.at
    lines = [f"{(at - start) / SECOND:+8.3f} s  {text}" for at, text in sorted(events)]
    for name, log in logs:
        lines += [f"{name}: {line}" for line in log.splitlines() if f"trace={trace} " in line]
    return lines
