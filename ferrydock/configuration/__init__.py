"""The configuration: routes, services, teams and limits, published as complete versions.

This package holds its typed form (`_model`), the interface to its source (`_source`), look-ups
(`_lookup`), the version in force (`_current`) and how old it may be for requests with a key
(`_freshness`). What does not belong here: reading it from a store (the deployment's adapter, for
example `ferrydock.platform`), relaying it between daemons (`ferrydock.relay`), and the operators'
table of the other program (`ferrydock.table`).
"""

from ._current import CurrentConfiguration
from ._freshness import max_keyed_age_s
from ._lookup import ConfigurationLookup
from ._model import (
    ColdSpec,
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
from ._source import (
    ConfigurationRead,
    ConfigurationSource,
    ConfigurationUnchanged,
    ConfigurationUnreadable,
)

__all__ = [
    "ColdSpec",
    "Configuration",
    "ConfigurationLookup",
    "ConfigurationRead",
    "ConfigurationSource",
    "ConfigurationUnchanged",
    "ConfigurationUnreadable",
    "CurrentConfiguration",
    "EngineSpec",
    "IngressLimits",
    "ModelSpec",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "Team",
    "WeightedService",
    "max_keyed_age_s",
]
