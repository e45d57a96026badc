"""How soon a leader notices that another hall has a new one, though its wait says nothing."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from ...freshness import REMOTE_LEADER_MAX_AGE_S, EraSettling
from ...hall_lease import controller_key
from ...standins.fleet import LoopClock, run_virtually
from ...store import MemoryStore, Position
from .._remote_leadership import CONFIRMED_LOOK_S, REMOTE_LOOK_S, RemoteHallLeadership

KEY = controller_key("hall-b")


class SilentStore(MemoryStore):
    """A store whose waits are never answered, and which counts reads of keys."""

    def __init__(self, clock):
        super().__init__(clock)
        self.reads = 0

    async def range(self, key, range_end=""):
        self.reads += 1
        return await super().range(key, range_end)

    async def watch(self, prefix, after):
        await asyncio.sleep(10**6)
        yield


def play(scenario):
    async def run():
        clock = LoopClock()
        store = SilentStore(clock)
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
        running = asyncio.ensure_future(leadership.run())
        confirming = asyncio.ensure_future(confirm(leadership, store, clock))
        await asyncio.sleep(1.0)
        assert leadership.leader_address == "127.0.0.1:1"
        await scenario(leadership, store)
        for task in (running, confirming):
            task.cancel()

    run_virtually(run())


async def confirm(leadership, store, clock):
    """Tell the store's revision as the calls of a leader do."""
    while True:
        now_s = clock.now_s()
        leadership.confirmation.note_store(Position(0, store.revision), now_s, now_s)
        await asyncio.sleep(0.5)


@pytest.mark.parametrize("after_s", [0.0, 0.3, 5.0, 40.0])
def test_a_new_leader_is_known_though_the_wait_for_the_end_of_the_last_is_never_answered(after_s):
    async def scenario(leadership, store):
        await asyncio.sleep(after_s)
        store.put(KEY, b'{"address":"127.0.0.1:2"}')
        longest_s = REMOTE_LEADER_MAX_AGE_S + CONFIRMED_LOOK_S + REMOTE_LOOK_S[1] + 0.5
        async with asyncio.timeout(longest_s):
            while leadership.leader_address != "127.0.0.1:2":
                await asyncio.sleep(0.01)

    play(scenario)


def test_while_the_stores_revision_stands_still_the_key_is_not_read_again():
    async def scenario(leadership, store):
        await asyncio.sleep(100.0)
        assert store.reads == 1

    play(scenario)
