"""Observations relayed by brokers and members in groups, on the modelled network: behaviour under faults, and cost.

    python -m benchmarks.brokers --plays 100 [--couriers 12] [--first 1]
    python -m benchmarks.brokers --zones 200 1000 5000 [--group 100]
    python -m benchmarks.brokers --words 50 100 200 400

``--plays``: runs the fault cases of kestrelspar/lab/broker_simulation.py with this many seeds, under the checkers of
that module. ``--zones``: for fleets of these sizes, stops all couriers of one zone at the same time and restarts them
together 20 s later, or when all others know of the stop, if that is later; then does the same to as many couriers
spread over all zones. ``--words``: for fleets of these
sizes, compares sending one courier's observation through brokers with sending it directly to all couriers.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter

from kestrelspar.lab.broker_simulation import CASES, measure_propagation, run_case, running_brokers, start_fleet
from kestrelspar.lab.simulated_network import SECOND, SimulatedNetwork
from kestrelspar.peers.observations import CallOutcome

POLL_INTERVAL = SECOND // 4  # in microseconds of simulated time, as all times of the model


def run_cases(seeds: range, couriers: int, cases: list[str]) -> int:
    """Run fault cases with each of the seeds; return the number of runs in which a checker found an error.

    ``cases`` selects the cases that have one of these texts in their names; an empty list selects all.
    """
    failed_runs = 0
    print(f"{'fault':<40}  runs  bad  served  failed  none free  checks with a closed route")
    for case in [each for each in CASES if not cases or any(text in each for text in cases)]:
        counts: Counter[str] = Counter()
        failed = 0
        for seed in seeds:
            result = run_case(case, seed, couriers)
            counts.update(result.counts)
            failed += bool(result.violations)
            if result.violations:
                print(f"  seed {seed}: {result.violations[:2]}")
        failed_runs += failed
        print(
            f"{case:<40} {len(seeds):>5} {failed:>4} {counts['served']:>7} {counts['failed']:>7} "
            f"{counts['none free']:>10} {counts['looks with something left alone']:>8}",
            flush=True,
        )
    return failed_runs


def _wait_until(net: SimulatedNetwork, timeout: int, condition: object) -> float:
    """Run the network until the condition holds; return the simulated seconds, or -1 if ``timeout`` passes before."""
    started_at = net.now
    while net.now < started_at + timeout:
        if condition():  # type: ignore[operator]
            return (net.now - started_at) / SECOND
        net.run(net.now + POLL_INTERVAL)
    return -1.0


def _bytes_sent(net: SimulatedNetwork) -> dict[str, int]:
    return {node.name: node.peer.sent for node in net.nodes.values() if node.peer is not None}


def _fully_connected(net: SimulatedNetwork, node_names: list[str], group_size: int) -> bool:
    """Return whether each of these couriers knows its whole group and has sessions with all brokers of its region."""
    for name in node_names:
        node = net.nodes[name]
        if (
            node.peer is None
            or len(node.peer.members.alive()) < group_size - 1
            or node.peer.subscriber is None
            or any(session.last_reply_at is None for session in node.peer.subscriber.sessions.values())
        ):
            return False
    return True


def _propagation_time(net: SimulatedNetwork, witness: str) -> float:
    """Let the witness observe a failed call to endpoint "e"; return the seconds until the others know, or -1 after 5 s.

    The others are the running couriers that have the endpoint; 99 % of them have to know the observation.
    """
    witness_node = net.nodes[witness]
    assert witness_node.peer is not None
    seen_at = witness_node.clock(net.now)
    witness_node.peer.observations.record_call("e", CallOutcome.FAILED, seen_at, seen_at)
    sequence = witness_node.peer.observations._sequence
    interested = [
        node
        for node in net.nodes.values()
        if node.peer is not None and node is not witness_node and "e" in net.endpoints_by_courier[node.name]
    ]

    def is_known() -> bool:
        informed = sum(
            any(
                source.witness == witness and claim.health is not None and claim.health.sequence == sequence
                for source, claim in node.peer.observations._records.get("e", {}).items()
            )
            for node in interested
            if node.peer is not None
        )
        return informed >= 0.99 * len(interested)

    started_at = net.now
    while not is_known():
        if net.now > started_at + 5 * SECOND:
            return -1.0
        net.run(net.now + SECOND // 200)
    return (net.now - started_at) / SECOND


def stop_and_restart(members: int, group_size: int, whole_zone_only: bool) -> None:
    """Stop a zone's number of couriers together, restart them after 20 s or more; print what others notice and send.

    The stopped couriers are first one whole zone, then, without ``whole_zone_only``, couriers of all zones.
    """
    cpu_started_at = time.process_time()
    net, interested = start_fleet(1, members, group_size, max(8, members // 25))
    groups = max(1, -(-members // group_size))
    zone_size = len([node for node in net.nodes.values() if node.group == "z0"])
    join_time = _wait_until(net, 30 * SECOND, lambda: _fully_connected(net, list(net.nodes), members // groups))
    propagation = _propagation_time(net, interested[-1])
    sent_before = _bytes_sent(net)
    net.run(net.now + 5 * SECOND)
    idle_rate = max((sent - sent_before[name]) / 5 for name, sent in _bytes_sent(net).items())
    print(
        f"{members} members, {groups} groups, {len(interested)} interested: all know their group "
        f"{30 + join_time:.1f} s after a simultaneous start; 99 % know an observation after {propagation:.2f} s; "
        f"idle: at most {idle_rate:.0f} bytes/s",
        flush=True,
    )
    first_zone = [name for name, node in net.nodes.items() if node.group == "z0"]
    cases = [("a whole zone", first_zone), ("as many of all zones", list(net.nodes)[-zone_size:])]
    for name, stopped in cases[:1] if whole_zone_only else cases:
        witness = next(each for each in interested if each not in stopped)
        for each in stopped:
            net.kill(each)
        event_count = len(net.events)
        sent_before, started_at = _bytes_sent(net), net.now
        propagation_during = propagation = _propagation_time(net, witness)
        detection_time = _wait_until(
            net,
            60 * SECOND,
            lambda stopped=set(stopped): all(
                not stopped & set(node.peer.members.alive()) for node in net.nodes.values() if node.peer is not None
            ),
        )
        net.run(max(net.now, started_at + 20 * SECOND))
        wrongly_suspected = {
            str(fields.get("peer"))
            for _, _, event, fields in net.events[event_count:]
            if event in ("peers-suspect", "peers-dead")
        } - set(stopped)
        max_rate = max(
            (sent - sent_before[each]) / ((net.now - started_at) / SECOND) for each, sent in _bytes_sent(net).items()
        )
        leases_left = sum(each.status(0)["subscribers"] for each in running_brokers(net))
        broker_sent_before, started_at = [each.sent for each in running_brokers(net)], net.now
        for each in stopped:
            net.start(each)
        recovery_time = _wait_until(
            net, 60 * SECOND, lambda stopped=stopped: _fully_connected(net, stopped, members // groups)
        )
        seconds = max(1.0, (net.now - started_at) / SECOND)
        max_broker_rate = (
            max(each.sent - sent for each, sent in zip(running_brokers(net), broker_sent_before, strict=True)) / seconds
        )
        propagation = _propagation_time(net, witness)
        over_bandwidth = sum(each.over_bandwidth for each in running_brokers(net))
        print(
            f"  {name} stopped ({len(stopped)}): an observation then takes {propagation_during:.2f} s; all members "
            f"know of the stop after {detection_time:.1f} s; others wrongly suspected {len(wrongly_suspected)}; at "
            f"most {max_rate:.0f} bytes/s; leases left {leases_left}; restarted together: all know their group after "
            f"{recovery_time:.1f} s, an observation then takes {propagation:.2f} s, busiest broker "
            f"{max_broker_rate:.0f} bytes/s, datagrams over the bandwidth limit {over_bandwidth}",
            flush=True,
        )
    print(f"  {time.process_time() - cpu_started_at:.0f} s of CPU", flush=True)


def compare_propagation(sizes: list[int]) -> None:
    """Print the cost of one observation for its witness, and the time until the interested couriers know it.

    Each fleet size is run twice: with brokers, and with the observation sent directly to all couriers.
    """
    for members in sizes:
        for all_to_all in (False, True):
            results = [measure_propagation(seed, members, without_brokers=all_to_all) for seed in range(3)]
            print(
                f"{members:>5} members, {'all to all' if all_to_all else 'by brokers':<10}: the 7 other interested "
                f"couriers know it after {max(each.seconds for each in results):.3f} s (maximum of 3 seeds); witness "
                f"sends {max(each.witness_bytes for each in results)} bytes; uninterested couriers reached "
                f"{results[0].uninterested_receivers}",
                flush=True,
            )


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--plays", type=int, default=0)
    parser.add_argument("--first", type=int, default=1, help="seed of the first run")
    parser.add_argument(
        "--cases", nargs="*", default=[], help="for --plays: only the cases with one of these texts in their names"
    )
    parser.add_argument("--couriers", type=int, default=12)
    parser.add_argument("--zones", type=int, nargs="*", default=[])
    parser.add_argument("--group", type=int, default=50)
    parser.add_argument("--whole-only", action="store_true", help="for --zones: stop only a whole zone")
    parser.add_argument("--words", type=int, nargs="*", default=[])
    options = parser.parse_args()
    if options.words:
        compare_propagation(options.words)
    for members in options.zones:
        stop_and_restart(members, options.group, options.whole_only)
    if options.plays and run_cases(
        range(options.first, options.first + options.plays), options.couriers, options.cases
    ):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
