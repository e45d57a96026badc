"""A worker by its published protocol: requests, streams, orders, reports, health."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson
from aiohttp import web

from ...invariants import require
from ...targets import (
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    OpenOrder,
    Order,
    OrderRefused,
    StageOrder,
)
from ._workers import Fleet, LeavingSaid, NamedLimit, Shedding, Worker

__all__ = [
    "CRASHING_BODY",
    "KV_TOKENS",
    "CrashingRequest",
    "LeavingArrival",
    "RunRecord",
    "WorkerFace",
]

KV_TOKENS = 100000

# A body that begins so crashes each worker that begins to run it.
CRASHING_BODY = b"crash"

_REFUSAL_STATUS = {"state": 409, "epoch": 412, "invalid": 400}
_ONE_MOMENT_S = 0.02
_CLOSE_S = 0.1


@dataclass(slots=True)
class CrashingRequest:
    """What the workers of a site have seen of one request that crashes them.

    Attributes
    ----------
    arrived : list of (float, str)
        Loop time at which it reached a worker, and the id of the caller's try.
    crashed_s : list of float
        Loop times at which a worker ended under it.
    """

    arrived: list[tuple[float, str]] = field(default_factory=list)
    crashed_s: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LeavingArrival:
    """A request that reached a worker which had said that it leaves.

    Attributes
    ----------
    at_s : float
        Loop time.
    after_s : float
        Time since the store had the worker's word.
    """

    request_id: str
    worker_id: str
    at_s: float
    after_s: float


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
    crashing : dict
        Requests that crash workers, by path, tenant and body.
    at_leaving : list of LeavingArrival
        Requests that reached workers which had said that they leave.
    limits : list of NamedLimit
        Limits that workers have named.
    shed : list of Shedding
        Times in which workers refused all requests.
    leaving_said : list of LeavingSaid
        Workers whose answers say that they leave.
    """

    runs: dict[str, int] = field(default_factory=dict)
    tenants: dict[str, str] = field(default_factory=dict)
    workers: dict[str, set[str]] = field(default_factory=dict)
    worked_s: dict[str, float] = field(default_factory=dict)
    keys_seen: int = 0
    crashing: dict[tuple[str, str, bytes], CrashingRequest] = field(default_factory=dict)
    at_leaving: list[LeavingArrival] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    shed: list[Shedding] = field(default_factory=list)
    leaving_said: list[LeavingSaid] = field(default_factory=list)

    def note_leaving(self, request: web.BaseRequest, worker: Worker) -> None:
        """Note that a request has reached a worker, if that has said that it leaves."""
        if worker.left_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        request_id = request.headers["X-Attempt-Id"]
        after_s = now_s - worker.left_s
        self.at_leaving.append(LeavingArrival(request_id, worker.worker_id, now_s, after_s))

    def note_said(self, request: web.BaseRequest, worker: Worker) -> None:
        """Note that a request has reached a worker that names a limit or says that it leaves."""
        arrival = (asyncio.get_running_loop().time(), request.headers["X-Attempt-Id"])
        for said in (worker.limit, worker.leaving_said):
            if said is not None:
                said.arrived.append(arrival)

    def note_crashing(self, request: web.BaseRequest, body: bytes) -> CrashingRequest:
        """Note that a request which crashes workers has reached one; return what is known of it."""
        key = (request.raw_path, request.headers.get("X-Tenant", ""), body)
        seen = self.crashing.setdefault(key, CrashingRequest())
        now_s = asyncio.get_running_loop().time()
        seen.arrived.append((now_s, request.headers["X-Attempt-Id"]))
        return seen

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
    crash_after_s : float
        Time from the begin of a run of a request that crashes the worker until it does.
    on_crash : callable
        Ends the process of the worker; it may be started again.
    """

    def __init__(
        self,
        worker: Worker,
        fleet: Fleet | None,
        record: RunRecord,
        first_s: float = 0.05,
        event_s: float = 0.02,
        events: int = 10,
        crash_after_s: float = 0.05,
        on_crash: Callable[[Worker], None] = lambda worker: None,
    ):
        self.worker = worker
        self.fleet = fleet
        self.record = record
        self.first_s = first_s
        self.event_s = event_s
        self.events = events
        self.crash_after_s = crash_after_s
        self.on_crash = on_crash
        self._server: web.Server | None = None
        self._sockets: asyncio.Server | None = None
        self.has_crashed = False

    async def start(self) -> str:
        """Begin to listen, at the same address after a crash; return the address."""
        _, _, port = self.worker.address.rpartition(":")
        self._server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._sockets = await asyncio.get_running_loop().create_server(
            self._server, "127.0.0.1", int(port or 0)
        )
        self.worker.address = "{}:{}".format(*self._sockets.sockets[0].getsockname())
        return self.worker.address

    def crash(self) -> None:
        """End as a process that crashes: the port is closed, the connections are reset."""
        self.has_crashed = True
        if self._sockets is not None:
            self._sockets.close()
        for connection in self._server.connections if self._server is not None else ():
            if connection.transport is not None:
                connection.transport.abort()

    async def close(self) -> None:
        """Stop listening."""
        if self._sockets is not None:
            self._sockets.close()
        if self._server is not None:
            await self._server.shutdown(_CLOSE_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.worker.alive and self.has_crashed:
            # Its port is open again, and the process is not yet there: as a port that is closed.
            require(request.transport, "the connection").abort()
            raise asyncio.CancelledError
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
            return self._report(request)
        if request.path == "/healthz":
            status = 503 if self.worker.draining else 200
            headers = {"X-Instance-Id": self.worker.worker_id, **self._says(request)}
            return web.Response(status=status, headers=headers)
        if "X-Attempt-Id" not in request.headers:
            return self._refuse(request, 400)
        return await self._answer(request)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request of a caller."""
        self.record.note_leaving(request, self.worker)
        self.record.note_said(request, self.worker)
        if self.worker.shedding is not None and self._is_shed(request, self.worker.shedding):
            return self._refuse(request, 503, self.worker.shedding.rest_s)
        if self.fleet is None:
            return await self._plain(request)
        return await self._stream(request)

    def _is_shed(self, request: web.BaseRequest, shedding: Shedding) -> bool:
        """Note a request that has come, and return whether it is refused."""
        arrival = (asyncio.get_running_loop().time(), request.headers["X-Attempt-Id"])
        shedding.arrived.append(arrival)
        if not shedding.is_over:
            shedding.refused.append(arrival)
        return not shedding.is_over

    def _refuse(
        self, request: web.BaseRequest, status: int, rest_s: float | None = None
    ) -> web.Response:
        headers = {"X-Not-Executed": "1", "At-Server": self.worker.worker_id}
        if rest_s is not None:
            headers["Retry-After"] = f"{rest_s:g}"
        return web.Response(status=status, headers={**headers, **self._says(request)})

    def _signed(self, request: web.BaseRequest) -> dict[str, str]:
        return {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Server-Stamp": f"stamp.{self.worker.worker_id}",
            **self._says(request),
        }

    def _says(self, request: web.BaseRequest) -> dict[str, str]:
        """Return what the worker says of itself in the answer that it writes now."""
        limit, leaving_said = self.worker.limit, self.worker.leaving_said
        request_id = request.headers.get("X-Attempt-Id")
        if request_id is not None:
            told = (asyncio.get_running_loop().time(), request_id)
            for said in (limit, leaving_said):
                if said is not None:
                    said.told.append(told)
        headers = {"Server-Limit": f"{limit.per_s:g}"} if limit is not None else {}
        return headers | ({"Server-Leaving": "1"} if leaving_said is not None else {})

    async def _plain(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        self.record.note_arrival(request, self.worker)
        self.record.note(request)
        await self._crash_under(request, body)
        await asyncio.sleep(self.first_s)
        self.record.note_work(request)
        return web.Response(body=b"whole:" + body, headers=self._signed(request))

    async def _stream(self, request: web.BaseRequest) -> web.StreamResponse:
        worker = self.worker
        body = await request.read()
        if worker.running >= worker.engine.slots or not self._serves():
            return self._refuse(request, 503)
        worker.running += 1
        born_ms = worker.born_ms
        try:
            self.record.note_arrival(request, worker)
            self.record.note(request)
            await self._crash_under(request, body)
            await asyncio.sleep(self.first_s)
            return await self._events(request)
        finally:
            if worker.born_ms == born_ms:
                worker.running -= 1

    async def _crash_under(self, request: web.BaseRequest, body: bytes) -> None:
        """End the worker's process if the request is one that crashes it."""
        if not body.startswith(CRASHING_BODY):
            return
        seen = self.record.note_crashing(request, body)
        born_ms = self.worker.born_ms
        await asyncio.sleep(self.crash_after_s)
        if self.worker.born_ms == born_ms and self.worker.alive:
            seen.crashed_s.append(asyncio.get_running_loop().time())
            self.on_crash(self.worker)
        raise asyncio.CancelledError  # the worker has crashed, and its connections with it

    def _serves(self) -> bool:
        place = self.worker.membership
        if place is None or place.state.value != "open":
            return False
        require(self.fleet, "the fleet").serve(self.worker)
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
        while not (self.worker.alive and require(self.fleet, "the fleet").whole(self.worker)):
            place = self.worker.membership
            if self.worker.group_key != key or place is None or place.state.value == "broken":
                require(request.transport, "the connection").abort()
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
        status = 200 if answer.already else 202
        return web.Response(status=status, headers=self._says(request))

    def _report(self, request: web.BaseRequest) -> web.Response:
        worker = self.worker
        fields = {
            "phase": "colocated",
            "models": entry_models(worker),
            "utilization": False,
            "sequence": worker.orders,
            "born": worker.born_ms,
            "waiting": 0,
            "running": worker.running,
            "kv-used": 0,
            "kv-total": KV_TOKENS,
            "group": entry_group(worker),
            "staged": worker.staged,
            "domain": worker.domain,
            "pace": 1.0,
        }
        headers = {"Content-Type": "application/json", **self._says(request)}
        return web.Response(body=orjson.dumps(fields), headers=headers)


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
