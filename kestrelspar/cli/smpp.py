"""``kestrelspar smpp``: try out a message centre, test it against the specification, hash a password."""

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
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError
from kestrelspar.runtime.loop import SECOND, Loop
from kestrelspar.settings import kinds
from kestrelspar.settings.kinds import address as address_kind
from kestrelspar.settings.resolve import MAX_PASSWORD_LENGTH
from kestrelspar.smpp import conform as conformance
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp import probe
from kestrelspar.smpp.pdu import Command, Pdu

MAX_SHORT_MESSAGE_BYTES = 254  # longer texts go into the TLV message_payload
ENQUIRE_LINK_INTERVAL = 20 * SECOND
BIND_COMMANDS = {
    "transmitter": Command.BIND_TRANSMITTER,
    "receiver": Command.BIND_RECEIVER,
    "transceiver": Command.BIND_TRANSCEIVER,
}


class Address(click.ParamType[tuple[str, int]]):
    """Option type for an address, HOST:PORT."""

    name = "HOST:PORT"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> tuple[str, int]:
        """Parse the value; see ``click.ParamType.convert``."""
        meta = address_kind("")
        try:
            host, port = kinds.parse_value(str(value), meta, "")
        except ValueError as error:
            self.fail(f"{error} (wanted: {kinds.describe_accepted(meta)})", param, ctx)
        return str(host), int(port)


def _account_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options and the argument for connecting and binding."""
    for option in (
        click.option("--within", type=DURATION, default="2s", show_default=True, help="Timeout of each response."),
        click.option(
            "--tls",
            "authorities",
            type=click.Path(exists=True, dir_okay=False),
            help="Use TLS; the PEM file has the trusted certificate authorities.",
        ),
        click.option(
            "--server-name", default="", help="Name expected in the server's certificate; default: its address."
        ),
        click.option(
            "--password-file",
            type=click.Path(exists=True, dir_okay=False),
            required=True,
            help="File with the password; only its owner may have read permission.",
        ),
        click.option("--account", required=True, help="system_id of the bind."),
        click.argument("address", type=Address()),
    ):
        command = option(command)
    return command


class _EsmeRunner:
    """Runs a function as a task on a loop of its own. It has a dialer and an account for ESME sessions."""

    def __init__(
        self,
        address: tuple[str, int],
        account: str,
        password_file: str,
        authorities: str | None,
        server_name: str,
        **account_fields: str,
    ) -> None:
        try:
            password = kinds.read_secret(password_file)
            if len(password.encode()) > MAX_PASSWORD_LENGTH:
                raise ValueError(f"{password_file} holds more than {MAX_PASSWORD_LENGTH} bytes")
        except ValueError as error:
            raise ConfigurationError(error) from error
        self.loop, self.buffers = Loop(), BufferPool(64)
        self.account = conformance.Credentials(account, password, **account_fields)
        self.dial = probe.tcp_dialer(self.loop, self.buffers, address)
        if authorities is not None:
            import ssl

            from kestrelspar.runtime import tls

            context = ssl.create_default_context(cafile=authorities)
            self.dial = lambda deadline: tls.dial(self.loop, self.buffers, address, deadline, context, server_name)

    def run(self, call: Callable[[], None]) -> None:
        """Run the function to its end; ``CommandError`` if a PDU is refused or the connection fails or times out."""
        errors: list[Exception] = []

        def task() -> None:
            try:
                call()
            except (probe.ProbeError, ConnectionClosedError, DeadlineExceededError) as error:
                errors.append(error)
            finally:
                self.loop.stop()

        self.loop.spawn(task)
        try:
            self.loop.run()
        except KeyboardInterrupt:
            click.echo("ended")
        if errors:
            raise CommandError(str(errors[0]) or getattr(errors[0], "label", type(errors[0]).__name__).lower())

    def bound(self, bind_command: Command, timeout: int, on_deliver: Callable[[Pdu], None]) -> probe.Esme:
        """Connect and bind; return the session, which passes received messages to ``on_deliver``.

        Raises ``ProbeError`` if there is no connection or the bind is refused. ``timeout`` is that of each step.
        """
        stream = self.dial(self.loop.now + timeout)
        if stream is None:
            raise probe.ProbeError("no connection")
        esme = probe.Esme(self.loop, stream, on_deliver)
        esme.bind(bind_command, self.account, timeout)
        return esme


@click.group("smpp")
def verb() -> None:
    """Try out a message centre, test it against the specification, hash a password."""


@verb.command()
@_account_options
@click.option("--from", "source", default="100", show_default=True, help="source_addr of the submitted messages.")
@click.option("--to", "destination", default="3725550", show_default=True, help="destination_addr.")
@click.option("--service-type", default="", help="service_type.")
@click.option("--group", "groups", multiple=True, help="Run only this group of cases; can be repeated.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
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
    """Run the conformance cases for SMPP 3.4 against a message centre. Exit code 1 if one fails.

    The cases submit a few messages to --to and bind with wrong passwords: use a test account.

    \b
    Example:
      kestrelspar smpp conform 127.0.0.1:2775 --account acme --password-file acme.password
    """
    runner = _EsmeRunner(
        address,
        account,
        password_file,
        authorities,
        server_name,
        source=source,
        destination=destination,
        service_type=service_type,
    )
    selected = [case for case in conformance.cases(runner.account) if not groups or case.group in groups]
    if not selected:
        known_groups = sorted({case.group for case in conformance.cases(runner.account)})
        raise click.UsageError(f"no such group (there are: {', '.join(known_groups)})")
    verdicts: list[probe.Verdict] = []
    runner.run(
        lambda: probe.CaseRunner(runner.loop, runner.dial, runner.account, within).run(selected, verdicts.append)
    )
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
                            "wanted": str(v.case.expected),
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
        _print_verdicts(verdicts)
    if failed:
        raise SystemExit(1)


def _print_verdicts(verdicts: list[probe.Verdict]) -> None:
    console, failed = Console(), [verdict for verdict in verdicts if verdict.fault]
    if failed:
        rows = Table("case", "clause", "wanted", "fault")
        for verdict in failed:
            rows.add_row(verdict.case.name, verdict.case.clause, str(verdict.case.expected), verdict.fault)
        console.print(rows)
    cases_by_group, failed_by_group = Counter(v.case.group for v in verdicts), Counter(v.case.group for v in failed)
    rows = Table("group", "cases", "failed")
    for group, cases in cases_by_group.items():
        rows.add_row(group, str(cases), str(failed_by_group[group]))
    rows.add_row("all", str(len(verdicts)), str(len(failed)))
    console.print(rows)


def _print_message(pdu: Pdu) -> None:
    body = pdu.message or pdu.tlv(p.MESSAGE_PAYLOAD) or b""
    click.echo(
        f"{datetime.now(UTC):%H:%M:%S} {pdu.command.name.lower()} from {pdu.text('source_addr') or '-'} to "
        f"{pdu.text('destination_addr') or '-'}: {body.decode('latin-1')!r}"
    )


@verb.command()
@_account_options
@click.option("--from", "source", default="", help="source_addr.")
@click.option("--to", "destination", required=True, help="destination_addr.")
@click.option("--service-type", default="", help="service_type.")
@click.option("--receipt", is_flag=True, help="Request a delivery receipt and wait for it, up to the time of --for.")
@click.option("--for", "span", type=DURATION, default="30s", show_default=True, help="Maximum wait for the receipt.")
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
    """Submit one text and print the result. Exit code 1 if it is refused, or if no receipt arrives in time.

    \b
    Example:
      kestrelspar smpp send 127.0.0.1:2775 --account acme --password-file acme.password --to 3725550 "Tere!"
    """
    from kestrelspar.smpp import alphabets

    runner = _EsmeRunner(address, account, password_file, authorities, server_name)
    received: list[Pdu] = []

    def receive(pdu: Pdu) -> None:
        received.append(pdu)
        _print_message(pdu)

    def run_session() -> None:
        esme = runner.bound(Command.BIND_TRANSCEIVER if receipt else Command.BIND_TRANSMITTER, within, receive)
        coding, body = alphabets.encode_text(text.encode())
        fields = {
            "source_addr": source,
            "destination_addr": destination,
            "service_type": service_type,
            "data_coding": coding,
            "registered_delivery": int(receipt),
        }
        use_payload_tlv = len(body) > MAX_SHORT_MESSAGE_BYTES
        response = esme.request(
            Pdu(
                Command.SUBMIT_SM,
                fields=fields,
                message=b"" if use_payload_tlv else body,
                tlvs=[(p.MESSAGE_PAYLOAD, body)] if use_payload_tlv else [],
            ),
            within,
        )
        if response.status:
            raise probe.ProbeError(f"submit_sm: {conformance.status_name(response.status)}")
        click.echo(f"accepted as {response.text('message_id')}")
        deadline = runner.loop.now + span
        while receipt and not received:
            try:
                esme.read_pdu(deadline)
            except DeadlineExceededError:
                raise probe.ProbeError("no receipt received in time") from None
        esme.request(Pdu(Command.UNBIND), within)
        esme.stream.close()

    runner.run(run_session)


@verb.command()
@_account_options
@click.option(
    "--as", "how", type=click.Choice(list(BIND_COMMANDS)), default="transceiver", show_default=True, help="How to bind."
)
@click.option("--for", "span", type=DURATION, help="Unbind after this time; default: run until interrupted.")
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
    """Bind; print and acknowledge the messages received.

    \b
    Example:
      kestrelspar smpp bind 127.0.0.1:2775 --account acme --password-file acme.password --as receiver --for 1m
    """
    runner = _EsmeRunner(address, account, password_file, authorities, server_name)

    def run_session() -> None:
        esme = runner.bound(BIND_COMMANDS[how], within, _print_message)
        click.echo(f"bound as {how}")
        end = None if span is None else runner.loop.now + span
        while end is None or runner.loop.now < end:
            enquire_at = runner.loop.now + ENQUIRE_LINK_INTERVAL
            try:
                esme.read_response(enquire_at if end is None else min(enquire_at, end))
            except DeadlineExceededError:
                esme.request(Pdu(Command.ENQUIRE_LINK), within)
        esme.request(Pdu(Command.UNBIND), within)
        esme.stream.close()

    runner.run(run_session)


@verb.command()
@click.option(
    "--listen", "address", type=Address(), default="127.0.0.1:2776", show_default=True, help="Address to listen on."
)
@click.option("--for", "span", type=DURATION, help="Stop after this time; default: run until interrupted.")
def listen(address: tuple[str, int], span: int | None) -> None:
    """Run a message centre that accepts any account, prints submitted messages and sends receipts a second later.

    \b
    Example:
      kestrelspar smpp listen --listen 127.0.0.1:2776
    """
    from kestrelspar.standins.gateway import Behaviour, Gateway

    loop = Loop()
    Gateway(loop, listener(address), Behaviour(receipts=SECOND), on_submit=lambda outcome, pdu: _print_message(pdu))
    click.echo(f"message centre on {address[0]}:{address[1]}")
    run_for(loop, span)


def listener(address: tuple[str, int]) -> socket.socket:
    """A listening socket on the address; ``CommandError`` if it can't be bound."""
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
@click.option(
    "--from-file", type=click.Path(exists=True, dir_okay=False), help="File with the password; default: prompt for it."
)
def passwd(from_file: str | None) -> None:
    """Print the salted hash of an account's password, for its password-file.

    \b
    Example:
      kestrelspar smpp passwd > acme.password
    """
    from kestrelspar.passwords import hash_password

    try:
        password = (
            kinds.read_secret(from_file)
            if from_file
            else click.prompt("Password", hide_input=True, err=True, confirmation_prompt=True)
        )
    except ValueError as error:
        raise ConfigurationError(error) from error
    if not 0 < len(password.encode()) <= MAX_PASSWORD_LENGTH:
        raise CommandError(
            f"an SMPP password has 1 to {MAX_PASSWORD_LENGTH} bytes, this one has {len(password.encode())}"
        )
    click.echo(hash_password(password))
