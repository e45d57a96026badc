"""The queue of requests for which no slot is free, ordered by priority and shares of teams.

Owns the queued requests, in memory only. They are lost if the process ends, which also closes the
connections of their callers.
"""

import asyncio
import bisect
import itertools
from collections import Counter
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from operator import attrgetter
from typing import Generic, TypeVar

from ..teams import TeamShares
from ._freed_slots import FreedSlots

__all__ = ["WaitingQueue"]

Request = TypeVar("Request")
Slot = TypeVar("Slot")

_sort_key = attrgetter("sort_key")


@dataclass(slots=True, eq=False)
class _QueuedRequest(Generic[Request]):
    """One request in the queue.

    Attributes
    ----------
    sort_key : tuple
        Rank of the request and the number of its arrival; requests of one class and team are
        sorted by it.
    rank_class : tuple
        Requests of a smaller class are served first (`WaitingQueue`).
    team : str
        Team of the request; empty without shares.
    needs : hashable
        What the request needs (`WaitingQueue`).
    excluded_targets : tuple of str
        Ids of targets that the request must not be sent to. Other requests with the same needs may
        use a slot there.
    is_late : bool
        Whether the request cannot be in time.
    is_queued : bool
        Whether the request is in the queue.
    """

    sort_key: tuple
    rank_class: tuple
    team: str
    needs: Hashable
    request: Request
    future: asyncio.Future
    excluded_targets: tuple[str, ...]
    is_late: bool = False
    is_queued: bool = True

    @property
    def has_slot(self) -> bool:
        """Whether a slot was assigned to the request."""
        is_done = self.future.done() and not self.future.cancelled()
        return is_done and self.future.result() is not None


class WaitingQueue(Generic[Request, Slot]):
    """Requests that wait for a slot; the smallest rank is served first, then the oldest request.

    Each request has `needs`, for example a service and a model. Requests with different needs do
    not block each other.

    Parameters
    ----------
    shares : TeamShares, optional
        Slots are shared among teams by it. Then all values of a rank but the last form a class: a
        smaller class is served first, the shares decide among the teams of a class, and the last
        value, a time, orders the requests of a team. Without shares teams do not matter.
    has_late_reserve : bool, optional
        Whether late requests may get no slot while others do (`_late_reserve`). They then do not
        delay requests that can be in time, whatever their rank.
    """

    __slots__ = (
        "_arrival_numbers",
        "_classes",
        "_freed",
        "_waiting_by_needs",
        "has_late_reserve",
        "shares",
    )

    def __init__(self, shares: TeamShares | None = None, has_late_reserve: bool = False):
        self.has_late_reserve = has_late_reserve
        # The queued requests by class and team, sorted.
        self._classes: dict[tuple, dict[str, list[_QueuedRequest[Request]]]] = {}
        self._waiting_by_needs: Counter[Hashable] = Counter()
        self._freed: dict[Hashable, FreedSlots] = {}
        self._arrival_numbers = itertools.count()
        self.shares = shares

    def __len__(self) -> int:
        return self._waiting_by_needs.total()

    def must_wait(
        self, rank: tuple, needs: Hashable, team: str = "", is_late: bool = False
    ) -> bool:
        """Return whether a request with the same needs is queued that would be served earlier.

        A new request must not overtake it, even if a slot is free. Queued requests that exclude
        targets do not count: a slot that is free while they wait is one that they cannot use.
        """
        if needs not in self._waiting_by_needs:
            return False
        rank_class = self._class_of(rank)
        order_key = self._order_key(team)
        passes_late = self.has_late_reserve and not is_late
        for queued_class, teams in self._classes.items():
            if queued_class > rank_class:
                continue
            for queued_team, requests in teams.items():
                queued_key = self._order_key(queued_team)
                if queued_class == rank_class and queued_key > order_key:
                    continue
                is_earlier = queued_class < rank_class or queued_key < order_key
                if any(
                    q.needs == needs
                    and not q.excluded_targets
                    and not (passes_late and q.is_late)
                    and (is_earlier or q.sort_key[0] <= rank)
                    for q in requests
                ):
                    return True
        return False

    def waiting_for(self, needs: Hashable) -> int:
        """Return how many requests with these needs are queued."""
        return self._waiting_by_needs.get(needs, 0)

    def waiting_by_team(self) -> dict[str, int]:
        """Return how many requests of each team are queued; empty without shares."""
        waiting: Counter[str] = Counter()
        if self.shares is not None:
            for teams in self._classes.values():
                waiting.update({team: len(requests) for team, requests in teams.items()})
        return waiting

    def count_immediate_grant(self, needs: Hashable, team: str, is_late: bool) -> None:
        """Count a slot granted to a request that was not queued, if others are queued for one."""
        if self.shares is not None and needs in self._waiting_by_needs:
            if not is_late:
                self.shares.count_wanted(team)
            self._count_granted(self.shares, needs, team)

    def over_share_for_s(
        self, rank: tuple, needs: Hashable, wait_s: float, team: str, is_late: bool
    ) -> float:
        """Return after how many seconds a request may return that must not be queued; 0 if it may.

        It must not if its team is over its share, and more requests are queued in its class and
        before than slots become free within the time for which it may wait.
        """
        if self.shares is None or not self.shares.is_over_share(team):
            return 0.0
        now_s = self.shares.clock.now_s()
        freed = self._freed.get(needs)
        rate_per_s = freed.rate_per_s(now_s) if freed is not None else None
        if freed is None or not rate_per_s:
            return 0.0
        queued = self._waiting_in_or_before(self._class_of(rank), needs)
        if queued <= rate_per_s * wait_s:
            return 0.0
        if not is_late:
            self.shares.count_wanted(team)
        return freed.return_after_s(queued, now_s)

    def _waiting_in_or_before(self, rank_class: tuple, needs: Hashable) -> int:
        """Return how many requests with these needs are queued in this class or smaller ones."""
        return sum(
            queued.needs == needs
            for queued_class, teams in self._classes.items()
            if queued_class <= rank_class
            for requests in teams.values()
            for queued in requests
        )

    def _count_granted(self, shares: TeamShares, needs: Hashable, team: str) -> None:
        shares.count_granted(team)
        if needs in self._freed:
            self._freed[needs].count(shares.clock.now_s())

    async def wait(
        self,
        rank: tuple,
        needs: Hashable,
        request: Request,
        timeout_s: float,
        excluded_targets: tuple[str, ...] = (),
        release: Callable[[Slot], None] = lambda slot: None,
        team: str = "",
        is_late: bool = False,
    ) -> Slot | None:
        """Wait for a slot; return None if none was assigned within `timeout_s`.

        Returns None at once if `end_waits` ends the wait.

        Parameters
        ----------
        excluded_targets : tuple of str, optional
            Ids of targets that the request must not be sent to.
        release : callable, optional
            Called with the slot if the waiting task is cancelled after a slot was assigned to it.
        team : str, optional
            Team of the request; requests without one count together as a team.
        is_late : bool, optional
            Whether the request cannot be in time, usually because its caller repeats it. It then
            does not count as wanted.
        """
        future = asyncio.get_running_loop().create_future()
        sort_key = (rank, next(self._arrival_numbers))
        line = team if self.shares is not None else ""
        queued = _QueuedRequest(
            sort_key, self._class_of(rank), line, needs, request, future, excluded_targets, is_late
        )
        self._add(queued)
        if self.shares is not None and not is_late:
            self.shares.count_wanted(team)
        try:
            async with asyncio.timeout(timeout_s):
                return await queued.future
        except TimeoutError:
            # A slot may have been assigned in the same iteration of the event loop as the timeout.
            return queued.future.result() if queued.has_slot else None
        except asyncio.CancelledError:
            if queued.has_slot:
                release(queued.future.result())
            raise
        finally:
            self._remove(queued)

    def end_waits(self, is_hopeless: Callable[[Request], bool]) -> None:
        """End the wait of each request that cannot get a slot, without a slot."""
        for queued in list(self._in_order()):
            if not queued.future.done() and is_hopeless(queued.request):
                self._remove(queued)
                queued.future.set_result(None)

    def assign_free_slots(self, take: Callable[[Request], Slot | None]) -> None:
        """Assign free slots to queued requests, highest priority first.

        Parameters
        ----------
        take : callable
            Acquires a slot for a request, or returns None if no slot is free. Then all other
            requests with the same needs stay queued, unless the request excludes targets: in that
            case only those that exclude the same targets do. Otherwise a retry that avoids its
            first target blocks all requests for its model, for up to 1 s, while slots are free.
            A late request that gets none stops only late ones if there is a reserve.
        """
        full: set[tuple[Hashable, tuple[str, ...], bool]] = set()
        with_slots = set(self._waiting_by_needs)
        for queued in self._in_order():
            is_reserved_from = self.has_late_reserve and queued.is_late
            kind = (queued.needs, queued.excluded_targets, is_reserved_from)
            if queued.future.done() or kind in full or queued.needs not in with_slots:
                continue
            slot = take(queued.request)
            if slot is None:
                full.add(kind)
                if not queued.excluded_targets and not is_reserved_from:
                    with_slots.discard(queued.needs)
                    if not with_slots:
                        return
                continue
            if self.shares is not None:
                self._count_granted(self.shares, queued.needs, queued.team)
            self._remove(queued)
            queued.future.set_result(slot)

    def _in_order(self) -> Iterator[_QueuedRequest[Request]]:
        """Yield the queued requests, the next to be served first; they may be removed meanwhile."""
        for rank_class in sorted(self._classes):
            teams = {team: tuple(queued) for team, queued in self._classes[rank_class].items()}
            if self.shares is None or len(teams) == 1:
                yield from itertools.chain.from_iterable(teams.values())
            else:
                yield from self.shares.in_order(teams, _sort_key)

    def _add(self, queued: _QueuedRequest[Request]) -> None:
        teams = self._classes.setdefault(queued.rank_class, {})
        bisect.insort(teams.setdefault(queued.team, []), queued, key=_sort_key)
        self._waiting_by_needs[queued.needs] += 1
        if self.shares is not None and queued.needs not in self._freed:
            self._freed[queued.needs] = FreedSlots(self.shares.clock.now_s())

    def _remove(self, queued: _QueuedRequest[Request]) -> None:
        """Remove a request from the queue if it is there."""
        if not queued.is_queued:
            return
        queued.is_queued = False
        teams = self._classes[queued.rank_class]
        teams[queued.team].remove(queued)
        if not teams[queued.team]:
            del teams[queued.team]
        if not teams:
            del self._classes[queued.rank_class]
        self._waiting_by_needs[queued.needs] -= 1
        if not self._waiting_by_needs[queued.needs]:
            del self._waiting_by_needs[queued.needs]
            self._freed.pop(queued.needs, None)

    def _class_of(self, rank: tuple) -> tuple:
        """Return the part of a rank that goes before the shares of teams; all without shares."""
        return rank[:-1] if self.shares is not None else ()

    def _order_key(self, team: str) -> tuple[int, float]:
        return self.shares.order_key(team) if self.shares is not None else (0, 0.0)
