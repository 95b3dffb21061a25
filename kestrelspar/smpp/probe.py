"""A simple SMPP client (ESME) for command-line tools, and a runner of the conformance cases of ``conform``."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.conform import Case, Credentials, status_name
from kestrelspar.smpp.pdu import Command, Pdu
from kestrelspar.smpp.table import BOUND_STATES, SessionState

BIND_BY_STATE = {bound: command for command, bound in BOUND_STATES.items()}
LIVENESS_SEQUENCE = 0x0FFFFFFF  # sequence_number of the enquire_link that checks whether the session still works
Dial = Callable[[int], Stream | None]  # connects until a deadline; None if that fails


class ProbeError(Exception):
    """The other side refused a request, did not answer, or sent something other than a PDU."""


class Esme:
    """A client connection, read and written by one task."""

    def __init__(self, loop: Loop, stream: Stream, on_request: Callable[[Pdu], None] = lambda pdu: None) -> None:
        """``on_request`` is called with each request of the other side, which is then acknowledged if possible."""
        self.loop, self.stream, self._on_request = loop, stream, on_request
        self._unparsed = bytearray()
        self._sequence = 0

    def send(self, data: bytes) -> None:
        """Write raw bytes."""
        self.stream.write(data, self.loop.now + 5 * SECOND)

    def read_response(self, deadline: int) -> Pdu:
        """Read the next response; requests before it are handled as in ``read_pdu``.

        Raises ``ConnectionClosedError``, ``DeadlineExceededError``, or ``ProbeError`` if something other than a PDU
        arrives.
        """
        while not (pdu := self.read_pdu(deadline)).command & p.RESPONSE:
            pass
        return pdu

    def read_pdu(self, deadline: int) -> Pdu:
        """Read the next PDU; a request is passed to ``on_request`` and acknowledged before it is returned.

        alert_notification and outbind have no response, so they are not acknowledged. Raises like ``read_response``.
        """
        while True:
            try:
                size = p.complete_length(self._unparsed)
                if size:
                    data = bytes(self._unparsed[:size])
                    del self._unparsed[:size]
                    pdu = p.decode(data)
                    if not pdu.command & p.RESPONSE:
                        self._on_request(pdu)
                        if pdu.command not in (Command.ALERT_NOTIFICATION, Command.OUTBIND):
                            self.send(p.encode(pdu.reply()))
                    return pdu
            except (p.FramingError, p.MalformedPduError) as error:
                raise ProbeError(f"invalid PDU received: {error}") from None
            self.stream.fill(deadline)
            self._unparsed += self.stream.unread
            self.stream.consume(len(self.stream.unread))

    def request(self, pdu: Pdu, timeout: int) -> Pdu:
        """Send a request and return its response, whatever its status; other responses before it are dropped.

        Raises ``ProbeError`` if there is none within ``timeout`` after sending, or something other than a PDU arrives.
        """
        self._sequence += 1
        pdu.sequence = self._sequence
        try:
            self.send(p.encode(pdu))
            deadline = self.loop.now + timeout
            while (response := self.read_response(deadline)).sequence != pdu.sequence:
                pass
        except ConnectionClosedError:
            raise ProbeError(f"{pdu.command.name.lower()}: connection closed") from None
        except DeadlineExceededError:
            raise ProbeError(f"{pdu.command.name.lower()}: no response in time") from None
        return response

    def bind(self, command: Command, account: Credentials, timeout: int) -> None:
        """Bind; raises ``ProbeError`` if the bind fails."""
        response = self.request(
            Pdu(
                command,
                fields={"system_id": account.system_id, "password": account.password, "interface_version": 0x34},
            ),
            timeout,
        )
        if response.status or response.command != command | p.RESPONSE:
            raise ProbeError(f"{command.name.lower()}: {status_name(response.status)}")


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of one case; an empty ``fault`` means that it passed."""

    case: Case
    fault: str


class CaseRunner:
    """Runs cases one after the other, each on its own connection."""

    def __init__(self, loop: Loop, dial: Dial, account: Credentials, timeout: int) -> None:
        """``timeout``: for connecting and for each response, in microseconds; ``account``: for binds."""
        self.loop, self._dial, self._account, self._timeout = loop, dial, account, timeout

    def run(self, cases: Iterable[Case], report: Callable[[Verdict], None]) -> None:
        """Run all cases and report each verdict.

        A case whose bind may be refused is followed by a valid bind, so that the server does not throttle the address
        as it would throttle one that guesses passwords. Whether that bind succeeds does not count.
        """
        for case in cases:
            try:
                fault = self._run_case(case)
            except ProbeError as error:
                fault = str(error)
            if case.refused_bind:
                self._clear_bind_refusals()
            report(Verdict(case, fault))

    def _connect(self) -> Esme:
        stream = self._dial(self.loop.now + self._timeout)
        if stream is None:
            raise ProbeError("no connection")
        return Esme(self.loop, stream)

    def _clear_bind_refusals(self) -> None:
        try:
            esme = self._connect()
            try:
                esme.bind(Command.BIND_TRANSCEIVER, self._account, self._timeout)
                esme.request(Pdu(Command.UNBIND), self._timeout)
            finally:
                esme.stream.close()
        except ProbeError:
            pass

    def _run_case(self, case: Case) -> str:
        esme = self._connect()
        try:
            if case.state is not SessionState.OPEN:
                esme.bind(BIND_BY_STATE[case.state], self._account, self._timeout)
            return self._exchange(esme, case)
        finally:
            esme.stream.close()

    def _exchange(self, esme: Esme, case: Case) -> str:
        """Send the chunks of a case, and compare the response; returns the fault, or an empty string.

        If the case expects no response and the session continues, an enquire_link after the chunks shows that they were
        ignored, not just slow.
        """
        response, closed = None, False
        enquire = p.encode(Pdu(Command.ENQUIRE_LINK, LIVENESS_SEQUENCE))
        try:
            for index, chunk in enumerate(case.chunks):
                if index:
                    self.loop.sleep(2 * MS)  # so that the operating system does not join the chunks
                esme.send(chunk)
            if not case.expected.commands and case.session_continues:
                esme.send(enquire)
            response = esme.read_response(self.loop.now + self._timeout)
        except ConnectionClosedError:
            closed = True
        except DeadlineExceededError:
            pass
        if response is not None and not case.expected.commands and response.sequence == LIVENESS_SEQUENCE:
            return ""  # the PDU was ignored as expected, and the session continues
        fault = case.expected.find_fault(response, closed)
        if fault or closed:
            return fault
        if case.expected.must_close:
            return self._check_closed(esme)
        return self._check_liveness(esme, enquire) if case.session_continues else ""

    def _check_closed(self, esme: Esme) -> str:
        try:
            esme.read_response(self.loop.now + self._timeout)
        except ConnectionClosedError:
            return ""
        except DeadlineExceededError:
            pass
        return "connection not closed after the response"

    def _check_liveness(self, esme: Esme, enquire: bytes) -> str:
        try:
            esme.send(enquire)
            while (response := esme.read_response(self.loop.now + self._timeout)).sequence != LIVENESS_SEQUENCE:
                pass
        except (ConnectionClosedError, DeadlineExceededError, ProbeError):
            return "session does not answer enquire_link afterwards"
        return "" if response.command is Command.ENQUIRE_LINK_RESP else "enquire_link refused afterwards"


def tcp_dialer(loop: Loop, buffers: BufferPool, address: tuple[str, int]) -> Dial:
    """A dialer of connections without TLS."""

    def dial(deadline: int) -> Stream | None:
        sock = connect(loop, address, deadline)
        return None if sock is None else Stream(loop, sock, buffers)

    return dial
