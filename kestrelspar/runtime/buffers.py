"""Read buffers of one size, used again from a pool, and the byte stream that fills them."""

from __future__ import annotations

import mmap
import socket

from kestrelspar.runtime.loop import MS, Loop

SIZE = 16 * 1024  # a head of 8 KiB always fits, and nearly every message; longer bodies are read in pieces
AGAIN = 5 * MS  # when all buffers are in use: until one is looked for again


_WASTE = mmap.mmap(-1, 512 * 1024)  # never written to: MSG_TRUNC makes the system throw bytes away


class Closed(Exception):
    """The peer ended the connection, or it broke."""


class Late(Exception):
    """The time for this read or write was over."""


class BufferPool:
    """Buffers of ``SIZE`` bytes; at most ``most`` exist, so that memory stays bounded.

    The last ``kept`` are not for guests, whose number and manners we don't choose: the answers to our own
    calls must always find room.
    """

    def __init__(self, most: int = 256, kept: int = 0) -> None:
        self._free: list[bytearray] = []
        self._made, self._most, self._kept = 0, most, kept

    def take(self, guest: bool = False) -> bytearray | None:
        """A buffer, or nothing when all that this taker may have are in use."""
        if guest and len(self._free) + self._most - self._made <= self._kept:
            return None
        if self._free:
            return self._free.pop()
        if self._made >= self._most:
            return None
        self._made += 1
        return bytearray(SIZE)

    def give(self, buffer: bytearray) -> None:
        """Take a buffer back; its content is left as it is, as readers go by their own counts."""
        self._free.append(buffer)


class Stream:
    """A connection's bytes: read into one pooled buffer, held only while something unread is in it."""

    def __init__(self, loop: Loop, sock: socket.socket, pool: BufferPool, guest: bool = False) -> None:
        self.loop, self.sock, self.pool, self._guest = loop, sock, pool, guest
        self._buffer: bytearray | None = None
        self._start = self._end = 0

    @property
    def unread(self) -> memoryview:
        """What has come and was not consumed yet."""
        return memoryview(self._buffer or b"")[self._start : self._end]

    def consume(self, count: int) -> None:
        """Let go of the first ``count`` unread bytes."""
        self._start += count
        if self._start >= self._end and self._buffer is not None:
            self._start = self._end = 0
            self.pool.give(self._buffer)
            self._buffer = None

    def fill(self, deadline: int | None) -> None:
        """Wait for more bytes. ``Closed``: the input ended; ``Late``: time is up."""
        if not self.loop.readable(self.sock, deadline):
            raise Late
        while self._buffer is None:
            self._buffer = self.pool.take(self._guest)
            if self._buffer is None:
                if deadline is not None and self.loop.now >= deadline:
                    raise Late
                self.loop.sleep(AGAIN)
        if self._start and self._end == SIZE:
            rest = self._buffer[self._start : self._end]
            self._buffer[: len(rest)] = rest
            self._start, self._end = 0, len(rest)
        try:
            count = self.sock.recv_into(memoryview(self._buffer)[self._end :])
        except BlockingIOError:
            count = -1
        except OSError as error:
            self.consume(self._end - self._start)
            raise Closed from error
        if count == 0:
            self.consume(self._end - self._start)
            raise Closed
        if count > 0:
            self._end += count
        elif self._start == self._end:
            self.consume(0)

    def write(self, data: bytes, deadline: int | None) -> None:
        """Write everything; ``Closed`` or ``Late`` mean that the last byte was not written."""
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                if not self.loop.writable(self.sock, deadline):
                    raise Late from None
            except OSError as error:
                raise Closed from error

    def discard(self, deadline: int) -> None:
        """Wait for more bytes and let go of all that is here, without a copy or a buffer of the pool."""
        self.consume(self._end - self._start)
        if not self.loop.readable(self.sock, deadline):
            raise Late
        try:
            if not self.sock.recv_into(_WASTE, 0, socket.MSG_TRUNC):
                raise Closed
        except BlockingIOError:
            pass
        except OSError as error:
            raise Closed from error

    def expire(self) -> None:
        """The time of whoever waits for bytes here is over now, unless some have come in this turn."""
        self.loop.expire(self.sock)

    def ended(self) -> bool:
        """Whether the peer has ended or broken the connection, as far as is known here, without reading."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def quiet(self) -> bool:
        """Whether nothing at all has come, read or unread, nor the end: only then may a connection that
        nobody waits on be used again, else a noise would be read as the next answer."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return self._start == self._end
        except OSError:
            pass
        return False

    def close(self) -> None:
        """Close the socket and give the buffer back."""
        self.consume(self._end - self._start)
        self.loop.forget(self.sock)
        self.sock.close()
