"""Discrete-event simulation of a network of couriers and brokers, deterministic for one seed, in one process.

It runs the I/O-free peer modules of many couriers. Real time is simulated time; each node reads it through a local
clock with an offset and a drift. Datagrams are lost, delayed, duplicated and reordered as configured, and cut off by
direction. Nodes can be paused, killed and restarted, with or without their saved state. The budget checker is
independent of the couriers: it counts their calls in real time.

Brokers are nodes beside the couriers and belong to regions. Where there are brokers, each courier is configured with
all of them, its region and its group, except for the couriers in ``Net.old``, which run without groups and brokers.
"""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from kestrelspar.peers.brokers import Broker, BrokerAbout
from kestrelspar.peers.peer import About, Datagrams, Peer
from kestrelspar.peers.shares import Terms

MS, SECOND = 1_000, 1_000_000
TICK = 50 * MS
TICK_JITTER = 5 * MS
CALL_INTERVAL = 20 * MS  # between a courier's attempts to make calls for waiting messages
KEY = b"a key for the model's couriers.."


@dataclass(slots=True)
class Faults:
    """Faults of datagrams: shares of all datagrams, and the bounds of their delay in microseconds."""

    loss: float = 0.0
    double: float = 0.0
    delay: tuple[int, int] = (1 * MS, 5 * MS)


@dataclass(slots=True)
class Node:
    """A simulated host: it runs a courier or a broker."""

    name: str
    number: int
    address: tuple[str, int]
    clock_rate: float  # local clock's microseconds for each one of real time
    clock_offset: int  # microseconds
    peer: Peer | None = None
    life: int = 0
    saved_loans: dict[str, int] | None = None  # state on disk: the most that was lent of each budget
    paused_until: int = 0
    queued: list[bytes] = field(default_factory=list)  # datagrams that arrived during a pause
    lies: Callable[[Node, int], None] | None = None  # Byzantine behaviour, called with the real time before each tick
    group: str = ""
    region: str = ""
    before_tick: Callable[[Node, Peer], None] | None = None  # the workload of a courier
    broker: Broker | None = None

    def process(self) -> Peer | Broker | None:
        """The running courier or broker, if any."""
        return self.peer or self.broker

    def clock(self, real: int) -> int:
        """The node's local time at the given real time."""
        return int(real * self.clock_rate) + self.clock_offset


class BudgetChecker:
    """Counts the calls of all couriers by budget, in real time; more than the budget in one window is a fault."""

    def __init__(self) -> None:
        self.limits: dict[str, tuple[int, int]] = {}
        self.most: dict[str, int] = defaultdict(int)
        self.calls: dict[str, int] = defaultdict(int)
        self.by: dict[tuple[str, str], int] = defaultdict(int)
        self.faults: list[tuple[int, str, int]] = []
        self._times: dict[str, deque[int]] = defaultdict(deque)

    def call(self, now: int, name: str, key: str) -> None:
        """Record a call of a courier under a budget."""
        calls, window = self.limits[key]
        times = self._times[key]
        times.append(now)
        while times[0] <= now - window:
            times.popleft()
        self.calls[key] += 1
        self.by[(name, key)] += 1
        self.most[key] = max(self.most[key], len(times))
        if len(times) > calls:
            self.faults.append((now, key, len(times)))


class Net:
    """The simulated couriers and brokers, the network between them, and the event queue."""

    def __init__(
        self,
        couriers: int,
        seed: int,
        faults: Faults | None = None,
        drift: float = 0.0,
        terms: dict[str, float] | None = None,
        bytes_a_second: int = 50_000,
        seeds: int = 3,
        brokers: dict[str, int] | None = None,
        place: Callable[[int], tuple[str, str]] | None = None,
        step: int = SECOND,
        period: int = SECOND,
    ) -> None:
        """``brokers``: number of brokers by region; ``place``: returns region and group for a courier's number.

        ``step``: interval between the couriers' probes of an endpoint that is down. ``seeds``: number of seed members
        of each group; without groups, of the whole fleet.
        """
        self.random = Random(seed)
        self.now = 0
        self.faults = faults or Faults()
        self.cut: Callable[[str, str], bool] = lambda sender, to: False  # whether datagrams are cut off, by direction
        self.judge = BudgetChecker()
        self.terms, self.bytes_a_second, self.step, self.period = terms or {}, bytes_a_second, step, period
        self.events: list[tuple[int, str, str, dict[str, object]]] = []  # (real time, node, event, fields)
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self.nodes = {
            f"n{i}": Node(
                f"n{i}", i, ("10.0.0.1", 1000 + i), 1 + self.random.uniform(-drift, drift), self.random.randrange(10**9)
            )
            for i in range(couriers)
        }
        if place is not None:
            for node in self.nodes.values():
                node.region, node.group = place(node.number)
        group_sizes: dict[str, int] = defaultdict(int)
        self._seeds: dict[str, tuple[str, int]] = {}
        for node in self.nodes.values():
            group_sizes[node.group] += 1
            if group_sizes[node.group] <= seeds:
                self._seeds[node.name] = node.address
        names = [(region, f"{region}/b{n}") for region, count in (brokers or {}).items() for n in range(count)]
        self.brokers = {
            name: Node(
                name,
                0,
                ("10.0.0.2", 1000 + n),
                1 + self.random.uniform(-drift, drift),
                self.random.randrange(10**9),
                region=region,
            )
            for n, (region, name) in enumerate(names)
        }
        self.old: set[str] = set()  # couriers that run without groups and brokers
        self.dests: dict[str, dict[str, int]] = {}  # by courier: destination of each endpoint that it uses
        self._by_address = {node.address: node for node in [*self.nodes.values(), *self.brokers.values()]}
        self.budgets: dict[str, tuple[int, int]] = {}

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Schedule a call at a real time."""
        heapq.heappush(self._queue, (max(when, self.now), next(self._order), call))

    def run(self, until: int) -> None:
        """Advance the simulation to a real time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    # Couriers

    def budget(self, key: str, calls: int, window: int = SECOND) -> None:
        """Configure a budget at all couriers, now and at each later start."""
        self.budgets[key] = self.judge.limits[key] = calls, window
        for node in self.nodes.values():
            if node.peer is not None:
                node.peer.shares.budget(key, calls, window)

    def seeds_of(self, name: str) -> dict[str, tuple[str, int]]:
        """Addresses of the seed members that a courier may be configured with."""
        return self._seeds

    def start(self, name: str, keep_state: bool = True) -> None:
        """Start a process, in place of any that runs; without ``keep_state`` it has lost its saved loans."""
        node = self.node(name)
        if not keep_state:
            node.saved_loans = None
        node.life = max(node.life + 1, self.now // MS + 1)
        broker_addresses = {broker.name: broker.address for broker in self.brokers.values()}
        node.paused_until, node.queued = 0, []
        if name in self.brokers:
            node.broker = Broker(
                BrokerAbout(name, node.region, node.address, node.life, [KEY], broker_addresses, len(self.nodes)),
                node.clock(self.now),
                self.random.randrange(1 << 30),
            )
            self._tick(node, node.broker)
            return
        seeds = {
            seed: address
            for seed, address in self.seeds_of(name).items()
            if name in self.old or self.nodes[seed].group == node.group
        }
        config = About(
            name,
            node.address,
            node.life,
            [KEY],
            seeds,
            Terms(len(self.nodes), node.number, **self.terms),  # type: ignore[arg-type]
            self.bytes_a_second,
            self.period,
            step=self.step,
            **(
                {}
                if name in self.old
                # type: ignore[arg-type]
                else {"group": node.group, "region": node.region, "brokers": broker_addresses}
            ),
        )

        def persist(lent: dict[str, int]) -> bool:
            node.saved_loans = dict(lent)
            return True

        node.peer = Peer(config, node.clock(self.now), self.random.randrange(1 << 30), node.saved_loans, persist)
        for key, (calls, window) in self.budgets.items():
            node.peer.shares.budget(key, calls, window)
        node.peer.judgements.routes(dict(self.dests.get(name, {})))
        self._tick(node, node.peer)

    def node(self, name: str) -> Node:
        """The node of a courier or a broker."""
        return self.nodes.get(name) or self.brokers[name]

    def kill(self, name: str) -> None:
        """End a process at once, as SIGKILL does."""
        self.node(name).peer = self.node(name).broker = None

    def stop(self, name: str, duration: int) -> None:
        """Pause a process for a duration, as SIGSTOP and a later SIGCONT do."""
        self.node(name).paused_until = self.now + duration

    def concerns(self, name: str, routes: dict[str, int]) -> None:
        """Set the endpoints that a courier uses, with their destinations, for now and after restarts."""
        self.dests[name] = routes
        peer = self.nodes[name].peer
        if peer is not None:
            peer.judgements.routes(dict(routes))

    def _tick(self, node: Node, process: Peer | Broker) -> None:
        if node.process() is not process:
            return
        if node.paused_until > self.now:
            self.at(node.paused_until, lambda: self._tick(node, process))
            return
        for data in node.queued:
            self._out(node, process.hear(data, node.clock(self.now)))
        node.queued = []
        if node.lies is not None:
            node.lies(node, self.now)
        if isinstance(process, Peer):
            process.interest(self.dests.get(node.name, {}).values(), node.clock(self.now))
            if node.before_tick is not None:
                node.before_tick(node, process)
        self._out(node, process.tick(node.clock(self.now)))
        self.at(self.now + TICK + self.random.randrange(TICK_JITTER), lambda: self._tick(node, process))

    def call(self, name: str, key: str) -> bool:
        """Make a call if the courier's share of the budget allows it; a paused courier makes none."""
        node = self.nodes[name]
        if node.peer is None or node.paused_until > self.now:
            return False
        if not node.peer.shares.spend(key, node.clock(self.now)):
            return False
        self.judge.call(self.now, name, key)
        return True

    # Network

    def _out(self, node: Node, datagrams: Datagrams) -> None:
        process = node.process()
        if process is not None:
            self.events += [(self.now, node.name, event, fields) for event, fields in process.events]
            process.events = []
        for address, data in datagrams:
            receiver = self._by_address.get(address)
            if receiver is not None:
                self.send(node.name, receiver, data)

    def send(self, sender: str, receiver: Node, data: bytes) -> None:
        """Send a datagram: it is lost, or arrives after a delay, once or twice."""
        if self.cut(sender, receiver.name) or self.random.random() < self.faults.loss:
            return
        for _ in range(2 if self.random.random() < self.faults.double else 1):
            self.at(self.now + self.random.randint(*self.faults.delay), lambda: self._deliver(receiver, data))

    def _deliver(self, receiver: Node, data: bytes) -> None:
        process = receiver.process()
        if process is None:
            return
        if receiver.paused_until > self.now:
            receiver.queued.append(data)
            return
        self._out(receiver, process.hear(data, receiver.clock(self.now)))


class Traffic:
    """Messages for one budget at each courier: they wait for a permitted call, or are abandoned after a timeout.

    Arrivals are a Poisson process; ``rates`` gives messages per second by courier.
    """

    def __init__(self, net: Net, key: str, rates: dict[str, float], timeout: int = 4 * SECOND) -> None:
        self.net, self.key, self.rates, self.timeout = net, key, dict(rates), timeout
        self.waiting: dict[str, deque[int]] = {name: deque() for name in rates}
        self.since = 0  # messages that arrived earlier are not counted
        self.came = self.served = 0
        for name in rates:
            self._next(name)
            self._call_waiting(name)

    def _next(self, name: str) -> None:
        if self.rates[name] > 0:
            self.net.at(
                self.net.now + int(self.net.random.expovariate(self.rates[name]) * SECOND), lambda: self._arrive(name)
            )

    def _arrive(self, name: str) -> None:
        self.came += self.net.now >= self.since
        self.waiting[name].append(self.net.now)
        self._next(name)

    def _call_waiting(self, name: str) -> None:
        waiting, node = self.waiting[name], self.net.nodes[name]
        while waiting and waiting[0] < self.net.now - self.timeout:
            waiting.popleft()
        while waiting and self.net.call(name, self.key):
            self.served += waiting.popleft() >= self.since
        if node.peer is not None and node.paused_until <= self.net.now:
            node.peer.shares.lacks(self.key, len(waiting), float(len(waiting)), node.clock(self.net.now))
        self.net.at(self.net.now + CALL_INTERVAL, lambda: self._call_waiting(name))
