"""Checks that every placement policy passes, and the decisions of the one in use."""

import itertools
import random

import pytest

from ...engines import BoxPhase, BoxState, Fence, OrderAction
from ...store import Box
from ...table import RowKey, Table
from .. import (
    Absence,
    AbsenceModel,
    HallPlacement,
    Member,
    ObservedBox,
    PlacementInput,
    Replica,
    ReplicaPhase,
    adopt,
    judge,
    make_placement_policy,
    pending_orders,
    placement_policies,
)

RATE = 1e9


def view_of(*models, **site):
    rows = {RowKey("halls", "hall"): {}, RowKey("site", "site"): site}
    for name, cells in models:
        rows[RowKey("models", name)] = {"weight_bytes": "4000000000", **cells}
    view = Table(rows, 1).view()
    assert hasattr(view, "models"), view
    return view


DRAFT = view_of(("draft", {"replicas_per_hall": "2"}), member_wait_s="4")


def idle(name, domain, held=()):
    box = Box(name, "hall", domain, name)
    state = BoxState(name, f"{name}#0", Fence(0, 0, 0), BoxPhase.IDLE, held=held)
    return ObservedBox(box, state)


def hall(domains, per_domain, held=()):
    boxes = [idle(f"d{d}b{b}", f"d{d}", held) for d in range(domains) for b in range(per_domain)]
    return {seen.box.name: seen for seen in boxes}


def changed(seen, **fields):
    values = {name: getattr(seen, name) for name in ObservedBox.__slots__}
    return ObservedBox(**{**values, **fields})


def member_state(replica, name, held=(("draft", "1"),)):
    member = next(m for m in replica.members if m.box == name)
    return BoxState(
        name,
        member.incarnation,
        replica.generation,
        BoxPhase.READY,
        replica.replica_id,
        replica.model,
        replica.version,
        replica.boxes,
        held,
    )


def carried_out(placement, boxes):
    """Return the boxes as they are once all orders have been obeyed."""
    after = dict(boxes)
    for replica in placement.replicas.values():
        for name in replica.boxes:
            if after[name].present:
                after[name] = changed(after[name], state=member_state(replica, name))
    for name, fence in placement.releases.items():
        seen = after.get(name)
        if seen is not None and seen.present:
            held = seen.state.held
            state = BoxState(name, seen.state.incarnation, fence, BoxPhase.IDLE, held=held)
            after[name] = changed(seen, state=state)
    return after


def given(placement, view, boxes, drained=(), isolated=False):
    return PlacementInput(placement, view, boxes, frozenset(drained), RATE, isolated)


def settle(policy, view, boxes, placement=None, rounds=12, **more):
    """Plan and carry out until nothing changes."""
    placement = placement or HallPlacement("hall", Fence(1, 0, 0))
    for _ in range(rounds):
        plan = policy.plan(given(placement, view, boxes, **more))
        if plan.placement is placement:
            break
        placement = plan.placement
        boxes = carried_out(placement, boxes)
    return placement, boxes


def serving(placement):
    return [r for r in placement.replicas.values() if r.phase is ReplicaPhase.SERVING]


@pytest.fixture(params=placement_policies())
def policy(request):
    return make_placement_policy(request.param)


# Every policy ---------------------------------------------------------------------------------


def test_what_the_table_asks_for_is_formed_within_fabric_domains(policy):
    boxes = hall(3, 5)
    placement, _ = settle(policy, DRAFT, boxes)
    assert len(serving(placement)) == 2
    for replica in serving(placement):
        assert len({boxes[b].box.fabric_domain for b in replica.boxes}) == 1


def test_nothing_changes_once_all_is_well(policy):
    placement, boxes = settle(policy, DRAFT, hall(3, 4))
    assert policy.plan(given(placement, DRAFT, boxes)).placement is placement


def test_fences_only_rise_and_generations_are_never_used_twice(policy):
    source = random.Random(7)
    boxes, placement, seen = hall(2, 6), HallPlacement("hall", Fence(1, 0, 0)), {}
    for _ in range(60):
        name = source.choice(sorted(boxes))
        missing = boxes[name].missing_s
        boxes[name] = changed(boxes[name], missing_s=0.0 if missing else 99.0)
        plan = policy.plan(given(placement, DRAFT, boxes))
        assert plan.placement.fence >= placement.fence
        placement = plan.placement
        for replica in placement.replicas.values():
            assert seen.setdefault(replica.generation, replica.boxes) == replica.boxes
        boxes = carried_out(placement, boxes)


def test_a_replica_that_is_no_longer_wanted_is_drained_before_it_goes(policy):
    placement, boxes = settle(policy, DRAFT, hall(3, 4))
    fewer = view_of(("draft", {"replicas_per_hall": "1"}))
    draining = policy.plan(given(placement, fewer, boxes)).placement
    phases = sorted(r.phase for r in draining.replicas.values())
    assert phases == [ReplicaPhase.DRAINING, ReplicaPhase.SERVING]
    leaving = next(r for r in draining.replicas.values() if r.phase is ReplicaPhase.DRAINING)
    done = policy.plan(given(draining, fewer, boxes, drained=[leaving.replica_id])).placement
    assert len(done.replicas) == 1
    assert set(leaving.boxes) <= set(done.releases)


def test_boxes_that_are_gone_leaving_or_taken_are_not_used(policy):
    boxes = hall(1, 7)
    boxes["d0b0"] = changed(boxes["d0b0"], missing_s=50.0)
    boxes["d0b1"] = changed(boxes["d0b1"], leaving=True)
    boxes["d0b2"] = changed(boxes["d0b2"], listed=False)
    placement, _ = settle(policy, view_of(("draft", {"replicas_per_hall": "1"})), boxes)
    assert set(serving(placement)[0].boxes) == {"d0b3", "d0b4", "d0b5", "d0b6"}


# The policy in use ----------------------------------------------------------------------------


def cost_based(**parameters):
    return make_placement_policy("cost_based", **parameters)


def broken_hall(spares=1, wanted="1", missing_s=99.0, **site):
    view = view_of(("draft", {"replicas_per_hall": wanted}), **site)
    policy = cost_based()
    placement, boxes = settle(policy, view, hall(1, 4 * int(wanted) + spares))
    lost = serving(placement)[0].boxes[1]
    boxes[lost] = changed(boxes[lost], missing_s=missing_s)
    return policy, view, placement, boxes, lost


def test_it_waits_for_a_silent_member_at_first():
    policy, view, placement, boxes, lost = broken_hall(missing_s=1.0, member_wait_s="4")
    plan = policy.plan(given(placement, view, boxes))
    assert plan.placement is placement
    assert lost in plan.reasons[serving(placement)[0].replica_id]


def test_only_the_lost_member_is_replaced():
    policy, view, placement, boxes, lost = broken_hall()
    after, _ = settle(policy, view, boxes, placement)
    before, now = serving(placement)[0], serving(after)[0]
    assert set(before.boxes) - set(now.boxes) == {lost}
    assert now.replica_id == before.replica_id


def test_a_spare_fetches_the_weights_before_it_is_needed():
    view = view_of(("draft", {"replicas_per_hall": "1"}))
    placement, _ = settle(cost_based(), view, hall(1, 5))
    assert len(placement.prepares) == 1
    without, _ = settle(cost_based(prepare_spares=False), view, hall(1, 5))
    assert without.prepares == {}


def test_one_broken_replica_is_completed_from_another():
    policy, view, placement, boxes, _ = broken_hall(spares=0, wanted="2")
    other = serving(placement)[1]
    boxes[other.boxes[0]] = changed(boxes[other.boxes[0]], missing_s=99.0)
    after, _ = settle(policy, view, boxes, placement)
    assert len(serving(after)) == 1


def test_a_replica_moves_to_a_domain_that_has_room():
    view = view_of(("draft", {"replicas_per_hall": "1"}))
    policy = cost_based()
    placement, boxes = settle(policy, view, hall(2, 4))
    before = serving(placement)[0]
    boxes[before.boxes[2]] = changed(boxes[before.boxes[2]], missing_s=99.0)
    after, _ = settle(policy, view, boxes, placement)
    assert not set(serving(after)[0].boxes) & set(before.boxes)


def test_a_model_of_higher_priority_gets_room():
    low = ("low", {"replicas_per_hall": "1", "priority": "2"})
    policy = cost_based()
    placement, boxes = settle(policy, view_of(low), hall(1, 4))
    both = view_of(low, ("high", {"replicas_per_hall": "1", "priority": "8"}))
    draining = policy.plan(given(placement, both, boxes)).placement
    assert [r.phase for r in draining.replicas.values()] == [ReplicaPhase.DRAINING]
    names = list(draining.replicas)
    done, _ = settle(policy, both, boxes, draining, drained=names)
    assert [r.model for r in serving(done)] == ["high"]
    back = policy.plan(given(draining, view_of(low), boxes)).placement
    assert [r.phase for r in back.replicas.values()] == [ReplicaPhase.SERVING]


def test_a_replica_whose_leaving_mark_is_taken_back_serves_again():
    view = view_of(("draft", {"replicas_per_hall": "1"}))
    policy = cost_based()
    placement, boxes = settle(policy, view, hall(1, 5))
    box = serving(placement)[0].boxes[0]
    marked = {**boxes, box: changed(boxes[box], leaving=True)}
    draining = policy.plan(given(placement, view, marked)).placement
    assert serving(draining) == []
    assert len(serving(policy.plan(given(draining, view, boxes)).placement)) == 1


def test_the_objective_weights_decide_whether_a_big_replica_takes_a_box():
    def decide(downtime, stranded):
        weights = {"downtime_weight": downtime, "stranded_weight": stranded}
        view = view_of(
            ("big", {"replicas_per_hall": "1", "boxes_per_replica": "16"}),
            ("small", {"replicas_per_hall": "1"}),
            **weights,
        )
        policy = cost_based()
        placement, boxes = settle(policy, view, hall(1, 20))
        big = next(r for r in serving(placement) if r.model == "big")
        boxes[big.boxes[3]] = changed(boxes[big.boxes[3]], missing_s=60.0)
        after, _ = settle(policy, view, boxes, placement)
        return {r.model for r in serving(after) if judge(r, boxes).silent == ()}

    assert "big" in decide("0", "10")
    assert "small" in decide("10", "0")


def test_at_most_so_many_replicas_load_at_a_time():
    view = view_of(("draft", {"replicas_per_hall": "9"}), concurrent_loads="2")
    plan = cost_based().plan(given(HallPlacement("hall", Fence(1, 0, 0)), view, hall(9, 4)))
    assert len(plan.placement.replicas) == 2


def test_unchecked_boxes_do_not_move_while_isolated_or_before_they_settled():
    view = view_of(("draft", {"replicas_per_hall": "1"}), lease_ttl_s="5", settle_s="3")
    boxes = {n: changed(s, checks_orders=False, idle_s=7.9) for n, s in hall(1, 4).items()}
    start = HallPlacement("hall", Fence(1, 0, 0))
    assert not cost_based().plan(given(start, view, boxes)).placement.replicas
    settled = {n: changed(s, idle_s=8.0) for n, s in boxes.items()}
    assert cost_based().plan(given(start, view, settled)).placement.replicas
    assert not cost_based().plan(given(start, view, settled, isolated=True)).placement.replicas


def best_count(boxes, wanted, size):
    """Return the most replicas that any choice of boxes could form: exhaustive."""
    per_domain = {}
    for seen in boxes.values():
        if seen.idle and not seen.leaving:
            per_domain.setdefault(seen.box.fabric_domain, []).append(seen.box.name)
    best = 0
    choices = [range(len(names) // size + 1) for names in per_domain.values()]
    for counts in itertools.product(*choices):
        best = max(best, min(wanted, sum(counts)))
    return best


def test_against_an_exhaustive_search_the_most_replicas_are_formed():
    source = random.Random(20261202)
    for case in range(2000):
        wanted = source.randint(0, 5)
        boxes = hall(source.randint(1, 3), source.randint(3, 9))
        for name in boxes:
            if source.random() < 0.2:
                boxes[name] = changed(boxes[name], missing_s=99.0)
        view = view_of(("draft", {"replicas_per_hall": str(wanted)}), concurrent_loads="100")
        placement, _ = settle(cost_based(), view, boxes)
        assert len(serving(placement)) == best_count(boxes, wanted, 4), case


# Record, orders, adoption ---------------------------------------------------------------------


FIRST = Fence(1, 0, 2)


def replica_on(names, generation=FIRST, name="r1"):
    members = tuple(Member(n, n, f"{n}#0") for n in names)
    return Replica(name, "draft", "1", generation, members, 4, ReplicaPhase.SERVING)


def test_a_record_with_a_box_in_two_replicas_cannot_be_made():
    one, two = replica_on("abcd"), replica_on("defg", name="r2")
    with pytest.raises(AssertionError, match="box d"):
        HallPlacement("hall", replicas={"r1": one, "r2": two})
    with pytest.raises(AssertionError):
        HallPlacement("hall", replicas={"r1": one}, releases={"a": Fence(1, 0, 3)})


def test_a_record_survives_its_stored_form():
    placement, _ = settle(cost_based(), DRAFT, hall(3, 5))
    assert HallPlacement.from_json(placement.to_json()) == placement


def test_orders_follow_from_the_record_and_stop_once_obeyed():
    boxes = hall(1, 4)
    view = view_of(("draft", {"replicas_per_hall": "1"}))
    placement = (
        cost_based().plan(given(HallPlacement("hall", Fence(1, 0, 0)), view, boxes)).placement
    )
    orders = pending_orders(placement, view, boxes)
    assert {o.order.action for o in orders} == {OrderAction.LOAD}
    assert len(orders) == 4
    assert pending_orders(placement, view, carried_out(placement, boxes)) == ()


def test_adoption_takes_in_what_runs_and_only_if_it_is_whole():
    running = replica_on(["d0b0", "d0b1", "d0b2", "d0b3"], Fence(3, 65536, 9), "isolated")
    boxes = hall(1, 5)
    for name in running.boxes:
        boxes[name] = changed(boxes[name], state=member_state(running, name))
    adopted = adopt(HallPlacement("hall", Fence(3, 0, 4)), boxes, term=8)
    assert list(adopted.replicas) == ["isolated"]
    assert adopted.fence > running.generation
    boxes["d0b3"] = changed(boxes["d0b3"], missing_s=1.0)
    assert adopt(HallPlacement("hall", Fence(3, 0, 4)), boxes, term=8).replicas == {}


def test_absences_are_learned_per_cause():
    model = AbsenceModel()
    for _ in range(200):
        model.record(Absence.SILENT, 6.0)
    assert model.expected_remaining_s(Absence.SILENT, 2.0) == pytest.approx(4.0)
    assert model.expected_remaining_s(Absence.SILENT, 100.0) == model.never_s
    assert model.expected_remaining_s(Absence.DELISTED, 0.0) == model.never_s
