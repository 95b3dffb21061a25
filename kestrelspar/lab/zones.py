"""Test rig with brokers and zones: each zone is a group of couriers, and faults are injected between zones.

Each zone's couriers are behind one relay. Each broker has its own relay, as no two brokers may have the same address.
"""

from __future__ import annotations

import socket
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from kestrelspar.lab.relays import FaultyNetwork, Relay
from kestrelspar.lab.relays import PathFaults as Faults
from kestrelspar.lab.rig import KEY, READY_TIMEOUT, CourierProcess, Rig, UdpProxy
from kestrelspar.peers.messages import RelayedObservation
from kestrelspar.peers.seal import HEADER_BYTES, decode
from kestrelspar.runtime.loop import Loop


class RecordingRelay(Relay):
    """A relay that records the observations that brokers relayed to its couriers, sent on or not ("unsent")."""

    def __init__(self, loop: Loop, group: str, network: FaultyNetwork) -> None:
        super().__init__(loop, group, network)
        self.relayed: list[tuple[int, str, str]] = []  # time of forwarding, witness, endpoint

    def _forward(self, data: bytes, address: tuple[str, int]) -> None:
        super()._forward(data, address)
        with suppress(ValueError):  # forged by a test
            self.relayed += [
                (self.loop.now, message.witness, message.observation.endpoint)
                for message in decode(data[HEADER_BYTES:]).messages
                if isinstance(message, RelayedObservation)
            ]


class ZonedRig(Rig):
    """Couriers and brokers in several zones.

    Each courier and broker is known to all others by the address of a relay, which all datagrams to it pass.
    """

    def __init__(
        self,
        directory: Path,
        seed: int,
        limits: dict[str, int],
        zones: dict[str, tuple[str, str]],
        brokers: dict[str, str],
        **rig_options: Any,
    ) -> None:
        """``zones`` has the region and zone of each courier, ``brokers`` the zone of each broker, by name.

        Names of couriers are n0, n1 and so on; those of brokers begin with their region and a slash.
        """
        self.zones, self.ungrouped = zones, set[str]()  # ungrouped: couriers configured without group and brokers
        super().__init__(directory, len(zones), seed, limits, **rig_options)
        assert list(zones) == list(self.nodes)
        for number, name in enumerate(brokers):
            (directory / name.replace("/", "-")).mkdir()
            self.brokers[name] = CourierProcess(
                name, number, ("", 0), self.ports.allocate(socket.SOCK_DGRAM), directory / name.replace("/", "-")
            )
        self.network = FaultyNetwork(seed)
        self.network.groups = {name: zone for name, (_, zone) in zones.items()} | {name: name for name in brokers}
        self.relay_zones = {zone: zone for _, zone in zones.values()} | brokers  # by relay: its zone
        self.relays = {name: RecordingRelay(self.loop, name, self.network) for name in self.relay_zones}
        for name, node in (self.nodes | self.brokers).items():
            self.relays[self.network.groups[name]].addresses[name] = node.peers

    def _make_proxies(self) -> dict[tuple[str, str], UdpProxy]:
        return {}

    def peer_addresses(self, sender: str) -> dict[str, tuple[str, int]]:
        """See ``Rig.peer_addresses``: only couriers of the sender's group, or all if it is configured without group."""
        return {
            name: self.address(name)
            for name in self.nodes
            if name != sender and (sender in self.ungrouped or self.zones[name] == self.zones[sender])
        }

    def peer_config(self, name: str) -> dict[str, Any]:
        """See ``Rig.peer_config``."""
        config: dict[str, Any] = {"address": self.address(name)}
        if name in self.ungrouped:
            return config
        region, zone = self.zones[name]
        return config | {
            "region": region,
            "group": zone,
            "brokers": {name: self.address(name) for name in self.brokers},
        }

    def address(self, name: str) -> tuple[str, int]:
        """The address at which others reach a courier or broker."""
        return self.relays[self.network.groups[name]].address

    def _extra_peer_settings(self, node: CourierProcess) -> str:
        advertise = "    advertise {}:{}\n".format(*self.address(node.name))
        if node.name in self.ungrouped:
            return advertise
        region, zone = self.zones[node.name]
        return f"{advertise}    group {zone}\n    region {region}\n{self._broker_lines()}"

    def _broker_lines(self) -> str:
        return "".join("    broker {} {}:{}\n".format(name, *self.address(name)) for name in self.brokers)

    # Brokers

    def start_broker(self, name: str, keep_state: bool = True) -> None:
        """Start a broker, and run until it serves; without ``keep_state`` its state directory is deleted first."""
        node = self.brokers[name]
        state = node.directory / "state"
        if not keep_state:
            for file in state.iterdir():
                file.unlink()
            state.rmdir()
        state.mkdir(exist_ok=True)
        (node.directory / "key0").write_text(KEY)
        (node.directory / "key0").chmod(0o600)
        (node.directory / "k.conf").write_text(
            f"log\n    level debug\npeers\n    listen {node.peers[0]}:{node.peers[1]}\n    key-file key0\n"
            f"    region {name.partition('/')[0]}\n    couriers {len(self.nodes)}\n{self._broker_lines()}"
        )
        arguments = ["broker", "--conf", str(node.directory / "k.conf"), "--name", name, "--state", str(state)]
        before = node.log.read_text().count("event=broker-serves") if node.log.is_file() else 0
        self._run(node, [sys.executable, "-m", "kestrelspar", *arguments], {})
        self.run_until(lambda: node.log.read_text().count("event=broker-serves") > before, READY_TIMEOUT)

    # Faults between zones

    def partition(self, zone: str, outbound: bool = True, inbound: bool = True) -> None:
        """Cut a zone off: datagrams from it to other zones (``outbound``), and from them to it (``inbound``)."""
        for inside in [name for name, relay_zone in self.relay_zones.items() if relay_zone == zone]:
            for outside in [name for name, relay_zone in self.relay_zones.items() if relay_zone != zone]:
                if outbound:
                    self.network.faults[(inside, outside)] = Faults(cut=True)
                if inbound:
                    self.network.faults[(outside, inside)] = Faults(cut=True)

    def set_loss(self, share: float) -> None:
        """Drop this share of all datagrams, also of those within a zone; replaces the faults between relays."""
        for a in self.relays:
            for b in self.relays:
                self.network.faults[(a, b)] = Faults(loss=share)

    def heal(self) -> None:
        """Remove all faults between relays."""
        self.network.heal()

    def zones_with_foreign_witnesses(self, member: str, since: int) -> set[str]:
        """Zones to which brokers have since relayed an observation of ``member`` by a courier of another zone."""
        return {
            zone
            for zone in {zone for _, zone in self.zones.values()}
            for at, witness, endpoint in self.relays[zone].relayed
            if at > since and endpoint == member and self.zones[witness][1] != zone
        }
