"""Hollow couriers: hundreds in a process, each with the full peer protocol and without the message path.

A hollow courier is a real ``Peer`` behind a UDP socket of its own, driven as ``peers/link.py`` drives it: membership,
peer messages, budgets, observations and counters. Its state is saved to memory. A random workload stands for messages
and calls: messages wait until a budget allows their call, calls are charged to the budget, and their outcomes are drawn
at random, observed and counted. Member systems are not called.

    python -m kestrelspar.lab.hollow        commands on stdin, reports on stdout; see ``Host``

The process ends when its stdin closes, or when its configured lifetime is over.
"""

from __future__ import annotations

import os
import resource
import socket
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
from msgspec import Struct

from kestrelspar.lab import child
from kestrelspar.lab.relays import Address, dropped_datagrams
from kestrelspar.lab.rig import TimedLoop
from kestrelspar.peers import state_file
from kestrelspar.peers.link import MAX_DATAGRAMS_PER_TURN, MIN_TICK_INTERVAL, SAVE_INTERVAL, keys
from kestrelspar.peers.messages import MemberState
from kestrelspar.peers.observations import CallOutcome
from kestrelspar.peers.peer import Datagrams, Peer, PeerConfig
from kestrelspar.peers.seal import MAX_DATAGRAM_BYTES
from kestrelspar.peers.shares import LoanTerms, budget_for_rate
from kestrelspar.runtime.loop import MS, SECOND

RECEIVE_BUFFER_BYTES = 1_000_000  # of a courier's socket: hundreds of other couriers are served between two reads
# For each endpoint as many messages may wait as arrive at the courier in this time on average, and one at least;
# further ones are abandoned.
MAX_BACKLOG_SECONDS = 4
# ``BUSY_SHARE`` of the couriers have ``BUSY_FACTOR`` times the mean rate, so that they borrow from the others.
BUSY_FACTOR, BUSY_SHARE = 3.0, 0.2
RETRY_AFTER = 300 * MS  # retry-after delay of a refused call


class HollowConfig(Struct, frozen=True):
    """Configuration of all hollow couriers of a run. Times in microseconds."""

    couriers: int  # hollow and real ones
    seed: int
    rate: float = 1.0  # messages per second and courier, on average; 0: none, and a ``HollowCourier`` has no budgets
    failing: float = 0.001  # share of calls that fail; the same share is refused
    limits: dict[str, float] = {}  # by endpoint: calls per second
    spend: int = 90  # percent of each limit that the couriers share
    term: int = 3 * SECOND  # of loans
    period: int = SECOND  # between probes of members
    bytes_a_second: int = 20_000  # bandwidth limit of a courier's datagrams
    key: str = ""  # seals the datagrams
    span: int = 600 * SECOND  # lifetime of the process


class HollowCourierConfig(Struct, frozen=True):
    """Configuration of one hollow courier of a host."""

    name: str
    number: int
    zone: str  # its membership group
    advertise: Address | None = None  # None: the address of its socket
    seeds: dict[str, Address] = {}  # in addition to those of the command ``seeds``


def endpoint_budgets(config: HollowConfig) -> dict[str, tuple[int, int]]:
    """Calls and window (microseconds) by budget key, as real couriers derive them from a configured limit."""
    return {
        f"e:{name}": budget_for_rate(limit * config.spend / 100, config.couriers)
        for name, limit in config.limits.items()
    }


class Workload:
    """Random messages of one courier and outcomes of their calls. No I/O.

    Arrivals are a Poisson process. The seed and the courier's number determine all of it.
    """

    def __init__(self, config: HollowConfig, number: int) -> None:
        self._random = Random(config.seed * 1_000_003 + number)
        busy = self._random.random() < BUSY_SHARE
        self.rate = config.rate * (BUSY_FACTOR if busy else (1 - BUSY_SHARE * BUSY_FACTOR) / (1 - BUSY_SHARE))
        self.names, self.failing = sorted(config.limits), config.failing
        self.waiting = dict.fromkeys(self.names, 0)
        self.arrived = self.abandoned = 0
        self.in_flight: deque[tuple[int, str]] = deque()  # time and endpoint of the calls of the previous step
        self.routes = {name: destination for destination, name in enumerate(self.names, 1)}
        self._next_arrival: int | None = None

    def arrive(self, now: int) -> int:
        """Queue the messages that arrived since the previous call; return their number, with the abandoned ones."""
        before = self.arrived
        if self.rate <= 0 or not self.names:
            return 0
        if self._next_arrival is None:
            self._next_arrival = now + int(self._random.expovariate(self.rate) * SECOND)
        while self._next_arrival <= now:
            name = self._random.choice(self.names)
            if self.waiting[name] < max(1.0, MAX_BACKLOG_SECONDS * self.rate):
                self.waiting[name] += 1
            else:
                self.abandoned += 1
            self.arrived += 1
            self._next_arrival += max(1, int(self._random.expovariate(self.rate) * SECOND))
        return self.arrived - before

    def outcome(self) -> tuple[CallOutcome, int]:
        """Draw the outcome of a call, and its retry-after delay in microseconds (0: none)."""
        draw = self._random.random()
        if draw < self.failing:
            return CallOutcome.FAILED, 0
        return (CallOutcome.REFUSED, RETRY_AFTER) if draw < 2 * self.failing else (CallOutcome.SERVED, 0)

    def step(
        self,
        peer: Peer,
        budgets: dict[str, tuple[int, int]],
        clock: Callable[[], int],
        on_call: Callable[[str, int], None],
    ) -> None:
        """End all calls of the previous step, queue new messages, and make the calls that the budgets allow.

        ``on_call`` is called for each call, with its budget's key and its time by ``clock``.
        """
        shares, now = peer.shares, clock()
        while self.in_flight:
            sent, name = self.in_flight.popleft()
            outcome, retry_after = self.outcome()
            peer.observations.record_call(name, outcome, sent, now, retry_after)
            peer.counters.add(f"calls/{name}/{outcome.name.lower()}")
            peer.counters.add("ended/reading/delivered")
        for _ in range(self.arrive(now)):
            peer.counters.add("taken/reading")
        peer.observations.set_routes(self.routes)
        for key, (calls, window) in budgets.items():
            name = key[2:]
            shares.set_budget(key, calls, window, False, 0, now)
            while self.waiting[name]:
                at = clock()
                if not shares.try_call(key, at):
                    break
                self.waiting[name] -= 1
                self.in_flight.append((at, name))
                on_call(key, at)
                peer.counters.add(f"used/{key}")
            shares.set_shortfall(key, self.waiting[name], float(self.waiting[name]), now)


class HollowCourier:
    """One hollow courier: its socket, its workload, and its ``Peer`` while it runs."""

    def __init__(self, host: Host, courier_config: HollowCourierConfig) -> None:
        self.host, self.loop, self.courier_config, self.config = host, host.loop, courier_config, host.config
        self.peer: Peer | None = None
        self.workload = Workload(self.config, courier_config.number)
        self.calls: list[tuple[str, int]] = []  # since the last report
        self.events: Counter[str] = Counter()
        # Of datagrams: sums of the peers that have been stopped; ``unsent`` also counts those of the running peer.
        self.unsent = self.sent = self.received = self.over_bandwidth = 0
        self._state = state_file.SavedState(0, {}, {})
        self._state_file = b""  # kept in memory only
        self._save_at = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)
        self.socket.bind(("127.0.0.1", 0))
        self.address: Address = self.socket.getsockname()
        self.loop.spawn(self._read)

    def start(self) -> None:
        """Start as a new process would, with the saved state of the previous one."""
        config, courier_config, now = self.config, self.courier_config, self.loop.clock()
        self._state.epoch = state_file.next_epoch(self._state)
        peer_config = PeerConfig(
            courier_config.name,
            courier_config.advertise or self.address,
            self._state.epoch,
            keys([config.key]),
            self.host.seeds | courier_config.seeds,
            LoanTerms(config.couriers, courier_config.number, config.term),
            config.bytes_a_second,
            config.period,
        )
        self._save()
        self.peer = Peer(
            peer_config,
            now,
            config.seed * 1_000 + courier_config.number,
            self._state.lent,
            self._save_loans,
            self._state.counts,
        )
        self._save_at = now
        self.workload.in_flight.clear()
        self.loop.spawn(self._tick, self.peer)

    def stop(self) -> None:
        """Stop at once, as if killed: it sends nothing more, and datagrams to it are lost."""
        if self.peer is not None:
            self.sent, self.received = self.sent + self.peer.sent, self.received + self.peer.received
            self.over_bandwidth += self.peer.over_bandwidth
            self.peer = None

    def _save(self) -> None:
        """Save to memory: with hundreds of couriers on one disk, replacing a file took 0.8 s and stalled them all."""
        self._state_file = msgspec.json.encode(self._state)

    def _save_loans(self, lent: dict[str, int]) -> bool:
        self._state.lent = lent
        if self.peer is not None:
            self._state.counts = self.peer.counters.own_totals()
        self._save()
        return True

    def _send(self, peer: Peer, datagrams: Datagrams) -> None:
        for address, data in datagrams:
            try:
                self.socket.sendto(data, address)
            except OSError:
                self.unsent += 1
        for name, _ in peer.events:
            self.events[name] += 1
        peer.events = []

    def _read(self) -> None:
        while True:
            self.loop.readable(self.socket, None)
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    data = self.socket.recv(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                if self.peer is not None:
                    self._send(self.peer, self.peer.receive(data, self.loop.clock()))
            if self.peer is not None and self.peer.has_new_observations:
                self._apply_observations(self.peer)

    def _apply_observations(self, peer: Peer) -> None:
        """Compute the restrictions, as a real courier does, for their CPU time; no call depends on them."""
        peer.has_new_observations = False
        peer.observations.restrictions(self.loop.clock(), peer.members.alive())

    def _tick(self, peer: Peer) -> None:
        self.loop.sleep(1 + self.tick_offset())
        while self.peer is peer:
            began = self.loop.clock()
            if self.config.rate > 0:  # otherwise no call is made, so no endpoint reports a limit to derive budgets from
                self.workload.step(peer, self.host.budgets, self.loop.clock, self._record_call)
            self._send(peer, peer.tick(self.loop.clock()))
            self._apply_observations(peer)
            # As in a real courier, which passes these numbers on; computed here for their CPU time only.
            for key in self.host.budgets if self.config.rate > 0 else ():
                peer.shares.allowed(key, began)
            if began >= self._save_at:
                self._state.counts, self._save_at = peer.counters.own_totals(), began + SAVE_INTERVAL
                self._save()
            scheduled = self.loop.now + MIN_TICK_INTERVAL
            self.loop.sleep(MIN_TICK_INTERVAL)
            self.host.record_tick(self.loop.clock() - scheduled)

    def _record_call(self, key: str, at: int) -> None:
        self.calls.append((key, at))

    def tick_offset(self) -> int:
        """Offset of the ticks, which spreads those of a host's couriers over the interval; unchanged by restarts."""
        return self.courier_config.number * 7_919 % MIN_TICK_INTERVAL


class Host:
    """The hollow couriers of one process. Once opened, it sends a report each second.

    Commands:

    - ``{"open": {"told": {...}, "couriers": [{...}]}}`` (``HollowConfig``, ``HollowCourierConfig``), answered by
      ``{"open": {NAME: [HOST, PORT]}}``;
    - ``{"seeds": {NAME: [HOST, PORT]}}``: seed members of all couriers, in addition to each courier's own;
    - ``{"start": [NAME...], "within": MICROSECONDS}``: the starts are spread over that time;
    - ``{"stop": [NAME...]}``;
    - ``{"restart": [NAME...], "gap": MICROSECONDS, "within": MICROSECONDS}``: the stops are spread over the time
      ``within``, and each courier starts again ``gap`` after it stopped;
    - ``{"truth": {"there": {ZONE: N}, "gone": {ZONE: [NAME...]}}}``: how many couriers of each zone run, and which have
      been killed; reports count how far the couriers' membership lists differ from that.
    """

    def __init__(self) -> None:
        self.loop = TimedLoop()
        self.config = HollowConfig(1, 0)
        self.budgets: dict[str, tuple[int, int]] = {}
        self.couriers: dict[str, HollowCourier] = {}
        self.seeds: dict[str, Address] = {}
        self.running_counts: dict[str, int] = {}  # by zone
        self.killed: dict[str, set[str]] = {}  # by zone
        self.ticks = self.total_lateness = self.max_lateness = self.stalls = 0

    def record_tick(self, lateness: int) -> None:
        """Record how many microseconds after its scheduled time a courier's tick came."""
        self.ticks += 1
        self.total_lateness += lateness
        self.max_lateness = max(self.max_lateness, lateness)
        self.stalls += lateness > self.config.period

    def command(self, fields: dict[str, Any]) -> None:
        """Carry out one command; the class's docstring lists them."""
        if "open" in fields:
            self._open(fields["open"])
        if "truth" in fields:
            self.running_counts = dict(fields["truth"]["there"])
            self.killed = {zone: set(names) for zone, names in fields["truth"]["gone"].items()}
        self.seeds |= {name: (address[0], address[1]) for name, address in fields.get("seeds", {}).items()}
        for name in fields.get("stop", ()):
            self.couriers[name].stop()
        self._spread(fields.get("start", ()), fields.get("within", 0), lambda courier: courier.start())

        def restart(courier: HollowCourier) -> None:
            courier.stop()
            self.loop.call_at(self.loop.now + int(fields.get("gap", 0)), courier.start)

        self._spread(fields.get("restart", ()), fields.get("within", 0), restart)

    def _spread(self, names: list[str], duration: int, call: Callable[[HollowCourier], None]) -> None:
        for index, name in enumerate(names):
            courier = self.couriers[name]
            self.loop.call_at(self.loop.now + duration * index // len(names), lambda courier=courier: call(courier))  # type: ignore[misc]

    def _open(self, arguments: dict[str, Any]) -> None:
        self.config = msgspec.convert(arguments["told"], HollowConfig)
        self.budgets = endpoint_budgets(self.config)
        self.couriers = {
            entry["name"]: HollowCourier(self, msgspec.convert(entry, HollowCourierConfig))
            for entry in arguments["couriers"]
        }
        self.loop.call_at(self.loop.now + self.config.span, self.loop.stop)
        child.send_report({"open": {name: courier.address for name, courier in self.couriers.items()}})
        self.loop.spawn(self._report)

    def _report(self) -> None:
        while True:
            child.send_report(self.report())
            self.loop.sleep(SECOND)

    def report(self) -> dict[str, Any]:
        """Status of the couriers and resource use of the process; resets what is counted from report to report.

        ``calls``, ``longest``, ``ticks``, ``stalls`` and the lateness (``late``, ``latest``) are since the previous
        report. Of ``sums``, those about membership lists are current; the others, and ``events``, ``cpu`` and
        ``dropped``, are since the start.
        """
        usage = resource.getrusage(resource.RUSAGE_SELF)
        with open("/proc/self/statm") as file:
            rss = int(file.read().split()[1]) * resource.getpagesize()
        calls: dict[str, list[int]] = {key: [] for key in self.budgets}
        sums: Counter[str] = Counter()
        events: Counter[str] = Counter()
        least_known: int | None = None
        for courier in self.couriers.values():
            for key, at in courier.calls:
                calls[key].append(at)
            courier.calls.clear()
            events += courier.events
            peer = courier.peer
            sums.update(
                sent=courier.sent,
                heard=courier.received,
                held_back=courier.over_bandwidth,
                unsent=courier.unsent,
                came=courier.workload.arrived,
                given_up=courier.workload.abandoned,
            )
            if peer is None:
                continue
            sums.update(couriers=1, sent=peer.sent, heard=peer.received, held_back=peer.over_bandwidth)
            members, killed = peer.members, self.killed.get(courier.courier_config.zone, set())
            ghosts = sum(
                name in members.members and members.members[name].update.state <= MemberState.SUSPECT for name in killed
            )
            known = len(members.alive()) - ghosts
            least_known = known if least_known is None else min(least_known, known)
            others = self.running_counts.get(courier.courier_config.zone, 1) - 1
            sums.update(
                pairs=others,
                missing=max(0, others - known),
                ghosts=ghosts,
                ghost_pairs=len(killed),
                buried=len(members.gone() - killed),
                refused=members.rejected_updates,
            )
        found = {
            "at": self.loop.now,
            "pid": os.getpid(),
            "cpu": usage.ru_utime + usage.ru_stime,
            "rss": rss,
            "longest": self.loop.longest_turn,
            "ticks": self.ticks,
            "late": self.total_lateness,
            "latest": self.max_lateness,
            "stalls": self.stalls,
            "least": least_known or 0,
            "sums": dict(sums),
            "events": dict(events),
            "calls": calls,
            "dropped": dropped_datagrams([courier.socket for courier in self.couriers.values()]),
        }
        self.loop.longest_turn = self.ticks = self.total_lateness = self.max_lateness = self.stalls = 0
        return found


if __name__ == "__main__":
    host = Host()
    child.serve(host.loop, host.command)
