"""Groups: who becomes a member, compatibility with couriers without groups, and a fleet converted to groups."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from kestrelspar.lab.simulated_network import SECOND, Faults, SimulatedNetwork
from kestrelspar.peers.members import Members
from kestrelspar.peers.messages import Count, MemberState, MemberUpdate, Name, PeerMessage, Ping
from kestrelspar.peers.seal import encode

T = 10 * SECOND


class MemberUpdateBeforeGroups(msgspec.Struct, array_like=True, frozen=True, tag="s"):
    """A membership update as it was before groups existed."""

    name: Name
    host: str
    port: int
    number: Count
    life: Count
    inc: Count
    stand: MemberState


def update(
    name: str, group: str, epoch: int = 1, incarnation: int = 0, state: MemberState = MemberState.ALIVE
) -> MemberUpdate:
    return MemberUpdate(name, "10.0.0.1", 1 + ord(name[-1]), int(name[1:]), epoch, incarnation, state, group)


def make_members(group: str) -> Members:
    return Members(update("n0", group), {}, SECOND, 64, 0, Random(1))


def test_updates_without_a_group_are_the_same_bytes_as_before_groups() -> None:
    old = MemberUpdateBeforeGroups("n1", "10.0.0.1", 50, 1, 1, 0, MemberState.ALIVE)
    assert encode(update("n1", "")) == msgspec.msgpack.encode(old), "without a group no byte differs"
    assert msgspec.msgpack.decode(encode(update("n1", "a")), type=MemberUpdateBeforeGroups) == old, (
        "the group is ignored"
    )
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=MemberUpdate) == update("n1", "")
    assert len(encode(update("n1", "north-1"))) == len(encode(update("n1", ""))) + 8


# Updates that the courier n0 of group a receives, in order; its members after that; the number of ignored updates.
@pytest.mark.parametrize(
    ("name", "updates", "members_after", "foreign"),
    [
        ("own group and no group", [update("n1", "a"), update("n2", "")], {"n1", "n2"}, 0),
        ("another group", [update("n1", "b")], set(), 1),
        ("another group, gossiped by a courier without groups", [update("n1", "b"), update("n1", "")], set(), 2),
        (
            "gossiped without the group first, then by itself",
            [update("n1", ""), update("n1", "b"), update("n1", "")],
            set(),
            2,
        ),
        ("dead member of another group", [update("n1", "b", state=MemberState.DEAD)], set(), 1),
        ("member moves to another group", [update("n1", "a"), update("n1", "b", epoch=2), update("n1", "a")], set(), 2),
        (
            "member moves here from another group",
            [update("n1", "b"), update("n1", "a", epoch=2), update("n1", "b")],
            {"n1"},
            2,
        ),
        ("member moves back to no group", [update("n1", "b"), update("n1", "", epoch=2)], {"n1"}, 1),
    ],
)
def test_members_are_couriers_of_the_same_group_or_of_none(
    name: str, updates: list[PeerMessage], members_after: set[str], foreign: int
) -> None:
    members = make_members("a")
    for n, received in enumerate(updates):
        members.receive("n9", 1, [received], T + n)
    assert set(members.members) == members_after and members.foreign == foreign
    assert not {each.name for each in members.gossip("n9") if isinstance(each, MemberUpdate)} - members_after - {"n0"}


def test_without_a_group_couriers_of_all_groups_are_members() -> None:
    members = make_members("")
    members.receive("n9", 1, [update("n1", "a"), update("n2", "b"), update("n3", "")], T)
    assert set(members.members) == {"n1", "n2", "n3"} and members.foreign == 0


def test_a_foreign_courier_is_answered_with_the_group_of_this_one() -> None:
    members = make_members("a")
    out = members.receive("n1", 1, [update("n1", "b"), Ping(7)], T)
    assert [name for name, _ in out] == ["n1"] and members.address("n1") == ("10.0.0.1", 50)
    assert members.gossip("n1")[0] == update("n0", "a"), "gossip in the answer carries the group"
    for n in range(2, 400):
        members.receive(f"n{n}", 1, [update(f"n{n}", "b")], T)
    assert len(members._foreign_couriers) <= members.max_members, "foreign couriers are bounded"


def test_a_fleet_converted_to_groups_one_by_one_has_no_false_suspicions_and_ends_in_groups() -> None:
    net = SimulatedNetwork(12, 3, Faults(loss=0.02), seeds=4, placement=lambda n: ("r", "ab"[n % 2]))
    net.pre_broker_couriers = set(net.nodes)
    for name in net.nodes:
        net.start(name)
    net.run(10 * SECOND)
    for name in list(net.nodes):
        net.pre_broker_couriers.discard(name)
        net.start(name)
        net.run(net.now + 3 * SECOND)
        peer = net.nodes[name].peer
        assert peer is not None
        known = {other for other in peer.members.alive() if net.nodes[other].group == net.nodes[name].group}
        assert len(known) == 5, "all of its own group, converted or not"
    net.run(net.now + 60 * SECOND)
    for node in net.nodes.values():
        assert node.peer is not None
        assert set(node.peer.members.alive()) == {
            other.name for other in net.nodes.values() if other.group == node.group and other is not node
        }
    declared_dead = [event for event in net.events if event[2] in ("peers-dead", "peers-name-twice")]
    assert not declared_dead
