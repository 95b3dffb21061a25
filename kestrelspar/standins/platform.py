"""Stand-ins for the platform around a courier: discovery with its notices, next hops, and the JSON configuration."""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import ujson

from kestrelspar.http import parser
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop
from kestrelspar.standins.server import accept, free_listener

CLASSES = ("reading", "work-order", "payment")
SILENCE_CHECK_INTERVAL = 50 * MS
NS_PER_US = 1_000  # nanoseconds in a microsecond, which is the loop's unit of time


def settings(slots: int = 16, max_open: int = 400) -> dict[str, Any]:
    """Settings of a small installation: three classes, one zone, and one kind, with ``routes_apart`` set."""

    def message_class(name: str, objective: int, deadline: int, semantics: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "objective_ns": objective * SECOND * NS_PER_US,
            "deadline_ns": deadline * SECOND * NS_PER_US,
            "semantics": semantics,
            "value": 1.0,
            "late_worth": 0.4,
            **more,
        }

    return {
        "classes": [
            message_class("reading", 4, 16, "free"),
            message_class("work-order", 4, 16, "guarded", repeat_window_ns=7_500 * MS * NS_PER_US),
            message_class("payment", 3, 16, "single_shot"),
        ],
        "family_info": {"workers": slots, "routes_apart": [True]},
        "limits": {
            "max_attempts": 8,
            "max_open": max_open,
            "connect_timeout_ns": SECOND * NS_PER_US,
            "conn_idle_ns": 10 * SECOND * NS_PER_US,
            "max_retry_after_ns": 2 * SECOND * NS_PER_US,
        },
        "rules": {
            "cold_from": 0.2,
            "ramp_time_ns": 10 * SECOND * NS_PER_US,
            "tip_multiple": 2.0,
            "fall_ns": SECOND * NS_PER_US,
        },
        "quantum_ns": 5 * MS * NS_PER_US,
        "n_instances": 1,
        "dcs": ["room-a"],
        "kinds": ["utility"],
        "realms": [],
    }


def configuration(listen: str, discovery: str, state: str, **more: Any) -> dict[str, Any]:
    """The platform's JSON configuration of one courier; ``more`` overrides top-level keys."""
    return {
        "name": "demo",
        "listen": listen,
        "discovery": discovery,
        "state": state,
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 10},
        "known": {"index": 1, "snapshot": True, "endpoints": []},
        "settings": settings(),
        **more,
    }


class Server:
    """HTTP server on loopback; ``reply`` returns the whole response, or None to close the connection without one."""

    def __init__(self, loop: Loop, listener: socket.socket | None = None) -> None:
        self.loop, self.buffers, self.listener = loop, BufferPool(2048), listener or free_listener()
        self.address = "{}:{}".format(*self.listener.getsockname())
        loop.spawn(accept, loop, self.listener, self.buffers, self._serve)

    def _serve(self, stream: Stream) -> None:
        try:
            while True:
                head = parser.read_head(stream, None)
                response = self.reply(stream, head, parser.read_body(stream, head, None))
                if response is None:
                    return
                stream.write(response, self.loop.now + 5 * SECOND)
        except (ConnectionClosedError, DeadlineExceededError, parser.MalformedMessageError):
            pass
        finally:
            stream.close()

    def reply(self, stream: Stream, head: parser.Head, body: bytes) -> bytes | None:
        """The response to one request."""
        raise NotImplementedError


class Discovery(Server):
    """Discovery service: lists next hops, and receives notices.

    A watch is sent the whole list (``rows``) at its start. Each second after that, it is sent the list again if
    ``index`` has changed, or an empty line. ``on_notice`` is called with each notice; by default,
    ``notices`` collects them.
    """

    def __init__(self, loop: Loop, rows: list[dict[str, Any]], listener: socket.socket | None = None) -> None:
        super().__init__(loop, listener)
        self.rows, self.index = rows, 1
        self.notices: list[dict[str, Any]] = []
        self.on_notice: Callable[[dict[str, Any]], None] = self.notices.append
        self.silent = False  # requests for the list get no answer, and watches no lines; notices are acknowledged
        self.refuses_batch: Callable[[], bool] = lambda: False  # called with each batch; a refused one gets a 500

    def _list(self) -> bytes:
        snapshot = {"index": self.index, "snapshot": True, "endpoints": self.rows}
        return ujson.dumps(snapshot, escape_forward_slashes=False).encode()

    def reply(self, stream: Stream, head: parser.Head, body: bytes) -> bytes | None:
        """See ``Server.reply``."""
        method, target, _ = head.start_line
        if method == "POST":
            if self.refuses_batch():
                return parser.response(500)
            for line in body.splitlines():
                self.on_notice(ujson.loads(line))
            return parser.response(204)
        while self.silent:
            self.loop.sleep(SILENCE_CHECK_INTERVAL)
            if stream.peer_closed():
                return None
        if "watch=1" not in target:
            return parser.response(200, self._list())
        stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", self.loop.now + SECOND)
        sent_index = 0
        while not stream.peer_closed():
            if self.silent:
                self.loop.sleep(SILENCE_CHECK_INTERVAL)
                continue
            line = self._list() + b"\n" if sent_index != self.index else b"\n"
            sent_index = self.index
            stream.write(b"%x\r\n%s\r\n" % (len(line), line), self.loop.now + SECOND)
            self.loop.sleep(SECOND)
        return None


@dataclass
class Behaviour:
    """Latency and faults of a next hop: times in microseconds, shares of calls from 0 to 1."""

    min_latency: int = 20 * MS
    jitter: int = 60 * MS  # upper bound of the random delay added to min_latency
    refused: float = 0.0  # share refused with 429 and Retry-After, without delay
    error: float = 0.0  # share executed and answered with 500, which does not tell the courier whether the call ran
    silent: float = 0.0  # share executed without a response; the connection is closed after 30 s


@dataclass
class CallRecord:
    """Calls recorded by all next hops together."""

    effects: Counter[str] = field(default_factory=Counter)  # by message id: number of calls executed
    # By message id: time of the first response with status 200 to a client that was still connected, in microseconds of
    # the loop.
    first_answered_at: dict[str, int] = field(default_factory=dict)
    calls: int = 0


class NextHop(Server):
    """An endpoint of a member system, with random latencies and faults that are determined by a seed."""

    def __init__(self, loop: Loop, call_record: CallRecord, seed: int, behaviour: Behaviour) -> None:
        super().__init__(loop)
        self.call_record, self.behaviour, self._random = call_record, behaviour, random.Random(seed)

    def reply(self, stream: Stream, head: parser.Head, body: bytes) -> bytes | None:
        """See ``Server.reply``."""
        behaviour, trace, draw = self.behaviour, head.headers.get("x-trace-id", ""), self._random.random()
        self.call_record.calls += 1
        if draw < behaviour.refused:
            return parser.response(429, headers={"Retry-After": "0.2"})
        self.loop.sleep(behaviour.min_latency + int(self._random.random() * behaviour.jitter))
        self.call_record.effects[trace] += 1
        if draw < behaviour.refused + behaviour.error:
            return parser.response(500)
        if draw < behaviour.refused + behaviour.error + behaviour.silent:
            self.loop.sleep(30 * SECOND)
            return None
        if not stream.peer_closed():
            self.call_record.first_answered_at.setdefault(trace, self.loop.now)
        return parser.response(200)
