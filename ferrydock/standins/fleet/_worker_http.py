"""A worker by its published protocol: requests, streams, orders, reports, health."""

import asyncio
from dataclasses import dataclass, field

import orjson
from aiohttp import web

from ...invariants import existing
from ...targets import (
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    OpenOrder,
    Order,
    OrderRefused,
    StageOrder,
)
from ._workers import Fleet, Worker

__all__ = ["KV_TOKENS", "RunRecord", "WorkerFace"]

KV_TOKENS = 100000

_REFUSAL_STATUS = {"state": 409, "epoch": 412, "invalid": 400}
_ONE_MOMENT_S = 0.02


@dataclass(slots=True)
class RunRecord:
    """What the workers of a site have run, by request id.

    Attributes
    ----------
    workers : dict
        Ids of the workers that a request reached, other members of their replicas included;
        also those that are silent and run nothing.
    worked_s : dict
        Loop time at which a worker last worked on a request.
    """

    runs: dict[str, int] = field(default_factory=dict)
    tenants: dict[str, str] = field(default_factory=dict)
    workers: dict[str, set[str]] = field(default_factory=dict)
    worked_s: dict[str, float] = field(default_factory=dict)
    keys_seen: int = 0

    def note(self, request: web.BaseRequest) -> None:
        """Note a request that begins to run at a worker."""
        request_id = request.headers["X-Attempt-Id"]
        self.note_work(request)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.tenants[request_id] = request.headers.get("X-Tenant", "")
        self.keys_seen += "Authorization" in request.headers

    def note_arrival(self, request: web.BaseRequest, worker: Worker) -> None:
        """Note that a request has reached a worker."""
        request_id = request.headers["X-Attempt-Id"]
        self.workers.setdefault(request_id, set()).update((worker.worker_id, *worker.members))

    def note_work(self, request: web.BaseRequest) -> None:
        """Note that a request is worked on now."""
        self.worked_s[request.headers["X-Attempt-Id"]] = asyncio.get_running_loop().time()


class WorkerFace:
    """Listens for one worker.

    Parameters
    ----------
    worker : Worker
        Its state.
    fleet : Fleet or None
        Judges orders and groups; None for a worker of a plain service.
    record : RunRecord
        Shared by the site.
    first_s, event_s : float
        Time to the first event, and between two.
    events : int
        Events of a stream.
    """

    def __init__(
        self,
        worker: Worker,
        fleet: Fleet | None,
        record: RunRecord,
        first_s: float = 0.05,
        event_s: float = 0.02,
        events: int = 10,
    ):
        self.worker = worker
        self.fleet = fleet
        self.record = record
        self.first_s = first_s
        self.event_s = event_s
        self.events = events
        self._runner: web.ServerRunner | None = None

    async def start(self) -> str:
        """Begin to listen; return the address."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.worker.address = "{}:{}".format(*self._runner.addresses[0])
        return self.worker.address

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.worker.alive:
            if "X-Attempt-Id" in request.headers:
                self.record.note_arrival(request, self.worker)
            await asyncio.sleep(60)
        wanted = request.headers.get("X-Expect-Instance", self.worker.worker_id)
        if wanted != self.worker.worker_id:
            headers = {"X-Instance-Id": self.worker.worker_id, "At-Server": self.worker.worker_id}
            return web.Response(status=421, headers=headers)
        if request.path == "/v1/order":
            return await self._order(request)
        if request.path == "/v1/report":
            return self._report()
        if request.path == "/healthz":
            status = 503 if self.worker.draining else 200
            return web.Response(status=status, headers={"X-Instance-Id": self.worker.worker_id})
        if "X-Attempt-Id" not in request.headers:
            return self._refuse(400)
        if self.fleet is None:
            return await self._plain(request)
        return await self._stream(request)

    def _refuse(self, status: int) -> web.Response:
        headers = {"X-Not-Executed": "1", "At-Server": self.worker.worker_id}
        return web.Response(status=status, headers=headers)

    def _signed(self, request: web.BaseRequest) -> dict[str, str]:
        return {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Server-Stamp": f"stamp.{self.worker.worker_id}",
        }

    async def _plain(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        self.record.note_arrival(request, self.worker)
        self.record.note(request)
        await asyncio.sleep(self.first_s)
        self.record.note_work(request)
        return web.Response(body=b"whole:" + body, headers=self._signed(request))

    async def _stream(self, request: web.BaseRequest) -> web.StreamResponse:
        worker = self.worker
        await request.read()
        if worker.running >= worker.engine.slots or not self._serves():
            return self._refuse(503)
        worker.running += 1
        try:
            self.record.note_arrival(request, worker)
            self.record.note(request)
            await asyncio.sleep(self.first_s)
            return await self._events(request)
        finally:
            worker.running -= 1

    def _serves(self) -> bool:
        place = self.worker.membership
        if place is None or place.state.value != "open":
            return False
        existing(self.fleet, "the fleet").serve(self.worker)
        return True

    async def _events(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {**self._signed(request), "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        after = int(request.headers.get("Last-Event-Id", 0))
        key = self.worker.group_key
        for number in range(after + 1, self.events + 1):
            await self._until_whole(request, key)
            await response.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            self.record.note_work(request)
            await asyncio.sleep(self.event_s)
        await response.write_eof()
        return response

    async def _until_whole(self, request: web.BaseRequest, key: tuple[str, int] | None) -> None:
        """Stand still while a member is missing; break off once the group is broken."""
        while not (self.worker.alive and existing(self.fleet, "the fleet").whole(self.worker)):
            place = self.worker.membership
            if self.worker.group_key != key or place is None or place.state.value == "broken":
                existing(request.transport, "the connection").abort()
                raise asyncio.CancelledError
            await asyncio.sleep(_ONE_MOMENT_S)

    async def _order(self, request: web.BaseRequest) -> web.Response:
        fields = orjson.loads(await request.read())
        order = _order_of(fields)
        if order is None or self.fleet is None:
            return web.Response(status=400)
        answer = self.fleet.order(self.worker, order, fields.get("expected-revision"))
        if answer is None:
            await asyncio.sleep(60)
            return web.Response(status=503)
        if isinstance(answer, OrderRefused):
            return web.Response(status=_REFUSAL_STATUS[answer.reason])
        return web.Response(status=200 if answer.already else 202)

    def _report(self) -> web.Response:
        worker = self.worker
        fields = {
            "phase": "colocated",
            "models": entry_models(worker),
            "utilization": False,
            "sequence": worker.orders,
            "waiting": 0,
            "running": worker.running,
            "kv-used": 0,
            "kv-total": KV_TOKENS,
            "group": entry_group(worker),
            "staged": worker.staged,
            "domain": worker.domain,
            "pace": 1.0,
        }
        return web.Response(body=orjson.dumps(fields), content_type="application/json")


def entry_models(worker: Worker) -> list[dict]:
    """Return the models that a worker tells of."""
    return [{"name": name, "version": 1, "adapters": []} for name in worker.entry.models]


def entry_group(worker: Worker) -> dict | None:
    """Return the group that a worker tells of."""
    place = worker.membership
    if place is None:
        return None
    return {
        "name": place.replica,
        "epoch": place.epoch,
        "rank": place.rank,
        "state": place.state.value,
    }


def _order_of(fields: dict) -> Order | None:
    match fields.get("operation"):
        case "join":
            members = tuple(fields["members"])
            return JoinOrder(fields["group"], fields["epoch"], fields["model"], members)
        case "open":
            return OpenOrder(fields["group"], fields["epoch"])
        case "close":
            cut = fields.get("method") == "preempt"
            return CloseOrder(fields["group"], fields["epoch"], cut)
        case "leave":
            return LeaveOrder(fields["group"], fields["epoch"])
        case "phase":
            return StageOrder(fields["model"])
    return None
