"""A draft of the next placement record, with the operations that policies build plans from."""

from collections.abc import Iterable, Mapping

from ..engines import Fence
from ..table import Model
from ._observed import ObservedBox
from ._policy import PlacementInput, Plan
from ._record import HallPlacement, Member, Prepare, Replica, ReplicaPhase

__all__ = ["Draft", "prefer_holders"]


class Draft:
    """Mutable copy of a placement record.

    Parameters
    ----------
    inputs : PlacementInput
        The current record, the table and the observed boxes.
    """

    __slots__ = ("_order", "changed", "inputs", "prepares", "reasons", "releases", "replicas")

    def __init__(self, inputs: PlacementInput):
        self.inputs = inputs
        self.replicas: dict[str, Replica] = dict(inputs.placement.replicas)
        self.releases: dict[str, Fence] = dict(inputs.placement.releases)
        self.prepares: dict[str, Prepare] = dict(inputs.placement.prepares)
        self.reasons: dict[str, str] = {}
        self.changed = False
        self._order = inputs.placement.fence.order

    def next_fence(self) -> Fence:
        """Return a fence above all fences issued so far."""
        self._order += 1
        before = self.inputs.placement.fence
        return Fence(before.term, before.ballot, self._order)

    def result(self) -> Plan:
        """Return the plan; its record is the input's object if nothing was changed."""
        before = self.inputs.placement
        if not self.changed:
            return Plan(before, self.reasons)
        fence = Fence(before.fence.term, before.fence.ballot, self._order + 1)
        after = HallPlacement(before.hall, fence, self.replicas, self.releases, self.prepares)
        return Plan(after, self.reasons)

    def explain(self, subject: str, reason: str) -> None:
        """Set the reason of the latest decision about a replica or a model."""
        self.reasons[subject] = reason

    # Changes ------------------------------------------------------------------------------

    def form(self, model: Model, boxes: Iterable[ObservedBox], replica_id: str = "") -> Replica:
        """Form a new replica or a new generation of `replica_id`; the first box is its head."""
        fence = self.next_fence()
        name = replica_id or f"{self.inputs.placement.hall}-r{fence.term}-{fence.order}"
        members = tuple(
            Member(observed.box.name, observed.box.url, observed.known_state.incarnation)
            for observed in boxes
        )
        replica = Replica(
            name,
            model.name,
            model.version,
            fence,
            members,
            model.slots_per_replica,
            ReplicaPhase.FORMING,
        )
        self.replicas[name] = replica
        for member in members:
            self.prepares.pop(member.box, None)
            self.releases.pop(member.box, None)
        self.changed = True
        return replica

    def set_phase(self, replica: Replica, phase: ReplicaPhase) -> None:
        """Set the phase of a replica."""
        record = HallPlacement(self.inputs.placement.hall, replicas=self.replicas)
        self.replicas = dict(record.with_phase(replica.replica_id, phase).replicas)
        self.changed = True

    def dissolve(self, replica: Replica) -> None:
        """Remove a replica and order its boxes to leave it."""
        del self.replicas[replica.replica_id]
        for box in replica.boxes:
            self.release(box)

    def release(self, box: str) -> None:
        """Order a box to leave its replica, and withdraw its order to fetch weights."""
        self.prepares.pop(box, None)
        self.releases[box] = self.next_fence()
        self.changed = True

    def prepare(self, box: str, model: Model) -> None:
        """Order a free box to fetch the model's weights."""
        self.prepares[box] = Prepare(self.next_fence(), model.name, model.version)
        self.changed = True

    def remove_release(self, box: str) -> None:
        """Remove the order to leave, once the box is idle or no longer exists."""
        del self.releases[box]
        self.changed = True

    def remove_prepare(self, box: str) -> None:
        """Remove the order to fetch weights."""
        del self.prepares[box]
        self.changed = True

    # Queries ------------------------------------------------------------------------------

    def assigned_boxes(self) -> set[str]:
        """Return the names of the boxes that belong to a replica."""
        return {box for replica in self.replicas.values() for box in replica.boxes}

    def free_boxes_by_domain(self) -> dict[str, list[ObservedBox]]:
        """Return the boxes that may join a replica, by fabric domain."""
        assigned_boxes = self.assigned_boxes()
        found: dict[str, list[ObservedBox]] = {}
        for name, observed in self.inputs.boxes.items():
            if (
                name in assigned_boxes
                or name in self.releases
                or observed.leaving
                or not observed.listed
            ):
                continue
            if observed.idle and self.may_reassign(observed):
                found.setdefault(observed.box.fabric_domain, []).append(observed)
        return found

    def free_boxes_in(self, domain: str | None) -> list[ObservedBox]:
        """Return the boxes of a domain that may join a replica; none if `domain` is None."""
        return self.free_boxes_by_domain().get(domain, []) if domain is not None else []

    def may_reassign(self, observed: ObservedBox) -> bool:
        """Return whether the box may be assigned to a replica.

        A box that does not check fences may still obey a delayed order of an earlier controller.
        It is assigned only while the store is reachable, and after it has been idle without a
        break for the lease time of an earlier controller plus the settle time.
        """
        if observed.checks_orders:
            return True
        site = self.inputs.view.site
        return not self.inputs.isolated and observed.idle_s >= site.lease_ttl_s + site.settle_s

    def replica_counts(self) -> Mapping[str, int]:
        """Return how many replicas the draft has of each model, in any phase."""
        replica_counts: dict[str, int] = {}
        for replica in self.replicas.values():
            replica_counts[replica.model] = replica_counts.get(replica.model, 0) + 1
        return replica_counts

    def domain_of(self, replica: Replica) -> str | None:
        """Return the fabric domain of a replica, or None if none of its boxes is observed."""
        for box in replica.boxes:
            observed = self.inputs.boxes.get(box)
            if observed is not None:
                return observed.box.fabric_domain
        return None

    def may_load(self, model: Model, boxes: list[ObservedBox]) -> bool:
        """Return whether `boxes` may load the model within the site's limit of concurrent loads."""
        if all(observed.holds(model.name, model.version) for observed in boxes):
            return True
        forming = [r for r in self.replicas.values() if r.phase is ReplicaPhase.FORMING]
        loading = sum(1 for replica in forming if not self._all_hold_weights(replica))
        return loading < self.inputs.view.site.concurrent_loads

    def _all_hold_weights(self, replica: Replica) -> bool:
        observed = [self.inputs.boxes.get(box) for box in replica.boxes]
        return all(s and s.holds(replica.model, replica.version) for s in observed)


def prefer_holders(boxes: Iterable[ObservedBox], model: Model) -> list[ObservedBox]:
    """Return `boxes` sorted by name, those that hold the model's weights first."""
    return sorted(boxes, key=lambda s: (not s.holds(model.name, model.version), s.box.name))
