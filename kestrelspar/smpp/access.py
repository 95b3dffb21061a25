"""Access control of the SMPP server. No I/O; times in microseconds.

An account may be limited to networks, and an address whose binds were refused is throttled.
"""

from __future__ import annotations

from ipaddress import IPv4Address, IPv4Network

SECOND = 1_000_000
FIRST_DELAYED_REFUSAL = 3  # the third and each further refused bind causes a delay for the address
INITIAL_DELAY, MAX_DELAY = SECOND, 60 * SECOND  # the delay doubles with each further refusal
REFUSAL_TTL = 300 * SECOND  # after this time without a refusal, the count of an address restarts
MAX_ADDRESSES = 1_024  # addresses; beyond that the one refused longest ago is dropped


class BindThrottle:
    """Counts refused binds by address, and delays further connections from it."""

    def __init__(self) -> None:
        # By address: the number of refused binds, and the time of the last one.
        self._refusals: dict[str, tuple[int, int]] = {}

    def record_refusal(self, address: str, now: int) -> int:
        """Count a refused bind; returns for how long connections from the address are refused now, or 0."""
        count, last = self._refusals.pop(address, (0, now))
        count = 1 if now - last > REFUSAL_TTL else count + 1
        while len(self._refusals) >= MAX_ADDRESSES:
            del self._refusals[next(iter(self._refusals))]
        self._refusals[address] = count, now
        return self._delay(count)

    @staticmethod
    def _delay(count: int) -> int:
        return (
            0
            if count < FIRST_DELAYED_REFUSAL
            else min(MAX_DELAY, INITIAL_DELAY << min(count - FIRST_DELAYED_REFUSAL, 10))
        )

    def is_throttled(self, address: str, now: int) -> bool:
        """Whether connections from the address are refused at this time."""
        count, last = self._refusals.get(address, (0, now))
        return now < last + self._delay(count)

    def record_success(self, address: str) -> None:
        """A bind from the address succeeded: reset its count."""
        self._refusals.pop(address, None)


def in_networks(address: str, networks: tuple[IPv4Network, ...]) -> bool:
    """Whether the address is in one of the networks; always if none is configured."""
    return not networks or any(IPv4Address(address) in network for network in networks)
