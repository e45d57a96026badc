"""One route daemon: its components, and how it starts and stops.

Owns the components and the order in which they start and stop. Makes no decisions: each rule is
in the package of its component. The state of a daemon is in memory and is lost with its process;
what must survive is in the store.
"""

import asyncio
import contextlib
import logging
import random
from collections.abc import Sequence
from typing import Protocol

from ..backpressure import ColdTargets, hall_share
from ..clock import Clock
from ..configuration import CurrentConfiguration, max_keyed_age_s
from ..crashes import CrashExchange, CrashHistory
from ..evacuation import CLOSE_MARGIN_S, EvacuatedHalls
from ..forwarding import (
    AttemptRunner,
    CrashGuard,
    Forwarder,
    HallEndpointSelector,
    LostLinks,
    RouteGateway,
    StallDetector,
    TargetLoads,
    Upstream,
)
from ..freshness import LEADER_MAX_AGE_S, EraSettling
from ..hall_lease import ControllerLease
from ..links import (
    PEERS_METHOD,
    PeerExchange,
    PeerTunnels,
    TargetDialer,
    TargetLinks,
    TunnelPeers,
    TunnelServer,
)
from ..logs import log_event
from ..planned_stop import finish_requests
from ..relay import BrokenReplicas, DaemonCounter, RelayClient, RelayServer
from ..replicas import ControllerSettings, OrderSender, ReplicaController
from ..route_metrics import RouteMetrics
from ..scheduling import (
    DemandMeter,
    EndpointCatalog,
    HallScheduler,
    InFlightCounts,
    RemoteHallPoller,
    SchedulerClient,
    scheduler_methods,
)
from ..targets import TargetDirectory, WithdrawalLog
from ..teams import TeamShares
from ._deployment import Deployment
from ._forwarded_targets import CatalogTargets
from ._gauges import Gauges
from ._late_imports import import_late
from ._leadership import HallLeadership
from ._loop_watch import LoopWatch
from ._own_leadership import OFFER_METHOD, OwnHallLeadership
from ._periodic import PeriodicTasks
from ._readiness import Readiness
from ._remote_leadership import RemoteHallLeadership
from ._replica_failures import ReplicaFailures
from ._retry_shares import RetryShares
from ._settings import LiveSettings, RouteDaemonSettings
from ._site_daemons import SiteDaemons
from ._start_steps import StartSteps
from ._status_listener import StatusListener
from ._store_call_state import store_call_state
from ._store_follower import StoreFollower
from ._upkeep import Upkeep

__all__ = ["RouteDaemon"]

_LOG = logging.getLogger("ferrydock.route_daemon")

UPKEEP_EVERY_S = 1.0
# A quarter of the silence after which a stream with events every 30 to 60 ms is moved to another
# target (`forwarding._move_rule`).
DETECT_STALLS_EVERY_S = 0.025
CHECK_LINKS_EVERY_S = 0.1
SET_GATHER_TIME_EVERY_S = 0.1
ASSIGN_SLOTS_EVERY_S = 0.1
# Bounds the age of the in-flight counts of other halls that the hall scheduler decides by.
POLL_REMOTE_HALLS_EVERY_S = 0.15

# How soon after a hall closes or reopens queued requests are assigned to other targets or refused.
FOLLOW_EVACUATIONS_EVERY_S = 0.1

# How long changes of the target list may be batched before one store call returns them: shorter
# while this daemon forms or dissolves replicas, because each step waits for a change.
BATCH_WHILE_CONTROLLING_S = 0.2
BATCH_S = 0.4

# The same while a new era of the store settles: all targets rewrite their entries, and every daemon
# reads them itself because no hall has a leader yet.
BATCH_SETTLING_S = 1.0

# Width of the random number of the first slot grant: wide enough that two leaders of a hall do not
# use the same numbers.
FIRST_GRANT_BITS = 40

# How long the imports for calls between daemons wait for the first configuration and target list,
# which a small box should read and decode first. Longer than two answers of the store take; while
# the store is away, the daemon goes on without them.
LATE_IMPORTS_WAIT_S = 0.5

# Time-out of a call to the leader of another hall that only concerns tunnels.
REMOTE_CALL_TIMEOUT_S = 0.6

METRICS_PATH = "/metrics"

# The balancer's pause between two readiness checks, and the consecutive failed checks after which
# it stops sending callers to a daemon; the platform specifies both.
BALANCER_CHECK_S = 1.0
BALANCER_MISSES = 2

# How long the listener stays open after the daemon reports that it is not ready: until the balancer
# has removed this daemon, plus half a check interval. Not longer: the later a request is accepted,
# the less time its answer has, while a caller whose connection is closed or refused goes to another
# daemon at once.
LISTEN_AFTER_NOT_READY_S = (BALANCER_MISSES + 0.5) * BALANCER_CHECK_S

# How long before the process is killed the remaining requests are ended: the time to send what
# applies to each, up to 0.4 s, and to close the components. Answers get all the rest.
CLOSE_BEFORE_KILL_S = 0.6

# How long the close of the components may take after callers' connections are closed. Most close in
# milliseconds. The server for calls between daemons has threads of its own, and its close took up
# to 3.2 s on an overloaded machine. Nothing depends on it: the process ends either way.
CLOSE_COMPONENTS_S = 0.1

# The same for the daemon's own tasks, which usually end within one iteration of the loop.
CLOSE_TASKS_S = 0.05


class RouteDaemon:
    """Creates the components of a daemon and runs them.

    Parameters
    ----------
    deployment : Deployment
        The store, configuration source, target source and target control that the daemon uses.
    clock : Clock
        Used by all components.
    steps : StartSteps, optional
        Has the steps of the start before this daemon was created.

    Attributes
    ----------
    stopping : asyncio.Event
        Set when a planned stop begins.
    """

    def __init__(self, deployment: Deployment, clock: Clock, steps: StartSteps | None = None):
        self.deployment = deployment
        self.clock = clock
        self.rng = random.Random()
        self.stopping = asyncio.Event()
        self.live_settings = LiveSettings(deployment.settings, deployment.reread)
        self.metrics = RouteMetrics()
        self.tasks = PeriodicTasks(self.rng)
        self.steps = steps or StartSteps(clock)
        self._build_state()
        self._build_request_path()
        self._build_relay()
        self._build_leadership()
        self._build_scheduling()
        self._build_upkeep()

    @property
    def settings(self) -> RouteDaemonSettings:
        """The current settings."""
        return self.live_settings.current

    @property
    def failed(self) -> asyncio.Event:
        """Set when a task that must run until the daemon ends has failed."""
        return self.tasks.failed

    def _build_state(self) -> None:
        """Create what holds the known configuration, targets and peers."""
        self.current = CurrentConfiguration()
        self.directory = TargetDirectory(WithdrawalLog(self.clock))
        cold = ColdTargets(
            self.current.service,
            self.settings.cold_overshoot,
            self.settings.cold_slack,
            lambda: self.current.version,
        )
        self.evacuated = EvacuatedHalls(
            self.settings.halls, self.settings.evacuate_within_s, self.clock
        )
        self._closed_halls: frozenset[str] = frozenset()
        self.catalog = EndpointCatalog(self.directory, cold, self.evacuated)
        self.settling = EraSettling(self.deployment.store, self.clock, self.settings.is_first_start)
        self.broken = BrokenReplicas()
        self.crash_exchange = CrashExchange(CrashHistory(self.clock))
        self.demand = DemandMeter(len(self.settings.halls))
        self.daemon_counter = DaemonCounter()
        self.site_daemons = SiteDaemons(self.live_settings, self.daemon_counter, self.clock)

    def _build_request_path(self) -> None:
        """Create what a request passes through, from a caller's connection to a target's."""
        loads = TargetLoads()
        self.selector = HallEndpointSelector(
            self.catalog,
            loads,
            self.settings.hall,
            self.clock,
            self.rng,
            self.site_daemons.count,
            self._new_team_shares(),
        )
        self.links = TargetLinks(self._usable_target_addresses, self.clock, self.rng)
        tunnel_address = self.settings.tunnel_address or ""
        self.tunnel_peers = TunnelPeers(self.settings.hall, tunnel_address, self.rng)
        self.dialer = TargetDialer(self.links, PeerTunnels(self.tunnel_peers, self.clock))
        self.deployment.control.dialer = self.dialer
        self.upstream = Upstream(self.dialer)
        dialect = self.deployment.dialect
        attempts = AttemptRunner(
            self.selector, self.upstream, loads, dialect, self.clock, self.metrics
        )
        self.lost_links = LostLinks(attempts, self.links)
        self.tunnel_server = TunnelServer(
            self.links,
            CatalogTargets(attempts.send_check, self.clock),
            self._refuses_tunnels,
            self.clock,
        )
        self.retry_shares = RetryShares(self.live_settings, self.site_daemons.count)
        self.crashes = CrashGuard(
            self.crash_exchange.history, self.directory, self.metrics, self.clock, self.dialer
        )
        forwarder = Forwarder(attempts, self.retry_shares.budget, self.crashes, self.clock)
        forwarder.has_peers = lambda: self.site_daemons.count() > 1
        self.gateway = RouteGateway(
            self.current, forwarder, dialect, self._max_keyed_age_s, self.clock, self.rng
        )
        self.gateway.memory_bytes = self.settings.memory_bytes
        self.stalls = StallDetector(attempts, self.deployment.control, self.clock, forwarder.times)
        self.stalls.links = self.links

    def _build_relay(self) -> None:
        """Create the client that polls the hall leader and the server that answers followers."""
        self.relay_client = RelayClient(
            self.current,
            self.directory,
            self.deployment.configuration_source.decode,
            self.clock,
            self.broken,
            self.daemon_counter,
            self.settings.name,
            self.crash_exchange,
            self.deployment.store.raise_era,
            self.settling.is_settled,
            self.evacuated,
        )
        self.relay_server = RelayServer(
            self.current,
            self.directory,
            self._can_answer_followers,
            self.clock,
            self.broken,
            self.daemon_counter,
            self.crash_exchange,
            self.evacuated,
        )

    def _build_leadership(self) -> None:
        """Create the leadership of each hall, its controller, and the follower of the store."""
        self.leadership = OwnHallLeadership(
            *self._leadership_arguments(self.settings.hall),
            relay=self.relay_client,
            change_within_s=self._shortest_change_s(),
        )
        self.remote_leaderships = [
            RemoteHallLeadership(
                *self._leadership_arguments(hall), is_candidate=self.leadership.holds_lease
            )
            for hall in self.settings.halls
            if hall != self.settings.hall
        ]
        self.controllers = [leadership.controller for leadership in self._leaderships()]
        self.demand.own_changes = self._replicas_under_change
        self.failures = ReplicaFailures(
            self.stalls, self.broken, self.controllers, self.leadership, self.current, self.clock
        )
        self.store_follower = StoreFollower(
            self.deployment,
            self.current,
            self.directory,
            self.leadership,
            self.rng,
            self.selector.assign_free_slots,
            [leadership.confirmation for leadership in self.remote_leaderships],
            self.evacuated,
        )
        send_check = self.gateway.forwarder.attempts.send_check
        send_check.confirmer = self.store_follower.list_confirmer
        self.store_follower.max_keyed_age_s = self._max_keyed_age_s
        self.gateway.confirmer = self.store_follower.configuration_confirmer

    def _leadership_arguments(self, hall: str) -> tuple:
        """Return the constructor arguments common to the leaderships of all halls."""
        settings, store = self.settings, self.deployment.store
        lease = ControllerLease(
            store,
            self.clock,
            hall,
            settings.name,
            settings.peer_address,
            settings.processor_cores,
        )
        controller = ReplicaController(
            ControllerSettings(
                hall,
                len(settings.halls),
                settings.load_window_s,
                settings.load_overshoot,
                settings.follows_site_plan,
            ),
            lease,
            store,
            self.current,
            OrderSender(self.deployment.control, self.directory, self.clock, lease),
            self.stalls.handle_leader_decision,
            self.metrics,
            self._slots_wanted,
            self._refused_slots,
            is_hall_open=lambda hall: self.evacuated.is_open(hall, self.clock.now_s()),
            remote_changes=lambda: self.demand.remote_changes(self.clock.now_s()),
            in_flight=lambda target_id: self.scheduler.counts.total(target_id),
            on_members_silent=lambda key: self.failures.on_members_silent(key),
        )
        return controller, store, self.clock, self.rng, self.stopping.is_set, self.settling

    def _build_scheduling(self) -> None:
        """Create the hall scheduler for when this daemon leads, and the client of the leader's."""
        counts = InFlightCounts(self.rng.getrandbits(FIRST_GRANT_BITS))
        self.scheduler = HallScheduler(
            self.catalog,
            counts,
            self.settings.hall,
            self.current.service,
            self.clock,
            self.rng,
            self.demand,
            self._limit_share,
            self._cold_share,
            self._new_team_shares(),
            self.settings.has_late_reserve,
        )
        self.scheduler_client = SchedulerClient(
            self.settings.name,
            self.scheduler,
            self.leadership.known_leader_address,
            self.settings.peer_address,
            self.selector.loads.in_flight_by_target,
            self.clock,
        )
        self.selector.scheduler = self.scheduler_client
        self.remote_halls = RemoteHallPoller(
            counts,
            self.demand,
            self._remote_leader_addresses,
            self.clock,
            self.crash_exchange,
            self.catalog.limits,
            self.evacuated,
            self.scheduler.shares,
        )

        self.peer_exchange = PeerExchange(
            self.tunnel_peers, self._leaders_to_call, self._call_peer, self.clock, self.rng
        )

    def _build_upkeep(self) -> None:
        """Create what serves readiness and metrics, and the periodic upkeep."""
        order_senders = [controller.order_sender for controller in self.controllers]
        self.upkeep = Upkeep(self.gateway, self.directory, order_senders, self.live_settings)
        self.readiness = Readiness(self.stopping, self.current, self.directory, self.steps)
        self.deployment.call_counts.own_hall = self.settings.hall
        self.deployment.call_counts.state = self._store_call_state
        self.gauges = Gauges(
            self.metrics,
            self.gateway,
            self.directory,
            self.retry_shares,
            self.deployment,
            self.controllers,
        )
        self.ready_listener = StatusListener(self.readiness.answer)
        self.metrics_listener = StatusListener(self._answer_metrics)

    # Functions that are passed to components --------------------------------------------------

    def _refuses_tunnels(self) -> bool:
        """Return whether other daemons get no more tunnels here.

        How long an answer in a tunnel takes is not known, and the end of a stop would cut it.
        """
        return self.stopping.is_set()

    async def _call_peer(self, address: str, method: str, data: bytes) -> bytes | None:
        """Call the leader of the own hall, or of another one while this daemon leads its own."""
        if self.leadership.is_leader:
            return await self.remote_halls.calls.call(address, method, data, REMOTE_CALL_TIMEOUT_S)
        return await self.relay_client.call_leader(address, method, data)

    def _leaders_to_call(self) -> list[str]:
        """Return the leaders that tell this daemon of others, for tunnels."""
        if self.leadership.is_leader:
            return list(self._remote_leader_addresses().values())
        leader = self.leadership.known_leader_address()
        return [leader] if leader else []

    def _usable_target_addresses(self) -> list[str]:
        """Return the addresses of targets in use: not of services that are not configured."""
        return [
            target.address
            for target in self.directory.targets.values()
            if not target.draining and self.current.service(target.service) is not None
        ]

    def _leaderships(self) -> list[HallLeadership]:
        return [self.leadership, *self.remote_leaderships]

    def _new_team_shares(self) -> TeamShares | None:
        """Return the shares of teams for one queue; None if teams do not share slots."""
        return TeamShares(self.clock) if self.settings.shares_among_teams else None

    def _slots_wanted(self, service: str) -> dict[str, float]:
        return self.demand.site_slots_wanted(service, self.clock.now_s())

    def _shortest_change_s(self) -> float:
        """Return how soon a daemon must know of any change, evacuations included, in seconds."""
        settings = self.settings
        if settings.evacuate_within_s is None:
            return settings.change_within_s
        return min(settings.change_within_s, settings.evacuate_within_s - CLOSE_MARGIN_S)

    def _refused_slots(self, service: str) -> dict[str, float]:
        return self.demand.site_refused_slots(service, self.clock.now_s())

    def _replicas_under_change(self) -> dict[tuple[str, int], str]:
        """Return the replicas that this daemon's halls give to another model, and that model."""
        changing: dict[tuple[str, int], str] = {}
        for controller in self.controllers:
            changing.update(controller.state.changing)
        return changing

    def _limit_share(self, hall: str) -> float:
        """Return the share of the rate limit of a target in `hall` that this daemon may grant.

        The share is 0 while this daemon leads no hall.
        """
        led_halls = {
            leadership.controller.hall for leadership in self._leaderships() if leadership.is_leader
        }
        return hall_share(hall in led_halls, len(self.settings.halls)) if led_halls else 0.0

    def _cold_share(self, hall: str) -> float:
        """Return the share of the requests at a cold target in `hall` that this daemon may grant.

        As `_limit_share`, but 0 as soon as this daemon's lease may have expired. Until a daemon
        learns which other one leads, it considers itself the leader, and grants at rate limits.
        """
        led_halls = {
            leadership.controller.hall
            for leadership in self._leaderships()
            if leadership.is_leader and leadership.holds_lease()
        }
        return hall_share(hall in led_halls, len(self.settings.halls)) if led_halls else 0.0

    def _max_keyed_age_s(self) -> float:
        return max_keyed_age_s(self.settings.freshness_s)

    def _can_answer_followers(self) -> bool:
        """Return whether this daemon leads its hall with data recent enough to relay to followers.

        The age of the target list counts as well as that of the configuration: a leader whose watch
        of the list is never answered may still confirm its configuration, and a whole hall relied
        on the old list of such a leader for up to 21.5 s. While a new era of the store settles, no
        daemon can confirm its data, so it is enough that the store answers: the followers would
        learn no more from the store, and would all read it at once.
        """
        now_s = self.clock.now_s()
        age_s = max(self.current.age_s(now_s), self.directory.age_s(now_s))
        if not self.settling.is_settled():
            age_s = now_s - self.store_follower.last_read_began_s
        return self.leadership.holds_lease() and age_s < LEADER_MAX_AGE_S

    def _remote_leader_addresses(self) -> dict[str, str]:
        """Return the known ``IP:PORT`` of the leader of each other hall, by hall."""
        return {
            leadership.controller.hall: leadership.leader_address
            for leadership in self.remote_leaderships
            if leadership.leader_address
        }

    def _store_call_state(self) -> str:
        return store_call_state(
            is_leader=self.leadership.holds_lease(),
            is_settled=self.settling.is_settled(),
            is_ready=self.readiness.is_ready,
            is_relayed=self.leadership.is_relayed,
            leader_address=self.leadership.leader_address,
        )

    def _answer_metrics(self, path: str) -> tuple[int, str]:
        if path != METRICS_PATH:
            return 404, f"there is only {METRICS_PATH}\n"
        return 200, self.gauges.text()

    # Start and stop ---------------------------------------------------------------------------

    async def start(self) -> None:
        """Begin to read the store, open the listeners and start all periodic tasks.

        The first reads of the store are under way while the listeners open. A daemon serves
        without a leader, so everything that coordinates daemons follows later, in a task.
        """
        self.tasks.spawn(LoopWatch(self.metrics, self.clock).run())
        self.tasks.spawn(self.store_follower.follow_configuration())
        self.tasks.spawn(self.store_follower.follow_targets())
        await asyncio.gather(
            self.gateway.start(self.settings.listen),
            self.ready_listener.start(self.settings.ready_listen),
            self.metrics_listener.start(self.settings.metrics_listen),
        )
        self.steps.finish("listeners")
        self.tasks.every(UPKEEP_EVERY_S, self._run_upkeep)
        self.tasks.every(DETECT_STALLS_EVERY_S, self.stalls.step)
        self.tasks.every(CHECK_LINKS_EVERY_S, self.failures.step)
        self.tasks.every(CHECK_LINKS_EVERY_S, self.links.step)
        self.tasks.every(CHECK_LINKS_EVERY_S, self.lost_links.step)
        self.tasks.every(SET_GATHER_TIME_EVERY_S, self._set_gather_time)
        self.tasks.every(ASSIGN_SLOTS_EVERY_S, self.upkeep.assign_free_slots)
        self.tasks.every(POLL_REMOTE_HALLS_EVERY_S, self._poll_remote_halls)
        if self.evacuated.is_used:
            self.tasks.every(FOLLOW_EVACUATIONS_EVERY_S, self._follow_evacuations)
        self.tasks.spawn(self._log_ready())
        self.tasks.spawn(self._start_coordination())
        log_event(
            _LOG,
            logging.INFO,
            "started",
            name=self.settings.name,
            hall=self.settings.hall,
            listen=self.settings.listen,
            store=self.settings.store_address,
            **self.steps.report(),
        )

    async def _start_coordination(self) -> None:
        """Import what calls between daemons need, then answer peers and follow or lead the hall."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LATE_IMPORTS_WAIT_S):
                await self.readiness.wait()
        await import_late()
        self.steps.finish("late_imports")
        methods = {
            **scheduler_methods(self.scheduler, self.crash_exchange),
            OFFER_METHOD: self.leadership.answer_offer,
            PEERS_METHOD: self.peer_exchange.answer,
        }
        await self.relay_server.start(self.settings.peer_address, methods)
        for leadership in self._leaderships():
            self.tasks.spawn(leadership.run())
        if self.settings.tunnel_address is not None:
            await self.tunnel_server.start(self.settings.tunnel_address)
        self.tasks.spawn(self.peer_exchange.run())
        self.steps.finish("peers")
        log_event(_LOG, logging.INFO, "peers_started", **self.steps.report())

    async def _log_ready(self) -> None:
        """Log once that this daemon is ready for callers, and when each step ended."""
        await self.readiness.wait()
        log_event(_LOG, logging.INFO, "ready", name=self.settings.name, **self.steps.report())

    async def stop(self, since_signal_s: float = 0.0) -> None:
        """Stop as planned: report not ready, let requests in flight finish, then close.

        Parameters
        ----------
        since_signal_s : float, optional
            Seconds since the signal to stop, from which the time until the kill counts. A daemon
            that starts or stands still then stops later.
        """
        self.stopping.set()
        within_s = self.settings.stop_within_s - CLOSE_BEFORE_KILL_S - since_signal_s
        self.gateway.forwarder.stop_limit.ends_s = self.clock.now_s() + within_s
        await finish_requests(
            [self.gateway],
            LISTEN_AFTER_NOT_READY_S,
            within_s,
            self.clock,
            unfinished=lambda: self.tunnel_server.tunnel_count,
        )
        await self.close()

    async def close(self) -> None:
        """Close at once; callers' requests first, while their components still run."""
        await self.gateway.close()
        await _close_all([self.tasks], CLOSE_TASKS_S)
        self._log_store_calls()
        components = (
            self.ready_listener,
            self.metrics_listener,
            self.scheduler_client,
            self.remote_halls,
            self.relay_client,
            self.relay_server,
            self.tunnel_server,
            self.upstream,
            self.crashes,
            self.deployment.control,
            self.deployment.store,
        )
        await _close_all(components, CLOSE_COMPONENTS_S)

    def _log_store_calls(self) -> None:
        """Log the number of store calls, which a scrape may have missed since the last one."""
        counts = {".".join(key): n for key, n in self.deployment.call_counts.by_caller.items()}
        log_event(_LOG, logging.INFO, "store_calls", **counts)

    def reread_settings(self) -> None:
        """Read the settings again and apply them."""
        self.live_settings.reread()

    # Periodic tasks that concern several components ------------------------------------------

    async def _run_upkeep(self) -> None:
        self.site_daemons.refresh(self.leadership)
        self.retry_shares.update()
        self.upkeep.run_once()
        self.scheduler.pacer.prune(self.clock.now_s())
        self.crash_exchange.history.prune()
        self.store_follower.check_age()

    async def _set_gather_time(self) -> None:
        """Batch changes of the target list for less time while this daemon forms replicas."""
        is_controlling = any(controller.is_acting for controller in self.controllers)
        batch_window_s = BATCH_WHILE_CONTROLLING_S if is_controlling else BATCH_S
        if not self.settling.is_settled():
            batch_window_s = BATCH_SETTLING_S
        self.deployment.target_source.batch_window_s = batch_window_s

    async def _follow_evacuations(self) -> None:
        """Assign or refuse queued requests when a hall has closed or reopened."""
        closed_halls = self.evacuated.closed_halls()
        if closed_halls != self._closed_halls:
            self._closed_halls = closed_halls
            self.evacuated.log_closed()
            self.selector.assign_free_slots()
            self.scheduler.assign_free_slots()

    async def _poll_remote_halls(self) -> None:
        """Fetch in-flight counts from other halls while this daemon schedules its hall.

        A daemon that does not lead resets its measured demand, its request pacing and the shares of
        teams instead.
        """
        self.scheduler.counts.remove_silent(self.clock.now_s())
        if self.leadership.is_leader:
            self.scheduler.sample_demand()
            await self.remote_halls.step()
            self.scheduler.assign_free_slots()
        else:
            self.demand.reset()
            self.scheduler.pacer.reset()
            if self.scheduler.shares is not None:
                self.scheduler.shares.reset()


class _Closable(Protocol):
    async def close(self) -> None: ...


async def _close_all(components: Sequence[_Closable], within_s: float) -> None:
    """Close components concurrently, since each may wait for its peers; log the unfinished ones."""
    closing = {
        asyncio.ensure_future(component.close()): type(component).__name__
        for component in components
    }
    closed, unfinished = await asyncio.wait(closing, timeout=within_s)
    for task in unfinished:
        log_event(_LOG, logging.WARNING, "close_unfinished", component=closing[task])
    for task in closed:
        task.result()
