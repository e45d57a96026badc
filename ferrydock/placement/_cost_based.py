"""The cost-based placement policy: waits, repairs, moves or forms replicas by expected cost.

Beyond first fit it does the following. Each part can be switched off to measure its benefit.

* waits for a silent member while it is expected to answer before a repair would be complete;
* has spare boxes fetch the weights that they are most likely to need;
* replaces only the lost members, with spares of the same fabric domain;
* completes a broken replica with members of another one, if that has as many broken members or
  costs less to lose;
* moves a replica to another fabric domain that has enough free boxes;
* has the successor of a leaving member fetch weights while the replica drains.
"""

from ..table import Model
from ._costs import Costs
from ._draft import Draft, prefer_holders
from ._health import assess_health
from ._observed import AbsenceModel, ObservedBox
from ._policy import PlacementInput, Plan, register_placement_policy
from ._record import Replica, ReplicaPhase
from ._repairs import Repairs
from ._spares import prepare_boxes, prepare_spares
from ._upkeep import is_outdated, is_surplus, reconcile_with_boxes, remove_surplus

__all__ = ["CostBased"]


@register_placement_policy("cost_based")
class CostBased:
    """Place replicas by expected cost.

    Parameters
    ----------
    absences : AbsenceModel, default=AbsenceModel()
        Estimates how long silent boxes stay absent.
    wait, prepare_spares, swap, donors, move : bool, default=True
        Whether to wait for silent members, have spares fetch weights, replace members with spares,
        take members of another replica, and move replicas to another fabric domain.
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

    def plan(self, inputs: PlacementInput) -> Plan:
        draft = Draft(inputs)
        costs = Costs(inputs.view, inputs.rate_bytes_per_s)
        reconcile_with_boxes(draft)
        self._start_serving(draft)
        remove_surplus(draft)
        self._finish_drains(draft)
        for replica in self._by_priority(draft):
            if replica.replica_id in draft.replicas:
                self.repairs.repair(draft, costs, replica)
        self._drain_for_leaving_members(draft)
        self._replace_outdated(draft)
        self._form_missing(draft)
        if self.prepare_spares:
            prepare_spares(draft)
        return draft.result()

    # Progress -----------------------------------------------------------------------------

    def _start_serving(self, draft: Draft) -> None:
        """Set forming replicas whose members are all ready to serving."""
        for replica in list(draft.replicas.values()):
            if replica.phase is not ReplicaPhase.FORMING:
                continue
            if assess_health(replica, draft.inputs.boxes).is_complete:
                draft.explain(replica.replica_id, "all members are ready: serving")
                draft.set_phase(replica, ReplicaPhase.SERVING)

    def _by_priority(self, draft: Draft) -> list[Replica]:
        models = draft.inputs.view.models

        def rank(replica: Replica):
            model = models.get(replica.model)
            return (-(model.priority if model else -1), -len(replica.members), replica.replica_id)

        return sorted(draft.replicas.values(), key=rank)

    def _finish_drains(self, draft: Draft) -> None:
        """Dissolve replicas drained to make room, or let them serve if room is not needed."""
        for replica in list(draft.replicas.values()):
            if replica.phase is not ReplicaPhase.DRAINING or is_surplus(draft, replica):
                continue
            leaving = assess_health(replica, draft.inputs.boxes).leaving
            if leaving or is_outdated(draft, replica):
                continue
            if not self._is_room_needed(draft, replica):
                draft.explain(replica.replica_id, "need not drain any more: serving")
                draft.set_phase(replica, ReplicaPhase.SERVING)
            elif replica.replica_id in draft.inputs.drained:
                draft.explain(replica.replica_id, "drained, and makes room: dissolved")
                draft.dissolve(replica)

    def _is_room_needed(self, draft: Draft, replica: Replica) -> bool:
        """Return whether a model of higher priority has fewer replicas than the table asks for."""
        hall = draft.inputs.placement.hall
        models = draft.inputs.view.models
        priority = models[replica.model].priority
        replica_counts = draft.replica_counts()
        return any(
            model.priority > priority
            and replica_counts.get(model.name, 0) < model.replicas_in(hall)
            for model in models.values()
        )

    # Planned changes ----------------------------------------------------------------------

    def _drain_for_leaving_members(self, draft: Draft) -> None:
        """Drain replicas with a leaving member, and have its successor fetch weights meanwhile."""
        for replica in list(draft.replicas.values()):
            health = assess_health(replica, draft.inputs.boxes)
            model = draft.inputs.view.models.get(replica.model)
            if not health.leaving or model is None or replica.replica_id in draft.inputs.drained:
                continue
            if replica.phase is ReplicaPhase.SERVING:
                draft.set_phase(replica, ReplicaPhase.DRAINING)
            spares = draft.free_boxes_in(draft.domain_of(replica))
            chosen = prefer_holders(spares, model)[: len(health.leaving)]
            unprepared = [s for s in chosen if not s.holds(model.name, model.version)]
            prepare_boxes(draft, unprepared, model)
            names = " ".join(observed.box.name for observed in chosen) or "nobody"
            draft.explain(replica.replica_id, f"a member is leaving: drains, {names} prepares")

    def _replace_outdated(self, draft: Draft) -> None:
        """Drain one outdated replica of each model whose replicas are all serving.

        Once it is drained and dissolved, a replica of the new version is formed.
        """
        for model in draft.inputs.view.models.values():
            same_model = [r for r in draft.replicas.values() if r.model == model.name]
            outdated = [r for r in same_model if r.version != model.version]
            busy = [r for r in same_model if r.phase is not ReplicaPhase.SERVING]
            if outdated and not busy:
                draft.set_phase(outdated[0], ReplicaPhase.DRAINING)
                draft.explain(outdated[0].replica_id, f"draining for version {model.version}")

    # Formation ----------------------------------------------------------------------------

    def _form_missing(self, draft: Draft) -> None:
        """Form missing replicas, the model of highest priority first."""
        hall = draft.inputs.placement.hall
        models = sorted(
            draft.inputs.view.models.values(),
            key=lambda m: (-m.priority, -m.boxes_per_replica, m.name),
        )
        for model in models:
            while draft.replica_counts().get(model.name, 0) < model.replicas_in(hall):
                domain = self._best_domain(draft, model)
                if domain is None:
                    self._drain_for_room(draft, model)
                    break
                chosen = prefer_holders(domain, model)[: model.boxes_per_replica]
                if not draft.may_load(model, chosen):
                    draft.explain(model.name, "a replica waits for its turn to load")
                    break
                replica = draft.form(model, chosen)
                draft.explain(replica.replica_id, "the table asks for it: forming")

    def _best_domain(self, draft: Draft, model: Model) -> list[ObservedBox] | None:
        """Return the free boxes of the best domain for a replica, or None if none has enough.

        Prefers, in this order: more boxes that hold the weights; a number of boxes that is not a
        multiple of the replica's size; fewer boxes.
        """
        fitting = [
            b for b in draft.free_boxes_by_domain().values() if len(b) >= model.boxes_per_replica
        ]
        if not fitting:
            return None

        def rank(boxes: list[ObservedBox]):
            held = sum(
                s.holds(model.name, model.version)
                for s in prefer_holders(boxes, model)[: model.boxes_per_replica]
            )
            unused_count = len(boxes) % model.boxes_per_replica
            return (-held, unused_count == 0, len(boxes), boxes[0].box.fabric_domain)

        return min(fitting, key=rank)

    def _drain_for_room(self, draft: Draft, model: Model) -> None:
        """Drain a replica of lower priority if its domain then has enough boxes for `model`."""
        if any(r.phase is ReplicaPhase.DRAINING for r in draft.replicas.values()):
            return
        free_boxes_by_domain = draft.free_boxes_by_domain()
        best: tuple[int, int, str] | None = None
        for replica in draft.replicas.values():
            other = draft.inputs.view.models.get(replica.model)
            if other is None or other.priority >= model.priority:
                continue
            domain = draft.domain_of(replica)
            in_domain = free_boxes_by_domain.get(domain, ()) if domain is not None else ()
            if len(in_domain) + len(replica.members) < model.boxes_per_replica:
                continue
            rank = (other.priority, len(replica.members), replica.replica_id)
            best = rank if best is None else min(best, rank)
        if best is not None:
            draft.set_phase(draft.replicas[best[2]], ReplicaPhase.DRAINING)
            draft.explain(best[2], f"makes room for model {model.name}: draining")
