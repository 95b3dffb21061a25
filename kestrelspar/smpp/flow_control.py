"""Flow control for a gateway: windows, the submit rate, and the backoff of binds. No I/O; times in microseconds.

The decision module chooses whether, where and when a message is sent. This module limits how many submits may be in
flight on each session and when the next one may be sent, and computes the delay before the next bind.

Theory of operation. A window bounds the submits in flight on one session. It halves on ESME_RMSGQFUL and shrinks by a
fifth when congestion_state or response times indicate a queue; responses to submits that were sent before a reduction
cause no further one. It also halves when a submit gets no response in time. It grows by one for each window of other
responses, unless congestion_state reports optimum load (additive increase, multiplicative decrease: Chiu and Jain
1989). The rate applies to the gateway, over all its sessions, as gateways limit by account. Until the first
ESME_RTHROTTLED it is the agreed rate, or unbounded if none is configured; the ceiling is then the number of submits
served within a second under excess demand. After a reduction the rate follows the curve of CUBIC (RFC 9438, section
4.2): it rises fast to near the ceiling, is almost constant around it, and rises ever faster beyond it. So it exceeds an
unchanged limit only a little, and finds a limit that has been raised. If the first refusal comes within half a rate
window of the first submit served, as in a burst, the ceiling is uncertain: then the rate doubles every
``DOUBLING_TIME`` until the next refusal gives a better estimate. A recovering rate does not exceed the agreed one.
"""

from __future__ import annotations

import math
import random
from collections import deque

SECOND = 1_000_000
RATE_WINDOW = SECOND  # limits are mostly defined per second, so served submits are counted over one
# Factors that reduce a window, the first also after a lost response. The second also reduces a rate of which too little
# was observed.
QUEUE_FULL_FACTOR, CONGESTION_FACTOR = 0.5, 0.8
RESUME_FACTOR = 0.95  # the rate after a refusal, as a fraction of the ceiling
# Time in which the rate recovers to the ceiling. The curve is a cubic about that point, so after twice this time the
# rate is as far above the ceiling as it began below it.
RECOVERY_TIME = 3 * SECOND
DOUBLING_TIME = 700_000  # time in which the rate doubles while the ceiling is uncertain
MAX_RATE = 1e6  # submits per second; a recovering rate grows no further
MIN_RATE = 0.5  # submits per second; a lower rate would not show that a limit no longer applies
# Values of congestion_state: 80 to 89 is optimum load, 90 and above congestion (SMPP 5.0, 4.8.4.18).
CONGESTED, OPTIMUM_LOAD = 90, 80
# A response indicates a queue if its latency exceeds the minimum by both the factor and the margin.
SLOW_FACTOR, SLOW_MARGIN = 4.0, 200_000
MIN_LATENCY_WEIGHT = 0.02  # weight of a slower response in the minimum latency, so that it adapts to a changed route


class Window:
    """How many submits may be in flight on one session."""

    __slots__ = ("in_flight", "max_size", "min_latency", "reduced_at", "size")

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self.size = float(max_size)
        self.in_flight = 0
        self.reduced_at = -1  # time of the last reduction; responses to submits sent before it cause no further one
        self.min_latency = 0.0  # of responses other than ESME_RMSGQFUL, in microseconds; 0: unknown

    @property
    def room(self) -> int:
        """How many more submits may be sent now; at least one if none is in flight."""
        return max(0, max(1, int(self.size)) - self.in_flight)

    def _reduce(self, now: int, factor: float) -> None:
        self.size, self.reduced_at = max(1.0, self.size * factor), now

    def record_response(self, now: int, sent: int, full: bool, congestion: int | None) -> bool:
        """Adapt to the response to a submit sent at ``sent``; ``full``: it reported a full queue.

        ``congestion`` is its congestion_state, from 0 to 100; if it is None, the latency indicates congestion instead.
        Returns whether a full queue was reported for a submit sent after the last reduction.
        """
        latency = float(now - sent)
        is_new = sent > self.reduced_at
        if full:
            if is_new:
                self._reduce(now, QUEUE_FULL_FACTOR)
            return is_new
        slow = self.min_latency > 0 and latency > max(SLOW_FACTOR * self.min_latency, self.min_latency + SLOW_MARGIN)
        self.min_latency = (
            latency
            if not self.min_latency or latency < self.min_latency
            else self.min_latency + MIN_LATENCY_WEIGHT * (latency - self.min_latency)
        )
        if congestion is not None and congestion >= CONGESTED or congestion is None and slow:
            if is_new:
                self._reduce(now, CONGESTION_FACTOR)
        elif congestion is None or congestion < OPTIMUM_LOAD:
            self.size = min(float(self.max_size), self.size + 1.0 / self.size)
        return False

    def record_loss(self, now: int) -> None:
        """Halve the window after a submit that got no response in time, but only once at the same time."""
        if now > self.reduced_at:
            self._reduce(now, QUEUE_FULL_FACTOR)


class RateControl:
    """The submit rate of one gateway over all its sessions, and its retry-after delay."""

    def __init__(self, max_rate: float = 0.0) -> None:
        """``max_rate``: the agreed submits per second; 0 if unknown."""
        self.max_rate = max_rate
        self.rate = max_rate  # submits per second; 0: unbounded
        self.ceiling = 0.0  # submits per second served at the first of the last refusals in a row; 0: never refused
        self.not_before = 0  # earliest time of the next submit, after a retry-after delay
        self.refusals = 0  # all submits that got ESME_RTHROTTLED
        self._ceiling_uncertain = False  # measured over less than half of the rate window, as in a burst
        self._theoretical_arrival = 0.0  # earliest time of the next submit at this rate (GCRA)
        self._active_since = 0  # sending time of the first served submit after a rate window without any
        self._reduced_at = -1  # time of the last reduction
        self._recovery_start = 0  # when the rate starts to recover to the ceiling
        self._recovery_rate = 0.0  # the rate at that time
        self._consecutive_reductions = 0  # since a submit sent after a reduction was served
        self._refused_since = 0  # time of the first of these reductions
        # Sending times of the submits served, over the rate window. Any status but ESME_RTHROTTLED counts as served.
        self._served_send_times: deque[int] = deque()

    def earliest_send(self, now: int) -> int:
        """The earliest time of the next submit, which may be past; also brings the rate up to date."""
        self._update_rate(now)
        return max(self.not_before, math.ceil(self._theoretical_arrival))

    def record_sent(self, now: int) -> None:
        """Count a submit that is sent now."""
        if self.rate:
            interval = SECOND / self.rate
            self._theoretical_arrival = max(self._theoretical_arrival, now - interval) + interval

    def _update_rate(self, now: int) -> None:
        """Set the rate by the time since it started to recover; unchanged before that, and if it was never reduced.

        It doubles every ``DOUBLING_TIME`` while the ceiling is uncertain, and else follows the cubic curve about it.
        """
        if not self.ceiling or now <= self._recovery_start:
            return
        progress = (now - self._recovery_start) / RECOVERY_TIME
        if self._ceiling_uncertain:
            doublings = min(progress * RECOVERY_TIME / DOUBLING_TIME, math.log2(MAX_RATE))
            self.rate = self._recovery_rate * 2.0**doublings
        else:
            self.rate = self.ceiling + (self.ceiling - self._recovery_rate) * (progress - 1.0) ** 3
        self.rate = min(self.rate, self.max_rate or MAX_RATE)

    def record_response(self, now: int, sent: int, throttled: bool, retry_after: int = 0) -> bool:
        """Adapt to the response to a submit sent at ``sent``; ``retry_after`` applies if it was throttled.

        Returns whether the gateway is unavailable rather than limited: it has refused for at least a rate window, and
        served no submit sent after a reduction in that time.
        """
        while self._served_send_times and self._served_send_times[0] <= now - RATE_WINDOW:
            self._served_send_times.popleft()
        if not throttled:
            if not self._served_send_times:
                self._active_since = sent
            self._served_send_times.append(sent)
            if sent > self._reduced_at:
                self._consecutive_reductions = 0
            return False
        self.refusals += 1
        self.not_before = max(self.not_before, now + retry_after)
        if sent <= self._reduced_at:  # sent before the last reduction, so it says nothing new
            return False
        # With nothing served since the last reduction, the same limit still applies: the delay was too short, and the
        # reduced rate is still untested. So the delay doubles, up to a quarter of the rate window; a longer
        # ``retry_after`` stays as it is.
        retry_after = max(retry_after, min(RATE_WINDOW // 4, retry_after << self._consecutive_reductions))
        self.not_before = max(self.not_before, now + retry_after)
        self._theoretical_arrival = max(self._theoretical_arrival, float(now + retry_after))
        if not self._consecutive_reductions:
            self._refused_since = now
            self._ceiling_uncertain = not self.ceiling and now - self._active_since < RATE_WINDOW // 2
            self.ceiling = max(MIN_RATE, self._observed_rate(now))
            self._recovery_rate = max(MIN_RATE, RESUME_FACTOR * self.ceiling)
        self.rate, self._recovery_start, self._reduced_at = self._recovery_rate, now + retry_after, now
        self._consecutive_reductions += 1
        return now - self._refused_since >= RATE_WINDOW

    def _observed_rate(self, now: int) -> float:
        """Submits per second that were served under excess demand."""
        if not self.rate or self._ceiling_uncertain:
            return float(len(self._served_send_times))
        # The rate window, less the idle time and the retry-after delay at its start.
        observed_for = now - max(self._active_since, self._recovery_start, now - RATE_WINDOW)
        if observed_for < RATE_WINDOW // 5:  # too short to measure: somewhat below the last rate
            return CONGESTION_FACTOR * self.rate
        served = sum(sent_at > now - observed_for for sent_at in self._served_send_times)
        return min(self.rate, served * SECOND / observed_for)


class Backoff:
    """Exponential backoff of binds, with jitter so that couriers do not retry in step."""

    def __init__(self, initial_delay: int, max_delay: int, seed: int) -> None:
        """Each delay is random, from half a step to a whole one; steps double from the initial to the maximum delay."""
        self._initial_delay, self._max_delay = initial_delay, max_delay
        self._random = random.Random(seed)
        self._step = 0  # 0: the last bind succeeded, or there was none
        self.retry_at = 0  # earliest time of the next bind; 0: at once

    def failed(self, now: int, refused: bool = False) -> int:
        """Record a failed bind; returns the delay before the next one, and sets ``retry_at`` accordingly.

        The step is the maximum delay if the bind was ``refused`` with a status that a retry will not change.
        """
        self._step = self._max_delay if refused else min(self._max_delay, 2 * self._step or self._initial_delay)
        wait = self._step // 2 + self._random.randrange(self._step // 2 + 1)
        self.retry_at = now + wait
        return wait

    def succeeded(self) -> None:
        """Reset the delay after a successful bind."""
        self._step = self.retry_at = 0
