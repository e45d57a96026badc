"""Connections of callers, with ferrydock's own answers to what is no request."""

import logging

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from ..logs import log_event
from ._answers import refusal

__all__ = ["HEADERS_TOO_LARGE", "Listener"]

_LOG = logging.getLogger("ferrydock.forwarding")
HEADERS_TOO_LARGE = 431
SERVER_ERROR = 500


class _Connection(RequestHandler):
    """One connection; what cannot be read as a request ends it with a plain answer."""

    __slots__ = ()

    def handle_error(
        self, request, status: int = SERVER_ERROR, exc=None, message: str | None = None
    ) -> web.StreamResponse:
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun")
        if isinstance(exc, LineTooLong):
            status = HEADERS_TOO_LARGE
        level = logging.ERROR if status >= SERVER_ERROR else logging.INFO
        log_event(_LOG, level, "request_unreadable", status=status, why=repr(exc))
        if status >= SERVER_ERROR:
            _LOG.error("a handler failed", exc_info=exc)
        reason = "headers_too_large" if status == HEADERS_TOO_LARGE else "bad_request"
        return refusal(
            status, reason if status < SERVER_ERROR else "internal_error", None, close=True
        )


class Listener(web.Server):
    """Makes the protocol of each new connection."""

    def __call__(self) -> RequestHandler:
        return _Connection(self, loop=self._loop, **self._kwargs)
