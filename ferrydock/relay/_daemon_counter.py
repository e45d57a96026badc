"""How many daemons a hall has: those that ask the hall leader, as the leader counts them.

Owns the times of the followers' calls (in the leader) and the numbers received (in a follower), in
memory. What daemons share, such as the retry budget, is divided by this number, so an error must
be on the large side.
"""

from collections import deque

__all__ = ["DaemonCounter"]

# A daemon that has not asked for this long is not counted. Followers ask every 0.3 s; several calls
# in a row may fail. Chosen, not measured.
FOLLOWER_GONE_S = 4.0

# The largest number of this many seconds counts, so that a change of leader, after which the
# followers turn up one by one, does not enlarge anyone's share. Chosen, not measured.
LARGEST_OF_S = 15.0

# Number of daemons assumed before any was received. Halls of the known sites have 3 to 20 daemons;
# chosen on the large side, not measured.
ASSUMED_DAEMONS = 16


class DaemonCounter:
    """Counts the daemons of a hall.

    A daemon that hears from nobody keeps the number that it knew last.

    Examples
    --------
    >>> counter = DaemonCounter()
    >>> counter.daemons(now_s=0.0)
    16
    >>> counter.note_follower("edge-2", now_s=0.0); counter.note_follower("edge-3", now_s=3.0)
    >>> counter.count_followers(now_s=3.5), counter.count_followers(now_s=5.0)
    (3, 2)
    >>> counter.receive(3, now_s=5.0); counter.receive(2, now_s=9.0)
    >>> [counter.daemons(now_s) for now_s in (10.0, 21.0, 99.0)]
    [3, 2, 2]
    """

    __slots__ = ("_asked_s", "_received")

    def __init__(self):
        self._asked_s: dict[str, float] = {}
        self._received: deque[tuple[float, int]] = deque()

    def note_follower(self, sender: str, now_s: float) -> None:
        """Note that a daemon asked this one; an older version does not tell its name."""
        if sender:
            self._asked_s[sender] = now_s

    def count_followers(self, now_s: float) -> int:
        """Return how many daemons ask this one, and this one."""
        for sender in [s for s, at_s in self._asked_s.items() if now_s - at_s > FOLLOWER_GONE_S]:
            del self._asked_s[sender]
        return 1 + len(self._asked_s)

    def receive(self, daemons: int, now_s: float) -> None:
        """Take over the number of daemons as the hall leader counts it."""
        if self._received and self._received[-1][1] == daemons:
            self._received.pop()
        self._received.append((now_s, daemons))

    def daemons(self, now_s: float) -> int:
        """Return how many daemons share what belongs to the hall."""
        while len(self._received) > 1 and now_s - self._received[0][0] > LARGEST_OF_S:
            self._received.popleft()
        return max((daemons for _, daemons in self._received), default=ASSUMED_DAEMONS)
