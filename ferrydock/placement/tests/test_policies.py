"""Rules that every placement policy keeps, and decisions of the cost-based policy."""

import itertools
import random

import pytest

from ...engines import BoxPhase, BoxState, Fence, OrderAction
from ...store import Box
from ...table import RowKey, Table
from .. import (
    AbsenceCause,
    AbsenceModel,
    HallPlacement,
    Member,
    ObservedBox,
    PlacementInput,
    Replica,
    ReplicaPhase,
    adopt,
    assess_health,
    make_placement_policy,
    pending_orders,
    placement_policies,
)

RATE_BYTES_PER_S = 1e9


def make_view(*models, **site):
    rows = {RowKey("halls", "hall"): {}, RowKey("site", "site"): site}
    for name, cells in models:
        rows[RowKey("models", name)] = {"weight_bytes": "4000000000", **cells}
    view = Table(rows, 1).view()
    assert hasattr(view, "models"), view
    return view


TWO_DRAFT_REPLICAS = make_view(("draft", {"replicas_per_hall": "2"}), member_wait_s="4")


def idle_box(name, domain, held=()):
    box = Box(name, "hall", domain, name)
    state = BoxState(name, f"{name}#0", Fence(0, 0, 0), BoxPhase.IDLE, held=held)
    return ObservedBox(box, state)


def idle_boxes(domains, per_domain, held=()):
    boxes = [
        idle_box(f"d{d}b{b}", f"d{d}", held) for d in range(domains) for b in range(per_domain)
    ]
    return {observed.box.name: observed for observed in boxes}


def with_changes(observed, **fields):
    values = {name: getattr(observed, name) for name in ObservedBox.__slots__}
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


def obey_orders(placement, boxes):
    """Return the boxes in the state they have once all orders are obeyed."""
    after = dict(boxes)
    for replica in placement.replicas.values():
        for name in replica.boxes:
            if after[name].present:
                after[name] = with_changes(after[name], state=member_state(replica, name))
    for name, fence in placement.releases.items():
        observed = after.get(name)
        if observed is not None and observed.present:
            held = observed.state.held
            state = BoxState(name, observed.state.incarnation, fence, BoxPhase.IDLE, held=held)
            after[name] = with_changes(observed, state=state)
    return after


def make_input(placement, view, boxes, drained=(), isolated=False):
    return PlacementInput(placement, view, boxes, frozenset(drained), RATE_BYTES_PER_S, isolated)


def plan_until_stable(policy, view, boxes, placement=None, rounds=12, **more):
    """Plan and obey the orders until the plan no longer changes."""
    placement = placement or HallPlacement("hall", Fence(1, 0, 0))
    for _ in range(rounds):
        plan = policy.plan(make_input(placement, view, boxes, **more))
        if plan.placement is placement:
            break
        placement = plan.placement
        boxes = obey_orders(placement, boxes)
    return placement, boxes


def serving(placement):
    return [r for r in placement.replicas.values() if r.phase is ReplicaPhase.SERVING]


@pytest.fixture(params=placement_policies())
def policy(request):
    return make_placement_policy(request.param)


# Every policy ---------------------------------------------------------------------------------


def test_forms_the_replicas_in_the_table_within_fabric_domains(policy):
    boxes = idle_boxes(3, 5)
    placement, _ = plan_until_stable(policy, TWO_DRAFT_REPLICAS, boxes)
    assert len(serving(placement)) == 2
    for replica in serving(placement):
        assert len({boxes[b].box.fabric_domain for b in replica.boxes}) == 1


def test_the_record_does_not_change_once_all_replicas_serve(policy):
    placement, boxes = plan_until_stable(policy, TWO_DRAFT_REPLICAS, idle_boxes(3, 4))
    assert policy.plan(make_input(placement, TWO_DRAFT_REPLICAS, boxes)).placement is placement


def test_fences_rise_and_no_generation_is_used_for_other_boxes(policy):
    source = random.Random(7)
    boxes, placement, boxes_by_generation = (
        idle_boxes(2, 6),
        HallPlacement("hall", Fence(1, 0, 0)),
        {},
    )
    for _ in range(60):
        name = source.choice(sorted(boxes))
        missing = boxes[name].missing_s
        boxes[name] = with_changes(boxes[name], missing_s=0.0 if missing else 99.0)
        plan = policy.plan(make_input(placement, TWO_DRAFT_REPLICAS, boxes))
        assert plan.placement.fence >= placement.fence
        placement = plan.placement
        for replica in placement.replicas.values():
            assert (
                boxes_by_generation.setdefault(replica.generation, replica.boxes) == replica.boxes
            )
        boxes = obey_orders(placement, boxes)


def test_a_surplus_replica_is_drained_before_it_is_dissolved(policy):
    placement, boxes = plan_until_stable(policy, TWO_DRAFT_REPLICAS, idle_boxes(3, 4))
    fewer = make_view(("draft", {"replicas_per_hall": "1"}))
    draining = policy.plan(make_input(placement, fewer, boxes)).placement
    phases = sorted(r.phase for r in draining.replicas.values())
    assert phases == [ReplicaPhase.DRAINING, ReplicaPhase.SERVING]
    leaving = next(r for r in draining.replicas.values() if r.phase is ReplicaPhase.DRAINING)
    done = policy.plan(make_input(draining, fewer, boxes, drained=[leaving.replica_id])).placement
    assert len(done.replicas) == 1
    assert set(leaving.boxes) <= set(done.releases)


def test_silent_leaving_and_unlisted_boxes_are_not_used(policy):
    boxes = idle_boxes(1, 7)
    boxes["d0b0"] = with_changes(boxes["d0b0"], missing_s=50.0)
    boxes["d0b1"] = with_changes(boxes["d0b1"], leaving=True)
    boxes["d0b2"] = with_changes(boxes["d0b2"], listed=False)
    placement, _ = plan_until_stable(
        policy, make_view(("draft", {"replicas_per_hall": "1"})), boxes
    )
    assert set(serving(placement)[0].boxes) == {"d0b3", "d0b4", "d0b5", "d0b6"}


# The cost-based policy ------------------------------------------------------------------------


def cost_based(**parameters):
    return make_placement_policy("cost_based", **parameters)


def boxes_with_a_lost_member(spares=1, wanted="1", missing_s=99.0, **site):
    view = make_view(("draft", {"replicas_per_hall": wanted}), **site)
    policy = cost_based()
    placement, boxes = plan_until_stable(policy, view, idle_boxes(1, 4 * int(wanted) + spares))
    lost = serving(placement)[0].boxes[1]
    boxes[lost] = with_changes(boxes[lost], missing_s=missing_s)
    return policy, view, placement, boxes, lost


def test_waits_for_a_member_that_is_silent_for_a_short_time():
    policy, view, placement, boxes, lost = boxes_with_a_lost_member(
        missing_s=1.0, member_wait_s="4"
    )
    plan = policy.plan(make_input(placement, view, boxes))
    assert plan.placement is placement
    assert lost in plan.reasons[serving(placement)[0].replica_id]


def test_replaces_only_the_lost_member():
    policy, view, placement, boxes, lost = boxes_with_a_lost_member()
    after, _ = plan_until_stable(policy, view, boxes, placement)
    before, now = serving(placement)[0], serving(after)[0]
    assert set(before.boxes) - set(now.boxes) == {lost}
    assert now.replica_id == before.replica_id


def test_a_spare_box_fetches_weights_unless_switched_off():
    view = make_view(("draft", {"replicas_per_hall": "1"}))
    placement, _ = plan_until_stable(cost_based(), view, idle_boxes(1, 5))
    assert len(placement.prepares) == 1
    without, _ = plan_until_stable(cost_based(prepare_spares=False), view, idle_boxes(1, 5))
    assert without.prepares == {}


def test_a_broken_replica_is_completed_with_boxes_of_another():
    policy, view, placement, boxes, _ = boxes_with_a_lost_member(spares=0, wanted="2")
    other = serving(placement)[1]
    boxes[other.boxes[0]] = with_changes(boxes[other.boxes[0]], missing_s=99.0)
    after, _ = plan_until_stable(policy, view, boxes, placement)
    assert len(serving(after)) == 1


def test_a_broken_replica_moves_to_a_domain_with_enough_boxes():
    view = make_view(("draft", {"replicas_per_hall": "1"}))
    policy = cost_based()
    placement, boxes = plan_until_stable(policy, view, idle_boxes(2, 4))
    before = serving(placement)[0]
    boxes[before.boxes[2]] = with_changes(boxes[before.boxes[2]], missing_s=99.0)
    after, _ = plan_until_stable(policy, view, boxes, placement)
    assert not set(serving(after)[0].boxes) & set(before.boxes)


def test_a_replica_of_lower_priority_is_drained_for_a_model_of_higher_priority():
    low = ("low", {"replicas_per_hall": "1", "priority": "2"})
    policy = cost_based()
    placement, boxes = plan_until_stable(policy, make_view(low), idle_boxes(1, 4))
    both = make_view(low, ("high", {"replicas_per_hall": "1", "priority": "8"}))
    draining = policy.plan(make_input(placement, both, boxes)).placement
    assert [r.phase for r in draining.replicas.values()] == [ReplicaPhase.DRAINING]
    names = list(draining.replicas)
    done, _ = plan_until_stable(policy, both, boxes, draining, drained=names)
    assert [r.model for r in serving(done)] == ["high"]
    back = policy.plan(make_input(draining, make_view(low), boxes)).placement
    assert [r.phase for r in back.replicas.values()] == [ReplicaPhase.SERVING]


def test_a_draining_replica_serves_again_once_no_member_is_leaving():
    view = make_view(("draft", {"replicas_per_hall": "1"}))
    policy = cost_based()
    placement, boxes = plan_until_stable(policy, view, idle_boxes(1, 5))
    box = serving(placement)[0].boxes[0]
    marked = {**boxes, box: with_changes(boxes[box], leaving=True)}
    draining = policy.plan(make_input(placement, view, marked)).placement
    assert serving(draining) == []
    assert len(serving(policy.plan(make_input(draining, view, boxes)).placement)) == 1


def test_the_objective_weights_decide_which_of_two_models_gets_the_boxes():
    def decide(downtime, stranded):
        weights = {"downtime_weight": downtime, "stranded_weight": stranded}
        view = make_view(
            ("big", {"replicas_per_hall": "1", "boxes_per_replica": "16"}),
            ("small", {"replicas_per_hall": "1"}),
            **weights,
        )
        policy = cost_based()
        placement, boxes = plan_until_stable(policy, view, idle_boxes(1, 20))
        big = next(r for r in serving(placement) if r.model == "big")
        boxes[big.boxes[3]] = with_changes(boxes[big.boxes[3]], missing_s=60.0)
        after, _ = plan_until_stable(policy, view, boxes, placement)
        return {r.model for r in serving(after) if assess_health(r, boxes).silent == ()}

    assert "big" in decide("0", "10")
    assert "small" in decide("10", "0")


def test_concurrent_loads_limits_how_many_replicas_form():
    view = make_view(("draft", {"replicas_per_hall": "9"}), concurrent_loads="2")
    plan = cost_based().plan(
        make_input(HallPlacement("hall", Fence(1, 0, 0)), view, idle_boxes(9, 4))
    )
    assert len(plan.placement.replicas) == 2


def test_unchecked_boxes_join_no_replica_while_isolated_or_before_settle_time():
    view = make_view(("draft", {"replicas_per_hall": "1"}), lease_ttl_s="5", settle_s="3")
    boxes = {
        n: with_changes(s, checks_orders=False, idle_s=7.9) for n, s in idle_boxes(1, 4).items()
    }
    start = HallPlacement("hall", Fence(1, 0, 0))
    assert not cost_based().plan(make_input(start, view, boxes)).placement.replicas
    settled = {n: with_changes(s, idle_s=8.0) for n, s in boxes.items()}
    assert cost_based().plan(make_input(start, view, settled)).placement.replicas
    assert not cost_based().plan(make_input(start, view, settled, isolated=True)).placement.replicas


def max_replica_count(boxes, wanted, size):
    """Return the highest number of replicas that the boxes can form, by exhaustive search."""
    per_domain = {}
    for observed in boxes.values():
        if observed.idle and not observed.leaving:
            per_domain.setdefault(observed.box.fabric_domain, []).append(observed.box.name)
    best = 0
    choices = [range(len(names) // size + 1) for names in per_domain.values()]
    for counts in itertools.product(*choices):
        best = max(best, min(wanted, sum(counts)))
    return best


def test_forms_as_many_replicas_as_an_exhaustive_search():
    source = random.Random(20261202)
    for case in range(2000):
        wanted = source.randint(0, 5)
        boxes = idle_boxes(source.randint(1, 3), source.randint(3, 9))
        for name in boxes:
            if source.random() < 0.2:
                boxes[name] = with_changes(boxes[name], missing_s=99.0)
        view = make_view(("draft", {"replicas_per_hall": str(wanted)}), concurrent_loads="100")
        placement, _ = plan_until_stable(cost_based(), view, boxes)
        assert len(serving(placement)) == max_replica_count(boxes, wanted, 4), case


# Record, orders, adoption ---------------------------------------------------------------------


FIRST = Fence(1, 0, 2)


def replica_on(names, generation=FIRST, name="r1"):
    members = tuple(Member(n, n, f"{n}#0") for n in names)
    return Replica(name, "draft", "1", generation, members, 4, ReplicaPhase.SERVING)


def test_a_record_with_a_box_in_two_replicas_is_rejected():
    one, two = replica_on("abcd"), replica_on("defg", name="r2")
    with pytest.raises(AssertionError, match="box d"):
        HallPlacement("hall", replicas={"r1": one, "r2": two})
    with pytest.raises(AssertionError):
        HallPlacement("hall", replicas={"r1": one}, releases={"a": Fence(1, 0, 3)})


def test_a_record_is_unchanged_after_encoding_and_decoding():
    placement, _ = plan_until_stable(cost_based(), TWO_DRAFT_REPLICAS, idle_boxes(3, 5))
    assert HallPlacement.from_json(placement.to_json()) == placement


def test_orders_are_pending_until_obeyed():
    boxes = idle_boxes(1, 4)
    view = make_view(("draft", {"replicas_per_hall": "1"}))
    placement = (
        cost_based().plan(make_input(HallPlacement("hall", Fence(1, 0, 0)), view, boxes)).placement
    )
    orders = pending_orders(placement, view, boxes)
    assert {o.order.action for o in orders} == {OrderAction.LOAD}
    assert len(orders) == 4
    assert pending_orders(placement, view, obey_orders(placement, boxes)) == ()


def test_adopt_adds_running_replicas_only_if_complete():
    running = replica_on(["d0b0", "d0b1", "d0b2", "d0b3"], Fence(3, 65536, 9), "isolated")
    boxes = idle_boxes(1, 5)
    for name in running.boxes:
        boxes[name] = with_changes(boxes[name], state=member_state(running, name))
    adopted = adopt(HallPlacement("hall", Fence(3, 0, 4)), boxes, term=8)
    assert list(adopted.replicas) == ["isolated"]
    assert adopted.fence > running.generation
    boxes["d0b3"] = with_changes(boxes["d0b3"], missing_s=1.0)
    assert adopt(HallPlacement("hall", Fence(3, 0, 4)), boxes, term=8).replicas == {}


def test_expected_absences_are_estimated_per_cause():
    model = AbsenceModel()
    for _ in range(200):
        model.record(AbsenceCause.SILENT, 6.0)
    assert model.expected_remaining_s(AbsenceCause.SILENT, 2.0) == pytest.approx(4.0)
    assert model.expected_remaining_s(AbsenceCause.SILENT, 100.0) == model.max_absence_s
    assert model.expected_remaining_s(AbsenceCause.DELISTED, 0.0) == model.max_absence_s
