"""The platform's store behind ferrydock's port to a key-value service.

Owns the connections to the store and the count of calls; what is stored belongs to the platform.
"""

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import orjson

from ..http_client import open_session
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..store import (
    KeyValue,
    LeaseGranted,
    LeaseLost,
    Position,
    RangeDone,
    Txn,
    TxnDone,
    WatchBatch,
)
from ._store_messages import (
    RangePage,
    decode_committed,
    decode_kept,
    decode_key,
    decode_lease,
    decode_missing_key,
    decode_page,
    decode_refused,
    decode_watch,
    encode_lease,
    encode_txn,
    page_query,
    watch_query,
)

__all__ = ["MAX_WATCH_MS", "HistoryGone", "PlatformStore"]

_LOG = logging.getLogger("ferrydock.platform")

# How long a call may take, and connecting within it. A transaction without an answer may still be
# done, so a short limit costs reads to settle it. Chosen, not measured.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.7

# How long a connection is kept without a call; renewals come every 0.5 s. Chosen, not measured.
KEEP_IDLE_S = 10.0

# How long a watch waits at the store, and how much later an answer may come. Long, since each watch
# is a call: with 1 s in place of 20 s a calm day cost 891 calls in place of 539. A watch that is
# never answered is noticed by other calls long before (`ferrydock.freshness`).
MAX_WATCH_MS = 20000
WATCH_SLACK_S = 1.5

# HTTP statuses, as the store's protocol uses them.
OK = 200
NOT_FOUND = 404
CONDITION_FAILED = 412
HISTORY_GONE = 410

# The store turned the call away before doing anything.
_TURNED_AWAY = (429, 503)
_JSON = {"Content-Type": "application/json"}

# Header of all the store's answers: how often it has come back from an older copy. A store that
# does not tell it has one era.
ERA_HEADER = "Store-Era"

Decoded = TypeVar("Decoded")


@dataclass(frozen=True, slots=True)
class _Answer:
    """Status, decoded JSON and era of an answer."""

    status: int
    fields: object
    era: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer knows the changes asked for."""


class PlatformStore:
    """Speaks the platform's store protocol.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.

    Attributes
    ----------
    calls : dict of str to int
        Calls made so far, by kind and result.
    era : int
        Newest era that an answer has named.
    """

    __slots__ = ("_base", "_session", "calls", "era")

    def __init__(self, address: str):
        self._base = f"http://{address}/v1"
        self._session: aiohttp.ClientSession | None = None
        self.calls: dict[str, int] = {}
        self.era = 0

    # The port ---------------------------------------------------------------------------------

    async def range(self, key: str, range_end: str = "") -> RangeDone | Unavailable:
        """Read one key, or with `range_end` all keys that begin with `key`."""
        if range_end:
            return await self._read_pages(key)
        answer = await self._call("GET", "/kv-key", {"key": key})
        if isinstance(answer, Unavailable | Unknown):
            return Unavailable(answer.reason)
        decode = decode_missing_key if answer.status == NOT_FOUND else decode_key
        if answer.status not in (OK, NOT_FOUND):
            return _unexpected(answer)
        return _decode(decode, answer, answer.era)

    async def _read_pages(self, prefix: str) -> RangeDone | Unavailable:
        """Read all pages of a range; the revision is that of the first, so no change is missed."""
        items: list[KeyValue] = []
        first: RangePage | None = None
        while True:
            after_key = items[-1].key if items else None
            answer = await self._call("GET", "/kv-range", page_query(prefix, after_key))
            if isinstance(answer, Unavailable | Unknown):
                return Unavailable(answer.reason)
            if answer.status != OK:
                return _unexpected(answer)
            page = _decode(decode_page, answer, answer.era)
            if isinstance(page, Unavailable):
                return page
            first = first or page
            if page.era != first.era:
                return Unavailable("the store came back older between two pages")
            items += page.items
            if page.is_last:
                return RangeDone(tuple(items), first.revision, first.era)

    async def transact(self, txn: Txn) -> TxnDone | Unavailable | Unknown:
        """Write on conditions. `Unknown`: it may have been done, or may be done later."""
        if txn.era is not None and txn.era < self.era:
            return Unavailable("the conditions were read in an older era of the store")
        answer = await self._call("POST", "/kv-txn", body=encode_txn(txn))
        if isinstance(answer, Unavailable | Unknown):
            return answer
        if answer.status == OK:
            revision = _decode(decode_committed, answer)
            if isinstance(revision, Unavailable):
                return Unknown(revision.reason)
            if txn.era is not None and txn.era != answer.era:
                return Unknown("done in an era in which its conditions may hold for other values")
            return TxnDone(True, revision, era=answer.era)
        if answer.status == CONDITION_FAILED:
            return _decode(decode_refused, answer, txn.failure_reads, answer.era)
        return _unexpected(answer)

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable | Unknown:
        """Ask for a lease."""
        answer = await self._call("POST", "/kv-lease", body=encode_lease(ttl_s))
        if isinstance(answer, Unavailable | Unknown):
            return answer
        if answer.status != OK:
            return _unexpected(answer)
        return _decode(decode_lease, answer, answer.era)

    async def keep_lease(self, lease_id: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease."""
        answer = await self._call("POST", f"/kv-keep/{lease_id}")
        if isinstance(answer, Unavailable | Unknown):
            return Unavailable(answer.reason)
        if answer.status == NOT_FOUND:
            return LeaseLost(lease_id)
        if answer.status != OK:
            return _unexpected(answer)
        ttl_s = _decode(decode_kept, answer)
        if isinstance(ttl_s, Unavailable):
            return ttl_s
        return LeaseGranted(lease_id, ttl_s, answer.era)

    async def revoke_lease(self, lease_id: int) -> LeaseLost | Unavailable | Unknown:
        """End a lease."""
        answer = await self._call("DELETE", f"/kv-lease-end/{lease_id}")
        if isinstance(answer, Unavailable | Unknown):
            return answer
        return LeaseLost(lease_id)

    async def watch(self, prefix: str, after: Position) -> AsyncGenerator[WatchBatch, None]:
        """Yield changes after a position; ends when a call fails or the history is gone."""
        since = after
        while True:
            watched = await self.watch_once(prefix, since)
            if not isinstance(watched, WatchBatch):
                why = watched.reason if isinstance(watched, Unavailable) else "history_gone"
                log_event(_LOG, logging.INFO, "watch_ended", prefix=prefix, why=why)
                return  # the caller reads the key again
            since = watched.position
            if watched.changes:
                yield watched

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    # Beyond the port, for the adapter's own sources -------------------------------------------

    async def watch_once(
        self, prefix: str, since: Position, wait_ms: int = MAX_WATCH_MS
    ) -> WatchBatch | HistoryGone | Unavailable:
        """Wait for changes under `prefix` after a position, for at most `wait_ms`.

        With 0 it is a call like any other, which has its answer at once. The history of an older
        era is gone: changes that the store names after the same revision are others.
        """
        if since.era < self.era:
            return HistoryGone()
        query = watch_query(prefix, since.revision, wait_ms)
        timeout_s = wait_ms / 1000 + WATCH_SLACK_S if wait_ms else CALL_TIMEOUT_S
        answer = await self._call("GET", "/kv-watch", query, timeout_s=timeout_s)
        if isinstance(answer, Unavailable | Unknown):
            return Unavailable(answer.reason)
        if answer.status == HISTORY_GONE or answer.era != since.era:
            return HistoryGone()
        if answer.status != OK:
            return _unexpected(answer)
        return _decode(decode_watch, answer, answer.era)

    # Calls ------------------------------------------------------------------------------------

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(CONNECT_TIMEOUT_S, keep_idle_s=KEEP_IDLE_S)
        return self._session

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        body: dict | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Answer | Unavailable | Unknown:
        """Make one call. `Unknown` if it may have been done, `Unavailable` if certainly not."""
        data = orjson.dumps(body) if body is not None else None
        kind = path.split("/")[1]
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._open().request(
                    method, self._base + path, params=query, data=data, headers=_JSON
                ) as response,
            ):
                raw = await response.read()
                fields = orjson.loads(raw) if raw else {}
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._count(kind, "unreached")
            return Unavailable(f"the store was not reached: {type(error).__name__}")
        except (
            TimeoutError,
            aiohttp.ClientError,
            ConnectionError,
            orjson.JSONDecodeError,
        ) as error:
            self._count(kind, "unanswered")
            return Unknown(f"no answer of the store: {type(error).__name__}")
        self._count(kind, str(response.status))
        era = self._read_era(response.headers.get(ERA_HEADER))
        if era < self.era:
            return Unknown("an answer of an older era of the store")
        if response.status in _TURNED_AWAY:
            return Unavailable(f"the store answered {response.status}")
        return _Answer(response.status, fields, era)

    def note_era(self, era: int) -> None:
        """Note an era that another daemon has seen: no answer of an older one counts any more."""
        self.era = max(self.era, era)

    def _read_era(self, told: str | None) -> int:
        """Return an answer's era, and keep the newest; one that is not told is the newest known."""
        if told is None:
            return self.era
        if not told.isdecimal():
            log_event(_LOG, logging.ERROR, "store_era_unreadable", header=ERA_HEADER, value=told)
            return self.era
        era = int(told)
        self.note_era(era)
        return era

    def _count(self, kind: str, result: str) -> None:
        name = f"{kind}_{result}"
        self.calls[name] = self.calls.get(name, 0) + 1


def _unexpected(answer: _Answer) -> Unavailable:
    return Unavailable(f"the store answered {answer.status}")


def _decode(decode: Callable[..., Decoded], answer: _Answer, *more) -> Decoded | Unavailable:
    """Return a decoded answer; one that cannot be decoded is logged and counts as none."""
    try:
        return decode(answer.fields, *more)
    except ValueError as error:  # BadMessage, or a value that is not base64
        log_event(
            _LOG,
            logging.ERROR,
            "store_answer_unreadable",
            message=decode.__name__,
            status=answer.status,
            why=str(error),
        )
        return Unavailable(f"the store's answer cannot be decoded: {error}")
