"""Runs independent controllers for the simulator, over standard input and output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from snowlock import wire
from snowlock.control import Controller
from snowlock.interface import Event, Fault


def _read(stream: BinaryIO, size: int) -> bytes:
    """Read ``size`` bytes, or fewer at the end of the stream."""
    chunks = []
    while size > 0:
        chunk = stream.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


class Host:
    """The controllers of this process, by instance number."""

    def __init__(self) -> None:
        self._decoder = wire.Decoder()
        self._controllers: dict[int, Controller] = {}

    def answer(self, now: int, count: int, body: bytes) -> bytes:
        """Process one frame and return the reply; an exception of a controller becomes a fatal record.

        Each instance with events is called once, in order of first records, and a new one even without any.
        ``WireError`` if the frame is invalid.
        """
        pending: dict[int, list[Event]] = {}
        for instance, item in self._decoder.decode(body, count):
            if isinstance(item, wire.Opened):
                self._controllers[instance] = Controller(item.settings, item.seed)
                pending[instance] = []
            elif isinstance(item, wire.Detached):
                self._controllers.pop(instance, None)
                pending.pop(instance, None)
            elif instance in self._controllers:
                pending.setdefault(instance, []).append(item)
        records: list[bytes] = []
        for instance, events in pending.items():
            try:
                actions = self._controllers[instance].handle(now, events)
                fault = next((action for action in actions if isinstance(action, Fault)), None)
                if fault is not None:  # the simulator has no use for an instance with errors
                    records.append(wire.fatal(instance, fault.text.rstrip().rpartition("\n")[2]))
                    continue
                records.extend([wire.encode(instance, action) for action in actions])
            except Exception as error:
                records.append(wire.fatal(instance, f"{type(error).__name__}: {error}"))
        reply = b"".join(records)
        return wire.REPLY.pack(len(records), len(reply)) + reply


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends; ``WireError`` for a truncated or invalid frame."""
    host = Host()
    while header := _read(source, wire.HEADER.size):
        if len(header) < wire.HEADER.size:
            raise wire.WireError("frame header is truncated")
        size, count, now = wire.HEADER.unpack(header)
        body = _read(source, size)
        if len(body) < size:
            raise wire.WireError("frame is truncated")
        sink.write(host.answer(now, count, body))
        sink.flush()


def main() -> int:
    """Run the host; invalid input gives one line on standard error and exit code 1."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"snowlock: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
