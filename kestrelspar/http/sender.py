"""The sender side over HTTP: clients hand in messages and are answered at once."""

from __future__ import annotations

import math
import re
import socket
from collections.abc import Iterator

import ujson

from kestrelspar.buffers import BufferPool, Closed, Late, Stream
from kestrelspar.courier import Answer, Courier, Message, SenderSide
from kestrelspar.http import parser
from kestrelspar.loop import MS, SECOND, Loop, Parking, log

READ_WITHIN = 5 * SECOND  # from a request's first byte to its last
WRITE_WITHIN = 400 * MS  # a client waits so long for its answer
_EXPIRES = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
_DEST = re.compile(r"(?:^|[;,\s])dest=([0-9]{1,9})(?:$|[;,\s])")


def expires(text: str) -> int:
    """X-Expires-In as microseconds."""
    match = _EXPIRES.fullmatch(text.strip())
    if match is None:
        raise parser.BadMessage("bad X-Expires-In")
    return math.floor(float(match[1]) * (MS if match[2] == "m" else 1))


class SenderServer:
    """Accepts clients' connections; each has a task that reads requests and answers them."""

    def __init__(self, loop: Loop, buffers: BufferPool, courier: Courier, sender: SenderSide,
                 most: int) -> None:
        self.loop, self.buffers, self.courier, self.sender = loop, buffers, courier, sender
        self._most = most  # connections held at once
        self._idle: dict[Stream, None] = {}  # between requests, the longest first
        self._count = 0

    def accept(self, listener: socket.socket) -> None:
        """Take connections for as long as the process runs."""
        while True:
            self.loop.readable(listener, None)
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                continue
            except OSError as error:
                log(f"connection not accepted: {error}")
                self.loop.sleep(20 * MS)
                continue
            if self._count >= self._most and not self._make_room():
                log("too many client connections: one closed unread")
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._count += 1
            self.loop.spawn(self._serve, Stream(self.loop, sock, self.buffers))

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest, unless a request has just come on it."""
        for stream in list(self._idle):
            del self._idle[stream]
            if not self.loop_readable_now(stream):
                stream.close()
                return True
        return False

    @staticmethod
    def loop_readable_now(stream: Stream) -> bool:
        """Whether unread bytes are there, so that closing would lose a request."""
        try:
            return stream.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except OSError:
            return False

    def _serve(self, stream: Stream) -> None:
        """One connection: requests in turn, until a side ends it."""
        keep = True
        try:
            while keep:
                if not stream.unread:
                    self._idle[stream] = None
                    stream.fill(None)
                    self._idle.pop(stream, None)
                    if not stream.unread:
                        continue
                keep = self._request(stream)
        except (Closed, Late):
            pass
        finally:
            self._idle.pop(stream, None)
            self._count -= 1
            stream.close()

    def _request(self, stream: Stream) -> bool:
        """Read one request and answer it; whether the connection goes on."""
        deadline = self.loop.now + READ_WITHIN
        try:
            head = parser.read_head(stream, deadline)
            if head.headers.get("expect", "").lower() == "100-continue":
                stream.write(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)
            body = parser.read_body(stream, head, deadline)
            method, target, _ = head.first
            path = target.partition("?")[0]
            keep = head.keeps and self.courier.closing is None
            if method == "GET":
                stream.write(self._page(path, keep), self.loop.now + WRITE_WITHIN)
                return keep
            if method != "POST":
                raise parser.BadMessage("only POST and GET are served", 405)
            message = self._message(path, head, body)
        except parser.BadMessage as error:
            # Where the next request starts is not known any more, except after a whole one.
            log(f"request rejected: {error}")
            stream.write(parser.response(error.status, f"{error}\n".encode(), keep=False), deadline)
            self._linger(stream)
            return False
        except Late:
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
                    log(f"deferred {message.trace}: {'client gone' if given.taken else given.reason}")
                else:
                    log(f"rejected {message.trace}: {given.reason}")
                    stream.write(parser.response(422, f"{given.reason}\n".encode(), keep=keep),
                                 self.loop.now + WRITE_WITHIN)
            except (Closed, Late):
                answered.resume(False)
                return False
            answered.resume(True)
            return heard

        try:
            self.courier.carry(message, answer)
        finally:
            answered.resume(False)

    def _linger(self, stream: Stream) -> None:
        """Read on for a moment after a rejection, else the reset might overtake the answer."""
        until = self.loop.now + 200 * MS
        try:
            stream.sock.shutdown(socket.SHUT_WR)
            while True:
                stream.consume(len(stream.unread))
                stream.fill(until)
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
        deadline = self.loop.now + expires(headers.get("x-expires-in", ""))
        return Message(trace, cls, tenant, int(dest[1]), deadline, body, self.sender, key)

    @staticmethod
    def _places(name: str, named: tuple[object, ...]) -> Iterator[int]:
        return (i for i, item in enumerate(named) if getattr(item, "name", None) == name)

    def _page(self, path: str, keep: bool) -> bytes:
        """What health checks and people ask."""
        if path == "/health/ready":
            return parser.response(200 if self.courier.ready else 503, keep=keep)
        if path == "/health/live":
            return parser.response(200, keep=keep)
        if path == "/stats":
            figures = {"open": len(self.courier.open), "out": self.courier.out, "connections": self._count}
            return parser.response(200, ujson.dumps(figures).encode() + b"\n", keep=keep)
        return parser.response(404, keep=keep)
