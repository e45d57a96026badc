"""Reads the table from the platform's store, and commits edits to it.

Keys::

    /ferrydock/table/head          revision, lineage and id of the last accepted edit
    /ferrydock/table/row/SHEET/ROW the cells of one row
    /ferrydock/table/edit/NUMBER   one accepted edit; the last `MAX_STORED_EDITS` are kept

An edit is written in one transaction, on condition that the head is unchanged since the table was
read. So of two concurrent writers one is refused and tries again on the new table, and an edit
whose answer was lost can be sent again without being applied twice.
"""

import asyncio
import random
from dataclasses import dataclass, replace

import orjson

from ..clock import Clock
from ..outcomes import Conflict, Invalid, Unavailable, Unknown
from ..store import Compare, Delete, KeyValue, Put, RangeDone, Store, Txn, TxnDone, prefix_end
from ._history import LINEAGE_WITHOUT_EDITS, AcceptedEdit, Edit, History, merge, next_lineage
from ._table import SCHEMA_VERSION, RowKey, Table

__all__ = ["HEAD_KEY", "TABLE_PREFIX", "Head", "StoredTable", "TableRepository"]

TABLE_PREFIX = "/ferrydock/table/"
HEAD_KEY = TABLE_PREFIX + "head"
ROW_PREFIX = TABLE_PREFIX + "row/"
EDIT_PREFIX = TABLE_PREFIX + "edit/"
MAX_STORED_EDITS = 512
COMMIT_ATTEMPTS = 12
COMMIT_PAUSE_S = 0.02


@dataclass(frozen=True, slots=True)
class Head:
    """The store's record of the last accepted edit.

    Attributes
    ----------
    revision : int
        Revision of the table after the edit; 0 if the store holds no table.
    mod_revision : int
        Revision of the store at which the record was written; 0 if the store holds no table.
    """

    revision: int
    lineage: str
    edit_id: str
    mod_revision: int
    schema_version: int = SCHEMA_VERSION


@dataclass(frozen=True, slots=True)
class StoredTable:
    """The complete table in the store, with its head and the stored edits, oldest first."""

    table: Table
    head: Head
    edits: tuple[AcceptedEdit, ...]


def edit_key(revision: int) -> str:
    """Return the key of the edit that produced `revision`; keys sort by revision."""
    return f"{EDIT_PREFIX}{revision:012d}"


def _row_key(key: RowKey) -> str:
    return f"{ROW_PREFIX}{key.sheet}/{key.row}"


def _parse_head(item: KeyValue | None) -> Head:
    if item is None:
        return Head(0, LINEAGE_WITHOUT_EDITS, "", 0)
    fields = orjson.loads(item.value)
    return Head(
        fields["revision"],
        fields["lineage"],
        fields["edit_id"],
        item.mod_revision,
        fields["schema_version"],
    )


class TableRepository:
    """Reads and writes the table in the store.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    clock : Clock
        Gives the time of acceptance in the edit log, and the time for deadlines.
    random_source : random.Random
        Draws the jitter of the pause between two attempts at a commit.
    """

    __slots__ = ("clock", "random_source", "store")

    def __init__(self, store: Store, clock: Clock, random_source: random.Random):
        self.store = store
        self.clock = clock
        self.random_source = random_source

    async def read_head(self) -> Head | Unavailable:
        """Read only the head, in one call of the store."""
        found = await self.store.range(HEAD_KEY)
        if isinstance(found, Unavailable):
            return found
        return _parse_head(found.items[0] if found.items else None)

    async def read_all(self) -> StoredTable | Unavailable:
        """Read the complete table at one revision, in one call of the store."""
        found = await self.store.range(TABLE_PREFIX, prefix_end(TABLE_PREFIX))
        if isinstance(found, Unavailable):
            return found
        return _parse_all(found)

    async def read_edits(self, after_revision: int) -> tuple[AcceptedEdit, ...] | Unavailable:
        """Read the stored edits after a revision, oldest first, in one call of the store."""
        first = edit_key(after_revision + 1)
        found = await self.store.range(first, prefix_end(EDIT_PREFIX))
        if isinstance(found, Unavailable):
            return found
        return tuple(AcceptedEdit.from_json(item.value) for item in found.items)

    async def commit(
        self, edit: Edit, deadline_s: float, min_revision: int = 0
    ) -> AcceptedEdit | Conflict | Invalid | Unavailable | Unknown:
        """Merge `edit` into the stored table, validate the result, and write it in a transaction.

        Parameters
        ----------
        edit : Edit
            Edit to commit. If an edit with the same id is already accepted, that one is returned.
        deadline_s : float
            Time on the clock after which no further attempt is made.
        min_revision : int, default=0
            Revision of the table below which the store is not written to.

        Returns
        -------
        AcceptedEdit or Conflict or Invalid or Unavailable or Unknown
            `Unknown` only if a write was sent and later attempts did not find out its result.
        """
        may_be_written = False
        reason = "too many other edits at the same time"
        for _ in range(COMMIT_ATTEMPTS):
            if self.clock.now_s() >= deadline_s:
                break
            stored = await self.read_all()
            if isinstance(stored, Unavailable):
                reason = stored.reason
                if not may_be_written:
                    return stored
            elif stored.head.revision < min_revision:
                reason = f"the store is older than revision {min_revision} in force"
            else:
                result = await self._attempt_commit(edit, stored)
                if not isinstance(result, Unavailable | Unknown):
                    return result
                may_be_written = may_be_written or isinstance(result, Unknown)
                reason = result.reason
            await asyncio.sleep(COMMIT_PAUSE_S * (1 + 4 * self.random_source.random()))
        return Unknown(reason) if may_be_written else Unavailable(reason)

    async def _attempt_commit(
        self, edit: Edit, stored: StoredTable
    ) -> AcceptedEdit | Conflict | Invalid | Unavailable | Unknown:
        history = History(MAX_STORED_EDITS)
        for stored_edit in stored.edits:
            history.append(stored_edit)
        earlier = history.edit_by_id(edit.edit_id)
        if earlier is not None:
            return earlier
        merged = merge(stored.table, history, edit)
        if not isinstance(merged, Table):
            return merged
        accepted = AcceptedEdit(
            revision=merged.revision,
            edit_id=edit.edit_id,
            lineage=next_lineage(stored.head.lineage, edit.edit_id, edit.changes),
            operator=edit.operator,
            wall_s=self.clock.wall_s(),
            changes=edit.changes,
            undo=stored.table.inverse(edit.changes),
        )
        done = await self.store.transact(_commit_txn(stored, merged, accepted))
        if isinstance(done, TxnDone):
            return accepted if done.succeeded else Unavailable("another edit came first")
        return done


def head_value(newest: AcceptedEdit) -> bytes:
    """Return the value of the head key after the edit `newest`."""
    return orjson.dumps(
        {
            "revision": newest.revision,
            "lineage": newest.lineage,
            "edit_id": newest.edit_id,
            "schema_version": SCHEMA_VERSION,
        }
    )


def table_writes(table: Table, edits: tuple[AcceptedEdit, ...]) -> tuple[Put | Delete, ...]:
    """Return the writes, other than that of the head, that store `edits` and the rows of `table`
    that they change, and delete edits beyond the newest `MAX_STORED_EDITS`."""
    writes: list[Put | Delete] = []
    for edit in edits:
        writes.append(Put(edit_key(edit.revision), edit.to_json()))
        if edit.revision > MAX_STORED_EDITS:
            writes.append(Delete(edit_key(edit.revision - MAX_STORED_EDITS)))
    for key in dict.fromkeys(change.key for edit in edits for change in edit.changes):
        if key in table.rows:
            writes.append(Put(_row_key(key), orjson.dumps(dict(table.rows[key]))))
        else:
            writes.append(Delete(_row_key(key)))
    return tuple(writes)


def _commit_txn(stored: StoredTable, merged: Table, accepted: AcceptedEdit) -> Txn:
    put_head = Put(HEAD_KEY, head_value(accepted))
    condition = Compare(HEAD_KEY, stored.head.mod_revision)
    return Txn((condition,), (put_head, *table_writes(merged, (accepted,))))


def _parse_all(found: RangeDone) -> StoredTable:
    head = _parse_head(None)
    rows: dict[RowKey, dict[str, str]] = {}
    edits = []
    for item in found.items:
        if item.key == HEAD_KEY:
            head = _parse_head(item)
        elif item.key.startswith(ROW_PREFIX):
            sheet, row = item.key.removeprefix(ROW_PREFIX).split("/", 1)
            rows[RowKey(sheet, row)] = orjson.loads(item.value)
        elif item.key.startswith(EDIT_PREFIX):
            edits.append(AcceptedEdit.from_json(item.value))
    return StoredTable(Table(rows, head.revision), replace(head), tuple(edits))
