"""The configuration in force: it never goes back, and knows how long ago it was confirmed."""

import logging

from ..logs import log_event
from ._lookup import ConfigurationLookup
from ._model import Configuration

__all__ = ["CurrentConfiguration"]

_LOG = logging.getLogger("ferrydock.configuration")


class CurrentConfiguration:
    """Holds the newest configuration that this process has seen.

    Attributes
    ----------
    lookup : ConfigurationLookup or None
        The configuration in force; None before the first.
    confirmed_s : float or None
        Local time up to which the configuration in force was surely the newest.
    """

    __slots__ = ("confirmed_s", "lookup")

    def __init__(self):
        self.lookup: ConfigurationLookup | None = None
        self.confirmed_s: float | None = None

    @property
    def version(self) -> int:
        """The version in force; -1 before the first."""
        return -1 if self.lookup is None else self.lookup.configuration.version

    def offer(self, configuration: Configuration, confirmed_s: float | None) -> bool:
        """Take a configuration if it is newer; return whether it was taken.

        Parameters
        ----------
        configuration : Configuration
            What somebody holds to be in force.
        confirmed_s : float or None
            Local time at which it surely was the newest: the start of the call that read it.
            None if it may have been older.
        """
        if configuration.version < self.version:
            return False
        taken = configuration.version > self.version
        if taken:
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
        return taken

    def confirm(self, version: int, confirmed_s: float | None) -> None:
        """Note that `version` was the newest at `confirmed_s`; no other version is confirmed."""
        if confirmed_s is None or version != self.version:
            return
        if self.confirmed_s is None or confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s

    def age_s(self, now_s: float) -> float:
        """Return how long ago the configuration was surely the newest."""
        return float("inf") if self.confirmed_s is None else now_s - self.confirmed_s
