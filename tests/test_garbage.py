"""Random input for parsers that other test files check only with selected input."""

from __future__ import annotations

import contextlib
import copy
import json
from datetime import UTC, datetime
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelspar.http import parser
from kestrelspar.http.sender import parse_expires_in
from kestrelspar.http.watch import LineSplitter, Watch
from kestrelspar.nginx import importer as nginx
from kestrelspar.settings import platform as config
from kestrelspar.smpp.server import parse_time
from snowlock import settings as platform_settings
from tests.test_http import ROW, HttpTestbed, ok
from tests.test_wire import SETTINGS

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)
json_scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
json_values = st.recursive(
    json_scalars,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from([*ROW, "index", "endpoints"]), inner, max_size=4)
    ),
    max_leaves=12,
)


@DETERMINISTIC
@given(st.sampled_from(sorted(SETTINGS)), json_values, st.booleans())
def test_settings_are_read_or_rejected_with_an_error_that_starts_with_settings(
    key: str, value: Any, nested: bool
) -> None:
    raw: dict[str, Any] = copy.deepcopy(SETTINGS)
    if nested and isinstance(raw[key], dict) and raw[key]:
        raw[key][min(raw[key])] = value
    else:
        raw[key] = value
    try:
        platform_settings.read(raw)
    except ValueError as error:
        assert str(error).startswith("settings")


@pytest.fixture(scope="module")
def testbed(tmp_path_factory: pytest.TempPathFactory) -> HttpTestbed:
    return HttpTestbed(tmp_path_factory.mktemp("garbage"), ok)


@DETERMINISTIC
@given(json_values, st.sampled_from(sorted(ROW)), st.binary(max_size=30))
def test_the_transport_map_survives_any_line(testbed: HttpTestbed, value: Any, key: str, random_bytes: bytes) -> None:
    watch = Watch(testbed.loop, testbed.buffers, testbed.courier, testbed.pool, testbed.platform.address)
    valid_line = {"index": 3, "snapshot": False, "endpoints": [{**ROW, key: value}, value, ROW]}
    for line in (json.dumps(value), json.dumps({"endpoints": [value]}), json.dumps(valid_line)):
        watch._handle_line(line.encode())
    watch._handle_line(random_bytes)
    assert b"s-9" in testbed.courier.map.hops and watch.index in (0, 3)


@DETERMINISTIC
@given(st.lists(st.binary(max_size=12).map(lambda x: x.replace(b"\n", b"")), max_size=6), st.integers(1, 9))
def test_lines_are_reassembled_from_any_chunks(parts: list[bytes], chunk_size: int) -> None:
    splitter, data, found = LineSplitter(), b"".join(part + b"\n" for part in parts), []
    for at in range(0, len(data), chunk_size):
        found += splitter.feed(data[at : at + chunk_size])
    assert found == parts


@DETERMINISTIC
@given(
    st.text(max_size=20)
    | st.from_regex(r"\d{16}[+\-R]", fullmatch=True)
    | st.from_regex(r"\d{1,4}(ms|s|m|:\d{1,6})?", fullmatch=True)
)
def test_small_parsers_raise_only_their_own_errors(text: str) -> None:
    for parse in (
        nginx.parse_milliseconds,
        nginx.parse_host_port,
        config.address,
        lambda value: parse_time(value, datetime(2026, 12, 1, tzinfo=UTC)),
    ):
        try:
            parse(text)
        except ValueError:
            continue
    with contextlib.suppress(parser.MalformedMessageError):
        assert parse_expires_in(text) >= 0
