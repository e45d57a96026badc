"""Opening HTTP client sessions, with what must hold for all of them in one place; stateless."""

import socket
from collections.abc import Callable

import aiohttp

__all__ = ["open_session"]


def open_session(
    connect_timeout_s: float,
    keep_idle_s: float | None,
    socket_factory: Callable[..., socket.socket] | None = None,
    **options,
) -> aiohttp.ClientSession:
    """Open a session without a limit on connections and without a time limit on whole calls.

    aiohttp sends a request again by itself when a kept connection turns out to be closed. That is
    switched off: whether something may be sent twice is decided by this product alone. aiohttp has
    no public setting for it.

    Parameters
    ----------
    connect_timeout_s : float
        How long connecting may take.
    keep_idle_s : float or None
        How long an unused connection is kept; None to use each connection once.
    socket_factory : callable, optional
        Opens a socket with options of its own.
    **options
        Further arguments of `aiohttp.ClientSession`.
    """
    keeping = {"force_close": True} if keep_idle_s is None else {"keepalive_timeout": keep_idle_s}
    connector = aiohttp.TCPConnector(
        limit=0, use_dns_cache=False, socket_factory=socket_factory, **keeping
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        **options,
    )
    session._retry_connection = False
    return session
