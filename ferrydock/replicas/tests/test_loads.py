"""Loads of weights that are in progress, while more of them run than run at full speed."""

import asyncio
from dataclasses import replace

from ...standins.fleet import FleetList, run_virtually
from ...targets import StageOrder
from .hall import Hall
from .specs import two_models

ALL_REPLICAS = {"large": 2, "small": 4}

# Reports requested before the members of the replica that the loads are for are ordered to join.
REPORTS_BEFORE_JOINS = 2


class ListWithoutUnfinishedLoads(FleetList):
    """A target list whose entries show a model as staged only when its load is done."""

    def _on_change(self, worker):
        loop = asyncio.get_running_loop()
        left_s = worker.staging_until_s - loop.time()
        entry = replace(worker.entry, staged=()) if left_s > 0 else worker.entry
        self._queue.put_nowait((worker.worker_id, entry))
        if left_s > 0:
            loop.call_later(left_s + 0.01, self._on_change, worker)


async def hall_with_new_workers(hall, **engine):
    """Return a hall that serves, with an engine that is set then, and four workers added then."""
    hall.start_controller()
    assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 60.0) is not None
    await asyncio.sleep(30.0)
    hall.set_engine(two_models(**engine))
    for number in range(4):
        hall.fleet.add(f"new-{number}", "hall-a", "d1")
    assert await hall.until(lambda: all(w.load_times for w in new_workers(hall)), 5.0) is not None
    return hall


def new_workers(hall):
    return [hall.fleet.workers[f"new-{number}"] for number in range(4)]


def load_counts(hall):
    return [len(worker.load_times) for worker in new_workers(hall)]


def test_a_load_slowed_down_by_others_is_not_ordered_again_before_it_is_done(caplog):
    async def scenario():
        hall = Hall(1)
        hall.use_list(ListWithoutUnfinishedLoads(hall.fleet))
        await hall_with_new_workers(hall, loads_at_once=1)
        took_s = await hall.until(lambda: hall.models()["small"] == 6, 100.0)
        # Four loads of 12 s at a quarter of the speed.
        assert took_s is not None and 46.0 < took_s < 55.0
        orders = [caplog.text.count(f"StageOrder target=new-{number}") for number in range(4)]
        assert orders == load_counts(hall) == [1, 1, 1, 1]

    with caplog.at_level("INFO"):
        run_virtually(scenario())


def test_targets_are_asked_about_their_loads_once_if_the_estimate_is_right():
    async def scenario():
        hall = await hall_with_new_workers(Hall(2), loads_at_once=2)
        control = hall.controller.order_sender.control
        before = control.reports
        took_s = await hall.until(lambda: hall.models()["small"] == 6, 100.0)
        assert took_s is not None and 23.0 < took_s < 28.0
        assert load_counts(hall) == [1, 1, 1, 1]
        assert control.reports - before == 4 + REPORTS_BEFORE_JOINS
        assert hall.controller.state.staging.loading(hall.clock.now_s()) == {}

    run_virtually(scenario())


def test_loads_of_other_halls_lengthen_the_estimate_and_idle_halls_do_not():
    """Other halls were once taken to load as much: then a load was late to be known as done."""

    async def scenario(others, expected_s):
        hall = Hall(2)
        hall.fleet.add("other-0", "hall-b", "d9")
        hall.fleet.add("other-1", "hall-b", "d9")
        await hall_with_new_workers(hall, loads_at_once=4)
        control = hall.controller.order_sender.control
        before = control.reports
        for number in range(others):
            hall.fleet.execute(hall.fleet.workers[f"other-{number}"], StageOrder("large"), None)
        took_s = await hall.until(lambda: hall.models()["small"] == 6, 100.0)
        assert took_s is not None and abs(took_s - expected_s) < 2.5
        assert control.reports - before == 4 + REPORTS_BEFORE_JOINS

    run_virtually(scenario(0, 12.0 + 1.1))
    run_virtually(scenario(2, 12.0 * 6 / 4 + 1.1))


def test_the_first_replicas_of_a_hall_form_although_their_loads_slow_each_other_down(caplog):
    """16 loads of 12 and 16 s at a quarter of the speed take longer than 3 times 16 s."""

    async def scenario():
        hall = Hall(6)
        hall.set_engine(two_models(loads_at_once=4))
        hall.start_controller()
        assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 70.0) is not None
        assert "replica_not_formed" not in caplog.text
        assert hall.controller.order_sender.control.reports <= 16
        assert hall.fleet.violations == []

    with caplog.at_level("INFO"):
        run_virtually(scenario())


def test_a_load_that_never_ends_is_logged_and_ends_after_a_bound_with_few_reports(caplog):
    async def scenario():
        hall = await hall_with_new_workers(Hall(3), loads_at_once=20)
        stuck = new_workers(hall)[0]
        stuck.staging_until_s = hall.clock.now_s() + 1000.0
        await asyncio.sleep(14.0)
        staging = hall.controller.state.staging
        assert staging.is_loading(stuck.worker_id)
        reports = hall.controller.order_sender.control.reports
        await asyncio.sleep(12.0 * 3 - 14.0 + 1.0)
        assert not staging.is_loading(stuck.worker_id)
        assert hall.controller.order_sender.control.reports - reports <= 5
        assert caplog.text.count("load_late") == 1
        assert load_counts(hall) == [1, 1, 1, 1]

    with caplog.at_level("WARNING"):
        run_virtually(scenario())


def test_a_new_leader_does_not_plan_with_loads_of_its_predecessor():
    async def scenario():
        hall = await hall_with_new_workers(Hall(4), loads_at_once=1)
        ids = {worker.worker_id for worker in new_workers(hall)}
        hall.kill_controller()
        await asyncio.sleep(3.0)
        hall.start_controller()
        await asyncio.sleep(1.0)
        assert hall.controller.state.staging.loading(hall.clock.now_s()).keys() == ids
        loaded_s = max(worker.staging_until_s for worker in new_workers(hall))
        took_s = await hall.until(lambda: hall.models()["small"] == 6, 100.0)
        assert took_s is not None
        assert load_counts(hall) == [1, 1, 1, 1]
        assert hall.clock.now_s() < loaded_s + 18.0

    run_virtually(scenario())


def test_a_load_whose_target_is_lost_ends():
    async def scenario():
        hall = await hall_with_new_workers(Hall(5), loads_at_once=2)
        lost = new_workers(hall)[0]
        hall.kill_worker(lost.worker_id)
        await asyncio.sleep(40.0)
        assert not hall.controller.state.staging.is_loading(lost.worker_id)

    run_virtually(scenario())


def test_a_load_without_an_effect_is_ordered_again_after_a_pause(caplog):
    async def scenario():
        hall = await hall_with_new_workers(Hall(7), loads_at_once=20)
        failing = new_workers(hall)[0]
        await asyncio.sleep(6.0)
        failing.staged, failing.staging_until_s = [], 0.0
        hall.list._on_change(failing)
        assert await hall.until(lambda: hall.models()["small"] == 6, 40.0) is not None
        assert load_counts(hall) == [2, 1, 1, 1]
        assert caplog.text.count("load_failed") == 1
        began_s = [time_s for _, time_s in failing.load_times]
        assert 12.0 + 3.0 < began_s[1] - began_s[0] < 12.0 + 4.0

    with caplog.at_level("WARNING"):
        run_virtually(scenario())
