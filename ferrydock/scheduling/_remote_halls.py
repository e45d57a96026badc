"""Polling the schedulers of other halls for what their daemons have in flight.

Owns the connections to them. A hall that does not answer keeps its last counts for a while
(`_in_flight.REMOTE_REPORT_S`).
"""

from collections.abc import Callable, Mapping

import orjson

from ..clock import Clock
from ..relay import PeerCalls
from ._in_flight import InFlightCounts
from ._server import RUNNING

__all__ = ["RemoteHallPoller"]

# How long another hall's scheduler may take to answer: no longer than the pause between two polls
# (`route_daemon._daemon.POLL_REMOTE_HALLS_EVERY_S`). Chosen, not measured.
REPLY_TIMEOUT_S = 0.15


class RemoteHallPoller:
    """Keeps the in-flight counts informed of other halls.

    Parameters
    ----------
    counts : InFlightCounts
        Receives what the other halls report.
    addresses : callable
        Returns ``IP:PORT`` of the other halls' leaders, by hall.
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
        """Ask each known scheduler once."""
        for hall, address in self.addresses().items():
            data = await self.calls.call(address, RUNNING, b"", REPLY_TIMEOUT_S)
            if data is not None:
                self.counts.receive_remote(hall, orjson.loads(data), self.clock.now_s())

    async def close(self) -> None:
        """Close the connections."""
        await self.calls.close()
