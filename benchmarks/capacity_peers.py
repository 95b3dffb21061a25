"""Slopes of what couriers exchange: members, observations of endpoints, budgets, counters.

There are two settings. On the modelled network, the pure modules of all couriers run in one process. Their processor
time includes that of the model, and one machine's caches have to hold what many machines would, so it is an upper
bound. As pure modules, one courier is measured among simulated others, so their number can be that of the target.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from random import Random
from typing import Any

from benchmarks.slope import Slope
from benchmarks.target import TARGET
from kestrelspar.lab.simulated_network import MS, SECOND, TICK_INTERVAL, Faults, SimulatedNetwork, Traffic
from kestrelspar.peers import seal
from kestrelspar.peers.counts import FleetCounters
from kestrelspar.peers.members import MemberState
from kestrelspar.peers.messages import Ack, CounterReport, Datagram, MemberUpdate, Observation, Ping
from kestrelspar.peers.observations import OUTAGE_REPORT_MAX_AGE, CallOutcome, probe_rank
from kestrelspar.peers.peer import BURST_WINDOW, URGENT_RESERVE, Datagrams, Peer, PeerConfig
from kestrelspar.peers.seal import Sealer
from kestrelspar.peers.shares import LoanTerms, Shares, budget_for_rate

MODELLED, PURE = "modelled network", "pure module"
KEY = b"a key for the couriers played ..."[:32]
# In microseconds of simulated time; CHECK_AT is a time since the start of the run, the others are durations.
START_SPREAD, CHECK_AT, IDLE_DURATION = 20 * SECOND, 60 * SECOND, 20 * SECOND
MAX_CONVERGENCE_TIME = 240 * SECOND  # a run is cut off when convergence takes longer
SETTLING_TIME, CHURN_DURATION, RESTART_INTERVAL = 5 * SECOND, 40 * SECOND, 5 * SECOND
WAVE_DURATION = 40 * SECOND
SINGLE_DURATION = 60 * SECOND
OBSERVATION_DURATION = 5 * SECOND
GOSSIP_EXHAUSTED = 1 << 20  # transmissions of an update: more than gossip makes, so that it is not sent again
COUNTERS_PER_COURIER = 20
COUNTS_DURATION = 5 * SECOND
# CALL_LIMIT is in calls per second; LOAD_FACTOR is the offered load as a fraction of it.
CALL_LIMIT, LOAD_FACTOR, MESSAGE_TIMEOUT, WARM_UP, LOAD_DURATION = 50, 0.8, 4 * SECOND, 8 * SECOND, 20 * SECOND
KNOWN_SHARE = 0.99  # share of the couriers, or of their entries, at which something counts as known to all


def _net(size: int, seed: int, group_size: int = 0) -> SimulatedNetwork:
    """Create ``size`` couriers; with ``group_size``, in such groups and in two regions with three brokers each."""
    if not group_size:
        return SimulatedNetwork(size, seed, Faults(), seeds=5, bytes_per_second=TARGET.bytes_a_second)
    groups = max(1, size // group_size)
    net = SimulatedNetwork(
        size,
        seed,
        Faults(),
        seeds=5,
        bytes_per_second=TARGET.bytes_a_second,
        brokers={"x": 3, "y": 3},
        placement=lambda n: ("xy"[n % groups % 2], f"z{n % groups}"),
    )
    for name in net.brokers:
        net.start(name)
    return net


def _start_informed(net: SimulatedNetwork) -> list[Peer]:
    """Start all couriers in the state long after a start: each knows its whole group, no update is left to gossip."""
    for name in net.nodes:
        net.start(name)
    peers = [node.peer for node in net.nodes.values() if node.peer is not None]
    updates = [as_received(peer.members.own_update) for peer in peers]
    for peer in peers:
        _inform(peer, [each for each in updates if each.group == peer.config.group])
    return peers


def as_received(update: MemberUpdate) -> MemberUpdate:
    """Return the update as it is received: a separate object, so that memory figures count it, with an enum state."""
    message = seal.decode(seal.encode(Datagram(update.name, 1, "x", 1, [update]))).messages[0]
    assert isinstance(message, MemberUpdate)
    return message


def _inform(peer: Peer, updates: list[MemberUpdate]) -> None:
    """Let the courier know these members, with nothing left to gossip about them."""
    peer.members.receive(updates[0].name, updates[0].epoch, updates, 0)
    for member in peer.members.members.values():
        member.times_gossiped = GOSSIP_EXHAUSTED
    peer.events, peer.members.events = [], []


def measure_members(size: int, seed: int, group_size: int = 0) -> dict[str, float]:
    """Spread starts over 20 s; check the known members 60 s after the first start, then measure 20 s of idling."""
    net, full_count = _net(size, seed, group_size), (group_size or size) - 1
    for n, name in enumerate(net.nodes):
        net.at(n * START_SPREAD // size, lambda name=name: net.start(name))  # type: ignore[misc]
    net.run(START_SPREAD)
    peers = [node.peer for node in net.nodes.values() if node.peer is not None]
    known_at, checking_time = 0, 0.0

    def run_until(end: int) -> None:
        nonlocal known_at, checking_time
        while net.now < end:
            net.run(net.now + SECOND)
            check_started_at = time.process_time()
            if not known_at and min(len(peer.members.alive()) for peer in peers) >= int(KNOWN_SHARE * full_count):
                known_at = net.now
            checking_time += time.process_time() - check_started_at

    run_until(CHECK_AT)
    figures = {
        "least-known": float(min(len(peer.members.alive()) for peer in peers) + 1),
        "held-back": float(sum(peer.over_bandwidth for peer in peers)),
    }
    gc.collect()
    sent_before, cpu_before, checking_time = sum(peer.sent for peer in peers), time.process_time(), 0.0
    run_until(CHECK_AT + IDLE_DURATION)
    seconds = size * IDLE_DURATION / SECOND
    figures |= {
        "sent": (sum(peer.sent for peer in peers) - sent_before) / seconds,
        "processor": (time.process_time() - cpu_before - checking_time) * 1e3 / seconds,
    }
    while not known_at and net.now < MAX_CONVERGENCE_TIME:
        run_until(net.now + SECOND)
    return figures | {"all-known": (known_at or MAX_CONVERGENCE_TIME) / SECOND}


def measure_churn(size: int, seed: int, group_size: int = 0) -> dict[str, float]:
    """Let all know their group, stop one courier for good, and restart another one every 5 s for 40 s.

    The other couriers are replaced at once, without time between stop and start.
    """
    net = _net(size, seed, group_size)
    _start_informed(net)
    net.run(SETTLING_TIME)
    started_at, stopped = net.now, f"n{size // 2}"
    net.kill(stopped)
    for n in range(1, CHURN_DURATION // RESTART_INTERVAL):
        net.at(started_at + n * RESTART_INTERVAL, lambda n=n: net.start(f"n{size // 2 + n}"))  # type: ignore[misc]
    gc.collect()
    sent_before = {name: node.peer.sent for name, node in net.nodes.items() if node.peer is not None}
    epochs, cpu_started_at, known_at = {name: node.epoch for name, node in net.nodes.items()}, time.process_time(), 0
    checking_time = 0.0
    while net.now < started_at + CHURN_DURATION:
        net.run(net.now + 100 * MS)
        check_started_at = time.process_time()
        if not known_at and _count_informed_of_loss(net, stopped) >= int(KNOWN_SHARE * ((group_size or size) - 1)):
            known_at = net.now
        checking_time += time.process_time() - check_started_at
    cpu = time.process_time() - cpu_started_at - checking_time
    sent = sum(
        node.peer.sent - (sent_before[name] if epochs[name] == node.epoch else 0)
        for name, node in net.nodes.items()
        if node.peer is not None
    )
    wrongly_dead = sum(
        member.update.state is MemberState.DEAD and name != stopped
        for node in net.nodes.values()
        if node.peer is not None
        for name, member in node.peer.members.members.items()
    )
    seconds = (size - 1) * CHURN_DURATION / SECOND
    return {
        "sent": sent / seconds,
        "processor": cpu * 1e3 / seconds,
        "loss-known": ((known_at or net.now) - started_at) / SECOND,
        "wrongly-dead": float(wrongly_dead),
    }


def measure_wave(size: int, seed: int, group_size: int = 0) -> dict[str, float]:
    """Let all know their group, stop ``TARGET.wave / TARGET.couriers`` of them together, and start these 1 s later."""
    net = _net(size, seed, group_size)
    _start_informed(net)
    net.run(SETTLING_TIME)
    count = max(1, round(size * TARGET.wave / TARGET.couriers))
    names = list(net.nodes)
    stopped, others = names[-count:], names[:-count]
    pairs = [
        (name, observer)
        for name in stopped
        for observer in others
        if net.nodes[name].group == net.nodes[observer].group
    ]
    for name in stopped:
        net.kill(name)
        net.at(net.now + SECOND, lambda name=name: net.start(name))  # type: ignore[misc]
    started_at = net.now
    sent_before = {name: node.peer.sent for name, node in net.nodes.items() if node.peer is not None}
    over_bandwidth_before = sum(node.peer.over_bandwidth for node in net.nodes.values() if node.peer is not None)
    known_at = joined = sent = over_bandwidth = 0
    while net.now < started_at + WAVE_DURATION or not known_at * joined and net.now < started_at + MAX_CONVERGENCE_TIME:
        net.run(net.now + 200 * MS)
        peers = {name: node.peer for name, node in net.nodes.items() if node.peer is not None}
        if not known_at and len(peers) == size:
            informed = sum(_knows_epoch(peers[observer], name, net.nodes[name].epoch) for name, observer in pairs)
            known_at = net.now if informed >= KNOWN_SHARE * len(pairs) else 0
        if not joined and len(peers) == size:
            known_members = sum(len(peers[name].members.alive()) for name in stopped)
            joined = net.now if known_members >= KNOWN_SHARE * len(stopped) * ((group_size or size) - 1) else 0
        if net.now <= started_at + WAVE_DURATION:
            sent = sum(peer.sent - (0 if name in stopped else sent_before[name]) for name, peer in peers.items())
            over_bandwidth = sum(peer.over_bandwidth for peer in peers.values()) - over_bandwidth_before
    return {
        "known": ((known_at or net.now) - started_at) / SECOND,
        "joined": ((joined or net.now) - started_at) / SECOND,
        "sent": sent / (size * WAVE_DURATION / SECOND),
        "held-back": float(over_bandwidth),
    }


def _knows_epoch(peer: Peer, name: str, epoch: int) -> bool:
    member = peer.members.members.get(name)
    return member is not None and member.update.epoch == epoch and member.update.state is MemberState.ALIVE


def _count_informed_of_loss(net: SimulatedNetwork, name: str) -> int:
    """Return how many running couriers of its group consider this courier dead or removed, or do not know it."""
    count = 0
    for node in net.nodes.values():
        if node.peer is not None and node.group == net.nodes[name].group:
            member = node.peer.members.members.get(name)
            count += member is None or member.update.state >= MemberState.DEAD
    return count


class SimulatedFleet:
    """One real courier's modules; the other couriers exist only as the datagrams that they send to it."""

    def __init__(self, others: int, seed: int) -> None:
        self.random = Random(seed)
        self.others = [self._update(n) for n in range(1, others + 1)]
        self.by_address = {(update.host, update.port): update for update in self.others}
        self._sealers: dict[str, Sealer] = {}
        config = PeerConfig(
            "c-01-0000",
            ("10.0.0.1", 2770),
            1,
            [KEY],
            {},
            LoanTerms(others + 1, 0),
            TARGET.bytes_a_second,
            max_members=others + 1,
        )
        self.now = 0
        self.peer = Peer(config, 0, seed, {})
        for update in self.others:  # decoded one by one, as they are when received
            self.peer.members.receive(update.name, update.epoch, [self._update(update.number)], 0)
        for member in self.peer.members.members.values():
            member.times_gossiped = GOSSIP_EXHAUSTED
        self.peer.events, self.peer.members.events = [], []
        self.peer.tick(0)

    @staticmethod
    def _update(n: int) -> MemberUpdate:
        address = f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}"
        return as_received(
            MemberUpdate(f"c-{n % 20:02}-{n:05}", address, 2770, n, 1_780_000_000_000 + n, 0, MemberState.ALIVE)
        )

    def sealer(self, name: str, epoch: int) -> Sealer:
        """Return the sealer of one of the other couriers."""
        if name not in self._sealers:
            self._sealers[name] = Sealer(name, epoch, [KEY])
        return self._sealers[name]

    def datagram_from(self, update: MemberUpdate, *messages: Any) -> bytes:
        """Return a datagram from the simulated courier of ``update``, with piggybacked member updates as real ones."""
        all_messages = [*messages, *self.random.sample(self.others, min(20, len(self.others)))]
        while Sealer.size(all_messages, 20) > seal.MAX_DATAGRAM_BYTES:
            all_messages.pop()
        return self.sealer(update.name, update.epoch).seal("c-01-0000", all_messages)

    def open_datagram(self, address: tuple[str, int], data: bytes) -> tuple[MemberUpdate, Datagram]:
        """Return the receiver and the content of a datagram that the real courier sent."""
        update = self.by_address[address]
        return update, self.sealer(update.name, update.epoch).open(data)


def measure_single_courier(size: int, seed: int) -> dict[str, float]:
    """Measure one courier with ``size`` members: memory, and 60 s of probes, answers and the target's restarts."""
    seal.MAX_SENDERS = max(seal.MAX_SENDERS, size + 1)  # raised in this process only, like the bound on members
    tracemalloc.start()
    fleet = SimulatedFleet(size, seed)
    for update in fleet.others:  # a datagram from each, as the courier stores the sequence numbers of its senders
        fleet.peer.sealer.open(fleet.sealer(update.name, update.epoch).seal("c-01-0000", []))
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    del fleet.peer
    gc.collect()
    memory -= tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    fleet = SimulatedFleet(size, seed)
    peer, cpu, sent = fleet.peer, 0.0, 0
    delayed: list[tuple[int, bytes]] = []  # answers of other couriers, with the time at which they arrive
    restart_interval, last_ping_second = int(TARGET.restart_interval * SECOND), 0
    while fleet.now < SINGLE_DURATION:
        fleet.now += TICK_INTERVAL
        incoming = [data for due_at, data in delayed if due_at <= fleet.now]
        delayed = [(due_at, data) for due_at, data in delayed if due_at > fleet.now]
        if fleet.now // SECOND != last_ping_second:  # a courier is probed once per period of 1 s, on average
            last_ping_second = fleet.now // SECOND
            incoming.append(fleet.datagram_from(fleet.random.choice(fleet.others), Ping(last_ping_second)))
        if fleet.now % restart_interval < TICK_INTERVAL:  # gossip reports one restart somewhere in the fleet
            n = fleet.random.randrange(len(fleet.others))
            previous = fleet.others[n]
            fleet.others[n] = MemberUpdate(
                previous.name,
                previous.host,
                previous.port,
                previous.number,
                previous.epoch + 1_000,
                0,
                MemberState.ALIVE,
            )
            fleet.by_address[(previous.host, previous.port)] = fleet.others[n]
            incoming.append(fleet.datagram_from(fleet.random.choice(fleet.others), fleet.others[n]))
        outgoing: Datagrams = []
        cpu_started_at = time.process_time()
        for data in incoming:
            outgoing += peer.receive(data, fleet.now)
        outgoing += peer.tick(fleet.now)
        cpu += time.process_time() - cpu_started_at
        peer.events = []
        for address, data in outgoing:
            sent += len(data)
            update, datagram = fleet.open_datagram(address, data)
            delayed += [
                (fleet.now + 5 * MS, fleet.datagram_from(update, Ack(message.n)))
                for message in datagram.messages
                if isinstance(message, Ping)
            ]
    return {
        "memory": memory / 1e6,
        "processor": cpu * 1e3 / (SINGLE_DURATION / SECOND),
        "sent": sent / (SINGLE_DURATION / SECOND),
    }


def measure_observation(size: int, seed: int) -> dict[str, float]:
    """Let every courier know all others; one observes a failed call and reports it."""
    net = SimulatedNetwork(size, seed, Faults(), seeds=5, bytes_per_second=TARGET.bytes_a_second)
    peers = _start_informed(net)
    net.run(SETTLING_TIME)
    for each in peers:
        each.observations.set_routes({"x": 1})
    witness, started_at = peers[0], net.now
    seen_at = net.nodes["n0"].clock(started_at)
    witness.observations.record_call("x", CallOutcome.FAILED, seen_at, seen_at)
    sent_before, known_at = witness.sent, 0
    while net.now < started_at + OBSERVATION_DURATION:
        net.run(net.now + 5 * MS)
        if not known_at and sum("n0" in each.observations._records.get("x", {}) for each in peers) >= int(
            KNOWN_SHARE * (size - 1)
        ):
            known_at = net.now
    informed = sum("n0" in each.observations._records.get("x", {}) for each in peers)
    return {
        "sent": float(witness.sent - sent_before),
        "known": ((known_at or net.now) - started_at) / SECOND,
        "told": float(informed),
    }


def measure_observation_single(size: int, seed: int) -> dict[str, float]:
    """Measure how many members one courier informs of a failed call before the observation expires, and the bytes."""
    fleet = SimulatedFleet(size, seed)
    peer = fleet.peer
    peer.observations.set_routes({"x": 1})
    while fleet.now < SETTLING_TIME:
        fleet.now += TICK_INTERVAL
        peer.tick(fleet.now)
    started_at = last_informed_at = fleet.now
    peer.observations.record_call("x", CallOutcome.FAILED, started_at, started_at)
    informed: set[str] = set()
    sent, cpu = 0, 0.0
    while fleet.now < started_at + 2 * OBSERVATION_DURATION:
        cpu_started_at = time.process_time()
        outgoing = peer.tick(fleet.now)
        cpu += time.process_time() - cpu_started_at
        for address, data in outgoing:
            update, datagram = fleet.open_datagram(address, data)
            if any(isinstance(each, Observation) for each in datagram.messages):
                sent += len(data)
                if update.name not in informed:
                    informed.add(update.name)
                    last_informed_at = fleet.now
        fleet.now += TICK_INTERVAL
    return {
        "told": float(len(informed)),
        "sent": float(sent),
        "last": (last_informed_at - started_at) / SECOND,
        "processor": cpu * 1e3,
    }


def measure_budgets(size: int, seed: int) -> dict[str, float]:
    """Measure one limit of 50 calls a second under 0.8 of that load, half of it at one courier; each knows all."""
    net = SimulatedNetwork(size, seed, Faults(), bytes_per_second=TARGET.bytes_a_second)
    calls, window = budget_for_rate(float(CALL_LIMIT), size)
    net.budget("d", calls, window)
    peers = _start_informed(net)
    total_rate = CALL_LIMIT * LOAD_FACTOR
    traffic = Traffic(
        net,
        "d",
        {f"n{i}": total_rate / 2 if i == 0 else total_rate / 2 / (size - 1) for i in range(size)},
        MESSAGE_TIMEOUT,
    )
    warm_up = max(WARM_UP, 2 * window)
    traffic.count_from = warm_up
    net.at(warm_up, lambda: setattr(traffic, "arrived", 0))
    net.run(warm_up)
    sent_before = sum(peer.sent for peer in peers)
    net.run(warm_up + LOAD_DURATION)
    sent = sum(peer.sent for peer in peers) - sent_before
    traffic.rates.update(dict.fromkeys(traffic.rates, 0.0))
    net.run(warm_up + LOAD_DURATION + MESSAGE_TIMEOUT)
    return {
        "served": traffic.served / max(1, traffic.arrived),
        "span": window / SECOND,
        "sent": sent / (size * LOAD_DURATION / SECOND),
        "above": float(len(net.budget_checker.violations)),
    }


def measure_budgets_held(size: int, seed: int) -> dict[str, float]:
    """Measure memory and a tick with ``size`` limits; each is twice a destination's events per second at the target."""
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    shares = _shares(size, seed)
    memory = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    shares = _shares(size, seed)
    peers = [f"n{n}" for n in range(100)]
    gc.collect()
    now, ticks, cpu_started_at = 100 * SECOND, 10, time.process_time()
    for n in range(ticks):
        shares.tick(now + n * TICK_INTERVAL, peers)
    return {"memory": memory / 1e6, "tick": (time.process_time() - cpu_started_at) * 1e3 / ticks}


def _shares(size: int, seed: int) -> Shares:
    """Return one courier's shares of ``size`` limits."""
    shares = Shares(LoanTerms(TARGET.couriers, seed), 1, 0, {}, Random(seed))
    calls, window = budget_for_rate(2 * TARGET.events_per_destination, TARGET.couriers)
    for n in range(size):
        shares.set_budget(f"e:hub-{n:07}.example:8080", calls, window)
    return shares


def measure_counts(size: int, seed: int) -> dict[str, float]:
    """Let every courier know all others and have 20 counters; one courier requests the counters of all."""
    net = SimulatedNetwork(size, seed, Faults(), seeds=5, bytes_per_second=TARGET.bytes_a_second)
    peers = _start_informed(net)
    for each in peers:
        for n in range(COUNTERS_PER_COURIER):
            each.counters.add(f"calls/{n}/ok", n + 1)
    net.run(SETTLING_TIME)
    started_at, requester = net.now, peers[0]
    received_before = requester.received
    requester.counters.request_all()
    known_at = 0
    while net.now < started_at + COUNTS_DURATION:
        net.run(net.now + 50 * MS)
        if not known_at and _complete_reports(requester.counters) >= int(KNOWN_SHARE * size):
            known_at = net.now
    return {
        "known": ((known_at or net.now) - started_at) / SECOND,
        "whole": float(_complete_reports(requester.counters)),
        "heard": float(requester.received - received_before),
    }


def _complete_reports(counters: FleetCounters) -> int:
    """Return the number of couriers of which all counters are known."""
    return sum(len(rows.current) >= COUNTERS_PER_COURIER for rows in counters.by_courier.values())


def measure_counts_held(size: int, seed: int) -> dict[str, float]:
    """Measure the memory for 20 counters of each of ``size`` couriers, and the time to sum them up for reports."""
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    counts = FleetCounters("n0", 1, 0, {}, Random(seed))
    for n in range(1, size):
        report = CounterReport(
            f"c-{n:05}", 1, False, 0, [(f"calls/{k}/ok", n + k) for k in range(COUNTERS_PER_COURIER)]
        )
        for each in seal.decode(seal.encode(Datagram("x", 1, "y", 1, [report]))).messages:
            assert isinstance(each, CounterReport)
            counts.merge(each, 0)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    cpu_started_at = time.process_time()
    counts.fleet_totals(SECOND)
    return {
        "memory": memory / 1e6,
        "sums": (time.process_time() - cpu_started_at) * 1e3,
        "couriers": float(len(counts.by_courier)),
    }


def measure_counters(size: int, seed: int) -> dict[str, float]:
    """Measure a courier that counts calls by ``size`` destinations: memory, separate counters, bytes to report all."""
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    own = FleetCounters("c-01-0000", 1, 0, {}, Random(seed))
    for n in range(size):
        own.add(f"calls/{n}/ok", n + 1)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    report_bytes = sum(len(seal.encode(each)) for each in own.reports_on("c-01-0000", 0))
    return {"memory": memory / 1e6, "apart": float(len(own.own_totals())), "told": float(report_bytes)}


def measure_probe_rank(size: int, seed: int) -> dict[str, float]:
    """Measure the time to rank one courier among those that probe a failed endpoint: one hash per member."""
    others = [f"c-{n % 20:02}-{n:05}" for n in range(size)]
    repetitions = max(3, 20_000 // size)
    cpu_started_at = time.process_time()
    for n in range(repetitions):
        probe_rank(f"hub-{seed}-{n}.example:8080", "c-01-0000", others)
    return {"processor": (time.process_time() - cpu_started_at) * 1e6 / repetitions}


# A failure is reported for OUTAGE_REPORT_MAX_AGE. In this time a courier may send what its bandwidth limit allows and,
# at first, the unused bandwidth of BURST_WINDOW; URGENT_RESERVE of one second's bandwidth stays reserved for probes. A
# run that sends 95 % of this or more counts as cut off, as the bandwidth limit determined how many bytes were sent.
MAX_OBSERVATION_BYTES = (
    0.95 * TARGET.bytes_a_second * ((OUTAGE_REPORT_MAX_AGE + BURST_WINDOW) / SECOND - URGENT_RESERVE)
)

MODELLED_SIZES = (50, 100, 200, 400, 800)
SINGLE_SIZES = (100, 1_000, 4_000, 10_000)

SLOPES = [
    Slope(
        "members",
        "members",
        MODELLED_SIZES,
        {"sent": "bytes", "processor": "ms", "least-known": "count", "held-back": "count", "all-known": "s"},
        measure_members,
        f"Starts spread over {START_SPREAD // SECOND} s; {CHECK_AT // SECOND} s after the first one, the members known "
        f"to the courier that knows fewest; bytes sent and processor time per second by each in the next "
        f"{IDLE_DURATION // SECOND} s, including the model's processor time; time from the first start until the "
        f"courier that knows fewest knows {KNOWN_SHARE:.0%} ({MAX_CONVERGENCE_TIME // SECOND} s at most); the modelled "
        "network",
        setting=MODELLED,
        cut_off_at={"all-known": ("all-known", MAX_CONVERGENCE_TIME / SECOND)},
    ),
    Slope(
        "members-churn",
        "members",
        MODELLED_SIZES,
        {"sent": "bytes", "processor": "ms", "loss-known": "s", "wrongly-dead": "count"},
        measure_churn,
        "Every courier knows all others; one stops for good, and one is restarted every "
        f"{RESTART_INTERVAL // SECOND} s, for {CHURN_DURATION // SECOND} s: bytes and processor time per "
        "second by each, and the time until 99 % consider the lost one dead; the modelled network",
        setting=MODELLED,
        cut_off_at={"loss-known": ("loss-known", CHURN_DURATION / SECOND)},
    ),
    Slope(
        "members-wave",
        "members",
        MODELLED_SIZES,
        {"known": "s", "joined": "s", "sent": "bytes", "held-back": "count"},
        measure_wave,
        f"Every courier knows all others; {TARGET.wave / TARGET.couriers:.0%} of them stop at once and start a second "
        f"later: time until {KNOWN_SHARE:.0%} of the others' entries for them are up to date, time until they "
        f"know {KNOWN_SHARE:.0%} of all ({MAX_CONVERGENCE_TIME // SECOND} s at most), and in the first "
        f"{WAVE_DURATION // SECOND} s bytes per second by each and datagrams over the bandwidth limit; "
        "the modelled network",
        setting=MODELLED,
        cut_off_at={
            "known": ("known", MAX_CONVERGENCE_TIME / SECOND),
            "joined": ("joined", MAX_CONVERGENCE_TIME / SECOND),
        },
    ),
    Slope(
        "member-alone",
        "members",
        SINGLE_SIZES,
        {"memory": "MB", "processor": "ms", "sent": "bytes"},
        measure_single_courier,
        "One courier's modules that know this many members (the bounds on members and senders raised), among "
        f"simulated others, {SINGLE_DURATION // SECOND} s at the target's rate of restarts: memory, processor time and "
        "bytes per second",
        setting=PURE,
    ),
    Slope(
        "word",
        "members",
        MODELLED_SIZES,
        {"sent": "bytes", "known": "s", "told": "count"},
        measure_observation,
        "Every courier knows all others; one reports a failed call: bytes it sends in "
        f"{OBSERVATION_DURATION // SECOND} s, time until {KNOWN_SHARE:.0%} know, how many know after "
        f"{OBSERVATION_DURATION // SECOND} s; the modelled network",
        setting=MODELLED,
        cut_off_at={"sent": ("sent", MAX_OBSERVATION_BYTES), "known": ("known", OBSERVATION_DURATION / SECOND)},
    ),
    Slope(
        "word-alone",
        "members",
        SINGLE_SIZES,
        {"told": "count", "sent": "bytes", "last": "s", "processor": "ms"},
        measure_observation_single,
        "One courier that knows this many members reports a failed call: how many it informs before the observation "
        "expires, the bytes for it, when the last new one is informed, processor time",
        setting=PURE,
    ),
    Slope(
        "budgets",
        "members",
        (10, 50, 100, 200),
        {"served": "share", "span": "s", "sent": "bytes", "above": "count"},
        measure_budgets,
        f"One limit of {CALL_LIMIT} calls a second shared by this many, half of a load of {LOAD_FACTOR} at one of "
        "them: share of the messages served, the window over which the limit is enforced, bytes per second by each, "
        "calls above the limit; the modelled network",
        setting=MODELLED,
    ),
    Slope(
        "budgets-held",
        "limits",
        (1_000, 5_000, 20_000, 50_000),
        {"memory": "MB", "tick": "ms"},
        measure_budgets_held,
        "One courier's share of this many limits: memory, and processor time of one tick; there are twenty ticks a "
        "second unless the state is large",
        setting=PURE,
    ),
    Slope(
        "counts",
        "members",
        MODELLED_SIZES,
        {"known": "s", "whole": "count", "heard": "bytes"},
        measure_counts,
        f"Every courier knows all others, each with {COUNTERS_PER_COURIER} counters; one requests all: time until it "
        f"has the complete counters of {KNOWN_SHARE:.0%} of them ({COUNTS_DURATION // SECOND} s if that takes longer), "
        f"the number of couriers whose complete counters it has after {COUNTS_DURATION // SECOND} s, bytes that it "
        "receives; the modelled network",
        setting=MODELLED,
        cut_off_at={each: ("known", COUNTS_DURATION / SECOND) for each in ("known", "whole", "heard")},
    ),
    Slope(
        "counts-held",
        "couriers",
        (500, 1_000, 2_000, 4_000),
        {"memory": "MB", "sums": "ms", "couriers": "count"},
        measure_counts_held,
        f"One courier that holds {COUNTERS_PER_COURIER} counters of each of this many: memory, and the time to "
        "sum up all",
        setting=PURE,
    ),
    Slope(
        "counters",
        "destinations",
        (100, 500, 1_000, 5_000),
        {"memory": "MB", "apart": "count", "told": "bytes"},
        measure_counters,
        "One courier that counts calls by destination: memory, counters (beyond the maximum, calls share one), "
        "bytes to report all of them",
        setting=PURE,
    ),
    Slope(
        "order",
        "members",
        SINGLE_SIZES,
        {"processor": "us"},
        measure_probe_rank,
        "One courier's rank among those that probe a failed endpoint",
        setting=PURE,
    ),
]
