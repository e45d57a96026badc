"""Choice of a target by what this daemon alone knows, and this daemon's queue.

Used where there is no hall scheduler: by the table's daemon always, by the route daemon while the
scheduler does not answer. Owns the queue; relies on the catalog for which targets there are and on
`TargetLoads` for this daemon's own requests and ejections.
"""

import asyncio
import random
from collections.abc import Callable

from ..backpressure import LonePacer
from ..clock import Clock
from ..scheduling import (
    DAEMON_SELECTION,
    Candidate,
    Endpoint,
    EndpointCatalog,
    WaitingQueue,
    least_loaded,
    max_requests,
)
from ._exchange import Exchange, NoEndpoint, NoEndpointReason
from ._target_loads import TargetLoads

__all__ = ["EndpointSelector"]

# When a request may come again that this daemon, alone, may send to none of its targets, since all
# are under limits: in about this time a new leader schedules the hall's requests.
LONE_RETRY_S = 1.0

# Pause between two looks at targets of which all rest.
REST_LOOK_S = 0.1


class EndpointSelector:
    """Assigns slots of targets to this daemon's requests.

    Parameters
    ----------
    catalog : EndpointCatalog
        Which targets can serve a request.
    loads : TargetLoads
        This daemon's requests at each target; a slot counts as taken there at once.
    hall : str
        Hall of this daemon; its targets are preferred.
    daemons : callable
        Returns how many daemons share the connections that a target takes, and its limit.

    Attributes
    ----------
    pacer : LonePacer
        Bounds the requests to targets under a limit.
    """

    __slots__ = ("_queue", "catalog", "clock", "daemons", "hall", "loads", "pacer", "rng")

    def __init__(
        self,
        catalog: EndpointCatalog,
        loads: TargetLoads,
        hall: str,
        clock: Clock,
        rng: random.Random,
        daemons: Callable[[], int] = lambda: 1,
    ):
        self.catalog = catalog
        self.loads = loads
        self.hall = hall
        self.clock = clock
        self.rng = rng
        self.daemons = daemons
        self.pacer = LonePacer(catalog.limits, daemons)
        self._queue: WaitingQueue[Exchange, Endpoint] = WaitingQueue()

    @property
    def waiting(self) -> int:
        """How many requests wait in this daemon's queue."""
        return len(self._queue)

    async def acquire(self, exchange: Exchange, max_queue_s: float) -> Endpoint | None:
        """Return an endpoint whose slot is taken, or None if none came free in time.

        Parameters
        ----------
        max_queue_s : float
            How long the request may wait; 0 and less for not at all.
        """
        needs = (exchange.service.name, exchange.inbound.model)
        exchange.no_endpoint = NoEndpoint()
        until_s = self.clock.now_s() + max_queue_s
        if not await self._wait_for_rests(exchange, until_s):
            return None
        max_queue_s = until_s - self.clock.now_s()
        endpoint = None
        if not self._queue.must_wait(exchange.rank, needs):
            endpoint = self._take(exchange)
        if endpoint is not None:
            return endpoint
        if self._is_kept_by_limits(exchange):
            exchange.no_endpoint = NoEndpoint(NoEndpointReason.TARGETS_LIMITED, LONE_RETRY_S)
            return None
        if max_queue_s <= 0:
            return None
        return await self._queue.wait(
            exchange.rank,
            needs,
            exchange,
            max_queue_s,
            leaves_out=tuple(sorted(exchange.tried)),
            give_back=self.release,
        )

    def release(self, endpoint: Endpoint) -> None:
        """Give a slot back, and assign it to a request that waits for it."""
        self.loads.request_ended(endpoint.target.target_id)
        self.assign_free_slots()

    def report(self) -> None:
        """Report soon what has changed here; a daemon without a scheduler tells nobody."""

    def assign_free_slots(self) -> None:
        """Assign free slots to queued requests, highest priority first."""
        self._queue.assign_free_slots(self._take)

    def endpoint_count(self, exchange: Exchange) -> int:
        """Return how many endpoints could serve a request, full and ejected ones included."""
        return len(self._endpoints(exchange))

    def may_go_elsewhere(self, exchange: Exchange) -> bool:
        """Return whether a request can have another target than those it has tried.

        Replicas are formed all the time, so one may appear before the caller's deadline. Plain
        targets are not: a request waited for a second one in vain (docs/MEASUREMENTS.md, second
        sitting, "no wait for a second target").
        """
        if exchange.service.engine is not None:
            return True
        return any(e.target.target_id not in exchange.tried for e in self._endpoints(exchange))

    def _take(self, exchange: Exchange) -> Endpoint | None:
        """Choose an endpoint and count its slot as taken; None if all are full.

        Targets that were tried or that rest are left out. Ejected ones are used only if all others
        are ejected too: then the list of failures says more about this daemon than about them.
        """
        now_s = self.clock.now_s()
        untried = self._awake(exchange, now_s)
        healthy = [e for e in untried if not self.loads.is_ejected(e.target.target_id, now_s)]
        candidates = self._candidates(exchange, healthy or untried)
        endpoint = least_loaded(candidates, self.hall, DAEMON_SELECTION, self.rng)
        if endpoint is not None:
            self.loads.request_started(endpoint.target.target_id, now_s)
            self.pacer.note_sent(endpoint.target.target_id, now_s)
        return endpoint

    def _untried(self, exchange: Exchange) -> list[Endpoint]:
        endpoints = self._endpoints(exchange)
        return [e for e in endpoints if e.target.target_id not in exchange.tried]

    def _awake(self, exchange: Exchange, now_s: float) -> list[Endpoint]:
        """Return the endpoints that a request may go to and that do not rest."""
        rests = self.catalog.rests
        return [e for e in self._untried(exchange) if rests.left_s(e.target, now_s) <= 0]

    async def _wait_for_rests(self, exchange: Exchange, until_s: float) -> bool:
        """Wait while all targets rest; return False at once if they do so for too long.

        A target may join meanwhile, so the time is not slept through.
        """
        while (left_s := self._resting_for_s(exchange)) > 0:
            if self.clock.now_s() + left_s > until_s:
                exchange.no_endpoint = NoEndpoint(NoEndpointReason.TARGETS_REST, left_s)
                return False
            await asyncio.sleep(min(left_s, REST_LOOK_S))
        return True

    def _resting_for_s(self, exchange: Exchange) -> float:
        """Return in how many seconds a target wants requests again; 0 if one does now."""
        rests = self.catalog.rests
        if not rests:
            return 0.0
        now_s = self.clock.now_s()
        return min((rests.left_s(e.target, now_s) for e in self._untried(exchange)), default=0.0)

    def _is_kept_by_limits(self, exchange: Exchange) -> bool:
        """Return whether limits alone keep a request from all targets that it could go to."""
        now_s = self.clock.now_s()
        awake = self._awake(exchange, now_s)
        return bool(awake) and not any(
            self.pacer.may_send(e.target.target_id, now_s) for e in awake
        )

    def _candidates(self, exchange: Exchange, endpoints: list[Endpoint]) -> list[Candidate]:
        """Return the endpoints that have a connection, and room in their limit, for this daemon.

        The connections that a target takes are divided evenly among all daemons.
        """
        connections = max(1, exchange.service.max_connections // self.daemons())
        now_s = self.clock.now_s()
        candidates = []
        for endpoint in endpoints:
            target_id = endpoint.target.target_id
            in_flight = self.loads.of(target_id).running
            if in_flight < connections and self.pacer.may_send(target_id, now_s):
                slots = max_requests(exchange.service, endpoint.target)
                candidates.append(Candidate(endpoint, in_flight, slots))
        return candidates

    def _endpoints(self, exchange: Exchange) -> list[Endpoint]:
        return self.catalog.endpoints(exchange.service, exchange.inbound.model)
