"""Stand-in of the model engines: boxes that form replicas, batch requests and stream answers."""

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
from ._writer import answer_tokens, prompt_of, remaining_tokens

__all__ = ["EngineJob", "EngineProfile", "EngineRefusal", "StandInBox", "StandInFleet"]

JOBS_KEPT = 2000
ABANDONED_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """How fast the stand-in works.

    Attributes
    ----------
    step_s : float
        Time of one batch step, which gives each running request one token.
    prefill_blocks_per_step : int
        Prompt blocks outside the cache that one step works off.
    cache_blocks : int
        Blocks that the prefix cache holds.
    queue_limit : int
        Requests that may wait at one replica.
    load_lag_s : float
        Age of the load that is reported.
    event_lag_s : float
        Age of the newest cache event that is published.
    event_loss_ratio : float
        Part of the cache events that is never published.
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
    """The engine did not take the request; `stale` if the replica is not the one asked for."""

    reason: str
    stale: bool


@dataclass(eq=False, slots=True)
class EngineJob:
    """One request at the head of a replica."""

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
        """Whether nothing more will come."""
        return self.failed or self.cancelled or self.emitted >= len(self.tokens)

    def notify(self) -> None:
        """Wake those who read the job's tokens."""
        self.changed.set()
        self.changed = asyncio.Event()


class StandInBox:
    """One target box with an engine on it.

    Parameters
    ----------
    name, hall, fabric_domain : str
        Where it stands.
    checks_orders : bool, default=True
        Whether it refuses orders with a fence below the highest it has seen.
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
        self.boots = 0
        self.orders_obeyed: list[Order] = []
        self._start_engine()

    def _start_engine(self) -> None:
        self.boots += 1
        self.incarnation = f"{self.name}#{self.boots}"
        self.fence = Fence(0, 0, 0)
        self.phase = BoxPhase.IDLE
        self.order: Order | None = None
        self.held: set[tuple[str, str]] = set()
        self.jobs: OrderedDict[str, EngineJob] = OrderedDict()
        self.waiting: list[tuple[int, int, EngineJob]] = []
        self.running: list[EngineJob] = []
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: deque[tuple[float, CacheEvent]] = deque(maxlen=4096)
        self.sequence = itertools.count(1)
        self.loads: deque[tuple[float, int, int]] = deque(maxlen=256)
        self._batch: asyncio.Task | None = None
        self._loader: asyncio.Task | None = None

    # Faults -------------------------------------------------------------------------------

    def kill(self) -> None:
        """Take the box away at once: its requests end in the middle."""
        self.alive = False
        self._abandon()

    def pause(self) -> None:
        """Freeze the box: it answers nothing and keeps all it holds."""
        self.running_gate.clear()

    def resume(self) -> None:
        """Let a paused box go on where it stopped."""
        self.running_gate.set()

    def restart(self) -> None:
        """Bring the box back with a new engine that holds nothing."""
        self._abandon()
        self._start_engine()
        self.alive = True
        self.draining = False
        self.resume()

    def _abandon(self) -> None:
        for task in (self._batch, self._loader):
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
        """Return what the box says of itself; its load lags."""
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
            held=tuple(sorted(self.held)),
            running=running,
            waiting=waiting,
            draining=self.draining,
            slots=order.slots if order else 0,
        )

    def _reported_load(self) -> tuple[int, int]:
        now_s = self.fleet.clock.now_s()
        self.loads.append((now_s, len(self.running), len(self.waiting)))
        old = [load for load in self.loads if load[0] <= now_s - self.fleet.profile.load_lag_s]
        _, running, waiting = old[-1] if old else self.loads[0]
        return running, waiting

    def obey(self, order: Order) -> OrderAccepted | OrderRefused:
        """Carry out an order, or refuse it if the box checks fences and the fence is old."""
        if order.fence < self.fence and self.checks_orders:
            return OrderRefused(self.fence)
        if order.fence == self.fence:
            return OrderAccepted()
        self.fence = order.fence
        self.orders_obeyed.append(order)
        if self._loader is not None:
            self._loader.cancel()
        if order.action is OrderAction.PREPARE:
            self._loader = self.fleet.spawn(self._prepare(order))
            return OrderAccepted()
        self._fail_jobs()
        self.cache.clear()
        if order.action is OrderAction.RELEASE:
            self.order = None
            self.phase = BoxPhase.IDLE
        else:
            self.order = order
            self.phase = BoxPhase.LOADING
            self._loader = self.fleet.spawn(self._load(order))
        return OrderAccepted()

    async def _prepare(self, order: Order) -> None:
        await self._fetch_weights(order)

    async def _load(self, order: Order) -> None:
        await self._fetch_weights(order)
        self.phase = BoxPhase.READY

    async def _fetch_weights(self, order: Order) -> None:
        wanted = (order.model, order.version)
        if wanted not in self.held:
            await self.fleet.weights.read(order.weight_bytes)
            await self.running_gate.wait()
            self.held = {wanted}

    def published_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number that are old enough to be seen."""
        latest_s = self.fleet.clock.now_s() - self.fleet.profile.event_lag_s
        return tuple(e for at_s, e in self.events if e.sequence > after and at_s <= latest_s)

    def cancel(self, request_id: str) -> None:
        """Stop a request and free its slot."""
        job = self.jobs.get(request_id)
        if job is not None and not job.ended:
            job.cancelled = True
            self.running = [other for other in self.running if other is not job]
            self.waiting = [entry for entry in self.waiting if entry[2] is not job]
            heapq.heapify(self.waiting)
            job.notify()

    def export_cache(self) -> list[int]:
        """Return the blocks held, oldest first."""
        return list(self.cache)

    def import_cache(self, blocks: list[int]) -> None:
        """Take over blocks that another replica exported."""
        self._store_blocks(tuple(blocks))

    # Data side ----------------------------------------------------------------------------

    def accept(
        self, body: dict, request_id: str, replica_id: str, generation: str, priority: int
    ) -> EngineJob | EngineRefusal:
        """Take a request, or refuse it without having run any of it."""
        refusal = self._refusal(replica_id, generation)
        if refusal is not None:
            return refusal
        if len(self.waiting) >= self.fleet.profile.queue_limit:
            return EngineRefusal("queue_full", stale=False)
        prompt = prompt_of(body)
        blocks = prefix_blocks(prompt)
        cached = sum(1 for _ in itertools.takewhile(self.cache.__contains__, blocks))
        most = int(body.get("max_tokens") or body.get("max_completion_tokens") or 512)
        tokens = remaining_tokens(answer_tokens(prompt, most), str(body.get("continue_text", "")))
        job = EngineJob(request_id, tokens, priority, len(blocks) - cached)
        self.jobs[request_id] = job
        while len(self.jobs) > JOBS_KEPT:
            self.jobs.popitem(last=False)
        self.fleet.count_run(request_id, reused=cached, total=len(blocks))
        heapq.heappush(self.waiting, (-priority, self.fleet.next_ticket(), job))
        self._store_blocks(blocks)
        if self._batch is None or self._batch.done():
            self._batch = self.fleet.spawn(self._run_batch())
        return job

    def _refusal(self, replica_id: str, generation: str) -> EngineRefusal | None:
        order = self.order
        if order is None or self.phase is not BoxPhase.READY:
            return EngineRefusal("not_serving", stale=True)
        if order.replica_id != replica_id or str(self.fence) != generation:
            return EngineRefusal("stale_replica", stale=True)
        if order.members[0] != self.name:
            return EngineRefusal("not_the_head", stale=True)
        if not self.group_whole():
            return EngineRefusal("member_missing", stale=True)
        return None

    def group_whole(self) -> bool:
        """Return whether all members run and stand behind this box's generation."""
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

    async def _run_batch(self) -> None:
        """Give each running request one token a step, for as long as there is work."""
        while self.running or self.waiting:
            await asyncio.sleep(self.fleet.profile.step_s)
            await self.running_gate.wait()
            if not self._members_alive():
                self._fail_jobs()
                return
            if not self.group_whole():
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
        budget = self.fleet.profile.prefill_blocks_per_step
        for job in self.running:
            if job.prefill_blocks > 0:
                done = min(budget, job.prefill_blocks)
                job.prefill_blocks -= done
                budget -= done
                continue
            job.emitted += 1
            job.notify()
        self.running = [job for job in self.running if not job.ended]

    def _store_blocks(self, blocks: tuple[int, ...]) -> None:
        fresh = tuple(block for block in blocks if block not in self.cache)
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        dropped = []
        while len(self.cache) > self.fleet.profile.cache_blocks:
            dropped.append(self.cache.popitem(last=False)[0])
        self._publish(True, fresh)
        self._publish(False, tuple(dropped))

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
        Time of the stand-ins.
    weights : StandInWeightStore
        Where boxes load weights from.
    profile : EngineProfile
        Speed of the engines.
    random_source : random.Random
        For lost cache events.
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
        self._tickets = itertools.count()
        self._tasks: set[asyncio.Task] = set()

    def add_box(self, name: str, hall: str, fabric_domain: str) -> StandInBox:
        """Put a new box into the fleet."""
        box = StandInBox(self, name, hall, fabric_domain)
        self.boxes[name] = box
        return box

    def next_ticket(self) -> int:
        """Return a number that orders requests of the same priority."""
        return next(self._tickets)

    def count_run(self, request_id: str, reused: int, total: int) -> None:
        """Count that a request began to run, and what its prompt found in the cache."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.reused_blocks += reused
        self.prompt_blocks += total

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a task that lives as long as the fleet."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """End all that runs."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
