"""The interface to a deployment: the external services of a daemon, opened by an adapter.

Owns the registry of adapters. An adapter adds itself with the decorator `register_deployment` when
its package is imported.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..configuration import ConfigurationSource
from ..forwarding import RequestDialect
from ..outcomes import Invalid
from ..store import CallCounts, Store
from ..targets import TargetControl, TargetSource
from ._settings import RouteDaemonSettings

__all__ = ["Deployment", "deployment_kinds", "open_deployment", "register_deployment"]


@dataclass(slots=True)
class Deployment:
    """The external services that a daemon uses: store, configuration and targets.

    Attributes
    ----------
    settings : RouteDaemonSettings
        As read when the process starts.
    reread : callable
        Reads the settings again.
    store : Store
        The platform's key-value service.
    store_calls : mapping of str to int
        Number of store calls since the process started, by kind and result.
    call_counts : CallCounts
        Number of store calls since the process started, by kind, caller and state.
    configuration_source : ConfigurationSource
        Reads and decodes the operator's configuration.
    target_source : TargetSource
        Follows the list of targets.
    control : TargetControl
        Sends orders to targets and requests their reports.
    dialect : RequestDialect
        Names and formats of HTTP headers.
    """

    settings: RouteDaemonSettings
    reread: Callable[[], RouteDaemonSettings | Invalid]
    store: Store
    store_calls: Mapping[str, int]
    call_counts: CallCounts
    configuration_source: ConfigurationSource
    target_source: TargetSource
    control: TargetControl
    dialect: RequestDialect


Factory = Callable[[str], Deployment | Invalid]
_FACTORIES: dict[str, Factory] = {}


def register_deployment(name: str) -> Callable[[Factory], Factory]:
    """Register a function that opens a kind of deployment from the path of its settings file."""

    def decorate(factory: Factory) -> Factory:
        _FACTORIES[name] = factory
        return factory

    return decorate


def deployment_kinds() -> tuple[str, ...]:
    """Return the names of the registered kinds of deployment, sorted."""
    return tuple(sorted(_FACTORIES))


def open_deployment(name: str, path: str) -> Deployment | Invalid:
    """Open a deployment of a registered kind from its settings file."""
    return _FACTORIES[name](path)
