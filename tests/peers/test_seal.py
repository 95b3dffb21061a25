"""Rejection of invalid datagrams, the replay window, and the replacement of keys.

Forged, replayed, truncated, oversized, foreign and misdirected datagrams are rejected, and each is counted under its
kind of failure. Datagrams out of order are accepted once.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from kestrelspar.peers.messages import Ping
from kestrelspar.peers.seal import MAX_DATAGRAM_BYTES, REPLAY_WINDOW, DatagramRejectedError, Sealer

OLD, NEW, WRONG = b"o" * 16, b"n" * 16, b"w" * 16


def pair() -> tuple[Sealer, Sealer]:
    return Sealer("a", 5, [OLD]), Sealer("b", 9, [OLD])


def result(sealer: Sealer, data: bytes) -> str:
    """The kind of failure, or "accepted"."""
    try:
        sealer.open(data)
    except DatagramRejectedError as error:
        return str(error.args[0])
    return "accepted"


BAD: dict[str, Callable[[Sealer, bytes], bytes]] = {
    "oversized": lambda sealer, data: data + b"x" * MAX_DATAGRAM_BYTES,
    "foreign": lambda sealer, data: b"GET / HTTP/1.1\r\n\r\n" + data,
    "forged": lambda sealer, data: data[:-1] + bytes([data[-1] ^ 1]),
    "misdirected": lambda sealer, data: sealer.seal("c", [Ping(1)]),
    "old-life": lambda sealer, data: Sealer("a", 4, [OLD]).seal("b", [Ping(1)]),  # an earlier epoch
    "replayed": lambda sealer, data: data,
}


@pytest.mark.parametrize("name", BAD)
def test_invalid_datagrams_are_rejected(name: str) -> None:
    a, b = pair()
    good = a.seal("b", [Ping(7)])
    assert b.open(good).messages == [Ping(7)]
    assert result(b, BAD[name](a, good)) == name and b.dropped == {name: 1}
    assert result(b, a.seal("b", [Ping(8)])) == "accepted", "a valid datagram after a rejected one must be accepted"


def test_bit_flips_and_truncation_are_rejected() -> None:
    a, b = pair()
    pick = Random(1)
    for _ in range(300):
        data = bytearray(a.seal("b", [Ping(pick.randrange(1 << 30))]))
        data[pick.randrange(len(data))] ^= 1 << pick.randrange(8)
        assert result(b, bytes(data)) in ("forged", "foreign")
        assert result(b, a.seal("b", [Ping(1)])[: pick.randrange(30)]) in ("forged", "foreign")


def test_datagrams_out_of_order_are_accepted_once_within_the_window() -> None:
    a, b = pair()
    sent = [a.seal("b", [Ping(n)]) for n in range(2 * REPLAY_WINDOW)]
    order = list(range(REPLAY_WINDOW // 2))
    Random(2).shuffle(order)
    assert {result(b, sent[n]) for n in order} == {"accepted"} and {result(b, sent[n]) for n in order} == {"replayed"}
    assert result(b, sent[-1]) == "accepted"
    assert result(b, sent[REPLAY_WINDOW - 1]) == "replayed", "a datagram older than the window must be rejected"
    assert result(b, Sealer("a", 6, [OLD]).seal("b", [Ping(1)])) == "accepted" and result(b, sent[-2]) == "old-life"


def test_keys_are_replaced_step_by_step_without_interruption() -> None:
    a, b = pair()
    # (keys of a, keys of b): the first key seals, and any of them opens. Each step changes at most one side.
    steps = [
        ([OLD], [OLD]),
        ([OLD], [OLD, NEW]),
        ([OLD, NEW], [OLD, NEW]),
        ([NEW, OLD], [OLD, NEW]),
        ([NEW, OLD], [NEW, OLD]),
        ([NEW], [NEW, OLD]),
        ([NEW], [NEW]),
    ]
    for keys_a, keys_b in steps:
        a.rekey(keys_a)
        b.rekey(keys_b)
        assert result(b, a.seal("b", [Ping(1)])) == result(a, b.seal("a", [Ping(1)])) == "accepted"
    b.rekey([WRONG])
    assert result(b, a.seal("b", [Ping(1)])) == "forged"
