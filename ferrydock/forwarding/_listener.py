"""Connections of callers: timeouts, slow readers, responses to requests that cannot be parsed.

Owns, for each connection, the number of requests in flight and the time since which it is idle.
Relies on private attributes of aiohttp: its parser, which is wrapped, and its count of the requests
that the parser has read on a connection. A request counts as received once it is parsed, even if
its handler has not started. Where the memory for slow readers is bounded, `CallerBuffers` decides
whose answers are read further and which connections are cut; this module observes the connections
and cuts them.
"""

import asyncio
import logging
import socket
import sys
from collections.abc import Callable, Iterable
from typing import cast

from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_exceptions import LineTooLong
from aiohttp.http_parser import HttpParser
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from .. import http_server as web
from ..clock import Clock
from ..idle_close import ClosingConnection, close_with_answer
from ..invariants import BrokenInvariant, require
from ..logs import log_event
from ..planned_stop import EXPECTED_REQUEST_WAIT_S, is_idle, is_waiting_for_request
from ..route_metrics import RouteMetrics
from ..unread_bytes import count_left_bytes
from ._caller_buffers import (
    BACKLOG_BYTES,
    CALLER_BOUND_BYTES,
    RESUME_BYTES,
    CallerBuffers,
    CutReason,
)
from ._closed_connections import ClosedConnections, CloseReason
from ._idle_limits import IdleLimits
from ._refusal import refusal
from ._request_parser import BoundedParser
from ._target_loads import FIRST_SERVER_ERROR_STATUS

__all__ = [
    "HEADERS_TOO_LARGE",
    "REQUEST_TIMEOUT",
    "CallerConnection",
    "Listener",
    "SlowReaders",
    "caller_connection",
]

_LOG = logging.getLogger("ferrydock.forwarding")

# HTTP statuses (RFC 9110, RFC 6585).
HEADERS_TOO_LARGE = 431
REQUEST_TIMEOUT = 408

# Place of the acknowledged bytes, a 64-bit number, in Linux's `struct tcp_info`.
_ACKNOWLEDGED_BYTES = slice(120, 128)


class CallerConnection(RequestHandler):
    """One caller's connection; closed with an error response if a request cannot be parsed.

    Attributes
    ----------
    in_flight : int
        Requests whose handlers run.
    idle_since_s : float
        Loop time of the end of the last request, or of the connection's start.
    head_started_s : float or None
        Loop time at which the first bytes of an incomplete head arrived; None if there is none.
    handlers_started : int
        Number of requests whose handlers have started.
    request_id : str
        Id of the last request; empty before the first one.
    closed : ClosedConnections or None
        Records the end of this connection.
    slow_readers : SlowReaders or None
        Observes how this caller reads; None if the memory for slow readers is not bounded.
    is_backlogged : bool
        Whether more than `BACKLOG_BYTES` are held for the caller; False without `slow_readers`.
    is_held_back : bool
        Whether the target's answer is not read until the caller has read more of it.
    """

    __slots__ = (
        "_caller_transport",
        "_close_reason",
        "_closing",
        "_has_caller_left",
        "_has_finished",
        "_read_before_stop",
        "_was_in_use",
        "closed",
        "handlers_started",
        "head_started_s",
        "in_flight",
        "idle_since_s",
        "is_backlogged",
        "is_held_back",
        "request_id",
        "slow_readers",
    )

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.in_flight = 0
        self.idle_since_s = self._loop.time()
        self.head_started_s: float | None = None
        self.handlers_started = 0
        self._read_before_stop: int | None = None
        self.request_id = ""
        self.closed: ClosedConnections | None = None
        self._close_reason: CloseReason | None = None
        self._has_caller_left = self._has_finished = False
        # Whether a request was in progress when the daemon closed the connection; else None.
        self._was_in_use: bool | None = None
        self._closing: ClosingConnection | None = None
        self.slow_readers: SlowReaders | None = None
        self.is_backlogged = False
        self.is_held_back = False
        # Unlike `transport`, it is kept while a closed connection still sends held bytes.
        self._caller_transport: asyncio.Transport | None = None

    def bound_heads(self, max_head_bytes: Callable[[], int]) -> None:
        """Refuse heads, and other bytes that are no content, above a number of bytes."""
        self._parser = cast(HttpParser, BoundedParser(self._parser, max_head_bytes))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._caller_transport = require(self.transport, "the transport of a new connection")
        if self.slow_readers is not None:
            self._caller_transport.set_write_buffer_limits(high=BACKLOG_BYTES)

    async def start(self) -> None:
        """Handle requests until the connection is to be closed; then aiohttp closes it."""
        await super().start()
        self._has_finished = True

    def eof_received(self) -> None:
        """Handle that the caller sends nothing more."""
        self._has_caller_left = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None:
            self._has_caller_left = True
        self._record_close()
        self._closing = None
        super().connection_lost(exc)
        self._caller_transport = None
        self.is_backlogged = self.is_held_back = False
        if self.slow_readers is not None:
            self.slow_readers.buffers.remove(self)

    def note_close(self, why: CloseReason) -> None:
        """Record why the connection is about to be closed; the first reason counts."""
        if self._close_reason is None:
            self._close_reason = why

    def close(self) -> None:
        """Close the connection after an answer; aiohttp does so if its body was not read."""
        self.note_close(CloseReason.BODY_UNREAD)
        super().close()

    def force_close(self) -> None:
        """Close the connection now."""
        self._note_use()
        super().force_close()

    def break_answer(self, why: CloseReason = CloseReason.ANSWER_BROKEN) -> None:
        """Reset the connection, so that its caller does not take a part for the whole answer.

        A reason noted before, such as a stop, would have closed it only after the answer.
        """
        if self.transport is not None:
            self._close_reason = why
            self._abort(why)

    def _abort(self, why: CloseReason) -> None:
        if self._caller_transport is not None:
            self.note_close(why)
            self._note_use()
            self._caller_transport.abort()

    def _note_use(self) -> None:
        if self._was_in_use is None:
            has_begun = self._request_count > 0 and not self._has_finished
            self._was_in_use = has_begun and not is_waiting_for_request(self)

    def _record_close(self) -> None:
        has_caller_ended_it = self._has_caller_left and self._was_in_use is None
        self._note_use()
        why = self._close_reason
        # A reason noted before, such as a stop, would have ended the connection only after the
        # answer that the caller did not wait for.
        if self._has_caller_left and (why is None or (has_caller_ended_it and self._was_in_use)):
            why = CloseReason.CALLER_LEFT
        if why is None:
            why = CloseReason.ANSWERED if self._has_finished else CloseReason.UNKNOWN
        ended_s = self._closing.closed_s if self._closing is not None else self._loop.time()
        if self.closed is not None and self._caller_transport is not None:
            self.closed.record(
                why,
                is_in_use=bool(self._was_in_use),
                closing=self._closing,
                unread_bytes=count_left_bytes(self._caller_transport),
                request_id=self.request_id,
                requests=self.handlers_started,
                idle_s=ended_s - self.idle_since_s,
            )

    def data_received(self, data: bytes) -> None:
        if self.head_started_s is None and self._is_waiting_for_head:
            self.head_started_s = self._loop.time()
        super().data_received(data)
        newest = self._messages[-1][0] if self._messages else None
        if isinstance(newest, _ErrInfo):
            # Its frames hold the bytes, and the error: they would live until a garbage collection.
            newest.exc.__traceback__ = newest.exc.__context__ = None

    @property
    def _is_waiting_for_head(self) -> bool:
        """Whether received bytes begin a request; False if they may be the rest of a body.

        aiohttp reads a rest that no handler has read after the request was answered.
        """
        return self._request_count == 0 or is_waiting_for_request(self)

    def pause_writing(self) -> None:
        """Handle that the caller reads more slowly than its answer is written.

        aiohttp's own writers wait from here on only if there is no bound on held bytes.
        """
        if self.slow_readers is None:
            super().pause_writing()
            return
        self.is_backlogged = True
        self.slow_readers.observe(self)

    def resume_writing(self) -> None:
        """Handle that the caller has read."""
        if self.slow_readers is None:
            super().resume_writing()
            return
        self.is_backlogged = False
        self.slow_readers.observe(self)
        if self.is_held_back:
            self.is_held_back = False
            super().resume_writing()
            # Calls `pause_writing` again, since more than `BACKLOG_BYTES` are still held.
            require(self._caller_transport, "an open connection").set_write_buffer_limits(
                high=BACKLOG_BYTES
            )

    async def wait_for_caller(self, writer: AbstractStreamWriter) -> None:
        """Wait while the bytes held for a backlogged caller reach the bound for one caller."""
        slow_readers = require(self.slow_readers, "the observer of a backlogged caller")
        slow_readers.observe(self)
        if not self.is_held_back and not slow_readers.buffers.may_continue(self):
            self.is_held_back = True
            super().pause_writing()
            require(self._caller_transport, "an open connection").set_write_buffer_limits(
                high=CALLER_BOUND_BYTES, low=RESUME_BYTES
            )
        await writer.drain()

    @property
    def held_bytes(self) -> int:
        """Bytes for the caller that the operating system has not accepted yet."""
        transport = self._caller_transport
        return transport.get_write_buffer_size() if transport is not None else 0

    @property
    def delivered_bytes(self) -> int:
        """Bytes that the caller's side has acknowledged since the connection was opened."""
        opened = require(self._caller_transport, "an open connection").get_extra_info("socket")
        info = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _ACKNOWLEDGED_BYTES.stop)
        return int.from_bytes(info[_ACKNOWLEDGED_BYTES], sys.byteorder)

    def cut(self) -> None:
        """Discard the held bytes and close the connection; its request ends as disconnected."""
        self._abort(CloseReason.ANSWER_UNREAD)

    def begin_request(self) -> bool:
        """Count a request as in flight; return whether it was read before listening ended."""
        self.in_flight += 1
        self.handlers_started += 1
        self.head_started_s = None
        return self._read_before_stop is None or self.handlers_started <= self._read_before_stop

    @property
    def has_unhandled_request(self) -> bool:
        """Whether a request has been read whose handler has not started."""
        return self._request_count > self.handlers_started

    def end_request(self) -> None:
        """Count a request as finished."""
        self.in_flight -= 1
        self.idle_since_s = self._loop.time()

    def refuse_new_requests(self) -> None:
        """Mark the requests that are read after this call as not to be served."""
        if self._read_before_stop is None:
            self._read_before_stop = self._request_count

    def close_if_idle(self) -> None:
        """Close the connection unless a request is unanswered, unread or about to be sent."""
        if is_idle(self) and not self._expects_request:
            self._close_with_answer(CloseReason.STOPPING)

    def _close_with_answer(self, why: CloseReason) -> None:
        """Close the connection; a request on its way, or the rest of a head, is refused."""
        self.note_close(why)
        self._note_use()
        self._closing = close_with_answer(self)

    @property
    def _expects_request(self) -> bool:
        """Whether the first request, or the rest of a head, is probably on its way."""
        since_s = self.head_started_s
        if since_s is None and self.handlers_started == 0:
            since_s = self.idle_since_s
        return since_s is not None and self._loop.time() - since_s < EXPECTED_REQUEST_WAIT_S

    def close_if_timed_out(
        self, now_s: float, header_timeout_s: float, idle_timeout_s: float
    ) -> None:
        """Close the connection if it exceeds the header timeout or the idle timeout.

        Not while a request is unanswered, its handler not begun included, and not while bytes wait
        to be read: they may be the request, which came in time.
        """
        if not self._is_timed_out(now_s, header_timeout_s, idle_timeout_s) or not is_idle(self):
            return
        has_head_begun = self.head_started_s is not None
        if has_head_begun:
            log_event(
                _LOG,
                logging.INFO,
                "request_unreadable",
                status=REQUEST_TIMEOUT,
                why="head too slow",
            )
        self._close_with_answer(CloseReason.HEAD_TOO_SLOW if has_head_begun else CloseReason.IDLE)

    def _is_timed_out(self, now_s: float, header_timeout_s: float, idle_timeout_s: float) -> bool:
        if self.head_started_s is not None:
            return now_s - self.head_started_s > header_timeout_s
        return now_s - self.idle_since_s > idle_timeout_s

    def handle_error(
        self, request, status: int = FIRST_SERVER_ERROR_STATUS, exc=None, message: str | None = None
    ) -> web.StreamResponse:
        """Respond to a request that aiohttp cannot parse, or to a handler's exception."""
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
        self.note_close(CloseReason.MALFORMED)
        reason = "headers_too_large" if status == HEADERS_TOO_LARGE else "bad_request"
        return refusal(status, reason, None, close=True)


def caller_connection(request: web.BaseRequest) -> CallerConnection:
    """Return the connection that a request arrived on; all are created by `Listener`."""
    if not isinstance(request.protocol, CallerConnection):
        raise BrokenInvariant(f"a request came on a {type(request.protocol).__name__}")
    return request.protocol


class SlowReaders:
    """Observes the connections with held bytes, and cuts those that `CallerBuffers` returns.

    Parameters
    ----------
    buffers : CallerBuffers
        Decides; owns the number of held bytes of each connection.
    metrics : RouteMetrics
        Counts the callers that were cut.
    """

    __slots__ = ("_is_cut_scheduled", "buffers", "clock", "metrics")

    def __init__(
        self, buffers: CallerBuffers[CallerConnection], metrics: RouteMetrics, clock: Clock
    ):
        self.buffers = buffers
        self.metrics = metrics
        self.clock = clock
        self._is_cut_scheduled = False

    def observe(self, connection: CallerConnection) -> None:
        """Record the bytes held for a caller; soon cut callers if they exceed the daemon's bound.

        Not at once: the connection may be within a write.
        """
        self.buffers.observe_held(connection, connection.held_bytes, self.clock.now_s())
        if self.buffers.is_exceeded and not self._is_cut_scheduled:
            self._is_cut_scheduled = True
            asyncio.get_running_loop().call_soon(self._cut_excess)

    def _cut_excess(self) -> None:
        self._is_cut_scheduled = False
        self.step(self.buffers.callers())

    def step(self, connections: Iterable[CallerConnection]) -> None:
        """Observe connections, and cut the callers that the rule returns."""
        now_s = self.clock.now_s()
        for connection in connections:
            held_bytes = connection.held_bytes
            self.buffers.observe_held(connection, held_bytes, now_s)
            if held_bytes:
                self.buffers.observe_delivered(connection, connection.delivered_bytes, now_s)
        for connection, why in self.buffers.callers_to_cut(now_s):
            self.cut(connection, why)

    def cut(self, connection: CallerConnection, why: CutReason) -> None:
        """Cut one caller's connection, log it and count it."""
        log_event(
            _LOG,
            logging.INFO,
            "caller_cut",
            request=connection.request_id,
            held_bytes=connection.held_bytes,
            unread_s=self.buffers.unread_s(connection, self.clock.now_s()),
            why=why,
        )
        self.metrics.callers_cut.labels(why).inc()
        self.buffers.remove(connection)
        connection.cut()


class Listener(web.Server):
    """Creates a `CallerConnection` for each new connection.

    Parameters
    ----------
    max_head_bytes : callable
        Returns how many bytes a caller may send without completing a head or sending content.

    Attributes
    ----------
    slow_readers : SlowReaders or None
        Observes how callers read; None if the memory for slow readers is not bounded.
    closed : ClosedConnections or None
        Records the end of each connection.
    """

    _is_refusing = False
    closed: ClosedConnections | None = None
    slow_readers: SlowReaders | None = None

    def __init__(self, *arguments, max_head_bytes: Callable[[], int], **options):
        super().__init__(*arguments, **options)
        self.max_head_bytes = max_head_bytes
        self._idle_limits = IdleLimits()

    def __call__(self) -> CallerConnection:
        connection = CallerConnection(self, loop=self._loop, **self._kwargs)
        connection.slow_readers = self.slow_readers
        connection.closed = self.closed
        connection.bound_heads(self.max_head_bytes)
        if self._is_refusing:
            connection.refuse_new_requests()
        return connection

    def refuse_new_requests(self) -> None:
        """Make all connections refuse the requests that are read after this call."""
        self._is_refusing = True
        for connection in self.caller_connections():
            connection.refuse_new_requests()

    def caller_connections(self) -> list[CallerConnection]:
        """Return the open connections."""
        return [each for each in self.connections if isinstance(each, CallerConnection)]

    def close_timed_out(self, header_timeout_s: float, idle_timeout_s: float) -> None:
        """Close the connections that exceed the header timeout or the idle timeout.

        One that was idle before a shorter idle timeout came into force keeps the longer one.
        """
        now_s = self._loop.time()
        self._idle_limits.update(idle_timeout_s, now_s)
        for connection in self.caller_connections():
            idle_limit_s = self._idle_limits.limit_s(connection.idle_since_s)
            connection.close_if_timed_out(now_s, header_timeout_s, idle_limit_s)
