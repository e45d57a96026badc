"""Answers that are unusual but sound reach callers as their targets sent them."""

import pytest

from ...configuration import RouteKind
from .rig import Rig, ScriptedTarget, play, route, writes

STAMP = b"X-Server-Stamp: s\r\n"
FRAMED = STAMP + b"Content-Length: 2\r\n\r\nok"
# What a target sends, and the beginning and the fields of what its caller gets.
UNUSUAL_ANSWERS = {
    "no reason": (b"HTTP/1.1 200\r\n" + FRAMED, b"HTTP/1.1 200 \r\n", ()),
    "an empty reason": (b"HTTP/1.1 200 \r\n" + FRAMED, b"HTTP/1.1 200 \r\n", ()),
    "a long reason": (
        b"HTTP/1.1 200 all is well\r\n" + FRAMED,
        b"HTTP/1.1 200 all is well\r\n",
        (),
    ),
    "a reason in UTF-8": (
        b"HTTP/1.1 200 caf\xc3\xa9\r\n" + FRAMED,
        b"HTTP/1.1 200 caf\xc3\xa9\r\n",
        (),
    ),
    "a reason in Latin-1": (
        b"HTTP/1.1 200 caf\xe9\r\n" + FRAMED,
        b"HTTP/1.1 200 caf\xe9\r\n",
        (),
    ),
    "a value in Latin-1": (
        b"HTTP/1.1 200 OK\r\nA: caf\xe9\r\n" + FRAMED,
        b"HTTP/1.1 200 OK\r\n",
        (b"A: caf\xe9\r\n",),
    ),
    "bare line feeds": (
        (b"HTTP/1.1 200 OK\r\nA: 1\r\n" + FRAMED).replace(b"\r\n", b"\n"),
        b"HTTP/1.1 200 OK\r\n",
        (b"A: 1",),
    ),
    "a folded value": (
        b"HTTP/1.1 200 OK\r\nA: b\r\n  c\r\n" + FRAMED,
        b"HTTP/1.1 200 ",
        (b"A: b",),
    ),
    "a value in UTF-8": (
        b"HTTP/1.1 200 OK\r\nA: caf\xc3\xa9\r\n" + FRAMED,
        b"HTTP/1.1 200 OK\r\n",
        (b"A: caf\xc3\xa9\r\n",),
    ),
    "a tab in a value": (
        b"HTTP/1.1 200 OK\r\nA: b\tc\r\n" + FRAMED,
        b"HTTP/1.1 200 OK\r\n",
        (b"A: b\tc\r\n",),
    ),
    "an empty value": (
        b"HTTP/1.1 200 OK\r\nA:\r\n" + FRAMED,
        b"HTTP/1.1 200 OK\r\n",
        (b"A: \r\n",),
    ),
    "odd names": (
        b"HTTP/1.1 200 OK\r\n!#$%&'*+.^_`|~9: 1\r\n" + FRAMED,
        b"HTTP/1.1 200 OK\r\n",
        (b"!#$%&'*+.^_`|~9: 1\r\n",),
    ),
    "informational heads": (
        b"HTTP/1.1 100\r\n\r\nHTTP/1.1 103 E\r\nLink: a\r\n b\r\n\r\nHTTP/1.1 200 OK\r\n" + FRAMED,
        b"HTTP/1.1 200 OK\r\n",
        (),
    ),
    "blank lines before the head": (
        b"\r\n\nHTTP/1.1 200 OK\r\n" + FRAMED,
        b"HTTP/1.1 200 OK\r\n",
        (),
    ),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n" + STAMP + b"\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n",
        (),
    ),
    "a body that ends with its connection": (
        b"HTTP/1.1 200 OK\r\n" + STAMP + b"\r\nok",
        b"HTTP/1.1 200 OK\r\n",
        (),
    ),
    "HTTP/1.0": (b"HTTP/1.0 200 OK\r\n" + STAMP + b"\r\nok", b"HTTP/1.1 200 OK\r\n", ()),
    "status 299": (b"HTTP/1.1 299 Odd\r\n" + FRAMED, b"HTTP/1.1 299 Odd\r\n", ()),
    "status 599": (b"HTTP/1.1 599 Odd\r\n" + FRAMED, b"HTTP/1.1 599 Odd\r\n", ()),
    "status 418": (b"HTTP/1.1 418 Odd\r\n" + FRAMED, b"HTTP/1.1 418 Odd\r\n", ()),
}


@pytest.mark.parametrize("piece_bytes", [1, 1 << 16], ids=["byte by byte", "at once"])
@pytest.mark.parametrize("case", UNUSUAL_ANSWERS)
def test_an_unusual_answer_is_passed_on_as_it_was_sent(case, piece_bytes):
    sent, begin, fields = UNUSUAL_ANSWERS[case]

    async def in_pieces(target, request, writer):
        for start in range(0, len(sent), piece_bytes):
            writer.write(sent[start : start + piece_bytes])
            await writer.drain()

    async def scenario():
        async with Rig([route(kind=RouteKind.AT_MOST_ONCE)], [ScriptedTarget(in_pieces)]) as rig:
            answer = await rig.ask()
        head, _, body = answer.partition(b"\r\n\r\n")
        assert answer.startswith(begin)
        assert body == b"ok"
        assert b"\r\n" + STAMP in answer
        assert all(b"\r\n" + field in head + b"\r\n" for field in fields)

    play(scenario)


def test_a_stream_is_passed_on_with_the_bytes_of_its_fields():
    """Failure: the bytes of a field that are no UTF-8 were left out."""
    event = b"id: 1\ndata: 1\n\n"
    sent = b"HTTP/1.1 200 OK\r\nA: caf\xe9\r\n" + STAMP + b"\r\n" + event

    async def scenario():
        target = ScriptedTarget(writes(sent, keep=False))
        async with Rig([route(kind=RouteKind.RESUMABLE_STREAM)], [target]) as rig:
            answer = await rig.ask()
        assert b"\r\nA: caf\xe9\r\n" in answer and event in answer

    play(scenario)


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_without_a_body_is_passed_on(status):
    async def scenario():
        target = ScriptedTarget(writes(b"HTTP/1.1 %d Odd\r\n" % status + STAMP + b"\r\n"))
        async with Rig([route(kind=RouteKind.AT_MOST_ONCE)], [target]) as rig:
            answer = await rig.ask()
        assert answer.startswith(b"HTTP/1.1 %d Odd\r\n" % status)
        assert answer.endswith(b"\r\n\r\n") and answer.count(b"\r\n\r\n") == 1

    play(scenario)
