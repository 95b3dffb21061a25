"""Relays between groups: which datagrams are forwarded under which faults, and reading of the routing header."""

from __future__ import annotations

import pathlib
import socket

import pytest

from kestrelspar.lab.relays import FaultyNetwork, PathFaults, Relay, dropped_datagrams, read_routing_header
from kestrelspar.lab.rig import ExternalFleet, Rig
from kestrelspar.peers.messages import MemberUpdate, Ping
from kestrelspar.peers.seal import HEADER_BYTES, MAGIC, MAX_DATAGRAM_BYTES, Sealer, decode
from kestrelspar.runtime.loop import MS, SECOND, Loop

KEY = b"a key of thirty-two bytes length"
GROUPS = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}


def seal_ping(sender: str, to: str) -> bytes:
    return Sealer(sender, 7, [KEY]).seal(to, [Ping(1)])


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (seal_ping("a1", "b1"), ("a1", "b1")),
        (seal_ping("n" * 60, "ü" * 20), ("n" * 60, "ü" * 20)),
        (b"", None),
        (MAGIC, None),
        (b"XX" + seal_ping("a1", "b1"), None),
        (seal_ping("a1", "b1")[:24], None),
        (MAGIC + b"\xff" * 200, None),
        # Valid MessagePack, but the epoch is a string and the receiver a number.
        (MAGIC + bytes(HEADER_BYTES - len(MAGIC)) + b"\x93\xa1a\xa1b\x07", None),
    ],
)
def test_sender_and_receiver_of_a_datagram_are_read_without_the_key(
    data: bytes, expected: tuple[str, str] | None
) -> None:
    header = read_routing_header(data)
    assert (header and (header.sender, header.to)) == expected


@pytest.mark.parametrize(
    # delays: None if the sender or the receiver has no group, [] if the datagram is lost, else the delay of each copy.
    ("faults", "sender", "to", "delays"),
    [
        ({}, "a1", "b1", [0]),
        ({}, "a1", "a2", [0]),
        ({}, "x9", "b1", None),
        ({}, "a1", "x9", None),
        ({("a", "b"): PathFaults(cut=True)}, "a1", "b1", []),
        ({("a", "b"): PathFaults(cut=True)}, "a2", "b1", []),
        ({("a", "b"): PathFaults(cut=True)}, "b1", "a1", [0]),
        ({("a", "b"): PathFaults(cut=True)}, "a1", "c1", [0]),
        ({("a", "a"): PathFaults(cut=True)}, "a1", "a2", []),
        ({("a", "b"): PathFaults(loss=1.0)}, "a1", "b1", []),
        ({("a", "b"): PathFaults(double=1.0)}, "a1", "b1", [0, 0]),
        ({("a", "b"): PathFaults(delay=(7 * MS, 7 * MS))}, "a1", "b1", [7 * MS]),
        ({("a", "b"): PathFaults(double=1.0, delay=(7 * MS, 7 * MS))}, "a1", "b1", [7 * MS, 7 * MS]),
        ({("a", "b"): PathFaults(double=1.0, loss=1.0)}, "a1", "b1", []),
    ],
)
def test_faults_apply_from_one_group_to_another_until_healed(
    faults: dict[tuple[str, str], PathFaults], sender: str, to: str, delays: list[int] | None
) -> None:
    network = FaultyNetwork(3)
    network.groups, network.faults = GROUPS, faults
    assert network.copy_delays(sender, to) == delays
    network.heal()
    if delays is not None:
        assert network.copy_delays(sender, to) == [0]


def test_loss_drops_the_configured_share_and_is_deterministic_for_a_seed() -> None:
    outcomes = []
    for _ in range(2):
        network = FaultyNetwork(5)
        network.groups, network.faults = GROUPS, {("a", "b"): PathFaults(loss=0.25)}
        outcomes.append([len(network.copy_delays("a1", "b1") or []) for _ in range(4_000)])
    assert outcomes[0] == outcomes[1]
    assert 2_850 <= sum(outcomes[0]) <= 3_150


def test_a_relay_forwards_to_the_actual_address_and_counts_lost_datagrams_by_reason() -> None:
    loop = Loop()
    network = FaultyNetwork(1)
    network.groups = GROUPS
    relay = Relay(loop, "b", network)
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as courier,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        courier.bind(("127.0.0.1", 0))
        courier.setblocking(False)
        relay.addresses["b1"] = courier.getsockname()
        received: list[bytes] = []

        def listen() -> None:
            while True:
                loop.readable(courier, None)
                received.append(courier.recv(MAX_DATAGRAM_BYTES + 1))

        def wait_until_handled(total: int) -> None:
            """Wait until this many datagrams have been received or lost since the start."""
            deadline = loop.now + 20 * SECOND
            while len(received) + sum(relay.lost.values()) < total:
                assert loop.now < deadline
                loop.call_at(loop.now + 10 * MS, lambda: None)  # so that turn() returns within 10 ms
                loop.turn()

        loop.spawn(listen)
        first = seal_ping("a1", "b1")
        for data in (first, b"noise", seal_ping("x9", "b1"), seal_ping("a1", "a2")):
            sender.sendto(data, relay.address)
        wait_until_handled(4)
        # Unknown: x9 has no group, and a2 has no address at the relay of b.
        assert received == [first] and relay.lost == {"unreadable": 1, "unknown": 2}
        network.faults[("a", "b")] = PathFaults(cut=True)
        network.faults[("c", "b")] = PathFaults(double=1.0, delay=(5 * MS, 5 * MS))
        delayed = seal_ping("c1", "b1")
        for data in (first, delayed):
            sender.sendto(data, relay.address)
        wait_until_handled(7)
        assert received == [first, delayed, delayed] and relay.lost["fault"] == 1
        assert relay.forwarded == 3 and relay.forwarded_bytes == len(first) + 2 * len(delayed)
        assert dropped_datagrams([relay.socket]) == 0
    relay.close()


def test_a_courier_announces_its_advertised_address_and_not_its_bound_one(tmp_path: pathlib.Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        other.setblocking(False)
        fleet = ExternalFleet(
            couriers=2, advertise={"n0": ("10.0.0.7", 1_234)}, seeds={"n0": {"x": other.getsockname()}}
        )
        with Rig(tmp_path, 1, 1, {"m1": 40}, external_fleet=fleet) as rig:
            updates: list[MemberUpdate] = []

            def listen() -> None:
                while True:
                    rig.loop.readable(other, None)
                    messages = decode(other.recv(MAX_DATAGRAM_BYTES + 1)[HEADER_BYTES:]).messages
                    updates.extend(
                        message for message in messages if isinstance(message, MemberUpdate) and message.name == "n0"
                    )

            rig.loop.spawn(listen)
            rig.start("n0")
            rig.run_until(lambda: updates, 30 * SECOND)
            assert (updates[0].host, updates[0].port) == ("10.0.0.7", 1_234)
            # The courier is still bound to its own address.
            assert "listen={}:{}".format(*rig.nodes["n0"].peers) in rig.read_log("n0")
