"""Model workers in memory: groups, staging, late orders, deaths, and the rules they judge by."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ...configuration import EngineSpec, ModelSpec
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
    ReplicaState,
    StageOrder,
    Target,
)

__all__ = ["Fleet", "FleetFaults", "LeavingSaid", "NamedLimit", "Shedding", "Violation", "Worker"]

REJOIN_S = 0.2
MODELS_KEPT_BY_HOST = 1
SERVING = (ReplicaState.OPEN, ReplicaState.CLOSING)


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken: ``partial`` or ``two``."""

    rule: str
    worker: str
    detail: str


@dataclass(slots=True, eq=False)
class NamedLimit:
    """A limit that a worker names in its answers, and the requests that it gets meanwhile.

    Attributes
    ----------
    per_s : float
        Requests a second that it takes from all daemons together.
    from_s : float
        Loop time from which on it names the limit.
    told, arrived : list of (float, str)
        Loop time and request id of each answer that named it, and of each request that came.
    """

    worker_id: str
    per_s: float
    from_s: float
    told: list[tuple[float, str]] = field(default_factory=list)
    arrived: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class LeavingSaid:
    """A worker that says in its answers that it leaves, and the requests that it gets.

    Attributes
    ----------
    told, arrived : list of (float, str)
        Loop time and request id of each answer that said so, and of each request that came.
    """

    worker_id: str
    told: list[tuple[float, str]] = field(default_factory=list)
    arrived: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Shedding:
    """A time in which a worker refuses all requests and asks for rest, and what it gets since.

    Attributes
    ----------
    rest_s : float
        Seconds for which it wants no request of the daemon that it refuses.
    is_over : bool
        Whether it serves again; requests are noted all the same, since a rest may go on.
    refused, arrived : list of (float, str)
        Loop time and request id of each refusal, and of each request that came.
    """

    worker_id: str
    rest_s: float
    is_over: bool = False
    refused: list[tuple[float, str]] = field(default_factory=list)
    arrived: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True)
class FleetFaults:
    """What goes wrong with orders.

    Attributes
    ----------
    late_share : float
        Part of the orders that are left unanswered and carried out later.
    late_from_s, late_to_s : float
        How much later.
    """

    late_share: float = 0.0
    late_from_s: float = 2.0
    late_to_s: float = 12.0


@dataclass(slots=True, eq=False)
class Worker:
    """A model worker; after a crash it may start again under the same id.

    Attributes
    ----------
    born_ms : int
        Time of day of its start, in milliseconds.
    entries : int
        How often it has written its entry since its start.
    alive : bool
        Whether it answers at all.
    left_s : float or None
        Loop time at which the store had its word that it leaves; None if it does not.
    was_ready : set
        ``(name, epoch, members)`` under which it was ready once.
    loads : int
        Loads from the weight store that it began.
    limit : NamedLimit or None
        What it says that it takes; None for no limit.
    shedding : Shedding or None
        The last time in which it refused all requests.
    leaving_said : LeavingSaid or None
        That its answers say that it leaves; None if they don't.
    """

    worker_id: str
    address: str
    hall: str
    domain: str
    service: str
    engine: EngineSpec
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    entries: int = 0
    alive: bool = True
    draining: bool = False
    left_s: float | None = None
    orders: int = 0
    top_epoch: int = 0
    last_model: str = ""
    staged: list[str] = field(default_factory=list)
    staging_until_s: float = 0.0
    membership: Membership | None = None
    members: tuple[str, ...] = ()
    model: str = ""
    was_ready: set = field(default_factory=set)
    running: int = 0
    loads: int = 0
    limit: NamedLimit | None = None
    shedding: Shedding | None = None
    leaving_said: LeavingSaid | None = None

    def start_again(self) -> None:
        """Begin another life under the same id; only what lies on the host is left."""
        self.born_ms = max(self.born_ms + 1, int(time.time() * 1000))
        self.entries = 0
        self.alive = True
        self.draining = False
        self.left_s = None
        self.limit = None
        self.shedding = None
        self.leaving_said = None
        self.orders = 0
        self.top_epoch = 0
        self.last_model = ""
        self.membership = None
        self.members = ()
        self.model = ""
        self.was_ready = set()
        self.running = 0

    @property
    def entry(self) -> Target:
        """What the list of targets shows of it."""
        return Target(
            target_id=self.worker_id,
            service=self.service,
            address=self.address,
            hall=self.hall,
            slots=self.engine.slots,
            draining=self.draining,
            domain=self.domain,
            staged=tuple(self.staged),
            models=(self.model,) if self.model and self.membership else (),
            membership=self.membership,
        )

    @property
    def joined(self) -> Membership:
        """Its membership; only for a worker that has one."""
        return require(self.membership, f"the membership of {self.worker_id}")

    @property
    def group_key(self) -> tuple[str, int] | None:
        """Name and epoch of its group."""
        place = self.membership
        return (place.replica, place.epoch) if place else None


class Fleet:
    """All workers of a service, and the judge of what is done with them.

    Parameters
    ----------
    engine : EngineSpec
        Models, sizes, times.
    rng : random.Random
        Draws faults.
    stall_s : float
        After which a group without one of its members breaks.
    on_change : callable
        Takes a worker whose entry has changed.
    """

    def __init__(
        self,
        engine: EngineSpec,
        rng: random.Random,
        stall_s: float = 6.0,
        on_change: Callable[[Worker], None] = lambda worker: None,
    ):
        self.engine = engine
        self.rng = rng
        self.stall_s = stall_s
        self.on_change = on_change
        self.faults = FleetFaults()
        self.workers: dict[str, Worker] = {}
        self.violations: list[Violation] = []

    def add(
        self, worker_id: str, hall: str, domain: str, service: str = "engines", address: str = ""
    ) -> Worker:
        """Start an empty worker."""
        worker = Worker(
            worker_id=worker_id,
            address=address or "127.0.0.1:1",
            hall=hall,
            domain=domain,
            service=service,
            engine=self.engine,
        )
        self.workers[worker_id] = worker
        self.on_change(worker)
        return worker

    def kill(self, worker_id: str) -> None:
        """Let a worker fall silent for good; its group stands still."""
        worker = self.workers[worker_id]
        worker.alive = False
        self._check_still(worker.group_key)

    def now_s(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    # Orders -----------------------------------------------------------------------------------

    def order(
        self, worker: Worker, order: Order, expected: int | None
    ) -> OrderDone | OrderRefused | None:
        """Take an order, or leave it without an answer (None)."""
        if not worker.alive:
            return None
        if self.rng.random() < self.faults.late_share:
            delay_s = self.rng.uniform(self.faults.late_from_s, self.faults.late_to_s)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self.carry_out, worker, order, expected)
            return None
        return self.carry_out(worker, order, expected)

    def carry_out(
        self, worker: Worker, order: Order, expected: int | None
    ) -> OrderDone | OrderRefused | None:
        """Do what an order says, if it still fits."""
        if not worker.alive:
            return None
        if expected is not None and expected != worker.orders:
            return OrderRefused("state")
        carry_out: dict[type, Callable[..., OrderDone | OrderRefused]] = {
            JoinOrder: self._join,
            OpenOrder: self._open,
            CloseOrder: self._close,
            LeaveOrder: self._leave,
            StageOrder: self._stage,
        }
        answer = carry_out[type(order)](worker, order)
        if not isinstance(answer, OrderDone):
            return answer
        if not answer.already:
            worker.orders += 1
        self.on_change(worker)
        # A leave acts at once, and counts all the same.
        return OrderDone(already=True) if isinstance(order, LeaveOrder) else answer

    def _join(self, worker: Worker, order: JoinOrder) -> OrderDone | OrderRefused:
        if order.epoch < worker.top_epoch:
            return OrderRefused("epoch")
        key = (order.replica, order.epoch)
        if worker.group_key == key:
            same = worker.members == order.members
            return OrderDone(already=True) if same else OrderRefused("epoch")
        self._judge_leaving(worker)
        before = worker.group_key
        model = require(self.engine.model(order.model), order.model)
        ready_s = self._ready_in_s(worker, model)
        rank = order.members.index(worker.worker_id)
        worker.top_epoch = order.epoch
        worker.membership = Membership(order.replica, order.epoch, rank, ReplicaState.JOINING)
        worker.members = order.members
        worker.model = model.name
        worker.last_model = model.name
        loop = asyncio.get_running_loop()
        loop.call_later(ready_s, self._become_ready, worker, key)
        self._check_still(before)
        return OrderDone(already=False)

    def _judge_leaving(self, worker: Worker) -> None:
        """Note a worker that joins elsewhere while its group's head serves or stands still."""
        place = worker.membership
        if place is None:
            return
        head = self.workers.get(worker.members[0])
        if head is None or not head.alive or head.group_key != worker.group_key:
            return
        if head.joined.state in SERVING:
            detail = f"{worker.group_key} is {head.joined.state.value}"
            self.violations.append(Violation("two", worker.worker_id, detail))

    def _ready_in_s(self, worker: Worker, model: ModelSpec) -> float:
        staging_s = max(0.0, worker.staging_until_s - self.now_s())
        if worker.last_model == model.name and model.name in worker.staged:
            return REJOIN_S
        if model.name in worker.staged:
            return staging_s + model.warm_s
        self._load(worker, model)
        return model.load_s

    def _load(self, worker: Worker, model: ModelSpec) -> None:
        worker.loads += 1
        worker.staging_until_s = self.now_s() + model.load_s
        worker.staged = [model.name, *worker.staged][:MODELS_KEPT_BY_HOST]

    def _become_ready(self, worker: Worker, key: tuple[str, int]) -> None:
        if worker.alive and worker.group_key == key:
            self._set_state(worker, ReplicaState.READY)
            worker.was_ready.add((*key, worker.members))

    def _set_state(self, worker: Worker, state: ReplicaState) -> None:
        place = worker.joined
        worker.membership = Membership(place.replica, place.epoch, place.rank, state)
        self.on_change(worker)

    def _open(self, worker: Worker, order: OpenOrder) -> OrderDone | OrderRefused:
        if worker.group_key != (order.replica, order.epoch) or worker.joined.rank != 0:
            return OrderRefused("state")
        if worker.joined.state is not ReplicaState.READY:
            return OrderRefused("state")
        self._set_state(worker, ReplicaState.OPEN)
        return OrderDone(already=False)

    def _close(self, worker: Worker, order: CloseOrder) -> OrderDone | OrderRefused:
        if worker.group_key != (order.replica, order.epoch):
            return OrderRefused("state")
        if worker.joined.state is not ReplicaState.OPEN:
            return OrderRefused("state")
        self._set_state(worker, ReplicaState.CLOSING)
        delay_s = 0.01 if order.cut else 1.0
        key = worker.group_key
        asyncio.get_running_loop().call_later(delay_s, self._closed, worker, key)
        return OrderDone(already=False)

    def _closed(self, worker: Worker, key: tuple[str, int]) -> None:
        if worker.group_key == key and worker.joined.state is ReplicaState.CLOSING:
            self._set_state(worker, ReplicaState.READY)

    def _leave(self, worker: Worker, order: LeaveOrder) -> OrderDone | OrderRefused:
        key = (order.replica, order.epoch)
        if worker.group_key != key or worker.joined.state in SERVING:
            return OrderRefused("state")
        worker.membership = None
        worker.members = ()
        self._check_still(key)
        return OrderDone(already=False)

    def _stage(self, worker: Worker, order: StageOrder) -> OrderDone | OrderRefused:
        if order.model in worker.staged:
            return OrderDone(already=True)
        self._load(worker, require(self.engine.model(order.model), order.model))
        return OrderDone(already=False)

    # Groups -----------------------------------------------------------------------------------

    def whole(self, head: Worker) -> bool:
        """Whether every member of a head's group lives and stands behind it."""
        return all(
            (member := self.workers.get(member_id)) is not None
            and member.alive
            and member.group_key == head.group_key
            for member_id in head.members
        )

    def _check_still(self, key: tuple[str, int] | None) -> None:
        """Let a group that lost a member break after a while."""
        for worker in self.workers.values():
            if key is None or worker.group_key != key or worker.joined.rank != 0:
                continue
            if worker.joined.state in SERVING and not self.whole(worker):
                asyncio.get_running_loop().call_later(self.stall_s, self._break, worker, key)

    def _break(self, head: Worker, key: tuple[str, int]) -> None:
        if head.alive and head.group_key == key and not self.whole(head):
            self._set_state(head, ReplicaState.BROKEN)

    def serve(self, head: Worker) -> bool:
        """Judge a request that reaches a head; return whether it runs now."""
        place = head.membership
        if not head.alive or place is None or place.state is not ReplicaState.OPEN:
            return False
        size = require(self.engine.model(head.model), head.model).size
        if len(head.members) != size:
            self._partial(head, f"{len(head.members)} of {size} members")
        for member_id in head.members:
            member = self.workers.get(member_id)
            if (
                member is None
                or (*require(head.group_key, "the group"), head.members) not in member.was_ready
            ):
                self._partial(head, f"{member_id} was never ready")
        return self.whole(head)

    def _partial(self, head: Worker, detail: str) -> None:
        self.violations.append(Violation("partial", head.worker_id, f"{head.group_key} {detail}"))

    def open_heads(self) -> list[Worker]:
        """Return the heads of groups that are open and whole."""
        return [
            worker
            for worker in self.workers.values()
            if worker.alive
            and worker.membership is not None
            and worker.joined.rank == 0
            and worker.joined.state is ReplicaState.OPEN
            and self.whole(worker)
        ]
