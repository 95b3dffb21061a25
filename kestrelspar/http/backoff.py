"""Backoff between a courier's requests to discovery: decisions without I/O.

Theory of operation. A courier must act on a change of the list from the time at which the change counts as known to
it. Where discovery pushes changes (``membership_mode``), a local agent holds the list, and a request to it costs
nothing. A change there counts as known even if the courier has not requested it yet, and a known drain must be obeyed
within half a second. So the first request is sent at once at a start, and each later one within ``MAX_PUSHED_BOUND``
after the one before has failed. Spreading the first requests of two hundred couriers over ten seconds let them send
messages to endpoints that had begun to drain.

Where discovery must be polled, each request costs it and may be refused. Couriers do not coordinate, but all of them
lose discovery in the same instant: at a release, on a network failure, or when it is overloaded and closes its watches.
Couriers that retry soon and in step keep it overloaded permanently: forty couriers that retried every 2 s were refused
for a whole day. So each delay is drawn at random ("full jitter") up to a bound that grows with each refusal and with
the configured number of couriers. Meanwhile the courier keeps serving from the list that it has.

Whether the list is pushed or polled, and whether requests failed, were refused or timed out: a change counts as known
``MAX_STALENESS`` after discovery had it and was reachable. So once discovery becomes reachable, a request that it can
answer must be sent within that time. A request already in progress then lasts at most ``CONNECT_TIMEOUT`` plus
``RESPONSE_TIMEOUT``, and a silent watch is closed after ``WATCH_SILENCE_TIMEOUT``. The delay that follows may take only
the rest of the time, at most ``MAX_RETRY_DELAY``. Where the bound for a large number of couriers exceeds that maximum,
delays are drawn from the upper end of the allowed range: this keeps the request rate the same, and no request is later
than allowed.

A discovery server with many clients may take seconds to send response headers, also for a refusal. A client that times
out sooner never gets an answer, and retries at discovery's cost. So after a request that timed out without response
headers, the timeout is doubled, up to ``MAX_RESPONSE_TIMEOUT``, for all later requests to that address. If one of them
times out, too, the maximum of the delay that follows is reduced by the added time. This does not apply where the list
is pushed: the local agent answers at once.

Times are microseconds.
"""

from __future__ import annotations

import random

from kestrelspar.runtime.loop import MS, SECOND

MAX_STALENESS = 6 * SECOND  # after this time a change counts as known to the courier
WATCH_SILENCE_TIMEOUT = 2_700 * MS  # discovery sends an empty line every 2 s
CONNECT_TIMEOUT = 400 * MS
RESPONSE_TIMEOUT = 1 * SECOND  # from the connection to the response headers, unless discovery is slow
MAX_RESPONSE_TIMEOUT = 4 * SECOND
SAFETY_MARGIN = 500 * MS  # for network latency, and for a long turn of the event loop
MAX_RETRY_DELAY = 4 * SECOND  # plus a request's time-outs and SAFETY_MARGIN, it is below MAX_STALENESS

INITIAL_BOUND_PER_COURIER = 50 * MS  # of the first delay: 40 couriers together send 20 requests a second
MAX_INITIAL_BOUND_AFTER_MOVE = 2 * SECOND  # of the first delay at a new address, which counts as known after 4 s
MIN_SPREAD = 400 * MS  # a range of delays is at least this wide, where the bounds allow it
MAX_PUSHED_BOUND = 300 * MS  # of each delay if the list is pushed: a change is known once the agent has it
MAX_BOUND_PER_COURIER = 150 * MS  # the mean delay is half the bound: 40 couriers send 13 requests a second
MIN_MAX_BOUND = 2 * SECOND  # of the growing bound: with few couriers it stops growing here
MAX_BOUND = 6 * SECOND  # twice the mean delay of a large fleet


class DiscoveryBackoff:
    """The delays of one courier between its requests for the list.

    ``couriers``: the configured number of couriers. ``pushed``: discovery pushes changes and need not be polled.
    """

    def __init__(self, couriers: int, seed: int, pushed: bool) -> None:
        self._random = random.Random(seed)
        self._initial_bound = min(INITIAL_BOUND_PER_COURIER * max(1, couriers), MAX_BOUND)
        self._max_bound = (
            MAX_PUSHED_BOUND if pushed else min(max(MIN_MAX_BOUND, MAX_BOUND_PER_COURIER * couriers), MAX_BOUND)
        )
        self._pushed = pushed
        self._bound = self._bound_after_break = (
            min(self._initial_bound, MAX_PUSHED_BOUND) if pushed else self._initial_bound
        )
        self._start_bound = self._initial_bound
        self.response_timeout = RESPONSE_TIMEOUT  # of the next request, until its response headers

    def initial_delay(self) -> int:
        """The delay before the first request, at a start with an older list or at a new address.

        Random, as many couriers start together; 0 if the list is pushed.
        """
        return 0 if self._pushed else self._random.randrange(self._start_bound)

    def address_changed(self) -> None:
        """Resets the backoff: refusals at the old address say nothing about the new one."""
        self._bound, self._start_bound = (
            self._bound_after_break,
            min(self._initial_bound, MAX_INITIAL_BOUND_AFTER_MOVE),
        )
        self.response_timeout = RESPONSE_TIMEOUT

    def next_delay(self, received: bool, silent_for: int = 0, headers_timed_out: bool = False) -> int:
        """The delay after a connection to discovery ended.

        ``received``: it delivered at least one object or empty line that could be used. ``silent_for``: how long it had
        been silent, if it was closed for that, otherwise 0. ``headers_timed_out``: discovery did not respond in time.
        """
        if received:
            self._bound = self._bound_after_break
            return self._random.randrange(min(self._bound, max(MIN_SPREAD, MAX_STALENESS - SAFETY_MARGIN - silent_for)))
        max_delay = (
            MAX_STALENESS - SAFETY_MARGIN - CONNECT_TIMEOUT - RESPONSE_TIMEOUT - silent_for
            if silent_for
            else MAX_RETRY_DELAY
        )
        if headers_timed_out:
            max_delay -= self.response_timeout - RESPONSE_TIMEOUT  # already spent on waiting for the headers
            if not self._pushed:
                self.response_timeout = min(MAX_RESPONSE_TIMEOUT, 2 * self.response_timeout)
        self._bound = min(self._max_bound, max(self._bound_after_break, 2 * self._bound))
        min_delay = max(0, min(self._bound - MAX_RETRY_DELAY, max_delay - MIN_SPREAD))
        spread = MAX_PUSHED_BOUND if self._pushed else MIN_SPREAD
        return self._random.randrange(min_delay, max(min_delay + spread, min(self._bound, max_delay)))
