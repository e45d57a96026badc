"""Members that stand still for a second while their entries are missing."""

import asyncio

import pytest

from .hall import Hall
from .test_controller import hall_with_all_replicas, run_scenario

PAUSE_S = 1.2


@pytest.mark.parametrize("rank", [0, 3])
def test_a_replica_with_requests_in_flight_outlasts_a_pause_in_which_an_entry_expires(rank):
    """Failure: one unanswered request for a report dissolved it, and its answers were cut."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(12))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        hall.in_flight = {head.worker_id: 1}
        member = hall.fleet.workers[head.members[rank]]
        member.paused_until_s = asyncio.get_running_loop().time() + PAUSE_S
        await asyncio.sleep(PAUSE_S / 2)
        hall.list.overwrite(member)  # three heartbeats are missing
        await asyncio.sleep(PAUSE_S / 2)
        hall.list.restore(member)
        await asyncio.sleep(5.0)
        assert hall.broken == []
        assert {head.group_key for head in hall.fleet.open_heads()} == before

    run_scenario(scenario)
