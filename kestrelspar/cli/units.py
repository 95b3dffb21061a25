"""Times on the command line, as in the settings file: 500ms, 30s."""

from __future__ import annotations

import click

from kestrelspar.settings import kinds


class Duration(click.ParamType[int]):
    """Microseconds from a number with its unit."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """See click."""
        if isinstance(value, int):
            return value
        meta = kinds.duration("", 1, 7 * 86_400 * kinds.SECOND)
        try:
            return int(kinds.value(str(value), meta, ""))
        except ValueError as error:
            self.fail(f"{error} (wanted: {kinds.wanted(meta)})", param, ctx)


DURATION = Duration()
