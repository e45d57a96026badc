"""First-fit placement, which dissolves a replica on any loss; the baseline for other policies."""

from ..table import Model
from ._draft import Draft
from ._health import assess_health
from ._policy import PlacementInput, Plan, register_placement_policy
from ._record import ReplicaPhase
from ._upkeep import reconcile_with_boxes, remove_surplus

__all__ = ["FirstFit"]


@register_placement_policy("first_fit")
class FirstFit:
    """Form replicas in the first domain with enough boxes; dissolve a replica on any loss."""

    __slots__ = ()

    def plan(self, inputs: PlacementInput) -> Plan:
        draft = Draft(inputs)
        reconcile_with_boxes(draft)
        for replica in list(draft.replicas.values()):
            health = assess_health(replica, inputs.boxes)
            if health.broken:
                draft.explain(replica.replica_id, "a member is missing: dissolved")
                draft.dissolve(replica)
            elif replica.phase is ReplicaPhase.FORMING and health.is_complete:
                draft.set_phase(replica, ReplicaPhase.SERVING)
        remove_surplus(draft)
        for model in inputs.view.models.values():
            self._form_missing(draft, model)
        return draft.result()

    def _form_missing(self, draft: Draft, model: Model) -> None:
        wanted = model.replicas_in(draft.inputs.placement.hall)
        while draft.replica_counts().get(model.name, 0) < wanted:
            fitting = [
                boxes
                for boxes in draft.free_boxes_by_domain().values()
                if len(boxes) >= model.boxes_per_replica
            ]
            if not fitting:
                return
            draft.form(model, fitting[0][: model.boxes_per_replica])
