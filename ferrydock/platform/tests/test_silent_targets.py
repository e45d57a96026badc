"""Sound targets that are silent for about a second, and ones that never answer again."""

import asyncio

import pytest

from .test_site import REPLICAS, Site, run_scenario, send_request

pytestmark = pytest.mark.processes

PAUSE_S = 1.2
EVENT_COUNT = 10

# Time limits, with room for a busy machine: a silence of 0.2 s and a poll, and 1.5 s of silence
# with the orders that dissolve a replica.
AVOIDED_WITHIN_S = 1.0
REPLACED_WITHIN_S = 4.0


async def start_streams(site, daemon, per_replica=8):
    """Start so many streams of 1.5 s that all replicas are full; return their tasks."""
    for worker_face in site.site.faces.values():
        worker_face.event_s = 0.15
    models = [head.model for head in site.site.fleet.open_heads()]
    tasks = [
        asyncio.ensure_future(send_request(daemon, "/write/x", model=model))
        for model in models
        for _ in range(per_replica)
    ]
    runs = site.site.record.runs
    await site.wait_until(lambda: len(runs) >= len(tasks) or any(task.done() for task in tasks))
    await asyncio.sleep(0.3)  # until each has begun
    return tasks


def test_begun_streams_of_replicas_whose_heads_are_silent_for_a_second_are_not_cut(tmp_path):
    """Failure: the hall's leader gave the replicas up, and their streams were cut with them."""

    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            before = {head.group_key for head in site.site.fleet.open_heads()}
            streams = await start_streams(site, daemon)
            heads = site.site.fleet.open_heads()
            for head in heads[: len(heads) * 2 // 3]:
                site.site.pause_worker(head.worker_id, PAUSE_S)
            answers = await asyncio.gather(*streams, return_exceptions=True)
            complete = [
                isinstance(answer, tuple)
                and answer[0] == 200
                and answer[2].count(b"id: ") == EVENT_COUNT
                and answer[2].endswith(b"0\r\n\r\n")
                for answer in answers
            ]
            assert all(complete), f"{complete.count(False)} of {len(complete)} cut"
            await site.wait_until(lambda: not daemon.catalog.suspected)
            assert {head.group_key for head in site.site.fleet.open_heads()} == before
            site.assert_no_violations()

    run_scenario(scenario)


def test_a_member_that_never_answers_again_is_replaced_although_requests_wait_for_it(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            streams = await start_streams(site, daemon)
            head = site.site.fleet.open_heads()[0]
            key, began_s = head.group_key, asyncio.get_running_loop().time()
            site.site.kill_worker(head.members[1])
            await site.wait_until(lambda: daemon.catalog.is_avoided(key), AVOIDED_WITHIN_S)
            await site.wait_until(lambda: head.group_key != key, REPLACED_WITHIN_S)
            assert asyncio.get_running_loop().time() - began_s < REPLACED_WITHIN_S
            await asyncio.gather(*streams, return_exceptions=True)
            site.assert_no_violations()

    run_scenario(scenario)


def test_a_follower_uses_a_replica_again_that_its_leader_suspected(tmp_path):
    async def scenario():
        async with Site(tmp_path) as site:
            leader = await site.start_daemon("one")
            await site.wait_until(lambda: leader.leadership.is_leader)
            follower = await site.start_daemon("two")
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            streams = await start_streams(site, leader)
            head = site.site.fleet.open_heads()[0]
            site.site.pause_worker(head.worker_id, PAUSE_S)
            await site.wait_until(lambda: follower.catalog.is_avoided(head.group_key), PAUSE_S)
            await site.wait_until(lambda: not follower.catalog.is_avoided(head.group_key))
            assert not leader.catalog.is_avoided(head.group_key)
            assert all(answer[0] == 200 for answer in await asyncio.gather(*streams))

    run_scenario(scenario)
