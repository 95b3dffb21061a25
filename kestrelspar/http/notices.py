"""Notices to the platform: the ends of messages that were taken on and not delivered."""

from __future__ import annotations

import ujson

from kestrelspar.core.courier import DELIVERED, End, Message
from kestrelspar.http import parser
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import BufferPool, Closed, Late, Stream
from kestrelspar.runtime.loop import MS, SECOND, Loop, Parking, connect

# An end may be told 300 ms after a message's time. A kept connection that has fallen silent must not use that up: the
# platform answers at once, so the first try is short; each next one, on a new connection, has more time.
ANSWER_FIRST, ANSWER_MOST = 150 * MS, 2 * SECOND
WAIT_FIRST, WAIT_MOST = 25 * MS, 250 * MS
MOST_AT_ONCE = 200


class Notices:
    """The sender side of messages that came over HTTP. A notice is repeated until it is heard."""

    name = "http"

    def __init__(self, loop: Loop, buffers: BufferPool, address: tuple[str, int]) -> None:
        self.loop, self.buffers, self.address = loop, buffers, address
        self._owed: list[tuple[str, Parking]] = []
        self._stream: Stream | None = None
        self._busy = False
        self._moves = 0

    def move(self, address: tuple[str, int]) -> None:
        """Tell another address from now on, first of all what is still owed."""
        self.address, self._moves = address, self._moves + 1
        if self._stream is not None:
            self._stream.close()  # a post that waits there ends, and its task with it
            self._stream = None
        if self._busy:
            self.loop.spawn(self._tell)

    def took(self, message: Message) -> bool:
        """Nobody asks for a message again over HTTP."""
        return False

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
        """Send what is owed, in batches, until nothing is, or the platform moves."""
        wait, within, most, moves = WAIT_FIRST, ANSWER_FIRST, MOST_AT_ONCE, self._moves
        while self._owed:
            batch = self._owed[:most]
            status = self._post("".join(line + "\n" for line, _ in batch).encode(), within)
            if moves != self._moves:
                return  # another task tells the new address
            if status == 400 and len(batch) > 1:  # one line must not hold back the others: it is looked for by halves
                most = len(batch) // 2
                continue
            if status == 400:
                logs.error("notice-refused", notice=batch[0][0])
            elif status is None or not 200 <= status < 300:
                logs.warn("notices-unheard", status=status, owed=len(self._owed), again_ms=wait // MS)
                self.loop.sleep(wait)
                if moves != self._moves:
                    return
                wait, within = min(WAIT_MOST, 2 * wait), min(ANSWER_MOST, 2 * within)
                continue
            wait, within, most = WAIT_FIRST, ANSWER_FIRST, min(MOST_AT_ONCE, 2 * most)
            del self._owed[: len(batch)]
            for _, heard in batch:
                heard.resume()
        self._busy = False

    def owed(self) -> bool:
        """Whether an end was not heard yet."""
        return bool(self._owed)

    def _post(self, body: bytes, within: int) -> int | None:
        """The status of one post, on the kept connection or a new one, if it came within so many microseconds."""
        deadline, moves = self.loop.now + within, self._moves
        stream, self._stream = self._stream, None
        if stream is not None and not stream.quiet():
            stream.close()
            stream = None
        if stream is None:
            sock = connect(self.loop, self.address, deadline)
            if sock is None:
                return None
            stream = Stream(self.loop, sock, self.buffers)
        if moves == self._moves:
            self._stream = stream  # for ``move`` to close
            try:
                headers = {"Content-Type": "application/x-ndjson"}
                stream.write(parser.request("POST", "/reports", "app.svc", headers, body), deadline)
                answer = parser.read_head(stream, deadline, response=True)
                if answer.status != 204:
                    parser.read_body(stream, answer, deadline, response=True)
                if answer.keeps and moves == self._moves:
                    return answer.status
                status: int | None = answer.status
            except (Closed, Late, parser.BadMessage):
                status = None
            if moves == self._moves:
                self._stream = None
        stream.close()
        return None if moves != self._moves else status
