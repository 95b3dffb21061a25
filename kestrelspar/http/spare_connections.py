"""Connections to one address that have never carried a request, opened before they are needed.

A new connection may take over a second to come up, may be reset, or may never come up. A request that must arrive in
time therefore uses a connection that is up already. Each carries one request, so that the response on it can only be
its own. Several connections are opened at the same time, and one that is late is waited for while others are opened.

A proxy on the way may accept a connection long before the server has it, so of the ready connections the oldest one is
the most certain to be up. But old connections may also fall silent all at once; then the youngest one is. Whoever takes
one chooses between the two. Silent connections must not use up the number that may be open: where that is reached, one
whose request is unanswered makes room for a new one. That is the latest such request, as nothing tells a silent
connection from a slow server, and a slow server answers the earliest ones first.

After a change of the address, connections to earlier addresses are kept while they are young and there is room, as the
address may be changed back.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, Stream
from kestrelspar.runtime.loop import MS, SECOND, ConnectError, Loop, Suspension, dial

Address = tuple[str, int]
CONNECT_TIMEOUT = 2 * SECOND  # connections may come up 1.5 s late
MAX_SPARE_AGE = 30 * SECOND  # an older one may have been forgotten by a device on the way
INITIAL_OPEN_DELAY, MAX_OPEN_DELAY = 25 * MS, 250 * MS  # after a connection that failed; doubles
IDLE_OPEN_DELAY = 2 * SECOND  # the same while no connection is needed
DEMAND_TIME = 5 * SECOND  # from the last request for a connection on, none is needed
# After this time, or after this multiple of the slowest of the latest answers, an unanswered request may lose its
# connection to a new one.
UNANSWERED_TIME, SLOW_ANSWER_FACTOR = 300 * MS, 2


class Choice(Enum):
    """Which of the ready connections is taken."""

    OLDEST = "oldest"
    YOUNGEST = "youngest"

    @property
    def other(self) -> Choice:
        """The other one."""
        return Choice.YOUNGEST if self is Choice.OLDEST else Choice.OLDEST


@dataclass(eq=False, frozen=True, slots=True)
class SpareConnection:
    """A connection, and the address that it was opened to."""

    stream: Stream
    address: Address
    came_up_at: int  # microseconds of the loop's clock


class SpareConnections:
    """Keeps half of ``max_connections`` ready; the others may be in use, or opened beside those that are late."""

    def __init__(self, loop: Loop, buffers: BufferPool, address: Address, max_connections: int) -> None:
        self.loop, self.buffers, self.address = loop, buffers, address
        self._max_connections = max_connections
        self._ready: list[SpareConnection] = []  # oldest first
        self._opening: dict[Address, int] = {}  # by address: connections that are being opened
        self._in_use: dict[SpareConnection, int] = {}  # and when each was taken, the earliest first
        self._slowest_answer = 0  # microseconds that a request took; halves with each quicker answer
        self._failures = 0  # in a row
        self._may_open_at = 0  # after failures
        self._needed_until = 0
        self._waiting: Suspension | None = None  # the task in ``wait``

    @property
    def scarce(self) -> bool:
        """Whether fewer connections are ready than are kept while nothing happens."""
        return len(self._current()) < self._max_connections // 2

    def _current(self) -> list[SpareConnection]:
        return [spare for spare in self._ready if spare.address == self.address]

    def _previous(self) -> list[SpareConnection]:
        return [spare for spare in self._ready if spare.address != self.address]

    def counts(self) -> str:
        """The numbers of connections, for the log: ready, ready at earlier addresses, being opened, in use."""
        opening = sum(self._opening.values())
        return f"{len(self._current())}+{len(self._previous())}+{opening}+{len(self._in_use)}"

    def refill(self) -> None:
        """Open the connections to the current address that are missing; one while they fail and none is needed."""
        wanted = self._max_connections // 2 if self._is_needed() or not self._failures else 1
        while len(self._current()) + self._opening.get(self.address, 0) < wanted and self._may_open():
            self._open()

    def _is_needed(self) -> bool:
        return self.loop.now < self._needed_until

    def _note_need(self) -> None:
        """End the longer delay of a time in which no connection was needed."""
        if not self._is_needed():
            self._may_open_at = min(self._may_open_at, self.loop.now)
        self._needed_until = self.loop.now + DEMAND_TIME

    def _may_open(self) -> bool:
        in_all = len(self._ready) + sum(self._opening.values()) + len(self._in_use)
        previous = self._previous()
        if in_all >= self._max_connections and len(previous) > self._max_connections // 4:
            self._close(previous[-1])
            in_all -= 1
        elif in_all >= self._max_connections and self._give_up_unanswered():
            in_all -= 1
        return in_all < self._max_connections and self.loop.now >= self._may_open_at

    def _give_up_unanswered(self) -> bool:
        """Close the connection of the latest request that has been unanswered for long, but not that of the earliest.

        Returns false if there is none.
        """
        unanswered_time = max(UNANSWERED_TIME, SLOW_ANSWER_FACTOR * self._slowest_answer)
        for spare in list(self._in_use)[:0:-1]:
            if self._in_use[spare] <= self.loop.now - unanswered_time:
                del self._in_use[spare]
                spare.stream.close()
                return True
        return False

    def take(self, choice: Choice = Choice.OLDEST) -> SpareConnection | None:
        """A connection for one request, which ``release`` closes; None if none is ready.

        It may be given up, which closes it, once its request has been unanswered for long.
        """
        self._note_need()
        candidates = self._current()
        taken = None
        for spare in candidates if choice is Choice.OLDEST else reversed(candidates):
            if spare.stream.is_reusable():
                taken = spare
                self._ready.remove(spare)
                self._in_use[spare] = self.loop.now
                break
            self._close(spare)
        self.refill()
        return taken

    def release(self, spare: SpareConnection, is_answered: bool = True) -> bool:
        """Close a connection that ``take`` has returned; false if it was given up meanwhile, to make room.

        ``is_answered``: its request has got a response.
        """
        taken_at = self._in_use.pop(spare, None)
        if taken_at is not None and is_answered:
            self._slowest_answer = max(self.loop.now - taken_at, self._slowest_answer // 2)
        spare.stream.close()
        self.refill()
        return taken_at is not None

    def wait(self, deadline: int) -> None:
        """Wait until a connection is ready, at most until ``deadline``; then open one more, beside those that are late.

        Only one task may wait.
        """
        if self._current():
            return
        self._waiting = Suspension(self.loop)
        self.loop.park(self._waiting, deadline)
        self._waiting = None
        if not self._current() and self._may_open():
            self._open()

    def move(self, address: Address) -> None:
        """Use another address from now on. Connections to it from before an earlier move are used again."""
        self.address = address
        self._failures = self._may_open_at = 0
        self.refill()

    def _open(self) -> None:
        self._opening[self.address] = self._opening.get(self.address, 0) + 1
        self.loop.spawn(self._connect, self.address)

    def _connect(self, address: Address) -> None:
        """Open one connection, and watch it until it is taken."""
        try:
            sock = dial(self.loop, address, self.loop.now + CONNECT_TIMEOUT)
        except ConnectError as error:
            if address == self.address:
                self._note_failure(error)
            return
        finally:
            self._opening[address] -= 1
        spare = SpareConnection(Stream(self.loop, sock, self.buffers), address, self.loop.now)
        self._ready.append(spare)
        if address == self.address and self._failures:
            self._failures = self._may_open_at = 0
            self.refill()
        if self._waiting is not None:
            self._waiting.resume()
        self._watch(spare)

    def _note_failure(self, error: ConnectError) -> None:
        """Open the next connection after a delay."""
        needed_delay = min(MAX_OPEN_DELAY, INITIAL_OPEN_DELAY << min(self._failures, 10))
        delay = needed_delay if self._is_needed() else IDLE_OPEN_DELAY
        if not self._failures:
            logs.warn("notices-not-connected", why=str(error), again_ms=delay // MS)
        self._failures += 1
        self._refill_after(delay)

    def _refill_after(self, delay: int) -> None:
        self._may_open_at = self.loop.now + delay
        self.loop.call_at(self._may_open_at, self.refill)

    def _watch(self, spare: SpareConnection) -> None:
        """Replace a spare connection that its peer closes, or that sends bytes nobody has requested, or that is old."""
        self.loop.readable(spare.stream.sock, spare.came_up_at + MAX_SPARE_AGE)
        if spare not in self._ready:
            return
        self._close(spare)
        if spare.address != self.address:
            return
        if (
            self.loop.now < spare.came_up_at + SECOND
        ):  # a peer that closes new connections at once is not asked in a loop
            self._refill_after(INITIAL_OPEN_DELAY if self._is_needed() else IDLE_OPEN_DELAY)
        else:
            self.refill()

    def _close(self, spare: SpareConnection) -> None:
        self._ready.remove(spare)
        spare.stream.close()
