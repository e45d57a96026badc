"""A hall that is led from outside while its own daemon stands still, and the other way round.

Both daemons then believe to lead it: no rule of the replicas is broken, and the hall serves.
"""

import asyncio

import pytest

from .led_site import HALL, REPLICA_SIZE, freeze_forming_leader, play

pytestmark = pytest.mark.processes


def test_orders_around_a_time_in_which_a_hall_was_led_from_outside_do_no_harm(tmp_path):
    led_hall = "hall-b"

    async def story(site):
        own, outside = await asyncio.gather(site.start_daemon(led_hall), site.start_daemon(HALL))
        await site.until(
            lambda: own.believes_to_lead(led_hall) and outside.believes_to_lead(HALL),
            "each daemon leads its hall",
        )
        await freeze_forming_leader(site, led_hall, own)
        await site.until(lambda: outside.believes_to_lead(led_hall), "it is led from outside")
        assert own.believes_to_lead(led_hall)
        await site.until(site.fleet.open_heads, "a replica is open")
        released = site.gate.release()
        own.wake()
        assert len(site.late_orders(released, site.term_of(outside, led_hall))) >= REPLICA_SIZE
        await site.until(lambda: not own.believes_to_lead(led_hall), "its term has ended")

        site.gate.holds = lambda order: order.sender == outside.ip
        await site.add_targets(led_hall, "d1", staged=["large"])
        await site.until(
            lambda: len(site.gate.held) >= REPLICA_SIZE, "orders from outside are on their way"
        )
        outside.freeze()
        await site.until(lambda: own.believes_to_lead(led_hall), "its own daemon leads again")
        assert outside.believes_to_lead(led_hall)
        await site.until(lambda: len(site.fleet.open_heads()) > 1, "another replica is open")
        released = site.gate.release()
        outside.wake()
        assert site.late_orders(released, site.term_of(own, led_hall))
        await site.until(lambda: not outside.believes_to_lead(led_hall), "its term has ended")
        site.gate.holds = lambda order: False
        await site.until_served(2)

    play(tmp_path, story, HALL, led_hall)
