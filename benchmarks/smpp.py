"""SMPP beside HTTP: what a hand-in costs, what a session takes, and a clump against a gateway's limit.

    python -m benchmarks.smpp [--rate 150] [--for 8] [--sessions 200] [--clump 1000] [--limit 50 100]

The program is started as the platform does it, with the SMPP front on, between stand-ins in this process.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import ujson

from benchmarks.program import process_usage
from kestrelspar.http import parser
from kestrelspar.runtime.buffers import BufferPool, Closed, Late, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from kestrelspar.smpp.conform import Account
from kestrelspar.smpp.pdu import Command, Pdu
from kestrelspar.smpp.probe import Esme
from kestrelspar.standins import platform
from kestrelspar.standins.gateway import Gateway, Manners
from kestrelspar.standins.server import free_listener

HOPS, CLIENTS, WINDOW = 4, 8, 10
SERVICES = {"reading": "RD", "work-order": "WO", "payment": "PAY"}
GATE = 900


class Bench:
    """The stand-ins, and the program between them."""

    def __init__(self, limit: int = 0) -> None:
        self.loop, self.buffers, self.seen = Loop(), BufferPool(2048), platform.Seen()
        self.hops = [platform.NextHop(self.loop, self.seen, n, platform.Manners(10 * MS, 20 * MS)) for n in range(HOPS)]
        self.rows = [
            {
                "name": f"hop-{n}",
                "address": hop.address,
                "zone": "room-a",
                "type": "utility",
                "group": n,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
            for n, hop in enumerate(self.hops)
        ]
        self.discovery = platform.Discovery(self.loop, self.rows)
        gate = free_listener()
        self.gateway = Gateway(self.loop, gate, Manners(limit=limit))
        self.gate: tuple[str, int] = gate.getsockname()
        with free_listener() as one, free_listener() as other:
            self.http: tuple[str, int] = one.getsockname()
            self.smpp: tuple[str, int] = other.getsockname()
        self.pid = 0

    @contextmanager
    def program(self, slots: int = 16, most_open: int = 400, sessions: int = 300, deadline: int = 16) -> Iterator[None]:
        """The program, from its start to its end."""
        with tempfile.TemporaryDirectory() as folder:
            config: dict[str, Any] = platform.configuration(f"127.0.0.1:{self.http[1]}", self.discovery.address, folder)
            config["settings"] = platform.settings(slots, most_open)
            for cls in config["settings"]["classes"]:
                cls["deadline_ns"] = deadline * 1_000_000_000
            config["known"]["endpoints"] = self.rows
            config["limits"]["sockets"] = 1024
            Path(folder, "config.json").write_text(ujson.dumps(config))
            Path(folder, "pw").write_text("secret")
            Path(folder, "pw").chmod(0o600)
            routes = "".join(f"    destination 37{n} {n}\n" for n in range(HOPS))
            services = "".join(f"    service-type {short} {name}\n" for name, short in SERVICES.items())
            Path(folder, "k.conf").write_text(
                f"smpp\n    enabled on\n    listen 127.0.0.1:{self.smpp[1]}\n    most-sessions {sessions}\n"
                f"    destination 900 {GATE}\n{routes}{services}"
                "smpp-account acme\n    password-file pw\n    message-class reading\n    window 1000\n"
                f"smpp-gateway gate\n    address 127.0.0.1:{self.gate[1]}\n    destination {GATE}\n    system-id us\n"
                f"    password-file pw\n    window 20\n    throttle-wait 100ms\n"
            )
            with open(Path(folder, "log"), "wb") as log:
                process = subprocess.Popen(
                    [sys.executable, "-m", "kestrelspar"],
                    cwd=Path(__file__).parent.parent,
                    stdout=log,
                    stderr=log,
                    env={
                        **os.environ,
                        "RELAY_CONFIG": str(Path(folder, "config.json")),
                        "KESTRELSPAR_CONF": str(Path(folder, "k.conf")),
                    },
                )
            self.pid = process.pid
            try:
                self.wait(2 * SECOND)
                yield
            finally:
                process.kill()
                process.wait()

    def wait(self, span: int, done: Callable[[], bool] = lambda: False) -> None:
        """Let so much time pass, or less when it is done."""
        until = self.loop.now + span
        while self.loop.now < until and not done():
            self.loop.turn()

    def stream(self, address: tuple[str, int]) -> Stream:
        """A connection to the program."""
        sock = connect(self.loop, address, self.loop.now + SECOND)
        assert sock is not None
        return Stream(self.loop, sock, self.buffers)

    def esme(self, how: Command = Command.BIND_TRANSMITTER) -> Esme:
        """A bound contractor."""
        made = Esme(self.loop, self.stream(self.smpp))
        made.bind(how, Account("acme", "secret"), 2 * SECOND)
        return made


def submit(number: int, to: str) -> Pdu:
    """The same message over SMPP as ``request`` makes over HTTP."""
    return Pdu(
        Command.SUBMIT_SM,
        fields={"service_type": SERVICES[platform.CLASSES[number % 3]], "source_addr": "100", "destination_addr": to},
        message=b"x" * 200,
    )


def request(place: int, number: int, dest: int) -> bytes:
    """A hand-in over HTTP."""
    cls, name = platform.CLASSES[number % 3], f"{place}-{number}-{dest}"
    return parser.request(
        "POST",
        f"/{cls}",
        "bench",
        {
            "X-Trace-Id": name,
            "X-Qos": cls,
            "X-Expires-In": "8000m",
            "X-Route-To": f"dest={dest}",
            "Idempotency-Key": name,
        },
        b"x" * 200,
    )


def fronts(rate: int, span: int) -> None:
    """CPU a message at a steady rate, and hand-ins a second at the most, over each front in turn."""
    print(f"{'front':<8}{'rate':>8}{'taken':>8}{'a second':>10}{'CPU a message':>16}")
    for steady in (True, False):
        for front in ("HTTP", "SMPP", "HTTP", "SMPP"):
            bench, answers, tried = Bench(), [0], [0]
            with bench.program():

                def client(
                    place: int,
                    begin: int,
                    bench: Bench = bench,
                    answers: list[int] = answers,
                    tried: list[int] = tried,
                    front: str = front,
                    steady: bool = steady,
                ) -> None:
                    number, stream = 0, bench.stream(bench.http) if front == "HTTP" else None
                    esme = bench.esme() if stream is None else None
                    try:
                        while bench.loop.now < begin + span * SECOND:
                            if steady:
                                bench.loop.sleep(max(0, begin + number * CLIENTS * SECOND // rate - bench.loop.now))
                            if stream is not None:
                                stream.write(request(place, number, number % HOPS), None)
                                taken = parser.read_head(stream, None, response=True).status == 202
                            else:
                                assert esme is not None
                                taken = esme.ask(submit(number, f"37{number % HOPS}"), 5 * SECOND).status == 0
                            answers[0] += taken
                            tried[0] += 1
                            number += 1
                    except (Closed, Late):
                        pass

                idle, begun = process_usage(bench.pid), time.monotonic()
                for place in range(CLIENTS):
                    bench.loop.spawn(client, place, bench.loop.now)
                bench.wait((span + 1) * SECOND)
                busy = process_usage(bench.pid)
            took = time.monotonic() - begun - 1
            print(
                f"{front:<8}{rate if steady else 'most':>8}{answers[0]:>8}{tried[0] / took:>10.0f}"
                f"{(busy[0] - idle[0]) * 1e6 / max(1, tried[0]):>13.0f} us"
            )


def sessions(count: int) -> None:
    """Memory of so many bound sessions, silent and after one message each."""
    bench = Bench()
    with bench.program(sessions=count + 10):
        before = process_usage(bench.pid)[1]
        kept: list[Esme] = []

        def bind() -> None:
            for _ in range(count):
                kept.append(bench.esme(Command.BIND_TRANSCEIVER))

        bench.loop.spawn(bind)
        bench.wait(20 * SECOND, lambda: len(kept) == count)
        bench.wait(SECOND)
        bound = process_usage(bench.pid)[1]
        done = [0]

        def one(esme: Esme, number: int) -> None:
            esme.ask(submit(number, f"37{number % HOPS}"), 5 * SECOND)
            done[0] += 1

        for number, esme in enumerate(kept):
            bench.loop.spawn(one, esme, number)
        bench.wait(20 * SECOND, lambda: done[0] == count)
        bench.wait(2 * SECOND)
        after = process_usage(bench.pid)[1]
    print(
        f"{len(kept)} sessions: {(bound - before) / len(kept):.1f} KB each, "
        f"{(after - before) / len(kept):.1f} KB after a message each"
    )


def clump(count: int, limit: int) -> None:
    """A clump handed in at once, until the gateway has it all: against what its limit allows."""
    bench = Bench(limit)
    with bench.program(slots=32, most_open=2 * count, deadline=120):
        taken = [0]

        def hand_in() -> None:
            esme = bench.esme()
            for number in range(count):
                answer = esme.ask(
                    Pdu(
                        Command.SUBMIT_SM,
                        fields={"service_type": "WO", "source_addr": "100", "destination_addr": "9001"},
                        message=b"%d" % number,
                    ),
                    5 * SECOND,
                )
                taken[0] += answer.status == 0

        bench.loop.spawn(hand_in)
        bench.wait(60 * SECOND, lambda: taken[0] > 0 and bench.gateway.took.total() >= count)
        gate = bench.gateway
    took = (gate.last - gate.first) / SECOND
    least = (count - limit) / limit  # the first second's worth may go at once
    refused = gate.answers["ESME_RTHROTTLED"]
    print(
        f"clump of {count}, {limit} within a second: {gate.took.total()} in {took:.2f} s; {count / limit:.1f} s at "
        f"its rate ({took * limit / count:.2f}), {least:.1f} s at the least; refused {refused} "
        f"({refused / count:.1%}), twice {gate.took.total() - len(gate.took)}"
    )


def main() -> None:
    """Print the figures."""
    parser_ = argparse.ArgumentParser(description=__doc__)
    parser_.add_argument("--rate", type=int, default=150)
    parser_.add_argument("--for", dest="span", type=int, default=8)
    parser_.add_argument("--sessions", type=int, default=200)
    parser_.add_argument("--clump", type=int, default=1000)
    parser_.add_argument("--limit", type=int, nargs="*", default=[50, 100])
    told = parser_.parse_args()
    for limit in told.limit:
        clump(told.clump, limit)
    sessions(told.sessions)
    fronts(told.rate, told.span)


if __name__ == "__main__":
    main()
