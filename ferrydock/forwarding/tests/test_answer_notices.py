"""What targets say of themselves in the heads of their answers, before scripted targets."""

import logging

import pytest

from .rig import Rig, ScriptedTarget, answers, play, route, whole

REFUSAL = b"HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nServer-Limit: 2\r\n\r\n"


@pytest.mark.parametrize("answer", [whole(extra=b"Server-Limit: 2\r\n"), REFUSAL])
def test_a_limit_is_noted_from_any_answer_until_one_comes_without(answer):
    async def scenario():
        async with Rig([route()], [ScriptedTarget(answers(answer), answers(whole()))]) as rig:
            limits = rig.selector.catalog.limits
            await rig.ask()
            assert limits.rate_per_s("t0") == 2.0 and limits.limited_count == 1
            await rig.ask()
            assert limits.rate_per_s("t0") is None and limits.limited_count == 0

    play(scenario)


def test_a_limit_that_cannot_be_read_is_logged_once_and_changes_nothing(caplog):
    caplog.set_level(logging.WARNING)

    async def scenario():
        bad = answers(whole(extra=b"Server-Limit: many\r\n"))
        good = answers(whole(extra=b"Server-Limit: 2\r\n"))
        async with Rig([route()], [ScriptedTarget(bad, bad, good, bad)]) as rig:
            limits = rig.selector.catalog.limits
            for expected in (None, None, 2.0, 2.0):
                assert b" 200 " in await rig.ask()
                assert limits.rate_per_s("t0") == expected

    play(scenario)
    lines = [r for r in caplog.messages if "event=answer_header_unreadable" in r]
    assert len(lines) == 1 and "Server-Limit" in lines[0] and "target=t0" in lines[0]


def test_a_daemon_alone_refuses_at_once_what_limits_keep_from_all_targets():
    async def scenario():
        limited = whole(extra=b"Server-Limit: 1\r\n")
        async with Rig([route()], [ScriptedTarget(answers(limited))], daemons=9) as rig:
            assert b" 200 " in await rig.ask()
            began_s = rig.clock.now_s()
            refused = await rig.ask()
            assert b" 503 " in refused and b"targets_limited" in refused
            after_s = float(refused.split(b"Retry-After: ")[1].split(b"\r\n")[0])
            assert after_s >= 1.0 and rig.clock.now_s() - began_s < 0.2
            assert len(rig.targets[0].requests) == 1

    play(scenario)


def test_refusals_by_a_target_that_has_named_a_limit_do_not_eject_it():
    async def scenario():
        async with Rig([route()], [ScriptedTarget(answers(REFUSAL))]) as rig:
            rig.selector.daemons = rig.selector.pacer.daemons = lambda: 0.1
            for _ in range(4):
                assert b" 503 " in await rig.ask()
            assert len(rig.targets[0].requests) == 4
            assert rig.loads.of("t0").ejections_since_success == 0

    play(scenario)


def shed(rest_s):
    """Return an answer that refuses a request and asks for rest."""
    text = b"HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: %s\r\n\r\n"
    return answers(text % rest_s)


def test_a_target_at_rest_is_left_out_even_if_all_others_are_ejected():
    async def scenario():
        targets = [ScriptedTarget(shed(b"9")), ScriptedTarget(answers(whole()))]
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


def test_a_request_whose_targets_all_rest_is_refused_at_once_until_the_first_rest_ends():
    async def scenario():
        async with Rig([route()], [ScriptedTarget(shed(b"3"), answers(whole()))]) as rig:
            assert b" 503 " in await rig.ask()
            began_s = rig.clock.now_s()
            refused = await rig.ask()
            assert b" 503 " in refused and b"targets_rest" in refused
            after_s = float(refused.split(b"Retry-After: ")[1].split(b"\r\n")[0])
            assert after_s >= 2.5 and rig.clock.now_s() - began_s < 0.2
            assert len(rig.targets[0].requests) == 1

    play(scenario)


def test_a_rest_that_ends_in_time_is_waited_for():
    async def scenario():
        async with Rig([route()], [ScriptedTarget(shed(b"0.2"), answers(whole()))]) as rig:
            assert b" 503 " in await rig.ask()
            asked_s = rig.clock.now_s()
            assert b" 200 " in await rig.ask()
            assert rig.clock.now_s() - asked_s >= 0.1

    play(scenario)
