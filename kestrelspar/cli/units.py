"""Shared by the commands: durations as in the settings file (500ms, 30s), and running a loop until it is stopped."""

from __future__ import annotations

import signal

import click

from kestrelspar.runtime.loop import Loop
from kestrelspar.settings import kinds


class Duration(click.ParamType[int]):
    """Option type for a duration of up to 7 days: a number with its unit, converted to microseconds."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Parse the value; see ``click.ParamType.convert``."""
        if isinstance(value, int):
            return value
        meta = kinds.duration("", 1, 7 * 86_400 * kinds.SECOND)
        try:
            return int(kinds.parse_value(str(value), meta, ""))
        except ValueError as error:
            self.fail(f"{error} (wanted: {kinds.describe_accepted(meta)})", param, ctx)


DURATION = Duration()


def run_for(loop: Loop, span: int | None) -> None:
    """Run the loop for ``span`` microseconds (None: without end), or until SIGINT or SIGTERM."""
    # A shell starts background jobs with SIGINT ignored, so the handler is set explicitly; SIGTERM gets the same
    # handler, so that the command can still print its summary.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    if span is not None:
        loop.call_at(loop.now + span, loop.stop)
    try:
        loop.run()
    except KeyboardInterrupt:
        click.echo("ended")
