"""Leading a hall: what leaderships of the own hall and of other halls have in common.

Each hall has at most one leader: the daemon whose lease holds the hall's key in the store. It reads
the store for the hall, schedules the hall's requests and controls the hall's replicas. Here a lease
is taken, led under and given back; who tries for it, and what a daemon does meanwhile, stands in
`_own_leadership` and `_remote_leadership`. Owns the leader's last known address, in memory; the
lease itself lives in the store.
"""

import asyncio
import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from ..clock import Clock
from ..freshness import EraSettling
from ..hall_lease import ControllerLease, HeldLease, controller_key
from ..logs import log_event
from ..outcomes import Conflict
from ..replicas import ReplicaController
from ..store import Position, Store
from ._lease_renewal import LeaseRenewal

__all__ = ["HallLeadership"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Length of a lease: how long a hall is without a leader after its daemon died. Measured in
# docs/MEASUREMENTS.md, routes, "survivors used at once, lease 1.8 s": the two together.
LEASE_S = 1.8

# Pause between two rounds of the controller, and its random factor, so that controllers of several
# halls do not act together. Chosen, not measured.
CONTROLLER_ROUND_S = 0.1
ROUND_JITTER = (0.85, 1.15)

# Pause between two looks whether the store's era has settled, without a call.
SETTLING_LOOK_S = 0.1

# Pause after a watch that ended without telling of the key's end. Chosen, not measured.
BROKEN_WATCH_PAUSE_S = 0.5

# Pause after a failed attempt to take a lease, other than one that another daemon won. Chosen, not
# measured.
FAILED_TAKE_PAUSE_S = (0.3, 0.9)


class HallLeadership(ABC):
    """The lease of one hall, and the hall's controller, which acts while it is held.

    Parameters
    ----------
    controller : ReplicaController
        Acts while the lease is held.
    is_stopping : callable
        Whether this daemon is about to stop: it then gives its lease back.
    settling : EraSettling
        Whether the store can be relied on after it came back older.

    Attributes
    ----------
    leader_address : str
        ``IP:PORT`` of the daemon that last held the lease, as far as known; empty at first.
    """

    def __init__(
        self,
        controller: ReplicaController,
        store: Store,
        clock: Clock,
        rng: random.Random,
        is_stopping: Callable[[], bool],
        settling: EraSettling,
    ):
        self.controller = controller
        self.lease: ControllerLease = controller.lease
        self.key = controller_key(controller.hall)
        self.store = store
        self.clock = clock
        self.rng = rng
        self.is_stopping = is_stopping
        self.settling = settling
        self.leader_address = ""

    @property
    def is_leader(self) -> bool:
        """Whether this daemon is the last one known to have held the lease."""
        return self.leader_address == self.lease.address

    def holds_lease(self) -> bool:
        """Return whether this daemon holds the lease right now, by its own clock."""
        return self.lease.valid

    def should_give_way(self) -> bool:
        """Return whether another daemon is to lead instead of this one."""
        return False

    def known_leader_address(self) -> str:
        """Return ``IP:PORT`` of the hall's leader; empty if none is known."""
        return self.leader_address

    async def _take_and_lead(self) -> None:
        """Try to take the lease; if that succeeds, lead until it ends.

        A daemon that stops takes none: it would give it back at once, and the hall would be
        without a leader for that long. Nor is one taken while the store's era settles: another
        daemon may still rely on one of which the store knows nothing any more.
        """
        if self.is_stopping() or not self.settling.is_settled():
            return
        taken = await self.lease.acquire(LEASE_S)
        if isinstance(taken, HeldLease):
            self.leader_address = self.lease.address
            log_event(
                _LOG, logging.INFO, "controller_began", hall=self.controller.hall, term=taken.term
            )
            await self._lead()
        elif not isinstance(taken, Conflict):
            log_event(
                _LOG,
                logging.INFO,
                "lease_not_taken",
                hall=self.controller.hall,
                why=taken.reason,
            )
            await asyncio.sleep(self.rng.uniform(*FAILED_TAKE_PAUSE_S))

    async def _wait_for_free_key(self, read: Position, longest_s: float | None) -> bool:
        """Wait until the leader's key is gone, the watch breaks or `longest_s`, if any, is over.

        `read` is where it was read. Returns whether the key is gone.
        """
        try:
            async with asyncio.timeout(longest_s):
                async for batch in self.store.watch(self.key, read):
                    if any(value is None for _, value in batch.changes):
                        return True
        except TimeoutError:
            return False
        await asyncio.sleep(BROKEN_WATCH_PAUSE_S)
        return False

    async def _wait_for_taken_key(self, read: Position, longest_s: float) -> None:
        """Wait until a daemon takes the leader's key, or until `longest_s` is over."""
        until_s = self.clock.now_s() + longest_s
        try:
            async with asyncio.timeout(longest_s):
                async for batch in self.store.watch(self.key, read):
                    if any(value is not None for _, value in batch.changes):
                        return
        except TimeoutError:
            return
        await asyncio.sleep(max(0.0, until_s - self.clock.now_s()))  # the watch broke off

    async def _lead(self) -> None:
        """Drive the controller while the lease holds; give the lease back at a planned stop."""
        try:
            await self._act_while_valid()
            while await self.lease.reclaim():
                log_event(_LOG, logging.WARNING, "lease_reclaimed", hall=self.controller.hall)
                await self.lease.keep()  # of its time an outage has left little
                await self._act_while_valid()
        finally:
            log_event(_LOG, logging.INFO, "controller_ended", hall=self.controller.hall)
        if self.lease.valid:
            await self.lease.give_back()
        if self.is_stopping():
            self.leader_address = ""  # the next one schedules the requests that are left here

    async def _wait_until_settled(self) -> None:
        """Wait until the store's era has settled; a free key is looked at again after that."""
        while not self.settling.is_settled():
            await asyncio.sleep(SETTLING_LOOK_S)

    async def _act_while_valid(self) -> None:
        """Drive the controller until the lease ends, or is not believed in a new era."""
        renewal = LeaseRenewal(self.lease, self.clock)
        try:
            while self.lease.valid and not self.is_stopping() and not self.should_give_way():
                if not renewal.step():
                    break
                if self.settling.is_settled():
                    await self.controller.step()
                await asyncio.sleep(CONTROLLER_ROUND_S * self.rng.uniform(*ROUND_JITTER))
        finally:
            renewal.cancel()
            self.controller.stand_down()

    @abstractmethod
    async def run(self) -> None:
        """Take the hall, or follow its leader, until the daemon ends."""
