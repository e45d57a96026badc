"""Routes of operators, ``/operator/...``: the table, its log, status and reports.

Stateless; edits are committed through the table's repository and put in force here at once.
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
from ._callers import Callers
from ._errors import error_response

__all__ = ["OperatorRoutes"]

_LOG = logging.getLogger("ferrydock.gateway")

# How long an edit may take to be committed, edits that the log shows, and changes of one edit.
# Chosen, not measured.
COMMIT_S = 10.0
LOG_LENGTH = 50
MAX_CHANGES = 20000

# Lengths of an edit's id and of an operator's name. Chosen, not measured.
EDIT_ID_LENGTHS = (8, 64)
MAX_OPERATOR_LENGTH = 200


@dataclass(slots=True)
class OperatorRoutes:
    """Serves operators.

    Attributes
    ----------
    keeper : TableKeeper
        The table in force here.
    repository : TableRepository
        Commits edits.
    watcher : TableWatcher
        Reads edits that other daemons committed.
    callers : Callers
        Knows operators by their keys.
    status : callable
        Returns the status of site and daemon, as JSON fields.
    burn : callable
        Returns the burn report for query parameters, as JSON fields.
    on_edit : callable
        Is called after an edit was accepted.
    clock : Clock
        For deadlines.
    stop_limit : StopLimit
        Ends the requests that are left once the daemon's time to stop is over.
    """

    keeper: TableKeeper
    repository: TableRepository
    watcher: TableWatcher
    callers: Callers
    status: Callable[[], dict]
    burn: Callable[[dict], Awaitable[dict]]
    on_edit: Callable[[], None]
    clock: Clock
    stop_limit: StopLimit

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [
            web.get("/operator/table", self._guarded(self._get_table)),
            web.post("/operator/edits", self._guarded(self._post_edit)),
            web.get("/operator/log", self._guarded(self._get_log)),
            web.get("/operator/status", self._guarded(self._get_status)),
            web.get("/operator/burn", self._guarded(self._get_burn)),
        ]

    def _guarded(self, handler):
        """Return a handler that only operators reach."""

        async def _guard(request: web.Request) -> web.Response:
            if not self.callers.is_operator(request):
                return error_response(401, "unauthorised", "the key gives no operator rights")
            return await handler(request)

        return _guard

    async def _get_table(self, request: web.Request) -> web.Response:
        table: Table | None = self.keeper.table
        wanted = request.query.get("revision")
        if wanted is not None:
            if not wanted.isdigit():
                return error_response(400, "invalid", "revision: must be a whole number")
            table = self.keeper.history.table_at(self.keeper.table, int(wanted))
        if table is None:
            return error_response(409, "conflict", f"revision {wanted} is not kept any more")
        rows = [[k.sheet, k.row, dict(cells)] for k, cells in sorted(table.rows.items())]
        return _json({"revision": table.revision, "lineage": self.keeper.lineage, "rows": rows})

    async def _get_log(self, request: web.Request) -> web.Response:
        edits = self.keeper.history.latest(LOG_LENGTH)
        return _json({"edits": [orjson.loads(e.to_json()) for e in edits]})

    async def _get_status(self, request: web.Request) -> web.Response:
        return _json(self.status())

    async def _get_burn(self, request: web.Request) -> web.Response:
        async with self.stop_limit.apply():
            return _json(await self.burn(dict(request.query)))

    async def _post_edit(self, request: web.Request) -> web.Response:
        edit = _parse_edit(await read_body(request, None, self.stop_limit) or b"")
        if isinstance(edit, str):
            return error_response(400, "invalid", edit)
        if request.query.get("dry_run") == "true":
            merged = merge(self.keeper.table, self.keeper.history, edit)
            if isinstance(merged, Table):
                return _json({"outcome": "valid", "revision": self.keeper.revision})
            return _edit_response(merged)
        deadline_s = self.clock.now_s() + COMMIT_S
        outcome = await self._commit(edit, deadline_s)
        if isinstance(outcome, AcceptedEdit):
            await self._put_in_force(outcome)
        return _edit_response(outcome)

    async def _commit(self, edit: Edit, deadline_s: float):
        """Commit an edit unless this daemon's time to stop ends first."""
        try:
            async with self.stop_limit.apply():
                return await self.repository.commit(edit, deadline_s, self.keeper.revision)
        except DaemonStopping:
            return Unknown("this daemon stopped before the store's answer")

    async def _put_in_force(self, accepted: AcceptedEdit) -> None:
        self.keeper.offer_edits((accepted,))
        if self.keeper.revision < accepted.revision:
            await self._look(accepted)
        self.on_edit()

    async def _look(self, accepted: AcceptedEdit) -> None:
        """Read the table up to an edit; an accepted one stays so if this daemon stops meanwhile."""
        try:
            async with self.stop_limit.apply():
                await self.watcher.look()
        except DaemonStopping:
            log_event(
                _LOG,
                logging.INFO,
                "edit_not_in_force_here",
                revision=accepted.revision,
                why=STOPPING_REASON,
            )


def _json(fields: dict, status: int = 200) -> web.Response:
    return web.Response(body=orjson.dumps(fields), status=status, content_type="application/json")


def _parse_edit(raw: bytes) -> Edit | str:
    """Return the edit within a body, or what is wrong with it."""
    try:
        fields = orjson.loads(raw)
        edit_id = fields["edit_id"]
        base = fields["base_revision"]
        operator = fields.get("operator", "")
        listed = fields["changes"]
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
    if not isinstance(listed, list) or not 1 <= len(listed) <= MAX_CHANGES:
        return f"changes: must be a list of 1 to {MAX_CHANGES}"
    changes = []
    for index, item in enumerate(listed):
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
        return _json(
            {"outcome": "accepted", "revision": outcome.revision, "edit_id": outcome.edit_id}
        )
    if isinstance(outcome, Invalid):
        faults = [{"place": f.place, "problem": f.problem} for f in outcome.faults]
        return _json({"outcome": "invalid", "reason": outcome.reason, "faults": faults}, 400)
    if isinstance(outcome, Conflict):
        fields = {"outcome": "conflict", "reason": outcome.reason, "cells": list(outcome.cells)}
        return _json(fields, 409)
    if isinstance(outcome, Unknown):
        return _json({"outcome": "unknown", "reason": outcome.reason}, 504)
    assert isinstance(outcome, Unavailable)
    return _json({"outcome": "unreachable", "reason": outcome.reason}, 503)
