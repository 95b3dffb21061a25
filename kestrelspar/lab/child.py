"""Helper processes that exchange JSON objects, one per line: commands on their stdin, reports on their stdout.

A helper ends when its stdin is closed. That also happens if its parent is killed, so no run leaves processes behind.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, cast

import ujson

from kestrelspar.runtime.loop import Loop

ROOT = Path(__file__).parent.parent.parent
READ_BYTES = 65_536


class _Pipe:
    """A file descriptor in place of a socket: the event loop calls only ``fileno`` of the sockets that it waits for."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def fileno(self) -> int:
        return self._descriptor


def read_objects(
    loop: Loop, descriptor: int, on_object: Callable[[dict[str, Any]], None], on_end: Callable[[], None]
) -> None:
    """Task that calls ``on_object`` for each object received, and ``on_end`` at the end of the input.

    A last line without a line feed is ignored, as its writer may have been killed in the middle of it.
    """
    pipe, rest = cast(socket.socket, _Pipe(descriptor)), b""
    while True:
        loop.readable(pipe, None)
        data = os.read(descriptor, READ_BYTES)
        if not data:
            loop.unregister(pipe)
            on_end()
            return
        *complete, rest = (rest + data).split(b"\n")
        for line in complete:
            if line:
                on_object(ujson.loads(line))


def serve(loop: Loop, on_command: Callable[[dict[str, Any]], None]) -> None:
    """In the helper process: handle commands until stdin is closed, or the parent has closed the pipe of reports."""
    # A terminal sends SIGINT to the parent and its helpers; the parent ends the helpers by closing their stdin.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    loop.spawn(read_objects, loop, 0, on_command, loop.stop)
    with suppress(BrokenPipeError):  # raised by send_report
        loop.run()


def send_report(report: dict[str, Any]) -> None:
    """In the helper process: send one report; raises ``BrokenPipeError`` if the parent has closed the pipe."""
    data = ujson.dumps(report).encode() + b"\n"
    while data:
        data = data[os.write(1, data) :]


class HelperProcess:
    """In the parent: a handle for one helper process."""

    def __init__(self, loop: Loop, module: str, on_report: Callable[[dict[str, Any]], None], name: str = "") -> None:
        """Start the process, with the stderr of this one; ``on_report`` is called with each of its reports."""
        self.name, self.ended = name or module, False  # ended: its stdout has been closed and read to the end
        environment = dict(os.environ) | {"PYTHONPATH": str(ROOT)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", module], stdin=subprocess.PIPE, stdout=subprocess.PIPE, env=environment
        )
        assert self.process.stdin is not None and self.process.stdout is not None
        self._stdin, self._stdout = self.process.stdin, self.process.stdout
        loop.spawn(read_objects, loop, self._stdout.fileno(), on_report, self._end)

    def _end(self) -> None:
        self.ended = True

    def send_command(self, command: dict[str, Any]) -> None:
        """Send one command; ignored if the process has ended or its stdin is closed."""
        with suppress(OSError, ValueError):
            self._stdin.write(ujson.dumps(command).encode() + b"\n")
            self._stdin.flush()

    def close(self) -> None:
        """Close its stdin, so that it ends."""
        with suppress(OSError):
            self._stdin.close()

    def kill(self) -> None:
        """Kill it, which works also while it is stopped by SIGSTOP, and wait for its exit."""
        self.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        if self.ended:  # otherwise the task that reads it still waits for it
            self._stdout.close()
