"""The placement policy in use: wait, repair, move or re-form, whichever costs least.

What it does beyond first fit, each part switchable so that a measurement shows what it earns:

* waits for a silent member as long as its return is expected before a repair would be done;
* keeps spare boxes prepared with the weights they are most likely to need;
* replaces just the lost members, by spares of the same fabric domain;
* completes one broken replica with the members of another that is worse off;
* moves a replica to another fabric domain that has enough prepared boxes;
* prepares the successor of a leaving member while the replica drains.
"""

from ..table import Model
from ._costs import Costs
from ._draft import Draft, prefer_holders
from ._health import judge
from ._observed import AbsenceModel, ObservedBox
from ._policy import PlacementInput, Plan, register_placement_policy
from ._record import Replica, ReplicaPhase
from ._repairs import Repairs
from ._spares import prepare_boxes, prepare_spares
from ._upkeep import is_outdated, is_surplus, keep_books, remove_surplus

__all__ = ["CostBased"]


@register_placement_policy("cost_based")
class CostBased:
    """Place by expected cost.

    Parameters
    ----------
    absences : AbsenceModel, default=AbsenceModel()
        What was learned of how long boxes stay away.
    wait, prepare_spares, swap, donors, move : bool, default=True
        Switch a part of the policy off.
    """

    __slots__ = ("absences", "donors", "move", "prepare_spares", "repairs", "swap", "wait")

    def __init__(
        self,
        absences: AbsenceModel | None = None,
        wait: bool = True,
        prepare_spares: bool = True,
        swap: bool = True,
        donors: bool = True,
        move: bool = True,
    ):
        self.absences = absences or AbsenceModel()
        self.wait = wait
        self.prepare_spares = prepare_spares
        self.swap = swap
        self.donors = donors
        self.move = move
        self.repairs = Repairs(self.absences, wait, swap, donors, move)

    def plan(self, given: PlacementInput) -> Plan:
        draft = Draft(given)
        costs = Costs(given.view, given.rate_bytes_per_s)
        keep_books(draft)
        self._advance(draft)
        remove_surplus(draft)
        self._end_drains(draft)
        for replica in self._by_urgency(draft):
            if replica.replica_id in draft.replicas:
                self.repairs.repair(draft, costs, replica)
        self._drain_leaving(draft)
        self._renew_versions(draft)
        self._fill(draft)
        if self.prepare_spares:
            prepare_spares(draft)
        return draft.result()

    # Progress -----------------------------------------------------------------------------

    def _advance(self, draft: Draft) -> None:
        """Let replicas serve whose members are all ready."""
        for replica in list(draft.replicas.values()):
            if replica.phase is not ReplicaPhase.FORMING:
                continue
            if judge(replica, draft.given.boxes).whole:
                draft.explain(replica.replica_id, "all members are ready: serving")
                draft.set_phase(replica, ReplicaPhase.SERVING)

    def _by_urgency(self, draft: Draft) -> list[Replica]:
        models = draft.given.view.models

        def rank(replica: Replica):
            model = models.get(replica.model)
            return (-(model.priority if model else -1), -len(replica.members), replica.replica_id)

        return sorted(draft.replicas.values(), key=rank)

    def _end_drains(self, draft: Draft) -> None:
        """Dissolve what was drained to make room, and let serve what need not drain any more."""
        for replica in list(draft.replicas.values()):
            if replica.phase is not ReplicaPhase.DRAINING or is_surplus(draft, replica):
                continue
            leaving = judge(replica, draft.given.boxes).leaving
            if leaving or is_outdated(draft, replica):
                continue
            if not self._room_is_wanted(draft, replica):
                draft.explain(replica.replica_id, "need not drain any more: serving")
                draft.set_phase(replica, ReplicaPhase.SERVING)
            elif replica.replica_id in draft.given.drained:
                draft.explain(replica.replica_id, "drained, and makes room: dissolved")
                draft.dissolve(replica)

    def _room_is_wanted(self, draft: Draft, replica: Replica) -> bool:
        """Return whether a model of higher priority is short of replicas."""
        hall = draft.given.placement.hall
        models = draft.given.view.models
        mine = models[replica.model].priority
        counts = draft.counts()
        return any(
            model.priority > mine and counts.get(model.name, 0) < model.replicas_in(hall)
            for model in models.values()
        )

    # Planned changes ----------------------------------------------------------------------

    def _drain_leaving(self, draft: Draft) -> None:
        """Give replicas with a leaving member no new work, and prepare the successors meanwhile."""
        for replica in list(draft.replicas.values()):
            health = judge(replica, draft.given.boxes)
            model = draft.given.view.models.get(replica.model)
            if not health.leaving or model is None or replica.replica_id in draft.given.drained:
                continue
            if replica.phase is ReplicaPhase.SERVING:
                draft.set_phase(replica, ReplicaPhase.DRAINING)
            spares = draft.free_in(draft.domain_of(replica))
            chosen = prefer_holders(spares, model)[: len(health.leaving)]
            unprepared = [s for s in chosen if not s.holds(model.name, model.version)]
            prepare_boxes(draft, unprepared, model)
            names = " ".join(seen.box.name for seen in chosen) or "nobody"
            draft.explain(replica.replica_id, f"a member is leaving: drains, {names} prepares")

    def _renew_versions(self, draft: Draft) -> None:
        """Drain one replica of a model at a time and form it again with the new version."""
        for model in draft.given.view.models.values():
            mine = [r for r in draft.replicas.values() if r.model == model.name]
            outdated = [r for r in mine if r.version != model.version]
            busy = [r for r in mine if r.phase is not ReplicaPhase.SERVING]
            if outdated and not busy:
                draft.set_phase(outdated[0], ReplicaPhase.DRAINING)
                draft.explain(outdated[0].replica_id, f"draining for version {model.version}")

    # Formation ----------------------------------------------------------------------------

    def _fill(self, draft: Draft) -> None:
        """Form the replicas that are short, the most urgent model first."""
        hall = draft.given.placement.hall
        models = sorted(
            draft.given.view.models.values(),
            key=lambda m: (-m.priority, -m.boxes_per_replica, m.name),
        )
        for model in models:
            while draft.counts().get(model.name, 0) < model.replicas_in(hall):
                domain = self._best_domain(draft, model)
                if domain is None:
                    self._make_room(draft, model)
                    break
                chosen = prefer_holders(domain, model)[: model.boxes_per_replica]
                if not draft.may_load(model, chosen):
                    draft.explain(model.name, "a replica waits for its turn to load")
                    break
                replica = draft.form(model, chosen)
                draft.explain(replica.replica_id, "the table asks for it: forming")

    def _best_domain(self, draft: Draft, model: Model) -> list[ObservedBox] | None:
        """Return the free boxes of the domain that fits: weights held first, then least left."""
        fitting = [b for b in draft.free().values() if len(b) >= model.boxes_per_replica]
        if not fitting:
            return None

        def rank(boxes: list[ObservedBox]):
            held = sum(
                s.holds(model.name, model.version)
                for s in prefer_holders(boxes, model)[: model.boxes_per_replica]
            )
            remainder = len(boxes) % model.boxes_per_replica
            return (-held, remainder == 0, len(boxes), boxes[0].box.fabric_domain)

        return min(fitting, key=rank)

    def _make_room(self, draft: Draft, model: Model) -> None:
        """Drain a replica of a model with lower priority whose domain would then fit."""
        if any(r.phase is ReplicaPhase.DRAINING for r in draft.replicas.values()):
            return
        free = draft.free()
        best: tuple[int, int, str] | None = None
        for replica in draft.replicas.values():
            other = draft.given.view.models.get(replica.model)
            if other is None or other.priority >= model.priority:
                continue
            domain = draft.domain_of(replica)
            in_domain = free.get(domain, ()) if domain is not None else ()
            if len(in_domain) + len(replica.members) < model.boxes_per_replica:
                continue
            rank = (other.priority, len(replica.members), replica.replica_id)
            best = rank if best is None else min(best, rank)
        if best is not None:
            draft.set_phase(draft.replicas[best[2]], ReplicaPhase.DRAINING)
            draft.explain(best[2], f"makes room for model {model.name}: draining")
