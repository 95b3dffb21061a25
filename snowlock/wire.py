"""Binary codec of the simulator's protocol: decodes events and encodes actions."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Union

from snowlock import interface as api
from snowlock import settings

HEADER = struct.Struct("<IIQ")  # of a frame: size of its body in bytes, number of records, time in ns
REPLY = struct.Struct("<II")  # head of a reply: number of records, their size in bytes
# Records of both directions; ``encode`` and ``Decoder`` name their fields.
_OPEN = struct.Struct("<HQI")
_ARRIVAL = struct.Struct("<HQBIQQQfH")
_ATTEMPT_ENDED = struct.Struct("<HQH6sHQBIB")
_LIST = struct.Struct("<HI")
_ENTRY = struct.Struct("<6sHHHBfQ")
_LIST_CHANGE = struct.Struct("<HBQH")
_NUMBER = struct.Struct("<HQ")
_INSTANCE = struct.Struct("<H")
_SEND = struct.Struct("<BHQQ6s")
_TEXT = struct.Struct("<BHH")
_ID_AND_NUMBER = struct.Struct("<BHQQ")
_ID = struct.Struct("<BHQ")
_CLOSE_IDLE = struct.Struct("<BH6s")
_SUBSCRIBE = struct.Struct("<BHB")
MS = 1_000_000
MAX_TEXT_BYTES = 4000  # of a log line or of a fatal exception

# Codes of the records from the simulator.
_EVENT_TIMER_FIRED = 1
_EVENT_DATAGRAM = 2
_EVENT_ENDPOINT_LIST = 3
_EVENT_PROBE_RESULT = 4
_EVENT_LIST_CHANGE = 5
_EVENT_OPENED = 6
_EVENT_WITHDRAWN = 7
_EVENT_ATTEMPT_ENDED = 8
_EVENT_DETACHED = 9
_EVENT_ARRIVAL = 10
_EVENT_STREAM_START = 11

# Codes of the records to the simulator.
_ACTION_SEND = 66
_ACTION_REFUSE = 67
_ACTION_FATAL = 69
_ACTION_FAIL = 71
_ACTION_LOG = 73
_ACTION_SUBSCRIBE = 74
_ACTION_SET_TIMER = 75
_ACTION_CLOSE_IDLE = 76


class WireError(Exception):
    """The input is not a valid frame."""


@dataclass(frozen=True, slots=True)
class Opened:
    """An instance was started with these settings and this random seed."""

    seed: int
    settings: api.Settings


@dataclass(frozen=True, slots=True)
class Detached:
    """An instance was killed."""


Item = Union[Opened, Detached, api.Event]


def parse_settings(text: bytes) -> api.Settings:
    """Parse the settings JSON of an opening record; ``WireError`` if invalid. Unknown keys are ignored."""
    try:
        return settings.read(json.loads(text))
    except ValueError as error:
        raise WireError(f"unusable settings: {error}") from error


class Decoder:
    """Decodes frame bodies. Endpoint lists are sent once, and all instances refer to them by number."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[api.Endpoint, ...]] = {}

    def decode(self, body: bytes, count: int) -> Iterator[tuple[int, Item]]:
        """Yield (instance, item) for each record of a frame body, in order; ``WireError`` if invalid."""
        at = 0
        try:
            for _ in range(count):
                code, at = body[at], at + 1
                if code == _EVENT_ENDPOINT_LIST:
                    at = self._endpoint_list(body, at)
                    continue
                instance, item, at = self._record(code, body, at)
                if item is not None:
                    yield instance, item
        except (struct.error, IndexError, ValueError) as error:
            raise WireError(f"malformed record before byte {at}: {error}") from error
        if at != len(body):
            raise WireError(f"{len(body) - at} bytes after the last record of a frame")

    def _endpoint_list(self, body: bytes, at: int) -> int:
        """Store a numbered endpoint list and return the position after it."""
        slot, count = _LIST.unpack_from(body, at)
        at += _LIST.size
        endpoints = []
        for _ in range(count):
            endpoint, zone, kind, destination, state, rate, _since = _ENTRY.unpack_from(body, at)
            at += _ENTRY.size
            endpoints.append(api.Endpoint(endpoint, destination, zone, kind, api.EndpointState(state), rate))
        self._lists[slot] = tuple(endpoints)
        return at

    def _record(self, code: int, body: bytes, at: int) -> tuple[int, Item | None, int]:
        """Decode a record other than a list; returns instance, item (None: ignored) and next position."""
        if code == _EVENT_ATTEMPT_ENDED:
            fields = _ATTEMPT_ENDED.unpack_from(body, at)
            instance, message, attempt, endpoint, outcome_code, latency, closed, note, columns = fields
            at += _ATTEMPT_ENDED.size
            report = struct.unpack_from(f"<{columns}f", body, at)
            outcome = api.Outcome(outcome_code)
            # note: with FULL a retry-after in milliseconds; with MOOT, 1 means that no slot was free.
            wait = note * MS if outcome is api.Outcome.FULL else 0
            no_slot = outcome is api.Outcome.MOOT and note == 1
            ended = api.AttemptEnded(
                message, attempt, endpoint, outcome, latency, bool(closed), wait, no_slot, report
            )
            return instance, ended, at + 4 * columns
        if code == _EVENT_ARRIVAL:
            instance, message, message_class, tenant, key, time_left, _hint, destination, _flags = (
                _ARRIVAL.unpack_from(body, at)
            )
            return (  # the destination is a float on the wire
                instance,
                api.Arrival(message, message_class, int(destination), time_left, tenant, key),
                at + _ARRIVAL.size,
            )
        if code == _EVENT_TIMER_FIRED:
            instance, token = _NUMBER.unpack_from(body, at)
            return instance, api.TimerFired(token), at + _NUMBER.size
        if code == _EVENT_LIST_CHANGE:
            instance, mode, _version, slot = _LIST_CHANGE.unpack_from(body, at)
            kind = api.ListKind(mode)
            if kind is not api.ListKind.FAILED and slot not in self._lists:
                raise WireError(f"endpoint list {slot} was not sent")
            endpoints = () if kind is api.ListKind.FAILED else self._lists[slot]
            return instance, api.EndpointList(kind, endpoints), at + _LIST_CHANGE.size
        if code == _EVENT_WITHDRAWN:
            instance, message = _NUMBER.unpack_from(body, at)
            return instance, api.Withdrawn(message), at + _NUMBER.size
        if code == _EVENT_OPENED:
            instance, seed, length = _OPEN.unpack_from(body, at)
            at += _OPEN.size
            if at + length > len(body):
                raise WireError("settings record is truncated")
            return instance, Opened(seed, parse_settings(body[at : at + length])), at + length
        if code == _EVENT_DETACHED:
            (instance,) = _INSTANCE.unpack_from(body, at)
            return instance, Detached(), at + _INSTANCE.size
        if code == _EVENT_DATAGRAM:  # from another instance: not used
            instance, _peer, length = struct.unpack_from("<HIH", body, at)
            return instance, None, at + 8 + length
        if code == _EVENT_PROBE_RESULT:  # not used
            instance, columns = struct.unpack_from("<H8x6x2xB", body, at)
            return instance, None, at + 19 + 4 * columns
        if code == _EVENT_STREAM_START:  # streamed classes are not supported
            instance, *_ = struct.unpack_from("<HQ6sHQ", body, at)
            return instance, None, at + 26
        raise WireError(f"unknown event code {code}")


def encode(instance: int, action: api.Action) -> bytes:
    """Encode an action as a record."""
    if isinstance(action, api.Send):
        return _SEND.pack(_ACTION_SEND, instance, action.message, action.timeout_ns, action.endpoint)
    if isinstance(action, api.SetTimer):
        return _ID_AND_NUMBER.pack(_ACTION_SET_TIMER, instance, action.token, action.at_ns)
    if isinstance(action, api.Refuse):
        return _ID_AND_NUMBER.pack(_ACTION_REFUSE, instance, action.message, action.retry_after_ns)
    if isinstance(action, api.Fail):
        return _ID.pack(_ACTION_FAIL, instance, action.message)
    if isinstance(action, api.CloseIdle):
        return _CLOSE_IDLE.pack(_ACTION_CLOSE_IDLE, instance, action.endpoint)
    if isinstance(action, api.Subscribe):
        return _SUBSCRIBE.pack(_ACTION_SUBSCRIBE, instance, 1)
    return _text(_ACTION_LOG, instance, action.text)


def fatal(instance: int, text: str) -> bytes:
    """Encode a record that reports an exception in the decision code."""
    return _text(_ACTION_FATAL, instance, text)


def _text(code: int, instance: int, text: str) -> bytes:
    """Encode a record that carries text, truncated to ``MAX_TEXT_BYTES``."""
    data = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(data)) + data
