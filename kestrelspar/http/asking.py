"""When discovery is asked for the list: a decision without I/O.

Theory of operation. Where the list is pushed (``membership_mode``), what discovery has for a courier is at its agent,
costs nothing, and counts as told whether the courier has asked or not; and a drain that counts as told is obeyed within
half a second. So there the first question comes at once, at a start and after a watch that broke: two hundred couriers
that spread their first questions over ten seconds sent to endpoints that had begun to drain.

Where it must be asked for, each question costs discovery and may be refused. Couriers do not talk, but all lose
discovery in the same instant: at a release, at a break of the network, or when it is overbooked and closes its watches.
Those who ask again soon and in step keep it overbooked for good: forty couriers that asked every 2 s were refused for a
whole day. So each wait is drawn ("full jitter") up to a bound that grows from refusal to refusal and with the number of
couriers that the settings tell. Meanwhile the list that is there is served on.

Pushed or asked for, failed, refused or given up: a change counts as told ``TOLD`` after discovery had it and could be
reached. So from any moment on no more than that may pass before a question is put that discovery can answer: a try that
was begun before that moment lasts ``CONNECT`` and ``ANSWER`` at most, a watch that has fallen silent is broken after
``SILENCE``, and a wait after it takes what is left of the time, at most ``LONGEST``. Where the bound for many is above
that, waits are drawn from its end: as many questions a second, and none of them later.

A discovery that many ask may take seconds for a head, also for a refusal. Who gives up sooner is never heard, and asks
again at discovery's cost. So after a question without a head the next one is waited for twice as long, up to
``PATIENT``, and the wait behind it is shorter by as much. Not where the list is pushed: that agent answers at once.

Times are microseconds.
"""

from __future__ import annotations

import random

from kestrelspar.runtime.loop import MS, SECOND

TOLD = 6 * SECOND  # after this a change counts as told
SILENCE = 2_700 * MS  # an empty line comes every 2 s: after this a watch is given up
CONNECT = 400 * MS  # a question: so long until its connection is there
ANSWER = 1 * SECOND  # and until its answer's head is, unless discovery is slow
PATIENT = 4 * SECOND  # the longest that the head is waited for
SPARE = 500 * MS  # for the way, and for a turn that was long
LONGEST = 4 * SECOND  # wait between two questions: with the try before it and SPARE, under TOLD

FIRST_EACH = 50 * MS  # bound of the first wait, for each courier: 40 ask 20 times a second in all
MOVED = 2 * SECOND  # bound of the first wait at another address, which counts 4 s later
PROMPT = 400 * MS  # the same after a break, where the list is pushed: less than the time that a drain leaves
PROMPT_MOST = 1 * SECOND  # the longest there, where questions cost nothing
MOST_EACH = 150 * MS  # of the longest, as a wait takes half its bound in the mean: 40 ask 13 times a second in all
MOST_LEAST = 2 * SECOND  # a few couriers need not wait longer
MOST = 6 * SECOND  # twice the mean wait of many


class Asking:
    """The waits of one courier between its questions for the list; ``pushed``: discovery sends changes by itself."""

    def __init__(self, couriers: int, seed: int, pushed: bool) -> None:
        self._dice = random.Random(seed)
        self._first = min(FIRST_EACH * max(1, couriers), MOST)
        self._most = PROMPT_MOST if pushed else min(max(MOST_LEAST, MOST_EACH * couriers), MOST)
        self._pushed = pushed
        self._bound = self._after_break = min(self._first, PROMPT) if pushed else self._first
        self._start = self._first
        self.patience = ANSWER  # for how long the next question's head is waited for

    def start(self) -> int:
        """How long to wait before the first question where an older list is at hand: many start together."""
        return 0 if self._pushed else self._dice.randrange(self._start)

    def moved(self) -> None:
        """Discovery is elsewhere now: what was refused before says nothing of it."""
        self._bound, self._start = self._after_break, min(self._first, MOVED)
        self.patience = ANSWER

    def broke(self, heard: bool, quiet: int = 0, slow: bool = False) -> int:
        """How long to wait after a try; ``heard``: it told something; ``quiet``: for how long it was silent.

        ``slow``: it was given up without a head, its connection being there.
        """
        if heard:
            self._bound = self._after_break
            return self._dice.randrange(min(self._bound, max(PROMPT, TOLD - SPARE - quiet)))
        most = TOLD - SPARE - CONNECT - ANSWER - quiet if quiet else LONGEST
        if slow:
            most -= self.patience - ANSWER  # that is gone already
            if not self._pushed:
                self.patience = min(PATIENT, 2 * self.patience)
        self._bound = min(self._most, max(self._after_break, 2 * self._bound))
        least = max(0, min(self._bound - LONGEST, most - PROMPT))
        return self._dice.randrange(least, max(least + PROMPT, min(self._bound, most)))
