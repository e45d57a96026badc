"""Polling the schedulers of other halls for what their daemons have in flight.

Owns the connections to them. Exchanges requests that crash their targets, and limits of targets,
along with it. Asks for
the demand of their halls as well, less often. A hall that does not answer keeps its last counts for
a while (`_in_flight.REMOTE_REPORT_S`).
"""

import logging
from collections.abc import Callable, Mapping

import orjson

from ..backpressure import RateLimits
from ..clock import Clock
from ..crashes import CrashExchange
from ..logs import log_event
from ..relay import PeerCalls
from ._demand import DemandMeter
from ._in_flight import InFlightCounts
from ._messages import HallNews, decode_hall, encode_question
from ._server import DEMAND, RUNNING

__all__ = ["RemoteHallPoller"]

_LOG = logging.getLogger("ferrydock.scheduling")

# How long another hall's scheduler may take to answer: no longer than the pause between two polls
# (`route_daemon._daemon.POLL_REMOTE_HALLS_EVERY_S`).
REPLY_TIMEOUT_S = 0.15

# Pause between two questions for the demand of another hall: it fades over 5 s.
DEMAND_EVERY_S = 1.0


class RemoteHallPoller:
    """Keeps the in-flight counts informed of other halls.

    Parameters
    ----------
    counts : InFlightCounts
        Receives what the other halls report.
    demand : DemandMeter
        Receives the demand that they report.
    addresses : callable
        Returns ``IP:PORT`` of the other halls' leaders, by hall.
    crashes : CrashExchange
        Requests that crash their targets.
    limits : RateLimits
        Limits of targets.
    """

    __slots__ = (
        "_demand_asked_s",
        "addresses",
        "calls",
        "clock",
        "counts",
        "crashes",
        "demand",
        "limits",
    )

    def __init__(
        self,
        counts: InFlightCounts,
        demand: DemandMeter,
        addresses: Callable[[], Mapping[str, str]],
        clock: Clock,
        crashes: CrashExchange,
        limits: RateLimits,
    ):
        self.counts = counts
        self.limits = limits
        self.demand = demand
        self._demand_asked_s = -DEMAND_EVERY_S
        self.addresses = addresses
        self.clock = clock
        self.crashes = crashes
        self.calls = PeerCalls()

    async def step(self) -> None:
        """Ask each known scheduler once, and for its demand if that is due."""
        is_due = self.clock.now_s() - self._demand_asked_s >= DEMAND_EVERY_S
        if is_due:
            self._demand_asked_s = self.clock.now_s()
        for hall, address in self.addresses().items():
            is_answered = await self._ask_running(hall, address)
            if is_due and is_answered:
                await self._ask_demand(hall, address)

    async def _ask_running(self, hall: str, address: str) -> bool:
        """Ask one scheduler, and tell it what it lacks; return whether it answered."""
        asked_s = self.clock.now_s()
        crashes = self.crashes.question(address)
        question = encode_question(HallNews(crashes=crashes, limits=self.limits.reports(asked_s)))
        data = await self.calls.call(address, RUNNING, question, REPLY_TIMEOUT_S)
        if data is None:
            return False
        try:
            answer = decode_hall(data)
        except (ValueError, TypeError, KeyError) as error:
            log_event(_LOG, logging.ERROR, "hall_unreadable", address=address, why=repr(error))
            return False
        self.counts.receive_remote(hall, answer.running, self.clock.now_s())
        self.crashes.take_answer(address, crashes, answer.crashes)
        self.limits.merge(answer.limits, asked_s)
        return True

    async def _ask_demand(self, hall: str, address: str) -> None:
        data = await self.calls.call(address, DEMAND, b"", REPLY_TIMEOUT_S)
        if data is not None:
            self.demand.receive_remote(hall, orjson.loads(data), self.clock.now_s())

    async def close(self) -> None:
        """Close the connections."""
        await self.calls.close()
