"""Admission of requests under this daemon's part of the limits of a team.

Owns the use that this daemon makes of each limit and the demand that it measures, in memory.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from ..outcomes import NotRun
from ..table import Share, TableView
from ._bucket import TokenBucket
from ._parts import DelayedPart, HallDemand, daemon_part, hall_part

__all__ = ["Admission", "TeamLimits", "KnownDemand"]

# Half-life of the measured demand: longer than the gaps between requests, shorter than a burst.
DEMAND_HALF_LIFE_S = 2.0

# A row of ``shares`` with less demand than this counts as unused.
MIN_DEMAND_PER_S = 1e-3

# Time after which a refused request may be sent again: the shortest one after a refusal for the
# rate, and the one after a refusal for the concurrency.
MIN_RATE_RETRY_S = 0.1
CONCURRENCY_RETRY_S = 1.0

# By how much rounding errors may reduce this daemon's part of a concurrency limit.
TOLERANCE_REQUESTS = 1e-6


@dataclass(frozen=True, slots=True)
class KnownDemand:
    """The demand for each limit at other daemons and in other halls, as known to this daemon.

    Attributes
    ----------
    hall, daemon : str
        Names of this daemon's hall and of this daemon.
    daemon_demands : mapping of str to mapping of str to float
        Demand of the other daemons of this hall in requests a second, by daemon and row of
        ``shares``.
    live_daemons : int
        Number of live daemons of this hall.
    hall_demands : mapping of str to tuple
        For each other hall, the age in seconds of its last update, and its demand in requests a
        second by row of ``shares``.
    """

    hall: str
    daemon: str
    daemon_demands: Mapping[str, Mapping[str, float]]
    live_daemons: int
    hall_demands: Mapping[str, tuple[float, Mapping[str, float]]]


@dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request under a row of ``shares``; to be released when the request ends."""

    share: str


@dataclass(slots=True)
class _ShareUsage:
    """This daemon's use of one row of ``shares``.

    Attributes
    ----------
    bucket : TokenBucket
        Enforces this daemon's part of the rate limit.
    part : DelayedPart
        Delays the growth of this daemon's part.
    used_part : float
        This daemon's part of the limit in force, 0 to 1.
    in_flight : int
        Admitted requests that have not ended.
    arrivals : float
        Requests, admitted or refused, since the local time `arrivals_s`.
    demand_per_s : float
        Moving average of arrivals a second.
    """

    bucket: TokenBucket
    part: DelayedPart
    used_part: float
    in_flight: int = 0
    arrivals: float = 0.0
    arrivals_s: float = 0.0
    demand_per_s: float = 0.0


class TeamLimits:
    """Admits requests under this daemon's part of each limit."""

    __slots__ = ("_even_part", "_usages")

    def __init__(self):
        self._usages: dict[str, _ShareUsage] = {}
        self._even_part = 1.0

    def admit(self, share: Share, now_s: float) -> Admission | NotRun:
        """Admit a request, or refuse it with a time after which it may be sent again."""
        usage = self._usages.get(share.name) or self._start_usage(share, now_s)
        usage.arrivals += 1
        if usage.in_flight >= self._max_concurrent(share, usage):
            return NotRun(
                "concurrency_limit", f"{share.name}: too many at a time", CONCURRENCY_RETRY_S, 429
            )
        if not usage.bucket.take(now_s):
            wait_s = max(MIN_RATE_RETRY_S, usage.bucket.wait_s(now_s))
            return NotRun("rate_limit", f"{share.name}: too many requests", wait_s, 429)
        usage.in_flight += 1
        return Admission(share.name)

    def release(self, admission: Admission) -> None:
        """Record that an admitted request has ended."""
        usage = self._usages.get(admission.share)
        if usage is not None:
            usage.in_flight -= 1

    def _max_concurrent(self, share: Share, usage: _ShareUsage) -> float:
        """Return this daemon's part of the concurrency limit.

        Unless the limit is 0, each daemon may run at least one request.
        """
        if share.concurrency == 0:
            return 0
        return max(1, int(share.concurrency * usage.used_part + TOLERANCE_REQUESTS))

    def _start_usage(self, share: Share, now_s: float) -> _ShareUsage:
        """Start with an even part of a limit that this daemon has not used before."""
        bucket = TokenBucket(
            share.requests_per_s * self._even_part, _burst(share, self._even_part), now_s
        )
        usage = _ShareUsage(
            bucket, DelayedPart(self._even_part, now_s), self._even_part, arrivals_s=now_s
        )
        self._usages[share.name] = usage
        return usage

    def update(self, view: TableView, now_s: float, known_demand: KnownDemand, halls: int) -> None:
        """Update this daemon's parts of all limits.

        Called about every half second and after each edit of the table. `halls` is the number of
        halls that the table names.
        """
        self._even_part = 1.0 / max(1, halls) / max(1, known_demand.live_daemons)
        for name in self._usages.keys() - view.shares.keys():
            if self._usages[name].in_flight == 0:
                del self._usages[name]
        for share in view.shares.values():
            if share.name in self._usages:
                self._update_part(share, now_s, known_demand, halls)

    def _update_part(
        self, share: Share, now_s: float, known_demand: KnownDemand, halls: int
    ) -> None:
        usage = self._usages[share.name]
        self._measure_demand(usage, now_s)
        daemon_demands = {
            name: rates.get(share.name, 0.0) for name, rates in known_demand.daemon_demands.items()
        }
        daemon_demands[known_demand.daemon] = usage.demand_per_s
        hall_demands = {
            hall: HallDemand(rates.get(share.name, 0.0), age_s)
            for hall, (age_s, rates) in known_demand.hall_demands.items()
        }
        hall_demands[known_demand.hall] = HallDemand(sum(daemon_demands.values()), 0.0)
        part_of_hall = hall_part(known_demand.hall, hall_demands, halls)
        part_due = part_of_hall * daemon_part(
            known_demand.daemon, daemon_demands, known_demand.live_daemons
        )
        usage.used_part = usage.part.update(part_due, now_s)
        rate_per_s = share.requests_per_s * usage.used_part
        usage.bucket.set_rate(rate_per_s, _burst(share, usage.used_part), now_s)

    def _measure_demand(self, usage: _ShareUsage, now_s: float) -> None:
        elapsed_s = now_s - usage.arrivals_s
        if elapsed_s <= 0:
            return
        weight = 1 - 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        usage.demand_per_s += weight * (usage.arrivals / elapsed_s - usage.demand_per_s)
        if usage.demand_per_s < MIN_DEMAND_PER_S:
            usage.demand_per_s = 0.0
        usage.arrivals = 0.0
        usage.arrivals_s = now_s

    def demands(self, view: TableView) -> dict[str, float]:
        """Return the requests a second that arrive at this daemon, by limited row of ``shares``."""
        limited = {name for name, share in view.shares.items() if share.limited}
        return {
            name: usage.demand_per_s
            for name, usage in self._usages.items()
            if usage.demand_per_s > 0 and name in limited
        }

    def share_names(self) -> list[str]:
        """Return the rows of ``shares`` that this daemon has used, sorted."""
        return sorted(self._usages)

    def part_of(self, share: str) -> float:
        """Return this daemon's part (0 to 1) of the limit of a row of ``shares``."""
        usage = self._usages.get(share)
        return usage.used_part if usage is not None else 0.0

    def in_flight(self, share: str) -> int:
        """Return how many requests of a row of ``shares`` are in flight at this daemon."""
        usage = self._usages.get(share)
        return usage.in_flight if usage is not None else 0


def _burst(share: Share, part: float) -> float:
    return max(1.0, share.burst_requests * part) if share.requests_per_s > 0 else 0.0
