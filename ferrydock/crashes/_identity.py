"""Rule: which tries are tries of one request; pure."""

import hashlib

__all__ = ["IDENTIFIED_BODY_BYTES", "request_identity"]

# Of a longer body this much, and its length, tells it from others, so that it is identified before
# any of it is sent. As much as a daemon keeps of a body to send it again, so that it costs no
# further memory. Two bodies that differ only beyond it count as one request: an answer to either
# of them then says that neither crashes its target. Chosen, not measured.
IDENTIFIED_BODY_BYTES = 262144

# Bytes of an identity: two of the 1e9 requests of a day are taken for one with a chance of 1.5e-21.
IDENTITY_BYTES = 16


def request_identity(
    method: str, host: str, path: str, team: str, body: bytes, length: int | None = None
) -> str:
    """Return the name under which all tries of a request are known, at any daemon.

    The caller's id of a try is not part of it, since each try has its own; nor are headers such as
    the time left or the last event seen, which differ between the tries of one request.

    Parameters
    ----------
    path : str
        As the caller sent it, with its query.
    team : str
        Whose request it is; empty on a public route. A team's keys change, its name does not.
    body : bytes
        The body, or the beginning of it.
    length : int or None
        Length of the whole body in bytes; None if `body` is the whole.

    Examples
    --------
    >>> first = request_identity("POST", "h.example", "/a/x", "acme", b"hi")
    >>> first == request_identity("POST", "H.example", "/a/x", "acme", b"hi")
    True
    >>> first == request_identity("POST", "h.example", "/a/x", "bolt", b"hi")
    False
    """
    length = len(body) if length is None else length
    told = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for part in (method, host.lower(), path, team, str(length)):
        data = part.encode(errors="surrogateescape")
        told.update(b"%d:" % len(data))
        told.update(data)
    told.update(body[:IDENTIFIED_BODY_BYTES])
    return told.hexdigest()
