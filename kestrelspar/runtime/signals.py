"""Signals delivered as bytes on a socket, so that a task of the event loop handles them."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Mapping

from kestrelspar.runtime import logs
from kestrelspar.runtime.loop import MS, Loop

READ_RETRY_DELAY = 20 * MS


def open_signal_socket() -> socket.socket:
    """Create the socket on which SIGTERM, SIGINT and SIGHUP arrive, one byte each.

    Signals that arrive while the process starts are queued on the socket, also a SIGHUP that was blocked before.
    """
    signal_socket, wakeup_end = socket.socketpair()
    for end in (signal_socket, wakeup_end):
        end.setblocking(False)
    # Detached, so that the descriptor stays open. Closing it with the socket object would make the other end readable.
    descriptor = wakeup_end.detach()
    signal.set_wakeup_fd(descriptor, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    return signal_socket


def handle_signals(loop: Loop, signal_socket: socket.socket, calls: Mapping[int, Callable[[], None]]) -> None:
    """Run the call of each received signal in a task of its own, so that a failure affects no other call.

    Never returns. Signals without a call are ignored.
    """
    while True:
        loop.readable(signal_socket, None)
        try:
            numbers = signal_socket.recv(64)
        except BlockingIOError:
            continue
        except OSError as error:  # ENOMEM; the numbers stay in the socket
            logs.error("signals-not-read", why=str(error))
            loop.sleep(READ_RETRY_DELAY)
            continue
        for number in numbers:
            if number in calls:
                loop.spawn(calls[number])
