"""Routes for operators, ``/operator/...``: the table, its edits, status and reports.

Stateless. Edits are committed through the table's repository, then applied in this daemon at once.
"""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import orjson
from aiohttp import web

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Conflict, Invalid, Unavailable, Unknown
from ..planned_stop import STOPPING_REASON, DaemonStopping, StopLimit
from ..table import (
    AcceptedEdit,
    Change,
    Edit,
    RowKey,
    Table,
    TableKeeper,
    TableRepository,
    TableWatcher,
    merge,
)
from ._bodies import read_body
from ._callers import Authenticator
from ._errors import error_response

__all__ = ["OperatorRoutes"]

_LOG = logging.getLogger("ferrydock.gateway")

# How long an edit may take to be committed, edits that the log returns, and changes per edit.
COMMIT_TIMEOUT_S = 10.0
MAX_LOG_EDITS = 50
MAX_CHANGES = 20000

# Shortest and longest edit id, and longest operator name, in characters.
EDIT_ID_LENGTHS = (8, 64)
MAX_OPERATOR_LENGTH = 200


@dataclass(slots=True)
class OperatorRoutes:
    """Serves requests of operators.

    Attributes
    ----------
    keeper : TableKeeper
        Holds the table in force in this daemon.
    repository : TableRepository
        Commits edits.
    watcher : TableWatcher
        Reads edits that other daemons committed.
    authenticator : Authenticator
        Recognises operators by their keys.
    get_status : callable
        Returns the status of the site and of this daemon, as JSON fields.
    get_burn : callable
        Returns the error-budget burn report for the query parameters, as JSON fields.
    on_edit : callable
        Called after each accepted edit.
    clock : Clock
        Time source for deadlines.
    stop_limit : StopLimit
        Ends the remaining requests when the time limit of a planned stop expires.
    """

    keeper: TableKeeper
    repository: TableRepository
    watcher: TableWatcher
    authenticator: Authenticator
    get_status: Callable[[], dict]
    get_burn: Callable[[dict], Awaitable[dict]]
    on_edit: Callable[[], None]
    clock: Clock
    stop_limit: StopLimit

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [
            web.get("/operator/table", self._operators_only(self._get_table)),
            web.post("/operator/edits", self._operators_only(self._post_edit)),
            web.get("/operator/log", self._operators_only(self._get_log)),
            web.get("/operator/status", self._operators_only(self._get_status)),
            web.get("/operator/burn", self._operators_only(self._get_burn)),
        ]

    def _operators_only(self, handler):
        """Wrap `handler`: answer 401 to requests without an operator's key."""

        async def _check_operator(request: web.Request) -> web.Response:
            if not self.authenticator.is_operator(request):
                return error_response(401, "unauthorised", "the key gives no operator rights")
            return await handler(request)

        return _check_operator

    async def _get_table(self, request: web.Request) -> web.Response:
        table: Table | None = self.keeper.table
        revision_text = request.query.get("revision")
        if revision_text is not None:
            if not revision_text.isdigit():
                return error_response(400, "invalid", "revision: must be a whole number")
            table = self.keeper.history.table_at(self.keeper.table, int(revision_text))
        if table is None:
            return error_response(409, "conflict", f"revision {revision_text} is not kept any more")
        rows = [[k.sheet, k.row, dict(cells)] for k, cells in sorted(table.rows.items())]
        return _json_response(
            {"revision": table.revision, "lineage": self.keeper.lineage, "rows": rows}
        )

    async def _get_log(self, request: web.Request) -> web.Response:
        edits = self.keeper.history.latest(MAX_LOG_EDITS)
        return _json_response({"edits": [orjson.loads(e.to_json()) for e in edits]})

    async def _get_status(self, request: web.Request) -> web.Response:
        return _json_response(self.get_status())

    async def _get_burn(self, request: web.Request) -> web.Response:
        async with self.stop_limit.apply():
            return _json_response(await self.get_burn(dict(request.query)))

    async def _post_edit(self, request: web.Request) -> web.Response:
        edit = _parse_edit(await read_body(request, None, self.stop_limit) or b"")
        if isinstance(edit, str):
            return error_response(400, "invalid", edit)
        if request.query.get("dry_run") == "true":
            merge_result = merge(self.keeper.table, self.keeper.history, edit)
            if isinstance(merge_result, Table):
                return _json_response({"outcome": "valid", "revision": self.keeper.revision})
            return _edit_response(merge_result)
        deadline_s = self.clock.now_s() + COMMIT_TIMEOUT_S
        outcome = await self._commit(edit, deadline_s)
        if isinstance(outcome, AcceptedEdit):
            await self._apply_accepted(outcome)
        return _edit_response(outcome)

    async def _commit(self, edit: Edit, deadline_s: float):
        """Commit an edit; the outcome is unknown if the stop limit expires first."""
        try:
            async with self.stop_limit.apply():
                return await self.repository.commit(edit, deadline_s, self.keeper.revision)
        except DaemonStopping:
            return Unknown("this daemon stopped before the store's answer")

    async def _apply_accepted(self, accepted: AcceptedEdit) -> None:
        self.keeper.offer_edits((accepted,))
        if self.keeper.revision < accepted.revision:
            await self._read_table(accepted)
        self.on_edit()

    async def _read_table(self, accepted: AcceptedEdit) -> None:
        """Read the table from the store; if the stop limit expires, the edit stays accepted."""
        try:
            async with self.stop_limit.apply():
                await self.watcher.poll()
        except DaemonStopping:
            log_event(
                _LOG,
                logging.INFO,
                "edit_not_in_force_here",
                revision=accepted.revision,
                why=STOPPING_REASON,
            )


def _json_response(fields: dict, status: int = 200) -> web.Response:
    return web.Response(body=orjson.dumps(fields), status=status, content_type="application/json")


def _parse_edit(raw: bytes) -> Edit | str:
    """Return the edit within a body, or what is wrong with it."""
    try:
        fields = orjson.loads(raw)
        edit_id = fields["edit_id"]
        base = fields["base_revision"]
        operator = fields.get("operator", "")
        raw_changes = fields["changes"]
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return f"body: is not an edit: {error}"
    shortest, longest = EDIT_ID_LENGTHS
    if (
        not isinstance(edit_id, str)
        or not shortest <= len(edit_id) <= longest
        or not edit_id.isalnum()
    ):
        return f"edit_id: must be {shortest} to {longest} letters and digits"
    if type(base) is not int or base < 0:
        return "base_revision: must be a whole number"
    if not isinstance(operator, str) or len(operator) > MAX_OPERATOR_LENGTH:
        return "operator: must be a short text"
    if not isinstance(raw_changes, list) or not 1 <= len(raw_changes) <= MAX_CHANGES:
        return f"changes: must be a list of 1 to {MAX_CHANGES}"
    changes = []
    for index, item in enumerate(raw_changes):
        change = _parse_change(item)
        if change is None:
            return f"changes[{index}]: must be [sheet, row, column or null, text or null]"
        changes.append(change)
    return Edit(edit_id, base, tuple(changes), operator)


def _parse_change(item) -> Change | None:
    if not isinstance(item, list) or len(item) != 4:
        return None
    sheet, row, column, text = item
    if not isinstance(sheet, str) or not isinstance(row, str):
        return None
    if not isinstance(column, str | None) or not isinstance(text, str | None):
        return None
    return Change(RowKey(sheet, row), column, text)


def _edit_response(outcome) -> web.Response:
    if isinstance(outcome, AcceptedEdit):
        return _json_response(
            {"outcome": "accepted", "revision": outcome.revision, "edit_id": outcome.edit_id}
        )
    if isinstance(outcome, Invalid):
        faults = [{"place": f.place, "problem": f.problem} for f in outcome.faults]
        return _json_response(
            {"outcome": "invalid", "reason": outcome.reason, "faults": faults}, 400
        )
    if isinstance(outcome, Conflict):
        fields = {"outcome": "conflict", "reason": outcome.reason, "cells": list(outcome.cells)}
        return _json_response(fields, 409)
    if isinstance(outcome, Unknown):
        return _json_response({"outcome": "unknown", "reason": outcome.reason}, 504)
    assert isinstance(outcome, Unavailable)
    return _json_response({"outcome": "unreachable", "reason": outcome.reason}, 503)
