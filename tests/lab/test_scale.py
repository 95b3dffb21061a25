"""Scale runs: planning and its refusals, small runs of real and hollow couriers, and that no process is left behind."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest
from click.testing import CliRunner

from kestrelspar.cli.main import cli
from kestrelspar.lab import scale, simulated_scale
from kestrelspar.lab.plan import (
    MAX_MEMBERS,
    MB,
    ResourceLimits,
    RunParameters,
    RunTooLargeError,
    plan_run,
    plan_simulation,
)
from kestrelspar.runtime.loop import SECOND
from tests.lab.test_hollow import is_running
from tests.test_program import ROOT

TIMEOUT = 60.0  # seconds


@pytest.mark.parametrize(
    ("parameters", "bounds", "patterns"),  # patterns: one for each line of the error, in order
    [
        (
            RunParameters(2, 1_000, 2),
            ResourceLimits(memory=500 * MB),
            [r"about 1,\d\d\d MB of memory .*1002 members at 1100 bytes.*wanted: 500 MB"],
        ),
        (
            RunParameters(100, 10, 2),
            ResourceLimits(processes=50, descriptors=4_000),
            [r"10[0-9] processes: .*100 real couriers \(wanted: 50"],
        ),
        (
            RunParameters(0, 400, 1),
            ResourceLimits(descriptors=200),
            [r"hollow couriers needs 263 descriptors, and a process may have 200"],
        ),
        (
            RunParameters(60, 0, 1),
            ResourceLimits(),
            [r"the controlling process needs 15\d\d descriptors, and a process may have 1024 \(wanted: less, or"],
        ),
        (RunParameters(2, 5, 8), ResourceLimits(), [r"--zones: 8 for 7 couriers \(wanted: one courier in each"]),
        (RunParameters(2, 5, 0), ResourceLimits(), [r"--zones: 0"]),
        (
            RunParameters(2, 5, 2, fault="flood"),
            ResourceLimits(),
            [r"--fault: 'flood' is unknown \(wanted: none, loss, .*restarts\)"],
        ),
        (RunParameters(1, 0), ResourceLimits(), [r"1 couriers \(wanted: 2 or more"]),
        (RunParameters(101, 5, 2), ResourceLimits(), [r"--real: 101 \(wanted: 100"]),
        (
            RunParameters(2, 5, 1, fault="cut"),
            ResourceLimits(),
            [r"--fault cut: there is one zone \(wanted: --zones 2"],
        ),
        (RunParameters(2, 5, 1, fault="one-way"), ResourceLimits(), [r"--fault one-way: there is one zone"]),
        (
            RunParameters(2, 0, 2, fault="kill"),
            ResourceLimits(),
            [r"--fault kill: no hollow courier \(wanted: --hollow 1"],
        ),
        (
            RunParameters(2, MAX_MEMBERS, 2),
            ResourceLimits(),
            [r"1026 couriers know each other, and one holds 1024 .*--grouped"],
        ),
        (
            RunParameters(101, 0, 200, fault="flood"),
            ResourceLimits(),
            [r"--fault: 'flood'", r"--zones: 200 for 101", r"--real: 101"],
        ),
        (
            RunParameters(30, 1_100, 2),
            ResourceLimits(memory=100 * MB, processes=20, descriptors=100),
            [
                r"1130 couriers know",
                r"MB of memory",
                r"processes: ",
                r"hollow couriers needs",
                r"the controlling process needs",
            ],
        ),
    ],
)
def test_impossible_run_is_refused_naming_each_error_and_the_accepted_values(
    parameters: RunParameters, bounds: ResourceLimits, patterns: list[str]
) -> None:
    with pytest.raises(RunTooLargeError) as refused:
        plan_run(parameters, bounds)
    lines = str(refused.value).splitlines()
    assert len(lines) == len(patterns)
    for line, pattern in zip(lines, patterns, strict=True):
        assert "(wanted: " in line
        assert re.search(pattern, line), line


@pytest.mark.parametrize(
    ("parameters", "hosts", "relays"),
    # hosts: couriers in each host process; the last 1, 1, 0 are hosts that measure what one courier costs alone, and
    # what reporting costs. relays: number of relay processes.
    [
        (RunParameters(0, 10, 1), [10], 1),
        (RunParameters(2, 10, 2), [5, 5], 1),
        (RunParameters(3, 500, 1), [249, 249, 1, 1, 0], 1),
        (RunParameters(10, 1_000, 2), [250, 249, 250, 249, 1, 1, 0], 2),
        (RunParameters(5, 0, 5), [], 1),
        (RunParameters(0, 2_000, 8, grouped=True), [125, 124, 125, 124, *[125] * 12, 1, 1, 0], 2),
    ],
)
def test_each_courier_is_placed_once_and_zones_and_hosts_are_of_even_size(
    parameters: RunParameters, hosts: list[int], relays: int
) -> None:
    found = plan_run(parameters, ResourceLimits())
    assert [len(names) for _, names in found.hosts] == hosts and len(found.relays) == relays
    assert sorted(found.numbers.values()) == list(range(parameters.couriers))
    assert sorted(name for _, names in found.hosts for name in names) == sorted(
        f"h{n}" for n in range(parameters.hollow)
    )
    assert all(found.zones[name] == zone for zone, names in found.hosts for name in names)
    assert sorted(zone for zones in found.relays for zone in zones) == sorted(
        {f"z{n}" for n in range(parameters.zones)}
    )
    sizes = [len(found.zone(f"z{n}")) for n in range(parameters.zones)]
    assert max(sizes) - min(sizes) <= 1 and found.memory < 12_000 * MB


@pytest.mark.parametrize(
    ("couriers", "zones", "grouped", "refused"),  # refused: pattern of the error; empty if the run is accepted
    [
        (1_000, 1, False, ""),
        (10_000, 1, False, r"10,000 couriers that know 10,000 each .*--grouped with --zones 11 or"),
        (10_000, 20, True, ""),
        (10_000, 5, True, r"know 2,000 each .*23,\d\d\d MB"),
        (2_000, 1, False, r"2000 couriers know each other"),
        (10, 20, True, "--zones: 20 for 10"),
    ],
)
def test_too_large_simulated_run_is_refused_with_its_expected_memory(
    couriers: int, zones: int, grouped: bool, refused: str
) -> None:
    if not refused:
        assert plan_simulation(RunParameters(0, couriers, zones, grouped=grouped), ResourceLimits()) < 12_000 * MB
        return
    with pytest.raises(RunTooLargeError, match=refused):
        plan_simulation(RunParameters(0, couriers, zones, grouped=grouped), ResourceLimits())


def test_simulated_run_is_deterministic_for_a_seed() -> None:
    parameters = RunParameters(0, 24, 2, 4 * SECOND, 5, "kill", period=300_000)
    first, second = simulated_scale.run(parameters, ResourceLimits()), simulated_scale.run(parameters, ResourceLimits())
    assert first["findings"] == [] and first["from"] == "modelled network"
    assert first["known_s"] is not None and first["settled_s"] is not None and first["settled_s"] > 0
    assert all(0 < busiest <= allowed for busiest, allowed in first["busiest_span"].values())
    for key in ("known_s", "settled_s", "busiest_span", "sums"):
        assert first[key] == second[key]


@pytest.mark.parametrize("fault", ["loss", "delay", "cut", "one-way", "stop", "restarts", "none"])
def test_simulated_run_supports_all_faults(fault: str) -> None:
    report = simulated_scale.run(RunParameters(0, 8, 2, 4 * SECOND, 2, fault, period=300_000), ResourceLimits())
    assert report["hit"] == {"cut": 4, "one-way": 4, "stop": 4, "restarts": 4, "none": 0}.get(fault, 8)
    assert report["findings"] == [] and (report["settled_s"] is None) is (fault == "none")


@pytest.mark.parametrize(("fault", "affected"), [("kill", 124), ("stop", 124)])
def test_fault_hits_the_largest_host_of_the_last_zone(tmp_path: Path, fault: str, affected: int) -> None:
    """Some hosts of a zone have a single courier, to measure what one costs alone; the fault must not choose these."""
    with scale.ScaleRun(RunParameters(2, 500, 4, fault=fault), tmp_path, ResourceLimits(), lambda text: None) as run:
        recorded: list[object] = []
        for index in range(len(run.plan.hosts)):
            run.hosts[str(index)] = RecordingHost(recorded)  # type: ignore[assignment]
        run.inject()
        run.hosts.clear()
    assert run.affected == affected and len(recorded) > 0


class RecordingHost:
    """A fake child process that records the signals and commands sent to it."""

    def __init__(self, recorded: list[object]) -> None:
        self.recorded, self.process = recorded, self

    def send_signal(self, number: int) -> None:
        self.recorded.append(number)

    def kill(self) -> None:
        self.recorded.append("killed")

    def send_command(self, command: dict[str, Any]) -> None:
        self.recorded.append(command)


def test_max_calls_in_window_agrees_with_a_brute_force_count() -> None:
    random = Random(4)
    for _ in range(200):
        times = [random.randrange(400) for _ in range(random.randrange(1, 30))]
        window = random.randrange(1, 120)
        expected = max(sum(begin <= at < begin + window for at in times) for begin in times)
        assert scale.max_calls_in_window(times, window) == expected
    assert scale.max_calls_in_window([], 10) == 0


@pytest.mark.parametrize(
    ("figures", "expected"),
    [
        ({}, []),
        ({"busiest_host": 0.95}, ["a process of hollow couriers used 0.95 of a core"]),
        ({"busiest_relay": 1.0}, ["a process of relays used 1.00 of a core"]),
        (
            {"play": 0.91, "dropped": 3},
            [
                "the controlling process used 0.91 of a core",
                "the kernel dropped 3 datagrams at full socket buffers",
            ],
        ),
        ({"latest_tick_ms": 5_000.0}, []),  # a single stall, by the machine
        ({"mean_tick_late_ms": 51.0}, ["ticks of hollow couriers were 51 ms late on average"]),
        ({"cores_busy": 0.99}, ["all cores were busy: 99% of 4, 20% stolen by the hypervisor"]),
        ({"stalled_ticks": 0.02}, ["2.0% of the ticks were more than a period late"]),
    ],
)
def test_saturated_resources_are_named(figures: dict[str, float], expected: list[str]) -> None:
    unsaturated = {
        "busiest_host": 0.5,
        "busiest_relay": 0.5,
        "play": 0.5,
        "latest_tick_ms": 90.0,
        "mean_tick_late_ms": 5.0,
        "stalled_ticks": 0.001,
        "dropped": 0,
        "cores": 4,
        "cores_busy": 0.7,
        "cores_stolen": 0.2,
    }
    assert scale.saturated(unsaturated | figures) == expected


def test_cost_ratios_are_of_the_peer_protocol_alone() -> None:
    report: dict[str, Any] = {
        "rest": {
            "cpu_ms_a_hollow": 1.5,
            "cpu_ms_a_hollow_alone": 3.0,
            "cpu_ms_a_real": 9.0,
            "cpu_ms_a_real_off": 6.0,
            "bytes_a_hollow": 500,
            "bytes_a_real": 1_000,
        },
        "memory_a_member_hollow": 900,
        "memory_a_member_real": 0,
    }
    assert scale.cost_ratios(report) == {
        "processor time, in a process of its own": 1.0,
        "bytes sent": 0.5,
        "processor time, many in a process": 0.5,
        "memory a member": 0.0,
    }


@pytest.mark.parametrize(("real", "fault"), [("2", "cut"), ("0", "kill"), ("0", "restarts")])
def test_small_run_converges_without_findings(tmp_path: Path, real: str, fault: str) -> None:
    out, page = tmp_path / "out.json", tmp_path / "out.html"
    done = CliRunner().invoke(
        cli,
        [
            "lab",
            "scale",
            "--real",
            real,
            "--hollow",
            "10",
            "--zones",
            "2",
            "--fault",
            fault,
            "--for",
            "3s",
            "--period",
            "200ms",
            "--json",
            str(out),
            "--page",
            str(page),
        ],
    )
    assert done.exit_code == 0, f"{done.output} {done.exception!r}"
    (run,) = json.loads(out.read_text())["plays"]
    assert run["findings"] == [] and run["settled_s"] is not None and run["known_s"] is not None
    assert run["hit"] == {"cut": 6, "kill": 5, "restarts": 4}[fault]
    assert (run["messages"] > 0) is (real != "0") and run["least_known"] > 0
    assert all(0 < busiest <= allowed for busiest, allowed in run["busiest_span"].values())
    assert run["sums"]["passed"] > 0 and (run["sums"].get("lost fault", 0) > 0) is (fault == "cut")
    assert "Couriers by number" in page.read_text() and "<svg" in page.read_text()


def test_refused_run_exits_with_code_2_before_any_process_starts() -> None:
    done = CliRunner().invoke(cli, ["lab", "scale", "--hollow", "20,20000", "--fault", "cut"])
    assert done.exit_code == 2 and "couriers know each other" in done.output
    done = CliRunner().invoke(cli, ["lab", "scale", "--hollow", "many"])
    assert done.exit_code == 2


def test_memory_above_the_bound_ends_the_run_and_its_processes(tmp_path: Path) -> None:
    parameters, started = RunParameters(1, 4, 2), []
    with (
        pytest.raises(RunTooLargeError, match="all processes of the run were ended"),
        scale.ScaleRun(parameters, tmp_path, ResourceLimits(), lambda text: None) as run,
    ):
        run.bounds = ResourceLimits(memory=MB)  # after planning, so that only the check at run time finds it
        try:
            run.run()
        finally:
            started = run.pids()[1:]
    assert started and not any(map(is_running, started))


def descendants(pid: int) -> Iterator[int]:
    """Ids of all descendant processes."""
    parents = {}
    for directory in Path("/proc").glob("[0-9]*"):
        try:
            parents[int(directory.name)] = int((directory / "stat").read_text().rpartition(")")[2].split()[1])
        except OSError:
            continue
    tree = {pid}
    while more := {child for child, parent in parents.items() if parent in tree} - tree:
        tree |= more
    yield from sorted(tree - {pid})


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_signal_leaves_no_process_behind(number: signal.Signals) -> None:
    code = "from kestrelspar.cli.main import cli; cli()"
    process = subprocess.Popen(
        [sys.executable, "-c", code, "lab", "scale", "--real", "2", "--hollow", "6"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    try:
        deadline = time.monotonic() + TIMEOUT
        # One process of relays, two of hollow couriers, two real couriers.
        while len(started := list(descendants(process.pid))) < 5:
            assert time.monotonic() < deadline and process.poll() is None
            time.sleep(0.05)
        time.sleep(2.0 if number is signal.SIGTERM else 0.0)  # SIGINT while it starts, SIGTERM later
        os.kill(process.pid, number)
        assert process.wait(TIMEOUT) == 128 + number
        assert not any(map(is_running, started)) and not list(descendants(process.pid))
    finally:
        process.kill()
        process.communicate()


def test_run_without_a_fault_ends_by_itself(tmp_path: Path) -> None:
    report = scale.run(RunParameters(0, 4, 2, 3 * SECOND), tmp_path, ResourceLimits())
    assert report["findings"] == [] and "fault" not in report and report["known_s"] is not None
