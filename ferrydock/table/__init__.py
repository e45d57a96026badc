"""The operators' table: declaration, validation, edits and their merge, and storage."""

from ._columns import SHEETS, Column, Sheet, is_row_name
from ._csv import changes_between, read_sheets, write_sheet
from ._history import LINEAGE_WITHOUT_EDITS, AcceptedEdit, Edit, History, merge, next_lineage
from ._keeper import OfferResult, TableCopy, TableKeeper
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
from ._watcher import StoreComparison, TableWatcher

__all__ = [
    "LINEAGE_WITHOUT_EDITS",
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
    "OfferResult",
    "RowKey",
    "Share",
    "Sheet",
    "Site",
    "StoreComparison",
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
