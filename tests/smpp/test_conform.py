"""The conformance cases pass against the server of this project, and detect injected defects."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest

from kestrelspar.runtime.loop import SECOND, connect
from kestrelspar.smpp import conform, pdu, probe, server, session, table
from kestrelspar.smpp.conform import Credentials
from kestrelspar.smpp.pdu import Command, Pdu, Status
from kestrelspar.smpp.probe import Verdict
from tests.smpp_standins import StandInGateway, gateway
from tests.test_smpp import SmppTestbed

ACCOUNT = Credentials("acme", "secret")


def run_cases(directory: Path, *groups: str) -> list[Verdict]:
    testbed = SmppTestbed(directory, max_open=400)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    verdicts: list[Verdict] = []
    chosen = [case for case in conform.cases(ACCOUNT) if not groups or case.group in groups]
    dial = probe.tcp_dialer(testbed.loop, testbed.buffers, testbed.address)
    testbed.loop.spawn(lambda: probe.CaseRunner(testbed.loop, dial, ACCOUNT, 2 * SECOND).run(chosen, verdicts.append))
    testbed.run_until(lambda: len(verdicts) == len(chosen), 3_600 * SECOND)
    return verdicts


def test_our_message_centre_conforms(tmp_path: Path) -> None:
    verdicts = run_cases(tmp_path)
    assert len(verdicts) >= 150 and len({(v.case.group, v.case.name) for v in verdicts}) == len(verdicts)
    assert [(v.case.name, str(v.case.expected), v.fault) for v in verdicts if v.fault] == []
    assert set(Counter(v.case.group for v in verdicts)) == {
        "states",
        "binds",
        "headers",
        "fields",
        "parameters",
        "meaning",
        "unasked",
    }


def inject_defect(monkeypatch: pytest.MonkeyPatch, defect: str) -> None:
    if defect == "any password":
        monkeypatch.setattr(server.Verifier, "matches", lambda *arguments: True)
    elif defect == "sequence":
        real = session.Session.send
        monkeypatch.setattr(
            session.Session,
            "send",
            lambda self, sent: real(self, Pdu(sent.command, 1, sent.status, sent.fields, sent.message, sent.tlvs)),
        )
    elif defect == "states":
        monkeypatch.setattr(server, "BOUND_STATES", dict.fromkeys(table.BOUND_STATES, table.SessionState.TRX))
    elif defect == "parameters":
        real_decode = pdu.decode

        def lenient(data: bytes) -> Pdu:
            try:
                return real_decode(data)
            except pdu.MalformedPduError:
                return Pdu(Command.SUBMIT_SM, int.from_bytes(data[12:16], "big"))

        monkeypatch.setattr(session.p, "decode", lenient)
    elif defect == "cut":
        monkeypatch.setattr(session.Session, "_reject", lambda self, error: self.close())


# An injected defect, the group of cases that is run, and a case of it that has to fail.
@pytest.mark.parametrize(
    ("defect", "group", "case"),
    [
        ("any password", "binds", "bind_receiver with another password"),
        ("sequence", "headers", "a PDU in single bytes"),
        ("states", "states", "submit_sm while receiver"),
        ("parameters", "parameters", "submit_sm with half a tag"),
        ("cut", "headers", "unknown command_id 0x0000000a while transceiver"),
    ],
)
def test_defects_of_a_message_centre_are_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, defect: str, group: str, case: str
) -> None:
    inject_defect(monkeypatch, defect)
    assert case in {v.case.name for v in run_cases(tmp_path, group) if v.fault}


def test_every_case_fails_without_a_connection(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    verdicts: list[Verdict] = []
    # Tries to connect where nothing listens, so that the attempt fails as in use.
    dial = lambda deadline: None if connect(testbed.loop, ("127.0.0.1", 9), deadline) is None else None  # noqa: E731
    chosen = [case for case in conform.cases(ACCOUNT) if case.group == "unasked"]
    testbed.loop.spawn(lambda: probe.CaseRunner(testbed.loop, dial, ACCOUNT, SECOND).run(chosen, verdicts.append))
    testbed.run_until(lambda: len(verdicts) == len(chosen))
    assert {v.fault for v in verdicts} == {"no connection"}


def test_a_status_is_shown_by_its_name_or_if_undefined_by_its_number() -> None:
    assert conform.status_name(Status.ESME_RTHROTTLED) == "ESME_RTHROTTLED" and conform.status_name(0x401) == "0x401"
