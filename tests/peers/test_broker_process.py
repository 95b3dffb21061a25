"""The broker's process: its start and end, what is told it that will not do, and bad input on its socket."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import ujson

from kestrelspar.peers.door import ask
from kestrelspar.peers.seal import MOST, Sealer, keys
from kestrelspar.peers.words import Lease, Renew
from tests.test_program import FAR, ROOT, until

KEY, OTHER = "a key that all couriers here have", "another key that all will have"
RUN = [sys.executable, "-m", "kestrelspar"]


def free() -> tuple[str, int]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1", int(sock.getsockname()[1])


class Process:
    """One broker, and a courier that we play."""

    def __init__(self, folder: Path, name: str = "eu/b1", more: str = "", program: list[str] | None = None,
                 **how: Any) -> None:
        self.folder, self.state = folder, folder / "state"
        self.state.mkdir(exist_ok=True, parents=True)
        self.address = free()
        self.configure([KEY], more)
        self.log = folder / "log"
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                [*(program or RUN), "broker", "--conf", str(folder / "k.conf"), "--name", name, "--state",
                 str(self.state)], stdout=out, stderr=out, cwd=ROOT, **how)

    def configure(self, secrets: list[str], more: str = "") -> None:
        for number, secret in enumerate(secrets):
            (self.folder / f"key{number}").write_text(secret)
            (self.folder / f"key{number}").chmod(0o600)
        files = " ".join(f"key{number}" for number in range(len(secrets)))
        (self.folder / "k.conf").write_text(
            f"peers\n  key-file {files}\n  region eu\n  couriers 10\n"
            f"  broker eu/b1 {self.address[0]}:{self.address[1]}\n  broker eu/b2 127.0.0.1:9\n{more}")

    def text(self) -> str:
        return self.log.read_text()

    def ready(self) -> Process:
        until(lambda: "event=broker-serves" in self.text() or self.process.poll() is not None)
        assert "event=broker-serves" in self.text(), self.text()
        return self

    def status(self) -> dict[str, Any]:
        return ask(str(self.state))

    def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        self.process.send_signal(number)
        return self.process.wait(FAR)


@pytest.fixture
def started() -> Iterator[list[Process]]:
    found: list[Process] = []
    yield found
    for each in found:
        if each.process.poll() is None:
            each.process.kill()
        each.process.wait()


class Courier:
    """A courier's socket, and what it seals."""

    def __init__(self, name: str = "n1", life: int = 5, secret: str = KEY) -> None:
        self.sealer = Sealer(name, life, keys([secret]))
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(0.5)
        self.host, self.port = self.socket.getsockname()
        self.n = 0

    def renew(self, to: Process, known: int = 0, listen: tuple[str, int] | None = None) -> int:
        """The life of the broker that answered; 0 where none did in time."""
        for _ in range(20):
            self.n += 1
            word = Renew(self.n, self.host, self.port, 1, known, 1, 0, 0)
            self.socket.sendto(self.sealer.seal("eu/b1", [word]), listen or to.address)
            try:
                told = self.sealer.open(self.socket.recv(MOST + 1))
            except TimeoutError:
                continue
            if any(isinstance(word, Lease) for word in told.words):
                return told.life
        return 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_it_serves_answers_and_ends_in_order(tmp_path: Path, started: list[Process], number: signal.Signals) -> None:
    started.append(broker := Process(tmp_path).ready())
    first = broker.status()
    assert first["broker"] == "eu/b1" and first["region"] == "eu" and first["life"] > 0
    shown = subprocess.run([*RUN, "peers", "status", "--state", str(broker.state)], cwd=ROOT, capture_output=True,
                           text=True, timeout=FAR, check=False)
    assert shown.returncode == 0 and "broker: eu/b1" in shown.stdout and f"life: {first['life']}" in shown.stdout
    plain = subprocess.run([*RUN, "peers", "status", "--state", str(broker.state), "--json"], cwd=ROOT,
                           capture_output=True, text=True, timeout=FAR, check=False)
    assert ujson.loads(plain.stdout)["life"] == first["life"]
    none = subprocess.run([*RUN, "peers", "budgets", "--state", str(broker.state)], cwd=ROOT, capture_output=True,
                          text=True, timeout=FAR, check=False)
    assert none.returncode == 1 and "is the folder of a broker" in none.stderr
    assert broker.end(number) == 0
    assert "event=broker-ends" in broker.text() and "event=fault" not in broker.text()
    assert not (broker.state / "peers.sock").exists()
    started.append(again := Process(tmp_path).ready())
    second = again.status()["life"]
    assert second > first["life"] and again.end() == 0
    for file in again.state.iterdir():
        file.unlink()
    started.append(empty := Process(tmp_path).ready())
    assert empty.status()["life"] > second and empty.end() == 0


FAULTS = [
    ("eu/b9", "", [], ["peers.broker: none is named eu/b9 (wanted: eu/b1, eu/b2)"]),
    ("eu/b1", "  key-file none\n", [], ["peers.key-file: ", "No such file"]),
    ("eu/b9", "  period 1ms\n", [], ["k.conf:7: peers.period: '1ms' is out of bounds"]),
    ("eu/b1", "  broker eu/b3 127.0.0.1:9\n", [], ["k.conf:7: peers.broker eu/b3: has the address of eu/b2"]),
]


@pytest.mark.parametrize(("name", "more", "secrets", "told"), FAULTS)
def test_what_will_not_do_ends_it_at_once(tmp_path: Path, started: list[Process], name: str, more: str,
                                          secrets: list[str], told: list[str]) -> None:
    started.append(broker := Process(tmp_path, name, more))
    assert broker.process.wait(FAR) == 2
    assert [word for word in told if word not in broker.text()] == [] and "Traceback" not in broker.text()


def test_no_key_a_taken_address_and_a_folder_that_is_none(tmp_path: Path, started: list[Process]) -> None:
    keyless = tmp_path / "keyless"
    keyless.mkdir()
    (keyless / "k.conf").write_text("peers\n  region eu\n  broker eu/b1 127.0.0.1:9\n")
    started.append(first := Process(tmp_path / "first").ready())
    (tmp_path / "file").write_text("")
    conf, state = str(tmp_path / "first" / "k.conf"), str(tmp_path / "first")
    for words, told in (
            (["--conf", str(keyless / "k.conf"), "--name", "eu/b1"], "peers.key-file: names 0 files"),
            (["--conf", conf, "--name", "eu/b1", "--state", state], "Address already in use"),
            (["--conf", conf, "--name", "eu/b2", "--state", str(tmp_path / "file")], "is a file"),
            (["--conf", conf, "--name", "eu/b2", "--state", "/proc"], "the state folder /proc can't be written"),
            (["--conf", str(tmp_path / "none"), "--name", "eu/b1"], "does not exist")):
        done = subprocess.run([*RUN, "broker", *words], cwd=ROOT, capture_output=True, text=True, timeout=FAR,
                              check=False)
        assert done.returncode == 2 and told in done.stdout + done.stderr, done.stdout + done.stderr
        assert "Traceback" not in done.stdout + done.stderr
    assert first.status()["life"] == ujson.loads((first.state / "broker").read_text())["life"]
    assert first.end() == 0
