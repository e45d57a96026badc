"""The table as rows of text cells at one revision, and its validation."""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..invariants import require
from ..outcomes import Fault, Invalid
from ._columns import SHEETS, Sheet, is_row_name
from ._view import ROW_TYPES, TableView

__all__ = ["SCHEMA_VERSION", "Change", "RowKey", "Table"]

SCHEMA_VERSION = 1
_PLAIN_URL = re.compile(r"http://(\d{1,3}\.){3}\d{1,3}:\d{1,5}/?")


@dataclass(frozen=True, slots=True, order=True)
class RowKey:
    """Identifies a row by its sheet and its name."""

    sheet: str
    row: str

    def __str__(self):
        return f"{self.sheet}/{self.row}"


@dataclass(frozen=True, slots=True)
class Change:
    """Sets or empties one cell, or creates or removes a row.

    Attributes
    ----------
    key : RowKey
        Row to change.
    column : str or None
        Column of the cell; None for the row itself.
    text : str or None
        Text of the cell; None empties it. For a row, None removes it and any text creates it if
        it is absent.
    """

    key: RowKey
    column: str | None
    text: str | None

    @property
    def place(self) -> str:
        """``sheet/row`` or ``sheet/row/column``."""
        return str(self.key) if self.column is None else f"{self.key}/{self.column}"


class Table:
    """Rows of text cells at one revision. A table is immutable: an edit produces a new one.

    Parameters
    ----------
    rows : mapping of RowKey to mapping of str to str
        Cells that are filled, by column. Columns that this version does not declare are kept.
    revision : int, default=0
        Number of edits accepted so far.

    Examples
    --------
    >>> key = RowKey("halls", "hall-a")
    >>> table = Table({}).changed([Change(key, "region", "north")], revision=1)
    >>> table.text(key, "region"), table.text(key, "serving")
    ('north', 'true')
    """

    __slots__ = ("_view", "revision", "rows")

    def __init__(self, rows: Mapping[RowKey, Mapping[str, str]], revision: int = 0):
        self.rows = rows
        self.revision = revision
        self._view: TableView | None = None

    def text(self, key: RowKey, column: str) -> str | None:
        """Return the text of a cell, or its column's default, or None if there is neither."""
        cells = self.rows.get(key)
        if cells is None:
            return None
        if column in cells:
            return cells[column]
        declared = SHEETS[key.sheet].column(column) if key.sheet in SHEETS else None
        return declared.default if declared else None

    def filled(self, key: RowKey, column: str) -> str:
        """Return the text of a cell, or its column's default, one of which must exist."""
        return require(self.text(key, column), f"{key}/{column}")

    def changed(self, changes: Iterable[Change], revision: int) -> "Table":
        """Return the table after `changes`, with the given revision."""
        rows = {key: dict(cells) for key, cells in self.rows.items()}
        for change in changes:
            if change.column is None:
                if change.text is None:
                    rows.pop(change.key, None)
                else:
                    rows.setdefault(change.key, {})
            elif change.text is None:
                rows.setdefault(change.key, {}).pop(change.column, None)
            else:
                rows.setdefault(change.key, {})[change.column] = change.text
        return Table(rows, revision)

    def inverse(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Return the changes that revert `changes` when applied after them."""
        undo: list[Change] = []
        changed_keys = dict.fromkeys(change.key for change in changes)
        for key in changed_keys:
            undo.append(Change(key, None, None))
            if key in self.rows:
                undo.append(Change(key, None, ""))
                undo += [Change(key, c, text) for c, text in self.rows[key].items()]
        return tuple(undo)

    def faults(self) -> tuple[Fault, ...]:
        """Return every fault of the table, each with its sheet, row and cell.

        References between rows are checked only if each row is valid by itself.
        """
        found: list[Fault] = []
        for key in sorted(self.rows):
            found += _row_faults(key, self.rows[key])
        if not found:
            found += _reference_faults(self)
        return tuple(found)

    def view(self) -> TableView | Invalid:
        """Return the typed rows, or every fault of the table."""
        if self._view is not None:
            return self._view
        faults = self.faults()
        if faults:
            return Invalid(faults)
        self._view = _build_view(self)
        return self._view


def _row_faults(key: RowKey, cells: Mapping[str, str]) -> list[Fault]:
    sheet = SHEETS.get(key.sheet)
    if sheet is None:
        known = ", ".join(SHEETS)
        return [Fault(str(key), f"there is no sheet {key.sheet!r}; the sheets are {known}")]
    faults = []
    if not is_row_name(key.row):
        faults.append(
            Fault(str(key), "a row's name is 1 to 63 letters, digits, '.', '_', ':', '-'")
        )
    if sheet.only_row is not None and key.row != sheet.only_row:
        faults.append(Fault(str(key), f"the only row of this sheet is {sheet.only_row!r}"))
    for column in sheet.columns:
        text = cells.get(column.name, column.default)
        place = f"{key}/{column.name}"
        if text is None or (column.default is None and not text.strip()):
            faults.append(Fault(place, f"must be filled: {column.allowed}"))
            continue
        try:
            column.parse(text)
        except ValueError as error:
            faults.append(Fault(place, str(error)))
    return faults


def _reference_faults(table: Table) -> list[Fault]:
    """Return the faults in how rows refer to each other.

    These are names of rows that do not exist, two shares for the same team and model, and targets
    without the addresses or boxes that their kind needs.
    """
    faults = []
    pairs: dict[tuple[str, str], str] = {}
    for key in sorted(k for k in table.rows if k.sheet == "shares"):
        pair: list[str] = []
        for column, sheet in (("team", "teams"), ("model", "models")):
            name = table.filled(key, column).strip()
            pair.append(name)
            if RowKey(sheet, name) not in table.rows:
                faults.append(Fault(f"{key}/{column}", f"there is no row {name!r} in {sheet!r}"))
        other = pairs.setdefault((pair[0], pair[1]), key.row)
        if other != key.row:
            faults.append(Fault(str(key), f"row {other!r} is for the same team and model"))
    for key in sorted(k for k in table.rows if k.sheet == "targets"):
        plain = table.filled(key, "kind").strip() == "plain_service"
        needed = "urls" if plain else "boxes"
        if not table.filled(key, needed).strip():
            faults.append(Fault(f"{key}/{needed}", "must be filled for this kind of target"))
    for key in sorted(k for k in table.rows if k.sheet == "models"):
        for hall in table.filled(key, "halls").split():
            if RowKey("halls", hall) not in table.rows:
                faults.append(Fault(f"{key}/halls", f"there is no row {hall!r} in 'halls'"))
    return faults + _route_faults(table)


def _route_faults(table: Table) -> list[Fault]:
    """Return the faults of routes.

    These are two routes for the same host and path prefix, and back ends that are not plain
    services with addresses http://IP:PORT.
    """
    faults = []
    places: dict[tuple[str, str], str] = {}
    for key in sorted(k for k in table.rows if k.sheet == "routes"):
        place = (table.filled(key, "host").strip(), table.filled(key, "path_prefix").strip())
        other = places.setdefault(place, key.row)
        if other != key.row:
            faults.append(Fault(str(key), f"row {other!r} is for the same host and prefix"))
        for word in table.filled(key, "back_ends").split():
            name = word.partition("=")[0]
            target = RowKey("targets", name)
            cell = f"{key}/back_ends"
            if target not in table.rows:
                faults.append(Fault(cell, f"there is no row {name!r} in 'targets'"))
            elif table.filled(target, "kind").strip() != "plain_service":
                faults.append(Fault(cell, f"{name!r} is not a plain service"))
            elif not all(map(_PLAIN_URL.fullmatch, table.filled(target, "urls").split())):
                problem = f"addresses of {name!r} must be http://IP:PORT without a path"
                faults.append(Fault(cell, problem))
    return faults


def _build_view(table: Table) -> TableView:
    rows: dict[str, dict] = {name: {} for name in SHEETS}
    for key, cells in table.rows.items():
        sheet = SHEETS[key.sheet]
        rows[key.sheet][key.row] = _typed_row(sheet, key.row, cells)
    site = rows.pop("site").get("site") or _typed_row(SHEETS["site"], "site", {})
    return TableView(table.revision, site, **rows)


def _typed_row(sheet: Sheet, name: str, cells: Mapping[str, str]):
    values = {c.name: c.parse(require(cells.get(c.name, c.default), c.name)) for c in sheet.columns}
    if sheet.only_row is None:
        values["name"] = name
    return ROW_TYPES[sheet.name](**values)
