"""A peer of daemons that sends bytes without end to all that connect to it.

Owns its ports and connections.
"""

import asyncio
import struct
from collections.abc import AsyncIterator, Sequence
from contextlib import suppress
from enum import StrEnum

import grpc
import grpc.aio

from ._endless import BLOCK_BYTES, BLOCK_INTERVAL_S, ENDLESS_MARK

__all__ = ["EndlessPeer", "EndlessPeerKind"]


class EndlessPeerKind(StrEnum):
    """What a peer in trouble sends on the connections of daemons that call it.

    ``NO_HTTP2``: bytes of no protocol. ``SETTINGS``, ``PINGS``: control frames of HTTP/2.
    ``HEADER_FRAMES``: header fields of the reply to the first call. ``DATA_FRAMES``: its body.
    ``TUNNEL_FRAMES``: an accepted tunnel, and frames in it. ``REPLIES``: to each call a reply as
    large as gRPC lets through at most, and further ones as fast as they are read.
    """

    NO_HTTP2 = "peer_no_http2"
    SETTINGS = "peer_settings"
    PINGS = "peer_pings"
    HEADER_FRAMES = "peer_header_frames"
    DATA_FRAMES = "peer_data_frames"
    TUNNEL_FRAMES = "peer_tunnel_frames"
    REPLIES = "peer_replies"


# Types of HTTP/2 frames, and the flag of the last one of a header block.
_DATA, _HEADERS, _SETTINGS, _PING, _CONTINUATION = 0, 1, 4, 6, 9
_END_HEADERS = 4

# Time after the server's settings within which a client has sent its first call.
CALL_WITHIN_S = 0.1


def _frame(kind: int, data: bytes, flags: int = 0, stream: int = 0) -> bytes:
    return struct.pack(">I", len(data))[1:] + struct.pack(">BBI", kind, flags, stream) + data


def _field(name: bytes, value: bytes) -> bytes:
    """Return a header field, encoded without a table."""
    return b"\0%c%s%c%s" % (len(name), name, len(value), value)


_BEGIN = _frame(_SETTINGS, b"")
_STATUS_200 = b"\x88"
_HEAD = _STATUS_200 + _field(b"content-type", b"application/grpc")
_REPLY_HEAD = _frame(_HEADERS, _HEAD, _END_HEADERS, 1)
_TUNNEL_FRAME = struct.pack(">I", len(ENDLESS_MARK)) + ENDLESS_MARK

# A reply as large as daemons let through (`relay._peers.MAX_MESSAGE_BYTES`).
REPLY_BYTES = 16 * 2**20
_REPLY = (b"[" + ENDLESS_MARK * (REPLY_BYTES // len(ENDLESS_MARK)))[:REPLY_BYTES]

# What comes at once, after the first call, and again and again.
_PEER_BYTES = {
    EndlessPeerKind.NO_HTTP2: (b"", b"", ENDLESS_MARK),
    EndlessPeerKind.SETTINGS: (_BEGIN, b"", _BEGIN),
    EndlessPeerKind.PINGS: (_BEGIN, b"", _frame(_PING, ENDLESS_MARK[:8])),
    EndlessPeerKind.HEADER_FRAMES: (
        _BEGIN,
        _frame(_HEADERS, _HEAD, stream=1),
        _frame(_CONTINUATION, _field(b"x-filler", ENDLESS_MARK), stream=1),
    ),
    EndlessPeerKind.DATA_FRAMES: (_BEGIN, _REPLY_HEAD, _frame(_DATA, ENDLESS_MARK, stream=1)),
    EndlessPeerKind.TUNNEL_FRAMES: (b"C", b"", _TUNNEL_FRAME),
}


class EndlessPeer:
    """Listens where daemons expect another one, and sends without end to those that connect.

    Attributes
    ----------
    addresses : list of str
        Addresses that it listens on, as ``IP:PORT``.
    connections, sent_bytes : int
        How many connections were accepted, or calls for `REPLIES`, and the bytes written to them.
    """

    def __init__(self, kind: EndlessPeerKind):
        self.kind = kind
        self.addresses: list[str] = []
        self.connections = 0
        self.sent_bytes = 0
        self._replies: grpc.aio.Server | None = None
        self._servers: list[asyncio.Server] = []
        self._writers: dict[asyncio.StreamWriter, asyncio.Task | None] = {}

    async def start(self, host: str, ports: Sequence[int]) -> None:
        """Listen on ports of an address; the first one is for calls."""
        if self.kind is EndlessPeerKind.REPLIES:
            options = (("grpc.max_send_message_length", -1), ("grpc.so_reuseport", 0))
            self._replies = grpc.aio.server(options=options)
            self._replies.add_generic_rpc_handlers((_AnyMethod(self._reply),))
            port = self._replies.add_insecure_port(f"{host}:{ports[0]}")
            self.addresses.append(f"{host}:{port}")
            await self._replies.start()
            return
        for port in ports:
            server = await asyncio.start_server(self._serve, host, port)
            self._servers.append(server)
            self.addresses.append("{}:{}".format(*server.sockets[0].getsockname()))

    async def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._replies is not None:
            await self._replies.stop(None)
        for server in self._servers:
            server.close()
        serving = [task for task in self._writers.values() if task is not None]
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.gather(*serving)

    async def _reply(self, call: bytes, context: grpc.aio.ServicerContext) -> AsyncIterator[bytes]:
        self.connections += 1
        while True:
            self.sent_bytes += len(_REPLY)
            yield _REPLY

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers[writer] = asyncio.current_task()
        at_once, after_call, repeated = _PEER_BYTES[self.kind]
        block = repeated * (BLOCK_BYTES // len(repeated))
        reading = asyncio.ensure_future(_discard(reader))
        try:
            writer.write(at_once)
            await asyncio.sleep(CALL_WITHIN_S if at_once else 0.0)
            writer.write(after_call)
            while not writer.is_closing():
                writer.write(block)
                self.sent_bytes += len(block)
                await writer.drain()
                await asyncio.sleep(BLOCK_INTERVAL_S)
        except OSError:
            pass  # the daemon has closed the connection
        finally:
            reading.cancel()
            writer.transport.abort()
            del self._writers[writer]


async def _discard(reader: asyncio.StreamReader) -> None:
    """Read on, so that the end of the connection is seen."""
    with suppress(OSError):
        while await reader.read(BLOCK_BYTES):
            pass


class _AnyMethod(grpc.GenericRpcHandler):
    """Handles calls of all methods with one function, on messages as bytes."""

    def __init__(self, reply):
        self._handler: grpc.RpcMethodHandler = grpc.unary_stream_rpc_method_handler(reply)

    def service(self, handler_call_details):
        return self._handler
