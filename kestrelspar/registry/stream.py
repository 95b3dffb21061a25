"""Splits a byte stream into JSON objects: an etcd watch is a sequence of objects, a Consul list an array of them."""

from __future__ import annotations

import re

MAX_OBJECT_SIZE = 4_000_000  # bytes; etcd sends fragments of at most 1.5 MB
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|["{}]', re.S)


class MalformedStreamError(ValueError):
    """The bytes are not a sequence of JSON objects."""


class JsonObjectSplitter:
    """Splits a sequence or an array of objects into single ones, without decoding them."""

    def __init__(self) -> None:
        self._buffer = b""
        self._scan_from = 0  # offset in the buffer at which the next token is searched for
        self._object_start = -1  # offset of the open object; -1: none
        self._depth = 0

    @property
    def at_boundary(self) -> bool:
        """Whether no incomplete object is left, so that the stream may end here."""
        return not self._depth and not self._buffer.strip(b" \t\r\n,[]")

    def feed(self, data: bytes) -> list[bytes]:
        """Add data and return the objects that it completes.

        Raises ``MalformedStreamError`` for anything between objects but blanks, commas and brackets, and for an
        incomplete object of more than ``MAX_OBJECT_SIZE``.
        """
        self._buffer += data
        objects, object_end = [], 0
        position = self._scan_from
        while True:
            match = _TOKEN.search(self._buffer, position)
            if match is None:
                position = len(self._buffer)
                break
            token, token_start = match[0], match.start()
            if token == b'"':  # a string whose end has not arrived
                position = token_start
                break
            position = match.end()
            if token == b"{":
                if not self._depth:
                    if self._buffer[object_end:token_start].strip(b" \t\r\n,[]"):
                        raise MalformedStreamError("unexpected data between objects")
                    self._object_start = token_start
                self._depth += 1
            elif token == b"}":
                self._depth -= 1
                if self._depth < 0:
                    raise MalformedStreamError("closing brace without an opening one")
                if not self._depth:
                    objects.append(self._buffer[self._object_start : position])
                    object_end, self._object_start = position, -1
            elif not self._depth:
                raise MalformedStreamError("string between objects")
        keep_from = self._object_start if self._depth else object_end
        if not self._depth and self._buffer[object_end:].strip(b' \t\r\n,[]"'):
            raise MalformedStreamError("unexpected data between objects")
        self._buffer, self._scan_from = self._buffer[keep_from:], position - keep_from
        if self._depth:
            self._object_start = 0
        if len(self._buffer) > MAX_OBJECT_SIZE:
            raise MalformedStreamError(f"object of more than {MAX_OBJECT_SIZE} bytes")
        return objects
