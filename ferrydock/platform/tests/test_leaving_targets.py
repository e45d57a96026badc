"""Targets that leave while daemons get no answer to their watch of the target list."""

import pytest

from ...emulator import arrivals_after_leaving
from .test_limited_targets import send_for, start_daemons
from .test_site import REPLICAS, Site, run_scenario, send_request

# Bounds of the platform: a daemon counts as recovered CONTACT_S after the last fault, and may send
# requests to a leaving target until DRAIN_S after the store has acknowledged that it leaves.
CONTACT_S = 3.0
DRAIN_S = 2.0


async def start_daemons_with_own_stores(site):
    """Start two daemons in one hall and one in another, each with its own store address."""
    for name, hall in (("one", "hall-a"), ("two", "hall-a"), ("three", "hall-b")):
        await site.start_daemon(name, hall, await site.site.open_store())
    site.site.write_configuration()
    await site.wait_until(lambda: site.is_formed(2 * REPLICAS))


def all_know_draining(site, target_id):
    """Return whether the target is draining in the target directory of each daemon."""
    return all(daemon.directory.targets[target_id].draining for daemon in site.daemons)


def test_a_leaving_target_gets_no_requests_though_watches_are_never_answered(tmp_path):
    """Requests reached a target up to 2.98 s after the store acknowledged that it leaves.

    How it came about: the store did not answer for some seconds, then answered again, except for
    the watch call that a daemon had sent before or meanwhile. The daemon became leader of its hall.
    Until the watch timed out after 21.5 s (the longest wait plus its margin), neither the leader
    nor its followers learned that the target leaves. With waits of at most 1.3 s the bound holds.

    The cause: an unanswered watch counted as a list without changes, and a leader counted as up to
    date by the age of its configuration, which it reads by separate calls.
    """

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            await start_daemons_with_own_stores(site)
            for store in site.site.stores:
                store.silence_waits()
            site.site.drain_worker("hall-a-plain")
            await site.wait_until(
                lambda: all_know_draining(site, "hall-a-plain"), CONTACT_S + DRAIN_S
            )
            for daemon in site.daemons:
                for number in range(4):
                    request_id = f"{daemon.settings.name}-{number}"
                    status, _, _ = await send_request(daemon, "/look/x", request_id=request_id)
                    assert status == 200
                    assert site.site.record.workers[request_id] == {"hall-b-plain"}
            site.assert_no_violations()

    run_scenario(scenario)


@pytest.mark.parametrize("path, model", [("/look/x", ""), ("/write/x", "small")])
def test_a_target_that_announces_leaving_in_answers_gets_no_requests_whatever_the_list_says(
    tmp_path, path, model
):
    """Requests sent later than `drain-ms` after the announcement must not reach the target."""

    async def scenario():
        async with Site(tmp_path, ("hall-a", "hall-b"), domain_size=6) as site:
            await start_daemons(site)
            heads = [w for w in site.site.fleet.open_heads() if w.model == model]
            target_id = heads[0].worker_id if model else "hall-a-plain"
            announcement = site.site.say_leaving(target_id)
            sent_s = {}
            sent_to, statuses = await send_for(site, path, model, 2 * DRAIN_S, sent_s)
            assert announcement.told and set(statuses) == {200}
            assert (
                arrivals_after_leaving(announcement, sent_s.__getitem__, sent_to.__getitem__) == []
            )
            hall = site.site.fleet.workers[target_id].hall if model else "hall-a"
            own = [daemon for daemon in site.daemons if daemon.settings.hall == hall]
            await site.wait_until(
                lambda: all(daemon.directory.targets[target_id].draining for daemon in own)
            )
            if model:  # its replica is dissolved as if the target list had it draining
                await site.wait_until(lambda: heads[0].membership is None)
            site.assert_no_violations()

    run_scenario(scenario)
