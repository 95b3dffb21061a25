"""The broker process: start and shutdown, errors in its settings, and bad input on its socket."""

from __future__ import annotations

import errno
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest
import ujson

from kestrelspar.peers.broker_link import BrokerLink
from kestrelspar.peers.brokers import BrokerConfig
from kestrelspar.peers.messages import LeaseRenewal, LeaseReply, Ping, Subscribe
from kestrelspar.peers.seal import MAX_DATAGRAM_BYTES, DatagramRejectedError, Sealer, keys
from kestrelspar.peers.status_socket import query_status
from kestrelspar.runtime.loop import Loop
from tests.test_program import ROOT, TEST_TIMEOUT, wait_until

KEY, OTHER = "a key that all couriers here have", "another key that all will have"
RUN = [sys.executable, "-m", "kestrelspar"]


def free_address() -> tuple[str, int]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1", int(sock.getsockname()[1])


class BrokerProcess:
    """A broker process with its settings, state directory and log."""

    def __init__(
        self, directory: Path, name: str = "eu/b1", more: str = "", program: list[str] | None = None, **options: Any
    ) -> None:
        self.directory, self.state = directory, directory / "state"
        self.state.mkdir(exist_ok=True, parents=True)
        self.address = free_address()
        self.configure([KEY], more)
        self.log = directory / "log"
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                [
                    *(program or RUN),
                    "broker",
                    "--conf",
                    str(directory / "k.conf"),
                    "--name",
                    name,
                    "--state",
                    str(self.state),
                ],
                stdout=out,
                stderr=out,
                cwd=ROOT,
                **options,
            )

    def configure(self, secrets: list[str], more: str = "") -> None:
        """Write the key files and the settings; ``more``: further lines of the section ``peers``."""
        for number, secret in enumerate(secrets):
            (self.directory / f"key{number}").write_text(secret)
            (self.directory / f"key{number}").chmod(0o600)
        files = " ".join(f"key{number}" for number in range(len(secrets)))
        (self.directory / "k.conf").write_text(
            f"peers\n  key-file {files}\n  region eu\n  couriers 10\n"
            f"  broker eu/b1 {self.address[0]}:{self.address[1]}\n  broker eu/b2 127.0.0.1:9\n{more}"
        )

    def log_text(self) -> str:
        return self.log.read_text()

    def wait_until_ready(self) -> BrokerProcess:
        wait_until(lambda: "event=broker-serves" in self.log_text() or self.process.poll() is not None)
        assert "event=broker-serves" in self.log_text(), self.log_text()
        return self

    def status(self) -> dict[str, Any]:
        return query_status(str(self.state))

    def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        self.process.send_signal(number)
        return self.process.wait(TEST_TIMEOUT)


@pytest.fixture
def started() -> Iterator[list[BrokerProcess]]:
    found: list[BrokerProcess] = []
    yield found
    for each in found:
        if each.process.poll() is None:
            each.process.kill()
        each.process.wait()


class FakeCourier:
    """A courier's socket and sealer."""

    def __init__(self, name: str = "n1", epoch: int = 5, secret: str = KEY) -> None:
        self.sealer, self.number = Sealer(name, epoch, keys([secret])), int(name[1:])
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(0.5)
        self.host, self.port = self.socket.getsockname()
        self.n = 0

    def renewal(self, known: int = 0) -> LeaseRenewal:
        self.n += 1
        return LeaseRenewal(self.n, self.host, self.port, self.number, known, 1, 0, 0)

    def renew(self, to: BrokerProcess, known: int = 0, listen: tuple[str, int] | None = None) -> int:
        """Renew until a broker replies, and return its epoch; 0 after 20 attempts without a reply."""
        for _ in range(20):
            self.socket.sendto(self.sealer.seal("eu/b1", [self.renewal(known)]), listen or to.address)
            try:
                datagram = self.sealer.open(self.socket.recv(MAX_DATAGRAM_BYTES + 1))
            except (TimeoutError, DatagramRejectedError):  # a courier rejects datagrams of an older epoch
                continue
            if any(isinstance(message, LeaseReply) for message in datagram.messages):
                return datagram.epoch
        return 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_broker_serves_answers_status_requests_and_shuts_down_cleanly(
    tmp_path: Path, started: list[BrokerProcess], number: signal.Signals
) -> None:
    started.append(broker := BrokerProcess(tmp_path).wait_until_ready())
    first = broker.status()
    assert first["broker"] == "eu/b1" and first["region"] == "eu" and first["life"] > 0
    as_text = subprocess.run(
        [*RUN, "peers", "status", "--state", str(broker.state)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT,
        check=False,
    )
    assert as_text.returncode == 0 and "broker: eu/b1" in as_text.stdout and f"life: {first['life']}" in as_text.stdout
    as_json = subprocess.run(
        [*RUN, "peers", "status", "--state", str(broker.state), "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT,
        check=False,
    )
    assert ujson.loads(as_json.stdout)["life"] == first["life"]
    budgets = subprocess.run(
        [*RUN, "peers", "budgets", "--state", str(broker.state)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT,
        check=False,
    )
    assert budgets.returncode == 1 and "is the folder of a broker" in budgets.stderr
    assert broker.stop(number) == 0
    assert "event=broker-ends" in broker.log_text() and "event=fault" not in broker.log_text()
    assert not (broker.state / "peers.sock").exists()
    started.append(restarted := BrokerProcess(tmp_path).wait_until_ready())
    second = restarted.status()["life"]
    assert second > first["life"] and restarted.stop() == 0
    for file in restarted.state.iterdir():
        file.unlink()
    started.append(empty := BrokerProcess(tmp_path).wait_until_ready())
    assert empty.status()["life"] > second and empty.stop() == 0


def test_bad_input_is_dropped_and_counted_and_does_not_disturb_service(
    tmp_path: Path, started: list[BrokerProcess]
) -> None:
    started.append(broker := BrokerProcess(tmp_path).wait_until_ready())
    courier, pick = FakeCourier(), Random(3)
    good = courier.sealer.seal("eu/b1", [Ping(1)])
    bad = [
        pick.randbytes(300),
        b"",
        b"KP1",
        good[:-1],
        good[:15],
        bytes([*good[:-1], good[-1] ^ 1]),
        pick.randbytes(1_500),
        good + bytes(2_000),
        good,
        good,
        courier.sealer.seal("eu/b2", [Ping(1)]),
        Sealer("n1", 9, keys([OTHER])).seal("eu/b1", [Ping(1)]),
    ]
    for data in bad:
        courier.socket.sendto(data, broker.address)
    expected = {"foreign": 4, "forged": 3, "oversized": 2, "replayed": 1, "misdirected": 1}
    wait_until(lambda: sum(broker.status()["dropped"].values()) >= sum(expected.values()))
    assert broker.status()["dropped"] == expected
    for _ in range(5_000):  # more than one turn of the loop reads; the socket buffer overflows and drops the rest
        courier.socket.sendto(pick.randbytes(200), broker.address)
    courier.socket.settimeout(0.1)
    assert courier.renew(broker) == broker.status()["life"], "the broker still answers"
    assert broker.status()["dropped"]["foreign"] > 1_000
    assert broker.stop() == 0 and "event=fault" not in broker.log_text()


def test_a_closed_port_of_a_courier_does_not_disturb_others(tmp_path: Path, started: list[BrokerProcess]) -> None:
    started.append(broker := BrokerProcess(tmp_path).wait_until_ready())
    closed = FakeCourier("n7")
    assert closed.renew(broker)
    closed.socket.sendto(closed.sealer.seal("eu/b1", [Subscribe(1, [1, 2, 3])]), broker.address)
    closed.socket.close()
    open_courier = FakeCourier("n1")
    for _ in range(20):
        assert open_courier.renew(broker) == broker.status()["life"]
    assert broker.stop() == 0 and "event=fault" not in broker.log_text()


def test_datagrams_that_the_system_refuses_to_send_are_counted_and_lost() -> None:
    class FullSocket:
        def sendto(self, data: bytes, address: tuple[str, int]) -> int:
            raise OSError(errno.ENOBUFS if address[1] == 1 else errno.EAGAIN, "not now")

    config = BrokerConfig("eu/b1", "eu", ("127.0.0.1", 9), 1, keys([KEY]), {"eu/b1": ("127.0.0.1", 9)}, 10)
    link = BrokerLink(Loop(), config, FullSocket(), "")  # type: ignore[arg-type]
    link._send([(("127.0.0.1", 1), b"x"), (("127.0.0.1", 2), b"y"), (("127.0.0.1", 1), b"z")])
    assert link.status()["unsent"] == {"ENOBUFS": 2, "EAGAIN": 1}


def test_keys_are_reloaded_and_invalid_settings_change_nothing(tmp_path: Path, started: list[BrokerProcess]) -> None:
    started.append(broker := BrokerProcess(tmp_path).wait_until_ready())
    broker.configure([])
    broker.process.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=configuration-not-taken" in broker.log_text())
    assert "peers.key-file: has no value" in broker.log_text() and FakeCourier().renew(broker)
    broker.configure([OTHER, KEY], more="  broker eu/b3 127.0.0.1:10\n")
    broker.process.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=configuration-read at_next_start=broker" in broker.log_text())
    other = FakeCourier("n2", secret=OTHER)
    assert other.renew(broker) == broker.status()["life"]
    assert broker.stop() == 0


def test_the_older_of_two_brokers_with_one_name_reports_it(tmp_path: Path, started: list[BrokerProcess]) -> None:
    started.append(older := BrokerProcess(tmp_path / "one").wait_until_ready())
    time.sleep(0.01)  # so that the second one's epoch, taken from the clock's milliseconds, is higher
    second_address = free_address()
    younger = BrokerProcess(tmp_path / "two", more=f"  listen {second_address[0]}:{second_address[1]}\n")
    started.append(younger.wait_until_ready())
    first, second = FakeCourier("n1"), FakeCourier("n2")
    assert first.renew(older) == older.status()["life"]
    epoch = first.renew(younger, listen=second_address)
    assert epoch == younger.status()["life"] > older.status()["life"]
    first.socket.sendto(first.sealer.seal("eu/b1", [first.renewal(known=epoch)]), older.address)
    assert FakeCourier("n3").renew(older) == older.status()["life"]
    assert "broker-name-twice" not in older.log_text(), "a single courier could be lying to remove it"
    assert second.renew(younger, listen=second_address) == epoch
    second.socket.sendto(second.sealer.seal("eu/b1", [second.renewal(known=epoch)]), older.address)
    wait_until(lambda: "event=broker-name-twice" in older.log_text())
    wait_until(lambda: older.status()["stepped_back"])
    assert "event=broker-name-twice" not in younger.log_text() and first.renew(younger, epoch, second_address) == epoch
    assert older.stop() == 0 and younger.stop() == 0


# Name of the broker, further lines of the section ``peers``, a column that is not used, and texts expected in the log.
SETTINGS_ERRORS = [
    ("eu/b9", "", [], ["peers.broker: no broker is named eu/b9 (wanted: eu/b1, eu/b2)"]),
    ("eu/b1", "  key-file none\n", [], ["peers.key-file: ", "No such file"]),
    ("eu/b9", "  period 1ms\n", [], ["k.conf:7: peers.period: '1ms' is out of bounds"]),
    ("eu/b1", "  broker eu/b3 127.0.0.1:9\n", [], ["k.conf:7: peers.broker eu/b3: has the address of eu/b2"]),
]


@pytest.mark.parametrize(("name", "more", "secrets", "expected"), SETTINGS_ERRORS)
def test_a_broker_with_invalid_settings_exits_at_once_with_code_2(
    tmp_path: Path, started: list[BrokerProcess], name: str, more: str, secrets: list[str], expected: list[str]
) -> None:
    started.append(broker := BrokerProcess(tmp_path, name, more))
    assert broker.process.wait(TEST_TIMEOUT) == 2
    assert [text for text in expected if text not in broker.log_text()] == [] and "Traceback" not in broker.log_text()


def test_a_missing_key_an_address_in_use_or_an_unusable_state_directory_prevents_the_start(
    tmp_path: Path, started: list[BrokerProcess]
) -> None:
    keyless = tmp_path / "keyless"
    keyless.mkdir()
    (keyless / "k.conf").write_text("peers\n  region eu\n  broker eu/b1 127.0.0.1:9\n")
    started.append(first := BrokerProcess(tmp_path / "first").wait_until_ready())
    (tmp_path / "file").write_text("")
    conf, state = str(tmp_path / "first" / "k.conf"), str(tmp_path / "first")
    # ``eu/b2`` does not run, so in the cases with it the address is free and only the state directory is wrong.
    for arguments, expected in (
        (["--conf", str(keyless / "k.conf"), "--name", "eu/b1"], "peers.key-file: names 0 files"),
        (["--conf", conf, "--name", "eu/b1", "--state", state], "Address already in use"),
        (["--conf", conf, "--name", "eu/b2", "--state", str(tmp_path / "file")], "is a file"),
        (["--conf", conf, "--name", "eu/b2", "--state", "/proc"], "the state directory /proc can't be written"),
        (["--conf", str(tmp_path / "none"), "--name", "eu/b1"], "does not exist"),
    ):
        done = subprocess.run(
            [*RUN, "broker", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=TEST_TIMEOUT, check=False
        )
        assert done.returncode == 2 and expected in done.stdout + done.stderr, done.stdout + done.stderr
        assert "Traceback" not in done.stdout + done.stderr
    assert first.status()["life"] == ujson.loads((first.state / "broker").read_text())["life"]
    assert first.stop() == 0


def test_a_full_disk_does_not_stop_a_broker_from_serving(tmp_path: Path, started: list[BrokerProcess]) -> None:
    def limit_file_size() -> None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.getrlimit(resource.RLIMIT_FSIZE)[1]))

    reader, writer = os.pipe()  # the log must not be subject to the same limit
    broker = BrokerProcess.__new__(BrokerProcess)
    broker.directory, broker.state, broker.address = tmp_path, tmp_path / "state", free_address()
    broker.state.mkdir()
    broker.configure([KEY])
    broker.log = tmp_path / "log"
    broker.log.write_text("")
    broker.process = subprocess.Popen(
        [*RUN, "broker", "--conf", str(tmp_path / "k.conf"), "--name", "eu/b1", "--state", str(broker.state)],
        stdout=writer,
        cwd=ROOT,
        preexec_fn=limit_file_size,
    )
    started.append(broker)
    os.close(writer)
    with os.fdopen(reader) as log:
        lines = []
        for line in log:
            lines.append(line)
            if "event=broker-serves" in line:
                break
        assert any("event=peers-not-kept" in line for line in lines), lines
        assert FakeCourier().renew(broker) == broker.status()["life"]
        assert broker.stop() == 0
