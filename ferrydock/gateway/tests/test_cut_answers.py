"""Answers of engines, plain services and other halls that end with their connection."""

import asyncio
from types import SimpleNamespace

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from ...clock import SystemClock
from ...forwarding.tests.rig import ScriptedTarget, play, resets, writes
from ...planned_stop import StopLimit
from ...requests import Answered, ModelRequest
from ...requests._attempt import Attempt, Broken, EngineClient
from ...requests._events import DONE_EVENT, EventRelay
from .._lasting_work import BackgroundTasks
from .._services import LOST_CONTACT, ServiceRoutes
from .._spill import RemoteHallForwarder

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
BODY = b'{"text": "complete"}'
UNFRAMED = HEAD + b"Connection: close\r\n\r\n"
FRAMED = {
    "length": HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY),
}
MODEL_REQUEST = ModelRequest(
    "id", "acme", "m", "/v1/completions", b"{}", {}, False, (), 5, False, "", 1e9
)


async def ask_engine(url):
    client = EngineClient()
    head = SimpleNamespace(url=url)
    replica = SimpleNamespace(replica_id="r", generation=1, head=head)
    try:
        relay = EventRelay(keep=False)
        outcome = await client.send(MODEL_REQUEST, Attempt(replica), relay, caller=None)
    finally:
        await client.close()
    return None if isinstance(outcome, Broken) else outcome.body


async def ask_service(url):
    tasks = BackgroundTasks(StopLimit())
    routes = ServiceRoutes(None, None, None, SystemClock(), 1.0, tasks)
    request = SimpleNamespace(method="POST", query={}, headers={}, match_info={"tail": "x"})
    target = SimpleNamespace(timeout_s=5.0)
    try:
        outcome = await routes._attempt(request, target, url, b"x", "id")
    finally:
        await routes.close()
    assert outcome == LOST_CONTACT or isinstance(outcome, Answered)
    return None if outcome == LOST_CONTACT else outcome.body


async def ask_other_hall(url):
    forwarder = RemoteHallForwarder(None, SystemClock(), StopLimit())
    try:
        answer = await forwarder._forward_to(url, SimpleNamespace(headers={}), MODEL_REQUEST)
    finally:
        await forwarder.close()
    assert answer.status in (200, 502)
    return answer.body if answer.status == 200 else None


async def stream_of_other_hall(url):
    """Return what the caller of a stream of another hall gets."""
    forwarder = RemoteHallForwarder(None, SystemClock(), StopLimit())

    async def forward(request):
        return await forwarder._forward_to(url, request, MODEL_REQUEST)

    app = web.Application()
    app.router.add_post("/", forward)
    async with TestClient(TestServer(app)) as client, client.post("/") as answer:
        received = await answer.read()
    await forwarder.close()
    return received


ASK = {"engine": ask_engine, "service": ask_service, "other hall": ask_other_hall}


@pytest.fixture(params=ASK)
def body_of(request):
    """Return a function that gets the body of a script's answer; None for a lost answer."""

    def ask(script):
        async def scenario():
            target = ScriptedTarget(script)
            await target.start()
            try:
                async with asyncio.timeout(5):
                    return await ASK[request.param](f"http://{target.address}")
            finally:
                target.close()

        return play(scenario)

    return ask


@pytest.mark.parametrize("framing", FRAMED)
def test_complete_answer_is_passed_on(body_of, framing):
    assert body_of(writes(FRAMED[framing], keep=False)) == BODY


@pytest.mark.parametrize("size", [0, 5, len(BODY)])
def test_answer_without_length_that_ends_in_a_reset_is_lost(body_of, size):
    """Failure: the caller got what had arrived, with a length, as a complete answer."""
    assert body_of(resets(UNFRAMED + BODY[:size])) is None


@pytest.mark.parametrize("size", [0, len(BODY)])
def test_answer_without_length_that_ends_in_order_is_passed_on(body_of, size):
    assert body_of(writes(UNFRAMED + BODY[:size], keep=False)) == BODY[:size]


@pytest.mark.parametrize("end", [lambda data: writes(data, keep=False), resets])
def test_answer_that_ends_within_its_head_or_its_framed_body_is_lost(body_of, end):
    for answer in FRAMED.values():
        for cut in range(0, len(answer), 12):
            assert body_of(end(answer[:cut])) is None, answer[:cut]
    assert body_of(end(answer[:-1])) is None


@pytest.mark.parametrize("is_complete", [True, False])
@pytest.mark.parametrize("end", [lambda data: writes(data, keep=False), resets])
def test_stream_of_another_hall_has_an_error_after_it_only_if_it_is_incomplete(end, is_complete):
    """Failure: an error followed the terminal marker if the connection broke after it."""
    event = b'data: {"choices":[]}\n\n' + (DONE_EVENT if is_complete else b"")
    chunk = b"%x\r\n%s\r\n" % (len(event), event)
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )

    async def scenario():
        hall = ScriptedTarget(end(head + chunk))
        await hall.start()
        received = await stream_of_other_hall(f"http://{hall.address}")
        hall.close()
        return received

    received = play(scenario)
    assert received.startswith(event)
    assert (received == event) is is_complete and (b'"error"' in received) is not is_complete
