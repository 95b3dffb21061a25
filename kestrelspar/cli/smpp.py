"""``kestrelspar smpp``: try a message centre out, test one against the specification, hash a password."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import click
import ujson
from rich.console import Console
from rich.table import Table

from kestrelspar.cli.main import CommandError, ConfigurationError
from kestrelspar.cli.units import DURATION, run_for
from kestrelspar.runtime.buffers import BufferPool, Closed, Late
from kestrelspar.runtime.loop import SECOND, Loop
from kestrelspar.settings import kinds
from kestrelspar.settings.kinds import address as address_kind
from kestrelspar.settings.resolve import PASSWORD
from kestrelspar.smpp import conform as cases_of
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp import probe
from kestrelspar.smpp.pdu import Command, Pdu

HOW = {
    "transmitter": Command.BIND_TRANSMITTER,
    "receiver": Command.BIND_RECEIVER,
    "transceiver": Command.BIND_TRANSCEIVER,
}


class Address(click.ParamType[tuple[str, int]]):
    """HOST:PORT."""

    name = "HOST:PORT"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> tuple[str, int]:
        """See click."""
        meta = address_kind("")
        try:
            host, port = kinds.value(str(value), meta, "")
        except ValueError as error:
            self.fail(f"{error} (wanted: {kinds.wanted(meta)})", param, ctx)
        return str(host), int(port)


def _account(verb: Callable[..., Any]) -> Callable[..., Any]:
    """The options by which a verb connects and binds."""
    for option in (
        click.option("--within", type=DURATION, default="2s", show_default=True, help="Time for each answer."),
        click.option(
            "--tls",
            "authorities",
            type=click.Path(exists=True, dir_okay=False),
            help="Speak TLS; the file has the authorities that are trusted, PEM.",
        ),
        click.option("--server-name", default="", help="The name that its certificate must have; else its address."),
        click.option(
            "--password-file",
            type=click.Path(exists=True, dir_okay=False),
            required=True,
            help="Holds the password, and only its owner may read it.",
        ),
        click.option("--account", required=True, help="The system_id to bind with."),
        click.argument("address", type=Address()),
    ):
        verb = option(verb)
    return verb


class _Caller:
    """A loop, a way to connect, and an account."""

    def __init__(
        self,
        address: tuple[str, int],
        account: str,
        password_file: str,
        authorities: str | None,
        server_name: str,
        **more: str,
    ) -> None:
        try:
            password = kinds.read_secret(password_file)
            if len(password.encode()) > PASSWORD:
                raise ValueError(f"{password_file} holds more than {PASSWORD} bytes")
        except ValueError as error:
            raise ConfigurationError(error) from error
        self.loop, self.buffers = Loop(), BufferPool(64)
        self.account = cases_of.Account(account, password, **more)
        self.dial = probe.plain(self.loop, self.buffers, address)
        if authorities is not None:
            import ssl

            from kestrelspar.runtime import tls

            context = ssl.create_default_context(cafile=authorities)
            self.dial = lambda deadline: tls.dial(self.loop, self.buffers, address, deadline, context, server_name)

    def run(self, call: Callable[[], None]) -> None:
        """Run in a task until it is done; a refusal is a fault."""
        faults: list[Exception] = []

        def task() -> None:
            try:
                call()
            except (probe.Refused, Closed, Late) as error:
                faults.append(error)
            finally:
                self.loop.stop()

        self.loop.spawn(task)
        try:
            self.loop.run()
        except KeyboardInterrupt:
            click.echo("ended")
        if faults:
            raise CommandError(str(faults[0]) or type(faults[0]).__name__.lower())

    def bound(self, how: Command, within: int, heard: Callable[[Pdu], None]) -> probe.Esme:
        """A bound session."""
        stream = self.dial(self.loop.now + within)
        if stream is None:
            raise probe.Refused("no connection")
        esme = probe.Esme(self.loop, stream, heard)
        esme.bind(how, self.account, within)
        return esme


@click.group("smpp")
def verb() -> None:
    """Try a message centre out, test one against the specification, hash a password."""


@verb.command()
@_account
@click.option("--from", "source", default="100", show_default=True, help="source_addr of what is submitted.")
@click.option("--to", "destination", default="3725550", show_default=True, help="destination_addr.")
@click.option("--service-type", default="", help="service_type.")
@click.option("--group", "groups", multiple=True, help="Only these groups of cases.")
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
def conform(
    address: tuple[str, int],
    account: str,
    password_file: str,
    authorities: str | None,
    server_name: str,
    within: int,
    source: str,
    destination: str,
    service_type: str,
    groups: tuple[str, ...],
    as_json: bool,
) -> None:
    """Run the cases of the SMPP 3.4 specification against a message centre. Exit code 1 where one fails.

    It submits a few messages to --to, and binds with wrong passwords: use an account for tests.

    \b
    Example:
      kestrelspar smpp conform 127.0.0.1:2775 --account acme --password-file acme.password
    """
    caller = _Caller(
        address,
        account,
        password_file,
        authorities,
        server_name,
        source=source,
        destination=destination,
        service_type=service_type,
    )
    chosen = [case for case in cases_of.cases(caller.account) if not groups or case.group in groups]
    if not chosen:
        known = sorted({case.group for case in cases_of.cases(caller.account)})
        raise click.UsageError(f"no such group (there are: {', '.join(known)})")
    verdicts: list[probe.Verdict] = []
    caller.run(lambda: probe.Examiner(caller.loop, caller.dial, caller.account, within).run(chosen, verdicts.append))
    failed = [verdict for verdict in verdicts if verdict.fault]
    if as_json:
        click.echo(
            ujson.dumps(
                {
                    "cases": len(verdicts),
                    "failed": len(failed),
                    "verdicts": [
                        {
                            "group": v.case.group,
                            "case": v.case.name,
                            "clause": v.case.clause,
                            "state": v.case.state.value,
                            "wanted": str(v.case.wanted),
                            "fault": v.fault,
                        }
                        for v in verdicts
                    ],
                },
                indent=2,
                escape_forward_slashes=False,
            )
        )
    else:
        _print(verdicts)
    if failed:
        raise SystemExit(1)


def _print(verdicts: list[probe.Verdict]) -> None:
    console, failed = Console(), [verdict for verdict in verdicts if verdict.fault]
    if failed:
        rows = Table("case", "clause", "wanted", "fault")
        for verdict in failed:
            rows.add_row(verdict.case.name, verdict.case.clause, str(verdict.case.wanted), verdict.fault)
        console.print(rows)
    count, bad = Counter(v.case.group for v in verdicts), Counter(v.case.group for v in failed)
    rows = Table("group", "cases", "failed")
    for group, cases in count.items():
        rows.add_row(group, str(cases), str(bad[group]))
    rows.add_row("all", str(len(verdicts)), str(len(failed)))
    console.print(rows)


def _show(pdu: Pdu) -> None:
    body = pdu.message or pdu.tlv(p.MESSAGE_PAYLOAD) or b""
    click.echo(
        f"{datetime.now(UTC):%H:%M:%S} {pdu.command.name.lower()} from {pdu.text('source_addr') or '-'} to "
        f"{pdu.text('destination_addr') or '-'}: {body.decode('latin-1')!r}"
    )


@verb.command()
@_account
@click.option("--from", "source", default="", help="source_addr.")
@click.option("--to", "destination", required=True, help="destination_addr.")
@click.option("--service-type", default="", help="service_type.")
@click.option("--receipt", is_flag=True, help="Ask for a delivery receipt and wait for it, for as long as --for.")
@click.option("--for", "span", type=DURATION, default="30s", show_default=True, help="How long to wait for it.")
@click.argument("text")
def send(
    address: tuple[str, int],
    account: str,
    password_file: str,
    authorities: str | None,
    server_name: str,
    within: int,
    source: str,
    destination: str,
    service_type: str,
    receipt: bool,
    span: int,
    text: str,
) -> None:
    """Submit one text and say what came of it. Exit code 1 where it was refused, or no receipt came.

    \b
    Example:
      kestrelspar smpp send 127.0.0.1:2775 --account acme --password-file acme.password --to 3725550 "Tere!"
    """
    from kestrelspar.smpp import text as texts

    caller = _Caller(address, account, password_file, authorities, server_name)
    heard: list[Pdu] = []

    def hear(pdu: Pdu) -> None:
        heard.append(pdu)
        _show(pdu)

    def go() -> None:
        esme = caller.bound(Command.BIND_TRANSCEIVER if receipt else Command.BIND_TRANSMITTER, within, hear)
        coding, body = texts.coded(text.encode())
        fields = {
            "source_addr": source,
            "destination_addr": destination,
            "service_type": service_type,
            "data_coding": coding,
            "registered_delivery": int(receipt),
        }
        long = len(body) > 254
        answer = esme.ask(
            Pdu(
                Command.SUBMIT_SM,
                fields=fields,
                message=b"" if long else body,
                tlvs=[(p.MESSAGE_PAYLOAD, body)] if long else [],
            ),
            within,
        )
        if answer.status:
            raise probe.Refused(f"submit_sm: {cases_of.shown(answer.status)}")
        click.echo(f"taken as {answer.text('message_id')}")
        give_up = caller.loop.now + span
        while receipt and not heard:
            try:
                esme.next(give_up)
            except Late:
                raise probe.Refused("no receipt in time") from None
        esme.ask(Pdu(Command.UNBIND), within)
        esme.stream.close()

    caller.run(go)


@verb.command()
@_account
@click.option(
    "--as", "how", type=click.Choice(list(HOW)), default="transceiver", show_default=True, help="How to bind."
)
@click.option("--for", "span", type=DURATION, help="Unbind after so long; until interrupted by default.")
def bind(
    address: tuple[str, int],
    account: str,
    password_file: str,
    authorities: str | None,
    server_name: str,
    within: int,
    how: str,
    span: int | None,
) -> None:
    """Bind, and print and acknowledge what comes.

    \b
    Example:
      kestrelspar smpp bind 127.0.0.1:2775 --account acme --password-file acme.password --as receiver --for 1m
    """
    caller = _Caller(address, account, password_file, authorities, server_name)

    def go() -> None:
        esme = caller.bound(HOW[how], within, _show)
        click.echo(f"bound as {how}")
        end = None if span is None else caller.loop.now + span
        while end is None or caller.loop.now < end:
            beat = caller.loop.now + 20 * SECOND
            try:
                esme.read(beat if end is None else min(beat, end))
            except Late:
                esme.ask(Pdu(Command.ENQUIRE_LINK), within)
        esme.ask(Pdu(Command.UNBIND), within)
        esme.stream.close()

    caller.run(go)


@verb.command()
@click.option("--listen", "address", type=Address(), default="127.0.0.1:2776", show_default=True, help="Where.")
@click.option("--for", "span", type=DURATION, help="End by itself after so long.")
def listen(address: tuple[str, int], span: int | None) -> None:
    """Be a message centre that takes any account and prints what is submitted, with receipts a second later.

    \b
    Example:
      kestrelspar smpp listen --listen 127.0.0.1:2776
    """
    from kestrelspar.standins.gateway import Gateway, Manners

    loop = Loop()
    Gateway(loop, listener(address), Manners(receipts=SECOND), told=lambda what, pdu: _show(pdu))
    click.echo(f"message centre on {address[0]}:{address[1]}")
    run_for(loop, span)


def listener(address: tuple[str, int]) -> socket.socket:
    """A listening socket; ``CommandError`` where it can't be had."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError as error:
        raise CommandError(f"{address[0]}:{address[1]}: {error}") from error
    sock.listen(512)
    sock.setblocking(False)
    return sock


@verb.command()
@click.option("--from-file", type=click.Path(exists=True, dir_okay=False), help="Holds the password; asked for else.")
def passwd(from_file: str | None) -> None:
    """Print the salted hash of an account's password, for its password-file.

    \b
    Example:
      kestrelspar smpp passwd > acme.password
    """
    from kestrelspar.passwords import hashed

    try:
        told = (
            kinds.read_secret(from_file)
            if from_file
            else click.prompt("Password", hide_input=True, err=True, confirmation_prompt=True)
        )
    except ValueError as error:
        raise ConfigurationError(error) from error
    if not 0 < len(told.encode()) <= PASSWORD:
        raise CommandError(f"an SMPP password has 1 to {PASSWORD} bytes, this one {len(told.encode())}")
    click.echo(hashed(told))
