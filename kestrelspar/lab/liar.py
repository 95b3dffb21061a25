"""Simulated lying (Byzantine) courier and broker, which have the key and follow the membership and lease protocols.

A lying courier has the name and number of a real one. It repeatedly sends each other courier false observations of
all endpoints: that they are down, that they have recovered, that their limit is one call a second, or that calls have
to wait for years. It publishes the same observations to its brokers, if there are any. It answers each loan request
with more than it owns, and serves no message. A lying broker relays such observations under the names of witnesses that
did not make them.
"""

from __future__ import annotations

import socket
import time
from contextlib import suppress

from kestrelspar.lab.rig import KEY, Rig
from kestrelspar.lab.zones import ZonedRig
from kestrelspar.peers.brokers import Broker, BrokerConfig
from kestrelspar.peers.messages import (
    ForwardedObservation,
    LeaseRenewal,
    LoanGrant,
    LoanRequest,
    Observation,
    PeerMessage,
    PublishObservation,
    RelayedObservation,
)
from kestrelspar.peers.observations import ObservationKind
from kestrelspar.peers.peer import Datagrams, Peer, PeerConfig
from kestrelspar.peers.seal import HEADER_BYTES, MAX_DATAGRAM_BYTES, decode, keys
from kestrelspar.peers.shares import LoanTerms
from kestrelspar.runtime.loop import MS

NS_PER_MS = 1_000_000
LIE_INTERVAL = 200 * MS  # between false observations to each other courier
SECOND_LOAN_OFFSET = 1_000_000  # added to the number of the second grant: a loan number that no other grant has
# Added to the sequence numbers of a lying broker's observations, so that they count as newer than the witnesses' own: a
# receiver drops an observation whose number is not higher than the last one of that witness.
RELAYED_SEQUENCE_OFFSET = 1_000_000
# Kind and value: waits are in milliseconds, limits in thousandths of a call per second.
LIES = (
    (ObservationKind.DOWN, 0),
    (ObservationKind.WAIT, 1 << 39),
    (ObservationKind.BACK, 0),
    (ObservationKind.LIMIT, 1_000),
)


class LyingCourier:
    """Takes the place of one of the rig's couriers, with its name, number and UDP address."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig, self.name, node = rig, name, rig.nodes[name]
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(node.peers)
        self._peer_addresses = rig.peer_addresses(name)
        self._to = {address: to for to, address in self._peer_addresses.items()}
        config = rig.peer_config(name)
        peer_config = PeerConfig(
            name=name,
            epoch=rig.loop.now,
            keys=keys([KEY]),
            seeds=self._peer_addresses,
            terms=LoanTerms(len(rig.nodes), node.number),
            bytes_per_second=1_000_000,
            period=300 * MS,
            **config,
        )
        self._brokers: dict[str, tuple[str, int]] = {
            to: address for to, address in config.get("brokers", {}).items() if to.startswith(f"{config['region']}/")
        }
        self._peer = Peer(peer_config, rig.loop.clock(), rig.seed)
        self._closed = False
        self._last_lie_at = self._sequence = 0
        rig.loop.spawn(self._read)
        rig.loop.spawn(self._tick)

    def _send(self, datagrams: Datagrams) -> None:
        for address, data in datagrams:
            with suppress(OSError):
                self._socket.sendto(data, address)

    def close(self) -> None:
        """Stop sending and receiving."""
        self._closed = True
        self.rig.loop.unregister(self._socket)
        self._socket.close()

    def _send_messages(self, to: str, messages: list[PeerMessage]) -> None:
        self._send([((self._peer_addresses | self._brokers)[to], self._peer.sealer.seal(to, messages))])

    def _read(self) -> None:
        while not self._closed:
            self.rig.loop.readable(self._socket, None)
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                continue
            before = dict(self._peer.sealer.dropped)
            self._send(self._peer.receive(data, self.rig.loop.clock()))
            if before == dict(self._peer.sealer.dropped):
                self._grant_loans(data)

    def _grant_loans(self, data: bytes) -> None:
        """Answer each loan request with two grants: one of the calls requested, and one of ten times as many."""
        datagram = decode(data[HEADER_BYTES:])
        for message in datagram.messages:
            if isinstance(message, LoanRequest) and datagram.sender in self._peer_addresses:
                self._sequence += 1
                self._send_messages(datagram.sender, [LoanGrant(message.n, self._sequence, message.calls)])
                self._send_messages(
                    datagram.sender, [LoanGrant(message.n, self._sequence + SECOND_LOAN_OFFSET, 10 * message.calls)]
                )

    def _tick(self) -> None:
        while not self._closed:
            now = self.rig.loop.clock()
            self._peer.record_interest(self.rig.groups.values(), now)
            self._send(self._peer.tick(now))
            if now >= self._last_lie_at + LIE_INTERVAL:
                self._last_lie_at = now
                kind, value = LIES[self.rig.rng.randrange(len(LIES))]
                self._sequence += 1
                observations: list[PeerMessage] = [
                    Observation(name, kind, 0, value, self._sequence) for name in self.rig.members
                ]
                for to in self._peer_addresses:
                    for at in range(0, len(observations), 20):
                        self._send_messages(to, observations[at : at + 20])
                publications: list[PeerMessage] = [
                    PublishObservation(self.rig.groups[observation.endpoint], observation)
                    for observation in observations
                    if isinstance(observation, Observation)
                ]
                for to in self._brokers:
                    for at in range(0, len(publications), 20):
                        self._send_messages(to, publications[at : at + 20])
            self.rig.loop.sleep(50 * MS)


class LyingBroker:
    """Takes the place of one of the rig's brokers. The witnesses that it names are real couriers."""

    def __init__(self, rig: ZonedRig, name: str) -> None:
        self.rig, self.name = rig, name
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(rig.brokers[name].peers)
        self._other_brokers = {to: rig.address(to) for to in rig.brokers if to != name}
        epoch = time.time_ns() // NS_PER_MS  # Unix time in milliseconds: larger than that of the broker it replaces
        broker_config = BrokerConfig(
            name,
            name.partition("/")[0],
            rig.address(name),
            epoch,
            keys([KEY]),
            self._other_brokers | {name: rig.address(name)},
            len(rig.nodes),
        )
        self._broker = Broker(broker_config, rig.loop.clock(), rig.seed)
        # Both by courier whose lease renewal was received, even if the broker did not accept it.
        self._epochs: dict[str, int] = {}
        self._courier_addresses: dict[str, tuple[str, int]] = {}
        self._last_lie_at = self._sequence = 0
        self.lies = 0  # false observations sent
        rig.loop.spawn(self._read)
        rig.loop.spawn(self._tick)

    def _send(self, datagrams: Datagrams) -> None:
        for address, data in datagrams:
            with suppress(OSError):
                self._socket.sendto(data, address)

    def _read(self) -> None:
        while True:
            self.rig.loop.readable(self._socket, None)
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                continue
            self._send(self._broker.receive(data, self.rig.loop.clock()))
            with suppress(ValueError):  # data that is no datagram of a courier or broker
                datagram = decode(data[HEADER_BYTES:])
                for message in datagram.messages:
                    if isinstance(message, LeaseRenewal):
                        self._epochs[datagram.sender], self._courier_addresses[datagram.sender] = (
                            datagram.epoch,
                            (message.host, message.port),
                        )

    def _tick(self) -> None:
        while True:
            now = self.rig.loop.clock()
            self._send(self._broker.tick(now))
            if now >= self._last_lie_at + LIE_INTERVAL:
                self._last_lie_at = now
                self._lie()
            self.rig.loop.sleep(50 * MS)

    def _lie(self) -> None:
        kind, value = LIES[self.rig.rng.randrange(len(LIES))]
        self._sequence += 1
        observations = [
            Observation(name, kind, 0, value, RELAYED_SEQUENCE_OFFSET + self._sequence) for name in self.rig.members
        ]
        claims = [
            (name, self.rig.nodes[name].number, epoch, observation)
            for name, epoch in self._epochs.items()
            for observation in observations
        ]
        to_couriers: list[PeerMessage] = [RelayedObservation(*claim) for claim in claims]
        to_brokers: list[PeerMessage] = [
            ForwardedObservation(*claim[:3], self.rig.groups[claim[3].endpoint], claim[3]) for claim in claims
        ]
        for addresses, messages in ((self._courier_addresses, to_couriers), (self._other_brokers, to_brokers)):
            for to, address in addresses.items():
                for at in range(0, len(messages), 10):
                    self._send([(address, self._broker.sealer.seal(to, messages[at : at + 10]))])
                    self.lies += len(messages[at : at + 10])
