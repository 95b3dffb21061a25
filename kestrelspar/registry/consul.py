"""Client of Consul's KV store over HTTP: blocking reads of all keys with a prefix.

Protocol: Consul's "KV Store API" and "Blocking queries" pages. All decisions about lists are made in sync.py.
"""

from __future__ import annotations

from collections.abc import Iterator
from urllib.parse import quote

import msgspec
from msgspec import Struct

from kestrelspar.http import parser
from kestrelspar.http.nexthop import parse_retry_after
from kestrelspar.registry.link import MemberConnection, RegistryError
from kestrelspar.registry.stream import JsonObjectSplitter, MalformedStreamError
from kestrelspar.registry.sync import Item
from kestrelspar.settings.resolve import Registry


class KeyValue(Struct):
    """One key of a response. Consul sends the value in base64, and null for an empty one."""

    Key: str
    ModifyIndex: int
    Value: bytes | None = None


_decoder = msgspec.json.Decoder(KeyValue)


def decode_key_value(raw: bytes) -> KeyValue:
    """Decode the JSON object of one key. Raises ``RegistryError`` if it lacks Consul's fields."""
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RegistryError(f"not a Consul response: {error}") from None


def parse_number(text: str) -> int | None:
    """The number in a header, or None if it is not a number of at most 19 digits."""
    return int(text) if text.isascii() and text.isdigit() and len(text) < 20 else None


class Consul:
    """One Consul agent or server, with the settings of a registry section."""

    def __init__(self, connection: MemberConnection, config: Registry) -> None:
        self.connection, self.config = connection, config
        self._headers = {"X-Consul-Token": config.token} if config.token else {}

    def _request(self, method: str, key: str, query: str, body: bytes = b"", wait: int = 0) -> parser.Head:
        return self.connection.request(method, f"/v1/kv/{quote(key)}?{query}", self._headers, body, wait)

    def _response_error(self, head: parser.Head) -> RegistryError:
        text = self.connection.read_body(head).decode("latin-1").strip()[:200]
        reason = {403: "the token lacks the permission", 429: "too many requests", 500: "no leader"}.get(
            head.status, ""
        )
        return RegistryError(
            f"status {head.status}{f', {reason}' if reason else ''}: {text}",
            parse_retry_after(head.headers.get("retry-after", "")),
        )

    def read(self, index: int, consistent: bool) -> tuple[parser.Head, int | None, bool, int]:
        """Begin to read the whole list. Unless ``index`` is 0, the read blocks until the list changes after that index.

        It blocks for the section's ``wait`` at most. ``consistent`` overrides the section's ``consistency``. Returns
        the head of the response; its index, or None if the header is missing or invalid; whether the member knows a
        leader (true if it does not say); and how many milliseconds ago it was last in contact with the leader (0 if it
        does not say). Raises ``RegistryError`` unless the status is 200 or 404, which stands for an empty list.
        """
        section = self.config.section
        query = "recurse=true"
        if index:
            query += f"&index={index}&wait={section.wait // 1000}ms"
        mode = "consistent" if consistent else section.consistency
        query += f"&{mode}" if mode != "default" else ""
        # The server may add up to 1/16 of the wait as jitter: the time-out allows for it.
        head = self._request("GET", section.prefix, query, wait=section.wait * 17 // 16 if index else 0)
        if head.status not in (200, 404):
            raise self._response_error(head)
        headers = head.headers
        last_contact_ms = parse_number(headers.get("x-consul-lastcontact", "")) or 0
        return (
            head,
            parse_number(headers.get("x-consul-index", "")),
            headers.get("x-consul-knownleader", "true") != "false",
            last_contact_ms,
        )

    def item_batches(self, head: parser.Head) -> Iterator[list[Item]]:
        """Yield the keys of a response as they arrive, without those that end with a slash, which are folders.

        Raises ``RegistryError`` if the body is no list of keys, or is truncated.
        """
        splitter = JsonObjectSplitter()
        for chunk in self.connection.body_chunks(head):
            if head.status == 404:
                continue
            try:
                found = splitter.feed(chunk or b"")
            except MalformedStreamError as error:
                raise RegistryError(f"not a Consul response: {error}") from None
            key_values = [decode_key_value(raw) for raw in found]
            yield [
                Item(key_value.Key, key_value.Value or b"", key_value.ModifyIndex)
                for key_value in key_values
                if not key_value.Key.endswith("/")
            ]
        if not splitter.at_boundary:
            raise RegistryError("not a Consul response: truncated")

    # Operator commands

    def read_all(self) -> list[Item]:
        """Read the whole list: consistently, unless the section's ``consistency`` is ``stale``."""
        head, _, knows_leader, _ = self.read(0, self.config.section.consistency != "stale")
        found = [item for batch in self.item_batches(head) for item in batch]
        if not knows_leader:
            raise RegistryError("the member knows no leader")
        return found

    def get(self, key: str) -> Item | None:
        """Read one key consistently; None if it does not exist."""
        head = self._request("GET", key, "consistent")
        if head.status not in (200, 404):
            raise self._response_error(head)
        found = [item for batch in self.item_batches(head) for item in batch]
        return found[0] if found else None

    def change(self, key: str, value: bytes | None, expected: int) -> bool:
        """Put (or delete, if the value is None) if the key is still at the expected index; 0: the key is absent.

        Returns whether it was changed.
        """
        head = self._request("DELETE" if value is None else "PUT", key, f"cas={expected}", value or b"")
        if head.status != 200:
            raise self._response_error(head)
        return self.connection.read_body(head).strip() == b"true"
