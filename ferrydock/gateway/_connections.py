"""Limits on callers' connections, and which of their requests are served during a planned stop.

Owns the connections that have sent no request yet, with the time at which they were accepted, and
those whose handler is running; counts connections that were refused or timed out, and those on
which something arrived after they were closed.
"""

import asyncio
import logging
from functools import partial

from aiohttp import web

from ..idle_close import ClosingConnection, close_with_answer
from ..invariants import BrokenInvariant
from ..logs import log_event
from ..planned_stop import EXPECTED_REQUEST_WAIT_S, STOPPING_REASON, is_idle, is_waiting_for_request

__all__ = ["ConnectionGuard"]

_LOG = logging.getLogger("ferrydock.gateway")

# Pause until a connection that has received bytes is checked again for its first request.
RECHECK_S = 0.05

_REFUSAL_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
)
_REFUSAL_BODY = (
    b'{"error":{"message":"too many connections","code":"too_many_connections",'
    b'"run":"not_run","retry":true}}'
)


class _RefusingProtocol(asyncio.Protocol):
    """Answers a connection above the limit with 503 and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the refusal and close."""
        if not isinstance(transport, asyncio.Transport):
            raise BrokenInvariant(f"expected a stream transport, got {type(transport).__name__}")
        transport.write(_REFUSAL_HEAD % len(_REFUSAL_BODY) + _REFUSAL_BODY)
        transport.close()


class ConnectionGuard:
    """Protocol factory that limits the number of connections and the wait for a first request.

    Parameters
    ----------
    server : web.Server
        Serves accepted connections.
    max_connections : int
        Limit on concurrent connections.
    first_request_s : float
        How long a new connection may take to send the head of its first request.

    Attributes
    ----------
    refused : int
        Number of connections above the limit.
    timed_out : int
        Number of connections that were closed without a request.
    crossed : int
        Number of connections on which bytes arrived after the daemon had closed its side.
    """

    __slots__ = (
        "_with_handler",
        "_pending_at_stop",
        "_without_request",
        "crossed",
        "first_request_s",
        "max_connections",
        "refused",
        "server",
        "timed_out",
    )

    def __init__(self, server: web.Server, max_connections: int, first_request_s: float):
        self.server = server
        self.max_connections = max_connections
        self.first_request_s = first_request_s
        self.refused = 0
        self.timed_out = 0
        self.crossed = 0
        self._without_request: dict[asyncio.Protocol, float] = {}
        self._with_handler: set[asyncio.Protocol] = set()
        self._pending_at_stop: set[asyncio.Protocol] = set()

    def __call__(self) -> asyncio.Protocol:
        if len(self.server.connections) >= self.max_connections:
            self.refused += 1
            return _RefusingProtocol()
        protocol = self.server()
        loop = asyncio.get_running_loop()
        self._without_request[protocol] = loop.time()
        loop.call_later(self.first_request_s, self._close_without_request, protocol)
        return protocol

    def _close_without_request(self, protocol) -> None:
        if protocol not in self._without_request:
            return
        transport = getattr(protocol, "transport", None)
        if transport is not None and not transport.is_closing():
            if not is_idle(protocol):  # its first request has arrived, but not begun
                asyncio.get_running_loop().call_later(
                    RECHECK_S, self._close_without_request, protocol
                )
                return
            self.timed_out += 1
            self._close(protocol, "no_request")
        self._without_request.pop(protocol, None)

    def begin_request(self, protocol) -> bool:
        """Record that a handler starts; return whether its request came before `end_listening`.

        Always False while the daemon listens.
        """
        self._without_request.pop(protocol, None)
        self._with_handler.add(protocol)
        was_pending = protocol in self._pending_at_stop
        self._pending_at_stop.discard(protocol)
        return was_pending

    def end_request(self, protocol) -> None:
        """Record that a request's handler has ended."""
        self._with_handler.discard(protocol)

    def end_listening(self) -> None:
        """Find the connections whose request has been read but whose handler has not started.

        Such a request is not yet counted as in flight, but is served like those that are.
        """
        self._pending_at_stop = {
            connection
            for connection in self.server.connections
            if connection not in self._with_handler and not is_waiting_for_request(connection)
        }

    def close_idle(self) -> None:
        """Close connections without a request in progress, except new ones, which expect one."""
        recent_s = asyncio.get_running_loop().time() - EXPECTED_REQUEST_WAIT_S
        for connection in self.server.connections:
            is_new = self._without_request.get(connection, float("-inf")) > recent_s
            if is_idle(connection) and not is_new:
                self._close(connection, STOPPING_REASON)

    def _close(self, connection, why: str) -> None:
        """Close an idle connection; a request on its way is refused as not run."""
        close_with_answer(connection, partial(self._record_end, why))

    def _record_end(self, why: str, closing: ClosingConnection) -> None:
        """Count and log a connection on which something arrived after it was closed."""
        if closing.first_byte_after_s is None:
            return
        self.crossed += 1
        log_event(
            _LOG,
            logging.INFO,
            "connection_closed",
            why=why,
            state="crossed",
            unread_bytes=closing.discarded_bytes,
            after_close_ms=closing.first_byte_after_s * 1000,
        )
