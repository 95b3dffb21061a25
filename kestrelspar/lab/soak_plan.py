"""Faults of a soak run, drawn from its seed. No I/O. Times are microseconds from the start of the traffic."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from random import Random

from kestrelspar.lab.overload import Load
from kestrelspar.lab.response_relay import ConnectionFaults
from kestrelspar.runtime.loop import MS, SECOND

TRAFFIC_SPAN = 14 * SECOND
MAX_QUIET_TIME = 5 * SECOND  # before the first fault
MIN_FAULTS, MAX_FAULTS = 3, 8
COURIERS = 2
MEMBERS = ("m1", "m2", "m3", "m4", "m5", "m6")  # two endpoints for each destination


class FaultKind(Enum):
    """What a fault does; the values are its names on the command line."""

    PLATFORM_CONNECTIONS = "platform-connections"  # new connections to the platform are late, reset or silent
    MEMBER_CONNECTIONS = "member-connections"  # the same to all member systems
    DISCOVERY_DOWN = "discovery-down"  # no answer and no lines, while reports are acknowledged
    MEMBER_HANGS = "member-hangs"
    MEMBER_REFUSES = "member-refuses"  # all calls, without Retry-After
    MEMBER_REFUSES_SOME = "member-refuses-some"  # three in ten calls
    MEMBER_WAITS = "member-waits"  # all calls, with Retry-After
    MEMBER_CLOSES = "member-closes"  # the connection, at each call
    MEMBER_LEAVES = "member-leaves"  # the list says so; it comes back at the end
    LIMIT_FALLS = "limit-falls"
    ANSWERS_COPIED = "answers-copied"
    KILL = "kill"
    RESTART = "restart"  # SIGTERM, and SIGKILL at the earliest time that the pages allow
    PAUSE = "pause"  # SIGSTOP
    RELOADS = "reloads"  # SIGHUP in series, each with another address of discovery
    CROWD = "crowd"
    BAD_CLIENTS = "bad-clients"  # stop in the middle of a request
    SIGNALS = "signals"  # SIGHUP and SIGCONT in series, and a second SIGTERM during a shutdown
    OVERLOAD = "overload"  # clients that ask for more than their share
    MEMBER_RESTARTS = "member-restarts"  # its connections are reset, and it is back at the same address


MEMBER_FAULTS = {
    FaultKind.MEMBER_HANGS,
    FaultKind.MEMBER_REFUSES,
    FaultKind.MEMBER_REFUSES_SOME,
    FaultKind.MEMBER_WAITS,
    FaultKind.MEMBER_CLOSES,
    FaultKind.MEMBER_LEAVES,
    FaultKind.LIMIT_FALLS,
    FaultKind.MEMBER_RESTARTS,
}
COURIER_FAULTS = {
    FaultKind.KILL,
    FaultKind.RESTART,
    FaultKind.PAUSE,
    FaultKind.RELOADS,
    FaultKind.CROWD,
    FaultKind.BAD_CLIENTS,
    FaultKind.SIGNALS,
    FaultKind.OVERLOAD,
}
NO_TARGET = {FaultKind.DISCOVERY_DOWN, FaultKind.PLATFORM_CONNECTIONS, FaultKind.MEMBER_CONNECTIONS}


SOME_CLIENTS, MANY_CLIENTS = (1, 8, 40), (100, 400, 800)
# By load: the numbers of connections that are drawn from; else ``SOME_CLIENTS``.
CLIENTS_OF_LOADS = dict.fromkeys((Load.HALF_BODIES, Load.HALF_HEADS, Load.SLOW_BODIES), MANY_CLIENTS)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: when it begins and how long it lasts, and the couriers or member systems that it strikes."""

    number: int  # in the plan of its seed
    kind: FaultKind
    at: int
    duration: int
    targets: tuple[str, ...] = ()
    connections: ConnectionFaults | None = None
    load: Load | None = None
    clients: int = 0  # connections of the load

    def __str__(self) -> str:
        text = f"{self.number}: {self.at / SECOND:.1f} s {self.kind.value} for {self.duration / SECOND:.1f} s"
        load = f"{self.clients} {self.load.value}" if self.load else ""
        return f"{text} {' '.join(self.targets)} {load}".rstrip()


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What one seed plays."""

    seed: int
    faults: tuple[Fault, ...]
    system_fault_share: float  # of the couriers' system calls, in every second span of 0.7 s; 0: none
    rate: float  # messages a second for each courier and destination
    memory_mb: int = 64
    sockets: int = 512
    disk_mb: int = 10

    def only(self, numbers: Iterable[int]) -> SoakPlan:
        """The same plan with some of its faults only."""
        wanted = set(numbers)
        kept = tuple(fault for fault in self.faults if fault.number in wanted)
        return replace(self, faults=kept)


def draw(seed: int) -> SoakPlan:
    """Draw the plan of a seed."""
    rng = Random(seed)
    quiet = rng.choice((0, rng.randrange(MAX_QUIET_TIME)))
    count = rng.randint(MIN_FAULTS, MAX_FAULTS)
    faults = sorted((_draw_fault(rng, number, quiet) for number in range(count)), key=lambda fault: fault.at)
    system_fault_share, rate = rng.choice((0.0, 0.0, 0.05, 0.15)), rng.choice((4.0, 8.0, 12.0))
    memory_mb, sockets, disk_mb = rng.choice((32, 64)), rng.choice((512, 1_024)), rng.choice((3, 10, 30))
    return SoakPlan(seed, tuple(faults), system_fault_share, rate, memory_mb, sockets, disk_mb)


def _draw_fault(rng: Random, number: int, quiet: int) -> Fault:
    kind = rng.choice(list(FaultKind))
    at = rng.randrange(quiet, TRAFFIC_SPAN - 2 * SECOND)
    duration = rng.randrange(SECOND, 8 * SECOND)
    targets: tuple[str, ...] = ()
    if kind in MEMBER_FAULTS:
        targets = tuple(sorted(rng.sample(MEMBERS, rng.randint(1, len(MEMBERS) // 2))))
    elif kind in COURIER_FAULTS:
        targets = (f"n{rng.randrange(COURIERS)}",)
    connections = None
    if kind in (FaultKind.PLATFORM_CONNECTIONS, FaultKind.MEMBER_CONNECTIONS):
        late, reset, silent = rng.choice(((1 / 3, 0.0, 0.0), (1.0, 0.0, 0.0), (0.0, 0.3, 0.0), (0.4, 0.2, 0.1)))
        connections = ConnectionFaults(late, (0, rng.choice((350, 1_000, 1_500)) * MS), reset, silent=silent)
    load = rng.choice(list(Load)) if kind is FaultKind.OVERLOAD else None
    clients = rng.choice(CLIENTS_OF_LOADS.get(load, SOME_CLIENTS)) if load else 0
    return Fault(number, kind, at, duration, targets, connections, load, clients)
