"""Admission of model requests: assign a replica with room, queue the request, or refuse it.

Owns one queue and the mean service time of each model, in memory. The routing policy chooses among
the replicas that have room.
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

# How often queued requests are checked for a replica with room: a new replica or a delayed load
# report triggers no check by itself.
QUEUE_CHECK_INTERVAL_S = 0.02

# Requests sent to a replica for each of its slots. 1 keeps the engine's own queue empty, so that
# requests wait in the queue here, which is ordered by priority.
MAX_REQUESTS_PER_SLOT = 1.0

# Bounds of the Retry-After of a refusal.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0

# Weight of the latest request in the moving average of service times, and the value assumed for a
# model without one.
SERVICE_TIME_WEIGHT = 0.1
ASSUMED_SERVICE_TIME_S = 1.0


@dataclass(eq=False, slots=True)
class _QueuedRequest:
    """A queued request and the future that receives its replica or refusal."""

    request: ModelRequest
    excluded: set
    chosen: asyncio.Future


class ReplicaGate:
    """Chooses replicas for requests, and queues requests while no replica has room.

    Parameters
    ----------
    state : SharedState
        Provides placement, attestations and the table.
    loads : ReplicaLoads
        Load and prefix caches of the replicas, as known to this daemon.
    policy : RoutingPolicy
        Chooses among replicas with room.
    clock : Clock
        Clock of deadlines.
    """

    __slots__ = ("_queue_task", "_queues", "loads", "clock", "policy", "service_times_s", "state")

    def __init__(
        self, state: SharedState, loads: ReplicaLoads, policy: RoutingPolicy, clock: Clock
    ):
        self.state = state
        self.loads = loads
        self.policy = policy
        self.clock = clock
        self.service_times_s: dict[str, float] = {}
        self._queues: dict[str, FairQueue[_QueuedRequest]] = {}
        self._queue_task: asyncio.Task | None = None

    def waiting(self, model: str) -> int:
        """Return the number of requests queued for `model`."""
        queue = self._queues.get(model)
        return len(queue) if queue is not None else 0

    def queue_lengths(self) -> dict[str, int]:
        """Return the length of each queue that is not empty, by model."""
        return {model: len(queue) for model, queue in self._queues.items() if len(queue)}

    def choose_now(self, request: ModelRequest, excluded: set) -> Candidate | None:
        """Return a replica with room whose generation is not in `excluded`, or None."""
        now_s = self.clock.now_s()
        serving = self._serving(request.model, now_s)
        eligible = [r for r in serving if r.generation not in excluded]
        daemons = max(1, len(self.state.members.available_names()))
        candidates = self.loads.candidates(eligible, request.blocks, now_s, daemons)
        with_room = [c for c in candidates if _has_room(c)]
        route = RouteRequest(request.model, request.blocks, request.priority)
        return self.policy.choose(with_room, route)

    def has_room(self, model: str) -> bool:
        """Return whether a replica of this hall has room for a request for `model`."""
        now_s = self.clock.now_s()
        serving = self._serving(model, now_s)
        return any(self._replica_has_room(replica, now_s) for replica in serving)

    def _serving(self, model: str, now_s: float) -> list[Replica]:
        """Return the replicas that may get requests; none before a table is in force."""
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
        """Return a replica for the request, or a refusal; queue it for at most `wait_s`."""
        if self.waiting(request.model) == 0:
            chosen = self.choose_now(request, excluded)
            if chosen is not None:
                return chosen
        refusal = self._refuse_long_wait(request, wait_s)
        if refusal is not None:
            return refusal
        return await self._wait_in_queue(request, excluded, weight, wait_s)

    def _refuse_long_wait(self, request: ModelRequest, wait_s: float) -> NotRun | None:
        """Refuse a request whose expected wait exceeds its deadline or the limit of the queue."""
        remaining_s = min(wait_s, request.deadline_s - self.clock.now_s())
        expected_s = self.expected_wait_s(request.model, request.priority)
        if expected_s > remaining_s:
            return self._not_run(request, "overloaded", "the queue is too long for its deadline")
        return None

    async def _wait_in_queue(
        self, request: ModelRequest, excluded: set, weight: float, wait_s: float
    ) -> Candidate | NotRun:
        now_s = self.clock.now_s()
        wait_until_s = min(now_s + wait_s, request.deadline_s)
        queue = self._queues.setdefault(request.model, FairQueue())
        queued = _QueuedRequest(request, excluded, asyncio.get_running_loop().create_future())
        waiting = QueueEntry(
            request.team, weight, request.cost, request.priority, wait_until_s, queued
        )
        shed = queue.push(waiting)
        if shed is not None:
            self._shed(shed)
        if self._queue_task is None or self._queue_task.done():
            self._queue_task = asyncio.get_running_loop().create_task(self._serve_queues())
        try:
            # `wait_for` would lose a cancellation that coincides with the assignment of a replica,
            # and the request would be sent after the time limit of the daemon's stop.
            async with asyncio.timeout(max(0.0, wait_until_s - now_s)):
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
        """Estimate the wait of a new request from the queue length and the mean service time."""
        queue = self._queues.get(model)
        queued_before = queue.ahead_of(priority) if queue is not None else 0
        slots = self._slot_count(model)
        if slots == 0 or queued_before == 0:
            return 0.0
        slots_per_daemon = max(1.0, slots / max(1, len(self.state.members.live())))
        return (
            queued_before
            * self.service_times_s.get(model, ASSUMED_SERVICE_TIME_S)
            / slots_per_daemon
        )

    def retry_after_s(self, model: str, priority: int) -> float:
        """Return the Retry-After of a refusal in seconds: the expected wait, within bounds."""
        expected_s = self.expected_wait_s(model, priority)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_s))

    def _slot_count(self, model: str) -> int:
        now_s = self.clock.now_s()
        serving = self._serving(model, now_s)
        return sum(replica.slots for replica in serving)

    def update_service_time(self, model: str, took_s: float) -> None:
        """Update the moving average of the model's service time."""
        mean_s = self.service_times_s.get(model, took_s)
        self.service_times_s[model] = mean_s + SERVICE_TIME_WEIGHT * (took_s - mean_s)

    def assign_first_queued(self, model: str) -> None:
        """Assign a replica to the first queued request if a replica with room exists."""
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

    async def _serve_queues(self) -> None:
        """Assign replicas to queued requests periodically until all queues are empty."""
        while any(len(queue) for queue in self._queues.values()):
            for model in list(self._queues):
                self.assign_first_queued(model)
            await asyncio.sleep(QUEUE_CHECK_INTERVAL_S)


def _has_room(candidate: Candidate) -> bool:
    """Return whether the replica can run one more request at once."""
    return candidate.load < candidate.replica.slots * MAX_REQUESTS_PER_SLOT
