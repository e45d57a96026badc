"""Polls the schedulers of other halls for their daemons' requests in flight.

Owns the connections to them. Each poll also exchanges known requests that crash their targets, rate
limits of targets, evacuated halls, and the use of slots by teams. The demand of each hall is polled
as well, less often. The last counts of a hall that does not reply stay valid for
`_in_flight.REMOTE_REPORT_VALID_S`.
"""

import logging
from collections.abc import Callable, Mapping

from ..backpressure import RateLimits
from ..clock import Clock
from ..crashes import CrashExchange
from ..evacuation import EvacuatedHalls
from ..logs import log_event
from ..relay import PeerCalls
from ..teams import TeamShares
from ._demand import DemandMeter, receive_report
from ._in_flight import InFlightCounts
from ._messages import HallUpdate, decode_hall_reply, encode_hall_request
from ._server import DEMAND, REPLY_TIMEOUT_S, RUNNING

__all__ = ["RemoteHallPoller"]

_LOG = logging.getLogger("ferrydock.scheduling")

# Shortest interval between two polls of another hall's demand. Demand fades over 5 s
# (`_demand.ARRIVAL_FADE_S`), so it need not be polled with the counts.
DEMAND_POLL_S = 1.0


class RemoteHallPoller:
    """Updates this hall's counts, demand, crashes and limits with those of the other halls.

    Parameters
    ----------
    counts : InFlightCounts
        Receives the requests in flight that the other halls report.
    demand : DemandMeter
        Receives the demand that the other halls report.
    addresses : callable
        Returns ``IP:PORT`` of the other halls' leaders, by hall.
    crashes : CrashExchange
        Known requests that crash their targets; sent to the other halls and updated by them.
    limits : RateLimits
        Known rate limits of targets; sent to the other halls and updated by them.
    evacuated : EvacuatedHalls, optional
        Known evacuated halls; sent to the other halls and updated by them. By default none.
    shares : TeamShares, optional
        Receives the slots that the other halls granted to teams.
    """

    __slots__ = (
        "_demand_polled_s",
        "addresses",
        "calls",
        "clock",
        "counts",
        "crashes",
        "demand",
        "evacuated",
        "limits",
        "shares",
    )

    def __init__(
        self,
        counts: InFlightCounts,
        demand: DemandMeter,
        addresses: Callable[[], Mapping[str, str]],
        clock: Clock,
        crashes: CrashExchange,
        limits: RateLimits,
        evacuated: EvacuatedHalls | None = None,
        shares: TeamShares | None = None,
    ):
        self.evacuated = evacuated or EvacuatedHalls((), None, clock)
        self.shares = shares
        self.counts = counts
        self.limits = limits
        self.demand = demand
        self._demand_polled_s = -DEMAND_POLL_S
        self.addresses = addresses
        self.clock = clock
        self.crashes = crashes
        self.calls = PeerCalls()

    async def step(self) -> None:
        """Poll each known scheduler once, and its hall's demand if `DEMAND_POLL_S` has passed."""
        is_demand_due = self.clock.now_s() - self._demand_polled_s >= DEMAND_POLL_S
        if is_demand_due:
            self._demand_polled_s = self.clock.now_s()
        for hall, address in self.addresses().items():
            has_replied = await self._poll_running(hall, address)
            if is_demand_due and has_replied:
                await self._poll_demand(hall, address)

    async def _poll_running(self, hall: str, address: str) -> bool:
        """Exchange counts, crashes and limits with one scheduler; return whether it replied."""
        sent_s = self.clock.now_s()
        crashes = self.crashes.request_update(address)
        request = encode_hall_request(
            HallUpdate(
                crashes=crashes,
                limits=self.limits.reports(sent_s),
                evacuated=self.evacuated.report(),
            )
        )
        data = await self.calls.call(address, RUNNING, request, REPLY_TIMEOUT_S)
        if data is None:
            return False
        try:
            reply = decode_hall_reply(data)
        except (ValueError, TypeError, KeyError) as error:
            log_event(_LOG, logging.ERROR, "hall_unreadable", address=address, why=repr(error))
            return False
        self.counts.receive_remote(hall, reply.running, self.clock.now_s())
        self.crashes.merge_reply(address, crashes, reply.crashes)
        self.limits.merge(reply.limits, sent_s)
        self.evacuated.merge(reply.evacuated, sent_s)
        if self.shares is not None:
            self.shares.receive_remote(hall, reply.teams)
        return True

    async def _poll_demand(self, hall: str, address: str) -> None:
        data = await self.calls.call(address, DEMAND, b"", REPLY_TIMEOUT_S)
        if data is None:
            return
        try:
            receive_report(self.demand, hall, data, self.clock.now_s())
        except ValueError as error:
            log_event(_LOG, logging.ERROR, "demand_unreadable", address=address, why=repr(error))

    async def close(self) -> None:
        """Close the connections."""
        await self.calls.close()
