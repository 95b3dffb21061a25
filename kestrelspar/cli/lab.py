"""``kestrelspar lab``: real couriers under faults, and what member systems received."""

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
from kestrelspar.lab import play as lab
from kestrelspar.lab import scale, scenario
from kestrelspar.lab.modelled import play as modelled_play
from kestrelspar.lab.plan import FAULTS, Asked, plan, plan_model


@click.group("lab")
def verb() -> None:
    """Start couriers as processes, inject faults between them, and judge by what was received."""


@verb.command("run")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--couriers", type=click.IntRange(1, 50), help="How many, instead of what the file says.")
@click.option("--seed", type=int, default=1, show_default=True, help="For all that is drawn at random.")
@click.option("--peers/--no-peers", default=None, help="Whether they share budgets, instead of what the file says.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the report here, as JSON.")
@click.option("--html", "site", type=click.Path(dir_okay=False), help="Write the report here, as a page with charts.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep folders and logs here.")
def run(
    file: str, couriers: int | None, seed: int, peers: bool | None, out: str | None, site: str | None, keep: str | None
) -> None:
    """Play a scenario. Exit code 1 if a judge found a fault, 2 if the file will not do.

    \b
    Example:
      kestrelspar lab run scenarios/third-cut.conf --couriers 8 --seed 3 --html play.html
    """
    try:
        told = scenario.load(file, couriers)
    except ValueError as error:
        raise ConfigurationError(error) from error
    told.peers = told.peers if peers is None else peers
    console = Console()
    with tempfile.TemporaryDirectory(prefix="kestrelspar-lab-") as spare, console.status("starting") as status:
        folder = Path(keep or spare)
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            raise ConfigurationError(ValueError(f"--keep: {folder} is not empty"))
        try:
            report = lab.play(told, folder, seed, lambda text: status.update(text))
        except TimeoutError as error:
            raise CommandError(str(error)) from error
    if out:
        Path(out).write_text(ujson.dumps(report, indent=1) + "\n")
    if site:
        from kestrelspar.lab.page import page  # charts take their time to import

        Path(site).write_text(page(report, Path(file).stem))
    for table in _tables(report):
        console.print(table)
    for line in report["faults"]:
        click.echo(line, err=True)
    if report["faults"]:
        raise CommandError(f"{len(report['faults'])} faults")
    console.print(f"{report['served']:.1%} of the messages ran; no fault found.")


@verb.command("scale")
@click.option("--real", type=click.IntRange(0), default=2, show_default=True, help="Processes of the program.")
@click.option(
    "--hollow",
    default="50",
    show_default=True,
    metavar="N[,N...]",
    help="Hollow couriers; with several numbers one play each, for slopes.",
)
@click.option("--model", default="", metavar="N[,N...]", help="And so many on the modelled network, in steps of time.")
@click.option("--zones", type=click.IntRange(1), default=2, show_default=True, help="Groups, each behind a relay.")
@click.option("--grouped/--whole", default=False, help="Whether couriers know only those of their own zone.")
@click.option(
    "--for",
    "span",
    type=DURATION,
    default="30s",
    show_default=True,
    help="How long it is measured: a third of it at rest before a fault.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="For all that is drawn at random.")
@click.option("--fault", default="none", show_default=True, metavar="NAME", help=", ".join(FAULTS) + ".")
@click.option(
    "--rate",
    type=click.FloatRange(0, 1000),
    default=1.0,
    show_default=True,
    help="Messages a second at a hollow courier.",
)
@click.option(
    "--failing",
    type=click.FloatRange(0, 0.5),
    default=0.001,
    show_default=True,
    help="The share of its calls that fail, and as many again are told to wait.",
)
@click.option("--period", type=DURATION, default="1s", show_default=True, help="Between questions to members.")
@click.option("--compare", is_flag=True, help="No messages, and real couriers without peers beside: hollow over real.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the whole report here, as JSON.")
@click.option("--page", "site", type=click.Path(dir_okay=False), help="Write it here, as a page with charts.")
def scale_verb(
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
    """Real couriers beside hollow ones, in zones behind relays, under a fault.

    A hollow courier is all that couriers share, over real datagrams, with drawn calls and no messages: hundreds share a
    process. Figures that could not keep up with real time are marked. Under 12 GB and 200 processes, whatever is asked.
    Exit code 1 if a judge found a fault, 2 if what was asked for is too much, 130 or 143 after a signal.

    With --model the same runs on the modelled network, whose time goes as slowly as it has to; the table says which
    figure is from which.

    \b
    Example:
      kestrelspar lab scale --real 4 --hollow 50,100,200 --zones 4 --fault kill --page scale.html
    """
    console = Console()
    plays: list[dict[str, Any]] = []
    report: dict[str, Any] = {"machine": scale.machine(), "plays": plays}
    try:
        every = [
            Asked(real, int(number), zones, span, seed, fault, grouped, 0.0 if compare else rate, failing, period)
            for number in filter(None, hollow.split(","))
        ]
        modelled = [
            Asked(0, int(number), zones, span, seed, fault, grouped, rate, failing, period)
            for number in filter(None, model.split(","))
        ]
        for asked in every:  # all of them, before the first is started
            plan(asked, scale.bounds())
        for asked in modelled:
            plan_model(asked, scale.bounds())
        for asked in every:
            with tempfile.TemporaryDirectory(prefix="kestrelspar-lab-") as folder, console.status("") as status:
                plays.append(scale.play(asked, Path(folder), scale.bounds(), progress(console, status), compare))
            console.print(_line(plays[-1]))
        for asked in modelled:
            with console.status("") as status:
                plays.append(modelled_play(asked, scale.bounds(), progress(console, status)))
            console.print(_line(plays[-1]))
    except ValueError as error:
        raise ConfigurationError(error) from error
    except (TimeoutError, RuntimeError) as error:
        raise CommandError(str(error)) from error
    except scale.Stopped as stopped:
        click.echo("ended", err=True)
        raise SystemExit(128 + stopped.args[0]) from None
    if compare:
        report["factors"] = scale.factors(plays[0])
    if out:
        Path(out).write_text(ujson.dumps(report, indent=1) + "\n")
    if site:
        from kestrelspar.lab.page import scale_page

        Path(site).write_text(scale_page(report))
    console.print(_slopes(plays))
    for name, factor in report.get("factors", {}).items():
        console.print(f"hollow over real, {name}: {factor:.2f}")
    found = [f"{play['couriers']} couriers: {line}" for play in plays for line in play["findings"]]
    for play in plays:
        for line in play["saturated"]:
            console.print(f"saturated at {play['couriers']} couriers: {line}")
    for line in found:
        click.echo(line, err=True)
    if found:
        raise CommandError(f"{len(found)} findings")
    console.print("The judges found nothing.")


def progress(console: Console, status: Status) -> Callable[[str], None]:
    """Shows how far it is: in its place on a terminal, else a line now and then."""
    said: list[Any] = [0.0, ""]

    def show(text: str) -> None:
        status.update(text)
        if not console.is_terminal and (time.monotonic() - said[0] > 5 or text.partition(":")[0] != said[1]):
            said[:] = [time.monotonic(), text.partition(":")[0]]
            click.echo(text, err=True)

    return show


def _line(play: dict[str, Any]) -> str:
    what = (
        f"{play['real']} real and {play['hollow']} hollow"
        if play["real"] or play["processes"] > 1
        else (f"{play['hollow']} modelled")
    )
    return f"{what}: known after {play['known_s']} s, {play['processes']} processes, {play['memory_mb']} MB" + (
        f", {play['fault_name']} of {play['hit']} over after {play['settled_s']} s"
        if play["fault_name"] != "none"
        else ""
    )


def _slopes(plays: list[dict[str, Any]]) -> Table:
    """A row for each size: at rest, and in the fault."""
    table = Table(
        padding=0,
        title="By size; of a courier and second: CPU in ms (hollow / in a process of its own / "
        "real), bytes sent (hollow / real); busiest of a core; latest tick in ms",
    )
    for name in ("N", "from", "phase", "CPU", "bytes", "relayed", "held", "host", "relay", "late"):
        table.add_column(name, justify="right", no_wrap=True)
    for play in plays:
        for key in ("rest", "fault"):
            row = play.get(key)
            if row:
                table.add_row(
                    str(play["couriers"]),
                    play["from"].split()[0],
                    key if key == "rest" else play["fault_name"],
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
    found = []
    for title, rows in (("Member systems", report["members"]), ("Couriers", report["couriers"])):
        table = Table(title=title)
        names = [key for key in next(iter(rows.values()), {}) if not key.endswith("by_second")]
        for name in ("name", *names):
            table.add_column(name.replace("_", " "), justify="left" if name == "name" else "right")
        for row, values in rows.items():
            table.add_row(row, *(str(values[name]) for name in names))
        found.append(table)
    return found
