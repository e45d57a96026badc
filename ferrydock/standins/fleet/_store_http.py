"""HTTP protocol of the platform's store on a `MemoryStore`, with fault injection."""

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
from ._broken import BrokenKind, broken_answer
from ._endless import EndlessKind, send_without_end

__all__ = ["StoreCall", "StoreFace", "StoreFaults"]

PAGE_SIZE = 50
MAX_TXN_ENTRIES = 32
MAX_WAIT_MS = 30000
TARGETS_PREFIX = "servers/"
PROTECTED_PREFIXES = ("op/", TARGETS_PREFIX)

# Header of all answers: how often the store was restored from an older copy.
ERA_HEADER = "Store-Era"

# Time for which a call gets no answer; longer than any caller waits (21.5 s).
SILENCE_S = 60.0


# Calls that can be answered without end; writes and leases are answered as usual meanwhile.
ENDLESS_CALLS = ("key", "range", "watch")

# Turns of the event loop within which a change reaches a watch that waits for it.
WAKE_UP_TURNS = 3


@dataclass(frozen=True, slots=True)
class StoreCall:
    """A call to one address of the store.

    Attributes
    ----------
    received_s, answered_s : float
        Loop time at which the call was read, and at which its answer was handed over.
    is_awaited : bool
        Whether the caller's connection was still open then.
    """

    kind: str
    received_s: float
    answered_s: float
    is_awaited: bool


@dataclass(slots=True)
class StoreFaults:
    """Faults of one address of the store.

    Attributes
    ----------
    down : str
        How all calls fail: ``busy`` (status 503), ``many`` (status 429), ``reset`` (connection
        aborted) or ``silent`` (no answer). Empty if they don't.
    lost_share : float
        Share of the transactions that are executed and not answered.
    refused_share : float
        Share of the transactions that are neither executed nor answered.
    slow_s : float
        Delay of each answer.
    silent_share : float
        Share of the calls of any kind that are neither executed nor answered.
    silent_kinds, busy_kinds : frozenset of str
        Kinds of calls that are neither executed nor answered, and that get status 503.
    endless : EndlessKind or None
        What reads and watches are answered with without end.
    endless_share : float
        Share of the reads and watches that are answered so.
    endless_until_s : float
        Loop time until which.
    broken : BrokenKind or None
        What is wrong with the answers to a share of the calls of any kind, which are executed.
    broken_share : float
        That share.
    lists_held_until_s : float
        Loop time until which watches of the target list get no answer; they are answered then.
    """

    down: str = ""
    lost_share: float = 0.0
    refused_share: float = 0.0
    slow_s: float = 0.0
    silent_share: float = 0.0
    silent_kinds: frozenset[str] = frozenset()
    busy_kinds: frozenset[str] = frozenset()
    endless: EndlessKind | None = None
    endless_share: float = 1.0
    endless_until_s: float = 0.0
    broken: BrokenKind | None = None
    broken_share: float = 1.0
    lists_held_until_s: float = 0.0


class StoreFace:
    """One address at which callers reach the store, with its own faults.

    Parameters
    ----------
    store : MemoryStore
        The store, which several addresses may share.
    rng : random.Random
        Decides which calls are refused and which answers are lost.

    Attributes
    ----------
    calls : dict
        Number of calls by kind.
    answered : list of StoreCall
        The calls that were answered, except watches, which wait for changes.
    address : str
        ``IP:PORT``, once started.
    latency_s : float
        Delay of each answer, that of the network to an undisturbed store.
    endless_answers, endless_bytes : int
        How many calls were answered without end, and the bytes of these answers.
    broken_answers : int
        How many calls got a broken answer.
    """

    def __init__(self, store: MemoryStore, rng: random.Random):
        self.store = store
        self.rng = rng
        self.faults = StoreFaults()
        self.latency_s = 0.0
        self.calls: dict[str, int] = {}
        self.answered: list[StoreCall] = []
        self.address = ""
        self.endless_answers = 0
        self.endless_bytes = 0
        self.broken_answers = 0
        self._waiting: set[asyncio.Transport] = set()
        self._sending: set[asyncio.Task[None]] = set()
        self._oldest_revision = 0
        self._silence_count = 0
        self._silent_connections: set[object] = set()
        self._runner: web.AppRunner | None = None

    async def start(self, listen: str = "127.0.0.1:0") -> str:
        """Start to listen; return the address as ``IP:PORT``."""
        app = web.Application(client_max_size=4 * 2**20)
        app.on_response_prepare.append(self._add_era_header)
        app.router.add_get("/v1/kv-key", self._with_faults("key", self._key))
        app.router.add_get("/v1/kv-range", self._with_faults("range", self._range))
        app.router.add_get("/v1/kv-watch", self._with_faults("watch", self._watch))
        app.router.add_post("/v1/kv-txn", self._with_faults("txn", self._txn))
        app.router.add_post("/v1/kv-lease", self._with_faults("lease", self._grant_lease))
        app.router.add_post("/v1/kv-keep/{lease}", self._with_faults("keep", self._renew_lease))
        app.router.add_delete(
            "/v1/kv-lease-end/{lease}", self._with_faults("end", self._revoke_lease)
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        host, port = listen.split(":")
        site = web.TCPSite(self._runner, host, int(port))
        await site.start()
        self.address = "{}:{}".format(*self._runner.addresses[0])
        return self.address

    async def close(self) -> None:
        """Stop listening."""
        for task in list(self._sending):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def answer_without_end(self, kind: EndlessKind, share: float, for_s: float) -> None:
        """Answer a share of the reads and watches with bytes without end for a time.

        So do the watches that wait now, without a change.
        """
        self.faults.endless, self.faults.endless_share = kind, share
        self.faults.endless_until_s = asyncio.get_running_loop().time() + for_s
        for transport in list(self._waiting):
            if self._is_endless("watch"):
                self._waiting.discard(transport)
                task = asyncio.ensure_future(self._send_without_end(transport))
                self._sending.add(task)
                task.add_done_callback(self._sending.discard)

    def _is_endless(self, kind: str) -> bool:
        """Return whether a call is answered without end, by a draw if it can be."""
        faults = self.faults
        if faults.endless is None or kind not in ENDLESS_CALLS:
            return False
        if asyncio.get_running_loop().time() >= faults.endless_until_s:
            faults.endless = None
            return False
        return self.rng.random() < faults.endless_share

    async def _send_without_end(self, transport: asyncio.Transport) -> None:
        faults = self.faults
        if faults.endless is None:
            return
        self.endless_answers += 1
        self.endless_bytes += await send_without_end(
            transport, faults.endless, {}, faults.endless_until_s
        )

    def forget_history(self) -> None:
        """Compact the store's history: watches from an earlier revision get status 410."""
        self._oldest_revision = self.store.revision

    def silence_waits(self) -> None:
        """Withhold the answers of the calls in progress for `SILENCE_S`; later calls are answered.

        This simulates an outage of the store during a long poll, and a connection that fails
        without a reset.
        """
        self._silence_count += 1

    def silence_connections(self) -> None:
        """Answer nothing more on the connections that are open; new connections are answered.

        This simulates a path that lost its state: neither side receives a reset.
        """
        self.silence_waits()
        server = require(self._runner, "the runner").server
        self._silent_connections.update(require(server, "the server").connections)

    async def _add_era_header(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers[ERA_HEADER] = str(self.store.era)

    def _with_faults(self, kind: str, handler):
        async def handle(request: web.Request) -> web.Response:
            self.calls[kind] = self.calls.get(kind, 0) + 1
            received_s = asyncio.get_running_loop().time()
            silence_count = self._silence_count
            if request.protocol in self._silent_connections:
                await asyncio.sleep(SILENCE_S)
            if kind in self.faults.silent_kinds or self.rng.random() < self.faults.silent_share:
                await asyncio.sleep(SILENCE_S)
            if kind in self.faults.busy_kinds:
                return web.Response(status=503)
            refusal = await self._refusal(request)
            if refusal is not None:
                return refusal
            answer = await self._execute(request, kind, handler)
            if kind == "watch" and request.query["path-prefix"] == TARGETS_PREFIX:
                await self._hold()
            await asyncio.sleep(self.latency_s + self.faults.slow_s)
            if silence_count != self._silence_count:
                await asyncio.sleep(SILENCE_S)
            if kind == "txn" and self.rng.random() < self.faults.lost_share:
                await asyncio.sleep(SILENCE_S)
            if kind != "watch":
                self._record(request, kind, received_s)
            return self._break_or_pass(request, answer)

        return handle

    def _break_or_pass(self, request: web.Request, sound: web.Response) -> web.Response:
        """Return a sound answer, or write a broken one in its place and close the connection."""
        kind = self.faults.broken
        if kind is None or self.rng.random() >= self.faults.broken_share:
            return sound
        if request.transport is not None and isinstance(sound.body, bytes):
            self.broken_answers += 1
            request.transport.write(broken_answer(kind, sound.headers, sound.body))
            request.transport.close()
        return web.Response(status=503)

    async def _hold(self) -> None:
        """Wait as long as answers to watches of the target list are held back."""
        loop = asyncio.get_running_loop()
        while (held_s := self.faults.lists_held_until_s - loop.time()) > 0:
            await asyncio.sleep(held_s)

    async def _execute(self, request: web.Request, kind: str, handler) -> web.Response:
        transport = request.transport
        if transport is None:
            return web.Response(status=503)  # the caller has closed the connection
        if self._is_endless(kind):
            await self._send_without_end(transport)
            return web.Response(status=503)  # the connection is closed
        if kind != "watch":
            return await handler(request)
        self._waiting.add(transport)
        try:
            answer = await handler(request)
            if transport not in self._waiting:
                await asyncio.sleep(SILENCE_S)  # it is being answered without end
            return answer
        finally:
            self._waiting.discard(transport)

    def _record(self, request: web.Request, kind: str, received_s: float) -> None:
        answered_s = asyncio.get_running_loop().time()
        transport = request.transport
        is_awaited = transport is not None and not transport.is_closing()
        self.answered.append(StoreCall(kind, received_s, answered_s, is_awaited))

    async def _refusal(self, request: web.Request) -> web.Response | None:
        down = self.faults.down
        if down == "silent":
            await asyncio.sleep(SILENCE_S)
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
        page = [_item(item) for item in items[:PAGE_SIZE]]
        body = {
            "entries": page,
            "truncated": len(items) > PAGE_SIZE,
            "store-revision": found.revision,
        }
        return _json(body)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["path-prefix"]
        since_revision = int(request.query["since-revision"])
        wait_s = min(int(request.query["wait-ms"]), MAX_WAIT_MS) / 1000
        era = self.store.era
        if since_revision < self._oldest_revision or since_revision > self.store.revision:
            return _json({}, 410)
        batches, revision = await self._next_batches(prefix, since_revision, wait_s)
        if era != self.store.era:
            return _json({}, 410)
        if not batches:
            return _json({"events": [], "store-revision": revision})
        events = [
            await self._event(key, value, batch.revision)
            for batch in batches
            for key, value in batch.changes
        ]
        return _json({"events": events, "store-revision": batches[-1].revision})

    async def _next_batches(
        self, prefix: str, since_revision: int, wait_s: float
    ) -> tuple[list[WatchBatch], int]:
        """Return all changes after revision `since_revision`; wait up to `wait_s` for the first.

        Returns the revision too up to which the changes are complete.
        """
        changes = self.store.watch(prefix, Position(self.store.era, since_revision))
        first = asyncio.ensure_future(anext(changes))
        found: list[WatchBatch] = []
        revision = since_revision
        try:
            await asyncio.wait({first}, timeout=wait_s)
            revision = self.store.revision
            for _ in range(WAKE_UP_TURNS):
                await asyncio.sleep(0)
            if not first.done():
                return [], revision
            found.append(first.result())
            async with asyncio.timeout(0):
                while True:
                    found.append(await anext(changes))
        except (TimeoutError, StopAsyncIteration):
            return found, found[-1].revision if found else revision
        finally:
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            await changes.aclose()

    async def _event(self, key: str, value: bytes | None, revision: int) -> dict:
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        found = await self.store.range(key)
        item = found.items[0] if found.items else KeyValue(key, value, revision, revision)
        return _item(KeyValue(key, value, item.create_revision, revision, item.lease_id))

    async def _txn(self, request: web.Request) -> web.Response:
        if self.rng.random() < self.faults.refused_share:
            await asyncio.sleep(SILENCE_S)
        body = orjson.loads(await request.read())
        expected = body.get("expected-revision", ())
        writes, removed = body.get("writes", ()), body.get("remove", ())
        if len(expected) + len(writes) + len(removed) > MAX_TXN_ENTRIES:
            return _json({}, 400)
        if any(
            key.startswith(PROTECTED_PREFIXES) for key in (*(w["key"] for w in writes), *removed)
        ):
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

    async def _grant_lease(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        lease = await self.store.grant_lease(body["ttl-ms"] / 1000)
        return _json({"lease": lease.lease_id, "ttl-ms": int(lease.ttl_s * 1000)})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        renewed = await self.store.renew_lease(int(request.match_info["lease"]))
        if isinstance(renewed, LeaseLost):
            return _json({}, 404)
        return _json({"ttl-ms": int(renewed.ttl_s * 1000)})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
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
