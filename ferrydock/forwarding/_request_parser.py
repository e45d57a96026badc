"""Ends bodies of requests that cannot be read; wraps the HTTP parser of one connection.

aiohttp does not tell the reader of a body that its framing is malformed. Owns a reference to the
body of the newest request.
"""

from collections.abc import Sequence
from typing import Any

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader

__all__ = ["BoundedParser", "UnreadableBody"]


class UnreadableBody(Exception):
    """The rest of a request's body cannot be read: its framing is malformed."""


class BoundedParser:
    """An HTTP parser whose errors also end the body that they interrupt.

    Parameters
    ----------
    parser : HttpRequestParser
        Parses; after an error it fails at each further call.
    """

    __slots__ = ("_body", "_parser")

    def __init__(self, parser: Any):
        self._parser = parser
        self._body: StreamReader | None = None

    @property
    def is_in_body(self) -> bool:
        """Whether the body of the newest request is incomplete."""
        return self._body is not None and not self._body.is_eof()

    def feed_data(self, data: bytes) -> tuple[Sequence[tuple[Any, StreamReader]], bool, bytes]:
        """Parse bytes; return the requests that begin in them, as the wrapped parser does.

        Raises
        ------
        HttpProcessingError
            The bytes are not part of a request. The body that they interrupt then fails with
            `UnreadableBody`.
        """
        try:
            parsed = self._parser.feed_data(data)
        except HttpProcessingError as error:
            if self._body is not None and self.is_in_body:
                self._body.set_exception(UnreadableBody(repr(error)))
            raise
        if parsed[0]:
            self._body = parsed[0][-1][1]
        return parsed

    def message_consumed(self) -> None:
        """Pass on that a request is handled."""
        self._parser.message_consumed()

    def pause_reading(self) -> None:
        """Pause the wrapped parser."""
        self._parser.pause_reading()

    def set_upgraded(self, is_upgraded: bool) -> None:
        """Pass on whether the connection has changed its protocol."""
        self._parser.set_upgraded(is_upgraded)
