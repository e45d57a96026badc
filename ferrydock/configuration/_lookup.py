"""Looking up the route of a request and the team of a key, in indexes of one configuration."""

from ._model import Configuration, Route, Team

__all__ = ["ConfigurationLookup"]


class ConfigurationLookup:
    """Indexes of one configuration by host and path, and by key.

    Parameters
    ----------
    configuration : Configuration
        The configuration to index.
    """

    __slots__ = ("_routes_by_host", "_teams_by_key", "configuration")

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, {})[route.path_prefix] = route
        self._teams_by_key = {key: team for team in configuration.teams for key in team.keys}

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest path prefix that matches, or None.

        Parameters
        ----------
        host : str
            Host of the request; a port is ignored.
        path : str
            Path of the request as it was sent, with its query.
        """
        host_routes = self._routes_by_host.get(host) or self._routes_by_host.get(
            host.partition(":")[0].lower()
        )
        if host_routes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = host_routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    @property
    def has_teams(self) -> bool:
        """Whether the configuration has teams, so that requests of non-public routes need a key."""
        return bool(self.configuration.teams)

    def team(self, key: str) -> Team | None:
        """Return the team that holds `key`, or None."""
        return self._teams_by_key.get(key)
