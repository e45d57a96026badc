"""Steps shared by all policies: update the draft from box states and remove surplus replicas."""

from ..engines import Fence
from ._draft import Draft
from ._observed import ObservedBox
from ._record import Replica, ReplicaPhase

__all__ = ["is_outdated", "is_surplus", "reconcile_with_boxes", "remove_surplus"]


def reconcile_with_boxes(draft: Draft) -> None:
    """Remove finished and obsolete orders, and release boxes that run an unrecorded replica."""
    boxes = draft.inputs.boxes
    for box, fence in list(draft.releases.items()):
        _update_release(draft, box, fence, boxes.get(box))
    for box, prepare in list(draft.prepares.items()):
        observed = boxes.get(box)
        if (
            observed is None
            or not observed.idle
            or observed.leaving
            or observed.known_state.fence > prepare.fence
        ):
            draft.remove_prepare(box)
    assigned_boxes = draft.assigned_boxes()
    for name, observed in boxes.items():
        is_stray = (
            observed.present and observed.known_state.replica_id and name not in assigned_boxes
        )
        if is_stray and name not in draft.releases:
            draft.release(name)


def _update_release(draft: Draft, box: str, fence: Fence, observed: ObservedBox | None) -> None:
    """Remove a release that was obeyed; repeat it if the box obeyed a later order instead."""
    if observed is None or (not observed.listed and not observed.present):
        draft.remove_release(box)
    elif observed.present and observed.known_state.fence >= fence:
        if observed.idle:
            draft.remove_release(box)
        elif observed.known_state.fence > fence:
            draft.release(box)


def is_surplus(draft: Draft, replica: Replica) -> bool:
    """Return whether the table asks for fewer replicas and this one is to be removed first."""
    model = draft.inputs.view.models.get(replica.model)
    wanted = 0 if model is None else model.replicas_in(draft.inputs.placement.hall)
    same_model = [r for r in draft.replicas.values() if r.model == replica.model]
    return len(same_model) > wanted and replica is _least_useful(same_model)


def is_outdated(draft: Draft, replica: Replica) -> bool:
    """Return whether the table has another version of the model, or does not have the model."""
    model = draft.inputs.view.models.get(replica.model)
    return model is None or replica.version != model.version


def remove_surplus(draft: Draft) -> None:
    """Drain surplus replicas and dissolve drained ones that are surplus or outdated."""
    for replica in list(draft.replicas.values()):
        surplus = is_surplus(draft, replica)
        if replica.phase is ReplicaPhase.DRAINING and replica.replica_id in draft.inputs.drained:
            if surplus or is_outdated(draft, replica):
                draft.explain(replica.replica_id, "drained, and no longer wanted: dissolved")
                draft.dissolve(replica)
        elif surplus and replica.phase is ReplicaPhase.SERVING:
            draft.explain(replica.replica_id, "the table asks for fewer replicas: draining")
            draft.set_phase(replica, ReplicaPhase.DRAINING)
        elif surplus and replica.phase is ReplicaPhase.FORMING:
            draft.explain(replica.replica_id, "the table asks for fewer replicas: dissolved")
            draft.dissolve(replica)


def _least_useful(replicas: list[Replica]) -> Replica:
    """Return the replica to remove first: a draining one, else a forming one, else any."""
    order = {ReplicaPhase.DRAINING: 0, ReplicaPhase.FORMING: 1, ReplicaPhase.SERVING: 2}
    return min(replicas, key=lambda r: (order[r.phase], r.replica_id))
