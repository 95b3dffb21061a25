"""What a message costs on the `run` line: CPU a message, and the program's memory.

    python -m benchmarks.message [--root CHECKOUT] [--rate 150] [--for 15]

The program of a checkout (this one by default) is started as the platform does it, between stand-ins in this process.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import ujson

from kestrelspar.http import parser
from kestrelspar.runtime.buffers import BufferPool, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, connect
from kestrelspar.standins import platform
from kestrelspar.standins.server import free_listener

HOPS, CLIENTS = 4, 8


def used(process: int) -> tuple[float, int, int]:
    """CPU seconds, memory now and at the most in KB, of a process."""
    stat = Path(f"/proc/{process}/stat").read_text().rsplit(")", 1)[1].split()
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    status = dict(line.split(":", 1) for line in lines if ":" in line)
    ticks = os.sysconf("SC_CLK_TCK")
    return (int(stat[11]) + int(stat[12])) / ticks, int(status["VmRSS"].split()[0]), int(status["VmHWM"].split()[0])


def main() -> None:
    """Print the table."""
    parser_ = argparse.ArgumentParser(description=__doc__)
    parser_.add_argument("--root", default=str(Path(__file__).parent.parent))
    parser_.add_argument("--rate", type=int, default=150)
    parser_.add_argument("--for", dest="span", type=int, default=15)
    told = parser_.parse_args()
    loop, seen, buffers = Loop(), platform.Seen(), BufferPool(256)
    hops = [platform.NextHop(loop, seen, n, platform.Manners(10 * MS, 20 * MS)) for n in range(HOPS)]
    rows = [{"name": f"hop-{n}", "address": hop.address, "zone": "room-a", "type": "utility", "group": n,
             "status": "active", "weight": 1.0, "since_ms": 0} for n, hop in enumerate(hops)]
    discovery = platform.Discovery(loop, rows)
    with free_listener() as taken:
        listen = taken.getsockname()
    answers = [0]
    with tempfile.TemporaryDirectory() as folder:
        config = platform.configuration(f"127.0.0.1:{listen[1]}", discovery.address, folder)
        config["known"]["endpoints"] = rows
        Path(folder, "config.json").write_text(ujson.dumps(config))
        with open(Path(folder, "log"), "wb") as log:
            process = subprocess.Popen([sys.executable, "-m", "kestrelspar"], cwd=told.root, stdout=log, stderr=log,
                                       env={**os.environ, "RELAY_CONFIG": str(Path(folder, "config.json"))})

        def client(place: int, begin: int) -> None:
            sock = connect(loop, listen, loop.now + SECOND)
            assert sock is not None
            stream, number = Stream(loop, sock, buffers), 0
            while loop.now < begin + told.span * SECOND:
                loop.sleep(max(0, begin + number * CLIENTS * SECOND // told.rate - loop.now))
                cls = platform.CLASSES[number % 3]
                headers = {"X-Trace-Id": f"{place}-{number}", "X-Qos": cls, "X-Expires-In": "8000m",
                           "X-Route-To": f"dest={number % HOPS}", "Idempotency-Key": f"{place}-{number}"}
                stream.write(parser.request("POST", f"/{cls}", "bench", headers, b"x" * 200), None)
                status = parser.read_head(stream, None, response=True).status
                answers[0] += status == 202  # not in one go: others count while this one waits
                number += 1

        def wait(span: int) -> None:
            until = loop.now + span
            while loop.now < until:
                loop.turn()

        try:
            wait(2 * SECOND)
            idle = used(process.pid)
            for place in range(CLIENTS):
                loop.spawn(client, place, loop.now)
            begin = time.monotonic()
            wait((told.span + 1) * SECOND)
            busy = used(process.pid)
        finally:
            process.kill()
            process.wait()
    count = answers[0]
    print(f"{'messages taken on':<40} {count} in {time.monotonic() - begin:.0f} s, delivered {len(seen.answered)}")
    print(f"{'CPU a message':<40} {(busy[0] - idle[0]) * 1e6 / count:.0f} us")
    print(f"{'memory idle, busy, at the most':<40} {idle[1] / 1024:.1f}, {busy[1] / 1024:.1f}, {busy[2] / 1024:.1f} MB")


if __name__ == "__main__":
    main()
