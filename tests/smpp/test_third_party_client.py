"""The program with a third-party SMPP client library: long texts, receipts, queries."""

from __future__ import annotations

import signal
from pathlib import Path

import smpplib.client
import smpplib.consts
import smpplib.gsm

from tests.test_program import TEST_TIMEOUT, Program, StandInPlatform, free_port, smpp_conf, wait_until, world

__all__ = ["world"]


def test_a_third_party_client_binds_submits_in_parts_and_queries(tmp_path: Path, world: str) -> None:
    port = free_port()
    program = Program(tmp_path, world, KESTRELSPAR_CONF=smpp_conf(tmp_path, port)).ready()
    client = smpplib.client.Client("127.0.0.1", port, timeout=TEST_TIMEOUT, allow_unknown_opt_params=True)
    answers: dict[int, object] = {}
    receipts: list[bytes] = []
    client.set_message_sent_handler(lambda pdu: answers.__setitem__(pdu.sequence, pdu.message_id.decode()))
    client.set_message_received_handler(lambda pdu: receipts.append(pdu.receipted_message_id) or 0)
    client.set_query_resp_handler(lambda pdu: answers.__setitem__(pdu.sequence, pdu.message_state))
    client.connect()
    client.bind_transceiver(system_id="acme", password="pw")

    def submit(**fields: object) -> str:
        pdu = client.send_message(source_addr="100", destination_addr="3721", registered_delivery=True, **fields)
        while pdu.sequence not in answers:
            client.read_once()
        return str(answers[pdu.sequence])

    parts, coding, esm_flags = smpplib.gsm.make_parts("long " * 80)
    message_ids = [submit(short_message=part, data_coding=coding, esm_class=esm_flags) for part in parts]
    assert len(message_ids) == 3
    while len(receipts) < 3:
        client.read_once()
    assert {receipt.rstrip(b"\0").decode() for receipt in receipts} == set(message_ids) and len(
        StandInPlatform.calls
    ) == 1
    scheduled = submit(short_message=b"x", schedule_delivery_time="000000000100000R")
    # State 1 is ENROUTE.
    for submitted_id, state in ((message_ids[0], smpplib.consts.SMPP_MESSAGE_STATE_DELIVERED), (scheduled, 1)):
        query = client.query_message(message_id=submitted_id, source_addr_ton=0, source_addr_npi=0, source_addr="100")
        while query.sequence not in answers:
            client.read_once()
        assert answers[query.sequence] == state
    client.unbind()
    client.disconnect()
    wait_until(lambda: program.request_status("GET", "/health/ready") == 200)
    code, out = program.end(signal.SIGTERM)
    assert code == 0 and "event=fault" not in out
