"""Calls between daemons over gRPC, with one connection to each daemon that is called.

Owns the connections. Requests and replies are bytes, which the calling packages encode and decode.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import orjson

from ..invariants import require
from ..logs import log_event
from ._packing import decompress

if TYPE_CHECKING:
    import grpc.aio

__all__ = ["GRPC_OPTIONS", "NEWS_METHOD", "SERVICE_NAME", "PeerCalls", "PeerMethod"]

_LOG = logging.getLogger("ferrydock.relay")

# Handler of one method: takes the bytes of a request and returns the bytes of the reply.
PeerMethod = Callable[[bytes], Awaitable[bytes]]

# gRPC metadata of a call: pairs of name and value.
PeerMetadata = tuple[tuple[str, str], ...]

# Name of the gRPC service.
SERVICE_NAME = "ferrydock.Peer"

# Name of the gRPC method by which followers read target list and configuration from their leader.
NEWS_METHOD = "News"

# Far above the complete target list of a large site and a configuration of some hundred routes.
MAX_MESSAGE_BYTES = 16 * 2**20

# Replies of the other methods. A daemon makes such calls for many requests at once, and each reply
# that arrives is held; some 100 bytes for each target of a large site are far less.
MAX_REPLY_BYTES = 2**20

# Concurrent connections: a daemon calls its hall leader, and a leader calls those of other halls.
MAX_CONNECTIONS = 8

# A connection is closed if no call on it has been answered for this time, measured from the start
# of the first unanswered call. Without this, a connection that a network cut has broken would stay
# unusable. The limit is a time rather than a number of calls because a daemon makes many concurrent
# calls: three late ones would close the connection that all others are using.
RECONNECT_AFTER_S = 0.5

# The listening port is not shared with another process, and proxies set in the environment are
# ignored.
GRPC_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
)

# Bounds replies by method.
_METHOD_CONFIG = {
    "methodConfig": [
        {"name": [{"service": SERVICE_NAME}], "maxResponseMessageBytes": MAX_REPLY_BYTES},
        {
            "name": [{"service": SERVICE_NAME, "method": NEWS_METHOD}],
            "maxResponseMessageBytes": MAX_MESSAGE_BYTES,
        },
    ]
}

# With these back-offs a restarted peer is reached again within half a second. The subchannel pool
# is local, so that closing a channel closes its connection, which a global pool could keep open.
CHANNEL_OPTIONS = (
    *GRPC_OPTIONS,
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.service_config", orjson.dumps(_METHOD_CONFIG).decode()),
)


def _raw_bytes(data: bytes) -> bytes:
    """Return a message unchanged; the serializer for gRPC, since messages are bytes already."""
    return data


def _max_reply_bytes(method: str) -> int:
    return MAX_MESSAGE_BYTES if method == NEWS_METHOD else MAX_REPLY_BYTES


class PeerCalls:
    """Makes calls to other daemons."""

    __slots__ = ("_channels", "_unanswered_since_s")

    def __init__(self):
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._unanswered_since_s: dict[str, float] = {}

    async def call(
        self,
        address: str,
        method: str,
        data: bytes,
        timeout_s: float,
        metadata: PeerMetadata | None = None,
    ) -> bytes | None:
        """Call a method of the daemon at `address`; return its reply, or None on failure.

        The reason of a failure is logged. A daemon of an older version ignores `metadata`.
        """
        import grpc.aio  # imported after the listeners are open (`route_daemon._late_imports`)

        channel = self._channels.get(address)
        if channel is None:
            await self._limit_connections()
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        began_s = asyncio.get_running_loop().time()
        try:
            send_request = channel.unary_unary(f"/{SERVICE_NAME}/{method}", _raw_bytes, _raw_bytes)
            reply = await send_request(data, timeout=timeout_s, metadata=metadata)
        except (grpc.aio.AioRpcError, grpc.aio.UsageError, OSError) as error:
            await self._note_failure(address, method, error, began_s)
            return None
        except asyncio.CancelledError:
            if require(asyncio.current_task(), "the current task").cancelling():
                raise
            # Not cancelled from outside: another call has closed the shared connection.
            log_event(
                _LOG, logging.INFO, "call_failed", address=address, method=method, why="CLOSED"
            )
            return None
        self._unanswered_since_s.pop(address, None)
        return self._decompressed(address, method, reply)

    def _decompressed(self, address: str, method: str, reply: bytes) -> bytes | None:
        try:
            return decompress(reply, _max_reply_bytes(method))
        except ValueError as error:
            why = str(error)
            log_event(
                _LOG, logging.ERROR, "answer_unreadable", address=address, method=method, why=why
            )
            return None

    async def _note_failure(
        self, address: str, method: str, error: Exception, began_s: float
    ) -> None:
        """Log a failed call; close the connection if it is broken or unanswered for too long.

        A time-out alone closes it only after `RECONNECT_AFTER_S`, a method that the daemon does not
        know does not close it, and any other failure does.
        """
        import grpc.aio

        code = error.code() if isinstance(error, grpc.aio.AioRpcError) else None
        why = code.name if code else type(error).__name__
        log_event(_LOG, logging.INFO, "call_failed", address=address, method=method, why=why)
        if code is grpc.StatusCode.UNIMPLEMENTED:  # answered, by a daemon of an older version
            self._unanswered_since_s.pop(address, None)
            return
        unanswered_since_s = self._unanswered_since_s.setdefault(address, began_s)
        unanswered_s = asyncio.get_running_loop().time() - unanswered_since_s
        if code is not grpc.StatusCode.DEADLINE_EXCEEDED or unanswered_s >= RECONNECT_AFTER_S:
            await self.disconnect(address)

    async def disconnect(self, address: str) -> None:
        """Close the connection to a daemon; the next call opens another."""
        self._unanswered_since_s.pop(address, None)
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def _limit_connections(self) -> None:
        """Close the oldest connections until another one may be opened."""
        while len(self._channels) >= MAX_CONNECTIONS:
            await self.disconnect(next(iter(self._channels)))

    async def close(self) -> None:
        """Close all connections."""
        channels, self._channels = self._channels, {}
        for channel in channels.values():
            await channel.close()
