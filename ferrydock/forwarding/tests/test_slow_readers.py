"""Callers that read slowly or not at all keep no slots and a bounded amount of memory."""

import asyncio
import itertools
import logging
import socket

import pytest
import uvloop

from ...clock import ManualClock
from ...configuration import RouteKind
from ...links import _direct
from .._caller_buffers import CALLER_BOUND_BYTES, MAX_UNREAD_S
from .rig import Rig, ScriptedTarget, complete_answer, route, writes
from .test_forwarding import STREAM, body_of, chunk
from .test_interruptions import ReplicaRig
from .test_planned_stop import receive_all, start_planned_stop, until

FIELDS = b"Host: h.example\r\nX-Attempt-Id: a1\r\nX-Model: large\r\nConnection: close\r\n"
REQUEST = b"GET /a/x HTTP/1.1\r\n" + FIELDS + b"\r\n"
LARGE_PARTS = [
    b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * 1000) for n in range(first, first + 64))
    for first in range(1, 64 * 40, 64)
]
EVENTS = LARGE_PARTS[0]
STREAM_64K = STREAM + chunk(EVENTS) + b"0\r\n\r\n"
LARGE_BODY = b"".join(LARGE_PARTS)
LARGE_STREAM = STREAM + b"".join(map(chunk, LARGE_PARTS)) + b"0\r\n\r\n"
# More than aiohttp hands to the relay at once: what it had read when it was told to stop.
MAX_PIECE_BYTES = 786_432
LIMIT_S = 20.0
UPLOAD_BYTES = 3_000_000


class BoundedMemory:
    """Makes a rig bound the memory for slow readers, with a clock of its own for their times."""

    async def __aenter__(self):
        self.gateway.memory_bytes = 200e6
        await super().__aenter__()
        self.callers = []
        self.slow_readers = self.gateway._server.slow_readers
        self.slow_readers.clock = ManualClock()
        for opened in self.gateway._sockets.sockets:
            _shrink(opened, socket.SO_SNDBUF, socket.SO_RCVBUF)  # inherited by what it accepts
        return self

    async def __aexit__(self, *error):
        await super().__aexit__(*error)
        for caller in self.callers:
            caller.close()

    @property
    def connections(self):
        return self.gateway._server.caller_connections()

    def step_after(self, after_s):
        self.slow_readers.clock.advance(after_s)
        self.gateway.enforce_timeouts()

    async def request_unread(self, data=REQUEST):
        """Send a request, and return the socket, from which nothing has been read."""
        caller, loop = socket.socket(), asyncio.get_running_loop()
        self.callers.append(caller)
        caller.setblocking(False)
        _shrink(caller, socket.SO_RCVBUF, socket.SO_SNDBUF)
        host, port = self.gateway.address.split(":")
        await loop.sock_connect(caller, (host, int(port)))
        await loop.sock_sendall(caller, data)
        return caller

    async def until_held_back(self, count=1):
        await until(lambda: sum(each.is_held_back for each in self.connections) == count)

    def cut_count(self, why):
        return self.slow_readers.metrics.callers_cut.labels(why)._value.get()


class BoundedRig(BoundedMemory, Rig):
    def __init__(self, target, kind=RouteKind.RESUMABLE_STREAM):
        super().__init__([route(kind=kind, time_limit_s=LIMIT_S, first_answer_s=LIMIT_S)], [target])


async def stream_in_parts(target, request, writer):
    """Send 64 events in eight parts, so that the daemon does not read the answer at once."""
    writer.write(STREAM)
    for part in range(8):
        writer.write(chunk(EVENTS[part * len(EVENTS) // 8 : (part + 1) * len(EVENTS) // 8]))
        await asyncio.sleep(0.001)
    writer.write(b"0\r\n\r\n")
    return True


def _shrink(opened, *options):
    for option in options:
        opened.setsockopt(socket.SOL_SOCKET, option, 4096)
    return opened


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])
def play(request):
    """Run a scenario, a coroutine function, on each kind of event loop."""

    def run(scenario):
        with asyncio.Runner(loop_factory=request.param) as runner:
            runner.run(scenario())

    return run


def test_300_stalled_callers_keep_no_slots_and_do_not_disturb_100_that_read(play):
    async def scenario():
        target = ScriptedTarget(stream_in_parts)
        async with BoundedRig(target) as rig:
            [await rig.request_unread() for _ in range(300)]
            answers = await asyncio.gather(*(rig.ask(timeout_s=LIMIT_S) for _ in range(100)))
            assert {body_of(answer) for answer in answers} == {(EVENTS, True)}
            await until(lambda: len(target.requests) == 400 and not rig.loads.of("t0").in_flight)
            assert 150 * len(EVENTS) < rig.gateway.caller_bytes_held < 20e6  # a tenth of 200 MB
            rig.step_after(0.0)
            rig.step_after(MAX_UNREAD_S - 0.1)
            assert rig.cut_count("unread") == 0
            rig.step_after(0.1)
            await until(lambda: not rig.connections)
            assert rig.cut_count("unread") == 300 and not rig.slow_readers.buffers.total_bytes

    play(scenario)


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, RouteKind.RESUMABLE_STREAM])
def test_large_answer_to_a_slow_but_steady_caller_arrives_completely(play, kind):
    async def scenario():
        answer = complete_answer(LARGE_BODY) if kind == RouteKind.REPEATABLE else LARGE_STREAM
        async with BoundedRig(ScriptedTarget(writes(answer)), kind) as rig:
            caller = await rig.request_unread()
            await rig.until_held_back()
            received, most_held_bytes = b"", 0
            while piece := await asyncio.get_running_loop().sock_recv(caller, 16_384):
                received += piece
                rig.step_after(MAX_UNREAD_S / 3)
                most_held_bytes = max(most_held_bytes, rig.gateway.caller_bytes_held)
            body = received.partition(b"\r\n\r\n")[2]
            assert body == LARGE_BODY or body_of(received) == (LARGE_BODY, True)
            assert most_held_bytes < CALLER_BOUND_BYTES + MAX_PIECE_BYTES

    play(scenario)


def test_caller_cut_while_its_target_still_sends_ends_like_one_that_disconnected(play, caplog):
    caplog.set_level(logging.INFO, "ferrydock.forwarding")

    async def scenario():
        is_closed = asyncio.Event()

        async def endless(target, request, writer):
            writer.write(STREAM)
            try:
                for number in itertools.count(1):
                    event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 60_000)
                    await writes(chunk(event))(target, request, writer)
            finally:
                is_closed.set()

        target = ScriptedTarget(endless)
        async with BoundedRig(target) as rig:
            await rig.request_unread()
            await rig.until_held_back()
            rig.step_after(0.0)
            rig.step_after(MAX_UNREAD_S)
            await until(lambda: is_closed.is_set() and not rig.loads.of("t0").in_flight)
            assert len(target.requests) == 1

    play(scenario)
    assert "event=caller_cut request=a1 held_bytes=" in caplog.text
    assert "why=unread" in caplog.text and "event=caller_left request=a1" in caplog.text


def test_caller_that_has_read_nothing_for_longest_is_cut_if_the_daemon_holds_too_much(play):
    async def scenario():
        async with BoundedRig(ScriptedTarget(writes(STREAM_64K))) as rig:
            buffers = rig.slow_readers.buffers
            caller, *_ = [await rig.request_unread() for _ in range(4)]
            await until(lambda: len(rig.connections) == 4)
            reader = rig.connections[0]  # accepted in the order of connecting

            def have_read_nothing(for_s):
                rig.step_after(0.1)
                now_s = rig.slow_readers.clock.now_s()
                return [buffers.unread_s(each, now_s) >= for_s for each in rig.connections]

            await until(lambda: have_read_nothing(1.0) == [True] * 4)
            buffers.bound_bytes = buffers.total_bytes
            await asyncio.get_running_loop().sock_recv(caller, 16_384)
            await until(lambda: have_read_nothing(0.5)[0] is False)
            await rig.request_unread()
            await until(lambda: rig.cut_count("memory"))
            assert {reader, rig.connections[-1]} <= set(buffers.callers())
            assert not buffers.is_exceeded
            assert (await rig.ask()).endswith(b"0\r\n\r\n")

    play(scenario)


@pytest.mark.parametrize("reads", [True, False])
def test_stop_delivers_held_bytes_or_ends_when_the_caller_is_cut(play, reads):
    async def scenario():
        async with BoundedRig(ScriptedTarget(writes(STREAM_64K))) as rig:
            caller = await rig.request_unread()
            await until(lambda: rig.gateway.caller_bytes_held and not rig.gateway.in_flight)
            stop = start_planned_stop(rig)
            await until(lambda: rig.gateway.has_stopped_listening)
            rig.gateway.close_idle()
            assert not rig.loads.of("t0").in_flight and not stop.done()
            if reads:
                assert body_of(await receive_all(caller)) == (EVENTS, True)
            else:
                rig.step_after(0.0)
                rig.step_after(MAX_UNREAD_S)
            assert await stop and rig.cut_count("unread") == (not reads)

    play(scenario)


def test_stream_that_waits_for_its_caller_does_not_count_as_stalled(play):
    class BoundedReplicaRig(BoundedMemory, ReplicaRig):
        pass

    async def scenario():
        async with BoundedReplicaRig([ScriptedTarget(writes(LARGE_STREAM))], retries=5.0) as rig:
            callers = [await rig.request_unread() for _ in range(2)]
            await rig.until_held_back(2)
            rig.loads.of("t0").last_progress_s -= 100.0
            await rig.stalls.step()  # would poll by the control, which is None
            rig.stalls.attempts.move_streams(("g0", 5), "silent")
            assert rig.clock.now_s() - rig.loads.of("t0").last_progress_s < 50.0
            answers = await asyncio.gather(*map(receive_all, callers))
            assert [body_of(answer) for answer in answers] == [(LARGE_BODY, True)] * 2
            assert len(rig.targets[0].requests) == 2

    play(scenario)


def test_target_that_reads_slowly_is_sent_no_more_than_it_takes(play, monkeypatch):
    open_socket = _direct.open_socket
    monkeypatch.setattr(_direct, "open_socket", lambda: _shrink(open_socket(), socket.SO_SNDBUF))

    async def scenario():
        reads_on, target = asyncio.Event(), ScriptedTarget()

        async def serve(reader, writer):
            if (await reader.readuntil(b"\r\n\r\n")).startswith(b"POST"):
                await reads_on.wait()
                await reader.readexactly(UPLOAD_BYTES)
            writer.write(complete_answer())
            writer.close()

        target._serve = serve
        async with BoundedRig(target, RouteKind.REPEATABLE) as rig:
            _shrink(target.server.sockets[0], socket.SO_RCVBUF)
            length = b"Content-Length: %d\r\n\r\n" % UPLOAD_BYTES
            caller = await rig.request_unread(b"POST /a/x HTTP/1.1\r\n" + FIELDS + length)
            await until(lambda: rig.gateway.in_flight)
            body = rig.connections[0]._current_request.content
            upload = asyncio.get_running_loop().sock_sendall(caller, b"x" * UPLOAD_BYTES)
            upload = asyncio.ensure_future(upload)
            read_bytes = -1
            while read_bytes != body.total_bytes:
                read_bytes = body.total_bytes
                for _ in range(10):
                    assert (await rig.ask()).startswith(b"HTTP/1.1 200")
            assert 0 < read_bytes < UPLOAD_BYTES / 2
            reads_on.set()
            await upload
            assert (await receive_all(caller)).startswith(b"HTTP/1.1 200")

    play(scenario)
