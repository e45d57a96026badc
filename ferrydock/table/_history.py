"""The log of accepted edits, and the merge of an edit with those accepted since its base."""

from collections.abc import Sequence
from dataclasses import dataclass

import orjson
import xxhash

from ..outcomes import Conflict, Invalid
from ._table import Change, RowKey, Table

__all__ = ["AcceptedEdit", "Edit", "History", "merge", "next_lineage"]

LINEAGE_WITHOUT_EDITS = "0" * 16


@dataclass(frozen=True, slots=True)
class Edit:
    """A change of the table that an operator requests.

    Attributes
    ----------
    edit_id : str
        Unique id drawn by the client; a retry of the same edit carries the same id.
    base_revision : int
        Revision of the table that the edit was made against.
    changes : tuple of Change
        Cells and rows to change.
    operator : str
        Name of the operator, shown in the edit log.
    """

    edit_id: str
    base_revision: int
    changes: tuple[Change, ...]
    operator: str = ""


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """An edit that was accepted into the table.

    Attributes
    ----------
    revision : int
        Revision of the table after the edit.
    lineage : str
        Digest over this edit and all edits before it. Two tables at the same revision with
        different lineages result from different edits.
    wall_s : float
        Wall-clock time of acceptance, shown to operators.
    undo : tuple of Change
        Changes that revert the edit.
    """

    revision: int
    edit_id: str
    lineage: str
    operator: str
    wall_s: float
    changes: tuple[Change, ...]
    undo: tuple[Change, ...]

    def to_json(self) -> bytes:
        """Return the JSON that is written to the store and sent to other daemons."""
        return orjson.dumps(
            {
                "revision": self.revision,
                "edit_id": self.edit_id,
                "lineage": self.lineage,
                "operator": self.operator,
                "wall_s": self.wall_s,
                "changes": [_change_to_list(c) for c in self.changes],
                "undo": [_change_to_list(c) for c in self.undo],
            }
        )

    @classmethod
    def from_json(cls, raw: bytes) -> "AcceptedEdit":
        """Parse the JSON that `to_json` returns."""
        fields = orjson.loads(raw)
        return cls(
            revision=fields["revision"],
            edit_id=fields["edit_id"],
            lineage=fields["lineage"],
            operator=fields["operator"],
            wall_s=fields["wall_s"],
            changes=tuple(_change_from_list(c) for c in fields["changes"]),
            undo=tuple(_change_from_list(c) for c in fields["undo"]),
        )


def _change_to_list(change: Change) -> list:
    return [change.key.sheet, change.key.row, change.column, change.text]


def _change_from_list(fields: list) -> Change:
    sheet, row, column, text = fields
    return Change(RowKey(sheet, row), column, text)


def next_lineage(lineage: str, edit_id: str, changes: Sequence[Change]) -> str:
    """Return the lineage after an edit is applied to a table with `lineage`."""
    digest = xxhash.xxh3_64(lineage.encode())
    digest.update(edit_id.encode())
    digest.update(orjson.dumps([_change_to_list(c) for c in changes]))
    return digest.hexdigest()


class History:
    """The most recent accepted edits, oldest first, with consecutive revisions.

    Parameters
    ----------
    limit : int, default=512
        Maximum number of edits kept.
    """

    __slots__ = ("_edits", "limit")

    def __init__(self, limit: int = 512):
        self.limit = limit
        self._edits: list[AcceptedEdit] = []

    def append(self, edit: AcceptedEdit) -> None:
        """Append an edit; if its revision does not follow the last one, drop all earlier edits."""
        if self._edits and self._edits[-1].revision + 1 != edit.revision:
            self._edits.clear()
        self._edits.append(edit)
        del self._edits[: -self.limit]

    def edits_since(self, revision: int) -> tuple[AcceptedEdit, ...] | None:
        """Return the edits accepted after `revision`, or None if not all of them are kept."""
        newer = tuple(edit for edit in self._edits if edit.revision > revision)
        if newer and newer[0].revision != revision + 1:
            return None
        return newer

    def edit_by_id(self, edit_id: str) -> AcceptedEdit | None:
        """Return the edit with this id, or None."""
        return next((e for e in reversed(self._edits) if e.edit_id == edit_id), None)

    def edit_by_revision(self, revision: int) -> AcceptedEdit | None:
        """Return the edit that produced `revision`, or None."""
        return next((e for e in reversed(self._edits) if e.revision == revision), None)

    def latest(self, count: int) -> tuple[AcceptedEdit, ...]:
        """Return the last `count` edits, oldest first."""
        return tuple(self._edits[-count:])

    def table_at(self, table: Table, revision: int) -> Table | None:
        """Return `table` as of `revision`, or None if not all edits since then are kept."""
        newer = self.edits_since(revision)
        if newer is None or (not newer and revision != table.revision):
            return None
        for edit in reversed(newer):
            table = table.changed(edit.undo, edit.revision - 1)
        return table


def merge(table: Table, history: History, edit: Edit) -> Table | Conflict | Invalid:
    """Apply `edit` to `table`, whose revision may be higher than the edit's base.

    Cells that only other edits changed since the base keep their text. A cell that `edit` and
    another edit set to different texts is a conflict, as is a row that one of them removed and
    the other changed.

    Returns
    -------
    Table or Conflict or Invalid
        The valid table after the edit; otherwise the conflict or every fault.
    """
    if edit.base_revision > table.revision:
        return Conflict(
            f"revision {edit.base_revision} does not exist; the newest is {table.revision}"
        )
    newer = history.edits_since(edit.base_revision) if edit.base_revision < table.revision else ()
    if newer is None:
        return Conflict(
            f"revision {edit.base_revision} is too old to merge from; read the table again"
        )
    conflicting = _conflicting_places(edit.changes, [c for e in newer for c in e.changes])
    if conflicting:
        return Conflict("changed by another operator since the base revision", conflicting)
    merged = table.changed(edit.changes, table.revision + 1)
    view = merged.view()
    return view if isinstance(view, Invalid) else merged


def _conflicting_places(mine: Sequence[Change], theirs: Sequence[Change]) -> tuple[str, ...]:
    theirs_by_row: dict[RowKey, list[Change]] = {}
    for change in theirs:
        theirs_by_row.setdefault(change.key, []).append(change)
    places = []
    for change in mine:
        for other in theirs_by_row.get(change.key, ()):
            same_cell = change.column == other.column
            whole_row = change.column is None or other.column is None
            if (same_cell or whole_row) and change != other:
                places.append(change.place)
                break
    return tuple(dict.fromkeys(places))
