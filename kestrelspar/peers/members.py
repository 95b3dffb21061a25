"""Group membership: SWIM with Lifeguard's extensions. No I/O: takes messages and the time, returns messages and events.

Everything that decides which couriers count as alive lives in this file. Times are microseconds of the caller's clock.

Theory of operation
-------------------
Updates of a member are ordered by (process epoch, incarnation, state). The largest wins, whatever the order of arrival.
Each start of the process begins a new epoch; within it only the member itself raises its incarnation, to refute a
suspicion.

In each period one member is probed (``Ping``), in shuffled order. Without an ack in time, helpers are asked to probe it
(``Probe``); without an ack by the end of the period it is suspected. The next ping to the suspect carries the
suspicion, so that it can refute it; if it doesn't do so in time, it is declared dead. The suspicion timeout is longest
while at most one member (witness) has reported the suspicion, and shrinks with each further witness.

Most false suspicions are caused by a fault of the accuser itself, so:

- A member whose process was paused (more than a period between two ticks) restarts its probes and suspicion timeouts,
  and accuses nobody until it has received an ack.
- A member that was paused, whose probe failed without a ``Nack`` from each helper or without any helper, or that had to
  refute a suspicion, lowers its estimate of its own health (Lifeguard's local health multiplier): its periods and
  suspicion timeouts grow up to ``MAX_HEALTH_MULTIPLIER`` times. Each probe that is acknowledged raises the estimate.

Dead members are kept for ``DEAD_RETENTION``, so that old updates don't revive them. Now and then a dead member or a
seed that is not a member is pinged, so that two halves of a partitioned fleet that declared each other dead rejoin: a
ping carries the state that the sender holds for the receiver, which the receiver can refute.

If the settings name a group, only couriers of the same group or of none are members. Couriers that don't support groups
are members of all groups, as they treat all couriers as members. A courier of another group is foreign: it is neither a
member nor probed or gossiped. Its pings are answered nevertheless: it may have learned of this courier from one that
doesn't support groups and therefore omitted the group. The answer carries the group.
"""

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from kestrelspar.peers.messages import Ack, MemberState, MemberUpdate, Nack, PeerMessage, Ping, Probe

MS, SECOND = 1_000, 1_000_000  # microseconds
INDIRECT_PROBES = 3  # helpers asked to probe a member that doesn't answer, and seeds pinged at once
MAX_HEALTH_MULTIPLIER = 8  # of periods and timeouts, for a courier that may be unhealthy itself
ACK_TIMEOUT_SHARE, NACK_TIMEOUT_SHARE = 0.4, 0.8  # ack timeout per period; a helper's nack timeout per ack timeout
MIN_SUSPICION_FACTOR, MAX_SUSPICION_FACTOR = 3.0, 6.0  # suspicion timeout: periods times log10 of the number of members
MAX_SUSPICION_WITNESSES = 3  # witnesses for the shortest suspicion timeout; more are not counted
GOSSIP_FACTOR = 3.0  # a change is gossiped this many times log2 of the number of members
DEAD_RETENTION = 600 * SECOND  # how long a member that is dead or has left is kept
# Periods between pings to a dead member, or to a seed that is not a member. While no member is alive, such seeds are
# pinged in each period.
RECONNECT_PERIODS = 5
MAX_GOSSIPED_MEMBERS = 24  # max updates in a datagram, besides those of its sender and its receiver
MAX_RELAYED_PROBES = 64  # open probes on behalf of other members

Outgoing = list[tuple[str, list[PeerMessage]]]  # receiver and messages
Events = list[tuple[str, dict[str, Any]]]


@dataclass(slots=True)
class Member:
    """What is known about one other courier."""

    update: MemberUpdate
    since: int  # when its state was received, or its suspicion timeout restarted
    times_gossiped: int = 0  # since its last change
    # Who reported its present state; of a suspected member, all witnesses of the suspicion. At first nobody.
    witnesses: set[str] = field(default_factory=set)


@dataclass(slots=True)
class PendingProbe:
    """The probe of the current period."""

    target: str
    sent_at: int
    helpers_asked: int = 0
    nacks: int = 0
    answered: bool = False


def precedence(update: MemberUpdate) -> tuple[int, int, int]:
    """Sort key of updates of one member: the largest wins."""
    return update.epoch, update.incarnation, update.state


class Members:
    """One courier's view of all members."""

    def __init__(
        self,
        own_update: MemberUpdate,
        seeds: dict[str, tuple[str, int]],
        period: int,
        max_members: int,
        now: int,
        random: Random,
    ) -> None:
        """``seeds``: addresses of couriers to contact first, by name. ``period``: between two probes, microseconds."""
        self.own_update = own_update
        self.seeds = {name: address for name, address in seeds.items() if name != own_update.name}
        self.period, self.max_members = period, max_members
        self.members: dict[str, Member] = {}
        self.superseded = False  # another process with a later epoch has this courier's name
        self.leaving = False  # ``shut_down`` was called
        # Lifeguard's score: 0 is healthy; each point lengthens periods and timeouts by their base value.
        self.local_health = 0
        self.rejected_updates = 0  # updates of unknown couriers rejected because of ``max_members``
        self.foreign = 0  # updates of couriers in other groups that were ignored
        self.events: Events = []
        self._random = random
        self._last_number = random.randrange(1 << 32)
        self._probe_order: list[str] = []
        self._probe: PendingProbe | None = None
        self._probe_number = 0  # ``n`` of the current probe
        # By number of the relayed ping: requester, its request number, time of receipt, and whether a nack was sent.
        self._relayed_probes: dict[int, tuple[str, int, int, bool]] = {}
        self._next_period_at = now
        self._last_tick = now
        self._periods = 0
        self._stalled = False  # this process was paused and has received no ack since
        self._alive: list[str] | None = None  # cache, cleared on a change
        # Name of the last courier seen with each number.
        self._number_holders: dict[int, str] = {own_update.number: own_update.name}
        self._not_alive: set[str] = set()  # members that are suspected, dead or have left
        self._updated: set[str] = set()  # members whose last change is still gossiped
        # Couriers of other groups by name, so that they can be answered.
        self._foreign_couriers: dict[str, MemberUpdate] = {}

    # Queries

    def alive(self) -> list[str]:
        """Members that are alive or suspected, as a suspect may still refute the suspicion."""
        if self._alive is None:
            self._alive = [name for name, m in self.members.items() if m.update.state <= MemberState.SUSPECT]
        return self._alive

    def gone(self) -> set[str]:
        """Members that are dead or have left."""
        return {name for name in self._not_alive if self.members[name].update.state >= MemberState.DEAD}

    def address(self, name: str) -> tuple[str, int] | None:
        """Address of a member, seed or foreign courier; a configured one takes precedence. None if unknown."""
        if name in self.seeds:
            return self.seeds[name]
        member = self.members.get(name)
        update = member.update if member is not None else self._foreign_couriers.get(name)
        return (update.host, update.port) if update is not None else None

    def group(self, name: str) -> str:
        """Group of a member; empty if it has none or is no member."""
        member = self.members.get(name)
        return member.update.group if member is not None else ""

    def number(self, name: str) -> int | None:
        """Position of a member among the couriers; None if it is no member."""
        member = self.members.get(name)
        return member.update.number if member is not None else None

    # Periodic work

    def tick(self, now: int) -> Outgoing:
        """Messages that are due; none once superseded or leaving. Call it several times per period."""
        if self.superseded or self.leaving:
            return []
        self._handle_stall(now)
        out: Outgoing = []
        self._send_nacks(now, out)
        self._expire_members(now)
        probe, probe_period = self._probe, self.period * (1 + self.local_health)
        if (
            probe is not None
            and not probe.answered
            and not probe.helpers_asked
            and now - probe.sent_at >= int(probe_period * ACK_TIMEOUT_SHARE)
        ):
            helpers = [name for name in self._unsuspected() if name != probe.target]
            for name in self._random.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
                out.append((name, [Probe(self._probe_number, probe.target)]))
                probe.helpers_asked += 1
        if now < self._next_period_at:
            return out
        if probe is not None:
            self._finish_probe(probe, now)
        self._probe, self._next_period_at = None, now + self.period * (1 + self.local_health)
        self._periods += 1
        self._probe_next(now, out)
        self._reconnect(out)
        return out

    def _handle_stall(self, now: int) -> None:
        """After a pause of this process, drop the open probe and restart suspicion timeouts.

        Otherwise it would blame other members for acks and refutations that it missed during its own pause.
        """
        gap, self._last_tick = now - self._last_tick, now
        if gap <= self.period:
            return
        self.events.append(("peers-stalled", {"ms": gap // MS}))
        self._probe, self._stalled, self._next_period_at = None, True, now
        self.local_health = min(MAX_HEALTH_MULTIPLIER - 1, self.local_health + 1)
        for name in self._not_alive:
            if self.members[name].update.state is MemberState.SUSPECT:
                self.members[name].since = now

    def _probe_next(self, now: int, out: Outgoing) -> None:
        """Ping the next member; each member is pinged once in a round."""
        while self._probe_order:
            name = self._probe_order.pop()
            if name in self.members and self.members[name].update.state <= MemberState.SUSPECT:
                self._probe, self._probe_number = PendingProbe(name, now), self._next_number()
                out.append((name, [Ping(self._probe_number)]))
                return
        self._probe_order = list(self.alive())
        self._random.shuffle(self._probe_order)
        if self._probe_order:
            self._probe_next(now, out)

    def _reconnect(self, out: Outgoing) -> None:
        """Ping seeds that are not members, and dead members: the fleet may have been partitioned."""
        missing = [name for name in self.seeds if name not in self.members]
        if not self.alive() and missing:  # no members yet: ping several at once
            out += [
                (name, [Ping(self._next_number())])
                for name in self._random.sample(missing, min(INDIRECT_PROBES, len(missing)))
            ]
        elif self._periods % RECONNECT_PERIODS == 0:
            missing += [name for name, m in self.members.items() if m.update.state is MemberState.DEAD]
            if missing:
                out.append((self._random.choice(missing), [Ping(self._next_number())]))

    def _finish_probe(self, probe: PendingProbe, now: int) -> None:
        """At the end of a period, suspect the probed member if neither it nor a helper sent an ack."""
        if probe.answered:
            self.local_health = max(0, self.local_health - 1)
            return
        if probe.nacks < probe.helpers_asked or not probe.helpers_asked:
            # A helper didn't answer either, or there was none to ask, so this courier itself may be the cause.
            self.local_health = min(MAX_HEALTH_MULTIPLIER - 1, self.local_health + 1)
        member = self.members.get(probe.target)
        if member is not None and member.update.state is MemberState.ALIVE and not self._stalled:
            self._set_state(member, _with_state(member.update, MemberState.SUSPECT), now)
            member.witnesses = {self.own_update.name}
            self.events.append(("peers-suspect", {"peer": probe.target, "by": self.own_update.name}))

    def _expire_members(self, now: int) -> None:
        """Declare suspects dead after their timeout; forget members dead or departed for ``DEAD_RETENTION``."""
        for name in sorted(self._not_alive):
            member = self.members[name]
            expired = now - member.since >= self.suspicion_timeout(member)
            if member.update.state is MemberState.SUSPECT and expired and not self._stalled:
                self._set_state(member, _with_state(member.update, MemberState.DEAD), now)
                self.events.append(("peers-dead", {"peer": name, "witnesses": len(member.witnesses)}))
            elif member.update.state >= MemberState.DEAD and now - member.since > DEAD_RETENTION:
                self._forget(name)

    def _forget(self, name: str) -> None:
        self._number_holders.pop(self.members.pop(name).update.number, None)
        self._not_alive.discard(name)
        self._updated.discard(name)
        self._alive = None

    def suspicion_timeout(self, member: Member) -> int:
        """Suspicion timeout in microseconds: the more witnesses, the shorter."""
        scale = max(1.0, math.log10(len(self.members) + 1)) * self.period * (1 + self.local_health)
        confirmation = min(1.0, math.log(max(1, len(member.witnesses))) / math.log(MAX_SUSPICION_WITNESSES))
        return int(scale * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - MIN_SUSPICION_FACTOR) * confirmation))

    def _send_nacks(self, now: int, out: Outgoing) -> None:
        """Send a nack for each relayed probe without an ack in time: it shows that at least this helper is alive.

        A late ack is still relayed, up to ``MAX_HEALTH_MULTIPLIER`` periods after the request.
        """
        for number, (requester, request_number, received_at, nack_sent) in list(self._relayed_probes.items()):
            if not nack_sent and now - received_at >= int(self.period * ACK_TIMEOUT_SHARE * NACK_TIMEOUT_SHARE):
                out.append((requester, [Nack(request_number)]))
                self._relayed_probes[number] = requester, request_number, received_at, True
            if now - received_at > self.period * MAX_HEALTH_MULTIPLIER:
                del self._relayed_probes[number]

    # Messages

    def receive(self, sender: str, epoch: int, messages: Iterable[PeerMessage], now: int) -> Outgoing:
        """Handle a courier's messages about membership; others are ignored, as is ``epoch``."""
        out: Outgoing = []
        if self.superseded:
            return out
        for message in messages:
            if isinstance(message, MemberUpdate):
                self._apply_update(message, sender, now)
            elif isinstance(message, Ping):
                out.append((sender, [Ack(message.n)]))
            elif isinstance(message, Ack):
                self._handle_ack(message.n, out)
            elif isinstance(message, Probe):
                if len(self._relayed_probes) < MAX_RELAYED_PROBES and message.target != self.own_update.name:
                    number = self._next_number()
                    self._relayed_probes[number] = sender, message.n, now, False
                    out.append((message.target, [Ping(number)]))
            elif isinstance(message, Nack) and self._probe is not None and message.n == self._probe_number:
                self._probe.nacks += 1
        return out

    def _handle_ack(self, number: int, out: Outgoing) -> None:
        self._stalled = False
        if self._probe is not None and number == self._probe_number:
            self._probe.answered = True
        if number in self._relayed_probes:
            requester, request_number, _, _ = self._relayed_probes.pop(number)
            out.append((requester, [Ack(request_number)]))

    def _apply_update(self, update: MemberUpdate, reporter: str, now: int) -> None:
        """Apply an update about any courier, received from ``reporter``."""
        if update.name == self.own_update.name:
            self._handle_own_state(update)
            return
        member = self.members.get(update.name)
        if self._check_foreign(update):
            return
        if member is None:
            if update.state >= MemberState.DEAD:
                return
            if len(self.members) >= self.max_members:
                self.rejected_updates += 1
                return
            member = self.members[update.name] = Member(update, now)
            self._set_state(member, update, now)
            self._probe_order.insert(self._random.randrange(len(self._probe_order) + 1), update.name)
            self._announce_join(member)
            return
        if precedence(update) > precedence(member.update):
            before = member.update
            self._set_state(member, update, now)
            member.witnesses = {reporter}
            if update.epoch > before.epoch or before.state >= MemberState.DEAD and update.state is MemberState.ALIVE:
                self._announce_join(member)
            elif update.state is not before.state:
                event_names = {
                    MemberState.ALIVE: "peers-refuted",
                    MemberState.SUSPECT: "peers-suspect",
                    MemberState.DEAD: "peers-dead",
                    MemberState.LEFT: "peers-left",
                }
                self.events.append((event_names[update.state], {"peer": update.name, "by": reporter}))
        elif (
            precedence(update) == precedence(member.update)
            and update.state is MemberState.SUSPECT
            and reporter not in member.witnesses
            and len(member.witnesses) < MAX_SUSPICION_WITNESSES
        ):
            member.witnesses.add(reporter)
            member.times_gossiped = 0  # so that the additional witness is gossiped, too
            self._updated.add(update.name)

    def _check_foreign(self, update: MemberUpdate) -> bool:
        """Whether the update is about a courier of another group. If that was a member, it is forgotten.

        Couriers that don't support groups gossip such an update without the group, so an update without a group is
        matched with a known foreign courier by its process epoch.
        """
        if not self.own_update.group:
            return False
        known = self._foreign_couriers.get(update.name)
        if update.group in ("", self.own_update.group):
            if known is None:
                return False
            if update.epoch < known.epoch or update.epoch == known.epoch and not update.group:
                self.foreign += 1
                return True
            del self._foreign_couriers[update.name]  # restarted in this group or without a group
            return False
        self.foreign += 1
        member = self.members.get(update.name)
        if member is not None and update.epoch < member.update.epoch:
            return True  # an update from before it joined this group
        if member is not None:
            self._forget(update.name)
        if known is None or precedence(update) > precedence(known):
            if known is None and len(self._foreign_couriers) >= self.max_members:
                del self._foreign_couriers[next(iter(self._foreign_couriers))]
            self._foreign_couriers[update.name] = update
        return True

    def _announce_join(self, member: Member) -> None:
        """Report a new, restarted or revived member, and whether another courier that is alive has its number."""
        update = member.update
        self.events.append(("peers-joined", {"peer": update.name, "life": update.epoch, "number": update.number}))
        other = self._number_holders.setdefault(update.number, update.name)
        if other != update.name:
            if other == self.own_update.name or other in self.alive():
                self.events.append(
                    ("peers-number-twice", {"peer": update.name, "rival": other, "number": update.number})
                )
            self._number_holders[update.number] = update.name

    def _handle_own_state(self, update: MemberUpdate) -> None:
        """Handle an update about this courier: refute any state but alive, or detect another process with its name."""
        if update.epoch > self.own_update.epoch:
            self.superseded = True
            self.events.append(
                (
                    "peers-name-twice",
                    {"life": self.own_update.epoch, "younger": update.epoch, "at": f"{update.host}:{update.port}"},
                )
            )
        elif (
            update.epoch == self.own_update.epoch
            and update.state
            and update.incarnation >= self.own_update.incarnation
            and not self.leaving
        ):
            self.own_update = MemberUpdate(
                self.own_update.name,
                self.own_update.host,
                self.own_update.port,
                self.own_update.number,
                self.own_update.epoch,
                update.incarnation + 1,
                MemberState.ALIVE,
                self.own_update.group,
            )
            self.local_health = min(MAX_HEALTH_MULTIPLIER - 1, self.local_health + 1)

    def _set_state(self, member: Member, update: MemberUpdate, now: int) -> None:
        member.update, member.since, member.times_gossiped = update, now, 0
        self._updated.add(update.name)
        self._alive = None
        (self._not_alive.discard if update.state is MemberState.ALIVE else self._not_alive.add)(update.name)

    # Gossip

    def gossip(self, to: str) -> list[PeerMessage]:
        """Updates to add to a datagram for the courier ``to``, most urgent first; the caller adds as many as fit."""
        max_sent = int(GOSSIP_FACTOR * math.log2(len(self.members) + 2))
        receiver = self.members.get(to)
        updates: list[PeerMessage] = [self.own_update]
        if receiver is not None and receiver.update.state is not MemberState.ALIVE:
            updates.append(receiver.update)  # so that it can refute
        self._updated = {
            name for name in self._updated if name in self.members and self.members[name].times_gossiped < max_sent
        }
        recent = heapq.nsmallest(
            MAX_GOSSIPED_MEMBERS,
            (self.members[name] for name in sorted(self._updated - {to})),
            key=lambda m: m.times_gossiped,
        )
        updates += [m.update for m in recent]
        if len(recent) < MAX_GOSSIPED_MEMBERS and self.members:  # a random sample repairs what was lost
            names = self._random.sample(list(self.members), min(MAX_GOSSIPED_MEMBERS - len(recent), len(self.members)))
            rest = [self.members[name].update for name in names if name != to and name not in self._updated]
            updates += [update for update in rest if update.state < MemberState.DEAD]
        return updates

    def count_gossiped(self, messages: Iterable[PeerMessage]) -> None:
        """Count how often the update of each member in ``messages`` was gossiped."""
        for message in messages:
            if isinstance(message, MemberUpdate) and message.name in self.members:
                self.members[message.name].times_gossiped += 1

    def shut_down(self) -> Outgoing:
        """Leave the group. Returns the messages that notify some members, which gossip it to the others."""
        self.leaving = True
        self.own_update = _with_state(self.own_update, MemberState.LEFT)
        names = self._unsuspected()
        return [(name, [self.own_update]) for name in self._random.sample(names, min(2 * INDIRECT_PROBES, len(names)))]

    def _unsuspected(self) -> list[str]:
        return [name for name, m in self.members.items() if m.update.state is MemberState.ALIVE]

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number


def _with_state(update: MemberUpdate, state: MemberState) -> MemberUpdate:
    return MemberUpdate(
        update.name, update.host, update.port, update.number, update.epoch, update.incarnation, state, update.group
    )
