"""Configurations that come whole: routes, services, tenants, limits; what is in force."""

from ._current import ConfigurationBook
from ._lookup import ConfigurationLookup
from ._model import (
    BackEnd,
    Configuration,
    EngineFigures,
    IngressLimits,
    ModelFigures,
    Route,
    RouteKind,
    ServiceFigures,
    Tenant,
)
from ._source import ConfigurationSource, ConfigurationUnchanged, ConfigurationUnreadable

__all__ = [
    "BackEnd",
    "Configuration",
    "ConfigurationBook",
    "ConfigurationLookup",
    "ConfigurationSource",
    "ConfigurationUnchanged",
    "ConfigurationUnreadable",
    "EngineFigures",
    "IngressLimits",
    "ModelFigures",
    "Route",
    "RouteKind",
    "ServiceFigures",
    "Tenant",
]
