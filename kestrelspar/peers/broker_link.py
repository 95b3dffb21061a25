"""The broker process: connects a ``Broker`` to its UDP socket, the event loop, signals, the log and a status socket.

Only its epoch is persisted: couriers send a restarted broker their subscriptions again.
"""

from __future__ import annotations

import errno
import signal
import socket
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from random import Random
from typing import Any

from kestrelspar.peers import state_file
from kestrelspar.peers.brokers import Broker, BrokerConfig
from kestrelspar.peers.event_log import EventLog
from kestrelspar.peers.peer import Datagrams
from kestrelspar.peers.seal import MAX_DATAGRAM_BYTES, keys
from kestrelspar.peers.status_socket import StatusSocket
from kestrelspar.runtime import logs, signals
from kestrelspar.runtime.loop import MS, Loop
from kestrelspar.settings import conf as conf_file
from kestrelspar.settings import resolve, schema
from kestrelspar.settings.lines import ConfErrors

TICK_INTERVAL = 50 * MS
MAX_DATAGRAMS_PER_TURN = 256  # so that ticks and signals are handled in between
RECEIVE_BUFFER_BYTES = 4_000_000  # requested; the system may grant less, and drops datagrams that don't fit
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG, None)  # None: short write
Address = tuple[str, int]


class BrokerLink:
    """Connects a ``Broker`` to its socket, clock, log and status socket."""

    def __init__(self, loop: Loop, config: BrokerConfig, sock: socket.socket, state_directory: str) -> None:
        """``state_directory``: if empty, there is no status socket."""
        self.loop, self._socket = loop, sock
        self.broker = Broker(config, loop.clock(), Random().randrange(1 << 32))
        self.unsent: Counter[str] = Counter()
        self._event_log = EventLog(loop)
        self._status_socket = (
            StatusSocket(loop, state_directory, self.status, lambda: None) if state_directory else None
        )

    def start(self) -> None:
        """Start reading, ticking and answering status requests."""
        self.loop.spawn(self._read)
        self.loop.spawn(self._tick)
        if self._status_socket is not None:
            self._status_socket.start()
        config = self.broker.config
        logs.event(
            "broker-serves",
            broker=config.name,
            life=config.epoch,
            listen="{}:{}".format(*self._socket.getsockname()),
            brokers=len(config.brokers),
        )

    def _read(self) -> None:
        while True:
            self.loop.readable(self._socket, None)
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:  # ICMP port unreachable for a datagram sent earlier
                    continue
                self._send(self.broker.receive(data, self.loop.clock()))

    def _tick(self) -> None:
        while True:
            self._send(self.broker.tick(self.loop.clock()))
            self.loop.sleep(TICK_INTERVAL)

    def _send(self, datagrams: Datagrams) -> None:
        for address, data in datagrams:
            try:
                self._socket.sendto(data, address)
            except OSError as error:  # full buffer or no route: counts as lost on the network
                self.unsent[errno.errorcode.get(error.errno or 0, type(error).__name__)] += 1
        if self.broker.events:
            events, self.broker.events = self.broker.events, []
            self._event_log.write(events)

    def rekey(self, secrets: list[str]) -> None:
        """Replace the keys."""
        self.broker.sealer.rekey(keys(secrets))

    def status(self) -> dict[str, Any]:
        """Status for operators."""
        config = self.broker.config
        return {
            "broker": config.name,
            "region": config.region,
            "unsent": dict(self.unsent),
            **self.broker.status(self.loop.clock()),
        }

    def end(self) -> None:
        """On SIGTERM or SIGINT: notify subscribers, and stop the event loop."""
        self._send(self.broker.shut_down(self.loop.clock()))
        if self._status_socket is not None:
            self._status_socket.stop()
        logs.event("broker-ends", broker=self.broker.config.name)
        self.loop.stop()


class BrokerSettings:
    """The settings of the broker ``name``, read from the file ``path``; a ``ValueError`` lists all errors in them."""

    def __init__(self, path: str, name: str) -> None:
        self.conf = conf_file.load(path)
        section = self.conf.section(schema.Peers)
        self.peers = self.conf.values_of(schema.Peers)
        errors = []
        if name not in self.peers.broker:
            known = ", ".join(sorted(self.peers.broker)) or "a line broker REGION/NAME HOST:PORT"
            errors.append(section.error("broker", f"no broker is named {name} (wanted: {known})"))
        self.secrets: list[str] = []
        try:
            self.secrets = resolve.peer_keys(self.conf, broker=True)
        except ConfErrors as error:
            errors += error.errors
        if errors:
            raise ConfErrors(sorted(errors))
        self.listen = self.peers.listen if "listen" in section.locations else self.peers.broker[name]


def _next_epoch(state_directory: str) -> int:
    """Return the epoch of this process, persisted before it is sent; without a state directory it is the clock's.

    Raises ``OSError`` if the state directory is unusable. A full disk is tolerated: the next start then relies on the
    clock for a higher epoch, as it does after the loss of the state directory.
    """
    if not state_directory:
        return state_file.next_epoch(state_file.SavedState(0))
    file = Path(state_directory) / "broker"
    state = state_file.read(file)
    state.epoch = state_file.next_epoch(state)
    try:
        state_file.write_or_raise(file, state)
    except OSError as error:
        if error.errno not in DISK_FULL_ERRNOS:
            raise
        logs.warn("peers-not-kept", file=file.name, why=str(error))
    return state.epoch


def _reload(link: BrokerLink, settings: BrokerSettings, path: str, name: str) -> None:
    """On SIGHUP: read keys and log settings again. If the settings have an error, nothing changes."""
    try:
        reloaded = BrokerSettings(path, name)
    except ValueError as error:
        for line in error_lines(error):
            logs.error("configuration-not-taken", why=line)
        return
    log = reloaded.conf.values_of(schema.Log)
    logs.set_up(log.format, log.level)
    link.rekey(reloaded.secrets)
    restart_needed = [
        key
        for key in ("broker", "couriers", "broker_bytes_per_second")
        if getattr(reloaded.peers, key) != getattr(settings.peers, key)
    ]
    if reloaded.listen != settings.listen:
        restart_needed.append("listen")
    logs.event("configuration-read", at_next_start=" ".join(restart_needed).replace("_", "-") or None)


def error_lines(error: ValueError) -> list[str]:
    """Each error of a configuration, as one line."""
    return list(map(str, error.errors)) if isinstance(error, ConfErrors) else [str(error)]


def main(path: str, name: str, state_directory: str) -> int:
    """Run the broker. Exit code 0 after SIGTERM or SIGINT, 2 for unusable settings, address or state directory."""
    signal_socket = signals.open_signal_socket()
    try:
        settings = BrokerSettings(path, name)
    except ValueError as error:
        for line in error_lines(error):
            logs.error("configuration", why=line)
        return 2
    log, peers = settings.conf.values_of(schema.Log), settings.peers
    logs.set_up(log.format, log.level)
    loop = Loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        # Bound before the epoch is raised: a second process with this state directory must not raise it.
        sock.bind(settings.listen)
    except OSError as error:
        logs.error("can't-start", why="{}:{}: {}".format(*settings.listen, error))
        return 2
    try:
        epoch = _next_epoch(state_directory)
    except OSError as error:
        logs.error("can't-start", why=f"the state directory {state_directory} can't be written: {error}")
        return 2
    config = BrokerConfig(
        name,
        name.partition("/")[0],
        peers.broker[name],
        epoch,
        keys(settings.secrets),
        dict(peers.broker),
        peers.couriers,
        peers.broker_bytes_per_second,
    )
    link = BrokerLink(loop, config, sock, state_directory)
    handlers: Mapping[int, Any] = {
        signal.SIGTERM: link.end,
        signal.SIGINT: link.end,
        signal.SIGHUP: lambda: _reload(link, settings, path, name),
    }
    loop.spawn(signals.handle_signals, loop, signal_socket, handlers)
    link.start()
    loop.run()
    return 0
