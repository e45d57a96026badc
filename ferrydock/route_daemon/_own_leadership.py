"""Rule: when a daemon leads its own hall, and what it does while another daemon leads it.

Owns, in memory, the time until which the leader's last reply replaces reading the store, and the
state of offers to lead.
"""

import asyncio
import contextlib
import logging

from ..freshness import change_budget
from ..hall_lease import decode_controller
from ..logs import log_event
from ..outcomes import Unavailable
from ..relay import RelayClient
from ..store import RangeDone
from ._leader_choice import is_better_leader, pause_before_acquiring_s
from ._leadership import HallLeadership

__all__ = ["OFFER_METHOD", "OwnHallLeadership"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Largest random pause before a daemon tries to lead its own hall. All daemons of a hall notice at
# the same time that the key is free; the first acquires it, the others find that out when they read
# the key again.
ACQUIRE_JITTER_S = 0.4

# Range of the time for which a follower watches the leader's key before it reads the key and polls
# the leader again. It watches after its polls have failed, which is how it notices a silent leader.
OWN_KEY_WATCH_S = (1.0, 2.0)

# How long a follower need not read the store after a reply of the leader while the store's era
# settles: no data can be confirmed then. A poll takes up to 0.6 s (`relay`).
SETTLING_RELAY_VALID_S = 0.8

# Longest time that a follower needs to act on a change, counted from the leader's last
# confirmation: the shortest bound of a deployment, 2 s, and half a second for a store call. Where a
# deployment allows more, a follower waits that much longer for the next leader before it reads the
# store itself. A lost leader is replaced after about 2 s. On an emulated day of 195 daemons with a
# bound of 4 s, this wait and the choice of leaders together saved 2,649 of 18,066 store calls (one
# run each).
MAX_FOLLOWER_DELAY_S = 2.5

# Consecutive failed polls after which a follower stops polling its leader, and the pause between
# them.
MAX_FAILED_PULLS = 2
FAILED_PULL_PAUSE_S = 0.15

# Pause between two polls of the last leader while the store's era settles: short against the 1.1 s
# that an outage of 1 s and the settling leave of the time for which a key counts, and long enough
# for a leader of 39 followers, which answers each with a few hundred bytes.
SETTLING_POLL_S = 0.25

# Pause before the key is read again while the store is unreachable, its random factor, and the
# largest factor by which the pause grows with each failure.
STORE_RETRY_S = 0.6
STORE_RETRY_JITTER = (0.5, 1.5)
MAX_STORE_RETRY_FACTOR = 4

# Pause between two reads of a free key by a daemon that is stopping and so does not acquire it; the
# next leader acquires it within `ACQUIRE_JITTER_S`.
STOPPING_CHECK_S = 0.2

# Method name of the call by which a follower offers to lead; the reply is one byte.
OFFER_METHOD = "OfferToLead"
ACCEPTED, DECLINED = b"1", b"0"

# Shortest time between two offers of one follower.
OFFER_EVERY_S = 5.0


class OwnHallLeadership(HallLeadership):
    """Leads the daemon's own hall if its lease is free; otherwise polls the hall's leader.

    Parameters
    ----------
    relay : RelayClient
        Polls the leader for updates.
    change_within_s : float
        How soon a daemon must act on a change. What this leaves beyond `MAX_FOLLOWER_DELAY_S` is
        spent waiting for the next leader.

    Attributes
    ----------
    relayed_until_s : float
        Local time until which the leader's last reply replaces reading the store.
    """

    def __init__(self, *arguments, relay: RelayClient, change_within_s: float):
        super().__init__(*arguments)
        self.relay = relay
        self.budget = change_budget(change_within_s)
        self.extra_valid_s = max(0.0, change_within_s - MAX_FOLLOWER_DELAY_S)
        self.relayed_until_s = -1.0
        self._leader_cores: float | None = None
        self._started_s = self.clock.now_s()
        self._last_offer_s = -OFFER_EVERY_S
        self._is_offer_accepted = False
        self._is_stepping_down = False

    @property
    def is_relayed(self) -> bool:
        """Whether this daemon need not read the store because the hall leader relays it."""
        return not self.lease.is_valid and self.clock.now_s() < self.relayed_until_s

    async def run(self) -> None:
        """Lead the hall or follow its leader until the daemon ends; only follow during a stop."""
        consecutive_failures = 0
        read: RangeDone | Unavailable | None = None
        while True:
            read = read or await self._read_key()
            if isinstance(read, Unavailable):
                read = None
                consecutive_failures += 1
                await self._wait_for_store(consecutive_failures)
                continue
            consecutive_failures = 0
            is_free = not read.items or await self._follow_until_key_removed(read)
            read = await self._try_to_lead() if is_free else None

    async def _read_key(self) -> RangeDone | Unavailable:
        """Read the leader's key; poll the last known leader while the store does not answer.

        A call without an answer takes a second, in which the leader may have confirmed its data.
        """
        reading = asyncio.ensure_future(self.store.range(self.key))
        try:
            await asyncio.wait({reading}, timeout=FAILED_PULL_PAUSE_S)
            while not reading.done():
                if self.leader_address and not self.is_leader:
                    await self._poll_leader_once()
                await asyncio.wait({reading}, timeout=FAILED_PULL_PAUSE_S)
            return reading.result()
        finally:
            reading.cancel()

    async def _follow_until_key_removed(self, read: RangeDone) -> bool:
        """Poll the leader named in the key that was read; return whether the key was removed."""
        leader = decode_controller(read.items[0].value)
        self.leader_address = leader.address
        self._leader_cores = leader.processor_cores
        await self._poll_leader()
        return await self._wait_until_key_removed(read.position, self.rng.uniform(*OWN_KEY_WATCH_S))

    async def _try_to_lead(self) -> RangeDone | None:
        """Acquire the free lease and lead; if another daemon has acquired it, return its key.

        All daemons of a hall find the key free at the same time; reading it again after a pause
        saves most of them a request for a lease that they could not use. A daemon whose offer the
        last leader accepted does not pause.
        """
        if self.is_stopping():
            self.leader_address = ""
            await asyncio.sleep(STOPPING_CHECK_S)
            return None
        await self._wait_until_settled()
        if not self._is_offer_accepted:
            cores = self.lease.processor_cores or 0.0
            await asyncio.sleep(pause_before_acquiring_s(cores, ACQUIRE_JITTER_S, self.rng))
        self._is_offer_accepted = False
        reread = await self.store.range(self.key)
        if not isinstance(reread, RangeDone):
            return None
        if reread.items:
            return reread
        self._is_stepping_down = False
        await self._acquire_and_lead()
        return None

    async def _wait_for_store(self, consecutive_failures: int) -> None:
        """Pause calls to the store after `consecutive_failures` failed calls.

        The hall leader retries soon, on behalf of its hall; the other daemons wait longer with each
        failure, and poll the leader in the meantime.
        """
        factor = 1 if self.is_leader else min(consecutive_failures, MAX_STORE_RETRY_FACTOR)
        pause_s = self.rng.uniform(*STORE_RETRY_JITTER) * STORE_RETRY_S * factor
        until_s = self.clock.now_s() + pause_s
        while self.clock.now_s() < until_s:
            await self._poll_leader()
            await asyncio.sleep(FAILED_PULL_PAUSE_S)

    async def _poll_leader(self) -> None:
        """Poll the leader for updates until `MAX_FAILED_PULLS` consecutive polls fail.

        Returns early if the leader accepts this daemon's offer to lead, and returns at once if no
        other leader is known.
        """
        failed_pulls = 0
        while self.leader_address and not self.is_leader and failed_pulls < MAX_FAILED_PULLS:
            if await self._poll_leader_once():
                failed_pulls = 0
                await self._offer_to_lead()
                if self._is_offer_accepted:
                    return
            else:
                failed_pulls += 1
                if not self.extra_valid_s:
                    self.relayed_until_s = -1.0  # read the store at once
                await asyncio.sleep(FAILED_PULL_PAUSE_S)

    async def _poll_leader_once(self) -> bool:
        """Poll the leader; return whether its reply suffices without reading the store."""
        is_sufficient = await self.relay.poll(self.leader_address)
        if is_sufficient:
            self.relayed_until_s = self._relayed_until_s()
        return is_sufficient

    def _relayed_until_s(self) -> float:
        """Return the local time until which the leader's last reply replaces reading the store.

        It follows from the age of the data in the reply and not from when the reply came. The list
        alone is confirmed earlier by calls of its own (`freshness.Confirmer`).
        """
        if not self.settling.is_settled():
            return self.clock.now_s() + SETTLING_RELAY_VALID_S + self.extra_valid_s
        return self.relay.confirmed_s + self.budget.total_s

    async def _wait_until_settled(self) -> None:
        """Wait until the store's era has settled; poll the hall's last leader in the meantime.

        The last leader may have observed the era up to a second earlier, because it calls the store
        more often, and then confirms its configuration that much earlier. Its replies contain that
        confirmation even if its lease expired during the outage.
        """
        while (remaining_s := self.settling.remaining_s()) > 0:
            if self.leader_address and not self.is_leader:
                # A poll that is still unanswered when the era has settled is abandoned.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(remaining_s):
                        await self._poll_leader_once()
            await asyncio.sleep(min(SETTLING_POLL_S, max(0.0, self.settling.remaining_s())))

    # Stepping down for a daemon on a larger machine --------------------------------------------

    async def _offer_to_lead(self) -> None:
        """Offer to lead the hall if this daemon's machine suits that better than the leader's."""
        if self.is_stopping():
            return
        now_s = self.clock.now_s()
        cores = self.lease.processor_cores or 0.0
        is_due = now_s - self._last_offer_s >= OFFER_EVERY_S
        if not is_due or not is_better_leader(cores, self._leader_cores, now_s - self._started_s):
            return
        self._last_offer_s = now_s
        if isinstance(await self.store.range(self.key), Unavailable):
            return  # without the store this daemon could not acquire the lease
        offer = str(cores).encode()
        answer = await self.relay.call_leader(self.leader_address, OFFER_METHOD, offer)
        self._is_offer_accepted = answer == ACCEPTED
        log_event(
            _LOG,
            logging.INFO,
            "leadership_offered",
            hall=self.controller.hall,
            leader=self.leader_address,
            leader_cores=self._leader_cores,
            cores=cores,
            accepted=self._is_offer_accepted,
        )

    async def answer_offer(self, data: bytes) -> bytes:
        """Answer a follower's offer to lead; step down if its machine is sufficiently larger.

        Parameters
        ----------
        data : bytes
            Processor cores of the follower's machine, as decimal text.

        Raises
        ------
        ValueError
            If the offer is not a number.
        """
        offered_cores = float(data)
        own_cores = self.lease.processor_cores or 0.0
        if not self.lease.is_valid or self._is_stepping_down:
            return DECLINED
        if not is_better_leader(offered_cores, own_cores, float("inf")):
            return DECLINED
        self._is_stepping_down = True
        log_event(
            _LOG,
            logging.INFO,
            "leadership_given_up",
            hall=self.controller.hall,
            cores=own_cores,
            offered_cores=offered_cores,
        )
        return ACCEPTED

    def should_step_down(self) -> bool:
        """Return whether this daemon has accepted a follower's offer to lead."""
        return self._is_stepping_down
