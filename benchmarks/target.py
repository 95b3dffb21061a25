"""The target: the size of an installation, what the control plane may use of a courier, and derived figures.

Figures given by the users are fields; figures derived from them are properties. ``ASSUMED`` has the figures that the
page needs and nobody gave, each with its reason; the page marks them as assumptions.
"""

from __future__ import annotations

from dataclasses import dataclass

DAY = 86_400


@dataclass(frozen=True, slots=True)
class Target:
    """Figures given by the users."""

    couriers: int = 10_000
    regions: int = 6
    zones: int = 20
    events_per_second: int = 3_200_000
    destinations: int = 1_400_000
    down: float = 0.028  # share of the destinations that is down at any time
    backlog: int = 46_000_000_000  # events that wait for delivery
    changes_per_day: int = 36_000  # of configuration
    in_force: float = 10.0  # seconds from the announcement of a change until it is in force everywhere
    core: float = 0.012  # share of a courier's core that the control plane may use
    memory_mb: float = 64.0  # of a courier's memory that the control plane may use
    bytes_a_second: int = 17_000  # of a courier's traffic that the control plane may use
    control_machines: int = 54
    machines_lost_per_day: int = 20
    restarts_per_day: int = 3_800  # or replacements
    days_between_racks: int = 7  # or switches
    days_between_zones: int = 61
    wave: int = 500  # couriers lost at once

    @property
    def zone(self) -> int:
        """Couriers per zone."""
        return self.couriers // self.zones

    @property
    def region(self) -> int:
        """Mean number of couriers per region."""
        return round(self.couriers / self.regions)

    @property
    def events_per_courier(self) -> float:
        """Events per second at one courier."""
        return self.events_per_second / self.couriers

    @property
    def events_per_destination(self) -> float:
        """Events per second for one destination."""
        return self.events_per_second / self.destinations

    @property
    def destinations_down(self) -> int:
        """Destinations that are down at any time."""
        return round(self.destinations * self.down)

    @property
    def backlog_per_courier(self) -> float:
        """Events that wait for delivery at one courier."""
        return self.backlog / self.couriers

    @property
    def changes_per_second(self) -> float:
        """Mean number of configuration changes per second."""
        return self.changes_per_day / DAY

    @property
    def processor_ms(self) -> float:
        """Milliseconds of a core per second for the control plane at a courier."""
        return self.core * 1_000

    @property
    def control_machines_per_region(self) -> int:
        """Control machines per region."""
        return self.control_machines // self.regions

    @property
    def couriers_per_control_machine(self) -> float:
        """Couriers per control machine."""
        return self.couriers / self.control_machines

    @property
    def restart_interval(self) -> float:
        """Seconds between two restarts or replacements."""
        return DAY / self.restarts_per_day

    @property
    def seconds_between_encounters(self) -> float:
        """Seconds between two events for one destination at one courier, if events are spread evenly."""
        return self.couriers / self.events_per_destination


@dataclass(frozen=True, slots=True)
class Assumed:
    """Assumed figures, which the users did not give; the page lists them as assumptions."""

    placed: int = 8  # couriers that receive one destination's events, once the client's side places them
    headroom: float = 2.0  # a destination's limit, divided by its mean events per second
    rack: int = 20  # couriers behind one switch
    a_machine: int = 1  # couriers on one machine
    calls_out: int = 100  # connections that a member system accepts from all couriers together
    region_link: int = 300  # seconds for which regions lose each other: "minutes"
    burst_changes: int = 1_000  # configuration changes announced within one second: a roll-out to many destinations
    work_mb: float = 1_000.0  # of a courier's memory for messages
    disk_mb: float = 100_000.0  # of a courier's disk for messages
    control_mb: float = 60.0  # MB per second that a control machine sends at most
    broker_mb: float = 1_000.0  # memory of a control machine that a broker may use
    control_core: float = 0.5  # share of a control machine's core that one kind of work may use
    restart_in: float = 10.0  # seconds until a courier must serve again, and until every loss must be known
    spread: float = 30.0  # seconds over which the starts of a wave are spread
    long_outage: int = 3_600  # seconds for which the control plane may be unavailable

    REASONS = {
        "placed": "couriers per destination, as in shuffle sharding; it scales all rows that depend on placement",
        "headroom": "a destination's limit, as a multiple of its mean events per second",
        "rack": "couriers behind one switch",
        "a_machine": "couriers on one machine",
        "calls_out": "connections that one member system accepts from all couriers together",
        "region_link": "seconds for which two regions lose each other ('minutes')",
        "burst_changes": "configuration changes announced within one second; the users have not named a burst yet",
        "work_mb": "MB of a courier's memory for messages; the users named a bound for the control plane only",
        "disk_mb": "MB of a courier's disk for messages",
        "control_mb": "MB per second that a control machine sends at most",
        "broker_mb": "MB of a control machine's memory that a broker may use",
        "control_core": "share of a control machine's core that one kind of work may use",
        "restart_in": "seconds until a loss must be known, and until a start must serve",
        "spread": "seconds over which jitter spreads the starts of a wave",
        "long_outage": "seconds for which the whole control plane may be unavailable without harm",
    }


TARGET = Target()
ASSUMED = Assumed()


@dataclass(frozen=True, slots=True)
class PriorFigure:
    """A figure that the users measured earlier in one run beside other load; the page confirms or corrects it."""

    what: str
    slope: str
    figure: str
    size: int
    value: float
    unit: str


PRIOR_FIGURES = (
    PriorFigure("idle membership, processor time per second each", "members", "processor", 100, 1.3, "ms"),
    PriorFigure("idle membership, processor time per second each", "members", "processor", 200, 2.2, "ms"),
    PriorFigure("idle membership, processor time per second each", "members", "processor", 400, 2.7, "ms"),
    PriorFigure("idle membership, processor time per second each", "members", "processor", 800, 8.1, "ms"),
    PriorFigure(
        "60 s after starts spread over 20 s: members known to the courier that knew fewest",
        "members",
        "least-known",
        800,
        707,
        "count",
    ),
    PriorFigure("datagrams over the bandwidth limit by then", "members", "held-back", 800, 2_281, "count"),
    PriorFigure("memory for each known member", "member-alone", "memory", 10_000, 11.0, "MB"),
    PriorFigure("bytes that one observation costs its witness", "word", "sent", 400, 74_531, "bytes"),
    PriorFigure("until 99 % know an observation", "word", "known", 200, 0.2, "s"),
    PriorFigure("until 99 % know an observation", "word", "known", 400, 0.4, "s"),
    PriorFigure("until 99 % know an observation", "word", "known", 800, 2.7, "s"),
    PriorFigure("memory of listed endpoints", "listed", "memory", 50_000, 80.0, "MB"),
    PriorFigure("processor time of a start with listed endpoints", "listed", "start-cpu", 50_000, 4.9, "s"),
)
PRIOR_HOLLOW_GB = 100.0  # for all couriers of the target as hollow couriers in one process; the users said "over"
PRIOR_MAX_MEMBERS = 1_024  # members; more are refused
# Time that one observation takes of a courier's bandwidth at the target; the users said "minutes", so more than one.
PRIOR_OBSERVATION_MINUTES = 1.0
