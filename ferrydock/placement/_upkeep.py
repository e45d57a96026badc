"""What every policy does first: note what boxes have done, and take away what nobody wants."""

from ..engines import Fence
from ._draft import Draft
from ._observed import ObservedBox
from ._record import Replica, ReplicaPhase

__all__ = ["is_outdated", "is_surplus", "keep_books", "remove_surplus"]


def keep_books(draft: Draft) -> None:
    """Confirm releases, drop what no longer fits, and release boxes that nobody placed."""
    boxes = draft.given.boxes
    for box, fence in list(draft.releases.items()):
        _settle_release(draft, box, fence, boxes.get(box))
    for box, prepare in list(draft.prepares.items()):
        seen = boxes.get(box)
        if seen is None or not seen.idle or seen.leaving or seen.known_state.fence > prepare.fence:
            draft.drop_prepare(box)
    taken = draft.taken()
    for name, seen in boxes.items():
        stray = seen.present and seen.known_state.replica_id and name not in taken
        if stray and name not in draft.releases:
            draft.release(name)


def _settle_release(draft: Draft, box: str, fence: Fence, seen: ObservedBox | None) -> None:
    """Confirm a release that was carried out; repeat one that something later overtook."""
    if seen is None or (not seen.listed and not seen.present):
        draft.confirm_release(box)
    elif seen.present and seen.known_state.fence >= fence:
        if seen.idle:
            draft.confirm_release(box)
        elif seen.known_state.fence > fence:
            draft.release(box)


def is_surplus(draft: Draft, replica: Replica) -> bool:
    """Return whether the table asks for fewer replicas, and this is the one to give up."""
    model = draft.given.view.models.get(replica.model)
    wanted = 0 if model is None else model.replicas_in(draft.given.placement.hall)
    mine = [r for r in draft.replicas.values() if r.model == replica.model]
    return len(mine) > wanted and replica is _least_useful(mine)


def is_outdated(draft: Draft, replica: Replica) -> bool:
    """Return whether the table names another version of the model, or no such model."""
    model = draft.given.view.models.get(replica.model)
    return model is None or replica.version != model.version


def remove_surplus(draft: Draft) -> None:
    """Drain replicas that the table no longer asks for, and dissolve those that are drained."""
    for replica in list(draft.replicas.values()):
        surplus = is_surplus(draft, replica)
        if replica.phase is ReplicaPhase.DRAINING and replica.replica_id in draft.given.drained:
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
    """Return the replica to give up first: one that drains, then one that forms, then any."""
    order = {ReplicaPhase.DRAINING: 0, ReplicaPhase.FORMING: 1, ReplicaPhase.SERVING: 2}
    return min(replicas, key=lambda r: (order[r.phase], r.replica_id))
