"""One route daemon: its parts, and how it starts and stops.

Owns the parts and the order in which they begin and end. Decides nothing: each rule stands in the
package of its part. All that a daemon knows is in memory and is lost with its process; what must
last lies in the store.
"""

import asyncio
import logging
import random

from ..backpressure import hall_share
from ..clock import Clock
from ..configuration import CurrentConfiguration, max_keyed_age_s
from ..crashes import CrashExchange, CrashHistory
from ..forwarding import (
    AttemptRunner,
    CrashGuard,
    Forwarder,
    HallEndpointSelector,
    RouteGateway,
    StallDetector,
    TargetLoads,
    Upstream,
)
from ..freshness import LEADER_MAX_AGE_S, EraSettling
from ..hall_lease import ControllerLease
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
from ..targets import TargetDirectory
from ._deployment import Deployment
from ._gauges import Gauges
from ._leadership import HallLeadership
from ._own_leadership import OFFER, OwnHallLeadership
from ._periodic import PeriodicTasks
from ._readiness import Readiness
from ._remote_leadership import RemoteHallLeadership
from ._replica_failures import ReplicaFailures
from ._retry_shares import RetryShares
from ._settings import LiveSettings, RouteDaemonSettings
from ._site_daemons import SiteDaemons
from ._status_listener import StatusListener
from ._store_follower import StoreFollower
from ._upkeep import Upkeep

__all__ = ["RouteDaemon"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Pauses of the periodic work.
TIDY_EVERY_S = 1.0
# A quarter of the silence after which a stream goes on elsewhere where events come each 30 to 60 ms
# (`forwarding._move_rule`).
DETECT_STALLS_EVERY_S = 0.025
SET_GATHER_TIME_EVERY_S = 0.1
ASSIGN_SLOTS_EVERY_S = 0.1
# How old the counts of other halls are that the hall scheduler decides by.
POLL_REMOTE_HALLS_EVERY_S = 0.15

# How long changes of the target list may be gathered before they come as one call of the store:
# shorter while this daemon forms or dissolves replicas, since each step waits for a change.
GATHER_WHILE_CONTROLLING_S = 0.2
GATHER_S = 0.4

# The same while a new era of the store settles: all targets write again, and without a leader all
# daemons follow them.
GATHER_SETTLING_S = 1.0

# Width of the random number of the first grant: large enough that two leaders never use the same.
FIRST_GRANT_BITS = 40

METRICS_PATH = "/metrics"

# The balancer's pause between two readiness checks, and the misses in a row after which it takes a
# daemon out: both said by the platform.
BALANCER_CHECK_S = 1.0
BALANCER_MISSES = 2

# How long the listener stays open after readiness has dropped: until the balancer has taken this
# daemon out, and half a check more. Not longer: what is taken on late may still be under way when
# the process is killed, and is then cut, while a caller whose connection is closed or refused goes
# to another daemon at once. The platform excuses a cut only of requests sent within 3 s of SIGTERM.
LISTEN_AFTER_READY_S = (BALANCER_MISSES + 0.5) * BALANCER_CHECK_S

# How long before the process would be killed the requests that are left are ended, so that their
# answers and the closing of everything else still fit: closing takes 0.02 s, and took 1.03 s once
# in 50 seeds of the soak of stops beside other work. Within the last sixth of the usual grace of
# 8 s (1.33 s), in which the platform lets a stop cut what a target is still at work on.
KILL_MARGIN_S = 1.2


class RouteDaemon:
    """Composes the parts of a daemon and runs them.

    Parameters
    ----------
    deployment : Deployment
        The store, configuration source, target source and target control it runs against.
    clock : Clock
        For all decisions.

    Attributes
    ----------
    stopping : asyncio.Event
        Set once a planned stop has begun.
    """

    def __init__(self, deployment: Deployment, clock: Clock):
        self.deployment = deployment
        self.clock = clock
        self.rng = random.Random()
        self.stopping = asyncio.Event()
        self.live_settings = LiveSettings(deployment.settings, deployment.reread)
        self.metrics = RouteMetrics()
        self.tasks = PeriodicTasks(self.rng)
        self._build_state()
        self._build_request_path()
        self._build_relay()
        self._build_leadership()
        self._build_scheduling()
        self._build_upkeep()

    @property
    def settings(self) -> RouteDaemonSettings:
        """The settings in force."""
        return self.live_settings.current

    @property
    def failed(self) -> asyncio.Event:
        """Set once a part of the daemon has failed that must not."""
        return self.tasks.failed

    def _build_state(self) -> None:
        """What this daemon knows of configuration, targets and peers."""
        self.current = CurrentConfiguration()
        self.directory = TargetDirectory()
        self.catalog = EndpointCatalog(self.directory)
        self.settling = EraSettling(self.deployment.store, self.clock, self.settings.is_first_start)
        self.broken = BrokenReplicas()
        self.crash_exchange = CrashExchange(CrashHistory(self.clock))
        self.demand = DemandMeter(len(self.settings.halls))
        self.daemon_counter = DaemonCounter()
        self.site_daemons = SiteDaemons(self.live_settings, self.daemon_counter, self.clock)

    def _build_request_path(self) -> None:
        """From a caller's connection to a target's."""
        loads = TargetLoads()
        self.selector = HallEndpointSelector(
            self.catalog,
            loads,
            self.settings.hall,
            self.clock,
            self.rng,
            self.site_daemons.count,
        )
        self.upstream = Upstream()
        dialect = self.deployment.dialect
        attempts = AttemptRunner(
            self.selector, self.upstream, loads, dialect, self.clock, self.metrics
        )
        self.retry_shares = RetryShares(self.live_settings, self.site_daemons.count)
        self.crashes = CrashGuard(
            self.crash_exchange.history, self.directory, self.metrics, self.clock
        )
        forwarder = Forwarder(attempts, self.retry_shares.budget, self.crashes, self.clock)
        self.gateway = RouteGateway(
            self.current, forwarder, dialect, self._max_keyed_age_s, self.clock, self.rng
        )
        self.stalls = StallDetector(attempts, self.deployment.control, self.clock, forwarder.times)

    def _build_relay(self) -> None:
        """Asking the hall leader for news, and answering followers while this daemon leads."""
        self.relay_client = RelayClient(
            self.current,
            self.directory,
            self.deployment.configuration_source.decode,
            self.clock,
            self.broken,
            self.daemon_counter,
            self.settings.name,
            self.crash_exchange,
            self.deployment.store.note_era,
            self.settling.is_settled,
        )
        self.relay_server = RelayServer(
            self.current,
            self.directory,
            self._reads_store,
            self.clock,
            self.broken,
            self.daemon_counter,
            self.crash_exchange,
        )

    def _build_leadership(self) -> None:
        """Following the store or the hall leader; leading halls and forming their replicas."""
        self.order_sender = OrderSender(self.deployment.control, self.directory, self.clock)
        self.leadership = OwnHallLeadership(
            *self._leadership_parts(self.settings.hall),
            relay=self.relay_client,
            change_within_s=self.settings.change_within_s,
        )
        self.remote_leaderships = [
            RemoteHallLeadership(
                *self._leadership_parts(hall), is_candidate=self.leadership.holds_lease
            )
            for hall in self.settings.halls
            if hall != self.settings.hall
        ]
        self.controllers = [leadership.controller for leadership in self._leaderships()]
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
        )

    def _leadership_parts(self, hall: str) -> tuple:
        """Return the arguments that leaderships of all halls have in common."""
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
                hall, len(settings.halls), settings.load_window_s, settings.load_overshoot
            ),
            lease,
            store,
            self.current,
            self.order_sender,
            self.stalls.replica_given_up,
            self.metrics,
            self._slots_wanted,
        )
        return controller, store, self.clock, self.rng, self.stopping.is_set, self.settling

    def _build_scheduling(self) -> None:
        """The hall scheduler, used while this daemon leads, and the way to the leader's."""
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
        )
        self.scheduler_client = SchedulerClient(
            self.settings.name,
            self.scheduler,
            self.leadership.known_leader_address,
            self.settings.peer_address,
            self.selector.loads.running,
            self.clock,
        )
        self.selector.scheduler = self.scheduler_client
        self.remote_halls = RemoteHallPoller(
            counts,
            self.demand,
            self._remote_leaders,
            self.clock,
            self.crash_exchange,
            self.catalog.limits,
        )

    def _build_upkeep(self) -> None:
        """Readiness, metrics and periodic tidying."""
        self.upkeep = Upkeep(self.gateway, self.directory, self.order_sender, self.live_settings)
        readiness = Readiness(self.stopping, self.current, self.directory)
        self.gauges = Gauges(
            self.metrics,
            self.gateway,
            self.directory,
            self.retry_shares,
            self.deployment,
            self.controllers,
        )
        self.ready_listener = StatusListener(readiness.answer)
        self.metrics_listener = StatusListener(self._answer_metrics)

    # What the parts ask of each other ---------------------------------------------------------

    def _leaderships(self) -> list[HallLeadership]:
        return [self.leadership, *self.remote_leaderships]

    def _slots_wanted(self, service: str) -> dict[str, float]:
        return self.demand.site_slots_wanted(service, self.clock.now_s())

    def _limit_share(self, hall: str) -> float:
        """Return the part of the limit of a hall's target that this daemon's scheduler grants."""
        led = {
            leadership.controller.hall for leadership in self._leaderships() if leadership.is_leader
        }
        return hall_share(hall in led, len(self.settings.halls)) if led else 0.0

    def _max_keyed_age_s(self) -> float:
        return max_keyed_age_s(self.settings.freshness_s)

    def _reads_store(self) -> bool:
        """Return whether this daemon reads the store for its hall and knows what it holds.

        The list counts by its own age: a leader whose wait for changes is never answered was
        believed by its whole hall for up to 21.5 s while it confirmed its configuration. While a
        new era of the store settles no daemon can confirm that, so reaching the store is enough:
        the followers would learn no more there, and all ask at once.
        """
        now_s = self.clock.now_s()
        age_s = max(self.current.age_s(now_s), self.directory.age_s(now_s))
        if not self.settling.is_settled():
            age_s = now_s - self.store_follower.reached_s
        return self.leadership.holds_lease() and age_s < LEADER_MAX_AGE_S

    def _remote_leaders(self) -> dict[str, str]:
        """Return the known addresses of the other halls' leaders, by hall."""
        return {
            leadership.controller.hall: leadership.leader_address
            for leadership in self.remote_leaderships
            if leadership.leader_address
        }

    def _answer_metrics(self, path: str) -> tuple[int, str]:
        if path != METRICS_PATH:
            return 404, f"there is only {METRICS_PATH}\n"
        return 200, self.gauges.text()

    # Start and stop ---------------------------------------------------------------------------

    async def start(self) -> None:
        """Listen, and begin all periodic work."""
        await self.ready_listener.start(self.settings.ready_listen)
        await self.metrics_listener.start(self.settings.metrics_listen)
        await self.gateway.start(self.settings.listen)
        self.tasks.spawn(self.store_follower.follow_configuration())
        self.tasks.spawn(self.store_follower.follow_targets())
        self.tasks.every(TIDY_EVERY_S, self._tidy)
        self.tasks.every(DETECT_STALLS_EVERY_S, self.stalls.step)
        self.tasks.every(SET_GATHER_TIME_EVERY_S, self._set_gather_time)
        self.tasks.every(ASSIGN_SLOTS_EVERY_S, self.upkeep.assign_free_slots)
        self.tasks.every(POLL_REMOTE_HALLS_EVERY_S, self._poll_remote_halls)
        methods = {
            **scheduler_methods(self.scheduler, self.crash_exchange),
            OFFER: self.leadership.answer_offer,
        }
        await self.relay_server.start(self.settings.peer_address, methods)
        for leadership in self._leaderships():
            self.tasks.spawn(leadership.run())
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
        """Stop as planned: readiness drops first, then nothing in flight is cut off."""
        self.stopping.set()
        within_s = self.settings.stop_within_s - KILL_MARGIN_S
        await finish_requests([self.gateway], LISTEN_AFTER_READY_S, within_s, self.clock)
        await self.close()

    async def close(self) -> None:
        """End at once; callers' requests first, while everything that serves them still runs."""
        await self.gateway.close()
        await self.tasks.close()
        parts = (
            self.ready_listener,
            self.metrics_listener,
            self.scheduler_client,
            self.remote_halls,
            self.relay_client,
            self.relay_server,
            self.upstream,
            self.crashes,
            self.deployment.control,
            self.deployment.store,
        )
        # Together: each may wait for its peers, and all of it has to fit into `KILL_MARGIN_S`.
        await asyncio.gather(*(part.close() for part in parts))

    def reread_settings(self) -> None:
        """Put the settings in force as they stand now."""
        self.live_settings.reread()

    # Periodic work that concerns several parts -----------------------------------------------

    async def _tidy(self) -> None:
        self.site_daemons.refresh(self.leadership)
        self.retry_shares.update()
        self.upkeep.tidy()
        self.scheduler.pacer.tidy()
        self.crash_exchange.history.tidy()
        self.store_follower.look_at_age()

    async def _set_gather_time(self) -> None:
        """Let a daemon that forms replicas learn of its targets soon, others in larger batches."""
        is_controlling = any(controller.is_acting for controller in self.controllers)
        gather_s = GATHER_WHILE_CONTROLLING_S if is_controlling else GATHER_S
        if not self.settling.is_settled():
            gather_s = GATHER_SETTLING_S
        self.deployment.target_source.gather_s = gather_s

    async def _poll_remote_halls(self) -> None:
        """Learn, as this hall's scheduler, what other halls have in flight at its targets."""
        self.scheduler.counts.forget_silent(self.clock.now_s())
        if self.leadership.is_leader:
            self.scheduler.sample_demand()
            await self.remote_halls.step()
            self.scheduler.assign_free_slots()
        else:
            self.demand.forget()
            self.scheduler.pacer.forget()
