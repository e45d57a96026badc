"""The platform's store behind ferrydock's port to a key-value service."""

import asyncio
import base64
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import orjson

from ..outcomes import Unavailable, Unknown
from ..store import (
    Compare,
    Delete,
    KeyValue,
    LeaseGranted,
    LeaseLost,
    Put,
    RangeDone,
    Txn,
    TxnDone,
    WatchBatch,
)

__all__ = ["HistoryGone", "PlatformStore", "Watched"]

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.7
LONGEST_WAIT_MS = 20000
WAIT_SLACK_S = 1.5
_JSON = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: dict


@dataclass(frozen=True, slots=True)
class Watched:
    """Changes under a prefix; `value` None means removed. Continue from `revision`."""

    changes: tuple[tuple[str, bytes | None], ...]
    revision: int


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
    """

    __slots__ = ("_base", "_session", "calls")

    def __init__(self, address: str):
        self._base = f"http://{address}/v1"
        self._session: aiohttp.ClientSession | None = None
        self.calls: dict[str, int] = {}

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
            connector = aiohttp.TCPConnector(limit=0, use_dns_cache=False, keepalive_timeout=10)
            self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)
            self._session._retry_connection = False
        return self._session

    async def _call(
        self, method: str, path: str, query=None, body=None, timeout_s: float = CALL_TIMEOUT_S
    ) -> _Answer | Unavailable | Unknown:
        """Make one call. `Unknown` if it may have been done, `Unavailable` if surely not."""
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
        if response.status in (429, 503):
            return Unavailable(f"the store answered {response.status}")
        return _Answer(response.status, fields if isinstance(fields, dict) else {})

    def _count(self, kind: str, result: str) -> None:
        name = f"{kind}_{result}"
        self.calls[name] = self.calls.get(name, 0) + 1

    # The port ---------------------------------------------------------------------------------

    async def range(self, key: str, range_end: str = "") -> RangeDone | Unavailable:
        if not range_end:
            answer = await self._call("GET", "/kv-key", {"key": key})
            if isinstance(answer, Unavailable | Unknown):
                return Unavailable(answer.reason)
            if answer.status == 404:
                return RangeDone((), answer.body.get("store-revision", 0))
            if answer.status != 200:
                return Unavailable(f"the store answered {answer.status}")
            return RangeDone((_item(answer.body),), answer.body["store-revision"])
        return await self._pages(key)

    async def _pages(self, prefix: str) -> RangeDone | Unavailable:
        items: list[KeyValue] = []
        query = {"path-prefix": prefix}
        revision = None
        while True:
            answer = await self._call("GET", "/kv-range", query)
            if isinstance(answer, Unavailable | Unknown):
                return Unavailable(answer.reason)
            if answer.status != 200:
                return Unavailable(f"the store answered {answer.status}")
            items += [_item(entry) for entry in answer.body["entries"]]
            if revision is None:
                revision = answer.body["store-revision"]
            if not answer.body.get("truncated") or not items:
                return RangeDone(tuple(items), revision)
            query["since-revision"] = items[-1].key

    async def transact(self, txn: Txn) -> TxnDone | Unavailable | Unknown:
        writes = [
            {
                "key": put.key,
                "value": base64.b64encode(put.value).decode(),
                "lease": put.lease_id,
            }
            for put in txn.success
            if isinstance(put, Put)
        ]
        remove = [delete.key for delete in txn.success if isinstance(delete, Delete)]
        body = {
            "expected-revision": [_row(compare) for compare in txn.compares],
            "writes": writes,
            "remove": remove,
        }
        answer = await self._call("POST", "/kv-txn", body=body)
        if isinstance(answer, Unavailable | Unknown):
            return answer
        if answer.status == 200:
            return TxnDone(True, answer.body["revision"])
        if answer.status == 412:
            found = {entry["key"]: _item(entry) for entry in answer.body.get("entries", ())}
            reads = tuple(found.get(key) for key in txn.failure_reads)
            return TxnDone(False, answer.body.get("store-revision", 0), reads)
        return Unavailable(f"the store answered {answer.status}")

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable | Unknown:
        answer = await self._call("POST", "/kv-lease", body={"ttl-ms": int(ttl_s * 1000)})
        if isinstance(answer, Unavailable | Unknown):
            return answer
        if answer.status != 200:
            return Unavailable(f"the store answered {answer.status}")
        return LeaseGranted(answer.body["lease"], answer.body["ttl-ms"] / 1000)

    async def keep_lease(self, lease_id: int) -> LeaseGranted | LeaseLost | Unavailable:
        answer = await self._call("POST", f"/kv-keep/{lease_id}")
        if isinstance(answer, Unavailable | Unknown):
            return Unavailable(answer.reason)
        if answer.status == 404:
            return LeaseLost(lease_id)
        if answer.status != 200:
            return Unavailable(f"the store answered {answer.status}")
        return LeaseGranted(lease_id, answer.body["ttl-ms"] / 1000)

    async def revoke_lease(self, lease_id: int) -> LeaseLost | Unavailable | Unknown:
        answer = await self._call("DELETE", f"/kv-lease-end/{lease_id}")
        if isinstance(answer, Unavailable | Unknown):
            return answer
        return LeaseLost(lease_id)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchBatch]:
        since = from_revision - 1
        while True:
            news = await self.watch_once(prefix, since)
            if not isinstance(news, Watched):
                return
            since = news.revision
            if news.changes:
                yield WatchBatch(news.revision, news.changes)

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    # Beyond the port, for the adapter's own sources ----------------------------------------------

    async def watch_once(
        self, prefix: str, since: int, wait_ms: int = LONGEST_WAIT_MS
    ) -> Watched | HistoryGone | Unavailable:
        """Wait for changes under `prefix` after revision `since`."""
        query = {"path-prefix": prefix, "since-revision": str(since), "wait-ms": str(wait_ms)}
        answer = await self._call(
            "GET", "/kv-watch", query, timeout_s=wait_ms / 1000 + WAIT_SLACK_S
        )
        if isinstance(answer, Unavailable | Unknown):
            return Unavailable(answer.reason)
        if answer.status == 410:
            return HistoryGone()
        if answer.status != 200:
            return Unavailable(f"the store answered {answer.status}")
        changes = tuple(_change(event) for event in answer.body.get("events", ()))
        return Watched(changes, answer.body["store-revision"])


def _row(compare: Compare) -> dict:
    return {"key": compare.key, "revision": compare.revision}


def _item(entry: dict) -> KeyValue:
    return KeyValue(
        entry["key"],
        base64.b64decode(entry["value"]),
        entry["created"],
        entry["revision"],
        entry.get("lease", 0),
    )


def _change(event: dict) -> tuple[str, bytes | None]:
    value = None if event.get("tombstone") else base64.b64decode(event["value"])
    return event["key"], value
