"""The transport map: the known next hops, and the source that owns each of them. No I/O.

Several sources list next hops: the platform's discovery, registries, map files of the operators, and SMPP gateways.
An entry is owned by the source that listed its id first. Another source that lists the same id is a rival: the
conflict is logged once, as an error with the names of both sources, and the owner's entry stays, whatever the rival
reports. When the owner removes the id, a rival that still lists it becomes the owner. A source can remove, drain or
change only the entries that it owns, so that a reload of one source leaves the entries of the others unchanged.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from snowlock import interface as api

NO_BOUND = 1 << 62  # microseconds: no bound


class SendGuard(Protocol):
    """Called right before the first byte of a delivery attempt is sent; if it returns false, nothing may be sent."""

    def __call__(self) -> bool:
        """Whether the attempt may be sent; if so, it has been journalled, and taken from any shared budget."""

    def may_continue(self) -> bool:
        """Whether the rest of a started attempt may be sent: no drain or retry-after since, and the window is open."""


class Carrier(Protocol):
    """Makes delivery attempts over one protocol."""

    def attempt(self, message: Any, hop: NextHop, deadline: int, guard: SendGuard) -> Any:
        """Make one delivery attempt; call ``guard`` right before the first byte, and send nothing if it returns false.

        ``message`` is a ``messages.Message`` and the result a ``messages.Result``.
        ``deadline``: end of the attempt, in microseconds of the event loop's clock.
        """

    def close_idle(self, hop: NextHop) -> None:
        """Close idle connections to the next hop."""


@dataclass(frozen=True, slots=True)
class NextHop:
    """One entry of the transport map: an endpoint, and how to reach it. Times are microseconds."""

    endpoint: api.Endpoint
    address: tuple[str, int]
    carrier: Carrier
    target: str = "/v1/messages"  # path of HTTP calls
    connect_timeout: int = NO_BOUND  # maximum time to connect
    delivery_timeout: int = NO_BOUND  # maximum delivery time, from a message's submission or ``start``

    @property
    def name(self) -> str:
        """The name used in logs."""
        return self.endpoint.id.decode("utf-8", "replace")


@dataclass(slots=True)
class MapUpdate:
    """The effects of an update from one source."""

    endpoints: list[api.Endpoint] = field(default_factory=list)  # for the decision module
    close_idle: list[NextHop] = field(default_factory=list)  # next hops whose idle connections have to be closed
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)  # for the log


def gone(endpoint: api.Endpoint) -> api.Endpoint:
    """A copy of the endpoint in state GONE."""
    return api.Endpoint(
        endpoint.id, endpoint.destination, endpoint.zone, endpoint.kind, api.EndpointState.GONE, endpoint.rate
    )


class TransportMap:
    """All entries by id, each with its owner, and with the rivals that also list it."""

    def __init__(self) -> None:
        self.hops: dict[api.EndpointId, NextHop] = {}
        self.destinations: set[int] = set()  # destinations that were ever listed
        self.pending_sources: set[str] = set()  # sources that have reported nothing since the start
        # Sources whose connection is lost: their lists may lack entries that have existed for a while.
        self.disconnected_sources: set[str] = set()
        self._owner: dict[api.EndpointId, str] = {}
        self._rivals: dict[api.EndpointId, dict[str, NextHop]] = {}
        self._bounds: dict[int, dict[api.EndpointId, int]] = {}  # by destination: finite ``delivery_timeout`` values

    def owner(self, name: api.EndpointId) -> str | None:
        """The source that owns the entry with this id; None if there is no such entry."""
        return self._owner.get(name)

    def delivery_timeout(self, dest: int) -> int:
        """The smallest ``delivery_timeout`` of a destination's entries in microseconds; ``NO_BOUND`` without one."""
        bounds = self._bounds.get(dest)
        return min(bounds.values()) if bounds else NO_BOUND

    def ids_listed_by(self, source: str) -> list[api.EndpointId]:
        """The ids that a source lists, as their owner or as a rival."""
        owned = [name for name, owner in self._owner.items() if owner == source]
        return owned + [name for name, rivals in self._rivals.items() if source in rivals]

    def apply(
        self, source: str, hops: Iterable[NextHop], complete: bool = False, removed: Iterable[api.EndpointId] = ()
    ) -> MapUpdate:
        """Apply an update from one source: changed entries and removed ids.

        ``complete``: ids that the source has listed and that are not in ``hops`` are removed, too. Removals by id come
        first, so that an id that is removed and listed again in one update stays. A hop in state GONE is a removal that
        is applied in its place among the hops.
        """
        change, hops = MapUpdate(), list(hops)
        if complete:
            names = {hop.endpoint.id for hop in hops}
            removed = [*removed, *(name for name in self.ids_listed_by(source) if name not in names)]
        for name in removed:
            self._remove(source, name, change)
        for hop in hops:
            if hop.endpoint.state is api.EndpointState.GONE:
                self.destinations.add(hop.endpoint.destination)
                self._remove(source, hop.endpoint.id, change, hop)
            else:
                self._add_or_update(source, hop, change)
        return change

    def _add_or_update(self, source: str, hop: NextHop, change: MapUpdate) -> None:
        name = hop.endpoint.id
        owner = self._owner.setdefault(name, source)
        if owner != source:
            rivals = self._rivals.setdefault(name, {})
            if source not in rivals:
                change.events.append(("map-conflict", {"hop": hop.name, "source": owner, "rival": source}))
            rivals[source] = hop
            return
        before = self.hops.get(name)
        if before is not None:
            self._remove_bound(before)
            if before.endpoint.destination != hop.endpoint.destination or before.address != hop.address:
                change.close_idle.append(before)
        self.hops[name] = hop
        self.destinations.add(hop.endpoint.destination)
        if hop.delivery_timeout != NO_BOUND:
            self._bounds.setdefault(hop.endpoint.destination, {})[name] = hop.delivery_timeout
        change.endpoints.append(hop.endpoint)
        if hop.endpoint.state is not api.EndpointState.READY:
            change.close_idle.append(hop)

    def _remove_bound(self, hop: NextHop) -> None:
        bounds = self._bounds.get(hop.endpoint.destination)
        if bounds is not None:
            bounds.pop(hop.endpoint.id, None)
            if not bounds:
                del self._bounds[hop.endpoint.destination]

    def _remove(self, source: str, name: api.EndpointId, change: MapUpdate, reported: NextHop | None = None) -> None:
        owner = self._owner.get(name)
        if owner != source:
            rivals = self._rivals.get(name, {})
            rivals.pop(source, None)
            if not rivals:
                self._rivals.pop(name, None)
            if owner is None and reported is not None:
                change.endpoints.append(reported.endpoint)  # not in this map, but the decision module may know it
            return
        before = self.hops.pop(name)
        del self._owner[name]
        self._remove_bound(before)
        change.endpoints.append(gone(before.endpoint))
        change.close_idle.append(before)
        rivals = self._rivals.pop(name, {})
        if rivals:
            successor = next(iter(rivals))
            hop = rivals.pop(successor)
            if rivals:
                self._rivals[name] = rivals
            change.events.append(("map-takes-over", {"hop": hop.name, "source": successor, "former": source}))
            self._add_or_update(successor, hop, change)
