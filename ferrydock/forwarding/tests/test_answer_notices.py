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
