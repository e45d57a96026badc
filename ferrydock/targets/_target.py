"""The typed entry of a target, as its source reports it; data only."""

from dataclasses import dataclass
from enum import StrEnum

from ..invariants import existing

__all__ = ["ReplicaState", "Membership", "Target"]


class ReplicaState(StrEnum):
    """State of a replica at one of its members."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Membership:
    """That a target belongs to a replica.

    Attributes
    ----------
    replica, epoch : str, int
        Name and epoch, which together are never used again.
    rank : int
        0 for the head, which takes the requests.
    state : ReplicaState
        The replica's state as this member reports it.
    """

    replica: str
    epoch: int
    rank: int
    state: ReplicaState


@dataclass(frozen=True, slots=True)
class Target:
    """One incarnation of a target.

    Attributes
    ----------
    target_id : str
        Names this incarnation; the next one has another.
    address : str
        ``IP:PORT``; it may later belong to another target.
    slots : int
        Requests that it works on at a time.
    draining : bool
        Whether it has said that it will leave.
    domain : str
        Fabric domain; replicas do not span two. Empty for plain targets.
    staged : tuple of str
        Models whose weights lie on its host.
    models : tuple of str
        Models that it holds.
    last_model : str
        Model of its latest replica that this process has seen; empty for none.
    membership : Membership or None
        The replica that it belongs to.
    age_mark : (int, int)
        Orders the entries of one target by their age, whatever order they are read in: start of
        its process, by its own clock, and its own count of entries since. Zeros where unknown.
    """

    target_id: str
    service: str
    address: str
    hall: str
    slots: int
    draining: bool = False
    domain: str = ""
    staged: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    last_model: str = ""
    membership: Membership | None = None
    age_mark: tuple[int, int] = (0, 0)

    @property
    def joined(self) -> Membership:
        """Its membership; only for a target that has one."""
        return existing(self.membership, f"the membership of {self.target_id}")

    @property
    def life(self) -> int:
        """Start of its process, by its own clock; 0 where it is unknown."""
        return self.age_mark[0]

    @property
    def is_fresh(self) -> bool:
        """Whether it has nothing yet, so that it has certainly taken no order."""
        return not (self.staged or self.models or self.membership)
