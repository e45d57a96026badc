"""A worker of the stand-in that stands still for a time."""

import asyncio

import aiohttp

from .. import FleetSite

PAUSE_S = 0.3


def test_paused_worker_answers_afterwards_what_it_received_meanwhile():
    async def scenario():
        site = FleetSite(("hall-a",))
        await site.start()
        worker = site.plain["hall-a-plain"]
        now_s = asyncio.get_running_loop().time
        paused_s = now_s()
        site.pause_worker(worker.worker_id, PAUSE_S)
        async with aiohttp.ClientSession() as session:
            for path in ("/v1/report", "/healthz", "/plain"):
                headers = {"X-Attempt-Id": "r1"}
                async with session.get(f"http://{worker.address}{path}", headers=headers) as answer:
                    assert answer.status == 200 and now_s() - paused_s >= PAUSE_S
        assert worker.alive
        await site.close()

    asyncio.run(scenario())
