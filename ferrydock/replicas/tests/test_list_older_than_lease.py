"""A leader whose target list is older than its lease."""

import asyncio

from ...standins.fleet import run_virtually
from ...targets import TargetDirectory
from .hall import Hall
from .test_controller import hall_with_all_replicas


def run_scenario(scenario):
    run_virtually(scenario())


async def change_leader(hall, directory):
    """Let another daemon lead the hall that has a target list of its own."""
    hall.kill_controller()
    await hall.controller.lease.release()
    hall.directory = directory
    hall.confirms_list = False
    return hall.start_controller()


async def replace_list(hall, position):
    """Let the present leader read the complete list at a position of the store."""
    hall.directory.position = position
    hall.directory.replace(worker.entry for worker in hall.fleet.workers.values())


def test_a_leader_sends_no_order_by_a_list_that_is_older_than_its_lease():
    """Failure: replicas were planned of targets that an earlier leader's replicas held."""

    async def scenario():
        hall = Hall(3)
        old = TargetDirectory()
        old.replace(worker.entry for worker in hall.fleet.workers.values())
        await hall_with_all_replicas(hall)
        await asyncio.sleep(30.0)
        keys = {head.group_key for head in hall.fleet.open_heads()}
        controller = await change_leader(hall, old)
        await asyncio.sleep(5.0)
        control = controller.order_sender.control
        assert (control.given, controller.is_acting) == (0, False)
        await replace_list(hall, controller.lease.held.created)
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == keys
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_leader_waits_while_its_list_may_contain_entries_that_a_restored_store_has_lost():
    async def scenario():
        hall = Hall(3)
        hall.directory.is_provisional = True
        controller = hall.start_controller()
        await asyncio.sleep(5.0)
        assert controller.order_sender.control.given == 0
        hall.directory.is_provisional = False
        assert await hall.until(lambda: controller.order_sender.control.given > 0, 5.0) is not None

    run_scenario(scenario)


def test_a_leader_that_waits_long_for_its_list_logs_that_once(caplog):
    async def scenario():
        hall = Hall(3)
        hall.directory.is_provisional = True
        hall.start_controller()
        await asyncio.sleep(10.0)

    with caplog.at_level("WARNING"):
        run_scenario(scenario)
    assert caplog.text.count("list_older_than_lease") == 1
