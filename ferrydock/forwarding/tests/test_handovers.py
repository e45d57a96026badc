"""Requests at a silent replica stay there until another target has a slot for them."""

import asyncio
from dataclasses import replace

from ...configuration import Configuration, RouteKind, ServiceSpec
from .._stalls import MEMBER_DEAD
from .rig import ScriptedTarget, play, route
from .test_forwarding import body_of
from .test_interruptions import (
    COMPLETE_BODY,
    ENGINE,
    KEYS,
    MAX_PAUSE_S,
    ReplicaRig,
    _streams_of,
    pauses,
)


class HandoverRig(ReplicaRig):
    """A gateway with replicas that have a given number of slots, for one kind of request."""

    def __init__(self, targets, retries, slots=9, kind=RouteKind.RESUMABLE_STREAM, **changes):
        super().__init__(targets, retries)
        fields = {"kind": kind, "time_limit_s": 1.5, "max_pause_s": MAX_PAUSE_S, **changes}
        service = ServiceSpec("plain", 10, replace(ENGINE, slots=slots))
        self.configuration = Configuration(1, (route(**fields),), {"plain": service}, ())

    def in_flight(self):
        """Return the requests in flight at each target, as the selector counts them."""
        return [self.loads.of(f"t{number}").in_flight for number in range(len(self.targets))]

    async def until_begun(self, count):
        await self.until(lambda: sum(a.count == 2 for a in _streams_of(self)) == count)


def test_begun_stream_without_a_slot_elsewhere_stays_at_its_silent_replica():
    """Failure: it was interrupted, got no slot and was cut, although its replica resumed."""

    async def scenario():
        resume, never = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(pauses(resume)), ScriptedTarget(pauses(never))]
        async with HandoverRig(targets, retries=5.0, slots=1) as rig:
            streaming = [asyncio.ensure_future(rig.stream()) for _ in range(2)]
            await rig.until_begun(2)
            rig.stalls.mark_broken(KEYS[0], MEMBER_DEAD)
            await asyncio.sleep(0.2)
            resume.set()
            await rig.until(lambda: any(stream.done() for stream in streaming))
            done = [stream.result() for stream in streaming if stream.done()]
            assert [body_of(answer) for answer in done] == [(COMPLETE_BODY, True)]
            assert len(targets[0].requests) == 1 and rig.budget.available == 5.0
            never.set()
            await asyncio.gather(*streaming)
            assert rig.in_flight() == [0, 0]

    play(scenario)
