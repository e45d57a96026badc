"""Verbs of the table."""

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
from ._verbs import Context, ExitStatus, register_verb, say

__all__ = []

REVISION_FILE = "revision.txt"
WATCH_PAUSE_S = 0.3
CUT_OFF_S = 15.0


def _failure(outcome) -> ExitStatus:
    """Print what went wrong and return the status that fits."""
    if isinstance(outcome, Invalid):
        for fault in outcome.faults:
            print(f"  {fault}", file=sys.stderr)
        return say(ExitStatus.BAD_INPUT, f"{len(outcome.faults)} faults; nothing was written")
    if isinstance(outcome, Conflict):
        for cell in outcome.cells:
            print(f"  {cell}", file=sys.stderr)
        return say(ExitStatus.CONFLICT, f"{outcome.reason}; nothing was written")
    if isinstance(outcome, Unknown):
        return say(ExitStatus.UNKNOWN, f"{outcome.reason}; look at `ferrydock table log`")
    assert isinstance(outcome, Unavailable)
    return say(ExitStatus.UNREACHABLE, f"{outcome.reason}; nothing was written")


def _bad_sheet(sheet: str) -> ExitStatus | None:
    if sheet in SHEETS:
        return None
    return say(ExitStatus.BAD_INPUT, f"sheet {sheet!r}: the sheets are {', '.join(SHEETS)}")


@register_verb("table show", "[SHEET]", "Print the table, or one sheet of it.")
async def show(context: Context, args: list[str]) -> ExitStatus:
    """Print sheets as aligned columns."""
    if len(args) > 1:
        return say(ExitStatus.BAD_INPUT, "table show takes at most one SHEET")
    if args and (bad := _bad_sheet(args[0])) is not None:
        return bad
    table = await context.client.table()
    if not isinstance(table, Table):
        return _failure(table)
    for sheet in args or list(SHEETS):
        _print_sheet(table, sheet)
    return say(ExitStatus.DONE, f"revision {table.revision}")


def _print_sheet(table: Table, sheet: str) -> None:
    rows = {key.row: cells for key, cells in sorted(table.rows.items()) if key.sheet == sheet}
    print(f"[{sheet}] {len(rows)} rows")
    for row, cells in rows.items():
        print(f"  {row}")
        for column, text in sorted(cells.items()):
            print(f"    {column} = {text}")


@register_verb("table get", "SHEET ROW CELL", "Print one cell; an empty one shows its default.")
async def get(context: Context, args: list[str]) -> ExitStatus:
    """Print the text of one cell."""
    if len(args) != 3:
        return say(ExitStatus.BAD_INPUT, "table get takes SHEET ROW CELL")
    sheet, row, column = args
    if (bad := _bad_sheet(sheet)) is not None:
        return bad
    table = await context.client.table()
    if not isinstance(table, Table):
        return _failure(table)
    key = RowKey(sheet, row)
    if key not in table.rows:
        return say(ExitStatus.BAD_INPUT, f"{key}: there is no such row")
    text = table.text(key, column)
    if text is None:
        return say(ExitStatus.BAD_INPUT, f"{key}/{column}: there is no such cell")
    print(text)
    return ExitStatus.DONE


@register_verb(
    "table set",
    "SHEET ROW CELL=VALUE ... [--expect_revision=N]",
    "Fill cells of a row, making it where it is absent. An empty VALUE empties the cell.",
)
async def set_(context: Context, args: list[str]) -> ExitStatus:
    """Edit one row."""
    if len(args) < 3:
        return say(ExitStatus.BAD_INPUT, "table set takes SHEET ROW CELL=VALUE ...")
    sheet, row, *assignments = args
    if (bad := _bad_sheet(sheet)) is not None:
        return bad
    cells = {}
    for assignment in assignments:
        column, equals, text = assignment.partition("=")
        if not equals:
            return say(ExitStatus.BAD_INPUT, f"{assignment!r} is not CELL=VALUE")
        if SHEETS[sheet].column(column) is None:
            return say(ExitStatus.BAD_INPUT, f"{sheet}/{row}/{column}: there is no such column")
        cells[column] = text
    table = await context.client.table()
    if not isinstance(table, Table):
        return _failure(table)
    key = RowKey(sheet, row)
    changes = set_cells(key, cells, key in table.rows)
    return await _commit(context, changes, _base(context, table))


@register_verb("table delete", "SHEET ROW [--expect_revision=N]", "Remove a row.")
async def delete(context: Context, args: list[str]) -> ExitStatus:
    """Remove one row."""
    if len(args) != 2:
        return say(ExitStatus.BAD_INPUT, "table delete takes SHEET ROW")
    if (bad := _bad_sheet(args[0])) is not None:
        return bad
    table = await context.client.table()
    if not isinstance(table, Table):
        return _failure(table)
    key = RowKey(*args)
    if key not in table.rows:
        return say(ExitStatus.BAD_INPUT, f"{key}: there is no such row")
    return await _commit(context, (Change(key, None, None),), _base(context, table))


def _base(context: Context, table: Table) -> int:
    expected = context.flags.expect_revision
    return table.revision if expected is None else expected


async def _commit(
    context: Context, changes: tuple[Change, ...], base: int, dry_run: bool = False
) -> ExitStatus:
    if not changes:
        return say(ExitStatus.DONE, "nothing to change")
    edit = Edit(uuid.uuid4().hex, base, changes, _operator())
    outcome = await context.client.send_edit(edit, dry_run)
    if not isinstance(outcome, EditAccepted):
        return _failure(outcome)
    if dry_run:
        return say(ExitStatus.DONE, f"{len(changes)} changes would be accepted; nothing written")
    return say(ExitStatus.DONE, f"revision {outcome.revision}, {len(changes)} changes")


def _operator() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "operator"


@register_verb("table export", "DIR", "Write the table as CSV files, one a sheet.")
async def export(context: Context, args: list[str]) -> ExitStatus:
    """Write one CSV file a sheet, and the revision they were taken at."""
    if len(args) != 1:
        return say(ExitStatus.BAD_INPUT, "table export takes DIR")
    table = await context.client.table()
    if not isinstance(table, Table):
        return _failure(table)
    directory = Path(args[0])
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for sheet in SHEETS:
            (directory / f"{sheet}.csv").write_text(write_sheet(table, sheet), encoding="utf-8")
        (directory / REVISION_FILE).write_text(f"{table.revision}\n", encoding="utf-8")
    except OSError as error:
        return say(ExitStatus.BAD_INPUT, f"DIR {directory}: {error.strerror}")
    return say(ExitStatus.DONE, f"revision {table.revision} in {directory}")


@register_verb(
    "table apply",
    "DIR [--dry_run]",
    "Make the table what the CSV files say, merged with edits made since they were exported.",
)
async def apply(context: Context, args: list[str]) -> ExitStatus:
    """Edit whatever the files changed since their export."""
    if len(args) != 1:
        return say(ExitStatus.BAD_INPUT, "table apply takes DIR")
    directory = Path(args[0])
    texts = _read_files(directory)
    if isinstance(texts, str):
        return say(ExitStatus.BAD_INPUT, texts)
    wanted = read_sheets(texts)
    if isinstance(wanted, Invalid):
        return _failure(wanted)
    base = _exported_revision(directory)
    if isinstance(base, str):
        return say(ExitStatus.BAD_INPUT, base)
    before = await context.client.table(base)
    if not isinstance(before, Table):
        return _failure(before)
    changes = changes_between(before, wanted, set(texts))
    return await _commit(context, changes, before.revision, context.flags.dry_run)


def _read_files(directory: Path) -> dict[str, str] | str:
    """Return the texts of the CSV files by sheet, or what is wrong."""
    try:
        paths = sorted(directory.glob("*.csv"))
        texts = {path.stem: path.read_text(encoding="utf-8") for path in paths}
    except OSError as error:
        return f"DIR {directory}: {error.strerror}"
    except UnicodeDecodeError as error:
        return f"DIR {directory}: a file is not UTF-8: {error.reason}"
    return texts or f"DIR {directory}: holds no CSV files"


def _exported_revision(directory: Path) -> int | None | str:
    path = directory / REVISION_FILE
    if not path.exists():
        return None
    text = path.read_text(encoding="utf-8", errors="replace").strip()
    return int(text) if text.isdigit() else f"{path}: {text!r} is not a revision"


@register_verb("table log", "", "Print the newest edits.")
async def log(context: Context, args: list[str]) -> ExitStatus:
    """Print accepted edits, oldest first."""
    fields = await context.client.get("/operator/log")
    if not isinstance(fields, dict):
        return _failure(fields)
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
    """Follow an edit until it is in force everywhere that can be reached."""
    until = context.flags.until_revision
    started_s = time.monotonic()
    last = ""
    while True:
        fields = await context.client.get("/operator/status")
        if not isinstance(fields, dict):
            return _failure(fields)
        wanted = until if until is not None else fields["revision"]
        line, missing = _watch_line(fields, wanted)
        took_s = time.monotonic() - started_s
        if line != last:
            print(f"{took_s:6.1f}s {line}", flush=True)
            last = line
        if until is not None and not missing:
            return say(ExitStatus.DONE, f"revision {until} in force everywhere, {took_s:.2f} s")
        if took_s >= context.flags.timeout_s:
            if until is None:
                return say(ExitStatus.DONE, f"watched for {took_s:.0f} s")
            return say(ExitStatus.UNKNOWN, f"after {took_s:.0f} s still behind: {missing}")
        await asyncio.sleep(WATCH_PAUSE_S)


def _watch_line(fields: dict, wanted: int) -> tuple[str, str]:
    """Return a line on all halls, and who has not reached `wanted`."""
    parts, missing = [], []
    for hall in fields["halls"]:
        name = hall["hall"]
        behind = [d["name"] for d in hall["known"] if d["revision"] < wanted]
        cut = hall["age_s"] > CUT_OFF_S
        note = ""
        if cut:
            missing.append(f"{name} (cut off for {hall['age_s']:.0f} s)")
            note = " cut off"
        elif behind:
            missing += [f"{name}/{daemon}" for daemon in behind]
            note = f" behind: {','.join(behind)}"
        parts.append(f"{name}: {hall['daemons']} daemons at {hall['lowest_revision']}{note}")
    return "; ".join(parts), ", ".join(missing)
