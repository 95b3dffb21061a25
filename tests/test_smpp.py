"""The SMPP front end: one final state for each message, retries as its class allows, rate limits respected."""

from __future__ import annotations

import dataclasses
import socket
import struct
from datetime import UTC, datetime
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.core.messages import DELIVERED, Message
from kestrelspar.runtime.loop import MS, SECOND, connect
from kestrelspar.settings.resolve import Gateway
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.client import SmppCarrier, TimedOutSubmits
from kestrelspar.smpp.inbound import InboundMessages
from kestrelspar.smpp.pdu import Command, Pdu, Status
from kestrelspar.smpp.server import SmppServer, parse_time
from tests.bench import CLOCK, READING, CourierTestbed, SkippingLoop, listener
from tests.smpp_standins import CLOSE_STEPS, StandInContractor, StandInGateway, gateway, smpp_config

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=80)
NAMES = {"RD": "reading", "WO": "work-order", "PAY": "payment"}
DELIVRD, UNDELIV, REJECTD = 2, 5, 8
short_texts = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=5)
byte_values = st.integers(0, 255)


class SmppTestbed(CourierTestbed):
    """A courier with the SMPP front end; a second one on the same directory acts as the process after a restart."""

    def __init__(self, directory: Path, *gateways: Gateway, **more: object) -> None:
        super().__init__(directory, **more)
        self.directory = directory
        self.listener, self.address = listener()
        self.server = SmppServer(
            self.loop,
            self.buffers,
            self.courier,
            smpp_config(gateways),
            lambda name, password: self.gateways.outbind_handler(name, password),
        )
        self.courier.senders["smpp"] = self.server
        self.inbound = InboundMessages(self.courier, self.server.forward_alert)
        self.courier.senders["smpp-inbound"] = self.inbound
        if gateways:
            self.open(*gateways)

    def open(self, *gateways: Gateway) -> None:
        self.gateways = SmppCarrier(
            self.loop, self.buffers, self.courier.settings, gateways, self.courier, self.inbound
        )
        self.courier.outcome_sources["smpp"] = self.gateways
        self.courier.apply_map_update("smpp", [*self.gateways.hops(), *self.server.receivers.hops()], complete=True)
        self.gateways.start()
        self.courier.resume()
        self.loop.spawn(self.server.accept, self.listener)

    def contractor(self, bind: Command = Command.BIND_TRANSCEIVER, password: str = "secret") -> StandInContractor:
        """A contractor that has the response to its bind, which may be a refusal."""
        made: list[StandInContractor] = []
        self.loop.spawn(lambda: made.append(StandInContractor(self.loop, self, self.address, bind, password)))
        self.run_until(lambda: made and made[0].answers)
        return made[0]


def submit_all(testbed: SmppTestbed, contractor: StandInContractor, service: str, count: int) -> list[bytes]:
    """Submit messages on a new contractor and wait for the responses, positive or not; returns their texts."""
    texts = [f"{service}-{i}".encode() for i in range(count)]
    testbed.loop.spawn(lambda: [contractor.submit(text, service) for text in texts])
    testbed.run_until(lambda: len(contractor.answers) == 1 + count)
    return texts


@pytest.mark.parametrize("service", ["RD", "WO", "PAY"])
@pytest.mark.parametrize("step", CLOSE_STEPS)
def test_a_lost_connection_at_any_step_leaves_one_final_state_and_no_second_payment(
    tmp_path: Path, step: str, service: str
) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, step)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    texts = submit_all(testbed, contractor, service, 3)
    testbed.run_until(lambda: len(contractor.final_states()) == 3 and not testbed.journal.entries)
    assert gate.closes == 0, "the connection was not closed"
    ends = contractor.final_states()
    assert len(contractor.receipts) == 3 and set(ends) == set(contractor.accepted())
    assert all(len(states) == 1 for states in ends.values())
    states = sorted(next(iter(s)) for s in ends.values())
    if service == "PAY":  # a payment that may have run is failed and not retried
        assert all(gate.effects[text] <= 1 for text in texts)
        assert set(states) <= {DELIVRD, UNDELIV}
        if step in ("accept", "bind", "bound", "partial submit", "response"):
            assert gate.effects.total() >= states.count(DELIVRD)
        else:
            assert UNDELIV in states
    else:
        assert states == [DELIVRD] * 3 and all(gate.effects[text] >= 1 for text in texts)
    if service == "WO":
        assert all(gate.last_effect_at[text] - gate.first_effect_at[text] < 7_500 * MS for text in texts)


def test_throttling_amid_a_burst_delays_all_messages(tmp_path: Path) -> None:
    throttled_at: list[int] = []

    def script(_: Pdu) -> int:
        if len(gate.submitted_at) == 2:
            throttled_at.append(testbed.loop.now)
            return Status.ESME_RTHROTTLED
        return 0

    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, script=script)
    testbed.open(gateway(gate.address, window=1))
    contractor = testbed.contractor()
    texts = submit_all(testbed, contractor, "PAY", 6)
    testbed.run_until(lambda: len(contractor.final_states()) == 6)
    assert set(map(frozenset, contractor.final_states().values())) == {frozenset({DELIVRD})}
    assert all(gate.effects[text] == 1 for text in texts)
    assert not [at for at in gate.submitted_at if throttled_at[0] < at < throttled_at[0] + 300 * MS], (
        "submitted during the retry-after delay"
    )
    assert gate.max_in_flight == 1, "more in flight than the window allows"


def test_only_messages_that_may_be_retried_are_retried_after_a_time_out(tmp_path: Path) -> None:
    unanswered: set[bytes] = set()

    def script(pdu: Pdu) -> int | None:
        first = pdu.message not in unanswered
        unanswered.add(pdu.message)
        return None if first else 0

    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, script=script)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    submit_all(testbed, contractor, "RD", 1)
    submit_one(testbed, contractor, b"PAY-9", "PAY")
    testbed.run_until(lambda: len(contractor.final_states()) == 2)
    assert gate.effects[b"RD-0"] == 2 and gate.effects[b"PAY-9"] == 1
    assert sorted(next(iter(s)) for s in contractor.final_states().values()) == [DELIVRD, UNDELIV]


def test_no_second_attempt_while_the_first_is_in_flight_on_an_open_session(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(
        testbed,
        script=lambda pdu: 0 if pdu.message != b"RD-0" or gate.submitted_at else None,
        pause=lambda pdu: 390 * MS if pdu.message.startswith(b"PAY") else 5 * MS,
    )
    testbed.open(gateway(gate.address, "one"), gateway(gate.address, "two"))  # the second one could take a retry
    contractor = testbed.contractor()
    submit_all(testbed, contractor, "RD", 1)
    for i in range(4):  # responses in time keep the session open past the time-out of the reading
        testbed.run_for(130 * MS)
        submit_one(testbed, contractor, b"PAY-%d" % i, "PAY")
    testbed.run_until(lambda: len(contractor.final_states()) == 5)
    assert set(map(frozenset, contractor.final_states().values())) == {frozenset({DELIVRD})}
    assert gate.concurrent_copies == 0 and gate.effects[b"RD-0"] == 2 and len(gate.submits) == 6


def test_a_late_response_makes_the_next_attempt_unnecessary(tmp_path: Path) -> None:
    pauses = {b"RD-0": 500 * MS, b"PAY-0": 350 * MS}
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, pause=lambda pdu: pauses[pdu.message])
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    submit_all(testbed, contractor, "RD", 1)
    testbed.run_for(200 * MS)
    submit_one(testbed, contractor, b"PAY-0", "PAY")
    testbed.run_until(lambda: len(contractor.final_states()) == 2)
    assert set(map(frozenset, contractor.final_states().values())) == {frozenset({DELIVRD})}
    assert gate.effects == {b"RD-0": 1, b"PAY-0": 1} and gate.concurrent_copies == 0


def test_a_late_response_is_read_as_one_of_the_gateway_that_sent_it(tmp_path: Path) -> None:
    # Guards against awaiting, querying and cancelling a message at a gateway that numbers another message so.
    testbed = SmppTestbed(tmp_path)
    slow = StandInGateway(testbed, pause=lambda pdu: 500 * MS if pdu.message == b"RD-0" else 350 * MS)
    standby = StandInGateway(testbed)
    slow.message_id_for = lambda pdu: pdu.message.decode()
    testbed.open(
        gateway(slow.address, "slow", outcome="receipt", rank=0),
        gateway(standby.address, "standby", outcome="receipt", rank=1),
    )
    contractor = testbed.contractor()
    submit_all(testbed, contractor, "RD", 1)
    testbed.run_for(200 * MS)
    submit_one(testbed, contractor, b"PAY-0", "PAY")  # its response keeps the session open beyond the time-out
    testbed.run_until(lambda: len(testbed.courier._awaiting) == 2)
    awaited = {awaits["ids"][0]: awaits["gate"] for _, _, awaits in testbed.courier._awaiting.values()}
    assert awaited == {"RD-0": "slow", "PAY-0": "slow"} and not standby.submits


def test_a_part_that_times_out_after_a_late_response_to_another_is_still_in_flight() -> None:
    timed_out = TimedOutSubmits(SkippingLoop(CLOCK), gateway(("127.0.0.1", 1)), part_count=2)
    timed_out.record_timeout()
    timed_out.record_late_response(None)
    assert timed_out.all_ended
    timed_out.record_timeout()
    assert not timed_out.all_ended


@pytest.mark.parametrize("service", ["RD", "PAY"])
def test_a_permanent_rejection_is_not_retried(tmp_path: Path, service: str) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, script=lambda _: Status.ESME_RINVDSTADR)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    submit_all(testbed, contractor, service, 2)
    testbed.run_until(lambda: len(contractor.final_states()) == 2)
    assert set(map(frozenset, contractor.final_states().values())) == {frozenset({UNDELIV})}
    assert len(gate.submits) == 2


def submit_one(testbed: SmppTestbed, contractor: StandInContractor, text: bytes, service: str) -> None:
    before = len(contractor.answers)
    testbed.loop.spawn(lambda: contractor.submit(text, service))
    testbed.run_until(lambda: len(contractor.answers) > before)


@pytest.mark.parametrize("service", ["RD", "WO", "PAY"])
def test_a_restart_with_submits_in_flight_gives_each_message_its_final_state(tmp_path: Path, service: str) -> None:
    old = SmppTestbed(tmp_path)
    silent_gate = StandInGateway(old, script=lambda _: None)
    old.open(gateway(silent_gate.address, response_timeout=10 * SECOND))
    contractor = old.contractor()
    texts = submit_all(old, contractor, service, 2)
    old.run_until(lambda: len(silent_gate.submitted_at) == 2)
    accepted = contractor.accepted()  # the old process does not run any more, as if killed
    new = SmppTestbed(tmp_path)
    gate = StandInGateway(new)
    new.open(gateway(gate.address))
    receiver = new.contractor(Command.BIND_RECEIVER)
    new.run_until(lambda: len(receiver.final_states()) == 2)
    assert set(receiver.final_states()) == set(accepted) and len(receiver.receipts) == 2
    expected = {UNDELIV} if service == "PAY" else {DELIVRD}
    assert all(states == expected for states in receiver.final_states().values())
    assert all(gate.effects[text] == (0 if service == "PAY" else 1) for text in texts)


def test_a_message_is_not_accepted_if_its_contractor_has_disconnected(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor(Command.BIND_TRANSMITTER)

    def submit_and_disconnect() -> None:
        contractor.submit(b"PAY-0", "PAY")
        contractor.stream.close()

    testbed.loop.spawn(submit_and_disconnect)
    testbed.run_until(lambda: testbed.courier._last_number == 1 and not testbed.server._connections)
    assert not testbed.journal.entries and not testbed.courier.open and not gate.submits


def test_a_session_that_does_not_respond_holds_up_no_receipt_while_there_is_another(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    testbed.server.config = dataclasses.replace(testbed.server.config, response_timeout=10 * SECOND)
    first, second = testbed.contractor(), testbed.contractor()
    first.response_status = second.response_status = None  # whichever gets it first does not respond
    submit_one(testbed, first, b"a", "RD")
    testbed.run_until(lambda: first.receipts or second.receipts)
    sent_at = testbed.loop.now
    testbed.run_until(lambda: first.receipts and second.receipts)
    assert testbed.loop.now - sent_at < 500 * MS


def test_an_unacknowledged_receipt_is_sent_again_with_the_same_state(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    first = testbed.contractor()
    first.drop_receipts = 1
    submit_all(testbed, first, "PAY", 1)
    testbed.run_until(lambda: first.receipts)
    second = testbed.contractor(Command.BIND_RECEIVER)
    testbed.run_until(lambda: second.receipts and not testbed.journal.entries)
    assert second.final_states() == first.final_states() and gate.effects[b"PAY-0"] == 1


def test_a_full_courier_refuses_with_a_status_and_journals_nothing(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path, max_open=2)
    silent_gate = StandInGateway(testbed, script=lambda _: None)
    testbed.open(gateway(silent_gate.address, response_timeout=10 * SECOND))
    contractor = testbed.contractor()
    submit_all(testbed, contractor, "PAY", 3)
    assert [a.status for a in contractor.answers[1:]].count(Status.ESME_RMSGQFUL) == 1
    assert len(testbed.journal.entries) == 2
    testbed.courier.closing = testbed.loop.now
    submit_one(testbed, contractor, b"x", "RD")
    assert contractor.answers[-1].status == Status.ESME_RTHROTTLED


def test_refused_binds_and_invalid_submits_get_their_status(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path, gateway(("127.0.0.1", 9)))
    assert testbed.contractor(password="wrong").answers[0].status == Status.ESME_RINVPASWD
    receiver = testbed.contractor(Command.BIND_RECEIVER)
    submit_one(testbed, receiver, b"x", "RD")
    assert receiver.answers[-1].status == Status.ESME_RINVBNDSTS
    sender = testbed.contractor(Command.BIND_TRANSMITTER)
    for fields, status in (
        ({"service_type": "NO"}, Status.ESME_RINVSERTYP),
        ({"destination_addr": "999"}, Status.ESME_RINVDSTADR),
        ({"destination_addr": "372991"}, Status.ESME_RINVDSTADR),  # a destination without a gateway
        ({"validity_period": "soon"}, Status.ESME_RINVEXPIRY),
        ({"schedule_delivery_time": "261231000000000R"}, Status.ESME_RINVSCHED),
    ):
        before, submit_fields = len(sender.answers), {"destination_addr": "372"} | fields
        testbed.loop.spawn(
            lambda submit_fields=submit_fields: sender.send_request(Command.SUBMIT_SM, b"x", **submit_fields)
        )
        testbed.run_until(lambda before=before: len(sender.answers) > before)
        assert sender.answers[-1].status == status
    for command, answer in (
        (Command.ENQUIRE_LINK, Command.ENQUIRE_LINK_RESP),
        (Command.OUTBIND, Command.GENERIC_NACK),
        (Command.BIND_RECEIVER, Command.BIND_RECEIVER_RESP),
        (Command.UNBIND, Command.UNBIND_RESP),
    ):
        before = len(sender.answers)
        testbed.loop.spawn(lambda command=command: sender.send_request(command))
        testbed.run_until(lambda before=before: len(sender.answers) > before)
        assert sender.answers[-1].command is answer
    assert not testbed.journal.entries


def test_fields_and_tlvs_of_a_submit_reach_the_gateway(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    testbed.loop.spawn(
        lambda: contractor.send_request(
            Command.SUBMIT_SM,
            tlvs=[(0x0204, b"\1\2"), (p.MESSAGE_PAYLOAD, b"L" * 900)],
            data_coding=8,
            service_type="RD",
            destination_addr="3721",
            source_addr="55",
            source_addr_ton=5,
        )
    )
    testbed.run_until(lambda: gate.submits)
    got = gate.submits[0]
    assert got.tlvs == [(0x0204, b"\1\2"), (p.MESSAGE_PAYLOAD, b"L" * 900)] and got.message == b""
    assert (got.text("source_addr"), got.number("source_addr_ton"), got.number("data_coding")) == ("55", 5, 8)


@pytest.mark.parametrize("bind", ["transmitter", "transceiver"])
def test_a_message_of_any_sender_side_is_delivered_to_a_gateway(tmp_path: Path, bind: str) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address, bind=bind))
    for trace, body in (("short", b"\0\xff text"), ("long", b"L" * 300)):
        message = Message(trace, READING, 0, 900, testbed.loop.now + 9 * SECOND, body, testbed.sender)
        testbed.loop.spawn(testbed.courier.submit, message, lambda given: given.accepted)
    testbed.run_until(lambda: len(testbed.sender.ends) == 2 and not testbed.journal.entries)
    assert sorted(testbed.sender.ends) == [("long", DELIVERED), ("short", DELIVERED)]
    assert sorted((pdu.message, pdu.tlv(p.MESSAGE_PAYLOAD)) for pdu in gate.submits) == [
        (b"", b"L" * 300),
        (b"\0\xff text", None),
    ]
    assert {(pdu.text("source_addr"), pdu.text("destination_addr")) for pdu in gate.submits} == {("1", "2")}


def test_closing_defers_new_messages_unbinds_and_leaves_the_rest_in_the_journal(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    silent_gate = StandInGateway(testbed, script=lambda _: None)
    testbed.open(gateway(silent_gate.address, response_timeout=20 * SECOND))
    testbed.courier.exit_calls += [testbed.server.shut_down, testbed.gateways.shut_down]
    contractor = testbed.contractor()
    submit_all(testbed, contractor, "PAY", 1)
    testbed.run_until(lambda: silent_gate.submitted_at)
    testbed.courier.close()
    submit_one(testbed, contractor, b"RD-1", "RD")
    assert contractor.answers[-1].status == Status.ESME_RTHROTTLED
    testbed.run_until(lambda: testbed.loop._stopped)
    assert contractor.answers[-1].command is Command.UNBIND and len(testbed.journal.entries) == 1


def test_a_session_without_responses_is_closed(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    sock, address = listener()
    testbed.open(gateway(address, enquire_link_interval=50 * MS, response_timeout=50 * MS))
    contractor = testbed.contractor()
    submit_all(testbed, contractor, "PAY", 1)
    testbed.run_until(lambda: contractor.final_states() or not testbed.courier.open)
    assert list(map(set, contractor.final_states().values())) in ([], [{REJECTD}])  # certainly not run
    sock.close()


def test_smpp_times_are_parsed_and_malformed_ones_raise() -> None:
    wall = datetime(2026, 12, 1, 12, 0, 0, tzinfo=UTC)
    assert parse_time("", wall) is None
    assert parse_time("000000000130000R", wall) == 90 * SECOND
    assert parse_time("261201120010000+", wall) == 10 * SECOND
    assert parse_time("261201140010008+", wall) == 10 * SECOND  # two hours ahead of UTC
    for text in ("261301000000000+", "abc", "2612011200100000"):
        with pytest.raises(ValueError):
            parse_time(text, wall)


@DETERMINISTIC
@given(
    st.sampled_from([Command.SUBMIT_SM, Command.DELIVER_SM, Command.BIND_RECEIVER, Command.ENQUIRE_LINK]),
    short_texts,
    byte_values,
    st.binary(max_size=254),
    st.integers(1, 50),
    st.lists(st.tuples(st.integers(0, 0xFFFF), st.binary(max_size=40)), max_size=4),
)
def test_pdus_are_decoded_from_any_fragments(
    command: Command, text: str, number: int, message: bytes, step: int, tlvs: list[tuple[int, bytes]]
) -> None:
    fields: dict[str, object] = {"service_type": text, "esm_class": number, "system_id": text}
    if command not in (Command.SUBMIT_SM, Command.DELIVER_SM):
        message = b""
    pdu = Pdu(command, number, 0, fields, message, tlvs)
    data, received = p.encode(pdu) * 2, b""
    found = []
    for at in range(0, len(data), step):
        received += data[at : at + step]
        while size := p.complete_length(memoryview(received)):
            found.append(p.decode(received[:size]))
            received = received[size:]
    assert len(found) == 2 and received == b"" and p.encode(found[0]) == data[: len(data) // 2]
    assert found[0].tlvs == tlvs


@DETERMINISTIC
@given(st.sampled_from([*Command, 0x99, 0x103]), st.binary(max_size=120))
def test_garbage_in_a_body_raises_only_malformed_pdu_error(command: int, body: bytes) -> None:
    data = struct.pack(">IIII", 16 + len(body), command, 0, 1) + body
    try:
        assert p.decode(data).sequence == 1
    except p.MalformedPduError as error:
        assert error.sequence == 1 and error.status


@pytest.mark.parametrize("data", [b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\x05hello", bytes(40), b"\xff" * 64])
def test_a_stream_that_is_not_smpp_gets_a_generic_nack_and_is_closed(tmp_path: Path, data: bytes) -> None:
    testbed = SmppTestbed(tmp_path, gateway(("127.0.0.1", 9)))
    got: list[bytes] = []

    def exchange() -> None:
        sock = connect(testbed.loop, testbed.address, testbed.loop.now + SECOND)
        assert sock is not None
        sock.send(data)
        while not got or got[-1]:
            testbed.loop.readable(sock, None)
            try:
                got.append(sock.recv(100))
            except OSError:
                got.append(b"")
        sock.close()

    testbed.loop.spawn(exchange)
    testbed.run_until(lambda: got and got[-1] == b"")
    assert got[0][:12] == struct.pack(">III", 16, Command.GENERIC_NACK, Status.ESME_RINVCMDLEN)
    testbed.contractor()  # other clients are still served


def test_unbound_connections_are_closed_to_make_room_and_three_refused_binds_end_a_connection(tmp_path: Path) -> None:
    # Silent connections, and clients that guess passwords, must not use up the limit of sessions.
    testbed = SmppTestbed(tmp_path)
    testbed.open()
    max_sessions = testbed.server.config.max_sessions
    silent = []
    for _ in range(max_sessions):
        sock = socket.create_connection(testbed.address)
        sock.setblocking(False)
        silent.append(sock)
        testbed.run_until(lambda: len(testbed.server._connections) == len(silent))
    testbed.run_for(60 * MS)
    contractor = testbed.contractor()
    assert contractor.answers[0].status == 0 and len(testbed.server._connections) <= max_sessions
    bad_bind = p.encode(Pdu(Command.BIND_TRANSCEIVER, 1, 0, {"system_id": "nobody", "password": "x"}))
    got, sock = b"", silent[-1]
    sock.send(bad_bind * 5)
    while True:
        testbed.loop.turn()
        try:
            data = sock.recv(4096)
        except BlockingIOError:
            continue
        except ConnectionResetError:
            break
        if not data:
            break
        got += data
    assert got.count((Command.BIND_TRANSCEIVER | p.RESPONSE).to_bytes(4, "big")) <= 3
    for sock in silent:
        sock.close()


def test_a_pdu_longer_than_a_buffer_is_decoded(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path, gateway(("127.0.0.1", 9)))
    contractor = testbed.contractor()
    body = bytes(range(256)) * 200
    testbed.loop.spawn(contractor.send_request, Command.SUBMIT_SM, b"", [(p.MESSAGE_PAYLOAD, body)])
    testbed.run_until(lambda: len(contractor.answers) == 2)
    assert contractor.answers[1].status == Status.ESME_RINVDSTADR
    fields = {"destination_addr": "3725550", "service_type": "RD"}
    testbed.loop.spawn(lambda: contractor.send_request(Command.SUBMIT_SM, b"", [(p.MESSAGE_PAYLOAD, body)], **fields))
    testbed.run_until(lambda: len(contractor.answers) == 3)
    assert [message.body for message in testbed.courier.open.values()] == [body]
