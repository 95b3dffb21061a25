"""Encoding and decoding of SMPP 3.4 PDUs. No I/O and no decisions."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

HEADER = struct.Struct(">IIII")
MAX_PDU_BYTES = 70 * 1024  # a message_payload of 64 KiB with the other fields
RESPONSE = 0x80000000  # bit of the command_id that marks a response


class Command(IntEnum):
    """The command_id values of the supported operations."""

    GENERIC_NACK = 0x80000000
    BIND_RECEIVER = 0x00000001
    BIND_RECEIVER_RESP = 0x80000001
    BIND_TRANSMITTER = 0x00000002
    BIND_TRANSMITTER_RESP = 0x80000002
    QUERY_SM = 0x00000003
    QUERY_SM_RESP = 0x80000003
    SUBMIT_SM = 0x00000004
    SUBMIT_SM_RESP = 0x80000004
    DELIVER_SM = 0x00000005
    DELIVER_SM_RESP = 0x80000005
    UNBIND = 0x00000006
    UNBIND_RESP = 0x80000006
    REPLACE_SM = 0x00000007
    REPLACE_SM_RESP = 0x80000007
    CANCEL_SM = 0x00000008
    CANCEL_SM_RESP = 0x80000008
    BIND_TRANSCEIVER = 0x00000009
    BIND_TRANSCEIVER_RESP = 0x80000009
    OUTBIND = 0x0000000B
    ENQUIRE_LINK = 0x00000015
    ENQUIRE_LINK_RESP = 0x80000015
    SUBMIT_MULTI = 0x00000021
    SUBMIT_MULTI_RESP = 0x80000021
    ALERT_NOTIFICATION = 0x00000102
    DATA_SM = 0x00000103
    DATA_SM_RESP = 0x80000103


class Status(IntEnum):
    """The command_status values of SMPP 3.4, section 5.1.3."""

    ESME_ROK = 0x00
    ESME_RINVMSGLEN = 0x01
    ESME_RINVCMDLEN = 0x02
    ESME_RINVCMDID = 0x03
    ESME_RINVBNDSTS = 0x04
    ESME_RALYBND = 0x05
    ESME_RINVPRTFLG = 0x06
    ESME_RINVREGDLVFLG = 0x07
    ESME_RSYSERR = 0x08
    ESME_RINVSRCADR = 0x0A
    ESME_RINVDSTADR = 0x0B
    ESME_RINVMSGID = 0x0C
    ESME_RBINDFAIL = 0x0D
    ESME_RINVPASWD = 0x0E
    ESME_RINVSYSID = 0x0F
    ESME_RCANCELFAIL = 0x11
    ESME_RREPLACEFAIL = 0x13
    ESME_RMSGQFUL = 0x14
    ESME_RINVSERTYP = 0x15
    ESME_RINVNUMDESTS = 0x33
    ESME_RINVDLNAME = 0x34
    ESME_RINVDESTFLAG = 0x40
    ESME_RINVSUBREP = 0x42
    ESME_RINVESMCLASS = 0x43
    ESME_RCNTSUBDL = 0x44
    ESME_RSUBMITFAIL = 0x45
    ESME_RINVSRCTON = 0x48
    ESME_RINVSRCNPI = 0x49
    ESME_RINVDSTTON = 0x50
    ESME_RINVDSTNPI = 0x51
    ESME_RINVSYSTYP = 0x53
    ESME_RINVREPFLAG = 0x54
    ESME_RINVNUMMSGS = 0x55
    ESME_RTHROTTLED = 0x58
    ESME_RINVSCHED = 0x61
    ESME_RINVEXPIRY = 0x62
    ESME_RINVDFTMSGID = 0x63
    ESME_RX_T_APPN = 0x64
    ESME_RX_P_APPN = 0x65
    ESME_RX_R_APPN = 0x66
    ESME_RQUERYFAIL = 0x67
    ESME_RINVOPTPARSTREAM = 0xC0
    ESME_ROPTPARNOTALLWD = 0xC1
    ESME_RINVPARLEN = 0xC2
    ESME_RMISSINGOPTPARAM = 0xC3
    ESME_RINVOPTPARAMVAL = 0xC4
    ESME_RDELIVERYFAILURE = 0xFE
    ESME_RUNKNOWNERR = 0xFF


class State(IntEnum):
    """The message_state values of SMPP 3.4, section 5.2.28; SCHEDULED was added by SMPP 5.0."""

    SCHEDULED = 0
    ENROUTE = 1
    DELIVERED = 2
    EXPIRED = 3
    DELETED = 4
    UNDELIVERABLE = 5
    ACCEPTED = 6
    UNKNOWN = 7
    REJECTED = 8


# Tags of optional parameters.
RECEIPTED_MESSAGE_ID, MESSAGE_STATE, MESSAGE_PAYLOAD = 0x001E, 0x0427, 0x0424
SC_INTERFACE_VERSION = 0x0210
SAR_MSG_REF_NUM, SAR_TOTAL_SEGMENTS, SAR_SEGMENT_SEQNUM = 0x020C, 0x020E, 0x020F
CONGESTION_STATE = 0x0428  # SMPP 5.0: from 0 (idle) to 99 (congested), 100 (full)
MAX_DESTINATIONS = 254  # of a submit_multi
# Tag in the vendor-specific range; the value is the delay in ms before a returned message may be submitted again.
RETRY_AFTER_MS = 0x1401

# Name and length of each field: for a C-octet string, the maximum in bytes with its terminating zero; 0 stands for an
# integer of one byte.
_BIND_LAYOUT = (
    ("system_id", 16),
    ("password", 9),
    ("system_type", 13),
    ("interface_version", 0),
    ("addr_ton", 0),
    ("addr_npi", 0),
    ("address_range", 41),
)
_BIND_RESP_LAYOUT = (("system_id", 16),)
_SM_LAYOUT = (
    ("service_type", 6),
    ("source_addr_ton", 0),
    ("source_addr_npi", 0),
    ("source_addr", 21),
    ("dest_addr_ton", 0),
    ("dest_addr_npi", 0),
    ("destination_addr", 21),
    ("esm_class", 0),
    ("protocol_id", 0),
    ("priority_flag", 0),
    ("schedule_delivery_time", 17),
    ("validity_period", 17),
    ("registered_delivery", 0),
    ("replace_if_present_flag", 0),
    ("data_coding", 0),
    ("sm_default_msg_id", 0),
)
_SOURCE_LAYOUT = (("source_addr_ton", 0), ("source_addr_npi", 0), ("source_addr", 21))
_DESTINATION_LAYOUT = (("dest_addr_ton", 0), ("dest_addr_npi", 0), ("destination_addr", 21))
_DATA_LAYOUT = (
    ("service_type", 6),
    ("source_addr_ton", 0),
    ("source_addr_npi", 0),
    ("source_addr", 65),
    ("dest_addr_ton", 0),
    ("dest_addr_npi", 0),
    ("destination_addr", 65),
    ("esm_class", 0),
    ("registered_delivery", 0),
    ("data_coding", 0),
)
# Lengths that stand for a list: the destinations of a submit_multi, and the rejected destinations in its response.
_DESTINATION_LIST, _UNSUCCESS_LIST = -1, -2
FIELDS: dict[Command, tuple[tuple[str, int], ...]] = {
    Command.BIND_RECEIVER: _BIND_LAYOUT,
    Command.BIND_TRANSMITTER: _BIND_LAYOUT,
    Command.BIND_TRANSCEIVER: _BIND_LAYOUT,
    Command.BIND_RECEIVER_RESP: _BIND_RESP_LAYOUT,
    Command.BIND_TRANSMITTER_RESP: _BIND_RESP_LAYOUT,
    Command.BIND_TRANSCEIVER_RESP: _BIND_RESP_LAYOUT,
    Command.OUTBIND: _BIND_LAYOUT[:2],
    Command.SUBMIT_SM: _SM_LAYOUT,
    Command.DELIVER_SM: _SM_LAYOUT,
    Command.SUBMIT_SM_RESP: (("message_id", 65),),
    Command.DELIVER_SM_RESP: (("message_id", 65),),
    Command.QUERY_SM: (("message_id", 65), *_SOURCE_LAYOUT),
    Command.QUERY_SM_RESP: (("message_id", 65), ("final_date", 17), ("message_state", 0), ("error_code", 0)),
    Command.CANCEL_SM: (("service_type", 6), ("message_id", 65), *_SOURCE_LAYOUT, *_DESTINATION_LAYOUT),
    Command.REPLACE_SM: (
        ("message_id", 65),
        *_SOURCE_LAYOUT,
        ("schedule_delivery_time", 17),
        ("validity_period", 17),
        ("registered_delivery", 0),
        ("sm_default_msg_id", 0),
    ),
    Command.DATA_SM: _DATA_LAYOUT,
    Command.DATA_SM_RESP: (("message_id", 65),),
    Command.SUBMIT_MULTI: (_SM_LAYOUT[0], *_SOURCE_LAYOUT, ("dests", _DESTINATION_LIST), *_SM_LAYOUT[7:]),
    Command.SUBMIT_MULTI_RESP: (("message_id", 65), ("unsuccess", _UNSUCCESS_LIST)),
    Command.ALERT_NOTIFICATION: (
        ("source_addr_ton", 0),
        ("source_addr_npi", 0),
        ("source_addr", 65),
        ("esme_addr_ton", 0),
        ("esme_addr_npi", 0),
        ("esme_addr", 65),
    ),
}
_WITH_SHORT_MESSAGE = frozenset({Command.SUBMIT_SM, Command.DELIVER_SM, Command.SUBMIT_MULTI, Command.REPLACE_SM})
SM_FIELDS = tuple(name for name, _ in _SM_LAYOUT)
DATA_FIELDS = tuple(name for name, _ in _DATA_LAYOUT)
_SM_STRINGS = frozenset(name for name, max_length in _SM_LAYOUT if max_length)
MAX_SHORT_ADDRESS = 20  # characters of an address in any PDU but data_sm and alert_notification
MAX_BODY_BYTES, MAX_TLV_BYTES = 64 * 1024, 8 * 1024  # maximum bytes of a message body, and of its optional parameters


class FramingError(Exception):
    """The command_length is invalid, so the start of the next PDU in the stream is unknown."""


class MalformedPduError(Exception):
    """A PDU with a complete header, but an unknown command or an invalid body; ``status`` goes into the response."""

    def __init__(self, text: str, command: int, sequence: int, status: Status) -> None:
        super().__init__(text)
        self.command, self.sequence, self.status = command, sequence, status


@dataclass(frozen=True, slots=True)
class Destination:
    """One destination of a submit_multi: an address, or the name of a distribution list."""

    addr: str
    ton: int = 0
    npi: int = 0
    is_list: bool = False


@dataclass(frozen=True, slots=True)
class Unsuccess:
    """A destination of a submit_multi that was not accepted, with the reason as a command_status."""

    addr: str
    ton: int = 0
    npi: int = 0
    status: int = Status.ESME_RSUBMITFAIL


@dataclass(slots=True)
class Pdu:
    """One PDU. Absent integer fields count as 0, absent strings as empty."""

    command: Command
    sequence: int = 0
    status: int = 0
    fields: dict[str, Any] = field(default_factory=dict)
    message: bytes = b""  # short_message
    tlvs: list[tuple[int, bytes]] = field(default_factory=list)
    dests: list[Destination] = field(default_factory=list)  # of a submit_multi
    unsuccess: list[Unsuccess] = field(default_factory=list)  # of a submit_multi_resp

    def text(self, name: str) -> str:
        """The value of a C-octet string field; empty if absent."""
        return str(self.fields.get(name, ""))

    def number(self, name: str) -> int:
        """The value of an integer field; 0 if absent."""
        return int(self.fields.get(name, 0))

    def tlv(self, tag: int) -> bytes | None:
        """The value of the first optional parameter with this tag; None if there is none."""
        return next((value for known, value in self.tlvs if known == tag), None)

    def reply(self, status: int = 0, **fields: Any) -> Pdu:
        """The response to this request; raises ``ValueError`` for one that has none."""
        return Pdu(Command(self.command | RESPONSE), self.sequence, status, fields)


def stored_fields(pdu: Pdu) -> dict[str, Any]:
    """The submit_sm fields of a received PDU; stored with its message for the delivery attempts."""
    return {name: pdu.fields.get(name, "" if name in _SM_STRINGS else 0) for name in SM_FIELDS}


def _c_octet(name: str, value: str, max_length: int) -> bytes:
    text = value.encode("latin-1")
    if len(text) >= max_length or b"\0" in text:
        raise ValueError(f"{name} is too long or contains a zero byte")
    return text + b"\0"


def encode(pdu: Pdu) -> bytes:
    """The PDU as bytes; raises ``ValueError`` if a field is too long or cannot be encoded.

    A response with an error status is encoded without its fields and parameters.
    """
    parts = []
    without_body = pdu.command & RESPONSE and pdu.status  # a response with an error status has no body
    for name, max_length in () if without_body else FIELDS.get(pdu.command, ()):
        if max_length == _DESTINATION_LIST:
            if not 0 < len(pdu.dests) <= MAX_DESTINATIONS:
                raise ValueError(f"{len(pdu.dests)} destinations, allowed are 1 to 254")
            parts.append(bytes([len(pdu.dests)]))
            for dest in pdu.dests:
                parts.append(b"\2" if dest.is_list else bytes([1, dest.ton, dest.npi]))
                parts.append(_c_octet(name, dest.addr, 21))
        elif max_length == _UNSUCCESS_LIST:
            parts.append(bytes([len(pdu.unsuccess)]))
            for rejected in pdu.unsuccess:
                parts.append(bytes([rejected.ton, rejected.npi]) + _c_octet(name, rejected.addr, 21))
                parts.append(rejected.status.to_bytes(4, "big"))
        elif not max_length:
            parts.append(bytes([pdu.number(name)]))
        else:
            parts.append(_c_octet(name, pdu.text(name), max_length))
    if pdu.command in _WITH_SHORT_MESSAGE:
        if len(pdu.message) > 254:
            raise ValueError("short_message is longer than 254 bytes")
        parts.append(bytes([len(pdu.message)]) + pdu.message)
    for tag, value in () if without_body else pdu.tlvs:
        if len(value) > 0xFFFF:
            raise ValueError(f"optional parameter {tag:#06x} is longer than 65535 bytes")
        parts.append(struct.pack(">HH", tag, len(value)) + value)
    body = b"".join(parts)
    return HEADER.pack(HEADER.size + len(body), pdu.command, pdu.status, pdu.sequence) + body


def complete_length(data: memoryview | bytearray) -> int:
    """The length of the PDU at the start of the data, or 0 while the data does not hold all of it.

    Raises ``FramingError`` if its command_length is invalid.
    """
    if len(data) < 4:
        return 0
    size = announced_length(data)
    return size if len(data) >= size else 0


def announced_length(data: memoryview | bytearray) -> int:
    """The command_length of the PDU at the start of the data, of which 4 bytes have come.

    Raises ``FramingError`` if it is invalid.
    """
    size = int.from_bytes(data[:4], "big")
    if not HEADER.size <= size <= MAX_PDU_BYTES:
        raise FramingError(f"invalid command_length {size}")
    return size


def decode(data: bytes) -> Pdu:
    """Decode one complete PDU; raises ``MalformedPduError`` if it is malformed.

    A response that consists of its header only is valid, whatever its status.
    """
    size, command, status, sequence = HEADER.unpack_from(data)
    try:
        known = Command(command)
    except ValueError:
        raise MalformedPduError("unknown command_id", command, sequence, Status.ESME_RINVCMDID) from None
    pdu, offset = Pdu(known, sequence, status), HEADER.size
    if offset == size and (command & RESPONSE):
        return pdu  # an error response, or a response without a body

    def malformed(text: str, status: Status = Status.ESME_RINVPARLEN) -> MalformedPduError:
        return MalformedPduError(text, command, sequence, status)

    def integer(name: str, width: int = 1) -> int:
        nonlocal offset
        if offset + width > size:
            raise malformed(f"{name} is missing")
        offset += width
        return int.from_bytes(data[offset - width : offset], "big")

    def text(name: str, max_length: int) -> str:
        nonlocal offset
        end = data.find(b"\0", offset, offset + max_length)
        if end < 0:
            raise malformed(f"{name} has no terminating zero within its maximum length")
        begin, offset = offset, end + 1
        return data[begin:end].decode("latin-1")

    for name, max_length in FIELDS.get(known, ()):
        if max_length == _DESTINATION_LIST:
            for _ in range(integer(name)):
                flag = integer("dest_flag")
                if flag not in (1, 2):
                    raise malformed(f"invalid dest_flag {flag}", Status.ESME_RINVDESTFLAG)
                ton, npi = (integer("dest_addr_ton"), integer("dest_addr_npi")) if flag == 1 else (0, 0)
                pdu.dests.append(Destination(text("destination_addr", 21), ton, npi, flag == 2))
            if not 0 < len(pdu.dests) <= MAX_DESTINATIONS:
                raise malformed(f"{len(pdu.dests)} destinations, allowed are 1 to 254", Status.ESME_RINVNUMDESTS)
        elif max_length == _UNSUCCESS_LIST:
            for _ in range(integer(name)):
                ton, npi = integer("dest_addr_ton"), integer("dest_addr_npi")
                pdu.unsuccess.append(Unsuccess(text("destination_addr", 21), ton, npi, integer("status", 4)))
        else:
            pdu.fields[name] = text(name, max_length) if max_length else integer(name)
    if known in _WITH_SHORT_MESSAGE:
        if offset >= size or offset + 1 + data[offset] > size:
            raise malformed("short_message is truncated", Status.ESME_RINVMSGLEN)
        pdu.message, offset = data[offset + 1 : offset + 1 + data[offset]], offset + 1 + data[offset]
    while offset < size:
        if offset + 4 > size:
            raise malformed("optional parameters are truncated", Status.ESME_RINVOPTPARSTREAM)
        tag, length = struct.unpack_from(">HH", data, offset)
        if offset + 4 + length > size:
            raise malformed("optional parameter is truncated", Status.ESME_RINVOPTPARSTREAM)
        pdu.tlvs.append((tag, data[offset + 4 : offset + 4 + length]))
        offset += 4 + length
    return pdu
