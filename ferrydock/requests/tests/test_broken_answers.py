"""Streams of engines that are no streams of the model API, or have no end."""

import asyncio
from types import SimpleNamespace

import pytest

from .. import EventRelay, Failed, ModelRequest, RequestLifecycle
from .._attempt import Broken
from .._events import text_so_far
from .test_crashing_requests import Engines, closed_port, make_executor, no_pause

__all__ = ["closed_port", "no_pause"]

EVENT = b'data: {"choices":[{"delta":{"content":"Dear"}}]}\n\n'
ODD_EVENTS = [
    b"data: no JSON\n\n",
    b"data: \xff\n\n",
    b"data: []\n\n",
    b'data: {"choices":5}\n\n',
    b'data: {"choices":[5]}\n\n',
    b'data: {"choices":[{"delta":5}]}\n\n',
    b'data: {"choices":[{"delta":{"content":5}}]}\n\n',
    b'data: {"choices":[{"text":[]}]}\n\n',
    b"data: " + b"[" * 100_000 + b"\n\n",
]
STREAM = ModelRequest("id", "acme", "m", "/v1/completions", b"{}", {}, True, (), 5, True, "", 1e9)


class StreamingEngines(Engines):
    """Engines whose streams break after the given events."""

    def __init__(self, port, events):
        super().__init__(port)
        self.events = events

    async def send(self, request, attempt, relay, caller, resume, body):
        self.sent += 1
        relay.feed(self.events)
        return Broken("reset")


@pytest.mark.parametrize("event", ODD_EVENTS)
def test_a_broken_stream_with_events_that_cannot_be_decoded_ends_with_an_error(
    event, no_pause, closed_port
):
    """Failure: the request ended with an exception, and its caller's stream without an error."""

    async def check():
        engines = StreamingEngines(closed_port, EVENT + event)
        executor = make_executor(engines)
        caller = SimpleNamespace(on_first_event=None)
        outcome = await executor.run(STREAM, caller, RequestLifecycle(True), 1.0)
        await executor.close()
        assert isinstance(outcome, Failed) and engines.sent == 1

    asyncio.run(check())


def test_the_text_of_sound_events_is_continued():
    events = EVENT + b": a comment\n\ndata: {}\n\n"
    events += (
        b'data: {"id":7,"choices":[{"text":" Ann"},{"delta":{"content":null}},{"delta":{}}]}\n\n'
    )
    assert text_so_far(events) == "Dear Ann"


def test_events_are_relayed_however_they_are_divided():
    data = EVENT * 3
    for size in range(1, len(EVENT) + 1):
        relay = EventRelay(keep=True)
        pieces = [data[start : start + size] for start in range(0, len(data), size)]
        assert b"".join(map(relay.feed, pieces)) == data
        assert relay.events == 3
