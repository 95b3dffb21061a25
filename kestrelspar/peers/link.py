"""Connects a ``Peer`` to its UDP socket and event loop, and passes its results to the courier core."""

from __future__ import annotations

import socket
from collections import Counter
from pathlib import Path
from typing import Any

import xxhash

from kestrelspar.core.courier import NS_PER_US, Courier
from kestrelspar.core.messages import End, Message, Result
from kestrelspar.peers import demand, state_file
from kestrelspar.peers.event_log import ERROR_INTERVAL, EventLog
from kestrelspar.peers.observations import CallOutcome, RouteRestriction
from kestrelspar.peers.peer import Datagrams, Peer, PeerConfig
from kestrelspar.peers.seal import MAX_DATAGRAM_BYTES
from kestrelspar.peers.seal import keys as keys
from kestrelspar.peers.shares import LoanTerms, budget_for_rate
from kestrelspar.peers.status_socket import StatusSocket
from kestrelspar.runtime import logs
from kestrelspar.runtime.loop import MS, Loop
from kestrelspar.settings import schema
from snowlock import interface as api
from snowlock.interface import EndpointId

MIN_TICK_INTERVAL = 50 * MS  # shortest pause between ticks
# The pause between ticks is this multiple of the time that updating the budgets took, within the shortest and longest.
UPDATE_PAUSE_FACTOR = 20
MAX_TICK_INTERVAL = 300 * MS  # longest pause between ticks
LEAST_STEP = 300 * MS
STALL_THRESHOLD = 500 * MS  # a longer gap between ticks means that this process was stalled, not an endpoint
SAVE_INTERVAL = 5_000 * MS  # between two writes of the counters; ``ERROR_INTERVAL`` after a failed write
TENANT_WINDOW = 2_000 * MS  # of tenant budgets: by how much time a tenant may run ahead of its share
BUDGET_POLL_INTERVAL = 2 * MS  # between two checks of a call that waits for its budget
MAX_DATAGRAMS_PER_TURN = 64  # datagrams read in one turn of the loop
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
        """Raises ``OSError`` if the address can't be bound, for example because it is in use."""
        self.loop, self.courier, self.config = loop, courier, config
        settings = courier.settings
        self._state_file = Path(state_directory) / "peers"
        self._state = state_file.read(self._state_file)
        self.epoch = state_file.next_epoch(self._state)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(config.listen)
        terms = LoanTerms(settings.forwarders, settings.number, config.term, config.drift / 1_000)
        peer_config = PeerConfig(
            name,
            config.advertised_address(),
            self.epoch,
            keys(secrets),
            dict(config.seed),
            terms,
            config.bytes_per_second,
            config.period,
            group=config.group,
            region=config.region,
            brokers=dict(config.broker),
        )
        # Written before the first datagram is sent: an epoch that others have received must not be used again.
        self._state.epoch = self.epoch
        state_file.write(self._state_file, self._state)
        self.peer = Peer(peer_config, loop.clock(), seed, self._state.lent, self._save_lent, self._state.counts)
        self._snapshot = demand.DemandSnapshot()
        self._endpoint_rates: dict[EndpointId, float] = {}
        self._tenant_rates: dict[int, float] = {}
        self._over_share: dict[int, int] = {}  # by tenant: messages beyond its share since the last update
        self._suspended: dict[str, RouteRestriction] = {}
        self._called_dests: set[int] = set()  # since the last tick
        # ``_resumed_at``: when the last stall of this process was detected, or the start.
        self._last_tick = self._resumed_at = self._save_at = loop.clock()
        self._event_log = EventLog(loop)
        self.unsent: Counter[str] = Counter()
        self._status_socket = StatusSocket(loop, state_directory, self.status, self.request_counters)
        self._disabled = self._detached = False  # disabled: by a reload; detached: loans have expired since

    def _save_lent(self, lent: dict[str, int]) -> bool:
        self._state.lent, self._state.counts = lent, self.peer.counters.own_totals()
        return state_file.write(self._state_file, self._state)

    def start(self) -> None:
        """Start to communicate with the other couriers."""
        self.courier.peers = self
        self.courier.exit_calls.append(self._leave)
        self.loop.spawn(self._read)
        self.loop.spawn(self._tick)
        self._status_socket.start()
        settings = self.courier.settings
        logs.event(
            "peers-serve",
            courier=self.peer.config.name,
            life=self.epoch,
            listen="{}:{}".format(*self.config.listen),
            number=settings.number,
            couriers=settings.forwarders,
        )

    def reload(self, config: schema.Peers, secrets: list[str]) -> None:
        """On SIGHUP: replace the keys, or stop communicating if disabled. Loans count until their term has expired.

        Once disabled, it takes a restart to communicate again.
        """
        if config.enabled:
            self.peer.sealer.rekey(keys(secrets))
            return
        if self._disabled:
            return
        self._disabled = True
        self._send(self.peer.shut_down(self.loop.clock(), ends=False))
        logs.event("peers-off", until_ms=2 * self.config.term // MS)
        self._resume_endpoints()
        # A loan is held for a term and a window, both extended by the clock drift: less than twice as long.
        longest_window = max((wanted.window for wanted in self._snapshot.budgets.values()), default=0)
        self.loop.call_at(self.loop.now + 2 * self.config.term + 2 * longest_window, self._detach)

    def _detach(self) -> None:
        """Stop sharing limits; a tenant's rate becomes an equal share of its limit."""
        self.courier.peers = None
        tenants = self.courier.settings.tenants
        equal_shares = tuple((n, tenants[n].rate / self.courier.settings.forwarders) for n in self._tenant_rates)
        self.courier.queue_controller_event(api.Parts(tuple((id, 0.0) for id in self._endpoint_rates), equal_shares))
        self._detached = True

    def _resume_endpoints(self) -> None:
        """Resume all endpoints that are suspended because of reports of other couriers."""
        self.courier.queue_controller_event(
            api.Judged(
                tuple((self._snapshot.ids[name], 0, False) for name in self._suspended if name in self._snapshot.ids)
            )
        )
        self._suspended = {}

    # Datagrams

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
                if not self._disabled:
                    self._send(self.peer.receive(data, self.loop.clock()))
            if self.peer.has_new_observations:  # apply new observations of endpoints before the next call
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
                self.peer.record_interest(self._called_dests | self._snapshot.active_destinations, self.loop.clock())
                self._called_dests.clear()
                self._send(self.peer.tick(self.loop.clock()))
                self._update_suspensions()
            self._update_rates()
            if began >= self._save_at:
                self._state.counts = self.peer.counters.own_totals()
                self._save_at = began + (
                    SAVE_INTERVAL if state_file.write(self._state_file, self._state) else ERROR_INTERVAL
                )
            self.loop.sleep(min(MAX_TICK_INTERVAL, max(MIN_TICK_INTERVAL, UPDATE_PAUSE_FACTOR * duration)))

    def status(self) -> dict[str, Any]:
        """Status for operators."""
        peer, now = self.peer, self.loop.clock()
        return {
            "name": peer.config.name,
            "life": self.epoch,
            "number": peer.config.terms.number,
            "couriers": peer.config.terms.couriers,
            "talks": not self._disabled and not peer.members.superseded,
            "ailing": peer.members.local_health,
            "bytes_sent": peer.sent,
            "bytes_heard": peer.received,
            "held_back": peer.over_bandwidth,
            "dropped": dict(peer.sealer.dropped),
            "group": peer.config.group,
            "region": peer.config.region,
            "brokers": {} if peer.subscriber is None else peer.subscriber.status(now),
            "members": [
                {
                    "name": name,
                    "stand": member.update.state.name.lower(),
                    "number": member.update.number,
                    "life": member.update.epoch,
                    "for_s": (now - member.since) // 1_000_000,
                }
                for name, member in sorted(peer.members.members.items())
            ],
            "budgets": {key: peer.shares.status(key, now) for key in peer.shares.budget_names()},
            "endpoints": peer.observations.status(now, peer.members.alive()),
            "not_believed": peer.observations.distrusted_sources(),
            "counts": peer.counters.fleet_totals(now),
        }

    def request_counters(self) -> None:
        """Request the counters of all couriers."""
        self.peer.counters.request_all()

    def _leave(self) -> None:
        self._status_socket.stop()
        if not self._disabled:
            self._send(self.peer.shut_down(self.loop.clock()))

    # Observations of endpoints

    def attempt_ended(self, endpoint: EndpointId, result: Result, sent: int) -> None:
        """See ``core.courier.Peers``."""
        name, now, column = demand.endpoint_name(endpoint), self.loop.clock(), self.courier.settings.limit_column
        limit = result.report[column] if column is not None and column < len(result.report) else 0.0
        outcome = CallOutcome.OTHER
        if result.outcome is api.Outcome.OK:
            outcome = CallOutcome.SERVED
        elif result.outcome is api.Outcome.FULL:
            outcome = CallOutcome.REFUSED
        elif result.outcome in FAILED_OUTCOMES and not result.no_slot and not self._was_stalled(sent, now):
            outcome = CallOutcome.FAILED
        # A limit outside this range is implausible, and counts as not reported.
        self.peer.observations.record_call(
            name, outcome, sent, now, result.retry_after, limit if 0.01 < limit < 1e6 else 0.0
        )
        route = self.courier.controller.routes.get(endpoint)
        dest = "gone" if route is None else route.dest.id
        if route is not None:
            self._called_dests.add(route.dest.id)
        self.peer.counters.add(f"calls/{dest}/{result.outcome.name.lower()}")

    def _was_stalled(self, sent: int, now: int) -> bool:
        """Whether a stall of this process may have delayed the answer; the endpoint is not blamed for that."""
        return now - self._last_tick > STALL_THRESHOLD or sent <= self._resumed_at

    def _update_suspensions(self) -> None:
        """Notify the decision module of endpoints whose suspension by reports of other couriers has changed."""
        self.peer.has_new_observations = False
        observations, now = self.peer.observations, self.loop.clock()
        suspended = observations.restrictions(now, self.peer.members.alive())
        ids = self._snapshot.ids
        changed = [
            (ids[name], suspension.until * NS_PER_US, suspension.one_at_a_time)
            for name, suspension in suspended.items()
            if self._suspended.get(name) != suspension and name in ids
        ]
        changed += [(ids[name], 0, False) for name in sorted(self._suspended.keys() - suspended.keys()) if name in ids]
        for name in suspended.keys() - self._suspended.keys():
            logs.event(
                "peers-hold",
                endpoint=name,
                one=suspended[name].one_at_a_time or None,
                for_ms=(suspended[name].until - now) // MS,
            )
        self._suspended = suspended
        if changed:
            self.courier.queue_controller_event(api.Judged(tuple(changed)))

    # Counters

    def message_accepted(self, message: Message) -> None:
        """See ``core.courier.Peers``."""
        self.peer.counters.add(f"taken/{self.courier.settings.classes[message.cls].name}")
        if message.tenant in self._tenant_rates and not self.peer.shares.try_call(
            demand.tenant_key(message.tenant), self.loop.clock()
        ):
            self._over_share[message.tenant] = self._over_share.get(message.tenant, 0) + 1

    def message_ended(self, message: Message, end: End) -> None:
        """See ``core.courier.Peers``."""
        self.peer.counters.add(f"ended/{self.courier.settings.classes[message.cls].name}/{end.state}")

    # Budgets

    def _update_budgets(self, now: int) -> None:
        """Update budgets and observations from the state of the decision module: limits, queues and routes."""
        shares, observations, settings = self.peer.shares, self.peer.observations, self.courier.settings
        enabled = not self._disabled  # if disabled, reports of other couriers have no effect
        recovering = (
            observations.recovering(now, settings.ramp_ns // NS_PER_US)
            if enabled and settings.fall_ns and settings.ramp_ns
            else {}
        )
        self._snapshot = snapshot = demand.take_snapshot(
            self.courier.controller,
            settings,
            self.config.spend / 100,
            self.config.again / 100,
            lambda endpoint: observations.reported_limit(endpoint, now) if enabled else 0.0,
            recovering,
        )
        observations.set_routes(snapshot.routes, snapshot.closed)
        for name in snapshot.silent:
            observations.record_silence(name, now)
        for name in snapshot.down:
            observations.start_outage(name, now)
        for number, tenant in enumerate(settings.tenants):
            if tenant.rate > 0:
                calls, window = budget_for_rate(tenant.rate, settings.forwarders, TENANT_WINDOW)
                over_share = self._over_share.pop(number, 0)
                snapshot.budgets[demand.tenant_key(number)] = demand.Demand(
                    calls, window, [], over_share, float(over_share)
                )
        for key, wanted in snapshot.budgets.items():
            offset = xxhash.xxh32_intdigest(key.encode()) if wanted.fully_lendable else 0
            shares.set_budget(key, wanted.calls, wanted.window, wanted.fully_lendable, offset, now)
            shares.set_shortfall(key, wanted.waiting, wanted.waiting_weight, now)
        for key in shares.budget_names():
            if key not in snapshot.budgets:
                shares.retire_budget(key)

    def _update_rates(self) -> None:
        """Notify the decision module of endpoints and tenants for which this courier's rate has changed."""
        now = self.loop.clock()
        endpoint_rates: dict[EndpointId, float] = {}
        tenant_rates: dict[int, float] = {}
        for key, wanted in self._snapshot.budgets.items():
            allowed = self.peer.shares.allowed(key, now)
            if allowed is not None:
                # No call is allowed for one window after a start, or while the whole share is lent. The decision module
                # is given the share as the rate even then: at rate zero it would at once abandon messages that can be
                # delivered a second later.
                allowed = allowed or self.peer.shares.share(key)
                rate = max(0.05, allowed * 1_000_000 / wanted.window)  # 0 would mean that the limit is not shared
                for id in wanted.endpoints:  # a recovering endpoint has a second budget: the lower rate applies
                    endpoint_rates[id] = min(endpoint_rates.get(id, rate), rate)
                if key.startswith("t:"):
                    tenant_rates[int(key[2:])] = rate
        changed = tuple((id, rate) for id, rate in endpoint_rates.items() if self._endpoint_rates.get(id) != rate)
        removed = tuple((id, 0.0) for id in self._endpoint_rates if id not in endpoint_rates)
        changed_tenants = tuple((n, rate) for n, rate in tenant_rates.items() if self._tenant_rates.get(n) != rate)
        self._endpoint_rates, self._tenant_rates = endpoint_rates, tenant_rates
        if changed or removed or changed_tenants:
            self.courier.queue_controller_event(api.Parts(changed + removed, changed_tenants))

    def _budget_keys(self, endpoint: EndpointId, is_retry: bool) -> list[str]:
        """The budgets that a call to the endpoint counts against."""
        route = self.courier.controller.routes.get(endpoint)
        if route is None:
            return []
        keys = [
            demand.budget_key(endpoint, route.dest),
            demand.slow_start_key(demand.endpoint_name(endpoint)),
            *([demand.retry_key(route.dest.id)] if is_retry else ()),
        ]
        return [keys[0], *(key for key in keys[1:] if key in self._snapshot.budgets)]

    def wait_for_budget(self, endpoint: EndpointId, is_retry: bool, deadline: int) -> None:
        """See ``core.courier.Peers``."""
        shares = self.peer.shares
        while self.loop.now < deadline and not all(
            shares.may_call(key, self.loop.clock()) for key in self._budget_keys(endpoint, is_retry)
        ):
            self.loop.sleep(BUDGET_POLL_INTERVAL)

    def spend_budget(self, endpoint: EndpointId, is_retry: bool) -> bool:
        """See ``core.courier.Peers``. Reads the clock itself, as the process may have been stalled in this turn."""
        keys, now, shares = self._budget_keys(endpoint, is_retry), self.loop.clock(), self.peer.shares
        if not all(shares.may_call(key, now) for key in keys):
            return False
        for key in keys:
            shares.try_call(key, now)
            self.peer.counters.add(f"used/{key}")
        return True
