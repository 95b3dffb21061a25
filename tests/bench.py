"""Test bench for tests with sockets: settings, a courier on an event loop, and helpers to run it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path

from kestrelspar.core.courier import Courier
from kestrelspar.core.messages import End, Message
from kestrelspar.journal import Journal
from kestrelspar.runtime.buffers import BufferPool
from kestrelspar.runtime.loop import SECOND, Loop, clock
from snowlock import interface as api

JOURNAL_MAX_BYTES = 3_000_000
CLASSES = (
    api.MessageClass(4 * 10**9, 16 * 10**9, api.Safety.SAFE, worth=1.0, late_worth=0.4, name="reading"),
    api.MessageClass(4 * 10**9, 28 * 10**9, api.Safety.KEYED, window_ns=7_500_000_000, name="work-order"),
    api.MessageClass(3 * 10**9, 16 * 10**9, api.Safety.UNSAFE, worth=3.0, late_worth=0.4, name="payment"),
)
READING, WORK_ORDER, PAYMENT = range(3)


def settings(**overrides: object) -> api.Settings:
    values: dict[str, object] = {
        "classes": CLASSES,
        "slots": 8,
        "routes_apart": (False, True),
        "max_attempts": 8,
        "max_open": 50,
        "tenants": (api.Tenant(1000.0, "harju-vesi"),),
        "zones": ("room-a", "room-b"),
        "idle_ns": 5 * 10**9,
        "kinds": ("utility", "contractor"),
        "columns": ("x0", "x1"),
        "max_retry_after_ns": 2 * 10**9,
        "share_left_column": 0,
        "limit_column": 1,
        "connect_timeout_ns": 1_500_000_000,
    }
    return api.Settings(**(values | overrides))  # type: ignore[arg-type]


class RecordingSender:
    """A sender side that records the final states reported to it."""

    name = "ends"

    def __init__(self) -> None:
        self.ends: list[tuple[str, str]] = []

    def recover(self, message: Message) -> bool:
        return False

    def report_time(self, time_left: int) -> int:
        return 0

    def report_end(self, message: Message, end: End) -> None:
        self.ends.append((message.trace, end.state))


class SkipClock:
    """The monotonic clock plus the time that ``SkippingLoop`` has skipped."""

    def __init__(self) -> None:
        self.skipped = 0  # microseconds

    def __call__(self) -> int:
        return clock() + self.skipped


CLOCK = SkipClock()  # shared, so that the time of a restarted courier does not go back


class SkippingLoop(Loop):
    """An event loop that skips the time until the next timer when nothing else is pending."""

    def turn(self) -> None:
        if not self._ready and self._timers and not self._poll.poll(1):
            CLOCK.skipped += max(0, self._timers[0][0] - CLOCK())
        super().turn()

    def _log_if_held_up(self, turn_time: int, wake_delay: int) -> None:
        """Nothing: the time that is skipped is no delay."""


class CourierTestbed:
    """A courier on an event loop of its own, with its journal in a directory; the test runs in the main greenlet."""

    def __init__(self, state_directory: Path, **overrides: object) -> None:
        self.loop, self.buffers = SkippingLoop(CLOCK), BufferPool()
        self.journal = Journal(str(state_directory), JOURNAL_MAX_BYTES)
        self.courier = Courier(self.loop, settings(**overrides), 7, self.journal)
        self.sender = RecordingSender()
        self.courier.senders["ends"] = self.sender

    def run_until(self, done: Callable[[], object], within: int = 60 * SECOND) -> None:
        """Run the loop until the condition holds; the time limit only keeps a broken test from hanging."""
        deadline = self.loop.now + within
        while not done():
            assert self.loop.now < deadline, "the loop waits for something that does not happen"
            self.loop.turn()

    def run_for(self, duration: int) -> None:
        """Run the loop for exactly this time; the timer at its end keeps the loop from skipping more."""
        fired: list[int] = []
        self.loop.call_at(self.loop.now + duration, lambda: fired.append(1))
        self.run_until(lambda: fired)


def listener() -> tuple[socket.socket, tuple[str, int]]:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(64)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # otherwise skipped time would overtake buffered bytes
    sock.setblocking(False)
    return sock, sock.getsockname()
