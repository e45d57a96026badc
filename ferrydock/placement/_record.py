"""The placement record of a hall: which boxes form which replica, and which records are valid."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

import orjson

from ..engines import Fence

__all__ = ["HallPlacement", "Member", "Prepare", "Replica", "ReplicaPhase"]


class ReplicaPhase(StrEnum):
    """Phase of a replica's life cycle."""

    FORMING = "forming"
    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Member:
    """A box that belongs to a replica, and the incarnation of its engine."""

    box: str
    url: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Replica:
    """Boxes that serve a model together.

    Attributes
    ----------
    replica_id : str
        Name, unique in the site; it is kept when members are replaced.
    generation : Fence
        Fence of the orders that formed it. Each change of members starts a new generation.
    members : tuple of Member
        Boxes of the replica; the first is the head, which receives requests.
    slots : int
        Maximum number of requests in flight.
    phase : ReplicaPhase
        Requests are sent to a replica only while it is serving.
    """

    replica_id: str
    model: str
    version: str
    generation: Fence
    members: tuple[Member, ...]
    slots: int
    phase: ReplicaPhase

    @property
    def head(self) -> Member:
        """The member that receives requests."""
        return self.members[0]

    @property
    def boxes(self) -> tuple[str, ...]:
        """Names of the member boxes, the head first."""
        return tuple(member.box for member in self.members)


@dataclass(frozen=True, slots=True)
class Prepare:
    """Order to a free box to fetch a model's weights ahead of joining a replica."""

    fence: Fence
    model: str
    version: str


@dataclass(frozen=True, slots=True)
class HallPlacement:
    """Placement decided by a hall's controller; stored under one key, changed by compare-and-swap.

    Attributes
    ----------
    hall : str
        Name of the hall.
    fence : Fence
        Highest fence issued so far; each later record has a higher one.
    replicas : dict of str to Replica
        Replicas by replica id.
    releases : dict of str to Fence
        Boxes ordered to leave their replica that have not reported themselves idle yet, with the
        fence of the order.
    prepares : dict of str to Prepare
        Free boxes ordered to fetch weights.
    """

    hall: str
    fence: Fence = Fence(0, 0, 0)
    replicas: Mapping[str, Replica] = field(default_factory=dict)
    releases: Mapping[str, Fence] = field(default_factory=dict)
    prepares: Mapping[str, Prepare] = field(default_factory=dict)

    def __post_init__(self):
        replica_by_box: dict[str, str] = {}
        for replica in self.replicas.values():
            for box in replica.boxes:
                other = replica_by_box.setdefault(box, replica.replica_id)
                if other != replica.replica_id or replica.boxes.count(box) != 1:
                    raise AssertionError(f"box {box} is in {other} and in {replica.replica_id}")
        for box in (*self.releases, *self.prepares):
            if box in replica_by_box:
                raise AssertionError(f"box {box} is free and in {replica_by_box[box]}")

    def replica_of(self, box: str) -> Replica | None:
        """Return the replica that the box belongs to, or None."""
        return next((r for r in self.replicas.values() if box in r.boxes), None)

    def with_phase(self, replica_id: str, phase: ReplicaPhase) -> "HallPlacement":
        """Return the record with one replica in another phase."""
        changed = replace(self.replicas[replica_id], phase=phase)
        return replace(self, replicas={**self.replicas, replica_id: changed})

    def to_json(self) -> bytes:
        """Return the record as JSON, as it is stored and sent to other daemons."""
        return orjson.dumps(
            {
                "hall": self.hall,
                "fence": list(self.fence),
                "replicas": [_replica_to_json(r) for r in self.replicas.values()],
                "releases": {box: list(fence) for box, fence in self.releases.items()},
                "prepares": {
                    box: [list(p.fence), p.model, p.version] for box, p in self.prepares.items()
                },
            }
        )

    @classmethod
    def from_json(cls, raw: bytes) -> "HallPlacement":
        """Decode a record that `to_json` encoded."""
        fields = orjson.loads(raw)
        replicas = (_replica_from_json(r) for r in fields["replicas"])
        return cls(
            hall=fields["hall"],
            fence=Fence(*fields["fence"]),
            replicas={r.replica_id: r for r in replicas},
            releases={box: Fence(*fence) for box, fence in fields["releases"].items()},
            prepares={
                box: Prepare(Fence(*fence), model, version)
                for box, (fence, model, version) in fields["prepares"].items()
            },
        )


def _replica_to_json(replica: Replica) -> dict:
    return {
        "replica_id": replica.replica_id,
        "model": replica.model,
        "version": replica.version,
        "generation": list(replica.generation),
        "members": [[m.box, m.url, m.incarnation] for m in replica.members],
        "slots": replica.slots,
        "phase": replica.phase.value,
    }


def _replica_from_json(fields: dict) -> Replica:
    return Replica(
        replica_id=fields["replica_id"],
        model=fields["model"],
        version=fields["version"],
        generation=Fence(*fields["generation"]),
        members=tuple(Member(*member) for member in fields["members"]),
        slots=fields["slots"],
        phase=ReplicaPhase(fields["phase"]),
    )
