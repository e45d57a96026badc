"""A daemon's side of the hall scheduler: asking it for slots, reporting what is in flight.

Owns the connection to the scheduler and the grants received in the last 0.6 s. Relies on the hall
leadership for the scheduler's address; without an answer the daemon decides alone.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace

from ..backpressure import RateLimits
from ..clock import Clock
from ..logs import log_event
from ..relay import PeerCalls
from ._messages import SlotReply, SlotRequest, decode_reply, encode
from ._scheduler import HallScheduler
from ._server import PLACE

__all__ = ["SchedulerClient"]

_LOG = logging.getLogger("ferrydock.scheduling")

# How long a reply may take, beyond the time that the request may wait in the scheduler's queue. A
# request that gets no reply is decided here, late by this much, and so are all of this daemon's
# for `SKIP_AFTER_TIMEOUT_S`, by its own counts alone. Half of the shortest objective for a first
# answer (0.3 s).
REPLY_TIMEOUT_S = 0.15

# How long a scheduler that did not reply is not asked again.
SKIP_AFTER_TIMEOUT_S = 0.5

# Ends of requests, and limits heard, within this time are reported in one message.
REPORT_DELAY_S = 0.02

# How long a received grant is repeated in messages: longer than the scheduler counts a grant that
# was not confirmed (`_in_flight.UNCONFIRMED_GRANT_S`), so that none is counted twice.
REPEAT_GRANTS_S = 0.6


class SchedulerClient:
    """Reaches the hall scheduler, which may run in this daemon.

    Parameters
    ----------
    name : str
        Of this daemon.
    scheduler : HallScheduler
        This daemon's own, used while it leads the hall.
    address : callable
        Returns ``IP:PORT`` of the hall leader; empty if it is not known.
    own_address : str
        ``IP:PORT`` of this daemon.
    running : callable
        Returns this daemon's requests in flight, by target id.
    """

    __slots__ = (
        "_grants",
        "_report",
        "_timed_out_s",
        "address",
        "calls",
        "clock",
        "name",
        "own_address",
        "running",
        "scheduler",
    )

    def __init__(
        self,
        name: str,
        scheduler: HallScheduler,
        address: Callable[[], str],
        own_address: str,
        running: Callable[[], Mapping[str, int]],
        clock: Clock,
    ):
        self.name = name
        self.scheduler = scheduler
        self.address = address
        self.own_address = own_address
        self.running = running
        self.clock = clock
        self.calls = PeerCalls()
        self._timed_out_s = -SKIP_AFTER_TIMEOUT_S
        self._grants: deque[tuple[float, int]] = deque()
        self._report: asyncio.Task | None = None

    async def ask(self, request: SlotRequest) -> SlotReply | None:
        """Return the scheduler's reply, or None if the scheduler cannot be reached.

        The sender's part of `request` (name, requests in flight, grants) is filled in here.
        """
        asked_s = self.clock.now_s()
        filled = replace(
            request,
            sender=self.name,
            running=self.running(),
            seen=self._recent_grants(),
            limits=self._limits.reports(asked_s),
        )
        address = self.address()
        if address == self.own_address:
            reply = await self.scheduler.acquire(filled)
        elif not address or self._is_skipped():
            return None
        else:
            timeout_s = request.hold_s + REPLY_TIMEOUT_S
            data = await self.calls.call(address, PLACE, encode(filled), timeout_s)
            if data is None:
                self._skip(address)
                return None
            reply = decode_reply(data)
            self._limits.merge(reply.limits, asked_s)
        if reply.target_id:
            self._grants.append((self.clock.now_s(), reply.grant))
        return reply

    def _recent_grants(self) -> tuple[int, ...]:
        """Return the grants that the scheduler may not yet know to have arrived."""
        now_s = self.clock.now_s()
        while self._grants and now_s - self._grants[0][0] > REPEAT_GRANTS_S:
            self._grants.popleft()
        return tuple(number for _, number in self._grants)

    def _is_skipped(self) -> bool:
        return self.clock.now_s() - self._timed_out_s < SKIP_AFTER_TIMEOUT_S

    def _skip(self, address: str) -> None:
        self._timed_out_s = self.clock.now_s()
        log_event(_LOG, logging.WARNING, "dispatcher_lost", address=address)

    @property
    def _limits(self) -> RateLimits:
        return self.scheduler.catalog.limits

    def report_soon(self) -> None:
        """Report soon what has changed; changes that follow at once share the message."""
        if self._report is None or self._report.done():
            self._report = asyncio.get_running_loop().create_task(self._report_soon())

    async def _report_soon(self) -> None:
        await asyncio.sleep(REPORT_DELAY_S)
        report = SlotRequest(
            self.name,
            self.running(),
            self._recent_grants(),
            limits=self._limits.reports(self.clock.now_s()),
        )
        address = self.address()
        if address == self.own_address:
            self.scheduler.receive_counts(report)
        elif address and not self._is_skipped():
            data = await self.calls.call(address, PLACE, encode(report), REPLY_TIMEOUT_S)
            if data is None:
                self._skip(address)

    async def close(self) -> None:
        """Close the connection."""
        if self._report is not None:
            self._report.cancel()
        await self.calls.close()
