"""``kestrelspar map``: look at and change the endpoint list in a registry, through the courier's own client."""

from __future__ import annotations

import contextlib
import json
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import msgspec
from rich.console import Console
from rich.table import Table

from kestrelspar.cli.main import CommandError, ConfigurationError
from kestrelspar.cli.units import DURATION
from kestrelspar.core import entries
from kestrelspar.core.transport_map import NextHop, TransportMap
from kestrelspar.registry import keep
from kestrelspar.registry.consul import Consul
from kestrelspar.registry.etcd import Etcd
from kestrelspar.registry.follower import Follower
from kestrelspar.registry.link import Broken, Compacted, Link
from kestrelspar.registry.sync import Item
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool
from kestrelspar.runtime.loop import Loop
from kestrelspar.settings import conf as conf_file
from kestrelspar.settings import resolve
from snowlock import interface as api

T = TypeVar("T")
FIELDS = ("name", "address", "group", "zone", "type", "status", "weight")
SETTINGS = api.Settings(classes=(api.MessageClass(1, 1),), slots=1)  # names no zone and no kind


@dataclass
class Row:
    """One key of the registry; ``entry`` is None where its value can't be read."""

    key: str
    revision: int
    entry: entries.Entry | None
    why: str = ""

    @property
    def name(self) -> str:
        """Its endpoint's name, else its key."""
        return self.entry.name if self.entry is not None else self.key


def run(work: Callable[[Loop], T]) -> T:
    """Run a task on a loop of its own to its end."""
    loop = Loop()
    found: list[T] = []
    fault: list[Exception] = []

    def task() -> None:
        try:
            found.append(work(loop))
        except Exception as error:
            fault.append(error)
        loop.stop()

    loop.spawn(task)
    loop.run()
    if fault:
        raise fault[0]
    return found[0]


class Client:
    """The operators' side of one registry: the members are asked in turn."""

    def __init__(self, told: resolve.Registry) -> None:
        self.told = told

    def _member(self, loop: Loop, server: tuple[str, int]) -> Etcd | Consul:
        link = Link(
            loop, BufferPool(64), server, self.told.told.answer_within, self.told.secure, self.told.told.server_name
        )
        return Etcd(link, self.told) if self.told.told.type == "etcd" else Consul(link, self.told)

    def _first(self, call: Callable[[Etcd | Consul], T]) -> T:
        """What the first member says that answers."""

        def work(loop: Loop) -> T:
            why = []
            for server in self.told.told.servers:
                member = self._member(loop, server)
                try:
                    return call(member)
                except (Broken, Compacted) as error:
                    why.append(f"{server[0]}:{server[1]}: {error}")
                finally:
                    member.link.close()
            raise CommandError("no member of the registry answers:\n" + "\n".join(why))

        return run(work)

    def rows(self) -> list[Row]:
        """The whole list, in the order of keys."""
        return sorted((_row(item) for item in self._first(lambda member: member.all())), key=lambda row: row.key)

    def change(self, row_key: str, value: bytes | None, expected: int) -> None:
        """Put or delete if the key is unchanged since it was read; ``CommandError`` otherwise.

        Only one member is asked: whether a change whose answer did not come was made is not known.
        """

        def work(loop: Loop) -> bool:
            why = ""
            for server in self.told.told.servers:
                member = self._member(loop, server)
                try:
                    member.get(row_key)  # one that does not even answer this is not asked to change anything
                except Broken as error:
                    why = f"{server[0]}:{server[1]}: {error}"
                    continue
                try:
                    return member.change(row_key, value, expected)
                except Broken as error:
                    raise CommandError(
                        f"{row_key}: {error}; whether it was written is not known: see `map list`"
                    ) from error
                finally:
                    member.link.close()
            raise CommandError(f"no member of the registry answers: {why}")

        if not run(work):
            raise CommandError(f"{row_key}: somebody else changed it since it was read; nothing was written")


def _row(item: Item) -> Row:
    try:
        return Row(item.key, item.revision, entries.decode(item.value or b""))
    except ValueError as error:
        return Row(item.key, item.revision, None, str(error))


def options(command: Callable[..., Any]) -> Callable[..., Any]:
    """The options that say which registry."""
    command = click.option("--registry", "label", help="Which registry; needed where there are several.")(command)
    return click.option(
        "--conf", type=click.Path(exists=True, dir_okay=False), help="kestrelspar.conf; else KESTRELSPAR_CONF names it."
    )(command)


JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
DRY = click.option("--dry-run", is_flag=True, help="Say what would be written, and write nothing.")


def registry(conf: str | None, label: str | None) -> resolve.Registry:
    """The registry that is meant."""
    path = conf or conf_file.where(os.environ)
    try:
        read = conf_file.load(path)
        keys = resolve.keys(read)
        found = resolve.registries(read)
        found = found if keys is None else keys.secured(found)
    except ValueError as error:
        raise ConfigurationError(error) from error
    named = [r for r in found if label in (None, r.label)]
    if len(named) != 1:
        names = ", ".join(r.label for r in found) or "none"
        what = f"no registry {label!r}" if label else "which registry is not told (--registry)"
        raise ConfigurationError(ValueError(f"{path}: {what}; there are: {names}"))
    return named[0]


def show(rows: list[Row], as_json: bool) -> None:
    """Print entries as a table, or as JSON with key and revision."""
    if as_json:
        click.echo(
            json.dumps(
                [
                    {
                        "key": row.key,
                        "revision": row.revision,
                        "unreadable": row.why or None,
                        **(msgspec.to_builtins(row.entry) if row.entry else {}),
                    }
                    for row in rows
                ],
                indent=1,
            )
        )
        return
    table = Table()
    for name in (*FIELDS, "revision"):
        table.add_column(name, justify="right" if name in ("group", "weight", "revision") else "left")
    for row in rows:
        cells = [str(getattr(row.entry, f)) if row.entry and getattr(row.entry, f) is not None else "" for f in FIELDS]
        if row.entry is None:
            cells[:2] = [row.key, f"can't be read: {row.why}"]
        table.add_row(*cells, str(row.revision))
    Console(width=None if sys.stdout.isatty() else 160).print(table)


@click.group("map")
def verb() -> None:
    """Look at and change the endpoint list in a registry.

    Changes are made only if the entry is unchanged since it was read: two operators never overwrite each other.
    """


@verb.command("list")
@options
@JSON
def list_(conf: str | None, label: str | None, as_json: bool) -> None:
    """Show the list. Exit code 1 when an entry can't be read.

    \b
    Example:
      kestrelspar map list --conf kestrelspar.conf
    """
    rows = Client(registry(conf, label)).rows()
    show(rows, as_json)
    if any(row.entry is None for row in rows):
        sys.exit(1)


class _Viewer:
    """Stands in the courier's place for a follower, and prints what it is told."""

    def __init__(self, as_json: bool) -> None:
        self.settings, self.map, self.as_json = SETTINGS, TransportMap(), as_json
        self.stale: dict[str, int] = {}

    def listed(self, source: str, hops: list[NextHop], whole: bool = False, left: list[bytes] | None = None) -> None:
        """One line a change."""
        before = dict(self.map.hops)
        change = self.map.take(source, hops, whole, left or [])
        for endpoint in change.rows:
            hop = self.map.hops.get(endpoint.id) or before.get(endpoint.id)
            told = {
                "name": endpoint.id.decode(),
                "state": endpoint.state.name.lower(),
                "group": endpoint.destination,
                "address": "{}:{}".format(*hop.address) if hop else "",
            }
            click.echo(
                json.dumps(told) if self.as_json else "{state:<9} {name:<30} {address:<22} group {group}".format(**told)
            )


class _Silent:
    def attempt(self, *_: object) -> NoReturn:
        """Never asked."""
        raise NotImplementedError

    def close_idle(self, hop: NextHop) -> None:
        """Has none."""


@verb.command()
@options
@JSON
@click.option("--for", "span", type=DURATION, help="End by itself after so long.")
def watch(conf: str | None, label: str | None, as_json: bool, span: int | None) -> None:
    """Follow the list as the courier does, one line a change. Breaks are on standard error.

    \b
    Example:
      kestrelspar map watch --for 1m
    """
    told = registry(conf, label)
    logs.set_up(stream=sys.stderr)
    loop = Loop()
    viewer: Any = _Viewer(as_json)
    Follower(loop, BufferPool(64), viewer, _Silent(), told, None, os.getpid()).start()
    if span is not None:
        loop.at(loop.now + span, loop.stop)
    with contextlib.suppress(KeyboardInterrupt):
        loop.run()


def _by_name(rows: list[Row], name: str) -> Row | None:
    named = [row for row in rows if row.entry is not None and row.entry.name == name]
    if len(named) > 1:
        raise CommandError(f"{name}: {len(named)} keys have this name: {', '.join(row.key for row in named)}")
    return named[0] if named else None


def _needed(rows: list[Row], name: str) -> Row:
    found = _by_name(rows, name)
    if found is None or found.entry is None:
        raise CommandError(f"{name}: no such endpoint in the list")
    return found


def _say(dry: bool, what: str) -> None:
    click.echo(f"{'would ' if dry else ''}{what}")


@verb.command()
@click.argument("name")
@options
@DRY
@click.option("--new", is_flag=True, help="Only if there is none of this name.")
@click.option("--address", help="HOST:PORT.")
@click.option("--group", type=int, help="The destination's number.")
@click.option("--zone", help="As the settings name it.")
@click.option("--type", "kind", help="As the settings name it.")
@click.option("--weight", type=float, help="Calls a second that it takes, or its share.")
@click.option("--status", type=click.Choice(["active", "leaving"]))
@click.option("--target", help="Path of the calls.")
def put(
    name: str, conf: str | None, label: str | None, dry_run: bool, new: bool, kind: str | None, **fields: Any
) -> None:
    """Add endpoint NAME, or change what is told here and leave the rest as it is.

    \b
    Example:
      kestrelspar map put s-7 --address 10.0.0.7:8443 --group 3 --zone room-a --type utility
    """
    told = registry(conf, label)
    client = Client(told)
    before = _by_name(client.rows(), name)
    if before is not None and new:
        raise CommandError(f"{name}: is in the list already (--new)")
    changed = {key: value for key, value in {**fields, "type": kind}.items() if value is not None}
    raw = (msgspec.to_builtins(before.entry) if before is not None and before.entry else {"name": name}) | changed
    for key in ("address", "group"):
        if key not in raw:
            raise click.UsageError(f"{name} is new: --{key} is needed")
    try:
        entry = entries.decode(msgspec.json.encode(raw))
    except ValueError as error:
        raise CommandError(f"{name}: {error}") from error
    if before is not None and entry == before.entry:
        click.echo(f"{name}: is so already")
        return
    key = before.key if before is not None else told.told.prefix + name
    if not dry_run:
        client.change(key, entries.encode(entry), before.revision if before is not None else 0)
    _say(dry_run, f"put {key}: {entries.encode(entry).decode()}")


@verb.command()
@click.argument("names", nargs=-1, required=True)
@options
@DRY
@click.option("--undo", is_flag=True, help="Make it active again.")
def drain(names: tuple[str, ...], conf: str | None, label: str | None, dry_run: bool, undo: bool) -> None:
    """Let endpoints finish what they have: nothing new goes to them.

    \b
    Example:
      kestrelspar map drain s-7 s-8
    """
    client = Client(registry(conf, label))
    rows = client.rows()
    for row in [_needed(rows, name) for name in names]:
        assert row.entry is not None
        entry = msgspec.structs.replace(row.entry, status="active" if undo else "leaving")
        if not dry_run:
            client.change(row.key, entries.encode(entry), row.revision)
        _say(dry_run, f"{'activate' if undo else 'drain'} {row.name} ({row.key})")


@verb.command()
@click.argument("names", nargs=-1, required=True)
@options
@DRY
def remove(names: tuple[str, ...], conf: str | None, label: str | None, dry_run: bool) -> None:
    """Remove endpoints. NAME may be the key of an entry that can't be read.

    \b
    Example:
      kestrelspar map remove s-7
    """
    client = Client(registry(conf, label))
    rows = client.rows()
    for name in names:
        bad = next((row for row in rows if row.entry is None and row.key == name), None)
        row = bad or _needed(rows, name)
        if not dry_run:
            client.change(row.key, None, row.revision)
        _say(dry_run, f"remove {row.name} ({row.key})")


def _imported(file: str, zone: str | None, kind: str | None, first_group: int, lossy: bool) -> list[entries.Entry]:
    """The entries of an nginx configuration, each with its origin."""
    from kestrelspar.nginx.importer import Importer

    importer = Importer(zone, kind)
    raw = importer.read(file)
    for line in importer.lost:
        click.echo(line, err=True)
    if importer.lost and not lossy:
        raise CommandError(f"{file}: {len(importer.lost)} things can't be carried over (--lossy imports the rest)")
    found = entries.merged(msgspec.convert(raw, entries.OwnMap))
    return [
        msgspec.structs.replace(entry, origin=os.path.basename(file), group=entry.group + first_group - 1)
        for entry in found
    ]


def _wanted(file: str, zone: str | None, kind: str | None, first_group: int, lossy: bool) -> list[entries.Entry]:
    """The entries of a file: nginx configuration, or a list in JSON."""
    if Path(file).read_bytes().lstrip()[:1] in (b"{", b"["):
        try:
            return entries.read_map(file)
        except ValueError as error:
            raise CommandError(str(error)) from error
    return _imported(file, zone, kind, first_group, lossy)


def compare(rows: list[Row], wanted: list[entries.Entry], origin: str | None) -> list[tuple[str, Row | None, Any]]:
    """What would make the list be as wanted: ("add", -, entry), ("change", row, entry) or ("remove", row, -).

    With an origin, only entries of that origin are removed; else all that are not wanted.
    """
    steps: list[tuple[str, Row | None, Any]] = []
    names = {entry.name for entry in wanted}
    for row in rows:
        if row.entry is not None and row.name not in names and origin in (None, row.entry.origin):
            steps.append(("remove", row, None))
    for entry in wanted:
        before = _by_name(rows, entry.name)
        if before is None:
            steps.append(("add", None, entry))
        elif before.entry != entry:
            if origin is not None and before.entry is not None and before.entry.origin != origin:
                raise CommandError(
                    f"{entry.name}: is in the list already, "
                    f"{'imported from ' + before.entry.origin if before.entry.origin else 'put by hand'}"
                )
            steps.append(("change", before, entry))
    return steps


FROM_FILE = [
    click.option("--zone", help="Zone of imported next hops, as the settings name it."),
    click.option("--type", "kind", help="Kind of imported destinations, as the settings name it."),
    click.option(
        "--first-group",
        type=click.IntRange(0),
        default=1,
        show_default=True,
        help="Number of the file's first destination.",
    ),
    click.option("--lossy", is_flag=True, help="Go on although some directives can't be carried over."),
]


def from_file(command: Callable[..., Any]) -> Callable[..., Any]:
    """The options of what reads nginx configuration."""
    for option in reversed(FROM_FILE):
        command = option(command)
    return command


@verb.command("import")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@options
@DRY
@from_file
def import_(
    file: str,
    conf: str | None,
    label: str | None,
    dry_run: bool,
    zone: str | None,
    kind: str | None,
    first_group: int,
    lossy: bool,
) -> None:
    """Put the servers of an nginx configuration into the list; remove those that an earlier import of FILE put there.

    Directives that can't be carried over are named, and nothing is written unless --lossy.

    \b
    Example:
      kestrelspar map import member.conf --type contractor --dry-run
    """
    told = registry(conf, label)
    client = Client(told)
    wanted = _imported(file, zone, kind, first_group, lossy)
    steps = compare(client.rows(), wanted, os.path.basename(file))
    for what, row, entry in steps:
        key = row.key if row is not None else told.told.prefix + entry.name
        if not dry_run:
            client.change(key, entries.encode(entry) if entry is not None else None, row.revision if row else 0)
        _say(dry_run, f"{what} {key}")
    click.echo(f"{len(wanted)} endpoints, {len(steps)} changes")


@verb.command()
@click.argument("file", type=click.Path(exists=True))
@options
@from_file
def diff(
    file: str, conf: str | None, label: str | None, zone: str | None, kind: str | None, first_group: int, lossy: bool
) -> None:
    """Compare the list with FILE: nginx configuration, a list in JSON, or a courier's state folder (its kept list).

    Exit code 1 where they differ.

    \b
    Example:
      kestrelspar map diff /var/lib/kestrelspar/state
    """
    told = registry(conf, label)
    rows = Client(told).rows()
    if os.path.isdir(file):
        try:
            kept = keep.read(keep.path(file, told.label), 1 << 40)
        except ValueError as error:
            raise CommandError(str(error)) from error
        if kept is None:
            raise CommandError(f"{file}: no list of registry {told.label} is kept here")
        # A kept entry has no origin or start, and names the zone and kind that it was given by default.
        held = {row.key: row.entry for row in kept.rows}
        rows = [Row(row.key, row.revision, _as_kept(row.entry, held.get(row.key))) for row in rows if row.entry]
        wanted = list(held.values())
        origin = None
    else:
        wanted = _wanted(file, zone, kind, first_group, lossy)
        origin = wanted[0].origin or None if wanted else None
        rows = [row for row in rows if origin is None or row.entry is not None and row.entry.origin == origin]
    steps = compare(rows, wanted, origin)
    for what, row, entry in steps:
        sign = {"add": "only in the file", "change": "differs", "remove": "only in the registry"}[what]
        click.echo(f"{sign}: {row.name if row is not None else entry.name}")
        if what == "change" and row is not None:
            before, after = msgspec.to_builtins(row.entry), msgspec.to_builtins(entry)
            for field in sorted({*before, *after}):
                if before.get(field) != after.get(field):
                    click.echo(f"    {field}: registry {before.get(field)!r}, file {after.get(field)!r}")
    if steps:
        sys.exit(1)
    click.echo(f"no difference in {len(wanted)} endpoints")


def _as_kept(entry: entries.Entry, held: entries.Entry | None) -> entries.Entry:
    return msgspec.structs.replace(
        entry,
        origin="",
        since_ms=0,
        zone=entry.zone or (held.zone if held else None),
        type=entry.type or (held.type if held else None),
    )
