"""Noise in the headers of one response: no message loses its answer, and the destination is soon called again."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.http import parser
from kestrelspar.http.nexthop import MAX_RETRY_AFTER, parse_retry_after
from kestrelspar.runtime.loop import MS, SECOND
from tests.test_http import HttpTestbed, ok, submit_request

LARGEST_DOUBLE = "1.7976931348623157E308"
NO_DELAYS = [
    LARGEST_DOUBLE,
    "-" + LARGEST_DOUBLE,
    "1e303",
    "1E9",
    "99999999999999999999",
    "9" * 5_000,
    "inf",
    "-Infinity",
    "nan",
    "-0.5",
    "0x10",
    "",
    "Wed, 21 Oct 2026 07:28:00 GMT",
    "0.5, 1e308",
    "\N{LATIN SMALL LETTER E WITH ACUTE}",
]
CLASSES = ("reading", "work-order", "payment")


@pytest.mark.parametrize("value", NO_DELAYS, ids=lambda value: value[:24])
@pytest.mark.parametrize("status", [429, 503])
def test_noise_in_a_retry_after_ends_no_message_and_stops_no_destination(
    tmp_path: Path, value: str, status: int
) -> None:
    # Guards against an OverflowError that took the messages' final answers, and against a stop of an hour.
    refused: list[str] = []

    def refuse_once(head: parser.Head, _: bytes) -> bytes:
        trace = head.headers["x-trace-id"]
        if trace != "m6" or refused:
            return ok()
        refused.append(trace)
        return f"HTTP/1.1 {status} X\r\nRetry-After: {value}\r\nContent-Length: 0\r\n\r\n".encode("latin-1")

    testbed = HttpTestbed(tmp_path, refuse_once)
    for number in range(8):
        assert b" 202 " in testbed.talk(submit_request(f"m{number}", CLASSES[number % 3]))
        testbed.run_for(100 * MS)
    testbed.run_until(lambda: not testbed.journal.entries, within=5 * SECOND)
    assert not testbed.notices_seen() and refused, "all of them are delivered"
    assert not testbed.courier.attempts_in_flight and not testbed.courier.controller.inflight


def test_a_long_delay_that_may_be_meant_is_honoured_up_to_an_hour() -> None:
    assert parse_retry_after("23.5") == 23_500 * MS and parse_retry_after("3599") == 3_599 * SECOND
    assert parse_retry_after("7200") == parse_retry_after("86400") == MAX_RETRY_AFTER
    assert parse_retry_after("86401") == 0


@pytest.mark.parametrize(
    "report",
    [
        "TEXT x0=0, x1=0.011",
        "TEXT x0=1e308, x1=1e308",
        "TEXT x0=0, x1=1e-300",
        "TEXT x0=0, x1=999999",
        "TEXT x0=nan, x1",
    ],
)
@pytest.mark.parametrize(
    ("status", "known"),
    [(200, "TEXT x0=0.5, x1=60"), (429, "TEXT x0=0.5, x1=60"), (500, "TEXT x0=0.5, x1=60"), (200, "")],
)
def test_noise_in_one_load_report_stops_no_destination(tmp_path: Path, report: str, status: int, known: str) -> None:
    # Guards against a limit of one response that spaces the calls of a large fleet by hours.
    reports = [known] * 3 + [report]

    def reporting(head: parser.Head, _: bytes) -> bytes:
        told = reports.pop(0) if reports else "TEXT x0=0.5, x1=60"
        now_status = status if told == report else 200
        return parser.response(now_status, headers={"Endpoint-Load-Metrics": told} if told else {})

    testbed = HttpTestbed(tmp_path, reporting, forwarders=20)
    for number in range(8):
        testbed.talk(submit_request(f"m{number}"))
        testbed.run_for(2 * SECOND)
    testbed.run_until(lambda: not testbed.journal.entries, within=10 * SECOND)
    assert not testbed.notices_seen()


def test_a_limit_that_has_really_vanished_counts_with_the_second_report(tmp_path: Path) -> None:
    # Guards against a limit that is never believed, as it fell by much.
    reports = ["TEXT x0=0.5, x1=60", "TEXT x0=0.5, x1=0.5", "TEXT x0=0.5, x1=0.5"]
    testbed = HttpTestbed(tmp_path, lambda *_: parser.response(200, headers={"Endpoint-Load-Metrics": reports.pop(0)}))
    rates = []
    for number in range(3):
        testbed.talk(submit_request(f"m{number}"))
        testbed.run_until(lambda: not testbed.journal.entries)
        rates.append(testbed.courier.controller.routes[b"s-1"].limit.rate)
        testbed.run_for(SECOND)
    assert rates == [60.0, 60.0, 0.5]
