"""Decides which list a follower of a registry holds and which request it sends next.

All decisions about a followed list are made in this file. It does no I/O, but is given events and the time. The
protocol clients (etcd.py, consul.py) only translate bytes into these events, and follower.py sends the requests.

Theory of operation
-------------------
``KnownList`` is the list as last received: for each key, the entry and the revision at which it was written. Single
puts and deletions are applied to it, or a complete list is compared with it. The result is an ``Update``: the latest
state of each endpoint name that has changed.

``EtcdSync`` and ``ConsulSync`` are the state machines of the two protocols:

    LISTING   reads the whole list. etcd: in pages, all at the revision of the first one (pinned). Puts are applied as
              they arrive, removals when the list is complete, as only then it is known which keys it lacks.
    WATCHING  etcd: a watch from the revision after the last complete one. Consul: blocking reads of the whole list.
    BROKEN    waits, then uses the next member. The delay has jitter, grows with each round over all members, and is at
              least the failed member's Retry-After.

Three checks guard against wrong or incomplete responses. To pass over a member means to use the next one instead:

- A member of another cluster is passed over (etcd only, by its cluster_id): its list is not this one, whatever it
  contains.
- A member behind the revision already seen is passed over: a key that it lacks may still exist, and one that it has
  may have been removed. With Consul, the next member is asked for a consistent read, and that response is accepted
  even at a lower index, as the registry may have been restored from a backup.
- A revision counts as complete only when its last fragment has arrived, so a resumed watch misses nothing.

A watch can't resume from a revision that has been compacted. The whole list is read again, and the comparison with
what is held yields the removals.

``max_age`` (the setting ``patience``) is how long the list may go unconfirmed before it is stale. ``confirmed_at`` is
the last time at which a member's response proved the list to be current: the last page of a list, the creation of a
watch, a complete change, a progress notification, a check that agrees, or a complete read from Consul. Before the first
of these, it is the time of the start or, for a saved list, the time at which that list was current. All times are
microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

from kestrelspar.core.transport_map import NextHop
from kestrelspar.runtime.logs import ERROR, INFO, WARNING
from snowlock.interface import EndpointState

MS, SECOND = 1_000, 1_000_000
# Between attempts; the delay doubles with each round over all members.
INITIAL_RETRY_DELAY, MAX_RETRY_DELAY = 100 * MS, 5 * SECOND
MAX_RELISTS = 3  # compactions since the last complete list; each further one counts as a failure of the member
STALE_LOG_INTERVAL = 60 * SECOND  # between two log lines about a stale list
# Between the starts of two blocking reads, to prevent a busy loop; it doubles, up to 1 s, with each unchanged response
# that arrives within a second. Also the wait after a response whose index has decreased.
MIN_READ_INTERVAL = 100 * MS
# Losing at once more than 1 / LARGE_LOSS_DIVISOR of the list, and more than one entry, is logged as an error.
LARGE_LOSS_DIVISOR = 2


@dataclass(frozen=True, slots=True)
class Item:
    """A key in the registry. ``value`` is None if the key was deleted; ``revision`` is that of its last change."""

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True)
class Update:
    """What an event changed: the latest next hop of each endpoint name, and events for the log."""

    hops_by_name: dict[bytes, NextHop | None] = field(default_factory=dict)  # None: removed
    states_by_key: dict[str, EndpointState] = field(default_factory=dict)  # of changed keys, for the removal log
    events: list[tuple[int, str, dict[str, Any]]] = field(default_factory=list)  # level, event name and fields

    def changed_hops(self) -> list[NextHop]:
        """Next hops that are new or changed."""
        return [hop for hop in self.hops_by_name.values() if hop is not None]

    def removed_names(self) -> list[bytes]:
        """Names of endpoints that were removed."""
        return [name for name, hop in self.hops_by_name.items() if hop is None]


@dataclass(slots=True)
class KnownEntry:
    """A key of the list. ``hop``: from the last value that could be read, or None. ``revision``: of the last value."""

    hop: NextHop | None
    revision: int


class KnownList:
    """The list as last received. It survives failures, changes of members and, saved in a file, restarts.

    ``parse`` turns a value into a next hop, or raises ``ValueError``.
    """

    def __init__(self, parse: Callable[[bytes], NextHop]) -> None:
        self.entries: dict[str, KnownEntry] = {}
        self._parse = parse
        self._keys_by_name: dict[bytes, list[str]] = {}  # by endpoint name; the entry of the first key is used
        self._unreadable_keys: set[str] = set()  # logged already; forgotten at a readable value or a deletion
        # The number of entries before the first removal or drain of the change in progress; None: there was none yet.
        self._size_before: int | None = None
        self._removed_keys: set[str] = set()  # keys removed or draining in the change in progress

    def put(self, item: Item, update: Update) -> None:
        """Store the value of a key, unless it is already known at this revision.

        A value that can't be read leaves the key's next hop as it was.
        """
        assert item.value is not None
        entry = self.entries.get(item.key)
        if entry is not None and entry.revision == item.revision:
            return
        try:
            hop = self._parse(item.value)
        except ValueError as error:
            if item.key not in self._unreadable_keys:
                self._unreadable_keys.add(item.key)
                update.events.append(
                    (
                        ERROR,
                        "registry-bad-value",
                        {
                            "key": item.key,
                            "why": str(error)[:300],
                            "kept": "as it was" if entry is not None and entry.hop is not None else "left out",
                        },
                    )
                )
            self.entries[item.key] = KnownEntry(entry.hop if entry is not None else None, item.revision)
            return
        self._unreadable_keys.discard(item.key)
        self._store(item.key, hop, item.revision, update)

    def _store(self, key: str, hop: NextHop, revision: int, update: Update) -> None:
        entry = self.entries.get(key)
        before = entry.hop if entry is not None else None
        self.entries[key] = KnownEntry(hop, revision)
        if before == hop:
            return
        update.states_by_key[key] = hop.endpoint.state
        if before is not None and before.endpoint.id != hop.endpoint.id:
            self._release_name(key, before.endpoint.id, update)
            before = None
        keys = self._keys_by_name.setdefault(hop.endpoint.id, [])
        if key not in keys:
            keys.append(key)
            if len(keys) > 1:
                update.events.append((ERROR, "registry-name-twice", {"hop": hop.name, "key": keys[0], "rival": key}))
        if keys[0] == key:
            update.hops_by_name[hop.endpoint.id] = hop
            if before is not None and hop.endpoint.state is not EndpointState.READY:
                self._count_removal(key)

    def drop(self, key: str, update: Update) -> None:
        """Remove a key that was deleted; does nothing if it is unknown."""
        entry = self.entries.get(key)
        if entry is None:
            return
        self._count_removal(key)
        del self.entries[key]
        self._unreadable_keys.discard(key)
        if entry.hop is not None:
            update.states_by_key[key] = EndpointState.GONE
            self._release_name(key, entry.hop.endpoint.id, update)

    def _release_name(self, key: str, name: bytes, update: Update) -> None:
        keys = self._keys_by_name[name]
        first = keys[0] == key
        keys.remove(key)
        if not keys:
            del self._keys_by_name[name]
            update.hops_by_name[name] = None
        elif first:
            update.hops_by_name[name] = self.entries[keys[0]].hop

    def _count_removal(self, key: str) -> None:
        """Count an entry that the change in progress removed, or changed so that it drains or still drains."""
        if self._size_before is None:
            self._size_before = len(self.entries)
        self._removed_keys.add(key)

    def retain_only(self, seen: Iterable[str], update: Update) -> None:
        """Remove all keys but those of a complete list."""
        for key in self.entries.keys() - set(seen):
            self.drop(key, update)

    def change_completed(self, update: Update) -> None:
        """End the change in progress; log an error if it emptied the list, or removed or drained most of it.

        One entry of a list that is not empty afterwards is never reported; see ``LARGE_LOSS_DIVISOR``.
        """
        before, lost, self._size_before = self._size_before, len(self._removed_keys), None
        self._removed_keys.clear()
        if before and (not self.entries or lost > 1 and lost * LARGE_LOSS_DIVISOR > before):
            update.events.append((ERROR, "registry-lost-most", {"lost": lost, "of": before, "now": len(self.entries)}))

    def restore(self, key: str, hop: NextHop, revision: int, update: Update) -> None:
        """Add an entry of the saved list."""
        self._store(key, hop, revision, update)


class State(Enum):
    """State of a follower."""

    LISTING = "listing"
    WATCHING = "watching"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Pause:
    """Send nothing before this time."""

    until: int


@dataclass(frozen=True, slots=True)
class PageRequest:
    """Read the page of the list after this key (empty: the first page), at this revision (0: the newest)."""

    after: str
    revision: int


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Open a watch that begins with this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Read the whole list. Unless the index is 0, the read blocks until the list is newer, or the ``wait`` is over.

    ``consistent``: the member must confirm with the leader; otherwise the section's ``consistency`` applies.
    """

    index: int
    consistent: bool = False


Request = Pause | PageRequest | WatchRequest | ReadRequest


class Sync:
    """Base of both state machines: the choice of the member, retry delays, and the age of the list."""

    def __init__(self, known_list: KnownList, member_count: int, max_age: int, now: int, random: Random) -> None:
        self.known_list, self.member_count, self.max_age = known_list, member_count, max_age
        self.state = State.LISTING
        self.member_index = random.randrange(member_count)  # member in use; couriers begin with different ones
        self.revision = 0  # the list is complete up to here (Consul: the index); 0: not known
        self.cluster = ""  # etcd's cluster_id; empty: not known, or Consul
        self.confirmed_at = now
        self.listed = False  # a complete list has been received since the start, perhaps with earlier settings
        self.is_stale = False  # at the last tick, the list was older than ``max_age``
        self._random = random
        self._failures = 0  # since the list was last confirmed
        self._retry_at = now
        self._stale_logged_at = 0

    def member_failed(self, now: int, reason: str, update: Update | None = None, wait: int = 0) -> Update:
        """The member failed or can't be trusted: wait, then use the next one.

        ``update`` gets the log event; None: a new one is returned. ``wait`` is the member's Retry-After delay in
        microseconds, the least time to wait; 0: none.
        """
        update = update or Update()
        failed_member, self.state = self.member_index, State.BROKEN
        self.member_index = (self.member_index + 1) % self.member_count
        rounds = self._failures // self.member_count
        self._failures += 1
        max_delay = min(MAX_RETRY_DELAY, INITIAL_RETRY_DELAY << min(rounds, 10))
        # 50 to 100 % of the maximum, at random, so that not all couriers reconnect to a recovering member at once.
        self._retry_at = now + max(wait, int(max_delay * (0.5 + self._random.random() / 2)))
        update.events.append(
            (
                WARNING,
                "registry-break",
                {
                    "member": failed_member,
                    "why": reason,
                    "revision": self.revision,
                    "again_ms": (self._retry_at - now) // MS,
                },
            )
        )
        return update

    def confirm_current(self, now: int) -> None:
        """A response has proved the list to be current."""
        self.confirmed_at, self._failures = now, 0

    def tick(self, now: int, update: Update) -> None:
        """Log when the list becomes stale, each ``STALE_LOG_INTERVAL`` while it is, and when it is current again."""
        age = now - self.confirmed_at
        if age > self.max_age:
            if not self.is_stale or now - self._stale_logged_at >= STALE_LOG_INTERVAL:
                self.is_stale, self._stale_logged_at = True, now
                update.events.append(
                    (
                        ERROR,
                        "registry-stale",
                        {"age_s": age // SECOND, "entries": len(self.known_list.entries), "revision": self.revision},
                    )
                )
        elif self.is_stale:
            self.is_stale = False
            update.events.append((INFO, "registry-heard-again", {"revision": self.revision}))

    def settings_changed(self, member_count: int, max_age: int, now: int) -> None:
        """Adapt to settings that name other members, or another prefix or account.

        The whole list is read again; the cluster and revision of the old one are forgotten.
        """
        self.member_count, self.max_age = member_count, max_age
        self.member_index, self.state = self._random.randrange(member_count), State.LISTING
        self.cluster, self.revision, self._failures, self._retry_at = "", 0, 0, now

    def _accepts(self, now: int, cluster: str, revision: int, update: Update) -> bool:
        """Whether to accept a response; if not, its member is passed over."""
        if self.cluster and cluster and cluster != self.cluster:
            self.member_failed(now, f"member of another cluster: {cluster}, expected {self.cluster}", update)
            return False
        if revision < self.revision:
            self.member_failed(
                now, f"member is behind: at revision {revision}, expected at least {self.revision}", update
            )
            return False
        self.cluster = self.cluster or cluster
        return True


class EtcdSync(Sync):
    """etcd: reads the list in pages, then watches it."""

    def __init__(self, known_list: KnownList, member_count: int, max_age: int, now: int, random: Random) -> None:
        super().__init__(known_list, member_count, max_age, now, random)
        self._pinned_revision = 0
        self._page_after = ""
        self._seen_keys: set[str] = set()
        self._has_snapshot = False  # a complete list was read; the watch continues from it
        self._relist_count = 0
        self._mismatch_revision = (
            -1
        )  # revision of this list when a check disagreed that the next one must confirm; -1: none
        # By key, the revisions of deletions in an incomplete change, which is sent again after a failure.
        self._pending_removals: dict[str, int] = {}

    def next_request(self, now: int) -> Request:
        """The next request to send, or how long to wait first."""
        if now < self._retry_at:
            return Pause(self._retry_at)
        if self._has_snapshot:
            self.state = State.WATCHING
            return WatchRequest(self.revision + 1)
        self.state = State.LISTING
        return PageRequest(self._page_after, self._pinned_revision)

    def settings_changed(self, member_count: int, max_age: int, now: int) -> None:
        """See ``Sync.settings_changed``."""
        super().settings_changed(member_count, max_age, now)
        self._restart_list()

    def _restart_list(self) -> None:
        self._has_snapshot, self._pinned_revision, self._page_after = False, 0, ""
        self._seen_keys = set()

    def member_failed(self, now: int, reason: str, update: Update | None = None, wait: int = 0) -> Update:
        """See ``Sync.member_failed``. An incomplete list is read again: another member may lack its revision."""
        if not self._has_snapshot:
            self._restart_list()
        return super().member_failed(now, reason, update, wait)

    def receive_page(self, now: int, cluster: str, revision: int, items: list[Item], more: bool) -> Update:
        """Apply a page of the list. ``revision`` is the member's current one, not the pinned one."""
        update = Update()
        if not self._accepts(now, cluster, max(revision, 1), update):
            return update
        if not self._pinned_revision:
            self._pinned_revision = revision
        if revision < self._pinned_revision or any(item.revision > self._pinned_revision for item in items):
            return self.member_failed(now, f"page is not at revision {self._pinned_revision}", update)
        if more and not items:
            return self.member_failed(now, "empty page that is not the last", update)
        for item in items:
            self._seen_keys.add(item.key)
            self.known_list.put(item, update)
        if more:
            self._page_after = items[-1].key
            return update
        self.known_list.retain_only(self._seen_keys, update)
        self.known_list.change_completed(update)
        first, self.listed = not self.listed, True
        self.revision, self._relist_count = self._pinned_revision, 0
        self._restart_list()
        self._has_snapshot = True
        self.confirm_current(now)
        update.events.append(
            (
                INFO,
                "registry-listed",
                {"entries": len(self.known_list.entries), "revision": self.revision, "first": first},
            )
        )
        return update

    def revision_compacted(self, now: int, oldest: int) -> Update:
        """The requested revision was compacted: read the whole list again and compare it with the known one.

        ``oldest`` is the oldest revision available, or 0 if unknown.
        """
        update = Update(events=[(WARNING, "registry-compacted", {"asked": self.revision + 1, "oldest": oldest})])
        self._restart_list()
        self._relist_count += 1
        if self._relist_count > MAX_RELISTS:  # reading a list takes longer than the registry keeps revisions
            return self.member_failed(now, "compacted repeatedly while listing", update)
        return update

    def watch_created(self, now: int, cluster: str, revision: int) -> Update:
        """A member, which is at this revision, has created the watch."""
        update = Update()
        if self._accepts(now, cluster, revision, update):
            self.confirm_current(now)
        return update

    def receive_changes(
        self, now: int, cluster: str, revision: int, items: list[Item], complete: bool = True
    ) -> Update:
        """Apply changes from the watch. Without any, the response reports progress up to ``revision``.

        ``complete``: no further fragment of these changes follows.
        """
        update = Update()
        if self.cluster and cluster and cluster != self.cluster:
            return self.member_failed(now, f"member of another cluster: {cluster}, expected {self.cluster}", update)
        if not items and revision < self.revision:
            return self.member_failed(
                now, f"progress is behind: at revision {revision}, expected at least {self.revision}", update
            )
        for item in items:
            entry = self.known_list.entries.get(item.key)
            known_revision = entry.revision if entry is not None else self._pending_removals.get(item.key, 0)
            if item.revision <= max(known_revision, self.revision):
                continue  # already applied: a resumed watch may repeat a change
            if item.value is None:
                self.known_list.drop(item.key, update)
                self._pending_removals[item.key] = item.revision
            else:
                self.known_list.put(item, update)
        if complete:
            self.revision = max(
                [self.revision, *(item.revision for item in items)] if items else [self.revision, revision]
            )
            self._pending_removals.clear()
            self.known_list.change_completed(update)
            self.confirm_current(now)
        return update

    def receive_check(self, now: int, cluster: str, revision: int, newest: int, count: int) -> Update:
        """Compare the list with the registry's number of keys and its newest key's revision, read beside the watch.

        One disagreement may be due to a change in transit. A second one while the list is still at the same revision
        means that the watch no longer delivers changes.
        """
        update = Update()
        if not self._accepts(now, cluster, revision, update):
            return update
        if newest <= self.revision and count == len(self.known_list.entries):
            self._mismatch_revision = -1
            self.confirm_current(now)
        elif self._mismatch_revision == self.revision:
            self._mismatch_revision = -1
            self._restart_list()
            return self.member_failed(
                now,
                f"watch delivers no changes: {count} keys up to {newest}, "
                f"held {len(self.known_list.entries)} up to {self.revision}",
                update,
            )
        else:
            self._mismatch_revision = self.revision
        return update

    @property
    def check_disagreed(self) -> bool:
        """Whether the last check disagreed, and the list is still at that revision: the next one should follow soon."""
        return self._mismatch_revision == self.revision


class ConsulSync(Sync):
    """Consul: blocking reads of the whole list."""

    def __init__(
        self,
        known_list: KnownList,
        member_count: int,
        max_age: int,
        now: int,
        random: Random,
        allow_stale: bool = False,
    ) -> None:
        super().__init__(known_list, member_count, max_age, now, random)
        self.allow_stale = allow_stale  # whether any member may respond, even one that knows no leader
        self._seen_keys: set[str] = set()
        self._response_index = 0  # index of the response that is being read
        self._index_decreased = False  # a response had a lower index, which a consistent read confirms or refutes
        self._requested_at = now
        self._unchanged_responses = 0  # consecutive responses that arrived within a second with nothing new

    def next_request(self, now: int) -> Request:
        """The next request to send, or how long to wait first."""
        if now < self._retry_at:
            return Pause(self._retry_at)
        self._requested_at = now
        if self._index_decreased:
            self.state = State.LISTING
            return ReadRequest(0, True)
        self.state = State.WATCHING if self.revision else State.LISTING
        return ReadRequest(self.revision if self.listed else 0)  # 0 at first: a saved list may lack later changes

    def settings_changed(self, member_count: int, max_age: int, now: int) -> None:
        """See ``Sync.settings_changed``."""
        super().settings_changed(member_count, max_age, now)
        self._index_decreased = False

    def begin_response(self, now: int, index: int | None, knows_leader: bool, last_contact_ms: int) -> Update | None:
        """Check the head of a response: its index, and the member's contact with a leader.

        ``last_contact_ms`` is how many milliseconds ago the member last heard from the leader. Returns an update if the
        response is rejected; otherwise its items are to be passed to ``receive_items``.
        """
        self._seen_keys = set()
        if index is None:
            return self.member_failed(now, "response has no X-Consul-Index header")
        if not knows_leader and not self.allow_stale:
            return self.member_failed(now, "the member knows no leader")
        if last_contact_ms * MS > self.max_age:
            return self.member_failed(now, f"the member's last contact with its leader was {last_contact_ms} ms ago")
        index = max(1, index)  # with an index of 0 the next read would not block
        if index < self.revision and not self._index_decreased:
            # The registry was restored, or this member lags: its list must not bring back removed entries.
            self._index_decreased = True
            update = self.member_failed(now, f"index decreased to {index} from {self.revision}")
            self._retry_at = now + MIN_READ_INTERVAL
            return update
        self._response_index = index
        return None

    def receive_items(self, now: int, items: list[Item]) -> Update:
        """Apply some keys of the response."""
        update = Update()
        for item in items:
            self._seen_keys.add(item.key)
            self.known_list.put(item, update)
        return update

    def finish_response(self, now: int) -> Update:
        """The response is complete: remove the keys that it lacks."""
        update = Update()
        self.known_list.retain_only(self._seen_keys, update)
        self.known_list.change_completed(update)
        self._seen_keys = set()
        if self._index_decreased:
            update.events.append((ERROR, "registry-index-back", {"from": self.revision, "to": self._response_index}))
        first, self.listed = not self.listed, True
        if first or self._index_decreased:
            update.events.append(
                (
                    INFO,
                    "registry-listed",
                    {"entries": len(self.known_list.entries), "revision": self._response_index, "first": first},
                )
            )
        self._unchanged_responses = (
            self._unchanged_responses + 1
            if self._response_index == self.revision and now - self._requested_at < SECOND
            else 0
        )
        self._index_decreased, self.revision = False, self._response_index
        self.confirm_current(now)
        # Prevents a busy loop of reads that return at once, be it with nothing new or as the list changes constantly.
        self._retry_at = self._requested_at + min(SECOND, MIN_READ_INTERVAL << min(self._unchanged_responses, 4))
        return update
