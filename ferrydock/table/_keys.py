"""Keys of callers and operators. The table holds digests only."""

import hashlib
import hmac

from ._view import TableView

__all__ = ["digest_key", "is_operator_key", "team_of_key"]


def digest_key(key: str) -> str:
    """Return the digest that the table holds in place of `key`: SHA-256 in hexadecimal.

    Examples
    --------
    >>> digest_key("demo-key")[:8]
    'c48a01f4'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def team_of_key(view: TableView, key: str) -> str | None:
    """Return the enabled team that `key` belongs to, comparing all digests in constant time."""
    digest = digest_key(key)
    found = None
    for team in view.teams.values():
        for known in team.key_digests:
            if hmac.compare_digest(known, digest) and team.enabled:
                found = team.name
    return found


def is_operator_key(view: TableView | None, key: str, bootstrap_digests: tuple[str, ...]) -> bool:
    """Return whether `key` gives operator rights, by the table or by the daemon's settings."""
    digest = digest_key(key)
    in_table = view.site.operator_key_digests if view is not None else ()
    matches = [hmac.compare_digest(known, digest) for known in (*in_table, *bootstrap_digests)]
    return any(matches)
