"""Mobile-originated messages, SMPP clients as next hops, and outbind in both directions."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.core.messages import DELIVERED, FAILED
from kestrelspar.journal import Journal
from kestrelspar.runtime.buffers import Stream
from kestrelspar.runtime.loop import SECOND, connect
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu, Status
from tests.bench import listener
from tests.smpp_standins import StandInContractor, StandInGateway, gateway, read_pdu
from tests.test_smpp import SmppTestbed

INBOUND = {"37255": 901, "999": 950}


def give_account_a_destination(testbed: SmppTestbed, **more: object) -> None:
    import dataclasses

    config = testbed.server.config
    accounts = tuple(dataclasses.replace(a, dest=950, kind=1, **more) for a in config.accounts)  # type: ignore[arg-type]
    testbed.server.config = dataclasses.replace(config, accounts=accounts)
    # The constructor has read the accounts, so it runs again on the object that the server uses.
    testbed.server.receivers.__init__(  # type: ignore[misc]
        testbed.loop, accounts, config.response_timeout, testbed.server._find_receiver, testbed.server._request_bind
    )


def open_testbed(directory: Path, **more: object) -> tuple[SmppTestbed, StandInGateway]:
    """A testbed with a gateway that sends messages, and ``testbed.far``, the next hop of destination 901."""
    testbed = SmppTestbed(directory)
    give_account_a_destination(testbed, **more)
    gate = StandInGateway(testbed)
    other = StandInGateway(testbed)
    testbed.open(gateway(gate.address, inbound=INBOUND, stay_bound=True), gateway(other.address, "far", dest=901))
    testbed.run_until(lambda: Command.BIND_TRANSCEIVER in gate.streams)
    testbed.far = other  # type: ignore[attr-defined]
    return testbed, gate


def send_from_gateway(
    testbed: SmppTestbed,
    gate: StandInGateway,
    to: str,
    text: bytes = b"hello",
    command: Command = Command.DELIVER_SM,
) -> Pdu:
    before = len(gate.responses)
    request = Pdu(command, 70 + before, fields={"source_addr": "55", "destination_addr": to}, message=text)
    if command is Command.DATA_SM:
        request = Pdu(command, 70 + before, fields=request.fields, tlvs=[(p.MESSAGE_PAYLOAD, text)])
    gate.write(gate.receiving_stream(), request)
    testbed.run_until(lambda: len(gate.responses) > before)
    return gate.responses[-1]


@pytest.mark.parametrize("command", [Command.DELIVER_SM, Command.DATA_SM])
def test_a_mobile_originated_message_is_routed_by_its_address(tmp_path: Path, command: Command) -> None:
    testbed, gate = open_testbed(tmp_path)
    answer = send_from_gateway(testbed, gate, "372551", b"to a next hop", command)
    assert answer.command == command | p.RESPONSE and answer.status == 0
    testbed.run_until(lambda: testbed.far.submits and not testbed.journal.entries)  # type: ignore[attr-defined]
    sent = testbed.far.submits[0]  # type: ignore[attr-defined]
    assert (sent.message or sent.tlv(p.MESSAGE_PAYLOAD)) == b"to a next hop" and sent.text("source_addr") == "55"
    assert send_from_gateway(testbed, gate, "1234").status == Status.ESME_RINVDSTADR


def test_a_mobile_originated_message_waits_for_a_receiver_to_bind(tmp_path: Path) -> None:
    testbed, gate = open_testbed(tmp_path)
    assert send_from_gateway(testbed, gate, "9991", b"hi").status == 0
    testbed.run_for(SECOND)
    assert len(testbed.journal.entries) == 1
    contractor = testbed.contractor(Command.BIND_RECEIVER)
    testbed.run_until(lambda: contractor.receipts and not testbed.journal.entries)
    assert [(m.message, m.text("destination_addr")) for m in contractor.receipts] == [(b"hi", "9991")]


def test_a_mobile_originated_message_is_answered_only_after_it_is_journalled(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    testbed, gate = open_testbed(tmp_path)
    with monkeypatch.context() as full:
        full.setattr(Journal, "_append", lambda self, record: False)
        assert send_from_gateway(testbed, gate, "9991").status == Status.ESME_RX_T_APPN
    assert (
        not testbed.journal.entries and send_from_gateway(testbed, gate, "9991").status == 0 and testbed.journal.entries
    )


@pytest.mark.parametrize(
    ("status", "end"), [(Status.ESME_ROK, DELIVERED), (Status.ESME_RX_R_APPN, FAILED), (None, DELIVERED)]
)
def test_the_response_of_the_receiver_is_the_outcome(tmp_path: Path, status: Status | None, end: str) -> None:
    testbed, gate = open_testbed(tmp_path)
    ends: list[str] = []
    testbed.inbound.report_end = lambda message, reported: ends.append(reported.state)  # type: ignore[method-assign]
    contractor = testbed.contractor(Command.BIND_RECEIVER)
    contractor.response_status = status
    send_from_gateway(testbed, gate, "9991", b"x")
    testbed.run_until(lambda: contractor.receipts)
    if status is None:  # without a response, its session is closed before the message is sent on another one
        testbed.run_until(lambda: not testbed.server._find_receiver(testbed.server.config.accounts[0])[1])
        again = testbed.contractor(Command.BIND_RECEIVER)
        testbed.run_until(lambda: again.receipts)
    testbed.run_until(lambda: ends)
    assert ends == [end] and len(contractor.receipts) == 1


def test_an_alert_notification_is_forwarded(tmp_path: Path) -> None:
    testbed, gate = open_testbed(tmp_path)
    contractor = testbed.contractor()
    gate.write(
        gate.receiving_stream(), Pdu(Command.ALERT_NOTIFICATION, 5, fields={"source_addr": "55", "esme_addr": "9"})
    )
    testbed.run_until(lambda: contractor.answers[-1].command is Command.ALERT_NOTIFICATION)
    assert contractor.answers[-1].text("source_addr") == "55"


@pytest.mark.parametrize(("password", "bound"), [("come", True), ("wrong", False)])
def test_an_outbind_of_a_gateway_is_accepted_only_with_its_password(tmp_path: Path, password: str, bound: bool) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 9), outbind_system_id="gw", outbind_password="come", inbound=INBOUND))
    received: list[Pdu] = []
    streams: list[Stream] = []

    def dial() -> None:
        sock = connect(testbed.loop, testbed.address, testbed.loop.now + SECOND)
        assert sock is not None
        stream = Stream(testbed.loop, sock, testbed.buffers)
        streams.append(stream)
        stream.write(p.encode(Pdu(Command.OUTBIND, 1, fields={"system_id": "gw", "password": password})), None)
        received.append(read_pdu(stream))
        stream.write(p.encode(received[0].reply(system_id="gw")), None)
        stream.write(p.encode(Pdu(Command.ENQUIRE_LINK, 9)), None)
        received.append(read_pdu(stream))

    testbed.loop.spawn(dial)
    testbed.run_until(lambda: len(received) == 2 if bound else received)
    if bound:
        assert [pdu.command for pdu in received] == [Command.BIND_TRANSCEIVER, Command.ENQUIRE_LINK_RESP]
        assert received[0].text("system_id") == "us"
        testbed.run_for(6 * SECOND)  # past the time within which an incoming connection has to bind
        assert next(iter(testbed.gateways._links.values())).is_receiving()
    else:
        assert received[0].command is Command.GENERIC_NACK


def test_an_outbind_is_sent_to_an_account_that_has_not_bound(tmp_path: Path) -> None:
    sock, address = listener()
    testbed, gate = open_testbed(tmp_path, outbind=address)
    requests: list[Pdu] = []
    contractors: list[StandInContractor] = []

    def accept_outbind() -> None:
        testbed.loop.readable(sock, None)
        conn, _ = sock.accept()
        conn.setblocking(False)
        stream = Stream(testbed.loop, conn, testbed.buffers)
        requests.append(read_pdu(stream))
        contractors.append(StandInContractor(testbed.loop, testbed, address, Command.BIND_RECEIVER, stream=stream))

    testbed.loop.spawn(accept_outbind)
    send_from_gateway(testbed, gate, "9991", b"hi")
    testbed.run_until(lambda: contractors and contractors[0].receipts and not testbed.journal.entries)
    assert requests[0].command is Command.OUTBIND and contractors[0].receipts[0].message == b"hi"
