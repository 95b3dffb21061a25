"""Exceptions that nobody foresaw, over SMPP: submits get a response, and no window fills up."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from kestrelspar.core.messages import Message
from kestrelspar.runtime.buffers import Stream
from kestrelspar.runtime.loop import SECOND, connect
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp import session
from kestrelspar.smpp.pdu import Command, Destination, Pdu, State, Status
from kestrelspar.smpp.session import Session
from tests.injected_faults import Unforeseen, raise_first, raise_unforeseen
from tests.smpp.test_inbound import open_testbed, send_from_gateway
from tests.smpp.test_operations import exchange, submit
from tests.smpp.test_parts import SAR, submit_part
from tests.smpp_standins import StandInGateway, gateway
from tests.test_smpp import SmppTestbed

WINDOW_FILLS = 40  # requests, more than an account's window has room for


@pytest.mark.parametrize("command", [Command.SUBMIT_SM, Command.DATA_SM, Command.SUBMIT_MULTI])
@pytest.mark.parametrize("step", ["_build_message", "_check_admission"])
def test_an_exception_in_a_submission_gets_a_response_and_takes_no_room(
    tmp_path: Path, command: Command, step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a session that is throttled for ever, as its failed submits count as pending.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    fields = {"service_type": "WO", "source_addr": "100"}
    if command is not Command.SUBMIT_MULTI:
        fields["destination_addr"] = "3725550"
    dests = [Destination("3725550")] if command is Command.SUBMIT_MULTI else None
    monkeypatch.setattr(testbed.server if step == "_build_message" else testbed.courier, step, raise_unforeseen)
    text = b"" if command is Command.DATA_SM else b"x"
    for _ in range(WINDOW_FILLS):
        assert exchange(testbed, contractor, command, text, dests=dests, **fields).status == Status.ESME_RSYSERR
    monkeypatch.undo()
    assert exchange(testbed, contractor, command, text, dests=dests, **fields).status == 0
    testbed.run_until(lambda: not testbed.journal.entries, within=5 * SECOND)
    assert len(gate.submits) == 1


@pytest.mark.parametrize("step", ["acquire", "record_response", "_transmitting"])
@pytest.mark.parametrize("service", ["RD", "WO", "PAY"])
def test_an_exception_in_a_gateways_link_takes_no_final_state_and_no_window(
    tmp_path: Path, step: str, service: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a gateway that gets nothing any more, as its windows count submits of tasks that have ended.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    (link,) = testbed.gateways._links.values()
    real, raised = getattr(link, step), []

    def raise_sometimes(*args: object) -> object:
        raised.append(1)
        if len(raised) % 3 == 1:
            raise Unforeseen
        return real(*args)

    monkeypatch.setattr(link, step, raise_sometimes)
    contractor = testbed.contractor()
    ids = []
    for number in range(12):
        fields = {"service_type": service, "source_addr": "100", "destination_addr": "3725550"}
        text = f"{service}-{number}".encode()
        ids.append(exchange(testbed, contractor, Command.SUBMIT_SM, text, registered_delivery=1, **fields))
        testbed.run_for(SECOND // 5)
    testbed.run_until(lambda: len(contractor.receipts) >= 12 and not testbed.journal.entries, within=20 * SECOND)
    assert {frozenset(states) for states in contractor.final_states().values()} == {frozenset({State.DELIVERED})}
    assert all(count == 1 for count in gate.effects.values()) and len(gate.effects) == 12
    assert not any(bound.window.in_flight for bound in link.sessions) and not link.attempts_in_progress


@pytest.mark.parametrize("step", ["add", "classify"])
def test_an_exception_around_a_held_part_ends_it(tmp_path: Path, step: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against an accepted part that is held nowhere.
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 1)))
    contractor = testbed.contractor()
    real, calls = getattr(testbed.server._reassembler, step), []

    def raise_in_hold(*args: object) -> object:
        calls.append(1)
        if step == "add" or len(calls) == 2:  # the first call is before the part is accepted
            raise Unforeseen
        return real(*args)

    monkeypatch.setattr(testbed.server._reassembler, step, raise_in_hold)
    response = submit_part(testbed, contractor, SAR, 9, 1)
    assert response.status == 0
    testbed.run_until(lambda: contractor.receipts and not testbed.journal.entries, within=5 * SECOND)
    assert contractor.final_states() == {response.text("message_id"): {State.EXPIRED}}
    assert not testbed.server._held_parts


@pytest.mark.parametrize("step", ["_join", "_register_open"])
def test_an_exception_while_parts_are_joined_leaves_none_without_a_final_state(
    tmp_path: Path, step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against parts that are neither held nor joined after the last one has come.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    ids = {submit_part(testbed, contractor, SAR, 9, place).text("message_id") for place in (1, 2)}
    raise_first(testbed.server, step, 1, monkeypatch)
    last = submit_part(testbed, contractor, SAR, 9, 3)
    testbed.run_until(lambda: len(contractor.receipts) >= 3 - bool(last.status), within=40 * SECOND)
    testbed.run_until(lambda: not testbed.journal.entries and not testbed.server._held_parts, within=40 * SECOND)
    states = contractor.final_states()
    assert ids <= set(states) and all(len(ends) == 1 for ends in states.values())
    if step == "_join":
        assert set(map(frozenset, states.values())) == {frozenset({State.DELIVERED})}, "they could still be delivered"


def test_an_exception_at_one_expired_part_leaves_the_others_their_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 1)))
    contractor = testbed.contractor()
    ids = [submit_part(testbed, contractor, SAR, 9, place).text("message_id") for place in (1, 2)]
    first = min(testbed.server._held_parts)
    real = testbed.server._fail_part

    def fail_part(message: Message) -> None:
        if message.number == first:
            raise Unforeseen
        real(message)

    monkeypatch.setattr(testbed.server, "_fail_part", fail_part)
    testbed.run_until(lambda: contractor.receipts, within=40 * SECOND)
    assert contractor.final_states() == {ids[1]: {State.EXPIRED}}


@pytest.mark.parametrize("command", [Command.QUERY_SM, Command.CANCEL_SM, Command.REPLACE_SM])
def test_an_exception_in_an_operation_is_answered_and_leaves_the_session(
    tmp_path: Path, command: Command, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against one request that ends the session, and with it the wait for the responses to all others.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    number = submit(testbed, contractor, schedule_delivery_time="000000000100000R")
    monkeypatch.setattr(testbed.server, "_find_open", raise_unforeseen)
    response = exchange(testbed, contractor, command, message_id=number, source_addr="100")
    assert response.status == Status.ESME_RSYSERR and response.command == command | p.RESPONSE
    monkeypatch.undo()
    assert exchange(testbed, contractor, Command.QUERY_SM, message_id=number, source_addr="100").status == 0


def test_an_exception_in_the_response_to_a_submit_multi_keeps_no_message(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against messages that wait for the confirmation of their client for ever, and against their being sent
    # although the client was told that they failed.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    real, dests = session.p.encode, [Destination("3725550"), Destination("3725551")]

    def encode(pdu: Pdu) -> bytes:
        if pdu.command is Command.SUBMIT_MULTI_RESP and not pdu.status:
            raise ValueError("can't be encoded")
        return real(pdu)

    monkeypatch.setattr(session.p, "encode", encode)
    response = exchange(
        testbed, contractor, Command.SUBMIT_MULTI, b"x", dests=dests, service_type="WO", source_addr="1"
    )
    assert response.status == Status.ESME_RSYSERR
    testbed.run_for(SECOND)
    assert not testbed.journal.entries and not gate.submits


@pytest.mark.parametrize("step", ["submit", "_check_admission", "_build_message"])
def test_an_exception_in_a_message_of_a_gateway_defers_it(
    tmp_path: Path, step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a deliver_sm without a response, which holds a place in the gateway's window.
    testbed, gate = open_testbed(tmp_path)
    owner = testbed.inbound if step == "_build_message" else testbed.courier
    raise_first(owner, step, 1, monkeypatch)
    assert send_from_gateway(testbed, gate, "372551").status == Status.ESME_RX_T_APPN
    assert send_from_gateway(testbed, gate, "372551").status == 0


def test_an_exception_at_a_receipt_has_it_sent_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a receipt that is lost without a response, so that its message ends as failed.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address, outcome="receipt"))
    contractor = testbed.contractor()
    number = submit(testbed, contractor)
    testbed.run_until(lambda: gate.submits and testbed.courier._awaiting)
    raise_first(testbed.gateways, "_apply_receipt", 1, monkeypatch)
    for expected in (Status.ESME_RX_T_APPN, Status.ESME_ROK):
        before = len(gate.responses)
        gate.receipt("g1", "DELIVRD")
        testbed.run_until(lambda before=before: len(gate.responses) > before)
        assert gate.responses[-1].status == expected
    testbed.run_until(lambda: contractor.receipts)
    assert contractor.final_states() == {number: {State.DELIVERED}}


def test_an_exception_in_a_bind_is_a_failed_bind(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against senders that wait for a session nobody binds.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    (link,) = testbed.gateways._links.values()
    raised = raise_first(link, "_connect", 2, monkeypatch)
    contractor = testbed.contractor()
    number = submit(testbed, contractor)
    testbed.run_until(lambda: contractor.receipts, within=20 * SECOND)
    assert contractor.final_states() == {number: {State.DELIVERED}} and len(raised) == 2


def test_an_exception_while_connections_are_accepted_ends_at_this_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a front end that runs and accepts no connection any more.
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 1)))
    raise_first(testbed.server._bind_throttle, "is_throttled", 1, monkeypatch)
    testbed.loop.spawn(connect, testbed.loop, testbed.address, testbed.loop.now + SECOND)
    testbed.run_for(SECOND)
    assert testbed.contractor().answers[0].status == 0


@pytest.mark.parametrize("after_write", [False, True])
def test_an_exception_in_a_submit_leaves_no_submit_out_on_an_open_session(
    tmp_path: Path, after_write: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against two submits of a message at once.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, pause=lambda _: SECOND if len(gate.submits) == 1 else 5_000)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    real, raised = Session._write, list[int]()

    def write(self: Session, data: bytes, deadline: int) -> None:
        if p.decode(data).command is not Command.SUBMIT_SM or raised:
            real(self, data, deadline)
            return
        if after_write:
            real(self, data, deadline)
        raised.append(1)
        raise Unforeseen

    monkeypatch.setattr(Session, "_write", write)
    number = submit(testbed, contractor, service="RD")
    testbed.run_until(lambda: contractor.receipts, within=20 * SECOND)
    assert raised and contractor.final_states() == {number: {State.DELIVERED}}
    assert not gate.concurrent_copies


def test_an_exception_at_a_late_response_leaves_the_others_theirs(tmp_path: Path) -> None:
    # Guards against calls that count as still out after their session has ended.
    testbed = SmppTestbed(tmp_path)
    left, right = socket.socketpair()
    left.setblocking(False)
    ended: list[object] = []
    one = Session(testbed.loop, Stream(testbed.loop, left, testbed.buffers), "x", SECOND, SECOND)
    one._late_handlers = {1: raise_unforeseen, 2: ended.append}
    one.close()
    right.close()
    assert ended == [None]
