"""Logging: one line of key=value pairs for each event."""

import logging
import sys
from typing import TextIO

__all__ = ["configure", "format_event", "log_event"]

_NEEDS_QUOTES = frozenset(" =\"'\\\t\n\r")


def _format_value(value) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and text.isprintable() and not _NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    printable = "".join(c if c.isprintable() else f"\\u{ord(c):04x}" for c in escaped)
    return f'"{printable}"'


def format_event(event: str, **fields) -> str:
    """Return one line ``event=... key=value ...``; fields that are None are left out.

    Parameters
    ----------
    event : str
        Name of the event, snake case.
    **fields
        What happened, each with its unit as a suffix of the name.

    Examples
    --------
    >>> format_event("ready", listen="127.0.0.1:80", note='a "b"', skipped=None)
    'event=ready listen=127.0.0.1:80 note="a \\\\"b\\\\""'
    """
    parts = [f"event={_format_value(event)}"]
    parts += [f"{key}={_format_value(value)}" for key, value in fields.items() if value is not None]
    return " ".join(parts)


def log_event(logger: logging.Logger, level: int, event: str, **fields) -> None:
    """Write one event to `logger`, formatting it only where the level is enabled."""
    if logger.isEnabledFor(level):
        logger.log(level, format_event(event, **fields))


def configure(level: str, stream: TextIO | None = None) -> None:
    """Send all events at or above `level` to `stream`, one line each; None: standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        logging.Formatter("time=%(asctime)s level=%(levelname)s logger=%(name)s %(message)s")
    )
    handler.formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
    handler.formatter.default_msec_format = "%s.%03d"
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("ferrydock").setLevel(level.upper())
