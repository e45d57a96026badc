"""Bounds the bytes of request bodies that a daemon holds for all callers together.

Owns the number of bytes held for each connection. Relies on the caller of this module to release
them when the request of a connection has ended.
"""

import asyncio
from collections.abc import AsyncIterator, Hashable
from contextlib import asynccontextmanager

__all__ = ["BodyMemory", "BodyMemoryExceeded"]

# Share of the daemon's memory that bodies of requests may occupy.
MEMORY_SHARE = 0.2


class BodyMemoryExceeded(Exception):
    """The reading of a body was ended, because all bodies together exceed their bound."""


class BodyMemory:
    """The bytes of bodies held for each connection, and the rule by which reading is ended.

    While the bodies of all requests exceed the bound, the body whose reading began first is ended:
    an ordinary body arrives within milliseconds, so this one is the least likely to be completed.
    A body that was read completely is held until its request ends, since a retry needs it.

    Parameters
    ----------
    memory_bytes : float or None
        Memory limit of the daemon; None for no bound.

    Attributes
    ----------
    held_bytes : int
        Bytes held for all connections.

    Examples
    --------
    >>> async def read(memory, connection, size):
    ...     async with memory.reading(connection):
    ...         memory.add(connection, size)
    ...         await asyncio.sleep(0.01)
    >>> async def scenario():
    ...     memory = BodyMemory(1000.0)
    ...     reads = (read(memory, "a", 150), read(memory, "b", 100))
    ...     ends = await asyncio.gather(*reads, return_exceptions=True)
    ...     return [type(end).__name__ for end in ends], memory.held_bytes
    >>> asyncio.run(scenario())
    (['BodyMemoryExceeded', 'NoneType'], 100)
    """

    __slots__ = ("_bytes", "_reading", "held_bytes", "limit_bytes")

    def __init__(self, memory_bytes: float | None):
        self.limit_bytes = float("inf") if memory_bytes is None else MEMORY_SHARE * memory_bytes
        self.held_bytes = 0
        self._bytes: dict[Hashable, int] = {}
        self._reading: dict[Hashable, asyncio.Timeout] = {}

    @asynccontextmanager
    async def reading(self, connection: Hashable) -> AsyncIterator[None]:
        """Run the body of an ``async with`` statement, in which a request's body is read.

        Raises
        ------
        BodyMemoryExceeded
            If the reading was ended.
        """
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._reading[connection] = limit
                yield
            if limit.when() is not None:  # ended by its own last bytes
                raise BodyMemoryExceeded
        except TimeoutError:
            if limit.expired():
                raise BodyMemoryExceeded from None
            raise
        finally:
            self._reading.pop(connection, None)

    def add(self, connection: Hashable, size: int) -> None:
        """Count bytes that were read, and end the reading of bodies if all are too many."""
        if connection not in self._reading:
            return
        self._bytes[connection] = self._bytes.get(connection, 0) + size
        self.held_bytes += size
        while self.held_bytes > self.limit_bytes and self._reading:
            first = next(iter(self._reading))
            self._reading.pop(first).reschedule(asyncio.get_running_loop().time())
            self.release(first)

    def release(self, connection: Hashable) -> None:
        """Stop counting the body of a connection's request."""
        self.held_bytes -= self._bytes.pop(connection, 0)
