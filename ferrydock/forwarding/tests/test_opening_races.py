"""What may happen while another target is asked to continue the stream of a silent replica."""

import asyncio

import pytest

from .._send_check import SendCheck
from .._suspicions import MEMBER_DEAD
from .rig import ScriptedTarget, play, writes
from .test_forwarding import STREAM, body_of, events
from .test_handovers import REFUSAL, HandoverRig
from .test_interruptions import COMPLETE_BODY, KEYS, pauses
from .test_opened_elsewhere import SILENT, begun_stream, moved_stream, opens_late

THREE_KEYS = [*KEYS, ("g2", 5)]
IN_TIME_S = 1.0


def begins_and_continues(continuations):
    """Return a script that writes two events and falls silent.

    Requests that continue a stream are answered by the scripts in `continuations`, in order.
    """

    async def script(target, request, writer):
        if b"Last-Event-Id: 2" in request:
            return await continuations.pop(0)(target, request, writer)
        writer.write(STREAM + events(1, 2))
        await writer.drain()
        await asyncio.Event().wait()

    return script


async def is_silent(target, request, writer):
    """Answer nothing, and keep the connection open."""
    await asyncio.Event().wait()


async def number_of_asked(rig, others):
    """Return the number of the target that is asked to continue, once there is one."""
    await rig.until(lambda: any(rig.targets[number].requests for number in others))
    return next(number for number in others if rig.targets[number].requests)


def test_stream_leaves_a_lost_replica_while_a_target_that_is_lost_as_well_opens():
    """Failure: the target that was asked is in no list of attempts, and was waited for."""

    async def scenario():
        continuations = [is_silent, writes(STREAM + events(3, 4) + b"0\r\n\r\n", keep=False)]
        targets = [ScriptedTarget(begins_and_continues(continuations)) for _ in THREE_KEYS]
        async with HandoverRig(targets, retries=5.0, attempts=3) as rig:
            streaming = asyncio.ensure_future(rig.stream())
            await rig.until_begun(1)
            old = next(n for n, target in enumerate(targets) if target.requests)
            rig.stalls.attempts.move_streams(THREE_KEYS[old], SILENT)
            asked = await number_of_asked(rig, {0, 1, 2} - {old})
            for number in (asked, old):
                rig.stalls.suspicions.mark_broken(THREE_KEYS[number], MEMBER_DEAD)
            async with asyncio.timeout(IN_TIME_S):
                assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


def test_stream_leaves_a_replica_that_is_lost_soon_after_another_target_refused_it():
    """Failure: the only call for a lost replica fell into the pause between two searches."""

    async def scenario():
        sound = writes(STREAM + events(3, 4) + b"0\r\n\r\n", keep=False)
        continuations = [writes(REFUSAL), sound]
        targets = [ScriptedTarget(begins_and_continues(continuations)) for _ in THREE_KEYS]
        async with HandoverRig(targets, retries=5.0, attempts=3) as rig:
            streaming = asyncio.ensure_future(rig.stream())
            await rig.until_begun(1)
            old = next(n for n, target in enumerate(targets) if target.requests)
            rig.stalls.attempts.move_streams(THREE_KEYS[old], SILENT)
            asked = await number_of_asked(rig, {0, 1, 2} - {old})
            await rig.until(lambda: rig.in_flight()[asked] == 0)
            rig.stalls.suspicions.mark_broken(THREE_KEYS[old], MEMBER_DEAD)
            async with asyncio.timeout(IN_TIME_S):
                assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


@pytest.mark.parametrize("new_keeps", [True, False], ids=["is_silent", "closes"])
def test_stream_of_a_replica_that_resumes_is_not_cut_if_the_other_target_sends_only_a_head(
    new_keeps,
):
    """Failure: the head alone, without an event, ended the old attempt, its last but one."""

    async def scenario():
        resume = asyncio.Event()
        async with HandoverRig([ScriptedTarget(pauses(resume)) for _ in KEYS], retries=5.0) as rig:
            streaming, old, new = await begun_stream(rig)
            rig.targets[new].scripts = [writes(STREAM, keep=new_keeps)]
            rig.stalls.attempts.move_streams(KEYS[old], SILENT)
            await rig.until(lambda: rig.targets[new].requests)
            await asyncio.sleep(0.1)
            resume.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


def test_target_that_opens_is_given_up_when_the_old_replica_has_resumed():
    """Failure: its slot was kept, and its answer waited for, as long as the old replica wrote."""

    async def scenario():
        resume, ends, never = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def resumes(target, request, writer):
            if b"Last-Event-Id: 2" in request:
                await never.wait()
            writer.write(STREAM + events(1, 2))
            await writer.drain()
            await resume.wait()
            number = 2
            while not ends.is_set():
                number += 1
                writer.write(events(number))
                await asyncio.sleep(0.02)
            writer.write(b"0\r\n\r\n")

        async with HandoverRig([ScriptedTarget(resumes) for _ in KEYS], retries=5.0) as rig:
            streaming, old, new = await moved_stream(rig)
            resume.set()
            async with asyncio.timeout(IN_TIME_S):
                await rig.until(lambda: rig.in_flight()[new] == 0)
            ends.set()
            body, is_complete = body_of(await streaming)
            assert is_complete and body.startswith(COMPLETE_BODY)

    play(scenario)


def test_stream_of_a_replica_that_is_silent_again_goes_on_at_the_target_that_opened():
    """Failure: one event was taken for the end of the silence, and the other answer was closed."""

    async def scenario():
        resume, opens, never = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def script(target, request, writer):
            if b"Last-Event-Id: 2" in request:
                return await opens_late(opens, never)(target, request, writer)
            writer.write(STREAM + events(1, 2))
            await writer.drain()
            await resume.wait()
            writer.write(events(3))
            await never.wait()

        async with HandoverRig([ScriptedTarget(script) for _ in KEYS], retries=5.0) as rig:
            streaming, old, new = await begun_stream(rig)
            position = rig.forwarder.attempts.responding_at(f"t{old}")[0].events
            rig.stalls.attempts.move_streams(KEYS[old], SILENT)
            await rig.until(lambda: rig.targets[new].requests)
            resume.set()
            await rig.until(lambda: position.count == 3)
            await asyncio.sleep(0.5)
            opens.set()
            await asyncio.sleep(0.1)
            rig.stalls.suspicions.mark_broken(KEYS[old], MEMBER_DEAD)
            assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


def test_target_that_left_before_it_was_asked_to_continue_costs_no_retry(monkeypatch):
    """Failure: the retry was paid for although nothing was sent."""

    async def scenario():
        resume = asyncio.Event()
        async with HandoverRig([ScriptedTarget(pauses(resume)) for _ in KEYS], retries=5.0) as rig:
            streaming, old, new = await begun_stream(rig)
            checked = []

            async def may_send(check, endpoint):
                checked.append(endpoint)
                return False

            monkeypatch.setattr(SendCheck, "may_send", may_send)
            rig.stalls.attempts.move_streams(KEYS[old], SILENT)
            await rig.until(lambda: checked and rig.in_flight()[new] == 0)
            resume.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            assert not rig.targets[new].requests and rig.budget.available == 5.0

    play(scenario)


def test_target_that_crashed_is_checked_while_another_one_opens():
    """Failure: it was only probed once the other target had answered."""

    async def scenario():
        fails, opens = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(opens_late(opens, None, fails)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0) as rig:
            streaming, old, new = await moved_stream(rig)
            identity = rig.forwarder.attempts.responding_at(f"t{old}")[0].identity
            targets[old].close()
            fails.set()
            async with asyncio.timeout(IN_TIME_S):
                await rig.until(lambda: rig.history.crash_count_of(identity) == 1)
            opens.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)


@pytest.mark.parametrize("old_fails", [True, False])
def test_caller_that_closes_its_connection_while_another_target_opens_keeps_no_slot(old_fails):
    async def scenario():
        fails, opens = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(opens_late(opens, None, fails)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0) as rig:
            host, port = rig.gateway.address.split(":")
            _, caller = await asyncio.open_connection(host, int(port))
            caller.write(b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Model: large\r\n\r\n")
            await rig.until_begun(1)
            old = next(n for n, target in enumerate(targets) if target.requests)
            new = 1 - old
            rig.stalls.attempts.move_streams(KEYS[old], SILENT)
            await rig.until(lambda: rig.targets[new].requests)
            if old_fails:
                fails.set()
                await rig.until(lambda: rig.in_flight()[old] == 0)
            caller.transport.abort()
            async with asyncio.timeout(IN_TIME_S):
                await rig.until(lambda: rig.in_flight() == [0, 0])

    play(scenario)


def test_planned_stop_ends_a_stream_whose_target_failed_while_another_one_opens():
    async def scenario():
        fails, opens = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(opens_late(opens, None, fails)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0) as rig:
            streaming, old, new = await moved_stream(rig)
            fails.set()
            await rig.until(lambda: rig.in_flight()[old] == 0)
            rig.forwarder.stop_limit.end()
            async with asyncio.timeout(IN_TIME_S):
                await asyncio.wait({streaming})
                await rig.until(lambda: rig.in_flight() == [0, 0])

    play(scenario)


def test_retry_that_an_opening_has_paid_for_is_not_reserved_once_more():
    """Failure: a second stream of the replica was not moved although a retry was left for it."""

    async def scenario():
        never = asyncio.Event()
        targets = [ScriptedTarget(opens_late(never, never)) for _ in KEYS]
        async with HandoverRig(targets, retries=2.0) as rig:
            rig.selector.catalog.suspected.add(KEYS[1])
            streaming = [asyncio.ensure_future(rig.stream()) for _ in range(2)]
            await rig.until_begun(2)
            rig.selector.catalog.suspected.discard(KEYS[1])
            attempts = rig.forwarder.attempts
            attempts.handovers.begin(attempts._attempts_at(KEYS[0])[:1], SILENT)
            await rig.until(lambda: targets[1].requests)
            assert rig.budget.available == 1.0
            attempts.move_streams(KEYS[0], SILENT)
            async with asyncio.timeout(IN_TIME_S):
                await rig.until(lambda: len(targets[1].requests) == 2)
            for stream in streaming:
                stream.cancel()

    play(scenario)
