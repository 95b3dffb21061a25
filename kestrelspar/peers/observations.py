"""Endpoint observations that couriers exchange, and how far each is trusted. No I/O.

Everything that decides what the reports of other couriers may change lives in this file. Times are microseconds of the
caller's clock.

Theory of operation
-------------------
A courier reports only what it observed itself: a retry-after delay (``WAIT``), calls that failed with none served since
(``DOWN``), calls in flight without an answer (``SILENT``), an endpoint that serves after one of these (``BACK``), and a
limit that the endpoint reported (``LIMIT``). Each observation carries its age and a sequence number of the witness;
within a process epoch the larger number wins. So duplicated, late or reordered observations change nothing.
Observations are sent directly to each member, in several rounds, as a datagram may be lost. With brokers, only members
without a group are sent them directly, see brokers.py.

A received observation makes a courier more careful, never bolder than it would be alone:

- a retry-after delay is honoured for at most ``max_wait`` after it was seen;
- an outage needs two witnesses, at least one of them with ``DOWN``, or one witness and a failed call of this courier;
  if this courier's decision module has found the outage, a single claim that still stands restricts the route;
- a served call of this courier outranks an observation made before that call was sent, and a ``BACK`` from another
  courier outranks an observation made before it;
- a route is closed only while its destination has another that is neither restricted nor closed by this courier itself;
  otherwise it is limited to one call at a time;
- at most ``max_restricted_share`` of all routes are closed. Beyond that, the routes with the fewest witnesses are
  limited to one call at a time instead;
- the first ``BACK`` or served call after an outage starts the endpoint's slow start (``recovering``): the calls that
  all couriers may then make to it are a budget, see demand.py;
- a witness that this courier's calls contradict is distrusted: each contradiction adds one to its score, each
  confirmation takes ``CONFIRMATION_CREDIT`` off, and it is trusted while its score is below
  ``SOURCE_DISTRUST_SCORE``.

One courier at a time probes an endpoint in an outage: members are ranked by a hash of endpoint and member name, and the
one of rank r calls again, one call at a time, r probe intervals after the last report of a failure. If its call fails,
that is the next report; if it is served, the restriction ends for all. A courier that receives no further reports calls
after at most ``MAX_PROBE_RANK`` intervals, as it would alone.

A broker may alter or invent the claims that it relays, and so may the broker of another region from which it received
them. Claims are therefore kept by witness and relay path (``ClaimSource``), and two witnesses count as two only if no
single party, witness or broker, handled all of their claims. So neither one lying courier, which is one witness on all
its paths, nor one lying broker, however many witnesses it invents, can restrict a route by anything but a retry-after
delay. A claim source is distrusted as above; a relay path if its score reaches ``PATH_DISTRUST_SCORE``, and all that a
broker relays if its score reaches ``BROKER_DISTRUST_SCORE``. A false claim of a source that is distrusted already
doesn't raise the scores of its path and broker, so one lying courier doesn't discredit an honest broker.

The state is bounded: claims by the number of listed endpoints times ``MAX_WITNESSES``, once for direct witnesses and
once for each relaying broker; scores by the number of members and ``MAX_RELAYED_SCORES``.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random
from typing import NamedTuple

import xxhash

from kestrelspar.peers.members import Events, Outgoing
from kestrelspar.peers.messages import Observation, PeerMessage, PublishObservation, RelayedObservation

MS, SECOND = 1_000, 1_000_000  # microseconds
MAX_WITNESSES = 12  # per endpoint: of direct witnesses, and again of those relayed by each broker
OUTAGE_REPORT_MAX_AGE = 3 * SECOND  # an older report of a failure is no evidence of a current outage
MAX_PROBE_RANK = 8  # probe intervals that a courier waits at most for those ranked before it
REPORT_ROUNDS, FIRST_REPEAT_DELAY = 4, 300 * MS  # rounds of a report to all; the delay doubles each round
SUFFICIENT_REPORTS = 3  # witnesses with the same report; a further report is sent in one round only
# Between reports of failures or silence at one endpoint, except that ``DOWN`` follows ``SILENT`` at once.
MIN_REPORT_INTERVAL = 250 * MS
MIN_REPORTED_WAIT = 50 * MS  # a shorter retry-after delay ends before other couriers receive it
# A claim source is distrusted from SOURCE_DISTRUST_SCORE on. A contradicted claim adds one to its score, a confirmed
# claim takes off CONFIRMATION_CREDIT, and the score stays between 0 and SOURCE_MAX_SCORE (twice the threshold, as for
# relay paths and brokers).
SOURCE_DISTRUST_SCORE, CONFIRMATION_CREDIT, SOURCE_MAX_SCORE = 3.0, 0.5, 6.0
# Scores from which a relay path (a broker, and the broker from which it received the claim) is distrusted, and all that
# one broker relays.
PATH_DISTRUST_SCORE, BROKER_DISTRUST_SCORE = 12.0, 24.0
CONFIRMED, DISREGARDED, CONTRADICTED = range(3)  # verdicts of one call on a relay path, in order of severity
MAX_RELAYED_SCORES = 2_048  # scores kept for sources that brokers relay
MAX_NUMBER_CONFLICTS = 16  # max couriers reported for having this courier's number
LIMIT_TOLERANCE = 0.1  # a smaller relative change of a limit is not reported; two witnesses agree within twice that
MIN_OUTAGE = SECOND  # a shorter outage has no slow start, neither during it nor after it
MAX_PIGGYBACKED = 6  # own observations added to a datagram
OBSERVATION_DATAGRAM_BYTES = 150  # approximate size of a datagram with one observation


class ObservationKind(IntEnum):
    """What was observed."""

    WAIT = 0  # the endpoint asked to retry later; value: length of the delay in milliseconds, from the observation on
    DOWN = 1  # a call failed, and no call sent later was served
    SILENT = 2  # calls are in flight, and no answer has come for longer than usual
    BACK = 3  # a call was served after one of the above
    LIMIT = 4  # the endpoint reported its limit; value: thousandths of a call per second


class CallOutcome(IntEnum):
    """How a call of this courier ended, as far as it says something about the endpoint."""

    SERVED = 0
    REFUSED = 1  # the endpoint was at its limit
    FAILED = 2  # no answer, or no connection
    OTHER = 3  # says nothing about the endpoint


@dataclass(frozen=True, slots=True)
class RouteRestriction:
    """Restriction of a route, for the decision module: closed, or limited to one call at a time."""

    until: int  # when it ends
    one_at_a_time: bool


@dataclass(slots=True)
class LocalRecord:
    """What this courier observed at one endpoint. The fields for calls hold the time when the call was sent."""

    served: int = -(1 << 60)  # last call that was served
    failed: int = -(1 << 60)  # last call that failed
    refused: int = -(1 << 60)  # last call that was refused
    limit: float = 0.0  # last limit that the endpoint reported, calls per second
    limit_at: int = -(1 << 60)  # when it was reported


@dataclass(slots=True)
class PendingReport:
    """One observation of this courier that is being sent to all others. After its rounds it is only piggybacked."""

    kind: ObservationKind
    at: int  # when it was observed
    value: int
    sequence: int
    pending_members: list[str] = field(default_factory=list)  # still to be sent to in this round
    pending_brokers: list[str] = field(default_factory=list)  # the same for brokers
    rounds_sent: int = 0
    next_round_at: int = 0


@dataclass(slots=True)
class Claim:
    """The latest claim of a witness about an endpoint's health or its limit."""

    kind: ObservationKind
    at: int  # when it was observed, by the local clock; never earlier than it really was
    until: int  # end of a ``WAIT``; not used for other kinds
    value: int
    sequence: int  # sequence number at the witness
    scored: bool = False  # a call of this courier has confirmed or contradicted it


@dataclass(slots=True)
class WitnessRecord:
    """What one courier claimed about one endpoint."""

    epoch: int
    last_received_at: int = 0  # when its last new observation was received
    health: Claim | None = None
    limit: Claim | None = None


class ClaimSource(NamedTuple):
    """Where a claim came from: the witness, and the relay path.

    ``relay``: the broker that relayed it; empty if it came directly. ``origin``: the broker of another region from
    which ``relay`` received it; empty if there was none. An empty ``witness`` stands for all claims by that relay path;
    with ``origin`` set to ``ANY_ORIGIN``, for all that the broker relays.
    """

    witness: str
    relay: str = ""
    origin: str = ""

    def parties(self) -> set[tuple[bool, str]]:
        """All parties that handled the claim, each as (whether it is a broker, name)."""
        return {(False, self.witness)} | {(True, name) for name in (self.relay, self.origin) if name}

    def trust_levels(self) -> list[tuple[ClaimSource, float]]:
        """The source, its relay path and its broker, each with the score from which on it is distrusted.

        A claim counts only if all of them are trusted.
        """
        if not self.relay:
            return [(self, SOURCE_DISTRUST_SCORE)]
        return [
            (self, SOURCE_DISTRUST_SCORE),
            (ClaimSource("", self.relay, self.origin), PATH_DISTRUST_SCORE),
            (ClaimSource("", self.relay, ANY_ORIGIN), BROKER_DISTRUST_SCORE),
        ]

    def __str__(self) -> str:
        """The form used in logs and reports."""
        if not self.relay:
            return self.witness
        origin = " and all it passes on" if self.origin == ANY_ORIGIN else f" from {self.origin}" if self.origin else ""
        return f"{self.witness} by {self.relay}{origin}".strip()


ANY_ORIGIN = "*"


def independently_sourced(sources: Iterable[ClaimSource]) -> bool:
    """Whether no single party handled all of the claims, so that no single liar can have made all of them."""
    parties = [source.parties() for source in sources]
    return len(parties) > 1 and not set.intersection(*parties)


def independent_witness_count(sources: Collection[ClaimSource]) -> int:
    """Number of independent witnesses; those whose claims were relayed by the same broker count as one."""
    return min(
        len({source.witness for source in sources}), len({source.relay or (source.witness,) for source in sources})
    )


def probe_rank(endpoint: str, own_name: str, others: Iterable[str]) -> int:
    """Number of other couriers that probe this endpoint before this one.

    Rendezvous hashing gives the same order at all couriers.
    """

    def score(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{endpoint}\0{name}".encode())

    own_score = score(own_name)
    return sum((score(name), name) < (own_score, own_name) for name in others)


class ObservationTracker:
    """This courier's observations, those of other couriers, and the route restrictions that follow from them."""

    def __init__(
        self,
        own_name: str,
        epoch: int,
        max_wait: int,
        max_restricted_share: float,
        probe_interval: int,
        random: Random,
        couriers: int = 0,
        number: int = 0,
        origins: Collection[str] = (),
    ) -> None:
        """Create the tracker of the courier ``own_name`` in its process epoch ``epoch``.

        ``max_wait``: longest retry-after delay that is accepted, microseconds. ``max_restricted_share``: share of all
        routes that reports of other couriers may close. ``probe_interval``: between couriers that probe an endpoint in
        an outage, microseconds. ``couriers``, ``number``: number of couriers, and the position of this one; relayed
        claims of a witness whose position is not below ``couriers`` are dropped. ``origins``: brokers of other regions.
        """
        self.own_name, self.epoch, self.max_wait, self.max_restricted_share, self.probe_interval = (
            own_name,
            epoch,
            max_wait,
            max_restricted_share,
            probe_interval,
        )
        self.events: Events = []
        self.couriers, self.number, self.origins = couriers, number, frozenset(origins)
        # Contradicted claims, less a credit for each confirmed one; never below 0.
        self.scores: dict[ClaimSource, float] = {}
        self.distrusted: set[ClaimSource] = set()
        self.silent = False
        self._random = random
        self._sequence = 0
        self._routes: dict[str, int] = {}  # destination by endpoint
        self._locally_closed: frozenset[str] = frozenset()
        self._local: dict[str, LocalRecord] = {}
        self._pending_reports: dict[tuple[str, bool], PendingReport] = {}  # by endpoint, and whether it reports a limit
        self._number_conflicts: set[str] = set()  # couriers that have this courier's number
        self._records: dict[str, dict[ClaimSource, WitnessRecord]] = {}  # by endpoint
        self._outages: dict[str, int] = {}  # start of the current outage, by endpoint
        self._recovering: dict[str, int] = {}  # end of a recent outage, by endpoint

    # Observations of this courier

    def record_call(
        self, endpoint: str, outcome: CallOutcome, sent: int, now: int, wait: int = 0, limit: float = 0.0
    ) -> None:
        """Record the end of a call that was sent at ``sent``. A failure counts only if no call sent later was served.

        ``wait``: the retry-after delay in the answer, microseconds; 0 if none. ``limit``: the limit that the endpoint
        reported, calls per second; 0 if none.
        """
        local = self._local.setdefault(endpoint, LocalRecord())
        if limit > 0:
            if abs(limit - local.limit) > LIMIT_TOLERANCE * local.limit:
                self._queue_report(endpoint, ObservationKind.LIMIT, now, int(limit * 1_000))
            local.limit, local.limit_at = limit, now
        if outcome is CallOutcome.SERVED:
            local.served = max(local.served, sent)
            self._end_outage(endpoint, now)
            self._score_claims(endpoint, sent, now, served=True)
            pending = self._pending_reports.get((endpoint, False))
            if (
                pending is not None
                and pending.kind is not ObservationKind.BACK
                or self._recently_reported_failing(endpoint, now)
            ):
                self._queue_report(endpoint, ObservationKind.BACK, now, 0)
        elif outcome is CallOutcome.REFUSED:
            local.refused = sent
        elif outcome is CallOutcome.FAILED and sent > local.served:
            local.failed = max(local.failed, sent)
            self._score_claims(endpoint, sent, now, served=False)
            self._queue_report(endpoint, ObservationKind.DOWN, now, 0)
        if wait >= MIN_REPORTED_WAIT:
            self._score_claims(endpoint, sent, now, served=False)
            self._queue_report(endpoint, ObservationKind.WAIT, now, min(wait, self.max_wait) // MS)

    def record_silence(self, endpoint: str, now: int) -> None:
        """Record that calls to the endpoint are in flight without an answer for longer than usual."""
        self._queue_report(endpoint, ObservationKind.SILENT, now, 0)

    def _queue_report(self, endpoint: str, kind: ObservationKind, now: int, value: int) -> None:
        """Queue a report to all others, unless a recent report of this courier says the same.

        If enough other witnesses have reported the same, it is sent in one round only.
        """
        key = endpoint, kind is ObservationKind.LIMIT
        pending = self._pending_reports.get(key)
        if (
            pending is not None
            and pending.kind in (kind, ObservationKind.DOWN)
            and kind in (ObservationKind.DOWN, ObservationKind.SILENT)
            and now - pending.at < MIN_REPORT_INTERVAL
        ):
            return
        self._sequence += 1
        reports = self._independent_reports(endpoint, kind, now) if kind is not ObservationKind.LIMIT else 0
        self._pending_reports[key] = PendingReport(
            kind,
            now,
            value,
            self._sequence,
            rounds_sent=REPORT_ROUNDS - 1 if reports >= SUFFICIENT_REPORTS else 0,
            next_round_at=now,
        )

    def _independent_reports(self, endpoint: str, kind: ObservationKind, now: int) -> int:
        """Number of witnesses that reported the same, directly or by several brokers.

        Those relayed by one broker only are not counted, as it could have invented them.
        """
        paths: dict[str, set[str]] = {}
        for source, record in self._records.get(endpoint, {}).items():
            if (
                record.health is not None
                and record.health.kind is kind
                and now - record.health.at < OUTAGE_REPORT_MAX_AGE
            ):
                paths.setdefault(source.witness, set()).add(source.relay)
        return sum("" in by or len(by) > 1 for by in paths.values())

    # Observations of other couriers

    def receive(self, sender: str, epoch: int, messages: Iterable[PeerMessage], now: int) -> bool:
        """Handle a member's messages. Returns whether any of them was a new observation."""
        changed = False
        for message in messages:
            if isinstance(message, Observation) and message.endpoint in self._routes and sender != self.own_name:
                changed |= self._record(ClaimSource(sender), epoch, message, now)
        return changed

    def receive_relayed(self, broker: str, messages: Iterable[PeerMessage], now: int) -> bool:
        """Handle messages of a broker of this courier's region. Returns whether any was a new relayed observation."""
        changed = False
        for message in messages:
            if (
                not isinstance(message, RelayedObservation)
                or message.witness == self.own_name
                or message.number >= self.couriers
            ):
                continue
            if (
                message.number == self.number
                and message.witness not in self._number_conflicts
                and len(self._number_conflicts) < MAX_NUMBER_CONFLICTS
            ):
                # If the witness is in another group, possibly no other courier knows both of them.
                self._number_conflicts.add(message.witness)
                self.events.append(
                    (
                        "peers-number-twice",
                        {"peer": message.witness, "rival": self.own_name, "number": message.number, "by": broker},
                    )
                )
            if message.observation.endpoint in self._routes and (not message.origin or message.origin in self.origins):
                changed |= self._record(
                    ClaimSource(message.witness, broker, message.origin), message.epoch, message.observation, now
                )
        return changed

    def _evict_witness(self, records: dict[ClaimSource, WitnessRecord], relay: str) -> None:
        """Make room for one more witness relayed by the broker ``relay`` (empty: one that reports directly).

        The witnesses of one broker never displace those of another. Within one broker, the oldest record of the origin
        with the most records is evicted.
        """
        same = [source for source in records if source.relay == relay]
        if len(same) < MAX_WITNESSES:
            return
        origins = [source.origin for source in same]
        largest = max(origins, key=lambda origin: (origins.count(origin), origin))
        del records[
            min(
                (source for source in same if source.origin == largest),
                key=lambda source: records[source].last_received_at,
            )
        ]

    def _trusted(self, source: ClaimSource) -> bool:
        return not self.distrusted or not any(level in self.distrusted for level, _ in source.trust_levels())

    def broker_distrusted(self, broker: str) -> bool:
        """Whether nothing is trusted that this broker relays from couriers of its own region."""
        return not self.distrusted.isdisjoint((ClaimSource("", broker), ClaimSource("", broker, ANY_ORIGIN)))

    def distrusted_sources(self) -> list[str]:
        """Distrusted claim sources, relay paths and brokers, as text for the status."""
        return sorted(str(source) for source in self.distrusted)

    def _record(self, source: ClaimSource, epoch: int, observation: Observation, now: int) -> bool:
        """Store an observation as the source's latest claim; false if one that is as new or newer is stored already."""
        records = self._records.setdefault(observation.endpoint, {})
        witness = records.get(source)
        if witness is None or epoch > witness.epoch:
            if witness is None:
                self._evict_witness(records, source.relay)
            witness = records[source] = WitnessRecord(epoch)
        at = now - observation.age * MS
        claim = Claim(
            ObservationKind(observation.kind),
            at,
            at + min(observation.value * MS, self.max_wait),
            observation.value,
            observation.sequence,
        )
        previous = witness.limit if claim.kind is ObservationKind.LIMIT else witness.health
        if epoch < witness.epoch or previous is not None and observation.sequence <= previous.sequence:
            if previous is not None and observation.sequence == previous.sequence:
                previous.at = min(previous.at, at)  # the same observation by a faster path
            return False
        witness.last_received_at = now
        if claim.kind is ObservationKind.LIMIT:
            witness.limit = claim
        else:
            witness.health = claim
            if claim.kind is ObservationKind.BACK and self._trusted(source):
                self._end_outage(observation.endpoint, at)
        return True

    def _score_claims(self, endpoint: str, sent: int, now: int, served: bool) -> None:
        """Compare claims with the outcome of a call of this courier sent after them; each claim is scored once.

        ``served``: whether the call was served; otherwise it failed or was answered with a retry-after delay. Claims of
        limits, and those older than ``OUTAGE_REPORT_MAX_AGE``, are not scored.
        """
        paths: dict[ClaimSource, tuple[int, ObservationKind]] = {}
        for source, witness in self._records.get(endpoint, {}).items():
            claim = witness.health
            if (
                claim is None
                or claim.scored
                or sent <= claim.at
                or now - claim.at > OUTAGE_REPORT_MAX_AGE
                or claim.kind is ObservationKind.WAIT
                and sent > claim.until
            ):
                continue
            claim.scored = True
            contradicted = served is not (claim.kind is ObservationKind.BACK)
            (level, threshold), *broader = source.trust_levels()
            disregarded = level in self.distrusted
            self._adjust_score(level, threshold, contradicted, endpoint, claim.kind)
            for level, _ in broader:
                # A false claim of a distrusted source has no effect and doesn't count against its broker, which only
                # relayed it. But it mustn't earn credit for the rest of that path either.
                verdict = CONFIRMED if not contradicted else DISREGARDED if disregarded else CONTRADICTED
                disregarded = disregarded or level in self.distrusted
                if level not in paths or verdict > paths[level][0]:
                    paths[level] = verdict, claim.kind
        for level, (verdict, kind) in paths.items():  # one call scores a path once, however many claims came by it
            if verdict != DISREGARDED:
                threshold = BROKER_DISTRUST_SCORE if level.origin == ANY_ORIGIN else PATH_DISTRUST_SCORE
                self._adjust_score(level, threshold, verdict == CONTRADICTED, endpoint, kind)

    def _adjust_score(
        self, level: ClaimSource, threshold: float, contradicted: bool, endpoint: str, claimed_kind: ObservationKind
    ) -> None:
        score = self.scores.get(level, 0.0)
        self.scores[level] = score = min(
            threshold * SOURCE_MAX_SCORE / SOURCE_DISTRUST_SCORE,
            max(0.0, score + (1.0 if contradicted else -CONFIRMATION_CREDIT)),
        )
        if score >= threshold and level not in self.distrusted:
            self.distrusted.add(level)
            self.events.append(
                ("peers-not-believed", {"peer": str(level), "endpoint": endpoint, "said": claimed_kind.name.lower()})
            )
        elif score < threshold and level in self.distrusted:
            self.distrusted.discard(level)
            self.events.append(("peers-believed-again", {"peer": str(level)}))

    def _standing_claims(self, endpoint: str) -> list[tuple[ClaimSource, Claim]]:
        """Trusted claims of failures, silence or delays that neither a served call nor a ``BACK`` contradicted since.

        A delay that has passed is included.
        """
        local = self._local.get(endpoint) or LocalRecord()
        claims = [
            (source, record.health)
            for source, record in self._records.get(endpoint, {}).items()
            if record.health is not None and self._trusted(source)
        ]
        served_at = max([local.served, *(claim.at for _, claim in claims if claim.kind is ObservationKind.BACK)])
        return [
            (source, claim)
            for source, claim in claims
            if claim.kind is not ObservationKind.BACK and claim.at > served_at
        ]

    def _recently_reported_failing(self, endpoint: str, now: int) -> bool:
        """Whether other couriers recently reported failures, silence or a retry-after delay of the endpoint."""
        return any(
            record.health is not None
            and record.health.kind is not ObservationKind.BACK
            and now - record.health.at < OUTAGE_REPORT_MAX_AGE
            for record in self._records.get(endpoint, {}).values()
        )

    # Resulting restrictions

    def start_outage(self, endpoint: str, now: int) -> None:
        """Record the start of an outage, found by this courier or by reports; ignored if it has begun already."""
        self._outages.setdefault(endpoint, now)

    def _end_outage(self, endpoint: str, at: int) -> None:
        """Record that the endpoint serves again.

        After less than ``MIN_OUTAGE`` there is no slow start: probably only a call or two were lost.
        """
        since = self._outages.pop(endpoint, None)
        if since is not None and at - since >= MIN_OUTAGE:
            self._recovering[endpoint] = at

    def recovering(self, now: int, ramp: int) -> dict[str, int]:
        """Endpoints in an outage or in slow start, with the microseconds since their return (0 during the outage).

        ``ramp``: length of the slow start, microseconds. An outage counts from ``MIN_OUTAGE`` on.
        """
        self._recovering = {name: at for name, at in self._recovering.items() if now - at < ramp}
        return {name: max(0, now - at) for name, at in self._recovering.items()} | {
            name: 0 for name, since in self._outages.items() if now - since >= MIN_OUTAGE
        }

    def restrictions(self, now: int, others: list[str]) -> dict[str, RouteRestriction]:
        """Current restrictions of routes, by endpoint."""
        candidates: dict[str, tuple[int, RouteRestriction]] = {}  # with the number of independent witnesses
        for endpoint in self._records:
            restriction = self._restriction(endpoint, now, others)
            if restriction is not None:
                candidates[endpoint] = restriction
        return self._apply_bounds(candidates, now)

    def _restriction(self, endpoint: str, now: int, others: list[str]) -> tuple[int, RouteRestriction] | None:
        """The restriction that follows from the standing claims, with the number of independent witnesses; or None."""
        claims = self._standing_claims(endpoint)
        waits = [
            (source, claim.until)
            for source, claim in claims
            if claim.kind is ObservationKind.WAIT and claim.until > now
        ]
        if waits:
            return independent_witness_count([source for source, _ in waits]), RouteRestriction(
                max(until for _, until in waits), False
            )
        down = [
            source
            for source, claim in claims
            if claim.kind in (ObservationKind.DOWN, ObservationKind.SILENT) and now - claim.at < OUTAGE_REPORT_MAX_AGE
        ]
        local = self._local.get(endpoint) or LocalRecord()
        failed = local.failed > local.served and now - local.failed < OUTAGE_REPORT_MAX_AGE
        confirmed = failed or any(
            claim.kind is ObservationKind.DOWN and now - claim.at < OUTAGE_REPORT_MAX_AGE for _, claim in claims
        )
        if (failed and down or independently_sourced(down)) and confirmed:  # silence alone may be a slow call or two
            self.start_outage(endpoint, now)
        elif endpoint not in self._outages or not claims:
            return None
        # A confirmed outage outlasts its reports until a call is served: if it ended with their age, all couriers would
        # call at once. Only if no further failure is reported for the time below, the route is no longer restricted.
        last = max([claim.at for _, claim in claims if claim.kind is not ObservationKind.WAIT] or [local.failed])
        last = max(last, local.failed)
        if now >= last + max(OUTAGE_REPORT_MAX_AGE, self.probe_interval * MAX_PROBE_RANK):
            return None
        witnesses = independent_witness_count([source for source, _ in claims])
        until = last + self.probe_interval * min(MAX_PROBE_RANK, probe_rank(endpoint, self.own_name, others))
        if until > now:
            return witnesses, RouteRestriction(until, False)
        return witnesses, RouteRestriction(
            last + max(OUTAGE_REPORT_MAX_AGE, self.probe_interval * MAX_PROBE_RANK), True
        )

    def _apply_bounds(
        self, candidates: dict[str, tuple[int, RouteRestriction]], now: int
    ) -> dict[str, RouteRestriction]:
        """Close a route only if its destination has one that is open, and no more than the allowed share of all routes.

        Other candidates are limited to one call at a time.
        """
        free: dict[int, int] = {}  # by destination: routes that are no candidates and not closed by this courier itself
        for endpoint, dest in self._routes.items():
            free[dest] = free.get(dest, 0) + (endpoint not in candidates and endpoint not in self._locally_closed)
        quota = int(self.max_restricted_share * len(self._routes))
        bounded: dict[str, RouteRestriction] = {}
        for endpoint, (_, restriction) in sorted(candidates.items(), key=lambda item: (-item[1][0], item[0])):
            if not restriction.one_at_a_time:
                restrict = free[self._routes[endpoint]] > 0 and quota > 0
                quota -= restrict
                restriction = restriction if restrict else RouteRestriction(restriction.until, True)
            bounded[endpoint] = restriction
        return bounded

    def reported_limit(self, endpoint: str, now: int) -> float:
        """The limit that the endpoint reported to other couriers, calls per second; 0 if none can be trusted.

        Only trusted claims count that are newer than the last limit reported to this courier itself. It takes two
        independent witnesses that agree, or a single witness and a call of this courier that was refused since that
        last limit: one witness alone could starve all couriers. Of the two that agree best, the larger limit counts.
        """
        local = self._local.get(endpoint) or LocalRecord()
        limits = sorted(
            (record.limit.value / 1_000, source)
            for source, record in self._records.get(endpoint, {}).items()
            if record.limit is not None and record.limit.at > local.limit_at and self._trusted(source)
        )
        if len({source.witness for _, source in limits}) == 1 and local.refused > local.limit_at:
            # One witness, normally with the same limit on all paths. If not, one path lies, and the largest limit
            # starves calls least.
            return limits[-1][0]
        pairs = [
            (b - a, b)
            for n, (a, one) in enumerate(limits)
            for b, other in limits[n + 1 :]
            if b - a <= 2 * LIMIT_TOLERANCE * b and independently_sourced((one, other))
        ]
        return min(pairs)[1] if pairs else 0.0

    # Updates by the caller

    def set_routes(self, routes: dict[str, int], closed: Iterable[str] = ()) -> None:
        """Set the endpoints that are currently listed, with their destinations. State of other endpoints is dropped.

        ``closed``: endpoints that this courier itself doesn't call at present.
        """
        if routes.keys() != self._routes.keys():
            self._local = {name: local for name, local in self._local.items() if name in routes}
            self._records = {name: records for name, records in self._records.items() if name in routes}
            self._outages = {name: at for name, at in self._outages.items() if name in routes}
            self._recovering = {name: at for name, at in self._recovering.items() if name in routes}
            self._pending_reports = {key: pending for key, pending in self._pending_reports.items() if key[0] in routes}
        self._routes, self._locally_closed = routes, frozenset(closed)

    def set_members(self, names: Iterable[str]) -> None:
        """Set the current members; the scores of former members are dropped."""
        names = set(names)
        self.scores = {
            source: score for source, score in self.scores.items() if source.relay or source.witness in names
        }
        excess = len(self.scores) - MAX_RELAYED_SCORES - len(names)
        if excess > 0:  # as a broker can invent any number of witnesses, the lowest scores are dropped
            lowest = sorted(
                (source for source in self.scores if source.relay and source.witness),
                key=lambda candidate: self.scores[candidate],
            )
            for source in lowest[:excess]:
                del self.scores[source]
        self.distrusted &= self.scores.keys()

    def tick(
        self, now: int, others: list[str], byte_budget: int, brokers_of: Callable[[int], list[str]] | None = None
    ) -> Outgoing:
        """Observations that are due, in about ``byte_budget`` bytes.

        ``others``: members to send them to directly. ``brokers_of``: the brokers to which those of a destination are
        published; None if there are no brokers.
        """
        if self.silent:
            return []
        outgoing: dict[str, list[PeerMessage]] = {}
        max_datagrams = byte_budget // OBSERVATION_DATAGRAM_BYTES
        for (endpoint, _), pending in self._pending_reports.items():
            if (
                not pending.pending_members
                and not pending.pending_brokers
                and pending.rounds_sent < REPORT_ROUNDS
                and now >= pending.next_round_at
            ):
                pending.pending_members = self._random.sample(others, len(others))
                if brokers_of is not None and endpoint in self._routes:
                    pending.pending_brokers = list(brokers_of(self._routes[endpoint]))
                pending.next_round_at = now + (FIRST_REPEAT_DELAY << pending.rounds_sent)
                pending.rounds_sent += 1
            if (
                not pending.pending_members
                and not pending.pending_brokers
                or pending.kind is not ObservationKind.LIMIT
                and now - pending.at > OUTAGE_REPORT_MAX_AGE
            ):
                pending.pending_members, pending.pending_brokers = [], []
                continue
            observation = self._observation(endpoint, pending, now)
            while pending.pending_brokers and (
                len(outgoing) < max_datagrams or pending.pending_brokers[-1] in outgoing
            ):
                if endpoint in self._routes:
                    outgoing.setdefault(pending.pending_brokers[-1], []).append(
                        PublishObservation(self._routes[endpoint], observation)
                    )
                pending.pending_brokers.pop()
            while pending.pending_members and (
                len(outgoing) < max_datagrams or pending.pending_members[-1] in outgoing
            ):
                outgoing.setdefault(pending.pending_members.pop(), []).append(observation)
        return list(outgoing.items())

    def piggybacked(self, now: int) -> list[PeerMessage]:
        """A sample of own current observations to piggyback on a datagram, so that late joiners receive them."""
        current = [
            (key, pending)
            for key, pending in self._pending_reports.items()
            if pending.kind is ObservationKind.LIMIT or now - pending.at < OUTAGE_REPORT_MAX_AGE
        ]
        return [
            self._observation(key[0], pending, now)
            for key, pending in self._random.sample(current, min(MAX_PIGGYBACKED, len(current)))
        ]

    @staticmethod
    def _observation(endpoint: str, pending: PendingReport, now: int) -> Observation:
        return Observation(
            endpoint, pending.kind, min(max(0, now - pending.at) // MS, 3_600_000), pending.value, pending.sequence
        )

    # Reports

    def status(self, now: int, others: list[str]) -> dict[str, dict[str, int | str]]:
        """Status of each endpoint with claims: number of witnesses, latest claim, resulting restriction and limit.

        If there are claims of a limit only, ``last`` is "limit" and ``age_ms`` is 0.
        """
        restrictions = self.restrictions(now, others)
        status: dict[str, dict[str, int | str]] = {}
        for endpoint, records in self._records.items():
            claims = [record.health for record in records.values() if record.health is not None]
            restriction = restrictions.get(endpoint)
            last = max(claims, key=lambda claim: claim.at, default=None)
            status[endpoint] = {
                "witnesses": len({source.witness for source in records}),
                "last": last.kind.name.lower() if last else "limit",
                "age_ms": (now - last.at) // MS if last else 0,
                "held": "no"
                if restriction is None
                else "one at a time"
                if restriction.one_at_a_time
                else f"{(restriction.until - now) // MS} ms",
                "limit": f"{self.reported_limit(endpoint, now):g}",
            }
        return status
