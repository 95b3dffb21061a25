"""State that a courier persists across restarts: its epoch, the most that it had lent, and its counters."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
from msgspec import Struct

from kestrelspar.runtime import files, logs

MOST = 256 * 1024  # maximum size of the file in bytes


class Kept(Struct):
    """Contents of the state file."""

    life: int  # epoch
    lent: dict[str, int] | None = None  # None: unknown what earlier processes lent
    counts: dict[str, int] = {}


def read(file: Path) -> Kept:
    """The saved state; epoch 0 and unknown loans if the file is missing or unusable."""
    try:
        if file.stat().st_size > MOST:
            raise ValueError(f"larger than {MOST} bytes")
        return msgspec.json.decode(file.read_bytes(), type=Kept)
    except FileNotFoundError:
        return Kept(0)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        logs.error("peers-kept-unusable", file=file.name, why=str(error))
        return Kept(0)


def write(file: Path, state: Kept) -> bool:
    """Save by writing a new file and renaming it; log and return false if that fails."""
    try:
        put(file, state)
    except OSError as error:
        logs.warn("peers-not-kept", file=file.name, why=str(error))
        return False
    return True


def put(file: Path, state: Kept) -> None:
    """Like ``write``, but raises ``OSError`` on failure."""
    data = msgspec.json.encode(state)
    if len(data) > MOST:
        raise OSError(f"larger than {MOST} bytes")
    files.replace(file, data)


def next_life(state: Kept) -> int:
    """The next epoch: the clock's milliseconds or the last epoch plus one, whichever is larger.

    So it rises with each start even if the state directory was lost.
    """
    return max(state.life + 1, time.time_ns() // 1_000_000)
