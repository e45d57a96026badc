"""Connections of callers: their bounds, and which may still send requests while the daemon stops.

Owns which connections have sent no request yet and which have one whose handler runs, and counts
those that were refused or timed out.
"""

import asyncio

from aiohttp import web

from ..invariants import BrokenInvariant
from ..planned_stop import is_idle

__all__ = ["ConnectionGuard"]

_FULL_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
)
_FULL_BODY = (
    b'{"error":{"message":"too many connections","code":"too_many_connections",'
    b'"run":"not_run","retry":true}}'
)


class _Refusal(asyncio.Protocol):
    """Answers a connection that is one too many, and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Answer at once, and close."""
        if not isinstance(transport, asyncio.Transport):
            raise BrokenInvariant(f"a listener gave a {type(transport).__name__}")
        transport.write(_FULL_HEAD % len(_FULL_BODY) + _FULL_BODY)
        transport.close()


class ConnectionGuard:
    """Makes the protocol of each new connection.

    Parameters
    ----------
    server : web.Server
        Serves the connections that are accepted.
    max_connections : int
        How many there may be at a time.
    first_request_s : float
        How long a new connection may take to send the head of its first request.
    """

    __slots__ = (
        "_busy",
        "_owed",
        "_silent",
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
        self._silent: set[asyncio.Protocol] = set()
        self._busy: set[asyncio.Protocol] = set()
        self._owed: set[asyncio.Protocol] = set()

    def __call__(self) -> asyncio.Protocol:
        if len(self.server.connections) >= self.max_connections:
            self.refused += 1
            return _Refusal()
        protocol = self.server()
        self._silent.add(protocol)
        asyncio.get_running_loop().call_later(self.first_request_s, self._check, protocol)
        return protocol

    def _check(self, protocol) -> None:
        if protocol not in self._silent:
            return
        self._silent.discard(protocol)
        transport = getattr(protocol, "transport", None)
        if transport is not None and not transport.is_closing():
            self.timed_out += 1
            transport.close()

    def begin_request(self, protocol) -> bool:
        """Note that a request's handler begins; return whether it was read before listening ended.

        Always False while the daemon listens.
        """
        self._silent.discard(protocol)
        self._busy.add(protocol)
        is_owed = protocol in self._owed
        self._owed.discard(protocol)
        return is_owed

    def end_request(self, protocol) -> None:
        """Note that a request's handler has ended."""
        self._busy.discard(protocol)

    def note_listening_ends(self) -> None:
        """Note on which connections a request has been read whose handler has not begun.

        It is in no count of handlers, and it is served like those that are.
        """
        self._owed = {
            connection
            for connection in self.server.connections
            if connection not in self._busy and not is_idle(connection)
        }

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in self.server.connections:
            if is_idle(connection):
                connection.force_close()
