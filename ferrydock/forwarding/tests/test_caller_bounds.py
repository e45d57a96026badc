"""How the gateway reads what callers send: bytes, time and memory are bounded."""

import asyncio
import gc
import gzip
import logging

import pytest
from aiohttp.http_exceptions import HttpProcessingError

from .rig import Rig, ScriptedTarget, complete_answer, play, route, writes
from .test_forwarding import LONG_TIMEOUT_S, connected

POST = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"


@pytest.mark.parametrize("data", [b"short", b"long and compressible " * 100], ids=["short", "long"])
def test_compressed_body_is_forwarded_as_received(data):
    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        body = gzip.compress(data)
        async with Rig([route()], [target]) as rig:
            head = b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(body)
            received = await rig.raw(POST + head + body, until_closed=False)
        assert received.split()[1] == b"200"
        assert target.requests[0].partition(b"\r\n\r\n")[2] == body

    play(scenario)


TIME_LIMIT_S = 0.3
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "begun",
    [POST + b"Content-Length: 100\r\n\r\nabc", CHUNKED + b"3\r\nabc\r\n", CHUNKED + b"3;ext="],
    ids=["length", "chunks", "chunk_extension"],
)
def test_body_that_does_not_end_is_refused_as_not_run_at_the_time_limit(begun):
    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        async with Rig([route(time_limit_s=TIME_LIMIT_S)], [target]) as rig:
            received = await rig.raw(begun)
        assert received.startswith(b"HTTP/1.1 408 ")
        assert b"Connection: close" in received
        assert target.requests == []

    play(scenario)


def test_body_that_turns_malformed_is_refused_at_once(caplog):
    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        async with Rig([route(time_limit_s=LONG_TIMEOUT_S)], [target]) as rig:
            reader, writer, connection = await connected(rig, CHUNKED + b"3\r\nabc\r\n")
            async with asyncio.timeout(LONG_TIMEOUT_S):
                while not connection.in_flight:
                    await asyncio.sleep(0.01)
                writer.write(b"no size\r\n")
                received = await reader.read(-1)
            writer.close()
        assert received.startswith(b"HTTP/1.1 400 ")
        assert not [each for each in caplog.records if each.levelno >= logging.ERROR]
        assert target.requests == []

    play(scenario)


LONG_FIELD = b"X-A: " + b"b" * 16000 + b"\r\n"


@pytest.mark.parametrize(
    ("begun", "more", "status"),
    [
        (POST, LONG_FIELD * 30, b"431"),
        (b"", b"\r\n" * 200_000, b"431"),
        (CHUNKED + b"3\r\nabc\r\n3;", b"e" * 400_000, b"400"),
        (CHUNKED + b"3\r\nabc\r\n", b"0" * 400_000, b"400"),
        (CHUNKED + b"3\r\nabc\r\n0\r\n", LONG_FIELD * 30, b"400"),
    ],
    ids=["head", "empty_lines", "chunk_extension", "chunk_size", "trailers"],
)
def test_bytes_without_a_head_or_content_are_bounded(begun, more, status):
    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        async with Rig([route(time_limit_s=LONG_TIMEOUT_S)], [target]) as rig:
            received = await rig.raw(begun + more, until_closed=False)
        assert received.split()[1] == status
        assert target.requests == []

    play(scenario)


def test_bound_on_bytes_without_a_head_counts_each_request_anew():
    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        async with Rig([route()], [target]) as rig:
            body = b"a" * 200_000
            request = (
                POST + b"X-A: " + b"b" * 12_000 + b"\r\nContent-Length: %d\r\n\r\n" % len(body)
            )
            reader, writer, _ = await connected(rig, b"")
            for _ in range(10):
                for start in range(0, len(request), 5000):
                    writer.write(request[start : start + 5000])
                    await writer.drain()
                writer.write(body)
                async with asyncio.timeout(LONG_TIMEOUT_S):
                    assert b"200 OK" in await reader.readuntil(b"ok")
            writer.close()
        assert len(target.requests) == 10

    play(scenario)


@pytest.mark.parametrize("refused", [b"nonsense" * 10_000, POST + LONG_FIELD * 30])
def test_refused_bytes_are_freed_without_a_garbage_collection(refused):
    async def scenario():
        async with Rig([route()], [ScriptedTarget(writes(complete_answer()))]) as rig:
            for _ in range(3):
                await rig.raw(refused, until_closed=False)
            async with asyncio.timeout(LONG_TIMEOUT_S):
                while rig.gateway.connection_count:
                    await asyncio.sleep(0.01)
            return [each for each in gc.get_objects() if isinstance(each, HttpProcessingError)]

    gc.collect()
    gc.disable()
    try:
        assert play(scenario) == []
    finally:
        gc.enable()
