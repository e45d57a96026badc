"""Orders that are carried out after the leader has undone what they were sent for."""

import asyncio

from ...targets import JoinOrder
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
