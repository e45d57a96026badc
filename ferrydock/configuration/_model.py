"""The typed form of a configuration: routes, services, teams, limits. Data only, no state.

Every number has its unit in its name; an adapter decodes its own format into these types.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "WeightedService",
    "Configuration",
    "EngineSpec",
    "IngressLimits",
    "ModelSpec",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "Team",
]


class RouteKind(StrEnum):
    """How often a request of a route may run, and what kind of answer it gets."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def is_repeatable(self) -> bool:
        """Whether a request whose end is unknown may be sent again."""
        return self in (RouteKind.REPEATABLE, RouteKind.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services behind a route, with its weight among them."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and within which bounds.

    Attributes
    ----------
    first_answer_s : float
        Objective for the time to the first byte of an answer.
    services : tuple of WeightedService
        One of them is drawn for each request.
    time_limit_s : float
        Longest time for a whole answer.
    attempts : int
        How many targets one request may be sent to at most.
    priority : int
        0 is the most urgent.
    public : bool
        Whether a request needs no key.
    max_pause_s : float
        Longest pause between two events with which a stream is still in time; infinite for none.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    time_limit_s: float
    attempts: int
    priority: int
    first_answer_s: float
    public: bool
    max_pause_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model of a service: how many targets form a replica, and how long that takes.

    Attributes
    ----------
    size : int
        Targets of one replica.
    share : float
        Expected part of the service's requests, relative to the other models.
    load_s, warm_s : float
        Time to load the weights from their store, and from the target's own host.
    """

    name: str
    size: int
    share: float
    load_s: float
    warm_s: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What is configured of the engines of a service.

    Attributes
    ----------
    slots : int
        Requests that a replica works on at a time.
    loads_per_s : float
        Loads from the weight store that may begin in a second, on the whole site.
    """

    slots: int
    loads_per_s: float
    models: tuple[ModelSpec, ...]

    def model(self, name: str) -> ModelSpec | None:
        """Return the spec of a model, or None if the service has no such model."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service behind routes.

    Attributes
    ----------
    max_connections : int
        Connections that one of its targets accepts, from all daemons together.
    engine : EngineSpec or None
        None for a plain service, whose targets form no replicas.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class Team:
    """A team of callers, known by its keys; `priority` 0 is the most urgent."""

    name: str
    keys: frozenset[str]
    priority: int


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """What a caller may send, how long its head may take and its connection may rest.

    The defaults stand where a configuration names no limit. Chosen, not measured.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole version. Versions only rise.

    Attributes
    ----------
    encoded : bytes
        The stored value it was decoded from, to be passed on to other daemons; empty if it was
        built in this process.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    teams: tuple[Team, ...]
    limits: IngressLimits = field(default_factory=IngressLimits)
    encoded: bytes = field(default=b"", repr=False, compare=False)
