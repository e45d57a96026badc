"""Which team or operator a request comes from, by its bearer key.

Owns the teams of the keys seen under the table revision in force, so that each is looked up once.
"""

from aiohttp import web

from ..table import TableKeeper, digest_key, is_operator_key, team_of_key

__all__ = ["Callers"]

# Keys whose team is remembered; bounds the memory that unknown keys can take. Chosen, not measured.
_KEYS_REMEMBERED = 4096


class Callers:
    """Finds the team of a request, and remembers keys for one table revision.

    Parameters
    ----------
    keeper : TableKeeper
        The table in force.
    bootstrap_digests : tuple of str
        Operator keys by the settings, for a table that names none yet.
    refused_digests : frozenset of str
        Keys that are refused even if the table names them.
    """

    __slots__ = ("_teams", "_teams_revision", "bootstrap_digests", "keeper", "refused_digests")

    def __init__(
        self,
        keeper: TableKeeper,
        bootstrap_digests: tuple[str, ...],
        refused_digests: frozenset[str] = frozenset(),
    ):
        self.keeper = keeper
        self.refused_digests = refused_digests
        self.bootstrap_digests = bootstrap_digests
        self._teams: dict[str, str | None] = {}
        self._teams_revision = -1

    def team(self, request: web.Request) -> str | None:
        """Return the team that calls, or None."""
        key = _bearer(request)
        view = self.keeper.view
        if not key or view is None:
            return None
        if self._teams_revision != view.revision or len(self._teams) > _KEYS_REMEMBERED:
            self._teams.clear()
            self._teams_revision = view.revision
        digest = digest_key(key)
        if digest not in self._teams:
            refused = digest in self.refused_digests
            self._teams[digest] = None if refused else team_of_key(view, key)
        return self._teams[digest]

    def is_operator(self, request: web.Request) -> bool:
        """Return whether an operator calls."""
        key = _bearer(request)
        if not key or digest_key(key) in self.refused_digests:
            return False
        return is_operator_key(self.keeper.view, key, self.bootstrap_digests)


def _bearer(request: web.Request) -> str:
    kind, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if kind.lower() == "bearer" else ""
