"""A daemon's requests while operators have evacuated halls."""

import asyncio
import random
from types import SimpleNamespace

from ...clock import ManualClock
from ...configuration import ServiceSpec
from ...evacuation import EvacuatedHalls
from ...scheduling import Endpoint, EndpointCatalog, SlotReply
from ...store import Position
from ...targets import Target, TargetDirectory
from .. import HallEndpointSelector, TargetLoads
from .rig import Rig, ScriptedTarget, complete_answer, play, resets, route, writes


class EvacuatedRig(Rig):
    """A gateway whose targets are all in hall-a, which operators evacuate at some moment."""

    def __init__(self, *targets, evacuated=("hall-a",)):
        super().__init__([route()], targets)
        halls = EvacuatedHalls(("hall-a", "hall-b"), 5.0, self.clock)
        self.selector.catalog.evacuated = self.halls = halls
        if evacuated:
            self.close(*evacuated)

    def close(self, *halls):
        """Close halls at once, as a daemon does that never saw their keys absent."""
        position = Position(0, self.halls.position.revision + 1)
        self.halls.apply_read(halls, position, self.clock.now_s())

    async def assert_refused_at_once(self):
        started_s = self.clock.now_s()
        answer = await self.ask()
        assert b" 503 " in answer and b"halls_evacuated" in answer and b"Retry-After: " in answer
        assert self.clock.now_s() - started_s < 0.2


class UnawareScheduler:
    """A hall scheduler that has not learned that a hall is evacuated."""

    def __init__(self, target_id):
        self.target_id = target_id
        self.granted = 0

    async def request_slot(self, request):
        self.granted += 1
        return SlotReply(self.target_id, 1, self.granted)

    def schedule_report(self):
        """Do nothing."""


def answering():
    return ScriptedTarget(writes(complete_answer()))


def test_a_request_whose_targets_are_all_in_closed_halls_is_refused_at_once():
    async def scenario():
        async with EvacuatedRig(answering()) as rig:
            await rig.assert_refused_at_once()
        async with EvacuatedRig(evacuated=("hall-a", "hall-b")) as rig:
            await rig.assert_refused_at_once()

    play(scenario)


def test_a_retry_is_ended_at_once_when_the_halls_close_during_the_first_attempt():
    async def scenario():
        first, second = ScriptedTarget(resets()), answering()
        async with EvacuatedRig(first, second, evacuated=()) as rig:
            rig.directory.put(Target("t1", "plain", second.address, "hall-a", 6, draining=True))

            async def close_and_reset(target, request, writer):
                rig.directory.put(Target("t1", "plain", second.address, "hall-a", 6))
                rig.close("hall-a")
                await resets()(target, request, writer)

            first.scripts = [close_and_reset]
            started_s = rig.clock.now_s()
            assert b" 502 " in await rig.ask()
            assert rig.clock.now_s() - started_s < 0.5
            assert len(first.requests) == 1 and second.requests == []

    play(scenario)


def test_a_queued_request_is_refused_when_the_last_hall_closes():
    async def scenario():
        async with EvacuatedRig(answering(), evacuated=()) as rig:
            for _ in range(9):
                rig.loads.request_started("t0", rig.clock.now_s())
            queued = asyncio.ensure_future(rig.ask())
            while not rig.selector.queue_length:
                await asyncio.sleep(0.01)
            rig.close("hall-a")
            rig.selector.assign_free_slots()
            assert b"halls_evacuated" in await queued
            assert rig.targets[0].requests == []

    play(scenario)


def test_a_slot_that_was_assigned_before_its_hall_closed_is_not_used_late():
    async def scenario():
        closed, open_target = answering(), answering()
        async with EvacuatedRig(closed, open_target) as rig:
            rig.directory.put(Target("t1", "plain", open_target.address, "hall-b", 6))
            acquire, released = type(rig.selector).acquire, []
            granted_long_before = [Endpoint(rig.directory.targets["t0"], None)]

            class LateSelector(type(rig.selector)):
                __slots__ = ()

                async def acquire(self, exchange, max_queue_s):
                    if granted_long_before:
                        return granted_long_before.pop()
                    return await acquire(self, exchange, max_queue_s)

                def release(self, endpoint):
                    released.append(endpoint.target.target_id)
                    super().release(endpoint)

            rig.selector.__class__ = LateSelector
            rig.loads.request_started("t0", rig.clock.now_s())
            assert b" 200 " in await rig.ask()
            assert closed.requests == [] and released == ["t0", "t1"]

    play(scenario)


def acquire_from(scheduler, *halls_of_targets):
    """Acquire a slot through a hall scheduler while hall-a is closed for this daemon."""
    clock, directory = ManualClock(100.0), TargetDirectory()
    for number, hall in enumerate(halls_of_targets):
        directory.put(Target(f"t{number}", "plain", "127.0.0.1:1", hall, 6))
    halls = EvacuatedHalls(("hall-a", "hall-b"), 5.0, clock)
    halls.apply_read(("hall-a",), Position(0, 1), clock.now_s())
    selector = HallEndpointSelector(
        EndpointCatalog(directory, evacuated=halls),
        TargetLoads(),
        "hall-a",
        clock,
        random.Random(1),
        scheduler=scheduler,
    )
    exchange = SimpleNamespace(
        service=ServiceSpec("plain", 10, None),
        inbound=SimpleNamespace(model=""),
        rank=(0, 0, 0, 101.0),
        tried_target_ids=set(),
        is_returning=False,
        no_endpoint=None,
        team="",
        is_late=False,
    )
    return asyncio.run(selector.acquire(exchange, 0.0)), exchange


def test_a_grant_of_a_scheduler_that_does_not_know_of_an_evacuation_is_not_used():
    scheduler = UnawareScheduler("t0")
    endpoint, _ = acquire_from(scheduler, "hall-a", "hall-b")
    assert scheduler.granted == 1 and endpoint.target.target_id == "t1"


def test_a_daemon_that_chooses_by_itself_uses_no_closed_hall():
    endpoint, _ = acquire_from(None, "hall-a", "hall-b")
    assert endpoint.target.target_id == "t1"
    endpoint, exchange = acquire_from(None, "hall-a")
    assert endpoint is None and exchange.no_endpoint.reason == "halls_evacuated"
