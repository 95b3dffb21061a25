"""The connections of clients: what each is doing, and which one is closed when there are too many."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from kestrelspar.runtime.buffers import ConnectionClosedError, Stream
from kestrelspar.runtime.loop import MS, Loop

MIN_IDLE_CONNECTIONS = 4
HEADROOM_DIVISOR = 8  # of the connections, the share that is kept free of requests that make no progress
# Without a byte, before a request may be ended: for the sake of the headroom, and if there is no room at all.
MIN_STALL_TIME, MIN_PRESSED_STALL_TIME = 100 * MS, 40 * MS
MIN_PRESSED_LEAVING_AGE = 20 * MS  # of a half-closed connection without unread input, if there is no room at all


class State(Enum):
    """What a client's connection is doing, in the order in which connections are closed when there are too many.

    The values are for the log.
    """

    LEAVING = "half-closed, discarding input"
    NEW = "no request yet"
    ASKING = "in the middle of a request"
    IDLE = "between requests"
    SERVED = "request being processed"  # never closed to make room


# How long a connection must have been in a state before it may be closed to make room. Closing a connection with unread
# bytes would reset it, so a request that has begun first gets a 408 response and a half-close. A half-closed connection
# may be closed because its input has been read for the time given here.
MIN_STATE_AGE = {State.LEAVING: 100 * MS, State.NEW: 50 * MS, State.ASKING: 300 * MS, State.IDLE: 0}


class Client:
    """One client's connection; times are microseconds of the loop's clock."""

    __slots__ = ("stream", "number", "connected_at", "progress_at", "state", "is_ending", "ended_for_room")

    def __init__(self, stream: Stream, number: int, connected_at: int) -> None:
        self.stream, self.number, self.connected_at, self.state = stream, number, connected_at, State.NEW
        self.progress_at = connected_at  # when the last bytes of a request came
        self.is_ending = False  # its request ends with a 408 response in its task's next turn
        self.ended_for_room = False  # its request was ended, or refused at its head, for lack of room

    def note_progress(self) -> None:
        """Note that bytes of a request have come."""
        self.progress_at = self.stream.loop.now


class ClientConnections:
    """All open connections of clients, by state; at most ``max_connections``.

    ``on_close`` is called with the state of each connection that is ended to make room.
    """

    def __init__(self, loop: Loop, max_connections: int, on_close: Callable[[State], None]) -> None:
        self._loop, self._on_close = loop, on_close
        self.max_connections = max_connections
        self._max_idle = max(MIN_IDLE_CONNECTIONS, max_connections // 4)
        self._without_headroom = max_connections - max(1, max_connections // HEADROOM_DIVISOR)
        self._accepted = self._ending = 0  # connections so far; those that are ending
        # By state, with the time of entering it, oldest first.
        self._clients: dict[State, dict[Client, int]] = {state: {} for state in State}

    @property
    def count(self) -> int:
        """The number of open connections."""
        return sum(map(len, self._clients.values()))

    @property
    def may_stay_idle(self) -> bool:
        """Whether one more connection may stay open between requests."""
        return len(self._clients[State.IDLE]) < self._max_idle

    def in_state(self, state: State) -> list[tuple[Client, int]]:
        """The connections in a state, with the times of entering it, oldest first."""
        return list(self._clients[state].items())

    def add(self, stream: Stream) -> Client:
        """Register a connection that has been accepted."""
        self._accepted += 1
        client = Client(stream, self._accepted, self._loop.now)
        self._clients[State.NEW][client] = client.connected_at
        return client

    def remove(self, client: Client) -> None:
        """Forget a connection; nothing if it was closed to make room."""
        self._clients[client.state].pop(client, None)
        self._note_ended(client)

    def set_state(self, client: Client, state: State) -> None:
        """Move the connection to another state.

        Raises ``ConnectionClosedError`` if it was closed to make room meanwhile.
        """
        if self._clients[client.state].pop(client, None) is None:
            raise ConnectionClosedError
        self._note_ended(client)
        client.state = state
        self._clients[state][client] = client.progress_at = self._loop.now

    def _end_request(self, client: Client) -> None:
        """Have a request end with a 408 response, after which its connection closes."""
        self._on_close(State.ASKING)
        client.stream.expire_read()
        client.is_ending = client.ended_for_room = True
        self._ending += 1

    def _note_ended(self, client: Client) -> None:
        self._ending -= client.is_ending
        client.is_ending = False

    def make_room(self) -> bool:
        """Close the connection whose loss does least harm; returns whether one was closed at once.

        A connection whose request is being processed is never closed. One whose request is still arriving after its
        ``MIN_STATE_AGE`` gets a 408 response, and closes after that.
        """
        for state, min_age in MIN_STATE_AGE.items():
            for client, since in self._clients[state].items():
                if since > self._loop.now - (MIN_PRESSED_LEAVING_AGE if state is State.LEAVING else min_age):
                    break
                if state is State.LEAVING and since > self._loop.now - min_age and client.stream.has_input():
                    continue
                if state in (State.NEW, State.IDLE) and not client.stream.is_reusable():
                    continue  # a request has begun or the client has closed; its task has not run since
                if state is State.ASKING:
                    if client.is_ending:
                        continue
                    self._end_request(client)
                    return False
                self._on_close(state)
                del self._clients[state][client]
                client.stream.close()
                return True
        return False

    def keep_headroom(self) -> None:
        """End requests that make no progress, if there are few free connections, before plain clients need them.

        If there are none, more of them end at once, as many clients may wait behind them.
        """
        staying = self.count - len(self._clients[State.LEAVING]) - self._ending
        if self.count < self.max_connections:
            self.end_stalled_requests(staying - self._without_headroom)
        else:
            self.end_stalled_requests(staying - self.max_connections // 2, MIN_PRESSED_STALL_TIME)

    def end_stalled_requests(self, count: int, min_stall_time: int = MIN_STALL_TIME) -> None:
        """Have up to ``count`` requests end with a 408 response: those that have begun first, and make no progress."""
        now = self._loop.now
        for client, since in self._clients[State.ASKING].items():
            if since > now - min_stall_time or count <= 0:
                return
            is_slow = since <= now - MIN_STATE_AGE[State.ASKING] or client.progress_at <= now - min_stall_time
            if is_slow and not client.is_ending:
                self._end_request(client)
                count -= 1
