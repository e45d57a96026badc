"""Targets as their source tells of them."""

from dataclasses import dataclass
from enum import StrEnum

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
    """A target's place in a replica; rank 0 is the head, which takes the requests."""

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
    draining : bool
        Whether it has said that it will leave.
    domain : str
        Fabric domain; replicas do not span two.
    staged : tuple of str
        Models whose weights lie on its host.
    models : tuple of str
        Models that it holds.
    last_model : str
        Model of its latest replica since its start, as far as this process has seen.
    membership : Membership or None
        Its place in a replica.
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

    @property
    def is_fresh(self) -> bool:
        """Whether it has nothing yet, so that it surely has taken no order."""
        return not (self.staged or self.models or self.membership)
