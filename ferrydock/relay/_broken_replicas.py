"""Which replicas are held for broken, and what is told of them."""

from collections.abc import Callable, Iterable

__all__ = ["BrokenReplicas"]

TOLD_FOR_S = 8.0
MOST_TOLD = 100


class BrokenReplicas:
    """Replicas that this daemon found broken lately, to be told to others.

    Parameters
    ----------
    on_told : callable
        Takes name and epoch of a replica that another daemon told of, each time it does.

    Attributes
    ----------
    count : int
        How many were noted so far.

    Examples
    --------
    >>> heard = []
    >>> broken = BrokenReplicas(heard.append)
    >>> broken.note(("g1", 4), now_s=10.0)
    >>> broken.hear([("g1", 4), ("g2", 5)])
    >>> heard
    [('g2', 5)]
    >>> broken.lately(now_s=11.0), broken.lately(now_s=30.0)
    ((('g1', 4),), ())
    """

    __slots__ = ("_noted_s", "count", "on_told")

    def __init__(self, on_told: Callable[[tuple[str, int]], None] = lambda key: None):
        self.on_told = on_told
        self.count = 0
        self._noted_s: dict[tuple[str, int], float] = {}

    def note(self, key: tuple[str, int], now_s: float) -> None:
        """Note a replica that is held for broken."""
        if key not in self._noted_s:
            self._noted_s[key] = now_s
            self.count += 1

    def lately(self, now_s: float) -> tuple[tuple[str, int], ...]:
        """Return what others should be told."""
        for key in [k for k, noted_s in self._noted_s.items() if now_s - noted_s > TOLD_FOR_S]:
            del self._noted_s[key]
        return tuple(self._noted_s)[-MOST_TOLD:]

    def hear(self, keys: Iterable[tuple[str, int]]) -> None:
        """Take what another daemon tells."""
        for key in keys:
            if key not in self._noted_s:
                self.on_told(key)
