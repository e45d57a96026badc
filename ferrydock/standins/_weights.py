"""Stand-in of the weight store: readers share one rate, first come, first served."""

import asyncio

from aiohttp import web

from ..clock import Clock

__all__ = ["StandInWeightStore"]


class StandInWeightStore:
    """Hands out bytes at a bounded rate.

    Parameters
    ----------
    clock : Clock
        Measures the time that a read takes.
    rate_bytes_per_s : float
        Over all readers.
    """

    __slots__ = ("_free_at_s", "clock", "rate_bytes_per_s", "read_bytes")

    def __init__(self, clock: Clock, rate_bytes_per_s: float):
        self.clock = clock
        self.rate_bytes_per_s = rate_bytes_per_s
        self.read_bytes = 0
        self._free_at_s = 0.0

    async def read(self, size_bytes: int) -> None:
        """Wait as long as reading `size_bytes` takes behind those who asked before."""
        now_s = self.clock.now_s()
        self.read_bytes += size_bytes
        self._free_at_s = max(now_s, self._free_at_s) + size_bytes / self.rate_bytes_per_s
        await asyncio.sleep(self._free_at_s - now_s)

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [web.get("/rate", self._get_rate)]

    async def _get_rate(self, request: web.Request) -> web.Response:
        return web.json_response({"rate_bytes_per_s": self.rate_bytes_per_s})
