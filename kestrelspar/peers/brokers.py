"""Words on endpoints by way of brokers: who owns a destination, subscriptions, and what passes a broker. No I/O.

Everything that decides who is told of a destination lives in this file. Times are microseconds of the caller's clock.

Theory of operation
-------------------
A broker is a process on a machine set aside for it. It is named ``REGION/NAME``, and all couriers and brokers are told
all brokers by their settings. The owners of a destination are, in each region, the first ``COPIES`` of that region's
brokers in the order of a hash of broker and destination (rendezvous hashing) that answer by the view of whoever asks:
nothing is agreed on. A courier subscribes to the destinations that it has to do with at their owners in its region,
and publishes what it saw there. A broker passes that on to the subscribers, and once to owners in each other region,
which pass it on to their subscribers only.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from kestrelspar.peers.members import Events, Out
from kestrelspar.peers.seal import Sealer
from kestrelspar.peers.words import Word

MS, SECOND = 1_000, 1_000_000
COPIES = 2  # owners of a destination in each region
INTEREST = 60 * SECOND  # a destination concerns a courier for so long after it had to do with it
MOST_KEYS = 4_096  # destinations that concern one courier; those that it has had least lately to do with go
TERM = 15 * SECOND  # of a lease; renewed three times in it
FRESH = 3 * SECOND  # a word that was seen longer ago is passed on to nobody
STALL = 500 * MS  # a gap between ticks from which on what is read may have lain in the socket

Address = tuple[str, int]
Datagrams = list[tuple[Address, bytes]]


@dataclass(frozen=True, slots=True)
class BrokerAbout:
    """What a broker is told of itself and the others."""

    name: str  # whole, as in ``brokers``: "REGION/NAME"
    region: str
    address: Address
    life: int  # larger at each start, as a courier's
    keys: list[bytes]
    brokers: dict[str, Address]  # of all regions, this one too
    couriers: int  # a witness has a place below that
    bytes_a_second: int = 1_000_000
    most_subscribers: int = 4_096


def of_region(brokers: Iterable[str], region: str) -> list[str]:
    """The brokers of that region, by whole name."""
    return sorted(name for name in brokers if name.rpartition("/")[0] == region)


class Broker:
    """All that one broker decides. As ``Peer`` is for a courier: ``hear`` takes what arrived, ``tick`` what is due."""

    def __init__(self, about: BrokerAbout, now: int, seed: int) -> None:
        """It serves at once, with nothing held: leases are filled again as couriers renew them."""
        self.about = about
        self.sealer = Sealer(about.name, about.life, about.keys)
        self.events: Events = []  # the caller takes them; loud: broker-name-twice, broker-number-twice
        self.stepped_back = False  # a younger process has our name: nothing is sent any more

    def hear(self, data: bytes, now: int) -> Datagrams:
        """A datagram arrived. Answers to it; words are passed on with the next tick."""
        return []

    def tick(self, now: int) -> Datagrams:
        """Time has passed; to be called every 50 ms, with the socket read empty between two ticks if that can be."""
        return []

    def leave(self, now: int) -> Datagrams:
        """The process ends: what waits is passed on now, and subscribers are told to go elsewhere."""
        return []

    def stand(self, now: int) -> dict[str, Any]:
        """For people: life, subscribers, keys, passed_on, forwarded, held_back, dropped, refused, stalled ..."""
        return {"life": self.about.life, "stepped_back": self.stepped_back, "subscribers": 0, "keys": 0,
                "passed_on": 0, "forwarded": 0, "held_back": 0, "dropped": {}, "refused": {}, "stalled": 0,
                "brokers": {}, "bytes_sent": 0, "bytes_heard": 0}


@dataclass(slots=True)
class Place:
    """One broker of the own region, as a courier sees it."""

    name: str
    answering: bool = True
    told: set[int] = field(default_factory=set)


class Subscriber:
    """A courier's side: what concerns it, who owns that, and what the owners hold of it. ``Peer.brokers``."""

    def __init__(self, name: str, address: Address, number: int, brokers: Iterable[str], now: int,
                 random: Random) -> None:
        """``brokers``: whole names of those of the own region."""
        self.events: Events = []
        self.refused = 0  # destinations beyond ``MOST_KEYS``

    def interest(self, dests: Iterable[int], now: int) -> None:
        """These destinations were called lately, or have messages waiting."""

    def ways(self, dest: int) -> list[str]:
        """The brokers that a word on this destination goes to."""
        return []

    def heard(self, sender: str, life: int, words: Iterable[Word], now: int) -> Out:
        """What a broker of the own region says of leases."""
        return []

    def tick(self, now: int) -> Out:
        """What is due: renewals, and what changed."""
        return []

    def stand(self, now: int) -> dict[str, dict[str, Any]]:
        """For people, by broker: answering, life, keys, answered_ms (age of the last answer; None: none yet)."""
        return {}
