"""Opens connections to targets and to other daemons, never through a third one; stateless."""

import asyncio
import socket
from contextlib import suppress

__all__ = ["open_directly", "open_socket", "split_address"]

# How long sent bytes may stay unacknowledged before the kernel closes the connection. Without the
# limit, a connection hangs for minutes after a network partition. A slow target still acknowledges.
TCP_USER_TIMEOUT_MS = 3000


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an ``IP:PORT`` address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def open_socket() -> socket.socket:
    """Return a socket with the options of all connections."""
    opened = socket.socket()
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened


async def open_directly(address: str, timeout_s: float) -> socket.socket:
    """Return a connected socket.

    Raises
    ------
    OSError
        The connection was refused, or failed otherwise; `TimeoutError` if it was not accepted in
        time.
    """
    opened = open_socket()
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().sock_connect(opened, split_address(address))
    except BaseException:
        with suppress(OSError):
            opened.close()
        raise
    return opened
