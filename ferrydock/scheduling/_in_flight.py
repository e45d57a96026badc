"""How many requests each daemon has at each target, as one daemon of the hall is told."""

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["InFlightCounts"]

SILENT_S = 3.0
GRANT_COUNTS_S = 0.5
ELSEWHERE_COUNTS_S = 1.5


@dataclass(frozen=True, slots=True)
class _Grant:
    """A place that was given and is not yet among what its daemon tells."""

    target_id: str
    at_s: float


class InFlightCounts:
    """Requests that run, by target.

    Parameters
    ----------
    first_grant : int, default=1
        Number of the first grant; another one for each life, so that lives are not mixed up.

    Notes
    -----
    Daemons tell whole numbers, not changes, so a lost message is made good by the next one. A
    grant counts at once, until its daemon says that it has seen it; one that was lost on its way
    counts for half a second.

    Examples
    --------
    >>> counts = InFlightCounts()
    >>> counts.heard("edge-1", {"t": 2}, now_s=0.0)
    >>> counts.grant("edge-2", "t", now_s=0.0)
    1
    >>> counts.total("t")
    3
    >>> counts.heard("edge-2", {"t": 1}, now_s=0.2, seen=(1,))
    >>> counts.total("t")
    3
    >>> counts.take_elsewhere("hall-b", {"t": 4}, now_s=0.2)
    >>> counts.total("t"), counts.of_hall()
    (7, {'t': 3})
    >>> counts.forget_silent(now_s=3.1)
    >>> counts.total("t")
    1
    """

    __slots__ = ("_elsewhere", "_grants", "_heard_s", "_numbers", "_running", "_totals")

    def __init__(self, first_grant: int = 1):
        self._numbers = itertools.count(first_grant)
        self._running: dict[str, Mapping[str, int]] = {}
        self._heard_s: dict[str, float] = {}
        self._grants: dict[str, dict[int, _Grant]] = {}
        self._elsewhere: dict[str, tuple[float, Mapping[str, int]]] = {}
        self._totals: Counter = Counter()

    def heard(
        self, sender: str, running: Mapping[str, int], now_s: float, seen: Iterable[int] = ()
    ) -> None:
        """Take what a daemon tells of its requests that run; `seen` grants are among them."""
        self._totals.subtract(self._running.get(sender, {}))
        self._running[sender] = dict(running)
        self._heard_s[sender] = now_s
        self._totals.update(running)
        grants = self._grants.get(sender, {})
        lost = [number for number, g in grants.items() if now_s - g.at_s > GRANT_COUNTS_S]
        for number in (*seen, *lost):
            grant = grants.pop(number, None)
            if grant is not None:
                self._totals[grant.target_id] -= 1

    def grant(self, sender: str, target_id: str, now_s: float) -> int:
        """Count a request that a daemon is about to send; return the grant's number."""
        number = next(self._numbers)
        self._grants.setdefault(sender, {})[number] = _Grant(target_id, now_s)
        self._heard_s.setdefault(sender, now_s)
        self._totals[target_id] += 1
        return number

    def take_elsewhere(self, hall: str, running: Mapping[str, int], now_s: float) -> None:
        """Take what another hall tells of the requests of all its daemons."""
        self._elsewhere[hall] = (now_s, dict(running))

    def total(self, target_id: str) -> int:
        """Return how many requests a target has, of all halls."""
        elsewhere = sum(running.get(target_id, 0) for _, running in self._elsewhere.values())
        return max(0, self._totals[target_id]) + elsewhere

    def of_hall(self) -> dict[str, int]:
        """Return the requests of this hall's daemons, by target."""
        return {target_id: count for target_id, count in self._totals.items() if count > 0}

    def forget_silent(self, now_s: float) -> None:
        """Drop daemons and halls that have told nothing for long."""
        for sender in [s for s, heard_s in self._heard_s.items() if now_s - heard_s > SILENT_S]:
            del self._heard_s[sender]
            self._totals.subtract(self._running.pop(sender, {}))
            self._totals.subtract(g.target_id for g in self._grants.pop(sender, {}).values())
        for hall, (heard_s, _) in list(self._elsewhere.items()):
            if now_s - heard_s > ELSEWHERE_COUNTS_S:
                del self._elsewhere[hall]
        self._totals = +self._totals
