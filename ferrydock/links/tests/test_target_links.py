"""When a daemon concludes that it, and not a target, is why connections fail."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from ...clock import ManualClock
from .. import TargetDialer, TargetLinks
from .._target_links import CHECK_TIMEOUT_S, OWN_PAUSE_S, RECHECK_INTERVAL_S


@asynccontextmanager
async def listening(count):
    """Yield the addresses of ports that accept connections."""
    servers = [await asyncio.start_server(_close, "127.0.0.1", 0) for _ in range(count)]
    try:
        yield ["{}:{}".format(*server.sockets[0].getsockname()) for server in servers]
    finally:
        for server in servers:
            server.close()


def _close(reader, writer):
    writer.close()


async def closed_addresses(count):
    async with listening(count) as addresses:
        pass
    return addresses


def links_to(addresses):
    return TargetLinks(lambda: addresses, ManualClock(0.0), random.Random(1))


def test_a_failed_target_among_live_ones_does_not_count_as_lost_links():
    async def scenario():
        async with listening(3) as live:
            closed = await closed_addresses(1)
            links = links_to([*live, *closed])
            with pytest.raises(ConnectionRefusedError):
                await TargetDialer(links).connect(closed[0], 1.0)
            return links.is_lost

    assert not asyncio.run(scenario())


def test_links_are_lost_once_no_target_is_reached_and_restored_once_two_are():
    async def scenario():
        closed = await closed_addresses(3)
        links, changes = links_to(closed), []
        links.listeners.append(lambda: changes.append(links.is_lost))
        with pytest.raises(ConnectionRefusedError):
            await TargetDialer(links).connect(closed[0], 1.0)
        async with listening(1) as live:
            links.addresses = lambda: [*closed[:1], *live]
            links.clock.advance(RECHECK_INTERVAL_S)
            await links.step()
            assert links.is_lost  # one connection could be chance
        async with listening(2) as live:
            links.addresses = lambda: live
            await links.step()
            assert links.is_lost  # checked a moment ago
            links.clock.advance(RECHECK_INTERVAL_S)
            await links.step()
        return changes

    assert asyncio.run(scenario()) == [True, False]


def test_daemon_that_was_paused_during_the_check_does_not_conclude_that_links_are_lost():
    async def scenario():
        closed = await closed_addresses(3)
        links = links_to(closed)
        pauses_s = [CHECK_TIMEOUT_S + 2 * OWN_PAUSE_S]

        def list_and_pause():
            links.clock.advance(pauses_s.pop() if pauses_s else 0.0)
            return closed

        links.addresses = list_and_pause
        return [await links.check(), await links.check()]

    assert asyncio.run(scenario()) == [False, True]


def test_failures_at_the_same_time_share_one_check(monkeypatch):
    checks = []
    count_reached = TargetLinks._count_reached

    async def count(self, until=1):
        checks.append(until)
        return await count_reached(self, until)

    monkeypatch.setattr(TargetLinks, "_count_reached", count)

    async def scenario():
        links = links_to(await closed_addresses(3))
        return await asyncio.gather(*(links.check() for _ in range(5)))

    assert asyncio.run(scenario()) == [True] * 5
    assert checks == [1]
