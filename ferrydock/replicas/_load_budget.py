"""How many loads from the weight store may begin: a hall's part of the site's bound.

Owns the times of the loads that this controller began, in memory.
"""

from collections import deque

__all__ = ["WeightLoadBudget"]


class WeightLoadBudget:
    """Counts loads in a sliding window.

    Parameters
    ----------
    window_s : float
        Length of the window.

    Examples
    --------
    >>> budget = WeightLoadBudget(5.0)
    >>> budget.begin(2, now_s=0.0)
    >>> budget.left(3, now_s=1.0), budget.left(3, now_s=5.5)
    (1, 3)
    """

    __slots__ = ("_begun_s", "window_s")

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._begun_s: deque[float] = deque()

    def begin(self, loads: int, now_s: float) -> None:
        """Count loads that begin."""
        self._begun_s.extend([now_s] * loads)

    def left(self, max_loads: int, now_s: float) -> int:
        """Return how many more may begin now, if `max_loads` may within the window."""
        while self._begun_s and now_s - self._begun_s[0] > self.window_s:
            self._begun_s.popleft()
        return max(0, max_loads - len(self._begun_s))
