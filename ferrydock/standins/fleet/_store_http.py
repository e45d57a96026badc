"""The platform's store by its published protocol, on a store in memory, with its faults."""

import asyncio
import base64
import random
from dataclasses import dataclass

import orjson
from aiohttp import web

from ...invariants import require
from ...store import (
    Compare,
    Delete,
    KeyValue,
    LeaseLost,
    MemoryStore,
    Position,
    Put,
    Txn,
    WatchBatch,
    prefix_end,
)

__all__ = ["StoreFace", "StoreFaults"]

PAGE = 50
LONGEST_WAIT_MS = 30000
GUARDED = ("op/", "servers/")

# Header of all answers: how often the store has come back older.
ERA_HEADER = "Store-Era"

# How long a call is left without an answer: longer than any caller waits (21.5 s).
SILENT_S = 60.0


@dataclass(slots=True)
class StoreFaults:
    """What goes wrong with calls.

    Attributes
    ----------
    down : str
        Empty, ``busy`` (503), ``many`` (429), ``reset`` or ``silent``.
    lost_share : float
        Part of the writing calls that are done and not answered.
    refused_share : float
        Part of the writing calls that are neither done nor answered.
    slow_s : float
        Added to each answer.
    """

    down: str = ""
    lost_share: float = 0.0
    refused_share: float = 0.0
    slow_s: float = 0.0


class StoreFace:
    """One address at which callers reach the store; faults are its own.

    Parameters
    ----------
    store : MemoryStore
        What is stored; several faces may share it.
    rng : random.Random
        Draws which answers are lost.
    """

    def __init__(self, store: MemoryStore, rng: random.Random):
        self.store = store
        self.rng = rng
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        self.address = ""
        self._oldest = 0
        self._silenced = 0
        self._runner: web.AppRunner | None = None

    async def start(self, listen: str = "127.0.0.1:0") -> str:
        """Begin to listen; return the address."""
        app = web.Application(client_max_size=4 * 2**20)
        app.on_response_prepare.append(self._tell_era)
        app.router.add_get("/v1/kv-key", self._bounded("key", self._key))
        app.router.add_get("/v1/kv-range", self._bounded("range", self._range))
        app.router.add_get("/v1/kv-watch", self._bounded("watch", self._watch))
        app.router.add_post("/v1/kv-txn", self._bounded("txn", self._txn))
        app.router.add_post("/v1/kv-lease", self._bounded("lease", self._lease))
        app.router.add_post("/v1/kv-keep/{lease}", self._bounded("keep", self._keep))
        app.router.add_delete("/v1/kv-lease-end/{lease}", self._bounded("end", self._end))
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, port = listen.split(":")
        site = web.TCPSite(self._runner, host, int(port))
        await site.start()
        self.address = "{}:{}".format(*self._runner.addresses[0])
        return self.address

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def forget_history(self) -> None:
        """Drop all changes up to now: whoever watches from before gets 410."""
        self._oldest = self.store.revision

    def silence_waits(self) -> None:
        """Leave the calls that wait now without an answer for good; later calls are answered.

        So it is with a wait over which the store was silent, and with a connection that falls
        silent without a reset.
        """
        self._silenced += 1

    async def _tell_era(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers[ERA_HEADER] = str(self.store.era)

    def _bounded(self, kind: str, handler):
        async def handle(request: web.Request) -> web.Response:
            self.calls[kind] = self.calls.get(kind, 0) + 1
            silenced = self._silenced
            refusal = await self._refusal(request)
            if refusal is not None:
                return refusal
            answer = await handler(request)
            await asyncio.sleep(self.faults.slow_s)
            if silenced != self._silenced:
                await asyncio.sleep(SILENT_S)
            if kind == "txn" and self.rng.random() < self.faults.lost_share:
                await asyncio.sleep(SILENT_S)
            return answer

        return handle

    async def _refusal(self, request: web.Request) -> web.Response | None:
        down = self.faults.down
        if down == "silent":
            await asyncio.sleep(SILENT_S)
        if down == "reset":
            require(request.transport, "the connection").abort()
        if down in ("silent", "reset"):
            return web.Response(status=503)
        if down:
            return web.Response(status=429 if down == "many" else 503)
        return None

    # Calls ------------------------------------------------------------------------------------

    async def _key(self, request: web.Request) -> web.Response:
        found = await self.store.range(request.query["key"])
        if not found.items:
            return _json({"store-revision": found.revision}, 404)
        return _json({**_item(found.items[0]), "store-revision": found.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query["path-prefix"]
        found = await self.store.range(prefix, prefix_end(prefix))
        after = request.query.get("since-revision", "")
        items = [item for item in found.items if item.key > after]
        page = [_item(item) for item in items[:PAGE]]
        body = {"entries": page, "truncated": len(items) > PAGE, "store-revision": found.revision}
        return _json(body)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["path-prefix"]
        since = int(request.query["since-revision"])
        wait_s = min(int(request.query["wait-ms"]), LONGEST_WAIT_MS) / 1000
        era = self.store.era
        if since < self._oldest or since > self.store.revision:
            return _json({}, 410)
        batches = await self._next_batches(prefix, since, wait_s)
        if era != self.store.era:
            return _json({}, 410)
        if not batches:
            return _json({"events": [], "store-revision": self.store.revision})
        events = [
            await self._event(key, value, batch.revision)
            for batch in batches
            for key, value in batch.changes
        ]
        return _json({"events": events, "store-revision": batches[-1].revision})

    async def _next_batches(self, prefix: str, since: int, wait_s: float) -> list[WatchBatch]:
        """Return all changes that there are, or the next one if there is none yet."""
        changes = self.store.watch(prefix, Position(self.store.era, since))
        found = []
        try:
            async with asyncio.timeout(wait_s):
                found.append(await anext(changes))
            async with asyncio.timeout(0):
                while True:
                    found.append(await anext(changes))
        except (TimeoutError, StopAsyncIteration):
            return found
        finally:
            await changes.aclose()

    async def _event(self, key: str, value: bytes | None, revision: int) -> dict:
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        found = await self.store.range(key)
        item = found.items[0] if found.items else KeyValue(key, value, revision, revision)
        return _item(KeyValue(key, value, item.create_revision, revision, item.lease_id))

    async def _txn(self, request: web.Request) -> web.Response:
        if self.rng.random() < self.faults.refused_share:
            await asyncio.sleep(SILENT_S)
        body = orjson.loads(await request.read())
        expected = body.get("expected-revision", ())
        writes, removed = body.get("writes", ()), body.get("remove", ())
        if any(key.startswith(GUARDED) for key in (*(w["key"] for w in writes), *removed)):
            return _json({}, 403)
        txn = Txn(
            tuple(Compare(row["key"], row["revision"]) for row in expected),
            (
                *(
                    Put(w["key"], base64.b64decode(w["value"], validate=True), w.get("lease", 0))
                    for w in writes
                ),
                *(Delete(key) for key in removed),
            ),
            tuple(row["key"] for row in expected),
        )
        done = await self.store.transact(txn)
        if done.succeeded:
            return _json({"revision": done.revision})
        entries = [_item(item) for item in done.reads if item is not None]
        return _json({"entries": entries, "store-revision": self.store.revision}, 412)

    async def _lease(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        lease = await self.store.grant_lease(body["ttl-ms"] / 1000)
        return _json({"lease": lease.lease_id, "ttl-ms": int(lease.ttl_s * 1000)})

    async def _keep(self, request: web.Request) -> web.Response:
        kept = await self.store.renew_lease(int(request.match_info["lease"]))
        if isinstance(kept, LeaseLost):
            return _json({}, 404)
        return _json({"ttl-ms": int(kept.ttl_s * 1000)})

    async def _end(self, request: web.Request) -> web.Response:
        await self.store.revoke_lease(int(request.match_info["lease"]))
        return _json({})


def _json(body: dict, status: int = 200) -> web.Response:
    return web.Response(status=status, body=orjson.dumps(body), content_type="application/json")


def _item(item: KeyValue) -> dict:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.mod_revision,
        "created": item.create_revision,
        "lease": item.lease_id,
    }
