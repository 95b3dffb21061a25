"""Plays a scenario on the rig, and says what was received: a report of plain values, and what the judges found."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from kestrelspar.lab import judge
from kestrelspar.lab.liar import Liar
from kestrelspar.lab.rig import CallFaults, Rig
from kestrelspar.lab.scenario import Action, Scenario
from kestrelspar.runtime.loop import MS, SECOND

SPEND = 90  # percent of a limit that is shared
KNOWN_WITHIN = 4 * SECOND  # after a limit moved: a term and a span for what was lent before, and its being told


def act(rig: Rig, action: Action) -> None:
    """One fault."""
    name, words = action.name, action.words
    if name in ("cut", "deaf"):
        for (sender, to), proxy in rig.proxies.items():
            proxy.cut = proxy.cut or (to in words if name == "deaf" else (sender in words) != (to in words))
    elif name == "heal":
        for proxy in rig.proxies.values():
            proxy.cut, proxy.loss, proxy.double, proxy.delay = False, 0.0, 0.0, (0, 0)
        rig.call_faults.clear()
    elif name in ("loss", "double"):
        for proxy in rig.proxies.values():
            setattr(proxy, name, words[0] / 100)
    elif name == "delay":
        for proxy in rig.proxies.values():
            proxy.delay = (min(words), max(words))
    elif name in ("kill", "term"):
        for node in words:
            if rig.nodes[node].process is not None:
                rig.end_process(node, signal.SIGKILL if name == "kill" else signal.SIGTERM)
    elif name == "start":
        if rig.nodes[words[0]].process is None:
            rig.start(words[0], keep_state="empty" not in words)
    elif name == "stop":
        if rig.nodes[words[0]].process is not None:
            rig.pause(words[0], words[1])
    elif name in ("calls-lost", "answers-lost"):
        for node in words:
            faults = rig.call_faults.setdefault(node, CallFaults())
            faults.lost, faults.answers_lost = faults.lost or name == "calls-lost", name == "answers-lost"
    elif name == "calls-late":
        for node in rig.nodes:
            rig.call_faults.setdefault(node, CallFaults()).delay = min(words), max(words)
    elif name == "wait":
        rig.members[words[0]].wait_until = rig.loop.now + words[1]
    elif name == "limit":
        rig.members[words[0]].limit = words[1]
    elif name == "up":
        rig.members[words[0]].up()
    else:
        setattr(rig.members[words[0]], name, True)


def play(
    told: Scenario, folder: Path, seed: int, progress: Callable[[str], None] = lambda text: None
) -> dict[str, Any]:
    """One play; a dict that JSON can hold. ``faults`` in it is empty if the judges found nothing."""
    with Rig(
        folder,
        told.couriers,
        seed,
        told.limits,
        told.peers,
        groups=told.groups,
        conf=f"    again {told.again}\n",
        spend=SPEND,
    ) as rig:
        for name, member in rig.members.items():
            member.latency = told.paces[name]
        rates = {node: by for node, by in told.rates().items() if node != told.liar}
        for node in rates:
            rig.start(node)
        if told.liar and told.peers:
            Liar(rig, told.liar)
        rig.ready()
        rig.traffic(rates, told.warm_up + told.span)
        progress("warming up")
        rig.run(told.warm_up)
        cpu = {node: rig.cpu(node) for node in rig.nodes}
        begin, counted = rig.loop.now, {name: len(member.calls) for name, member in rig.members.items()}
        for action in told.actions:
            rig.run(max(0, begin + action.at - rig.loop.now))
            progress(f"{action.name} {' '.join(map(str, action.words))}")
            act(rig, action)
        rig.run(max(0, begin + told.span - rig.loop.now))
        spent = {node: max(0.0, rig.cpu(node) - cpu[node]) for node in rig.nodes}
        progress("waiting for the last ends")
        rig.settled()
        return _report(rig, told, seed, begin, counted, spent)


def _report(
    rig: Rig, told: Scenario, seed: int, begin: int, counted: dict[str, int], spent: dict[str, float]
) -> dict[str, Any]:
    every = [call for member in rig.members.values() for call in member.calls]
    members, faults = {}, judge.wrong_ends(rig.sent, every)
    for name, member in rig.members.items():
        calls = member.calls[counted[name] :]
        most = judge.most_in_a_second(calls, max(MS, SECOND - rig.loop.longest))
        moved = [action.at for action in told.actions if action.name == "limit" and action.words[0] == name]
        settled = [call for call in calls if not moved or call.at >= begin + max(moved) + KNOWN_WITHIN]
        over = judge.most_in_a_second(settled, max(MS, SECOND - rig.loop.longest))
        if told.peers and over > member.limit:
            faults.append(f"{name}: {over} calls in a second, its limit is {member.limit}")
        faults += [f"{name}: pushed over on its way back, {(at - begin) / SECOND:.1f} s" for at in member.overloads]
        faults += [f"{name}: {call.trace} came while its courier was told to wait" for call in member.early_calls[:3]]
        seconds = Counter((call.at - begin) // SECOND for call in calls)
        silent = Counter((call.at - begin) // SECOND for call in calls if call.unanswered)
        members[name] = {
            "limit": member.limit,
            "calls": len(calls),
            "refused": sum(not c.accepted and not c.unanswered for c in calls),
            "unanswered": sum(c.unanswered for c in calls),
            "most_in_a_second": most,
            "unanswered_by_second": [silent[n] for n in range(told.span // SECOND + 1)],
            "by_second": [seconds[n] for n in range(told.span // SECOND + 1)],
        }
    again = _again(rig, told, begin)
    if told.peers and told.again < 100:
        faults += [
            f"destination {group}: {most} second attempts in a second, {may:g} are allowed"
            for group, (most, may) in again.items()
            if most > may
        ]
    for name in (node.name for node in rig.nodes.values() if node.log.is_file()):
        faults += [f"{name}: {line[:300]}" for line in rig.logs(name).splitlines() if "event=fault" in line]
    by = {name: [s for s in rig.sent.values() if s.courier == name] for name in rig.nodes}
    ran = {call.trace for call in every if call.accepted}
    paid = {call.trace for call in every if call.unanswered}
    return {
        "seed": seed,
        "paid_a_time_out": len(paid),
        "peers": told.peers,
        "members": members,
        "most_second_attempts": {group: most for group, (most, _) in again.items()},
        "served": judge.served(rig.sent, every),
        "couriers": {
            name: {
                "handed_in": len(sent),
                "taken": sum(s.status == 202 for s in sent),
                "ran": sum(f"{trace}" in ran for trace, s in rig.sent.items() if s.courier == name),
                "cpu_ms_a_second": round(1_000 * spent[name] * SECOND / told.span, 1),
                "bytes_a_second": round(
                    sum(w.received_bytes for (a, _), w in rig.proxies.items() if a == name)
                    * SECOND
                    / max(MS, rig.loop.now - begin + told.warm_up)
                ),
            }
            for name, sent in by.items()
        },
        "faults": faults,
    }


def _again(rig: Rig, told: Scenario, begin: int) -> dict[str, tuple[int, float]]:
    """By destination: the most second and later attempts in a second, and how many all couriers together may make."""
    found = {}
    for group in sorted(set(told.groups.values())):
        names = [name for name, each in told.groups.items() if each == group]
        again = judge.repeats(call for name in names for call in rig.members[name].calls if call.at >= begin)
        most = judge.most_in_a_second(again, max(MS, SECOND - rig.loop.longest))
        budget = sum(told.limits[name] for name in names) * SPEND / 100 * told.again / 100
        found[str(group)] = most, max(budget, told.couriers)  # less than a call each: its span is longer
    return found
