"""Simulated runs of couriers in zones with brokers, each with one fault, and their checkers. See simulated_network.py.

Couriers call the endpoints that they use, report what they observe, and avoid endpoints that others report as failing.
The checkers know which endpoints are really up, and check that:

- a budget is never exceeded, see ``simulated_network.BudgetChecker``;
- no courier declares another dead; not checked where datagrams are lost, nodes are paused, cut off or lying, or half of
  the couriers restart at once with their configuration unchanged;
- reports of other couriers never make a courier close all routes of a destination, more than half of all the routes
  that it uses, or any route for longer than ``MAX_CLOSED_TIME``;
- without a liar, no courier keeps a route closed by such reports if its endpoint has been up for ``MAX_STALE_TIME``;
- a single lying (Byzantine) courier or broker closes routes for at most ``MAX_WAIT``, and is distrusted in the end: no
  route is closed in the last 3 s of the run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from kestrelspar.lab.simulated_network import MS, SECOND, Faults, Node, SimulatedNetwork, Traffic
from kestrelspar.peers.brokers import Broker
from kestrelspar.peers.messages import (
    ForwardedObservation,
    Observation,
    PeerMessage,
    PublishObservation,
    RelayedObservation,
)
from kestrelspar.peers.observations import (
    MAX_PROBE_RANK,
    OUTAGE_REPORT_MAX_AGE,
    CallOutcome,
    ObservationKind,
    RouteRestriction,
)
from kestrelspar.peers.peer import Peer

PROBE_INTERVAL = 200 * MS  # between the couriers' probes of an endpoint that is down
MAX_WAIT = 2 * SECOND  # longest retry-after delay
# The longest time ahead for which reports may close a route.
MAX_CLOSED_TIME = max(MAX_WAIT, MAX_PROBE_RANK * PROBE_INTERVAL, OUTAGE_REPORT_MAX_AGE)
# An endpoint that has been up for this long is closed at no courier.
MAX_STALE_TIME = OUTAGE_REPORT_MAX_AGE + MAX_PROBE_RANK * PROBE_INTERVAL + SECOND
# Shortest interval between a courier's calls for one destination, to which up to a quarter is added at random; latency
# of a failed and of a successful call.
CALL_INTERVAL, FAILURE_TIME, SUCCESS_TIME = 200 * MS, 60 * MS, 10 * MS
OWN_CLOSED_TIME = 400 * MS  # how long a courier avoids an endpoint after its own failed call
CHECK_INTERVAL = 250 * MS
RUN_DURATION = 14 * SECOND
BUDGET_KEY, BUDGET_CALLS = "e:x", 60  # calls per second
RESTRICTIONS_CACHE_TIME = 50 * MS  # restrictions are read again at this interval, as by a real courier


@dataclass(slots=True)
class World:
    """The simulated network, the real state of the endpoints, and the checkers' results."""

    net: SimulatedNetwork
    endpoints: dict[str, int]  # by endpoint: the number of its destination
    down: dict[str, tuple[int, int]] = field(default_factory=dict)  # by endpoint: begin and end of its outage
    honest: set[str] = field(default_factory=set)
    has_liar: bool = False
    violations: list[str] = field(default_factory=list)
    # Calls served, calls failed, calls not made for lack of an open route, and checks of single couriers that found a
    # route closed by reports.
    counts: Counter[str] = field(default_factory=Counter)
    last_closed_at: int = 0  # when a check last found a route closed by reports
    # By courier and endpoint: until when the courier avoids it after its own failed call.
    own_closed: dict[tuple[str, str], int] = field(default_factory=dict)
    # By courier: its cached restrictions, and when they were read.
    restrictions: dict[str, tuple[int, dict[str, RouteRestriction]]] = field(default_factory=dict)

    def up(self, endpoint: str, since: int) -> bool:
        """Whether an endpoint has been up from ``since`` until now."""
        begin, end = self.down.get(endpoint, (0, 0))
        return end <= since or begin > self.net.now

    def restrictions_of(self, node: Node, peer: Peer) -> dict[str, RouteRestriction]:
        """A courier's restrictions by reports of others, cached for ``RESTRICTIONS_CACHE_TIME``."""
        read_at, restrictions = self.restrictions.get(node.name, (-SECOND, {}))
        if self.net.now - read_at >= RESTRICTIONS_CACHE_TIME:
            now = node.clock(self.net.now)
            closed = [
                name for name in peer.observations._routes if self.own_closed.get((node.name, name), 0) > self.net.now
            ]
            peer.observations.set_routes(peer.observations._routes, closed)
            restrictions = peer.observations.restrictions(now, peer.members.alive())
            self.restrictions[node.name] = self.net.now, restrictions
        return restrictions

    def call(self, name: str, dest: int) -> None:
        """Schedule the next call for a destination; make one by one of its open routes, if the courier runs."""
        net, node = self.net, self.net.nodes[name]
        net.at(net.now + CALL_INTERVAL + net.random.randrange(CALL_INTERVAL // 4), lambda: self.call(name, dest))
        peer = node.peer
        if peer is None or node.paused_until > net.now:
            return
        restrictions, now = self.restrictions_of(node, peer), node.clock(net.now)
        candidates = [route for route, destination in peer.observations._routes.items() if destination == dest]
        available = [
            route
            for route in candidates
            if self.own_closed.get((name, route), 0) <= net.now
            and (route not in restrictions or restrictions[route].one_at_a_time or restrictions[route].until <= now)
        ]
        if not available:
            self.counts["none free"] += 1
            return
        endpoint = net.random.choice(available)
        success = self.up(endpoint, net.now)
        self.counts["served" if success else "failed"] += 1

        def record_outcome() -> None:
            if node.peer is not peer or node.paused_until > net.now:
                return
            if not success:
                self.own_closed[(name, endpoint)] = net.now + OWN_CLOSED_TIME
            peer.observations.record_call(
                endpoint, CallOutcome.SERVED if success else CallOutcome.FAILED, now, node.clock(net.now)
            )

        net.at(net.now + (SUCCESS_TIME if success else FAILURE_TIME), record_outcome)

    def check(self) -> None:
        """Check the restrictions of all honest couriers that run and aren't paused, and schedule the next check."""
        self.net.at(self.net.now + CHECK_INTERVAL, self.check)
        for name in self.honest:
            node = self.net.nodes[name]
            if node.peer is None or node.paused_until > self.net.now:
                continue
            now = node.clock(self.net.now)
            restrictions = node.peer.observations.restrictions(now, node.peer.members.alive())
            closed = {
                route
                for route, restriction in restrictions.items()
                if not restriction.one_at_a_time and restriction.until > now
            }
            routes = node.peer.observations._routes
            if not closed:
                continue
            self.last_closed_at = self.net.now
            self.counts["looks with something left alone"] += 1
            if len(closed) > len(routes) // 2:
                self.violations.append(f"{self.net.now} {name}: {len(closed)} of {len(routes)} routes closed")
            for dest in {routes[route] for route in closed}:
                if closed >= {route for route, destination in routes.items() if destination == dest}:
                    self.violations.append(f"{self.net.now} {name}: all routes of destination {dest} closed")
            for route in closed:
                if restrictions[route].until > now + MAX_CLOSED_TIME + 2 * MS:
                    self.violations.append(
                        f"{self.net.now} {name}: {route} closed for too long, in us: {restrictions[route].until - now}"
                    )
                if not self.has_liar and self.up(route, self.net.now - MAX_STALE_TIME):
                    self.violations.append(f"{self.net.now} {name}: {route} closed, though it has been up for long")
                if self.has_liar and restrictions[route].until > now + MAX_WAIT:
                    self.violations.append(
                        f"{self.net.now} {name}: {route} closed by a liar for longer than the maximum wait"
                    )


def world(seed: int, couriers: int = 30, loss: float = 0.0, brokers: int = 3, without_brokers: bool = False) -> World:
    """Start couriers and brokers in three zones of two regions, with calls, checks, and traffic under one budget.

    There are six destinations with two endpoints each, and each courier uses three of them. ``brokers``: their number
    in each region. ``loss``: share of the datagrams that is lost. ``without_brokers``: all couriers start without
    groups and brokers, though the brokers run.
    """
    net = SimulatedNetwork(
        couriers,
        seed,
        Faults(loss=loss),
        0.001,
        bytes_per_second=17_000,
        seeds=2,
        probe_interval=PROBE_INTERVAL,
        brokers={"x": brokers, "y": brokers},
        placement=lambda n: ("y" if n % 3 == 2 else "x", f"z{n % 3}"),
    )
    created = World(net, {f"e{dest}.{k}": dest for dest in range(6) for k in (0, 1)}, honest=set(net.nodes))
    net.pre_broker_couriers = set(net.nodes) if without_brokers else set()
    net.budget(BUDGET_KEY, BUDGET_CALLS)
    for name in net.brokers:
        net.start(name)
    for name, node in net.nodes.items():
        dests = [(node.number // 3 + k) % 6 for k in (0, 1, 3)]
        net.set_endpoints(name, {endpoint: dest for endpoint, dest in created.endpoints.items() if dest in dests})
        net.start(name)
        for dest in dests:
            net.at(net.random.randrange(CALL_INTERVAL), lambda name=name, dest=dest: created.call(name, dest))  # type: ignore[misc]
    net.at(CHECK_INTERVAL, created.check)
    Traffic(net, BUDGET_KEY, {name: 6.0 if node.number % 3 else 0.5 for name, node in net.nodes.items()})
    return created


# Faults: each begins at 4 s


def _no_fault(w: World) -> None:
    pass


def _broker_killed(w: World) -> None:
    w.net.kill("x/b0")


def _broker_empty(w: World) -> None:
    for name in ("x/b0", "y/b1"):
        w.net.kill(name)
        w.net.start(name)


def _broker_stopped(w: World) -> None:
    w.net.pause("x/b1", 5 * SECOND)  # so that it is paused when endpoints go down at 5 s and 7 s
    w.net.pause("y/b1", 16 * SECOND)  # longer than its lease term, in runs that last long enough


def _cut(inside: Callable[[Node], bool], both: bool) -> Callable[[World], None]:
    """A fault that cuts off the nodes that are ``inside`` for 10 s: datagrams to them and, if ``both``, from them."""

    def begin(w: World) -> None:
        isolated = {node.name for node in [*w.net.nodes.values(), *w.net.brokers.values()] if inside(node)}
        w.net.cut = lambda sender, receiver: (
            sender not in isolated and receiver in isolated or both and sender in isolated and receiver not in isolated
        )
        w.net.at(w.net.now + 10 * SECOND, lambda: setattr(w.net, "cut", lambda sender, receiver: False))

    return begin


def _half_restarted(w: World) -> None:
    for name in list(w.net.nodes)[::2]:
        w.net.start(name)


def _rolling_upgrade(w: World) -> None:
    """Couriers restart one after the other, now with groups and brokers; the last one before the end of the run."""

    def upgrade(name: str) -> None:
        w.net.pre_broker_couriers.discard(name)
        w.net.start(name)

    for n, name in enumerate(w.net.nodes):
        w.net.at(w.net.now + n * 8 * SECOND // len(w.net.nodes), lambda name=name: upgrade(name))  # type: ignore[misc]


def _half_downgraded(w: World) -> None:
    """Half of the couriers restart without groups and brokers."""
    for name in list(w.net.nodes)[::2]:
        w.net.pre_broker_couriers.add(name)
        w.net.start(name)


def false_observations(n: int) -> list[Observation]:
    """The ``n``-th set of false observations, of one kind: each endpoint asks to wait, is down or is silent.

    In fact all endpoints are up. Sequence numbers rise from set to set, by far more than those of real observations.
    """
    kind = (ObservationKind.WAIT, ObservationKind.DOWN, ObservationKind.SILENT, ObservationKind.WAIT)[n % 4]
    return [Observation(f"e{dest}.{k}", kind, 0, 2_000, (n + 1) << 20) for dest in range(6) for k in (0, 1)]


def _lying_courier(w: World) -> None:
    """A courier sends false observations to the brokers of its region and its whole group, several times a second."""
    w.has_liar = True
    w.down = {}  # no outages, so that every closed route is due to the liar
    liar = w.net.nodes["n0"]
    w.honest.discard("n0")
    ticks = [0]

    def lie(node: Node, real: int) -> None:
        ticks[0] += 1
        peer = node.peer
        if peer is None or ticks[0] % 4:
            return
        observations = false_observations(ticks[0] // 4)
        published: list[PeerMessage] = [
            PublishObservation(int(observation.endpoint[1]), observation) for observation in observations
        ]
        messages_to = {name: published for name in w.net.brokers if w.net.brokers[name].region == node.region}
        messages_to |= {name: [*observations] for name in peer.members.alive()}
        w.net._send_all(
            node,
            [(w.net.node(name).address, peer.sealer.seal(name, messages)) for name, messages in messages_to.items()],
        )

    liar.byzantine_behavior = lie


def _lying_broker(w: World) -> None:
    """A broker sends observations of invented witnesses to its subscribers and to the other region's brokers."""
    w.has_liar = True
    w.down = {}  # no outages, so that every closed route is due to the liar
    ticks = [0]

    def lie(node: Node, real: int) -> None:
        ticks[0] += 1
        broker = node.broker
        if broker is None or ticks[0] % 4:
            return
        random, observations = w.net.random, false_observations(ticks[0] // 4)
        name_count = len(w.net.nodes) if ticks[0] % 8 else 1 << 30  # names of couriers, or mostly unknown ones
        datagrams = []
        for lease in list(broker._leases.values()):
            relayed: list[PeerMessage] = [
                RelayedObservation(
                    f"n{random.randrange(name_count)}",
                    random.randrange(len(w.net.nodes)),
                    1 << 50,  # an epoch above that of every real process
                    observation,
                    random.choice(("", "y/b0", "y/b2")),
                )
                for observation in observations
            ]
            datagrams.append((lease.address, broker.sealer.seal(lease.name, relayed)))
        for name, other in w.net.brokers.items():
            if other.region != node.region:
                forwarded: list[PeerMessage] = [
                    ForwardedObservation(
                        f"n{random.randrange(name_count)}",
                        random.randrange(len(w.net.nodes)),
                        1 << 50,  # as above
                        int(observation.endpoint[1]),
                        observation,
                    )
                    for observation in observations
                ]
                datagrams.append((other.address, broker.sealer.seal(name, forwarded)))
        w.net._send_all(node, datagrams)

    w.net.brokers["x/b0"].byzantine_behavior = lie


# By case: its fault, and the share of the datagrams that is lost.
CASES: dict[str, tuple[Callable[[World], None], float]] = {
    "calm": (_no_fault, 0.0),
    "a broker killed": (_broker_killed, 0.0),
    "brokers started empty": (_broker_empty, 0.0),
    "brokers stopped, one beyond its term": (_broker_stopped, 0.0),
    "a zone hears nothing for 10 s": (_cut(lambda node: node.group == "z0", False), 0.0),
    "a zone is cut off for 10 s": (_cut(lambda node: node.group == "z0", True), 0.0),
    "regions lose each other": (_cut(lambda node: node.region == "y", True), 0.0),
    "half of the couriers restarted at once": (_half_restarted, 0.0),
    "turned over one by one": (_rolling_upgrade, 0.0),
    "half go back to knowing no brokers": (_half_downgraded, 0.0),
    "a lying courier": (_lying_courier, 0.0),
    "a lying broker": (_lying_broker, 0.0),
    "30 % lost": (_no_fault, 0.3),
}


def run_case(case: str, seed: int, couriers: int = 30, duration: int = RUN_DURATION) -> World:
    """Run one case to its end; ``violations`` of the result has what the checkers found.

    Of a budget, the first three violations are listed.
    """
    begin, loss = CASES[case]
    w = world(seed, couriers, loss, without_brokers=begin is _rolling_upgrade)
    random = w.net.random
    for n, when in enumerate((5 * SECOND, 7 * SECOND)):  # outages of two endpoints of different destinations
        w.down[f"e{2 * n}.{random.randrange(2)}"] = when, when + random.randrange(2, 5) * SECOND // 2
    w.net.at(4 * SECOND, lambda: begin(w))
    w.net.run(duration)
    w.violations += [
        f"{at}: {count} calls in one window of {BUDGET_KEY}" for at, key, count in w.net.budget_checker.violations[:3]
    ]
    declared_dead = {str(fields.get("peer")) for _, _, event, fields in w.net.events if event == "peers-dead"}
    if (
        declared_dead
        and begin in (_no_fault, _rolling_upgrade, _half_downgraded, _broker_killed, _broker_empty)
        and not loss
    ):
        w.violations.append(f"declared dead: {sorted(declared_dead)}")
    if w.has_liar and w.last_closed_at > duration - 3 * SECOND:
        w.violations.append(f"a liar still had a route closed at {w.last_closed_at}")
    return w


@dataclass(frozen=True, slots=True)
class Propagation:
    """How far, how fast and with how many bytes one courier's observation spread.

    The witness itself is none of the couriers counted here.
    """

    seconds: float  # until 99 % of the couriers that use the endpoint had received it; 20 if they had not within 5 s
    witness_bytes: int  # bytes of the datagrams that the witness sealed with nothing but observations
    broker_bytes: int  # bytes that all brokers sent in 5 s, including leases and probes
    share_after_3_s: float  # of the couriers that use the endpoint, the share that had received it after 3 s
    uninterested_receivers: int  # couriers that received it, but do not use the endpoint


def start_fleet(
    seed: int,
    members: int,
    group: int,
    user_count: int,
    loss: float = 0.0,
    without_brokers: bool = False,
    brokers: int = 3,
) -> tuple[SimulatedNetwork, list[str]]:
    """Run couriers in groups of two regions for 30 s; return the network, and the couriers that use destination 1.

    ``group``: number of couriers in a group; ``user_count``: number of couriers that use destination 1; ``brokers``:
    their number in each region; ``without_brokers``: couriers run without groups and brokers, though the brokers run.
    """
    groups = max(1, -(-members // group))
    net = SimulatedNetwork(
        members,
        seed,
        Faults(loss=loss),
        seeds=3,
        bytes_per_second=17_000,
        probe_interval=PROBE_INTERVAL,
        brokers={"x": brokers, "y": brokers},
        placement=lambda n: ("xy"[n % groups % 2], f"z{n % groups}"),
    )
    net.pre_broker_couriers = set(net.nodes) if without_brokers else set()
    users = [f"n{n * members // user_count}" for n in range(user_count)]
    for name in [*net.brokers, *net.nodes]:
        if name in net.nodes:
            net.set_endpoints(name, {"e": 1} if name in users else {"other": 2})
        net.start(name)
    net.run(30 * SECOND)
    return net, users


def measure_propagation(
    seed: int, members: int, group: int = 50, user_count: int = 8, loss: float = 0.0, without_brokers: bool = False
) -> Propagation:
    """Measure how the report of one failed call spreads.

    ``without_brokers``: without groups and brokers, so that each courier reports to all others.
    """
    net, users = start_fleet(seed, members, group, user_count, loss, without_brokers)
    witness = net.nodes[users[0]]
    assert witness.peer is not None
    begin, at, broker_bytes = net.now, witness.clock(net.now), sum(broker.sent for broker in running_brokers(net))
    seal, witness_bytes = witness.peer.sealer.seal, [0]

    def counting_seal(to: str, messages: list[PeerMessage]) -> bytes:
        data = seal(to, messages)
        if all(isinstance(message, (Observation, PublishObservation)) for message in messages):
            witness_bytes[0] += len(data)
        return data

    witness.peer.sealer.seal = counting_seal  # type: ignore[method-assign]
    witness.peer.observations.record_call("e", CallOutcome.FAILED, at, at)
    seconds, share_after_3_s = 20.0, 0.0
    while net.now < begin + 5 * SECOND:
        net.run(net.now + 5 * MS)
        share = sum(
            any(source.witness == witness.name for source in node.peer.observations._records.get("e", {}))
            for node in (net.nodes[name] for name in users[1:])
            if node.peer is not None
        ) / (len(users) - 1)
        if share >= 0.99 and seconds == 20.0:
            seconds = (net.now - begin) / SECOND
        if net.now <= begin + 3 * SECOND:
            share_after_3_s = share
    others = [node for node in net.nodes.values() if node.peer is not None and node.name not in users]
    uninterested_receivers = sum(bool(node.peer.observations._records) for node in others if node.peer is not None)
    return Propagation(
        seconds,
        witness_bytes[0],
        sum(broker.sent for broker in running_brokers(net)) - broker_bytes,
        share_after_3_s,
        uninterested_receivers,
    )


def running_brokers(net: SimulatedNetwork) -> list[Broker]:
    """The running brokers."""
    return [node.broker for node in net.brokers.values() if node.broker is not None]
