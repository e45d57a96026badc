"""A store that is restored from an older copy: each call notices the new era.

No revision, condition or watch of one era is used in another.
"""

import asyncio
import random

import pytest

from ...configuration import Configuration, ConfigurationUnchanged
from ...outcomes import Unavailable, Unknown
from ...standins.fleet import FleetSite, StoreFace
from ...store import Compare, LeaseLost, MemoryStore, Position, Put, Txn, WatchBatch
from .. import HistoryCompacted, PlatformConfigurationSource, PlatformStore


class StoreUnderTest:
    """A store behind its HTTP protocol, which can be restored from an older copy."""

    async def __aenter__(self):
        self.memory = MemoryStore()
        self.face = StoreFace(self.memory, random.Random(1))
        self.store = PlatformStore(await self.face.start())
        return self

    async def __aexit__(self, *error):
        await self.store.close()
        await self.face.close()

    def restore_older_copy(self, changes=5):
        """Restore a copy of the store from before `changes` writes, which are lost."""
        copy = self.memory.copy()
        for number in range(changes):
            self.memory.put("other", str(number).encode())
        self.memory.come_back_older(copy)
        self.face.forget_history()


def run_scenario(scenario):
    async def run():
        async with StoreUnderTest() as fixture:
            await scenario(fixture)

    asyncio.run(run())


CALLS = {
    "range": lambda store: store.range("k"),
    "pages": lambda store: store.range("k", "l"),
    "transact": lambda store: store.transact(Txn((), (Put("k", b"1"),))),
    "grant": lambda store: store.grant_lease(2.0),
    "renewal": lambda store: store.renew_lease(1),
    "revoke": lambda store: store.revoke_lease(1),
    "watch": lambda store: store.watch_once("k", Position(0, 1), 0),
}


@pytest.mark.parametrize("call", CALLS)
def test_any_kind_of_call_notices_a_new_era(call):
    async def scenario(fixture):
        await fixture.store.range("k")
        assert fixture.store.era == 0
        fixture.restore_older_copy()
        await CALLS[call](fixture.store)
        assert fixture.store.era == 1

    run_scenario(scenario)


def test_a_rejected_call_notices_a_new_era():
    async def scenario(fixture):
        fixture.restore_older_copy()
        fixture.face.faults.down = "busy"
        assert isinstance(await fixture.store.range("k"), Unavailable)
        assert fixture.store.era == 1

    run_scenario(scenario)


def test_an_answer_of_an_older_era_is_ignored():
    async def scenario(fixture):
        fixture.store.raise_era(1)  # another daemon has seen it
        assert isinstance(await fixture.store.range("k"), Unavailable)
        assert isinstance(await fixture.store.transact(Txn((), (Put("k", b"1"),))), Unknown)
        assert isinstance(await fixture.store.renew_lease(7), Unavailable)
        assert not isinstance(await fixture.store.renew_lease(7), LeaseLost)

    run_scenario(scenario)


def test_a_condition_of_an_older_era_never_commits_though_its_revision_is_reused():
    async def scenario(fixture):
        copy = fixture.memory.copy()
        read = fixture.memory.put("k", b"old")
        await fixture.store.range("k")
        fixture.memory.come_back_older(copy)
        assert fixture.memory.put("k", b"new") == read
        txn = Txn((Compare("k", read),), (Put("k", b"mine"),), ("k",), era=0)
        assert isinstance(await fixture.store.transact(txn), Unknown), (
            "this call notices the new era itself"
        )
        assert isinstance(await fixture.store.transact(txn), Unavailable), "the store is not called"

    run_scenario(scenario)


@pytest.mark.parametrize("later", [0, 10])
def test_no_watch_continues_from_a_position_of_an_older_era(later):
    async def scenario(fixture):
        known = (await fixture.store.range("k")).position
        fixture.restore_older_copy()
        for number in range(later):  # the store's revision passes the known one
            fixture.memory.put("k", str(number).encode())
        assert isinstance(await fixture.store.watch_once("k", known, 0), HistoryCompacted)
        assert isinstance(await fixture.store.watch_once("k", known, 0), HistoryCompacted)
        known = (await fixture.store.range("k")).position
        fixture.memory.put("k", b"x")
        watched = await fixture.store.watch_once("k", known, 1000)
        assert isinstance(watched, WatchBatch)
        assert watched.position.era == 1

    run_scenario(scenario)


def test_a_watch_in_progress_ends_without_changes_of_the_new_era():
    async def scenario(fixture):
        known = (await fixture.store.range("k")).position
        waiting = asyncio.ensure_future(fixture.store.watch_once("k", known, 5000))
        await asyncio.sleep(0.05)
        fixture.restore_older_copy()
        assert isinstance(await waiting, HistoryCompacted)

    run_scenario(scenario)


def test_the_configuration_is_read_again_in_a_new_era_also_at_the_same_revision():
    async def scenario():
        site = FleetSite(("hall-a",))
        face = await site.open_store()
        store = PlatformStore(face.address)
        source = PlatformConfigurationSource(store)
        copy = site.store.copy()
        site.write_configuration()
        first = await source.read()
        assert isinstance((await source.read()).result, ConfigurationUnchanged)
        site.store.come_back_older(copy)
        site.write_configuration()
        second = await source.read()
        while isinstance(second, Unavailable):  # the call that notices the new era
            second = await source.read()
        assert isinstance(second.result, Configuration)
        assert second.result.version > first.result.version
        assert second.written_position.revision == first.written_position.revision
        assert second.written_position > first.written_position
        await store.close()
        await site.close()

    asyncio.run(scenario())
