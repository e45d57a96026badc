"""Rule: when a daemon takes over another hall.

Only the leader of a hall looks at the others, and only a hall that has had no leader for some
seconds is taken over. Owns since when the other hall's leader is certainly known, in memory.
"""

import asyncio
from collections.abc import Callable

from ..freshness import REMOTE_LEADER_MAX_AGE_S, Confirmation
from ..hall_lease import controller_address
from ..outcomes import Unavailable
from ..store import Position, RangeDone
from ._leadership import HallLeadership

__all__ = ["RemoteHallLeadership"]

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

# Pause between two looks whether the key of another hall's leader is known for too long, without a
# call. Chosen, not measured.
CONFIRMED_LOOK_S = 0.5


class RemoteHallLeadership(HallLeadership):
    """Leadership of another hall, taken over only after nobody there has for some seconds.

    Parameters
    ----------
    is_candidate : callable
        Whether this daemon leads its own hall; only such a daemon takes over another.

    Attributes
    ----------
    confirmation : Confirmation
        Since when the hall's key is certainly as it was read last.
    """

    def __init__(self, *arguments, is_candidate: Callable[[], bool]):
        super().__init__(*arguments)
        self.is_candidate = is_candidate
        self.confirmation = Confirmation()

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
        began_s = self.clock.now_s()
        read = await self.store.range(self.key)
        if isinstance(read, Unavailable):
            return False  # the store follower logs that the store is lost
        self.confirmation.note_known(read.position)
        self.confirmation.confirm(began_s)
        if read.items:
            self.leader_address = controller_address(read.items[0].value)
            return await self._wait_while_confirmed(read.position)
        jitter_s = self.rng.uniform(0, REMOTE_TAKE_JITTER_S)
        await self._wait_for_taken_key(read.position, REMOTE_TAKE_AFTER_S + jitter_s)
        await self._wait_until_settled()
        again = await self.store.range(self.key)
        if isinstance(again, RangeDone) and again.items:
            self.leader_address = controller_address(again.items[0].value)
        elif isinstance(again, RangeDone) and self.is_candidate():
            await self._take_and_lead()
        return False

    async def _wait_while_confirmed(self, read: Position) -> bool:
        """Wait until the leader's key is gone; return whether it is, or False to read it again.

        A wait that is never answered would leave this daemon with a leader that is gone. The wait
        ends once the store's position has not confirmed the key for too long: while that stands
        still, the key is known without a call.
        """
        waiting = asyncio.ensure_future(self._wait_for_free_key(read, None))
        try:
            while not waiting.done():
                if self.confirmation.age_s(self.clock.now_s()) > REMOTE_LEADER_MAX_AGE_S:
                    return False
                await asyncio.wait({waiting}, timeout=CONFIRMED_LOOK_S)
            return waiting.result()
        finally:
            waiting.cancel()
