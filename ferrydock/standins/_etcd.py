"""Stand-in of the platform's key-value service: the part of the etcd v3 JSON API in use.

Faults: an outage, slow calls, applied writes whose answer is lost, silent watches.
Leases are made to expire through the `MemoryStore`.
"""

import asyncio
import base64
from collections import Counter
from dataclasses import dataclass

import orjson
from aiohttp import web

from ..store import (
    Compare,
    CompareField,
    Delete,
    KeyValue,
    LeaseLost,
    MemoryStore,
    Position,
    Put,
    Txn,
    TxnDone,
)

__all__ = ["StandInEtcd", "StoreFaults"]


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store that are switched on.

    Attributes
    ----------
    down : bool
        Every connection is aborted; calls have no effect and get no answer.
    delay_s : float
        Delay before each call, watches excepted.
    lose_answers : int
        Number of coming writes that are applied and whose answer is lost.
    silent_watches : bool
        Watch streams stay open and carry no events.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False


class StandInEtcd:
    """Serves a `MemoryStore` under the etcd v3 JSON API and counts the calls."""

    __slots__ = ("calls", "faults", "store")

    def __init__(self, store: MemoryStore):
        self.store = store
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [
            web.post("/v3/kv/range", self._with_faults(self._range)),
            web.post("/v3/kv/txn", self._with_faults(self._txn, write=True)),
            web.post("/v3/lease/grant", self._with_faults(self._grant, write=True)),
            web.post("/v3/lease/keepalive", self._with_faults(self._keep_alive)),
            web.post("/v3/lease/revoke", self._with_faults(self._revoke, write=True)),
            web.post("/v3/watch", self._watch),
        ]

    def _with_faults(self, call, write: bool = False):
        async def handler(request: web.Request) -> web.StreamResponse:
            self.calls[request.path] += 1
            if self.faults.delay_s:
                await asyncio.sleep(self.faults.delay_s)
            if self.faults.down:
                return _abort_connection(request)
            answer = await call(orjson.loads(await request.read()))
            if write and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return _abort_connection(request)
            return _json(answer)

        return handler

    def _header(self, revision: int | None = None) -> dict:
        return {"revision": str(self.store.revision if revision is None else revision)}

    async def _range(self, body: dict) -> dict:
        done = await self.store.range(
            _decoded_text(body["key"]), _decoded_text(body.get("range_end", ""))
        )
        kvs = [_key_value(item) for item in done.items]
        return {"header": self._header(done.revision), "kvs": kvs, "count": str(len(kvs))}

    async def _txn(self, body: dict) -> dict:
        txn = _parse_txn(body)
        done = await self.store.transact(txn)
        return {"header": self._header(done.revision), **_txn_answer(txn, done)}

    async def _grant(self, body: dict) -> dict:
        lease = await self.store.grant_lease(float(body["TTL"]))
        return {"header": self._header(), "ID": str(lease.lease_id), "TTL": body["TTL"]}

    async def _keep_alive(self, body: dict) -> dict:
        renewed = await self.store.renew_lease(int(body["ID"]))
        ttl_s = 0 if isinstance(renewed, LeaseLost) else int(renewed.ttl_s)
        result = {"ID": body["ID"], "TTL": str(ttl_s)} if ttl_s else {"ID": body["ID"]}
        return {"result": {"header": self._header(), **result}}

    async def _revoke(self, body: dict) -> dict:
        await self.store.revoke_lease(int(body["ID"]))
        return {"header": self._header()}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls[request.path] += 1
        if self.faults.down:
            return _abort_connection(request)
        body = orjson.loads(await request.read())["create_request"]
        first_revision = int(body.get("start_revision") or self.store.revision + 1)
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        await _write_line(response, {"header": self._header(), "created": True})
        try:
            await self._send_events(request, response, _decoded_text(body["key"]), first_revision)
        except ConnectionError:
            return response
        return _abort_connection(request)

    async def _send_events(self, request, response, prefix: str, first_revision: int) -> None:
        """Send the changes under `prefix` from `first_revision` on, until an outage."""
        async for batch in self.store.watch(prefix, Position(self.store.era, first_revision - 1)):
            if self.faults.down:
                return
            if self.faults.silent_watches:
                continue
            events = [_event(key, value, batch.revision) for key, value in batch.changes]
            await _write_line(response, {"header": self._header(), "events": events})


async def _write_line(response: web.StreamResponse, result: dict) -> None:
    await response.write(orjson.dumps({"result": result}) + b"\n")


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _json(fields: dict) -> web.Response:
    return web.Response(body=orjson.dumps(fields), content_type="application/json")


def _decoded_text(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


def _encoded(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")


def _key_value(item: KeyValue) -> dict:
    return {
        "key": _encoded(item.key.encode()),
        "value": _encoded(item.value),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "lease": str(item.lease_id),
    }


def _event(key: str, value: bytes | None, revision: int) -> dict:
    kv = {"key": _encoded(key.encode()), "mod_revision": str(revision)}
    if value is None:
        return {"type": "DELETE", "kv": kv}
    return {"kv": {**kv, "value": _encoded(value)}}


def _parse_txn(body: dict) -> Txn:
    compares = tuple(
        Compare(
            _decoded_text(c["key"]),
            int(c.get("mod_revision", c.get("create_revision", 0))),
            CompareField(c["target"]),
        )
        for c in body.get("compare", ())
    )
    success = tuple(_parse_operation(operation) for operation in body.get("success", ()))
    reads = tuple(_decoded_text(o["request_range"]["key"]) for o in body.get("failure", ()))
    return Txn(compares, success, reads)


def _parse_operation(operation: dict) -> Put | Delete | Txn:
    if "request_put" in operation:
        put = operation["request_put"]
        value = base64.b64decode(put.get("value", ""))
        return Put(_decoded_text(put["key"]), value, int(put.get("lease", 0)))
    if "request_delete_range" in operation:
        delete = operation["request_delete_range"]
        return Delete(_decoded_text(delete["key"]), _decoded_text(delete.get("range_end", "")))
    return _parse_txn(operation["request_txn"])


def _txn_answer(txn: Txn, done: TxnDone) -> dict:
    if not done.succeeded:
        reads = [
            {"response_range": {"kvs": [_key_value(item)] if item else []}} for item in done.reads
        ]
        return {"succeeded": False, "responses": reads}
    nested = iter(done.nested)
    responses = []
    for operation in txn.success:
        if isinstance(operation, Txn):
            responses.append({"response_txn": _txn_answer(operation, next(nested))})
        else:
            name = "response_put" if isinstance(operation, Put) else "response_delete_range"
            responses.append({name: {}})
    return {"succeeded": True, "responses": responses}
