"""Enforces the rate limits of targets: in a hall's scheduler, and in a daemon without a scheduler.

Owns, in memory, when each target under a rate limit may get its next request. Relies on
`RateLimits` for the limits and on `_shares` for the share of them that may be used. A target may be
bounded by a limit that it has named, by being cold, or by both: `ColdPacer` enforces the second.
"""

from collections import deque
from collections.abc import Callable
from math import inf

from ..targets import Target
from ._cold_pacing import ColdPacer
from ._cold_targets import ColdTargets
from ._rate_limits import RateLimits
from ._shares import LEADERLESS_WINDOW_S, MIN_RATE_PER_S, burst_allowance_s, leaderless_requests

__all__ = ["HallPacer", "LeaderlessPacer"]


class HallPacer:
    """Spaces the requests that a hall's scheduler grants to targets under a rate limit.

    Parameters
    ----------
    limits : RateLimits
        Rate limits of targets.
    share : callable
        Returns the share (0 to 1) of a limit that this scheduler may grant, by the hall of the
        target.
    cold : ColdPacer, optional
        Bounds the requests to cold targets as well; by default no target is cold.

    Notes
    -----
    The first grant for a target is permitted a full interval after the first call of `wait_s` for
    it, since a scheduler that has just started does not know what the previous one has granted.

    Examples
    --------
    >>> limits = RateLimits()
    >>> limits.note("t", 2.0, sent_s=0.0, now_s=0.0)
    True
    >>> pacer, target = HallPacer(limits, lambda hall: 1.0), Target("t", "s", "", "h", 1)
    >>> pacer.wait_s(target, 0.0), pacer.wait_s(target, 0.5)
    (0.5, 0.0)
    >>> pacer.note_granted(target, 0.5); pacer.wait_s(target, 0.6)
    0.4
    """

    __slots__ = ("_next_permitted_s", "cold", "limits", "share")

    def __init__(
        self, limits: RateLimits, share: Callable[[str], float], cold: ColdPacer | None = None
    ):
        self.limits = limits
        self.share = share
        self.cold = cold or ColdPacer(ColdTargets(), share)
        self._next_permitted_s: dict[str, float] = {}

    def rate_per_s(self, target: Target) -> float | None:
        """Return how many requests a second may be granted; None if nothing bounds them."""
        limited_per_s, cold_per_s = self._limited_per_s(target), self.cold.rate_per_s(target)
        if limited_per_s is None or cold_per_s is None:
            return cold_per_s if limited_per_s is None else limited_per_s
        return min(limited_per_s, cold_per_s)

    def _limited_per_s(self, target: Target) -> float | None:
        """Return how many requests a second its limit permits; None if it has no limit."""
        limit = self.limits.rate_per_s(target.target_id)
        return None if limit is None else max(limit, MIN_RATE_PER_S) * self.share(target.hall)

    def wait_s(self, target: Target, now_s: float) -> float:
        """Return in how many seconds a request to a target is permitted; infinite for never.

        The first call for a target under a rate limit starts its first interval.
        """
        return max(self._limit_wait_s(target, now_s), self.cold.wait_s(target, now_s))

    def _limit_wait_s(self, target: Target, now_s: float) -> float:
        """Return in how many seconds the limit of a target permits a request."""
        rate_per_s = self._limited_per_s(target)
        if rate_per_s is None:
            self._next_permitted_s.pop(target.target_id, None)
            return 0.0
        if rate_per_s <= 0:
            return inf
        allowance_s = burst_allowance_s(rate_per_s)
        latest_s = now_s + allowance_s + 1.0 / rate_per_s
        next_s = min(self._next_permitted_s.get(target.target_id, latest_s), latest_s)
        self._next_permitted_s[target.target_id] = next_s
        return max(0.0, next_s - allowance_s - now_s)

    def note_granted(self, target: Target, now_s: float) -> None:
        """Count a granted request, for which `wait_s` has returned 0."""
        self.cold.note_granted(target, now_s)
        rate_per_s = self._limited_per_s(target)
        if rate_per_s:
            next_s = max(now_s, self._next_permitted_s[target.target_id])
            self._next_permitted_s[target.target_id] = next_s + 1.0 / rate_per_s

    def prune(self, now_s: float | None = None) -> None:
        """Remove targets without a rate limit and, if the time is given, old grants."""
        if now_s is not None:
            self.cold.prune(now_s)
        for target_id in [i for i in self._next_permitted_s if self.limits.rate_per_s(i) is None]:
            del self._next_permitted_s[target_id]

    def reset(self) -> None:
        """Remove all targets, since another scheduler grants requests.

        If this scheduler grants requests again, each target starts with a full interval.
        """
        self._next_permitted_s.clear()
        self.cold.reset()


class LeaderlessPacer:
    """Bounds the requests that a daemon without a scheduler sends to targets under a rate limit.

    Parameters
    ----------
    limits : RateLimits
        Rate limits of targets.
    daemons : callable
        Returns the number of daemons of the site.
    cold : ColdTargets, optional
        The cold targets, which get no requests of a daemon without a scheduler (`_cold_shares`).

    Examples
    --------
    >>> limits = RateLimits()
    >>> limits.note("t", 10.0, sent_s=0.0, now_s=0.0)
    True
    >>> pacer = LeaderlessPacer(limits, lambda: 9)
    >>> pacer.may_send("t", 1.0), pacer.may_send("unlimited", 1.0)
    (True, True)
    >>> pacer.note_sent("t", 1.0); pacer.may_send("t", 4.9), pacer.may_send("t", 5.0)
    (False, True)
    """

    __slots__ = ("_sent_s", "cold", "daemons", "limits")

    def __init__(
        self, limits: RateLimits, daemons: Callable[[], int], cold: ColdTargets | None = None
    ):
        self.limits = limits
        self.daemons = daemons
        self.cold = cold or ColdTargets()
        self._sent_s: dict[str, deque[float]] = {}

    def may_send_to(self, target: Target, now_s: float) -> bool:
        """Return whether a request to a target is permitted now; never to a cold one."""
        if self.cold.remaining_s(target, now_s) > 0:
            return False
        return self.may_send(target.target_id, now_s)

    def may_send(self, target_id: str, now_s: float) -> bool:
        """Return whether the limit of a target permits a request now."""
        limit = self.limits.rate_per_s(target_id)
        if limit is None:
            self._sent_s.pop(target_id, None)
            return True
        sent_s = self._sent_s.get(target_id, deque())
        while sent_s and now_s - sent_s[0] >= LEADERLESS_WINDOW_S:
            sent_s.popleft()
        return len(sent_s) < leaderless_requests(limit, self.daemons())

    def note_sent(self, target_id: str, now_s: float) -> None:
        """Count a request that is sent to a target."""
        if self.limits.rate_per_s(target_id) is not None:
            self._sent_s.setdefault(target_id, deque()).append(now_s)

    def prune(self, now_s: float) -> None:
        """Remove targets to which nothing was sent for `LEADERLESS_WINDOW_S`."""
        for target_id, sent_s in list(self._sent_s.items()):
            if not sent_s or now_s - sent_s[-1] >= LEADERLESS_WINDOW_S:
                del self._sent_s[target_id]
