"""What outlasts a courier's process: its life, the most that it had lent, and its counters."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec
from msgspec import Struct

from kestrelspar.runtime import files, logs

MOST = 256 * 1024  # bytes of the file


class Kept(Struct):
    """The file."""

    life: int
    lent: dict[str, int] | None = None  # None: nothing is known of what earlier lives lent
    counts: dict[str, int] = {}


def read(file: Path) -> Kept:
    """What was kept; a life of 0 and no word on loans where there is none, or it can't be read."""
    try:
        if file.stat().st_size > MOST:
            raise ValueError(f"larger than {MOST} bytes")
        return msgspec.json.decode(file.read_bytes(), type=Kept)
    except FileNotFoundError:
        return Kept(0)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        logs.error("peers-kept-unusable", file=file.name, why=str(error))
        return Kept(0)


def write(file: Path, kept: Kept) -> bool:
    """Keep it, aside and renamed; false where the disk refuses."""
    try:
        put(file, kept)
    except OSError as error:
        logs.warn("peers-not-kept", file=file.name, why=str(error))
        return False
    return True


def put(file: Path, kept: Kept) -> None:
    """The same; ``OSError`` where the disk refuses."""
    data = msgspec.json.encode(kept)
    if len(data) > MOST:
        raise OSError(f"larger than {MOST} bytes")
    files.replace(file, data)


def next_life(kept: Kept) -> int:
    """Larger at each start, also where the folder was lost: the clock's milliseconds, or one more than before."""
    return max(kept.life + 1, time.time_ns() // 1_000_000)
