"""Requests with keys while the store is late to answer."""

import asyncio

import pytest

from .test_site import REPLICAS, Site, run_scenario, send_request

pytestmark = pytest.mark.processes

HALLS = ("hall-a", "hall-b")

# From when the answers of the store are late until nothing that was confirmed before counts, and
# for how long requests are sent then.
AGED_AFTER_S = 6.0
SENT_FOR_S = 6.0
PAUSE_S = 0.1


@pytest.mark.parametrize("answer_s", [1.2, 2.5])
def test_keys_are_accepted_while_the_store_answers_within_the_bound_on_revoked_keys(
    tmp_path, answer_s
):
    """Failure: calls were dropped after 1 s, and all requests with keys refused as unconfirmed."""

    async def scenario():
        async with Site(tmp_path, HALLS) as site:
            for number in range(2):
                for hall in HALLS:
                    store = await site.site.open_store()
                    await site.start_daemon(f"{hall}-{number}", hall, store)
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(2 * REPLICAS))
            for store in site.site.stores:
                store.faults.slow_s = answer_s
            await asyncio.sleep(AGED_AFTER_S)
            statuses = []
            for _ in range(int(SENT_FOR_S / PAUSE_S)):
                for daemon in site.daemons:
                    statuses.append((await send_request(daemon, "/look/x"))[0])
                await asyncio.sleep(PAUSE_S)
            assert statuses.count(200) == len(statuses)

    run_scenario(scenario)
