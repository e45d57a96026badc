"""What other halls' daemons have at the targets, asked of their dispatchers."""

from collections.abc import Callable, Mapping

import orjson

from ..clock import Clock
from ..relay import PeerCalls
from ._in_flight import InFlightCounts
from ._server import RUNNING

__all__ = ["RemoteHallPoller"]

ANSWER_WITHIN_S = 0.15


class RemoteHallPoller:
    """Keeps a hall's counts informed of other halls.

    Parameters
    ----------
    addresses : callable
        Returns ``IP:PORT`` of the other halls' dispatchers, by hall.
    """

    __slots__ = ("addresses", "calls", "clock", "counts")

    def __init__(
        self, counts: InFlightCounts, addresses: Callable[[], Mapping[str, str]], clock: Clock
    ):
        self.counts = counts
        self.addresses = addresses
        self.clock = clock
        self.calls = PeerCalls()

    async def step(self) -> None:
        """Ask each once."""
        for hall, address in self.addresses().items():
            answer = await self.calls.call(address, RUNNING, b"", ANSWER_WITHIN_S)
            if answer is not None:
                self.counts.take_elsewhere(hall, orjson.loads(answer), self.clock.now_s())

    async def close(self) -> None:
        """Give up the connections."""
        await self.calls.close()
