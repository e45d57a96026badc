"""Replicas follow the demand: weights of the models, and reassignment of replicas."""

import asyncio
import itertools

import pytest

from ...clock import ManualClock
from ...configuration import EngineSpec, ModelSpec
from ...standins.fleet import run_virtually
from ...targets import TargetDirectory
from .. import ControllerSettings, HallPlanner, HallState, domain_shares
from .._model_weights import SteadyWeights, model_weights, replicas_needed
from .._observed import ObservedReplica
from .._plan import DomainState, desired_counts
from .._turn_over import HallSupply, choose_reassignment
from .hall import Hall
from .specs import two_models, worker

SLOTS = two_models().slots


def engine(*models):
    return EngineSpec(9, 5.0, tuple(ModelSpec(*model, 16.0, 1.6) for model in models))


@pytest.mark.parametrize(
    ("models", "wanted"),
    [
        ((("only", 4, 1.0),), {"only": 30.0}),
        ((("a", 8, 0.5), ("b", 4, 0.3), ("c", 2, 0.2)), {"a": 9.0, "b": 40.0, "c": 3.0}),
        ((("a", 4, 0.9), ("b", 2, 0.1)), {}),
        ((("a", 4, 0.0), ("b", 2, 0.0)), {}),
        ((("a", 4, 0.9), ("b", 2, 0.1)), {"b": 5.0}),
    ],
)
@pytest.mark.parametrize("size", (8, 10, 12, 19))
def test_every_number_and_size_of_models_gives_a_plan(models, wanted, size):
    spec = engine(*models)
    weights = model_weights(spec, wanted)
    assert abs(sum(weights.values()) - 1.0) < 1e-9
    assert all(weight > 0 for weight in weights.values())
    for domains in (1, 2, 3):
        for shares in domain_shares(weights, [{}] * domains):
            counts = desired_counts(size, spec, shares)
            used = sum(counts[model.name] * model.size for model in spec.models)
            assert 0 < used <= size


def test_a_model_with_more_demand_gets_a_larger_weight():
    weights = [model_weights(two_models(), {"large": 20.0, "small": s}) for s in range(0, 90, 5)]
    assert all(a["small"] < b["small"] for a, b in itertools.pairwise(weights))


def test_domains_keep_their_model_when_weights_change_a_little():
    for weight in (0.45, 0.5, 0.55):
        weights = {"large": weight, "small": 1.0 - weight}
        for first, second in (("large", "small"), ("small", "large")):
            shares = domain_shares(weights, [{first: 8}, {second: 8}])
            assert [max(s, key=s.get) for s in shares] == [first, second]


def test_small_swings_of_demand_change_no_weights():
    steady = SteadyWeights()
    taken = {
        tuple(
            steady.update(
                model_weights(two_models(), {"large": 20.0 + 4.0 * (at % 2), "small": 30.0}), at
            ).items()
        )
        for at in range(200)
    }
    assert len(taken) == 1


def smallest_unserved(size, spec, supply, weights):
    """Return the smallest number of slots left unserved by any counts, found by trying all."""
    options = [range(size // model.size + 1) for model in spec.models]
    found = []
    for counts in itertools.product(*options):
        if sum(c * m.size for c, m in zip(counts, spec.models, strict=True)) > size:
            continue
        unserved = sum(
            max(0.0, supply.slots_wanted[m.name] - c * spec.slots)
            for c, m in zip(counts, spec.models, strict=True)
        )
        found.append(unserved)
    return min(found)


@pytest.mark.parametrize("small", (0.0, 6.0, 12.0, 18.0, 24.0, 30.0))
@pytest.mark.parametrize("large", (2.0, 9.0, 16.0))
def test_the_plan_serves_all_demand_wherever_some_plan_can(large, small):
    spec = two_models()
    wanted = {"large": large, "small": small}
    supply = HallSupply(wanted, 1.0, {})
    weights = model_weights(spec, wanted)
    if smallest_unserved(16, spec, supply, weights) > 0:
        return  # no plan can serve the demand; the rule does not say which model goes short
    shares = domain_shares(weights, [{}, {}])
    counts = {m.name: 0 for m in spec.models}
    for share in shares:
        for name, count in desired_counts(10, spec, share).items():
            counts[name] += count
    assert all(counts[name] * spec.slots >= slots for name, slots in wanted.items())


def replica(name, model, size):
    members = [worker(f"{name}-{n}", models=(model,)) for n in range(size)]
    return ObservedReplica(name, 1, members)


def domain(counts, shares=None, idle=()):
    return DomainState(8, list(idle), dict(counts), shares or {"large": 0.0, "small": 1.0})


REPLICAS = [replica("r1", "large", 4), replica("r2", "large", 4)]


def test_a_surplus_replica_is_reassigned_to_a_model_that_is_short():
    supply = HallSupply({"large": 2.0, "small": 40.0}, 1.0, {"large": 6.0, "small": 3.0})
    found = choose_reassignment(domain({"large": 2}), REPLICAS, two_models(), supply)
    assert (found.replica.name, found.model.name) == ("r2", "small")


@pytest.mark.parametrize(
    ("wanted", "replicas", "why"),
    [
        ({}, {"large": 6, "small": 1}, "nothing was observed"),
        ({"large": 2.0, "small": 10.0}, {"large": 6, "small": 4}, "nobody is short"),
        ({"large": 40.0, "small": 40.0}, {"large": 6, "small": 3}, "it is needed where it is"),
    ],
)
def test_a_replica_is_not_reassigned(wanted, replicas, why):
    supply = HallSupply(wanted, 1.0, replicas)
    assert choose_reassignment(domain({"large": 2}), REPLICAS, two_models(), supply) is None, why


def test_idle_targets_are_used_before_a_replica_is_reassigned():
    supply = HallSupply({"large": 2.0, "small": 40.0}, 1.0, {"large": 6.0, "small": 3.0})
    idle = [worker("i1"), worker("i2")]
    assert (
        choose_reassignment(domain({"large": 2}, idle=idle), REPLICAS, two_models(), supply) is None
    )


def test_a_hall_follows_changing_demand_without_cutting_requests():
    async def scenario():
        hall = Hall(3)
        hall.demand = {"large": 6.0, "small": 10.0}
        hall.start_controller()
        assert await hall.until(lambda: hall.models() == {"large": 2, "small": 4}, 60.0) is not None
        hall.demand = {"large": 1.0, "small": 45.0}
        assert await hall.until(lambda: hall.models()["small"] >= 6, 90.0) is not None
        assert hall.models()["large"] >= 1
        assert hall.broken == []
        hall.demand = {"large": 14.0, "small": 6.0}
        assert await hall.until(lambda: hall.models()["large"] >= 2, 120.0) is not None
        assert hall.broken == []
        assert hall.fleet.violations == []
        await asyncio.sleep(60.0)
        models = hall.models()
        await asyncio.sleep(60.0)
        assert hall.models() == models  # the plan has converged

    run_virtually(scenario())


def test_a_hall_reassigns_only_for_its_share_of_a_shortage():
    wanted = {"large": 2.0, "small": 15.0}  # the site wants 3.5 replicas of small
    whole_site = HallSupply(wanted, 1.0, {"large": 3, "small": 2})
    one_of_three = HallSupply(wanted, 1 / 3, {"large": 3, "small": 2})
    found = [
        choose_reassignment(domain({"large": 2, "small": 2}), REPLICAS, two_models(), supply)
        for supply in (whole_site, one_of_three)
    ]
    assert found[0] is not None
    assert found[1] is None


def planner_of(domains):
    """Return a planner, its targets by domain (the last holds large), demand and clock."""
    directory, clock = TargetDirectory(), ManualClock(100.0)
    models = ["small"] * (domains - 1) + ["large"]
    targets = {
        f"d{number}": [
            worker(f"w{number}-{n}", f"d{number}", staged=(model,), models=(model,))
            for n in range(8)
        ]
        for number, model in enumerate(models)
    }
    for target in (t for members in targets.values() for t in members):
        directory.put(target)
    settings = ControllerSettings("hall-a", 1, 5.0, 1.1)
    demand = {}
    planner = HallPlanner(
        HallState(clock, directory), directory, clock, settings, lambda service: demand
    )
    return planner, targets, demand, clock


def test_a_domain_without_targets_keeps_its_model():
    planner, targets, _, _ = planner_of(2)
    all_targets = [t for members in targets.values() for t in members]
    before = planner.plan("engines", all_targets, two_models()).replicas
    assert before == {"large": 2, "small": 3}
    # The domain of the large model has no targets left: the other domain keeps its own model.
    assert planner.plan("engines", targets["d0"], two_models()).replicas == {
        "large": 0,
        "small": 3,
    }


def test_a_new_term_starts_without_the_shortages_of_an_earlier_one():
    planner, targets, demand, clock = planner_of(2)
    all_targets = [t for members in targets.values() for t in members]
    demand.update({"large": 2.0, "small": 60.0})
    replicas = [replica("r1", "large", 4), replica("r2", "large", 4)]
    for _ in range(2):
        assert planner.reassignments("engines", all_targets, replicas, two_models()) == []
        clock.advance(3.0)
    planner.reset()
    clock.advance(30.0)
    assert planner.reassignments("engines", all_targets, replicas, two_models()) == []
    assert planner.weights("engines", two_models()) == model_weights(two_models(), demand)


def test_replicas_needed_cover_variance_and_one_loss():
    assert replicas_needed(0.0, SLOTS) == 1.0
    assert replicas_needed(SLOTS * 4.0, SLOTS) > 6.0
