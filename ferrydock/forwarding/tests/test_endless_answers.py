"""A target whose bytes have no end costs its attempt a bounded time, and others nothing."""

import asyncio
import random

import aiohttp
import pytest
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from ... import answer_protocol
from ...answer_protocol import AnswerProtocol
from ...configuration import RouteKind
from .. import _target_loads
from .flooding_server import FloodingServer
from .rig import HEAD, Rig, ScriptedTarget, complete_answer, play, route, writes

CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\n\r\n"
FLOODED_HEADS = {
    "informational heads": (b"", EARLY_HINTS),
    "short informational heads": (b"", b"HTTP/1.1 100\r\n\r\n"),
    "long informational heads": (b"", b"HTTP/1.1 103 E\r\nLink: " + b"a" * 60000 + b"\r\n\r\n"),
    "a header line": (b"HTTP/1.1 200 OK\r\nA: ", b"a"),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"Name: value\r\n"),
    "a status line": (b"HTTP/1.1 200 ", b"a"),
    "no HTTP": (b"", b"\x00\xff\r\n"),
}
FLOODED_BODIES = {
    "a chunk's size line": (CHUNKED + b"2\r\nok\r\n", b"0"),
    "a chunk's extension": (CHUNKED + b"2\r\nok\r\n5;", b"a"),
    "chunks of one byte with long extensions": (CHUNKED, b"1;" + b"a" * 9000 + b"\r\nb\r\n"),
    "a trailer": (CHUNKED + b"2\r\nok\r\n0\r\nT: ", b"a"),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"T: value\r\n"),
}
AFTER_THE_END = {
    "bytes": b"a",
    "informational heads": EARLY_HINTS,
    "answers": HEAD + b"Content-Length: 0\r\n\r\n",
}


class Transport(asyncio.Transport):
    """Counts nothing and sends nothing; records whether it reads and is open."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.is_open = self.is_read = True

    def get_extra_info(self, name, default=None):
        return default

    def pause_reading(self):
        self.is_read = False

    def resume_reading(self):
        self.is_read = True

    def abort(self):
        if self.is_open:
            self.is_open = False
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    close = abort

    def is_closing(self):
        return not self.is_open


def connected(protocol_class=AnswerProtocol, **options):
    """Return a protocol that reads an answer, and its transport."""
    protocol = protocol_class(asyncio.get_running_loop())
    transport = Transport(protocol)
    protocol.connection_made(transport)
    protocol.set_response_params(**options)
    return protocol, transport


def fed_bytes(protocol, transport, head, unit):
    """Feed a head, then units until the connection is aborted; return the bytes of the units."""
    protocol.data_received(head)
    block, fed = unit * max(1, 65536 // len(unit)), 0
    while transport.is_open and transport.is_read and fed < 1 << 23:
        protocol.data_received(block)
        fed += len(block)
    return fed


@pytest.mark.parametrize("flood", FLOODED_HEADS)
def test_a_flooded_head_ends_after_a_bounded_number_of_bytes_and_heads(flood):
    async def scenario():
        protocol, transport = connected(max_line_size=65536, max_field_size=65536)
        fed = fed_bytes(protocol, transport, *FLOODED_HEADS[flood])
        assert not transport.is_open
        assert fed <= answer_protocol.MAX_FRAMING_BYTES + 65536 + 60024
        most_heads = answer_protocol.MAX_PIECE_BYTES // len(b"HTTP/1.1 100\r\n\r\n")
        assert len(protocol._buffer) <= answer_protocol.MAX_INFORMATIONAL_HEADS + most_heads
        assert isinstance(protocol.exception(), HttpProcessingError)

    play(scenario)


@pytest.mark.parametrize("flood", FLOODED_BODIES)
def test_flooded_framing_of_a_body_ends_after_a_bounded_number_of_bytes(flood):
    async def scenario():
        protocol, transport = connected(max_line_size=65536, max_field_size=65536)
        fed = fed_bytes(protocol, transport, *FLOODED_BODIES[flood])
        assert not transport.is_open
        assert fed <= answer_protocol.MAX_FRAMING_BYTES * 2 + 65536
        _, body = await protocol.read()
        with pytest.raises(aiohttp.ClientPayloadError):
            async with asyncio.timeout(5.0):
                await body.read()

    play(scenario)


@pytest.mark.parametrize("flood", AFTER_THE_END)
@pytest.mark.parametrize("is_together", [True, False], ids=["with the answer", "later"])
def test_bytes_after_the_end_of_an_answer_close_the_connection_and_keep_the_answer(
    flood, is_together
):
    async def scenario():
        protocol, transport = connected()
        body = b"a" * answer_protocol.MAX_PIECE_BYTES
        unit = AFTER_THE_END[flood] * 10000
        answer = complete_answer(body)
        if is_together:
            protocol.data_received(answer + unit)
        else:
            protocol.data_received(answer)
            protocol.data_received(unit)
        assert not transport.is_open and protocol.should_close
        message, received = await protocol.read()
        assert message.code == 200 and await received.read() == body
        await asyncio.sleep(0)
        assert len(protocol._buffer) == 0

    play(scenario)


async def read_answer(protocol):
    while True:
        message, body = await protocol.read()
        if message.code >= 200:
            return message.code, await body.read()


async def read_all(protocol_class, data, sizes):
    protocol, transport = connected(protocol_class)
    reading = asyncio.ensure_future(read_answer(protocol))
    start = 0
    for size in sizes:
        while not transport.is_read:
            await asyncio.sleep(0)
        protocol.data_received(data[start : start + size])
        start += size
        await asyncio.sleep(0)
    answer = await reading
    assert start == len(data) and transport.is_open
    return answer


def divided(data, rng, choices):
    """Return sizes drawn from `choices` whose sum is the length of `data`."""
    sizes, left = [], len(data)
    while left > 0:
        sizes.append(min(left, rng.choice(choices)))
        left -= sizes[-1]
    return sizes


def chunks_of(body, rng):
    """Return a body in chunks of random sizes, with extensions and a trailer."""
    start, pieces = 0, []
    for size in divided(body, rng, (10, 100, 70000)):
        pieces.append(b"%x;e=1\r\n%s\r\n" % (size, body[start : start + size]))
        start += size
    return b"".join(pieces) + b"0\r\nT: 1\r\n\r\n"


def test_answers_within_the_bounds_are_read_as_aiohttp_reads_them():
    async def scenario():
        rng = random.Random(7)
        for _ in range(20):
            body = rng.randbytes(rng.choice((0, 10, 5000, 1_000_000)))
            chunked = EARLY_HINTS * rng.randrange(3) + CHUNKED + chunks_of(body, rng)
            for data in (complete_answer(body), chunked):
                sizes = divided(data, rng, (50, 3000, 262144))
                answers = [
                    await read_all(kind, data, sizes) for kind in (AnswerProtocol, ResponseHandler)
                ]
                assert answers[0] == answers[1] == (200, body)

    play(scenario)


@pytest.mark.parametrize("flood", [f for f in FLOODED_HEADS if "informational" in f])
def test_other_requests_are_served_in_time_beside_a_target_that_floods_heads(flood):
    async def scenario():
        flooding = FloodingServer(*FLOODED_HEADS[flood])
        sound = ScriptedTarget(writes(complete_answer()))
        loop = asyncio.get_running_loop()
        taken_s = []

        async def ask():
            began_s = loop.time()
            answer = await rig.ask(timeout_s=10.0)
            taken_s.append(loop.time() - began_s)
            return answer.startswith(b"HTTP/1.1 200")

        async with Rig([route(attempts=3)], [flooding, sound]) as rig:
            answers = []
            for _ in range(30):
                answers += await asyncio.gather(*(ask() for _ in range(4)))
        assert flooding.requests
        assert all(answers)
        assert max(taken_s) < rig.configuration.routes[0].first_answer_s

    play(scenario)


def flooded_answer(flood):
    """Return a script that writes the beginning of a flooded head, and ends the connection."""
    head, unit = FLOODED_HEADS[flood]
    return writes(head + unit * (1 + 262144 // len(unit)), keep=False)


@pytest.mark.parametrize("flood", FLOODED_HEADS)
def test_a_target_whose_heads_cannot_be_read_is_ejected(flood, monkeypatch):
    monkeypatch.setattr(_target_loads, "EJECTION_S", 600.0)
    monkeypatch.setattr(_target_loads, "MAX_EJECTION_S", 600.0)

    async def scenario():
        flooding = [ScriptedTarget(flooded_answer(flood)) for _ in range(2)]
        sound = ScriptedTarget(writes(complete_answer()))
        async with Rig([route(attempts=3)], [*flooding, sound]) as rig:
            answers = [await rig.ask() for _ in range(40)]
            assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
            now_s = rig.clock.now_s()
            assert [rig.loads.is_ejected(f"t{i}", now_s) for i in range(3)] == [True, True, False]
        for target in flooding:
            assert len(target.requests) == 1

    play(scenario)


def test_a_retry_goes_to_no_target_that_has_just_failed_while_another_is_free():
    """Failure: both attempts of a request went to targets whose answers cannot be read."""

    async def scenario():
        bad = [ScriptedTarget(writes(b"no HTTP\r\n\r\n", keep=False)) for _ in range(4)]
        good = ScriptedTarget(writes(complete_answer(), keep=False))
        async with Rig([route()], [*bad, good]) as rig:
            for number in range(len(bad)):
                rig.loads.record_failure(f"t{number}", rig.clock.now_s())
            answers = [await rig.ask() for _ in range(8)]
            assert all(answer.startswith(b"HTTP/1.1 200 ") for answer in answers)

    play(scenario)


def test_targets_whose_heads_can_be_read_again_are_used_again():
    async def scenario():
        targets = [ScriptedTarget(flooded_answer("no HTTP")) for _ in range(2)]
        async with Rig([route()], targets) as rig:
            for _ in range(_target_loads.FAILURES_TO_EJECT):
                assert (await rig.ask()).startswith(b"HTTP/1.1 502")
            assert all(rig.loads.is_ejected(i, rig.clock.now_s()) for i in ("t0", "t1"))
            targets[0].scripts = [writes(complete_answer())]
            assert (await rig.ask()).startswith(b"HTTP/1.1 200")  # the last resort
            rig.loads.of("t0").ejected_until_s = 0.0
            before = len(targets[1].requests)
            for _ in range(10):
                assert (await rig.ask()).startswith(b"HTTP/1.1 200")
            assert len(targets[1].requests) <= before + 1

    play(scenario)


@pytest.mark.parametrize(
    ("head", "unit"),
    [
        (b"id: 1\ndata: ", b"a"),
        (b"id: 1\n", b"data: a\n"),
        (b"", b"id: 1\ndata: a\n\n"),
        (b"id: 1\ndata: a\n\n", b": a\n\n"),
        (b"id: 1\ndata: a\n\n", b": a\n\n\r\n"),
        (b"", b"\n"),
    ],
    ids=["a line", "lines", "the same event", "comments", "comments, blank lines", "blank lines"],
)
def test_a_stream_with_an_event_without_end_goes_on_elsewhere(head, unit):
    async def scenario():
        flooding = FloodingServer(HEAD + b"\r\n" + head, unit)
        event = b"id: 1\ndata: a\n\n"
        rest = b"id: 2\ndata: b\n\n"

        async def serve_events(target, request, writer):
            after_first = b"Last-Event-Id: 1" in request
            writer.write(complete_answer(rest if after_first else event + rest))

        sound = ScriptedTarget(serve_events)
        streams = route(kind=RouteKind.RESUMABLE_STREAM, attempts=2, time_limit_s=10.0)
        async with Rig([streams], [flooding, sound]) as rig:
            while not flooding.requests:
                received = await rig.ask(timeout_s=10.0)
                assert received.startswith(b"HTTP/1.1 200")
                assert received.count(event) == received.count(rest) == 1

    play(scenario)


@pytest.mark.parametrize(
    ("head", "unit"),
    [(b"id: 1\ndata: ", b"a"), (b"id: 1\ndata: ", b"data: a\n"), (b"", b": a\n\n")],
    ids=["a line", "lines", "comments"],
)
def test_a_target_whose_events_have_no_end_is_ejected(head, unit, monkeypatch):
    monkeypatch.setattr(_target_loads, "EJECTION_S", 600.0)
    monkeypatch.setattr(_target_loads, "MAX_EJECTION_S", 600.0)

    async def scenario():
        endless = HEAD + b"\r\n" + head + unit * ((1 << 21) // len(unit))
        flooding = ScriptedTarget(writes(endless, keep=False))
        sound = ScriptedTarget(writes(complete_answer(b"id: 1\ndata: a\n\n")))
        streams = route(kind=RouteKind.RESUMABLE_STREAM, attempts=2, time_limit_s=10.0)
        async with Rig([streams], [flooding, sound]) as rig:
            for _ in range(30):
                assert (await rig.ask(timeout_s=10.0)).startswith(b"HTTP/1.1 200")
        assert len(flooding.requests) == _target_loads.FAILURES_TO_EJECT

    play(scenario)
