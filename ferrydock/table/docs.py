"""Generates the operators' page on the table from its declaration, and prints it as a script."""

from ._columns import SHEETS, Column

__all__ = ["table_page"]

_INTRO = """# The table

Operators drive ferrydock by editing this table. Each sheet is a CSV file after
`ferrydock table export DIR`. An edit is checked as a whole before it is accepted: a fault is
named with sheet, row and cell, and nothing is written. An empty cell takes the default.

This page is made from the declaration in the code: `make table-docs`.
"""


def _column_line(column: Column) -> str:
    default = "must be filled" if column.default is None else f"`{column.default}`"
    if column.default == "":
        default = "empty"
    allowed = column.allowed.replace("|", "\\|")
    return f"| `{column.name}` | {allowed} | {default} | {column.doc} |"


def table_page() -> str:
    """Return the page as Markdown."""
    parts = [_INTRO]
    for sheet in SHEETS.values():
        parts.append(f"## `{sheet.name}`\n\nA row is {sheet.row_doc}.\n")
        parts.append("| column | allowed | default | meaning |\n| --- | --- | --- | --- |")
        parts += [_column_line(column) for column in sheet.columns]
        parts.append("")
    return "\n".join(parts)


if __name__ == "__main__":
    print(table_page(), end="")
