"""Fixtures of all tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from kestrelspar.runtime import logs


@pytest.fixture(autouse=True)
def reset_logs() -> Iterator[None]:
    """Restore the log configuration, which a tested command may have changed."""
    logs.set_up()
    yield
