"""Known test failures: KNOWN-RED.txt lists tests that fail for a real fault which can't be fixed yet.

Each line names one test, its cause and its issue, separated by ``|``. A last field ``intermittent: 2 of 5`` (2 failures
in 5 runs) lets the test pass or fail; a test without it has to fail. CI tolerates these tests alone and prints each of
them. Anything else fails the run: a listed test that passes though it isn't intermittent, one that is not found, a
malformed line. `.ci/run` loads this module as a pytest plug-in.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

LINE_FORMAT = "TEST | CAUSE | ISSUE [| intermittent: FAILURES of RUNS]"
INTERMITTENT = re.compile(r"intermittent: (\d+) of (\d+)")


@dataclass(frozen=True)
class KnownFailure:
    """A test that is expected to fail: each time, or in some runs (``intermittent``)."""

    test: str
    reason: str
    intermittent: bool


def parse_line(line: str) -> KnownFailure:
    """Parse one line of the list; ``ValueError`` without a text if it is malformed."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) not in (3, 4) or not all(fields):
        raise ValueError
    test, cause, issue, *rate = fields
    if not rate:
        return KnownFailure(test, f"{cause} ({issue})", intermittent=False)
    match = INTERMITTENT.fullmatch(rate[0])
    if match is None or not 0 < int(match[1]) < int(match[2]):
        raise ValueError
    return KnownFailure(test, f"{cause} ({issue}; {rate[0]})", intermittent=True)


def read(text: str) -> dict[str, KnownFailure]:
    """Known failures by test id; ``ValueError`` names the line with the error."""
    found: dict[str, KnownFailure] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        try:
            failure = parse_line(line)
        except ValueError:
            raise ValueError(f"KNOWN-RED.txt:{number}: {line!r} is not {LINE_FORMAT}") from None
        if failure.test in found:
            raise ValueError(f"KNOWN-RED.txt:{number}: {failure.test} is there twice")
        found[failure.test] = failure
    return found


class Plugin:
    def __init__(self, failures: dict[str, KnownFailure]) -> None:
        self.failures = failures

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        missing = set(self.failures) - {item.nodeid for item in items}
        if missing:
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(sorted(missing))}")
        for item in items:
            failure = self.failures.get(item.nodeid)
            if failure is not None:
                item.add_marker(pytest.mark.xfail(reason=failure.reason, strict=not failure.intermittent))

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for failure in self.failures.values():
            terminalreporter.write_line(f"KNOWN RED: {failure.test}: {failure.reason}")


def pytest_configure(config: pytest.Config) -> None:
    file = Path(config.rootpath) / "KNOWN-RED.txt"
    try:
        failures = read(file.read_text() if file.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.pluginmanager.register(Plugin(failures), "known-red-plugin")
