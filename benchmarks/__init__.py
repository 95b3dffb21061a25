"""One file a measurement: `python -m benchmarks.NAME` prints a table; docs/measurements.md has the results."""
