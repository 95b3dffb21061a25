"""``Peer`` as a whole: whose messages are accepted, and the bandwidth limit."""

from __future__ import annotations

from kestrelspar.lab.model import KEY, SECOND, Net
from kestrelspar.peers.judgements import Kind, Outcome, Voice
from kestrelspar.peers.peer import About, Peer
from kestrelspar.peers.seal import Sealer
from kestrelspar.peers.shares import Terms
from kestrelspar.peers.words import Ping, Relayed, Said, Seen, Stand


def peers(net: Net) -> list[Peer]:
    return [node.peer for node in net.nodes.values() if node.peer is not None]


def started_net(couriers: int) -> Net:
    net = Net(couriers, 1, bytes_a_second=20_000)
    for name in net.nodes:
        net.start(name)
    net.run(20 * SECOND)
    for each in peers(net):
        each.judgements.routes({"x": 1, "y": 1})
    return net


def test_fifty_couriers_learn_of_an_outage_within_a_second_and_none_exceeds_its_bandwidth() -> None:
    net = started_net(50)
    before = [each.sent for each in peers(net)]
    for name in ("n0", "n1"):
        peer, now = net.nodes[name].peer, net.nodes[name].clock(net.now)
        assert peer is not None
        peer.judgements.saw("x", Outcome.FAILED, now, now)
    net.run(21 * SECOND)
    suspended = [
        "x" in peer.judgements.holds(net.nodes[peer.about.name].clock(net.now), peer.members.alive())
        for peer in peers(net)
    ]
    assert all(suspended)
    assert all(each.sent - sent <= 2 * 20_000 for each, sent in zip(peers(net), before, strict=True))


def test_a_sender_without_a_number_among_the_couriers_is_no_witness() -> None:
    net = started_net(3)
    receiver, sender = peers(net)[:2]
    now = net.nodes["n0"].clock(net.now)
    observations = [Seen("x", Kind.DOWN, 0, 0, 1)]
    receiver.hear(sender.sealer.seal("n0", [*observations]), now)
    assert list(receiver.judgements._heard["x"]) == [Voice("n1")]
    sender.sealer.name = "n9"  # the same key, another name, and a number that is not below the fleet size
    receiver.hear(sender.sealer.seal("n0", [*observations]), now)
    receiver.hear(sender.sealer.seal("n0", [Said("n9", "10.0.0.7", 5, 3, 1, 0, Stand.ALIVE), *observations]), now)
    assert list(receiver.judgements._heard["x"]) == [Voice("n1")]


def test_only_brokers_of_the_own_region_are_accepted_and_none_is_a_member_or_a_witness() -> None:
    brokers = {name: ("10.0.0.2", n) for n, name in enumerate(("x/b0", "x/b1", "y/b0"), 1)}
    receiver = Peer(About("n0", ("10.0.0.1", 1), 1, [KEY], {}, Terms(4, 0), region="x", brokers=brokers), 0, 1)
    receiver.judgements.routes({"x": 1})
    observation = Seen("x", Kind.DOWN, 0, 0, 1)
    for n, name in enumerate(("y/b0", "x/b0", "x/b1")):
        messages = [
            Said(name, "10.0.0.2", 1, 2, 1, 0, Stand.ALIVE),
            observation,
            Relayed("n1", 1, 1, observation),
            Ping(n),
        ]
        assert receiver.hear(Sealer(name, 1, [KEY]).seal("n0", [*messages]), 0) == []
        assert not receiver.members.members
        assert set(receiver.judgements._heard.get("x", {})) == {Voice("n1", each) for each in ("x/b0", "x/b1")[:n]}
    assert receiver.brokers is not None and set(receiver.brokers.places) == {"x/b0", "x/b1"}
    without_brokers = About("n0", ("10.0.0.1", 1), 1, [KEY], {}, Terms(4, 0), region="z", brokers=brokers)
    assert Peer(without_brokers, 0, 1).brokers is None, "a region that has no brokers"
