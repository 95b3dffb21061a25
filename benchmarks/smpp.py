"""SMPP compared with HTTP: cost of a submission, memory of a session, and a burst against a gateway's limit.

    python -m benchmarks.smpp [--rate 150] [--for 8] [--sessions 200] [--clump 1000] [--limit 50 100]

The program is started as the platform starts it, with the SMPP front end enabled. This process runs the stand-in
servers around it and the clients.
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
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from kestrelspar.smpp.conform import Credentials
from kestrelspar.smpp.pdu import Command, Pdu
from kestrelspar.smpp.probe import Esme
from kestrelspar.standins import platform
from kestrelspar.standins.gateway import Behaviour, Gateway
from kestrelspar.standins.server import free_listener

HOPS, CLIENTS, WINDOW = 4, 8, 10
SERVICES = {"reading": "RD", "work-order": "WO", "payment": "PAY"}
GATEWAY_DESTINATION = 900


class Environment:
    """The stand-in servers, and the program between them."""

    def __init__(self, limit: int = 0) -> None:
        self.loop, self.buffers, self.call_record = Loop(), BufferPool(2048), platform.CallRecord()
        self.hops = [
            platform.NextHop(self.loop, self.call_record, n, platform.Behaviour(10 * MS, 20 * MS)) for n in range(HOPS)
        ]
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
        gateway_listener = free_listener()
        self.gateway = Gateway(self.loop, gateway_listener, Behaviour(limit=limit))
        self.gateway_address: tuple[str, int] = gateway_listener.getsockname()
        with free_listener() as http_listener, free_listener() as smpp_listener:
            self.http: tuple[str, int] = http_listener.getsockname()
            self.smpp: tuple[str, int] = smpp_listener.getsockname()
        self.pid = 0

    @contextmanager
    def program(self, slots: int = 16, max_open: int = 400, sessions: int = 300, deadline: int = 16) -> Iterator[None]:
        """Run the program until the block ends; ``deadline``, in seconds, is that of messages of every class."""
        with tempfile.TemporaryDirectory() as state_directory:
            config: dict[str, Any] = platform.configuration(
                f"127.0.0.1:{self.http[1]}", self.discovery.address, state_directory
            )
            config["settings"] = platform.settings(slots, max_open)
            for message_class in config["settings"]["classes"]:
                message_class["deadline_ns"] = deadline * 1_000_000_000
            config["known"]["endpoints"] = self.rows
            config["limits"]["sockets"] = 1024
            Path(state_directory, "config.json").write_text(ujson.dumps(config))
            Path(state_directory, "pw").write_text("secret")
            Path(state_directory, "pw").chmod(0o600)
            routes = "".join(f"    destination 37{n} {n}\n" for n in range(HOPS))
            services = "".join(f"    service-type {short} {name}\n" for name, short in SERVICES.items())
            Path(state_directory, "k.conf").write_text(
                f"smpp\n    enabled on\n    listen 127.0.0.1:{self.smpp[1]}\n    most-sessions {sessions}\n"
                f"    destination 900 {GATEWAY_DESTINATION}\n{routes}{services}"
                "smpp-account acme\n    password-file pw\n    message-class reading\n    window 1000\n"
                f"smpp-gateway gate\n    address 127.0.0.1:{self.gateway_address[1]}\n"
                f"    destination {GATEWAY_DESTINATION}\n    system-id us\n"
                f"    password-file pw\n    window 20\n    throttle-wait 100ms\n"
            )
            with open(Path(state_directory, "log"), "wb") as log:
                process = subprocess.Popen(
                    [sys.executable, "-m", "kestrelspar"],
                    cwd=Path(__file__).parent.parent,
                    stdout=log,
                    stderr=log,
                    env={
                        **os.environ,
                        "RELAY_CONFIG": str(Path(state_directory, "config.json")),
                        "KESTRELSPAR_CONF": str(Path(state_directory, "k.conf")),
                    },
                )
            self.pid = process.pid
            try:
                self.wait(2 * SECOND)
                yield
            finally:
                process.kill()
                process.wait()

    def wait(self, duration: int, is_done: Callable[[], bool] = lambda: False) -> None:
        """Run the loop for ``duration``, or until ``is_done`` returns true."""
        deadline = self.loop.now + duration
        while self.loop.now < deadline and not is_done():
            self.loop.turn()

    def stream(self, address: tuple[str, int]) -> Stream:
        """Connect to one of the program's addresses."""
        sock = connect(self.loop, address, self.loop.now + SECOND)
        assert sock is not None
        return Stream(self.loop, sock, self.buffers)

    def esme(self, command: Command = Command.BIND_TRANSMITTER) -> Esme:
        """Return an ESME with a bound session."""
        client = Esme(self.loop, self.stream(self.smpp))
        client.bind(command, Credentials("acme", "secret"), 2 * SECOND)
        return client


def submit_sm(number: int, destination: str) -> Pdu:
    """Return the PDU that submits over SMPP what ``http_request`` submits over HTTP: 200 bytes, classes in turn."""
    return Pdu(
        Command.SUBMIT_SM,
        fields={
            "service_type": SERVICES[platform.CLASSES[number % 3]],
            "source_addr": "100",
            "destination_addr": destination,
        },
        message=b"x" * 200,
    )


def http_request(client_index: int, number: int, destination: int) -> bytes:
    """Return the HTTP request that submits a message."""
    message_class, name = platform.CLASSES[number % 3], f"{client_index}-{number}-{destination}"
    return parser.request(
        "POST",
        f"/{message_class}",
        "bench",
        {
            "X-Trace-Id": name,
            "X-Qos": message_class,
            "X-Expires-In": "8000m",
            "X-Route-To": f"dest={destination}",
            "Idempotency-Key": name,
        },
        b"x" * 200,
    )


def compare_front_ends(rate: int, duration: int) -> None:
    """Print the CPU per message at a steady rate, and the maximum submissions per second, for each front end, twice."""
    print(f"{'front':<8}{'rate':>8}{'success':>8}{'a second':>10}{'CPU per message':>16}")
    for steady in (True, False):
        for front_end in ("HTTP", "SMPP", "HTTP", "SMPP"):
            environment, accepted_count, submitted = Environment(), [0], [0]
            with environment.program():

                def client(
                    client_index: int,
                    started_at: int,
                    environment: Environment = environment,
                    accepted_count: list[int] = accepted_count,
                    submitted: list[int] = submitted,
                    front_end: str = front_end,
                    steady: bool = steady,
                ) -> None:
                    number, stream = 0, environment.stream(environment.http) if front_end == "HTTP" else None
                    esme = environment.esme() if stream is None else None
                    try:
                        while environment.loop.now < started_at + duration * SECOND:
                            if steady:
                                environment.loop.sleep(
                                    max(0, started_at + number * CLIENTS * SECOND // rate - environment.loop.now)
                                )
                            if stream is not None:
                                stream.write(http_request(client_index, number, number % HOPS), None)
                                accepted = parser.read_head(stream, None, response=True).status == 202
                            else:
                                assert esme is not None
                                accepted = esme.request(submit_sm(number, f"37{number % HOPS}"), 5 * SECOND).status == 0
                            accepted_count[0] += accepted
                            submitted[0] += 1
                            number += 1
                    except (ConnectionClosedError, DeadlineExceededError):
                        pass

                idle, started = process_usage(environment.pid), time.monotonic()
                for client_index in range(CLIENTS):
                    environment.loop.spawn(client, client_index, environment.loop.now)
                environment.wait((duration + 1) * SECOND)
                busy = process_usage(environment.pid)
            seconds = time.monotonic() - started - 1
            print(
                f"{front_end:<8}{rate if steady else 'max':>8}{accepted_count[0]:>8}{submitted[0] / seconds:>10.0f}"
                f"{(busy[0] - idle[0]) * 1e6 / max(1, submitted[0]):>13.0f} us"
            )


def measure_session_memory(count: int) -> None:
    """Print the memory of ``count`` bound sessions, idle and after one message each."""
    environment = Environment()
    with environment.program(sessions=count + 10):
        memory_before = process_usage(environment.pid)[1]
        bound_sessions: list[Esme] = []

        def bind() -> None:
            for _ in range(count):
                bound_sessions.append(environment.esme(Command.BIND_TRANSCEIVER))

        environment.loop.spawn(bind)
        environment.wait(20 * SECOND, lambda: len(bound_sessions) == count)
        environment.wait(SECOND)
        memory_bound = process_usage(environment.pid)[1]
        answered = [0]

        def submit_one(esme: Esme, number: int) -> None:
            esme.request(submit_sm(number, f"37{number % HOPS}"), 5 * SECOND)
            answered[0] += 1

        for number, esme in enumerate(bound_sessions):
            environment.loop.spawn(submit_one, esme, number)
        environment.wait(20 * SECOND, lambda: answered[0] == count)
        environment.wait(2 * SECOND)
        memory_after = process_usage(environment.pid)[1]
    print(
        f"{len(bound_sessions)} sessions: {(memory_bound - memory_before) / len(bound_sessions):.1f} KB each, "
        f"{(memory_after - memory_before) / len(bound_sessions):.1f} KB after a message each"
    )


def measure_burst(count: int, limit: int) -> None:
    """Submit a burst at once and print how long the gateway takes to get all of it, against what its limit allows."""
    environment = Environment(limit)
    with environment.program(slots=32, max_open=2 * count, deadline=120):
        accepted = [0]

        def submit_all() -> None:
            esme = environment.esme()
            for number in range(count):
                response = esme.request(
                    Pdu(
                        Command.SUBMIT_SM,
                        fields={"service_type": "WO", "source_addr": "100", "destination_addr": "9001"},
                        message=b"%d" % number,
                    ),
                    5 * SECOND,
                )
                accepted[0] += response.status == 0

        environment.loop.spawn(submit_all)
        environment.wait(60 * SECOND, lambda: accepted[0] > 0 and environment.gateway.accepted.total() >= count)
        gateway = environment.gateway
    seconds = (gateway.last_accepted_at - gateway.first_accepted_at) / SECOND
    min_seconds = (count - limit) / limit  # the messages of the first second may be sent at once
    refused = gateway.answers["ESME_RTHROTTLED"]
    print(
        f"burst of {count}, {limit} within a second: {gateway.accepted.total()} in {seconds:.2f} s; "
        f"{count / limit:.1f} s at its rate ({seconds * limit / count:.2f}), at least {min_seconds:.1f} s; refused "
        f"{refused} ({refused / count:.1%}), duplicates {gateway.accepted.total() - len(gateway.accepted)}"
    )


def main() -> None:
    """Print the figures."""
    argument_parser = argparse.ArgumentParser(description=__doc__)
    argument_parser.add_argument("--rate", type=int, default=150)
    argument_parser.add_argument("--for", dest="span", type=int, default=8)
    argument_parser.add_argument("--sessions", type=int, default=200)
    argument_parser.add_argument("--clump", type=int, default=1000)
    argument_parser.add_argument("--limit", type=int, nargs="*", default=[50, 100])
    options = argument_parser.parse_args()
    for limit in options.limit:
        measure_burst(options.clump, limit)
    measure_session_memory(options.sessions)
    compare_front_ends(options.rate, options.span)


if __name__ == "__main__":
    main()
