"""Idle connections to next hops, kept so that a response can't be taken for the response to another call.

HTTP/1.1 responses carry nothing that names their request. On a connection that has carried a call, bytes that arrive
late, such as a copy of the earlier response, look like the response to the next call. The pool therefore follows these
rules:

- A connection rests for ``REST`` after a response before it is used again. Late bytes that arrive in this time are
  found, and the connection is closed.
- Of the connections that have rested, the one used last is taken, and those left over expire. A call whose effect may
  not be repeated takes the one that has rested longest.
- Bytes that no call has requested make the endpoint distrusted for ``DISTRUST_TIME``: its idle connections are closed,
  and each call to it uses a connection of its own, whose first response can only be its own.
- If these bytes were a response, late copies may follow from any endpoint. For ``DISTRUST_TIME``, all connections rest
  for ``SUSPICIOUS_REST``, and calls whose effect may not be repeated use connections that have never carried a call.
"""

from __future__ import annotations

from dataclasses import dataclass

from kestrelspar.core.transport_map import NextHop
from kestrelspar.http import parser
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop

REST = 300 * MS  # from the end of a response to the next use of its connection
SUSPICIOUS_REST = 2 * SECOND  # the same while any endpoint has recently sent a response that no call requested
DISTRUST_TIME = 60 * SECOND  # from the last unrequested bytes
REAP_INTERVAL = 200 * MS  # between searches for idle connections that have expired or were closed

PoolKey = tuple[bytes, tuple[str, int]]  # endpoint id and address


@dataclass(frozen=True, slots=True)
class PooledConnection:
    """A connection without a call."""

    stream: Stream
    since: int  # when it was opened, or its last response was read, in microseconds of the loop's clock
    has_carried_call: bool = True


def _key(hop: NextHop) -> PoolKey:
    return hop.endpoint.id, hop.address


def _begins_with_status_line(stream: Stream) -> bool:
    """Whether the unread bytes begin with a complete status line, and so could be taken for a response."""
    try:
        return parser.status(memoryview(stream.peek())) is not None
    except parser.MalformedMessageError:
        return False


class ConnectionPool:
    """The idle connections of one carrier, at most ``max_idle``, each for at most ``idle_timeout`` microseconds."""

    def __init__(self, loop: Loop, max_idle: int, idle_timeout: int) -> None:
        self.loop, self._max_idle, self._idle_timeout = loop, max_idle, idle_timeout
        # Oldest first. An entry without connections is removed.
        self._idle: dict[PoolKey, list[PooledConnection]] = {}
        self._count = 0
        self._distrusted_until: dict[PoolKey, int] = {}
        self._suspicious_until = 0
        loop.spawn(self._close_expired)

    def acquire(self, hop: NextHop, may_not_repeat: bool = False) -> PooledConnection | None:
        """Take a connection that may carry the next call; None if there is none.

        ``may_not_repeat``: the effect of the call may not be repeated.
        """
        key = _key(hop)
        while (connections := self._idle.get(key)) is not None:
            index = self._choose(connections, may_not_repeat)
            if index is None:
                return None
            connection = connections.pop(index)
            self._count -= 1
            if not connections:
                del self._idle[key]
            if self._is_usable(key, connection):
                return connection
        return None

    def _choose(self, connections: list[PooledConnection], may_not_repeat: bool) -> int | None:
        """The index of the connection to be used next; None if none has rested for long enough."""
        suspicious = self._suspicious_until > self.loop.now
        latest = self.loop.now - (SUSPICIOUS_REST if suspicious else REST)
        indexes = range(len(connections))
        for index in indexes if may_not_repeat else reversed(indexes):
            connection = connections[index]
            has_rested = connection.since <= latest and not (suspicious and may_not_repeat)
            if has_rested or not connection.has_carried_call:
                return index
        return None

    def _is_usable(self, key: PoolKey, connection: PooledConnection) -> bool:
        """Whether an idle connection may be used; closes it otherwise, and notes unrequested bytes."""
        if connection.stream.is_reusable():
            # A request on a connection that the next hop closes meanwhile would end with a reset.
            if self.loop.now - connection.since < self._idle_timeout:
                return True
        elif connection.stream.has_input():
            self._distrust(key, self.loop.now - connection.since, connection.stream)
        connection.stream.close()
        return False

    def release(self, hop: NextHop, stream: Stream) -> None:
        """Keep a connection whose response has been read completely, or close it if it may not be used again.

        If there are then too many, the one that has been idle for longest is closed.
        """
        key = _key(hop)
        if not stream.is_reusable():
            if stream.has_input():
                self._distrust(key, 0, stream)
            stream.close()
            return
        self._keep(key, PooledConnection(stream, self.loop.now))

    def release_unused(self, hop: NextHop, connection: PooledConnection) -> None:
        """Keep a connection that was acquired, or opened, and on which nothing was sent since."""
        self._keep(_key(hop), connection)

    def _keep(self, key: PoolKey, connection: PooledConnection) -> None:
        if self._is_distrusted(key):
            connection.stream.close()
            return
        connections = self._idle.setdefault(key, [])
        at = len(connections)
        while at and connections[at - 1].since > connection.since:
            at -= 1
        connections.insert(at, connection)
        self._count += 1
        if self._count > self._max_idle:
            self._close_oldest()

    def _close_oldest(self) -> None:
        key = min(self._idle, key=lambda key: self._idle[key][0].since)
        self._idle[key].pop(0).stream.close()
        self._count -= 1
        if not self._idle[key]:
            del self._idle[key]

    # Trust

    def is_distrusted(self, hop: NextHop) -> bool:
        """Whether the endpoint has sent unrequested bytes recently, so that each call needs a new connection."""
        return self._is_distrusted(_key(hop))

    def note_unrequested_bytes(self, hop: NextHop, stream: Stream) -> None:
        """Distrust an endpoint that has sent bytes which no call had requested, and which are unread."""
        self._distrust(_key(hop), 0, stream)

    def _is_distrusted(self, key: PoolKey) -> bool:
        return self._distrusted_until.get(key, 0) > self.loop.now

    def _distrust(self, key: PoolKey, rested: int, stream: Stream) -> None:
        """Distrust an endpoint for a while; ``rested``: microseconds for which the connection had rested."""
        until = self.loop.now + DISTRUST_TIME
        is_response = _begins_with_status_line(stream)
        if is_response:
            self._suspicious_until = until
        if not self._is_distrusted(key):
            closed = self._close_all(key)
            logs.warn(
                "unrequested-bytes",
                hop=key[0].decode("utf-8", "replace"),
                response=is_response,
                rested_ms=rested // MS,
                closed=closed,
                distrusted_ms=DISTRUST_TIME // MS,
            )
        self._distrusted_until[key] = until

    # Closing

    def close_idle(self, hop: NextHop) -> None:
        """Close the idle connections to the next hop."""
        self._close_all(_key(hop))

    def _close_all(self, key: PoolKey) -> int:
        """Close the idle connections of one endpoint; returns how many."""
        connections = self._idle.pop(key, [])
        for connection in connections:
            connection.stream.close()
        self._count -= len(connections)
        return len(connections)

    def _close_expired(self) -> None:
        """Close connections that were idle for too long, or that the next hop has closed or sent bytes on."""
        while True:
            self.loop.sleep(REAP_INTERVAL)
            for key in list(self._idle):
                with logs.contained("search for expired connections"):
                    self._close_unusable(key)
            for key, until in list(self._distrusted_until.items()):
                if until <= self.loop.now:
                    del self._distrusted_until[key]

    def _close_unusable(self, key: PoolKey) -> None:
        connections = self._idle.pop(key, [])
        self._count -= len(connections)
        usable = [connection for connection in connections if self._is_usable(key, connection)]
        for connection in usable:  # if the endpoint became distrusted meanwhile, this closes it
            self._keep(key, connection)
