"""The broken replicas that this daemon has found and reports to peers, and the peers' reports.

Owns the time at which each broken replica was found, in memory. `route_daemon.ReplicaFailures`
decides what follows from a report.
"""

from collections.abc import Callable, Iterable

__all__ = ["BrokenReplicas"]

# How long a broken replica is reported. Followers poll their leader every 0.3 s, so some calls may
# fail; within this time the leader has dissolved the replica.
REPORT_DURATION_S = 8.0

# Limits the size of a message when a whole hall is lost.
MAX_REPORTED_REPLICAS = 100

ReplicaKey = tuple[str, int]


class BrokenReplicas:
    """Replicas that this daemon has found broken within the last `REPORT_DURATION_S` seconds.

    Attributes
    ----------
    on_received : callable
        Called with name and epoch of each replica in a peer's report, unless this daemon has found
        the replica broken itself.
    noted_count : int
        Number of replicas found broken since the process started.

    Examples
    --------
    >>> received = []
    >>> broken = BrokenReplicas(received.append)
    >>> broken.note(("g1", 4), now_s=10.0)
    >>> broken.receive([("g1", 4), ("g2", 5)])
    >>> received
    [('g2', 5)]
    >>> broken.to_report(now_s=11.0), broken.to_report(now_s=30.0)
    ((('g1', 4),), ())
    """

    __slots__ = ("_noted_s", "noted_count", "on_received")

    def __init__(self, on_received: Callable[[ReplicaKey], None] = lambda key: None):
        self.on_received = on_received
        self.noted_count = 0
        self._noted_s: dict[ReplicaKey, float] = {}

    def note(self, key: ReplicaKey, now_s: float) -> None:
        """Add a replica, by name and epoch, that this daemon considers broken."""
        if key not in self._noted_s:
            self._noted_s[key] = now_s
            self.noted_count += 1

    def to_report(self, now_s: float) -> tuple[ReplicaKey, ...]:
        """Return the newest replicas to report to peers, and remove the expired ones."""
        expired = [
            key for key, noted_s in self._noted_s.items() if now_s - noted_s > REPORT_DURATION_S
        ]
        for key in expired:
            del self._noted_s[key]
        return tuple(self._noted_s)[-MAX_REPORTED_REPLICAS:]

    def receive(self, keys: Iterable[ReplicaKey]) -> None:
        """Pass the replicas of a peer's report to `on_received`."""
        for key in keys:
            if key not in self._noted_s:
                self.on_received(key)
