"""A token bucket whose rate and burst can be changed at any time.

Owns the number of tokens. Time is passed as an argument, so tests need not wait.
"""

__all__ = ["TokenBucket"]

# By how much rounding errors may leave the bucket short of the tokens to take.
TOLERANCE_TOKENS = 1e-9

# Wait that is reported if the rate is 0, so that the tokens never arrive.
ZERO_RATE_WAIT_S = 3600.0


class TokenBucket:
    """Allows `rate_per_s` tokens a second on average and up to `burst` at once.

    Parameters
    ----------
    rate_per_s : float
        Tokens added in a second.
    burst : float
        Maximum number of tokens in the bucket.
    now_s : float
        Time at which the bucket starts, full.

    Examples
    --------
    >>> bucket = TokenBucket(rate_per_s=2.0, burst=1.0, now_s=0.0)
    >>> bucket.take(0.0), bucket.take(0.1), bucket.take(0.5)
    (True, False, True)
    """

    __slots__ = ("_tokens", "_refilled_s", "burst", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float, now_s: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._refilled_s = now_s

    def _refill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self._refilled_s) * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + gained)
        self._refilled_s = max(now_s, self._refilled_s)

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change rate and burst; tokens beyond the new burst are dropped."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now_s: float, tokens: float = 1.0) -> bool:
        """Take tokens if there are enough; return whether they were taken."""
        self._refill(now_s)
        if self._tokens + TOLERANCE_TOKENS < tokens:
            return False
        self._tokens -= tokens
        return True

    def wait_s(self, now_s: float, tokens: float = 1.0) -> float:
        """Return in how many seconds the bucket will have `tokens` tokens."""
        self._refill(now_s)
        missing = tokens - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0 else ZERO_RATE_WAIT_S
