"""The configuration in force in this process, which is never replaced by an older version.

Owns, in memory, the version in force and the time at which it was last confirmed as the newest.
"""

import logging

from ..logs import log_event
from ._lookup import ConfigurationLookup
from ._model import Configuration, ServiceSpec

__all__ = ["CurrentConfiguration"]

_LOG = logging.getLogger("ferrydock.configuration")


class CurrentConfiguration:
    """Holds the newest configuration that this process has received.

    Attributes
    ----------
    lookup : ConfigurationLookup or None
        The configuration in force; None before the first.
    confirmed_s : float or None
        Latest local time at which the configuration in force was confirmed as the newest; None if
        it never was.
    """

    __slots__ = ("confirmed_s", "lookup")

    def __init__(self):
        self.lookup: ConfigurationLookup | None = None
        self.confirmed_s: float | None = None

    @property
    def version(self) -> int:
        """The version in force; -1 before the first."""
        return -1 if self.lookup is None else self.lookup.configuration.version

    def apply_if_newer(self, configuration: Configuration, confirmed_s: float | None) -> bool:
        """Put a configuration in force if it is newer; return whether it is newer.

        Parameters
        ----------
        configuration : Configuration
            Received from the store or from a peer.
        confirmed_s : float or None
            Local time at which it was certainly the newest: the start of the call that read it.
            None if a newer one may have existed.
        """
        if configuration.version < self.version:
            return False
        is_newer = configuration.version > self.version
        if is_newer:
            log_event(
                _LOG,
                logging.INFO,
                "configuration_in_force",
                version=configuration.version,
                before=self.version,
                routes=len(configuration.routes),
                tenants=len(configuration.teams),
            )
            self.lookup = ConfigurationLookup(configuration)
            self.confirmed_s = None
        self.confirm(configuration.version, confirmed_s)
        return is_newer

    def confirm(self, version: int, confirmed_s: float | None) -> None:
        """Note that `version` was the newest at local time `confirmed_s`, if it is in force."""
        if confirmed_s is None or version != self.version:
            return
        if self.confirmed_s is None or confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service of the configuration in force, or None if there is no such service."""
        return self.lookup.configuration.services.get(name) if self.lookup else None

    def engine_services(self) -> list[ServiceSpec]:
        """Return the services whose targets form replicas: those whose engine has models.

        An engine without models is valid, but planning replicas for it would divide by zero.
        """
        services = self.lookup.configuration.services.values() if self.lookup else ()
        return [s for s in services if s.engine is not None and s.engine.models]

    def longest_request_s(self, service: str) -> float:
        """Return the longest time limit of the routes to a service, in seconds; 0 without any."""
        routes = self.lookup.configuration.routes if self.lookup else ()
        limits_s = (
            route.time_limit_s
            for route in routes
            if any(weighted.service == service for weighted in route.services)
        )
        return max(limits_s, default=0.0)

    def age_s(self, now_s: float) -> float:
        """Return seconds since the configuration was last confirmed; infinite if it never was."""
        return float("inf") if self.confirmed_s is None else now_s - self.confirmed_s
