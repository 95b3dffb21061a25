"""Follows one registry: sends the requests of sync.py, and passes its updates to the courier in batches."""

from __future__ import annotations

import time
import traceback
from random import Random

from kestrelspar.core import entries
from kestrelspar.core.courier import Courier
from kestrelspar.core.transport_map import Carrier, NextHop
from kestrelspar.journal.removal_log import RemovalLog
from kestrelspar.registry import saved_list
from kestrelspar.registry.consul import Consul
from kestrelspar.registry.etcd import Etcd, WatchResponse, items_from_events, items_from_key_values
from kestrelspar.registry.link import MemberConnection, RegistryError, RevisionCompactedError
from kestrelspar.registry.sync import (
    ConsulSync,
    EtcdSync,
    Item,
    KnownList,
    PageRequest,
    Pause,
    ReadRequest,
    Update,
    WatchRequest,
)
from kestrelspar.runtime import heap, logs
from kestrelspar.runtime.buffers import BufferPool
from kestrelspar.runtime.loop import MS, SECOND, Loop
from kestrelspar.settings.resolve import Registry

BATCH_SIZE = 200  # entries passed to the decision module before other tasks of the event loop run
RECHECK_DELAY = 1 * SECOND  # after a check that disagreed with the watch; also how often a silent watch is looked at
# Minimum between two periodic writes of the saved list. A removal that its log lacks is saved at once.
SAVE_INTERVAL = 10 * SECOND
MAX_RETRY_AFTER = 10 * SECOND  # sent to clients while a stale or missing list defers new messages


class SettingsChanged(Exception):
    """The settings changed while a request was in progress."""


class Follower:
    """Follows the registry of one section, in two tasks, ``run`` and ``_maintain``, until its settings change."""

    def __init__(
        self,
        loop: Loop,
        buffers: BufferPool,
        courier: Courier,
        carrier: Carrier,
        config: Registry,
        state_directory: str | None,
        seed: int,
    ) -> None:
        self.loop, self.buffers, self.courier, self.carrier = loop, buffers, courier, carrier
        self.config, self.source = config, f"registry {config.label}"
        # None: no list is saved.
        self._list_file = saved_list.path(state_directory, config.label) if state_directory is not None else None
        self._removal_log = (
            None
            if self._list_file is None
            else RemovalLog(self._list_file.with_suffix(".left"), _max_removals_bytes(config))
        )
        self._random = Random(seed)
        self.known_list = KnownList(self._parse)
        self.sync = self._create_sync()
        self._links: list[MemberConnection] = []
        self._clients: list[Etcd | Consul] = []
        self._generation = 0  # increases when the settings change; tasks of an older generation end
        self._has_unsaved_changes = False  # the list has changed since it was last saved
        self._save_error = ""  # why the last attempt to save the list failed; empty: it succeeded
        self._saving = False
        self._create_connections()

    def _create_sync(self) -> EtcdSync | ConsulSync:
        section = self.config.section
        if section.type == "etcd":
            return EtcdSync(self.known_list, len(section.servers), section.patience, self.loop.now, self._random)
        return ConsulSync(
            self.known_list,
            len(section.servers),
            section.patience,
            self.loop.now,
            self._random,
            section.consistency == "stale",
        )

    def _create_connections(self) -> None:
        section = self.config.section
        for link in self._links:
            link.close()
        self._links = [
            MemberConnection(
                self.loop, self.buffers, server, section.answer_within, self.config.tls_context, section.server_name
            )
            for server in section.servers
        ]
        self._clients = [
            Etcd(link, self.config) if section.type == "etcd" else Consul(link, self.config) for link in self._links
        ]

    def _make_hop(self, entry: entries.Entry) -> NextHop:
        return entries.to_next_hop(entry, self.courier.settings, self.carrier)

    def _parse(self, value: bytes) -> NextHop:
        return self._make_hop(entries.decode(value))

    # Start, change of settings, stop

    def start(self) -> None:
        """Restore the saved list, if there is one, and begin to follow the registry."""
        self.courier.map.pending_sources.add(self.source)
        self._restore_list()
        self._tick()
        self.loop.spawn(self._maintain, self._generation)
        self.loop.spawn(self.run, self._generation)

    def apply_settings(self, config: Registry) -> None:
        """Apply settings that were reloaded on SIGHUP: other members, prefix or token, or the same ones again.

        The current list is used until the new one is complete, and then compared with it. New requests begin at once;
        tasks with the old settings end.
        """
        same = config.section.type == self.config.section.type
        self.config = config
        self._generation += 1
        self._create_connections()
        if same:
            self.sync.settings_changed(len(config.section.servers), config.section.patience, self.loop.now)
        else:
            before = self.sync
            self.sync = self._create_sync()
            self.sync.confirmed_at, self.sync.listed = before.confirmed_at, before.listed
        logs.event("registry-moves", registry=config.label, to=_servers(config), prefix=config.section.prefix)
        self.loop.spawn(self._maintain, self._generation)
        self.loop.spawn(self.run, self._generation)

    def stop(self) -> None:
        """Stop following, as the section was removed or disabled.

        Its endpoints are no longer used, and its files are deleted.
        """
        self._generation += 1
        for link in self._links:
            link.close()
        self.courier.stale.pop(self.source, None)
        self.courier.map.pending_sources.discard(self.source)
        self.courier.apply_map_update(self.source, [], complete=True)
        if self._list_file is not None:
            self._list_file.unlink(missing_ok=True)
        if self._removal_log is not None:
            self._removal_log.clear()
        logs.event("registry-left", registry=self.config.label)

    def run(self, generation: int) -> None:
        """Send the requests that the sync returns, until the settings change or ``stop`` is called."""
        while generation == self._generation:
            request = self.sync.next_request(self.loop.now)
            try:
                if isinstance(request, Pause):
                    self.loop.sleep(max(0, request.until - self.loop.now))
                else:
                    self._send(request, generation)
            except SettingsChanged:
                return
            except RevisionCompactedError as error:
                if generation == self._generation and isinstance(self.sync, EtcdSync):
                    self._apply(self.sync.revision_compacted(self.loop.now, error.oldest), generation)
            except RegistryError as error:
                if generation == self._generation:
                    self._apply(self.sync.member_failed(self.loop.now, str(error), wait=error.wait), generation)
            except Exception:
                # A defect in the code that reads a registry must not end this task.
                logs.error("fault", task=f"follower {self.config.label}", why=traceback.format_exc())
                if generation == self._generation:
                    self._apply(self.sync.member_failed(self.loop.now, "internal error"), generation)

    def _send(self, request: PageRequest | WatchRequest | ReadRequest, generation: int) -> None:
        client = self._clients[self.sync.member_index]
        if isinstance(request, ReadRequest):
            assert isinstance(client, Consul)
            self._read_list(client, request, generation)
            return
        assert isinstance(client, Etcd) and isinstance(self.sync, EtcdSync)
        if isinstance(request, WatchRequest):
            self._watch(client, request, generation)
            return
        page = client.page(request.after, request.revision, self.config.section.page)
        self._check_generation(generation)
        self._apply(
            self.sync.receive_page(
                self.loop.now,
                str(page.header.cluster_id),
                page.header.revision,
                items_from_key_values(page.kvs),
                page.more,
            ),
            generation,
        )

    def _check_generation(self, generation: int) -> None:
        if generation != self._generation:
            raise SettingsChanged

    def _watch(self, client: Etcd, request: WatchRequest, generation: int) -> None:
        """Run one watch, and compare the list with the registry at intervals of the section's ``check``.

        A check that disagreed is repeated after ``RECHECK_DELAY``. Returns when another member or a new list is needed;
        raises what the watch and the check raise, and ``SettingsChanged``.
        """
        sync = self.sync
        assert isinstance(sync, EtcdSync)
        member_index = sync.member_index
        link = MemberConnection(
            self.loop,
            self.buffers,
            self.config.section.servers[member_index],
            self.config.section.answer_within,
            self.config.tls_context,
            self.config.section.server_name,
        )
        self._links.append(link)  # so that ``apply_settings`` and ``stop`` close it
        watcher = Etcd(link, self.config, client.auth)
        checked_at, silence = self.loop.now, min(RECHECK_DELAY, self.config.section.check)
        try:
            for response in watcher.watch(request.revision, silence):
                self._check_generation(generation)
                if response is not None:
                    self._apply_watch_response(response, generation)
                if sync.member_index != member_index:  # another member is used from now on
                    return
                next_check_at = checked_at + (RECHECK_DELAY if sync.check_disagreed else self.config.section.check)
                if self.loop.now >= next_check_at:
                    checked_at = self.loop.now
                    page = client.check()
                    self._check_generation(generation)
                    newest = max((pair.mod_revision for pair in page.kvs), default=0)
                    self._apply(
                        sync.receive_check(
                            self.loop.now, str(page.header.cluster_id), page.header.revision, newest, page.count
                        ),
                        generation,
                    )
                    if sync.member_index != member_index or sync.state is not sync.state.WATCHING:
                        return
        finally:
            link.close()
            if link in self._links:
                self._links.remove(link)

    def _apply_watch_response(self, response: WatchResponse, generation: int) -> None:
        """Apply one response of a watch, its events in batches; one without events reports progress or the creation."""
        assert isinstance(self.sync, EtcdSync)
        cluster, revision = str(response.header.cluster_id), response.header.revision
        if response.created and not response.events:
            self._apply(self.sync.watch_created(self.loop.now, cluster, revision), generation)
            return
        changed_items = items_from_events(response.events)
        for start in range(0, max(1, len(changed_items)), BATCH_SIZE):
            batch: list[Item] = changed_items[start : start + BATCH_SIZE]
            last = start + BATCH_SIZE >= len(changed_items)
            self._apply(
                self.sync.receive_changes(self.loop.now, cluster, revision, batch, last and not response.fragment),
                generation,
            )

    def _read_list(self, client: Consul, request: ReadRequest, generation: int) -> None:
        """Read Consul's whole list once, and apply it as it arrives."""
        sync = self.sync
        assert isinstance(sync, ConsulSync)
        head, index, knows_leader, last_contact_ms = client.read(request.index, request.consistent)
        self._check_generation(generation)
        rejection = sync.begin_response(self.loop.now, index, knows_leader, last_contact_ms)
        if rejection is not None:
            client.connection.close()  # its body is not read
            self._apply(rejection, generation)
            return
        heap.disable_collection()
        try:
            for batch in client.item_batches(head):
                self._check_generation(generation)
                for start in range(0, len(batch), BATCH_SIZE):
                    self._apply(sync.receive_items(self.loop.now, batch[start : start + BATCH_SIZE]), generation)
            self._check_generation(generation)
            self._apply(sync.finish_response(self.loop.now), generation)
        finally:
            heap.enable_collection()

    # Updates

    def _apply(self, update: Update, generation: int) -> None:
        """Pass an update to the removal log, the event log and the courier.

        Removals and drains are applied first and in one piece: they must take effect within 500 ms of the read that
        reported them. Other tasks run between the batches of a large update; it raises ``SettingsChanged`` if the
        settings changed meanwhile.
        """
        # Removals are recorded before they are logged, as a reader of the log may kill the process at once.
        if (
            self._removal_log is not None
            and self.config.section.keep
            and not self._removal_log.record(update.states_by_key)
            and not self._save_error
        ):
            self.loop.spawn(self._save_list)  # the log of removals lacks some of them: save the list itself
        for level, name, fields in update.events:
            logs.event(name, level, registry=self.config.label, **fields)
        hops, removed = update.changed_hops(), update.removed_names()
        draining = [hop for hop in hops if hop.endpoint.state is not hop.endpoint.state.READY]
        ready = [hop for hop in hops if hop.endpoint.state is hop.endpoint.state.READY]
        for hop in draining:
            logs.event("map-leaves", source=self.source, hop=hop.name, state="draining")
        for removed_name in removed:
            logs.event("map-leaves", source=self.source, hop=removed_name.decode("utf-8", "replace"), state="gone")
        self._has_unsaved_changes = self._has_unsaved_changes or bool(hops or removed)
        if removed or draining:
            self.courier.apply_map_update(self.source, draining, removed=removed)
        for start in range(0, len(ready), BATCH_SIZE):
            self.courier.apply_map_update(self.source, ready[start : start + BATCH_SIZE])
            if len(ready) > BATCH_SIZE:
                self.loop.sleep(0)  # let other tasks run
                self._check_generation(generation)
        heap.count_new_entries(len(hops))
        if self.sync.listed:
            self.courier.map.pending_sources.discard(self.source)
        self._update_deferral()

    def _update_deferral(self) -> None:
        """Defer new messages while there is no list or it is stale, if ``on-stale`` is ``defer``.

        An empty list that the registry has sent is a list.
        """
        age = self.loop.now - self.sync.confirmed_at
        if self.config.section.on_stale == "defer" and (
            age > self.config.section.patience or not self.known_list.entries and not self.sync.listed
        ):
            self.courier.stale[self.source] = min(MAX_RETRY_AFTER, self.config.section.patience)
        else:
            self.courier.stale.pop(self.source, None)

    def _tick(self) -> None:
        update = Update()
        self.sync.tick(self.loop.now, update)
        self._apply(update, self._generation)

    def _maintain(self, generation: int) -> None:
        """Check the age of the list at intervals, retry writes of the removal log, and save a list that has changed."""
        interval = min(SECOND, max(50 * MS, self.config.section.patience // 10))
        saved_at = self.loop.now - SAVE_INTERVAL + interval  # so that the first save may follow after one interval
        while generation == self._generation:
            self.loop.sleep(interval)
            if generation != self._generation:
                return
            self._tick()
            must_save = (
                self._list_file is not None
                and self.config.section.keep
                and self.sync.listed
                and self._has_unsaved_changes
            )
            if self._removal_log is not None:
                self._removal_log.retry_write()
            if must_save and self.loop.now >= saved_at + SAVE_INTERVAL:
                saved_at = self.loop.now
                self._save_list()

    # The saved list

    def _restore_list(self) -> None:
        """Use the list that the previous process saved, whatever its age, until the registry sends a newer one.

        Deletes a list that is unusable or of another type or prefix, and with ``keep`` 0 also the removal log.
        """
        section = self.config.section
        if self._list_file is None or self._removal_log is None:
            return
        if not section.keep:
            self._list_file.unlink(missing_ok=True)
            self._removal_log.clear()
            return
        try:
            saved = saved_list.read(self._list_file, section.keep)
        except ValueError as error:
            logs.error("registry-kept-unusable", registry=self.config.label, why=str(error))
            self._list_file.unlink(missing_ok=True)
            return
        if saved is None:
            return
        if (saved.head.type, saved.head.prefix) != (section.type, section.prefix):
            logs.event("registry-kept-other", registry=self.config.label, prefix=saved.head.prefix)
            self._list_file.unlink(missing_ok=True)
            return
        update = Update()
        removed = self._removal_log.since(saved.head.told)
        self._removal_log.revision = max(self._removal_log.revision, saved.head.told)
        unusable = saved_list.restore(self.known_list, saved, self._make_hop, update, removed)
        self._has_unsaved_changes = bool(removed)
        age = max(0, time.time_ns() // 1_000_000 - saved.head.at_ms) * MS
        self.sync.confirmed_at = self.loop.now - age
        self.sync.cluster, self.sync.revision = saved.head.cluster, saved.head.revision
        logs.warn(
            "registry-kept",
            registry=self.config.label,
            entries=len(self.known_list.entries),
            lost=unusable or None,
            left_since=len(removed) or None,
            age_s=age // SECOND,
            revision=saved.head.revision,
        )
        self.courier.apply_map_update(self.source, update.changed_hops())

    def _save_list(self) -> None:
        assert self._list_file is not None and self._removal_log is not None
        if self._saving or not self.sync.listed:
            return  # before the first complete list, entries may be missing
        section, sync, removal_revision = self.config.section, self.sync, self._removal_log.revision
        confirmed_at_ms = time.time_ns() // 1_000_000 - (self.loop.now - sync.confirmed_at) // MS
        head = saved_list.ListHeader(
            format=saved_list.FORMAT,
            type=section.type,
            prefix=section.prefix,
            cluster=sync.cluster,
            revision=sync.revision,
            at_ms=confirmed_at_ms,
            count=len(self.known_list.entries),
            xxh64="",
            told=removal_revision,
        )
        self._has_unsaved_changes, self._saving = False, True
        try:
            size = saved_list.write(
                self._list_file,
                section.keep,
                head,
                list(self.known_list.entries.items()),
                self.courier.settings,
                lambda: self.loop.sleep(0),
            )
        except OSError as error:
            reason = str(error)
            self._has_unsaved_changes = True  # to be tried again, as there may be space later
        else:
            reason = "" if size else f"it takes more than {section.keep} bytes"
            if size:
                self._removal_log.drop_through(removal_revision)
        finally:
            self._saving = False
        if reason and reason != self._save_error:
            logs.warn("registry-not-kept", registry=self.config.label, why=reason)
        self._save_error = reason


def _max_removals_bytes(config: Registry) -> int:
    return config.section.keep // saved_list.REMOVALS_DIVISOR


def _servers(config: Registry) -> str:
    return " ".join(f"{host}:{port}" for host, port in config.section.servers)
