"""The sessions to one gateway: binds them when needed, respects windows and rate, and unbinds them when idle."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, Loop, Suspension, Timer, connect
from kestrelspar.settings.resolve import Gateway
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.flow_control import Backoff, RateControl, Window
from kestrelspar.smpp.pdu import Command, Pdu, Status
from kestrelspar.smpp.session import NotSentError, Session, SessionLostError
from kestrelspar.smpp.table import SessionState

if TYPE_CHECKING:
    from kestrelspar.keys import TlsStore  # imports ssl, so only for type checks

BIND_COMMANDS = {
    "transmitter": Command.BIND_TRANSMITTER,
    "transceiver": Command.BIND_TRANSCEIVER,
    "pair": Command.BIND_TRANSMITTER,
}
TRANSMITTING_STATES, RECEIVING_STATES = (SessionState.TX, SessionState.TRX), (SessionState.RX, SessionState.TRX)
FULL = (Status.ESME_RTHROTTLED, Status.ESME_RMSGQFUL)
# An early retry after one of these cannot succeed, and may lock the account.
PERMANENT_BIND_ERRORS = (Status.ESME_RINVPASWD, Status.ESME_RINVSYSID)
SLOW_START_DIVISOR = 4  # the first session after a failure starts with its window divided by this
FAULT_RETRY_DELAY = 100 * MS  # after an exception in the assignment of sessions to senders
RequestHandler = Callable[["Link", "BoundSession", Pdu], None]


class BoundSession:
    """One bound session to a gateway, with its window."""

    def __init__(self, session: Session, window: Window) -> None:
        self.session, self.window = session, window
        self.last_used_at = session.loop.now

    @property
    def open(self) -> bool:
        """Whether new requests may be sent on it."""
        return not (self.session.closed or self.session.draining) and self.session.state is not SessionState.OPEN


class Link:
    """The sessions to one gateway.

    A sender acquires a session for each request and then releases it; waiting senders are served in order of arrival.
    """

    def __init__(
        self,
        loop: Loop,
        buffers: BufferPool,
        gateway: Gateway,
        connect_timeout: int,
        seed: int,
        handle: RequestHandler,
        keys: TlsStore | None = None,
    ) -> None:
        self.keys = keys
        self.loop, self.buffers, self.gateway = loop, buffers, gateway
        self.rate_control = RateControl(float(gateway.rate))
        self.backoff = Backoff(gateway.bind_retry_delay, gateway.max_bind_retry_delay, seed)
        self.sessions: list[BoundSession] = []
        # Of the last attempt; the low 8 or 16 bits are its concatenation reference number. It begins at random, as a
        # receiver may still hold parts that another process sent.
        self.last_reference = int.from_bytes(os.urandom(2), "big")
        self.attempts_in_progress = 0  # delivery attempts; a receipt may arrive before the response to its submit
        self.early_receipts: list[Suspension] = []  # tasks of such receipts, which wait for that response
        # Whether a receiving session has to be bound now. The carrier sets one that is true also while receipts are
        # due.
        self.needs_receiving: Callable[[], bool] = lambda: gateway.stay_bound
        self._connect_timeout, self._handle = connect_timeout, handle
        self._binding = False
        # True after a failed bind, or a session that ended with requests in flight or was found closed by the gateway;
        # false again when a bind succeeds.
        self._slow_start = False
        self._queue: deque[Suspension] = deque()  # senders that wait for a session
        self._rate_timer: Timer | None = None
        self._idle_timer: Timer | None = None
        self._shutting_down = False

    # Sending

    def acquire(self, deadline: int) -> BoundSession | None | object:
        """Wait until a session has room in its window and the rate allows a request.

        Returns the session, or ``TIMED_OUT`` at the deadline. Returns None if no session is open and none may be bound:
        after a failed bind, until its backoff delay has passed, and during shutdown.
        """
        suspension = Suspension(self.loop)
        self._queue.append(suspension)
        self._serve_queue()
        acquired: BoundSession | None | object = self.loop.park(suspension, deadline)
        return acquired

    def release(self, bound: BoundSession) -> None:
        """Release a session that ``acquire`` returned, whatever became of the request."""
        bound.window.in_flight -= 1
        bound.last_used_at = self.loop.now
        self._serve_queue()
        if not bound.window.in_flight:
            self._schedule_idle_check()

    def record_response(self, bound: BoundSession, sent: int, response: Pdu) -> bool:
        """Adapt rate and window to the response to a request sent at ``sent``; returns whether to report a refusal.

        Refusals by a rate limit are handled here and not reported. A refusal is reported, so that the decision module
        sends nothing there, if the gateway has refused all submits for a rate window, or if its queue is full. Of the
        refusals for a full queue only those of submits sent after the last reduction of the window are reported.
        """
        now, congestion_state = self.loop.now, response.tlv(p.CONGESTION_STATE)
        congestion = congestion_state[0] if congestion_state and congestion_state[0] <= 100 else None
        must_report = self.rate_control.record_response(
            now, sent, response.status == Status.ESME_RTHROTTLED, self.gateway.throttle_wait
        )
        must_report = (
            bound.window.record_response(now, sent, response.status == Status.ESME_RMSGQFUL, congestion) or must_report
        )
        if response.status == Status.ESME_RMSGQFUL:
            self.rate_control.not_before = max(self.rate_control.not_before, now + self.gateway.throttle_wait)
        if must_report:
            logs.event(
                "smpp-throttled",
                logs.DEBUG,
                peer=bound.session.name,
                rate=round(self.rate_control.rate, 1),
                window=int(bound.window.size),
            )
        return must_report

    def _transmitting(self) -> list[BoundSession]:
        return [bound for bound in self.sessions if bound.open and bound.session.state in TRANSMITTING_STATES]

    def _serve_queue(self) -> None:
        """Serve waiting senders as far as sessions, windows and rate allow; bind another session if one is needed.

        An exception is logged, and the senders are served after a pause: whoever calls this has other work to end.
        """
        try:
            self._assign_sessions()
        except Exception:
            logs.fault("assignment of sessions", peer=self.gateway.name)
            self._serve_queue_at(self.loop.now + FAULT_RETRY_DELAY)

    def _assign_sessions(self) -> None:
        """The steps of ``_serve_queue``."""
        while self._queue:
            if self._queue[0].resumed:  # the deadline of this sender has passed
                self._queue.popleft()
                continue
            now, sessions = self.loop.now, self._transmitting()
            if not sessions:
                if not self._binding and not self._bind(BIND_COMMANDS[self.gateway.bind]):
                    queue, self._queue = self._queue, deque()
                    for suspension in queue:
                        suspension.resume(None)
                return
            due = self.rate_control.earliest_send(now)
            if due > now:
                self._serve_queue_at(due)
                return
            bound = max(sessions, key=lambda bound: bound.window.room)
            if not bound.window.room:
                if len(sessions) < self.gateway.sessions:
                    self._bind(BIND_COMMANDS[self.gateway.bind])
                return
            if bound.session.stream.peer_closed():  # the reading task has not noticed it yet
                self._slow_start = True
                bound.session.close()
                continue
            bound.window.in_flight += 1
            self.rate_control.record_sent(now)
            self._queue.popleft().resume(bound)

    def _serve_queue_at(self, due: int) -> None:
        if self._rate_timer is not None:
            self._rate_timer.cancel()
        self._rate_timer = self.loop.call_at(due, self._serve_queue)

    # Binding

    def _bind(self, command: Command) -> bool:
        """Start to bind a session; true also if a bind is in progress already, whatever its command.

        Returns false during the backoff delay and during shutdown.
        """
        if self._binding:
            return True
        if self._shutting_down or self.backoff.retry_at > self.loop.now:
            return False
        self._binding = True
        self.loop.spawn(self._run_bind, command)
        return True

    def _run_bind(self, command: Command) -> None:
        succeeded = False
        try:
            succeeded = self._connect_and_bind(command)
        except Exception:
            logs.fault("bind", peer=self.gateway.name)
            self._bind_failed("internal error")
        finally:
            self._binding = False
        if succeeded:
            self.backoff.succeeded()
        self.ensure_receiving()
        self._serve_queue()

    def _connect_and_bind(self, command: Command) -> bool:
        """Connect and bind; returns whether it succeeded. A failure starts the backoff delay: see ``bind_on``."""
        deadline = self.loop.now + self._connect_timeout
        stream = self._connect(deadline)
        if stream is None:
            self._bind_failed("no connection")
            return False
        return self.bind_on(stream, command, deadline)

    def _connect(self, deadline: int) -> Stream | None:
        if self.gateway.tls and self.keys is not None:
            from kestrelspar.runtime import tls  # imports ssl, so only if needed

            context = self.keys.client(self.gateway.tls)
            return tls.dial(self.loop, self.buffers, self.gateway.address, deadline, context, self.gateway.server_name)
        sock = connect(self.loop, self.gateway.address, deadline)
        return None if sock is None else Stream(self.loop, sock, self.buffers)

    def bind_on(self, stream: Stream, command: Command, deadline: int) -> bool:
        """Bind on a connection, whichever side opened it; returns whether it succeeded.

        A failure starts the backoff delay, unless the session ended right after its positive response.
        """
        gateway = self.gateway
        session = Session(self.loop, stream, gateway.name, gateway.enquire_link_interval, gateway.response_timeout)
        bound = BoundSession(session, Window(gateway.window))
        self.loop.spawn(self._run_session, bound)
        bind = Pdu(
            command,
            fields={
                "system_id": gateway.system_id,
                "password": gateway.password,
                "interface_version": 0x34,
            },
        )
        try:
            response = session.request(bind, deadline)
        except (NotSentError, SessionLostError, DeadlineExceededError):
            session.close()
            self._bind_failed("no answer")
            return False
        if response.status or response.command != command | p.RESPONSE:
            logs.warn("smpp-bind-refused", peer=gateway.name, status=f"{response.status:#x}")
            session.close()
            self._bind_failed(f"status {response.status:#x}", response.status in PERMANENT_BIND_ERRORS)
            return False
        if session.closed:
            return False
        if self._slow_start:  # a gateway that has just recovered does not get the full window at once
            bound.window.size = max(1.0, gateway.window / SLOW_START_DIVISOR)
            self._slow_start = False
        self.sessions.append(bound)
        logs.event("smpp-bound", peer=gateway.name, how=session.state.value, sessions=len(self.sessions))
        return True

    def accept_outbind(self, command: Command, stream: Stream) -> None:
        """Bind on a connection that the gateway opened (outbind), even during a backoff delay or another bind."""
        if self.bind_on(stream, command, self.loop.now + self.gateway.response_timeout):
            self.backoff.succeeded()
            self._serve_queue()

    def _bind_failed(self, why: str, refused: bool = False) -> None:
        self._slow_start = True
        wait = self.backoff.failed(self.loop.now, refused)
        logs.event("smpp-bind-failed", peer=self.gateway.name, why=why, again_ms=wait // 1000)

    def _run_session(self, bound: BoundSession) -> None:
        """Run a session until its end; then bind another one if it is needed to receive or for waiting senders."""
        try:
            bound.session.run(lambda pdu: self._handle(self, bound, pdu))
        finally:
            if bound in self.sessions:
                self.sessions.remove(bound)
                self._slow_start = self._slow_start or bool(bound.window.in_flight)
            self.ensure_receiving()
            self._serve_queue()

    def is_receiving(self) -> bool:
        """Whether a session is open on which the gateway can send requests."""
        return any(bound.open and bound.session.state in RECEIVING_STATES for bound in self.sessions)

    def ensure_receiving(self) -> None:
        """Bind a receiving session if one is needed and none is open; during a backoff delay, after it."""
        if self._shutting_down or self._binding or not self.needs_receiving() or self.is_receiving():
            return
        command = Command.BIND_RECEIVER if self.gateway.bind == "pair" else BIND_COMMANDS[self.gateway.bind]
        if not self._bind(command):
            self.loop.call_at(max(self.loop.now + 1, self.backoff.retry_at), self.ensure_receiving)

    # Unbinding

    def _schedule_idle_check(self) -> None:
        if self.gateway.idle_unbind and self._idle_timer is None:
            self._idle_timer = self.loop.call_at(self.loop.now + self.gateway.idle_unbind, self._unbind_idle)

    def _unbind_idle(self) -> None:
        """Unbind sessions without submits for the idle time, except for a receiving one that is still needed."""
        self._idle_timer = None
        since = self.loop.now - self.gateway.idle_unbind
        self._unbind_where(lambda bound: bound.last_used_at <= since)
        if any(not bound.window.in_flight and self._may_unbind(bound) for bound in self.sessions):
            self._schedule_idle_check()

    def _may_unbind(self, bound: BoundSession) -> bool:
        """Whether a session may be unbound: it does not receive, another session does, or none has to receive."""
        others = [
            other
            for other in self.sessions
            if other is not bound and other.open and other.session.state in RECEIVING_STATES
        ]
        return bound.session.state not in RECEIVING_STATES or bool(others) or not self.needs_receiving()

    def _unbind_where(self, condition: Callable[[BoundSession], bool]) -> None:
        for bound in [
            bound for bound in self.sessions if bound.open and not bound.window.in_flight and condition(bound)
        ]:
            if self._may_unbind(bound):
                self.sessions.remove(bound)
                self.loop.spawn(bound.session.unbind)

    def close_idle(self) -> None:
        """Unbind the sessions without submits in flight, except for a receiving one that is still needed."""
        self._unbind_where(lambda bound: True)

    def shut_down(self) -> None:
        """Unbind the sessions without submits in flight, and bind no more; the others stay open for their responses."""
        self._shutting_down = True
        for bound in self.sessions:
            if not bound.window.in_flight:
                self.loop.spawn(bound.session.unbind)
