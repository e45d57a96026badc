"""A stream without an attempt left returns to a target that it left and that may only be silent."""

import asyncio
import logging
import random
from types import SimpleNamespace

import pytest

from ...clock import ManualClock
from ...configuration import ServiceSpec
from ...scheduling import EndpointCatalog, SlotReply
from ...targets import Target, TargetDirectory
from .. import HallEndpointSelector, TargetLoads
from .._suspicions import MEMBER_DEAD
from .rig import ScriptedTarget, play, writes
from .test_forwarding import STREAM, body_of, events
from .test_handovers import REFUSAL, HandoverRig
from .test_interruptions import COMPLETE_BODY, KEYS
from .test_opened_elsewhere import SILENT
from .test_opening_races import IN_TIME_S, THREE_KEYS


def begins_then(continuations, returned=None):
    """Return a script that writes two events and falls silent; others continue the stream.

    The one that continues after event 2 is taken from `continuations`; after event 3, `returned`
    continues, by default completely.
    """
    returned = returned or writes(STREAM + events(4) + b"0\r\n\r\n", keep=False)

    async def script(target, request, writer):
        if b"Last-Event-Id: 3" in request:
            return await returned(target, request, writer)
        if b"Last-Event-Id: 2" in request:
            return await continuations.pop(0)(target, request, writer)
        writer.write(STREAM + events(1, 2))
        await writer.drain()
        await asyncio.Event().wait()

    return script


def writes_one_event_until(fails):
    """Return a script that writes an event, and closes the connection once `fails` is set."""

    async def script(target, request, writer):
        writer.write(STREAM + events(3))
        await writer.drain()
        await fails.wait()
        return None

    return script


async def moved_to(rig, keys):
    """Begin a stream and move it; return its task, and the numbers of both targets."""
    streaming = asyncio.ensure_future(rig.stream())
    await rig.until_begun(1)
    old = next(n for n, target in enumerate(rig.targets) if target.requests)
    position = rig.forwarder.attempts.responding_at(f"t{old}")[0].events
    rig.stalls.attempts.move_streams(keys[old], SILENT)
    await rig.until(lambda: position.count == 3)
    new = next(n for n, target in enumerate(rig.targets) if n != old and target.requests)
    return streaming, old, new


def rig_of(fails, keys=KEYS, returned=None, retries=5.0, **changes):
    continuations = [writes_one_event_until(fails)]
    targets = [ScriptedTarget(begins_then(continuations, returned)) for _ in keys]
    return HandoverRig(targets, retries, **changes)


@pytest.mark.parametrize("keys", [KEYS, THREE_KEYS], ids=["two_targets", "three_targets"])
def test_stream_that_was_moved_with_its_last_attempt_is_not_cut_if_the_other_target_fails(keys):
    """Failure: it was cut, although the target that it had left was only silent and went on."""

    async def scenario():
        fails = asyncio.Event()
        async with rig_of(fails, keys) as rig:
            streaming, old, new = await moved_to(rig, keys)
            fails.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            requests = [len(target.requests) for target in rig.targets]
            assert requests[old] == 2 and requests[new] == 1 and sum(requests) == 3
            assert rig.budget.available == 3.0 and not any(rig.in_flight())

    play(scenario)


def test_stream_waits_for_the_target_that_it_left_while_that_one_is_suspected():
    async def scenario():
        fails = asyncio.Event()
        async with rig_of(fails) as rig:
            streaming, old, new = await moved_to(rig, KEYS)
            rig.selector.catalog.suspected.add(KEYS[old])
            fails.set()
            await rig.until(lambda: rig.selector.queue_length == 1)
            rig.selector.catalog.suspected.discard(KEYS[old])
            rig.selector.assign_free_slots()
            assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


def test_stream_is_ended_at_once_if_the_target_that_it_left_is_lost():
    async def scenario():
        fails = asyncio.Event()
        async with rig_of(fails, time_limit_s=8.0) as rig:
            streaming, old, new = await moved_to(rig, KEYS)
            rig.stalls.suspicions.mark_broken(KEYS[old], MEMBER_DEAD)
            fails.set()
            async with asyncio.timeout(IN_TIME_S):
                assert body_of(await streaming)[1] is False
            assert len(rig.targets[old].requests) == 1

    play(scenario)


def test_stream_returns_to_a_target_at_most_once():
    async def scenario():
        fails = asyncio.Event()
        returned = writes(STREAM + events(4), keep=False)
        async with rig_of(fails, THREE_KEYS, returned) as rig:
            streaming, old, new = await moved_to(rig, THREE_KEYS)
            fails.set()
            async with asyncio.timeout(IN_TIME_S):
                assert body_of(await streaming)[1] is False
            assert sorted(len(target.requests) for target in rig.targets) == [0, 1, 2]

    play(scenario)


def test_stream_that_returned_leaves_its_target_no_more_when_that_one_falls_silent_again():
    async def scenario():
        fails, resume = asyncio.Event(), asyncio.Event()

        async def falls_silent(target, request, writer):
            writer.write(STREAM)
            await resume.wait()
            return await writes(events(4) + b"0\r\n\r\n", keep=False)(target, request, writer)

        async with rig_of(fails, THREE_KEYS, falls_silent) as rig:
            streaming, old, new = await moved_to(rig, THREE_KEYS)
            fails.set()
            await rig.until(lambda: len(rig.targets[old].requests) == 2)
            rig.stalls.attempts.move_streams(THREE_KEYS[old], SILENT)
            rig.stalls.attempts.interrupt_lost(THREE_KEYS[old], MEMBER_DEAD)
            await asyncio.sleep(0.1)
            resume.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            assert sorted(len(target.requests) for target in rig.targets) == [0, 1, 2]

    play(scenario)


def test_stream_returns_only_within_the_retry_budget():
    async def scenario():
        fails = asyncio.Event()
        async with rig_of(fails, retries=1.0) as rig:
            streaming, old, new = await moved_to(rig, KEYS)
            fails.set()
            assert body_of(await streaming)[1] is False
            assert len(rig.targets[old].requests) == 1

    play(scenario)


def test_stream_returns_from_a_lost_replica_before_its_connection_ends():
    """Failure: it stayed at the lost replica until that one was ended, and was cut."""

    async def scenario():
        never = asyncio.Event()
        async with rig_of(never) as rig:
            streaming, old, new = await moved_to(rig, KEYS)
            rig.stalls.suspicions.mark_broken(KEYS[new], MEMBER_DEAD)
            async with asyncio.timeout(IN_TIME_S):
                assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


def test_stream_at_a_lost_replica_goes_on_there_if_the_target_that_it_left_refuses_it():
    async def scenario():
        resume = asyncio.Event()

        async def resumes(target, request, writer):
            writer.write(STREAM + events(3))
            await resume.wait()
            return await writes(events(4) + b"0\r\n\r\n", keep=False)(target, request, writer)

        targets = [ScriptedTarget(begins_then([resumes], writes(REFUSAL))) for _ in KEYS]
        async with HandoverRig(targets, 5.0) as rig:
            streaming, old, new = await moved_to(rig, KEYS)
            rig.stalls.suspicions.mark_broken(KEYS[new], MEMBER_DEAD)
            await rig.until(lambda: len(rig.targets[old].requests) == 2)
            await rig.until(lambda: rig.in_flight()[old] == 0)
            resume.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


def test_log_numbers_the_attempt_that_returned(caplog):
    caplog.set_level(logging.INFO, "ferrydock.forwarding")

    async def scenario():
        fails = asyncio.Event()
        async with rig_of(fails) as rig:
            streaming, old, new = await moved_to(rig, KEYS)
            fails.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            resumed = [line for line in caplog.messages if "event=stream_resumed" in line]
            assert [
                f" target=t{n} attempt={a} " in line
                for line, n, a in zip(resumed, (new, old), (2, 3), strict=True)
            ] == [True, True]

    play(scenario)


@pytest.mark.parametrize("granted", ["left", "tried", "new"])
def test_hall_scheduler_grants_a_returning_stream_only_targets_that_it_left(granted):
    requests = []

    class Scheduler:
        async def request_slot(self, request):
            requests.append(request)
            return SlotReply(granted, 1, 1)

    directory = TargetDirectory()
    for name in ("left", "tried", "new"):
        directory.put(Target(name, "plain", "127.0.0.1:1", "hall-a", 6))
    arguments = EndpointCatalog(directory), TargetLoads(), "hall-a", ManualClock(), random.Random(1)
    selector = HallEndpointSelector(*arguments, scheduler=Scheduler())
    exchange = SimpleNamespace(
        service=ServiceSpec("plain", 10, None),
        inbound=SimpleNamespace(model=""),
        rank=(0, 0, 0, 1.0),
        tried_target_ids={"left", "tried"},
        left_target_ids={"left"},
        is_returning=True,
        team="",
        is_late=False,
    )
    endpoint = asyncio.run(selector.acquire(exchange, 0.0))
    assert endpoint.target.target_id == "left" and requests[0].avoid == ("new", "tried")
