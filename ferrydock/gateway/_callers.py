"""Authentication of callers and operators by the bearer key of their requests.

Owns a cache from key digests to teams, valid for the table revision in force.
"""

from aiohttp import web

from ..table import TableKeeper, digest_key, is_operator_key, team_of_key

__all__ = ["Authenticator"]

# Bounds the memory that unknown keys can take.
_MAX_CACHED_KEYS = 4096


class Authenticator:
    """Finds the team of a request, and caches the teams of keys for one table revision.

    Parameters
    ----------
    keeper : TableKeeper
        Holds the table in force.
    bootstrap_digests : tuple of str
        Digests of operator keys from the settings, for a table that has none yet.
    refused_digests : frozenset of str
        Digests of keys that are refused even if the table has them.
    """

    __slots__ = (
        "_cached_teams",
        "_cached_revision",
        "bootstrap_digests",
        "keeper",
        "refused_digests",
    )

    def __init__(
        self,
        keeper: TableKeeper,
        bootstrap_digests: tuple[str, ...],
        refused_digests: frozenset[str] = frozenset(),
    ):
        self.keeper = keeper
        self.refused_digests = refused_digests
        self.bootstrap_digests = bootstrap_digests
        self._cached_teams: dict[str, str | None] = {}
        self._cached_revision = -1

    def team(self, request: web.Request) -> str | None:
        """Return the team that the request's key belongs to, or None."""
        key = _bearer_key(request)
        view = self.keeper.view
        if not key or view is None:
            return None
        if self._cached_revision != view.revision or len(self._cached_teams) > _MAX_CACHED_KEYS:
            self._cached_teams.clear()
            self._cached_revision = view.revision
        digest = digest_key(key)
        if digest not in self._cached_teams:
            is_refused = digest in self.refused_digests
            self._cached_teams[digest] = None if is_refused else team_of_key(view, key)
        return self._cached_teams[digest]

    def is_operator(self, request: web.Request) -> bool:
        """Return whether the request's key is an operator's."""
        key = _bearer_key(request)
        if not key or digest_key(key) in self.refused_digests:
            return False
        return is_operator_key(self.keeper.view, key, self.bootstrap_digests)


def _bearer_key(request: web.Request) -> str:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
