"""Which halls this daemon controls: leases taken, kept and given up."""

import asyncio
import logging
import random
from collections.abc import Callable

from ..clock import Clock
from ..groups import GroupController
from ..hall import ControllerLease, HeldLease, controller_key
from ..logs import log_event
from ..outcomes import Conflict, Unavailable, Unknown
from ..store import LeaseGranted, LeaseLost, RangeDone, Store

__all__ = ["ControllerSeat"]

_LOG = logging.getLogger("ferrydock.entry")
LEASE_S = 1.8
KEEP_EACH_S = 0.5
ROUND_S = 0.1
OWN_HALL_JITTER_S = 0.25
OTHER_HALL_WAIT_S = 6.0
OTHER_HALL_JITTER_S = 2.0
LOOK_AGAIN_S = 10.0
BROKEN_WATCH_S = 0.5


class ControllerSeat:
    """Takes the lease of one hall whenever it is free, and drives the hall's controller with it.

    Parameters
    ----------
    controller : GroupController
        Acts while the lease is held.
    own_hall : bool
        Whether this daemon stands in that hall; others wait longer.
    is_leaving : callable
        Whether this daemon is about to stop.
    """

    __slots__ = ("clock", "controller", "is_leaving", "lease", "own_hall", "rng", "store")

    def __init__(
        self,
        controller: GroupController,
        own_hall: bool,
        store: Store,
        clock: Clock,
        rng: random.Random,
        is_leaving: Callable[[], bool],
    ):
        self.controller = controller
        self.lease: ControllerLease = controller.lease
        self.own_hall = own_hall
        self.store = store
        self.clock = clock
        self.rng = rng
        self.is_leaving = is_leaving

    async def run(self) -> None:
        """Wait for the lease, act, and begin anew when it is lost."""
        key = controller_key(self.controller.hall)
        while True:
            await self._wait_until_free(key)
            if self.is_leaving():
                return
            taken = await self.lease.acquire(LEASE_S)
            if isinstance(taken, HeldLease):
                log_event(
                    _LOG,
                    logging.INFO,
                    "controller_began",
                    hall=self.controller.hall,
                    term=taken.term,
                )
                await self._act()
            elif not isinstance(taken, Conflict):
                await asyncio.sleep(self.rng.uniform(0.3, 0.9))

    async def _wait_until_free(self, key: str) -> None:
        """Return once nobody holds the lease and it is this daemon's turn."""
        while True:
            found = await self.store.range(key)
            if isinstance(found, Unavailable | Unknown):
                await asyncio.sleep(self.rng.uniform(0.7, 1.5))
                continue
            if not found.items:
                await asyncio.sleep(self._turn_s())
                if self.own_hall:
                    return
                again = await self.store.range(key)
                if isinstance(again, RangeDone) and not again.items:
                    return
                continue
            await self._wait_for_change(key, found.revision)

    def _turn_s(self) -> float:
        if self.own_hall:
            return self.rng.uniform(0, OWN_HALL_JITTER_S)
        return OTHER_HALL_WAIT_S + self.rng.uniform(0, OTHER_HALL_JITTER_S)

    async def _wait_for_change(self, key: str, revision: int) -> None:
        try:
            async with asyncio.timeout(LOOK_AGAIN_S):
                async for batch in self.store.watch(key, revision + 1):
                    if any(value is None for _, value in batch.changes):
                        return
        except TimeoutError:
            return
        await asyncio.sleep(BROKEN_WATCH_S)

    async def _act(self) -> None:
        """Drive the controller while the lease holds."""
        kept_s = self.clock.now_s()
        keeping: asyncio.Task | None = None
        try:
            while self.lease.valid and not self.is_leaving():
                now_s = self.clock.now_s()
                if keeping is None and now_s - kept_s >= KEEP_EACH_S:
                    kept_s = now_s
                    keeping = asyncio.ensure_future(self.lease.keep())
                if keeping is not None and keeping.done():
                    kept = keeping.result()
                    keeping = None
                    if isinstance(kept, LeaseLost):
                        break
                    if not isinstance(kept, LeaseGranted | HeldLease):
                        kept_s = now_s - KEEP_EACH_S / 2
                await self.controller.step()
                await asyncio.sleep(ROUND_S * self.rng.uniform(0.85, 1.15))
        finally:
            if keeping is not None:
                keeping.cancel()
            self.controller.stand_down()
            log_event(_LOG, logging.INFO, "controller_ended", hall=self.controller.hall)
        if self.lease.valid:
            await self.lease.give_back()
