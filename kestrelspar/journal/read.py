"""A journal's bytes read for people: each message's history, and what is damaged. No I/O, and nothing is changed.

Unlike the store, which keeps what the courier needs, this keeps all that is written: messages that have ended as long as
their records are there, each attempt with its time, and where a record is damaged. Times are Unix microseconds here.
"""

from __future__ import annotations

import struct
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import ujson

from kestrelspar.journal import records
from kestrelspar.journal.records import ATTEMPT, AWAITS, CLOCK, DONE, ENDED, LIMIT, NOT_RUN, OUTAGE, TAKEN, VERDICT

KINDS = {
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
    """One delivery attempt; ``ran`` is false where its outcome proved that it never did."""

    which: int
    at: int | None  # nothing: only that it never ran is known
    ran: bool = True


@dataclass(slots=True)
class History:
    """All that is written of one message."""

    number: int
    told: dict[str, Any]  # its front's own object
    body: bytes
    deadline: int
    attempts: dict[int, Attempt] = field(default_factory=dict)
    awaits: dict[str, Any] | None = None
    end: str = ""
    after_ms: int = 0
    over: bool = False  # nothing is owed for it any more
    replaced: int = 0  # how often its text was changed before it was ever sent

    @property
    def trace(self) -> str:
        """The sender side's id for it."""
        return str(self.told.get("trace", ""))

    @property
    def state(self) -> str:
        """Where it stands, in a word."""
        if self.over or self.end:
            return self.end or "ended"
        if self.awaits is not None:
            return "accepted"
        return "may-have-run" if any(a.ran for a in self.attempts.values()) else "open"


@dataclass(frozen=True, slots=True)
class Fault:
    """Bytes that are no record, or a record that makes no sense."""

    at: int
    what: str


@dataclass(slots=True)
class Found:
    """What a journal's bytes hold."""

    size: int
    histories: dict[int, History] = field(default_factory=dict)
    ended: dict[str, tuple[int, str]] = field(default_factory=dict)  # kept ends, by name: until when, and what
    limits: dict[bytes, float] = field(default_factory=dict)  # by endpoint: calls a second that it told last
    kinds: Counter[str] = field(default_factory=Counter)  # records
    bytes: Counter[str] = field(default_factory=Counter)
    faults: list[Fault] = field(default_factory=list)
    torn: int = 0  # bytes at the end that are no whole record: a write that was cut short, or one under way

    @property
    def open(self) -> list[History]:
        """Messages whose end is still owed."""
        return [history for history in self.histories.values() if not history.over]


def read(data: bytes) -> Found:
    """All records. A damaged one is told and passed over; what follows the last whole one is told as torn."""
    found, at, offset = Found(len(data)), 0, 0
    for piece in records.scan(data):
        at = piece.end
        if piece.fault:
            found.faults.append(Fault(piece.at, piece.fault))
            continue
        try:
            offset = _take(found, piece.kind, piece.number, piece.payload, offset)
            found.kinds[KINDS[piece.kind]] += 1
            found.bytes[KINDS[piece.kind]] += piece.end - piece.at
        except (ValueError, struct.error, KeyError) as error:
            what = KINDS.get(piece.kind, f"unknown kind {piece.kind}")
            found.faults.append(Fault(piece.at, f"{what} of number {piece.number} makes no sense: {error!r:.80}"))
    found.torn = len(data) - at
    return found


def _take(found: Found, kind: int, number: int, payload: bytes, offset: int) -> int:
    """Take one record in; returns what to add to the times of those that follow."""
    if kind == CLOCK:
        return int(struct.unpack("<q", payload)[0])
    if kind == ENDED:
        until, size = struct.unpack_from("<qI", payload)
        found.ended[payload[12 : 12 + size].decode()] = until, payload[12 + size :].decode()
        return offset
    if kind == OUTAGE:
        return offset
    if kind == LIMIT:
        found.limits[payload[records.LIMIT_AT.size :]] = records.LIMIT_AT.unpack_from(payload)[1]
        return offset
    if kind == TAKEN:
        deadline, size = struct.unpack_from("<qI", payload)
        told = ujson.loads(payload[12 : 12 + size])
        before = found.histories.get(number)
        found.histories[number] = History(number, told, payload[12 + size :], deadline + offset)
        if before is not None:
            found.histories[number].replaced = before.replaced + 1
        return offset
    history = found.histories[number]
    if kind == DONE:
        history.over = True
    elif kind == AWAITS:
        history.awaits = ujson.loads(payload)
    elif kind == VERDICT:
        history.after_ms, history.end = struct.unpack_from("<I", payload)[0], payload[4:].decode()
    elif kind in (ATTEMPT, NOT_RUN):
        which, sent = records.ATTEMPT_AT.unpack(payload)
        if kind == ATTEMPT:
            history.attempts[which] = Attempt(which, sent + offset)
        else:
            history.attempts.setdefault(which, Attempt(which, None)).ran = False
    else:
        raise ValueError("unknown kind")
    return offset


def row(history: History, with_body: bool = False) -> dict[str, Any]:
    """A message as a JSON object: for audits."""
    told = history.told
    made: dict[str, Any] = {
        "number": history.number,
        "trace": history.trace,
        "class": told.get("class"),
        "tenant": told.get("tenant"),
        "dest": told.get("dest"),
        "sender": told.get("sender"),
        "key": told.get("key") or None,
        "state": history.state,
        "over": history.over,
        "deadline": history.deadline,
        "bytes": len(history.body),
        "attempts": [{"n": a.which, "at": a.at, "ran": a.ran} for a in history.attempts.values()],
        "after_ms": history.after_ms or None,
        "awaits": history.awaits,
        "replaced": history.replaced or None,
    }
    if with_body:
        made["body"] = history.body.decode("latin-1")
    return {name: value for name, value in made.items() if value is not None}
