"""The controller's state: calls, messages, destinations and routes. Decisions are made in control.py."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from snowlock import interface as api
from snowlock.interface import Outcome

if TYPE_CHECKING:
    from snowlock.control import Limit

NEVER = 1 << 62
# A message recovered without attempts is not refused in favour of others during this share of its remaining
# time.
RESERVED_TIME_SHARE = 0.7
# Shared by routes without failures, to save memory; never mutated.
NO_CLIENTS = dict[str, int]()  # never mutated
NO_FAILED_CLASSES = dict[int, tuple[int, bool]]()


class Call:
    """One call: messages that one reply sends to one route can share it, with its slot and its outcome."""

    def __init__(self, route: Route, sent: int, idle: int):
        self.route, self.sent = route, sent
        self.pending = self.size = 0  # number of messages without an outcome yet, and of all messages
        # Idle time of its connection before the call, in ns. NEVER: a new connection, or unknown, as other
        # calls to the route were in flight.
        self.idle = idle
        self.counted_outcome: Outcome | None = None  # the last outcome that the estimates were updated from


class Message:
    """One message: its position in the order of routes, its attempts, and whether one may have run."""

    def __init__(
        self, id: int, cls: api.MessageClass, dest: Destination, event: api.Arrival, now: int, margin: int
    ):
        self.id, self.cls, self.dest, self.key, self.client = id, cls, dest, event.key, event.client
        self.deadline = now + event.time_left_ns
        self.full_worth_until = self.deadline - cls.deadline_ns + cls.aim_ns
        self.answer_by = self.deadline - margin  # latest time for an answer, as batches come only once a tick
        self.reserved_until = now + int(RESERVED_TIME_SHARE * event.time_left_ns) if event.kept else 0
        self.route: Route | None = None  # current position in the destination's order of routes
        # Number of attempts on the current route, of all attempts, of backoffs, and of passes over the routes
        # in which all were full; earliest time of the next attempt.
        self.tries = self.attempts = self.backoffs = self.full_passes = self.not_before = 0
        self.in_flight: dict[int, Call] = {}  # by attempt number
        self.may_have_run = self.done = False
        # zone: that of the first attempt that may have run; -1: none, or unknown after a restart.
        # weight: worth of a delivery within aim_ns. window_end: end of the repeat window; NEVER: none.
        self.zone, self.weight, self.window_end, self.class_index = -1, cls.worth, NEVER, event.message_class


class Destination:
    """A destination: its queue of messages, and its routes in their fixed order."""

    __slots__ = (
        "id",
        "routes",
        "queue",
        "kind",
        "inflight",
        "failures",
        "last_trouble_at",
        "wake_at",
        "max_attempts",
        "retry_after_until",
        "unconfirmed_until",
        "separate_limits",
        "limit",
        "mean_latency",
        "calls",
        "last_call_by_client",
    )

    def __init__(self, id: int):
        self.id = id
        self.calls = 0  # calls so far
        # By client with queued messages: the number of its last call. Shared while empty, to save memory.
        self.last_call_by_client = NO_CLIENTS
        self.routes: list[Route] = []
        self.queue: list[Message] = []
        self.kind = self.inflight = 0
        self.failures = 0  # consecutive failures, over all its routes
        # Time of the last failure, or refusal by a closed route; -NEVER: none since the last OK.
        self.last_trouble_at = -NEVER
        self.wake_at = self.max_attempts = NEVER
        # End of a retry-after, where routes share a limit; applies to routes listed later too.
        self.retry_after_until = 0
        self.unconfirmed_until = 0  # that end, if the delay was cut as it may be noise; 0: it was not
        self.separate_limits, self.mean_latency = False, 0.0  # separate_limits: each route has its own limit
        # Shared by its routes, or with separate_limits that of the route listed last; None before the first.
        self.limit: Limit | None = None


class Route:
    """One endpoint. Kept small, as many may be listed that are never called."""

    __slots__ = (
        "id",
        "dest",
        "zone",
        "order_draw",
        "rotation_offset",
        "rate",
        "ready",
        "rank",
        "max_timeout",
        "max_failures",
        "limit",
        "inflight",
        "retry_after_until",
        "unconfirmed_until",
        "failures",
        "successes",
        "last_call_at",
        "previous_call_at",
        "last_success_at",
        "failing_since",
        "last_outcome_at",
        "idle_since",
        "mean_latency",
        "latency_deviation",
        "loss_share",
        "down",
        "timed_out",
        "failed_classes",
        "recovering_since",
        "suspended_until",
        "one_at_a_time",
    )

    def __init__(self, entry: api.Endpoint, dest: Destination, draw: float, limit: Limit):
        self.id, self.dest, self.zone = entry.id, dest, entry.zone
        self.order_draw = draw  # random; routes of equal rank and cost are ordered by order_draw / rate
        self.rate, self.ready, self.rank = entry.rate, True, entry.rank
        self.max_timeout = self.max_failures = NEVER  # bounds set by operators; NEVER: none
        self.limit = limit
        self.inflight = self.retry_after_until = self.failures = self.successes = 0
        self.unconfirmed_until = 0  # see ``Destination``
        self.last_call_at = self.previous_call_at = self.last_success_at = -NEVER
        # Time of the first failure, or refusal by a closed route, since the last OK; 0: none. While the route
        # is down, an OK does not reset it.
        self.failing_since = 0
        self.last_outcome_at = 0  # time of the last outcome, or of a later call that found none in flight
        self.idle_since = -NEVER  # end of its last call if that left the connection open, else -NEVER
        self.mean_latency = self.latency_deviation = 0.0
        self.loss_share = 0.0  # moving share of its calls that failed and may have run
        # timed_out: its last failure was a time-out, which occupies a slot for long.
        self.down = self.timed_out = False
        # By class that has failed since the route last served it: time of the last failure, and whether the
        # route served other classes between two failures, so that only this class avoids it.
        self.failed_classes = NO_FAILED_CLASSES
        # Start of the recovery, possibly in the future; None: not recovering.
        self.recovering_since: int | None = None
        # Suspension by other forwarders' reports: until then no calls, or one call at a time.
        self.suspended_until, self.one_at_a_time = 0, False
        # Shifts the turns of the forwarders at this route; the same in all forwarders.
        self.rotation_offset = zlib.crc32(entry.id) / 2**32
