"""Notices to the platform: the final states of messages that were accepted and not delivered."""

from __future__ import annotations

import ujson

from kestrelspar.core.courier import DELIVERED, End, Message
from kestrelspar.http import parser
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, Suspension, connect

# A final state may be reported up to 300 ms after a message's deadline. Waiting on a connection that does not respond
# must not use up that time. The platform normally responds at once, so the time-out of the first attempt is short. It
# doubles after each failure.
INITIAL_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT = 150 * MS, 2 * SECOND
INITIAL_RETRY_DELAY, MAX_RETRY_DELAY = 25 * MS, 250 * MS
MAX_BATCH_SIZE = 200  # notices


class Notices:
    """The sender side of messages that arrived over HTTP.

    A notice is repeated until the platform acknowledges it with a 2xx status, or rejects it, alone in a batch, with
    status 400.
    """

    name = "http"

    def __init__(self, loop: Loop, buffers: BufferPool, address: tuple[str, int]) -> None:
        self.loop, self.buffers, self.address = loop, buffers, address
        self._pending: list[tuple[str, Suspension]] = []  # notices as JSON, each with the suspension of its task
        self._stream: Stream | None = None
        self._sending = False  # a task is sending the pending notices
        self._move_count = 0  # a task that began before a move ends

    def move(self, address: tuple[str, int]) -> None:
        """Sends notices to another address from now on, beginning with the pending ones."""
        self.address, self._move_count = address, self._move_count + 1
        if self._stream is not None:
            self._stream.close()  # ends the request that is in progress, and with it the task that sent it
            self._stream = None
        if self._sending:
            self.loop.spawn(self._send_pending)

    def recover(self, message: Message) -> bool:
        """Always False: an HTTP client cannot query a message that it has submitted."""
        return False

    def report_end(self, message: Message, end: End) -> None:
        """Reports a final state, and waits for its acknowledgement or rejection. Delivered messages need no notice."""
        if end.state == DELIVERED:
            return
        notice: dict[str, object] = {"id": message.trace, "state": end.state}
        if end.after_ms:
            notice["after_ms"] = end.after_ms
        acknowledged = Suspension(self.loop)
        self._pending.append((ujson.dumps(notice), acknowledged))
        if not self._sending:
            self._sending = True
            self.loop.spawn(self._send_pending)
        self.loop.park(acknowledged)

    def _send_pending(self) -> None:
        """Sends pending notices in batches until there are none, or the platform's address changes."""
        delay, timeout, batch_size, move_count = (
            INITIAL_RETRY_DELAY,
            INITIAL_RESPONSE_TIMEOUT,
            MAX_BATCH_SIZE,
            self._move_count,
        )
        while self._pending:
            batch = self._pending[:batch_size]
            status = self._post("".join(line + "\n" for line, _ in batch).encode(), timeout)
            if move_count != self._move_count:
                return  # another task sends to the new address
            if status == 400 and len(batch) > 1:  # bisects to find the rejected notice, so that it delays no others
                batch_size = len(batch) // 2
                continue
            if status == 400:
                logs.error("notice-refused", notice=batch[0][0])
            elif status is None or not 200 <= status < 300:
                logs.warn("notices-unheard", status=status, owed=len(self._pending), again_ms=delay // MS)
                self.loop.sleep(delay)
                if move_count != self._move_count:
                    return
                delay, timeout = min(MAX_RETRY_DELAY, 2 * delay), min(MAX_RESPONSE_TIMEOUT, 2 * timeout)
                continue
            delay, timeout, batch_size = (
                INITIAL_RETRY_DELAY,
                INITIAL_RESPONSE_TIMEOUT,
                min(MAX_BATCH_SIZE, 2 * batch_size),
            )
            del self._pending[: len(batch)]
            for _, acknowledged in batch:
                acknowledged.resume()
        self._sending = False

    def has_pending(self) -> bool:
        """Whether a notice still has to be sent or acknowledged."""
        return bool(self._pending)

    def _post(self, body: bytes, timeout: int) -> int | None:
        """Posts a batch on a connection of its own; returns the status of the response.

        The response names no request: on a connection that has carried one before, a late copy of an earlier response
        would acknowledge notices that the platform has not taken. Returns None if the request failed or the platform's
        address changed, as the batch then has to be sent again. ``timeout``, in microseconds, is for connecting, the
        request and the response together.
        """
        deadline, move_count = self.loop.now + timeout, self._move_count
        sock = connect(self.loop, self.address, deadline)
        if sock is None:
            return None
        stream = Stream(self.loop, sock, self.buffers)
        if move_count != self._move_count:
            stream.close()
            return None
        self._stream = stream  # so that ``move`` can close it
        try:
            headers = {"Content-Type": "application/x-ndjson", "Connection": "close"}
            stream.write(parser.request("POST", "/reports", "app.svc", headers, body), deadline)
            status: int | None = parser.read_head(stream, deadline, response=True).status
        except (ConnectionClosedError, DeadlineExceededError, parser.MalformedMessageError):
            status = None
        stream.close()
        if move_count != self._move_count:
            return None
        self._stream = None
        return status
