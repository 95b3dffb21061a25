"""The courier as a process, with real sockets and a stand-in next hop: SIGTERM, SIGKILL, SIGHUP and start-up errors."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest

from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu
from tests.registry.registry_thread import RegistryThread
from tests.test_extras import write_config
from tests.test_wire import SETTINGS

ROOT = Path(__file__).parent.parent
TEST_TIMEOUT = 60  # timeout in seconds that only a failing test reaches


class StandInPlatform(BaseHTTPRequestHandler):
    """Next hop and discovery in one server; class attributes control it and record its calls and notices."""

    protocol_version = "HTTP/1.1"
    calls: list[str] = []
    notices: list[dict[str, Any]] = []
    silent = False  # calls get no response
    first_watch_line = ""  # the first line that discovery sends to a watch
    discovery_down = False  # discovery sends no response

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self.path == "/reports":
            StandInPlatform.notices += [json.loads(line) for line in body.splitlines()]
            self.answer(204)
            return
        type(self).calls.append(self.headers["X-Trace-Id"])
        if StandInPlatform.silent:
            time.sleep(TEST_TIMEOUT)
        self.answer(200)

    def do_GET(self) -> None:
        if StandInPlatform.discovery_down:
            time.sleep(TEST_TIMEOUT)
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.wfile.write(
            f"{len(StandInPlatform.first_watch_line) + 1:x}\r\n{StandInPlatform.first_watch_line}\n\r\n".encode()
        )
        time.sleep(TEST_TIMEOUT)

    def answer(self, status: int) -> None:
        self.send_response(status)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_: object) -> None:
        pass


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@pytest.fixture
def world() -> Iterator[str]:
    (
        StandInPlatform.calls,
        StandInPlatform.notices,
        StandInPlatform.silent,
        StandInPlatform.first_watch_line,
        StandInPlatform.discovery_down,
    ) = [], [], False, "", False
    server = ThreadingHTTPServer(("127.0.0.1", 0), StandInPlatform)
    server.daemon_threads = True
    server.block_on_close = False
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


def wait_until(done: Any) -> None:
    deadline = time.monotonic() + TEST_TIMEOUT
    while not done():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.02)


def row(name: str, address: str, status: str = "active") -> dict[str, Any]:
    return {"name": name, "address": address, "zone": "a", "type": "m", "group": 7, "status": status}


class Program:
    """A courier process, started by the command of the deployment file."""

    def __init__(
        self,
        folder: Path,
        world: str,
        rows: list[dict[str, Any]] | None = None,
        change: dict[str, Any] | None = None,
        before: str = "",
        **environment: str,
    ) -> None:
        self.port = free_port()
        classes = [
            {"name": name, "objective_ns": 3 * 10**9, "deadline_ns": 16 * 10**9, "semantics": semantics}
            for name, semantics in (("reading", "free"), ("payment", "single_shot"))
        ]
        family = {"workers": 4, "routes_apart": [True]}
        self.config = {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": world,
            "settings": SETTINGS | {"classes": classes, "family_info": family, "dcs": ["a"], "kinds": ["m"]},
            "known": {"index": 1, "snapshot": True, "endpoints": [row("s-1", world)] if rows is None else rows},
        }
        self.config |= change or {}
        variables = write_config(folder, self.config)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        command = command.replace(".venv/bin/python", sys.executable)
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", before + command],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            env=os.environ | variables | environment,
            text=True,
        )

    def request_status(self, method: str, path: str, **headers: str) -> int | None:
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TEST_TIMEOUT)
            connection.request(method, path, b"hello" if method == "POST" else None, headers)
            return connection.getresponse().status
        except OSError:
            return None

    def ready(self) -> Program:
        def is_ready_or_ended() -> bool:
            return self.process.poll() is not None or self.request_status("GET", "/health/ready") == 200

        wait_until(is_ready_or_ended)
        assert self.process.poll() is None, f"ended with {self.process.returncode}: {self.process.communicate()[0]}"
        return self

    def submit(self, trace: str, cls: str = "reading", expires_in: str = "15000m") -> int | None:
        return self.request_status(
            "POST", f"/{cls}", **{"X-Trace-Id": trace, "X-Qos": cls, "X-Expires-In": expires_in, "X-Route-To": "dest=7"}
        )

    def end(self, number: signal.Signals) -> tuple[int, str]:
        self.process.send_signal(number)
        out, _ = self.process.communicate(timeout=TEST_TIMEOUT)
        return self.process.returncode, out


@pytest.mark.parametrize("after_ms", [0, 5, 20, 40, 60, 80, 120, 200])
def test_a_sighup_during_the_start_does_not_end_the_process(tmp_path: Path, world: str, after_ms: int) -> None:
    # Guards against a courier that has just been restarted and is ended by a new configuration.
    program = Program(tmp_path, world)
    wait_until(lambda: b"-m\0kestrelspar" in Path(f"/proc/{program.process.pid}/cmdline").read_bytes())
    time.sleep(after_ms / 1000)
    program.process.send_signal(signal.SIGHUP)
    program.ready()
    assert program.submit("t1") == 202
    code, out = program.end(signal.SIGTERM)
    assert code == 0, out


def test_it_delivers_messages_and_shuts_down_on_sigterm(tmp_path: Path, world: str) -> None:
    program = Program(tmp_path, world).ready()
    assert [program.submit(f"t{i}") for i in range(5)] == [202] * 5
    wait_until(lambda: len(StandInPlatform.calls) == 5)
    code, out = program.end(signal.SIGTERM)
    assert code == 0 and "event=closed kept=0" in out and "event=fault" not in out and not StandInPlatform.notices


def test_after_sigkill_with_calls_in_flight_a_restart_reports_their_outcomes(tmp_path: Path, world: str) -> None:
    StandInPlatform.silent = True
    program = Program(tmp_path, world).ready()
    assert program.submit("pay", "payment") == 202 and program.submit("read") == 202
    wait_until(lambda: len(StandInPlatform.calls) == 2)
    program.end(signal.SIGKILL)
    StandInPlatform.silent = False
    program = Program(tmp_path, world).ready()
    wait_until(lambda: StandInPlatform.notices and StandInPlatform.calls.count("read") == 2)
    assert StandInPlatform.notices == [{"id": "pay", "state": "failed"}] and StandInPlatform.calls.count("pay") == 1
    assert program.end(signal.SIGTERM)[0] == 0


def smpp_conf(folder: Path, port: int) -> str:
    """Write settings with the SMPP front end on the port, an account, and the destination of ``Program``'s next hop."""
    conf = folder / "k.conf"
    conf.write_text(
        f"smpp\n  enabled on\n  listen 127.0.0.1:{port}\n  destination 372 7\n"
        "smpp-account acme\n  password-file pw\n  message-class reading\n"
    )
    (folder / "pw").write_text("pw\n")
    (folder / "pw").chmod(0o600)
    return str(conf)


def test_the_same_process_serves_the_smpp_front_end(tmp_path: Path, world: str) -> None:
    port = free_port()
    program = Program(tmp_path, world, KESTRELSPAR_CONF=smpp_conf(tmp_path, port)).ready()
    with socket.create_connection(("127.0.0.1", port), timeout=TEST_TIMEOUT) as sock:
        buffer = b""

        def request(pdu: Pdu) -> Pdu:
            nonlocal buffer
            sock.sendall(p.encode(pdu))
            return read()

        def read() -> Pdu:
            nonlocal buffer
            while not (size := p.complete_length(memoryview(buffer))):
                buffer += sock.recv(4096)
            pdu, buffer = p.decode(buffer[:size]), buffer[size:]
            return pdu

        bound = request(Pdu(Command.BIND_TRANSCEIVER, 1, 0, {"system_id": "acme", "password": "pw"}))
        fields = {"destination_addr": "3721", "registered_delivery": 1}
        submitted = request(Pdu(Command.SUBMIT_SM, 2, 0, fields, b"hi"))
        receipt = read()
        assert (bound.status, submitted.status, receipt.command) == (0, 0, Command.DELIVER_SM)
        assert StandInPlatform.calls == [submitted.text("message_id")] and receipt.tlv(p.MESSAGE_STATE) == b"\x02"
        sock.sendall(p.encode(receipt.reply()))
    assert program.end(signal.SIGTERM)[0] == 0


def test_sighup_changes_the_discovery_address_and_an_invalid_file_changes_nothing(tmp_path: Path, world: str) -> None:
    # SIGHUP must not end the process. The address of discovery in the environment must not override a new one in the
    # file.
    class NewDiscovery(StandInPlatform):
        notices: list[dict[str, Any]] = []

        def do_POST(self) -> None:
            self.rfile.read(int(self.headers["Content-Length"]))
            NewDiscovery.notices.append({})
            self.answer(204)

    server = ThreadingHTTPServer(("127.0.0.1", 0), NewDiscovery)
    server.daemon_threads, server.block_on_close = True, False
    threading.Thread(target=server.serve_forever, daemon=True).start()
    StandInPlatform.silent = True
    program = Program(tmp_path, world, RELAY_DISCOVERY=world).ready()
    assert program.submit("read") == 202
    wait_until(lambda: StandInPlatform.calls)
    config, lines = program.config, iter(program.process.stdout or ())
    for discovery, text in (("nowhere", "config.discovery"), (f"127.0.0.1:{server.server_port}", "=discovery-moves")):
        write_config(tmp_path, config | {"discovery": discovery})
        program.process.send_signal(signal.SIGHUP)
        assert any(text in line for line in lines)
    assert program.submit("late", expires_in="300m") == 202  # its notice goes to the new address
    wait_until(lambda: NewDiscovery.notices)
    assert not StandInPlatform.notices and program.end(signal.SIGTERM)[0] == 0
    server.shutdown()
    server.server_close()


class RemovedHop(StandInPlatform):
    calls: list[str] = []


@pytest.mark.parametrize(
    ("source", "status", "end_signal"),
    [
        ("registry", "left", signal.SIGKILL),
        ("registry", "leaving", signal.SIGTERM),
        ("discovery", "left", signal.SIGKILL),
        ("discovery", "leaving", signal.SIGKILL),
    ],
)
def test_a_reported_removal_or_drain_persists_over_a_restart_while_its_source_is_down(
    tmp_path: Path, world: str, source: str, status: str, end_signal: signal.Signals
) -> None:
    # A courier that started from a saved list older than the last reported change called endpoints that had been
    # removed.
    server = ThreadingHTTPServer(("127.0.0.1", 0), RemovedHop)
    server.daemon_threads, server.block_on_close, RemovedHop.calls = True, False, []
    threading.Thread(target=server.serve_forever, daemon=True).start()
    rows = [row("r-0", f"127.0.0.1:{server.server_port}"), row("r-1", world)]
    (tmp_path / "k.conf").write_text("")
    with RegistryThread() as member:
        store = member.store
        if source == "registry":
            (tmp_path / "k.conf").write_text(
                f"registry main\n  type etcd\n  servers 127.0.0.1:{member.address[1]}\n  prefix r/\n  keep 64KB\n"
            )
            store.commit([(f"r/{entry['name']}".encode(), json.dumps(entry).encode(), 0) for entry in rows])
        environment = {"KESTRELSPAR_CONF": str(tmp_path / "k.conf")}
        known = rows if source == "discovery" else []
        if source == "discovery":
            StandInPlatform.first_watch_line = json.dumps(
                {"index": 5, "snapshot": False, "endpoints": [rows[0] | {"status": status}]}
            )
        program = Program(tmp_path, world, known, **environment).ready()
        if source == "registry":
            wait_until((tmp_path / "registry-main.list").exists)
            if status == "left":
                store.delete("r/r-0")
            else:
                store.commit([(b"r/r-0", json.dumps(rows[0] | {"status": status}).encode(), 0)])
        assert any("event=map-leaves" in line and "hop=r-0" in line for line in program.process.stdout or ())
        program.end(end_signal)
    StandInPlatform.discovery_down, StandInPlatform.first_watch_line = True, ""
    program = Program(tmp_path, world, known, **environment).ready()
    assert [program.submit(f"t{n}") for n in range(6)] == [202] * 6
    wait_until(lambda: len(StandInPlatform.calls) + len(RemovedHop.calls) == 6)
    assert not RemovedHop.calls and program.end(signal.SIGTERM)[0] == 0
    server.shutdown()
    server.server_close()


def test_an_address_in_use_is_reported(tmp_path: Path, world: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "kestrelspar"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=os.environ | write_config(tmp_path) | {"RELAY_LISTEN": world},
        timeout=TEST_TIMEOUT,
        check=False,
    )
    assert done.returncode == 2 and "event=can't-start" in done.stdout


@pytest.mark.parametrize(
    ("variable", "text", "messages"),
    [
        ("RELAY_LISTEN", "nowhere", ["config.listen"]),
        ("KESTRELSPAR_SMPP", "x", ["this variable is not read any more"]),
        ("KESTRELSPAR_CONF", "map own\n file file.conf\n", ["file.conf:2: map own.file"]),
        ("KESTRELSPAR_CONF", "plugins\n enabled on\n scripts bad.rules\n", ["bad.rules:1"]),
        ("KESTRELSPAR_CONF", "peers\n enabled on\n", ["file.conf:1: peers.key-file: names 0 files"]),
        ("KESTRELSPAR_CONF", "peers\n enabled on\n key-file bad.rules\n", ["file.conf:3: peers.key-file"]),
        ("KESTRELSPAR_CONF", "peers\n seed n1 nowhere\n term 1ms\n", ["conf:2: peers.seed", "conf:3: peers.term"]),
        ("KESTRELSPAR_CONF", "smpp\n enabled 1\nlogg\n", ["file.conf:2: smpp.enabled", "did you mean log?"]),
    ],
)
def test_invalid_configuration_is_reported_at_start(
    tmp_path: Path, variable: str, text: str, messages: list[str]
) -> None:
    (tmp_path / "bad.rules").write_text("on arrival when nobody: defer 1")
    (tmp_path / "file.conf").write_text(text)
    value = text if variable == "RELAY_LISTEN" else str(tmp_path / "file.conf")
    done = subprocess.run(
        [sys.executable, "-m", "kestrelspar"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=os.environ | write_config(tmp_path) | {variable: value},
        timeout=TEST_TIMEOUT,
        check=False,
    )
    assert done.returncode == 2 and all(message in done.stdout for message in messages)
    assert done.stdout.count("\n") == len(messages) and not done.stderr
