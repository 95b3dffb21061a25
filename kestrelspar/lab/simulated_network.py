"""Discrete-event simulation of a network of couriers and brokers, deterministic for one seed, in one process.

It runs the I/O-free peer modules of many couriers. "Real time" is the clock of the simulation, in microseconds; each
node reads it through a local clock with an offset and a drift. Datagrams are lost, delayed, duplicated and reordered as
configured, and can be cut off in one direction. Nodes can be paused, killed and restarted, with or without their saved
state. The budget checker is independent of the couriers: it counts their calls in real time.

Brokers are nodes beside the couriers and belong to regions. Each courier is configured with all brokers, its region and
its group, except for the couriers in ``SimulatedNetwork.pre_broker_couriers``, which run without groups and brokers.
"""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from kestrelspar.peers.brokers import Broker, BrokerConfig
from kestrelspar.peers.peer import Datagrams, Peer, PeerConfig
from kestrelspar.peers.shares import LoanTerms

MS, SECOND = 1_000, 1_000_000
TICK_INTERVAL = 50 * MS
TICK_JITTER = 5 * MS  # upper bound of the random time added to each interval
CALL_INTERVAL = 20 * MS  # between a courier's attempts to make calls for waiting messages
KEY = b"a key for the model's couriers.."


@dataclass(slots=True)
class Faults:
    """Faults of all datagrams."""

    loss: float = 0.0  # share that is lost
    duplicate: float = 0.0  # share that arrives twice
    delay: tuple[int, int] = (1 * MS, 5 * MS)  # bounds of the random delay of each copy, in microseconds


@dataclass(slots=True)
class Node:
    """A simulated host: it runs a courier or a broker."""

    name: str
    number: int  # of a courier: its position among all; 0 for each broker
    address: tuple[str, int]
    clock_rate: float  # microseconds of the local clock in one microsecond of real time
    clock_offset: int  # microseconds
    peer: Peer | None = None  # the running courier
    epoch: int = 0
    saved_loans: dict[str, int] | None = None  # the courier's state on disk: by budget, the most that was lent
    paused_until: int = 0  # real time; 0: never paused since its start
    queued: list[bytes] = field(default_factory=list)  # datagrams that arrived during a pause, read at the next tick
    # Behaviour of a lying node: called before each tick, with the node and the real time.
    byzantine_behavior: Callable[[Node, int], None] | None = None
    group: str = ""  # of a courier; "": the whole fleet is one group
    region: str = ""
    before_tick: Callable[[Node, Peer], None] | None = None  # the workload of a courier, called before each tick
    broker: Broker | None = None  # the running broker

    def process(self) -> Peer | Broker | None:
        """The running courier or broker, if any."""
        return self.peer or self.broker

    def clock(self, real: int) -> int:
        """The node's local time at the given real time."""
        return int(real * self.clock_rate) + self.clock_offset


class BudgetChecker:
    """Counts the calls of all couriers by budget, in real time; more than the budget in one window is a violation."""

    def __init__(self) -> None:
        self.limits: dict[str, tuple[int, int]] = {}  # by budget: calls, and window in microseconds
        self.max_calls: dict[str, int] = defaultdict(int)  # by budget: the most calls in any window
        self.calls: dict[str, int] = defaultdict(int)  # by budget
        self.calls_by_courier: dict[tuple[str, str], int] = defaultdict(int)  # by courier and budget
        self.violations: list[tuple[int, str, int]] = []  # time, budget, and number of calls in the window
        self._times: dict[str, deque[int]] = defaultdict(deque)  # by budget: times of the calls in the current window

    def call(self, now: int, name: str, key: str) -> None:
        """Record a call of a courier under a budget."""
        calls, window = self.limits[key]
        times = self._times[key]
        times.append(now)
        while times[0] <= now - window:
            times.popleft()
        self.calls[key] += 1
        self.calls_by_courier[(name, key)] += 1
        self.max_calls[key] = max(self.max_calls[key], len(times))
        if len(times) > calls:
            self.violations.append((now, key, len(times)))


class SimulatedNetwork:
    """The simulated couriers and brokers, the network between them, and the event queue."""

    def __init__(
        self,
        couriers: int,
        seed: int,
        faults: Faults | None = None,
        drift: float = 0.0,
        loan_terms: dict[str, float] | None = None,
        bytes_per_second: int = 50_000,
        seeds: int = 3,
        brokers: dict[str, int] | None = None,
        placement: Callable[[int], tuple[str, str]] | None = None,
        probe_interval: int = SECOND,
        period: int = SECOND,
    ) -> None:
        """``drift``: largest deviation of a clock's rate from 1. ``loan_terms``: further arguments of ``LoanTerms``.

        ``bytes_per_second``: bandwidth limit of each courier. ``brokers``: number of brokers by region. ``placement``:
        returns region and group for a courier's number. ``probe_interval``: interval between the couriers' probes of
        an endpoint that is down. ``period``: interval of the membership probes. ``seeds``: number of seed members of
        each group; without groups, of the whole fleet.
        """
        self.random = Random(seed)
        self.now = 0
        self.faults = faults or Faults()
        # Whether datagrams from one node (the first name) to another are cut off.
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.budget_checker = BudgetChecker()
        self.loan_terms, self.bytes_per_second, self.probe_interval, self.period = (
            loan_terms or {},
            bytes_per_second,
            probe_interval,
            period,
        )
        self.events: list[tuple[int, str, str, dict[str, object]]] = []  # (real time, node, event, fields)
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Callable[[], None]]] = []  # heap of (real time, order of scheduling, call)
        self.nodes = {
            f"n{i}": Node(
                f"n{i}", i, ("10.0.0.1", 1000 + i), 1 + self.random.uniform(-drift, drift), self.random.randrange(10**9)
            )
            for i in range(couriers)
        }
        if placement is not None:
            for node in self.nodes.values():
                node.region, node.group = placement(node.number)
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
        self.pre_broker_couriers: set[str] = set()  # couriers that run without groups and brokers
        # By courier, then by endpoint that it uses: the endpoint's destination.
        self.endpoints_by_courier: dict[str, dict[str, int]] = {}
        self._by_address = {node.address: node for node in [*self.nodes.values(), *self.brokers.values()]}
        self.budgets: dict[str, tuple[int, int]] = {}

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Schedule a call at a real time, or as soon as possible if that has passed."""
        heapq.heappush(self._queue, (max(when, self.now), next(self._order), call))

    def run(self, until: int) -> None:
        """Advance the simulation to a real time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    # Couriers

    def budget(self, key: str, calls: int, window: int = SECOND) -> None:
        """Configure a budget of ``calls`` in any ``window`` at all couriers, now and at each later start."""
        self.budgets[key] = self.budget_checker.limits[key] = calls, window
        for node in self.nodes.values():
            if node.peer is not None:
                node.peer.shares.set_budget(key, calls, window)

    def seeds_of(self, name: str) -> dict[str, tuple[str, int]]:
        """Addresses of the seed members for courier ``name``.

        Here they are those of all groups, of which ``start`` uses the ones of the courier's group. A subclass may
        return those alone.
        """
        return self._seeds

    def start(self, name: str, keep_state: bool = True) -> None:
        """Start a courier or broker, in place of its process if one runs.

        Without ``keep_state`` a courier starts without its saved loans.
        """
        node = self.node(name)
        if not keep_state:
            node.saved_loans = None
        node.epoch = max(node.epoch + 1, self.now // MS + 1)
        broker_addresses = {broker.name: broker.address for broker in self.brokers.values()}
        node.paused_until, node.queued = 0, []
        if name in self.brokers:
            node.broker = Broker(
                BrokerConfig(name, node.region, node.address, node.epoch, [KEY], broker_addresses, len(self.nodes)),
                node.clock(self.now),
                self.random.randrange(1 << 30),
            )
            self._tick(node, node.broker)
            return
        seeds = {
            seed: address
            for seed, address in self.seeds_of(name).items()
            if name in self.pre_broker_couriers or self.nodes[seed].group == node.group
        }
        config = PeerConfig(
            name,
            node.address,
            node.epoch,
            [KEY],
            seeds,
            LoanTerms(len(self.nodes), node.number, **self.loan_terms),  # type: ignore[arg-type]
            self.bytes_per_second,
            self.period,
            probe_interval=self.probe_interval,
            **(
                {}
                if name in self.pre_broker_couriers
                # type: ignore[arg-type]
                else {"group": node.group, "region": node.region, "brokers": broker_addresses}
            ),
        )

        def persist(lent: dict[str, int]) -> bool:
            node.saved_loans = dict(lent)
            return True

        node.peer = Peer(config, node.clock(self.now), self.random.randrange(1 << 30), node.saved_loans, persist)
        for key, (calls, window) in self.budgets.items():
            node.peer.shares.set_budget(key, calls, window)
        node.peer.observations.set_routes(dict(self.endpoints_by_courier.get(name, {})))
        self._tick(node, node.peer)

    def node(self, name: str) -> Node:
        """The node of a courier or a broker."""
        return self.nodes.get(name) or self.brokers[name]

    def kill(self, name: str) -> None:
        """End a process at once, as SIGKILL does."""
        self.node(name).peer = self.node(name).broker = None

    def pause(self, name: str, duration: int) -> None:
        """Pause a process for a duration, as SIGSTOP and a later SIGCONT do."""
        self.node(name).paused_until = self.now + duration

    def set_endpoints(self, name: str, routes: dict[str, int]) -> None:
        """Set the endpoints that a courier uses, with their destinations, now and at each later start."""
        self.endpoints_by_courier[name] = routes
        peer = self.nodes[name].peer
        if peer is not None:
            peer.observations.set_routes(dict(routes))

    def _tick(self, node: Node, process: Peer | Broker) -> None:
        if node.process() is not process:
            return
        if node.paused_until > self.now:
            self.at(node.paused_until, lambda: self._tick(node, process))
            return
        for data in node.queued:
            self._send_all(node, process.receive(data, node.clock(self.now)))
        node.queued = []
        if node.byzantine_behavior is not None:
            node.byzantine_behavior(node, self.now)
        if isinstance(process, Peer):
            process.record_interest(self.endpoints_by_courier.get(node.name, {}).values(), node.clock(self.now))
            if node.before_tick is not None:
                node.before_tick(node, process)
        self._send_all(node, process.tick(node.clock(self.now)))
        self.at(self.now + TICK_INTERVAL + self.random.randrange(TICK_JITTER), lambda: self._tick(node, process))

    def call(self, name: str, key: str) -> bool:
        """Make a call if the courier runs, isn't paused and has it left in its share; return whether it was made."""
        node = self.nodes[name]
        if node.peer is None or node.paused_until > self.now:
            return False
        if not node.peer.shares.try_call(key, node.clock(self.now)):
            return False
        self.budget_checker.call(self.now, name, key)
        return True

    # Network

    def _send_all(self, node: Node, datagrams: Datagrams) -> None:
        process = node.process()
        if process is not None:
            self.events += [(self.now, node.name, event, fields) for event, fields in process.events]
            process.events = []
        for address, data in datagrams:
            receiver = self._by_address.get(address)
            if receiver is not None:
                self.send(node.name, receiver, data)

    def send(self, sender: str, receiver: Node, data: bytes) -> None:
        """Send a datagram: it is lost, or arrives once or twice, each copy after a delay of its own."""
        if self.cut(sender, receiver.name) or self.random.random() < self.faults.loss:
            return
        for _ in range(2 if self.random.random() < self.faults.duplicate else 1):
            self.at(self.now + self.random.randint(*self.faults.delay), lambda: self._deliver(receiver, data))

    def _deliver(self, receiver: Node, data: bytes) -> None:
        process = receiver.process()
        if process is None:
            return
        if receiver.paused_until > self.now:
            receiver.queued.append(data)
            return
        self._send_all(receiver, process.receive(data, receiver.clock(self.now)))


class Traffic:
    """Messages whose calls are charged to one budget.

    A message waits at its courier until the courier's share of the budget allows a call; it is abandoned after
    ``timeout`` microseconds. Arrivals at each courier are a Poisson process; ``rates`` has messages per second by
    courier, where 0 means that none arrive. They also arrive and wait while the courier is paused or killed.
    """

    def __init__(self, net: SimulatedNetwork, key: str, rates: dict[str, float], timeout: int = 4 * SECOND) -> None:
        self.net, self.key, self.rates, self.timeout = net, key, dict(rates), timeout
        self.waiting: dict[str, deque[int]] = {name: deque() for name in rates}
        self.count_from = 0  # real time; messages that arrived earlier count neither as arrived nor as served
        self.arrived = self.served = 0
        for name in rates:
            self._schedule_arrival(name)
            self._call_waiting(name)

    def _schedule_arrival(self, name: str) -> None:
        if self.rates[name] > 0:
            self.net.at(
                self.net.now + int(self.net.random.expovariate(self.rates[name]) * SECOND), lambda: self._arrive(name)
            )

    def _arrive(self, name: str) -> None:
        self.arrived += self.net.now >= self.count_from
        self.waiting[name].append(self.net.now)
        self._schedule_arrival(name)

    def _call_waiting(self, name: str) -> None:
        waiting, node = self.waiting[name], self.net.nodes[name]
        while waiting and waiting[0] < self.net.now - self.timeout:
            waiting.popleft()
        while waiting and self.net.call(name, self.key):
            self.served += waiting.popleft() >= self.count_from
        if node.peer is not None and node.paused_until <= self.net.now:
            node.peer.shares.set_shortfall(self.key, len(waiting), float(len(waiting)), node.clock(self.net.now))
        self.net.at(self.net.now + CALL_INTERVAL, lambda: self._call_waiting(name))
