"""The status socket: a Unix socket in the state directory, accessible only to its owner, that serves one JSON object.

A client sends an empty line, or ``fleet`` and a newline: then the other couriers are asked for their counters before
the reply. To a client that sends nothing, the reply is sent after ``CLIENT_TIMEOUT``.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from kestrelspar.runtime import logs
from kestrelspar.runtime.loop import MS, SECOND, Loop

NAME = "peers.sock"
FLEET_REQUEST, LOCAL_REQUEST = b"fleet\n", b"\n"
COUNTER_WAIT = 400 * MS  # time for the other couriers' counters to arrive
CLIENT_TIMEOUT = 2 * SECOND  # for the client to send its request, and again to read the reply


class StatusSocket:
    """Answers each connection with the current status, and closes it."""

    def __init__(
        self,
        loop: Loop,
        state_directory: str,
        status: Callable[[], dict[str, Any]],
        request_counters: Callable[[], None],
    ) -> None:
        self.loop, self._path, self._status, self._request_counters = (
            loop,
            Path(state_directory) / NAME,
            status,
            request_counters,
        )

    def start(self) -> None:
        """Listen; if that fails, log it and serve without a status socket."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        mask = os.umask(0o177)  # no other user may connect, from the moment that the socket exists
        try:
            self._path.unlink(missing_ok=True)  # left behind by an earlier process
            sock.bind(str(self._path))
            sock.listen(8)
        except OSError as error:
            logs.warn("peers-no-door", file=self._path.name, why=str(error))
            sock.close()
            return
        finally:
            os.umask(mask)
        self.loop.spawn(self._accept, sock)

    def stop(self) -> None:
        """Remove the socket file at shutdown."""
        self._path.unlink(missing_ok=True)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            self.loop.readable(listener, None)
            try:
                sock, _ = listener.accept()
            except OSError:
                continue
            sock.setblocking(False)
            self.loop.spawn(self._answer, sock)

    def _answer(self, sock: socket.socket) -> None:
        deadline = self.loop.now + CLIENT_TIMEOUT
        with suppress(OSError):
            request = sock.recv(16) if self.loop.readable(sock, deadline) else b""
            if request == FLEET_REQUEST:
                self._request_counters()
                self.loop.sleep(COUNTER_WAIT)
            data = msgspec.json.encode(self._status()) + b"\n"
            deadline = self.loop.now + CLIENT_TIMEOUT
            while data and self.loop.writable(sock, deadline):
                data = data[sock.send(data) :]
        self.loop.unregister(sock)
        sock.close()


def query_status(state_directory: str, timeout_s: float = 5.0, fleet: bool = False) -> dict[str, Any]:
    """Return the status of the process with this state directory.

    ``fleet``: ask for the counters of the other couriers first. Raises ``OSError`` if no process answers,
    ``ValueError`` if the reply is truncated or no JSON object.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(timeout_s)
        sock.connect(str(Path(state_directory) / NAME))
        sock.sendall(FLEET_REQUEST if fleet else LOCAL_REQUEST)
        chunks = []
        while chunk := sock.recv(65_536):
            chunks.append(chunk)
    status = msgspec.json.decode(b"".join(chunks))
    if not isinstance(status, dict):
        raise ValueError("the status reply is not a JSON object")
    return status
