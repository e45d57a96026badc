"""What is no answer is its target's failure: callers get another target's answer, or an error."""

import random
import re

import pytest

from ...configuration import RouteKind
from .rig import HEAD, Rig, ScriptedTarget, complete_answer, play, route, writes

LENGTH_AND_BODY = b"Content-Length: 2\r\n\r\nno"
BODY = b"X-Server-Stamp: s\r\n" + LENGTH_AND_BODY
CHUNK = b"\r\n2\r\nno\r\n0\r\n\r\n"
BROKEN_ANSWERS = {
    **{
        f"status {status}": b"HTTP/1.1 %s Odd\r\n" % status.encode() + BODY
        for status in ("000", "001", "099", "101", "600", "999")
    },
    "status 000 without a reason": b"HTTP/1.1 000\r\n" + BODY,
    "status 101 with an upgrade": b"HTTP/1.1 101 S\r\nUpgrade: a\r\nConnection: upgrade\r\n" + BODY,
    "status 099 before a sound answer": b"HTTP/1.1 099 Odd\r\n\r\n" + complete_answer(),
    **{
        f"{byte!r} in a name": b"HTTP/1.1 200 OK\r\nX-%cA: 1\r\n" % byte + BODY
        for byte in b"\0\a\t \r\x1b\x7f\xe9,{"
    },
    **{
        f"{byte!r} in a value": b"HTTP/1.1 200 OK\r\nA: b%cc\r\n" % byte + BODY
        for byte in b"\0\a\v\r\x1b\x7f"
    },
    **{
        f"{byte!r} in the reason": b"HTTP/1.1 200 O%cK\r\n" % byte + BODY
        for byte in b"\0\a\v\x1b\x7f"
    },
    **{
        f"{name} before the first field": b"HTTP/1.1 200 OK\r\n" + line + BODY
        for name, line in {
            "a blank": b" X-A: 1\r\n",
            "a tab": b"\tX-A: 1\r\n",
            "a blank, no colon": b" A\r\n",
            "a line of blanks": b" \r\n",
        }.items()
    },
    "a blank before the signature": b"HTTP/1.1 200 OK\r\n " + BODY,
    "a blank after a bare line feed": b"HTTP/1.1 200 OK\n X-A: 1\n" + BODY,
    "a blank after an informational head": b"HTTP/1.1 103 E\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n "
    + BODY,
    **{
        f"Transfer-Encoding {coding!r}": HEAD + b"Transfer-Encoding: %s\r\n" % coding + CHUNK
        for coding in (
            b"foo",
            b"xchunked",
            b"chunked, gzip",
            b"gzip, chunked",
            b"chunked, chunked",
            b"chunked\r\nTransfer-Encoding: chunked",
            b"chunked;a=b",
            b"identity",
            b"",
        )
    },
    "a control byte in the signature": HEAD.replace(b"s\r", b"s\x1b\r") + LENGTH_AND_BODY,
    "a control byte in a server error": b"HTTP/1.1 500 Odd\r\nA: \a\r\n" + BODY,
    "a control byte before a sound answer": b"HTTP/1.1 103 E\r\nA: \a\r\n\r\n" + complete_answer(),
}
EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in (1, 2)]
UNSIGNED_ANSWERS = {
    "nothing as the signature": b"HTTP/1.1 200 OK\r\nX-Server-Stamp:\r\n" + LENGTH_AND_BODY,
    "blanks as the signature": b"HTTP/1.1 200 OK\r\nX-Server-Stamp: \t \r\n" + LENGTH_AND_BODY,
}
REFUSED_ANSWERS = BROKEN_ANSWERS | UNSIGNED_ANSWERS
any_refused_answer = pytest.mark.parametrize("case", REFUSED_ANSWERS)
any_broken_answer = pytest.mark.parametrize("case", BROKEN_ANSWERS)


@any_refused_answer
def test_a_broken_answer_to_a_request_that_may_be_repeated_is_replaced_by_another_targets(case):
    async def scenario():
        broken = ScriptedTarget(writes(REFUSED_ANSWERS[case], keep=False))
        sound = ScriptedTarget(writes(complete_answer()))
        async with Rig([route()], [broken, sound]) as rig:
            while not broken.requests:
                answer = await rig.ask()
                assert answer.startswith(b"HTTP/1.1 200 OK\r\n") and answer.endswith(b"\r\n\r\nok")

    play(scenario)


@any_broken_answer
def test_what_was_wrong_with_a_broken_answer_is_logged_once(case, caplog):
    caplog.set_level("WARNING", logger="ferrydock")

    async def scenario():
        broken = ScriptedTarget(writes(BROKEN_ANSWERS[case] * 2, keep=False))
        async with Rig([route(attempts=1)], [broken]) as rig:
            await rig.ask()
        lines = [m for m in caplog.messages if m.startswith("event=answer_unreadable ")]
        assert len(lines) == 1 and f"server={broken.address} why=" in lines[0]

    play(scenario)


@any_refused_answer
def test_a_broken_answer_to_a_request_that_may_not_be_repeated_is_an_error(case):
    async def scenario():
        broken = ScriptedTarget(writes(REFUSED_ANSWERS[case], keep=False))
        async with Rig([route(kind=RouteKind.AT_MOST_ONCE)], [broken]) as rig:
            answer = await rig.ask()
            assert answer.startswith(b"HTTP/1.1 502 ") and b"s\r\n\r\n" not in answer
        assert len(broken.requests) == 1

    play(scenario)


@any_broken_answer
def test_a_connection_that_had_a_broken_answer_serves_no_other_request(case):
    connections = []

    async def script(target, request, writer):
        connections.append(writer)
        writer.write(BROKEN_ANSWERS[case] if len(connections) == 1 else complete_answer())
        return True

    async def scenario():
        async with Rig([route(attempts=1)], [ScriptedTarget(script)]) as rig:
            assert (await rig.ask()).startswith(b"HTTP/1.1 502 ")
            assert (await rig.ask()).startswith(b"HTTP/1.1 200 ")
        assert len(set(connections)) == 2

    play(scenario)


def streaming(case, broken_number):
    """Return a script that sends one event and breaks off, but answer `broken_number` is broken."""

    async def script(target, request, writer):
        if len(target.requests) == broken_number:
            writer.write(REFUSED_ANSWERS[case])
            return
        writer.write(b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
        events = EVENTS[1:] if b"Last-Event-Id: 1" in request else EVENTS
        size = len(events) if broken_number == 0 else 1
        sent = b"".join(events[:size])
        writer.write(b"%x\r\n%s\r\n" % (len(sent), sent) + b"0\r\n\r\n" * (broken_number == 0))

    return script


@any_refused_answer
@pytest.mark.parametrize("broken_number", [1, 2], ids=["first answer", "continuation"])
def test_a_stream_goes_on_elsewhere_after_a_broken(case, broken_number):
    async def scenario():
        broken = ScriptedTarget(streaming(case, broken_number))
        sound = ScriptedTarget(streaming(case, 0))
        streams = route(kind=RouteKind.RESUMABLE_STREAM, attempts=4)
        async with Rig([streams], [broken, sound]) as rig:
            for _ in range(6):
                answer = await rig.ask()
                assert answer.startswith(b"HTTP/1.1 200 ")
                assert [answer.count(event) for event in EVENTS] == [1, 1]
        assert broken.requests

    play(scenario)


def mutated(head, rng):
    """Return a head with one to three bytes replaced, inserted or left out."""
    data = bytearray(head)
    for _ in range(rng.choice((1, 1, 2, 3))):
        place = rng.randrange(len(data))
        change = rng.randrange(3)
        data[place : place + (change != 1)] = b"" if change == 2 else rng.randbytes(1)
    return bytes(data)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("kind", [RouteKind.AT_MOST_ONCE, RouteKind.STREAM])
def test_callers_get_an_answer_whatever_bytes_the_head_of_their_targets_has(kind, seed):
    rng = random.Random(seed)
    body = EVENTS[0] if kind.is_stream else b"ok"
    head = HEAD + b"A: b\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def script(target, request, writer):
        writer.write(mutated(head, rng) + body)
        writer.close()

    async def scenario():
        answers = []
        async with Rig([route(kind=kind)], [ScriptedTarget(script)]) as rig:
            for _ in range(100):
                answers.append(await rig.ask())
        for answer in answers:
            beginning, _, rest = answer.partition(b"\r\n\r\n")
            status_line, *fields = beginning.split(b"\r\n")
            assert re.fullmatch(rb"HTTP/1\.1 [2-5]\d\d [^\x00-\x08\x0a-\x1f\x7f]*", status_line)
            assert all(re.fullmatch(rb"[^\s:]+: [^\x00-\x08\x0a-\x1f\x7f]*", f) for f in fields)
            assert rest or status_line.startswith((b"HTTP/1.1 204", b"HTTP/1.1 304"))
        assert sum(answer.startswith(b"HTTP/1.1 200") for answer in answers) > 10
        assert sum(answer.startswith(b"HTTP/1.1 502") for answer in answers) > 10

    play(scenario)
