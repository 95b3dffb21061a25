"""Runs a scenario on the rig and reports what was received, as plain values, and what the checkers found."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from kestrelspar.lab import checkers
from kestrelspar.lab.liar import LyingCourier
from kestrelspar.lab.rig import CallFaults, Rig
from kestrelspar.lab.scenario import Action, Scenario
from kestrelspar.runtime.loop import MS, SECOND

SHARED_PERCENT = 90  # percentage of a limit that the couriers share
# A member system whose limit changes is checked only against its last limit, and only from this long after the last
# change: a loan term and a window for calls lent before, and the time until the couriers have learnt the new limit.
LIMIT_CHANGE_GRACE = 4 * SECOND


def apply_action(rig: Rig, action: Action) -> None:
    """Apply one action of a scenario to the rig."""
    name, arguments = action.name, action.arguments
    if name in ("cut", "deaf"):
        for (sender, to), proxy in rig.proxies.items():
            proxy.cut = proxy.cut or (to in arguments if name == "deaf" else (sender in arguments) != (to in arguments))
    elif name == "heal":
        for proxy in rig.proxies.values():
            proxy.cut, proxy.loss, proxy.double, proxy.delay = False, 0.0, 0.0, (0, 0)
        rig.call_faults.clear()
    elif name in ("loss", "double"):
        for proxy in rig.proxies.values():
            setattr(proxy, name, arguments[0] / 100)
    elif name == "delay":
        for proxy in rig.proxies.values():
            proxy.delay = (min(arguments), max(arguments))
    elif name in ("kill", "term"):
        for node in arguments:
            if rig.nodes[node].process is not None:
                rig.end_process(node, signal.SIGKILL if name == "kill" else signal.SIGTERM)
    elif name == "start":
        if rig.nodes[arguments[0]].process is None:
            rig.start(arguments[0], keep_state="empty" not in arguments)
    elif name == "stop":
        if rig.nodes[arguments[0]].process is not None:
            rig.pause(arguments[0], arguments[1])
    elif name in ("calls-lost", "answers-lost"):
        for node in arguments:
            faults = rig.call_faults.setdefault(node, CallFaults())
            faults.lost, faults.answers_lost = faults.lost or name == "calls-lost", name == "answers-lost"
    elif name == "calls-late":
        for node in rig.nodes:
            rig.call_faults.setdefault(node, CallFaults()).extra_delay = min(arguments), max(arguments)
    elif name == "wait":
        rig.members[arguments[0]].wait_until = rig.loop.now + arguments[1]
    elif name == "limit":
        rig.members[arguments[0]].limit = arguments[1]
    elif name == "up":
        rig.members[arguments[0]].up()
    else:
        setattr(rig.members[arguments[0]], name, True)


def run_scenario(
    scenario: Scenario, directory: Path, seed: int, progress: Callable[[str], None] = lambda text: None
) -> dict[str, Any]:
    """Run a scenario, and return its report as values for JSON.

    ``faults`` of the report is empty if neither the checkers, the member systems nor the couriers' logs have anything
    to report. Raises ``TimeoutError`` if couriers don't become ready, or a process doesn't end when it is to.
    """
    with Rig(
        directory,
        scenario.couriers,
        seed,
        scenario.limits,
        scenario.peers,
        groups=scenario.groups,
        extra_settings=f"    again {scenario.again}\n",
        spend=SHARED_PERCENT,
    ) as rig:
        for name, member in rig.members.items():
            member.latency = scenario.latencies[name]
        rates = {node: by_member for node, by_member in scenario.rates().items() if node != scenario.liar}
        for node in rates:
            rig.start(node)
        if scenario.liar and scenario.peers:
            LyingCourier(rig, scenario.liar)
        rig.ready()
        rig.traffic(rates, scenario.warm_up + scenario.span)
        progress("warming up")
        rig.run(scenario.warm_up)
        cpu_before = {node: rig.cpu(node) for node in rig.nodes}
        begin, earlier_calls = rig.loop.now, {name: len(member.calls) for name, member in rig.members.items()}
        for action in scenario.actions:
            rig.run(max(0, begin + action.at - rig.loop.now))
            progress(f"{action.name} {' '.join(map(str, action.arguments))}")
            apply_action(rig, action)
        rig.run(max(0, begin + scenario.span - rig.loop.now))
        cpu_seconds = {node: max(0.0, rig.cpu(node) - cpu_before[node]) for node in rig.nodes}
        progress("waiting for the last messages to end")
        rig.drain()
        return _report(rig, scenario, seed, begin, earlier_calls, cpu_seconds)


def _report(
    rig: Rig, scenario: Scenario, seed: int, begin: int, earlier_calls: dict[str, int], cpu_seconds: dict[str, float]
) -> dict[str, Any]:
    """The report of a run; ``begin``: the end of the warm-up.

    Figures of member systems, repeated attempts and CPU time are without the warm-up; those of messages, the bytes and
    the checks of deliveries include it. Calls while the rig drains count, though not in the figures by second.
    """
    calls_of_all = [call for member in rig.members.values() for call in member.calls]
    members, findings = {}, checkers.delivery_violations(rig.submissions, calls_of_all)
    for name, member in rig.members.items():
        calls = member.calls[earlier_calls[name] :]
        most = checkers.max_calls_per_second(calls, max(MS, SECOND - rig.loop.longest_turn))
        limit_changes = [
            action.at for action in scenario.actions if action.name == "limit" and action.arguments[0] == name
        ]
        settled_calls = [
            call for call in calls if not limit_changes or call.at >= begin + max(limit_changes) + LIMIT_CHANGE_GRACE
        ]
        most_settled = checkers.max_calls_per_second(settled_calls, max(MS, SECOND - rig.loop.longest_turn))
        if scenario.peers and most_settled > member.limit:
            findings.append(f"{name}: {most_settled} calls in a second, its limit is {member.limit}")
        findings += [
            f"{name}: overloaded while recovering, after {(at - begin) / SECOND:.1f} s" for at in member.overloads
        ]
        findings += [
            f"{name}: {call.trace} arrived before its courier's Retry-After had passed"
            for call in member.early_calls[:3]
        ]
        calls_by_second = Counter((call.at - begin) // SECOND for call in calls)
        unanswered_by_second = Counter((call.at - begin) // SECOND for call in calls if call.unanswered)
        members[name] = {
            "limit": member.limit,
            "calls": len(calls),
            "refused": sum(not c.accepted and not c.unanswered for c in calls),
            "unanswered": sum(c.unanswered for c in calls),
            "most_in_a_second": most,
            "unanswered_by_second": [unanswered_by_second[n] for n in range(scenario.span // SECOND + 1)],
            "by_second": [calls_by_second[n] for n in range(scenario.span // SECOND + 1)],
        }
    repeats = _repeated_attempts(rig, scenario, begin)
    if scenario.peers and scenario.again < 100:
        findings += [
            f"destination {group}: {most} repeated attempts in a second, {allowed:g} are allowed"
            for group, (most, allowed) in repeats.items()
            if most > allowed
        ]
    for name in (node.name for node in rig.nodes.values() if node.log.is_file()):
        findings += [f"{name}: {line[:300]}" for line in rig.read_log(name).splitlines() if "event=fault" in line]
    by_courier = {name: [s for s in rig.submissions.values() if s.courier == name] for name in rig.nodes}
    ran = {call.trace for call in calls_of_all if call.accepted}
    timed_out = {call.trace for call in calls_of_all if call.unanswered}
    return {
        "seed": seed,
        "paid_a_time_out": len(timed_out),
        "peers": scenario.peers,
        "members": members,
        "most_second_attempts": {group: most for group, (most, _) in repeats.items()},
        "served": checkers.served_share(rig.submissions, calls_of_all),
        "couriers": {
            name: {
                "handed_in": len(sent),
                "taken": sum(s.status == 202 for s in sent),
                "ran": sum(f"{trace}" in ran for trace, s in rig.submissions.items() if s.courier == name),
                "cpu_ms_a_second": round(1_000 * cpu_seconds[name] * SECOND / scenario.span, 1),
                "bytes_a_second": round(
                    sum(w.received_bytes for (a, _), w in rig.proxies.items() if a == name)
                    * SECOND
                    / max(MS, rig.loop.now - begin + scenario.warm_up)
                ),
            }
            for name, sent in by_courier.items()
        },
        "faults": findings,
    }


def _repeated_attempts(rig: Rig, scenario: Scenario, begin: int) -> dict[str, tuple[int, float]]:
    """By destination: the most repeated attempts in any second, and how many all couriers together may make in one.

    Attempts before ``begin`` are not seen, so the first one after it counts as a message's first. The allowed number is
    derived from the limits at the start of the run.
    """
    found = {}
    for group in sorted(set(scenario.groups.values())):
        names = [name for name, each in scenario.groups.items() if each == group]
        repeats = checkers.repeats(call for name in names for call in rig.members[name].calls if call.at >= begin)
        most = checkers.max_calls_per_second(repeats, max(MS, SECOND - rig.loop.longest_turn))
        budget = sum(scenario.limits[name] for name in names) * SHARED_PERCENT / 100 * scenario.again / 100
        # A budget that gives a courier less than one call per second has a longer window, with one call for each.
        found[str(group)] = most, max(budget, scenario.couriers)
    return found
