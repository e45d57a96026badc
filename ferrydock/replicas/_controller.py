"""The controller of a hall's replicas: what it sees, what it decides, what it sets going."""

import asyncio
import logging
import uuid
from collections.abc import Callable, Coroutine, Iterable

from ..clock import Clock
from ..configuration import CurrentConfiguration, EngineSpec, ModelSpec
from ..hall import ControllerLease
from ..logs import log_event
from ..reports import RouteMetrics
from ..store import Store
from ..targets import OrderDone, StageOrder, Target, TargetDirectory
from ._forming import PlannedReplica, dissolve, form
from ._hall_state import HallState
from ._health import HealthResult, ReplicaHealthCheck, Verdict
from ._observed import ObservedReplica, observed_replicas
from ._order_sender import OrderSender
from ._plan import Formation
from ._planning import HallPlanner
from ._record import PlacementRecord

__all__ = ["ReplicaController"]

_LOG = logging.getLogger("ferrydock.replicas")
STAGE_WITHIN_S = 2.0


class ReplicaController:
    """Forms, repairs and dissolves the replicas of one hall.

    Parameters
    ----------
    hall : str
        Whose workers.
    lease : ControllerLease
        Only its holder acts.
    halls : int
        How many halls share the bound on loads.

    Notes
    -----
    Each plan is written to the hall's placement record first; the revision of that write is the
    epoch of the replicas planned by it.
    """

    def __init__(
        self,
        hall: str,
        halls: int,
        lease: ControllerLease,
        store: Store,
        current: CurrentConfiguration,
        directory: TargetDirectory,
        order_sender: OrderSender,
        clock: Clock,
        load_window_s: float,
        load_overshoot: float,
        on_broken: Callable[[tuple[str, int]], None],
        metrics: RouteMetrics | None = None,
    ):
        self.metrics = metrics or RouteMetrics()
        self.hall = hall
        self.lease = lease
        self.current = current
        self.directory = directory
        self.order_sender = order_sender
        self.clock = clock
        self.on_broken = on_broken
        self.record = PlacementRecord(store, hall, lease.holder)
        self.state = HallState(clock)
        self.planner = HallPlanner(
            self.state, directory, clock, halls, load_window_s, load_overshoot
        )
        self.health_check = ReplicaHealthCheck(
            self.state, order_sender, directory, clock, self._spawn
        )
        self._tasks: set[asyncio.Task] = set()
        self._lost: set[tuple[str, int]] = set()

    def suspect(self, target_ids: Iterable[str], reason: str) -> None:
        """Hold targets for dead until their source or time says otherwise."""
        self.state.suspect(target_ids, reason)

    # One round ------------------------------------------------------------------------------

    async def step(self) -> None:
        """Look at the hall's workers, and set going what is missing."""
        lookup = self.current.lookup
        if lookup is None or not self.directory.loaded or not self.lease.valid:
            return
        if not await self.record.read():
            return
        for service in lookup.configuration.services.values():
            if service.engine is not None:
                await self._step_service(service.name, service.engine)

    async def _step_service(self, service: str, engine: EngineSpec) -> None:
        now_s = self.clock.now_s()
        workers = [
            target
            for target in self.directory.targets.values()
            if target.service == service and target.hall == self.hall
        ]
        self.state.forget(workers)
        members = [w for w in workers if w.membership is not None and not self.state.has_left(w)]
        seen = observed_replicas(members)
        replicas = [replica for replica in seen if self._tend(replica, engine, now_s)]
        self.health_check.forget_others({replica.key for replica in seen})
        plans = self.planner.formations(service, workers, replicas, engine, now_s)
        if plans:
            await self._begin(plans)
        for worker, model in self.planner.stagings(workers, replicas, engine, now_s):
            self._stage(worker, model, now_s)

    def _tend(self, replica: ObservedReplica, engine: EngineSpec, now_s: float) -> bool:
        """Do what a replica needs; return whether it is there to stay."""
        tended = self.health_check.judge(replica, engine, now_s)
        match tended.verdict:
            case Verdict.ADOPT:
                self._adopt(replica, engine.model(replica.model))
            case Verdict.GIVE_UP:
                self._give_up(replica, tended)
            case Verdict.ALL_DEAD:
                self._note_lost(replica)
        return tended.verdict in (Verdict.STAYS, Verdict.ADOPT)

    # Replicas that are there ------------------------------------------------------------------

    def _give_up(self, replica: ObservedReplica, tended: HealthResult) -> None:
        """Dissolve a replica that cannot serve any more."""
        self._log_given_up(replica, tended.why, tended.dead)
        cut = tended.why != "leaving"
        if cut:
            self.on_broken(replica.key)
            self.state.freeing[replica.members[0].domain] += 1
        self._spawn(self._dissolve(replica, set(tended.dead), cut))

    def _note_lost(self, replica: ObservedReplica) -> None:
        """Say once that all members of a replica are gone: there is nothing to dissolve."""
        if replica.key not in self._lost:
            self._lost.add(replica.key)
            self._log_given_up(replica, "all_dead", ())
            self.on_broken(replica.key)

    def _log_given_up(self, replica: ObservedReplica, why: str, dead: tuple[str, ...]) -> None:
        log_event(
            _LOG,
            logging.WARNING,
            "replica_given_up",
            replica=replica.name,
            epoch=replica.epoch,
            model=replica.model,
            why=why,
            members=",".join(t.target_id for t in replica.members),
            dead=",".join(dead) or None,
        )
        self.metrics.repairs.labels(why).inc()

    def _adopt(self, replica: ObservedReplica, model: ModelSpec) -> None:
        """Go on with a replica that another controller had begun."""
        members = tuple(replica.members)
        plan = PlannedReplica(
            replica.name, replica.epoch, Formation(model, members, 0, model.load_s)
        )
        self.state.forming[replica.key] = plan
        self.state.busy.update(plan.member_ids)
        log_event(_LOG, logging.INFO, "replica_adopted", replica=replica.name, epoch=replica.epoch)
        self._spawn(self._form(plan, joined=True))

    async def _dissolve(self, replica: ObservedReplica, dead: set[str], cut: bool) -> None:
        members = tuple(t for t in replica.members if t.target_id not in dead)
        ids = {target.target_id for target in members}
        domain = replica.members[0].domain
        self.state.busy |= ids
        try:
            left = await dissolve(
                replica.name,
                replica.epoch,
                members,
                self.order_sender,
                self.directory,
                self.clock,
                cut,
            )
            self.state.note_left(left, replica.key)
        finally:
            self.state.busy -= ids
            if cut:
                self.state.freeing[domain] -= 1

    # Replicas that are missing ----------------------------------------------------------------

    async def _begin(self, formations: list[Formation]) -> None:
        """Write the plans to the record, and form them under the revision of that write."""
        plans = {f"g{uuid.uuid4().hex[:8]}": formation for formation in formations}
        epoch = await self.record.write(plans)
        if epoch is None or not self.lease.valid:
            return
        for name, formation in plans.items():
            self.planner.loads.begin(formation.loads, self.clock.now_s())
            plan = PlannedReplica(name, epoch, formation)
            self.state.forming[(name, epoch)] = plan
            self.state.busy.update(plan.member_ids)
            self._spawn(self._form(plan))

    async def _form(self, plan: PlannedReplica, joined: bool = False) -> None:
        began_s = self.clock.now_s()
        try:
            end = await form(plan, self.order_sender, self.directory, self.clock, joined)
            took_s = self.clock.now_s() - began_s
            self.metrics.forming.labels("failed" if end.why else "open").observe(took_s)
            self.state.note_left(end.left, (plan.name, plan.epoch))
            for member_id in plan.member_ids:
                if member_id in end.why:
                    self.state.pause(member_id)
        finally:
            self.state.forming.pop((plan.name, plan.epoch), None)
            self.state.busy.difference_update(plan.member_ids)

    def _stage(self, worker: Target, model: ModelSpec, now_s: float) -> None:
        """Load weights to the host of an idle worker."""
        self.planner.loads.begin(1, now_s)
        self.state.staging.begin(worker.target_id, model.name, model.load_s, now_s)
        self._spawn(self._stage_one(worker, model.name))

    async def _stage_one(self, worker: Target, model: str) -> None:
        answer = await self.order_sender.give(worker, StageOrder(model), STAGE_WITHIN_S)
        if not isinstance(answer, OrderDone):
            self.state.staging.forget(worker.target_id)
            self.state.pause(worker.target_id)

    # Tasks ------------------------------------------------------------------------------------

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_end)

    def _on_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(_LOG, logging.ERROR, "control_failed", why=repr(task.exception()))

    def stand_down(self) -> None:
        """Stop what is under way: the lease is gone."""
        for task in list(self._tasks):
            task.cancel()
        self.record.forget()
        self.state.clear()
        self._lost.clear()

    @property
    def is_acting(self) -> bool:
        """Whether it controls, and replicas are being formed or dissolved."""
        return self.lease.valid and bool(self._tasks)
