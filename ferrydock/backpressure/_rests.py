"""Rests that targets have asked this daemon for: how long each wants no request of it.

Owns the ends of the rests by target id, in memory. It is filled by this daemon's own attempts
(`forwarding.AnswerNotices`): what a target asks of one daemon it does not ask of the others.
"""

import logging
from collections.abc import Container
from dataclasses import dataclass

from ..logs import log_event
from ..targets import Target

__all__ = ["Rests"]

_LOG = logging.getLogger("ferrydock.backpressure")


@dataclass(frozen=True, slots=True)
class _Rest:
    """A rest, and which life of the target's process asked for it."""

    until_s: float
    life: int


class Rests:
    """The rests that have not ended.

    A rest has no upper bound: a target that is asked sooner than it said has to refuse once more.
    It ends early only if the target's process has started again.

    Examples
    --------
    >>> rests, target = Rests(), Target("t", "s", "127.0.0.1:1", "h", 1)
    >>> rests.note(target, rest_s=3.0, now_s=0.0)
    >>> rests.note(target, rest_s=1.0, now_s=1.0)
    >>> rests.left_s(target, 1.0), rests.left_s(target, 3.0)
    (2.0, 0.0)
    """

    __slots__ = ("_rests",)

    def __init__(self):
        self._rests: dict[str, _Rest] = {}

    def __len__(self) -> int:
        return len(self._rests)

    def count(self, target_ids: Container[str]) -> int:
        """Return how many of some targets rest."""
        return sum(target_id in target_ids for target_id in self._rests)

    def note(self, target: Target, rest_s: float, now_s: float) -> None:
        """Note that a target asks for a rest; a shorter one does not shorten one under way.

        Parameters
        ----------
        now_s : float
            Local time of the answer, from which the rest counts.
        """
        if rest_s <= 0:
            return
        left_s = self.left_s(target, now_s)
        self._rests[target.target_id] = _Rest(now_s + max(rest_s, left_s), target.life)
        if left_s <= 0:
            log_event(_LOG, logging.INFO, "target_rests", target=target.target_id, for_s=rest_s)

    def left_s(self, target: Target, now_s: float) -> float:
        """Return how many seconds a target still wants no request; 0 if it does not rest."""
        rest = self._rests.get(target.target_id)
        if rest is None or rest.life != target.life:
            return 0.0
        return max(0.0, rest.until_s - now_s)

    def tidy(self, now_s: float) -> None:
        """Drop rests that have ended; an entry may go and come back before that."""
        for target_id, rest in list(self._rests.items()):
            if rest.until_s <= now_s:
                del self._rests[target_id]
                log_event(_LOG, logging.INFO, "target_rest_ended", target=target_id)
