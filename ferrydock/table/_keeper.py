"""The table in force on one daemon. Its revision only rises."""

import logging
from collections.abc import Callable, Iterable
from enum import StrEnum

import orjson

from ..invariants import BrokenInvariant
from ..logs import log_event
from ..outcomes import Invalid
from ._history import FIRST_LINEAGE, AcceptedEdit, History, next_lineage
from ._table import RowKey, Table
from ._view import TableView

__all__ = ["Offer", "TableCopy", "TableKeeper"]

_LOG = logging.getLogger("ferrydock.table")


class Offer(StrEnum):
    """What became of a table or of edits that were offered."""

    TAKEN = "taken"
    KNOWN = "known"
    GAP = "gap"
    OLDER = "older"
    DIVERGED = "diverged"
    INVALID = "invalid"


class TableCopy:
    """A whole table with its lineage and newest edits, as it is relayed to a newcomer."""

    __slots__ = ("edits", "lineage", "table")

    def __init__(self, table: Table, lineage: str, edits: tuple[AcceptedEdit, ...]):
        self.table = table
        self.lineage = lineage
        self.edits = edits

    def to_json(self) -> bytes:
        """Return the form that is relayed."""
        rows = [[k.sheet, k.row, dict(cells)] for k, cells in self.table.rows.items()]
        edits = [e.to_json().decode() for e in self.edits]
        return orjson.dumps(
            {"revision": self.table.revision, "lineage": self.lineage, "rows": rows, "edits": edits}
        )

    @classmethod
    def from_json(cls, raw: bytes) -> "TableCopy":
        """Read what `to_json` wrote."""
        fields = orjson.loads(raw)
        rows = {RowKey(sheet, row): cells for sheet, row, cells in fields["rows"]}
        edits = tuple(AcceptedEdit.from_json(e.encode()) for e in fields["edits"])
        return cls(Table(rows, fields["revision"]), fields["lineage"], edits)


class TableKeeper:
    """Holds the newest table this daemon has seen, and refuses everything older.

    Parameters
    ----------
    on_change : callable, optional
        Is given the typed rows after each change.
    """

    __slots__ = ("_listeners", "history", "lineage", "loaded", "table", "view")

    def __init__(self, on_change: Callable[[TableView], None] | None = None):
        self.table = Table({})
        self.lineage = FIRST_LINEAGE
        self.history = History()
        self.view: TableView | None = None
        self.loaded = False
        self._listeners: list[Callable[[TableView], None]] = [on_change] if on_change else []

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.table.revision

    def listen(self, on_change: Callable[[TableView], None]) -> None:
        """Have `on_change` called with the typed rows after each change."""
        self._listeners.append(on_change)

    def copy(self) -> TableCopy:
        """Return the whole table for a newcomer."""
        return TableCopy(self.table, self.lineage, self.history.latest(self.history.limit))

    def offer_copy(self, copy: TableCopy) -> Offer:
        """Take a whole table if it continues the one in force."""
        if not self.loaded:
            return self._take(copy)
        if copy.table.revision < self.revision:
            return Offer.OLDER
        if copy.table.revision == self.revision:
            return Offer.KNOWN if copy.lineage == self.lineage else self._diverged(copy.lineage)
        known = next((e for e in copy.edits if e.revision == self.revision), None)
        if known is not None and known.lineage != self.lineage:
            return self._diverged(known.lineage)
        newer = [e for e in copy.edits if e.revision > self.revision]
        if newer and newer[0].revision == self.revision + 1:
            return self.offer_edits(newer)
        return self._take(copy)

    def offer_edits(self, edits: Iterable[AcceptedEdit]) -> Offer:
        """Take accepted edits, oldest first; those already in force are passed over."""
        outcome = Offer.KNOWN
        for edit in edits:
            if edit.revision <= self.revision:
                continue
            if not self.loaded or edit.revision != self.revision + 1:
                return Offer.GAP
            lineage = next_lineage(self.lineage, edit.edit_id, edit.changes)
            if lineage != edit.lineage:
                return self._diverged(edit.lineage)
            changed = self.table.changed(edit.changes, edit.revision)
            if isinstance(changed.view(), Invalid):
                return self._invalid(changed)
            self.table, self.lineage = changed, lineage
            self.history.append(edit)
            outcome = Offer.TAKEN
        if outcome is Offer.TAKEN:
            self._announce()
        return outcome

    def _take(self, copy: TableCopy) -> Offer:
        if isinstance(copy.table.view(), Invalid):
            return self._invalid(copy.table)
        self.table, self.lineage = copy.table, copy.lineage
        self.history = History()
        for edit in copy.edits:
            self.history.append(edit)
        self.loaded = True
        self._announce()
        return Offer.TAKEN

    def _announce(self) -> None:
        view = self.table.view()
        if isinstance(view, Invalid):
            raise BrokenInvariant(f"a table was taken unread: {view.reason}")
        self.view = view
        log_event(_LOG, logging.INFO, "table_in_force", revision=self.revision)
        for listener in self._listeners:
            listener(view)

    def _diverged(self, lineage: str) -> Offer:
        log_event(
            _LOG,
            logging.ERROR,
            "table_diverged",
            revision=self.revision,
            lineage=self.lineage,
            offered=lineage,
        )
        return Offer.DIVERGED

    def _invalid(self, table: Table) -> Offer:
        """Refuse rows that this version cannot read, and stay on the table in force."""
        view = table.view()
        why = view.reason if isinstance(view, Invalid) else "readable"
        log_event(_LOG, logging.ERROR, "table_not_readable", revision=table.revision, why=why)
        return Offer.INVALID
