"""Couriers in zones with brokers on the modelled network, one fault per run: see lab/brokered.py for the checks."""

from __future__ import annotations

import pytest

from kestrelspar.lab.brokered import CASES, fleet, heard, play, processes
from kestrelspar.lab.model import SECOND
from kestrelspar.peers.brokers import RESUBSCRIBE_JITTER, TERM
from kestrelspar.peers.judgements import Outcome


@pytest.mark.parametrize("case", CASES)
def test_under_faults_no_budget_is_exceeded_and_no_endpoint_suspended_beyond_the_bound(case: str) -> None:
    suspensions = 0
    more_seeds = range(2, 4) if "lying" in case else range(2, 8)
    for seed, couriers in ((1, 30), *((seed, 12) for seed in more_seeds)):
        world = play(case, seed, couriers)
        assert not world.faults, (seed, world.faults[:3])
        assert world.seen["served"] > 100 * couriers and world.seen["none free"] < 0.01 * world.seen["served"], (
            world.seen
        )
        assert world.lied or world.seen["failed"] > 0
        suspensions += world.seen["looks with something left alone"]
    assert suspensions, "no endpoint was ever suspended, so nothing was tested"


@pytest.mark.parametrize("seed", range(3))
def test_an_observation_reaches_all_interested_couriers_at_once_and_no_others(seed: int) -> None:
    found = heard(seed, 60, group=20)
    assert found.seconds <= 0.2 and found.knew == 1.0, "two ticks and three network hops"
    assert found.others == 0 and 0 < found.witness < 1_500


def test_with_thirty_percent_loss_nearly_all_learn_of_it_within_three_seconds() -> None:
    assert sum(heard(seed, 30, group=10, loss=0.3).knew for seed in range(6)) / 6 >= 0.95


def test_with_brokers_the_cost_for_the_witness_does_not_grow_with_the_fleet() -> None:
    small, large = (heard(1, members, group=20) for members in (40, 120))
    assert large.witness < 1.2 * small.witness
    assert heard(1, 120, group=20, old=True).witness > 20 * large.witness, "sent to all members"


def test_couriers_work_without_brokers_and_resubscribe_within_a_term_of_their_return() -> None:
    net, interested = fleet(2, 8, 4, 4)
    couriers = [node for node in net.nodes.values() if node.peer is not None]
    for name in net.brokers:
        net.kill(name)
    began = net.now
    sent = {node.name: node.peer.sent for node in couriers if node.peer is not None}
    net.run(began + 300 * SECOND)
    for node in couriers:
        assert node.peer is not None and node.peer.brokers is not None
        assert not node.peer.brokers.owners(1) and (node.peer.sent - sent[node.name]) / 300 < 2_000
        assert len(node.peer.members.alive()) == 3, "the members of its group are unaffected"
    witness = net.nodes[interested[0]]
    assert witness.peer is not None
    at = witness.clock(net.now)
    witness.peer.judgements.saw("e", Outcome.FAILED, at, at)  # only piggybacked: no broker is up
    for name in net.brokers:
        net.start(name)
    net.run(net.now + TERM + RESUBSCRIBE_JITTER + SECOND)
    for node in couriers:
        assert node.peer is not None and node.peer.brokers is not None
        interests = set(net.dests[node.name].values())
        subscribed = {dest for session in node.peer.brokers.places.values() for dest in session.subscribed}
        assert subscribed == interests and len(node.peer.brokers.owners(1)) == 2
    assert sum(broker.stand(net.now)["subscribers"] for broker in processes(net)) == 3 * len(couriers)
    at = witness.clock(net.now)
    witness.peer.judgements.saw("e", Outcome.FAILED, at, at)
    net.run(net.now + SECOND // 5)
    for name in interested[1:]:
        peer = net.nodes[name].peer
        assert peer is not None and {voice.witness for voice in peer.judgements._heard["e"]} == {witness.name}


def test_a_zone_that_fails_and_returns_as_a_whole_causes_no_suspicion_and_leaves_others_unaffected() -> None:
    net, interested = fleet(3, 60, 20, 9)
    zone = [name for name, node in net.nodes.items() if node.group == "z0"]
    others = [name for name in net.nodes if name not in zone]
    for name in zone:
        net.kill(name)
    net.run(net.now + 20 * SECOND)
    assert not [event for event in net.events if event[2] in ("peers-suspect", "peers-dead")]
    assert sum(broker.stand(net.now)["subscribers"] for broker in processes(net)) == 3 * len(others), (
        "the leases of the zone expired"
    )
    for name in zone:
        net.start(name)
    net.run(net.now + 12 * SECOND)
    for name in zone:
        peer = net.nodes[name].peer
        assert peer is not None and peer.brokers is not None and len(peer.members.alive()) == len(zone) - 1
        assert all(session.answered is not None for session in peer.brokers.places.values())
    witness = net.nodes[next(name for name in interested if name in others)]
    assert witness.peer is not None
    at = witness.clock(net.now)
    witness.peer.judgements.saw("e", Outcome.FAILED, at, at)
    net.run(net.now + SECOND // 5)
    for name in interested:
        peer = net.nodes[name].peer
        assert peer is not None and (name == witness.name or "e" in peer.judgements._heard)
