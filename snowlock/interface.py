"""Types of a controller's interface: settings, events (input) and actions (output).

All times are integer nanoseconds on the caller's monotonic clock.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import Union

from msgspec import Struct

EndpointId = bytes


class Safety(Enum):
    """Whether a message may be sent again after an attempt that may have run.

    SAFE: always. KEYED: within the repeat window (``window_ns``), in which endpoints drop repeats by key.
    UNSAFE: never.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Decay(Enum):
    """How a message loses worth between its aim_ns and its deadline_ns.

    EVEN: linearly, down to late_worth. HALVES: by half in each further aim_ns, but not below late_worth.
    """

    EVEN = "even"
    HALVES = "halves"


class Outcome(IntEnum):
    """How an attempt ended.

    After ERROR, TIMEOUT, RESET and CANCELLED the message may have run. After ERROR the endpoint has finished;
    after the other three it may still be running.
    """

    OK = 0
    ERROR = 1
    FULL = 2  # refused without running: the endpoint is closed or over its limit
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7  # did not run, for a reason that says nothing about the endpoint
    REJECTED = 8  # did not run, and would be rejected again; the simulator never reports it


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """Kind of endpoint list: changes, all endpoints, all endpoints from a cache, or a failed request."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class RateHint(Enum):
    """How accurate the listed rates are."""

    NONE = "none"
    ROUGH = "rough"
    NOMINAL = "nominal"


class MessageClass(Struct, frozen=True):
    """A message class: timing, safety of repeats, and worth.

    ``aim_ns``: age up to which a delivery has its full worth. ``deadline_ns``: age at which a message ends.
    ``worth``: value of a delivery relative to other classes. ``late_worth``: share of it that is left at the
    deadline.
    """

    aim_ns: int
    deadline_ns: int
    safety: Safety = Safety.SAFE
    zone_bound: bool = False  # KEYED: repeats are dropped only by endpoints of the zone of the first attempt
    window_ns: int = 0  # KEYED: repeat window, from the start of the first attempt that may have run
    ordered: bool = False  # messages with the same key are sent one at a time, in order of arrival
    worth: float = 1.0
    late_worth: float = 0.0
    name: str = ""


class Tenant(Struct, frozen=True):
    """A tenant and its rate in messages a second over all forwarders."""

    rate: float
    name: str = ""


class Settings(Struct, frozen=True):
    """Configuration of a controller."""

    classes: tuple[MessageClass, ...]
    slots: int  # maximum number of calls in flight
    # By kind of destination: whether each route has its own limit and outages.
    routes_apart: tuple[bool, ...] = ()
    # By kind: maximum number of messages per call. Only attempts that are started in the same reply of the
    # controller share a call.
    bundles: tuple[int, ...] = ()
    tolls: tuple[float, ...] = ()  # cost of a call, by zone of the route; applies to kinds with routes_apart
    cross_zone_fee: float = 0.0  # added to the cost of a call to another zone
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # factor on the worth of messages beyond their tenant's share
    decay: Decay = Decay.EVEN
    max_attempts: int = 6
    max_open: int = 1000  # maximum number of messages without a final answer
    max_retry_after_ns: int = 0
    tick_ns: int = 1_000_000
    forwarders: int = 1
    number: int = 0  # index of this forwarder in the fleet
    zone: int = 0
    connect_timeout_ns: int = 1_000_000_000
    idle_ns: int = 1 << 62  # idle connections are closed after this time
    rate_hint: RateHint = RateHint.NONE
    share_left_column: int | None = None  # index in load reports of the share of the limit that is left
    limit_column: int | None = None  # index in load reports of the limit in calls a second
    must_subscribe: bool = False  # the endpoint list is sent only on request
    # With must_subscribe: a drain counts as known this long after the list was requested. It also bounds the
    # controller's backoff after a failed list request.
    ask_within_ns: int = 10_000_000_000
    cold_from: float = 0.2  # slow start: share of its rate that a recovering route can bear at first
    ramp_ns: int = 10_000_000_000  # slow start: time until the route can bear its full rate
    # Slow start: a recovering route is overloaded by this many times the calls that it can bear in fall_ns.
    tip_multiple: float = 2.0
    fall_ns: int = 2_000_000_000  # length of the window in which the calls for tip_multiple are counted
    settle_ns: int = 0  # time after which an attempt that ended without an answer no longer runs
    columns: tuple[str, ...] = ()  # names of the values in load reports
    zones: tuple[str, ...] = ()  # names of the zones
    kinds: tuple[str, ...] = ()  # names of the kinds of destination

    def __post_init__(self) -> None:
        """Raise ValueError for settings that are not valid."""
        if not self.classes:
            raise ValueError("settings: at least one message class is required")
        for cls in self.classes:
            if cls.aim_ns <= 0 or cls.deadline_ns < cls.aim_ns:
                raise ValueError("settings: a class needs 0 < aim_ns <= deadline_ns")
            if cls.window_ns < 0 or not 0 <= cls.late_worth <= 1 or cls.worth < 0:
                raise ValueError(
                    "settings: a class has a negative window_ns, or a worth or late_worth out of range"
                )
        for name in ("slots", "max_attempts", "max_open", "forwarders", "tick_ns", "fall_ns", "ramp_ns"):
            if getattr(self, name) < 1:
                raise ValueError(f"settings: {name} must be at least 1")
        if not 0 < self.cold_from <= 1 or self.tip_multiple <= 0 or self.settle_ns < 0:
            raise ValueError("settings: cold_from, tip_multiple or settle_ns is out of range")


class Endpoint(Struct, frozen=True):
    """An entry of the endpoint list."""

    id: EndpointId
    destination: int
    zone: int = 0
    kind: int = 0
    state: EndpointState = EndpointState.READY
    # Listed rate, in calls a second if accurate (see RateHint). Also the weight of the route in the random
    # order of routes of the same rank and cost.
    rate: float = 1.0
    rank: int = 0  # routes of a lower rank are preferred
    tries: int = 0  # bound on a message's attempts at the destination; 0: only Settings.max_attempts
    patience_ns: int = 0  # bound on an attempt's time-out; 0: none
    fails: int = 0  # number of consecutive failures that counts as an outage; 0: none
    limit: float = 0.0  # calls a second: the limit it reported before this forwarder restarted; 0: unknown
    down_ns: int = 0  # age of an outage that this forwarder knew of before a restart; 0: none
    # Time since slow start after this outage began; 0: not begun; negative: time until it begins, at the end
    # of a retry-after delay.
    back_ns: int = 0


class EndpointList(Struct, frozen=True):
    """An update of the endpoint list: see ``ListKind``."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()


class Arrival(Struct, frozen=True):
    """A message was accepted and needs exactly one final answer.

    A message recovered after a restart comes with its history: a call that was in flight then may have run.
    """

    message: int
    message_class: int
    destination: int
    time_left_ns: int  # until its deadline
    tenant: int = 0
    key: int = 0  # ordering key; 0: none
    attempts: int = 0  # number of attempts so far
    maybe_since_ns: int | None = None  # when the first attempt that may have run was sent
    kept: bool = False  # true for a message that was accepted before a restart
    client: str = ""  # who submitted it; empty: unknown


class AttemptEnded(Struct, frozen=True):
    """An attempt has ended; ``closed``: the message has its final answer, so that no attempt follows."""

    message: int
    attempt: int
    endpoint: EndpointId
    outcome: Outcome
    latency_ns: int
    closed: bool
    wait_ns: int = 0  # retry-after, mostly with FULL; 0: none
    no_slot: bool = False  # with MOOT: the call was not forwarded, as no slot was free
    report: tuple[float, ...] = ()  # load report: values in the order of Settings.columns
    internal_error: bool = False  # the forwarder's own fault: the outcome says nothing about the endpoint


class Withdrawn(Struct, frozen=True):
    """A message was cancelled; it needs no answer."""

    message: int


class Parts(Struct, frozen=True):
    """This forwarder's shares of the limits and tenants' rates that all forwarders share.

    ``parts``: by endpoint, in calls a second; 0 means that the limit is no longer shared. ``tenants``: by the
    tenant's index, in messages a second.
    """

    parts: tuple[tuple[EndpointId, float], ...]
    tenants: tuple[tuple[int, float], ...] = ()


class Judged(Struct, frozen=True):
    """Suspensions of endpoints that follow from other forwarders' reports.

    For each endpoint: the end of its suspension (0: it is lifted now), and whether one call at a time is
    allowed until then, instead of none.
    """

    routes: tuple[tuple[EndpointId, int, bool], ...]


class TimerFired(Struct, frozen=True):
    """A timer set by ``SetTimer`` has expired."""

    token: int


Event = Union[EndpointList, Arrival, AttemptEnded, Withdrawn, TimerFired, Parts, Judged]


class Send(Struct, frozen=True):
    """Start the message's next attempt."""

    message: int
    endpoint: EndpointId
    timeout_ns: int


class Refuse(Struct, frozen=True):
    """Final answer: not delivered, and the message may safely be submitted again."""

    message: int
    retry_after_ns: int


class Fail(Struct, frozen=True):
    """Final answer: not known to be delivered, and submitting it again may not be safe."""

    message: int


class CloseIdle(Struct, frozen=True):
    """Close idle connections to an endpoint."""

    endpoint: EndpointId


class SetTimer(Struct, frozen=True):
    """Request ``TimerFired`` at or after ``at_ns``."""

    token: int
    at_ns: int


class Subscribe(Struct, frozen=True):
    """Request the endpoint list and its changes from now on."""


class Log(Struct, frozen=True):
    """A log line for operators."""

    text: str


class Fault(Struct, frozen=True):
    """An exception in the controller, as its traceback.

    The messages that it met go on, or get their final answer by another action.
    """

    text: str


Action = Union[Send, Refuse, Fail, CloseIdle, SetTimer, Subscribe, Log, Fault]
