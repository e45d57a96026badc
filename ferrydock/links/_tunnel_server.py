"""Accepts tunnels from other daemons and forwards their bytes to targets.

Owns the listening socket and the open tunnels. A tunnel leads directly to a target that this daemon
lists, never through a third daemon. Bytes are forwarded as they come; each side is read no faster
than the other one takes them.

The first bytes of a caller's request wait for a check whether it may begin at the target: this
daemon may have stood still with these bytes unread, while the target left.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine
from typing import Protocol, cast

from ..clock import Clock
from ..logs import log_event
from ._direct import open_directly, split_address
from ._target_links import TargetLinks
from ._tunnel_messages import (
    END_FRAME,
    WITHDRAWN_FRAME,
    TunnelRequest,
    TunnelResult,
    decode_request,
    encode_frame,
)

__all__ = ["ForwardedTargets", "TunnelServer"]

_LOG = logging.getLogger("ferrydock.links")

# How long a target may take to accept the connection of a tunnel.
CONNECT_TIMEOUT_S = 0.15

# How long a daemon may take to send its request.
REQUEST_TIMEOUT_S = 1.0

# Open tunnels, well above what two thirds of a hall's callers have in flight. Each holds two
# sockets, and in memory up to the transport's limits of unsent bytes.
MAX_TUNNELS = 600

LISTEN_BACKLOG = 256
MS_PER_S = 1000


class ForwardedTargets(Protocol):
    """What the forwarding daemon knows of the targets that tunnels lead to, by ``IP:PORT``."""

    def is_listed(self, address: str) -> bool:
        """Return whether an address is that of a target, which may be leaving."""

    async def may_begin(self, address: str) -> bool:
        """Wait until the target list is recent; return whether a request may begin there now."""

    def is_backed_off(self, address: str) -> bool:
        """Return whether the target has requested a back-off of this daemon."""

    def note_backoff(self, address: str, backoff_s: float) -> None:
        """Record a back-off that the target requested in an answer to another daemon's request."""


class TunnelServer:
    """Serves tunnels to targets.

    Parameters
    ----------
    links : TargetLinks
        Whether this daemon reaches targets.
    targets : ForwardedTargets
        The targets that tunnels may lead to.
    is_stopping : callable
        Returns whether new tunnels are refused, since the daemon is stopping.

    Attributes
    ----------
    tunnel_count : int
        Number of open tunnels.
    """

    __slots__ = ("_server", "_tasks", "_tunnels", "clock", "is_stopping", "links", "targets")

    def __init__(
        self,
        links: TargetLinks,
        targets: ForwardedTargets,
        is_stopping: Callable[[], bool],
        clock: Clock,
    ):
        self.links = links
        self.targets = targets
        self.is_stopping = is_stopping
        self.clock = clock
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._tunnels: set[_CallerSide] = set()

    @property
    def tunnel_count(self) -> int:
        """Number of open tunnels."""
        return len(self._tunnels)

    async def start(self, listen: str) -> str:
        """Start listening on ``IP:PORT``; return the address with the actual port."""
        host, port = split_address(listen)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _CallerSide(self), host, port, backlog=LISTEN_BACKLOG
        )
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    async def close(self) -> None:
        """Stop listening and cut the open tunnels."""
        if self._server is not None:
            self._server.close()
        for tunnel in list(self._tunnels):
            tunnel.cut()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def connect(self, tunnel: "_CallerSide", address: str) -> None:
        """Connect a tunnel to its target in a task."""
        self._spawn(self._connect(tunnel, address))

    def check_request(self, tunnel: "_CallerSide") -> None:
        """Find out in a task whether the request in a tunnel may begin at its target."""
        self._spawn(self._check_request(tunnel))

    async def _check_request(self, tunnel: "_CallerSide") -> None:
        tunnel.end_check(await self.targets.may_begin(tunnel.address))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, tunnel: "_CallerSide", address: str) -> None:
        result = self._refusal(address)
        if result is None:
            result = await self._connect_to_target(tunnel, address)
        tunnel.reply(result)
        if result is TunnelResult.CONNECTED:
            self._tunnels.add(tunnel)

    def _refusal(self, address: str) -> TunnelResult | None:
        """Return why a tunnel is refused without a try, or None."""
        if self.is_stopping() or len(self._tunnels) >= MAX_TUNNELS:
            return TunnelResult.BUSY
        if not self.targets.is_listed(address):
            return TunnelResult.UNKNOWN
        if self.targets.is_backed_off(address):
            return TunnelResult.BACKED_OFF
        return TunnelResult.NO_LINKS if self.links.is_lost else None

    async def _connect_to_target(self, tunnel: "_CallerSide", address: str) -> TunnelResult:
        try:
            opened = await open_directly(address, CONNECT_TIMEOUT_S)
        except OSError as error:
            if await self.links.check():
                return TunnelResult.NO_LINKS
            is_refused = isinstance(error, ConnectionRefusedError)
            return TunnelResult.REFUSED if is_refused else TunnelResult.SILENT
        target = _TargetSide(tunnel)
        await asyncio.get_running_loop().create_connection(lambda: target, sock=opened)
        tunnel.target = target
        return TunnelResult.CONNECTED

    def note_ended(self, tunnel: "_CallerSide") -> None:
        """Log the end of a tunnel."""
        if tunnel in self._tunnels:
            self._tunnels.discard(tunnel)
            log_event(
                _LOG,
                logging.INFO,
                "tunnel_ended",
                request=tunnel.request_id,
                target=tunnel.address,
                sender=tunnel.sender,
                bytes=tunnel.forwarded_bytes,
                withdrawn=tunnel.is_withdrawn or None,
                open_ms=(self.clock.now_s() - tunnel.began_s) * MS_PER_S,
            )


class _CallerSide(asyncio.Protocol):
    """The connection from the other daemon."""

    def __init__(self, server: TunnelServer):
        self.server = server
        self.target: _TargetSide | None = None
        self.address = self.request_id = self.sender = ""
        self.began_s = server.clock.now_s()
        self.forwarded_bytes = 0
        self.transport: asyncio.Transport | None = None
        self._request = b""
        self._unchecked: list[bytes] = []
        self._is_checked = False
        self.is_withdrawn = False
        self._timeout = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self.cut)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.sender = str(transport.get_extra_info("peername", ("",))[0])

    def data_received(self, data: bytes) -> None:
        if self.target is not None and self.target.transport is not None:
            self._pass_on(data, self.target.transport)
        elif not self.address:
            self._read_request(data)
        else:  # the caller sends nothing before the reply
            self.cut()

    def _pass_on(self, data: bytes, target: asyncio.Transport) -> None:
        """Send bytes to the target, the first ones of a caller's request after a check."""
        if self._is_checked or not self.request_id:
            target.write(data)
            return
        self._unchecked.append(data)
        if len(self._unchecked) == 1 and self.transport is not None:
            self.transport.pause_reading()
            self.server.check_request(self)

    def end_check(self, may_begin: bool) -> None:
        """Send the bytes that waited for the check, or tell the other daemon that none were."""
        caller, target = self.transport, self.target.transport if self.target is not None else None
        if caller is None or caller.is_closing() or target is None:
            return
        if may_begin:
            self._is_checked = True
            caller.resume_reading()  # before the target's side may pause it
            target.write(b"".join(self._unchecked))
        else:
            self.is_withdrawn = True
            caller.write(WITHDRAWN_FRAME)
            caller.close()
        self._unchecked.clear()

    def _read_request(self, data: bytes) -> None:
        self._request += data
        try:
            request = decode_request(self._request)
        except (ValueError, KeyError, TypeError) as error:
            log_event(
                _LOG, logging.WARNING, "tunnel_unreadable", sender=self.sender, why=repr(error)
            )
            self.cut()
            return
        if request is not None:
            self._timeout.cancel()
            self._handle(request)

    def _handle(self, request: TunnelRequest) -> None:
        if request.backoff_s is not None:
            self.server.targets.note_backoff(request.address, request.backoff_s)
            self.cut()
            return
        self.address, self.request_id = request.address, request.request_id
        self.server.connect(self, self.address)

    def reply(self, result: TunnelResult) -> None:
        """Answer the request; close the connection unless the target is connected."""
        if self.transport is None or self.transport.is_closing():
            self._end_target()
            return
        self.transport.write(result.value)
        if result is not TunnelResult.CONNECTED:
            self.transport.close()

    def forward(self, data: bytes) -> None:
        """Send bytes of the target."""
        if self.transport is not None:
            self.forwarded_bytes += len(data)
            self.transport.write(encode_frame(data))

    def end(self, is_in_order: bool) -> None:
        """Close the connection after what was sent, since the target's connection has ended."""
        if self.transport is not None and not self.transport.is_closing():
            if is_in_order:
                self.transport.write(END_FRAME)
            self.transport.close()

    def cut(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        if self.target is not None and self.target.transport is not None:
            with contextlib.suppress(RuntimeError):  # it is closing
                self.target.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.target is not None and self.target.transport is not None:
            with contextlib.suppress(RuntimeError):
                self.target.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the target's connection: its work is no longer wanted."""
        self._timeout.cancel()
        self._end_target()
        self.server.note_ended(self)

    def _end_target(self) -> None:
        if self.target is not None and self.target.transport is not None:
            self.target.transport.abort()


class _TargetSide(asyncio.Protocol):
    """The connection to the target."""

    def __init__(self, caller: _CallerSide):
        self.caller = caller
        self.transport: asyncio.Transport | None = None
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.caller.forward(data)

    def eof_received(self) -> bool:
        self._has_ended = True
        return False

    def pause_writing(self) -> None:
        if self.caller.transport is not None:
            with contextlib.suppress(RuntimeError):
                self.caller.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.caller.transport is not None:
            with contextlib.suppress(RuntimeError):
                self.caller.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.caller.end(is_in_order=exc is None and self._has_ended)
