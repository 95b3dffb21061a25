"""Parts of a long message that arrive by submit_multi: each is a message of its own, also after a restart."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.runtime.loop import SECOND
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.parts import UDHI
from kestrelspar.smpp.pdu import Command, Destination, Pdu, State
from tests.smpp.test_operations import exchange
from tests.smpp.test_parts import SAR, UDH, sar
from tests.smpp_standins import StandInContractor, StandInGateway, gateway
from tests.test_smpp import SmppTestbed

TEXTS = (b"charge fee 1, ", b"reference ABC")
GATEWAY_TIMEOUT = 20 * SECOND


def submit_parts(testbed: SmppTestbed, contractor: StandInContractor, how: str, service: str) -> list[str]:
    """Submit both parts to one address; returns their message ids."""
    ids = []
    for place, text in enumerate(TEXTS, 1):
        is_udh = how == UDH
        response = exchange(
            testbed,
            contractor,
            Command.SUBMIT_MULTI,
            header(place) + text if is_udh else text,
            [] if is_udh else sar(77, 2, place),
            [Destination("3725551")],
            service_type=service,
            source_addr="100",
            registered_delivery=1,
            esm_class=UDHI if is_udh else 0,
        )
        assert response.status == 0
        ids.append(response.text("message_id"))
    return ids


def header(place: int) -> bytes:
    """The user data header of a part."""
    return bytes([5, 0, 3, 77, 2, place])


@pytest.mark.parametrize("how", [UDH, SAR])
def test_parts_by_submit_multi_reach_the_gateway_unchanged(tmp_path: Path, how: str) -> None:
    # Guards against parts without their header, which no receiver can join.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    ids = submit_parts(testbed, contractor, how, "PAY")
    testbed.run_until(lambda: len(contractor.receipts) == 2 and not testbed.journal.entries)
    assert contractor.final_states() == {message_id: {State.DELIVERED} for message_id in ids}
    assert len(gate.submits) == 2
    in_order = sorted(gate.submits, key=lambda sent: TEXTS[1] in sent.message)
    for place, sent in enumerate(in_order, 1):
        text = TEXTS[place - 1]
        assert sent.message == (header(place) + text if how == UDH else text)
        assert bool(sent.number("esm_class") & UDHI) is (how == UDH)
        assert [(tag, sent.tlv(tag)) for tag, _ in sar(77, 2, place)] == (
            sar(77, 2, place) if how == SAR else [(tag, None) for tag, _ in sar(77, 2, place)]
        )


@pytest.mark.parametrize("how", [UDH, SAR])
@pytest.mark.parametrize("outcome", ["response", "receipt"])
@pytest.mark.parametrize("restart", ["SIGKILL", "SIGTERM"])
def test_parts_of_a_payment_that_may_have_run_are_not_sent_again_after_a_restart(
    tmp_path: Path, how: str, outcome: str, restart: str
) -> None:
    # Guards against a payment that runs twice: after a kill its parts were joined, and sent as a new message.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed, script=lambda _: 0 if outcome == "receipt" else None)
    settings = gateway(gate.address, outcome=outcome, response_timeout=GATEWAY_TIMEOUT)
    testbed.open(settings)
    ids = submit_parts(testbed, testbed.contractor(), how, "PAY")
    testbed.run_until(lambda: len(gate.submits) == 2)
    testbed.run_for(SECOND // 10)
    if restart == "SIGTERM":
        testbed.courier.close()
        testbed.run_until(lambda: testbed.loop._stopped)
    second = SmppTestbed(tmp_path)
    later_gate = StandInGateway(second)
    second.open(gateway(later_gate.address, outcome=outcome, response_timeout=GATEWAY_TIMEOUT))
    contractor = second.contractor()
    second.run_until(lambda: len(contractor.receipts) == 2 and not second.journal.entries)
    assert not later_gate.submits
    (states,) = {frozenset(states) for states in contractor.final_states().values()}
    assert set(contractor.final_states()) == set(ids) and states <= {State.UNDELIVERABLE, State.EXPIRED}


@pytest.mark.parametrize(("service", "submits"), [("PAY", 0), ("RD", 1), ("WO", 1)])
@pytest.mark.parametrize("was_attempted", [True, False])
def test_a_part_in_the_journal_of_an_earlier_version_is_a_message_of_its_own(
    tmp_path: Path, service: str, submits: int, was_attempted: bool
) -> None:
    # Guards against the same after an upgrade: earlier versions marked these messages as parts in the journal.
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 1)))  # no gateway listens there
    account = testbed.server.config.accounts[0]
    fields = {"service_type": service, "source_addr": "100", "destination_addr": "3725551", "registered_delivery": 1}
    pdu = Pdu(Command.SUBMIT_SM, 1, 0, {**fields, "esm_class": UDHI}, header(1) + TEXTS[0])
    message = testbed.server._build_message(account, pdu, "shown-0", "shown")
    assert "part" in message.extra
    assert testbed.courier.accept(message, lambda answer: answer.accepted)
    if was_attempted:
        testbed.journal.record_attempt(message.number, 0, testbed.loop.now)
    second = SmppTestbed(tmp_path)
    gate = StandInGateway(second)
    second.open(gateway(gate.address))
    contractor = second.contractor()
    second.run_until(lambda: contractor.receipts and not second.journal.entries)
    assert len(gate.submits) == (submits if was_attempted else 1)
    assert len(contractor.receipts) == 1 and gate.queries == []
    assert all(sent.tlv(p.MESSAGE_PAYLOAD) is None for sent in gate.submits)
