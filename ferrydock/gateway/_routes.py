"""Routes of the operators' table, served on a listener of their own by `ferrydock.forwarding`.

Owns the parts of that gateway; the routes come from the table revision in force.
"""

import random

from ..clock import Clock
from ..configuration import (
    Configuration,
    CurrentConfiguration,
    Route,
    RouteKind,
    ServiceSpec,
    Team,
    WeightedService,
)
from ..crashes import CrashHistory
from ..forwarding import (
    AttemptRunner,
    CrashGuard,
    EndpointSelector,
    Forwarder,
    RouteGateway,
    TargetLoads,
    Upstream,
)
from ..retry_budget import DEFAULT_RETRY_RATIO, RetryBudget
from ..route_metrics import RouteMetrics
from ..scheduling import EndpointCatalog
from ..table import TableView
from ..targets import Target, TargetDirectory
from ._route_dialect import OwnDialect

__all__ = ["TableRoutes", "configuration_of", "targets_of"]


# Keys on these routes need no recent confirmation: the bound on revoked keys is the route daemon's.
ALWAYS_FRESH_S = float("inf")

# Requests that an address of a plain service gets at a time, and its connections: the table does
# not say how many it takes. Chosen, not measured.
SLOTS_OF_A_SERVICE = 256

# Priority of teams on routes; the table gives teams none. In the table 9 is the most urgent, in a
# `Configuration` 0 is.
DEFAULT_PRIORITY = 5
HIGHEST_PRIORITY = 9


def configuration_of(view: TableView) -> Configuration:
    """Return the routes, services and teams of a table as one configuration."""
    routes = tuple(
        Route(
            name=row.name,
            host=row.host,
            path_prefix=row.path_prefix,
            kind=RouteKind(row.kind),
            services=tuple(WeightedService(service, weight) for service, weight in row.back_ends),
            time_limit_s=row.time_limit_ms / 1000,
            attempts=row.attempts,
            priority=HIGHEST_PRIORITY - row.priority,
            first_answer_s=row.first_answer_objective_ms / 1000,
            public=row.public,
        )
        for row in view.routes.values()
    )
    services = {
        target.name: ServiceSpec(target.name, SLOTS_OF_A_SERVICE, None)
        for target in view.targets.values()
        if target.kind == "plain_service"
    }
    teams = tuple(
        Team(team.name, frozenset(team.key_digests), DEFAULT_PRIORITY)
        for team in view.teams.values()
        if team.enabled
    )
    return Configuration(view.revision, routes, services, teams)


def targets_of(view: TableView) -> list[Target]:
    """Return the addresses of all plain services as targets."""
    return [
        Target(
            target_id=f"{row.name}@{url}",
            service=row.name,
            address=url.split("://", 1)[1].split("/", 1)[0],
            hall=row.hall,
            slots=SLOTS_OF_A_SERVICE,
            draining=row.leaving,
        )
        for row in view.targets.values()
        if row.kind == "plain_service"
        for url in row.urls
    ]


class TableRoutes:
    """A gateway for the routes of the table.

    Parameters
    ----------
    hall : str
        Whose targets are preferred.
    """

    __slots__ = ("_budgets", "crashes", "current", "directory", "gateway", "ratio", "upstream")

    def __init__(self, hall: str, clock: Clock, rng: random.Random):
        self.current = CurrentConfiguration()
        self.directory = TargetDirectory()
        self.upstream = Upstream()
        self.ratio = DEFAULT_RETRY_RATIO
        self._budgets: dict[str, RetryBudget] = {}
        loads = TargetLoads()
        selector = EndpointSelector(EndpointCatalog(self.directory), loads, hall, clock, rng)
        dialect = OwnDialect()
        metrics = RouteMetrics()
        attempts = AttemptRunner(selector, self.upstream, loads, dialect, clock, metrics)
        self.crashes = CrashGuard(CrashHistory(clock), self.directory, metrics, clock)
        forwarder = Forwarder(attempts, self._budget, self.crashes, clock)
        self.gateway = RouteGateway(
            self.current, forwarder, dialect, lambda: ALWAYS_FRESH_S, clock, rng
        )

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.setdefault(service, RetryBudget(self.ratio))
        budget.ratio = self.ratio
        return budget

    def take(self, view: TableView, now_s: float) -> None:
        """Put a revision of the table in force."""
        self.ratio = view.site.retry_budget_ratio
        self.directory.replace(targets_of(view))
        self.current.apply_if_newer(configuration_of(view), now_s)

    async def start(self, listen: str) -> str:
        """Begin to listen; return the address."""
        await self.gateway.start(listen)
        return self.gateway.address

    async def close(self) -> None:
        """Stop listening."""
        await self.gateway.close()
        await self.upstream.close()
        await self.crashes.close()
