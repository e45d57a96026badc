"""What the operating system has received that the event loop has not read yet; stateless.

An event loop that stood still runs timers and other callbacks before it reads its sockets (uvloop
always does). To these a connection seems idle although its caller has sent a complete request.
"""

import array
import asyncio
import fcntl
import select
import termios

__all__ = ["count_left_bytes", "count_unread_bytes", "has_waiting_connection"]


def count_unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the number of bytes that wait to be read from a connection; 0 if it is closing.

    Examples
    --------
    >>> async def scenario():
    ...     ours, theirs = socket.socketpair()
    ...     transport, _ = await asyncio.get_running_loop().create_connection(
    ...         asyncio.Protocol, sock=ours
    ...     )
    ...     _ = theirs.send(b"four")
    ...     unread_bytes = count_unread_bytes(transport)
    ...     transport.close()
    ...     theirs.close()
    ...     return unread_bytes
    >>> import socket
    >>> asyncio.run(scenario())
    4
    """
    return 0 if transport.is_closing() else count_left_bytes(transport)


def count_left_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the number of bytes that are never read; to be called when the connection is lost.

    Both event loops close the socket after they have reported that the connection is lost.
    """
    count = array.array("i", [0])
    fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, count)
    return count[0]


def has_waiting_connection(server: asyncio.Server) -> bool:
    """Return whether a connection waits to be accepted by a listening server."""
    poll = select.poll()
    for listening in server.sockets:
        poll.register(listening.fileno(), select.POLLIN)
    return bool(poll.poll(0))
