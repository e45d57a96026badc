"""How soon a new leader has a target list that is not older than its lease. In virtual time."""

import asyncio

import pytest

from ...standins.fleet import run_virtually
from .._store_follower import UNANSWERED_S
from .test_change_delay import CALL_S, Hall

# How long nobody reaches the store: attempts to confirm the list are then seconds apart.
OUTAGE_S = 6.0

# From the lease until the list is requested and read: a check each 0.05 s, a call, and the batch
# window of a watch.
MAX_WAIT_S = UNANSWERED_S + 0.2 + CALL_S


def new_leader(hall):
    """Return the daemon that holds the lease; None if there is none."""
    daemons = (hall.leader, hall.follower)
    return next((d for d in daemons if d.leadership.holds_lease()), None)


@pytest.mark.parametrize("seed", range(20))
def test_a_daemon_that_leads_after_an_outage_does_not_wait_for_the_back_off_of_its_list(seed):
    """Failure: a new leader planned nothing for up to 2 s, although the store answered."""

    async def scenario():
        hall = Hall(seed)
        await hall.start()
        for daemon in (hall.leader, hall.follower):
            daemon.connection.is_lost = lambda kind: True
        await asyncio.sleep(OUTAGE_S + hall.rng.random())
        for daemon in (hall.leader, hall.follower):
            daemon.connection.is_lost = lambda kind: False
        await hall.wait_until(lambda: new_leader(hall) is not None)
        daemon = new_leader(hall)
        created = daemon.leadership.lease.held.created
        began_s = daemon.clock.now_s()
        await hall.wait_until(lambda: daemon.directory.position >= created)
        assert daemon.clock.now_s() - began_s <= MAX_WAIT_S

    run_virtually(scenario())
