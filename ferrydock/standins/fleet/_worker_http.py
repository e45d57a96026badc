"""HTTP protocol of a worker: requests, event streams, orders, reports and health checks."""

import asyncio
import random
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import orjson
from aiohttp import web

from ...invariants import require
from ...targets import (
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    Membership,
    OpenOrder,
    Order,
    OrderDone,
    OrderRefused,
    StageOrder,
)
from ._broken import BrokenKind, BrokenPeriod, broken_answer
from ._caller import answer_events
from ._endless import EndlessKind, send_without_end
from ._workers import EndlessPeriod, Fleet, LeavingSaid, NamedLimit, Shedding, Worker

__all__ = [
    "CRASHING_BODY",
    "CRASHING_PART",
    "KV_CAPACITY_TOKENS",
    "CrashingRequest",
    "LeavingArrival",
    "OrderGate",
    "ReceivedOrder",
    "ReplicaArrival",
    "RunRecord",
    "SocketSizes",
    "StreamFaults",
    "WorkerFace",
]

KV_CAPACITY_TOKENS = 100000

# A request whose body starts with these bytes crashes each worker that starts to run it.
CRASHING_BODY = b"crash"

# A part of a prompt, other than the last, whose id begins so crashes each worker that begins to
# write an answer on it.
CRASHING_PART = "dead"

# Requests to a worker of the plain service whose path begins so are worked on for this time.
LONG_WORK_PATH = "/long/"
LONG_WORK_S = (4.5, 6.0)

# Share of these requests whose answers get a head before the crash.
HEAD_BEFORE_CRASH_SHARE = 0.5

# How many events a faulty resumed stream repeats.
REPEATED_EVENTS = 2

_REFUSAL_STATUS = {"state": 409, "epoch": 412, "invalid": 400}
_GROUP_POLL_INTERVAL_S = 0.02
_CLOSE_TIMEOUT_S = 0.1


@dataclass(frozen=True, slots=True)
class SocketSizes:
    """Sizes of a worker's listening socket.

    Attributes
    ----------
    backlog : int
        Connections that may wait to be accepted.
    receive_buffer_bytes : int
        Size of the receive buffer of each connection; 0 for the system's default.
    """

    backlog: int = 100
    receive_buffer_bytes: int = 0


DEFAULT_SOCKETS = SocketSizes()


@dataclass(slots=True)
class StreamFaults:
    """Faults of the event streams of one worker.

    Attributes
    ----------
    torn_share : float
        Share of the streams that break off in the middle of an event.
    repeated_share : float
        Share of the resumed streams that begin `REPEATED_EVENTS` events too early.
    has_id_in_data : bool
        Whether the data of events contain text that looks like the id of another event.
    """

    torn_share: float = 0.0
    repeated_share: float = 0.0
    has_id_in_data: bool = False


@dataclass(slots=True)
class CrashingRequest:
    """Arrivals of one request that crashes workers, and the crashes it caused.

    Attributes
    ----------
    arrived : list of (float, str)
        Loop time and attempt id of each arrival at a worker.
    crashed_s : list of float
        Loop times at which a worker crashed because of it.
    """

    arrived: list[tuple[float, str]] = field(default_factory=list)
    crashed_s: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LeavingArrival:
    """A request that reached a worker after the worker announced that it leaves.

    Attributes
    ----------
    at_s : float
        Loop time of the arrival.
    after_s : float
        Time between the announcement and the arrival.
    """

    request_id: str
    worker_id: str
    at_s: float
    after_s: float


@dataclass(frozen=True, slots=True)
class ReplicaArrival:
    """A request that reached the head of a replica, at a loop time."""

    request_id: str
    at_s: float
    members: tuple[str, ...]


@dataclass(slots=True, eq=False)
class ReceivedOrder:
    """An order that reached a worker.

    Attributes
    ----------
    sender : str
        IP address that it came from.
    operation, group, epoch : str, str, int
        As the order names them; empty and 0 if it does not.
    expected : int or None
        Number of accepted orders that it expects.
    received_s, carried_out_s : float
        Loop time at which it was read, and at which the worker carried it out or refused it; the
        latter is infinite while that has not happened.
    answer : str
        ``done``, ``refused``, or empty as long as there is none.
    """

    worker_id: str
    sender: str
    operation: str
    group: str
    epoch: int
    expected: int | None
    received_s: float
    carried_out_s: float = float("inf")
    answer: str = ""


class OrderGate:
    """Holds orders that are on their way to workers; their senders get no answer.

    Attributes
    ----------
    holds : callable
        Returns whether an order is held; by default none is.
    """

    def __init__(self):
        self.holds: Callable[[ReceivedOrder], bool] = lambda received: False
        self._held: list[tuple[ReceivedOrder, Callable[[], object]]] = []

    @property
    def held(self) -> list[ReceivedOrder]:
        """The orders that are held now, in order of arrival."""
        return [received for received, _ in self._held]

    def hold(self, received: ReceivedOrder, carry_out: Callable[[], object]) -> None:
        """Hold an order until it is released."""
        self._held.append((received, carry_out))

    def release(
        self, selects: Callable[[ReceivedOrder], bool] = lambda received: True
    ) -> list[ReceivedOrder]:
        """Let the workers carry out the selected held orders, and return these."""
        released = [
            (received, carry_out) for received, carry_out in self._held if selects(received)
        ]
        self._held = [entry for entry in self._held if entry not in released]
        for _, carry_out in released:
            carry_out()
        return [received for received, _ in released]


@dataclass(slots=True)
class RunRecord:
    """What the workers of a site have received and run.

    Requests are identified by the id of the attempt (``X-Attempt-Id``).

    Attributes
    ----------
    runs : dict
        How often each request started to run.
    tenants : dict
        Tenant of each request that started to run.
    workers : dict
        Ids of the workers that a request reached, the other members of their replicas and
        silent workers included.
    worked_s : dict
        Loop time at which a worker last worked on each request.
    keys_seen : int
        Number of requests that carried a caller's key to a worker.
    crashing : dict
        Requests that crash workers, by path, tenant and body.
    crashing_parts : dict
        Requests with a part that crashes workers, by the id of the part.
    at_leaving : list of LeavingArrival
        Requests that reached workers whose entry said that they leave.
    limits : list of NamedLimit
        Rate limits that workers named in their answers.
    shed : list of Shedding
        Periods in which workers refused all requests.
    leaving_said : list of LeavingSaid
        Announcements of workers, in their answers, that they leave.
    evacuated_s : dict
        Loop time at which the store acknowledged the evacuation of each evacuated hall.
    at_evacuated : list of LeavingArrival
        Requests that reached workers of evacuated halls.
    at_replicas : list of ReplicaArrival
        Requests that reached heads of replicas, dead ones included.
    endless : dict
        Where the bytes without end came in the last such answer to each request.
    broken : dict
        What was wrong with the broken answers to each request.
    broken_control : int
        How many orders and reports were answered so.
    orders : list of ReceivedOrder
        Orders that reached workers that were alive, in order of arrival.
    """

    runs: dict[str, int] = field(default_factory=dict)
    tenants: dict[str, str] = field(default_factory=dict)
    workers: dict[str, set[str]] = field(default_factory=dict)
    worked_s: dict[str, float] = field(default_factory=dict)
    keys_seen: int = 0
    crashing: dict[tuple[str, str, bytes], CrashingRequest] = field(default_factory=dict)
    crashing_parts: dict[str, CrashingRequest] = field(default_factory=dict)
    at_leaving: list[LeavingArrival] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    shed: list[Shedding] = field(default_factory=list)
    leaving_said: list[LeavingSaid] = field(default_factory=list)
    evacuated_s: dict[str, float] = field(default_factory=dict)
    at_evacuated: list[LeavingArrival] = field(default_factory=list)
    at_replicas: list[ReplicaArrival] = field(default_factory=list)
    endless: dict[str, EndlessKind] = field(default_factory=dict)
    broken: dict[str, list[BrokenKind]] = field(default_factory=dict)
    broken_control: int = 0
    orders: list[ReceivedOrder] = field(default_factory=list)

    def record_arrival_at_leaving(self, request: web.BaseRequest, worker: Worker) -> None:
        """Record the arrival of a request at a worker whose entry says that it leaves."""
        if worker.left_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        request_id = request.headers["X-Attempt-Id"]
        after_s = now_s - worker.left_s
        self.at_leaving.append(LeavingArrival(request_id, worker.worker_id, now_s, after_s))

    def record_arrival_at_evacuated(self, request: web.BaseRequest, worker: Worker) -> None:
        """Record the arrival of a request at a worker of an evacuated hall."""
        evacuated_s = self.evacuated_s.get(worker.hall)
        if evacuated_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        request_id = request.headers["X-Attempt-Id"]
        arrival = LeavingArrival(request_id, worker.worker_id, now_s, now_s - evacuated_s)
        self.at_evacuated.append(arrival)

    def record_arrival_after_announcement(self, request: web.BaseRequest, worker: Worker) -> None:
        """Record the arrival of a request at a worker that has named a limit, leaves or is cold."""
        arrival = (asyncio.get_running_loop().time(), request.headers["X-Attempt-Id"])
        for announcement in (worker.limit, worker.leaving_said, worker.cold):
            if announcement is not None:
                announcement.arrived.append(arrival)

    def record_crashing(self, request: web.BaseRequest, body: bytes) -> CrashingRequest:
        """Record the arrival of a request that crashes workers; return its record."""
        key = (request.raw_path, request.headers.get("X-Tenant", ""), body)
        crashing_request = self.crashing.setdefault(key, CrashingRequest())
        now_s = asyncio.get_running_loop().time()
        crashing_request.arrived.append((now_s, request.headers["X-Attempt-Id"]))
        return crashing_request

    def record_crashing_part(self, request: web.BaseRequest) -> CrashingRequest | None:
        """Record the arrival of a request with a part that crashes workers; None for others."""
        parts = request.headers.get("X-Prompt-Prefix", "").split(",")[:-1]
        crashing = [part.split(":")[0] for part in parts if part.startswith(CRASHING_PART)]
        if not crashing:
            return None
        seen = self.crashing_parts.setdefault(crashing[0], CrashingRequest())
        seen.arrived.append((asyncio.get_running_loop().time(), request.headers["X-Attempt-Id"]))
        return seen

    def note(self, request: web.BaseRequest) -> None:
        """Record that a worker starts to run a request."""
        request_id = request.headers["X-Attempt-Id"]
        self.record_work(request)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.tenants[request_id] = request.headers.get("X-Tenant", "")
        self.keys_seen += "Authorization" in request.headers

    def record_arrival(self, request: web.BaseRequest, worker: Worker) -> None:
        """Record the arrival of a request at a worker and its replica."""
        request_id = request.headers["X-Attempt-Id"]
        self.workers.setdefault(request_id, set()).update((worker.worker_id, *worker.members))
        if worker.members:
            now_s = asyncio.get_running_loop().time()
            self.at_replicas.append(ReplicaArrival(request_id, now_s, worker.members))

    def record_work(self, request: web.BaseRequest) -> None:
        """Record the time at which a worker works on a request."""
        self.worked_s[request.headers["X-Attempt-Id"]] = asyncio.get_running_loop().time()


class WorkerFace:
    """HTTP server of one worker.

    Parameters
    ----------
    worker : Worker
        State of the worker.
    fleet : Fleet or None
        Executes orders and checks groups; None for a worker of a plain service.
    record : RunRecord
        Record of requests, shared by all workers of the site.
    first_s, event_s : float
        Time to the first event, and between two events.
    events : int
        Number of events of a stream whose request does not state its tokens.
    crash_after_s : float
        Time that a crashing request runs until the worker crashes.
    on_crash : callable
        Called with the worker when it crashes.
    sockets : SocketSizes
        Sizes of the listening socket's queue and buffers.

    Attributes
    ----------
    gate : OrderGate or None
        Holds orders on their way to the worker; None for none.
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
        sockets: SocketSizes = DEFAULT_SOCKETS,
    ):
        self.sockets = sockets
        self.stream_faults = StreamFaults()
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
        self.gate: OrderGate | None = None
        self._rng = random.Random(worker.worker_id)

    async def start(self, ip: str = "127.0.0.1") -> str:
        """Start to listen and return ``IP:PORT``; a restarted worker listens at its old port."""
        _, _, port = self.worker.address.rpartition(":")
        self._server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._sockets = await asyncio.get_running_loop().create_server(
            self._server,
            sock=self._listening_socket(ip, int(port or 0)),
            backlog=self.sockets.backlog,
        )
        self.worker.address = "{}:{}".format(*self._sockets.sockets[0].getsockname())
        return self.worker.address

    def _listening_socket(self, ip: str, port: int) -> socket.socket:
        opened = socket.socket()
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.sockets.receive_buffer_bytes:
            size = self.sockets.receive_buffer_bytes
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        opened.bind((ip, port))
        return opened

    def crash(self) -> None:
        """Close the port and abort all connections, as the crash of a process does."""
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
            await self._server.shutdown(_CLOSE_TIMEOUT_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.worker.alive and self.has_crashed:
            # The port is open again before the restarted worker is alive: act as a closed port.
            require(request.transport, "the connection").abort()
            raise asyncio.CancelledError
        if not self.worker.alive:
            if "X-Attempt-Id" in request.headers:
                self.record.record_arrival(request, self.worker)
            await asyncio.sleep(60)
        await self._wait_while_paused()
        expected_id = request.headers.get("X-Expect-Instance", self.worker.worker_id)
        if expected_id != self.worker.worker_id:
            headers = {"X-Instance-Id": self.worker.worker_id, "At-Server": self.worker.worker_id}
            return web.Response(status=421, headers=headers)
        if request.path == "/v1/order":
            return await self._order(request)
        if request.path == "/v1/report":
            return await self._answer_report(request)
        if request.path == "/healthz":
            status = 503 if self.worker.draining else 200
            headers = {
                "X-Instance-Id": self.worker.worker_id,
                **self._announcement_headers(request),
            }
            return web.Response(status=status, headers=headers)
        if "X-Attempt-Id" not in request.headers:
            return self._refuse(request, 400)
        return await self._answer(request)

    async def _wait_while_paused(self) -> None:
        """Wait while the worker stands still; it may be paused again meanwhile."""
        now_s = asyncio.get_running_loop().time
        while now_s() < self.worker.paused_until_s:
            await asyncio.sleep(self.worker.paused_until_s - now_s())

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a caller's request, or refuse it while the worker sheds load."""
        self.record.record_arrival_at_leaving(request, self.worker)
        self.record.record_arrival_at_evacuated(request, self.worker)
        self.record.record_arrival_after_announcement(request, self.worker)
        if self.worker.shedding is not None and self._record_and_check_shedding(
            request, self.worker.shedding
        ):
            return self._refuse(request, 503, self.worker.shedding.rest_s)
        period = self._endless_period()
        if period is not None and not period.kind.is_of_report:
            return await self._answer_without_end(request, period)
        broken = self._broken_period(is_of_control=False)
        if broken is not None:
            return await self._answer_broken(request, broken.kind)
        if self.fleet is None:
            return await self._answer_plain(request)
        return await self._answer_stream(request)

    def _broken_period(self, is_of_control: bool) -> BrokenPeriod | None:
        """Return the period in which such answers of the worker are broken; None without one."""
        period = self.worker.broken
        if period is not None and asyncio.get_running_loop().time() >= period.until_s:
            self.worker.broken = period = None
        return period if period is not None and period.is_of_control == is_of_control else None

    async def _answer_broken(self, request: web.BaseRequest, kind: BrokenKind) -> web.Response:
        """Read a request, and send what is no answer to it."""
        await request.read()
        self.record.record_arrival(request, self.worker)
        self.record.note(request)
        self.record.broken.setdefault(request.headers["X-Attempt-Id"], []).append(kind)
        return _send_broken(request, kind, self._answer_headers(request))

    def _endless_period(self) -> EndlessPeriod | None:
        """Return the period in which the worker answers without end; None if it is over."""
        period = self.worker.endless
        if period is not None and asyncio.get_running_loop().time() >= period.until_s:
            self.worker.endless = period = None
        return period

    async def _answer_without_end(
        self, request: web.BaseRequest, period: EndlessPeriod
    ) -> web.StreamResponse:
        """Read a request, and answer it with bytes without end."""
        await request.read()
        self.record.record_arrival(request, self.worker)
        self.record.note(request)
        self.record.endless[request.headers["X-Attempt-Id"]] = period.kind
        transport, headers = require(request.transport, "connection"), self._answer_headers(request)
        await send_without_end(transport, period.kind, headers, period.until_s)
        raise asyncio.CancelledError  # the connection is closed

    def _record_and_check_shedding(self, request: web.BaseRequest, shedding: Shedding) -> bool:
        """Record the arrival of a request; return whether the worker refuses it."""
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
        return web.Response(
            status=status, headers={**headers, **self._announcement_headers(request)}
        )

    def _answer_headers(self, request: web.BaseRequest) -> dict[str, str]:
        return {
            "X-Attempt-Id": request.headers["X-Attempt-Id"],
            "X-Server-Stamp": f"stamp.{self.worker.worker_id}",
            **self._announcement_headers(request),
        }

    def _announcement_headers(self, request: web.BaseRequest) -> dict[str, str]:
        """Return the headers for the worker's limit and leaving, and record that they are sent."""
        limit, leaving_said = self.worker.limit, self.worker.leaving_said
        request_id = request.headers.get("X-Attempt-Id")
        if request_id is not None:
            answered = (asyncio.get_running_loop().time(), request_id)
            for announcement in (limit, leaving_said):
                if announcement is not None:
                    announcement.told.append(answered)
        headers = {"Server-Limit": f"{limit.per_s:g}"} if limit is not None else {}
        return headers | ({"Server-Leaving": "1"} if leaving_said is not None else {})

    async def _answer_plain(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        self.record.record_arrival(request, self.worker)
        self.record.note(request)
        await self._crash_on_crashing_body(request, body)
        await asyncio.sleep(self._work_s(request))
        await self._wait_while_paused()
        self.record.record_work(request)
        return web.Response(body=b"whole:" + body, headers=self._answer_headers(request))

    def _work_s(self, request: web.BaseRequest) -> float:
        """Return for how many seconds a worker of the plain service works on a request."""
        if not request.path.startswith(LONG_WORK_PATH):
            return self.first_s
        return random.Random(request.headers["X-Attempt-Id"]).uniform(*LONG_WORK_S)

    async def _answer_stream(self, request: web.BaseRequest) -> web.StreamResponse:
        worker = self.worker
        body = await request.read()
        if worker.running >= worker.engine.slots or not self._accepts_request():
            return self._refuse(request, 503)
        worker.running += 1
        born_ms = worker.born_ms
        try:
            self.record.record_arrival(request, worker)
            self.record.note(request)
            await self._crash_on_crashing_body(request, body)
            await self._crash_on_crashing_part(request)
            await asyncio.sleep(self.first_s)
            await self._wait_while_paused()
            return await self._events(request)
        finally:
            if worker.born_ms == born_ms:
                worker.running -= 1

    async def _crash_on_crashing_body(self, request: web.BaseRequest, body: bytes) -> None:
        """Crash the worker if the request is one that crashes workers."""
        if not body.startswith(CRASHING_BODY):
            return
        await self._crash(self.record.record_crashing(request, body))

    async def _crash_on_crashing_part(self, request: web.BaseRequest) -> None:
        """Crash the worker if the request has such a part, after the head of its answer at times.

        The head says that the end of the answer is the end of the connection.
        """
        seen = self.record.record_crashing_part(request)
        if seen is None:
            return
        if self._rng.random() < HEAD_BEFORE_CRASH_SHARE:
            headers = {**self._answer_headers(request), "Content-Type": "text/event-stream"}
            lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
            head = f"HTTP/1.1 200 OK\r\n{''.join(lines)}Connection: close\r\n\r\n"
            require(request.transport, "the connection").write(head.encode())
        await self._crash(seen)

    async def _crash(self, crashing_request: CrashingRequest) -> None:
        """Run for `crash_after_s`, then crash the worker and end the connection."""
        born_ms = self.worker.born_ms
        await asyncio.sleep(self.crash_after_s)
        if self.worker.born_ms == born_ms and self.worker.alive:
            crashing_request.crashed_s.append(asyncio.get_running_loop().time())
            self.on_crash(self.worker)
        raise asyncio.CancelledError  # the crash closes the connection

    def _accepts_request(self) -> bool:
        membership = self.worker.membership
        if membership is None or membership.state.value != "open":
            return False
        require(self.fleet, "the fleet").serve(self.worker)
        return True

    async def _events(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {**self._answer_headers(request), "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        after = int(request.headers.get("Last-Event-Id", 0))
        faults, rng, last = self.stream_faults, self._rng, self._last_event(request)
        if after and rng.random() < faults.repeated_share:
            after = max(0, after - REPEATED_EVENTS)
        torn_at = rng.randint(after + 1, last) if rng.random() < faults.torn_share else 0
        key = self.worker.group_key
        for number in range(after + 1, last + 1):
            await self._wait_until_complete(request, key)
            text = f"uid:{number + 3} valid: yes" if faults.has_id_in_data else f"piece {number}"
            event = f"id: {number}\ndata: {text}\n\n".encode()
            if number == torn_at:
                await response.write(event[: rng.randint(1, len(event) - 1)])
                require(request.transport, "the connection").abort()
                raise asyncio.CancelledError
            await response.write(event)
            self.record.record_work(request)
            await asyncio.sleep(self.event_s)
        await response.write_eof()
        return response

    def _last_event(self, request: web.BaseRequest) -> int:
        """Return the id of the last event of the answer to a request."""
        max_tokens = int(request.headers.get("X-Token-Count", "0,0").split(",")[1])
        if not max_tokens:
            return self.events
        return answer_events(request.headers["X-Attempt-Id"], max_tokens)

    async def _wait_until_complete(
        self, request: web.BaseRequest, key: tuple[str, int] | None
    ) -> None:
        """Wait while a member of the group is missing or stands still.

        Abort the connection if the group breaks.
        """
        fleet, now_s = require(self.fleet, "the fleet"), asyncio.get_running_loop().time
        while not (
            self.worker.alive
            and fleet.is_complete(self.worker)
            and fleet.paused_until_s(self.worker) <= now_s()
        ):
            membership = self.worker.membership
            if (
                self.worker.group_key != key
                or membership is None
                or membership.state.value == "broken"
            ):
                require(request.transport, "the connection").abort()
                raise asyncio.CancelledError
            await asyncio.sleep(_GROUP_POLL_INTERVAL_S)

    async def _order(self, request: web.BaseRequest) -> web.Response:
        fields = orjson.loads(await request.read())
        order = _parse_order(fields)
        if order is None or self.fleet is None:
            return web.Response(status=400)
        received = self._record_order(request, fields)
        if self.gate is not None and self.gate.holds(received):
            self.gate.hold(received, lambda: self._carry_out(received, order))
            await asyncio.sleep(60)
        answer = self._carry_out(received, order)
        if answer is None:
            await asyncio.sleep(60)
            return web.Response(status=503)
        broken = self._broken_period(is_of_control=True)
        if broken is not None:
            self.record.broken_control += 1
            return _send_broken(request, broken.kind, self._announcement_headers(request))
        if isinstance(answer, OrderRefused):
            return web.Response(status=_REFUSAL_STATUS[answer.reason])
        status = 200 if answer.already else 202
        return web.Response(status=status, headers=self._announcement_headers(request))

    def _record_order(self, request: web.BaseRequest, fields: dict) -> ReceivedOrder:
        received = ReceivedOrder(
            self.worker.worker_id,
            request.remote or "",
            fields["operation"],
            fields.get("group", ""),
            fields.get("epoch", 0),
            fields.get("expected-revision"),
            asyncio.get_running_loop().time(),
        )
        self.record.orders.append(received)
        return received

    def _carry_out(self, received: ReceivedOrder, order: Order) -> OrderDone | OrderRefused | None:
        """Let the worker carry out an order, and record its answer."""
        fleet = require(self.fleet, "the fleet")
        answer = fleet.order(self.worker, order, received.expected)
        if answer is not None:
            received.carried_out_s = asyncio.get_running_loop().time()
            received.answer = "refused" if isinstance(answer, OrderRefused) else "done"
        return answer

    async def _answer_report(self, request: web.BaseRequest) -> web.StreamResponse:
        broken = self._broken_period(is_of_control=True)
        if broken is not None:
            self.record.broken_control += 1
            sound = self._report(request)
            body = sound.body if isinstance(sound.body, bytes) else b""
            return _send_broken(request, broken.kind, sound.headers, body)
        period = self._endless_period()
        if period is None or not period.kind.is_of_report:
            return self._report(request)
        transport = require(request.transport, "the connection")
        await send_without_end(transport, period.kind, {}, period.until_s)
        raise asyncio.CancelledError  # the connection is closed

    def _report(self, request: web.BaseRequest) -> web.Response:
        worker = self.worker
        fields = {
            "phase": "colocated",
            "models": entry_models(worker),
            "utilization": self.fleet is not None and self.fleet.is_order_under_way(worker),
            "sequence": self.fleet.reported_orders(worker) if self.fleet is not None else 0,
            "born": worker.born_ms,
            "waiting": 0,
            "running": worker.running,
            "kv-used": 0,
            "kv-total": KV_CAPACITY_TOKENS,
            "group": encode_group(
                self.fleet.reported_membership(worker) if self.fleet is not None else None
            ),
            "staged": worker.staged,
            "domain": worker.domain,
            "pace": 1.0,
        }
        headers = {"Content-Type": "application/json", **self._announcement_headers(request)}
        return web.Response(body=orjson.dumps(fields), headers=headers)


def _send_broken(
    request: web.BaseRequest, kind: BrokenKind, headers: Mapping[str, str], body: bytes = b""
) -> web.Response:
    """Write a broken answer and close the connection after it."""
    transport = require(request.transport, "the connection")
    transport.write(broken_answer(kind, headers, body))
    transport.close()
    return web.Response(status=503)  # the connection is closed


def entry_models(worker: Worker) -> list[dict]:
    """Return the models of a worker, as in its entry and report."""
    return [{"name": name, "version": 1, "adapters": []} for name in worker.entry.models]


def encode_group(membership: Membership | None) -> dict | None:
    """Return the group of a worker, as in its entry and report."""
    if membership is None:
        return None
    return {
        "name": membership.replica,
        "epoch": membership.epoch,
        "rank": membership.rank,
        "state": membership.state.value,
    }


def _parse_order(fields: dict) -> Order | None:
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
