"""How many daemons a hall has: those that lately followed the one that reads the store."""

from collections import deque

__all__ = ["DaemonCounter"]

HEARD_FOR_S = 4.0
LEARNED_FOR_S = 15.0
GUESS = 16


class DaemonCounter:
    """Counts the daemons of a hall.

    Notes
    -----
    Whatever all daemons share is divided by this number, so it errs towards many: the largest
    number of the last 15 s counts, and a daemon that hears from nobody keeps to what it knew.

    Examples
    --------
    >>> daemon_counter = DaemonCounter()
    >>> daemon_counter.size(now_s=0.0)
    16
    >>> daemon_counter.heard("edge-2", now_s=0.0); daemon_counter.heard("edge-3", now_s=3.0)
    >>> daemon_counter.count_followers(now_s=3.5), daemon_counter.count_followers(now_s=5.0)
    (3, 2)
    >>> daemon_counter.learn(3, now_s=5.0); daemon_counter.learn(2, now_s=9.0)
    >>> [daemon_counter.size(now_s) for now_s in (10.0, 21.0, 99.0)]
    [3, 2, 2]
    """

    __slots__ = ("_heard_s", "_learned")

    def __init__(self):
        self._heard_s: dict[str, float] = {}
        self._learned: deque[tuple[float, int]] = deque()

    def heard(self, sender: str, now_s: float) -> None:
        """Note that a daemon asked for news."""
        if sender:
            self._heard_s[sender] = now_s

    def count_followers(self, now_s: float) -> int:
        """Return how many daemons lately asked, and this one."""
        for sender in [s for s, heard_s in self._heard_s.items() if now_s - heard_s > HEARD_FOR_S]:
            del self._heard_s[sender]
        return 1 + len(self._heard_s)

    def learn(self, daemons: int, now_s: float) -> None:
        """Note how many daemons the hall has, as counted by the one that is followed."""
        if self._learned and self._learned[-1][1] == daemons:
            self._learned.pop()
        self._learned.append((now_s, daemons))

    def size(self, now_s: float) -> int:
        """Return how many daemons share what belongs to the hall."""
        while len(self._learned) > 1 and now_s - self._learned[0][0] > LEARNED_FOR_S:
            self._learned.popleft()
        return max((daemons for _, daemons in self._learned), default=GUESS)
