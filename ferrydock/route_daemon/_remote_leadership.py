"""Rule: when a daemon takes over leadership of another hall.

Only the leader of a hall checks the other halls, and it takes over only a hall that has had no
leader for some seconds. Owns, in memory, when the other hall's leader was last confirmed.
"""

import asyncio
from collections.abc import Callable

from ..freshness import REMOTE_LEADER_MAX_AGE_S, Confirmation
from ..hall_lease import decode_controller
from ..outcomes import Unavailable
from ..store import Position, RangeDone
from ._leadership import HallLeadership

__all__ = ["RemoteHallLeadership"]

# How long a hall must have been without a leader before the leader of another hall takes it over,
# and the largest random addition. Longer than the hall's own daemons need (expiry of the lease,
# jitter, one lost call), so that one of them leads the hall while any of them reaches the store.
REMOTE_TAKEOVER_AFTER_S = 6.0
REMOTE_TAKEOVER_JITTER_S = 2.0

# Range of the pause between two reads of another hall's key.
REMOTE_CHECK_S = (0.8, 1.2)

# Pause between two checks of whether this daemon leads its own hall; a check makes no store call.
# A new leader then reads the leaders of the other halls, and learns from them which requests crash
# their targets. This must happen within 3 s of the end of the last leader, of which up to 1.8 s
# pass until the lease expires and up to 0.4 s until the new leader acquires it.
CANDIDATE_CHECK_S = 0.1

# Pause between two checks of whether the last confirmation of another hall's leader is too old; a
# check makes no store call.
CONFIRMATION_CHECK_S = 0.5


class RemoteHallLeadership(HallLeadership):
    """Leadership of another hall, taken over only when the hall has had no leader for seconds.

    Parameters
    ----------
    is_candidate : callable
        Returns whether this daemon leads its own hall; only such a daemon takes over another.

    Attributes
    ----------
    confirmation : Confirmation
        Records when the hall's key was last confirmed to be unchanged since it was read.
    """

    def __init__(self, *arguments, is_candidate: Callable[[], bool]):
        super().__init__(*arguments)
        self.is_candidate = is_candidate
        self.confirmation = Confirmation()

    async def run(self) -> None:
        """Check the hall until this daemon stops; lead it if it has no leader for too long."""
        while not self.is_stopping():
            if not self.is_candidate():
                await asyncio.sleep(CANDIDATE_CHECK_S)
                continue
            if not await self._check_hall():
                await asyncio.sleep(self.rng.uniform(*REMOTE_CHECK_S))

    async def _check_hall(self) -> bool:
        """Read the hall's key, wait while it stays as it is, and take over a hall without a leader.

        Returns whether the key was removed, so that the caller checks again without a pause.
        """
        began_s = self.clock.now_s()
        read = await self.store.range(self.key)
        if isinstance(read, Unavailable):
            return False  # the store follower logs that the store is lost
        self.confirmation.note_known(read.position)
        self.confirmation.confirm(began_s)
        if read.items:
            self.leader_address = decode_controller(read.items[0].value).address
            return await self._wait_while_confirmed(read.position)
        jitter_s = self.rng.uniform(0, REMOTE_TAKEOVER_JITTER_S)
        await self._wait_until_key_written(read.position, REMOTE_TAKEOVER_AFTER_S + jitter_s)
        await self._wait_until_settled()
        reread = await self.store.range(self.key)
        if isinstance(reread, RangeDone) and reread.items:
            self.leader_address = decode_controller(reread.items[0].value).address
        elif isinstance(reread, RangeDone) and self.is_candidate():
            await self._acquire_and_lead()
        return False

    async def _wait_while_confirmed(self, read: Position) -> bool:
        """Wait until the leader's key is removed or its last confirmation is too old.

        Returns whether the key was removed; after False the caller reads the key again. A watch
        that is never answered would leave this daemon with a leader that has ended, so the wait
        also ends when no position named by the store has confirmed the key for
        `REMOTE_LEADER_MAX_AGE_S`. While the store's position does not change, each of its answers
        confirms the key without a further call.
        """
        key_removed = asyncio.ensure_future(self._wait_until_key_removed(read, None))
        try:
            while not key_removed.done():
                if self.confirmation.age_s(self.clock.now_s()) > REMOTE_LEADER_MAX_AGE_S:
                    return False
                await asyncio.wait({key_removed}, timeout=CONFIRMATION_CHECK_S)
            return key_removed.result()
        finally:
            key_removed.cancel()
