"""Atomic replacement of files: a new file is written and renamed over the old one."""

from __future__ import annotations

import os
from pathlib import Path


def replace(file: Path, data: bytes) -> None:
    """Replace the file by one that only its owner can read.

    A crash of the process leaves either the old or the new file; after ``OSError`` the old file is unchanged. Nothing
    is synced to disk, so that a crash of the machine may lose the content.
    """
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
