"""Couriers in zones with brokers on the simulated network, one kind of fault per case.

The checks made during each run are in lab/broker_simulation.py.
"""

from __future__ import annotations

import pytest

from kestrelspar.lab.broker_simulation import CASES, measure_propagation, run_case, running_brokers, start_fleet
from kestrelspar.lab.simulated_network import SECOND
from kestrelspar.peers.brokers import LEASE_TERM, RESUBSCRIBE_JITTER
from kestrelspar.peers.observations import CallOutcome


@pytest.mark.parametrize("case", CASES)
def test_under_faults_no_budget_is_exceeded_and_no_endpoint_suspended_beyond_the_bound(case: str) -> None:
    suspensions = 0
    more_seeds = range(2, 4) if "lying" in case else range(2, 8)
    for seed, couriers in ((1, 30), *((seed, 12) for seed in more_seeds)):
        world = run_case(case, seed, couriers)
        assert not world.violations, (seed, world.violations[:3])
        assert world.counts["served"] > 100 * couriers and world.counts["none free"] < 0.01 * world.counts["served"], (
            world.counts
        )
        assert world.has_liar or world.counts["failed"] > 0
        suspensions += world.counts["looks with something left alone"]
    assert suspensions, "no endpoint was ever suspended, so nothing was tested"


@pytest.mark.parametrize("seed", range(3))
def test_an_observation_reaches_all_interested_couriers_at_once_and_no_others(seed: int) -> None:
    found = measure_propagation(seed, 60, group=20)
    assert found.seconds <= 0.2 and found.share_after_3_s == 1.0, "two ticks and three network hops"
    assert found.uninterested_receivers == 0 and 0 < found.witness_bytes < 1_500


def test_with_thirty_percent_loss_nearly_all_learn_of_it_within_three_seconds() -> None:
    assert sum(measure_propagation(seed, 30, group=10, loss=0.3).share_after_3_s for seed in range(6)) / 6 >= 0.95


def test_with_brokers_the_cost_for_the_witness_does_not_grow_with_the_fleet() -> None:
    small, large = (measure_propagation(1, members, group=20) for members in (40, 120))
    assert large.witness_bytes < 1.2 * small.witness_bytes
    assert measure_propagation(1, 120, group=20, without_brokers=True).witness_bytes > 20 * large.witness_bytes, (
        "sent to all members"
    )


def test_couriers_work_without_brokers_and_resubscribe_within_a_term_of_the_brokers_return() -> None:
    net, interested = start_fleet(2, 8, 4, 4)
    couriers = [node for node in net.nodes.values() if node.peer is not None]
    for name in net.brokers:
        net.kill(name)
    began = net.now
    sent = {node.name: node.peer.sent for node in couriers if node.peer is not None}
    net.run(began + 300 * SECOND)
    for node in couriers:
        assert node.peer is not None and node.peer.subscriber is not None
        assert not node.peer.subscriber.owners(1) and (node.peer.sent - sent[node.name]) / 300 < 2_000
        assert len(node.peer.members.alive()) == 3, "the members of its group are unaffected"
    witness = net.nodes[interested[0]]
    assert witness.peer is not None
    at = witness.clock(net.now)
    # No broker is up, so this is sent by piggybacking only.
    witness.peer.observations.record_call("e", CallOutcome.FAILED, at, at)
    for name in net.brokers:
        net.start(name)
    net.run(net.now + LEASE_TERM + RESUBSCRIBE_JITTER + SECOND)
    for node in couriers:
        assert node.peer is not None and node.peer.subscriber is not None
        interests = set(net.endpoints_by_courier[node.name].values())
        subscribed = {dest for session in node.peer.subscriber.sessions.values() for dest in session.subscribed}
        assert subscribed == interests and len(node.peer.subscriber.owners(1)) == 2
    assert sum(broker.status(net.now)["subscribers"] for broker in running_brokers(net)) == 3 * len(couriers)
    at = witness.clock(net.now)
    witness.peer.observations.record_call("e", CallOutcome.FAILED, at, at)
    net.run(net.now + SECOND // 5)
    for name in interested[1:]:
        peer = net.nodes[name].peer
        assert peer is not None and {source.witness for source in peer.observations._records["e"]} == {witness.name}


def test_a_zone_that_fails_and_returns_as_a_whole_causes_no_suspicion_and_leaves_others_unaffected() -> None:
    net, interested = start_fleet(3, 60, 20, 9)
    zone = [name for name, node in net.nodes.items() if node.group == "z0"]
    others = [name for name in net.nodes if name not in zone]
    for name in zone:
        net.kill(name)
    net.run(net.now + 20 * SECOND)
    assert not [event for event in net.events if event[2] in ("peers-suspect", "peers-dead")]
    assert sum(broker.status(net.now)["subscribers"] for broker in running_brokers(net)) == 3 * len(others), (
        "the leases of the zone expired"
    )
    for name in zone:
        net.start(name)
    net.run(net.now + 12 * SECOND)
    for name in zone:
        peer = net.nodes[name].peer
        assert peer is not None and peer.subscriber is not None and len(peer.members.alive()) == len(zone) - 1
        assert all(session.last_reply_at is not None for session in peer.subscriber.sessions.values())
    witness = net.nodes[next(name for name in interested if name in others)]
    assert witness.peer is not None
    at = witness.clock(net.now)
    witness.peer.observations.record_call("e", CallOutcome.FAILED, at, at)
    net.run(net.now + SECOND // 5)
    for name in interested:
        peer = net.nodes[name].peer
        assert peer is not None and (name == witness.name or "e" in peer.observations._records)
