"""Abandoning an attempt from another task."""

import asyncio

import pytest

from ...planned_stop import DaemonStopping, StopLimit
from .._attempt import Attempt

LIMIT_S = 10.0


def test_a_request_ends_if_the_daemon_stops_while_its_attempt_is_abandoned():
    """If the stop were mistaken for an abandoned attempt, the request would run without a limit."""
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


def test_a_request_continues_after_its_attempt_was_abandoned():
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
