"""Spares that serve while a model is short, and targets that rejoin a model they have served."""

import asyncio
from dataclasses import replace

from ...standins.fleet import run_virtually
from .._plan import DomainState, choose_members, next_formation, ready_in_s
from .._staging import WeightLoad
from .hall import Hall
from .specs import two_models, worker

ALL_REPLICAS = {"large": 2, "small": 4}
LARGE, SMALL = two_models().models


def test_a_target_rejoins_its_last_model_at_once_whatever_its_host_holds():
    """Its host's other weights once made it look as if it had to load for 16 s."""
    target = worker("t", staged=("small",), last_model="large")
    loading = {"t": WeightLoad("small", 9.0)}
    assert ready_in_s(target, LARGE) == ready_in_s(target, LARGE, loading) == 0.2
    assert ready_in_s(target, SMALL) == SMALL.warm_s
    assert ready_in_s(target, SMALL, loading) == 9.0 + SMALL.warm_s
    others = [worker(f"o{n}", staged=("small",)) for n in range(3)]
    formation = choose_members([*others, target], SMALL)
    assert formation.loads == 0
    assert choose_members([*others, target], LARGE).loads == 3


def spares(counts, extra):
    idle = [worker(f"s{n}", staged=("small",)) for n in range(2)]
    return DomainState(10, idle, counts, {"large": 0.0, "small": 1.0}, extra)


def test_spares_form_a_replica_only_for_a_model_that_is_short():
    def formation(domain):
        weights = {"large": 0.5, "small": 0.5}
        return next_formation(domain, two_models(), {}, weights, 5, may_load=False)

    assert formation(spares({"small": 4}, {})) is None
    assert formation(spares({"small": 4}, {"large": 1})) is None
    domain = spares({"small": 4}, {"small": 1})
    found = formation(domain)
    assert found.model == SMALL and found.is_extra
    domain.add(found)
    assert domain.extra == {"small": 0} and formation(domain) is None


def test_a_replacement_of_a_lost_replica_is_not_extra():
    domain = spares({"small": 3}, {"small": 1})
    found = next_formation(domain, two_models(), {}, {"large": 0.5, "small": 0.5}, 5)
    assert not found.is_extra


def test_targets_that_hold_the_model_form_a_replica_though_it_warms_up_faster_than_they_rejoin():
    engine = replace(two_models(), models=(LARGE, replace(SMALL, warm_s=0.1)))
    domain = spares({"small": 3}, {})
    domain.idle = [worker(f"s{n}", staged=("small",), last_model="small") for n in range(2)]
    weights = {"large": 0.5, "small": 0.5}
    assert next_formation(domain, engine, {}, weights, 5, may_load=False).model.name == "small"


async def calm_hall(hall, **engine):
    hall.start_controller()
    assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 60.0) is not None
    hall.demand = {"large": 9.0, "small": 10.0}
    hall.set_engine(two_models(**engine))
    await asyncio.sleep(30.0)
    assert hall.models() == ALL_REPLICAS
    return hall


def test_spares_serve_in_a_shortage_and_are_spares_again_afterwards():
    async def scenario():
        hall = await calm_hall(Hall(1), loads_at_once=20, form_s=0.3)
        hall.demand = {"large": 9.0, "small": 40.0}
        # 4 s until the shortage counts, 1.1 s to join with weights that the spares hold.
        took_s = await hall.until(lambda: hall.models()["small"] == 5, 20.0)
        assert took_s is not None and took_s < 6.5
        # The other domain's spares load the weights first.
        took_s = await hall.until(lambda: hall.models()["small"] == 6, 20.0)
        assert took_s is not None
        assert hall.models()["large"] == 2
        await asyncio.sleep(30.0)
        hall.demand = {"large": 9.0, "small": 10.0}
        assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 15.0) is None
        assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 60.0) is not None
        await asyncio.sleep(30.0)
        assert hall.models() == ALL_REPLICAS
        assert hall.broken == [] and hall.fleet.violations == []

    run_virtually(scenario())


def test_spares_stay_idle_where_the_configuration_lacks_the_loads_at_once():
    async def scenario():
        hall = await calm_hall(Hall(2))
        hall.demand = {"large": 9.0, "small": 40.0}
        await asyncio.sleep(30.0)
        assert hall.models() == ALL_REPLICAS

    run_virtually(scenario())


def test_spares_that_serve_do_not_swing_while_the_demand_stays():
    async def scenario():
        hall = await calm_hall(Hall(3), loads_at_once=20)
        hall.demand = {"large": 9.0, "small": 32.0}
        assert await hall.until(lambda: hall.models()["small"] >= 5, 20.0) is not None
        await asyncio.sleep(10.0)
        keys = {head.group_key for head in hall.fleet.open_heads()}
        await asyncio.sleep(90.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == keys

    run_virtually(scenario())
