"""Leading a hall: what leadership of the daemon's own hall and of other halls have in common.

Each hall has at most one leader: the daemon whose lease holds the hall's key in the store. It reads
the store for the hall, schedules the hall's requests and controls the hall's replicas. This module
acquires a lease, leads while it is valid, and releases it; `_own_leadership` and
`_remote_leadership` decide which daemon tries to acquire it and what a daemon does otherwise. Owns
the leader's last known address, in memory; the lease itself is in the store.
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

# Duration of a lease: how long a hall may be without a leader after the leader's process dies.
LEASE_S = 1.8

# Pause between two rounds of the controller, and its random factor, so that the controllers of
# several halls do not act at the same time.
CONTROLLER_ROUND_S = 0.1
ROUND_JITTER = (0.85, 1.15)

# Longest pause between two checks of whether the lease is due for renewal or has ended.
LEASE_CHECK_S = 0.1

# Pause between two checks of whether the store's era has settled; a check makes no store call.
SETTLING_CHECK_S = 0.1

# Pause after a watch of the leader's key broke before the key was removed.
BROKEN_WATCH_PAUSE_S = 0.5

# Range of the random pause after an attempt to acquire a lease failed, unless another daemon holds
# the lease.
FAILED_ACQUIRE_PAUSE_S = (0.3, 0.9)


class HallLeadership(ABC):
    """The lease of one hall, and the hall's controller, which acts while the lease is held.

    Parameters
    ----------
    controller : ReplicaController
        Acts while this daemon holds the lease.
    is_stopping : callable
        Returns whether this daemon is about to stop; it then releases its lease.
    settling : EraSettling
        Whether the store can be relied on after it was restored from an older copy.

    Attributes
    ----------
    leader_address : str
        ``IP:PORT`` of the last daemon known to have held the lease; empty if none is known.
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
        """Return whether this daemon holds an unexpired lease, by its own clock."""
        return self.lease.is_valid

    def should_step_down(self) -> bool:
        """Return whether this daemon is to release the lease in favour of another daemon."""
        return False

    def known_leader_address(self) -> str:
        """Return ``IP:PORT`` of the hall's leader; empty if none is known."""
        return self.leader_address

    async def _acquire_and_lead(self) -> None:
        """Try to acquire the lease; if that succeeds, lead until the lease ends.

        A daemon that is stopping does not try: it would release the lease at once, and the hall
        would have no leader in the meantime. Nor does a daemon try while the store's era settles:
        another daemon may still rely on a lease that the restored store has lost.
        """
        if self.is_stopping() or not self.settling.is_settled():
            return
        began_s = self.clock.now_s()
        acquired = await self.lease.acquire(LEASE_S)
        if isinstance(acquired, HeldLease):
            self.leader_address = self.lease.address
            # The controller waits for a list that is not older, so it is requested at once.
            confirmation = self.controller.directory.confirmation
            confirmation.note_store(acquired.created, began_s, self.clock.now_s())
            log_event(
                _LOG,
                logging.INFO,
                "controller_began",
                hall=self.controller.hall,
                term=acquired.term,
            )
            await self._lead()
        elif not isinstance(acquired, Conflict):
            log_event(
                _LOG,
                logging.INFO,
                "lease_not_taken",
                hall=self.controller.hall,
                why=acquired.reason,
            )
            await asyncio.sleep(self.rng.uniform(*FAILED_ACQUIRE_PAUSE_S))

    async def _wait_until_key_removed(
        self, read_position: Position, timeout_s: float | None
    ) -> bool:
        """Wait until the leader's key is removed, the watch breaks or `timeout_s` has passed.

        `read_position` is the store position at which the key was read; `timeout_s` None waits
        without a limit. Returns whether the key was removed.
        """
        try:
            async with asyncio.timeout(timeout_s):
                async for batch in self.store.watch(self.key, read_position):
                    if any(value is None for _, value in batch.changes):
                        return True
        except TimeoutError:
            return False
        await asyncio.sleep(BROKEN_WATCH_PAUSE_S)
        return False

    async def _wait_until_key_written(self, read_position: Position, timeout_s: float) -> None:
        """Wait until a daemon writes the leader's key, or until `timeout_s` has passed."""
        until_s = self.clock.now_s() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                async for batch in self.store.watch(self.key, read_position):
                    if any(value is not None for _, value in batch.changes):
                        return
        except TimeoutError:
            return
        await asyncio.sleep(max(0.0, until_s - self.clock.now_s()))  # the watch broke

    async def _lead(self) -> None:
        """Run the controller while the lease is valid; release the lease at a planned stop."""
        try:
            await self._control_while_lease_valid()
            while await self.lease.reclaim():
                log_event(_LOG, logging.WARNING, "lease_reclaimed", hall=self.controller.hall)
                await self.lease.renew()  # little of it remains after an outage
                await self._control_while_lease_valid()
        finally:
            log_event(_LOG, logging.INFO, "controller_ended", hall=self.controller.hall)
        if self.lease.is_valid:
            await self.lease.release()
        if self.is_stopping():
            self.leader_address = ""  # the next leader schedules the requests still queued here

    async def _wait_until_settled(self) -> None:
        """Wait until the store's era has settled; the caller then reads a free key again."""
        while not self.settling.is_settled():
            await asyncio.sleep(SETTLING_CHECK_S)

    async def _control_while_lease_valid(self) -> None:
        """Run the controller until the lease ends or this daemon stops or steps down.

        The controller pauses while a new era of the store settles. A round that waits for the store
        delays neither the renewal of the lease nor the end of the controller's tasks with it.
        """
        renewal = LeaseRenewal(self.lease, self.clock)
        controlling = asyncio.ensure_future(self._run_rounds())
        try:
            while self.lease.is_valid and not self.is_stopping() and not self.should_step_down():
                if not renewal.step():
                    break
                pause_s = min(LEASE_CHECK_S, self.lease.remaining_s())
                await asyncio.wait({controlling}, timeout=pause_s)
                if controlling.done():
                    controlling.result()
        finally:
            renewal.cancel()
            controlling.cancel()
            self.controller.step_down()

    async def _run_rounds(self) -> None:
        """Run the controller's rounds, one after the other, until cancelled."""
        while True:
            if self.settling.is_settled():
                await self.controller.step()
            await asyncio.sleep(CONTROLLER_ROUND_S * self.rng.uniform(*ROUND_JITTER))

    @abstractmethod
    async def run(self) -> None:
        """Lead the hall, or follow its leader, until the daemon ends."""
