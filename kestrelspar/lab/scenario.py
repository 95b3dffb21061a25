"""Scenario files for the rig, in the settings' line format: couriers, member systems, traffic, and timed faults.

    lab
        couriers    6
        for         12s
    member m1
        limit       40
        group       1               # number of its destination; member systems with the same number are its endpoints
    traffic *
        m1          4
    traffic n0
        m1          20
    at 3s
        cut         n0 n1
    at 7s
        heal
        kill        n2
        start       n2 empty

All errors of a file are reported at once with their line numbers, as with settings files.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from kestrelspar.runtime.loop import MS, SECOND
from kestrelspar.settings import kinds
from kestrelspar.settings.lines import Block, ConfError, ConfErrors, Line, SourceLocation, read

# Kinds of values, with their ranges.
DURATION = kinds.duration("", 0, 3_600 * SECOND)
POSITIVE_PERCENT = kinds.number("", 1, 100)
COURIER_COUNT = kinds.number("", 1, 50)
PERCENT = kinds.number("", 0, 100)
CALL_COUNT = kinds.number("", 1, 100_000)
DESTINATION_NUMBER = kinds.number("", 1, 100_000)
RATE = kinds.number("", 0, 1_000)
SWITCH = kinds.switch("")
NAME = kinds.text("", 60)

# Argument types of each action. A trailing * stands for one or more arguments of that type, a trailing ? for an
# optional argument.
ACTIONS: dict[str, tuple[str, ...]] = {
    "cut": ("courier*",),  # datagrams between these couriers and the others are lost
    "deaf": ("courier*",),  # datagrams to these couriers are lost
    "heal": (),  # ends the faults of datagrams and calls
    "loss": ("percent",),  # of all datagrams
    "double": ("percent",),  # of all datagrams
    "delay": ("time", "time"),  # bounds of the random delay of datagrams
    "kill": ("courier*",),  # SIGKILL
    "term": ("courier*",),  # SIGTERM
    "start": ("courier", "empty?"),  # empty: without its saved state
    "stop": ("courier", "time"),  # SIGSTOP, and SIGCONT after the time
    "down": ("member",),  # accepts calls and answers none
    "up": ("member",),  # ends the actions ``down`` and ``shut``; slow start follows
    "shut": ("member",),  # closes connections
    "wait": ("member", "time"),  # refuses calls with Retry-After until the time has passed
    "limit": ("member", "calls"),  # sets the limit, in calls per second
    "calls-lost": ("courier*",),  # calls of these couriers are lost
    "answers-lost": ("courier*",),  # answers to these couriers are lost
    "calls-late": ("time", "time"),  # bounds of the random delay of all calls
}


@dataclass(frozen=True, slots=True)
class Action:
    """One timed action: its name, a key of ``ACTIONS``, and its parsed arguments."""

    at: int  # microseconds after the warm-up
    name: str
    arguments: tuple[Any, ...]


@dataclass(slots=True)
class Scenario:
    """The contents of a scenario file. Times in microseconds, rates in messages per second."""

    couriers: int = 5
    span: int = 10 * SECOND  # length of the run after the warm-up
    # Traffic before time 0 of the actions; its calls don't count in the checks of limits and of repeated attempts.
    warm_up: int = 6 * SECOND
    peers: bool = True
    # Percentage of the limits' shared part that repeated attempts of all couriers together may use; 100: no bound.
    again: int = 100
    liar: str = ""  # name of a simulated lying (Byzantine) courier
    limits: dict[str, int] = field(default_factory=dict)  # by member: calls per second
    latencies: dict[str, int] = field(default_factory=dict)  # by member: time until it answers a call
    groups: dict[str, int] = field(default_factory=dict)  # by member: the number of its destination
    traffic: dict[str, dict[str, float]] = field(default_factory=dict)  # by courier or *, then by member
    actions: list[Action] = field(default_factory=list)

    def rates(self) -> dict[str, dict[str, float]]:
        """Rates by courier, then by member; rates for a single courier override those for all (``*``)."""
        names = [f"n{number}" for number in range(self.couriers)]
        return {name: self.traffic.get("*", {}) | self.traffic.get(name, {}) for name in names}


class _Reader:
    """Collects a scenario and its errors.

    Each section is parsed by the method of its name: ``lab``, ``member``, ``traffic`` or ``at``.
    """

    def __init__(self) -> None:
        self.scenario = Scenario()
        self.errors: list[ConfError] = []

    def add_error(self, place: SourceLocation, key: str, text: str) -> None:
        self.errors.append(ConfError(place, key, text))

    def parse_value(self, line: Line, key: str, text: str, meta: Any) -> Any:
        try:
            return kinds.parse_value(text, meta, "")
        except ValueError as error:
            self.add_error(line.location, key, f"{error} (wanted: {kinds.describe_accepted(meta)})")
            return None

    def parse_single(self, line: Line, key: str, meta: Any) -> Any:
        if len(line.words) != 1:
            self.add_error(
                line.location, key, f"has {len(line.words)} arguments (wanted: {kinds.describe_accepted(meta)})"
            )
            return None
        return self.parse_value(line, key, line.words[0], meta)

    def known_courier(self, name: str) -> str | None:
        """Return the name if it is a courier of the scenario, else None."""
        return name if name in {f"n{number}" for number in range(self.scenario.couriers)} else None

    def parse_keys(self, block: Block, table: dict[str, tuple[Any, Callable[[Any], None]]]) -> None:
        for line in block.lines:
            key = f"{block.kind}{' ' + block.label if block.label else ''}.{line.key}"
            if line.key not in table:
                self.add_error(line.location, key, f"unknown key (wanted: {' or '.join(table)})")
                continue
            meta, assign = table[line.key]
            value = self.parse_single(line, key, meta)
            if value is not None:
                assign(value)

    def lab(self, block: Block) -> None:
        scenario = self.scenario
        self.parse_keys(
            block,
            {
                "couriers": (COURIER_COUNT, lambda value: setattr(scenario, "couriers", value)),
                "for": (DURATION, lambda value: setattr(scenario, "span", value)),
                "warm-up": (DURATION, lambda value: setattr(scenario, "warm_up", value)),
                "peers": (SWITCH, lambda value: setattr(scenario, "peers", value)),
                "again": (POSITIVE_PERCENT, lambda value: setattr(scenario, "again", value)),
                "liar": (NAME, lambda value: setattr(scenario, "liar", value)),
            },
        )
        if scenario.liar and self.known_courier(scenario.liar) is None:
            self.add_error(
                block.location,
                "lab.liar",
                f"{scenario.liar!r:.40} is not a courier (wanted: n0 to n{scenario.couriers - 1})",
            )

    def member(self, block: Block) -> None:
        if not block.label:
            self.add_error(block.location, "member", "has no name")
        self.scenario.limits[block.label], self.scenario.latencies[block.label] = 50, 20 * MS
        self.scenario.groups[block.label] = len(self.scenario.groups) + 1
        self.parse_keys(
            block,
            {
                "limit": (CALL_COUNT, lambda value: self.scenario.limits.__setitem__(block.label, value)),
                "pace": (DURATION, lambda value: self.scenario.latencies.__setitem__(block.label, value)),
                "group": (DESTINATION_NUMBER, lambda value: self.scenario.groups.__setitem__(block.label, value)),
            },
        )

    def traffic(self, block: Block) -> None:
        if block.label != "*" and self.known_courier(block.label) is None:
            self.add_error(
                block.location,
                "traffic",
                f"{block.label!r:.40} is not a courier (wanted: * or n0 to n{self.scenario.couriers - 1})",
            )
        rates = self.scenario.traffic.setdefault(block.label, {})
        table: dict[str, tuple[Any, Callable[[Any], None]]] = {
            name: (RATE, lambda value, name=name: rates.__setitem__(name, float(value)))  # type: ignore[misc]
            for name in self.scenario.limits
        }
        self.parse_keys(block, table)

    def at(self, block: Block) -> None:
        try:
            when = kinds.parse_value(block.label, DURATION, "")
        except ValueError as error:
            self.add_error(block.location, "at", f"{error} (wanted: {kinds.describe_accepted(DURATION)})")
            when = 0  # only so that the section's lines are checked, too
        for line in block.lines:
            if line.key not in ACTIONS:
                self.add_error(line.location, f"at.{line.key}", f"unknown action (wanted: {', '.join(ACTIONS)})")
                continue
            arguments = self.parse_arguments(line)
            if arguments is not None:
                self.scenario.actions.append(Action(when, line.key, arguments))

    def parse_arguments(self, line: Line) -> tuple[Any, ...] | None:
        """Parse the arguments of an action by their types; return None if one is invalid."""
        types, given = ACTIONS[line.key], line.words
        if types and types[-1].endswith("*"):
            types = (types[0].rstrip("*"),) * max(1, len(given))
        needed = sum(not kind.endswith("?") for kind in types)
        if not needed <= len(given) <= len(types):
            self.add_error(
                line.location, f"at.{line.key}", f"has {len(given)} arguments (wanted: {' '.join(types) or 'none'})"
            )
            return None
        found: list[Any] = []
        for kind, argument in zip(types, given, strict=False):
            if kind in ("time", "percent", "calls"):
                meta = {"time": DURATION, "percent": PERCENT, "calls": CALL_COUNT}[kind]
                found.append(self.parse_value(line, f"at.{line.key}", argument, meta))
                continue
            known = {
                "courier": self.known_courier(argument),
                "member": argument if argument in self.scenario.limits else None,
                "empty?": argument if argument == "empty" else None,
            }[kind]
            if known is None:
                self.add_error(line.location, f"at.{line.key}", f"{argument!r:.40} is not a known {kind.rstrip('?')}")
            found.append(known)
        return None if None in found else tuple(found)


def load(path: str, couriers: int | None = None) -> Scenario:
    """Load a scenario; raise ``ConfErrors`` with all errors. ``couriers`` overrides the number in the file."""
    blocks, errors = read(path)
    reader = _Reader()
    reader.errors += errors
    order = ("lab", "member", "traffic", "at")
    for block in blocks:
        if block.kind not in order:
            reader.add_error(block.location, block.kind, f"unknown section (wanted: {' or '.join(order)})")
    for kind in order:
        for block in blocks:
            if block.kind == kind:
                getattr(reader, kind)(block)
        if kind == "lab" and couriers is not None:
            reader.scenario.couriers = couriers
    if not reader.scenario.limits and not reader.errors:
        reader.add_error(SourceLocation(path, 0), "member", "missing section (wanted: one or more)")
    if reader.errors:
        raise ConfErrors(sorted(reader.errors))
    reader.scenario.actions.sort(key=lambda action: action.at)
    return reader.scenario
