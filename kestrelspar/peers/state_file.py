"""State that a courier persists across restarts: its epoch, the most that it had lent, and its counters."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
from msgspec import Struct, field

from kestrelspar.runtime import files, logs

MAX_FILE_BYTES = 256 * 1024


class SavedState(Struct):
    """Contents of the state file."""

    epoch: int = field(name="life")
    lent: dict[str, int] | None = None  # max calls lent at once, by budget; None: unknown what earlier processes lent
    counts: dict[str, int] = {}  # totals by counter


def read(file: Path) -> SavedState:
    """The saved state; epoch 0, unknown loans and no counters if the file is missing or unusable (which is logged)."""
    try:
        if file.stat().st_size > MAX_FILE_BYTES:
            raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
        return msgspec.json.decode(file.read_bytes(), type=SavedState)
    except FileNotFoundError:
        return SavedState(0)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        logs.error("peers-kept-unusable", file=file.name, why=str(error))
        return SavedState(0)


def write(file: Path, state: SavedState) -> bool:
    """Save the state by writing a new file and renaming it; log a failure and return false."""
    try:
        write_or_raise(file, state)
    except OSError as error:
        logs.warn("peers-not-kept", file=file.name, why=str(error))
        return False
    return True


def write_or_raise(file: Path, state: SavedState) -> None:
    """Like ``write``, but raises ``OSError`` on failure."""
    data = msgspec.json.encode(state)
    if len(data) > MAX_FILE_BYTES:
        raise OSError(f"larger than {MAX_FILE_BYTES} bytes")
    files.replace(file, data)


def next_epoch(state: SavedState) -> int:
    """The next epoch: the clock's milliseconds or the last epoch plus one, whichever is larger.

    So it rises with each start even if the state directory was lost, unless the clock was set back as well.
    """
    return max(state.epoch + 1, time.time_ns() // 1_000_000)
