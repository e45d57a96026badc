"""Rule: whether a model request gets a replica now, waits for one, or is refused.

Owns one queue for each model and the usual service time by model, in memory. Relies on the routing
policy for the choice among replicas that have room.
"""

import asyncio
from dataclasses import dataclass

from ..clock import Clock
from ..invariants import require
from ..membership import SharedState
from ..outcomes import NotRun
from ..placement import Replica
from ..routing import Candidate, ReplicaLoads, RouteRequest, RoutingPolicy
from ..teams import FairQueue, QueueEntry
from ._model_request import ModelRequest

__all__ = ["ReplicaGate"]

# Pause between two looks for room while requests wait: a new replica, or a load report that comes
# late, wakes nobody by itself. Chosen, not measured.
PUMP_S = 0.02

# Requests that a replica gets, as a multiple of its slots. 1 keeps the engine's own queue empty, so
# that priorities count here. Chosen, not measured.
ROOM_OVER_SLOTS = 1.0

# Bounds of the time after which a refused caller may come back. Chosen, not measured.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0

# Weight of the newest request in the usual service time, and what is assumed before the first.
# Chosen, not measured.
SERVICE_TIME_WEIGHT = 0.1
ASSUMED_SERVICE_S = 1.0


@dataclass(eq=False, slots=True)
class _QueuedRequest:
    """A request in the queue, and the future that gets its replica or refusal."""

    request: ModelRequest
    excluded: set
    chosen: asyncio.Future


class ReplicaGate:
    """Chooses replicas, and queues requests while none has room.

    Parameters
    ----------
    state : SharedState
        Placement, attestations and the table.
    loads : ReplicaLoads
        Load and caches of the replicas, as this daemon knows them.
    policy : RoutingPolicy
        Chooses among replicas with room.
    clock : Clock
        For deadlines.
    """

    __slots__ = ("_pump", "_queues", "loads", "clock", "policy", "service_s", "state")

    def __init__(
        self, state: SharedState, loads: ReplicaLoads, policy: RoutingPolicy, clock: Clock
    ):
        self.state = state
        self.loads = loads
        self.policy = policy
        self.clock = clock
        self.service_s: dict[str, float] = {}
        self._queues: dict[str, FairQueue[_QueuedRequest]] = {}
        self._pump: asyncio.Task | None = None

    def waiting(self, model: str) -> int:
        """Return how many requests for `model` wait here."""
        queue = self._queues.get(model)
        return len(queue) if queue is not None else 0

    def queue_lengths(self) -> dict[str, int]:
        """Return the length of every queue that is not empty."""
        return {model: len(queue) for model, queue in self._queues.items() if len(queue)}

    def choose_now(self, request: ModelRequest, excluded: set) -> Candidate | None:
        """Return a replica with room, or None."""
        now_s = self.clock.now_s()
        serving = self._serving(request.model, now_s)
        open_to_it = [r for r in serving if r.generation not in excluded]
        daemons = max(1, len(self.state.members.working()))
        candidates = self.loads.candidates(open_to_it, request.blocks, now_s, daemons)
        with_room = [c for c in candidates if _has_room(c)]
        route = RouteRequest(request.model, request.blocks, request.priority)
        return self.policy.choose(with_room, route)

    def has_room(self, model: str) -> bool:
        """Return whether a request for `model` would find a replica here without waiting."""
        now_s = self.clock.now_s()
        serving = self._serving(model, now_s)
        return any(self._replica_has_room(replica, now_s) for replica in serving)

    def _serving(self, model: str, now_s: float) -> list[Replica]:
        """Return the replicas that may get work; none before the first table is read."""
        view = self.state.keeper.view
        if view is None:
            return []
        return self.loads.serving(self.state.placement, view, model, now_s)

    def _replica_has_room(self, replica: Replica, now_s: float) -> bool:
        (candidate,) = self.loads.candidates((replica,), (), now_s)
        return _has_room(candidate)

    async def choose(
        self, request: ModelRequest, excluded: set, weight: float, wait_s: float
    ) -> Candidate | NotRun:
        """Return a replica for the request, waiting in the queue for at most `wait_s`."""
        if self.waiting(request.model) == 0:
            chosen = self.choose_now(request, excluded)
            if chosen is not None:
                return chosen
        refusal = self._refuse_early(request, wait_s)
        if refusal is not None:
            return refusal
        return await self._queue_up(request, excluded, weight, wait_s)

    def _refuse_early(self, request: ModelRequest, wait_s: float) -> NotRun | None:
        """Refuse at once a request that would wait too long for its deadline or the queue."""
        left_s = min(wait_s, request.deadline_s - self.clock.now_s())
        expected_s = self.expected_wait_s(request.model, request.priority)
        if expected_s > left_s:
            return self._not_run(request, "overloaded", "the queue is too long for its deadline")
        return None

    async def _queue_up(
        self, request: ModelRequest, excluded: set, weight: float, wait_s: float
    ) -> Candidate | NotRun:
        now_s = self.clock.now_s()
        until_s = min(now_s + wait_s, request.deadline_s)
        queue = self._queues.setdefault(request.model, FairQueue())
        queued = _QueuedRequest(request, excluded, asyncio.get_running_loop().create_future())
        waiting = QueueEntry(request.team, weight, request.cost, request.priority, until_s, queued)
        shed = queue.push(waiting)
        if shed is not None:
            self._shed(shed)
        if self._pump is None or self._pump.done():
            self._pump = asyncio.get_running_loop().create_task(self._run_pump())
        try:
            # Not `wait_for`: it loses a cancellation that comes together with the replica, and the
            # request would be sent after the daemon's time to stop is over.
            async with asyncio.timeout(max(0.0, until_s - now_s)):
                return await queued.chosen
        except TimeoutError:
            return self._not_run(request, "no_capacity", "no replica had room in time")
        finally:
            queue.remove(waiting)

    def _shed(self, waiting: QueueEntry[_QueuedRequest]) -> None:
        queued = require(waiting.handle, "the queued request")
        if not queued.chosen.done():
            queued.chosen.set_result(
                self._not_run(queued.request, "overloaded", "shed for a higher priority")
            )

    def _not_run(self, request: ModelRequest, reason: str, message: str) -> NotRun:
        return NotRun(reason, message, self.retry_after_s(request.model, request.priority), 503)

    def expected_wait_s(self, model: str, priority: int) -> float:
        """Return how long a newcomer would wait, by the queue and the usual service time."""
        queue = self._queues.get(model)
        ahead = queue.ahead_of(priority) if queue is not None else 0
        slots = self._slots(model)
        if slots == 0 or ahead == 0:
            return 0.0
        own_slots = max(1.0, slots / max(1, len(self.state.members.live())))
        return ahead * self.service_s.get(model, ASSUMED_SERVICE_S) / own_slots

    def retry_after_s(self, model: str, priority: int) -> float:
        """Return after how many seconds a refused caller may come back: the expected wait."""
        expected_s = self.expected_wait_s(model, priority)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_s))

    def _slots(self, model: str) -> int:
        now_s = self.clock.now_s()
        serving = self._serving(model, now_s)
        return sum(replica.slots for replica in serving)

    def note_service(self, model: str, took_s: float) -> None:
        """Take a request's time into the usual service time of its model."""
        before_s = self.service_s.get(model, took_s)
        self.service_s[model] = before_s + SERVICE_TIME_WEIGHT * (took_s - before_s)

    def wake(self, model: str) -> None:
        """Assign a replica with room to the first queued request, if there is one."""
        queue = self._queues.get(model)
        if queue is None:
            return
        while (waiting := queue.peek()) is not None:
            queued = require(waiting.handle, "the queued request")
            if queued.chosen.done():
                queue.remove(waiting)
                continue
            chosen = self.choose_now(queued.request, queued.excluded)
            if chosen is None:
                return
            queue.pop(self.clock.now_s())
            queued.chosen.set_result(chosen)
            return

    async def _run_pump(self) -> None:
        """Look for room every `PUMP_S` while requests wait."""
        while any(len(queue) for queue in self._queues.values()):
            for model in list(self._queues):
                self.wake(model)
            await asyncio.sleep(PUMP_S)


def _has_room(candidate: Candidate) -> bool:
    """Return whether a replica would take one more request without making it wait."""
    return candidate.load < candidate.replica.slots * ROOM_OVER_SLOTS
