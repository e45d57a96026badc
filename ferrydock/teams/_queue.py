"""The queue of requests that wait for a model on one daemon.

Strictly by priority; within a priority, fair by the weights of the teams. Owns the waiting
requests, in memory.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Generic, TypeVar

__all__ = ["FairQueue", "QueueEntry"]

# How many requests may wait for a model on one daemon.
DEFAULT_MAX_LENGTH = 256


Handle = TypeVar("Handle")


@dataclass(eq=False, slots=True)
class QueueEntry(Generic[Handle]):
    """A request in the queue.

    Attributes
    ----------
    team : str
        Name of the team.
    weight : float
        The team's weight: its share of the work under contention is proportional to it.
    cost : float
        Expected work, for example in tokens.
    priority : int
        Priority, 0 to 9; 9 is served first.
    deadline_s : float
        Local time after which the request is not served.
    handle : Handle or None
        Handle by which the owner of the queue identifies the request.
    virtual_finish : float
        Virtual finish time (`FairQueue`).
    removed : bool
        Whether the request has been served or removed. Its entry may still be in the heap.
    """

    team: str
    weight: float
    cost: float
    priority: int
    deadline_s: float
    handle: Handle | None = None
    virtual_finish: float = field(default=0.0, init=False)
    removed: bool = field(default=False, init=False)


class FairQueue(Generic[Handle]):
    """Weighted fair queueing within each priority.

    Parameters
    ----------
    length : int, default=256
        How many requests may wait. Beyond that, one of the lowest priority is shed; if none has a
        lower priority than the new request, the new one is.

    Notes
    -----
    Each request has a virtual finish time: its virtual start time plus its cost divided by its
    team's weight. The earliest finish time is served first. The virtual start time is the virtual
    finish time of the team's previous request, but not before the current virtual time, so that
    a team gains no advantage from having been idle. The current virtual time is the largest
    virtual start time of the requests that were taken from the queue (start-time fair queueing).

    Examples
    --------
    >>> queue = FairQueue()
    >>> for team in ("a", "a", "b"):
    ...     _ = queue.push(QueueEntry(team, 1.0, 1.0, 5, 99.0))
    >>> [queue.pop(0.0).team for _ in range(3)]
    ['a', 'b', 'a']
    """

    __slots__ = ("_heap", "_size", "_team_finish", "_arrival_numbers", "_virtual_time", "length")

    def __init__(self, length: int = DEFAULT_MAX_LENGTH):
        self.length = length
        self._heap: list[tuple[int, float, int, QueueEntry[Handle]]] = []
        self._team_finish: dict[str, float] = {}
        self._arrival_numbers = itertools.count()
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, waiting: QueueEntry[Handle]) -> QueueEntry[Handle] | None:
        """Add a request; return the one that is shed for it, which may be the new one, or None."""
        shed = None
        if self._size >= self.length:
            shed = self._request_to_shed(waiting)
            if shed is waiting:
                return shed
            self.remove(shed)
        start = max(self._virtual_time, self._team_finish.get(waiting.team, 0.0))
        waiting.virtual_finish = start + waiting.cost / waiting.weight
        self._team_finish[waiting.team] = waiting.virtual_finish
        entry = (-waiting.priority, waiting.virtual_finish, next(self._arrival_numbers), waiting)
        heapq.heappush(self._heap, entry)
        self._size += 1
        return shed

    def _request_to_shed(self, new_request: QueueEntry[Handle]) -> QueueEntry[Handle]:
        """Return the request to shed when `new_request` arrives at a full queue.

        It is the queued request that would be served last, if its priority is lower than that of
        the new request, or else the new request.
        """
        entries = [entry for entry in self._heap if not entry[3].removed]
        last_served = max(entries)[3]
        return last_served if last_served.priority < new_request.priority else new_request

    def pop(self, now_s: float) -> QueueEntry[Handle] | None:
        """Remove and return the next request whose deadline has not passed, or return None.

        Requests whose deadline has passed are removed from the queue.
        """
        while self._heap:
            waiting = heapq.heappop(self._heap)[3]
            if waiting.removed:
                continue
            waiting.removed = True
            self._size -= 1
            self._virtual_time = max(
                self._virtual_time, waiting.virtual_finish - waiting.cost / waiting.weight
            )
            if waiting.deadline_s >= now_s:
                return waiting
        if not self._heap:
            self._team_finish.clear()
            self._virtual_time = 0.0
        return None

    def peek(self) -> QueueEntry[Handle] | None:
        """Return the next request without removing it, or None if the queue is empty."""
        while self._heap and self._heap[0][3].removed:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def remove(self, waiting: QueueEntry[Handle]) -> None:
        """Remove a request from any position in the queue."""
        if not waiting.removed:
            waiting.removed = True
            self._size -= 1

    def ahead_of(self, priority: int) -> int:
        """Return how many queued requests have this priority or a higher one."""
        return sum(1 for e in self._heap if not e[3].removed and e[3].priority >= priority)
