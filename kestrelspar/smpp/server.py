"""SMPP server (message centre): clients bind, submit messages by submit_sm and get receipts by deliver_sm."""

from __future__ import annotations

import dataclasses
import os
import re
import socket
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

import ujson

from kestrelspar.core.courier import Courier
from kestrelspar.core.front_ends import REPORT_TIME, default_report_time
from kestrelspar.core.messages import DELIVERED, FAILED, Answer, End, Message, RefusalReason
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import (
    MS,
    SECOND,
    TIMED_OUT,
    Loop,
    Suspension,
    Timer,
    close_socket,
    connect,
    disable_send_delay,
)
from kestrelspar.settings.resolve import Account, Smpp

if TYPE_CHECKING:
    from kestrelspar.keys import TlsStore  # imports ssl, which is loaded only if TLS is configured
from kestrelspar.passwords import Verifier
from kestrelspar.smpp import parts, status_codes, table
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.access import BindThrottle, in_networks
from kestrelspar.smpp.parts import PartDisposition
from kestrelspar.smpp.pdu import Command, Pdu, Status
from kestrelspar.smpp.receivers import Receivers
from kestrelspar.smpp.session import NotSentError, Session, SessionLostError
from kestrelspar.smpp.table import BOUND_STATES, SessionState, Side

MIN_UNBOUND_AGE = 50 * MS  # a younger connection is not closed to make room, as it may be about to bind
MIN_PART_REPORT_TIME = 200 * MS  # left of a part's time when a message that lacks others is given up
OUTBIND_INTERVAL = 5 * SECOND  # minimum time between two outbinds to one account
ACCEPT_RETRY_DELAY = 20 * MS  # after a connection that could not be accepted
REASSEMBLY_RETRY_DELAY = 1 * SECOND  # after a long message that could not be journalled
MAX_REFUSED_BINDS = 3  # refused binds and outbinds after which a connection is closed
EXPIRED_MARGIN = REPORT_TIME + 100 * MS  # an end that is decided so long before a message's deadline counts as expired
INITIAL_RETRY_DELAY, MAX_RETRY_DELAY = 100 * MS, 5 * SECOND  # before a receipt is sent again
RECEIPT_OVERLAP_DELAY = 200 * MS  # from a receipt to its repetition on another session, while no response has come
RECEIVER_STATES = (SessionState.RX, SessionState.TRX)
MAX_SCHEDULE_DELAY = 30 * 86_400 * SECOND  # a later schedule_delivery_time is refused
_SMPP_TIME = re.compile(r"(\d\d)(\d\d)(\d\d)(\d\d)(\d\d)(\d\d)(\d)(\d\d)([+\-R])")


def parse_time(text: str, wall: datetime) -> int | None:
    """Parse an SMPP time, absolute or relative, into microseconds from ``wall``.

    In a relative time a year counts as 365 days and a month as 30, and tenths of a second are ignored. The result is
    negative for an absolute time before ``wall``. Returns None for an empty string; raises ``ValueError`` if the time
    is malformed.
    """
    if not text:
        return None
    match = _SMPP_TIME.fullmatch(text)
    if match is None:
        raise ValueError(f"not an SMPP time: {text!r}")
    year, month, day, hour, minute, second, tenth, quarters = (int(group) for group in match.groups()[:8])
    if match[9] == "R":
        days = year * 365 + month * 30 + day
        return (((days * 24 + hour) * 60 + minute) * 60 + second) * SECOND
    at = datetime(2000 + year, month, day, hour, minute, second, tenth * 100_000, UTC)
    offset = timedelta(minutes=15 * quarters)
    return ((at - offset if match[9] == "+" else at + offset) - wall) // timedelta(microseconds=1)


class ClientConnection:
    """A connection of an SMPP client."""

    def __init__(self, session: Session) -> None:
        self.session = session
        self.account: Account | None = None
        self.pending_submits = 0  # submit requests without a response yet
        self.refused_binds = 0  # including refused outbinds
        self.unacknowledged_receipts = 0  # consecutive receipts without any response, even a refusal
        self.connected_at = session.loop.now
        self.host = session.name.partition(":")[0]

    def certificate_names(self) -> list[str]:
        """The names in the client certificate; empty without one, and without TLS."""
        # Only a TlsStream has ``names``; for another stream ``list()`` stands in.
        names: list[str] = getattr(self.session.stream, "names", list)()
        return names


class SmppServer:
    """Serves SMPP clients, and is the sender side of the messages that they submit."""

    name = "smpp"

    def __init__(
        self,
        loop: Loop,
        buffers: BufferPool,
        courier: Courier,
        config: Smpp,
        claim_outbind: Callable[[str, str], Callable[[Stream], None] | None] = lambda system_id, password: None,
        keys: TlsStore | None = None,
    ) -> None:
        """``claim_outbind`` gets the system_id and the password of an outbind.

        It returns the function that takes over the connection, or None if they match no configured gateway. Without
        ``keys`` connections are served without TLS, whatever the configuration says.
        """
        self._keys, self._bind_throttle, self._verifier = keys, BindThrottle(), Verifier()
        self._claim_outbind = claim_outbind
        self._next_outbind_at: dict[str, int] = {}  # by account: earliest time of the next outbind
        self.receivers = Receivers(
            loop, config.accounts, config.response_timeout, self._find_receiver, self._request_bind
        )
        self.loop, self.buffers, self.courier, self.config = loop, buffers, courier, config
        self._connections: list[ClientConnection] = []
        # Receipts that wait for a session with room in its window; a receiver bind of any account resumes them.
        self._waiting_for_bind: list[Suspension] = []
        # By message_id returned to the client, then by message number.
        self._open_by_id: dict[str, dict[int, Message]] = {}
        self._reassembler = parts.Reassembler(config.parts_timeout)
        self._held_parts: dict[int, Message] = {}  # by message number: parts that wait for the rest of their message
        self._expiry_timer: Timer | None = None
        self._operations: dict[Command, Callable[[Account, Pdu], Pdu]] = {
            Command.QUERY_SM: self._query,
            Command.CANCEL_SM: self._cancel,
            Command.REPLACE_SM: self._replace,
        }

    def accept(self, listener: socket.socket) -> None:
        """Accept connections as long as the process runs."""
        while True:
            try:
                self._accept_next(listener)
            except Exception:  # other clients can still be served
                logs.fault("accept", front="smpp")
                self.loop.sleep(ACCEPT_RETRY_DELAY)

    def _accept_next(self, listener: socket.socket) -> None:
        """Wait for a connection, and serve it in a task of its own unless there is no room for it."""
        self.loop.readable(listener, None)
        try:
            sock, peer = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            logs.warn("not-accepted", front="smpp", why=str(error))
            self.loop.sleep(ACCEPT_RETRY_DELAY)
            return
        # A throttled address gets no response to its connections; its refused binds got one.
        if self._bind_throttle.is_throttled(peer[0], self.loop.now):
            sock.close()
            return
        if len(self._connections) >= self.config.max_sessions and not self._make_room():
            logs.warn("smpp-too-many")
            sock.close()
            return
        try:
            sock.setblocking(False)
            disable_send_delay(sock)
        except OSError as error:  # the client may have reset it already
            logs.warn("not-accepted", front="smpp", why=str(error))
            close_socket(self.loop, sock)
            return
        self.loop.spawn(self._serve_connection, sock, f"{peer[0]}:{peer[1]}")

    def _make_room(self) -> bool:
        """Close the oldest connection that has not bound, so that idle connections cannot lock clients out.

        Returns whether there was one of at least ``MIN_UNBOUND_AGE``. During a TLS handshake the age
        is counted from the start of the connection, afterwards from the end of the handshake.
        """
        for client in self._connections:
            if (
                client.session.state is SessionState.OPEN
                and not client.session.closed
                and client.connected_at <= self.loop.now - MIN_UNBOUND_AGE
            ):
                logs.event("smpp-closed-unbound", peer=client.session.name)
                client.session.close()
                return True
        return False

    def _serve_connection(self, sock: socket.socket, name: str) -> None:
        """Serve an accepted connection in its own task.

        With TLS the handshake comes first. It and the bind after it are each limited to ``bind_timeout``.
        """
        if not self.config.tls or self._keys is None:
            self._run_session(Stream(self.loop, sock, self.buffers), name)
            return
        from kestrelspar.runtime.tls import TlsStream  # loads ssl, so only if TLS is configured

        stream = TlsStream(self.loop, sock, self.buffers, self._keys.server(self.config.tls), True, incoming=True)
        client = ClientConnection(self._new_session(stream, name))
        self._connections.append(client)  # so that it counts as unbound, and may be closed to make room
        try:
            stream.handshake(self.loop.now + self.config.bind_timeout)
        except (ConnectionClosedError, DeadlineExceededError) as error:
            logs.warn("tls-handshake-failed", peer=name, why=str(error) or error.label)
            stream.close()
            return
        finally:
            self._connections.remove(client)
        self._run_session(stream, name)

    def _new_session(self, stream: Stream, name: str) -> Session:
        return Session(
            self.loop,
            stream,
            name,
            self.config.enquire_link_interval,
            self.config.response_timeout,
            self.courier.memory,
        )

    def _run_session(self, stream: Stream, name: str) -> None:
        """Serve a connection until its session ends; close it if the client has not bound within ``bind_timeout``."""
        client = ClientConnection(self._new_session(stream, name))
        self._connections.append(client)
        bind_timer = self.loop.call_at(
            self.loop.now + self.config.bind_timeout,
            lambda: client.session.close() if client.session.state is SessionState.OPEN else None,
        )
        try:
            client.session.run(lambda pdu: self._handle(client, pdu))
        finally:
            bind_timer.cancel()
            self._connections.remove(client)

    def _handle(self, client: ClientConnection, pdu: Pdu) -> None:
        refusal = table.refusal(Side.CENTRE, client.session.state, pdu)
        if refusal is not None:
            client.session.send(refusal)
        elif pdu.command is Command.OUTBIND:
            self._handle_outbind(client, pdu)
        elif pdu.command in BOUND_STATES:
            self._bind(client, pdu)
        elif client.account is None:
            client.session.send(pdu.reply(Status.ESME_RINVBNDSTS))
        elif pdu.command in self._operations:
            client.session.send(self._operations[pdu.command](client.account, pdu))
        elif client.pending_submits >= client.account.window:
            client.session.send(pdu.reply(Status.ESME_RTHROTTLED))
        elif pdu.command is Command.SUBMIT_MULTI:
            client.pending_submits += 1
            self.loop.spawn(self._submit_multi, client, client.account, pdu)
        else:
            client.pending_submits += 1
            self.loop.spawn(self._submit, client, client.account, pdu)

    def _bind(self, client: ClientConnection, pdu: Pdu) -> None:
        account = next((a for a in self.config.accounts if a.system_id == pdu.text("system_id")), None)
        status = Status.ESME_ROK
        if account is None:
            status = Status.ESME_RINVSYSID
        elif (
            not in_networks(client.host, account.networks)
            or account.certificate
            and account.certificate not in client.certificate_names()
        ):
            status = Status.ESME_RBINDFAIL
        elif not self._verifier.matches(account.password, pdu.text("password")):
            status = Status.ESME_RINVPASWD
        elif self.courier.closing is not None:
            status = Status.ESME_RBINDFAIL
        if status is Status.ESME_ROK:
            client.account, client.session.state = account, BOUND_STATES[pdu.command]
            self._bind_throttle.record_success(client.host)
            client.session.name = f"{pdu.text('system_id')}@{client.session.name}"
        else:
            client.refused_binds += 1
            logs.warn(
                "smpp-bind-refused", peer=client.session.name, system_id=pdu.text("system_id"), status=status.name
            )
            # While the courier shuts down, ESME_RBINDFAIL may be no fault of the client, so it does not count against
            # the address, not even if the network or the certificate was the reason.
            if status is not Status.ESME_RBINDFAIL or self.courier.closing is None:
                wait = self._bind_throttle.record_refusal(client.host, self.loop.now)
                if wait:
                    logs.warn("smpp-address-waits", address=client.host, wait_ms=wait // MS)
        answer = pdu.reply(status, system_id=self.config.system_id)
        answer.tlvs.append((p.SC_INTERFACE_VERSION, b"\x34"))
        if client.session.send(answer) and client.session.state in RECEIVER_STATES:
            for waiting in self._waiting_for_bind:
                waiting.resume()
            self._waiting_for_bind.clear()
        # A client that was refused so often guesses passwords, or retries in a loop.
        if client.refused_binds >= MAX_REFUSED_BINDS and client.session.state is SessionState.OPEN:
            client.session.close()

    def _handle_outbind(self, client: ClientConnection, pdu: Pdu) -> None:
        """Handle an outbind: hand over the connection of a configured gateway to the SMPP client.

        The outbind is refused if its credentials match no gateway, or if the session cannot detach from the connection.
        """
        take_over = self._claim_outbind(pdu.text("system_id"), pdu.text("password"))
        if take_over is not None and client.session.detach_connection():
            take_over(client.session.stream)
            return
        logs.warn("smpp-outbind-refused", peer=client.session.name, system_id=pdu.text("system_id"))
        client.refused_binds += 1
        client.session.send(Pdu(Command.GENERIC_NACK, pdu.sequence, Status.ESME_RINVCMDID))
        if client.refused_binds >= MAX_REFUSED_BINDS:
            client.session.close()

    def _find_receiver(self, account: Account) -> tuple[Session | None, bool]:
        """Find the least loaded receiver session of the account among those with room in their windows.

        Returns it, or None, and whether the account has any usable receiver session, with room or not. One that is
        closed or draining is not usable.
        """
        bound = [
            c.session
            for c in self._connections
            if c.account is not None
            and c.session.state in RECEIVER_STATES
            and c.account.system_id == account.system_id
            and not (c.session.closed or c.session.draining)
        ]
        free = [session for session in bound if session.in_flight < account.window]
        return min(free, key=lambda session: session.in_flight, default=None), bool(bound)

    def _request_bind(self, account: Account) -> None:
        """Send an outbind to an account for which a message or receipt waits and which has not bound to receive.

        Does nothing if no outbind address is configured, or within ``OUTBIND_INTERVAL`` of the previous attempt.
        """
        if account.outbind is None or self._next_outbind_at.get(account.system_id, 0) > self.loop.now:
            return
        self._next_outbind_at[account.system_id] = self.loop.now + OUTBIND_INTERVAL
        self.loop.spawn(self._send_outbind, account)

    def _send_outbind(self, account: Account) -> None:
        """Connect to the account's client, send outbind, and serve the connection; nothing at ``max_sessions``."""
        assert account.outbind is not None
        if len(self._connections) >= self.config.max_sessions:
            return
        sock = connect(self.loop, account.outbind, self.loop.now + self.config.response_timeout)
        logs.event("smpp-outbind-sent", account=account.system_id, connected=sock is not None)
        if sock is None:
            return
        stream = Stream(self.loop, sock, self.buffers)
        try:
            stream.write(
                p.encode(
                    Pdu(Command.OUTBIND, 1, fields={"system_id": self.config.system_id, "password": account.password})
                ),
                self.loop.now + self.config.response_timeout,
            )
        except (ConnectionClosedError, DeadlineExceededError):
            stream.close()
            return
        self._run_session(stream, f"{account.outbind[0]}:{account.outbind[1]}")

    def forward_alert(self, gateway: str, pdu: Pdu) -> None:
        """Forward an alert_notification to all receiver sessions of accounts that have a destination."""
        receivers = [
            c.session
            for c in self._connections
            if c.account is not None
            and c.account.dest is not None
            and c.session.state in RECEIVER_STATES
            and not c.session.closed
        ]
        logs.event("smpp-alert", peer=gateway, source_addr=pdu.text("source_addr"), sessions=len(receivers))
        for session in receivers:
            alert = Pdu(
                Command.ALERT_NOTIFICATION, session.next_sequence(), fields=dict(pdu.fields), tlvs=list(pdu.tlvs)
            )
            self.loop.spawn(lambda session=session, alert=alert: session.send(alert))

    def _submit(self, client: ClientConnection, account: Account, pdu: Pdu) -> None:
        """Process a submit_sm or data_sm in the task of its message; a part is held until its message is complete."""
        has_answer = False
        try:
            message = self._build_message(account, pdu)
        except _SubmitRefusedError as error:
            client.pending_submits -= 1
            logs.event("smpp-submit-refused", peer=client.session.name, sequence=pdu.sequence, status=error.status.name)
            client.session.send(pdu.reply(error.status))
            return
        except Exception:
            logs.fault("submission", peer=client.session.name, sequence=pdu.sequence)
            client.pending_submits -= 1
            client.session.send(pdu.reply(Status.ESME_RSYSERR))
            return

        def answer(result: Answer) -> bool:
            """Send the response; returns whether the message was accepted and its message_id sent to the client."""
            nonlocal has_answer
            has_answer = True
            client.pending_submits -= 1
            if not result.accepted:
                logs.event(
                    "deferred" if result.defer else "rejected", trace=message.trace, why=result.reason, front="smpp"
                )
                client.session.send(pdu.reply(status_codes.status_of(result)))
                return False
            # A client that has disconnected will submit its message again, so the message is not accepted.
            connected = not client.session.stream.peer_closed()
            return self._confirm_acceptance(
                message, connected and client.session.send(pdu.reply(message_id=message.trace))
            )

        try:
            if "part" not in message.extra:
                self.courier.submit(message, answer)
                return
            part, key = parts.Part(**message.extra["part"]), _reassembly_key(message)
            disposition, original = self._reassembler.classify(key, part, len(message.body))
            if self._is_repeated(message, disposition, original):  # the first response was lost
                has_answer = True
                client.pending_submits -= 1
                client.session.send(pdu.reply(message_id=self._held_parts[original].trace))
            elif disposition is PartDisposition.NO_ROOM:
                answer(Answer(False, True, RefusalReason.FULL))
            elif self.courier.accept(message, answer):
                self._hold_or_fail_part(message)
        except Exception:
            logs.fault("submission", trace=message.trace, peer=client.session.name)
            if not has_answer:  # the message is not accepted
                answer(Answer(False, True, RefusalReason.INTERNAL))

    def _hold_or_fail_part(self, message: Message) -> None:
        """Hold an accepted part; after an exception it ends as failed."""
        try:
            self._hold_part(message)
        except Exception:
            logs.fault("part of a long message", trace=message.trace)
            if self.courier.find(message.trace) is message:
                self._fail_part(message)

    def _hold_part(self, message: Message) -> None:
        """Hold an accepted part until the other parts have arrived; if it is the last one, reassemble the message.

        A duplicate of a held part ends as failed. A part with another text in the place of a held one belongs to
        another message: its sender has begun its references anew, and the incomplete message ends as failed. The limits
        of the reassembler were checked before the part was accepted; they do not apply here, nor to parts recovered
        after a restart.
        """
        self._held_parts[message.number] = message
        part, key = parts.Part(**message.extra["part"]), _reassembly_key(message)
        disposition, original = self._reassembler.classify(key, part, len(message.body))
        if self._is_repeated(message, disposition, original):  # submitted twice at the same time, and both accepted
            self._fail_part(message)
            return
        if disposition is PartDisposition.REPEATED:
            for number in self._reassembler.pop(key, part).numbers:
                logs.event("smpp-part-superseded", trace=self._held_parts[number].trace, by=message.trace)
                self._fail_part(self._held_parts[number])
        expires_at = min(message.decide_by, message.deadline - MIN_PART_REPORT_TIME)
        complete = self._reassembler.add(self.loop.now, key, part, message.number, len(message.body), expires_at)
        if complete is not None:
            self._reassemble([self._held_parts[number] for number in complete.numbers])
        else:
            self._schedule_expiry()

    def _is_repeated(self, message: Message, disposition: PartDisposition, original: int) -> bool:
        """Whether a part is a held part that was submitted again, with the same text."""
        held = self._held_parts.get(original) if disposition is PartDisposition.REPEATED else None
        return held is not None and held.body == message.body

    def _schedule_expiry(self) -> None:
        """Set the timer to the next expiry of an incomplete message, which may be earlier than the previous one."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        due = self._reassembler.next_expiry
        self._expiry_timer = None if due is None else self.loop.call_at(due, self._expire_parts)

    def _expire_parts(self) -> None:
        """End the parts of all expired incomplete messages, each with its own final state."""
        for expired in self._reassembler.pop_expired(self.loop.now):
            for number in expired.numbers:
                with logs.contained("expired part", number=number):
                    self._fail_part(self._held_parts[number])
        self._schedule_expiry()

    def _fail_part(self, message: Message) -> None:
        self._held_parts.pop(message.number, None)
        self.loop.spawn(self.courier.end_accepted, message, FAILED)

    def _reassemble(self, held: list[Message]) -> None:
        """Replace the parts by one message, which owes a receipt for each of them.

        If the journal has no room for it, or after an exception, this is repeated each second; the parts fail in time
        for their reports.
        """
        try:
            is_joined = self._join(held)
        except Exception:
            logs.fault("long message", trace=held[0].trace)
            is_joined = False
        if is_joined:
            return
        decide_by = min(part.decide_by for part in held)
        if self.loop.now >= decide_by:
            for part in held:
                self._fail_part(part)
            return
        self.loop.call_at(min(decide_by, self.loop.now + REASSEMBLY_RETRY_DELAY), lambda: self._reassemble(held))

    def _join(self, held: list[Message]) -> bool:
        """Replace the parts by one message; false if it can't be journalled now."""
        first = held[0]
        fields = first.extra["smpp"] | {"esm_class": first.extra["smpp"]["esm_class"] & ~parts.UDHI}
        receipts_owed = [
            {"shown": _sender_id(m), "registered_delivery": m.extra["smpp"]["registered_delivery"]} for m in held
        ]
        # "shown" is empty, as the sender knows only the ids of the parts.
        extra = first.extra | {"smpp": fields, "payload": True, "parts": receipts_owed, "shown": ""}
        del extra["part"]
        trace = os.urandom(8).hex()
        reassembled = Message(
            trace,
            first.cls,
            first.tenant,
            first.dest,
            min(m.deadline for m in held),
            b"".join(m.body for m in held),
            self,
            trace,
            extra,
            start=max(m.start for m in held),
        )
        if not self.courier.join(reassembled, held):
            return False
        with logs.contained("parts of a long message", trace=trace):
            for part in held:
                self._held_parts.pop(part.number, None)
                self._unregister_open(part)
            self._register_open(reassembled)
        return True

    def _confirm_acceptance(self, message: Message, response_sent: bool) -> bool:
        """Register an open message if the positive response was sent to its client; otherwise it is not accepted."""
        if response_sent:
            self._register_open(message)
        return response_sent

    def _submit_multi(self, client: ClientConnection, account: Account, pdu: Pdu) -> None:
        """Process a submit_multi: one message for each valid destination, all under one message_id.

        A part of a long message is passed on as it is, with its header, for its receiver to reassemble. The single
        response is sent when every message has been accepted or refused.
        """
        sender_id, unsuccessful = os.urandom(8).hex(), []
        messages: list[tuple[p.Destination, Message]] = []
        for index, dest in enumerate(pdu.dests):
            single = Pdu(
                Command.SUBMIT_SM,
                pdu.sequence,
                0,
                pdu.fields
                | {
                    "dest_addr_ton": dest.ton,
                    "dest_addr_npi": dest.npi,
                    "destination_addr": dest.addr,
                },
                pdu.message,
                pdu.tlvs,
            )
            try:
                if dest.is_list:
                    raise _SubmitRefusedError(Status.ESME_RINVDLNAME)  # distribution lists are not supported
                messages.append(
                    (dest, self._build_message(account, single, f"{sender_id}-{index}", sender_id, holds_parts=False))
                )
            except _SubmitRefusedError as error:
                unsuccessful.append(p.Unsuccess(dest.addr, dest.ton, dest.npi, error.status))
            except Exception:
                logs.fault("submission", peer=client.session.name, sequence=pdu.sequence)
                unsuccessful.append(p.Unsuccess(dest.addr, dest.ton, dest.npi, Status.ESME_RSYSERR))
        accepted: list[tuple[Message, Suspension]] = []
        undecided = [len(messages)]
        all_decided = Suspension(self.loop)

        def respond() -> None:
            """Send the response: positive if any message was accepted, as long as the client is connected.

            The accepted messages are kept only if it was sent.
            """
            client.pending_submits -= 1
            connected = not client.session.stream.peer_closed()
            if accepted:
                response = pdu.reply(message_id=sender_id)
                response.unsuccess = unsuccessful
            else:
                response = pdu.reply(unsuccessful[0].status if unsuccessful else Status.ESME_RSUBMITFAIL)
            response_sent = False
            try:
                response_sent = connected and client.session.send(response)
            except Exception:
                logs.fault("response to a submit_multi", peer=client.session.name, sequence=pdu.sequence)
                client.session.send(pdu.reply(Status.ESME_RSYSERR))
            finally:  # each task of an accepted message waits for this
                for message, confirmation in accepted:
                    confirmation.resume(self._confirm_acceptance(message, response_sent))

        def count_decision() -> None:
            undecided[0] -= 1
            if not undecided[0]:
                all_decided.resume()

        def submit(dest: p.Destination, message: Message) -> None:
            decision: list[bool] = []  # not empty once this destination has been decided

            def answer(result: Answer) -> bool:
                decision.append(True)
                count_decision()
                if not result.accepted:
                    logs.event(
                        "deferred" if result.defer else "rejected", trace=message.trace, why=result.reason, front="smpp"
                    )
                    unsuccessful.append(p.Unsuccess(dest.addr, dest.ton, dest.npi, status_codes.status_of(result)))
                    return False
                confirmation = Suspension(self.loop)
                accepted.append((message, confirmation))
                return bool(self.loop.park(confirmation))

            try:
                self.courier.submit(message, answer)
            finally:
                if not decision:  # an internal error; the response must not wait for a decision on this destination
                    unsuccessful.append(p.Unsuccess(dest.addr, dest.ton, dest.npi, Status.ESME_RSYSERR))
                    count_decision()

        for dest, message in messages:
            self.loop.spawn(submit, dest, message)
        if messages:
            self.loop.park(all_decided)
        respond()

    def _build_message(
        self, account: Account, pdu: Pdu, trace: str = "", sender_id: str = "", holds_parts: bool = True
    ) -> Message:
        """Build the message of a submit_sm or data_sm; raises ``_SubmitRefusedError``.

        An empty ``trace`` stands for a new random one. ``sender_id`` is the message_id that the client gets; if it is
        empty, that is the trace. A part of a long message is marked as such, without its header, unless ``holds_parts``
        is false: then it is a message of its own, and unchanged.
        """
        settings = self.courier.settings
        payload = pdu.tlv(p.MESSAGE_PAYLOAD)
        body = pdu.message if payload is None else payload
        if payload is not None and pdu.message or len(body) > p.MAX_BODY_BYTES:
            raise _SubmitRefusedError(Status.ESME_RINVMSGLEN)
        tlvs = [(tag, value.hex()) for tag, value in pdu.tlvs if tag != p.MESSAGE_PAYLOAD]
        part = None
        if self.config.parts_timeout:
            try:
                part, text = parts.identify_part(pdu, body)
            except parts.InvalidPartError as error:
                raise _SubmitRefusedError(error.status) from None
            part, body = (part, text) if holds_parts else (None, body)
            tlvs = [(tag, value) for tag, value in tlvs if part is None or tag not in parts.SAR]
        if sum(len(value) for _, value in tlvs) > 2 * p.MAX_TLV_BYTES:  # the values are hexadecimal here
            raise _SubmitRefusedError(Status.ESME_ROPTPARNOTALLWD)
        start = self._parse_schedule(pdu.text("schedule_delivery_time"))
        service = pdu.text("service_type")
        cls = self.config.service_types.get(service, account.cls if not service else None)
        if cls is None:
            raise _SubmitRefusedError(Status.ESME_RINVSERTYP)
        try:
            remaining = parse_time(pdu.text("validity_period"), datetime.now(UTC))
        except (ValueError, OverflowError):
            raise _SubmitRefusedError(Status.ESME_RINVEXPIRY) from None
        max_lifetime = settings.classes[cls].deadline_ns // 1000
        if remaining is not None and remaining <= 0:
            raise _SubmitRefusedError(Status.ESME_RINVEXPIRY)
        address = pdu.text("destination_addr")
        prefix = max((known for known in self.config.destinations if address.startswith(known)), key=len, default=None)
        if prefix is None:
            raise _SubmitRefusedError(Status.ESME_RINVDSTADR)
        trace = trace or os.urandom(8).hex()
        extra = {
            "smpp": p.stored_fields(pdu),
            "tlvs": tlvs,
            "account": account.system_id,
            "payload": payload is not None,
            "submitted": int(time.time()),
            **({"shown": sender_id} if sender_id else {}),
            **({"part": dataclasses.asdict(part)} if part is not None else {}),
        }
        earliest = max(self.loop.now, start)
        deadline = (
            earliest + max_lifetime if remaining is None else min(earliest + max_lifetime, self.loop.now + remaining)
        )
        if deadline <= earliest:
            raise _SubmitRefusedError(Status.ESME_RINVEXPIRY)
        return Message(
            trace,
            cls,
            account.tenant,
            self.config.destinations[prefix],
            deadline,
            body,
            self,
            trace,
            extra,
            start=start,
            client=f"smpp-{account.system_id}",
        )

    def _parse_schedule(self, text: str) -> int:
        """The earliest time of the first delivery attempt; 0, for an empty text, means at once.

        Raises ``_SubmitRefusedError`` if the time is malformed, not in the future, or beyond ``MAX_SCHEDULE_DELAY``.
        """
        try:
            delay = parse_time(text, datetime.now(UTC))
        except (ValueError, OverflowError):
            raise _SubmitRefusedError(Status.ESME_RINVSCHED) from None
        if delay is None:
            return 0
        if not 0 < delay <= MAX_SCHEDULE_DELAY:
            raise _SubmitRefusedError(Status.ESME_RINVSCHED)
        return self.loop.now + delay

    # Operations on accepted messages

    def _register_open(self, message: Message) -> None:
        """Make an open message known to query_sm, cancel_sm and replace_sm under its ids."""
        for sender_id in _sender_ids(message):
            self._open_by_id.setdefault(sender_id, {})[message.number] = message

    def recover(self, message: Message) -> bool:
        """Register a message recovered after a restart.

        Returns true for a part that has no final state yet: it is held here until its message is complete or expires.
        Earlier versions marked the parts of a submit_multi as such, and sent each by itself: what may have been
        attempted, or bears the id of a submit_multi, is a message of its own.
        """
        self._register_open(message)
        entry = self.courier.journal.entries[message.number]
        if "part" not in message.extra or entry.verdict:
            return False
        if entry.attempts or entry.awaits or "shown" in message.extra:
            del message.extra["part"]
            return False
        self.loop.spawn(self._hold_or_fail_part, message)
        return True

    def _unregister_open(self, message: Message) -> None:
        for sender_id in _sender_ids(message):
            same_id = self._open_by_id.get(sender_id, {})
            same_id.pop(message.number, None)
            if not same_id:
                self._open_by_id.pop(sender_id, None)

    def _find_open(self, account: Account, pdu: Pdu) -> list[Message]:
        """The open messages of the account with the message_id of a PDU; source_addr has to match as well."""
        found = self._open_by_id.get(pdu.text("message_id"), {}).values()
        return [
            m
            for m in found
            if m.extra["account"] == account.system_id and pdu.text("source_addr") == m.extra["smpp"]["source_addr"]
        ]

    def _query(self, account: Account, pdu: Pdu) -> Pdu:
        """Answer query_sm: ENROUTE for an open message, else its final state, known for the ``keep-ended`` time.

        The status is ESME_RQUERYFAIL if only the source address does not match, and ESME_RINVMSGID for an unknown id.
        """
        if self._find_open(account, pdu):
            return pdu.reply(message_id=pdu.text("message_id"), message_state=p.State.ENROUTE)
        row = self.courier.journal.ended(f"{account.system_id} {pdu.text('message_id')}")
        ended = ujson.loads(row) if row is not None else None
        if ended is None or ended["source"] != pdu.text("source_addr"):
            return pdu.reply(Status.ESME_RQUERYFAIL if ended else Status.ESME_RINVMSGID)
        final = datetime.fromtimestamp(ended["at"], UTC).strftime("%y%m%d%H%M%S000+")
        return pdu.reply(message_id=pdu.text("message_id"), message_state=ended["state"], final_date=final)

    def _cancel(self, account: Account, pdu: Pdu) -> Pdu:
        """Answer cancel_sm, which names messages by their id or by source and destination address.

        Only messages of which no attempt can have run are withdrawn. That also holds for the messages under the id of a
        submit_multi: if some cannot be cancelled, the request fails and the others are withdrawn all the same.
        """
        if pdu.text("message_id"):
            found = self._find_open(account, pdu)
            if not found:
                return pdu.reply(Status.ESME_RINVMSGID)
        else:
            criteria = {name: pdu.text(name) for name in ("source_addr", "destination_addr", "service_type")}
            # An empty service_type matches any; an empty address only an empty one.
            criteria = {name: value for name, value in criteria.items() if value or name != "service_type"}
            found = [
                m
                for group in self._open_by_id.values()
                for m in group.values()
                if m.extra["account"] == account.system_id
                and all(m.extra["smpp"][name] == value for name, value in criteria.items())
            ]
        cancellable = [m for m in found if self.courier.never_attempted(m)]
        withdrawn = [self.courier.withdraw(m) for m in cancellable]
        # By id, all of the messages have to be cancelled; by addresses, all that still can be, and at least one.
        succeeded = (
            bool(withdrawn) and all(withdrawn) and (len(cancellable) == len(found) or not pdu.text("message_id"))
        )
        return pdu.reply(Status.ESME_ROK if succeeded else Status.ESME_RCANCELFAIL)

    def _replace(self, account: Account, pdu: Pdu) -> Pdu:
        """Answer replace_sm: a message that was never attempted gets a new text and keeps its times and destination.

        Under the id of a submit_multi, messages before the first that cannot be replaced keep their new text, although
        the request fails.
        """
        found = self._find_open(account, pdu)
        if not found:
            return pdu.reply(Status.ESME_RINVMSGID)
        if pdu.text("schedule_delivery_time") or pdu.text("validity_period"):
            return pdu.reply(Status.ESME_RREPLACEFAIL)  # the deadline was fixed when the message was accepted
        if any("parts" in message.extra for message in found):
            return pdu.reply(Status.ESME_RREPLACEFAIL)  # the id is that of one part, the text that of all parts
        for message in found:
            fields = message.extra["smpp"] | {
                "registered_delivery": pdu.number("registered_delivery"),
                "sm_default_msg_id": pdu.number("sm_default_msg_id"),
            }
            extra = message.extra | {"smpp": fields, "payload": False}
            if not self.courier.replace(message, pdu.message, extra):
                return pdu.reply(Status.ESME_RREPLACEFAIL)
        return pdu.reply()

    def report_time(self, time_left: int) -> int:
        """See ``SenderSide``."""
        return default_report_time(time_left)

    def report_end(self, message: Message, end: End) -> None:
        """Record the final state for query_sm, and send the requested receipts.

        Returns when each of them has been acknowledged, or the ``receipt-hold`` time has passed. With ``keep_ended`` 0
        no state is recorded.
        """
        self._unregister_open(message)
        # A part that was not reassembled always counts as expired.
        expired = self.loop.now >= message.deadline - EXPIRED_MARGIN or "part" in message.extra
        if self.config.keep_ended:
            number, _ = status_codes.receipt_state(end, expired)
            record = {"state": number, "at": int(time.time()), "source": message.extra["smpp"]["source_addr"]}
            for sender_id in _sender_ids(message):
                self.courier.journal.retain_ended(
                    f"{message.extra['account']} {sender_id}", ujson.dumps(record), self.config.keep_ended
                )
        receipts_owed = message.extra.get("parts")
        if receipts_owed is None:
            self._send_receipt(message, end, expired)
            return
        remaining, all_done = [len(receipts_owed)], Suspension(self.loop)

        def send_for_part(part: Message) -> None:
            try:
                self._send_receipt(part, end, expired)
            finally:
                remaining[0] -= 1
                if not remaining[0]:
                    all_done.resume()

        for owed in receipts_owed:
            fields = message.extra["smpp"] | {"registered_delivery": owed["registered_delivery"]}
            extra = message.extra | {"smpp": fields, "shown": owed["shown"]}
            self.loop.spawn(send_for_part, dataclasses.replace(message, extra=extra))
        self.loop.park(all_done)

    def _send_receipt(self, message: Message, end: End, expired: bool) -> None:
        """Send a receipt if one was requested.

        It is repeated until the client acknowledges it with ESME_ROK, or until the ``receipt-hold`` time has passed. A
        session that does not respond is waited for only briefly while the client has others.
        """
        # The lowest two bits: 0 requests no receipt, 2 one on failure only, 1 and the reserved 3 one for any final
        # state.
        requested = int(message.extra["smpp"].get("registered_delivery", 0)) & 3
        if not requested or requested == 2 and end.state == DELIVERED:
            return
        system_id = message.extra["account"]
        was_acknowledged_late = False

        def note_late_response(response: Pdu | None) -> None:
            nonlocal was_acknowledged_late
            was_acknowledged_late = was_acknowledged_late or response is not None and response.status == 0

        hold_until, delay = self.loop.now + self.config.receipt_hold, INITIAL_RETRY_DELAY
        while self.loop.now < hold_until and not was_acknowledged_late:
            candidates = [
                c
                for c in self._connections
                if c.session.state in RECEIVER_STATES
                and c.account is not None
                and c.account.system_id == system_id
                and not (c.session.closed or c.session.draining)
                and c.session.in_flight < c.account.window
            ]
            # A session that does not answer must not attract all receipts.
            client = min(candidates, key=lambda c: c.unacknowledged_receipts, default=None)
            if client is None:
                for account in self.config.accounts:
                    if account.system_id == system_id and not self._find_receiver(account)[1]:
                        self._request_bind(account)
                # Only a bind resumes it earlier, so the wait is limited: a window may have room again.
                next_bind = Suspension(self.loop)
                self._waiting_for_bind.append(next_bind)
                if self.loop.park(next_bind, min(hold_until, self.loop.now + MAX_RETRY_DELAY)) is TIMED_OUT:
                    self._waiting_for_bind = [other for other in self._waiting_for_bind if other is not next_bind]
                continue
            try:
                receipt = self._build_receipt(message, end, expired)
                timeout = RECEIPT_OVERLAP_DELAY if len(candidates) > 1 else self.config.response_timeout
                timeout = min(timeout, self.config.response_timeout)
                answer = client.session.request(receipt, self.loop.now + timeout, note_late_response)
                client.unacknowledged_receipts = 0
                if answer.status == 0:
                    return
                logs.event(
                    "smpp-receipt-refused", trace=message.trace, peer=client.session.name, status=f"{answer.status:#x}"
                )
            except (NotSentError, SessionLostError, DeadlineExceededError):
                client.unacknowledged_receipts += 1
                logs.event("smpp-receipt-unheard", trace=message.trace, peer=client.session.name)
            self.loop.sleep(delay)
            delay = min(MAX_RETRY_DELAY, 2 * delay)
        if not was_acknowledged_late:
            logs.warn("smpp-receipt-given-up", trace=message.trace, account=system_id)

    def _build_receipt(self, message: Message, end: End, expired: bool) -> Pdu:
        """The PDU that reports the final state of a message.

        A data_sm if an address is too long for a deliver_sm, as after a data_sm of the client, else a deliver_sm.
        """
        submitted_fields = message.extra["smpp"]
        number, stat = status_codes.receipt_state(end, expired)
        submitted = datetime.fromtimestamp(message.extra.get("submitted", 0), UTC)
        text = (
            f"id:{_sender_id(message)} sub:001 dlvrd:{int(end.state == DELIVERED):03d} "
            f"submit date:{submitted:%y%m%d%H%M} done date:{datetime.now(UTC):%y%m%d%H%M} "
            f"stat:{stat} err:000 text:"
        )
        sender_id = _sender_id(message)
        tlvs = [(p.RECEIPTED_MESSAGE_ID, sender_id.encode() + b"\0"), (p.MESSAGE_STATE, bytes([number]))]
        if end.after_ms:
            tlvs.append((p.RETRY_AFTER_MS, end.after_ms.to_bytes(4, "big")))
        fields = {
            "source_addr_ton": submitted_fields["dest_addr_ton"],
            "source_addr_npi": submitted_fields["dest_addr_npi"],
            "source_addr": submitted_fields["destination_addr"],
            "dest_addr_ton": submitted_fields["source_addr_ton"],
            "dest_addr_npi": submitted_fields["source_addr_npi"],
            "destination_addr": submitted_fields["source_addr"],
            "esm_class": 4,
        }
        longest_address = max(len(fields["source_addr"]), len(fields["destination_addr"]))
        if longest_address > p.MAX_SHORT_ADDRESS:
            return Pdu(Command.DATA_SM, fields=fields, tlvs=[*tlvs, (p.MESSAGE_PAYLOAD, text.encode())])
        return Pdu(Command.DELIVER_SM, fields=fields, message=text.encode(), tlvs=tlvs)

    def shut_down(self) -> None:
        """Send unbind on all sessions, bound or not, and close them."""
        for client in list(self._connections):
            self.loop.spawn(client.session.unbind)


def _sender_ids(message: Message) -> list[str]:
    """The ids by which the sender knows a message: for a reassembled message, the ids of its parts."""
    receipts_owed = message.extra.get("parts")
    return [_sender_id(message)] if receipts_owed is None else [str(owed["shown"]) for owed in receipts_owed]


def _reassembly_key(message: Message) -> parts.Key:
    """What the parts of one message have in common besides their reference and their number."""
    fields = message.extra["smpp"]
    return (
        message.extra["account"],
        fields["source_addr"],
        fields["destination_addr"],
        fields["service_type"],
        fields["data_coding"],
        message.dest,
    )


def _sender_id(message: Message) -> str:
    """The id by which the sender knows a message; empty for a reassembled one."""
    return str(message.extra.get("shown", message.trace))


class _SubmitRefusedError(Exception):
    """A submit request is refused; ``status`` is the command_status of the response."""

    def __init__(self, status: Status) -> None:
        super().__init__(status.name)
        self.status = status
