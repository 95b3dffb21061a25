"""Delivery attempts over HTTP: connection pool to next hops, and classification of responses."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from dataclasses import replace

from kestrelspar.core.messages import NEVER_RAN, Message, Result
from kestrelspar.core.transport_map import NextHop
from kestrelspar.http import parser
from kestrelspar.http.pool import ConnectionPool, PooledConnection
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, ConnectError, Loop, dial
from snowlock import interface as api
from snowlock.interface import Outcome

# Of conn_idle: so the courier closes a connection before the next hop does, whose idle time begins earlier, when it has
# responded.
IDLE_FRACTION = 0.86
MAX_RETRY_AFTER = 3_600 * SECOND  # longer delays count as this one
MAX_CREDIBLE_RETRY_AFTER_S = 86_400.0  # seconds; a larger value is noise and names no delay
MAX_SINGLE_WRITE = 16 * 1024  # bytes of a request that the socket's send buffer takes at once
LOCAL_RETRY_DELAY = 50 * MS  # after a connection that failed for a reason of this machine
RESPONSE_READ_TIMEOUT = 1 * SECOND  # from the first byte of a response to its last


def parse_retry_after(text: str) -> int:
    """Parses a Retry-After value in seconds into microseconds, rounded up and at most ``MAX_RETRY_AFTER``.

    Returns 0 if it is missing, not positive, above ``MAX_CREDIBLE_RETRY_AFTER_S`` or no number, as is an HTTP date: one
    response with noise must not stop a destination.
    """
    try:
        value = float(text)
    except ValueError:
        return 0
    if not 0 < value <= MAX_CREDIBLE_RETRY_AFTER_S:  # false also for NaN
        return 0
    return min(MAX_RETRY_AFTER, math.ceil(value * SECOND))


def parse_load_report(text: str, columns: tuple[str, ...]) -> tuple[float, ...]:
    """Parses an Endpoint-Load-Metrics value, such as ``TEXT x0=0.4, x1=25``.

    Returns the metrics named by ``columns``, in that order; empty unless all of them are present, finite and not
    negative. Other metrics are ignored.
    """
    metrics: dict[str, float] = {}
    for pair in text.removeprefix("TEXT").split(","):
        name, _, value = pair.partition("=")
        try:
            metrics[name.strip()] = float(value)
        except ValueError:
            continue
    values = tuple(metrics.get(name, math.nan) for name in columns)
    # Zeros in place of invalid values would tell the decision module that there is no limit.
    return values if all(math.isfinite(value) and value >= 0 for value in values) else ()


def classify_response(status: int, headers: dict[str, str], columns: tuple[str, ...]) -> Result:
    """Classifies a response by its status and headers as an outcome for the decision module.

    The caller decides whether the body, too, must be complete; see ``HttpCarrier._read_response``.
    """
    report = parse_load_report(headers.get("endpoint-load-metrics", ""), columns)
    retry_after = parse_retry_after(headers.get("retry-after", ""))
    if 200 <= status < 300:
        return Result(Outcome.OK, report=report)
    if status == 429:
        return Result(Outcome.FULL, retry_after, report=report)
    if status == 503:
        if headers.get("x-egress-full", "") == "1":
            return Result(Outcome.MOOT, no_slot=True, report=report, note="no slot")
        return Result(Outcome.FULL, retry_after, report=report)
    if status == 504:
        return Result(Outcome.MOOT, report=report, note="attempts exhausted")
    if status == 410:
        return Result(Outcome.MOOT, already_answered=True, report=report, note="message closed")
    return Result(Outcome.ERROR, report=report, note=str(status))


def _is_duplicate(stream: Stream, head: parser.Head) -> bool:
    """Whether the bytes after a response begin with its status line, and so are taken for a copy of it."""
    return bytes(stream.unread).startswith(" ".join(head.start_line).encode("latin-1"))


def _without_proof(result: Result) -> Result:
    """The result of a call whose response may be that of another call: it may have run, and may not have.

    A retry-after delay is honoured all the same.
    """
    return Result(Outcome.RESET, result.retry_after, note=f"unproven {result.outcome.name.lower()}")


class HttpCarrier:
    """Makes delivery attempts and pools idle connections."""

    def __init__(self, loop: Loop, buffers: BufferPool, settings: api.Settings, max_idle: int) -> None:
        self.loop, self.buffers, self.settings = loop, buffers, settings
        self.opened = self.reused = 0  # how many attempts opened a connection, and how many reused an idle one
        self._draining_responses = 0  # connections on which the rest of a 200 is being read; at most one per slot
        self._connections = ConnectionPool(loop, max_idle, int(settings.idle_ns // 1000 * IDLE_FRACTION))

    def attempt(self, message: Message, hop: NextHop, deadline: int, guard: Callable[[], bool]) -> Result:
        """Makes one delivery attempt, from connecting to the outcome.

        ``deadline`` is a time of the loop's clock, in microseconds. ``guard`` is called just before the request is
        written; if it returns False, nothing is sent, and the connection returns to the pool.
        """
        try:
            connection = self._connect(message, hop, deadline)
        except ConnectError as error:
            if not error.is_local:
                return Result(Outcome.CONNECT_FAILED, note=str(error))
            # Says nothing about the next hop, so it must not count against it.
            return Result(Outcome.MOOT, note=f"no connection from here: {error}")
        try:
            if not guard():
                self._connections.release_unused(hop, connection)
                return Result(Outcome.MOOT, note="barred meanwhile")
            rested = self.loop.now - connection.since if connection.has_carried_call else None
            result = self._send(message, hop, connection, deadline)
        except Exception:  # a call must not stay out on a connection that nobody reads
            connection.stream.close()
            raise
        if rested is not None and self._connections.is_distrusted(hop):
            result = _without_proof(result)
        is_logged = result.outcome is not Outcome.OK or logs.is_enabled(logs.DEBUG)
        return replace(result, rested=rested) if is_logged and rested is not None else result

    def _connect(self, message: Message, hop: NextHop, deadline: int) -> PooledConnection:
        """An idle connection, or a new one; ``ConnectError`` if that could not be opened in time.

        For a message that may not be sent again, the pool is stricter: a late copy of an earlier refusal would look
        like proof that it did not run.
        """
        may_not_repeat = self.settings.classes[message.cls].safety is api.Safety.UNSAFE
        idle = self._connections.acquire(hop, may_not_repeat)
        if idle is not None:
            self.reused += 1
            return idle
        sock = self._dial(hop, deadline)
        self.opened += 1
        return PooledConnection(Stream(self.loop, sock, self.buffers), self.loop.now, has_carried_call=False)

    def _dial(self, hop: NextHop, deadline: int) -> socket.socket:
        """A new connection; failures of this machine are retried until the deadline, as they mostly end soon."""
        timeout = min(self.settings.connect_timeout_ns // 1000, hop.connect_timeout)
        while True:
            try:
                return dial(self.loop, hop.address, min(deadline, self.loop.now + timeout))
            except ConnectError as error:
                if not error.is_local or self.loop.now + LOCAL_RETRY_DELAY >= deadline:
                    raise
                logs.event("connect-retried", logs.DEBUG, hop=hop.name, why=str(error))
            self.loop.sleep(LOCAL_RETRY_DELAY)

    def _send(self, message: Message, hop: NextHop, connection: PooledConnection, deadline: int) -> Result:
        """Writes the request and reads its response.

        The last byte is written only while no bytes have arrived: a response that comes earlier is to another request.
        """
        stream = connection.stream
        headers = {"X-Trace-Id": message.trace}
        if message.key:
            headers["Idempotency-Key"] = message.key
        headers["X-Expires-In"] = f"{max(1, (deadline - self.loop.now) // MS)}m"
        request = parser.request("POST", hop.target, "app.svc", headers, message.body)
        try:
            if len(request) > MAX_SINGLE_WRITE:  # may take several turns of the loop
                stream.write(request[:-1], deadline)
                request = request[-1:]
                self._check_no_input(hop, stream)
            elif not connection.has_carried_call:  # one that has was checked in this turn, when it was acquired
                self._check_no_input(hop, stream)
            stream.write(request, deadline)
        except (ConnectionClosedError, DeadlineExceededError):
            # The last byte was not written: the next hop cannot have processed the message.
            stream.close()
            return Result(Outcome.CONNECT_FAILED, note="broke before the last byte")
        return self._read_response(hop, stream, deadline)

    def _check_no_input(self, hop: NextHop, stream: Stream) -> None:
        """Raises ``ConnectionClosedError`` if the connection is closed, or has bytes that no call has requested."""
        if stream.is_reusable():
            return
        if stream.has_input():
            self._connections.note_unrequested_bytes(hop, stream)
        raise ConnectionClosedError

    def _read_response(self, hop: NextHop, stream: Stream, deadline: int) -> Result:
        """Reads the response to a request that was written, and returns the outcome.

        A status line with 200 that arrives before the deadline means delivered, whatever follows it. The status of any
        other response counts only if the response is complete: one that is truncated or does not match its own length
        may be noise. It proves nothing, least of all that the message was not processed; only its Retry-After is used.
        """
        try:
            while not len(stream.unread):
                stream.fill(deadline)
        except ConnectionClosedError:
            stream.close()
            return Result(Outcome.RESET)
        except DeadlineExceededError:
            stream.close()
            return Result(Outcome.TIMEOUT)
        attempt_deadline, deadline = deadline, min(deadline, self.loop.now + RESPONSE_READ_TIMEOUT)
        retry_after = 0  # honoured even if the rest of the response is malformed
        try:
            while (status := parser.status(stream.unread)) is None or status < 200:
                if status is None:
                    stream.fill(deadline)
                else:
                    parser.read_head(stream, deadline, response=True)  # 1xx: the final response follows
            # The next hop does not count a late response as a delivery, so the message still needs its final state.
            if status == 200 and self.loop.now > attempt_deadline:
                stream.close()
                return Result(Outcome.TIMEOUT, note="response after the deadline")
            if status == 200:
                return self._delivered(hop, stream, deadline)
            head = parser.read_head(stream, deadline, response=True)
            result = classify_response(status, head.headers, self.settings.columns)
            retry_after = result.retry_after
            if status not in (204, 304):
                parser.read_body(stream, head, deadline, response=True)
            if len(stream.unread) and result.outcome in NEVER_RAN and not _is_duplicate(stream, head):
                self._connections.note_unrequested_bytes(hop, stream)
                raise parser.MalformedMessageError(
                    "bytes after the end of the response: noise, or a wrong Content-Length"
                )
        except ConnectionClosedError:
            stream.close()
            return Result(Outcome.RESET, retry_after, note="response truncated")
        except (DeadlineExceededError, parser.MalformedMessageError):
            stream.close()
            return Result(Outcome.ERROR, retry_after, note="malformed response")
        self._finish(hop, stream, head)
        return result

    def _delivered(self, hop: NextHop, stream: Stream, deadline: int) -> Result:
        """The result for a status line with 200, with the load report if the headers have arrived and are valid.

        Keeps the connection for reuse if the whole response has arrived; otherwise a task reads the rest.
        """
        try:
            return self._delivered_by(hop, stream, deadline)
        except parser.MalformedMessageError:
            pass
        except Exception:  # the message is delivered, whatever is wrong with the rest of the response
            logs.fault("response with status 200", hop=hop.name)
        stream.close()
        return Result(Outcome.OK)

    def _delivered_by(self, hop: NextHop, stream: Stream, deadline: int) -> Result:
        """``_delivered`` for a valid head; raises ``MalformedMessageError`` for an invalid one."""
        head = parser.head(stream.unread, response=True)
        length = parser.body_length(head) if head is not None else None
        if head is None:
            self._read_rest_in_background(hop, stream, deadline)
            return Result(Outcome.OK)
        if length is not None and 0 <= length <= len(stream.unread) - head.size:
            stream.consume(head.size + length)
            self._finish(hop, stream, head)
        else:
            self._read_rest_in_background(hop, stream, deadline)
        return classify_response(200, head.headers, self.settings.columns)

    def _read_rest_in_background(self, hop: NextHop, stream: Stream, deadline: int) -> None:
        """Reads the rest of a 200 response in a task of its own.

        The number of these tasks is limited: their attempts no longer hold a slot, so responses that arrive slowly
        could otherwise use up the file descriptors. Beyond the limit, the connection is closed.
        """
        if self._draining_responses >= self.settings.slots:
            stream.close()
            return
        self._draining_responses += 1
        self.loop.spawn(self._read_rest, hop, stream, deadline)

    def _read_rest(self, hop: NextHop, stream: Stream, deadline: int) -> None:
        """Reads and discards the rest of a 200 response, so that the connection can be reused, unless that fails."""
        try:
            head = parser.read_head(stream, deadline, response=True)
            parser.read_body(stream, head, deadline, response=True)
            self._finish(hop, stream, head)
        except (ConnectionClosedError, DeadlineExceededError, parser.MalformedMessageError):
            stream.close()
        except Exception:
            stream.close()
            raise
        finally:
            self._draining_responses -= 1

    def _finish(self, hop: NextHop, stream: Stream, head: parser.Head) -> None:
        """Return the connection to the pool, or close it.

        It can be reused if the response had a known end, and neither side closes the connection.
        """
        delimited = head.status in (204, 304) or parser.body_length(head) != -1
        if delimited and head.keep_alive:
            self._connections.release(hop, stream)
        else:
            stream.close()

    def close_idle(self, hop: NextHop) -> None:
        """Closes the idle connections to the next hop."""
        self._connections.close_idle(hop)
