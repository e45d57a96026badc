"""The log line that tells after which event a stream was resumed, and which event came first."""

import logging
from types import SimpleNamespace

import pytest

from ...configuration import RouteKind
from ...logs import parse_event
from .. import _resumptions
from .._events import NumberedEvents
from .._resumptions import MAX_FIRST_EVENT_BYTES, first_event_id
from .rig import HEAD, Rig, ScriptedTarget, play, resets, route, writes

STREAM = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b"id: %d\ndata: piece\n\n"


def chunks(*pieces):
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)


def resumed_lines(caplog):
    found = map(parse_event, caplog.messages)
    return [line for line in found if line["event"] == "stream_resumed"]


def ask_stream(caplog, script, *headers):
    caplog.set_level(logging.INFO, "ferrydock.forwarding")

    async def scenario():
        targets = [ScriptedTarget(script), ScriptedTarget(script)]
        stream = route(kind=RouteKind.RESUMABLE_STREAM)
        async with Rig([stream], targets) as rig:
            return await rig.ask(headers=headers)

    return play(scenario)


def test_a_stream_that_is_not_resumed_writes_no_line(caplog):
    answer = ask_stream(caplog, writes(STREAM + chunks(EVENT % 1) + b"0\r\n\r\n"))
    assert EVENT % 1 in answer and resumed_lines(caplog) == []


def test_a_resumption_tells_the_event_asked_after_and_the_first_received(caplog):
    first, second = EVENT % 4, EVENT % 5
    script = writes(STREAM + chunks(first[:3], first[3:], second) + b"0\r\n\r\n")
    answer = ask_stream(caplog, script, "Last-Event-Id: 3")
    assert answer.count(first) == 1 and answer.count(second) == 1
    (line,) = resumed_lines(caplog)
    assert (line["request"], line["attempt"]) == ("a1", "1")
    assert (line["after_event"], line["first_event"]) == ("3", "4")


def test_each_attempt_that_sends_no_event_writes_a_line_without_one(caplog):
    ask_stream(caplog, resets(STREAM + chunks(b"id: 4\nda")), "Last-Event-Id: 3")
    lines = resumed_lines(caplog)
    assert [line["attempt"] for line in lines] == ["1", "2"]
    assert all(line["after_event"] == "3" and "first_event" not in line for line in lines)


@pytest.mark.parametrize(
    "data, found",
    [
        (b"", None),
        (b"id: 1\ndata: a\n", None),
        (b"id: 1\r\ndata: a\r\n\r\n", "1"),
        (b"data: id: 9\nid:2\n\n", "2"),
        (b"data: a\n\nid: 3\n\n", ""),
    ],
)
def test_the_id_of_the_first_complete_event_is_found(data, found):
    assert first_event_id(data) == found


def test_the_first_event_of_a_resumed_stream_is_read_in_time_proportional_to_its_bytes(monkeypatch):
    """Failure: all lines received so far were split again with each piece."""
    line = b"data: a\n"
    data = line * (MAX_FIRST_EVENT_BYTES // len(line) // 2)
    read_bytes = 0

    def count(head):
        nonlocal read_bytes
        read_bytes += len(head)
        return first_event_id(head)

    async def pieces():
        for start in range(0, len(data), len(line)):
            yield data[start : start + len(line)]

    async def scenario():
        exchange = SimpleNamespace(
            events=NumberedEvents(3), inbound=SimpleNamespace(request_id="a1"), attempt_count=2
        )
        received = [
            piece async for piece in _resumptions.log_resumption(exchange, "t0", pieces(), 3)
        ]
        assert b"".join(received) == data

    monkeypatch.setattr(_resumptions, "first_event_id", count)
    play(scenario)
    assert read_bytes <= 8 * len(data)
