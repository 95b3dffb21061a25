"""``kestrelspar broker``: run a broker, which relays observations of endpoints between couriers."""

from __future__ import annotations

import sys

import click


@click.command("broker")
@click.option(
    "--conf",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="kestrelspar.conf; its section peers lists the brokers and names the key file.",
)
@click.option("--name", required=True, help="Name of this broker in that list, as REGION/NAME.")
@click.option(
    "--state",
    type=click.Path(exists=True, file_okay=False),
    help="Persistent state directory; without it, `kestrelspar peers status` cannot query this broker.",
)
def verb(conf: str, name: str, state: str | None) -> None:
    """Relay the couriers' observations of endpoints to the subscribed couriers, until SIGTERM.

    SIGHUP reloads the keys. The broker listens on its address in the list of brokers, or on `listen` if that is set.

    \b
    Example:
      kestrelspar broker --conf broker.conf --name eu/b1 --state /var/lib/kestrelspar-broker
    """
    from kestrelspar.peers.broker_link import main

    sys.exit(main(conf, name, state or ""))
