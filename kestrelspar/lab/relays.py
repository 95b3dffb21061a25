"""UDP relays in front of groups of couriers, which apply the faults between the groups.

Every courier of a group advertises the address of its group's relay (`peers.advertise`), so all datagrams to it arrive
there. The relay reads the sender and the receiver of a datagram, which are authenticated but not encrypted. It applies
the faults of the path from the sender's group to the receiver's, and forwards the datagram to the actual address of the
receiver. It knows nothing else of couriers.

``python -m kestrelspar.lab.relays`` is a process with the relays of several groups: see ``RelayProcess``.
"""

from __future__ import annotations

import resource
import socket
from collections import Counter
from dataclasses import asdict, dataclass
from random import Random
from typing import Any

import msgspec

from kestrelspar.lab import child
from kestrelspar.lab.rig import TimedLoop
from kestrelspar.peers.seal import HEADER_BYTES, MAGIC
from kestrelspar.runtime.loop import SECOND, Loop

RECEIVE_BUFFER_BYTES = 4_000_000  # requested; the system may grant less
MAX_DATAGRAMS_PER_TURN = 256
Address = tuple[str, int]


class RoutingHeader(msgspec.Struct, array_like=True, frozen=True):
    """The fields of a datagram that a relay reads: the first ones of ``messages.Datagram``."""

    sender: str
    epoch: int
    to: str


_decode = msgspec.msgpack.Decoder(RoutingHeader).decode


def read_routing_header(data: bytes) -> RoutingHeader | None:
    """Read the sender and the receiver of a datagram; return None if it is malformed."""
    if not data.startswith(MAGIC):
        return None
    try:
        return _decode(data[HEADER_BYTES:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


@dataclass(slots=True)
class PathFaults:
    """Faults of the path from one group to another."""

    loss: float = 0.0  # share of the datagrams that is lost
    double: float = 0.0  # share of the datagrams that is duplicated
    delay: tuple[int, int] = (0, 0)  # bounds of the random delay of each copy, in microseconds
    cut: bool = False  # all datagrams are lost


class FaultyNetwork:
    """Decides which faults a datagram meets, without I/O. Each direction between two groups has faults of its own."""

    def __init__(self, seed: int) -> None:
        self.groups: dict[str, str] = {}  # by courier
        self.faults: dict[tuple[str, str], PathFaults] = {}  # by the sender's group and the receiver's
        self._rng = Random(seed)

    def heal(self) -> None:
        """Remove all faults."""
        self.faults.clear()

    def copy_delays(self, sender: str, to: str) -> list[int] | None:
        """Return the delay in microseconds of each copy of a datagram; the list is empty if the datagram is lost.

        Returns None if the sender or the receiver has no group.
        """
        groups = self.groups.get(sender), self.groups.get(to)
        if groups[0] is None or groups[1] is None:
            return None
        path = self.faults.get((groups[0], groups[1]))
        if path is None:
            return [0]
        if path.cut or self._rng.random() < path.loss:
            return []
        return [self._rng.randint(*path.delay) for _ in range(2 if self._rng.random() < path.double else 1)]


class Relay:
    """The UDP socket that receives all datagrams to one group, and forwards them."""

    def __init__(self, loop: Loop, group: str, network: FaultyNetwork) -> None:
        self.loop, self.group, self.network = loop, group, network
        self.addresses: dict[str, Address] = {}  # by courier of the group: its actual address
        self.forwarded = self.forwarded_bytes = 0  # copies of datagrams, and their bytes
        # Datagrams by reason: "unreadable", "unknown" (no address or group), "fault"; copies that were "unsent".
        self.lost: Counter[str] = Counter()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)
        self.socket.bind(("127.0.0.1", 0))
        self.address: Address = self.socket.getsockname()
        loop.spawn(self._receive_all)

    def _receive_all(self) -> None:
        while True:
            self.loop.readable(self.socket, None)
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    data = self.socket.recv(65_536)
                except OSError:  # none left, or an ICMP error for a port that has been closed
                    break
                self.receive(data)

    def receive(self, data: bytes) -> None:
        """Forward one datagram, or count why it is lost."""
        header = read_routing_header(data)
        address = self.addresses.get(header.to) if header is not None else None
        delays = self.network.copy_delays(header.sender, header.to) if header is not None else None
        if header is None or address is None or delays is None:
            self.lost["unreadable" if header is None else "unknown"] += 1
            return
        if not delays:
            self.lost["fault"] += 1
        for delay in delays:
            if delay:
                self.loop.call_at(self.loop.now + delay, lambda: self._forward(data, address))
            else:
                self._forward(data, address)

    def _forward(self, data: bytes, address: Address) -> None:
        try:
            self.socket.sendto(data, address)
        except OSError:  # the send buffer is full, no process listens at the address, or the relay has been closed
            self.lost["unsent"] += 1
            return
        self.forwarded += 1
        self.forwarded_bytes += len(data)

    def close(self) -> None:
        """Close the socket and stop forwarding."""
        self.loop.unregister(self.socket)
        self.socket.close()


class RelayProcess:
    """The relays of several groups in one process, controlled by commands.

    - ``{"open": [GROUP...], "seed": S}`` opens relays, answered by ``{"open": {GROUP: [HOST, PORT]}}``. It comes
      once, and first;
    - ``{"groups": {COURIER: GROUP}}`` has the groups of couriers, those of other processes' groups as well;
    - ``{"places": {COURIER: [HOST, PORT]}}`` has the actual addresses of couriers, after their groups; those of other
      processes' groups are ignored;
    - ``{"faults": [[FROM, TO, {...}], ...]}`` (groups, ``PathFaults``) replaces all faults.

    Once opened, it sends a report every second.
    """

    def __init__(self) -> None:
        self.loop = TimedLoop()
        self.network = FaultyNetwork(0)
        self.relays: dict[str, Relay] = {}

    def command(self, request: dict[str, Any]) -> None:
        """Handle one command."""
        if "open" in request:
            self.network = FaultyNetwork(request["seed"])
            self.relays = {group: Relay(self.loop, group, self.network) for group in request["open"]}
            child.send_report({"open": {group: relay.address for group, relay in self.relays.items()}})
            self.loop.spawn(self._report)
        self.network.groups.update(request.get("groups", {}))
        for name, address in request.get("places", {}).items():
            relay = self.relays.get(self.network.groups.get(name, ""))
            if relay is not None:
                relay.addresses[name] = (address[0], address[1])
        if "faults" in request:
            self.network.heal()
            for sender, to, fault in request["faults"]:
                path = PathFaults(**fault)
                path.delay = (path.delay[0], path.delay[1])
                self.network.faults[(sender, to)] = path

    def _report(self) -> None:
        while True:
            self.loop.sleep(SECOND)
            used = resource.getrusage(resource.RUSAGE_SELF)
            lost: Counter[str] = Counter()
            for relay in self.relays.values():
                lost += relay.lost
            child.send_report(
                {
                    "at": self.loop.now,
                    "cpu": used.ru_utime + used.ru_stime,
                    "longest": self.loop.longest_turn,
                    "passed": sum(relay.forwarded for relay in self.relays.values()),
                    "bytes": sum(relay.forwarded_bytes for relay in self.relays.values()),
                    "lost": dict(lost),
                    "dropped": dropped_datagrams([relay.socket for relay in self.relays.values()]),
                }
            )
            self.loop.longest_turn = 0


def encode_faults(sender: str, to: str, path: PathFaults) -> list[Any]:
    """Encode the faults of one path for the command ``faults``."""
    return [sender, to, asdict(path)]


def dropped_datagrams(sockets: list[socket.socket]) -> int:
    """Return how many datagrams the kernel has dropped since these sockets were opened, as a rule for full buffers.

    Returns 0 where the kernel doesn't tell. Sockets are recognised by their ports.
    """
    ports = {sock.getsockname()[1] for sock in sockets}
    try:
        with open("/proc/net/udp") as table:
            rows = [line.split() for line in table][1:]
    except OSError:
        return 0
    return sum(int(row[-1]) for row in rows if int(row[1].partition(":")[2], 16) in ports)


if __name__ == "__main__":
    process = RelayProcess()
    child.serve(process.loop, process.command)
