"""What is recorded about a stream that another target has been asked to continue."""

import asyncio
import logging

from ...crashes import CrashHistory
from ...logs import parse_event
from .rig import ScriptedTarget, play
from .test_forwarding import STREAM, body_of, events
from .test_handovers import HandoverRig
from .test_interruptions import COMPLETE_BODY, KEYS, pauses
from .test_opened_elsewhere import SILENT, begun_stream, opens_late


def lines_of(caplog, name):
    found = map(parse_event, caplog.messages)
    return [line for line in found if line.get("event") == name]


def test_failed_attempt_is_logged_with_its_own_number(caplog):
    """Failure: the line of the old attempt had the number of the one that continued it."""
    caplog.set_level(logging.INFO, "ferrydock.forwarding")

    async def scenario():
        targets = [ScriptedTarget(pauses(asyncio.Event())) for _ in KEYS]
        async with HandoverRig(targets, retries=5.0) as rig:
            streaming, old, _ = await begun_stream(rig)
            rig.stalls.attempts.move_streams(KEYS[old], SILENT)
            assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)
    assert [line["attempt"] for line in lines_of(caplog, "attempt_failed")] == ["1"]


def test_resumption_is_logged_with_the_event_that_the_target_was_asked_after(caplog):
    """Failure: it had the last event written, so that a sound target seemed to repeat one."""
    caplog.set_level(logging.INFO, "ferrydock.forwarding")

    async def scenario():
        writes_more, fails, opens = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def script(target, request, writer):
            if b"Last-Event-Id: 2" in request:
                return await opens_late(opens, None)(target, request, writer)
            writer.write(STREAM + events(1, 2))
            await writer.drain()
            await writes_more.wait()
            writer.write(events(3))
            await writer.drain()
            await fails.wait()
            return None

        async with HandoverRig([ScriptedTarget(script) for _ in KEYS], retries=5.0) as rig:
            streaming, old, new = await begun_stream(rig)
            position = rig.forwarder.attempts.responding_at(f"t{old}")[0].events
            rig.stalls.attempts.move_streams(KEYS[old], SILENT)
            await rig.until(lambda: rig.targets[new].requests)
            writes_more.set()
            await rig.until(lambda: position.count == 3)
            fails.set()
            await rig.until(lambda: rig.in_flight()[old] == 0)
            opens.set()
            assert body_of(await streaming) == (COMPLETE_BODY, True)

    play(scenario)
    (line,) = lines_of(caplog, "stream_resumed")
    assert (line["after_event"], line["first_event"]) == ("2", "3")


def test_crash_of_a_target_that_continues_is_recorded_from_the_time_it_was_asked(monkeypatch):
    """Failure: it was recorded from the head of its answer on, without what it did before."""
    began_s = []
    monkeypatch.setattr(
        CrashHistory,
        "note_crash",
        lambda self, identity, target, began, ended: began_s.append(began),
    )

    async def scenario():
        asked_s, opens, crashes = [], asyncio.Event(), asyncio.Event()

        async def script(target, request, writer):
            if b"Last-Event-Id: 2" not in request:
                writer.write(STREAM + events(1, 2))
                await writer.drain()
                await asyncio.Event().wait()
            asked_s.append(rig.clock.now_s())
            await opens.wait()
            writer.write(STREAM + events(3))
            await writer.drain()
            await crashes.wait()
            target.close()
            return None

        async with HandoverRig([ScriptedTarget(script) for _ in KEYS], retries=5.0) as rig:
            streaming, old, new = await begun_stream(rig)
            rig.stalls.attempts.move_streams(KEYS[old], SILENT)
            await rig.until(lambda: asked_s)
            await asyncio.sleep(0.1)
            opens.set()
            await rig.until(lambda: rig.in_flight()[old] == 0)
            crashes.set()
            await rig.until(lambda: began_s)
            assert min(began_s) <= asked_s[0]
            await streaming

    play(scenario)
