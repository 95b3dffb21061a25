"""A slope of docs/CAPACITY.md: a measurement at several sizes, with several runs each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

RUNS = 3  # per size
MIN_SIZES = 4  # per slope
SETTINGS = ("real process", "modelled network", "pure module")


@dataclass(frozen=True, slots=True)
class Slope:
    """Figures that depend on a size, and how they are measured."""

    name: str  # argument of ``measure NAME``
    size_unit: str  # what the size counts: "members", "listed endpoints"
    sizes: tuple[int, ...]  # four or more, rising
    figures: dict[str, str]  # figure -> unit; units: s, ms, us, bytes, MB, count, share
    measure: Callable[[int, int], dict[str, float]]  # (size, run number as seed) -> value by figure
    doc: str  # what is measured, and in which setting (modelled network, one process ...)
    runs: int = RUNS
    setting: str = SETTINGS[0]  # one of SETTINGS: where the figures come from
    # Figure -> (deciding figure, limit): a run whose deciding figure reaches the limit was cut off or held to a bound.
    # Its value of the figure is shown but not fitted, as the value without the cut-off is unknown.
    cut_off_at: dict[str, tuple[str, float]] = field(default_factory=dict)

    def is_complete(self, figure: str, figures: dict[str, float]) -> bool:
        """Return whether this figure of a run was not cut off."""
        deciding_figure, limit = self.cut_off_at.get(figure, ("", 0.0))
        return not deciding_figure or figures.get(deciding_figure, 0.0) < limit
