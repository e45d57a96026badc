"""Targets that name a limit in their answers, before daemons of two halls."""

import asyncio
import random

import pytest

from ...emulator import excess
from .test_site import REPLICAS, Site, ask, play

# From `contact-ms` (3 s) on a limit is judged, in windows of 4 s.
LENGTH_S = 8.0
REQUESTS_PER_S = 40.0


async def start_daemons(site):
    """Start three daemons in one hall and one in another."""
    for name, hall in (("a1", "hall-a"), ("a2", "hall-a"), ("a3", "hall-a"), ("b1", "hall-b")):
        await site.daemon(name, hall)
    site.site.write_configuration()
    await site.until(lambda: site.formed(2 * REPLICAS))


async def send_for(site, path, model, length_s, sent_s=None):
    """Send requests to all daemons in turn; return the daemon of each, and the statuses.

    `sent_s` is filled with the loop time of each request, by its id.
    """
    loop = asyncio.get_running_loop()
    rng = random.Random(1)
    sent_to, calls = {}, []
    until_s = loop.time() + length_s
    while loop.time() < until_s:
        node = site.nodes[len(calls) % len(site.nodes)]
        request_id = f"{rng.getrandbits(64):016x}"
        sent_to[request_id] = node.settings.name
        if sent_s is not None:
            sent_s[request_id] = loop.time()
        asking = ask(node, path, model=model, request_id=request_id)
        calls.append(asyncio.ensure_future(asking))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return sent_to, [status for status, _, _ in await asyncio.gather(*calls)]


@pytest.mark.parametrize("path, model", [("/look/x", ""), ("/write/x", "large")])
def test_a_target_gets_no_more_than_the_limit_it_named_from_all_daemons_together(
    tmp_path, path, model
):
    """Users saw 13 requests in 4 s reach a target that had named a limit of 1.1 a second."""

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            await start_daemons(site)
            heads = [w for w in site.site.fleet.open_heads() if w.model == model]
            limited = heads[0].worker_id if model else "hall-a-plain"
            site.site.limit_worker(limited, 1.1)
            sent_to, statuses = await send_for(site, path, model, LENGTH_S)
            (limit,) = site.site.record.limits
            assert excess(limit, sent_to.__getitem__) == []
            assert set(statuses) <= {200, 503} and statuses.count(200) > len(statuses) / 2
            site.no_rule_is_broken()

    play(scenario)
