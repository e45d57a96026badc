"""Comments and blank lines of a stream: passed on, but neither an event nor progress."""

import asyncio

from ...configuration import RouteKind
from ...outcomes import Unavailable
from .._answer_relay import MAX_PART_BYTES
from .._events import MAX_BYTES_WITHOUT_EVENT, NumberedEvents, RunFault
from .._lost_links import LINKS_LOST, LOST_SILENT_S
from .rig import HEAD, Rig, ScriptedTarget, play, route
from .test_forwarding import body_of
from .test_interruptions import MonitoredReplica

EVENT = b"id: 1\ndata: a\n\n"
STREAM_ROUTE = route(kind=RouteKind.RESUMABLE_STREAM, attempts=2, time_limit_s=10.0)


def sends_comments(end, comment=b": a\n\n", last=b"id: 2\ndata: b\n\n"):
    """Return a script that sends an event, comments until `end` is set, and then the last bytes."""

    async def script(target, request, writer):
        writer.write(HEAD + b"\r\n" + EVENT)
        while not end.is_set():
            await asyncio.sleep(0.02)
            writer.write(comment)
        writer.write(last)
        return None

    return script


def test_comments_are_passed_on_between_two_events_up_to_their_bound():
    events = NumberedEvents(None)
    comment = b": a\n\n"
    most = comment * (MAX_BYTES_WITHOUT_EVENT // len(comment))
    for number in (1, 2):
        data = most + b"id: %d\n\n" % number
        assert events.feed(data) == data
    assert events.fault is None
    events.feed(most + comment)
    assert events.fault is RunFault.NO_EVENT


def test_comments_do_not_hide_that_a_target_makes_no_progress():
    """Failure: a replica that sent only comments was never found to be stuck."""

    async def scenario():
        end = asyncio.Event()
        async with Rig([STREAM_ROUTE], [ScriptedTarget(sends_comments(end))]) as rig:
            streaming = asyncio.ensure_future(rig.ask())
            await asyncio.sleep(0.3)
            load, now_s = rig.loads.of("t0"), rig.clock.now_s()
            assert now_s - load.last_progress_s > 0.2 > now_s - load.last_received_s
            end.set()
            body, is_complete = body_of(await streaming)
            assert is_complete and body.startswith(EVENT + b": a\n\n")

    play(scenario)


def test_other_tasks_run_between_the_parts_of_many_small_events():
    """Failure: all blocks that had arrived were handled in one turn of the loop."""

    async def scenario():
        turns = 0
        small_events = b"data:\n\n" * (MAX_PART_BYTES // 2)

        async def write(target, request, writer):
            writer.write(HEAD + b"\r\n" + small_events)
            await writer.drain()
            return None

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        async with Rig([STREAM_ROUTE], [ScriptedTarget(write)]) as rig:
            counting = asyncio.ensure_future(count_turns())
            body, is_complete = body_of(await rig.ask())
            counting.cancel()
            assert is_complete and body == small_events
            assert turns >= len(small_events) // MAX_PART_BYTES

    play(scenario)


def test_lines_of_comments_do_not_hide_that_a_target_makes_no_progress():
    """Failure: the bytes of a block that is not complete counted as progress, of whatever kind."""

    async def scenario():
        end = asyncio.Event()
        lines = sends_comments(end, b": a\n", b"\nid: 2\ndata: b\n\n")
        async with Rig([STREAM_ROUTE], [ScriptedTarget(lines)]) as rig:
            streaming = asyncio.ensure_future(rig.ask())
            await asyncio.sleep(0.3)
            load, now_s = rig.loads.of("t0"), rig.clock.now_s()
            assert now_s - load.last_progress_s > 0.2 > now_s - load.last_received_s
            end.set()
            assert body_of(await streaming)[1]

    play(scenario)


class CommentingReplica(MonitoredReplica):
    """A replica whose head sends comments, and one of whose members does not answer."""

    async def report(self, member, timeout_s):
        self.poll_count += 1
        self.clock.advance(0.05)
        self.loads.record_received("t0", self.clock.now_s())
        await asyncio.sleep(0)
        return Unavailable("no answer")


def test_comments_do_not_hide_that_a_member_does_not_answer():
    """Failure: the result of each poll was dropped, because a comment arrived meanwhile."""

    async def scenario():
        monitored = CommentingReplica()
        await monitored.steps(for_s=3.0)
        assert monitored.poll_count > 1 and monitored.avoided == {("g0", 5)}

    play(scenario)


def test_stream_that_receives_comments_is_not_interrupted_as_silent():
    """Failure: it was sent to another target although its connection lived on."""

    async def scenario():
        end = asyncio.Event()
        targets = [ScriptedTarget(sends_comments(end)) for _ in range(2)]
        async with Rig([STREAM_ROUTE], targets) as rig:
            streaming = asyncio.ensure_future(rig.ask())
            await asyncio.sleep(LOST_SILENT_S + 0.1)
            attempts = rig.forwarder.attempts
            attempts.interrupt_silent(rig.clock.now_s(), LOST_SILENT_S, LINKS_LOST)
            await asyncio.sleep(0.1)
            assert sum(len(target.requests) for target in targets) == 1
            end.set()
            assert body_of(await streaming)[1]

    play(scenario)
