"""Requests at a silent replica stay there until another target has a slot for them."""

import asyncio
from dataclasses import replace

import pytest

from ...configuration import Configuration, RouteKind, ServiceSpec
from .._suspicions import MEMBER_DEAD
from .rig import ScriptedTarget, complete_answer, play, route, writes
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

REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


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


def answers_late(resume):
    """Return a script that answers once `resume` is set."""

    async def script(target, request, writer):
        await resume.wait()
        writer.write(complete_answer(b"late"))
        await writer.drain()
        return True

    return script


def test_begun_stream_without_a_slot_elsewhere_stays_at_its_silent_replica():
    """Failure: it was interrupted, got no slot and was cut, although its replica resumed."""

    async def scenario():
        resume, never = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(pauses(resume)), ScriptedTarget(pauses(never))]
        async with HandoverRig(targets, retries=5.0, slots=1) as rig:
            streaming = [asyncio.ensure_future(rig.stream()) for _ in range(2)]
            await rig.until_begun(2)
            rig.stalls.attempts.interrupt(KEYS[0], MEMBER_DEAD, may_be_paused=False)
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


def test_begun_stream_keeps_its_last_attempt_while_its_replica_may_be_paused():
    """Failure: it was sent to a target that refused it, had no attempt left, and was cut."""

    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(pauses(resume)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0) as rig:
            streaming = asyncio.ensure_future(rig.stream())
            await rig.until_begun(1)
            first = next(n for n, target in enumerate(targets) if target.requests)
            targets[1 - first].scripts = [writes(REFUSAL)]
            rig.stalls.suspicions.report(KEYS[first], MEMBER_DEAD)
            await asyncio.sleep(0.1)
            resume.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            assert not targets[1 - first].requests

    play(scenario)


def test_begun_stream_goes_on_elsewhere_as_soon_as_a_slot_is_free():
    async def scenario():
        never, soon = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(pauses(never)), ScriptedTarget(pauses(soon))]
        async with HandoverRig(targets, retries=1.0, slots=1) as rig:
            streaming = [asyncio.ensure_future(rig.stream()) for _ in range(2)]
            await rig.until_begun(2)
            rig.stalls.attempts.interrupt(KEYS[0], MEMBER_DEAD, may_be_paused=False)
            await asyncio.sleep(0.05)
            soon.set()
            answers = [body_of(answer) for answer in await asyncio.gather(*streaming)]
            assert answers == [(COMPLETE_BODY, True)] * 2
            assert [len(target.requests) for target in targets] == [1, 2]
            assert rig.budget.available == 0 and rig.in_flight() == [0, 0]

    play(scenario)


def test_request_that_may_run_once_is_answered_by_its_replica_after_a_silence():
    """Failure: it was refused as possibly run 0.3 s after its replica had fallen silent."""

    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(answers_late(resume)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0, kind=RouteKind.AT_MOST_ONCE) as rig:
            request = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(target.requests for target in targets))
            for key in KEYS:
                rig.stalls.attempts.interrupt(key, MEMBER_DEAD, may_be_paused=False)
            await asyncio.sleep(0.1)
            resume.set()
            answer = await request
            assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\nlate")
            assert sum(len(target.requests) for target in targets) == 1

    play(scenario)


def test_request_without_a_retry_left_is_answered_by_its_replica_after_a_silence():
    """Failure: it was interrupted although the retry budget was spent, and refused."""

    async def scenario():
        resume = asyncio.Event()
        targets = [ScriptedTarget(answers_late(resume)) for _ in KEYS]
        async with HandoverRig(targets, retries=0.0, kind=RouteKind.REPEATABLE) as rig:
            request = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(target.requests for target in targets))
            for key in KEYS:
                rig.stalls.attempts.interrupt(key, MEMBER_DEAD, may_be_paused=False)
            await asyncio.sleep(0.1)
            resume.set()
            answer = await request
            assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\nlate")

    play(scenario)


def test_request_at_a_lost_replica_is_ended_at_once():
    async def scenario():
        never = asyncio.Event()
        targets = [ScriptedTarget(answers_late(never)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0, kind=RouteKind.AT_MOST_ONCE) as rig:
            request = asyncio.ensure_future(rig.stream())
            await rig.until(lambda: any(target.requests for target in targets))
            for key in KEYS:
                rig.forwarder.attempts.interrupt_lost(key, MEMBER_DEAD)
            async with asyncio.timeout(0.5):
                assert (await request).startswith(b"HTTP/1.1 502 ")

    play(scenario)


@pytest.mark.parametrize("is_moved", [True, False])
def test_caller_that_leaves_during_a_handover_keeps_no_slot(is_moved):
    async def scenario():
        never = asyncio.Event()
        targets = [ScriptedTarget(pauses(never)), ScriptedTarget(pauses(never))]
        async with HandoverRig(targets, retries=5.0, slots=2 if is_moved else 1) as rig:
            streaming = [asyncio.ensure_future(rig.stream()) for _ in range(2)]
            await rig.until_begun(2)
            rig.stalls.attempts.interrupt(KEYS[0], MEMBER_DEAD, may_be_paused=False)
            await asyncio.sleep(0)
            for stream in streaming:
                stream.cancel()
            await rig.until(lambda: rig.in_flight() == [0, 0])
            assert rig.selector.queue_length == 0

    play(scenario)
