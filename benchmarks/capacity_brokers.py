"""Slopes of words by brokers and of members in groups, on the modelled network.

    python -m benchmarks.capacity_brokers [word-brokered] [members-grouped] [--runs 3]
"""

from __future__ import annotations

import argparse
import statistics
import time

from benchmarks.slope import Slope
from kestrelspar.lab.brokered import fleet, heard
from kestrelspar.lab.model import SECOND

GROUP, CONCERNED = 50, 8
SIZES = (50, 100, 200, 400)
REST = 20 * SECOND


def word(members: int, seed: int) -> dict[str, float]:
    """One courier's word on an endpoint of a destination that concerns eight."""
    found = heard(seed, members, GROUP, CONCERNED)
    return {"known": found.seconds, "witness": found.witness, "all_brokers": found.brokers, "told_beside": found.others}


def grouped(members: int, seed: int) -> dict[str, float]:
    """Couriers at rest, in groups, with leases at three brokers."""
    net, _ = fleet(seed, members, GROUP, CONCERNED)
    peers = [node.peer for node in net.nodes.values() if node.peer is not None]
    before, cpu = sum(peer.sent for peer in peers), time.process_time()
    net.run(net.now + REST)
    seconds = members * REST / SECOND
    return {"sent": (sum(peer.sent for peer in peers) - before) / seconds,
            "processor": (time.process_time() - cpu) * 1e6 / seconds,
            "known_members": statistics.mean(len(peer.members.members) for peer in peers)}


SLOPES = (
    Slope("word-brokered", "members", SIZES,
          {"known": "s", "witness": "bytes", "all_brokers": "bytes", "told_beside": "count"}, word,
          "A word on an endpoint that concerns 8 couriers, by brokers (3 in each of 2 regions, groups of 50): until "
          "99 % of the concerned know it, what its witness sent for it and all brokers sent in 5 s; modelled network."),
    Slope("members-grouped", "members", SIZES, {"sent": "bytes", "processor": "us", "known_members": "count"}, grouped,
          "A courier at rest in a group of 50 with leases at 3 brokers: bytes and processor time a second (the model's "
          "own in it), and the members that it knows; modelled network."),
)


def main() -> None:
    """Print what is measured."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("names", nargs="*", default=[])
    parser.add_argument("--runs", type=int, default=0)
    given = parser.parse_args()
    for slope in SLOPES:
        if given.names and slope.name not in given.names:
            continue
        for size in slope.sizes:
            rows = [slope.measure(size, run) for run in range(1, (given.runs or slope.runs) + 1)]
            print(f"{slope.name} {size:>5} {slope.by}: " + "; ".join(
                f"{name} {statistics.median(row[name] for row in rows):.4g} {unit} "
                f"({min(row[name] for row in rows):.4g} to {max(row[name] for row in rows):.4g})"
                for name, unit in slope.figures.items()), flush=True)


if __name__ == "__main__":
    main()
