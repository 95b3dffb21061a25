"""Concatenated messages: identification, reassembly in any order, bounds, splitting, and one receipt for each part."""

from __future__ import annotations

import dataclasses
import itertools
from functools import partial
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.smpp import parts
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.alphabets import encode_text
from kestrelspar.smpp.client import TimedOutSubmits
from kestrelspar.smpp.parts import InvalidPartError, Part, PartDisposition, Reassembler
from kestrelspar.smpp.pdu import Command, Pdu, State, Status
from tests.bench import CLOCK, SkippingLoop
from tests.smpp.test_operations import exchange, query_state, retain_ended
from tests.smpp_standins import StandInContractor, StandInGateway, gateway
from tests.test_smpp import SmppTestbed

PART_TEXTS = [b"one ", b"two ", b"three"]
UDH, SAR = "udh", "sar"


def sar(ref: int, total: int, place: int) -> list[tuple[int, bytes]]:
    return [
        (p.SAR_MSG_REF_NUM, ref.to_bytes(2, "big")),
        (p.SAR_TOTAL_SEGMENTS, bytes([total])),
        (p.SAR_SEGMENT_SEQNUM, bytes([place])),
    ]


# ``expected``: the part and its text; or the status that refuses it; or None for no part, with the text unchanged.
@pytest.mark.parametrize(
    ("text", "tlvs", "esm", "expected"),
    [
        (b"\x05\x00\x03\x09\x02\x01hi", [], 0x40, (Part("udh8", 9, 2, 1), b"hi")),
        (b"\x06\x08\x04\x01\x09\x02\x02hi", [], 0x43, (Part("udh16", 265, 2, 2), b"hi")),
        (b"hi", sar(7, 3, 3), 0, (Part("sar", 7, 3, 3), b"hi")),
        (b"\x05\x00\x03\x09\x02\x01hi", [], 0, (None, b"\x05\x00\x03\x09\x02\x01hi")),  # no header indicator
        (
            b"\x06\x05\x04\x0b\x84\x23\xf0hi",
            [],
            0x40,
            (None, b"\x06\x05\x04\x0b\x84\x23\xf0hi"),  # a header with port numbers, which is for the handset
        ),
        (b"\x0b\x00\x03\x09\x02\x01\x05\x04\x0b\x84\x23\xf0hi", [], 0x40, None),  # a reference and port numbers
        (b"", [], 0x40, Status.ESME_RINVESMCLASS),
        (b"\x09\x00", [], 0x40, Status.ESME_RINVESMCLASS),
        (b"\x03\x00\x09\x01x", [], 0x40, Status.ESME_RINVESMCLASS),
        (b"\x04\x00\x02\x09\x02x", [], 0x40, Status.ESME_RINVESMCLASS),
        (b"\x05\x00\x03\x09\x02\x03hi", [], 0x40, Status.ESME_RINVESMCLASS),  # part 3 of 2
        (b"\x05\x00\x03\x09\x00\x00hi", [], 0x40, Status.ESME_RINVESMCLASS),
        (b"hi", sar(7, 3, 0), 0, Status.ESME_RINVOPTPARAMVAL),
        (b"hi", sar(7, 3, 1)[:2], 0, Status.ESME_RMISSINGOPTPARAM),
        (b"hi", [(p.SAR_MSG_REF_NUM, b"\1"), *sar(1, 2, 1)[1:]], 0, Status.ESME_RINVOPTPARAMVAL),
    ],
)
def test_parts_are_identified_by_their_header_or_sar_parameters(
    text: bytes, tlvs: list[tuple[int, bytes]], esm: int, expected: object
) -> None:
    pdu = Pdu(Command.SUBMIT_SM, 1, 0, {"esm_class": esm}, text, tlvs)
    if isinstance(expected, Status):
        with pytest.raises(InvalidPartError) as caught:
            parts.identify_part(pdu, text)
        assert caught.value.status is expected
    else:
        assert parts.identify_part(pdu, text) == (expected or (None, text))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.permutations(range(1, 7)), st.lists(st.integers(1, 6), max_size=6))
def test_parts_in_any_order_with_duplicates_make_one_message(order: list[int], repeats: list[int]) -> None:
    reassembler, number, complete = Reassembler(SECOND), itertools.count(1), []
    for place in [*repeats, *order]:
        part = Part("sar", 1, 6, place)
        if complete or reassembler.classify(("a",), part, 10)[0] is PartDisposition.REPEATED:
            continue
        # The last digit of the message number tells the position of the part.
        found = reassembler.add(0, ("a",), part, next(number) * 10 + place, 10, 1 << 60)
        complete += [found] if found else []
    assert len(complete) == 1 and [n % 10 for n in complete[0].numbers] == [1, 2, 3, 4, 5, 6]
    assert reassembler.next_expiry is None


def test_incomplete_messages_are_bounded_and_expire() -> None:
    reassembler = Reassembler(SECOND)
    for n in range(parts.MAX_INCOMPLETE_MESSAGES):
        assert reassembler.classify((n,), Part("sar", 1, 2, 1), 10)[0] is PartDisposition.HELD
        reassembler.add(n, (n,), Part("sar", 1, 2, 1), n, 60_000, 1 << 60)
    assert reassembler.classify(("one more",), Part("sar", 1, 2, 1), 10)[0] is PartDisposition.NO_ROOM
    # This part would exceed the maximum message size.
    assert reassembler.classify((0,), Part("sar", 1, 2, 2), 60_000)[0] is PartDisposition.NO_ROOM
    assert reassembler.classify((0,), Part("sar", 1, 2, 2), 10)[0] is PartDisposition.WHOLE
    # A reference of another kind belongs to another message, for which there is no room.
    assert reassembler.classify((0,), Part("udh8", 1, 2, 1), 10)[0] is PartDisposition.NO_ROOM
    assert [found.numbers for found in reassembler.pop_expired(SECOND + 1)] == [[0], [1]]
    assert reassembler.next_expiry == SECOND + 2


def submit_part(
    testbed: SmppTestbed,
    contractor: StandInContractor,
    how: str,
    ref: int,
    place: int,
    service: str = "WO",
    text: bytes | None = None,
) -> Pdu:
    fields = {"service_type": service, "source_addr": "100", "destination_addr": "3725550", "registered_delivery": 1}
    text = PART_TEXTS[place - 1] if text is None else text
    if how == UDH:
        header = bytes([5, 0, 3, ref, 3, place])
        return exchange(testbed, contractor, Command.SUBMIT_SM, header + text, esm_class=0x40, **fields)
    return exchange(testbed, contractor, Command.SUBMIT_SM, text, sar(ref, 3, place), **fields)


@pytest.mark.parametrize("how", [UDH, SAR])
@pytest.mark.parametrize("service", ["RD", "WO", "PAY"])
def test_parts_in_any_order_become_one_call_with_a_receipt_for_each(tmp_path: Path, how: str, service: str) -> None:
    testbed = retain_ended(SmppTestbed(tmp_path))
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    message_ids = [
        submit_part(testbed, contractor, how, 9, place, service).text("message_id") for place in (3, 1, 1, 2)
    ]
    assert message_ids[1] == message_ids[2], "a duplicate part has to get the same response again"
    testbed.run_until(lambda: len(contractor.receipts) == 3 and not testbed.journal.entries)
    assert contractor.final_states() == {message_id: {State.DELIVERED} for message_id in message_ids}
    (sent,) = gate.submits
    assert sent.tlv(p.MESSAGE_PAYLOAD) == b"one two three" and not sent.number("esm_class") & 0x40
    assert all(sent.tlv(tag) is None for tag in parts.SAR)
    assert [query_state(testbed, contractor, message_id) for message_id in message_ids] == [State.DELIVERED] * 4


def test_without_a_missing_part_each_of_the_others_expires_once(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    message_ids = [submit_part(testbed, contractor, SAR, 9, place).text("message_id") for place in (1, 3)]
    testbed.run_until(lambda: len(contractor.receipts) == 2 and not testbed.journal.entries)
    assert contractor.final_states() == {message_id: {State.EXPIRED} for message_id in message_ids} and not gate.submits
    assert submit_part(testbed, contractor, SAR, 9, 2).status == 0  # begins a new message


def test_parts_that_cannot_be_journalled_as_one_message_end_in_time(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 1)))
    testbed.courier.join = lambda whole, parts: False  # type: ignore[method-assign]
    contractor = testbed.contractor()
    started_at = testbed.loop.now
    for place in (1, 2):
        submit_part(testbed, contractor, SAR, 9, place)
    testbed.run_for(400 * MS)
    submit_part(testbed, contractor, SAR, 9, 3)
    testbed.run_until(lambda: len(contractor.receipts) == 3)
    assert testbed.loop.now - started_at < testbed.courier.settings.classes[1].deadline_ns // 1000


def test_parts_end_by_their_own_deadline_even_if_a_later_message_expires_first(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 1)))
    contractor = testbed.contractor()
    begin = testbed.loop.now
    submit_part(testbed, contractor, SAR, 1, 1)
    short_lived = exchange(
        testbed,
        contractor,
        Command.SUBMIT_SM,
        b"x",
        sar(2, 3, 1),
        service_type="WO",
        source_addr="100",
        destination_addr="3725550",
        registered_delivery=1,
        validity_period="000000000003000R",
    )
    testbed.run_until(lambda: contractor.receipts)
    assert (
        contractor.final_states() == {short_lived.text("message_id"): {State.EXPIRED}}
        and testbed.loop.now - begin <= 3 * SECOND
    )


def test_the_id_of_one_part_cannot_replace_the_whole_message(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 1)))
    contractor = testbed.contractor()
    fields = {
        "source_addr": "100",
        "destination_addr": "3725550",
        "service_type": "WO",
        "registered_delivery": 1,
        "schedule_delivery_time": "000000000100000R",
    }
    message_ids = [
        exchange(testbed, contractor, Command.SUBMIT_SM, PART_TEXTS[n - 1], sar(7, 3, n), **fields).text("message_id")
        for n in (1, 2, 3)
    ]
    testbed.run_until(lambda: len(testbed.journal.entries) == 1)
    for command, status in ((Command.REPLACE_SM, Status.ESME_RREPLACEFAIL), (Command.CANCEL_SM, 0)):
        assert (
            exchange(
                testbed,
                contractor,
                command,
                b"new" if command is Command.REPLACE_SM else b"",
                message_id=message_ids[1],
                source_addr="100",
            ).status
            == status
        )
    testbed.run_until(lambda: len(contractor.receipts) == 3)
    assert contractor.final_states() == {message_id: {State.DELETED} for message_id in message_ids}


def test_parts_survive_a_restart_and_a_crash_during_reassembly(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    testbed.open(gateway(("127.0.0.1", 1)))  # no gateway listens there
    contractor = testbed.contractor()
    message_ids = [submit_part(testbed, contractor, UDH, 4, place).text("message_id") for place in (2, 1)]
    second = SmppTestbed(tmp_path)
    second.open(gateway(("127.0.0.1", 1)))
    contractor = second.contractor()
    second.journal.record_done = lambda number: None  # type: ignore[method-assign, assignment]
    message_ids.append(submit_part(second, contractor, UDH, 4, 3).text("message_id"))
    second.run_until(lambda: len(second.journal.entries) == 4)
    third = SmppTestbed(tmp_path)
    gate = StandInGateway(third)
    third.open(gateway(gate.address))
    contractor = third.contractor()
    third.run_until(lambda: len(contractor.receipts) == 3 and not third.journal.entries)
    assert contractor.final_states() == {message_id: {State.DELIVERED} for message_id in message_ids}
    assert [s.tlv(p.MESSAGE_PAYLOAD) for s in gate.submits] == [b"one two three"]


def test_malformed_parts_are_refused_and_reassembly_can_be_disabled(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    fields = {"service_type": "WO", "source_addr": "100", "destination_addr": "3725550"}
    assert (
        exchange(testbed, contractor, Command.SUBMIT_SM, b"\x09", esm_class=0x40, **fields).status
        == Status.ESME_RINVESMCLASS
    )
    testbed.server.config = dataclasses.replace(testbed.server.config, parts_timeout=0)
    assert submit_part(testbed, contractor, SAR, 1, 1).status == 0
    testbed.run_until(lambda: gate.submits)
    assert gate.submits[0].message == PART_TEXTS[0] and gate.submits[0].tlv(p.SAR_TOTAL_SEGMENTS) == b"\3"


# Splitting for gateways


@pytest.mark.parametrize(
    ("text", "coding", "how", "sizes"),
    [
        (b"a" * 160, 0, "udh", [160]),
        (b"a" * 161, 0, "udh", [153, 8]),
        (b"a" * 306, 0, "udh", [153, 153]),
        (b"a" * 161, 0, "sar", [152, 9]),
        (b"\xe9" * 140, 3, "udh", [140]),
        (b"\xe9" * 141, 3, "udh", [134, 7]),
        (b"\xe9" * 141, 0, "udh", [134, 7]),  # not 7-bit text, whatever data_coding says
        (b"a" * 152 + b"\x1b\x65" + b"a" * 20, 0, "udh", [152, 22]),  # a euro sign is not split
        (b"a" * 151 + b"\x1b\x1b" + b"a" * 20, 0, "udh", [153, 20]),  # an escaped escape does not begin a sequence
        ("é".encode("utf-16-be") * 70, 8, "udh", [140]),
        ("é".encode("utf-16-be") * 71, 8, "udh", [134, 8]),
        (("é" * 66 + "😀" + "é" * 10).encode("utf-16-be"), 8, "udh", [132, 24]),
        (b"x" * 141, 4, "udh", [134, 7]),
    ],
)
def test_texts_are_split_only_where_the_air_interface_needs_it(
    text: bytes, coding: int, how: str, sizes: list[int]
) -> None:
    found = parts.split(text, coding, how)
    assert [len(part) for part in found] == sizes and b"".join(found) == text


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.text(st.sampled_from("aé€[😀\x1b"), min_size=1, max_size=700), st.sampled_from(["udh", "sar"]))
def test_split_texts_can_be_reassembled(text: str, how: str) -> None:
    coding, body = encode_text(text.encode())
    pieces = parts.split(body, coding, how)
    if coding == parts.UCS_2:
        assert all(part.decode("utf-16-be") for part in pieces)
    rejoined = []
    for place, piece in enumerate(pieces, 1):
        data, tlvs = parts.mark_part(piece, how, 300, len(pieces), place)
        assert len(data) <= (160 if coding == parts.GSM else 140)
        pdu = Pdu(Command.SUBMIT_SM, 1, 0, {"esm_class": parts.UDHI if how == "udh" else 0}, data, tlvs)
        part, rest = parts.identify_part(pdu, data)
        assert part is not None and (part.total, part.place) == (len(pieces), place)
        rejoined.append(rest)
    assert b"".join(rejoined) == body


@pytest.mark.parametrize(
    ("text", "coding", "octets"),
    [
        ("abc", 0, b"abc"),
        ("@£€", 0, b"\x00\x01\x1be"),
        ("[ÿ", 3, b"[\xff"),
        ("žõ", 8, "žõ".encode("utf-16-be")),
        ("😀", 8, "😀".encode("utf-16-be")),
        (b"\xff\xfe", 4, b"\xff\xfe"),
    ],
)
def test_the_smallest_alphabet_with_all_characters_is_chosen(text: str | bytes, coding: int, octets: bytes) -> None:
    assert encode_text(text.encode() if isinstance(text, str) else text) == (coding, octets)


LONG_TEXT = b"a" * 400  # three parts


def submit_long(testbed: SmppTestbed, contractor: StandInContractor, service: str) -> str:
    answer = exchange(
        testbed,
        contractor,
        Command.SUBMIT_SM,
        b"",
        [(p.MESSAGE_PAYLOAD, LONG_TEXT)],
        service_type=service,
        source_addr="100",
        destination_addr="3725550",
        registered_delivery=1,
    )
    return answer.text("message_id")


@pytest.mark.parametrize("how", [UDH, SAR])
def test_a_long_text_is_sent_in_parts_and_delivered_when_all_are(tmp_path: Path, how: str) -> None:
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address, split=how, window=2))
    contractor = testbed.contractor()
    message_ids = [submit_long(testbed, contractor, "PAY") for _ in range(2)]
    testbed.run_until(lambda: len(contractor.receipts) == 2)
    assert (
        contractor.final_states() == {message_id: {State.DELIVERED} for message_id in message_ids}
        and len(gate.submits) == 6
    )
    found: dict[int, dict[int, bytes]] = {}
    for pdu in gate.submits:
        part, text = parts.identify_part(pdu, pdu.message)
        assert part is not None and part.total == 3
        found.setdefault(part.ref, {})[part.place] = text
    assert [b"".join(pieces[n] for n in (1, 2, 3)) for pieces in found.values()] == [LONG_TEXT, LONG_TEXT]
    assert gate.max_in_flight <= 2


# ``statuses``: the status of each submit_sm in turn (None: no response; 0 after the last one). ``attempts``: how often
# the first part is sent.
@pytest.mark.parametrize(
    ("statuses", "service", "end", "attempts"),
    [
        ([0, Status.ESME_RSYSERR], "PAY", State.UNDELIVERABLE, 1),  # one part may have been processed: no retry
        ([0, 0, None], "PAY", State.UNDELIVERABLE, 1),
        ([0, Status.ESME_RTHROTTLED], "PAY", State.UNDELIVERABLE, 1),
        ([Status.ESME_RTHROTTLED], "PAY", State.DELIVERED, 2),  # the first part was refused: nothing has been processed
        ([0, Status.ESME_RSYSERR], "RD", State.DELIVERED, 2),
        ([0, Status.ESME_RTHROTTLED], "WO", State.DELIVERED, 2),
        ([0, 0, None], "RD", State.DELIVERED, 2),
        ([Status.ESME_RINVDSTADR], "RD", State.REJECTED, 1),
    ],
)
def test_class_rules_apply_to_the_whole_message(
    tmp_path: Path, statuses: list[int | None], service: str, end: State, attempts: int
) -> None:
    testbed = SmppTestbed(tmp_path)
    remaining = list(statuses)
    gate = StandInGateway(testbed, script=lambda _: remaining.pop(0) if remaining else 0)
    testbed.open(gateway(gate.address, split="sar", window=8))
    contractor = testbed.contractor()
    message_id = submit_long(testbed, contractor, service)
    testbed.run_until(lambda: contractor.receipts and not testbed.journal.entries)
    states = contractor.final_states()[message_id]
    # 5 is UNDELIVERABLE, 8 REJECTED.
    assert len(states) == 1 and (states == {end} or end is State.REJECTED and states <= {5, 8})
    first = [pdu for pdu in gate.submits if pdu.tlv(p.SAR_SEGMENT_SEQNUM) == b"\1"]
    assert len(first) == attempts and len({pdu.tlv(p.SAR_MSG_REF_NUM) for pdu in first}) == attempts


def test_no_part_is_sent_after_a_failed_one_and_the_execution_window_begins_with_the_first(tmp_path: Path) -> None:
    testbed = SmppTestbed(tmp_path)
    remaining = [0, 0, Status.ESME_RSYSERR]
    gate = StandInGateway(testbed, script=lambda _: remaining.pop(0) if remaining else 0, pause=lambda _: 200_000)
    testbed.open(gateway(gate.address, split="sar", window=1))
    contractor = testbed.contractor()
    testbed.loop.spawn(submit_long, testbed, contractor, "WO")
    testbed.run_until(lambda: len(gate.submits) == 2)
    (entry,) = testbed.journal.entries.values()
    assert entry.may_have_run_since is not None and entry.may_have_run_since <= gate.submitted_at[0], (
        "the execution window has to begin with the first part"
    )
    remaining[:] = [Status.ESME_RSYSERR]
    testbed.run_until(lambda: len(gate.submits) == 3)
    again = SmppTestbed(tmp_path / "..")
    gate = StandInGateway(again, script=lambda pdu: 0 if pdu.tlv(p.SAR_SEGMENT_SEQNUM) == b"\1" else 8)
    again.open(gateway(gate.address, split="sar", window=1))
    contractor = again.contractor()
    submit_long(again, contractor, "PAY")
    again.run_until(lambda: contractor.receipts)
    assert len(gate.submits) == 2


def test_a_late_response_to_one_part_does_not_deliver_the_message(tmp_path: Path) -> None:
    # Part 2 gets its response after the time-out of 400 ms; the other message, in flight by then, keeps the session
    # open.
    def pause(pdu: Pdu) -> int:
        return 450_000 if pdu.tlv(p.SAR_SEGMENT_SEQNUM) == b"\2" else 390_000 if pdu.message == b"other" else 5_000

    testbed = SmppTestbed(tmp_path)
    bad = [1]
    gate = StandInGateway(
        testbed,
        pause=pause,
        script=lambda pdu: Status.ESME_RSYSERR if pdu.tlv(p.SAR_SEGMENT_SEQNUM) == b"\3" and bad and bad.pop() else 0,
    )
    testbed.open(gateway(gate.address, "one", split="sar", window=9))
    contractor = testbed.contractor()
    message_id = submit_long(testbed, contractor, "RD")
    testbed.run_for(200_000)
    exchange(testbed, contractor, Command.SUBMIT_SM, b"other", service_type="PAY", destination_addr="3725550")
    testbed.run_until(lambda: message_id in contractor.final_states())
    assert len([pdu for pdu in gate.submits if pdu.tlv(p.SAR_SEGMENT_SEQNUM) == b"\3"]) >= 2


def test_an_attempt_in_parts_ends_with_its_last_late_response() -> None:
    timed_out = TimedOutSubmits(SkippingLoop(CLOCK), gateway(("127.0.0.1", 1)), part_count=3)
    timed_out.record_timeout()
    timed_out.record_timeout()
    timed_out.record_late_response(Pdu(Command.SUBMIT_SM_RESP))
    assert not timed_out.all_ended
    timed_out.record_late_response(None)
    assert timed_out.all_ended and timed_out.late_response is None


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("how", [UDH, SAR])
def test_a_part_with_another_text_begins_another_message(tmp_path: Path, how: str, restarted: bool) -> None:
    # Guards against a text that nobody sent: the first part of one message joined with the second part of another one
    # whose sender has begun its references anew.
    testbed = SmppTestbed(tmp_path)
    gate = StandInGateway(testbed)
    testbed.open(gateway(gate.address))
    contractor = testbed.contractor()
    marked = partial(submit_text, testbed, contractor, how)
    abandoned = marked(b"fee 1, ", 1).text("message_id")
    if restarted:
        testbed = SmppTestbed(tmp_path)  # as after SIGKILL
        gate = StandInGateway(testbed)
        testbed.open(gateway(gate.address))
        contractor = testbed.contractor()
        marked = partial(submit_text, testbed, contractor, how)
    first = marked(b"fee 2, ", 1)
    again = marked(b"fee 2, ", 1)
    assert again.text("message_id") == first.text("message_id") != abandoned, "the same part, submitted again"
    marked(b"for account 7", 2)
    testbed.run_until(lambda: len(contractor.final_states()) == 3 and not testbed.journal.entries)
    assert list(gate.effects) == [b"fee 2, for account 7"] and gate.effects.total() == 1
    states = contractor.final_states()
    assert states.pop(abandoned) == {State.EXPIRED} and all(ends == {State.DELIVERED} for ends in states.values())


def submit_text(testbed: SmppTestbed, contractor: StandInContractor, how: str, text: bytes, place: int) -> Pdu:
    """Submit one of two parts, under reference 1."""
    short_message, tlvs = parts.mark_part(text, how, 1, 2, place)
    return exchange(
        testbed,
        contractor,
        Command.SUBMIT_SM,
        short_message,
        tlvs,
        service_type="PAY",
        source_addr="100",
        destination_addr="3725550",
        esm_class=parts.UDHI if how == UDH else 0,
        registered_delivery=1,
    )


def test_references_do_not_begin_anew_with_each_process(tmp_path: Path) -> None:
    # Guards against parts that a receiver joins with those that the process before has sent.
    begins = set()
    for _ in range(8):
        testbed = SmppTestbed(tmp_path, gateway(("127.0.0.1", 1)))
        (link,) = testbed.gateways._links.values()
        begins.add(link.last_reference % 256)
    assert len(begins) > 1
