"""The operator's configuration, read from the platform's store and decoded.

Owns the position at which the value that was read last was written. Names of the platform that
mislead: a ``tenant`` is a team, ``unsafe`` is a route whose requests may run once only,
``latency-goal-ms`` is the objective for the first byte, ``warmup-s`` loads weights from the
worker's own host.
"""

from collections.abc import Iterable, Mapping

import orjson

from ..configuration import (
    Configuration,
    ConfigurationRead,
    ConfigurationUnchanged,
    ConfigurationUnreadable,
    EngineSpec,
    IngressLimits,
    ModelSpec,
    Route,
    RouteKind,
    ServiceSpec,
    Team,
    WeightedService,
)
from ..outcomes import Unavailable, Unknown
from ..store import Compare, Position, Txn
from ._decoding import assumed
from ._store import PlatformStore

__all__ = ["PlatformConfigurationSource", "parse_configuration"]

_KEY = "op/config"
_STREAMING = "streaming"
_SAFE = "safe"

# The platform gives times in milliseconds.
MS_PER_S = 1000

# What is assumed where a configuration does not say; each is logged once. The pages name no
# defaults. Chosen, not measured.
_ASSUMED_PRIORITY = 5
_ASSUMED_ATTEMPTS = 1
_ASSUMED_CONNECTIONS = 100
# No limit: more than any site could begin.
_ASSUMED_LOADS_PER_S = 1e6

# Numbers that no decision reads. They are still checked, so that a configuration with a bad one is
# refused as a whole and the version in force stays.
_UNUSED_ENGINE_NUMBERS = (
    "step_ms",
    "per_seq_ms",
    "context_per_k",
    "read_per_s",
    "pairs_per_m",
    "retains",
    "form-ms",
)
_UNUSED_MODEL_NUMBERS = ("pace",)


class PlatformConfigurationSource:
    """Reads ``op/config`` by a condition on its revision.

    Notes
    -----
    A transaction that writes nothing and expects the revision that was read last is answered with
    a few bytes while nothing has changed, and with the new value otherwise. Unlike a watch it also
    tells that the value was the newest when the call began.

    The condition holds in one era of the store: in the next, the same revision may stand for
    another value, so the value is read again.
    """

    __slots__ = ("_position", "_routes", "_store")

    def __init__(self, store: PlatformStore):
        self._store = store
        self._position = Position()
        self._routes = KnownRoutes()

    async def read(self) -> ConfigurationRead | Unavailable:
        """Read the newest configuration, certainly no older than the start of this call."""
        if self._position.era != self._store.era:
            self._position = Position(self._store.era)
        known = self._position
        condition = Compare(_KEY, known.revision)
        done = await self._store.transact(Txn((condition,), (), (_KEY,), known.era))
        if isinstance(done, Unavailable | Unknown):
            return Unavailable(done.reason)
        if done.succeeded:
            if known.revision == 0:
                return Unavailable("there is no configuration yet")
            return ConfigurationRead(ConfigurationUnchanged(), done.position, known)
        item = done.reads[0]
        if item is None:
            missing = ConfigurationUnreadable(f"{_KEY} is not there any more")
            return ConfigurationRead(missing, done.position)
        written = Position(done.era, item.mod_revision)
        if written < known:
            return Unavailable("the store answered with an older revision")
        decoded = self.decode(item.value)
        if isinstance(decoded, Configuration):
            self._position = written
        return ConfigurationRead(decoded, done.position, written)

    def decode(self, encoded: bytes) -> Configuration | ConfigurationUnreadable:
        """Decode a stored value, also one that another daemon passed on."""
        try:
            return parse_configuration(encoded, self._routes)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return ConfigurationUnreadable(f"{_KEY}: {type(error).__name__} {error}")


class KnownRoutes:
    """Routes as they were decoded last, so that those which stand as before are not decoded again.

    Answers configurations that follow each other every 0.1 s, each with a thousand routes of which
    a few differ: callers of a daemon on half a core wait while it decodes.
    """

    __slots__ = ("_by_encoded",)

    def __init__(self):
        self._by_encoded: dict[bytes, Route] = {}

    def decode(self, entries: Iterable[Mapping]) -> tuple[Route, ...]:
        """Return the routes of a configuration; raises as `parse_configuration`."""
        before, found = self._by_encoded, {}
        for entry in entries:
            encoded = orjson.dumps(entry)
            found[encoded] = before.get(encoded) or _route(entry)
        self._by_encoded = found
        return tuple(found.values())


def parse_configuration(value: bytes, known: KnownRoutes | None = None) -> Configuration:
    """Return the configuration in a stored value.

    Parameters
    ----------
    known : KnownRoutes, optional
        Routes of the configurations before it.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        If a field is missing or of the wrong type.
    """
    fields = orjson.loads(value)
    return Configuration(
        version=int(fields["version"]),
        routes=(known or KnownRoutes()).decode(fields["routes"]),
        services={service["name"]: _service(service) for service in fields["services"]},
        teams=tuple(_team(team) for team in fields.get("tenants") or ()),
        limits=_limits(fields.get("limits") or {}),
        encoded=value,
    )


def _check_unused(fields: Mapping, names: tuple[str, ...]) -> None:
    """Raise ValueError or TypeError if one of the named fields is there and is no number."""
    for name in names:
        float(fields.get(name) or 0)


def _route(fields: Mapping) -> Route:
    split = fields.get("backends")
    if split:
        services = tuple(WeightedService(part["service"], float(part["weight"])) for part in split)
    else:
        services = (WeightedService(fields["service"], 1.0),)
    time_limit_ms = fields["timeout-ms"]
    return Route(
        name=fields["name"],
        host=fields["host"],
        path_prefix=fields["path-prefix"],
        kind=_kind(fields),
        services=services,
        time_limit_s=time_limit_ms / MS_PER_S,
        attempts=int(assumed("route", fields, "max-attempts", _ASSUMED_ATTEMPTS)),
        priority=int(assumed("route", fields, "priority", _ASSUMED_PRIORITY)),
        first_answer_s=assumed("route", fields, "latency-goal-ms", time_limit_ms) / MS_PER_S,
        public=bool(fields.get("public", False)),
        max_pause_s=float(fields.get("gap-target-ms") or float("inf")) / MS_PER_S,
    )


def _kind(fields: Mapping) -> RouteKind:
    if fields["route-type"] == _STREAMING:
        return RouteKind.RESUMABLE_STREAM if fields.get("resumable") else RouteKind.STREAM
    return RouteKind.REPEATABLE if fields["route-type"] == _SAFE else RouteKind.AT_MOST_ONCE


def _service(fields: Mapping) -> ServiceSpec:
    engine = fields.get("engine")
    connections = assumed("service", fields, "max-conns", _ASSUMED_CONNECTIONS)
    return ServiceSpec(
        name=fields["name"],
        max_connections=int(connections or _ASSUMED_CONNECTIONS),
        engine=_engine(engine) if engine else None,
    )


def _engine(fields: Mapping) -> EngineSpec:
    int(fields["kv-capacity"])  # unused, but a configuration without it is refused
    _check_unused(fields, _UNUSED_ENGINE_NUMBERS)
    loads_per_s = assumed("engine", fields, "loads-per-s", _ASSUMED_LOADS_PER_S)
    return EngineSpec(
        slots=int(fields["slots"]),
        loads_per_s=float(loads_per_s or _ASSUMED_LOADS_PER_S),
        models=tuple(_model(model) for model in fields.get("models") or ()),
    )


def _model(fields: Mapping) -> ModelSpec:
    _check_unused(fields, _UNUSED_MODEL_NUMBERS)
    return ModelSpec(
        name=fields["name"],
        size=int(assumed("model", fields, "size", 1)),
        share=float(assumed("model", fields, "share", 1.0)),
        load_s=float(assumed("model", fields, "load-s", 0)),
        warm_s=float(assumed("model", fields, "warmup-s", 0)),
    )


def _team(fields: Mapping) -> Team:
    return Team(
        fields["name"],
        frozenset(fields.get("api-keys") or ()),
        int(assumed("tenant", fields, "priority", _ASSUMED_PRIORITY)),
    )


def _limits(fields: Mapping) -> IngressLimits:
    usual = IngressLimits()
    header_ms = fields.get("header-timeout-ms", usual.header_timeout_s * MS_PER_S)
    idle_ms = fields.get("idle-timeout-ms", usual.idle_timeout_s * MS_PER_S)
    return IngressLimits(
        header_bytes=int(fields.get("max-header-bytes", usual.header_bytes)),
        body_bytes=int(fields.get("max-body-bytes", usual.body_bytes)),
        header_timeout_s=header_ms / MS_PER_S,
        idle_timeout_s=idle_ms / MS_PER_S,
    )
