"""Rule: which daemon leads a hall, for how long, and what a follower may do.

Each hall has at most one leader: the daemon whose lease holds the hall's key in the store. It reads
the store for the hall, schedules the hall's requests and controls the hall's replicas. This module
takes, renews and gives up leases, and follows the leader where another daemon has the lease. Owns
the leader's last known address, in memory; the lease itself lives in the store.
"""

import asyncio
import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from ..clock import Clock
from ..hall_lease import (
    ControllerLease,
    HeldLease,
    controller_address,
    controller_cores,
    controller_key,
)
from ..logs import log_event
from ..outcomes import Conflict, Unavailable
from ..relay import RelayClient
from ..replicas import ReplicaController
from ..store import LeaseGranted, LeaseLost, RangeDone, Store
from ._leader_choice import is_better_leader, pause_before_taking_s

__all__ = ["OFFER", "HallLeadership", "OwnHallLeadership", "RemoteHallLeadership"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Length of a lease: how long a hall is without a leader after its daemon died. Measured in
# docs/MEASUREMENTS.md, routes, "survivors used at once, lease 1.8 s": the two together.
LEASE_S = 1.8

# Pause between renewals: two may fail before the lease ends. Chosen, not measured.
RENEW_EVERY_S = 0.5

# Pause between two rounds of the controller, and its random factor, so that controllers of several
# halls do not act together. Chosen, not measured.
CONTROLLER_ROUND_S = 0.1
ROUND_JITTER = (0.85, 1.15)

# Largest random pause before a daemon tries to lead its own hall. The daemons of a hall notice a
# free key all at once; the first takes it, the others see that when they read the key again.
# Measured in docs/MEASUREMENTS.md, second sitting, "a peer is heard first at the start".
TAKE_JITTER_S = 0.4

# How long a hall must have been without a leader before the leader of another hall takes it over,
# and the random pause on top. Longer than daemons of the hall itself need (lease, jitter, a lost
# call), so that a hall is led from inside while one of its daemons reaches the store. Chosen, not
# measured.
REMOTE_TAKE_AFTER_S = 6.0
REMOTE_TAKE_JITTER_S = 2.0

# Pause between two looks at another hall's key. Chosen, not measured.
REMOTE_LOOK_S = (0.8, 1.2)

# Pause between two looks whether this daemon has come to lead its own hall, without a call. A new
# leader learns the leaders of other halls right after, and from them which requests crash their
# targets: within 3 s of the end of the last leader, of which 1.8 s are the lease and up to 0.4 s
# the pause before it is taken. Chosen, not measured.
CANDIDATE_LOOK_S = 0.1

# Longest watch on the key of another hall's leader before it is read again. Chosen, not measured.
REMOTE_WATCH_S = 15.0

# The same for the own hall, where a follower notices a silent leader by its calls. Chosen, not
# measured.
OWN_WATCH_S = (1.0, 2.0)

# Pause after a watch that ended without telling of the key's end. Chosen, not measured.
BROKEN_WATCH_PAUSE_S = 0.5

# Pause after a failed attempt to take a lease, other than one that another daemon won. Chosen, not
# measured.
FAILED_TAKE_PAUSE_S = (0.3, 0.9)

# How long an answer of the leader makes the store unnecessary. A question takes up to 0.6 s
# (`relay`); the bound that all of these serve: `freshness.LEADER_MAX_AGE_S`.
RELAY_VALID_S = 0.8

# What a follower needs at most to act on a change, from the leader's last confirmation on: that
# bound, and half a second for a call to the store. Where a deployment allows more, a follower waits
# that much longer for the next leader before it reads the store itself. A leader that is lost is
# replaced after some 2 s. On a day of 195 daemons whose bound is 4 s this and the choice of leaders
# together saved 2,649 of 18,066 calls (emulated, one play each).
CHANGE_TAKES_S = 2.5

# Failed questions in a row after which a leader is no longer followed, and the pause between them.
# Chosen, not measured.
FAILED_PULLS = 2
FAILED_PULL_PAUSE_S = 0.15

# Pause before the key is read again while the store cannot be reached, its random factor, and how
# far the pause grows. Measured in docs/MEASUREMENTS.md, second sitting, "a store that is away is
# left alone".
STORE_RETRY_S = 0.6
STORE_RETRY_JITTER = (0.5, 1.5)
MAX_STORE_RETRY_FACTOR = 4


# Pause of a daemon that stops between two looks at a hall's key while no other daemon has it; the
# next leader takes it within `TAKE_JITTER_S`. Chosen, not measured.
STOPPING_LOOK_S = 0.2

# Name of the call on the wire by which a follower offers to lead; the answer is one byte.
OFFER = "OfferToLead"
ACCEPTED, DECLINED = b"1", b"0"

# Pause between two offers of one follower. Chosen, not measured.
OFFER_EVERY_S = 5.0


class _LeaseRenewal:
    """Renews a lease beside the rounds of the controller that acts under it."""

    __slots__ = ("_renewed_s", "_task", "clock", "lease")

    def __init__(self, lease: ControllerLease, clock: Clock):
        self.lease = lease
        self.clock = clock
        self._renewed_s = clock.now_s()
        self._task: asyncio.Task | None = None

    def step(self) -> bool:
        """Begin or end a renewal if it is time; return False once the lease is lost."""
        now_s = self.clock.now_s()
        if self._task is None and now_s - self._renewed_s >= RENEW_EVERY_S:
            self._renewed_s = now_s
            self._task = asyncio.ensure_future(self.lease.keep())
        if self._task is None or not self._task.done():
            return True
        renewed = self._task.result()
        self._task = None
        if isinstance(renewed, LeaseLost):
            return False
        if not isinstance(renewed, LeaseGranted | HeldLease):
            self._renewed_s = now_s - RENEW_EVERY_S / 2  # no answer: try again sooner
        return True

    def cancel(self) -> None:
        """Stop a renewal that is under way."""
        if self._task is not None:
            self._task.cancel()


class HallLeadership(ABC):
    """The lease of one hall, and the hall's controller, which acts while it is held.

    Parameters
    ----------
    controller : ReplicaController
        Acts while the lease is held.
    is_stopping : callable
        Whether this daemon is about to stop: it then gives its lease back.

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
    ):
        self.controller = controller
        self.lease: ControllerLease = controller.lease
        self.key = controller_key(controller.hall)
        self.store = store
        self.clock = clock
        self.rng = rng
        self.is_stopping = is_stopping
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
        without a leader for that long.
        """
        if self.is_stopping():
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

    async def _wait_for_free_key(self, revision: int, longest_s: float) -> bool:
        """Wait until the leader's key is gone, the watch breaks or `longest_s` is over.

        Returns whether the key is gone.
        """
        try:
            async with asyncio.timeout(longest_s):
                async for batch in self.store.watch(self.key, revision + 1):
                    if any(value is None for _, value in batch.changes):
                        return True
        except TimeoutError:
            return False
        await asyncio.sleep(BROKEN_WATCH_PAUSE_S)
        return False

    async def _wait_for_taken_key(self, revision: int, longest_s: float) -> None:
        """Wait until a daemon takes the leader's key, or until `longest_s` is over."""
        until_s = self.clock.now_s() + longest_s
        try:
            async with asyncio.timeout(longest_s):
                async for batch in self.store.watch(self.key, revision + 1):
                    if any(value is not None for _, value in batch.changes):
                        return
        except TimeoutError:
            return
        await asyncio.sleep(max(0.0, until_s - self.clock.now_s()))  # the watch broke off

    async def _lead(self) -> None:
        """Drive the controller while the lease holds; give the lease back at a planned stop."""
        renewal = _LeaseRenewal(self.lease, self.clock)
        try:
            while self.lease.valid and not self.is_stopping() and not self.should_give_way():
                if not renewal.step():
                    break
                await self.controller.step()
                await asyncio.sleep(CONTROLLER_ROUND_S * self.rng.uniform(*ROUND_JITTER))
        finally:
            renewal.cancel()
            self.controller.stand_down()
            log_event(_LOG, logging.INFO, "controller_ended", hall=self.controller.hall)
        if self.lease.valid:
            await self.lease.give_back()
        if self.is_stopping():
            self.leader_address = ""  # the next one schedules the requests that are left here

    @abstractmethod
    async def run(self) -> None:
        """Take the hall, or follow its leader, until the daemon ends."""


class OwnHallLeadership(HallLeadership):
    """Leadership of the daemon's own hall: taken if it is free, else its leader is followed.

    Parameters
    ----------
    relay : RelayClient
        Asks the leader for news.
    change_within_s : float
        How soon a daemon must act on a change; what it has to spare is spent waiting for the next
        leader.

    Attributes
    ----------
    relayed_until_s : float
        Local time up to which the leader's last answer makes the store unnecessary.
    """

    def __init__(self, *arguments, relay: RelayClient, change_within_s: float):
        super().__init__(*arguments)
        self.relay = relay
        self.spare_s = max(0.0, change_within_s - CHANGE_TAKES_S)
        self.relayed_until_s = -1.0
        self._leader_cores: float | None = None
        self._began_s = self.clock.now_s()
        self._offered_s = -OFFER_EVERY_S
        self._is_invited = False
        self._gives_way = False

    @property
    def is_relayed(self) -> bool:
        """Whether this daemon needs no store now, since the hall leader reads it."""
        return not self.lease.valid and self.clock.now_s() < self.relayed_until_s

    async def run(self) -> None:
        """Lead the hall or follow its leader until the daemon ends; while it stops, only follow."""
        failures = 0
        read: RangeDone | Unavailable | None = None
        while True:
            read = read or await self.store.range(self.key)
            if isinstance(read, Unavailable):
                read = None
                failures += 1
                await self._wait_for_store(failures)
                continue
            failures = 0
            is_free = not read.items or await self._follow_until_free(read)
            read = await self._try_to_lead() if is_free else None

    async def _follow_until_free(self, read: RangeDone) -> bool:
        """Follow the leader in the key; return whether its key was seen to go."""
        self.leader_address = controller_address(read.items[0].value)
        self._leader_cores = controller_cores(read.items[0].value)
        await self._follow()
        return await self._wait_for_free_key(read.revision, self.rng.uniform(*OWN_WATCH_S))

    async def _try_to_lead(self) -> RangeDone | None:
        """Take the free lease, unless another daemon was quicker: then return its key.

        All daemons of a hall find the key free at once; reading it again after a pause saves most
        of them a lease that they could not use. One that the last leader gave way to does not wait.
        """
        if self.is_stopping():
            self.leader_address = ""
            await asyncio.sleep(STOPPING_LOOK_S)
            return None
        if not self._is_invited:
            cores = self.lease.processor_cores or 0.0
            await asyncio.sleep(pause_before_taking_s(cores, TAKE_JITTER_S, self.rng))
        self._is_invited = False
        again = await self.store.range(self.key)
        if not isinstance(again, RangeDone):
            return None
        if again.items:
            return again
        self._gives_way = False
        await self._take_and_lead()
        return None

    async def _wait_for_store(self, failures: int) -> None:
        """Leave the store alone for a while after `failures` calls in a row that failed.

        The hall leader asks it again soon, on behalf of all; the others wait ever longer, and ask
        the leader meanwhile.
        """
        factor = 1 if self.is_leader else min(failures, MAX_STORE_RETRY_FACTOR)
        pause_s = self.rng.uniform(*STORE_RETRY_JITTER) * STORE_RETRY_S * factor
        until_s = self.clock.now_s() + pause_s
        while self.clock.now_s() < until_s:
            await self._follow()
            await asyncio.sleep(FAILED_PULL_PAUSE_S)

    async def _follow(self) -> None:
        """Ask the leader for news again and again, until it fails."""
        failures = 0
        while self.leader_address and not self.is_leader and failures < FAILED_PULLS:
            if await self.relay.pull(self.leader_address):
                failures = 0
                self.relayed_until_s = self.clock.now_s() + RELAY_VALID_S + self.spare_s
                await self._offer_to_lead()
                if self._is_invited:
                    return
            else:
                failures += 1
                if not self.spare_s:
                    self.relayed_until_s = -1.0  # the store is read from now on, at once
                await asyncio.sleep(FAILED_PULL_PAUSE_S)

    # Giving way to a daemon on a larger machine ------------------------------------------------

    async def _offer_to_lead(self) -> None:
        """Offer to lead the hall if this daemon can bear it better than its leader."""
        if self.is_stopping():
            return
        now_s = self.clock.now_s()
        cores = self.lease.processor_cores or 0.0
        is_due = now_s - self._offered_s >= OFFER_EVERY_S
        if not is_due or not is_better_leader(cores, self._leader_cores, now_s - self._began_s):
            return
        self._offered_s = now_s
        if isinstance(await self.store.range(self.key), Unavailable):
            return  # it could not take the lease
        offer = str(cores).encode()
        answer = await self.relay.ask_leader(self.leader_address, OFFER, offer)
        self._is_invited = answer == ACCEPTED
        log_event(
            _LOG,
            logging.INFO,
            "leadership_offered",
            hall=self.controller.hall,
            leader=self.leader_address,
            leader_cores=self._leader_cores,
            cores=cores,
            accepted=self._is_invited,
        )

    async def answer_offer(self, data: bytes) -> bytes:
        """Answer a follower that offers to lead; give way to it if it can bear more.

        Raises
        ------
        ValueError
            If the offer is no number.
        """
        offered = float(data)
        own = self.lease.processor_cores or 0.0
        if not self.lease.valid or self._gives_way:
            return DECLINED
        if not is_better_leader(offered, own, float("inf")):
            return DECLINED
        self._gives_way = True
        log_event(
            _LOG,
            logging.INFO,
            "leadership_given_up",
            hall=self.controller.hall,
            cores=own,
            offered_cores=offered,
        )
        return ACCEPTED

    def should_give_way(self) -> bool:
        """Return whether a follower's offer to lead was accepted."""
        return self._gives_way


class RemoteHallLeadership(HallLeadership):
    """Leadership of another hall, taken over only after nobody there has for some seconds.

    Parameters
    ----------
    is_candidate : callable
        Whether this daemon leads its own hall; only such a daemon takes over another.
    """

    def __init__(self, *arguments, is_candidate: Callable[[], bool]):
        super().__init__(*arguments)
        self.is_candidate = is_candidate

    async def run(self) -> None:
        """Look whether the hall is without a leader for long, and then lead it."""
        while not self.is_stopping():
            if not self.is_candidate():
                await asyncio.sleep(CANDIDATE_LOOK_S)
                continue
            if not await self._look():
                await asyncio.sleep(self.rng.uniform(*REMOTE_LOOK_S))

    async def _look(self) -> bool:
        """Look at the hall's key until it changes; return whether to look again at once."""
        read = await self.store.range(self.key)
        if isinstance(read, Unavailable):
            return False  # the store follower logs that the store is lost
        if read.items:
            self.leader_address = controller_address(read.items[0].value)
            return await self._wait_for_free_key(read.revision, REMOTE_WATCH_S)
        jitter_s = self.rng.uniform(0, REMOTE_TAKE_JITTER_S)
        await self._wait_for_taken_key(read.revision, REMOTE_TAKE_AFTER_S + jitter_s)
        again = await self.store.range(self.key)
        if isinstance(again, RangeDone) and again.items:
            self.leader_address = controller_address(again.items[0].value)
        elif isinstance(again, RangeDone) and self.is_candidate():
            await self._take_and_lead()
        return False
