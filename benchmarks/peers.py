"""Couriers that share a budget, on the modelled network: share of messages served, maximum calls per second, and cost.

    python -m benchmarks.peers [--seeds 10]
    python -m benchmarks.peers --play outage [--seeds 10] [--couriers 10]

One courier has half of the messages. Three modes with the same seeds are compared: equal shares (no communication),
loans, and an ideal single queue that serves in order of arrival. Loans are also run with a third of the couriers
partitioned half of the time.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import time
from collections import deque
from pathlib import Path
from random import Random
from typing import Any

from kestrelspar.lab import run as lab
from kestrelspar.lab.scenario import load
from kestrelspar.lab.simulated_network import MS, SECOND, Faults, SimulatedNetwork, Traffic
from kestrelspar.peers.observations import CallOutcome, ClaimSource

COURIERS, CALL_LIMIT, WARM_UP, LOAD_DURATION, MESSAGE_TIMEOUT = 10, 50, 8 * SECOND, 30 * SECOND, 4 * SECOND


def message_rates(load: float) -> dict[str, float]:
    """Return the messages per second by courier: half of the load at one, the rest evenly spread."""
    total = CALL_LIMIT * load
    return {f"n{i}": total / 2 if i == 0 else total / 2 / (COURIERS - 1) for i in range(COURIERS)}


def run_model(seed: int, load: float, mode: str) -> tuple[float, int]:
    """Return the share of the messages served, and the maximum number of calls in any second.

    Modes: "equal" cuts off all couriers from each other, so that each has an equal share; "loans" cuts off none;
    "partition" cuts off a third of them in every second interval of 5 s.
    """
    net = SimulatedNetwork(COURIERS, seed, Faults(), 0.001)
    net.budget("d", CALL_LIMIT)
    for name in net.nodes:
        net.start(name)
    if mode == "equal":
        net.cut = lambda a, b: True
    if mode == "partition":
        net.cut = lambda a, b: net.now // (5 * SECOND) % 2 == 1 and (int(a[1:]) % 3 == 0) != (int(b[1:]) % 3 == 0)
    traffic = Traffic(net, "d", message_rates(load), MESSAGE_TIMEOUT)
    traffic.count_from = WARM_UP
    net.at(WARM_UP, lambda: setattr(traffic, "arrived", 0))
    net.at(WARM_UP + LOAD_DURATION, lambda: traffic.rates.update(dict.fromkeys(traffic.rates, 0.0)))
    net.run(WARM_UP + LOAD_DURATION + MESSAGE_TIMEOUT)
    return traffic.served / max(1, traffic.arrived), net.budget_checker.max_calls["d"]


def ideal_share_served(seed: int, load: float) -> float:
    """Return the share of the messages that one queue for all couriers, in order of arrival, would serve."""
    random, events = Random(seed), []
    for rate in message_rates(load).values():
        at = 0
        while at < WARM_UP + LOAD_DURATION:
            at += int(random.expovariate(rate) * SECOND)
            events.append(at)
    events.sort()
    recent_calls: deque[int] = deque()
    waiting: deque[int] = deque()
    served = at = 0
    for now in range(0, WARM_UP + LOAD_DURATION + MESSAGE_TIMEOUT, 5 * MS):
        while at < len(events) and events[at] <= now:
            waiting.append(events[at])
            at += 1
        while waiting and waiting[0] < now - MESSAGE_TIMEOUT:
            waiting.popleft()
        while recent_calls and recent_calls[0] <= now - SECOND:
            recent_calls.popleft()
        while waiting and len(recent_calls) < CALL_LIMIT:
            served += waiting.popleft() >= WARM_UP
            recent_calls.append(now)
    return served / sum(event >= WARM_UP for event in events)


def idle_cost(members: int, duration: int = 20 * SECOND) -> tuple[float, float]:
    """Return the bytes and the microseconds of CPU per second for each of ``members`` idle couriers.

    ``duration``: microseconds of simulated time that are measured, after 30 s for the start. The CPU time includes that
    of the simulation.
    """
    net = SimulatedNetwork(members, 1, Faults(), seeds=5)
    for name in net.nodes:
        net.start(name)
    net.run(30 * SECOND)
    sent_before, cpu_before = sum(node.peer.sent for node in net.nodes.values() if node.peer), time.process_time()
    net.run(30 * SECOND + duration)
    sent = sum(node.peer.sent for node in net.nodes.values() if node.peer) - sent_before
    seconds = members * duration / SECOND
    return sent / seconds, (time.process_time() - cpu_before) * 1e6 / seconds


def propagation_time(members: int, loss: float, seed: int) -> tuple[float, float]:
    """Return the seconds until 99 % of the members know one courier's observation, and the bytes that it sent in 5 s.

    Returns 20 s and 0 bytes if they do not know it within 20 s.
    """
    net = SimulatedNetwork(members, seed, Faults(loss=loss), seeds=5, bytes_per_second=20_000)
    for name in net.nodes:
        net.start(name)
    net.run(30 * SECOND)
    peers = [node.peer for node in net.nodes.values() if node.peer is not None]
    for each in peers:
        each.observations.set_routes({"x": 1})
    witness, started_at = peers[0], net.now
    seen_at = net.nodes["n0"].clock(started_at)
    witness.observations.record_call("x", CallOutcome.FAILED, seen_at, seen_at)
    sent_before = witness.sent
    while sum(ClaimSource("n0") in each.observations._records.get("x", {}) for each in peers) < int(
        0.99 * (members - 1)
    ):
        if net.now > started_at + 20 * SECOND:
            return 20.0, 0.0
        net.run(net.now + 5 * MS)
    seconds = (net.now - started_at) / SECOND
    net.run(started_at + 5 * SECOND)
    return seconds, witness.sent - sent_before


def run_scenario(couriers: int, seed: int, peers: bool, scenario: str) -> dict[str, Any]:
    """Run a scenario with real processes; return its report."""
    settings = load(str(Path(__file__).parent.parent / "scenarios" / f"{scenario}.conf"), couriers)
    settings.peers = peers
    with tempfile.TemporaryDirectory(prefix="kestrelspar-bench-") as state_directory:
        return lab.run_scenario(settings, Path(state_directory), seed)


def compare_scenario(scenario: str, couriers: int, seeds: range) -> None:
    """Run a scenario with each seed, with peers off and on, and print what was served.

    Printed as well: messages that waited for a time-out, refused calls, and errors that the checkers found.
    """
    rows = []
    for seed in seeds:
        row = []
        for peers in (False, True):
            report = run_scenario(couriers, seed, peers, scenario)
            refused = sum(member["refused"] for member in report["members"].values())
            row.append((report["served"], report["paid_a_time_out"], refused, len(report["faults"])))
        rows.append(row)
        print(
            f"{scenario:<9} seed {seed}: served {row[0][0]:.3f} off, {row[1][0]:.3f} on; waited for a "
            f"time-out {row[0][1]}, {row[1][1]}; refused {row[0][2]}, {row[1][2]}; checker errors {row[0][3]}, "
            f"{row[1][3]}"
        )
    for n, name in enumerate(("served", "waited for a time-out", "refused")):
        off, on = (statistics.mean(row[peers_on][n] for row in rows) for peers_on in (0, 1))
        print(f"{scenario:<12} {name}: {off:.3f} off, {on:.3f} on")


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--play", help="run this scenario with processes instead, with peers off and on")
    parser.add_argument("--couriers", type=int, default=10)
    options = parser.parse_args()
    seeds = range(options.seeds)
    if options.play:
        compare_scenario(options.play, options.couriers, range(1, options.seeds + 1))
        return
    for members in (10, 50, 200):
        for loss in (0.0, 0.1, 0.3):
            results = [propagation_time(members, loss, seed) for seed in range(3)]
            print(
                f"{members:>4} members, {loss:.0%} lost: 99 % know an observation after "
                f"{max(seconds for seconds, _ in results):.2f} s (maximum of 3 seeds); "
                f"{statistics.mean(sent for _, sent in results):.0f} bytes sent by its witness in 5 s"
            )
    for load_factor in (0.8, 1.0, 1.2):
        ideal_share = statistics.mean(ideal_share_served(seed, load_factor) for seed in seeds)
        for mode in ("equal", "loans", "partition"):
            runs = [run_model(seed, load_factor, mode) for seed in seeds]
            mean_share, max_calls = statistics.mean(share for share, _ in runs), max(max_calls for _, max_calls in runs)
            print(
                f"load {load_factor:.1f} {mode:<10} served {mean_share:.3f} of {ideal_share:.3f}: "
                f"{mean_share / ideal_share:.2f}; minimum {min(runs)[0]:.3f}; most calls in a second {max_calls} of "
                f"{CALL_LIMIT}"
            )
    for members in (10, 50, 200):
        bytes_per_second, cpu = idle_cost(members)
        print(
            f"{members:>4} members idle: {bytes_per_second:.0f} bytes a second, {cpu:.0f} us of CPU a second each, "
            "including the model's"
        )


if __name__ == "__main__":
    main()
