"""Loans: repeated, late, unrequested and excessive messages have no effect; without storage nothing is lent."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from kestrelspar.peers import state_file
from kestrelspar.peers.members import Outgoing
from kestrelspar.peers.messages import LoanGrant, LoanRequest, LoanReturn, PeerMessage
from kestrelspar.peers.shares import MS, SECOND, UNKNOWN_LOANS, LoanTerms, Shares, budget_for_rate, equal_share

STARTED = 10 * SECOND  # loans of an earlier process epoch have ended by then


class LenderAndBorrower:
    """A lender at position 0 and a borrower at position 1, of two couriers; ten calls in any second, five each."""

    def __init__(self, storage_failed: bool = False) -> None:
        self.persisted: list[dict[str, int]] = []
        self.storage_failed = storage_failed

        def persist(lent: dict[str, int]) -> bool:
            if not self.storage_failed:
                self.persisted.append(lent)
            return not self.storage_failed

        self.lender = Shares(LoanTerms(2, 0), 1, 0, {}, Random(1), persist)
        self.borrower = Shares(LoanTerms(2, 1), 1, 0, {}, Random(2))
        for each in (self.lender, self.borrower):
            each.set_budget("d:1", 10, SECOND)

    def request(self, now: int) -> LoanRequest:
        self.borrower.set_shortfall("d:1", 40, 40.0, now)
        ((_, messages),) = self.borrower.tick(now, ["lender"])
        assert isinstance(messages[0], LoanRequest)
        return messages[0]

    def lend(self, now: int, *messages: PeerMessage, epoch: int = 1) -> list[LoanGrant]:
        """The grants of the lender: those at once, and those after it has gathered requests."""
        out: Outgoing = self.lender.receive("borrower", epoch, messages, now, 1) + self.lender.tick(now + 60 * MS, [])
        return [message for _, replies in out for message in replies if isinstance(message, LoanGrant)]

    def borrow(self, now: int, *grants: LoanGrant, number: int | None = 0) -> int:
        self.borrower.receive("lender", 1, grants, now, number)
        return self.borrower.allowed("d:1", now) or 0

    def lender_allowed(self, now: int) -> int:
        return self.lender.allowed("d:1", now) or 0


def test_a_repeated_request_or_grant_counts_once() -> None:
    pair = LenderAndBorrower()
    request = pair.request(STARTED)
    grants = pair.lend(STARTED, request, request)
    assert [grant.calls for grant in grants] == [3] and pair.lender_allowed(STARTED + SECOND) == 2
    assert pair.lend(STARTED + SECOND, request) == grants, "the same answer, and no second loan"
    assert pair.borrow(STARTED + SECOND, *grants, *grants) == 8 and pair.lender_allowed(STARTED + SECOND) == 2


def test_the_borrowers_term_ends_before_the_lenders() -> None:
    pair = LenderAndBorrower()
    grants = pair.lend(STARTED + 500 * MS, pair.request(STARTED))
    pair.borrow(STARTED + 900 * MS, *grants)
    borrower_ends = [
        now for now in range(STARTED + SECOND, STARTED + 6 * SECOND, MS) if pair.borrower.allowed("d:1", now) == 5
    ][0]
    lender_resumes = [
        now for now in range(STARTED + SECOND, STARTED + 6 * SECOND, MS) if pair.lender_allowed(now) == 5
    ][0]
    assert borrower_ends < STARTED + 3 * SECOND and lender_resumes > STARTED + 500 * MS + 4 * SECOND


# A grant with ``n`` 0 answers the open request. ``number``: position of the lender. ``late``: time after the request.
@pytest.mark.parametrize(
    ("grant", "number", "late"),
    [
        (LoanGrant(9_999, 1, 3), 0, 0),
        (LoanGrant(0, 1, 4), 0, 0),
        (LoanGrant(0, 1, 3), None, 0),
        (LoanGrant(0, 1, 3), 7, 0),
        (LoanGrant(0, 1, 3), 0, 3 * SECOND),
    ],
)
def test_an_unrequested_excessive_or_late_grant_is_not_used(grant: LoanGrant, number: int | None, late: int) -> None:
    pair = LenderAndBorrower()
    request = pair.request(STARTED)
    grant = LoanGrant(grant.n or request.n, grant.loan, grant.calls)
    assert pair.borrow(STARTED + late, grant, number=number) == 5


def test_a_returned_loan_is_the_lenders_a_window_later_and_no_longer_the_borrowers() -> None:
    pair = LenderAndBorrower()
    grants = pair.lend(STARTED, pair.request(STARTED))
    assert pair.borrow(STARTED + MS, *grants) == 8
    pair.borrower.set_shortfall("d:1", 0, 0.0, STARTED + 2 * MS)
    out = pair.borrower.tick(STARTED + 2500 * MS, [])
    assert out == [("lender", [LoanReturn(grants[0].loan)])] and pair.borrower.allowed("d:1", STARTED + 2500 * MS) == 5
    pair.lender.receive("borrower", 1, [LoanReturn(grants[0].loan)], STARTED + 2600 * MS, 1)
    assert pair.lender_allowed(STARTED + 3500 * MS) == 2 and pair.lender_allowed(STARTED + 3700 * MS) == 5
    assert pair.borrow(STARTED + 2700 * MS, *grants) == 5, "a repeated grant doesn't restore the loan"


def test_without_storage_nothing_is_lent_or_borrowed_and_the_share_stays() -> None:
    pair = LenderAndBorrower(storage_failed=True)
    assert (
        pair.lend(STARTED, pair.request(STARTED)) == []
        and pair.lender_allowed(STARTED + SECOND) == 5
        and pair.lender.storage_failed
    )
    pair.lender.set_shortfall("d:1", 40, 40.0, STARTED + SECOND)
    assert pair.lender.tick(STARTED + SECOND, ["borrower"]) == []
    assert [name for name, _ in pair.lender.events] == ["peers-folder-full"]


def test_lending_goes_on_once_the_storage_works_again() -> None:
    pair = LenderAndBorrower(storage_failed=True)
    assert pair.lend(STARTED, pair.request(STARTED)) == []
    pair.lender.tick(STARTED + 5 * SECOND, [])
    assert pair.lender.storage_failed
    pair.storage_failed = False
    pair.lender.tick(STARTED + 10 * SECOND, [])
    assert [name for name, _ in pair.lender.events] == ["peers-folder-full", "peers-folder-again"]
    now = STARTED + 20 * SECOND
    assert [grant.calls for grant in pair.lend(now, pair.request(now))] == [3]


# The amounts that were found at the start, and the calls of the share of five that count as lent: at most three are
# lendable, and all three count if the amounts are unknown.
@pytest.mark.parametrize(
    ("lent_before", "held"), [({}, 0), ({"d:1": 2}, 2), ({"d:1": 99}, 3), ({UNKNOWN_LOANS: 1}, 3), (None, 3)]
)
def test_loans_of_an_earlier_epoch_count_after_a_start_and_are_persisted_again(
    lent_before: dict[str, int] | None, held: int
) -> None:
    written: list[dict[str, int]] = []
    shares = Shares(LoanTerms(2, 0), 2, 0, lent_before, Random(1), lambda lent: not written.append(lent))  # type: ignore[func-returns-value]
    shares.set_budget("d:1", 10, SECOND)
    assert shares.allowed("d:1", 500 * MS) == 0, "calls of the earlier process may lie in the window"
    assert shares.allowed("d:1", 1100 * MS) == 5 - held and shares.allowed("d:1", 4100 * MS) == 5
    shares.receive("b", 1, [LoanRequest(1, "d:1", 5, 1.0)], 4200 * MS, 1)
    assert shares.tick(4300 * MS, []) and written[0]["d:1"] == 3 + (lent_before or {}).get("d:1", 0)
    assert (UNKNOWN_LOANS in written[0]) is (lent_before is None or UNKNOWN_LOANS in lent_before)


def test_shares_add_up_and_each_is_one_call_at_least() -> None:
    for rate in (0.1, 0.9, 7.0, 12.5, 300.0):
        for couriers in (1, 3, 10, 200):
            calls, window = budget_for_rate(rate, couriers)
            shares = [equal_share(calls, couriers, number) for number in range(couriers + 2)]
            assert sum(shares) == calls <= rate * window / SECOND + 1e-6
            assert min(shares[:couriers]) >= 1 and shares[couriers:] == [0, 0]


def test_the_epoch_rises_at_each_start_and_a_damaged_state_file_forgets_no_loan(tmp_path: Path) -> None:
    file = tmp_path / "peers"
    assert state_file.read(file) == state_file.SavedState(0) and state_file.write(
        file, state_file.SavedState(1 << 50, {"d:1": 2})
    )
    assert state_file.next_epoch(state_file.read(file)) == (1 << 50) + 1 and state_file.read(file).lent == {"d:1": 2}
    assert state_file.next_epoch(state_file.SavedState(5)) > 1_700_000_000_000, (
        "also where the state directory was lost"
    )
    for damaged in (b"", b"{", b'{"life":"x"}', b'{"life":3,"lent":{"a":"b"}}', b"x" * (state_file.MAX_FILE_BYTES + 1)):
        file.write_bytes(damaged)
        assert state_file.read(file).lent is None, "everything lendable counts as lent"
    assert not state_file.write(tmp_path / "none" / "peers", state_file.SavedState(1, {}))


def test_a_small_budget_is_shared_by_few_couriers_not_always_the_same_and_the_others_call_rarely() -> None:
    owners = []
    for rotation in (0, 7):
        fleet = [Shares(LoanTerms(20, n), 1, 0, {}, Random(n)) for n in range(20)]
        for each in fleet:
            each.set_budget("c:a", 3, SECOND, fully_lendable=True, rotation=rotation)
        shares = [each.allowed("c:a", STARTED) or 0 for each in fleet]
        assert sum(shares) == 3
        owners.append([n for n, owned in enumerate(shares) if owned])
        calls = sorted(
            now
            for each in fleet
            for now in range(0, 60 * SECOND, 50 * MS)
            if not each.allowed("c:a", STARTED) and each.try_call("c:a", now)
        )
        assert len(calls) > 60
        max_in_a_second = max(sum(now <= at < now + SECOND for at in calls) for now in calls)
        assert 3 + max_in_a_second <= 6 + 3 * 6**0.5 + 3, (
            "bound for an endpoint that takes six calls, half of them shared out"
        )
        assert len(calls) / 60 <= 3.1, "calls without a share amount to the budget once more"
    assert owners[0] != owners[1]
    pair = LenderAndBorrower()
    for each in (pair.lender, pair.borrower):
        each.set_budget("c:a", 1, SECOND, fully_lendable=True, now=STARTED)
    pair.borrower.set_shortfall("c:a", 2, 9.0, STARTED)
    ((_, messages),) = pair.borrower.tick(STARTED, ["lender"])
    grants = pair.lend(STARTED, *messages)
    pair.borrower.receive("lender", 1, grants, STARTED, 0)
    assert pair.borrower.allowed("c:a", STARTED + MS) == 1 and pair.lender.allowed("c:a", STARTED + 2 * SECOND) == 0
