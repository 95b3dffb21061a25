"""Atomic replacement of files: a new file is written and renamed, so that a crash leaves the old or the new one."""

from __future__ import annotations

import os
from pathlib import Path


def replace(file: Path, data: bytes) -> None:
    """Replace the file, readable by its owner only; on ``OSError`` the old file stays."""
    new_file = file.with_name(file.name + ".new")
    try:
        descriptor = os.open(new_file, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            if os.write(descriptor, data) != len(data):
                raise OSError("short write")
        finally:
            os.close(descriptor)
        os.rename(new_file, file)
    except OSError:
        new_file.unlink(missing_ok=True)
        raise
