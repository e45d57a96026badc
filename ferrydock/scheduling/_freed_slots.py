"""How fast slots become free for queued requests, and when refused requests may return.

Owns the grants of the last seconds and the return times given out, in memory, for as long as
requests with these needs are queued. Relies on the owner of the queue to count its grants.
"""

from dataclasses import dataclass
from math import exp

__all__ = ["FreedSlots"]

# Time constant of the rate: longer than the gaps between grants, shorter than a burst.
RATE_TIME_S = 1.0

# No rate is known before grants have been observed for this time.
MIN_OBSERVATION_S = 0.5

# Latest return time. By then the grants that put a team over its share have decayed
# (`teams.TeamShares`). Callers that ignore the times that they are told would otherwise move those
# of others by minutes.
MAX_RETURN_S = 10.0


@dataclass(slots=True)
class FreedSlots:
    """Rate of slots that queued requests of one kind get, and the return times of refused ones.

    Refused callers are told to return one after the other, as fast as slots become free, and not
    before those that are queued now have been served. When the times reach `MAX_RETURN_S`, they
    begin again. Answers a load far above the capacity: the callers would otherwise return together,
    and be refused again.

    Parameters
    ----------
    observed_from_s : float
        Local time from which grants are counted.

    Examples
    --------
    >>> freed = FreedSlots(0.0)
    >>> for tenth in range(1, 21):
    ...     freed.count(tenth / 10)
    >>> 9 < freed.rate_per_s(2.0) < 11
    True
    >>> [round(freed.return_after_s(20, 2.0), 1) for _ in range(3)]
    [1.9, 2.0, 2.1]
    """

    observed_from_s: float
    _grants: float = 0.0
    _counted_s: float = 0.0
    _next_return_s: float = 0.0

    def count(self, now_s: float) -> None:
        """Count a slot granted to a queued request, or to a new one while others are queued."""
        self._grants = self._decayed_grants(now_s) + 1
        self._counted_s = now_s

    def rate_per_s(self, now_s: float) -> float | None:
        """Return the slots that become free in a second; None if observed for too short a time."""
        observed_s = now_s - self.observed_from_s
        if observed_s < MIN_OBSERVATION_S:
            return None
        return self._decayed_grants(now_s) / RATE_TIME_S / (1 - exp(-observed_s / RATE_TIME_S))

    def return_after_s(self, queued: int, now_s: float) -> float:
        """Return in how many seconds a refused caller may return, if `queued` requests go first."""
        rate_per_s = self.rate_per_s(now_s)
        if not rate_per_s:
            return MAX_RETURN_S
        first_s = now_s + queued / rate_per_s
        next_s = max(first_s, self._next_return_s + 1 / rate_per_s)
        self._next_return_s = next_s if next_s < now_s + MAX_RETURN_S else first_s
        return min(self._next_return_s - now_s, MAX_RETURN_S)

    def _decayed_grants(self, now_s: float) -> float:
        return self._grants * exp((self._counted_s - now_s) / RATE_TIME_S)
