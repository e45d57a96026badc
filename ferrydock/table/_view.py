"""Typed rows of one revision of the table, as the other packages read them."""

import fnmatch
from dataclasses import dataclass, field

# Highest value that the table permits for `requests_per_s` and `concurrency`: no limit.
UNLIMITED_REQUESTS = 1_000_000

__all__ = ["Model", "RouteRow", "Share", "Site", "TableView", "Target", "Team"]


@dataclass(frozen=True, slots=True)
class Site:
    """The only row of sheet ``site``; `ferrydock.table.SHEETS` documents the cells."""

    downtime_weight: float
    stranded_weight: float
    attestation_ttl_s: float
    probe_interval_s: float
    lease_ttl_s: float
    settle_s: float
    member_wait_s: float
    concurrent_loads: int
    claim_retention_s: float
    queue_wait_s: float
    retry_budget_ratio: float
    operator_key_digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Hall:
    """A row of sheet ``halls``."""

    name: str
    region: str
    serving: bool
    distance_ms: float


@dataclass(frozen=True, slots=True)
class Model:
    """A row of sheet ``models``."""

    name: str
    version: str
    weight_bytes: int
    boxes_per_replica: int
    replicas_per_hall: int
    halls: tuple[str, ...]
    priority: int
    slots_per_replica: int
    first_token_objective_ms: int
    between_tokens_objective_ms: int
    objective_ratio: float
    whole_objective_ratio: float

    def replicas_in(self, hall: str) -> int:
        """Return the number of replicas wanted in `hall`."""
        return self.replicas_per_hall if not self.halls or hall in self.halls else 0


@dataclass(frozen=True, slots=True)
class Team:
    """A row of sheet ``teams``."""

    name: str
    key_digests: tuple[str, ...]
    enabled: bool


@dataclass(frozen=True, slots=True)
class Share:
    """A row of sheet ``shares``."""

    name: str
    team: str
    model: str
    weight: float
    requests_per_s: float
    burst_requests: int
    concurrency: int
    priority: int
    first_token_objective_ms: int
    between_tokens_objective_ms: int

    @property
    def limited(self) -> bool:
        """Whether the request rate or the concurrency is limited."""
        return self.requests_per_s < UNLIMITED_REQUESTS or self.concurrency < UNLIMITED_REQUESTS


@dataclass(frozen=True, slots=True)
class Target:
    """A row of sheet ``targets``."""

    name: str
    kind: str
    hall: str
    urls: tuple[str, ...]
    boxes: tuple[str, ...]
    checks_orders: bool
    leaving: bool
    repeatable_methods: tuple[str, ...]
    timeout_s: float
    max_attempts: int

    def covers(self, box: str) -> bool:
        """Return whether `box` matches the `boxes` of this group of model engines."""
        return any(fnmatch.fnmatchcase(box, pattern) for pattern in self.boxes)


@dataclass(frozen=True, slots=True)
class RouteRow:
    """A row of sheet ``routes``."""

    name: str
    host: str
    path_prefix: str
    back_ends: tuple[tuple[str, float], ...]
    kind: str
    time_limit_ms: int
    attempts: int
    priority: int
    first_answer_objective_ms: int
    gap_objective_ms: int
    public: bool


@dataclass(frozen=True, slots=True)
class TableView:
    """All typed rows of one revision."""

    revision: int
    site: Site
    halls: dict[str, Hall] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    shares: dict[str, Share] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    routes: dict[str, RouteRow] = field(default_factory=dict)

    def share_of(self, team: str, model: str) -> Share | None:
        """Return the row of `shares` for the pair, or None."""
        return next((s for s in self.shares.values() if s.team == team and s.model == model), None)

    def checks_orders(self, box: str) -> bool:
        """Return whether the engine on `box` refuses orders whose fence is outdated.

        This is assumed of a box that no row of sheet ``targets`` covers.
        """
        groups = [t for t in self.targets.values() if t.kind == "model_engine" and t.covers(box)]
        return all(group.checks_orders for group in groups)

    def box_leaving(self, box: str) -> bool:
        """Return whether a row of sheet ``targets`` that covers `box` marks it as leaving."""
        groups = [t for t in self.targets.values() if t.kind == "model_engine" and t.covers(box)]
        return any(group.leaving for group in groups)

    def plain_service(self, name: str) -> Target | None:
        """Return the plain service called `name`, or None."""
        target = self.targets.get(name)
        return target if target is not None and target.kind == "plain_service" else None


ROW_TYPES = {
    "site": Site,
    "halls": Hall,
    "models": Model,
    "teams": Team,
    "shares": Share,
    "targets": Target,
    "routes": RouteRow,
}
