"""A courier that lies: it has the key, a name and a number, and keeps to the protocol of members; and such a broker.

Told to each member, again and again: every endpoint is down, every endpoint is well, limits of a call a second, waits
without end; and to each ask it grants more than it owns. It serves no message. Where there are brokers it has them pass
on the same. A lying broker keeps to the protocol of leases, and makes up witnesses who say all that.
"""

from __future__ import annotations

import socket
import time
from contextlib import suppress

from kestrelspar.lab.rig import KEY, Rig
from kestrelspar.lab.zones import Zoned
from kestrelspar.peers.brokers import Broker, BrokerAbout
from kestrelspar.peers.judgements import Kind
from kestrelspar.peers.peer import About, Datagrams, Peer
from kestrelspar.peers.seal import HEAD, MOST, decode, keys
from kestrelspar.peers.shares import Terms
from kestrelspar.peers.words import Ask, Forward, Grant, Publish, Relayed, Renew, Seen, Word
from kestrelspar.runtime.loop import MS

EVERY = 200 * MS  # between two lies to each member
LIES = ((Kind.DOWN, 0), (Kind.WAIT, 1 << 39), (Kind.BACK, 0), (Kind.LIMIT, 1_000))


class Liar:
    """Takes the place of one of the rig's couriers."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig, self.name, node = rig, name, rig.nodes[name]
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(node.peers)
        self._ways = rig.peer_addresses(name)
        self._to = {address: to for to, address in self._ways.items()}
        told = rig.peer_config(name)
        about = About(
            name=name,
            life=rig.loop.now,
            keys=keys([KEY]),
            seeds=self._ways,
            terms=Terms(len(rig.nodes), node.number),
            bytes_a_second=1_000_000,
            period=300 * MS,
            **told,
        )
        self._brokers: dict[str, tuple[str, int]] = {
            to: address for to, address in told.get("brokers", {}).items() if to.startswith(f"{told['region']}/")
        }
        self._peer = Peer(about, rig.loop.clock(), rig.seed)
        self._over = False
        self._told = self._n = 0
        rig.loop.spawn(self._read)
        rig.loop.spawn(self._tick)

    def _send(self, datagrams: Datagrams) -> None:
        for address, data in datagrams:
            with suppress(OSError):
                self._socket.sendto(data, address)

    def close(self) -> None:
        """It says no more."""
        self._over = True
        self.rig.loop.forget(self._socket)
        self._socket.close()

    def _say(self, to: str, words: list[Word]) -> None:
        self._send([((self._ways | self._brokers)[to], self._peer.sealer.seal(to, words))])

    def _read(self) -> None:
        while not self._over:
            self.rig.loop.readable(self._socket, None)
            try:
                data = self._socket.recv(MOST + 1)
            except OSError:
                continue
            before = dict(self._peer.sealer.dropped)
            self._send(self._peer.hear(data, self.rig.loop.clock()))
            if before == dict(self._peer.sealer.dropped):
                self._lend(data)

    def _lend(self, data: bytes) -> None:
        """Grant what was asked for, and ten times that, to whoever asks."""
        told = decode(data[HEAD:])
        for word in told.words:
            if isinstance(word, Ask) and told.sender in self._ways:
                self._n += 1
                self._say(told.sender, [Grant(word.n, self._n, word.calls)])
                self._say(told.sender, [Grant(word.n, self._n + 1_000_000, 10 * word.calls)])

    def _tick(self) -> None:
        while not self._over:
            now = self.rig.loop.clock()
            self._peer.interest(self.rig.groups.values(), now)
            self._send(self._peer.tick(now))
            if now >= self._told + EVERY:
                self._told = now
                kind, value = LIES[self.rig.rng.randrange(len(LIES))]
                self._n += 1
                words: list[Word] = [Seen(name, kind, 0, value, self._n) for name in self.rig.members]
                for to in self._ways:
                    for at in range(0, len(words), 20):
                        self._say(to, words[at : at + 20])
                passed: list[Word] = [
                    Publish(self.rig.groups[word.endpoint], word) for word in words if isinstance(word, Seen)
                ]
                for to in self._brokers:
                    for at in range(0, len(passed), 20):
                        self._say(to, passed[at : at + 20])
            self.rig.loop.sleep(50 * MS)


class LyingBroker:
    """Takes the place of one of the rig's brokers. Its witnesses have names, places and lives of real couriers."""

    def __init__(self, rig: Zoned, name: str) -> None:
        self.rig, self.name = rig, name
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(rig.brokers[name].peers)
        self._others = {to: rig.address(to) for to in rig.brokers if to != name}
        life = time.time_ns() // MS // MS  # larger than that of the one whose place it takes
        about = BrokerAbout(
            name,
            name.partition("/")[0],
            rig.address(name),
            life,
            keys([KEY]),
            self._others | {name: rig.address(name)},
            len(rig.nodes),
        )
        self._broker = Broker(about, rig.loop.clock(), rig.seed)
        self._lives: dict[str, int] = {}
        self._ways: dict[str, tuple[str, int]] = {}  # of couriers that hold a lease
        self._told = self._n = 0
        self.lies = 0  # words
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
                data = self._socket.recv(MOST + 1)
            except OSError:
                continue
            self._send(self._broker.hear(data, self.rig.loop.clock()))
            with suppress(ValueError):  # what else has come there
                told = decode(data[HEAD:])
                for word in told.words:
                    if isinstance(word, Renew):
                        self._lives[told.sender], self._ways[told.sender] = told.life, (word.host, word.port)

    def _tick(self) -> None:
        while True:
            now = self.rig.loop.clock()
            self._send(self._broker.tick(now))
            if now >= self._told + EVERY:
                self._told = now
                self._lie()
            self.rig.loop.sleep(50 * MS)

    def _lie(self) -> None:
        kind, value = LIES[self.rig.rng.randrange(len(LIES))]
        self._n += 1
        seen = [Seen(name, kind, 0, value, 1_000_000 + self._n) for name in self.rig.members]
        told = [(name, self.rig.nodes[name].number, life, word) for name, life in self._lives.items() for word in seen]
        to_couriers: list[Word] = [Relayed(*each) for each in told]
        to_others: list[Word] = [Forward(*each[:3], self.rig.groups[each[3].endpoint], each[3]) for each in told]
        for whom, words in ((self._ways, to_couriers), (self._others, to_others)):
            for to, address in whom.items():
                for at in range(0, len(words), 10):
                    self._send([(address, self._broker.sealer.seal(to, words[at : at + 10]))])
                    self.lies += len(words[at : at + 10])
