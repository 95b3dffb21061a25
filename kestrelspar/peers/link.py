"""Connects a ``Peer`` to its UDP socket and event loop, and passes its results to the courier core."""

from __future__ import annotations

import socket
from collections import Counter
from pathlib import Path
from typing import Any

import xxhash

from kestrelspar.core.courier import NS, Courier, End, Message, Result
from kestrelspar.peers import demand, kept
from kestrelspar.peers.door import StatusSocket
from kestrelspar.peers.judgements import Held, Outcome
from kestrelspar.peers.peer import About, Datagrams, Peer
from kestrelspar.peers.seal import MOST
from kestrelspar.peers.seal import keys as keys
from kestrelspar.peers.shares import Terms, spanned
from kestrelspar.peers.telling import ERROR_INTERVAL, EventLog
from kestrelspar.runtime import logs
from kestrelspar.runtime.loop import MS, Loop
from kestrelspar.settings import schema
from snowlock import interface as api
from snowlock.interface import EndpointId

TICK = 50 * MS  # shortest pause between ticks
UPDATE_PAUSE_FACTOR = 20  # the pause between updates of the budgets is at least this multiple of their duration
MOST_TICK = 300 * MS  # longest pause between ticks
LEAST_STEP = 300 * MS
STALL_THRESHOLD = 500 * MS  # after a longer gap between ticks this process was stalled, not an endpoint
KEEP_EVERY = 5_000 * MS  # between two writes of the counters; once a minute after a failed write
TENANT_WINDOW = 2_000 * MS  # of tenant budgets: the time by which a tenant may run ahead of its share
BUDGET_POLL_INTERVAL = 2 * MS  # of a call that waits for its budget
AT_ONCE = 64  # datagrams read in one turn of the loop
FAILED_OUTCOMES = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CONNECT_FAILED)


class PeerLink:
    """The courier's connection to the other couriers and to brokers. Implements ``core.courier.Peers``."""

    def __init__(
        self,
        loop: Loop,
        courier: Courier,
        name: str,
        config: schema.Peers,
        secrets: list[str],
        state_directory: str,
        seed: int,
    ) -> None:
        """Raises ``OSError`` if the address is in use."""
        self.loop, self.courier, self.config = loop, courier, config
        settings = courier.settings
        self._state_file = Path(state_directory) / "peers"
        self._state = kept.read(self._state_file)
        self.life = kept.next_life(self._state)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(config.listen)
        terms = Terms(settings.forwarders, settings.number, config.term, config.drift / 1_000)
        about = About(
            name,
            config.told(),
            self.life,
            keys(secrets),
            dict(config.seed),
            terms,
            config.bytes_per_second,
            config.period,
            group=config.group,
            region=config.region,
            brokers=dict(config.broker),
        )
        # Before the first datagram: an epoch that others have received must not be used again.
        self._state.life = self.life
        kept.write(self._state_file, self._state)
        self.peer = Peer(about, loop.clock(), seed, self._state.lent, self._save_lent, self._state.counts)
        self._snapshot = demand.Look()
        self._endpoint_rates: dict[EndpointId, float] = {}
        self._tenant_rates: dict[int, float] = {}
        self._over_share: dict[int, int] = {}  # by tenant: messages beyond its share since the last update
        self._suspended: dict[str, Held] = {}
        self._called_dests: set[int] = set()  # since the last tick
        self._last_tick = self._resumed_at = self._save_at = loop.clock()
        self._event_log = EventLog(loop)
        self.unsent: Counter[str] = Counter()
        self._status_socket = StatusSocket(loop, state_directory, self.status, self.request_counters)
        self._disabled = self._detached = False  # disabled: by the settings; detached: all loans have expired, too

    def _save_lent(self, lent: dict[str, int]) -> bool:
        self._state.lent, self._state.counts = lent, self.peer.counts.own()
        return kept.write(self._state_file, self._state)

    def start(self) -> None:
        """Start to communicate with the other couriers."""
        self.courier.peers = self
        self.courier.at_leave.append(self._leave)
        self.loop.spawn(self._read)
        self.loop.spawn(self._tick)
        self._status_socket.start()
        settings = self.courier.settings
        logs.event(
            "peers-serve",
            courier=self.peer.about.name,
            life=self.life,
            listen="{}:{}".format(*self.config.listen),
            number=settings.number,
            couriers=settings.forwarders,
        )

    def reload(self, config: schema.Peers, secrets: list[str]) -> None:
        """SIGHUP: replace the keys, or stop to communicate. Loans stay counted until their term has expired."""
        if config.enabled:
            self.peer.sealer.rekey(keys(secrets))
            return
        if self._disabled:
            return
        self._disabled = True
        self._send(self.peer.leave(self.loop.clock(), ends=False))
        logs.event("peers-off", until_ms=2 * self.config.term // MS)
        self._resume_endpoints()
        longest = max((wanted.span for wanted in self._snapshot.wanted.values()), default=0)
        self.loop.at(self.loop.now + 2 * self.config.term + 2 * longest, self._detach)

    def _detach(self) -> None:
        self.courier.peers = None
        tenants = self.courier.settings.tenants
        equal_shares = tuple((n, tenants[n].rate / self.courier.settings.forwarders) for n in self._tenant_rates)
        self.courier.shares(api.Parts(tuple((id, 0.0) for id in self._endpoint_rates), equal_shares))
        self._detached = True

    def _resume_endpoints(self) -> None:
        """Resume all endpoints that are suspended because of reports of other couriers."""
        self.courier.shares(
            api.Judged(
                tuple((self._snapshot.ids[name], 0, False) for name in self._suspended if name in self._snapshot.ids)
            )
        )
        self._suspended = {}

    # Datagrams

    def _read(self) -> None:
        while True:
            self.loop.readable(self._socket, None)
            for _ in range(AT_ONCE):
                try:
                    data = self._socket.recv(MOST + 1)
                except BlockingIOError:
                    break
                except OSError:  # ICMP port unreachable for a datagram sent earlier
                    continue
                if not self._disabled:
                    self._send(self.peer.hear(data, self.loop.clock()))
            if self.peer.news:  # take new observations of endpoints into account before the next call
                self._update_suspensions()

    def _send(self, datagrams: Datagrams) -> None:
        for address, data in datagrams:
            try:
                self._socket.sendto(data, address)
            except OSError as error:  # full buffer or no route: counts as lost on the network
                self.unsent[type(error).__name__] += 1
        events, self.peer.events = self.peer.events, []
        self._event_log.write(events)

    def _tick(self) -> None:
        while not self._detached:
            began = self.loop.clock()
            if began - self._last_tick > STALL_THRESHOLD:
                self._resumed_at = began
            self._last_tick = began
            self._update_budgets(began)
            duration = self.loop.clock() - began
            if not self._disabled:
                self.peer.interest(self._called_dests | self._snapshot.concerns, self.loop.clock())
                self._called_dests.clear()
                self._send(self.peer.tick(self.loop.clock()))
                self._update_suspensions()
            self._update_rates()
            if began >= self._save_at:
                self._state.counts = self.peer.counts.own()
                self._save_at = began + (KEEP_EVERY if kept.write(self._state_file, self._state) else ERROR_INTERVAL)
            self.loop.sleep(min(MOST_TICK, max(TICK, UPDATE_PAUSE_FACTOR * duration)))

    def status(self) -> dict[str, Any]:
        """Status for operators."""
        peer, now = self.peer, self.loop.clock()
        return {
            "name": peer.about.name,
            "life": self.life,
            "number": peer.about.terms.number,
            "couriers": peer.about.terms.couriers,
            "talks": not self._disabled and not peer.members.stepped_back,
            "ailing": peer.members.ailing,
            "bytes_sent": peer.sent,
            "bytes_heard": peer.heard,
            "held_back": peer.held_back,
            "dropped": dict(peer.sealer.dropped),
            "group": peer.about.group,
            "region": peer.about.region,
            "brokers": {} if peer.brokers is None else peer.brokers.status(now),
            "members": [
                {
                    "name": name,
                    "stand": member.said.stand.name.lower(),
                    "number": member.said.number,
                    "life": member.said.life,
                    "for_s": (now - member.since) // 1_000_000,
                }
                for name, member in sorted(peer.members.members.items())
            ],
            "budgets": {key: peer.shares.stand(key, now) for key in peer.shares.names()},
            "endpoints": peer.judgements.stand(now, peer.members.alive()),
            "not_believed": peer.judgements.not_believed(),
            "counts": peer.counts.fleet(now),
        }

    def request_counters(self) -> None:
        """Request the counters of all couriers."""
        self.peer.counts.want()

    def _leave(self) -> None:
        self._status_socket.stop()
        if not self._disabled:
            self._send(self.peer.leave(self.loop.clock()))

    # Observations of endpoints

    def called(self, endpoint: EndpointId, result: Result, sent: int) -> None:
        """See ``core.courier.Peers``."""
        name, now, column = demand.name(endpoint), self.loop.clock(), self.courier.settings.limit_column
        limit = result.report[column] if column is not None and column < len(result.report) else 0.0
        outcome = Outcome.OTHER
        if result.outcome is api.Outcome.OK:
            outcome = Outcome.SERVED
        elif result.outcome is api.Outcome.FULL:
            outcome = Outcome.REFUSED
        elif result.outcome in FAILED_OUTCOMES and not result.no_slot and not self._was_stalled(sent, now):
            outcome = Outcome.FAILED
        self.peer.judgements.saw(name, outcome, sent, now, result.told_wait, limit if 0.01 < limit < 1e6 else 0.0)
        route = self.courier.module.routes.get(endpoint)
        dest = "gone" if route is None else route.dest.id
        if route is not None:
            self._called_dests.add(route.dest.id)
        self.peer.counts.add(f"calls/{dest}/{result.outcome.name.lower()}")

    def _was_stalled(self, sent: int, now: int) -> bool:
        """Whether this process may have delayed the answer: then no failure of the endpoint is reported."""
        return now - self._last_tick > STALL_THRESHOLD or sent <= self._resumed_at

    def _update_suspensions(self) -> None:
        """Notify the decision module of changes in which endpoints are suspended on reports of other couriers."""
        self.peer.news = False
        judgements, now = self.peer.judgements, self.loop.clock()
        suspended = judgements.holds(now, self.peer.members.alive())
        ids = self._snapshot.ids
        changed = [
            (ids[name], suspension.until * NS, suspension.one)
            for name, suspension in suspended.items()
            if self._suspended.get(name) != suspension and name in ids
        ]
        changed += [(ids[name], 0, False) for name in sorted(self._suspended.keys() - suspended.keys()) if name in ids]
        for name in suspended.keys() - self._suspended.keys():
            logs.event(
                "peers-hold", endpoint=name, one=suspended[name].one or None, for_ms=(suspended[name].until - now) // MS
            )
        self._suspended = suspended
        if changed:
            self.courier.shares(api.Judged(tuple(changed)))

    # Counters

    def came(self, message: Message) -> None:
        """See ``core.courier.Peers``."""
        self.peer.counts.add(f"taken/{self.courier.settings.classes[message.cls].name}")
        if message.tenant in self._tenant_rates and not self.peer.shares.spend(
            demand.tenant_key(message.tenant), self.loop.clock()
        ):
            self._over_share[message.tenant] = self._over_share.get(message.tenant, 0) + 1

    def ended(self, message: Message, end: End) -> None:
        """See ``core.courier.Peers``."""
        self.peer.counts.add(f"ended/{self.courier.settings.classes[message.cls].name}/{end.state}")

    # Budgets

    def _update_budgets(self, now: int) -> None:
        """Update budgets and observations from the state of the decision module: limits, queues and routes."""
        shares, judgements, settings = self.peer.shares, self.peer.judgements, self.courier.settings
        enabled = not self._disabled  # if disabled, reports of other couriers have no effect
        recovering = (
            judgements.cold(now, settings.ramp_ns // NS) if enabled and settings.fall_ns and settings.ramp_ns else {}
        )
        self._snapshot = snapshot = demand.look(
            self.courier.module,
            settings,
            self.config.spend / 100,
            self.config.again / 100,
            lambda endpoint: judgements.limit(endpoint, now) if enabled else 0.0,
            recovering,
        )
        judgements.routes(snapshot.routes, snapshot.closed)
        for name in snapshot.silent:
            judgements.silence(name, now)
        for name in snapshot.down:
            judgements.out(name, now)
        for number, tenant in enumerate(settings.tenants):
            if tenant.rate > 0:
                calls, window = spanned(tenant.rate, settings.forwarders, TENANT_WINDOW)
                over_share = self._over_share.pop(number, 0)
                snapshot.wanted[demand.tenant_key(number)] = demand.Demand(
                    calls, window, [], over_share, float(over_share)
                )
        for key, wanted in snapshot.wanted.items():
            offset = xxhash.xxh32_intdigest(key.encode()) if wanted.whole else 0
            shares.budget(key, wanted.calls, wanted.span, wanted.whole, offset, now)
            shares.lacks(key, wanted.waiting, wanted.worth, now)
        for key in shares.names():
            if key not in snapshot.wanted:
                shares.drop(key)

    def _update_rates(self) -> None:
        """Notify the decision module of changed rates of this courier's shares."""
        now = self.loop.clock()
        endpoint_rates: dict[EndpointId, float] = {}
        tenant_rates: dict[int, float] = {}
        for key, wanted in self._snapshot.wanted.items():
            allowed = self.peer.shares.allowed(key, now)
            if allowed is not None:
                # Right after a start no call is allowed for one window. The module is not given that as a rate: at rate
                # zero it would abandon at once messages that can be delivered a second later.
                allowed = allowed or self.peer.shares.owned(key)
                rate = max(0.05, allowed * 1_000_000 / wanted.span)
                for id in wanted.endpoints:  # a recovering endpoint has a second budget: the lower rate applies
                    endpoint_rates[id] = min(endpoint_rates.get(id, rate), rate)
                if key.startswith("t:"):
                    tenant_rates[int(key[2:])] = rate
        changed = tuple((id, rate) for id, rate in endpoint_rates.items() if self._endpoint_rates.get(id) != rate)
        removed = tuple((id, 0.0) for id in self._endpoint_rates if id not in endpoint_rates)
        changed_tenants = tuple((n, rate) for n, rate in tenant_rates.items() if self._tenant_rates.get(n) != rate)
        self._endpoint_rates, self._tenant_rates = endpoint_rates, tenant_rates
        if changed or removed or changed_tenants:
            self.courier.shares(api.Parts(changed + removed, changed_tenants))

    def _budget_keys(self, endpoint: EndpointId, again: bool) -> list[str]:
        """The budgets that a call to the endpoint counts against."""
        route = self.courier.module.routes.get(endpoint)
        if route is None:
            return []
        keys = [
            demand.key(endpoint, route.dest),
            demand.cold_key(demand.name(endpoint)),
            *([demand.again_key(route.dest.id)] if again else ()),
        ]
        return [keys[0], *(key for key in keys[1:] if key in self._snapshot.wanted)]

    def wait_for_room(self, endpoint: EndpointId, again: bool, until: int) -> None:
        """See ``core.courier.Peers``."""
        shares = self.peer.shares
        while self.loop.now < until and not all(
            shares.may(key, self.loop.clock()) for key in self._budget_keys(endpoint, again)
        ):
            self.loop.sleep(BUDGET_POLL_INTERVAL)

    def spend(self, endpoint: EndpointId, again: bool) -> bool:
        """See ``core.courier.Peers``. Reads the clock again: the process may have been stalled in this turn."""
        keys, now, shares = self._budget_keys(endpoint, again), self.loop.clock(), self.peer.shares
        if not all(shares.may(key, now) for key in keys):
            return False
        for key in keys:
            shares.spend(key, now)
            self.peer.counts.add(f"used/{key}")
        return True
