"""Health of a replica's members, from the last reported states of their boxes."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from ..engines import BoxPhase
from ._observed import ObservedBox
from ._record import Member, Replica

__all__ = ["ReplicaHealth", "assess_health"]


@dataclass(frozen=True, slots=True)
class ReplicaHealth:
    """Health of a replica's members; boxes are given by name.

    Attributes
    ----------
    silent : tuple of str
        Boxes that do not answer, and may answer again in the same state.
    lost : tuple of str
        Boxes that answer with another incarnation or a higher fence, or are silent and not in the
        box list: their state for this replica is lost.
    loading : tuple of str
        Boxes that answer but have not reported that they are ready.
    leaving : tuple of str
        Boxes that are about to be removed from the hall.
    missing_s : float
        Longest time that a silent box has not answered.
    """

    silent: tuple[str, ...]
    lost: tuple[str, ...]
    loading: tuple[str, ...]
    leaving: tuple[str, ...]
    missing_s: float

    @property
    def broken(self) -> tuple[str, ...]:
        """Members that keep the replica from serving: silent or lost."""
        return self.silent + self.lost

    def with_leaving_lost(self) -> "ReplicaHealth":
        """Return this health with the leaving members counted as lost.

        Meant for a drained replica: its members run no requests, so leaving ones can be replaced.
        """
        leaving = tuple(box for box in self.leaving if box not in self.broken)
        return replace(self, lost=self.lost + leaving)

    @property
    def is_complete(self) -> bool:
        """Whether every member is ready for the replica's generation."""
        return not (self.silent or self.lost or self.loading)


def assess_health(replica: Replica, boxes: Mapping[str, ObservedBox]) -> ReplicaHealth:
    """Return the health of the members of `replica`, given the observed boxes by name."""
    silent, lost, loading, leaving = [], [], [], []
    missing_s = 0.0
    for member in replica.members:
        observed = boxes.get(member.box)
        if observed is None or (not observed.listed and not observed.present):
            lost.append(member.box)
        elif not observed.present:
            silent.append(member.box)
            missing_s = max(missing_s, observed.missing_s)
        elif _has_lost_state(replica, member, observed):
            lost.append(member.box)
        elif not _is_ready(replica, observed):
            loading.append(member.box)
        if observed is not None and observed.leaving:
            leaving.append(member.box)
    return ReplicaHealth(tuple(silent), tuple(lost), tuple(loading), tuple(leaving), missing_s)


def _has_lost_state(replica: Replica, member: Member, observed: ObservedBox) -> bool:
    return (
        observed.known_state.incarnation != member.incarnation
        or observed.known_state.fence > replica.generation
    )


def _is_ready(replica: Replica, observed: ObservedBox) -> bool:
    return (
        observed.known_state.replica_id == replica.replica_id
        and observed.known_state.fence == replica.generation
        and observed.known_state.phase is BoxPhase.READY
    )
