"""``kestrelspar standin``: stand-ins for outside systems, to try things by hand."""

from __future__ import annotations

import random
import socket

import click

from kestrelspar.cli.main import CommandError
from kestrelspar.cli.units import DURATION, run_for
from kestrelspar.core import entries
from kestrelspar.runtime.loop import MS, SECOND, Loop
from kestrelspar.settings.kinds import address, value
from kestrelspar.standins.registry import Member, Store, rough


@click.group("standin")
def verb() -> None:
    """Start a stand-in for an outside system, on loopback, to try things by hand."""


@verb.command()
@click.option("--listen", default="127.0.0.1:2379", show_default=True, help="The first member's address.")
@click.option(
    "--members",
    type=click.IntRange(1, 9),
    default=1,
    show_default=True,
    help="Members of one store, on the ports from there on.",
)
@click.option(
    "--schedule",
    type=click.Choice(["calm", "rough"]),
    default="calm",
    show_default=True,
    help="rough: compacts, drops and cuts connections, falls silent, lags, lapses leases, expires tokens.",
)
@click.option("--every", type=DURATION, default="2s", show_default=True, help="How often something goes wrong.")
@click.option("--seed", type=int, default=1, show_default=True, help="For the schedule.")
@click.option("--fill", type=click.IntRange(0, 100_000), default=0, help="Begin with so many entries.")
@click.option("--prefix", default="/kestrelspar/endpoints/", show_default=True, help="Where --fill puts them.")
@click.option("--churn", type=click.IntRange(0, 10_000), default=0, help="Change so many entries a second.")
@click.option("--for", "span", type=DURATION, help="End by itself after so long.")
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
    """A registry that speaks etcd's JSON gateway and Consul's KV, both on each port.

    \b
    Example:
      kestrelspar standin registry --listen 127.0.0.1:2379 --members 2 --schedule rough --seed 7
    """
    host, first = value(listen, address(""), "")
    loop, store, served = Loop(), Store(), []
    for place in range(members):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, first + place))
        except OSError as error:
            raise CommandError(f"{host}:{first + place}: {error}") from error
        sock.listen(512)
        sock.setblocking(False)
        served.append(Member(loop, store, sock, limit_fragment=500))
        click.echo(f"registry member on {host}:{first + place}")
    rows = [
        entries.Entry(name=f"hop-{n}", address=f"127.0.0.1:{20_000 + n % 10_000}", group=n // 2) for n in range(fill)
    ]
    store.commit([(f"{prefix}{row.name}".encode(), entries.encode(row), 0) for row in rows])
    if schedule == "rough":
        loop.spawn(rough, loop, served, seed, every, click.echo)

    def lapse() -> None:
        while True:
            loop.sleep(SECOND)
            store.lapse(loop.now)

    def change() -> None:
        pick, begin, done = random.Random(seed), loop.now, 0
        while True:
            loop.sleep(10 * MS)
            due = (loop.now - begin) * churn // SECOND
            for row in [pick.choice(rows) for _ in range(due - done)]:
                row.weight = 1.0 + pick.randrange(1_000)
                store.put(prefix + row.name, entries.encode(row))
            done = due

    loop.spawn(lapse)
    if churn and rows:
        loop.spawn(change)
    run_for(loop, span)


@verb.command()
@click.option("--listen", default="127.0.0.1:2776", show_default=True, help="Its address.")
@click.option("--limit", type=click.IntRange(0, 100_000), default=0, help="Submits a second; beyond: ESME_RTHROTTLED.")
@click.option("--window", type=click.IntRange(0, 10_000), default=0, help="Out on a session; beyond: ESME_RMSGQFUL.")
@click.option("--latency", type=DURATION, default="5ms", show_default=True, help="How long an answer takes.")
@click.option("--receipts", type=DURATION, help="Receipts, so long after the answer.")
@click.option("--lost", type=click.FloatRange(0, 1), default=0.0, help="Share of receipts that never come.")
@click.option("--undelivered", type=click.FloatRange(0, 1), default=0.0, help="Share of receipts that say UNDELIV.")
@click.option("--refuses", type=click.FloatRange(0, 1), default=0.0, help="Share answered with ESME_RSYSERR.")
@click.option("--silent", type=click.FloatRange(0, 1), default=0.0, help="Share that gets no answer.")
@click.option("--cuts", type=click.FloatRange(0, 1), default=0.0, help="Share upon which the connection is cut.")
@click.option("--seed", type=int, default=1, show_default=True, help="For all shares.")
@click.option("--for", "span", type=DURATION, help="End by itself after so long.")
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
    """An SMPP gateway that takes any account, and goes wrong as told. Says at its end what it took.

    \b
    Example:
      kestrelspar standin gateway --limit 50 --receipts 2s --lost 0.05 --cuts 0.01
    """
    from kestrelspar.cli.smpp import listener
    from kestrelspar.standins.gateway import Gateway, Manners

    host, port = value(listen, address(""), "")
    loop = Loop()
    made = Gateway(
        loop,
        listener((host, port)),
        Manners(limit, window, latency, -1 if receipts is None else receipts, lost, undelivered, refuses, silent, cuts),
        seed,
    )
    click.echo(f"gateway on {host}:{port}")
    run_for(loop, span)
    answers = ", ".join(f"{count} {name}" for name, count in made.answers.most_common()) or "nothing"
    click.echo(f"took {made.took.total()} ({len(made.took)} different); answered {answers}")
