"""A whole daemon that serves routes."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ..configuration import LEADER_MAX_AGE_S, CurrentConfiguration, max_keyed_age_s
from ..forwarding import (
    AttemptRunner,
    Forwarder,
    HallEndpointSelector,
    RouteGateway,
    StallDetector,
    TargetLoads,
    Upstream,
)
from ..hall import ControllerLease
from ..logs import BoundedHandler, log_event
from ..outcomes import Invalid
from ..relay import BrokenReplicas, DaemonCounter, RelayClient, RelayServer
from ..replicas import OrderSender, ReplicaController
from ..reports import RouteMetrics
from ..requests import RetryBudget
from ..scheduling import (
    EndpointCatalog,
    HallScheduler,
    InFlightCounts,
    RemoteHallPoller,
    SchedulerClient,
    scheduler_methods,
)
from ..targets import TargetDirectory
from ._deployment import Deployment
from ._leadership import OwnHallLeadership, RemoteHallLeadership
from ._status_listener import StatusListener
from ._store_follower import StoreFollower

__all__ = ["RouteDaemon"]

_LOG = logging.getLogger("ferrydock.route_daemon")
READY_GONE_S = 3.2
STOP_MARGIN_S = 0.8
RATIO_PART = 0.8
SLACK_PART = 0.8
START_PART = 0.25
TIDY_S = 1.0
STALL_LOOK_S = 0.05
PACE_S = 0.1
ELSEWHERE_S = 0.15
METRICS_PATH = "/metrics"
GATHER_CONTROLLER_S = 0.2
GATHER_S = 0.4


class RouteDaemon:
    """Composes the parts of a daemon and drives its loops.

    Parameters
    ----------
    deployment : Deployment
        The world around.
    clock : Clock
        For all decisions.
    """

    def __init__(self, deployment: Deployment, clock: Clock):
        self.deployment = deployment
        self.settings = deployment.settings
        self.clock = clock
        self.rng = random.Random()
        self.failed = asyncio.Event()
        self.current = CurrentConfiguration()
        self.directory = TargetDirectory()
        self.catalog = EndpointCatalog(self.directory)
        self.loads = TargetLoads()
        self.daemon_counter = DaemonCounter()
        self.selector = HallEndpointSelector(
            self.catalog, self.loads, self.settings.hall, clock, self.rng, self._daemons
        )
        self.upstream = Upstream()
        self.metrics = RouteMetrics()
        self._budgets: dict[str, RetryBudget] = {}
        attempts = AttemptRunner(
            self.selector, self.upstream, self.loads, deployment.dialect, clock, self.metrics
        )
        self.forwarder = Forwarder(attempts, self._budget, clock)
        self.gateway = RouteGateway(
            self.current, self.forwarder, deployment.dialect, self._freshness_s, clock, self.rng
        )
        self.order_sender = OrderSender(deployment.control, self.directory, clock)
        self.stalls = StallDetector(attempts, deployment.control, clock)
        self.stalls.listener = self
        self.broken = BrokenReplicas(self._on_told_broken)
        self.relay_server = RelayServer(
            self.current, self.directory, self._reads_store, clock, self.broken, self.daemon_counter
        )
        decode = deployment.configuration_source.decode
        self.relay_client = RelayClient(
            self.current,
            self.directory,
            decode,
            clock,
            self.broken,
            self.daemon_counter,
            self.settings.name,
        )
        self.controllers = [self._controller(hall) for hall in self.settings.halls]
        self.leaderships = [self._seat(controller) for controller in self.controllers]
        own = self.settings.halls.index(self.settings.hall)
        self.leadership: OwnHallLeadership = self.leaderships[own]
        self.follower = StoreFollower(
            deployment,
            self.current,
            self.directory,
            self.leadership,
            clock,
            self.rng,
            self.selector.assign_free_slots,
        )
        self.counts = InFlightCounts(self.rng.getrandbits(40))
        self.scheduler = HallScheduler(
            self.catalog,
            self.counts,
            self.settings.hall,
            self.current.service,
            clock,
            self.rng,
        )
        self.selector.scheduler = SchedulerClient(
            self.settings.name,
            self.scheduler,
            lambda: self.leadership.leader_address,
            self.settings.peer_address,
            self.loads.running,
            clock,
        )
        self.elsewhere = RemoteHallPoller(self.counts, self._other_leaders, clock)
        self.ready_listener = StatusListener(self._answer_ready)
        self.metrics_listener = StatusListener(self._answer_metrics)
        self.stopping = False
        self._tasks: list[asyncio.Task] = []
        self._seen_change = 0

    def _controller(self, hall: str) -> ReplicaController:
        settings, store = self.settings, self.deployment.store
        return ReplicaController(
            hall,
            len(settings.halls),
            ControllerLease(store, self.clock, hall, settings.name, settings.peer_address),
            store,
            self.current,
            self.directory,
            self.order_sender,
            self.clock,
            settings.load_window_s,
            settings.load_overshoot,
            self.stalls.replica_given_up,
            self.metrics,
        )

    def _seat(self, controller: ReplicaController) -> OwnHallLeadership | RemoteHallLeadership:
        parts = (controller, self.deployment.store, self.clock, self.rng, self._is_stopping)
        if controller.hall == self.settings.hall:
            return OwnHallLeadership(*parts, relay=self.relay_client)
        return RemoteHallLeadership(*parts, is_candidate=lambda: self.leadership.lease.valid)

    def _other_leaders(self) -> dict[str, str]:
        """Return the addresses of the other halls' dispatchers, as far as they are known."""
        return {
            leadership.controller.hall: leadership.leader_address
            for leadership in self.leaderships
            if leadership is not self.leadership and leadership.leader_address
        }

    async def _hear_elsewhere(self) -> None:
        """Learn, as this hall's scheduler, what other halls have at its targets."""
        self.counts.forget_silent(self.clock.now_s())
        if self.leadership.is_leader:
            await self.elsewhere.step()
            self.scheduler.assign_free_slots()

    def _reads_store(self) -> bool:
        """Whether this daemon is the one of its hall that reads the store, and can."""
        age_s = self.current.age_s(self.clock.now_s())
        return self.leadership.lease.valid and age_s < LEADER_MAX_AGE_S

    def _on_told_broken(self, key: tuple[str, int]) -> None:
        """Take another daemon's word that a replica is broken.

        A follower takes its controller's word. The controller asks the members itself: whoever
        told it may be cut off from them.
        """
        if not self.leadership.lease.valid:
            self.stalls.break_replica(key, "told")
            return
        for service in self._engine_services():
            for replica in self.directory.replicas(service):
                if replica.key == key:
                    self.stalls.check_reported(replica)

    def replica_broken(self, key: tuple[str, int]) -> None:
        """Report a replica that this daemon found broken to its peers."""
        self.broken.note(key, self.clock.now_s())

    def targets_dead(self, target_ids: list[str], reason: str) -> None:
        for target_id in target_ids:
            target = self.directory.targets.get(target_id)
            for controller in self.controllers:
                if target is not None and target.hall == controller.hall:
                    controller.suspect([target_id], reason)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            part = self._slack_part()
            budget = RetryBudget(self.settings.retry_ratio * RATIO_PART, part, part * START_PART)
            self._budgets[service] = budget
        return budget

    def _daemons(self) -> int:
        """Return how many daemons the site has, if all halls are as large as this one."""
        return len(self.settings.halls) * self.daemon_counter.daemons(self.clock.now_s())

    def _slack_part(self) -> float:
        """Return this daemon's part of the slack in retries, which all daemons share.

        Each hall has the same part of it, and its daemons share that.
        """
        return self.settings.retry_slack * SLACK_PART / self._daemons()

    def _freshness_s(self) -> float:
        return max_keyed_age_s(self.settings.freshness_s)

    # Life -----------------------------------------------------------------------------------

    async def start(self) -> None:
        """Listen, and begin all loops."""
        await self.ready_listener.start(self.settings.ready_listen)
        await self.metrics_listener.start(self.settings.metrics_listen)
        await self.gateway.start(self.settings.listen)
        self._spawn(self.follower.follow_configuration())
        self._spawn(self.follower.follow_targets())
        self._spawn(self._every(TIDY_S, self._tidy))
        self._spawn(self._every(STALL_LOOK_S, self.stalls.step))
        self._spawn(self._every(PACE_S, self._set_pace))
        self._spawn(self._every(PACE_S, self._let_waiting_in))
        self._spawn(self._every(ELSEWHERE_S, self._hear_elsewhere))
        methods = scheduler_methods(self.scheduler)
        await self.relay_server.start(self.settings.peer_address, methods)
        for leadership in self.leaderships:
            self._spawn(leadership.run())
        log_event(
            _LOG,
            logging.INFO,
            "started",
            name=self.settings.name,
            hall=self.settings.hall,
            listen=self.settings.listen,
            store=self.settings.store_address,
        )

    async def stop(self) -> None:
        """Planned stop: the balancer learns first, then nothing in flight is cut off."""
        started_s = self.clock.now_s()
        last_s = started_s + self.settings.stop_within_s - STOP_MARGIN_S
        self.stopping = True
        self.gateway.stopping = True
        log_event(_LOG, logging.INFO, "stopping", in_flight=self.gateway.in_flight)
        await asyncio.sleep(min(READY_GONE_S, max(0.0, last_s - started_s)))
        self.gateway.stop_listening()
        while self.gateway.in_flight and self.clock.now_s() < last_s:
            await asyncio.sleep(0.05)
        log_event(_LOG, logging.INFO, "stopped", in_flight=self.gateway.in_flight)
        await self.close()

    async def close(self) -> None:
        """End at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.gateway.close()
        await self.ready_listener.close()
        await self.metrics_listener.close()
        await self.selector.scheduler.close()
        await self.elsewhere.close()
        await self.relay_client.close()
        await self.relay_server.close()
        await self.upstream.close()
        await self.deployment.control.close()
        await self.deployment.store.close()

    def _spawn(self, coroutine: Awaitable) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._on_end)
        self._tasks.append(task)

    def _on_end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            log_event(_LOG, logging.CRITICAL, "loop_failed", why=repr(error))
            logging.getLogger("ferrydock").error("loop failed", exc_info=error)
            self.failed.set()

    async def _every(self, pause_s: float, step: Callable[[], Awaitable]) -> None:
        while True:
            await asyncio.sleep(pause_s * self.rng.uniform(0.85, 1.15))
            await step()

    def _is_stopping(self) -> bool:
        return self.stopping

    def _answer_ready(self, path: str) -> tuple[int, str]:
        why_not = self._why_not_ready()
        return (503, why_not) if why_not else (200, "ready\n")

    def _answer_metrics(self, path: str) -> tuple[int, str]:
        if path != METRICS_PATH:
            return 404, f"there is only {METRICS_PATH}\n"
        self._set_gauges()
        return 200, self.metrics.text().decode()

    def _set_gauges(self) -> None:
        """Bring up to date what is not counted by events."""
        metrics = self.metrics
        replicas = [
            replica.model
            for service in self._engine_services()
            for replica in self.directory.replicas(service)
        ]
        metrics.set_replicas(replicas)
        metrics.targets.set(len(self.directory.targets))
        metrics.in_flight.set(self.gateway.in_flight)
        metrics.waiting.set(self.selector.waiting)
        metrics.version.set(self.current.version)
        metrics.age.set(self.current.age_s(self.clock.now_s()))
        for service, budget in self._budgets.items():
            metrics.budget_left.labels(service).set(budget.left)
        for result, calls in self.deployment.store_calls.items():
            metrics.store_calls.labels(result).set(calls)
        handlers = [h for h in logging.getLogger().handlers if isinstance(h, BoundedHandler)]
        metrics.log_lines_left_out.set(sum(handler.left_out for handler in handlers))

    def _engine_services(self) -> list[str]:
        if self.current.lookup is None:
            return []
        services = self.current.lookup.configuration.services.values()
        return [service.name for service in services if service.engine is not None]

    def _why_not_ready(self) -> str:
        if self.stopping:
            return "stopping"
        if self.current.lookup is None:
            return "no configuration yet"
        return "" if self.directory.loaded else "no targets yet"

    # Loops ----------------------------------------------------------------------------------

    async def _let_waiting_in(self) -> None:
        """Wake queued requests when the targets have changed."""
        if self.directory.changes != self._seen_change:
            self._seen_change = self.directory.changes
            self.selector.assign_free_slots()

    async def _set_pace(self) -> None:
        """Let a controller at work hear of its targets at once, and others in larger batches."""
        acts = any(controller.is_acting for controller in self.controllers)
        self.deployment.target_source.gather_s = GATHER_CONTROLLER_S if acts else GATHER_S

    async def _tidy(self) -> None:
        listed = self.directory.targets
        busy = {target_id for target_id, load in self.loads.items() if load.running}
        self.upstream.forget_others(listed, busy)
        self.loads.forget_others(listed)
        self.order_sender.forget_others(listed)
        self._share_budgets()
        self.gateway.enforce_timeouts()
        self.reread_settings()

    def _share_budgets(self) -> None:
        """Give each retry budget the part that the hall's number of daemons leaves."""
        now_s = self.clock.now_s()
        if self.leadership.lease.valid:
            self.daemon_counter.receive(self.daemon_counter.count_followers(now_s), now_s)
        part = self._slack_part()
        for budget in self._budgets.values():
            budget.limit(part)

    def reread_settings(self) -> None:
        """Take the settings as they stand now; unreadable ones leave those in force."""
        after = self.deployment.reread()
        if isinstance(after, Invalid):
            log_event(_LOG, logging.ERROR, "settings_unreadable", why=after.reason)
        elif after != self.settings:
            self.settings = after
            log_event(_LOG, logging.INFO, "settings_changed", name=after.name)
