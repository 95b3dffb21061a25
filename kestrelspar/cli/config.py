"""``kestrelspar config``: check, show and explain the configuration."""

from __future__ import annotations

import difflib
import os

import click

from kestrelspar.cli.main import BadConfiguration, Fault
from kestrelspar.settings import conf as conf_file
from kestrelspar.settings import pages, platform, resolve
from kestrelspar.settings.schema import SECTIONS

FILE = click.argument("file", required=False, type=click.Path())


@click.group("config")
def verb() -> None:
    """Check, show and explain the configuration."""


def _path(file: str | None) -> str:
    return file or conf_file.where(os.environ)


@verb.command()
@FILE
def check(file: str | None) -> None:
    """Check FILE (else the one in force) and say all that is wrong, one fault a line.

    Where RELAY_CONFIG is set, the platform's JSON is checked too, and the names that FILE takes from it.

    \b
    Example:
      kestrelspar config check deploy/kestrelspar.conf
    """
    path = _path(file)
    try:
        found = conf_file.load(path, None if file else os.environ)
        if "RELAY_CONFIG" in os.environ:
            settings = platform.read(os.environ).settings
            resolve.smpp(found, settings)
        resolve.registries(found)
        resolve.keys(found)
    except ValueError as error:
        raise BadConfiguration(error) from error
    click.echo(f"{path}: no fault found")


@verb.command()
@FILE
@click.option("--set", "only_set", is_flag=True, help="Leave out what has its default.")
def show(file: str | None, only_set: bool) -> None:
    """Print the configuration in force, defaults filled in, in its own form. Secrets stay files.

    \b
    Example:
      kestrelspar config show --set
    """
    try:
        click.echo(pages.conf_text(conf_file.load(_path(file)), only_set))
    except ValueError as error:
        raise BadConfiguration(error) from error


@verb.command()
@click.argument("key", required=False)
def explain(key: str | None) -> None:
    """Say what KEY takes, its default and what it means: `section`, `section.key`, or nothing for all sections.

    \b
    Example:
      kestrelspar config explain registry.patience
    """
    if key is None:
        for title, each in SECTIONS.items():
            click.echo(f"{title:<14} {each.__doc__}")
        return
    title, _, name = key.partition(".")
    every = [title, *(f"{t}.{row[0]}" for t, s in SECTIONS.items() for row in pages.explain(s)), *SECTIONS]
    section = SECTIONS.get(title)
    rows = [row for row in pages.explain(section) if name in ("", row[0])] if section else []
    if section is None or not rows:
        close = difflib.get_close_matches(key, [item for item in every if item != key], 1, 0.5)
        raise Fault(f"{key}: no such key" + (f"; did you mean {close[0]}?" if close else ""))
    for name, takes, default, meaning in rows:
        click.echo(f"{title}.{name}\n    meaning  {meaning}\n    value    {takes}\n    default  {default}")


@verb.command(hidden=True)
def page() -> None:
    """Print docs/configuration.md."""
    click.echo(pages.page(), nl=False)
