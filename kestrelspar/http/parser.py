"""HTTP/1.1 messages: parsing of heads and bodies, and serialisation. Opens no connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from kestrelspar.runtime.buffers import ConnectionClosedError, Stream

MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_HEADERS = 100
_METHODS = (b"GET /", b"POST /", b"PUT /", b"HEAD /", b"DELETE /", b"PATCH /", b"OPTIONS ")
_TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


class MalformedMessageError(Exception):
    """A malformed or unsupported HTTP/1.1 message; ``status`` is for the response if the message is a request."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Head:
    """The three parts of the start line, and the headers by their lower-case names.

    The values of a repeated header are joined with commas, except Content-Length, whose repeated values must be equal.
    """

    start_line: tuple[str, str, str]
    headers: dict[str, str]
    size: int  # in bytes, including the empty line that ends the head

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after this message."""
        connection = self.headers.get("connection", "").lower()
        version = self.start_line[2] if self.start_line[2].startswith("HTTP/") else self.start_line[0]
        return "close" not in connection and (version == "HTTP/1.1" or "keep-alive" in connection)

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line[1])


def status(data: memoryview) -> int | None:
    """The status code in a response's status line, or None while that line is incomplete.

    Raises ``MalformedMessageError`` if it is no status line.
    """
    line, end, _ = bytes(data[:MAX_HEAD_BYTES]).partition(b"\n")
    if not end:
        if len(data) >= MAX_HEAD_BYTES:
            raise MalformedMessageError("status line too long")
        return None
    parts = line.rstrip(b"\r").split(b" ", 2)
    if parts[0] not in (b"HTTP/1.1", b"HTTP/1.0") or len(parts) < 2 or not (len(parts[1]) == 3 and parts[1].isdigit()):
        raise MalformedMessageError("bad status line")
    return int(parts[1])


def head(data: memoryview, response: bool = False) -> Head | None:
    """Parses the head of a request, or of a response, at the start of the data; returns None while it is incomplete.

    Raises ``MalformedMessageError`` if it is invalid, longer than ``MAX_HEAD_BYTES`` or has too many headers.
    """
    text = bytes(data[:MAX_HEAD_BYTES])
    end = text.find(b"\r\n\r\n")
    if end < 0:
        if len(data) >= MAX_HEAD_BYTES:
            raise MalformedMessageError("head too long", 431)
        return None
    lines = text[:end].split(b"\r\n")
    if len(lines) > MAX_HEADERS + 1:
        raise MalformedMessageError("too many headers", 431)
    parts = lines[0].decode("latin-1").split(" ", 2)
    if response:
        parts += [""] * (3 - len(parts))
        if not parts[0].startswith("HTTP/1.") or not (len(parts[1]) == 3 and parts[1].isascii() and parts[1].isdigit()):
            raise MalformedMessageError("bad status line")
    elif len(parts) != 3 or not parts[0] or not parts[1] or parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
        raise MalformedMessageError("bad request line")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not name or not _TOKEN.issuperset(name):
            raise MalformedMessageError("bad header line")
        key, field = name.decode("ascii").lower(), value.decode("latin-1").strip(" \t")
        if "\r" in field or "\n" in field or "\0" in field:
            raise MalformedMessageError("bad header value")
        if key in headers and key == "content-length" and headers[key] != field:
            raise MalformedMessageError("two lengths")
        headers[key] = f"{headers[key]}, {field}" if key in headers and key != "content-length" else field
    return Head((parts[0], parts[1], parts[2]), headers, end + 4)


def body_length(parsed: Head, max_bytes: int = MAX_BODY_BYTES) -> int | None:
    """The body's Content-Length in bytes; None if the body is chunked, -1 if the head gives neither.

    Raises ``MalformedMessageError`` for invalid headers, and for a length above ``max_bytes``.
    """
    coding = parsed.headers.get("transfer-encoding")
    length = parsed.headers.get("content-length")
    if coding is not None:
        # Both headers at once allow request smuggling, as two servers may disagree on where the body ends.
        if coding.lower() != "chunked" or length is not None:
            raise MalformedMessageError("transfer coding not served")
        return None
    if length is None:
        return -1
    if not (length.isascii() and length.isdigit()):
        raise MalformedMessageError("bad length")
    if len(length) > 9 or int(length) > max_bytes:
        raise MalformedMessageError("body too long", 413)
    return int(length)


def may_begin_request(data: memoryview) -> bool:
    """Whether the data may be the beginning of a request; true also for empty data."""
    text = bytes(data[:8])
    return any(text.startswith(method) or method.startswith(text) for method in _METHODS)


class ChunkedDecoder:
    """Incremental decoder of a chunked body: accepts fragments of any size."""

    def __init__(self) -> None:
        self._line = b""  # an incomplete line
        self._remaining = 0  # bytes of the current chunk's data that have not arrived yet
        self._state = "size"  # what comes next: "size", "data", "end of data" or "trailer"
        self.done = False

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Returns decoded data and the number of bytes consumed, which are all unless the body ends before them.

        Raises ``MalformedMessageError`` for an invalid coding. Trailers are discarded.
        """
        decoded, at = [], 0
        while at < len(data) and not self.done:
            if self._state == "data":
                part = data[at : at + self._remaining]
                decoded.append(part)
                at += len(part)
                self._remaining -= len(part)
                if not self._remaining:
                    self._state = "end of data"
                continue
            end = data.find(b"\n", at)
            stop = len(data) if end < 0 else end + 1
            self._line += data[at:stop]
            at = stop
            if len(self._line) > MAX_HEAD_BYTES:
                raise MalformedMessageError("chunk line too long")
            if end >= 0:
                line, self._line = self._line, b""
                self._complete_line(line)
        return b"".join(decoded), at

    def _complete_line(self, line: bytes) -> None:
        if not line.endswith(b"\r\n"):
            raise MalformedMessageError("bad chunk line")
        line = line[:-2]
        if self._state == "end of data":
            if line:
                raise MalformedMessageError("chunk longer than told")
            self._state = "size"
        elif self._state == "trailer":
            self.done = not line
        else:
            size = line.split(b";", 1)[0].strip()
            if not size or len(size) > 8 or not all(c in b"0123456789abcdefABCDEF" for c in size):
                raise MalformedMessageError("bad chunk size")
            self._remaining = int(size, 16)
            self._state = "data" if self._remaining else "trailer"


def read_head(stream: Stream, deadline: int | None, response: bool = False) -> Head:
    """Reads and consumes the next head from the stream.

    Raises ``MalformedMessageError``, and what ``Stream.fill`` raises if the head is incomplete at the deadline or when
    the input ends.
    """
    while (parsed := head(stream.unread, response)) is None:
        stream.fill(deadline)
    stream.consume(parsed.size)
    return parsed


def read_body(
    stream: Stream,
    parsed: Head,
    deadline: int | None,
    response: bool = False,
    max_bytes: int = MAX_BODY_BYTES,
    on_progress: Callable[[], None] = lambda: None,
) -> bytes:
    """Reads and consumes the body that follows the head; ``on_progress`` is called when bytes of it may have arrived.

    A request without a length has no body; a response without one ends with the connection. Raises
    ``MalformedMessageError`` also for a body of more than ``max_bytes``, and otherwise the same as ``read_head``.
    """
    length = body_length(parsed, max_bytes)
    if length is not None and length < 0:
        if not response:
            return b""
        length = max_bytes + 1  # never reached: the body ends with the connection
    decoder = ChunkedDecoder() if length is None else None
    parts, size = [], 0
    while True:
        if decoder is not None:
            data, used = decoder.feed(bytes(stream.unread))
        else:
            assert length is not None
            data = bytes(stream.unread[: length - size])
            used = len(data)
        stream.consume(used)
        parts.append(data)
        size += len(data)
        if size > max_bytes:
            raise MalformedMessageError("body too long", 413)
        if size == length or decoder is not None and decoder.done:
            return b"".join(parts)
        try:
            stream.fill(deadline)
        except ConnectionClosedError:
            if length != max_bytes + 1:
                raise
            return b"".join(parts)
        on_progress()


REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None, keep: bool = True) -> bytes:
    """Serialises a response; unless ``keep`` is set, it announces that the connection closes."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, '')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def request(method: str, target: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Serialises a request; Content-Length is left out if the body is empty, except in a POST."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
