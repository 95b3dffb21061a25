"""TLS streams on the event loop. They use ssl's memory BIOs, so that no handshake or read blocks a turn."""

from __future__ import annotations

import contextlib
import socket
import ssl

from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import (
    BUFFER_SIZE,
    BufferPool,
    ConnectionClosedError,
    DeadlineExceededError,
    Stream,
)
from kestrelspar.runtime.loop import Loop, connect

MAX_RECORD_SIZE = 16 * 1024  # maximum plaintext bytes of a TLS record (RFC 8446, section 5.1)


class BadHandshake(ConnectionClosedError):
    """The TLS handshake failed; the text of the exception has the reason."""

    label = "BadHandshake"


class TlsStream(Stream):
    """The plaintext of a TLS connection, with the interface of ``Stream``; usable after ``handshake``."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        pool: BufferPool,
        context: ssl.SSLContext,
        server: bool,
        name: str | None = None,
        incoming: bool = False,
    ) -> None:
        """``name``: on the client side, the server name that the peer's certificate is checked against.

        ``incoming``: the connection was accepted, not opened; it gets no reserved buffers.
        """
        super().__init__(loop, sock, pool, incoming)
        self._received, self._to_send = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._received, self._to_send, server_side=server, server_hostname=name)
        self._waiting_for_input = False  # while a task waits for the socket, no other may read from it

    def handshake(self, deadline: int) -> None:
        """Perform the handshake. After any error, the caller must close the stream.

        Raises ``BadHandshake`` if the handshake fails, and else ``ConnectionClosedError``, or
        ``DeadlineExceededError`` if the peer stalls.
        """
        while True:
            try:
                self._tls.do_handshake()
            except ssl.SSLWantReadError:
                self._flush(deadline)
                self._receive(deadline)
                continue
            except (ssl.SSLError, ssl.CertificateError) as error:
                why = getattr(error, "verify_message", "") or getattr(error, "reason", "") or str(error)
                with contextlib.suppress(OSError):  # the alert with the reason, if it can be sent at once
                    self.sock.send(self._to_send.read())
                raise BadHandshake(str(why)) from None
            self._flush(deadline)
            return

    def _receive(self, deadline: int | None) -> int:
        """Wait for encrypted bytes and pass them to the TLS object; returns their number, which may be 0."""
        self._waiting_for_input = True
        self.park()
        try:
            if not self.loop.readable(self.sock, deadline):
                raise DeadlineExceededError
        finally:
            self._waiting_for_input = False
        return self._read_socket()

    def _read_socket(self) -> int:
        try:
            data = self.sock.recv(BUFFER_SIZE)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ConnectionClosedError from error
        if not data:
            self._received.write_eof()
            raise ConnectionClosedError
        return self._received.write(data)

    def _flush(self, deadline: int | None) -> None:
        """Send the pending output of the TLS object."""
        while self._to_send.pending:
            super().write(self._to_send.read(), deadline)

    def fill(self, deadline: int | None) -> None:
        """Wait for more plaintext.

        Raises ``DeadlineExceededError``, or ``ConnectionClosedError`` at the end of the stream, even if no close_notify
        came. Unread plaintext is kept after a close_notify, and dropped at any other end.
        """
        while not self._decrypt(deadline):
            try:
                self._receive(deadline)
            except ConnectionClosedError:
                self.consume(self._end - self._start)
                raise

    def _decrypt(self, deadline: int | None = None) -> int:
        """Decrypt received bytes into the buffer; may wait for a pooled buffer.

        Returns the number of new plaintext bytes: 0 if the buffer is full or no complete record has been received.
        """
        self._acquire_buffer(deadline)
        assert self._buffer is not None
        if self._start and self._end == BUFFER_SIZE:
            remaining = self._buffer[self._start : self._end]
            self._buffer[: len(remaining)] = remaining
            self._start, self._end = 0, len(remaining)
        if self._end == BUFFER_SIZE:
            return 0
        try:
            count = int(self._tls.read(BUFFER_SIZE - self._end, memoryview(self._buffer)[self._end :]))
        except ssl.SSLWantReadError:
            count = -1
        except ssl.SSLError as error:  # close_notify, an invalid record, or an end without close_notify
            self.consume(self._end - self._start)
            raise ConnectionClosedError from error
        if count > 0:
            self._end += count
            return count
        if self._start == self._end:
            self.consume(0)  # returns the empty buffer to the pool
        if count == 0:
            raise ConnectionClosedError
        return 0

    def write(self, data: bytes, deadline: int | None) -> None:
        """Write all data.

        After ``ConnectionClosedError`` or ``DeadlineExceededError`` the data is incomplete, and nothing more may be
        written.
        """
        view = memoryview(data)
        while view:
            try:
                count = self._tls.write(view[:MAX_RECORD_SIZE])
            except ssl.SSLError as error:
                raise ConnectionClosedError from error
            view = view[count:]
            self._flush(deadline)

    def discard(self, deadline: int) -> None:
        """Wait for more bytes, and drop all that have arrived."""
        self.consume(self._end - self._start)
        self.fill(deadline)
        self.consume(self._end - self._start)

    def _process_available(self) -> bool:
        """Process the available input, including session tickets, without waiting.

        Returns false if the peer has closed. Raises ``DeadlineExceededError`` if no buffer is free, as it is unknown
        then whether plaintext has arrived.
        """
        try:
            while self._read_socket():
                pass
        except ConnectionClosedError:
            closed = True
        else:
            closed = False
        try:
            while self._end < BUFFER_SIZE and self._decrypt(self.loop.now):
                pass
        except ConnectionClosedError:
            closed = True
        return not closed

    def peer_closed(self) -> bool:
        """Whether the peer is known to have closed or reset the connection, and no plaintext is unread."""
        if self._waiting_for_input:  # the waiting task reads the bytes, and detects the end itself
            return super().peer_closed()
        try:
            return not self._process_available() and self._start == self._end
        except DeadlineExceededError:
            return False

    def is_reusable(self) -> bool:
        """Whether the connection is open and no plaintext has arrived; session tickets don't count.

        False also if no buffer is free to find that out.
        """
        try:
            return not self._waiting_for_input and self._process_available() and self._start == self._end
        except DeadlineExceededError:
            return False

    def certificate(self) -> dict[str, object]:
        """The peer's verified certificate, as ``ssl.SSLSocket.getpeercert`` returns it; empty if there is none."""
        found: dict[str, object] = dict(self._tls.getpeercert() or {})
        return found

    def names(self) -> list[str]:
        """The DNS names and the common name in the peer's verified certificate."""
        certificate_fields = self.certificate()
        found = [str(value) for kind, value in certificate_fields.get("subjectAltName", ()) if kind == "DNS"]  # type: ignore[attr-defined]
        for group in certificate_fields.get("subject", ()):  # type: ignore[attr-defined]
            found += [str(value) for key, value in group if key == "commonName"]
        return found

    def close(self) -> None:
        """Close the socket, after a close_notify if that can be written at once."""
        with contextlib.suppress(ssl.SSLError, ValueError):  # ValueError: the handshake is not complete
            self._tls.unwrap()
        if self._to_send.pending and self.sock.fileno() >= 0:
            with contextlib.suppress(OSError):
                self.sock.send(self._to_send.read())
        super().close()


def dial(
    loop: Loop, pool: BufferPool, address: tuple[str, int], deadline: int, context: ssl.SSLContext, name: str = ""
) -> TlsStream | None:
    """Open a TLS connection; None if that fails or the deadline passes. A failed handshake is logged.

    ``name``: the server name required in the peer's certificate; by default the host of the address.
    """
    sock = connect(loop, address, deadline)
    if sock is None:
        return None
    stream = TlsStream(loop, sock, pool, context, False, name or address[0])
    try:
        stream.handshake(deadline)
    except (ConnectionClosedError, DeadlineExceededError) as error:
        logs.warn("tls-handshake-failed", peer=f"{address[0]}:{address[1]}", why=str(error) or error.label)
        stream.close()
        return None
    return stream
