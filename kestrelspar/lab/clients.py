"""Clients that keep their connections open and use them again, as the platform's clients do.

A client sends one request at a time on a connection and waits 400 ms for the answer. If a kept connection ends without
one, the request is sent once more on a new connection. After a courier's SIGTERM new connections are made for a short
time only; the kept ones are used as long as they stay open.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

from kestrelspar.http import parser
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, Loop, connect

ANSWER_TIMEOUT = 400 * MS
CONNECT_TIMEOUT = 400 * MS


def submission(trace: str, message_class: str, lifetime_ms: int, destination: int) -> bytes:
    """The request by which a client submits a message."""
    headers = {
        "X-Trace-Id": trace,
        "X-Qos": message_class,
        "X-Expires-In": f"{lifetime_ms}m",
        "X-Route-To": f"dest={destination}",
        "Idempotency-Key": trace,
    }
    return parser.request("POST", f"/{message_class}", "rig", headers, b"{}")


class Ending(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"  # no connection, or it broke before the last byte
    TIMED_OUT = "timed out"
    CLOSED = "closed without an answer"


@dataclass(slots=True)
class Reply:
    """What a client got for a request."""

    ending: Ending
    status: int = 0
    on_new_connection: bool = False


@dataclass
class KeepAliveClients:
    """The clients of one courier; ``may_connect`` tells whether they still make new connections to it."""

    loop: Loop
    buffers: BufferPool
    address: tuple[str, int]
    may_connect: Callable[[], bool]
    _idle: list[Stream] = field(default_factory=list)
    _crowd: list[socket.socket] = field(default_factory=list)

    def send(self, request: bytes) -> Reply:
        """Send a request on a kept connection, or on a new one."""
        while self._idle:
            stream = self._idle.pop()
            if stream.peer_closed():
                stream.close()
                continue
            reply = self._exchange(stream, request, is_new=False)
            if reply.ending not in (Ending.NOT_SENT, Ending.CLOSED):
                return reply
            break
        if not self.may_connect():
            return Reply(Ending.NOT_SENT)
        sock = connect(self.loop, self.address, self.loop.now + CONNECT_TIMEOUT)
        if sock is None:
            return Reply(Ending.NOT_SENT)
        return self._exchange(Stream(self.loop, sock, self.buffers), request, is_new=True)

    def _exchange(self, stream: Stream, request: bytes, is_new: bool) -> Reply:
        deadline = self.loop.now + ANSWER_TIMEOUT
        try:
            stream.write(request, deadline)
        except (ConnectionClosedError, DeadlineExceededError):
            stream.close()
            return Reply(Ending.NOT_SENT, on_new_connection=is_new)
        try:
            head = parser.read_head(stream, deadline, response=True)
            parser.read_body(stream, head, deadline, response=True)
        except DeadlineExceededError:
            stream.close()
            return Reply(Ending.TIMED_OUT, on_new_connection=is_new)
        except (ConnectionClosedError, parser.MalformedMessageError):
            stream.close()
            return Reply(Ending.CLOSED, on_new_connection=is_new)
        if head.keep_alive:
            self._idle.append(stream)
        else:
            stream.close()
        return Reply(Ending.ANSWERED, head.status, is_new)

    def send_part(self, request: bytes) -> None:
        """Send half of a request, and stay connected without sending the rest, until the courier ends it."""
        sock = connect(self.loop, self.address, self.loop.now + CONNECT_TIMEOUT)
        if sock is None:
            return
        stream = Stream(self.loop, sock, self.buffers)
        with suppress(ConnectionClosedError, DeadlineExceededError):
            stream.write(request[: len(request) // 2], self.loop.now + ANSWER_TIMEOUT)
            while True:
                stream.fill(None)
                stream.consume(len(stream.unread))
        stream.close()

    def gather_crowd(self, count: int) -> None:
        """Open connections that send nothing."""
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self._crowd.append(sock)

    def disperse_crowd(self) -> None:
        """Close the connections of ``gather_crowd``."""
        while self._crowd:
            self._crowd.pop().close()
