"""Endpoint lists from a registry: a list of 20,000 endpoints, 1,000 changes a second, and drains under load.

    python -m benchmarks.registry [--endpoints 20000] [--churn-for 60]

The stand-in registry is a separate process, so that measured pauses and memory are only those of the courier.
"""

from __future__ import annotations

import argparse
import os
import resource
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from kestrelspar.core.courier import Courier
from kestrelspar.core.messages import Answer, End, Message
from kestrelspar.http.nexthop import HttpCarrier
from kestrelspar.journal import Journal
from kestrelspar.registry.follower import Follower
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop
from kestrelspar.settings import schema
from kestrelspar.settings.resolve import Registry
from kestrelspar.standins import platform
from kestrelspar.standins.registry import Member, Store
from kestrelspar.standins.server import free_listener
from snowlock import settings
from snowlock.interface import EndpointState

PREFIX = "/kestrelspar/endpoints/"


class TimedLoop(Loop):
    """A loop that records its longest turn, from the return of poll to the turn's end."""

    longest_turn = 0  # microseconds

    def turn(self) -> None:
        """Run one turn; its time counts from the return of poll."""
        super().turn()
        self.longest_turn = max(self.longest_turn, self.clock() - self.now)


class CountingSender:
    """A sender side that counts the messages that reached a final state."""

    name = "http"
    end_count = 0

    def recover(self, message: Message) -> bool:
        """Recover no message."""
        return False

    def report_end(self, message: Message, end: End) -> None:
        """Count a message that reached its final state."""
        self.end_count += 1


def rss() -> int:
    """Return the resident memory of this process in KB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize() // 1024


def make_courier(loop: Loop, state_directory: str) -> tuple[Courier, HttpCarrier, BufferPool]:
    """Create a courier without front ends."""
    parsed_settings = settings.read(platform.settings(slots=64, max_open=1_000))
    buffers = BufferPool(256)
    courier = Courier(loop, parsed_settings, 1, Journal(state_directory, 20_000_000))
    courier.senders["http"] = CountingSender()
    return courier, HttpCarrier(loop, buffers, parsed_settings, 100), buffers


def registry_section(registry_type: str, *ports: int) -> Registry:
    """Return a registry section of the settings, with servers at these ports."""
    return Registry(
        "bench",
        schema.Registry(
            type=registry_type, servers=tuple(("127.0.0.1", port) for port in ports), prefix=PREFIX, keep=2_000_000
        ),
    )


def free_port() -> int:
    """Return a port that was free just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def start_stand_in(port: int, *arguments: str) -> subprocess.Popen[bytes]:
    """Start the stand-in registry and wait until it listens."""
    process = subprocess.Popen(
        [sys.executable, "-m", "kestrelspar", "standin", "registry", "--listen", f"127.0.0.1:{port}", *arguments],
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    process.stdout.readline()
    time.sleep(0.5)
    return process


def quantile(durations: list[int], share: float) -> str:
    """Format the ``share`` quantile of durations, given in microseconds, in milliseconds."""
    return f"{sorted(durations)[int(len(durations) * share)] / MS:.1f} ms" if durations else "-"


def measure_listing(registry_type: str, endpoints: int) -> list[tuple[str, str]]:
    """Measure time, memory and longest pause of reading the complete list, and the longest pause of saving it."""
    port, loop = free_port(), TimedLoop()
    process = start_stand_in(port, "--fill", str(endpoints))
    try:
        with tempfile.TemporaryDirectory() as state_directory:
            courier, carrier, buffers = make_courier(loop, state_directory)
            memory_before, started_at = rss(), loop.now
            follower = Follower(
                loop, buffers, courier, carrier, registry_section(registry_type, port), state_directory, 1
            )
            follower.start()
            while not follower.sync.listed:
                loop.turn()
            duration, memory, longest_pause = loop.now - started_at, rss() - memory_before, loop.longest_turn
            loop.longest_turn = 0
            deadline = loop.now + 12 * SECOND  # the list is saved during this time
            while loop.now < deadline:
                loop.turn()
            saved_bytes = sum(file.stat().st_size for file in Path(state_directory).glob("*.list"))
            assert len(courier.map.hops) == endpoints
            return [
                (f"{registry_type}: complete list", f"{duration / SECOND:.2f} s"),
                (f"{registry_type}: memory", f"{memory / 1024:.1f} MB"),
                (f"{registry_type}: memory per endpoint", f"{memory * 1024 / endpoints:.0f} bytes"),
                (f"{registry_type}: longest turn while listing", f"{longest_pause / MS:.1f} ms"),
                (f"{registry_type}: longest turn later, while the list is saved", f"{loop.longest_turn / MS:.1f} ms"),
                (f"{registry_type}: saved list", f"{saved_bytes / 1024:.0f} KB"),
            ]
    finally:
        process.kill()
        process.wait()


def measure_churn(registry_type: str, endpoints: int, rate: int, seconds: int) -> list[tuple[str, str]]:
    """Measure the time from the read that received a change until the controller has it, and the longest turn."""
    port, loop = free_port(), TimedLoop()
    process = start_stand_in(port, "--fill", str(endpoints), "--churn", str(rate))
    delays: list[int] = []
    try:
        with tempfile.TemporaryDirectory() as state_directory:
            courier, carrier, buffers = make_courier(loop, state_directory)
            follower = Follower(
                loop, buffers, courier, carrier, registry_section(registry_type, port), state_directory, 1
            )
            read_at, fill, apply_update = [0], Stream.fill, courier.apply_map_update

            def timed_fill(self: Stream, deadline: int | None) -> None:
                fill(self, deadline)
                read_at[0] = loop.clock()

            def timed_update(source: str, hops: Any, *arguments: Any, **keywords: Any) -> None:
                apply_update(source, hops, *arguments, **keywords)
                delays.extend([loop.clock() - read_at[0]] * len(hops) if read_at[0] else [])

            follower.start()
            while not follower.sync.listed:
                loop.turn()
            Stream.fill, courier.apply_map_update = timed_fill, timed_update  # type: ignore[method-assign]
            loop.longest_turn, cpu, started_at = 0, time.process_time(), loop.now
            while loop.now < started_at + seconds * SECOND:
                loop.turn()
            Stream.fill = fill  # type: ignore[method-assign]
            cpu = time.process_time() - cpu
            return [
                (f"{registry_type}: changes received in {seconds} s", str(len(delays))),
                (f"{registry_type}: read to controller, median", quantile(delays, 0.5)),
                (f"{registry_type}: read to controller, 99%", quantile(delays, 0.99)),
                (f"{registry_type}: longest turn", f"{loop.longest_turn / MS:.1f} ms"),
                (f"{registry_type}: CPU", f"{100 * cpu / seconds:.0f} % of a core"),
            ]
    finally:
        process.kill()
        process.wait()


def measure_drain(rounds: int) -> list[tuple[str, str]]:
    """Measure the time from the turn that reads a drain to the last new call to its endpoint; 200 messages a second."""
    loop = TimedLoop()
    delays: list[int] = []
    with tempfile.TemporaryDirectory() as state_directory:
        courier, carrier, buffers = make_courier(loop, state_directory)
        call_record = platform.CallRecord()
        hops = [platform.NextHop(loop, call_record, n, platform.Behaviour(5 * MS, 10 * MS)) for n in range(2)]
        store = Store()
        listener = free_listener()
        member = Member(loop, store, listener)
        last_calls: dict[bytes, int] = {}
        attempt = carrier.attempt

        def recorded_attempt(message: Any, hop: Any, deadline: int, guard: Any) -> Any:
            def recorded_leave() -> bool:
                may_leave = guard()
                if may_leave:
                    last_calls[hop.endpoint.id] = loop.clock()
                return bool(may_leave)

            return attempt(message, hop, deadline, recorded_leave)

        carrier.attempt = recorded_attempt  # type: ignore[method-assign]
        follower = Follower(
            loop, buffers, courier, carrier, registry_section("etcd", member.address[1]), state_directory, 1
        )
        follower.start()

        def endpoint_json(name: int, status: str) -> bytes:
            return (f'{{"name":"{name}","address":"{hops[name].address}","group":1,"status":"{status}"}}').encode()

        def send_load() -> None:
            number = 0
            while True:
                loop.sleep(5 * MS)
                number += 1
                message = Message(f"m{number}", 0, 0, 1, loop.now + 4 * SECOND, b"x", courier.senders["http"])
                loop.spawn(courier.submit, message, lambda answer: isinstance(answer, Answer))

        def both_ready() -> bool:
            states = [hop.endpoint.state for hop in courier.map.hops.values()]
            return states == [EndpointState.READY] * 2

        for n in range(2):
            store.put(f"{PREFIX}{n}", endpoint_json(n, "active"))
        while not both_ready():
            loop.turn()
        loop.spawn(send_load)
        for _ in range(rounds):
            stop_at = loop.now + SECOND // 2
            while loop.now < stop_at:
                loop.turn()
            drained = max(last_calls, key=last_calls.__getitem__)
            store.put(f"{PREFIX}{drained.decode()}", endpoint_json(int(drained), "leaving"))
            while courier.map.hops[drained].endpoint.state is EndpointState.READY:
                loop.turn()
            read_at, stop_at = loop.now, loop.now + SECOND // 2  # now: the start of the turn that read the change
            while loop.now < stop_at:
                loop.turn()
            delays.append(max(0, last_calls[drained] - read_at))
            store.put(f"{PREFIX}{drained.decode()}", endpoint_json(int(drained), "active"))
            while not both_ready():
                loop.turn()
    return [
        (
            f"drains under 200 messages a second: {rounds}, maximum time from the read to the last new call",
            quantile(delays, 0.999),  # the maximum, with fewer than 1,000 rounds
        )
    ]


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", type=int, default=20_000)
    parser.add_argument("--churn", type=int, default=1_000)
    parser.add_argument("--churn-for", type=int, default=60)
    options = parser.parse_args()
    logs.set_up(level="error", stream=open(os.devnull, "w"))  # noqa: SIM115
    rows = []
    for registry_type in ("etcd", "consul"):
        rows += measure_listing(registry_type, options.endpoints)
    rows += measure_churn("etcd", options.endpoints, options.churn, options.churn_for)
    rows += measure_churn("consul", 1_000, 20, min(10, options.churn_for))
    rows += measure_drain(20)
    for name, value in rows:
        print(f"{name:<90} {value}")


if __name__ == "__main__":
    main()
