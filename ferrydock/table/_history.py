"""Accepted edits in their order, and the merge of a new edit with those it did not see."""

from collections.abc import Sequence
from dataclasses import dataclass

import orjson
import xxhash

from ..outcomes import Conflict, Invalid
from ._table import Change, RowKey, Table

__all__ = ["AcceptedEdit", "Edit", "History", "merge", "next_lineage"]

FIRST_LINEAGE = "0" * 16


@dataclass(frozen=True, slots=True)
class Edit:
    """A wish of an operator.

    Attributes
    ----------
    edit_id : str
        Drawn by the operator's side; the same wish sent again carries the same id.
    base_revision : int
        Revision of the table that the operator looked at.
    changes : tuple of Change
        What shall change.
    operator : str
        Who asks, for the log.
    """

    edit_id: str
    base_revision: int
    changes: tuple[Change, ...]
    operator: str = ""


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """An edit in force, with what undoes it.

    Attributes
    ----------
    revision : int
        The table's revision after it.
    lineage : str
        Digest over this edit and all before it; tells two histories apart.
    wall_s : float
        When it was accepted, for people.
    """

    revision: int
    edit_id: str
    lineage: str
    operator: str
    wall_s: float
    changes: tuple[Change, ...]
    undo: tuple[Change, ...]

    def to_json(self) -> bytes:
        """Return the form that is stored and relayed."""
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
        """Read what `to_json` wrote."""
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
    """Return the digest of a history that ends with this edit."""
    digest = xxhash.xxh3_64(lineage.encode())
    digest.update(edit_id.encode())
    digest.update(orjson.dumps([_change_to_list(c) for c in changes]))
    return digest.hexdigest()


class History:
    """The last accepted edits, oldest first, without gaps.

    Parameters
    ----------
    limit : int, default=512
        How many edits are kept.
    """

    __slots__ = ("_edits", "limit")

    def __init__(self, limit: int = 512):
        self.limit = limit
        self._edits: list[AcceptedEdit] = []

    def append(self, edit: AcceptedEdit) -> None:
        """Add the newest edit; a history with a gap starts anew."""
        if self._edits and self._edits[-1].revision + 1 != edit.revision:
            self._edits.clear()
        self._edits.append(edit)
        del self._edits[: -self.limit]

    def since(self, revision: int) -> tuple[AcceptedEdit, ...] | None:
        """Return the edits after `revision`, or None if they are not all kept."""
        newer = tuple(edit for edit in self._edits if edit.revision > revision)
        if newer and newer[0].revision != revision + 1:
            return None
        return newer

    def find(self, edit_id: str) -> AcceptedEdit | None:
        """Return the edit with this id, or None."""
        return next((e for e in reversed(self._edits) if e.edit_id == edit_id), None)

    def at(self, revision: int) -> AcceptedEdit | None:
        """Return the edit that made `revision`, or None."""
        return next((e for e in reversed(self._edits) if e.revision == revision), None)

    def latest(self, count: int) -> tuple[AcceptedEdit, ...]:
        """Return the newest `count` edits, oldest first."""
        return tuple(self._edits[-count:])

    def table_at(self, table: Table, revision: int) -> Table | None:
        """Return an earlier revision of `table`, or None if it lies too far back."""
        newer = self.since(revision)
        if newer is None or (not newer and revision != table.revision):
            return None
        for edit in reversed(newer):
            table = table.changed(edit.undo, edit.revision - 1)
        return table


def merge(table: Table, history: History, edit: Edit) -> Table | Conflict | Invalid:
    """Apply `edit` to `table`, which may have moved on since the edit's base.

    Cells that others changed meanwhile stay as they are. A cell that both changed is a conflict,
    as is a row that one changed and the other removed.

    Returns
    -------
    Table or Conflict or Invalid
        The table after the edit, valid as a whole; or what stands against it.
    """
    if edit.base_revision > table.revision:
        return Conflict(
            f"revision {edit.base_revision} does not exist; the newest is {table.revision}"
        )
    missed = history.since(edit.base_revision) if edit.base_revision < table.revision else ()
    if missed is None:
        return Conflict(
            f"revision {edit.base_revision} is too old to merge from; read the table again"
        )
    contested = _contested(edit.changes, [c for m in missed for c in m.changes])
    if contested:
        return Conflict("changed by another operator since the base revision", contested)
    merged = table.changed(edit.changes, table.revision + 1)
    view = merged.view()
    return view if isinstance(view, Invalid) else merged


def _contested(mine: Sequence[Change], theirs: Sequence[Change]) -> tuple[str, ...]:
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
