"""``kestrelspar peers``: how a courier stands among those that it shares with."""

from __future__ import annotations

from typing import Any

import click
import ujson
from rich.console import Console
from rich.table import Table

from kestrelspar.cli.main import CommandError
from kestrelspar.peers import door


@click.group("peers")
def verb() -> None:
    """Ask a running courier about its peers, or a broker, over a socket in its state folder only its owner can open."""


def _asked(state: str, fleet: bool = False) -> dict[str, Any]:
    try:
        return door.ask(state, fleet=fleet)
    except (OSError, ValueError) as error:
        raise CommandError(f"no courier with peers on, and no broker, answers in {state}: {error}") from error


def _of_courier(state: str, key: str, fleet: bool = False) -> dict[str, Any]:
    told = _asked(state, fleet)
    if key not in told:
        raise CommandError(f"{state} is the folder of a broker, which has no {key}")
    found: dict[str, Any] = told[key]
    return found


def _shown(rows: list[dict[str, Any]], title: str) -> None:
    table = Table(title=title)
    for name in rows[0] if rows else ("none",):
        table.add_column(name.replace("_", " "), justify="left" if isinstance(rows and rows[0][name], str) else "right")
    for row in rows:
        table.add_row(*map(str, row.values()))
    Console().print(table)


STATE = click.option("--state", required=True, type=click.Path(file_okay=False), help="The courier's state folder.")
JSON = click.option("--json", "plain", is_flag=True, help="As JSON.")


@verb.command("status")
@STATE
@JSON
def status(state: str, plain: bool) -> None:
    """Who is there, which brokers answer, and what was dropped; of a broker what it holds and passed on.

    \b
    Example:
      kestrelspar peers status --state /var/lib/kestrelspar
    """
    told = _asked(state)
    told.pop("counts", None)
    if "budgets" in told:
        told["budgets"] = len(told["budgets"])
    if plain:
        click.echo(ujson.dumps(told))
        return
    members, endpoints, brokers = told.pop("members", None), told.pop("endpoints", None), told.pop("brokers", {})
    for key, value in told.items():
        click.echo(f"{key.replace('_', ' ')}: {ujson.dumps(value) if isinstance(value, dict) else value}")
    if members is not None:
        _shown(members, "Members")
    if brokers:
        _shown(
            [
                {"broker": name, **(each if isinstance(each, dict) else {"answering": each})}
                for name, each in sorted(brokers.items())
            ],
            "Brokers",
        )
    if endpoints is not None:
        _shown([{"endpoint": name, **values} for name, values in endpoints.items()], "Endpoints of which others told")


@verb.command("budgets")
@STATE
@JSON
def budgets(state: str, plain: bool) -> None:
    """Each budget: its calls and span, this courier's part, what is lent, borrowed, held back, used, and what lacks.

    \b
    Example:
      kestrelspar peers budgets --state /var/lib/kestrelspar --json
    """
    told = _of_courier(state, "budgets")
    if plain:
        click.echo(ujson.dumps(told))
        return
    _shown([{"budget": key, **values} for key, values in told.items()], "Budgets")


@verb.command("counts")
@STATE
@JSON
def counts(state: str, plain: bool) -> None:
    """Messages by class and end, calls by destination and outcome, and use of budgets, over all couriers.

    Each with how many couriers it covers, and the age of the oldest of their figures. The others are asked first.

    \b
    Example:
      kestrelspar peers counts --state /var/lib/kestrelspar
    """
    told = _of_courier(state, "counts", fleet=True)
    if plain:
        click.echo(ujson.dumps(told))
        return
    _shown([{"counter": key, **values} for key, values in told.items()], "Counts")
