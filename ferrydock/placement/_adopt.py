"""Taking over a hall: the record is brought in line with what really runs on the boxes."""

from collections.abc import Mapping
from dataclasses import replace

from ..engines import BoxPhase, Fence
from ._observed import ObservedBox
from ._record import HallPlacement, Member, Replica, ReplicaPhase

__all__ = ["adopt"]


def adopt(
    placement: HallPlacement, boxes: Mapping[str, ObservedBox], term: int, ballot: int = 0
) -> HallPlacement:
    """Return the record under a new term, with every whole replica that runs taken in.

    Parameters
    ----------
    placement : HallPlacement
        The last record known; it may be older than what runs.
    boxes : mapping of str to ObservedBox
        Boxes of the hall as they answer now.
    term, ballot : int
        Rank of the new controller.

    Notes
    -----
    A replica counts as running only if all its members report the same replica and generation.
    It takes the place of recorded replicas that claim any of its boxes with an older generation.
    """
    replicas = dict(placement.replicas)
    releases = dict(placement.releases)
    prepares = dict(placement.prepares)
    for running in _running_replicas(boxes):
        rivals = [
            r
            for r in replicas.values()
            if r.replica_id == running.replica_id or set(r.boxes) & set(running.boxes)
        ]
        if any(r.generation >= running.generation for r in rivals):
            continue
        for rival in rivals:
            del replicas[rival.replica_id]
        replicas[running.replica_id] = running
    taken = {box for r in replicas.values() for box in r.boxes}
    highest = max(
        (seen.known_state.fence for seen in boxes.values() if seen.state is not None),
        default=placement.fence,
    )
    start = Fence(term, ballot, 0)
    if start <= max(placement.fence, highest):
        top = max(placement.fence, highest)
        start = Fence(top.term, max(ballot, top.ballot), top.order)
    return replace(
        placement,
        fence=Fence(start.term, start.ballot, start.order + 1),
        replicas=replicas,
        releases={box: f for box, f in releases.items() if box not in taken},
        prepares={box: p for box, p in prepares.items() if box not in taken},
    )


def _running_replicas(boxes: Mapping[str, ObservedBox]) -> list[Replica]:
    groups: dict[tuple[str, Fence], list[ObservedBox]] = {}
    for seen in boxes.values():
        if (
            seen.present
            and seen.known_state.replica_id
            and seen.known_state.phase is BoxPhase.READY
        ):
            groups.setdefault((seen.known_state.replica_id, seen.known_state.fence), []).append(
                seen
            )
    found = []
    for (replica_id, generation), group in sorted(groups.items(), key=lambda g: g[0][1]):
        state = group[0].known_state
        by_name = {seen.box.name: seen for seen in group}
        if set(by_name) != set(state.members):
            continue
        members = tuple(
            Member(name, by_name[name].box.url, by_name[name].known_state.incarnation)
            for name in state.members
        )
        found.append(
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
    return found
