"""TCP proxy that can drop or delay traffic, to cut halls off from each other and the platform."""

import asyncio

from ..invariants import require

__all__ = ["Link"]

_CHUNK_BYTES = 65536
# uvloop raises RuntimeError on a transport that was aborted.
_CONNECTION_CLOSED = (OSError, RuntimeError)


class Link:
    """Listens on loopback and forwards bytes to and from one address.

    Parameters
    ----------
    host, port : str, int
        Address to which connections are forwarded.

    Notes
    -----
    A cut link accepts connections and forwards nothing, like a network that loses every packet:
    clients notice only by time-outs. Connections that are open when the cut ends are aborted.
    """

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.delay_s = 0.0
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """``IP:PORT`` at which the link listens."""
        host, port = require(self._server, "the listener").sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> "Link":
        """Begin to listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    def cut(self) -> None:
        """Stop forwarding; connections stay open."""
        self._open.clear()

    def mend(self) -> None:
        """End a cut: abort the open connections and forward new ones."""
        if not self._open.is_set():
            for writer in list(self._writers):
                writer.transport.abort()
        self._open.set()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        require(self._server, "the listener").close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._open.wait()
            remote_reader, remote_writer = await asyncio.open_connection(self.host, self.port)
            self._writers.add(remote_writer)
            await asyncio.gather(
                self._forward(reader, remote_writer), self._forward(remote_reader, writer)
            )
        except (*_CONNECTION_CLOSED, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._open.wait()
                writer.write(chunk)
                await writer.drain()
            writer.close()
        except _CONNECTION_CLOSED:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
