"""Requests that a planned stop leaves too little time for are refused before they are sent."""

import asyncio
from dataclasses import replace

import pytest

from ...configuration import RouteKind
from .._answer_times import (
    ANSWER_QUANTILE,
    FEW_ANSWERS_FACTOR,
    AnswerKind,
    AnswerTime,
    AnswerTimes,
)
from .._observed_times import MIN_OBSERVATIONS
from .rig import Rig, ScriptedTarget, complete_answer, plain_target, play, route, writes
from .test_forwarding import STREAM, events
from .test_planned_stop import until

LIMIT_S = 8.0
LEFT_S = 4.9
KINDS = [RouteKind.AT_MOST_ONCE, RouteKind.STREAM, RouteKind.RESUMABLE_STREAM, RouteKind.REPEATABLE]


def answer_while_stopping(
    usual_s, kind=RouteKind.AT_MOST_ONCE, limit_s=LIMIT_S, headers=(), daemons=2
):
    """Return the answer to a request that is read in a stop, and how many a target received."""

    async def scenario():
        answer = STREAM + events(1) + b"0\r\n\r\n" if kind.is_stream else complete_answer()
        target = ScriptedTarget(writes(answer))
        async with Rig([route(kind=kind, time_limit_s=limit_s)], [target]) as site:
            observed = AnswerKind("plain", "", "r", 50, 100, kind.is_stream)
            for _ in range(MIN_OBSERVATIONS if usual_s else 0):
                site.forwarder.answer_times.record(observed, AnswerTime(0.0, usual_s))
            site.forwarder.stop_limit.ends_s = site.clock.now_s() + LEFT_S
            site.forwarder.has_peers = lambda: daemons > 1
            site.gateway.announce_stop()
            received = await site.ask(headers=headers)
            return received, len(target.requests)

    return play(scenario)


def is_refused_as_not_run(received, sent):
    is_refused = received.startswith(b"HTTP/1.1 503") and b"stopping" in received
    assert (sent == 0) == is_refused
    return is_refused and b"Retry-After: 0\r\n" in received


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_that_a_stop_would_cut_is_refused_before_it_is_sent(kind):
    assert is_refused_as_not_run(*answer_while_stopping(5.5, kind))


@pytest.mark.parametrize("kind", KINDS)
def test_a_request_that_ends_well_before_the_stop_does_is_served(kind):
    received, sent = answer_while_stopping(1.0, kind)
    assert received.startswith(b"HTTP/1.1 200") and sent == 1


@pytest.mark.parametrize(("tokens", "is_refused"), [(34, False), (40, True)])
def test_the_tokens_that_a_request_permits_decide_whether_it_ends_in_time(tokens, is_refused):
    headers = (f"X-Token-Count: 100,{tokens}",)
    ended = answer_while_stopping(5.5, RouteKind.STREAM, headers=headers)
    assert is_refused_as_not_run(*ended) is is_refused


def test_a_request_of_an_unknown_duration_is_refused_unless_its_deadline_comes_first():
    assert is_refused_as_not_run(*answer_while_stopping(None))
    assert not is_refused_as_not_run(*answer_while_stopping(None, limit_s=LEFT_S - 1))
    assert not is_refused_as_not_run(*answer_while_stopping(None, headers=("X-Deadline-Ms: 3000",)))


def test_the_only_daemon_refuses_just_what_may_not_be_repeated_and_is_known_to_be_cut():
    assert is_refused_as_not_run(*answer_while_stopping(5.5, daemons=1))
    assert not is_refused_as_not_run(*answer_while_stopping(None, daemons=1))
    resumable = RouteKind.RESUMABLE_STREAM
    assert not is_refused_as_not_run(*answer_while_stopping(5.5, resumable, daemons=1))


def test_a_queued_request_is_refused_once_the_stop_would_cut_it():
    async def scenario():
        target = ScriptedTarget(writes(complete_answer()))
        async with Rig([route(time_limit_s=LIMIT_S, first_answer_s=4.0)], []) as site:
            observed = AnswerKind("plain", "", "r")
            site.forwarder.answer_times.record(observed, AnswerTime(0.1, 0.4))
            site.forwarder.stop_limit.ends_s = site.clock.now_s() + 2.0
            answering = asyncio.ensure_future(site.ask())
            await until(lambda: site.selector.queue_length)
            site.forwarder.stop_limit.ends_s = site.clock.now_s() + 0.5
            await target.start()
            site.targets.append(target)
            site.directory.put(plain_target(0, target))
            site.selector.assign_free_slots()
            assert is_refused_as_not_run(await answering, len(target.requests))
            assert not site.loads.of("t0").in_flight

    play(scenario)


def test_usual_answer_times_are_quantiles_and_estimates_from_few_observations():
    times, plain = AnswerTimes(), AnswerKind("s", "m", "r")
    counted = replace(plain, max_tokens=10)
    assert times.usual_s(plain) is None
    times.record(plain, AnswerTime(0.2, 1.0))
    assert times.usual_s(plain) == FEW_ANSWERS_FACTOR
    assert times.usual_s(replace(plain, route="other")) is None
    assert times.usual_s(counted) is None
    for number in range(1, 41):
        times.record(counted, AnswerTime(0.2, 0.2 + number))
    share = ANSWER_QUANTILE
    assert times.usual_s(plain) == pytest.approx(0.2 + share * 40, abs=1.1)
    half = replace(counted, route="any", max_tokens=5)
    assert times.usual_s(half) == pytest.approx(0.2 + share * 20, abs=1.1)
    assert times.usual_s(replace(counted, prompt_tokens=20_000)) is None
    assert times.usual_s(replace(counted, is_stream=False)) is None
