"""Benchmarks, one per module: `python -m benchmarks.NAME` prints a table; docs/measurements.md has the results."""
