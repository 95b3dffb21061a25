"""A small SMPP 3.4 gateway and client for the cases of the second review; they use the standard library only."""

from __future__ import annotations

import asyncio
import struct
import time
from collections import Counter

from rig2 import Record, free_address, split

SUBMIT_SM, UNBIND, SUBMIT_MULTI, ENQUIRE_LINK, DELIVER_SM = 0x4, 0x6, 0x21, 0x15, 0x5
BINDS = (0x1, 0x2, 0x9)  # receiver, transmitter, transceiver
RESPONSE = 0x80000000
UDHI = 0x40
MESSAGE_PAYLOAD = 0x0424


def pdu(command: int, sequence: int, body: bytes = b"", status: int = 0) -> bytes:
    """One PDU."""
    return struct.pack(">IIII", 16 + len(body), command, status, sequence) + body


async def read_pdu(reader: asyncio.StreamReader) -> tuple[int, int, int, bytes]:
    """Read one PDU: command_id, command_status, sequence_number, body."""
    size, command, status, sequence = struct.unpack(">IIII", await reader.readexactly(16))
    return command, status, sequence, await reader.readexactly(size - 16)


def submitted_text(body: bytes) -> tuple[int, bytes]:
    """The esm_class and the text of a submit_sm, which may be in a message_payload."""
    at = body.index(b"\0") + 1  # service_type
    at = body.index(b"\0", at + 2) + 1  # source: ton, npi, address
    at = body.index(b"\0", at + 2) + 1  # destination
    esm_class = body[at]
    at = body.index(b"\0", at + 3) + 1  # protocol_id, priority_flag, schedule_delivery_time
    at = body.index(b"\0", at) + 1  # validity_period
    length = body[at + 4]  # after registered_delivery, replace_if_present_flag, data_coding, sm_default_msg_id
    text, at = body[at + 5 : at + 5 + length], at + 5 + length
    while at + 4 <= len(body):
        tag, size = struct.unpack_from(">HH", body, at)
        if tag == MESSAGE_PAYLOAD:
            text = body[at + 4 : at + 4 + size]
        at += 4 + size
    return esm_class, text


class Gateway:
    """An SMPP gateway that runs each submit_sm when it has come, and answers it after ``answer_after`` seconds."""

    def __init__(self, record: Record, answer_after: float) -> None:
        self.record, self.address, self.answer_after = record, free_address(), answer_after
        self.texts: list[tuple[float, bytes]] = []
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, *split(self.address))

    def runs(self, word: bytes) -> int:
        """How often a text with this word has run."""
        return Counter(word in text for _, text in self.texts)[True]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                command, _, sequence, body = await read_pdu(reader)
                if command in BINDS:
                    writer.write(pdu(command | RESPONSE, sequence, b"gateway\0"))
                elif command in (ENQUIRE_LINK, UNBIND):
                    writer.write(pdu(command | RESPONSE, sequence))
                elif command == SUBMIT_SM:
                    esm_class, text = submitted_text(body)
                    self.texts.append((time.monotonic(), text))
                    self.record(f"gateway: runs submit_sm {text!r}, esm_class {esm_class:#x}")
                    task = asyncio.create_task(self._answer(writer, sequence))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, sequence: int) -> None:
        await asyncio.sleep(self.answer_after)
        self._count += 1
        if not writer.is_closing():
            writer.write(pdu(SUBMIT_SM | RESPONSE, sequence, b"g%d\0" % self._count))


class Contractor:
    """An SMPP client that binds as a transceiver and submits."""

    def __init__(self, record: Record, address: str) -> None:
        self.record, self._address = record, address
        self._sequence = 1
        self.receipts: list[bytes] = []

    async def bind(self, system_id: bytes, password: bytes) -> int:
        """Connect and bind; the status of the response."""
        self._reader, self._writer = await asyncio.open_connection(*split(self._address))
        self._writer.write(pdu(0x9, 1, system_id + b"\0" + password + b"\0\0\x34\0\0\0"))
        return (await read_pdu(self._reader))[1]

    async def submit_multi(self, service: bytes, to: bytes, text: bytes, esm_class: int) -> tuple[int, bytes]:
        """Submit a text to one destination by submit_multi: the status and the message_id."""
        self._sequence += 1
        body = service + b"\0" + b"\0\x001\0" + b"\1\1\0\0" + to + b"\0" + bytes([esm_class]) + b"\0\0\0\0\1\0\0\0"
        self._writer.write(pdu(SUBMIT_MULTI, self._sequence, body + bytes([len(text)]) + text))
        while True:
            command, status, sequence, answer = await asyncio.wait_for(read_pdu(self._reader), 2)
            if command == SUBMIT_MULTI | RESPONSE:
                message_id = answer.split(b"\0")[0]
                self.record(f"contractor: submit_multi {text!r} is answered {status:#x} {message_id.decode()}")
                return status, message_id
            if command == DELIVER_SM:
                self._writer.write(pdu(command | RESPONSE, sequence, b"\0"))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
