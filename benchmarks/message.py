"""CPU time per message, and memory, of the program that the platform's `run` line starts.

    python -m benchmarks.message [--root CHECKOUT] [--rate 150] [--for 15]

The program of a checkout (by default this one) is started as the platform starts it. This process runs the stand-in
servers around it and the clients.
"""

from __future__ import annotations

import argparse
import tempfile
import time

from benchmarks.program import HOPS, ROOT, endpoint_row, process_usage, run_for, running_courier, start_load
from kestrelspar.runtime.loop import MS, SECOND, Loop
from kestrelspar.standins import platform


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", default=str(ROOT))
    parser.add_argument("--rate", type=int, default=150)
    parser.add_argument("--for", dest="span", type=int, default=15)
    options = parser.parse_args()
    loop, call_record = Loop(), platform.CallRecord()
    hops = [platform.NextHop(loop, call_record, n, platform.Behaviour(10 * MS, 20 * MS)) for n in range(HOPS)]
    rows = [endpoint_row(n, hop.address, n) for n, hop in enumerate(hops)]
    discovery = platform.Discovery(loop, rows)
    with (
        tempfile.TemporaryDirectory() as state_directory,
        running_courier(loop, state_directory, discovery.address, rows, root=options.root) as courier,
    ):
        run_for(loop, 2 * SECOND)
        idle = process_usage(courier.process.pid)
        started_at = time.monotonic()
        statuses = start_load(courier, options.rate, options.span * SECOND, platform.CLASSES, synchronized=True)
        run_for(loop, (options.span + 1) * SECOND)
        busy = process_usage(courier.process.pid)
    accepted = statuses.count(202)
    print(
        f"{'messages accepted':<40} {accepted} in {time.monotonic() - started_at:.0f} s, delivered "
        f"{len(call_record.first_answered_at)}"
    )
    print(f"{'CPU per message':<40} {(busy[0] - idle[0]) * 1e6 / accepted:.0f} us")
    print(f"{'memory idle, busy, peak':<40} {idle[1] / 1024:.1f}, {busy[1] / 1024:.1f}, {busy[2] / 1024:.1f} MB")


if __name__ == "__main__":
    main()
