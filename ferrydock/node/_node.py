"""One daemon, put together: its parts, the loops that drive them, its start and planned stop."""

import asyncio
import logging
import random
import uuid

from ..clock import Clock, SystemClock
from ..demo_keys import DEMO_DIGESTS
from ..engines import make_engine_control
from ..gateway import (
    Callers,
    Gateway,
    LastingWork,
    ModelRoutes,
    OperatorRoutes,
    ServiceRoutes,
    Spill,
    TableRoutes,
)
from ..hall import Attestations, HallController, HallObserver, Prober
from ..invariants import require
from ..logs import log_event
from ..membership import (
    BurnGatherer,
    DaemonInfo,
    DemandNews,
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
    RELAY_FROM_DAEMONS,
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
from ._rounds import Rounds
from ._settings import Settings
from ._status import status_fields
from ._tls import CallerTls

__all__ = ["Node", "Platform"]

_LOG = logging.getLogger("ferrydock.node")

# How long the end waits for records of requests that its stop limit has ended. Chosen, not
# measured.
RECORDS_WITHIN_S = 1.0


class Platform:
    """The platform as one daemon reaches it."""

    __slots__ = ("box_list", "store", "weight_store")

    def __init__(self, store: Store, box_list: BoxList, weight_store: WeightStore):
        self.store = store
        self.box_list = box_list
        self.weight_store = weight_store

    async def close(self) -> None:
        """Give up the connections."""
        for part in (self.store, self.box_list, self.weight_store):
            await part.close()


class Node:
    """A daemon of one hall.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    platform : Platform
        Store, box list and weight store.
    clock : Clock, default=SystemClock()
        Time.
    random_source : random.Random, optional
        Source of all random choices; by default seeded from the settings.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        clock: Clock | None = None,
        random_source: random.Random | None = None,
    ):
        self.settings = settings
        self.platform = platform
        self.clock = clock or SystemClock()
        self.random_source = random_source or random.Random(settings.seed or None)
        # Never from the seed: two daemons must not have the same name.
        self.name = f"{settings.hall}-{uuid.uuid4().hex[:8]}"
        self.rounds = Rounds(self)
        self.started_s = self.clock.now_s()
        self.security = _peer_security(settings)
        self._make_parts()

    def _make_parts(self) -> None:
        settings, clock, store = self.settings, self.clock, self.platform.store
        own = DaemonInfo(self.name, settings.hall, settings.peer_advertise, "")
        self.keeper = TableKeeper(self._on_table)
        self.attestations = Attestations(ttl_s=2.0)
        self.state = SharedState(own, self.keeper, self.attestations, self.random_source)
        self.state.listen_placement(self._on_placement)
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
        self.exchange_server = ExchangeServer(self.state, clock, self.gossip.on_needs)
        self._make_request_path()

    def _make_request_path(self) -> None:
        settings, clock = self.settings, self.clock
        self.stop_limit = StopLimit()
        self.work = LastingWork(self.stop_limit)
        self.recorder = Recorder(make_statsd(settings.statsd), clock)
        self.burn_gatherer = BurnGatherer(
            self.state, self.recorder, self.exchange_client, self.controller.shortage
        )
        self.exchange_server.on_burn = self.burn_gatherer.reply
        self.limits = TeamLimits()
        self.replica_loads = ReplicaLoads(self.attestations)
        policy = make_routing_policy("prefix_affinity", self.random_source)
        self.gate = ReplicaGate(self.state, self.replica_loads, policy, clock)
        self.engine_client = EngineClient()
        self.executor = RequestExecutor(
            self.gate, self.engine_client, self.control, self.random_source, self.stop_limit
        )
        self.claim_writer = ClaimWriter(self.platform.store)
        self.exchange_server.on_claim = self.claim_writer.write
        writer = RelayingClaimWriter(
            self.claim_writer, self._claim_address, self.exchange_client.write_claim
        )
        self.claims = ClaimStore(self.platform.store, writer, clock, 86400.0, self.name)
        refused = frozenset() if settings.store == "embedded" else DEMO_DIGESTS
        self.callers = Callers(self.keeper, settings.operator_key_digests, refused)
        self.spill = Spill(self.state, clock, self.stop_limit)
        self.models = ModelRoutes(
            state=self.state,
            callers=self.callers,
            limits=self.limits,
            executor=self.executor,
            spill=self.spill,
            claims=self.claims,
            recorder=self.recorder,
            clock=clock,
            body_timeout_s=settings.body_timeout_s,
            work=self.work,
        )
        self.services = ServiceRoutes(
            self.keeper, self.callers, self.claims, clock, settings.body_timeout_s, self.work
        )
        self.operators = OperatorRoutes(
            keeper=self.keeper,
            repository=self.repository,
            watcher=self.watcher,
            callers=self.callers,
            status=lambda: status_fields(self),
            burn=lambda query: burn_fields(self, query),
            on_edit=self.gossip.spread,
            clock=clock,
            stop_limit=self.stop_limit,
        )
        routes = [*self.models.routes(), *self.services.routes(), *self.operators.routes()]
        self.table_routes = TableRoutes(settings.hall, clock, self.random_source)
        self.gateway = Gateway(
            routes,
            self.why_not_ready,
            settings.most_connections,
            settings.first_request_s,
            self.stop_limit,
        )

    # Life ---------------------------------------------------------------------------------

    async def start(self) -> None:
        """Listen, and begin all loops."""
        settings = self.settings
        port = await self.exchange_server.start(settings.peer_listen, self.security)
        peer_address = f"{settings.peer_listen.rsplit(':', 1)[0]}:{port}"
        self.caller_tls = CallerTls(settings.tls_certificate, settings.tls_key)
        tls = self.caller_tls.context
        address = await self.gateway.start(settings.listen, tls)
        scheme = "https" if tls is not None else "http"
        outside = settings.outside_advertise
        self.state.members.change_own(
            self.clock.now_s(),
            peer_address=settings.peer_advertise or peer_address,
            url=f"{scheme}://{settings.advertise or address}",
            outside_peer_address=settings.outside_peer_advertise,
            outside_url=f"{scheme}://{outside}" if outside else "",
        )
        route_address = ""
        if settings.route_listen:
            route_address = await self.table_routes.start(settings.route_listen)
        self.rounds.begin()
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
        """Stop as planned: readiness drops first, then nothing in flight is cut off."""
        settings = self.settings
        listeners: list[StoppingListener] = [self.gateway, self.table_routes.gateway]
        for listener in listeners:
            listener.announce_stop()
        self.state.members.change_own(self.clock.now_s(), stopping=True)
        await self.controller.step_down()
        within_s = None
        if settings.stop_longest_s is not None:
            within_s = settings.stop_readiness_s + settings.stop_longest_s
        await finish_requests(
            listeners, settings.stop_readiness_s, within_s, self.clock, lambda: self.work.count
        )
        await self._end_requests()
        await self.gossip.leave()
        await self._close_parts()

    async def close(self) -> None:
        """End at once; callers' requests first, while everything that serves them still runs."""
        await self._end_requests()
        await self._close_parts()

    async def _end_requests(self) -> None:
        """End what is left with the answers that are true of it, and record them."""
        await asyncio.gather(self.gateway.close(), self.table_routes.close())
        await self.work.close(RECORDS_WITHIN_S)

    async def _close_parts(self) -> None:
        """End what serves requests; none is left."""
        await self.rounds.end()
        await self.gossip.close()
        await self.exchange_server.close()
        await self.exchange_client.close()
        await self.executor.close()
        for part in (self.engine_client, self.control, self.spill, self.services, self.platform):
            await part.close()

    # Readiness ----------------------------------------------------------------------------

    def why_not_ready(self) -> str:
        """Return why the balancer should send nobody here, or an empty text."""
        return "" if self.keeper.loaded else "no table yet"

    # The table ----------------------------------------------------------------------------

    def _on_table(self, view: TableView) -> None:
        self.table_routes.take(view, self.clock.now_s())
        self.attestations.ttl_s = view.site.attestation_ttl_s
        self.claims.retention_s = view.site.claim_retention_s
        self.executor.budget.ratio = view.site.retry_budget_ratio
        self.services.budget.ratio = view.site.retry_budget_ratio
        self.update_limits()
        if self.settings.store != "embedded":
            _warn_of_demo_keys(view)

    def _claim_address(self) -> str | None:
        """Return the address of the daemon that writes this hall's claims, or None for this one."""
        working = self.state.members.working()
        if len(working) < RELAY_FROM_DAEMONS:
            self.claim_writer.wait_s = GROUP_WAIT_S
            return None
        self.claim_writer.wait_s = RELAYED_WAIT_S
        chosen = self.rounds.responsibilities.order(working, "claims/" + self.settings.hall)[0]
        if chosen == self.name:
            return None
        return require(self.state.members.get(chosen), chosen).peer_address

    # What the parts tell each other --------------------------------------------------------

    def _publish(self, placement: HallPlacement) -> None:
        if self.state.offer_placement(placement):
            self.gossip.spread()

    def _on_placement(self, placement: HallPlacement) -> None:
        self.controller.learn(placement)
        self.replica_loads.keep_only(placement)

    # Requests -----------------------------------------------------------------------------

    def known_demand(self) -> KnownDemand:
        """Return what is known of the demand elsewhere."""
        now_s = self.clock.now_s()
        halls = {
            hall: (now_s - summary.made_s, summary.demands)
            for hall, summary in self.state.halls.items()
        }
        daemons = {
            name: news.rates_per_s for name, news in self.state.demands.items() if name != self.name
        }
        live = len(self.state.members.live())
        return KnownDemand(self.settings.hall, self.name, daemons, live, halls)

    def update_limits(self) -> None:
        view = self.keeper.view
        if view is None:
            return
        now_s = self.clock.now_s()
        self.limits.update(view, now_s, self.known_demand(), len(view.halls) or 1)
        rates = self.limits.demands(view)
        self.state.offer_demand(DemandNews(self.name, now_s, rates))


def _peer_security(settings: Settings) -> PeerSecurity | None:
    if not settings.peer_certificate:
        return None
    return PeerSecurity(settings.peer_certificate, settings.peer_key, settings.peer_authority)


def _warn_of_demo_keys(view: TableView) -> None:
    """Complain of keys that everybody knows; they are refused all the same."""
    digests = set(view.site.operator_key_digests)
    for team in view.teams.values():
        digests.update(team.key_digests)
    if digests.intersection(DEMO_DIGESTS):
        log_event(_LOG, logging.ERROR, "demo_key_in_table", revision=view.revision)
