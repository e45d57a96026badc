"""Calls to other daemons: one connection for each, bytes in and bytes out.

Owns the connections. What the bytes mean is up to the packages that call.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import grpc
import grpc.aio

from ..invariants import existing
from ..logs import log_event
from ._packing import unpack

__all__ = ["OPTIONS", "SERVICE", "PeerCalls", "PeerMethod"]

_LOG = logging.getLogger("ferrydock.relay")

# Serves one call: the bytes of a request in, the bytes of the answer out.
PeerMethod = Callable[[bytes], Awaitable[bytes]]

# Name of the service on the wire.
SERVICE = "ferrydock.Peer"

# Largest message; a whole target list of a grown site and a configuration of some hundred routes
# stay far below. Chosen, not measured.
MAX_MESSAGE_BYTES = 16 * 2**20

# Connections kept at a time: one daemon calls its hall leader, and a leader the leaders of other
# halls. Chosen, not measured.
MAX_CONNECTIONS = 8

# Time without any answer after which a connection is opened anew, in seconds, from the first call
# that was not answered: one behind a network cut would stay silent. Counted as time and not as
# calls, since a daemon makes many at once: three that are late together would close the connection
# under all others. Chosen, not measured.
RECONNECT_AFTER_S = 0.5

# No port is shared with an older process, and no proxy of the environment is used.
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
)

# A peer that starts again is reached within half a second. Chosen, not measured. The pool is local,
# so that a connection that is given up here is really closed.
CHANNEL_OPTIONS = (
    *OPTIONS,
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.use_local_subchannel_pool", 1),
)


def _as_it_is(data: bytes) -> bytes:
    """Return a message whose bytes the caller packs and unpacks itself."""
    return data


class PeerCalls:
    """Makes calls to other daemons."""

    __slots__ = ("_channels", "_silent_since_s")

    def __init__(self):
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._silent_since_s: dict[str, float] = {}

    async def call(self, address: str, method: str, data: bytes, timeout_s: float) -> bytes | None:
        """Return the answer, or None if there was none in time; the reason is logged."""
        channel = self._channels.get(address)
        if channel is None:
            await self._make_room()
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        began_s = asyncio.get_running_loop().time()
        try:
            ask = channel.unary_unary(f"/{SERVICE}/{method}", _as_it_is, _as_it_is)
            answer = await ask(data, timeout=timeout_s)
        except (grpc.aio.AioRpcError, grpc.aio.UsageError, OSError) as error:
            await self._note_failure(address, method, error, began_s)
            return None
        except asyncio.CancelledError:
            if existing(asyncio.current_task(), "the current task").cancelling():
                raise
            # Another call has closed the connection under this one.
            log_event(
                _LOG, logging.INFO, "call_failed", address=address, method=method, why="CLOSED"
            )
            return None
        self._silent_since_s.pop(address, None)
        return self._unpacked(address, method, answer)

    def _unpacked(self, address: str, method: str, answer: bytes) -> bytes | None:
        try:
            return unpack(answer)
        except ValueError as error:
            why = str(error)
            log_event(
                _LOG, logging.ERROR, "answer_unreadable", address=address, method=method, why=why
            )
            return None

    async def _note_failure(
        self, address: str, method: str, error: Exception, began_s: float
    ) -> None:
        """Log a call without an answer; close a connection that is broken or silent for long."""
        code = error.code() if isinstance(error, grpc.aio.AioRpcError) else None
        why = code.name if code else type(error).__name__
        log_event(_LOG, logging.INFO, "call_failed", address=address, method=method, why=why)
        since_s = self._silent_since_s.setdefault(address, began_s)
        silent_s = asyncio.get_running_loop().time() - since_s
        if code is not grpc.StatusCode.DEADLINE_EXCEEDED or silent_s >= RECONNECT_AFTER_S:
            await self.drop(address)

    async def drop(self, address: str) -> None:
        """Close the connection to a daemon; the next call opens another."""
        self._silent_since_s.pop(address, None)
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def _make_room(self) -> None:
        """Close the oldest connection if there are too many."""
        while len(self._channels) >= MAX_CONNECTIONS:
            await self.drop(next(iter(self._channels)))

    async def close(self) -> None:
        """Close all connections."""
        channels, self._channels = self._channels, {}
        for channel in channels.values():
            await channel.close()
