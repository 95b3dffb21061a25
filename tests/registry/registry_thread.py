"""The stand-in registry in a thread of its own, for tests of commands, programs and third-party libraries."""

from __future__ import annotations

import queue
import threading

from kestrelspar.runtime.loop import Loop
from kestrelspar.standins.registry import Member, Store
from tests.bench import listener


class RegistryThread:
    """Context manager that runs the stand-in registry on an event loop in another thread."""

    def __enter__(self) -> Member:
        created: queue.Queue[Member] = queue.Queue()
        self.done = False

        def run() -> None:  # a loop belongs to the thread that creates it
            loop = Loop()
            created.put(Member(loop, Store(), listener()[0]))
            while not self.done:
                loop.turn()

        self.thread = threading.Thread(target=run, daemon=True)
        self.thread.start()
        return created.get()

    def __exit__(self, *_: object) -> None:
        self.done = True
        self.thread.join(5)
