"""Access control of the SMPP server. No I/O; times in microseconds.

An account may be limited to networks, and an address is throttled from its third refused bind on.
"""

from __future__ import annotations

from ipaddress import IPv4Address, IPv4Network

SECOND = 1_000_000
FIRST_BLOCKING_REFUSAL = 3  # from this refused bind on, new connections from the address are closed for a time
INITIAL_BLOCK_TIME, MAX_BLOCK_TIME = SECOND, 60 * SECOND  # doubled with each further refusal
REFUSAL_TTL = 300 * SECOND  # after this time without a refusal, the count of an address restarts
MAX_ADDRESSES = 1_024  # addresses; beyond that the one refused longest ago is dropped


class BindThrottle:
    """Counts refused binds by address, and says for how long further connections from it are closed."""

    def __init__(self) -> None:
        # By address: the number of refused binds, and the time of the last one.
        self._refusals: dict[str, tuple[int, int]] = {}

    def record_refusal(self, address: str, now: int) -> int:
        """Count a refused bind; returns for how long further connections from the address are closed, or 0."""
        count, last = self._refusals.pop(address, (0, now))
        count = 1 if now - last > REFUSAL_TTL else count + 1
        while len(self._refusals) >= MAX_ADDRESSES:
            del self._refusals[next(iter(self._refusals))]
        self._refusals[address] = count, now
        return self._block_time(count)

    @staticmethod
    def _block_time(count: int) -> int:
        return (
            0
            if count < FIRST_BLOCKING_REFUSAL
            else min(MAX_BLOCK_TIME, INITIAL_BLOCK_TIME << min(count - FIRST_BLOCKING_REFUSAL, 10))
        )

    def is_throttled(self, address: str, now: int) -> bool:
        """Whether new connections from the address are to be closed at this time."""
        count, last = self._refusals.get(address, (0, now))
        return now < last + self._block_time(count)

    def record_success(self, address: str) -> None:
        """A bind from the address succeeded: reset its count."""
        self._refusals.pop(address, None)


def in_networks(address: str, networks: tuple[IPv4Network, ...]) -> bool:
    """Whether the address is in one of the networks; always if none is configured."""
    return not networks or any(IPv4Address(address) in network for network in networks)
