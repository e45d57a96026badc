"""Connections to targets: one pool for each incarnation of a target.

Owns the pools. A target's address may be taken over by another one, so pools are kept by target id
and closed once the target is gone.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Container, Mapping

import aiohttp
from yarl import URL

from ..http_client import open_session
from ..targets import Target

__all__ = ["Upstream"]

# How long sent bytes may stay unacknowledged before the kernel gives the connection up: behind a
# cut it would otherwise hang for minutes. A target that is slow still acknowledges. Chosen, not
# measured.
TCP_USER_TIMEOUT_MS = 3000

# How long a connection to a target is kept without a request. Chosen, not measured.
KEEP_IDLE_S = 4.0

# How long connecting may take; after it another target is tried. Lowered in commit 9f0c939; not
# measured by itself.
CONNECT_TIMEOUT_S = 0.15

# Longest line and longest field of an answer's head that is accepted. Chosen, not measured.
MAX_HEAD_BYTES = 65536

# aiohttp adds these headers unless it is told not to; a target gets the caller's headers only.
_NO_AUTOMATIC = frozenset({"User-Agent", "Content-Type", "Accept", "Accept-Encoding"})


def _open_socket(address_info) -> socket.socket:
    family, kind, protocol = address_info[:3]
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened


class Upstream:
    """Sends requests to targets.

    Notes
    -----
    A request that may run only once takes a new connection: an answer left over from an earlier
    request can then not be taken for its own, and a connection that the target has just closed
    cannot swallow it.
    """

    __slots__ = ("_kept", "_single_use")

    def __init__(self):
        self._kept: dict[str, aiohttp.ClientSession] = {}
        self._single_use: aiohttp.ClientSession | None = None

    async def send(
        self,
        target: Target,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | AsyncIterator[bytes],
        once: bool,
    ) -> aiohttp.ClientResponse:
        """Send a request and return the head of its answer.

        Parameters
        ----------
        path : str
            As the caller sent it, with its query; it is not quoted anew.
        once : bool
            Whether the request may run only once.

        Raises
        ------
        aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError
            Nothing was sent.
        aiohttp.ClientError, OSError
            The request may have been received.
        """
        session = self._session_for(target, once)
        url = URL(f"http://{target.address}{path}", encoded=True)
        return await session.request(method, url, headers=headers, data=body, allow_redirects=False)

    def _session_for(self, target: Target, once: bool) -> aiohttp.ClientSession:
        if once:
            if self._single_use is None:
                self._single_use = _open_session(keep=False)
            return self._single_use
        session = self._kept.get(target.target_id)
        if session is None:
            session = self._kept[target.target_id] = _open_session(keep=True)
        return session

    def forget_others(self, target_ids: Container[str], busy_ids: Container[str]) -> None:
        """Close the connections to targets that are neither listed nor busy."""
        for target_id in [i for i in self._kept if i not in target_ids and i not in busy_ids]:
            session = self._kept.pop(target_id)
            asyncio.get_running_loop().create_task(session.close())

    async def close(self) -> None:
        """Close all connections."""
        sessions = [*self._kept.values(), *([self._single_use] if self._single_use else [])]
        self._kept.clear()
        self._single_use = None
        for session in sessions:
            await session.close()


def _open_session(keep: bool) -> aiohttp.ClientSession:
    """Open a pool of connections that are kept for further requests, or used once."""
    return open_session(
        connect_timeout_s=CONNECT_TIMEOUT_S,
        keep_idle_s=KEEP_IDLE_S if keep else None,
        socket_factory=_open_socket,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_NO_AUTOMATIC,
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
    )
