"""Idle clients use up their descriptors while discovery is down; the watch, notices and attempts still have theirs."""

from __future__ import annotations

import json
import signal
import socket
import threading
from http.server import ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest

from kestrelspar.serve import split_descriptors
from tests.test_program import TEST_TIMEOUT, Program, StandInPlatform, free_port, row, wait_until, world

__all__ = ["world"]  # a fixture, which pytest finds here by its name
SOCKETS = 96


class RecoveredDiscovery(StandInPlatform):
    """Discovery that starts to listen on a port where connections were refused at first."""

    notices: list[dict[str, Any]] = []

    def do_POST(self) -> None:
        RecoveredDiscovery.notices += [
            json.loads(line) for line in self.rfile.read(int(self.headers["Content-Length"])).splitlines()
        ]
        self.answer(204)


def start_limited(directory: Path, world: str, discovery: str) -> Program:
    """Starts the program with few descriptors, limited both by its settings and by the system."""
    return Program(
        directory,
        world,
        change={"discovery": discovery, "limits": {"sockets": SOCKETS}},
        before=f"ulimit -n {SOCKETS}; ",
    )


def test_discovery_notices_and_attempts_work_again_although_idle_clients_use_up_their_descriptors(
    tmp_path: Path, world: str
) -> None:
    port = free_port()
    program = start_limited(tmp_path, world, f"127.0.0.1:{port}").ready()
    idle = []
    for _ in range(2 * SOCKETS):
        sock = socket.create_connection(("127.0.0.1", program.port), timeout=TEST_TIMEOUT)
        idle.append(sock)
    StandInPlatform.silent = True
    # On a busy machine, a client that is slow to send may be closed like the silent ones, and retries.
    # The attempt of this message times out, so a notice is pending.
    wait_until(lambda: program.submit("late", "payment", expires_in="900m") == 202)
    RecoveredDiscovery.first_watch_line = json.dumps(
        {"index": 5, "snapshot": True, "endpoints": [row("s-1", world), row("s-2", world)]}
    )
    server = ThreadingHTTPServer(("127.0.0.1", port), RecoveredDiscovery)
    server.daemon_threads, server.block_on_close = True, False
    threading.Thread(target=server.serve_forever, daemon=True).start()
    wait_until(lambda: RecoveredDiscovery.notices)
    assert RecoveredDiscovery.notices[0]["id"] == "late"
    StandInPlatform.silent = False
    wait_until(lambda: program.submit("next") == 202)
    wait_until(lambda: "next" in StandInPlatform.calls)
    for sock in idle:
        sock.close()
    code, out = program.end(signal.SIGTERM)
    assert code == 0 and "event=map-heard" in out and "event=fault" not in out
    assert "event=no-socket" not in out and "event=not-accepted" not in out
    server.shutdown()
    server.server_close()


@pytest.mark.parametrize("sockets", [48, 64, 96, 128, 544, 1024])
@pytest.mark.parametrize("slots", [2, 8, 24])
def test_descriptor_limits_add_up(sockets: int, slots: int) -> None:
    clients, idle = split_descriptors(sockets, slots)
    assert clients >= 8 and idle >= 4
    # With fewer descriptors than in the last condition, these minimums may exceed the limit.
    assert clients + idle + 2 * slots + 16 <= sockets or sockets < 2 * slots + 32
