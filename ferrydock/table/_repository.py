"""The table in the platform's store: reading it whole, reading what is new, committing edits.

Keys::

    /ferrydock/table/head          revision, lineage and edit id of the newest edit
    /ferrydock/table/row/SHEET/ROW the cells of one row
    /ferrydock/table/edit/NUMBER   one accepted edit; the newest `EDITS_KEPT` stay

All that one edit changes is written in one transaction, on condition that the head is still the
one the edit was checked against. So of two writers with the same base one is refused, and an
edit whose answer was lost can be sent again without running twice.
"""

import asyncio
import random
from dataclasses import dataclass, replace

import orjson

from ..clock import Clock
from ..outcomes import Conflict, Invalid, Unavailable, Unknown
from ..store import Compare, Delete, KeyValue, Put, RangeDone, Store, Txn, TxnDone, prefix_end
from ._history import FIRST_LINEAGE, AcceptedEdit, Edit, History, merge, next_lineage
from ._table import SCHEMA_VERSION, RowKey, Table

__all__ = ["HEAD_KEY", "TABLE_PREFIX", "Head", "StoredTable", "TableRepository"]

TABLE_PREFIX = "/ferrydock/table/"
HEAD_KEY = TABLE_PREFIX + "head"
ROW_PREFIX = TABLE_PREFIX + "row/"
EDIT_PREFIX = TABLE_PREFIX + "edit/"
EDITS_KEPT = 512
COMMIT_ATTEMPTS = 12
COMMIT_PAUSE_S = 0.02


@dataclass(frozen=True, slots=True)
class Head:
    """What the store says of the newest edit. `mod_revision` 0 means an empty store."""

    revision: int
    lineage: str
    edit_id: str
    mod_revision: int
    schema_version: int = SCHEMA_VERSION


@dataclass(frozen=True, slots=True)
class StoredTable:
    """The whole table as the store holds it, with its head and the edits kept."""

    table: Table
    head: Head
    edits: tuple[AcceptedEdit, ...]


def edit_key(revision: int) -> str:
    """Return the key of the edit that made `revision`; keys sort by number."""
    return f"{EDIT_PREFIX}{revision:012d}"


def _row_key(key: RowKey) -> str:
    return f"{ROW_PREFIX}{key.sheet}/{key.row}"


def _parse_head(item: KeyValue | None) -> Head:
    if item is None:
        return Head(0, FIRST_LINEAGE, "", 0)
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
        For the time that the log shows.
    random_source : random.Random
        For the jitter between attempts.
    """

    __slots__ = ("clock", "random_source", "store")

    def __init__(self, store: Store, clock: Clock, random_source: random.Random):
        self.store = store
        self.clock = clock
        self.random_source = random_source

    async def read_head(self) -> Head | Unavailable:
        """Read the head alone: one call."""
        found = await self.store.range(HEAD_KEY)
        if isinstance(found, Unavailable):
            return found
        return _parse_head(found.items[0] if found.items else None)

    async def read_all(self) -> StoredTable | Unavailable:
        """Read the whole table at one revision: one call."""
        found = await self.store.range(TABLE_PREFIX, prefix_end(TABLE_PREFIX))
        if isinstance(found, Unavailable):
            return found
        return _parse_all(found)

    async def read_edits(self, after_revision: int) -> tuple[AcceptedEdit, ...] | Unavailable:
        """Read the kept edits after a revision, oldest first: one call."""
        first = edit_key(after_revision + 1)
        found = await self.store.range(first, prefix_end(EDIT_PREFIX))
        if isinstance(found, Unavailable):
            return found
        return tuple(AcceptedEdit.from_json(item.value) for item in found.items)

    async def commit(
        self, edit: Edit, deadline_s: float, least_revision: int = 0
    ) -> AcceptedEdit | Conflict | Invalid | Unavailable | Unknown:
        """Have `edit` accepted: merged, checked as a whole, and written in one transaction.

        Parameters
        ----------
        edit : Edit
            The wish; sending it again with the same id does no harm.
        deadline_s : float
            Time on the clock after which no further attempt is made.
        least_revision : int, default=0
            A store that is older than this is not written to.

        Returns
        -------
        AcceptedEdit or Conflict or Invalid or Unavailable or Unknown
            `Unknown` only where a write was sent and the store could not be read back in time.
        """
        sent = False
        reason = "too many other edits at the same time"
        for _ in range(COMMIT_ATTEMPTS):
            if self.clock.now_s() >= deadline_s:
                break
            stored = await self.read_all()
            if isinstance(stored, Unavailable):
                reason = stored.reason
                if not sent:
                    return stored
            elif stored.head.revision < least_revision:
                reason = f"the store is older than revision {least_revision} in force"
            else:
                step = await self._attempt(edit, stored)
                if not isinstance(step, Unavailable | Unknown):
                    return step
                sent = sent or isinstance(step, Unknown)
                reason = step.reason
            await asyncio.sleep(COMMIT_PAUSE_S * (1 + 4 * self.random_source.random()))
        return Unknown(reason) if sent else Unavailable(reason)

    async def _attempt(
        self, edit: Edit, stored: StoredTable
    ) -> AcceptedEdit | Conflict | Invalid | Unavailable | Unknown:
        history = History(EDITS_KEPT)
        for kept in stored.edits:
            history.append(kept)
        earlier = history.find(edit.edit_id)
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
    """Return what the head key holds after the edit `newest`."""
    return orjson.dumps(
        {
            "revision": newest.revision,
            "lineage": newest.lineage,
            "edit_id": newest.edit_id,
            "schema_version": SCHEMA_VERSION,
        }
    )


def table_writes(table: Table, edits: tuple[AcceptedEdit, ...]) -> tuple[Put | Delete, ...]:
    """Return the writes, beside the head, that bring `edits` and the rows they touched."""
    writes: list[Put | Delete] = []
    for edit in edits:
        writes.append(Put(edit_key(edit.revision), edit.to_json()))
        if edit.revision > EDITS_KEPT:
            writes.append(Delete(edit_key(edit.revision - EDITS_KEPT)))
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
