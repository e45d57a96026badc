"""Replicas as the entries of their members in the target list show them; stateless."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from typing import Self

from ..targets import ReplicaState, Target

__all__ = ["ObservedReplica", "observed_replicas"]


@dataclass(slots=True)
class ObservedReplica:
    """One replica; `members` holds the members that have an entry, by rank."""

    name: str
    epoch: int
    members: list[Target]

    @property
    def key(self) -> tuple[str, int]:
        """Name and epoch."""
        return self.name, self.epoch

    @property
    def service(self) -> str:
        """Service of its members."""
        return self.members[0].service

    @property
    def domain(self) -> str:
        """Fabric domain of its members."""
        return self.members[0].domain

    @property
    def head(self) -> Target | None:
        """The member that takes its requests; None if it has no entry."""
        first = self.members[0]
        return first if first.existing_membership.rank == 0 else None

    @property
    def is_open(self) -> bool:
        """Whether its head reports that it serves."""
        return self.head is not None and self.head.existing_membership.state is ReplicaState.OPEN

    @property
    def is_leaving(self) -> bool:
        """Whether a member has announced that it will leave."""
        return any(target.draining for target in self.members)

    @property
    def model(self) -> str:
        """Name of the model that it serves; empty if no member reports one."""
        return next((t.models[0] for t in self.members if t.models), "")

    def with_members(self, missing: Iterable[Target]) -> Self:
        """Return the replica with further members, which have no entry."""
        members = sorted([*self.members, *missing], key=lambda t: t.existing_membership.rank)
        return replace(self, members=members)

    def without(self, target_ids: Container[str]) -> Self:
        """Return the replica without some of its members."""
        return replace(self, members=[t for t in self.members if t.target_id not in target_ids])


def observed_replicas(members: Iterable[Target]) -> list[ObservedReplica]:
    """Return the replicas that the given targets, each with a membership, belong to."""
    found: dict[tuple[str, int], ObservedReplica] = {}
    for target in members:
        key = (target.existing_membership.replica, target.existing_membership.epoch)
        found.setdefault(key, ObservedReplica(*key, [])).members.append(target)
    for replica in found.values():
        replica.members.sort(key=lambda target: target.existing_membership.rank)
    return list(found.values())
