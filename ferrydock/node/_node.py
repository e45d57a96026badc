"""One daemon: composition of its components, start and planned stop."""

import asyncio
import logging
import random
import uuid

from ..clock import Clock, SystemClock
from ..demo_keys import DEMO_DIGESTS
from ..engines import make_engine_control
from ..gateway import (
    Authenticator,
    BackgroundTasks,
    Gateway,
    ModelRoutes,
    OperatorRoutes,
    RemoteHallForwarder,
    ServiceRoutes,
    TableRoutes,
)
from ..hall import Attestations, HallController, HallObserver, Prober
from ..invariants import require
from ..logs import log_event
from ..membership import (
    BurnGatherer,
    DaemonInfo,
    DemandUpdate,
    ExchangeClient,
    ExchangeServer,
    Gossip,
    PeerSecurity,
    SharedState,
)
from ..placement import AbsenceModel, HallPlacement, make_placement_policy
from ..planned_stop import StopLimit, StoppingListener, finish_requests
from ..reports import Recorder, make_statsd
from ..requests import (
    GROUP_WAIT_S,
    MIN_RELAYING_DAEMONS,
    RELAYED_WAIT_S,
    ClaimStore,
    ClaimWriter,
    EngineClient,
    RelayingClaimWriter,
    ReplicaGate,
    RequestExecutor,
)
from ..routing import ReplicaLoads, make_routing_policy
from ..store import BoxList, Store, WeightStore
from ..table import TableKeeper, TableRepository, TableView, TableWatcher
from ..teams import KnownDemand, TeamLimits
from ._burn_report import burn_fields
from ._rounds import NodeLoops
from ._settings import Settings
from ._status import status_fields
from ._tls import CallerTls

__all__ = ["Node", "PlatformClients"]

_LOG = logging.getLogger("ferrydock.node")

# How long closing waits for the outcome records of requests that the stop limit has ended.
FINAL_RECORDS_TIMEOUT_S = 1.0


class PlatformClients:
    """Clients of the platform's services for one daemon."""

    __slots__ = ("box_list", "store", "weight_store")

    def __init__(self, store: Store, box_list: BoxList, weight_store: WeightStore):
        self.store = store
        self.box_list = box_list
        self.weight_store = weight_store

    async def close(self) -> None:
        """Close the connections."""
        for client in (self.store, self.box_list, self.weight_store):
            await client.close()


class Node:
    """A daemon of one hall.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    platform : PlatformClients
        Clients of store, box list and weight store.
    clock : Clock, default=SystemClock()
        Time source.
    random_source : random.Random, optional
        Source of all random choices; by default seeded from the settings.
    """

    def __init__(
        self,
        settings: Settings,
        platform: PlatformClients,
        clock: Clock | None = None,
        random_source: random.Random | None = None,
    ):
        self.settings = settings
        self.platform = platform
        self.clock = clock or SystemClock()
        self.random_source = random_source or random.Random(settings.seed or None)
        # Not drawn from the seed: daemons with the same seed must have different names.
        self.name = f"{settings.hall}-{uuid.uuid4().hex[:8]}"
        self.loops = NodeLoops(self)
        self.started_s = self.clock.now_s()
        self.security = _peer_security(settings)
        self._create_components()

    def _create_components(self) -> None:
        settings, clock, store = self.settings, self.clock, self.platform.store
        own_info = DaemonInfo(self.name, settings.hall, settings.peer_advertise, "")
        self.keeper = TableKeeper(self._on_table)
        self.attestations = Attestations(ttl_s=2.0)
        self.state = SharedState(own_info, self.keeper, self.attestations, self.random_source)
        self.state.add_placement_listener(self._on_placement)
        self.repository = TableRepository(store, clock, self.random_source)
        self.watcher = TableWatcher(self.repository, self.keeper, clock)
        self.control = make_engine_control(settings.engine)
        self.prober = Prober(self.control, self.attestations, clock)
        absences = AbsenceModel()
        self.observer = HallObserver(
            settings.hall, self.platform.box_list, self.control, self.attestations, absences, clock
        )
        self.controller = HallController(
            settings.hall,
            self.name,
            store,
            self.observer,
            self.control,
            make_placement_policy("cost_based", absences=absences),
            clock,
            self.random_source,
            self._publish,
        )
        self.exchange_client = ExchangeClient(self.state, clock, self.security)
        self.gossip = Gossip(
            self.state, self.exchange_client, clock, self.random_source, settings.peers
        )
        self.exchange_server = ExchangeServer(self.state, clock, self.gossip.pull_from)
        self._create_request_components()

    def _create_request_components(self) -> None:
        settings, clock = self.settings, self.clock
        self.stop_limit = StopLimit()
        self.background_tasks = BackgroundTasks(self.stop_limit)
        self.recorder = Recorder(make_statsd(settings.statsd), clock)
        self.burn_gatherer = BurnGatherer(
            self.state, self.recorder, self.exchange_client, self.controller.shortage_totals
        )
        self.exchange_server.on_burn = self.burn_gatherer.reply
        self.limits = TeamLimits()
        self.replica_loads = ReplicaLoads(self.attestations)
        routing_policy = make_routing_policy("prefix_affinity", self.random_source)
        self.gate = ReplicaGate(self.state, self.replica_loads, routing_policy, clock)
        self.engine_client = EngineClient()
        self.executor = RequestExecutor(
            self.gate, self.engine_client, self.control, self.random_source, self.stop_limit
        )
        self.claim_writer = ClaimWriter(self.platform.store)
        self.exchange_server.on_claim = self.claim_writer.write
        relaying_writer = RelayingClaimWriter(
            self.claim_writer, self._claim_writer_address, self.exchange_client.write_claim
        )
        self.claims = ClaimStore(self.platform.store, relaying_writer, clock, 86400.0, self.name)
        refused_digests = frozenset() if settings.store == "embedded" else DEMO_DIGESTS
        self.authenticator = Authenticator(
            self.keeper, settings.operator_key_digests, refused_digests
        )
        self.remote_forwarder = RemoteHallForwarder(self.state, clock, self.stop_limit)
        self.model_routes = ModelRoutes(
            state=self.state,
            authenticator=self.authenticator,
            limits=self.limits,
            executor=self.executor,
            remote_forwarder=self.remote_forwarder,
            claims=self.claims,
            recorder=self.recorder,
            clock=clock,
            body_timeout_s=settings.body_timeout_s,
            background_tasks=self.background_tasks,
        )
        self.service_routes = ServiceRoutes(
            self.keeper,
            self.authenticator,
            self.claims,
            clock,
            settings.body_timeout_s,
            self.background_tasks,
        )
        self.operator_routes = OperatorRoutes(
            keeper=self.keeper,
            repository=self.repository,
            watcher=self.watcher,
            authenticator=self.authenticator,
            get_status=lambda: status_fields(self),
            get_burn=lambda query: burn_fields(self, query),
            on_edit=self.gossip.push_update,
            clock=clock,
            stop_limit=self.stop_limit,
        )
        routes = [
            *self.model_routes.routes(),
            *self.service_routes.routes(),
            *self.operator_routes.routes(),
        ]
        self.table_routes = TableRoutes(settings.hall, clock, self.random_source)
        self.gateway = Gateway(
            routes,
            self.not_ready_reason,
            settings.most_connections,
            settings.first_request_s,
            self.stop_limit,
        )

    # Start and stop -----------------------------------------------------------------------

    async def start(self) -> None:
        """Listen, and start all loops."""
        settings = self.settings
        port = await self.exchange_server.start(settings.peer_listen, self.security)
        peer_address = f"{settings.peer_listen.rsplit(':', 1)[0]}:{port}"
        self.caller_tls = CallerTls(settings.tls_certificate, settings.tls_key)
        tls = self.caller_tls.context
        address = await self.gateway.start(settings.listen, tls)
        scheme = "https" if tls is not None else "http"
        outside_address = settings.outside_advertise
        self.state.members.update_own_record(
            self.clock.now_s(),
            peer_address=settings.peer_advertise or peer_address,
            url=f"{scheme}://{settings.advertise or address}",
            outside_peer_address=settings.outside_peer_advertise,
            outside_url=f"{scheme}://{outside_address}" if outside_address else "",
        )
        route_address = ""
        if settings.route_listen:
            route_address = await self.table_routes.start(settings.route_listen)
        self.loops.start()
        log_event(
            _LOG,
            logging.INFO,
            "ready",
            listen=address,
            peer_listen=peer_address,
            route_listen=route_address or None,
            hall=settings.hall,
            name=self.name,
        )

    async def stop(self) -> None:
        """Stop as planned: report not ready, finish requests in flight, then close.

        Requests that remain after the configured time limit are ended with an error answer.
        """
        settings = self.settings
        listeners: list[StoppingListener] = [self.gateway, self.table_routes.gateway]
        for listener in listeners:
            listener.announce_stop()
        self.state.members.update_own_record(self.clock.now_s(), stopping=True)
        await self.controller.step_down()
        time_limit_s = None
        if settings.stop_longest_s is not None:
            time_limit_s = settings.stop_readiness_s + settings.stop_longest_s
        await finish_requests(
            listeners,
            settings.stop_readiness_s,
            time_limit_s,
            self.clock,
            lambda: self.background_tasks.count,
        )
        await self._end_requests()
        await self.gossip.announce_leaving()
        await self._close_components()

    async def close(self) -> None:
        """Close at once: end callers' requests first, while the components that serve them run."""
        await self._end_requests()
        await self._close_components()

    async def _end_requests(self) -> None:
        """Answer the remaining requests as not run or possibly run, and record their outcomes."""
        await asyncio.gather(self.gateway.close(), self.table_routes.close())
        await self.background_tasks.close(FINAL_RECORDS_TIMEOUT_S)

    async def _close_components(self) -> None:
        """Close the components that serve requests; no request is in flight any more."""
        await self.loops.stop()
        await self.gossip.close()
        await self.exchange_server.close()
        await self.exchange_client.close()
        await self.executor.close()
        for component in (
            self.engine_client,
            self.control,
            self.remote_forwarder,
            self.service_routes,
            self.platform,
        ):
            await component.close()

    # Readiness ----------------------------------------------------------------------------

    def not_ready_reason(self) -> str:
        """Return why the load balancer should send no requests here; empty if ready."""
        return "" if self.keeper.loaded else "no table yet"

    # Table and claims ---------------------------------------------------------------------

    def _on_table(self, view: TableView) -> None:
        self.table_routes.apply_table(view, self.clock.now_s())
        self.attestations.ttl_s = view.site.attestation_ttl_s
        self.claims.retention_s = view.site.claim_retention_s
        self.executor.budget.ratio = view.site.retry_budget_ratio
        self.service_routes.budget.ratio = view.site.retry_budget_ratio
        self.update_limits()
        if self.settings.store != "embedded":
            _warn_of_demo_keys(view)

    def _claim_writer_address(self) -> str | None:
        """Return the address of the daemon that writes this hall's claims; None if this one."""
        active_members = self.state.members.available_names()
        if len(active_members) < MIN_RELAYING_DAEMONS:
            self.claim_writer.wait_s = GROUP_WAIT_S
            return None
        self.claim_writer.wait_s = RELAYED_WAIT_S
        writer_name = self.loops.responsibilities.order(
            active_members, "claims/" + self.settings.hall
        )[0]
        if writer_name == self.name:
            return None
        return require(self.state.members.get(writer_name), writer_name).peer_address

    # Placement ----------------------------------------------------------------------------

    def _publish(self, placement: HallPlacement) -> None:
        if self.state.offer_placement(placement):
            self.gossip.push_update()

    def _on_placement(self, placement: HallPlacement) -> None:
        self.controller.adopt_record(placement)
        self.replica_loads.keep_only(placement)

    # Team limits --------------------------------------------------------------------------

    def known_demand(self) -> KnownDemand:
        """Return the demand reported by other daemons of this hall and by other halls."""
        now_s = self.clock.now_s()
        halls = {
            hall: (now_s - summary.made_s, summary.demands)
            for hall, summary in self.state.halls.items()
        }
        daemons = {
            name: demand.rates_per_s
            for name, demand in self.state.demands.items()
            if name != self.name
        }
        live_count = len(self.state.members.live())
        return KnownDemand(self.settings.hall, self.name, daemons, live_count, halls)

    def update_limits(self) -> None:
        view = self.keeper.view
        if view is None:
            return
        now_s = self.clock.now_s()
        self.limits.update(view, now_s, self.known_demand(), len(view.halls) or 1)
        rates = self.limits.demands(view)
        self.state.offer_demand(DemandUpdate(self.name, now_s, rates))


def _peer_security(settings: Settings) -> PeerSecurity | None:
    if not settings.peer_certificate:
        return None
    return PeerSecurity(settings.peer_certificate, settings.peer_key, settings.peer_authority)


def _warn_of_demo_keys(view: TableView) -> None:
    """Log an error if the table has publicly known demo keys; `Authenticator` refuses them."""
    digests = set(view.site.operator_key_digests)
    for team in view.teams.values():
        digests.update(team.key_digests)
    if digests.intersection(DEMO_DIGESTS):
        log_event(_LOG, logging.ERROR, "demo_key_in_table", revision=view.revision)
