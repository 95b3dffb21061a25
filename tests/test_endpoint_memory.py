"""Memory use of an endpoint of the saved list that gets no messages, from the watch to the decision module."""

from __future__ import annotations

import gc
import tracemalloc
from pathlib import Path

import pytest

from kestrelspar.http.nexthop import HttpCarrier
from kestrelspar.http.watch import Watch
from tests.bench import CourierTestbed

LISTED, MAX_BYTES_PER_ENDPOINT = 5_000, 2_048


@pytest.mark.parametrize("kind", ["utility", "contractor"])  # routes that share a limit, and independent ones
def test_an_unused_endpoint_takes_two_kilobytes_at_most(tmp_path: Path, kind: str) -> None:
    # Guards against state that is allocated before a route is used, and against a decoded list that stays in memory
    # (``load_known`` empties ``snapshot``).
    testbed = CourierTestbed(tmp_path)
    carrier = HttpCarrier(testbed.loop, testbed.buffers, testbed.courier.settings, 9)
    watch = Watch(
        testbed.loop, testbed.buffers, testbed.courier, carrier, ("127.0.0.1", 9), state_directory=str(tmp_path)
    )
    gc.collect()
    tracemalloc.start()
    snapshot = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {
                "name": f"s-{n:08x}",
                "address": f"127.0.{n // 250}.{n % 250 + 1}:8443",
                "zone": "room-a",
                "type": kind,
                "group": n,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
            for n in range(LISTED)
        ],
    }
    watch.load_known(snapshot)
    gc.collect()
    bytes_per_endpoint = tracemalloc.get_traced_memory()[0] / LISTED
    tracemalloc.stop()
    assert len(testbed.courier.map.hops) == LISTED and bytes_per_endpoint < MAX_BYTES_PER_ENDPOINT, (
        f"{bytes_per_endpoint:.0f} bytes"
    )
