"""Connections to one address that have never carried a request, opened before they are needed.

A new connection may take over a second to come up, may be reset, or may never come up. A request that must arrive in
time therefore uses a connection that is up already. Each carries one request, so that the response on it can only be
its own. Several connections are opened at the same time, and one that is late is waited for while others are opened.

A proxy on the way may accept a connection long before the server has it, so of the ready connections the oldest one is
the most certain to be up. But old connections may also fall silent all at once; then the youngest one is.
"""

from __future__ import annotations

from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, Stream
from kestrelspar.runtime.loop import MS, SECOND, ConnectError, Loop, Suspension, dial

CONNECT_TIMEOUT = 2 * SECOND  # connections may come up 1.5 s late
MAX_SPARE_AGE = 30 * SECOND  # an older one may have been forgotten by a device on the way
BUSY_TIME = 5 * SECOND  # after a connection was taken, more spare ones are kept
INITIAL_OPEN_DELAY, MAX_OPEN_DELAY = 25 * MS, 250 * MS  # after a connection that failed; doubles


class SpareConnections:
    """Keeps connections ready: a quarter of ``max_connections``, and half of them while they are in demand.

    ``max_connections`` bounds those that are opening, ready or in use, all together.
    """

    def __init__(self, loop: Loop, buffers: BufferPool, address: tuple[str, int], max_connections: int) -> None:
        self.loop, self.buffers, self.address = loop, buffers, address
        self._max_connections = max_connections
        self._ready: list[Stream] = []  # oldest first
        self._opening = 0
        self._in_use: set[Stream] = set()
        self._busy_until = 0
        self._failures = 0  # in a row
        self._may_open_at = 0  # after failures
        self._move_count = 0  # results that belong to an earlier address are dropped
        self._waiting: Suspension | None = None  # the task in ``wait``
        self.opened = 0  # number of connections that came up

    @property
    def scarce(self) -> bool:
        """Whether fewer connections are ready than are kept while they are in demand."""
        return len(self._ready) < self._max_connections // 2

    def refill(self) -> None:
        """Open as many connections as are missing."""
        wanted = self._max_connections // (2 if self.loop.now < self._busy_until else 4)
        while len(self._ready) + self._opening < wanted and self._may_open():
            self._open()

    def _may_open(self) -> bool:
        in_all = len(self._ready) + self._opening + len(self._in_use)
        return in_all < self._max_connections and self.loop.now >= self._may_open_at

    def take(self, youngest: bool = False) -> Stream | None:
        """The oldest or the youngest connection, for one request; None if none is ready. ``release`` closes it."""
        self._busy_until = self.loop.now + BUSY_TIME
        stream = None
        while stream is None and self._ready:
            stream = self._ready.pop(-1 if youngest else 0)
            if not stream.is_reusable():
                stream.close()
                stream = None
        if stream is not None:
            self._in_use.add(stream)
        self.refill()
        return stream

    def release(self, stream: Stream) -> None:
        """Close a connection that ``take`` has returned."""
        self._in_use.discard(stream)
        stream.close()
        self.refill()

    def wait(self, deadline: int) -> None:
        """Wait until a connection is ready, at most until ``deadline``; then open one more, beside those that are late.

        Only one task may wait.
        """
        if self._ready:
            return
        self._waiting = Suspension(self.loop)
        self.loop.park(self._waiting, deadline)
        self._waiting = None
        if not self._ready and self._may_open():
            self._open()

    def move(self, address: tuple[str, int]) -> None:
        """Use another address from now on; all connections to the old one are closed."""
        self.address, self._move_count = address, self._move_count + 1
        self._opening = self._failures = self._may_open_at = 0
        for stream in [*self._ready, *self._in_use]:
            stream.close()
        self._ready.clear()
        self._in_use.clear()
        self.refill()

    def _open(self) -> None:
        self._opening += 1
        self.loop.spawn(self._connect, self._move_count)

    def _connect(self, move_count: int) -> None:
        """Open one connection, and watch it until it is taken."""
        try:
            sock = dial(self.loop, self.address, self.loop.now + CONNECT_TIMEOUT)
        except ConnectError as error:
            if move_count == self._move_count:
                self._opening -= 1
                self._note_failure(error)
            return
        stream = Stream(self.loop, sock, self.buffers)
        if move_count != self._move_count:
            stream.close()
            return
        self._opening -= 1
        self._failures = 0
        self.opened += 1
        self._ready.append(stream)
        if self._waiting is not None:
            self._waiting.resume()
        self._watch(stream)

    def _note_failure(self, error: ConnectError) -> None:
        """Open the next connection after a delay."""
        delay = min(MAX_OPEN_DELAY, INITIAL_OPEN_DELAY << min(self._failures, 10))
        if not self._failures:
            logs.warn("notices-not-connected", why=str(error), again_ms=delay // MS)
        self._failures += 1
        self._may_open_at = self.loop.now + delay
        self.loop.call_at(self._may_open_at, self.refill)

    def _watch(self, stream: Stream) -> None:
        """Replace a spare connection that its peer closes, or that sends bytes nobody has requested, or that is old."""
        came_up_at = self.loop.now
        self.loop.readable(stream.sock, came_up_at + MAX_SPARE_AGE)
        if stream not in self._ready:
            return
        self._ready.remove(stream)
        stream.close()
        if self.loop.now < came_up_at + SECOND:  # a peer that closes new connections at once is not asked in a loop
            self._may_open_at = self.loop.now + MAX_OPEN_DELAY
            self.loop.call_at(self._may_open_at, self.refill)
        else:
            self.refill()
