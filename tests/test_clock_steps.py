"""The courier as a process whose wall clock is stepped while it is down: deadlines are spans of real time."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

from tests.test_program import Program, StandInPlatform, wait_until, world

__all__ = ["world"]
# Loaded by the interpreter at its start: the wall clock differs from the real one by WALL_CLOCK_STEP seconds.
SHIM = """
import os, time
step, real_ns, real = int(os.environ["WALL_CLOCK_STEP"]), time.time_ns, time.time
time.time_ns = lambda: real_ns() + step * 10**9
time.time = lambda: real() + step
"""
MESSAGES = 20
STEPS = [7, 3_600, -3_600]


def start(directory: Path, world: str, step: int) -> Program:
    shim = directory / "shim"
    shim.mkdir(exist_ok=True)
    (shim / "sitecustomize.py").write_text(SHIM)
    return Program(directory, world, PYTHONPATH=str(shim), WALL_CLOCK_STEP=str(step)).ready()


def kill_with_untried_messages(directory: Path, world: str, expires_in: str) -> set[str]:
    """Start a courier, submit messages to an endpoint that never answers, and kill it; returns those never called."""
    StandInPlatform.silent = True
    program = start(directory, world, 0)
    traces = [f"t{number}" for number in range(MESSAGES)]
    assert [program.submit(trace, expires_in=expires_in) for trace in traces] == [202] * MESSAGES
    wait_until(lambda: StandInPlatform.calls)
    program.end(signal.SIGKILL)
    StandInPlatform.silent = False
    return set(traces) - set(StandInPlatform.calls)


@pytest.mark.parametrize("step", STEPS)
def test_untried_messages_are_called_after_a_restart_whatever_the_wall_clock_says(
    tmp_path: Path, world: str, step: int
) -> None:
    untried = kill_with_untried_messages(tmp_path, world, "15000m")
    assert len(untried) > MESSAGES // 2
    program = start(tmp_path, world, step)
    wait_until(lambda: untried <= set(StandInPlatform.calls) or StandInPlatform.notices)
    assert not StandInPlatform.notices and program.end(signal.SIGTERM)[0] == 0


@pytest.mark.parametrize("step", STEPS)
def test_messages_whose_time_is_over_are_not_called_whatever_the_wall_clock_says(
    tmp_path: Path, world: str, step: int
) -> None:
    untried = kill_with_untried_messages(tmp_path, world, "1500m")
    time.sleep(1.6)
    program = start(tmp_path, world, step)
    wait_until(lambda: untried <= {notice["id"] for notice in StandInPlatform.notices})
    assert not untried & set(StandInPlatform.calls) and program.end(signal.SIGTERM)[0] == 0
