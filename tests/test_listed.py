"""What a listed endpoint that is never called costs, from discovery's list to the module."""

from __future__ import annotations

import gc
import tracemalloc
from pathlib import Path

import pytest

from kestrelspar.http.nexthop import NextHops
from kestrelspar.http.watch import Watch
from tests.bench import Scene

LISTED, MOST = 5_000, 2_048


@pytest.mark.parametrize("kind", ["utility", "contractor"])  # routes that share a limit, and routes apart
def test_an_endpoint_that_is_never_called_costs_two_kilobytes_at_most(tmp_path: Path, kind: str) -> None:
    # Guards against what is only wanted once a route is called, and the decoded list that stays behind.
    scene = Scene(tmp_path)
    carrier = NextHops(scene.loop, scene.buffers, scene.courier.settings, 9)
    watch = Watch(scene.loop, scene.buffers, scene.courier, carrier, ("127.0.0.1", 9), state_directory=str(tmp_path))
    gc.collect()
    tracemalloc.start()
    known = {
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
    watch.begin(known)
    gc.collect()
    each = tracemalloc.get_traced_memory()[0] / LISTED
    tracemalloc.stop()
    assert len(scene.courier.map.hops) == LISTED and each < MOST, f"{each:.0f} bytes"
