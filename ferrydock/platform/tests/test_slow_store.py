"""Requests with keys while the store is late to answer, and after their daemon stood still."""

import asyncio
import time

import pytest

from .test_site import REPLICAS, Site, run_scenario, send_request, start_with_short_bound

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


def test_the_target_list_is_confirmed_by_a_store_that_answers_late(tmp_path):
    """Failure: the calls that confirm it were dropped after 1 s, and its age grew without end."""
    answer_s = 1.2

    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await site.start_daemon("one")
            site.site.write_configuration()
            await site.wait_until(lambda: site.is_formed(REPLICAS))
            site.site.stores[0].faults.slow_s = answer_s
            await asyncio.sleep(AGED_AFTER_S)
            ages_s = []
            for _ in range(40):
                ages_s.append(daemon.directory.age_s(daemon.clock.now_s()))
                await asyncio.sleep(PAUSE_S)
            # One call before the answer to the last one that began, and a pause of the back-off.
            assert max(ages_s) < 2 * answer_s + 1.2

    run_scenario(scenario)


def test_a_request_read_after_a_standstill_waits_for_the_store_instead_of_being_refused(tmp_path):
    """Failure: the first turn after waking refused all requests, although the store answered."""

    async def scenario():
        async with Site(tmp_path) as site:
            daemon = await start_with_short_bound(site)
            assert (await send_request(daemon, "/look/x"))[0] == 200
            host, port = daemon.gateway.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            await asyncio.sleep(0.1)  # until the connection is accepted
            writer.write(
                b"POST /look/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: 00ff\r\n"
                b"X-Deadline-Ms: 4000\r\nContent-Length: 2\r\nConnection: close\r\n"
                b"Authorization: Bearer key-acme\r\n\r\nhi"
            )
            time.sleep(2.2)  # stands for a process that is suspended
            async with asyncio.timeout(6.0):
                assert (await reader.read(-1)).startswith(b"HTTP/1.1 200 ")
            writer.close()

    run_scenario(scenario)
