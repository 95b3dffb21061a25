"""Structured logs on standard output: one line per event, as logfmt or JSON.

Every line has ``at``, ``level`` and ``event``. An event of a message has the message id as ``trace``, so that one grep
finds the whole history of the message. A failure to write the log is ignored.
"""

from __future__ import annotations

import contextlib
import logging
import sys
import time
import traceback
from collections.abc import Iterator
from typing import Any, TextIO

import logfmter

DEBUG, INFO, WARNING, ERROR = logging.DEBUG, logging.INFO, logging.WARNING, logging.ERROR
LEVELS = {"debug": DEBUG, "info": INFO, "warning": WARNING, "error": ERROR}
MAX_FIELD_LENGTH = 2_000  # characters; some fields quote input from peers
_logger = logging.getLogger("kestrelspar")
_logger.propagate = False


class _Stdout(logging.StreamHandler[TextIO]):
    """Writes to the current standard output, or to a given stream."""

    def __init__(self, given_stream: TextIO | None) -> None:
        logging.Handler.__init__(self)
        self._given_stream = given_stream

    @property
    def stream(self) -> TextIO:
        """The given stream, or the current standard output."""
        return self._given_stream or sys.stdout

    @stream.setter
    def stream(self, value: TextIO) -> None:
        pass

    def handleError(self, record: logging.LogRecord) -> None:
        """Ignore write errors: a closed pipe or a full disk must not end the process or cause tracebacks."""


_WITHOUT_CONTROL_CHARACTERS = str.maketrans({code: None for code in (*range(32), 127) if code not in (9, 10)})


class _Logfmt(logfmter.Logfmter):
    """logfmt with UTC times to the millisecond.

    Control characters other than tabs are removed, as they could hide a line; line breaks are escaped.
    """

    converter = staticmethod(time.gmtime)
    default_time_format, default_msec_format = "%Y-%m-%dT%H:%M:%S", "%s.%03dZ"

    def format(self, record: logging.LogRecord) -> str:
        """The event as one line."""
        return super().format(record).translate(_WITHOUT_CONTROL_CHARACTERS).replace("\n", "\\n")


def set_up(log_format: str = "logfmt", level: str = "info", stream: TextIO | None = None) -> None:
    """Configure the format, the lowest level that is written, and the stream; may be called again."""
    handler = _Stdout(stream)
    if log_format == "json":
        from pythonjsonlogger.json import JsonFormatter  # imported only if used, as it takes 2 MB of memory

        formatter: logging.Formatter = JsonFormatter(
            "%(asctime)s %(levelname)s", rename_fields={"asctime": "at", "levelname": "level"}
        )
        formatter.converter = time.gmtime
        formatter.default_time_format, formatter.default_msec_format = "%Y-%m-%dT%H:%M:%S", "%s.%03dZ"
    else:
        formatter = _Logfmt(keys=["at", "level"], mapping={"at": "asctime", "level": "levelname"})
    handler.setFormatter(formatter)
    _logger.handlers = [handler]
    _logger.setLevel(LEVELS[level])
    logging.raiseExceptions = False
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False


def event(name: str, level: int = INFO, **fields: Any) -> None:
    """Log an event; fields that are None are omitted, and texts are cut at ``MAX_FIELD_LENGTH``."""
    if _logger.isEnabledFor(level):
        record: dict[str, Any] = {"event": name}
        for key, value in fields.items():
            if value is not None:
                record[key] = value[:MAX_FIELD_LENGTH] if isinstance(value, str) else value
        _logger.log(level, record)


def is_enabled(level: int) -> bool:
    """Whether events of this level are logged."""
    return _logger.isEnabledFor(level)


def warn(name: str, **fields: Any) -> None:
    """Log an event that needs attention."""
    event(name, WARNING, **fields)


def error(name: str, **fields: Any) -> None:
    """Log a failure."""
    event(name, ERROR, **fields)


def fault(task: str, **fields: Any) -> None:
    """Log the exception that is being handled, which nobody foresaw; ``task`` names what it interrupted."""
    error("fault", task=task, **fields, why=traceback.format_exc())


@contextlib.contextmanager
def contained(task: str, **fields: Any) -> Iterator[None]:
    """Log an exception as a fault and go on behind the block: for a step that must not end what it is a part of."""
    try:
        yield
    except Exception:
        fault(task, **fields)


set_up()
