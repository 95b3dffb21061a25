"""``kestrelspar smpp`` against a courier process with TLS and a hashed password, and against the stand-in gateway."""

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
from tests.test_program import ROOT, TEST_TIMEOUT, Program, free_port, smpp_conf, wait_until, world

__all__ = ["world"]


def run_command(*arguments: str, stdin: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "kestrelspar", *arguments],
        cwd=ROOT,
        input=stdin,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT,
        check=False,
    )


@pytest.fixture
def secrets(tmp_path: Path) -> list[str]:
    (tmp_path / "pw").write_text("pw\n")
    (tmp_path / "pw").chmod(0o600)
    return ["--account", "acme", "--password-file", str(tmp_path / "pw")]


def test_the_courier_conforms_to_smpp_with_tls_and_a_hashed_password(
    tmp_path: Path, world: str, secrets: list[str]
) -> None:
    port, ca = free_port(), trustme.CA()
    cert = ca.issue_cert("hub.example")
    ca.cert_pem.write_to_path(tmp_path / "ca.pem")
    cert.private_key_and_cert_chain_pem.write_to_path(tmp_path / "both.pem")
    (tmp_path / "both.pem").chmod(0o600)
    conf = Path(smpp_conf(tmp_path, port))
    (tmp_path / "hash").write_text(run_command("smpp", "passwd", "--from-file", str(tmp_path / "pw")).stdout)
    (tmp_path / "hash").chmod(0o600)
    assert passwords.is_supported_hash((tmp_path / "hash").read_text().strip())
    conf.write_text(
        conf.read_text()
        .replace("enabled on", "enabled on\n  tls main")
        .replace("password-file pw", "password-file hash")
        + "tls main\n  certificate both.pem\n"
    )
    program = Program(tmp_path, world, KESTRELSPAR_CONF=str(conf)).ready()
    connection = [f"127.0.0.1:{port}", *secrets, "--tls", str(tmp_path / "ca.pem"), "--server-name", "hub.example"]
    conformance = run_command("smpp", "conform", *connection, "--to", "3721", "--json")
    report = json.loads(conformance.stdout)
    assert conformance.returncode == 0 and report["failed"] == 0 and report["cases"] >= 150, [
        row for row in report["verdicts"] if row["fault"]
    ]
    sent = run_command("smpp", "send", *connection, "--to", "3721", "--receipt", "Tere, õhtust!")
    assert sent.returncode == 0 and "accepted as" in sent.stdout and "stat:DELIVRD" in sent.stdout
    (tmp_path / "both.pem").chmod(0o644)
    program.process.send_signal(signal.SIGHUP)
    refused = run_command("smpp", "send", f"127.0.0.1:{port}", *secrets, "--to", "3721", "x", "--within", "500ms")
    assert refused.returncode == 1 and "Error: bind_transmitter" in refused.stderr, "plain SMPP on a port with TLS"
    wait_until(lambda: program.request_status("GET", "/health/ready") == 200)
    code, out = program.end(signal.SIGTERM)
    assert code == 0 and "event=fault" not in out
    assert "may be read by others, mode 644" in out and "event=tls-handshake-failed" in out


def test_a_message_centre_that_does_not_conform_gives_exit_code_1(tmp_path: Path, secrets: list[str]) -> None:
    port = free_port()
    # The stand-in accepts any account and any text, which some conformance cases must report.
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
        result = run_command("smpp", "conform", f"127.0.0.1:{port}", *secrets, "--group", "binds", "--group", "meaning")
        assert result.returncode == 1 and "fault" in result.stdout and "│ meaning │" in result.stdout
        binds_only = run_command("smpp", "conform", f"127.0.0.1:{port}", *secrets, "--group", "binds", "--json")
        assert "bind_transceiver with another password" in {
            row["case"] for row in json.loads(binds_only.stdout)["verdicts"] if row["fault"]
        }
        sent = run_command("smpp", "send", f"127.0.0.1:{port}", *secrets, "--to", "1", "--receipt", "x")
        assert sent.returncode == 0 and "stat:DELIVRD" in sent.stdout
    finally:
        centre.send_signal(signal.SIGINT)
        out, _ = centre.communicate(timeout=TEST_TIMEOUT)
    assert "accepted" in out and "ESME_ROK" in out


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
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
def test_errors_are_reported_with_their_exit_code(
    tmp_path: Path, arguments: list[str], code: int, message: str
) -> None:
    for name, text in (("PW", "secret"), ("LONG", "much too long for SMPP")):
        (tmp_path / name).write_text(text)
        (tmp_path / name).chmod(0o600)
    result = run_command("smpp", *[str(tmp_path / each) if each in ("PW", "LONG") else each for each in arguments])
    assert result.returncode == code and message in result.stderr.replace("\n", " ")


def test_listen_reports_an_address_in_use() -> None:
    sock, address = listener()
    result = run_command("smpp", "listen", "--listen", f"{address[0]}:{address[1]}", "--for", "1s")
    assert result.returncode == 1 and f"{address[0]}:{address[1]}" in result.stderr
    sock.close()
