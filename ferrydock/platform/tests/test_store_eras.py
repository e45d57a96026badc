"""The adapter before a store that comes back older: each call notices it, nothing crosses it."""

import asyncio
import random

import pytest

from ...configuration import Configuration, ConfigurationUnchanged
from ...outcomes import Unavailable, Unknown
from ...standins.fleet import FleetSite, StoreFace
from ...store import Compare, LeaseLost, MemoryStore, Position, Put, Txn, WatchBatch
from .. import HistoryGone, PlatformConfigurationSource, PlatformStore


class Bench:
    """A store reached by its protocol, and a copy of it that it can come back from."""

    async def __aenter__(self):
        self.memory = MemoryStore()
        self.face = StoreFace(self.memory, random.Random(1))
        self.store = PlatformStore(await self.face.start())
        return self

    async def __aexit__(self, *error):
        await self.store.close()
        await self.face.close()

    def lose(self, changes=5):
        """Let so many changes be lost."""
        copy = self.memory.copy()
        for number in range(changes):
            self.memory.put("other", str(number).encode())
        self.memory.come_back_older(copy)
        self.face.forget_history()


def play(scenario):
    async def run():
        async with Bench() as bench:
            await scenario(bench)

    asyncio.run(run())


CALLS = {
    "range": lambda store: store.range("k"),
    "pages": lambda store: store.range("k", "l"),
    "transact": lambda store: store.transact(Txn((), (Put("k", b"1"),))),
    "grant": lambda store: store.grant_lease(2.0),
    "renewal": lambda store: store.keep_lease(1),
    "revoke": lambda store: store.revoke_lease(1),
    "watch": lambda store: store.watch_once("k", Position(0, 1), 0),
}


@pytest.mark.parametrize("call", CALLS)
def test_whichever_call_comes_first_notices_a_new_era(call):
    async def scenario(bench):
        await bench.store.range("k")
        assert bench.store.era == 0
        bench.lose()
        await CALLS[call](bench.store)
        assert bench.store.era == 1

    play(scenario)


def test_a_turned_away_call_notices_it_too():
    async def scenario(bench):
        bench.lose()
        bench.face.faults.down = "busy"
        assert isinstance(await bench.store.range("k"), Unavailable)
        assert bench.store.era == 1

    play(scenario)


def test_an_answer_of_an_older_era_counts_as_none():
    async def scenario(bench):
        bench.store.note_era(1)  # another daemon has seen it
        assert isinstance(await bench.store.range("k"), Unavailable)
        assert isinstance(await bench.store.transact(Txn((), (Put("k", b"1"),))), Unknown)
        assert isinstance(await bench.store.keep_lease(7), Unavailable)
        assert not isinstance(await bench.store.keep_lease(7), LeaseLost)

    play(scenario)


def test_a_condition_does_not_cross_an_era_though_its_revision_was_given_out_again():
    async def scenario(bench):
        copy = bench.memory.copy()
        read = bench.memory.put("k", b"old")
        await bench.store.range("k")
        bench.memory.come_back_older(copy)
        assert bench.memory.put("k", b"new") == read
        txn = Txn((Compare("k", read),), (Put("k", b"mine"),), ("k",), era=0)
        assert isinstance(await bench.store.transact(txn), Unknown), "noticed by this call itself"
        assert isinstance(await bench.store.transact(txn), Unavailable), "it is not even sent"

    play(scenario)


@pytest.mark.parametrize("later", [0, 10])
def test_no_wait_goes_on_from_an_older_era(later):
    async def scenario(bench):
        known = (await bench.store.range("k")).position
        bench.lose()
        for number in range(later):  # its revision passes what was known
            bench.memory.put("k", str(number).encode())
        assert isinstance(await bench.store.watch_once("k", known, 0), HistoryGone)
        assert isinstance(await bench.store.watch_once("k", known, 0), HistoryGone)
        known = (await bench.store.range("k")).position
        bench.memory.put("k", b"x")
        watched = await bench.store.watch_once("k", known, 1000)
        assert isinstance(watched, WatchBatch)
        assert watched.position.era == 1

    play(scenario)


def test_a_wait_that_was_under_way_ends_without_its_changes():
    async def scenario(bench):
        known = (await bench.store.range("k")).position
        waiting = asyncio.ensure_future(bench.store.watch_once("k", known, 5000))
        await asyncio.sleep(0.05)
        bench.lose()
        assert isinstance(await waiting, HistoryGone)

    play(scenario)


def test_the_configuration_is_read_whole_in_a_new_era_also_under_the_same_revision():
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
        while isinstance(second, Unavailable):  # the call that noticed it
            second = await source.read()
        assert isinstance(second.result, Configuration)
        assert second.result.version > first.result.version
        assert second.written_position.revision == first.written_position.revision
        assert second.written_position > first.written_position
        await store.close()
        await site.close()

    asyncio.run(scenario())
