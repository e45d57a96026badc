"""How soon a leader finds the new leader of another hall although its watch is never answered."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from ...freshness import REMOTE_LEADER_MAX_AGE_S, EraSettling
from ...hall_lease import controller_key
from ...standins.fleet import LoopClock, run_virtually
from ...store import MemoryStore, Position
from .._remote_leadership import CONFIRMATION_CHECK_S, REMOTE_CHECK_S, RemoteHallLeadership

KEY = controller_key("hall-b")


class SilentWatchStore(MemoryStore):
    """A store whose watches are never answered, and which counts reads of keys."""

    def __init__(self, clock):
        super().__init__(clock)
        self.reads = 0

    async def range(self, key, range_end=""):
        self.reads += 1
        return await super().range(key, range_end)

    async def watch(self, prefix, after):
        await asyncio.sleep(10**6)
        yield


def run_leadership(scenario):
    async def run():
        clock = LoopClock()
        store = SilentWatchStore(clock)
        store.put(KEY, b'{"address":"127.0.0.1:1"}')
        controller = SimpleNamespace(hall="hall-b", lease=SimpleNamespace(address=""))
        leadership = RemoteHallLeadership(
            controller,
            store,
            clock,
            random.Random(1),
            lambda: False,
            EraSettling(store, clock, is_first_start=False),
            is_candidate=lambda: True,
        )
        leadership_task = asyncio.ensure_future(leadership.run())
        confirm_task = asyncio.ensure_future(confirm_periodically(leadership, store, clock))
        await asyncio.sleep(1.0)
        assert leadership.leader_address == "127.0.0.1:1"
        await scenario(leadership, store)
        for task in (leadership_task, confirm_task):
            task.cancel()

    run_virtually(run())


async def confirm_periodically(leadership, store, clock):
    """Note the store's position every 0.5 s, as the calls of a leader do."""
    while True:
        now_s = clock.now_s()
        leadership.confirmation.note_store(Position(0, store.revision), now_s, now_s)
        await asyncio.sleep(0.5)


@pytest.mark.parametrize("after_s", [0.0, 0.3, 5.0, 40.0])
def test_a_new_leader_is_found_although_the_watch_of_the_last_ones_key_is_never_answered(after_s):
    async def scenario(leadership, store):
        await asyncio.sleep(after_s)
        store.put(KEY, b'{"address":"127.0.0.1:2"}')
        limit_s = REMOTE_LEADER_MAX_AGE_S + CONFIRMATION_CHECK_S + REMOTE_CHECK_S[1] + 0.5
        async with asyncio.timeout(limit_s):
            while leadership.leader_address != "127.0.0.1:2":
                await asyncio.sleep(0.01)

    run_leadership(scenario)


def test_the_key_is_not_read_again_while_the_stores_revision_is_unchanged():
    async def scenario(leadership, store):
        await asyncio.sleep(100.0)
        assert store.reads == 1

    run_leadership(scenario)
