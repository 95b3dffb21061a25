"""Delivery attempts over HTTP: the pool of connections to next hops, and what an answer means."""

from __future__ import annotations

import math
from collections.abc import Callable

from kestrelspar.core.courier import NEVER_RAN, Message, NextHop, Result
from kestrelspar.http import parser
from kestrelspar.runtime.buffers import BufferPool, Closed, Late, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from snowlock import interface as api
from snowlock.interface import Outcome

IDLE_PART = 0.86  # of conn_idle: closed well before the other machine does, which counts from its own answer
REAP_EVERY = 200 * MS
MOST_WAIT = 3_600 * SECOND
REST_WITHIN = 1 * SECOND  # an answer that has begun comes whole within this, or is spoilt


def seconds(text: str) -> int:
    """A Retry-After as microseconds, rounded up; 0 if it tells nothing usable."""
    try:
        value = float(text)
    except ValueError:
        return 0
    return min(MOST_WAIT, math.ceil(value * SECOND)) if math.isfinite(value) and value > 0 else 0


def load_report(text: str, columns: tuple[str, ...]) -> tuple[float, ...]:
    """The values that the settings name, in their order; nothing unless all of them are told and usable."""
    told: dict[str, float] = {}
    for pair in text.removeprefix("TEXT").split(","):
        name, _, value = pair.partition("=")
        try:
            told[name.strip()] = float(value)
        except ValueError:
            continue
    values = tuple(told.get(name, math.nan) for name in columns)
    # Zeros in place of what can't be read would tell the module that there is no limit.
    return values if all(math.isfinite(value) and value >= 0 for value in values) else ()


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


def _again(stream: Stream, answer: parser.Head) -> bool:
    """Whether what came behind an answer is a copy of it, as far as the first line tells."""
    return bytes(stream.unread).startswith(" ".join(answer.first).encode("latin-1"))


class NextHops:
    """Makes delivery attempts; keeps idle connections for reuse."""

    def __init__(self, loop: Loop, buffers: BufferPool, settings: api.Settings, most_idle: int) -> None:
        self.loop, self.buffers, self.settings = loop, buffers, settings
        self.opened = self.reused = 0
        self._idle: dict[tuple[bytes, tuple[str, int]], list[tuple[Stream, int]]] = {}
        self._most_idle = most_idle
        self._reading_out = 0  # connections that still read the rest of a 200; as many as there are slots at most
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
        return self._answer(hop, stream, deadline)

    def _answer(self, hop: NextHop, stream: Stream, deadline: int) -> Result:
        """The outcome of a call that is written.

        A first line with 200 is delivered, whatever follows. Any other answer counts only as a whole: one
        that breaks off or does not fit its own length may be noise, and proves nothing, least of all that the
        message never ran.
        """
        try:
            while not len(stream.unread):
                stream.fill(deadline)
        except Closed:
            stream.close()
            return Result(Outcome.RESET)
        except Late:
            stream.close()
            return Result(Outcome.TIMEOUT)
        given_up, deadline = deadline, min(deadline, self.loop.now + REST_WITHIN)
        wait = 0  # heeded even if the answer that tells it is spoilt
        try:
            while (status := parser.status(stream.unread)) is None or status < 200:
                if status is None:
                    stream.fill(deadline)
                else:
                    parser.read_head(stream, deadline, response=True)  # 1xx: the answer is still to come
            if status == 200 and self.loop.now > given_up:  # its sender counts it as late: the message needs its end
                stream.close()
                return Result(Outcome.TIMEOUT, note="answered too late")
            if status == 200:
                return self._delivered(hop, stream, deadline)
            answer = parser.read_head(stream, deadline, response=True)
            result = meaning(status, answer.headers, self.settings.columns)
            wait = result.told_wait
            if status not in (204, 304):
                parser.read_body(stream, answer, deadline, response=True)
            if len(stream.unread) and result.outcome in NEVER_RAN and not _again(stream, answer):
                raise parser.BadMessage("noise behind it, or a length that is too short")
        except Closed:
            stream.close()
            return Result(Outcome.RESET, wait, note="answer broke off")
        except (Late, parser.BadMessage):
            stream.close()
            return Result(Outcome.ERROR, wait, note="spoilt answer")
        self._finish(hop, stream, answer)
        return result

    def _delivered(self, hop: NextHop, stream: Stream, deadline: int) -> Result:
        """A first line with 200 has come: whatever its head tells, if that is there and can be read."""
        try:
            answer = parser.head(stream.unread, response=True)
            length = parser.body_length(answer) if answer is not None else None
        except parser.BadMessage:
            stream.close()
            return Result(Outcome.OK)
        if answer is None:
            self._read_on(hop, stream, deadline)
            return Result(Outcome.OK)
        if length is not None and 0 <= length <= len(stream.unread) - answer.size:
            stream.consume(answer.size + length)
            self._finish(hop, stream, answer)
        else:
            self._read_on(hop, stream, deadline)
        return meaning(200, answer.headers, self.settings.columns)

    def _read_on(self, hop: NextHop, stream: Stream, deadline: int) -> None:
        """Guards against descriptors held by many answers that trickle: their calls hold no slot any more."""
        if self._reading_out >= self.settings.slots:
            stream.close()
            return
        self._reading_out += 1
        self.loop.spawn(self._read_out, hop, stream, deadline)

    def _read_out(self, hop: NextHop, stream: Stream, deadline: int) -> None:
        """The rest of a 200 means nothing, but has to be read before the connection can be used again."""
        try:
            answer = parser.read_head(stream, deadline, response=True)
            parser.read_body(stream, answer, deadline, response=True)
        except (Closed, Late, parser.BadMessage):
            stream.close()
            return
        finally:
            self._reading_out -= 1
        self._finish(hop, stream, answer)

    def _finish(self, hop: NextHop, stream: Stream, answer: parser.Head) -> None:
        """Keep the connection if its answer had a told end and nothing came behind it."""
        told = answer.status in (204, 304) or parser.body_length(answer) != -1
        if told and answer.keeps and stream.quiet():
            self._keep(hop, stream)
        else:
            stream.close()

    def _keep(self, hop: NextHop, stream: Stream) -> None:
        self._idle.setdefault((hop.endpoint.id, hop.address), []).append((stream, self.loop.now))
        if sum(map(len, self._idle.values())) > self._most_idle:
            oldest = min((k for k, v in self._idle.items() if v), key=lambda k: self._idle[k][0][1])
            self._idle[oldest].pop(0)[0].close()

    def _reuse(self, hop: NextHop) -> Stream | None:
        """The idle connection used last that is still quiet."""
        idle = self._idle.get((hop.endpoint.id, hop.address), [])
        while idle:
            stream, since = idle.pop()
            # A request on a connection that the other side has dropped would end as a reset.
            # What comes on an idle connection, its end or noise, belongs to no call.
            if self.loop.now - since < self._idle_span and stream.quiet():
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
                    if self.loop.now - since < self._idle_span and stream.quiet():
                        kept.append((stream, since))
                    else:
                        stream.close()
                if kept:
                    self._idle[key] = kept
                else:
                    del self._idle[key]
