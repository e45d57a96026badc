"""A budget that limits retries to a small ratio of the first attempts.

Owns the number of available retries, in memory. The table's daemon uses one budget for all
requests, the route daemon one for each service (`route_daemon.RetryShares`).
"""

import random

__all__ = ["DEFAULT_RETRY_RATIO", "RetryBudget", "backoff_s"]

# Ratio of retries to first attempts until the table sets one.
DEFAULT_RETRY_RATIO = 0.1

# How many retries may be saved up, and how many a new budget starts with.
MAX_SAVED_RETRIES = 20.0
INITIAL_RETRIES = 5.0

# Longest pause before the first retry, and before any later one.
BACKOFF_START_S = 0.05
BACKOFF_MAX_S = 1.0


class RetryBudget:
    """Counts available retries: each first attempt adds `ratio`, each retry costs 1.

    Parameters
    ----------
    ratio : float
        Ratio of retries to first attempts, over time.
    max_saved : float, default=MAX_SAVED_RETRIES
        How many retries may be saved up.
    initial : float, default=INITIAL_RETRIES
        Retries that are available before any first attempt.

    Attributes
    ----------
    spent : int
        Retries that the budget has paid for.
    refused : int
        Retries that it has refused.

    Examples
    --------
    >>> budget = RetryBudget(0.5)
    >>> sum(budget.spend() for _ in range(20))
    5
    >>> budget.first_attempt(); budget.first_attempt()
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    __slots__ = ("_available", "max_saved", "ratio", "refused", "spent")

    def __init__(
        self, ratio: float, max_saved: float = MAX_SAVED_RETRIES, initial: float = INITIAL_RETRIES
    ):
        self.ratio = ratio
        self.max_saved = max_saved
        self._available = initial
        self.spent = 0
        self.refused = 0

    @property
    def available(self) -> float:
        """Number of available retries."""
        return self._available

    def first_attempt(self) -> None:
        """Count a first attempt."""
        self._available = min(self.max_saved, self._available + self.ratio)

    def set_max_saved(self, max_saved: float) -> None:
        """Change how many retries may be saved up; any beyond that are dropped."""
        self.max_saved = max_saved
        self._available = min(self._available, max_saved)

    def spend(self) -> bool:
        """Pay for one retry; return False if none is available."""
        if self._available < 1:
            self.refused += 1
            return False
        self._available -= 1
        self.spent += 1
        return True

    def put_back(self) -> None:
        """Return what was paid for a retry that was not made."""
        self._available = min(self.max_saved, self._available + 1)
        self.spent -= 1


def backoff_s(attempt: int, random_source: random.Random) -> float:
    """Return the pause before retry number `attempt` (from 1): exponential, with full jitter."""
    max_pause_s = min(BACKOFF_MAX_S, BACKOFF_START_S * 2 ** (attempt - 1))
    return random_source.uniform(0, max_pause_s)
