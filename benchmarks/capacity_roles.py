"""The rows of docs/CAPACITY.md: each role's load at the target, as slope x size, and the mechanism that reduces it.

A row is data: a formula over the slopes (``Reading``) and the target, a bound, and a mechanism with its status.
``remaining`` is the load with the mechanism, and with placement if the mechanism depends on it: then only few couriers
get a destination's events. Without ``remaining``, the load that the mechanism leaves is not known.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from benchmarks.capacity import MeasuredRun
from benchmarks.capacity_fit import Fit, fit
from benchmarks.slope import Slope
from benchmarks.target import ASSUMED, TARGET
from kestrelspar.http.watch import MAX_LINE_BYTES
from kestrelspar.peers import counts, seal, shares
from kestrelspar.peers.brokers import LEASE_TERM, OWNERS_PER_REGION, SECOND
from kestrelspar.peers.link import MAX_TICK_INTERVAL
from kestrelspar.peers.observations import REPORT_ROUNDS
from kestrelspar.peers.peer import PeerConfig

MAX_MEMBERS: int = next(each.default for each in dataclasses.fields(PeerConfig) if each.name == "max_members")
# In calls: the part of a smaller share that may be lent rounds down to 0, unless the budget is fully lendable.
MIN_SHARE_FOR_LOANS = math.ceil(1 / shares.MAX_LENT_PART)
COUNTERS_PER_DESTINATION = 2  # at least: calls by outcome, and the use of its budget (link.py)
# A lower bound: the interval between ticks grows to MAX_TICK_INTERVAL, in microseconds, if the state is large.
MIN_TICKS_PER_SECOND = 1_000_000 / MAX_TICK_INTERVAL


class SlopeNotMeasured(Exception):
    """A slope that a formula needs has complete rows of fewer than two sizes; the only argument is its name."""


class MechanismStatus(StrEnum):
    """Implementation status of a mechanism."""

    STANDS = "implemented"
    PART = "partly implemented"
    MISSING = "missing"


class Role(StrEnum):
    """Who carries a load."""

    COURIER = "Courier"
    CLIENT = "Client's side"
    TELLER = "Source of lists and configuration"
    CONTROL = "Control machine"
    MEMBER = "Member system"


class Mechanism(StrEnum):
    """Mechanisms that reduce a load."""

    WORDS = "observations only to couriers interested in a destination, through brokers found by hashing"
    GROUPS = "members in groups that follow zones"
    PLACED = "placement: a destination's events go to a few couriers, by rendezvous hashing at the client's side"
    SHARES = "limits shared by the couriers interested in a destination, beyond that leases from a tree"
    LISTS = "lists by interest: a courier gets what it serves, as deltas"
    CONFIG = "configuration as a log through a tree of relays"
    COUNTS = "sums aggregated by a tree"
    BACKLOG = "backlog on disk in order of time, with only the next due messages in memory"
    COURIER = "the courier as it is"


MECHANISM_STATUS = {
    Mechanism.WORDS: MechanismStatus.STANDS,
    Mechanism.GROUPS: MechanismStatus.STANDS,
    Mechanism.PLACED: MechanismStatus.MISSING,
    Mechanism.SHARES: MechanismStatus.PART,
    Mechanism.LISTS: MechanismStatus.PART,
    Mechanism.CONFIG: MechanismStatus.MISSING,
    Mechanism.COUNTS: MechanismStatus.PART,
    Mechanism.BACKLOG: MechanismStatus.PART,
    Mechanism.COURIER: MechanismStatus.STANDS,
}

BUILT_FIRST = (Mechanism.GROUPS, Mechanism.WORDS)  # the page says whether the ranking supports this choice


@dataclass
class Reading:
    """Figures at any size, with a record of the slopes used since ``reset_used``.

    Methods that return figures or fits raise ``SlopeNotMeasured``.
    """

    slopes: dict[str, Slope]
    rows: list[MeasuredRun]
    # By slope: largest measured size, extrapolation factor, setting.
    used: dict[str, tuple[int, float, str]] = field(default_factory=dict)
    _fits: dict[tuple[str, str], Fit] = field(default_factory=dict)

    def reset_used(self) -> None:
        """Clear the record of used slopes, before a formula is evaluated."""
        self.used = {}

    def fit(self, name: str, figure: str) -> Fit:
        """Return the fit of a figure to all rows of this slope that were not cut off."""
        if (name, figure) not in self._fits:
            slope = self.slopes.get(name)
            points = [
                (row.size, row.figures[figure])
                for row in self.rows
                if row.name == name
                and figure in row.figures
                and (slope is None or slope.is_complete(figure, row.figures))
            ]
            if len({size for size, _ in points}) < 2:
                raise SlopeNotMeasured(name)
            self._fits[name, figure] = fit(points)
        return self._fits[name, figure]

    def at(self, name: str, figure: str, size: float) -> float:
        """Return the figure at that size."""
        value = self.fit(name, figure).at(size)
        self._record_use(name, value.up_to, value.factor)
        return value.value

    def marginal(self, name: str, figure: str, count: float) -> float:
        """Return what ``count`` units add to the figure by the line that was fitted, without its base value."""
        slope_fit = self.fit(name, figure)
        up_to = max(slope_fit.means)
        self._record_use(name, up_to, max(1.0, count / up_to))
        return max(0.0, slope_fit.b) * count

    def _record_use(self, name: str, up_to: int, factor: float) -> None:
        previous = self.used.get(name, (up_to, 1.0, ""))
        self.used[name] = (
            up_to,
            max(factor, previous[1]),
            self.slopes[name].setting if name in self.slopes else "unknown",
        )


Formula = Callable[[Reading], float]


@dataclass(frozen=True)
class Row:
    """One load on one role at the target."""

    role: Role
    kind: str  # state, messages, processor time, memory, time
    what: str
    formula_text: str  # the formula of ``load`` in words
    load: Formula
    unit: str
    bound: float | Formula
    bound_name: str
    mechanism: Mechanism
    remaining: Formula | None = None  # the load with the mechanism in place
    # If set, the row applies only under this condition, which is not met today, and is not ranked.
    hypothetical: str = ""


COURIERS = TARGET.couriers
PLACED_DESTINATIONS = TARGET.destinations * ASSUMED.placed / COURIERS  # destinations per courier, with placement
# Calls per second of one courier to destinations that are down, if it does not know that they are.
FAILED_CALLS = TARGET.events_per_courier * TARGET.down
# Calls per second that one destination accepts from all couriers together.
DESTINATION_LIMIT = ASSUMED.headroom * TARGET.events_per_destination
PROCESSOR_TIME, MEMORY, BYTES = (
    "processor time for the control plane",
    "memory for the control plane",
    "bytes a second for the control plane",
)
CODE = "bound in the code"
REMAINING_CONTROL_MACHINES = TARGET.control_machines - TARGET.control_machines_per_region  # without those of one region


def list_bytes(r: Reading, count: float) -> float:
    """Return the bytes on the wire of a list with ``count`` endpoints."""
    return r.marginal("list-again", "wire", count)


def served_per_second(r: Reading) -> float:
    """Return the messages per second that a courier's core serves beside the control plane."""
    return (1 - TARGET.core) * 1e6 / r.at("message-served", "cpu", TARGET.events_per_courier)


def _observations_at_broker(r: Reading, figure: str) -> float:
    """Return one broker's load of observations per second; ``figure`` is the load of one observation.

    Each destination that is down is probed once a second, and each failure is sent in ``REPORT_ROUNDS`` rounds to the
    owners of the destination in a region.
    """
    observations = TARGET.destinations_down * OWNERS_PER_REGION * REPORT_ROUNDS / TARGET.control_machines
    return observations * r.at("broker", figure, TARGET.region)


def _renewals_at_broker(r: Reading, figure: str) -> float:
    """Return one broker's load of leases per second; ``figure`` is the load of one renewal.

    Each courier of the broker's region renews three times per term.
    """
    return TARGET.region * 3 * SECOND / LEASE_TERM * r.at("broker", figure, TARGET.region)


ROWS: tuple[Row, ...] = (
    # Courier: members
    Row(
        Role.COURIER,
        "state",
        "members known",
        "couriers, over the maximum in the code",
        lambda r: COURIERS,
        "count",
        MAX_MEMBERS,
        f"{CODE}: more are refused (`PeerConfig.max_members`)",
        Mechanism.GROUPS,
        lambda r: TARGET.zone,
    ),
    Row(
        Role.COURIER,
        "state",
        "senders whose sequence numbers are stored",
        "couriers, over the maximum in the code",
        lambda r: COURIERS,
        "count",
        seal.MAX_SENDERS,
        f"{CODE}: datagrams of more are dropped (`seal.MAX_SENDERS`)",
        Mechanism.GROUPS,
        lambda r: TARGET.zone,
    ),
    Row(
        Role.COURIER,
        "memory",
        "members known",
        "member-alone.memory at all couriers",
        lambda r: r.at("member-alone", "memory", COURIERS),
        "MB",
        TARGET.memory_mb,
        MEMORY,
        Mechanism.GROUPS,
        lambda r: r.at("member-alone", "memory", TARGET.zone),
    ),
    Row(
        Role.COURIER,
        "processor time",
        "idle members, with the target's restarts",
        "member-alone.processor at all couriers",
        lambda r: r.at("member-alone", "processor", COURIERS),
        "ms",
        TARGET.processor_ms,
        PROCESSOR_TIME,
        Mechanism.GROUPS,
        lambda r: r.at("member-alone", "processor", TARGET.zone),
    ),
    Row(
        Role.COURIER,
        "messages",
        "idle members, with the target's restarts",
        "member-alone.sent at all couriers",
        lambda r: r.at("member-alone", "sent", COURIERS),
        "bytes",
        TARGET.bytes_a_second,
        BYTES,
        Mechanism.GROUPS,
        lambda r: r.at("member-alone", "sent", TARGET.zone),
    ),
    Row(
        Role.COURIER,
        "time",
        "until every courier knows all others, after all have started",
        "members.all-known at all couriers",
        lambda r: r.at("members", "all-known", COURIERS),
        "s",
        ASSUMED.spread,
        "assumed",
        Mechanism.GROUPS,
        lambda r: r.at("members", "all-known", TARGET.zone),
    ),
    Row(
        Role.COURIER,
        "time",
        "until a loss is known",
        "members-churn.loss-known at all couriers",
        lambda r: r.at("members-churn", "loss-known", COURIERS),
        "s",
        ASSUMED.restart_in,
        "assumed",
        Mechanism.GROUPS,
        lambda r: r.at("members-churn", "loss-known", TARGET.zone),
    ),
    Row(
        Role.COURIER,
        "time",
        "until a wave of restarts is known",
        "members-wave.known at all couriers",
        lambda r: r.at("members-wave", "known", COURIERS),
        "s",
        ASSUMED.restart_in,
        "assumed",
        Mechanism.GROUPS,
        lambda r: r.at("members-wave", "known", TARGET.zone),
    ),
    Row(
        Role.COURIER,
        "time",
        "until the restarted couriers of a wave know all members",
        "members-wave.joined at all couriers",
        lambda r: r.at("members-wave", "joined", COURIERS),
        "s",
        ASSUMED.restart_in,
        "assumed",
        Mechanism.GROUPS,
        lambda r: r.at("members-wave", "joined", TARGET.zone),
    ),
    # Courier: observations
    Row(
        Role.COURIER,
        "messages",
        "observations of failed endpoints, sent by one courier",
        "failed calls a second x what each member adds to word.sent x members",
        lambda r: FAILED_CALLS * r.marginal("word", "sent", COURIERS - 1),
        "bytes",
        TARGET.bytes_a_second,
        BYTES,
        Mechanism.WORDS,
        lambda r: FAILED_CALLS * r.at("word-brokered", "sent", COURIERS),
    ),
    Row(
        Role.COURIER,
        "state",
        "couriers, against those that one observation reaches before it expires",
        "couriers, over word-alone.told at all couriers",
        lambda r: COURIERS,
        "count",
        lambda r: r.at("word-alone", "told", COURIERS),
        "measured",
        Mechanism.WORDS,
        lambda r: ASSUMED.placed,
    ),
    Row(
        Role.COURIER,
        "processor time",
        "ranking of the couriers that probe a failed endpoint",
        "destinations down x order.processor at the interested couriers x checks a second",
        lambda r: TARGET.destinations_down * r.at("order", "processor", COURIERS) / 1e3 * MIN_TICKS_PER_SECOND,
        "ms",
        TARGET.processor_ms,
        PROCESSOR_TIME,
        Mechanism.WORDS,
        lambda r: (
            PLACED_DESTINATIONS
            * TARGET.down
            * r.marginal("order", "processor", ASSUMED.placed)
            / 1e3
            * MIN_TICKS_PER_SECOND
        ),
        "observations of all failed endpoints were received",
    ),
    # Courier: limits and counts
    Row(
        Role.COURIER,
        "state",
        "couriers per call a second of a limit: above one, a courier's share is less than one call",
        "couriers that share it, over the limit's calls a second",
        lambda r: COURIERS / DESTINATION_LIMIT,
        "count",
        1.0,
        "one call in a second",
        Mechanism.SHARES,
        lambda r: ASSUMED.placed / DESTINATION_LIMIT,
    ),
    Row(
        Role.COURIER,
        "state",
        "lowest limit of which anything is lent, calls a second",
        "smallest share of which any is lent x couriers that share it, over the limit",
        lambda r: MIN_SHARE_FOR_LOANS * COURIERS,
        "count",
        DESTINATION_LIMIT,
        "the limit, assumed",
        Mechanism.SHARES,
        lambda r: MIN_SHARE_FOR_LOANS * ASSUMED.placed,
    ),
    Row(
        Role.COURIER,
        "memory",
        "limits of which it has a share",
        "budgets-held.memory at all destinations",
        lambda r: r.at("budgets-held", "memory", TARGET.destinations),
        "MB",
        TARGET.memory_mb,
        MEMORY,
        Mechanism.SHARES,
        lambda r: r.at("budgets-held", "memory", PLACED_DESTINATIONS),
    ),
    Row(
        Role.COURIER,
        "processor time",
        "limits of which it has a share",
        "budgets-held.tick at all destinations x ticks a second, at least",
        lambda r: r.at("budgets-held", "tick", TARGET.destinations) * MIN_TICKS_PER_SECOND,
        "ms",
        TARGET.processor_ms,
        PROCESSOR_TIME,
        Mechanism.SHARES,
        lambda r: r.at("budgets-held", "tick", PLACED_DESTINATIONS) * MIN_TICKS_PER_SECOND,
    ),
    Row(
        Role.COURIER,
        "state",
        "couriers whose counters are held",
        "couriers, over the maximum in the code",
        lambda r: COURIERS,
        "count",
        counts.MAX_COURIERS,
        f"{CODE}: nothing is held of more (`counts.MAX_COURIERS`)",
        Mechanism.COUNTS,
        lambda r: TARGET.zone,
    ),
    Row(
        Role.COURIER,
        "state",
        "own counters",
        "destinations x counters of each, over the maximum of separate counters",
        lambda r: TARGET.destinations * COUNTERS_PER_DESTINATION,
        "count",
        counts.MAX_COUNTERS,
        f"{CODE}: further ones share one counter (`counts.MAX_COUNTERS`)",
        Mechanism.COUNTS,
        lambda r: PLACED_DESTINATIONS * COUNTERS_PER_DESTINATION,
    ),
    Row(
        Role.COURIER,
        "memory",
        "counters of all couriers, 20 each",
        "counts-held.memory at all couriers",
        lambda r: r.at("counts-held", "memory", COURIERS),
        "MB",
        TARGET.memory_mb,
        MEMORY,
        Mechanism.COUNTS,
        lambda r: r.at("counts-held", "memory", TARGET.zone),
    ),
    Row(
        Role.COURIER,
        "time",
        "until one courier has received all others' counters",
        "counts.heard at all couriers, over bytes a second of the control plane",
        lambda r: r.at("counts", "heard", COURIERS) / TARGET.bytes_a_second,
        "s",
        ASSUMED.restart_in,
        "assumed",
        Mechanism.COUNTS,
        lambda r: r.at("counts", "heard", TARGET.zone) / TARGET.bytes_a_second,
    ),
    # Courier: lists, configuration
    Row(
        Role.COURIER,
        "memory",
        "listed destinations, one endpoint each",
        "listed.memory at all destinations",
        lambda r: r.at("listed", "memory", TARGET.destinations),
        "MB",
        TARGET.memory_mb,
        MEMORY,
        Mechanism.LISTS,
        lambda r: r.at("listed", "memory", PLACED_DESTINATIONS),
    ),
    Row(
        Role.COURIER,
        "time",
        "a start with that list",
        "listed.start-wall at all destinations",
        lambda r: r.at("listed", "start-wall", TARGET.destinations),
        "s",
        ASSUMED.restart_in,
        "assumed",
        Mechanism.LISTS,
        lambda r: r.at("listed", "start-wall", PLACED_DESTINATIONS),
    ),
    Row(
        Role.COURIER,
        "state",
        "a full list, against the longest line that is read",
        "destinations x what each adds to list-again.wire",
        lambda r: list_bytes(r, TARGET.destinations),
        "bytes",
        MAX_LINE_BYTES,
        f"{CODE}: a longer line closes the watch (`watch.MAX_LINE_BYTES`)",
        Mechanism.LISTS,
        lambda r: list_bytes(r, PLACED_DESTINATIONS),
    ),
    Row(
        Role.COURIER,
        "processor time",
        "received changes of the list, each sent as the full list",
        "changes a second x list-again.hearer at all destinations",
        lambda r: TARGET.changes_per_second * r.at("list-again", "hearer", TARGET.destinations) / 1e3,
        "ms",
        TARGET.processor_ms,
        PROCESSOR_TIME,
        Mechanism.LISTS,
        lambda r: (
            TARGET.changes_per_second
            * ASSUMED.placed
            / COURIERS
            * r.at("list-change", "hearer", PLACED_DESTINATIONS)
            / 1e3
        ),
        "discovery sent full lists, and they were read",
    ),
    Row(
        Role.COURIER,
        "processor time",
        "received changes of the list, each sent alone",
        "changes a second x list-change.hearer at all destinations",
        lambda r: TARGET.changes_per_second * r.at("list-change", "hearer", TARGET.destinations) / 1e3,
        "ms",
        TARGET.processor_ms,
        PROCESSOR_TIME,
        Mechanism.LISTS,
        lambda r: (
            TARGET.changes_per_second
            * ASSUMED.placed
            / COURIERS
            * r.at("list-change", "hearer", PLACED_DESTINATIONS)
            / 1e3
        ),
    ),
    Row(
        Role.COURIER,
        "processor time",
        "the configuration reloaded for each change",
        "changes a second x config-change.hearer at all destinations",
        lambda r: TARGET.changes_per_second * r.at("config-change", "hearer", TARGET.destinations),
        "ms",
        TARGET.processor_ms,
        PROCESSOR_TIME,
        Mechanism.CONFIG,
        lambda r: TARGET.changes_per_second * r.at("config-change", "hearer", PLACED_DESTINATIONS),
    ),
    Row(
        Role.COURIER,
        "time",
        "until a changed configuration file is in force",
        "config-change.read at all destinations",
        lambda r: r.at("config-change", "read", TARGET.destinations) / 1e3,
        "s",
        TARGET.in_force,
        "in force everywhere",
        Mechanism.CONFIG,
        lambda r: r.at("config-change", "read", PLACED_DESTINATIONS) / 1e3,
    ),
    # Courier: messages
    Row(
        Role.COURIER,
        "memory",
        "open messages",
        "open-message.memory at the backlog of one courier",
        lambda r: r.at("open-message", "memory", TARGET.backlog_per_courier),
        "MB",
        ASSUMED.work_mb,
        "assumed",
        Mechanism.BACKLOG,
    ),
    Row(
        Role.COURIER,
        "state",
        "open messages on disk",
        "open-message.disk-each x the backlog of one courier",
        lambda r: r.at("open-message", "disk-each", TARGET.backlog_per_courier) * TARGET.backlog_per_courier / 1e6,
        "MB",
        ASSUMED.disk_mb,
        "assumed",
        Mechanism.BACKLOG,
    ),
    Row(
        Role.COURIER,
        "time",
        "a start with that backlog",
        "open-message.start-wall at the backlog of one courier",
        lambda r: r.at("open-message", "start-wall", TARGET.backlog_per_courier),
        "s",
        ASSUMED.restart_in,
        "assumed",
        Mechanism.BACKLOG,
    ),
    Row(
        Role.COURIER,
        "processor time",
        "messages served",
        "message-served.cpu x events a second of one courier",
        lambda r: TARGET.events_per_courier * r.at("message-served", "cpu", TARGET.events_per_courier) / 1e3,
        "ms",
        1_000 * (1 - TARGET.core),
        "a core beside the control plane",
        Mechanism.COURIER,
    ),
    Row(
        Role.COURIER,
        "processor time",
        "messages served from that backlog",
        "backlog-served.cpu at the backlog of one courier x events a second of one courier",
        lambda r: TARGET.events_per_courier * r.at("backlog-served", "cpu", TARGET.backlog_per_courier) / 1e3,
        "ms",
        1_000 * (1 - TARGET.core),
        "a core beside the control plane",
        Mechanism.BACKLOG,
        lambda r: TARGET.events_per_courier * r.at("message-served", "cpu", TARGET.events_per_courier) / 1e3,
    ),
    # Client's side
    Row(
        Role.CLIENT,
        "state",
        "couriers that call one destination",
        "couriers, over those that it is placed on",
        lambda r: COURIERS,
        "count",
        ASSUMED.placed,
        "assumed",
        Mechanism.PLACED,
        lambda r: ASSUMED.placed,
    ),
    Row(
        Role.CLIENT,
        "processor time",
        "placing one event with one hash per courier",
        "order.processor at all couriers, over what serving it costs",
        lambda r: r.at("order", "processor", COURIERS) / r.at("message-served", "cpu", TARGET.events_per_courier),
        "count",
        1.0,
        "a courier's cost of serving it",
        Mechanism.PLACED,
        lambda r: (
            (r.marginal("order", "processor", TARGET.zones) + r.marginal("order", "processor", TARGET.zone))
            / r.at("message-served", "cpu", TARGET.events_per_courier)
        ),
        "clients placed events that way",
    ),
    Row(
        Role.CLIENT,
        "memory",
        "couriers known",
        "member-alone.memory at all couriers",
        lambda r: r.at("member-alone", "memory", COURIERS),
        "MB",
        TARGET.memory_mb,
        "assumed as for a courier",
        Mechanism.PLACED,
        hypothetical="clients knew all couriers",
    ),
    # Source of lists and configuration
    Row(
        Role.TELLER,
        "messages",
        "the full list sent to one courier, at its bytes a second",
        "destinations x what each adds to list-again.wire, over bytes a second of the control plane",
        lambda r: list_bytes(r, TARGET.destinations) / TARGET.bytes_a_second,
        "s",
        ASSUMED.restart_in,
        "assumed",
        Mechanism.LISTS,
        lambda r: list_bytes(r, PLACED_DESTINATIONS) / TARGET.bytes_a_second,
    ),
    Row(
        Role.TELLER,
        "messages",
        "the full list sent to a wave, by one region's control machines",
        "wave x destinations x what each adds to list-again.wire, over machines and their bytes a second",
        lambda r: (
            TARGET.wave
            * list_bytes(r, TARGET.destinations)
            / TARGET.control_machines_per_region
            / (ASSUMED.control_mb * 1e6)
        ),
        "s",
        ASSUMED.spread,
        "assumed",
        Mechanism.LISTS,
        lambda r: (
            TARGET.wave
            * list_bytes(r, PLACED_DESTINATIONS)
            / TARGET.control_machines_per_region
            / (ASSUMED.control_mb * 1e6)
        ),
    ),
    Row(
        Role.TELLER,
        "processor time",
        "changes sent to each courier by one control machine",
        "changes a second x couriers of one machine x list-change.teller at all destinations",
        lambda r: (
            TARGET.changes_per_second
            * TARGET.couriers_per_control_machine
            * r.at("list-change", "teller", TARGET.destinations)
            / 1e3
        ),
        "ms",
        1_000 * ASSUMED.control_core,
        "assumed",
        Mechanism.CONFIG,
        lambda r: (
            TARGET.changes_per_second
            * TARGET.couriers_per_control_machine
            * r.at("list-change", "teller", PLACED_DESTINATIONS)
            / 1e3
        ),
    ),
    Row(
        Role.TELLER,
        "time",
        "a burst of changes sent to one courier, at its bytes a second",
        "changes of the burst x list-change.wire, over bytes a second of the control plane",
        lambda r: ASSUMED.burst_changes * r.at("list-change", "wire", TARGET.destinations) / TARGET.bytes_a_second,
        "s",
        TARGET.in_force,
        "in force everywhere",
        Mechanism.CONFIG,
        lambda r: (
            ASSUMED.burst_changes
            * ASSUMED.placed
            / COURIERS
            * r.at("list-change", "wire", PLACED_DESTINATIONS)
            / TARGET.bytes_a_second
        ),
    ),
    # Control machine
    Row(
        Role.CONTROL,
        "state",
        "couriers of one machine when a region's machines are lost",
        "couriers, over the machines left",
        lambda r: COURIERS / REMAINING_CONTROL_MACHINES,
        "count",
        MAX_MEMBERS,
        CODE,
        Mechanism.CONFIG,
    ),
    Row(
        Role.CONTROL,
        "messages",
        "changes sent to its couriers, when a region's machines are lost",
        "changes a second x couriers, over the machines left, x list-change.wire",
        lambda r: (
            TARGET.changes_per_second
            * COURIERS
            / REMAINING_CONTROL_MACHINES
            * r.at("list-change", "wire", TARGET.destinations)
        ),
        "bytes",
        ASSUMED.control_mb * 1e6,
        "assumed, a second",
        Mechanism.CONFIG,
        lambda r: (
            TARGET.changes_per_second
            * ASSUMED.placed
            / REMAINING_CONTROL_MACHINES
            * r.at("list-change", "wire", TARGET.destinations)
        ),
    ),
    Row(
        Role.CONTROL,
        "memory",
        "subscriptions of its region's couriers",
        "broker.memory at a region's couriers",
        lambda r: r.at("broker", "memory", TARGET.region),
        "MB",
        ASSUMED.broker_mb,
        "assumed",
        Mechanism.WORDS,
        lambda r: r.at("broker", "memory", TARGET.region),
    ),
    Row(
        Role.CONTROL,
        "processor time",
        "leases of its region's couriers",
        "renewals a second of a region's couriers x broker.renewal",
        lambda r: _renewals_at_broker(r, "renewal") / 1e3,
        "ms",
        1_000 * ASSUMED.control_core,
        "assumed",
        Mechanism.WORDS,
        lambda r: _renewals_at_broker(r, "renewal") / 1e3,
    ),
    Row(
        Role.CONTROL,
        "processor time",
        "observations of failed endpoints, one failed probe a second each",
        "destinations down x owners x rounds, over brokers, x broker.word",
        lambda r: _observations_at_broker(r, "word") / 1e3,
        "ms",
        1_000 * ASSUMED.control_core,
        "assumed",
        Mechanism.WORDS,
        lambda r: _observations_at_broker(r, "word") / 1e3,
    ),
    Row(
        Role.CONTROL,
        "messages",
        "observations of failed endpoints, one failed probe a second each",
        "destinations down x owners x rounds, over brokers, x broker.word-sent",
        lambda r: _observations_at_broker(r, "word-sent"),
        "bytes",
        ASSUMED.control_mb * 1e6,
        "assumed, a second",
        Mechanism.WORDS,
        lambda r: _observations_at_broker(r, "word-sent"),
    ),
    Row(
        Role.CONTROL,
        "memory",
        "counters of its couriers, 20 each",
        "counts-held.memory at its couriers",
        lambda r: r.at("counts-held", "memory", TARGET.couriers_per_control_machine),
        "MB",
        TARGET.memory_mb,
        "assumed as for a courier",
        Mechanism.COUNTS,
        hypothetical="control machines summed up their couriers' counters",
    ),
    # Member system
    Row(
        Role.MEMBER,
        "state",
        "couriers that connect to one",
        "couriers that call its destination",
        lambda r: COURIERS,
        "count",
        ASSUMED.calls_out,
        "assumed",
        Mechanism.PLACED,
        lambda r: ASSUMED.placed,
    ),
    Row(
        Role.MEMBER,
        "messages",
        "calls a second that reach it while it is down: at most one a second is wanted",
        "events a second for one destination, as no courier knows of another's failed call",
        lambda r: TARGET.events_per_destination,
        "count",
        1.0,
        "one probe a second",
        Mechanism.WORDS,
        lambda r: 1.0,
    ),
)


@dataclass(frozen=True)
class Result:
    """A row evaluated at the target."""

    row: Row
    load: float
    bound: float
    ratio: float
    remaining_ratio: float | None  # the ratio with the mechanism in place
    used: dict[str, tuple[int, float, str]]  # as ``Reading.used``, of the bound and the load


def results(reading: Reading) -> tuple[list[Result], list[tuple[Row, str]]]:
    """Evaluate all rows; return the results, and the rows that need an unmeasured slope with its name."""
    evaluated, not_evaluated = [], []
    for row in ROWS:
        reading.reset_used()
        try:
            bound = row.bound(reading) if callable(row.bound) else row.bound
            load = row.load(reading)
            used = reading.used
            reading.reset_used()
            remaining_ratio = row.remaining(reading) / bound if row.remaining is not None else None
        except SlopeNotMeasured as error:
            not_evaluated.append((row, str(error)))
            continue
        evaluated.append(Result(row, load, bound, load / bound, remaining_ratio, used))
    return evaluated, not_evaluated


def ranked(all_results: Iterable[Result]) -> list[Result]:
    """Return the row with the worst ratio of each mechanism, the worst first."""
    worst: dict[Mechanism, Result] = {}
    for result in all_results:
        if not result.row.hypothetical and (
            result.row.mechanism not in worst or result.ratio > worst[result.row.mechanism].ratio
        ):
            worst[result.row.mechanism] = result
    return sorted(worst.values(), key=lambda result: -result.ratio)
