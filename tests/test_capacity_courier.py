"""Slopes of one real courier: each measurement, at a small size, returns all figures of its slope."""

from __future__ import annotations

import math

import pytest

from benchmarks import capacity_courier
from benchmarks.capacity_courier import SLOPES
from benchmarks.slope import Slope
from kestrelspar.runtime.loop import SECOND

# Slopes that compare memory with that of an empty courier have sizes at which the difference exceeds the granularity
# of the system's pages.
SIZES = {
    "listed": 1_000,
    "list-change": 20,
    "list-again": 20,
    "open-message": 300,
    "backlog-served": 20,
    "message-served": 40,
    "config-change": 20,
}


@pytest.mark.parametrize("slope", SLOPES, ids=lambda slope: slope.name)
def test_each_measurement_returns_all_its_figures(slope: Slope, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(capacity_courier, "LOAD_DURATION", SECOND // 2)
    monkeypatch.setattr(capacity_courier, "LIST_CHANGES_PER_RUN", 4)
    figures = slope.measure(SIZES[slope.name], 1)
    assert figures.keys() == slope.figures.keys()
    assert all(math.isfinite(value) and value > 0 for value in figures.values()), figures


def test_slopes_have_unique_names_and_four_rising_sizes() -> None:
    assert len({slope.name for slope in SLOPES}) == len(SLOPES)
    for slope in SLOPES:
        assert len(slope.sizes) >= 4 and list(slope.sizes) == sorted(set(slope.sizes)), slope.name
        assert slope.figures and slope.doc.endswith(".") and slope.runs == 3, slope.name
        assert set(slope.figures.values()) <= {"s", "ms", "us", "bytes", "MB", "count", "share"}, slope.name
