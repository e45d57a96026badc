"""The verbs that show and edit the operators' table: ``table show``, ``table set`` and others."""

import asyncio
import getpass
import sys
import time
import uuid
from pathlib import Path

from ..outcomes import Conflict, Invalid, Unavailable, Unknown
from ..table import (
    SHEETS,
    Change,
    Edit,
    RowKey,
    Table,
    changes_between,
    read_sheets,
    write_sheet,
)
from ._client import EditAccepted, set_cells
from ._verbs import Context, ExitStatus, finish, register_verb

__all__ = []

REVISION_FILE = "revision.txt"
STATUS_POLL_PAUSE_S = 0.3
# Age of the last status of a hall above which `table watch` shows the hall as cut off.
HALL_CUT_OFF_AFTER_S = 15.0


def _print_failure(outcome) -> ExitStatus:
    """Print the reason of a failure and return the exit status for it."""
    if isinstance(outcome, Invalid):
        for fault in outcome.faults:
            print(f"  {fault}", file=sys.stderr)
        return finish(ExitStatus.BAD_INPUT, f"{len(outcome.faults)} faults; nothing was written")
    if isinstance(outcome, Conflict):
        for cell in outcome.cells:
            print(f"  {cell}", file=sys.stderr)
        return finish(ExitStatus.CONFLICT, f"{outcome.reason}; nothing was written")
    if isinstance(outcome, Unknown):
        return finish(ExitStatus.UNKNOWN, f"{outcome.reason}; look at `ferrydock table log`")
    assert isinstance(outcome, Unavailable)
    return finish(ExitStatus.UNREACHABLE, f"{outcome.reason}; nothing was written")


def _refuse_unknown_sheet(sheet: str) -> ExitStatus | None:
    """Print a message and return an exit status if there is no such sheet; None otherwise."""
    if sheet in SHEETS:
        return None
    return finish(ExitStatus.BAD_INPUT, f"sheet {sheet!r}: the sheets are {', '.join(SHEETS)}")


@register_verb("table show", "[SHEET]", "Print the table, or one sheet of it.")
async def show(context: Context, args: list[str]) -> ExitStatus:
    """Print the filled cells of one sheet or of all."""
    if len(args) > 1:
        return finish(ExitStatus.BAD_INPUT, "table show takes at most one SHEET")
    if args and (refusal := _refuse_unknown_sheet(args[0])) is not None:
        return refusal
    table = await context.client.table()
    if not isinstance(table, Table):
        return _print_failure(table)
    for sheet in args or list(SHEETS):
        _print_sheet(table, sheet)
    return finish(ExitStatus.DONE, f"revision {table.revision}")


def _print_sheet(table: Table, sheet: str) -> None:
    rows = {key.row: cells for key, cells in sorted(table.rows.items()) if key.sheet == sheet}
    print(f"[{sheet}] {len(rows)} rows")
    for row, cells in rows.items():
        print(f"  {row}")
        for column, text in sorted(cells.items()):
            print(f"    {column} = {text}")


@register_verb("table get", "SHEET ROW CELL", "Print one cell; an empty one shows its default.")
async def get(context: Context, args: list[str]) -> ExitStatus:
    """Print the text of one cell, or its default if it is empty."""
    if len(args) != 3:
        return finish(ExitStatus.BAD_INPUT, "table get takes SHEET ROW CELL")
    sheet, row, column = args
    if (refusal := _refuse_unknown_sheet(sheet)) is not None:
        return refusal
    table = await context.client.table()
    if not isinstance(table, Table):
        return _print_failure(table)
    key = RowKey(sheet, row)
    if key not in table.rows:
        return finish(ExitStatus.BAD_INPUT, f"{key}: there is no such row")
    text = table.text(key, column)
    if text is None:
        return finish(ExitStatus.BAD_INPUT, f"{key}/{column}: there is no such cell")
    print(text)
    return ExitStatus.DONE


@register_verb(
    "table set",
    "SHEET ROW CELL=VALUE ... [--expect_revision=N]",
    "Fill cells of a row, making it where it is absent. An empty VALUE empties the cell.",
)
async def set_(context: Context, args: list[str]) -> ExitStatus:
    """Set cells of one row, which is created if it is absent."""
    if len(args) < 3:
        return finish(ExitStatus.BAD_INPUT, "table set takes SHEET ROW CELL=VALUE ...")
    sheet, row, *assignments = args
    if (refusal := _refuse_unknown_sheet(sheet)) is not None:
        return refusal
    cells = {}
    for assignment in assignments:
        column, equals, text = assignment.partition("=")
        if not equals:
            return finish(ExitStatus.BAD_INPUT, f"{assignment!r} is not CELL=VALUE")
        if SHEETS[sheet].column(column) is None:
            return finish(ExitStatus.BAD_INPUT, f"{sheet}/{row}/{column}: there is no such column")
        cells[column] = text
    table = await context.client.table()
    if not isinstance(table, Table):
        return _print_failure(table)
    key = RowKey(sheet, row)
    changes = set_cells(key, cells, key in table.rows)
    return await _commit(context, changes, _base_revision(context, table))


@register_verb("table delete", "SHEET ROW [--expect_revision=N]", "Remove a row.")
async def delete(context: Context, args: list[str]) -> ExitStatus:
    """Remove one row."""
    if len(args) != 2:
        return finish(ExitStatus.BAD_INPUT, "table delete takes SHEET ROW")
    if (refusal := _refuse_unknown_sheet(args[0])) is not None:
        return refusal
    table = await context.client.table()
    if not isinstance(table, Table):
        return _print_failure(table)
    key = RowKey(*args)
    if key not in table.rows:
        return finish(ExitStatus.BAD_INPUT, f"{key}: there is no such row")
    return await _commit(context, (Change(key, None, None),), _base_revision(context, table))


def _base_revision(context: Context, table: Table) -> int:
    """Return the revision that an edit is based on: that of the flag, else that of `table`."""
    expected = context.flags.expect_revision
    return table.revision if expected is None else expected


async def _commit(
    context: Context, changes: tuple[Change, ...], base: int, dry_run: bool = False
) -> ExitStatus:
    if not changes:
        return finish(ExitStatus.DONE, "nothing to change")
    edit = Edit(uuid.uuid4().hex, base, changes, _operator_name())
    outcome = await context.client.send_edit(edit, dry_run)
    if not isinstance(outcome, EditAccepted):
        return _print_failure(outcome)
    if dry_run:
        return finish(ExitStatus.DONE, f"{len(changes)} changes would be accepted; nothing written")
    return finish(ExitStatus.DONE, f"revision {outcome.revision}, {len(changes)} changes")


def _operator_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "operator"


@register_verb("table export", "DIR", "Write the table as CSV files, one a sheet.")
async def export(context: Context, args: list[str]) -> ExitStatus:
    """Write one CSV file per sheet, and the revision of the table to `REVISION_FILE`."""
    if len(args) != 1:
        return finish(ExitStatus.BAD_INPUT, "table export takes DIR")
    table = await context.client.table()
    if not isinstance(table, Table):
        return _print_failure(table)
    directory = Path(args[0])
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for sheet in SHEETS:
            (directory / f"{sheet}.csv").write_text(write_sheet(table, sheet), encoding="utf-8")
        (directory / REVISION_FILE).write_text(f"{table.revision}\n", encoding="utf-8")
    except OSError as error:
        return finish(ExitStatus.BAD_INPUT, f"DIR {directory}: {error.strerror}")
    return finish(ExitStatus.DONE, f"revision {table.revision} in {directory}")


@register_verb(
    "table apply",
    "DIR [--dry_run]",
    "Make the table what the CSV files say, merged with edits made since they were exported.",
)
async def apply(context: Context, args: list[str]) -> ExitStatus:
    """Commit the differences between the CSV files and the table at the exported revision."""
    if len(args) != 1:
        return finish(ExitStatus.BAD_INPUT, "table apply takes DIR")
    directory = Path(args[0])
    texts = _read_files(directory)
    if isinstance(texts, str):
        return finish(ExitStatus.BAD_INPUT, texts)
    wanted = read_sheets(texts)
    if isinstance(wanted, Invalid):
        return _print_failure(wanted)
    base = _exported_revision(directory)
    if isinstance(base, str):
        return finish(ExitStatus.BAD_INPUT, base)
    before = await context.client.table(base)
    if not isinstance(before, Table):
        return _print_failure(before)
    changes = changes_between(before, wanted, set(texts))
    return await _commit(context, changes, before.revision, context.flags.dry_run)


def _read_files(directory: Path) -> dict[str, str] | str:
    """Return the texts of the CSV files by sheet, or an error message."""
    try:
        paths = sorted(directory.glob("*.csv"))
        texts = {path.stem: path.read_text(encoding="utf-8") for path in paths}
    except OSError as error:
        return f"DIR {directory}: {error.strerror}"
    except UnicodeDecodeError as error:
        return f"DIR {directory}: a file is not UTF-8: {error.reason}"
    return texts or f"DIR {directory}: holds no CSV files"


def _exported_revision(directory: Path) -> int | None | str:
    """Return the revision in `REVISION_FILE`, None without that file, or an error message."""
    path = directory / REVISION_FILE
    if not path.exists():
        return None
    text = path.read_text(encoding="utf-8", errors="replace").strip()
    return int(text) if text.isdigit() else f"{path}: {text!r} is not a revision"


@register_verb("table log", "", "Print the newest edits.")
async def log(context: Context, args: list[str]) -> ExitStatus:
    """Print the last accepted edits, oldest first."""
    fields = await context.client.get("/operator/log")
    if not isinstance(fields, dict):
        return _print_failure(fields)
    for edit in fields["edits"]:
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(edit["wall_s"]))
        print(f"{edit['revision']} {at} {edit['operator']} {edit['edit_id']}")
        for sheet, row, column, text in edit["changes"]:
            place = f"{sheet}/{row}" + (f"/{column}" if column else "")
            if text is None and column is None:
                print(f"  {place} removed")
            elif column is not None:
                print(f"  {place} = {text or ''}")
    return ExitStatus.DONE


@register_verb(
    "table watch",
    "[--until_revision=N] [--timeout_s=S]",
    "Show the revision in force on every daemon, and who is behind.",
)
async def watch(context: Context, args: list[str]) -> ExitStatus:
    """Print the revisions in force in all halls until the time-out.

    With a revision in the flag `until_revision`, stop as soon as no hall is behind it or cut off.
    """
    until = context.flags.until_revision
    started_s = time.monotonic()
    last = ""
    while True:
        fields = await context.client.get("/operator/status")
        if not isinstance(fields, dict):
            return _print_failure(fields)
        wanted = until if until is not None else fields["revision"]
        line, lagging = _describe_halls(fields, wanted)
        took_s = time.monotonic() - started_s
        if line != last:
            print(f"{took_s:6.1f}s {line}", flush=True)
            last = line
        if until is not None and not lagging:
            return finish(ExitStatus.DONE, f"revision {until} in force everywhere, {took_s:.2f} s")
        if took_s >= context.flags.timeout_s:
            if until is None:
                return finish(ExitStatus.DONE, f"watched for {took_s:.0f} s")
            return finish(ExitStatus.UNKNOWN, f"after {took_s:.0f} s still behind: {lagging}")
        await asyncio.sleep(STATUS_POLL_PAUSE_S)


def _describe_halls(fields: dict, wanted: int) -> tuple[str, str]:
    """Return a line on the revisions of all halls, and a list of what lags behind.

    The list names the halls that are cut off, and the daemons of other halls whose table has a
    lower revision than `wanted`; it is empty if there are none.
    """
    parts, lagging = [], []
    for hall in fields["halls"]:
        name = hall["hall"]
        behind = [d["name"] for d in hall["known"] if d["revision"] < wanted]
        is_cut_off = hall["age_s"] > HALL_CUT_OFF_AFTER_S
        note = ""
        if is_cut_off:
            lagging.append(f"{name} (cut off for {hall['age_s']:.0f} s)")
            note = " cut off"
        elif behind:
            lagging += [f"{name}/{daemon}" for daemon in behind]
            note = f" behind: {','.join(behind)}"
        parts.append(f"{name}: {hall['daemons']} daemons at {hall['lowest_revision']}{note}")
    return "; ".join(parts), ", ".join(lagging)
