"""Reads the operators' configuration and evacuations from the platform's store and decodes them.

Owns the store position at which the configuration read last was written, and the known revisions of
the evacuation keys. Names of the platform that
mislead: a ``tenant`` is a team, an ``unsafe`` route is one whose requests may run at most once,
``latency-goal-ms`` is the objective for the time to the first byte, ``warmup-s`` is the time to
load weights from the worker's own host.
"""

from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec
import orjson

from ..configuration import (
    ColdSpec,
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
from ..store import Compare, Position, Txn, TxnDone
from ..typed_json import Number
from ._decoding import get_or_log_default
from ._store import CONFIGURATION_KEY, EVACUATION_PREFIX, PlatformStore

__all__ = ["PlatformConfigurationSource", "parse_configuration"]

# Limit of the store on the entries of one transaction.
_MAX_TXN_ENTRIES = 32
_STREAMING = "streaming"
_SAFE = "safe"

MS_PER_S = 1000

# Values for fields that a configuration omits: the platform's documentation defines no defaults.
# The use of each is logged once.
_DEFAULT_PRIORITY = 5
_DEFAULT_ATTEMPTS = 1
_DEFAULT_CONNECTIONS = 100
# In effect no limit: more loads of weights than any site can start.
_DEFAULT_LOADS_PER_S = 1e6
_DEFAULT_RETAINED_MODELS = 1
_DEFAULT_PACE_FACTOR = 1.0

# Fields that ferrydock does not use. They are still checked: a configuration in which one of them
# is not a number is rejected completely, and the previous version stays in force.
_UNUSED_ENGINE_NUMBERS = (
    "step_ms",
    "per_seq_ms",
    "context_per_k",
    "read_per_s",
    "pairs_per_m",
)


Part = TypeVar("Part", Route, ServiceSpec, Team)


class PlatformConfigurationSource:
    """Reads the key ``op/config`` if it has changed since the last read.

    Parameters
    ----------
    halls : iterable of str, optional
        Halls whose evacuation keys are read as well; None if the deployment has no evacuations.

    Notes
    -----
    Each read is a transaction without writes whose condition is the revision that was read last.
    The store answers it with a few bytes if the key is unchanged, and with the new value otherwise.
    Unlike a watch, the answer also confirms that the value was the newest when the call began.

    The condition is valid in one era of the store: in the next era the same revision may stand for
    another value, so the value is read again.

    If the deployment has evacuations, the same transaction also expects the known revisions of
    their keys (0 for one that does not exist), so that one answer confirms both. The keys of more
    halls than fit into it are read by further transactions before it; the result then has the
    position of the first of them, since a key that it covers may change before the last.

    Reads may overlap. Each has its own copy of the known revisions, since its result must not mix
    them with those that another read learns meanwhile; the one that ends last leaves its copy, and
    the conditions of the next read show whether it is still right.
    """

    __slots__ = ("_evacuation_keys", "_evacuation_revisions", "_position", "_route_cache", "_store")

    def __init__(self, store: PlatformStore, halls: Iterable[str] | None = None):
        self._store = store
        self._evacuation_keys = (
            None if halls is None else tuple(EVACUATION_PREFIX + hall for hall in halls)
        )
        self._evacuation_revisions: dict[str, int] = {}
        self._position = Position()
        self._route_cache = RouteCache()

    async def read(self, is_on_new_connection: bool = False) -> ConfigurationRead | Unavailable:
        """Read the configuration; the result is at least as new as the start of this call."""
        if self._position.era != self._store.era:
            self._position = Position(self._store.era)
            self._evacuation_revisions = {}
        known, revisions = self._position, dict(self._evacuation_revisions)
        first_keys, *further_keys = self._evacuation_keys_by_txn()
        complete_to: Position | None = None
        for keys in further_keys:
            done = await self._transact(keys, known, revisions, is_on_new_connection)
            if isinstance(done, Unavailable):
                return done
            complete_to = complete_to or done.position
        all_keys = (CONFIGURATION_KEY, *first_keys)
        done = await self._transact(all_keys, known, revisions, is_on_new_connection)
        if isinstance(done, Unavailable):
            return done
        complete_to = complete_to or done.position
        if complete_to.era != done.era:
            return Unavailable("the store came back older between two transactions")
        self._evacuation_revisions = revisions
        evacuated = self._evacuated_halls(revisions)
        if done.succeeded:
            if known.revision == 0:
                return Unavailable("there is no configuration yet")
            return ConfigurationRead(ConfigurationUnchanged(), complete_to, known, evacuated)
        return self._decode_refused(done, known, complete_to, evacuated)

    def _decode_refused(
        self,
        done: TxnDone,
        known: Position,
        complete_to: Position,
        evacuated: frozenset[str] | None,
    ) -> ConfigurationRead | Unavailable:
        """Return what the store answered to a transaction whose conditions did not hold."""
        item = done.reads[0]
        if item is None:
            missing = ConfigurationUnreadable(f"{CONFIGURATION_KEY} is not there any more")
            return ConfigurationRead(missing, complete_to, evacuated_halls=evacuated)
        written = Position(done.era, item.mod_revision)
        if written < known:
            return Unavailable("the store answered with an older revision")
        if evacuated is not None and written == known:  # only an evacuation has changed
            return ConfigurationRead(ConfigurationUnchanged(), complete_to, known, evacuated)
        decoded = self.decode(item.value)
        if isinstance(decoded, Configuration):
            self._position = max(self._position, written)
        return ConfigurationRead(decoded, complete_to, written, evacuated)

    def _evacuation_keys_by_txn(self) -> list[tuple[str, ...]]:
        """Return the evacuation keys of each transaction; the first also has the configuration."""
        keys = self._evacuation_keys or ()
        first_count = _MAX_TXN_ENTRIES - 1
        starts = range(first_count, len(keys), _MAX_TXN_ENTRIES)
        return [keys[:first_count], *(keys[i : i + _MAX_TXN_ENTRIES] for i in starts)]

    async def _transact(
        self,
        keys: tuple[str, ...],
        known: Position,
        evacuation_revisions: dict[str, int],
        is_on_new_connection: bool,
    ) -> TxnDone | Unavailable:
        """Make a transaction that expects the known revisions of `keys` and writes nothing.

        Updates the known revisions of the evacuation keys among them; those of an older era are
        dropped.
        """
        revisions = {**evacuation_revisions, CONFIGURATION_KEY: known.revision}
        conditions = tuple(Compare(key, revisions.get(key, 0)) for key in keys)
        txn = Txn(conditions, (), keys, known.era)
        done = await self._store.transact(txn, is_on_new_connection=is_on_new_connection)
        if isinstance(done, Unavailable | Unknown):
            return Unavailable(done.reason)
        if not done.succeeded:
            if done.era != known.era:
                evacuation_revisions.clear()
            for key, item in zip(keys, done.reads, strict=True):
                if key != CONFIGURATION_KEY:
                    evacuation_revisions[key] = item.mod_revision if item else 0
        return done

    def _evacuated_halls(self, revisions: Mapping[str, int]) -> frozenset[str] | None:
        """Return the halls whose evacuation keys exist; None if the deployment has none."""
        if self._evacuation_keys is None:
            return None
        return frozenset(
            key.removeprefix(EVACUATION_PREFIX) for key, revision in revisions.items() if revision
        )

    def decode(self, encoded: bytes) -> Configuration | ConfigurationUnreadable:
        """Decode a configuration as it is stored; it may have been received from another daemon."""
        try:
            return parse_configuration(encoded, self._route_cache)
        except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
            return ConfigurationUnreadable(f"{CONFIGURATION_KEY}: {type(error).__name__} {error}")


class RouteCache:
    """Routes of the configuration decoded last; unchanged routes are not decoded again.

    Configurations can follow each other every 0.1 s, each with a thousand routes of which a few
    differ. Callers of a daemon on half a core wait while it decodes.
    """

    __slots__ = ("_routes_by_encoded",)

    def __init__(self):
        self._routes_by_encoded: dict[bytes, Route] = {}

    def decode(self, entries: Iterable[Mapping]) -> tuple[Route, ...]:
        """Decode the routes of a configuration; raises the same errors as `parse_configuration`."""
        cached, routes_by_encoded = self._routes_by_encoded, {}
        for entry in entries:
            encoded = orjson.dumps(entry)
            routes_by_encoded[encoded] = cached.get(encoded) or _checked(_parse_route(entry))
        self._routes_by_encoded = routes_by_encoded
        return tuple(routes_by_encoded.values())


def parse_configuration(value: bytes, route_cache: RouteCache | None = None) -> Configuration:
    """Decode a stored configuration.

    Parameters
    ----------
    route_cache : RouteCache, optional
        Cache with the routes of the previous configuration, which this call updates.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError, RecursionError
        If a field is missing, of the wrong type or nested too deeply.
    """
    fields = orjson.loads(value)
    return Configuration(
        version=msgspec.convert(int(fields["version"]), Number),
        routes=(route_cache or RouteCache()).decode(fields["routes"]),
        services={
            service["name"]: _checked(_parse_service(service)) for service in fields["services"]
        },
        teams=tuple(_checked(_parse_team(team)) for team in fields.get("tenants") or ()),
        limits=_parse_limits(fields.get("limits") or {}),
        encoded=value,
    )


def _checked(part: Part) -> Part:
    """Return a part of a configuration; raise ValueError if a field has no declared type."""
    return msgspec.convert(msgspec.to_builtins(part), type(part))


def _check_numbers(fields: Mapping, names: tuple[str, ...]) -> None:
    """Raise ValueError or TypeError if one of the named fields is present and is not a number."""
    for name in names:
        float(fields.get(name) or 0)


def _parse_route(fields: Mapping) -> Route:
    backends = fields.get("backends")
    if backends:
        services = tuple(
            WeightedService(backend["service"], float(backend["weight"])) for backend in backends
        )
    else:
        services = (WeightedService(fields["service"], 1.0),)
    time_limit_ms = fields["timeout-ms"]
    return Route(
        name=fields["name"],
        host=fields["host"],
        path_prefix=fields["path-prefix"],
        kind=_parse_route_kind(fields),
        services=services,
        time_limit_s=time_limit_ms / MS_PER_S,
        attempts=int(get_or_log_default("route", fields, "max-attempts", _DEFAULT_ATTEMPTS)),
        priority=int(get_or_log_default("route", fields, "priority", _DEFAULT_PRIORITY)),
        first_answer_s=get_or_log_default("route", fields, "latency-goal-ms", time_limit_ms)
        / MS_PER_S,
        public=bool(fields.get("public", False)),
        max_pause_s=float(fields.get("gap-target-ms") or float("inf")) / MS_PER_S,
    )


def _parse_route_kind(fields: Mapping) -> RouteKind:
    if fields["route-type"] == _STREAMING:
        return RouteKind.RESUMABLE_STREAM if fields.get("resumable") else RouteKind.STREAM
    return RouteKind.REPEATABLE if fields["route-type"] == _SAFE else RouteKind.AT_MOST_ONCE


def _parse_service(fields: Mapping) -> ServiceSpec:
    engine = fields.get("engine")
    connections = get_or_log_default("service", fields, "max-conns", _DEFAULT_CONNECTIONS)
    return ServiceSpec(
        name=fields["name"],
        max_connections=int(connections or _DEFAULT_CONNECTIONS),
        engine=_parse_engine(engine) if engine else None,
        cold=_parse_cold(fields),
    )


def _parse_cold(fields: Mapping) -> ColdSpec | None:
    """Return what cold workers of a service bear; None if the configuration sets no rate."""
    rate_per_s = float(fields.get("cold-per-s") or 0)
    start_s = float(fields.get("cold-start-s") or 0)
    return ColdSpec(rate_per_s, start_s) if rate_per_s > 0 else None


def _parse_engine(fields: Mapping) -> EngineSpec:
    int(fields["kv-capacity"])  # not used, but a configuration without it is rejected
    _check_numbers(fields, _UNUSED_ENGINE_NUMBERS)
    loads_per_s = get_or_log_default("engine", fields, "loads-per-s", _DEFAULT_LOADS_PER_S)
    return EngineSpec(
        slots=int(fields["slots"]),
        loads_per_s=float(loads_per_s or _DEFAULT_LOADS_PER_S),
        models=tuple(_parse_model(model) for model in fields.get("models") or ()),
        loads_at_once=int(fields.get("loads_at_once") or 0),
        retained_models=int(fields.get("retains") or _DEFAULT_RETAINED_MODELS),
        form_s=float(fields.get("form-ms") or 0) / MS_PER_S,
    )


def _parse_model(fields: Mapping) -> ModelSpec:
    return ModelSpec(
        name=fields["name"],
        size=int(get_or_log_default("model", fields, "size", 1)),
        share=float(get_or_log_default("model", fields, "share", 1.0)),
        load_s=float(get_or_log_default("model", fields, "load-s", 0)),
        warm_s=float(get_or_log_default("model", fields, "warmup-s", 0)),
        pace=float(fields.get("pace") or _DEFAULT_PACE_FACTOR),
    )


def _parse_team(fields: Mapping) -> Team:
    return Team(
        fields["name"],
        frozenset(fields.get("api-keys") or ()),
        int(get_or_log_default("tenant", fields, "priority", _DEFAULT_PRIORITY)),
    )


def _parse_limits(fields: Mapping) -> IngressLimits:
    defaults = IngressLimits()
    header_ms = fields.get("header-timeout-ms", defaults.header_timeout_s * MS_PER_S)
    idle_ms = fields.get("idle-timeout-ms", defaults.idle_timeout_s * MS_PER_S)
    return IngressLimits(
        header_bytes=int(fields.get("max-header-bytes", defaults.header_bytes)),
        body_bytes=int(fields.get("max-body-bytes", defaults.body_bytes)),
        header_timeout_s=header_ms / MS_PER_S,
        idle_timeout_s=idle_ms / MS_PER_S,
    )
