"""Leases, terms and epochs over a store that comes back older, in virtual time."""

import asyncio

import pytest

from ...hall_lease import ControllerLease, HeldLease, controller_key
from ...outcomes import Conflict
from ...standins.fleet import LoopClock, run_virtually
from ...store import LeaseGranted, MemoryStore
from .._record import PlacementRecord

TTL_S = 2.0


class Bench:
    """Two daemons that want the same hall."""

    def __init__(self):
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.first, self.second = (self.lease(name) for name in ("first", "second"))

    def lease(self, name):
        return ControllerLease(self.store, self.clock, "hall-a", name, f"127.0.0.1:{len(name)}")


def play(scenario):
    async def run():
        await scenario(Bench())

    run_virtually(run())


def test_a_lease_is_not_believed_in_a_new_era_until_it_is_reclaimed():
    async def scenario(bench):
        assert isinstance(await bench.first.acquire(TTL_S), HeldLease)
        term = bench.first.held.term
        bench.store.come_back_older(bench.store.copy())
        assert not bench.first.valid
        assert await bench.first.reclaim()
        assert bench.first.valid
        assert bench.first.held.term > term
        assert isinstance(await bench.first.keep(), HeldLease)
        assert isinstance(await bench.second.acquire(TTL_S), Conflict)

    play(scenario)


def test_a_lease_that_the_store_has_lost_is_neither_renewed_nor_ended_by_its_old_holder():
    async def scenario(bench):
        copy = bench.store.copy()
        await bench.first.acquire(TTL_S)
        bench.store.come_back_older(copy)
        await bench.second.acquire(TTL_S)
        assert bench.second.held.lease_id == bench.first.held.lease_id, "the id is given out again"
        assert not await bench.first.reclaim()
        assert not isinstance(await bench.first.keep(), HeldLease | LeaseGranted)
        assert not bench.first.valid
        await bench.first.give_back()
        assert bench.second.valid
        assert (await bench.store.range(controller_key("hall-a"))).items

    play(scenario)


@pytest.mark.parametrize("asleep_s, reclaimed", [(1.0, True), (1.8, False), (9.0, False)])
def test_only_a_lease_whose_time_is_not_over_is_reclaimed(asleep_s, reclaimed):
    async def scenario(bench):
        await bench.first.acquire(TTL_S)
        copy = bench.store.copy()
        await asyncio.sleep(asleep_s)
        bench.store.come_back_older(copy)  # the key stands in the copy all the same
        assert await bench.first.reclaim() is reclaimed
        assert bench.first.valid is reclaimed

    play(scenario)


class ReturnsDuringTaking(MemoryStore):
    """A store that comes back older between the grant of a lease and the write of the key."""

    copy_before = None

    async def grant_lease(self, ttl_s):
        granted = await super().grant_lease(ttl_s)
        if self.copy_before is not None:
            self.come_back_older(self.copy_before)
            self.copy_before = None
            await super().grant_lease(60.0)  # the same id, for another daemon
        return granted


def test_no_key_is_left_bound_to_another_daemons_lease():
    async def scenario(bench):
        store = ReturnsDuringTaking(bench.clock)
        store.copy_before = store.copy()
        lease = ControllerLease(store, bench.clock, "hall-a", "first")
        assert isinstance(await lease.acquire(TTL_S), Conflict)
        assert not lease.valid
        assert (await store.range(controller_key("hall-a"))).items == ()
        assert isinstance(await lease.acquire(TTL_S), HeldLease)

    play(scenario)


def test_epochs_only_rise_and_never_come_twice_over_eras():
    async def scenario(bench):
        record = PlacementRecord(bench.store, "hall-a", "first")
        epochs = []
        for _ in range(4):
            copy = bench.store.copy()
            for _ in range(3):
                assert await record.read()
                epochs.append(await record.write({}))
            bench.store.come_back_older(copy)
        assert epochs == sorted(set(epochs))

    play(scenario)


def test_a_record_that_was_read_in_an_older_era_is_read_again_before_it_is_written():
    async def scenario(bench):
        copy = bench.store.copy()
        first, second = (PlacementRecord(bench.store, "hall-a", name) for name in ("one", "two"))
        await first.read()
        before = await first.write({})
        bench.store.come_back_older(copy)
        await second.read()
        assert await second.write({}) > before
        assert await first.write({}) is None, "its condition is the revision that came twice"

    play(scenario)
