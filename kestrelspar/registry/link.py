"""HTTP/1.1 client for one member of a registry, on the event loop: one persistent connection, bodies as they arrive."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from kestrelspar.http import parser
from kestrelspar.runtime.buffers import BufferPool, ConnectionClosedError, DeadlineExceededError, Stream
from kestrelspar.runtime.loop import Loop, connect

if TYPE_CHECKING:
    import ssl

MAX_RESPONSE_SIZE = 64_000_000  # bytes of a response body


class RegistryError(Exception):
    """The member could not be reached, did not respond in time, reported an error, or violated its protocol.

    ``wait``: the Retry-After delay of its response in microseconds; 0: none.
    """

    def __init__(self, reason: str, wait: int = 0) -> None:
        super().__init__(reason)
        self.wait = wait


class RevisionCompactedError(Exception):
    """The requested revision was compacted. ``oldest`` is the oldest one available, or 0 if the member did not say."""

    def __init__(self, oldest: int) -> None:
        super().__init__(f"compacted up to {oldest}")
        self.oldest = oldest


class UnauthenticatedError(RegistryError):
    """The member requires a valid token: there is none, it is not accepted, or it has expired."""


class MemberConnection:
    """A connection to one member, opened when needed. Failures are raised as ``RegistryError``.

    It serves one request at a time: the body of a response is read before the next request, or ``close`` is called.
    """

    def __init__(
        self,
        loop: Loop,
        buffers: BufferPool,
        address: tuple[str, int],
        timeout: int,
        tls_context: Callable[[], ssl.SSLContext] | None = None,
        server_name: str = "",
    ) -> None:
        """``timeout`` is in microseconds, for connecting, for the head of a response, and between parts of its body.

        For TLS, ``tls_context`` returns the context, and the member's certificate must be valid for ``server_name``.
        """
        self._tls_context, self._server_name = tls_context, server_name
        self.loop, self.buffers, self.address, self._timeout = loop, buffers, address, timeout
        self._stream: Stream | None = None

    def _open(self) -> tuple[Stream, bool]:
        """A stream to the member, and whether it was used for an earlier request."""
        stream, self._stream = self._stream, None
        if stream is not None and stream.is_reusable():
            return stream, True
        if stream is not None:
            stream.close()
        deadline = self.loop.now + self._timeout
        if self._tls_context is not None:
            from kestrelspar.runtime import tls  # imported only if TLS is configured

            stream = tls.dial(self.loop, self.buffers, self.address, deadline, self._tls_context(), self._server_name)
        else:
            sock = connect(self.loop, self.address, deadline)
            stream = None if sock is None else Stream(self.loop, sock, self.buffers)
        if stream is None:
            raise RegistryError("no connection")
        return stream, False

    def request(
        self, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b"", wait: int = 0
    ) -> parser.Head:
        """Send a request and read the head of its response, with ``wait`` microseconds added to the time-out.

        A GET is sent again if a reused connection closes before the head has arrived. Other methods are not, as the
        member may have processed the request.
        """
        stream, reused = self._open()
        self._stream = stream
        request_bytes = parser.request(method, path, f"{self.address[0]}:{self.address[1]}", headers or {}, body)
        try:
            stream.write(request_bytes, self.loop.now + self._timeout)
            return parser.read_head(stream, self.loop.now + self._timeout + wait, response=True)
        except ConnectionClosedError:
            self.close()
            if reused and method == "GET":  # the idle connection was closed while the request was sent
                return self.request(method, path, headers, body, wait)
            raise RegistryError("connection closed") from None
        except DeadlineExceededError:
            self.close()
            raise RegistryError("response timed out") from None
        except parser.MalformedMessageError as error:
            self.close()
            raise RegistryError(f"not HTTP: {error}") from None

    def body_chunks(self, head: parser.Head, silence: int | None = None) -> Iterator[bytes | None]:
        """Yield the body of a response as it arrives.

        After each ``silence`` microseconds without data, it yields None, and the caller decides whether to continue. If
        ``silence`` is None, the connection's time-out between two parts applies, and raises ``RegistryError``.
        """
        stream = self._stream
        if stream is None:
            raise RegistryError("connection closed")
        try:
            length = parser.body_length(head, MAX_RESPONSE_SIZE)
            decoder = parser.ChunkedDecoder() if length is None else None
            remaining = length if length is not None and length >= 0 else None
            while not (decoder is not None and decoder.done or remaining == 0):
                data = bytes(stream.unread if remaining is None or decoder is not None else stream.unread[:remaining])
                if data:
                    decoded, consumed = decoder.feed(data) if decoder is not None else (data, len(data))
                    stream.consume(consumed)
                    remaining = remaining - consumed if remaining is not None else None
                    if decoded:
                        yield decoded
                    continue
                try:
                    stream.fill(self.loop.now + (self._timeout if silence is None else silence))
                except DeadlineExceededError:
                    if silence is None:
                        raise
                    yield None
            if not head.keep_alive:
                self.close()
        except ConnectionClosedError:
            self.close()
            if parser.body_length(head, MAX_RESPONSE_SIZE) == -1:
                return  # no length given: the body ends with the connection
            raise RegistryError("connection closed in the middle of a response") from None
        except DeadlineExceededError:
            self.close()
            raise RegistryError("time-out in the middle of a response") from None
        except parser.MalformedMessageError as error:
            self.close()
            raise RegistryError(f"not HTTP: {error}") from None

    def read_body(self, head: parser.Head) -> bytes:
        """Read the whole body of a response. Raises ``RegistryError`` beyond ``MAX_RESPONSE_SIZE``."""
        chunks, size = [], 0
        for chunk in self.body_chunks(head):
            chunks.append(chunk or b"")
            size += len(chunks[-1])
            if size > MAX_RESPONSE_SIZE:
                self.close()
                raise RegistryError(f"response of more than {MAX_RESPONSE_SIZE} bytes")
        return b"".join(chunks)

    def close(self) -> None:
        """Close the connection. In a task that waits for its data, ``request`` or ``body_chunks`` then fails.

        A body without a length is an exception: it seems to be complete.
        """
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()
