"""Bounded staleness of the transport map: 6 s after discovery has a change and is reachable, a courier must know it."""

from __future__ import annotations

import contextlib
import json
import random
from pathlib import Path

import pytest

from kestrelspar.http import parser
from kestrelspar.http.backoff import (
    CONNECT_TIMEOUT,
    MAX_STALENESS,
    RESPONSE_TIMEOUT,
    WATCH_SILENCE_TIMEOUT,
    DiscoveryBackoff,
)
from kestrelspar.http.watch import CATCH_UP_TIME, JsonObjects, LineSplitter, Watch
from kestrelspar.runtime.loop import MS, SECOND
from tests.test_http import ROW, HttpTestbed, Peer, make_watch, ok, submit_request

ROUND_TRIP = 50 * MS
DRAIN_GRACE = 500 * MS
HEARTBEAT = 2 * SECOND  # interval of the empty lines of a watch


class FaultSchedule:
    """What discovery does at each time: it serves or fails, in one mode after another, until it recovers for good.

    The modes of ``FAULTS``: a refused connection, none until the time-out, no response headers until the time-out,
    headers and no line after them, a connection closed without a response, and a refusal with status 503.
    """

    FAULTS = ("refuses", "no connection", "no answer", "head and silence", "closes", "503")

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.periods: list[tuple[int, str]] = []  # end of the period, and its mode
        at = 0
        for _ in range(rng.randrange(1, 7)):
            at += rng.randrange(SECOND // 10, 9 * SECOND)
            self.periods.append((at, rng.choice([*self.FAULTS, "serves"])))
        self.recovered_at = at

    def at(self, when: int) -> str:
        return next((mode for until, mode in self.periods if when < until), "serves")


def first_update_after_recovery(backoff: DiscoveryBackoff, schedule: FaultSchedule) -> tuple[int, list[int]]:
    """When a courier first receives a line after discovery has recovered for good, and the times of all its requests.

    Models the loop of ``Watch``: a request, its outcome, and the delay after it.
    """
    now, requests = backoff.initial_delay() if schedule.periods[0][1] == "serves" else 0, []
    while True:
        requests.append(now)
        mode, received, silent_for, headers_timed_out = schedule.at(now), False, 0, False
        if mode == "refuses":
            now += ROUND_TRIP
        elif mode == "no connection":
            now += CONNECT_TIMEOUT
        elif mode == "no answer":
            # The worst case: the connection was established at the end of its time-out.
            now, headers_timed_out = now + CONNECT_TIMEOUT + backoff.response_timeout, True
        elif mode == "503" or mode == "closes":
            now += ROUND_TRIP
        elif mode == "head and silence":
            now, silent_for = now + CONNECT_TIMEOUT + RESPONSE_TIMEOUT + WATCH_SILENCE_TIMEOUT, WATCH_SILENCE_TIMEOUT
        else:
            if now + ROUND_TRIP >= schedule.recovered_at:
                return now + ROUND_TRIP, requests
            last = last_line = now + ROUND_TRIP
            while schedule.at(last + HEARTBEAT) == "serves" and last < schedule.recovered_at:
                last += HEARTBEAT
            last_line = last
            if last >= schedule.recovered_at:
                return last, requests
            # The worst case: discovery fell silent right after its last line.
            now, received, silent_for = last_line + WATCH_SILENCE_TIMEOUT, True, WATCH_SILENCE_TIMEOUT
        now += backoff.next_delay(received, silent_for, headers_timed_out)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("couriers", [1, 30, 200])
def test_changes_are_known_in_time_once_discovery_is_reachable(couriers: int, pushed: bool) -> None:
    worst = 0
    for seed in range(1_500):
        schedule = FaultSchedule(seed)
        updated_at, _ = first_update_after_recovery(DiscoveryBackoff(couriers, seed, pushed), schedule)
        worst = max(worst, updated_at - schedule.recovered_at)
    assert worst <= MAX_STALENESS, f"{worst / SECOND} s"


@pytest.mark.parametrize("couriers", [1, 30, 200])
def test_a_pushed_change_is_fetched_within_the_grace_of_a_drain_after_an_outage(couriers: int) -> None:
    # The agent's answer takes a round trip; connections are refused until the outage is over.
    latest = 0
    for seed in range(300):
        backoff, now = DiscoveryBackoff(couriers, seed, pushed=True), 0
        now += backoff.next_delay(True)
        while now < 10 * SECOND:
            before = now
            now += ROUND_TRIP + backoff.next_delay(False)
            latest = max(latest, now - before)
    assert latest + ROUND_TRIP < DRAIN_GRACE


def test_requests_of_two_hundred_couriers_stay_spread_while_all_are_refused() -> None:
    # Guards against more requests because delays are shortened to bound staleness. Before that rule, the mean was 67
    # requests a second, too.
    times: list[int] = []
    for seed in range(200):
        backoff, now = DiscoveryBackoff(200, seed, pushed=False), 0
        now += backoff.next_delay(True, WATCH_SILENCE_TIMEOUT)
        while now < 30 * SECOND:
            times.append(now)
            now += ROUND_TRIP + backoff.next_delay(False)
    assert len(times) / 30 < 75
    # The busiest second that begins at every 50th request.
    busiest = max(sum(at <= other < at + SECOND for other in times) for at in times[::50])
    assert busiest < 120


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def list_update(index: int, status: str = "active", **more: object) -> dict[str, object]:
    return {"index": index, "snapshot": False, "endpoints": [{**ROW, "status": status}], **more}


def start_watch(directory: Path, script: object, **more: object) -> tuple[HttpTestbed, Watch]:
    testbed = HttpTestbed(directory, ok, script, **more)  # type: ignore[arg-type]
    watch = make_watch(testbed.courier, testbed)
    watch.apply({"index": 1, "snapshot": True, "endpoints": [ROW]})
    testbed.loop.spawn(watch.run)
    return testbed, watch


@pytest.mark.parametrize("fragment", [b"", b" ", b"{"])
def test_incomplete_lines_do_not_count_as_activity_of_a_watch(tmp_path: Path, fragment: bytes) -> None:
    # Guards against a watch that receives no changes, but is kept open by single bytes that never complete a line.
    # Without a fragment, the watch is silent after its first line.
    request_times: list[int] = []
    testbed: HttpTestbed

    def discovery(head: parser.Head, _: bytes) -> bytes:
        request_times.append(testbed.loop.now)
        if len(request_times) > 1:
            return HEAD + chunk(json.dumps(list_update(2, "leaving")).encode() + b"\n")
        return HEAD + chunk(b"\n")

    testbed, watch = start_watch(tmp_path, discovery)
    testbed.run_until(lambda: request_times)
    for _ in range(80):
        if fragment and len(request_times) < 2 and testbed.platform.streams:
            with contextlib.suppress(OSError):  # the courier has closed the watch meanwhile
                testbed.platform.streams[0].sock.send(chunk(fragment))
        testbed.run_for(100 * MS)
    testbed.run_until(lambda: watch.index == 2)
    assert request_times[1] - request_times[0] < WATCH_SILENCE_TIMEOUT + SECOND


def test_a_discovery_that_is_slow_to_send_headers_is_waited_for(tmp_path: Path) -> None:
    # Guards against retrying a busy discovery forever, each request timing out before its response headers.
    testbed: HttpTestbed

    def discovery(head: parser.Head, _: bytes) -> bytes:
        testbed.loop.sleep(RESPONSE_TIMEOUT + 600 * MS)
        return HEAD + chunk(json.dumps(list_update(2, "leaving")).encode() + b"\n")

    testbed, watch = start_watch(tmp_path, discovery, must_subscribe=True, ask_within_ns=10 * SECOND)
    testbed.run_until(lambda: watch.index == 2)
    assert 2 <= len(testbed.platform.seen) <= 3


@pytest.mark.parametrize("indent", [None, 0, 2, 4])
def test_an_indented_list_is_read_from_any_fragments(indent: int | None) -> None:
    texts = [json.dumps(list_update(n, **{"note": 'a "}" in {text'}), indent=indent) for n in range(3)]
    data = b"".join(text.encode() + b"\n\n" for text in texts)
    for step in (1, 7, 64, 5_000):
        lines, objects, found = LineSplitter(), JsonObjects(), []
        for at in range(0, len(data), step):
            for line in lines.feed(data[at : at + step]):
                found += [json.loads(text) for text in objects.feed(line) if text]
        assert found == [json.loads(text) for text in texts]


def test_a_watch_applies_an_indented_list_and_one_over_two_lines(tmp_path: Path) -> None:
    two_lines = json.dumps(list_update(3, "leaving")).replace('"endpoints": [', '"endpoints": [\n  ')
    answers = [HEAD + chunk(json.dumps(list_update(2), indent=2).encode() + b"\n") + chunk(two_lines.encode() + b"\n")]
    testbed, watch = start_watch(tmp_path, lambda *_: answers.pop() if answers else None)
    testbed.run_until(lambda: watch.index == 3)
    assert testbed.courier.map.hops[b"s-9"].endpoint.state.name == "DRAINING" and len(testbed.platform.seen) == 1


# An object that is cut off, one without rows, no object, no UTF-8, and invalid JSON.
@pytest.mark.parametrize(
    "bad", [b"{\n", b'{"endpoints": 3}\n', b"[]\n", b"\xff\n", b'{"index": 9, "endpoints": [}\n\n']
)
def test_an_unreadable_object_closes_the_watch_and_its_changes_are_requested_again(
    tmp_path: Path, bad: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against losing a drain that was sent in a malformed object.
    answers = [HEAD + chunk(json.dumps(list_update(3, "leaving")).encode() + b"\n"), HEAD + chunk(bad) + chunk(b"\n")]
    testbed, watch = start_watch(tmp_path, lambda *_: answers.pop() if answers else None)
    testbed.run_until(lambda: watch.index == 3)
    assert [h.start_line[1].rpartition("=")[2] for h, _ in testbed.platform.seen] == ["1", "1"]
    assert capsys.readouterr().out.count("event=map-unreadable") == 1


def test_an_address_change_resets_the_backoff() -> None:
    backoff = DiscoveryBackoff(200, 1, pushed=False)
    for _ in range(9):
        backoff.next_delay(False)
    backoff.address_changed()
    assert max(backoff.initial_delay() for _ in range(300)) < 2 * SECOND
    pushed = DiscoveryBackoff(200, 1, pushed=True)
    for _ in range(9):
        pushed.next_delay(False)
    pushed.address_changed()
    assert pushed.initial_delay() == 0 and max(pushed.next_delay(False) for _ in range(3)) < SECOND


def test_an_unknown_destination_is_deferred_while_the_list_may_be_behind(tmp_path: Path) -> None:
    # Guards against rejecting a message for good although its destination was listed while the watch was broken.
    reachable: list[bytes] = []
    testbed, watch = start_watch(
        tmp_path, lambda *_: HEAD + chunk(b"\n") if reachable else parser.response(503, keep=False)
    )
    testbed.run_until(lambda: watch._attempts > 1)
    unknown = submit_request("u", X_Route_To="dest=99")
    assert b" 503 " in testbed.talk(unknown)
    reachable.append(b"")
    testbed.run_until(lambda: watch._disconnected_at is None)
    assert b" 503 " in testbed.talk(unknown)
    peer: Peer = testbed.platform
    finished: list[int] = []
    testbed.loop.call_at(testbed.loop.now + CATCH_UP_TIME + SECOND, lambda: finished.append(1))
    while not finished:  # empty lines keep the watch open
        peer.streams[-1].sock.send(chunk(b"\n"))
        testbed.run_for(SECOND)
    assert b" 422 " in testbed.talk(unknown)


def test_a_copied_list_is_not_read_as_the_answer_to_the_watch(tmp_path: Path) -> None:
    listed = json.dumps({"index": 4, "snapshot": True, "endpoints": [ROW]}).encode()

    def discovery(head: parser.Head, _: bytes) -> bytes:
        if "watch" not in head.start_line[1]:
            return parser.response(200, listed) * 2
        return HEAD + chunk(json.dumps(list_update(5, "leaving")).encode() + b"\n")

    testbed = HttpTestbed(tmp_path, ok, discovery)
    watch = make_watch(testbed.courier, testbed)
    testbed.loop.spawn(watch.run)
    testbed.run_until(lambda: watch.index == 5)
    assert len(testbed.platform.seen) == testbed.platform.connections == 2
    assert testbed.courier.map.hops[b"s-9"].endpoint.state.name == "DRAINING"


@pytest.mark.parametrize("snapshot", [True, False])
def test_an_older_object_on_the_same_watch_changes_nothing(tmp_path: Path, snapshot: bool) -> None:
    # Guards against a call to a draining endpoint after a late copy of an earlier object of the watch.
    lines = [list_update(2), list_update(3, "leaving"), list_update(2, snapshot=snapshot), list_update(4, group=5)]
    answers = [HEAD + b"".join(chunk(json.dumps(line).encode() + b"\n") for line in lines[:3])]
    testbed, watch = start_watch(tmp_path, lambda *_: answers.pop() if answers else None)
    testbed.run_until(lambda: watch.index == 3)
    testbed.run_for(10 * MS)
    assert testbed.courier.map.hops[b"s-9"].endpoint.state.name == "DRAINING" and watch.index == 3
    testbed.platform.streams[-1].sock.send(chunk(json.dumps(lines[3]).encode() + b"\n"))
    testbed.run_until(lambda: watch.index == 4)
    assert len(testbed.platform.seen) == 1


def test_a_reset_discovery_may_begin_a_new_watch_with_a_lower_index(tmp_path: Path) -> None:
    answers = [HEAD + chunk(json.dumps(list_update(n, snapshot=True)).encode() + b"\n") for n in (2, 9)]
    testbed, watch = start_watch(tmp_path, lambda *_: answers.pop() + b"0\r\n\r\n" if answers else None)
    testbed.run_until(lambda: watch.index == 9)
    testbed.run_until(lambda: watch.index == 2)


def test_a_watch_that_broke_again_is_current_only_after_its_own_catch_up_time(tmp_path: Path) -> None:
    # Guards against rejecting a message for good although its destination may have been listed during the second break.
    ended = HEAD + chunk(b"\n") + b"0\r\n\r\n"
    answers = [ended, ended]
    testbed: HttpTestbed
    refused_until = 0

    def discovery(*_: object) -> bytes:
        nonlocal refused_until
        if answers:
            refused_until = testbed.loop.now + 3 * SECOND
            return answers.pop()
        return HEAD + chunk(b"\n") if testbed.loop.now >= refused_until else b""

    testbed, watch = start_watch(tmp_path, discovery)
    testbed.run_until(lambda: refused_until and testbed.loop.now > refused_until and watch._disconnected_at is None)
    connected_at, connections = testbed.loop.now, testbed.platform.connections
    while testbed.courier.map.disconnected_sources:
        testbed.platform.streams[-1].sock.send(chunk(b"\n"))
        testbed.run_for(100 * MS)
    assert CATCH_UP_TIME <= testbed.loop.now - connected_at < CATCH_UP_TIME + SECOND
    assert testbed.platform.connections == connections
