"""Bounds what callers send in place of requests; wraps the HTTP parser of one connection.

The parser bounds each line of a head, and the gateway the content of a body. Neither bounds many
long lines, nor bytes that are no content: chunk extensions, sizes of chunks, trailers, empty lines.
Nor does aiohttp tell the reader of a body that its framing is malformed. Owns the number of bytes
read since the parser last yielded a head or content, and a reference to the newest body.
"""

from collections.abc import Callable, Sequence
from typing import Any

from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import StreamReader

__all__ = ["BoundedParser", "UnreadableBody"]

# Bytes that the error of a head above the bound quotes.
_QUOTED_BYTES = 100


class UnreadableBody(Exception):
    """The rest of a request's body cannot be read: its framing is malformed or does not end."""


class BoundedParser:
    """An HTTP parser that fails after too many bytes without a head or content.

    Parameters
    ----------
    parser : HttpRequestParser
        Parses; after an error it fails at each further call.
    max_head_bytes : callable
        Returns how many bytes may be read without a head or content.
    """

    __slots__ = ("_body", "_body_bytes", "_bytes_without_result", "_max_head_bytes", "_parser")

    def __init__(self, parser: Any, max_head_bytes: Callable[[], int]):
        self._parser = parser
        self._max_head_bytes = max_head_bytes
        self._body: StreamReader | None = None
        self._body_bytes = 0
        self._bytes_without_result = 0

    @property
    def is_in_body(self) -> bool:
        """Whether the body of the newest request is incomplete."""
        return self._body is not None and not self._body.is_eof()

    def feed_data(self, data: bytes) -> tuple[Sequence[tuple[Any, StreamReader]], bool, bytes]:
        """Parse bytes; return the requests that begin in them, as the wrapped parser does.

        Raises
        ------
        HttpProcessingError
            The bytes are not part of a request, or too many without a head or content. The body
            that they interrupt then fails with `UnreadableBody`.
        """
        was_in_body = self.is_in_body
        try:
            parsed = self._parser.feed_data(data)
            self._count(data, was_in_body, parsed[0])
        except HttpProcessingError as error:
            if self._body is not None and self.is_in_body:
                self._body.set_exception(UnreadableBody(repr(error)))
            raise
        return parsed

    def _count(self, data: bytes, was_in_body: bool, requests: Sequence[Any]) -> None:
        if requests:
            self._body = requests[-1][1]
        body_bytes = self._body.total_bytes if self._body is not None else 0
        has_ended = was_in_body and not self.is_in_body
        if requests or has_ended or body_bytes != self._body_bytes:
            self._body_bytes = body_bytes
            self._bytes_without_result = 0
            return
        self._bytes_without_result += len(data)
        limit_bytes = self._max_head_bytes()
        if self._bytes_without_result > limit_bytes:
            raise LineTooLong(data[:_QUOTED_BYTES] + b"...", limit_bytes)

    def message_consumed(self) -> None:
        """Pass on that a request is handled."""
        self._parser.message_consumed()

    def pause_reading(self) -> None:
        """Pause the wrapped parser."""
        self._parser.pause_reading()

    def set_upgraded(self, is_upgraded: bool) -> None:
        """Pass on whether the connection has changed its protocol."""
        self._parser.set_upgraded(is_upgraded)
