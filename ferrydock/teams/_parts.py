"""Rules that divide a limit among daemons, which do not consult each other for each request.

Each daemon computes its own part from the demands in the digests that daemons exchange. A part
shrinks at once, but grows only after `GROWTH_DELAY_S`, which is longer than a digest takes to
arrive. So a daemon whose part shrinks has received the digest before the part of another grows, and
the parts in use never add up to more than the limit, in whatever order digests arrive. A hall
without recent digests of all others uses an even part. `DelayedPart` owns the parts computed in the
last seconds; the functions are stateless.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["DelayedPart", "HallDemand", "daemon_part", "hall_part"]

# How long a larger part must have been computed before it is used: longer than a digest takes to
# spread through a hall and over a bridge to another.
GROWTH_DELAY_S = 3.0

# Part of a limit that is divided evenly, so that a daemon without demand can serve a first request.
RESERVE_FRACTION = 0.04

# After how long without a digest a hall counts as silent.
HALL_SILENT_S = 15.0


@dataclass(frozen=True, slots=True)
class HallDemand:
    """A hall's demand for one limit, and the age of the digest that reported it."""

    demand_per_s: float
    age_s: float


def hall_part(own_name: str, halls: Mapping[str, HallDemand], hall_count: int) -> float:
    """Return the part (0 to 1) of a limit that hall `own_name` may use.

    Parameters
    ----------
    own_name : str
        Name of this daemon's hall, which must be among `halls`.
    halls : mapping of str to HallDemand
        Demand of each hall that has sent a digest, and of this daemon's hall.
    hall_count : int
        Number of halls that the table names.

    Notes
    -----
    While digests of all halls are recent, parts are proportional to demand, except for a small
    reserve that is divided evenly. If any hall is silent, each hall uses an even part, which it can
    compute without digests.

    Examples
    --------
    >>> both = {"a": HallDemand(30.0, 1.0), "b": HallDemand(10.0, 1.0)}
    >>> round(hall_part("a", both, 2), 2)
    0.74
    >>> hall_part("a", {"a": HallDemand(30.0, 0.0), "b": HallDemand(10.0, 60.0)}, 2)
    0.5
    """
    num_halls = max(hall_count, len(halls), 1)
    even_part = 1.0 / num_halls
    recent = [demand for demand in halls.values() if demand.age_s <= HALL_SILENT_S]
    if len(recent) < num_halls:
        return even_part
    total = sum(demand.demand_per_s for demand in recent)
    if total <= 0:
        return even_part
    return (
        RESERVE_FRACTION * even_part + (1 - RESERVE_FRACTION) * halls[own_name].demand_per_s / total
    )


def daemon_part(own_name: str, demands_per_s: Mapping[str, float], live_daemons: int) -> float:
    """Return the part (0 to 1) of the hall's part that daemon `own_name` may use.

    Parameters
    ----------
    own_name : str
        Name of this daemon.
    demands_per_s : mapping of str to float
        Demand of the daemons of the hall, by name, in requests a second.
    live_daemons : int
        Number of live daemons of the hall.

    Examples
    --------
    >>> round(daemon_part("x", {"x": 5.0, "y": 5.0}, 2), 2)
    0.5
    """
    num_daemons = max(live_daemons, len(demands_per_s), 1)
    total = sum(demands_per_s.values())
    if total <= 0:
        return 1.0 / num_daemons
    return (
        RESERVE_FRACTION / num_daemons
        + (1 - RESERVE_FRACTION) * demands_per_s.get(own_name, 0.0) / total
    )


class DelayedPart:
    """The smallest part computed in the last `delay_s` seconds.

    Examples
    --------
    >>> part = DelayedPart(0.5, now_s=0.0)
    >>> part.update(0.9, 1.0), part.update(0.9, 5.0), part.update(0.2, 5.1)
    (0.5, 0.9, 0.2)
    """

    __slots__ = ("_recent_parts", "delay_s")

    def __init__(self, part: float, now_s: float, delay_s: float = GROWTH_DELAY_S):
        self.delay_s = delay_s
        self._recent_parts: deque[tuple[float, float]] = deque([(now_s, part)])

    def update(self, part: float, now_s: float) -> float:
        """Add the part computed at `now_s`; return the part that may be used."""
        self._recent_parts.append((now_s, part))
        while len(self._recent_parts) > 1 and self._recent_parts[0][0] < now_s - self.delay_s:
            self._recent_parts.popleft()
        return min(value for _, value in self._recent_parts)
