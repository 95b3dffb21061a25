"""Tests that fail for a real fault which can't be mended yet: KNOWN-RED.txt names them, and CI passes over just these.

One line each: test's id, cause, issue, between bars; three at most. Whatever else is wrong fails the run: a listed test
that passes, one that is not found, a line that will not do, a fourth. `.ci/run` loads this as a plug-in.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MOST = 3
FORM = "TEST | CAUSE | ISSUE"


def read(text: str) -> dict[str, str]:
    """Tests and their causes; ``ValueError`` names the line that will not do."""
    found: dict[str, str] = {}
    for place, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"KNOWN-RED.txt:{place}: {line!r} is not {FORM}")
        if parts[0] in found:
            raise ValueError(f"KNOWN-RED.txt:{place}: {parts[0]} is there twice")
        found[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(found) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(found)} tests, {MOST} at most")
    return found


class Plugin:
    def __init__(self, red: dict[str, str]) -> None:
        self.red = red

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        missing = set(self.red) - {item.nodeid for item in items}
        if missing:
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(sorted(missing))}")
        for item in items:
            if item.nodeid in self.red:
                item.add_marker(pytest.mark.xfail(reason=self.red[item.nodeid], strict=True))

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for test, cause in self.red.items():
            terminalreporter.write_line(f"KNOWN RED: {test}: {cause}")


def pytest_configure(config: pytest.Config) -> None:
    file = Path(config.rootpath) / "KNOWN-RED.txt"
    try:
        red = read(file.read_text() if file.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.pluginmanager.register(Plugin(red), "known-red-plugin")
