"""Reports of other couriers on endpoints: which are trusted, bounded, contradicted by own calls and dropped."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from kestrelspar.peers.members import MS, SECOND
from kestrelspar.peers.messages import Observation, PublishObservation, RelayedObservation
from kestrelspar.peers.observations import (
    ANY_ORIGIN,
    BROKER_DISTRUST_SCORE,
    MAX_PROBE_RANK,
    MAX_RELAYED_SCORES,
    MAX_WITNESSES,
    OUTAGE_REPORT_MAX_AGE,
    PATH_DISTRUST_SCORE,
    CallOutcome,
    ClaimSource,
    ObservationKind,
    ObservationTracker,
    RouteRestriction,
    independently_sourced,
    probe_rank,
)

T = 100 * SECOND
ROUTES = {"a1": 1, "a2": 1, "b1": 2, "b2": 2, "only": 3}
OTHERS = ["n1", "n2", "n3", "n4"]
MAX_WAIT, PROBE_INTERVAL = 2 * SECOND, 300 * MS


def make_tracker(own_name: str = "n0", max_restricted_share: float = 0.5) -> ObservationTracker:
    created = ObservationTracker(own_name, 1, MAX_WAIT, max_restricted_share, PROBE_INTERVAL, Random(1))
    created.set_routes(dict(ROUTES))
    return created


# A step: (milliseconds after the previous step, who, what, endpoint, value). If ``who`` is "me": a call of this courier
# that was sent 10 ms before the step and ended with the outcome ``what``. Otherwise: an observation of kind ``what`` by
# that witness; ``value`` is the retry-after delay in ms, the limit in thousandths of a call per second, or for other
# kinds the age in ms.
Step = tuple[int, str, object, str, int]
DOWN, SILENT, BACK, WAIT, LIMIT = (
    ObservationKind.DOWN,
    ObservationKind.SILENT,
    ObservationKind.BACK,
    ObservationKind.WAIT,
    ObservationKind.LIMIT,
)
OK, FAILED, REFUSED = CallOutcome.SERVED, CallOutcome.FAILED, CallOutcome.REFUSED


def apply_steps(tracker: ObservationTracker, steps: list[Step]) -> int:
    now = T
    for n, (after, who, what, endpoint, value) in enumerate(steps, 1):
        now += after * MS
        if isinstance(what, CallOutcome):
            tracker.record_call(endpoint, what, now - 10 * MS, now)
        else:
            age = 0 if what in (ObservationKind.WAIT, ObservationKind.LIMIT) else value
            retry_after = value if what in (ObservationKind.WAIT, ObservationKind.LIMIT) else 0
            tracker.receive(who, 1, [Observation(endpoint, int(what), age, retry_after, n)], now)  # type: ignore[call-overload]
    return now


# ``held``: the restricted routes by endpoint, either "closed" or limited to "one" call at a time.
@pytest.mark.parametrize(
    ("name", "steps", "held"),
    [
        ("outage with one witness", [(0, "n1", DOWN, "a1", 0)], {}),
        ("outage with two witnesses", [(0, "n1", DOWN, "a1", 0), (9, "n2", SILENT, "a1", 0)], {"a1": "closed"}),
        ("two witnesses of silence only", [(0, "n1", SILENT, "a1", 0), (9, "n2", SILENT, "a1", 0)], {}),
        ("the same witness twice", [(0, "n1", DOWN, "a1", 0), (9, "n1", DOWN, "a1", 0)], {}),
        (
            "one witness and an own failed call",
            [(0, "n1", DOWN, "a1", 0), (9, "me", FAILED, "a1", 0)],
            {"a1": "closed"},
        ),
        ("only an own failed call", [(0, "me", FAILED, "a1", 0)], {}),
        (
            "two witnesses, own call served since",
            [(0, "n1", DOWN, "a1", 0), (0, "n2", DOWN, "a1", 0), (20, "me", OK, "a1", 0)],
            {},
        ),
        (
            "two witnesses, served call was sent before",
            [(0, "n1", DOWN, "a1", 0), (0, "n2", DOWN, "a1", 0), (5, "me", OK, "a1", 0)],
            {"a1": "closed"},
        ),
        (
            "two witnesses, then back",
            [(0, "n1", DOWN, "a1", 0), (0, "n2", DOWN, "a1", 0), (5, "n3", BACK, "a1", 0)],
            {},
        ),
        (
            "back observed before the failures",
            [(0, "n1", DOWN, "a1", 0), (0, "n2", DOWN, "a1", 0), (5, "n3", BACK, "a1", 50)],
            {"a1": "closed"},
        ),
        ("two witnesses, too old", [(0, "n1", DOWN, "a1", 3_100), (0, "n2", DOWN, "a1", 3_100)], {}),
        ("retry-after delay", [(0, "n1", WAIT, "a1", 800)], {"a1": "closed"}),
        ("retry-after delay that is over", [(0, "n1", WAIT, "a1", 800), (900, "n2", LIMIT, "a1", 1)], {}),
        ("retry-after delay, served since", [(0, "n1", WAIT, "a1", 800), (20, "me", OK, "a1", 0)], {}),
        ("last route of a destination", [(0, "n1", WAIT, "only", 800)], {"only": "one"}),
        (
            "both routes of one destination",
            [(0, "n1", WAIT, "a1", 800), (0, "n1", WAIT, "a2", 800)],
            {"a1": "one", "a2": "one"},
        ),
        (
            "more than half of all routes",
            [(0, "n1", WAIT, "a1", 800), (0, "n1", WAIT, "b1", 800), (0, "n1", WAIT, "only", 800)],
            {"a1": "closed", "b1": "closed", "only": "one"},
        ),
        ("unlisted endpoint", [(0, "n1", WAIT, "zz", 800)], {}),
    ],
)
def test_a_route_is_restricted_only_with_enough_evidence_and_within_the_bounds(
    name: str, steps: list[Step], held: dict[str, str]
) -> None:
    tracker = make_tracker("zz")  # not of rank 0 at a1, or it would probe at once
    assert probe_rank("a1", "zz", OTHERS) > 0
    now = apply_steps(tracker, steps)
    found = tracker.restrictions(now, OTHERS)
    assert {endpoint: "one" if each.one_at_a_time else "closed" for endpoint, each in found.items()} == held
    assert all(
        now < each.until <= now + max(MAX_WAIT, MAX_PROBE_RANK * PROBE_INTERVAL, OUTAGE_REPORT_MAX_AGE)
        for each in found.values()
    )


def test_retry_after_is_capped_and_the_restricted_share_is_that_of_the_settings() -> None:
    tracker = make_tracker()
    now = apply_steps(tracker, [(0, "n1", WAIT, "a1", 10**9)])
    assert tracker.restrictions(now, OTHERS)["a1"] == RouteRestriction(T + MAX_WAIT, False)
    strict = make_tracker(max_restricted_share=0.0)
    assert strict.restrictions(apply_steps(strict, [(0, "n1", WAIT, "a1", 10**9)]), OTHERS)["a1"].one_at_a_time


def test_a_route_whose_only_alternative_is_closed_already_stays_open() -> None:
    tracker = make_tracker("zz")
    tracker.set_routes(dict(ROUTES), ["a2"])
    now = apply_steps(tracker, [(0, "n1", WAIT, "a1", 800), (0, "n1", WAIT, "b1", 800)])
    assert {name: held.one_at_a_time for name, held in tracker.restrictions(now, OTHERS).items()} == {
        "a1": True,
        "b1": False,
    }


def test_couriers_probe_an_endpoint_in_outage_one_after_the_other() -> None:
    names, probe_times = ["n0", *OTHERS], []
    for own_name in names:
        tracker = make_tracker(own_name)
        others = [name for name in names if name != own_name]
        apply_steps(tracker, [(0, "w1", DOWN, "a1", 0), (0, "w2", DOWN, "a1", 0)])
        held = tracker.restrictions(T, others)["a1"]
        assert held.one_at_a_time is (probe_rank("a1", own_name, others) == 0)
        probe_times.append(held.until if not held.one_at_a_time else T)
        assert tracker.restrictions(held.until if not held.one_at_a_time else T, others)["a1"].one_at_a_time, (
            "then it calls, one call at a time"
        )
    assert sorted(probe_times) == [T + PROBE_INTERVAL * min(n, MAX_PROBE_RANK) for n in range(len(names))]


def test_a_confirmed_outage_lasts_until_a_call_is_served() -> None:
    tracker = make_tracker("zz")
    now = apply_steps(tracker, [(0, "n1", DOWN, "a1", 0), (0, "n2", DOWN, "a1", 0)])
    tracker.restrictions(now, OTHERS)
    late = now + OUTAGE_REPORT_MAX_AGE + SECOND
    tracker.receive("n1", 1, [Observation("a1", DOWN, 0, 0, 7)], late)
    assert not tracker.restrictions(late, OTHERS)["a1"].one_at_a_time, "one report is enough while it lasts"
    assert tracker.restrictions(late + MAX_PROBE_RANK * PROBE_INTERVAL + OUTAGE_REPORT_MAX_AGE, OTHERS) == {}, (
        "the wait for couriers ranked before is bounded"
    )
    tracker.receive("n3", 1, [Observation("a1", BACK, 0, 0, 8)], late + MS)
    tracker.receive("n1", 1, [Observation("a1", DOWN, 0, 0, 9)], late + 2 * MS)
    assert tracker.restrictions(late + 2 * MS, OTHERS) == {}, "a new outage takes two witnesses again"


def test_a_witness_that_own_calls_contradict_is_distrusted_until_they_confirm_it() -> None:
    tracker = make_tracker()
    contradicted: list[Step] = [
        step for n in range(3) for step in ((50, "n1", WAIT, "a1", 900), (20, "me", OK, "a1", 0))
    ]
    now = apply_steps(tracker, contradicted)
    assert [event for event, _ in tracker.events] == ["peers-not-believed"] and tracker.distrusted == {
        ClaimSource("n1")
    }
    tracker.receive("n1", 1, [Observation("b1", WAIT, 0, 900, 100)], now)
    assert tracker.restrictions(now, OTHERS) == {}
    tracker.receive("n2", 1, [Observation("b1", WAIT, 0, 900, 1)], now)
    assert set(tracker.restrictions(now, OTHERS)) == {"b1"}, "other witnesses are trusted"
    for n in range(2):  # own calls confirm its claims
        now += SECOND
        tracker.receive("n1", 1, [Observation("b2", DOWN, 0, 0, 200 + n)], now)
        tracker.record_call("b2", FAILED, now + MS, now + 2 * MS)
    assert tracker.distrusted == set()
    tracker.receive("n3", 1, [Observation("only", DOWN, 0, 0, 1)], now)
    for n in range(1, 9):
        tracker.record_call("only", OK, now + n * MS, now + n * MS)
    assert ClaimSource("n3") not in tracker.distrusted, "one claim is scored once"
    tracker.set_members(["n2"])
    assert tracker.scores.keys() <= {ClaimSource("n2")}


# ``limit``: the limit that follows, in calls per second; 0 if none is trusted.
@pytest.mark.parametrize(
    ("steps", "limit"),
    [
        ([(0, "n1", LIMIT, "a1", 20_000)], 0.0),
        ([(0, "n1", LIMIT, "a1", 20_000), (0, "n2", LIMIT, "a1", 21_000)], 21.0),
        ([(0, "n1", LIMIT, "a1", 1_000), (0, "n2", LIMIT, "a1", 20_000), (0, "n3", LIMIT, "a1", 20_000)], 20.0),
        ([(0, "n1", LIMIT, "a1", 1_000), (9, "me", REFUSED, "a1", 0)], 1.0),
    ],
)
def test_a_limit_needs_two_witnesses_or_one_and_an_own_refused_call(steps: list[Step], limit: float) -> None:
    tracker = make_tracker()
    now = apply_steps(tracker, steps)
    assert tracker.reported_limit("a1", now) == limit
    tracker.record_call("a1", OK, now, now + MS, limit=60.0)
    assert tracker.reported_limit("a1", now + MS) == 0.0, "an own report is newer"


def reported(tracker: ObservationTracker, now: int) -> list[tuple[str, Observation]]:
    return [
        (name, observation)
        for name, messages in tracker.tick(now, OTHERS, 10**6)
        for observation in messages
        if isinstance(observation, Observation)
    ]


def test_own_observations_go_to_all_in_several_rounds_and_those_of_others_to_nobody() -> None:
    tracker = make_tracker()
    apply_steps(tracker, [(0, "n1", DOWN, "a1", 0), (0, "n2", DOWN, "a1", 0)])
    assert reported(tracker, T) == [], "reports of others are not passed on"
    tracker.record_call("b1", FAILED, T - 10 * MS, T)
    assert sorted(name for name, _ in reported(tracker, T)) == OTHERS and reported(tracker, T) == []
    repeats = [observation for at in range(1, 60) for _, observation in reported(tracker, T + at * 50 * MS)]
    assert len(repeats) == 3 * len(OTHERS) and {observation.sequence for observation in repeats} == {1}
    ages = [observation.age for observation in repeats]
    assert ages == sorted(ages) and ages[0] >= 300
    tracker.record_call("b1", OK, T + 4 * SECOND, T + 4 * SECOND + MS)
    assert {observation.kind for _, observation in reported(tracker, T + 4 * SECOND + MS)} == {ObservationKind.BACK}
    tracker.record_call("b1", OK, T + 5 * SECOND, T + 5 * SECOND)
    assert not [
        observation for _, observation in reported(tracker, T + 5 * SECOND + 10 * MS) if observation.sequence > 2
    ], "a served call at a healthy endpoint is not reported"
    tracker.record_call("only", CallOutcome.OTHER, T, T + 6 * SECOND)
    assert not [observation for _, observation in reported(tracker, T + 6 * SECOND) if observation.endpoint == "only"]


def test_old_and_duplicated_observations_and_those_of_former_epochs_change_nothing_and_state_is_bounded() -> None:
    tracker = make_tracker("zz")
    tracker.receive("n1", 2, [Observation("a1", DOWN, 0, 0, 5)], T)
    tracker.receive("n2", 2, [Observation("a1", DOWN, 0, 0, 5)], T)
    for epoch, n in ((1, 9), (2, 4), (2, 5)):
        assert not tracker.receive("n2", epoch, [Observation("a1", BACK, 0, 0, n)], T + MS)
    assert set(tracker.restrictions(T + MS, OTHERS)) == {"a1"}
    assert (
        tracker.receive("n2", 3, [Observation("a1", BACK, 0, 0, 1)], T + MS)
        and tracker.restrictions(T + MS, OTHERS) == {}
    )
    for n in range(100):
        tracker.receive(f"m{n}", 1, [Observation("a1", DOWN, 0, 0, 1), Observation("other", DOWN, 0, 0, 2)], T + 2 * MS)
    assert len(tracker._records["a1"]) == MAX_WITNESSES and "other" not in tracker._records
    tracker.set_routes({"b1": 2})
    assert not tracker._records and not tracker.restrictions(T + 3 * MS, OTHERS)


def test_slow_start_follows_an_outage_and_ends_after_the_ramp() -> None:
    tracker, ramp = make_tracker("zz"), 10 * SECOND
    now = apply_steps(tracker, [(0, "n1", DOWN, "a1", 0), (0, "n2", DOWN, "a1", 0)])
    tracker.restrictions(now, OTHERS)
    assert tracker.recovering(now + 60 * SECOND, ramp) == {"a1": 0}, "in outage until a call is served"
    back = now + 60 * SECOND
    tracker.receive("n3", 1, [Observation("a1", BACK, 100, 0, 1)], back)
    assert tracker.recovering(back, ramp) == {"a1": 100 * MS} and tracker.recovering(back + ramp, ramp) == {}
    now = apply_steps(tracker, [(0, "n1", DOWN, "b1", 0), (0, "n2", DOWN, "b1", 0)])
    tracker.restrictions(now, OTHERS)
    tracker.record_call("b1", OK, now + 100 * MS, now + 200 * MS)
    assert not tracker.recovering(now + 2 * SECOND, ramp).get("b1", 0), "too short for an outage"


def test_the_wait_for_couriers_ranked_before_is_bounded_in_a_group_of_any_size() -> None:
    others = [f"m{n}" for n in range(500)]  # most of them may never call the endpoint
    for own_name in ("zz", "yy", "xx"):
        tracker = make_tracker(own_name)
        apply_steps(tracker, [(0, "n1", DOWN, "a1", 0), (0, "n2", DOWN, "a1", 0)])
        held = tracker.restrictions(T, others)["a1"]
        assert (
            not held.one_at_a_time
            and held.until == T + MAX_PROBE_RANK * PROBE_INTERVAL
            and tracker.restrictions(held.until, others)["a1"].one_at_a_time
        )


# Relayed observations: brokers x/b0 and x/b1 are in this courier's region, y/b0 and y/b1 in another. Claim sources are
# written as (witness, relaying broker, broker of origin); W1B0 is witness n1 by x/b0.

ORIGINS = ("y/b0", "y/b1")
COURIERS = 40


def make_brokered_tracker(own_name: str = "zz", number: int = 39, **more: Any) -> ObservationTracker:
    created = ObservationTracker(
        own_name, 1, MAX_WAIT, 0.5, PROBE_INTERVAL, Random(1), COURIERS, number, ORIGINS, **more
    )
    created.set_routes(dict(ROUTES))
    return created


def deliver(
    tracker: ObservationTracker,
    now: int,
    source: tuple[str, ...],
    kind: ObservationKind = DOWN,
    endpoint: str = "a1",
    n: int = 1,
    value: int = 0,
    age: int = 0,
) -> bool:
    witness, by, origin = (*source, "", "")[:3]
    observation = Observation(endpoint, kind, age, value, n)
    if not by:
        return tracker.receive(witness, 1, [observation], now)
    return tracker.receive_relayed(by, [RelayedObservation(witness, int(witness[1:]), 1, observation, origin)], now)


W1B0, W1B1, W2B0, W2B1 = ("n1", "x/b0"), ("n1", "x/b1"), ("n2", "x/b0"), ("n2", "x/b1")
# Name of the case, the sources that make the same claim, and whether the claim counts.
SOURCES: list[tuple[str, list[tuple[str, ...]], bool]] = [
    ("one witness by one broker", [W1B0], False),
    ("one witness by both brokers: a lying courier", [W1B0, W1B1], False),
    ("one witness by both brokers and directly", [W1B0, W1B1, ("n1",)], False),
    ("two witnesses by one broker: a lying broker", [W1B0, W2B0], False),
    ("five witnesses by one broker", [(f"n{n}", "x/b0") for n in range(1, 6)], False),
    ("two witnesses, each by a different broker", [W1B0, W2B1], True),
    ("two witnesses by one broker, one of them by the other, too", [W1B0, W2B0, W1B1], True),
    ("two witnesses, each by both brokers", [W1B0, W1B1, W2B0, W2B1], True),
    ("one witness directly, another by a broker", [("n1",), W2B0], True),
    ("one witness directly and by a broker", [("n1",), W1B0], False),
    ("two witnesses directly", [("n1",), ("n2",)], True),
    (
        "two witnesses by both brokers, both by the same broker of another region",
        [("n1", "x/b0", "y/b0"), ("n2", "x/b1", "y/b0")],
        False,
    ),
    (
        "five witnesses by both brokers, all by the same broker of another region",
        [(f"n{n}", f"x/b{n % 2}", "y/b0") for n in range(1, 6)],
        False,
    ),
    (
        "two witnesses by both brokers, by two brokers of another region",
        [("n1", "x/b0", "y/b0"), ("n2", "x/b1", "y/b1")],
        True,
    ),
    (
        "two witnesses by one broker, by two brokers of another region",
        [("n1", "x/b0", "y/b0"), ("n2", "x/b0", "y/b1")],
        False,
    ),
    ("one witness here, one from another region, by both brokers", [W1B0, ("n2", "x/b1", "y/b0")], True),
    ("one witness here, one from another region, by one broker", [W1B0, ("n2", "x/b0", "y/b0")], False),
]


@pytest.mark.parametrize(("name", "sources", "held"), SOURCES, ids=[name for name, *_ in SOURCES])
def test_a_single_liar_never_counts_as_two_witnesses(name: str, sources: list[tuple[str, ...]], held: bool) -> None:
    assert independently_sourced([ClaimSource(*source) for source in sources]) is held
    tracker, limits = make_brokered_tracker(), make_brokered_tracker()
    for source in sources:
        deliver(tracker, T, source)
        deliver(limits, T, source, LIMIT, value=20_000)
    assert bool(tracker.restrictions(T, OTHERS)) is held
    pairs = any(independently_sourced((ClaimSource(*a), ClaimSource(*b))) for a in sources for b in sources)
    assert limits.reported_limit("a1", T) == (20.0 if pairs else 0.0) and pairs is held
    if len({witness for witness, *_ in sources}) == 1:  # one witness, and an own call that was refused or failed
        limits.record_call("a1", REFUSED, T + 9 * MS, T + 10 * MS)
        assert limits.reported_limit("a1", T + 10 * MS) == 20.0
    tracker.record_call("a1", FAILED, T + 9 * MS, T + 10 * MS)
    assert set(tracker.restrictions(T + 10 * MS, OTHERS)) == {"a1"}


def test_a_broker_can_neither_overwrite_nor_evict_claims_that_came_by_another_path() -> None:
    tracker = make_brokered_tracker()
    for source in (W1B0, W1B1, ("n1",)):
        deliver(tracker, T, source, n=5)
    assert deliver(tracker, T, W1B0, BACK, n=1 << 50) and not deliver(tracker, T, W1B1, BACK, n=4)
    for n in range(2, 39):
        deliver(tracker, T + n, (f"n{n}", "x/b0"), BACK)
        deliver(tracker, T + n, (f"n{n}", "x/b0", "y/b0"), BACK)
    known = tracker._records["a1"]
    assert {ClaimSource("n1", "x/b1"), ClaimSource("n1")} <= known.keys() and len(known) == 2 + MAX_WITNESSES
    for n in range(100):
        deliver(tracker, T + 100 + n, (f"n{n % 38}", "x/b0", "y/b1"), BACK, n=n)
    by_origin = [source.origin for source in known if source.relay == "x/b0"]
    assert sorted(by_origin.count(origin) for origin in ("", *ORIGINS)) == [4, 4, 4], (
        "nor does one origin evict those of another"
    )


def test_relayed_witnesses_need_a_configured_number_and_origin() -> None:
    tracker = make_brokered_tracker("n7", 7)
    assert not deliver(tracker, T, ("n40", "x/b0")) and not deliver(tracker, T, ("n1", "x/b0", "z/b0"))
    assert (
        not deliver(tracker, T, ("n7", "x/b0"))
        and not deliver(tracker, T, W1B0, endpoint="zz")
        and tracker._records == {}
    )
    assert deliver(tracker, T, W1B0) and not deliver(tracker, T, W1B0) and not tracker.events
    for n in range(3):
        tracker.receive_relayed("x/b0", [RelayedObservation("rival", 7, 1, Observation("a1", DOWN, 0, 0, n), "")], T)
    assert [(event, fields["peer"]) for event, fields in tracker.events] == [("peers-number-twice", "rival")]


def deliver_contradicted(
    tracker: ObservationTracker, now: int, n: int, *sources: tuple[str, ...], endpoint: str = "a1"
) -> int:
    """Each source reports a retry-after delay, which a served call of this courier then contradicts."""
    for source in sources:
        deliver(tracker, now, source, WAIT, n=n, value=900, endpoint=endpoint)
    tracker.record_call(endpoint, OK, now + MS, now + 2 * MS)
    return now + 10 * MS


def test_one_lying_courier_does_not_discredit_an_honest_broker() -> None:
    tracker, now = make_brokered_tracker(), T
    for n in range(1, 60):
        now = deliver_contradicted(tracker, now, n, W1B0, W1B1)
    assert tracker.distrusted == {ClaimSource("n1", "x/b0"), ClaimSource("n1", "x/b1")}
    assert tracker.scores[ClaimSource("", "x/b0", "")] == 3 and not tracker.broker_distrusted("x/b0")
    deliver(tracker, now, W2B0)
    deliver(tracker, now, ("n3", "x/b1"))
    assert set(tracker.restrictions(now, OTHERS)) == {"a1"}, "other witnesses are trusted by the same brokers"


def test_a_broker_that_invents_witnesses_is_distrusted_after_twelve_calls_until_own_calls_confirm_it() -> None:
    tracker, now, calls = make_brokered_tracker(), T, 0
    while not tracker.broker_distrusted("x/b0"):
        calls += 1
        now = deliver_contradicted(tracker, now, calls, *((f"n{(3 * calls + k) % 38}", "x/b0") for k in range(3)))
    assert calls == PATH_DISTRUST_SCORE and ("peers-not-believed", "by x/b0") in [
        (e, f["peer"]) for e, f in tracker.events
    ]
    deliver(tracker, now, ("n30", "x/b0"), WAIT, "b1", n=99, value=900)
    assert tracker.restrictions(now, OTHERS) == {} and "by x/b0" in tracker.distrusted_sources()
    deliver(tracker, now, ("n30", "x/b1"), WAIT, "b1", n=99, value=900)
    assert set(tracker.restrictions(now, OTHERS)) == {"b1"}, "the other broker is trusted"
    for n in range(40):
        now += SECOND
        deliver(tracker, now, ("n31", "x/b0"), DOWN, "b2", n=200 + n)
        tracker.record_call("b2", FAILED, now + MS, now + 2 * MS)
    assert not tracker.broker_distrusted("x/b0")


def test_honest_claims_that_a_broker_relays_do_not_make_up_for_its_false_ones() -> None:
    tracker, now, calls = make_brokered_tracker(), T, 0
    while not tracker.broker_distrusted("x/b0") and calls < 100:
        calls += 1
        # ``BACK`` is true of a healthy endpoint, so it costs nothing to claim.
        deliver(tracker, now, ("n38", "x/b0"), BACK, n=calls)
        now = deliver_contradicted(tracker, now, calls, (f"n{calls % 38}", "x/b0"))
    assert calls == PATH_DISTRUST_SCORE


def test_false_claims_that_are_disregarded_earn_no_credit_for_the_rest_of_the_path() -> None:
    tracker, now = make_brokered_tracker(), T
    for n in range(1, 60):  # the path from y/b0 is distrusted after 12 false claims; a true one comes with each
        deliver(tracker, now, ("n38", "x/b0"), BACK, n=n)
        now = deliver_contradicted(tracker, now, n, (f"n{n % 38}", "x/b0", "y/b0"))
    assert (
        tracker.scores[ClaimSource("", "x/b0", ANY_ORIGIN)] == PATH_DISTRUST_SCORE
        and ClaimSource("", "x/b0", "y/b0") in tracker.distrusted
    )


def test_a_lying_broker_of_another_region_is_distrusted_and_so_is_a_broker_that_names_many_origins() -> None:
    tracker, now = make_brokered_tracker(), T
    for n in range(1, 40):
        now = deliver_contradicted(tracker, now, n, *((f"n{n}", by, "y/b0") for by in ("x/b0", "x/b1")))
    assert {
        ClaimSource("", "x/b0", "y/b0"),
        ClaimSource("", "x/b1", "y/b0"),
    } <= tracker.distrusted and not tracker.broker_distrusted("x/b0")
    deliver(tracker, now, ("n1", "x/b0", "y/b1"))
    deliver(tracker, now, W2B1)
    assert set(tracker.restrictions(now, OTHERS)) == {"a1"}
    tracker, now, calls = make_brokered_tracker(), T, 0
    while not tracker.broker_distrusted("x/b0"):
        calls += 1
        now = deliver_contradicted(tracker, now, calls, (f"n{calls % 38}", "x/b0", ORIGINS[calls % 2]))
    assert calls == BROKER_DISTRUST_SCORE and ClaimSource("", "x/b0", ANY_ORIGIN) in tracker.distrusted


def test_one_call_scores_a_path_once_however_many_claims_came_by_it() -> None:
    tracker = make_brokered_tracker()
    deliver_contradicted(tracker, T, 1, *((f"n{n}", "x/b0") for n in range(MAX_WITNESSES)))
    assert tracker.scores[ClaimSource("", "x/b0", "")] == 1.0 and not tracker.broker_distrusted("x/b0")


def test_scores_of_invented_witnesses_are_bounded_and_those_of_paths_are_kept() -> None:
    tracker = make_brokered_tracker()
    for n in range(MAX_RELAYED_SCORES + 500):
        tracker.scores[ClaimSource(f"w{n}", "x/b0")] = 1.0
    tracker.scores[ClaimSource("", "x/b0")] = 0.5
    tracker.scores[ClaimSource("liar", "x/b1")] = 6.0
    tracker.set_members(["n1"])
    assert (
        len(tracker.scores) <= MAX_RELAYED_SCORES + 1
        and {ClaimSource("", "x/b0"), ClaimSource("liar", "x/b1")} <= tracker.scores.keys()
    )


def test_own_observations_go_to_brokers_and_to_members_without_brokers_in_several_rounds() -> None:
    tracker = make_brokered_tracker()
    tracker.record_call("b1", FAILED, T - 10 * MS, T)
    found: dict[str, list[object]] = {}
    for at in range(60):
        for name, messages in tracker.tick(
            T + at * 50 * MS, ["old"], 10**6, lambda dest: ["x/b1", "x/b0"] if dest == 2 else []
        ):
            found.setdefault(name, []).extend(messages)
    assert {name: len(messages) for name, messages in found.items()} == {"x/b0": 4, "x/b1": 4, "old": 4}
    assert found["x/b0"][0] == PublishObservation(2, Observation("b1", DOWN, 0, 0, 1)) and found["old"][
        0
    ] == Observation("b1", DOWN, 0, 0, 1)
    tracker.record_call("only", FAILED, T + 4 * SECOND, T + 4 * SECOND + MS)
    assert tracker.tick(T + 4 * SECOND + MS, [], 10**6, lambda dest: []) == [], (
        "without an answering broker nothing is sent"
    )


def test_reports_are_sufficient_only_if_no_single_broker_could_have_invented_them() -> None:
    for brokers, rounds in ((["x/b0"], 4), (["x/b0", "x/b1"], 1)):
        tracker = make_brokered_tracker()
        for n in range(1, 5):
            for by in brokers:
                deliver(tracker, T, (f"n{n}", by), endpoint="b1")
        tracker.record_call("b1", FAILED, T, T + MS)
        sent_rounds = [
            messages
            for at in range(60)
            for _, messages in tracker.tick(T + MS + at * 50 * MS, [], 10**6, lambda dest: ["x/b1"])
        ]
        assert len(sent_rounds) == rounds
