"""TLS and access control: key files, expiry, reload, client certificates, password hashes, networks, back-off."""

from __future__ import annotations

import dataclasses
import ssl
from datetime import UTC, datetime, timedelta
from ipaddress import IPv4Network
from pathlib import Path

import pytest
import trustme

from kestrelspar import keys as keys_module
from kestrelspar import passwords
from kestrelspar.keys import TlsStore
from kestrelspar.passwords import Verifier, hash_password
from kestrelspar.runtime import tls
from kestrelspar.runtime.loop import SECOND, connect
from kestrelspar.settings import conf as conf_file
from kestrelspar.settings import resolve
from kestrelspar.settings.lines import ConfErrors
from kestrelspar.smpp import access
from kestrelspar.smpp.client import SmppCarrier
from kestrelspar.smpp.pdu import Command, Status
from tests.smpp.test_operations import submit
from tests.smpp_standins import StandInContractor, StandInGateway, gateway
from tests.test_smpp import SmppTestbed

CA = trustme.CA()


def write_files(directory: Path, name: str = "hub.example", days: int = 365, ca: trustme.CA = CA) -> None:
    cert = ca.issue_cert(name, "127.0.0.1", not_after=datetime.now(UTC) + timedelta(days=days))
    (directory / "cert.pem").write_bytes(b"".join(blob.bytes() for blob in cert.cert_chain_pems))
    (directory / "key.pem").write_bytes(cert.private_key_pem.bytes())
    (directory / "key.pem").chmod(0o600)
    (directory / "ca.pem").write_bytes(ca.cert_pem.bytes())


def conf(directory: Path, more: str = "    clients wanted", rest: str = "") -> conf_file.Conf:
    (directory / "conf").write_text(
        f"tls main\n    certificate cert.pem\n    key key.pem\n    authorities ca.pem\n{more}\n{rest}"
    )
    return conf_file.load(str(directory / "conf"))


def client(cert: trustme.LeafCert | None = None) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    CA.configure_trust(context)
    if cert is not None:
        cert.configure_cert(context)
    return context


def secure(testbed: SmppTestbed, directory: Path, **account: object) -> TlsStore:
    """Switches the listener to TLS, and changes fields of its accounts."""
    write_files(directory)
    keys = TlsStore(conf(directory))
    config = testbed.server.config
    accounts = tuple(dataclasses.replace(a, **account) for a in config.accounts)  # type: ignore[arg-type]
    testbed.server.config = dataclasses.replace(config, tls="main", accounts=accounts)
    testbed.server._keys = keys
    return keys


def connect_contractor(testbed: SmppTestbed, context: ssl.SSLContext) -> StandInContractor | None:
    connected: list[StandInContractor | None] = []

    def dial() -> None:
        stream = tls.dial(
            testbed.loop, testbed.buffers, testbed.address, testbed.loop.now + SECOND, context, "hub.example"
        )
        connected.append(
            None
            if stream is None
            else StandInContractor(testbed.loop, testbed, testbed.address, Command.BIND_TRANSCEIVER, stream=stream)
        )

    testbed.loop.spawn(dial)
    testbed.run_until(
        lambda: connected and (connected[0] is None or connected[0].answers or connected[0].stream.sock.fileno() < 0)
    )
    return connected[0]


def test_contractors_bind_and_submit_over_tls_and_connections_without_tls_are_closed(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    secure(testbed, tmp_path)
    stalled: list[object] = []  # a connection that sends nothing
    testbed.loop.spawn(lambda: stalled.append(connect(testbed.loop, testbed.address, testbed.loop.now + SECOND)))
    contractor = connect_contractor(testbed, client())
    assert contractor is not None and contractor.answers[0].status == 0
    plain: list[StandInContractor] = []
    testbed.loop.spawn(
        lambda: plain.append(StandInContractor(testbed.loop, testbed, testbed.address, Command.BIND_RECEIVER))
    )
    testbed.run_until(lambda: plain and plain[0].stream.sock.fileno() < 0)
    name = submit(testbed, contractor)
    testbed.run_until(lambda: name in contractor.final_states())
    testbed.run_for(6 * SECOND)
    assert len(testbed.server._connections) == 1, "the connection that stalled in its handshake was not closed"


@pytest.mark.parametrize(
    ("presented", "status"),
    [("acme.example", Status.ESME_ROK), ("other.example", Status.ESME_RBINDFAIL), (None, Status.ESME_RBINDFAIL)],
)
def test_an_account_may_require_a_client_certificate(tmp_path: Path, presented: str | None, status: Status) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open()
    secure(testbed, tmp_path, certificate="acme.example")
    contractor = connect_contractor(testbed, client(CA.issue_cert(presented) if presented else None))
    assert contractor is not None and contractor.answers[0].status == status


def test_a_gateway_is_connected_over_tls_and_its_name_is_verified(tmp_path: Path) -> None:
    hub = SmppTestbed(tmp_path / "hub") if (tmp_path / "hub").mkdir() is None else None
    assert hub is not None
    hub.open()
    secure(hub, tmp_path)
    # Another courier's listener acts as the gateway: it rejects the destination, as a gateway may do.
    hub_keys = hub.server._keys
    for name, bound in (("hub.example", True), ("other.example", False)):
        carrier = SmppCarrier(
            hub.loop,
            hub.buffers,
            hub.courier.settings,
            (gateway(hub.address, system_id="acme", password="secret", tls="main", server_name=name, stay_bound=True),),
            keys=hub_keys,
        )
        carrier.start()
        hub.run_for(SECOND)
        assert next(iter(carrier._links.values())).is_receiving() is bound
        carrier.shut_down()


def test_reloaded_files_apply_to_new_connections_and_bad_ones_change_nothing(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open()
    keys = secure(testbed, tmp_path)
    old = connect_contractor(testbed, client())
    assert old is not None
    write_files(tmp_path, "hub.example", ca=trustme.CA())
    keys.reload_files(conf(tmp_path))
    assert connect_contractor(testbed, client()) is None, "the certificate of the other authority was not presented"
    (tmp_path / "cert.pem").write_text("no certificate")
    with pytest.raises(ConfErrors, match=r"conf:2: tls main.certificate.*holds no certificate"):
        keys.reload_files(conf(tmp_path))
    write_files(tmp_path)
    keys.reload_files(conf(tmp_path))
    (tmp_path / "conf").write_text("log\n    level info\n")
    # The listener keeps the contexts that it was started with.
    keys.reload_files(conf_file.load(str(tmp_path / "conf")))
    assert connect_contractor(testbed, client()) is not None and old.stream.sock.fileno() >= 0


@pytest.mark.parametrize(
    ("damage", "message"),
    [
        (
            lambda directory: (directory / "key.pem").chmod(0o640),
            r"conf:3: tls main.key.*may be read by others, mode 640",
        ),
        (lambda directory: (directory / "key.pem").write_text("x"), r"tls main.certificate.*and its key are unusable"),
        (lambda directory: (directory / "key.pem").unlink(), r"tls main.key.*can't be read"),
        (lambda directory: (directory / "ca.pem").write_text("x"), r"conf:4: tls main.authorities.*can't be read"),
    ],
)
def test_unusable_files_are_named(tmp_path: Path, damage: object, message: str) -> None:
    write_files(tmp_path)
    damage(tmp_path)  # type: ignore[operator]
    with pytest.raises(ConfErrors, match=message):
        TlsStore(conf(tmp_path))


def test_references_to_missing_tls_sections_are_errors(tmp_path: Path) -> None:
    write_files(tmp_path)
    (tmp_path / "pw").write_text("secret")
    (tmp_path / "pw").chmod(0o600)
    rest = (
        "smpp\n    tls none\nsmpp-gateway g\n    address 127.0.0.1:1\n    destination 1\n    system-id us\n"
        "    password-file pw\n    tls other\n"
    )
    with pytest.raises(ConfErrors) as caught:
        resolve.keys(conf(tmp_path, "", rest))
    assert [str(error).partition(": ")[2] for error in caught.value.errors] == [
        "smpp.tls: there is no section tls none",
        "smpp-gateway g.tls: there is no section tls other",
    ]
    (tmp_path / "conf").write_text("smpp\n    enabled on\n")
    assert resolve.keys(conf_file.load(str(tmp_path / "conf"))) is None


@pytest.mark.parametrize(
    ("days", "event"), [(40, None), (20, "tls-certificate-expires"), (-1, "tls-certificate-expired")]
)
def test_an_expiry_is_logged_a_month_ahead(
    tmp_path: Path, days: int, event: str | None, capsys: pytest.CaptureFixture[str]
) -> None:
    write_files(tmp_path, days=days)
    TlsStore(conf(tmp_path)).log_expiry()
    output = capsys.readouterr().out
    assert (f"event={event} section=main" in output) if event else not output
    assert keys_module.EXPIRY_WARNING_DAYS == 30


def test_passwords_are_checked_against_hashes(monkeypatch: pytest.MonkeyPatch) -> None:
    stored, verifier = hash_password("secret"), Verifier()
    assert hash_password("secret") != stored and passwords.is_supported_hash(stored) and passwords.is_hash(stored)
    assert (
        verifier.matches(stored, "secret")
        and not verifier.matches(stored, "secreT")
        and not verifier.matches(stored, stored)
    )
    assert verifier.matches("plain", "plain") and not verifier.matches("plain", "plait")
    computed: list[int] = []
    real = passwords._scrypt
    monkeypatch.setattr(passwords, "_scrypt", lambda *given: computed.append(1) or real(*given))  # type: ignore[func-returns-value]
    assert verifier.matches(stored, "secret") and not computed, "a cached match was computed again"
    assert not verifier.matches(stored, "other") and computed
    for bad in ("$scrypt$", "$scrypt$ln=30,r=8,p=1$c2FsdHNhbHQ$" + "A" * 43, stored.replace("ln=12", "ln=99")):
        assert not passwords.is_supported_hash(bad) and not verifier.matches(bad, "secret")


def test_an_account_is_limited_to_its_networks_and_failed_binds_delay_an_address(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open()
    config = testbed.server.config
    other_networks = tuple(dataclasses.replace(a, networks=(IPv4Network("10.0.0.0/8"),)) for a in config.accounts)
    testbed.server.config = dataclasses.replace(config, accounts=other_networks)
    assert testbed.contractor().answers[0].status == Status.ESME_RBINDFAIL
    testbed.server.config = config
    assert testbed.contractor().answers[0].status == 0, "one failed bind delayed the next one"
    for _ in range(3):
        assert testbed.contractor(password="wrong").answers[0].status == Status.ESME_RINVPASWD
    throttled: list[StandInContractor] = []
    testbed.loop.spawn(
        lambda: throttled.append(StandInContractor(testbed.loop, testbed, testbed.address, Command.BIND_RECEIVER))
    )
    testbed.run_until(lambda: throttled and throttled[0].stream.sock.fileno() < 0)
    assert not throttled[0].answers  # closed without an answer
    testbed.run_for(2 * SECOND)
    assert testbed.contractor().answers[0].status == 0


def test_block_times_grow_with_refusals_and_old_refusals_are_forgotten() -> None:
    limiter = access.BindThrottle()
    block_times = [limiter.record_refusal("1.1.1.1", 0) // SECOND for _ in range(12)]
    assert block_times == [0, 0, 1, 2, 4, 8, 16, 32, 60, 60, 60, 60] and limiter.is_throttled("1.1.1.1", 59 * SECOND)
    assert not limiter.is_throttled("1.1.1.1", 60 * SECOND) and not limiter.is_throttled("1.1.1.2", 0)
    assert limiter.record_refusal("1.1.1.1", 400 * SECOND) == 0, "old refusals still count"
    for place in range(3_000):
        limiter.record_refusal(f"2.0.{place // 256}.{place % 256}", 0)
    assert len(limiter._refusals) == access.MAX_ADDRESSES
