"""Model workers in memory: groups, staging, late orders, deaths, and checks of group rules."""

import asyncio
import random
import time
from bisect import bisect_right
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
from ._broken import BrokenPeriod
from ._endless import EndlessKind

__all__ = [
    "ColdPeriod",
    "EndlessPeriod",
    "Fleet",
    "FleetFaults",
    "HandledOrder",
    "LeavingSaid",
    "NamedLimit",
    "Shedding",
    "Violation",
    "Worker",
]

REJOIN_DURATION_S = 0.2
MAX_STAGED_MODELS = 1
REPORT_LAG_S = 0.2

# After the end of a load, the times of the others are computed this much later, so that rounding
# does not count it as running.
LOAD_END_DELAY_S = 1e-6
SERVING_STATES = (ReplicaState.OPEN, ReplicaState.CLOSING)


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a group rule.

    The rules are ``partial`` (a request reached an open group with too few members, or with
    members that were never ready) and ``two`` (a worker joined another group while its own
    was serving).
    """

    rule: str
    worker: str
    detail: str


@dataclass(slots=True, eq=False)
class NamedLimit:
    """A rate limit that a worker names in its answers, and the requests that arrive meanwhile.

    Attributes
    ----------
    per_s : float
        Requests per second that the worker accepts from all daemons together.
    from_s : float
        Loop time at which the worker starts to name the limit.
    told, arrived : list of (float, str)
        Loop time and request id of each answer that named the limit, and of each arrival.
    """

    worker_id: str
    per_s: float
    from_s: float
    told: list[tuple[float, str]] = field(default_factory=list)
    arrived: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class LeavingSaid:
    """A worker's announcement in its answers that it leaves, and the requests that arrive.

    Attributes
    ----------
    told, arrived : list of (float, str)
        Loop time and request id of each answer with the announcement, and of each arrival.
    """

    worker_id: str
    told: list[tuple[float, str]] = field(default_factory=list)
    arrived: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Shedding:
    """A period in which a worker refuses all requests and asks for a back-off.

    Attributes
    ----------
    rest_s : float
        Back-off that the worker asks of a daemon whose request it refuses.
    is_over : bool
        Whether the worker serves again. Arrivals are recorded all the same, since the back-off
        of a daemon may last longer than the period.
    refused, arrived : list of (float, str)
        Loop time and request id of each refusal, and of each arrival.
    """

    worker_id: str
    rest_s: float
    is_over: bool = False
    refused: list[tuple[float, str]] = field(default_factory=list)
    arrived: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class ColdPeriod:
    """A period in which a worker is cold, as its entry says, and the requests that arrive.

    Attributes
    ----------
    until_s : float
        Loop time at which the worker is warm.
    arrived : list of (float, str)
        Loop time and request id of each arrival since the start of the period.
    """

    worker_id: str
    until_s: float
    arrived: list[tuple[float, str]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class EndlessPeriod:
    """A period in which a worker answers with bytes without end, until a loop time."""

    kind: EndlessKind
    until_s: float


@dataclass(slots=True)
class FleetFaults:
    """Faults of the handling of orders.

    Attributes
    ----------
    late_share : float
        Share of the orders that get no answer and are executed later.
    late_from_s, late_to_s : float
        Range of the delay of these orders.
    confirms_needless_leave_at_any_number : bool
        Whether an order to leave a group that the worker is not in is answered as done also if it
        expects another number of orders; it is refused by default.
    """

    late_share: float = 0.0
    late_from_s: float = 2.0
    late_to_s: float = 12.0
    confirms_needless_leave_at_any_number: bool = False


@dataclass(frozen=True, slots=True)
class HandledOrder:
    """An order that a worker has received, or carries out late.

    Attributes
    ----------
    expected : int or None
        Number of accepted orders that the order expects; None for any.
    orders : int
        Number of orders that the worker has accepted, this one included.
    answer : OrderDone, OrderRefused or None
        None for an order that is not answered and is executed later.
    has_effect : bool
        Whether it began something, and so was counted.
    is_late : bool
        Whether it is executed later than it was received; nobody gets the answer.
    """

    worker_id: str
    order: Order
    expected: int | None
    orders: int
    answer: OrderDone | OrderRefused | None
    has_effect: bool = False
    is_late: bool = False


@dataclass(slots=True, eq=False)
class Worker:
    """A model worker; after a crash it may start again under the same id.

    Attributes
    ----------
    born_ms : int
        Time of the last start, in milliseconds since the epoch.
    entries : int
        Number of times the worker has written its entry since its start.
    alive : bool
        Whether the process runs and answers.
    left_s : float or None
        Loop time at which the worker's entry said that it leaves; None if it does not leave.
    order_times : list of float
        Loop time of each order that has begun something since the last start.
    membership_changes : list of (float, Membership or None)
        Loop time of each change of the membership since the last start, and what it became.
    ready_groups : set
        ``(name, epoch, members)`` of each group in which the worker has been ready, in this
        incarnation or an earlier one.
    loads : int
        Number of loads from the weight store that the worker has started.
    load_times : list of (str, float)
        Model and loop time of the begin of each of these loads.
    limit : NamedLimit or None
        Rate limit that the worker names in its answers; None for no limit.
    shedding : Shedding or None
        Last period in which the worker refused all requests; None if there was none.
    leaving_said : LeavingSaid or None
        Announcement in the worker's answers that it leaves; None if they carry none.
    cold : ColdPeriod or None
        Last period in which the worker was cold; None if it never was.
    is_unlisted : bool
        Whether its entry was removed although it goes on answering.
    paused_until_s : float
        Loop time until which the worker stands still: it keeps its connections, and answers
        afterwards what it has received meanwhile.
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
    order_times: list[float] = field(default_factory=list)
    membership_changes: list[tuple[float, Membership | None]] = field(default_factory=list)
    highest_epoch: int = 0
    last_model: str = ""
    staged: list[str] = field(default_factory=list)
    staging_until_s: float = 0.0
    membership: Membership | None = None
    members: tuple[str, ...] = ()
    model: str = ""
    ready_groups: set = field(default_factory=set)
    running: int = 0
    loads: int = 0
    load_times: list[tuple[str, float]] = field(default_factory=list)
    limit: NamedLimit | None = None
    shedding: Shedding | None = None
    leaving_said: LeavingSaid | None = None
    cold: ColdPeriod | None = None
    is_unlisted: bool = False
    is_overwritten: bool = False
    paused_until_s: float = float("-inf")
    endless: EndlessPeriod | None = None
    broken: BrokenPeriod | None = None

    def restart(self) -> None:
        """Start a new incarnation under the same id; only the models staged on the host remain."""
        self.born_ms = max(self.born_ms + 1, int(time.time() * 1000))
        self.entries = 0
        self.alive = True
        self.draining = False
        self.left_s = None
        self.limit = None
        self.shedding = None
        self.leaving_said = None
        self.cold = None
        self.is_unlisted = False
        self.order_times = []
        self.membership_changes = []
        self.highest_epoch = 0
        self.last_model = ""
        self.membership = None
        self.members = ()
        self.model = ""
        self.running = 0

    def change_membership(self, membership: Membership | None, now_s: float) -> None:
        """Set the membership, and record when it changed."""
        self.membership = membership
        self.membership_changes.append((now_s, membership))

    @property
    def orders(self) -> int:
        """Number of orders that have begun something since the last start."""
        return len(self.order_times)

    @property
    def entry(self) -> Target:
        """Entry of the worker in the list of targets."""
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
            age_mark=(self.born_ms, self.entries),
        )

    @property
    def current_membership(self) -> Membership:
        """Membership of the worker; an error if it has none."""
        return require(self.membership, f"the membership of {self.worker_id}")

    @property
    def group_key(self) -> tuple[str, int] | None:
        """Name and epoch of the worker's group; None without a group."""
        membership = self.membership
        return (membership.replica, membership.epoch) if membership else None


class Fleet:
    """All workers of a service; executes orders and records violations of group rules.

    Parameters
    ----------
    engine : EngineSpec
        Models, and their sizes and load times.
    rng : random.Random
        Decides which orders are late, and by how much.
    stall_s : float
        Time after which a serving group with a missing member breaks.
    on_change : callable
        Called with each worker whose entry has changed.

    Attributes
    ----------
    closing_s : float
        Time that a head takes to finish its requests after an order to close.
    on_order : callable
        Called with each order that a worker receives, and with each one that it executes late.
    report_lag_s : float
        Age of the number of orders and of the group in a report.
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
        self.closing_s = 1.0
        self.report_lag_s = REPORT_LAG_S
        self.on_change = on_change
        self.on_order: Callable[[HandledOrder], None] = lambda received: None
        self.faults = FleetFaults()
        self.workers: dict[str, Worker] = {}
        self.violations: list[Violation] = []
        self._load_slowdown = 1.0
        self._next_load_end: asyncio.TimerHandle | None = None

    def add(
        self, worker_id: str, hall: str, domain: str, service: str = "engines", address: str = ""
    ) -> Worker:
        """Add a worker that holds no model."""
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
        """Make a worker silent; its group stalls and breaks after `stall_s`."""
        worker = self.workers[worker_id]
        worker.alive = False
        self._schedule_break(worker.group_key)

    def now_s(self) -> float:
        """Return the time of the running loop."""
        return asyncio.get_running_loop().time()

    # Orders -----------------------------------------------------------------------------------

    def order(
        self, worker: Worker, order: Order, expected: int | None
    ) -> OrderDone | OrderRefused | None:
        """Execute an order, or return None for no answer.

        A dead worker does not answer; a late order is executed later.
        """
        if not worker.alive:
            return None
        if self.rng.random() < self.faults.late_share:
            delay_s = self.rng.uniform(self.faults.late_from_s, self.faults.late_to_s)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._execute_and_note, worker, order, expected, True)
            self.on_order(
                HandledOrder(worker.worker_id, order, expected, worker.orders, answer=None)
            )
            return None
        return self._execute_and_note(worker, order, expected, False)

    def _execute_and_note(
        self, worker: Worker, order: Order, expected: int | None, is_late: bool
    ) -> OrderDone | OrderRefused | None:
        orders = worker.orders
        answer = self.execute(worker, order, expected)
        has_effect = worker.orders != orders
        self.on_order(
            HandledOrder(
                worker.worker_id, order, expected, worker.orders, answer, has_effect, is_late
            )
        )
        return answer

    def execute(
        self, worker: Worker, order: Order, expected: int | None
    ) -> OrderDone | OrderRefused | None:
        """Execute an order if the worker is alive and its order count is the expected one.

        Only an order that begins something raises the count: one whose effect is in place already
        is confirmed, and orders that expect the same count are still accepted after it.
        """
        if not worker.alive:
            return None
        if expected is not None and expected != worker.orders:
            if self.faults.confirms_needless_leave_at_any_number and _is_needless(worker, order):
                return OrderDone(already=True)
            return OrderRefused("state")
        handlers: dict[type, Callable[..., OrderDone | OrderRefused]] = {
            JoinOrder: self._join,
            OpenOrder: self._open,
            CloseOrder: self._close,
            LeaveOrder: self._leave,
            StageOrder: self._stage,
        }
        answer = handlers[type(order)](worker, order)
        if not isinstance(answer, OrderDone):
            return answer
        if answer.already:
            return answer
        worker.order_times.append(self.now_s())
        self.on_change(worker)
        # A leave is complete at once, unlike other orders, and still counts as an order.
        return OrderDone(already=True) if isinstance(order, LeaveOrder) else answer

    def reported_orders(self, worker: Worker) -> int:
        """Return the number of orders in a worker's report, which is `report_lag_s` old."""
        return bisect_right(worker.order_times, self.now_s() - self.report_lag_s)

    def reported_membership(self, worker: Worker) -> Membership | None:
        """Return the membership in a worker's report, which is `report_lag_s` old."""
        until_s = self.now_s() - self.report_lag_s
        past = [membership for at_s, membership in worker.membership_changes if at_s <= until_s]
        return past[-1] if past else None

    def _join(self, worker: Worker, order: JoinOrder) -> OrderDone | OrderRefused:
        if order.epoch < worker.highest_epoch:
            return OrderRefused("epoch")
        key = (order.replica, order.epoch)
        if worker.group_key == key:
            same = worker.members == order.members
            return OrderDone(already=True) if same else OrderRefused("epoch")
        self._check_serving_group(worker, key)
        previous_group = worker.group_key
        model = require(self.engine.model(order.model), order.model)
        ready_s = self._time_to_ready_s(worker, model)
        rank = order.members.index(worker.worker_id)
        worker.highest_epoch = order.epoch
        membership = Membership(order.replica, order.epoch, rank, ReplicaState.JOINING)
        worker.change_membership(membership, self.now_s())
        worker.members = order.members
        worker.model = model.name
        worker.last_model = model.name
        loop = asyncio.get_running_loop()
        loop.call_later(ready_s, self._become_ready, worker, key)
        self._schedule_break(previous_group)
        return OrderDone(already=False)

    def _check_serving_group(self, worker: Worker, joined: tuple[str, int]) -> None:
        """Record a violation if a worker joins another group while its own is serving."""
        membership = worker.membership
        if membership is None:
            return
        head = self.workers.get(worker.members[0])
        if head is None or not head.alive or head.group_key != worker.group_key:
            return
        if head.current_membership.state in SERVING_STATES:
            state = head.current_membership.state.value
            detail = f"joined {joined} while {worker.group_key} of {worker.members} is {state}"
            self.violations.append(Violation("two", worker.worker_id, detail))

    def _time_to_ready_s(self, worker: Worker, model: ModelSpec) -> float:
        staging_s = max(0.0, worker.staging_until_s - self.now_s())
        if worker.last_model == model.name:
            return REJOIN_DURATION_S
        if model.name in worker.staged:
            return staging_s + model.warm_s
        self._load(worker, model)
        return model.load_s

    def _load(self, worker: Worker, model: ModelSpec) -> None:
        now_s = self.now_s()
        worker.loads += 1
        worker.load_times.append((model.name, now_s))
        worker.staging_until_s = now_s + model.load_s * self._load_slowdown
        worker.staged = [model.name, *worker.staged][:MAX_STAGED_MODELS]
        self._adjust_loads()

    def _adjust_loads(self) -> None:
        """Stretch or shorten what is left of all loads after their number has changed.

        Loads take proportionally longer while more than `EngineSpec.loads_at_once` of them run.
        """
        if not self.engine.loads_at_once:
            return
        now_s = self.now_s()
        loading = [worker for worker in self.workers.values() if worker.staging_until_s > now_s]
        factor = max(1.0, len(loading) / self.engine.loads_at_once)
        for worker in loading:
            left_s = worker.staging_until_s - now_s
            worker.staging_until_s = now_s + left_s * factor / self._load_slowdown
        self._load_slowdown = factor
        if self._next_load_end is not None:
            self._next_load_end.cancel()
        if loading:
            end_s = min(worker.staging_until_s for worker in loading)
            loop = asyncio.get_running_loop()
            self._next_load_end = loop.call_at(end_s + LOAD_END_DELAY_S, self._adjust_loads)

    def is_order_under_way(self, worker: Worker) -> bool:
        """Return whether a worker loads weights or joins a group."""
        membership = worker.membership
        is_joining = membership is not None and membership.state is ReplicaState.JOINING
        return is_joining or worker.staging_until_s > self.now_s()

    def _become_ready(self, worker: Worker, key: tuple[str, int]) -> None:
        if not worker.alive or worker.group_key != key:
            return
        left_s = worker.staging_until_s - self.now_s()
        if self.engine.loads_at_once and worker.staged[:1] == [worker.model] and left_s > 0:
            # Other loads that began meanwhile have slowed this one down.
            asyncio.get_running_loop().call_later(left_s, self._become_ready, worker, key)
            return
        self._set_state(worker, ReplicaState.READY)
        worker.ready_groups.add((*key, worker.members))

    def _set_state(self, worker: Worker, state: ReplicaState) -> None:
        membership = worker.current_membership
        membership = Membership(membership.replica, membership.epoch, membership.rank, state)
        worker.change_membership(membership, self.now_s())
        self.on_change(worker)

    def _open(self, worker: Worker, order: OpenOrder) -> OrderDone | OrderRefused:
        if worker.group_key != (order.replica, order.epoch) or worker.current_membership.rank != 0:
            return OrderRefused("state")
        if worker.current_membership.state is ReplicaState.OPEN:
            return OrderDone(already=True)
        if worker.current_membership.state is not ReplicaState.READY:
            return OrderRefused("state")
        self._set_state(worker, ReplicaState.OPEN)
        return OrderDone(already=False)

    def _close(self, worker: Worker, order: CloseOrder) -> OrderDone | OrderRefused:
        if worker.group_key != (order.replica, order.epoch):
            return OrderRefused("state")
        if worker.current_membership.state is ReplicaState.CLOSING:
            return OrderDone(already=True)
        if worker.current_membership.state is not ReplicaState.OPEN:
            return OrderRefused("state")
        self._set_state(worker, ReplicaState.CLOSING)
        delay_s = 0.01 if order.cut else self.closing_s
        key = worker.group_key
        asyncio.get_running_loop().call_later(delay_s, self._finish_closing, worker, key)
        return OrderDone(already=False)

    def _finish_closing(self, worker: Worker, key: tuple[str, int]) -> None:
        if worker.group_key == key and worker.current_membership.state is ReplicaState.CLOSING:
            self._set_state(worker, ReplicaState.READY)

    def _leave(self, worker: Worker, order: LeaveOrder) -> OrderDone:
        if _is_needless(worker, order):
            return OrderDone(already=True)
        worker.change_membership(None, self.now_s())
        worker.members = ()
        self._schedule_break((order.replica, order.epoch))
        return OrderDone(already=False)

    def _stage(self, worker: Worker, order: StageOrder) -> OrderDone | OrderRefused:
        if order.model in worker.staged:
            return OrderDone(already=True)
        self._load(worker, require(self.engine.model(order.model), order.model))
        return OrderDone(already=False)

    # Groups -----------------------------------------------------------------------------------

    def is_complete(self, head: Worker) -> bool:
        """Return whether all members of a head's group are alive and in that group."""
        return all(
            (member := self.workers.get(member_id)) is not None
            and member.alive
            and member.group_key == head.group_key
            for member_id in head.members
        )

    def paused_until_s(self, worker: Worker) -> float:
        """Return the loop time until which a worker or a member of its group stands still."""
        group = [worker, *(self.workers[i] for i in worker.members if i in self.workers)]
        return max(each.paused_until_s for each in group)

    def _schedule_break(self, key: tuple[str, int] | None) -> None:
        """Break a serving group that lost a member, after `stall_s`."""
        for worker in self.workers.values():
            if key is None or worker.group_key != key or worker.current_membership.rank != 0:
                continue
            if worker.current_membership.state in SERVING_STATES and not self.is_complete(worker):
                asyncio.get_running_loop().call_later(self.stall_s, self._break, worker, key)

    def _break(self, head: Worker, key: tuple[str, int]) -> None:
        if head.alive and head.group_key == key and not self.is_complete(head):
            self._set_state(head, ReplicaState.BROKEN)

    def serve(self, head: Worker) -> bool:
        """Check a request that reaches a head; return whether the group can run it.

        A request to an open group that is incomplete, or that has a member which was never
        ready, is a violation.
        """
        membership = head.membership
        if not head.alive or membership is None or membership.state is not ReplicaState.OPEN:
            return False
        size = require(self.engine.model(head.model), head.model).size
        if len(head.members) != size:
            self._record_partial(head, f"{len(head.members)} of {size} members")
        for member_id in head.members:
            member = self.workers.get(member_id)
            if (
                member is None
                or (*require(head.group_key, "the group"), head.members) not in member.ready_groups
            ):
                self._record_partial(head, f"{member_id} was never ready")
        return self.is_complete(head)

    def _record_partial(self, head: Worker, detail: str) -> None:
        self.violations.append(Violation("partial", head.worker_id, f"{head.group_key} {detail}"))

    def open_heads(self) -> list[Worker]:
        """Return the heads of groups that are open and complete."""
        return [
            worker
            for worker in self.workers.values()
            if worker.alive
            and worker.membership is not None
            and worker.current_membership.rank == 0
            and worker.current_membership.state is ReplicaState.OPEN
            and self.is_complete(worker)
        ]


def _is_needless(worker: Worker, order: Order) -> bool:
    """Return whether this is an order to leave a group that a worker is not in."""
    return isinstance(order, LeaveOrder) and worker.group_key != (order.replica, order.epoch)
