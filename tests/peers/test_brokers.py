"""Brokers: placement, leases, relaying of observations, and what is dropped, bounded or reported as an error."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kestrelspar.lab.simulated_network import Faults, SimulatedNetwork
from kestrelspar.peers import brokers
from kestrelspar.peers.brokers import MS, SECOND, Broker, BrokerConfig, Subscriber, destination_digest, rendezvous_order
from kestrelspar.peers.messages import (
    Ack,
    CounterRequest,
    Datagram,
    ForwardedObservation,
    LeaseRenewal,
    LeaseReply,
    LoanRequest,
    MemberUpdate,
    Observation,
    PeerMessage,
    Ping,
    PublishObservation,
    RelayedObservation,
    Subscribe,
    Unsubscribe,
)
from kestrelspar.peers.observations import CallOutcome, ObservationKind
from kestrelspar.peers.peer import Peer, PeerConfig
from kestrelspar.peers.seal import MAX_DATAGRAM_BYTES, DatagramRejectedError, Sealer
from kestrelspar.peers.shares import LoanTerms

KEY = b"a key of the brokers' tests....."
START, EPOCH, DEST = 100 * SECOND, 7, 11
NAMES = {f"{region}/b{n}": ("10.0.0.2", 100 * at + n) for at, region in enumerate("xyz", 1) for n in range(3)}
OWNERS = {region: rendezvous_order(brokers.brokers_in_region(NAMES, region), DEST) for region in "xyz"}
COURIERS = 40


class BrokerHarness:
    """One broker of region x, the first owner of ``DEST``, and the couriers and brokers that send to it."""

    def __init__(self, **overrides: Any) -> None:
        self.name = OWNERS["x"][0]
        config: dict[str, Any] = {"keys": [KEY], "brokers": NAMES, "couriers": COURIERS} | overrides
        self.broker = Broker(BrokerConfig(self.name, "x", NAMES[self.name], EPOCH, **config), START, 1)
        self.now = START
        self.sealers: dict[tuple[str, int], Sealer] = {}
        self.sent: list[bytes] = []  # to the broker
        self.pinged: list[str] = []  # other brokers that it pinged

    def sealer(self, name: str, epoch: int = 1) -> Sealer:
        return self.sealers.setdefault((name, epoch), Sealer(name, epoch, [KEY]))

    def decode(self, datagrams: brokers.Datagrams) -> list[tuple[str, PeerMessage]]:
        """The broker's messages by receiver, without its pings to other brokers, which are only recorded."""
        found: list[tuple[str, PeerMessage]] = []
        for _, data in datagrams:
            assert len(data) <= MAX_DATAGRAM_BYTES
            datagram = msgspec.msgpack.decode(data[20:], type=Datagram)  # 20: bytes of the seal before the body
            assert datagram.sender == self.name
            self.pinged += [datagram.to for message in datagram.messages if isinstance(message, Ping)]
            found += [(datagram.to, message) for message in datagram.messages if not isinstance(message, Ping)]
        return found

    def send(self, name: str, *messages: PeerMessage, epoch: int = 1) -> list[tuple[str, PeerMessage]]:
        """Deliver messages of the courier or broker ``name``, and return the replies."""
        data = self.sealer(name, epoch).seal(self.name, [*messages])
        self.sent.append(data)
        return self.decode(self.broker.receive(data, self.now))

    def tick(self, elapsed: int = 50 * MS) -> list[tuple[str, PeerMessage]]:
        self.now += elapsed
        return self.decode(self.broker.tick(self.now))

    def wait(self, duration: int) -> list[tuple[str, PeerMessage]]:
        return [each for _ in range(duration // (50 * MS)) for each in self.tick()]

    def renew(
        self,
        name: str,
        number: int,
        known: int = EPOCH,
        dests: tuple[int, ...] = (),
        generation: int = 1,
        epoch: int = 1,
        n: int = 5,
    ) -> list[tuple[str, PeerMessage]]:
        digest = 0
        for dest in dests:
            digest ^= destination_digest(dest)
        return self.send(
            name,
            LeaseRenewal(n, "10.0.0.1", 1_000 + number, number, known, generation, len(dests), digest),
            epoch=epoch,
        )

    def subscribe(self, *numbers: int, dest: int = DEST) -> None:
        for number in numbers:
            self.renew(f"n{number}", number)
            self.send(f"n{number}", Subscribe(1, [dest]))


def make_observation(n: int = 1, age: int = 0, kind: int = ObservationKind.DOWN, endpoint: str = "a") -> Observation:
    return Observation(endpoint, kind, age, 0, n)


def relayed(found: list[tuple[str, PeerMessage]]) -> list[tuple[str, str]]:
    """Subscriber and witness of each relayed observation."""
    return sorted((to, message.witness) for to, message in found if isinstance(message, RelayedObservation))


# Placement


def test_destinations_are_spread_evenly_and_a_failed_broker_moves_only_its_own() -> None:
    names = [f"r/b{n}" for n in range(9)]
    before = {dest: rendezvous_order(names, dest)[:2] for dest in range(5_000)}
    owned = Counter(name for owners in before.values() for name in owners)
    assert all(0.9 < owned[name] / (2 * 5_000 / 9) < 1.1 for name in names), owned
    after = {dest: rendezvous_order(names[:4] + names[5:], dest)[:2] for dest in before}
    for dest, owners in before.items():
        remaining = [name for name in owners if name != "r/b4"]
        assert after[dest][: len(remaining)] == remaining and (len(remaining) == 1) is (after[dest] != owners)
    successors = Counter(after[dest][1] for dest, owners in before.items() if "r/b4" in owners)
    assert len(successors) == 8 and max(successors.values()) < 2 * min(successors.values()), "spread over all others"


def test_the_region_of_a_broker_is_its_name_up_to_the_last_slash() -> None:
    assert (
        brokers.brokers_in_region(NAMES, "x") == ["x/b0", "x/b1", "x/b2"] and brokers.brokers_in_region(NAMES, "") == []
    )
    assert brokers.region_of("a/b/c") == "a/b" and brokers.region_of("plain") == ""


# Relaying


def test_an_observation_goes_to_subscribers_and_once_to_each_other_region_but_not_to_its_witness() -> None:
    harness = BrokerHarness()
    harness.subscribe(1, 2, 3)
    harness.subscribe(4, dest=DEST + 1)
    harness.tick()
    harness.send("n1", PublishObservation(DEST, make_observation(age=40)))
    found = harness.tick(30 * MS)
    assert relayed(found) == [("n2", "n1"), ("n3", "n1")]
    forwarded = [(to, message) for to, message in found if isinstance(message, ForwardedObservation)]
    assert sorted(to for to, _ in forwarded) == sorted(OWNERS[region][0] for region in "yz"), (
        "the first owner forwards to first owners"
    )
    assert all(
        message == ForwardedObservation("n1", 1, 1, DEST, make_observation(age=70)) for _, message in forwarded
    ), "the 30 ms at the broker count towards the age"
    assert all(
        message.observation == make_observation(age=70)
        for _, message in found
        if isinstance(message, RelayedObservation)
    )
    assert harness.tick() == []


def test_a_forwarded_observation_goes_only_to_subscribers_and_is_accepted_only_from_other_regions() -> None:
    harness = BrokerHarness()
    harness.subscribe(1)
    message = ForwardedObservation("n9", 9, 3, DEST, make_observation(age=10))
    for sender in (OWNERS["x"][1], "n1", "n30"):
        harness.send(sender, message)
        assert harness.tick() == [], sender
    assert harness.broker.refused["odd"] == 2 and harness.broker.refused["unknown"] == 1
    harness.send("y/b1", message)
    assert harness.tick() == [("n1", RelayedObservation("n9", 9, 3, make_observation(age=60), "y/b1"))], (
        "with its origin"
    )
    harness.send("y/b2", ForwardedObservation("n9", COURIERS, 3, DEST, make_observation(2)))
    assert harness.tick() == [] and harness.broker.refused["no-place"] == 1


def test_repetitions_are_relayed_but_not_duplicates_of_the_network_or_old_observations() -> None:
    harness = BrokerHarness()
    harness.subscribe(1, 2)
    harness.send("n1", PublishObservation(DEST, make_observation(5)))
    harness.send("n1", PublishObservation(DEST, make_observation(5)))
    assert len(relayed(harness.tick())) == 1 and harness.broker.refused["repeated"] == 1
    harness.wait(300 * MS)
    harness.send("n1", PublishObservation(DEST, make_observation(5, age=300)))
    assert len(relayed(harness.tick())) == 1
    harness.send("n1", PublishObservation(DEST, make_observation(4)))
    assert harness.tick() == [] and harness.broker.refused["repeated"] == 2, "older than the last one of this witness"
    harness.send(
        "n1",
        PublishObservation(DEST, make_observation(6, age=3_001)),
        PublishObservation(DEST, make_observation(7, age=9_000, kind=ObservationKind.LIMIT)),
    )
    assert [message.observation.kind for _, message in harness.tick() if isinstance(message, RelayedObservation)] == [
        ObservationKind.LIMIT
    ]
    assert harness.broker.refused["old"] == 1, "a limit has no such bound of age"


def test_the_age_grows_by_the_time_in_the_broker_and_never_by_more() -> None:
    harness = BrokerHarness()
    harness.subscribe(1, 2)
    pick = Random(4)
    for n in range(1, 200):
        age, delay = pick.randrange(500), pick.randrange(60 * MS)
        harness.now += 250 * MS
        harness.broker.tick(harness.now)
        harness.renew("n2", 2, dests=(DEST,))
        harness.renew("n1", 1, dests=(DEST,))
        harness.send("n1", PublishObservation(DEST, make_observation(n, age)))
        ((_, message),) = [each for each in harness.tick(delay) if isinstance(each[1], RelayedObservation)]
        assert (
            isinstance(message, RelayedObservation)
            and age + delay / MS - 1 < message.observation.age <= age + delay / MS
        )


def test_a_late_subscriber_is_sent_fresh_observations_at_once() -> None:
    harness = BrokerHarness()
    harness.subscribe(1)
    harness.send("n1", PublishObservation(DEST, make_observation()))
    harness.tick()
    harness.wait(SECOND)
    harness.subscribe(2)
    assert harness.tick() == [("n2", RelayedObservation("n1", 1, 1, make_observation(age=1_100)))]
    harness.wait(3 * SECOND)
    harness.subscribe(3)
    assert harness.tick() == [] and not harness.broker._observations and harness.broker._observation_count == 0, (
        "removed when it is no longer fresh"
    )


def test_observations_of_a_limited_number_of_witnesses_are_relayed() -> None:
    harness = BrokerHarness()
    harness.subscribe(*range(12))
    for number in range(12):
        harness.send(f"n{number}", PublishObservation(DEST, make_observation()))
    found = {witness for _, witness in relayed(harness.tick())}
    assert len(found) == brokers.MAX_WITNESSES and harness.broker.refused["enough"] == 12 - brokers.MAX_WITNESSES
    harness.send("n11", PublishObservation(DEST, make_observation(2, kind=ObservationKind.BACK)))
    assert {witness for _, witness in relayed(harness.tick())} == {"n11"}, "another kind is counted separately"
    harness.wait(4 * SECOND)
    harness.send("n10", PublishObservation(DEST, make_observation(3)))
    assert {witness for _, witness in relayed(harness.tick())} == {"n10"}


# Leases


def test_a_lease_expires_by_the_brokers_clock_and_a_digest_shows_what_is_held() -> None:
    harness = BrokerHarness()
    assert harness.renew("n1", 1) == [("n1", LeaseReply(5, True))]
    harness.send("n1", Subscribe(1, [DEST, 12, 13]))
    assert harness.renew("n1", 1, dests=(DEST, 12, 13)) == [("n1", LeaseReply(5, True))]
    assert harness.renew("n1", 1, dests=(DEST, 12)) == [("n1", LeaseReply(5, False))], "fewer destinations"
    assert harness.renew("n1", 1, dests=(DEST, 12, 14)) == [("n1", LeaseReply(5, False))], "as many, but different ones"
    harness.send("n1", Unsubscribe(1, [12]), Subscribe(1, [14, 14]), Unsubscribe(0, [DEST]), Subscribe(0, [77]))
    assert harness.renew("n1", 1, dests=(DEST, 13, 14)) == [("n1", LeaseReply(5, True))], (
        "messages of an older generation are ignored"
    )
    harness.send("n1", Subscribe(2, [DEST]))
    assert harness.renew("n1", 1, dests=(DEST,), generation=2) == [("n1", LeaseReply(5, True))], (
        "a new generation starts empty"
    )
    assert harness.renew("n1", 1, generation=3) == [("n1", LeaseReply(5, True))]
    harness.send("n1", Subscribe(3, [DEST]))
    harness.wait(brokers.LEASE_TERM - SECOND)
    assert harness.broker.status(harness.now)["subscribers"] == 1
    harness.wait(2 * SECOND)
    status = harness.broker.status(harness.now)
    assert (
        status["subscribers"] == status["keys"] == status["subscriptions"] == 0
        and not harness.broker._courier_by_number
    )


def test_a_restarted_courier_loses_its_subscriptions() -> None:
    harness = BrokerHarness()
    harness.subscribe(1, 2)
    assert (
        harness.renew("n1", 1, epoch=2) == [("n1", LeaseReply(5, True))]
        and harness.broker.status(harness.now)["subscriptions"] == 1
    )
    harness.send("n1", PublishObservation(DEST, make_observation()))
    assert harness.tick() == [] and harness.broker.sealer.dropped["old-life"] == 1


def test_datagrams_to_an_earlier_epoch_of_the_broker_are_not_relayed_when_replayed() -> None:
    harness = BrokerHarness()
    harness.subscribe(1, 2)
    harness.send("n1", PublishObservation(DEST, make_observation()))
    assert relayed(harness.tick())
    restarted = BrokerHarness()
    restarted.broker = Broker(
        BrokerConfig(harness.name, "x", NAMES[harness.name], EPOCH + 1, [KEY], NAMES, COURIERS), START, 1
    )
    for data in harness.sent:  # all that it received before its restart, replayed to an empty replay window
        restarted.decode(restarted.broker.receive(data, restarted.now))
    assert relayed(restarted.tick()) == [] and restarted.broker.refused["unready"] == 1


def make_subscriber(seed: int = 1, name: str = "n1", number: int = 1) -> Subscriber:
    return Subscriber(
        name, ("10.0.0.1", 1_000 + number), number, brokers.brokers_in_region(NAMES, "x"), START, Random(seed)
    )


def reply_to_renewals(
    courier: Subscriber,
    out: list[tuple[str, list[PeerMessage]]],
    now: int,
    epoch: int = EPOCH,
    ok: bool = True,
    silent: tuple[str, ...] = (),
) -> dict[str, list[PeerMessage]]:
    """Have each broker that is not silent reply to the renewals in ``out``. Returns all messages by broker."""
    for name, messages in out:
        for message in messages:
            if isinstance(message, LeaseRenewal) and name not in silent:
                courier.receive(name, epoch, [LeaseReply(message.n, ok)], now)
    return dict(out)


def test_destinations_of_a_broker_that_does_not_answer_go_to_the_next_and_return() -> None:
    courier, (first, second, third) = make_subscriber(), OWNERS["x"]
    now = START
    subscribed: dict[str, set[int]] = {name: set() for name in OWNERS["x"]}

    def run(duration: int, silent: tuple[str, ...] = ()) -> None:
        nonlocal now
        for _ in range(duration // (50 * MS)):
            now += 50 * MS
            courier.record_interest([DEST], now)
            for name, messages in reply_to_renewals(courier, courier.tick(now), now, silent=silent).items():
                for message in messages:
                    if isinstance(message, Subscribe):
                        subscribed[name] |= set(message.dests)
                    elif isinstance(message, Unsubscribe):
                        subscribed[name] -= set(message.dests)

    run(10 * SECOND)
    assert courier.owners(DEST) == [first, second] and subscribed == {first: {DEST}, second: {DEST}, third: set()}
    run(12 * SECOND, silent=(first,))
    assert courier.owners(DEST) == [second, third] and subscribed[third] == {DEST}
    assert [name for name, _ in courier.events] == ["peers-broker-silent"] and not courier.status(now)[first][
        "answering"
    ]
    run(brokers.LEASE_TERM + 4 * SECOND)
    assert courier.owners(DEST) == [first, second] and subscribed[first] == {DEST}
    run(brokers.UNSUBSCRIBE_DELAY)
    assert subscribed[third] == set(), "the substitute is unsubscribed after the owner has it again"
    courier.receive(second, EPOCH, [LeaseReply(0, False)], now)
    assert courier.owners(DEST) == [first, third], "one that shuts down is replaced at once"
    run(2 * SECOND, silent=tuple(OWNERS["x"]))
    assert courier.owners(DEST), "a few lost renewals do not count as a failure"


def test_interests_expire_and_are_bounded_and_the_least_recently_used_is_evicted() -> None:
    courier = make_subscriber()
    for n in range(1, brokers.MAX_INTERESTS // brokers.MAX_PLACED_PER_CALL + 1):
        courier.record_interest(range(brokers.MAX_INTERESTS), START)
        assert len(courier._interests) == n * brokers.MAX_PLACED_PER_CALL, "a limited number in each call"
    courier.record_interest([], START + SECOND)
    courier.record_interest([0], START + 4 * SECOND)
    courier.record_interest([brokers.MAX_INTERESTS, brokers.MAX_INTERESTS + 1], START + 4 * SECOND)
    assert (
        courier.refused == 2
        and len(courier._interests) == brokers.MAX_INTERESTS
        and {0, brokers.MAX_INTERESTS} <= courier._interests.keys()
    )
    assert not {1, 2} & courier._interests.keys()
    now = START + 5 * SECOND
    while now < START + brokers.INTEREST_TTL + 10 * SECOND:
        courier.record_interest([0], now)
        reply_to_renewals(courier, courier.tick(now), now)
        now += SECOND // 4
    assert set(courier._interests) == {0} and set().union(
        *(session.subscribed for session in courier.sessions.values())
    ) == {0}


def test_more_destinations_in_use_than_the_maximum_do_not_evict_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    courier, lookups = make_subscriber(), [0]

    def counted(names: Any, dest: int) -> list[str]:
        lookups[0] += 1
        return rendezvous_order(names, dest)

    monkeypatch.setattr(brokers, "rendezvous_order", counted)
    for n in range(200):  # ten seconds
        courier.record_interest(range(3 * brokers.MAX_INTERESTS), START + n * 50 * MS)
    assert (
        len(courier._interests) == brokers.MAX_INTERESTS
        and lookups[0] == brokers.MAX_INTERESTS
        and courier.refused >= 2 * brokers.MAX_INTERESTS
    )
    rare, frequent = 5, range(100, 110)
    courier = make_subscriber()
    for n in range(4 * 60 * 20):  # ``rare`` is used only once in ten seconds, between two updates of the others
        courier.record_interest([*frequent, rare] if n % 200 == 7 else frequent, START + n * 50 * MS)
        courier.tick(START + n * 50 * MS)
        assert n < 7 or rare in courier._interests


def test_a_courier_renews_its_lease_before_it_subscribes() -> None:
    for seed in range(20):
        courier, known = make_subscriber(seed), set()
        for n in range(40):
            courier.record_interest(range(30), START + n * 50 * MS)
            for name, messages in courier.tick(START + n * 50 * MS):
                assert isinstance(messages[0], LeaseRenewal) or name in known
                known.add(name)
        assert len(known) == 3


def test_subscriptions_after_a_brokers_restart_are_spread_over_time() -> None:
    fleet = [make_subscriber(seed, f"n{seed}", seed) for seed in range(200)]
    restarted, restarted_at, now = OWNERS["x"][0], START + 20 * SECOND, START
    sent: Counter[int] = Counter()  # destinations by half second
    while now < restarted_at + 15 * SECOND:
        now += 50 * MS
        for courier in fleet:
            courier.record_interest(range(40), now)
            known = courier.sessions[restarted].epoch
            messages = reply_to_renewals(courier, courier.tick(now), now, silent=(restarted,))
            for message in messages.get(restarted, []):
                if isinstance(message, LeaseRenewal):  # after the restart it holds nothing
                    epoch = EPOCH + (now >= restarted_at)
                    courier.receive(
                        restarted, epoch, [LeaseReply(message.n, now < restarted_at or known == epoch)], now
                    )
                elif isinstance(message, Subscribe) and now >= restarted_at:
                    sent[now // (500 * MS)] += len(message.dests)
    owned = sum(restarted in rendezvous_order(brokers.brokers_in_region(NAMES, "x"), dest)[:2] for dest in range(40))
    assert sum(sent.values()) == 200 * owned, "every subscription is sent again once"
    assert len(sent) >= 10 and max(sent.values()) <= 0.3 * 200 * owned, sent


# Stalls, duplicate names and numbers, floods, bounds


def test_after_a_stall_observations_are_dropped_but_leases_are_renewed() -> None:
    for ticks_first in (False, True):  # whether the first tick after the stall precedes the datagrams read
        harness = BrokerHarness()
        harness.subscribe(1, 2)
        harness.tick()
        harness.now += brokers.LEASE_TERM - SECOND
        if ticks_first:
            harness.tick(0)
        harness.send("n1", PublishObservation(DEST, make_observation()))
        harness.send("y/b1", ForwardedObservation("n9", 9, 3, DEST, make_observation()))
        assert harness.renew("n2", 2, dests=(DEST,)) == [("n2", LeaseReply(5, True))]
        assert harness.tick(0) == [] and harness.broker.refused["late"] == 2 and harness.broker.stalled == 1
        harness.tick()
        harness.send("n1", PublishObservation(DEST, make_observation(2)))
        assert relayed(harness.tick()) == [("n2", "n1")], "after that, observations are relayed again"
        assert harness.broker.stalled == 1 and [name for name, _ in harness.broker.events] == ["broker-stalled"]


def test_a_broker_stops_when_two_couriers_report_a_higher_epoch_but_not_for_one() -> None:
    harness = BrokerHarness()
    harness.subscribe(1, 2, 3)
    for _ in range(3):
        harness.renew("n1", 1, known=EPOCH + 1)
    assert not harness.broker.superseded
    assert harness.renew("n2", 2, known=EPOCH + 1) == [] and harness.broker.superseded
    assert [(name, fields["younger"]) for name, fields in harness.broker.events] == [("broker-name-twice", EPOCH + 1)]
    harness.send("n3", PublishObservation(DEST, make_observation()))
    assert (
        harness.renew("n3", 3) == []
        and harness.tick() == []
        and harness.decode(harness.broker.shut_down(harness.now)) == []
    )
    other = BrokerHarness()
    other.send(other.name, Ping(1), epoch=EPOCH - 1)
    assert not other.broker.superseded
    other.send(other.name, Ping(1), epoch=EPOCH + 1)
    assert other.broker.superseded, "a datagram of the other process itself is enough"


def test_two_couriers_with_one_number_are_reported_also_across_regions() -> None:
    harness = BrokerHarness()
    harness.subscribe(1, 2)
    harness.renew("n77", 2)
    harness.send("y/b0", ForwardedObservation("n78", 1, 1, DEST, make_observation()))
    harness.renew("n77", 2)
    assert [(name, fields["courier"], fields["rival"]) for name, fields in harness.broker.events] == [
        ("broker-number-twice", "n77", "n2"),
        ("broker-number-twice", "n78", "n1"),
    ]
    assert harness.renew("n50", COURIERS) == [] and harness.broker.refused["no-place"] == 1


def test_a_flooding_courier_is_limited_to_its_share_and_others_are_not() -> None:
    harness = BrokerHarness(bytes_per_second=100_000)
    harness.subscribe(*range(10))
    for each in range(40):
        for n in range(20):
            harness.send("n1", PublishObservation(DEST, make_observation(1 + 20 * each + n, endpoint=f"e{n}")))
        harness.tick()
    relayed_count = harness.broker.relayed
    assert harness.broker.refused["share"] + harness.broker.refused["flood"] > 700
    assert relayed_count * brokers.RELAY_COST_BYTES <= 1.2 * brokers.COURIER_BANDWIDTH_SHARE * 100_000 * 3, (
        "its share, and the burst that is allowed"
    )
    harness.send("n2", PublishObservation(DEST, make_observation(1, endpoint="other")))
    assert {witness for _, witness in relayed(harness.tick())} == {"n2"} and harness.broker.over_bandwidth == 0
    fast = BrokerHarness(bytes_per_second=100_000_000)
    fast.subscribe(1, 2)
    for n in range(200):
        fast.send("n1", PublishObservation(DEST, make_observation(n + 1, endpoint=f"e{n}")))
    assert fast.broker.refused["flood"] == 200 - brokers.PUBLISH_RATE
    assert [name for name, _ in fast.broker.events] == ["broker-flooded"]


def test_state_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = BrokerHarness(max_subscribers=3)
    harness.subscribe(1, 2, 3, 4)
    assert harness.broker.status(harness.now)["subscribers"] == 3 and harness.broker.refused["subscribers"] == 1
    monkeypatch.setattr(brokers, "MAX_INTERESTS", 50)
    for at in range(0, 100, 10):
        harness.send("n1", Subscribe(1, list(range(1_000 + at, 1_010 + at))))
    assert len(harness.broker._leases["n1"].dests) == 50 and harness.broker.refused["keys"] == 51
    monkeypatch.setattr(brokers, "MAX_SUBSCRIPTIONS", 60)
    harness.send("n2", Subscribe(1, list(range(2_000, 2_040))))
    assert harness.broker.status(harness.now)["subscriptions"] == 60
    monkeypatch.setattr(brokers, "MAX_OBSERVATIONS", 80)
    for n in range(200):
        harness.send("y/b0", ForwardedObservation("n9", 9, 1, DEST + n % 2, make_observation(endpoint=f"e{n}")))
    assert harness.broker._observation_count == 80 and all(
        len(each) <= brokers.MAX_OBSERVATIONS_PER_DESTINATION for each in harness.broker._observations.values()
    )


def test_the_bandwidth_limit_holds_and_leases_have_priority_over_observations() -> None:
    harness = BrokerHarness(bytes_per_second=10_000)
    harness.subscribe(*range(20))
    harness.wait(SECOND)
    sent, began = harness.broker.sent, harness.now
    for n in range(300):
        harness.send(f"y/b{n % 3}", ForwardedObservation("n30", 30, 1, DEST, make_observation(n + 1, endpoint=f"e{n}")))
        if n % 50 == 49:
            harness.tick()
    assert harness.broker.over_bandwidth > 0 and harness.broker.sent - sent <= 10_000 * (
        1 + (harness.now - began) / SECOND
    )
    assert harness.renew("n1", 1, dests=(DEST,)) == [("n1", LeaseReply(5, True))]
    assert "broker-held-back" in [name for name, _ in harness.broker.events]


def test_an_observation_with_names_too_long_for_a_datagram_is_counted_and_dropped() -> None:
    harness, long = BrokerHarness(), "\U0001f41f" * 58
    for n in (1, 2):
        harness.renew(f"{long}{n}", n)
        harness.send(f"{long}{n}", Subscribe(1, [DEST]))
    harness.send(f"{long}1", PublishObservation(DEST, make_observation(endpoint="\U0001f41f" * 195)))
    harness.send(f"{long}1", PublishObservation(DEST, make_observation(2)))
    assert [
        message.observation.sequence for _, message in harness.tick() if isinstance(message, RelayedObservation)
    ] == [2]
    assert harness.broker.refused["oversized"] == 1


def test_at_shutdown_queued_observations_are_relayed_and_subscribers_notified() -> None:
    harness = BrokerHarness()
    harness.subscribe(1, 2)
    harness.send("n1", PublishObservation(DEST, make_observation()))
    found = harness.decode(harness.broker.shut_down(harness.now))
    assert relayed(found) == [("n2", "n1")] and {to for to, message in found if message == LeaseReply(0, False)} == {
        "n1",
        "n2",
    }
    assert harness.tick() == [] and not harness.broker.superseded


def test_brokers_ping_each_other_and_one_that_does_not_answer_is_skipped() -> None:
    harness = BrokerHarness()
    harness.subscribe(1)
    failed = OWNERS["y"][0]
    for _ in range(1_000):  # fifty seconds
        harness.pinged.clear()
        harness.tick()
        for name in harness.pinged:
            if name != failed:
                harness.send(name, Ack(harness.broker._remote_brokers[name].n))
        harness.renew("n1", 1, dests=(DEST,))
    assert [name for name, answers in harness.broker.status(harness.now)["brokers"].items() if not answers] == [failed]
    assert harness.send(failed, Ping(4)) == [(failed, Ack(4))]
    harness.send("n1", PublishObservation(DEST, make_observation()))
    receivers = {to for to, message in harness.tick() if isinstance(message, ForwardedObservation)}
    assert receivers == {OWNERS["y"][1], OWNERS["z"][0]}


# Bad input

# By kind of failure: makes an invalid datagram, some of them from a valid one of the courier n1.
BAD: dict[str, Callable[[BrokerHarness, bytes], bytes]] = {
    "oversized": lambda harness, data: data + b"x" * MAX_DATAGRAM_BYTES,
    "foreign": lambda harness, data: b"GET / HTTP/1.1\r\n\r\n" + data,
    "forged": lambda harness, data: data[:-1] + bytes([data[-1] ^ 1]),
    "misdirected": lambda harness, data: harness.sealer("n1").seal("y/b0", []),
    "old-life": lambda harness, data: Sealer("n1", 0, [KEY]).seal(harness.name, []),
    "replayed": lambda harness, data: harness.sent[-1],
}


@pytest.mark.parametrize("name", BAD)
def test_an_invalid_datagram_is_dropped_and_counted(name: str) -> None:
    harness = BrokerHarness()
    harness.subscribe(1, 2)
    harness.send("n1", PublishObservation(DEST, make_observation()))
    harness.tick()
    bad = BAD[name](harness, harness.sealer("n1").seal(harness.name, [PublishObservation(DEST, make_observation(2))]))
    for _ in range(3):
        assert harness.decode(harness.broker.receive(bad, harness.now)) == []
    assert harness.tick() == [] and harness.broker.status(harness.now)["dropped"] == {name: 3}
    reported = [fields["kind"] for event, fields in harness.broker.events if event == "broker-dropped"]
    assert reported == ([] if name == "old-life" else [name]), "one event per kind and minute"
    harness.send("n1", PublishObservation(DEST, make_observation(3)))
    assert relayed(harness.tick()) == [("n2", "n1")], "a valid one that follows is accepted"


@pytest.mark.parametrize("host", ["", "example.org", "1.2.3", "1.2.3.256", "10.0.0.1\n", "localhost.x"])
def test_an_address_that_needs_name_resolution_is_rejected(host: str) -> None:
    harness = BrokerHarness()
    assert harness.send("n1", LeaseRenewal(1, host, 5, 1, 0, 1, 0, 0)) == [] and not harness.broker._leases
    assert harness.broker.sealer.dropped == {"unreadable": 1}
    assert harness.send("n1", LeaseRenewal(1, "localhost", 5, 1, 0, 1, 0, 0)) == [("n1", LeaseReply(1, True))]


def test_truncated_datagrams_are_rejected() -> None:
    harness = BrokerHarness()
    whole = harness.sealer("n1").seal(harness.name, [LeaseRenewal(1, "10.0.0.1", 5, 1, 0, 1, 0, 0)])
    for end in range(len(whole)):
        assert harness.broker.receive(whole[:end], harness.now) == []
    assert not harness.broker._leases and sum(harness.broker.sealer.dropped.values()) == len(whole)


COUNT = st.sampled_from([0, 1, 5, EPOCH, EPOCH + 1, 1 << 53])
TEXT = st.sampled_from(["n1", "n2", "x/b0", "y/b1", "é" * 60, "z" * 60, OWNERS["x"][0]])
OBSERVATIONS = st.builds(
    Observation,
    st.sampled_from(["a", "b", "ü" * 200]),
    st.integers(0, 4),
    st.sampled_from([0, 50, 3_600_000]),
    st.sampled_from([0, 5, 1 << 40]),
    COUNT,
)
DESTS = st.lists(st.sampled_from([0, DEST, 1 << 40]), max_size=256)
MESSAGES = st.one_of(
    st.builds(Subscribe, COUNT, DESTS),
    st.builds(Unsubscribe, COUNT, DESTS),
    st.builds(
        LeaseRenewal,
        COUNT,
        st.sampled_from(["", "10.0.0.1", "not a host"]),
        st.integers(1, 65_535),
        COUNT,
        COUNT,
        COUNT,
        st.integers(0, 1 << 20),
        st.integers(0, (1 << 62) - 1),
    ),
    st.builds(LeaseReply, COUNT, st.booleans()),
    st.builds(PublishObservation, st.sampled_from([DEST, 0]), OBSERVATIONS),
    st.builds(RelayedObservation, TEXT, COUNT, COUNT, OBSERVATIONS, st.sampled_from(["", "y/b1", "nobody"])),
    st.builds(ForwardedObservation, TEXT, COUNT, COUNT, st.sampled_from([DEST, 0]), OBSERVATIONS),
    OBSERVATIONS,
    st.builds(
        MemberUpdate,
        TEXT,
        st.just("10.0.0.1"),
        st.integers(1, 9),
        COUNT,
        COUNT,
        COUNT,
        st.integers(0, 3),
        st.sampled_from(["", "a", "b"]),
    ),
    st.builds(Ping, COUNT),
    st.builds(Ack, COUNT),
    st.just(CounterRequest()),
    st.builds(LoanRequest, COUNT, TEXT, st.integers(0, 9), st.just(1.0), COUNT),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.tuples(TEXT, st.lists(MESSAGES, max_size=3), st.sampled_from([0, 50 * MS, SECOND])), max_size=25))
def test_any_messages_sealed_with_the_key_are_handled_without_errors(
    sent: list[tuple[str, list[PeerMessage], int]],
) -> None:
    harness = BrokerHarness()
    region = {name: address for name, address in NAMES.items()}
    peer = Peer(
        PeerConfig(
            "n0", ("10.0.0.1", 1_000), 1, [KEY], {}, LoanTerms(COURIERS, 0), group="a", region="x", brokers=region
        ),
        START,
        1,
    )
    peer.observations.set_routes({"a": DEST, "b": 0})
    for sender, messages, elapsed in sent:
        harness.now += elapsed
        for to, receive in ((harness.name, harness.broker.receive), ("n0", peer.receive)):
            sealer = harness.sealer(sender, EPOCH + 2)
            try:
                data = sealer.seal(to, messages)
            except ValueError:  # too large to be sent at all
                continue
            for _, answer in receive(data, harness.now):
                assert len(answer) <= MAX_DATAGRAM_BYTES
        peer.record_interest([DEST, 0], harness.now)
        for _, answer in harness.broker.tick(harness.now) + peer.tick(harness.now):
            assert len(answer) <= MAX_DATAGRAM_BYTES
    harness.broker.status(harness.now)
    assert peer.observations.restrictions(harness.now, []).keys() <= {"a", "b"} and peer.broker_status(harness.now)


def test_couriers_without_brokers_are_sent_only_messages_that_they_can_decode() -> None:
    """Half of the couriers support neither groups nor brokers, and could not decode the messages of brokers."""
    net = SimulatedNetwork(8, 5, Faults(), brokers={"x": 3}, placement=lambda n: ("x", "ab"[n % 2]))
    net.pre_broker_couriers = {f"n{n}" for n in range(4)}
    broker_messages = (
        Subscribe,
        Unsubscribe,
        LeaseRenewal,
        LeaseReply,
        PublishObservation,
        RelayedObservation,
        ForwardedObservation,
    )
    received_by_pre_broker: set[type] = set()
    for name in [*net.brokers, *net.nodes]:
        if name in net.nodes:
            net.set_endpoints(name, {"a": DEST, "b": DEST})
        net.start(name)
    for name in net.pre_broker_couriers:
        peer = net.nodes[name].peer
        assert peer is not None
        original = peer.sealer.open

        def recording(data: bytes, original: Callable[[bytes], Datagram] = original) -> Datagram:
            datagram = original(data)
            received_by_pre_broker.update(type(message) for message in datagram.messages)
            return datagram

        peer.sealer.open = recording  # type: ignore[method-assign]
    net.run(20 * SECOND)
    for name in ("n1", "n5"):
        node = net.nodes[name]
        assert node.peer is not None
        node.peer.observations.record_call("a", CallOutcome.FAILED, node.clock(net.now), node.clock(net.now))
    net.run(22 * SECOND)
    assert Observation in received_by_pre_broker and not received_by_pre_broker & set(broker_messages)
    assert not any(node.broker.refused for node in net.brokers.values() if node.broker is not None), (
        "nor are brokers sent other messages"
    )
    for node in net.nodes.values():
        assert node.peer is not None and not node.peer.sealer.dropped
        assert "a" in node.peer.observations.restrictions(node.clock(net.now), node.peer.members.alive()), node.name
    assert all(
        set(n.peer.members.alive()) >= net.pre_broker_couriers - {n.name}
        for n in net.nodes.values()
        if n.peer is not None
    )


# Random sequences of faults


class BrokerFaults(RuleBasedStateMachine):
    """One courier, and three brokers that fail and restart, on a lossy network.

    In the end each broker must hold just the subscriptions to the destinations that it owns.
    """

    @initialize(seed=st.integers(0, 999), loss=st.sampled_from([0.0, 0.3]))
    def start(self, seed: int, loss: float) -> None:
        self.net = SimulatedNetwork(
            1, seed, Faults(loss, loss, (MS, 30 * MS)), brokers={"x": 3}, placement=lambda n: ("x", "g")
        )
        for name in [*self.net.brokers, "n0"]:
            self.net.start(name)
        self.net.run(2 * SECOND)

    @rule(dests=st.sets(st.integers(0, 300), max_size=150))
    def set_interests(self, dests: set[int]) -> None:
        self.net.set_endpoints("n0", {f"e{dest}": dest for dest in dests})
        self.net.run(self.net.now + 200 * MS)

    @rule(which=st.sampled_from(["x/b0", "x/b1", "x/b2"]), seconds=st.integers(0, 25))
    def kill(self, which: str, seconds: int) -> None:
        self.net.kill(which)
        self.net.run(self.net.now + seconds * SECOND)
        self.net.start(which)

    @rule(which=st.sampled_from(["x/b0", "x/b1", "x/b2", "n0"]), seconds=st.integers(0, 25))
    def stop(self, which: str, seconds: int) -> None:
        self.net.pause(which, seconds * SECOND)
        self.net.run(self.net.now + 300 * MS)

    @rule(isolated=st.sampled_from(["x/b0", "x/b1", "n0"]), seconds=st.integers(0, 30))
    def drop_incoming(self, isolated: str, seconds: int) -> None:
        self.net.cut = lambda sender, to: to == isolated
        self.net.run(self.net.now + seconds * SECOND)
        self.net.cut = lambda sender, to: False

    @rule(seconds=st.integers(1, 20))
    def advance_time(self, seconds: int) -> None:
        self.net.run(self.net.now + seconds * SECOND)

    @invariant()
    def subscription_count_is_correct(self) -> None:
        for node in self.net.brokers.values() if hasattr(self, "net") else ():
            if node.broker is not None:
                dests = [lease.dests for lease in node.broker._leases.values()]
                assert node.broker._subscription_count == sum(map(len, dests))
                assert node.broker._subscribers_of.keys() == set().union(*dests)

    def teardown(self) -> None:
        if not hasattr(self, "net"):
            return
        self.net.faults = Faults()
        self.net.run(self.net.now + brokers.INTEREST_TTL + 3 * brokers.LEASE_TERM)
        dests = set(self.net.endpoints_by_courier.get("n0", {}).values())
        for name, node in self.net.brokers.items():
            assert node.broker is not None and node.broker._leases.keys() == {"n0"}
            owned = {dest for dest in dests if name in rendezvous_order(self.net.brokers, dest)[:2]}
            assert node.broker._leases["n0"].dests == owned


TestBrokerFaults = BrokerFaults.TestCase
TestBrokerFaults.settings = settings(max_examples=30, stateful_step_count=12, derandomize=True, deadline=None)


def test_a_broker_with_a_new_key_seals_with_it_and_still_accepts_the_old_one() -> None:
    harness = BrokerHarness()
    harness.broker.sealer.rekey([b"n" * 32, KEY])
    assert harness.renew("n1", 1), "the old key is still accepted"
    with pytest.raises(DatagramRejectedError):
        Sealer("n1", 1, [KEY]).open(harness.broker.sealer.seal("n1", []))


def test_a_broker_that_was_cut_off_for_seconds_is_back_within_seconds() -> None:
    # Guards against a courier without a broker for the rest of a lease's term after a short cut.
    courier, (first, *_), now = make_subscriber(), OWNERS["x"], START

    def run(duration: int, silent: tuple[str, ...] = ()) -> int:
        """Run for the duration; returns how many renewals the first broker was sent."""
        nonlocal now
        renewals = 0
        for _ in range(duration // (50 * MS)):
            now += 50 * MS
            sent = reply_to_renewals(courier, courier.tick(now), now, silent=silent)
            renewals += sum(isinstance(message, LeaseRenewal) for message in sent.get(first, ()))
        return renewals

    run(10 * SECOND)
    while courier.status(now)[first]["answering"]:
        run(50 * MS, silent=(first,))
    run(2 * SECOND, silent=(first,))
    run(3 * SECOND)
    assert courier.status(now)[first]["answering"]
    # One that stays away is tried as seldom as before: with jitter, every 12 s at the most.
    while courier.status(now)[first]["answering"]:
        run(50 * MS, silent=(first,))
    run(brokers.LEASE_TERM * 2, silent=(first,))
    assert run(10 * brokers.LEASE_TERM, silent=(first,)) <= 13
