"""SMPP 3.4 PDUs: bytes to fields and back. Decides nothing, opens nothing."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

HEADER = struct.Struct(">IIII")
MOST_PDU = 70 * 1024  # a message_payload of 64 KiB and what goes with it; fits one buffer
RESPONSE = 0x80000000


class Command(IntEnum):
    """The operations served."""

    GENERIC_NACK = 0x80000000
    BIND_RECEIVER = 0x00000001
    BIND_RECEIVER_RESP = 0x80000001
    BIND_TRANSMITTER = 0x00000002
    BIND_TRANSMITTER_RESP = 0x80000002
    SUBMIT_SM = 0x00000004
    SUBMIT_SM_RESP = 0x80000004
    DELIVER_SM = 0x00000005
    DELIVER_SM_RESP = 0x80000005
    UNBIND = 0x00000006
    UNBIND_RESP = 0x80000006
    BIND_TRANSCEIVER = 0x00000009
    BIND_TRANSCEIVER_RESP = 0x80000009
    OUTBIND = 0x0000000B
    ENQUIRE_LINK = 0x00000015
    ENQUIRE_LINK_RESP = 0x80000015


class Status(IntEnum):
    """The command_status values that are used here."""

    ESME_ROK = 0x00
    ESME_RINVMSGLEN = 0x01
    ESME_RINVCMDLEN = 0x02
    ESME_RINVCMDID = 0x03
    ESME_RINVBNDSTS = 0x04
    ESME_RALYBND = 0x05
    ESME_RSYSERR = 0x08
    ESME_RINVDSTADR = 0x0B
    ESME_RBINDFAIL = 0x0D
    ESME_RINVPASWD = 0x0E
    ESME_RINVSYSID = 0x0F
    ESME_RMSGQFUL = 0x14
    ESME_RINVSERTYP = 0x15
    ESME_RSUBMITFAIL = 0x45
    ESME_RTHROTTLED = 0x58
    ESME_RINVSCHED = 0x61
    ESME_RINVEXPIRY = 0x62
    ESME_RINVOPTPARSTREAM = 0xC0
    ESME_ROPTPARNOTALLWD = 0xC1
    ESME_RINVPARLEN = 0xC2


RECEIPTED_MESSAGE_ID, MESSAGE_STATE, MESSAGE_PAYLOAD = 0x001E, 0x0427, 0x0424
SC_INTERFACE_VERSION = 0x0210
RETRY_AFTER_MS = 0x1401  # in the range for vendors: when a returned message may be handed in again

# A number: the most bytes of a C-octet string, its end included. 0: an integer of one byte.
_BIND = (("system_id", 16), ("password", 9), ("system_type", 13), ("interface_version", 0), ("addr_ton", 0),
         ("addr_npi", 0), ("address_range", 41))
_BIND_RESP = (("system_id", 16),)
_SM = (("service_type", 6), ("source_addr_ton", 0), ("source_addr_npi", 0), ("source_addr", 21),
       ("dest_addr_ton", 0), ("dest_addr_npi", 0), ("destination_addr", 21), ("esm_class", 0),
       ("protocol_id", 0), ("priority_flag", 0), ("schedule_delivery_time", 17), ("validity_period", 17),
       ("registered_delivery", 0), ("replace_if_present_flag", 0), ("data_coding", 0),
       ("sm_default_msg_id", 0))
_FIELDS: dict[Command, tuple[tuple[str, int], ...]] = {
    Command.BIND_RECEIVER: _BIND, Command.BIND_TRANSMITTER: _BIND, Command.BIND_TRANSCEIVER: _BIND,
    Command.BIND_RECEIVER_RESP: _BIND_RESP, Command.BIND_TRANSMITTER_RESP: _BIND_RESP,
    Command.BIND_TRANSCEIVER_RESP: _BIND_RESP, Command.OUTBIND: _BIND[:2],
    Command.SUBMIT_SM: _SM, Command.DELIVER_SM: _SM,
    Command.SUBMIT_SM_RESP: (("message_id", 65),), Command.DELIVER_SM_RESP: (("message_id", 65),),
}
SM_FIELDS = tuple(name for name, _ in _SM)


class BadLength(Exception):
    """The stream holds no PDU here; where the next one starts is not known."""


class BadPdu(Exception):
    """A PDU with a whole header and a body that will not do; ``status`` is what its sender is answered."""

    def __init__(self, text: str, command: int, sequence: int, status: Status) -> None:
        super().__init__(text)
        self.command, self.sequence, self.status = command, sequence, status


@dataclass(slots=True)
class Pdu:
    """One PDU. Integer fields that are absent count as 0, strings as empty."""

    command: Command
    sequence: int = 0
    status: int = 0
    fields: dict[str, Any] = field(default_factory=dict)
    message: bytes = b""  # short_message
    tlvs: list[tuple[int, bytes]] = field(default_factory=list)

    def text(self, name: str) -> str:
        """A C-octet string."""
        return str(self.fields.get(name, ""))

    def number(self, name: str) -> int:
        """An integer."""
        return int(self.fields.get(name, 0))

    def tlv(self, tag: int) -> bytes | None:
        """The first optional parameter with this tag."""
        return next((value for known, value in self.tlvs if known == tag), None)

    def reply(self, status: int = 0, **fields: Any) -> Pdu:
        """The response to this request."""
        return Pdu(Command(self.command | RESPONSE), self.sequence, status, fields)


def encode(pdu: Pdu) -> bytes:
    """The PDU's bytes. ``ValueError`` where a field is too long."""
    parts = []
    bare = pdu.command & RESPONSE and pdu.status  # the body is not returned with an error
    for name, most in () if bare else _FIELDS.get(pdu.command, ()):
        if not most:
            parts.append(bytes([pdu.number(name)]))
            continue
        text = pdu.text(name).encode("latin-1")
        if len(text) >= most or b"\0" in text:
            raise ValueError(f"{name} is too long or holds a zero byte")
        parts.append(text + b"\0")
    if pdu.command in (Command.SUBMIT_SM, Command.DELIVER_SM):
        if len(pdu.message) > 254:
            raise ValueError("short_message is too long")
        parts.append(bytes([len(pdu.message)]) + pdu.message)
    for tag, value in () if bare else pdu.tlvs:
        if len(value) > 0xFFFF:
            raise ValueError(f"optional parameter {tag:#06x} is too long")
        parts.append(struct.pack(">HH", tag, len(value)) + value)
    body = b"".join(parts)
    return HEADER.pack(HEADER.size + len(body), pdu.command, pdu.status, pdu.sequence) + body


def whole(data: memoryview | bytearray) -> int:
    """The size of the PDU at the start of the data, or 0 while it is not all there."""
    if len(data) < 4:
        return 0
    size = int.from_bytes(data[:4], "big")
    if not HEADER.size <= size <= MOST_PDU:
        raise BadLength(f"command_length {size}")
    return size if len(data) >= size else 0


def decode(data: bytes) -> Pdu:
    """One whole PDU."""
    size, command, status, sequence = HEADER.unpack_from(data)
    try:
        known = Command(command)
    except ValueError:
        raise BadPdu("unknown command", command, sequence, Status.ESME_RINVCMDID) from None
    pdu, at = Pdu(known, sequence, status), HEADER.size
    if at == size and (command & RESPONSE):
        return pdu  # an error's response, or one without a body

    def bad(text: str, status: Status = Status.ESME_RINVPARLEN) -> BadPdu:
        return BadPdu(text, command, sequence, status)

    for name, most in _FIELDS.get(known, ()):
        if not most:
            if at >= size:
                raise bad(f"{name} is missing")
            pdu.fields[name], at = data[at], at + 1
            continue
        end = data.find(b"\0", at, at + most)
        if end < 0:
            raise bad(f"{name} has no end")
        pdu.fields[name], at = data[at:end].decode("latin-1"), end + 1
    if known in (Command.SUBMIT_SM, Command.DELIVER_SM):
        if at >= size or at + 1 + data[at] > size:
            raise bad("short_message is cut short", Status.ESME_RINVMSGLEN)
        pdu.message, at = data[at + 1 : at + 1 + data[at]], at + 1 + data[at]
    while at < size:
        if at + 4 > size:
            raise bad("optional parameters are cut short", Status.ESME_RINVOPTPARSTREAM)
        tag, length = struct.unpack_from(">HH", data, at)
        if at + 4 + length > size:
            raise bad("optional parameter is cut short", Status.ESME_RINVOPTPARSTREAM)
        pdu.tlvs.append((tag, data[at + 4 : at + 4 + length]))
        at += 4 + length
    return pdu
