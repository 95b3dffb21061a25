"""Peer messages: what couriers and brokers send each other in a datagram, as msgpack arrays. No decisions, no I/O.

Every message is an array whose first element is its tag, so the order of the fields is the wire format.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Union

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=60)]
Key = Annotated[str, Meta(min_length=1, max_length=200)]  # name of a budget, an endpoint or a counter
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
_OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
# An IPv4 address or ``localhost``, so that a received host never needs name resolution.
Host = Annotated[str, Meta(max_length=15, pattern=rf"\A(localhost|{_OCTET}(\.{_OCTET}){{3}})\Z")]
Group = Annotated[str, Meta(max_length=60)]  # a group, or the name of an origin broker; may be empty
Dest = Annotated[int, Meta(ge=0, le=1 << 40)]  # destination number, the same at all couriers
Digest = Annotated[int, Meta(ge=0, lt=1 << 62)]
Calls = Annotated[int, Meta(ge=0, le=1_000_000)]  # per window of a budget


class MemberState(IntEnum):
    """State of a member. Of two states with the same epoch and incarnation the larger wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(Struct, array_like=True, frozen=True, tag="s"):
    """Membership update: what the sender knows about a member.

    ``number``: the member's position among the couriers, as configured. ``epoch``: its process epoch, larger at each
    start. ``incarnation``: raised by the member itself to refute a suspicion; starts at 0 in each epoch.

    ``group`` comes last because couriers that don't support groups ignore what follows ``state``. A member without a
    group is sent as ``UngroupedMemberUpdate``.
    """

    name: Name
    host: Annotated[str, Meta(max_length=15)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    number: Count
    epoch: Count
    incarnation: Count
    state: MemberState
    group: Group = ""


class UngroupedMemberUpdate(Struct, array_like=True, frozen=True, tag="s"):
    """``MemberUpdate`` of a member without a group, in the encoding from before groups existed. Never decoded."""

    name: str
    host: str
    port: int
    number: int
    epoch: int
    incarnation: int
    state: MemberState


class Ping(Struct, array_like=True, frozen=True, tag="p"):
    """Asks whether the receiver is alive; the ``Ack`` repeats ``n``."""

    n: Count


class Ack(Struct, array_like=True, frozen=True, tag="a"):
    """Answer to ``Ping`` or ``Probe``: the receiver of the ping, or the target of the probe, is alive."""

    n: Count


class Probe(Struct, array_like=True, frozen=True, tag="q"):
    """Asks the receiver, as a helper, to ping the member ``target``; its ``Ack`` or ``Nack`` repeats ``n``."""

    n: Count
    target: Name


class Nack(Struct, array_like=True, frozen=True, tag="n"):
    """Answer to ``Probe``: the helper itself is alive, but the target has not answered it yet."""

    n: Count


class LoanRequest(Struct, array_like=True, frozen=True, tag="k"):
    """Requests a loan of ``calls`` calls per window of the budget ``key``, or the renewal of ``loan`` if that isn't 0.

    ``waiting_weight``: total weight of the messages that wait for these calls.
    """

    n: Count
    key: Key
    calls: Calls
    waiting_weight: Annotated[float, Meta(ge=0, le=1e12)]
    loan: Count = 0


class LoanGrant(Struct, array_like=True, frozen=True, tag="g"):
    """Answer to ``LoanRequest`` ``n``: the receiver may use ``calls`` calls per window for a loan term.

    The term begins when the request was sent. ``loan``: the lender's number for this loan.
    """

    n: Count
    loan: Count
    calls: Calls


class LoanReturn(Struct, array_like=True, frozen=True, tag="b"):
    """Returns a loan: the sender no longer uses it."""

    loan: Count


class Observation(Struct, array_like=True, frozen=True, tag="j"):
    """The witness itself observed ``kind`` at the endpoint, ``age`` milliseconds ago.

    The witness is the sender, or the courier that a ``RelayedObservation`` or ``ForwardedObservation`` around it names.
    ``value``: its meaning depends on ``kind``, see ``observations.ObservationKind``. ``sequence`` rises with each
    observation of the witness's process epoch.
    """

    endpoint: Key
    kind: Annotated[int, Meta(ge=0, le=4)]  # an ``observations.ObservationKind``
    age: Annotated[int, Meta(ge=0, le=3_600_000)]
    value: Annotated[int, Meta(ge=0, le=1 << 40)]
    sequence: Count


class CounterReport(Struct, array_like=True, frozen=True, tag="t"):
    """Counters of one courier as rows of name and value. See counts.py.

    ``past``: whether the values are the totals from before ``epoch``, or the counts since its start.
    """

    name: Name
    epoch: Count
    past: bool
    age: Annotated[int, Meta(ge=0, le=1 << 40)]  # milliseconds since the courier itself reported them
    rows: Annotated[list[tuple[Key, Count]], Meta(max_length=64)]


class CounterRequest(Struct, array_like=True, frozen=True, tag="w"):
    """Requests all of the receiver's counters, and those it holds of the sender and of couriers that are gone."""


class Subscribe(Struct, array_like=True, frozen=True, tag="S"):
    """To a broker: relay observations of these destinations to the sender. Ignored without a lease.

    A larger ``generation`` than before first drops all earlier subscriptions; a smaller one is ignored.
    """

    generation: Count
    dests: Annotated[list[Dest], Meta(max_length=256)]


class Unsubscribe(Struct, array_like=True, frozen=True, tag="U"):
    """To a broker: stop relaying observations of these destinations.

    Ignored unless ``generation`` is the current one.
    """

    generation: Count
    dests: Annotated[list[Dest], Meta(max_length=256)]


class LeaseRenewal(Struct, array_like=True, frozen=True, tag="R"):
    """To a broker: renews the lease on the sender's subscriptions.

    ``host``, ``port``, ``number``: the sender's address and position. ``known_epoch``: the highest process epoch of
    this broker that the sender has received; 0 if none. ``generation``: as in ``Subscribe``. ``count``, ``digest``: how
    many destinations the broker should have on record for the sender, and their digest.
    """

    n: Count
    host: Host
    port: Annotated[int, Meta(ge=1, le=65535)]
    number: Count
    known_epoch: Count
    generation: Count
    count: Annotated[int, Meta(ge=0, le=1 << 20)]
    digest: Digest


class LeaseReply(Struct, array_like=True, frozen=True, tag="L"):
    """A broker's answer to ``LeaseRenewal`` ``n``: the lease is extended by a term.

    ``ok``: the subscriptions on record match the generation, count and digest of the renewal. With ``n`` 0 it answers
    no renewal: the broker is shutting down.
    """

    n: Count
    ok: bool


class PublishObservation(Struct, array_like=True, frozen=True, tag="P"):
    """To a broker: relay this observation, which the sender itself made at an endpoint of ``dest``."""

    dest: Dest
    observation: Observation


class RelayedObservation(Struct, array_like=True, frozen=True, tag="r"):
    """From a broker: an observation made by ``witness``, at position ``number``, in its process epoch ``epoch``.

    ``origin``: the broker of another region that received it from the witness; empty if it was the sending broker.
    """

    witness: Name
    number: Count
    epoch: Count
    observation: Observation
    origin: Group = ""


class ForwardedObservation(Struct, array_like=True, frozen=True, tag="F"):
    """From a broker to one of another region, which relays the observation to its subscribers and to no other broker.

    ``number``, ``epoch``: of the witness, as in ``RelayedObservation``.
    """

    witness: Name
    number: Count
    epoch: Count
    dest: Dest
    observation: Observation


PeerMessage = Union[
    MemberUpdate,
    Ping,
    Ack,
    Probe,
    Nack,
    LoanRequest,
    LoanGrant,
    LoanReturn,
    Observation,
    CounterReport,
    CounterRequest,
    Subscribe,
    Unsubscribe,
    LeaseRenewal,
    LeaseReply,
    PublishObservation,
    RelayedObservation,
    ForwardedObservation,
]


class Datagram(Struct, array_like=True, frozen=True):
    """The content of one datagram.

    ``epoch``: the sender's process epoch. ``to``: name of the receiver. ``seq``: rises with each datagram of the epoch.
    """

    sender: Name
    epoch: Count
    to: Name
    seq: Count
    messages: list[PeerMessage]
