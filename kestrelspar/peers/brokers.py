"""Distribution of endpoint observations by way of brokers: placement, subscriptions and relaying. No I/O.

Everything that decides who is notified about a destination is in this module. Times are microseconds of the caller's
clock.

Theory of operation
-------------------
A broker is a process on a dedicated machine. It is named ``REGION/NAME``, and all couriers and brokers know all brokers
from their settings. In each region a destination has owners, chosen by rendezvous hashing: the region's brokers are
ordered by a hash of broker and destination, and the first ``OWNERS_PER_REGION`` of those that answer are the owners.
Each process decides for itself which brokers answer, without an agreement protocol. If a broker fails, each destination
that it owned loses only one of its owners.

A courier subscribes to the destinations that it uses, at their owners in its region, and publishes its observations to
the same brokers. A broker relays an observation to the subscribers and forwards it to one owner in each other region
(the first owner to the first, the second to the second). That owner relays it to its subscribers and to no broker, so
there are no loops.

Subscriptions are held under a lease. Changes are sent with the next tick, except while ``RESUBSCRIBE_JITTER`` or
``UNSUBSCRIBE_DELAY`` delays them. Each renewal carries the count and a digest of the destinations that the broker
should hold. If the broker holds a different set (it restarted, or messages were lost), the courier sends the whole set
again. It does so at a random time within ``RESUBSCRIBE_JITTER``, so that not all couriers of a region send theirs at
once when a broker restarts. A broker that announces its shutdown, or leaves two renewals in a row of
``RENEWAL_ATTEMPTS`` attempts each unanswered, counts as failed for this courier: its destinations go to the next broker
in order, and it is probed about once per lease term until it answers again.

What a broker guards against:

- Replays after it restarted, when its window of sequence numbers is empty: it relays observations only of couriers
  that have named its present epoch in a renewal, which nobody could do before it started.
- Its own stalls: the datagrams that it reads after a stall may have waited in the socket, so that the observations in
  them look younger than they are. Until the second tick after a stall it drops observations, but accepts renewals.
- A courier or another broker that floods it: each has a limit of observations per second, and a courier also a share
  of the bandwidth for relaying its observations. For each endpoint the number of witnesses at a time is limited
  (``MAX_WITNESSES``: more of them give no new information), and all state is bounded.
- Another process of its name: it stops sending, as superseded, when it receives a datagram that was sent under its own
  name with a higher epoch. Besides, couriers report in each renewal the highest epoch of this broker that they have
  received. If two couriers report one above its own, it stops, too; a single courier could be lying to stop it.

An observation is kept for ``OBSERVATION_TTL`` after it was last accepted, to recognise repetitions and for couriers
that subscribe late. It is sent with its age, which includes the time that it was kept here and is rounded down. So an
observation may look younger than it is, by the rounding and the delays of the network, but never older.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import xxhash

from kestrelspar.peers.members import Events, Outgoing
from kestrelspar.peers.messages import (
    Ack,
    Datagram,
    ForwardedObservation,
    LeaseRenewal,
    LeaseReply,
    Observation,
    PeerMessage,
    Ping,
    PublishObservation,
    RelayedObservation,
    Subscribe,
    Unsubscribe,
)
from kestrelspar.peers.seal import HEADER_BYTES, MAX_DATAGRAM_BYTES, DatagramRejectedError, Sealer, encode

MS, SECOND = 1_000, 1_000_000  # microseconds
OWNERS_PER_REGION = 2  # owners of a destination in each region
INTEREST_TTL = 60 * SECOND  # how long a courier stays interested in a destination after its last use
INTEREST_UPDATE_INTERVAL = SECOND  # the time of last use of a destination is updated at most this often
MAX_INTERESTS = 4_096  # destinations per courier; beyond that the least recently used are evicted
MAX_PLACED_PER_CALL = 512  # new destinations whose owners one call of ``record_interest`` looks up
LEASE_TERM = 15 * SECOND  # of a lease, which is renewed at least three times per term
# Attempts before a renewal counts as missed (one if the broker already counts as failed), and the time between them.
RENEWAL_ATTEMPTS, RENEWAL_RETRY_INTERVAL = 3, 500 * MS
# The first wait before a broker that counts as failed is tried again; it doubles up to the lease's term.
FAILED_RETRY_INTERVAL = 1 * SECOND
# Consecutive missed renewals after which a courier counts a broker as failed. Among brokers, as many missed pings do
# as these renewals have attempts.
MAX_MISSED_RENEWALS = 2
RESUBSCRIBE_JITTER = 3 * SECOND  # a set is sent again within it; doubles with each mismatch in a row, up to 32 times
MAX_DESTINATIONS_PER_MESSAGE = 100  # destinations in one message
UNSUBSCRIBE_DELAY = 5 * SECOND  # from a broker that stops being an owner, so that the new one is subscribed first
OBSERVATION_TTL = 3 * SECOND  # an older observation, other than of a limit, is not relayed; also how long one is kept
MIN_REPEAT_INTERVAL = 200 * MS  # an observation repeated sooner is a duplicate made by the network
MAX_WITNESSES = 4  # witnesses relayed within ``OBSERVATION_TTL`` for one kind at an endpoint, per origin
STALL_THRESHOLD = 500 * MS  # a longer gap between ticks means that datagrams may have waited in the socket
PUBLISH_RATE, FORWARD_RATE = 50, 5_000  # observations per second from one courier, from one broker; burst: one second
COURIER_BANDWIDTH_SHARE = 0.05  # of the bytes per second: for relaying and forwarding one courier's observations
RELAY_COST_BYTES = 120  # approximate size of an observation sent to one subscriber or broker
MAX_SUBSCRIPTIONS = 2_000_000  # of all couriers together
MAX_OBSERVATIONS = 65_536  # kept while they are fresh
MAX_OBSERVATIONS_PER_DESTINATION = 64
SWEEP_INTERVAL = SECOND  # between two removals of expired leases and observations
URGENT_RESERVE = 0.25  # of the bytes per second: reserved for leases and for pings between brokers
EVENT_INTERVAL = 60 * SECOND  # an event that ``_may_report`` limits is reported at most this often for one subject
LIMIT_KIND = 4  # ``observations.ObservationKind.LIMIT``

Address = tuple[str, int]
Datagrams = list[tuple[Address, bytes]]


@dataclass(frozen=True, slots=True)
class BrokerConfig:
    """Configuration of a broker: itself and the others."""

    name: str  # in full, as in ``brokers``: "REGION/NAME"
    region: str
    address: Address
    epoch: int  # larger at each start of the process, as a courier's
    keys: list[bytes]
    brokers: dict[str, Address]  # of all regions, including this one
    couriers: int  # number of couriers; the position of each must be below it
    bytes_per_second: int = 1_000_000  # max sent, after a burst of at most one second's bytes
    max_subscribers: int = 4_096  # couriers that hold a lease at the same time


def region_of(broker: str) -> str:
    """The region in a broker's full name."""
    return broker.rpartition("/")[0]


def brokers_in_region(brokers: Iterable[str], region: str) -> list[str]:
    """The brokers of that region, by full name."""
    return sorted(name for name in brokers if region_of(name) == region)


def rendezvous_order(brokers: Iterable[str], dest: int) -> list[str]:
    """The brokers ranked as owners of the destination: the same order in every process."""
    return sorted(brokers, key=lambda name: (xxhash.xxh64_intdigest(f"{name}\0d:{dest}".encode()), name))


def destination_digest(dest: int) -> int:
    """The destination's contribution to a digest of a set of destinations."""
    return xxhash.xxh64_intdigest(f"d:{dest}".encode()) >> 2


# Courier side


@dataclass(slots=True)
class BrokerSession:
    """A courier's state for one broker of its own region."""

    name: str
    next_renewal: int  # when the next renewal, or the next attempt of one, is due
    epoch: int = 0  # highest epoch of the broker that was received; 0 if none was
    answering: bool = True
    last_reply_at: int | None = None  # when a renewal was last answered; None if none was
    n: int = 0  # number of the last renewal
    open: bool = False  # an answer to the last renewal is awaited
    attempts: int = 0  # of the last renewal
    missed: int = 0  # consecutive renewals without an answer
    tries: int = 0  # renewals since the broker counts as failed
    generation: int = 1  # of the subscriptions; raised when the whole set is dropped
    subscribed: set[int] = field(default_factory=set)  # what the broker should hold
    digest: int = 0  # of ``subscribed``
    to_add: dict[int, None] = field(default_factory=dict)  # to be subscribed
    to_drop: dict[int, int] = field(default_factory=dict)  # to be unsubscribed, with the time from which on
    add_after: int = 0  # time before which no subscription is sent
    mismatches: int = 0  # consecutive renewals that found a different set at the broker


class Subscriber:
    """The courier side: destinations of interest, their owners, and the subscriptions at each broker of the region."""

    def __init__(
        self, name: str, address: Address, number: int, brokers: Iterable[str], now: int, random: Random
    ) -> None:
        """``brokers``: full names of the brokers of the courier's own region."""
        self.name, self.address, self.number = name, address, number
        self.events: Events = []
        # Destinations evicted, and refusals of a new one in ``record_interest``, because of ``MAX_INTERESTS``.
        self.refused = 0
        self.silent = False  # nothing is sent any more
        self.sessions = {each: BrokerSession(each, now + random.randrange(SECOND)) for each in brokers}
        for session in self.sessions.values():
            # A subscription needs a lease, which begins with the first renewal.
            session.add_after = session.next_renewal
        self._random = random
        self._last_n = random.randrange(1, 1 << 32)
        # Destinations used since the times of last use were updated, and those that have no owners assigned yet.
        self._used: set[int] = set()
        self._last_update = now
        self._interests: dict[int, int] = {}  # by destination, the least recently used first: time of last use
        self._owners: dict[int, list[str]] = {}  # by destination of interest

    def record_interest(self, dests: Iterable[int], now: int) -> None:
        """Record destinations called lately or with messages waiting. Cheap if they are the same as before."""
        self._used.update(dests)
        new = self._used - self._interests.keys()
        if now >= self._last_update + INTEREST_UPDATE_INTERVAL:
            for dest in self._used - new:
                del self._interests[dest]
                self._interests[dest] = now
            self._used, self._last_update = set(new), now
        for n, dest in enumerate(new):
            if n >= MAX_PLACED_PER_CALL:  # the rest follows in the next call: this one must be short
                break
            if len(self._interests) >= MAX_INTERESTS:
                oldest, last_used = next(iter(self._interests.items()))
                # If even the least recently used one is in use, the new ones are refused: otherwise destinations in
                # use would evict each other with every call.
                if now - last_used < 2 * INTEREST_UPDATE_INTERVAL:
                    self.refused += len(new) - n
                    self._used -= new
                    break
                self.refused += 1
                self._drop_interest(oldest, now)
            self._interests[dest] = now
            self._assign_owners(dest, now)

    def owners(self, dest: int) -> list[str]:
        """The brokers to which observations of this destination are published; none if no broker answers."""
        return self._owners.get(dest) or self._find_owners(dest)

    def _find_owners(self, dest: int) -> list[str]:
        return [name for name in rendezvous_order(self.sessions, dest) if self.sessions[name].answering][
            :OWNERS_PER_REGION
        ]

    def _drop_interest(self, dest: int, now: int) -> None:
        """Remove a destination that is no longer of interest, and schedule its unsubscription."""
        del self._interests[dest]
        for name in self._owners.pop(dest):
            self._schedule_unsubscribe(self.sessions[name], dest, now)

    def _assign_owners(self, dest: int, now: int) -> None:
        """Determine the owners again, and schedule the changes of subscriptions."""
        before, after = self._owners.get(dest, []), self._find_owners(dest)
        self._owners[dest] = after
        for name in before:
            if name not in after:
                self._schedule_unsubscribe(self.sessions[name], dest, now + UNSUBSCRIBE_DELAY)
        for name in after:
            session = self.sessions[name]
            session.to_drop.pop(dest, None)
            if dest not in session.subscribed:
                session.to_add[dest] = None

    @staticmethod
    def _schedule_unsubscribe(session: BrokerSession, dest: int, when: int) -> None:
        session.to_add.pop(dest, None)
        if dest in session.subscribed:
            session.to_drop[dest] = when

    # Leases

    def receive(self, sender: str, epoch: int, messages: Iterable[PeerMessage], now: int) -> Outgoing:
        """Handle messages of ``sender``, a broker of the own region; ``epoch`` is that of the broker.

        Only ``LeaseReply`` is handled: the answer to a renewal, or the notice that the broker is shutting down. Nothing
        is returned: what follows from it is sent by ``tick``.
        """
        session = self.sessions[sender]
        for message in messages:
            if not isinstance(message, LeaseReply):
                continue
            if message.n == 0:  # the broker is shutting down
                self._broker_failed(session, now)
                session.open, session.next_renewal = False, now + self._jitter(LEASE_TERM)
            elif message.n == session.n and session.open:
                self._renewed(session, message.ok, now)
        if epoch > session.epoch:  # it restarted, or this is its first reply: a renewal must name its epoch
            session.epoch, session.next_renewal, session.open, session.missed = epoch, now, False, 0
        return []

    def _renewed(self, session: BrokerSession, ok: bool, now: int) -> None:
        session.missed, session.last_reply_at = 0, now
        session.open, session.next_renewal = False, now + self._jitter(LEASE_TERM // 3)
        if not session.answering:
            session.answering = True
            self.events.append(("peers-broker-answers", {"broker": session.name, "life": session.epoch}))
            session.add_after = now + self._random.randrange(RESUBSCRIBE_JITTER)
            for dest in self._interests:
                self._assign_owners(dest, now)
        if ok:
            session.mismatches = 0
        elif now >= session.add_after:
            self._resubscribe(session, now)

    def _resubscribe(self, session: BrokerSession, now: int) -> None:
        """Schedule all destinations that the broker owns to be sent again, after a random delay."""
        session.add_after = now + self._random.randrange(RESUBSCRIBE_JITTER << min(session.mismatches, 5))
        session.mismatches += 1
        session.generation += 1
        session.to_add = {dest: None for dest in self._interests if session.name in self._owners[dest]}
        session.subscribed, session.digest, session.to_drop = set(), 0, {}

    def _broker_failed(self, session: BrokerSession, now: int) -> None:
        """Handle a broker that does not answer or shuts down: others own its destinations until it answers again."""
        if not session.answering:
            return
        session.answering, session.tries = False, 0
        session.generation += 1
        session.subscribed, session.digest, session.to_drop, session.to_add = set(), 0, {}, {}
        self.events.append(("peers-broker-silent", {"broker": session.name, "life": session.epoch}))
        for other in self.sessions.values():
            if other is not session:
                other.add_after = max(other.add_after, now + self._random.randrange(RESUBSCRIBE_JITTER))
        for dest in self._interests:
            if session.name in self._owners[dest]:
                self._assign_owners(dest, now)

    def _jitter(self, interval: int) -> int:
        """80 to 100 % of the interval, so that couriers that started together drift apart."""
        return int(interval * self._random.uniform(0.8, 1.0))

    # Timers

    def tick(self, now: int) -> Outgoing:
        """Messages that are due: renewals, and changes of subscriptions."""
        if self.silent:
            return []
        while self._interests:
            dest, last_used = next(iter(self._interests.items()))
            if now - last_used < INTEREST_TTL:
                break
            self._drop_interest(dest, now)
        return [(session.name, messages) for session in self.sessions.values() if (messages := self._due(session, now))]

    def _due(self, session: BrokerSession, now: int) -> list[PeerMessage]:
        messages: list[PeerMessage] = []
        if now >= session.next_renewal:
            messages.append(self._renew(session, now))
        if not session.answering:
            return messages
        if session.to_drop:
            dropped = [dest for dest, when in session.to_drop.items() if now >= when][:MAX_DESTINATIONS_PER_MESSAGE]
            for dest in dropped:
                del session.to_drop[dest]
                session.subscribed.discard(dest)
                session.digest ^= destination_digest(dest)
            if dropped:
                messages.append(Unsubscribe(session.generation, dropped))
        if session.to_add and now >= session.add_after:
            added = list(session.to_add)[:MAX_DESTINATIONS_PER_MESSAGE]
            for dest in added:
                del session.to_add[dest]
                session.subscribed.add(dest)
                session.digest ^= destination_digest(dest)
            messages.append(Subscribe(session.generation, added))
        return messages

    @staticmethod
    def _retry_interval(session: BrokerSession) -> int:
        """The time until the next attempt of a renewal: a failed broker is tried soon at first, and then seldom."""
        if session.answering:
            return RENEWAL_RETRY_INTERVAL
        session.tries += 1
        return int(min(LEASE_TERM, FAILED_RETRY_INTERVAL << min(session.tries - 1, 10)))

    def _renew(self, session: BrokerSession, now: int) -> LeaseRenewal:
        if session.open and session.attempts >= (RENEWAL_ATTEMPTS if session.answering else 1):
            session.open = False
            session.missed += 1
            if session.missed >= MAX_MISSED_RENEWALS:
                self._broker_failed(session, now)
        if not session.open:
            self._last_n += 1
            session.n, session.open, session.attempts = self._last_n, True, 0
        session.attempts += 1
        session.next_renewal = now + self._jitter(self._retry_interval(session))
        return LeaseRenewal(
            session.n,
            *self.address,
            self.number,
            session.epoch,
            session.generation,
            len(session.subscribed),
            session.digest,
        )

    # Reports

    def status(self, now: int) -> dict[str, dict[str, Any]]:
        """Status for operators, by broker.

        ``life``: epoch of the broker; 0 if none was received. ``keys``: number of subscribed destinations.
        ``answered_ms``: time since a renewal was last answered, in milliseconds; None if none was.
        """
        return {
            name: {
                "answering": session.answering,
                "life": session.epoch,
                "keys": len(session.subscribed),
                "answered_ms": None if session.last_reply_at is None else (now - session.last_reply_at) // MS,
            }
            for name, session in self.sessions.items()
        }


# Broker side


@dataclass(slots=True)
class TokenBucket:
    """Limits how many observations per second are accepted from one sender; allows a burst of one second."""

    rate: int  # tokens per second
    tokens: float  # as of ``updated_at``
    updated_at: int

    def take(self, now: int) -> bool:
        """Take one token; false if there is none."""
        self.tokens = min(float(self.rate), self.tokens + self.rate * (now - self.updated_at) / SECOND)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class CourierLease:
    """A broker's state for one courier."""

    name: str
    address: Address
    number: int
    epoch: int  # of the courier's process
    expires_at: int
    rate_limit: TokenBucket
    bandwidth_used_until: int = 0  # time until which its share of the bandwidth is used up
    known_epoch: int = 0  # highest epoch that the courier has named as this broker's
    generation: int = 0  # of the subscriptions, as given by the courier
    dests: set[int] = field(default_factory=set)  # destinations that the courier has subscribed to
    digest: int = 0  # of ``dests``


@dataclass(slots=True)
class RemoteBroker:
    """A broker's state for one other broker."""

    rate_limit: TokenBucket
    next_ping: int  # when the next ping is due
    n: int = 0  # of the last ping
    open: bool = False  # the last ping is unanswered
    missed: int = 0  # consecutive pings without an answer

    @property
    def answering(self) -> bool:
        """Whether it counts as available."""
        return self.missed < MAX_MISSED_RENEWALS * RENEWAL_ATTEMPTS


class ObservationKey(NamedTuple):
    """Source and subject of an observation: a later one under the same key is a repetition or replaces it."""

    endpoint: str
    witness: str
    origin: str  # broker of another region that forwarded it; empty if the witness published it here
    limit: bool  # whether it is about the endpoint's limit


@dataclass(slots=True)
class CachedObservation:
    """A witness's latest observation of an endpoint, kept while it is fresh."""

    number: int  # of the witness
    epoch: int  # of the witness
    observation: Observation
    seen_at: int  # when the witness made it, by the local clock; never earlier than it really was
    relayed_at: int  # when it was last accepted, to be relayed with the next tick

    def to_message(self, key: ObservationKey, now: int) -> RelayedObservation:
        """The message to a subscriber."""
        return RelayedObservation(key.witness, self.number, self.epoch, self.aged(now), key.origin)

    def aged(self, now: int) -> Observation:
        """The observation with its present age, which a message limits to an hour."""
        seen = self.observation
        age = min(max(0, now - self.seen_at) // MS, 3_600_000)
        return Observation(seen.endpoint, seen.kind, age, seen.value, seen.sequence)


class Broker:
    """One broker's end of the protocol. As in ``Peer``, ``receive`` handles a datagram, ``tick`` timers."""

    def __init__(self, config: BrokerConfig, now: int, seed: int) -> None:
        """Create a broker without subscriptions; couriers send it theirs as they renew their leases."""
        self.config = config
        self.sealer = Sealer(config.name, config.epoch, config.keys)
        self.events: Events = []  # emptied by the caller; errors: broker-name-twice, broker-number-twice
        self.superseded = False  # another process with a later epoch has this broker's name
        self.silent = False  # superseded or shut down: nothing is sent any more
        # Bytes sent and received, datagrams over the limit, observations relayed and forwarded, and own stalls.
        self.sent = self.received = self.over_bandwidth = self.relayed = self.forwarded = self.stalled = 0
        # By reason: received messages refused; also destinations refused (keys), and messages not sent (oversized).
        self.refused: Counter[str] = Counter()
        self._random = Random(seed)
        self._leases: dict[str, CourierLease] = {}
        self._subscribers_of: dict[int, dict[str, None]] = {}  # by destination
        self._subscription_count = 0  # of all couriers together
        self._courier_by_number: dict[int, str] = {}
        self._remote_brokers = {
            name: RemoteBroker(
                TokenBucket(FORWARD_RATE, FORWARD_RATE, now), now + self._random.randrange(LEASE_TERM // 3)
            )
            for name in config.brokers
            if name != config.name
        }
        self._regions = {
            region: brokers_in_region(config.brokers, region)
            for region in sorted({region_of(name) for name in config.brokers})
        }
        self._observations: dict[int, dict[ObservationKey, CachedObservation]] = {}  # by destination
        self._observation_count = 0
        self._to_relay: dict[tuple[int, ObservationKey], None] = {}  # relayed with the next tick
        # By courier: destinations with kept observations that it subscribed to since the last tick.
        self._new_subscriptions: dict[str, set[int]] = {}
        self._seen_newer_epoch: set[str] = set()  # couriers that have reported a later epoch of this broker
        self._last_n = self._random.randrange(1, 1 << 32)
        self._last_tick = self._last_sweep = self._refilled_at = now
        self._after_stall = False  # the last tick followed a stall: datagrams read until the next may be late
        self._available_bytes = float(config.bytes_per_second)
        self._reported_at: dict[tuple[str, str], int] = {}  # by event and subject
        self._reported_drops: Counter[str] = Counter()  # dropped datagrams that were reported, by kind

    # Incoming datagrams

    def receive(self, data: bytes, now: int) -> Datagrams:
        """Handle a datagram and return the replies; observations are relayed with the next tick."""
        self.received += len(data)
        try:
            datagram = self.sealer.open(data)
        except DatagramRejectedError as error:
            kind = error.args[0]
            if kind != "old-life" and self._may_report("broker-dropped", kind, now):
                self.events.append(
                    (
                        "broker-dropped",
                        {"kind": kind, "count": self.sealer.dropped[kind] - self._reported_drops[kind]},
                    )
                )
                self._reported_drops[kind] = self.sealer.dropped[kind]
            return []
        if datagram.sender == self.config.name:  # another process with this name and the key: the higher epoch wins
            if datagram.epoch > self.config.epoch:
                self._set_superseded(datagram.epoch, now)
            return []
        if self.silent:
            return []
        late = self._after_stall or now - self._last_tick > STALL_THRESHOLD
        if datagram.sender in self._remote_brokers:
            return self._handle_broker(datagram, late, now)
        return self._handle_courier(datagram, late, now)

    def _handle_courier(self, datagram: Datagram, late: bool, now: int) -> Datagrams:
        out: Datagrams = []
        for message in datagram.messages:
            if isinstance(message, LeaseRenewal):
                out += self._renew_lease(datagram.sender, datagram.epoch, message, now)
                continue
            lease = self._leases.get(datagram.sender)
            if lease is None or lease.epoch != datagram.epoch:
                self.refused["unknown"] += 1
            elif isinstance(message, Subscribe):
                self._subscribe(lease, message)
            elif isinstance(message, Unsubscribe):
                self._unsubscribe(lease, message)
            elif isinstance(message, PublishObservation):
                self._handle_publish(lease, message, late, now)
            else:
                self.refused["odd"] += 1
        return out

    def _handle_broker(self, datagram: Datagram, late: bool, now: int) -> Datagrams:
        other, replies = self._remote_brokers[datagram.sender], []
        for message in datagram.messages:
            if isinstance(message, Ping):
                replies.append(Ack(message.n))
            elif isinstance(message, Ack):
                if other.open and message.n == other.n:
                    other.open, other.missed = False, 0
            elif not isinstance(message, ForwardedObservation) or region_of(datagram.sender) == self.config.region:
                self.refused["odd"] += 1
            elif late:
                self.refused["late"] += 1
            elif message.number >= self.config.couriers:
                self.refused["no-place"] += 1
            elif not other.rate_limit.take(now):
                self.refused["flood"] += 1
            else:
                key = ObservationKey(
                    message.observation.endpoint,
                    message.witness,
                    datagram.sender,
                    message.observation.kind == LIMIT_KIND,
                )
                self._accept(
                    message.dest,
                    key,
                    CachedObservation(
                        message.number, message.epoch, message.observation, now - message.observation.age * MS, now
                    ),
                    now,
                )
        return self._send(datagram.sender, self.config.brokers[datagram.sender], [*replies], now, True)

    def _renew_lease(self, name: str, epoch: int, message: LeaseRenewal, now: int) -> Datagrams:
        """Renew or create a lease. The reply says whether the broker holds the courier's current subscriptions.

        There is no reply if the number is out of range, ``max_subscribers`` is reached or this broker is superseded.
        """
        if message.known_epoch > self.config.epoch:
            self._seen_newer_epoch.add(name)
            if len(self._seen_newer_epoch) >= 2:
                self._set_superseded(message.known_epoch, now)
                return []
        lease = self._leases.get(name)
        if message.number >= self.config.couriers:
            self.refused["no-place"] += 1
            return []
        if lease is None and len(self._leases) >= self.config.max_subscribers:
            self.refused["subscribers"] += 1
            if self._may_report("broker-full", "", now):
                self.events.append(("broker-full", {"subscribers": len(self._leases)}))
            return []
        if lease is None or lease.epoch < epoch:
            rate_limit = (  # a restarted courier keeps its token bucket
                lease.rate_limit if lease is not None else TokenBucket(PUBLISH_RATE, PUBLISH_RATE, now)
            )
            if lease is not None:
                self._remove_lease(lease)
            lease = self._leases[name] = CourierLease(
                name, (message.host, message.port), message.number, epoch, 0, rate_limit
            )
        if message.generation > lease.generation:
            self._unsubscribe_all(lease)
            lease.generation = message.generation
        lease.address, lease.number, lease.expires_at = (message.host, message.port), message.number, now + LEASE_TERM
        lease.known_epoch = max(lease.known_epoch, message.known_epoch)
        self._check_number(message.number, name, now)
        ok = (
            len(lease.dests) == message.count
            and lease.digest == message.digest
            and lease.generation == message.generation
        )
        return self._send(name, lease.address, [LeaseReply(message.n, ok)], now, True)

    def _check_number(self, number: int, name: str, now: int) -> None:
        """Report two couriers that have the same number: they use the same share of each budget, so it is spent twice.

        If they are in different groups, only brokers see both.
        """
        rival = self._courier_by_number.get(number)
        if rival is not None and rival != name and rival in self._leases and self._leases[rival].number == number:
            if self._may_report("broker-number-twice", str(number), now):
                self.events.append(("broker-number-twice", {"courier": name, "rival": rival, "number": number}))
        elif name in self._leases:
            self._courier_by_number[number] = name

    def _subscribe(self, lease: CourierLease, message: Subscribe) -> None:
        if message.generation < lease.generation:
            return
        if message.generation > lease.generation:
            self._unsubscribe_all(lease)
            lease.generation = message.generation
        for dest in message.dests:
            if dest in lease.dests:
                continue
            if len(lease.dests) >= MAX_INTERESTS or self._subscription_count >= MAX_SUBSCRIPTIONS:
                self.refused["keys"] += 1
                continue
            lease.dests.add(dest)
            lease.digest ^= destination_digest(dest)
            self._subscription_count += 1
            self._subscribers_of.setdefault(dest, {})[lease.name] = None
            if dest in self._observations:
                self._new_subscriptions.setdefault(lease.name, set()).add(dest)

    def _unsubscribe(self, lease: CourierLease, message: Unsubscribe) -> None:
        if message.generation == lease.generation:
            for dest in message.dests:
                self._remove_subscription(lease, dest)

    def _remove_subscription(self, lease: CourierLease, dest: int) -> None:
        if dest not in lease.dests:
            return
        lease.dests.discard(dest)
        lease.digest ^= destination_digest(dest)
        self._subscription_count -= 1
        names = self._subscribers_of[dest]
        del names[lease.name]
        if not names:
            del self._subscribers_of[dest]

    def _unsubscribe_all(self, lease: CourierLease) -> None:
        for dest in list(lease.dests):
            self._remove_subscription(lease, dest)

    def _remove_lease(self, lease: CourierLease) -> None:
        self._unsubscribe_all(lease)
        del self._leases[lease.name]
        self._new_subscriptions.pop(lease.name, None)
        if self._courier_by_number.get(lease.number) == lease.name:
            del self._courier_by_number[lease.number]

    # Observations

    def _handle_publish(self, lease: CourierLease, message: PublishObservation, late: bool, now: int) -> None:
        if late:
            self.refused["late"] += 1
        elif lease.known_epoch != self.config.epoch:
            # A replay from before this start, or a courier that has not named this epoch in a renewal yet.
            self.refused["unready"] += 1
        elif not lease.rate_limit.take(now):
            self.refused["flood"] += 1
            if self._may_report("broker-flooded", lease.name, now):
                self.events.append(("broker-flooded", {"courier": lease.name, "words_a_second": PUBLISH_RATE}))
        elif now < lease.bandwidth_used_until:
            # One observation may overdraw the share; those that follow are refused until it is made up for.
            self.refused["share"] += 1
        else:
            key = ObservationKey(message.observation.endpoint, lease.name, "", message.observation.kind == LIMIT_KIND)
            observation = CachedObservation(
                lease.number, lease.epoch, message.observation, now - message.observation.age * MS, now
            )
            if self._accept(message.dest, key, observation, now):
                cost = RELAY_COST_BYTES * (len(self._subscribers_of.get(message.dest, ())) + len(self._regions) - 1)
                share = COURIER_BANDWIDTH_SHARE * self.config.bytes_per_second
                lease.bandwidth_used_until = max(lease.bandwidth_used_until, now - SECOND) + int(cost * SECOND / share)

    def _accept(self, dest: int, key: ObservationKey, observation: CachedObservation, now: int) -> bool:
        """Queue an observation for the next tick. Returns false if it is old, a duplicate or beyond a limit."""
        if now - observation.seen_at > OBSERVATION_TTL and not key.limit:
            self.refused["old"] += 1
            return False
        of_dest = self._observations.get(dest, {})
        known = of_dest.get(key)
        if known is not None:
            before, after = (
                (known.epoch, known.observation.sequence),
                (observation.epoch, observation.observation.sequence),
            )
            if after < before or after == before and now - known.relayed_at < MIN_REPEAT_INTERVAL:
                self.refused["repeated"] += 1
                return False
            if after == before:
                observation.seen_at = min(known.seen_at, observation.seen_at)  # a repetition that the network delayed
        elif len(of_dest) >= MAX_OBSERVATIONS_PER_DESTINATION or self._observation_count >= MAX_OBSERVATIONS:
            self.refused["too-many"] += 1
            return False
        witnesses = {
            each.witness
            for each, other in of_dest.items()
            if each.endpoint == key.endpoint
            and each.origin == key.origin
            and other.observation.kind == observation.observation.kind
            and now - other.relayed_at < OBSERVATION_TTL
        }
        if len(witnesses) >= MAX_WITNESSES and key.witness not in witnesses:
            self.refused["enough"] += 1
            return False
        self._check_number(observation.number, key.witness, now)
        self._observation_count += known is None
        self._observations.setdefault(dest, of_dest)[key] = observation
        self._to_relay[(dest, key)] = None
        return True

    def _answering_brokers(self, region: str, dest: int) -> list[str]:
        """All brokers of the region that answer, this one included; the owners of the destination come first."""
        return [
            name
            for name in rendezvous_order(self._regions[region], dest)
            if name == self.config.name or self._remote_brokers[name].answering
        ]

    # Timers

    def tick(self, now: int) -> Datagrams:
        """Handle timers. To be called every 50 ms; if possible, the socket is drained between two ticks."""
        self._after_stall = now - self._last_tick > STALL_THRESHOLD
        if self._after_stall:
            self.stalled += 1
            self.events.append(("broker-stalled", {"ms": (now - self._last_tick) // MS}))
        self._last_tick = now
        if self.silent:
            return []
        out = self._relay(now)
        for name, other in self._remote_brokers.items():
            if now >= other.next_ping:
                other.missed += other.open
                self._last_n += 1
                interval = (
                    RENEWAL_RETRY_INTERVAL
                    if 0 < other.missed < MAX_MISSED_RENEWALS * RENEWAL_ATTEMPTS
                    else LEASE_TERM // 3
                )
                other.n, other.open, other.next_ping = (
                    self._last_n,
                    True,
                    now + int(interval * self._random.uniform(0.8, 1.0)),
                )
                out += self._send(name, self.config.brokers[name], [Ping(other.n)], now, True)
        if now >= self._last_sweep + SWEEP_INTERVAL:
            self._last_sweep = now
            self._sweep(now)
        return out

    def _relay(self, now: int) -> Datagrams:
        """Send queued observations, and fresh ones to new subscribers: one or a few datagrams for each receiver."""
        by_receiver: dict[str, list[PeerMessage]] = {}
        due, self._to_relay = self._to_relay, {}
        new_subscriptions, self._new_subscriptions = self._new_subscriptions, {}
        for dest, key in due:
            observation = self._observations.get(dest, {}).get(key)
            if observation is None or now - observation.seen_at > OBSERVATION_TTL and not key.limit:
                continue
            message = observation.to_message(key, now)
            for name in self._subscribers_of.get(dest, ()):
                if name != key.witness:
                    by_receiver.setdefault(name, []).append(message)
            if not key.origin:
                self._forward(dest, key, observation, now, by_receiver)
        for name, dests in new_subscriptions.items():
            for dest in dests:
                by_receiver.setdefault(name, []).extend(
                    observation.to_message(key, now)
                    for key, observation in self._observations.get(dest, {}).items()
                    if (dest, key) not in due
                    and key.witness != name
                    and (key.limit or now - observation.seen_at <= OBSERVATION_TTL)
                )
        out: Datagrams = []
        # In random order, so that if the bandwidth does not suffice for all, it is not always the same that miss out.
        for name in self._random.sample(list(by_receiver), len(by_receiver)):
            lease = self._leases.get(name)
            address = lease.address if lease is not None else self.config.brokers.get(name)
            if address is not None:
                out += self._send(name, address, by_receiver[name], now)
        return out

    def _forward(
        self,
        dest: int,
        key: ObservationKey,
        observation: CachedObservation,
        now: int,
        by_receiver: dict[str, list[PeerMessage]],
    ) -> None:
        """Forward an observation to one owner in each other region.

        The first owner here forwards to the first owner there, the second to the second. If only one broker answers
        there, both forward to it; if none does, the region gets nothing. By its own view of which brokers answer, this
        broker may be no owner: then its rank modulo ``OWNERS_PER_REGION`` counts.
        """
        rank = self._answering_brokers(self.config.region, dest).index(self.config.name) % OWNERS_PER_REGION
        message = ForwardedObservation(key.witness, observation.number, observation.epoch, dest, observation.aged(now))
        for region in self._regions:
            if region == self.config.region:
                continue
            brokers = self._answering_brokers(region, dest)
            if brokers:
                by_receiver.setdefault(brokers[min(rank, len(brokers) - 1)], []).append(message)

    def _sweep(self, now: int) -> None:
        """Remove leases and observations past their time, and the times of events that may be reported again."""
        for lease in [lease for lease in self._leases.values() if now >= lease.expires_at]:
            self._remove_lease(lease)
        for dest, of_dest in list(self._observations.items()):
            expired = [key for key, observation in of_dest.items() if now - observation.relayed_at > OBSERVATION_TTL]
            for key in expired:
                del of_dest[key]
            self._observation_count -= len(expired)
            if not of_dest:
                del self._observations[dest]
        self._reported_at = {which: at for which, at in self._reported_at.items() if now < at + EVENT_INTERVAL}

    def shut_down(self, now: int) -> Datagrams:
        """Shut down: relay what is queued, and tell subscribers to use other brokers."""
        if self.silent:
            return []
        out = self._relay(now)
        for lease in list(self._leases.values()):
            out += self._send(lease.name, lease.address, [LeaseReply(0, False)], now, True)
        self.silent = True
        return out

    def _set_superseded(self, epoch: int, now: int) -> None:
        """Stop sending: another process has this name and a higher epoch, so couriers accept only its messages."""
        if self.superseded:
            return
        self.superseded = self.silent = True
        self._to_relay.clear()
        self.events.append(("broker-name-twice", {"life": self.config.epoch, "younger": epoch}))

    def _may_report(self, event: str, which: str, now: int) -> bool:
        """Whether to report an event about ``which`` now; if so, its next report is due after ``EVENT_INTERVAL``.

        False also while ``MAX_INTERESTS`` reports are remembered, which bounds the memory for them.
        """
        if (
            now < self._reported_at.get((event, which), -(1 << 60)) + EVENT_INTERVAL
            or len(self._reported_at) >= MAX_INTERESTS
        ):
            return False
        self._reported_at[(event, which)] = now
        return True

    # Outgoing datagrams

    def _send(
        self, name: str, address: Address, messages: list[PeerMessage], now: int, urgent: bool = False
    ) -> Datagrams:
        """Pack messages for one receiver into datagrams, in order. Those beyond the bytes per second are dropped.

        ``urgent``: may use the bytes that ``URGENT_RESERVE`` reserves, too.
        """
        if not messages:
            return []
        bandwidth = float(self.config.bytes_per_second)
        self._available_bytes = min(bandwidth, self._available_bytes + bandwidth * (now - self._refilled_at) / SECOND)
        self._refilled_at = now
        # 40 bytes are enough for the epoch, the sequence number and the msgpack headers of a ``Datagram``.
        capacity = MAX_DATAGRAM_BYTES - HEADER_BYTES - 40 - len(name.encode()) - len(self.config.name.encode())
        batches: list[list[PeerMessage]] = [[]]
        left = capacity
        for message in messages:
            size = len(encode(message))
            if size > capacity:  # the names and the endpoint in one message can be longer than a datagram
                self.refused["oversized"] += 1
                continue
            if size > left and batches[-1]:
                batches.append([])
                left = capacity
            batches[-1].append(message)
            left -= size
        out: Datagrams = []
        for batch in batches if batches[0] else []:
            data = self.sealer.seal(name, batch)
            if len(data) > self._available_bytes - (0 if urgent else URGENT_RESERVE * bandwidth):
                self.over_bandwidth += 1
                if self._may_report("broker-held-back", "", now):
                    self.events.append(
                        ("broker-held-back", {"datagrams": self.over_bandwidth, "bytes_a_second": int(bandwidth)})
                    )
                continue
            self._available_bytes -= len(data)
            self.sent += len(data)
            self.relayed += sum(isinstance(message, RelayedObservation) for message in batch)
            self.forwarded += sum(isinstance(message, ForwardedObservation) for message in batch)
            out.append((address, data))
        return out

    # Reports

    def status(self, now: int) -> dict[str, Any]:
        """Status for operators.

        ``life``: epoch. ``stepped_back``: superseded. ``subscribers``: couriers with a lease. ``keys``: destinations
        with subscribers. ``fresh``: observations kept. ``passed_on``, ``forwarded``: observations sent to subscribers
        and to other brokers, counted once for each receiver. ``held_back``: datagrams dropped by the bandwidth limit.
        ``dropped``: received datagrams rejected, by reason. ``refused``: messages refused, by reason; destinations for
        ``keys``, and messages that were not sent for ``oversized``. ``brokers``: whether each other broker answers.
        """
        return {
            "life": self.config.epoch,
            "stepped_back": self.superseded,
            "subscribers": len(self._leases),
            "keys": len(self._subscribers_of),
            "subscriptions": self._subscription_count,
            "fresh": self._observation_count,
            "passed_on": self.relayed,
            "forwarded": self.forwarded,
            "held_back": self.over_bandwidth,
            "dropped": dict(self.sealer.dropped),
            "refused": dict(self.refused),
            "stalled": self.stalled,
            "brokers": {name: other.answering for name, other in self._remote_brokers.items()},
            "bytes_sent": self.sent,
            "bytes_heard": self.received,
        }
