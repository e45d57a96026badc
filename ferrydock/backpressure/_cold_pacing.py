"""Enforces the bound on the requests at cold targets, in a hall's scheduler.

Owns, in memory, when this scheduler granted requests to targets that may be cold, and since when it
has which share of a hall's targets. Relies on `ColdTargets` for what is cold and on `_cold_shares`
for how much of the bound this scheduler may grant.
"""

from collections import deque
from collections.abc import Callable
from math import inf

from ..targets import Target
from ._cold_shares import (
    GRANT_WINDOW_S,
    SETTLED_AFTER_S,
    ColdAllotment,
    ColdBound,
    allot_cold_requests,
)
from ._cold_targets import ColdTargets

__all__ = ["ColdPacer"]


class ColdPacer:
    """Spaces and counts the requests that a hall's scheduler grants to cold targets.

    Parameters
    ----------
    cold : ColdTargets
        Which targets are cold, and what they bear.
    share : callable
        Returns the share (0 to 1) of a target's requests that this scheduler may grant now, by the
        hall of the target. It must be 0 as soon as another scheduler may lead the hall.
    hall : str, optional
        Hall of the scheduler. Since when it leads that hall is recorded even while the hall has no
        targets, as before it comes back.

    Notes
    -----
    The first grant comes a full interval after this scheduler has got its share, as its predecessor
    may have granted a request just before. Grants are counted also while a target is not known to
    be cold. When it turns cold, those of the last `GRANT_WINDOW_S` count towards its bound.

    Examples
    --------
    >>> from ferrydock.configuration import ColdSpec, ServiceSpec
    >>> service = ServiceSpec("s", 100, None, ColdSpec(rate_per_s=23.0, start_s=6.0))
    >>> cold = ColdTargets(lambda name: service, overshoot=1.5, slack=5.0)
    >>> target = Target("t", "s", "", "h", 8, age_mark=(7, 1), cold_for_s=20.0)
    >>> pacer = ColdPacer(cold, lambda hall: 0.75)
    >>> round(pacer.wait_s(target, 0.0), 3), pacer.wait_s(target, 1.0)
    (0.164, 0.0)
    >>> pacer.note_granted(target, 1.0); round(pacer.wait_s(target, 1.0), 3)
    0.164
    """

    __slots__ = ("_granted_s", "_next_s", "_rates_per_s", "_shares", "cold", "hall", "share")

    def __init__(self, cold: ColdTargets, share: Callable[[str], float], hall: str = ""):
        self.cold = cold
        self.share = share
        self.hall = hall
        self._granted_s: dict[str, deque[float]] = {}
        self._next_s: dict[str, float] = {}
        self._rates_per_s: dict[str, float] = {}
        # Share of each hall's targets, and the local time since which it has not risen.
        self._shares: dict[str, tuple[float, float]] = {}

    def wait_s(self, target: Target, now_s: float) -> float:
        """Return in how many seconds a request to a target is permitted; 0 if it is not cold.

        Never longer than the target stays cold, since nothing bounds its requests afterwards.
        """
        bound = self.cold.bound(target, now_s)
        if bound is None:
            self._rates_per_s.pop(target.target_id, None)
            self._next_s.pop(target.target_id, None)
            return 0.0
        share, since_s = self._current_share(target.hall, now_s)
        wait_s = self._bound_wait_s(target.target_id, bound, share, since_s, now_s)
        return min(wait_s, self.cold.remaining_s(target, now_s))

    def _bound_wait_s(
        self, target_id: str, bound: ColdBound, share: float, since_s: float, now_s: float
    ) -> float:
        """Return in how many seconds the bound permits a request; infinite for never."""
        settled = allot_cold_requests(bound, share, is_settled=True)
        allotment = settled
        if now_s - since_s < SETTLED_AFTER_S:
            allotment = allot_cold_requests(bound, share, is_settled=False)
        self._rates_per_s[target_id] = allotment.rate_per_s or settled.rate_per_s
        if not settled.window_requests:
            return inf
        if not allotment.window_requests:
            return since_s + SETTLED_AFTER_S - now_s
        return max(
            0.0,
            since_s + 1.0 / allotment.rate_per_s - now_s,
            self._window_wait_s(target_id, allotment, now_s),
            self._next_s.get(target_id, now_s) - allotment.burst_s - now_s,
        )

    def _window_wait_s(self, target_id: str, allotment: ColdAllotment, now_s: float) -> float:
        """Return in how many seconds one more grant is within the number for each window."""
        granted_s = self._granted_s.get(target_id)
        if granted_s is None or len(granted_s) < allotment.window_requests:
            return 0.0
        return granted_s[-allotment.window_requests] + GRANT_WINDOW_S - now_s

    def rate_per_s(self, target: Target) -> float | None:
        """Return the rate of the last call of `wait_s`; None if the target was not cold."""
        return self._rates_per_s.get(target.target_id)

    def note_granted(self, target: Target, now_s: float) -> None:
        """Count a granted request, for which `wait_s` has returned 0."""
        if self.cold.spec(target) is None:
            return
        granted_s = self._granted_s.setdefault(target.target_id, deque())
        while granted_s and now_s - granted_s[0] >= GRANT_WINDOW_S:
            granted_s.popleft()
        granted_s.append(now_s)
        rate_per_s = self._rates_per_s.get(target.target_id)
        if rate_per_s:
            next_s = max(now_s, self._next_s.get(target.target_id, now_s))
            self._next_s[target.target_id] = next_s + 1.0 / rate_per_s

    def prune(self, now_s: float) -> None:
        """Remove old grants; record the shares that this scheduler has of all halls' targets."""
        for target_id, granted_s in list(self._granted_s.items()):
            if now_s - granted_s[-1] >= GRANT_WINDOW_S:
                del self._granted_s[target_id]
                self._next_s.pop(target_id, None)
        own_hall = {self.hall} if self.hall else set()
        for hall in self.cold.halls() | own_hall:
            self._current_share(hall, now_s)

    def reset(self) -> None:
        """Record that another scheduler grants requests; the counted grants stay."""
        self._shares.clear()

    def _current_share(self, hall: str, now_s: float) -> tuple[float, float]:
        """Return the share of a hall's targets, and since when this scheduler has it."""
        share = self.share(hall)
        known_share, since_s = self._shares.get(hall, (0.0, now_s))
        self._shares[hall] = (share, now_s if share > known_share else since_s)
        return self._shares[hall]
