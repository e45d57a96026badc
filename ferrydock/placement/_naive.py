"""The plain way to place: first fit, and any loss dissolves the replica. A baseline to beat."""

from ..table import Model
from ._draft import Draft
from ._health import judge
from ._policy import PlacementInput, Plan, register_placement_policy
from ._record import ReplicaPhase
from ._upkeep import keep_books, remove_surplus

__all__ = ["FirstFit"]


@register_placement_policy("first_fit")
class FirstFit:
    """Form replicas from the first boxes that fit; on any loss dissolve and load anew."""

    __slots__ = ()

    def plan(self, given: PlacementInput) -> Plan:
        draft = Draft(given)
        keep_books(draft)
        for replica in list(draft.replicas.values()):
            health = judge(replica, given.boxes)
            if health.broken:
                draft.explain(replica.replica_id, "a member is missing: dissolved")
                draft.dissolve(replica)
            elif replica.phase is ReplicaPhase.FORMING and health.whole:
                draft.set_phase(replica, ReplicaPhase.SERVING)
        remove_surplus(draft)
        for model in given.view.models.values():
            self._fill(draft, model)
        return draft.result()

    def _fill(self, draft: Draft, model: Model) -> None:
        wanted = model.replicas_in(draft.given.placement.hall)
        while draft.counts().get(model.name, 0) < wanted:
            fitting = [
                boxes for boxes in draft.free().values() if len(boxes) >= model.boxes_per_replica
            ]
            if not fitting:
                return
            draft.form(model, fitting[0][: model.boxes_per_replica])
