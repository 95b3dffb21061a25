"""Notices to the platform: the ends of messages that were taken on and not delivered."""

from __future__ import annotations

import ujson

from kestrelspar.buffers import BufferPool, Closed, Late, Stream
from kestrelspar.courier import DELIVERED, End, Message
from kestrelspar.http import parser
from kestrelspar.loop import MS, SECOND, Loop, Parking, connect, log

ANSWER_WITHIN = 2 * SECOND
WAIT_FIRST, WAIT_MOST = 25 * MS, 1 * SECOND
MOST_AT_ONCE = 200


class Notices:
    """The sender side of messages that came over HTTP. A notice is repeated until it is heard."""

    name = "http"

    def __init__(self, loop: Loop, buffers: BufferPool, address: tuple[str, int]) -> None:
        self.loop, self.buffers, self.address = loop, buffers, address
        self._owed: list[tuple[str, Parking]] = []
        self._stream: Stream | None = None
        self._busy = False

    def settle(self, message: Message, end: End) -> None:
        """Tell the end; a delivered message needs no notice."""
        if end.state == DELIVERED:
            return
        notice: dict[str, object] = {"id": message.trace, "state": end.state}
        if end.after_ms:
            notice["after_ms"] = end.after_ms
        heard = Parking(self.loop)
        self._owed.append((ujson.dumps(notice), heard))
        if not self._busy:
            self._busy = True
            self.loop.spawn(self._tell)
        self.loop.park(heard)

    def _tell(self) -> None:
        """Send what is owed, in batches, until nothing is."""
        wait = WAIT_FIRST
        while self._owed:
            batch = self._owed[:MOST_AT_ONCE]
            status = self._post("".join(line + "\n" for line, _ in batch).encode())
            if status == 400 and len(batch) > 1:  # one line must not hold back the others
                batch = batch[:1]
                status = self._post((batch[0][0] + "\n").encode())
            if status == 400:
                log(f"notice refused as unreadable: {batch[0][0]}")
            elif status is None or not 200 <= status < 300:
                log(f"notices not heard ({status}), again in {wait // MS} ms")
                self.loop.sleep(wait)
                wait = min(WAIT_MOST, 2 * wait)
                continue
            wait = WAIT_FIRST
            del self._owed[: len(batch)]
            for _, heard in batch:
                heard.resume()
        self._busy = False

    def _post(self, body: bytes) -> int | None:
        """The status of one post, on the kept connection or a new one."""
        deadline = self.loop.now + ANSWER_WITHIN
        if self._stream is not None and self._stream.ended():
            self._stream.close()
            self._stream = None
        if self._stream is None:
            sock = connect(self.loop, self.address, deadline)
            if sock is None:
                return None
            self._stream = Stream(self.loop, sock, self.buffers)
        try:
            headers = {"Content-Type": "application/x-ndjson"}
            self._stream.write(parser.request("POST", "/reports", "app.svc", headers, body), deadline)
            answer = parser.read_head(self._stream, deadline, response=True)
            if answer.status != 204:
                parser.read_body(self._stream, answer, deadline, response=True)
            if answer.keeps:
                return answer.status
        except (Closed, Late, parser.BadMessage):
            self._stream.close()
            self._stream = None
            return None
        self._stream.close()
        self._stream = None
        return answer.status
