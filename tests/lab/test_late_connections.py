"""Courier processes whose new connections to the platform come up late, are reset, or never come up."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.lab import checkers
from kestrelspar.lab.response_relay import ConnectionFaults
from kestrelspar.lab.rig import Rig
from kestrelspar.runtime.loop import MS, SECOND

LIMITS = {"m1": 40, "m2": 40, "m3": 40}
FAULTS = {
    "third-late-1s": ConnectionFaults(late=1 / 3, delay=(0, SECOND)),
    "each-late-350ms": ConnectionFaults(late=1.0, delay=(350 * MS, 350 * MS)),
    "each-late-1500ms": ConnectionFaults(late=1.0, delay=(0, 1500 * MS)),
    "three-in-ten-reset": ConnectionFaults(reset=0.3),
    "late-reset-silent": ConnectionFaults(late=0.4, delay=(0, 1500 * MS), reset=0.2, silent=0.1),
}


SILENT_INTERVALS = {"every-2s": 2 * SECOND, "every-5s": 5 * SECOND, "every-700ms": 700 * MS}


def assert_no_end_is_late(rig: Rig, name: str) -> None:
    """Let the traffic end, and check when the end of each message was told."""
    rig.run(10 * SECOND)
    rig.drain()
    calls = [call for member in rig.members.values() for call in member.calls]
    delays = checkers.end_delays(rig.submissions, calls)
    print(f"{name}: {len(delays)} ends, the latest {max(delays.values()) / SECOND:+.3f} s after its time")
    assert len(delays) > 200  # else the run shows nothing
    assert not checkers.late_ends(rig.submissions, calls, rig.loop.longest_turn)
    assert not checkers.delivery_violations(rig.submissions, calls)


@pytest.mark.parametrize("interval", SILENT_INTERVALS)
def test_connections_to_the_platform_that_fall_silent_at_once_make_no_final_answer_late(
    tmp_path: Path, interval: str
) -> None:
    # Guards against ends that are told one silent connection after the other: all ready ones may be silent.
    with Rig(tmp_path, 1, 7, LIMITS, peers=False) as rig:
        relay = rig.relay_discovery()
        for member in rig.members.values():
            member.refused = 1.0  # every message ends with a notice
        rig.start("n0")
        rig.ready()
        rig.traffic({"n0": {"m1": 10.0, "m2": 10.0, "m3": 10.0}}, 10 * SECOND)
        silenced = []
        for at in range(1, 14 * SECOND // SILENT_INTERVALS[interval]):
            rig.loop.call_at(
                rig.loop.now + at * SILENT_INTERVALS[interval], lambda: silenced.append(relay.silence_connections())
            )
        assert_no_end_is_late(rig, interval)
        assert max(silenced) > 8  # else the run shows nothing


def test_a_short_cut_of_the_way_to_the_platform_makes_no_final_answer_late(tmp_path: Path) -> None:
    # Guards against connections from before and from within a cut that keep those from after it from being opened.
    with Rig(tmp_path, 1, 7, LIMITS, peers=False) as rig:
        relay = rig.relay_discovery()
        for member in rig.members.values():
            member.refused = 1.0  # every message ends with a notice
        rig.start("n0")
        rig.ready()
        rig.traffic({"n0": {"m1": 10.0, "m2": 10.0, "m3": 10.0}}, 10 * SECOND)
        for at in (5 * SECOND, 9 * SECOND):
            rig.loop.call_at(rig.loop.now + at, lambda: relay.cut(200 * MS))
        assert_no_end_is_late(rig, "cut")


@pytest.mark.parametrize("faults", FAULTS)
def test_slow_connections_to_the_platform_make_no_final_answer_late(tmp_path: Path, faults: str) -> None:
    with Rig(tmp_path, 1, 7, LIMITS, peers=False) as rig:
        rig.relay_discovery(connection_faults=FAULTS[faults])
        for member in rig.members.values():
            member.refused = 1.0  # every message ends with a notice
        rig.start("n0")
        rig.ready()
        rig.traffic({"n0": {"m1": 10.0, "m2": 10.0, "m3": 10.0}}, 10 * SECOND)
        assert_no_end_is_late(rig, faults)
