"""Judging a replica's members by what the boxes last said."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from ..engines import BoxPhase
from ._observed import ObservedBox
from ._record import Member, Replica

__all__ = ["ReplicaHealth", "judge"]


@dataclass(frozen=True, slots=True)
class ReplicaHealth:
    """The state of a replica's members.

    Attributes
    ----------
    silent : tuple of str
        Boxes that do not answer, and may come back as they were.
    lost : tuple of str
        Boxes that answer with another incarnation or a higher fence, or whose box is off the
        list: what they held for the replica is gone.
    loading : tuple of str
        Boxes that have not yet said that they are ready.
    leaving : tuple of str
        Boxes about to leave.
    missing_s : float
        How long the longest silence has lasted.
    """

    silent: tuple[str, ...]
    lost: tuple[str, ...]
    loading: tuple[str, ...]
    leaving: tuple[str, ...]
    missing_s: float

    @property
    def broken(self) -> tuple[str, ...]:
        """Boxes without which the replica cannot serve as it is."""
        return self.silent + self.lost

    def after_drain(self) -> "ReplicaHealth":
        """Return the same with leaving members counted as lost: nothing runs there any more."""
        gone = tuple(box for box in self.leaving if box not in self.broken)
        return replace(self, lost=self.lost + gone)

    @property
    def whole(self) -> bool:
        """Whether every member is ready for the replica's generation."""
        return not (self.silent or self.lost or self.loading)


def judge(replica: Replica, boxes: Mapping[str, ObservedBox]) -> ReplicaHealth:
    """Return how the members of `replica` are."""
    silent, lost, loading, leaving = [], [], [], []
    missing_s = 0.0
    for member in replica.members:
        seen = boxes.get(member.box)
        if seen is None or (not seen.listed and not seen.present):
            lost.append(member.box)
        elif not seen.present:
            silent.append(member.box)
            missing_s = max(missing_s, seen.missing_s)
        elif _is_lost(replica, member, seen):
            lost.append(member.box)
        elif not _is_ready(replica, seen):
            loading.append(member.box)
        if seen is not None and seen.leaving:
            leaving.append(member.box)
    return ReplicaHealth(tuple(silent), tuple(lost), tuple(loading), tuple(leaving), missing_s)


def _is_lost(replica: Replica, member: Member, seen: ObservedBox) -> bool:
    return (
        seen.known_state.incarnation != member.incarnation
        or seen.known_state.fence > replica.generation
    )


def _is_ready(replica: Replica, seen: ObservedBox) -> bool:
    return (
        seen.known_state.replica_id == replica.replica_id
        and seen.known_state.fence == replica.generation
        and seen.known_state.phase is BoxPhase.READY
    )
