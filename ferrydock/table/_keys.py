"""Verifies the keys of callers and operators, of which the table holds only digests."""

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
    """Return the name of the enabled team that `key` belongs to, or None.

    Compares each digest in constant time and does not stop at a match, so that the time taken
    reveals nothing about the digests.
    """
    digest = digest_key(key)
    owner = None
    for team in view.teams.values():
        for known in team.key_digests:
            if hmac.compare_digest(known, digest) and team.enabled:
                owner = team.name
    return owner


def is_operator_key(view: TableView | None, key: str, bootstrap_digests: tuple[str, ...]) -> bool:
    """Return whether `key` is an operator key of the table or of the daemon's settings."""
    digest = digest_key(key)
    in_table = view.site.operator_key_digests if view is not None else ()
    matches = [hmac.compare_digest(known, digest) for known in (*in_table, *bootstrap_digests)]
    return any(matches)
