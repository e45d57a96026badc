"""Headers that concern one connection only, and are not passed on (RFC 9110, section 7.6.1).

Stateless; used for requests on their way to a target and for answers on their way back.
"""

from collections.abc import Iterable

__all__ = ["end_to_end"]

_ONE_CONNECTION = frozenset(
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
    """Return the headers that go on to the other side, in order, repeated ones kept.

    Examples
    --------
    >>> end_to_end([("Connection", "X-Hop, close"), ("X-Hop", "1"), ("A", "1"), ("a", "2")])
    [('A', '1'), ('a', '2')]
    """
    pairs = list(headers)
    named = set(_ONE_CONNECTION)
    for name, value in pairs:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in value.split(","))
    return [(name, value) for name, value in pairs if name.lower() not in named]
