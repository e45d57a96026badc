"""Ending one attempt from outside."""

import asyncio

import pytest

from ...planned_stop import DaemonStopping, StopLimit
from .._attempt import Attempt

LIMIT_S = 10.0


def test_an_attempt_that_is_abandoned_at_the_moment_of_the_daemons_end_does_not_go_on():
    """Taken for abandoned, it would go on without a limit and be cut by the listener's end."""
    limit, attempt = StopLimit(), Attempt(None)

    async def attempt_once():
        attempt.begin()
        try:
            await asyncio.sleep(LIMIT_S)
        except asyncio.CancelledError:
            if not attempt.was_abandoned():
                raise

    async def request():
        async with limit.apply():
            await attempt_once()
            await asyncio.sleep(LIMIT_S)

    async def check():
        running = asyncio.ensure_future(request())
        await asyncio.sleep(0)
        limit.end()
        asyncio.get_running_loop().call_soon(attempt.abandon, "a member is missing")
        async with asyncio.timeout(LIMIT_S / 2):
            with pytest.raises(DaemonStopping):
                await running

    asyncio.run(check())


def test_an_attempt_that_is_only_abandoned_lets_its_request_go_on():
    attempt = Attempt(None)

    async def request():
        attempt.begin()
        try:
            await asyncio.sleep(LIMIT_S)
        except asyncio.CancelledError:
            assert attempt.was_abandoned()
        await asyncio.sleep(0)
        return "gone on"

    async def check():
        running = asyncio.ensure_future(request())
        await asyncio.sleep(0)
        attempt.abandon("a member is missing")
        assert await running == "gone on"

    asyncio.run(check())
