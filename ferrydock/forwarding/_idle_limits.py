"""Rule for how long a caller's connection may be idle while the configured time changes.

Owns the longer times that were configured before. A caller takes up a kept connection by the time
it knows; right after a shorter one came into force, that is the longer one. A connection that is
closed then meets a request on its way, which gets neither an answer nor a refusal.
"""

__all__ = ["IdleLimits"]


class IdleLimits:
    """Longest time configured since a connection became idle; computed without cost per request.

    Examples
    --------
    >>> limits = IdleLimits()
    >>> limits.update(60.0, now_s=0.0)
    >>> limits.update(15.0, now_s=100.0)
    >>> limits.limit_s(idle_since_s=90.0), limits.limit_s(idle_since_s=101.0)
    (60.0, 15.0)
    """

    __slots__ = ("_configured_s", "_earlier")

    def __init__(self):
        self._configured_s = 0.0
        # When a time was replaced by a shorter one, and that time, in seconds.
        self._earlier: list[tuple[float, float]] = []

    def update(self, configured_s: float, now_s: float) -> None:
        """Record the configured time; called about once a second."""
        if configured_s < self._configured_s:
            self._earlier.append((now_s, self._configured_s))
        self._configured_s = configured_s
        self._earlier = [
            (replaced_s, limit_s)
            for replaced_s, limit_s in self._earlier
            if now_s - replaced_s <= limit_s and limit_s > configured_s
        ]

    def limit_s(self, idle_since_s: float) -> float:
        """Return how long a connection that is idle since then may be so, in seconds."""
        longer_s = (limit_s for replaced_s, limit_s in self._earlier if replaced_s > idle_since_s)
        return max(longer_s, default=self._configured_s)
