"""Methods that raise an exception nobody foresaw, for tests of what such an exception may take along."""

from __future__ import annotations

import pytest


class Unforeseen(Exception):
    """Stands for an exception that no code expects."""


def raise_unforeseen(*_: object, **__: object) -> None:
    raise Unforeseen


def raise_first(owner: object, name: str, count: int, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Make the first ``count`` calls of a method raise; the list gets an item with each of them."""
    real, raised = getattr(owner, name), list[str]()

    def call(*args: object, **kwargs: object) -> object:
        if len(raised) < count:
            raised.append(name)
            raise Unforeseen(name)
        return real(*args, **kwargs)

    monkeypatch.setattr(owner, name, call)
    return raised
