"""Rule: how long a store that cannot be reached is left alone. Owns the number of failed calls."""

import random

__all__ = ["StoreBackoff"]

# Pauses between calls to a store that cannot be reached: the first, the longest, and the longest of
# a daemon whose hall depends on it. Measured in docs/MEASUREMENTS.md, second sitting, "a store that
# is away is left alone".
FIRST_PAUSE_S = 0.4
MAX_PAUSE_S = 2.0
MAX_URGENT_PAUSE_S = 0.6
PAUSE_JITTER = (0.8, 1.2)

# Beyond this the doubled pause is above the longest anyway.
MAX_DOUBLINGS = 8


class StoreBackoff:
    """Pauses between calls to a store that cannot be reached.

    Notes
    -----
    Once nobody relays, all daemons of a hall read the store, so an outage is met by all of them at
    once, and the platform charges each call. A daemon that reads for a whole hall asks again soon;
    the others ask ever less often, and learn from that one first.

    Examples
    --------
    >>> backoff = StoreBackoff(random.Random(1))
    >>> [round(backoff.after_failure(is_urgent=False) / 0.4) for _ in range(4)]
    [1, 2, 4, 5]
    >>> backoff.reset()
    >>> backoff.after_failure(is_urgent=True) < 0.6
    True
    """

    __slots__ = ("failures", "rng")

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.failures = 0

    def reset(self) -> None:
        """Note that the store answered."""
        self.failures = 0

    def after_failure(self, is_urgent: bool) -> float:
        """Return the pause in seconds after one more failure."""
        longest_s = MAX_URGENT_PAUSE_S if is_urgent else MAX_PAUSE_S
        pause_s = min(longest_s, FIRST_PAUSE_S * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        return pause_s * self.rng.uniform(*PAUSE_JITTER)
