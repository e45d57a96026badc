"""What the tasks of one term of leadership are doing: replicas being formed and dissolved.

Owned by `HallState`, which creates another object for each term. A task is bound to the object of
the term in which it was started, so one that is cancelled with its term changes nothing in the
next.
"""

from collections import Counter

from ._forming import PlannedReplica
from ._observed import ObservedReplica

__all__ = ["RunningOperations"]


class RunningOperations:
    """Replicas being formed and dissolved in one term, and the targets that get orders for that.

    Attributes
    ----------
    busy : set of str
        Ids of targets that orders are being sent to.
    dissolving : Counter of str
        Number of replicas being dissolved whose requests are cut, by domain.
    forming : dict
        Replicas that are being formed, by name and epoch.
    """

    __slots__ = ("busy", "dissolving", "forming")

    def __init__(self):
        self.busy: set[str] = set()
        self.dissolving: Counter[str] = Counter()
        self.forming: dict[tuple[str, int], PlannedReplica] = {}

    def begin_forming(self, plan: PlannedReplica) -> None:
        """Record that a replica is being formed."""
        self.forming[plan.key] = plan
        self.busy.update(plan.member_ids)

    def end_forming(self, plan: PlannedReplica) -> None:
        """Record that a replica is not being formed any more."""
        self.forming.pop(plan.key, None)
        self.busy.difference_update(plan.member_ids)

    def begin_dissolving(self, replica: ObservedReplica, cut: bool) -> None:
        """Record that a replica is being dissolved; its requests are cut, or finished first."""
        self.busy.update(target.target_id for target in replica.members)
        if cut:
            self.dissolving[replica.domain] += 1

    def end_dissolving(self, replica: ObservedReplica, cut: bool) -> None:
        """Record that a replica is not being dissolved any more."""
        self.busy.difference_update(target.target_id for target in replica.members)
        if cut:
            self.dissolving[replica.domain] -= 1
