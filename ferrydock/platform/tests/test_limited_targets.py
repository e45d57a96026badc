"""Targets that state a rate limit in their answers to daemons of two halls."""

import asyncio
import random

import pytest

from ...emulator import rate_limit_violations
from .test_site import REPLICAS, Site, run_scenario, send_request

# A limit is checked from `contact-ms` (3 s) on, in windows of 4 s.
SENDING_S = 8.0
REQUESTS_PER_S = 40.0


async def start_daemons(site):
    """Start three daemons in one hall and one in another; wait until all replicas are formed."""
    for name, hall in (("a1", "hall-a"), ("a2", "hall-a"), ("a3", "hall-a"), ("b1", "hall-b")):
        await site.start_daemon(name, hall)
    site.site.write_configuration()
    await site.wait_until(lambda: site.is_formed(2 * REPLICAS))


async def send_for(site, path, model, duration_s, sent_s=None):
    """Send requests to all daemons in turn; return the daemon of each request, and the statuses.

    The loop time at which each request is sent is added to `sent_s` by the request's id.
    """
    loop = asyncio.get_running_loop()
    rng = random.Random(1)
    sent_to, calls = {}, []
    until_s = loop.time() + duration_s
    while loop.time() < until_s:
        daemon = site.daemons[len(calls) % len(site.daemons)]
        request_id = f"{rng.getrandbits(64):016x}"
        sent_to[request_id] = daemon.settings.name
        if sent_s is not None:
            sent_s[request_id] = loop.time()
        call = send_request(daemon, path, model=model, request_id=request_id)
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return sent_to, [status for status, _, _ in await asyncio.gather(*calls)]


@pytest.mark.parametrize("path, model", [("/look/x", ""), ("/write/x", "large")])
def test_all_daemons_together_stay_within_the_rate_limit_of_a_target(tmp_path, path, model):
    """All daemons together sent 13 requests in 4 s to a target with a limit of 1.1 per second."""

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            await start_daemons(site)
            heads = [w for w in site.site.fleet.open_heads() if w.model == model]
            limited_id = heads[0].worker_id if model else "hall-a-plain"
            site.site.limit_worker(limited_id, 1.1)
            sent_to, statuses = await send_for(site, path, model, SENDING_S)
            (limit,) = site.site.record.limits
            assert rate_limit_violations(limit, sent_to.__getitem__) == []
            assert set(statuses) <= {200, 503} and statuses.count(200) > len(statuses) / 2
            site.assert_no_violations()

    run_scenario(scenario)
