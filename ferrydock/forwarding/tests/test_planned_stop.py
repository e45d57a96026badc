"""What is owed to the requests that a daemon has, or gets, while it stops as planned."""

import asyncio
import contextlib

from ...clock import SystemClock
from ...configuration import RouteKind
from ...planned_stop import finish_requests
from .rig import HEAD, Rig, ScriptedTarget, answers, play, route, whole
from .test_forwarding import STREAM, body_of, events

FIELDS = b"Host: h.example\r\nX-Attempt-Id: a1\r\n"
REQUEST = b"GET /a/x HTTP/1.1\r\n" + FIELDS + b"\r\n"
LIMIT_S = 5.0


class Caller:
    """A caller that goes on using its connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def to(cls, rig, limit=2**16):
        host, port = rig.gateway.address.split(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=limit))

    def send(self, data):
        self.writer.write(data)

    async def rest(self):
        """Return all that comes until the connection ends."""
        async with asyncio.timeout(LIMIT_S):
            return await self.reader.read()


def finish(rig, within_s=LIMIT_S):
    """Begin what a daemon does at a planned stop, without the time for the balancer."""
    return asyncio.ensure_future(finish_requests([rig.gateway], 0.0, within_s, SystemClock()))


async def until(condition):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.005)


def waits_for(event, first, then):
    """Return a script that writes `first`, and `then` once the event is set."""

    async def script(target, request, writer):
        writer.write(first)
        await writer.drain()
        await event.wait()
        writer.write(then)
        await writer.drain()
        return None

    return script


async def silent(target, request, writer):
    """Play a target that reads a request and says nothing."""
    await asyncio.sleep(3600)


def test_a_body_that_is_still_on_its_way_as_listening_ends_is_taken():
    async def scenario():
        target = ScriptedTarget(answers(whole(b"done")))
        async with Rig([route()], [target]) as rig:
            caller = await Caller.to(rig)
            caller.send(b"POST /a/x HTTP/1.1\r\n" + FIELDS + b"Content-Length: 4\r\n\r\nab")
            await until(lambda: rig.gateway.in_flight)
            stop = finish(rig)
            await until(lambda: rig.gateway.has_stopped_listening)
            caller.send(b"cd")
            got = await caller.rest()
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"done")
            assert target.requests[0].endswith(b"abcd")
            assert await stop

    play(scenario)


def test_a_request_that_is_read_after_listening_has_ended_is_refused_as_not_run():
    async def scenario():
        release = asyncio.Event()
        target = ScriptedTarget(waits_for(release, STREAM + events(1), events(2) + b"0\r\n\r\n"))
        async with Rig([route(kind=RouteKind.RESUMABLE_STREAM)], [target]) as rig:
            busy, late = await Caller.to(rig), await Caller.to(rig)
            busy.send(REQUEST)
            await until(lambda: target.requests)
            await until(lambda: rig.gateway.connection_count == 2)
            rig.gateway.announce_stop()
            rig.gateway.stop_listening()
            late.send(REQUEST)
            got = await late.rest()
            assert got.startswith(b"HTTP/1.1 503") and b"stopping" in got
            assert b"Retry-After: 0\r\n" in got and b"Connection: close" in got
            release.set()
            assert body_of(await busy.rest())[1]
            assert len(target.requests) == 1

    play(scenario)


def test_a_connection_whose_answer_began_before_the_stop_ends_with_it():
    async def scenario():
        release = asyncio.Event()
        target = ScriptedTarget(waits_for(release, STREAM + events(1), events(2) + b"0\r\n\r\n"))
        async with Rig([route(kind=RouteKind.RESUMABLE_STREAM)], [target]) as rig:
            caller = await Caller.to(rig)
            caller.send(REQUEST)
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert b"Connection: close" not in head
            stop = finish(rig)
            await until(lambda: rig.gateway.has_stopped_listening)
            release.set()
            got = await caller.rest()
            assert got.count(b"id: ") == 2 and got.endswith(b"0\r\n\r\n")
            assert await stop

    play(scenario)


def test_a_stop_waits_until_an_answer_has_been_sent_to_a_slow_reader():
    async def scenario():
        body = b"x" * 8_000_000
        target = ScriptedTarget(answers(whole(body)))
        async with Rig([route(time_limit_s=LIMIT_S)], [target]) as rig:
            caller = await Caller.to(rig, limit=1000)
            caller.send(REQUEST)
            await until(lambda: target.requests and rig.gateway.in_flight)
            stop = finish(rig)
            await asyncio.sleep(0.2)  # nothing is read: the answer waits in buffers on the way
            assert not stop.done()
            got = await caller.rest()
            assert len(got.partition(b"\r\n\r\n")[2]) == len(body)
            assert await stop

    play(scenario)


def test_a_body_that_never_ends_is_refused_at_the_end():
    async def scenario():
        async with Rig([route()], [ScriptedTarget(silent)]) as rig:
            caller = await Caller.to(rig)
            caller.send(b"POST /a/x HTTP/1.1\r\n" + FIELDS + b"Content-Length: 4\r\n\r\nab")
            await until(lambda: rig.gateway.in_flight)
            assert not await finish(rig, within_s=0.1)
            await rig.gateway.close()
            got = await caller.rest()
            assert got.startswith(b"HTTP/1.1 503") and b"Retry-After: 0\r\n" in got

    play(scenario)


def test_a_request_that_waits_for_room_at_the_end_is_refused_as_not_run():
    async def scenario():
        async with Rig([route(kind=RouteKind.AT_MOST_ONCE, first_answer_s=4.0)], []) as rig:
            caller = await Caller.to(rig)
            caller.send(REQUEST)
            await until(lambda: rig.selector.waiting)
            assert not await finish(rig, within_s=0.1)
            await rig.gateway.close()
            got = await caller.rest()
            assert got.startswith(b"HTTP/1.1 503") and b"stopping" in got
            assert b"Retry-After: 0\r\n" in got

    play(scenario)


def test_a_request_that_a_target_has_at_the_end_may_have_run():
    async def scenario():
        target = ScriptedTarget(silent)
        async with Rig([route(kind=RouteKind.AT_MOST_ONCE)], [target]) as rig:
            caller = await Caller.to(rig)
            caller.send(REQUEST)
            await until(lambda: target.requests)
            await rig.gateway.close()
            got = await caller.rest()
            assert got.startswith(b"HTTP/1.1 502") and b"stopping" in got
            assert b"Retry-After" not in got
            assert rig.loads.of("t0").running == 0

    play(scenario)


def test_a_begun_stream_that_is_left_at_the_end_does_not_look_whole():
    async def scenario():
        never = asyncio.Event()
        target = ScriptedTarget(waits_for(never, STREAM + events(1), b""))
        async with Rig([route(kind=RouteKind.RESUMABLE_STREAM)], [target]) as rig:
            caller = await Caller.to(rig)
            caller.send(REQUEST)
            got = await caller.reader.readuntil(b"id: 1")
            await rig.gateway.close()
            with contextlib.suppress(ConnectionResetError):
                got += await caller.rest()
            assert HEAD[:12] in got and not got.endswith(b"0\r\n\r\n")

    play(scenario)
