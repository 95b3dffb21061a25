"""Budgets that couriers share: a fixed share for each, and loans of unused calls. No I/O.

Everything that decides how many calls of a budget one courier may make lives in this file. Times are microseconds of
the caller's clock, which may drift from others' by at most ``drift``. Message delays and process pauses are unbounded.

Theory of operation
-------------------
A budget is a number of calls in any window of a given length, for all couriers together. A courier's share depends only
on the settings and on the budget. It may call while its calls in the preceding window are fewer than

    its share - what it has lent - what an earlier process epoch may have lent + what it has borrowed.

The invariant is that the calls of all couriers in any window never exceed the budget; docs/design/peers.md has the
proof. Not covered by it are the calls that couriers without a share make of a fully lendable budget
(``_may_call_unowned``), and calls for a name without a budget, which are not limited. It rests on these rules:

- only what the preceding window left unused is lent, and it counts as lent before the grant can leave
  (``_grant_requests``);
- the borrower's term starts with its request; the lender's starts with its grant and is a window longer; both allow for
  the clock drift, the borrower's by being shorter and the lender's by being longer;
- a grant counts once, and only for an open request of the same process epoch; a returned loan is no longer used;
- the most calls lent at once since the start are persisted before a grant leaves (``persist``). After a start that
  amount counts as lent for as long as a new loan would; if no amounts could be read, everything lendable does. The
  amounts that were found are persisted again until those loans can no longer be running;
- for one window after a start a courier neither calls nor lends, as it does not know which calls its earlier process
  made.

Demand: ``set_shortfall`` sets how many further calls a courier could use, and the weight of the messages that need
them. A lender gathers requests for ``REQUEST_GATHERING_TIME`` and grants them together, call by call, each to the
request with the most weight per call granted. It retains what it used recently.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from kestrelspar.peers.members import Events, Outgoing
from kestrelspar.peers.messages import LoanGrant, LoanRequest, LoanReturn, PeerMessage

MS, SECOND = 1_000, 1_000_000  # microseconds
# Max lent part of a share, unless the budget is fully lendable: a courier that is cut off, or starts without its state,
# can still call.
MAX_LENT_PART = 0.75
STORAGE_RETRY_INTERVAL = 1 * SECOND  # between writes of the state file after one has failed
REQUEST_GATHERING_TIME = 50 * MS  # between the first request and the grants for all gathered so far
REQUEST_INTERVAL = 200 * MS  # min time between two rounds of requests for one budget
MIN_REQUEST_FANOUT, MAX_REQUEST_FANOUT = 3, 32  # members asked in one round; doubles while too little is granted
RENEWAL_POINT = 0.5  # part of the term after which a loan in use is renewed
IDLE_WINDOWS = 2  # windows after which a loan that was not needed is returned
MEAN_WINDOWS = 16  # time constant, in windows, of the mean use of a budget
# A lender renews no loan if its own waiting messages need more windows than this; fewer are served in time anyway.
RECALL_WINDOWS = 3
MIN_CARRY_OVER_TIME = 600 * SECOND  # min time for which an earlier epoch's loans are persisted again
UNKNOWN_LOANS = "*"  # key persisted if no amounts were found: everything lendable may be lent
MAX_CALLS_WITHOUT_BUDGET = 1_000  # calls remembered for a budget that is not configured yet


@dataclass(frozen=True, slots=True)
class LoanTerms:
    """Settings that must be the same at all couriers, and the position of this one."""

    couriers: int
    number: int  # position of this courier; if not below ``couriers``, it has no share
    term: int = 3 * SECOND  # for which a loan may be used
    drift: float = 0.01  # max drift of a clock, as a part of the time passed


def equal_share(calls: int, couriers: int, number: int) -> int:
    """The share of the courier at position ``number``: calls per window, of ``calls`` for all couriers.

    The first couriers get one more each if the division leaves a remainder; 0 for a position out of range.
    """
    if not 0 <= number < couriers:
        return 0
    return calls // couriers + (number < calls % couriers)


def budget_for_rate(rate: float, couriers: int, window: int = SECOND) -> tuple[int, int]:
    """A budget for ``rate`` calls per second, as (calls, window length in microseconds).

    The window is lengthened if a courier's share would otherwise be less than one call; a rate below 0.001 lengthens it
    no further. Without a positive rate the budget is 0 calls.
    """
    if rate <= 0:
        return 0, window
    window = max(window, -(-couriers * SECOND // max(1, int(rate * 1_000))) * 1_000)
    return int(rate * window / SECOND + 1e-6), window  # 1e-6: against a product rounded to just below an integer


@dataclass(slots=True)
class Loan:
    """Calls per window that were lent or borrowed."""

    peer: str
    calls: int  # per window
    until: int  # time from which on the lender may use the calls again, or the borrower no longer
    requested_at: int = 0  # borrower: when the last request or renewal was sent
    last_needed: int = 0  # borrower: when its demand last exceeded what it had without this loan


@dataclass(slots=True)
class SentRequest:
    """A loan request that was sent and not answered yet."""

    peer: str
    key: str  # name of the budget
    at: int  # when it was sent
    calls: int  # requested, per window
    loan: int  # number of the loan to be renewed; 0 for a new one


@dataclass(slots=True)
class Budget:
    """State of one budget at this courier."""

    calls: int  # of all couriers together in any window
    window: int  # microseconds
    share: int  # this courier's calls per window, including those that it has lent
    recent_calls: deque[int] = field(default_factory=deque)  # times of the calls in the preceding window
    lent: dict[tuple[str, int, int], Loan] = field(default_factory=dict)  # by borrower, its epoch and request number
    borrowed: dict[tuple[str, int], Loan] = field(default_factory=dict)  # by lender and loan number
    mean: float = 0.0  # decaying mean of calls per window, as of ``mean_at``
    mean_at: int = 0
    shortfall: int = 0  # further calls that this courier could use, as of ``shortfall_at``
    waiting_weight: float = 0.0  # total weight of the messages that need these calls
    shortfall_at: int = 0
    requested_at: int = -(1 << 60)  # when loans were last requested; initially long ago
    fanout: int = MIN_REQUEST_FANOUT  # members that the next round of requests asks
    max_lent: int = 0  # most calls lent at once since the start, as persisted
    retired: bool = False  # its destination is gone; the budget is removed once it has no loans and no recent calls
    fully_lendable: bool = False  # the whole share may be lent: for budgets so small that most shares are zero
    rotation: int = 0  # added to a courier's number, to vary which couriers get the remainder of the division
    next_unowned_call_at: int = 0  # time of the next call that is allowed without a share, if fully lendable


class Shares:
    """One courier's shares, loans and calls."""

    def __init__(
        self,
        terms: LoanTerms,
        epoch: int,
        now: int,
        lent_before: dict[str, int] | None,
        random: Random,
        persist: Callable[[dict[str, int]], bool] = lambda lent: True,
    ) -> None:
        """Create the shares of a process that starts at ``now``.

        ``lent_before``: the most calls that an earlier process epoch had lent at once, by budget; None if unknown.
        ``persist`` saves such amounts and returns whether it succeeded; if not, nothing more is lent or borrowed.
        """
        self.terms, self.epoch = terms, epoch
        self.events: Events = []
        self._started_at, self._persist_lent, self._random = now, persist, random
        self._lent_before = None if lent_before is None or UNKNOWN_LOANS in lent_before else lent_before
        self._calls_without_budget: dict[str, deque[int]] = {}  # times of calls, by budget that is not configured yet
        self._budgets: dict[str, Budget] = {}
        self._sent_requests: dict[int, SentRequest] = {}
        # By budget: borrower, its process epoch, and its request.
        self._pending_requests: dict[str, list[tuple[str, int, LoanRequest]]] = {}
        self._gathering_since: int | None = None
        self._request_number = 0
        self._loan_number = 0
        # By loan number: name of the budget, and the loan's key in ``Budget.lent``.
        self._granted_loans: dict[int, tuple[str, tuple[str, int, int]]] = {}
        self._retry_storage_at = 0  # while storage has failed
        self.storage_failed = False  # loans can't be persisted: nothing more is lent or borrowed
        self.stopped = False  # another process has this name, or this one is leaving: it has no share
        self.silent = False  # sends no messages any more, so it neither lends nor borrows

    # Budgets

    def set_budget(
        self, key: str, calls: int, window: int, fully_lendable: bool = False, rotation: int = 0, now: int = 0
    ) -> None:
        """Set a budget: all couriers together may make ``calls`` calls in any ``window`` microseconds.

        ``fully_lendable``: the whole share may be lent. ``rotation``: the same at all couriers, and different for each
        budget, so that the calls of small budgets don't all belong to the same couriers. An existing budget keeps its
        ``fully_lendable``, and its ``rotation`` for checking grants; ``now`` is used for a new one only.
        """
        known = self._budgets.get(key)
        share = self._share_of(calls, self.terms.number, rotation)
        if known is None:
            created = Budget(
                calls,
                window,
                share,
                self._calls_without_budget.pop(key, deque()),
                fully_lendable=fully_lendable,
                rotation=rotation,
            )
            created.next_unowned_call_at = now + self._unowned_interval(created)
            self._budgets[key] = created
        else:
            known.calls, known.window, known.share, known.retired = calls, window, share, False

    def _share_of(self, calls: int, number: int, rotation: int) -> int:
        """Share of the courier at position ``number``."""
        n = self.terms.couriers
        return equal_share(calls, n, (number + rotation) % n) if 0 <= number < n else 0

    def retire_budget(self, key: str) -> None:
        """Retire the budget of a destination that is gone. It may return, so its loans count until they end."""
        self._calls_without_budget.pop(key, None)
        if key in self._budgets:
            self._budgets[key].retired = True

    def budget_names(self) -> list[str]:
        """Names of all budgets, retired ones included."""
        return list(self._budgets)

    def allowed(self, key: str, now: int) -> int | None:
        """Calls that this courier may make in any window; None if there is no such budget.

        0 for one window after the start. The occasional calls of a courier without a share are not included.
        """
        budget = self._budgets.get(key)
        if budget is None:
            return None
        if now < self._blackout_end(budget):
            return 0
        borrowed = 0 if self.silent else sum(loan.calls for loan in budget.borrowed.values() if now < loan.until)
        return self._retained(key, budget, now) + borrowed

    def share(self, key: str) -> int:
        """This courier's share, including what it has lent."""
        return 0 if self.stopped or key not in self._budgets else self._budgets[key].share

    def _retained(self, key: str, budget: Budget, now: int) -> int:
        """What is left of this courier's share after the calls that it has lent or may have lent."""
        if self.stopped:
            return 0
        lent = sum(loan.calls for loan in budget.lent.values() if now < loan.until)
        return max(0, budget.share - lent - self._possibly_lent(key, budget, now))

    def _possibly_lent(self, key: str, budget: Budget, now: int) -> int:
        """What an earlier process epoch may still have lent."""
        if now >= self._started_at + self._loan_hold_time(budget):
            return 0
        max_lendable = self._max_lendable(budget)
        return max_lendable if self._lent_before is None else min(max_lendable, self._lent_before.get(key, 0))

    def _blackout_end(self, budget: Budget) -> int:
        """Time until which calls of an earlier process may lie in the preceding window."""
        return self._started_at + int(budget.window * (1 + self.terms.drift)) + 1

    def _max_lendable(self, budget: Budget) -> int:
        return budget.share if budget.fully_lendable else int(MAX_LENT_PART * budget.share)

    def _loan_hold_time(self, budget: Budget) -> int:
        """Time from a grant until the lender may use the lent calls again."""
        return int((self.terms.term + budget.window) * (1 + self.terms.drift)) + 1

    def _used_calls(self, budget: Budget, now: int) -> int:
        """Calls in the preceding window. It is extended by the drift, so that it isn't too short by any clock."""
        since = now - int(budget.window * (1 + self.terms.drift))
        while budget.recent_calls and budget.recent_calls[0] <= since:
            budget.recent_calls.popleft()
        return len(budget.recent_calls)

    def may_call(self, key: str, now: int) -> bool:
        """Whether a call may be made now; true if there is no such budget.

        ``now`` must be a fresh reading of the clock.
        """
        budget = self._budgets.get(key)
        return (
            budget is None
            or self._used_calls(budget, now) < (self.allowed(key, now) or 0)
            or self._may_call_unowned(budget, now)
        )

    def try_call(self, key: str, now: int) -> bool:
        """Count a call if it may be made now; returns whether it may."""
        if not self.may_call(key, now):
            return False
        budget = self._budgets.get(key)
        if budget is None:
            self._calls_without_budget.setdefault(key, deque(maxlen=MAX_CALLS_WITHOUT_BUDGET)).append(now)
            return True
        if self._may_call_unowned(budget, now):
            budget.next_unowned_call_at = now + self._unowned_interval(budget)
        budget.recent_calls.append(now)
        budget.mean, budget.mean_at = self._decayed_mean(budget, now) + 1 / MEAN_WINDOWS, now
        return True

    def _may_call_unowned(self, budget: Budget, now: int) -> bool:
        """Whether a courier without a share of a fully lendable budget may make one of its occasional calls now."""
        return budget.fully_lendable and not budget.share and not self.stopped and now >= budget.next_unowned_call_at

    def _unowned_interval(self, budget: Budget) -> int:
        """Time until the next call of a courier without a share; 0 if it has one or the budget isn't fully lendable.

        Together, such calls of all couriers add about as many calls as the budget has.
        """
        interval = self.terms.couriers * budget.window // max(1, budget.calls)
        return int(interval * (0.5 + self._random.random())) if budget.fully_lendable and not budget.share else 0

    def set_shortfall(self, key: str, calls: int, waiting_weight: float, now: int) -> None:
        """Set how many further calls this courier could use now, and the total weight of their messages.

        It counts for one window. Ignored if there is no such budget.
        """
        budget = self._budgets.get(key)
        if budget is not None:
            budget.shortfall, budget.waiting_weight, budget.shortfall_at = max(0, calls), max(0.0, waiting_weight), now

    def _decayed_mean(self, budget: Budget, now: int) -> float:
        return budget.mean * math.exp((budget.mean_at - now) / (MEAN_WINDOWS * budget.window))

    def _demand(self, budget: Budget, now: int) -> int:
        """Calls per window that this courier needs: its mean use and the shortfall."""
        shortfall = budget.shortfall if now - budget.shortfall_at < budget.window else 0
        return math.ceil(self._decayed_mean(budget, now) - 0.5) + shortfall

    def _reserve(self, budget: Budget, now: int) -> int:
        """Calls per window that a lender reserves: its mean use, and the part of the shortfall beyond its share.

        The mean counts as at least one call, unless the budget is fully lendable.

        A short queue is no reason to recall loans: it would be served before they are returned.
        """
        shortfall = budget.shortfall if now - budget.shortfall_at < budget.window else 0
        return max(0 if budget.fully_lendable else 1, math.ceil(self._decayed_mean(budget, now) - 0.5)) + max(
            0, shortfall - budget.share
        )

    # Periodic work

    def tick(self, now: int, peers: list[str]) -> Outgoing:
        """Requests, grants and returns that are due. ``peers``: members that may be asked for loans.

        Nothing is due once this courier is ``stopped`` or ``silent``.
        """
        out: Outgoing = []
        if self.stopped or self.silent:
            return out
        if self.storage_failed and now >= self._retry_storage_at:
            self._persist({}, now)
        for key, budget in list(self._budgets.items()):
            self._expire_loans(budget, now)
            if budget.retired:
                if not budget.lent and not budget.borrowed and not self._used_calls(budget, now):
                    del self._budgets[key]
                continue
            self._renew_or_return(key, budget, now, out)
            if not self.storage_failed:
                self._request_loans(key, budget, now, peers, out)
        if self._gathering_since is not None and now >= self._gathering_since + REQUEST_GATHERING_TIME:
            self._grant_requests(now, out)
        for number, request in list(self._sent_requests.items()):
            if now >= request.at + self.terms.term:
                del self._sent_requests[number]
        return out

    def _expire_loans(self, budget: Budget, now: int) -> None:
        """Remove loans that have ended."""
        for borrowed_key, loan in list(budget.borrowed.items()):
            if now >= loan.until:
                del budget.borrowed[borrowed_key]
        for lent_key, loan in list(budget.lent.items()):
            if now >= loan.until:
                del budget.lent[lent_key]
                self._granted_loans = {n: entry for n, entry in self._granted_loans.items() if entry[1] != lent_key}

    def _renew_or_return(self, key: str, budget: Budget, now: int, out: Outgoing) -> None:
        """Renew borrowed loans in time, and return those that are no longer needed."""
        demand, available = self._demand(budget, now), self._retained(key, budget, now)
        for (lender, number), loan in list(budget.borrowed.items()):
            if demand > available:
                loan.last_needed = now
            if now - loan.last_needed >= IDLE_WINDOWS * budget.window:
                del budget.borrowed[(lender, number)]
                self._sent_requests = {
                    n: request
                    for n, request in self._sent_requests.items()
                    if request.peer != lender or request.loan != number
                }
                out.append((lender, [LoanReturn(number)]))
            elif (
                now >= loan.requested_at + int(RENEWAL_POINT * self.terms.term)
                and demand > available
                and not self.storage_failed
            ):
                loan.requested_at = now
                out.append((lender, [self._loan_request(key, lender, loan.calls, budget.waiting_weight, now, number)]))
            available += loan.calls

    def _request_loans(self, key: str, budget: Budget, now: int, peers: list[str], out: Outgoing) -> None:
        """Ask a few members for the shortfall, and more of them while too little is granted.

        A member that has not answered is asked again after three request intervals at the earliest.
        """
        shortfall = budget.shortfall if now - budget.shortfall_at < budget.window else 0
        # Only the part that can't be served within one window is worth a loan: every courier has shorter bursts.
        shortfall -= self.allowed(key, now) or 0
        if shortfall <= 0:
            budget.fanout = MIN_REQUEST_FANOUT
            return
        if now < budget.requested_at + REQUEST_INTERVAL or not peers:
            return
        pending = {
            request.peer
            for request in self._sent_requests.values()
            if request.key == key and now < request.at + 3 * REQUEST_INTERVAL
        }
        candidates = [name for name in peers if name not in pending]
        chosen = self._random.sample(candidates, min(budget.fanout, len(candidates)))
        budget.requested_at, budget.fanout = now, min(MAX_REQUEST_FANOUT, 2 * budget.fanout)
        for name in chosen:
            out.append(
                (
                    name,
                    [
                        self._loan_request(
                            key, name, max(1, -(-shortfall // len(chosen))), budget.waiting_weight, now, 0
                        )
                    ],
                )
            )

    def _loan_request(self, key: str, peer: str, calls: int, waiting_weight: float, now: int, loan: int) -> LoanRequest:
        self._request_number += 1
        self._sent_requests[self._request_number] = SentRequest(peer, key, now, calls, loan)
        return LoanRequest(self._request_number, key, calls, waiting_weight, loan)

    # Messages

    def receive(
        self, sender: str, epoch: int, messages: Iterable[PeerMessage], now: int, number: int | None
    ) -> Outgoing:
        """Handle a member's messages about loans.

        ``number``: its position among the couriers; None if unknown, then no new loan is accepted from it.
        """
        out: Outgoing = []
        for message in messages:
            if isinstance(message, LoanRequest):
                self._handle_request(sender, epoch, message, now, out)
            elif isinstance(message, LoanGrant):
                self._handle_grant(sender, message, now, number)
            elif isinstance(message, LoanReturn):
                self._handle_return(sender, epoch, message, now)
        return out

    def _handle_request(self, sender: str, epoch: int, request: LoanRequest, now: int, out: Outgoing) -> None:
        if self.stopped or self.silent or self.storage_failed or request.key not in self._budgets:
            return
        budget = self._budgets[request.key]
        existing = budget.lent.get((sender, epoch, request.n))
        if existing is not None:  # a repeated request gets the same answer, and the term is not extended
            number = next(
                n for n, entry in self._granted_loans.items() if entry == (request.key, (sender, epoch, request.n))
            )
            out.append((sender, [LoanGrant(request.n, number, existing.calls)]))
        elif request.loan:
            self._handle_renewal(sender, epoch, request, budget, now, out)
        elif not any(
            pending[:2] == (sender, epoch) and pending[2].n == request.n
            for pending in self._pending_requests.get(request.key, ())
        ):
            self._pending_requests.setdefault(request.key, []).append((sender, epoch, request))
            self._gathering_since = now if self._gathering_since is None else self._gathering_since

    def _handle_renewal(
        self, sender: str, epoch: int, request: LoanRequest, budget: Budget, now: int, out: Outgoing
    ) -> None:
        """Extend a loan unless this courier needs the calls (``RECALL_WINDOWS``); there is no reply otherwise.

        The end of the loan is moved at the lender before the grant is sent.
        """
        key, loan_key = self._granted_loans.get(request.loan, ("", ("", 0, 0)))
        loan = budget.lent.get(loan_key)
        if key != request.key or loan is None or loan_key[:2] != (sender, epoch) or now >= loan.until:
            return
        if now - budget.shortfall_at < budget.window and budget.shortfall > RECALL_WINDOWS * self._retained(
            request.key, budget, now
        ):
            return
        loan.until = max(loan.until, now + self._loan_hold_time(budget))
        out.append((sender, [LoanGrant(request.n, request.loan, loan.calls)]))

    def _grant_requests(self, now: int, out: Outgoing) -> None:
        """Lend spare calls one by one, each to the request with the most weight per call granted."""
        gathered, self._pending_requests, self._gathering_since = self._pending_requests, {}, None
        grants: list[tuple[str, str, int, LoanRequest, int]] = []
        new_max: dict[str, int] = {}
        for key, requests in gathered.items():
            budget = self._budgets.get(key)
            if budget is None:
                continue
            spare = self._spare_calls(key, budget, now)
            granted = [0] * len(requests)
            while spare > 0:
                unmet = [n for n, (_, _, request) in enumerate(requests) if granted[n] < request.calls]
                if not unmet:
                    break
                best = max(unmet, key=lambda n: (requests[n][2].waiting_weight / (granted[n] + 1), -n))
                granted[best] += 1
                spare -= 1
            grants += [(key, *each, calls) for each, calls in zip(requests, granted, strict=True) if calls]
            lent = sum(loan.calls for loan in budget.lent.values()) + sum(granted)
            if lent > budget.max_lent:
                new_max[key] = lent
        if not grants or new_max and not self._persist(new_max, now):
            return
        for key, borrower, epoch, request, calls in grants:
            budget = self._budgets[key]
            budget.max_lent = new_max.get(key, budget.max_lent)
            self._loan_number += 1
            loan_key = (borrower, epoch, request.n)
            budget.lent[loan_key] = Loan(borrower, calls, now + self._loan_hold_time(budget))
            self._granted_loans[self._loan_number] = key, loan_key
            out.append((borrower, [LoanGrant(request.n, self._loan_number, calls)]))

    def _persist(self, new_max: dict[str, int], now: int) -> bool:
        """Persist the most that is lent, before any of it is used.

        After a failure no loan is requested, granted or accepted, until a write succeeds: ``tick`` tries again every
        ``STORAGE_RETRY_INTERVAL``.
        """
        amounts = {key: budget.max_lent for key, budget in self._budgets.items() if budget.max_lent} | new_max
        if now < self._started_at + max(
            [MIN_CARRY_OVER_TIME, *(self._loan_hold_time(budget) for budget in self._budgets.values())]
        ):
            # Guards against a second crash soon after: the loans of the earlier epoch may still be running then.
            found = {UNKNOWN_LOANS: 1} if self._lent_before is None else self._lent_before
            amounts = {key: amounts.get(key, 0) + found.get(key, 0) for key in amounts.keys() | found.keys()}
        persisted = self._persist_lent(amounts)
        self._retry_storage_at = now + STORAGE_RETRY_INTERVAL
        if persisted is self.storage_failed:
            self.storage_failed = not persisted
            self.events.append(("peers-folder-full" if self.storage_failed else "peers-folder-again", {}))
        return persisted

    def _spare_calls(self, key: str, budget: Budget, now: int) -> int:
        """Calls that may be lent now: unused in the preceding window, not reserved, and within the lendable part.

        Negative if more is used, reserved or lent than that allows.
        """
        lent = sum(loan.calls for loan in budget.lent.values() if now < loan.until) + self._possibly_lent(
            key, budget, now
        )
        if now < self._blackout_end(budget):
            return 0
        unused = budget.share - lent - max(self._used_calls(budget, now), self._reserve(budget, now))
        return min(unused, self._max_lendable(budget) - lent)

    def _handle_grant(self, sender: str, grant: LoanGrant, now: int, number: int | None) -> None:
        """Accept or extend a loan for an open request; the term runs from when the request was sent."""
        request = self._sent_requests.get(grant.n)
        if request is None or request.peer != sender or self.storage_failed:
            return
        budget = self._budgets.get(request.key)
        del self._sent_requests[grant.n]
        until = request.at + int(self.terms.term * (1 - self.terms.drift))
        if budget is None or now >= until or request.loan and (sender, request.loan) not in budget.borrowed:
            return
        existing = budget.borrowed.get((sender, grant.loan))
        if existing is not None:
            existing.until = max(existing.until, until)
            return
        if number is None:
            return
        # No courier can lend more than the lendable part of its share; this bounds what a false grant adds.
        share = self._share_of(budget.calls, number, budget.rotation)
        already = sum(loan.calls for (lender, _), loan in budget.borrowed.items() if lender == sender)
        if (
            already + grant.calls > (share if budget.fully_lendable else int(MAX_LENT_PART * share))
            or grant.calls > request.calls
        ):
            self.events.append(
                ("peers-lends-too-much", {"peer": sender, "budget": request.key, "calls": grant.calls, "owns": share})
            )
            return
        budget.borrowed[(sender, grant.loan)] = Loan(sender, grant.calls, until, request.at, now)
        self.events.append(("peers-borrowed", {"peer": sender, "budget": request.key, "calls": grant.calls}))

    def _handle_return(self, sender: str, epoch: int, returned: LoanReturn, now: int) -> None:
        """Take back a loan that is no longer used; the calls may be used again a window later."""
        key, loan_key = self._granted_loans.get(returned.loan, ("", ("", 0, 0)))
        budget = self._budgets.get(key)
        if budget is None or loan_key[:2] != (sender, epoch) or loan_key not in budget.lent:
            return
        budget.lent[loan_key].until = min(
            budget.lent[loan_key].until, now + int(budget.window * (1 + self.terms.drift)) + 1
        )

    # Reports

    def status(self, key: str, now: int) -> dict[str, int]:
        """Status of a budget, which must exist.

        ``calls``, ``span_ms``: of all couriers, and the window. ``part``: this courier's share. ``held_back``: what an
        earlier process epoch may still have lent. ``used``: calls in the preceding window. ``lacks``: the shortfall.
        """
        budget = self._budgets[key]
        return {
            "calls": budget.calls,
            "span_ms": budget.window // MS,
            "part": budget.share,
            "lent": sum(loan.calls for loan in budget.lent.values() if now < loan.until),
            "held_back": self._possibly_lent(key, budget, now),
            "borrowed": sum(loan.calls for loan in budget.borrowed.values() if now < loan.until),
            "used": self._used_calls(budget, now),
            "lacks": budget.shortfall if now - budget.shortfall_at < budget.window else 0,
        }
