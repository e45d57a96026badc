"""Three halls carry out one plan: which part each takes, when, and what is not done twice."""

import asyncio
import itertools
import random
import uuid
from collections import Counter
from dataclasses import replace

import orjson
import pytest

from ...configuration import EngineSpec, ModelSpec
from ...hall_lease import placement_key
from ...standins.fleet import LoopClock, run_virtually
from ...store import MemoryStore, Put, Txn
from .._record import PlacementRecord
from .site import HALLS, Site

# The layout before the shortage: two replicas of m0 and one of m1 in each hall of 13 targets.
BEFORE = {"m0": 6, "m1": 3}

LOAD_S = 14.0


# All targets of the site can load at full speed; slower loads are tested in test_loads.
LOADS_AT_ONCE = 39


def engine(loads_at_once=LOADS_AT_ONCE):
    models = (ModelSpec("m0", 4, 0.9, LOAD_S, 1.4), ModelSpec("m1", 2, 0.1, LOAD_S, 1.4))
    return EngineSpec(17, 4.0, models, loads_at_once=loads_at_once, form_s=0.3)


async def calm_site(seed=1, spec=None, follows_site_plan=True):
    """Return a site without load whose replicas all serve."""
    site = Site(seed, spec or engine())
    site.follows_site_plan = follows_site_plan
    for hall in HALLS:
        site.start(hall)
    assert await site.until(lambda: site.open_counts() == BEFORE, 40.0) is not None
    await asyncio.sleep(20.0)
    return site


@pytest.mark.parametrize("small", (127.0, 138.0))
def test_a_shortage_is_relieved_although_weights_must_be_loaded(small):
    """Guards the measured case: 51 slots for 127 to 138, and 102 for 8, for the whole burst.

    The limit is the time until the second replica is given (a shortage counts after 1 s, the second
    replica leaves 1.5 s after the first, and both wait for the next check, 0.6 s at most) and the
    16.7 s that its change takes.
    """

    async def scenario():
        site = await calm_site()
        site.load = {"m0": 8.0, "m1": small}
        took_s = await site.until(lambda: not site.is_short(), 40.0)
        assert took_s is not None and took_s <= (1.0 + 0.6) + (1.5 + 0.6) + 16.7 + 0.1
        await asyncio.sleep(5.0)
        assert site.unused() <= 3.9
        assert site.open_counts()["m0"] >= 2
        first_s = site.reassigned[0][0]
        assert first_s - (site.clock.now_s() - took_s - 5.0) < 2.0
        assert len({hall for _, hall, _ in site.reassigned}) == len(site.reassigned)
        assert site.fleet.violations == []
        counts = site.open_counts()
        await asyncio.sleep(60.0)
        assert site.open_counts() == counts  # it has converged

    run_virtually(scenario())


def test_a_shortage_of_less_than_a_second_changes_nothing():
    async def scenario():
        site = await calm_site()
        for _ in range(10):
            site.load = {"m0": 8.0, "m1": 100.0}
            await asyncio.sleep(0.4)
            site.load, site.demand = {"m0": 8.0, "m1": 8.0}, {"m0": 8.0, "m1": 8.0}
            await asyncio.sleep(0.7)
        assert site.reassigned == []
        assert site.open_counts() == BEFORE

    run_virtually(scenario())


def test_an_evacuated_hall_keeps_its_replicas_and_the_others_replace_them():
    async def scenario():
        site = await calm_site()
        site.load = {"m0": 8.0, "m1": 45.0}
        await asyncio.sleep(5.0)
        site.closed = {"hall-a"}
        assert site.is_short()
        assert await site.until(lambda: not site.is_short(), 30.0) is not None
        await asyncio.sleep(5.0)
        assert all(hall != "hall-a" for _, hall, _ in site.reassigned)
        site.closed = set()
        heads = [head.model for head in site.fleet.open_heads() if head.hall == "hall-a"]
        assert heads.count("m0") == 2 and heads.count("m1") >= 1

    run_virtually(scenario())


def test_an_evacuated_hall_repairs_its_replicas():
    async def scenario():
        site = await calm_site()
        site.closed = {"hall-a"}
        site.load = {"m0": 8.0, "m1": 138.0}
        await asyncio.sleep(10.0)
        head = next(h for h in site.fleet.open_heads() if h.hall == "hall-a" and h.model == "m0")
        site.fleet.kill(head.members[1])
        site.list.on_silent(site.fleet.workers[head.members[1]])
        site.controllers["hall-a"].mark_suspected([head.members[1]], "test")

        def m0_in_hall_a():
            return sum(h.hall == "hall-a" and h.model == "m0" for h in site.fleet.open_heads())

        assert await site.until(lambda: m0_in_hall_a() == 1, 5.0) is not None
        assert await site.until(lambda: m0_in_hall_a() == 2, 20.0) is not None

    run_virtually(scenario())


def test_without_a_leader_in_a_hall_its_part_is_not_carried_out():
    async def scenario():
        site = await calm_site()
        site.tasks["hall-a"].cancel()
        await asyncio.sleep(3.0)
        site.load = {"m0": 8.0, "m1": 138.0}
        await asyncio.sleep(60.0)
        assert all(hall != "hall-a" for _, hall, _ in site.reassigned)
        heads = [head.model for head in site.fleet.open_heads() if head.hall == "hall-a"]
        assert heads.count("m0") == 2 and heads.count("m1") == 1
        assert not site.is_short()  # the other halls give instead
        assert site.open_counts()["m0"] >= 2

    run_virtually(scenario())


def test_leaders_that_know_different_demand_do_not_give_too_much():
    """Guards the time in which reports are old: each hall gives at most its part of the bound."""

    async def scenario():
        site = await calm_site()
        history = [dict(site.demand)]
        for delay, hall in zip((0, 5, 10), HALLS, strict=True):
            planner = site.controllers[hall].planner.site
            planner.observations = replace(
                planner.observations,
                demand=lambda service, delay=delay: history[max(0, len(history) - 1 - delay)],
            )
        site.load = {"m0": 8.0, "m1": 138.0}
        lowest = 6
        for _ in range(600):
            await asyncio.sleep(0.1)
            history.append(dict(site.demand))
            lowest = min(lowest, site.open_counts()["m0"])
        assert lowest >= 2
        times_s = [now_s for now_s, _, _ in site.reassigned]
        for hall in HALLS:
            own_s = [now_s for now_s, name, _ in site.reassigned if name == hall]
            assert all(b - a >= 1.5 for a, b in itertools.pairwise(own_s))
        assert len(times_s) <= 4
        assert not site.is_short()

    run_virtually(scenario())


@pytest.mark.parametrize("period_s", (2.0, 4.0, 8.0))
def test_demand_that_swings_faster_than_weights_load_does_not_turn_replicas_back_and_forth(
    period_s,
):
    """Guards against replicas that only load: a change is not reversed for three times its time."""

    async def scenario():
        site = await calm_site()
        for number in range(int(240.0 / period_s)):
            m0, m1 = (8.0, 132.0) if number % 2 == 0 else (130.0, 8.0)
            site.load = {"m0": m0, "m1": m1}
            await asyncio.sleep(period_s)
        for (first_s, _, first), (second_s, _, second) in itertools.pairwise(site.reassigned):
            assert first == second or second_s - first_s >= 2 * LOAD_S
        assert len(site.reassigned) <= 24  # one in 10 s
        assert site.fleet.violations == []

    run_virtually(scenario())


@pytest.mark.parametrize("seed", range(100, 110))
def test_a_change_that_came_to_nothing_is_not_repeated_while_demand_swings(seed, monkeypatch):
    """Failure: with some names of replicas, two targets were given away and formed every 8 s."""
    rng = random.Random(seed)
    monkeypatch.setattr("uuid.uuid4", lambda: uuid.UUID(int=rng.getrandbits(128)))

    async def scenario():
        site = await calm_site()
        for number in range(60):
            m0, m1 = (8.0, 132.0) if number % 2 == 0 else (130.0, 8.0)
            site.load = {"m0": m0, "m1": m1}
            await asyncio.sleep(4.0)
        by_direction = Counter((hall, model) for _, hall, model in site.reassigned)
        # 240 s hold five times the 48 s for which a change is held back; one was decided before.
        assert max(by_direction.values()) <= 5 + 1
        assert len(site.reassigned) <= 24  # one in 10 s

    run_virtually(scenario())


@pytest.mark.parametrize(("loads_at_once", "follows"), ((0, True), (LOADS_AT_ONCE, False)))
def test_without_the_figure_or_the_setting_nothing_follows_the_site_plan(loads_at_once, follows):
    """Guards deployments whose configuration lacks the figure, or whose settings the contract."""

    async def scenario():
        site = await calm_site(spec=engine(loads_at_once), follows_site_plan=follows)
        site.load = {"m0": 8.0, "m1": 138.0}
        for _ in range(80):
            await asyncio.sleep(0.1)
            planners = [controller.planner for controller in site.controllers.values()]
            assert all(planner.site.plan("engines") is None for planner in planners)
        assert planners[0].is_short("engines", "m1")
        assert not planners[0].is_short("engines", "m0")

    run_virtually(scenario())


def test_a_hall_that_is_cut_off_does_not_stop_the_others():
    """Its demand lapses and its targets stay in the list; nobody carries out its part."""

    async def scenario():
        site = await calm_site()
        site.load = {"m0": 8.0, "m1": 120.0}
        await asyncio.sleep(1.0)
        site.tasks["hall-b"].cancel()
        site.load, site.demand = {"m0": 6.0, "m1": 80.0}, {"m0": 6.0, "m1": 80.0}
        assert await site.until(lambda: not site.is_short(), 40.0) is not None
        assert all(hall != "hall-b" for _, hall, _ in site.reassigned)
        assert site.open_counts()["m0"] >= 2
        assert site.fleet.violations == []

    run_virtually(scenario())


def test_after_a_total_loss_the_first_plan_follows_the_recorded_demand():
    """Guards the layout after all daemons and targets have lost power in a shortage."""

    async def scenario():
        site = await calm_site()
        site.load = {"m0": 8.0, "m1": 138.0}
        assert await site.until(lambda: not site.is_short(), 40.0) is not None
        await asyncio.sleep(5.0)
        for task in site.tasks.values():
            task.cancel()
        again = Site(2, engine(), store=site.store)
        for hall in HALLS:
            controller = again.start(hall)
        await asyncio.sleep(5.0)
        assert 100.0 < controller.record.demand["engines"]["m1"] <= 138.0
        assert controller.planner.demand("engines") == {}
        assert await again.until(lambda: again.open_counts()["m1"] >= 9, 25.0) is not None
        assert again.reassigned == []  # nothing is given away by a demand of unknown age

    run_virtually(scenario())


def test_a_replica_that_another_hall_reports_under_change_counts_for_its_new_model():
    """Guards against a second gift while the first replica still serves and loads weights."""

    async def scenario():
        site = await calm_site()
        for hall in ("hall-b", "hall-c"):
            site.tasks[hall].cancel()
        planner = site.controllers["hall-a"].planner.site
        changing = {}
        planner.observations = replace(planner.observations, remote_changes=lambda: changing)
        heads = [h for h in site.fleet.open_heads() if h.hall != "hall-a" and h.model == "m0"]
        changing.update({heads[0].group_key: "m1", heads[1].group_key: "m1"})
        site.load = {"m0": 8.0, "m1": 138.0}
        await asyncio.sleep(12.0)
        # Two idle targets of each hall and two replicas of m0 make ten of m1 with those there are.
        assert planner.plan("engines").site_counts() == {"m0": 4, "m1": 10}
        assert site.reassigned == []
        site.load = {"m0": 130.0, "m1": 8.0}
        await asyncio.sleep(10.0)
        assert site.reassigned == []  # the reported changes are not reversed

    run_virtually(scenario())


@pytest.mark.parametrize("value", (b"{}", b'{"demand": 3}', b"[]", b"x", b'{"demand":{"s":1}}'))
def test_a_record_without_readable_demand_is_used_all_the_same(value):
    """Guards upgrades: an older version writes no demand."""

    async def scenario():
        store = MemoryStore(LoopClock())
        done = await store.transact(Txn((), (Put(placement_key("hall-a"), value),), ()))
        record = PlacementRecord(store, "hall-a", "one")
        assert await record.read()
        assert record.demand == {}
        assert await record.write({}) > done.position.rank()

    run_virtually(scenario())


def test_a_record_without_demand_has_the_fields_of_an_older_version():
    async def scenario():
        store = MemoryStore(LoopClock())
        record = PlacementRecord(store, "hall-a", "one")
        for demand, fields in (({}, set()), ({"engines": {"m0": 2.345}}, {"demand"})):
            assert await record.read()
            assert await record.write({}, demand) is not None
            found = await store.range(placement_key("hall-a"))
            stored = orjson.loads(found.items[0].value)
            assert stored.keys() == {"holder", "nonce", "replicas"} | fields
        reader = PlacementRecord(store, "hall-a", "two")
        assert await reader.read()
        assert reader.demand == {"engines": {"m0": 2.3}}

    run_virtually(scenario())
