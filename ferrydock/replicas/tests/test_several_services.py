"""A hall with two services that run engines: what is known of one does not affect the other."""

import asyncio
from dataclasses import replace

from ...configuration import Configuration, ServiceSpec
from ...targets import Membership, ReplicaState
from .hall import Hall
from .specs import two_models
from .test_controller import run_scenario

ALL_REPLICAS = {"engines": 6, "others": 6}


def hall_with_two_services(seed):
    """Return a hall in which each service has two domains, of ten workers or nine."""
    hall = Hall(seed)
    services = {name: ServiceSpec(name, 100, two_models()) for name in ALL_REPLICAS}
    hall.current.apply_if_newer(Configuration(2, (), services, ()), 0.0)
    for domain in ("x0", "x1"):
        for number in range(9):
            hall.fleet.add(f"{domain}-{number}", "hall-a", domain, service="others")
    hall.start_controller()
    return hall


def replicas(hall):
    counts = dict.fromkeys(ALL_REPLICAS, 0)
    for head in hall.fleet.open_heads():
        counts[head.service] += 1
    return counts


def test_all_services_get_their_first_replicas():
    """Failure: each round the other service's number of targets looked like a change."""

    async def scenario():
        hall = hall_with_two_services(1)
        assert await hall.until(lambda: replicas(hall) == ALL_REPLICAS, 60.0) is not None

    run_scenario(scenario)


def test_members_without_an_entry_are_asked_once_per_second_beside_another_service():
    """Failure: the other service's turn discarded what they had reported, in each round."""

    async def scenario():
        hall = hall_with_two_services(2)
        assert await hall.until(lambda: replicas(hall) == ALL_REPLICAS, 60.0) is not None
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.service == "engines")
        hall.list.overwrite(hall.fleet.workers[head.members[1]])
        before = hall.controller.order_sender.control.reports
        await asyncio.sleep(10.0)
        assert hall.controller.order_sender.control.reports - before <= 11
        assert head in hall.fleet.open_heads()

    run_scenario(scenario)


def test_a_replica_without_a_head_is_dissolved_beside_another_service():
    """Failure: its grace began anew in each round, and its members were never free again."""

    async def scenario():
        hall = hall_with_two_services(3)
        assert await hall.until(lambda: replicas(hall) == ALL_REPLICAS, 60.0) is not None
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.service == "engines")
        key = head.group_key
        hall.list.overwrite(head)
        assert await hall.until(lambda: head.group_key != key, 10.0) is not None

    run_scenario(scenario)


def test_departures_of_one_service_count_beside_another_service():
    """Failure: they were discarded, and members that had left were told to leave again."""

    async def scenario():
        hall = hall_with_two_services(4)
        assert await hall.until(lambda: replicas(hall) == ALL_REPLICAS, 60.0) is not None
        await asyncio.sleep(30.0)
        left = next(t for t in hall.directory.targets.values() if t.membership is None)
        shown = replace(left, membership=Membership("left", 1, 0, ReplicaState.READY))
        hall.directory.put(shown)
        departures = hall.controller.state.departures
        departures.note([shown.target_id], ("left", 1), hall.clock.now_s())
        await asyncio.sleep(1.0)
        assert departures.has_left(shown)

    run_scenario(scenario)
