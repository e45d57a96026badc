"""HTTP client for the operator interface of a daemon."""

import asyncio
from dataclasses import dataclass

import aiohttp
import orjson

from ..outcomes import Conflict, Fault, Invalid, Unavailable, Unknown
from ..table import Change, Edit, RowKey, Table

__all__ = ["EditAccepted", "OperatorClient"]

SEND_ATTEMPTS = 4
SEND_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class EditAccepted:
    """The daemon accepted the edit, or found it valid in a dry run.

    Attributes
    ----------
    revision : int
        Revision of the table after the edit.
    """

    revision: int


class OperatorClient:
    """Client for the paths below ``/operator`` of a daemon.

    Parameters
    ----------
    url : str
        Base address of a daemon.
    key : str
        Operator key.
    timeout_s : float, default=15.0
        Time-out of one call.
    """

    __slots__ = ("_session", "key", "timeout_s", "url")

    def __init__(self, url: str, key: str, timeout_s: float = 15.0):
        self.url = url.rstrip("/")
        self.key = key
        self.timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    def http(self) -> aiohttp.ClientSession:
        """Return the HTTP session, which is created on first use."""
        if self._session is None:
            headers = {"Authorization": f"Bearer {self.key}"}
            timeout = aiohttp.ClientTimeout(total=self.timeout_s)
            self._session = aiohttp.ClientSession(headers=headers, timeout=timeout)
        return self._session

    async def get(self, path: str, **query: str) -> dict | Unavailable | Invalid | Conflict:
        """Return the JSON fields at `path`, or an outcome that fits the status of the answer."""
        try:
            async with self.http().get(self.url + path, params=query) as response:
                fields = orjson.loads(await response.read())
                if response.status == 200:
                    return fields
                message = fields.get("error", {}).get("message", f"status {response.status}")
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Unavailable(f"{self.url}: {type(error).__name__}: {error}")
        if response.status == 409:
            return Conflict(message)
        if response.status >= 500:
            return Unavailable(f"{self.url}: {message}")
        return Invalid((Fault(path, message),))

    async def table(self, revision: int | None = None) -> Table | Unavailable | Invalid | Conflict:
        """Return the table at `revision`, or the one in force if None."""
        query = {} if revision is None else {"revision": str(revision)}
        fields = await self.get("/operator/table", **query)
        if not isinstance(fields, dict):
            return fields
        rows = {RowKey(sheet, row): cells for sheet, row, cells in fields["rows"]}
        return Table(rows, fields["revision"])

    async def send_edit(
        self, edit: Edit, dry_run: bool = False
    ) -> EditAccepted | Invalid | Conflict | Unavailable | Unknown:
        """Send an edit until its result is known, at most `SEND_ATTEMPTS` times.

        If an answer is lost, the edit is sent again with the same id, so that it is applied once.
        """
        body = orjson.dumps(
            {
                "edit_id": edit.edit_id,
                "base_revision": edit.base_revision,
                "operator": edit.operator,
                "changes": [[c.key.sheet, c.key.row, c.column, c.text] for c in edit.changes],
            }
        )
        outcome: Unavailable | Unknown = Unavailable("not sent")
        may_be_accepted = False
        for attempt in range(SEND_ATTEMPTS):
            if attempt:
                await asyncio.sleep(SEND_PAUSE_S)
            result = await self._send_once(body, dry_run)
            if not isinstance(result, Unavailable | Unknown):
                return result
            may_be_accepted = may_be_accepted or isinstance(result, Unknown)
            outcome = result
        return Unknown(outcome.reason) if may_be_accepted else outcome

    async def _send_once(self, body: bytes, dry_run: bool):
        query = {"dry_run": "true"} if dry_run else {}
        try:
            async with self.http().post(
                f"{self.url}/operator/edits", data=body, params=query
            ) as response:
                fields = orjson.loads(await response.read())
        except aiohttp.ClientConnectorError as error:
            return Unavailable(f"{self.url}: {error}")
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Unknown(f"{self.url}: the answer was lost: {type(error).__name__}")
        return _edit_outcome(fields)


def _edit_outcome(fields: dict):
    outcome = fields.get("outcome")
    if outcome in ("accepted", "valid"):
        return EditAccepted(fields["revision"])
    if outcome == "invalid":
        faults = tuple(Fault(f["place"], f["problem"]) for f in fields["faults"])
        return Invalid(faults)
    if outcome == "conflict":
        return Conflict(fields["reason"], tuple(fields["cells"]))
    if outcome == "unknown":
        return Unknown(fields["reason"])
    if outcome == "unreachable":
        return Unavailable(fields["reason"])
    message = fields.get("error", {}).get("message", "the daemon refused")
    return Invalid((Fault("request", message),))


def set_cells(key: RowKey, cells: dict[str, str], exists: bool) -> tuple[Change, ...]:
    """Return the changes that set cells of a row, and create the row unless it exists.

    An empty text empties the cell.
    """
    changes = [] if exists else [Change(key, None, "")]
    changes += [Change(key, column, text or None) for column, text in cells.items()]
    return tuple(changes)
