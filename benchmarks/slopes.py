"""Scaling figures for docs/CAPACITY.md.

Placement decisions by boxes, digests by members and replicas, table copies by rows. Each figure is
the least processor time of several runs, which reduces the influence of other load.
"""

import argparse
import random
import sys
import time

from ferrydock.engines import BoxPhase, BoxState, Fence
from ferrydock.hall import Attestation, Attestations
from ferrydock.membership import DaemonInfo, SharedState, apply_digest, build_digest
from ferrydock.placement import (
    HallPlacement,
    Member,
    ObservedBox,
    PlacementInput,
    Replica,
    ReplicaPhase,
    make_placement_policy,
)
from ferrydock.store import Box
from ferrydock.table import RowKey, Table, TableCopy, TableKeeper

from ._report import print_row

NAME = "slopes"
RUNS = 7
REPEATS = 20


def best_ms(action, runs: int = RUNS) -> float:
    """Return the least processor time of `action`, in milliseconds."""
    times = []
    for _ in range(runs):
        started_s = time.process_time()
        action()
        times.append(time.process_time() - started_s)
    return min(times) * 1000


def placement_of(replicas: int) -> HallPlacement:
    """Return a hall placement with `replicas` serving replicas of four boxes each."""
    found = {}
    for number in range(replicas):
        names = [f"b{number * 4 + i:04d}" for i in range(4)]
        members = tuple(Member(name, f"http://10.0.0.1:80/{name}", f"{name}#1") for name in names)
        generation = Fence(10, 0, number + 1)
        name = f"hall-a-r10-{number}"
        found[name] = Replica(name, "draft", "1", generation, members, 16, ReplicaPhase.SERVING)
    return HallPlacement("hall-a", Fence(10, 0, replicas + 1), found)


def observed(placement: HallPlacement, boxes: int) -> dict[str, ObservedBox]:
    """Return the observed state of the hall's boxes when none has failed."""
    found = {}
    for number in range(boxes):
        name = f"b{number:04d}"
        box = Box(name, "hall-a", f"d{number // 16}", name)
        replica = placement.replica_of(name)
        state = BoxState(name, f"{name}#1", Fence(0, 0, 0), BoxPhase.IDLE)
        if replica is not None:
            state = BoxState(
                name,
                f"{name}#1",
                replica.generation,
                BoxPhase.READY,
                replica.replica_id,
                "draft",
                "1",
                replica.boxes,
                (("draft", "1"),),
            )
        found[name] = ObservedBox(box, state)
    return found


def measure_decisions() -> None:
    """Print the time of one placement decision for several hall sizes."""
    for boxes in (72, 144, 288):
        measure_decision(boxes, boxes * 34 // 144)


def measure_decision(boxes: int, replicas: int) -> None:
    """Print the time of one placement decision, without a failure and with one box missing."""
    rows = {
        RowKey("halls", "hall-a"): {},
        RowKey("models", "draft"): {"replicas_per_hall": str(replicas)},
    }
    view = Table(rows, 1).view()
    placement = placement_of(replicas)
    present_boxes = observed(placement, boxes)
    policy = make_placement_policy("cost_based")
    missing_box = present_boxes["b0001"]
    boxes_with_one_missing = {
        **present_boxes,
        "b0001": ObservedBox(missing_box.box, missing_box.state, missing_s=30.0),
    }

    def decide(observed_boxes):
        return policy.plan(PlacementInput(placement, view, observed_boxes, frozenset(), 1e9))

    print_row(
        NAME,
        figure="decision",
        boxes=boxes,
        quiet_ms=best_ms(lambda: decide(present_boxes)),
        member_missing_ms=best_ms(lambda: decide(boxes_with_one_missing)),
        record_bytes=len(placement.to_json()),
    )


def shared_state(name: str, members: int, replicas: int) -> SharedState:
    """Return the shared state of one daemon in a hall of `members` daemons."""
    own = DaemonInfo(name, "hall-a", "10.0.0.1:7170", "http://10.0.0.1:7070")
    state = SharedState(own, TableKeeper(), Attestations(2.0), random.Random(1))
    for number in range(members - 1):
        peer = f"hall-a-{number:08x}"
        info = DaemonInfo(peer, "hall-a", "10.0.0.2:7170", "http://10.0.0.2:7070")
        state.members.merge(info, 0.0)
    state.offer_placement(placement_of(replicas))
    for replica in state.placement.replicas.values():
        state.attestations.accept(Attestation(replica.replica_id, replica.generation, 99.5, 3, 0))
    return state


def measure_digest(members: int, replicas: int) -> None:
    """Print the size of one digest within a hall, and the time to build and apply it."""
    one = shared_state("hall-a-one", members, replicas)
    two = shared_state("hall-a-two", members, replicas)
    digest = build_digest(one, 100.0, "hall-a", False)

    def build():
        for _ in range(REPEATS):
            build_digest(one, 100.0, "hall-a", False).SerializeToString()

    def apply():
        for _ in range(REPEATS):
            apply_digest(two, digest, 100.0, 0.1)

    print_row(
        NAME,
        figure="digest",
        members=members,
        replicas=replicas,
        bytes=len(digest.SerializeToString()),
        build_ms=best_ms(build) / REPEATS,
        apply_ms=best_ms(apply) / REPEATS,
    )


def measure_table(count: int) -> None:
    """Print the size of a table copy with twice `count` rows, and the time to check the table."""
    rows = {RowKey("models", f"m{i:04d}"): {"weight_bytes": "1"} for i in range(count)}
    rows |= {RowKey("teams", f"t{i:04d}"): {"key_digests": "0" * 64} for i in range(count)}
    copy = TableCopy(Table(rows, 1), "f" * 16, ())
    print_row(
        NAME,
        figure="table",
        rows=2 * count,
        copy_bytes=len(copy.to_json()),
        check_ms=best_ms(lambda: Table(rows, 1).view(), 3),
    )


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="the same; it is quick")
    parser.parse_args()
    measure_decisions()
    for members, replicas in ((3, 4), (9, 4), (38, 18), (76, 36)):
        measure_digest(members, replicas)
    for count in (100, 1000):
        measure_table(count)
    return 0


if __name__ == "__main__":
    sys.exit(main())
