"""A budget that keeps retries a small part of the first attempts.

Owns the retries saved up, in memory. Both programs use it: the table's daemon with one budget for
all requests, the route daemon with one for each service (`route_daemon.RetryShares`).
"""

import random

__all__ = ["DEFAULT_RETRY_RATIO", "RetryBudget", "backoff_s"]

# Retries as a part of first attempts until the table names a ratio. Chosen, not measured.
DEFAULT_RETRY_RATIO = 0.1

# Retries that may be saved up, and that a new budget starts with. Chosen, not measured.
MAX_SAVED = 20.0
START = 5.0

# Pause before the first retry and the longest pause before a later one. Chosen, not measured.
BACKOFF_START_S = 0.05
BACKOFF_MAX_S = 1.0


class RetryBudget:
    """Each first attempt pays in `ratio`, each retry costs 1.

    Parameters
    ----------
    ratio : float
        Retries as a part of the first attempts, over time.
    max_saved : float, default=MAX_SAVED
        How many retries may be saved up.
    start : float, default=START
        Retries that may be spent before any first attempt.

    Examples
    --------
    >>> budget = RetryBudget(0.5)
    >>> sum(budget.spend() for _ in range(20))
    5
    >>> budget.first_attempt(); budget.first_attempt()
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    __slots__ = ("_saved", "max_saved", "ratio", "refused", "spent")

    def __init__(self, ratio: float, max_saved: float = MAX_SAVED, start: float = START):
        self.ratio = ratio
        self.max_saved = max_saved
        self._saved = start
        self.spent = 0
        self.refused = 0

    @property
    def left(self) -> float:
        """Retries that may be spent now."""
        return self._saved

    def first_attempt(self) -> None:
        """Note a first attempt."""
        self._saved = min(self.max_saved, self._saved + self.ratio)

    def limit(self, max_saved: float) -> None:
        """Change how many retries may be saved up."""
        self.max_saved = max_saved
        self._saved = min(self._saved, max_saved)

    def spend(self) -> bool:
        """Pay for one retry, if there is enough."""
        if self._saved < 1:
            self.refused += 1
            return False
        self._saved -= 1
        self.spent += 1
        return True


def backoff_s(attempt: int, random_source: random.Random) -> float:
    """Return a pause before retry number `attempt` (from 1), exponential with full jitter."""
    max_s = min(BACKOFF_MAX_S, BACKOFF_START_S * 2 ** (attempt - 1))
    return random_source.uniform(0, max_s)
