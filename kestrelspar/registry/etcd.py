"""Client of etcd v3 over its JSON gateway (HTTP/1.1): requests, responses, authentication.

Protocol: etcd's "API reference" and "gRPC JSON gateway" pages. Keys and values are in base64, 64-bit numbers are JSON
strings, and the response to a watch is a sequence of JSON objects with ``result`` or ``error``. All decisions about
lists are made in sync.py.
"""

from __future__ import annotations

import base64
from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import Struct

from kestrelspar.http import parser
from kestrelspar.registry.link import MemberConnection, RegistryError, RevisionCompactedError, UnauthenticatedError
from kestrelspar.registry.stream import JsonObjectSplitter, MalformedStreamError
from kestrelspar.registry.sync import Item
from kestrelspar.settings.resolve import Registry

GRPC_OUT_OF_RANGE, GRPC_UNAUTHENTICATED = 11, 16  # gRPC status codes


class ResponseHeader(Struct):
    """Header of every response."""

    cluster_id: str | int = ""
    member_id: str | int = ""
    revision: int = 0


class KeyValue(Struct):
    """A key and its value."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0


class RangeResponse(Struct):
    """Response of /v3/kv/range."""

    header: ResponseHeader
    kvs: list[KeyValue] = []
    more: bool = False
    count: int = 0


class Event(Struct):
    """A change reported by a watch."""

    kv: KeyValue
    type: str | int = "PUT"


class WatchResponse(Struct):
    """One result of a watch.

    ``created``: the watch exists. ``canceled``: it ends. ``compact_revision``: if not 0, the revision requested was
    compacted, and this is the oldest one available. ``fragment``: more of the same changes follow. Without events and
    flags, it reports progress.
    """

    header: ResponseHeader
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[Event] = []
    fragment: bool = False


class WatchError(Struct):
    """Error object of a stream. Its gRPC status is ``grpc_code`` or, if that is 0, ``code``."""

    message: str = ""
    grpc_code: int = 0
    code: int = 0


class StreamMessage(Struct):
    """One JSON object of a stream, with either a result or an error."""

    result: WatchResponse | None = None
    error: WatchError | None = None


class ErrorResponse(Struct):
    """Body of an error response."""

    error: str = ""
    message: str = ""
    code: int = 0


class TxnResponse(Struct):
    """Response of /v3/kv/txn."""

    header: ResponseHeader
    succeeded: bool = False


class AuthenticateResponse(Struct):
    """Response of /v3/auth/authenticate."""

    token: str = ""


def encode_base64(data: bytes) -> str:
    """Encode bytes for the JSON gateway."""
    return base64.b64encode(data).decode()


def range_end(prefix: bytes) -> bytes:
    """The first key after all keys with this prefix; a NUL byte, which means no end, if there is none."""
    end = prefix.rstrip(b"\xff")
    return end[:-1] + bytes([end[-1] + 1]) if end else b"\0"


def _decode(data: bytes, response_type: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=response_type, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RegistryError(f"not an etcd response: {error}") from None


def response_error(status: int, body: bytes) -> Exception:
    """The exception for a response with a status other than 200.

    ``RevisionCompactedError``, ``UnauthenticatedError`` or, for everything else, ``RegistryError``.
    """
    try:
        response = msgspec.json.decode(body, type=ErrorResponse, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return RegistryError(f"status {status}, not an etcd response")
    text = response.error or response.message
    if response.code == GRPC_OUT_OF_RANGE and "compacted" in text:
        return RevisionCompactedError(0)
    if status == 401 or response.code == GRPC_UNAUTHENTICATED or "invalid auth token" in text:
        return UnauthenticatedError(f"status {status}: {text[:200]}")
    return RegistryError(f"status {status}: {text[:200]}")


def items_from_key_values(key_values: list[KeyValue]) -> list[Item]:
    """Convert the key-value pairs of a list."""
    return [
        Item(key_value.key.decode("utf-8", "surrogateescape"), key_value.value, key_value.mod_revision)
        for key_value in key_values
    ]


def items_from_events(events: list[Event]) -> list[Item]:
    """Convert the events of a watch. A deletion, whose type is a name or its number, gets the value None."""
    return [
        Item(
            event.kv.key.decode("utf-8", "surrogateescape"),
            None if event.type in ("DELETE", 1) else event.kv.value,
            event.kv.mod_revision,
        )
        for event in events
    ]


class AuthToken:
    """The token for one member, shared by its connections: when one of them renews it, all use the new one."""

    token = ""  # empty: none yet, or the last one was rejected


class Etcd:
    """One member of an etcd cluster, with the settings of a registry section."""

    def __init__(self, connection: MemberConnection, config: Registry, auth: AuthToken | None = None) -> None:
        self.connection, self.config = connection, config
        self.prefix = config.section.prefix.encode()
        self.auth = auth or AuthToken()

    def call(self, path: str, body: dict[str, Any], response_type: Any) -> Any:
        """Send a request and decode its response. If the token is rejected, renew it and retry once.

        Raises ``RegistryError``, or ``RevisionCompactedError`` if the request names a revision that was compacted.
        """
        for may_retry in (True, False):
            head = self._send(path, body)
            response_body = self.connection.read_body(head)
            if head.status == 200:
                return _decode(response_body, response_type)
            error = response_error(head.status, response_body)
            self.auth.token = "" if isinstance(error, UnauthenticatedError) else self.auth.token
            if not (isinstance(error, UnauthenticatedError) and may_retry and self.config.section.username):
                raise error
        raise AssertionError

    def _send(self, path: str, body: dict[str, Any]) -> parser.Head:
        headers = {"Content-Type": "application/json"}
        if self.config.section.username and not self.auth.token:
            self._authenticate()
        if self.auth.token:
            headers["Authorization"] = self.auth.token
        return self.connection.request("POST", path, headers, msgspec.json.encode(body))

    def _authenticate(self) -> None:
        body = {"name": self.config.section.username, "password": self.config.password}
        head = self.connection.request(
            "POST", "/v3/auth/authenticate", {"Content-Type": "application/json"}, msgspec.json.encode(body)
        )
        response_body = self.connection.read_body(head)
        if head.status != 200:
            raise RegistryError(f"not authenticated: {response_error(head.status, response_body)}")
        self.auth.token = _decode(response_body, AuthenticateResponse).token
        if not self.auth.token or not self.auth.token.isprintable():
            raise RegistryError("not authenticated: no token")

    def _key_range(self) -> dict[str, Any]:
        return {"key": encode_base64(self.prefix), "range_end": encode_base64(range_end(self.prefix))}

    def page(self, after: str, revision: int, limit: int) -> RangeResponse:
        """Read a page of the list: at most ``limit`` keys after the key ``after``, at the revision (0: the newest).

        If ``after`` is empty, the page begins with the first key.
        """
        body = self._key_range() | {"limit": str(limit)}
        if after:
            # The smallest key above ``after`` is ``after`` with a NUL byte added.
            body["key"] = encode_base64(after.encode("utf-8", "surrogateescape") + b"\0")
        if revision:
            body["revision"] = str(revision)
        response: RangeResponse = self.call("/v3/kv/range", body, RangeResponse)
        return response

    def check(self) -> RangeResponse:
        """Read the number of keys, and the one that was changed last, without its value."""
        body = self._key_range() | {"limit": "1", "keys_only": True, "sort_target": "MOD", "sort_order": "DESCEND"}
        response: RangeResponse = self.call("/v3/kv/range", body, RangeResponse)
        return response

    def watch(self, revision: int, silence: int) -> Iterator[WatchResponse | None]:
        """Yield the results of a watch from this revision, and None after each ``silence`` microseconds without data.

        It ends with an exception, unless the caller closes it: ``RevisionCompactedError`` or ``RegistryError``.
        """
        request = self._key_range() | {"start_revision": str(revision), "progress_notify": True, "fragment": True}
        head = self._send("/v3/watch", {"create_request": request})
        if head.status != 200:
            error = response_error(head.status, self.connection.read_body(head))
            self.auth.token = "" if isinstance(error, UnauthenticatedError) else self.auth.token
            raise error
        splitter = JsonObjectSplitter()
        for chunk in self.connection.body_chunks(head, silence):
            if chunk is None:
                yield None
                continue
            try:
                raw_messages = splitter.feed(chunk)
            except MalformedStreamError as error:
                raise RegistryError(f"not an etcd response: {error}") from None
            for raw in raw_messages:
                message: StreamMessage = _decode(raw, StreamMessage)
                if message.error is not None or message.result is None:
                    failure = message.error or WatchError("neither result nor error")
                    if (
                        failure.grpc_code or failure.code
                    ) == GRPC_UNAUTHENTICATED or "invalid auth token" in failure.message:
                        self.auth.token = ""
                    raise RegistryError(f"watch ended: {failure.message[:200]}")
                if message.result.compact_revision:
                    raise RevisionCompactedError(message.result.compact_revision)
                if message.result.canceled:
                    if "auth token" in message.result.cancel_reason:
                        self.auth.token = ""
                    raise RegistryError(f"watch canceled: {message.result.cancel_reason[:200] or 'no reason given'}")
                yield message.result
        raise RegistryError("watch ended")

    # Operator commands

    def read_all(self) -> list[Item]:
        """Read the whole list at one revision."""
        found: list[Item] = []
        after, revision = "", 0
        while True:
            page = self.page(after, revision, self.config.section.page)
            revision = revision or page.header.revision
            found += items_from_key_values(page.kvs)
            if not page.more or not page.kvs:
                return found
            after = found[-1].key

    def get(self, key: str) -> Item | None:
        """Read one key; None if it does not exist."""
        response: RangeResponse = self.call("/v3/kv/range", {"key": encode_base64(key.encode())}, RangeResponse)
        return items_from_key_values(response.kvs)[0] if response.kvs else None

    def change(self, key: str, value: bytes | None, expected: int) -> bool:
        """Put (or delete, if the value is None) if the key is still at the expected revision; 0: the key is absent.

        Returns whether it was changed.
        """
        encoded_key = encode_base64(key.encode())
        request = (
            {"request_delete_range": {"key": encoded_key}}
            if value is None
            else {"request_put": {"key": encoded_key, "value": encode_base64(value)}}
        )
        compare = {"key": encoded_key, "target": "MOD", "result": "EQUAL", "mod_revision": str(expected)}
        response: TxnResponse = self.call(
            "/v3/kv/txn", {"compare": [compare], "success": [request], "failure": []}, TxnResponse
        )
        return response.succeeded
