"""Connections to targets: one pool for each incarnation of a target."""

import asyncio
import socket

import aiohttp
from yarl import URL

from ..targets import Target

__all__ = ["Upstream"]

TCP_USER_TIMEOUT_MS = 3000
IDLE_S = 4.0
CONNECT_S = 0.15
LARGEST_HEAD_BYTES = 65536
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
    A request that may run once only takes a new connection: an answer left over from an earlier
    request can then not be taken for its own, and a connection that the target has just closed
    cannot swallow it.
    """

    __slots__ = ("_kept", "_once")

    def __init__(self):
        self._kept: dict[str, aiohttp.ClientSession] = {}
        self._once: aiohttp.ClientSession | None = None

    def _session(self, keep: bool) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=not keep,
            socket_factory=_open_socket,
            use_dns_cache=False,
            **({"keepalive_timeout": IDLE_S} if keep else {}),
        )
        session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_NO_AUTOMATIC,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
            max_line_size=LARGEST_HEAD_BYTES,
            max_field_size=LARGEST_HEAD_BYTES,
        )
        session._retry_connection = False  # a request is sent once; sending again is decided here
        return session

    def _session_for(self, target: Target, once: bool) -> aiohttp.ClientSession:
        if once:
            if self._once is None:
                self._once = self._session(keep=False)
            return self._once
        session = self._kept.get(target.target_id)
        if session is None:
            session = self._kept[target.target_id] = self._session(keep=True)
        return session

    async def send(
        self, target: Target, method: str, path: str, headers, body, once: bool
    ) -> aiohttp.ClientResponse:
        """Send a request and return its answer's head; raises what aiohttp raises."""
        session = self._session_for(target, once)
        url = URL(f"http://{target.address}{path}", encoded=True)
        return await session.request(method, url, headers=headers, data=body, allow_redirects=False)

    def forget_others(self, target_ids, busy_ids) -> None:
        """Close the connections to targets that are neither listed nor busy."""
        for target_id in [i for i in self._kept if i not in target_ids and i not in busy_ids]:
            session = self._kept.pop(target_id)
            asyncio.get_running_loop().create_task(session.close())

    async def close(self) -> None:
        """Close all connections."""
        sessions = [*self._kept.values(), *([self._once] if self._once else [])]
        self._kept.clear()
        self._once = None
        for session in sessions:
            await session.close()
