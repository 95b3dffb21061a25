"""One SMPP connection, from either side: requests matched to responses, enquire_link, unbind."""

from __future__ import annotations

from collections.abc import Callable

from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import Closed, Late, Stream
from kestrelspar.runtime.loop import LATE, Loop, Parking
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu, Status
from kestrelspar.smpp.table import BINDS, Bound


class NotSent(Exception):
    """The session ended, or time was over, before the request's last byte was written."""


class Lost(Exception):
    """The session ended after the request was written and before its response came."""


class Session:
    """Reads in one task; any task may write or ask."""

    def __init__(self, loop: Loop, stream: Stream, name: str, enquire: int, answer_within: int) -> None:
        self.loop, self.stream, self.name = loop, stream, name
        self._enquire, self._answer_within = enquire, answer_within
        self.closed = False
        self.state = Bound.OPEN
        self.outstanding = 0  # requests without a response
        self.heard = loop.now
        self._sequence = 0
        self._rest = bytearray()  # read, and no whole PDU yet: one may be longer than a buffer
        self._pending: dict[int, Parking] = {}
        self._given_up: dict[int, Callable[[Pdu | None], None]] = {}  # who wants to know of a late answer
        self._unbound: Pdu | None = None  # the other side's unbind, not answered yet
        self.retired = False  # takes no new requests, and ends when none is out
        self._writing = False
        self._turns: list[Parking] = []  # of those who want to write

    def run(self, handle: Callable[[Pdu], None]) -> None:
        """Read until the session ends. ``handle`` gets the requests; it must not wait."""
        self.loop.spawn(self._beat)
        rest = self._rest
        try:
            while not self.closed:
                if not (size := p.whole(rest)):
                    self.stream.fill(None)
                    rest += self.stream.unread
                    self.stream.consume(len(self.stream.unread))
                    continue
                data = bytes(rest[:size])
                del rest[:size]
                self.heard = self.loop.now
                try:
                    self._take(p.decode(data), handle)
                except p.BadPdu as error:
                    self._reject(error)
        except p.BadLength as error:
            logs.warn("smpp-bad-pdu", peer=self.name, why=str(error), closed=True)
            self.post(Pdu(Command.GENERIC_NACK, 0, Status.ESME_RINVCMDLEN))
        except (Closed, Late):
            pass
        finally:
            self.close()

    def _take(self, pdu: Pdu, handle: Callable[[Pdu], None]) -> None:
        if pdu.command & p.RESPONSE:
            waiting = self._pending.pop(pdu.sequence, None)
            if waiting is not None:
                how = BINDS.get(Command(pdu.command & ~p.RESPONSE)) if pdu.command != Command.GENERIC_NACK else None
                if how is not None and not pdu.status:
                    self.state = how  # at once: a receipt may follow in the same bytes
                waiting.resume(pdu)
            else:  # its request has been given up
                logs.event("smpp-late", peer=self.name, command=pdu.command.name.lower(), sequence=pdu.sequence)
                late = self._given_up.pop(pdu.sequence, None)
                if late is not None:
                    late(pdu)
        elif pdu.command is Command.ENQUIRE_LINK:
            self.post(pdu.reply())
        elif pdu.command is Command.UNBIND:
            self._unbound = pdu
            self.retire()
            if not self.closed:  # its answers to what is out may still come: else they would count as lost
                self.loop.at(self.loop.now + self._answer_within, lambda: self.loop.spawn(self._let_go))
        else:
            handle(pdu)

    def _reject(self, error: p.BadPdu) -> None:
        """Answer a body that will not do with its response, an unknown command with a generic_nack."""
        logs.warn("smpp-bad-pdu", peer=self.name, why=str(error))
        if error.command & p.RESPONSE:
            waiting = self._pending.pop(error.sequence, None)
            if waiting is not None:  # an answer that nobody can read: the request may have run
                waiting.resume(Pdu(Command.GENERIC_NACK, error.sequence, Status.ESME_RSYSERR))
            return
        answerable = error.status is not Status.ESME_RINVCMDID and error.command != Command.OUTBIND
        command = Command(error.command | p.RESPONSE) if answerable else Command.GENERIC_NACK
        self.post(Pdu(command, error.sequence, error.status))

    def next(self) -> int:
        """The sequence number of our next request."""
        self._sequence = self._sequence % 0x7FFFFFFF + 1
        return self._sequence

    def hand_over(self) -> bool:
        """Stop reading and leave the connection open, for another session on it; false where that can't be.

        Called from the reader's own ``handle``; what it has read beyond the PDU must be nothing.
        """
        if self._rest or self._pending or self.closed:
            return False
        self.closed = True  # so that nothing here closes the connection any more
        return True

    def post(self, pdu: Pdu) -> bool:
        """Write a PDU that nobody answers; whether it was written."""
        try:
            self._write(p.encode(pdu), self.loop.now + self._answer_within)
        except NotSent:
            return False
        return True

    def ask(self, pdu: Pdu, deadline: int, late: Callable[[Pdu | None], None] | None = None) -> Pdu:
        """Write a request and wait for its response. ``NotSent``, ``Lost`` or ``Late`` if there is none.

        After ``Late`` the request is still out: ``late`` is called with its answer, or when the session ends.
        """
        pdu.sequence = self.next()
        waiting = Parking(self.loop)
        self._pending[pdu.sequence] = waiting
        self.outstanding += 1
        try:
            self._write(p.encode(pdu), deadline)
            answer = self.loop.park(waiting, deadline)
        finally:
            self._pending.pop(pdu.sequence, None)
            self.outstanding -= 1
        if answer is LATE:
            if late is not None:
                self._given_up[pdu.sequence] = late
            raise Late
        if self.retired:
            self.retire()
        if answer is None:
            raise Lost
        assert isinstance(answer, Pdu)
        return answer

    def retire(self) -> None:
        """No new requests; the session ends when the last answer is here or given up."""
        self.retired = True
        if not self.outstanding:
            self._let_go()

    def _let_go(self) -> None:
        """End the session; who asked us to unbind gets the answer first."""
        if self._unbound is not None and not self.closed:
            asked, self._unbound = self._unbound, None
            self.post(asked.reply())
        self.close()

    def _write(self, data: bytes, deadline: int) -> None:
        """Write whole PDUs one after the other, whoever asks; one cut short ends the session."""
        while self._writing and not self.closed:
            turn = Parking(self.loop)
            self._turns.append(turn)
            if self.loop.park(turn, deadline) is LATE:
                raise NotSent
        if self.closed:
            raise NotSent
        self._writing = True
        try:
            self.stream.write(data, deadline)
        except (Closed, Late):
            self.close()
            raise NotSent from None
        finally:
            self._writing = False
            if self._turns:
                self._turns.pop(0).resume()

    def _beat(self) -> None:
        """Ask whether the link is up when nothing has been heard for a while; end it when nobody answers."""
        while not self.closed:
            self.loop.sleep(max(1_000, self.heard + self._enquire - self.loop.now))
            if self.closed or self.loop.now - self.heard < self._enquire:
                continue
            try:
                self.ask(Pdu(Command.ENQUIRE_LINK), self.loop.now + self._answer_within)
            except (NotSent, Lost, Late):
                if not self.closed:
                    logs.warn("smpp-link-dead", peer=self.name)
                    self.close()

    def unbind(self) -> None:
        """End the session in order."""
        try:
            if not self.closed:
                self.ask(Pdu(Command.UNBIND), self.loop.now + self._answer_within)
        except (NotSent, Lost, Late):
            pass
        self.close()

    def close(self) -> None:
        """End the session; requests without a response are lost."""
        if self.closed:
            return
        self.closed = True
        self.stream.close()
        for parking in [*self._pending.values(), *self._turns]:
            parking.resume(None)
        for late in self._given_up.values():
            late(None)
