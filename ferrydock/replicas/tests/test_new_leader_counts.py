"""What a new leader does with suspected replicas before it knows the requests in flight."""

import asyncio

from ...configuration import Configuration, Route, RouteKind, ServiceSpec, WeightedService
from .hall import Hall
from .specs import two_models
from .test_controller import ALL_REPLICAS, hall_with_all_replicas, run_scenario

LONGEST_REQUEST_S = 8.0

PAUSE_S = 1.2


def route():
    """Return a route to the hall's service."""
    return Route(
        name="r",
        host="h.example",
        path_prefix="/",
        kind=RouteKind.RESUMABLE_STREAM,
        services=(WeightedService("engines", 1.0),),
        time_limit_s=LONGEST_REQUEST_S,
        attempts=2,
        priority=1,
        first_answer_s=0.5,
        public=True,
    )


async def hall_with_new_leader(led_for_s=0.0):
    """Return a hall whose replicas are open and whose leader has led it for `led_for_s`."""
    hall = await hall_with_all_replicas(Hall(2))
    services = {"engines": ServiceSpec("engines", 100, two_models())}
    version = hall.current.version + 1
    configuration = Configuration(version, (route(),), services, ())
    hall.current.apply_if_newer(configuration, hall.clock.now_s())
    await asyncio.sleep(30.0)
    hall.kill_controller()
    hall.start_controller()
    assert await hall.until(lambda: hall.controller.lease.is_valid, 5.0) is not None
    await asyncio.sleep(0.2 + led_for_s)
    return hall


def test_a_new_leader_keeps_a_replica_whose_requests_it_has_not_counted_yet():
    """Failure: its counts began empty, so a short silence of a member cut the running requests."""

    async def scenario():
        hall = await hall_with_new_leader()
        before = {head.group_key for head in hall.fleet.open_heads()}
        member_id = hall.fleet.open_heads()[0].members[1]
        hall.controller.mark_suspected([member_id], "test")
        await asyncio.sleep(PAUSE_S)
        hall.controller.end_suspicion([member_id])
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        assert hall.broken == []

    run_scenario(scenario)


def test_a_new_leader_keeps_a_replica_with_uncounted_requests_while_an_entry_is_missing():
    """Failure: the same, of a member whose entry had expired."""

    async def scenario():
        hall = await hall_with_new_leader()
        before = {head.group_key for head in hall.fleet.open_heads()}
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        member = hall.fleet.workers[head.members[2]]
        member.paused_until_s = asyncio.get_running_loop().time() + PAUSE_S
        hall.list.overwrite(member)
        await asyncio.sleep(PAUSE_S)
        hall.list.restore(member)
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        assert hall.broken == []

    run_scenario(scenario)


def test_a_new_leader_replaces_a_replica_once_a_member_is_lost():
    async def scenario():
        hall = await hall_with_new_leader()
        head = next(w for w in hall.fleet.open_heads() if w.model == "large")
        hall.kill_worker(head.members[2])
        hall.controller.mark_suspected([head.members[2]], "test")
        hall.controller.mark_lost([head.members[2]], "test")
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_leader_waits_for_no_requests_once_all_older_than_its_term_have_ended():
    async def scenario():
        hall = await hall_with_new_leader(led_for_s=LONGEST_REQUEST_S)
        member_id = hall.fleet.open_heads()[0].members[1]
        hall.controller.mark_suspected([member_id], "test")
        assert await hall.until(lambda: hall.broken, 0.5) is not None

    run_scenario(scenario)
