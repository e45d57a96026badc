"""Rule: how long to pause between calls to an unreachable store; owns the number of failures."""

import random

__all__ = ["StoreBackoff"]

# Pauses between calls to an unreachable store: the first, the longest, and the longest of a daemon
# whose hall depends on its calls.
FIRST_PAUSE_S = 0.4
MAX_PAUSE_S = 2.0
MAX_URGENT_PAUSE_S = 0.6
PAUSE_JITTER = (0.8, 1.2)

# Limits the exponent; the doubled pause exceeds `MAX_PAUSE_S` well before.
MAX_DOUBLINGS = 8


class StoreBackoff:
    """Exponential back-off between calls to an unreachable store.

    Notes
    -----
    While no leader relays the store, all daemons of a hall read it, so all of them call it in an
    outage, and the platform charges for each call. A daemon that reads for a whole hall retries
    soon; the others retry less often with each failure, and are updated by that daemon first.

    Examples
    --------
    >>> backoff = StoreBackoff(random.Random(1))
    >>> [round(backoff.after_failure(is_urgent=False) / 0.4) for _ in range(4)]
    [1, 2, 4, 5]
    >>> backoff.reset()
    >>> backoff.after_failure(is_urgent=True) < 0.6
    True
    """

    __slots__ = ("consecutive_failures", "rng")

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.consecutive_failures = 0

    def reset(self) -> None:
        """Restart from the first pause; called when the store has answered."""
        self.consecutive_failures = 0

    def after_failure(self, is_urgent: bool) -> float:
        """Count a failed call and return the pause before the next one, in seconds.

        The pause is limited to `MAX_URGENT_PAUSE_S` if `is_urgent`, else to `MAX_PAUSE_S`, both
        before jitter.
        """
        max_pause_s = MAX_URGENT_PAUSE_S if is_urgent else MAX_PAUSE_S
        pause_s = min(max_pause_s, FIRST_PAUSE_S * 2**self.consecutive_failures)
        self.consecutive_failures = min(self.consecutive_failures + 1, MAX_DOUBLINGS)
        return pause_s * self.rng.uniform(*PAUSE_JITTER)
