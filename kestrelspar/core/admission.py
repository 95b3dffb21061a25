"""Which client's message is refused when the courier holds nearly as many as it may, and counts of refusals. No I/O."""

from __future__ import annotations

from collections import Counter

from kestrelspar.core.messages import RefusalReason

PRESSED_SHARE = 0.9  # of the messages that may be held; from here on, messages are handed back to make room
GREEDY_FACTOR = 1.5  # a client that holds this many times the mean is refused while others hold messages
MAX_COUNTED_CLIENTS = 200  # of the latest refusals
OTHER_CLIENTS = "other"


class ClientShares:
    """The number of open messages by client. Recovered messages belong to no client."""

    def __init__(self, max_open: int) -> None:
        self._max_open = max_open
        self._open: Counter[str] = Counter()
        self._total = 0

    def add(self, client: str) -> None:
        """Count an accepted message."""
        if client:
            self._open[client] += 1
            self._total += 1

    def remove(self, client: str) -> None:
        """Count a message that has ended."""
        if self._open[client] > 0:
            self._open[client] -= 1
            self._total -= 1
        if not self._open[client]:
            del self._open[client]

    def is_greedy(self, client: str, held: int) -> bool:
        """Whether a client may have no more messages accepted while ``held`` are open, as others would pay for it."""
        if held < PRESSED_SHARE * self._max_open or len(self._open) < 2:
            return False
        return self._open.get(client, 0) > GREEDY_FACTOR * self._total / len(self._open)


class RefusalCounts:
    """How many submissions were refused, by reason, and by client for the clients that were refused last."""

    def __init__(self) -> None:
        self.by_reason: Counter[str] = Counter()
        self.by_client: Counter[str] = Counter()

    def add(self, reason: RefusalReason, client: str) -> None:
        """Count one refusal."""
        self.by_reason[reason.name.lower()] += 1
        if client not in self.by_client and len(self.by_client) >= MAX_COUNTED_CLIENTS:
            oldest = next(name for name in self.by_client if name != OTHER_CLIENTS)
            self.by_client[OTHER_CLIENTS] += self.by_client.pop(oldest)
        self.by_client[client or OTHER_CLIENTS] += 1

    def as_dict(self, most: int = 10) -> dict[str, dict[str, int]]:
        """The counts by reason, and those of the clients that were refused most."""
        return {"by_reason": dict(self.by_reason), "by_client": dict(self.by_client.most_common(most))}
