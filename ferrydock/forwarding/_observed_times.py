"""What a daemon observes of its requests' times, for `_admission` and `_stalls`.

Owns the last observations by model and by route, in memory; a new daemon has none.
"""

from collections import deque

__all__ = ["ObservedTimes"]

# Observations that are kept of each model and of each route. At two to ten requests a second they
# are 6 to 30 s old at most. Chosen, not measured.
KEPT = 64

# Observations below which nothing is said. Chosen, not measured.
ENOUGH = 8

# Part of the requests that a target answers within the usual time. The median would let half of
# those that waited as long as allowed be late. Chosen, not measured.
FIRST_QUANTILE = 0.9

# Part of the streams that show at most the usual longest pause. Not all: a few have stood still
# with this daemon, or with a reader.
PAUSE_QUANTILE = 0.95

# Part of the callers of a route that have at most the usual patience on their first try. Callers
# who came back have less, and up to three in four may have come back; a few have more. Chosen, not
# measured.
PATIENCE_QUANTILE = 0.75

# Smaller differences of patience say nothing: callers round it, and sending takes time. The
# shortest time to come back is several times as long. Chosen, not measured.
MIN_AGE_S = 0.15


class ObservedTimes:
    """Times to the first bytes by service and model, and callers' patience by route.

    Examples
    --------
    >>> times = ObservedTimes()
    >>> times.usual_first_s("engines", "large")
    >>> for tenths in range(1, 11):
    ...     times.answered("engines", "large", tenths / 10)
    >>> times.usual_first_s("engines", "large")
    1.0
    >>> [times.age_s("r", left_s) for left_s in (6.0,) * 8 + (5.2, 6.0)]
    [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.7999999999999998, 0.0]
    """

    __slots__ = ("_first_s", "_left_s", "_pauses_s")

    def __init__(self):
        self._first_s: dict[tuple[str, str], deque[float]] = {}
        self._left_s: dict[str, deque[float]] = {}
        self._pauses_s: dict[tuple[str, str], deque[float]] = {}

    def streamed(self, service: str, model: str, pause_s: float) -> None:
        """Note the longest pause between two events of a stream that one target brought whole."""
        self._pauses_s.setdefault((service, model), deque(maxlen=KEPT)).append(pause_s)

    def usual_pause_s(self, service: str, model: str) -> float | None:
        """Return the longest pause that 19 of 20 streams show; None if unknown."""
        return _quantile(self._pauses_s.get((service, model), ()), PAUSE_QUANTILE)

    def answered(self, service: str, model: str, first_s: float) -> None:
        """Note the time from sending a request to the first bytes of its answer."""
        self._first_s.setdefault((service, model), deque(maxlen=KEPT)).append(first_s)

    def usual_first_s(self, service: str, model: str) -> float | None:
        """Return the time within which nine of ten requests are answered; None if unknown."""
        return _quantile(self._first_s.get((service, model), ()), FIRST_QUANTILE)

    def age_s(self, route: str, left_s: float) -> float:
        """Return how long ago a caller probably tried first, from the time that it has left.

        All callers of a route have the same patience, so one with less of it left has tried before.
        """
        seen = self._left_s.setdefault(route, deque(maxlen=KEPT))
        seen.append(left_s)
        usual_s = _quantile(seen, PATIENCE_QUANTILE)
        age_s = usual_s - left_s if usual_s is not None else 0.0
        return age_s if age_s >= MIN_AGE_S else 0.0


def _quantile(observed, part: float) -> float | None:
    if len(observed) < ENOUGH:
        return None
    return sorted(observed)[min(len(observed) - 1, int(part * len(observed)))]
