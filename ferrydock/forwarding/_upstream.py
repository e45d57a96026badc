"""Connections to targets, in one pool for each incarnation of a target.

Owns the pools. An address may be reused by another target, so pools are kept by target id, and are
closed when the target is removed. The last check whether a request may be sent is made between the
connection and the first byte (`_send_check`).
"""

import asyncio
import functools
from collections.abc import AsyncIterator, Awaitable, Callable, Container, Mapping
from dataclasses import dataclass

import aiohttp
from yarl import URL

from ..http_client import open_session
from ..links import TargetDialer
from ..targets import Target
from ._send_check import (
    CURRENT_GUARD,
    CheckedBytes,
    SendGuard,
    WithdrawnBeforeHead,
    checked_pieces,
)
from ._send_times import CURRENT_TIMES, SendTimes, TimedConnector

__all__ = ["SendWithdrawn", "Upstream"]

# How long an idle connection to a target is kept open.
IDLE_TIMEOUT_S = 4.0

# How long connecting to a target may take before the request is sent to another one.
CONNECT_TIMEOUT_S = 0.15

# Maximum length of a line and of a header field in the head of an answer.
MAX_HEAD_BYTES = 65536

# Headers that aiohttp adds by default; a target is to get those of the caller only.
_SKIPPED_AUTO_HEADERS = frozenset({"User-Agent", "Content-Type", "Accept", "Accept-Encoding"})


@dataclass(frozen=True, slots=True)
class SendWithdrawn:
    """The target has got nothing, and must not get the request any more.

    Attributes
    ----------
    was_handed_over : bool
        Whether another daemon, which passed none of them on, has received bytes.
    """

    was_handed_over: bool


class Upstream:
    """Sends requests to targets over pooled connections.

    Parameters
    ----------
    dialer : TargetDialer, optional
        Makes the connections; by default directly.

    Notes
    -----
    A request that must not be lost uses a new connection. It can then neither receive an answer
    left over from an earlier request, nor be lost on a connection that the target has just closed.

    While new connections lead through another daemon, each request uses a new one: connections that
    were made directly may be silent, and a daemon that stops waits for the open tunnels.
    """

    __slots__ = ("_pools", "_replaced_pools", "_single_use_pool", "dialer")

    def __init__(self, dialer: TargetDialer | None = None):
        self.dialer = dialer or TargetDialer()
        self._pools: dict[str, aiohttp.ClientSession] = {}
        self._replaced_pools: list[tuple[str, aiohttp.ClientSession]] = []
        self._single_use_pool: aiohttp.ClientSession | None = None

    async def send(
        self,
        target: Target,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | AsyncIterator[bytes],
        needs_new_connection: bool,
        may_send: Callable[[], Awaitable[bool]],
        times: SendTimes,
    ) -> aiohttp.ClientResponse | SendWithdrawn:
        """Send a request and return the head of its answer, or that nothing was sent.

        Parameters
        ----------
        path : str
            Path and query as the caller sent them; they are not quoted again.
        needs_new_connection : bool
            Whether to send the request on a connection that has served no other one.
        may_send : callable
            Returns whether the request may be sent; called before connecting, and before the head.
        times : SendTimes
            Receives the times of connecting and of the first byte.

        Raises
        ------
        aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError
            Nothing was sent to the target.
        aiohttp.ClientError, OSError
            The target may have received the request.
        """
        session = self._session_for(target, needs_new_connection)
        url = URL(f"http://{target.address}{path}", encoded=True)
        guard = SendGuard(may_send)
        CURRENT_GUARD.set(guard)
        CURRENT_TIMES.set(times)

        async def before_head() -> None:
            await guard.check()
            times.note_sent()

        data = _checked_body(body, before_head)
        try:
            return await session.request(
                method, url, headers=headers, data=data, allow_redirects=False
            )
        except (WithdrawnBeforeHead, aiohttp.ClientConnectionError):
            if guard.is_withdrawn:
                return SendWithdrawn(guard.was_handed_over)
            raise

    def replace_pools(self) -> None:
        """Use none of the open connections for further requests; those in use are not closed."""
        self._replaced_pools += self._pools.items()
        self._pools = {}

    def _session_for(self, target: Target, needs_new_connection: bool) -> aiohttp.ClientSession:
        if needs_new_connection or not self.dialer.is_direct:
            if self._single_use_pool is None:
                self._single_use_pool = self._open_session(keep_alive=False)
            return self._single_use_pool
        session = self._pools.get(target.target_id)
        if session is None:
            session = self._pools[target.target_id] = self._open_session(keep_alive=True)
        return session

    def _open_session(self, keep_alive: bool) -> aiohttp.ClientSession:
        """Open a pool whose connections are reused, or else closed after one request."""
        return open_session(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S if keep_alive else None,
            connector_class=functools.partial(TimedConnector, dialer=self.dialer),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )

    def close_unlisted(self, target_ids: Container[str], busy_ids: Container[str]) -> None:
        """Close connections to targets that are not busy: to unlisted ones, in replaced pools."""
        for target_id in [i for i in self._pools if i not in target_ids and i not in busy_ids]:
            session = self._pools.pop(target_id)
            asyncio.get_running_loop().create_task(session.close())
        for target_id, session in [p for p in self._replaced_pools if p[0] not in busy_ids]:
            self._replaced_pools.remove((target_id, session))
            asyncio.get_running_loop().create_task(session.close())

    async def close(self) -> None:
        """Close all connections."""
        sessions = [
            *self._pools.values(),
            *(session for _, session in self._replaced_pools),
            *([self._single_use_pool] if self._single_use_pool else []),
        ]
        self._pools.clear()
        self._replaced_pools.clear()
        self._single_use_pool = None
        for session in sessions:
            await session.close()


def _checked_body(
    body: bytes | AsyncIterator[bytes], before_head: Callable[[], Awaitable[None]]
) -> bytes | aiohttp.Payload | AsyncIterator[bytes]:
    """Return a body whose first piece is written only after a check; none is needed without one."""
    if not isinstance(body, bytes):
        return checked_pieces(body, before_head)
    return CheckedBytes(body, before_head) if body else body
