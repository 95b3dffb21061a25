"""A modelled network with a stepped clock: many couriers' pure modules, from one seed, without processes.

Real time is the model's; each courier reads it through a clock of its own, with an offset and a drift. What is sent
is lost, late, doubled and out of order as the model is told, by direction. Couriers stop, end and start again, with
their folder or without. The judge of budgets is apart from them: it counts calls in real time.

Brokers are nodes beside the couriers, with regions; where there are any, each courier is told all of them, its region
and its group, unless it is an ``old`` one, which is told of none.
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
KEY = b"a key for the model's couriers.."


@dataclass(slots=True)
class Faults:
    """What happens to datagrams: shares of them, and times in microseconds."""

    loss: float = 0.0
    double: float = 0.0
    delay: tuple[int, int] = (1 * MS, 5 * MS)


@dataclass(slots=True)
class Node:
    """One courier of the model, or a broker."""

    name: str
    number: int
    address: tuple[str, int]
    rate: float  # of its clock
    offset: int
    peer: Peer | None = None
    life: int = 0
    folder: dict[str, int] | None = None  # the most that it had out, as kept
    stopped_until: int = 0
    waiting: list[bytes] = field(default_factory=list)  # arrived while it was stopped
    lies: Callable[[Node, int], None] | None = None
    group: str = ""
    region: str = ""
    turn: Callable[[Node, Peer], None] | None = None  # what it does beside, before each tick
    broker: Broker | None = None

    def process(self) -> Peer | Broker | None:
        """What runs there."""
        return self.peer or self.broker

    def clock(self, real: int) -> int:
        """Its own clock at this time."""
        return int(real * self.rate) + self.offset


class Judge:
    """Counts all couriers' calls by budget, in real time: more than the budget in a span is a fault."""

    def __init__(self) -> None:
        self.limits: dict[str, tuple[int, int]] = {}
        self.most: dict[str, int] = defaultdict(int)
        self.calls: dict[str, int] = defaultdict(int)
        self.by: dict[tuple[str, str], int] = defaultdict(int)
        self.faults: list[tuple[int, str, int]] = []
        self._times: dict[str, deque[int]] = defaultdict(deque)

    def call(self, now: int, name: str, key: str) -> None:
        """One call."""
        calls, span = self.limits[key]
        times = self._times[key]
        times.append(now)
        while times[0] <= now - span:
            times.popleft()
        self.calls[key] += 1
        self.by[(name, key)] += 1
        self.most[key] = max(self.most[key], len(times))
        if len(times) > calls:
            self.faults.append((now, key, len(times)))


class Net:
    """The couriers, what is between them, and time."""

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
        """``brokers``: how many in each region; ``place``: of a courier by its number, its region and its group.

        ``step``: between couriers that try an endpoint which is out. ``seeds`` are of each group, where there are any.
        """
        self.random = Random(seed)
        self.now = 0
        self.faults = faults or Faults()
        self.cut: Callable[[str, str], bool] = lambda sender, to: False  # whether nothing gets through, by direction
        self.judge = Judge()
        self.terms, self.bytes_a_second, self.step, self.period = terms or {}, bytes_a_second, step, period
        self.events: list[tuple[int, str, str, dict[str, object]]] = []  # (when, who, event, fields)
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
        first: dict[str, int] = defaultdict(int)
        self._seeds: dict[str, tuple[str, int]] = {}
        for node in self.nodes.values():
            first[node.group] += 1
            if first[node.group] <= seeds:
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
        self.old: set[str] = set()  # couriers that know neither groups nor brokers
        self.dests: dict[str, dict[str, int]] = {}  # by courier: what it has to do with, endpoints with destinations
        self._by_address = {node.address: node for node in [*self.nodes.values(), *self.brokers.values()]}
        self.budgets: dict[str, tuple[int, int]] = {}

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Call at that real time."""
        heapq.heappush(self._queue, (max(when, self.now), next(self._order), call))

    def run(self, until: int) -> None:
        """Let time pass up to then."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    # Couriers

    def budget(self, key: str, calls: int, span: int = SECOND) -> None:
        """A budget that all couriers are told, now and at their starts."""
        self.budgets[key] = self.judge.limits[key] = calls, span
        for node in self.nodes.values():
            if node.peer is not None:
                node.peer.shares.budget(key, calls, span)

    def seeds_of(self, name: str) -> dict[str, tuple[str, int]]:
        """Whom a courier is told of."""
        return self._seeds

    def start(self, name: str, folder: bool = True) -> None:
        """A process of this name begins; without its folder it knows nothing of its former lives."""
        node = self.node(name)
        if not folder:
            node.folder = None
        node.life = max(node.life + 1, self.now // MS + 1)
        told = {broker.name: broker.address for broker in self.brokers.values()}
        node.stopped_until, node.waiting = 0, []
        if name in self.brokers:
            node.broker = Broker(
                BrokerAbout(name, node.region, node.address, node.life, [KEY], told, len(self.nodes)),
                node.clock(self.now),
                self.random.randrange(1 << 30),
            )
            self._ticks(node, node.broker)
            return
        seeds = {
            each: address
            for each, address in self.seeds_of(name).items()
            if name in self.old or self.nodes[each].group == node.group
        }
        about = About(
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
                else {"group": node.group, "region": node.region, "brokers": told}
            ),
        )

        def keep(lent: dict[str, int]) -> bool:
            node.folder = dict(lent)
            return True

        node.peer = Peer(about, node.clock(self.now), self.random.randrange(1 << 30), node.folder, keep)
        for key, (calls, span) in self.budgets.items():
            node.peer.shares.budget(key, calls, span)
        node.peer.judgements.routes(dict(self.dests.get(name, {})))
        self._ticks(node, node.peer)

    def node(self, name: str) -> Node:
        """A courier or a broker."""
        return self.nodes.get(name) or self.brokers[name]

    def kill(self, name: str) -> None:
        """SIGKILL."""
        self.node(name).peer = self.node(name).broker = None

    def stop(self, name: str, span: int) -> None:
        """SIGSTOP, and SIGCONT so much later."""
        self.node(name).stopped_until = self.now + span

    def concerns(self, name: str, routes: dict[str, int]) -> None:
        """What this courier has to do with from now on, also after a start: endpoints, with their destinations."""
        self.dests[name] = routes
        peer = self.nodes[name].peer
        if peer is not None:
            peer.judgements.routes(dict(routes))

    def _ticks(self, node: Node, peer: Peer | Broker) -> None:
        if node.process() is not peer:
            return
        if node.stopped_until > self.now:
            self.at(node.stopped_until, lambda: self._ticks(node, peer))
            return
        for data in node.waiting:
            self._out(node, peer.hear(data, node.clock(self.now)))
        node.waiting = []
        if node.lies is not None:
            node.lies(node, self.now)
        if isinstance(peer, Peer):
            peer.interest(self.dests.get(node.name, {}).values(), node.clock(self.now))
            if node.turn is not None:
                node.turn(node, peer)
        self._out(node, peer.tick(node.clock(self.now)))
        self.at(self.now + TICK + self.random.randrange(5 * MS), lambda: self._ticks(node, peer))

    def call(self, name: str, key: str) -> bool:
        """One call, if the courier allows itself one. A stopped one does nothing."""
        node = self.nodes[name]
        if node.peer is None or node.stopped_until > self.now:
            return False
        if not node.peer.shares.spend(key, node.clock(self.now)):
            return False
        self.judge.call(self.now, name, key)
        return True

    # What is between them

    def _out(self, node: Node, datagrams: Datagrams) -> None:
        process = node.process()
        if process is not None:
            self.events += [(self.now, node.name, event, fields) for event, fields in process.events]
            process.events = []
        for address, data in datagrams:
            to = self._by_address.get(address)
            if to is not None:
                self.send(node.name, to, data)

    def send(self, sender: str, to: Node, data: bytes) -> None:
        """A datagram on its way, or lost."""
        if self.cut(sender, to.name) or self.random.random() < self.faults.loss:
            return
        for _ in range(2 if self.random.random() < self.faults.double else 1):
            self.at(self.now + self.random.randint(*self.faults.delay), lambda: self._arrive(to, data))

    def _arrive(self, to: Node, data: bytes) -> None:
        process = to.process()
        if process is None:
            return
        if to.stopped_until > self.now:
            to.waiting.append(data)
            return
        self._out(to, process.hear(data, to.clock(self.now)))


class Traffic:
    """Messages for one budget at each courier: they wait, are called for when that is allowed, and are given up."""

    def __init__(self, net: Net, key: str, rates: dict[str, float], patience: int = 4 * SECOND) -> None:
        self.net, self.key, self.rates, self.patience = net, key, dict(rates), patience
        self.waiting: dict[str, deque[int]] = {name: deque() for name in rates}
        self.since = 0  # messages that came earlier are not counted
        self.came = self.served = 0
        for name in rates:
            self._next(name)
            self._pump(name)

    def _next(self, name: str) -> None:
        if self.rates[name] > 0:
            self.net.at(
                self.net.now + int(self.net.random.expovariate(self.rates[name]) * SECOND), lambda: self._come(name)
            )

    def _come(self, name: str) -> None:
        self.came += self.net.now >= self.since
        self.waiting[name].append(self.net.now)
        self._next(name)

    def _pump(self, name: str) -> None:
        waiting, node = self.waiting[name], self.net.nodes[name]
        while waiting and waiting[0] < self.net.now - self.patience:
            waiting.popleft()
        while waiting and self.net.call(name, self.key):
            self.served += waiting.popleft() >= self.since
        if node.peer is not None and node.stopped_until <= self.net.now:
            node.peer.shares.lacks(self.key, len(waiting), float(len(waiting)), node.clock(self.net.now))
        self.net.at(self.net.now + 20 * MS, lambda: self._pump(name))
