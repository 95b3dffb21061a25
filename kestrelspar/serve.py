"""Starts one courier: reads the configuration, assembles the components, and serves until a signal ends it."""

from __future__ import annotations

import errno
import gc
import os
import signal
import socket
import time
import zlib
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from kestrelspar import memory_limits
from kestrelspar.core import entries
from kestrelspar.core.courier import Courier
from kestrelspar.core.transport_map import NextHop
from kestrelspar.http.nexthop import HttpCarrier
from kestrelspar.http.notices import Notices, max_connections
from kestrelspar.http.sender import SenderServer
from kestrelspar.http.watch import MAX_REMOVALS_BYTES, Watch
from kestrelspar.journal import Journal
from kestrelspar.journal.removal_log import RemovalLog
from kestrelspar.registry import saved_list
from kestrelspar.runtime import heap, logs, signals
from kestrelspar.runtime.buffers import BUFFER_SIZE, BufferPool
from kestrelspar.runtime.loop import BACKLOG, MS, Loop, bind
from kestrelspar.runtime.memory import ResidentMemory
from kestrelspar.runtime.memory_monitor import MemoryMonitor
from kestrelspar.settings import conf as conf_file
from kestrelspar.settings import platform, resolve, schema
from kestrelspar.settings.lines import ConfErrors
from snowlock import interface as api
from snowlock.settings import SettingsError

if TYPE_CHECKING:
    from kestrelspar.keys import TlsStore  # imports ssl, which is loaded only where it is needed
    from kestrelspar.peers.link import PeerLink
    from kestrelspar.registry.follower import Follower

BUFFER_MEMORY_DIVISOR = 8  # read buffers take at most one eighth of the memory
MIN_CLIENT_CONNECTIONS = 8  # however few descriptors there are
MAX_SAVED_LISTS_FRACTION = 0.5  # of the disk limit, for registries' saved lists; the journal needs the rest
# How long a start waits for the first lists of discovery and registries, and how often it looks whether they are there.
INITIAL_LIST_TIMEOUT, INITIAL_LIST_POLL_INTERVAL = 200 * MS, 2 * MS
# Failures of the machine that a start waits out, for how long in seconds, and how often it tries again. An address that
# another process uses, or a folder that does not exist, ends the start at once.
MOMENTARY_ERRORS = frozenset(
    {
        errno.EAGAIN,
        errno.EDQUOT,
        errno.EINTR,
        errno.EIO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,
    }
)
START_RETRY_TIME_S, START_RETRY_DELAY_S = 20.0, 0.05
T = TypeVar("T")
# Fields of the platform's configuration that a reload does not apply.
RESTART_ONLY = ("name", "listen", "state", "sockets", "memory", "disk_bytes", "settings")


class StartupConfig:
    """The configuration that the program starts with.

    Raises ``ValueError`` for the first source that has errors: the platform's JSON, the configuration file, or files
    that it refers to. A ``ConfErrors`` or ``SettingsError`` names several of them; a plug-in script or a transport map
    file is reported with its first error only.
    """

    def __init__(self, environment: Mapping[str, str]) -> None:
        self.platform = platform.read(environment)
        self.conf = conf_file.load(conf_file.configuration_path(environment), environment)
        self.log = self.conf.values_of(schema.Log)
        self.smpp = resolve.smpp(self.conf, self.platform.settings)
        self.keys = resolve.keys(self.conf)
        self.registries = resolve.registries(self.conf)
        if self.keys is not None:
            self.registries = self.keys.with_tls(self.registries)
        self.peer_keys = resolve.peer_keys(self.conf)
        plugin_settings = self.conf.values_of(schema.Plugins)
        scripts = plugin_settings.scripts if plugin_settings.enabled else ()
        self.rules = []
        if scripts:
            # Disabled features are not imported, here and below: each import delays the start of the whole fleet.
            from kestrelspar import plugins

            self.rules = [rule for name in scripts for rule in plugins.read(Path(name))]
        reserved = sum(saved_list.reserve(r.section.keep) for r in self.registries)
        if reserved > MAX_SAVED_LISTS_FRACTION * self.platform.disk_bytes:
            section = next(s for s in self.conf.sections_of(schema.Registry) if s.label == self.registries[0].label)
            raise ConfErrors(
                [
                    section.error(
                        "keep",
                        f"saved lists may take {reserved} bytes, with old and new copy, and the "
                        f"journal needs half of the {self.platform.disk_bytes} bytes "
                        f"of limits.disk_mb",
                    )
                ]
            )
        self.saved_lists_bytes = reserved  # disk space reserved for saved lists
        self.maps: dict[str, list[entries.Entry]] = {}
        for section in self.conf.sections_of(schema.Map):
            assert isinstance(section.values, schema.Map)
            try:
                self.maps[section.label] = entries.read_map(section.values.file)
                for entry in self.maps[section.label]:
                    entries.to_next_hop(entry, self.platform.settings, _NULL_CARRIER)
            except ValueError as error:
                raise ConfErrors([section.error("file", str(error))]) from error


class _NullCarrier:
    """A placeholder for the carrier that a next hop needs, used to validate map entries."""

    def attempt(self, message: object, hop: NextHop, deadline: int, guard: Callable[[], bool]) -> object:
        """Never called."""
        raise NotImplementedError

    def close_idle(self, hop: NextHop) -> None:
        """Does nothing, as there are no connections."""


_NULL_CARRIER = _NullCarrier()


def report_invalid_configuration(error: ValueError) -> int:
    """Logs each configuration error; returns the exit code, which is 2."""
    errors = list(map(str, error.errors)) if isinstance(error, ConfErrors | SettingsError) else [str(error)]
    for text in errors:
        logs.error("configuration", why=text)
    return 2


class Registries:
    """The registries that are followed, and the connection pool to their endpoints."""

    def __init__(self, loop: Loop, buffers: BufferPool, courier: Courier, config: StartupConfig) -> None:
        self._loop, self._buffers, self._courier, self._config = loop, buffers, courier, config
        self._followers: dict[str, Follower] = {}
        self._carrier: HttpCarrier | None = None  # created when needed, as the platform uses no registry
        self._max_idle = config.platform.sockets // 8 if config.registries else 8
        # For idle connections to next hops, and for each registry's list request, watch and state file.
        self.descriptors = self._max_idle + 4 * len(config.registries) if config.registries else 0

    def follow(self, registries: list[resolve.Registry]) -> None:
        """Follows exactly these registries: starts new ones, reconfigures known ones, stops those that are missing."""
        wanted = {registry.label: registry for registry in registries}
        for label in [label for label in self._followers if label not in wanted]:
            self._followers.pop(label).stop()
        for label, registry in wanted.items():
            if label in self._followers:
                self._followers[label].apply_settings(registry)
                continue
            if self._carrier is None:
                self._carrier = HttpCarrier(self._loop, self._buffers, self._config.platform.settings, self._max_idle)
            from kestrelspar.registry.follower import Follower

            seed = self._config.platform.seed ^ zlib.crc32(label.encode())
            self._followers[label] = Follower(
                self._loop, self._buffers, self._courier, self._carrier, registry, self._config.platform.state, seed
            )
            self._followers[label].start()


def _reload(
    environment: Mapping[str, str],
    config: StartupConfig,
    watch: Watch,
    notices: Notices,
    registries: Registries,
    link: PeerLink | None,
) -> None:
    """Reloads the configuration on SIGHUP.

    Follows discovery and registries to their new addresses, applies the log settings, reloads TLS files, and changes
    the peer keys or stops talking to peers. Changes that require a restart are logged: of the platform's fields in
    ``RESTART_ONLY``, of the sections for SMPP, plug-ins and maps, and the first use of peers. Other changes in the
    section ``peers`` are neither applied nor logged. Open messages are not affected. An invalid configuration changes
    nothing.
    """
    try:
        new_config = platform.read(environment, reload=True)
        conf = conf_file.load(conf_file.configuration_path(environment), environment)
        followed, secrets = resolve.registries(conf), resolve.peer_keys(conf)
        if config.keys is None and resolve.keys(conf) is not None:
            raise ValueError("tls: adding the first certificate or key requires a restart")
        if sum(saved_list.reserve(r.section.keep) for r in followed) > config.saved_lists_bytes:
            raise ValueError(
                "registry.keep: saved lists may take no more disk space than at the start (restart, or set keep 0B)"
            )
        if config.keys is not None:  # last, as this takes effect at once and an invalid configuration must not
            config.keys.reload_files(conf)
            followed = config.keys.with_tls(followed)
    except ValueError as error:
        errors = error.errors if isinstance(error, ConfErrors | SettingsError) else [error]
        for each in errors:
            logs.error("configuration-not-taken", why=str(each))
        return
    needs_restart = [key for key in RESTART_ONLY if getattr(new_config, key) != getattr(config.platform, key)]
    needs_restart += [
        title
        for title in ("smpp", "smpp-account", "smpp-gateway", "plugins", "map")
        if [s.values for s in conf.sections.get(title, [])] != [s.values for s in config.conf.sections.get(title, [])]
    ]
    logs.set_up(conf.values_of(schema.Log).format, conf.values_of(schema.Log).level)
    registries.follow(followed)
    if link is not None:
        link.reload(conf.values_of(schema.Peers), secrets)
    elif secrets:
        needs_restart.append("peers")
    logs.event("configuration-read", at_next_start=" ".join(needs_restart) or None)
    if new_config.discovery != watch.discovery:
        logs.event("discovery-moves", to=f"{new_config.discovery[0]}:{new_config.discovery[1]}")
        watch.move(new_config.discovery)
        notices.move(new_config.discovery)


def _buffer_limits(memory: int, settings: api.Settings) -> tuple[int, int]:
    """The maximum number of read buffers, and how many of them are reserved for responses to the courier's requests."""
    max_buffers = max(32, memory // BUFFER_MEMORY_DIVISOR // BUFFER_SIZE)
    return max_buffers, min(max_buffers // 2, settings.slots + 16)


def split_descriptors(sockets: int, slots: int) -> tuple[int, int]:
    """Splits the descriptor limit: returns the numbers for clients' connections and for idle ones to next hops.

    The others are reserved for delivery attempts, responses that are still being read, discovery, notices, listeners
    and files, so that clients which use up their share cannot block these. ``slots`` is counted twice: for an attempt
    and for the rest of an earlier response. With a very small limit, the minimums of 8 and 4 may exceed it.
    """
    others = max(16, min(32, sockets // 4), sockets // 16)
    rest = sockets - 2 * slots - others - max_connections(sockets)
    idle = max(4, min(sockets // 4, rest // 2))
    return max(MIN_CLIENT_CONNECTIONS, rest - idle), idle


def main(environment: Mapping[str, str] = os.environ) -> int:
    """Runs the courier; returns its exit code.

    0: ended by SIGTERM or SIGINT. 2: the configuration is invalid, the state directory is unusable, or an address
    cannot be bound.
    """
    signal_socket = _retry_at_start(signals.open_signal_socket)
    # Reading a long list creates no reference cycles, and garbage collection took half of the start time.
    heap.disable_collection()
    try:
        startup = StartupConfig(environment)
    except ValueError as error:
        return report_invalid_configuration(error)
    logs.set_up(startup.log.format, startup.log.level)
    config, smpp = startup.platform, startup.smpp
    loop = Loop()
    buffers = BufferPool(*_buffer_limits(config.memory, config.settings))
    max_clients, max_idle = split_descriptors(config.sockets, config.settings.slots)
    resident = ResidentMemory()
    try:
        for name in saved_list.remove_unused(config.state, [registry.label for registry in startup.registries]):
            logs.event("registry-kept-removed", file=name)
        other_files = startup.saved_lists_bytes + RemovalLog.max_disk_usage(MAX_REMOVALS_BYTES)
        memory = memory_limits.divide(
            config.memory,
            resident.read(),
            config.settings.slots,
            config.disk_bytes - other_files,
            other_files,
            max_clients,
        )
        journal = _retry_at_start(lambda: Journal(config.state, memory.journal, config.settings.max_attempts))
        listener = _retry_at_start(lambda: bind(config.listen))
        smpp_listener = None if smpp is None else _retry_at_start(lambda: bind(smpp.listen))
    except OSError as error:  # a state directory that is not writable, or an address in use
        logs.error("can't-start", why=str(error))
        return 2
    if memory.is_scarce:
        logs.warn("memory-scarce", left=memory.account.free, memory_mb=config.memory // 1_000_000)
    courier = Courier(loop, config.settings, config.seed, journal, memory.account)
    loop.spawn(MemoryMonitor(loop, memory.account, resident).run)
    carrier = HttpCarrier(loop, buffers, config.settings, max_idle)
    notices = Notices(loop, buffers, config.discovery, max_connections(config.sockets))
    courier.senders[notices.name] = notices
    courier.busy_checks.append(notices.has_pending)
    reserved_descriptors = config.sockets - max_clients
    if startup.maps:
        reserved_descriptors += config.sockets // 8
        # For the next hops of transport map files.
        map_carrier = HttpCarrier(loop, buffers, config.settings, config.sockets // 8)
        for label, rows in startup.maps.items():
            courier.apply_map_update(
                f"map {label}", [entries.to_next_hop(row, config.settings, map_carrier) for row in rows], complete=True
            )
    front_ends: list[Callable[[], None]] = []  # the functions that open the front ends
    if smpp is not None and smpp_listener is not None:
        reserved_descriptors += _add_smpp(
            smpp, smpp_listener, loop, buffers, courier, config.seed, startup.keys, front_ends
        )
    if startup.rules:
        from kestrelspar import plugins

        courier.hooks.append(plugins.Plugins(loop, config.settings, startup.rules))
        logs.event("plugins", rules=len(startup.rules))
    link = None
    if startup.peer_keys:
        from kestrelspar.peers.link import PeerLink  # only where enabled, as the platform's memory is small

        reserved_descriptors += 2
        try:
            link = PeerLink(
                loop,
                courier,
                config.name,
                startup.conf.values_of(schema.Peers),
                startup.peer_keys,
                config.state,
                config.seed,
            )
        except OSError as error:
            logs.error("can't-start", why=f"peers.listen: {error}")
            return 2
        front_ends.append(link.start)
    registries = Registries(loop, buffers, courier, startup)
    reserved_descriptors += registries.descriptors
    client_descriptors = max(MIN_CLIENT_CONNECTIONS, config.sockets - reserved_descriptors)
    server = SenderServer(loop, buffers, courier, notices, min(client_descriptors, memory.connections))
    watch = Watch(loop, buffers, courier, carrier, config.discovery, config.seed, config.state)
    loop.spawn(
        signals.handle_signals,
        loop,
        signal_socket,
        {
            signal.SIGTERM: courier.close,
            signal.SIGINT: courier.close,
            signal.SIGHUP: partial(_reload, environment, startup, watch, notices, registries, link),
        },
    )
    if config.known:
        watch.load_known(config.known)
    registries.follow(startup.registries)
    if startup.keys is not None:
        loop.spawn(startup.keys.watch, loop)
    loop.spawn(watch.run)
    loop.spawn(notices.open_connections)
    front_ends.append(partial(_open_front_end, loop, listener, server.accept))
    loop.spawn(_open_front_ends, courier, front_ends, config)
    gc.freeze()
    heap.enable_collection()
    loop.run()
    return 0 if courier.closing is not None else 2


def _retry_at_start(call: Callable[[], T]) -> T:
    """Make a call of the start; failures that may end by themselves are retried for ``START_RETRY_TIME_S``."""
    deadline = time.monotonic() + START_RETRY_TIME_S
    while True:
        try:
            return call()
        except OSError as error:
            if error.errno not in MOMENTARY_ERRORS or time.monotonic() >= deadline:
                raise
            logs.warn("start-retried", why=str(error))
        time.sleep(START_RETRY_DELAY_S)


def _open_front_ends(courier: Courier, front_ends: list[Callable[[], None]], config: platform.Config) -> None:
    """Waits for a current list, recovers messages from the journal, then opens the front ends.

    The wait prevents delivery attempts to endpoints that began to drain while the courier was down: a change counts as
    known from when discovery had it, not from when the courier requested it. No front end may open before ``resume``,
    which would also recover the messages that it had just accepted, and send them twice.
    """
    # Where discovery must be polled, couriers spread their first requests at random, so a start waits for only one
    # interval.
    deadline = courier.loop.now + (
        INITIAL_LIST_POLL_INTERVAL if config.settings.must_subscribe else INITIAL_LIST_TIMEOUT
    )
    while courier.map.pending_sources and courier.loop.now < deadline:
        courier.loop.sleep(INITIAL_LIST_POLL_INTERVAL)
    courier.resume()
    try:
        for open_front_end in front_ends:
            open_front_end()
    except OSError as error:  # another process bound to the same address has begun to listen
        logs.error("can't-start", why=str(error))
        courier.loop.stop()
        return
    courier.ready = courier.closing is None
    logs.event(
        "serves",
        courier=config.name,
        listen=f"{config.listen[0]}:{config.listen[1]}",
        hops=len(courier.map.hops),
        slots=config.settings.slots,
        most_open=config.settings.max_open,
        sockets=config.sockets,
        memory_mb=config.memory // 1_000_000,
        unheard=" ".join(sorted(courier.map.pending_sources)) or None,
    )


def _open_front_end(loop: Loop, listener: socket.socket, accept: Callable[[socket.socket], None]) -> None:
    """Opens a front end: starts to listen and to accept connections.

    The socket does not listen before that. A request that arrived during the start would wait unread, and as a
    message's lifetime runs from when it was sent, its final state would be late by that wait.
    """
    _retry_at_start(lambda: listener.listen(BACKLOG))
    loop.spawn(accept, listener)


def _add_smpp(
    config: resolve.Smpp,
    listener: socket.socket,
    loop: Loop,
    buffers: BufferPool,
    courier: Courier,
    seed: int,
    keys: TlsStore | None,
    front_ends: list[Callable[[], None]],
) -> int:
    """Prepares the SMPP front end, adds its opener to ``front_ends``, and returns how many descriptors it may need."""
    from kestrelspar.smpp.client import SmppCarrier  # only where enabled, as the platform's memory is small
    from kestrelspar.smpp.inbound import InboundMessages
    from kestrelspar.smpp.server import SmppServer

    inbound = InboundMessages(courier, lambda gateway, pdu: server.forward_alert(gateway, pdu))
    carrier = SmppCarrier(loop, buffers, courier.settings, config.gateways, courier, inbound, seed, keys)
    server = SmppServer(loop, buffers, courier, config, carrier.outbind_handler, keys)
    courier.senders[server.name] = server
    courier.senders[inbound.name] = inbound
    courier.outcome_sources[carrier.name] = carrier
    courier.exit_calls += [server.shut_down, carrier.shut_down]
    courier.apply_map_update("smpp", [*carrier.hops(), *server.receivers.hops()], complete=True)

    def start() -> None:
        carrier.start()
        _open_front_end(loop, listener, server.accept)
        logs.event("smpp-serves", listen=f"{config.listen[0]}:{config.listen[1]}", gateways=len(config.gateways))

    front_ends.append(start)
    # Twice the number of sessions, as one that still waits for late responses may already have a successor.
    return config.max_sessions + sum(2 * (g.sessions + 1) for g in config.gateways) + 1
