"""Slopes of one real courier: by endpoints in its lists and configuration, by open messages, by messages per second.

The courier is a process of its own, started as the platform starts it; stand-in servers and clients run in this
process, on loopback.
"""

from __future__ import annotations

import os
import random
import signal
import statistics
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import ujson

from benchmarks.program import (
    HOPS,
    NotMeasured,
    Program,
    WatchDiscovery,
    endpoint_row,
    run_for,
    run_task,
    running_courier,
    start_load,
    submit,
)
from benchmarks.slope import Slope
from kestrelspar.http.notices import Notices
from kestrelspar.journal import Journal
from kestrelspar.runtime.buffers import Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, clock
from kestrelspar.standins import platform

ENDPOINTS_PER_DESTINATION = 3
FIRST_NEW_DESTINATION = 1_000_000  # lowest number of the destinations that only changes of the list add
LIST_CHANGES_PER_RUN = 20  # half of them measure the cost, half the delay
CONFIG_CHANGES_PER_RUN = 3
LOAD_DURATION = 10 * SECOND
MESSAGE_LIFETIME = 3_600 * SECOND  # long enough that no open message expires during a run
BODY_BYTES = 200
MB = 1e6  # bytes
LISTED_SIZES = (1_000, 10_000, 50_000, 200_000)
FULL_LIST_SIZES = (1_000, 3_000, 10_000, 30_000)  # a courier reads lists of 4 MiB at most (watch.MAX_LINE_BYTES)


class Environment:
    """The stand-in servers that couriers are started with: next hops and discovery."""

    def __init__(self, seed: int, behaviour: platform.Behaviour) -> None:
        self.loop, self.call_record, self.random, self.seed = Loop(), platform.CallRecord(), random.Random(seed), seed
        self.hops = [platform.NextHop(self.loop, self.call_record, seed * HOPS + n, behaviour) for n in range(HOPS)]
        self.discovery = WatchDiscovery(self.loop, [])

    def rows(self, count: int, per_destination: int = ENDPOINTS_PER_DESTINATION) -> list[dict[str, Any]]:
        """Return ``count`` listed endpoints that share the addresses of a few next hops."""
        return [endpoint_row(n, self.hops[n % HOPS].address, n // per_destination) for n in range(count)]

    @contextmanager
    def courier(
        self, rows: list[dict[str, Any]], state_directory: str | None = None, **options: Any
    ) -> Iterator[Program]:
        """Run a courier whose configuration lists these endpoints (``known``), until the block ends.

        ``options`` are further keys of the configuration. Without ``state_directory`` a temporary one is used.
        """
        with (
            tempfile.TemporaryDirectory() as own_directory,
            running_courier(
                self.loop,
                state_directory or own_directory,
                self.discovery.address,
                rows,
                seed=str(self.seed),
                **options,
            ) as started,
        ):
            yield started


def _fast_environment(run: int) -> Environment:
    """Return an environment whose next hops answer after 10 to 30 ms."""
    return Environment(run, platform.Behaviour(10 * MS, 20 * MS))


def measure_listed(size: int, run: int) -> dict[str, float]:
    """Measure a start with ``size`` endpoints listed in the configuration, compared with a start with none."""
    environment = _fast_environment(run)
    with environment.courier([]) as courier:
        courier.wait_ready()
        courier.wait_idle()
        empty_memory = courier.memory
    with environment.courier(environment.rows(size)) as courier:
        cpu, wall = courier.wait_ready()
        courier.wait_idle()
        memory = courier.memory
    return {"memory": memory / MB, "memory-each": (memory - empty_memory) / size, "start-cpu": cpu, "start-wall": wall}


def measure_list_change(size: int, run: int) -> dict[str, float]:
    """Move one endpoint after another to a destination that was not listed before; discovery sends only the change."""
    return _measure_list_changes(size, run, snapshot=False)


def measure_full_list(size: int, run: int) -> dict[str, float]:
    """Move endpoints as ``measure_list_change`` does, but discovery sends its full list for each change."""
    return _measure_list_changes(size, run, snapshot=True)


def _measure_list_changes(size: int, run: int, snapshot: bool) -> dict[str, float]:
    environment = _fast_environment(run)
    courier_costs, wire_bytes, discovery_costs, delays = [], [], [], []
    with environment.courier(environment.rows(size)) as courier:
        courier.wait_ready()
        courier.wait_idle()
        stream = run_task(environment.loop, courier.open_stream)
        rows = environment.rows(size)
        for change in range(LIST_CHANGES_PER_RUN):
            moved = environment.random.randrange(size)
            rows[moved]["group"] = destination = FIRST_NEW_DESTINATION + change
            update = rows if snapshot else [rows[moved]]
            if change % 2:  # odd changes measure the delay, even ones the cost
                delays.append(
                    run_task(environment.loop, _time_until_in_force, environment, stream, update, snapshot, destination)
                )
                continue
            cpu_before = courier.wait_idle()
            sent, cost = run_task(environment.loop, environment.discovery.send_update, update, snapshot)
            courier_costs.append(courier.wait_idle() - cpu_before)
            wire_bytes.append(sent)
            discovery_costs.append(cost)
        if courier.log_lines("map-break"):
            raise NotMeasured(f"the courier closed its watch at a line of {max(wire_bytes)} bytes")
    return {
        "in-force": statistics.median(delays) * 1e3,
        "hearer": statistics.median(courier_costs) * 1e6,
        "wire": statistics.mean(wire_bytes),
        "teller": statistics.median(discovery_costs) * 1e6,
    }


def _time_until_in_force(
    environment: Environment, stream: Stream, update: list[dict[str, Any]], snapshot: bool, destination: int
) -> float:
    """Send a change and submit messages for the destination that it lists; return the seconds until one is accepted."""
    started_at = time.monotonic()
    environment.discovery.send_update(update, snapshot)
    submitted = 0
    while submit(stream, f"{destination}-{submitted}", "reading", destination, b"x" * BODY_BYTES) != 202:
        submitted += 1
        if time.monotonic() > started_at + 10:
            raise NotMeasured("a change of the list was not in force after 10 s")
    return time.monotonic() - started_at


def _backlog_configuration(size: int) -> dict[str, Any]:
    """Return configuration options with which a courier keeps ``size`` open messages for the length of a run."""
    settings = platform.settings(max_open=2 * size)
    for message_class in settings["classes"]:
        message_class["deadline_ns"] = MESSAGE_LIFETIME * 1_000
    return {
        "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 10 + size * 4 // 1_000},
    }


def _write_journal(state_directory: str, size: int, generator: random.Random, options: dict[str, Any]) -> int:
    """Write a journal with ``size`` open messages, spread evenly over the next hops; return its size in bytes."""
    limits = options["limits"], options["settings"]["limits"]
    journal = Journal(state_directory, limits[0]["disk_mb"] * 1_000_000, limits[1]["max_attempts"])
    deadline = clock() + MESSAGE_LIFETIME
    for number in range(1, size + 1):
        text = ujson.dumps(
            {
                "sender": Notices.name,
                "trace": f"message-{number}",
                "dest": number % HOPS,
                "key": f"message-{number}",
                "class": "reading",
                "tenant": "",
                "extra": {},
            }
        )
        if not journal.record_accepted(number, deadline, text, generator.randbytes(BODY_BYTES)):
            raise NotMeasured(f"no room for open message {number} in a journal of {limits[0]['disk_mb']} MB")
    return (Path(state_directory) / "journal").stat().st_size


def measure_open_messages(size: int, run: int) -> dict[str, float]:
    """Measure a start with ``size`` open messages in the journal, compared with an empty one; no next hop answers."""
    environment = Environment(run, platform.Behaviour(silent=1.0))
    rows, options = environment.rows(HOPS, 1), _backlog_configuration(size)
    with environment.courier(rows, **options) as courier:
        courier.wait_ready()
        courier.wait_idle()
        empty_memory = courier.memory
    with tempfile.TemporaryDirectory() as state_directory:
        journal_bytes = _write_journal(state_directory, size, environment.random, options)
        with environment.courier(rows, state_directory, **options) as courier:
            cpu, wall = courier.wait_ready()
            courier.wait_idle()
            memory = courier.memory
            open_messages = ujson.loads(run_task(environment.loop, courier.get, "/stats")[1])["open"]
            if open_messages != size:
                raise NotMeasured(f"of {size} messages in the journal, {open_messages} are open")
    return {
        "memory": memory / MB,
        "memory-each": (memory - empty_memory) / size,
        "disk-each": journal_bytes / size,
        "start-cpu": cpu,
        "start-wall": wall,
    }


def measure_backlog_served(size: int, run: int) -> dict[str, float]:
    """Measure deliveries from ``size`` recovered messages until half are delivered or ``LOAD_DURATION`` has passed."""
    environment = _fast_environment(run)
    rows, options = environment.rows(HOPS, 1), _backlog_configuration(size)
    with tempfile.TemporaryDirectory() as state_directory:
        _write_journal(state_directory, size, environment.random, options)
        with environment.courier(rows, state_directory, **options) as courier:
            courier.wait_ready()
            cost, count, started_at = courier.cpu, len(environment.call_record.first_answered_at), time.monotonic()
            while (
                len(environment.call_record.first_answered_at) < count + size // 2
                and time.monotonic() < started_at + LOAD_DURATION / SECOND
            ):
                run_for(environment.loop, MS)
            cost, count, seconds = (
                courier.cpu - cost,
                len(environment.call_record.first_answered_at) - count,
                time.monotonic() - started_at,
            )
    if not count:
        raise NotMeasured(f"none of {size} open messages was delivered in {seconds:.1f} s")
    return {"cpu": cost * 1e6 / count, "rate": count / seconds}


def measure_messages_served(size: int, run: int) -> dict[str, float]:
    """Measure a load of ``size`` messages a second for ``LOAD_DURATION``; deliveries count until a second later."""
    environment = _fast_environment(run)
    with environment.courier(environment.rows(HOPS, 1)) as courier:
        courier.wait_ready()
        cpu_before = courier.wait_idle()
        statuses = start_load(courier, size, LOAD_DURATION, ("reading",))
        run_for(environment.loop, LOAD_DURATION + SECOND)
        cost = courier.cpu - cpu_before
    offered, delivered = LOAD_DURATION * size / SECOND, len(environment.call_record.first_answered_at)
    if not delivered:
        raise NotMeasured(f"nothing was delivered; submissions were answered {sorted(set(statuses))}")
    return {"cpu": cost * 1e6 / delivered, "taken": statuses.count(202) / offered, "delivered": delivered / offered}


def measure_configuration_change(size: int, run: int) -> dict[str, float]:
    """Measure reloads by SIGHUP: in a configuration of ``size`` endpoints, one endpoint and one limit changed."""
    environment = _fast_environment(run)
    rows = environment.rows(size)
    costs, delays = [], []
    with environment.courier(rows) as courier:
        courier.wait_ready()
        cpu_before = courier.wait_idle()
        for change in range(CONFIG_CHANGES_PER_RUN):
            rows[environment.random.randrange(size)]["weight"] = 2.0 + change
            courier.config["limits"]["disk_mb"] += 1
            courier.write_config()
            started_at, deadline = time.monotonic(), time.monotonic() + 60
            os.kill(courier.process.pid, signal.SIGHUP)
            while len(reloads := courier.log_lines("configuration-read")) <= change:
                run_for(environment.loop, MS)
                if time.monotonic() > deadline or courier.log_lines("configuration-not-taken"):
                    raise NotMeasured("the changed configuration was not read")
            delays.append(time.monotonic() - started_at)
            if "disk_bytes" not in reloads[-1]:
                raise NotMeasured(f"the change was not detected: {reloads[-1]}")
            costs.append(courier.wait_idle() - cpu_before)
            cpu_before = courier.cpu
        memory, peak = courier.memory, courier.peak
        file_size = (courier.state_directory / "config.json").stat().st_size
    return {
        "read": statistics.median(delays) * 1e3,
        "hearer": statistics.median(costs) * 1e3,
        "file": file_size / MB,
        "memory": memory / MB,
        "peak": peak / MB,
    }


_SETTING = "One real process, stand-in servers on loopback"

SLOPES: list[Slope] = [
    Slope(
        "listed",
        "listed endpoints",
        LISTED_SIZES,
        {"memory": "MB", "memory-each": "bytes", "start-cpu": "s", "start-wall": "s"},
        measure_listed,
        f"{_SETTING}: resident memory of a courier whose configuration lists the endpoints (`known`), three per "
        "destination; the same above one with an empty list, per endpoint; and the time from exec until it serves, "
        "including the interpreter's start. Not included: messages, and a first list from discovery.",
    ),
    Slope(
        "list-change",
        "listed endpoints",
        LISTED_SIZES,
        {"in-force": "ms", "hearer": "us", "wire": "bytes", "teller": "us"},
        measure_list_change,
        f"{_SETTING}: discovery sends only the change of one endpoint, which moves to a destination that was not "
        "listed: time until a message for it is accepted (polled, so late by at most one request), processor time of "
        "the courier and of the stand-in server, and bytes on the wire, the median of ten changes. Not included: a "
        "discovery that sends its full list.",
    ),
    Slope(
        "list-again",
        "listed endpoints",
        FULL_LIST_SIZES,
        {"in-force": "ms", "hearer": "us", "wire": "bytes", "teller": "us"},
        measure_full_list,
        f"{_SETTING}: the same if discovery sends its full list for each change; the sizes end where the list exceeds "
        "the 4 MiB that a courier reads as one line. Not included: more couriers that receive it.",
    ),
    Slope(
        "open-message",
        "open messages",
        (1_000, 10_000, 30_000, 100_000),
        {"memory": "MB", "memory-each": "bytes", "disk-each": "bytes", "start-cpu": "s", "start-wall": "s"},
        measure_open_messages,
        f"{_SETTING}: a start that recovers open messages of class reading with {BODY_BYTES} bytes from a journal that "
        "the journal's own code wrote, with limits.max_open raised to twice as many and next hops that do not answer: "
        "resident memory, the same above one with an empty journal per message, bytes of the journal file, and the "
        "time from exec until it serves. Not included: accepting the messages over HTTP, and their delivery.",
    ),
    Slope(
        "backlog-served",
        "open messages",
        (300, 1_000, 3_000, 10_000, 30_000),
        {"cpu": "us", "rate": "count"},
        measure_backlog_served,
        f"{_SETTING}: processor time of the courier per message that it delivers from this many open ones (class "
        f"reading, {BODY_BYTES} bytes, from a journal) to {HOPS} next hops that answer after 10 to 30 ms, and "
        f"deliveries per second, until half are delivered, {LOAD_DURATION // SECOND} s at most. Not included: the "
        "start, and new messages.",
    ),
    Slope(
        "message-served",
        "messages a second offered",
        (40, 80, 160, 320),
        {"cpu": "us", "taken": "share", "delivered": "share"},
        measure_messages_served,
        f"{_SETTING}: processor time of the courier per delivered message of class reading with {BODY_BYTES} bytes, at "
        f"{HOPS} next hops that answer after 10 to 30 ms, over {LOAD_DURATION // SECOND} s and one more, and the "
        "shares of the offered messages that were accepted and delivered by then; they are evenly spaced, from eight "
        "clients that wait for each response. Not included: clients and next hops.",
    ),
    Slope(
        "config-change",
        "endpoints in the configuration",
        LISTED_SIZES,
        {"read": "ms", "hearer": "ms", "file": "MB", "memory": "MB", "peak": "MB"},
        measure_configuration_change,
        f"{_SETTING}: time from SIGHUP until the log says that the changed configuration was read (one endpoint and "
        "one limit changed), the courier's processor time, the file's size, and the current and peak resident memory "
        "after three such changes. Not included: writing the file, and settings that take effect only at the next "
        "start.",
    ),
]
