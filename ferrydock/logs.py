"""Logging: one line of key=value pairs for each event, bounded and never blocking."""

import contextlib
import logging
import os
import sys
import time
from collections import deque
from typing import TextIO

__all__ = ["BoundedHandler", "configure", "format_event", "log_event", "parse_event"]

_NEEDS_QUOTES = frozenset(" =\"'\\\t\n\r")
LINES_PER_S = 300.0
LINES_AT_ONCE = 600.0
HELD_BYTES = 256 * 1024
_LINE = "time=%(asctime)s level=%(levelname)s logger=%(name)s %(message)s"


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


def parse_event(line: str) -> dict[str, str]:
    """Return the pairs of a line that `format_event` made; other words are passed over.

    Examples
    --------
    >>> parse_event('12.5 box time=now event=ready note="a \\\\"b\\\\" c" n=1')
    {'time': 'now', 'event': 'ready', 'note': 'a "b" c', 'n': '1'}
    """
    fields: dict[str, str] = {}
    at = 0
    while at < len(line):
        end = at
        while end < len(line) and line[end] not in "= ":
            end += 1
        name = line[at:end]
        if end == len(line) or line[end] == " ":
            at = end + 1
            continue
        fields[name], at = _parse_value(line, end + 1)
    return fields


def _parse_value(line: str, at: int) -> tuple[str, int]:
    if line[at : at + 1] != '"':
        end = line.find(" ", at)
        end = len(line) if end < 0 else end
        return line[at:end].strip(), end + 1
    letters = []
    at += 1
    while at < len(line) and line[at] != '"':
        if line[at] == "\\" and at + 1 < len(line):
            at += 1
            letters.append({"n": "\n", "r": "\r", "t": "\t"}.get(line[at], line[at]))
        else:
            letters.append(line[at])
        at += 1
    return "".join(letters), at + 2


def log_event(logger: logging.Logger, level: int, event: str, **fields) -> None:
    """Write one event to `logger`, formatting it only where the level is enabled."""
    if logger.isEnabledFor(level):
        logger.log(level, format_event(event, **fields))


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines above a rate, and those for which the reader leaves no room, are left out; how many is
    said in a line of its own as soon as one can be written.

    Parameters
    ----------
    descriptor : int
        Where to write; it is set to non-blocking.
    lines_per_s, lines_at_once : float
        Rate of lines, and how many may come at once above it.
    held_bytes : int
        How much may wait for the reader.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        lines_at_once: float = LINES_AT_ONCE,
        held_bytes: int = HELD_BYTES,
    ):
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.lines_at_once = lines_at_once
        self.held_bytes = held_bytes
        self.left_out = 0
        self._allowed = lines_at_once
        self._filled_s = time.monotonic()
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as left out."""
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * self.lines_per_s
        self._allowed = min(self.lines_at_once, self._allowed + gained)
        self._filled_s = now_s
        if self._allowed < 1 or self._waiting_bytes > self.held_bytes:
            self.left_out += 1
            self.flush()
            return
        self._allowed -= 1
        if self.left_out and self._allowed >= 1:
            self._say_left_out(record)
        self._hold(self.format(record))
        self.flush()

    def _say_left_out(self, record: logging.LogRecord) -> None:
        count, self.left_out = self.left_out, 0
        message = format_event("log_lines_left_out", count=count)
        note = logging.LogRecord(
            "ferrydock.logs", logging.WARNING, record.pathname, 0, message, (), None
        )
        self._hold(self.format(note))

    def _hold(self, line: str) -> None:
        data = line.encode(errors="backslashreplace") + b"\n"
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()


def configure(level: str, stream: TextIO | None = None) -> None:
    """Send all events at or above `level` to `stream`, one line each; None: standard error."""
    stream = stream or sys.stderr
    handler: logging.Handler = logging.StreamHandler(stream)
    with contextlib.suppress(OSError, ValueError, AttributeError):
        handler = BoundedHandler(stream.fileno())
    formatter = logging.Formatter(_LINE)
    formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
    formatter.default_msec_format = "%s.%03d"
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("ferrydock").setLevel(level.upper())
