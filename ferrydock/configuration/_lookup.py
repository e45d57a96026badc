"""Finding the route of a request and the team of a key; indexes of one configuration."""

from ._model import Configuration, Route, Team

__all__ = ["ConfigurationLookup"]


class ConfigurationLookup:
    """Indexes of one configuration.

    Parameters
    ----------
    configuration : Configuration
        What is looked up in.
    """

    __slots__ = ("_by_host", "_by_key", "configuration")

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
        self._by_key = {key: team for team in configuration.teams for key in team.keys}

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            As the request names it; a port is ignored.
        path : str
            As it was sent, with its query.
        """
        prefixes = self._by_host.get(host) or self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    @property
    def has_teams(self) -> bool:
        """Whether requests need a key at all."""
        return bool(self.configuration.teams)

    def team(self, key: str) -> Team | None:
        """Return the team that holds `key`, or None."""
        return self._by_key.get(key)
