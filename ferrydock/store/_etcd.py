"""Client of a key-value service that offers the etcd v3 JSON API.

The API is described in the etcd documentation, "Why gRPC gateway" (``/v3/kv/range``,
``/v3/kv/txn``, ``/v3/lease/*`` and ``/v3/watch``; keys and values in base64, 64-bit numbers as
strings).
"""

import base64
import itertools
import logging
from collections.abc import AsyncGenerator, Callable, Sequence
from typing import TypeVar

import aiohttp
import orjson

from ..http_client import open_session, read_body
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..typed_json import load_object
from ._position import Position
from ._store import (
    Delete,
    KeyValue,
    LeaseGranted,
    LeaseLost,
    Put,
    RangeDone,
    Txn,
    TxnDone,
    WatchBatch,
    prefix_end,
)

__all__ = ["EtcdStore", "decode_key_value", "encode_text"]

_LOG = logging.getLogger("ferrydock.store")

IDLE_CONNECTION_TIMEOUT_S = 15.0

# Bytes of an answer's body, which holds keys and values in base64: far above the complete table of
# a large site.
MAX_ANSWER_BYTES = 32 * 2**20

_CONNECT_ERRORS = (aiohttp.ClientConnectorError,)

# What fields of other types than those of the API end in.
_DECODE_ERRORS = (AttributeError, KeyError, OverflowError, TypeError, ValueError)

Decoded = TypeVar("Decoded")


def encode_text(text: str | bytes) -> str:
    """Encode `text` in base64, as the JSON API expects keys and values."""
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode("ascii")


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text)


def decode_key_value(fields: dict) -> KeyValue:
    """Decode one ``mvccpb.KeyValue`` of the JSON API."""
    return KeyValue(
        key=_decode_base64(fields["key"]).decode(),
        value=_decode_base64(fields.get("value", "")),
        create_revision=int(fields.get("create_revision", 0)),
        mod_revision=int(fields.get("mod_revision", 0)),
        lease_id=int(fields.get("lease", 0)),
    )


def _encode_operation(operation: Put | Delete | Txn) -> dict:
    if isinstance(operation, Put):
        put = {"key": encode_text(operation.key), "value": encode_text(operation.value)}
        if operation.lease_id:
            put["lease"] = str(operation.lease_id)
        return {"request_put": put}
    if isinstance(operation, Delete):
        delete = {"key": encode_text(operation.key)}
        if operation.range_end:
            delete["range_end"] = encode_text(operation.range_end)
        return {"request_delete_range": delete}
    return {"request_txn": _encode_txn(operation)}


def _encode_txn(txn: Txn) -> dict:
    compare = [
        {
            "key": encode_text(c.key),
            "result": "EQUAL",
            "target": c.field.value,
            f"{c.field.value.lower()}_revision": str(c.revision),
        }
        for c in txn.compares
    ]
    failure = [{"request_range": {"key": encode_text(key)}} for key in txn.failure_reads]
    success = [_encode_operation(operation) for operation in txn.success]
    return {"compare": compare, "success": success, "failure": failure}


def _decode_txn(txn: Txn, answer: dict, revision: int) -> TxnDone:
    responses = answer.get("responses", [])
    if not answer.get("succeeded", False):
        reads = []
        for response in responses:
            found = response["response_range"].get("kvs", [])
            reads.append(decode_key_value(found[0]) if found else None)
        return TxnDone(False, revision, tuple(reads))
    nested = [
        _decode_txn(operation, response["response_txn"], revision)
        for operation, response in zip(txn.success, responses, strict=True)
        if isinstance(operation, Txn)
    ]
    return TxnDone(True, revision, nested=tuple(nested))


class EtcdStore:
    """Client of the platform's key-value service.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the service. If a call cannot connect to one, it tries the next one.
    timeout_s : float, default=2.0
        Time-out of a call to one URL.
    """

    __slots__ = ("_preferred_index", "_session", "timeout_s", "urls")

    def __init__(self, urls: Sequence[str], timeout_s: float = 2.0):
        self.urls = tuple(url.rstrip("/") for url in urls)
        self.timeout_s = timeout_s
        self._preferred_index = 0
        self._session: aiohttp.ClientSession | None = None

    @property
    def era(self) -> int:
        """Always 0: etcd does not report that it was restored (docs/design/store-eras.md)."""
        return 0

    def raise_era(self, era: int) -> None:
        """Do nothing: this store has only era 0."""

    async def range(self, key: str, range_end: str = "") -> RangeDone | Unavailable:
        body = {"key": encode_text(key)}
        if range_end:
            body["range_end"] = encode_text(range_end)
        answer = _decode(_decode_range, await self._call("/v3/kv/range", body))
        return Unavailable(answer.reason) if isinstance(answer, Unknown) else answer

    async def transact(self, txn: Txn) -> TxnDone | Unavailable | Unknown:
        answer = await self._call("/v3/kv/txn", _encode_txn(txn))
        return _decode(lambda fields: _decode_txn(txn, fields, _header_revision(fields)), answer)

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable | Unknown:
        answer = await self._call("/v3/lease/grant", {"TTL": str(max(1, round(ttl_s)))})
        return _decode(lambda fields: LeaseGranted(int(fields["ID"]), float(fields["TTL"])), answer)

    async def renew_lease(self, lease_id: int) -> LeaseGranted | LeaseLost | Unavailable:
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease_id)})
        ttl_s = _decode(_decode_kept_s, answer)
        if isinstance(ttl_s, Unavailable | Unknown):
            return Unavailable(ttl_s.reason)
        return LeaseGranted(lease_id, ttl_s) if ttl_s > 0 else LeaseLost(lease_id)

    async def revoke_lease(self, lease_id: int) -> LeaseLost | Unavailable | Unknown:
        answer = await self._call("/v3/lease/revoke", {"ID": str(lease_id)})
        return LeaseLost(lease_id) if isinstance(answer, dict) else answer

    async def watch(self, prefix: str, after: Position) -> AsyncGenerator[WatchBatch, None]:
        request = {
            "create_request": {
                "key": encode_text(prefix),
                "range_end": encode_text(prefix_end(prefix)),
                "start_revision": str(after.revision + 1),
            }
        }
        url = self.urls[self._preferred_index] + "/v3/watch"
        timeout = aiohttp.ClientTimeout(total=None, connect=self.timeout_s)
        try:
            async with self._http_session().post(
                url, json=request, timeout=timeout, allow_redirects=False
            ) as response:
                if response.status != 200:
                    return
                async for line in response.content:
                    for batch in _decode_watch_line(line):
                        yield batch
        except (aiohttp.ClientError, OSError, TimeoutError, *_DECODE_ERRORS) as error:
            log_event(_LOG, logging.INFO, "watch_ended", prefix=prefix, why=repr(error))
            return

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    def _http_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(self.timeout_s, IDLE_CONNECTION_TIMEOUT_S)
        return self._session

    async def _call(self, path: str, body: dict) -> dict | Unavailable | Unknown:
        outcome = Unavailable("no address of the store is set")
        for offset in range(len(self.urls)):
            index = (self._preferred_index + offset) % len(self.urls)
            answer = await self._call_url(self.urls[index] + path, body)
            if not isinstance(answer, Unavailable):
                self._preferred_index = index
                return answer
            outcome = answer
        self._preferred_index = (self._preferred_index + 1) % max(1, len(self.urls))
        return outcome

    async def _call_url(self, url: str, body: dict) -> dict | Unavailable | Unknown:
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self._http_session().post(
                url, data=orjson.dumps(body), timeout=timeout, allow_redirects=False
            ) as response:
                raw = await read_body(response, MAX_ANSWER_BYTES)
                if response.status == 200:
                    return load_object(raw)
                return Unknown(f"the store answered with status {response.status}")
        except _CONNECT_ERRORS as error:
            return Unavailable(f"the store cannot be reached: {error}")
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Unknown(f"the store's answer was lost: {type(error).__name__}")


def _decode(
    decode: Callable[[dict], Decoded], answer: dict | Unavailable | Unknown
) -> Decoded | Unavailable | Unknown:
    """Decode the fields of an answer; those that are no message of the API are logged, and unknown.

    A call that failed has no fields, and stays what it is.
    """
    if not isinstance(answer, dict):
        return answer
    try:
        return decode(answer)
    except _DECODE_ERRORS as error:
        log_event(_LOG, logging.ERROR, "store_answer_unreadable", why=repr(error))
        return Unknown(f"the store's answer cannot be decoded: {error!r}")


def _decode_range(answer: dict) -> RangeDone:
    items = tuple(decode_key_value(fields) for fields in answer.get("kvs", []))
    return RangeDone(items, _header_revision(answer))


def _decode_kept_s(answer: dict) -> float:
    """Return for how many seconds a lease was renewed; 0 if it is lost."""
    return float(answer.get("result", answer).get("TTL", 0))


def _header_revision(answer: dict) -> int:
    return int(answer.get("header", {}).get("revision", 0))


def _decode_watch_line(line: bytes) -> list[WatchBatch]:
    """Decode one line of the watch stream; return one batch for each revision.

    An event without a type is a put.
    """
    if not line.strip():
        return []
    events = orjson.loads(line).get("result", {}).get("events", [])
    changes = []
    for event in events:
        item = decode_key_value(event["kv"])
        removed = event.get("type") == "DELETE"
        changes.append((item.mod_revision, (item.key, None if removed else item.value)))
    grouped = itertools.groupby(changes, key=lambda change: change[0])
    return [WatchBatch(revision, tuple(c for _, c in group)) for revision, group in grouped]
