"""The typed entry of a target in the target list, as the source reports it; data only."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from ..invariants import require
from ._fields import MAX_COUNT, Address, Label, ModelNames, Name, Seconds, TargetId, Whole

__all__ = ["ReplicaState", "Membership", "Target"]


class ReplicaState(StrEnum):
    """State of a replica, as one of its members reports it."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Membership:
    """Membership of a target in a replica.

    Attributes
    ----------
    replica, epoch : str, int
        Name and epoch of the replica; the pair is never used again.
    rank : int
        Position among the members; 0 for the head, which takes the requests.
    state : ReplicaState
        The replica's state as this member reports it.
    """

    replica: Name
    epoch: Whole
    rank: Whole
    state: ReplicaState


@dataclass(frozen=True, slots=True)
class Target:
    """One incarnation of a target.

    Attributes
    ----------
    target_id : str
        Id of the target; some platforms start it again under the same id (`incarnation`).
    address : str
        ``IP:PORT``; another target may later have the same address.
    slots : int
        Number of requests that it processes concurrently.
    draining : bool
        Whether it has announced that it will leave.
    domain : str
        Fabric domain; a replica does not span domains. Empty for plain targets.
    staged : tuple of str
        Models whose weights are staged on its host.
    models : tuple of str
        Models that it holds.
    last_model : str
        Model that this process has last seen this incarnation hold; empty for none.
    membership : Membership or None
        The replica that it belongs to; None for none.
    age_mark : (int, int)
        Orders the entries of one target by age, in whatever order they are read: the start time of
        its process, by its own clock, and the number of entries it has written since. Zeros if
        unknown.
    cold_for_s : float
        How much longer it is cold, as of when it wrote the entry; 0 if it is not. A cold target
        bears few requests (`configuration.ColdSpec`).
    """

    target_id: TargetId
    service: Name
    address: Address
    hall: Name
    slots: Annotated[int, Meta(ge=1, le=MAX_COUNT)]
    draining: bool = False
    domain: Label = ""
    staged: ModelNames = ()
    models: ModelNames = ()
    last_model: Label = ""
    membership: Membership | None = None
    age_mark: tuple[Whole, Whole] = (0, 0)
    cold_for_s: Seconds = 0.0

    @property
    def existing_membership(self) -> Membership:
        """Membership of a target that belongs to a replica; an error for any other target."""
        return require(self.membership, f"the membership of {self.target_id}")

    @property
    def incarnation(self) -> int:
        """Incarnation of the target: start time of its process, by its own clock; 0 if unknown."""
        return self.age_mark[0]

    @property
    def may_join_replicas(self) -> bool:
        """Whether it can be a member of replicas: a plain target has no fabric domain."""
        return bool(self.domain)

    @property
    def is_unused(self) -> bool:
        """Whether it holds nothing and belongs to no replica, so it has certainly got no order."""
        return not (self.staged or self.models or self.membership)
