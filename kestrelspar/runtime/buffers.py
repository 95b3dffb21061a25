"""A pool of read buffers of equal size, and the byte stream that reads into them."""

from __future__ import annotations

import mmap
import select
import socket

from kestrelspar.runtime.loop import MS, Loop, close_socket

# Bytes. A head of 8 KiB always fits, and so does nearly every message; longer bodies are read in pieces.
BUFFER_SIZE = 16 * 1024
BUFFER_RETRY_INTERVAL = 5 * MS  # between attempts to acquire a buffer while all are in use

# Target of discarded reads. Nothing is written to it, as MSG_TRUNC drops the bytes.
_DISCARD_TARGET = mmap.mmap(-1, 512 * 1024)


class ConnectionClosedError(Exception):
    """The connection was closed by the peer, or failed."""

    label = "Closed"  # name in logs and in messages of the command line


class DeadlineExceededError(Exception):
    """The deadline of a read or write has passed."""

    label = "Late"  # name in logs and in messages of the command line


class BufferPool:
    """Buffers of ``BUFFER_SIZE`` bytes; at most ``max_buffers`` are allocated, so that memory stays bounded.

    ``reserved`` of them are only for connections that this process opened, so that answers to its own calls can always
    be read. It controls neither the number nor the behaviour of incoming connections.
    """

    def __init__(self, max_buffers: int = 256, reserved: int = 0) -> None:
        self._free: list[bytearray] = []
        self._allocated, self._max_buffers, self._reserved = 0, max_buffers, reserved

    def acquire(self, incoming: bool = False) -> bytearray | None:
        """Take a buffer; None if all are in use, or, for an incoming connection, if only reserved ones are free."""
        if incoming and len(self._free) + self._max_buffers - self._allocated <= self._reserved:
            return None
        if self._free:
            return self._free.pop()
        if self._allocated >= self._max_buffers:
            return None
        self._allocated += 1
        return bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer; its content is not cleared, as a reader uses only the bytes that it has received."""
        self._free.append(buffer)


class Stream:
    """The bytes of a connection, read into a pooled buffer that the stream holds only while it has unread bytes.

    An incoming connection does not even hold it while it waits: its unread bytes are copied, so that clients that stop
    in the middle of a request cannot use up the buffers.
    """

    def __init__(self, loop: Loop, sock: socket.socket, pool: BufferPool, incoming: bool = False) -> None:
        self.loop, self.sock, self.pool, self._is_incoming = loop, sock, pool, incoming
        self._buffer: bytearray | None = None
        self._parked = b""  # unread bytes while the buffer is given up
        self._start = self._end = 0

    @property
    def unread(self) -> memoryview:
        """The received bytes that have not been consumed yet."""
        return memoryview(self._buffer or self._parked)[self._start : self._end]

    def park(self) -> None:
        """Give up the buffer of an incoming connection that is about to wait; the unread bytes stay."""
        if not self._is_incoming or self._buffer is None:
            return
        self._parked = bytes(self.unread)
        self._start, self._end = 0, len(self._parked)
        self.pool.release(self._buffer)
        self._buffer = None

    def _unpark(self) -> None:
        """Copy the unread bytes into the buffer that has been acquired."""
        if self._parked and self._buffer is not None:
            remaining = self._parked[self._start : self._end]
            self._buffer[: len(remaining)] = remaining
            self._start, self._end, self._parked = 0, len(remaining), b""

    def consume(self, count: int) -> None:
        """Drop the first ``count`` unread bytes."""
        self._start += count
        if self._start < self._end:
            return
        self._start, self._end, self._parked = 0, 0, b""
        if self._buffer is not None:
            self.pool.release(self._buffer)
            self._buffer = None

    def fill(self, deadline: int | None) -> None:
        """Wait for more bytes; may return without any, so that callers check ``unread``.

        Raises ``ConnectionClosedError`` if the input ended or the connection failed; unread bytes are dropped then.
        Raises ``DeadlineExceededError`` if the deadline passed, also while all buffers were in use; unread bytes stay.
        Raises ``ValueError`` with ``BUFFER_SIZE`` unread bytes, as there is no room for more.
        """
        if self._end - self._start == BUFFER_SIZE:
            raise ValueError("the buffer is full of unread bytes")
        self.park()
        if not self.loop.readable(self.sock, deadline):
            raise DeadlineExceededError
        self._acquire_buffer(deadline)
        assert self._buffer is not None
        if self._start and self._end == BUFFER_SIZE:
            remaining = self._buffer[self._start : self._end]
            self._buffer[: len(remaining)] = remaining
            self._start, self._end = 0, len(remaining)
        try:
            count = self.sock.recv_into(memoryview(self._buffer)[self._end :])
        except BlockingIOError:
            count = -1
        except OSError as error:
            self.consume(self._end - self._start)
            raise ConnectionClosedError from error
        if count == 0:
            self.consume(self._end - self._start)
            raise ConnectionClosedError
        if count > 0:
            self._end += count
        elif self._start == self._end:
            self.consume(0)

    def _acquire_buffer(self, deadline: int | None) -> None:
        """Wait for a pooled buffer, if there is none yet; raises ``DeadlineExceededError``."""
        while self._buffer is None:
            self._buffer = self.pool.acquire(self._is_incoming)
            if self._buffer is None:
                if deadline is not None and self.loop.now >= deadline:
                    raise DeadlineExceededError
                self.loop.sleep(BUFFER_RETRY_INTERVAL)
        self._unpark()

    def write(self, data: bytes, deadline: int | None) -> None:
        """Write all data, or raise an error.

        After ``ConnectionClosedError`` or ``DeadlineExceededError``, at least its last byte is unwritten.
        """
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self.park()
                if not self.loop.writable(self.sock, deadline):
                    raise DeadlineExceededError from None
            except OSError as error:
                raise ConnectionClosedError from error

    def discard(self, deadline: int) -> None:
        """Drop the unread bytes, wait for more, and drop these, too, without a copy or a pooled buffer.

        Drops at most the size of ``_DISCARD_TARGET`` in one call; raises the same errors as ``fill``.
        """
        self.consume(self._end - self._start)
        if not self.loop.readable(self.sock, deadline):
            raise DeadlineExceededError
        try:
            if not self.sock.recv_into(_DISCARD_TARGET, 0, socket.MSG_TRUNC):
                raise ConnectionClosedError
        except BlockingIOError:
            pass
        except OSError as error:
            raise ConnectionClosedError from error

    def expire_read(self) -> None:
        """Make a pending read end as if its deadline had passed, unless bytes have arrived in this turn."""
        self.loop.expire_read(self.sock)

    def peer_closed(self) -> bool:
        """Whether the peer is known to have closed or reset the connection, or its sending side of it.

        Checked without reading any bytes; bytes that precede the close may be unread.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b"" or self._has_ended_input()
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _has_ended_input(self) -> bool:
        """Whether the peer has ended its sending side, while bytes before that are unread."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return any(events & select.POLLRDHUP for _, events in poll.poll(0))

    def peek(self, count: int = 64) -> bytes:
        """Up to ``count`` of the bytes that have arrived and are not consumed; they stay."""
        if self._start != self._end:
            return bytes(self.unread[:count])
        try:
            return self.sock.recv(count, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:
            return b""

    def has_input(self) -> bool:
        """Whether bytes have arrived that are not consumed; checked without reading any."""
        return bool(self.peek(1))

    def is_reusable(self) -> bool:
        """Whether the connection is open, and no bytes have arrived that are not consumed.

        Only then may an idle connection be used again; otherwise stray bytes would be read as the next answer.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return self._start == self._end
        except OSError:
            pass
        return False

    def close(self) -> None:
        """Close the socket and return the buffer."""
        self.consume(self._end - self._start)
        close_socket(self.loop, self.sock)
