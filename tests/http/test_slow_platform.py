"""A platform that takes each notice at once and answers late: every notice is acknowledged in the end."""

from __future__ import annotations

from pathlib import Path

import pytest

from kestrelspar.core.messages import End, Message
from kestrelspar.http import parser
from kestrelspar.http.notice_queue import MAX_RESEND_INTERVAL
from kestrelspar.runtime.loop import MS, SECOND
from tests.bench import READING
from tests.test_http import HttpTestbed, ok

ENDS = 100


@pytest.mark.parametrize("interval", [20 * MS, 200 * MS])
@pytest.mark.parametrize("answer_time", [100 * MS, 350 * MS, 600 * MS, SECOND, 1_500 * MS])
def test_a_platform_that_answers_late_acknowledges_every_notice(
    tmp_path: Path, answer_time: int, interval: int
) -> None:
    # Guards against requests that are given up before their response comes, each time and for ever.
    def acknowledge(*_: object) -> bytes:
        testbed.loop.sleep(answer_time)
        return parser.response(204)

    testbed = HttpTestbed(tmp_path, ok, acknowledge)
    testbed.notices.open_connections()
    testbed.run_for(200 * MS)
    waits: list[int] = []

    def report(number: int) -> None:
        started_at = testbed.loop.now
        message = Message(f"m{number}", READING, 0, 7, testbed.loop.now + SECOND, b"", testbed.notices)
        testbed.notices.report_end(message, End("returned"))
        waits.append(testbed.loop.now - started_at)

    for number in range(ENDS):
        testbed.loop.call_at(
            testbed.loop.now + number * interval, lambda number=number: testbed.loop.spawn(report, number)
        )
    testbed.run_until(lambda: len(waits) == ENDS, within=ENDS * interval + 10 * SECOND)
    assert max(waits) < 2 * answer_time + 400 * MS
    assert len(testbed.platform.seen) <= ENDS * (3 + answer_time // MAX_RESEND_INTERVAL)
