"""Slopes with members in groups and observations relayed by brokers.

The membership slopes use the same functions as the slopes without groups and brokers (capacity_peers).
Members and observations are measured on the modelled network, in groups of 50 and two regions with three brokers each;
the load of one broker is measured as a pure module, with simulated couriers.
"""

from __future__ import annotations

import gc
import time
import tracemalloc

from benchmarks.capacity_peers import (
    KEY,
    MAX_CONVERGENCE_TIME,
    MODELLED,
    MODELLED_SIZES,
    PURE,
    measure_churn,
    measure_members,
    measure_wave,
)
from benchmarks.slope import Slope
from benchmarks.target import ASSUMED, TARGET
from kestrelspar.lab.broker_simulation import measure_propagation
from kestrelspar.peers.brokers import (
    MAX_DESTINATIONS_PER_MESSAGE,
    OWNERS_PER_REGION,
    Broker,
    BrokerConfig,
    destination_digest,
)
from kestrelspar.peers.messages import LeaseRenewal, Observation, PeerMessage, PublishObservation, Subscribe
from kestrelspar.peers.observations import ObservationKind
from kestrelspar.peers.seal import Sealer

GROUP_SIZE = 50
MS, SECOND = 1_000, 1_000_000  # in microseconds, as all times here
TICK_INTERVAL = 50 * MS
OBSERVATIONS = 100  # published one by one, each about another destination, before any lease expires


def grouped_slope(name: str) -> Slope:
    """Return the slope that measures membership slope ``name`` with members in groups."""
    figures, doc, function = GROUPED_SLOPES[name]
    return Slope(
        f"{name}-grouped",
        "members",
        MODELLED_SIZES,
        figures,
        lambda size, seed: function(size, seed, GROUP_SIZE),  # type: ignore[operator]
        f"The same as {name}, in groups of {GROUP_SIZE} with brokers: {doc}; the modelled network",
        setting=MODELLED,
    )


# By the name of the slope without groups: units of the figures, description, and measuring function.
GROUPED_SLOPES = {
    "members": (
        {"sent": "bytes", "processor": "ms", "least-known": "count", "held-back": "count", "all-known": "s"},
        f"what a courier knows of its group ({MAX_CONVERGENCE_TIME // SECOND} s at most)",
        measure_members,
    ),
    "members-churn": (
        {"sent": "bytes", "processor": "ms", "loss-known": "s", "wrongly-dead": "count"},
        "time until 99 % of its group consider the lost courier dead",
        measure_churn,
    ),
    "members-wave": (
        {"known": "s", "joined": "s", "sent": "bytes", "held-back": "count"},
        "time until a restarted wave is known in its groups, and knows all of their members",
        measure_wave,
    ),
}


def measure_brokered_observation(size: int, seed: int) -> dict[str, float]:
    """Measure how one courier's observation spreads if only ``ASSUMED.placed`` couriers have the destination."""
    result = measure_propagation(seed, size, GROUP_SIZE, ASSUMED.placed)
    return {
        "sent": float(result.witness_bytes),
        "known": result.seconds,
        "told": result.share_after_3_s * (ASSUMED.placed - 1),
        "by-brokers": float(result.broker_bytes),
        "told-beside": float(result.uninterested_receivers),
    }


def measure_broker(size: int, seed: int) -> dict[str, float]:
    """Measure one broker with ``size`` subscribers, each subscribed to this broker's part of its destinations."""
    regions = {
        f"r{region}/b{n}": ("10.9.0.1", 2_771 + 100 * region + n)
        for region in range(TARGET.regions)
        for n in range(TARGET.control_machines_per_region)
    }
    name = "r0/b0"
    destinations_per_courier = round(
        TARGET.destinations * ASSUMED.placed / TARGET.couriers * OWNERS_PER_REGION / TARGET.control_machines_per_region
    )
    sealers = [Sealer(f"c-{n % 20:02}-{n:05}", 1, [KEY]) for n in range(size)]
    gc.collect()
    tracemalloc.start()
    broker = Broker(BrokerConfig(name, "r0", regions[name], 7, [KEY], regions, TARGET.couriers, 1 << 30), 0, seed)
    now = TICK_INTERVAL
    broker.tick(now)

    def send_from(n: int, *messages: PeerMessage) -> None:
        broker.receive(sealers[n].seal(name, list(messages)), now)

    digests = []
    for n in range(size):
        # Each destination is placed on ASSUMED.placed couriers, so as many subscribe to it.
        destinations = [
            (n * destinations_per_courier // ASSUMED.placed + offset) for offset in range(destinations_per_courier)
        ]
        digest = 0
        send_from(n, LeaseRenewal(1, "10.0.0.1", 2_770, n, 7, 1, 0, 0))
        for start in range(0, destinations_per_courier, MAX_DESTINATIONS_PER_MESSAGE):
            send_from(n, Subscribe(1, destinations[start : start + MAX_DESTINATIONS_PER_MESSAGE]))
        for destination in destinations:
            digest ^= destination_digest(destination)
        digests.append(digest)
        if n % 100 == 0:
            now += TICK_INTERVAL
            broker.tick(now)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    now += TICK_INTERVAL
    broker.tick(now)
    renewals = [
        sealers[n].seal(name, [LeaseRenewal(2, "10.0.0.1", 2_770, n, 7, 1, destinations_per_courier, digests[n])])
        for n in range(size)
    ]
    cpu_started_at, sent_before = time.process_time(), broker.sent
    for renewal in renewals:
        broker.receive(renewal, now)
    renewal_cpu, renewal_bytes = (time.process_time() - cpu_started_at) * 1e6 / size, (broker.sent - sent_before) / size
    cpu = bytes_sent = 0.0
    for n in range(OBSERVATIONS):
        witness = n * size // OBSERVATIONS
        destination = witness * destinations_per_courier // ASSUMED.placed + destinations_per_courier // 2
        datagram = sealers[witness].seal(
            name,
            [PublishObservation(destination, Observation(f"e-{destination:07}", ObservationKind.DOWN, 0, 0, n + 1))],
        )
        now += TICK_INTERVAL
        broker.tick(now)
        cpu_started_at, sent_before = time.process_time(), broker.sent
        broker.receive(datagram, now)
        now += TICK_INTERVAL
        broker.tick(now)
        cpu += time.process_time() - cpu_started_at
        bytes_sent += broker.sent - sent_before
    assert broker.relayed > 0 and broker.status(now)["subscribers"] == size
    return {
        "memory": memory,
        "renewal": renewal_cpu,
        "renewal-sent": renewal_bytes,
        "word": cpu * 1e6 / OBSERVATIONS,
        "word-sent": bytes_sent / OBSERVATIONS,
        "told": broker.relayed / OBSERVATIONS,
    }


SLOPES = [
    *(grouped_slope(name) for name in GROUPED_SLOPES),
    Slope(
        "word-brokered",
        "members",
        MODELLED_SIZES,
        {"sent": "bytes", "known": "s", "told": "count", "by-brokers": "bytes", "told-beside": "count"},
        measure_brokered_observation,
        f"One courier reports a failed call at a destination in which {ASSUMED.placed} couriers are interested, by "
        f"brokers, in groups of {GROUP_SIZE}: bytes that it sends for it, time until 99 % of the other interested "
        "couriers know, how many of them know, bytes of all brokers in 5 s including leases, and uninterested couriers "
        "that receive it; the modelled network",
        setting=MODELLED,
    ),
    Slope(
        "broker",
        "subscribers",
        (200, 400, 800, 1_667),
        {"memory": "MB", "renewal": "us", "renewal-sent": "bytes", "word": "us", "word-sent": "bytes", "told": "count"},
        measure_broker,
        "One broker with this many couriers of its region, each subscribed to this broker's part of its "
        "destinations: memory, processor time and bytes of a renewal, and of relaying an observation to the interested "
        "couriers and to the other regions, including an empty tick",
        setting=PURE,
    ),
]
