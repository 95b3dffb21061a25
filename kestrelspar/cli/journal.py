"""``kestrelspar journal``: look into a courier's journal. Reads only, so it is safe beside a running courier."""

from __future__ import annotations

import os
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import ujson
from rich.console import Console
from rich.table import Table

from kestrelspar.cli.main import CommandError, ConfigurationError
from kestrelspar.journal import read as reading
from kestrelspar.settings import platform

MOST = 1_000_000_000  # bytes that are read at once


def _folder(state: str | None) -> Path:
    """The folder that is meant: ``--state``, else the platform's."""
    if state is not None:
        return Path(state)
    try:
        return Path(platform.read(os.environ, again=True).state)
    except ValueError as error:
        raise ConfigurationError(ValueError(f"no --state is told, and {error}")) from error


def _found(state: str | None) -> tuple[Path, reading.Found]:
    path = _folder(state) / "journal"
    try:
        with open(path, "rb") as opened:  # a compaction renames a new file over this one: the old one is whole
            data = opened.read(MOST + 1)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    if len(data) > MOST:
        raise CommandError(f"{path} has more than {MOST} bytes")
    return path, reading.read(data)


def _time(at: int | None) -> str:
    return "-" if at is None else f"{datetime.fromtimestamp(at / 1e6, UTC):%Y-%m-%dT%H:%M:%S.%f}"[:-3] + "Z"


def _state(verb_: Callable[..., Any]) -> Callable[..., Any]:
    return click.option(
        "--state",
        type=click.Path(exists=True, file_okay=False),
        help="The folder that lasts; the one in force by default.",
    )(verb_)


@click.group("journal")
def verb() -> None:
    """Look into a courier's journal. Reads only: safe beside a running courier."""


@verb.command()
@_state
@click.option("--trace", help="Only the message with this id.")
@click.option("--open", "only_open", is_flag=True, help="Only messages whose end is still owed.")
@click.option("--class", "cls", help="Only messages of this class.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a message.")
def show(state: str | None, trace: str | None, only_open: bool, cls: str | None, as_json: bool) -> None:
    """Show messages, each with its attempts and its end. Exit code 1 where --trace is not there.

    \b
    Example:
      kestrelspar journal show --state /var/lib/kestrelspar --class payment --open
    """
    _, found = _found(state)
    chosen = [
        h
        for h in (found.open if only_open else found.histories.values())
        if trace in (None, h.trace) and cls in (None, h.told.get("class"))
    ]
    if trace is not None and not chosen:
        raise CommandError(f"no record of {trace!r}: it was never taken on, or has ended and was compacted away")
    if as_json:
        for history in chosen:
            click.echo(ujson.dumps(reading.row(history), escape_forward_slashes=False))
        return
    rows = Table("trace", "class", "dest", "state", "attempts", "deadline")
    for history in chosen:
        tried = ", ".join(f"{_time(a.at)}{'' if a.ran else ' never ran'}" for a in history.attempts.values())
        rows.add_row(
            history.trace,
            str(history.told.get("class")),
            str(history.told.get("dest")),
            history.state + (" (told)" if history.over else ""),
            tried or "none",
            _time(history.deadline),
        )
    Console().print(rows)


@verb.command()
@_state
@click.option("--bodies", is_flag=True, help="With the messages' bodies, as Latin-1.")
def export(state: str | None, bodies: bool) -> None:
    """Write one JSON object a message: for audits of payments. Times are Unix microseconds.

    \b
    Example:
      kestrelspar journal export --state /var/lib/kestrelspar > journal.jsonl
    """
    _, found = _found(state)
    for history in found.histories.values():
        click.echo(ujson.dumps(reading.row(history, bodies), escape_forward_slashes=False))


@verb.command()
@_state
def verify(state: str | None) -> None:
    """Check every record. Exit code 1 where one is damaged; a torn end alone is what a crash leaves, and no fault.

    \b
    Example:
      kestrelspar journal verify --state /var/lib/kestrelspar
    """
    path, found = _found(state)
    for fault in found.faults:
        click.echo(f"{path}:{fault.at}: {fault.what}", err=True)
    torn = f", {found.torn} bytes torn at the end" if found.torn else ""
    click.echo(
        f"{path}: {found.kinds.total()} records, {len(found.open)} messages open, {len(found.faults)} faults{torn}"
    )
    if found.faults:
        raise SystemExit(1)


@verb.command()
@_state
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
def stats(state: str | None, as_json: bool) -> None:
    """Count records and bytes by kind, and messages by state.

    \b
    Example:
      kestrelspar journal stats --state /var/lib/kestrelspar
    """
    _, found = _found(state)
    states: dict[str, int] = {}
    for history in found.open:
        states[history.state] = states.get(history.state, 0) + 1
    if as_json:
        click.echo(
            ujson.dumps(
                {
                    "bytes": found.size,
                    "records": found.kinds,
                    "bytes_by_kind": found.bytes,
                    "open": states,
                    "ended_kept": len(found.ended),
                    "limits_kept": len(found.limits),
                    "faults": len(found.faults),
                    "torn": found.torn,
                }
            )
        )
        return
    rows = Table("kind", "records", "bytes")
    for kind, count in found.kinds.most_common():
        rows.add_row(kind, str(count), str(found.bytes[kind]))
    rows.add_row("all", str(found.kinds.total()), str(found.size))
    Console().print(rows)
    open_ = ", ".join(f"{count} {name}" for name, count in sorted(states.items())) or "none"
    click.echo(
        f"open messages: {open_}; ends kept: {len(found.ended)}; limits kept: {len(found.limits)}; "
        f"torn bytes: {found.torn}; faults: {len(found.faults)}"
    )
