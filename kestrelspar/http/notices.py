"""Notices to the platform: the final states of messages that were accepted and not delivered."""

from __future__ import annotations

import ujson

from kestrelspar.core.front_ends import default_report_time
from kestrelspar.core.messages import DELIVERED, End, Message
from kestrelspar.http import parser
from kestrelspar.http.notice_queue import Batch, Notice, NoticeQueue
from kestrelspar.http.spare_connections import Choice, SpareConnection, SpareConnections
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, Suspension

RESPONSE_TIMEOUT = 2 * SECOND  # for writing a request and reading its response
SPARE_WAIT = 250 * MS  # for a connection to come up, before one more is opened
REQUEST_INTERVAL = 75 * MS  # between requests while not all spare connections are ready, so that notices share one
FAULT_RETRY_DELAY = 25 * MS  # after an exception in the sending of notices
MIN_LOGGED_REQUESTS = 3  # that carried a notice before it was acknowledged
MIN_CONNECTIONS, MAX_CONNECTIONS = 8, 32  # to the platform
DESCRIPTORS_PER_CONNECTION = 16  # of the courier's limit


def max_connections(sockets: int) -> int:
    """How many connections to the platform a courier with this limit on descriptors may hold."""
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, sockets // DESCRIPTORS_PER_CONNECTION))


class Notices:
    """The sender side of messages that arrived over HTTP.

    A notice is repeated until the platform acknowledges it with a 2xx status, or rejects it, alone in a batch, with
    status 400. Requests overlap: one that is late, fails or is rejected delays no other.
    """

    name = "http"

    def __init__(
        self, loop: Loop, buffers: BufferPool, address: tuple[str, int], connections: int = MAX_CONNECTIONS
    ) -> None:
        self.loop = loop
        self._queue = NoticeQueue()
        self._spares = SpareConnections(loop, buffers, address, connections)
        self._preferred = Choice.OLDEST  # for first requests: the connection that was answered last
        self._sending = False  # ``_send_pending`` runs
        self._idle: Suspension | None = None  # that task, while nothing is due

    def open_connections(self) -> None:
        """Open the spare connections, before the first notice needs one."""
        self._spares.refill()

    def move(self, address: tuple[str, int]) -> None:
        """Sends notices to another address from now on, beginning with the pending ones.

        Requests to the earlier address go on, but acknowledge nothing any more.
        """
        self._queue.make_due(self.loop.now)
        self._spares.move(address)
        self._wake()

    def recover(self, message: Message) -> bool:
        """Always False: an HTTP client cannot query a message that it has submitted."""
        return False

    def report_time(self, time_left: int) -> int:
        """See ``SenderSide``."""
        return default_report_time(time_left)

    def report_end(self, message: Message, end: End) -> None:
        """Reports a final state, and waits for its acknowledgement or rejection. Delivered messages need no notice."""
        if end.state == DELIVERED:
            return
        fields: dict[str, object] = {"id": message.trace, "state": end.state}
        if end.after_ms:
            fields["after_ms"] = end.after_ms
        notice = Notice(ujson.dumps(fields), Suspension(self.loop), self.loop.now)
        self._queue.add(notice)
        self._wake()
        self.loop.park(notice.settled)

    def has_pending(self) -> bool:
        """Whether a notice still has to be sent or acknowledged."""
        return bool(self._queue)

    def _wake(self) -> None:
        """Let the sending task look at the queue again; starts it if it does not run."""
        if self._idle is not None:
            self._idle.resume()
        elif not self._sending and self._queue:
            self._sending = True
            self.loop.spawn(self._send_pending)

    def _send_pending(self) -> None:
        """Sends notices when they are due, until there are none."""
        try:
            while self._queue:
                self._await_due()
                if not self._queue or self._queue.next_due_at() > self.loop.now:
                    continue
                # Each notice alternately, as either the old or the young connections may be silent.
                sent_on = self._queue.next_sent_on(self.loop.now)
                choice = self._preferred if sent_on is None else sent_on.other
                connection = self._spares.take(choice)
                if connection is None:
                    self._spares.wait(self.loop.now + SPARE_WAIT)
                    continue
                batch = self._queue.take_batch(self.loop.now)
                for notice in batch:
                    notice.sent_on = choice
                self.loop.spawn(self._send, connection, batch, choice)
                others_are_due = bool(self._queue) and self._queue.next_due_at() <= self.loop.now
                if self._spares.scarce and not others_are_due:
                    self.loop.sleep(REQUEST_INTERVAL)
        except Exception:  # the notices are still owed
            logs.fault("notices")
            self.loop.call_at(self.loop.now + FAULT_RETRY_DELAY, self._wake)
        finally:
            self._sending = False

    def _await_due(self) -> None:
        due_at = self._queue.next_due_at()
        if due_at <= self.loop.now:
            return
        self._idle = Suspension(self.loop)
        self.loop.park(self._idle, due_at)
        self._idle = None

    def _send(self, connection: SpareConnection, batch: Batch, choice: Choice) -> None:
        """Sends one request on a connection of its own, and handles its response.

        The response names no request: on a connection that has carried one before, a late copy of an earlier response
        would acknowledge notices that the platform has not taken.
        """
        started_at = self.loop.now
        if logs.is_enabled(logs.DEBUG):
            logs.event(
                "notices-sent",
                logs.DEBUG,
                to="{}:{}".format(*connection.address),
                notices=len(batch),
                first=batch[0].line,
                on=choice.value,
                rested_ms=(started_at - connection.came_up_at) // MS,
                connections=self._spares.counts(),
            )
        status, was_given_up = None, False
        try:
            status = self._post(connection.stream, "".join(notice.line + "\n" for notice in batch).encode())
        finally:
            was_given_up = not self._spares.release(connection, status is not None)
        if connection.address != self._spares.address:
            return
        if status is not None and 200 <= status < 300:
            self._preferred = choice
            self._log_repeats(batch, choice)
            self._settle(batch)
        elif status == 400 and len(batch) > 1:
            self._queue.split(batch)
        elif status == 400:
            logs.error("notice-refused", notice=batch[0].line)
            self._settle(batch)
        elif was_given_up:  # the notices are sent again when they are due, as if they were still unanswered
            return
        else:
            owed = self._queue.retry(batch, self.loop.now)
            logs.event(
                "notices-unheard",
                logs.WARNING if owed else logs.DEBUG,  # others have acknowledged them meanwhile
                status=status,
                notices=len(batch),
                owed=owed,
                after_ms=(self.loop.now - started_at) // MS,
            )
        self._wake()

    def _log_repeats(self, batch: Batch, choice: Choice) -> None:
        """Log that notices took several requests, as where connections fall silent or come up late."""
        requests = max(notice.requests for notice in batch)
        if requests >= MIN_LOGGED_REQUESTS:
            logs.warn(
                "notices-repeated",
                notices=len(batch),
                requests=requests,
                on=choice.value,
                since_first_ms=(self.loop.now - min(notice.first_sent_at for notice in batch)) // MS,
                connections=self._spares.counts(),
            )

    def _settle(self, batch: Batch) -> None:
        for notice in self._queue.settle(batch):
            notice.settled.resume()

    def _post(self, connection: Stream, body: bytes) -> int | None:
        """Posts a batch; returns the status of the response, None if there was none in time."""
        deadline = self.loop.now + RESPONSE_TIMEOUT
        headers = {"Content-Type": "application/x-ndjson", "Connection": "close"}
        try:
            connection.write(parser.request("POST", "/reports", "app.svc", headers, body), deadline)
            return parser.read_head(connection, deadline, response=True).status
        except (ConnectionClosedError, DeadlineExceededError, parser.MalformedMessageError):
            return None
