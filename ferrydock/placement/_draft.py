"""A placement record under change: the few moves from which every plan is made."""

from collections.abc import Iterable, Mapping

from ..engines import Fence
from ..table import Model
from ._observed import ObservedBox
from ._policy import PlacementInput, Plan
from ._record import HallPlacement, Member, Prepare, Replica, ReplicaPhase

__all__ = ["Draft", "prefer_holders"]


class Draft:
    """Working copy of a placement record.

    Parameters
    ----------
    given : PlacementInput
        What the plan starts from.
    """

    __slots__ = ("_order", "changed", "given", "prepares", "reasons", "releases", "replicas")

    def __init__(self, given: PlacementInput):
        self.given = given
        self.replicas: dict[str, Replica] = dict(given.placement.replicas)
        self.releases: dict[str, Fence] = dict(given.placement.releases)
        self.prepares: dict[str, Prepare] = dict(given.placement.prepares)
        self.reasons: dict[str, str] = {}
        self.changed = False
        self._order = given.placement.fence.order

    def next_fence(self) -> Fence:
        """Return a fence above all that were given out."""
        self._order += 1
        before = self.given.placement.fence
        return Fence(before.term, before.ballot, self._order)

    def result(self) -> Plan:
        """Return the plan; the record that went in if nothing was changed."""
        before = self.given.placement
        if not self.changed:
            return Plan(before, self.reasons)
        fence = Fence(before.fence.term, before.fence.ballot, self._order + 1)
        after = HallPlacement(before.hall, fence, self.replicas, self.releases, self.prepares)
        return Plan(after, self.reasons)

    def explain(self, subject: str, reason: str) -> None:
        """Note why something was decided about a replica or a model."""
        self.reasons[subject] = reason

    # Moves --------------------------------------------------------------------------------

    def form(self, model: Model, boxes: Iterable[ObservedBox], replica_id: str = "") -> Replica:
        """Order `boxes` to form a replica, or a new generation of `replica_id`."""
        fence = self.next_fence()
        name = replica_id or f"{self.given.placement.hall}-r{fence.term}-{fence.order}"
        members = tuple(
            Member(seen.box.name, seen.box.url, seen.known_state.incarnation) for seen in boxes
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
        """Move a replica to another phase."""
        record = HallPlacement(self.given.placement.hall, replicas=self.replicas)
        self.replicas = dict(record.with_phase(replica.replica_id, phase).replicas)
        self.changed = True

    def dissolve(self, replica: Replica) -> None:
        """Take a replica apart: its boxes are told to leave it."""
        del self.replicas[replica.replica_id]
        for box in replica.boxes:
            self.release(box)

    def release(self, box: str) -> None:
        """Tell a box to leave whatever it takes part in."""
        self.prepares.pop(box, None)
        self.releases[box] = self.next_fence()
        self.changed = True

    def prepare(self, box: str, model: Model) -> None:
        """Tell a free box to fetch weights."""
        self.prepares[box] = Prepare(self.next_fence(), model.name, model.version)
        self.changed = True

    def confirm_release(self, box: str) -> None:
        """Note that a box was seen free."""
        del self.releases[box]
        self.changed = True

    def drop_prepare(self, box: str) -> None:
        """Forget that a box was told to fetch weights."""
        del self.prepares[box]
        self.changed = True

    # Questions ----------------------------------------------------------------------------

    def taken(self) -> set[str]:
        """Return the boxes that belong to a replica."""
        return {box for replica in self.replicas.values() for box in replica.boxes}

    def free(self) -> dict[str, list[ObservedBox]]:
        """Return the boxes that may join a replica, by fabric domain."""
        taken = self.taken()
        found: dict[str, list[ObservedBox]] = {}
        for name, seen in self.given.boxes.items():
            if name in taken or name in self.releases or seen.leaving or not seen.listed:
                continue
            if seen.idle and self.may_move(seen):
                found.setdefault(seen.box.fabric_domain, []).append(seen)
        return found

    def free_in(self, domain: str | None) -> list[ObservedBox]:
        """Return the boxes of one domain that may join a replica; none for no domain."""
        return self.free().get(domain, []) if domain is not None else []

    def may_move(self, seen: ObservedBox) -> bool:
        """Return whether an order may give the box to a replica.

        A box that checks no orders could still get a late one from an earlier controller. It
        moves only with the store in reach, after the lease of any earlier controller has run
        out and a settle time has passed with the box seen free all along.
        """
        if seen.checks_orders:
            return True
        site = self.given.view.site
        return not self.given.isolated and seen.idle_s >= site.lease_ttl_s + site.settle_s

    def counts(self) -> Mapping[str, int]:
        """Return how many replicas each model has that are not about to go."""
        counts: dict[str, int] = {}
        for replica in self.replicas.values():
            counts[replica.model] = counts.get(replica.model, 0) + 1
        return counts

    def domain_of(self, replica: Replica) -> str | None:
        """Return the fabric domain of a replica, as far as one of its boxes is known."""
        for box in replica.boxes:
            seen = self.given.boxes.get(box)
            if seen is not None:
                return seen.box.fabric_domain
        return None

    def may_load(self, model: Model, boxes: list[ObservedBox]) -> bool:
        """Return whether the weight store has room for what `boxes` would load."""
        if all(seen.holds(model.name, model.version) for seen in boxes):
            return True
        forming = [r for r in self.replicas.values() if r.phase is ReplicaPhase.FORMING]
        loading = sum(1 for replica in forming if not self._holds_all(replica))
        return loading < self.given.view.site.concurrent_loads

    def _holds_all(self, replica: Replica) -> bool:
        seen = [self.given.boxes.get(box) for box in replica.boxes]
        return all(s and s.holds(replica.model, replica.version) for s in seen)


def prefer_holders(boxes: Iterable[ObservedBox], model: Model) -> list[ObservedBox]:
    """Return `boxes` with those first that hold the model's weights already."""
    return sorted(boxes, key=lambda s: (not s.holds(model.name, model.version), s.box.name))
