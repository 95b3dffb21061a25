"""Long messages in parts: told apart, joined in any order, bounded, and each part's receipt comes once."""

from __future__ import annotations

import dataclasses
import itertools
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.runtime.loop import SECOND
from kestrelspar.smpp import parts
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp.parts import BadPart, Joiner, Part, Place
from kestrelspar.smpp.pdu import Command, Pdu, State, Status
from tests.smpp.test_operations import asked, keeps, state
from tests.smpp_standins import StandInContractor, StandInGateway, gateway
from tests.test_smpp import Stage

TEXT = [b"one ", b"two ", b"three"]
UDH, SAR = "udh", "sar"


def sar(ref: int, total: int, place: int) -> list[tuple[int, bytes]]:
    return [(p.SAR_MSG_REF_NUM, ref.to_bytes(2, "big")), (p.SAR_TOTAL_SEGMENTS, bytes([total])),
            (p.SAR_SEGMENT_SEQNUM, bytes([place]))]


@pytest.mark.parametrize(("text", "tlvs", "esm", "found"), [
    (b"\x05\x00\x03\x09\x02\x01hi", [], 0x40, (Part("udh8", 9, 2, 1), b"hi")),
    (b"\x06\x08\x04\x01\x09\x02\x02hi", [], 0x43, (Part("udh16", 265, 2, 2), b"hi")),
    (b"hi", sar(7, 3, 3), 0, (Part("sar", 7, 3, 3), b"hi")),
    (b"\x05\x00\x03\x09\x02\x01hi", [], 0, (None, b"\x05\x00\x03\x09\x02\x01hi")),  # no header is told
    (b"\x06\x05\x04\x0b\x84\x23\xf0hi", [], 0x40, (None, b"\x06\x05\x04\x0b\x84\x23\xf0hi")),  # ports: for the handset
    (b"\x0b\x00\x03\x09\x02\x01\x05\x04\x0b\x84\x23\xf0hi", [], 0x40, None),
    (b"", [], 0x40, Status.ESME_RINVESMCLASS), (b"\x09\x00", [], 0x40, Status.ESME_RINVESMCLASS),
    (b"\x03\x00\x09\x01x", [], 0x40, Status.ESME_RINVESMCLASS), (b"\x04\x00\x02\x09\x02x", [], 0x40,
                                                                 Status.ESME_RINVESMCLASS),
    (b"\x05\x00\x03\x09\x02\x03hi", [], 0x40, Status.ESME_RINVESMCLASS),  # part 3 of 2
    (b"\x05\x00\x03\x09\x00\x00hi", [], 0x40, Status.ESME_RINVESMCLASS),
    (b"hi", sar(7, 3, 0), 0, Status.ESME_RINVOPTPARAMVAL), (b"hi", sar(7, 3, 1)[:2], 0, Status.ESME_RMISSINGOPTPARAM),
    (b"hi", [(p.SAR_MSG_REF_NUM, b"\1"), *sar(1, 2, 1)[1:]], 0, Status.ESME_RINVOPTPARAMVAL),
])
def test_which_part_a_pdu_is(text: bytes, tlvs: list[tuple[int, bytes]], esm: int, found: object) -> None:
    pdu = Pdu(Command.SUBMIT_SM, 1, 0, {"esm_class": esm}, text, tlvs)
    if isinstance(found, Status):
        with pytest.raises(BadPart) as caught:
            parts.part_of(pdu, text)
        assert caught.value.status is found
    else:
        assert parts.part_of(pdu, text) == (found or (None, text))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.permutations(range(1, 7)), st.lists(st.integers(1, 6), max_size=6))
def test_any_order_and_any_repeats_make_one_whole(order: list[int], repeats: list[int]) -> None:
    joiner, number, whole = Joiner(SECOND), itertools.count(1), []
    for place in [*repeats, *order]:
        part = Part("sar", 1, 6, place)
        if whole or joiner.look(("a",), part, 10)[0] is Place.REPEATED:
            continue
        found = joiner.add(0, ("a",), part, next(number) * 10 + place, 10)
        whole += [found] if found else []
    assert len(whole) == 1 and [n % 10 for n in whole[0].numbers] == [1, 2, 3, 4, 5, 6] and joiner.next_late is None


def test_sets_are_bounded_and_let_go_of_in_time() -> None:
    joiner = Joiner(SECOND)
    for n in range(parts.MOST_SETS):
        assert joiner.look((n,), Part("sar", 1, 2, 1), 10)[0] is Place.HELD
        joiner.add(n, (n,), Part("sar", 1, 2, 1), n, 60_000)
    assert joiner.look(("one more",), Part("sar", 1, 2, 1), 10)[0] is Place.NO_ROOM
    assert joiner.look((0,), Part("sar", 1, 2, 2), 60_000)[0] is Place.NO_ROOM  # a message larger than any
    assert joiner.look((0,), Part("sar", 1, 2, 2), 10)[0] is Place.WHOLE
    assert joiner.look((0,), Part("udh8", 1, 2, 1), 10)[0] is Place.NO_ROOM  # another kind is another set
    assert [found.numbers for found in joiner.late(SECOND + 1)] == [[0], [1]] and joiner.next_late == SECOND + 2


def submit_part(stage: Stage, contractor: StandInContractor, how: str, ref: int, place: int, service: str = "WO",
                text: bytes | None = None) -> Pdu:
    told = {"service_type": service, "source_addr": "100", "destination_addr": "3725550", "registered_delivery": 1}
    text = TEXT[place - 1] if text is None else text
    if how == UDH:
        header = bytes([5, 0, 3, ref, 3, place])
        return asked(stage, contractor, Command.SUBMIT_SM, header + text, esm_class=0x40, **told)
    return asked(stage, contractor, Command.SUBMIT_SM, text, sar(ref, 3, place), **told)


@pytest.mark.parametrize("how", [UDH, SAR])
@pytest.mark.parametrize("service", ["RD", "WO", "PAY"])
def test_parts_in_any_order_become_one_call_and_each_has_its_receipt(tmp_path: Path, how: str, service: str) -> None:
    stage = keeps(Stage(tmp_path))
    gate = StandInGateway(stage)
    stage.open(gateway(gate.address))
    contractor = stage.contractor()
    names = [submit_part(stage, contractor, how, 9, place, service).text("message_id") for place in (3, 1, 1, 2)]
    assert names[1] == names[2], "a part whose answer was lost is told the same again"
    stage.until(lambda: len(contractor.receipts) == 3 and not stage.journal.entries)
    assert contractor.ends() == {name: {State.DELIVERED} for name in names}
    (sent,) = gate.submits
    assert sent.tlv(p.MESSAGE_PAYLOAD) == b"one two three" and not sent.number("esm_class") & 0x40
    assert all(sent.tlv(tag) is None for tag in parts.SAR)
    assert [state(stage, contractor, name) for name in names] == [State.DELIVERED] * 4


def test_a_part_that_never_comes_ends_the_others_once(tmp_path: Path) -> None:
    stage = Stage(tmp_path)
    gate = StandInGateway(stage)
    stage.open(gateway(gate.address))
    contractor = stage.contractor()
    names = [submit_part(stage, contractor, SAR, 9, place).text("message_id") for place in (1, 3)]
    stage.until(lambda: len(contractor.receipts) == 2 and not stage.journal.entries)
    assert contractor.ends() == {name: {State.EXPIRED} for name in names} and not gate.submits
    assert submit_part(stage, contractor, SAR, 9, 2).status == 0  # begins a set of its own


def test_parts_outlast_a_restart_and_a_crash_between_joining_and_letting_go(tmp_path: Path) -> None:
    stage = Stage(tmp_path)
    stage.open(gateway(("127.0.0.1", 1)))  # nobody is there
    contractor = stage.contractor()
    names = [submit_part(stage, contractor, UDH, 4, place).text("message_id") for place in (2, 1)]
    second = Stage(tmp_path)
    second.open(gateway(("127.0.0.1", 1)))
    contractor = second.contractor()
    second.journal.done = lambda number: None  # type: ignore[method-assign, assignment]
    names.append(submit_part(second, contractor, UDH, 4, 3).text("message_id"))
    second.until(lambda: len(second.journal.entries) == 4)
    third = Stage(tmp_path)
    gate = StandInGateway(third)
    third.open(gateway(gate.address))
    contractor = third.contractor()
    third.until(lambda: len(contractor.receipts) == 3 and not third.journal.entries)
    assert contractor.ends() == {name: {State.DELIVERED} for name in names}
    assert [s.tlv(p.MESSAGE_PAYLOAD) for s in gate.submits] == [b"one two three"]


def test_a_bad_part_is_refused_and_joining_can_be_off(tmp_path: Path) -> None:
    stage = Stage(tmp_path)
    gate = StandInGateway(stage)
    stage.open(gateway(gate.address))
    contractor = stage.contractor()
    told = {"service_type": "WO", "source_addr": "100", "destination_addr": "3725550"}
    assert asked(stage, contractor, Command.SUBMIT_SM, b"\x09", esm_class=0x40, **told).status == \
        Status.ESME_RINVESMCLASS
    stage.server.told = dataclasses.replace(stage.server.told, parts_within=0)
    assert submit_part(stage, contractor, SAR, 1, 1).status == 0
    stage.until(lambda: gate.submits)
    assert gate.submits[0].message == TEXT[0] and gate.submits[0].tlv(p.SAR_TOTAL_SEGMENTS) == b"\3"
