"""``kestrelspar peers``: query a running courier or broker for its view of the other couriers."""

from __future__ import annotations

from typing import Any

import click
import ujson
from rich.console import Console
from rich.table import Table

from kestrelspar.cli.main import CommandError
from kestrelspar.peers import status_socket


@click.group("peers")
def verb() -> None:
    """Query a running courier or broker about its peers, over the status socket in its state directory.

    Only the owner of the directory can open the socket.
    """


def _query(state: str, fleet: bool = False) -> dict[str, Any]:
    try:
        return status_socket.query_status(state, fleet=fleet)
    except (OSError, ValueError) as error:
        raise CommandError(f"no broker, and no courier with peers enabled, answers in {state}: {error}") from error


def _query_courier(state: str, key: str, fleet: bool = False) -> dict[str, Any]:
    status = _query(state, fleet)
    if key not in status:
        raise CommandError(f"{state} is the folder of a broker, which has no {key}")
    section: dict[str, Any] = status[key]
    return section


def _print_table(rows: list[dict[str, Any]], title: str) -> None:
    table = Table(title=title)
    for name in rows[0] if rows else ("none",):
        table.add_column(name.replace("_", " "), justify="left" if isinstance(rows and rows[0][name], str) else "right")
    for row in rows:
        table.add_row(*map(str, row.values()))
    Console().print(table)


STATE_OPTION = click.option(
    "--state", required=True, type=click.Path(file_okay=False), help="State directory of the courier or broker."
)
JSON_OPTION = click.option("--json", "plain", is_flag=True, help="Print JSON instead of a table.")


@verb.command("status")
@STATE_OPTION
@JSON_OPTION
def status(state: str, plain: bool) -> None:
    """Show the members, which brokers answer, and dropped datagrams; for a broker, its subscriptions and relayed data.

    \b
    Example:
      kestrelspar peers status --state /var/lib/kestrelspar
    """
    report = _query(state)
    report.pop("counts", None)
    if "budgets" in report:
        report["budgets"] = len(report["budgets"])
    if plain:
        click.echo(ujson.dumps(report))
        return
    members, endpoints, brokers = report.pop("members", None), report.pop("endpoints", None), report.pop("brokers", {})
    for key, value in report.items():
        click.echo(f"{key.replace('_', ' ')}: {ujson.dumps(value) if isinstance(value, dict) else value}")
    if members is not None:
        _print_table(members, "Members")
    if brokers:
        _print_table(
            [
                {"broker": name, **(value if isinstance(value, dict) else {"answering": value})}
                for name, value in sorted(brokers.items())
            ],
            "Brokers",
        )
    if endpoints is not None:
        _print_table(
            [{"endpoint": name, **values} for name, values in endpoints.items()], "Endpoints reported by other couriers"
        )


@verb.command("budgets")
@STATE_OPTION
@JSON_OPTION
def budgets(state: str, plain: bool) -> None:
    """Show each budget: calls and window, this courier's share, calls lent, borrowed, withheld, used and lacking.

    \b
    Example:
      kestrelspar peers budgets --state /var/lib/kestrelspar --json
    """
    by_name = _query_courier(state, "budgets")
    if plain:
        click.echo(ujson.dumps(by_name))
        return
    _print_table([{"budget": key, **values} for key, values in by_name.items()], "Budgets")


@verb.command("counts")
@STATE_OPTION
@JSON_OPTION
def counts(state: str, plain: bool) -> None:
    """Show fleet-wide counters: messages by class and outcome, calls by destination and outcome, use of budgets.

    Each counter has the number of couriers that it covers and the age of their oldest report. The other couriers are
    asked for current reports first.

    \b
    Example:
      kestrelspar peers counts --state /var/lib/kestrelspar
    """
    by_name = _query_courier(state, "counts", fleet=True)
    if plain:
        click.echo(ujson.dumps(by_name))
        return
    _print_table([{"counter": key, **values} for key, values in by_name.items()], "Counters")
