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


# A request may reach a replica up to 2.0 s after a member's death. Of these, daemons need 0.3 s to
# poll their leader, and the leader 0.12 s for a poll of the members.
REPORTED_WITHIN_S = 1.5


def test_a_member_that_dies_as_its_replica_opens_is_reported_before_it_counts_as_lost():
    """Failure: its leader waited 1.5 s for it, and all daemons sent the replica requests."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(12))
        await asyncio.sleep(20.0)
        silent = []
        hall.controller.on_members_silent = silent.append
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        hall.in_flight = {head.worker_id: 1}
        member = hall.fleet.workers[head.members[3]]
        hall.fleet.kill(member.worker_id)
        hall.list.overwrite(member)
        took_s = await hall.until(lambda: head.group_key in silent, REPORTED_WITHIN_S)
        assert took_s is not None
        assert hall.broken == []

    run_scenario(scenario)
