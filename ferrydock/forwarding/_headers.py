"""Removal of hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).

Stateless; used for requests to targets and for answers to callers.
"""

from collections.abc import Iterable

__all__ = ["end_to_end"]

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers to forward, in order and with repetitions.

    Examples
    --------
    >>> end_to_end([("Connection", "X-Hop, close"), ("X-Hop", "1"), ("A", "1"), ("a", "2")])
    [('A', '1'), ('a', '2')]
    """
    pairs = list(headers)
    hop_by_hop = set(_HOP_BY_HOP)
    for name, value in pairs:
        if name.lower() == "connection":
            hop_by_hop.update(part.strip().lower() for part in value.split(","))
    return [(name, value) for name, value in pairs if name.lower() not in hop_by_hop]
