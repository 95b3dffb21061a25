"""Watches discovery's list of endpoints and applies its changes to the transport map."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import ujson

from kestrelspar.core.courier import Courier
from kestrelspar.core.transport_map import Carrier, NextHop
from kestrelspar.http import parser
from kestrelspar.http.backoff import CONNECT_TIMEOUT, WATCH_SILENCE_TIMEOUT, DiscoveryBackoff
from kestrelspar.journal.removal_log import RemovalLog
from kestrelspar.runtime import heap, logs
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, Timer, connect
from kestrelspar.settings.platform import STATES, address, index_of
from snowlock import interface as api

SOURCE = "discovery"
MAX_LINE_BYTES = 4 * 1024 * 1024  # of a line, an object or the body of a complete list
MIN_PROGRESS_BYTES = 64 * 1024  # of an incomplete line: so many received bytes count as activity, fewer do not
CATCH_UP_TIME = 6 * SECOND  # after a reconnect, the list may be outdated for as long as a change may take to be known
BATCH_SIZE = 1_000  # decoded rows that are converted and freed together
MAX_REMOVALS_BYTES = 8 * 1024  # on disk, for removals and drains since ``known`` was written: about 600 names


def hop_from_row(raw: Any, settings: api.Settings, carrier: Carrier) -> NextHop:
    """Converts one row of the list to a next hop.

    Raises ``ValueError``, ``KeyError``, ``TypeError`` or ``OverflowError`` if it is invalid.
    """
    state = STATES[raw["status"]]
    endpoint = api.Endpoint(
        str(raw["name"]).encode(),
        int(raw["group"]),
        index_of(raw.get("zone"), settings.zones, "zone"),
        index_of(raw.get("type"), settings.kinds, "type"),
        state,
        float(raw.get("weight", 1.0)),
    )
    return NextHop(endpoint, address(raw["address"]), carrier)


class Watch:
    """Follows discovery's list and passes its changes to the courier."""

    def __init__(
        self,
        loop: Loop,
        buffers: BufferPool,
        courier: Courier,
        carrier: Carrier,
        discovery: tuple[str, int],
        seed: int = 1,
        state_directory: str | None = None,
    ) -> None:
        self.loop, self.buffers, self.courier, self.carrier = loop, buffers, courier, carrier
        self.discovery = discovery
        courier.map.pending_sources.add(SOURCE)
        self.index = 0  # the revision received last; 0: none yet
        self._backoff = DiscoveryBackoff(courier.settings.forwarders, seed, not courier.settings.must_subscribe)
        self._disconnected_at: int | None = None  # None before the first break, and while the watch receives lines
        self._attempts = 0  # number of attempts to reconnect since ``_disconnected_at``
        self._silent_for = 0  # how long the last connection had been silent, if it was closed for that
        self._headers_timed_out = False  # the last connection timed out before its response headers
        self._refusal_status: int | None = None  # of the last request, if it was refused
        self._has_snapshot = False  # a complete list was received or loaded, to which changes can be applied
        self._is_first_object = True  # no object has been applied yet from the connection
        self._stream: Stream | None = None
        self._catch_up: Timer | None = None  # marks the list as current
        self._unreadable = ""  # the last text that could not be parsed; its repetitions are not logged
        self._move_count = 0
        self._awaiting_snapshot = False  # the address changed, and no complete list was received from the new one yet
        self._removals = (
            None
            if state_directory is None
            else RemovalLog(Path(state_directory) / "discovery.left", MAX_REMOVALS_BYTES, drop_oldest=True)
        )

    def load_known(self, known: dict[str, Any]) -> None:
        """Applies the saved list ``known``, corrected by removals and drains that were reported after it was written.

        Empties ``known["endpoints"]`` to limit memory use.
        """
        index, rows = known.get("index"), known.get("endpoints")
        if self._removals is not None and isinstance(rows, list):
            self._removals.drop_through(index if isinstance(index, int) else 0)
            states = {
                name: "leaving" if state is api.EndpointState.DRAINING else "left"
                for name, state in self._removals.since(-1).items()  # -1: all records that are left
            }
            if states:
                logs.event("map-left-since", source=SOURCE, revision=index, entries=len(states))
            for row in rows if states else ():
                if isinstance(row, dict) and row.get("name") in states:
                    row["status"] = states[row["name"]]
        self._apply(known, None)

    def apply(self, raw: Any) -> None:
        """Applies one object of the list, and records removals and drains; see ``_apply``."""
        self._apply(raw, self._removals)

    def _apply(self, raw: Any, removals: RemovalLog | None) -> None:
        """Applies one object of the list; removals and drains are recorded in ``removals``.

        If that is None, they are not recorded. An invalid row is logged and skipped, as is an object that is no list.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
            self._log_unreadable("not a list", f"{raw!r:.120}")
            return
        pause_gc = len(raw["endpoints"]) >= heap.COLLECT_THRESHOLD
        if pause_gc:
            heap.disable_collection()
        try:
            hops, is_snapshot, index = self._hops(raw["endpoints"]), raw.get("snapshot") is True, raw.get("index")
            if isinstance(index, int) and not isinstance(index, bool):
                if removals is not None and is_snapshot and (self._awaiting_snapshot or index < self.index):
                    removals.clear()  # their revisions are those of another discovery, or of one that was reset
                self._awaiting_snapshot, self.index = self._awaiting_snapshot and not is_snapshot, index
            if (
                removals is not None
            ):  # recorded before it is logged, as a reader of the log may kill the process at once
                removals.record(self._states_by_name(hops, is_snapshot), self.index)
            for hop in hops:
                if hop.endpoint.state is not api.EndpointState.READY:
                    logs.event("map-leaves", source=SOURCE, hop=hop.name, state=hop.endpoint.state.name.lower())
            self.courier.apply_map_update(SOURCE, hops, is_snapshot)
            self._has_snapshot = self._has_snapshot or is_snapshot
        finally:
            if pause_gc:
                heap.enable_collection()
                heap.count_new_entries(heap.COLLECT_THRESHOLD)

    def _hops(self, rows: list[Any]) -> list[NextHop]:
        """Converts the rows of a list, and empties that list in batches to limit memory use.

        At a start, the decoded rows took a third of the memory needed for each listed endpoint. Freeing them one by one
        would leave gaps between live objects, which could not be used again.
        """
        hops = []
        while rows:
            batch, rows[:BATCH_SIZE] = rows[:BATCH_SIZE], []
            for row in batch:
                try:
                    hops.append(hop_from_row(row, self.courier.settings, self.carrier))
                except Exception as error:  # whatever one row is like, the others are used
                    logs.warn("map-bad-entry", source=SOURCE, why=repr(error), got=f"{row!r:.160}")
        return hops

    def _states_by_name(self, hops: list[NextHop], is_snapshot: bool) -> dict[str, api.EndpointState]:
        """The state of each endpoint in the list and, if it is complete, of those that are missing from it."""
        names = {hop.endpoint.id for hop in hops} if is_snapshot else set()
        missing = [name for name in self.courier.map.ids_listed_by(SOURCE) if name not in names] if is_snapshot else []
        return {name.decode(): api.EndpointState.GONE for name in missing} | {
            hop.name: hop.endpoint.state for hop in hops
        }

    def move(self, discovery: tuple[str, int]) -> None:
        """Follows discovery at another address from now on, beginning with its complete list."""
        self.discovery, self.index, self._move_count = discovery, 0, self._move_count + 1
        self._has_snapshot, self._awaiting_snapshot = False, True
        self._backoff.address_changed()
        if self._stream is not None:
            self._stream.close()
        self.loop.spawn(self.run)  # the old task may still wait for a connection; it ends by itself

    def run(self) -> None:
        """Watches until the address changes; reconnects after random delays, out of step with other couriers."""
        move_count = self._move_count
        if self._has_snapshot or move_count:
            self.loop.sleep(self._backoff.initial_delay())
        while move_count == self._move_count:
            self._silent_for, self._headers_timed_out = 0, False
            received = False
            with logs.contained("watch of discovery"):
                received = self._watch()
            if move_count != self._move_count:
                return
            delay = self._backoff.next_delay(received, self._silent_for, self._headers_timed_out)
            # Logged once for each break, not for each attempt to reconnect.
            if received or self._disconnected_at is None:
                logs.event(
                    "map-break", source=SOURCE, revision=self.index, status=self._refusal_status, again_ms=delay // MS
                )
                self._disconnected_at, self._attempts = self.loop.now, 0
                if self._catch_up is not None:  # of the connection that has ended
                    self._catch_up.cancel()
                self.courier.map.disconnected_sources.add(SOURCE)
            self._attempts += 1
            self.loop.sleep(delay)

    def _watch(self) -> bool:
        """Watches over one connection until it ends.

        Returns whether the watch delivered a usable line, empty ones included; False also if it ended because an object
        could not be used.
        """
        received, last_activity, self._refusal_status = False, 0, None
        if not self._has_snapshot and not self.index and not self._read_snapshot():
            return False
        stream = self._connect()
        if stream is None:
            return False
        self._is_first_object = True
        try:
            target = f"/registry/instances?watch=1&after={self.index}"
            deadline = self.loop.now + self._backoff.response_timeout
            stream.write(parser.request("GET", target, "app.svc", {}), deadline)
            head = parser.read_head(stream, deadline, response=True)
            if head.status != 200:
                self._refusal_status = head.status
                return False
            decoder = parser.ChunkedDecoder() if parser.body_length(head) is None else None
            lines, objects, incomplete_bytes = LineSplitter(), JsonObjects(), 0  # bytes since the last activity
            last_activity = self.loop.now
            while True:
                data = bytes(stream.unread)
                if decoder is None:
                    used = len(data)
                else:
                    data, used = decoder.feed(data)
                stream.consume(used)
                incomplete_bytes += used
                if incomplete_bytes >= MIN_PROGRESS_BYTES:
                    incomplete_bytes, last_activity = 0, self.loop.now
                for line in lines.feed(data):
                    for text in objects.feed(line):
                        # If unreadable, its changes are lost, and are requested again from the last good revision.
                        if not self._handle_line(text):
                            return False
                        received, incomplete_bytes = True, 0
                        last_activity = self.loop.now
                if decoder is not None and decoder.done:
                    return received
                if self.loop.now >= last_activity + WATCH_SILENCE_TIMEOUT:
                    raise DeadlineExceededError
                stream.fill(last_activity + WATCH_SILENCE_TIMEOUT)
        except (ConnectionClosedError, parser.MalformedMessageError):
            return received
        except DeadlineExceededError:
            self._silent_for, self._headers_timed_out = (
                self.loop.now - last_activity if last_activity else 0,
                not last_activity,
            )
            return received
        finally:
            stream.close()

    def _connect(self) -> Stream | None:
        """A new connection to discovery; None if that failed or the address changed.

        Each request has a connection of its own: a late copy of a response would otherwise be read as the next one.
        """
        move_count = self._move_count
        sock = connect(self.loop, self.discovery, self.loop.now + CONNECT_TIMEOUT)
        if sock is None:
            return None
        stream = Stream(self.loop, sock, self.buffers)
        if move_count != self._move_count:
            stream.close()
            return None
        self._stream = stream
        return stream

    def _read_snapshot(self) -> bool:
        """Requests the complete list, as changes after index 0 may be too few; returns whether it was applied."""
        stream = self._connect()
        if stream is None:
            return False
        try:
            return self._request_snapshot(stream)
        except DeadlineExceededError:
            self._headers_timed_out = True
            return False
        except (ConnectionClosedError, parser.MalformedMessageError):
            return False
        finally:
            stream.close()

    def _request_snapshot(self, stream: Stream) -> bool:
        deadline = self.loop.now + self._backoff.response_timeout
        stream.write(parser.request("GET", "/registry/instances", "app.svc", {}), deadline)
        head = parser.read_head(stream, deadline, response=True)
        body = parser.read_body(
            stream, head, self.loop.now + WATCH_SILENCE_TIMEOUT, response=True, max_bytes=MAX_LINE_BYTES
        )
        if head.status != 200:
            self._refusal_status = head.status
            return False
        self._is_first_object = True
        return self._handle_line(body)

    def _handle_line(self, text: bytes) -> bool:
        """Applies one object of the list, or an empty line; returns false if it cannot be parsed or is no list.

        Even then, discovery counts as connected again.
        """
        self.courier.map.pending_sources.discard(SOURCE)
        if self._disconnected_at is not None:
            logs.event(
                "map-heard", source=SOURCE, tries=self._attempts, after_ms=(self.loop.now - self._disconnected_at) // MS
            )
            self._disconnected_at = None
            self._catch_up = self.loop.call_at(self.loop.now + CATCH_UP_TIME, self._mark_current)
        if not text.strip():
            if self._removals is not None:
                self._removals.retry_write()
            return True
        try:
            raw = ujson.loads(text)
        except ValueError as error:
            self._log_unreadable(str(error), f"{text!r:.160}")
            return False
        if self._is_outdated(raw):
            logs.warn("map-outdated-object", source=SOURCE, revision=self.index, got=raw.get("index"))
            return True
        self._is_first_object = False
        self.apply(raw)
        return isinstance(raw, dict) and isinstance(raw.get("endpoints"), list)

    def _is_outdated(self, raw: Any) -> bool:
        """Whether an object is older than what its connection has brought already, as a late copy is.

        The first object of a connection may have a lower index: discovery may have been reset.
        """
        index = raw.get("index") if isinstance(raw, dict) else None
        return not self._is_first_object and isinstance(index, int) and index < self.index

    def _mark_current(self) -> None:
        """Marks the list as current, ``CATCH_UP_TIME`` after a reconnect; a break before that cancels it.

        From then on, an endpoint that is missing from the list does not exist.
        """
        self.courier.map.disconnected_sources.discard(SOURCE)

    def _log_unreadable(self, why: str, got: str) -> None:
        if got != self._unreadable:
            logs.warn("map-unreadable", source=SOURCE, why=why, got=got)
        self._unreadable = got


_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonObjects:
    """Assembles JSON objects from lines; an object has one line or, if indented, several.

    Discovery sends an empty line as a heartbeat while nothing changes.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []  # lines of an incomplete object
        self._depth = self._size = 0

    def feed(self, line: bytes) -> list[bytes]:
        """Returns what the line completes: objects, empty lines, and text that cannot become an object, unchanged.

        Raises ``MalformedMessageError`` for an object of more than ``MAX_LINE_BYTES``.
        """
        text = line.strip()
        if not text:  # objects contain no empty lines, so an object that is incomplete here was cut off
            return [*self._flush(), b""]
        if len(text) >= MIN_PROGRESS_BYTES and not self._parts and text.startswith(b"{") and text.endswith(b"]}"):
            return [text]  # the usual form of a long list, all on one line, which need not be scanned
        depth_change = self._depth_change(text)
        if self._parts and not depth_change and line.startswith(b"{") and b'"endpoints"' in line:
            return [*self._flush(), text]  # a complete object after one that was cut off
        self._parts.append(line)
        self._depth, self._size = self._depth + depth_change, self._size + len(line)
        if self._size > MAX_LINE_BYTES:
            raise parser.MalformedMessageError("object too long")
        return self._flush() if self._depth <= 0 else []

    def _flush(self) -> list[bytes]:
        """Returns the lines of the object so far, and resets the state."""
        parts, self._parts, self._depth, self._size = self._parts, [], 0, 0
        return [b"\n".join(parts)] if parts else []

    @staticmethod
    def _depth_change(text: bytes) -> int:
        unquoted = _STRING.sub(b"", text)
        return unquoted.count(b"{") + unquoted.count(b"[") - unquoted.count(b"}") - unquoted.count(b"]")


class LineSplitter:
    """Splits fragments of any size into lines."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that are complete, without their line ends.

        Raises ``MalformedMessageError`` for an incomplete line of more than ``MAX_LINE_BYTES``.
        """
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        if len(self._incomplete) > MAX_LINE_BYTES:
            raise parser.MalformedMessageError("line too long")
        return lines
