"""``kestrelspar journal``: inspect a courier's journal. Read-only, so it is safe while the courier runs."""

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
from kestrelspar.journal import read as journal_reader
from kestrelspar.settings import platform

MAX_JOURNAL_BYTES = 1_000_000_000  # the file is read into memory


def _state_directory(state: str | None) -> Path:
    """The state directory of ``--state``; without the option, that of the platform's configuration."""
    if state is not None:
        return Path(state)
    try:
        return Path(platform.read(os.environ, reload=True).state)
    except ValueError as error:
        raise ConfigurationError(ValueError(f"--state is not given, and {error}")) from error


def _read_journal(state: str | None) -> tuple[Path, journal_reader.JournalContent]:
    path = _state_directory(state) / "journal"
    try:
        # A compaction replaces the file by renaming a new one; the file opened here stays complete.
        with open(path, "rb") as file:
            data = file.read(MAX_JOURNAL_BYTES + 1)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from error
    if len(data) > MAX_JOURNAL_BYTES:
        raise CommandError(f"{path} has more than {MAX_JOURNAL_BYTES} bytes")
    return path, journal_reader.read(data)


def _format_time(at: int | None) -> str:
    return "-" if at is None else f"{datetime.fromtimestamp(at / 1e6, UTC):%Y-%m-%dT%H:%M:%S.%f}"[:-3] + "Z"


def _state_option(command: Callable[..., Any]) -> Callable[..., Any]:
    return click.option(
        "--state",
        type=click.Path(exists=True, file_okay=False),
        help="Persistent state directory; default: that of the active configuration.",
    )(command)


@click.group("journal")
def verb() -> None:
    """Inspect a courier's journal. Read-only: safe while the courier runs."""


@verb.command()
@_state_option
@click.option("--trace", help="Only the message with this id.")
@click.option("--open", "only_open", is_flag=True, help="Only messages whose outcome is still to be reported.")
@click.option("--class", "cls", help="Only messages of this class.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per message.")
def show(state: str | None, trace: str | None, only_open: bool, cls: str | None, as_json: bool) -> None:
    """Show messages with their attempts and outcomes. Exit code 1 if the message of --trace is not found.

    \b
    Example:
      kestrelspar journal show --state /var/lib/kestrelspar --class payment --open
    """
    _, journal = _read_journal(state)
    selected = [
        history
        for history in (journal.open if only_open else journal.histories.values())
        if trace in (None, history.trace) and cls in (None, history.fields.get("class"))
    ]
    if trace is not None and not selected:
        raise CommandError(
            f"no record of {trace!r}: it was never accepted, or has ended and was removed by a compaction"
        )
    if as_json:
        for history in selected:
            click.echo(ujson.dumps(journal_reader.row(history), escape_forward_slashes=False))
        return
    rows = Table("trace", "class", "dest", "state", "attempts", "deadline")
    for history in selected:
        attempts = ", ".join(
            f"{_format_time(a.at)}{'' if a.ran else ' not executed'}" for a in history.attempts.values()
        )
        rows.add_row(
            history.trace,
            str(history.fields.get("class")),
            str(history.fields.get("dest")),
            history.state + (" (reported)" if history.done else ""),
            attempts or "none",
            _format_time(history.deadline),
        )
    Console().print(rows)


@verb.command()
@_state_option
@click.option("--bodies", is_flag=True, help="Include the messages' bodies, decoded as Latin-1.")
def export(state: str | None, bodies: bool) -> None:
    """Print one JSON object per message, e.g. for audits of payments. Times are Unix time in microseconds.

    \b
    Example:
      kestrelspar journal export --state /var/lib/kestrelspar > journal.jsonl
    """
    _, journal = _read_journal(state)
    for history in journal.histories.values():
        click.echo(ujson.dumps(journal_reader.row(history, bodies), escape_forward_slashes=False))


@verb.command()
@_state_option
def verify(state: str | None) -> None:
    """Check every record. Exit code 1 if one is damaged; a truncated last record, as after a crash, is not an error.

    \b
    Example:
      kestrelspar journal verify --state /var/lib/kestrelspar
    """
    path, journal = _read_journal(state)
    for fault in journal.faults:
        click.echo(f"{path}:{fault.at}: {fault.description}", err=True)
    torn = f", {journal.torn} bytes torn at the end" if journal.torn else ""
    click.echo(
        f"{path}: {journal.kinds.total()} records, {len(journal.open)} messages open, "
        f"{len(journal.faults)} faults{torn}"
    )
    if journal.faults:
        raise SystemExit(1)


@verb.command()
@_state_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def stats(state: str | None, as_json: bool) -> None:
    """Count records and bytes by kind, and messages by state.

    \b
    Example:
      kestrelspar journal stats --state /var/lib/kestrelspar
    """
    _, journal = _read_journal(state)
    states: dict[str, int] = {}
    for history in journal.open:
        states[history.state] = states.get(history.state, 0) + 1
    if as_json:
        click.echo(
            ujson.dumps(
                {
                    "bytes": journal.size,
                    "records": journal.kinds,
                    "bytes_by_kind": journal.bytes,
                    "open": states,
                    "ended_kept": len(journal.ended),
                    "limits_kept": len(journal.limits),
                    "faults": len(journal.faults),
                    "torn": journal.torn,
                }
            )
        )
        return
    rows = Table("kind", "records", "bytes")
    for kind, count in journal.kinds.most_common():
        rows.add_row(kind, str(count), str(journal.bytes[kind]))
    rows.add_row("all", str(journal.kinds.total()), str(journal.size))
    Console().print(rows)
    open_ = ", ".join(f"{count} {name}" for name, count in sorted(states.items())) or "none"
    click.echo(
        f"open messages: {open_}; retained outcomes: {len(journal.ended)}; retained limits: {len(journal.limits)}; "
        f"torn bytes: {journal.torn}; faults: {len(journal.faults)}"
    )
