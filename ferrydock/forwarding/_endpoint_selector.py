"""Chooses targets from this daemon's own state, and queues requests for free slots.

Used without a hall scheduler: always by the table's daemon, and by the route daemon while the
scheduler does not answer. Owns the queue; relies on the catalog for the targets and on
`TargetLoads` for this daemon's own requests and ejections.
"""

import asyncio
import functools
import random
from collections.abc import Callable

from ..backpressure import LeaderlessPacer
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
from ..teams import TeamShares
from ._exchange import Exchange, NoEndpoint, NoEndpointReason
from ._target_loads import TargetLoads

__all__ = ["EndpointSelector"]

# Retry-After of a request that a daemon without a hall scheduler may send to no target, since all
# are at their rate limits. In about this time a new leader schedules the hall's requests.
LEADERLESS_RETRY_S = 1.0

# Retry-After of a request whose targets are all in closed halls. Operators evacuate halls for
# minutes, and a caller that comes back within seconds of the end loses little by it.
EVACUATED_RETRY_S = 2.0

# Time between two checks of targets that are all backed off.
BACKOFF_POLL_S = 0.1


class EndpointSelector:
    """Assigns slots of targets to this daemon's requests, without a hall scheduler.

    Parameters
    ----------
    catalog : EndpointCatalog
        Lists the targets that can serve a request.
    loads : TargetLoads
        This daemon's requests at each target; counts a slot as taken once it is assigned.
    hall : str
        Hall of this daemon; its targets are preferred.
    daemons : callable
        Returns the number of daemons that share a target's connections and its rate limit.
    shares : TeamShares, optional
        Shares slots that are short among teams; by default teams do not matter.

    Attributes
    ----------
    pacer : LeaderlessPacer
        Bounds the request rate to targets that have stated a limit, and excludes cold targets.
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
        shares: TeamShares | None = None,
    ):
        self.catalog = catalog
        self.loads = loads
        self.hall = hall
        self.clock = clock
        self.rng = rng
        self.daemons = daemons
        self.pacer = LeaderlessPacer(catalog.limits, daemons, catalog.cold)
        self._queue: WaitingQueue[Exchange, Endpoint] = WaitingQueue(shares)

    @property
    def queue_length(self) -> int:
        """Number of requests in this daemon's queue."""
        return len(self._queue)

    def waiting_by_team(self) -> dict[str, int]:
        """Return how many requests of each team are in the queue; empty without shares."""
        return self._queue.waiting_by_team()

    async def acquire(self, exchange: Exchange, max_queue_s: float) -> Endpoint | None:
        """Acquire a slot; return its endpoint, or None if none became free in time.

        Parameters
        ----------
        max_queue_s : float
            How long the request may wait, in seconds; not at all if 0 or less.
        """
        needs, team = (exchange.service.name, exchange.inbound.model), exchange.team
        exchange.no_endpoint = NoEndpoint()
        until_s = self.clock.now_s() + max_queue_s
        if not await self._wait_for_backoffs(exchange, until_s) or self._is_evacuated(exchange):
            return None
        max_queue_s = until_s - self.clock.now_s()
        endpoint = None
        if not self._queue.must_wait(exchange.rank, needs, team):
            endpoint = self._acquire_free(exchange)
        if endpoint is not None:
            self._queue.count_immediate_grant(needs, team, exchange.is_late)
            return endpoint
        if self._is_blocked_by_limits(exchange):
            exchange.no_endpoint = NoEndpoint(NoEndpointReason.TARGETS_LIMITED, LEADERLESS_RETRY_S)
            return None
        if max_queue_s <= 0 or self._is_over_share(exchange, needs, max_queue_s):
            return None
        endpoint = await self._queue.wait(
            exchange.rank,
            needs,
            exchange,
            max_queue_s,
            excluded_targets=self._excluded_target_ids(exchange),
            release=self.release,
            team=team,
            is_late=exchange.is_late,
        )
        if endpoint is None:
            self._is_evacuated(exchange)
        return endpoint

    def release(self, endpoint: Endpoint) -> None:
        """Release a slot, and assign free slots to queued requests."""
        self.loads.request_ended(endpoint.target.target_id)
        self.assign_free_slots()

    def report(self) -> None:
        """Do nothing: there is no scheduler to report to. `HallEndpointSelector` overrides this."""

    def assign_free_slots(self) -> None:
        """Assign free slots to queued requests, highest priority first.

        Requests for a service that evacuations have left without targets stop waiting.
        """
        if self.catalog.evacuated.count:
            is_evacuated = functools.cache(self.catalog.is_evacuated)
            self._queue.end_waits(lambda e: is_evacuated(e.service.name))
        self._queue.assign_free_slots(self._acquire_free)

    def endpoint_count(self, exchange: Exchange) -> int:
        """Return the number of endpoints for a request, including full and ejected ones."""
        return len(self._endpoints(exchange))

    def may_go_elsewhere(self, exchange: Exchange) -> bool:
        """Return whether a request has, or may soon have, a target that it has not tried.

        Replicas are formed continually, so one may appear before the caller's deadline. Targets of
        services without an engine are not, and requests that waited for a second one got none.
        """
        if self.catalog.is_evacuated(exchange.service.name):
            return False
        if exchange.service.engine is not None:
            return True
        return any(
            e.target.target_id not in exchange.tried_target_ids for e in self._endpoints(exchange)
        )

    def has_left_target(self, exchange: Exchange) -> bool:
        """Return whether a target that a request has left serves, or may only be silent."""
        endpoints = self.catalog.endpoints(
            exchange.service, exchange.inbound.model, includes_suspected=True
        )
        return any(e.target.target_id in exchange.left_target_ids for e in endpoints)

    def _acquire_free(self, exchange: Exchange) -> Endpoint | None:
        """Choose an endpoint and count its slot as taken; return None if all are full.

        Excludes targets that may not get the request (`_may_be_sent_to`) or are backed off.
        Ejected targets are used only if all are ejected: the cause is then more likely this daemon
        than the targets. A retry, which may be the last attempt, goes to a target whose last
        attempt failed only if no other is free.
        """
        now_s = self.clock.now_s()
        accepting = self._accepting(exchange, now_s)
        healthy = [e for e in accepting if not self.loads.is_ejected(e.target.target_id, now_s)]
        candidates = []
        if exchange.tried_target_ids:
            sound = [e for e in healthy if not self.loads.has_failed_last(e.target.target_id)]
            candidates = self._candidates(exchange, sound)
        candidates = candidates or self._candidates(exchange, healthy or accepting)
        endpoint = least_loaded(candidates, self.hall, DAEMON_SELECTION, self.rng)
        if endpoint is not None:
            self.loads.request_started(endpoint.target.target_id, now_s)
            exchange.chosen_s = now_s
            self.pacer.note_sent(endpoint.target.target_id, now_s)
        return endpoint

    def _permitted(self, exchange: Exchange) -> list[Endpoint]:
        endpoints = self._endpoints(exchange)
        return [e for e in endpoints if _may_be_sent_to(exchange, e.target.target_id)]

    def _excluded_target_ids(self, exchange: Exchange) -> tuple[str, ...]:
        """Return the ids of tried and of listed targets that may not get a request."""
        known = {*exchange.tried_target_ids}
        if exchange.is_returning:
            known.update(e.target.target_id for e in self._endpoints(exchange))
        return tuple(sorted(t for t in known if not _may_be_sent_to(exchange, t)))

    def _accepting(self, exchange: Exchange, now_s: float) -> list[Endpoint]:
        """Return the endpoints that may get a request and that are not backed off."""
        backoffs = self.catalog.backoffs
        return [e for e in self._permitted(exchange) if backoffs.remaining_s(e.target, now_s) <= 0]

    def _is_evacuated(self, exchange: Exchange) -> bool:
        """Return whether evacuations leave a request without targets; record it as the reason."""
        if not self.catalog.is_evacuated(exchange.service.name):
            return False
        evacuated = NoEndpointReason.HALLS_EVACUATED
        exchange.no_endpoint = NoEndpoint(evacuated, EVACUATED_RETRY_S)
        return True

    def _is_over_share(self, exchange: Exchange, needs: tuple, max_queue_s: float) -> bool:
        """Return whether a request must not be queued, since its team is over its share.

        Records that as the reason. Retries are always queued, as at the hall scheduler.
        """
        if exchange.tried_target_ids:
            return False
        over_share_for_s = self._queue.over_share_for_s(
            exchange.rank, needs, max_queue_s, exchange.team, exchange.is_late
        )
        if over_share_for_s > 0:
            over_share = NoEndpointReason.TEAM_OVER_SHARE
            exchange.no_endpoint = NoEndpoint(over_share, over_share_for_s)
        return over_share_for_s > 0

    async def _wait_for_backoffs(self, exchange: Exchange, until_s: float) -> bool:
        """Wait while all targets are backed off; return False if that would last past `until_s`.

        Sleeps in short intervals, since a target may join in the meantime.
        """
        while (left_s := self._backoff_remaining_s(exchange)) > 0:
            if self.clock.now_s() + left_s > until_s:
                exchange.no_endpoint = NoEndpoint(NoEndpointReason.TARGETS_REST, left_s)
                return False
            await asyncio.sleep(min(left_s, BACKOFF_POLL_S))
        return True

    def _backoff_remaining_s(self, exchange: Exchange) -> float:
        """Return the seconds until the first back-off ends; 0 if a target is not backed off."""
        backoffs = self.catalog.backoffs
        if not backoffs:
            return 0.0
        now_s = self.clock.now_s()
        return min(
            (backoffs.remaining_s(e.target, now_s) for e in self._permitted(exchange)), default=0.0
        )

    def _is_blocked_by_limits(self, exchange: Exchange) -> bool:
        """Return whether rate limits are what keeps a request from every target it could use."""
        now_s = self.clock.now_s()
        accepting = self._accepting(exchange, now_s)
        return bool(accepting) and not any(
            self.pacer.may_send_to(e.target, now_s) for e in accepting
        )

    def _candidates(self, exchange: Exchange, endpoints: list[Endpoint]) -> list[Candidate]:
        """Return the endpoints with a free connection and rate limit left for this daemon.

        The connections that a target accepts are divided evenly among all daemons.
        """
        connections = max(1, exchange.service.max_connections // self.daemons())
        now_s = self.clock.now_s()
        leaving = self.catalog.evacuated.leaving_halls()
        candidates = []
        for endpoint in endpoints:
            target_id = endpoint.target.target_id
            in_flight = self.loads.of(target_id).in_flight
            if in_flight < connections and self.pacer.may_send_to(endpoint.target, now_s):
                slots = max_requests(exchange.service, endpoint.target)
                is_leaving = endpoint.target.hall in leaving
                candidate = Candidate(endpoint, in_flight, slots, is_leaving=is_leaving)
                candidates.append(candidate)
        return candidates

    def _endpoints(self, exchange: Exchange) -> list[Endpoint]:
        return self.catalog.endpoints(exchange.service, exchange.inbound.model)


def _may_be_sent_to(exchange: Exchange, target_id: str) -> bool:
    """Return whether the next attempt of a request may be made at a target."""
    if exchange.is_returning:
        return target_id in exchange.left_target_ids
    return target_id not in exchange.tried_target_ids
