"""State of a hall's controller: what it does in this term, and the targets that it does not use.

Owns this state, in memory. All but the suspicions and pauses belongs to one term of leadership.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from ..clock import Clock
from ..targets import Target, TargetDirectory
from ._departures import Departures
from ._forming import PlannedReplica
from ._observed import ObservedReplica
from ._operations import RunningOperations
from ._spares import SpareUse
from ._staging import StagingProgress
from ._unused_targets import UnusedTargets

__all__ = ["HallState"]


class HallState:
    """State of the controller of one hall.

    Attributes
    ----------
    departures : Departures
        Targets that have left the replica that their entries may still show.
    operations : RunningOperations
        Replicas that are being formed and dissolved in this term of leadership.
    changing : dict
        Model that each replica is given to, by name and epoch of the replica, while its members
        load that model and still serve.
    list_awaited_since_s : float or None
        Local time since which this term waits for a target list that is not older than its lease;
        infinite once that is logged, None if it has not waited.
    spares : SpareUse
        For which models spares may form replicas, and which replicas they have formed.
    staging : StagingProgress
        Weights that targets are loading to their hosts.
    unused : UnusedTargets
        Suspected and paused targets; outlasts a term of leadership.
    """

    __slots__ = (
        "changing",
        "clock",
        "departures",
        "list_awaited_since_s",
        "operations",
        "spares",
        "staging",
        "unused",
    )

    def __init__(self, clock: Clock, directory: TargetDirectory):
        self.clock = clock
        self.operations = RunningOperations()
        self.changing: dict[tuple[str, int], str] = {}
        self.list_awaited_since_s: float | None = None
        self.spares = SpareUse()
        self.staging = StagingProgress()
        self.departures = Departures()
        self.unused = UnusedTargets(directory, clock)

    @property
    def busy(self) -> set[str]:
        """Ids of targets that orders are being sent to."""
        return self.operations.busy

    @property
    def dissolving(self) -> Mapping[str, int]:
        """Number of replicas being dissolved whose requests are cut, by domain, if any."""
        return self.operations.dissolving

    @property
    def forming(self) -> Mapping[tuple[str, int], PlannedReplica]:
        """Replicas that are being formed, by name and epoch."""
        return self.operations.forming

    def is_idle(self, target: Target) -> bool:
        """Return whether a target belongs to no replica and gets no order at present."""
        is_free = target.membership is None or self.departures.has_left(target)
        return is_free and target.target_id not in self.busy

    def is_busy(self, targets: Iterable[Target]) -> bool:
        """Return whether an order is being sent to one of the targets."""
        return any(target.target_id in self.busy for target in targets)

    def counts(self, replicas: list[ObservedReplica]) -> defaultdict[str, Counter[str]]:
        """Return the number of replicas by domain and model, those being formed included.

        Counts all domains in one pass: with a separate pass for each domain, a planning round with
        720 targets takes 35 ms rather than 14 ms.
        """
        counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for replica in replicas:
            if replica.key not in self.forming and replica.model:
                counts[replica.domain][replica.model] += 1
        for plan in self.forming.values():
            counts[plan.formation.members[0].domain][plan.formation.model.name] += 1
        return counts

    def prune(self, targets: Mapping[str, Target]) -> None:
        """Remove departures that no longer count, and pauses and suspicions that are over.

        Parameters
        ----------
        targets : mapping of str to Target
            All targets by id, of all services.
        """
        self.departures.prune(targets, self.clock.now_s())
        self.unused.prune()

    def clear(self) -> None:
        """Clear what belongs to one term of leadership: all but suspicions and pauses."""
        self.operations = RunningOperations()
        self.changing.clear()
        self.list_awaited_since_s = None
        self.spares.clear()
        self.staging.clear()
        self.departures.clear()
