"""Extrapolates measured means to other sizes, by a line or a power that is chosen by rule. No I/O.

At a measured size, the value is the mean of the runs. At other sizes it comes from a least-squares fit to the means:
a line a + b n, or a power c n^k fitted on logarithms. The line is chosen unless the power is clearly steeper (k is at
least ``MIN_POWER_EXPONENT``) and has the smaller error. A figure that falls with the size keeps the last mean.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from statistics import mean

MIN_POWER_EXPONENT = 1.15


@dataclass(frozen=True, slots=True)
class Value:
    """A figure at a size, and how far it is extrapolated."""

    value: float
    up_to: int  # the largest size measured
    factor: float  # of extrapolation; 1: within the measured sizes


@dataclass(frozen=True, slots=True)
class Fit:
    """Both fits of one figure, and which one is chosen."""

    means: Mapping[int, float]
    a: float
    b: float
    c: float
    k: float  # 0 if there is no power fit, as a mean is 0 or less
    line_error: float  # root mean square error of the line, divided by the mean of the means
    power_error: float
    kind: str  # "line", "power", "level"

    def at(self, size: float) -> Value:
        """Return the figure at that size."""
        up_to = max(self.means)
        factor = max(1.0, size / up_to)
        if size in self.means:
            return Value(self.means[int(size)], up_to, factor)
        if self.kind == "power":
            return Value(self.c * size**self.k, up_to, factor)
        if self.kind == "level":
            return Value(self.means[up_to], up_to, factor)
        return Value(max(0.0, self.a + self.b * size), up_to, factor)

    @property
    def error(self) -> float:
        """Relative error of the chosen fit."""
        return self.power_error if self.kind == "power" else self.line_error


def fit(points: Iterable[tuple[int, float]]) -> Fit:
    """Fit points (size, value), which may have several values per size, one per run."""
    by_size: dict[int, list[float]] = {}
    for size, value in points:
        by_size.setdefault(size, []).append(value)
    means = {size: mean(values) for size, values in sorted(by_size.items())}
    if len(means) < 2:
        raise ValueError("a slope needs at least two sizes")
    a, b = _line(list(means.items()))
    line_error = _relative_error(means, lambda size: a + b * size)
    if all(value > 0 for value in means.values()):
        log_c, k = _line([(math.log(size), math.log(value)) for size, value in means.items()])
        c = math.exp(log_c)
        power_error = _relative_error(means, lambda size: c * size**k)
    else:
        c = k = 0.0
        power_error = math.inf
    if b < 0:
        kind = "level"
    elif k >= MIN_POWER_EXPONENT and power_error < line_error:
        kind = "power"
    else:
        kind = "line"
    return Fit(means, a, b, c, k, line_error, power_error, kind)


def _line(points: list[tuple[float, float]]) -> tuple[float, float]:
    x, y = mean(each for each, _ in points), mean(each for _, each in points)
    spread = sum((each - x) ** 2 for each, _ in points)
    b = sum((left - x) * (right - y) for left, right in points) / spread
    return y - b * x, b


def _relative_error(means: Mapping[int, float], predict: object) -> float:
    assert callable(predict)
    overall_mean = mean(means.values())
    if overall_mean == 0:
        return 0.0
    return math.sqrt(mean((predict(size) - value) ** 2 for size, value in means.items())) / abs(overall_mean)
