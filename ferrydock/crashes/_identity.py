"""Rule: which attempts belong to one request, and which requests share a part; pure."""

import hashlib

__all__ = ["IDENTIFIED_BODY_BYTES", "is_part", "part_identity", "request_identity"]

# A longer body is identified by this many of its first bytes and its length, so that the identity
# is known before any of the body is sent. A daemon buffers the same amount of a body for retries,
# so the identity costs no further memory. Two bodies of one length that differ only beyond it count
# as one request: an answer to either of them clears the crashes of both.
IDENTIFIED_BODY_BYTES = 262144

# With 16 bytes, the probability that any two of the 1e9 requests of a day collide is 1.5e-21.
IDENTITY_BYTES = 16

_PART_PREFIX = "part:"


def request_identity(
    method: str, host: str, path: str, team: str, body: bytes, length: int | None = None
) -> str:
    """Return the identity of a request: the same for all its attempts, at all daemons.

    The caller's attempt id is not part of it, since each attempt has its own. Nor are headers such
    as the remaining time or the last event received, which differ between attempts.

    Parameters
    ----------
    path : str
        The path as the caller sent it, with its query.
    team : str
        Name of the team that sent the request; empty on a public route. The name is used rather
        than a key of the team because keys change.
    body : bytes
        The complete body or a prefix of it.
    length : int or None
        Length of the complete body in bytes; None if `body` is complete.

    Examples
    --------
    >>> first = request_identity("POST", "h.example", "/a/x", "acme", b"hi")
    >>> first == request_identity("POST", "H.example", "/a/x", "acme", b"hi")
    True
    >>> first == request_identity("POST", "h.example", "/a/x", "bolt", b"hi")
    False
    """
    length = len(body) if length is None else length
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for part in (method, host.lower(), path, team, str(length)):
        data = part.encode(errors="surrogateescape")
        digest.update(b"%d:" % len(data))
        digest.update(data)
    digest.update(body[:IDENTIFIED_BODY_BYTES])
    return digest.hexdigest()


def part_identity(team: str, part: str) -> str:
    """Return the identity of a part of a prompt: the same for all requests of a team with it.

    The team belongs to it, because the part's id is the callers' own text: no team can have the
    requests of another one refused by naming their parts.

    Examples
    --------
    >>> part_identity("acme", "91bd3f06") == part_identity("bolt", "91bd3f06")
    False
    >>> is_part(part_identity("acme", "91bd3f06"))
    True
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for text in (team, part):
        data = text.encode(errors="surrogateescape")
        digest.update(b"%d:" % len(data))
        digest.update(data)
    return _PART_PREFIX + digest.hexdigest()


def is_part(identity: str) -> bool:
    """Return whether an identity is that of a part, and not of a complete request."""
    return identity.startswith(_PART_PREFIX)
