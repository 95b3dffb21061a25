"""``kestrelspar nginx``: import nginx configuration."""

from __future__ import annotations

import sys

import click
import ujson

from kestrelspar.nginx.importer import Importer


@click.group("nginx")
def verb() -> None:
    """Work with nginx configuration."""


@verb.command("import")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--zone", help="Zone of the next hops, as named in the settings.")
@click.option("--type", "kind", help="Kind of the destinations, as named in the settings.")
def import_(file: str, zone: str | None, kind: str | None) -> None:
    """Convert the upstream and location blocks of FILE to a transport map, as JSON on standard output.

    Directives without an equivalent are reported on standard error with file and line. Exit code 1 if the map is empty.

    \b
    Example:
      kestrelspar nginx import nginx.conf --type contractor > map.json
    """
    importer = Importer(zone, kind)
    transport_map = importer.read(file)
    for line in importer.unsupported:
        click.echo(line, err=True)
    click.echo(ujson.dumps(transport_map, indent=2, escape_forward_slashes=False))
    if not transport_map["endpoints"]:
        sys.exit(1)
