"""Opening HTTP client sessions with the options that apply to all of them; stateless."""

import asyncio
import functools
import socket
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .answer_protocol import AnswerProtocol

__all__ = [
    "BodyTooLarge",
    "is_framed",
    "open_session",
    "raise_if_reset",
    "raise_unless_success",
    "read_body",
]

# First status that is no success (RFC 9110, section 15.3).
FIRST_NON_SUCCESS_STATUS = 300


class BodyTooLarge(aiohttp.ClientPayloadError):
    """The body of an answer is longer than its reader accepts."""


def open_session(
    connect_timeout_s: float,
    idle_timeout_s: float | None,
    socket_factory: Callable[..., socket.socket] | None = None,
    connector_class: Callable[..., aiohttp.TCPConnector] = aiohttp.TCPConnector,
    repeats_reads: bool = False,
    **options,
) -> aiohttp.ClientSession:
    """Open a session without a limit on connections and without a time limit on whole calls.

    aiohttp by default repeats a request if a pooled connection turns out to be closed. This is
    disabled unless `repeats_reads`, because only ferrydock may decide whether a caller's request is
    sent twice; aiohttp has no public setting for it. Nor has it one for the protocol of a
    connection, `AnswerProtocol`, which bounds what a server may send.

    Parameters
    ----------
    connect_timeout_s : float
        Time limit for connecting, in seconds.
    idle_timeout_s : float or None
        Seconds for which an idle connection is kept open; None to use each connection once.
    socket_factory : callable, optional
        Creates sockets with custom options.
    connector_class : callable, default=aiohttp.TCPConnector
        Creates the pool of connections.
    repeats_reads : bool, default=False
        Whether aiohttp may send a GET once more if a pooled connection turns out to be closed. Only
        for sessions that carry ferrydock's own calls.
    **options
        Additional arguments of `aiohttp.ClientSession`.
    """
    keep_alive_options = (
        {"force_close": True} if idle_timeout_s is None else {"keepalive_timeout": idle_timeout_s}
    )
    connector = connector_class(
        limit=0, use_dns_cache=False, socket_factory=socket_factory, **keep_alive_options
    )
    connector._factory = functools.partial(_make_protocol, connector._loop)
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        **options,
    )
    session._retry_connection = repeats_reads
    return session


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of an answer.

    Raises
    ------
    BodyTooLarge
        It is longer than `max_bytes`; only so much of it is held.
    aiohttp.ClientPayloadError
        It is broken.
    """
    pieces, size = [], 0
    async for piece in response.content.iter_any():
        pieces.append(piece)
        size += len(piece)
        if size > max_bytes:
            response.close()
            raise BodyTooLarge(f"a body of more than {max_bytes} bytes")
    raise_if_reset(response)
    return b"".join(pieces)


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer states where its body ends; else that is the connection's end.

    `answer_head` lets no other transfer coding than chunks pass.
    """
    return "Transfer-Encoding" in response.headers or "Content-Length" in response.headers


def raise_unless_success(response: aiohttp.ClientResponse) -> None:
    """Raise if an answer is no success; aiohttp's own check lets redirections pass.

    Raises
    ------
    aiohttp.ClientResponseError
        The status is not from 200 to 299.
    """
    if response.status >= FIRST_NON_SUCCESS_STATUS:
        raise aiohttp.ClientResponseError(
            response.request_info,
            response.history,
            status=response.status,
            message=response.reason or "",
        )


def raise_if_reset(response: aiohttp.ClientResponse) -> None:
    """Raise if the body of an answer ended because its connection was reset.

    Called once the body has been read. aiohttp treats any end of the connection as the end of an
    answer that is not framed. The error that ended the connection is only found in its protocol
    object, a private attribute. A framed answer is complete whatever happens to its connection.

    Raises
    ------
    aiohttp.ClientPayloadError
        The body may be incomplete.
    """
    if is_framed(response):
        return
    error = response._protocol.exception() if response._protocol is not None else None
    if isinstance(error, OSError) and not isinstance(error, aiohttp.ServerDisconnectedError):
        raise aiohttp.ClientPayloadError("the connection was reset")


def _make_protocol(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    return AnswerProtocol(loop)
