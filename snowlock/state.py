"""State that the controller keeps of calls, messages, destinations and routes; it makes no decisions."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from snowlock import interface as api
from snowlock.interface import Outcome

if TYPE_CHECKING:
    from snowlock.control import Limit

NEVER = 1 << 62
RESERVED_TIME_SHARE = 0.7  # of its time left, for which a message recovered untried is reserved an attempt
NO_FAILED_CLASSES = dict[
    int, tuple[int, bool]
]()  # shared by routes without failures, to save memory; never mutated


class Call:
    """One call: the messages that one reply sends to one route share it, its slot and its outcome."""

    def __init__(self, route: Route, sent: int, idle: int):
        self.route, self.sent = route, sent
        self.pending = self.size = 0  # messages without an outcome yet, and all messages
        self.idle = idle  # for how long its connection had been idle; NEVER: a new connection
        self.counted_outcome: Outcome | None = None  # the last outcome that the estimates were updated from


class Message:
    """One message: its position in the order of routes, its attempts, and whether one may have run."""

    def __init__(
        self, id: int, cls: api.MessageClass, dest: Destination, event: api.Arrival, now: int, margin: int
    ):
        self.id, self.cls, self.dest, self.key = id, cls, dest, event.key
        self.deadline = now + event.time_left_ns
        self.full_worth_until = self.deadline - cls.deadline_ns + cls.aim_ns
        self.answer_by = self.deadline - margin  # latest time for an answer, as batches come only once a tick
        self.reserved_until = now + int(RESERVED_TIME_SHARE * event.time_left_ns) if event.kept else 0
        self.route: Route | None = None  # current place in the destination's order of routes
        # Tries on the current route, all attempts, backoffs, passes over routes that were all full, earliest
        # next try.
        self.tries = self.attempts = self.backoffs = self.full_passes = self.not_before = 0
        self.in_flight: dict[int, Call] = {}  # by attempt number
        self.may_have_run = self.done = False
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
        "separate_limits",
        "limit",
        "mean_latency",
    )

    def __init__(self, id: int):
        self.id = id
        self.routes: list[Route] = []
        self.queue: list[Message] = []
        self.kind = self.inflight = 0
        self.failures = 0  # in a row, over all its routes
        self.last_trouble_at = -NEVER  # last failure, or refusal as closed, with no answer since
        self.wake_at = self.max_attempts = NEVER
        # End of a retry-after, where routes share a limit; applies to routes listed later too.
        self.retry_after_until = 0
        self.separate_limits, self.mean_latency = False, 0.0  # apart: each route has a limit of its own
        self.limit: Limit | None = None  # shared by its routes unless apart; created with the first of them


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
        self.order_draw = draw  # random; divided by the rate it orders routes of equal cost
        self.rate, self.ready, self.rank = entry.rate, True, entry.rank
        self.max_timeout = self.max_failures = NEVER  # bounds set by operators, if any
        self.limit = limit
        self.inflight = self.retry_after_until = self.failures = self.successes = 0
        self.last_call_at = self.previous_call_at = self.last_success_at = -NEVER
        self.failing_since = 0  # first failure, or refusal as closed, since the last answer; 0: none
        self.last_outcome_at = 0  # last outcome, or the first call in flight after it
        self.idle_since = -NEVER  # when its last call ended and left its connection open
        self.mean_latency = self.latency_deviation = 0.0
        self.loss_share = 0.0  # share of its calls that may have run but brought no answer
        # The latter: its last failure was a time-out, which held a slot for long.
        self.down = self.timed_out = False
        # By class that has failed since it was last served: when, and whether other classes were served in
        # between.
        self.failed_classes = NO_FAILED_CLASSES
        self.recovering_since: int | None = (
            None  # recovering since then, or from then on; None: not recovering
        )
        # By other forwarders' reports: until then no calls, or one call at a time.
        self.suspended_until, self.one_at_a_time = 0, False
        self.rotation_offset = zlib.crc32(entry.id) / 2**32  # shifts the turns; the same at all forwarders
