"""Checks that every implementation of `Store` must pass."""

import asyncio

import pytest

from ...clock import ManualClock
from ...outcomes import Unavailable, Unknown
from ...standins import SiteSize, StandInSite
from .. import (
    Compare,
    CompareField,
    Delete,
    EtcdStore,
    LeaseGranted,
    LeaseLost,
    MemoryStore,
    Position,
    Put,
    Txn,
    prefix_end,
)


class StoreSetup:
    """A store under test, its clock, and the stand-in server behind it, if it has one."""

    def __init__(self, store, clock, site=None):
        self.store = store
        self.clock = clock
        self.site = site


async def memory_setup():
    clock = ManualClock(100.0)
    return StoreSetup(MemoryStore(clock), clock)


async def etcd_setup():
    clock = ManualClock(100.0)
    site = await StandInSite(SiteSize(), clock=clock).start()
    return StoreSetup(EtcdStore([site.url], timeout_s=5.0), clock, site)


KINDS = {"memory": memory_setup, "etcd": etcd_setup}


@pytest.fixture(params=sorted(KINDS))
def run(request):
    """Return a function that runs a check on one implementation of `Store`."""

    def run_check(check):
        async def with_setup():
            setup = await KINDS[request.param]()
            try:
                await check(setup)
            finally:
                await setup.store.close()
                if setup.site is not None:
                    await setup.site.close()

        asyncio.run(with_setup())

    return run_check


def put(key, value):
    return Txn((), (Put(key, value),))


def test_a_range_returns_all_written_keys_in_sorted_order(run):
    async def check(setup):
        for key in ("/a/2", "/a/1", "/b/1"):
            assert (await setup.store.transact(put(key, key.encode()))).succeeded
        found = await setup.store.range("/a/", prefix_end("/a/"))
        assert [(i.key, i.value) for i in found.items] == [("/a/1", b"/a/1"), ("/a/2", b"/a/2")]
        assert (await setup.store.range("/none")).items == ()

    run(check)


def test_only_one_of_two_compare_and_swaps_succeeds(run):
    async def check(setup):
        first = await setup.store.transact(put("/k", b"0"))
        swap = Txn((Compare("/k", first.revision),), (Put("/k", b"1"),), ("/k",))
        again = Txn((Compare("/k", first.revision),), (Put("/k", b"2"),), ("/k",))
        assert (await setup.store.transact(swap)).succeeded
        lost = await setup.store.transact(again)
        assert not lost.succeeded
        assert lost.reads[0].value == b"1"

    run(check)


def test_a_failed_create_returns_the_existing_value(run):
    async def check(setup):
        absent = Compare("/c", 0, CompareField.CREATE_REVISION)
        create = Txn((absent,), (Put("/c", b"mine"),), ("/c", "/d"))
        assert (await setup.store.transact(create)).succeeded
        second = await setup.store.transact(create)
        assert not second.succeeded
        assert second.reads[0].value == b"mine"
        assert second.reads[1] is None

    run(check)


def test_each_nested_transaction_depends_on_its_own_compares_only(run):
    async def check(setup):
        await setup.store.transact(put("/n/1", b"old"))
        nested = tuple(
            Txn((Compare(f"/n/{i}", 0),), (Put(f"/n/{i}", b"new"),), (f"/n/{i}",)) for i in (1, 2)
        )
        done = await setup.store.transact(Txn((), nested))
        assert [n.succeeded for n in done.nested] == [False, True]
        assert done.nested[0].reads[0].value == b"old"
        assert (await setup.store.range("/n/2")).items[0].value == b"new"

    run(check)


def test_deleting_a_range_removes_its_keys_and_no_others(run):
    async def check(setup):
        for key in ("/d/1", "/d/2", "/e"):
            await setup.store.transact(put(key, b""))
        await setup.store.transact(Txn((), (Delete("/d/", prefix_end("/d/")),)))
        assert (await setup.store.range("/d/", prefix_end("/d/"))).items == ()
        assert len((await setup.store.range("/e")).items) == 1

    run(check)


def test_an_expired_lease_removes_its_keys_and_cannot_be_renewed(run):
    async def check(setup):
        lease = await setup.store.grant_lease(5)
        await setup.store.transact(Txn((), (Put("/l", b"", lease.lease_id),)))
        setup.clock.advance(4)
        assert isinstance(await setup.store.renew_lease(lease.lease_id), LeaseGranted)
        setup.clock.advance(4)
        assert len((await setup.store.range("/l")).items) == 1
        setup.clock.advance(2)
        assert (await setup.store.range("/l")).items == ()
        assert isinstance(await setup.store.renew_lease(lease.lease_id), LeaseLost)

    run(check)


def test_a_watch_yields_every_change_once_and_in_order(run):
    async def check(setup):
        start = (await setup.store.transact(put("/w/0", b"before"))).revision
        await setup.store.transact(put("/w/1", b"one"))
        stream = setup.store.watch("/w/", Position(0, start))
        first = await anext(stream)
        await setup.store.transact(put("/other", b"x"))
        await setup.store.transact(Txn((), (Delete("/w/1"),)))
        second = await anext(stream)
        await stream.aclose()
        assert first.changes == (("/w/1", b"one"),)
        assert second.changes == (("/w/1", None),)
        assert second.revision > first.revision

    run(check)


def test_a_write_without_an_answer_is_unknown_and_not_unavailable():
    async def check():
        setup = await etcd_setup()
        setup.site.etcd.faults.lose_answers = 1
        assert isinstance(await setup.store.transact(put("/k", b"1")), Unknown)
        assert (await setup.store.range("/k")).items[0].value == b"1"
        setup.site.etcd.faults.down = True
        assert isinstance(await setup.store.range("/k"), Unavailable)
        assert isinstance(await setup.store.transact(put("/k", b"2")), Unknown)
        await setup.site.close()
        assert isinstance(await setup.store.transact(put("/k", b"3")), Unavailable)
        await setup.store.close()

    asyncio.run(check())
