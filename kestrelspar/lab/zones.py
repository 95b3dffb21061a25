"""A rig of couriers in zones, with brokers: one group of couriers a zone, faults between zones.

A relay stands before each zone's couriers, and one before each broker, as no two brokers may have one address.
"""

from __future__ import annotations

import socket
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from kestrelspar.lab.relays import Path as Faults
from kestrelspar.lab.relays import Paths, Relay
from kestrelspar.lab.rig import KEY, READY_TIMEOUT, Node, Rig, UdpProxy
from kestrelspar.peers.seal import HEAD, decode
from kestrelspar.peers.words import Relayed
from kestrelspar.runtime.loop import Loop


class Seeing(Relay):
    """A relay that notes which words of brokers it has put through to its couriers."""

    def __init__(self, loop: Loop, group: str, paths: Paths) -> None:
        super().__init__(loop, group, paths)
        self.relayed: list[tuple[int, str, str]] = []  # when, the witness, the endpoint

    def _put(self, data: bytes, place: tuple[str, int]) -> None:
        super()._put(data, place)
        with suppress(ValueError):  # forged on purpose
            self.relayed += [
                (self.loop.now, word.witness, word.seen.endpoint)
                for word in decode(data[HEAD:]).words
                if isinstance(word, Relayed)
            ]


class Zoned(Rig):
    """Couriers and brokers of several zones. All that goes to one passes a relay, whose address it advertises."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        limits: dict[str, int],
        zones: dict[str, tuple[str, str]],
        brokers: dict[str, str],
        **more: Any,
    ) -> None:
        """``zones``: region and zone by courier, of which there are as many; ``brokers``: the zone of each."""
        self.zones, self.plain = zones, set[str]()  # plain: couriers that are told no group and no broker
        super().__init__(folder, len(zones), seed, limits, **more)
        assert list(zones) == list(self.nodes)
        for number, name in enumerate(brokers):
            (folder / name.replace("/", "-")).mkdir()
            self.brokers[name] = Node(
                name, number, ("", 0), self.ports.allocate(socket.SOCK_DGRAM), folder / name.replace("/", "-")
            )
        self.paths = Paths(seed)
        self.paths.groups = {name: zone for name, (_, zone) in zones.items()} | {name: name for name in brokers}
        self.places = {zone: zone for _, zone in zones.values()} | brokers  # the zone of each relay
        self.relays = {name: Seeing(self.loop, name, self.paths) for name in self.places}
        for name, node in (self.nodes | self.brokers).items():
            self.relays[self.paths.groups[name]].places[name] = node.peers

    def _make_proxies(self) -> dict[tuple[str, str], UdpProxy]:
        return {}

    def peer_addresses(self, sender: str) -> dict[str, tuple[str, int]]:
        """See ``Rig.peer_addresses``: those of its group, or all where it knows of none."""
        return {
            name: self.address(name)
            for name in self.nodes
            if name != sender and (sender in self.plain or self.zones[name] == self.zones[sender])
        }

    def peer_config(self, name: str) -> dict[str, Any]:
        """See ``Rig.peer_config``."""
        told: dict[str, Any] = {"address": self.address(name)}
        if name in self.plain:
            return told
        region, zone = self.zones[name]
        return told | {"region": region, "group": zone, "brokers": {name: self.address(name) for name in self.brokers}}

    def address(self, name: str) -> tuple[str, int]:
        """Where others send to it."""
        return self.relays[self.paths.groups[name]].address

    def _extra_peer_settings(self, node: Node) -> str:
        advertise = "    advertise {}:{}\n".format(*self.address(node.name))
        if node.name in self.plain:
            return advertise
        region, zone = self.zones[node.name]
        return f"{advertise}    group {zone}\n    region {region}\n{self._broker_lines()}"

    def _broker_lines(self) -> str:
        return "".join("    broker {} {}:{}\n".format(name, *self.address(name)) for name in self.brokers)

    # Brokers

    def start_broker(self, name: str, folder: bool = True) -> None:
        """One broker's process; without its folder where that is not kept."""
        node = self.brokers[name]
        state = node.folder / "state"
        if not folder:
            for file in state.iterdir():
                file.unlink()
            state.rmdir()
        state.mkdir(exist_ok=True)
        (node.folder / "key0").write_text(KEY)
        (node.folder / "key0").chmod(0o600)
        (node.folder / "k.conf").write_text(
            f"log\n    level debug\npeers\n    listen {node.peers[0]}:{node.peers[1]}\n    key-file key0\n"
            f"    region {name.partition('/')[0]}\n    couriers {len(self.nodes)}\n{self._broker_lines()}"
        )
        words = ["broker", "--conf", str(node.folder / "k.conf"), "--name", name, "--state", str(state)]
        before = node.log.read_text().count("event=broker-serves") if node.log.is_file() else 0
        self._run(node, [sys.executable, "-m", "kestrelspar", *words], {})
        self.until(lambda: node.log.read_text().count("event=broker-serves") > before, READY_TIMEOUT)

    # Faults between zones

    def apart(self, zone: str, out: bool = True, back: bool = True) -> None:
        """What the zone says reaches no other (``out``), and what others say does not reach it (``back``)."""
        for one in [name for name, place in self.places.items() if place == zone]:
            for other in [name for name, place in self.places.items() if place != zone]:
                if out:
                    self.paths.faults[(one, other)] = Faults(cut=True)
                if back:
                    self.paths.faults[(other, one)] = Faults(cut=True)

    def lose(self, share: float) -> None:
        """Of all datagrams, within zones too, so many are lost."""
        for a in self.relays:
            for b in self.relays:
                self.paths.faults[(a, b)] = Faults(loss=share)

    def heal(self) -> None:
        """No fault any more."""
        self.paths.heal()

    def across(self, member: str, since: int) -> set[str]:
        """Zones whose couriers brokers have told since then what somebody of another zone saw of it."""
        return {
            zone
            for zone in {zone for _, zone in self.zones.values()}
            for at, witness, endpoint in self.relays[zone].relayed
            if at > since and endpoint == member and self.zones[witness][1] != zone
        }
