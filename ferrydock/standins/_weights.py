"""Stand-in of the weight store: readers share one rate and are served in order of arrival."""

import asyncio

from aiohttp import web

from ..clock import Clock

__all__ = ["StandInWeightStore"]


class StandInWeightStore:
    """Simulates reads of weights at a limited rate.

    Parameters
    ----------
    clock : Clock
        Clock against which waiting times are computed.
    rate_bytes_per_s : float
        Rate over all readers.
    """

    __slots__ = ("_free_at_s", "clock", "rate_bytes_per_s", "bytes_read")

    def __init__(self, clock: Clock, rate_bytes_per_s: float):
        self.clock = clock
        self.rate_bytes_per_s = rate_bytes_per_s
        self.bytes_read = 0
        self._free_at_s = 0.0

    async def read(self, size_bytes: int) -> None:
        """Wait until `size_bytes` are read, after all reads that began earlier."""
        now_s = self.clock.now_s()
        self.bytes_read += size_bytes
        self._free_at_s = max(now_s, self._free_at_s) + size_bytes / self.rate_bytes_per_s
        await asyncio.sleep(self._free_at_s - now_s)

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [web.get("/rate", self._get_rate)]

    async def _get_rate(self, request: web.Request) -> web.Response:
        return web.json_response({"rate_bytes_per_s": self.rate_bytes_per_s})
