"""What a slope of docs/CAPACITY.md is: something measured at several sizes, several times each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

RUNS = 3
LEAST_SIZES = 4
SETTINGS = ("real process", "modelled network", "pure module")


@dataclass(frozen=True, slots=True)
class Slope:
    """One thing that grows with a size, and how it is measured."""

    name: str  # as given to ``measure NAME``
    by: str  # what the size counts: "members", "listed endpoints"
    sizes: tuple[int, ...]  # four or more, rising
    figures: dict[str, str]  # figure -> unit; units: s, ms, us, bytes, MB, count, share
    measure: Callable[[int, int], dict[str, float]]  # (size, number of the run: its seed) -> value by figure
    doc: str  # one sentence: what is measured, in which setting (modelled network, one process ...)
    runs: int = RUNS
    setting: str = SETTINGS[0]  # of these: where the figures come from
