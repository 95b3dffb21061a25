"""What gateways send of their own, and contractors as next hops; outbind in both directions."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.core.courier import DELIVERED, FAILED
from kestrelspar.journal import Journal
from kestrelspar.runtime.buffers import Stream
from kestrelspar.runtime.loop import SECOND, connect
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu, Status
from tests.bench import listener
from tests.smpp_standins import StandInContractor, StandInGateway, gateway, read
from tests.test_smpp import Stage

INBOUND = {"37255": 901, "999": 950}


def account(stage: Stage, **more: object) -> None:
    import dataclasses

    told = stage.server.told
    accounts = tuple(dataclasses.replace(a, dest=950, kind=1, **more) for a in told.accounts)  # type: ignore[arg-type]
    stage.server.told = dataclasses.replace(told, accounts=accounts)
    stage.server.receivers.__init__(  # type: ignore[misc]
        stage.loop, accounts, told.response, stage.server._find_receiver, stage.server._request_bind
    )


def staged(folder: Path, **more: object) -> tuple[Stage, StandInGateway]:
    stage = Stage(folder)
    account(stage, **more)
    gate = StandInGateway(stage)
    other = StandInGateway(stage)
    stage.open(gateway(gate.address, inbound=INBOUND, stay_bound=True), gateway(other.address, "far", dest=901))
    stage.until(lambda: Command.BIND_TRANSCEIVER in gate.streams)
    stage.far = other  # type: ignore[attr-defined]
    return stage, gate


def arrives(
    stage: Stage,
    gate: StandInGateway,
    to: str,
    text: bytes = b"hello",
    command: Command = Command.DELIVER_SM,
) -> Pdu:
    before = len(gate.heard)
    request = Pdu(command, 70 + before, fields={"source_addr": "55", "destination_addr": to}, message=text)
    if command is Command.DATA_SM:
        request = Pdu(command, 70 + before, fields=request.fields, tlvs=[(p.MESSAGE_PAYLOAD, text)])
    gate.write(gate.bound(), request)
    stage.until(lambda: len(gate.heard) > before)
    return gate.heard[-1]


@pytest.mark.parametrize("command", [Command.DELIVER_SM, Command.DATA_SM])
def test_a_gateways_own_message_is_routed_by_its_address(tmp_path: Path, command: Command) -> None:
    stage, gate = staged(tmp_path)
    answer = arrives(stage, gate, "372551", b"to a next hop", command)
    assert answer.command == command | p.RESPONSE and answer.status == 0
    stage.until(lambda: stage.far.submits and not stage.journal.entries)  # type: ignore[attr-defined]
    sent = stage.far.submits[0]  # type: ignore[attr-defined]
    assert (sent.message or sent.tlv(p.MESSAGE_PAYLOAD)) == b"to a next hop" and sent.text("source_addr") == "55"
    assert arrives(stage, gate, "1234").status == Status.ESME_RINVDSTADR


def test_a_gateways_own_message_waits_for_a_receiver_to_bind(tmp_path: Path) -> None:
    stage, gate = staged(tmp_path)
    assert arrives(stage, gate, "9991", b"hi").status == 0
    stage.wait(SECOND)
    assert len(stage.journal.entries) == 1
    contractor = stage.contractor(Command.BIND_RECEIVER)
    stage.until(lambda: contractor.receipts and not stage.journal.entries)
    assert [(m.message, m.text("destination_addr")) for m in contractor.receipts] == [(b"hi", "9991")]


def test_it_is_answered_only_when_it_is_journalled(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    stage, gate = staged(tmp_path)
    with monkeypatch.context() as full:
        full.setattr(Journal, "_append", lambda self, record: False)
        assert arrives(stage, gate, "9991").status == Status.ESME_RX_T_APPN
    assert not stage.journal.entries and arrives(stage, gate, "9991").status == 0 and stage.journal.entries


@pytest.mark.parametrize(
    ("status", "end"), [(Status.ESME_ROK, DELIVERED), (Status.ESME_RX_R_APPN, FAILED), (None, DELIVERED)]
)
def test_a_contractors_answer_is_the_outcome(tmp_path: Path, status: Status | None, end: str) -> None:
    stage, gate = staged(tmp_path)
    ends: list[str] = []
    stage.arrivals.settle = lambda message, told: ends.append(told.state)  # type: ignore[method-assign]
    contractor = stage.contractor(Command.BIND_RECEIVER)
    contractor.replies = status
    arrives(stage, gate, "9991", b"x")
    stage.until(lambda: contractor.receipts)
    if status is None:  # silent: its session is ended before the message goes to another one
        stage.until(lambda: not stage.server._find_receiver(stage.server.told.accounts[0])[1])
        again = stage.contractor(Command.BIND_RECEIVER)
        stage.until(lambda: again.receipts)
    stage.until(lambda: ends)
    assert ends == [end] and len(contractor.receipts) == 1


def test_an_alert_is_passed_on(tmp_path: Path) -> None:
    stage, gate = staged(tmp_path)
    contractor = stage.contractor()
    gate.write(gate.bound(), Pdu(Command.ALERT_NOTIFICATION, 5, fields={"source_addr": "55", "esme_addr": "9"}))
    stage.until(lambda: contractor.answers[-1].command is Command.ALERT_NOTIFICATION)
    assert contractor.answers[-1].text("source_addr") == "55"


@pytest.mark.parametrize(("password", "bound"), [("come", True), ("wrong", False)])
def test_a_gateway_may_ask_us_to_bind(tmp_path: Path, password: str, bound: bool) -> None:
    stage = Stage(tmp_path)
    stage.open(gateway(("127.0.0.1", 9), outbind_system_id="gw", outbind_password="come", inbound=INBOUND))
    heard: list[Pdu] = []
    kept: list[Stream] = []

    def dial() -> None:
        sock = connect(stage.loop, stage.address, stage.loop.now + SECOND)
        assert sock is not None
        stream = Stream(stage.loop, sock, stage.buffers)
        kept.append(stream)
        stream.write(p.encode(Pdu(Command.OUTBIND, 1, fields={"system_id": "gw", "password": password})), None)
        heard.append(read(stream))
        stream.write(p.encode(heard[0].reply(system_id="gw")), None)
        stream.write(p.encode(Pdu(Command.ENQUIRE_LINK, 9)), None)
        heard.append(read(stream))

    stage.loop.spawn(dial)
    stage.until(lambda: len(heard) == 2 if bound else heard)
    if bound:
        assert [pdu.command for pdu in heard] == [Command.BIND_TRANSCEIVER, Command.ENQUIRE_LINK_RESP]
        assert heard[0].text("system_id") == "us"
        stage.wait(6 * SECOND)  # the time within which a guest has to bind
        assert next(iter(stage.gates._links.values())).hears()
    else:
        assert heard[0].command is Command.GENERIC_NACK


def test_a_contractor_that_has_not_bound_is_asked_to(tmp_path: Path) -> None:
    sock, address = listener()
    stage, gate = staged(tmp_path, outbind=address)
    asked: list[Pdu] = []
    made: list[StandInContractor] = []

    def host() -> None:
        stage.loop.readable(sock, None)
        conn, _ = sock.accept()
        conn.setblocking(False)
        stream = Stream(stage.loop, conn, stage.buffers)
        asked.append(read(stream))
        made.append(StandInContractor(stage.loop, stage, address, Command.BIND_RECEIVER, stream=stream))

    stage.loop.spawn(host)
    arrives(stage, gate, "9991", b"hi")
    stage.until(lambda: made and made[0].receipts and not stage.journal.entries)
    assert asked[0].command is Command.OUTBIND and made[0].receipts[0].message == b"hi"
