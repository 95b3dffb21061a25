"""The scale run on the simulated network, for fleets too large to run in real time on one machine. See scale.py.

Membership, peer messages, budgets, observations and counters are the production modules, with the random workload of
hollow couriers; datagrams and time are simulated. So the bytes sent and the time until membership lists converge are
figures of the protocol. The processor time is that of the modules and the simulation together, in one process without
sockets.
"""

from __future__ import annotations

import resource
import signal
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from random import Random
from types import FrameType
from typing import Any

from kestrelspar.lab.hollow import HollowConfig, Workload, endpoint_budgets
from kestrelspar.lab.plan import COURIERS_PER_HOST, MB, ResourceLimits, RunParameters, RunTooLargeError, plan_simulation
from kestrelspar.lab.scale import (
    CONVERGENCE_TIMEOUT,
    CUT_DURATION,
    FAULT_DELAY,
    FAULT_LOSS,
    LOAN_TERM,
    MAX_WRONG_SHARE,
    MEMBER_SYSTEMS,
    PAUSE_DURATION,
    RECOVERY_TIMEOUT,
    RESTART_DOWNTIME,
    RESTART_PERIOD,
    SEEDS_PER_GROUP,
    SPEND_PERCENT,
    StoppedBySignalError,
)
from kestrelspar.lab.simulated_network import Faults, Node, SimulatedNetwork
from kestrelspar.peers.messages import MemberState
from kestrelspar.peers.peer import Peer
from kestrelspar.runtime.loop import MS, SECOND

SIGNAL_CHECK_INTERVAL = 100 * MS  # of simulated time


class ZonedNet(SimulatedNetwork):
    """Simulated couriers in zones, with a random workload."""

    def __init__(self, parameters: RunParameters) -> None:
        super().__init__(
            parameters.couriers,
            parameters.seed,
            Faults(),
            loan_terms={"term": LOAN_TERM},
            bytes_per_second=20_000,
            period=parameters.period,
        )
        self.parameters = parameters
        self.zones = {name: f"z{node.number % parameters.zones}" for name, node in self.nodes.items()}
        self._seeds_by_group: dict[str, dict[str, tuple[str, int]]] = {}
        for name, node in self.nodes.items():
            seeds = self._seeds_by_group.setdefault(self.scope(name), {})
            if len(seeds) < SEEDS_PER_GROUP:
                seeds[name] = node.address
        limits = dict.fromkeys(MEMBER_SYSTEMS, max(40.0, 2.0 * parameters.couriers))
        config = HollowConfig(
            parameters.couriers,
            parameters.seed,
            parameters.rate,
            parameters.failing,
            limits=limits,
            spend=SPEND_PERCENT,
        )
        self.endpoint_budgets = endpoint_budgets(config)
        for key, (calls, window) in self.endpoint_budgets.items():
            self.budget_checker.limits[key] = calls, window
        self.workloads = {name: Workload(config, node.number) for name, node in self.nodes.items()}
        self.killed: set[str] = set()  # couriers killed for good by the fault
        self.ended_totals = Counter[str]()  # sums of the killed processes, those started again included
        self.sent_datagrams = 0
        self.event_counts: Counter[str] = Counter()
        for name, node in self.nodes.items():
            node.before_tick = self._workload_step(name)

    def scope(self, name: str) -> str:
        """The membership group of a courier."""
        return self.zones[name] if self.parameters.grouped else "all"

    def seeds_of(self, name: str) -> dict[str, tuple[str, int]]:
        """See ``SimulatedNetwork.seeds_of``."""
        return self._seeds_by_group[self.scope(name)]

    def _workload_step(self, name: str) -> Callable[[Node, Peer], None]:
        workload, checker = self.workloads[name], self.budget_checker

        def step(node: Node, peer: Peer) -> None:
            workload.step(
                peer,
                self.endpoint_budgets,
                lambda: node.clock(self.now),
                lambda key, at: checker.call(self.now, name, key),
            )

        return step

    def send(self, sender: str, receiver: Node, data: bytes) -> None:
        """See ``SimulatedNetwork.send``."""
        self.sent_datagrams += 1
        super().send(sender, receiver, data)

    def kill(self, name: str) -> None:
        """See ``SimulatedNetwork.kill``."""
        peer = self.nodes[name].peer
        if peer is not None:
            self.ended_totals.update(sent=peer.sent, heard=peer.received, held_back=peer.over_bandwidth)
        self.workloads[name].in_flight.clear()
        super().kill(name)

    def sums(self) -> Counter[str]:
        """Totals over all couriers, and how far their membership lists differ from the couriers that run.

        Paused couriers, those not yet started and those that restart count as running. The events since the previous
        call are moved to ``event_counts``.
        """
        found = Counter(self.ended_totals)
        running: Counter[str] = Counter(self.scope(name) for name in self.nodes if name not in self.killed)
        killed: dict[str, list[str]] = {}
        for name in self.killed:
            killed.setdefault(self.scope(name), []).append(name)
        for _, _, event, _ in self.events:
            self.event_counts[event] += 1
        self.events.clear()
        for name, node in self.nodes.items():
            if node.peer is None:
                continue
            members, ended = node.peer.members, killed.get(self.scope(name), ())
            ghosts = sum(
                other in members.members and members.members[other].update.state <= MemberState.SUSPECT
                for other in ended
            )
            others = running[self.scope(name)] - 1
            known = len(members.alive()) - ghosts
            found.update(
                couriers=1,
                sent=node.peer.sent,
                heard=node.peer.received,
                held_back=node.peer.over_bandwidth,
                pairs=others,
                missing=max(0, others - known),
                ghosts=ghosts,
                ghost_pairs=len(ended),
                refused=members.rejected_updates,
            )
        return found


class SimulatedRun:
    """One scale run on the simulated network."""

    def __init__(self, parameters: RunParameters, bounds: ResourceLimits, progress: Callable[[str], None]) -> None:
        self.planned_memory = plan_simulation(parameters, bounds)
        self.parameters, self.bounds, self.progress = parameters, bounds, progress
        self.initial_memory = _rss()
        self.net = ZonedNet(parameters)
        self.series: list[dict[str, Any]] = []
        self.peak_memory = self.affected = 0
        self.signals: list[int] = []  # numbers of the signals received

    def advance(self, duration: int = SECOND) -> None:
        """Advance simulated time, check the memory bound, and add a row to the series.

        Raises ``StoppedBySignalError`` after a signal, and ``RunTooLargeError`` above the memory bound.
        """
        for _ in range(max(1, duration // SIGNAL_CHECK_INTERVAL)):
            self.net.run(self.net.now + SIGNAL_CHECK_INTERVAL)
            if self.signals:
                raise StoppedBySignalError(self.signals[0])
        self.peak_memory = max(self.peak_memory, _rss())
        if self.peak_memory > self.bounds.memory:
            raise RunTooLargeError(
                f"{self.peak_memory / MB:,.0f} MB of memory in use (wanted: {self.bounds.memory / MB:,.0f} MB or "
                "less); the simulation was ended"
            )
        sums = self.net.sums()
        self.series.append(
            {
                "s": self.net.now / SECOND,
                "missing": _share(sums, "missing", "pairs"),
                "ghosts": _share(sums, "ghosts", "ghost_pairs"),
                "sent": sums["sent"],
                "passed": self.net.sent_datagrams,
                "hollow_cpu": round(_cpu(), 3),
                "relay_cpu": 0.0,
                "real_cpu": 0.0,
                "memory_mb": round(self.peak_memory / MB, 1),
                "late_ms": 0,
            }
        )
        self.progress(
            f"simulated: {self.net.now // SECOND} s, {self.series[-1]['missing']:.1%} of running members missing, "
            f"{self.series[-1]['ghosts']:.1%} of killed members listed as alive"
        )

    def converged(self) -> bool:
        """Whether at most ``MAX_WRONG_SHARE`` of the entries of membership lists are wrong."""
        return bool(max(self.series[-1]["missing"], self.series[-1]["ghosts"]) <= MAX_WRONG_SHARE)

    def wait(self, timeout: int) -> int | None:
        """Advance until the membership lists have converged.

        Returns the time that it took, in steps of a second, or None if it took longer than ``timeout``.
        """
        begin = self.net.now
        self.advance()
        while not self.converged():
            if self.net.now - begin > timeout:
                return None
            self.advance()
        return self.net.now - begin

    def phase(self, duration: int) -> dict[str, Any]:
        """Advance by a duration, in whole steps of a second, and return the figures of that time."""
        before, sent, cpu, begin = self.net.sums(), self.net.sent_datagrams, _cpu(), self.net.now
        while self.net.now < begin + duration:
            self.advance()
        return self.figures(before, sent, cpu, begin)

    def figures(self, before: Counter[str], sent: int, cpu: float, begin: int) -> dict[str, Any]:
        """Figures since ``begin``, under some of the keys of ``scale.ScaleRun.phase``.

        What the simulation has none of (real couriers, relays, ticks that are late) is 0.
        """
        after, seconds = self.net.sums(), max(1, self.net.now - begin) / SECOND
        couriers = max(1, after["couriers"])
        return {
            "seconds": seconds,
            "cpu_ms_a_hollow": round(1_000 * (_cpu() - cpu) / seconds / couriers, 3),
            "cpu_ms_a_hollow_alone": 0.0,
            "cpu_ms_a_real": 0.0,
            "bytes_a_real": 0,
            "bytes_a_hollow": round((after["sent"] - before["sent"]) / seconds / couriers),
            "heard_a_hollow": round((after["heard"] - before["heard"]) / seconds / couriers),
            "held_back_a_s": round((after["held_back"] - before["held_back"]) / seconds, 2),
            "datagrams_a_s": round((self.net.sent_datagrams - sent) / seconds),
            "busiest_host": 0.0,
            "busiest_relay": 0.0,
            "latest_tick_ms": 0.0,
            "saturated": [],
        }

    def inject(self) -> int:
        """See ``scale.ScaleRun.inject``.

        Where that stops or kills a process, this stops or kills as many couriers of the last zone as a process holds.
        If grouped, it kills half of the zone at the most, so that others are left to detect the failure.
        """
        net, parameters = self.net, self.parameters
        last = f"z{parameters.zones - 1}"
        inside = [name for name, zone in net.zones.items() if zone == last]
        self.affected = {
            "cut": len(inside),
            "one-way": len(inside),
            "stop": len(inside[:COURIERS_PER_HOST]),
            "restarts": parameters.couriers // 2,
        }.get(parameters.fault, parameters.couriers)
        if parameters.fault == "loss":
            net.faults.loss = FAULT_LOSS
        elif parameters.fault == "delay":
            net.faults.delay = FAULT_DELAY
        elif parameters.fault in ("cut", "one-way"):
            isolated, both = set(inside), parameters.fault == "cut"
            net.cut = lambda sender, receiver: (
                (sender in isolated) != (receiver in isolated) and (both or receiver in isolated)
            )
            duration = min(CUT_DURATION, parameters.span)
            net.at(net.now + duration, lambda: setattr(net, "cut", lambda sender, receiver: False))
            return duration
        elif parameters.fault == "stop":
            for name in inside[:COURIERS_PER_HOST]:
                net.pause(name, PAUSE_DURATION)
            return PAUSE_DURATION
        elif parameters.fault == "kill":
            names = inside[: min(COURIERS_PER_HOST, len(inside) // 2 if parameters.grouped else COURIERS_PER_HOST)]
            for name in names:
                net.kill(name)
            net.killed |= set(names)
            self.affected = len(names)
        elif parameters.fault == "restarts":
            names = Random(parameters.seed).sample(list(net.nodes), len(net.nodes) // 2)
            for index, name in enumerate(names):
                at = net.now + RESTART_PERIOD * index // len(names)
                net.at(at, lambda name=name: net.kill(name))  # type: ignore[misc]
                net.at(at + RESTART_DOWNTIME, lambda name=name: net.start(name))  # type: ignore[misc]
            return RESTART_PERIOD + RESTART_DOWNTIME
        return 0

    def run(self) -> dict[str, Any]:
        """Run to the end, and return the report."""
        parameters, net = self.parameters, self.net
        start_period = max(2 * SECOND, parameters.hollow * MS)
        for index, name in enumerate(net.nodes):
            net.at(start_period * index // len(net.nodes), lambda name=name: net.start(name))  # type: ignore[misc]
        while net.now < start_period:
            self.advance()
        convergence_time = self.wait(CONVERGENCE_TIMEOUT)
        self.phase(min(5 * SECOND, parameters.span))  # until the gossip of the start has died down
        figures = {
            "rest": self.phase(max(3 * SECOND, parameters.span // 3 if parameters.fault != "none" else parameters.span))
        }
        recovery_time: int | None = None
        if parameters.fault != "none":
            before, sent, cpu, begin = net.sums(), net.sent_datagrams, _cpu(), net.now
            fault_duration = self.inject()
            while net.now < begin + (parameters.span if parameters.fault in ("loss", "delay") else fault_duration):
                self.advance()
            recovery_time = self.wait(RECOVERY_TIMEOUT)
            figures["fault"] = self.figures(before, sent, cpu, begin)
        found = [
            f"{key}: {count} calls in one window at {at // MS} ms, {net.budget_checker.limits[key][0]} allowed"
            for at, key, count in net.budget_checker.violations[:3]
        ]
        sums = net.sums()
        if convergence_time is None:
            found.append(
                f"no convergence within {CONVERGENCE_TIMEOUT // SECOND} s: "
                f"{_share(sums, 'missing', 'pairs'):.1%} of members missing"
            )
        if parameters.fault != "none" and recovery_time is None:
            found.append(f"{parameters.fault}: no convergence within {RECOVERY_TIMEOUT // SECOND} s")
        if sums["refused"]:
            found.append(f"{sums['refused']} members were rejected: membership list full")
        group_size = parameters.couriers / (parameters.zones if parameters.grouped else 1)
        return {
            "from": "modelled network",
            "real": 0,
            "hollow": parameters.hollow,
            "couriers": parameters.couriers,
            "zones": parameters.zones,
            "grouped": parameters.grouped,
            "seed": parameters.seed,
            "fault_name": parameters.fault,
            "hit": self.affected,
            "rate": parameters.rate,
            "failing": parameters.failing,
            "period_ms": parameters.period // MS,
            "processes": 1,
            "memory_mb": round(self.peak_memory / MB, 1),
            "planned_mb": round(self.planned_memory / MB, 1),
            "known_s": None if convergence_time is None else (convergence_time + start_period) / SECOND,
            "settled_s": None if recovery_time is None else recovery_time / SECOND,
            **figures,
            "messages": 0,
            "served": 0.0,
            "busiest_span": {
                key: [net.budget_checker.max_calls[key], calls] for key, (calls, _) in net.budget_checker.limits.items()
            },
            "memory_a_member_hollow": round(
                (self.peak_memory - self.initial_memory) / parameters.couriers / group_size
            ),
            "saturated": [],
            "findings": found,
            "events": dict(net.event_counts),
            "sums": dict(sums),
            "series": self.series,
        }


def _rss() -> int:
    with suppress(OSError), open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()
    return 0


def _cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def _share(sums: Counter[str], part: str, total: str) -> float:
    return round(sums[part] / max(1, sums[total]), 4)


def run(
    parameters: RunParameters, bounds: ResourceLimits, progress: Callable[[str], None] = lambda text: None
) -> dict[str, Any]:
    """Run once and return the report, a dict that JSON can hold.

    Raises ``RunTooLargeError`` and ``StoppedBySignalError``.
    """
    simulation = SimulatedRun(parameters, bounds, progress)

    def record_signal(number: int, _: FrameType | None) -> None:
        simulation.signals.append(number)

    previous = {number: signal.signal(number, record_signal) for number in (signal.SIGINT, signal.SIGTERM)}
    try:
        return simulation.run()
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)
