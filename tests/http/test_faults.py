"""Exceptions that nobody foresaw, over HTTP: clients get an answer, and notices go out."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import pytest

from kestrelspar.core.messages import Message
from kestrelspar.core.transport_map import NextHop
from kestrelspar.http import parser, spare_connections
from kestrelspar.http.watch import Watch
from kestrelspar.runtime.loop import MS, SECOND, ConnectError, Loop, dial
from tests.injected_faults import raise_first, raise_unforeseen
from tests.test_http import HttpTestbed, ok, submit_request


def test_an_exception_before_the_answer_defers_the_message(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a request that is read and whose connection is closed without an answer.
    testbed = HttpTestbed(tmp_path, ok)
    monkeypatch.setattr(testbed.courier, "_check_admission", raise_unforeseen)
    assert b" 503 " in testbed.talk(submit_request("a"))
    monkeypatch.undo()
    assert b" 202 " in testbed.talk(submit_request("a"))


def test_an_exception_in_a_hook_at_an_arrival_is_passed_over(tmp_path: Path) -> None:
    class Hook:
        arrival = end = staticmethod(raise_unforeseen)

    testbed = HttpTestbed(tmp_path, ok)
    testbed.courier.hooks.append(Hook())  # type: ignore[arg-type]
    assert b" 202 " in testbed.talk(submit_request("a"))
    testbed.run_until(lambda: not testbed.journal.entries, within=5 * SECOND)
    assert len(testbed.peer.seen) == 1


def test_a_request_target_without_a_slash_gets_an_error(tmp_path: Path) -> None:
    request = submit_request("a", X_Qos="").replace(b"POST /reading", b"POST reading")
    assert HttpTestbed(tmp_path, ok).talk(request).startswith(b"HTTP/1.1 404 ")


def test_an_exception_in_a_notices_request_frees_its_connection_and_the_notice_goes_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against connections to the platform that count as used for ever.
    testbed = HttpTestbed(tmp_path, lambda *_: parser.response(500))
    raised = raise_first(testbed.notices, "_post", 3, monkeypatch)
    testbed.talk(submit_request("a", "payment"))
    testbed.run_until(lambda: not testbed.journal.entries, within=5 * SECOND)
    assert [notice["state"] for notice in testbed.notices_seen()] == ["failed"] and len(raised) == 3
    assert not testbed.notices._spares._in_use


def test_an_exception_while_notices_are_sent_starts_the_sending_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    testbed = HttpTestbed(tmp_path, lambda *_: parser.response(500))
    raised = raise_first(testbed.notices._queue, "take_batch", 1, monkeypatch)
    testbed.talk(submit_request("a", "payment"))
    testbed.run_until(lambda: not testbed.journal.entries, within=5 * SECOND)
    assert raised and [notice["state"] for notice in testbed.notices_seen()] == ["failed"]


@pytest.mark.parametrize("host", ["a..b", "\0", "x" * 80 + ".y", "h\xf6st\u2024."])
def test_an_address_that_is_none_is_a_failed_connection(
    tmp_path: Path, host: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a UnicodeError, with a descriptor lost for each attempt.
    opened: list[socket.socket] = []
    real = socket.socket

    def create(*args: int) -> socket.socket:
        opened.append(real(*args))
        return opened[-1]

    monkeypatch.setattr(socket, "socket", create)
    loop = Loop()
    with pytest.raises(ConnectError):
        dial(loop, (host, 80), loop.now + 100 * MS)
    monkeypatch.undo()
    assert opened and all(sock.fileno() < 0 for sock in opened)


@pytest.mark.parametrize("step", ["_send", "_read_response", "_delivered_by", "_finish"])
@pytest.mark.parametrize("status", [200, 429])
def test_an_exception_in_an_http_call_leaves_no_connection(
    tmp_path: Path, step: str, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a call that stays out on a connection that nobody reads, and against a delivered message that is
    # sent again, as the rest of its response raises an exception.
    testbed = HttpTestbed(tmp_path, lambda *_: parser.response(status))
    streams: list[object] = []
    real_connect = testbed.pool._connect

    def connect(message: Message, hop: NextHop, deadline: int) -> object:
        connection = real_connect(message, hop, deadline)
        streams.append(connection.stream)
        return connection

    monkeypatch.setattr(testbed.pool, "_connect", connect)
    monkeypatch.setattr(testbed.pool, step, raise_unforeseen)
    testbed.talk(submit_request("a", "payment", X_Expires_In="2000m"))
    testbed.run_until(lambda: not testbed.journal.entries, within=5 * SECOND)
    is_delivered = status == 200 and step in ("_delivered_by", "_finish")
    if is_delivered:
        assert not testbed.notices_seen()
    assert len(streams) == 1 or status == 429
    if step != "_delivered_by" or status == 200:
        assert all(stream.sock.fileno() < 0 for stream in streams)  # type: ignore[attr-defined]
    assert not testbed.courier.attempts_in_flight and not testbed.courier.controller.inflight


@pytest.mark.parametrize("step", ["_build_message", "_response_to_get"])
def test_an_exception_in_a_request_is_answered(tmp_path: Path, step: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a request that is read and whose connection is closed without an answer, which loses its message.
    testbed = HttpTestbed(tmp_path, ok)
    request = submit_request("a") if step == "_build_message" else b"GET /stats HTTP/1.1\r\n\r\n"
    monkeypatch.setattr(testbed.server, step, raise_unforeseen)
    assert testbed.talk(request).startswith(b"HTTP/1.1 503 ")
    monkeypatch.undo()
    assert b" 20" in testbed.talk(request)[:13]


def test_an_exception_while_connections_are_accepted_ends_at_this_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a courier that runs and accepts no connection any more.
    testbed = HttpTestbed(tmp_path, ok)
    raise_first(testbed.server, "_start_connection", 1, monkeypatch)
    testbed.talk(submit_request("a"))
    assert b" 202 " in testbed.talk(submit_request("b"))


@pytest.mark.parametrize("step", ["_watch", "_handle_line", "_apply", "_connect"])
def test_an_exception_in_the_watch_does_not_end_it(tmp_path: Path, step: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a courier that hears of no drain any more.
    rows = [
        {"name": "s-2", "address": "127.0.0.1:9", "group": 8, "status": "active", "zone": "room-a", "type": "utility"}
    ]
    body = json.dumps({"index": 3, "snapshot": True, "endpoints": rows}).encode()
    testbed = HttpTestbed(tmp_path, ok, lambda *_: parser.response(200, body))
    watch = Watch(testbed.loop, testbed.buffers, testbed.courier, testbed.pool, testbed.platform.address)
    raised = raise_first(watch, step, 2, monkeypatch)
    testbed.loop.spawn(watch.run)
    testbed.run_until(lambda: b"s-2" in testbed.courier.map.hops, within=30 * SECOND)
    assert len(raised) == 2


@pytest.mark.parametrize("row", [None, 3, [], "x", {}, {"status": []}, {"status": "active", "name": "\ud800"}])
def test_nonsense_in_one_row_of_a_list_takes_no_other_row(tmp_path: Path, row: object) -> None:
    testbed = HttpTestbed(tmp_path, ok)
    watch = Watch(testbed.loop, testbed.buffers, testbed.courier, testbed.pool, testbed.platform.address)
    good = {
        "name": "s-2",
        "address": "127.0.0.1:9",
        "group": 8,
        "status": "active",
        "zone": "room-a",
        "type": "utility",
    }
    for field, value in (("address", 9), ("address", None), ("group", 1e400), ("weight", "x"), ("zone", [])):
        watch.apply({"index": 1, "snapshot": True, "endpoints": [row, good | {field: value, "name": "bad"}, good]})
        assert b"s-2" in testbed.courier.map.hops and None not in testbed.courier.map.hops


def test_an_exception_while_a_spare_connection_is_opened_uses_up_no_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against connections that count as being opened for ever, until none may be opened.
    testbed = HttpTestbed(tmp_path, lambda *_: parser.response(500))
    monkeypatch.setattr(spare_connections, "dial", raise_unforeseen)
    testbed.loop.spawn(testbed.notices.open_connections)
    testbed.run_for(SECOND)
    monkeypatch.undo()
    assert not any(testbed.notices._spares._opening.values())
    testbed.talk(submit_request("a", "payment"))
    testbed.run_until(lambda: not testbed.journal.entries, within=5 * SECOND)
    assert [notice["state"] for notice in testbed.notices_seen()] == ["failed"]
