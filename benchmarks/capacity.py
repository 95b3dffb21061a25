"""Capacity slopes up to the target: measured into benchmarks/capacity.json and rendered as docs/CAPACITY.md.

    python -m benchmarks.capacity measure [NAME ...] [--jobs N]
    python -m benchmarks.capacity page [--check]
    python -m benchmarks.capacity list

A slope is measured at four sizes or more, with three runs each, and every run in a process of its own. Each row is
written as soon as it is measured, so an interrupted measurement loses nothing; it replaces the row of the same name,
size and run. No figure of the page is typed by hand: all are computed from the file and the target.

To add slopes, list a module with ``SLOPES`` (see slope.py) in ``MODULES``, and add a before-and-after pair in
capacity_page.
"""

from __future__ import annotations

import argparse
import importlib.util
import json
import multiprocessing
import os
import platform
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import Executor, ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass, field, fields
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from benchmarks.slope import SETTINGS, Slope

ROOT = Path(__file__).parent.parent
DATA_FILE, PAGE = ROOT / "benchmarks" / "capacity.json", ROOT / "docs" / "CAPACITY.md"
MODULES = ("benchmarks.capacity_peers", "benchmarks.capacity_courier", "benchmarks.capacity_brokers")


class CapacityError(Exception):
    """An error shown as one line: an unknown slope, an unreadable file, failed runs."""


@dataclass(frozen=True, slots=True)
class MeasuredRun:
    """One run of one slope at one size."""

    name: str
    size: int
    run: int
    setting: str
    date: str  # UTC, in ISO 8601
    commit: str  # followed by + if the working tree had changes
    machine: str
    figures: dict[str, float] = field(default_factory=dict)  # values by figure name, in the units of the slope

    @property
    def key(self) -> tuple[str, int, int]:
        """Identifies a row: a later row with the same key replaces it."""
        return self.name, self.size, self.run


def slopes() -> dict[str, Slope]:
    """Return all slopes of those ``MODULES`` that exist, by name; ``CapacityError`` if two have one name."""
    by_name: dict[str, Slope] = {}
    for module in MODULES:
        if importlib.util.find_spec(module) is None:
            continue
        for slope in importlib.import_module(module).SLOPES:
            if slope.name in by_name:
                raise CapacityError(f"duplicate slope: {slope.name}")
            by_name[slope.name] = slope
    return by_name


def select_slopes(names: Iterable[str], available: dict[str, Slope]) -> list[Slope]:
    """Return the named slopes, or all if no name is given."""
    names = list(names)
    for name in names:
        if name not in available:
            raise CapacityError(f"unknown slope: {name} (available: {', '.join(available)})")
    return [available[name] for name in names] if names else list(available.values())


def read_rows(file: Path) -> list[MeasuredRun]:
    """Return the rows of the file; none if it does not exist. Raises ``CapacityError`` if it is damaged."""
    try:
        content = json.loads(file.read_text())
    except FileNotFoundError:
        return []
    except (OSError, ValueError) as error:
        raise CapacityError(f"{file.name}: can't be read: {error}") from None
    if not isinstance(content, list):
        raise CapacityError(f"{file.name}: not a list of rows")
    rows: dict[tuple[str, int, int], MeasuredRun] = {}
    for row_number, item in enumerate(content, 1):
        row = _parse_row(item, f"{file.name}: row {row_number}")
        if row.key in rows:
            raise CapacityError(
                f"{file.name}: row {row_number}: duplicate of {row.name}, size {row.size}, run {row.run}"
            )
        rows[row.key] = row
    return list(rows.values())


def _parse_row(item: Any, where: str) -> MeasuredRun:
    expected = {each.name for each in fields(MeasuredRun)}
    if not isinstance(item, dict) or item.keys() != expected:
        raise CapacityError(f"{where}: expected the keys {', '.join(sorted(expected))}")
    for key, kind in (
        ("name", str),
        ("setting", str),
        ("date", str),
        ("commit", str),
        ("machine", str),
        ("size", int),
        ("run", int),
        ("figures", dict),
    ):
        if not isinstance(item[key], kind) or isinstance(item[key], bool):
            raise CapacityError(f"{where}: {key} is not of type {kind.__name__}: {item[key]!r}")
    if item["setting"] not in SETTINGS:
        raise CapacityError(f"{where}: setting is {item['setting']!r} (expected one of: {', '.join(SETTINGS)})")
    for figure, value in item["figures"].items():
        if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < float("inf"):
            raise CapacityError(f"{where}: {figure} is not a finite number: {value!r}")
    return MeasuredRun(**item)


def write_rows(file: Path, rows: Iterable[MeasuredRun]) -> None:
    """Write the rows atomically, by a temporary file and a rename; one row per line, so that diffs are readable."""
    ordered = sorted(rows, key=lambda row: row.key)
    lines = ",\n".join(json.dumps(asdict(row), sort_keys=True) for row in ordered)
    with tempfile.NamedTemporaryFile("w", dir=file.parent, prefix=file.name, delete=False) as temporary:
        temporary.write(f"[\n{lines}\n]\n" if lines else "[]\n")
        temporary.flush()
        os.fsync(temporary.fileno())
    os.chmod(temporary.name, 0o644)
    os.replace(temporary.name, file)


def find_problems(rows: Iterable[MeasuredRun], available: dict[str, Slope]) -> list[str]:
    """Describe missing and unexpected rows; an empty list if the file is complete."""
    by_key = {row.key: row for row in rows}
    problems = []
    for slope in available.values():
        for size in slope.sizes:
            for run in range(1, slope.runs + 1):
                row = by_key.pop((slope.name, size, run), None)
                if row is None:
                    problems.append(f"{slope.name}: size {size}, run {run} is not measured")
                elif row.figures.keys() != slope.figures.keys():
                    problems.append(f"{slope.name}: size {size}, run {run} has other figures than its slope")
                elif row.setting != slope.setting:
                    problems.append(f"{slope.name}: size {size}, run {run} was measured in another setting")
    return problems + [f"{name}: size {size}, run {run} belongs to no slope" for name, size, run in by_key]


def describe_machine() -> str:
    """Describe cores, processor and Python, without host names and paths."""
    model = platform.machine()
    try:
        for line in Path("/proc/cpuinfo").read_text().splitlines():
            if line.startswith("model name"):
                model = line.partition(":")[2].strip()
                break
    except OSError:
        pass
    return (
        f"{os.cpu_count()} cores ({len(os.sched_getaffinity(0))} used), {model}, "
        f"{platform.python_implementation()} {platform.python_version()}"
    )


def measured_commit() -> str:
    """Return the measured commit, followed by + if the working tree differs from it; "unknown" if git fails.

    Changes of the data file and of the page do not count as differences.
    """

    def git(*arguments: str) -> str:
        return subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()

    try:
        dirty = [
            line for line in git("status", "--porcelain").splitlines() if not line.endswith((DATA_FILE.name, PAGE.name))
        ]
        return git("rev-parse", "--short=12", "HEAD") + ("+" if dirty else "")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def _measure_once(name: str, size: int, run: int) -> dict[str, float]:
    slope = slopes()[name]
    figures = slope.measure(size, run)
    if figures.keys() != slope.figures.keys():
        raise CapacityError(f"{name}: measured {', '.join(figures)}, expected {', '.join(slope.figures)}")
    return {figure: float(f"{value:.6g}") for figure, value in figures.items()}


def measure(selected: list[Slope], file: Path, pool: Executor) -> None:
    """Measure every size and run of these slopes; write each row as soon as it is measured.

    A failed run does not stop the others. Raises ``CapacityError`` at the end if any run failed, and at the start if
    the file is damaged.
    """
    by_name = {slope.name: slope for slope in selected}

    def current_rows() -> dict[tuple[str, int, int], MeasuredRun]:
        """Read the file anew, as another process may have added rows; drop sizes and runs that no slope has now."""
        return {
            row.key: row
            for row in read_rows(file)
            if row.name not in by_name or row.size in by_name[row.name].sizes and row.run <= by_name[row.name].runs
        }

    current_rows()  # reports a damaged file before anything is measured
    commit_id, machine_text, failures = measured_commit(), describe_machine(), []
    futures = {
        pool.submit(_measure_once, slope.name, size, run): (slope, size, run)
        for slope in selected
        for run in range(1, slope.runs + 1)
        for size in slope.sizes
    }
    for future in as_completed(futures):
        slope, size, run = futures[future]
        try:
            figures = future.result()
        except Exception as error:  # any error: the other runs continue
            failures.append(f"{slope.name}, size {size}, run {run}: {type(error).__name__}: {error}")
            continue
        date = datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
        row = MeasuredRun(slope.name, size, run, slope.setting, date, commit_id, machine_text, figures)
        write_rows(file, (current_rows() | {row.key: row}).values())
        shown = ", ".join(f"{figure} {value:g} {slope.figures[figure]}" for figure, value in row.figures.items())
        print(f"{slope.name}, {size} {slope.size_unit}, run {run}: {shown}", flush=True)
    if failures:
        raise CapacityError(f"{len(failures)} runs failed: {'; '.join(failures)}")


def main(argv: list[str] | None = None) -> int:
    """Measure slopes, render the page, or list the slopes.

    Returns the exit code: 0, or 1 if ``page --check`` finds an outdated page, or 2 after a ``CapacityError``.
    """
    parser = argparse.ArgumentParser(
        prog="benchmarks.capacity", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--file", type=Path, default=DATA_FILE, help="file of the measured rows (default: benchmarks/capacity.json)"
    )
    subparsers = parser.add_subparsers(dest="verb", required=True)
    measure_parser = subparsers.add_parser("measure", help="measure the named slopes, or all")
    measure_parser.add_argument("name", nargs="*")
    measure_parser.add_argument("--jobs", type=int, default=1, help="number of concurrent runs (default: 1)")
    page_parser = subparsers.add_parser("page", help="render docs/CAPACITY.md")
    page_parser.add_argument(
        "--check", action="store_true", help="write nothing; exit code 1 if the page is not up to date"
    )
    subparsers.add_parser("list", help="list all slopes and their missing runs")
    options = parser.parse_args(argv)
    try:
        available = slopes()
        if options.verb == "measure":
            spawn = multiprocessing.get_context("spawn")
            with ProcessPoolExecutor(max(1, options.jobs), mp_context=spawn, max_tasks_per_child=1) as pool:
                measure(select_slopes(options.name, available), options.file, pool)
        elif options.verb == "page":
            from benchmarks.capacity_page import render  # imported here, as capacity_page imports this module

            rendered = render(read_rows(options.file), available)
            if options.check:
                is_current = PAGE.exists() and PAGE.read_text() == rendered
                print("the page is up to date" if is_current else "the page differs from what the file renders to")
                return 0 if is_current else 1
            PAGE.write_text(rendered)
        else:
            for slope in available.values():
                print(f"{slope.name} ({slope.setting}), by {slope.size_unit}: {slope.doc}")
            print("\n".join(find_problems(read_rows(options.file), available)) or "all slopes are measured")
    except CapacityError as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
