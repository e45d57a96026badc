"""Bytes without end of engines, services and other halls fail their call, and are not held."""

import asyncio
from types import SimpleNamespace

import pytest

from ...forwarding.tests.flooding_server import FloodingServer
from ...forwarding.tests.rig import play
from ...requests import Attempt, Broken, EngineClient, EventRelay
from .test_cut_answers import ASK, stream_of_other_hall

# Twice the largest bound of an answer: the sockets on both sides hold several megabytes more.
MAX_SENT_BYTES = 64 * 2**20
LIMIT_S = 10.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNK = b"400\r\n" + b"a" * 1024 + b"\r\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
FLOODS = {
    "informational heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "a header line": (HEAD + b"A: ", b"a"),
    "no HTTP": (b"", b"\x00\xff\r\n"),
    "a body": (HEAD + b"\r\n", b"a"),
    "a body with a length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"a"),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "a chunk's size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
}


async def flooded(ask, head, unit):
    """Return what a call gets from a server that sends without end, and how much that sent."""
    server = FloodingServer(head, unit)
    await server.start()
    try:
        async with asyncio.timeout(LIMIT_S):
            result = await ask(f"http://{server.address}")
            while not server.sent_bytes:
                await asyncio.sleep(0.01)
    finally:
        server.close()
    return result, sum(server.sent_bytes)


@pytest.mark.parametrize("flood", FLOODS)
@pytest.mark.parametrize("kind", ASK)
def test_an_answer_without_end_is_lost_and_not_held(kind, flood):
    """Failure: such a body was held, until the time limit of the call, by the daemon."""
    result, sent_bytes = play(lambda: flooded(ASK[kind], *FLOODS[flood]))
    assert result is None
    assert sent_bytes < MAX_SENT_BYTES


async def stream_of_engine(url):
    """Return the outcome of a stream of an engine, and what its caller got."""
    received = []

    async def begin():
        pass

    async def write(events):
        received.append(events)

    client = EngineClient()
    replica = SimpleNamespace(replica_id="r", generation=1, head=SimpleNamespace(url=url))
    caller = SimpleNamespace(begin=begin, write=write)
    request = SimpleNamespace(
        path="/", body=b"{}", stream=True, repeatable=True, key="", priority=1, request_id="id"
    )
    relay = EventRelay(keep=True)
    outcome = await client.send(request, Attempt(replica), relay, caller)
    await client.close()
    assert isinstance(outcome, Broken) and relay.events == 1
    return b"".join(received)


@pytest.mark.parametrize("ask", [stream_of_engine, stream_of_other_hall])
def test_an_event_without_end_breaks_its_stream_and_is_not_held(ask):
    event = b"data: 1\n\n"
    received, sent_bytes = play(lambda: flooded(ask, STREAM + event + b"data: ", b"a"))
    assert received.startswith(event) and len(received) < 1000
    assert sent_bytes < MAX_SENT_BYTES
