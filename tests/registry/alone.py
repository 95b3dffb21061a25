"""The stand-in registry by itself, for what can't share a test's loop: verbs, programs, libraries of others."""

from __future__ import annotations

import queue
import threading

from kestrelspar.runtime.loop import Loop
from kestrelspar.standins.registry import Member, Store
from tests.bench import listener


class Alone:
    """The stand-in on a loop in a thread of the test."""

    def __enter__(self) -> Member:
        made: queue.Queue[Member] = queue.Queue()
        self.done = False

        def run() -> None:  # a loop belongs to the thread that makes it
            loop = Loop()
            made.put(Member(loop, Store(), listener()[0]))
            while not self.done:
                loop.turn()

        self.thread = threading.Thread(target=run, daemon=True)
        self.thread.start()
        return made.get()

    def __exit__(self, *_: object) -> None:
        self.done = True
        self.thread.join(5)
