"""Adoption: a new controller updates the placement record to the replicas running on the boxes."""

from collections.abc import Mapping
from dataclasses import replace

from ..engines import BoxPhase, Fence
from ._observed import ObservedBox
from ._record import HallPlacement, Member, Replica, ReplicaPhase

__all__ = ["adopt"]


def adopt(
    placement: HallPlacement, boxes: Mapping[str, ObservedBox], term: int, ballot: int = 0
) -> HallPlacement:
    """Return the record under a new term, with every complete running replica added.

    Parameters
    ----------
    placement : HallPlacement
        Newest record known; the boxes may run replicas of a later one.
    boxes : mapping of str to ObservedBox
        Observed boxes of the hall by name.
    term, ballot : int
        Term and ballot of the new controller's fences; raised if a known fence is higher.

    Notes
    -----
    A replica counts as running only if all its members report the same replica and generation.
    It replaces recorded replicas of an older generation that have its id or any of its boxes.
    """
    replicas = dict(placement.replicas)
    releases = dict(placement.releases)
    prepares = dict(placement.prepares)
    for running in _complete_replicas(boxes):
        conflicting = [
            r
            for r in replicas.values()
            if r.replica_id == running.replica_id or set(r.boxes) & set(running.boxes)
        ]
        if any(r.generation >= running.generation for r in conflicting):
            continue
        for outdated in conflicting:
            del replicas[outdated.replica_id]
        replicas[running.replica_id] = running
    assigned_boxes = {box for r in replicas.values() for box in r.boxes}
    highest_on_boxes = max(
        (observed.known_state.fence for observed in boxes.values() if observed.state is not None),
        default=placement.fence,
    )
    first_fence = Fence(term, ballot, 0)
    if first_fence <= max(placement.fence, highest_on_boxes):
        newest = max(placement.fence, highest_on_boxes)
        first_fence = Fence(newest.term, max(ballot, newest.ballot), newest.order)
    return replace(
        placement,
        fence=Fence(first_fence.term, first_fence.ballot, first_fence.order + 1),
        replicas=replicas,
        releases={box: f for box, f in releases.items() if box not in assigned_boxes},
        prepares={box: p for box, p in prepares.items() if box not in assigned_boxes},
    )


def _complete_replicas(boxes: Mapping[str, ObservedBox]) -> list[Replica]:
    boxes_by_generation: dict[tuple[str, Fence], list[ObservedBox]] = {}
    for observed in boxes.values():
        if (
            observed.present
            and observed.known_state.replica_id
            and observed.known_state.phase is BoxPhase.READY
        ):
            boxes_by_generation.setdefault(
                (observed.known_state.replica_id, observed.known_state.fence), []
            ).append(observed)
    running = []
    for (replica_id, generation), group in sorted(
        boxes_by_generation.items(), key=lambda g: g[0][1]
    ):
        state = group[0].known_state
        by_name = {observed.box.name: observed for observed in group}
        if set(by_name) != set(state.members):
            continue
        members = tuple(
            Member(name, by_name[name].box.url, by_name[name].known_state.incarnation)
            for name in state.members
        )
        running.append(
            Replica(
                replica_id,
                state.model,
                state.version,
                generation,
                members,
                state.slots,
                ReplicaPhase.SERVING,
            )
        )
    return running
