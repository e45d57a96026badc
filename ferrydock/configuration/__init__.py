"""Configurations that come whole: routes, services, teams, limits; what is in force."""

from ._current import CurrentConfiguration
from ._lookup import ConfigurationLookup
from ._model import (
    Configuration,
    EngineSpec,
    IngressLimits,
    ModelSpec,
    Route,
    RouteKind,
    ServiceSpec,
    Team,
    WeightedService,
)
from ._source import ConfigurationSource, ConfigurationUnchanged, ConfigurationUnreadable

__all__ = [
    "WeightedService",
    "Configuration",
    "CurrentConfiguration",
    "ConfigurationLookup",
    "ConfigurationSource",
    "ConfigurationUnchanged",
    "ConfigurationUnreadable",
    "EngineSpec",
    "IngressLimits",
    "ModelSpec",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "Team",
]
