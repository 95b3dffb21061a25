"""Root of the command line. A command's module is imported only when used: most need only a part of the program."""

from __future__ import annotations

import importlib

import click

from kestrelspar.settings.lines import ConfErrors

COMMAND_MODULES = {
    "serve": "serve",
    "config": "config",
    "nginx": "nginx",
    "demo": "demo",
    "map": "map",
    "standin": "standin",
    "smpp": "smpp",
    "journal": "journal",
    "lab": "lab",
    "peers": "peers",
    "broker": "broker",
}


class _LazyGroup(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMAND_MODULES:
            return None
        command = importlib.import_module(f"kestrelspar.cli.{COMMAND_MODULES[cmd_name]}").verb
        assert isinstance(command, click.Command)
        return command


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="kestrelspar")
def cli() -> None:
    """A courier that delivers messages to member systems, over HTTP and SMPP.

    Exit codes: 0 success; 1 the command failed or found errors; 2 invalid usage or configuration.
    """


class CommandError(click.ClickException):
    """The command failed or found errors; exit code 1."""

    exit_code = 1


class ConfigurationError(click.ClickException):
    """The configuration is invalid; exit code 2."""

    exit_code = 2

    def __init__(self, error: ValueError) -> None:
        messages = map(str, error.errors) if isinstance(error, ConfErrors) else [str(error)]
        super().__init__("\n".join(messages))

    def show(self, file: object = None) -> None:
        """Print the errors, one per line, without click's "Error:" prefix."""
        click.echo(self.message, err=True)
