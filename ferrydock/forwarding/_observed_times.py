"""Observed request times: time to the first bytes, pauses in streams, and callers' deadlines.

Used by `_admission` and `_stalls`. Owns the most recent observations by model and by route, in
memory only, so that a daemon that has just started has none.
"""

from collections import deque
from collections.abc import Collection

__all__ = ["MAX_OBSERVATIONS", "MIN_OBSERVATIONS", "ObservedTimes", "quantile_of"]

# Most recent observations kept for each model and each route. At two to ten requests a second they
# are 6 to 30 s old at most.
MAX_OBSERVATIONS = 64

# Observations below which a quantile is not computed.
MIN_OBSERVATIONS = 8

# Share of the requests that targets answer within the usual time to the first bytes. With the
# median, half of the requests that waited for a slot as long as allowed would be late.
FIRST_BYTES_QUANTILE = 0.9

# Share of the streams whose longest pause is within the usual one. Below 1, because a few streams
# pause on account of this daemon or of a slow reader.
PAUSE_QUANTILE = 0.95

# Quantile of the remaining times of a route's requests that is taken as the time a caller gives a
# request it sends for the first time. Repeated requests have less time left, and up to three in
# four requests may be repeated; a few callers give more time than the rest.
DEADLINE_QUANTILE = 0.75

# Smaller differences in remaining time count as none: callers round it, and sending takes time. The
# shortest Retry-After of a refusal is several times as long.
MIN_REQUEST_AGE_S = 0.15


class ObservedTimes:
    """Times to the first bytes and pauses by service and model, and callers' deadlines by route.

    Examples
    --------
    >>> times = ObservedTimes()
    >>> times.usual_first_s("engines", "large")
    >>> for tenths in range(1, 11):
    ...     times.record_first_bytes("engines", "large", tenths / 10)
    >>> times.usual_first_s("engines", "large")
    1.0
    >>> [times.request_age_s("r", left_s) for left_s in (6.0,) * 8 + (5.2, 6.0)]
    [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.7999999999999998, 0.0]
    """

    __slots__ = ("_first_bytes_s", "_remaining_s", "_pauses_s")

    def __init__(self):
        self._first_bytes_s: dict[tuple[str, str], deque[float]] = {}
        self._remaining_s: dict[str, deque[float]] = {}
        self._pauses_s: dict[tuple[str, str], deque[float]] = {}

    def record_longest_pause(self, service: str, model: str, pause_s: float) -> None:
        """Record the longest pause between two events of a stream that one target completed."""
        self._pauses_s.setdefault((service, model), deque(maxlen=MAX_OBSERVATIONS)).append(pause_s)

    def usual_pause_s(self, service: str, model: str) -> float | None:
        """Return the pause that 19 of 20 streams do not exceed; None with too few observations."""
        return quantile_of(self._pauses_s.get((service, model), ()), PAUSE_QUANTILE)

    def record_first_bytes(self, service: str, model: str, first_s: float) -> None:
        """Record the time from sending a request to the first bytes of its answer."""
        self._first_bytes_s.setdefault((service, model), deque(maxlen=MAX_OBSERVATIONS)).append(
            first_s
        )

    def usual_first_s(self, service: str, model: str) -> float | None:
        """Return the time to first bytes that nine of ten requests keep to; None if unknown."""
        return quantile_of(self._first_bytes_s.get((service, model), ()), FIRST_BYTES_QUANTILE)

    def request_age_s(self, route: str, left_s: float) -> float:
        """Estimate how many seconds ago a caller first sent its request; 0 if it is not repeated.

        All callers of a route are assumed to give their requests the same time, so one with less
        of it left has sent its request before.

        Parameters
        ----------
        left_s : float
            Time until the caller's deadline.
        """
        observed_s = self._remaining_s.setdefault(route, deque(maxlen=MAX_OBSERVATIONS))
        observed_s.append(left_s)
        usual_s = quantile_of(observed_s, DEADLINE_QUANTILE)
        age_s = usual_s - left_s if usual_s is not None else 0.0
        return age_s if age_s >= MIN_REQUEST_AGE_S else 0.0


def quantile_of(observed: Collection[float], quantile: float) -> float | None:
    """Return a quantile of observations; None with fewer than `MIN_OBSERVATIONS`."""
    if len(observed) < MIN_OBSERVATIONS:
        return None
    return sorted(observed)[min(len(observed) - 1, int(quantile * len(observed)))]
