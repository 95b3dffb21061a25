"""Stand-ins and helpers of the review's cases: the courier's process, endpoints, discovery, SMPP gateways, clients.

Standard library only. Everything listens on 127.0.0.1 at ports that the system chooses. A case writes what it sends
and sees to ``record.txt`` in its folder.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MS = 1_000_000  # nanoseconds


class CannotRunError(Exception):
    """The case could not be brought to the point at which the rule is checked."""


class Record:
    """``record.txt``: one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """A port that no socket uses now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def message_class(name: str, aim_s: float, deadline_s: float, semantics: str, window_s: float = 7.5) -> dict[str, Any]:
    """One class of the settings."""
    return {
        "name": name,
        "objective_ns": int(aim_s * 1000) * MS,
        "deadline_ns": int(deadline_s * 1000) * MS,
        "semantics": semantics,
        "value": 1.0,
        "late_worth": 0.4,
        "repeat_window_ns": int(window_s * 1000) * MS,
    }


def platform_settings(**more: Any) -> dict[str, Any]:
    """The settings of deploy/example.json, with the given top-level keys replaced."""
    settings: dict[str, Any] = json.loads((ROOT / "deploy" / "example.json").read_text())["settings"]
    return settings | more


class Courier:
    """One courier, started by the deploy file's ``run`` from the root of the repository."""

    def __init__(self, record: Record, folder: Path, discovery: int, settings: dict[str, Any], conf: str = "") -> None:
        self.record, self.folder = record, folder
        self.port, self.state = free_port(), folder / "state"
        self.state.mkdir(exist_ok=True)
        (folder / "kestrelspar.conf").write_text(conf or "log\n    format logfmt\n")
        self.config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "state": str(self.state),
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 10},
            "known": {"index": 1, "snapshot": True, "endpoints": []},
            "settings": settings,
        }
        self._process: subprocess.Popen[bytes] | None = None
        self._log = open(folder / "courier.log", "ab")  # noqa: SIM115

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        (self.folder / "config.json").write_text(json.dumps(self.config))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "RELAY_NAME": "n1",
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_STATE": str(self.state),
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "KESTRELSPAR_CONF": str(self.folder / "kestrelspar.conf"),
            "TMPDIR": str(self.folder),
        }
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        self.record(f"courier starts, pid {self._process.pid}")
        for _ in range(600):
            if self._process.poll() is not None:
                raise CannotRunError(f"the courier ended with {self._process.returncode}")
            if await http_get(self.port, "/health/ready") == 200:
                self.record("courier is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the courier was not ready within 30 s")

    def signal(self, number: int) -> None:
        """Send a signal to the courier's process."""
        assert self._process is not None
        self.record(f"signal {signal.Signals(number).name} to the courier")
        self._process.send_signal(number)

    async def wait(self, timeout: float) -> int | None:
        """Wait for the end of the process; its return code, or None after the time-out."""
        assert self._process is not None
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if (code := self._process.poll()) is not None:
                return code
            await asyncio.sleep(0.02)
        return self._process.poll()

    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def end(self) -> None:
        """End the process, whatever it does."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._log.close()


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """The first line, headers and body of one HTTP message with a length; None at the end of the input."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return head[0], headers, body


async def http_get(port: int, path: str) -> int:
    """The status of a GET; 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n".encode())
        answer = await asyncio.wait_for(read_http(reader), 1)
        return int(answer[0].split()[1]) if answer else 0
    except (TimeoutError, OSError):
        return 0
    finally:
        writer.close()


class Discovery:
    """The platform's agent: the list of endpoints, a watch on it, and the notices that it got."""

    def __init__(self, record: Record) -> None:
        self.record, self.port = record, 0
        self.index, self.rows = 1, dict[str, dict[str, Any]]()
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self._changed: list[tuple[asyncio.Queue[dict[str, Any]], int]] = []

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def set(self, name: str, port: int, group: int, status: str = "active", zone: str = "room-a") -> None:
        """Add or change an endpoint, and tell open watches."""
        self.index += 1
        row = {
            "name": name,
            "address": f"127.0.0.1:{port}",
            "zone": zone,
            "type": "utility",
            "group": group,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        self.rows[name] = row
        for queue, _ in self._changed:
            queue.put_nowait({"index": self.index, "snapshot": False, "endpoints": [row]})

    def _list(self) -> bytes:
        return json.dumps({"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_http(reader)) is not None:
                line, _, body = request
                if line.startswith("POST"):
                    for text in body.splitlines():
                        notice = json.loads(text)
                        self.notices.append((time.monotonic(), notice))
                        self.record(f"notice {notice}")
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "watch=1" in line:
                    await self._watch(writer)
                    return
                else:
                    data = self._list()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
                await writer.drain()
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._changed.append((queue, self.index))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = self._list() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            try:
                line = json.dumps(await asyncio.wait_for(queue.get(), 2)).encode() + b"\n"
            except TimeoutError:
                line = b"\n"

    def ended(self, trace: str) -> list[str]:
        """The states that notices reported for a message."""
        return [notice["state"] for _, notice in self.notices if notice["id"] == trace]


class Endpoint:
    """An HTTP endpoint that answers 200 after a while; ``calls`` has the ids that it got, each with its time."""

    def __init__(self, record: Record, name: str, latency: float = 0.02) -> None:
        self.record, self.name, self.latency, self.port = record, name, latency, 0
        self.calls: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_http(reader)) is not None:
                trace = request[1].get("x-trace-id", "")
                self.calls.append((time.monotonic(), trace))
                self.record(f"endpoint {self.name} runs {trace}")
                spawn(self.on_call(trace))
                await asyncio.sleep(self.latency)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def on_call(self, trace: str) -> None:
        """Called beside the answer to each call; does nothing here."""

    def runs(self, trace: str) -> int:
        """How often a message ran here."""
        return sum(known == trace for _, known in self.calls)


async def submit(
    record: Record, port: int, trace: str, qos: str, dest: int, body: bytes, expires_ms: int, key: str = ""
) -> int:
    """Hand in one message as a client does; the status, or 0 without an answer within 400 ms."""
    status = 0
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        record(f"client {trace}: no connection")
        return 0
    head = (
        f"POST /{qos} HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {trace}\r\nX-Qos: {qos}\r\n"
        f"X-Expires-In: {expires_ms}m\r\nX-Route-To: dest={dest}\r\nContent-Length: {len(body)}\r\n"
    )
    head += f"Idempotency-Key: {key}\r\n" if key else ""
    try:
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        answer = await asyncio.wait_for(read_http(reader), 0.4)
        status = int(answer[0].split()[1]) if answer else 0
    except (TimeoutError, OSError):
        pass
    finally:
        writer.close()
    record(f"client hands in {trace}: {qos}, dest {dest}, {len(body)} bytes, {expires_ms} ms: answer {status}")
    return status


async def background(record: Record, port: int, dests: tuple[int, ...], per_second: float) -> None:
    """Hand in readings for healthy destinations in turn, until cancelled: the traffic of the other member systems."""
    number = 0
    while True:
        spawn(submit(record, port, f"other-{number}", "reading", dests[number % len(dests)], b"level 7", 8_000))
        number += 1
        await asyncio.sleep(1 / per_second)


# SMPP 3.4

BIND_RX, BIND_TX, QUERY_SM, SUBMIT_SM, DELIVER_SM, UNBIND = 1, 2, 3, 4, 5, 6
CANCEL_SM, BIND_TRX, ENQUIRE_LINK = 8, 9, 0x15
RESPONSE = 0x80000000
ROK, RINVMSGID, RCANCELFAIL = 0, 0x0C, 0x11
ENROUTE, DELIVERED, DELETED, UNDELIVERABLE = 1, 2, 4, 5
STATS = {DELIVERED: "DELIVRD", DELETED: "DELETED", UNDELIVERABLE: "UNDELIV"}


def pdu(command: int, sequence: int, body: bytes = b"", status: int = 0) -> bytes:
    """One PDU."""
    return struct.pack(">IIII", 16 + len(body), command, status, sequence) + body


async def read_pdu(reader: asyncio.StreamReader) -> tuple[int, int, int, bytes] | None:
    """The command, status, sequence number and body of the next PDU; None at the end of the input."""
    try:
        size, command, status, sequence = struct.unpack(">IIII", await reader.readexactly(16))
        return command, status, sequence, await reader.readexactly(size - 16)
    except (asyncio.IncompleteReadError, OSError):
        return None


def c_string(body: bytes, at: int) -> tuple[str, int]:
    """The C-octet string at an offset, and the offset after it."""
    end = body.index(b"\0", at)
    return body[at:end].decode("latin-1"), end + 1


def parse_sm(body: bytes) -> dict[str, Any]:
    """Fields of a submit_sm or deliver_sm; ``text`` is the short message, or the payload if there is one."""
    fields: dict[str, Any] = {}
    fields["service_type"], at = c_string(body, 0)
    fields["source_addr"], at = c_string(body, at + 2)
    fields["destination_addr"], at = c_string(body, at + 2)
    fields["esm_class"] = body[at]
    _, at = c_string(body, at + 3)
    _, at = c_string(body, at)
    fields["registered_delivery"] = body[at]
    size = body[at + 4]
    fields["text"], at = body[at + 5 : at + 5 + size], at + 5 + size
    fields["tlvs"] = {}
    while at + 4 <= len(body):
        tag, length = struct.unpack_from(">HH", body, at)
        fields["tlvs"][tag] = body[at + 4 : at + 4 + length]
        at += 4 + length
    fields["text"] = fields["tlvs"].get(0x0424, fields["text"])
    return fields


def build_sm(
    source: str, destination: str, text: bytes, esm_class: int = 0, registered: int = 0, service: str = ""
) -> bytes:
    """The body of a submit_sm or deliver_sm."""
    return (
        service.encode()
        + b"\0\0\0"
        + source.encode()
        + b"\0\0\0"
        + destination.encode()
        + bytes([0, esm_class, 0, 0, 0, 0, registered, 0, 0, 0, len(text)])
        + text
    )


class Gateway:
    """An SMPP gateway. It reads and answers unless it hangs; subclasses decide how a submit_sm is answered."""

    def __init__(self, record: Record, name: str, latency: float = 0.15) -> None:
        self.record, self.name, self.latency, self.port = record, name, latency, 0
        self.submits: list[tuple[float, str]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self._running = asyncio.Event()
        self._running.set()
        self._sequence = 0
        self._hang_after_bind = False

    async def start(self, segment_bytes: int = 0) -> None:
        """Listen; ``segment_bytes``: maximum segment size, for the buffers of a real network instead of loopback's."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        if segment_bytes:
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * 1024)
        self.port = listener.getsockname()[1]
        await asyncio.start_server(self._serve, sock=listener, limit=4096)

    def hang(self) -> None:
        """Stop reading and answering; connections stay open."""
        self.record(f"gateway {self.name} hangs")
        self._running.clear()
        for writer in self.writers:
            writer.transport.pause_reading()  # type: ignore[attr-defined]

    def hang_after_bind(self) -> None:
        """Hang from the next bind on, right after its response."""
        self._hang_after_bind = True

    def go_on(self) -> None:
        """End the hang."""
        self._hang_after_bind = False
        self.record(f"gateway {self.name} goes on")
        self._running.set()
        for writer in self.writers:
            if not writer.is_closing():
                writer.transport.resume_reading()  # type: ignore[attr-defined]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        if not self._running.is_set():
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        try:
            while (request := await self._next(reader)) is not None:
                command, _, sequence, body = request
                if command & RESPONSE:
                    continue
                if command in (BIND_RX, BIND_TX, BIND_TRX):
                    writer.write(pdu(command | RESPONSE, sequence, b"gateway\0"))
                    if self._hang_after_bind:
                        self.hang()
                elif command == SUBMIT_SM:
                    fields = parse_sm(body)
                    text = fields["text"][:24].split()[0].decode("latin-1")
                    self.submits.append((time.monotonic(), text))
                    self.record(f"gateway {self.name} gets submit_sm {text}, {len(fields['text'])} bytes")
                    spawn(self.on_submit(writer, sequence, text, fields))
                elif command in (QUERY_SM, CANCEL_SM):
                    await self.on_question(writer, command, sequence, body)
                else:
                    writer.write(pdu(command | RESPONSE, sequence))
                    if command == UNBIND:
                        await writer.drain()
                        return
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.remove(writer)
            writer.close()

    async def _next(self, reader: asyncio.StreamReader) -> tuple[int, int, int, bytes] | None:
        await self._running.wait()
        request = await read_pdu(reader)
        await self._running.wait()
        return request

    async def on_submit(self, writer: asyncio.StreamWriter, sequence: int, text: str, fields: dict[str, Any]) -> None:
        """Answer a submit_sm: accepted after ``latency``."""
        await asyncio.sleep(self.latency)
        await self._running.wait()
        writer.write(pdu(SUBMIT_SM | RESPONSE, sequence, b"0\0"))

    async def on_question(self, writer: asyncio.StreamWriter, command: int, sequence: int, body: bytes) -> None:
        """Answer a query_sm or cancel_sm: the id is unknown."""
        writer.write(pdu(command | RESPONSE, sequence, b"", RINVMSGID if command == QUERY_SM else RCANCELFAIL))

    def send_receipt(self, message_id: str, state: int) -> None:
        """Send a receipt on the newest session."""
        self._sequence += 1
        text = f"id:{message_id} sub:001 dlvrd:001 submit date:2601010000 done date:2601010000 stat:{STATS[state]} "
        self.record(f"gateway {self.name} sends receipt id {message_id} {STATS[state]}")
        if self.writers:
            body = build_sm("900", "1", (text + "err:000 text:").encode(), esm_class=4)
            self.writers[-1].write(pdu(DELIVER_SM, self._sequence, body))


_tasks: set[asyncio.Task[Any]] = set()


def spawn(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Run a coroutine beside the caller."""
    task = asyncio.get_running_loop().create_task(work)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


async def until(condition: Callable[[], bool], timeout: float) -> bool:
    """Wait for a condition; whether it came true in time."""
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.02)
    return True


def main(folder: Path, case: Callable[[Record, Path, list[Courier]], Awaitable[int]]) -> None:
    """Run a case in a temporary folder and exit with its result; ends the couriers that it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # so that the couriers are ended, too
    record, couriers = Record(folder), list[Courier]()
    work = Path(tempfile.mkdtemp(prefix="case-"))
    result = NOT_RUN
    record(f"trouble {'on' if TROUBLE else 'off'}")
    try:
        result = asyncio.run(asyncio.wait_for(case(record, work, couriers), 115))  # type: ignore[arg-type]
    except (CannotRunError, TimeoutError, OSError) as error:
        record(f"the case could not run: {error!r}")
    finally:
        for courier in couriers:
            courier.end()
        for log in sorted(work.glob("courier.log")):
            for line in log.read_text(errors="replace").splitlines():
                record(f"courier's log: {line}".replace(str(work), "(folder)"))
        shutil.rmtree(work, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[result]
    record(verdict)
    print(verdict)
    with contextlib.suppress(OSError):
        sys.stdout.flush()
    sys.exit(result)
