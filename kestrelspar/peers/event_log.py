"""Events of couriers and brokers as log lines: those that need an operator are errors, logged once a minute."""

from __future__ import annotations

from kestrelspar.peers.members import Events
from kestrelspar.runtime import logs
from kestrelspar.runtime.loop import MS, Loop

ERROR_EVENTS = {
    "peers-name-twice",
    "peers-number-twice",
    "peers-owns-nothing",
    "peers-lends-too-much",
    "peers-folder-full",
    "peers-not-believed",
    "broker-name-twice",
    "broker-number-twice",
}
DEBUG_EVENTS = {"peers-borrowed"}
ERROR_INTERVAL = 60_000 * MS  # between two log lines for the same error event of the same peer


class EventLog:
    """Logs events, and rate-limits those that are errors."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._logged_at: dict[tuple[str, str], int] = {}

    def write(self, events: Events) -> None:
        """Log events at the level that belongs to each."""
        for name, fields in events:
            if name not in ERROR_EVENTS:
                logs.event(name, logs.DEBUG if name in DEBUG_EVENTS else logs.INFO, **fields)
                continue
            which = name, str(fields.get("peer", fields.get("courier", "")))
            if self._loop.now >= self._logged_at.get(which, -ERROR_INTERVAL) + ERROR_INTERVAL:
                self._logged_at[which] = self._loop.now
                logs.error(name, **fields)
