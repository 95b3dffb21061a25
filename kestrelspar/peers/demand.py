"""Derives the shared budgets, and the unmet demand for each, from the state of the decision module. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from kestrelspar.peers.shares import budget_for_rate
from snowlock.control import Controller
from snowlock.interface import EndpointId, Settings
from snowlock.state import Destination

MIN_SILENCE_NS = 100_000_000  # a shorter silence is a slow call or a busy machine
SLOW_START_SHARE = 0.5  # of an endpoint's capacity in slow start is shared; the rest is for couriers without a share


@dataclass(slots=True)
class Demand:
    """One budget and the unmet demand for it, derived from the decision module's state."""

    calls: int  # of all couriers together in any window
    window: int  # microseconds
    endpoints: list[EndpointId]  # endpoints whose call rate the budget limits
    waiting: int = 0  # messages that wait for its calls
    waiting_weight: float = 0.0  # total weight of these messages
    fully_lendable: bool = False  # a courier may lend its whole share


@dataclass(slots=True)
class DemandSnapshot:
    """Snapshot of the decision module's state."""

    budgets: dict[str, Demand] = field(default_factory=dict)  # by name of the budget
    routes: dict[str, int] = field(default_factory=dict)  # destination by endpoint
    ids: dict[str, EndpointId] = field(default_factory=dict)
    # Endpoints with calls in flight that have not answered for longer than usual.
    silent: list[str] = field(default_factory=list)
    down: list[str] = field(default_factory=list)  # endpoints in an outage, according to the decision module
    closed: list[str] = field(default_factory=list)  # endpoints in an outage, or with a retry-after delay
    active_destinations: set[int] = field(default_factory=set)  # destinations with messages waiting or calls in flight


def endpoint_name(endpoint: EndpointId) -> str:
    """Name of an endpoint in messages between couriers; cut, so that budget names made of it fit a ``messages.Key``."""
    return endpoint.decode("utf-8", "replace")[:190]


def budget_key(endpoint: EndpointId, dest: Destination) -> str:
    """Name of the budget for calls to an endpoint: its own, or its destination's if its endpoints share one limit."""
    return f"e:{endpoint_name(endpoint)}" if dest.separate_limits else f"d:{dest.id}"


def slow_start_key(endpoint: str) -> str:
    """Name of the budget for calls to an endpoint in an outage or in slow start."""
    return f"c:{endpoint}"


def retry_key(dest: int) -> str:
    """Name of the budget for second and later delivery attempts at a destination."""
    return f"r:{dest}"


def tenant_key(tenant: int) -> str:
    """Name of the budget for a tenant's messages within its share."""
    return f"t:{tenant}"


def take_snapshot(
    controller: Controller,
    settings: Settings,
    shared_part: float,
    retry_part: float,
    reported_limit: Callable[[str], float] = lambda _: 0.0,
    recovering: Mapping[str, int] = MappingProxyType({}),
) -> DemandSnapshot:
    """Take a snapshot of all budgets but those of tenants, with the messages that wait, and of the state of the routes.

    ``shared_part``: the part of a limit that couriers share. ``retry_part``: the part of the shared part for second and
    later attempts (1: they have no budget of their own). ``reported_limit``: the limit that other couriers reported for
    an endpoint, in calls per second; 0 if there is none that is trusted. ``recovering``: by endpoint, microseconds
    since its return after an outage. The messages of a destination whose endpoints have separate limits count towards
    the budgets of the endpoints in equal parts, but in full towards each slow-start budget.
    """
    snapshot, couriers = DemandSnapshot(), settings.forwarders
    retry_rates: dict[int, float] = {}  # attempts per second, by destination
    for route in controller.routes.values():
        if not route.ready:
            continue
        endpoint, dest = endpoint_name(route.id), route.dest
        snapshot.routes[endpoint], snapshot.ids[endpoint] = dest.id, route.id
        if dest.queue or route.inflight:
            snapshot.active_destinations.add(dest.id)
        if route.inflight and controller.is_silent(route) and controller.now - route.last_outcome_at > MIN_SILENCE_NS:
            snapshot.silent.append(endpoint)
        down = route.down and route.recovering_since is None
        if down:
            snapshot.down.append(endpoint)
        if down or max(route.retry_after_until, dest.retry_after_until) > controller.now:
            snapshot.closed.append(endpoint)
        reported = reported_limit(endpoint)
        rate = min(route.limit.rate, reported) if route.limit.rate and reported else route.limit.rate or reported
        if endpoint in recovering:
            calls = slow_start_calls(rate or route.rate, recovering[endpoint], settings)
            # The rate of an endpoint that shares its limit is not lowered: that would slow down the others, too.
            rate_limited = [route.id] if dest.separate_limits or len(dest.routes) == 1 else []
            snapshot.budgets[slow_start_key(endpoint)] = Demand(
                calls,
                settings.fall_ns // 1_000,
                rate_limited,
                len(dest.queue),
                sum(message.weight for message in dest.queue),
                True,
            )
        if not rate:
            continue
        demand = snapshot.budgets.get(budget_key(route.id, dest))
        if demand is None:
            calls, window = budget_for_rate(rate * shared_part, couriers)
            demand = snapshot.budgets[budget_key(route.id, dest)] = Demand(calls, window, [])
            route_count = len(dest.routes) if dest.separate_limits else 1
            demand.waiting = -(-len(dest.queue) // max(1, route_count))
            demand.waiting_weight = sum(message.weight for message in dest.queue) / max(1, route_count)
            retry_rates[dest.id] = retry_rates.get(dest.id, 0.0) + rate * shared_part * retry_part
        demand.endpoints.append(route.id)
    for dest_id, rate in retry_rates.items() if retry_part < 1 else ():
        retries = [message for message in controller.destinations[dest_id].queue if message.attempts]
        snapshot.budgets[retry_key(dest_id)] = Demand(
            *budget_for_rate(rate, couriers), [], len(retries), sum(m.weight for m in retries)
        )
    return snapshot


def slow_start_calls(rate: float, since_return: int, settings: Settings) -> int:
    """Calls per ``fall_ns`` that all couriers may make to an endpoint ``since_return`` microseconds after its return.

    ``rate``: the endpoint's full rate, calls per second. The budget rises with each quarter of the ramp, each time a
    quarter late, so that couriers that learned late of the return are not far behind the others: it stays at
    ``cold_from`` for the first half, and rises at the beginning of the third and the fourth quarter. At least one call
    is allowed.
    """
    ramp = max(1, settings.ramp_ns // 1_000)
    quarters = max(0, 4 * since_return // ramp - 1)
    portion = settings.cold_from + (1 - settings.cold_from) * quarters / 4
    return max(1, int(SLOW_START_SHARE * portion * rate * settings.fall_ns / 1e9))
