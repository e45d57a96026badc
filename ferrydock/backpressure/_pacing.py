"""Keeping to the limits of targets: as a hall's scheduler, and as a daemon that decides alone.

Owns when the next request may go to each target under a limit, in memory. Relies on `RateLimits`
for the limits and on `_shares` for the part of them that may be used.
"""

from collections import deque
from collections.abc import Callable
from math import inf

from ..targets import Target
from ._rate_limits import RateLimits
from ._shares import LONE_WINDOW_S, MIN_RATE_PER_S, burst_s, lone_requests

__all__ = ["HallPacer", "LonePacer"]


class HallPacer:
    """Spaces the requests that a hall's scheduler grants to targets under a limit.

    Parameters
    ----------
    limits : RateLimits
        Limits that targets have named.
    share : callable
        Returns the part of a limit that this scheduler may grant, by the hall of the target; 0 for
        nothing.

    Notes
    -----
    The first grant comes a full interval after the target was first looked at: a scheduler that has
    just begun does not know what another one has granted.

    Examples
    --------
    >>> limits = RateLimits()
    >>> limits.note("t", 2.0, sent_s=0.0, now_s=0.0)
    True
    >>> pacer, target = HallPacer(limits, lambda hall: 1.0), Target("t", "s", "", "h", 1)
    >>> pacer.wait_s(target, 0.0), pacer.wait_s(target, 0.5)
    (0.5, 0.0)
    >>> pacer.take(target, 0.5); pacer.wait_s(target, 0.6)
    0.4
    """

    __slots__ = ("_turns_s", "limits", "share")

    def __init__(self, limits: RateLimits, share: Callable[[str], float]):
        self.limits = limits
        self.share = share
        self._turns_s: dict[str, float] = {}

    def rate_per_s(self, target: Target) -> float | None:
        """Return how many requests a second may be granted; None if the target has no limit."""
        limit = self.limits.rate_per_s(target.target_id)
        return None if limit is None else max(limit, MIN_RATE_PER_S) * self.share(target.hall)

    def wait_s(self, target: Target, now_s: float) -> float:
        """Return in how many seconds a request may go to a target; infinite for never.

        The first look at a target under a limit begins its first interval.
        """
        rate_per_s = self.rate_per_s(target)
        if rate_per_s is None:
            self._turns_s.pop(target.target_id, None)
            return 0.0
        if rate_per_s <= 0:
            return inf
        early_s = burst_s(rate_per_s)
        latest_s = now_s + early_s + 1.0 / rate_per_s
        turn_s = min(self._turns_s.get(target.target_id, latest_s), latest_s)
        self._turns_s[target.target_id] = turn_s
        return max(0.0, turn_s - early_s - now_s)

    def take(self, target: Target, now_s: float) -> None:
        """Count a request that is granted, which `wait_s` allows now."""
        rate_per_s = self.rate_per_s(target)
        if rate_per_s:
            turn_s = max(now_s, self._turns_s[target.target_id])
            self._turns_s[target.target_id] = turn_s + 1.0 / rate_per_s

    def tidy(self) -> None:
        """Drop targets that have no limit any more."""
        for target_id in [i for i in self._turns_s if self.limits.rate_per_s(i) is None]:
            del self._turns_s[target_id]

    def forget(self) -> None:
        """Drop what was granted: another scheduler grants now, and this one begins anew."""
        self._turns_s.clear()


class LonePacer:
    """Bounds the requests that a daemon sends by itself to targets under a limit.

    Parameters
    ----------
    daemons : callable
        Returns how many daemons the site has.

    Examples
    --------
    >>> limits = RateLimits()
    >>> limits.note("t", 10.0, sent_s=0.0, now_s=0.0)
    True
    >>> pacer = LonePacer(limits, lambda: 9)
    >>> pacer.may_send("t", 1.0), pacer.may_send("free", 1.0)
    (True, True)
    >>> pacer.note_sent("t", 1.0); pacer.may_send("t", 4.9), pacer.may_send("t", 5.0)
    (False, True)
    """

    __slots__ = ("_sent_s", "daemons", "limits")

    def __init__(self, limits: RateLimits, daemons: Callable[[], int]):
        self.limits = limits
        self.daemons = daemons
        self._sent_s: dict[str, deque[float]] = {}

    def may_send(self, target_id: str, now_s: float) -> bool:
        """Return whether a request may go to a target now."""
        limit = self.limits.rate_per_s(target_id)
        if limit is None:
            self._sent_s.pop(target_id, None)
            return True
        sent_s = self._sent_s.get(target_id, deque())
        while sent_s and now_s - sent_s[0] >= LONE_WINDOW_S:
            sent_s.popleft()
        return len(sent_s) < lone_requests(limit, self.daemons())

    def note_sent(self, target_id: str, now_s: float) -> None:
        """Count a request that goes to a target."""
        if self.limits.rate_per_s(target_id) is not None:
            self._sent_s.setdefault(target_id, deque()).append(now_s)

    def tidy(self, now_s: float) -> None:
        """Drop targets to which nothing was sent for a window."""
        for target_id, sent_s in list(self._sent_s.items()):
            if not sent_s or now_s - sent_s[-1] >= LONE_WINDOW_S:
                del self._sent_s[target_id]
