"""How the route daemon and ``ferrydockd`` close a connection that waits for a request.

Owns, for each connection that is being closed, the count of the bytes that still arrive. A request
can be on its way when its connection is closed. If the socket were closed at once, the request
would be answered with a reset, and its caller could not know that repeating it is safe. So the
daemon says first that it runs nothing more on the connection, ends only its own side, and discards
what arrives for a short time. Relies on `asyncio.Transport.set_protocol`: from the answer on, no
byte reaches the parser, so that no request is run.
"""

import asyncio
import logging
from collections.abc import Callable

from aiohttp.web_protocol import RequestHandler

from .invariants import require
from .logs import log_event

__all__ = ["CLOSE_LINGER_S", "NOT_RUN_ANSWER", "ClosingConnection", "close_with_answer"]

_LOG = logging.getLogger("ferrydock.idle_close")

# For how long the daemon reads and discards after it has ended its side. A caller may send until
# the end has reached it, so this is longer than a packet takes to any hall and back, one of the two
# sent twice.
CLOSE_LINGER_S = 0.5

# The status guarantees that the request was not run (RFC 9110, section 15.5.9). On a connection
# without a request, common clients take it for the connection's end. Retry-After is 0 because the
# reason for the close does not concern the caller's next connection.
NOT_RUN_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nRetry-After: 0\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class ClosingConnection(asyncio.Protocol):
    """Discards what arrives on a connection whose own side has ended.

    Parameters
    ----------
    connection : RequestHandler
        Protocol of the connection until now; it learns of the connection's end.
    closed_s : float
        Loop time at which the daemon ended its side.
    on_end : callable or None
        Called with this object when the connection has ended.

    Attributes
    ----------
    closed_s : float
        As given.
    discarded_bytes : int
        Number of bytes that have arrived since.
    first_byte_after_s : float or None
        Time from the close to the first of these bytes, in seconds; None while there is none.
    """

    __slots__ = ("_connection", "closed_s", "discarded_bytes", "first_byte_after_s", "on_end")

    def __init__(
        self,
        connection: RequestHandler,
        closed_s: float,
        on_end: "Callable[[ClosingConnection], None] | None" = None,
    ):
        self._connection = connection
        self.closed_s = closed_s
        self.on_end = on_end
        self.discarded_bytes = 0
        self.first_byte_after_s: float | None = None

    def data_received(self, data: bytes) -> None:
        """Count the bytes; the answer to them has been sent."""
        if self.first_byte_after_s is None:
            self.first_byte_after_s = asyncio.get_running_loop().time() - self.closed_s
        self.discarded_bytes += len(data)

    def pause_writing(self) -> None:
        """Handle that an earlier answer is read slowly."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Handle that an earlier answer was read."""
        self._connection.resume_writing()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle that the connection has ended: by its caller, or after `CLOSE_LINGER_S`."""
        self._connection.connection_lost(exc)
        if self.on_end is not None:
            self.on_end(self)


def close_with_answer(
    connection: RequestHandler, on_end: Callable[[ClosingConnection], None] | None = None
) -> ClosingConnection:
    """Close a connection that waits for a request; one on its way is answered as not run.

    The connection counts as open until its caller has closed its side, at most `CLOSE_LINGER_S`. A
    TLS connection has no half-close: there the answer alone tells the caller of the end.
    """
    transport = require(connection.transport, "the transport of an idle connection")
    loop = asyncio.get_running_loop()
    closing = ClosingConnection(connection, loop.time(), on_end)
    transport.set_protocol(closing)
    connection.close()  # ends only the handler's wait for a request
    transport.write(NOT_RUN_ANSWER)
    try:
        if transport.can_write_eof():
            transport.write_eof()
    except OSError as error:  # the caller has reset the connection, which is not read yet
        log_event(_LOG, logging.INFO, "half_close_failed", why=repr(error))
        transport.abort()
    loop.call_later(CLOSE_LINGER_S, transport.close)
    return closing
