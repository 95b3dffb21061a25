"""``kestrelspar map``: show and edit the endpoint list in a registry, with the same client as the courier."""

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
from kestrelspar.registry import saved_list
from kestrelspar.registry.consul import Consul
from kestrelspar.registry.etcd import Etcd
from kestrelspar.registry.follower import Follower
from kestrelspar.registry.link import MemberConnection, RegistryError, RevisionCompactedError
from kestrelspar.registry.sync import Item
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool
from kestrelspar.runtime.loop import Loop
from kestrelspar.settings import conf as conf_file
from kestrelspar.settings import resolve
from snowlock import interface as api

T = TypeVar("T")
FIELDS = ("name", "address", "group", "zone", "type", "status", "weight")
VIEWER_SETTINGS = api.Settings(classes=(api.MessageClass(1, 1),), slots=1)  # minimal: no zones and no kinds


@dataclass
class Row:
    """One key of the registry; ``entry`` is None if its value is invalid, ``error`` says why."""

    key: str
    revision: int
    entry: entries.Entry | None
    error: str = ""

    @property
    def name(self) -> str:
        """Name of its endpoint; the key if the value is invalid."""
        return self.entry.name if self.entry is not None else self.key


def run(work: Callable[[Loop], T]) -> T:
    """Run a function as a task on a new loop; return its result or raise its exception."""
    loop = Loop()
    results: list[T] = []
    errors: list[Exception] = []

    def task() -> None:
        try:
            results.append(work(loop))
        except Exception as error:
            errors.append(error)
        loop.stop()

    loop.spawn(task)
    loop.run()
    if errors:
        raise errors[0]
    return results[0]


class Client:
    """Client of one registry for operators; tries the registry's members in the configured order."""

    def __init__(self, config: resolve.Registry) -> None:
        self.config = config

    def _member(self, loop: Loop, server: tuple[str, int]) -> Etcd | Consul:
        link = MemberConnection(
            loop,
            BufferPool(64),
            server,
            self.config.section.answer_within,
            self.config.tls_context,
            self.config.section.server_name,
        )
        return Etcd(link, self.config) if self.config.section.type == "etcd" else Consul(link, self.config)

    def _call_first_available(self, call: Callable[[Etcd | Consul], T]) -> T:
        """Result of the call on the first member that answers; ``CommandError`` if none does."""

        def work(loop: Loop) -> T:
            errors = []
            for server in self.config.section.servers:
                member = self._member(loop, server)
                try:
                    return call(member)
                except (RegistryError, RevisionCompactedError) as error:
                    errors.append(f"{server[0]}:{server[1]}: {error}")
                finally:
                    member.connection.close()
            raise CommandError("no member of the registry answers:\n" + "\n".join(errors))

        return run(work)

    def rows(self) -> list[Row]:
        """All entries, sorted by key."""
        return sorted(
            (_row(item) for item in self._call_first_available(lambda member: member.read_all())),
            key=lambda row: row.key,
        )

    def change(self, row_key: str, value: bytes | None, expected: int) -> None:
        """Put the key, or delete it if ``value`` is None; ``CommandError`` if that fails or the key has changed.

        ``expected``: revision of the key when it was read; 0 if it did not exist. The change is sent to one member
        only: if the response is lost, the change may have been made or not, so it is not sent to another one.
        """

        def work(loop: Loop) -> bool:
            last_error = ""
            for server in self.config.section.servers:
                member = self._member(loop, server)
                try:
                    member.get(row_key)  # checks that the member answers, before the change is sent to it
                except RegistryError as error:
                    last_error = f"{server[0]}:{server[1]}: {error}"
                    continue
                try:
                    return member.change(row_key, value, expected)
                except RegistryError as error:
                    raise CommandError(
                        f"{row_key}: {error}; the change may have been written or not: check with `map list`"
                    ) from error
                finally:
                    member.connection.close()
            raise CommandError(f"no member of the registry answers: {last_error}")

        if not run(work):
            raise CommandError(f"{row_key}: changed by another client since it was read; nothing was written")


def _row(item: Item) -> Row:
    try:
        return Row(item.key, item.revision, entries.decode(item.value or b""))
    except ValueError as error:
        return Row(item.key, item.revision, None, str(error))


def options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that select the registry."""
    command = click.option("--registry", "label", help="Label of the registry; required if there are several.")(command)
    return click.option(
        "--conf", type=click.Path(exists=True, dir_okay=False), help="kestrelspar.conf; default: $KESTRELSPAR_CONF."
    )(command)


JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
DRY_RUN_OPTION = click.option("--dry-run", is_flag=True, help="Print what would be written, without writing it.")


def registry(conf: str | None, label: str | None) -> resolve.Registry:
    """The configured registry with this label, or the only one."""
    path = conf or conf_file.configuration_path(os.environ)
    try:
        loaded = conf_file.load(path)
        keys = resolve.keys(loaded)
        registries = resolve.registries(loaded)
        registries = registries if keys is None else keys.with_tls(registries)
    except ValueError as error:
        raise ConfigurationError(error) from error
    selected = [r for r in registries if label in (None, r.label)]
    if len(selected) != 1:
        labels = ", ".join(r.label for r in registries) or "none"
        problem = f"no registry {label!r}" if label else "--registry is needed to select a registry"
        raise ConfigurationError(ValueError(f"{path}: {problem}; configured: {labels}"))
    return selected[0]


def show(rows: list[Row], as_json: bool) -> None:
    """Print the entries as a table, or as JSON with their keys and revisions."""
    if as_json:
        click.echo(
            json.dumps(
                [
                    {
                        "key": row.key,
                        "revision": row.revision,
                        "unreadable": row.error or None,
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
            cells[:2] = [row.key, f"can't be read: {row.error}"]
        table.add_row(*cells, str(row.revision))
    Console(width=None if sys.stdout.isatty() else 160).print(table)


@click.group("map")
def verb() -> None:
    """Show and edit the endpoint list in a registry.

    An entry is changed only if it is unchanged since it was read, so operators never overwrite each other's changes.
    """


@verb.command("list")
@options
@JSON_OPTION
def list_(conf: str | None, label: str | None, as_json: bool) -> None:
    """Show the list. Exit code 1 if an entry is invalid.

    \b
    Example:
      kestrelspar map list --conf kestrelspar.conf
    """
    rows = Client(registry(conf, label)).rows()
    show(rows, as_json)
    if any(row.entry is None for row in rows):
        sys.exit(1)


class _Viewer:
    """Stands in for the courier to which a ``Follower`` passes the list, and prints the changes."""

    def __init__(self, as_json: bool) -> None:
        self.settings, self.map, self.as_json = VIEWER_SETTINGS, TransportMap(), as_json
        self.stale: dict[str, int] = {}

    def apply_map_update(
        self, source: str, hops: list[NextHop], complete: bool = False, removed: list[bytes] | None = None
    ) -> None:
        """Apply an update of the list to the map, and print one line per changed endpoint."""
        before = dict(self.map.hops)
        change = self.map.apply(source, hops, complete, removed or [])
        for endpoint in change.endpoints:
            hop = self.map.hops.get(endpoint.id) or before.get(endpoint.id)
            fields = {
                "name": endpoint.id.decode(),
                "state": endpoint.state.name.lower(),
                "group": endpoint.destination,
                "address": "{}:{}".format(*hop.address) if hop else "",
            }
            click.echo(
                json.dumps(fields)
                if self.as_json
                else "{state:<9} {name:<30} {address:<22} group {group}".format(**fields)
            )


class _NullCarrier:
    """Carrier that makes no delivery attempts, for a ``Follower`` whose entries are only shown."""

    def attempt(self, *_: object) -> NoReturn:
        """Not called, since the viewer submits no messages."""
        raise NotImplementedError

    def close_idle(self, hop: NextHop) -> None:
        """Do nothing: there are no connections."""


@verb.command()
@options
@JSON_OPTION
@click.option("--for", "span", type=DURATION, help="Stop after this time; default: run until interrupted.")
def watch(conf: str | None, label: str | None, as_json: bool, span: int | None) -> None:
    """Follow the list as the courier does, one line per change. Lost connections are logged to standard error.

    \b
    Example:
      kestrelspar map watch --for 1m
    """
    config = registry(conf, label)
    logs.set_up(stream=sys.stderr)
    loop = Loop()
    viewer: Any = _Viewer(as_json)
    Follower(loop, BufferPool(64), viewer, _NullCarrier(), config, None, os.getpid()).start()
    if span is not None:
        loop.call_at(loop.now + span, loop.stop)
    with contextlib.suppress(KeyboardInterrupt):
        loop.run()


def _by_name(rows: list[Row], name: str) -> Row | None:
    matches = [row for row in rows if row.entry is not None and row.entry.name == name]
    if len(matches) > 1:
        raise CommandError(f"{name}: {len(matches)} keys have this name: {', '.join(row.key for row in matches)}")
    return matches[0] if matches else None


def _require(rows: list[Row], name: str) -> Row:
    row = _by_name(rows, name)
    if row is None or row.entry is None:
        raise CommandError(f"{name}: no such endpoint in the list")
    return row


def _report(dry_run: bool, change: str) -> None:
    click.echo(f"{'would ' if dry_run else ''}{change}")


@verb.command()
@click.argument("name")
@options
@DRY_RUN_OPTION
@click.option("--new", is_flag=True, help="Fail if the list has an endpoint of this name.")
@click.option("--address", help="HOST:PORT.")
@click.option("--group", type=int, help="The destination's number.")
@click.option("--zone", help="As named in the settings.")
@click.option("--type", "kind", help="As named in the settings.")
@click.option("--weight", type=float, help="Calls per second that it can take, or its relative share.")
@click.option("--status", type=click.Choice(["active", "leaving"]))
@click.option("--target", help="Path in the URL of the calls.")
def put(
    name: str, conf: str | None, label: str | None, dry_run: bool, new: bool, kind: str | None, **fields: Any
) -> None:
    """Add endpoint NAME, or change the given fields of an existing one.

    \b
    Example:
      kestrelspar map put s-7 --address 10.0.0.7:8443 --group 3 --zone room-a --type utility
    """
    config = registry(conf, label)
    client = Client(config)
    before = _by_name(client.rows(), name)
    if before is not None and new:
        raise CommandError(f"{name}: already in the list (--new)")
    changed = {key: value for key, value in {**fields, "type": kind}.items() if value is not None}
    fields_after = (
        msgspec.to_builtins(before.entry) if before is not None and before.entry else {"name": name}
    ) | changed
    for key in ("address", "group"):
        if key not in fields_after:
            raise click.UsageError(f"{name} is new: --{key} is required")
    try:
        entry = entries.decode(msgspec.json.encode(fields_after))
    except ValueError as error:
        raise CommandError(f"{name}: {error}") from error
    if before is not None and entry == before.entry:
        click.echo(f"{name}: unchanged")
        return
    key = before.key if before is not None else config.section.prefix + name
    if not dry_run:
        client.change(key, entries.encode(entry), before.revision if before is not None else 0)
    _report(dry_run, f"put {key}: {entries.encode(entry).decode()}")


@verb.command()
@click.argument("names", nargs=-1, required=True)
@options
@DRY_RUN_OPTION
@click.option("--undo", is_flag=True, help="Make the endpoints active again.")
def drain(names: tuple[str, ...], conf: str | None, label: str | None, dry_run: bool, undo: bool) -> None:
    """Drain endpoints: calls in flight finish, new calls go elsewhere.

    \b
    Example:
      kestrelspar map drain s-7 s-8
    """
    client = Client(registry(conf, label))
    rows = client.rows()
    for row in [_require(rows, name) for name in names]:
        assert row.entry is not None
        entry = msgspec.structs.replace(row.entry, status="active" if undo else "leaving")
        if not dry_run:
            client.change(row.key, entries.encode(entry), row.revision)
        _report(dry_run, f"{'activate' if undo else 'drain'} {row.name} ({row.key})")


@verb.command()
@click.argument("names", nargs=-1, required=True)
@options
@DRY_RUN_OPTION
def remove(names: tuple[str, ...], conf: str | None, label: str | None, dry_run: bool) -> None:
    """Remove endpoints. NAME may be the key of an invalid entry.

    \b
    Example:
      kestrelspar map remove s-7
    """
    client = Client(registry(conf, label))
    rows = client.rows()
    for name in names:
        invalid = next((row for row in rows if row.entry is None and row.key == name), None)
        row = invalid or _require(rows, name)
        if not dry_run:
            client.change(row.key, None, row.revision)
        _report(dry_run, f"remove {row.name} ({row.key})")


def _imported(file: str, zone: str | None, kind: str | None, first_group: int, lossy: bool) -> list[entries.Entry]:
    """Entries of an nginx configuration, each with the file's name as its origin.

    Unless ``lossy``, raises ``CommandError`` if a directive has no equivalent.
    """
    from kestrelspar.nginx.importer import Importer

    importer = Importer(zone, kind)
    transport_map = importer.read(file)
    for line in importer.unsupported:
        click.echo(line, err=True)
    if importer.unsupported and not lossy:
        raise CommandError(
            f"{file}: {len(importer.unsupported)} directives have no equivalent (--lossy imports the rest)"
        )
    imported = entries.with_destination_values(msgspec.convert(transport_map, entries.OwnMap))
    return [
        msgspec.structs.replace(entry, origin=os.path.basename(file), group=entry.group + first_group - 1)
        for entry in imported
    ]


def _read_entries(file: str, zone: str | None, kind: str | None, first_group: int, lossy: bool) -> list[entries.Entry]:
    """Entries of a file: nginx configuration, or a transport map in JSON."""
    if Path(file).read_bytes().lstrip()[:1] in (b"{", b"["):
        try:
            return entries.read_map(file)
        except ValueError as error:
            raise CommandError(str(error)) from error
    return _imported(file, zone, kind, first_group, lossy)


def compare(rows: list[Row], wanted: list[entries.Entry], origin: str | None) -> list[tuple[str, Row | None, Any]]:
    """Changes that make the list equal to ``wanted``.

    Each is ("add", None, entry), ("change", row, entry) or ("remove", row, None). With an origin, only entries of that
    origin are removed; without, all entries that are not in ``wanted``. Invalid entries stay. Raises ``CommandError``
    for a wanted name that several keys have, and for a wanted entry that differs from one of another origin.
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
                    f"{entry.name}: already in the list, "
                    f"{'imported from ' + before.entry.origin if before.entry.origin else 'added manually'}"
                )
            steps.append(("change", before, entry))
    return steps


IMPORT_OPTIONS = [
    click.option("--zone", help="Zone of imported next hops, as named in the settings."),
    click.option("--type", "kind", help="Kind of imported destinations, as named in the settings."),
    click.option(
        "--first-group",
        type=click.IntRange(0),
        default=1,
        show_default=True,
        help="Number of the file's first destination.",
    ),
    click.option("--lossy", is_flag=True, help="Continue although some directives have no equivalent."),
]


def import_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of the commands that read nginx configuration."""
    for option in reversed(IMPORT_OPTIONS):
        command = option(command)
    return command


@verb.command("import")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@options
@DRY_RUN_OPTION
@import_options
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
    """Import the servers of an nginx configuration; remove those of an earlier import of FILE that are gone from it.

    Directives without an equivalent are reported; if there are any, nothing is written unless --lossy is given.

    \b
    Example:
      kestrelspar map import member.conf --type contractor --dry-run
    """
    config = registry(conf, label)
    client = Client(config)
    wanted = _imported(file, zone, kind, first_group, lossy)
    steps = compare(client.rows(), wanted, os.path.basename(file))
    for what, row, entry in steps:
        key = row.key if row is not None else config.section.prefix + entry.name
        if not dry_run:
            client.change(key, entries.encode(entry) if entry is not None else None, row.revision if row else 0)
        _report(dry_run, f"{what} {key}")
    click.echo(f"{len(wanted)} endpoints, {len(steps)} changes")


@verb.command()
@click.argument("file", type=click.Path(exists=True))
@options
@import_options
def diff(
    file: str, conf: str | None, label: str | None, zone: str | None, kind: str | None, first_group: int, lossy: bool
) -> None:
    """Compare the list with FILE: nginx configuration, a transport map in JSON, or a courier's state directory.

    In a state directory, the saved copy of the registry's list is read. Exit code 1 if the lists differ.

    \b
    Example:
      kestrelspar map diff /var/lib/kestrelspar/state
    """
    config = registry(conf, label)
    rows = Client(config).rows()
    if os.path.isdir(file):
        try:
            saved = saved_list.read(saved_list.path(file, config.label), 1 << 40)
        except ValueError as error:
            raise CommandError(str(error)) from error
        if saved is None:
            raise CommandError(f"{file}: no list of registry {config.label} is saved here")
        # A saved entry has no origin and no start time, and its default zone and kind are filled in.
        saved_entries = {row.key: row.entry for row in saved.rows}
        rows = [
            Row(row.key, row.revision, _as_saved(row.entry, saved_entries.get(row.key))) for row in rows if row.entry
        ]
        wanted = list(saved_entries.values())
        origin = None
    else:
        wanted = _read_entries(file, zone, kind, first_group, lossy)
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


def _as_saved(entry: entries.Entry, saved: entries.Entry | None) -> entries.Entry:
    """The entry as the courier would save it, to compare it with its saved copy."""
    return msgspec.structs.replace(
        entry,
        origin="",
        since_ms=0,
        zone=entry.zone or (saved.zone if saved else None),
        type=entry.type or (saved.type if saved else None),
    )
