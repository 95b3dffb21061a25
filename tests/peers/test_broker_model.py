"""Couriers in zones with brokers on the modelled network, one fault a play: see lab/brokered.py for the judges."""

from __future__ import annotations

import pytest

from kestrelspar.lab.brokered import CASES, fleet, heard, play, processes
from kestrelspar.lab.model import SECOND
from kestrelspar.peers.brokers import REFILL, TERM
from kestrelspar.peers.judgements import Outcome


@pytest.mark.parametrize("case", CASES)
def test_whatever_happens_nobody_is_above_a_budget_or_held_for_longer_than_the_bound(case: str) -> None:
    looks = 0
    more = range(2, 4) if "lying" in case else range(2, 8)
    for seed, couriers in ((1, 30), *((seed, 12) for seed in more)):
        w = play(case, seed, couriers)
        assert not w.faults, (seed, w.faults[:3])
        assert w.seen["served"] > 100 * couriers and w.seen["none free"] < 0.01 * w.seen["served"], w.seen
        assert w.lied or w.seen["failed"] > 0
        looks += w.seen["looks with something left alone"]
    assert looks, "nothing was ever held, so nothing was tried"


@pytest.mark.parametrize("seed", range(3))
def test_all_whom_it_concerns_know_a_word_at_once_and_nobody_else_is_told(seed: int) -> None:
    found = heard(seed, 60, group=20)
    assert found.seconds <= 0.2 and found.knew == 1.0, "a tick here, a tick there, three ways between"
    assert found.others == 0 and 0 < found.witness < 1_500


def test_with_thirty_percent_lost_nearly_all_know_within_three_seconds() -> None:
    assert sum(heard(seed, 30, group=10, loss=0.3).knew for seed in range(6)) / 6 >= 0.95


def test_by_brokers_a_word_costs_its_witness_the_same_in_a_fleet_four_times_as_large() -> None:
    few, many = (heard(1, members, group=20) for members in (40, 120))
    assert many.witness < 1.2 * few.witness
    assert heard(1, 120, group=20, old=True).witness > 20 * many.witness, "all to all"


def test_with_control_gone_couriers_go_on_and_are_there_again_within_a_term_of_its_return() -> None:
    net, those = fleet(2, 8, 4, 4)
    couriers = [node for node in net.nodes.values() if node.peer is not None]
    for name in net.brokers:
        net.kill(name)
    begin = net.now
    sent = {node.name: node.peer.sent for node in couriers if node.peer is not None}
    net.run(begin + 300 * SECOND)
    for node in couriers:
        assert node.peer is not None and node.peer.brokers is not None
        assert not node.peer.brokers.ways(1) and (node.peer.sent - sent[node.name]) / 300 < 2_000
        assert len(node.peer.members.alive()) == 3, "its group is there as before"
    witness = net.nodes[those[0]]
    assert witness.peer is not None
    at = witness.clock(net.now)
    witness.peer.judgements.saw("e", Outcome.FAILED, at, at)  # goes nowhere but along
    for name in net.brokers:
        net.start(name)
    net.run(net.now + TERM + REFILL + SECOND)
    for node in couriers:
        assert node.peer is not None and node.peer.brokers is not None
        mine = set(net.dests[node.name].values())
        held = {dest for place in node.peer.brokers.places.values() for dest in place.told}
        assert held == mine and len(node.peer.brokers.ways(1)) == 2
    assert sum(each.stand(net.now)["subscribers"] for each in processes(net)) == 3 * len(couriers)
    at = witness.clock(net.now)
    witness.peer.judgements.saw("e", Outcome.FAILED, at, at)
    net.run(net.now + SECOND // 5)
    for name in those[1:]:
        peer = net.nodes[name].peer
        assert peer is not None and {voice.witness for voice in peer.judgements._heard["e"]} == {witness.name}


def test_a_zone_that_is_gone_at_once_and_back_at_once_accuses_nobody_and_costs_the_others_nothing() -> None:
    net, those = fleet(3, 60, 20, 9)
    zone = [name for name, node in net.nodes.items() if node.group == "z0"]
    left = [name for name in net.nodes if name not in zone]
    for name in zone:
        net.kill(name)
    net.run(net.now + 20 * SECOND)
    assert not [event for event in net.events if event[2] in ("peers-suspect", "peers-dead")]
    assert sum(each.stand(net.now)["subscribers"] for each in processes(net)) == 3 * len(left), "their leases lapsed"
    for name in zone:
        net.start(name)
    net.run(net.now + 12 * SECOND)
    for name in zone:
        peer = net.nodes[name].peer
        assert peer is not None and peer.brokers is not None and len(peer.members.alive()) == len(zone) - 1
        assert all(place.answered is not None for place in peer.brokers.places.values())
    witness = net.nodes[next(name for name in those if name in left)]
    assert witness.peer is not None
    at = witness.clock(net.now)
    witness.peer.judgements.saw("e", Outcome.FAILED, at, at)
    net.run(net.now + SECOND // 5)
    for name in those:
        peer = net.nodes[name].peer
        assert peer is not None and (name == witness.name or "e" in peer.judgements._heard)
