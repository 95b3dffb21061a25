"""One SMPP session, as client or server: matches responses to requests, answers and sends enquire_link and unbind."""

from __future__ import annotations

from collections.abc import Callable

from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import TIMED_OUT, Loop, Suspension
from kestrelspar.runtime.memory import Holder, MemoryAccount
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu, Status
from kestrelspar.smpp.table import BOUND_STATES, SessionState

PDUS_PER_TURN = 8  # of one session, before other tasks get their turn
SMALL_PDU_BYTES = 4 * 1024  # a longer PDU is taken from the memory account before it is received


class NotSentError(Exception):
    """The session ended, or the deadline passed, before the last byte of the request was written."""


class SessionLostError(Exception):
    """The session ended after the request was written and before its response arrived."""


class Session:
    """A session on one connection: one task reads; any task may write PDUs and send requests. Times in microseconds."""

    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        name: str,
        enquire_interval: int,
        response_timeout: int,
        memory: MemoryAccount | None = None,
    ) -> None:
        """``memory``: what long PDUs are taken from; without it they are not limited by memory."""
        self.loop, self.stream, self.name, self._memory = loop, stream, name, memory
        self._taken = 0  # bytes that are taken for the PDU that is being received
        self._enquire_interval, self._response_timeout = enquire_interval, response_timeout
        self.closed = False  # true also after the connection has been detached, which stays open
        self.state = SessionState.OPEN
        self.in_flight = 0  # requests that wait to be written or for their response; without timed-out ones
        self.last_received_at = loop.now
        self._sequence = 0
        self._received = bytearray()  # bytes not decoded yet, as a PDU may be longer than a buffer
        # By sequence number: the command of a request, and the task that waits for its response.
        self._pending: dict[int, tuple[Command, Suspension]] = {}
        self._late_handlers: dict[int, Callable[[Pdu | None], None]] = {}  # by sequence number of a timed-out request
        self._unbind_request: Pdu | None = None  # received from the peer and not answered yet
        self.draining = False  # callers of ``request`` have to send no new ones; see ``drain``
        self._writing = False
        self._write_queue: list[Suspension] = []  # tasks that wait for another one to finish writing

    def run(self, handle: Callable[[Pdu], None]) -> None:
        """Read until the session ends; ``handle`` is called with each request in the reading task, and must not block.

        enquire_link and unbind are answered here and not passed to it.
        """
        self.loop.spawn(self._monitor_link)
        pdus = 0
        try:
            while not self.closed:
                data = self._next_pdu()
                if data is None:
                    continue
                self.last_received_at = self.loop.now
                self._process(data, handle)
                pdus += 1
                if pdus % PDUS_PER_TURN == 0:
                    self.loop.next_turn()
        except p.FramingError as error:
            logs.warn("smpp-bad-pdu", peer=self.name, why=str(error), closed=True)
            self.send(Pdu(Command.GENERIC_NACK, 0, Status.ESME_RINVCMDLEN))
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        finally:
            self._give_back_memory()
            self.close()

    def _next_pdu(self) -> bytes | None:
        """The next PDU, which is removed from the received bytes; None after some bytes, or after a refused PDU.

        Raises ``FramingError``, and the errors of ``Stream.fill``.
        """
        received = self._received
        if not (size := p.complete_length(received)):
            if not self._taken and len(received) >= p.HEADER.size and not self._take_memory():
                self._refuse_pdu()
                return None
            self.stream.fill(None)
            received += self.stream.unread
            self.stream.consume(len(self.stream.unread))
            return None
        data = bytes(received[:size])
        del received[:size]
        self._give_back_memory()
        return data

    def _take_memory(self) -> bool:
        """Take memory for the PDU that is being received, if it is long; false if there is none."""
        size = p.announced_length(self._received)
        if self._memory is None or size <= SMALL_PDU_BYTES:
            return True
        if not self._memory.try_take(Holder.SESSIONS, size):
            return False
        self._taken = size
        return True

    def _give_back_memory(self) -> None:
        if self._memory is not None and self._taken:
            self._memory.give_back(Holder.SESSIONS, self._taken)
        self._taken = 0

    def _refuse_pdu(self) -> None:
        """Drop the bytes of a PDU as they come, and answer that it may be sent again later."""
        received = self._received
        _, command, _, sequence = p.HEADER.unpack_from(received)
        remaining = p.announced_length(received) - len(received)
        received.clear()
        while remaining:
            self.stream.fill(None)
            count = min(remaining, len(self.stream.unread))
            self.stream.consume(count)
            remaining -= count
        logs.warn("smpp-pdu-refused", peer=self.name, sequence=sequence, why="no memory for it now")
        if command & p.RESPONSE:
            self._reject(p.MalformedPduError("no memory for it", command, sequence, Status.ESME_RSYSERR))
            return
        response = command | p.RESPONSE
        is_answerable = response in set(Command)
        self.send(Pdu(Command(response) if is_answerable else Command.GENERIC_NACK, sequence, Status.ESME_RTHROTTLED))

    def _process(self, data: bytes, handle: Callable[[Pdu], None]) -> None:
        """Decode one PDU and handle it; an exception concerns this PDU alone, as others need the session."""
        try:
            pdu = p.decode(data)
        except p.MalformedPduError as error:
            self._reject(error)
            return
        except Exception:
            logs.fault("pdu", peer=self.name)
            return
        try:
            self._dispatch(pdu, handle)
        except (ConnectionClosedError, DeadlineExceededError):
            raise
        except Exception:
            logs.fault("pdu", peer=self.name, command=pdu.command.name.lower(), sequence=pdu.sequence)
            if not pdu.command & p.RESPONSE and pdu.command | p.RESPONSE in set(Command):
                self.send(pdu.reply(Status.ESME_RSYSERR))

    def _dispatch(self, pdu: Pdu, handle: Callable[[Pdu], None]) -> None:
        if pdu.command & p.RESPONSE:
            pending = self._pending.pop(pdu.sequence, None)
            if pending is not None:
                command, waiting = pending
                if command in BOUND_STATES and pdu.command == command | p.RESPONSE and not pdu.status:
                    self.state = BOUND_STATES[command]  # set here, as a receipt may follow in the bytes already read
                waiting.resume(pdu)
            else:  # its request has timed out, or was never sent
                logs.event("smpp-late", peer=self.name, command=pdu.command.name.lower(), sequence=pdu.sequence)
                on_late = self._late_handlers.pop(pdu.sequence, None)
                if on_late is not None:
                    on_late(pdu)
        elif pdu.command is Command.ENQUIRE_LINK:
            self.send(pdu.reply())
        elif pdu.command is Command.UNBIND:
            self._unbind_request = pdu
            self.drain()
            # Wait, up to the response time-out, for responses to requests in flight, which would count as lost
            # otherwise.
            if not self.closed:
                self.loop.call_at(self.loop.now + self._response_timeout, lambda: self.loop.spawn(self._finish))
        else:
            handle(pdu)

    def _reject(self, error: p.MalformedPduError) -> None:
        """Answer a malformed request, or end the request that a malformed response belongs to.

        The response is a generic_nack for a command that is unknown or has no response, else the request's own
        response type. A malformed response is not answered; a request that waits for it ends as if it had got a
        generic_nack with ESME_RSYSERR.
        """
        logs.warn("smpp-bad-pdu", peer=self.name, why=str(error))
        if error.command & p.RESPONSE:
            pending = self._pending.pop(error.sequence, None)
            if pending is not None:  # the response is unreadable, so the request may have run
                pending[1].resume(Pdu(Command.GENERIC_NACK, error.sequence, Status.ESME_RSYSERR))
            return
        response = error.command | p.RESPONSE
        is_answerable = error.status is not Status.ESME_RINVCMDID and response in set(Command)
        command = Command(response) if is_answerable else Command.GENERIC_NACK
        self.send(Pdu(command, error.sequence, error.status))

    def next_sequence(self) -> int:
        """The sequence number of the next request to send."""
        self._sequence = self._sequence % 0x7FFFFFFF + 1
        return self._sequence

    def detach_connection(self) -> bool:
        """Stop reading and leave the connection open for another session; returns false if that is impossible.

        Called from ``handle``, in the reading task. Impossible if bytes beyond the PDU have been read, if requests are
        in flight, or if the session is closed.
        """
        if self._received or self.in_flight or self.closed:
            return False
        self.closed = True  # so that this session no longer closes the connection
        return True

    def send(self, pdu: Pdu) -> bool:
        """Write a response, or a request that has no response; returns whether it was written within the time-out.

        Raises ``ValueError`` if the PDU cannot be encoded.
        """
        try:
            self._write(p.encode(pdu), self.loop.now + self._response_timeout)
        except NotSentError:
            return False
        return True

    def request(self, pdu: Pdu, deadline: int, on_late: Callable[[Pdu | None], None] | None = None) -> Pdu:
        """Write a request and return its response.

        Raises ``NotSentError``, ``SessionLostError`` or ``DeadlineExceededError``, or ``ValueError`` if the PDU cannot
        be encoded. After ``DeadlineExceededError`` the peer may still process the request, though it no longer counts
        in ``in_flight``: ``on_late`` is called with its late response, or with None if the session ends without one. A
        late response that is malformed is dropped.
        """
        pdu.sequence = self.next_sequence()
        waiting = Suspension(self.loop)
        self.in_flight += 1
        try:
            self._write(p.encode(pdu), deadline)
            self._pending[pdu.sequence] = pdu.command, waiting  # a response that came earlier belongs to no request
            response = self.loop.park(waiting, deadline)
        finally:
            self._pending.pop(pdu.sequence, None)
            self.in_flight -= 1
        if response is TIMED_OUT:
            if on_late is not None:
                self._late_handlers[pdu.sequence] = on_late
            raise DeadlineExceededError
        if self.draining:
            self.drain()
        if response is None:
            raise SessionLostError
        assert isinstance(response, Pdu)
        return response

    def drain(self) -> None:
        """End the session as soon as no request is in flight; callers of ``request`` have to send no new ones.

        Each response that arrives checks for this, also that to an enquire_link. A request that times out does not: its
        caller calls ``drain`` again.
        """
        self.draining = True
        if not self.in_flight:
            self._finish()

    def _finish(self) -> None:
        """End the session; an unbind request of the peer is answered first."""
        if self._unbind_request is not None and not self.closed:
            request, self._unbind_request = self._unbind_request, None
            self.send(request.reply())
        self.close()

    def _write(self, data: bytes, deadline: int) -> None:
        """Write one PDU; concurrent tasks take turns.

        Raises ``NotSentError``. A failed or partial write ends the session; a deadline that passes before the turn of
        this task does not.
        """
        while self._writing and not self.closed:
            suspension = Suspension(self.loop)
            self._write_queue.append(suspension)
            if self.loop.park(suspension, deadline) is TIMED_OUT:
                if suspension in self._write_queue:
                    self._write_queue.remove(suspension)
                elif not self._writing:  # its turn came just then: the next one takes it
                    self._resume_next_writer()
                raise NotSentError
        if self.closed:
            raise NotSentError
        self._writing = True
        try:
            self.stream.write(data, deadline)
        except (ConnectionClosedError, DeadlineExceededError):
            self.close()
            raise NotSentError from None
        finally:
            self._writing = False
            self._resume_next_writer()

    def _resume_next_writer(self) -> None:
        while self._write_queue:
            suspension = self._write_queue.pop(0)
            if not suspension.resumed:
                suspension.resume()
                return

    def _monitor_link(self) -> None:
        """Send enquire_link if no PDU was received for the interval; end the session if it gets no response in time."""
        while not self.closed:
            self.loop.sleep(max(1_000, self.last_received_at + self._enquire_interval - self.loop.now))
            if self.closed or self.loop.now - self.last_received_at < self._enquire_interval:
                continue
            try:
                self.request(Pdu(Command.ENQUIRE_LINK), self.loop.now + self._response_timeout)
            except (NotSentError, SessionLostError, DeadlineExceededError):
                if not self.closed:
                    logs.warn("smpp-link-dead", peer=self.name)
                    self.close()

    def unbind(self) -> None:
        """Send unbind, wait for its response up to the response time-out, and close the connection in any case."""
        try:
            if not self.closed:
                self.request(Pdu(Command.UNBIND), self.loop.now + self._response_timeout)
        except (NotSentError, SessionLostError, DeadlineExceededError):
            pass
        self.close()

    def close(self) -> None:
        """Close the connection.

        Requests that wait for a response raise ``SessionLostError``, those that wait to be written ``NotSentError``;
        the ``on_late`` functions of timed-out requests are called with None.
        """
        if self.closed:
            return
        self.closed = True
        self.stream.close()
        for suspension in [*(waiting for _, waiting in self._pending.values()), *self._write_queue]:
            suspension.resume(None)
        for on_late in self._late_handlers.values():
            with logs.contained("request without a response", peer=self.name):
                on_late(None)
