"""Keeps the garbage collector's full passes out of the loop where long lists are held.

A full pass looks at every container that is alive: 43 ms with 20,000 endpoints listed, all of them alive, and again
each time that a quarter of them was made anew. While a list is read the collector rests, as that makes no cycles;
after so many new entries what is new is looked at once, which is short, and set aside from later passes. What is set
aside is still freed when its last reference goes.
"""

from __future__ import annotations

import gc

WORTH = 1_000  # entries: fewer are no matter to a pass
_holds = 0
_grown = 0


def hold() -> None:
    """No pass until ``release``; may be held by several."""
    global _holds
    _holds += 1
    gc.disable()


def release() -> None:
    """Passes again."""
    global _holds
    _holds -= 1
    if _holds == 0:
        gc.enable()


def grew(entries: int) -> None:
    """So many entries were made; to be called between changes, when none is half made."""
    global _grown
    _grown += entries
    if _grown >= WORTH:
        _grown = 0
        gc.collect()
        gc.freeze()
