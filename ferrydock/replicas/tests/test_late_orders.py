"""Orders that are carried out after the leader has undone what they were sent for."""

import asyncio
from dataclasses import replace

from ...targets import JoinOrder, LeaveOrder, ReplicaState
from .._forming import OPEN_SHOWN_TIMEOUT_S
from .hall import Hall
from .test_controller import ALL_REPLICAS, hall_with_all_replicas, run_scenario

LATE = ("late", 50)


def carry_out_late_join(hall):
    """Let a spare join a replica that its leader believes dissolved; return the spare."""
    spare = next(w for w in hall.fleet.workers.values() if w.membership is None)
    order = JoinOrder(*LATE, spare.staged[0], (spare.worker_id,))
    hall.fleet.execute(spare, order, spare.orders)
    hall.directory.put(spare.entry)
    hall.controller.state.departures.note([spare.worker_id], LATE, hall.clock.now_s())
    return spare


def test_a_target_that_joins_late_after_an_order_to_leave_is_freed_again():
    """Failure: it counted as free for good while its entry showed it in the dissolved replica."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(2))
        await asyncio.sleep(30.0)
        spare = carry_out_late_join(hall)
        assert await hall.until(lambda: spare.membership is None, 10.0) is not None
        assert hall.models() == ALL_REPLICAS and hall.fleet.violations == []

    run_scenario(scenario)


def test_a_replica_is_not_opened_by_a_list_that_shows_a_member_that_has_left_it():
    """Failure: the next leader opened a replica that the one before had begun to dissolve."""

    async def scenario():
        hall = Hall(1, domains=1, workers=4)
        hall.start_controller()
        workers = list(hall.fleet.workers.values())
        head = workers[0]
        assert await hall.until(lambda: head.membership is not None, 5.0) is not None
        hall.fleet.faults.late_share = 1.0
        hall.fleet.faults.late_from_s = hall.fleet.faults.late_to_s = 1000.0

        def are_ready():
            return all(w.current_membership.state is ReplicaState.READY for w in workers)

        assert await hall.until(are_ready, 30.0) is not None
        await asyncio.sleep(0.5)
        hall.kill_controller()
        hall.fleet.faults.late_share = 0.0
        hall.following.cancel()
        key = workers[3].group_key
        hall.fleet.execute(workers[3], LeaveOrder(*key), workers[3].orders)
        hall.start_controller()

        def is_opened():
            return head.group_key == key and head.current_membership.state is ReplicaState.OPEN

        assert await hall.until(is_opened, 10.0) is None

    run_scenario(scenario)


async def led_by_a_list_that_shows_the_open_head_as_ready(opened_s):
    """Return a hall whose next leader's list lags behind, `opened_s` after a replica has opened."""
    hall = Hall(1, domains=1, workers=4)
    hall.start_controller()
    assert await hall.until(lambda: hall.models()["large"], 60.0) is not None
    hall.kill_controller()
    hall.following.cancel()
    await asyncio.sleep(opened_s)
    head = hall.fleet.open_heads()[0]
    shown = replace(head.current_membership, state=ReplicaState.READY)
    hall.directory.put(replace(head.entry, membership=shown))
    await hall.controller.lease.release()
    hall.start_controller()
    return hall


def test_a_replica_that_serves_is_not_adopted_again_and_again_by_a_list_that_lags_behind():
    """Failure: each round adopted it anew, and asked its head for a report."""

    async def scenario():
        hall = await led_by_a_list_that_shows_the_open_head_as_ready(1.0)
        await asyncio.sleep(2 * OPEN_SHOWN_TIMEOUT_S)
        control = hall.controller.order_sender.control
        assert len(hall.fleet.open_heads()) == 1
        assert control.given == 0 and control.reports <= 2

    run_scenario(scenario)


def test_a_replica_that_opened_just_before_the_next_leader_adopts_it_goes_on_serving():
    """Failure: its head's report was older than the order to open, and its members were freed."""

    async def scenario():
        hall = await led_by_a_list_that_shows_the_open_head_as_ready(0.0)
        key = hall.fleet.open_heads()[0].group_key
        await asyncio.sleep(5.0)
        assert [head.group_key for head in hall.fleet.open_heads()] == [key]
        assert hall.controller.order_sender.control.given == 0

    run_scenario(scenario)
