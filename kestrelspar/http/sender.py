"""The sender side over HTTP: clients hand in messages and are answered at once."""

from __future__ import annotations

import math
import re
import socket
from collections.abc import Iterator
from enum import Enum

import ujson

from kestrelspar.core.courier import Answer, Courier, Message, Reason, SenderSide
from kestrelspar.http import parser
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, Closed, Late, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, Parking

SILENT = 2_100 * MS  # without a request: usual clients open another connection when they need it
READ_WITHIN = 2_500 * MS  # from a request's first byte to its last
FIRST_WITHIN = 2_700 * MS  # the first one, from the connection's beginning
LINGER = 3_000 * MS  # after the half-close: so long a client may still send
PAUSE = 300 * MS  # or until it pauses
LAST_FIRST = 600 * MS  # in a shutdown: so long a new connection's first request may take to begin
CONNECTIONS_LATE = 500 * MS  # after SIGTERM: new connections may come for 400 ms
STEP = 20 * MS  # of a shutdown
ACCEPTS = 32  # connections taken in one turn
REJECTIONS = {Reason.DUPLICATE: 409}
WRITE_WITHIN = 400 * MS  # a client waits so long for its answer
_EXPIRES = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
_DEST = re.compile(r"(?:^|[;,\s])dest=([0-9]{1,9})(?:$|[;,\s])")


def expires(text: str) -> int:
    """X-Expires-In as microseconds."""
    match = _EXPIRES.fullmatch(text.strip())
    if match is None:
        raise parser.BadMessage("bad X-Expires-In")
    return math.floor(float(match[1]) * (MS if match[2] == "m" else 1))


class State(Enum):
    """What a client's connection is doing; the order in which they give way when there are too many."""

    LEAVING = "half-closed, and reading on until it has heard"
    NEW = "has asked nothing yet"
    ASKING = "in the middle of a request"
    IDLE = "between requests"
    SERVED = "waits for our answer"


# How long a connection in each state is left alone. One with unread bytes is not closed at once, as that is a reset: a
# request that has begun is answered 408 and half-closed, and what was half-closed had its time to be read to the end.
SPARED = {State.LEAVING: 100 * MS, State.NEW: 50 * MS, State.ASKING: 300 * MS, State.IDLE: 0}


class Client:
    """One client's connection."""

    __slots__ = ("stream", "since", "state")

    def __init__(self, stream: Stream, since: int) -> None:
        self.stream, self.since, self.state = stream, since, State.NEW


class SenderServer:
    """Accepts clients' connections; each has a task that reads requests and answers them."""

    def __init__(self, loop: Loop, buffers: BufferPool, courier: Courier, sender: SenderSide, most: int) -> None:
        self.loop, self.buffers, self.courier, self.sender = loop, buffers, courier, sender
        self._most = most  # connections held at once
        self._most_idle = max(4, most // 4)  # and of those kept open between requests
        self._clients: dict[State, dict[Client, int]] = {state: {} for state in State}  # since when, in order
        self._tallies: dict[tuple[str, str], int] = {}
        self._listener: socket.socket | None = None
        courier.at_close.append(self.wind_down)
        courier.unfinished.append(self.busy)

    @property
    def count(self) -> int:
        """Connections held."""
        return sum(map(len, self._clients.values()))

    def accept(self, listener: socket.socket) -> None:
        """Take connections until the listener is closed."""
        self._listener = listener
        while True:
            self.loop.readable(listener, None)
            for _ in range(ACCEPTS):  # one a turn would let those who say nothing hold up all others
                try:
                    sock, _ = listener.accept()
                except BlockingIOError:
                    break
                except OSError as error:
                    if listener.fileno() < 0:
                        return
                    logs.warn("not-accepted", front="http", why=str(error))
                    self.loop.sleep(20 * MS)
                    break
                while self.count >= self._most and not self._make_room():
                    self.loop.sleep(5 * MS)  # it and those behind it wait for one that gives way
                self._greet(sock)

    def _greet(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(Stream(self.loop, sock, self.buffers, guest=True), self.loop.now)
        self._clients[State.NEW][client] = client.since
        self.loop.spawn(self._serve, client)

    def _is(self, client: Client, state: State) -> None:
        """The connection goes on to another state, unless it was made to give way meanwhile."""
        if self._clients[client.state].pop(client, None) is None:
            raise Closed
        client.state = state
        self._clients[state][client] = self.loop.now

    def _make_room(self) -> bool:
        """Close the connection whose loss does least harm; none on which a request has come or is served."""
        for state, spared in SPARED.items():
            for client, since in self._clients[state].items():
                if since > self.loop.now - spared:
                    break
                if state in (State.NEW, State.IDLE) and not client.stream.quiet():
                    continue
                self._tally("closed-to-make-room", state.value)
                if state is State.ASKING:  # room comes once it has heard
                    client.stream.expire()
                    return False
                del self._clients[state][client]
                client.stream.close()
                return True
        return False

    # The end of the process

    def wind_down(self) -> None:
        """SIGTERM: end resting connections in order, and each other one as soon as it rests.

        Guards against clients that rest until the courier ends them, and send on whatever is still open then.
        """
        begun = self.loop.now
        while True:
            for client in list(self._clients[State.IDLE]):
                client.stream.expire()
            for client, since in list(self._clients[State.NEW].items()):
                if max(since, begun) <= self.loop.now - LAST_FIRST:
                    client.stream.expire()
            if self._listener is not None and self.loop.now >= begun + CONNECTIONS_LATE:
                self._close_listener(self._listener)
            self.loop.sleep(STEP)

    def _close_listener(self, listener: socket.socket) -> None:
        """Take no more connections; those that wait in its queue are taken first, as its close resets them."""
        self._listener = None
        for _ in range(max(0, self._most - self.count)):
            try:
                self._greet(listener.accept()[0])
            except OSError:
                break
        self.loop.forget(listener)
        listener.close()

    def busy(self) -> bool:
        """Whether a connection may still come, or has not come to its end yet."""
        return self.count > 0 or self._listener is not None

    def _tally(self, event: str, why: str, trace: str | None = None) -> None:
        """Log what bad clients make happen often: the first at once, the others as a count each second."""
        known = (event, why)
        if known in self._tallies or len(self._tallies) >= 20:
            known = known if known in self._tallies else (event, "other")
            self._tallies[known] = self._tallies.get(known, 0) + 1
            return
        logs.event(event, front="http", trace=trace, why=why)
        if not self._tallies:
            self.loop.at(self.loop.now + SECOND, self._report)
        self._tallies[known] = 0

    def _report(self) -> None:
        for (event, why), count in self._tallies.items():
            if count:
                logs.event("more", front="http", of=event, why=why, count=count)
        self._tallies.clear()

    def _serve(self, client: Client) -> None:
        """One connection: requests in turn, until a side ends it or says nothing for too long."""
        try:
            while self._asked(client) and self._request(client):
                self._is(client, State.IDLE)
            self._finish(client)
        except (Closed, Late):
            pass
        finally:
            self._clients[client.state].pop(client, None)
            client.stream.close()

    def _asked(self, client: Client) -> bool:
        """Wait for the first byte of a request; false when the connection has rested for too long."""
        stream, silent = client.stream, self.loop.now + SILENT
        if client.state is State.NEW:
            silent = client.since + SILENT
        while not stream.unread:
            try:
                stream.fill(silent)
            except Late:
                if stream.quiet():
                    return False
                silent = self.loop.now + READ_WITHIN  # it began in that very moment, and is served
        return True

    def _request(self, client: Client) -> bool:
        """Read one request and answer it; whether the connection goes on."""
        stream, deadline = client.stream, self.loop.now + READ_WITHIN
        if client.state is State.NEW:
            deadline = client.since + FIRST_WITHIN
        self._is(client, State.ASKING)
        try:
            head = parser.read_head(stream, deadline)
            parser.body_length(head)
            if head.headers.get("expect", "").lower() == "100-continue":
                stream.write(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)
            body = parser.read_body(stream, head, deadline)
            if not parser.may_begin_request(stream.unread):  # its length is wrong, so its body may be cut
                raise parser.BadMessage("bytes behind the body that begin no request")
            self._is(client, State.SERVED)
            method, target, _ = head.first
            path = target.partition("?")[0]
            # Clients that ask once and stay would soon hold all the connections that they may have.
            room = len(self._clients[State.IDLE]) < self._most_idle
            keep = head.keeps and room and self.courier.closing is None
            if method == "GET":
                stream.write(self._page(path, keep), self.loop.now + WRITE_WITHIN)
                return keep
            if method != "POST":
                raise parser.BadMessage("only POST and GET are served", 405)
            message = self._message(path, head, body)
        except parser.BadMessage as error:
            # Where the next request starts is not known any more, except after a whole one.
            self._tally("request-rejected", str(error))
            stream.write(parser.response(error.status, f"{error}\n".encode(), keep=False), self.loop.now + WRITE_WITHIN)
            return False
        except Late:
            self._tally("request-rejected", "it did not come to its end")
            stream.write(parser.response(408, keep=False), self.loop.now + WRITE_WITHIN)
            return False
        answered = Parking(self.loop)
        self.loop.spawn(self._hand_in, message, stream, keep, answered)
        return bool(self.loop.park(answered)) and keep

    def _hand_in(self, message: Message, stream: Stream, keep: bool, answered: Parking) -> None:
        """The message's own task; the connection goes on as soon as the answer is written."""

        def answer(given: Answer) -> bool:
            heard = False
            try:
                if given.taken and not stream.ended():
                    stream.write(parser.response(202, keep=keep), self.loop.now + WRITE_WITHIN)
                    heard = True
                elif given.taken or given.defer:
                    wait = {"Retry-After": f"{given.come_back / SECOND:g}"}
                    stream.write(parser.response(503, keep=keep, headers=wait), self.loop.now + WRITE_WITHIN)
                    logs.event(
                        "deferred",
                        trace=message.trace,
                        front="http",
                        why="client gone" if given.taken else given.reason,
                    )
                else:
                    self._tally("rejected", given.reason, message.trace)
                    stream.write(
                        parser.response(REJECTIONS.get(given.why, 422), f"{given.reason}\n".encode(), keep=keep),
                        self.loop.now + WRITE_WITHIN,
                    )
            except (Closed, Late):
                answered.resume(False)
                return False
            answered.resume(True)
            return heard

        try:
            self.courier.carry(message, answer)
        finally:
            answered.resume(False)

    def _finish(self, client: Client) -> None:
        """The one ending of a connection that the client has not ended: stop writing, read on, then close.

        A close over unread bytes is a reset, and may overtake our answer. Nothing that is read from here on is carried:
        whoever sent it has no answer and hands it in elsewhere.
        """
        stream = client.stream
        self._is(client, State.LEAVING)
        until = self.loop.now + LINGER
        try:
            stream.sock.shutdown(socket.SHUT_WR)
            while self.loop.now < until:
                stream.discard(min(until, self.loop.now + PAUSE))
        except (Closed, Late, OSError):
            pass

    def _message(self, path: str, head: parser.Head, body: bytes) -> Message:
        """The message that a request hands in; ``BadMessage`` says what is wrong with it."""
        settings, headers = self.courier.settings, head.headers
        trace = headers.get("x-trace-id", "")
        if not trace or len(trace) > 128 or not trace.isascii() or not trace.isprintable():
            raise parser.BadMessage("X-Trace-Id missing or unusable")
        name = headers.get("x-qos", "") or path.split("/")[1]
        first = path.split("/")[1] if path.startswith("/") else ""
        cls = next(self._places(name, settings.classes), None)
        if cls is None or first != name:
            raise parser.BadMessage(f"unknown class {first!r:.40}", 404)
        tenant = 0
        if settings.tenants:
            found = next(self._places(headers.get("x-customer", ""), settings.tenants), None)
            if found is None:
                raise parser.BadMessage(f"unknown tenant {headers.get('x-customer', '')!r:.40}", 422)
            tenant = found
        dest = _DEST.search(headers.get("x-route-to", ""))
        if dest is None:
            raise parser.BadMessage("X-Route-To holds no dest")
        key = headers.get("idempotency-key", "")
        left = min(expires(headers.get("x-expires-in", "")), settings.classes[cls].deadline_ns // 1000)
        deadline = self.loop.now + left
        return Message(trace, cls, tenant, int(dest[1]), deadline, body, self.sender, key)

    @staticmethod
    def _places(name: str, named: tuple[object, ...]) -> Iterator[int]:
        return (i for i, item in enumerate(named) if getattr(item, "name", None) == name)

    def _page(self, path: str, keep: bool) -> bytes:
        """What health checks and people ask."""
        if path == "/health/ready":
            return parser.response(200 if self.courier.serving else 503, keep=keep)
        if path == "/health/live":
            return parser.response(200, keep=keep)
        if path == "/stats":
            figures = {"open": len(self.courier.open), "out": self.courier.out, "connections": self.count}
            return parser.response(200, ujson.dumps(figures).encode() + b"\n", keep=keep)
        return parser.response(404, keep=keep)
