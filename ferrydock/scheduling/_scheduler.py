"""The hall scheduler: chooses the target of every request of a hall and owns the hall's queue.

Runs in the daemon that leads the hall. Its in-flight counts and its queue are in memory: a new
leader starts with empty counts and fills them from the daemons' next messages. Relies on the target
directory and the configuration of its daemon.
"""

import functools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from math import isinf

from ..backpressure import ColdPacer, HallPacer
from ..clock import Clock
from ..configuration import ServiceSpec
from ..teams import TeamShares, TeamUse
from ._cold_endpoints import cold_endpoints, cold_slots
from ._demand import DemandMeter
from ._endpoints import Endpoint, EndpointCatalog, max_requests
from ._in_flight import InFlightCounts
from ._late_reserve import may_late_request_take
from ._messages import SlotReply, SlotRequest
from ._selection import HALL_SELECTION, Candidate, least_loaded
from ._waiting_queue import WaitingQueue

__all__ = ["HallScheduler"]

# How long a target stays suspected after a daemon avoided it: until the hall leader has found out
# whether a member of its replica is dead. A daemon notices a lost member from its own attempts
# after 0.15 s, the leader after 0.5 s or more. Without suspicion ten requests a second would be
# sent to the replica in between.
SUSPICION_S = 0.6

# When a request may be sent again if all its targets are under rate limits of which this scheduler
# has no share. It has none while it does not lead its hall, and daemons learn of the new leader
# within about this time.
NO_SHARE_RETRY_S = 1.0

# Shortest time at the scheduler that a grant of a cold target states: 0 is omitted from a reply.
MIN_WAITED_S = 0.001


class HallScheduler:
    """Assigns slots of targets to the requests of all daemons of a hall.

    Parameters
    ----------
    catalog : EndpointCatalog
        Looks up the targets that can serve a request.
    counts : InFlightCounts
        Requests in flight at each target.
    hall : str
        Hall of the scheduler; its targets are preferred.
    services : callable
        Returns the spec of a service by its name, or None.
    demand : DemandMeter, optional
        Counts the requests for each model; by default a new one for a site of one hall.
    limit_share : callable, optional
        Returns the share (0 to 1) of a target's rate limit that this scheduler may grant, by the
        target's hall; by default the complete limit.
    cold_share : callable, optional
        The same for the requests that cold targets bear; by default `limit_share`. It must be 0 as
        soon as another scheduler may lead the hall.
    shares : TeamShares, optional
        Shares slots that are short among teams; by default teams do not matter.
    has_late_reserve : bool, optional
        Whether late requests leave some slots free for those that can be in time.

    Notes
    -----
    No replica gets more requests than its slots; a request that finds no free slot waits in the
    queue. If one daemon avoids a target, because an attempt there failed or its replica seems
    broken, the other daemons get that target only if no other has a free slot. Requests to a target
    under a rate limit are granted at the rate of that limit. A request that rate limits keep from
    all targets for longer than it may wait is refused at once. Cold targets get requests if no warm
    one has a free slot, and only as many as they bear (`ColdPacer`).
    Why one daemon decides for all: docs/design/scheduling.md.
    """

    __slots__ = (
        "_suspected_at_s",
        "_queue",
        "catalog",
        "clock",
        "counts",
        "demand",
        "hall",
        "pacer",
        "rng",
        "services",
    )

    def __init__(
        self,
        catalog: EndpointCatalog,
        counts: InFlightCounts,
        hall: str,
        services: Callable[[str], ServiceSpec | None],
        clock: Clock,
        rng: random.Random,
        demand: DemandMeter | None = None,
        limit_share: Callable[[str], float] = lambda hall: 1.0,
        cold_share: Callable[[str], float] | None = None,
        shares: TeamShares | None = None,
        has_late_reserve: bool = False,
    ):
        cold_pacer = ColdPacer(catalog.cold, cold_share or limit_share, hall)
        self.pacer = HallPacer(catalog.limits, limit_share, cold_pacer)
        self.catalog = catalog
        self.counts = counts
        self.demand = demand or DemandMeter(halls=1)
        self.hall = hall
        self.services = services
        self.clock = clock
        self.rng = rng
        self._queue: WaitingQueue[tuple[SlotRequest, float], SlotReply] = WaitingQueue(
            shares, has_late_reserve
        )
        self._suspected_at_s: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def shares(self) -> TeamShares | None:
        """Shares slots that are short among teams; None if teams do not matter."""
        return self._queue.shares

    def waiting_by_team(self) -> dict[str, int]:
        """Return how many requests of each team are in the queue; empty without shares."""
        return self._queue.waiting_by_team()

    def team_report(self) -> dict[str, TeamUse]:
        """Return the slots granted and wanted by team, for other halls; empty without a queue."""
        return self.shares.own_report() if self.shares is not None and self.waiting else {}

    def receive_counts(self, request: SlotRequest) -> None:
        """Apply a daemon's report, then assign the slots that it frees to queued requests."""
        now_s = self.clock.now_s()
        self.catalog.limits.merge(request.limits, now_s)
        self.counts.receive(request.sender, request.running, now_s, request.seen)
        self.assign_free_slots()

    async def acquire(self, request: SlotRequest) -> SlotReply:
        """Grant a slot at once or within `request.hold_s`, if one is free.

        The reply includes the rate limits of which the sender reports no value or another one.
        """
        self.receive_counts(request)
        reply = await self._acquire(request)
        missing_limits = self.catalog.limits.unknown_to_sender(request.limits, self.clock.now_s())
        return replace(reply, limits=missing_limits) if missing_limits else reply

    async def _acquire(self, request: SlotRequest) -> SlotReply:
        received_s = self.clock.now_s()
        self.catalog.cold.note_request()
        self._note_suspected(request)
        # A daemon sends a request first with `hold_s` 0 and, if no slot is free, once more with the
        # time that it may wait in the queue; only the first counts as demand.
        if request.model and request.hold_s <= 0:
            self.demand.count_request(request.service, request.model)
        endpoints = self._endpoints(request)
        if not endpoints:
            return SlotReply("", 0)
        rank = (*request.rank, received_s + request.left_s)
        needs = (request.service, request.model)
        reply = None
        if not self._queue.must_wait(rank, needs, request.team, request.is_late):
            reply = self._grant_slot(request, endpoints, received_s)
        if reply is not None:
            self._queue.count_immediate_grant(needs, request.team, request.is_late)
            return reply
        limited_for_s = self._limited_for_s(needs, endpoints)
        if request.hold_s > limited_for_s:
            over_share_for_s = self._over_share_for_s(request, rank, needs)
            if over_share_for_s > 0:
                self._note_refusal(request, None)
                return SlotReply("", len(endpoints), over_share_for_s=over_share_for_s)
            reply = await self._queue.wait(
                rank,
                needs,
                (request, received_s),
                request.hold_s,
                request.excluded_targets,
                team=request.team,
                is_late=request.is_late,
            )
            self._note_refusal(request, reply)
        if reply is None and self.catalog.is_evacuated(request.service):
            return SlotReply("", 0)
        return reply or SlotReply("", len(endpoints), limited_for_s=limited_for_s)

    def _over_share_for_s(self, request: SlotRequest, rank: tuple, needs: tuple[str, str]) -> float:
        """Return after how many seconds a request may return that must not be queued; 0 if it may.

        Requests that exclude targets are always queued: they may have run already, and their
        callers could not safely repeat them. Senders that send no team cannot decode the reply.
        """
        if not request.team or request.excluded_targets:
            return 0.0
        return self._queue.over_share_for_s(
            rank, needs, request.hold_s, request.team, request.is_late
        )

    def _note_refusal(self, request: SlotRequest, reply: SlotReply | None) -> None:
        """Count a request that got no slot although it could wait for one.

        Not counted are requests that exclude targets, since slots may be free at those, and
        requests that rate limits delay.
        """
        if reply is None and request.model and not request.excluded_targets:
            targets = [endpoint.target for endpoint in self._endpoints(request)]
            now_s = self.clock.now_s()
            if any(self.pacer.wait_s(target, now_s) <= 0 for target in targets):
                self.demand.count_refusal(request.service, request.model)

    def assign_free_slots(self) -> None:
        """Assign free slots to queued requests, highest priority first.

        Requests for a service that evacuations have left without targets stop waiting.
        """
        if self.catalog.evacuated.count:
            is_evacuated = functools.cache(self.catalog.is_evacuated)
            self._queue.end_waits(lambda queued: is_evacuated(queued[0].service))
        self._queue.assign_free_slots(
            lambda queued: self._grant_slot(queued[0], self._endpoints(queued[0]), queued[1])
        )

    def _limited_for_s(self, needs: tuple[str, str], endpoints: list[Endpoint]) -> float:
        """Return in how many seconds rate limits permit a request that is last in the queue.

        0 if the limit of some endpoint permits a request now, or it has none.
        """
        now_s = self.clock.now_s()
        targets = [endpoint.target for endpoint in endpoints]
        min_wait_s = min(self.pacer.wait_s(target, now_s) for target in targets)
        if min_wait_s <= 0 or isinf(min_wait_s):
            return min(min_wait_s, NO_SHARE_RETRY_S)
        granted_per_s = sum(self.pacer.rate_per_s(target) or 0.0 for target in targets)
        return min_wait_s + self._queue.waiting_for(needs) / granted_per_s

    def _grant_slot(
        self, request: SlotRequest, endpoints: list[Endpoint], received_s: float
    ) -> SlotReply | None:
        """Grant a slot of the least loaded endpoint; return None if all are full or limited.

        Parameters
        ----------
        received_s : float
            Local time at which the request was received.
        """
        service = self.services(request.service)
        if service is None:
            return None
        now_s = self.clock.now_s()
        candidates = self._candidates(service, endpoints, now_s)
        is_reserved_from = self._queue.has_late_reserve and request.is_late
        if is_reserved_from and not may_late_request_take(candidates):
            return None
        chosen = least_loaded(candidates, self.hall, HALL_SELECTION, self.rng)
        if chosen is None:
            return None
        target_id = chosen.target.target_id
        if request.model:
            self.demand.count_grant(request.service, request.model)
        self.pacer.note_granted(chosen.target, now_s)
        grant = self.counts.grant(request.sender, target_id, now_s)
        is_cold = self.catalog.cold.remaining_s(chosen.target, now_s) > 0
        waited_s = max(MIN_WAITED_S, now_s - received_s) if is_cold else 0.0
        return SlotReply(target_id, len(endpoints), grant, waited_s=waited_s)

    def _candidates(
        self, service: ServiceSpec, endpoints: list[Endpoint], now_s: float
    ) -> list[Candidate]:
        """Return the endpoints that may get a request now, with their loads and slots.

        Cold endpoints take a part of their slots, unless all endpoints of the request are cold:
        then the bound on their requests is the only one.
        """
        cold: dict[str, float] = {}
        if self.catalog.has_cold(now_s):
            cold = cold_endpoints(self.catalog.cold, endpoints, now_s)
        has_warm = len(cold) < len(endpoints)
        leaving = self.catalog.evacuated.leaving_halls()
        candidates = []
        for endpoint in self._permitted_endpoints(endpoints, now_s):
            target_id = endpoint.target.target_id
            slots = max_requests(service, endpoint.target)
            is_cold = target_id in cold
            if is_cold and has_warm:
                slots = cold_slots(slots, cold[target_id])
            in_flight, is_suspected = self.counts.total(target_id), self._is_suspected(target_id)
            is_leaving = endpoint.target.hall in leaving
            candidates.append(
                Candidate(endpoint, in_flight, slots, is_suspected, is_cold, is_leaving)
            )
        return candidates

    def _permitted_endpoints(self, endpoints: list[Endpoint], now_s: float) -> list[Endpoint]:
        """Return the endpoints whose rate limits and coldness permit a request now."""
        if not self.catalog.limits and not self.catalog.has_cold(now_s):
            return endpoints
        return [e for e in endpoints if self.pacer.wait_s(e.target, now_s) <= 0]

    def _note_suspected(self, request: SlotRequest) -> None:
        """Record the targets that the sender of a request for a model avoids."""
        now_s = self.clock.now_s()
        if request.model and request.avoid:
            self._suspected_at_s = {
                i: recorded_s
                for i, recorded_s in self._suspected_at_s.items()
                if now_s - recorded_s < SUSPICION_S
            }
            self._suspected_at_s.update(dict.fromkeys(request.avoid, now_s))

    def _is_suspected(self, target_id: str) -> bool:
        return self.clock.now_s() - self._suspected_at_s.get(target_id, float("-inf")) < SUSPICION_S

    def sample_demand(self) -> None:
        """Pass the hall's requests in flight, by service and model, to the demand meter."""
        in_flight: Counter[tuple[str, str]] = Counter()
        for target_id, count in self.counts.of_hall().items():
            target = self.catalog.directory.targets.get(target_id)
            if target is not None and target.models:
                in_flight[target.service, target.models[0]] += count
        self.demand.sample(in_flight, self.clock.now_s())

    def _endpoints(self, request: SlotRequest) -> list[Endpoint]:
        """Return the endpoints of a request without those that its sender excludes."""
        service = self.services(request.service)
        if service is None:
            return []
        endpoints = self.catalog.endpoints(service, request.model)
        excluded = request.excluded_targets
        return [e for e in endpoints if e.target.target_id not in excluded]
