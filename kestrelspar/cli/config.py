"""``kestrelspar config``: check, show and explain the configuration."""

from __future__ import annotations

import difflib
import os

import click

from kestrelspar.cli.main import CommandError, ConfigurationError
from kestrelspar.settings import conf as conf_file
from kestrelspar.settings import pages, platform, resolve
from kestrelspar.settings.schema import SECTIONS

FILE_ARGUMENT = click.argument("file", required=False, type=click.Path())


@click.group("config")
def verb() -> None:
    """Check, show and explain the configuration."""


def _path(file: str | None) -> str:
    return file or conf_file.configuration_path(os.environ)


@verb.command()
@FILE_ARGUMENT
def check(file: str | None) -> None:
    """Check FILE (by default the active configuration) and print every error, one per line.

    If RELAY_CONFIG is set, the platform's JSON and the references of FILE to names in it are checked, too.

    \b
    Example:
      kestrelspar config check deploy/kestrelspar.conf
    """
    path = _path(file)
    try:
        loaded = conf_file.load(path, None if file else os.environ)
        if "RELAY_CONFIG" in os.environ:
            settings = platform.read(os.environ).settings
            resolve.smpp(loaded, settings)
        resolve.registries(loaded)
        resolve.keys(loaded)
    except ValueError as error:
        raise ConfigurationError(error) from error
    click.echo(f"{path}: no fault found")


@verb.command()
@FILE_ARGUMENT
@click.option("--set", "only_set", is_flag=True, help="Omit keys that have their default value.")
def show(file: str | None, only_set: bool) -> None:
    """Print the active configuration in the format of kestrelspar.conf, with defaults filled in.

    Secrets are not printed, only the names of their files.

    \b
    Example:
      kestrelspar config show --set
    """
    try:
        click.echo(pages.conf_text(conf_file.load(_path(file)), only_set))
    except ValueError as error:
        raise ConfigurationError(error) from error


@verb.command()
@click.argument("key", required=False)
def explain(key: str | None) -> None:
    """Describe KEY: its meaning, values and default. KEY is `section` or `section.key`; without it, list all sections.

    \b
    Example:
      kestrelspar config explain registry.patience
    """
    if key is None:
        for title, section_class in SECTIONS.items():
            click.echo(f"{title:<14} {section_class.__doc__}")
        return
    title, _, name = key.partition(".")
    known_keys = [title, *(f"{t}.{row[0]}" for t, s in SECTIONS.items() for row in pages.explain(s)), *SECTIONS]
    section = SECTIONS.get(title)
    rows = [row for row in pages.explain(section) if name in ("", row[0])] if section else []
    if section is None or not rows:
        matches = difflib.get_close_matches(key, [known for known in known_keys if known != key], 1, 0.5)
        raise CommandError(f"{key}: no such key" + (f"; did you mean {matches[0]}?" if matches else ""))
    for name, values, default, meaning in rows:
        click.echo(f"{title}.{name}\n    meaning  {meaning}\n    value    {values}\n    default  {default}")


@verb.command(hidden=True)
def page() -> None:
    """Print docs/configuration.md."""
    click.echo(pages.page(), nl=False)
