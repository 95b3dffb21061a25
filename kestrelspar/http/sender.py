"""The sender side over HTTP: clients submit messages and get a response before the first delivery attempt."""

from __future__ import annotations

import errno
import math
import re
import socket
from collections.abc import Iterator
from contextlib import suppress
from typing import NoReturn

import ujson

from kestrelspar.core.courier import Courier
from kestrelspar.core.front_ends import SenderSide
from kestrelspar.core.messages import Answer, Message, RefusalReason
from kestrelspar.http import parser
from kestrelspar.http.client_connections import Client, ClientConnections, State
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import BACKLOG, MS, SECOND, Loop, Suspension, close_socket, disable_send_delay
from kestrelspar.runtime.memory import Holder, MemoryAccount

# From the connection's start or the last response to the first byte of a request: well-behaved clients open another
# connection when they need one.
IDLE_TIMEOUT = 2_100 * MS
READ_TIMEOUT = 2_500 * MS  # from a request's first byte to its last
FIRST_REQUEST_TIMEOUT = 2_700 * MS  # from the connection's start to the last byte of its first request
LINGER_TIMEOUT = 3_000 * MS  # how long a half-closed connection stays open for a client that continues to send
LINGER_IDLE_TIMEOUT = 300 * MS  # how long a half-closed connection stays open without receiving a byte
SHUTDOWN_FIRST_BYTE_TIMEOUT = 600 * MS  # from the connection's start, or SIGTERM if later, to its first byte
SHUTDOWN_ACCEPT_TIME = 500 * MS  # after SIGTERM, as new connections may arrive for 400 ms
SHUTDOWN_POLL_INTERVAL = 20 * MS
ACCEPT_RETRY_DELAY = 20 * MS  # after an error of ACCEPT_EXHAUSTED
NO_ROOM_DELAY = SECOND  # from a response for lack of room to the half-close
ROOM_POLL_INTERVAL = 5 * MS  # while there are as many connections as there may be
# Errors of accept() that concern all connections alike: descriptors or memory have run out.
ACCEPT_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
MAX_CLOSING_FAILURES = BACKLOG  # failed accepts while the listener is closed
MAX_ACCEPTS_PER_TURN = 32  # of the event loop
SMALL_BODY = 4 * 1024  # bytes; a longer body is refused at its head where there is no room for it
# Requests without progress that end when another finds no memory, and the least time from that to the next ones.
STALLED_REQUESTS_ENDED, END_STALLED_INTERVAL = 8, 100 * MS
REJECTION_STATUSES = {RefusalReason.DUPLICATE: 409}  # other reasons: 422
WRITE_TIMEOUT = 400 * MS  # for writing a response, as a client waits no longer for it
_EXPIRES = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
_DEST = re.compile(r"(?:^|[;,\s])dest=([0-9]{1,9})(?:$|[;,\s])")


def parse_expires_in(text: str) -> int:
    """Parses X-Expires-In, a number with the unit ``m`` (milliseconds) or ``u`` (microseconds), into microseconds.

    Rounds down; raises ``MalformedMessageError`` if the value is missing or has another form.
    """
    match = _EXPIRES.fullmatch(text.strip())
    if match is None:
        raise parser.MalformedMessageError("bad X-Expires-In")
    return math.floor(float(match[1]) * (MS if match[2] == "m" else 1))


class _NoRoomError(Exception):
    """A request is refused before it has been read as a whole; ``answer`` says why."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(answer.reason)
        self.answer = answer


class RequestMemory:
    """What is taken from the memory account for one request that is being received, in bytes."""

    def __init__(self, account: MemoryAccount) -> None:
        self._account, self.taken = account, 0

    def take(self, size: int) -> bool:
        """Take more; false if there is no room, which is counted."""
        if not self._account.try_take(Holder.REQUESTS, size):
            return False
        self.taken += size
        return True

    def take_in_any_case(self, size: int) -> None:
        """Take more, whether there is room or not."""
        self._account.take(Holder.REQUESTS, size)
        self.taken += size

    def release(self) -> None:
        """Give all of it back."""
        self._account.give_back(Holder.REQUESTS, self.taken)
        self.taken = 0


class SenderServer:
    """Accepts clients' connections; each has a task that reads requests and responds to them."""

    def __init__(
        self, loop: Loop, buffers: BufferPool, courier: Courier, sender: SenderSide, max_connections: int
    ) -> None:
        self.loop, self.buffers, self.courier, self.sender = loop, buffers, courier, sender
        self._connections = ClientConnections(
            loop, max_connections, lambda state: self._log_throttled("closed-to-make-room", state.value)
        )
        # By event and reason: how often it occurred again after it was logged, until this count is logged and cleared.
        # From 20 keys on, a further reason counts as "other" of its event.
        self._suppressed_counts: dict[tuple[str, str], int] = {}
        self._listener: socket.socket | None = None
        self._end_stalled_at = 0  # earliest time at which requests without progress end for lack of memory again
        courier.shutdown_tasks.append(self.close_connections)
        courier.busy_checks.append(self.busy)

    @property
    def count(self) -> int:
        """The number of open connections."""
        return self._connections.count

    def accept(self, listener: socket.socket) -> None:
        """Accepts connections until the listener is closed."""
        self._listener = listener
        while listener.fileno() >= 0:
            try:
                self._accept_pending(listener)
            except Exception:  # other clients can still be served
                logs.fault("accept", front="http")
                self.loop.sleep(ACCEPT_RETRY_DELAY)

    def _accept_pending(self, listener: socket.socket) -> None:
        """Waits for connections, and accepts those in the backlog."""
        self.loop.readable(listener, None)
        for _ in range(MAX_ACCEPTS_PER_TURN):  # accepting one per turn would let silent clients delay others
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if listener.fileno() < 0:
                    return
                self._log_throttled("not-accepted", str(error))
                if error.errno not in ACCEPT_EXHAUSTED:
                    continue  # this one connection failed; the next one in the queue need not
                self.loop.sleep(ACCEPT_RETRY_DELAY)  # the listener stays readable
                return
            self._connections.keep_headroom()
            while self.count >= self._connections.max_connections and not self._connections.make_room():
                # This connection and those queued behind it wait for another to close.
                self.loop.sleep(ROOM_POLL_INTERVAL)
                self._connections.keep_headroom()
            self._start_connection(sock)

    def _start_connection(self, sock: socket.socket) -> None:
        """Start to serve a connection, unless it fails already, as one that the client has reset may."""
        try:
            sock.setblocking(False)
            disable_send_delay(sock)
        except OSError as error:
            self._log_throttled("not-accepted", str(error))
            close_socket(self.loop, sock)
            return
        client = self._connections.add(Stream(self.loop, sock, self.buffers, incoming=True))
        self.loop.spawn(self._serve, client)

    # Shutdown

    def close_connections(self) -> None:
        """After SIGTERM: closes idle connections in an orderly way, and each other one as soon as it is idle.

        A connection without a request counts as idle after ``SHUTDOWN_FIRST_BYTE_TIMEOUT``. The listener closes after
        ``SHUTDOWN_ACCEPT_TIME``. Runs until the process exits.

        Otherwise clients would keep their idle connections until the process exits, and a request sent at that moment
        would be lost.
        """
        started_at = self.loop.now
        while True:
            for client, _ in self._connections.in_state(State.IDLE):
                client.stream.expire_read()
            for client, since in self._connections.in_state(State.NEW):
                if max(since, started_at) <= self.loop.now - SHUTDOWN_FIRST_BYTE_TIMEOUT:
                    client.stream.expire_read()
            if self._listener is not None and self.loop.now >= started_at + SHUTDOWN_ACCEPT_TIME:
                self._close_listener(self._listener)
            self.loop.sleep(SHUTDOWN_POLL_INTERVAL)

    def _close_listener(self, listener: socket.socket) -> None:
        """Closes the listener; accepts the connections in its backlog first, as closing would reset them.

        Connections beyond the maximum number are not accepted.
        """
        self._listener = None
        failures = 0
        while self.count < self._connections.max_connections and failures < MAX_CLOSING_FAILURES:
            try:
                self._start_connection(listener.accept()[0])
            except BlockingIOError:
                break
            except OSError as error:  # of this one connection; there may be others behind it
                self._log_throttled("not-accepted", str(error))
                failures += 1
        close_socket(self.loop, listener)

    def busy(self) -> bool:
        """Whether a connection is open, or a new one may still arrive."""
        return self.count > 0 or self._listener is not None

    # Logging

    def _log_throttled(self, event: str, why: str, trace: str | None = None) -> None:
        """Logs an event that faulty clients can cause often: the first one at once, then a count after 1 s."""
        key = (event, why)
        if key in self._suppressed_counts or len(self._suppressed_counts) >= 20:
            key = key if key in self._suppressed_counts else (event, "other")
            self._suppressed_counts[key] = self._suppressed_counts.get(key, 0) + 1
            return
        logs.event(event, front="http", trace=trace, why=why)
        if not self._suppressed_counts:
            self.loop.call_at(self.loop.now + SECOND, self._log_suppressed)
        self._suppressed_counts[key] = 0

    def _log_suppressed(self) -> None:
        for (event, why), count in self._suppressed_counts.items():
            if count:
                logs.event("more", front="http", of=event, why=why, count=count)
        self._suppressed_counts.clear()

    # Requests

    def _serve(self, client: Client) -> None:
        """Serves the requests of one connection, one at a time, until either side closes it or it is idle too long."""
        try:
            while self._await_request(client) and self._handle_request(client):
                self._connections.set_state(client, State.IDLE)
                if client.stream.unread:
                    client.stream.park()
                    self.loop.next_turn()  # one request of each connection a turn
            self._close_gracefully(client)
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        finally:
            self._connections.remove(client)
            client.stream.close()

    def _await_request(self, client: Client) -> bool:
        """Waits for the first byte of a request; returns false if the connection was idle for too long.

        ``expire_read`` ends the wait early, at a shutdown.
        """
        stream, deadline = client.stream, self.loop.now + IDLE_TIMEOUT
        if client.state is State.NEW:
            deadline = client.connected_at + IDLE_TIMEOUT
        while not stream.unread:
            try:
                stream.fill(deadline)
            except DeadlineExceededError:
                if stream.is_reusable():
                    return False
                deadline = self.loop.now + READ_TIMEOUT  # a request began just as the time-out expired: serve it
        return True

    def _handle_request(self, client: Client) -> bool:
        """Reads one request and responds to it; returns whether the connection stays open."""
        stream, deadline = client.stream, self.loop.now + READ_TIMEOUT
        if client.state is State.NEW:
            deadline = client.connected_at + FIRST_REQUEST_TIMEOUT
        self._connections.set_state(client, State.ASKING)
        memory = RequestMemory(self.courier.memory)
        try:
            head = self._read_head(client, memory, deadline)
            self._check_room(client, memory, head)
            if head.headers.get("expect", "").lower() == "100-continue":
                stream.write(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)
            body = parser.read_body(stream, head, deadline, on_progress=client.note_progress)
            if not parser.may_begin_request(stream.unread):  # the Content-Length is wrong, so the body may be truncated
                raise parser.MalformedMessageError("bytes behind the body that begin no request")
            self._connections.set_state(client, State.SERVED)
            method, target, _ = head.start_line
            path = target.partition("?")[0]
            # Clients that send one request and stay connected would soon use up all connections.
            keep = head.keep_alive and self._connections.may_stay_idle and self.courier.closing is None
            if method == "GET":
                stream.write(self._response_to_get(path, keep), self.loop.now + WRITE_TIMEOUT)
                return keep
            if method != "POST":
                raise parser.MalformedMessageError("only POST and GET are served", 405)
            message = self._build_message(path, head, body)
            message.client = f"http-{client.number}"
        except parser.MalformedMessageError as error:
            # The connection is closed: the request may be incomplete, so the start of the next one is unknown.
            self._log_throttled("request-rejected", str(error))
            stream.write(
                parser.response(error.status, f"{error}\n".encode(), keep=False), self.loop.now + WRITE_TIMEOUT
            )
            return False
        except _NoRoomError as error:
            client.ended_for_room = True
            self._defer(stream, error.answer, keep=False)
            return False
        except DeadlineExceededError:
            self._log_throttled("request-rejected", "request incomplete at the time-out")
            stream.write(parser.response(408, keep=False), self.loop.now + WRITE_TIMEOUT)
            return False
        except ConnectionClosedError:
            raise
        except Exception:  # nothing has been submitted, so submitting it again is harmless
            logs.fault("request", front="http")
            stream.write(parser.response(503, b"internal error\n", keep=False), self.loop.now + WRITE_TIMEOUT)
            return False
        finally:
            memory.release()
        stream.park()
        responded = Suspension(self.loop)
        self.loop.spawn(self._submit, message, stream, keep, responded)
        return bool(self.loop.park(responded)) and keep

    def _check_room(self, client: Client, memory: RequestMemory, head: parser.Head) -> None:
        """Takes memory for a body, before it is read; raises ``_NoRoomError`` if there is none.

        A small body has mostly come with its head, and is refused with its message. A message that has been submitted
        before is always read, as it is answered by its state: after a refusal it might be submitted elsewhere.
        """
        length = parser.body_length(head)
        size = parser.MAX_BODY_BYTES if length is None else max(0, length)
        if size > SMALL_BODY and self.courier.is_known(head.headers.get("x-trace-id", "")):
            memory.take_in_any_case(size)
            return
        answer = self.courier.refusal_of_body(size, f"http-{client.number}") if size > SMALL_BODY else None
        if answer is not None:
            raise _NoRoomError(answer)
        if not memory.take(size):
            self._refuse_for_memory(client)

    def _refuse_for_memory(self, client: Client) -> NoReturn:
        """Raises ``_NoRoomError``; some requests that make no progress end for the sake of the next large one.

        Not more, as each client that is ended may be back at once, and the work of that delays plain clients.
        """
        self.courier.refusals.add(RefusalReason.MEMORY, f"http-{client.number}")
        if self.loop.now >= self._end_stalled_at:
            self._end_stalled_at = self.loop.now + END_STALLED_INTERVAL
            self._connections.end_stalled_requests(STALLED_REQUESTS_ENDED)
        raise _NoRoomError(Answer(False, True, RefusalReason.MEMORY))

    def _defer(self, stream: Stream, answer: Answer, keep: bool, trace: str | None = None) -> None:
        """Responds that the message is not accepted, and may be submitted again."""
        why = "client gone" if answer.accepted else answer.reason
        retry_after = {"Retry-After": f"{answer.retry_after / SECOND:g}"}
        stream.write(parser.response(503, keep=keep, headers=retry_after), self.loop.now + WRITE_TIMEOUT)
        self._log_throttled("deferred", why, trace)

    def _read_head(self, client: Client, memory: RequestMemory, deadline: int) -> parser.Head:
        """Reads and consumes a request's head.

        Raises the same errors as ``parser.read_head``, and ``_NoRoomError`` if there is no memory for a part of it.
        """
        while (head := parser.head(client.stream.unread)) is None:
            if not memory.take(max(0, len(client.stream.unread) - memory.taken)):
                self._refuse_for_memory(client)
            client.stream.fill(deadline)
            client.note_progress()
        client.stream.consume(head.size)
        return head

    def _submit(self, message: Message, stream: Stream, keep: bool, responded: Suspension) -> None:
        """Submits a message, in a task of its own; ``responded`` wakes the connection's task after the response.

        It passes True if a response was written, False if that failed or the submission ended without a response.
        """

        has_answer = False

        def respond(answer: Answer) -> bool:
            """Writes the response; returns whether it was a 202, so that the courier is responsible for the message."""
            nonlocal has_answer
            has_answer, accepted = True, False
            try:
                if answer.accepted and not stream.peer_closed():
                    stream.write(parser.response(202, keep=keep), self.loop.now + WRITE_TIMEOUT)
                    accepted = True
                elif answer.accepted or answer.defer:
                    self._defer(stream, answer, keep, message.trace)
                else:
                    self._log_throttled("rejected", answer.reason, message.trace)
                    stream.write(
                        parser.response(
                            REJECTION_STATUSES.get(answer.why, 422), f"{answer.reason}\n".encode(), keep=keep
                        ),
                        self.loop.now + WRITE_TIMEOUT,
                    )
            except (ConnectionClosedError, DeadlineExceededError):
                responded.resume(False)
                return False
            responded.resume(True)
            return accepted

        try:
            self.courier.submit(message, respond)
        except Exception:
            logs.fault("submission", trace=message.trace)
            if not has_answer:  # the message is not accepted: submitting it again is harmless
                respond(Answer(False, True, RefusalReason.INTERNAL))
        finally:
            responded.resume(False)

    def _close_gracefully(self, client: Client) -> None:
        """Half-closes a connection that the client has not closed, and discards input until it may be closed.

        That is when the client closes it, sends nothing for ``LINGER_IDLE_TIMEOUT``, or ``LINGER_TIMEOUT`` has passed.
        The caller closes the socket.

        Closing a socket with unread bytes sends a reset, which may overtake the response. Requests that arrive after
        the half-close are discarded: their clients get no response and submit them elsewhere.
        """
        stream = client.stream
        self._connections.set_state(client, State.LEAVING)
        linger_until = self.loop.now + LINGER_TIMEOUT
        try:
            stream.sock.shutdown(socket.SHUT_WR)
            while self.loop.now < linger_until:
                stream.discard(min(linger_until, self.loop.now + LINGER_IDLE_TIMEOUT))
        except (ConnectionClosedError, DeadlineExceededError, OSError):
            pass

    def _discard_until(self, stream: Stream, until: int) -> None:
        """Discards input; raises ``ConnectionClosedError`` if the client closes the connection before that time."""
        with suppress(DeadlineExceededError):
            while self.loop.now < until:
                stream.discard(until)

    def _build_message(self, path: str, head: parser.Head, body: bytes) -> Message:
        """Builds the message that a request submits; raises ``MalformedMessageError`` if the request is invalid."""
        settings, headers = self.courier.settings, head.headers
        trace = headers.get("x-trace-id", "")
        if not trace or len(trace) > 128 or not trace.isascii() or not trace.isprintable():
            raise parser.MalformedMessageError("X-Trace-Id missing or unusable")
        path_class = path.split("/")[1] if path.startswith("/") else ""
        name = headers.get("x-qos", "") or path_class
        cls = next(self._indices(name, settings.classes), None)
        if cls is None or path_class != name:
            raise parser.MalformedMessageError(f"unknown class {path_class!r:.40}", 404)
        tenant = 0
        if settings.tenants:
            found = next(self._indices(headers.get("x-customer", ""), settings.tenants), None)
            if found is None:
                raise parser.MalformedMessageError(f"unknown tenant {headers.get('x-customer', '')!r:.40}", 422)
            tenant = found
        dest = _DEST.search(headers.get("x-route-to", ""))
        if dest is None:
            raise parser.MalformedMessageError("X-Route-To holds no dest")
        key = headers.get("idempotency-key", "")
        lifetime = min(parse_expires_in(headers.get("x-expires-in", "")), settings.classes[cls].deadline_ns // 1000)
        deadline = self.loop.now + lifetime
        return Message(trace, cls, tenant, int(dest[1]), deadline, body, self.sender, key)

    @staticmethod
    def _indices(name: str, items: tuple[object, ...]) -> Iterator[int]:
        return (i for i, item in enumerate(items) if getattr(item, "name", None) == name)

    def _response_to_get(self, path: str, keep: bool) -> bytes:
        """Returns the response to a health check or a request for statistics."""
        if path == "/health/ready":
            reason = self.courier.why_not_serving
            return parser.response(503 if reason else 200, f"{reason}\n".encode() if reason else b"", keep=keep)
        if path == "/health/live":
            return parser.response(200, keep=keep)
        if path == "/stats":
            stats = {
                "open": len(self.courier.open),
                "out": self.courier.attempts_in_flight,
                "connections": self.count,
                "answers_by_ms_left": self.courier.answer_times.as_dict(),
                "refused": self.courier.refusals.as_dict(),
                "memory": self.courier.memory.as_dict(),
            }
            return parser.response(200, ujson.dumps(stats).encode() + b"\n", keep=keep)
        return parser.response(404, keep=keep)
