"""Delivery attempts over HTTP: the pool of connections to next hops, and what an answer means."""

from __future__ import annotations

import math
from collections.abc import Callable

from kestrelspar.buffers import BufferPool, Closed, Late, Stream
from kestrelspar.courier import Message, NextHop, Result
from kestrelspar.http import parser
from kestrelspar.loop import MS, SECOND, Loop, connect
from snowlock import interface as api
from snowlock.interface import Outcome

IDLE_PART = 0.86  # of conn_idle: closed well before the other machine does, which counts from its own answer
REAP_EVERY = 200 * MS
MOST_WAIT = 3_600 * SECOND


def seconds(text: str) -> int:
    """A Retry-After as microseconds, rounded up; 0 if it tells nothing usable."""
    try:
        value = float(text)
    except ValueError:
        return 0
    return min(MOST_WAIT, math.ceil(value * SECOND)) if math.isfinite(value) and value > 0 else 0


def load_report(text: str, columns: tuple[str, ...]) -> tuple[float, ...]:
    """The values that the settings name, in their order; nothing if none is told."""
    told: dict[str, float] = {}
    for pair in text.removeprefix("TEXT").split(","):
        name, _, value = pair.partition("=")
        try:
            told[name.strip()] = float(value)
        except ValueError:
            continue
    if not columns or not any(name in told for name in columns):
        return ()
    values = (told.get(name, 0.0) for name in columns)
    return tuple(value if math.isfinite(value) else 0.0 for value in values)


def meaning(status: int, headers: dict[str, str], columns: tuple[str, ...]) -> Result:
    """A whole answer as the module's outcome."""
    report = load_report(headers.get("endpoint-load-metrics", ""), columns)
    wait = seconds(headers.get("retry-after", ""))
    if 200 <= status < 300:
        return Result(Outcome.OK, report=report)
    if status == 429:
        return Result(Outcome.FULL, wait, report=report)
    if status == 503:
        if headers.get("x-egress-full", "") == "1":
            return Result(Outcome.MOOT, no_slot=True, report=report, note="no slot")
        return Result(Outcome.FULL, wait, report=report)
    if status == 504:
        return Result(Outcome.MOOT, report=report, note="attempts used up")
    if status == 410:
        return Result(Outcome.MOOT, closed=True, report=report, note="over")
    return Result(Outcome.ERROR, report=report, note=str(status))


class NextHops:
    """Makes delivery attempts; keeps idle connections for reuse."""

    def __init__(self, loop: Loop, buffers: BufferPool, settings: api.Settings, most_idle: int) -> None:
        self.loop, self.buffers, self.settings = loop, buffers, settings
        self.opened = self.reused = 0
        self._idle: dict[tuple[bytes, tuple[str, int]], list[tuple[Stream, int]]] = {}
        self._most_idle = most_idle
        self._idle_span = int(settings.idle_ns // 1000 * IDLE_PART)
        loop.spawn(self._reap)

    def attempt(self, message: Message, hop: NextHop, deadline: int, leave: Callable[[], bool]) -> Result:
        """One delivery attempt, from connection to outcome."""
        stream = self._reuse(hop)
        if stream is None:
            span = min(self.settings.connect_timeout_ns // 1000, hop.connect_within)
            came_up = min(deadline, self.loop.now + span)
            sock = connect(self.loop, hop.address, came_up)
            if sock is None:
                return Result(Outcome.CONNECT_FAILED)
            self.opened += 1
            stream = Stream(self.loop, sock, self.buffers)
        if not leave():
            self._keep(hop, stream)
            return Result(Outcome.MOOT, note="barred meanwhile")
        headers = {"X-Trace-Id": message.trace}
        if message.key:
            headers["Idempotency-Key"] = message.key
        headers["X-Expires-In"] = f"{max(1, (deadline - self.loop.now) // MS)}m"
        call = parser.request("POST", hop.target, "app.svc", headers, message.body)
        try:
            stream.write(call, deadline)
        except (Closed, Late):  # before its last byte: it never ran
            stream.close()
            return Result(Outcome.CONNECT_FAILED, note="broke before the last byte")
        try:
            answer = parser.read_head(stream, deadline, response=True)
            while answer.status < 200:
                answer = parser.read_head(stream, deadline, response=True)
            result = meaning(answer.status, answer.headers, self.settings.columns)
        except (Closed, parser.BadMessage):
            stream.close()
            return Result(Outcome.RESET)
        except Late:
            stream.close()
            return Result(Outcome.TIMEOUT)
        if answer.status in (204, 304) or parser.body_told(answer) == 0:
            self._finish(hop, stream, answer.keeps)
        else:
            self.loop.spawn(self._read_out, hop, stream, answer, deadline)
        return result

    def _read_out(self, hop: NextHop, stream: Stream, answer: parser.Head, deadline: int) -> None:
        """The body means nothing, but has to be read before the connection can be used again."""
        try:
            parser.read_body(stream, answer, deadline, response=True)
            told = parser.body_length(answer) != -1
        except (Closed, Late, parser.BadMessage):
            stream.close()
            return
        self._finish(hop, stream, answer.keeps and told)

    def _finish(self, hop: NextHop, stream: Stream, keeps: bool) -> None:
        if keeps and not stream.unread:
            self._keep(hop, stream)
        else:
            stream.close()

    def _keep(self, hop: NextHop, stream: Stream) -> None:
        self._idle.setdefault((hop.endpoint.id, hop.address), []).append((stream, self.loop.now))
        if sum(map(len, self._idle.values())) > self._most_idle:
            oldest = min((k for k, v in self._idle.items() if v), key=lambda k: self._idle[k][0][1])
            self._idle[oldest].pop(0)[0].close()

    def _reuse(self, hop: NextHop) -> Stream | None:
        """The idle connection used last, unless its end shows."""
        idle = self._idle.get((hop.endpoint.id, hop.address), [])
        while idle:
            stream, since = idle.pop()
            # A request on a connection that the other side has dropped would end as a reset.
            if self.loop.now - since < self._idle_span and not stream.ended():
                self.reused += 1
                return stream
            stream.close()
        return None

    def close_idle(self, hop: NextHop) -> None:
        """Shut idle connections to the next hop."""
        for stream, _ in self._idle.pop((hop.endpoint.id, hop.address), []):
            stream.close()

    def _reap(self) -> None:
        """Close what has been idle for long, or was ended by the other side."""
        while True:
            self.loop.sleep(REAP_EVERY)
            for key, idle in list(self._idle.items()):
                kept = []
                for stream, since in idle:
                    if self.loop.now - since < self._idle_span and not stream.ended():
                        kept.append((stream, since))
                    else:
                        stream.close()
                if kept:
                    self._idle[key] = kept
                else:
                    del self._idle[key]
