"""Scale run: real and hollow couriers in zones behind relays, under a fault.

It measures what a courier costs at a fleet size, and checks that the guarantees hold. One process controls the run. It
holds the test rig (real couriers, member systems, clients), and starts child processes for relays and hollow couriers,
which report each second. The run ends by itself; a signal, or memory above the bound, ends it earlier. No process is
left behind. All figures come from the reports of the child processes, from /proc, from the status sockets of the real
couriers, and from what the rig's clients and member systems sent and received.
"""

from __future__ import annotations

import os
import resource
import signal
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from types import FrameType
from typing import Any

import msgspec

from kestrelspar.lab import checkers
from kestrelspar.lab.child import HelperProcess
from kestrelspar.lab.hollow import HollowConfig, endpoint_budgets
from kestrelspar.lab.plan import MB, Plan, ResourceLimits, RunParameters, RunTooLargeError, plan_run
from kestrelspar.lab.relays import PathFaults, encode_faults
from kestrelspar.lab.rig import KEY, ExternalFleet, Rig
from kestrelspar.peers.link import MIN_TICK_INTERVAL
from kestrelspar.peers.status_socket import query_status
from kestrelspar.runtime.loop import MS, SECOND, Loop
from kestrelspar.settings import kinds

LOAN_TERM, SPEND_PERCENT = 3 * SECOND, 90
SEEDS_PER_GROUP = 3  # couriers of each group that are the seeds of all its couriers
OPEN_TIMEOUT, CONVERGENCE_TIMEOUT, RECOVERY_TIMEOUT = 60 * SECOND, 180 * SECOND, 120 * SECOND
MAX_WRONG_SHARE = 0.01  # membership has converged if at most this share of the entries of membership lists is wrong
CUT_DURATION, PAUSE_DURATION = 10 * SECOND, LOAN_TERM + 2 * SECOND
FAULT_LOSS, FAULT_DELAY = 0.1, (50 * MS, 250 * MS)
RESTART_PERIOD, RESTART_DOWNTIME = 5 * SECOND, 500 * MS  # time over which restarts are spread; downtime of each courier
MEMBER_SYSTEMS = ("m1", "m2")
REAL_RATE = 2.0  # messages per second at a real courier
MAX_PROCESS_LOAD = 0.9  # share of a core; a process that uses more is saturated
MAX_CORE_LOAD = 0.95  # share of the cores that this process may use; if more is in use, they are saturated
MAX_STALLED_SHARE = 0.01  # share of the ticks that may come more than a probe period late
CONTROL_COURIERS = 2  # real couriers with peers disabled, to find what the peer protocol costs a real courier


class StoppedBySignalError(Exception):
    """SIGINT or SIGTERM ended the run; the argument is the number of the signal."""


@dataclass(slots=True)
class Snapshot:
    """Totals at one time; the figures of a phase are the differences between two snapshots."""

    at: int = 0
    hosts: dict[str, tuple[int, float]] = field(default_factory=dict)  # by process: time of its report, CPU seconds
    relays: dict[str, tuple[int, float]] = field(default_factory=dict)  # as for hosts
    real_cpu: dict[str, float] = field(default_factory=dict)  # seconds by courier
    controller_cpu: float = 0.0  # seconds of this process
    sums: Counter[str] = field(default_factory=Counter)
    bytes_sent: dict[str, int] = field(default_factory=dict)  # by real courier
    cores: tuple[int, int, int] = (0, 0, 0)  # jiffies, see ``core_times``


def cpu_seconds(pid: int) -> float:
    """Processor time of a process, in seconds; 0 after its end."""
    with suppress(OSError, ValueError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return 0.0


def resident_bytes(pid: int) -> int:
    """Resident memory of a process; 0 after its end."""
    with suppress(OSError, ValueError, IndexError):
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()
    return 0


def core_times() -> tuple[int, int, int]:
    """Jiffies of the cores that this process may use: the total, those idle, those stolen by the hypervisor.

    They are the machine's figures, not those of this process.
    """
    sums = [0, 0, 0]
    with suppress(OSError, ValueError, IndexError):
        allowed = {f"cpu{n}" for n in os.sched_getaffinity(0)}
        for line in Path("/proc/stat").read_text().splitlines():
            name, *columns = line.split()
            if name in allowed:
                times = [int(column) for column in columns[:8]]
                sums = [sums[0] + sum(times), sums[1] + times[3] + times[4], sums[2] + times[7]]
    return sums[0], sums[1], sums[2]


@contextmanager
def stopping_on_signals(loop: Loop) -> Iterator[None]:
    """Raise ``StoppedBySignalError`` on SIGINT and SIGTERM.

    It is raised at the end of the loop's turn, so that no step is left half done.
    """
    received: list[int] = []

    def record_signal(number: int, _: FrameType | None) -> None:
        received.append(number)

    def check_signals() -> None:
        if received:
            raise StoppedBySignalError(received[0])

    previous = {number: signal.signal(number, record_signal) for number in (signal.SIGINT, signal.SIGTERM)}
    loop.turn_end_calls.append(check_signals)
    try:
        yield
    finally:
        loop.turn_end_calls.remove(check_signals)
        for number, handler in previous.items():
            signal.signal(number, handler)


class ScaleRun:
    """One scale run in real time."""

    def __init__(
        self,
        parameters: RunParameters,
        directory: Path,
        bounds: ResourceLimits,
        progress: Callable[[str], None],
        compare: bool = False,
    ) -> None:
        """``progress`` is called with texts that describe the current step.

        ``compare``: real couriers get no messages, and there are ``CONTROL_COURIERS`` more of them, to compare hollow
        with real ones. Whether hollow ones have messages is up to ``parameters.rate``.
        """
        self.parameters, self.directory, self.bounds, self.progress, self.compare = (
            parameters,
            directory,
            bounds,
            progress,
            compare,
        )
        self.plan: Plan = plan_run(parameters, bounds)
        self.limits = {name: max(40, 2 * parameters.couriers) for name in MEMBER_SYSTEMS}
        self.config = HollowConfig(
            parameters.couriers,
            parameters.seed,
            parameters.rate,
            parameters.failing,
            limits={system: float(limit) for system, limit in self.limits.items()},
            spend=SPEND_PERCENT,
            term=LOAN_TERM,
            period=parameters.period,
            key=KEY,
            span=900 * SECOND + 3 * parameters.span,
        )
        self.rig_options = ExternalFleet(
            parameters.couriers, period=kinds.format_quantity(parameters.period), term=kinds.format_quantity(LOAN_TERM)
        )
        self.rig = Rig(
            directory,
            parameters.real + (CONTROL_COURIERS if compare else 0),
            parameters.seed,
            self.limits,
            spend=SPEND_PERCENT,
            external_fleet=self.rig_options,
        )
        self.loop = self.rig.loop
        self.hosts: dict[str, HelperProcess] = {}
        self.relays: dict[str, HelperProcess] = {}
        self.reports: dict[str, dict[str, Any]] = {}  # by child: its last report
        self.opened: dict[str, dict[str, Any]] = {}  # by child: addresses of its zones or couriers
        self.addresses: dict[str, Any] = {}  # of couriers
        # By budget: times of the hollow couriers' calls.
        self.calls: dict[str, list[int]] = {key: [] for key in endpoint_budgets(self.config)}
        self.killed_hosts: set[str] = set()  # by the fault
        self.killed_couriers: set[str] = set()  # those of the killed hosts
        self.max_lateness: dict[str, int] = {}  # by child, since the last snapshot
        self.ticks: Counter[str] = Counter()  # ticks of hollow couriers and their lateness, since the last snapshot
        self.affected = 0  # number of couriers that the fault hits directly
        self.series: list[dict[str, Any]] = []  # one row per second, see ``series_row``
        self.peak_memory = self.max_processes = 0
        self._exceeded = ""  # text about the bound that was exceeded, if any
        self._begin = self.loop.now
        self.real = [f"n{n}" for n in range(parameters.real)]

    # Processes

    def __enter__(self) -> ScaleRun:
        return self

    def __exit__(self, *_: object) -> None:
        try:
            for child in self.children().values():
                child.kill()
        finally:
            self.rig.__exit__()

    def children(self) -> dict[str, HelperProcess]:
        """The processes of relays and hollow couriers."""
        return self.relays | self.hosts

    def pids(self) -> list[int]:
        """All running processes of the run, this one first."""
        found = [os.getpid()] + [node.process.pid for node in self.rig.nodes.values() if node.process is not None]
        return found + [child.process.pid for child in self.children().values() if child.process.poll() is None]

    def scope(self, name: str) -> str:
        """The membership group of a courier."""
        return self.plan.zones[name] if self.parameters.grouped else "all"

    def _receive(self, name: str, report: dict[str, Any]) -> None:
        if "open" in report:
            self.opened[name] = report["open"]
            return
        self.reports[name] = report
        lateness = max(report.get("latest", 0), report["longest"] if name in self.relays else 0)
        self.max_lateness[name] = max(self.max_lateness.get(name, 0), lateness)
        self.ticks.update({key: report.get(key, 0) for key in ("ticks", "late", "stalls")})
        for key, times in report.get("calls", {}).items():
            self.calls[key] += times

    def _start_child(self, name: str, module: str) -> HelperProcess:
        return HelperProcess(self.loop, f"kestrelspar.lab.{module}", lambda report: self._receive(name, report), name)

    def open(self) -> None:
        """Start and configure relays, hosts and real couriers. Hollow couriers get sockets, but do not run yet."""
        self.loop.turn_end_calls.append(self._check_bounds)
        self.loop.spawn(self._watch)
        parameters = self.parameters
        for index, zones in enumerate(self.plan.relays):
            name = f"relays {index}"
            self.relays[name] = self._start_child(name, "relays")
            self.relays[name].send_command({"open": zones, "seed": parameters.seed + index, "groups": self.plan.zones})
        self.rig.run_until(lambda: len(self.opened) == len(self.relays), OPEN_TIMEOUT)
        zone_addresses = {zone: tuple(listener) for opened in self.opened.values() for zone, listener in opened.items()}
        seeds: dict[str, dict[str, Any]] = {}
        for name, zone in self.plan.zones.items():
            group_seeds = seeds.setdefault(self.scope(name), {})
            if len(group_seeds) < SEEDS_PER_GROUP:
                group_seeds[name] = zone_addresses[zone]
        for index, (zone, names) in enumerate(self.plan.hosts):
            host = f"hollow {index} of {zone}"
            self.hosts[host] = self._start_child(host, "hollow")
            self.hosts[host].send_command(
                {
                    "open": {
                        "told": msgspec.to_builtins(self.config),
                        "couriers": [
                            {
                                "name": name,
                                "number": self.plan.numbers[name],
                                "zone": self.scope(name),
                                "advertise": zone_addresses[zone],
                                "seeds": {
                                    seed: address for seed, address in seeds[self.scope(name)].items() if seed != name
                                },
                            }
                            for name in names
                        ],
                    }
                }
            )
        self.rig.run_until(lambda: len(self.opened) == len(self.relays) + len(self.hosts), OPEN_TIMEOUT)
        for name in self.real:
            self.rig_options.advertise[name] = zone_addresses[self.plan.zones[name]]
            self.rig_options.seeds[name] = {
                seed: address for seed, address in seeds[self.scope(name)].items() if seed != name
            }
        self.addresses = {name: self.rig.nodes[name].peers for name in self.real}
        for host in self.hosts:
            self.addresses |= self.opened[host]
        for relay in self.relays.values():
            relay.send_command({"places": self.addresses})
        self.send_actual_membership()
        for name in self.rig.nodes:
            self.rig.start(name, peers=name in self.real)
        if self.rig.nodes:
            self.rig.ready()

    def send_actual_membership(self) -> None:
        """Tell the hosts which couriers run and which were killed, to compare membership lists with that."""
        running: Counter[str] = Counter(
            self.scope(name) for name in self.plan.zones if name not in self.killed_couriers
        )
        killed: dict[str, list[str]] = {}
        for name in sorted(self.killed_couriers):
            killed.setdefault(self.scope(name), []).append(name)
        for host in self.hosts.values():
            host.send_command({"truth": {"there": running, "gone": killed}})

    def start_hollow(self) -> None:
        """Start the hollow couriers, spread over time."""
        start_period = max(2 * SECOND, self.parameters.hollow * 5 * MS)
        for (_, names), host in zip(self.plan.hosts, self.hosts.values(), strict=True):
            host.send_command({"start": names, "within": start_period})

    # Bounds

    def _watch(self) -> None:
        while True:
            used, processes = sum(map(resident_bytes, self.pids())), len(self.pids())
            self.peak_memory, self.max_processes = max(self.peak_memory, used), max(self.max_processes, processes)
            if used > self.bounds.memory:
                self._exceeded = (
                    f"{used / MB:,.0f} MB of memory in use (wanted: {self.bounds.memory / MB:,.0f} MB or less); "
                    "all processes of the run were ended"
                )
            if processes > self.bounds.processes:
                self._exceeded = f"{processes} processes running (wanted: {self.bounds.processes} or fewer)"
            self.series.append(self.series_row())
            self.loop.sleep(SECOND)

    def _check_bounds(self) -> None:
        if self._exceeded:
            raise RunTooLargeError(self._exceeded)

    # Figures

    def sums(self) -> Counter[str]:
        """Totals over the last reports of all hosts, killed ones too, and of all relays."""
        found: Counter[str] = Counter()
        for host in self.hosts:
            found.update(self.reports.get(host, {}).get("sums", {}))
        for relay in self.relays:
            report = self.reports.get(relay, {})
            found.update(
                passed=report.get("passed", 0), relayed=report.get("bytes", 0), dropped=report.get("dropped", 0)
            )
            found.update({f"lost {reason}": count for reason, count in report.get("lost", {}).items()})
        found.update(dropped=sum(self.reports.get(host, {}).get("dropped", 0) for host in self.hosts))
        return found

    def membership_errors(self) -> tuple[float, float]:
        """Share of running members missing from the lists, and share of killed members listed as alive or suspect.

        By the last reports of the hosts that have not been killed; the lists of real couriers are not in it.
        """
        hosts = [
            self.reports[host]["sums"] for host in self.hosts if host in self.reports and host not in self.killed_hosts
        ]

        def share(part: str, total: str) -> float:
            return float(sum(sums.get(part, 0) for sums in hosts) / max(1, sum(sums.get(total, 0) for sums in hosts)))

        return share("missing", "pairs"), share("ghosts", "ghost_pairs")

    def series_row(self) -> dict[str, Any]:
        """One row of the series.

        Bytes, datagrams and CPU times are totals, from which the report page derives rates; the memory is the peak so
        far; the lateness of ticks is that in the last reports.
        """
        missing, ghosts = self.membership_errors()
        sums = self.sums()
        return {
            "s": round((self.loop.now - self._begin) / SECOND, 2),
            "missing": round(missing, 4),
            "ghosts": round(ghosts, 4),
            "sent": sums["sent"],
            "passed": sums["passed"],
            "hollow_cpu": round(sum(self.reports.get(host, {}).get("cpu", 0.0) for host in self.hosts), 3),
            "relay_cpu": round(sum(self.reports.get(relay, {}).get("cpu", 0.0) for relay in self.relays), 3),
            "real_cpu": round(sum(self.real_cpu().values()), 3),
            "memory_mb": round(self.peak_memory / MB, 1),
            "late_ms": max((self.reports.get(host, {}).get("latest", 0) for host in self.hosts), default=0) // MS,
        }

    def real_cpu(self) -> dict[str, float]:
        """Processor seconds by real courier, including the control couriers."""
        return {
            name: cpu_seconds(node.process.pid) for name, node in self.rig.nodes.items() if node.process is not None
        }

    def real_memory(self) -> dict[str, int]:
        """Resident bytes by real courier, including the control couriers."""
        return {
            name: resident_bytes(node.process.pid) for name, node in self.rig.nodes.items() if node.process is not None
        }

    def statuses(self) -> dict[str, dict[str, Any]]:
        """Status by real courier, without those that do not answer on their status socket."""
        found = {}
        for name in self.real:
            with suppress(OSError, ValueError):
                found[name] = query_status(str(self.rig.nodes[name].directory / "state"), 2.0)
        return found

    def snapshot(self) -> Snapshot:
        """Take the totals, and reset the counts of ticks and lateness and the loop's longest turn."""
        self.max_lateness.clear()
        self.ticks.clear()
        self.loop.longest_turn = 0
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_by_child = {name: (report["at"], report["cpu"]) for name, report in self.reports.items()}
        return Snapshot(
            self.loop.now,
            {name: cpu_by_child[name] for name in self.hosts if name in cpu_by_child},
            {name: cpu_by_child[name] for name in self.relays if name in cpu_by_child},
            self.real_cpu(),
            usage.ru_utime + usage.ru_stime,
            self.sums(),
            {name: status["bytes_sent"] for name, status in self.statuses().items()},
            core_times(),
        )

    def phase(self, begin: Snapshot) -> dict[str, Any]:
        """The figures since ``begin``, which must be the latest snapshot; takes another one, with the same resets.

        Costs are per second and courier, loads of processes are shares of a core.
        """
        lateness, longest, ticks = dict(self.max_lateness), self.loop.longest_turn, Counter(self.ticks)
        end = self.snapshot()
        seconds = max(1, end.at - begin.at) / SECOND

        def core_shares(before: dict[str, tuple[int, float]], after: dict[str, tuple[int, float]]) -> dict[str, float]:
            return {
                name: (after[name][1] - before[name][1]) * SECOND / (after[name][0] - before[name][0])
                for name in after
                if name in before and after[name][0] > before[name][0]
            }

        hosts, relays = core_shares(begin.hosts, end.hosts), core_shares(begin.relays, end.relays)
        sums = Counter({key: end.sums[key] - begin.sums[key] for key in end.sums})
        real = [
            1_000 * (end.real_cpu[name] - begin.real_cpu[name]) / seconds
            for name in self.real
            if name in end.real_cpu and name in begin.real_cpu
        ]
        peers_off = [
            1_000 * (end.real_cpu[name] - begin.real_cpu[name]) / seconds
            for name in end.real_cpu
            if name not in self.real and name in begin.real_cpu
        ]
        bytes_sent = [
            (end.bytes_sent[name] - begin.bytes_sent[name]) / seconds
            for name in end.bytes_sent
            if name in begin.bytes_sent
        ]
        hollow = max(1, self.parameters.hollow - len(self.killed_couriers))
        couriers = {name: len(names) for (_, names), name in zip(self.plan.hosts, self.hosts, strict=True)}
        # A host without couriers shows the cost of reporting. A host with one courier, after subtraction of that cost,
        # shows what a courier costs that has a process of its own.
        reporting = sum(share for name, share in hosts.items() if not couriers[name])
        alone = [share - reporting for name, share in hosts.items() if couriers[name] == 1 and self.plan.single_hosts]
        shared = {name: share for name, share in hosts.items() if couriers[name] > (1 if self.plan.single_hosts else 0)}
        found: dict[str, Any] = {
            "seconds": round(seconds, 1),
            "cpu_ms_a_hollow": round(1_000 * sum(shared.values()) / max(1, sum(couriers[n] for n in shared)), 3),
            "cpu_ms_a_hollow_alone": round(1_000 * _mean(alone), 3),
            "bytes_a_hollow": round(sums["sent"] / seconds / hollow),
            "heard_a_hollow": round(sums["heard"] / seconds / hollow),
            "held_back_a_s": round(sums["held_back"] / seconds, 2),
            "datagrams_a_s": round(sums["passed"] / seconds),
            "busiest_host": round(max(hosts.values(), default=0.0), 3),
            "busiest_relay": round(max(relays.values(), default=0.0), 3),
            "play": round((end.controller_cpu - begin.controller_cpu) / seconds, 3),
            "latest_tick_ms": max((late for name, late in lateness.items() if name in self.hosts), default=0) / MS,
            "mean_tick_late_ms": round(ticks["late"] / max(1, ticks["ticks"]) / MS, 2),
            "stalled_ticks": round(ticks["stalls"] / max(1, ticks["ticks"]), 5),
            "longest_relay_ms": max((late for name, late in lateness.items() if name in self.relays), default=0) / MS,
            "longest_play_ms": longest / MS,
            "dropped": sums["dropped"],
            "cpu_ms_a_real": round(_mean(real), 3),
            "cpu_ms_a_real_off": round(_mean(peers_off), 3),
            "bytes_a_real": round(_mean(bytes_sent)),
            **_core_usage(begin.cores, end.cores),
        }
        found["saturated"] = saturated(found)
        return found

    # The fault

    def inject(self) -> int:
        """Begin the run's fault; return after how long it ends by itself, 0 for a fault that lasts until the end."""
        parameters = self.parameters
        self.affected, random = 0, Random(parameters.seed)
        last = f"z{parameters.zones - 1}"
        zones = [f"z{n}" for n in range(parameters.zones)]
        others = [zone for zone in zones if zone != last]
        if parameters.fault in ("loss", "delay"):
            self.affected = parameters.couriers
            path = PathFaults(loss=FAULT_LOSS) if parameters.fault == "loss" else PathFaults(delay=FAULT_DELAY)
            self._set_path_faults([encode_faults(sender, receiver, path) for sender in zones for receiver in zones])
        elif parameters.fault in ("cut", "one-way"):
            inbound = [encode_faults(zone, last, PathFaults(cut=True)) for zone in others]
            outbound = [encode_faults(last, zone, PathFaults(cut=True)) for zone in others]
            self._set_path_faults(inbound if parameters.fault == "one-way" else inbound + outbound)
            duration = min(CUT_DURATION, parameters.span)
            self.loop.call_at(self.loop.now + duration, lambda: self._set_path_faults([]))
            self.affected = len(self.plan.zone(last))
            return duration
        elif parameters.fault in ("stop", "kill"):
            # Takes the largest host of the last zone, as some hosts have a single courier or none.
            host, names = max(
                (
                    (name, names)
                    for (zone, names), name in zip(self.plan.hosts, self.hosts, strict=True)
                    if zone == last
                ),
                key=lambda candidate: len(candidate[1]),
            )
            self.affected = len(names)
            child = self.hosts[host]
            if parameters.fault == "stop":
                child.process.send_signal(signal.SIGSTOP)
                self.loop.call_at(self.loop.now + PAUSE_DURATION, lambda: child.process.send_signal(signal.SIGCONT))
                return PAUSE_DURATION
            self.killed_hosts.add(host)
            self.killed_couriers |= set(names)
            child.kill()
            self.send_actual_membership()
        elif parameters.fault == "restarts":
            for (_, names), host_child in zip(self.plan.hosts, self.hosts.values(), strict=True):
                chosen = random.sample(names, len(names) // 2)
                host_child.send_command({"restart": chosen, "gap": RESTART_DOWNTIME, "within": RESTART_PERIOD})
                self.affected += len(chosen)
            return RESTART_PERIOD + RESTART_DOWNTIME
        return 0

    def _set_path_faults(self, faults: list[Any]) -> None:
        for relay in self.relays.values():
            relay.send_command({"faults": faults})

    def converged(self, since: int) -> bool:
        """Whether at most ``MAX_WRONG_SHARE`` of the entries of membership lists are wrong.

        False until all hosts have sent a report more than a second after ``since``.
        """
        hosts = [host for host in self.hosts if host not in self.killed_hosts]
        reported = all(host in self.reports and self.reports[host]["at"] > since + SECOND for host in hosts)
        return reported and max(self.membership_errors()) <= MAX_WRONG_SHARE

    def wait(self, done: Callable[[], bool], timeout: int, text: str) -> int | None:
        """Run the loop until ``done()`` is true; return the time that it took, or None after ``timeout``.

        Raises ``RuntimeError`` if a child process ends that was not killed by the fault.
        """
        begin, progress_at = self.loop.now, 0
        while not done():
            if self.loop.now - begin > timeout:
                return None
            if self.loop.now - progress_at > SECOND:
                progress_at = self.loop.now
                missing, ghosts = self.membership_errors()
                self.progress(
                    f"{text}: {(progress_at - begin) // SECOND} s, {missing:.1%} of running members missing"
                    + (f", {ghosts:.1%} of killed members listed as alive" if self.killed_couriers else "")
                )
            ended = [name for name, child in self.children().items() if child.ended and name not in self.killed_hosts]
            if ended:
                raise RuntimeError(f"{', '.join(ended)} ended unexpectedly")
            self.loop.turn()
        return self.loop.now - begin

    # The run

    def run(self) -> dict[str, Any]:
        """Run to the end, and return the report."""
        parameters = self.parameters
        self.progress(f"starting {self.plan.processes} processes")
        self.open()
        real_before = self.real_memory()
        hosts_before = {host: self.reports.get(host, {}).get("rss", 0) for host in self.hosts}
        if not self.compare:
            self.rig.traffic(
                {name: dict.fromkeys(MEMBER_SYSTEMS, REAL_RATE / len(MEMBER_SYSTEMS)) for name in self.real},
                3_600 * SECOND,
            )
        begin = self.loop.now
        self.start_hollow()
        convergence_time = self.wait(lambda: self.converged(begin), CONVERGENCE_TIMEOUT, "converging")
        self._run_for(min(5 * SECOND, parameters.span))  # until the gossip of the start has died down
        rest_start = self.snapshot()
        self._run_for(max(3 * SECOND, parameters.span // 3 if parameters.fault != "none" else parameters.span))
        figures: dict[str, Any] = {"rest": self.phase(rest_start)}
        statuses = self.statuses()
        least_known = min(
            [
                len([member for member in status["members"] if member["stand"] in ("alive", "suspect")])
                for status in statuses.values()
            ]
            + [
                self.reports[host]["least"]
                for host in self.hosts
                if host in self.reports and self.reports[host]["sums"].get("couriers")
            ],
            default=0,
        )
        memory_growth = self._memory_growth(real_before, hosts_before)
        recovery_time: int | None = None
        if parameters.fault != "none":
            fault_start = self.snapshot()
            injected = round((self.loop.now - self._begin) / SECOND, 1)
            fault_duration = self.inject()
            self._run_for(fault_duration)
            fault_end = self.loop.now
            self._run_for(
                max(0, parameters.span - fault_duration) if parameters.fault in ("none", "loss", "delay") else 0
            )
            recovery_time = self.wait(lambda: self.converged(fault_end), RECOVERY_TIMEOUT, f"after {parameters.fault}")
            figures |= {"fault": self.phase(fault_start), "injected_s": injected}
        self.progress("waiting for the last messages to end")
        if self.real and not self.compare:
            self.rig.drain()
        findings = self.findings(convergence_time, recovery_time)
        return {
            "from": "real time",
            "real": parameters.real,
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
            "processes": self.max_processes,
            "memory_mb": round(self.peak_memory / MB, 1),
            "planned_mb": round(self.plan.memory / MB, 1),
            "known_s": _seconds(convergence_time),
            "least_known": least_known,
            "settled_s": _seconds(recovery_time),
            **figures,
            "messages": len(self.rig.submissions),
            "served": round(checkers.served_share(self.rig.submissions, self._member_calls()), 4),
            "busiest_span": self.busiest(),
            **memory_growth,
            "saturated": [
                f"{key}: {text}"
                for key in figures
                if isinstance(figures[key], dict)
                for text in figures[key]["saturated"]
            ],
            "findings": findings,
            "events": dict(self._events()),
            "sums": dict(self.sums()),
            "series": self.series,
        }

    def _run_for(self, duration: int) -> None:
        end = self.loop.now + duration
        self.loop.call_at(end, lambda: None)
        self.wait(lambda: self.loop.now >= end, 1 << 60, "measuring")

    def _memory_growth(self, real_before: dict[str, int], hosts_before: dict[str, int]) -> dict[str, Any]:
        """Memory of real and hollow couriers.

        ``memory_a_member_*``: bytes by which it grew for each member since before the hollow couriers started.
        ``memory_a_real_mb``: resident memory of a real courier. ``memory_a_hollow_mb``: growth for a hollow one.
        """
        now = self.real_memory()
        learned = (
            self.parameters.hollow if not self.parameters.grouped else self.parameters.hollow / self.parameters.zones
        )
        group_size = self.parameters.couriers / (self.parameters.zones if self.parameters.grouped else 1)
        real = [
            (now[name] - real_before[name]) / max(1, learned)
            for name in self.real
            if name in now and name in real_before
        ]
        hollow = [
            (self.reports[host]["rss"] - hosts_before[host]) / max(1, len(names)) / group_size
            for (_, names), host in zip(self.plan.hosts, self.hosts, strict=True)
            if hosts_before[host] and host in self.reports and len(names) > 1
        ]
        return {
            "memory_a_member_real": round(_mean(real)),
            "memory_a_member_hollow": round(_mean(hollow)),
            "memory_a_real_mb": round(_mean([now[courier] for courier in self.real if courier in now]) / MB, 2),
            "memory_a_hollow_mb": round(_mean(hollow) * group_size / MB, 3),
        }

    def _events(self) -> Counter[str]:
        found: Counter[str] = Counter()
        for host in self.hosts:
            found.update(self.reports.get(host, {}).get("events", {}))
        return found

    # Checks

    def _member_calls(self) -> list[Any]:
        return [call for member in self.rig.members.values() for call in member.calls]

    def busiest(self) -> dict[str, list[int]]:
        """By budget: the most calls of hollow couriers in any window, and the calls that the budget allows."""
        return {
            key: [max_calls_in_window(self.calls[key], window), calls]
            for key, (calls, window) in endpoint_budgets(self.config).items()
        }

    def findings(self, convergence_time: int | None, recovery_time: int | None) -> list[str]:
        """Texts about violated guarantees, and about phases after which membership did not converge.

        The lists of real couriers are checked only after a fault from which the hollow ones have recovered.
        """
        parameters, found = self.parameters, checkers.delivery_violations(self.rig.submissions, self._member_calls())
        if convergence_time is None:
            found.append(
                f"no convergence within {CONVERGENCE_TIMEOUT // SECOND} s: "
                f"{max(self.membership_errors()):.1%} of pairs are wrong"
            )
        if parameters.fault != "none" and recovery_time is None:
            missing, ghosts = self.membership_errors()
            found.append(
                f"{parameters.fault}: no convergence within {RECOVERY_TIMEOUT // SECOND} s: {missing:.1%} of "
                f"running members missing, {ghosts:.1%} of killed members listed as alive"
            )
        found += [
            f"{key}: {count} calls of hollow couriers in one window, {calls} allowed"
            for key, (count, calls) in self.busiest().items()
            if count > calls
        ]
        for name, member in self.rig.members.items():
            count = checkers.max_calls_per_second(member.calls, max(MS, SECOND - self.loop.longest_turn))
            if count > member.limit:
                found.append(f"{name}: {count} calls in a second, its limit is {member.limit}")
        for name in self.real:
            found += [f"{name}: {line[:300]}" for line in self.rig.read_log(name).splitlines() if "event=fault" in line]
        statuses = self.statuses()
        found += [f"{name}: no answer from its status socket" for name in self.real if name not in statuses]
        for name, status in statuses.items():
            listed = {entry["name"] for entry in status["members"] if entry["stand"] in ("alive", "suspect")}
            running = (
                {other for other in self.plan.zones if self.scope(other) == self.scope(name)}
                - self.killed_couriers
                - {name}
            )
            if len(running - listed) > MAX_WRONG_SHARE * len(running) and recovery_time is not None:
                found.append(f"{name}: {len(running - listed)} of {len(running)} running members are missing")
        rejected = self.sums()["refused"]
        if rejected:
            found.append(f"{rejected} members were rejected: membership list full")
        return found


def max_calls_in_window(times: list[int], window: int) -> int:
    """The most calls in any half-open window: two calls that are a whole window apart are not in the same one.

    Returns 0 without calls. ``times`` may be in any order.
    """
    times, maximum, first = sorted(times), 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum


def saturated(figures: dict[str, Any]) -> list[str]:
    """Texts about the saturated resources in a phase's figures; a single stall of the machine counts as none."""
    found = [
        f"{process} used {figures[key]:.2f} of a core"
        for key, process in (
            ("busiest_host", "a process of hollow couriers"),
            ("busiest_relay", "a process of relays"),
            ("play", "the controlling process"),
        )
        if figures[key] > MAX_PROCESS_LOAD
    ]
    if figures["cores_busy"] > MAX_CORE_LOAD:
        found.append(
            f"all cores were busy: {figures['cores_busy']:.0%} of {figures['cores']}, "
            f"{figures['cores_stolen']:.0%} stolen by the hypervisor"
        )
    if figures["mean_tick_late_ms"] * MS > MIN_TICK_INTERVAL:
        found.append(f"ticks of hollow couriers were {figures['mean_tick_late_ms']:.0f} ms late on average")
    if figures["stalled_ticks"] > MAX_STALLED_SHARE:
        found.append(f"{figures['stalled_ticks']:.1%} of the ticks were more than a period late")
    if figures["dropped"]:
        found.append(f"the kernel dropped {figures['dropped']} datagrams at full socket buffers")
    return found


def cost_ratios(report: dict[str, Any]) -> dict[str, float]:
    """Ratios of what the peer protocol costs a hollow courier to what it costs a real one.

    From the processor time of a real courier with peers enabled, that of one with peers disabled is subtracted. A ratio
    is 0 where the cost of a real courier is.
    """
    rest = report["rest"]
    real_cpu = rest["cpu_ms_a_real"] - rest["cpu_ms_a_real_off"]
    return {
        name: round(hollow / real, 2) if real > 0 else 0.0
        for name, hollow, real in (
            ("processor time, in a process of its own", rest["cpu_ms_a_hollow_alone"], real_cpu),
            ("processor time, many in a process", rest["cpu_ms_a_hollow"], real_cpu),
            ("bytes sent", rest["bytes_a_hollow"], rest["bytes_a_real"]),
            ("memory a member", report["memory_a_member_hollow"], report["memory_a_member_real"]),
        )
    }


def run(
    parameters: RunParameters,
    directory: Path,
    bounds: ResourceLimits,
    progress: Callable[[str], None] = lambda text: None,
    compare: bool = False,
) -> dict[str, Any]:
    """Run once and return the report, a dict that JSON can hold; see ``ScaleRun`` for the arguments.

    Raises ``RunTooLargeError`` if the run is too large, and ``StoppedBySignalError`` after a signal. Whatever it
    raises, no process is left behind.
    """
    with ScaleRun(parameters, directory, bounds, progress, compare) as scale_run, stopping_on_signals(scale_run.loop):
        return scale_run.run()


def default_bounds() -> ResourceLimits:
    """The default bounds, with this process's soft limit of open descriptors."""
    return ResourceLimits(descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def machine_info() -> dict[str, Any]:
    """The cores that this process may use, and its Python version."""
    return {"cores": sorted(os.sched_getaffinity(0)), "python": sys.version.split()[0]}


def _core_usage(begin: tuple[int, int, int], end: tuple[int, int, int]) -> dict[str, float]:
    total, idle, stolen = (after - before for before, after in zip(begin, end, strict=True))
    return {
        "cores": len(os.sched_getaffinity(0)),
        "cores_busy": round(1 - idle / max(1, total), 3),
        "cores_stolen": round(stolen / max(1, total), 3),
    }


def _mean(values: list[Any]) -> float:
    return sum(values) / len(values) if values else 0.0


def _seconds(duration: int | None) -> float | None:
    return None if duration is None else round(duration / SECOND, 1)
