"""Delivery receipts as outcomes: exactly one final state for each message, however and whenever they arrive."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.journal import Journal
from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp import receipts
from kestrelspar.smpp.pdu import Command, Pdu, State, Status
from kestrelspar.smpp.receipts import ReceiptTracker, normalized_id, parse
from tests.smpp.test_operations import exchange, submit
from tests.smpp_standins import StandInContractor, StandInGateway, gateway
from tests.test_smpp import SmppTestbed

DELIVRD, EXPIRED, UNDELIV, REJECTD = 2, 3, 5, 8


def open_testbed(directory: Path, **more: object) -> tuple[SmppTestbed, StandInGateway, StandInContractor]:
    testbed = SmppTestbed(directory)
    gate = StandInGateway(testbed)
    gate.message_id_for = lambda pdu: f"id-{pdu.message.decode()}"
    testbed.open(gateway(gate.address, outcome="receipt", **more))
    return testbed, gate, testbed.contractor()


def wait_for_acceptance(testbed: SmppTestbed, gate: StandInGateway, count: int = 1) -> None:
    testbed.run_until(lambda: len(testbed.courier._awaiting) == count)


@pytest.mark.parametrize(
    ("stat", "state"),
    [
        ("DELIVRD", DELIVRD),
        ("ACCEPTD", DELIVRD),
        ("UNDELIV", UNDELIV),
        ("EXPIRED", UNDELIV),
        ("REJECTD", REJECTD),
        ("DELETED", REJECTD),
        ("UNKNOWN", UNDELIV),
        ("NEWWORD", UNDELIV),  # not defined, so it counts as UNKNOWN
    ],
)
@pytest.mark.parametrize("service", ["RD", "WO", "PAY"])
def test_the_receipt_decides_the_final_state(tmp_path: Path, service: str, stat: str, state: int) -> None:
    testbed, gate, contractor = open_testbed(tmp_path)
    message_id = submit(testbed, contractor, b"a", service)
    wait_for_acceptance(testbed, gate)
    assert (
        not contractor.receipts
        and not testbed.courier.attempts_in_flight
        and gate.submits[0].number("registered_delivery") == 1
    )
    gate.receipt("id-a", "ENROUTE")
    gate.receipt("id-other", stat)
    gate.receipt("id-a", stat)
    gate.receipt("id-a", "DELIVRD")  # a second receipt changes nothing
    testbed.run_until(lambda: contractor.receipts and len(gate.responses) == 4 and not testbed.journal.entries)
    assert contractor.final_states() == {message_id: {state}} and len(contractor.receipts) == 1
    assert len(gate.submits) == 1 and {pdu.status for pdu in gate.responses} == {0}


def test_a_receipt_may_arrive_before_its_response_and_on_another_session(tmp_path: Path) -> None:
    testbed, gate, contractor = open_testbed(tmp_path, bind="pair")
    first = submit(testbed, contractor, b"a")
    wait_for_acceptance(testbed, gate)
    testbed.run_until(lambda: Command.BIND_RECEIVER in gate.streams)  # bound to receive the receipt
    gate.receipt("id-a", "UNDELIV")
    testbed.run_until(lambda: first in contractor.final_states())
    gate.before_response = lambda pdu, stream: gate.receipt("id-b", "DELIVRD") or testbed.loop.sleep(20 * MS)
    second = submit(testbed, contractor, b"b")
    testbed.run_until(lambda: second in contractor.final_states())
    assert contractor.final_states() == {first: {UNDELIV}, second: {DELIVRD}}
    assert [pdu.status for pdu in gate.responses] == [0, 0] and len(gate.submits) == 2


def test_receipts_are_received_after_a_reconnect(tmp_path: Path) -> None:
    testbed, gate, contractor = open_testbed(tmp_path)
    message_id = submit(testbed, contractor, b"a")
    wait_for_acceptance(testbed, gate)
    old = gate.streams.pop(Command.BIND_TRANSCEIVER)
    old.close()
    testbed.run_until(lambda: Command.BIND_TRANSCEIVER in gate.streams)  # rebound only to receive
    gate.receipt("id-a", "DELIVRD")
    testbed.run_until(lambda: message_id in contractor.final_states())
    assert contractor.final_states() == {message_id: {DELIVRD}} and len(gate.submits) == 1


@pytest.mark.parametrize("service", ["RD", "WO", "PAY"])
def test_receipts_are_received_after_a_restart(tmp_path: Path, service: str) -> None:
    testbed, gate, contractor = open_testbed(tmp_path)
    message_id = submit(testbed, contractor, b"a", service)
    wait_for_acceptance(testbed, gate)
    again = SmppTestbed(tmp_path)  # as after SIGKILL: the loop of the first process never runs again
    other = StandInGateway(again)
    again.open(gateway(other.address, outcome="receipt"))
    successor = again.contractor()
    again.run_until(lambda: Command.BIND_TRANSCEIVER in other.streams)
    other.receipt("id-a", "DELIVRD")
    again.run_until(lambda: successor.receipts and not again.journal.entries)
    assert successor.final_states() == {message_id: {DELIVRD}} and not other.submits, (
        "must not be sent again while the gateway has it"
    )


# The message_state that query_sm returns (None: it is refused), the status of a cancel_sm_resp, and the final state.
@pytest.mark.parametrize(
    ("query", "cancel", "state"),
    [
        (State.DELIVERED, 0, DELIVRD),
        (State.UNDELIVERABLE, 0, UNDELIV),
        (State.ENROUTE, 0, REJECTD),
        (State.ENROUTE, Status.ESME_RCANCELFAIL, UNDELIV),
        (None, Status.ESME_RINVMSGID, UNDELIV),
    ],
)
def test_a_message_without_a_receipt_ends_once_before_its_deadline(
    tmp_path: Path, query: State | None, cancel: int, state: int
) -> None:
    testbed, gate, contractor = open_testbed(tmp_path)

    def reply(pdu: Pdu) -> Pdu:
        if pdu.command is Command.CANCEL_SM:
            return pdu.reply(cancel)
        return pdu.reply(Status.ESME_RQUERYFAIL) if query is None else pdu.reply(message_state=query)

    gate.answer_query = reply
    started_at = testbed.loop.now
    message_id = submit(testbed, contractor, b"a", "PAY")
    testbed.run_until(lambda: message_id in contractor.final_states())
    states = contractor.final_states()[message_id]
    # The gateway is queried shortly before the deadline, so a failed message may count as expired.
    assert states == {state} or state == UNDELIV and states == {EXPIRED}
    assert testbed.loop.now - started_at < testbed.courier.settings.classes[2].deadline_ns // 1000
    assert gate.queries[0].text("message_id") == "id-a" and len(gate.submits) == 1
    gate.receipt("id-a", "DELIVRD")
    testbed.run_until(lambda: gate.responses)
    assert len(contractor.receipts) == 1


def test_a_receipt_is_acknowledged_only_after_it_is_journalled(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    testbed, gate, contractor = open_testbed(tmp_path)
    message_id = submit(testbed, contractor, b"a", "PAY")
    wait_for_acceptance(testbed, gate)
    with monkeypatch.context() as full:
        full.setattr(Journal, "_append", lambda self, record: False)
        gate.receipt("id-a", "DELIVRD")
        testbed.run_until(lambda: gate.responses)
        assert gate.responses[0].status == Status.ESME_RX_T_APPN and message_id not in contractor.final_states()
    gate.receipt("id-a", "DELIVRD")
    testbed.run_until(lambda: message_id in contractor.final_states())
    assert contractor.final_states() == {message_id: {DELIVRD}} and gate.responses[1].status == 0


def test_ids_in_another_number_base_are_matched(tmp_path: Path) -> None:
    testbed, gate, contractor = open_testbed(tmp_path, response_id="hex", receipt_id="decimal")
    gate.message_id_for = lambda pdu: "00002A"
    message_id = submit(testbed, contractor)
    wait_for_acceptance(testbed, gate)
    gate.receipt("0000000042", "DELIVRD")
    testbed.run_until(lambda: message_id in contractor.final_states())
    assert contractor.final_states() == {message_id: {DELIVRD}}


@pytest.mark.parametrize(
    ("stats", "state"),
    [(["DELIVRD", "DELIVRD", "DELIVRD"], DELIVRD), (["DELIVRD", "REJECTD"], UNDELIV), (["REJECTD"], UNDELIV)],
)
def test_a_long_message_is_delivered_when_all_its_parts_are(tmp_path: Path, stats: list[str], state: int) -> None:
    testbed, gate, contractor = open_testbed(tmp_path, split="sar")
    gate.message_id_for = lambda pdu: str(len(gate.submits))
    message_id = submit(testbed, contractor, b"x" * 254)
    # 254 characters make two parts, so the third receipt has an id that no message waits for.
    wait_for_acceptance(testbed, gate)
    for place, stat in enumerate(stats, 1):
        assert message_id not in contractor.final_states()
        gate.receipt(str(place), stat)
        testbed.run_until(lambda place=place: len(gate.responses) == place)  # type: ignore[misc]
    testbed.run_until(lambda: message_id in contractor.final_states())
    assert contractor.final_states() == {message_id: {state}} and len(gate.submits) == 2


def test_a_gateway_that_answers_no_query_makes_no_end_late(tmp_path: Path) -> None:
    testbed, gate, contractor = open_testbed(tmp_path, split="sar")
    gate.message_id_for = lambda pdu: str(len(gate.submits))

    def hang(pdu: Pdu) -> Pdu:
        testbed.loop.sleep(60 * SECOND)
        return pdu.reply(Status.ESME_RQUERYFAIL)

    gate.answer_query = hang
    started_at = testbed.loop.now
    text = (p.MESSAGE_PAYLOAD, b"x" * 800)  # six parts, each of which is asked for
    fields = {"source_addr": "100", "destination_addr": "3725550", "registered_delivery": 1}
    answer = exchange(testbed, contractor, Command.SUBMIT_SM, b"", [text], service_type="RD", **fields)
    message_id = answer.text("message_id")
    wait_for_acceptance(testbed, gate)
    testbed.run_until(lambda: message_id in contractor.final_states())
    assert testbed.loop.now - started_at < testbed.courier.settings.classes[0].deadline_ns // 1000


def test_messages_awaiting_a_receipt_are_not_cancelled_and_take_no_slot(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path, slots=1)
    gate = StandInGateway(testbed)
    gate.message_id_for = lambda pdu: pdu.message.decode()
    testbed.open(gateway(gate.address, outcome="receipt"))
    contractor = testbed.contractor()
    message_ids = [submit(testbed, contractor, text) for text in (b"a", b"b", b"c")]
    wait_for_acceptance(testbed, gate, 3)
    assert not any(testbed.courier.withdraw(message) for message, _, _ in testbed.courier._awaiting.values())
    for text in "cab":
        gate.receipt(text, "DELIVRD")
    testbed.run_until(lambda: len(contractor.final_states()) == 3)
    assert contractor.final_states() == {message_id: {DELIVRD} for message_id in message_ids}
    testbed.run_for(30_000 * MS)  # past every deadline: nothing is reported twice
    assert len(contractor.receipts) == 3 and not gate.queries


def test_receipts_are_parsed_from_parameters_or_text() -> None:
    text = Pdu(Command.DELIVER_SM, fields={"esm_class": 4}, message=b"ID:7 sub:1 Stat:delivrd err:0")
    assert parse(text) == receipts.Receipt("7", State.DELIVERED)
    text.tlvs = [(0x001E, b"8\0"), (0x0427, b"\5")]
    assert parse(text) == receipts.Receipt("8", State.UNDELIVERABLE)
    text.tlvs = [(0x0427, b"\x63")]
    assert parse(text) == receipts.Receipt("7", State.UNKNOWN)
    assert parse(Pdu(Command.DELIVER_SM, fields={"esm_class": 4}, message=b"stat:DELIVRD")) is None
    assert parse(Pdu(Command.DELIVER_SM, fields={"esm_class": 4}, message=b"id:7")) is None
    intermediate = Pdu(Command.DELIVER_SM, fields={"esm_class": 0x20}, message=b"id:7 stat:UNDELIV")
    assert parse(intermediate) == receipts.Receipt("7", State.ENROUTE), (
        "an intermediate notification has no final state"
    )


@pytest.mark.parametrize(
    ("first", "first_base", "second", "second_base", "equal"),
    [
        ("2a", "hex", "42", "decimal", True),
        ("002A", "hex", "2a", "hex", True),
        ("42", "decimal", "0042", "decimal", True),
        ("2a", "text", "2A", "text", False),
        ("42", "text", "42", "decimal", False),
        ("x1", "hex", "1", "decimal", False),  # the first is no number, so it is a text
        ("1_0", "decimal", "10", "decimal", False),  # a number for int(), but not for SMPP
        ("-1", "decimal", "-1", "hex", True),  # both are texts
    ],
)
def test_ids_match_if_they_are_the_same_number_or_the_same_text(
    first: str, first_base: str, second: str, second_base: str, equal: bool
) -> None:
    assert (normalized_id(first, first_base) == normalized_id(second, second_base)) is equal


def test_an_id_that_a_gateway_reuses_belongs_to_the_later_message() -> None:
    tracker = ReceiptTracker()
    tracker.expect(1, "g", ["a"], "text")
    tracker.expect(2, "g", ["a", "b"], "text")
    assert tracker.message_number("g", "a", "text") == 2 and tracker.message_number("h", "a", "text") is None
    tracker.drop(1)
    assert tracker.message_number("g", "a", "text") == 2 and tracker.pending_count("g") == 1
    assert tracker.remaining_ids(2, "a", "text") == ["b"]
    tracker.drop(2)
    assert tracker.pending_count("g") == 0 and tracker.message_number("g", "b", "text") is None
