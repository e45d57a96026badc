"""Counts the daemons of a hall: the leader and the followers that poll it.

Owns the times of the followers' calls (in the leader) and the counts received from the leader (in a
follower), in memory. Limits of the whole hall, such as the retry budget, are divided by this count.
It must rather be too large than too small, so that the daemons together stay within the limit.
"""

from collections import deque

__all__ = ["DaemonCounter"]

# Followers that have not polled for longer are not counted. They poll every 0.3 s, and several
# consecutive calls may fail.
FOLLOWER_TIMEOUT_S = 4.0

# The largest count received within this window is used. After a change of leader the followers
# reach the new leader one by one; its first counts are too small and would enlarge each share.
LARGEST_COUNT_WINDOW_S = 15.0

# Assumed until a count is received; near the upper end of the halls of the known sites, which have
# 3 to 20 daemons.
DEFAULT_DAEMONS = 16


class DaemonCounter:
    """Counts the daemons of a hall.

    While no counts arrive, the last one remains in use.

    Examples
    --------
    >>> counter = DaemonCounter()
    >>> counter.daemon_count(now_s=0.0)
    16
    >>> counter.record_request("edge-2", now_s=0.0); counter.record_request("edge-3", now_s=3.0)
    >>> counter.count_daemons(now_s=3.5), counter.count_daemons(now_s=5.0)
    (3, 2)
    >>> counter.receive(3, now_s=5.0); counter.receive(2, now_s=9.0)
    >>> [counter.daemon_count(now_s) for now_s in (10.0, 21.0, 99.0)]
    [3, 2, 2]
    """

    __slots__ = ("_last_request_s", "_received_counts")

    def __init__(self):
        self._last_request_s: dict[str, float] = {}
        self._received_counts: deque[tuple[float, int]] = deque()

    def record_request(self, sender: str, now_s: float) -> None:
        """Record that a follower has polled; `sender` is empty for a daemon of an older version."""
        if sender:
            self._last_request_s[sender] = now_s

    def count_daemons(self, now_s: float) -> int:
        """Return the number of followers that poll this daemon, plus one for this daemon."""
        for sender in [
            s
            for s, requested_s in self._last_request_s.items()
            if now_s - requested_s > FOLLOWER_TIMEOUT_S
        ]:
            del self._last_request_s[sender]
        return 1 + len(self._last_request_s)

    def receive(self, daemons: int, now_s: float) -> None:
        """Add a count received from the hall leader."""
        if self._received_counts and self._received_counts[-1][1] == daemons:
            self._received_counts.pop()
        self._received_counts.append((now_s, daemons))

    def daemon_count(self, now_s: float) -> int:
        """Return the number of daemons among which limits of the hall are divided."""
        while (
            len(self._received_counts) > 1
            and now_s - self._received_counts[0][0] > LARGEST_COUNT_WINDOW_S
        ):
            self._received_counts.popleft()
        return max((daemons for _, daemons in self._received_counts), default=DEFAULT_DAEMONS)
