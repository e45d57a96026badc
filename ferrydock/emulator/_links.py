"""Links between one daemon and the emulated workers, which can be lost in several ways.

A link is a port of an address that only this daemon connects to (`linked_daemon`); its connections
are forwarded to the same port of the workers' address. Owns these ports and connections, and the
times at which the links were lost.
"""

import asyncio
import socket
import struct
from contextlib import suppress
from enum import StrEnum

__all__ = ["DaemonLinks", "LinkFailure"]

READ_BYTES = 16384
BACKLOG = 100

# Connections that fill the queue of a port on which new connections are to hang.
FILLING_CONNECTIONS = 2

# Value of SO_LINGER that makes a close reset the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFailure(StrEnum):
    """What happens to a daemon's connections to the workers while its links are lost.

    ``HANG``: open connections go silent, new ones hang. ``RESET``: open ones are reset, new ones
    refused. ``RESET_HANG``: open ones are reset, new ones hang. ``LIVE_ON``: open ones go on, new
    ones are refused. ``LIVE_ON_HANG``: open ones go on, new ones hang.
    """

    HANG = "hang"
    RESET = "reset"
    RESET_HANG = "reset_hang"
    LIVE_ON = "live_on"
    LIVE_ON_HANG = "live_on_hang"


_NEW_HANG = (LinkFailure.HANG, LinkFailure.RESET_HANG, LinkFailure.LIVE_ON_HANG)
_OPEN_RESET = (LinkFailure.RESET, LinkFailure.RESET_HANG)


class DaemonLinks:
    """The links of one daemon.

    Parameters
    ----------
    workers : str
        IP address of the workers.
    address : str
        IP address of the links.

    Attributes
    ----------
    cuts_s : list of (float, float)
        Loop times from and to which the links were lost; infinity while they still are.
    """

    def __init__(self, workers: str, address: str):
        self.workers = workers
        self.address = address
        self.cuts_s: list[tuple[float, float]] = []
        self._failure: LinkFailure | None = None
        self._open_ports: set[int] = set()
        self._servers: dict[int, tuple[socket.socket, asyncio.Task[asyncio.Server]]] = {}
        self._full: dict[int, list[socket.socket]] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._flows = asyncio.Event()
        self._flows.set()

    @property
    def is_lost(self) -> bool:
        """Whether the links are lost now."""
        return self._failure is not None

    def set_port(self, port: int, is_open: bool) -> None:
        """Follow a worker's port, which has been opened or closed."""
        if is_open:
            self._open_ports.add(port)
        else:
            self._open_ports.discard(port)
        self._update_port(port)

    def lose(self, failure: LinkFailure) -> None:
        """Lose all links in the given way; a second failure replaces the first."""
        now_s = asyncio.get_running_loop().time()
        if self._failure is None:
            self.cuts_s.append((now_s, float("inf")))
        self._failure = failure
        if failure is LinkFailure.HANG:
            self._flows.clear()
        elif failure in _OPEN_RESET:
            for writer in list(self._writers):
                _reset(writer)
        for port in list(self._open_ports):
            self._update_port(port)

    def restore(self) -> None:
        """Let all links work again; silent connections go on where they stood."""
        if self._failure is None:
            return
        self._failure = None
        self.cuts_s[-1] = (self.cuts_s[-1][0], asyncio.get_running_loop().time())
        self._flows.set()
        for port in list(self._open_ports):
            self._update_port(port)

    async def close(self) -> None:
        """Close all ports and connections."""
        self._open_ports.clear()
        for port in [*self._servers, *self._full]:
            self._update_port(port)
        self._flows.set()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Ports ----------------------------------------------------------------------------------------

    def _update_port(self, port: int) -> None:
        """Make a port accept, refuse or hang, as the worker's port and the failure require."""
        is_open = port in self._open_ports
        accepts = is_open and self._failure is None
        hangs = is_open and self._failure in _NEW_HANG
        if not accepts and port in self._servers:
            _close_server(*self._servers.pop(port))
        if not hangs:
            for opened in self._full.pop(port, ()):
                opened.close()
        if accepts and port not in self._servers:
            opened = self._listen(port)
            server = asyncio.start_server(
                lambda reader, writer: self._serve(port, reader, writer), sock=opened
            )
            self._servers[port] = opened, asyncio.ensure_future(server)
        elif hangs and port not in self._full:
            self._full[port] = self._listen_with_full_queue(port)

    def _listen(self, port: int, backlog: int = BACKLOG) -> socket.socket:
        opened = socket.socket()
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((self.address, port))
        opened.listen(backlog)
        return opened

    def _listen_with_full_queue(self, port: int) -> list[socket.socket]:
        """Return a listening socket on which new connections hang, and those that fill its queue.

        The system drops the opening packet of a connection for which the queue has no room.
        """
        opened = [self._listen(port, 0)]
        for _ in range(FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex((self.address, port))
            opened.append(filling)
        return opened

    # Connections ----------------------------------------------------------------------------------

    async def _serve(
        self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a daemon's connection to a worker."""
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._failure in _NEW_HANG:  # accepted from the queue of a port that was just closed
            await self._flows.wait()
        if self._failure is not None:
            return _reset(writer)
        try:
            to_worker = await asyncio.open_connection(self.workers, port)
        except OSError:
            return _reset(writer)
        pair = {writer, to_worker[1]}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, to_worker[1]), self._forward(to_worker[0], writer)
            )
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one direction until its end; a reset is passed on as a reset."""
        with suppress(OSError, RuntimeError):  # the other end has been closed meanwhile
            try:
                while data := await reader.read(READ_BYTES):
                    await self._flows.wait()
                    writer.write(data)
                    await writer.drain()
            except ConnectionError:
                _reset(writer)
                return
            await self._flows.wait()
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    with suppress(OSError):
        opened = writer.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


def _close_server(opened: socket.socket, starting: asyncio.Task[asyncio.Server]) -> None:
    """Close a port at once, so that it can be opened again; the server may not have started yet."""
    if starting.done():
        starting.result().close()
    else:
        starting.cancel()
        opened.close()
