"""Shared by the cases of the second review: starts the courier by the deploy file, and plays the parties around it.

The platform (discovery, with the agent's push list, and ``/reports``), the endpoints and the clients are small
stand-ins on loopback. They use the standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, VOID = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()
        self(f"trouble: {'on' if TROUBLE else 'off'}")

    def __call__(self, text: str) -> None:
        """Add one line, with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()


def free_address() -> str:
    """A loopback address with a port that nobody listens on, below those that the system gives to connections."""
    while True:
        address = ("127.0.0.1", random.randrange(12_000, 32_000))
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(address)
            return f"{address[0]}:{address[1]}"


def split(address: str) -> tuple[str, int]:
    """Host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message with a Content-Length: its start line, its headers, its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


class Platform:
    """Discovery with a watch, and the receiver of notices."""

    def __init__(self, record: Record) -> None:
        self.record, self.address = record, free_address()
        self.rows: list[dict[str, Any]] = []
        self.index = 1
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *split(self.address))

    def list_endpoint(self, name: str, address: str, group: int = 7) -> None:
        """Add one active endpoint to the list."""
        self.rows.append(
            {
                "name": name,
                "address": address,
                "zone": "room-a",
                "type": "utility",
                "group": group,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
        )

    def whole_list(self) -> dict[str, Any]:
        """The whole list in discovery's form."""
        return {"index": self.index, "snapshot": True, "endpoints": self.rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(" ")
                if method == "POST":
                    for line in body.splitlines():
                        notice = json.loads(line)
                        self.notices.append((time.monotonic(), notice))
                        self.record(f"platform: notice {notice}")
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "watch=1" not in target:
                    text = json.dumps(self.whole_list()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                else:
                    await self._watch(writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # cancelled at the end of the case
            pass
        finally:
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.whole_list()).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            await asyncio.sleep(1.5)
            line = b"\n"


class Endpoint:
    """One endpoint of a member system; ``answer`` gets id, headers and body of a call and answers it."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name, self.address = record, name, free_address()
        self.calls: list[tuple[float, str]] = []
        self.runs: dict[str, int] = {}
        self.bodies: list[bytes] = []
        self.answer: Callable[[str, asyncio.StreamWriter], Awaitable[None]] = self.run

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, *split(self.address))

    async def run(self, trace: str, writer: asyncio.StreamWriter) -> None:
        """Run the message and answer 200 after a usual time."""
        await asyncio.sleep(0.05)
        self.runs[trace] = self.runs.get(trace, 0) + 1
        self.record(f"{self.name}: runs {trace}, for the {self.runs[trace]}. time, and answers 200")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, headers, body = await read_message(reader)
                trace = headers["x-trace-id"]
                self.bodies.append(body)
                self.calls.append((time.monotonic(), trace))
                self.record(f"{self.name}: call for {trace}")
                await self.answer(trace, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # cancelled at the end of the case
            pass
        finally:
            writer.close()


def settings(**more: Any) -> dict[str, Any]:
    """The settings of a small deployment: those of ``deploy/example.json``."""
    example = json.loads((ROOT / "deploy/example.json").read_text())["settings"]
    return {**example, **more}


class Courier:
    """One real courier, started by the deploy file's ``run``."""

    def __init__(self, record: Record, platform: Platform, folder: Path, limits: dict[str, float]) -> None:
        self.record, self.platform, self.folder = record, platform, folder
        self.listen, self.limits = free_address(), limits
        self.state, self.config = folder / "state", folder / "config.json"
        self.conf: Path | None = None
        self.state.mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self.settings = settings()

    def write_config(self) -> None:
        """Write the file that RELAY_CONFIG names."""
        text = {
            "name": "n1",
            "listen": self.listen,
            "discovery": self.platform.address,
            "state": str(self.state),
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.platform.whole_list(),
            "settings": self.settings,
        }
        self.config.write_text(json.dumps(text))

    async def spawn(self) -> asyncio.subprocess.Process:
        """Start the process, and do not wait."""
        self.write_config()
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "RELAY_NAME": "n1",
            "RELAY_LISTEN": self.listen,
            "RELAY_DISCOVERY": self.platform.address,
            "RELAY_STATE": str(self.state),
            "RELAY_CONFIG": str(self.config),
            "TMPDIR": str(self.folder),
        }
        if self.conf is not None:
            environment["KESTRELSPAR_CONF"] = str(self.conf)
        log = (self.folder / "courier.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record(f"courier: process {self.process.pid} started")
        return self.process

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        await self.spawn()
        await self.wait_ready()

    async def wait_ready(self, patience: float = 20.0) -> None:
        """Wait until GET /health/ready answers 200."""
        deadline = time.monotonic() + patience
        while time.monotonic() < deadline:
            assert self.process is not None
            if self.process.returncode is not None:
                raise CannotRunError(f"the courier ended with {self.process.returncode}: {self.log_tail()}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*split(self.listen))
                try:
                    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                    if (await read_message(reader))[0].split(" ")[1] == "200":
                        self.record("courier: ready")
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        raise CannotRunError("the courier did not become ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, which this case has started."""
        assert self.process is not None
        self.record(f"courier: gets {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL, and wait for the end."""
        assert self.process is not None
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def log_tail(self, lines: int = 12) -> str:
        """The last lines of its log."""
        return "\n".join((self.folder / "courier.log").read_text(errors="replace").splitlines()[-lines:])


def submission(trace: str, cls: str, body: bytes = b"hello", expires_ms: int = 8000, **headers: str) -> bytes:
    """The bytes of one submission to destination 7."""
    lines = [
        f"POST /{cls} HTTP/1.1",
        "Host: app.svc",
        f"X-Trace-Id: {trace}",
        f"X-Qos: {cls}",
        f"X-Expires-In: {expires_ms}m",
        f"X-Route-To: dest={headers.pop('dest', '7')}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        f"Content-Length: {len(body)}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def submit(address: str, request: bytes, patience: float = 0.4) -> int | None:
    """Hand in one message on a connection of its own; its status, or None if none came in time."""
    try:
        reader, writer = await asyncio.open_connection(*split(address))
    except OSError:
        return None
    try:
        writer.write(request)
        start, _, _ = await asyncio.wait_for(read_message(reader), patience)
        return int(start.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        writer.close()


class Network:
    """The network between clients and the courier: a proxy that can lose what the courier sends, and reset."""

    def __init__(self, record: Record, courier: Courier) -> None:
        self.record, self.courier, self.address = record, courier, free_address()
        self.loses_answers = False  # of the connections that are open
        self._clients: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, *split(self.address))

    def reset_connections(self) -> None:
        """Reset the connections of clients."""
        for writer in list(self._clients):
            self._reset(writer)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        if writer in self._clients:
            self._clients.discard(writer)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            courier_reader, courier_writer = await asyncio.open_connection(*split(self.courier.listen))
        except OSError:
            self._clients.add(writer)
            self._reset(writer)
            return
        self._clients.add(writer)
        forward = asyncio.create_task(self._copy(reader, courier_writer))
        try:
            while data := await courier_reader.read(65536):
                if self.loses_answers:
                    self.record(f"network: loses the courier's answer {data.splitlines()[0]!r}")
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if self.loses_answers:  # the courier's end is lost as well; the client learns of it by a reset
            self.record("network: the courier's side has closed; resets the client's connection")
            self._reset(writer)
        self._clients.discard(writer)
        writer.close()
        courier_writer.close()
        forward.cancel()

    @staticmethod
    async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()


class Client:
    """A client that keeps one connection, and behaves as the protocol page says."""

    def __init__(self, record: Record, address: str, later_address: str) -> None:
        """``later_address``: for new connections after the first has ended, past the trouble in the network."""
        self.record, self.address, self._later_address = record, address, later_address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, name: str, request: bytes) -> int | None:
        """Send a request on the kept connection; its status, or None if the time for the answer is over.

        Raises ``ConnectionError`` if the connection ends before any answer.
        """
        if self._writer is None or self._writer.is_closing():
            self._reader, self._writer = await asyncio.open_connection(*split(self.address))
        assert self._reader is not None
        self._writer.write(request)
        self.record(f"client: sends {name}")
        try:
            start, headers, _ = await asyncio.wait_for(read_message(self._reader), 0.4)
        except TimeoutError:
            self.record(f"client: no answer to {name} in 400 ms, closes the connection")
            self.close()
            return None
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record(f"client: its connection ended before any answer to {name}")
            self.close()
            raise ConnectionError from error
        status = int(start.split(" ")[1])
        self.record(f"client: {name} is answered {status}")
        if headers.get("connection", "") == "close":
            self.close()
        return status

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def hand_in(self, name: str, request: bytes, patience: float = 3.5) -> int | None:
        """Hand in a message; if the connection ends before any answer, send it once more on a new connection."""
        try:
            return await self.send(name, request)
        except ConnectionError:
            pass
        self.address = self._later_address
        deadline = time.monotonic() + patience
        while time.monotonic() < deadline:  # a connection that is refused carries nothing
            await asyncio.sleep(0.1)
            with contextlib.suppress(ConnectionRefusedError):
                return await self.send(f"{name} once more", request)
        return None


class Case:
    """What a case needs: its record, a temporary folder, a platform, an endpoint and a courier."""

    def __init__(self, file: str, limits: dict[str, float] | None = None) -> None:
        self.record = Record(Path(file).resolve().parent)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.platform = Platform(self.record)
        self.endpoint = Endpoint(self.record, "s-1")
        self.platform.list_endpoint("s-1", self.endpoint.address)
        self.courier = Courier(
            self.record,
            self.platform,
            self.folder,
            limits or {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 10},
        )

    async def start_servers(self) -> None:
        """Start the platform and the endpoint."""
        await self.platform.start()
        await self.endpoint.start()

    async def stop(self) -> None:
        """End the courier, and remove the folder."""
        process = self.courier.process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
        with contextlib.suppress(OSError):
            self.record("the last lines of the courier's log:\n" + self.courier.log_tail())
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case: Case, story: Callable[[Case], Awaitable[str]]) -> int:
    """Play a story, which returns what broke the rule, or an empty text; returns the exit code."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # so that the courier ends with the script
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await case.start_servers()
            broken = await asyncio.wait_for(story(case), 100)
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            case.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return VOID
        finally:
            await case.stop()
        case.record(f"result: {'BROKEN: ' + broken if broken else 'held'}")
        print(f"BROKEN: {broken}" if broken else "held")
        return BROKEN if broken else HELD

    return asyncio.run(run())


def main(file: str, story: Callable[[Case], Awaitable[str]], limits: dict[str, float] | None = None) -> None:
    """Play the story of the case in this file, and exit."""
    sys.exit(play(Case(file, limits), story))
