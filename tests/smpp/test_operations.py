"""The SMPP operations on accepted messages, and the response to each request in each session state.

The time "000000000100000R" is one minute from now.
"""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.runtime.loop import SECOND
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp import table
from kestrelspar.smpp.pdu import Command, Destination, Pdu, State, Status, Unsuccess
from kestrelspar.smpp.table import SessionState, Side
from tests.smpp_standins import StandInContractor, StandInGateway, gateway
from tests.test_smpp import SmppTestbed

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)
BINDS = {
    SessionState.TX: Command.BIND_TRANSMITTER,
    SessionState.RX: Command.BIND_RECEIVER,
    SessionState.TRX: Command.BIND_TRANSCEIVER,
}


def exchange(
    testbed: SmppTestbed,
    contractor: StandInContractor,
    command: Command,
    message: bytes = b"",
    tlvs: list[tuple[int, bytes]] | None = None,
    dests: list[Destination] | None = None,
    **fields: Any,
) -> Pdu:
    """Send one request and return its response."""
    before = len(contractor.answers)
    contractor.sequence += 1
    request = Pdu(command, contractor.sequence, 0, fields, message, tlvs or [], dests or [])
    testbed.loop.spawn(lambda: contractor.stream.write(p.encode(request), None))
    testbed.run_until(lambda: len(contractor.answers) > before)
    return contractor.answers[-1]


def submit(
    testbed: SmppTestbed, contractor: StandInContractor, text: bytes = b"x", service: str = "WO", **fields: Any
) -> str:
    answer = exchange(
        testbed,
        contractor,
        Command.SUBMIT_SM,
        text,
        service_type=service,
        source_addr="100",
        destination_addr=fields.pop("destination_addr", "3725550"),
        registered_delivery=1,
        **fields,
    )
    assert answer.status == 0, answer
    return answer.text("message_id")


def request_by_id(
    testbed: SmppTestbed,
    contractor: StandInContractor,
    command: Command,
    message_id: str,
    message: bytes = b"",
    source: str = "100",
) -> Pdu:
    return exchange(testbed, contractor, command, message, message_id=message_id, source_addr=source)


def query_state(testbed: SmppTestbed, contractor: StandInContractor, message_id: str) -> int:
    """The message_state by query_sm; if that is refused, its command_status as a negative number."""
    answer = request_by_id(testbed, contractor, Command.QUERY_SM, message_id)
    return answer.number("message_state") if answer.status == 0 else -answer.status


def retain_ended(testbed: SmppTestbed, retention: int = 60 * SECOND) -> SmppTestbed:
    """Let the server keep the final states of messages for query_sm; returns the testbed."""
    testbed.server.config = dataclasses.replace(testbed.server.config, keep_ended=retention)
    return testbed


@pytest.mark.parametrize("bound", list(SessionState))
@pytest.mark.parametrize("command", table.requests(), ids=lambda c: c.name.lower())
def test_every_request_in_every_state_gets_its_response(tmp_path: Path, command: Command, bound: SessionState) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open()
    # After a bind with a wrong password the session is still open and not bound.
    contractor = testbed.contractor(
        BINDS.get(bound, Command.BIND_TRANSCEIVER), "secret" if bound is not SessionState.OPEN else "wrong"
    )
    request = Pdu(command, 7, 0, {"message_id": "none"}, dests=[Destination("1")])
    expected = table.refusal(Side.CENTRE, bound, request)
    answer = exchange(testbed, contractor, command, dests=[Destination("1")], message_id="none")
    if command is Command.OUTBIND:
        # The outbind is not from a configured gateway.
        assert (answer.command, answer.status) == (Command.GENERIC_NACK, Status.ESME_RINVCMDID)
    elif expected is None:
        assert answer.command == command | p.RESPONSE and answer.status not in (
            Status.ESME_RINVBNDSTS,
            Status.ESME_RINVCMDID,
            Status.ESME_RALYBND,
        )
    else:
        assert (answer.command, answer.status) == (expected.command, expected.status)
    assert table.refusal(Side.ESME, bound, request) is None or command not in (Command.UNBIND, Command.ENQUIRE_LINK)


def test_the_state_table_matches_the_specification() -> None:
    # SMPP 3.4, table 2-1: the states in which each side serves the requests of the other side.
    def served(side: Side, command: Command) -> set[str]:
        return {bound.name for bound in SessionState if table.refusal(side, bound, Pdu(command)) is None}

    for command in (
        Command.SUBMIT_SM,
        Command.SUBMIT_MULTI,
        Command.DATA_SM,
        Command.QUERY_SM,
        Command.CANCEL_SM,
        Command.REPLACE_SM,
    ):
        assert served(Side.CENTRE, command) == {"TX", "TRX"}
    for command in (Command.DELIVER_SM, Command.DATA_SM, Command.ALERT_NOTIFICATION):
        assert served(Side.ESME, command) == {"RX", "TRX"}
    assert served(Side.ESME, Command.OUTBIND) == {"OPEN"}
    assert served(Side.CENTRE, Command.OUTBIND) == {"OPEN"}  # gateways connect to the same listener


@pytest.mark.parametrize("long_address", ["source_addr", "destination_addr"])
def test_a_message_with_an_address_too_long_for_deliver_sm_gets_its_receipt(tmp_path: Path, long_address: str) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(StandInGateway(testbed).address))
    contractor = testbed.contractor()
    addresses = {"source_addr": "100", "destination_addr": "3725550"}
    addresses[long_address] += "0" * 30
    answer = exchange(
        testbed,
        contractor,
        Command.DATA_SM,
        tlvs=[(p.MESSAGE_PAYLOAD, b"long")],
        service_type="RD",
        registered_delivery=1,
        **addresses,
    )
    assert answer.status == 0
    testbed.run_until(lambda: contractor.answers[-1].command is Command.DATA_SM)
    receipt = contractor.answers[-1]
    assert receipt.tlv(p.RECEIPTED_MESSAGE_ID) == answer.text("message_id").encode() + b"\0"
    assert receipt.tlv(p.MESSAGE_STATE) in (bytes([State.REJECTED]), bytes([State.UNDELIVERABLE]))
    assert (receipt.text("source_addr"), receipt.text("destination_addr")) == (
        addresses["destination_addr"],
        addresses["source_addr"],
    )
    contractor.stream.write(p.encode(receipt.reply()), None)
    testbed.run_until(lambda: not testbed.journal.entries)


def test_data_sm_is_a_message_like_any_other(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    answer = exchange(
        testbed,
        contractor,
        Command.DATA_SM,
        tlvs=[(p.MESSAGE_PAYLOAD, b"long" * 100), (0x0204, b"\0\7")],
        service_type="WO",
        source_addr="100",
        destination_addr="3725550",
        registered_delivery=1,
    )
    assert answer.command is Command.DATA_SM_RESP and answer.status == 0
    testbed.run_until(lambda: len(contractor.final_states()) == 1)
    assert contractor.final_states() == {answer.text("message_id"): {State.DELIVERED}}
    assert gate.submits[0].tlv(p.MESSAGE_PAYLOAD) == b"long" * 100 and gate.submits[0].tlv(0x0204) == b"\0\7"


def test_submit_multi_lists_rejected_destinations_and_each_other_one_ends_once(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    dests = [
        Destination("3725551"),
        Destination("999"),
        Destination("friends", is_list=True),
        Destination("3725552", 1, 1),
    ]
    answer = exchange(
        testbed,
        contractor,
        Command.SUBMIT_MULTI,
        b"all",
        dests=dests,
        service_type="WO",
        source_addr="100",
        registered_delivery=1,
    )
    assert answer.status == 0 and {(u.addr, u.status) for u in answer.unsuccess} == {
        ("999", Status.ESME_RINVDSTADR),
        ("friends", Status.ESME_RINVDLNAME),
    }
    testbed.run_until(lambda: len(contractor.receipts) == 2 and not testbed.journal.entries)
    assert sorted(r.text("source_addr") for r in contractor.receipts) == ["3725551", "3725552"]
    assert contractor.final_states() == {answer.text("message_id"): {State.DELIVERED}} and gate.effects[b"all"] == 2
    refused = exchange(
        testbed, contractor, Command.SUBMIT_MULTI, b"none", dests=[Destination("999")], service_type="WO"
    )
    assert refused.status == Status.ESME_RINVDSTADR and not testbed.courier.open


def test_a_submit_multi_is_not_accepted_if_its_contractor_has_disconnected(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    request = Pdu(
        Command.SUBMIT_MULTI, 9, 0, {"service_type": "WO"}, b"x", dests=[Destination("3725551"), Destination("3725552")]
    )

    def send_and_disconnect() -> None:
        contractor.stream.write(p.encode(request), None)
        contractor.stream.close()

    testbed.loop.spawn(send_and_disconnect)
    testbed.run_for(SECOND)
    assert not gate.submits and not testbed.journal.entries and not testbed.courier.open


def test_query_returns_the_state_of_open_and_ended_messages_even_after_a_restart(tmp_path: Path) -> None:
    testbed = retain_ended(SmppTestbed(tmp_path))
    gate = StandInGateway(testbed, script=lambda pdu: None if pdu.message == b"slow" else 0)
    testbed.open(gateway(gate.address, response_timeout=20 * SECOND))
    contractor = testbed.contractor()
    done, slow = submit(testbed, contractor, b"quick"), submit(testbed, contractor, b"slow")
    testbed.run_until(lambda: done in contractor.final_states())
    assert (
        query_state(testbed, contractor, done) == State.DELIVERED
        and query_state(testbed, contractor, slow) == State.ENROUTE
    )
    assert query_state(testbed, contractor, "unknown") == -Status.ESME_RINVMSGID
    assert request_by_id(testbed, contractor, Command.QUERY_SM, done, source="101").status == Status.ESME_RQUERYFAIL
    testbed.courier.journal._compact()
    successor = retain_ended(SmppTestbed(tmp_path))
    successor.open(gateway(gate.address))
    contractor = successor.contractor()
    assert (
        query_state(successor, contractor, done) == State.DELIVERED
        and query_state(successor, contractor, slow) == State.ENROUTE
    )
    answer = request_by_id(successor, contractor, Command.QUERY_SM, done)
    assert len(answer.text("final_date")) == 16 and answer.text("final_date").endswith("000+")


def test_retained_states_of_ended_messages_are_bounded_and_expire(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = SmppTestbed(tmp_path).journal
    for n in range(20_000):
        journal.retain_ended(f"acme {n}", "x" * 40, 60 * SECOND)
    assert journal.ended("acme 19999") and not journal.ended("acme 0")
    assert journal._size <= journal._max_bytes and journal._ended_live <= journal._max_bytes // 4
    assert journal.record_accepted(1, 5, "{}", b"x" * 60_000), "ended messages leave no room for a new one"
    journal.retain_ended("brief", "y", 1)
    assert journal.ended("brief") is None


@pytest.mark.parametrize("service", ["RD", "WO", "PAY"])
def test_cancel_withdraws_only_messages_that_never_ran(tmp_path: Path, service: str) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, script=lambda pdu: None if pdu.message == b"in flight" else 0)
    testbed.open(gateway(gate.address, window=1, response_timeout=20 * SECOND))
    contractor = testbed.contractor()
    later = submit(testbed, contractor, b"later", service, schedule_delivery_time="000000000100000R")
    in_flight = submit(testbed, contractor, b"in flight", service)
    testbed.run_until(lambda: gate.submits)
    assert request_by_id(testbed, contractor, Command.CANCEL_SM, in_flight).status == Status.ESME_RCANCELFAIL
    assert request_by_id(testbed, contractor, Command.CANCEL_SM, later, source="1").status == Status.ESME_RINVMSGID
    assert request_by_id(testbed, contractor, Command.CANCEL_SM, later).status == 0
    testbed.run_until(lambda: later in contractor.final_states())
    assert contractor.final_states()[later] == {State.DELETED}
    testbed.run_until(lambda: len(testbed.journal.entries) == 1)
    assert request_by_id(testbed, contractor, Command.CANCEL_SM, later).status == Status.ESME_RINVMSGID
    testbed.run_for(90 * SECOND)
    assert [s.message for s in gate.submits].count(b"later") == 0
    assert all(len(states) == 1 for states in contractor.final_states().values())


def test_cancel_by_addresses_withdraws_all_that_can_be_withdrawn(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(StandInGateway(testbed).address))
    contractor = testbed.contractor()
    first = [submit(testbed, contractor, schedule_delivery_time="000000000100000R") for _ in range(3)]
    other = submit(testbed, contractor, destination_addr="3725559", schedule_delivery_time="000000000100000R")
    addresses = {"source_addr": "100", "destination_addr": "3725550"}
    assert (
        exchange(testbed, contractor, Command.CANCEL_SM, service_type="RD", **addresses).status
        == Status.ESME_RCANCELFAIL
    )
    assert exchange(testbed, contractor, Command.CANCEL_SM, **addresses).status == 0
    testbed.run_until(lambda: len(contractor.final_states()) == 3)
    assert set(contractor.final_states()) == set(first) and query_state(testbed, contractor, other) == State.ENROUTE


def test_replace_changes_only_messages_without_an_attempt_and_survives_a_restart(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, script=lambda pdu: None if pdu.message == b"in flight" else 0)
    testbed.open(gateway(gate.address, response_timeout=20 * SECOND))
    contractor = testbed.contractor()
    in_flight = submit(testbed, contractor, b"in flight")
    later = submit(testbed, contractor, b"old", schedule_delivery_time="000000000003000R")
    testbed.run_until(lambda: gate.submits)
    assert request_by_id(testbed, contractor, Command.REPLACE_SM, in_flight, b"new").status == Status.ESME_RREPLACEFAIL
    assert request_by_id(testbed, contractor, Command.REPLACE_SM, "none", b"new").status == Status.ESME_RINVMSGID
    assert request_by_id(testbed, contractor, Command.REPLACE_SM, later, b"new").status == 0
    successor = SmppTestbed(tmp_path)
    gate = StandInGateway(successor)
    successor.open(gateway(gate.address))
    successor.run_until(lambda: gate.effects[b"new"], within=60 * SECOND)
    assert not gate.effects[b"old"] and gate.effects[b"new"] == 1


def test_a_scheduled_message_waits_through_a_restart_and_its_deadline_counts_from_the_schedule(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    for schedule, status in (
        ("000000000000000R", Status.ESME_RINVSCHED),
        ("999999999999999R", Status.ESME_RINVSCHED),
        ("x", Status.ESME_RINVSCHED),
    ):
        assert (
            exchange(
                testbed,
                contractor,
                Command.SUBMIT_SM,
                service_type="WO",
                destination_addr="3725550",
                schedule_delivery_time=schedule,
            ).status
            == status
        )
    expires_early = exchange(
        testbed,
        contractor,
        Command.SUBMIT_SM,
        service_type="WO",
        destination_addr="3725550",
        schedule_delivery_time="000000000100000R",
        validity_period="000000000050000R",
    )
    assert expires_early.status == Status.ESME_RINVEXPIRY
    started_at = testbed.loop.now
    submit(testbed, contractor, b"later", schedule_delivery_time="000000000100000R")
    testbed.run_for(40 * SECOND)
    assert not gate.submits
    successor = SmppTestbed(tmp_path)
    gate = StandInGateway(successor)
    successor.open(gateway(gate.address))
    successor.run_until(lambda: gate.effects[b"later"], within=120 * SECOND)
    assert gate.first_effect_at[b"later"] - started_at >= 60 * SECOND and gate.effects[b"later"] == 1


@DETERMINISTIC
@given(
    st.sampled_from([c for c in Command if c is not Command.GENERIC_NACK]),
    st.integers(0, 255),
    st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=5),
    st.binary(max_size=254),
    st.integers(1, 254),
    st.integers(0, 0xFFFF),
)
def test_every_pdu_is_decoded_as_it_was_encoded(
    command: Command, number: int, text: str, message: bytes, count: int, tag: int
) -> None:
    fields = {name: text if max_length else number for name, max_length in p.FIELDS.get(command, ()) if max_length >= 0}
    pdu = Pdu(command, 5, 0, fields, message if command in p._WITH_SHORT_MESSAGE else b"", [(tag, message)])
    if command is Command.SUBMIT_MULTI:
        pdu.dests = [Destination(text, 0 if n % 2 else number, 0 if n % 2 else 1, bool(n % 2)) for n in range(count)]
    if command is Command.SUBMIT_MULTI_RESP:
        pdu.unsuccess = [Unsuccess(text, number, 1, number) for _ in range(count)]
    data = p.encode(pdu)
    assert p.complete_length(bytearray(data)) == len(data) and p.decode(data) == pdu
    for length in range(17, len(data), max(1, len(data) // 20)):
        truncated = length.to_bytes(4, "big") + data[4:length]
        try:
            assert p.decode(truncated) != pdu
        except p.MalformedPduError as error:
            assert error.sequence == 5


def test_requests_of_a_gateway_are_answered_by_the_state_table(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    submit(testbed, testbed.contractor())
    testbed.run_until(lambda: gate.submits)
    link = next(iter(testbed.gateways._links.values()))
    session = link.sessions[0].session
    assert session.state is SessionState.TRX
    sent: list[Pdu] = []
    session.send = lambda pdu: sent.append(pdu) or True  # type: ignore[method-assign, func-returns-value]
    for command in table.requests():
        testbed.gateways._handle(link, link.sessions[0], Pdu(command, 3))
    assert {pdu.command.name: pdu.status for pdu in sent if pdu.status == 0} == {
        "DELIVER_SM_RESP": 0,
        "DATA_SM_RESP": 0,
    }
    assert {pdu.status for pdu in sent if pdu.command is Command.GENERIC_NACK} == {Status.ESME_RINVCMDID}


def test_a_message_between_attempts_is_withdrawn_only_if_none_may_have_run(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path, slots=1)
    answers = {b"may have run": Status.ESME_RSYSERR, b"full": Status.ESME_RTHROTTLED}
    gate = StandInGateway(testbed, script=lambda pdu: answers.get(pdu.message, 0))
    testbed.open(gateway(gate.address, throttle_wait=5 * SECOND))
    contractor = testbed.contractor()
    may_have_run = submit(testbed, contractor, b"may have run", "RD")
    testbed.run_until(lambda: gate.submits and not testbed.courier.attempts_in_flight)
    assert request_by_id(testbed, contractor, Command.CANCEL_SM, may_have_run).status == Status.ESME_RCANCELFAIL
    del answers[b"may have run"]
    testbed.run_until(lambda: may_have_run in contractor.final_states())
    full = submit(testbed, contractor, b"full", "PAY")
    testbed.run_until(lambda: gate.submits[-1].message == b"full" and not testbed.courier.attempts_in_flight)
    assert request_by_id(testbed, contractor, Command.REPLACE_SM, full, b"new").status == Status.ESME_RREPLACEFAIL
    assert request_by_id(testbed, contractor, Command.CANCEL_SM, full).status == 0
    number = testbed.courier._last_number
    testbed.run_until(lambda: full in contractor.final_states())
    assert contractor.final_states()[full] == {State.DELETED} and number not in testbed.courier._controller.messages
    after = submit(testbed, contractor, b"after", "PAY")  # the only slot is free again
    testbed.run_until(lambda: after in contractor.final_states())
    assert [s.message for s in gate.submits].count(b"full") == 1


def test_a_message_that_waits_for_the_window_is_not_withdrawn(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, pause=lambda _: 300_000)
    testbed.open(gateway(gate.address, window=1))
    contractor = testbed.contractor()
    submit(testbed, contractor, b"first", "PAY")
    second = submit(testbed, contractor, b"second", "PAY")  # its attempt has begun, and waits for the window
    testbed.run_until(lambda: testbed.courier.attempts_in_flight == 2)
    assert request_by_id(testbed, contractor, Command.CANCEL_SM, second).status == Status.ESME_RCANCELFAIL
    testbed.run_until(lambda: second in contractor.final_states())
    assert contractor.final_states()[second] == {State.DELIVERED}


def test_a_replaced_message_counts_once_in_the_journal(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 1)))
    contractor = testbed.contractor()
    later = submit(testbed, contractor, b"old", schedule_delivery_time="000000000100000R")
    for text in (b"x" * 200, b"y" * 100):
        assert request_by_id(testbed, contractor, Command.REPLACE_SM, later, text).status == 0
    journal = testbed.journal
    assert journal._reserved_size == sum(journal._entry_sizes.values()) and len(journal.entries) == 1
