"""When discovery is asked for the list: a decision without I/O.

Theory of operation. Couriers do not talk, but all lose discovery in the same instant: at a release, at a break of
the network, or when it is overbooked and closes its watches. A discovery that turns questions away pays for each of
them, so those who ask again soon and in step keep it overbooked for good: forty couriers that asked every 2 s were
refused for a whole day. So each wait is drawn evenly between nothing and a bound ("full jitter"), the bound grows from
try to try, and both its first and its last value grow with the number of couriers that the settings tell: the sum of
all their questions stays the same however many they are. Meanwhile the list that is there is served on.

Times are microseconds.
"""

from __future__ import annotations

import random

from kestrelspar.runtime.loop import MS, SECOND

FIRST_EACH = 50 * MS  # bound of the first wait, for each courier: 40 ask 20 times a second in all
MOST_EACH = 150 * MS  # of the longest, as a wait takes half its bound in the mean: 40 ask 13 times a second in all
MOST_LEAST = 2 * SECOND  # a few couriers need not wait longer; 40 wait 6 s at most: by then a change counts as told


class Asking:
    """The waits of one courier between its questions for the list."""

    def __init__(self, couriers: int, seed: int) -> None:
        self._dice = random.Random(seed)
        self._first = FIRST_EACH * max(1, couriers)
        self._most = max(MOST_LEAST, MOST_EACH * couriers)
        self._bound = self._first

    def start(self) -> int:
        """How long to wait before the first question where an older list is at hand: all start together."""
        return self._dice.randrange(self._first)

    def broke(self, heard: bool) -> int:
        """How long to wait after a watch that ended; ``heard``: it had told something, so discovery serves."""
        self._bound = self._first if heard else min(self._most, 2 * self._bound)
        return self._dice.randrange(self._bound)
