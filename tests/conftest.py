"""What holds for all tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from kestrelspar.runtime import logs


@pytest.fixture(autouse=True)
def fresh_logs() -> Iterator[None]:
    """A verb that was tested sets up the program's logs for itself."""
    logs.set_up()
    yield
