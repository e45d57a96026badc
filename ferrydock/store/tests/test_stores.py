"""One suite of checks that every kind of store passes."""

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


class Bench:
    """A store under test, with the clock and the faults behind it."""

    def __init__(self, store, clock, site=None):
        self.store = store
        self.clock = clock
        self.site = site


async def memory_bench():
    clock = ManualClock(100.0)
    return Bench(MemoryStore(clock), clock)


async def etcd_bench():
    clock = ManualClock(100.0)
    site = await StandInSite(SiteSize(), clock=clock).start()
    return Bench(EtcdStore([site.url], timeout_s=5.0), clock, site)


KINDS = {"memory": memory_bench, "etcd": etcd_bench}


@pytest.fixture(params=sorted(KINDS))
def run(request):
    """Run a check over one kind of store."""

    def runner(check):
        async def with_bench():
            bench = await KINDS[request.param]()
            try:
                await check(bench)
            finally:
                await bench.store.close()
                if bench.site is not None:
                    await bench.site.close()

        asyncio.run(with_bench())

    return runner


def put(key, value):
    return Txn((), (Put(key, value),))


def test_reads_what_was_written_in_order(run):
    async def check(bench):
        for key in ("/a/2", "/a/1", "/b/1"):
            assert (await bench.store.transact(put(key, key.encode()))).succeeded
        found = await bench.store.range("/a/", prefix_end("/a/"))
        assert [(i.key, i.value) for i in found.items] == [("/a/1", b"/a/1"), ("/a/2", b"/a/2")]
        assert (await bench.store.range("/none")).items == ()

    run(check)


def test_compare_and_swap_has_one_winner(run):
    async def check(bench):
        first = await bench.store.transact(put("/k", b"0"))
        swap = Txn((Compare("/k", first.revision),), (Put("/k", b"1"),), ("/k",))
        again = Txn((Compare("/k", first.revision),), (Put("/k", b"2"),), ("/k",))
        assert (await bench.store.transact(swap)).succeeded
        lost = await bench.store.transact(again)
        assert not lost.succeeded
        assert lost.reads[0].value == b"1"

    run(check)


def test_create_if_absent_and_read_on_failure(run):
    async def check(bench):
        absent = Compare("/c", 0, CompareField.CREATE_REVISION)
        create = Txn((absent,), (Put("/c", b"mine"),), ("/c", "/d"))
        assert (await bench.store.transact(create)).succeeded
        second = await bench.store.transact(create)
        assert not second.succeeded
        assert second.reads[0].value == b"mine"
        assert second.reads[1] is None

    run(check)


def test_nested_transactions_are_decided_one_by_one(run):
    async def check(bench):
        await bench.store.transact(put("/n/1", b"old"))
        nested = tuple(
            Txn((Compare(f"/n/{i}", 0),), (Put(f"/n/{i}", b"new"),), (f"/n/{i}",)) for i in (1, 2)
        )
        done = await bench.store.transact(Txn((), nested))
        assert [n.succeeded for n in done.nested] == [False, True]
        assert done.nested[0].reads[0].value == b"old"
        assert (await bench.store.range("/n/2")).items[0].value == b"new"

    run(check)


def test_delete_of_a_range(run):
    async def check(bench):
        for key in ("/d/1", "/d/2", "/e"):
            await bench.store.transact(put(key, b""))
        await bench.store.transact(Txn((), (Delete("/d/", prefix_end("/d/")),)))
        assert (await bench.store.range("/d/", prefix_end("/d/"))).items == ()
        assert len((await bench.store.range("/e")).items) == 1

    run(check)


def test_lease_takes_its_keys_along_when_it_lapses(run):
    async def check(bench):
        lease = await bench.store.grant_lease(5)
        await bench.store.transact(Txn((), (Put("/l", b"", lease.lease_id),)))
        bench.clock.advance(4)
        assert isinstance(await bench.store.keep_lease(lease.lease_id), LeaseGranted)
        bench.clock.advance(4)
        assert len((await bench.store.range("/l")).items) == 1
        bench.clock.advance(2)
        assert (await bench.store.range("/l")).items == ()
        assert isinstance(await bench.store.keep_lease(lease.lease_id), LeaseLost)

    run(check)


def test_watch_tells_every_change_once_and_in_order(run):
    async def check(bench):
        start = (await bench.store.transact(put("/w/0", b"before"))).revision
        await bench.store.transact(put("/w/1", b"one"))
        stream = bench.store.watch("/w/", Position(0, start))
        first = await anext(stream)
        await bench.store.transact(put("/other", b"x"))
        await bench.store.transact(Txn((), (Delete("/w/1"),)))
        second = await anext(stream)
        await stream.aclose()
        assert first.changes == (("/w/1", b"one"),)
        assert second.changes == (("/w/1", None),)
        assert second.revision > first.revision

    run(check)


def test_outage_is_unavailable_for_reads_and_never_claims_a_write_failed():
    async def check():
        bench = await etcd_bench()
        bench.site.etcd.faults.lose_answers = 1
        assert isinstance(await bench.store.transact(put("/k", b"1")), Unknown)
        assert (await bench.store.range("/k")).items[0].value == b"1"
        bench.site.etcd.faults.down = True
        assert isinstance(await bench.store.range("/k"), Unavailable)
        assert isinstance(await bench.store.transact(put("/k", b"2")), Unknown)
        await bench.site.close()
        assert isinstance(await bench.store.transact(put("/k", b"3")), Unavailable)
        await bench.store.close()

    asyncio.run(check())
