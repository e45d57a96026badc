"""The typed form of a configuration: routes, services, teams and limits; immutable data.

Every time has its unit in its name. An adapter decodes its own format into these types.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "ColdSpec",
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
    """Whether a request of a route may run more than once, and whether its answer is a stream."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be sent again when its outcome is unknown."""
        return self in (RouteKind.REPEATABLE, RouteKind.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services of a route, and its weight in the random choice among them."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services to which requests of one host and path prefix are sent, and their limits.

    Attributes
    ----------
    first_answer_s : float
        Objective for the time to the first byte of an answer.
    services : tuple of WeightedService
        One of them is drawn at random, by weight, for each request.
    time_limit_s : float
        Longest time until an answer is complete.
    attempts : int
        Maximum number of targets that one request may be sent to.
    priority : int
        0 is the most urgent.
    public : bool
        Whether requests need no key.
    max_pause_s : float
        Longest pause between two events of a stream that counts as in time; infinite for no limit.
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
        Number of targets that form one replica.
    share : float
        Expected share of the service's requests, relative to the other models.
    load_s, warm_s : float
        Time to load the weights from the weight store, and from the target's own host.
    pace : float
        Factor on all times of the model's replicas; 1 for the times of the engine as stated.
    """

    name: str
    size: int
    share: float
    load_s: float
    warm_s: float
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """The configuration of a service's engines.

    Attributes
    ----------
    slots : int
        Number of requests that a replica works on concurrently.
    loads_per_s : float
        Maximum number of loads from the weight store that may begin per second on the whole site.
    loads_at_once : int
        Number of loads that run at full speed at the same time on the whole site. If more run, each
        takes proportionally longer. 0 if the configuration does not say.
    retained_models : int
        Number of models whose weights a host keeps; the one staged last displaces the oldest.
    form_s : float
        Time until a replica serves after its head has been opened.
    """

    slots: int
    loads_per_s: float
    models: tuple[ModelSpec, ...]
    loads_at_once: int = 0
    retained_models: int = 1
    form_s: float = 0.0

    def model(self, name: str) -> ModelSpec | None:
        """Return the spec of a model, or None if the service has no such model."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class ColdSpec:
    """What the targets of a service bear while they are cold, after a start.

    Attributes
    ----------
    rate_per_s : float
        Requests a second that a cold target bears from all daemons together.
    start_s : float
        Time for which a target stays cold after it has started.
    """

    rate_per_s: float
    start_s: float


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service that routes refer to.

    Attributes
    ----------
    max_connections : int
        Number of connections that one of its targets accepts, from all daemons together.
    engine : EngineSpec or None
        None for a plain service, whose targets form no replicas.
    cold : ColdSpec or None
        None if targets of the service bear as much after a start as at any time.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    cold: ColdSpec | None = None


@dataclass(frozen=True, slots=True)
class Team:
    """A team of callers, identified by its keys; `priority` 0 is the most urgent."""

    name: str
    keys: frozenset[str]
    priority: int


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on the size of a request, the time for sending its headers, and idle connections.

    The defaults apply where a configuration sets no limit.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the configuration; later versions have higher numbers.

    Attributes
    ----------
    encoded : bytes
        The stored value that it was decoded from, for relaying to other daemons; empty if it was
        created in this process.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    teams: tuple[Team, ...]
    limits: IngressLimits = field(default_factory=IngressLimits)
    encoded: bytes = field(default=b"", repr=False, compare=False)
