"""Stand-in of the model engines: boxes that form replicas, batch requests and generate tokens."""

import asyncio
import heapq
import itertools
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from ..clock import Clock
from ..engines import (
    BoxPhase,
    BoxState,
    CacheEvent,
    Fence,
    Order,
    OrderAccepted,
    OrderAction,
    OrderRefused,
    prefix_blocks,
)
from ..invariants import require
from ._weights import StandInWeightStore
from ._writer import answer_tokens, prompt_text, remaining_tokens

__all__ = ["EngineJob", "EngineProfile", "EngineRefusal", "StandInBox", "StandInFleet"]

MAX_JOBS = 2000
ABANDONED_JOB_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed and limits of the stand-in engines.

    Attributes
    ----------
    step_s : float
        Duration of one batch step, in which each running request whose prompt is processed
        gets one token.
    prefill_blocks_per_step : int
        Uncached prompt blocks processed in one step, over all requests of the batch.
    cache_blocks : int
        Capacity of the prefix cache of a box, in blocks.
    queue_limit : int
        Requests that may wait at one replica; further ones are refused.
    load_lag_s : float
        Age of the load that a box reports.
    event_lag_s : float
        Delay before a cache event is published.
    event_loss_ratio : float
        Share of the cache events that is never published.
    """

    step_s: float = 0.01
    prefill_blocks_per_step: int = 8
    cache_blocks: int = 4096
    queue_limit: int = 64
    load_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_loss_ratio: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineRefusal:
    """Why the engine refused a request; `stale` if it does not serve the requested replica."""

    reason: str
    stale: bool


@dataclass(eq=False, slots=True)
class EngineJob:
    """One request at the first box of a replica."""

    request_id: str
    tokens: list[str]
    priority: int
    prefill_blocks: int
    emitted: int = 0
    failed: bool = False
    cancelled: bool = False
    readers: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def ended(self) -> bool:
        """Whether the request has failed, was cancelled, or has all its tokens."""
        return self.failed or self.cancelled or self.emitted >= len(self.tokens)

    def notify(self) -> None:
        """Wake the readers that wait for tokens or for the end of the request."""
        self.changed.set()
        self.changed = asyncio.Event()


class StandInBox:
    """A target box that runs one engine.

    Parameters
    ----------
    name, hall, fabric_domain : str
        Name of the box, its hall and its fabric domain.

    Attributes
    ----------
    checks_orders : bool, default=True
        Whether the box refuses orders whose fence is below the highest that it has accepted.
    """

    def __init__(self, fleet: "StandInFleet", name: str, hall: str, fabric_domain: str):
        self.fleet = fleet
        self.name = name
        self.hall = hall
        self.fabric_domain = fabric_domain
        self.checks_orders = True
        self.alive = True
        self.draining = False
        self.running_gate = asyncio.Event()
        self.running_gate.set()
        self.start_count = 0
        self.orders_obeyed: list[Order] = []
        self._start_engine()

    def _start_engine(self) -> None:
        self.start_count += 1
        self.incarnation = f"{self.name}#{self.start_count}"
        self.fence = Fence(0, 0, 0)
        self.phase = BoxPhase.IDLE
        self.order: Order | None = None
        self.loaded_weights: set[tuple[str, str]] = set()
        self.jobs: OrderedDict[str, EngineJob] = OrderedDict()
        self.waiting: list[tuple[int, int, EngineJob]] = []
        self.running: list[EngineJob] = []
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: deque[tuple[float, CacheEvent]] = deque(maxlen=4096)
        self.sequence = itertools.count(1)
        self.loads: deque[tuple[float, int, int]] = deque(maxlen=256)
        self._batch_task: asyncio.Task | None = None
        self._load_task: asyncio.Task | None = None

    # Faults -------------------------------------------------------------------------------

    def kill(self) -> None:
        """Terminate the box at once; its unfinished requests fail."""
        self.alive = False
        self._stop_engine()

    def pause(self) -> None:
        """Freeze the box: it answers no call and keeps its state."""
        self.running_gate.clear()

    def resume(self) -> None:
        """Unfreeze a paused box, which goes on with its unfinished work."""
        self.running_gate.set()

    def restart(self) -> None:
        """Start the box again with a new engine that has neither weights nor requests."""
        self._stop_engine()
        self._start_engine()
        self.alive = True
        self.draining = False
        self.resume()

    def _stop_engine(self) -> None:
        for task in (self._batch_task, self._load_task):
            if task is not None:
                task.cancel()
        self._fail_jobs()

    def _fail_jobs(self) -> None:
        for job in self.jobs.values():
            if not job.ended:
                job.failed = True
                job.notify()
        self.waiting.clear()
        self.running.clear()

    # Control side -------------------------------------------------------------------------

    def state(self) -> BoxState:
        """Return the state that the box reports; its load is `load_lag_s` old."""
        order = self.order
        running, waiting = self._reported_load()
        return BoxState(
            box=self.name,
            incarnation=self.incarnation,
            fence=self.fence,
            phase=self.phase,
            replica_id=order.replica_id if order else "",
            model=order.model if order else "",
            version=order.version if order else "",
            members=order.members if order else (),
            held=tuple(sorted(self.loaded_weights)),
            running=running,
            waiting=waiting,
            draining=self.draining,
            slots=order.slots if order else 0,
        )

    def _reported_load(self) -> tuple[int, int]:
        now_s = self.fleet.clock.now_s()
        self.loads.append((now_s, len(self.running), len(self.waiting)))
        lagged = [load for load in self.loads if load[0] <= now_s - self.fleet.profile.load_lag_s]
        _, running, waiting = lagged[-1] if lagged else self.loads[0]
        return running, waiting

    def obey(self, order: Order) -> OrderAccepted | OrderRefused:
        """Carry out an order, or refuse it if its fence is too low and the box checks fences.

        An order with the fence of the last accepted order is a repetition and has no effect.
        """
        if order.fence < self.fence and self.checks_orders:
            return OrderRefused(self.fence)
        if order.fence == self.fence:
            return OrderAccepted()
        self.fence = order.fence
        self.orders_obeyed.append(order)
        if self._load_task is not None:
            self._load_task.cancel()
        if order.action is OrderAction.PREPARE:
            self._load_task = self.fleet.spawn(self._prepare(order))
            return OrderAccepted()
        self._fail_jobs()
        self.cache.clear()
        if order.action is OrderAction.RELEASE:
            self.order = None
            self.phase = BoxPhase.IDLE
        else:
            self.order = order
            self.phase = BoxPhase.LOADING
            self._load_task = self.fleet.spawn(self._load(order))
        return OrderAccepted()

    async def _prepare(self, order: Order) -> None:
        await self._fetch_weights(order)

    async def _load(self, order: Order) -> None:
        await self._fetch_weights(order)
        self.phase = BoxPhase.READY

    async def _fetch_weights(self, order: Order) -> None:
        wanted = (order.model, order.version)
        if wanted not in self.loaded_weights:
            await self.fleet.weights.read(order.weight_bytes)
            await self.running_gate.wait()
            self.loaded_weights = {wanted}

    def published_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the events after sequence number `after` that are at least `event_lag_s` old."""
        latest_s = self.fleet.clock.now_s() - self.fleet.profile.event_lag_s
        return tuple(e for at_s, e in self.events if e.sequence > after and at_s <= latest_s)

    def cancel(self, request_id: str) -> None:
        """Cancel a request and free its slot."""
        job = self.jobs.get(request_id)
        if job is not None and not job.ended:
            job.cancelled = True
            self.running = [other for other in self.running if other is not job]
            self.waiting = [entry for entry in self.waiting if entry[2] is not job]
            heapq.heapify(self.waiting)
            job.notify()

    def export_cache(self) -> list[int]:
        """Return the cached blocks, least recently used first."""
        return list(self.cache)

    def import_cache(self, blocks: list[int]) -> None:
        """Add blocks that another replica exported to the cache."""
        self._store_blocks(tuple(blocks))

    # Data side ----------------------------------------------------------------------------

    def accept(
        self, body: dict, request_id: str, replica_id: str, generation: str, priority: int
    ) -> EngineJob | EngineRefusal:
        """Queue a request, or refuse it before any of it has run."""
        refusal = self._refusal(replica_id, generation)
        if refusal is not None:
            return refusal
        if len(self.waiting) >= self.fleet.profile.queue_limit:
            return EngineRefusal("queue_full", stale=False)
        prompt = prompt_text(body)
        blocks = prefix_blocks(prompt)
        cached = sum(1 for _ in itertools.takewhile(self.cache.__contains__, blocks))
        max_tokens = int(body.get("max_tokens") or body.get("max_completion_tokens") or 512)
        tokens = remaining_tokens(
            answer_tokens(prompt, max_tokens), str(body.get("continue_text", ""))
        )
        job = EngineJob(request_id, tokens, priority, len(blocks) - cached)
        self.jobs[request_id] = job
        while len(self.jobs) > MAX_JOBS:
            self.jobs.popitem(last=False)
        self.fleet.record_run(request_id, reused_blocks=cached, prompt_blocks=len(blocks))
        heapq.heappush(self.waiting, (-priority, self.fleet.next_arrival_number(), job))
        self._store_blocks(blocks)
        if self._batch_task is None or self._batch_task.done():
            self._batch_task = self.fleet.spawn(self._run_batches())
        return job

    def _refusal(self, replica_id: str, generation: str) -> EngineRefusal | None:
        order = self.order
        if order is None or self.phase is not BoxPhase.READY:
            return EngineRefusal("not_serving", stale=True)
        if order.replica_id != replica_id or str(self.fence) != generation:
            return EngineRefusal("stale_replica", stale=True)
        if order.members[0] != self.name:
            return EngineRefusal("not_the_head", stale=True)
        if not self.is_group_complete():
            return EngineRefusal("member_missing", stale=True)
        return None

    def is_group_complete(self) -> bool:
        """Return whether all members run and are ready in the same generation as this box."""
        if self.order is None:
            return False
        members = [self.fleet.boxes.get(name) for name in self.order.members]
        return all(
            m is not None
            and m.alive
            and m.running_gate.is_set()
            and m.fence == self.fence
            and m.phase is BoxPhase.READY
            for m in members
        )

    async def _run_batches(self) -> None:
        """Run batch steps until no request runs or waits.

        The batch stalls while the group is incomplete, and fails once a member is dead or has
        another fence.
        """
        while self.running or self.waiting:
            await asyncio.sleep(self.fleet.profile.step_s)
            await self.running_gate.wait()
            if not self._members_alive():
                self._fail_jobs()
                return
            if not self.is_group_complete():
                continue
            while self.waiting and len(self.running) < require(self.order, "the order").slots:
                self.running.append(heapq.heappop(self.waiting)[2])
            self._step()

    def _members_alive(self) -> bool:
        if self.order is None:
            return False
        members = [self.fleet.boxes.get(name) for name in self.order.members]
        return all(m is not None and m.alive and m.fence == self.fence for m in members)

    def _step(self) -> None:
        remaining_blocks = self.fleet.profile.prefill_blocks_per_step
        for job in self.running:
            if job.prefill_blocks > 0:
                processed = min(remaining_blocks, job.prefill_blocks)
                job.prefill_blocks -= processed
                remaining_blocks -= processed
                continue
            job.emitted += 1
            job.notify()
        self.running = [job for job in self.running if not job.ended]

    def _store_blocks(self, blocks: tuple[int, ...]) -> None:
        added = tuple(block for block in blocks if block not in self.cache)
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) > self.fleet.profile.cache_blocks:
            evicted.append(self.cache.popitem(last=False)[0])
        self._publish(True, added)
        self._publish(False, tuple(evicted))

    def _publish(self, stored: bool, blocks: tuple[int, ...]) -> None:
        if not blocks:
            return
        event = CacheEvent(next(self.sequence), stored, blocks)
        if self.fleet.random_source.random() >= self.fleet.profile.event_loss_ratio:
            self.events.append((self.fleet.clock.now_s(), event))


class StandInFleet:
    """All target boxes of a site.

    Parameters
    ----------
    clock : Clock
        Clock for lags of loads and cache events.
    weights : StandInWeightStore
        Store from which boxes load weights.
    profile : EngineProfile
        Speed of the engines.
    random_source : random.Random
        Decides which cache events are lost.
    """

    def __init__(
        self,
        clock: Clock,
        weights: StandInWeightStore,
        profile: EngineProfile,
        random_source: random.Random,
    ):
        self.clock = clock
        self.weights = weights
        self.profile = profile
        self.random_source = random_source
        self.boxes: dict[str, StandInBox] = {}
        self.runs: dict[str, int] = {}
        self.reused_blocks = 0
        self.prompt_blocks = 0
        self._arrival_numbers = itertools.count()
        self._tasks: set[asyncio.Task] = set()

    def add_box(self, name: str, hall: str, fabric_domain: str) -> StandInBox:
        """Add a new idle box."""
        box = StandInBox(self, name, hall, fabric_domain)
        self.boxes[name] = box
        return box

    def next_arrival_number(self) -> int:
        """Return an increasing number, which keeps requests of one priority in order of arrival."""
        return next(self._arrival_numbers)

    def record_run(self, request_id: str, reused_blocks: int, prompt_blocks: int) -> None:
        """Count an accepted request, the blocks of its prompt, and how many of them were cached."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.reused_blocks += reused_blocks
        self.prompt_blocks += prompt_blocks

    def spawn(self, coroutine) -> asyncio.Task:
        """Start a task that `close` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
