"""Rules that bound the log lines on what others can cause as often as they like.

`LineLimit` owns the times of the last lines; `LastTimes` when each key was last noted.
"""

from collections import deque
from typing import Generic, TypeVar

__all__ = ["LastTimes", "LineLimit"]


class LineLimit:
    """Bounds the number of lines in any period, and counts those left out.

    Parameters
    ----------
    max_lines : int
        Number of lines that may be written within `period_s`.
    period_s : float
        Length of the period, in seconds.

    Examples
    --------
    >>> limit = LineLimit(2, period_s=1.0)
    >>> [limit.admits(now_s) for now_s in (0.0, 0.5, 0.9, 1.0)], limit.take_left_out()
    ([True, True, False, True], 1)
    >>> limit.take_left_out() is None
    True
    """

    __slots__ = ("_left_out", "_times_s", "period_s")

    def __init__(self, max_lines: int, period_s: float):
        self.period_s = period_s
        self._times_s: deque[float] = deque(maxlen=max_lines)
        self._left_out = 0

    def admits(self, now_s: float) -> bool:
        """Return whether a line may be written now; count it as written or as left out."""
        is_full = len(self._times_s) == self._times_s.maxlen
        if is_full and now_s - self._times_s[0] < self.period_s:
            self.leave_out()
            return False
        self._times_s.append(now_s)
        return True

    def leave_out(self) -> None:
        """Count a line that is left out for a reason of its own."""
        self._left_out += 1

    def take_left_out(self) -> int | None:
        """Return how many lines were left out since the last call, for the next line; None for 0.

        A field that is None is omitted from a line.
        """
        left_out, self._left_out = self._left_out, 0
        return left_out or None


Key = TypeVar("Key")


class LastTimes(dict[Key, float], Generic[Key]):
    """Last time at which each key was noted, in seconds; the oldest of too many are removed.

    Examples
    --------
    >>> times = LastTimes(max_keys=2)
    >>> for number, key in enumerate("abac"):
    ...     times.note(key, float(number))
    >>> times, times.is_within("a", 3.0, now_s=4.0), times.is_within("b", 3.0, now_s=4.0)
    ({'a': 2.0, 'c': 3.0}, True, False)
    """

    __slots__ = ("max_keys",)

    def __init__(self, max_keys: int):
        super().__init__()
        self.max_keys = max_keys

    def note(self, key: Key, now_s: float) -> None:
        """Record that a key is noted now."""
        self.pop(key, None)
        self[key] = now_s
        if len(self) > self.max_keys:
            del self[next(iter(self))]

    def is_within(self, key: Key, period_s: float, now_s: float) -> bool:
        """Return whether a key was noted less than `period_s` ago."""
        return now_s - self.get(key, float("-inf")) < period_s
