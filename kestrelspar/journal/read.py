"""Read-only decoding of a journal for operators: the history of each message, and damaged records. No I/O.

The store keeps only what the courier needs. This module reports what it finds in the file, including ended messages
and attempts that never ran until compaction removes their records, the time of each attempt, and the offsets of damaged
records. Outages are counted, but not decoded. Times are Unix microseconds.
"""

from __future__ import annotations

import struct
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import ujson

from kestrelspar.journal import records
from kestrelspar.journal.records import (
    ATTEMPT,
    AWAITS,
    BOOT,
    CLOCK,
    DONE,
    ENDED,
    LIMIT,
    NOT_RUN,
    OUTAGE,
    TAKEN,
    VERDICT,
)

KINDS = {
    BOOT: "boot",
    CLOCK: "clock",
    TAKEN: "taken",
    ATTEMPT: "attempt",
    NOT_RUN: "not-run",
    VERDICT: "verdict",
    DONE: "done",
    ENDED: "ended",
    AWAITS: "awaits",
    LIMIT: "limit",
    OUTAGE: "outage",
}


@dataclass(slots=True)
class Attempt:
    """One delivery attempt; ``ran`` is false if its outcome proved that it never ran."""

    index: int
    at: int | None  # time; None if the journal has only its NOT_RUN record
    ran: bool = True


@dataclass(slots=True)
class History:
    """What the records of one message say."""

    number: int
    fields: dict[str, Any]  # JSON object of the TAKEN record
    body: bytes
    deadline: int
    attempts: dict[int, Attempt] = field(default_factory=dict)
    awaits: dict[str, Any] | None = None
    end: str = ""  # final state; empty: not decided
    after_ms: int = 0  # retry-after delay of a returned message, in milliseconds
    done: bool = False  # no further report is needed (DONE record)
    replaced: int = 0  # number of times that its content was replaced before its first attempt

    @property
    def trace(self) -> str:
        """The message id given by the sender side."""
        return str(self.fields.get("trace", ""))

    @property
    def state(self) -> str:
        """The state for reports: open, may-have-run, accepted, the final state, or ended if that is unknown."""
        if self.done or self.end:
            return self.end or "ended"
        if self.awaits is not None:
            return "accepted"
        return "may-have-run" if any(a.ran for a in self.attempts.values()) else "open"


@dataclass(frozen=True, slots=True)
class Fault:
    """Damaged bytes, or a record of invalid payload, of unknown kind, or of a message without a TAKEN record."""

    at: int  # offset in the file
    description: str


@dataclass(slots=True)
class JournalContent:
    """The decoded content of a journal."""

    size: int  # bytes of the file
    histories: dict[int, History] = field(default_factory=dict)
    ended: dict[str, tuple[int, str]] = field(default_factory=dict)  # retained on ended messages, by name: expiry, text
    # By endpoint: last reported limit in calls per second, even if it has expired.
    limits: dict[bytes, float] = field(default_factory=dict)
    kinds: Counter[str] = field(default_factory=Counter)  # number of records, by kind
    bytes: Counter[str] = field(default_factory=Counter)  # bytes of records, by kind
    faults: list[Fault] = field(default_factory=list)
    torn: int = 0  # bytes after the last record, of a write that was interrupted or is in progress

    @property
    def open(self) -> list[History]:
        """Messages that still need a report of their final state."""
        return [history for history in self.histories.values() if not history.done]


def read(data: bytes) -> JournalContent:
    """Decode all records. Damaged ones are skipped and listed as faults; bytes after the last record count as torn."""
    content, at, offset = JournalContent(len(data)), 0, 0
    for scanned in records.scan(data):
        at = scanned.end
        if scanned.fault:
            content.faults.append(Fault(scanned.at, scanned.fault))
            continue
        try:
            offset = _apply(content, scanned.kind, scanned.number, scanned.payload, offset)
            content.kinds[KINDS[scanned.kind]] += 1
            content.bytes[KINDS[scanned.kind]] += scanned.end - scanned.at
        except (ValueError, struct.error, KeyError) as error:
            kind_name = KINDS.get(scanned.kind, f"unknown kind {scanned.kind}")
            content.faults.append(
                Fault(scanned.at, f"{kind_name} of number {scanned.number} is invalid: {error!r:.80}")
            )
    content.torn = len(data) - at
    return content


def _apply(content: JournalContent, kind: int, number: int, payload: bytes, offset: int) -> int:
    """Apply one record; returns the offset from the writer's clock to Unix time, for the records that follow."""
    if kind == CLOCK:
        return int(struct.unpack("<q", payload)[0])
    if kind == ENDED:
        until, size = struct.unpack_from("<qI", payload)
        content.ended[payload[12 : 12 + size].decode()] = until, payload[12 + size :].decode()
        return offset
    if kind in (OUTAGE, BOOT):
        return offset
    if kind == LIMIT:
        content.limits[payload[records.LIMIT_FIELDS.size :]] = records.LIMIT_FIELDS.unpack_from(payload)[1]
        return offset
    if kind == TAKEN:
        deadline, size = struct.unpack_from("<qI", payload)
        fields = ujson.loads(payload[12 : 12 + size])
        before = content.histories.get(number)
        content.histories[number] = History(number, fields, payload[12 + size :], deadline + offset)
        if before is not None:
            content.histories[number].replaced = before.replaced + 1
        return offset
    history = content.histories[number]
    if kind == DONE:
        history.done = True
    elif kind == AWAITS:
        history.awaits = ujson.loads(payload)
    elif kind == VERDICT:
        history.after_ms, history.end = struct.unpack_from("<I", payload)[0], payload[4:].decode()
    elif kind in (ATTEMPT, NOT_RUN):
        index, sent = records.ATTEMPT_FIELDS.unpack(payload)
        if kind == ATTEMPT:
            history.attempts[index] = Attempt(index, sent + offset)
        else:
            history.attempts.setdefault(index, Attempt(index, None)).ran = False
    else:
        raise ValueError("unknown kind")
    return offset


def row(history: History, with_body: bool = False) -> dict[str, Any]:
    """A message as a JSON object, for audits; fields without a value are omitted."""
    fields = history.fields
    result: dict[str, Any] = {
        "number": history.number,
        "trace": history.trace,
        "class": fields.get("class"),
        "tenant": fields.get("tenant"),
        "dest": fields.get("dest"),
        "sender": fields.get("sender"),
        "key": fields.get("key") or None,
        "state": history.state,
        "over": history.done,
        "deadline": history.deadline,
        "bytes": len(history.body),
        "attempts": [{"n": a.index, "at": a.at, "ran": a.ran} for a in history.attempts.values()],
        "after_ms": history.after_ms or None,
        "awaits": history.awaits,
        "replaced": history.replaced or None,
    }
    if with_body:
        result["body"] = history.body.decode("latin-1")
    return {name: value for name, value in result.items() if value is not None}
