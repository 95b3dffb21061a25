"""``kestrelspar serve``: run the courier."""

from __future__ import annotations

import os
import sys

import click


@click.command("serve")
@click.option(
    "--config", type=click.Path(exists=True, dir_okay=False), help="The platform's JSON; default: $RELAY_CONFIG."
)
@click.option(
    "--conf",
    type=click.Path(exists=True, dir_okay=False),
    help="kestrelspar.conf; default: $KESTRELSPAR_CONF, else deploy/kestrelspar.conf.",
)
@click.option(
    "--state",
    type=click.Path(exists=True, file_okay=False),
    help="Persistent state directory; default: $RELAY_STATE, else as in the JSON.",
)
def verb(config: str | None, conf: str | None, state: str | None) -> None:
    """Run the courier until SIGTERM, as `python -m kestrelspar` does.

    \b
    Example:
      kestrelspar serve --config config.json --state state
    """
    from kestrelspar.serve import main

    overrides = {"RELAY_CONFIG": config, "KESTRELSPAR_CONF": conf, "RELAY_STATE": state}
    sys.exit(main({**os.environ, **{name: value for name, value in overrides.items() if value}}))
