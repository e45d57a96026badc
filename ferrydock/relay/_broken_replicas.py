"""The replicas that this daemon avoids and reports to peers, and the peers' reports.

A replica is avoided because a member does not answer, which may be over soon, or because it is
lost. Owns the time at which each was found so, and what the hall leader has reported last, in
memory. `route_daemon.ReplicaFailures` decides what follows from a report.
"""

from collections.abc import Callable, Iterable

__all__ = ["BrokenReplicas"]

# How long an avoided replica is reported. Followers poll their leader every 0.3 s, so some calls
# may fail; within this time the leader has dissolved the replica.
REPORT_DURATION_S = 8.0

# How long the leader's last report is valid: some polls may fail, or a new leader takes over.
LEADER_REPORT_VALID_S = 1.5

# Limits the size of a message when a whole hall is lost.
MAX_REPORTED_REPLICAS = 100

ReplicaKey = tuple[str, int]


class BrokenReplicas:
    """Replicas that this daemon has avoided within the last `REPORT_DURATION_S` seconds.

    Attributes
    ----------
    on_received : callable
        Called with name and epoch of each replica in a follower's report, unless this daemon avoids
        the replica itself.
    on_leader_reported : callable
        Called with name and epoch of each replica that a report of the leader newly names.
    on_withdrawn : callable
        Called with name and epoch of each replica that the leader's report does not name any more.
    changes : int
        Number of replicas noted and withdrawn since the process started.

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

    The leader's reports are complete, so one that does not name a replica withdraws it:

    >>> broken.on_leader_reported = broken.on_withdrawn = received.append
    >>> broken.receive_from_leader([("g3", 6)], now_s=30.0)
    >>> broken.receive_from_leader([], now_s=30.3)
    >>> received
    [('g2', 5), ('g3', 6), ('g3', 6)]
    """

    __slots__ = (
        "_leader_reported",
        "_leader_reported_s",
        "_noted_s",
        "changes",
        "on_leader_reported",
        "on_received",
        "on_withdrawn",
    )

    def __init__(self, on_received: Callable[[ReplicaKey], None] = lambda key: None):
        self.on_received = on_received
        self.on_leader_reported: Callable[[ReplicaKey], None] = lambda key: None
        self.on_withdrawn: Callable[[ReplicaKey], None] = lambda key: None
        self.changes = 0
        self._noted_s: dict[ReplicaKey, float] = {}
        self._leader_reported: set[ReplicaKey] = set()
        self._leader_reported_s = float("-inf")

    def note(self, key: ReplicaKey, now_s: float) -> None:
        """Add a replica, by name and epoch, that this daemon avoids."""
        if key not in self._noted_s:
            self._noted_s[key] = now_s
            self.changes += 1

    def withdraw(self, key: ReplicaKey) -> None:
        """Remove a replica that this daemon uses again."""
        if self._noted_s.pop(key, None) is not None:
            self.changes += 1

    def to_report(self, now_s: float) -> tuple[ReplicaKey, ...]:
        """Return the newest replicas to report to peers, and remove the expired ones."""
        expired = [
            key for key, noted_s in self._noted_s.items() if now_s - noted_s > REPORT_DURATION_S
        ]
        for key in expired:
            del self._noted_s[key]
        return tuple(self._noted_s)[-MAX_REPORTED_REPLICAS:]

    def receive(self, keys: Iterable[ReplicaKey]) -> None:
        """Pass the replicas of a follower's report to `on_received`."""
        for key in keys:
            if key not in self._noted_s:
                self.on_received(key)

    def receive_from_leader(self, keys: Iterable[ReplicaKey], now_s: float) -> None:
        """Apply a report of the hall leader, which names all replicas that it avoids."""
        reported = set(keys)
        added, withdrawn = reported - self._leader_reported, self._leader_reported - reported
        self._leader_reported, self._leader_reported_s = reported, now_s
        for key in sorted(added):
            self.on_leader_reported(key)
        for key in sorted(withdrawn):
            self.on_withdrawn(key)

    def expire_leader_report(self, now_s: float) -> None:
        """Withdraw the leader's last report once no further one has come for its validity."""
        if self._leader_reported and now_s - self._leader_reported_s > LEADER_REPORT_VALID_S:
            self.receive_from_leader((), now_s)
