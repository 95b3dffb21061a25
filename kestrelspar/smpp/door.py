"""Who may come in: networks by account, and addresses that wait after repeated refusals. No I/O."""

from __future__ import annotations

from ipaddress import IPv4Address, IPv4Network

SECOND = 1_000_000
FREE = 3  # refused binds of one address before it waits
FIRST, MOST = SECOND, 60 * SECOND  # the wait, and what it grows to
FORGET = 300 * SECOND  # without a refusal
MOST_KNOWN = 1_024  # addresses; beyond that the one refused longest ago is forgotten


class Door:
    """Counts refusals by address."""

    def __init__(self) -> None:
        self._refused: dict[str, tuple[int, int]] = {}  # how many, and when the last one was

    def refused(self, address: str, now: int) -> int:
        """A bind from there was refused; returns the wait, 0 for none yet."""
        count, last = self._refused.pop(address, (0, now))
        count = 1 if now - last > FORGET else count + 1
        while len(self._refused) >= MOST_KNOWN:
            del self._refused[next(iter(self._refused))]
        self._refused[address] = count, now
        return self._wait(count)

    @staticmethod
    def _wait(count: int) -> int:
        return 0 if count < FREE else min(MOST, FIRST << min(count - FREE, 10))

    def waits(self, address: str, now: int) -> bool:
        """Whether a connection from there is not taken yet."""
        count, last = self._refused.get(address, (0, now))
        return now < last + self._wait(count)

    def welcome(self, address: str) -> None:
        """A bind from there succeeded."""
        self._refused.pop(address, None)


def within(address: str, networks: tuple[IPv4Network, ...]) -> bool:
    """Whether an account may be used from there; no network told: from anywhere."""
    return not networks or any(IPv4Address(address) in network for network in networks)
