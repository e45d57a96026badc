"""What follows for requests when this daemon loses its links to all targets, and gets them back.

Owns the time of its last check; acts on the loads of targets, the pools of connections and the
attempts in flight.
"""

import asyncio

from ..links import TargetLinks
from ._attempts import AttemptRunner

__all__ = ["LostLinks"]

# Ejections that began so shortly before the links were found lost were caused by the loss: a failed
# connection takes up to 0.15 s, and is followed by a check of 0.1 s.
UNDO_EJECTIONS_S = 1.0

# How long nothing may be received from any target before the links are checked, and how many
# targets must have requests in flight: one or two may be slow, or stand still for a second.
SILENT_S = 0.3
MIN_SILENT_TARGETS = 2

# How long a request that was sent before the links were lost is waited for without receiving
# anything. Its connection may have gone silent; it may also live on.
LOST_SILENT_S = 0.5

# Shortest time between two checks because of silence.
CHECK_INTERVAL_S = 0.5

# Reason for interrupting an attempt, as written to log lines and read by `ferrydock explain`.
LINKS_LOST = "links_lost"


class LostLinks:
    """Notices lost links by silence, and corrects what was concluded about targets before.

    Open connections may go silent while no new one is made that could fail. Requests on such
    connections are sent again, if they may be, through another daemon.
    """

    __slots__ = ("_checked_s", "attempts", "links")

    def __init__(self, attempts: AttemptRunner, links: TargetLinks):
        self.attempts = attempts
        self.links = links
        self._checked_s = float("-inf")
        links.listeners.append(self._on_change)

    async def step(self) -> None:
        """Check the links if all targets are silent; interrupt silent requests if they are lost."""
        if self.links.is_lost:
            self.attempts.interrupt_silent(self.links.lost_s, LOST_SILENT_S, LINKS_LOST)
            return
        now_s = self.attempts.clock.now_s()
        is_due = now_s - self._checked_s >= CHECK_INTERVAL_S
        if is_due and self.attempts.silent_target_count(SILENT_S) >= MIN_SILENT_TARGETS:
            self._checked_s = now_s
            await self.links.check()

    def _on_change(self) -> None:
        """Undo ejections that the loss caused, and use no connection made before the change."""
        self.attempts.upstream.replace_pools()
        if self.links.is_lost:
            self.attempts.loads.undo_ejections(self.links.lost_s - UNDO_EJECTIONS_S)
            asyncio.get_running_loop().call_soon(self.attempts.selector.assign_free_slots)
