"""Failures of gateways and contractors at every step: one final state per message, no retry that its class forbids."""

from __future__ import annotations

import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from kestrelspar.core.messages import Result
from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.smpp import link
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu, Status
from snowlock.interface import Outcome
from tests.smpp.test_flow_control import sliding_window
from tests.smpp.test_operations import exchange, submit
from tests.smpp_standins import StandInContractor, StandInGateway, gateway
from tests.test_smpp import SmppTestbed, submit_all

DELIVRD, UNDELIV, REJECTD = 2, 5, 8
SERVICES = ("RD", "WO", "PAY")


def await_final_states(
    testbed: SmppTestbed, gate: StandInGateway, contractor: StandInContractor, count: int, payments: bool
) -> Counter[int]:
    """Wait for one final state for each message, and count the states.

    With ``payments``, no message may take effect twice, and at least as many take effect as are delivered. Two attempts
    of a message must never run at once.
    """
    testbed.run_until(lambda: len(contractor.final_states()) == count and not testbed.journal.entries, 300 * SECOND)
    ends = contractor.final_states()
    assert all(len(states) == 1 for states in ends.values())
    states = Counter(next(iter(s)) for s in ends.values())
    if payments:
        assert all(times == 1 for times in gate.effects.values())
        assert gate.effects.total() >= states[DELIVRD]
    assert not gate.concurrent_copies, "two concurrent attempts of a message"
    return states


def malformed_responses(fault: str) -> object:
    """A function that returns the PDUs that replace the response to the first submit."""

    def replace(gate: StandInGateway, stream: object, pdu: Pdu) -> list[bytes]:
        valid = pdu.reply(0, message_id="g")
        if fault == "unknown sequence":
            return [p.encode(Pdu(Command.SUBMIT_SM_RESP, 0x7000, 0, {"message_id": "x"})), p.encode(valid)]
        if fault == "twice":
            return [p.encode(valid), p.encode(valid)]
        if fault == "other type":
            return [p.encode(Pdu(Command.QUERY_SM_RESP, pdu.sequence, 0, {"message_id": "x"}))]
        if fault == "nack":
            return [p.encode(Pdu(Command.GENERIC_NACK, pdu.sequence, Status.ESME_RINVCMDID))]
        if fault == "nack without a status":
            return [p.encode(Pdu(Command.GENERIC_NACK, pdu.sequence, 0))]
        if fault == "malformed body":
            return [p.HEADER.pack(18, Command.SUBMIT_SM_RESP, 0, pdu.sequence) + b"xx"]
        return [b"\0\0\0\3garbage"]  # invalid command_length

    return replace


@pytest.mark.parametrize("service", SERVICES)
@pytest.mark.parametrize(
    "fault", ["unknown sequence", "twice", "other type", "nack", "nack without a status", "malformed body", "no PDU"]
)
def test_malformed_responses_of_a_gateway_leave_one_final_state_each(tmp_path: Path, fault: str, service: str) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    replacements, real, replaced = malformed_responses(fault), gate.write_bytes, []

    def write(stream: object, data: bytes) -> None:
        pdu = p.decode(data)
        if pdu.command is Command.SUBMIT_SM_RESP and not replaced:
            replaced.append(pdu)
            for piece in replacements(gate, stream, Pdu(Command.SUBMIT_SM, pdu.sequence)):  # type: ignore[operator]
                real(stream, piece)  # type: ignore[arg-type]
        else:
            real(stream, data)  # type: ignore[arg-type]

    gate.write_bytes = write  # type: ignore[method-assign, assignment]
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    submit_all(testbed, contractor, service, 3)
    states = await_final_states(testbed, gate, contractor, 3, service == "PAY")
    assert replaced
    if fault in ("unknown sequence", "twice"):
        assert states == {DELIVRD: 3} and gate.effects.total() == 3
    elif service == "PAY" or fault == "nack":  # ESME_RINVCMDID is a permanent rejection: no retry
        assert states[UNDELIV] >= 1 and gate.effects.total() == 3
    else:
        assert states == {DELIVRD: 3} and gate.effects.total() > 3


@pytest.mark.parametrize("service", SERVICES)
def test_responses_to_submits_in_flight_are_awaited_when_the_gateway_unbinds(tmp_path: Path, service: str) -> None:
    testbed = SmppTestbed(tmp_path, slots=20)
    gate = StandInGateway(testbed, pause=lambda _: 40 * MS)
    testbed.open(gateway(gate.address, window=10))
    contractor = testbed.contractor()

    def unbind() -> None:
        while gate.in_flight < 3:
            testbed.loop.sleep(MS)
        stream = gate.receiving_stream()
        gate.write(stream, Pdu(Command.UNBIND, 77))

    testbed.loop.spawn(unbind)
    submit_all(testbed, contractor, service, 8)
    states = await_final_states(testbed, gate, contractor, 8, service == "PAY")
    assert states == {DELIVRD: 8} and gate.effects.total() == 8, "responses to submits in flight were not awaited"


@pytest.mark.parametrize("service", SERVICES)
def test_a_gateway_that_stops_reading_leaves_one_final_state_each(
    tmp_path: Path, service: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_connect = link.connect

    def connect(*args: Any) -> socket.socket | None:
        sock = real_connect(*args)
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)  # so that writes block
        return sock

    monkeypatch.setattr(link, "connect", connect)
    testbed = SmppTestbed(tmp_path, slots=20)
    gate = StandInGateway(testbed)
    real, stalled = gate.serve, []

    def serve(stream: object) -> None:
        if not stalled:
            stalled.append(stream)
            sock = stream.sock  # type: ignore[attr-defined]
            got = b""
            while len(got) < 16:  # answers the bind, and reads nothing after it
                testbed.loop.readable(sock, None)
                got += sock.recv(1)
            while len(got) < int.from_bytes(got[:4], "big"):
                got += sock.recv(1)
            sock.send(p.encode(p.decode(got).reply(system_id="stalled")))
            return
        real(stream)  # type: ignore[arg-type]

    gate.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    gate.serve = serve  # type: ignore[method-assign, assignment]
    testbed.open(gateway(gate.address, enquire_link_interval=300 * MS, response_timeout=300 * MS, window=4))
    contractor = testbed.contractor()
    testbed.loop.spawn(
        lambda: [
            contractor.send_request(
                Command.SUBMIT_SM,
                b"",
                [(p.MESSAGE_PAYLOAD, bytes([65 + n]) * 12_000)],
                service_type=service,
                destination_addr="3725550",
                source_addr="100",
                registered_delivery=1,
            )
            for n in range(8)
        ]
    )
    testbed.run_until(lambda: len(contractor.accepted()) == 8)
    states = await_final_states(testbed, gate, contractor, 8, service == "PAY")
    assert stalled and states[UNDELIV] <= 2, "a partially written submit did not run"


@pytest.mark.parametrize("service", SERVICES)
def test_a_session_that_stops_responding_to_fifty_submits_leaves_one_final_state_each(
    tmp_path: Path, service: str
) -> None:
    testbed = SmppTestbed(tmp_path, slots=120, max_open=200)
    unanswered: list[bytes] = []

    def script(pdu: Pdu) -> int | None:
        if len(unanswered) < 50 and pdu.message not in unanswered:
            unanswered.append(pdu.message)
            return None
        return 0

    gate = StandInGateway(testbed, script=script)
    testbed.open(gateway(gate.address, window=50, enquire_link_interval=300 * MS, response_timeout=300 * MS))
    contractor = testbed.contractor()
    submit_all(testbed, contractor, "RD", 1)
    testbed.loop.spawn(lambda: [contractor.submit(f"{service}{n}".encode(), service) for n in range(60)])
    testbed.run_until(lambda: len(contractor.answers) == 62)  # to the bind, the reading and the 60 submits
    # The contractor's window is 50: submits beyond it that arrive in one turn of the loop are refused.
    states = await_final_states(testbed, gate, contractor, len(contractor.accepted()), service == "PAY")
    assert len(unanswered) > 1 and states.total() > 50 and (service == "PAY") == (states[UNDELIV] > 0)


@pytest.mark.parametrize("outcome", ["response", "receipt"])
def test_a_thousand_messages_through_a_throttling_gateway_end_once_each(tmp_path: Path, outcome: str) -> None:
    testbed = SmppTestbed(tmp_path, slots=40, max_open=1_200)
    limit = sliding_window(200)

    def script(pdu: Pdu) -> int:
        return 0 if limit(testbed.loop.now) else Status.ESME_RTHROTTLED

    gate = StandInGateway(testbed, script=script, pause=lambda _: 2 * MS)
    gate.message_id_for = lambda pdu: pdu.message.decode()
    if outcome == "receipt":
        gate.before_response = lambda pdu, stream: testbed.loop.call_at(
            testbed.loop.now + 50 * MS, lambda: gate.receipt(pdu.message.decode(), "DELIVRD", stream)
        )
    testbed.open(gateway(gate.address, window=20, throttle_wait=20 * MS, outcome=outcome))
    contractor = testbed.contractor()

    def submit_in_bursts() -> None:
        for number in range(1_000):
            contractor.submit(b"%d" % number, SERVICES[number % 3])
            if not number % 20:
                testbed.loop.sleep(5 * MS)

    testbed.loop.spawn(submit_in_bursts)
    testbed.run_until(lambda: len(contractor.answers) == 1_001, 300 * SECOND)
    accepted = len(contractor.accepted())
    states = await_final_states(testbed, gate, contractor, accepted, False)
    payments = [b"%d" % number for number in range(1_000) if SERVICES[number % 3] == "PAY"]
    assert all(gate.effects[text] <= 1 for text in payments) and states.total() == accepted
    assert len(gate.effects) >= states[DELIVRD] > accepted // 2, "on a busy machine some may time out"


def test_queueing_time_does_not_count_towards_the_time_out(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path, slots=40)
    gate = StandInGateway(testbed, pause=lambda _: 30 * MS)
    testbed.open(gateway(gate.address, rate=8, window=20))
    contractor = testbed.contractor()
    found: list[Result] = []
    real = testbed.gateways._attempt
    testbed.gateways._attempt = lambda *args: found.append(real(*args)) or found[-1]  # type: ignore[method-assign]
    for text in (b"a", b"b", b"c", b"d"):  # so that the decision module learns the latency of the gateway
        submit(testbed, contractor, text, "RD")
        testbed.run_until(lambda text=text: text in gate.effects)  # type: ignore[misc]
    testbed.loop.spawn(lambda: [contractor.submit(b"%d" % n, "RD") for n in range(10)])
    await_final_states(testbed, gate, contractor, 14, False)
    assert Counter(result.outcome for result in found) == {Outcome.OK: 14} and max(r.queued for r in found) > 400 * MS


@pytest.mark.parametrize("service", SERVICES)
@pytest.mark.parametrize("step", ["bind", "submit", "answered", "accepted", "receipt"])
def test_a_kill_at_any_step_leaves_one_final_state(tmp_path: Path, step: str, service: str) -> None:
    """The first process stops, as after SIGKILL, and another one starts on its directory.

    Steps: the gateway cannot be reached; it has a submit to which it does not respond; it has one to which it is about
    to respond; the submit has its response, and the receipt is due; the receipt has been sent, but not read.
    """
    outcome = "receipt" if step in ("accepted", "receipt") else "response"
    testbed = SmppTestbed(tmp_path)
    silent = step == "submit"
    gate = StandInGateway(testbed, script=lambda _: None if silent else 0)
    gate.message_id_for = lambda pdu: pdu.message.decode()
    testbed.open(gateway(gate.address, outcome=outcome) if step != "bind" else gateway(("127.0.0.1", 9)))
    contractor = testbed.contractor()
    message_id = submit(testbed, contractor, b"one", service)
    if step == "bind":
        testbed.run_until(lambda: testbed.courier.open)
    elif step in ("submit", "answered"):
        testbed.run_until(lambda: gate.submits)
    else:
        testbed.run_until(lambda: testbed.courier._awaiting)
    if step == "receipt":  # sent by the gateway, and not read before the kill
        gate.receipt("one", "DELIVRD")
    successor = SmppTestbed(tmp_path)
    new_gate = StandInGateway(successor)
    successor.open(gateway(new_gate.address, outcome=outcome))
    new_contractor = successor.contractor()
    if outcome == "receipt":
        successor.run_until(lambda: Command.BIND_TRANSCEIVER in new_gate.streams)
        new_gate.receipt("one", "DELIVRD")  # sent again, as it was not acknowledged
    successor.run_until(lambda: new_contractor.receipts and not successor.journal.entries)
    assert len(new_contractor.receipts) == 1 and set(new_contractor.final_states()) == {message_id}
    state = next(iter(new_contractor.final_states()[message_id]))
    ran = step != "bind"
    if outcome == "receipt":
        assert state == DELIVRD and not new_gate.submits
    elif service == "PAY" and ran:
        assert state == UNDELIV and not new_gate.submits
    else:
        assert state == DELIVRD and len(new_gate.submits) == 1


@pytest.mark.parametrize("step", ["waiting", "in flight", "awaiting"])
def test_sigterm_at_any_step_ends_the_process_in_time_and_loses_no_message(tmp_path: Path, step: str) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, pause=lambda _: 3 * SECOND if step == "in flight" else MS)
    gate.message_id_for = lambda pdu: pdu.message.decode()
    testbed.open(
        gateway(
            gate.address if step != "waiting" else ("127.0.0.1", 9), outcome="receipt", response_timeout=10 * SECOND
        )
    )
    contractor = testbed.contractor()
    message_id = submit(testbed, contractor, b"one", "PAY")
    testbed.run_until(
        {
            "waiting": lambda: testbed.courier.open,
            "in flight": lambda: gate.submits,
            "awaiting": lambda: testbed.courier._awaiting,
        }[step]
    )
    started_at = testbed.loop.now
    testbed.courier.close()
    assert (
        exchange(
            testbed, contractor, Command.SUBMIT_SM, b"x", service_type="RD", source_addr="1", destination_addr="3725550"
        ).status
        == Status.ESME_RTHROTTLED
    )
    testbed.run_until(lambda: testbed.loop._stopped)
    assert testbed.loop.now - started_at < 3_700 * MS and message_id not in contractor.final_states()
    successor = SmppTestbed(tmp_path)
    new_gate = StandInGateway(successor)
    successor.open(gateway(new_gate.address))
    new_contractor = successor.contractor()
    successor.run_until(lambda: new_contractor.receipts and not successor.journal.entries)
    # 3 is EXPIRED, if the deadline had passed by the final state.
    states = {"waiting": {DELIVRD}, "in flight": {UNDELIV}, "awaiting": {UNDELIV}}
    assert new_contractor.final_states()[message_id] == states[step] or new_contractor.final_states()[message_id] == {3}
    assert len(new_gate.submits) == (step == "waiting")


@pytest.mark.parametrize(
    "fault", ["half a PDU", "receipt unacknowledged", "unbind with a receipt in flight", "no responses"]
)
def test_a_contractor_that_failed_gets_its_receipt_on_another_session(tmp_path: Path, fault: str) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, pause=lambda _: 20 * MS)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    if fault == "receipt unacknowledged":
        contractor.drop_receipts = 1
    elif fault != "half a PDU":
        contractor.response_status = None
    message_id = submit(testbed, contractor, b"one", "PAY")
    if fault == "half a PDU":
        contractor.stream.write(p.encode(Pdu(Command.ENQUIRE_LINK, 5))[:9], None)
        contractor.stream.close()
    else:
        testbed.run_until(lambda: contractor.receipts)
        if fault == "unbind with a receipt in flight":
            contractor.send_request(Command.UNBIND)
    second = testbed.contractor()
    testbed.run_until(lambda: second.receipts and not testbed.journal.entries)
    assert second.final_states() == {message_id: {DELIVRD}} and gate.effects == {b"one": 1}
