"""Shared by the stand-in servers: a listener on loopback, and an accept loop with a task per connection."""

from __future__ import annotations

import socket
from collections.abc import Callable

from kestrelspar.runtime.buffers import BufferPool, Stream
from kestrelspar.runtime.loop import Loop


def free_listener(address: tuple[str, int] = ("127.0.0.1", 0)) -> socket.socket:
    """A non-blocking listening socket, by default on a free port of the loopback address."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(512)
    sock.setblocking(False)
    return sock


def accept(
    loop: Loop,
    listener: socket.socket,
    buffers: BufferPool,
    serve: Callable[[Stream], None],
    is_refusing: Callable[[], bool] = lambda: False,
) -> None:
    """Accept connections forever; each is served in its own task, or closed at once while ``is_refusing()`` is true."""
    while True:
        loop.readable(listener, None)
        try:
            sock, _ = listener.accept()
        except OSError:
            continue
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if is_refusing():
            sock.close()
            continue
        loop.spawn(serve, Stream(loop, sock, buffers))
