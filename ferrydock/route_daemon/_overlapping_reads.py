"""Reads of the store that go on beside later ones.

Owns the reads under way, in memory. A read that is dropped because its answer takes long is asked
anew of a store that is slow already, and its answer is lost.
"""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["OverlappingReads"]


class OverlappingReads:
    """Begins reads, and tells whether any of them has been answered since the last one began.

    Parameters
    ----------
    read : callable
        Reads and applies the result; returns whether there was an answer. Has a time limit.
    """

    __slots__ = ("_answered", "_reads", "read")

    def __init__(self, read: Callable[[], Awaitable[bool]]):
        self.read = read
        self._reads: set[asyncio.Task[None]] = set()
        self._answered = asyncio.Event()

    @property
    def is_answered(self) -> bool:
        """Whether any read has been answered since the last one began."""
        return self._answered.is_set()

    async def begin(self, within_s: float) -> bool:
        """Begin a read; return whether any read is answered within `within_s` seconds.

        Returns earlier if the new read fails. An exception that it raises is raised here, if it
        ends in that time, and is logged by the loop otherwise.
        """
        self._answered.clear()
        read = asyncio.get_running_loop().create_task(self._read())
        self._reads.add(read)
        read.add_done_callback(self._reads.discard)
        answered = asyncio.ensure_future(self._answered.wait())
        try:
            await asyncio.wait(
                {read, answered}, timeout=within_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            answered.cancel()
        if read.done():
            read.result()
        return self.is_answered

    async def _read(self) -> None:
        if await self.read():
            self._answered.set()

    def cancel(self) -> None:
        """Cancel the reads under way."""
        for read in self._reads:
            read.cancel()
