"""Targets that refuse requests and ask the daemon for rest."""

import pytest

from ...emulator import disturbed
from .test_limited_targets import send_for, start_daemons
from .test_site import Site, play

REST_S = 3.0


@pytest.mark.parametrize("path, model", [("/look/x", ""), ("/write/x", "large")])
def test_a_target_that_asks_a_daemon_for_rest_gets_no_more_requests_of_it(tmp_path, path, model):
    """Users saw three requests from one daemon in the 3 s of rest that a target had asked for."""

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            await start_daemons(site)
            heads = [w for w in site.site.fleet.open_heads() if w.model == model]
            resting = heads[0].worker_id if model else "hall-a-plain"
            shedding = site.site.shed_at_worker(resting, REST_S)
            sent_to, statuses = await send_for(site, path, model, 2 * REST_S)
            assert {sent_to[request_id] for _, request_id in shedding.refused} >= {"a1", "a2", "a3"}
            assert disturbed(shedding, sent_to.__getitem__) == []
            assert set(statuses) <= {200, 503} and statuses.count(200) > len(statuses) / 2
            site.no_rule_is_broken()

    play(scenario)
