"""Limit on the loads from the weight store that a hall may begin: its share of the site's bound.

Owns the times of the loads that this controller has begun, in memory. Those that the hall's leader
before it has begun are not known: `close_for_window` lets them count as the whole share.
"""

from collections import deque

__all__ = ["WeightLoadBudget"]


class WeightLoadBudget:
    """Limits the loads that begin within a sliding window.

    Parameters
    ----------
    window_s : float
        Length of the window.

    Examples
    --------
    >>> budget = WeightLoadBudget(5.0)
    >>> budget.begin(2, now_s=0.0)
    >>> budget.remaining(3, now_s=1.0), budget.remaining(3, now_s=5.5)
    (1, 3)
    >>> budget.close_for_window(now_s=10.0)
    >>> budget.remaining(3, now_s=14.0), budget.remaining(3, now_s=15.5)
    (0, 3)
    """

    __slots__ = ("_begun_s", "_closed_until_s", "window_s")

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._begun_s: deque[float] = deque()
        self._closed_until_s = float("-inf")

    def begin(self, loads: int, now_s: float) -> None:
        """Count `loads` loads as begun at `now_s`."""
        self._begun_s.extend([now_s] * loads)

    def close_for_window(self, now_s: float) -> None:
        """Let no load begin for one window: as many as are allowed may just have begun."""
        self._closed_until_s = now_s + self.window_s

    def open(self) -> None:
        """Let loads begin as far as those that were counted allow it."""
        self._closed_until_s = float("-inf")

    def remaining(self, max_loads: int, now_s: float) -> int:
        """Return how many more loads may begin now, given `max_loads` per window."""
        while self._begun_s and now_s - self._begun_s[0] > self.window_s:
            self._begun_s.popleft()
        if now_s <= self._closed_until_s:
            return 0
        return max(0, max_loads - len(self._begun_s))
