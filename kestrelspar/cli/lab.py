"""``kestrelspar lab``: run couriers under injected faults and check what the member systems received."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import ujson
from rich.console import Console
from rich.status import Status
from rich.table import Table

from kestrelspar.cli.main import CommandError, ConfigurationError
from kestrelspar.cli.units import DURATION
from kestrelspar.lab import run as scenario_run
from kestrelspar.lab import scale, scenario, soak, soak_plan
from kestrelspar.lab.plan import FAULTS, RunParameters, plan_run, plan_simulation
from kestrelspar.lab.simulated_scale import run as run_simulated


@click.group("lab")
def verb() -> None:
    """Run couriers as processes, inject faults between them, and check what the member systems received."""


@verb.command("run")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--couriers", type=click.IntRange(1, 50), help="Number of couriers; overrides the file.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the random numbers.")
@click.option("--peers/--no-peers", default=None, help="Whether the couriers share budgets; overrides the file.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the report to this file, as JSON.")
@click.option(
    "--html",
    "site",
    type=click.Path(dir_okay=False),
    help="Write the report to this file, as an HTML page with charts.",
)
@click.option(
    "--keep", type=click.Path(file_okay=False), help="Keep state directories and logs in this empty directory."
)
def run(
    file: str, couriers: int | None, seed: int, peers: bool | None, out: str | None, site: str | None, keep: str | None
) -> None:
    """Run a scenario. Exit code 1 if a checker found an error, 2 if the file is invalid.

    \b
    Example:
      kestrelspar lab run scenarios/third-cut.conf --couriers 8 --seed 3 --html play.html
    """
    try:
        loaded = scenario.load(file, couriers)
    except ValueError as error:
        raise ConfigurationError(error) from error
    loaded.peers = loaded.peers if peers is None else peers
    console = Console()
    with tempfile.TemporaryDirectory(prefix="kestrelspar-lab-") as temporary, console.status("starting") as status:
        directory = Path(keep or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        if any(directory.iterdir()):
            raise ConfigurationError(ValueError(f"--keep: {directory} is not empty"))
        try:
            report = scenario_run.run_scenario(loaded, directory, seed, lambda text: status.update(text))
        except TimeoutError as error:
            raise CommandError(str(error)) from error
    if out:
        Path(out).write_text(ujson.dumps(report, indent=1) + "\n")
    if site:
        from kestrelspar.lab.page import page  # the chart library is slow to import

        Path(site).write_text(page(report, Path(file).stem))
    for table in _tables(report):
        console.print(table)
    for line in report["faults"]:
        click.echo(line, err=True)
    if report["faults"]:
        raise CommandError(f"{len(report['faults'])} errors found by the checkers")
    console.print(f"{report['served']:.1%} of the messages were executed; no errors found.")


@verb.command("soak")
@click.option("--seed", "first", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first run.")
@click.option("--runs", type=click.IntRange(1), default=1, show_default=True, help="Number of runs, each its seed.")
@click.option("--faults", default="", help="Numbers of the faults to play, separated by commas; all by default.")
@click.option("--shrink", "shrinks", is_flag=True, help="Find the fewest faults with which a run still breaks a rule.")
def soak_command(first: int, runs: int, faults: str, shrinks: bool) -> None:
    """Play drawn mixtures of faults on real couriers. Exit code 1 if a rule was broken.

    \b
    Example:
      kestrelspar lab soak --seed 100 --runs 50
    """
    red = 0
    for seed in range(first, first + runs):
        plan = soak_plan.draw(seed)
        if faults:
            try:
                plan = plan.only(map(int, faults.split(",")))
            except ValueError as error:
                raise ConfigurationError(ValueError(f"--faults: {faults!r} (wanted: numbers such as 0,3)")) from error
        outcome = _play_soak(plan)
        _print_soak(outcome)
        if not outcome.violations:
            continue
        red += 1
        numbers = ",".join(str(fault.number) for fault in plan.faults)
        click.echo(f"  again: kestrelspar lab soak --seed {seed} --faults {numbers}")
        if shrinks:
            fewest = soak.shrink(plan, lambda smaller: bool(_play_soak(smaller).violations))
            click.echo(f"  fewest faults: {','.join(str(fault.number) for fault in fewest.faults)}")
    if red:
        raise CommandError(f"{red} of {runs} runs broke a rule")


def _play_soak(plan: soak_plan.SoakPlan) -> soak.Outcome:
    with tempfile.TemporaryDirectory(prefix="kestrelspar-soak-") as directory:
        return soak.SoakRun(plan, Path(directory)).play()


def _print_soak(outcome: soak.Outcome) -> None:
    record = outcome.record
    accepted = sum(sent.status == 202 for sent in record.submissions.values())
    click.echo(
        f"seed {outcome.plan.seed}: {accepted} of {len(record.submissions)} messages accepted, "
        f"{len(record.restarts)} restarts, latest end {outcome.latest_end:+.3f} s after a message's time, "
        f"{len(outcome.violations)} violations"
    )
    if outcome.violations:
        click.echo("\n".join(f"  fault {fault}" for fault in outcome.plan.faults))
        click.echo("\n".join(f"  {each.rule.value}: {each.trace} {each.text}" for each in outcome.violations))
        click.echo("\n".join(f"    {line}" for line in outcome.stories()))


@verb.command("scale")
@click.option(
    "--real", type=click.IntRange(0), default=2, show_default=True, help="Number of real couriers, each a process."
)
@click.option(
    "--hollow",
    default="50",
    show_default=True,
    metavar="N[,N...]",
    help="Number of hollow couriers; several numbers give one run each, to compare sizes.",
)
@click.option(
    "--model",
    default="",
    metavar="N[,N...]",
    help="Also run this many couriers on the modelled network, in simulated time; several numbers give one run each.",
)
@click.option(
    "--zones", type=click.IntRange(1), default=2, show_default=True, help="Number of zones, each behind a relay."
)
@click.option("--grouped/--whole", default=False, help="Whether couriers know only the couriers of their own zone.")
@click.option(
    "--for",
    "span",
    type=DURATION,
    default="30s",
    show_default=True,
    help="Duration of the measurement; the fault starts after a third of it.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the random numbers.")
@click.option("--fault", default="none", show_default=True, metavar="NAME", help=", ".join(FAULTS) + ".")
@click.option(
    "--rate",
    type=click.FloatRange(0, 1000),
    default=1.0,
    show_default=True,
    help="Messages per second at each hollow courier.",
)
@click.option(
    "--failing",
    type=click.FloatRange(0, 0.5),
    default=0.001,
    show_default=True,
    help="Share of a hollow courier's calls that fail; an equal share is refused with a retry-after delay.",
)
@click.option("--period", type=DURATION, default="1s", show_default=True, help="Interval between probes of members.")
@click.option(
    "--compare",
    is_flag=True,
    help="Compare the costs of hollow and real couriers: without messages, and with two more real couriers that have "
    "peers disabled.",
)
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the whole report to this file, as JSON.")
@click.option(
    "--page",
    "site",
    type=click.Path(dir_okay=False),
    help="Write the report to this file, as an HTML page with charts.",
)
def scale_command(
    real: int,
    hollow: str,
    model: str,
    zones: int,
    grouped: bool,
    span: int,
    seed: int,
    fault: str,
    rate: float,
    failing: float,
    period: int,
    compare: bool,
    out: str | None,
    site: str | None,
) -> None:
    """Run real and hollow couriers together, in zones behind relays, under a fault.

    A hollow courier runs only the exchange between couriers, over real datagrams, with random calls and no messages, so
    that hundreds share a process. Results of runs that fell behind real time are marked. No run takes more than 12 GB
    and 200 processes. Exit code 1 if a checker found an error, 2 if the requested size exceeds these limits, 130 or 143
    after a signal.

    With --model the same is run on the modelled network, in simulated time, which can pass more slowly than real time.
    The table says of each result whether it is from real time or from the modelled network.

    \b
    Example:
      kestrelspar lab scale --real 4 --hollow 50,100,200 --zones 4 --fault kill --page scale.html
    """
    console = Console()
    runs: list[dict[str, Any]] = []
    report: dict[str, Any] = {"machine": scale.machine_info(), "plays": runs}
    try:
        requested = [
            RunParameters(
                real, int(number), zones, span, seed, fault, grouped, 0.0 if compare else rate, failing, period
            )
            for number in filter(None, hollow.split(","))
        ]
        simulated = [
            RunParameters(0, int(number), zones, span, seed, fault, grouped, rate, failing, period)
            for number in filter(None, model.split(","))
        ]
        for request in requested:  # check all of them before the first is started
            plan_run(request, scale.default_bounds())
        for request in simulated:
            plan_simulation(request, scale.default_bounds())
        for request in requested:
            with tempfile.TemporaryDirectory(prefix="kestrelspar-lab-") as directory, console.status("") as status:
                runs.append(
                    scale.run(request, Path(directory), scale.default_bounds(), progress(console, status), compare)
                )
            console.print(_summary(runs[-1]))
        for request in simulated:
            with console.status("") as status:
                runs.append(run_simulated(request, scale.default_bounds(), progress(console, status)))
            console.print(_summary(runs[-1]))
    except ValueError as error:
        raise ConfigurationError(error) from error
    except (TimeoutError, RuntimeError) as error:
        raise CommandError(str(error)) from error
    except scale.StoppedBySignalError as stopped:
        click.echo("ended", err=True)
        raise SystemExit(128 + stopped.args[0]) from None
    if compare:
        report["factors"] = scale.cost_ratios(runs[0])
    if out:
        Path(out).write_text(ujson.dumps(report, indent=1) + "\n")
    if site:
        from kestrelspar.lab.page import scale_page

        Path(site).write_text(scale_page(report))
    console.print(_size_table(runs))
    for name, factor in report.get("factors", {}).items():
        console.print(f"ratio of hollow to real, {name}: {factor:.2f}")
    findings = [f"{run['couriers']} couriers: {line}" for run in runs for line in run["findings"]]
    for run in runs:
        for line in run["saturated"]:
            console.print(f"saturated at {run['couriers']} couriers: {line}")
    for line in findings:
        click.echo(line, err=True)
    if findings:
        raise CommandError(f"{len(findings)} findings of the checkers")
    console.print("The checkers found no errors.")


def progress(console: Console, status: Status) -> Callable[[str], None]:
    """Return a function that shows progress texts, which begin with their phase and a colon.

    On a terminal the text is replaced in place. Otherwise a line is printed when the phase changes, and every 5 s.
    """
    last_printed: list[Any] = [0.0, ""]  # time and phase

    def show(text: str) -> None:
        status.update(text)
        if not console.is_terminal and (
            time.monotonic() - last_printed[0] > 5 or text.partition(":")[0] != last_printed[1]
        ):
            last_printed[:] = [time.monotonic(), text.partition(":")[0]]
            click.echo(text, err=True)

    return show


def _summary(run: dict[str, Any]) -> str:
    couriers = (
        f"{run['real']} real and {run['hollow']} hollow"
        if run["real"] or run["processes"] > 1
        else (f"{run['hollow']} modelled")
    )
    return (
        f"{couriers}: members known after {run['known_s']} s, {run['processes']} processes, {run['memory_mb']} MB"
        + (
            f", fault {run['fault_name']} hit {run['hit']} couriers, members known again after {run['settled_s']} s"
            if run["fault_name"] != "none"
            else ""
        )
    )


def _size_table(runs: list[dict[str, Any]]) -> Table:
    """Rows for each run: one at rest, and one during the fault if there was one."""
    table = Table(
        padding=0,
        title="By size; per courier and second: CPU in ms (hollow / hollow in a process of its own / "
        "real), bytes sent (hollow / real); highest load of a core; latest tick in ms",
    )
    for name in ("N", "from", "phase", "CPU", "bytes", "relayed", "held", "host", "relay", "late"):
        table.add_column(name, justify="right", no_wrap=True)
    for run in runs:
        for key in ("rest", "fault"):
            row = run.get(key)
            if row:
                table.add_row(
                    str(run["couriers"]),
                    run["from"].split()[0],
                    key if key == "rest" else run["fault_name"],
                    " / ".join(
                        f"{row[name]:.1f}" for name in ("cpu_ms_a_hollow", "cpu_ms_a_hollow_alone", "cpu_ms_a_real")
                    ),
                    f"{row['bytes_a_hollow']} / {row['bytes_a_real']}",
                    str(row["datagrams_a_s"]),
                    f"{row['held_back_a_s']:.0f}",
                    f"{row['busiest_host']:.2f}",
                    f"{row['busiest_relay']:.2f}",
                    f"{row['latest_tick_ms']:.0f}",
                )
    return table


def _tables(report: dict[str, Any]) -> list[Table]:
    tables = []
    for title, rows in (("Member systems", report["members"]), ("Couriers", report["couriers"])):
        table = Table(title=title)
        names = [key for key in next(iter(rows.values()), {}) if not key.endswith("by_second")]
        for name in ("name", *names):
            table.add_column(name.replace("_", " "), justify="left" if name == "name" else "right")
        for row, values in rows.items():
            table.add_row(row, *(str(values[name]) for name in names))
        tables.append(table)
    return tables
