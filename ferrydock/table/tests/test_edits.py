"""Edits: merge, conflicts, lost answers, concurrent commits, and revisions that never decrease."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st

from ...clock import ManualClock
from ...outcomes import Conflict, Invalid, Unavailable, Unknown
from ...standins import FaultyStore
from ...store import MemoryStore
from .. import (
    AcceptedEdit,
    Change,
    Edit,
    History,
    OfferResult,
    RowKey,
    StoreComparison,
    Table,
    TableCopy,
    TableKeeper,
    TableRepository,
    TableWatcher,
    merge,
    next_lineage,
)

HALL = RowKey("halls", "hall-a")
SITE = RowKey("site", "site")


def cell(column, text, key=HALL):
    return Change(key, column, text)


def accept(table, history, edit, lineage="0" * 16):
    merged = merge(table, history, edit)
    if not isinstance(merged, Table):
        return merged
    accepted = AcceptedEdit(
        merged.revision,
        edit.edit_id,
        next_lineage(lineage, edit.edit_id, edit.changes),
        "",
        0.0,
        edit.changes,
        table.inverse(edit.changes),
    )
    history.append(accepted)
    return merged


def test_different_cells_of_one_row_merge():
    history, table = History(), Table({HALL: {"region": "r"}})
    first = accept(table, history, Edit("edit00001", 0, (cell("region", "south"),)))
    both = accept(first, history, Edit("edit00002", 0, (cell("distance_ms", "3"),)))
    assert both.rows[HALL] == {"region": "south", "distance_ms": "3"}


def test_two_texts_for_one_cell_from_one_base_conflict_and_the_cell_is_named():
    history, table = History(), Table({HALL: {}})
    first = accept(table, history, Edit("edit00001", 0, (cell("region", "south"),)))
    second = merge(first, history, Edit("edit00002", 0, (cell("region", "north"),)))
    assert isinstance(second, Conflict)
    assert second.cells == ("halls/hall-a/region",)


def test_a_change_to_a_row_removed_since_the_base_is_a_conflict():
    history, table = History(), Table({HALL: {"region": "r"}})
    first = accept(table, history, Edit("edit00001", 0, (Change(HALL, None, None),)))
    second = merge(first, history, Edit("edit00002", 0, (cell("region", "north"),)))
    assert isinstance(second, Conflict)


def test_an_invalid_edit_is_refused_with_every_fault():
    changes = (
        cell("lease_ttl_s", "soon", SITE),
        cell("probe_interval_s", "99", SITE),
        cell("team", "nobody", RowKey("shares", "s")),
    )
    refused = merge(Table({}), History(), Edit("edit00001", 0, changes))
    assert isinstance(refused, Invalid)
    places = {fault.place for fault in refused.faults}
    assert places == {"site/site/lease_ttl_s", "site/site/probe_interval_s", "shares/s/model"}


def naive_merge(base, current, edit):
    """Merge cell by cell over flat dictionaries, as a reference for `merge`.

    Returns None where both sides set a cell to different texts.
    """
    wanted = dict(base)
    for change in edit:
        if change.text is None:
            wanted.pop(change.column, None)
        else:
            wanted[change.column] = change.text
    merged = dict(current)
    for change in edit:
        mine, theirs = wanted.get(change.column), current.get(change.column)
        if base.get(change.column) != theirs and mine != theirs:
            return None
        if mine is None:
            merged.pop(change.column, None)
        else:
            merged[change.column] = mine
    return merged


columns = st.sampled_from(("region", "serving", "distance_ms"))
texts = {"region": ("a", "b"), "serving": ("true", "false"), "distance_ms": ("1", "2")}


@st.composite
def changes(draw):
    picked = draw(st.lists(columns, min_size=1, max_size=3, unique=True))
    return tuple(cell(c, draw(st.sampled_from((*texts[c], None)))) for c in picked)


@given(changes(), changes())
def test_merge_agrees_with_a_naive_merge_unless_a_cell_was_touched_twice(theirs, mine):
    base = {"region": "a", "serving": "true"}
    history, table = History(), Table({HALL: dict(base)})
    current = accept(table, history, Edit("edit00001", 0, theirs))
    merged = merge(current, history, Edit("edit00002", 0, mine))
    expected = naive_merge(base, current.rows[HALL], mine)
    touched = {c.column for c in theirs} & {c.column for c in mine}
    if isinstance(merged, Table):
        assert merged.rows[HALL] == expected
    else:
        assert touched
    if expected is None:
        assert isinstance(merged, Conflict)


@given(st.lists(changes(), min_size=1, max_size=6))
def test_an_earlier_revision_can_be_rebuilt(edits):
    history = History()
    tables = [Table({HALL: {"region": "a"}})]
    for index, edit in enumerate(edits):
        tables.append(accept(tables[-1], history, Edit(f"edit{index:05d}", index, edit)))
    for table in tables:
        rebuilt = history.table_at(tables[-1], table.revision)
        assert {k: dict(c) for k, c in rebuilt.rows.items()} == {
            k: dict(c) for k, c in table.rows.items()
        }


# Commits to a store ---------------------------------------------------------------------------


def make_repository(store=None):
    store = store or FaultyStore(MemoryStore(ManualClock()))
    return TableRepository(store, ManualClock(), random.Random(1)), store


def commit(repository, edit):
    return repository.commit(edit, 100.0)


def test_a_write_whose_answer_was_lost_is_found_by_reading_back():
    async def check():
        repository, store = make_repository()
        store.lose_answers = 1
        done = await commit(repository, Edit("edit00001", 0, (cell("region", "x"),)))
        assert isinstance(done, AcceptedEdit)
        assert done.revision == 1
        assert (await repository.read_head()).revision == 1

    asyncio.run(check())


def test_the_same_edit_sent_twice_is_accepted_once():
    async def check():
        repository, _ = make_repository()
        edit = Edit("edit00001", 0, (cell("region", "x"),))
        first, again = await commit(repository, edit), await commit(repository, edit)
        assert (first.revision, again.revision) == (1, 1)

    asyncio.run(check())


def test_a_write_delivered_after_its_retry_is_not_applied_a_second_time():
    async def check():
        repository, store = make_repository()
        store.lose_writes = 1
        done = await commit(repository, Edit("edit00001", 0, (cell("region", "x"),)))
        assert done.revision == 1
        await store.deliver_late()
        assert (await repository.read_head()).revision == 1

    asyncio.run(check())


def test_a_commit_is_unavailable_without_the_store_and_unknown_if_its_writes_are_lost():
    async def check():
        repository, store = make_repository()
        store.down = True
        edit = Edit("edit00001", 0, (cell("region", "x"),))
        assert isinstance(await commit(repository, edit), Unavailable)
        store.down = False
        store.lose_writes = 10**6
        assert isinstance(await commit(repository, edit), Unknown)

    asyncio.run(check())


def test_no_edit_of_concurrent_operators_is_lost():
    async def check():
        repository, store = make_repository()
        rows = [RowKey("halls", f"hall-{i}") for i in range(6)]
        edits = [Edit(f"race{i:05d}", 0, (cell("region", "x", k),)) for i, k in enumerate(rows)]
        done = await asyncio.gather(*(commit(repository, e) for e in edits))
        assert sorted(d.revision for d in done) == [1, 2, 3, 4, 5, 6]
        stored = await repository.read_all()
        assert set(stored.table.rows) == set(rows)

    asyncio.run(check())


def make_watcher(store, keeper):
    return TableWatcher(make_repository(store)[0], keeper, ManualClock())


def test_a_store_restored_from_an_older_copy_gets_the_missing_edits():
    async def check():
        repository, store = make_repository()
        keeper = TableKeeper()
        watcher = make_watcher(store, keeper)
        await commit(repository, Edit("edit00001", 0, (cell("region", "x"),)))
        backup = store.store.snapshot()
        await commit(repository, Edit("edit00002", 1, (cell("region", "y"),)))
        await watcher.poll()
        assert keeper.revision == 2
        store.store.restore(backup)
        assert await watcher.poll() is StoreComparison.SAME
        assert (await repository.read_all()).table.text(HALL, "region") == "y"
        assert keeper.table.text(HALL, "region") == "y"

    asyncio.run(check())


def test_a_store_with_another_history_does_not_replace_the_table_in_force():
    async def check():
        repository, store = make_repository()
        keeper = TableKeeper()
        watcher = make_watcher(store, keeper)
        backup = store.store.snapshot()
        await commit(repository, Edit("edit00001", 0, (cell("region", "x"),)))
        await watcher.poll()
        store.store.restore(backup)
        await commit(repository, Edit("edit00009", 0, (cell("region", "z"),)))
        await commit(repository, Edit("edit00010", 1, (cell("region", "zz"),)))
        assert await watcher.poll() is StoreComparison.DIVERGED
        assert keeper.table.text(HALL, "region") == "x"

    asyncio.run(check())


def test_a_commit_is_refused_while_the_store_is_older_than_the_table_in_force():
    async def check():
        repository, _ = make_repository()
        edit = Edit("edit00001", 0, (cell("region", "x"),))
        refused = await repository.commit(edit, 100.0, min_revision=5)
        assert isinstance(refused, Unavailable)
        assert (await repository.read_head()).revision == 0

    asyncio.run(check())


def test_edits_are_read_although_the_watch_stream_is_silent():
    async def check():
        repository, store = make_repository()
        keeper = TableKeeper()
        watcher = make_watcher(store, keeper)

        async def silent(prefix, from_revision):
            await asyncio.Event().wait()
            yield

        store.watch = silent
        following = asyncio.create_task(watcher.follow(stall_timeout_s=0.01))
        await asyncio.sleep(0)
        await commit(repository, Edit("edit00001", 0, (cell("region", "x"),)))
        await following
        assert keeper.revision == 1

    asyncio.run(check())


# Revisions never decrease ---------------------------------------------------------------------


def edits_of(count):
    history, table, lineage = History(), Table({HALL: {}}), "0" * 16
    found = []
    for index in range(count):
        edit = Edit(f"edit{index:05d}", index, (cell("region", f"r{index}"),))
        merged = merge(table, history, edit)
        lineage = next_lineage(lineage, edit.edit_id, edit.changes)
        accepted = AcceptedEdit(
            merged.revision,
            edit.edit_id,
            lineage,
            "",
            0.0,
            edit.changes,
            table.inverse(edit.changes),
        )
        history.append(accepted)
        found.append(accepted)
        table = merged
    return found


@given(st.lists(st.integers(0, 7), max_size=30))
def test_deltas_lost_doubled_and_out_of_order_never_lower_the_revision(order):
    edits = edits_of(8)
    keeper = TableKeeper()
    keeper.offer_copy(TableCopy(Table({HALL: {}}), "0" * 16, ()))
    highest = 0
    for index in order:
        offer = keeper.offer_edits([edits[index]])
        assert keeper.revision >= highest
        if offer is OfferResult.TAKEN:
            assert keeper.revision == highest + 1
        highest = keeper.revision
    keeper.offer_edits(edits)
    assert keeper.revision == 8
    assert keeper.table.text(HALL, "region") == "r7"


def test_a_copy_that_is_older_or_of_another_history_is_refused():
    edits = edits_of(3)
    keeper = TableKeeper()
    keeper.offer_copy(TableCopy(Table({HALL: {}}), "0" * 16, ()))
    keeper.offer_edits(edits)
    older = TableCopy(Table({}, 1), edits[0].lineage, ())
    foreign = TableCopy(Table({}, 3), "f" * 16, ())
    assert keeper.offer_copy(older) is OfferResult.OLDER
    assert keeper.offer_copy(foreign) is OfferResult.DIVERGED
    assert keeper.revision == 3


def test_columns_of_a_newer_version_are_kept_by_an_edit():
    table = Table({HALL: {"region": "a", "colour_of_2028": "blue"}})
    merged = merge(table, History(), Edit("edit00001", 0, (cell("region", "b"),)))
    assert merged.rows[HALL]["colour_of_2028"] == "blue"
