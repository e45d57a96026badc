"""What is left of a suspicion once the replica has resumed."""

import asyncio

from .._suspicions import MEMBER_DEAD
from .rig import ScriptedTarget, play
from .test_forwarding import STREAM, body_of, events
from .test_handovers import HandoverRig
from .test_interruptions import COMPLETE_BODY, KEYS


def resumes_slowly(resume, end):
    """Return a script that writes an event once `resume` is set, and the last once `end` is."""

    async def script(target, request, writer):
        writer.write(STREAM + events(1, 2))
        await writer.drain()
        await resume.wait()
        writer.write(events(3))
        await writer.drain()
        await end.wait()
        writer.write(events(4) + b"0\r\n\r\n")
        await writer.drain()
        return None

    return script


def test_a_stream_whose_replica_has_resumed_waits_for_no_slot_elsewhere():
    """Failure: it stayed in the queue until it ended, and was given slots that others needed."""

    async def scenario():
        resume, end = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(resumes_slowly(resume, end)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0, slots=1, time_limit_s=8.0) as rig:
            streaming = [asyncio.ensure_future(rig.stream()) for _ in range(2)]
            await rig.until_begun(2)
            rig.stalls.attempts.interrupt(KEYS[0], MEMBER_DEAD, may_be_paused=False)
            await rig.until(lambda: rig.selector.queue_length == 1)
            resume.set()
            rig.stalls.suspicions.withdraw_report(KEYS[0])
            await rig.until(lambda: rig.selector.queue_length == 0)
            end.set()
            answers = [body_of(answer) for answer in await asyncio.gather(*streaming)]
            assert answers == [(COMPLETE_BODY, True)] * 2

    play(scenario)
