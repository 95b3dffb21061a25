"""Starts, watches and stops one real courier process; its clients and stand-in servers run in this process."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TypeVar

import ujson

from kestrelspar.http import parser
from kestrelspar.http.watch import MAX_LINE_BYTES
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from kestrelspar.standins import platform
from kestrelspar.standins.server import free_listener

ROOT = Path(__file__).parent.parent
HOPS, CLIENTS = 4, 8  # numbers of next hops and of concurrent clients
# A process counts as idle if it used at most 100 us of processor time within IDLE_TIME, see ``Program.wait_idle``.
IDLE_TIME, POLL_INTERVAL = 20 * MS, 5 * MS
T = TypeVar("T")


class NotMeasured(RuntimeError):
    """A figure cannot be measured at this size; the text names the limit or the refusal."""


def process_usage(process_id: int) -> tuple[float, int, int]:
    """Return a process's processor time in seconds, and its current and peak resident memory in KB."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    status = dict(line.split(":", 1) for line in lines if ":" in line)
    # The clock id as clock_getcpuclockid(3) computes it. The clock counts nanoseconds, /proc/PID/stat only clock ticks.
    clock = ~process_id << 3 | 2
    return time.clock_gettime_ns(clock) / 1e9, int(status["VmRSS"].split()[0]), int(status["VmHWM"].split()[0])


def run_task(loop: Loop, call: Callable[..., T], *arguments: Any, timeout: int = 60 * SECOND) -> T:
    """Call a function in a task of the loop and return its result or raise its exception.

    Raises ``NotMeasured`` after ``timeout``.
    """
    outcomes: list[tuple[T | None, BaseException | None]] = []

    def task() -> None:
        try:
            outcomes.append((call(*arguments), None))
        except Exception as error:
            outcomes.append((None, error))

    loop.spawn(task)
    deadline = loop.clock() + timeout
    loop.call_at(deadline, lambda: None)  # a timer, without which the last turn might wait forever
    while not outcomes:
        if loop.clock() >= deadline:
            raise NotMeasured(f"{call.__qualname__} did not end within {timeout // SECOND} s")
        loop.turn()
    value, error = outcomes[0]
    if error is not None:
        raise error
    return value  # type: ignore[return-value]


def run_for(loop: Loop, duration: int) -> None:
    """Run the loop, and with it the stand-in servers, for this long."""
    run_task(loop, loop.sleep, duration, timeout=duration + 10 * SECOND)


class WatchDiscovery(platform.Discovery):
    """Stand-in discovery whose watches get no list at their start, only what ``send_update`` writes.

    An empty line, at once and each second, keeps them alive.
    """

    def __init__(self, loop: Loop, rows: list[dict[str, Any]]) -> None:
        super().__init__(loop, rows)
        self._watches: list[Stream] = []
        self._writing = False  # while true, no empty line is sent, as it could split the line of an update

    def reply(self, stream: Stream, head: parser.Head, body: bytes) -> bytes | None:
        """See ``Server.reply``."""
        if head.start_line[0] == "POST" or "watch=1" not in head.start_line[1]:
            return super().reply(stream, head, body)
        stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", self.loop.now + SECOND)
        self._watches.append(stream)
        while not stream.peer_closed():
            if not self._writing:
                stream.write(b"1\r\n\n\r\n", self.loop.now + SECOND)
            self.loop.sleep(SECOND)
        self._watches.remove(stream)
        return None

    def send_update(self, rows: list[dict[str, Any]], snapshot: bool = False) -> tuple[int, float]:
        """Write these rows to each watch, as changes or as a full ``snapshot``; call it in a task.

        Returns the bytes on the wire and the seconds of processor time that this process used.
        """
        if not self._watches:
            raise NotMeasured("the courier has no open watch at discovery")
        cpu_started_ns = time.process_time_ns()
        self.index += 1
        update = {"index": self.index, "snapshot": snapshot, "endpoints": rows}
        line = ujson.dumps(update, escape_forward_slashes=False).encode() + b"\n"
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        self._writing = True
        try:
            for stream in self._watches:
                stream.write(chunk, self.loop.now + 5 * SECOND)
        except (ConnectionClosedError, DeadlineExceededError) as error:
            raise NotMeasured(
                f"the courier did not read a line of {len(line)} bytes from discovery ({error!r}); "
                f"it reads at most {MAX_LINE_BYTES}"
            ) from error
        finally:
            self._writing = False
        return len(chunk), (time.process_time_ns() - cpu_started_ns) / 1e9


class Program:
    """A running courier: its process, its state directory, and requests to it."""

    def __init__(self, loop: Loop, state_directory: Path, config: dict[str, Any], root: str | Path = ROOT) -> None:
        self.loop, self.state_directory, self.config = loop, state_directory, config
        self._buffers = BufferPool(256)
        host, _, port = str(config["listen"]).partition(":")
        self.listen = host, int(port)
        self.write_config()
        self._log = state_directory / "log"
        with open(self._log, "wb") as log:
            self.started_at = time.monotonic()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "kestrelspar"],
                cwd=root,
                stdout=log,
                stderr=log,
                env={**os.environ, "RELAY_CONFIG": str(state_directory / "config.json")},
            )

    def write_config(self) -> None:
        """Write the configuration file that the program reads."""
        (self.state_directory / "config.json").write_text(ujson.dumps(self.config, escape_forward_slashes=False))

    def stop(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    @property
    def cpu(self) -> float:
        """Used processor time in seconds."""
        return process_usage(self.process.pid)[0]

    @property
    def memory(self) -> int:
        """Resident memory in bytes."""
        return process_usage(self.process.pid)[1] * 1024

    @property
    def peak(self) -> int:
        """Peak resident memory in bytes since the start."""
        return process_usage(self.process.pid)[2] * 1024

    def log_lines(self, event: str) -> list[str]:
        """Return the log lines with this event."""
        return [line for line in self._log.read_text(errors="replace").splitlines() if f"event={event} " in f"{line} "]

    def open_stream(self) -> Stream:
        """Connect to the HTTP front end, and retry until it listens; call it in a task.

        Raises ``NotMeasured`` if the courier has exited.
        """
        while True:
            self._check_running()
            sock = connect(self.loop, self.listen, self.loop.now + SECOND)
            if sock is not None:
                return Stream(self.loop, sock, self._buffers)
            self.loop.sleep(2 * MS)

    def _check_running(self) -> None:
        if self.process.poll() is not None:
            last_lines = self._log.read_text(errors="replace").splitlines()[-3:]
            raise NotMeasured(
                f"the courier exited with status {self.process.returncode}: {' / '.join(last_lines):.600}"
            )

    def get(self, path: str) -> tuple[int, bytes]:
        """Send a GET request for this path; return status and body of the response; call it in a task."""
        stream = self.open_stream()
        try:
            stream.write(parser.request("GET", path, "bench", {"Connection": "close"}), None)
            head = parser.read_head(stream, None, response=True)
            return head.status, parser.read_body(stream, head, None, response=True)
        finally:
            stream.close()

    def _wait_until_serving(self) -> None:
        while True:
            try:
                if self.get("/health/ready")[0] == 200:
                    return
            except (ConnectionClosedError, DeadlineExceededError):
                pass
            self.loop.sleep(2 * MS)

    def wait_ready(self, timeout: int = 180 * SECOND) -> tuple[float, float]:
        """Wait until ``/health/ready`` answers 200; return the seconds of processor and wall time since the start."""
        run_task(self.loop, self._wait_until_serving, timeout=timeout)
        return self.cpu, time.monotonic() - self.started_at

    def wait_idle(self, timeout: int = 60 * SECOND) -> float:
        """Wait until the courier has been idle for ``IDLE_TIME``; return the seconds of processor time that it used."""
        deadline, last_cpu, idle_since = self.loop.clock() + timeout, self.cpu, self.loop.clock()
        while self.loop.clock() < idle_since + IDLE_TIME:
            run_for(self.loop, POLL_INTERVAL)
            if (now := self.cpu) > last_cpu + 100e-6:  # handling an empty line from discovery takes less
                last_cpu, idle_since = now, self.loop.clock()
            if self.loop.clock() > deadline:
                raise NotMeasured(f"the courier was still busy after {timeout // SECOND} s")
        return self.cpu


@contextmanager
def running_courier(
    loop: Loop,
    state_directory: str | Path,
    discovery: str,
    rows: list[dict[str, Any]],
    root: str | Path = ROOT,
    **options: Any,
) -> Iterator[Program]:
    """Run a courier whose configuration has these endpoints (``known``) and ``options``, until the block ends."""
    with free_listener() as listener:
        host, port = listener.getsockname()
    config = platform.configuration(f"{host}:{port}", discovery, str(state_directory), **options)
    config["known"] = {"index": 1, "snapshot": True, "endpoints": rows}
    courier = Program(loop, Path(state_directory), config, root)
    try:
        yield courier
    finally:
        courier.stop()


def endpoint_row(number: int, address: str, group: int) -> dict[str, Any]:
    """Return an endpoint of destination ``group``, in the format of discovery."""
    return {
        "name": f"hop-{number}",
        "address": address,
        "zone": "room-a",
        "type": "utility",
        "group": group,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    }


def submit(stream: Stream, name: str, cls: str, destination: int, body: bytes) -> int:
    """Submit one message that expires after 8 s; return the status of the response."""
    headers = {
        "X-Trace-Id": name,
        "X-Qos": cls,
        "X-Expires-In": "8000m",
        "X-Route-To": f"dest={destination}",
        "Idempotency-Key": name,
    }
    stream.write(parser.request("POST", f"/{cls}", "bench", headers, body), None)
    head = parser.read_head(stream, None, response=True)
    parser.read_body(stream, head, None, response=True)
    return head.status


def start_load(
    courier: Program, rate: int, duration: int, classes: tuple[str, ...], synchronized: bool = False
) -> list[int]:
    """Start ``CLIENTS`` clients that together submit ``rate`` messages a second, of 200 bytes.

    Each client takes the classes and the ``HOPS`` destinations in turn. The messages are evenly spaced, or sent by all
    clients at the same time (``synchronized``), which costs the courier less, as it accepts them together. A client
    waits for each response before its next message, so the rate falls if responses take long. Returns a list to which
    the status of each response is appended.
    """
    loop, statuses, started_at = courier.loop, list[int](), courier.loop.now

    def client(client_index: int) -> None:
        stream, number = courier.open_stream(), 0
        while (
            send_at := started_at + (number * CLIENTS + (0 if synchronized else client_index)) * SECOND // rate
        ) < started_at + duration:
            loop.sleep(max(0, send_at - loop.now))
            statuses.append(
                submit(stream, f"{client_index}-{number}", classes[number % len(classes)], number % HOPS, b"x" * 200)
            )
            number += 1
        stream.close()

    for client_index in range(CLIENTS):
        loop.spawn(client, client_index)
    return statuses
