"""A begun stream leaves a silent replica only once another target has begun to continue it."""

import asyncio
import logging

import pytest

from .rig import ScriptedTarget, play, writes
from .test_forwarding import STREAM, body_of, chunk, events
from .test_handovers import REFUSAL, HandoverRig
from .test_interruptions import COMPLETE_BODY, KEYS, pauses

SILENT = "silent"
NO_STREAM = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NOT_HTTP = b"nothing\r\n\r\n"
REST = chunk(b"id: 3\ndata: broken\n\n") + b"0\r\n\r\n"
NOT_TAKEN = {
    "refuses": REFUSAL,
    "answers_no_stream": NO_STREAM,
    "is_no_answer": NOT_HTTP,
    "status_000": STREAM.replace(b"200 OK", b"000 OK") + REST,
    "status_600": STREAM.replace(b"200 OK", b"600 OK") + REST,
    "control_byte_in_reason": STREAM.replace(b"200 OK", b"200 \a") + REST,
    "control_byte_in_value": STREAM.replace(b"\r\n", b"\r\nX: \a\r\n", 1) + REST,
    "blank_before_first_field": STREAM.replace(b"\r\n", b"\r\n X: 1\r\n", 1) + REST,
    "unknown_coding": STREAM.replace(b"chunked", b"xchunked") + REST,
    "empty_signature": STREAM.replace(b"X-Server-Stamp: s", b"X-Server-Stamp:") + REST,
}


def opens_late(opens, resume, fails=None):
    """Return a script that continues a stream once `opens` is set.

    One that it has begun goes on once `resume` is set, or breaks once `fails` is.
    """

    async def script(target, request, writer):
        if b"Last-Event-Id: 2" not in request:
            if fails is None:
                return await pauses(resume)(target, request, writer)
            writer.write(STREAM + events(1, 2))
            await writer.drain()
            await fails.wait()
            return None
        await opens.wait()
        writer.write(STREAM + events(3, 4) + b"0\r\n\r\n")
        await writer.drain()
        return None

    return script


async def begun_stream(rig):
    """Begin a stream; return its task, the number of its target, and that of the other one."""
    streaming = asyncio.ensure_future(rig.stream())
    await rig.until_begun(1)
    old = next(n for n, target in enumerate(rig.targets) if target.requests)
    return streaming, old, 1 - old


async def moved_stream(rig):
    """Begin a stream and move it, until the other target is asked; return as `begun_stream`."""
    streaming, old, new = await begun_stream(rig)
    rig.stalls.attempts.move_streams(KEYS[old], SILENT)
    await rig.until(lambda: rig.targets[new].requests)
    return streaming, old, new


@pytest.mark.parametrize("answer", NOT_TAKEN.values(), ids=NOT_TAKEN)
def test_stream_of_a_silent_replica_is_not_cut_if_the_target_it_moves_to_does_not_take_it(answer):
    """Failure: its connection was closed before the other target, its last one, refused it."""

    async def scenario():
        resume = asyncio.Event()
        async with HandoverRig([ScriptedTarget(pauses(resume)) for _ in KEYS], retries=5.0) as rig:
            streaming, old, new = await begun_stream(rig)
            rig.targets[new].scripts = [writes(answer)]
            rig.stalls.attempts.move_streams(KEYS[old], SILENT)
            await rig.until(lambda: rig.targets[new].requests)
            await rig.until(lambda: rig.in_flight()[new] == 0)
            resume.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            assert [len(target.requests) for target in rig.targets] == [1, 1]
            assert rig.in_flight() == [0, 0] and rig.budget.available == 4.0

    play(scenario)


def test_log_lines_name_the_attempt_that_failed_and_the_one_that_was_opened(caplog):
    """Failure: the attempt that was left had the number of the one that had been opened."""
    caplog.set_level(logging.INFO, "ferrydock.forwarding")

    async def scenario():
        never = asyncio.Event()
        async with HandoverRig([ScriptedTarget(pauses(never)) for _ in KEYS], retries=5.0) as rig:
            streaming, old, new = await begun_stream(rig)
            rig.stalls.attempts.move_streams(KEYS[old], SILENT)
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            lines = [line for line in caplog.messages if "attempt=" in line]
            failed, resumed = sorted(lines, key=lambda line: "stream_resumed" in line)
            assert f" target=t{old} " in failed and " why=silent " in failed
            assert " attempt=1 " in failed and " sent_ago_ms=" in failed
            assert f" target=t{new} attempt=2 after_event=2 " in resumed

    play(scenario)


def test_stream_that_resumes_while_another_target_opens_is_not_moved():
    async def scenario():
        resume, opens = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(opens_late(opens, resume)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0) as rig:
            streaming, old, new = await moved_stream(rig)
            resume.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            await rig.until(lambda: rig.in_flight() == [0, 0])

    play(scenario)


def test_stream_whose_target_fails_while_another_one_opens_goes_on_there():
    async def scenario():
        fails, opens = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(opens_late(opens, None, fails)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0) as rig:
            streaming, old, new = await moved_stream(rig)
            fails.set()
            await rig.until(lambda: rig.in_flight()[old] == 0)
            opens.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)
            assert rig.in_flight() == [0, 0] and rig.budget.available == 4.0

    play(scenario)


@pytest.mark.parametrize("opens_first", [True, False])
def test_caller_that_leaves_while_another_target_opens_keeps_no_slot(opens_first):
    async def scenario():
        never, opens = asyncio.Event(), asyncio.Event()
        targets = [ScriptedTarget(opens_late(opens, never)) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0) as rig:
            streaming, old, new = await moved_stream(rig)
            if opens_first:
                opens.set()
            streaming.cancel()
            await rig.until(lambda: rig.in_flight() == [0, 0])

    play(scenario)
