"""Back-offs that targets have requested of this daemon: how long each must get no request from it.

Owns the ends of the back-offs by target id, in memory. They come from the answers to this daemon's
own attempts (`forwarding.TargetStatements`): a back-off that a target requests of one daemon does
not apply to the others.
"""

import logging
from collections.abc import Container
from dataclasses import dataclass

from ..logs import log_event
from ..targets import Target

__all__ = ["TargetBackoffs"]

_LOG = logging.getLogger("ferrydock.backpressure")


@dataclass(frozen=True, slots=True)
class _Backoff:
    """The end of a back-off, in local time, and the incarnation of the target that requested it."""

    until_s: float
    incarnation: int


class TargetBackoffs:
    """The back-offs in force.

    The length of a back-off has no upper bound, since a target that gets a request before the end
    has to refuse again. A back-off ends early only if the target's process has restarted.

    Examples
    --------
    >>> backoffs, target = TargetBackoffs(), Target("t", "s", "127.0.0.1:1", "h", 1)
    >>> backoffs.note(target, backoff_s=3.0, now_s=0.0)
    >>> backoffs.note(target, backoff_s=1.0, now_s=1.0)
    >>> backoffs.remaining_s(target, 1.0), backoffs.remaining_s(target, 3.0)
    (2.0, 0.0)
    """

    __slots__ = ("_backoffs",)

    def __init__(self):
        self._backoffs: dict[str, _Backoff] = {}

    def __len__(self) -> int:
        return len(self._backoffs)

    def count_among(self, target_ids: Container[str]) -> int:
        """Return how many of the given targets have a back-off."""
        return sum(target_id in target_ids for target_id in self._backoffs)

    def note(self, target: Target, backoff_s: float, now_s: float) -> None:
        """Record that a target requests a back-off; it never shortens one in force.

        Parameters
        ----------
        backoff_s : float
            Length of the back-off; 0 for none.
        now_s : float
            Local time at which the answer was received and the back-off starts.
        """
        if backoff_s <= 0:
            return
        remaining_s = self.remaining_s(target, now_s)
        self._backoffs[target.target_id] = _Backoff(
            now_s + max(backoff_s, remaining_s), target.incarnation
        )
        if remaining_s <= 0:
            log_event(_LOG, logging.INFO, "target_rests", target=target.target_id, for_s=backoff_s)

    def remaining_s(self, target: Target, now_s: float) -> float:
        """Return how many seconds remain of a target's back-off; 0 if it has none."""
        backoff = self._backoffs.get(target.target_id)
        if backoff is None or backoff.incarnation != target.incarnation:
            return 0.0
        return max(0.0, backoff.until_s - now_s)

    def prune(self, now_s: float) -> None:
        """Remove back-offs that have ended.

        Those of unlisted targets are kept until then, since a target may be listed again.
        """
        for target_id, backoff in list(self._backoffs.items()):
            if backoff.until_s <= now_s:
                del self._backoffs[target_id]
                log_event(_LOG, logging.INFO, "target_rest_ended", target=target_id)
