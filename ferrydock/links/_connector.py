"""An aiohttp connector that lets a `TargetDialer` make its connections; owns the pool only."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp

from ._dialer import Dialed, TargetDialer
from ._tunnel_client import TunnelProtocol

__all__ = ["DialingConnector"]


class DialingConnector(aiohttp.TCPConnector):
    """Connects to targets by a dialer.

    aiohttp has no public way to replace how a connection is made, so this overrides the private
    method that makes it.

    Parameters
    ----------
    dialer : TargetDialer
        Makes the connections.
    **options
        Arguments of `aiohttp.TCPConnector`.
    """

    def __init__(self, *, dialer: TargetDialer, **options: Any):
        super().__init__(**options)
        self._dialer = dialer

    def request_id(self) -> str:
        """Return the id of the request that the running task connects for; empty for none."""
        return ""

    def note_dialed(self, dialed: Dialed) -> None:
        """Receive each new connection of the running task."""

    def withdrawal_listener(self) -> Callable[[], None]:
        """Return what is called if another daemon does not pass on the running task's request."""
        return _ignore

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos,
        req,
        timeout,
        client_error=aiohttp.ClientConnectorError,
        **kwargs,
    ):
        host, port = addr_infos[0][4][:2]
        try:
            dialed = await self._dialer.connect(
                f"{host}:{port}", timeout.sock_connect, self.request_id()
            )
        except OSError as error:
            raise client_error(req.connection_key, error) from error
        self.note_dialed(dialed)
        make_protocol, *rest = args
        loop, on_withdrawn = asyncio.get_running_loop(), self.withdrawal_listener()
        try:
            if not dialed.through:
                return await loop.create_connection(*args, sock=dialed.opened, **kwargs)
            transport, tunnel = await loop.create_connection(
                lambda: TunnelProtocol(make_protocol, on_withdrawn),
                *rest,
                sock=dialed.opened,
                **kwargs,
            )
            return transport, tunnel.inner
        except BaseException:
            dialed.opened.close()
            raise


def _ignore() -> None:
    """Do nothing: calls that are no request of a caller are never withdrawn."""
