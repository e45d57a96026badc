"""Reads and writes the table as CSV, one file per sheet, for editing in a spreadsheet."""

import csv
import io
from collections.abc import Mapping

from ..outcomes import Fault, Invalid
from ._columns import SHEETS
from ._table import Change, RowKey, Table

__all__ = ["changes_between", "read_sheets", "write_sheet"]

NAME_COLUMN = "name"


def write_sheet(table: Table, sheet: str) -> str:
    """Return the CSV text of one sheet; columns that this version does not declare come last."""
    declared = [column.name for column in SHEETS[sheet].columns]
    rows = {key.row: cells for key, cells in sorted(table.rows.items()) if key.sheet == sheet}
    unknown = sorted({c for cells in rows.values() for c in cells} - set(declared))
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow([NAME_COLUMN, *declared, *unknown])
    for name, cells in rows.items():
        writer.writerow([name, *(cells.get(column, "") for column in declared + unknown)])
    return out.getvalue()


def read_sheets(texts: Mapping[str, str]) -> Table | Invalid:
    """Parse the CSV texts of sheets, keyed by sheet name; empty cells are left out.

    Returns
    -------
    Table or Invalid
        A table at revision 0 with the given sheets, or every fault found in the texts.
    """
    rows: dict[RowKey, dict[str, str]] = {}
    faults: list[Fault] = []
    for sheet, text in texts.items():
        faults += _read_sheet(sheet, text, rows)
    return Invalid(tuple(faults)) if faults else Table(rows)


def _read_sheet(sheet: str, text: str, rows: dict[RowKey, dict[str, str]]) -> list[Fault]:
    if sheet not in SHEETS:
        return [Fault(f"{sheet}.csv", f"there is no sheet {sheet!r}; they are {', '.join(SHEETS)}")]
    try:
        lines = list(csv.reader(io.StringIO(text.removeprefix("\ufeff"), newline=""), strict=True))
    except csv.Error as error:
        return [Fault(f"{sheet}.csv", f"is not CSV: {error}")]
    lines = [line for line in lines if any(cell.strip() for cell in line)]
    if not lines:
        return [Fault(f"{sheet}.csv", "is empty; it needs at least the line of column names")]
    header = [name.strip() for name in lines[0]]
    if header[0] != NAME_COLUMN:
        return [Fault(f"{sheet}.csv", f"the first column must be {NAME_COLUMN!r}")]
    if len(set(header)) != len(header) or "" in header:
        return [Fault(f"{sheet}.csv", "two columns have the same name, or one has none")]
    faults = []
    for line in lines[1:]:
        key = RowKey(sheet, line[0].strip())
        if len(line) > len(header):
            faults.append(Fault(str(key), "has more cells than there are columns"))
        elif key in rows:
            faults.append(Fault(str(key), "stands twice"))
        else:
            cells = zip(header[1:], line[1:], strict=False)
            rows[key] = {name: cell.strip() for name, cell in cells if cell.strip()}
    return faults


def changes_between(before: Table, after: Table, sheets: set[str]) -> tuple[Change, ...]:
    """Return the changes that turn `before` into `after`, limited to the given sheets."""
    changes: list[Change] = []
    for key in sorted(before.rows.keys() | after.rows.keys()):
        if key.sheet not in sheets:
            continue
        if key not in after.rows:
            changes.append(Change(key, None, None))
            continue
        old, new = before.rows.get(key), after.rows[key]
        if old is None:
            changes.append(Change(key, None, ""))
        old = old or {}
        for column in sorted(old.keys() | new.keys()):
            if old.get(column) != new.get(column):
                changes.append(Change(key, column, new.get(column)))
    return tuple(changes)
