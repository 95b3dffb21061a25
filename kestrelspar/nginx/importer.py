"""Converts nginx upstream and location blocks to a transport map.

Directives that can't be converted are reported with their file and line.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass, field
from typing import Any

import crossplane  # type: ignore[import-untyped]

_TIME_PART = re.compile(r"(\d+)(ms|s|m|h|d)?")
_UNITS_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}
# Directives of a location, set there or inherited, and their fields in the transport map.
TIME_DIRECTIVES = {
    "proxy_connect_timeout": "connect_timeout_ms",
    "proxy_read_timeout": "read_timeout_ms",
    "proxy_next_upstream_timeout": "within_ms",
}
# Directives that are converted elsewhere or need no conversion, and are not reported.
_STRUCTURAL_DIRECTIVES = frozenset(
    {"events", "http", "server", "upstream", "location", "include", "listen", "server_name", "proxy_pass"}
)


def parse_milliseconds(text: str) -> int:
    """Convert an nginx time to milliseconds; a number without a unit is in seconds.

    Raises ``ValueError`` if it is not a time.
    """
    parts = _TIME_PART.findall(text)
    if not parts or "".join(number + unit for number, unit in parts) != text:
        raise ValueError(f"{text!r} is not a time")
    return sum(int(number) * _UNITS_MS[unit or "s"] for number, unit in parts)


def parse_host_port(text: str) -> str:
    """HOST:PORT of an IPv4 address or localhost, with port 80 as the default. Raises ``ValueError`` for any other."""
    host, colon, port = text.rpartition(":") if ":" in text else (text, "", "80")
    if host == "localhost":
        host = "127.0.0.1"
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{port!r} is not a port")
    return f"{host}:{port}"


@dataclass
class Importer:
    """Walks the parsed files, and collects the transport map and a report of what can't be converted.

    ``zone`` and ``type`` are set on all endpoints, unless they are None. ``upstreams`` has the endpoints of each
    upstream, and ``_locations`` each destination with its endpoints.
    """

    zone: str | None = None
    type: str | None = None
    unsupported: list[str] = field(default_factory=list)
    upstreams: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    _locations: list[tuple[dict[str, Any], list[dict[str, Any]]]] = field(default_factory=list)

    def read(self, path: str) -> dict[str, Any]:
        """Convert a file and the files that it includes to a map; what is lost is added to ``unsupported``."""
        parsed = crossplane.parse(path, combine=True, check_ctx=False, strict=False)
        for error in parsed["errors"]:
            self.unsupported.append(f"{error.get('file') or path}:{error.get('line') or 0}: {error['error']}")
        directives = [directive for file in parsed["config"] for directive in file["parsed"]]
        self._collect_upstreams(directives)
        self._convert_block(directives, {})
        return self._build_map()

    def _report_unsupported(self, directive: dict[str, Any], reason: str = "is not carried over") -> None:
        directive_text = " ".join([directive["directive"], *directive["args"]])
        self.unsupported.append(f"{directive['file']}:{directive['line']}: {directive_text!r:.100} {reason}")

    def _collect_upstreams(self, directives: list[dict[str, Any]]) -> None:
        """Collect all upstreams first, as a location may precede the upstream that it uses."""
        for directive in directives:
            if directive["directive"] != "upstream":
                self._collect_upstreams(directive.get("block", []))
                continue
            rows: list[dict[str, Any]] = []
            for server_directive in directive["block"]:
                if server_directive["directive"] != "server":
                    self._report_unsupported(server_directive)
                elif (row := self._convert_server(server_directive)) is not None:
                    rows.append(row)
            self.upstreams[directive["args"][0]] = rows

    def _convert_server(self, directive: dict[str, Any]) -> dict[str, Any] | None:
        """Convert a server directive of an upstream; returns None, and reports it, if its address is unsupported."""
        try:
            row: dict[str, Any] = {"address": parse_host_port(directive["args"][0]), "status": "active", "weight": 1.0}
        except ValueError:
            self._report_unsupported(directive, "is not carried over: an IPv4 address is needed")
            return None
        for argument in directive["args"][1:]:
            name, _, value = argument.partition("=")
            if argument == "down":
                row["status"] = "leaving"
            elif argument == "backup":
                row["backup"] = True
            elif name == "weight" and value.isdecimal() and int(value):
                row["weight"] = float(value)
            elif name == "max_fails" and value.isdecimal() and int(value):
                row["max_fails"] = int(value)
            else:  # also fail_timeout: the decision module itself determines when a route is tried again
                self._report_unsupported(directive, f"loses {argument!r}")
        return row

    def _settings_of(self, directives: list[dict[str, Any]], inherited: dict[str, int]) -> dict[str, int]:
        """The times and tries of a block: its own, or else the inherited ones.

        Directives that can't be converted are reported.
        """
        own_settings = dict(inherited)
        for directive in directives:
            name, args = directive["directive"], directive["args"]
            if name in TIME_DIRECTIVES or name == "proxy_next_upstream_tries":
                try:
                    own_settings[TIME_DIRECTIVES.get(name, "tries")] = (
                        parse_milliseconds(args[0]) if name in TIME_DIRECTIVES else int(args[0])
                    )
                except (ValueError, IndexError):
                    self._report_unsupported(directive, "is not carried over: it can't be read")
            elif name not in _STRUCTURAL_DIRECTIVES:
                self._report_unsupported(directive)
        return own_settings

    def _convert_block(self, directives: list[dict[str, Any]], inherited: dict[str, int]) -> None:
        """Convert the locations in a block. Its settings are inherited by the blocks inside it."""
        own_settings = self._settings_of(directives, inherited)
        for directive in directives:
            if directive["directive"] == "location":
                self._convert_location(directive, own_settings)
            elif directive["directive"] != "upstream":
                self._convert_block(directive.get("block", []), own_settings)

    def _convert_location(self, directive: dict[str, Any], inherited: dict[str, int]) -> None:
        """Convert a location with a proxy_pass to a destination, and the locations inside it to others.

        A location with a pattern, or whose proxy_pass is missing or names no known next hop over plain HTTP, is only
        reported.
        """
        own_settings = self._settings_of(directive["block"], inherited)
        for nested in directive["block"]:
            if nested["directive"] == "location":
                self._convert_location(nested, own_settings)
        if len(directive["args"]) > 1 and directive["args"][0] not in ("=", "^~"):
            self._report_unsupported(directive, "is not carried over: a pattern does not name a single target")
            return
        proxy_pass = next((nested for nested in directive["block"] if nested["directive"] == "proxy_pass"), None)
        next_hop = re.fullmatch(r"http://([^/$]+)(/[^$]*)?", proxy_pass["args"][0]) if proxy_pass else None
        if next_hop is None:
            self._report_unsupported(proxy_pass or directive, "is not carried over: next hop is not plain http")
            return
        rows = self.upstreams.get(next_hop[1])
        if rows is None:
            try:
                rows = [{"address": parse_host_port(next_hop[1]), "status": "active", "weight": 1.0}]
            except ValueError:
                self._report_unsupported(proxy_pass or directive, "is not carried over: unknown upstream")
                return
        path = directive["args"][-1]
        # Zero is left out: it means no bound in nginx.
        nonzero_settings = {key: value for key, value in own_settings.items() if value}
        destination = {"location": path, "upstream": next_hop[1], "target": next_hop[2] or path, **nonzero_settings}
        self._locations.append((destination, rows))

    def _build_map(self) -> dict[str, Any]:
        """Build the map, with destinations and endpoints numbered in the order of the file."""
        destinations, endpoints = [], []
        for group, (destination, rows) in enumerate(self._locations, 1):
            destinations.append({"group": group, **destination})
            for index, row in enumerate(rows):
                name = f"{destination['upstream']}-{group}-{index}"
                entry = {"name": name, "group": group, "since_ms": 0, **row}
                entry |= {"zone": self.zone} if self.zone else {}
                entry |= {"type": self.type} if self.type else {}
                endpoints.append(entry)
        return {"index": 0, "snapshot": True, "destinations": destinations, "endpoints": endpoints}
