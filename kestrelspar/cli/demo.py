"""``kestrelspar demo``: a courier as it really runs, with stand-ins round it, and what became of each message."""

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
from kestrelspar.runtime.buffers import BufferPool, Closed, Late, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from kestrelspar.standins import platform
from kestrelspar.standins.platform import CLASSES, Manners, Seen
from kestrelspar.standins.server import free_listener

READY_WITHIN = 15 * SECOND
SETTLE = 20 * SECOND  # after the last hand-in: the longest deadline, and the notice's way
GROUPS = (1, 2)


@dataclass
class Sent:
    """One message of the demo."""

    cls: str
    at: int
    answer: int = 0  # status; 0: none came
    told: list[str] = field(default_factory=list)  # notices


class Demo:
    """The stand-ins, the clients, and the courier's process."""

    def __init__(self, loop: Loop, folder: Path, rate: float, seed: int) -> None:
        self.loop, self.rate, self.pick = loop, rate, random.Random(seed)
        self.buffers, self.seen = BufferPool(1024), Seen()
        self.sent: dict[str, Sent] = {}
        manners = (Manners(), Manners(pace=40 * MS, full=0.05, error=0.03))
        hops = [platform.NextHop(loop, self.seen, seed + place, m) for place, m in enumerate(manners)]
        rows = [
            {
                "name": f"hop-{place}-{group}",
                "address": hop.address,
                "zone": "room-a",
                "type": "utility",
                "group": group,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
            for place, hop in enumerate(hops)
            for group in GROUPS
        ]
        self.discovery = platform.Discovery(loop, rows)
        self.discovery.heard = self._notice
        with free_listener() as taken:  # the courier listens itself
            self.listen: tuple[str, int] = taken.getsockname()
        told = platform.configuration("{}:{}".format(*self.listen), self.discovery.address, str(folder))
        told["known"]["endpoints"] = rows
        (folder / "config.json").write_text(ujson.dumps(told))
        (folder / "kestrelspar.conf").write_text("log\n    level info\n")
        self.log = folder / "courier.log"
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "KESTRELSPAR_"))
        }
        environment |= {
            "RELAY_CONFIG": str(folder / "config.json"),
            "KESTRELSPAR_CONF": str(folder / "kestrelspar.conf"),
            "PYTHONPATH": str(Path(__file__).parent.parent.parent),
        }  # the same program, also in a checkout
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "kestrelspar"], env=environment, stdout=out, stderr=out, cwd=folder
            )

    def _notice(self, told: dict[str, object]) -> None:
        sent = self.sent.get(str(told.get("id")))
        if sent is not None:
            sent.told.append(str(told.get("state")))

    def ask(self, call: bytes) -> int:
        """The status of one request on a connection of its own; 0 where none came."""
        sock = connect(self.loop, self.listen, self.loop.now + SECOND)
        if sock is None:
            return 0
        stream = Stream(self.loop, sock, self.buffers)
        try:
            stream.write(call, self.loop.now + SECOND)
            return parser.read_head(stream, self.loop.now + SECOND, response=True).status
        except (Closed, Late, parser.BadMessage):
            return 0
        finally:
            stream.close()

    def ready(self) -> None:
        """Wait until the courier serves; ``CommandError`` if it does not."""
        give_up = self.loop.now + READY_WITHIN
        while self.ask(parser.request("GET", "/health/ready", "demo", {})) != 200:
            if self.process.poll() is not None or self.loop.now > give_up:
                raise CommandError(f"the courier did not start:\n{self.log.read_text()}")
            self.loop.sleep(50 * MS)

    def hand_in(self, cls: str) -> None:
        """One message."""
        trace = f"{len(self.sent):06d}-{self.pick.randrange(1 << 32):08x}"
        sent = self.sent[trace] = Sent(cls, self.loop.now)
        left = {"reading": 4_000, "work-order": 8_000, "payment": 6_000}[cls]
        headers = {
            "X-Trace-Id": trace,
            "X-Qos": cls,
            "X-Expires-In": f"{left}m",
            "X-Route-To": f"dest={self.pick.choice(GROUPS)}",
            "Idempotency-Key": trace,
        }
        sent.answer = self.ask(parser.request("POST", f"/{cls}", "demo", headers, b'{"value": 4.2}'))

    def ends(self, trace: str) -> list[str]:
        """The ends of a message so far: none, one, or a fault."""
        sent = self.sent[trace]
        if sent.answer != 202:
            return ["returned"] if sent.answer in (429, 503) else ["not answered"]
        delivered = ["delivered"] if trace in self.seen.answered else []
        return delivered + sorted(set(sent.told))

    def open(self) -> int:
        """Messages without an end."""
        return sum(not self.ends(trace) for trace in self.sent)

    def run(self, span: int, progress: Progress) -> None:
        """Hand in for so long, then wait for the last ends."""
        self.ready()
        begin, bar = self.loop.now, progress.add_task("", total=span)
        while self.loop.now < begin + span:
            self.loop.spawn(self.hand_in, self.pick.choice(CLASSES))
            self.loop.sleep(int(self.pick.expovariate(self.rate) * SECOND))
            progress.update(bar, completed=self.loop.now - begin, text=self.text())
        self.loop.sleep(SECOND)
        while self.open() and self.loop.now < begin + span + SETTLE:
            progress.update(bar, completed=span, text=self.text())
            self.loop.sleep(100 * MS)
        progress.update(bar, completed=span, text=self.text())

    def text(self) -> str:
        """How it stands."""
        return f"{len(self.sent)} handed in, {len(self.seen.answered)} delivered, {self.open()} open"

    def stop(self) -> int:
        """End the courier in order; its exit code."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()

    def faults(self) -> list[str]:
        """Messages that did not have exactly one end, and payments that ran twice."""
        found = []
        for trace, sent in self.sent.items():
            ends = self.ends(trace)
            if len(ends) != 1 or ends == ["not answered"]:
                found.append(f"{sent.cls} {trace}: {', '.join(ends) or 'no end'}")
            if sent.cls == "payment" and self.seen.effects[trace] > 1:
                found.append(f"{sent.cls} {trace}: ran {self.seen.effects[trace]} times")
        return found

    def table(self) -> Table:
        """What became of the messages, by class."""
        table = Table(title="What became of each message")
        for name in ("class", "handed in", "delivered", "returned", "failed", "median", "99%"):
            table.add_column(name, justify="left" if name == "class" else "right")
        for cls in CLASSES:
            traces = [trace for trace, sent in self.sent.items() if sent.cls == cls]
            ends = [end for trace in traces for end in self.ends(trace)]
            times = sorted(self.seen.answered[t] - self.sent[t].at for t in traces if t in self.seen.answered)
            table.add_row(
                cls,
                str(len(traces)),
                *(str(ends.count(e)) for e in ("delivered", "returned", "failed")),
                *(f"{times[int(len(times) * part)] // MS} ms" if times else "-" for part in (0.5, 0.99)),
            )
        return table


@click.command("demo")
@click.option("--for", "span", type=DURATION, default="10s", show_default=True, help="How long to hand in messages.")
@click.option("--rate", type=click.FloatRange(0.1, 1000), default=20.0, show_default=True, help="Messages a second.")
@click.option("--seed", type=int, default=1, show_default=True, help="For all that is drawn at random.")
def verb(span: int, rate: float, seed: int) -> None:
    """Run a courier with stand-ins on loopback, and show what became of each message.

    The courier is a process of its own, as it really runs, with a state folder that is removed at the end. Two next
    hops answer its calls; one of them turns some away and fails some. Exit code 0 only if each message had exactly
    one end and no payment ran twice.

    \b
    Example:
      kestrelspar demo --for 30s --rate 50
    """
    console = Console()
    loop = Loop()
    fault: list[BaseException] = []
    with tempfile.TemporaryDirectory(prefix="kestrelspar-demo-") as folder:
        demo = Demo(loop, Path(folder), rate, seed)
        with Progress(TextColumn("demo"), BarColumn(), TextColumn("{task.fields[text]}"), console=console) as progress:
            add, progress.add_task = progress.add_task, lambda *a, **k: add(*a, text="", **k)  # type: ignore[method-assign]

            def work() -> None:
                try:
                    demo.run(span, progress)
                except BaseException as error:
                    fault.append(error)
                loop.stop()

            loop.spawn(work)
            try:
                loop.run()
            finally:
                code = demo.stop()
        if fault:
            raise fault[0]
        console.print(demo.table())
        faults = demo.faults() + ([f"the courier ended with exit code {code}"] if code else [])
        log = demo.log.read_text()
        faults += [line for line in log.splitlines() if "event=fault" in line]
    for line in faults:
        click.echo(line, err=True)
    if faults:
        raise CommandError(f"{len(faults)} faults: a message has exactly one end")
    console.print(f"{len(demo.sent)} messages, each with exactly one end; {demo.seen.calls} calls to next hops.")
