"""Choice of a target for each attempt, and the queue of those for whom there is no room."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable

from ..clock import Clock
from ..scheduling import Endpoint, endpoints, max_requests
from ..targets import TargetDirectory
from ._exchange import Exchange
from ._target_loads import TargetLoads

__all__ = ["EndpointSelector"]

OTHER_HALL_PENALTY = 0.25


class EndpointSelector:
    """Chooses targets and queues requests.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and replicas.
    loads : TargetLoads
        Their loads; a chosen place is counted there at once.
    hall : str
        Where this daemon stands; its targets are preferred.
    daemons : callable
        Returns how many daemons share the connections that a target takes.

    Attributes
    ----------
    broken : set of (str, int)
        Replicas, by name and epoch, that were found broken.
    """

    __slots__ = (
        "_numbers",
        "_waiting",
        "broken",
        "clock",
        "daemons",
        "directory",
        "hall",
        "loads",
        "rng",
    )

    def __init__(
        self,
        directory: TargetDirectory,
        loads: TargetLoads,
        hall: str,
        clock: Clock,
        rng: random.Random,
        daemons: Callable[[], int] = lambda: 1,
    ):
        self.daemons = daemons
        self.directory = directory
        self.loads = loads
        self.hall = hall
        self.clock = clock
        self.rng = rng
        self.broken: set[tuple[str, int]] = set()
        self._waiting: list[tuple] = []
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    async def place(self, exchange: Exchange, patience_s: float) -> Endpoint | None:
        """Return a place, counted as taken, or None if none came free in time."""
        place = None if self._has_higher_priority_waiter(exchange) else self._take(exchange)
        if place is not None or patience_s <= 0:
            return place
        future = asyncio.get_running_loop().create_future()
        entry = (exchange.rank, next(self._numbers), exchange, future)
        heapq.heappush(self._waiting, entry)
        try:
            async with asyncio.timeout(patience_s):
                return await future
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(future.result())
            raise
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)

    def _has_higher_priority_waiter(self, exchange: Exchange) -> bool:
        """Whether somebody who waits for the same goes first."""
        return any(
            other.service.name == exchange.service.name
            and other.inbound.model == exchange.inbound.model
            and rank <= exchange.rank
            for rank, _, other, _ in self._waiting
        )

    def release(self, place: Endpoint) -> None:
        """Give back a place, and let in whoever waits for it."""
        self.loads.ended(place.target.target_id)
        self.assign_free_slots()

    def assign_free_slots(self) -> None:
        """Let in those who wait and now have room, first the most urgent."""
        if not self._waiting:
            return
        left = []
        full: set[tuple[str, str]] = set()
        for entry in sorted(self._waiting, key=lambda e: e[:2]):
            exchange, future = entry[2], entry[3]
            wanted = (exchange.service.name, exchange.inbound.model)
            place = None
            if future.done():
                continue
            if wanted not in full:
                place = self._take(exchange)
            if place is None:
                full.add(wanted)
                left.append(entry)
            else:
                future.set_result(place)
        self._waiting = left

    def _take(self, exchange: Exchange) -> Endpoint | None:
        place = self.choose(exchange)
        if place is not None:
            self.loads.began(place.target.target_id, self.clock.now_s())
        return place

    def endpoint_count(self, exchange: Exchange) -> int:
        """Return at how many places a request could be served, full ones included."""
        return len(self._endpoints(exchange))

    def may_go_elsewhere(self, exchange: Exchange) -> bool:
        """Return whether a request that was tried can have another target, now or soon.

        Replicas are formed all the time; a plain target that is not there does not come in time.
        """
        if exchange.service.engine is not None:
            return True
        return any(p.target.target_id not in exchange.tried for p in self._endpoints(exchange))

    def choose(self, exchange: Exchange) -> Endpoint | None:
        """Return the best place with room, or None."""
        now_s = self.clock.now_s()
        found = self._endpoints(exchange)
        fresh = [p for p in found if p.target.target_id not in exchange.tried]
        sound = [p for p in fresh if not self.loads.is_ejected(p.target.target_id, now_s)]
        for candidates in (sound, [] if sound else fresh):
            best = self._least_loaded(exchange, candidates)
            if best is not None:
                return best
        return None

    def _endpoints(self, exchange: Exchange) -> list[Endpoint]:
        return endpoints(exchange.service, exchange.inbound.model, self.directory, self.broken)

    def _least_loaded(self, exchange: Exchange, found: list[Endpoint]) -> Endpoint | None:
        connections = max(1, exchange.service.max_connections // self.daemons())
        best, best_score = None, float("inf")
        for place in found:
            slots = max_requests(exchange.service, place.target)
            load = self.loads.of(place.target.target_id)
            if load.running >= slots or load.running >= connections:
                continue
            score = load.running / slots + 0.05 * self.rng.random()
            if place.target.hall != self.hall:
                score += OTHER_HALL_PENALTY
            if score < best_score:
                best, best_score = place, score
        return best
