"""The event loop: greenlets scheduled over select.poll, timers, a clock, and non-blocking sockets.

Times are integer microseconds of the monotonic clock, which is read once per turn.
"""

from __future__ import annotations

import contextlib
import errno
import heapq
import itertools
import os
import select
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import getcurrent, greenlet

from kestrelspar.runtime import logs

MS = 1_000  # a millisecond in microseconds
SECOND = 1_000 * MS
READ = select.POLLIN
WRITE = select.POLLOUT
BACKLOG = 1024  # length of the listen queue, in connections
# Errors of connect() that come from this machine: no port, no buffer, no descriptor, no route, no permission.
LOCAL_CONNECT_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EACCES,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
    }
)
POLL_RETRY_DELAY_S = 0.001  # after a failed poll()
HELD_UP_TIME = 150 * MS  # a turn that takes longer, or begins later than it should, is logged
TIMED_OUT = object()  # result of ``Loop.park`` after its deadline, or after ``Loop.expire_read``


def clock() -> int:
    """The monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


def _name(call: Callable[..., None]) -> str:
    """The name of a call in the log."""
    return str(getattr(call, "__qualname__", call))


class Timer:
    """A scheduled call that can be cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None] | None) -> None:
        self.call = call

    def cancel(self) -> None:
        """Cancel the call."""
        self.call = None


class Suspension:
    """A suspension of the task that creates it; only the first ``resume`` has an effect.

    A task that is resumed before it parks does not wait. A task that never parks on the suspension is not affected.
    """

    __slots__ = ("_loop", "_task", "parked", "resumed", "value")

    def __init__(self, loop: Loop) -> None:
        self._loop, self._task, self.resumed, self.parked = loop, getcurrent(), False, False
        self.value: Any = None  # given to ``resume``

    def resume(self, value: Any = None) -> None:
        """Resume the task; its ``Loop.park`` returns this value."""
        if self.resumed:
            return
        self.resumed, self.value = True, value
        if self.parked:
            self._loop.schedule(self._task, value)


class Loop:
    """Runs tasks; each turn polls the sockets, reads the clock, and runs due timers and ready tasks."""

    def __init__(self, clock: Callable[[], int] = clock) -> None:
        self.clock = clock
        self.now = clock()
        self._poll = select.poll()
        self._waits: dict[int, dict[int, list[Suspension]]] = {}  # by descriptor, and by READ or WRITE
        self._timers: list[tuple[int, int, Timer]] = []  # heap of time, sequence number, timer
        self._sequence = itertools.count()  # orders timers of the same time
        self._ready: deque[tuple[greenlet, Any]] = deque()
        self._scheduler: greenlet = getcurrent()
        self._stopped = False
        # Called at the end of each turn, outside of any task: see ``call_at``.
        self.turn_end_calls: list[Callable[[], None]] = []

    def spawn(self, call: Callable[..., None], *args: Any) -> None:
        """Start a task; an exception ends the task and is logged, and never ends the process."""

        def run(_: Any) -> None:
            try:
                call(*args)
            except Exception:
                logs.fault(_name(call))

        self.schedule(greenlet(run, self._scheduler), None)

    def schedule(self, task: greenlet, value: Any) -> None:
        """Run the task in this turn, or in the next one if this turn is already running its tasks or past that."""
        self._ready.append((task, value))

    def call_at(self, when: int, call: Callable[[], None]) -> Timer:
        """Schedule a call at the given time, or as soon as possible after it.

        The call runs outside of any task: it must not suspend.
        """
        timer = Timer(call)
        heapq.heappush(self._timers, (when, next(self._sequence), timer))
        return timer

    def park(self, suspension: Suspension, deadline: int | None = None) -> Any:
        """Suspend the current task until it is resumed; returns the value given, or ``TIMED_OUT`` at the deadline."""
        if suspension.resumed:
            return suspension.value
        suspension.parked = True
        timer = self.call_at(deadline, lambda: suspension.resume(TIMED_OUT)) if deadline is not None else None
        value = self._scheduler.switch()
        if timer is not None:
            timer.cancel()
        return value

    def sleep(self, duration: int) -> None:
        """Suspend the current task for a number of microseconds."""
        self.park(Suspension(self), self.now + duration)

    def next_turn(self) -> None:
        """Let the other tasks that are ready run, and go on in the next turn."""
        self.schedule(getcurrent(), None)
        self._scheduler.switch()

    def readable(self, sock: socket.socket, deadline: int | None) -> bool:
        """Wait until the socket is readable or closed; false after the deadline."""
        return self._wait(sock, READ, deadline)

    def writable(self, sock: socket.socket, deadline: int | None) -> bool:
        """Wait until the socket is writable or has failed; false after the deadline."""
        return self._wait(sock, WRITE, deadline)

    def _wait(self, sock: socket.socket, mask: int, deadline: int | None) -> bool:
        """Wait for one kind of readiness; false after the deadline. All tasks that wait for it resume."""
        descriptor, suspension = sock.fileno(), Suspension(self)
        if descriptor < 0:
            return True  # already closed: the caller's read or write will fail
        waits = self._waits.setdefault(descriptor, {})
        waits.setdefault(mask, []).append(suspension)
        self._register(descriptor)
        value = self.park(suspension, deadline)
        if value is TIMED_OUT and suspension in waits.get(mask, ()):
            waits[mask].remove(suspension)
            if not waits[mask]:
                del waits[mask]
            self._register(descriptor)
        return value is not TIMED_OUT

    def _register(self, descriptor: int) -> None:
        """Register with poll exactly those events of the descriptor that tasks wait for."""
        waits = self._waits.get(descriptor)
        if waits:
            self._poll.register(descriptor, sum(waits))
        elif waits is not None:
            del self._waits[descriptor]
            self._poll.unregister(descriptor)

    def unregister(self, sock: socket.socket) -> None:
        """Unregister a socket that is about to be closed; tasks that wait for it resume, and find it closed."""
        waits = self._waits.pop(sock.fileno(), None)
        if waits is not None:
            self._poll.unregister(sock.fileno())
            for suspension in itertools.chain(*waits.values()):
                suspension.resume(None)

    def expire_read(self, sock: socket.socket) -> None:
        """Resume the tasks that wait to read from the socket as if their deadlines had passed."""
        for suspension in self._waits.get(sock.fileno(), {}).get(READ, ()):
            suspension.resume(TIMED_OUT)

    def stop(self) -> None:
        """End ``run`` after the turn that is running, or before the next one."""
        self._stopped = True

    def run(self) -> None:
        """Run turns until stopped."""
        while not self._stopped:
            self.turn()

    def turn(self) -> None:
        """Run one turn: poll sockets, read the clock, run due timers, ready tasks and ``turn_end_calls``."""
        timeout_ms, polled_at = 0, self.clock()
        if not self._ready:
            timeout_ms = 1000
            if self._timers:
                remaining = self._timers[0][0] - polled_at
                timeout_ms = min(timeout_ms, max(0, -(-remaining // MS)))
        try:
            events = self._poll.poll(timeout_ms)
        except OSError as error:  # ENOMEM; timers and ready tasks go on
            logs.error("poll-failed", why=str(error))
            time.sleep(POLL_RETRY_DELAY_S)
            events = []
        last_turn_at, self.now = self.now, self.clock()
        self._log_if_held_up(polled_at - last_turn_at, self.now - polled_at - timeout_ms * MS)
        for descriptor, ready_mask in events:
            waits = self._waits.get(descriptor, {})
            failed = ready_mask & ~(READ | WRITE)
            for mask in (READ, WRITE):
                if (ready_mask & mask or failed) and mask in waits:
                    for suspension in waits.pop(mask):
                        suspension.resume(None)
            self._register(descriptor)
        while self._timers and self._timers[0][0] <= self.now:
            call = heapq.heappop(self._timers)[2].call
            if call is not None:
                self._run_call(call)
        for _ in range(len(self._ready)):
            task, value = self._ready.popleft()
            task.switch(value)
        for call in self.turn_end_calls:
            self._run_call(call)

    def _log_if_held_up(self, turn_time: int, wake_delay: int) -> None:
        """Log that the last turn took long, in its own work or in a system call, or that the process did not run."""
        if turn_time > HELD_UP_TIME or wake_delay > HELD_UP_TIME:
            logs.warn("held-up", turn_ms=turn_time // MS, wake_late_ms=max(0, wake_delay) // MS)

    @staticmethod
    def _run_call(call: Callable[[], None]) -> None:
        """Run a call outside of any task; an exception in it is logged, and never ends the process."""
        try:
            call()
        except Exception:
            logs.fault(_name(call))


def bind(address: tuple[str, int]) -> socket.socket:
    """Create a non-blocking socket that is bound to this address only, and does not listen yet."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


class ConnectError(Exception):
    """No TCP connection was opened.

    ``is_local``: for a reason of this machine, which says nothing about the peer.
    """

    def __init__(self, why: str, is_local: bool) -> None:
        super().__init__(why)
        self.is_local = is_local


def disable_send_delay(sock: socket.socket) -> None:
    """Have small writes sent at once; if the system refuses that, some of them are sent later."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def dial(loop: Loop, address: tuple[str, int], deadline: int) -> socket.socket:
    """Open a TCP connection; ``ConnectError`` if that fails or the deadline, in microseconds, passes first."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise ConnectError(str(error), is_local=True) from error
    try:
        _connect(loop, sock, address, deadline)
    except OSError as error:
        close_socket(loop, sock)
        raise ConnectError(str(error), error.errno in LOCAL_CONNECT_ERRORS) from error
    except Exception as error:  # an address that is none, such as a host with an empty label
        close_socket(loop, sock)
        raise ConnectError(f"{address[0]!r:.60}: {error}", is_local=False) from error
    return sock


def _connect(loop: Loop, sock: socket.socket, address: tuple[str, int], deadline: int) -> None:
    sock.setblocking(False)
    disable_send_delay(sock)
    status = sock.connect_ex(address)
    if status in (errno.EINPROGRESS, errno.EINTR):  # after EINTR, the system goes on connecting
        if not loop.writable(sock, deadline):
            raise TimeoutError(errno.ETIMEDOUT, "not established in time")
        status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if status:
        raise OSError(status, os.strerror(status))


def connect(loop: Loop, address: tuple[str, int], deadline: int) -> socket.socket | None:
    """Open a TCP connection; None if it failed or was not established before the deadline.

    A failure for a reason of this machine is logged.
    """
    try:
        return dial(loop, address, deadline)
    except ConnectError as error:
        if error.is_local:
            logs.warn("no-socket", why=str(error))
        return None


def close_socket(loop: Loop, sock: socket.socket) -> None:
    """Unregister and close a socket. Linux releases its descriptor even if it reports an error."""
    loop.unregister(sock)
    with contextlib.suppress(OSError):
        sock.close()
