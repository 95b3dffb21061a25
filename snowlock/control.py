"""Decisions of one forwarder (courier): which message is sent where, when, and with which time-out.

``Controller.handle(now, events)`` does no I/O: it takes events and returns actions. Settings, events and
actions are defined in snowlock/interface.py. Times are nanoseconds of the caller's monotonic clock.
"""

from __future__ import annotations

import math
import random
import traceback
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Iterable

from msgspec.structs import replace

from snowlock import interface as api
from snowlock.interface import Outcome, Safety
from snowlock.state import NEVER, NO_CLIENTS, Call, Destination, Message, Route

MS = 1_000_000
SECOND = 1_000 * MS

EAGER_SWEEP_MAX_ROUTES = 1_000  # from here on, removed routes are swept once per ramp_ns, not at each change
# Attempts of a message on a route before the next route; a few are enough, as route health is remembered.
# After FULL the next route follows at once.
MAX_TRIES_PER_ROUTE = 2
FIRST_BACKOFF_AIM_SHARE = 0.08  # first backoff of a retry, as a share of the class's aim_ns; it doubles
MAX_BACKOFF = 10 * SECOND
LATENCY_GAIN = 0.15  # weight of a new sample in a route's latency and loss averages
SLOW_FACTOR = 3.0  # new messages skip a route that is this many times slower than a later one
# Time-out of a repeatable call as a multiple of the latency bound (mean + 3 deviations, see _latency_bound):
# usually, and while many calls are lost.
TIMEOUT_FACTOR_REPEATABLE, TIMEOUT_FACTOR_LOSSY = 3.0, 1.0
# Share of lost calls that is usual, as heavy messages take long; at twice this share, time-outs are shortest.
USUAL_LOST_SHARE = 0.06
# Minimum time-out of a repeatable call, and of a keyed one, as a multiple of the latency bound.
MIN_TIMEOUT_FACTOR, MIN_TIMEOUT_FACTOR_KEYED = 5.0, 8.0
# Time-out of an unsafe call in the same unit: much longer, as a time-out loses the message.
TIMEOUT_FACTOR_UNSAFE = 10.0
# Share of the slots that unsafe calls may hold with the long time-out. Beyond it, the time-out of an unsafe
# call is at most SHORT_TIMEOUT_FACTOR latency bounds.
LONG_TIMEOUT_SLOT_SHARE, SHORT_TIMEOUT_FACTOR = 0.1, 8.0
SUSPECT_SLOT_SHARE = 0.2  # maximum share of the slots for calls to silent, failing or recovering routes
RECHECK_INTERVAL = 20 * MS  # for a route that is blocked until a call ends, at this route or at another
# Assumed latency before any call has been answered, as a share of the smallest aim_ns.
UNKNOWN_LATENCY_AIM_SHARE = 1 / 16
# Assumed latency bound of a route with fewer than 3 answers, as a multiple of the usual latency.
UNKNOWN_LATENCY_FACTOR = 5.0
MAX_CALLS_UNPROVEN = 2  # maximum calls in flight to a route that has not answered yet
# Consecutive failures that are at least this likely by chance are no outage; for time-outs of a busy route, a
# fifth of it applies.
CHANCE_THRESHOLD = 0.1
QUICK_FAILURE_THRESHOLD = 0.001  # the same for quick failures of a busy route, which cost little
# A wide outage raises the usual share of failures. With this maximum, three failed connects in a row to a
# route that is called seldom never count as chance.
MAX_USUAL_FAILURE_SHARE = 0.45
FAILURE_GAIN = 0.05  # weight of one call in the failure and refusal averages
# Share of fall_ns: a route is closed if it refuses all calls for this long, or sends a retry-after this long.
# Shorter refusals mean that it is over its limit.
CLOSED_FALL_SHARE = 0.5
# A refusal with at least this share of the allowance left means that the route is closed; with less, that it
# is over its limit.
UNUSED_ALLOWANCE = 0.85
# Minimum pause after a refusal without a retry-after, if load reports show the allowance that is left (else
# closed_after); also after a failed connect at a route with capped connections.
MIN_REFUSAL_PAUSE = 200 * MS
# Share of the fail-back budget that is used, as other forwarders only estimate their shares, too.
FAILBACK_SAFETY_FACTOR = 0.7
LATE_DETECTION_WINDOWS = 2  # number of fall_ns by which other forwarders may have noticed an outage earlier
# Maximum growth of this forwarder's share of the fail-back budget where the route has served its calls. Other
# forwarders' shares may grow at the same time, and the route must be able to bear the sum.
FAILBACK_GROWTH = 1.5
# Assumed calls a second where no rate is known; low, as small routes are the first to be overloaded.
DEFAULT_RATE = 1.0
ROUGH_RATE_FACTOR = 0.67  # a rate listed as rough may be 1.5 times the actual one
BURST_TOLERANCE = 500 * MS  # a burst may have as many calls as the limit allows in this time
INTERVAL_GROWTH, INTERVAL_DECREASE = 2.0, 0.1  # of the call interval: factor per refusal, share per answer
# Cap of the call interval: a multiple of the equal-share interval (lower by up to 1 in a large fleet), and
# the least cap in ns.
MAX_INTERVAL_SHARES, MIN_INTERVAL_CAP = 2.0, SECOND // 2
SMALL_FLEET_SIZE = 4  # forwarders; a fleet this small calls often enough to find its intervals in small steps
# Share of the allowance that is left: in a large fleet an answer lengthens the interval below
# SCARCE_ALLOWANCE, and shortens it faster than in a small fleet above AMPLE_ALLOWANCE.
SCARCE_ALLOWANCE, AMPLE_ALLOWANCE = 0.5, 0.3
# Multiples of the equal-share interval: with a call interval of at least the first, the forwarders of a large
# fleet take turns; the second is the initial call interval after a restart.
TURN_INTERVAL_SHARE, RESTART_INTERVAL_SHARE = 0.25, 0.5
# A reported rate that differs from the known one by less than this share is noise, and enters an average with
# weight RATE_GAIN.
RATE_NOISE_BAND, RATE_GAIN = 0.3, 0.3
# Calls a second: a reported rate outside of this range is noise; 0 means no limit.
MIN_RATE, MAX_RATE = 0.01, 1e6
# A reported rate below this share of the known one may be noise, and counts once the next report confirms it
# up to the factor.
DOUBTFUL_RATE_SHARE, CONFIRMING_FACTOR = 0.1, 2.0
# A longer retry-after may be noise: it counts for this time, and in full once a call after that is told one.
MAX_UNCONFIRMED_RETRY_AFTER = 30 * SECOND
# Without outcomes, the call interval halves in this time, or in twice the interval if that is longer.
INTERVAL_HALF_LIFE = 10 * SECOND
TENANT_BURST = 2 * SECOND  # a tenant may be ahead of its rate by the messages of this time
# In a large fleet a tenant may always be ahead by nearly this many messages (times fleet_factor), as its
# share of TENANT_BURST may be less than one message.
TENANT_MIN_BURST = 4
MAX_HELD_SHARE = 0.9  # share of max_open above which messages are shed, so that new ones have room
# Idle connections are closed early above this share of failed connects at a kind of destination.
CAPPED_CONNECT_SHARE = 0.02
# Calls that take this many usual latencies or more reduce a destination's share of the slots.
LONG_CALL_FACTOR = 3.0
# Above this loss_share of a route, unsafe messages prefer a route with less than half of it.
LOSSY_ROUTE_SHARE = 0.1
# Idle connections are closed before use above this share of calls lost on them: for repeatable, and for
# unsafe messages.
STALE_SHARE, STALE_SHARE_UNSAFE = 0.4, 0.2
# Average of the calls lost on idle connections: weight of one call, and half-life.
STALE_GAIN, STALE_HALF_LIFE = 0.3, 15 * SECOND
STALE_MIN_IDLE = 250 * MS  # no peer drops a connection that has been idle for less
# Bound on the backoff after a first failed list request, as a share of ask_within_ns. It doubles with each
# failure, up to ask_within_ns; the backoff is a random time between a quarter and three quarters of it.
FIRST_RESUBSCRIBE_SHARE = 0.1
MIN_WORTH = 0.01  # of a message whose delivery is still wanted
MAX_LOG_LINES = 200  # per controller
FAULT_RETRY_INTERVAL = 100 * MS  # from an exception in the choice for a destination to the next choice
NO_TIMESTAMPS = list[int]()  # shared by limits without calls, to save memory; never mutated


class Limit:
    """Paces this forwarder's calls under a rate limit.

    The limit is that of one route, or one that all routes of a destination share. Uses the generic cell rate
    algorithm (GCRA): each call advances the theoretical arrival time by the call interval.
    """

    __slots__ = (
        "rate",
        "doubtful_rate",
        "rate_before_rise",
        "interval",
        "jitter",
        "theoretical_arrival",
        "updated_at",
        "last_call_at",
        "refusals",
        "refused_since",
        "calls",
        "answers",
        "share",
    )

    def __init__(self) -> None:
        self.rate = 0.0  # reported limit in calls a second over all forwarders; 0: unknown
        self.doubtful_rate = 0.0  # the last reported limit if it is not believed yet, else 0
        self.rate_before_rise = 0.0  # the limit that was known before the last rise by more than tenfold
        # This forwarder's agreed share of the limit in calls a second; 0: no share was agreed.
        self.share = 0.0
        # ns between calls; estimated from refusals and answers, as other forwarders' calls are not seen.
        self.interval = 0.0
        self.jitter = 1.0  # random factor on the next interval during fail-back
        # theoretical_arrival: time at which the calls made so far conform to the interval (GCRA).
        self.theoretical_arrival = self.updated_at = self.last_call_at = 0
        self.refusals = self.refused_since = 0  # refusals since the last answer, and the time of the first
        self.calls = self.answers = NO_TIMESTAMPS  # times of calls and of answers within the last fall_ns

    def credible_rate(self, reported: float) -> float:
        """Return the limit to count with after a report: the known one while the reported one is doubtful.

        Noise in one response could otherwise stop the calls for hours, as the call interval follows from the
        limit and is corrected by the next answer only. A rise counts at once, and is taken back at once.
        """
        doubtful, self.doubtful_rate = self.doubtful_rate, 0.0
        if reported and not MIN_RATE < reported < MAX_RATE:
            return self.rate
        if reported * DOUBTFUL_RATE_SHARE > self.rate:
            self.rate_before_rise = self.rate
        if not reported or reported >= DOUBTFUL_RATE_SHARE * (self.rate or DEFAULT_RATE):
            return reported
        if _is_similar_rate(reported, doubtful) or _is_similar_rate(reported, self.rate_before_rise):
            return reported
        self.doubtful_rate = reported
        return self.rate

    def update(
        self,
        now: int,
        refused: bool,
        equal_interval: float = NEVER,
        refusal_share: float = 0.0,
        fleet_factor: float = 0.0,
        remaining: float = 1.0,
    ) -> None:
        """Adjust the interval: refusals lengthen it, answers shorten it, and it decays with time.

        The more of the allowance is left (``remaining``), the more an answer shortens it; in a large fleet
        with little left, an answer may lengthen it. A large fleet starts at the equal share: where each
        forwarder calls seldom, small steps from zero would have all of them refused over and over before they
        found the interval. An agreed share replaces all of this. ``equal_interval``: the call interval in ns
        if all forwarders had equal shares. ``refusal_share``: share of refused calls. ``fleet_factor``: as in
        ``Controller``.
        """
        if self.share:  # a share agreed among the forwarders is neither estimated nor decayed
            self.interval, self.updated_at = SECOND / self.share, now
            return
        decay = 0.5 ** ((now - self.updated_at) / max(INTERVAL_HALF_LIFE, 2 * self.interval))
        decrease = (
            fleet_factor
            * max(0.0, min(1.0, remaining) - AMPLE_ALLOWANCE)
            * min(1.0, 2 * self.interval / INTERVAL_HALF_LIFE)
        )
        self.interval *= decay * (
            INTERVAL_GROWTH
            if refused
            else 1 - decrease - INTERVAL_DECREASE * (1 - fleet_factor * (1 - min(1.0, remaining)))
        )
        scarcity = 1.0 if refused else max(0.0, 1 - remaining / SCARCE_ALLOWANCE)
        minimum = max(
            SECOND / self.rate if self.rate else 0.0,
            max(fleet_factor * scarcity, refusal_share) * equal_interval,
        )
        self.interval = min(
            max(MIN_INTERVAL_CAP, (MAX_INTERVAL_SHARES - fleet_factor) * equal_interval),
            max(self.interval, minimum),
        )
        self.updated_at = now


def _is_similar_rate(reported: float, other: float) -> bool:
    """Return whether a reported rate confirms another one; never if that is 0."""
    return other > 0 and other / CONFIRMING_FACTOR <= reported <= other * CONFIRMING_FACTOR


class Controller:
    """Decides for one forwarder; see ``handle``.

    ``clock_offset``: nanoseconds from the caller's monotonic clock to the wall clock, which forwarders share.
    """

    def __init__(self, settings: api.Settings, seed: int, clock_offset: int = 0):
        self.settings = settings
        self.clock_offset = clock_offset
        self.decision_lag = 2 * settings.tick_ns + 10 * MS  # maximum time from a decision to its effect
        # 0 in a small fleet, near 1 in a large one.
        self.fleet_factor = max(0.0, 1 - SMALL_FLEET_SIZE / settings.forwarders)
        self.random = random.Random(seed)
        self.now = self.sweep_at = 0  # sweep_at: time of the next sweep of removed routes
        self.messages: dict[int, Message] = {}
        self.routes: dict[api.EndpointId, Route] = {}
        self.destinations: dict[int, Destination] = {}
        self.key_queues: dict[int, deque[Message]] = {}  # by ordering key: unfinished messages in order
        # By ordering key: end of the time in which an earlier attempt may still be running.
        self.key_available_at: dict[int, int] = {}
        self.waiting: dict[int, Destination] = {}  # by id: destinations with queued messages
        self.inflight = self.unsafe_inflight = 0  # calls in flight; attempts of unsafe messages in flight
        # By tenant: this forwarder's agreed share of the tenant's rate, in messages a second.
        self.tenant_rates: dict[int, float] = {}
        self.tenant_arrivals: dict[int, int] = {}  # theoretical arrival time (GCRA) of a tenant's messages
        # Number of log lines; moving mean of the logarithms of all latencies.
        self.log_count, self.log_latency = 0, 0.0
        self.default_latency = UNKNOWN_LATENCY_AIM_SHARE * min(cls.aim_ns for cls in settings.classes)
        self.connect_failure_shares: dict[int, float] = {}  # by kind of destination
        # By kind of destination: share of refused calls among all calls, and among calls that don't follow a
        # refusal.
        self.refusal_shares: dict[int, list[float]] = {}
        # Usual shares over all routes: of calls that fail by ERROR or a failed connect, and of calls that are
        # lost (TIMEOUT, RESET).
        self.failure_shares = [0.0, 0.0]
        # idle_loss: share of calls lost on idle connections, beyond the share lost on new ones (new_loss).
        self.idle_loss = self.new_loss = 0.0
        # Time of the last update of idle_loss; shortest idle time after which a call was lost.
        self.idle_loss_updated_at, self.shortest_lost_idle = 0, NEVER
        self.closed_after = int(CLOSED_FALL_SHARE * settings.fall_ns)
        # Time of the next request of the endpoint list; number of consecutive failed requests.
        self.subscribe_at, self.failed_subscribes = 0 if settings.must_subscribe else NEVER, 0
        self.actions: list[api.Action] = []

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Process a batch of events in order and return the resulting actions in order.

        An exception concerns only the message or the destination that it meets: the traceback is an action
        ``Fault``, and the other events have their effect.
        """
        self.now, self.actions = now, []
        if self.subscribe_at <= now:
            self.subscribe_at = NEVER
            self.actions.append(api.Subscribe())
        touched: dict[int, Destination] = {}
        for event in events:
            try:
                dest = self._on_event(event)
            except Exception:
                self._note_fault()
                dest = self._recover(event)
            if dest is not None:
                touched[dest.id] = dest
            elif isinstance(event, api.EndpointList):
                touched.update(self.waiting)
        if len(self.messages) > MAX_HELD_SHARE * self.settings.max_open:
            try:
                self._shed_load()
            except Exception:
                self._note_fault()
        touched.update((dest.id, dest) for dest in self.waiting.values() if dest.wake_at <= self.now)
        ready = []
        for dest in touched.values():
            ready.append(dest) if dest.queue else self.waiting.pop(dest.id, None)
        if self.inflight >= self.settings.slots:  # checked again as soon as a slot is free
            for dest in ready:
                self.waiting[dest.id], dest.wake_at = dest, self.now
        else:
            for dest in self._by_slot_cost(ready) if len(ready) > 1 else ready:
                try:
                    self._dispatch(dest)
                except Exception:
                    self._note_fault()
                    self._postpone(dest)
        return self.actions

    def _on_event(self, event: api.Event) -> Destination | None:
        """Process one event; return the destination for which a choice may be due."""
        if isinstance(event, api.AttemptEnded):
            return self._on_attempt_ended(event)
        if isinstance(event, api.Arrival):
            return self._on_arrival(event)
        if isinstance(event, api.TimerFired):
            return self._on_timer(event.token)
        if isinstance(event, api.Withdrawn):
            message = self.messages.get(event.message)
            if message is None or message.done:
                return None
            self._finish(message)
            return message.dest
        if isinstance(event, api.Parts):
            self._on_shares(event)
        elif isinstance(event, api.Judged):
            self._on_judged(event)
        else:
            self._on_endpoint_list(event)
        return None

    def _note_fault(self) -> None:
        """Report the exception that is being handled."""
        self.actions.append(api.Fault(traceback.format_exc()))

    def _recover(self, event: api.Event) -> Destination | None:
        """Bring the message of an event that raised an exception back into order.

        One whose attempt has ended is tried again as usual; any other gets its final answer.
        """
        if isinstance(event, api.TimerFired):
            number = -1 if event.token & 1 else event.token >> 1
        elif isinstance(event, (api.Arrival, api.AttemptEnded, api.Withdrawn)):
            number = event.message
        else:
            return None
        message = self.messages.get(number)
        if message is None:
            if isinstance(event, api.Arrival):
                may_have_run = event.maybe_since_ns is not None
                self.actions.append(api.Fail(number) if may_have_run else api.Refuse(number, 0))
            return None
        if message.done:
            self._forget(message)
        elif not message.in_flight:
            self._abandon(message)
        return message.dest

    def _postpone(self, dest: Destination) -> None:
        """Choose again for a destination whose choice raised an exception, after a pause.

        Messages that it could not decide stay queued; they end at their time at the latest.
        """
        dest.queue = [message for message in dest.queue if not message.done and not message.in_flight]
        self.waiting.pop(dest.id, None)
        if dest.queue:
            self.waiting[dest.id] = dest
            self._wake_by(dest, self.now + FAULT_RETRY_INTERVAL)

    def _by_slot_cost(self, dests: list[Destination]) -> list[Destination]:
        """Return the destinations with the most worth per slot time first."""
        try:
            return sorted(dests, key=self._slot_cost)
        except Exception:
            self._note_fault()
            return dests

    def _slot_cost(self, dest: Destination) -> float:
        """Return the time for which a call holds a slot, divided by the worth of the best queued message."""
        worth = max(MIN_WORTH, max(self._worth(message, self.now) for message in dest.queue))
        return max(dest.mean_latency or self._usual_latency(), 1.0) / worth

    def _worth(self, message: Message, at: int) -> float:
        """Return the worth of a delivery of the message at that time."""
        cls = message.cls
        age = at - message.deadline + cls.deadline_ns
        if at <= message.full_worth_until or cls.deadline_ns == cls.aim_ns:
            return message.weight
        if self.settings.decay is api.Decay.HALVES:
            return message.weight * max(cls.late_worth, math.exp2(1 - age / cls.aim_ns))
        lateness = (age - cls.aim_ns) / (cls.deadline_ns - cls.aim_ns)
        return message.weight * (1 - (1 - cls.late_worth) * lateness)

    def _usual_latency(self) -> float:
        """Return the moving geometric mean of all latencies, or a default before the first."""
        return math.exp(self.log_latency) if self.log_latency else self.default_latency

    def _shed_load(self) -> None:
        """Refuse the least valuable messages of the longest backlog while nearly max_open are held.

        Otherwise new messages would be refused at max_open, whatever their worth. The longest backlog is that
        with the most calls times latency; if none of its messages may be refused, no other one is tried. The
        client that has the most messages in it loses one.
        """
        for _ in range(len(self.messages)):
            if len(self.messages) <= MAX_HELD_SHARE * self.settings.max_open or not self.waiting:
                return
            dest = max(
                self.waiting.values(), key=lambda d: len(d.queue) * (d.mean_latency or self._usual_latency())
            )
            if not (
                candidates := [m for m in dest.queue if self._may_refuse(m) and not self._is_reserved(m)]
            ):
                return
            held = Counter(message.client for message in dest.queue)
            most = max(held[message.client] for message in candidates)
            self._abandon(
                min(
                    (message for message in candidates if held[message.client] == most),
                    key=lambda m: self._worth(m, self.now),
                )
            )

    def _on_endpoint_list(self, event: api.EndpointList) -> None:
        """Apply an endpoint list, or schedule a new request if the last one failed.

        A removed route gets no new calls; outcomes of earlier ones still count.
        """
        if event.kind is api.ListKind.FAILED:
            if self.settings.must_subscribe:
                share = (
                    min(1.0, FIRST_RESUBSCRIBE_SHARE * 2 ** min(self.failed_subscribes, 30))
                    * (0.5 + self.random.random())
                    / 2
                )
                self.subscribe_at, self.failed_subscribes = (
                    self.now + int(self.settings.ask_within_ns * share),
                    self.failed_subscribes + 1,
                )
                # The timer only causes a call of ``handle``: NEVER is the token of no message or destination.
                self.actions.append(api.SetTimer(NEVER, self.subscribe_at))
            return
        self.failed_subscribes = 0
        added: list[tuple[Route, float]] = []
        if event.kind is not api.ListKind.DELTA:
            listed = {entry.id for entry in event.endpoints}
            for route in list(self.routes.values()):
                if route.id not in listed:
                    self._remove_route(route)
        for entry in event.endpoints:
            known = self.routes.get(entry.id)
            if entry.state is not api.EndpointState.READY:
                if known is not None:
                    self._remove_route(known)
                continue
            dest = self.destinations.setdefault(entry.destination, Destination(entry.destination))
            dest.kind, kinds = entry.kind, self.settings.routes_apart
            dest.separate_limits = kinds[entry.kind] if entry.kind < len(kinds) else False
            if known is None or known.dest is not dest:
                if known is not None:
                    self._remove_route(known)
                dest.limit = limit = Limit() if dest.separate_limits or dest.limit is None else dest.limit
                known = self.routes[entry.id] = Route(entry, dest, self.random.expovariate(1.0), limit)
                added.append((known, entry.limit if DEFAULT_RATE <= entry.limit < 1e6 else 0.0))
                if entry.down_ns:
                    self._restore_outage(known, entry)
            known.rate = min(max(0.1, entry.rate), 1e6)  # few calls at a missing, absurd or NaN rate
            known.ready, known.zone, known.rank = True, entry.zone, entry.rank
            known.max_timeout, known.max_failures = entry.patience_ns or NEVER, entry.fails or NEVER
            dest.max_attempts = min(entry.tries or self.settings.max_attempts, self.settings.max_attempts)
            dest.routes = sorted([r for r in dest.routes if r is not known] + [known], key=self._preference)
        # A removed route is kept for ramp_ns after its last outcome and its retry-after, as it may be listed
        # again. Sweeping at intervals keeps the cost of a change independent of the number of listed routes.
        since = self.now - self.settings.ramp_ns
        if len(self.routes) < EAGER_SWEEP_MAX_ROUTES or self.now >= self.sweep_at:
            self.sweep_at = self.now + self.settings.ramp_ns
            kept = [
                r
                for r in self.routes.values()
                if r.ready or max(r.last_outcome_at, r.retry_after_until) > since
            ]
            self.routes = {route.id: route for route in kept}
        for route, known_rate in added:
            rate = known_rate or min(
                (sibling.limit.rate for sibling in route.dest.routes if sibling.limit.rate), default=0.0
            )
            # All forwarders learn of a new route at the same time, and would all call it at once.
            if self.fleet_factor and rate and not route.limit.rate:
                route.limit.rate, route.limit.updated_at = rate, self.now
                route.limit.interval = (
                    self.fleet_factor
                    * SECOND
                    * self.settings.forwarders
                    / rate
                    * (RESTART_INTERVAL_SHARE if known_rate else 1)
                )
            # Where routes share outages, a route that is listed during one is no healthier than the others.
            if not route.dest.separate_limits and route.dest.last_trouble_at > since:
                self._mark_down(route, "joins a destination in trouble")

    def _restore_outage(self, route: Route, entry: api.Endpoint) -> None:
        """Restore the state of a route that was down or recovering when this forwarder stopped.

        Otherwise all restarted forwarders would send their backlog to a recovering route at once, in addition
        to the calls of the others. A route whose slow start is over by now counts as up.
        """
        recovering_since = self.now - entry.back_ns
        if entry.back_ns and recovering_since + self.settings.ramp_ns <= self.now:
            return
        route.down, route.failing_since, route.recovering_since = (
            True,
            self.now - entry.down_ns,
            recovering_since if entry.back_ns else None,
        )
        route.last_call_at = self.now
        route.limit.calls, route.limit.jitter = [self.now], self.random.random()

    def outages(self, endpoint: api.EndpointId) -> dict[api.EndpointId, tuple[int, int | None] | None]:
        """Return the outages of all routes of this endpoint's destination.

        Each is (failing since, recovering since or None), or None for a route that is up. Empty if the
        endpoint is unknown.
        """
        route = self.routes.get(endpoint)
        routes = route.dest.routes if route is not None else ()
        return {
            sibling.id: (sibling.failing_since, sibling.recovering_since) if sibling.down else None
            for sibling in routes
        }

    def _on_shares(self, event: api.Parts) -> None:
        """Apply this forwarder's agreed shares of limits and of tenants' rates.

        A share of a limit replaces the estimated interval and the rotation of turns; a share of a tenant's
        rate replaces the equal share.
        """
        self.tenant_rates.update(event.tenants)
        for endpoint, rate in event.parts:
            if (route := self.routes.get(endpoint)) is not None:
                route.limit.share = rate
                route.limit.interval = SECOND / rate if rate else route.limit.interval
                route.limit.theoretical_arrival = min(
                    route.limit.theoretical_arrival, self.now + BURST_TOLERANCE + int(route.limit.interval)
                )
                self._wake_by(route.dest, self.now)

    def _on_judged(self, event: api.Judged) -> None:
        """Suspend routes, or limit them to one call at a time, as other forwarders' reports require."""
        for endpoint, until, one_at_a_time in event.routes:
            if (route := self.routes.get(endpoint)) is not None:
                route.suspended_until, route.one_at_a_time = until, one_at_a_time
                self._wake_by(route.dest, self.now)

    def _remove_route(self, route: Route) -> None:
        """Take a draining or removed route out of use."""
        route.ready = False
        route.dest.routes = [other for other in route.dest.routes if other is not route]

    def _preference(self, route: Route) -> tuple[int, float, float]:
        """Return the sort key of a destination's routes: rank, cost, then a random draw weighted by rate.

        Without the draw many forwarders would call the same route first and have most calls refused there.
        """
        tolls = self.settings.tolls if route.dest.separate_limits else ()
        cost = tolls[route.zone] if route.zone < len(tolls) else 0.0
        cost += self.settings.cross_zone_fee if route.zone != self.settings.zone else 0.0
        return (route.rank, cost, route.order_draw / route.rate)

    def _on_arrival(self, event: api.Arrival) -> Destination:
        """Accept a message; one that can't be attempted gets its final answer at once."""
        dest = self.destinations.setdefault(event.destination, Destination(event.destination))
        message = Message(
            event.message,
            self.settings.classes[event.message_class],
            dest,
            event,
            self.now,
            self.decision_lag,
        )
        self.messages[message.id] = message
        message.attempts = event.attempts
        if event.maybe_since_ns is not None:  # recovered after a restart: a call then in flight may have run
            message.may_have_run = True
            if message.cls.safety is Safety.KEYED:
                message.window_end = event.maybe_since_ns + message.cls.window_ns
        if message.cls.ordered and message.key:
            self.key_queues.setdefault(message.key, deque()).append(message)
        if event.tenant < len(self.settings.tenants) and self.settings.tenants[event.tenant].rate > 0:
            # A message beyond its tenant's share has less weight, so that a burst does not displace other
            # tenants' messages.
            spacing = int(SECOND * self.settings.forwarders / self.settings.tenants[event.tenant].rate)
            if event.tenant in self.tenant_rates:
                spacing = int(SECOND / self.tenant_rates[event.tenant])
            arrival = max(self.tenant_arrivals.get(event.tenant, 0), self.now) + spacing
            if arrival > self.now + max(TENANT_BURST, TENANT_MIN_BURST * self.fleet_factor * spacing):
                message.weight *= self.settings.over_share_worth
            else:
                self.tenant_arrivals[event.tenant] = arrival
        unrepeatable = message.may_have_run and message.cls.safety is Safety.UNSAFE
        if unrepeatable or message.attempts >= self._max_attempts(message) or message.answer_by <= self.now:
            self._abandon(message)
            return dest
        dest.queue.append(message)
        self.actions.append(api.SetTimer(message.id * 2, max(self.now, message.answer_by)))
        return dest

    def _on_timer(self, token: int) -> Destination | None:
        """Handle a destination's wake-up (odd token) or a message's latest answer time (even).

        At that time a waiting message is abandoned. One in flight is left to its time-out, which ends by then
        or, for an attempt that began less than a tick before, within a tick.
        """
        if token & 1:
            if (dest := self.destinations.get(token >> 1)) is not None and dest.wake_at <= self.now:
                dest.wake_at = NEVER
            return dest
        message = self.messages.get(token >> 1)
        if message is None or message.done or message.in_flight:
            return None
        self._abandon(message)
        return message.dest

    def may_still_send(self, now: int, endpoint: api.EndpointId, number: int) -> bool:
        """Return whether a call that was decided earlier may still be sent.

        It may not if the route is draining, removed or has a retry-after, if the message's repeat window is
        about to end, or if the route or the message is no longer known.
        """
        route, message = self.routes.get(endpoint), self.messages.get(number)
        if route is None or message is None or now + self.decision_lag >= message.window_end:
            return False
        return route.ready and max(route.retry_after_until, route.dest.retry_after_until) <= now

    def _may_refuse(self, message: Message) -> bool:
        """Return whether the message may be refused, which promises that it may safely be submitted again."""
        repeatable = message.cls.safety is Safety.KEYED and not message.cls.zone_bound
        return (
            message.cls.safety is Safety.SAFE
            or not message.in_flight
            and (not message.may_have_run or repeatable)
        )

    def _is_reserved(self, message: Message) -> bool:
        """Return whether the message was recovered without attempts and has time reserved for the first.

        A reserved message is refused neither in favour of others nor because of an estimate.
        """
        return message.attempts == 0 and self.now < message.reserved_until

    def _abandon(self, message: Message) -> None:
        """Give the final answer of a message that gets no further attempt: Refuse if allowed, else Fail."""
        if self._may_refuse(message):
            self.actions.append(api.Refuse(message.id, self._advised_retry_after(message)))
        else:
            self.actions.append(api.Fail(message.id))
        self._finish(message)

    def _advised_retry_after(self, message: Message) -> int:
        """Return in how many ns a client may submit a refused message again."""
        retry_after = message.cls.aim_ns // 2
        try:
            next_call_at = min((self._next_call_at(route) for route in message.dest.routes), default=NEVER)
            retry_after = max(next_call_at - self.now, retry_after)
        except Exception:  # the answer is due whether or not the time of the next call can be told
            self._note_fault()
        return min(retry_after, self.settings.max_retry_after_ns)

    def _finish(self, message: Message) -> None:
        """Mark the message as answered; its attempts may still be in flight."""
        message.done = True
        if message in message.dest.queue:
            message.dest.queue.remove(message)
        self._forget(message)

    def _forget(self, message: Message) -> None:
        """Drop a message if it is finished without attempts in flight; wake the next of its ordering key."""
        if not message.done or message.in_flight:
            return
        self.messages.pop(message.id, None)
        if not (message.cls.ordered and message.key):
            return
        (queue := self.key_queues[message.key]).remove(message)
        if queue:
            self._wake_by(queue[0].dest, max(self.now, self.key_available_at.get(message.key, 0)))
        else:
            del self.key_queues[message.key]

    def _may_use(self, message: Message, route: Route) -> bool:
        """Return whether the message's own rules allow an attempt on this route now."""
        cls = message.cls
        if (
            message.done
            or not route.ready
            or message.attempts >= self._max_attempts(message)
            or message.in_flight
        ):
            return False
        other_zone = cls.safety is Safety.KEYED and cls.zone_bound and route.zone != message.zone
        unsafe = cls.safety is Safety.UNSAFE
        barred = message.may_have_run and (unsafe or other_zone) or self.now >= message.window_end
        return not barred and self._key_turn_at(message) <= self.now

    def _max_attempts(self, message: Message) -> int:
        """Return the bound on the message's attempts."""
        return min(self.settings.max_attempts, message.dest.max_attempts)

    def _key_turn_at(self, message: Message) -> int:
        """Return when the message's ordering key is available; NEVER while an earlier one is unfinished."""
        if not (message.cls.ordered and message.key):
            return 0
        return (
            self.key_available_at.get(message.key, 0) if self.key_queues[message.key][0] is message else NEVER
        )

    def _next_call_at(self, route: Route) -> int:
        """Return the time of the route's next call; a call may be made if it is not after ``now``.

        It follows from retry-after, pacing, suspension and fail-back. Where it depends on calls in flight, it
        is the time at which to check again.
        """
        at = max(route.retry_after_until, route.dest.retry_after_until)
        at = max(at, self._rotation_turn(route, route.limit.theoretical_arrival - BURST_TOLERANCE))
        if route.suspended_until > self.now and (route.inflight or not route.one_at_a_time):
            at = max(
                at,
                min(route.suspended_until, self.now + RECHECK_INTERVAL)
                if route.one_at_a_time
                else route.suspended_until,
            )
        if route.limit.refusals and route.inflight:
            return max(at, self.now + MIN_REFUSAL_PAUSE)  # after a refusal a single call probes the limit
        # A route that has not answered yet may hang, as may the routes that it replaces.
        if not route.successes and route.inflight >= MAX_CALLS_UNPROVEN:
            return max(at, self.now + RECHECK_INTERVAL)
        if route.down or route.failures or self.is_silent(route):
            at = max(at, self._failback_call_at(route))
            if at <= self.now and self._is_suspect(route):
                # When many routes hang at once, calls to them must not hold all slots until their time-outs.
                stuck = sum(r.inflight for r in self.routes.values() if r.inflight and self._is_suspect(r))
                if self.is_silent(route) or stuck >= max(1.0, SUSPECT_SLOT_SHARE * self.settings.slots):
                    at = self.now + RECHECK_INTERVAL
        return at

    def _rotation_turn(self, route: Route, at: int) -> int:
        """Return this forwarder's next turn at or after ``at``, by its number and the shared clock.

        Turns apply where a large fleet shares a limit of which little is left. Without them, all forwarders
        that were delayed by the same burst or retry-after would call at the same instant, and a forwarder
        that calls seldom would act on old information. The cost is a mean wait of half an equal-share
        interval, but without it calls would often be refused. Elsewhere ``at`` is returned unchanged.
        """
        limit = route.limit
        equal_interval = int(SECOND * self.settings.forwarders / limit.rate) if limit.rate else NEVER
        if not self.fleet_factor or limit.share or limit.interval < TURN_INTERVAL_SHARE * equal_interval:
            return at
        at = max(at, limit.last_call_at + equal_interval // 2 if limit.last_call_at else limit.updated_at)
        # Rate estimates are noisy: turns are counted anew in each short frame, so that errors don't add up.
        frame = 1 << (4 * equal_interval).bit_length()
        turn = (self.settings.number / self.settings.forwarders + route.rotation_offset) % 1
        return at + int(turn * equal_interval - (at + self.clock_offset) % frame) % equal_interval

    def _is_suspect(self, route: Route) -> bool:
        """Return whether calls to the route are likely to time out.

        One quick failure does not count, as some routes lose a call now and then.
        """
        return (
            route.down
            or route.failures > 1
            or route.failures > 0
            and route.timed_out
            or self.is_silent(route)
        )

    def is_silent(self, route: Route) -> bool:
        """Return whether the route seems to hang: no outcome of its calls for longer than its latency bound.

        New messages then avoid the route before the first time-out. Two calls must be in flight, but one very
        long call has the same effect as soon as a second one has been sent.
        """
        return (
            route.successes > 0
            and route.inflight >= 2
            and self.now - route.last_outcome_at > self._latency_bound(route)
        )

    def _latency_bound(self, route: Route) -> float:
        """Return a latency that few calls exceed: mean + 3 deviations, or an estimate from few samples."""
        return (
            route.mean_latency + 3 * route.latency_deviation
            if route.successes >= 3
            else UNKNOWN_LATENCY_FACTOR * (route.dest.mean_latency or self._usual_latency())
        )

    def _failback_call_at(self, route: Route) -> int:
        """Return when the fail-back budget allows the next call to a failing or recovering route; 0: at once.

        An outage ends without notice, and the route can then bear only part of its rate (slow start). In any
        fall_ns this forwarder sends its share of the calls that a recovering route can bear, or a multiple of
        the calls that the route has just served it if that is more. The number of forwarders that hold
        messages for the route is taken to be two, plus the calls at its rate since the outage began if the
        route is down, but never more than the fleet has. The cost is that a burst of calls right after a
        failure is slowed down.
        """
        bearable = self.settings.cold_from
        if route.recovering_since is not None:
            bearable += (1 - bearable) * min(
                1.0, max(0, self.now - route.recovering_since) / self.settings.ramp_ns
            )
        rate, window = self._fleet_rate(route), self.settings.fall_ns
        aware = 2.0  # estimated number of forwarders that hold messages for the route
        # A forwarder that calls seldom notices an outage late, possibly some windows after its beginning.
        if route.down:
            outage_time = max(route.last_call_at, route.retry_after_until) - route.failing_since
            aware += rate * (max(0, outage_time) + LATE_DETECTION_WINDOWS * window) / SECOND
        if self.settings.rate_hint is api.RateHint.ROUGH and not route.limit.rate:
            rate *= ROUGH_RATE_FACTOR
        allowed = bearable * rate * window / SECOND / min(self.settings.forwarders, aware)
        limit = route.limit
        self._prune(limit.answers)
        served = float(len(limit.answers))
        if route.down:  # the calls of one window must not raise the budget of the same window
            served = min(served, max(1.0, FAILBACK_GROWTH * allowed))
        allowed = max(allowed, served) * FAILBACK_SAFETY_FACTOR * self.settings.tip_multiple
        count = max(1, int(allowed))
        if len(limit.calls) < count:
            return 0
        # Without jitter, forwarders that noticed the outage in the same burst, or restarted together, would
        # call at the same instant.
        return limit.calls[-count] + (window if allowed >= 1 else int(window / allowed * limit.jitter))

    def _fleet_rate(self, route: Route) -> float:
        """Return the calls a second of all forwarders: as reported, else as listed, else a low default."""
        return route.limit.rate or (
            DEFAULT_RATE if self.settings.rate_hint is api.RateHint.NONE else route.rate
        )

    def _prune(self, times: list[int]) -> None:
        """Remove timestamps older than fall_ns."""
        del times[: bisect_right(times, self.now - self.settings.fall_ns)]

    def _slot_cap(self, dest: Destination) -> int:
        """Return the maximum of a destination's slots: half; less for long calls or a silent route."""
        half = int(
            self.settings.slots
            // 2
            * min(1.0, LONG_CALL_FACTOR * self._usual_latency() / max(dest.mean_latency, 1.0))
        )
        return max(1, half // 2 if any(self.is_silent(route) for route in dest.routes) else half)

    def _dispatch(self, dest: Destination) -> None:
        """Send what may go now, the most valuable messages first, and set the next wake-up."""
        # Whether other destinations wait for a slot.
        contended = any(d is not dest and d.wake_at <= self.now for d in self.waiting.values())
        cap = self._slot_cap(dest)
        kept: list[Message] = []
        expired: list[Message] = []
        wake_at = NEVER
        next_calls: list[int] | None = None  # by route; computed again after each call
        calls: list[Call] = []  # calls started in this reply; later messages for the same route may join one
        bundle = self.settings.bundles[dest.kind] if dest.kind < len(self.settings.bundles) else 1
        queue, free = dest.queue, self.settings.slots - self.inflight
        scarce = contended or free <= max(1, self.settings.slots // 8)
        sortable = len(queue) > 1 and (dest.inflight < cap or not scarce)
        if sortable and any(self._next_call_at(route) <= self.now for route in dest.routes):
            queue = self._in_order_of_calls(dest)
        for index, message in enumerate(queue):
            if self.now >= message.window_end:
                expired.append(message)  # no route may get a repeat any more
                continue
            joinable = calls if message.not_before <= self.now else None
            call = None
            if bundle > 1:
                call = next(
                    (c for c in joinable or () if c.size < bundle and self._may_use(message, c.route)), None
                )
            if call is not None:
                self._start_attempt(message, call.route, call)
                continue
            free = self.settings.slots - self.inflight
            if free <= 0 or (
                dest.inflight >= cap and (contended or free <= max(1, self.settings.slots // 8))
            ):
                wake_at = self.now  # as soon as a slot is free
                # With bundles, later messages may still join a call that was started in this reply.
                kept += queue[index:] if bundle <= 1 else [message]
                if bundle > 1:
                    continue
                break
            next_calls = next_calls or [max(self._next_call_at(route), self.now) for route in dest.routes]
            soonest = min(next_calls, default=NEVER)
            if soonest > self.now:
                # Messages that no route can take in time are refused at once, as another forwarder may be
                # able to deliver them.
                late = [
                    m
                    for m in queue[index:]
                    if self.now >= m.window_end
                    or dest.routes
                    and soonest > m.deadline
                    and self._may_refuse(m)
                    and not self._is_reserved(m)
                ]
                kept += [m for m in queue[index:] if m not in late] if late else queue[index:]
                expired += late
                wake_at = min(wake_at, soonest)
                break
            if joinable is None:
                wake_at = min(wake_at, message.not_before)
                kept.append(message)
                continue
            route = self._choose_route(message)
            if route is None:
                kept.append(message)
                wake_at = min(
                    [wake_at, *(at for at in (*next_calls, self._key_turn_at(message)) if at > self.now)]
                )
                continue
            call, next_calls = self._start_attempt(message, route, None), None
            # Messages of a call share its outcome: only one message probes a route that may be down.
            if not (route.down or route.failures):
                calls.append(call)
        dest.queue = kept
        for message in expired:
            self._abandon(message)
        self.waiting.pop(dest.id, None)
        if kept:
            self.waiting[dest.id] = dest
            if (wake_at := min(wake_at, *(message.window_end for message in kept), NEVER)) > self.now:
                self._wake_by(dest, wake_at)
            else:
                dest.wake_at = self.now

    def _in_order_of_calls(self, dest: Destination) -> list[Message]:
        """Return a destination's messages, the most valuable first; with close worths, clients take turns.

        Otherwise a client that submits without pause would have all calls, as its latest messages are always
        worth a little more than those of others that have waited. Worths are close if they round to the same
        power of two.
        """
        queue, last_calls = dest.queue, dest.last_call_by_client
        worths = {message.id: self._worth(message, self.now) for message in queue}
        by_worth = sorted(queue, key=lambda message: -worths[message.id])
        clients = {message.client for message in queue}
        if len(clients) == 1:
            dest.last_call_by_client = NO_CLIENTS
            return by_worth
        dest.last_call_by_client = {client: last_calls.get(client, 0) for client in clients}
        turns: Counter[tuple[int, str]] = Counter()
        keys: dict[int, tuple[int, int, int]] = {}
        for message in by_worth:
            level = round(math.log2(max(MIN_WORTH, worths[message.id])))
            keys[message.id] = -level, turns[level, message.client], dest.last_call_by_client[message.client]
            turns[level, message.client] += 1
        return sorted(by_worth, key=lambda message: keys[message.id])

    def _choose_route(self, message: Message) -> Route | None:
        """Return the first available route from the message's current one on, or a much better later one."""
        routes = message.dest.routes
        start = routes.index(message.route) if message.route in routes else 0
        unsafe = message.cls.safety is Safety.UNSAFE
        choice: Route | None = None
        fallback: Route | None = None
        for route in routes[start:] + routes[:start]:
            if self._next_call_at(route) > self.now or not self._may_use(message, route):
                continue
            failed_at, class_only = route.failed_classes.get(message.class_index, (0, False))
            if class_only and self.now - failed_at < self.settings.ramp_ns:
                fallback = fallback or route  # it fails only this class: used if no other is available
            elif choice is None:
                choice = route
            elif (
                route.successes and not route.down and choice.mean_latency > SLOW_FACTOR * route.mean_latency
            ):
                choice = route  # the earlier choice is slow: avoided before calls time out
            elif (
                unsafe
                and route.successes
                and choice.loss_share > LOSSY_ROUTE_SHARE
                and choice.loss_share > 2 * route.loss_share
            ):
                choice = route  # an unsafe message that a call loses can't be sent again
        return choice or fallback

    def _start_attempt(self, message: Message, route: Route, call: Call | None) -> Call:
        """Start an attempt: in a new call, or in a call that was started earlier in this reply."""
        dest = message.dest
        if message.client in dest.last_call_by_client:
            dest.calls += 1
            dest.last_call_by_client[message.client] = dest.calls
        timeout = self._timeout(message, route)
        if message.route is not route:
            message.route, message.tries = route, 0
        if call is None:
            interval = int(route.limit.interval)
            idle = self.now - route.idle_since if not route.inflight else NEVER
            risk = STALE_SHARE_UNSAFE if message.cls.safety is Safety.UNSAFE else STALE_SHARE
            if (idle <= self.settings.idle_ns or route.inflight) and self._decayed_idle_loss() > risk:
                self.actions.append(api.CloseIdle(route.id))
                idle = NEVER
            call = Call(route, self.now, idle if idle <= self.settings.idle_ns else NEVER)
            if not route.inflight:
                route.last_outcome_at = self.now
            route.inflight += 1
            route.dest.inflight += 1
            self.inflight += 1
            route.previous_call_at, route.last_call_at = route.last_call_at, self.now
            limit = route.limit
            limit.theoretical_arrival = max(limit.theoretical_arrival, self.now) + interval
            if len(limit.calls) > 1 and limit.calls[1] <= self.now - self.settings.fall_ns:
                self._prune(limit.calls)
            limit.last_call_at = self.now
            limit.calls = [*limit.calls, self.now]
            limit.jitter = 0.5 + self.random.random()
        call.pending += 1
        call.size += 1
        message.in_flight[message.attempts] = call
        message.attempts += 1
        self.actions.append(api.Send(message.id, route.id, timeout))
        self.unsafe_inflight += message.cls.safety is Safety.UNSAFE
        return call

    def _decayed_idle_loss(self) -> float:
        """Return the share of calls lost on idle connections beyond the share lost on new ones.

        Servers, firewalls and NAT devices may drop idle connections without notice; a large share has them
        closed before use, at the cost of new connections. The share decays, so that a repeatable message
        eventually tests whether calls are still lost.
        """
        return self.idle_loss * float(0.5 ** ((self.now - self.idle_loss_updated_at) / STALE_HALF_LIFE))

    def _timeout(self, message: Message, route: Route) -> int:
        """Return the time-out of this attempt in ns."""
        cls = message.cls
        left = max(self.settings.tick_ns, message.answer_by - self.now)  # later answers would not count
        usual = min(float(cls.aim_ns), self._latency_bound(route))
        # Unsafe and keyed messages get a time-out longer than the connect time-out unless one of the bounds
        # below is shorter: a failed connect proves that the message did not run, and a time-out doesn't.
        floor = self.settings.connect_timeout_ns + self.settings.tick_ns
        # If more calls are never answered than heavy messages can explain, the calls are lost, and a long
        # time-out only ties up slots.
        loss = min(1.0, max(0.0, self.failure_shares[1] / USUAL_LOST_SHARE - 1))
        if cls.safety is Safety.UNSAFE:
            factor = TIMEOUT_FACTOR_UNSAFE - (TIMEOUT_FACTOR_UNSAFE - TIMEOUT_FACTOR_REPEATABLE) * loss
            wanted = max(factor * usual, 2 * cls.aim_ns * (1 - loss), floor + usual)
            if self.unsafe_inflight >= LONG_TIMEOUT_SLOT_SHARE * self.settings.slots:
                # Otherwise calls that hang would hold all slots for seconds.
                wanted = min(wanted, SHORT_TIMEOUT_FACTOR * usual)
        else:
            factor = TIMEOUT_FACTOR_REPEATABLE - (TIMEOUT_FACTOR_REPEATABLE - TIMEOUT_FACTOR_LOSSY) * loss
            grown = factor * usual * 2 ** (min(message.backoffs, 6) * (1 - loss / 2))
            wanted = max(grown, min(cls.aim_ns / 2, MIN_TIMEOUT_FACTOR * usual))
            if cls.safety is Safety.KEYED:
                wanted = max(wanted, min(MIN_TIMEOUT_FACTOR_KEYED * usual, floor + usual))
        return min(left, int(wanted), route.max_timeout)

    def _on_attempt_ended(self, event: api.AttemptEnded) -> Destination | None:
        """Update the estimates from an attempt's outcome, then decide what its message does next."""
        message = self.messages.get(event.message)
        if message is None or event.attempt not in message.in_flight:
            return None
        call = message.in_flight.pop(event.attempt)
        route, sent, dest = call.route, call.sent, call.route.dest
        self.unsafe_inflight -= message.cls.safety is Safety.UNSAFE
        outcome = event.outcome
        call.pending -= 1
        if not call.pending:
            route.inflight -= 1
            dest.inflight -= 1
            self.inflight -= 1
        route.last_outcome_at = self.now
        # A retry-after is respected with any outcome: a damaged answer may carry a genuine one.
        barred = route if dest.separate_limits else dest
        if event.wait_ns:
            event = replace(event, wait_ns=self._credible_retry_after(barred, sent, event.wait_ns))
            barred.retry_after_until = max(barred.retry_after_until, self.now + event.wait_ns)
        elif outcome is Outcome.OK and barred.unconfirmed_until <= sent:
            barred.unconfirmed_until = 0
        if outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            if not message.may_have_run:
                message.may_have_run, message.zone = True, route.zone
                if message.cls.safety is Safety.KEYED:
                    message.window_end = sent + message.cls.window_ns
            # After TIMEOUT, RESET and CANCELLED the attempt may still be running.
            if message.cls.ordered and message.key and outcome is not Outcome.ERROR:
                self.key_available_at = {
                    key: at for key, at in self.key_available_at.items() if at > self.now
                }
                self.key_available_at[message.key] = (
                    self.now + self.settings.settle_ns + self.settings.tick_ns
                )
        if outcome is Outcome.REJECTED:  # the message is at fault, not the route: it is not sent again
            if not message.done and not event.closed:
                self.actions.append(api.Fail(message.id))
                self._finish(message)
        elif (
            outcome is not Outcome.MOOT
            and outcome is not call.counted_outcome  # counted once per call
            and not event.internal_error
        ):
            call.counted_outcome = outcome
            try:
                self._learn(call, event, message.class_index)
            except Exception:  # whatever the report of an endpoint says, its message goes on
                self._note_fault()
        if message.done:
            self._forget(message)
        elif event.closed:
            self._finish(message)
        else:
            self._retry_or_abandon(message, route, outcome)
        return dest

    def _credible_retry_after(self, barred: Destination | Route, sent: int, retry_after: int) -> int:
        """Return for how long a retry-after counts that a call was told which began at ``sent``.

        Nothing tells a long delay that is meant from noise in one response, which must not stop a destination
        for long. So the first one is cut; a call that is made after that confirms it if it is told one again.
        """
        confirmed = 0 < barred.unconfirmed_until <= sent
        if retry_after <= MAX_UNCONFIRMED_RETRY_AFTER or confirmed:
            barred.unconfirmed_until = 0
            return retry_after
        barred.unconfirmed_until = self.now + MAX_UNCONFIRMED_RETRY_AFTER
        return MAX_UNCONFIRMED_RETRY_AFTER

    def _learn(self, call: Call, event: api.AttemptEnded, class_index: int) -> None:
        """Update all estimates from the outcome of a call."""
        route, dest, outcome = call.route, call.route.dest, event.outcome
        capped = outcome is Outcome.CONNECT_FAILED and not route.down
        stale = (
            call.idle < NEVER and self.idle_loss > STALE_SHARE and outcome in (Outcome.TIMEOUT, Outcome.RESET)
        )
        self._learn_idle_loss(call, outcome)
        if not stale:  # a loss on a stale connection says nothing about the route's health
            self._learn_outcome(route, event, call.sent, class_index)
        # Where an endpoint caps its connections, an idle one can keep another forwarder from connecting.
        share = self.connect_failure_shares.get(dest.kind, 0.0)
        share += FAILURE_GAIN * (capped - share)
        self.connect_failure_shares[dest.kind] = share
        max_idle = self.settings.idle_ns * max(0.0, 0.5 - 4 * share)  # shorter, the more connects fail
        seldom_called = route.last_call_at - route.previous_call_at > max_idle
        if seldom_called and share > CAPPED_CONNECT_SHARE and not route.inflight and not dest.queue:
            self.actions.append(api.CloseIdle(route.id))

    def _retry_or_abandon(self, message: Message, route: Route, outcome: Outcome) -> None:
        """Queue an undelivered message for its next attempt, on this route or the next, or abandon it."""
        cls = message.cls
        if message.attempts >= self._max_attempts(message) or (
            message.may_have_run and cls.safety is Safety.UNSAFE
        ):
            self._abandon(message)
            return
        message.tries += 1
        backoff, first = 0, int(cls.aim_ns * FIRST_BACKOFF_AIM_SHARE)
        if outcome is Outcome.FULL or message.tries >= MAX_TRIES_PER_ROUTE:
            # The next route in the order of preference; after the last one, the first again.
            routes, message.tries = message.dest.routes, 0
            if route in routes:
                message.route = routes[(routes.index(route) + 1) % len(routes)]
            if route in routes and message.route is routes[0] and outcome is Outcome.FULL:
                # All routes are full: an immediate call would be refused, hold a slot, and possibly use up
                # part of the limit.
                backoff = first << min(message.full_passes, 10)
                message.full_passes += 1
        if outcome is not Outcome.FULL:
            backoff = min(MAX_BACKOFF, first << min(message.backoffs, 10))
            message.backoffs += 1
        message.not_before = self.now + backoff
        if message.not_before >= min(message.answer_by, message.window_end):
            self._abandon(message)
            return
        message.dest.queue.insert(0, message)

    def _learn_outcome(self, route: Route, event: api.AttemptEnded, sent: int, class_index: int) -> None:
        """Update a route's health, pacing and latency from one outcome."""
        outcome = event.outcome
        column, remaining_column, limit = (
            self.settings.limit_column,
            self.settings.share_left_column,
            route.limit,
        )
        if column is not None and column < len(event.report):
            reported = limit.credible_rate(event.report[column])
            # A small difference is noise and is averaged; a larger one is a new limit and replaces the old.
            gain = RATE_GAIN if abs(limit.rate - reported) < RATE_NOISE_BAND * reported else 1.0
            limit.rate += gain * (reported - limit.rate)
        remaining = UNUSED_ALLOWANCE  # share of the allowance that is left; assumed where not reported
        if limit.rate and remaining_column is not None and remaining_column < len(event.report):
            remaining = event.report[remaining_column]
        equal_interval = SECOND * self.settings.forwarders / self._fleet_rate(route)
        # Refused calls may count against a limit: the more are refused, the longer the call interval.
        refusal_shares, refused = (
            self.refusal_shares.setdefault(route.dest.kind, [0.0, CHANCE_THRESHOLD]),
            outcome is Outcome.FULL,
        )
        refusal_shares[0] += FAILURE_GAIN * (refused - refusal_shares[0])
        if not limit.refusals:
            refusal_shares[1] += FAILURE_GAIN * (refused - refusal_shares[1])
        if refused:
            limit.update(self.now, True, equal_interval, refusal_shares[0], self.fleet_factor)
            limit.refusals += 1
            if limit.refusals == 1:
                limit.refused_since = self.now
            retry_after = event.wait_ns
            # Forwarders that got the same retry-after spread their next calls over one interval after it.
            # Without load reports, calls are the only source of information: the pause is so long that the
            # outcome of the next call is conclusive.
            min_pause = self.closed_after if remaining_column is None else MIN_REFUSAL_PAUSE
            pause = self.random.random() * limit.interval if retry_after else max(min_pause, limit.interval)
            limit.theoretical_arrival = max(
                limit.theoretical_arrival, self.now + retry_after + BURST_TOLERANCE + int(pause)
            )
            # An endpoint over its limit accepts some calls; a closed one, or a hanging one with a full queue,
            # refuses all.
            lasting = self.now - limit.refused_since >= self.closed_after
            closed = (
                retry_after >= self.closed_after
                or lasting
                and (limit.rate or refusal_shares[1] ** limit.refusals < CHANCE_THRESHOLD / 2)
            )
            # A retry-after of three times closed_after is longer than the time window of any rate limit.
            if closed and (remaining >= UNUSED_ALLOWANCE or retry_after >= 3 * self.closed_after):
                route.dest.last_trouble_at = self.now
                for sibling in [route] if route.dest.separate_limits else [route, *route.dest.routes]:
                    sibling.failing_since = sibling.failing_since or limit.refused_since
                    self._mark_down(sibling, "refuses all")
                    if retry_after:
                        # All forwarders that got the retry-after expect the recovery to begin at its end.
                        sibling.recovering_since = self.now + retry_after
            return
        failed = outcome is not Outcome.OK
        route.loss_share += LATENCY_GAIN * (
            (failed and outcome is not Outcome.CONNECT_FAILED) - route.loss_share
        )
        # Failures that are common on all routes say little about one route: their usual shares are estimated.
        lost = outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
        if outcome is not Outcome.CANCELLED and not (failed and (route.down or route.failures)):
            for index in (False, True):  # as an index, False is the share of failures and True that of losses
                self.failure_shares[index] += FAILURE_GAIN * (
                    (failed and index is lost) - self.failure_shares[index]
                )
        if not failed:
            if route.down and route.recovering_since is None:
                # It was closed, not over its limit: from now on the slow start paces the calls.
                limit.interval, limit.theoretical_arrival = 0.0, self.now
            limit.update(
                self.now, False, equal_interval, 0.0, self.fleet_factor, remaining if limit.rate else 1.0
            )
            route.failures = limit.refusals = 0
            route.failed_classes.pop(class_index, None)
            route.dest.failures, route.dest.last_trouble_at = 0, -NEVER
            if not route.down:
                route.failing_since = 0
            route.last_success_at = self.now
            self._prune(route.limit.answers)
            route.limit.answers = [*route.limit.answers, self.now]
            self._learn_latency(route, event.latency_ns)
            if route.down:
                if route.recovering_since is None:
                    route.recovering_since = self.now
                elif self.now - route.recovering_since >= self.settings.ramp_ns:
                    route.down = False
                    route.recovering_since, route.failing_since = None, 0
                    self._log(route, "serves again")
            return
        # A failed connect while other calls are answered means that connections are capped; it is no outage.
        if outcome is Outcome.CONNECT_FAILED and route.last_success_at >= sent and route.inflight:
            limit.update(self.now, True, equal_interval)
            limit.theoretical_arrival = max(
                limit.theoretical_arrival, self.now + BURST_TOLERANCE + MIN_REFUSAL_PAUSE
            )
            return
        # If a class fails twice and other classes were served in between, only this class avoids the route.
        # The cost is one more failure for each class.
        class_only = (
            route.last_success_at > route.failed_classes.get(class_index, (NEVER, False))[0]
            and len(route.failed_classes) == 1
        )
        route.failed_classes = route.failed_classes | {class_index: (self.now, class_only)}
        if class_only:
            return
        route.failures += 1
        route.timed_out = outcome is Outcome.TIMEOUT
        route.dest.failures += 1
        route.dest.last_trouble_at = self.now
        route.failing_since = route.failing_since or self.now
        # A forwarder that calls the route seldom has to act on one failure, unless it is likely to be chance.
        seldom_called = route.last_success_at < sent - self.settings.fall_ns
        # Routes of one destination mostly fail together.
        shared = route.dest.failures > route.failures and (seldom_called or not route.dest.separate_limits)
        usual = self.failure_shares[lost] if lost else min(self.failure_shares[lost], MAX_USUAL_FAILURE_SHARE)
        probability = usual ** (route.dest.failures if shared else route.failures)
        threshold = CHANCE_THRESHOLD / 5 if route.timed_out else QUICK_FAILURE_THRESHOLD
        outage = (
            probability < CHANCE_THRESHOLD
            if seldom_called
            else route.failures >= 3 and probability < threshold
        )
        if outage or route.failures >= route.max_failures:
            for sibling in route.dest.routes if shared else [route]:
                if sibling.failures:
                    self._mark_down(sibling, outcome.name.lower())

    def _learn_idle_loss(self, call: Call, outcome: Outcome) -> None:
        """Update the share of calls that are lost on idle connections, over all routes."""
        lost = outcome in (Outcome.TIMEOUT, Outcome.RESET)
        call.route.idle_since = -NEVER if lost or outcome is Outcome.CONNECT_FAILED else self.now
        if not lost and outcome is not Outcome.OK or call.idle < STALE_MIN_IDLE:
            return
        if call.idle == NEVER:
            self.new_loss += STALE_GAIN / 2 * (lost - self.new_loss)
            return
        self.idle_loss, self.idle_loss_updated_at = self._decayed_idle_loss(), self.now
        if lost:
            self.shortest_lost_idle = min(self.shortest_lost_idle, call.idle)
            self.idle_loss += STALE_GAIN * max(0.0, 1 - self.new_loss - self.idle_loss)
        elif call.idle >= self.shortest_lost_idle:
            self.idle_loss *= 1 - STALE_GAIN
        if self.idle_loss < STALE_SHARE_UNSAFE:
            self.shortest_lost_idle = NEVER

    def _learn_latency(self, route: Route, latency: int) -> None:
        """Update the latency estimates of a route, of its destination and over all destinations."""
        if not route.successes:
            route.mean_latency, route.latency_deviation = float(latency), latency / 2
        else:
            route.latency_deviation += LATENCY_GAIN * (
                abs(latency - route.mean_latency) - route.latency_deviation
            )
            route.mean_latency += LATENCY_GAIN * (latency - route.mean_latency)
        route.successes += 1
        route.dest.mean_latency += (LATENCY_GAIN if route.dest.mean_latency else 1.0) * (
            latency - route.dest.mean_latency
        )
        self.log_latency += (0.01 if self.log_latency else 1.0) * (
            math.log(max(latency, 1)) - self.log_latency
        )

    def _mark_down(self, route: Route, reason: str) -> None:
        """Mark the route as down and not yet recovering."""
        if not route.down:
            self._log(route, reason)
        route.down, route.recovering_since = True, None

    def _log(self, route: Route, text: str) -> None:
        """Log a change of a route's state, up to ``MAX_LOG_LINES``."""
        self.log_count += 1
        if self.log_count <= MAX_LOG_LINES:
            self.actions.append(api.Log(f"destination {route.dest.id} route {route.id.hex()}: {text}"))

    def _wake_by(self, dest: Destination, at: int) -> None:
        """Set a timer for the destination, unless it already has one that is not later."""
        if self.now < dest.wake_at <= at:
            return
        dest.wake_at = at
        self.actions.append(api.SetTimer(dest.id * 2 + 1, max(at, self.now)))
