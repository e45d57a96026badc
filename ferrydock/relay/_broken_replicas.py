"""Broken replicas as this daemon found them, to be reported to peers, and the peers' reports.

Owns the time at which each was noted, in memory. What a report means is decided by
`route_daemon.ReplicaFailures`.
"""

from collections.abc import Callable, Iterable

__all__ = ["BrokenReplicas"]

# How long a broken replica is reported. A follower asks its leader every 0.3 s, so a few lost calls
# do not matter, and by then the leader has dissolved the replica. Chosen, not measured.
REPORT_FOR_S = 8.0

# Replicas in one report; bounds the message when a whole hall is lost. Chosen, not measured.
MAX_REPORTED = 100

ReplicaKey = tuple[str, int]


class BrokenReplicas:
    """Replicas that this daemon found broken recently.

    Attributes
    ----------
    on_received : callable
        Takes name and epoch of a replica that a peer reports and that was not noted here; called
        for each report.
    count : int
        How many were noted since the start.

    Examples
    --------
    >>> received = []
    >>> broken = BrokenReplicas(received.append)
    >>> broken.note(("g1", 4), now_s=10.0)
    >>> broken.receive([("g1", 4), ("g2", 5)])
    >>> received
    [('g2', 5)]
    >>> broken.recent(now_s=11.0), broken.recent(now_s=30.0)
    ((('g1', 4),), ())
    """

    __slots__ = ("_noted_s", "count", "on_received")

    def __init__(self, on_received: Callable[[ReplicaKey], None] = lambda key: None):
        self.on_received = on_received
        self.count = 0
        self._noted_s: dict[ReplicaKey, float] = {}

    def note(self, key: ReplicaKey, now_s: float) -> None:
        """Note a replica that this daemon considers broken."""
        if key not in self._noted_s:
            self._noted_s[key] = now_s
            self.count += 1

    def recent(self, now_s: float) -> tuple[ReplicaKey, ...]:
        """Return what to report to peers."""
        old = [key for key, noted_s in self._noted_s.items() if now_s - noted_s > REPORT_FOR_S]
        for key in old:
            del self._noted_s[key]
        return tuple(self._noted_s)[-MAX_REPORTED:]

    def receive(self, keys: Iterable[ReplicaKey]) -> None:
        """Handle a peer's report."""
        for key in keys:
            if key not in self._noted_s:
                self.on_received(key)
