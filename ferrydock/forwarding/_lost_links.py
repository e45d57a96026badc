"""What follows for requests when this daemon loses its links to all targets, and gets them back.

Owns nothing: acts on the loads of targets, the pools of connections and the attempts in flight.
"""

import asyncio

from ..links import TargetLinks
from ._attempts import AttemptRunner

__all__ = ["LostLinks"]

# Ejections that began so shortly before the links were found lost were caused by the loss: a failed
# connection takes up to 0.15 s, and is followed by a check of 0.1 s.
UNDO_EJECTIONS_S = 1.0


class LostLinks:
    """Corrects what this daemon concluded about targets before it knew that its links were lost."""

    __slots__ = ("attempts", "links")

    def __init__(self, attempts: AttemptRunner, links: TargetLinks):
        self.attempts = attempts
        self.links = links
        links.listeners.append(self._on_change)

    def _on_change(self) -> None:
        """Undo ejections that the loss caused, and use no connection made before the change."""
        self.attempts.upstream.replace_pools()
        if self.links.is_lost:
            self.attempts.loads.undo_ejections(self.links.lost_s - UNDO_EJECTIONS_S)
            asyncio.get_running_loop().call_soon(self.attempts.selector.assign_free_slots)
