"""Clients that ask for more than their share, to be run beside plain ones: ``python -m kestrelspar.lab.overload``.

Each kind of load runs in a process of its own, so that it does not slow down the clients that are measured. The process
stops by itself after its time, or when its parent closes its standard input.
"""

from __future__ import annotations

import argparse
import contextlib
import os
import select
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

from kestrelspar.lab.clients import submission

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.05  # after a connection that the courier has closed
POLL_INTERVAL_MS = 20
DEPTH = 64  # requests on their way on one connection, of loads at full speed
LARGE_BODY_BYTES = 60_000
HALF_OF_BODY_BYTES = 32 * 1024
DECLARED_BODY_BYTES = 64 * 1024
MANY_FIELDS = 95  # in a head; the courier takes at most 100


class Load(Enum):
    """What the clients do; the values are the names on the command line."""

    HALF_BODIES = "half-bodies"  # stop in the middle of a 64 KiB body, and stay
    HALF_HEADS = "half-heads"  # stop in the middle of a head of very many short fields, and stay
    SLOW_BODIES = "slow-bodies"  # send a large body in small pieces, never in time
    LARGE = "large"  # sound messages of 60 kB, one after the other
    GREEDY = "greedy"  # sound small messages at full speed, many on their way at once
    UNSOUND = "unsound"  # requests that are refused, at full speed
    HEALTH = "health"  # health checks at full speed, many on their way at once
    NEW_NAMES = "new-names"  # sound messages at full speed, each for another tenant and destination


def request(load: Load, number: int, destination: int, lifetime_ms: int, name: str) -> bytes:
    """The request with this number; of the loads that stop in the middle, the part that is sent at once.

    ``name``: beginning of the messages' ids.
    """
    trace = f"{name}-load-{os.getpid()}-{number}"
    if load is Load.HEALTH:
        return b"GET /health/live HTTP/1.1\r\nHost: load\r\n\r\n"
    if load is Load.UNSOUND:
        return submission(trace, "reading", lifetime_ms, destination).replace(b"X-Expires-In", b"X-Expired-In")
    if load is Load.NEW_NAMES:
        whole = submission(trace, "reading", lifetime_ms, 1_000 + number)
        return whole.replace(b"X-Trace-Id", f"X-Customer: name-{number}\r\nX-Trace-Id".encode())
    whole = submission(trace, "reading", lifetime_ms, destination)
    head, _, _ = whole.partition(b"\r\n\r\n")
    if load is Load.HALF_HEADS:
        return head + b"".join(b"\r\nA%d: 1" % field for field in range(MANY_FIELDS))
    if load is Load.LARGE:
        return whole.replace(b"Content-Length: 2\r\n\r\n{}", _length(LARGE_BODY_BYTES) + b"x" * LARGE_BODY_BYTES)
    if load in (Load.HALF_BODIES, Load.SLOW_BODIES):
        sent = HALF_OF_BODY_BYTES if load is Load.HALF_BODIES else 1_000
        return whole.replace(b"Content-Length: 2\r\n\r\n{}", _length(DECLARED_BODY_BYTES) + b"x" * sent)
    return whole


def _length(count: int) -> bytes:
    return b"Content-Length: %d\r\n\r\n" % count


class Connection:
    """One client's connection: what is still to be written, and how many requests wait for an answer."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.connect_ex(address)
        self.unwritten = b""
        self.received = b""
        self.waiting = 0  # requests without an answer
        self.next_write_at = 0.0


class Clients:
    """The clients of one load, on one thread."""

    def __init__(
        self, load: Load, address: tuple[str, int], count: int, destination: int, lifetime_ms: int, name: str
    ) -> None:
        self._load, self._address, self._count = load, address, count
        self._destination, self._lifetime_ms, self._name = destination, lifetime_ms, name
        self._connections: dict[int, Connection] = {}
        self._poll = select.poll()
        self._sent = 0
        self._reopen_at: list[float] = [0.0] * count
        self.statuses: Counter[str] = Counter()

    def run(self, duration_s: float) -> None:
        """Run for a time in seconds, or until standard input is closed."""
        until = time.monotonic() + duration_s
        self._poll.register(sys.stdin.fileno(), select.POLLIN)
        while time.monotonic() < until:
            self._open_due()
            for descriptor, events in self._poll.poll(POLL_INTERVAL_MS):
                if descriptor == sys.stdin.fileno():
                    return
                self._serve(self._connections[descriptor], events)
            self._send_slowly()

    def _open_due(self) -> None:
        now = time.monotonic()
        for at in [at for at in self._reopen_at if at <= now]:
            self._reopen_at.remove(at)
            connection = Connection(self._address)
            self._connections[connection.sock.fileno()] = connection
            self._poll.register(connection.sock.fileno(), select.POLLIN | select.POLLOUT)

    def _send_slowly(self) -> None:
        if self._load is not Load.SLOW_BODIES:
            return
        now = time.monotonic()
        for connection in list(self._connections.values()):
            if connection.waiting and connection.next_write_at <= now:
                connection.next_write_at = now + 0.1
                with contextlib.suppress(OSError):
                    connection.sock.send(b"y" * 100)

    def _serve(self, connection: Connection, events: int) -> None:
        try:
            if events & select.POLLOUT:
                self._write(connection)
            if events & ~select.POLLOUT:
                self._read(connection)
        except BlockingIOError:
            pass
        except OSError:
            self.statuses["closed"] += connection.waiting
            self._close(connection)

    def _write(self, connection: Connection) -> None:
        depth = DEPTH if self._load in (Load.GREEDY, Load.HEALTH, Load.NEW_NAMES) else 1
        while connection.waiting < depth and len(connection.unwritten) < READ_BYTES:
            connection.unwritten += request(self._load, self._sent, self._destination, self._lifetime_ms, self._name)
            connection.waiting += 1
            self._sent += 1
        if connection.unwritten:
            count = connection.sock.send(connection.unwritten)
            connection.unwritten = connection.unwritten[count:]
        if not connection.unwritten:
            self._poll.modify(connection.sock.fileno(), select.POLLIN)

    def _read(self, connection: Connection) -> None:
        data = connection.sock.recv(READ_BYTES)
        if not data:
            raise ConnectionResetError
        connection.received += data
        while b"\r\n\r\n" in connection.received:
            head, _, rest = connection.received.partition(b"\r\n\r\n")
            length = next((int(x[15:]) for x in head.split(b"\r\n") if x.lower().startswith(b"content-length:")), 0)
            if len(rest) < length:
                return
            connection.received = rest[length:]
            connection.waiting -= 1
            self.statuses[head[9:12].decode()] += 1
        self._poll.modify(connection.sock.fileno(), select.POLLIN | select.POLLOUT)

    def _close(self, connection: Connection) -> None:
        self._poll.unregister(connection.sock.fileno())
        del self._connections[connection.sock.fileno()]
        connection.sock.close()
        delay = 0.0 if self._load is Load.UNSOUND else RECONNECT_DELAY_S  # each unsound request ends its connection
        self._reopen_at.append(time.monotonic() + delay)


def start(
    load: Load,
    address: tuple[str, int],
    count: int,
    duration_s: float,
    destination: int = 1,
    lifetime_ms: int = 2_000,
    name: str = "load",
) -> subprocess.Popen[str]:
    """Start a load in a process of its own; its standard output has the number of answers by status.

    ``count``: connections. ``name``: beginning of the messages' ids.
    """
    arguments = [load.value, f"{address[0]}:{address[1]}", count, duration_s, destination, lifetime_ms, name]
    return subprocess.Popen(
        [sys.executable, "-m", "kestrelspar.lab.overload", *map(str, arguments)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        cwd=Path(__file__).parent.parent.parent,
    )


@contextlib.contextmanager
def running(load: Load, address: tuple[str, int], count: int, duration_s: float, **more: Any) -> Iterator[None]:
    """Run a load beside the block, with the arguments of ``start``."""
    process = start(load, address, count, duration_s, **more)
    try:
        yield
    finally:
        process.communicate()


def main() -> None:
    """Play one load, and print the number of answers by status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("load", type=Load)
    parser.add_argument("address")
    parser.add_argument("count", type=int, help="connections")
    parser.add_argument("duration_s", type=float)
    parser.add_argument("destination", type=int)
    parser.add_argument("lifetime_ms", type=int)
    parser.add_argument("name", help="beginning of the messages' ids")
    given = parser.parse_args()
    host, _, port = given.address.rpartition(":")
    clients = Clients(given.load, (host, int(port)), given.count, given.destination, given.lifetime_ms, given.name)
    clients.run(given.duration_s)
    print(dict(clients.statuses))


if __name__ == "__main__":
    main()
