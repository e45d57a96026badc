"""Shares of teams in slots that are short: what each team was granted, and which team is next.

Owns the slots granted and wanted by each team while requests were queued, in memory: they decay
within seconds and are lost with the process, after which all teams count as equal. Relies on the
owner of a queue to count its requests and grants, and on other halls for their reports.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import exp
from typing import Any, TypeVar

from ..clock import Clock

__all__ = ["TeamShares", "TeamUse"]

Request = TypeVar("Request")

# Time constant of the decay of counts: the length of a long burst. A shorter one would forget
# within a burst who got its first slots; a longer one would charge a team for the burst before.
DECAY_S = 10.0

# A team goes first while a smaller part of its requests is served than this fraction of the part
# that is served of all requests. Equal numbers of slots alone would leave a team that sends 20
# times as much as the others with a twentieth of what the others get of each request. Callers
# accept a quarter; the rest is room for the differences between seconds.
MIN_SERVED_FRACTION = 0.3

# How long another hall's report counts: six polls, which are 0.15 s apart.
REMOTE_REPORT_VALID_S = 1.0

# Counts are scaled down when they have grown by exp(20) since the last time, long before floating
# point numbers lose single grants. Counts below the second constant are dropped then.
RESCALE_AFTER_S = 20 * DECAY_S
MIN_COUNT = 0.01


@dataclass(slots=True)
class TeamUse:
    """Slots granted to a team, and requests of it that wanted one, both decayed."""

    granted: float = 0.0
    wanted: float = 0.0

    def add(self, other: "TeamUse", factor: float) -> None:
        """Add the counts of another use, multiplied by `factor`."""
        self.granted += other.granted * factor
        self.wanted += other.wanted * factor


class TeamShares:
    """Decides which team gets the next free slot, by what each was granted in the last seconds.

    Only what happens while requests are queued is counted, so that a team is not charged for slots
    that nobody else wanted. Slots are counted, not the time for which they are held: long and short
    requests keep the same chance.

    The team with the fewest slots goes first. A team that wants less than its share therefore waits
    only for the next free slot, and what it leaves goes to the others. Before it goes a team of
    which disproportionately few requests are served (`MIN_SERVED_FRACTION`), the smallest fraction
    first. Repeated requests do not count as wanted: repeating a request gains nothing.

    Answers a load above the capacity from teams of different size, for a burst of seconds.

    Parameters
    ----------
    clock : Clock
        Clock of the decay.

    Examples
    --------
    >>> from ferrydock.clock import ManualClock
    >>> shares = TeamShares(ManualClock())
    >>> for team in ("large", "large", "small"):
    ...     shares.count_wanted(team)
    ...     shares.count_granted(team)
    >>> queued = {"large": ["l1", "l2"], "small": ["s1"], "idle until now": ["i1"]}
    >>> list(shares.in_order(queued, lambda request: 0))
    ['i1', 's1', 'l1', 'l2']
    """

    __slots__ = ("_own", "_remote", "_scaled_from_s", "_site", "_total", "clock")

    def __init__(self, clock: Clock):
        self.clock = clock
        self.reset()

    def reset(self) -> None:
        """Drop all counts, for example because another daemon schedules the hall."""
        self._scaled_from_s = self.clock.now_s()
        self._own: defaultdict[str, TeamUse] = defaultdict(TeamUse)
        self._remote: dict[str, tuple[float, Mapping[str, TeamUse]]] = {}
        self._sum_up()

    def count_wanted(self, team: str) -> None:
        """Count a request, sent for the first time, for which there is or was no free slot."""
        weight = self._weight()
        for use in (self._own[team], self._site[team], self._total):
            use.wanted += weight

    def count_granted(self, team: str) -> None:
        """Count a slot granted to a team while requests were queued."""
        weight = self._weight()
        for use in (self._own[team], self._site[team], self._total):
            use.granted += weight

    def order_key(self, team: str) -> tuple[int, float]:
        """Return the key by which teams are ordered; the smallest goes first."""
        use = self._site.get(team)
        if use is None:
            return (1, 0.0)
        if (
            use.granted * self._total.wanted
            < MIN_SERVED_FRACTION * self._total.granted * use.wanted
        ):
            return (0, use.granted / use.wanted)
        return (1, use.granted)

    def is_over_share(self, team: str) -> bool:
        """Return whether a team was granted more than an equal part of the slots."""
        use = self._site.get(team)
        if use is None or self.order_key(team)[0] == 0:
            return False
        min_use = MIN_COUNT * self._weight()
        teams = sum(other.granted + other.wanted >= min_use for other in self._site.values())
        return use.granted * teams > self._total.granted

    def in_order(
        self, queued: Mapping[str, Sequence[Request]], tie_key: Callable[[Request], Any]
    ) -> Iterator[Request]:
        """Yield queued requests, the next to be served first.

        A slot that is granted to the yielded request must be counted before the next one is taken:
        it moves its team back.

        Parameters
        ----------
        queued : mapping of str to sequence
            The requests of each team, at least one, in the order in which they are served.
        tie_key : callable
            Returns the key of a request by which teams of equal use are ordered.
        """
        self.remove_outdated()
        remaining = {team: iter(requests) for team, requests in queued.items()}
        firsts = ((team, next(remaining[team])) for team in queued)
        heap = [(self.order_key(team), tie_key(first), team, first) for team, first in firsts]
        heapq.heapify(heap)
        while heap:
            _, _, team, request = heap[0]
            yield request
            following = next(remaining[team], None)
            if following is None:
                heapq.heappop(heap)
            else:
                entry = (self.order_key(team), tie_key(following), team, following)
                heapq.heapreplace(heap, entry)

    def own_report(self) -> dict[str, TeamUse]:
        """Return this hall's decayed counts by team, for the schedulers of other halls."""
        factor = 1 / self._weight()
        report = {team: TeamUse() for team in self._own}
        for team, use in report.items():
            use.add(self._own[team], factor)
        return {team: use for team, use in report.items() if use.wanted + use.granted >= MIN_COUNT}

    def receive_remote(self, hall: str, report: Mapping[str, TeamUse]) -> None:
        """Replace the counts that another hall reported; empty while nothing is queued there."""
        if report:
            self._remote[hall] = (self.clock.now_s(), report)
            self._sum_up()
        elif self._remote.pop(hall, None) is not None:
            self._sum_up()

    def remove_outdated(self) -> None:
        """Drop other halls' reports that were received over `REMOTE_REPORT_VALID_S` ago."""
        if not self._remote:
            return
        oldest_s = self.clock.now_s() - REMOTE_REPORT_VALID_S
        outdated = [hall for hall, (received_s, _) in self._remote.items() if received_s < oldest_s]
        for hall in outdated:
            del self._remote[hall]
        if outdated:
            self._sum_up()

    def _weight(self) -> float:
        """Return what one slot granted now adds to the counts.

        Counts do not shrink with time; later grants weigh more instead, so that only the counts
        that change are written.
        """
        now_s = self.clock.now_s()
        if now_s - self._scaled_from_s > RESCALE_AFTER_S:
            self._rescale(now_s)
        return self._weight_at(now_s)

    def _weight_at(self, at_s: float) -> float:
        return exp((at_s - self._scaled_from_s) / DECAY_S)

    def _rescale(self, now_s: float) -> None:
        """Scale this hall's counts down to those of now, and drop what has decayed."""
        factor = exp((self._scaled_from_s - now_s) / DECAY_S)
        self._scaled_from_s = now_s
        previous, self._own = self._own, defaultdict(TeamUse)
        for team, use in previous.items():
            if (use.granted + use.wanted) * factor >= MIN_COUNT:
                self._own[team].add(use, factor)
        self._sum_up()

    def _sum_up(self) -> None:
        """Add up the counts of this hall and those that other halls reported."""
        self._site: defaultdict[str, TeamUse] = defaultdict(TeamUse)
        self._total = TeamUse()
        reports: list[tuple[float, Mapping[str, TeamUse]]] = [(1.0, self._own)]
        for received_s, report in self._remote.values():
            reports.append((self._weight_at(received_s), report))
        for factor, report in reports:
            for team, use in report.items():
                self._site[team].add(use, factor)
                self._total.add(use, factor)
