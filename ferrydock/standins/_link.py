"""A TCP link that can be cut or delayed, to part halls from each other and from the platform."""

import asyncio

from ..invariants import require

__all__ = ["Link"]

_PIECE_BYTES = 65536
_CLOSED = (OSError, RuntimeError)  # uvloop raises RuntimeError on a transport that was aborted


class Link:
    """Listens on loopback and passes bytes on to one address.

    Parameters
    ----------
    host, port : str, int
        Where the other end is.

    Notes
    -----
    A cut link swallows bytes and refuses nothing, as a network does that loses every packet:
    only time-outs find out. Connections that live through the cut are dropped when it ends.
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
        """``IP:PORT`` to connect to."""
        host, port = require(self._server, "the listener").sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> "Link":
        """Begin to listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self

    def cut(self) -> None:
        """Lose everything from now on."""
        self._open.clear()

    def mend(self) -> None:
        """Pass new connections on again; those from before are dropped."""
        if not self._open.is_set():
            for writer in list(self._writers):
                writer.transport.abort()
        self._open.set()

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        require(self._server, "the listener").close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._open.wait()
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
            self._writers.add(far_writer)
            await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
        except (*_CLOSED, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while piece := await reader.read(_PIECE_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._open.wait()
                writer.write(piece)
                await writer.drain()
            writer.close()
        except _CLOSED:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
