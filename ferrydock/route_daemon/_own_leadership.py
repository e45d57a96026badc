"""Rule: when a daemon leads its own hall, and what it does while another one leads it.

Owns until when the leader's last answer makes the store unnecessary, and the offers to lead, in
memory.
"""

import asyncio
import logging

from ..hall_lease import controller_address, controller_cores
from ..logs import log_event
from ..outcomes import Unavailable
from ..relay import RelayClient
from ..store import RangeDone
from ._leader_choice import is_better_leader, pause_before_taking_s
from ._leadership import HallLeadership

__all__ = ["OFFER", "OwnHallLeadership"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Largest random pause before a daemon tries to lead its own hall. The daemons of a hall notice a
# free key all at once; the first takes it, the others see that when they read the key again.
# Measured in docs/MEASUREMENTS.md, second sitting, "a peer is heard first at the start".
TAKE_JITTER_S = 0.4

# The same for the own hall, where a follower notices a silent leader by its calls. Chosen, not
# measured.
OWN_WATCH_S = (1.0, 2.0)

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
        return await self._wait_for_free_key(read.position, self.rng.uniform(*OWN_WATCH_S))

    async def _try_to_lead(self) -> RangeDone | None:
        """Take the free lease, unless another daemon was quicker: then return its key.

        All daemons of a hall find the key free at once; reading it again after a pause saves most
        of them a lease that they could not use. One that the last leader gave way to does not wait.
        """
        if self.is_stopping():
            self.leader_address = ""
            await asyncio.sleep(STOPPING_LOOK_S)
            return None
        await self._wait_until_settled()
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
