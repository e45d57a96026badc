"""Which halls this daemon controls: leases taken, kept and given up; whom it follows else."""

import asyncio
import logging
import random
from collections.abc import Callable

from ..clock import Clock
from ..hall import ControllerLease, HeldLease, controller_address, controller_key
from ..logs import log_event
from ..outcomes import Conflict, Unavailable
from ..relay import RelayClient
from ..replicas import ReplicaController
from ..store import LeaseGranted, LeaseLost, RangeDone, Store

__all__ = ["HallLeadership", "RemoteHallLeadership", "OwnHallLeadership"]

_LOG = logging.getLogger("ferrydock.route_daemon")
LEASE_S = 1.8
KEEP_EACH_S = 0.5
ROUND_S = 0.1
OWN_HALL_JITTER_S = 0.4
OTHER_HALL_WAIT_S = 6.0
OTHER_HALL_JITTER_S = 2.0
LOOK_AGAIN_S = 15.0
BROKEN_WATCH_S = 0.5
RELAY_COUNTS_S = 0.8
BROKEN_PAUSE_S = 0.15
PULLS_TO_BREAK = 2
LOOK_FOR_SEAT_S = 0.6
MOST_LOOKS_LEFT_OUT = 4


class HallLeadership:
    """The lease of one hall, and the hall's controller that acts under it.

    Parameters
    ----------
    controller : ReplicaController
        Acts while the lease is held.
    is_leaving : callable
        Whether this daemon is about to stop.

    Attributes
    ----------
    leader_address : str
        ``IP:PORT`` of whoever was last known to hold the lease; empty at first.
    """

    def __init__(
        self,
        controller: ReplicaController,
        store: Store,
        clock: Clock,
        rng: random.Random,
        is_leaving: Callable[[], bool],
    ):
        self.controller = controller
        self.lease: ControllerLease = controller.lease
        self.key = controller_key(controller.hall)
        self.store = store
        self.clock = clock
        self.rng = rng
        self.is_leaving = is_leaving
        self.leader_address = ""

    @property
    def is_leader(self) -> bool:
        """Whether this daemon was the last one known to hold the lease."""
        return self.leader_address == self.lease.address

    async def _acquire_and_act(self) -> bool:
        """Try for the lease, and act under it; return whether it was held."""
        taken = await self.lease.acquire(LEASE_S)
        if isinstance(taken, HeldLease):
            self.leader_address = self.lease.address
            log_event(
                _LOG, logging.INFO, "controller_began", hall=self.controller.hall, term=taken.term
            )
            await self._act()
            return True
        if not isinstance(taken, Conflict):
            await asyncio.sleep(self.rng.uniform(0.3, 0.9))
        return False

    async def _wait_for_end(self, revision: int, longest_s: float) -> None:
        """Wait until the holder's key goes, or the watch breaks."""
        try:
            async with asyncio.timeout(longest_s):
                async for batch in self.store.watch(self.key, revision + 1):
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


class OwnHallLeadership(HallLeadership):
    """The leadership of the daemon's own hall: taken if free, else its holder is followed.

    Parameters
    ----------
    relay : RelayClient
        Follows the holder.

    Attributes
    ----------
    relayed_until_s : float
        Local time up to which the holder's word makes the store needless.
    """

    def __init__(self, *arguments, relay: RelayClient):
        super().__init__(*arguments)
        self.relay = relay
        self.relayed_until_s = -1.0

    @property
    def is_relayed(self) -> bool:
        """Whether another daemon's word is good enough for now."""
        return self.clock.now_s() < self.relayed_until_s

    async def run(self) -> None:
        """Take the leadership, or follow whoever has it."""
        away = 0
        while not self.is_leaving():
            found = await self.store.range(self.key)
            if isinstance(found, Unavailable):
                away += 1
                times = 1 if self.is_leader else min(away, MOST_LOOKS_LEFT_OUT)
                await self._leave_store_alone(self.rng.uniform(0.5, 1.5) * LOOK_FOR_SEAT_S * times)
                continue
            away = 0
            if not found.items:
                await self._try_for_seat()
            else:
                self.leader_address = controller_address(found.items[0].value)
                await self._follow()
                await self._wait_for_end(found.revision, self.rng.uniform(1.0, 2.0))

    async def _try_for_seat(self) -> None:
        """Take the free leadership, unless another daemon was quicker.

        Daemons of a hall start, and miss a leader, all at once: one read after a drawn pause
        spares most of them a lease that would be in vain.
        """
        await asyncio.sleep(self.rng.uniform(0, OWN_HALL_JITTER_S))
        again = await self.store.range(self.key)
        if isinstance(again, RangeDone) and not again.items:
            await self._acquire_and_act()

    async def _leave_store_alone(self, pause_s: float) -> None:
        """Hear from the last known leader alone, until it has nothing to tell for a while."""
        until_s = self.clock.now_s() + pause_s
        while self.clock.now_s() < until_s and not self.is_leaving():
            await self._follow()
            await asyncio.sleep(BROKEN_PAUSE_S)

    async def _follow(self) -> None:
        """Pull from the holder until it fails."""
        failures = 0
        while self.leader_address and not self.is_leader and failures < PULLS_TO_BREAK:
            if self.is_leaving():
                return
            if await self.relay.pull(self.leader_address):
                failures = 0
                self.relayed_until_s = self.clock.now_s() + RELAY_COUNTS_S
            else:
                failures += 1
                self.relayed_until_s = -1.0  # the store is read from now on, at once
                await asyncio.sleep(BROKEN_PAUSE_S)


class RemoteHallLeadership(HallLeadership):
    """The leadership of another hall, which only a controller takes, after nobody there has.

    Parameters
    ----------
    is_candidate : callable
        Whether this daemon controls its own hall.
    """

    def __init__(self, *arguments, is_candidate: Callable[[], bool]):
        super().__init__(*arguments)
        self.is_candidate = is_candidate

    async def run(self) -> None:
        """Look whether the hall is without a controller for long, and then take its leadership."""
        while not self.is_leaving():
            await asyncio.sleep(self.rng.uniform(0.8, 1.2))
            if not self.is_candidate():
                continue
            found = await self.store.range(self.key)
            if isinstance(found, Unavailable):
                continue
            if found.items:
                self.leader_address = controller_address(found.items[0].value)
                await self._wait_for_end(found.revision, LOOK_AGAIN_S)
                continue
            await asyncio.sleep(OTHER_HALL_WAIT_S + self.rng.uniform(0, OTHER_HALL_JITTER_S))
            again = await self.store.range(self.key)
            if isinstance(again, RangeDone) and not again.items and self.is_candidate():
                await self._acquire_and_act()
