"""``kestrelspar smpp`` against the program as it is started, with keys and a hashed password."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import trustme

from kestrelspar import passwords
from tests.bench import listener
from tests.test_program import FAR, ROOT, Program, free_port, smpp_conf, until, world

__all__ = ["world"]


def verb(*words: str, told: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "kestrelspar", *words],
        cwd=ROOT,
        input=told,
        capture_output=True,
        text=True,
        timeout=FAR,
        check=False,
    )


@pytest.fixture
def secrets(tmp_path: Path) -> list[str]:
    (tmp_path / "pw").write_text("pw\n")
    (tmp_path / "pw").chmod(0o600)
    return ["--account", "acme", "--password-file", str(tmp_path / "pw")]


def test_the_program_conforms_with_keys_and_a_hashed_password(tmp_path: Path, world: str, secrets: list[str]) -> None:
    port, ca = free_port(), trustme.CA()
    cert = ca.issue_cert("hub.example")
    ca.cert_pem.write_to_path(tmp_path / "ca.pem")
    cert.private_key_and_cert_chain_pem.write_to_path(tmp_path / "both.pem")
    (tmp_path / "both.pem").chmod(0o600)
    conf = Path(smpp_conf(tmp_path, port))
    (tmp_path / "hash").write_text(verb("smpp", "passwd", "--from-file", str(tmp_path / "pw")).stdout)
    (tmp_path / "hash").chmod(0o600)
    assert passwords.usable((tmp_path / "hash").read_text().strip())
    conf.write_text(
        conf.read_text()
        .replace("enabled on", "enabled on\n  tls main")
        .replace("password-file pw", "password-file hash")
        + "tls main\n  certificate both.pem\n"
    )
    program = Program(tmp_path, world, KESTRELSPAR_CONF=str(conf)).ready()
    there = [f"127.0.0.1:{port}", *secrets, "--tls", str(tmp_path / "ca.pem"), "--server-name", "hub.example"]
    found = verb("smpp", "conform", *there, "--to", "3721", "--json")
    report = json.loads(found.stdout)
    assert found.returncode == 0 and report["failed"] == 0 and report["cases"] >= 150, [
        row for row in report["verdicts"] if row["fault"]
    ]
    sent = verb("smpp", "send", *there, "--to", "3721", "--receipt", "Tere, õhtust!")
    assert sent.returncode == 0 and "accepted as" in sent.stdout and "stat:DELIVRD" in sent.stdout
    (tmp_path / "both.pem").chmod(0o644)
    program.process.send_signal(signal.SIGHUP)
    bad = verb("smpp", "send", f"127.0.0.1:{port}", *secrets, "--to", "3721", "x", "--within", "500ms")
    assert bad.returncode == 1 and "Error: bind_transmitter" in bad.stderr, "plain SMPP to a port with keys"
    until(lambda: program.ask("GET", "/health/ready") == 200)
    code, out = program.end(signal.SIGTERM)
    assert code == 0 and "event=fault" not in out
    assert "may be read by others, mode 644" in out and "event=tls-handshake-failed" in out


def test_a_centre_that_does_not_conform_is_told_with_exit_code_1(tmp_path: Path, secrets: list[str]) -> None:
    port = free_port()
    # The stand-in takes any account and any text: the cases must find that.
    centre = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "kestrelspar",
            "standin",
            "gateway",
            "--listen",
            f"127.0.0.1:{port}",
            "--receipts",
            "10ms",
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert centre.stdout is not None and "gateway on" in centre.stdout.readline()
        found = verb("smpp", "conform", f"127.0.0.1:{port}", *secrets, "--group", "binds", "--group", "meaning")
        assert found.returncode == 1 and "fault" in found.stdout and "│ meaning │" in found.stdout
        one = verb("smpp", "conform", f"127.0.0.1:{port}", *secrets, "--group", "binds", "--json")
        assert "bind_transceiver with another password" in {
            row["case"] for row in json.loads(one.stdout)["verdicts"] if row["fault"]
        }
        sent = verb("smpp", "send", f"127.0.0.1:{port}", *secrets, "--to", "1", "--receipt", "x")
        assert sent.returncode == 0 and "stat:DELIVRD" in sent.stdout
    finally:
        centre.send_signal(signal.SIGINT)
        out, _ = centre.communicate(timeout=FAR)
    assert "accepted" in out and "ESME_ROK" in out


@pytest.mark.parametrize(
    ("words", "code", "what"),
    [
        (["conform", "127.0.0.1:0x1", "--account", "a", "--password-file", "PW"], 2, "HOST:PORT"),
        (
            ["conform", "127.0.0.1:1", "--account", "a", "--password-file", "PW", "--group", "none"],
            2,
            "there are: binds",
        ),
        (["send", "127.0.0.1:1", "--account", "a", "--password-file", "PW", "--to", "1", "x"], 1, "no connection"),
        (["bind", "127.0.0.1:1", "--account", "a", "--password-file", "PW"], 1, "no connection"),
        (["bind", "127.0.0.1:1", "--account", "a", "--password-file", "LONG"], 2, "holds more than 8 bytes"),
        (["passwd", "--from-file", "LONG"], 1, "1 to 8 bytes"),
    ],
)
def test_what_is_wrong_is_named(tmp_path: Path, words: list[str], code: int, what: str) -> None:
    for name, text in (("PW", "secret"), ("LONG", "much too long for SMPP")):
        (tmp_path / name).write_text(text)
        (tmp_path / name).chmod(0o600)
    found = verb("smpp", *[str(tmp_path / word) if word in ("PW", "LONG") else word for word in words])
    assert found.returncode == code and what in found.stderr.replace("\n", " ")


def test_a_port_that_is_taken_is_named() -> None:
    sock, address = listener()
    found = verb("smpp", "listen", "--listen", f"{address[0]}:{address[1]}", "--for", "1s")
    assert found.returncode == 1 and f"{address[0]}:{address[1]}" in found.stderr
    sock.close()
