"""Concatenated messages: identifies, reassembles and produces parts. No I/O.

A part carries a reference, the number of parts, and its own position: in a user data header (3GPP TS 23.040,
9.2.3.24: information elements 0x00 with an 8-bit reference and 0x08 with a 16-bit one) or in the three SAR parameters
of SMPP 3.4 (5.3.2.22 to 24). Parts belong to one message if they have the same kind of reference, reference, number of
parts, account, source and destination address, service type, coding and destination. They may arrive in any order, and
more than once. If a message is still incomplete at its time-out, or shortly before the deadline of one of its parts,
each of its parts gets a final state of its own. The number of incomplete messages and the bytes of each are bounded;
parts beyond these limits are deferred.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Pdu, Status

UDHI = 0x40  # flag in esm_class: the text begins with a user data header
CONCAT_8, CONCAT_16 = 0x00, 0x08  # information elements with an 8-bit and a 16-bit reference
MAX_INCOMPLETE_MESSAGES = 500
MAX_MESSAGE_BYTES = 64 * 1024  # of a reassembled message
SAR = (p.SAR_MSG_REF_NUM, p.SAR_TOTAL_SEGMENTS, p.SAR_SEGMENT_SEQNUM)
SAR_LENGTHS = {p.SAR_MSG_REF_NUM: 2, p.SAR_TOTAL_SEGMENTS: 1, p.SAR_SEGMENT_SEQNUM: 1}


class InvalidPartError(ValueError):
    """A part is malformed; ``status`` is the command_status of the response."""

    def __init__(self, text: str, status: Status) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Part:
    """The position of a part in its message, and the reference that identifies the message."""

    how: str  # "udh8", "udh16" or "sar"; references of different kinds are unrelated
    ref: int
    total: int
    place: int  # position, from 1


def split_header(text: bytes) -> tuple[dict[int, bytes], bytes]:
    """Split a text into the elements of its user data header, by identifier, and the text after the header.

    Of several elements with the same identifier the last one counts. Raises ``InvalidPartError`` if the header, or an
    element of it, is truncated.
    """
    if not text or 1 + text[0] > len(text):
        raise InvalidPartError(f"user data header truncated at {len(text)} bytes", Status.ESME_RINVESMCLASS)
    raw, elements, at = text[1 : 1 + text[0]], {}, 0
    while at < len(raw):
        if at + 2 > len(raw) or at + 2 + raw[at + 1] > len(raw):
            raise InvalidPartError(
                f"element at offset {at} of the user data header is truncated", Status.ESME_RINVESMCLASS
            )
        elements[raw[at]] = raw[at + 2 : at + 2 + raw[at + 1]]
        at += 2 + raw[at + 1]
    return elements, text[1 + text[0] :]


def identify_part(pdu: Pdu, text: bytes) -> tuple[Part | None, bytes]:
    """Which part a submit_sm or data_sm is, and its text without the user data header.

    Returns (None, ``text``), with any header, if it is no part. A header with elements other than the reference, such
    as ports, is meant for the handset: such a message counts as no part, as reassembly would lose these elements.
    Raises ``InvalidPartError`` if the header or the SAR parameters are malformed or incomplete.
    """
    if pdu.number("esm_class") & UDHI:
        elements, rest = split_header(text)
        wide = CONCAT_16 in elements
        reference = elements.get(CONCAT_16 if wide else CONCAT_8)
        if reference is None or len(elements) > 1:
            return None, text
        if len(reference) != (4 if wide else 3):
            raise InvalidPartError(f"concatenation element has {len(reference)} bytes", Status.ESME_RINVESMCLASS)
        part = Part("udh16" if wide else "udh8", int.from_bytes(reference[:-2], "big"), reference[-2], reference[-1])
        return _validated(part, Status.ESME_RINVESMCLASS), rest
    sar = {tag: pdu.tlv(tag) for tag in SAR}
    if all(value is None for value in sar.values()):
        return None, text
    numbers = []
    for tag, value in sar.items():
        if value is None:
            raise InvalidPartError(f"SAR parameter {tag:#06x} is missing", Status.ESME_RMISSINGOPTPARAM)
        if len(value) != SAR_LENGTHS[tag]:
            raise InvalidPartError(f"SAR parameter {tag:#06x} has {len(value)} bytes", Status.ESME_RINVOPTPARAMVAL)
        numbers.append(int.from_bytes(value, "big"))
    return _validated(Part("sar", *numbers), Status.ESME_RINVOPTPARAMVAL), text


def _validated(part: Part, status: Status) -> Part:
    if not 0 < part.place <= part.total:
        raise InvalidPartError(f"invalid part number: {part.place} of {part.total}", status)
    return part


class PartDisposition(Enum):
    """What happens to a part."""

    HELD = "held"
    WHOLE = "completes its message"
    REPEATED = "has the reference and the position of a held part"
    NO_ROOM = "too many incomplete messages or bytes"


Key = tuple[object, ...]


@dataclass(slots=True)
class IncompleteMessage:
    """The parts of a message that have arrived."""

    total: int  # number of parts
    expires_at: int
    parts: dict[int, tuple[int, int]] = field(default_factory=dict)  # by position: message number, and size in bytes

    @property
    def numbers(self) -> list[int]:
        """The message numbers of the parts, in the order of their positions."""
        return [self.parts[place][0] for place in sorted(self.parts)]


class Reassembler:
    """Records which parts of incomplete messages have arrived; the caller holds the parts. Times in microseconds."""

    def __init__(self, timeout: int) -> None:
        self._timeout = timeout
        self._incomplete: dict[Key, IncompleteMessage] = {}

    def classify(self, key: Key, part: Part, size: int) -> tuple[PartDisposition, int]:
        """What would happen to a part, and the message number of the held part in its place, or 0.

        Changes nothing, so that it can be called before the part is journalled. The first part of a message that
        arrives counts as HELD even if it is the only one.
        """
        incomplete = self._incomplete.get((*key, part.how, part.ref, part.total))
        if incomplete is None:
            return (
                PartDisposition.NO_ROOM
                if len(self._incomplete) >= MAX_INCOMPLETE_MESSAGES or size > MAX_MESSAGE_BYTES
                else PartDisposition.HELD
            ), 0
        if part.place in incomplete.parts:
            return PartDisposition.REPEATED, incomplete.parts[part.place][0]
        if size + sum(held for _, held in incomplete.parts.values()) > MAX_MESSAGE_BYTES:
            return PartDisposition.NO_ROOM, 0
        return (PartDisposition.WHOLE if len(incomplete.parts) + 1 == incomplete.total else PartDisposition.HELD), 0

    def add(self, now: int, key: Key, part: Part, number: int, size: int, deadline: int) -> IncompleteMessage | None:
        """Record a held part. If it completes its message, the message is removed and returned; else returns None.

        The limits are not checked: see ``classify``. A message expires no later than the earliest ``deadline`` of its
        parts, as each of them needs its final state by then.
        """
        message_key = (*key, part.how, part.ref, part.total)
        incomplete = self._incomplete.setdefault(message_key, IncompleteMessage(part.total, now + self._timeout))
        incomplete.expires_at = min(incomplete.expires_at, deadline)
        incomplete.parts[part.place] = number, size
        return self._incomplete.pop(message_key) if len(incomplete.parts) == incomplete.total else None

    def pop(self, key: Key, part: Part) -> IncompleteMessage:
        """Remove and return the incomplete message that a part belongs to by its reference; ``KeyError`` if none."""
        return self._incomplete.pop((*key, part.how, part.ref, part.total))

    def pop_expired(self, now: int) -> Iterator[IncompleteMessage]:
        """Remove and yield the messages that have expired."""
        for key in [key for key, incomplete in self._incomplete.items() if incomplete.expires_at <= now]:
            yield self._incomplete.pop(key)

    @property
    def next_expiry(self) -> int | None:
        """The earliest expiry time; None if there is no incomplete message."""
        return min((incomplete.expires_at for incomplete in self._incomplete.values()), default=None)


# Splitting of texts for gateways. Sizes after 3GPP TS 23.040: 140 octets on the air interface, or 160 characters of 7
# bits; a header of 6 octets leaves 134 octets or 153 characters, one of 7 octets leaves 133 or 152. With SAR the
# gateway chooses the header, so the smaller sizes apply, 133 octets being rounded down to whole UCS-2 characters.

GSM, IA5, LATIN_1, BINARY, UCS_2 = 0, 1, 3, 4, 8  # data_coding
ESCAPE = 0x1B  # the next character is from the GSM extension table
MAX_PARTS = 255  # the number of parts is one octet


def part_capacity(coding: int, text: bytes, how: str = "") -> int:
    """How many octets of text fit into one PDU: of an unsplit text (empty ``how``), or of a part by "udh" or "sar".

    Text in GSM or IA5 without octets above 0x7F takes 7 bits on the air for each octet here, other text 8 bits.
    """
    seven_bit = coding in (GSM, IA5) and not any(octet > 0x7F for octet in text)
    return {"": (140, 160), "udh": (134, 153), "sar": (132, 152)}[how][seven_bit]


def split(text: bytes, coding: int, how: str) -> list[bytes]:
    """Split a text into as few parts as possible; one that fits into a PDU is returned whole.

    UCS-2 text is never split inside a character or a surrogate pair, and 7-bit GSM text never inside an escape
    sequence. Raises ``ValueError`` if that takes more than 255 parts.
    """
    if len(text) <= part_capacity(coding, text):
        return [text]
    max_length, pieces, at = part_capacity(coding, text, how), [], 0
    while at < len(text):
        end = min(len(text), at + max_length)
        if end < len(text):
            if coding == UCS_2:
                end -= (end - at) % 2
                if 0xD8 <= text[end - 2] <= 0xDB:  # high surrogate
                    end -= 2
            # Parts have more than 140 octets only if the text takes 7 bits for each.
            elif coding == GSM and max_length > 140 and _ends_in_escape(text, at, end):
                end -= 1
        pieces.append(text[at:end])
        at = end
    if len(pieces) > MAX_PARTS:
        raise ValueError(f"text needs {len(pieces)} parts, at most {MAX_PARTS} are possible")
    return pieces


def _ends_in_escape(text: bytes, begin: int, end: int) -> bool:
    """Whether the last character before ``end`` is an escape that is not itself escaped."""
    count = 0
    while end - 1 - count >= begin and text[end - 1 - count] == ESCAPE:
        count += 1
    return count % 2 == 1


def mark_part(text: bytes, how: str, ref: int, total: int, place: int) -> tuple[bytes, list[tuple[int, bytes]]]:
    """Mark a part with its position; returns its text, with a user data header in front, and its SAR parameters.

    It gets the header if ``how`` is "udh", else the parameters. The reference is cut to 8 or 16 bits.
    """
    if how == "udh":
        return bytes([5, CONCAT_8, 3, ref % 256, total, place]) + text, []
    return text, [
        (p.SAR_MSG_REF_NUM, (ref % 65536).to_bytes(2, "big")),
        (p.SAR_TOTAL_SEGMENTS, bytes([total])),
        (p.SAR_SEGMENT_SEQNUM, bytes([place])),
    ]
