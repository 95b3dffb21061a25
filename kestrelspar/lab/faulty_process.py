"""Runs the program in a process whose system calls fail at random, and whose wall clock is stepped.

``python -m kestrelspar.lab.faulty_process`` takes the place of ``python -m kestrelspar``. The environment says what
fails: ``FAULT_SEED``, ``FAULT_SHARE`` (share of the calls that fail in an episode; half of the time is free of faults)
and ``WALL_CLOCK_STEP`` (seconds). Faults begin once the program serves: a start has time limits of its own.

The errors are those that the manual pages of the calls name for a moment's failure. Nothing but the Python functions of
this process is changed.
"""

from __future__ import annotations

import errno
import os
import random
import runpy
import socket
import stat
import time
from typing import Any

EPISODE_S = 0.7  # faults occur in every second span of this length
GRACE_S = 1.5  # after the start of the process, without faults
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE)
ACCEPT_ERRORS = (*SOCKET_ERRORS, errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH)
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.EHOSTUNREACH,
    errno.EINTR,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ETIMEDOUT,
)
STREAM_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
FILE_ERRORS = (errno.ENOSPC, errno.EIO)


class Faults:
    """Decides which calls fail, from a seed."""

    def __init__(self, seed: int, share: float) -> None:
        self._random, self._share = random.Random(seed), share
        self._started = time.monotonic()

    def occurs(self) -> bool:
        """Whether the call that is being made fails."""
        elapsed = time.monotonic() - self._started
        if elapsed < GRACE_S or int(elapsed / EPISODE_S) % 2:
            return False
        return self._random.random() < self._share

    def maybe_raise(self, errors: tuple[int, ...]) -> None:
        """Raise one of the errors, if this call fails."""
        if self.occurs():
            number = self._random.choice(errors)
            raise OSError(number, os.strerror(number))

    def shortened(self, size: int) -> int:
        """How many bytes of a transfer are made: all, or a part."""
        return self._random.randrange(1, size) if size > 1 and self.occurs() else size


def _install_sockets(faults: Faults) -> None:
    class FaultySocket(socket.socket):
        def __init__(self, *given: Any, **named: Any) -> None:
            if "fileno" not in named:
                faults.maybe_raise(SOCKET_ERRORS)
            super().__init__(*given, **named)

        def accept(self) -> tuple[socket.socket, Any]:
            faults.maybe_raise(ACCEPT_ERRORS)
            sock, address = super().accept()
            return FaultySocket(fileno=sock.detach()), address

        def connect_ex(self, address: Any) -> int:
            try:
                faults.maybe_raise(CONNECT_ERRORS)
            except OSError as error:
                number = error.errno or errno.EIO
                if number != errno.EINTR:
                    return number
                status = super().connect_ex(address)
                return errno.EINTR if status == errno.EINPROGRESS else status
            return super().connect_ex(address)

        def setsockopt(self, *given: Any) -> None:
            faults.maybe_raise((errno.ENOBUFS, errno.EINVAL))
            super().setsockopt(*given)

        def send(self, data: Any, flags: int = 0) -> int:
            view = memoryview(data)
            return super().send(view[: faults.shortened(len(view))], flags)

        def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
            size = nbytes or len(buffer)
            count = super().recv_into(buffer, faults.shortened(size), flags)
            if count:
                return count
            faults.maybe_raise(STREAM_ERRORS)  # the end of the input, as some networks report it
            return count

    socket.socket = FaultySocket  # type: ignore[misc]


def _install_files(faults: Faults) -> None:
    real_write, real_truncate, real_rename = os.write, os.ftruncate, os.rename

    def write(file: int, data: bytes) -> int:
        if not stat.S_ISREG(os.fstat(file).st_mode):
            return real_write(file, data)
        size = faults.shortened(len(data))
        if size == len(data):
            return real_write(file, data)
        count = real_write(file, data[:size])
        faults.maybe_raise(FILE_ERRORS)
        return count

    def truncate(file: int, size: int) -> None:
        faults.maybe_raise(FILE_ERRORS)
        real_truncate(file, size)

    def rename(source: Any, target: Any) -> None:
        faults.maybe_raise(FILE_ERRORS)
        real_rename(source, target)

    os.write, os.ftruncate, os.rename = write, truncate, rename  # type: ignore[assignment]


def _install_clock(step_s: int) -> None:
    real_ns, real = time.time_ns, time.time
    time.time_ns = lambda: real_ns() + step_s * 10**9
    time.time = lambda: real() + step_s


def main() -> None:
    """Install the faults and run the program."""
    faults = Faults(int(os.environ["FAULT_SEED"]), float(os.environ["FAULT_SHARE"]))
    _install_sockets(faults)
    _install_files(faults)
    _install_clock(int(os.environ.get("WALL_CLOCK_STEP", "0")))
    runpy.run_module("kestrelspar", run_name="__main__")


if __name__ == "__main__":
    main()
