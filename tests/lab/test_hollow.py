"""Hollow couriers: the random workload, the commands of a host process, and that it ends with its parent."""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from kestrelspar.lab.hollow import HollowConfig, Workload, endpoint_budgets
from kestrelspar.peers.observations import CallOutcome
from kestrelspar.runtime.loop import MS, SECOND
from tests.test_program import ROOT

TIMEOUT = 30.0  # seconds
CONFIG = {
    "couriers": 6,
    "seed": 4,
    "rate": 20.0,
    "limits": {"m1": 60.0},
    "key": "a key that hollow couriers have",
    "period": 200 * MS,
    "failing": 0.0,
}


@contextmanager
def running_host() -> Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "kestrelspar.lab.hollow"], stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        assert process.stdin is not None and process.stdout is not None
        process.stdin.close()
        process.stdout.close()


def send_command(process: subprocess.Popen[bytes], command: dict[str, Any]) -> None:
    assert process.stdin is not None
    process.stdin.write(json.dumps(command).encode() + b"\n")
    process.stdin.flush()


def reports(process: subprocess.Popen[bytes]) -> Iterator[dict[str, Any]]:
    assert process.stdout is not None
    deadline = time.monotonic() + TIMEOUT
    poll = select.poll()  # unlike select(), it takes any descriptor number
    poll.register(process.stdout, select.POLLIN)
    while time.monotonic() < deadline:
        if poll.poll(1_000):
            line = process.stdout.readline()
            if not line:
                return
            yield json.loads(line)
    raise TimeoutError("the host did not send the expected report in time")


def open_couriers(
    process: subprocess.Popen[bytes], received: Iterator[dict[str, Any]], **overrides: Any
) -> dict[str, Any]:
    """Open six couriers at the host, and return their addresses by name."""
    couriers = [{"name": f"h{n}", "number": n, "zone": "all"} for n in range(6)]
    send_command(process, {"open": {"told": CONFIG | overrides, "couriers": couriers}})
    found: dict[str, Any] = next(report for report in received if "open" in report)["open"]
    assert set(found) == {courier["name"] for courier in couriers}
    return found


def test_workload_is_deterministic_for_a_seed_and_arrives_at_the_configured_rate() -> None:
    config = HollowConfig(10, 3, 2.0, limits={"a": 5.0, "b": 5.0})
    first, second = Workload(config, 4), Workload(config, 4)
    arrived = [first.arrive(at) for at in range(0, 500 * SECOND, 50 * MS)]
    assert arrived == [second.arrive(at) for at in range(0, 500 * SECOND, 50 * MS)]
    assert abs(sum(arrived) - 500 * first.rate) < 5 * (500 * first.rate) ** 0.5
    rates = [Workload(config, number).rate for number in range(2_000)]
    assert abs(sum(rates) / len(rates) - 2.0) < 0.1
    # No calls are made, so each message waits or is abandoned.
    assert first.abandoned == first.arrived - sum(first.waiting.values())


@pytest.mark.parametrize(("rate", "limits"), [(0.0, {"a": 5.0}), (3.0, {})])
def test_no_messages_arrive_without_a_rate_or_an_endpoint(rate: float, limits: dict[str, float]) -> None:
    workload = Workload(HollowConfig(10, 3, rate, limits=limits), 1)
    assert not any(workload.arrive(at) for at in range(0, 60 * SECOND, SECOND))


def test_failed_and_refused_outcomes_have_the_configured_share() -> None:
    workload = Workload(HollowConfig(10, 3, 1.0, failing=0.1, limits={"a": 1.0}), 1)
    outcomes = [workload.outcome() for _ in range(10_000)]
    assert 850 < outcomes.count((CallOutcome.FAILED, 0)) < 1_150
    assert 850 < sum(outcome is CallOutcome.REFUSED and retry_after > 0 for outcome, retry_after in outcomes) < 1_150


def test_budgets_are_derived_from_a_limit_as_by_real_couriers() -> None:
    assert endpoint_budgets(HollowConfig(10, 1, limits={"m": 50.0})) == {"e:m": (45, SECOND)}
    # A longer window, so that each courier's share is at least one call.
    assert endpoint_budgets(HollowConfig(1_000, 1, limits={"m": 50.0}))["e:m"][0] >= 1_000


def test_host_starts_stops_and_restarts_couriers_that_discover_each_other() -> None:
    with running_host() as process:
        received = reports(process)
        addresses = open_couriers(process, received)
        names = list(addresses)
        send_command(process, {"seeds": {name: addresses[name] for name in names[:3]}})
        send_command(process, {"truth": {"there": {"all": 6}, "gone": {}}, "start": names, "within": 200 * MS})
        found = next(
            r for r in received if r["sums"].get("couriers") == 6 and not r["sums"]["missing"] and r["least"] == 5
        )
        assert found["sums"]["sent"] > 0 and found["rss"] > 0
        calls = [at for report in (next(received), next(received)) for at in report["calls"]["e:m1"]]
        assert calls
        send_command(process, {"truth": {"there": {"all": 5}, "gone": {"all": ["h5"]}}, "stop": ["h5"]})
        found = next(r for r in received if r["sums"].get("couriers") == 5 and r["sums"]["ghosts"] == 0)
        assert found["sums"]["ghost_pairs"] == 5 and found["sums"]["buried"] == 0
        send_command(process, {"truth": {"there": {"all": 6}, "gone": {}}, "start": ["h5"]})
        next(r for r in received if r["sums"].get("couriers") == 6 and not r["sums"]["missing"])
        send_command(process, {"restart": ["h0", "h1"], "gap": 100 * MS})
        next(r for r in received if r["events"].get("peers-joined", 0) >= 30 + 5 + 10 and not r["sums"]["missing"])


def test_host_ends_when_its_stdin_closes_and_when_its_lifetime_is_over() -> None:
    with running_host() as process:
        open_couriers(process, reports(process))
        assert process.stdin is not None
        process.stdin.close()
        assert process.wait(TIMEOUT) == 0
    with running_host() as process:
        open_couriers(process, reports(process), span=300 * MS)
        assert process.wait(TIMEOUT) == 0


def test_host_ends_with_its_parent() -> None:
    """The parent is killed by SIGKILL, so it cannot close the host's stdin itself."""
    code = (
        "import subprocess, sys, time\n"
        "p = subprocess.Popen([sys.executable, '-m', 'kestrelspar.lab.hollow'], stdin=subprocess.PIPE)\n"
        "print(p.pid, flush=True)\ntime.sleep(60)\n"
    )
    parent = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, cwd=ROOT)
    assert parent.stdout is not None
    pid = int(parent.stdout.readline())
    os.kill(parent.pid, signal.SIGKILL)
    parent.wait()
    parent.stdout.close()
    deadline = time.monotonic() + TIMEOUT
    while is_running(pid):
        assert time.monotonic() < deadline
        time.sleep(0.05)


def is_running(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False
