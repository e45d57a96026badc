"""Targets that refuse requests and request a back-off from the daemon."""

import pytest

from ...emulator import backoff_violations
from .test_limited_targets import send_for, start_daemons
from .test_site import Site, run_scenario

BACKOFF_S = 3.0


@pytest.mark.parametrize("path, model", [("/look/x", ""), ("/write/x", "large")])
def test_a_daemon_sends_no_requests_to_a_target_during_its_back_off(tmp_path, path, model):
    """Three requests from one daemon reached a target during the 3 s back-off that it requested."""

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            await start_daemons(site)
            heads = [w for w in site.site.fleet.open_heads() if w.model == model]
            backing_off_id = heads[0].worker_id if model else "hall-a-plain"
            shedding = site.site.shed_at_worker(backing_off_id, BACKOFF_S)
            sent_to, statuses = await send_for(site, path, model, 2 * BACKOFF_S)
            assert {sent_to[request_id] for _, request_id in shedding.refused} >= {"a1", "a2", "a3"}
            assert backoff_violations(shedding, sent_to.__getitem__) == []
            assert set(statuses) <= {200, 503} and statuses.count(200) > len(statuses) / 2
            site.assert_no_violations()

    run_scenario(scenario)
