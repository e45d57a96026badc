"""Rule: when a daemon takes over another hall.

Only the leader of a hall looks at the others, and only a hall that has had no leader for some
seconds is taken over.
"""

import asyncio
from collections.abc import Callable

from ..hall_lease import controller_address
from ..outcomes import Unavailable
from ..store import RangeDone
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

# Longest watch on the key of another hall's leader before it is read again. Chosen, not measured.
REMOTE_WATCH_S = 15.0


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
