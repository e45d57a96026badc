"""Leases, terms and epochs when the store is restored from an older copy, in virtual time."""

import asyncio

import pytest

from ...hall_lease import ControllerLease, HeldLease, controller_key
from ...outcomes import Conflict
from ...standins.fleet import LoopClock, run_virtually
from ...store import LeaseGranted, MemoryStore
from .._record import PlacementRecord

TTL_S = 2.0


class TwoDaemons:
    """Leases of two daemons that compete for the same hall."""

    def __init__(self):
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.first, self.second = (self.lease(name) for name in ("first", "second"))

    def lease(self, name):
        return ControllerLease(self.store, self.clock, "hall-a", name, f"127.0.0.1:{len(name)}")


def run_scenario(scenario):
    async def run():
        await scenario(TwoDaemons())

    run_virtually(run())


def test_a_lease_is_not_valid_in_a_new_era_until_it_is_reclaimed():
    async def scenario(daemons):
        assert isinstance(await daemons.first.acquire(TTL_S), HeldLease)
        term = daemons.first.held.term
        daemons.store.come_back_older(daemons.store.copy())
        assert not daemons.first.is_valid
        assert await daemons.first.reclaim()
        assert daemons.first.is_valid
        assert daemons.first.held.term > term
        assert isinstance(await daemons.first.renew(), HeldLease)
        assert isinstance(await daemons.second.acquire(TTL_S), Conflict)

    run_scenario(scenario)


def test_a_lease_lost_by_the_store_is_neither_renewed_nor_released_by_its_old_holder():
    async def scenario(daemons):
        copy = daemons.store.copy()
        await daemons.first.acquire(TTL_S)
        daemons.store.come_back_older(copy)
        await daemons.second.acquire(TTL_S)
        assert daemons.second.held.lease_id == daemons.first.held.lease_id, (
            "the id is given out again"
        )
        assert not await daemons.first.reclaim()
        assert not isinstance(await daemons.first.renew(), HeldLease | LeaseGranted)
        assert not daemons.first.is_valid
        await daemons.first.release()
        assert daemons.second.is_valid
        assert (await daemons.store.range(controller_key("hall-a"))).items

    run_scenario(scenario)


@pytest.mark.parametrize("wait_s, reclaimed", [(1.0, True), (1.8, False), (9.0, False)])
def test_only_an_unexpired_lease_is_reclaimed(wait_s, reclaimed):
    async def scenario(daemons):
        await daemons.first.acquire(TTL_S)
        copy = daemons.store.copy()
        await asyncio.sleep(wait_s)
        daemons.store.come_back_older(copy)  # the copy still holds the key
        assert await daemons.first.reclaim() is reclaimed
        assert daemons.first.is_valid is reclaimed

    run_scenario(scenario)


class RestoredDuringAcquisition(MemoryStore):
    """Store that is restored from an older copy between the lease grant and the key's write."""

    copy_before = None

    async def grant_lease(self, ttl_s):
        granted = await super().grant_lease(ttl_s)
        if self.copy_before is not None:
            self.come_back_older(self.copy_before)
            self.copy_before = None
            await super().grant_lease(60.0)  # the same id, for another daemon
        return granted


def test_no_key_is_left_bound_to_another_daemons_lease():
    async def scenario(daemons):
        store = RestoredDuringAcquisition(daemons.clock)
        store.copy_before = store.copy()
        lease = ControllerLease(store, daemons.clock, "hall-a", "first")
        assert isinstance(await lease.acquire(TTL_S), Conflict)
        assert not lease.is_valid
        assert (await store.range(controller_key("hall-a"))).items == ()
        assert isinstance(await lease.acquire(TTL_S), HeldLease)

    run_scenario(scenario)


def test_epochs_only_rise_and_are_never_reused_across_eras():
    async def scenario(daemons):
        record = PlacementRecord(daemons.store, "hall-a", "first")
        epochs = []
        for _ in range(4):
            copy = daemons.store.copy()
            for _ in range(3):
                assert await record.read()
                epochs.append(await record.write({}))
            daemons.store.come_back_older(copy)
        assert epochs == sorted(set(epochs))

    run_scenario(scenario)


def test_a_record_read_in_an_older_era_is_not_written_before_it_is_read_again():
    async def scenario(daemons):
        copy = daemons.store.copy()
        first, second = (PlacementRecord(daemons.store, "hall-a", name) for name in ("one", "two"))
        await first.read()
        before = await first.write({})
        daemons.store.come_back_older(copy)
        await second.read()
        assert await second.write({}) > before
        assert await first.write({}) is None, "its condition is the revision that came twice"

    run_scenario(scenario)
