"""Rate limits and back-offs that targets state in the heads of their answers."""

import logging

import pytest

from .rig import Rig, ScriptedTarget, complete_answer, play, route, writes

REFUSAL = b"HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nServer-Limit: 2\r\n\r\n"


@pytest.mark.parametrize("answer", [complete_answer(extra=b"Server-Limit: 2\r\n"), REFUSAL])
def test_rate_limit_applies_until_an_answer_without_one(answer):
    async def scenario():
        async with Rig(
            [route()], [ScriptedTarget(writes(answer), writes(complete_answer()))]
        ) as rig:
            limits = rig.selector.catalog.limits
            await rig.ask()
            assert limits.rate_per_s("t0") == 2.0 and limits.limited_count == 1
            await rig.ask()
            assert limits.rate_per_s("t0") is None and limits.limited_count == 0

    play(scenario)


def test_invalid_rate_limit_is_logged_once_and_ignored(caplog):
    caplog.set_level(logging.WARNING)

    async def scenario():
        bad = writes(complete_answer(extra=b"Server-Limit: many\r\n"))
        good = writes(complete_answer(extra=b"Server-Limit: 2\r\n"))
        async with Rig([route()], [ScriptedTarget(bad, bad, good, bad)]) as rig:
            limits = rig.selector.catalog.limits
            for expected in (None, None, 2.0, 2.0):
                assert b" 200 " in await rig.ask()
                assert limits.rate_per_s("t0") == expected

    play(scenario)
    lines = [r for r in caplog.messages if "event=answer_header_unreadable" in r]
    assert len(lines) == 1 and "Server-Limit" in lines[0] and "target=t0" in lines[0]


def test_leaderless_daemon_refuses_immediately_if_all_targets_are_at_their_rate_limits():
    async def scenario():
        limited = complete_answer(extra=b"Server-Limit: 1\r\n")
        async with Rig([route()], [ScriptedTarget(writes(limited))], daemons=9) as rig:
            assert b" 200 " in await rig.ask()
            started_s = rig.clock.now_s()
            refused = await rig.ask()
            assert b" 503 " in refused and b"targets_limited" in refused
            after_s = float(refused.split(b"Retry-After: ")[1].split(b"\r\n")[0])
            assert after_s >= 1.0 and rig.clock.now_s() - started_s < 0.2
            assert len(rig.targets[0].requests) == 1

    play(scenario)


def test_refusals_do_not_eject_a_target_with_a_rate_limit():
    async def scenario():
        async with Rig([route()], [ScriptedTarget(writes(REFUSAL))]) as rig:
            rig.selector.daemons = rig.selector.pacer.daemons = lambda: 0.1
            for _ in range(4):
                assert b" 503 " in await rig.ask()
            assert len(rig.targets[0].requests) == 4
            assert rig.loads.of("t0").ejections_since_success == 0

    play(scenario)


def sheds(backoff_s):
    """Return a script that refuses a request and requests a back-off."""
    text = b"HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: %s\r\n\r\n"
    return writes(text % backoff_s)


def test_backed_off_target_is_not_used_even_if_all_others_are_ejected():
    async def scenario():
        targets = [ScriptedTarget(sheds(b"9")), ScriptedTarget(writes(complete_answer()))]
        async with Rig([route()], targets) as rig:
            while not rig.targets[0].requests:
                assert b" 200 " in await rig.ask()
            rig.loads.record_failure("t1", rig.clock.now_s(), eject_immediately=True)
            for _ in range(10):
                assert b" 200 " in await rig.ask()
            assert len(rig.targets[0].requests) == 1
            assert (
                rig.loads.of("t0").ejections_since_success == 0
                and rig.loads.of("t0").consecutive_failures == 0
            )

    play(scenario)


def test_request_is_refused_immediately_if_all_targets_are_backed_off_for_too_long():
    async def scenario():
        async with Rig([route()], [ScriptedTarget(sheds(b"3"), writes(complete_answer()))]) as rig:
            assert b" 503 " in await rig.ask()
            started_s = rig.clock.now_s()
            refused = await rig.ask()
            assert b" 503 " in refused and b"targets_rest" in refused
            after_s = float(refused.split(b"Retry-After: ")[1].split(b"\r\n")[0])
            assert after_s >= 2.5 and rig.clock.now_s() - started_s < 0.2
            assert len(rig.targets[0].requests) == 1

    play(scenario)


def test_request_waits_for_a_back_off_that_ends_in_time():
    async def scenario():
        async with Rig(
            [route()], [ScriptedTarget(sheds(b"0.2"), writes(complete_answer()))]
        ) as rig:
            assert b" 503 " in await rig.ask()
            started_s = rig.clock.now_s()
            assert b" 200 " in await rig.ask()
            assert rig.clock.now_s() - started_s >= 0.1

    play(scenario)
