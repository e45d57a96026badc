"""Opens tunnels to targets through other daemons, and reads the target's bytes out of a tunnel.

Owns no state; `TunnelPeers` knows the other daemons.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import cast

from ..clock import Clock
from ..invariants import require
from ..logs import log_event
from ._dialer import Dialed, NoPathToTargets
from ._direct import open_directly
from ._tunnel_messages import FrameReader, TunnelRequest, TunnelResult, encode_request
from ._tunnel_peers import TunnelPeers

__all__ = ["PeerTunnels", "TunnelProtocol"]

_LOG = logging.getLogger("ferrydock.links")

# How long another daemon may take to accept the connection, and then to reply: it connects to the
# target meanwhile (`_tunnel_server.CONNECT_TIMEOUT_S`).
CONNECT_TIMEOUT_S = 0.15
REPLY_TIMEOUT_S = 0.35

# Daemons that are asked for one connection. Each that fails is not asked again for some time, so
# that the requests after it find one that answers.
MAX_ASKED_PEERS = 6


# Replies that say nothing about other targets: the other daemon's list may be older or newer, and a
# back-off concerns that daemon only.
_OF_THIS_TARGET_ONLY = (TunnelResult.UNKNOWN, TunnelResult.BACKED_OFF)


class PeerTunnels:
    """Opens connections to targets through other daemons.

    Parameters
    ----------
    peers : TunnelPeers
        The daemons that may be asked, in their order.
    """

    __slots__ = ("clock", "peers")

    def __init__(self, peers: TunnelPeers, clock: Clock):
        self.peers = peers
        self.clock = clock

    async def open(self, address: str, request_id: str) -> Dialed:
        """Return a connection to a target through the first daemon that can make it.

        A daemon that reaches targets, but not this one, settles that the target is at fault.

        Raises
        ------
        NoPathToTargets
            No other daemon could be used.
        OSError
            Another daemon could not connect to the target: `ConnectionRefusedError` if the target
            refused, else `TimeoutError`, also if it may not be connected to at present.
        """
        has_path = False
        for peer in self.peers.in_order(self.clock.now_s())[:MAX_ASKED_PEERS]:
            opened, result = await _ask(peer, address, request_id)
            if opened is not None:
                return Dialed(opened, peer)
            if result is TunnelResult.REFUSED:
                raise ConnectionRefusedError(f"{address} refused a connection from {peer}")
            if result is TunnelResult.SILENT:
                raise TimeoutError(f"{address} did not accept a connection from {peer}")
            if result in _OF_THIS_TARGET_ONLY:
                has_path = True
                continue
            if self.peers.note_failure(peer, self.clock.now_s()):
                why = "no_reply" if result is None else result.name.lower()
                log_event(
                    _LOG, logging.INFO, "tunnel_failed", peer=peer, request=request_id, why=why
                )
        if has_path:
            raise TimeoutError(f"no daemon connects to {address} now")
        raise NoPathToTargets("neither this daemon nor another one reaches the targets")

    async def report_backoff(self, peer: str, address: str, backoff_s: float) -> None:
        """Tell the daemon through which a target was asked that it requested a back-off.

        The target requests it of the daemon that it saw, which did not read the answer.
        """
        loop = asyncio.get_running_loop()
        try:
            opened = await open_directly(peer, CONNECT_TIMEOUT_S)
            with opened:
                async with asyncio.timeout(REPLY_TIMEOUT_S):
                    message = TunnelRequest(address, backoff_s=backoff_s)
                    await loop.sock_sendall(opened, encode_request(message))
                    await loop.sock_recv(opened, 1)  # until it is read, and closed
        except OSError as error:
            why = repr(error)
            log_event(_LOG, logging.INFO, "backoff_unreported", peer=peer, target=address, why=why)


async def _ask(
    peer: str, address: str, request_id: str
) -> tuple[socket.socket | None, TunnelResult | None]:
    """Ask a daemon for a connection; return it, or else the reply, which is None for silence."""
    loop = asyncio.get_running_loop()
    try:
        opened = await open_directly(peer, CONNECT_TIMEOUT_S)
    except OSError:
        return None, None
    result = None
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            await loop.sock_sendall(opened, encode_request(TunnelRequest(address, request_id)))
            result = TunnelResult(await loop.sock_recv(opened, 1))
    except (OSError, ValueError):  # silent, or closed without a reply
        pass
    finally:
        if result is not TunnelResult.CONNECTED:
            opened.close()
    return (opened if result is TunnelResult.CONNECTED else None), result


class TunnelProtocol(asyncio.Protocol):
    """Passes the target's bytes in a tunnel to the protocol that would read them directly.

    If the tunnel ends before the target has closed its connection, the inner protocol sees a reset
    connection: what it has read may be incomplete.

    Parameters
    ----------
    make_inner : callable
        Creates the inner protocol.
    on_withdrawn : callable
        Called if the other daemon says that the target got none of the bytes, before the inner
        protocol sees a reset connection.
    """

    __slots__ = ("_frames", "_is_cut", "_on_withdrawn", "_transport", "inner")

    def __init__(
        self, make_inner: Callable[[], asyncio.Protocol], on_withdrawn: Callable[[], None]
    ):
        self.inner = make_inner()
        self._on_withdrawn = on_withdrawn
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._is_cut = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect the inner protocol."""
        self._transport = cast(asyncio.Transport, transport)
        self.inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on the target's bytes, and the end of its connection."""
        found = self._frames.feed(data)
        if found:
            self.inner.data_received(found)
        if self._frames.has_ended:
            self._end()

    def _end(self) -> None:
        """Close the tunnel after its last frame, unless the inner protocol has paused reading.

        It may then hold bytes that it has not parsed yet. Once it reads again, the transport
        reports the end of the tunnel, since the other daemon closes it after the last frame.
        """
        transport = require(self._transport, "the transport of a connected tunnel")
        if self._frames.is_withdrawn:
            self._on_withdrawn()
        elif transport.is_reading():
            self.inner.eof_received()
        else:
            return
        transport.close()

    def eof_received(self) -> bool:
        """Close the tunnel, which the other daemon has closed."""
        self._is_cut = not self._frames.has_ended
        if not self._is_cut:
            self.inner.eof_received()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the end of the connection, as a reset if the tunnel broke."""
        if self._frames.is_withdrawn:
            exc = ConnectionResetError("the request was not passed on to the target")
        elif exc is None and self._is_cut:
            exc = ConnectionResetError("the tunnel ended before the target's connection did")
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pause the inner protocol."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Resume the inner protocol."""
        self.inner.resume_writing()
