"""Holds the table in force on one daemon, whose revision never decreases."""

import logging
from collections.abc import Callable, Iterable
from enum import StrEnum

import orjson

from ..invariants import BrokenInvariant
from ..logs import log_event
from ..outcomes import Invalid
from ._history import LINEAGE_WITHOUT_EDITS, AcceptedEdit, History, next_lineage
from ._table import RowKey, Table
from ._view import TableView

__all__ = ["OfferResult", "TableCopy", "TableKeeper"]

_LOG = logging.getLogger("ferrydock.table")


class OfferResult(StrEnum):
    """Result of offering a complete table or edits to a `TableKeeper`.

    Attributes
    ----------
    TAKEN
        The offered table or edits are in force.
    KNOWN
        They were already in force.
    GAP
        Edits between the revision in force and the offered ones are missing.
    OLDER
        The offered table has a lower revision than the one in force.
    DIVERGED
        The offered table or edits belong to another history than the table in force.
    INVALID
        This version cannot read the offered rows.
    """

    TAKEN = "taken"
    KNOWN = "known"
    GAP = "gap"
    OLDER = "older"
    DIVERGED = "diverged"
    INVALID = "invalid"


class TableCopy:
    """A complete table with its lineage and last edits, as sent to a daemon that lacks edits."""

    __slots__ = ("edits", "lineage", "table")

    def __init__(self, table: Table, lineage: str, edits: tuple[AcceptedEdit, ...]):
        self.table = table
        self.lineage = lineage
        self.edits = edits

    def to_json(self) -> bytes:
        """Return the JSON that is sent to other daemons."""
        rows = [[k.sheet, k.row, dict(cells)] for k, cells in self.table.rows.items()]
        edits = [e.to_json().decode() for e in self.edits]
        return orjson.dumps(
            {"revision": self.table.revision, "lineage": self.lineage, "rows": rows, "edits": edits}
        )

    @classmethod
    def from_json(cls, raw: bytes) -> "TableCopy":
        """Parse the JSON that `to_json` returns."""
        fields = orjson.loads(raw)
        rows = {RowKey(sheet, row): cells for sheet, row, cells in fields["rows"]}
        edits = tuple(AcceptedEdit.from_json(e.encode()) for e in fields["edits"])
        return cls(Table(rows, fields["revision"]), fields["lineage"], edits)


class TableKeeper:
    """Holds the most recent table that this daemon received, and refuses older ones.

    Parameters
    ----------
    on_change : callable, optional
        Called with the typed rows after each change.
    """

    __slots__ = ("_listeners", "history", "lineage", "loaded", "table", "view")

    def __init__(self, on_change: Callable[[TableView], None] | None = None):
        self.table = Table({})
        self.lineage = LINEAGE_WITHOUT_EDITS
        self.history = History()
        self.view: TableView | None = None
        self.loaded = False
        self._listeners: list[Callable[[TableView], None]] = [on_change] if on_change else []

    @property
    def revision(self) -> int:
        """Revision of the table in force."""
        return self.table.revision

    def add_listener(self, on_change: Callable[[TableView], None]) -> None:
        """Register `on_change`, which is called with the typed rows after each change."""
        self._listeners.append(on_change)

    def copy(self) -> TableCopy:
        """Return the complete table, for a daemon that lacks edits."""
        return TableCopy(self.table, self.lineage, self.history.latest(self.history.limit))

    def offer_copy(self, copy: TableCopy) -> OfferResult:
        """Put a complete table in force unless it is older than, or diverged from, the current one.

        If the copy holds all edits since the revision in force, only these are applied.
        """
        if not self.loaded:
            return self._replace_table(copy)
        if copy.table.revision < self.revision:
            return OfferResult.OLDER
        if copy.table.revision == self.revision:
            return (
                OfferResult.KNOWN
                if copy.lineage == self.lineage
                else self._refuse_diverged(copy.lineage)
            )
        known = next((e for e in copy.edits if e.revision == self.revision), None)
        if known is not None and known.lineage != self.lineage:
            return self._refuse_diverged(known.lineage)
        newer = [e for e in copy.edits if e.revision > self.revision]
        if newer and newer[0].revision == self.revision + 1:
            return self.offer_edits(newer)
        return self._replace_table(copy)

    def offer_edits(self, edits: Iterable[AcceptedEdit]) -> OfferResult:
        """Apply accepted edits, oldest first; skip those that are already in force."""
        outcome = OfferResult.KNOWN
        for edit in edits:
            if edit.revision <= self.revision:
                continue
            if not self.loaded or edit.revision != self.revision + 1:
                return OfferResult.GAP
            lineage = next_lineage(self.lineage, edit.edit_id, edit.changes)
            if lineage != edit.lineage:
                return self._refuse_diverged(edit.lineage)
            changed = self.table.changed(edit.changes, edit.revision)
            if isinstance(changed.view(), Invalid):
                return self._refuse_invalid(changed)
            self.table, self.lineage = changed, lineage
            self.history.append(edit)
            outcome = OfferResult.TAKEN
        if outcome is OfferResult.TAKEN:
            self._notify_listeners()
        return outcome

    def _replace_table(self, copy: TableCopy) -> OfferResult:
        if isinstance(copy.table.view(), Invalid):
            return self._refuse_invalid(copy.table)
        self.table, self.lineage = copy.table, copy.lineage
        self.history = History()
        for edit in copy.edits:
            self.history.append(edit)
        self.loaded = True
        self._notify_listeners()
        return OfferResult.TAKEN

    def _notify_listeners(self) -> None:
        view = self.table.view()
        if isinstance(view, Invalid):
            raise BrokenInvariant(f"an invalid table was put in force: {view.reason}")
        self.view = view
        log_event(_LOG, logging.INFO, "table_in_force", revision=self.revision)
        for listener in self._listeners:
            listener(view)

    def _refuse_diverged(self, lineage: str) -> OfferResult:
        log_event(
            _LOG,
            logging.ERROR,
            "table_diverged",
            revision=self.revision,
            lineage=self.lineage,
            offered=lineage,
        )
        return OfferResult.DIVERGED

    def _refuse_invalid(self, table: Table) -> OfferResult:
        """Log that this version cannot read the offered rows; the table in force stays."""
        view = table.view()
        why = view.reason if isinstance(view, Invalid) else "readable"
        log_event(_LOG, logging.ERROR, "table_not_readable", revision=table.revision, why=why)
        return OfferResult.INVALID
