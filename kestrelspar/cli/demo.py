"""``kestrelspar demo``: run a courier process between stand-in servers and report the outcome of each message."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import click
import ujson
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn
from rich.table import Table

from kestrelspar.cli.main import CommandError
from kestrelspar.cli.units import DURATION
from kestrelspar.http import parser
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from kestrelspar.standins import platform
from kestrelspar.standins.platform import CLASSES, Behaviour, CallRecord
from kestrelspar.standins.server import free_listener

READY_TIMEOUT = 15 * SECOND
SETTLE_TIMEOUT = 20 * SECOND  # after the last submission: covers the longest deadline and delivery of its notice
GROUPS = (1, 2)  # numbers of the destinations


@dataclass
class SentMessage:
    """A message submitted to the courier."""

    cls: str
    submitted_at: int  # microseconds on the loop's clock
    status: int = 0  # HTTP status of the response; 0: no response
    notices: list[str] = field(default_factory=list)  # states in the notices received


class Demo:
    """The stand-in servers, the clients and the courier process."""

    def __init__(self, loop: Loop, directory: Path, rate: float, seed: int) -> None:
        self.loop, self.rate, self.random = loop, rate, random.Random(seed)
        self.buffers, self.call_record = BufferPool(1024), CallRecord()
        self.sent: dict[str, SentMessage] = {}  # by trace id
        behaviours = (Behaviour(), Behaviour(min_latency=40 * MS, refused=0.05, error=0.03))
        hops = [
            platform.NextHop(loop, self.call_record, seed + index, behaviour)
            for index, behaviour in enumerate(behaviours)
        ]
        rows = [
            {
                "name": f"hop-{index}-{group}",
                "address": hop.address,
                "zone": "room-a",
                "type": "utility",
                "group": group,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
            for index, hop in enumerate(hops)
            for group in GROUPS
        ]
        self.discovery = platform.Discovery(loop, rows)
        self.discovery.on_notice = self._receive_notice
        with free_listener() as reserved:  # picks a free port; closed before the courier binds it
            self.listen: tuple[str, int] = reserved.getsockname()
        config = platform.configuration("{}:{}".format(*self.listen), self.discovery.address, str(directory))
        config["known"]["endpoints"] = rows
        (directory / "config.json").write_text(ujson.dumps(config))
        (directory / "kestrelspar.conf").write_text("log\n    level info\n")
        self.log = directory / "courier.log"
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "KESTRELSPAR_"))
        }
        environment |= {
            "RELAY_CONFIG": str(directory / "config.json"),
            "KESTRELSPAR_CONF": str(directory / "kestrelspar.conf"),
            # The courier imports the same package as this process, even from a source checkout.
            "PYTHONPATH": str(Path(__file__).parent.parent.parent),
        }
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "kestrelspar"], env=environment, stdout=log, stderr=log, cwd=directory
            )

    def _receive_notice(self, notice: dict[str, object]) -> None:
        sent = self.sent.get(str(notice.get("id")))
        if sent is not None:
            sent.notices.append(str(notice.get("state")))

    def request_status(self, request: bytes) -> int:
        """Send one request on a new connection and return the response's status; 0 without a valid one."""
        sock = connect(self.loop, self.listen, self.loop.now + SECOND)
        if sock is None:
            return 0
        stream = Stream(self.loop, sock, self.buffers)
        try:
            stream.write(request, self.loop.now + SECOND)
            return parser.read_head(stream, self.loop.now + SECOND, response=True).status
        except (ConnectionClosedError, DeadlineExceededError, parser.MalformedMessageError):
            return 0
        finally:
            stream.close()

    def wait_ready(self) -> None:
        """Wait until the courier reports that it is ready; ``CommandError`` if it exits or times out."""
        deadline = self.loop.now + READY_TIMEOUT
        while self.request_status(parser.request("GET", "/health/ready", "demo", {})) != 200:
            if self.process.poll() is not None or self.loop.now > deadline:
                raise CommandError(f"the courier did not start:\n{self.log.read_text()}")
            self.loop.sleep(50 * MS)

    def submit(self, cls: str) -> None:
        """Submit one message of the class and record the response's status."""
        trace = f"{len(self.sent):06d}-{self.random.randrange(1 << 32):08x}"
        sent = self.sent[trace] = SentMessage(cls, self.loop.now)
        expires_in_ms = {"reading": 4_000, "work-order": 8_000, "payment": 6_000}[cls]
        headers = {
            "X-Trace-Id": trace,
            "X-Qos": cls,
            "X-Expires-In": f"{expires_in_ms}m",
            "X-Route-To": f"dest={self.random.choice(GROUPS)}",
            "Idempotency-Key": trace,
        }
        sent.status = self.request_status(parser.request("POST", f"/{cls}", "demo", headers, b'{"value": 4.2}'))

    def outcomes(self, trace: str) -> list[str]:
        """Outcomes of a message so far: empty while it is accepted and pending; more than one is an error.

        One that is not accepted has exactly one: "returned" after status 429 or 503, else "not answered", which also
        stands for another status, and for the time until the response.
        """
        sent = self.sent[trace]
        if sent.status != 202:
            return ["returned"] if sent.status in (429, 503) else ["not answered"]
        delivered = ["delivered"] if trace in self.call_record.first_answered_at else []
        return delivered + sorted(set(sent.notices))

    def pending(self) -> int:
        """Number of accepted messages without an outcome."""
        return sum(not self.outcomes(trace) for trace in self.sent)

    def run(self, duration: int, progress: Progress) -> None:
        """Submit messages for ``duration`` microseconds, then wait for the last outcomes."""
        self.wait_ready()
        begin, task = self.loop.now, progress.add_task("", total=duration)
        while self.loop.now < begin + duration:
            self.loop.spawn(self.submit, self.random.choice(CLASSES))
            self.loop.sleep(int(self.random.expovariate(self.rate) * SECOND))
            progress.update(task, completed=self.loop.now - begin, text=self.progress_text())
        self.loop.sleep(SECOND)
        while self.pending() and self.loop.now < begin + duration + SETTLE_TIMEOUT:
            progress.update(task, completed=duration, text=self.progress_text())
            self.loop.sleep(100 * MS)
        progress.update(task, completed=duration, text=self.progress_text())

    def progress_text(self) -> str:
        """Counts of messages for the progress bar."""
        return (
            f"{len(self.sent)} submitted, {len(self.call_record.first_answered_at)} delivered, {self.pending()} pending"
        )

    def stop(self) -> int:
        """Stop the courier by SIGTERM, killing it after 5 s, and return its exit code (negative: a signal)."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def errors(self) -> list[str]:
        """Texts about messages not answered, or without exactly one outcome, and payments executed more than once."""
        errors = []
        for trace, sent in self.sent.items():
            outcomes = self.outcomes(trace)
            if len(outcomes) != 1 or outcomes == ["not answered"]:
                errors.append(f"{sent.cls} {trace}: {', '.join(outcomes) or 'no outcome'}")
            if sent.cls == "payment" and self.call_record.effects[trace] > 1:
                errors.append(f"{sent.cls} {trace}: executed {self.call_record.effects[trace]} times")
        return errors

    def table(self) -> Table:
        """Outcomes and latencies of the messages by class; latencies are those until the first answered call."""
        table = Table(title="Outcomes of the messages")
        for name in ("class", "submitted", "delivered", "returned", "failed", "median", "99%"):
            table.add_column(name, justify="left" if name == "class" else "right")
        for cls in CLASSES:
            traces = [trace for trace, sent in self.sent.items() if sent.cls == cls]
            outcomes = [outcome for trace in traces for outcome in self.outcomes(trace)]
            latencies = sorted(
                self.call_record.first_answered_at[t] - self.sent[t].submitted_at
                for t in traces
                if t in self.call_record.first_answered_at
            )
            table.add_row(
                cls,
                str(len(traces)),
                *(str(outcomes.count(outcome)) for outcome in ("delivered", "returned", "failed")),
                *(f"{latencies[int(len(latencies) * q)] // MS} ms" if latencies else "-" for q in (0.5, 0.99)),
            )
        return table


@click.command("demo")
@click.option("--for", "span", type=DURATION, default="10s", show_default=True, help="How long to submit messages.")
@click.option("--rate", type=click.FloatRange(0.1, 1000), default=20.0, show_default=True, help="Messages per second.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the random numbers.")
def verb(span: int, rate: float, seed: int) -> None:
    """Run a courier with stand-in servers on loopback, and show the outcome of each message.

    The courier runs as a process of its own, with a state directory that is removed at the end. Two next hops answer
    its calls; one of them refuses a share of them and fails another share. Exit code 0 only if each message had
    exactly one outcome and no payment was executed twice.

    \b
    Example:
      kestrelspar demo --for 30s --rate 50
    """
    console = Console()
    loop = Loop()
    failures: list[BaseException] = []
    with tempfile.TemporaryDirectory(prefix="kestrelspar-demo-") as directory:
        demo = Demo(loop, Path(directory), rate, seed)
        with Progress(TextColumn("demo"), BarColumn(), TextColumn("{task.fields[text]}"), console=console) as progress:
            # The column {task.fields[text]} needs the field from the first refresh on, so each new task gets it.
            add, progress.add_task = progress.add_task, lambda *a, **k: add(*a, text="", **k)  # type: ignore[method-assign]

            def run_demo() -> None:
                try:
                    demo.run(span, progress)
                except BaseException as error:
                    failures.append(error)
                loop.stop()

            loop.spawn(run_demo)
            try:
                loop.run()
            finally:
                code = demo.stop()
        if failures:
            raise failures[0]
        console.print(demo.table())
        errors = demo.errors() + ([f"the courier exited with code {code}"] if code else [])
        log = demo.log.read_text()
        errors += [line for line in log.splitlines() if "event=fault" in line]
    for line in errors:
        click.echo(line, err=True)
    if errors:
        raise CommandError(f"{len(errors)} errors; each message should have exactly one outcome")
    console.print(
        f"{len(demo.sent)} messages, each with exactly one outcome; {demo.call_record.calls} calls to next hops."
    )
