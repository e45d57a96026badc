"""The operators' table: declaration, validation, edits, merge, and its home in the store."""

from ._columns import SHEETS, Column, Sheet, is_row_name
from ._csv import changes_between, read_sheets, write_sheet
from ._history import FIRST_LINEAGE, AcceptedEdit, Edit, History, merge, next_lineage
from ._keeper import Offer, TableCopy, TableKeeper
from ._keys import digest_key, is_operator_key, team_of_key
from ._repository import (
    HEAD_KEY,
    TABLE_PREFIX,
    Head,
    StoredTable,
    TableRepository,
)
from ._table import SCHEMA_VERSION, Change, RowKey, Table
from ._view import Hall, Model, Share, Site, TableView, Target, Team
from ._watcher import StoreSight, TableWatcher

__all__ = [
    "FIRST_LINEAGE",
    "HEAD_KEY",
    "SCHEMA_VERSION",
    "SHEETS",
    "TABLE_PREFIX",
    "AcceptedEdit",
    "Change",
    "Column",
    "Edit",
    "Hall",
    "Head",
    "History",
    "Model",
    "Offer",
    "RowKey",
    "Share",
    "Sheet",
    "Site",
    "StoreSight",
    "StoredTable",
    "Table",
    "TableCopy",
    "TableKeeper",
    "TableRepository",
    "TableView",
    "TableWatcher",
    "Target",
    "Team",
    "changes_between",
    "digest_key",
    "is_operator_key",
    "is_row_name",
    "merge",
    "next_lineage",
    "read_sheets",
    "team_of_key",
    "write_sheet",
]
