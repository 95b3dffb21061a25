"""``Peer`` as a whole: whose messages are accepted, and the bandwidth limit."""

from __future__ import annotations

from kestrelspar.lab.simulated_network import KEY, SECOND, SimulatedNetwork
from kestrelspar.peers.messages import MemberState, MemberUpdate, Observation, Ping, RelayedObservation
from kestrelspar.peers.observations import CallOutcome, ClaimSource, ObservationKind
from kestrelspar.peers.peer import Peer, PeerConfig
from kestrelspar.peers.seal import Sealer
from kestrelspar.peers.shares import LoanTerms


def peers(net: SimulatedNetwork) -> list[Peer]:
    return [node.peer for node in net.nodes.values() if node.peer is not None]


def started_net(couriers: int) -> SimulatedNetwork:
    net = SimulatedNetwork(couriers, 1, bytes_per_second=20_000)
    for name in net.nodes:
        net.start(name)
    net.run(20 * SECOND)
    for each in peers(net):
        each.observations.set_routes({"x": 1, "y": 1})
    return net


def test_fifty_couriers_learn_of_an_outage_within_a_second_and_none_exceeds_its_bandwidth() -> None:
    net = started_net(50)
    before = [each.sent for each in peers(net)]
    for name in ("n0", "n1"):
        peer, now = net.nodes[name].peer, net.nodes[name].clock(net.now)
        assert peer is not None
        peer.observations.record_call("x", CallOutcome.FAILED, now, now)
    net.run(21 * SECOND)
    suspended = [
        "x" in peer.observations.restrictions(net.nodes[peer.config.name].clock(net.now), peer.members.alive())
        for peer in peers(net)
    ]
    assert all(suspended)
    assert all(each.sent - sent <= 2 * 20_000 for each, sent in zip(peers(net), before, strict=True))


def test_a_sender_without_a_number_among_the_couriers_is_no_witness() -> None:
    net = started_net(3)
    receiver, sender = peers(net)[:2]
    now = net.nodes["n0"].clock(net.now)
    observations = [Observation("x", ObservationKind.DOWN, 0, 0, 1)]
    receiver.receive(sender.sealer.seal("n0", [*observations]), now)
    assert list(receiver.observations._records["x"]) == [ClaimSource("n1")]
    sender.sealer.name = "n9"  # the same key, another name, and a number that is not below the fleet size
    receiver.receive(sender.sealer.seal("n0", [*observations]), now)
    receiver.receive(
        sender.sealer.seal("n0", [MemberUpdate("n9", "10.0.0.7", 5, 3, 1, 0, MemberState.ALIVE), *observations]), now
    )
    assert list(receiver.observations._records["x"]) == [ClaimSource("n1")]


def test_only_brokers_of_the_own_region_are_accepted_and_none_is_a_member_or_a_witness() -> None:
    brokers = {name: ("10.0.0.2", n) for n, name in enumerate(("x/b0", "x/b1", "y/b0"), 1)}
    receiver = Peer(PeerConfig("n0", ("10.0.0.1", 1), 1, [KEY], {}, LoanTerms(4, 0), region="x", brokers=brokers), 0, 1)
    receiver.observations.set_routes({"x": 1})
    observation = Observation("x", ObservationKind.DOWN, 0, 0, 1)
    for n, name in enumerate(("y/b0", "x/b0", "x/b1")):
        messages = [
            MemberUpdate(name, "10.0.0.2", 1, 2, 1, 0, MemberState.ALIVE),
            observation,
            RelayedObservation("n1", 1, 1, observation),
            Ping(n),
        ]
        assert receiver.receive(Sealer(name, 1, [KEY]).seal("n0", [*messages]), 0) == []
        assert not receiver.members.members
        assert set(receiver.observations._records.get("x", {})) == {
            ClaimSource("n1", each) for each in ("x/b0", "x/b1")[:n]
        }
    assert receiver.subscriber is not None and set(receiver.subscriber.sessions) == {"x/b0", "x/b1"}
    without_brokers = PeerConfig("n0", ("10.0.0.1", 1), 1, [KEY], {}, LoanTerms(4, 0), region="z", brokers=brokers)
    assert Peer(without_brokers, 0, 1).subscriber is None, "a region that has no brokers"
