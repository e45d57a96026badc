"""Connections of callers: time limits, and answers to what is no readable request.

Owns for each connection what is under way on it and since when. Relies on aiohttp's own count of
the requests that its parser has read on a connection, which is kept nowhere public: a request is
under way from then on, not only once its handler begins.
"""

import logging

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler

from ..invariants import BrokenInvariant
from ..logs import log_event
from ..planned_stop import is_resting
from ._refusal import refusal
from ._target_loads import FIRST_SERVER_ERROR_STATUS

__all__ = ["HEADERS_TOO_LARGE", "CallerConnection", "Listener", "caller_connection"]

_LOG = logging.getLogger("ferrydock.forwarding")

# HTTP statuses (RFC 9110, RFC 6585).
HEADERS_TOO_LARGE = 431
REQUEST_TIMEOUT = 408

# Written to the connection as it is: while a head is incomplete there is no request to answer.
_REQUEST_TIMEOUT_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class CallerConnection(RequestHandler):
    """One connection; what cannot be read as a request ends it with a plain answer.

    Attributes
    ----------
    requests : int
        Requests under way.
    rests_since_s : float
        Loop time since which nothing is under way.
    head_since_s : float or None
        Loop time at which the first bytes of a head came that is not complete yet.
    begun : int
        Requests whose handlers have begun.
    """

    __slots__ = ("_taken", "begun", "head_since_s", "requests", "rests_since_s")

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.requests = 0
        self.rests_since_s = self._loop.time()
        self.head_since_s: float | None = None
        self.begun = 0
        self._taken: int | None = None

    def data_received(self, data: bytes) -> None:
        if not self.requests and self.head_since_s is None:
            self.head_since_s = self._loop.time()
        super().data_received(data)

    def begin_request(self) -> bool:
        """Note that a request is under way; return whether it was read before listening ended."""
        self.requests += 1
        self.begun += 1
        self.head_since_s = None
        return self._taken is None or self.begun <= self._taken

    @property
    def has_unbegun(self) -> bool:
        """Whether a request has been read whose handler has not begun."""
        return self._request_count > self.begun

    def end_request(self) -> None:
        """Note that a request's answer is whole."""
        self.requests -= 1
        self.rests_since_s = self._loop.time()

    def end_listening(self) -> None:
        """Note that what is read from now on is not to be served."""
        if self._taken is None:
            self._taken = self._request_count

    def close_resting(self) -> None:
        """Close the connection if no request has been read that is not answered yet."""
        if is_resting(self):
            self.force_close()

    def enforce(self, now_s: float, header_timeout_s: float, idle_timeout_s: float) -> None:
        """End the connection if its head takes, or it rests, too long."""
        if self.requests or self.transport is None:
            return
        if self.head_since_s is not None:
            if now_s - self.head_since_s > header_timeout_s:
                log_event(
                    _LOG,
                    logging.INFO,
                    "request_unreadable",
                    status=REQUEST_TIMEOUT,
                    why="head too slow",
                )
                self.transport.write(_REQUEST_TIMEOUT_ANSWER)
                self.force_close()
        elif now_s - self.rests_since_s > idle_timeout_s:
            self.force_close()

    def handle_error(
        self, request, status: int = FIRST_SERVER_ERROR_STATUS, exc=None, message: str | None = None
    ) -> web.StreamResponse:
        """Answer what aiohttp could not read, or a fault of a handler, in ferrydock's own form."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun")
        if isinstance(exc, LineTooLong):
            status = HEADERS_TOO_LARGE
        is_own_fault = status >= FIRST_SERVER_ERROR_STATUS
        level = logging.ERROR if is_own_fault else logging.INFO
        log_event(_LOG, level, "request_unreadable", status=status, why=repr(exc))
        if is_own_fault:
            _LOG.error("a handler failed", exc_info=exc)
            return refusal(status, "internal_error", None, close=True)
        reason = "headers_too_large" if status == HEADERS_TOO_LARGE else "bad_request"
        return refusal(status, reason, None, close=True)


def caller_connection(request: web.BaseRequest) -> CallerConnection:
    """Return the connection that a request came on; only `Listener` makes them."""
    if not isinstance(request.protocol, CallerConnection):
        raise BrokenInvariant(f"a request came on a {type(request.protocol).__name__}")
    return request.protocol


class Listener(web.Server):
    """Makes the protocol of each new connection."""

    _has_ended = False

    def __call__(self) -> CallerConnection:
        connection = CallerConnection(self, loop=self._loop, **self._kwargs)
        if self._has_ended:
            connection.end_listening()
        return connection

    def end_listening(self) -> None:
        """Serve what has been read, and nothing that is read from now on."""
        self._has_ended = True
        for connection in self.caller_connections():
            connection.end_listening()

    def caller_connections(self) -> list[CallerConnection]:
        """Return the connections that are open."""
        return [each for each in self.connections if isinstance(each, CallerConnection)]

    def enforce(self, header_timeout_s: float, idle_timeout_s: float) -> None:
        """End the connections whose head takes, or that rest, too long."""
        now_s = self._loop.time()
        for connection in self.caller_connections():
            connection.enforce(now_s, header_timeout_s, idle_timeout_s)
