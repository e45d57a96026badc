"""Rule: the order of requests that wait for a model on one daemon.

Strict by priority; among equals fair by the teams' weights. Owns the waiting requests, in memory.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Generic, TypeVar

__all__ = ["FairQueue", "Waiting"]

# Requests that may wait for a model on one daemon. Chosen, not measured.
DEFAULT_LENGTH = 256


Handle = TypeVar("Handle")


@dataclass(eq=False, slots=True)
class Waiting(Generic[Handle]):
    """A request in the queue.

    Attributes
    ----------
    team : str
        Name of the team.
    weight : float
        The team's weight under contention.
    cost : float
        Expected work, such as tokens.
    priority : int
        9 goes first.
    deadline_s : float
        Local time after which it need not be served any more.
    wake : Handle or None
        The owner's handle, given back with the request.
    """

    team: str
    weight: float
    cost: float
    priority: int
    deadline_s: float
    wake: Handle | None = None
    virtual_end: float = field(default=0.0, init=False)
    gone: bool = field(default=False, init=False)


class FairQueue(Generic[Handle]):
    """Weighted fair queueing within each priority.

    Parameters
    ----------
    length : int, default=256
        How many may wait. Beyond it the lowest priority is shed first, the newcomer included.

    Notes
    -----
    Start-time fair queueing: each request ends at a virtual time that lies its cost, over its
    team's weight, behind the team's last one; the earliest end goes first. A team that was idle
    starts at the present virtual time, so that idling saves nothing up.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for team in ("a", "a", "b"):
    ...     _ = queue.push(Waiting(team, 1.0, 1.0, 5, 99.0))
    >>> [queue.pop(0.0).team for _ in range(3)]
    ['a', 'b', 'a']
    """

    __slots__ = ("_heap", "_size", "_team_end", "_ticket", "_virtual", "length")

    def __init__(self, length: int = DEFAULT_LENGTH):
        self.length = length
        self._heap: list[tuple[int, float, int, Waiting[Handle]]] = []
        self._team_end: dict[str, float] = {}
        self._ticket = itertools.count()
        self._virtual = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, waiting: Waiting[Handle]) -> Waiting[Handle] | None:
        """Add a request; return the one that is shed for it, which may be itself."""
        shed = None
        if self._size >= self.length:
            shed = self._lowest(waiting)
            if shed is waiting:
                return shed
            self.remove(shed)
        start = max(self._virtual, self._team_end.get(waiting.team, 0.0))
        waiting.virtual_end = start + waiting.cost / waiting.weight
        self._team_end[waiting.team] = waiting.virtual_end
        entry = (-waiting.priority, waiting.virtual_end, next(self._ticket), waiting)
        heapq.heappush(self._heap, entry)
        self._size += 1
        return shed

    def _lowest(self, newcomer: Waiting[Handle]) -> Waiting[Handle]:
        """Return the request to shed: of the lowest priority, the one that would be served last."""
        entries = [entry for entry in self._heap if not entry[3].gone]
        last = max(entries)[3]
        return last if last.priority < newcomer.priority else newcomer

    def pop(self, now_s: float) -> Waiting[Handle] | None:
        """Return the next request whose deadline has not passed, or None."""
        while self._heap:
            waiting = heapq.heappop(self._heap)[3]
            if waiting.gone:
                continue
            waiting.gone = True
            self._size -= 1
            self._virtual = max(self._virtual, waiting.virtual_end - waiting.cost / waiting.weight)
            if waiting.deadline_s >= now_s:
                return waiting
        if not self._heap:
            self._team_end.clear()
            self._virtual = 0.0
        return None

    def peek(self) -> Waiting[Handle] | None:
        """Return the next request without taking it."""
        while self._heap and self._heap[0][3].gone:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def remove(self, waiting: Waiting[Handle]) -> None:
        """Take a request out, wherever it stands."""
        if not waiting.gone:
            waiting.gone = True
            self._size -= 1

    def ahead_of(self, priority: int) -> int:
        """Return how many would be served before a newcomer of this priority."""
        return sum(1 for e in self._heap if not e[3].gone and e[3].priority >= priority)
