"""The protocol between couriers as one object: membership, budgets, observations, counters. No I/O.

``receive`` handles a datagram, ``tick`` timers; both return the datagrams to send. Datagrams beyond the configured
bytes per second are dropped, as the protocol tolerates the loss of any message.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from kestrelspar.peers.brokers import Subscriber, brokers_in_region
from kestrelspar.peers.counts import FleetCounters
from kestrelspar.peers.members import Events, Members, Outgoing
from kestrelspar.peers.messages import (
    Ack,
    CounterReport,
    CounterRequest,
    LeaseRenewal,
    MemberState,
    MemberUpdate,
    Nack,
    Observation,
    PeerMessage,
    Ping,
    Probe,
)
from kestrelspar.peers.observations import ObservationTracker
from kestrelspar.peers.seal import MAX_DATAGRAM_BYTES, DatagramRejectedError, Sealer, encode
from kestrelspar.peers.shares import LoanTerms, Shares

MS, SECOND = 1_000, 1_000_000  # microseconds
EVENT_INTERVAL = 60 * SECOND  # an event that ``_may_report`` limits is reported at most this often
URGENT_RESERVE = 0.25  # share of the bytes per second reserved for datagrams with pings, probes, replies or renewals
OBSERVATION_SHARE = 0.5  # of the bytes available now: the most that observations of endpoints may use
BURST_WINDOW = SECOND  # unused bandwidth of up to this time may be sent as one burst

Datagrams = list[tuple[tuple[str, int], bytes]]


@dataclass(frozen=True, slots=True)
class PeerConfig:
    """Configuration of a courier: itself and the others."""

    name: str
    address: tuple[str, int]
    epoch: int  # larger at each start of the process
    keys: list[bytes]
    seeds: dict[str, tuple[str, int]]  # couriers to contact first, by name
    terms: LoanTerms
    bytes_per_second: int = 20_000
    period: int = SECOND  # between two probes of members
    max_members: int = 1_024  # max members that are tracked
    max_retry_after: int = 2 * SECOND  # longest retry-after delay that is accepted from other couriers
    max_restricted_share: float = 0.5  # of all routes: the most that reports of other couriers may close
    probe_interval: int = SECOND  # between the couriers that probe an endpoint in an outage, one after the other
    group: str = ""  # only couriers of the same group, or of none, are members
    region: str = ""  # the brokers of this region are used; if there are none, no brokers are
    brokers: dict[str, tuple[str, int]] = field(default_factory=dict)  # of all regions, by "REGION/NAME"


class Peer:
    """One courier's end of the protocol: membership, loans, observations and counters."""

    def __init__(
        self,
        config: PeerConfig,
        now: int,
        seed: int,
        saved_lent: dict[str, int] | None = None,
        save_lent: Callable[[dict[str, int]], bool] = lambda lent: True,
        saved_counts: dict[str, int] | None = None,
    ) -> None:
        """``saved_lent``, ``save_lent``: see ``Shares``; ``saved_counts``: counters of earlier epochs, as persisted."""
        random = Random(seed)
        self.config = config
        self.sealer = Sealer(config.name, config.epoch, config.keys)
        own_update = MemberUpdate(
            config.name, *config.address, config.terms.number, config.epoch, 0, MemberState.ALIVE, config.group
        )
        self.members = Members(own_update, config.seeds, config.period, config.max_members, now, random)
        self.shares = Shares(config.terms, config.epoch, now, saved_lent, random, save_lent)
        own_brokers = brokers_in_region(config.brokers, config.region)
        self.observations = ObservationTracker(
            config.name,
            config.epoch,
            config.max_retry_after,
            config.max_restricted_share,
            config.probe_interval,
            Random(seed + 1),
            config.terms.couriers,
            config.terms.number,
            set(config.brokers) - set(own_brokers),
        )
        self.counters = FleetCounters(config.name, config.epoch, now, saved_counts or {}, Random(seed + 2))
        self.subscriber = (
            Subscriber(config.name, config.address, config.terms.number, own_brokers, now, Random(seed + 3))
            if own_brokers
            else None
        )
        self.has_new_observations = False  # new observations of endpoints have arrived; the caller resets it
        self.events: Events = []
        self.sent = self.received = self.over_bandwidth = 0  # bytes sent and received; datagrams dropped over the limit
        self._available_bytes, self._refilled_at = float(config.bytes_per_second), now
        self._reported_at: dict[str, int] = {}
        self._reported_drops: Counter[str] = Counter()
        if config.terms.number >= config.terms.couriers:
            self.events.append(
                ("peers-owns-nothing", {"number": config.terms.number, "couriers": config.terms.couriers})
            )

    def record_interest(self, dests: Iterable[int], now: int) -> None:
        """Record destinations called since the last tick or with messages waiting; ignored without brokers."""
        if self.subscriber is not None:
            self.subscriber.record_interest(dests, now)

    def broker_status(self, now: int) -> dict[str, dict[str, Any]]:
        """For operators, by broker: ``Subscriber.status``, and whether it is distrusted; empty without brokers."""
        if self.subscriber is None:
            return {}
        return {
            name: {**status, "voiceless": self.observations.broker_distrusted(name)}
            for name, status in self.subscriber.status(now).items()
        }

    def receive(self, data: bytes, now: int) -> Datagrams:
        """Handle a datagram and return those to send."""
        self.received += len(data)
        try:
            datagram = self.sealer.open(data)
        except DatagramRejectedError as error:
            if error.args[0] == "old-life" or not self._may_report(error.args[0], now):
                return []
            kind = error.args[0]
            self.events.append(
                ("peers-dropped", {"kind": kind, "count": self.sealer.dropped[kind] - self._reported_drops[kind]})
            )
            self._reported_drops[kind] = self.sealer.dropped[kind]
            return []
        if datagram.sender == self.config.name:  # another process with this name and the key: the higher epoch wins
            self.members.receive(
                datagram.sender,
                datagram.epoch,
                [message for message in datagram.messages if isinstance(message, MemberUpdate)],
                now,
            )
            self._stop_if_superseded()
            return self._send([], now)
        if datagram.sender in self.config.brokers:  # not a courier, whatever messages it sends
            if self.subscriber is None or datagram.sender not in self.subscriber.sessions:
                return []  # of another region: the own region's brokers, if any, relay its observations
            out = self.subscriber.receive(datagram.sender, datagram.epoch, datagram.messages, now)
            self.has_new_observations |= self.observations.receive_relayed(datagram.sender, datagram.messages, now)
            return self._send(out, now)
        out = self.members.receive(datagram.sender, datagram.epoch, datagram.messages, now)
        out += self.shares.receive(
            datagram.sender, datagram.epoch, datagram.messages, now, self.members.number(datagram.sender)
        )
        number = self.members.number(datagram.sender)
        # A witness must be a member with a number below the fleet size.
        if number is not None and number < self.config.terms.couriers:
            self.has_new_observations |= self.observations.receive(
                datagram.sender, datagram.epoch, datagram.messages, now
            )
        out += self.counters.receive(datagram.sender, datagram.messages, now, self.members.gone())
        self._stop_if_superseded()
        return self._send(out, now)

    def tick(self, now: int) -> Datagrams:
        """Handle timers; to be called about every 50 ms."""
        alive = self.members.alive()
        out = self.members.tick(now) + self.shares.tick(now, alive)
        self._refill(now)
        if self.subscriber is None:
            out += self.observations.tick(now, alive, int(OBSERVATION_SHARE * self._available_bytes))
        else:  # members without a group may not use brokers: observations are sent to them directly
            out += self.subscriber.tick(now)
            ungrouped = [name for name in alive if not self.members.group(name)]
            out += self.observations.tick(
                now, ungrouped, int(OBSERVATION_SHARE * self._available_bytes), self.subscriber.owners
            )
        out += self.counters.tick(now, alive)
        self.observations.set_members(self.members.members)
        return self._send(out, now)

    def shut_down(self, now: int, ends: bool = True) -> Datagrams:
        """Notify the others that this courier leaves, so that they need not wait for a timeout to detect it.

        ``ends``: the process ends, and makes no more calls. Otherwise it only stops communicating, and keeps its share,
        less what it has lent until those loans have expired.
        """
        out = self.members.shut_down()
        self.shares.stopped = ends
        self.shares.silent = self.observations.silent = self.counters.silent = True
        if self.subscriber is not None:
            self.subscriber.silent = True  # its leases expire
        return self._send(out, now)

    def _stop_if_superseded(self) -> None:
        if self.members.superseded:
            self.shares.stopped = self.observations.silent = self.counters.silent = True
            if self.subscriber is not None:
                self.subscriber.silent = True

    def _may_report(self, kind: str, now: int) -> bool:
        if now < self._reported_at.get(kind, -(1 << 60)) + EVENT_INTERVAL:
            return False
        self._reported_at[kind] = now
        return True

    def _send(self, out: Outgoing, now: int) -> Datagrams:
        """Pack messages into one datagram or more for each receiver, and collect the events of all components.

        Free space in datagrams to couriers is used for observations and member updates. Messages to a receiver without
        a known address are dropped.
        """
        components: tuple[Members | Shares | ObservationTracker | Subscriber | None, ...] = (
            self.members,
            self.shares,
            self.observations,
            self.subscriber,
        )
        for component in components:
            if component is None:
                continue
            self.events += component.events
            component.events = []
        by_receiver: dict[str, list[PeerMessage]] = {}
        for name, messages in out:
            by_receiver.setdefault(name, []).extend(messages)
        bandwidth = self.config.bytes_per_second
        self._refill(now)
        sent: Datagrams = []
        for name, to_send in by_receiver.items():
            address = self.config.brokers.get(name) or self.members.address(name)
            if address is None:
                continue
            for messages in self._split(name, to_send):
                if name not in self.config.brokers:  # a broker has no use for member updates
                    messages = self._piggyback(name, messages, now)
                data = self.sealer.seal(name, messages)
                urgent = any(isinstance(message, (Ping, Ack, Probe, Nack, LeaseRenewal)) for message in messages)
                if len(data) > self._available_bytes - (0 if urgent else URGENT_RESERVE * bandwidth):
                    self.over_bandwidth += 1
                    if self._may_report("held-back", now):
                        self.events.append(
                            ("peers-held-back", {"datagrams": self.over_bandwidth, "bytes_a_second": bandwidth})
                        )
                    continue
                self._available_bytes -= len(data)
                self.sent += len(data)
                self.members.count_gossiped(messages)
                sent.append((address, data))
        return sent

    def _split(self, name: str, messages: list[PeerMessage]) -> list[list[PeerMessage]]:
        """Split messages for one receiver so that each part fits into a datagram."""
        name_bytes = len(name.encode()) + len(self.config.name.encode())
        batches: list[list[PeerMessage]] = [[]]
        for message in messages:
            if batches[-1] and Sealer.size([*batches[-1], message], name_bytes) > MAX_DATAGRAM_BYTES:
                batches.append([])
            batches[-1].append(message)
        return batches

    def _refill(self, now: int) -> None:
        """Add the bytes that may be sent for the time since the last call (token bucket)."""
        bandwidth = float(self.config.bytes_per_second)
        self._available_bytes = min(
            bandwidth * BURST_WINDOW / SECOND, self._available_bytes + bandwidth * (now - self._refilled_at) / SECOND
        )
        self._refilled_at = now

    def _piggyback(self, name: str, messages: list[PeerMessage], now: int) -> list[PeerMessage]:
        """Add as many observations and member updates to the messages as the datagram has room for."""
        name_bytes = len(name.encode()) + len(self.config.name.encode())
        messages = list(messages)
        # Observations and counters go to all members, in dozens of datagrams at once: with additions to each, most of
        # the datagrams would exceed the bandwidth limit and not be sent.
        if self.members.leaving or all(
            isinstance(message, (Observation, CounterReport, CounterRequest)) for message in messages
        ):
            return messages
        # 8: bytes by which the length prefix of the list may grow.
        room = MAX_DATAGRAM_BYTES - Sealer.size(messages, name_bytes) - 8
        observations = (
            [] if any(isinstance(message, Observation) for message in messages) else self.observations.piggybacked(now)
        )
        for message in observations + self.members.gossip(name):
            room -= len(encode(message))
            if room < 0:
                break
            messages.append(message)
        return messages
