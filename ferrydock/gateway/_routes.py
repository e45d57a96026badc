"""Routes of the operators' table, served on a separate listener by `ferrydock.forwarding`.

Builds and owns that gateway and its parts; the routes come from the table revision in force.
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
from ._route_dialect import FerrydockDialect

__all__ = ["TableRoutes", "configuration_of", "targets_of"]


# Keys on these routes need no recently confirmed configuration: only the route daemon limits how
# long a revoked key stays accepted.
UNLIMITED_AGE_S = float("inf")

# Concurrent requests and connections per address of a plain service; the table gives no capacity.
SLOTS_PER_ADDRESS = 256

# The table gives teams no priority. In the table 9 is the most urgent, in a `Configuration` 0 is.
DEFAULT_PRIORITY = 5
HIGHEST_PRIORITY = 9


def configuration_of(view: TableView) -> Configuration:
    """Convert the routes, services and teams of a table to a configuration."""
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
        target.name: ServiceSpec(target.name, SLOTS_PER_ADDRESS, None)
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
            slots=SLOTS_PER_ADDRESS,
            draining=row.leaving,
        )
        for row in view.targets.values()
        if row.kind == "plain_service"
        for url in row.urls
    ]


class TableRoutes:
    """The gateway for the routes of the operators' table.

    Parameters
    ----------
    hall : str
        Hall whose targets are preferred.
    """

    __slots__ = (
        "_retry_budgets",
        "crashes",
        "current",
        "directory",
        "gateway",
        "retry_ratio",
        "upstream",
    )

    def __init__(self, hall: str, clock: Clock, rng: random.Random):
        self.current = CurrentConfiguration()
        self.directory = TargetDirectory()
        self.upstream = Upstream()
        self.retry_ratio = DEFAULT_RETRY_RATIO
        self._retry_budgets: dict[str, RetryBudget] = {}
        loads = TargetLoads()
        selector = EndpointSelector(EndpointCatalog(self.directory), loads, hall, clock, rng)
        dialect = FerrydockDialect()
        metrics = RouteMetrics()
        attempts = AttemptRunner(selector, self.upstream, loads, dialect, clock, metrics)
        self.crashes = CrashGuard(CrashHistory(clock), self.directory, metrics, clock)
        forwarder = Forwarder(attempts, self._retry_budget, self.crashes, clock)
        self.gateway = RouteGateway(
            self.current, forwarder, dialect, lambda: UNLIMITED_AGE_S, clock, rng
        )

    def _retry_budget(self, service: str) -> RetryBudget:
        retry_budget = self._retry_budgets.setdefault(service, RetryBudget(self.retry_ratio))
        retry_budget.ratio = self.retry_ratio
        return retry_budget

    def apply_table(self, view: TableView, now_s: float) -> None:
        """Apply a revision of the table."""
        self.retry_ratio = view.site.retry_budget_ratio
        self.directory.replace(targets_of(view))
        self.current.apply_if_newer(configuration_of(view), now_s)

    async def start(self, listen: str) -> str:
        """Listen on ``IP:PORT``; return the bound address."""
        await self.gateway.start(listen)
        return self.gateway.address

    async def close(self) -> None:
        """Stop listening and close the connections to targets."""
        await self.gateway.close()
        await self.upstream.close()
        await self.crashes.close()
