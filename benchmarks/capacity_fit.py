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
    """A figure at one size, and how far that size is beyond the measured ones."""

    value: float
    up_to: int  # the largest size measured
    factor: float  # size over the largest measured size; 1 within the measured sizes


@dataclass(frozen=True, slots=True)
class Fit:
    """Both fits of one figure, and which one is chosen."""

    means: Mapping[int, float]
    a: float  # line: a + b n
    b: float
    c: float  # power: c n^k
    k: float  # c and k are 0 if a mean is 0 or less: there is no power fit then
    line_error: float  # root mean square error of the line, divided by the mean of the means
    power_error: float
    kind: str  # chosen fit: "line", "power", or "level" for a figure that falls with the size

    def at(self, size: float) -> Value:
        """Return the mean of the runs at a measured size, and otherwise the value of the chosen fit."""
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
    """Fit points (size, value), which may have several values per size, one per run.

    Raises ``ValueError`` if there are fewer than two sizes.
    """
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
    """Return (a, b) of the least-squares line a + b x."""
    mean_x, mean_y = mean(x for x, _ in points), mean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    b = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - b * mean_x, b


def _relative_error(means: Mapping[int, float], predict: object) -> float:
    """Return the root mean square error of the prediction, divided by the mean of the means."""
    assert callable(predict)
    overall_mean = mean(means.values())
    if overall_mean == 0:
        return 0.0
    return math.sqrt(mean((predict(size) - value) ** 2 for size, value in means.items())) / abs(overall_mean)
