"""Asking the hall's scheduler for endpoints, and telling it what runs."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace

from ..clock import Clock
from ..logs import log_event
from ..relay import PeerCalls
from ._messages import SlotReply, SlotRequest, decode_placed, encode
from ._scheduler import HallScheduler
from ._server import PLACE

__all__ = ["SchedulerClient"]

_LOG = logging.getLogger("ferrydock.scheduling")
ANSWER_WITHIN_S = 0.06
PASSED_OVER_S = 0.5
TELL_AFTER_S = 0.02
SEEN_TOLD_S = 0.6


class SchedulerClient:
    """Reaches the scheduler, which may be this daemon's own.

    Parameters
    ----------
    name : str
        Of this daemon.
    scheduler : HallScheduler
        This daemon's own.
    address : callable
        Returns ``IP:PORT`` of the hall's scheduler; empty if it is not known.
    own_address : str
        This daemon's.
    running : callable
        Returns this daemon's requests that run, by target.
    """

    __slots__ = (
        "_passed_over_s",
        "_seen",
        "_tell",
        "address",
        "calls",
        "clock",
        "scheduler",
        "name",
        "own_address",
        "running",
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
        self._passed_over_s = -PASSED_OVER_S
        self._seen: deque[tuple[float, int]] = deque()
        self._tell: asyncio.Task | None = None

    async def ask(self, request: SlotRequest) -> SlotReply | None:
        """Return the scheduler's answer; None if none can be had."""
        told = replace(request, sender=self.name, running=self.running(), seen=self._seen_lately())
        address = self.address()
        if address == self.own_address:
            placed = await self.scheduler.place(told)
        elif not address or self._is_passed_over():
            return None
        else:
            within_s = request.hold_s + ANSWER_WITHIN_S
            answer = await self.calls.call(address, PLACE, encode(told), within_s)
            if answer is None:
                self._pass_over(address)
                return None
            placed = decode_placed(answer)
        if placed.target_id:
            self._seen.append((self.clock.now_s(), placed.grant))
        return placed

    def _seen_lately(self) -> tuple[int, ...]:
        """Return the numbers of grants that a message may not yet have told of."""
        now_s = self.clock.now_s()
        while self._seen and now_s - self._seen[0][0] > SEEN_TOLD_S:
            self._seen.popleft()
        return tuple(number for _, number in self._seen)

    def _is_passed_over(self) -> bool:
        return self.clock.now_s() - self._passed_over_s < PASSED_OVER_S

    def _pass_over(self, address: str) -> None:
        self._passed_over_s = self.clock.now_s()
        log_event(_LOG, logging.WARNING, "dispatcher_lost", address=address)

    def note_end(self) -> None:
        """Tell the scheduler soon that something ended."""
        if self._tell is None or self._tell.done():
            self._tell = asyncio.get_running_loop().create_task(self._tell_soon())

    async def _tell_soon(self) -> None:
        await asyncio.sleep(TELL_AFTER_S)
        request = SlotRequest(self.name, self.running(), self._seen_lately())
        address = self.address()
        if address == self.own_address:
            self.scheduler.heard(request)
        elif address and not self._is_passed_over():
            answer = await self.calls.call(address, PLACE, encode(request), ANSWER_WITHIN_S)
            if answer is None:
                self._pass_over(address)

    async def close(self) -> None:
        """Give up the connections."""
        if self._tell is not None:
            self._tell.cancel()
        await self.calls.close()
