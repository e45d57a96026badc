"""The controller of a hall's replicas: in each round it checks, decides and starts tasks.

Acts only while its daemon leads the hall. Owns the running tasks, in memory: a new leader finds
the replicas in the target list and plans under a higher epoch.
"""

import asyncio
import logging
import uuid
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import replace

from ..clock import Clock
from ..configuration import CurrentConfiguration, EngineSpec, ServiceSpec
from ..hall_lease import ControllerLease
from ..invariants import require
from ..logs import log_event
from ..route_metrics import RouteMetrics
from ..store import Store
from ..targets import ReplicaState, Target, TargetDirectory
from ._forming import FormingResult, PlannedReplica, ReplicaFormer
from ._hall_state import HallState
from ._health import DissolveReason, HealthResult, ReplicaHealthCheck, Verdict
from ._model_changes import ChangeWay, ModelChanges, choose_way
from ._observed import ObservedReplica, observed_replicas
from ._operations import RunningOperations
from ._order_sender import OrderSender
from ._plan import Formation
from ._planning import ControllerSettings, HallPlan, HallPlanner
from ._record import PlacementRecord
from ._site_plan import GivenReplica
from ._site_planner import follows_site_plan
from ._spares import may_release
from ._staging import slowdown
from ._turn_over import Reassignment
from ._weight_loads import WeightLoads

__all__ = ["ControllerSettings", "ReplicaController"]

_LOG = logging.getLogger("ferrydock.replicas")

SURPLUS = HealthResult(Verdict.DISSOLVE, DissolveReason.SURPLUS)

# Interval between two evaluations of the demand, whose average decays over 5 s.
DEMAND_CHECK_INTERVAL_S = 0.5

# How long a new leader waits for a list that is not older than its lease before it logs that. The
# list is requested when the lease is acquired.
LIST_AWAITED_ALARM_S = 2.0

# Hexadecimal digits in the name of a replica: enough to keep the names in a hall distinct.
REPLICA_NAME_DIGITS = 8


class ReplicaController:
    """Forms, repairs and dissolves the replicas of one hall.

    Parameters
    ----------
    settings : ControllerSettings
        Hall and bounds on weight loads.
    lease : ControllerLease
        The controller acts only while its daemon holds this lease.
    store : Store
        Stores the hall's placement record.
    current : CurrentConfiguration
        Services, their models, and the models' load and warm-up times.
    order_sender : OrderSender
        Sends orders to targets; gives access to the target directory and the clock.
    on_broken : callable
        Called with name and epoch of a replica whose requests in flight are lost.
    demand : callable, optional
        Returns, for a service, the slots that requests for each model fill on the whole site; empty
        before demand has been observed.
    refused_slots : callable, optional
        Returns, for a service, the slots that refused requests for each model lacked on the site.
    is_hall_open : callable, optional
        Returns whether a hall may be used; by default all halls may.
    remote_changes : callable, optional
        Returns the replicas of other halls that are given to another model, and that model.
    in_flight : callable, optional
        Returns the number of requests in flight at a target; by default 0.
    on_members_silent : callable, optional
        Called with name and epoch of a replica of which a member without an entry did not report.

    Attributes
    ----------
    plans : dict of str to HallPlan
        What the hall should hold, by service; empty while the daemon does not lead the hall.

    Notes
    -----
    Each plan is written to the hall's placement record first; the rank of that write's position is
    the epoch of the replicas planned by it.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        lease: ControllerLease,
        store: Store,
        current: CurrentConfiguration,
        order_sender: OrderSender,
        on_broken: Callable[[tuple[str, int]], None],
        metrics: RouteMetrics | None = None,
        demand: Callable[[str], Mapping[str, float]] = lambda service: {},
        refused_slots: Callable[[str], Mapping[str, float]] = lambda service: {},
        is_hall_open: Callable[[str], bool] = lambda hall: True,
        remote_changes: Callable[[], Mapping[tuple[str, int], str]] = dict,
        in_flight: Callable[[str], int] = lambda target_id: 0,
        on_members_silent: Callable[[tuple[str, int]], None] = lambda key: None,
    ):
        self.hall = settings.hall
        self.follows_site_plan = settings.follows_site_plan
        self.lease = lease
        self.current = current
        self.order_sender = order_sender
        self.directory: TargetDirectory = order_sender.directory
        self.clock: Clock = order_sender.clock
        self.on_broken = on_broken
        self.on_members_silent = on_members_silent
        self.in_flight = in_flight
        self.metrics = metrics or RouteMetrics()
        self.record = PlacementRecord(store, self.hall, lease.holder)
        self.state = HallState(self.clock, self.directory)
        self.planner = HallPlanner(
            self.state,
            self.directory,
            self.clock,
            settings,
            demand,
            refused_slots,
            is_hall_open,
            lambda service: self.record.demand.get(service, {}),
            remote_changes,
            self._are_loads_counted,
        )
        self.health_check = ReplicaHealthCheck(
            self.state,
            order_sender,
            self._spawn,
            self._may_have_requests,
            lambda key: self.on_members_silent(key),
        )
        self.former = ReplicaFormer(order_sender)
        self.loads = WeightLoads(self.state, self.planner.loads, order_sender, self._spawn)
        self.changes = ModelChanges(self.state, self.planner.is_short, self.loads.adopt)
        self._tasks: set[asyncio.Task] = set()
        self._reported_all_dead: set[tuple[str, int]] = set()
        self.plans: dict[str, HallPlan] = {}
        self._demand_checked_s = -DEMAND_CHECK_INTERVAL_S
        # Local time of the first round of the term; None before it.
        self._term_began_s: float | None = None

    @property
    def is_acting(self) -> bool:
        """Whether the daemon leads the hall and controller tasks are running."""
        return self.lease.is_valid and bool(self._tasks)

    def mark_suspected(
        self, target_ids: Iterable[str], reason: str, is_reached: bool = False
    ) -> None:
        """Suspect targets, which did not answer a request for a report, for `SUSPICION_S`.

        If they are reached, their hosts accepted the connection.
        """
        self.state.unused.suspect(target_ids, reason, is_reached)

    def mark_lost(self, target_ids: Iterable[str], reason: str) -> None:
        """Suspect targets that were silent for too long, or that refuse connections."""
        self.state.unused.suspect(target_ids, reason, is_lost=True)

    def end_suspicion(self, target_ids: Iterable[str]) -> None:
        """Stop suspecting targets that answer again."""
        self.state.unused.end_suspicion(target_ids)

    def step_down(self) -> None:
        """Cancel all tasks and clear the state, after the lease was lost or released."""
        for task in list(self._tasks):
            task.cancel()
        self.record.reset()
        self.changes.clear()
        self.health_check.reset()
        self.state.clear()
        self.planner.reset()
        self._reported_all_dead.clear()
        self.plans.clear()
        self.loads.reset()
        self._term_began_s = None

    # One round --------------------------------------------------------------------------------

    async def step(self) -> None:
        """Check the hall's targets and replicas once, and start the tasks that are due."""
        if self.current.lookup is None or not self.directory.loaded or not self.lease.is_valid:
            return
        if not self._is_list_current():
            self._note_list_awaited()
            return
        if not await self.record.read():
            return
        now_s = self.clock.now_s()
        if self._term_began_s is None:
            self._term_began_s = now_s
            self.planner.loads.close_for_window(now_s)
        is_demand_due = now_s - self._demand_checked_s >= DEMAND_CHECK_INTERVAL_S
        if is_demand_due:
            self._demand_checked_s = now_s
        for service in self.current.engine_services():
            await self._step_service(service.name, self._engine(service), is_demand_due)

    def _is_list_current(self) -> bool:
        """Return whether the target list contains all that was written before this term.

        An older one shows targets as free that the leaders before have formed into replicas.
        """
        held = self.lease.held
        if held is None or self.directory.is_provisional:
            return False
        return self.directory.position >= held.created

    def _note_list_awaited(self) -> None:
        """Log once in a term that it has waited for a list for too long."""
        now_s = self.clock.now_s()
        if self.state.list_awaited_since_s is None:
            self.state.list_awaited_since_s = now_s
        if now_s - self.state.list_awaited_since_s < LIST_AWAITED_ALARM_S:
            return
        self.state.list_awaited_since_s = float("inf")
        log_event(
            _LOG,
            logging.WARNING,
            "list_older_than_lease",
            hall=self.hall,
            list_position=self.directory.position.rank(),
            provisional=self.directory.is_provisional,
        )

    def _engine(self, service: ServiceSpec) -> EngineSpec:
        """Return the engine of a service; without its parallel loads if no site plan applies.

        Without that figure, loads, spares and reassignments follow the rules of the hall alone.
        """
        engine = require(service.engine, "the engine")
        return engine if self.follows_site_plan else replace(engine, loads_at_once=0)

    async def _step_service(self, service: str, engine: EngineSpec, is_demand_due: bool) -> None:
        if not self.lease.is_valid:
            return  # it has ended during a write for another service
        members = self.directory.possible_members(service)
        targets = [target for target in members if target.hall == self.hall]
        self.state.prune(self.directory.targets)
        self.loads.follow(service, targets, engine)
        departures = self.state.departures
        joined = [t for t in targets if t.membership is not None and not departures.has_left(t)]
        observed = observed_replicas(joined)
        self.health_check.begin_round(observed)
        staying = [replica for replica in observed if self._handle_replica(replica, engine)]
        self.health_check.end_round(service, {replica.key for replica in observed})
        self._follow_changes(service, staying, engine)
        if is_demand_due:
            self._follow_demand(service, targets, staying, engine)
            self._follow_shortages(service, staying, engine)
        formations = self.planner.formations(service, targets, staying, engine)
        if formations:
            await self._begin_forming(service, formations, engine)
            if not self.lease.is_valid:
                return  # it has ended during the write
        for target, model in self.planner.stagings(service, targets, staying, engine):
            self.loads.begin(target, model, engine)
        for target, model in self.changes.loads(service, self.planner.loads_left(engine)):
            self.loads.begin(target, model, engine)

    def _note_plan(self, service: str, targets: list[Target], engine: EngineSpec) -> None:
        """Store the plan for the metrics, and log it when the weights change."""
        before = self.plans.get(service)
        plan = self.plans[service] = self.planner.plan(service, targets, engine)
        if before is not None and (
            before.weights == plan.weights and before.site_replicas == plan.site_replicas
        ):
            return
        log_event(
            _LOG,
            logging.INFO,
            "plan_changed",
            hall=self.hall,
            service=service,
            slots_wanted=_by_model(plan.slots_wanted) or "not_observed",
            weights=_by_model(plan.weights),
            replicas_planned=_by_model(plan.replicas),
            site_replicas_planned=_by_model(plan.site_replicas) or None,
            given=_given(plan.given) or None,
        )

    def _follow_changes(
        self, service: str, staying: list[ObservedReplica], engine: EngineSpec
    ) -> None:
        """Dissolve replicas whose members hold the other model; end cancelled changes."""
        changing = set(self.state.changing)
        complete = self.changes.follow(service, staying, engine)
        for change in complete:
            self._begin_reassignment(change, service)
            staying.remove(change.replica)
        for key in changing - set(self.state.changing) - {c.replica.key for c in complete}:
            self.planner.end_change(service, key)

    def _follow_demand(
        self,
        service: str,
        targets: list[Target],
        staying: list[ObservedReplica],
        engine: EngineSpec,
    ) -> None:
        """Give replicas to models that need their targets; remove those dissolved from `staying`.

        All reassignments that the planner returns are carried out in parallel. One for which no
        load may begin now is withdrawn, so that the planner decides anew.
        """
        for found in self.planner.reassignments(service, targets, staying, engine):
            if self._way_of(found, engine) is ChangeWay.DISSOLVE:
                self._begin_reassignment(found, service)
                staying.remove(found.replica)
            elif not self.changes.begin(service, found, self.planner.loads_left(engine)):
                self.planner.withdraw(service, found.replica.key)
        self._note_plan(service, targets, engine)

    def _way_of(self, found: Reassignment, engine: EngineSpec) -> ChangeWay:
        """Return how a reassignment is carried out.

        Members whose entries show the weights as staged may still be loading them, by an order of
        an earlier leader. They are asked first, and the replica is dissolved when they answer.
        """
        holds_model = [member.last_model == found.model.name for member in found.replica.members]
        return choose_way(holds_model, engine)

    def _follow_shortages(
        self, service: str, staying: list[ObservedReplica], engine: EngineSpec
    ) -> None:
        """Let spares serve models that are short; dissolve what they formed when it is over.

        One replica is dissolved at a time, so that the next evaluation of the demand sees its
        effect.
        """
        now_s = self.clock.now_s()
        spares = self.state.spares
        spares.update(service, engine, lambda name: self.planner.is_short(service, name), now_s)
        open_keys = {replica.key: replica for replica in staying if replica.is_open}
        spares.prune(service, open_keys.keys() | self.state.forming.keys())
        on_site = Counter(replica.model for replica in self.directory.replicas(service))
        wanted = self.planner.demand(service)
        for model, count in on_site.items():
            if not may_release(wanted.get(model, 0.0), count, engine.slots):
                spares.note_needed(service, model, now_s)
        for key in spares.to_release(service, engine, now_s):
            replica = open_keys.get(key)
            if replica is not None and key not in self.state.changing:
                log_event(_LOG, logging.INFO, "spares_released", **_identity(replica))
                self._begin_dissolving(replica, SURPLUS)
                staying.remove(replica)
                return

    def _note_spares_used(self, service: str, plan: PlannedReplica) -> None:
        """Record and log a replica that is formed from spares for a model that is short."""
        model = plan.formation.model.name
        self.state.spares.note_formed(service, plan.key, model)
        log_event(
            _LOG, logging.INFO, "spares_serve", replica=plan.name, epoch=plan.epoch, model=model
        )

    def _may_have_requests(self, head: Target) -> bool:
        """Return whether requests may be in flight at a head.

        The counts of a new leader begin empty, and a daemon reports its requests only when one
        begins or ends. Until all requests that are older than the term must have ended, each head
        may have some.
        """
        if self._term_began_s is None:
            return True
        led_s = self.clock.now_s() - self._term_began_s
        has_uncounted = led_s < self.current.longest_request_s(head.service)
        return has_uncounted or self.in_flight(head.target_id) > 0

    def _handle_replica(self, replica: ObservedReplica, engine: EngineSpec) -> bool:
        """Act on the health of a replica; return whether it is kept."""
        result = self.health_check.evaluate(replica, engine)
        match result.verdict:
            case Verdict.ADOPT:
                return self._adopt(replica, engine)
            case Verdict.DISSOLVE:
                self._begin_dissolving(replica, result)
            case Verdict.ALL_DEAD:
                self._note_all_dead(replica)
        return result.verdict is Verdict.STAYS

    # Existing replicas ------------------------------------------------------------------------

    def _begin_dissolving(self, replica: ObservedReplica, result: HealthResult) -> None:
        """Start to dissolve a replica.

        A complete replica finishes its requests first: one with a leaving member, one whose head
        has no entry but still reports, or one whose model has a surplus. The requests of any other
        replica are cut.
        """
        self._log_removal(replica, result)
        replica = replica.with_members(result.missing).without(result.dead)
        cut = result.reason not in (DissolveReason.LEAVING, DissolveReason.SURPLUS)
        if cut:
            self.on_broken(replica.key)
        self.state.operations.begin_dissolving(replica, cut)
        self._spawn(self._dissolve(replica, cut, self.state.operations))

    def _begin_reassignment(self, found: Reassignment, service: str) -> None:
        """Start to dissolve a surplus replica, so that its targets can serve another model."""
        log_event(
            _LOG,
            logging.INFO,
            "replica_turned_over",
            replica=found.replica.name,
            epoch=found.replica.epoch,
            model=found.replica.model,
            to_model=found.model.name,
            slots_wanted=_by_model(self.planner.demand(service)),
        )
        self._begin_dissolving(found.replica, SURPLUS)

    def _note_all_dead(self, replica: ObservedReplica) -> None:
        """Report once that all members of a replica are dead; no order is sent to them."""
        if replica.key not in self._reported_all_dead:
            self._reported_all_dead.add(replica.key)
            self._log_removal(replica, HealthResult(Verdict.ALL_DEAD, DissolveReason.ALL_DEAD))
            self.on_broken(replica.key)

    def _log_removal(self, replica: ObservedReplica, result: HealthResult) -> None:
        log_event(
            _LOG,
            logging.WARNING,
            "replica_given_up",
            replica=replica.name,
            epoch=replica.epoch,
            model=replica.model,
            why=result.reason,
            members=",".join(t.target_id for t in replica.members),
            dead=",".join(result.dead) or None,
        )
        self.metrics.repairs.labels(str(result.reason)).inc()

    def _adopt(self, replica: ObservedReplica, engine: EngineSpec) -> bool:
        """Wait for the members of a replica that another leader began to form, to form it anew.

        Returns False, and dissolves the replica, if its model is not configured.
        """
        model = engine.model(replica.model)
        if model is None:
            self._begin_dissolving(replica, HealthResult(Verdict.DISSOLVE, DissolveReason.ORPHANED))
            return False
        members = tuple(replica.members)
        joining = sum(
            target.membership is not None and target.membership.state is ReplicaState.JOINING
            for target in self.directory.possible_members(replica.service)
        )
        ready_s = model.load_s * slowdown(joining, engine.loads_at_once)
        formation = Formation(model, members, 0, ready_s)
        plan = PlannedReplica(replica.name, replica.epoch, formation)
        self.state.operations.begin_forming(plan)
        log_event(_LOG, logging.INFO, "replica_adopted", replica=replica.name, epoch=replica.epoch)
        self._spawn(self._free_adopted(plan, self.state.operations))
        return True

    async def _dissolve(
        self, replica: ObservedReplica, cut: bool, operations: RunningOperations
    ) -> None:
        try:
            finish_within_s = None if cut else self.current.longest_request_s(replica.service)
            members = tuple(replica.members)
            left = await self.former.dissolve(replica.key, members, finish_within_s)
            self.state.departures.note(left, replica.key, self.clock.now_s())
        finally:
            operations.end_dissolving(replica, cut)

    # Missing replicas -------------------------------------------------------------------------

    async def _begin_forming(
        self, service: str, formations: list[Formation], engine: EngineSpec
    ) -> None:
        """Write the plans to the placement record, and form them under the epoch of that write.

        Members of a hall's first replicas load weights as they join, all at the same time and in
        all halls: the time until they are ready includes that they slow each other down.
        """
        loads = sum(formation.loads for formation in formations) * self.planner.settings.halls
        formations = [
            replace(formation, ready_s=formation.ready_s * slowdown(loads, engine.loads_at_once))
            if formation.loads
            else formation
            for formation in formations
        ]
        plans = {
            f"g{uuid.uuid4().hex[:REPLICA_NAME_DIGITS]}": formation for formation in formations
        }
        epoch = await self.record.write(plans, self._demand_to_record())
        if epoch is None or not self.lease.is_valid:
            return
        self._log_plans(epoch, plans)
        for name, formation in plans.items():
            self.planner.loads.begin(formation.loads, self.clock.now_s())
            plan = PlannedReplica(name, epoch, formation)
            self.state.operations.begin_forming(plan)
            if formation.is_extra:
                self._note_spares_used(service, plan)
            self._spawn(self._form(plan, self.state.operations))

    def _are_loads_counted(self) -> bool:
        """Return whether the platform may count loads: not before a site's first requests.

        They have begun if demand is observed; or if a replica is open on the site although an
        earlier leader has already planned this hall, whose targets then have all been replaced, or
        whose entries are older than its loads. At the start of a site, the hall has no record yet.
        After a total loss no replica is open, and the demand in the record is of unknown age.
        """
        names = [service.name for service in self.current.engine_services()]
        if any(self.planner.demand(name) for name in names):
            return True
        return self.record.was_planned and any(self.directory.replicas(name) for name in names)

    def _log_plans(self, epoch: int, plans: Mapping[str, Formation]) -> None:
        """Log from which list, and under which lease, replicas are planned."""
        held = require(self.lease.held, "the lease under which replicas are planned")
        log_event(
            _LOG,
            logging.INFO,
            "replicas_planned",
            hall=self.hall,
            epoch=epoch,
            term=held.term,
            list_position=self.directory.position.rank(),
            list_age_s=round(self.directory.age_s(self.clock.now_s()), 3),
            members=";".join(
                f"{name}:{','.join(member.target_id for member in formation.members)}"
                for name, formation in plans.items()
            ),
        )

    def _demand_to_record(self) -> dict[str, Mapping[str, float]]:
        """Return the demand that a new leader begins with, by service and model."""
        services = [
            service.name
            for service in self.current.engine_services()
            if follows_site_plan(self._engine(service))
        ]
        known = {name: self.planner.site.observations.known_demand(name) for name in services}
        return {name: demand for name, demand in known.items() if demand}

    async def _form(self, plan: PlannedReplica, operations: RunningOperations) -> None:
        began_s = self.clock.now_s()
        try:
            result = await self.former.form(plan)
            took_s = self.clock.now_s() - began_s
            self.metrics.forming.labels("failed" if result.failure else "open").observe(took_s)
            self._note_result(plan, result)
        finally:
            operations.end_forming(plan)

    async def _free_adopted(self, plan: PlannedReplica, operations: RunningOperations) -> None:
        try:
            self._note_result(plan, await self.former.free_adopted(plan))
        finally:
            operations.end_forming(plan)

    def _note_result(self, plan: PlannedReplica, result: FormingResult) -> None:
        """Record which members have left, and those that an order to has failed."""
        for member_id in plan.member_ids:
            if member_id in result.failure:
                self.state.unused.pause(member_id)
                self.state.departures.discard(member_id)
        self.state.departures.note(result.left_ids, plan.key, self.clock.now_s())

    # Tasks ------------------------------------------------------------------------------------

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_end)

    def _on_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(_LOG, logging.ERROR, "control_failed", why=repr(task.exception()))


def _identity(replica: ObservedReplica) -> dict[str, str | int]:
    """Return the fields of a log line that identify a replica."""
    return {"replica": replica.name, "epoch": replica.epoch, "model": replica.model}


def _by_model(numbers: Mapping[str, float]) -> str:
    return ",".join(f"{model}={number:.3g}" for model, number in sorted(numbers.items()))


def _given(replicas: Iterable[GivenReplica]) -> str:
    return ",".join(f"{r.hall}/{r.key[0]}:{r.model}>{r.to_model}" for r in replicas)
