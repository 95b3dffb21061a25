"""State machines of a registry's follower, without sockets: single cases, and 2,000 random histories of a registry."""

from __future__ import annotations

import json
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.core.transport_map import NextHop
from kestrelspar.registry.stream import JsonObjectSplitter, MalformedStreamError
from kestrelspar.registry.sync import (
    SECOND,
    ConsulSync,
    EtcdSync,
    Item,
    KnownList,
    PageRequest,
    Pause,
    ReadRequest,
    State,
    Update,
    WatchRequest,
)
from snowlock.interface import Endpoint, EndpointState

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=2000)
STATES = {b"active": EndpointState.READY, b"leaving": EndpointState.DRAINING}


def read(value: bytes) -> NextHop:
    """Parse `name/state/port`, used here in place of JSON."""
    name, state, port = value.split(b"/")
    if state not in STATES:
        raise ValueError(f"no state {state!r}")
    return NextHop(Endpoint(name, 7, state=STATES[state]), ("127.0.0.1", int(port)), None)  # type: ignore[arg-type]


def item(key: str, revision: int, value: str | None = "") -> Item:
    """A key with this value; by default it is an active entry at port 1, and None stands for a deletion."""
    return Item(key, None if value is None else (value or f"{key}/active/1").encode(), revision)


class SyncHarness:
    """A state machine under test, a clock, and the transport map that results from the updates."""

    def __init__(self, kind: type[EtcdSync] | type[ConsulSync] = EtcdSync, members: int = 2) -> None:
        self.now = 0
        self.sync = kind(KnownList(read), members, 30 * SECOND, 0, Random(1))
        self.map: dict[str, str] = {}
        self.events: list[str] = []

    def apply(self, update: Update | None) -> SyncHarness:
        for name, hop in (update.hops_by_name if update else {}).items():
            if hop is None:
                self.map.pop(name.decode(), None)  # it may have been added and removed in one change
            else:
                self.map[name.decode()] = f"{hop.endpoint.state.name.lower()}:{hop.address[1]}"
        self.events += [name for _, name, _ in (update.events if update else [])]
        return self

    def etcd(self) -> EtcdSync:
        assert isinstance(self.sync, EtcdSync)
        return self.sync

    def consul(self) -> ConsulSync:
        assert isinstance(self.sync, ConsulSync)
        return self.sync

    def listed(self, *items: Item, revision: int = 10) -> SyncHarness:
        return self.apply(self.etcd().receive_page(self.now, "c", revision, list(items), False))

    def changes(self, *items: Item, complete: bool = True) -> SyncHarness:
        # The revision of the response counts only if it has no items.
        return self.apply(self.etcd().receive_changes(self.now, "c", 99, list(items), complete))

    def next_request(self) -> object:
        """The next request; the clock advances over the pause before it."""
        request = self.sync.next_request(self.now)
        while isinstance(request, Pause):
            assert request.until > self.now
            self.now = request.until
            request = self.sync.next_request(self.now)
        return request


def test_a_compacted_revision_is_relisted_and_removals_follow_the_last_page() -> None:
    harness = SyncHarness().listed(item("a", 3), item("b", 4), item("c", 5))
    assert harness.next_request() == WatchRequest(11)
    harness.apply(harness.etcd().revision_compacted(harness.now, 40))
    assert harness.next_request() == PageRequest("", 0)
    harness.apply(harness.etcd().receive_page(harness.now, "c", 50, [item("a", 3)], True))
    # "b" may be on the next page.
    assert set(harness.map) == {"a", "b", "c"} and harness.next_request() == PageRequest("a", 50)
    harness.apply(harness.etcd().receive_page(harness.now, "c", 55, [item("c", 45, "c/leaving/1")], False))
    assert harness.map == {"a": "ready:1", "c": "draining:1"} and harness.next_request() == WatchRequest(51)


def test_repeated_compaction_while_listing_backs_off() -> None:
    harness = SyncHarness()
    for _ in range(4):
        harness.apply(harness.etcd().revision_compacted(harness.now, 1))
    assert isinstance(harness.sync.next_request(harness.now), Pause) and harness.sync.state is State.BROKEN


def test_a_failure_while_listing_restarts_the_list_and_removes_nothing() -> None:
    harness = SyncHarness().listed(item("a", 3), item("b", 4))
    harness.apply(harness.etcd().revision_compacted(harness.now, 40)).apply(
        harness.etcd().receive_page(harness.now, "c", 50, [item("a", 3)], True)
    )
    harness.apply(harness.sync.member_failed(harness.now, "cut"))
    assert set(harness.map) == {"a", "b"} and harness.next_request() == PageRequest("", 0)
    harness.listed(item("b", 4), revision=51)
    assert set(harness.map) == {"b"}


@pytest.mark.parametrize(
    ("cluster", "revision", "items"),
    [
        ("c", 49, []),  # behind the pinned revision
        ("other", 60, []),  # of another cluster
        ("c", 60, [item("z", 55)]),  # with an item that is newer than the pinned revision
    ],
)
def test_pages_of_different_lists_are_rejected(cluster: str, revision: int, items: list[Item]) -> None:
    harness = SyncHarness().listed(item("a", 3), item("b", 4))
    harness.apply(harness.etcd().revision_compacted(harness.now, 40)).apply(
        harness.etcd().receive_page(harness.now, "c", 50, [item("a", 3)], True)
    )
    member_index = harness.sync.member_index
    harness.apply(harness.etcd().receive_page(harness.now, cluster, revision, items, False))
    assert (
        set(harness.map) == {"a", "b"}
        and harness.sync.member_index != member_index
        and harness.next_request() == PageRequest("", 0)
    )


def test_an_empty_page_that_is_not_the_last_does_not_loop() -> None:
    harness = SyncHarness().apply(None)
    harness.apply(harness.etcd().receive_page(harness.now, "c", 9, [], True))
    assert harness.sync.state is State.BROKEN


def test_a_lagging_member_or_one_of_another_cluster_is_passed_over() -> None:
    for cluster, revision in (("c", 9), ("other", 99)):
        harness = SyncHarness().listed(item("a", 3))
        member_index = harness.sync.member_index
        harness.apply(harness.etcd().watch_created(harness.now, cluster, revision))
        assert (
            harness.sync.member_index != member_index
            and harness.events[-1] == "registry-break"
            and harness.next_request() == WatchRequest(11)
        )
    harness = SyncHarness().listed(item("a", 3))
    harness.apply(harness.etcd().receive_changes(harness.now, "other", 99, [item("a", 50, None)], True))
    assert set(harness.map) == {"a"}


def test_repeated_and_outdated_changes_are_ignored() -> None:
    harness = SyncHarness().listed(item("a", 3))
    harness.changes(item("b", 11)).changes(item("b", 12, None))
    for old in (item("b", 11), item("a", 9, None), item("a", 3, "a/active/2")):
        harness.changes(old)
    assert harness.map == {"a": "ready:1"} and harness.next_request() == WatchRequest(13)


def test_a_revision_is_complete_only_with_its_last_fragment() -> None:
    harness = SyncHarness().listed(item("a", 3), item("b", 3))
    harness.changes(item("a", 11, None), complete=False)
    assert set(harness.map) == {"b"}  # removals are applied at once
    harness.apply(harness.sync.member_failed(harness.now, "cut"))
    assert harness.next_request() == WatchRequest(11)
    harness.changes(item("a", 11, None), item("b", 11, None))
    assert not harness.map and harness.next_request() == WatchRequest(12)
    harness.changes(item("a", 12), item("a", 13, None), complete=False)
    harness.changes(item("a", 12), complete=False)  # repeated after a failure: it must not reappear, even briefly
    assert not harness.map


def test_progress_raises_the_revision_and_a_lower_one_is_a_failure() -> None:
    harness = SyncHarness().listed(item("a", 3))
    harness.apply(harness.etcd().receive_changes(harness.now, "c", 30, [], True))
    assert harness.next_request() == WatchRequest(31)
    harness.apply(harness.etcd().receive_changes(harness.now, "c", 29, [], True))
    assert harness.sync.state is State.BROKEN and harness.next_request() == WatchRequest(31)


def test_a_watch_that_delivers_no_changes_is_detected_by_the_second_check_that_disagrees() -> None:
    harness = SyncHarness().listed(item("a", 3))
    harness.apply(harness.etcd().receive_check(harness.now, "c", 20, 3, 1))
    assert not harness.etcd().check_disagreed and harness.sync.state is not State.BROKEN
    harness.apply(harness.etcd().receive_check(harness.now, "c", 20, 20, 2))
    assert harness.etcd().check_disagreed
    harness.changes(item("b", 20))  # the change was in transit
    assert not harness.etcd().check_disagreed
    for _ in range(2):
        harness.apply(harness.etcd().receive_check(harness.now, "c", 21, 20, 1))  # a removal shows only in the count
    assert harness.sync.state is State.BROKEN and harness.next_request() == PageRequest("", 0)


def test_retry_delays_grow_with_jitter_and_are_reset_by_a_success() -> None:
    harness, delays = SyncHarness(members=2), []
    for _ in range(16):
        before = harness.now
        harness.apply(harness.sync.member_failed(harness.now, "refused"))
        harness.next_request()
        delays.append(harness.now - before)
    assert all(50_000 <= delay <= 100_000 for delay in delays[:2]) and len(set(delays)) == 16
    assert all(2_500_000 <= delay <= 5_000_000 for delay in delays[-2:])
    harness.listed(item("a", 3))
    before = harness.now
    harness.apply(harness.sync.member_failed(harness.now, "refused"))
    harness.next_request()
    assert harness.now - before <= 100_000


def test_a_stale_list_is_logged_each_minute_and_once_when_current_again() -> None:
    harness, logged = SyncHarness().listed(item("a", 3)), []
    for second in range(200):
        update = Update()
        if second == 170:
            harness.apply(harness.etcd().watch_created(second * SECOND, "c", 10))
        harness.sync.tick(second * SECOND, update)
        logged += [(second, name) for _, name, _ in update.events]
    assert logged == [
        (31, "registry-stale"),
        (91, "registry-stale"),
        (151, "registry-stale"),
        (170, "registry-heard-again"),
    ]


@pytest.mark.parametrize("lost", [2, 3])
def test_losing_most_or_all_entries_is_applied_and_logged_once(lost: int) -> None:
    harness = SyncHarness().listed(item("a", 3), item("b", 3), item("c", 3))
    gone = [item(name, 11, None) for name in "abc"[:lost]]
    harness.changes(*gone[:1], complete=False).changes(*gone[1:])
    assert len(harness.map) == 3 - lost and harness.events.count("registry-lost-most") == 1
    harness.changes(item("x", 12)).changes(item("x", 13, None))
    # One of two is not most of them; one of one is all.
    assert harness.events.count("registry-lost-most") == (1 if lost == 2 else 2)


def test_an_unreadable_value_keeps_the_previous_entry_and_is_logged_once() -> None:
    harness = SyncHarness().listed(item("a", 3), item("bad", 3, "?"))
    harness.changes(item("a", 11, "a/gone/1")).changes(item("a", 12, "a/gone/2"))
    assert harness.map == {"a": "ready:1"} and harness.events.count("registry-bad-value") == 2
    harness.changes(item("a", 13, "a/active/5")).changes(item("bad", 14, None)).changes(item("a", 15, "?"))
    assert harness.map == {"a": "ready:5"} and harness.events.count("registry-bad-value") == 3


def test_the_first_key_of_a_name_is_used_and_a_name_may_move_to_another_key() -> None:
    harness = SyncHarness().listed(item("k1", 3, "a/active/1"), item("k2", 4, "a/active/2"))
    assert harness.map == {"a": "ready:1"} and "registry-name-twice" in harness.events
    harness.changes(item("k1", 11, None))
    assert harness.map == {"a": "ready:2"}
    harness.changes(item("k2", 12, "b/active/2"))
    assert harness.map == {"b": "ready:2"}
    # The name moves from one key to another in one change.
    harness.changes(item("k3", 13, "b/active/3"), item("k2", 13, None))
    assert harness.map == {"b": "ready:3"}


# Consul


def receive_list(harness: SyncHarness, index: int | None, *items: Item, leader: bool = True, contact: int = 0) -> bool:
    rejection = harness.consul().begin_response(harness.now, index, leader, contact)
    harness.apply(rejection)
    if rejection is None:
        harness.apply(harness.consul().receive_items(harness.now, list(items))).apply(
            harness.consul().finish_response(harness.now)
        )
    return rejection is None


def test_consul_reads_block_on_the_index_and_removals_follow_a_complete_list() -> None:
    harness = SyncHarness(ConsulSync)
    assert harness.next_request() == ReadRequest(0) and receive_list(harness, 7, item("a", 5), item("b", 7))
    assert harness.next_request() == ReadRequest(7) and receive_list(harness, 9, item("b", 7))
    assert harness.map == {"b": "ready:1"} and harness.next_request() == ReadRequest(9)
    assert receive_list(harness, 9, item("b", 7)) and harness.next_request() == ReadRequest(9)  # nothing new
    assert receive_list(harness, 12) and not harness.map  # 404: an empty list


def test_an_index_of_zero_does_not_spin() -> None:
    harness, requested_at = SyncHarness(ConsulSync), []
    for _ in range(10):
        assert harness.next_request() == ReadRequest(1 if requested_at else 0)
        requested_at.append(harness.now)
        assert receive_list(harness, 0, item("a", 5))
    assert requested_at[-1] - requested_at[-2] == SECOND  # the interval grows while responses bring nothing new


def test_a_decreased_index_is_accepted_only_from_a_consistent_read() -> None:
    harness = SyncHarness(ConsulSync)
    receive_list(harness, 50, item("a", 40))
    harness.next_request()
    # A lagging member would bring back a removed entry.
    assert not receive_list(harness, 20, item("a", 4), item("gone", 3))
    assert harness.map == {"a": "ready:1"} and harness.next_request() == ReadRequest(0, True)
    assert receive_list(harness, 20, item("a", 4, "a/active/9")) and harness.map == {"a": "ready:9"}
    assert "registry-index-back" in harness.events and harness.next_request() == ReadRequest(20)
    harness.apply(harness.sync.member_failed(harness.now, "x"))
    assert receive_list(harness, 60, item("a", 55)) and harness.next_request() == ReadRequest(60)


# contact: milliseconds since the member heard from its leader; the list is stale after 30 s.
@pytest.mark.parametrize(("index", "leader", "contact"), [(None, True, 0), (60, False, 0), (60, True, 31_000)])
def test_responses_without_index_leader_or_recent_contact_are_rejected(
    index: int | None, leader: bool, contact: int
) -> None:
    harness = SyncHarness(ConsulSync)
    receive_list(harness, 50, item("a", 40))
    assert not receive_list(harness, index, leader=leader, contact=contact) and set(harness.map) == {"a"}


# Random histories: a simulated registry, followed under failures, compaction, lag and repeated changes.


class SimulatedRegistry:
    """A log of changes, from which the responses of members are derived."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.revision, self.compacted = rng, 1, 0
        self.log: list[tuple[int, Item]] = []

    def change(self) -> None:
        self.revision += 1
        for key in self.rng.sample("abcdefg", self.rng.choice([1, 1, 1, 2, 7])):
            exists = key in self.state(self.revision)
            state, port = self.rng.choice(["active", "leaving"]), self.rng.randrange(1, 9)
            value = None if exists and self.rng.random() < 0.5 else f"{key}/{state}/{port}"
            if value is not None or exists:
                self.log.append((self.revision, item(key, self.revision, value)))

    def state(self, revision: int) -> dict[str, Item]:
        items: dict[str, Item] = {}
        for at, change in self.log:
            if at <= revision:
                if change.value is None:
                    items.pop(change.key, None)
                else:
                    items[change.key] = change
        return items

    def map(self) -> dict[str, str]:
        hops = {key: read(found.value or b"") for key, found in self.state(self.revision).items()}
        return {key: f"{hop.endpoint.state.name.lower()}:{hop.address[1]}" for key, hop in hops.items()}


def respond(harness: SyncHarness, registry: SimulatedRegistry, no_faults: bool) -> None:
    """Respond to the next request of the follower as a member would, with a random fault unless ``no_faults``."""
    rng, request = registry.rng, harness.next_request()
    fault = "" if no_faults else rng.choice(["", "", "", "cut", "lag", "cluster", "twice"])
    if fault == "cut":
        harness.apply(harness.sync.member_failed(harness.now, "cut"))
        return
    at = max(1, registry.revision - rng.randrange(1, 4)) if fault == "lag" else registry.revision
    cluster = "d" if fault == "cluster" and harness.sync.cluster else "c"
    if isinstance(request, ReadRequest):
        keys = list(registry.state(at).values())
        if receive_list(harness, at, *keys) and not no_faults and rng.random() < 0.2:
            harness.apply(harness.sync.member_failed(harness.now, "after"))
        return
    sync = harness.etcd()
    if isinstance(request, PageRequest):
        revision = request.revision or at
        if revision < registry.compacted:
            harness.apply(sync.revision_compacted(harness.now, registry.compacted))
            return
        items = sorted((i for k, i in registry.state(revision).items() if k > request.after), key=lambda i: i.key)
        harness.apply(sync.receive_page(harness.now, cluster, at, items[:3], len(items) > 3))
        return
    assert isinstance(request, WatchRequest)
    if request.revision <= registry.compacted:
        harness.apply(sync.revision_compacted(harness.now, registry.compacted))
        return
    harness.apply(sync.watch_created(harness.now, cluster, at))
    if sync.state is not State.WATCHING:
        return
    items = [change for when, change in registry.log if request.revision <= when <= at]
    for _ in range(2 if fault == "twice" else 1):
        split_points = sorted(rng.sample(range(len(items) + 1), min(2, len(items) + 1)))
        for begin, end in zip([0, *split_points], [*split_points, len(items)], strict=True):
            if not no_faults and rng.random() < 0.2:
                harness.apply(harness.sync.member_failed(harness.now, "in the middle"))
                return
            if end > begin:
                harness.apply(sync.receive_changes(harness.now, cluster, at, items[begin:end], end == len(items)))
                # Removals are applied by now; a removed key is present only if it was added again later. A key that is
                # not present counts as newer than any change.
                entries = {key: entry.revision for key, entry in sync.known_list.entries.items()}
                assert not [
                    change
                    for change in items[begin:end]
                    if change.value is None and entries.get(change.key, 1 << 60) <= change.revision
                ]


@DETERMINISTIC
@given(st.integers(0, 2**32), st.sampled_from([EtcdSync, ConsulSync]))
def test_after_each_period_without_faults_the_map_equals_the_registry(
    seed: int, kind: type[EtcdSync] | type[ConsulSync]
) -> None:
    rng = Random(seed)
    registry, harness = SimulatedRegistry(rng), SyncHarness(kind, members=rng.choice([1, 3]))
    for _ in range(rng.randrange(1, 6)):
        for _ in range(rng.randrange(12)):
            if rng.random() < 0.5:
                registry.change()
            elif rng.random() < 0.2 and isinstance(harness.sync, EtcdSync):
                registry.compacted = registry.revision - rng.randrange(2)
            else:
                respond(harness, registry, no_faults=False)
        for _ in range(12):  # without faults, this suffices for a round over all members and a list of three pages
            respond(harness, registry, no_faults=True)
        assert harness.map == registry.map()


# Splitting a stream into objects

SHORT_TEXT = st.text(max_size=8)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.dictionaries(SHORT_TEXT, SHORT_TEXT | st.dictionaries(SHORT_TEXT, st.none()), max_size=3), max_size=5),
    st.integers(1, 30),
    st.sampled_from(["\n", " ", ",\n"]),
)
def test_objects_are_reassembled_from_any_chunks(
    objects: list[dict[str, object]], chunk_size: int, separator: str
) -> None:
    data = separator.join(map(json.dumps, objects)).encode()
    if separator == ",\n":
        data = b"[" + data + b"]"
    splitter, found = JsonObjectSplitter(), []
    for at in range(0, len(data), chunk_size):
        found += splitter.feed(data[at : at + chunk_size])
    assert [json.loads(raw) for raw in found] == objects and splitter.at_boundary


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(st.text(st.sampled_from('{}"\\[], a')).map(str.encode), max_size=6))
def test_garbage_in_a_stream_is_rejected_or_ignored(parts: list[bytes]) -> None:
    splitter = JsonObjectSplitter()
    try:
        for part in parts:
            assert all(raw.startswith(b"{") and raw.endswith(b"}") for raw in splitter.feed(part))
    except MalformedStreamError:
        pass
