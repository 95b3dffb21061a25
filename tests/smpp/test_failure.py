"""Failure at every step, of both roles: one final answer each, and nothing sent that its class forbids."""

from __future__ import annotations

import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from kestrelspar.core.courier import Result
from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.smpp import link
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.pdu import Command, Pdu, Status
from snowlock.interface import Outcome
from tests.smpp.test_operations import asked, submitted
from tests.smpp.test_pace import within_a_second
from tests.smpp_standins import StandInContractor, StandInGateway, gateway
from tests.test_smpp import Stage, submit_all

DELIVRD, UNDELIV, REJECTD = 2, 5, 8
SERVICES = ("RD", "WO", "PAY")


def checked(
    stage: Stage, gate: StandInGateway, contractor: StandInContractor, count: int, payments: bool
) -> Counter[int]:
    """Wait for the ends: exactly one each; a payment took effect once at most, and surely where it is delivered."""
    stage.until(lambda: len(contractor.ends()) == count and not stage.journal.entries, 300 * SECOND)
    ends = contractor.ends()
    assert all(len(states) == 1 for states in ends.values())
    states = Counter(next(iter(s)) for s in ends.values())
    if payments:
        assert all(times == 1 for times in gate.effects.values())
        assert gate.effects.total() >= states[DELIVRD]
    assert not gate.concurrent_copies, "two attempts of a message at once"
    return states


def answers_with(what: str) -> object:
    """How a gateway spoils its answer to the first submit."""

    def spoil(gate: StandInGateway, stream: object, pdu: Pdu) -> list[bytes]:
        good = pdu.reply(0, message_id="g")
        if what == "never asked":
            return [p.encode(Pdu(Command.SUBMIT_SM_RESP, 0x7000, 0, {"message_id": "x"})), p.encode(good)]
        if what == "twice":
            return [p.encode(good), p.encode(good)]
        if what == "other type":
            return [p.encode(Pdu(Command.QUERY_SM_RESP, pdu.sequence, 0, {"message_id": "x"}))]
        if what == "nack":
            return [p.encode(Pdu(Command.GENERIC_NACK, pdu.sequence, Status.ESME_RINVCMDID))]
        if what == "nack without a status":
            return [p.encode(Pdu(Command.GENERIC_NACK, pdu.sequence, 0))]
        if what == "a body that will not do":
            return [p.HEADER.pack(18, Command.SUBMIT_SM_RESP, 0, pdu.sequence) + b"xx"]
        return [b"\0\0\0\3garbage"]  # no length

    return spoil


@pytest.mark.parametrize("service", SERVICES)
@pytest.mark.parametrize(
    "what", ["never asked", "twice", "other type", "nack", "nack without a status", "a body that will not do", "no PDU"]
)
def test_a_gateway_that_answers_wrongly(tmp_path: Path, what: str, service: str) -> None:
    stage = Stage(tmp_path)
    gate = StandInGateway(stage)
    spoil, real, spoilt = answers_with(what), gate.write_bytes, []

    def write(stream: object, data: bytes) -> None:
        pdu = p.decode(data)
        if pdu.command is Command.SUBMIT_SM_RESP and not spoilt:
            spoilt.append(pdu)
            for piece in spoil(gate, stream, Pdu(Command.SUBMIT_SM, pdu.sequence)):  # type: ignore[operator]
                real(stream, piece)  # type: ignore[arg-type]
        else:
            real(stream, data)  # type: ignore[arg-type]

    gate.write_bytes = write  # type: ignore[method-assign, assignment]
    stage.open(gateway(gate.address))
    contractor = stage.contractor()
    submit_all(stage, contractor, service, 3)
    states = checked(stage, gate, contractor, 3, service == "PAY")
    assert spoilt
    if what in ("never asked", "twice"):
        assert states == {DELIVRD: 3} and gate.effects.total() == 3
    elif service == "PAY" or what == "nack":  # ESME_RINVCMDID: it would be rejected again, so it is not sent again
        assert states[UNDELIV] >= 1 and gate.effects.total() == 3
    else:
        assert states == {DELIVRD: 3} and gate.effects.total() > 3


@pytest.mark.parametrize("service", SERVICES)
def test_a_gateway_that_unbinds_with_submits_out(tmp_path: Path, service: str) -> None:
    stage = Stage(tmp_path, slots=20)
    gate = StandInGateway(stage, pause=lambda _: 40 * MS)
    stage.open(gateway(gate.address, window=10))
    contractor = stage.contractor()

    def leave() -> None:
        while gate.in_flight < 3:
            stage.loop.sleep(MS)
        stream = gate.bound()
        gate.write(stream, Pdu(Command.UNBIND, 77))

    stage.loop.spawn(leave)
    submit_all(stage, contractor, service, 8)
    states = checked(stage, gate, contractor, 8, service == "PAY")
    assert states == {DELIVRD: 8} and gate.effects.total() == 8, "its answers to what was out were not waited for"


@pytest.mark.parametrize("service", SERVICES)
def test_a_gateway_that_stops_reading(tmp_path: Path, service: str, monkeypatch: pytest.MonkeyPatch) -> None:
    real_connect = link.connect

    def connect(*given: Any) -> socket.socket | None:
        sock = real_connect(*given)
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)  # so that our writes block
        return sock

    monkeypatch.setattr(link, "connect", connect)
    stage = Stage(tmp_path, slots=20)
    gate = StandInGateway(stage)
    real, stuck = gate.serve, []

    def serve(stream: object) -> None:
        if not stuck:
            stuck.append(stream)
            sock = stream.sock  # type: ignore[attr-defined]
            got = b""
            while len(got) < 16:  # its bind is answered, and nothing is read after that
                stage.loop.readable(sock, None)
                got += sock.recv(1)
            while len(got) < int.from_bytes(got[:4], "big"):
                got += sock.recv(1)
            sock.send(p.encode(p.decode(got).reply(system_id="stuck")))
            return
        real(stream)  # type: ignore[arg-type]

    gate.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    gate.serve = serve  # type: ignore[method-assign, assignment]
    stage.open(gateway(gate.address, enquire=300 * MS, response=300 * MS, window=4))
    contractor = stage.contractor()
    stage.loop.spawn(
        lambda: [
            contractor.ask(
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
    stage.until(lambda: len(contractor.accepted()) == 8)
    states = checked(stage, gate, contractor, 8, service == "PAY")
    assert stuck and states[UNDELIV] <= 2, "what did not go out whole never ran"


@pytest.mark.parametrize("service", SERVICES)
def test_a_link_that_falls_silent_with_fifty_out(tmp_path: Path, service: str) -> None:
    stage = Stage(tmp_path, slots=120, max_open=200)
    quiet: list[bytes] = []

    def script(pdu: Pdu) -> int | None:
        if len(quiet) < 50 and pdu.message not in quiet:
            quiet.append(pdu.message)
            return None
        return 0

    gate = StandInGateway(stage, script=script)
    stage.open(gateway(gate.address, window=50, enquire=300 * MS, response=300 * MS))
    contractor = stage.contractor()
    submit_all(stage, contractor, "RD", 1)
    stage.loop.spawn(lambda: [contractor.submit(f"{service}{n}".encode(), service) for n in range(60)])
    stage.until(lambda: len(contractor.answers) == 62)
    # Its window is 50: where more than that arrive in one turn, what is above is refused.
    states = checked(stage, gate, contractor, len(contractor.accepted()), service == "PAY")
    assert len(quiet) > 1 and states.total() > 50 and (service == "PAY") == (states[UNDELIV] > 0)


@pytest.mark.parametrize("outcome", ["response", "receipt"])
def test_a_thousand_with_throttling_in_the_middle(tmp_path: Path, outcome: str) -> None:
    stage = Stage(tmp_path, slots=40, max_open=1_200)
    limit = within_a_second(200)

    def script(pdu: Pdu) -> int:
        return 0 if limit(stage.loop.now) else Status.ESME_RTHROTTLED

    gate = StandInGateway(stage, script=script, pause=lambda _: 2 * MS)
    gate.name = lambda pdu: pdu.message.decode()
    if outcome == "receipt":
        gate.before = lambda pdu, stream: stage.loop.at(
            stage.loop.now + 50 * MS, lambda: gate.receipt(pdu.message.decode(), "DELIVRD", stream)
        )
    stage.open(gateway(gate.address, window=20, throttle_wait=20 * MS, outcome=outcome))
    contractor = stage.contractor()

    def hand_in() -> None:
        for number in range(1_000):
            contractor.submit(b"%d" % number, SERVICES[number % 3])
            if not number % 20:
                stage.loop.sleep(5 * MS)

    stage.loop.spawn(hand_in)
    stage.until(lambda: len(contractor.answers) == 1_001, 300 * SECOND)
    taken = len(contractor.accepted())
    states = checked(stage, gate, contractor, taken, False)
    payments = [b"%d" % number for number in range(1_000) if SERVICES[number % 3] == "PAY"]
    assert all(gate.effects[text] <= 1 for text in payments) and states.total() == taken
    assert len(gate.effects) >= states[DELIVRD] > taken // 2, "a busy machine may time some out"


def test_what_waits_for_its_turn_does_not_time_out_as_it_leaves(tmp_path: Path) -> None:
    stage = Stage(tmp_path, slots=40)
    gate = StandInGateway(stage, pause=lambda _: 30 * MS)
    stage.open(gateway(gate.address, rate=8, window=20))
    contractor = stage.contractor()
    found: list[Result] = []
    real = stage.gates._attempt
    stage.gates._attempt = lambda *given: found.append(real(*given)) or found[-1]  # type: ignore[method-assign]
    for text in (b"a", b"b", b"c", b"d"):  # the module learns how quick it is
        submitted(stage, contractor, text, "RD")
        stage.until(lambda text=text: text in gate.effects)  # type: ignore[misc]
    stage.loop.spawn(lambda: [contractor.submit(b"%d" % n, "RD") for n in range(10)])
    checked(stage, gate, contractor, 14, False)
    assert Counter(result.outcome for result in found) == {Outcome.OK: 14} and max(r.waited for r in found) > 400 * MS


@pytest.mark.parametrize("service", SERVICES)
@pytest.mark.parametrize("step", ["bind", "submit", "answered", "accepted", "receipt"])
def test_a_kill_at_every_step(tmp_path: Path, step: str, service: str) -> None:
    """The first process just stops, as SIGKILL would stop it, and another one takes its folder up."""
    outcome = "receipt" if step in ("accepted", "receipt") else "response"
    stage = Stage(tmp_path)
    silent = step == "submit"
    gate = StandInGateway(stage, script=lambda _: None if silent else 0)
    gate.name = lambda pdu: pdu.message.decode()
    stage.open(gateway(gate.address, outcome=outcome) if step != "bind" else gateway(("127.0.0.1", 9)))
    contractor = stage.contractor()
    name = submitted(stage, contractor, b"one", service)
    if step == "bind":
        stage.until(lambda: stage.courier.open)
    elif step in ("submit", "answered"):
        stage.until(lambda: gate.submits)
    else:
        stage.until(lambda: stage.courier._awaiting)
    if step == "receipt":  # the gateway has sent it, and nobody has read it
        gate.receipt("one", "DELIVRD")
    again = Stage(tmp_path)
    heir_gate = StandInGateway(again)
    again.open(gateway(heir_gate.address, outcome=outcome))
    heir = again.contractor()
    if outcome == "receipt":
        again.until(lambda: Command.BIND_TRANSCEIVER in heir_gate.streams)
        heir_gate.receipt("one", "DELIVRD")  # not acknowledged, so it comes again
    again.until(lambda: heir.receipts and not again.journal.entries)
    assert len(heir.receipts) == 1 and set(heir.ends()) == {name}
    state = next(iter(heir.ends()[name]))
    ran = step != "bind"
    if outcome == "receipt":
        assert state == DELIVRD and not heir_gate.submits
    elif service == "PAY" and ran:
        assert state == UNDELIV and not heir_gate.submits
    else:
        assert state == DELIVRD and len(heir_gate.submits) == 1


@pytest.mark.parametrize("step", ["waiting", "out", "awaiting"])
def test_sigterm_at_every_step_leaves_in_time_and_loses_nothing(tmp_path: Path, step: str) -> None:
    stage = Stage(tmp_path)
    gate = StandInGateway(stage, pause=lambda _: 3 * SECOND if step == "out" else MS)
    gate.name = lambda pdu: pdu.message.decode()
    stage.open(
        gateway(gate.address if step != "waiting" else ("127.0.0.1", 9), outcome="receipt", response=10 * SECOND)
    )
    contractor = stage.contractor()
    name = submitted(stage, contractor, b"one", "PAY")
    stage.until(
        {
            "waiting": lambda: stage.courier.open,
            "out": lambda: gate.submits,
            "awaiting": lambda: stage.courier._awaiting,
        }[step]
    )
    begun = stage.loop.now
    stage.courier.close()
    assert (
        asked(
            stage, contractor, Command.SUBMIT_SM, b"x", service_type="RD", source_addr="1", destination_addr="3725550"
        ).status
        == Status.ESME_RTHROTTLED
    )
    stage.until(lambda: stage.loop._stopped)
    assert stage.loop.now - begun < 3_700 * MS and name not in contractor.ends()
    again = Stage(tmp_path)
    heir_gate = StandInGateway(again)
    again.open(gateway(heir_gate.address))
    heir = again.contractor()
    again.until(lambda: heir.receipts and not again.journal.entries)
    states = {"waiting": {DELIVRD}, "out": {UNDELIV}, "awaiting": {UNDELIV}}
    assert heir.ends()[name] == states[step] or heir.ends()[name] == {3}
    assert len(heir_gate.submits) == (step == "waiting")


@pytest.mark.parametrize("cut", ["half a PDU", "receipt unread", "unbind with a receipt out", "answers nothing"])
def test_a_contractor_that_fails_gets_its_receipt_on_another_session(tmp_path: Path, cut: str) -> None:
    stage = Stage(tmp_path)
    gate = StandInGateway(stage, pause=lambda _: 20 * MS)
    stage.open(gateway(gate.address))
    contractor = stage.contractor()
    if cut == "receipt unread":
        contractor.drop_receipts = 1
    elif cut != "half a PDU":
        contractor.replies = None
    name = submitted(stage, contractor, b"one", "PAY")
    if cut == "half a PDU":
        contractor.stream.write(p.encode(Pdu(Command.ENQUIRE_LINK, 5))[:9], None)
        contractor.stream.close()
    else:
        stage.until(lambda: contractor.receipts)
        if cut == "unbind with a receipt out":
            contractor.ask(Command.UNBIND)
    again = stage.contractor()
    stage.until(lambda: again.receipts and not stage.journal.entries)
    assert again.ends() == {name: {DELIVRD}} and gate.effects == {b"one": 1}
