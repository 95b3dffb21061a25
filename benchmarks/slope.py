"""What a slope of docs/CAPACITY.md is: something measured at several sizes, several times each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

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
    # Figure -> (deciding figure, value): a run in which that is reached was cut off, or held to a bound. It is shown,
    # and no fit is made of it: what it would have come to is not known.
    cut: dict[str, tuple[str, float]] = field(default_factory=dict)

    def whole(self, figure: str, figures: dict[str, float]) -> bool:
        """Whether this figure of a run is what it came to, not what it was cut off at."""
        decides, value = self.cut.get(figure, ("", 0.0))
        return not decides or figures.get(decides, 0.0) < value
