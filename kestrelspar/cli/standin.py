"""``kestrelspar standin``: stand-in servers for external systems, for manual tests."""

from __future__ import annotations

import random
import socket

import click

from kestrelspar.cli.main import CommandError
from kestrelspar.cli.units import DURATION, run_for
from kestrelspar.core import entries
from kestrelspar.runtime.loop import MS, SECOND, Loop
from kestrelspar.settings.kinds import address, parse_value
from kestrelspar.standins.registry import Member, Store, run_random_faults


@click.group("standin")
def verb() -> None:
    """Start a stand-in server for an external system, on loopback, for manual tests."""


@verb.command()
@click.option("--listen", default="127.0.0.1:2379", show_default=True, help="Address of the first member.")
@click.option(
    "--members",
    type=click.IntRange(1, 9),
    default=1,
    show_default=True,
    help="Number of members that serve the same store, on consecutive ports.",
)
@click.option(
    "--schedule",
    type=click.Choice(["calm", "rough"]),
    default="calm",
    show_default=True,
    help="rough: random faults, such as compactions, cut connections, silence, lag, expired leases and tokens.",
)
@click.option("--every", type=DURATION, default="2s", show_default=True, help="Mean interval between faults.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the random numbers.")
@click.option("--fill", type=click.IntRange(0, 100_000), default=0, help="Number of entries at the start.")
@click.option(
    "--prefix", default="/kestrelspar/endpoints/", show_default=True, help="Key prefix of the entries of --fill."
)
@click.option("--churn", type=click.IntRange(0, 10_000), default=0, help="Changes of entries per second.")
@click.option("--for", "span", type=DURATION, help="Stop after this time; default: run until interrupted.")
def registry(
    listen: str,
    members: int,
    schedule: str,
    every: int,
    seed: int,
    fill: int,
    prefix: str,
    churn: int,
    span: int | None,
) -> None:
    """Run a registry with the API of etcd's JSON gateway and of Consul's KV store, both on each port.

    \b
    Example:
      kestrelspar standin registry --listen 127.0.0.1:2379 --members 2 --schedule rough --seed 7
    """
    host, first_port = parse_value(listen, address(""), "")
    loop, store, served_members = Loop(), Store(), []
    for index in range(members):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, first_port + index))
        except OSError as error:
            raise CommandError(f"{host}:{first_port + index}: {error}") from error
        sock.listen(512)
        sock.setblocking(False)
        served_members.append(Member(loop, store, sock, max_fragment_events=500))
        click.echo(f"registry member on {host}:{first_port + index}")
    rows = [
        entries.Entry(name=f"hop-{n}", address=f"127.0.0.1:{20_000 + n % 10_000}", group=n // 2) for n in range(fill)
    ]
    store.commit([(f"{prefix}{row.name}".encode(), entries.encode(row), 0) for row in rows])
    if schedule == "rough":
        loop.spawn(run_random_faults, loop, served_members, seed, every, click.echo)

    def expire_leases() -> None:
        while True:
            loop.sleep(SECOND)
            store.expire_leases(loop.now)

    def change_entries() -> None:
        random_source, begin, done = random.Random(seed), loop.now, 0
        while True:
            loop.sleep(10 * MS)
            due = (loop.now - begin) * churn // SECOND
            for row in [random_source.choice(rows) for _ in range(due - done)]:
                row.weight = 1.0 + random_source.randrange(1_000)
                store.put(prefix + row.name, entries.encode(row))
            done = due

    loop.spawn(expire_leases)
    if churn and rows:
        loop.spawn(change_entries)
    run_for(loop, span)


@verb.command()
@click.option("--listen", default="127.0.0.1:2776", show_default=True, help="Address to listen on.")
@click.option(
    "--limit",
    type=click.IntRange(0, 100_000),
    default=0,
    help="Maximum accepted submits in any second, over all sessions; above: ESME_RTHROTTLED; 0: none.",
)
@click.option(
    "--window",
    type=click.IntRange(0, 10_000),
    default=0,
    help="Maximum submits of a session that wait for their latency to pass; above: ESME_RMSGQFUL; 0: none.",
)
@click.option("--latency", type=DURATION, default="5ms", show_default=True, help="Delay of each response.")
@click.option("--receipts", type=DURATION, help="Delay of receipts after the response; default: no receipts.")
@click.option("--lost", type=click.FloatRange(0, 1), default=0.0, help="Share of receipts that are not sent.")
@click.option(
    "--undelivered", type=click.FloatRange(0, 1), default=0.0, help="Share of receipts with the state UNDELIV."
)
@click.option(
    "--refuses", type=click.FloatRange(0, 1), default=0.0, help="Share of submits answered with ESME_RSYSERR."
)
@click.option("--silent", type=click.FloatRange(0, 1), default=0.0, help="Share of submits without a response.")
@click.option(
    "--cuts", type=click.FloatRange(0, 1), default=0.0, help="Share of submits on which the connection is closed."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the random numbers.")
@click.option("--for", "span", type=DURATION, help="Stop after this time; default: run until interrupted.")
def gateway(
    listen: str,
    limit: int,
    window: int,
    latency: int,
    receipts: int | None,
    lost: float,
    undelivered: float,
    refuses: float,
    silent: float,
    cuts: float,
    seed: int,
    span: int | None,
) -> None:
    """Run an SMPP gateway that accepts any account, with the faults requested, and print a summary at the end.

    \b
    Example:
      kestrelspar standin gateway --limit 50 --receipts 2s --lost 0.05 --cuts 0.01
    """
    from kestrelspar.cli.smpp import listener
    from kestrelspar.standins.gateway import Behaviour, Gateway

    host, port = parse_value(listen, address(""), "")
    loop = Loop()
    server = Gateway(
        loop,
        listener((host, port)),
        Behaviour(
            limit, window, latency, -1 if receipts is None else receipts, lost, undelivered, refuses, silent, cuts
        ),
        seed,
    )
    click.echo(f"gateway on {host}:{port}")
    run_for(loop, span)
    answers = ", ".join(f"{count} {name}" for name, count in server.answers.most_common()) or "nothing"
    click.echo(
        f"accepted {server.accepted.total()} messages ({len(server.accepted)} different texts); answered {answers}"
    )
