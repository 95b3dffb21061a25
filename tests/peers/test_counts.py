"""Counters merge in any order and any number of times, and survive the loss of state directories."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.peers.counts import MAX_COUNTERS, SECOND, FleetCounters
from kestrelspar.peers.messages import CounterReport, CounterRequest

KEYS = ["calls/1/ok", "taken/reading", "ended/payment/failed"]


def make_counts(name: str, epoch: int = 1, past: dict[str, int] | None = None, now: int = 0) -> FleetCounters:
    return FleetCounters(name, epoch, now, past or {}, Random(1))


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.data())
def test_couriers_that_received_the_same_reports_hold_the_same_counters(data: st.DataObject) -> None:
    """One courier counts in several epochs. Its state file is lost, outdated or complete; reports come in any order."""
    reports: list[CounterReport] = []
    persisted: dict[str, int] = {}
    expected: dict[str, int] = {}
    for epoch in range(1, data.draw(st.integers(2, 4))):
        node = make_counts("n1", epoch, persisted)
        node.add("started")
        expected["started"] = epoch
        if epoch > 1:
            node.receive("n2", reports, 0, set())  # what others hold of its earlier epochs
        for _ in range(data.draw(st.integers(0, 12))):
            key = data.draw(st.sampled_from(KEYS))
            node.add(key)
            expected[key] = expected.get(key, 0) + 1
            if data.draw(st.booleans()):
                reports += node.reports_on("n1", 0)
        reports += node.reports_on("n1", 0)
        persisted = data.draw(st.sampled_from([{}, persisted, node.own_totals()]))
    views = []
    for _ in range(2):
        other, repeats = make_counts("n9"), st.lists(st.sampled_from(reports))
        for report in data.draw(st.permutations(reports)) + data.draw(repeats):
            other.merge(report, 0)
        views.append({key: count for key, count in other.by_courier["n1"].total().items() if count})
    assert views[0] == views[1] == expected, "the last counts of each epoch were reported, so nothing is missing"


def test_a_request_is_answered_for_its_receiver_and_for_couriers_that_are_gone() -> None:
    gone, here, asker = make_counts("gone"), make_counts("here"), make_counts("asker")
    for _ in range(3):
        gone.add("calls/1/ok")
    here.add("calls/1/ok")
    for report in gone.reports_on("gone", SECOND):
        here.merge(report, SECOND)
    asker.request_all()
    assert asker.tick(0, ["here"]) == [("here", [CounterRequest()])] and asker.tick(0, ["here"]) == []
    answers = here.receive("asker", [CounterRequest()], 5 * SECOND, {"gone"})
    for _, messages in answers:
        asker.receive("here", messages, 5 * SECOND, set())
    assert asker.fleet_totals(6 * SECOND)["calls/1/ok"] == {"sum": 4, "couriers": 2, "age_ms": 5_000}
    assert here.receive("asker", [CounterRequest()] * 9, 5 * SECOND + 1, set()) == [], (
        "replies to one member are limited"
    )


def test_counters_are_bounded_and_the_change_that_has_waited_longest_is_reported_first() -> None:
    one = make_counts("n1")
    for n in range(MAX_COUNTERS + 50):
        one.add(f"calls/{n}/ok")
    assert one.own_totals()["beyond"] == 50 and len(one.own_totals()) == MAX_COUNTERS + 1
    (to, messages), *_ = one.tick(2 * SECOND, ["n2"])
    assert to == "n2" and [key for key, _ in messages[0].rows][:2] == ["calls/0/ok", "calls/1/ok"]  # type: ignore[union-attr]
    other = make_counts("n2")
    for n in range(5_000):
        other.merge(CounterReport(f"x{n}", 1, False, 0, [("a", 1)]), 0)
        other.merge(CounterReport("n1", 1, False, 0, [(f"k{n}", 1)]), 0)
    assert len(other.by_courier) <= 4_096 and len(other.by_courier["n1"].current) <= MAX_COUNTERS + 1
