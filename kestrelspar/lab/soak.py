"""Plays a plan of faults on real couriers, and judges what clients, member systems and the platform saw."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random

import ujson

from kestrelspar.http import parser
from kestrelspar.lab import checkers, overload, soak_judge, soak_plan
from kestrelspar.lab.clients import Ending, KeepAliveClients, submission
from kestrelspar.lab.response_relay import ConnectionFaults, CopyFaults, ResponseRelay
from kestrelspar.lab.rig import LIFETIMES_MS, Rig, Submission
from kestrelspar.lab.soak_judge import Leaving, Record, Recovery, Restart, SlowStartRules, ToldWait, Violation
from kestrelspar.lab.soak_plan import COURIERS, MEMBERS, TRAFFIC_SPAN, Fault, FaultKind, SoakPlan
from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.standins import platform

LIMIT = 30  # calls a second of each member system
LATENCY = 60 * MS
SHORT_LIFETIME_MS, SHORT_SHARE = 1_000, 0.1  # of the messages
KILL_AFTER_TERM, START_AFTER_KILL = 3_700 * MS, 600 * MS
NEW_CONNECTIONS_AFTER_TERM = 300 * MS
SOME_REFUSED = 0.3  # share of the calls
PAUSE_TIME, PAUSE_INTERVAL = 150 * MS, 700 * MS
RELOADS, RELOAD_INTERVAL = 3, 300 * MS
TOLD_AFTER_RELOAD = 4 * SECOND
CROWD_SIZE = 450
BAD_CLIENT_INTERVAL = 300 * MS
LOAD_LIFETIME_MS = 2_000
SIGNALS_IN_SERIES, SIGNAL_INTERVAL = 6, 40 * MS
MEMORY_SAMPLE_INTERVAL = 20 * MS
COPIES = CopyFaults(0.3, (MS, 250 * MS))
SETTLE_TIME = 9 * SECOND  # after the traffic: the longest lifetime, a restart's excuse and the bounds of the rules
WATCH_INTERVAL = 20 * MS
GROUPS = {member: number // 2 + 1 for number, member in enumerate(MEMBERS)}


@dataclass(slots=True)
class Outcome:
    """What a run brought."""

    plan: SoakPlan
    violations: list[Violation]
    record: Record
    logs: dict[str, str]
    latest_end: float  # seconds from the end of a message's time to its first end; negative: before

    def stories(self) -> list[str]:
        """The history of each message that a violation names."""
        traces = dict.fromkeys(violation.trace for violation in self.violations if violation.trace)
        return [line for trace in traces for line in soak_judge.story(self.record, trace, self.logs.items())]


class SoakRun:
    """One run; ``program`` replaces the courier's command, for tests of the judge."""

    def __init__(self, plan: SoakPlan, directory: Path, program: list[str] | None = None) -> None:
        self.plan = plan
        self.rig = Rig(
            directory, COURIERS, plan.seed, dict.fromkeys(MEMBERS, LIMIT), peers=False, latency=LATENCY, groups=GROUPS
        )
        self.loop, self._random = self.rig.loop, Random(plan.seed)
        self.rig.courier_limits = {"memory_mb": plan.memory_mb, "sockets": plan.sockets, "disk_mb": plan.disk_mb}
        self._loads: list[subprocess.Popen[str]] = []
        self._terminated_at: dict[str, int] = {}  # by courier that is shutting down
        self._crowded: dict[str, int] = {}  # by courier: until when new connections may be shut unread
        self._silent_until = 0  # discovery
        self._reloaded_at = 0
        self._traffic_until = 0
        if program is not None:
            self.rig.program = program
        elif plan.system_fault_share:
            self.rig.program = [sys.executable, "-m", "kestrelspar.lab.faulty_process"]
            self.rig.extra_environment = {
                "FAULT_SEED": str(plan.seed),
                "FAULT_SHARE": str(plan.system_fault_share),
                "WALL_CLOCK_STEP": str(self._random.choice((0, 7, -7, 3_600, -3_600))),
            }
        self.member_relays = dict(zip(MEMBERS, self.rig.relay_members(CopyFaults()), strict=True))
        self.platform_relays: list[ResponseRelay] = [self.rig.relay_discovery()]
        self.platform_relays.append(self.rig.relay_discovery())
        rules = platform.settings()["rules"]
        for member in self.rig.members.values():
            member.collapses = False
        self.record = Record(
            self.rig.submissions,
            {name: member.calls for name, member in self.rig.members.items()},
            7_500 * MS,
            SlowStartRules(
                rules["cold_from"], rules["ramp_time_ns"] // 1_000, rules["fall_ns"] // 1_000, rules["tip_multiple"]
            ),
        )
        self.clients = {
            name: KeepAliveClients(self.loop, self.rig.buffers, node.listen, partial(self._may_connect, name))
            for name, node in self.rig.nodes.items()
        }

    def play(self) -> Outcome:
        """Play the plan, and judge it."""
        with self.rig, self._ending_loads():
            for name in self.rig.nodes:
                self.rig.start(name)
            self.rig.ready()
            started_at = self.loop.now
            self._traffic_until = started_at + TRAFFIC_SPAN
            for name in self.rig.nodes:
                self.loop.spawn(self._watch_process, name)
                self.loop.spawn(self._watch_memory, name)
                for group in sorted(set(GROUPS.values())):
                    self.loop.spawn(self._submit_at_rate, name, group)
            for fault in self.plan.faults:
                self.loop.call_at(started_at + fault.at, partial(self.loop.spawn, self._strike, fault))
            self.rig.run(TRAFFIC_SPAN)
            self.rig.run(SETTLE_TIME)
            return self._outcome()

    @contextmanager
    def _ending_loads(self) -> Iterator[None]:
        try:
            yield
        finally:
            for load in self._loads:
                load.communicate()

    def _outcome(self) -> Outcome:
        record = self.record
        record.ended_at, record.clock_error = self.loop.now, self.rig.loop.longest_turn
        record.waits = [
            ToldWait(name, courier, sent_at, until)
            for name, member in self.rig.members.items()
            for courier, sent_at, until in member.told_waits
        ]
        logs = {name: self.rig.read_log(name) for name in self.rig.nodes}
        record.crashes += [
            f"{name}: {line}" for name, log in logs.items() for line in log.splitlines() if "event=fault" in line
        ]
        delays = checkers.end_delays(record.submissions, record.all_calls())
        latest = max(delays.values(), default=0) / SECOND
        return Outcome(self.plan, soak_judge.judge(record), record, logs, latest)

    # Clients

    def _may_connect(self, name: str) -> bool:
        terminated_at = self._terminated_at.get(name)
        return terminated_at is None or self.loop.now < terminated_at + NEW_CONNECTIONS_AFTER_TERM

    def _submit_at_rate(self, name: str, group: int) -> None:
        while self.loop.now < self._traffic_until:
            self.loop.sleep(int(self._random.expovariate(self.plan.rate) * SECOND))
            self.loop.spawn(self._submit, name, group)

    def _submit(self, name: str, group: int) -> None:
        message_class = self._random.choice(platform.CLASSES)
        is_short = self._random.random() < SHORT_SHARE
        lifetime_ms = SHORT_LIFETIME_MS if is_short else LIFETIMES_MS[message_class]
        trace = f"{name}-{len(self.rig.submissions):06d}"
        sent = Submission(message_class, name, self.loop.now, lifetime=lifetime_ms * MS)
        self.rig.submissions[trace] = sent
        process = self.rig.nodes[name].process
        reply = self.clients[name].send(submission(trace, message_class, lifetime_ms, group))
        sent.status = reply.status
        if reply.ending is Ending.CLOSED and reply.on_new_connection:
            self.loop.sleep(100 * MS)  # a killed process is noticed by then
            was_killed = process is None or process.poll() == -signal.SIGKILL
            if not was_killed and self.loop.now > self._crowded.get(name, 0):
                self.record.unanswered.append(trace)

    # Processes

    def _watch_process(self, name: str) -> None:
        """Record a process that ends though nobody has ended it."""
        node = self.rig.nodes[name]
        while True:
            process = node.process
            if process is not None and process.poll() is not None and name not in self._terminated_at:
                self.record.crashes.append(f"{name} ended by itself with {process.poll()}")
                return
            self.loop.sleep(WATCH_INTERVAL)

    def _watch_memory(self, name: str) -> None:
        """Record the most memory that a courier held."""
        self.record.memory_limit = self.plan.memory_mb * 1_000_000
        while True:
            self.record.peak_memory[name] = max(self.record.peak_memory.get(name, 0), self.rig.memory(name))
            self.loop.sleep(MEMORY_SAMPLE_INTERVAL)

    def _signal_in_series(self, name: str) -> None:
        """Send SIGHUP and SIGCONT in series; during a shutdown also SIGTERM and SIGINT, which change nothing then."""
        for _ in range(SIGNALS_IN_SERIES):
            process = self.rig.nodes[name].process
            if process is not None:
                closing = [signal.SIGTERM, signal.SIGINT] if name in self._terminated_at else []
                process.send_signal(self._random.choice([signal.SIGHUP, signal.SIGCONT, *closing]))
            self.loop.sleep(SIGNAL_INTERVAL)

    def _overload(self, fault: Fault) -> None:
        """Run clients that ask for more than their share, in a process of their own."""
        assert fault.load is not None
        name, group = fault.targets[0], self._random.choice(sorted(set(GROUPS.values())))
        address, duration_s = self.rig.nodes[name].listen, fault.duration / SECOND
        if fault.clients in soak_plan.MANY_CLIENTS:
            self._crowded[name] = self.loop.now + fault.duration + SECOND
        self._loads.append(
            overload.start(fault.load, address, fault.clients, duration_s, group, LOAD_LIFETIME_MS, name)
        )

    def _restart_members(self, fault: Fault) -> None:
        """Have endpoints go and come back at their addresses, some times within the fault's time."""
        until = self.loop.now + fault.duration
        while self.loop.now < until:
            for member in fault.targets:
                self.member_relays[member].restart_server(self._random.randrange(300 * MS))
            self.loop.sleep(SECOND)

    def _restart(self, name: str, terminate: bool) -> None:
        node = self.rig.nodes[name]
        process = node.process
        if process is None or name in self._terminated_at:
            return
        self._terminated_at[name] = ended_at = self.loop.now
        if terminate:
            process.send_signal(signal.SIGTERM)
            self.loop.sleep(KILL_AFTER_TERM)
            if process.poll() not in (None, 0):
                self.record.crashes.append(f"{name} ended with {process.poll()} after SIGTERM")
        restart = Restart(name, ended_at, self.loop.now)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()
        node.process = None
        self.record.restarts.append(restart)
        self.loop.sleep(START_AFTER_KILL)
        restart.started_at = self.loop.now
        self.rig.start(name)
        request = parser.request("GET", "/health/ready", "soak", {})
        while self.rig.send_request(name, request) != 200:
            self.loop.sleep(50 * MS)
        restart.ready_at = self.loop.now
        del self._terminated_at[name]

    def _reload(self, name: str) -> None:
        """Send SIGHUP in series, each time with the address of another relay to the same discovery."""
        node = self.rig.nodes[name]
        path = node.directory / "config.json"
        for number in range(RELOADS):
            if node.process is None or name in self._terminated_at:
                return
            config = ujson.loads(path.read_text())
            config["discovery"] = self.platform_relays[number % 2].address
            path.write_text(ujson.dumps(config))
            node.process.send_signal(signal.SIGHUP)
            self._reloaded_at = self.loop.now
            self.loop.sleep(RELOAD_INTERVAL)

    def _pause(self, name: str, duration: int) -> None:
        until = self.loop.now + duration
        while self.loop.now < until:
            if self.rig.nodes[name].process is not None and name not in self._terminated_at:
                self.rig.pause(name, PAUSE_TIME)
            self.loop.sleep(PAUSE_INTERVAL)

    # Faults

    def _strike(self, fault: Fault) -> None:
        """Begin a fault, and end it after its time."""
        strike: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.PLATFORM_CONNECTIONS: lambda f: self._connection_faults(f, self.platform_relays),
            FaultKind.MEMBER_CONNECTIONS: lambda f: self._connection_faults(f, self.member_relays.values()),
            FaultKind.DISCOVERY_DOWN: self._discovery_down,
            FaultKind.MEMBER_LEAVES: self._members_leave,
            FaultKind.ANSWERS_COPIED: self._copy_answers,
            FaultKind.KILL: lambda f: self._restart(f.targets[0], terminate=False),
            FaultKind.RESTART: lambda f: self._restart(f.targets[0], terminate=True),
            FaultKind.PAUSE: lambda f: self._pause(f.targets[0], f.duration),
            FaultKind.RELOADS: lambda f: self._reload(f.targets[0]),
            FaultKind.CROWD: self._crowd,
            FaultKind.BAD_CLIENTS: self._bad_clients,
            FaultKind.SIGNALS: lambda f: self._signal_in_series(f.targets[0]),
            FaultKind.OVERLOAD: self._overload,
            FaultKind.MEMBER_RESTARTS: self._restart_members,
        }
        strike.get(fault.kind, self._member_fault)(fault)

    def _connection_faults(self, fault: Fault, relays: Iterable[ResponseRelay]) -> None:
        assert fault.connections is not None
        struck = list(relays)
        for relay in struck:
            relay.connection_faults = fault.connections
        self.loop.sleep(fault.duration)
        for relay in struck:
            relay.connection_faults = ConnectionFaults()

    def _discovery_down(self, fault: Fault) -> None:
        self.rig.discovery.silent = True
        self._silent_until = max(self._silent_until, self.loop.now + fault.duration)
        self.loop.sleep(fault.duration)
        self.rig.discovery.silent = self.loop.now < self._silent_until

    def _members_leave(self, fault: Fault) -> None:
        since = self.loop.now
        self._set_status(fault.targets, "leaving")
        self.loop.sleep(fault.duration)
        self._set_status(fault.targets, "active")
        reloaded = self._reloaded_at + TOLD_AFTER_RELOAD - soak_judge.TOLD_AFTER
        told_from = max(since, self._silent_until, reloaded)
        self.record.leavings += [Leaving(member, told_from, self.loop.now) for member in fault.targets]

    def _set_status(self, members: Iterable[str], status: str) -> None:
        for row in self.rig.discovery.rows:
            if row["name"] in members:
                row["status"] = status
        self.rig.discovery.index += 1

    def _copy_answers(self, fault: Fault) -> None:
        for relay in self.member_relays.values():
            relay.faults = COPIES
        self.loop.sleep(fault.duration)
        for relay in self.member_relays.values():
            relay.faults = CopyFaults()

    def _member_fault(self, fault: Fault) -> None:
        members = [self.rig.members[name] for name in fault.targets]
        began_at, limits = self.loop.now, [member.limit for member in members]
        for member in members:
            if fault.kind is FaultKind.MEMBER_HANGS:
                member.down = True
            elif fault.kind is FaultKind.MEMBER_CLOSES:
                member.shut = True
            elif fault.kind is FaultKind.MEMBER_REFUSES:
                member.refused = 1.0
            elif fault.kind is FaultKind.MEMBER_REFUSES_SOME:
                member.refused = SOME_REFUSED
            elif fault.kind is FaultKind.MEMBER_WAITS:
                member.wait_until = max(member.wait_until, began_at + fault.duration)
            else:
                member.limit = LIMIT // 4
        self.loop.sleep(fault.duration)
        for name, member, limit in zip(fault.targets, members, limits, strict=True):
            if fault.kind in (FaultKind.MEMBER_HANGS, FaultKind.MEMBER_CLOSES):
                member.up()
                # A limit that has fallen during the outage could not be told.
                self.record.recoveries.append(Recovery(name, began_at, self.loop.now, max(limit, member.limit)))
            elif fault.kind is FaultKind.LIMIT_FALLS:
                member.limit = LIMIT
            else:
                member.refused = 0.0

    def _crowd(self, fault: Fault) -> None:
        name = fault.targets[0]
        self._crowded[name] = self.loop.now + fault.duration + SECOND
        self.clients[name].gather_crowd(CROWD_SIZE)
        self.loop.sleep(fault.duration)
        self.clients[name].disperse_crowd()

    def _bad_clients(self, fault: Fault) -> None:
        name, until = fault.targets[0], self.loop.now + fault.duration
        while self.loop.now < until:
            request = submission("bad-client", "reading", SHORT_LIFETIME_MS, 1)
            self.loop.spawn(self.clients[name].send_part, request)
            self.loop.sleep(BAD_CLIENT_INTERVAL)


def shrink(plan: SoakPlan, is_red: Callable[[SoakPlan], bool]) -> SoakPlan:
    """The plan with the fewest faults found that still breaks a rule; ``is_red`` plays a plan."""
    for fault in plan.faults:
        smaller = plan.only(other.number for other in plan.faults if other.number != fault.number)
        if is_red(smaller):
            plan = smaller
    return plan
