"""Start one courier: read the configuration, put the parts together, and serve until told to end."""

from __future__ import annotations

import gc
import os
import signal
import socket
import zlib
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from kestrelspar.core import entries
from kestrelspar.core.courier import Courier
from kestrelspar.core.transport_map import NextHop
from kestrelspar.http.nexthop import NextHops
from kestrelspar.http.notices import Notices
from kestrelspar.http.sender import SenderServer
from kestrelspar.http.watch import MAX_REMOVALS_BYTES, Watch
from kestrelspar.journal import Journal
from kestrelspar.journal.left import Left
from kestrelspar.registry import keep
from kestrelspar.runtime import heap, logs, signals
from kestrelspar.runtime.buffers import SIZE, BufferPool
from kestrelspar.runtime.loop import BACKLOG, MS, Loop, bind
from kestrelspar.settings import conf as conf_file
from kestrelspar.settings import platform, resolve, schema
from kestrelspar.settings.lines import ConfFaults
from snowlock import interface as api
from snowlock.settings import SettingsError

if TYPE_CHECKING:
    from kestrelspar.keys import Keys  # with ssl: only where it is wanted
    from kestrelspar.peers.link import PeerLink
    from kestrelspar.registry.follower import Follower

BUFFERS_PART = 8  # of the memory, one in so many bytes goes to read buffers at most
LEAST_CLIENTS = 8  # connections of clients, however few descriptors there are
MOST_KEPT = 0.5  # of the disk, for kept lists; the rest is the journal's
LIST_WITHIN, LIST_LOOK = 200 * MS, 2 * MS  # a start waits so long for the list; it is looked for so often
LATER = ("name", "listen", "state", "sockets", "memory", "disk_bytes", "settings")  # read at the start only


class Told:
    """Everything that the program is told at its start; ``ValueError`` says all that will not do."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        self.platform = platform.read(environment)
        self.conf = conf_file.load(conf_file.where(environment), environment)
        self.log = self.conf.one(schema.Log)
        self.smpp = resolve.smpp(self.conf, self.platform.settings)
        self.keys = resolve.keys(self.conf)
        self.registries = resolve.registries(self.conf)
        if self.keys is not None:
            self.registries = self.keys.secured(self.registries)
        self.peer_keys = resolve.peer_keys(self.conf)
        extra = self.conf.one(schema.Plugins)
        scripts = extra.scripts if extra.enabled else ()
        self.rules = []
        if scripts:  # here and below: what is off costs no time between exec and ready, when a whole fleet starts
            from kestrelspar import plugins

            self.rules = [rule for name in scripts for rule in plugins.read(Path(name))]
        reserved = sum(keep.reserve(r.told.keep) for r in self.registries)
        if reserved > MOST_KEPT * self.platform.disk_bytes:
            told = next(t for t in self.conf.many(schema.Registry) if t.label == self.registries[0].label)
            raise ConfFaults(
                [
                    told.fault(
                        "keep",
                        f"kept lists may take {reserved} bytes, old and new copy, and the "
                        f"journal needs half of limits.disk_mb, "
                        f"{self.platform.disk_bytes} bytes",
                    )
                ]
            )
        self.reserved = reserved
        self.maps: dict[str, list[entries.Entry]] = {}
        for told in self.conf.many(schema.Map):
            assert isinstance(told.values, schema.Map)
            try:
                self.maps[told.label] = entries.read_map(told.values.file)
                for entry in self.maps[told.label]:
                    entries.hop(entry, self.platform.settings, _NOBODY)
            except ValueError as error:
                raise ConfFaults([told.fault("file", str(error))]) from error


class _Nobody:
    """Stands where a carrier is needed to check an entry."""

    def attempt(self, message: object, hop: NextHop, deadline: int, leave: Callable[[], bool]) -> object:
        """Never asked."""
        raise NotImplementedError

    def close_idle(self, hop: NextHop) -> None:
        """Has none."""


_NOBODY = _Nobody()


def refuse(error: ValueError) -> int:
    """Log each fault of the configuration; the exit code."""
    faults = list(map(str, error.faults)) if isinstance(error, ConfFaults | SettingsError) else [str(error)]
    for fault in faults:
        logs.error("configuration", why=fault)
    return 2


class Registries:
    """The registries that are followed, and their calls' connections."""

    def __init__(self, loop: Loop, buffers: BufferPool, courier: Courier, told: Told) -> None:
        self._loop, self._buffers, self._courier, self._told = loop, buffers, courier, told
        self._followers: dict[str, Follower] = {}
        self._carrier: NextHops | None = None  # made when needed: the platform has no registry
        self._idle = told.platform.sockets // 8 if told.registries else 8
        # Connections to next hops, and for each registry a list, a watch, and a kept file.
        self.descriptors = self._idle + 4 * len(told.registries) if told.registries else 0

    def follow(self, told: list[resolve.Registry]) -> None:
        """Follow these, and no others: new ones start, others move, those that are missing end."""
        wanted = {registry.label: registry for registry in told}
        for label in [label for label in self._followers if label not in wanted]:
            self._followers.pop(label).stop()
        for label, registry in wanted.items():
            if label in self._followers:
                self._followers[label].move(registry)
                continue
            if self._carrier is None:
                self._carrier = NextHops(self._loop, self._buffers, self._told.platform.settings, self._idle)
            from kestrelspar.registry.follower import Follower

            seed = self._told.platform.seed ^ zlib.crc32(label.encode())
            self._followers[label] = Follower(
                self._loop, self._buffers, self._courier, self._carrier, registry, self._told.platform.state, seed
            )
            self._followers[label].start()


def _reload(
    environment: Mapping[str, str],
    told: Told,
    watch: Watch,
    notices: Notices,
    registries: Registries,
    link: PeerLink | None,
) -> None:
    """SIGHUP: read the configuration again; follow discovery and registries to where they are now, log as it says, take
    other keys of the peers or talk to them no more. Open messages go on. What will not do changes nothing."""
    try:
        fresh = platform.read(environment, again=True)
        conf = conf_file.load(conf_file.where(environment), environment)
        followed, secrets = resolve.registries(conf), resolve.peer_keys(conf)
        if told.keys is None and resolve.keys(conf) is not None:
            raise ValueError("tls: the first keys need a restart")
        if sum(keep.reserve(r.told.keep) for r in followed) > told.reserved:
            raise ValueError(
                "registry.keep: kept lists may take no more disk than at the start (restart, or set keep 0B)"
            )
        if told.keys is not None:  # last: what will not do must have changed nothing
            told.keys.again(conf)
            followed = told.keys.secured(followed)
    except ValueError as error:
        faults = error.faults if isinstance(error, ConfFaults | SettingsError) else [error]
        for fault in faults:
            logs.error("configuration-not-taken", why=str(fault))
        return
    later = [key for key in LATER if getattr(fresh, key) != getattr(told.platform, key)]
    later += [
        title
        for title in ("smpp", "smpp-account", "smpp-gateway", "plugins", "map")
        if [s.values for s in conf.sections.get(title, [])] != [s.values for s in told.conf.sections.get(title, [])]
    ]
    logs.set_up(conf.one(schema.Log).format, conf.one(schema.Log).level)
    registries.follow(followed)
    if link is not None:
        link.reload(conf.one(schema.Peers), secrets)
    elif secrets:
        later.append("peers")
    logs.event("configuration-read", at_next_start=" ".join(later) or None)
    if fresh.discovery != watch.discovery:
        logs.event("discovery-moves", to=f"{fresh.discovery[0]}:{fresh.discovery[1]}")
        watch.move(fresh.discovery)
        notices.move(fresh.discovery)


def _buffers(memory: int, settings: api.Settings) -> tuple[int, int]:
    """How many read buffers there may be, and how many of them are kept for the answers to our own calls."""
    most = max(32, memory // BUFFERS_PART // SIZE)
    return most, min(most // 2, settings.slots + 16)


def shares(sockets: int, slots: int) -> tuple[int, int]:
    """Descriptors for clients' connections, and for idle ones to next hops.

    The rest is for calls out and answers read on, discovery, notices, listeners and files: clients that fill theirs
    must not keep the courier from these.
    """
    rest = sockets - 2 * slots - max(16, min(32, sockets // 4), sockets // 16)
    idle = max(4, min(sockets // 4, rest // 2))
    return max(LEAST_CLIENTS, rest - idle), idle


def main(environment: Mapping[str, str] = os.environ) -> int:
    """Serve; exit code 0 after SIGTERM, 2 for a configuration or an address that will not do."""
    ear = signals.ear()
    heap.hold()  # a long list makes no cycles, and passes over it took half of the start
    try:
        all_told = Told(environment)
    except ValueError as error:
        return refuse(error)
    logs.set_up(all_told.log.format, all_told.log.level)
    told, smpp = all_told.platform, all_told.smpp
    loop = Loop()
    buffers = BufferPool(*_buffers(told.memory, told.settings))
    try:
        for name in keep.clear(told.state, [registry.label for registry in all_told.registries]):
            logs.event("registry-kept-removed", file=name)
        room = told.disk_bytes - all_told.reserved - Left.reserve(MAX_REMOVALS_BYTES)
        journal = Journal(told.state, room, told.settings.max_attempts)
        listener = bind(told.listen)
        smpp_listener = None if smpp is None else bind(smpp.listen)
    except OSError as error:  # a folder that can't be written, an address that is taken
        logs.error("can't-start", why=str(error))
        return 2
    courier = Courier(loop, told.settings, told.seed, journal)
    clients, idle = shares(told.sockets, told.settings.slots)
    carrier = NextHops(loop, buffers, told.settings, idle)
    notices = Notices(loop, buffers, told.discovery)
    courier.senders[notices.name] = notices
    courier.unfinished.append(notices.has_pending)
    kept = told.sockets - clients
    if all_told.maps:
        kept += told.sockets // 8
        own = NextHops(loop, buffers, told.settings, told.sockets // 8)  # to next hops of the operators' own
        for label, rows in all_told.maps.items():
            courier.listed(f"map {label}", [entries.hop(row, told.settings, own) for row in rows], whole=True)
    fronts: list[Callable[[], None]] = []  # what opens each
    if smpp is not None and smpp_listener is not None:
        kept += _smpp(smpp, smpp_listener, loop, buffers, courier, told.seed, all_told.keys, fronts)
    if all_told.rules:
        from kestrelspar import plugins

        courier.hooks.append(plugins.Plugins(loop, told.settings, all_told.rules))
        logs.event("plugins", rules=len(all_told.rules))
    link = None
    if all_told.peer_keys:
        from kestrelspar.peers.link import PeerLink  # only where it is on: the platform's memory is small

        kept += 2
        try:
            link = PeerLink(
                loop, courier, told.name, all_told.conf.one(schema.Peers), all_told.peer_keys, told.state, told.seed
            )
        except OSError as error:
            logs.error("can't-start", why=f"peers.listen: {error}")
            return 2
        fronts.append(link.start)
    registries = Registries(loop, buffers, courier, all_told)
    kept += registries.descriptors
    server = SenderServer(loop, buffers, courier, notices, max(LEAST_CLIENTS, told.sockets - kept))
    watch = Watch(loop, buffers, courier, carrier, told.discovery, told.seed, told.state)
    loop.spawn(
        signals.heed,
        loop,
        ear,
        {
            signal.SIGTERM: courier.close,
            signal.SIGINT: courier.close,
            signal.SIGHUP: partial(_reload, environment, all_told, watch, notices, registries, link),
        },
    )
    if told.known:
        watch.begin(told.known)
    registries.follow(all_told.registries)
    if all_told.keys is not None:
        loop.spawn(all_told.keys.watch, loop)
    loop.spawn(watch.run)
    fronts.append(partial(_accept, loop, listener, server.accept))
    loop.spawn(_open, courier, fronts, told)
    gc.freeze()
    heap.release()
    loop.run()
    return 0 if courier.closing is not None else 2


def _open(courier: Courier, fronts: list[Callable[[], None]], told: platform.Config) -> None:
    """Take up what the journal holds, then open the fronts, once the list is fresh.

    Guards against calls to endpoints that began to drain while the courier was away: what the list has told
    counts from its change, not from when it is asked for. No front may open before ``resume``, which would take up
    what it has just taken on, and send it twice.
    """
    # Where each question costs discovery, questions are spread and none is waited for, but for one look.
    by = courier.loop.now + (LIST_LOOK if told.settings.must_subscribe else LIST_WITHIN)
    while courier.map.unheard and courier.loop.now < by:
        courier.loop.sleep(LIST_LOOK)
    courier.resume()
    try:
        for front in fronts:
            front()
    except OSError as error:  # another that was bound to the address, too, listens there
        logs.error("can't-start", why=str(error))
        courier.loop.stop()
        return
    courier.ready = courier.closing is None
    logs.event(
        "serves",
        courier=told.name,
        listen=f"{told.listen[0]}:{told.listen[1]}",
        hops=len(courier.map.hops),
        slots=told.settings.slots,
        most_open=told.settings.max_open,
        sockets=told.sockets,
        memory_mb=told.memory // 1_000_000,
        unheard=" ".join(sorted(courier.map.unheard)) or None,
    )


def _accept(loop: Loop, listener: socket.socket, accept: Callable[[socket.socket], None]) -> None:
    """Open a front. It listens no sooner, as the time of a message runs from when it was sent: what came earlier would
    have waited unread for as long as the start took, and its end would be late by that.
    """
    listener.listen(BACKLOG)
    loop.spawn(accept, listener)


def _smpp(
    told: resolve.Smpp,
    listener: socket.socket,
    loop: Loop,
    buffers: BufferPool,
    courier: Courier,
    seed: int,
    keys: Keys | None,
    fronts: list[Callable[[], None]],
) -> int:
    """Make the SMPP front ready, and add what opens it to ``fronts``; how many descriptors it may take."""
    from kestrelspar.smpp.client import Gateways  # only where it is on: the platform's memory is small
    from kestrelspar.smpp.inbound import Arrivals
    from kestrelspar.smpp.server import SmppServer

    arrivals = Arrivals(courier, lambda gateway, pdu: contractors.alert(gateway, pdu))
    gateways = Gateways(loop, buffers, courier.settings, told.gateways, courier, arrivals, seed, keys)
    contractors = SmppServer(loop, buffers, courier, told, gateways.outbound, keys)
    courier.senders[contractors.name] = contractors
    courier.senders[arrivals.name] = arrivals
    courier.later[gateways.name] = gateways
    courier.at_leave += [contractors.leave, gateways.leave]
    courier.listed("smpp", [*gateways.hops(), *contractors.receivers.hops()], whole=True)

    def start() -> None:
        gateways.start()
        _accept(loop, listener, contractors.accept)
        logs.event("smpp-serves", listen=f"{told.listen[0]}:{told.listen[1]}", gateways=len(told.gateways))

    fronts.append(start)
    # A session that still waits for late answers may have a successor already.
    return told.most_sessions + sum(2 * (g.sessions + 1) for g in told.gateways) + 1
