"""Conformance cases for SMPP 3.4 message centres, with the expected responses. No I/O; ``probe`` runs them.

Source: SMPP Protocol Specification v3.4, issue 1.2; each case names its clause. Where the specification leaves a
choice (two applicable statuses, or closing the connection instead of a response), the case accepts each of them.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial

from kestrelspar.smpp import pdu as p
from kestrelspar.smpp import table
from kestrelspar.smpp.pdu import Command, Destination, Pdu, Status
from kestrelspar.smpp.table import BOUND_STATES, SessionState, Side

REQUEST_SEQUENCE = 0x01020304  # sequence_number of the request under test
UNKNOWN_MESSAGE_ID = "no-such-message"
# Statuses that are accepted in the response to a request with a malformed body.
_MALFORMED_BODY_STATUSES = (
    Status.ESME_RINVPARLEN,
    Status.ESME_RINVMSGLEN,
    Status.ESME_RINVCMDLEN,
    Status.ESME_RINVOPTPARSTREAM,
    Status.ESME_RSYSERR,
    Status.ESME_RINVSYSID,
    Status.ESME_RINVPASWD,
    Status.ESME_RINVSYSTYP,
    Status.ESME_RINVSRCADR,
    Status.ESME_RINVDSTADR,
    Status.ESME_RINVSERTYP,
    Status.ESME_RINVSCHED,
    Status.ESME_RINVEXPIRY,
    Status.ESME_RINVMSGID,
    Status.ESME_RSUBMITFAIL,
    Status.ESME_RINVNUMDESTS,
    Status.ESME_RINVDESTFLAG,
    Status.ESME_RUNKNOWNERR,
    Status.ESME_RBINDFAIL,
)


@dataclass(frozen=True, slots=True)
class Credentials:
    """The credentials that the cases bind with, and the fields of the messages that they submit."""

    system_id: str
    password: str
    source: str = "100"
    destination: str = "3725550"
    service_type: str = ""


@dataclass(frozen=True, slots=True)
class ExpectedResponse:
    """The responses that a case accepts."""

    commands: tuple[int, ...] = ()  # empty: no response may come
    statuses: tuple[int, ...] | None = None  # None: all except ``forbidden``
    forbidden: tuple[int, ...] = ()
    sequence: int = REQUEST_SEQUENCE
    may_close: bool = False  # instead of responding
    must_close: bool = False  # after the response
    required_tlv: int | None = None  # an optional parameter that the response must have

    def find_fault(self, response: Pdu | None, closed: bool) -> str:
        """What is wrong with a response, or with its absence; an empty string if the case accepts it.

        ``closed``: the connection was closed before a response. ``must_close`` is left to the caller.
        """
        if response is None:
            if not self.commands:
                return "" if not closed or self.may_close else "connection closed"
            if closed:
                return "" if self.may_close else "connection closed without a response"
            return "no response"
        if not self.commands:
            return f"unexpected response: {response.command.name.lower()}"
        if response.command not in self.commands:
            return f"unexpected response {response.command.name.lower()} with status {status_name(response.status)}"
        if response.sequence != self.sequence:
            return f"sequence_number {response.sequence:#x}, expected {self.sequence:#x}"
        if self.statuses is not None and response.status not in self.statuses:
            return f"unexpected status {status_name(response.status)}"
        if response.status in self.forbidden:
            return f"unexpected status {status_name(response.status)}"
        if self.required_tlv is not None and response.tlv(self.required_tlv) is None:
            return f"response lacks the parameter {self.required_tlv:#06x}"
        return ""

    def __str__(self) -> str:
        """For reports; four or more statuses are abbreviated to "an error"."""
        text = " or ".join(Command(command).name.lower() for command in self.commands) or "no response"
        if self.statuses is not None and len(self.statuses) < 4:
            text += " with " + " or ".join(status_name(status) for status in self.statuses)
        elif self.statuses is not None:
            text += " with an error"
        elif self.forbidden:
            text += " but not with " + " or ".join(status_name(status) for status in self.forbidden)
        return text + (" or the connection closed" if self.may_close else "")


def status_name(status: int) -> str:
    """The name of a status, or its number if it is not defined."""
    return Status(status).name if status in Status._value2member_map_ else f"{status:#x}"


@dataclass(frozen=True, slots=True)
class Case:
    """One exchange: the session state, the bytes sent, in one write for each chunk, and the expected response."""

    group: str
    name: str
    clause: str  # of the specification
    state: SessionState
    chunks: tuple[bytes, ...]
    expected: ExpectedResponse
    session_continues: bool = True  # whether enquire_link has to be answered afterwards
    refused_bind: bool = field(default=False)  # may count as a refused bind, for which servers throttle an address


def _valid_request(account: Credentials, command: Command, **overrides: object) -> Pdu:
    """A valid request of this kind, with some fields replaced."""
    fields: dict[str, object] = {
        "source_addr": account.source,
        "destination_addr": account.destination,
        "service_type": account.service_type,
    }
    if command in BOUND_STATES:
        fields = {"system_id": account.system_id, "password": account.password, "interface_version": 0x34}
    elif command in (Command.QUERY_SM, Command.CANCEL_SM, Command.REPLACE_SM):
        fields["message_id"] = UNKNOWN_MESSAGE_ID
    elif command is Command.OUTBIND:
        fields = {"system_id": account.system_id, "password": account.password}
    elif command is Command.ALERT_NOTIFICATION:
        fields = {"source_addr": account.source, "esme_addr": account.destination}
    request = Pdu(command, REQUEST_SEQUENCE, 0, fields | overrides)
    if command is Command.SUBMIT_MULTI:
        request.dests = [Destination(account.destination, 1, 1)]
    if command in (Command.SUBMIT_SM, Command.SUBMIT_MULTI, Command.DELIVER_SM, Command.REPLACE_SM):
        request.message = b"conformance"
    if command is Command.DATA_SM:
        request.tlvs = [(p.MESSAGE_PAYLOAD, b"conformance")]
    return request


def _response_to(command: Command) -> int:
    return command | p.RESPONSE


def _with_header(data: bytes, **header: int) -> bytes:
    """Replace the length, command, status or sequence in the header of an encoded PDU."""
    original = dict(zip(("size", "command", "status", "sequence"), p.HEADER.unpack_from(data), strict=True))
    patched = original | header
    return (
        p.HEADER.pack(patched["size"], patched["command"], patched["status"], patched["sequence"])
        + data[p.HEADER.size :]
    )


def _raw_pdu(command: int, body: bytes, sequence: int = REQUEST_SEQUENCE, status: int = 0) -> bytes:
    return p.HEADER.pack(p.HEADER.size + len(body), command, status, sequence) + body


def cases(account: Credentials) -> list[Case]:
    """All conformance cases."""
    return [
        *_state_cases(account),
        *_bind_cases(account),
        *_header_cases(account),
        *_field_cases(account),
        *_parameter_cases(account),
        *_semantic_cases(account),
        *_unsolicited_response_cases(account),
    ]


def _state_cases(account: Credentials) -> Iterator[Case]:
    """Each request in each session state."""
    for command in table.requests():
        for state in SessionState:
            refusal = table.refusal(Side.CENTRE, state, Pdu(command))
            if command is Command.OUTBIND or command is Command.ALERT_NOTIFICATION:
                # No response is defined; a message centre may send a generic_nack, or close the connection.
                expected, session_continues = ExpectedResponse((Command.GENERIC_NACK,), may_close=True), False
            elif command is Command.DELIVER_SM:
                expected = ExpectedResponse(
                    (Command.GENERIC_NACK, Command.DELIVER_SM_RESP),
                    (Status.ESME_RINVCMDID, Status.ESME_RINVBNDSTS),
                    may_close=True,
                )
                session_continues = False
            elif refusal is not None:
                commands = (refusal.command, Command.GENERIC_NACK)
                expected, session_continues = (
                    ExpectedResponse(commands, (refusal.status,), may_close=state is SessionState.OPEN),
                    False,
                )
            else:
                expected = ExpectedResponse(
                    (_response_to(command),), forbidden=(Status.ESME_RINVBNDSTS, Status.ESME_RINVCMDID)
                )
                session_continues = command is not Command.UNBIND
                if command is Command.UNBIND:
                    expected = ExpectedResponse(
                        (_response_to(command),), (Status.ESME_ROK,), must_close=state is not SessionState.OPEN
                    )
                elif command is Command.ENQUIRE_LINK:
                    expected = ExpectedResponse((_response_to(command),), (Status.ESME_ROK,))
            yield Case(
                "states",
                f"{command.name.lower()} while {state.value}",
                "2.2, table 2-1",
                state,
                (p.encode(_valid_request(account, command)),),
                expected,
                session_continues,
            )


def _bind_cases(account: Credentials) -> Iterator[Case]:
    """Binds: versions, and wrong credentials."""
    for command in BOUND_STATES:
        name, response = command.name.lower(), _response_to(command)
        yield Case(
            "binds",
            f"{name} in order",
            "4.1.2",
            SessionState.OPEN,
            (p.encode(_valid_request(account, command)),),
            ExpectedResponse((response,), (Status.ESME_ROK,)),
        )
        yield Case(
            "binds",
            f"{name} tells the version it speaks",
            "4.1.2, sc_interface_version",
            SessionState.OPEN,
            (p.encode(_valid_request(account, command)),),
            ExpectedResponse((response,), required_tlv=p.SC_INTERFACE_VERSION),
        )
        yield Case(
            "binds",
            f"{name} with another password",
            "5.1.3",
            SessionState.OPEN,
            (p.encode(_valid_request(account, command, password="wr0ng")),),
            ExpectedResponse((response,), (Status.ESME_RINVPASWD, Status.ESME_RBINDFAIL), may_close=True),
            False,
            True,
        )
        yield Case(
            "binds",
            f"{name} with an unknown system_id",
            "5.1.3",
            SessionState.OPEN,
            (p.encode(_valid_request(account, command, system_id="nobody-known")),),
            ExpectedResponse((response,), (Status.ESME_RINVSYSID, Status.ESME_RBINDFAIL), may_close=True),
            False,
            True,
        )
        yield Case(
            "binds",
            f"{name} with an empty system_id",
            "5.2.1",
            SessionState.OPEN,
            (p.encode(_valid_request(account, command, system_id="")),),
            ExpectedResponse((response,), (Status.ESME_RINVSYSID, Status.ESME_RBINDFAIL), may_close=True),
            False,
            True,
        )
        for version in (0x00, 0x33, 0x50):
            yield Case(
                "binds",
                f"{name} with interface_version {version:#04x}",
                "5.2.4",
                SessionState.OPEN,
                (p.encode(_valid_request(account, command, interface_version=version)),),
                ExpectedResponse((response,), forbidden=(Status.ESME_RINVCMDID,)),
                version != 0,
            )


def _header_cases(account: Credentials) -> Iterator[Case]:
    """Command lengths, command ids, sequence numbers, and PDUs split over several writes."""
    enquire = p.encode(Pdu(Command.ENQUIRE_LINK, REQUEST_SEQUENCE))
    enquire_answered = ExpectedResponse((Command.ENQUIRE_LINK_RESP,), (Status.ESME_ROK,))
    for state in (SessionState.OPEN, SessionState.TRX):
        for size in (0, 4, 15, 0x7FFFFFFF, 0xFFFFFFFF):
            yield Case(
                "headers",
                f"command_length {size:#x} while {state.value}",
                "3.2, 5.1.1",
                state,
                (_with_header(enquire, size=size),),
                ExpectedResponse((Command.GENERIC_NACK,), (Status.ESME_RINVCMDLEN,), sequence=0, may_close=True),
                False,
            )
        for command in (0x0000000A, 0x00000100, 0x00010200, 0x7FFFFFFF):
            yield Case(
                "headers",
                f"unknown command_id {command:#010x} while {state.value}",
                "4.3.1",
                state,
                (_raw_pdu(command, b""),),
                ExpectedResponse((Command.GENERIC_NACK,), (Status.ESME_RINVCMDID,)),
            )
        yield Case(
            "headers",
            f"an unknown response id while {state.value}",
            "4.3.1",
            state,
            (_raw_pdu(0x8000000A, b""),),
            ExpectedResponse((), may_close=state is SessionState.OPEN),
            state is not SessionState.OPEN,
        )
    for sequence in (1, 0x7FFFFFFF, 0):
        yield Case(
            "headers",
            f"sequence_number {sequence:#x} is returned",
            "5.1.4",
            SessionState.TRX,
            (_with_header(enquire, sequence=sequence),),
            ExpectedResponse((Command.ENQUIRE_LINK_RESP,), sequence=sequence),
        )
    yield Case(
        "headers",
        "a request's command_status is not looked at",
        "5.1.3",
        SessionState.TRX,
        (_with_header(enquire, status=0x58),),
        enquire_answered,
    )
    yield Case(
        "headers",
        "a PDU in single bytes",
        "3.1",
        SessionState.TRX,
        tuple(enquire[at : at + 1] for at in range(len(enquire))),
        enquire_answered,
    )
    submit = p.encode(_valid_request(account, Command.SUBMIT_SM))
    yield Case(
        "headers",
        "a submit_sm in two halves",
        "3.1",
        SessionState.TRX,
        (submit[: len(submit) // 2], submit[len(submit) // 2 :]),
        ExpectedResponse((Command.SUBMIT_SM_RESP,), forbidden=(Status.ESME_RINVCMDLEN,)),
    )
    yield Case(
        "headers",
        "two PDUs in one write",
        "3.1",
        SessionState.TRX,
        (enquire + _with_header(enquire, sequence=7),),
        enquire_answered,
    )
    yield Case(
        "headers",
        "enquire_link with a body",
        "4.11.1",
        SessionState.TRX,
        (_raw_pdu(Command.ENQUIRE_LINK, b"\0\0"),),
        ExpectedResponse((Command.ENQUIRE_LINK_RESP, Command.GENERIC_NACK)),
    )


def _field_cases(account: Credentials) -> Iterator[Case]:
    """Truncated requests, and requests with a string that exceeds its field."""
    for command in (
        Command.SUBMIT_SM,
        Command.DATA_SM,
        Command.SUBMIT_MULTI,
        Command.QUERY_SM,
        Command.CANCEL_SM,
        Command.REPLACE_SM,
        *BOUND_STATES,
    ):
        state = SessionState.OPEN if command in BOUND_STATES else SessionState.TRX
        name, expected = (
            command.name.lower(),
            ExpectedResponse((_response_to(command), Command.GENERIC_NACK), _MALFORMED_BODY_STATUSES, may_close=True),
        )
        encoded = p.encode(_valid_request(account, command))
        case = partial(
            Case,
            "fields",
            state=state,
            expected=expected,
            session_continues=False,
            refused_bind=command in BOUND_STATES,
        )
        yield case(name=f"{name} without a body", clause="3.2", chunks=(_raw_pdu(command, b""),))
        body = encoded[p.HEADER.size :]
        first_string = body[: body.index(b"\0")]
        yield case(
            name=f"{name} whose first string has no end",
            clause="3.1.1",
            chunks=(_raw_pdu(command, first_string or b"x"),),
        )
        if command is not Command.DATA_SM:  # without its last byte, the mandatory fields may still be complete
            yield case(name=f"{name} that lacks its last byte", clause="3.2", chunks=(_raw_pdu(command, body[:-1]),))
        for field_name, size in p.FIELDS[command]:
            if size > 0:
                yield case(
                    name=f"{name} with a {field_name} of {size} letters and no end in time",
                    clause="3.1.1",
                    chunks=(_with_overlong_field(account, command, field_name, size),),
                )


def _with_overlong_field(account: Credentials, command: Command, name: str, max_size: int) -> bytes:
    """A request with one string that fills its field, so that its terminator lies beyond the field."""
    request, encoded = _valid_request(account, command), []
    for field_name, size in p.FIELDS[command]:
        if field_name == name:
            encoded.append(b"9" * max_size + b"\0")
        elif size < 0:
            # The destinations of a submit_multi: number 1, dest_flag 1 (an address), ton 1, npi 1.
            encoded.append(b"\1\1\1\1" + account.destination.encode() + b"\0")
        elif size:
            encoded.append(request.text(field_name).encode() + b"\0")
        else:
            encoded.append(bytes([request.number(field_name)]))
    if command in (Command.SUBMIT_SM, Command.SUBMIT_MULTI, Command.REPLACE_SM):
        encoded.append(bytes([len(request.message)]) + request.message)
    return _raw_pdu(command, b"".join(encoded))


def _parameter_cases(account: Credentials) -> Iterator[Case]:
    """Optional parameters, valid and malformed."""
    request = _valid_request(account, Command.SUBMIT_SM)
    accepted = ExpectedResponse(
        (Command.SUBMIT_SM_RESP,),
        forbidden=(
            Status.ESME_RINVOPTPARSTREAM,
            Status.ESME_ROPTPARNOTALLWD,
            Status.ESME_RINVPARLEN,
            Status.ESME_RINVCMDLEN,
        ),
    )
    rejected = ExpectedResponse(
        (Command.SUBMIT_SM_RESP, Command.GENERIC_NACK),
        (
            Status.ESME_RINVOPTPARSTREAM,
            Status.ESME_RINVPARLEN,
            Status.ESME_RINVCMDLEN,
            Status.ESME_RINVOPTPARAMVAL,
            Status.ESME_RSYSERR,
        ),
        may_close=True,
    )
    data = p.encode(request)

    def with_tail(tail: bytes) -> tuple[bytes, ...]:
        return (_raw_pdu(Command.SUBMIT_SM, data[p.HEADER.size :] + tail),)

    for name, tail in (
        ("an unknown parameter", struct.pack(">HH", 0x3FFF, 2) + b"xy"),
        ("a parameter for vendors", struct.pack(">HH", 0x1400, 1) + b"x"),
        ("an unknown parameter without a value", struct.pack(">HH", 0x3FFF, 0)),
        ("a user_message_reference", struct.pack(">HHH", 0x0204, 2, 7)),
        ("the same parameter twice", 2 * struct.pack(">HHH", 0x0204, 2, 7)),
    ):
        yield Case("parameters", f"submit_sm with {name}", "3.3", SessionState.TRX, with_tail(tail), accepted)
    for name, tail in (
        ("half a tag", b"\x02"),
        ("a tag without a length", b"\x02\x04"),
        ("half a length", b"\x02\x04\x00"),
        ("a value cut short", b"\x02\x04\x00\x02\x07"),
        ("a length beyond the PDU", b"\x02\x04\xff\xff\x00\x07"),
    ):
        yield Case(
            "parameters", f"submit_sm with {name}", "3.2.4.1", SessionState.TRX, with_tail(tail), rejected, False
        )
    yield Case(
        "parameters",
        "submit_sm with a message_payload instead of a short_message",
        "4.4.1",
        SessionState.TRX,
        (
            p.encode(
                Pdu(Command.SUBMIT_SM, REQUEST_SEQUENCE, 0, request.fields, b"", [(p.MESSAGE_PAYLOAD, b"x" * 300)])
            ),
        ),
        accepted,
    )
    yield Case(
        "parameters",
        "submit_sm with both",
        "4.4.1, 5.3.2.32",
        SessionState.TRX,
        (p.encode(Pdu(Command.SUBMIT_SM, REQUEST_SEQUENCE, 0, request.fields, b"x", [(p.MESSAGE_PAYLOAD, b"y")])),),
        ExpectedResponse(
            (Command.SUBMIT_SM_RESP,),
            (Status.ESME_RINVMSGLEN, Status.ESME_ROPTPARNOTALLWD, Status.ESME_RINVPARLEN, Status.ESME_RSUBMITFAIL),
        ),
    )


def _semantic_cases(account: Credentials) -> Iterator[Case]:
    """Well-formed fields with invalid values, and valid messages."""

    def submit(clause: str, name: str, statuses: tuple[Status, ...], **fields: object) -> Case:
        return Case(
            "meaning",
            f"submit_sm with {name}",
            clause,
            SessionState.TRX,
            (p.encode(_valid_request(account, Command.SUBMIT_SM, **fields)),),
            ExpectedResponse((Command.SUBMIT_SM_RESP,), statuses),
        )

    # Not an SMPP time, one in month 13, and one without the sign of its time zone.
    for text in ("tomorrow", "261301000000000+", "0000000000000000"):
        yield submit("5.2.16, 7.1.1", f"the validity_period {text}", (Status.ESME_RINVEXPIRY,), validity_period=text)
        yield submit(
            "5.2.15, 7.1.1", f"the schedule_delivery_time {text}", (Status.ESME_RINVSCHED,), schedule_delivery_time=text
        )
    yield submit(
        "5.2.16", "a validity_period that is over", (Status.ESME_RINVEXPIRY,), validity_period="010101000000000+"
    )
    yield submit(
        "5.2.9", "an empty destination_addr", (Status.ESME_RINVDSTADR, Status.ESME_RINVDSTTON), destination_addr=""
    )
    encoded = p.encode(_valid_request(account, Command.SUBMIT_SM))
    length_at = len(encoded) - len(b"conformance") - 1
    for size in (255, 12):
        yield Case(
            "meaning",
            f"submit_sm whose sm_length says {size} of 11",
            "5.2.21",
            SessionState.TRX,
            (encoded[:length_at] + bytes([size]) + encoded[length_at + 1 :],),
            ExpectedResponse((Command.SUBMIT_SM_RESP, Command.GENERIC_NACK), _MALFORMED_BODY_STATUSES),
            False,
        )
    fields = p.encode(_valid_request(account, Command.SUBMIT_MULTI))[p.HEADER.size :]
    # The number of destinations follows service_type and its zero, ton and npi of the source, which are zero bytes,
    # too, and the source address with its zero.
    count_at = fields.index(b"\0", fields.index(b"\0") + 3) + 1
    dests_length = len(b"\1\1\1" + account.destination.encode() + b"\0")
    # Name; number of destinations with the destinations, each dest_flag, ton, npi, address; statuses accepted.
    for name, dests, statuses in (
        ("no destination", b"\0", (Status.ESME_RINVNUMDESTS,)),
        ("the dest_flag 3", b"\1\3\1\1" + account.destination.encode() + b"\0", (Status.ESME_RINVDESTFLAG,)),
        (
            "fewer destinations than it says",
            b"\xfe\1\1\1" + account.destination.encode() + b"\0",
            _MALFORMED_BODY_STATUSES,
        ),
    ):
        yield Case(
            "meaning",
            f"submit_multi with {name}",
            "4.5.1, 5.2.24",
            SessionState.TRX,
            (_raw_pdu(Command.SUBMIT_MULTI, fields[:count_at] + dests + fields[count_at + 1 + dests_length :]),),
            ExpectedResponse((Command.SUBMIT_MULTI_RESP, Command.GENERIC_NACK), statuses),
            False,
        )
    for command, failure in (
        (Command.QUERY_SM, Status.ESME_RQUERYFAIL),
        (Command.CANCEL_SM, Status.ESME_RCANCELFAIL),
        (Command.REPLACE_SM, Status.ESME_RREPLACEFAIL),
    ):
        for unknown_id in (UNKNOWN_MESSAGE_ID, "x" * 64):
            yield Case(
                "meaning",
                f"{command.name.lower()} of the unknown message {unknown_id:.16}",
                "5.1.3",
                SessionState.TRX,
                (p.encode(_valid_request(account, command, message_id=unknown_id)),),
                ExpectedResponse((_response_to(command),), (Status.ESME_RINVMSGID, failure)),
            )
    for command in (Command.SUBMIT_SM, Command.DATA_SM, Command.SUBMIT_MULTI):
        yield Case(
            "meaning",
            f"{command.name.lower()} in order",
            "4.4.2, 4.5.2, 4.7.2",
            SessionState.TRX,
            (p.encode(_valid_request(account, command)),),
            ExpectedResponse((_response_to(command),), (Status.ESME_ROK,)),
        )


def _unsolicited_response_cases(account: Credentials) -> Iterator[Case]:
    """Responses without a request: ignored, and the session continues."""
    for command in Command:
        if command & p.RESPONSE:
            yield Case(
                "unasked",
                f"{command.name.lower()} that nobody asked for",
                "4.3.1",
                SessionState.TRX,
                (_raw_pdu(command, b"", status=0x58),),
                ExpectedResponse(),
            )
