"""The choice of a target for each request of a hall, and the hall's queue."""

import asyncio
import bisect
import itertools
import random
from collections.abc import Callable, Container
from dataclasses import dataclass

from ..clock import Clock
from ..configuration import ServiceSpec
from ..targets import Target, TargetDirectory
from ._endpoints import endpoints, max_requests
from ._in_flight import InFlightCounts
from ._messages import SlotReply, SlotRequest

__all__ = ["HallScheduler"]

OTHER_HALL_PENALTY = 0.5
OTHER_HALL_RESERVE = 1
TIE_BREAK = 0.01


@dataclass(slots=True, eq=False)
class _Waiting:
    """A request for which there is no room yet."""

    key: tuple
    request: SlotRequest
    future: asyncio.Future

    @property
    def wanted(self) -> tuple[str, str]:
        """What must serve it."""
        return self.request.service, self.request.model


class HallScheduler:
    """Places requests where the fewest run, and lets the most urgent of the waiting in first.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and replicas.
    counts : InFlightCounts
        What runs where.
    hall : str
        Whose targets are preferred.
    services : callable
        Returns the figures of a service, or None.
    broken : container of (str, int)
        Replicas that take nothing.

    Notes
    -----
    A replica answers as quickly as an idle one until its slots are taken, and ever later beyond.
    So no replica gets more than its slots; who finds none free waits here.
    """

    __slots__ = (
        "_numbers",
        "_queue",
        "broken",
        "clock",
        "directory",
        "hall",
        "counts",
        "rng",
        "services",
    )

    def __init__(
        self,
        directory: TargetDirectory,
        counts: InFlightCounts,
        hall: str,
        services: Callable[[str], ServiceSpec | None],
        broken: Container[tuple[str, int]],
        clock: Clock,
        rng: random.Random,
    ):
        self.directory = directory
        self.counts = counts
        self.hall = hall
        self.services = services
        self.broken = broken
        self.clock = clock
        self.rng = rng
        self._queue: list[_Waiting] = []
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """How many requests of the hall wait."""
        return len(self._queue)

    def heard(self, request: SlotRequest) -> None:
        """Take what a daemon tells of its requests; who waits may have room now."""
        now_s = self.clock.now_s()
        self.counts.heard(request.sender, request.running, now_s, request.seen)
        self.assign_free_slots()

    async def place(self, request: SlotRequest) -> SlotReply:
        """Return a place, at once or within the time that the request may wait here."""
        self.heard(request)
        found = self._candidates(request)
        if not found:
            return SlotReply("", 0)
        key = (*request.rank, self.clock.now_s() + request.left_s, next(self._numbers))
        wanted = (request.service, request.model)
        must_wait = any(w.wanted == wanted and w.key < key for w in self._queue)
        placed = None if must_wait else self._take(request, found)
        if placed is None and request.hold_s > 0:
            placed = await self._wait(_Waiting(key, request, _future()))
        return placed or SlotReply("", len(found))

    async def _wait(self, entry: _Waiting) -> SlotReply | None:
        bisect.insort(self._queue, entry, key=lambda waiting: waiting.key)
        try:
            async with asyncio.timeout(entry.request.hold_s):
                return await entry.future
        except TimeoutError:
            return None
        finally:
            if entry in self._queue:
                self._queue.remove(entry)

    def assign_free_slots(self) -> None:
        """Let in those who wait and now have room, first the most urgent."""
        full: set[tuple[str, str]] = set()
        for entry in list(self._queue):
            if entry.wanted in full or entry.future.done():
                continue
            placed = self._take(entry.request, self._candidates(entry.request))
            if placed is None:
                full.add(entry.wanted)
            else:
                self._queue.remove(entry)
                entry.future.set_result(placed)

    def _take(self, request: SlotRequest, found: list[Target]) -> SlotReply | None:
        """Return the place where the fewest run, counted as taken; None if all are full."""
        scored = [
            (score + TIE_BREAK * self.rng.random(), target.target_id)
            for target in found
            if (score := self._score(request, target)) is not None
        ]
        if not scored:
            return None
        target_id = min(scored)[1]
        number = self.counts.grant(request.sender, target_id, self.clock.now_s())
        return SlotReply(target_id, len(found), number)

    def _candidates(self, request: SlotRequest) -> list[Target]:
        service = self.services(request.service)
        if service is None:
            return []
        found = endpoints(service, request.model, self.directory, self.broken)
        return [p.target for p in found if p.target.target_id not in request.avoid]

    def _score(self, request: SlotRequest, target: Target) -> float | None:
        """Return how little a target is wanted; None for one without room."""
        slots = max_requests(self.services(request.service), target)
        is_near = target.hall == self.hall
        total = self.counts.total(target.target_id)
        if total >= slots - (0 if is_near else OTHER_HALL_RESERVE):
            return None
        return total / slots + (0.0 if is_near else OTHER_HALL_PENALTY)


def _future() -> asyncio.Future:
    return asyncio.get_running_loop().create_future()
