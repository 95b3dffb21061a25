"""Start one courier: read the configuration, put the parts together, and serve until told to end."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path

from kestrelspar import config
from kestrelspar.buffers import SIZE, BufferPool
from kestrelspar.courier import Courier
from kestrelspar.http.nexthop import NextHops
from kestrelspar.http.notices import Notices
from kestrelspar.http.sender import SenderServer
from kestrelspar.http.watch import Watch
from kestrelspar.journal import Journal
from kestrelspar.loop import Loop, listen, log
from kestrelspar.plugins import Plugins
from kestrelspar.smpp.client import Gateways
from kestrelspar.smpp.server import SmppServer

BUFFERS_PART = 8  # of the memory, one in so many bytes goes to read buffers at most
DEPLOY = f"{Path(__file__).parent.parent}/deploy/"
LATER = ("name", "listen", "state", "sockets", "memory", "disk_bytes", "settings")  # read at the start only


def _ear() -> socket.socket:
    """What hears the signals: each comes as a byte, so that a task and not a handler heeds it.

    One that comes while the program starts waits there.
    """
    ear, mouth = socket.socketpair()
    for end in (ear, mouth):
        end.setblocking(False)
    wakeup = mouth.detach()  # owned by the process: closed with its socket object, its other end would wake
    signal.set_wakeup_fd(wakeup, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return ear


def _heed(loop: Loop, ear: socket.socket, calls: Mapping[int, Callable[[], None]]) -> None:
    """Do what the signals ask for, each in a task of its own: a fault in one leaves the others."""
    while True:
        loop.readable(ear, None)
        try:
            numbers = ear.recv(64)
        except BlockingIOError:
            continue
        for number in numbers:
            if number in calls:
                loop.spawn(calls[number])


def _reload(environment: Mapping[str, str], told: config.Config, watch: Watch, notices: Notices) -> None:
    """SIGHUP: read the configuration again and follow discovery to its new address; open messages go on."""
    try:
        fresh = config.read(environment, again=True)
    except ValueError as error:
        log(f"configuration not taken, the old one stays: {error}")
        return
    later = [key for key in LATER if getattr(fresh, key) != getattr(told, key)]
    log("configuration read again" + (f"; at the next start only: {', '.join(later)}" if later else ""))
    if fresh.discovery != watch.discovery:
        log(f"discovery moves to {fresh.discovery[0]}:{fresh.discovery[1]}")
        watch.move(fresh.discovery)
        notices.move(fresh.discovery)


def _buffers(told: config.Config) -> tuple[int, int]:
    """How many read buffers there may be, and how many of them are kept for the answers to our own calls."""
    most = max(32, told.memory // BUFFERS_PART // SIZE)
    return most, min(most // 2, told.settings.slots + 16)


def main() -> int:
    """Serve; exit code 0 after SIGTERM, 2 for a configuration that will not do."""
    environment = os.environ
    ear = _ear()
    try:
        told = config.read(environment)
        smpp = config.read_smpp(environment.get("KESTRELSPAR_SMPP", DEPLOY + "smpp.json"), told.settings)
        rules = config.read_plugins(environment.get("KESTRELSPAR_PLUGINS", DEPLOY + "plugins.json"))
        loop = Loop()
        buffers = BufferPool(*_buffers(told))
        own = NextHops(loop, buffers, told.settings, told.sockets // 8)  # to next hops of the operators' own
        own_hops = []
        if "KESTRELSPAR_MAP" in environment:
            own_hops = config.read_map(environment["KESTRELSPAR_MAP"], told.settings, own)
    except ValueError as error:
        log(f"configuration: {error}")
        return 2
    try:
        journal = Journal(told.state, told.disk_bytes, told.settings.max_attempts)
        listener = listen(told.listen)
        smpp_listener = None if smpp is None else listen(smpp.listen)
    except OSError as error:  # a folder that can't be written, an address that is taken
        log(f"can't start: {error}")
        return 2
    courier = Courier(loop, told.settings, told.seed, journal)
    carrier = NextHops(loop, buffers, told.settings, told.sockets // 4)
    notices = Notices(loop, buffers, told.discovery)
    courier.senders[notices.name] = notices
    # Descriptors: idle connections to next hops, calls out, and for discovery, notices, listeners and files.
    kept = told.sockets // 4 + told.settings.slots + max(32, told.sockets // 16)
    kept += told.sockets // 8 if own_hops else 0
    if smpp is not None and smpp_listener is not None:
        kept += smpp.most_sessions + len(smpp.gateways) + 1
        gateways = Gateways(loop, buffers, told.settings, smpp.gateways)
        contractors = SmppServer(loop, buffers, courier, smpp)
        courier.senders[contractors.name] = contractors
        courier.at_leave += [contractors.leave, gateways.leave]
        courier.listed(gateways, gateways.hops(), whole=True)
        loop.spawn(contractors.accept, smpp_listener)
        log(f"smpp serves on {smpp.listen[0]}:{smpp.listen[1]}, {len(smpp.gateways)} gateways")
    if rules:
        courier.hooks.append(Plugins(loop, told.settings, rules))
        log(f"plug-ins: {len(rules)} rules")
    if own_hops:
        courier.listed(own, own_hops, whole=True)
    server = SenderServer(loop, buffers, courier, notices, max(16, told.sockets - kept))
    watch = Watch(loop, buffers, courier, carrier, told.discovery)
    loop.spawn(_heed, loop, ear, {
        signal.SIGTERM: courier.close, signal.SIGINT: courier.close,
        signal.SIGHUP: partial(_reload, environment, told, watch, notices),
    })
    if told.known:
        watch.take(told.known)
    courier.resume()
    loop.spawn(watch.run)
    loop.spawn(server.accept, listener)
    courier.ready = True
    log(f"{told.name} serves on {told.listen[0]}:{told.listen[1]}, {len(courier.hops)} next hops known, "
        f"{told.settings.slots} slots, {told.settings.max_open} messages, {told.sockets} descriptors, "
        f"{told.memory // 1_000_000} MB at most")
    gc.freeze()
    loop.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
