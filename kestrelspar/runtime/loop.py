"""The scheduler: greenlets over select.poll, timers, the clock, and non-blocking sockets.

Time is a whole number of microseconds on the monotonic clock, read once a turn.
"""

from __future__ import annotations

import heapq
import itertools
import select
import socket
import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import getcurrent, greenlet

from kestrelspar.runtime import logs

MS = 1_000
SECOND = 1_000 * MS
READ = select.POLLIN
WRITE = select.POLLOUT
BACKLOG = 512  # connections that wait to be accepted
LATE = object()  # what a parked task gets when its deadline came first


def clock() -> int:
    """The monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


class Timer:
    """A call at a time; ``cancel`` makes it void."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None] | None) -> None:
        self.call = call

    def cancel(self) -> None:
        """Void the timer."""
        self.call = None


class Parking:
    """One stop of one task: whoever resumes it first counts, later calls are void."""

    __slots__ = ("_loop", "_task", "given")

    def __init__(self, loop: Loop) -> None:
        self._loop, self._task, self.given = loop, getcurrent(), False

    def resume(self, value: Any = None) -> None:
        """Let the task go on, with this value."""
        if not self.given:
            self.given = True
            self._loop.soon(self._task, value)


class Loop:
    """Runs tasks; each turn reads the clock, polls, and runs what is ready."""

    def __init__(self, clock: Callable[[], int] = clock) -> None:
        self.clock = clock
        self.now = clock()
        self._poll = select.poll()
        self._waits: dict[int, dict[int, Parking]] = {}  # by descriptor and READ or WRITE
        self._timers: list[tuple[int, int, Timer]] = []
        self._order = itertools.count()
        self._ready: deque[tuple[greenlet, Any]] = deque()
        self._hub: greenlet = getcurrent()
        self._stopped = False
        self.at_turn_end: list[Callable[[], None]] = []  # called when a turn's tasks have run

    def spawn(self, call: Callable[..., None], *given: Any) -> None:
        """Start a task; a fault in it ends it with a log line, never the program."""

        def run(_: Any) -> None:
            try:
                call(*given)
            except Exception:
                logs.error("fault", task=str(getattr(call, "__qualname__", call)), why=traceback.format_exc())

        self.soon(greenlet(run, self._hub), None)

    def soon(self, task: greenlet, value: Any) -> None:
        """Switch to the task in this turn, or in the next one."""
        self._ready.append((task, value))

    def at(self, when: int, call: Callable[[], None]) -> Timer:
        """Call at or after that time."""
        timer = Timer(call)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def park(self, parking: Parking, deadline: int | None = None) -> Any:
        """Stop until resumed; ``LATE`` if the deadline comes first."""
        timer = self.at(deadline, lambda: parking.resume(LATE)) if deadline is not None else None
        value = self._hub.switch()
        if timer is not None:
            timer.cancel()
        return value

    def sleep(self, span: int) -> None:
        """Stop for so long."""
        self.park(Parking(self), self.now + span)

    def readable(self, sock: socket.socket, deadline: int | None) -> bool:
        """Wait until the socket can be read, or has ended."""
        return self._wait(sock, READ, deadline)

    def writable(self, sock: socket.socket, deadline: int | None) -> bool:
        """Wait until the socket can be written, or has failed."""
        return self._wait(sock, WRITE, deadline)

    def _wait(self, sock: socket.socket, mask: int, deadline: int | None) -> bool:
        """Wait for one kind of readiness; false when the deadline comes first."""
        descriptor, parking = sock.fileno(), Parking(self)
        if descriptor < 0:
            return True  # closed meanwhile: the caller's read or write tells
        waits = self._waits.setdefault(descriptor, {})
        waits[mask] = parking
        self._watch(descriptor)
        value = self.park(parking, deadline)
        if value is LATE and waits.get(mask) is parking:
            del waits[mask]
            self._watch(descriptor)
        return value is not LATE

    def _watch(self, descriptor: int) -> None:
        """Have poll look for just what tasks wait for."""
        waits = self._waits.get(descriptor)
        if waits:
            self._poll.register(descriptor, sum(waits))
        elif waits is not None:
            del self._waits[descriptor]
            self._poll.unregister(descriptor)

    def forget(self, sock: socket.socket) -> None:
        """The socket is about to be closed: those who wait on it go on, and find it closed."""
        waits = self._waits.pop(sock.fileno(), None)
        if waits is not None:
            self._poll.unregister(sock.fileno())
            for parking in waits.values():
                parking.resume(None)

    def expire(self, sock: socket.socket) -> None:
        """The time of those who wait to read from the socket is over."""
        parking = self._waits.get(sock.fileno(), {}).get(READ)
        if parking is not None:
            parking.resume(LATE)

    def stop(self) -> None:
        """End ``run`` after this turn."""
        self._stopped = True

    def run(self) -> None:
        """Turn until stopped."""
        while not self._stopped:
            self.turn()

    def turn(self) -> None:
        """One turn: the clock, sockets, timers, tasks, and what is to be done at its end."""
        wait = 0
        if not self._ready:
            wait = 1000
            if self._timers:
                ahead = self._timers[0][0] - self.clock()
                wait = min(wait, max(0, -(-ahead // MS)))
        events = self._poll.poll(wait)
        self.now = self.clock()
        for descriptor, what in events:
            waits = self._waits.get(descriptor, {})
            failed = what & ~(READ | WRITE)
            for mask in (READ, WRITE):
                if (what & mask or failed) and mask in waits:
                    waits.pop(mask).resume(None)
            self._watch(descriptor)
        while self._timers and self._timers[0][0] <= self.now:
            call = heapq.heappop(self._timers)[2].call
            if call is not None:
                call()
        for _ in range(len(self._ready)):
            task, value = self._ready.popleft()
            task.switch(value)
        for call in self.at_turn_end:
            call()


def bind(address: tuple[str, int]) -> socket.socket:
    """A socket on this address only, which takes no connections before its ``listen`` is called."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.setblocking(False)
    return sock


def connect(loop: Loop, address: tuple[str, int], deadline: int) -> socket.socket | None:
    """A connection, or nothing if it was refused or did not come up in time."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        logs.warn("no-socket", why=str(error))
        return None
    sock.setblocking(False)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect(address)
    except BlockingIOError:
        if loop.writable(sock, deadline) and not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return sock
    except OSError:
        pass
    else:
        return sock
    loop.forget(sock)
    sock.close()
    return None
