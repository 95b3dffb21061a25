"""Protocol-independent core: the life cycle of a message, from submission to final answer.

Front ends (HTTP, SMPP) submit messages and receive their final states (``front_ends.SenderSide``), make delivery
attempts (``transport_map.Carrier``), and report changes of the transport map (``Courier.apply_map_update``).
"""

from __future__ import annotations

import dataclasses
import time
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import ujson
from msgspec.structs import replace

from kestrelspar.core.admission import ClientShares, RefusalCounts
from kestrelspar.core.answer_times import LATE_AFTER, AnswerSteps, AnswerTimes
from kestrelspar.core.attempts import AttemptGuard, DeliveryProgress, result_after_fault
from kestrelspar.core.front_ends import Hook, OutcomeSource, Peers, SenderSide
from kestrelspar.core.messages import (
    ACCEPTED,
    DELIVERED,
    ENDED_MESSAGE_SIZE,
    FAILED,
    NEVER_RAN,
    RETURNED,
    WITHDRAWN,
    Answer,
    End,
    EndedMessage,
    Message,
    OutstandingCall,
    RefusalReason,
    Result,
    fingerprint,
    memory_size,
)
from kestrelspar.core.transport_map import NextHop, TransportMap
from kestrelspar.journal import Entry, Journal
from kestrelspar.runtime import logs
from kestrelspar.runtime.loop import MS, SECOND, Loop, Suspension
from kestrelspar.runtime.memory import Holder, MemoryAccount
from snowlock import Controller
from snowlock import interface as api
from snowlock.control import SMALL_FLEET_SIZE
from snowlock.interface import Outcome

NS_PER_US = 1_000  # the controller counts in nanoseconds, the event loop in microseconds
MIN_SHUTDOWN_TIME = 500 * MS  # minimum time between SIGTERM and exit: new connections may arrive for 400 ms
LAST_ATTEMPT_START = 2_200 * MS  # after SIGTERM: an attempt that starts later might not end before the exit
EXIT_TIMEOUT = 3_500 * MS  # after SIGTERM: latest time at which the exit calls are made; SIGKILL may come at 3.7 s
# Time left at which a missing outcome is queried and the message ends; at most half of that at the start of the wait.
OUTCOME_QUERY_MARGIN = 1_000 * MS
JOURNAL_RETRY_INTERVAL = 50 * MS  # between attempts to write to a journal that has failed
# Between tries to report an end, while that raises an exception; doubles.
INITIAL_REPORT_RETRY_DELAY, MAX_REPORT_RETRY_DELAY = 50 * MS, 60 * SECOND
# An exception outside of an attempt interrupts the delivery of a message. It is continued from the journal after a
# delay that doubles, and at most so often.
INITIAL_DELIVERY_RETRY_DELAY, MAX_DELIVERY_RETRIES = 100 * MS, 5
UNLIMITED_MEMORY = 1 << 40  # bytes
BUDGET_WAIT_TIMEOUT = 500 * MS  # maximum wait of a call for room in the budget, before an endpoint is chosen anew

_WITHDRAW = object()  # resumes the parked task of a withdrawn message


class Courier:
    """Owns the open messages, the transport map, the journal and the controller."""

    def __init__(
        self, loop: Loop, settings: api.Settings, seed: int, journal: Journal, memory: MemoryAccount | None = None
    ) -> None:
        """``memory``: what messages are taken from; without it they are not limited by memory."""
        self.loop, self.settings, self.journal = loop, settings, journal
        self.memory = memory or MemoryAccount(UNLIMITED_MEMORY)
        self._shares = ClientShares(settings.max_open)
        self.refusals = RefusalCounts()
        self.senders: dict[str, SenderSide] = {}
        self.outcome_sources: dict[str, OutcomeSource] = {}  # sources of later outcomes, by name
        # By number of a message that a next hop accepted and whose outcome is outstanding: the message, the name of its
        # outcome source, and the data by which that source recognizes the outcome.
        self._awaiting: dict[int, tuple[Message, str, dict[str, Any]]] = {}
        # For the graceful shutdown of the front ends: calls that are started as tasks at SIGTERM.
        self.shutdown_tasks: list[Callable[[], None]] = []
        self.busy_checks: list[Callable[[], bool]] = []  # each is true while a front end has work that delays the exit
        self.exit_calls: list[Callable[[], None]] = []  # called right before the exit, to close sessions in order
        self.hooks: list[Hook] = []
        self.peers: Peers | None = None
        self.map = TransportMap()
        # By source whose list is missing or too old to use: retry-after delay in microseconds.
        self.stale: dict[str, int] = {}
        self.ready = False
        self.closing: int | None = None  # time of SIGTERM; None before
        self._controller = Controller(settings, seed, time.time_ns() - time.monotonic_ns())
        self._events: list[api.Event] = []
        # By message number: tasks that wait for the message's ``start``, or for the controller's next action.
        self._parked: dict[int, Suspension] = {}
        self.open: dict[int, Message] = {}  # by number: messages without a final state
        self._known: dict[str, Message | EndedMessage] = {}  # by id: open messages, and recently ended ones
        self._ended: deque[tuple[int, str]] = deque()  # expiry times and ids of the ended ones, oldest first
        # Microseconds for which an ended message is remembered: duplicates can arrive until the longest deadline, and
        # be processed until the end of the longest repeat window.
        self._remember_for = max(max(c.deadline_ns, c.window_ns) for c in settings.classes) // NS_PER_US
        self.attempts_in_flight = 0
        self.answer_times = AnswerTimes()
        self._last_number = max(journal.entries, default=0)
        loop.turn_end_calls.append(self._decide)
        journal.on_failure = lambda: loop.spawn(self._await_journal)
        if journal.failing:  # since the start
            journal.on_failure()

    def _await_journal(self) -> None:
        """Try to write what the journal could not write, until it can be written again."""
        while self.journal.failing:
            self.loop.sleep(JOURNAL_RETRY_INTERVAL)
            self.journal.probe()

    # Message life cycle

    def submit(self, message: Message, answer: Callable[[Answer], bool]) -> None:
        """Accept or refuse one message, and deliver it in the calling task if it is accepted.

        Returns when the message has ended, when a next hop has accepted it and its outcome is still to come, or when
        a shutdown leaves it in the journal. ``answer`` tells the sender side at once whether the message is accepted;
        it returns false if that failed.
        """
        if self.accept(message, answer):
            self._deliver(message)

    def accept(self, message: Message, answer: Callable[[Answer], bool]) -> bool:
        """Accept or refuse a message, which is journalled before it is accepted.

        True if the caller now has to deliver or end it. False if it is refused, if it is a duplicate (which may be
        answered as accepted), or if the answer could not be given.
        """
        early_answer = self._check_admission(message)
        if early_answer is not None:
            if not early_answer.accepted:
                self.refusals.add(early_answer.why, message.client)
            answer(early_answer)
            return False
        earliest = max(self.loop.now, message.start)
        message.deadline = min(message.deadline, earliest + self.map.delivery_timeout(message.dest))
        message.report_time = message.sender.report_time(max(0, message.deadline - earliest))
        self._last_number += 1
        message.number = self._last_number
        if not self._record_accepted(message):
            self.refusals.add(RefusalReason.DISK, message.client)
            answer(Answer(False, True, RefusalReason.DISK))
            return False
        self._take_memory(message)
        self._shares.add(message.client)
        self.open[message.number] = message
        self._known[message.trace] = message
        try:
            is_answered = answer(ACCEPTED)
        except Exception:
            # Whether the client has its answer is unknown: it is told that the message never ran.
            logs.fault("answer to a submission", trace=message.trace)
            self.loop.spawn(self._end, message, End(RETURNED))
            return False
        if not is_answered:  # the client left without the answer and may submit elsewhere
            self._drop(message, RETURNED)
            return False
        if self.peers is not None:
            with logs.contained("peers at an acceptance", trace=message.trace):
                self.peers.message_accepted(message)
        logs.event(
            "taken",
            logs.DEBUG,
            trace=message.trace,
            cls=self.settings.classes[message.cls].name,
            dest=message.dest,
            front=message.sender.name,
            left_ms=(message.deadline - self.loop.now) // MS,
        )
        return True

    def is_known(self, trace: str) -> bool:
        """Whether a message with this id is open, or has ended and is remembered."""
        return trace in self._known

    def refusal_of_body(self, size: int, client: str) -> Answer | None:
        """The refusal of a message of which only the head has come; None if it has room, as far as can be told.

        ``size``: bytes of its body. A refusal is counted.
        """
        why = None
        if self.closing is not None:
            why = RefusalReason.CLOSING
        elif len(self.open) >= self.settings.max_open:
            why = RefusalReason.FULL
        elif not self.memory.has_room(Holder.MESSAGES, memory_size(size)):
            self.memory.count_refusal(Holder.MESSAGES)
            why = RefusalReason.MEMORY
        elif not self.journal.has_room(size):
            why = RefusalReason.DISK
        if why is None:
            return None
        self.refusals.add(why, client)
        return Answer(False, True, why)

    def _take_memory(self, message: Message) -> None:
        """Take the memory of a message that is being accepted or recovered."""
        message.memory = memory_size(len(message.body))
        self.memory.take(Holder.MESSAGES, message.memory)

    def _record_accepted(self, message: Message) -> bool:
        """Journal a new message; false if that fails, by an exception too, and then the journal does not keep it."""
        try:
            text = ujson.dumps(self._journal_fields(message))
            return self.journal.record_accepted(message.number, message.deadline, text, message.body)
        except Exception:
            logs.fault("journal of an accepted message", trace=message.trace)
            self.journal.record_not_accepted(message.number)
            return False

    def join(self, whole: Message, parts: list[Message]) -> bool:
        """Replace several accepted messages by one joined message; false if it can't be journalled now.

        After a crash before the parts are marked done, the journal has the parts and the joined message.
        ``whole.extra["joined"]`` has the numbers of the parts, so that ``resume`` can drop them.
        """
        self._last_number += 1
        whole.number = self._last_number
        whole.extra["joined"] = [part.number for part in parts]
        whole.report_time = min(part.report_time for part in parts)
        if not self._record_accepted(whole):
            return False
        self._take_memory(whole)
        self.open[whole.number] = self._known[whole.trace] = whole
        for part in parts:
            with logs.contained("part of a joined message", trace=part.trace):
                self._drop(part)
        logs.event("joined", trace=whole.trace, parts=" ".join(part.trace for part in parts))
        self.loop.spawn(self._deliver, whole)
        return True

    def end_accepted(self, message: Message, state: str) -> None:
        """End a message that was accepted by ``accept`` and never passed to the controller."""
        self._end(message, End(state))

    def _deliver(
        self, message: Message, attempts: int = 0, maybe_since_ns: int | None = None, recovered: bool = False
    ) -> None:
        """Run a message's attempts as the controller decides.

        Returns when the message has ended, when its outcome is awaited, or when a shutdown leaves it in the journal.
        ``attempts``, ``maybe_since_ns``: number of earlier attempts, and the time at which the first of them that may
        have run was sent (None: none of them can have run). ``recovered``: it was accepted before a restart.

        After an exception the delivery continues from the journal, as after a restart. A message that meets one again
        and again ends, as returned if it surely never ran.
        """
        progress = DeliveryProgress(attempts, maybe_since_ns)
        for retry in range(MAX_DELIVERY_RETRIES + 1):
            try:
                end = self._run_attempts(message, progress, recovered)
                break
            except Exception:
                logs.fault("delivery", trace=message.trace, n=retry)
            entry = self.journal.entries.get(message.number)
            if entry is None or entry.verdict or message.number in self._awaiting:
                return  # its end has been recorded, or its outcome follows
            self._parked.pop(message.number, None)
            self._forget_in_controller(message, progress)
            end = End(RETURNED if entry.may_have_run_since is None else FAILED)
            if retry == MAX_DELIVERY_RETRIES or self.loop.now >= message.decide_by:
                break
            self.loop.sleep(min(INITIAL_DELIVERY_RETRY_DELAY << retry, message.decide_by - self.loop.now))
            progress.attempts = max(progress.attempts, entry.attempts)
            progress.maybe_since_ns = _maybe_since_ns(entry)
        if end is not None:
            self._end(message, end)

    def _forget_in_controller(self, message: Message, progress: DeliveryProgress) -> None:
        """End the message for the controller, and the attempt that it may count as in flight."""
        self._events.append(api.Withdrawn(message.number))
        if progress.last_send is not None:
            endpoint = progress.last_send.endpoint
            for index in (progress.attempts - 1, progress.attempts):  # whichever of them is in flight
                self._events.append(
                    api.AttemptEnded(message.number, index, endpoint, Outcome.MOOT, 0, closed=True, internal_error=True)
                )

    def _run_attempts(self, message: Message, progress: DeliveryProgress, recovered: bool) -> End | None:
        """The steps of ``_deliver``; returns the final state, or None if it is not to be reported now."""
        if message.start > self.loop.now:
            suspension = self._parked[message.number] = Suspension(self.loop)
            if self.loop.park(suspension, message.start) is _WITHDRAW:
                return End(WITHDRAWN)
            self._parked.pop(message.number, None)
        time_for_attempts = max(0, message.decide_by - self.loop.now)
        action = self._next_action(
            message.number,
            api.Arrival(
                message.number,
                message.cls,
                message.dest,
                time_for_attempts * NS_PER_US,
                message.tenant,
                0,
                progress.attempts,
                progress.maybe_since_ns,
                recovered,
                message.client,
            ),
        )
        while isinstance(action, api.Send):
            if self.closing is not None and self.loop.now - self.closing > LAST_ATTEMPT_START:
                return None  # still in the journal: the next process resumes it
            progress.last_send = action
            result, latency = self._attempt(message, action, progress.attempts, progress.outstanding)
            progress.attempts, progress.outstanding = progress.attempts + 1, result.outstanding
            action = self._next_action(
                message.number,
                api.AttemptEnded(
                    message.number,
                    progress.attempts - 1,
                    action.endpoint,
                    result.outcome,
                    latency * NS_PER_US,
                    closed=result.already_answered or result.outcome is Outcome.OK,
                    wait_ns=result.retry_after * NS_PER_US,
                    no_slot=result.no_slot,
                    report=result.report,
                    internal_error=result.internal_error,
                ),
                final=result.already_answered or result.outcome is Outcome.OK,
            )
            if result.outcome is Outcome.OK:
                if result.outcome_source is None:
                    return End(DELIVERED)
                self._await_outcome(message, *result.outcome_source)
                return None
            if result.already_answered:
                self._drop(message, FAILED)
                return None
        if action is _WITHDRAW:
            return End(WITHDRAWN)
        after_ms = -(-action.retry_after_ns // (NS_PER_US * MS)) if isinstance(action, api.Refuse) else 0
        return End(RETURNED if isinstance(action, api.Refuse) else FAILED, after_ms)

    def _attempt(
        self, message: Message, action: api.Send, attempt_index: int, outstanding: OutstandingCall | None
    ) -> tuple[Result, int]:
        """Make one delivery attempt, journalled before its first byte is sent.

        Returns its result, which is MOOT if the next hop has left the map, and its latency in microseconds. An
        exception is logged, and ends the attempt alone. ``outstanding``: the attempt before, if its call is still out.
        It is waited for, whichever next hop comes next, as two attempts of a message must not run at once.
        """
        if outstanding is not None:
            try:
                earlier_result = self._await_outstanding(message, action, attempt_index, outstanding)
            except Exception:
                logs.fault("wait for the attempt before", trace=message.trace, n=attempt_index)
                earlier_result = Result(
                    Outcome.MOOT, note="internal error", outstanding=outstanding, internal_error=True
                )
            if earlier_result is not None:
                return earlier_result, 0
        # Checked again right before the first byte: since the endpoint was chosen, it may have been drained or have
        # asked for a retry-after delay, and a connection to an endpoint that was down may come up only after the
        # window of a work-order has ended.
        guard = AttemptGuard(
            lambda: self._controller.may_still_send(self.loop.now * NS_PER_US, action.endpoint, message.number),
            lambda: self._spend(action.endpoint, attempt_index) and self._record_attempt(message, attempt_index),
        )
        try:
            return self._call(message, action, attempt_index, guard)
        except Exception:
            logs.fault("attempt", trace=message.trace, n=attempt_index)
            return result_after_fault(guard), 0

    def _call(self, message: Message, action: api.Send, attempt_index: int, guard: AttemptGuard) -> tuple[Result, int]:
        """Call the next hop; arguments and result as those of ``_attempt``."""
        hop, started = self.map.hops.get(action.endpoint), self.loop.now
        if hop is None:
            return Result(Outcome.MOOT), 0
        deadline = started + action.timeout_ns // NS_PER_US
        if self.peers is not None:
            with logs.contained("wait for the shared budget", trace=message.trace):
                self.peers.wait_for_budget(
                    action.endpoint, attempt_index > 0, min(deadline, started + BUDGET_WAIT_TIMEOUT)
                )
        budget_wait_end = self.loop.now
        self.attempts_in_flight += 1
        try:
            result = hop.carrier.attempt(message, hop, deadline, guard)
        except Exception:
            logs.fault("attempt", trace=message.trace, n=attempt_index, hop=hop.name)
            result = result_after_fault(guard)
        finally:
            self.attempts_in_flight -= 1
        with logs.contained("end of an attempt", trace=message.trace, n=attempt_index):
            self._note_result(message, hop, attempt_index, result, started, budget_wait_end)
        return result, max(0, self.loop.now - started - result.queued)

    def _note_result(
        self, message: Message, hop: NextHop, attempt_index: int, result: Result, started: int, budget_wait_end: int
    ) -> None:
        """Journal and log the result of an attempt, and tell it to the peers; times as in ``_attempt``."""
        if result.outcome in NEVER_RAN:
            self.journal.record_not_run(message.number, attempt_index)
        self._save_limit(hop, result)
        if self.peers is not None:
            self.peers.attempt_ended(hop.endpoint.id, result, budget_wait_end)
        if result.outcome is not Outcome.OK or logs.is_enabled(logs.DEBUG):
            logs.event(
                "attempt",
                trace=message.trace,
                n=attempt_index,
                hop=hop.name,
                outcome=result.outcome.name.lower(),
                wait_ms=result.retry_after // MS or None,
                note=result.note or None,
                dest=message.dest,
                rested_ms=None if result.rested is None else result.rested // MS,
                report=",".join(f"{x:g}" for x in result.report) or None,
                after_ms=(self.loop.now - started) // MS,
            )

    def _await_outstanding(
        self, message: Message, action: api.Send, attempt_index: int, outstanding: OutstandingCall
    ) -> Result | None:
        """Wait for a call that is still out.

        Returns None if the next attempt may be made, and else the result that stands for it.
        """
        self.attempts_in_flight += 1
        try:
            result = outstanding.wait(min(message.decide_by, self.loop.now + action.timeout_ns // NS_PER_US))
        finally:
            self.attempts_in_flight -= 1
        if result is None:
            if self.closing is None or self.loop.now - self.closing <= LAST_ATTEMPT_START:
                return None
            result = Result(Outcome.MOOT, note="shutting down")
        elif result.outcome is Outcome.MOOT:
            result = dataclasses.replace(result, outstanding=outstanding)
        logs.event(
            "attempt-not-made",
            trace=message.trace,
            n=attempt_index,
            outcome=result.outcome.name.lower(),
            note=result.note or "a late response ended the attempt before",
        )
        return result

    def _record_attempt(self, message: Message, attempt_index: int) -> bool:
        """Journal an attempt that is about to be sent; false if it may not be sent.

        A message that may be repeated is sent even if that fails: a restart that does not know of the attempt repeats
        it at worst.
        """
        if self.journal.record_attempt(message.number, attempt_index, self.loop.now):
            return True
        may_repeat = self.settings.classes[message.cls].safety is api.Safety.SAFE
        return may_repeat and self.journal.note_unrecorded_attempt(message.number, attempt_index, self.loop.now)

    def _spend(self, endpoint: api.EndpointId, attempt_index: int) -> bool:
        """Take a call that is about to be sent from the shared budget, where there is one."""
        return self.peers is None or self.peers.spend_budget(endpoint, attempt_index > 0)

    def queue_controller_event(self, event: api.Parts | api.Judged) -> None:
        """Queue new shares, or suspensions that follow from other couriers' reports, for the controller."""
        self._events.append(event)

    @property
    def controller(self) -> Controller:
        """The controller; callers only read from it."""
        return self._controller

    def _save_limit(self, hop: NextHop, result: Result) -> None:
        """Journal the rate limit that the endpoint reported, if it reported one.

        Couriers of a large fleet that restart together without known limits would exceed them with their first calls.
        A fleet of at most ``SMALL_FLEET_SIZE`` couriers needs no such record.
        """
        column = self.settings.limit_column
        rate = result.report[column] if column is not None and column < len(result.report) else 0.0
        if self.settings.forwarders > SMALL_FLEET_SIZE and rate > 0:
            self.journal.record_limit(hop.endpoint.id, rate)

    # Outcomes that arrive after acceptance

    def _await_outcome(self, message: Message, source: str, awaits: dict[str, Any]) -> None:
        """Journal and register that an outcome is awaited; it arrives through ``outcome_received``.

        The message holds no slot, and no attempt follows: the next hop may still be processing it, so that a second
        attempt could run at the same time. If this can't be journalled, the message counts after a restart as one that
        may have run.
        """
        with logs.contained("journal of an awaited outcome", trace=message.trace):
            self.journal.record_awaited(message.number, ujson.dumps({"by": source, **awaits}))
        logs.event("accepted", logs.DEBUG, trace=message.trace, by=source)
        self._register_awaiting(message, source, awaits)

    def _register_awaiting(self, message: Message, source: str, awaits: dict[str, Any]) -> None:
        self._awaiting[message.number] = message, source, awaits
        left = max(0, message.decide_by - self.loop.now)
        self.loop.call_at(
            message.decide_by - min(OUTCOME_QUERY_MARGIN, left // 2),
            lambda: self.loop.spawn(self._overdue, message.number),
        )
        with logs.contained("wait for an outcome", trace=message.trace):  # the message ends when it is overdue
            self.outcome_sources[source].expect(message, awaits)

    def awaited_outcome(self, number: int) -> dict[str, Any]:
        """The data by which the awaited outcome of a message is recognized; ``KeyError`` if none is awaited."""
        return self._awaiting[number][2]

    def update_awaited_outcome(self, number: int, awaits: dict[str, Any]) -> bool:
        """Replace the data of ``awaited_outcome`` after a partial outcome; false, and unchanged, if not journalled."""
        message, source, _ = self._awaiting[number]
        if not self.journal.record_awaited(number, ujson.dumps({"by": source, **awaits})):
            return False
        self._awaiting[number] = message, source, awaits
        return True

    def outcome_received(self, number: int, state: str) -> bool:
        """Handle the outcome of a message; false if it can't be journalled, and has to be reported again."""
        if number not in self._awaiting:
            return True  # the message has ended already
        message = self._awaiting[number][0]
        if not self.journal.record_end(number, state, 0):
            return False
        self._stop_awaiting(number)
        self.loop.spawn(self._report_end, message, End(state), self.loop.now)
        return True

    def _stop_awaiting(self, number: int) -> None:
        message, source, _ = self._awaiting.pop(number)
        with logs.contained("end of the wait for an outcome", trace=message.trace):
            self.outcome_sources[source].stop_waiting(message)

    def _overdue(self, number: int) -> None:
        """Query an outcome that is missing shortly before the deadline, and end the message.

        The message ends as failed if the query raises an exception. An outcome that arrives during the query takes
        precedence; later ones are ignored.
        """
        if number not in self._awaiting:
            return
        message, source, awaits = self._awaiting[number]
        state = FAILED
        try:
            state = self.outcome_sources[source].query_outcome(message, awaits)
        finally:
            if number in self._awaiting:
                logs.warn("outcome-overdue", trace=message.trace, by=source, state=state)
                self._stop_awaiting(number)
                self._end(message, End(state))

    def _end(self, message: Message, end: End) -> None:
        """Journal the final state, report it to the sender side, and drop the message.

        While it can't be journalled, the report waits, as a restart would go on with the message although its end has
        been told. It is reported at the latest ``MAX_REPORT_DELAY`` after the deadline. A delivered message needs no
        wait, as that end is not revoked by another call of a message that may be repeated.
        """
        decided_at = self.loop.now
        while not self._record_end(message, end):
            if message.number not in self.journal.entries:
                break
            if end.state == DELIVERED or self.loop.now >= message.deadline:
                with logs.contained("journal of an end", trace=message.trace):
                    self.journal.record_end_later(message.number, end.state, end.after_ms)
                break
            self.loop.sleep(JOURNAL_RETRY_INTERVAL)
        self._report_end(message, end, decided_at)

    def _record_end(self, message: Message, end: End) -> bool:
        """Journal the final state; false if that fails, by an exception too."""
        with logs.contained("journal of an end", trace=message.trace):
            return self.journal.record_end(message.number, end.state, end.after_ms)
        return False

    def _report_end(self, message: Message, end: End, decided_at: int) -> None:
        """Report a final state to the hooks, to the peers and to the sender side, and drop the message.

        ``decided_at``: when it was known, in microseconds of the loop's clock.
        """
        recorded_at = self.loop.now
        self.open.pop(message.number, None)
        logs.event(
            "ended",
            logs.DEBUG if end.state == DELIVERED else logs.INFO,
            trace=message.trace,
            state=end.state,
            after_ms=end.after_ms or None,
            left_ms=(message.deadline - recorded_at) // MS,
        )
        for hook in self.hooks:
            with logs.contained("hook at a message's end", trace=message.trace):
                hook.end(message, end)
        if self.peers is not None:
            with logs.contained("peers at a message's end", trace=message.trace):
                self.peers.message_ended(message, end)
        self._tell_sender(message, end)
        with logs.contained("time of an answer", trace=message.trace):
            self._note_answer(message, end, AnswerSteps(decided_at, recorded_at, self.loop.now))
        self._drop(message, end.state)

    def _tell_sender(self, message: Message, end: End) -> None:
        """Report a final state to the sender side, again after a delay that doubles as long as an exception is raised.

        Meanwhile the journal keeps the message, so that the next process reports it.
        """
        delay = INITIAL_REPORT_RETRY_DELAY
        while True:
            try:
                message.sender.report_end(message, end)
                return
            except Exception:
                logs.fault("report of an end", trace=message.trace, again_ms=delay // MS)
            self.loop.sleep(delay)
            delay = min(MAX_REPORT_RETRY_DELAY, 2 * delay)

    def _note_answer(self, message: Message, end: End, steps: AnswerSteps, recovered: bool = False) -> None:
        """Count an acknowledged final answer, and log by how much it was early or late."""
        time_left = steps.time_left(message.deadline)
        self.answer_times.record(time_left)
        is_late = time_left < -LATE_AFTER
        if is_late or logs.is_enabled(logs.DEBUG):
            logs.event(
                "answered-late" if is_late else "answered",
                logs.WARNING if is_late else logs.DEBUG,
                trace=message.trace,
                state=end.state,
                left_ms=time_left // MS,
                step=steps.slowest(message.deadline) if is_late else None,
                decided_left_ms=(message.deadline - steps.decided_at) // MS,
                journal_ms=(steps.recorded_at - steps.decided_at) // MS,
                report_ms=(steps.acknowledged_at - steps.recorded_at) // MS,
                front=message.sender.name,
                recovered=recovered or None,
            )

    def _drop(self, message: Message, state: str = "") -> None:
        """Drop a message that needs no further report, and remember it for duplicate detection."""
        self.open.pop(message.number, None)
        self.memory.give_back(Holder.MESSAGES, message.memory)
        message.memory = 0
        self._remember(message, state)
        with logs.contained("journal of a message that is done", trace=message.trace):
            self.journal.record_done(message.number)

    def _remember(self, message: Message, state: str) -> None:
        """Remember an ended message by its id; a returned one only while there is room, as it may come again."""
        self._shares.remove(message.client)
        if state == RETURNED and not self.memory.has_room(Holder.ENDED, ENDED_MESSAGE_SIZE):
            self._known.pop(message.trace, None)
            return
        self.memory.take(Holder.ENDED, ENDED_MESSAGE_SIZE)
        until = self.loop.now + self._remember_for
        self._ended.append((until, message.trace))
        self._known[message.trace] = EndedMessage(until, state, fingerprint(message))

    def _answer_duplicate(self, message: Message, before: Message | EndedMessage) -> Answer | None:
        """The answer to a submission under a known id; None if it is to be processed as a new message.

        The same message submitted again, as after the loss of the connection before the answer, is answered as accepted
        if it is open or was delivered; no second copy is sent. A message that was returned may be submitted again. All
        else is rejected: a different message under the id, and one that failed, was withdrawn or was joined.
        """
        if (before.fingerprint if isinstance(before, EndedMessage) else fingerprint(before)) != fingerprint(message):
            return Answer(False, False, RefusalReason.DUPLICATE)
        if isinstance(before, Message) or before.state == DELIVERED:
            return ACCEPTED
        return None if before.state == RETURNED else Answer(False, False, RefusalReason.DUPLICATE)

    def _check_admission(self, message: Message) -> Answer | None:
        """The answer to a submission that is not processed; None if the message can be accepted.

        The answer is a refusal, or that to a duplicate, which may be ``ACCEPTED``.
        """
        while self._ended and self._ended[0][0] < self.loop.now:
            until, trace = self._ended.popleft()
            self.memory.give_back(Holder.ENDED, ENDED_MESSAGE_SIZE)
            known = self._known.get(trace)
            if isinstance(known, EndedMessage) and known.until == until:  # else it was submitted again meanwhile
                del self._known[trace]
        before = self._known.get(message.trace)
        if before is not None and (answer := self._answer_duplicate(message, before)) is not None:
            return answer  # also while closing: a message that was taken on is not refused as one that never ran
        if self.closing is not None:
            return Answer(False, True, RefusalReason.CLOSING)
        for hook in self.hooks:
            verdict = None
            with logs.contained("hook at an arrival", trace=message.trace):
                verdict = hook.arrival(message)
            if verdict is not None:
                return verdict
        if self.stale:
            source = next(iter(self.stale))
            return Answer(False, True, RefusalReason.STALE, source, self.stale[source])
        if message.dest not in self.map.destinations:
            # While a source is disconnected, or has reported nothing since the start, its list may lack destinations
            # that exist.
            return Answer(
                False,
                bool(self.map.pending_sources or self.map.disconnected_sources),
                RefusalReason.UNKNOWN_DEST,
                str(message.dest),
            )
        if len(self.open) >= self.settings.max_open:
            return Answer(False, True, RefusalReason.FULL)
        if self._shares.is_greedy(message.client, len(self.open)):
            return Answer(False, True, RefusalReason.GREEDY)
        if not self.memory.has_room(Holder.MESSAGES, memory_size(len(message.body))):
            self.memory.count_refusal(Holder.MESSAGES)
            return Answer(False, True, RefusalReason.MEMORY)
        return None

    def _journal_fields(self, message: Message) -> dict[str, Any]:
        """The journalled fields of a message other than its body and deadline."""
        tenants = self.settings.tenants
        return {
            "sender": message.sender.name,
            "trace": message.trace,
            "dest": message.dest,
            "key": message.key,
            "class": self.settings.classes[message.cls].name,
            "tenant": tenants[message.tenant].name if tenants else "",
            "extra": message.extra,
            **({"lead": message.deadline - message.start} if message.start else {}),
        }

    # After a restart

    def resume(self) -> None:
        """Recover the open messages from the journal; entries that can't be used are logged and stay there."""
        for entry in [entry for entry in self.journal.entries.values() if '"joined"' in entry.text]:
            with logs.contained("parts of a joined message", number=entry.number):
                for number in ujson.loads(entry.text)["extra"].get("joined", ()):
                    self.journal.record_done(number)  # a part that a crash left: see ``join``
        for entry in list(self.journal.entries.values()):
            try:
                message = self._from_journal(entry)
            except Exception as error:  # whatever one entry is like, the others are recovered
                logs.error("journal-unusable", number=entry.number, why=repr(error))
                continue
            try:
                held_by_sender = message.sender.recover(message)
            except Exception:  # without its sender side, it is unknown whether the message may be sent by itself
                logs.fault("recovery by the sender side", trace=message.trace)
                self._end_unrecovered(message, entry)
                continue
            self._known[message.trace] = message
            self._take_memory(message)
            logs.event(
                "taken-up",
                trace=message.trace,
                attempts=entry.attempts,
                may_have_run=entry.may_have_run_since is not None,
                state=entry.verdict or None,
            )
            if entry.verdict:
                self.loop.spawn(self._report_recovered, message, End(entry.verdict, entry.after_ms))
                continue
            self.open[entry.number] = message
            if not held_by_sender:
                self._resume_message(message, entry)

    def _end_unrecovered(self, message: Message, entry: Entry) -> None:
        """End a message that its sender side could not recover, by its journalled state if it has one."""
        self._known[message.trace] = message
        self._take_memory(message)
        if entry.verdict:
            self.loop.spawn(self._report_recovered, message, End(entry.verdict, entry.after_ms))
            return
        self.open[entry.number] = message
        may_have_run = entry.may_have_run_since is not None or bool(entry.awaits)
        self.loop.spawn(self._end, message, End(FAILED if may_have_run else RETURNED))

    def _resume_message(self, message: Message, entry: Entry) -> None:
        """Go on with a recovered message that has no final state: wait for its outcome, or deliver it."""
        if not entry.awaits:
            self.loop.spawn(self._deliver, message, entry.attempts, _maybe_since_ns(entry), True)
            return
        is_awaited = False
        with logs.contained("recovery of an awaited outcome", trace=message.trace):
            awaits = ujson.loads(entry.awaits)
            source = awaits.pop("by")
            is_awaited = source in self.outcome_sources
            if is_awaited:
                self._register_awaiting(message, source, awaits)
        if not is_awaited:  # the source's front end is disabled: no outcome can arrive, and the message may have run
            self.loop.spawn(self._end, message, End(FAILED))

    def _report_recovered(self, message: Message, end: End) -> None:
        """Report a final state from before the restart, which the sender side may not have received."""
        started_at = self.loop.now
        self._tell_sender(message, end)
        with logs.contained("time of an answer", trace=message.trace):
            self._note_answer(message, end, AnswerSteps(started_at, started_at, self.loop.now), recovered=True)
        self._drop(message, end.state)

    def _from_journal(self, entry: Entry) -> Message:
        """The message of an entry; one whose tenant is unknown is assigned to the first tenant.

        Raises ``StopIteration`` if its class is unknown, ``KeyError`` if its sender side is unknown or a field is
        missing, and ``ValueError`` or ``TypeError`` if a field is invalid.
        """
        text = ujson.loads(entry.text)
        cls = next(i for i, c in enumerate(self.settings.classes) if c.name == text["class"])
        tenant = next((i for i, t in enumerate(self.settings.tenants) if t.name == text["tenant"]), 0)
        message = Message(
            text["trace"],
            cls,
            tenant,
            int(text["dest"]),
            entry.deadline,
            entry.body,
            self.senders[text["sender"]],
            text["key"],
            text["extra"],
            entry.number,
        )
        if "lead" in text:  # time from ``start`` to the deadline, which is converted to this process's clock
            message.start = entry.deadline - int(text["lead"])
        message.report_time = message.sender.report_time(max(0, message.deadline - max(self.loop.now, message.start)))
        return message

    # Queries and changes by the sender side

    def find(self, trace: str) -> Message | None:
        """The open message with this id; None if there is none."""
        known = self._known.get(trace)
        return known if isinstance(known, Message) else None

    def never_attempted(self, message: Message) -> bool:
        """Whether no attempt can have run, none is in flight, and none is about to start.

        True also after attempts that provably did not run. False if the message has a final state, or is not being
        delivered, as when its sender side delays that.
        """
        entry = self.journal.entries.get(message.number)
        return (
            entry is not None
            and not entry.verdict
            and entry.may_have_run_since is None
            and message.number in self._parked
            and not self._parked[message.number].resumed
        )

    def withdraw(self, message: Message) -> bool:
        """End a message as withdrawn; false, and unchanged, unless ``never_attempted`` holds."""
        if not self.never_attempted(message):
            return False
        if message.start <= self.loop.now:  # earlier, the controller does not know the message
            self._events.append(api.Withdrawn(message.number))
        self._parked.pop(message.number).resume(_WITHDRAW)
        return True

    def replace(self, message: Message, body: bytes, extra: dict[str, Any]) -> bool:
        """Change body and front-end data of a message.

        False, and unchanged, if it has had an attempt, if ``never_attempted`` does not hold, or if the change can't be
        journalled.
        """
        entry = self.journal.entries.get(message.number)
        if entry is None or entry.attempts or not self.never_attempted(message):
            return False
        text = ujson.dumps(self._journal_fields(message) | {"extra": extra})
        if not self.journal.record_replacement(message.number, text, body):
            return False
        message.body, message.extra = body, extra
        self.memory.give_back(Holder.MESSAGES, message.memory)
        self._take_memory(message)
        return True

    # The controller

    def _next_action(self, number: int, event: api.Event, final: bool = False) -> Any:
        """Queue an event for the controller, and wait for its next action on the message.

        Returns ``_WITHDRAW`` if the message was withdrawn meanwhile, and None, without a wait, if the event is final.
        """
        self._events.append(event)
        if final:
            return None
        suspension = self._parked[number] = Suspension(self.loop)
        return self.loop.park(suspension)

    def _decide(self) -> None:
        """Pass queued events to the controller and carry out its actions.

        Called at the end of each turn, and after each change of the transport map.
        """
        if not self._events:
            return
        events, self._events = self._events, []
        try:
            actions = self._controller.handle(self.loop.now * NS_PER_US, events)
        except Exception:
            # The controller contains exceptions of single events. Without a decision, the messages of these arrivals
            # and ended attempts would wait for ever, so they fail.
            logs.fault("module")
            numbers = [event.message for event in events if isinstance(event, (api.Arrival, api.AttemptEnded))]
            self._events += map(api.Withdrawn, numbers)
            actions = [*self._controller.actions, *map(api.Fail, numbers)]
        for endpoint in {event.endpoint for event in events if isinstance(event, api.AttemptEnded)}:
            try:
                self._save_outages(endpoint)
            except Exception:
                logs.fault("journal of outages")
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:  # each of the other actions may be what a message waits for
                logs.fault(f"action {type(action).__name__}")

    def _save_outages(self, endpoint: api.EndpointId) -> None:
        """Journal the outages of all routes of an endpoint's destination."""
        for endpoint_id, outage in self._controller.outages(endpoint).items():
            self.journal.record_outage(
                endpoint_id,
                None
                if outage is None
                else (outage[0] // NS_PER_US, None if outage[1] is None else outage[1] // NS_PER_US),
            )

    def _carry_out(self, action: api.Action) -> None:
        """Carry out one action of the controller."""
        if isinstance(action, (api.Send, api.Refuse, api.Fail)):
            suspension = self._parked.pop(action.message, None)
            if suspension is not None:
                suspension.resume(action)
        elif isinstance(action, api.SetTimer):
            self.loop.call_at(-(-action.at_ns // NS_PER_US), partial(self._timer, action.token))
        elif isinstance(action, api.CloseIdle):
            hop = self.map.hops.get(action.endpoint)
            if hop is not None:
                hop.carrier.close_idle(hop)
        elif isinstance(action, api.Log):
            logs.event("decision", text=action.text)
        elif isinstance(action, api.Fault):
            logs.error("fault", task="module", why=action.text)

    def _timer(self, token: int) -> None:
        self._events.append(api.TimerFired(token))

    # The transport map

    @property
    def serving(self) -> bool:
        """Whether submissions are accepted in general.

        The start is complete, no shutdown has begun, no source's list is missing or too old to use, and the journal can
        be written.
        """
        return not self.why_not_serving

    @property
    def why_not_serving(self) -> str:
        """Why submissions are not accepted in general; empty if they are."""
        if not self.ready:
            return "shutting down" if self.closing is not None else "starting"
        if self.stale:
            return f"the list of endpoints is too old: {next(iter(self.stale))}"
        if self.journal.failing:
            return f"the journal can't be written: {self.journal.failing}"
        return ""

    def apply_map_update(
        self, source: str, hops: Iterable[NextHop], complete: bool = False, removed: Iterable[api.EndpointId] = ()
    ) -> None:
        """Apply an update from one source to the transport map; ``complete``: ids not in ``hops`` are removed."""
        change = self.map.apply(source, hops, complete, removed)
        for name, fields in change.events:
            logs.error(name, **fields)
        for hop in change.close_idle:
            hop.carrier.close_idle(hop)
        self._events.append(
            api.EndpointList(api.ListKind.DELTA, tuple(map(self._with_journalled_state, change.endpoints)))
        )
        # Decided now, not at the end of the turn, as a task of this turn may be about to send its first byte.
        self._decide()

    def _with_journalled_state(self, row: api.Endpoint) -> api.Endpoint:
        """The endpoint with its journalled limit and outage, which the controller uses if the route is new to it."""
        limit, outage = self.journal.limit(row.id), self.journal.outage(row.id)
        if limit:
            row = replace(row, limit=limit)
        if outage is not None:
            since, recovering_since = outage
            # down_ns is at least 1, as 0 means no outage: after a step of the wall clock, the outage may begin in the
            # future. back_ns is not 0 either, as that means that the recovery has not begun.
            row = replace(
                row,
                down_ns=max(1, (self.loop.now - since) * NS_PER_US),
                back_ns=0 if recovering_since is None else (self.loop.now - recovering_since) * NS_PER_US or 1,
            )
        return row

    # Shutdown

    def close(self) -> None:
        """Shut down gracefully at SIGTERM; further calls have no effect.

        Nothing is accepted any more. Attempts go on until ``LAST_ATTEMPT_START``, those in flight are waited for until
        ``EXIT_TIMEOUT``, and the journal keeps the messages that have not ended by then.
        """
        if self.closing is None:
            self.closing, self.ready = self.loop.now, False
            logs.event("closing", open=len(self.open), out=self.attempts_in_flight)
            for call in self.shutdown_tasks:
                self.loop.spawn(call)
            self.loop.spawn(self._exit_when_done)

    def _exit_when_done(self) -> None:
        assert self.closing is not None
        self.loop.sleep(MIN_SHUTDOWN_TIME)
        while self.loop.now < self.closing + EXIT_TIMEOUT and self._has_work():
            self.loop.sleep(10 * MS)
        for call in self.exit_calls:
            call()
        if self.exit_calls:
            self.loop.sleep(50 * MS)
        logs.event("closed", kept=len(self.journal.entries), out=self.attempts_in_flight)
        self.loop.stop()

    def _has_work(self) -> bool:
        """Whether the exit has to wait.

        It waits for attempts in flight, for any journalled message while attempts may still start, and for the front
        ends' unsent answers and notices.
        """
        assert self.closing is not None
        may_try = bool(self.journal.entries) and self.loop.now <= self.closing + LAST_ATTEMPT_START
        return bool(self.attempts_in_flight) or may_try or any(busy() for busy in self.busy_checks)


def _maybe_since_ns(entry: Entry) -> int | None:
    """When the first attempt of a journalled message that may have run was sent, in ns; None: none can have run."""
    return None if entry.may_have_run_since is None else entry.may_have_run_since * NS_PER_US
