"""Courier processes whose system calls and files fail at random, and whose clocks are stepped, under kills."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from random import Random

import pytest

from kestrelspar.lab import checkers
from kestrelspar.lab.response_relay import CopyFaults
from kestrelspar.lab.rig import Rig
from kestrelspar.runtime.loop import MS, SECOND

LIMITS = {"m1": 60, "m2": 60, "m3": 60, "m4": 60}
GROUPS = {"m1": 1, "m2": 1, "m3": 2, "m4": 2}
RATES = {"m1": 15.0, "m3": 15.0}
CLOCK_STEPS = (0, 7, -7, 3_600, -3_600)
SPAN = 12 * SECOND


def restart(rig: Rig, name: str, rng: Random, number: signal.Signals) -> None:
    rig.end_process(name, number)
    rig.extra_environment["FAULT_SEED"] = str(rng.getrandbits(30))
    rig.extra_environment["WALL_CLOCK_STEP"] = str(rng.choice(CLOCK_STEPS))
    rig.start(name)
    rig.ready()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_rule_breaks_while_system_calls_fail(tmp_path: Path, seed: int) -> None:
    rng = Random(seed)
    with Rig(tmp_path, 2, seed, LIMITS, peers=False, latency=60 * MS, groups=GROUPS) as rig:
        rig.program = [sys.executable, "-m", "kestrelspar.lab.faulty_process"]
        rig.extra_environment = {"FAULT_SEED": str(seed), "FAULT_SHARE": "0.2", "WALL_CLOCK_STEP": "0"}
        for member in rig.members.values():
            member.refused = 0.1
        rig.relay_members(CopyFaults(0.05, (MS, 250 * MS)))
        for name in rig.nodes:
            rig.start(name)
        rig.ready()
        rig.traffic({name: RATES for name in rig.nodes}, SPAN)
        for number in (signal.SIGKILL, signal.SIGTERM, signal.SIGKILL):
            rig.run(2 * SECOND)
            restart(rig, rng.choice(list(rig.nodes)), rng, number)
        rig.drain()
        calls = [call for member in rig.members.values() for call in member.calls]
        found = checkers.delivery_violations(rig.submissions, calls) + checkers.concurrent_calls(calls)
        logs = {name: rig.read_log(name) for name in rig.nodes}
        assert not found, f"seed {seed}: {found}"
        for event in ("journal-not-written", "journal-written-again", "not-accepted"):  # else the run shows nothing
            assert any(f"event={event} " in text for text in logs.values()), event
        assert all(node.process is not None and node.process.poll() is None for node in rig.nodes.values())
        assert not [line for text in logs.values() for line in text.splitlines() if "event=fault" in line]
        assert all(code in (0, -signal.SIGKILL) for node in rig.nodes.values() for code in node.exit_codes)
