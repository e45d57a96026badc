"""The times by which a planned stop judges requests are those of requests like them."""

import asyncio

import pytest

from ...clock import SystemClock
from ...configuration import RouteKind
from .._answer_times import AnswerKind, AnswerTime
from .._observed_times import MIN_OBSERVATIONS
from .rig import Rig, ScriptedTarget, complete_answer, play, route, writes
from .test_forwarding import STREAM, events
from .test_stop_rule import LEFT_S, LIMIT_S, is_refused_as_not_run

USUAL_S = 5.5
TOKENS = 100
BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n"
SERVER_ERROR = BAD_REQUEST.replace(b"400 Bad Request", b"500 Internal Server Error")
STREAMED = STREAM + events(1) + b"0\r\n\r\n"


class SteppedClock(SystemClock):
    """A clock that tests move forward."""

    offset_s = 0.0

    def now_s(self):
        return super().now_s() + self.offset_s


def answers_after(clock, first_s, rest_s=0.0, answer=None):
    """Return a script whose answer takes `first_s` to its head and `rest_s` more to its end."""

    async def script(target, request, writer):
        clock.offset_s += first_s
        head, rest = answer or (complete_answer(), b"")
        writer.write(head)
        await writer.drain()
        if rest:
            await asyncio.sleep(0.05)
            clock.offset_s += rest_s
            writer.write(rest)
            await writer.drain()
        return True

    return script


def answer_after_others(kind, observe, headers=()):
    """Return the answer to a request read in a stop, and whether a target received it.

    Parameters
    ----------
    observe : callable
        Makes the requests before, given the site, its clock and its target.
    """

    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        clock = SteppedClock()
        async with Rig([route(kind=kind, time_limit_s=LIMIT_S)], [target], clock=clock) as site:
            await observe(site, clock, target)
            sent_before = len(target.requests)
            target.scripts = [writes(STREAMED if kind.is_stream else complete_answer())]
            site.forwarder.stop_limit.ends_s = clock.now_s() + LEFT_S
            site.gateway.announce_stop()
            received = await site.ask(headers=headers)
            return received, len(target.requests) - sent_before

    return play(scenario)


@pytest.mark.parametrize("error", [BAD_REQUEST, SERVER_ERROR])
def test_errors_of_targets_do_not_make_long_answers_look_short(error):
    async def observe(site, clock, target):
        target.scripts = [answers_after(clock, USUAL_S)]
        for _ in range(MIN_OBSERVATIONS):
            await site.ask()
        target.scripts = [writes(error)]
        for _ in range(70):
            await site.ask()

    assert is_refused_as_not_run(*answer_after_others(RouteKind.AT_MOST_ONCE, observe))


def test_ends_of_resumed_streams_do_not_make_whole_streams_look_short():
    tokens = (f"X-Token-Count: 100,{TOKENS}",)
    whole = STREAM + events(1), events(99) + b"0\r\n\r\n"
    rest = STREAM + events(100) + b"0\r\n\r\n", b""

    async def observe(site, clock, target):
        target.scripts = [answers_after(clock, 0.1, USUAL_S, whole)]
        for _ in range(MIN_OBSERVATIONS):
            await site.ask(headers=tokens)
        target.scripts = [answers_after(clock, 0.1, 0.0, rest)]
        for _ in range(70):
            await site.ask(headers=(*tokens, "Last-Event-Id: 99"))

    ended = answer_after_others(RouteKind.RESUMABLE_STREAM, observe, tokens)
    assert is_refused_as_not_run(*ended)


@pytest.mark.parametrize("headers", [(), (f"X-Token-Count: 100,{TOKENS}",)])
def test_bodies_that_arrive_slowly_do_not_make_short_answers_look_long(headers):
    async def observe(site, clock, target):
        for _ in range(MIN_OBSERVATIONS):
            host, port = site.gateway.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = ["POST /a/x HTTP/1.1", "Host: h.example", "Connection: close", *headers]
            head = "\r\n".join([*lines, "X-Attempt-Id: a1", "Content-Length: 2", "", ""])
            writer.write(head.encode() + b"h")
            await asyncio.sleep(0.05)
            clock.offset_s += USUAL_S
            writer.write(b"i")
            assert (await reader.read(-1)).startswith(b"HTTP/1.1 200")
            writer.close()

    received, sent = answer_after_others(RouteKind.AT_MOST_ONCE, observe, headers)
    assert received.startswith(b"HTTP/1.1 200") and sent == 1


def test_tokens_count_for_answers_that_are_sent_in_one_piece():
    async def observe(site, clock, target):
        target.scripts = [answers_after(clock, 1.0)]
        for _ in range(MIN_OBSERVATIONS):
            await site.ask(headers=("X-Token-Count: 100,20",))

    ended = answer_after_others(RouteKind.AT_MOST_ONCE, observe, ("X-Token-Count: 100,200",))
    assert is_refused_as_not_run(*ended)


def test_known_times_of_long_prompts_count_for_long_prompts():
    short, long = ("X-Token-Count: 100,10",), ("X-Token-Count: 20000,10",)

    async def observe(site, clock, target):
        for number in range(64):
            is_long = number % 16 == 0
            target.scripts = [answers_after(clock, USUAL_S if is_long else 0.1)]
            await site.ask(headers=long if is_long else short)

    ended = answer_after_others(RouteKind.AT_MOST_ONCE, observe, long)
    assert is_refused_as_not_run(*ended)


def test_a_queued_request_is_not_kept_when_the_stop_leaves_no_time_for_its_answer():
    async def scenario():
        async with Rig([route(time_limit_s=LIMIT_S, first_answer_s=4.0)], []) as site:
            for _ in range(MIN_OBSERVATIONS):
                site.forwarder.answer_times.record(
                    AnswerKind("plain", "", "r"), AnswerTime(0.1, 0.8)
                )
            limit = site.forwarder.stop_limit
            limit.ends_s = site.clock.now_s() + 1.2
            asyncio.get_running_loop().call_later(1.2, limit.end)
            received = await site.ask()
            assert is_refused_as_not_run(received, 0)
            assert site.clock.now_s() < limit.ends_s

    play(scenario)
