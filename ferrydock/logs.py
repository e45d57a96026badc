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
BURST_LINES = 600.0
MAX_BUFFERED_BYTES = 256 * 1024
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
    """Return one line ``event=... key=value ...``; fields that are None are omitted.

    Parameters
    ----------
    event : str
        Name of the event in snake case.
    **fields
        Details of the event; a name ends with the unit of its value.

    Examples
    --------
    >>> format_event("ready", listen="127.0.0.1:80", note='a "b"', skipped=None)
    'event=ready listen=127.0.0.1:80 note="a \\\\"b\\\\""'
    """
    parts = [f"event={_format_value(event)}"]
    parts += [f"{key}={_format_value(value)}" for key, value in fields.items() if value is not None]
    return " ".join(parts)


def parse_event(line: str) -> dict[str, str]:
    """Return the pairs of a line written by `format_event`; other words are ignored.

    Examples
    --------
    >>> parse_event('12.5 box time=now event=ready note="a \\\\"b\\\\" c" n=1')
    {'time': 'now', 'event': 'ready', 'note': 'a "b" c', 'n': '1'}
    """
    fields: dict[str, str] = {}
    position = 0
    while position < len(line):
        end = position
        while end < len(line) and line[end] not in "= ":
            end += 1
        name = line[position:end]
        if end == len(line) or line[end] == " ":
            position = end + 1
            continue
        fields[name], position = _parse_value(line, end + 1)
    return fields


def _parse_value(line: str, position: int) -> tuple[str, int]:
    if line[position : position + 1] != '"':
        end = line.find(" ", position)
        end = len(line) if end < 0 else end
        return line[position:end].strip(), end + 1
    characters = []
    position += 1
    while position < len(line) and line[position] != '"':
        if line[position] == "\\" and position + 1 < len(line):
            position += 1
            characters.append({"n": "\n", "r": "\r", "t": "\t"}.get(line[position], line[position]))
        else:
            characters.append(line[position])
        position += 1
    return "".join(characters), position + 2


def log_event(logger: logging.Logger, level: int, event: str, **fields) -> None:
    """Write one event to `logger`, formatting it only where the level is enabled."""
    if logger.isEnabledFor(level):
        logger.log(level, format_event(event, **fields))


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking on a slow reader.

    Lines above a rate, and lines for which the buffer has no room, are dropped. Their number is
    logged in a line of its own as soon as a line can be written.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking.
    lines_per_s, burst_lines : float
        Sustained rate of lines, and the number that may be written at once above it.
    max_buffered_bytes : int
        Size of the buffer above which lines are dropped until the reader catches up.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ):
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.burst_lines = burst_lines
        self.max_buffered_bytes = max_buffered_bytes
        self.dropped_count = 0
        self._available_lines = burst_lines
        self._refilled_s = time.monotonic()
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop it and count it."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self.lines_per_s
        self._available_lines = min(self.burst_lines, self._available_lines + refill)
        self._refilled_s = now_s
        if self._available_lines < 1 or self._buffered_bytes > self.max_buffered_bytes:
            self.dropped_count += 1
            self.flush()
            return
        self._available_lines -= 1
        if self.dropped_count and self._available_lines >= 1:
            self._log_dropped(record)
        self._enqueue(self.format(record))
        self.flush()

    def _log_dropped(self, record: logging.LogRecord) -> None:
        count, self.dropped_count = self.dropped_count, 0
        message = format_event("log_lines_left_out", count=count)
        notice = logging.LogRecord(
            "ferrydock.logs", logging.WARNING, record.pathname, 0, message, (), None
        )
        self._enqueue(self.format(notice))

    def _enqueue(self, line: str) -> None:
        data = line.encode(errors="backslashreplace") + b"\n"
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()


def configure(level: str, stream: TextIO | None = None) -> None:
    """Write all events at or above `level` to `stream`, or to standard error if it is None."""
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
