"""Logs: one parsable line per event, whatever peers send; and the on-call page lists every event."""

from __future__ import annotations

import json
import re
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.runtime import logs

ROOT = Path(__file__).parent.parent.parent


def test_both_formats_have_the_fields_of_each_event_at_an_enabled_level(capsys: pytest.CaptureFixture[str]) -> None:
    logs.set_up("logfmt", "warning")
    logs.event("quiet")
    logs.warn("loud", trace="t 1", hop="s-1", n=0, note=None, sure=True)
    logs.set_up("json", "info")
    logs.event("plain", trace="t1", why='say "x"\n')
    first, second = capsys.readouterr().out.splitlines()
    assert re.fullmatch(
        r'at=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=WARNING event=loud trace="t 1" hop=s-1 n=0 '
        r"sure=true",
        first,
    )
    fields = json.loads(second)
    assert (fields["event"], fields["trace"], fields["why"], fields["level"]) == ("plain", "t1", 'say "x"\n', "INFO")


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.text(max_size=30))
def test_no_text_can_start_a_second_line_or_field(text: str) -> None:
    lines: list[str] = []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            sys, "stdout", type("Out", (), {"write": lambda _, data: lines.append(data), "flush": lambda _: None})()
        )
        logs.set_up()
        logs.event("hand-in", why=text, last=1)
    whole = "".join(lines)
    assert whole.endswith(" last=1\n") and len(re.findall(r"[\n\r\x00\x1b]", whole)) == 1
    assert len(re.findall(r'(?:^| )(?:[^" ]+)=(?:"(?:[^"\\]|\\.)*"|[^" ]*)', whole.strip())) == 5


def test_a_failure_to_write_the_log_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    class FullDisk:
        def write(self, _: str) -> None:
            raise OSError(28, "No space left on device")

        flush = None

    monkeypatch.setattr(sys, "stdout", FullDisk())
    logs.event("lost")
    monkeypatch.setattr(sys, "stdout", None)
    logs.event("lost")


def test_the_on_call_page_lists_every_event() -> None:
    used: set[str] = set()
    for file in (ROOT / "kestrelspar").rglob("*.py"):
        text = file.read_text()
        used |= set(re.findall(r'logs\.(?:event|warn|error)\(\s*"([a-z\'-]+)"', text))
        used |= set(re.findall(r'(?:ERROR|WARNING|INFO), "([a-z]+-[a-z-]+)"', text))
        used |= set(re.findall(r'events\.append\(\("([a-z-]+)"', text)) | set(re.findall(r'_tally\("([a-z-]+)"', text))
        used |= set(re.findall(r'event\("([a-z]+)" if [a-z.]+ else "([a-z]+)"', text)) and {"deferred", "rejected"}
    known = set(re.findall(r"`([a-z'-]+)`", (ROOT / "docs" / "on-call.md").read_text()))
    assert len(used) > 50 and sorted(used - known) == []
