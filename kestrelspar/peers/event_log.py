"""Logs the events of couriers and brokers.

Those that an operator must act on are errors, logged at most once a minute for each event name and peer or courier.
"""

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
        """Log each event at the level that belongs to its name."""
        for name, fields in events:
            if name not in ERROR_EVENTS:
                logs.event(name, logs.DEBUG if name in DEBUG_EVENTS else logs.INFO, **fields)
                continue
            subject = name, str(fields.get("peer", fields.get("courier", "")))
            if self._loop.now >= self._logged_at.get(subject, -ERROR_INTERVAL) + ERROR_INTERVAL:
                self._logged_at[subject] = self._loop.now
                logs.error(name, **fields)
