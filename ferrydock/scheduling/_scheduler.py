"""The hall scheduler: chooses the target of every request of a hall, and holds the hall's queue.

Runs in the daemon that leads the hall. Owns the in-flight counts and the queue, both in memory: a
new leader starts with empty counts and learns them from the daemons' next messages. Relies on the
target directory and the configuration of its daemon.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from math import isinf

from ..backpressure import HallPacer
from ..clock import Clock
from ..configuration import ServiceSpec
from ._demand import DemandMeter
from ._endpoints import Endpoint, EndpointCatalog, max_requests
from ._in_flight import InFlightCounts
from ._messages import SlotReply, SlotRequest
from ._selection import HALL_SELECTION, Candidate, least_loaded
from ._waiting_queue import WaitingQueue

__all__ = ["HallScheduler"]

# How long a target that one daemon avoids is offered last to the others, in seconds: until a
# verdict on its replica has reached the leader. A daemon notices a lost member by its own answers
# after 0.15 s, the leader after 0.5 s or more, and ten requests a second would go there meanwhile.
DOUBT_S = 0.6

# When a request may come again whose targets are all under limits of which this scheduler may grant
# nothing: it does not lead its hall, and the leader is known within about this time.
UNGRANTED_S = 1.0


class HallScheduler:
    """Assigns slots of targets to the requests of all daemons of a hall.

    Parameters
    ----------
    catalog : EndpointCatalog
        Which targets can serve a request.
    counts : InFlightCounts
        What each daemon has in flight.
    hall : str
        Whose targets are preferred.
    services : callable
        Returns the spec of a service by its name, or None.
    demand : DemandMeter, optional
        Is told of each request for a model; one of its own by default.
    limit_share : callable, optional
        Returns the part of a target's limit that this scheduler may grant, by the target's hall;
        the whole by default.

    Notes
    -----
    No replica gets more requests than its slots; a request that finds all slots taken waits here.
    What one daemon avoids, since a try there failed or its replica seems broken, is offered to the
    others only if nothing else has room. A target under a limit is granted requests at the pace of
    that limit; a request that limits keep from all targets for too long is refused at once.
    Why one daemon decides for all: docs/design/scheduling.md.
    """

    __slots__ = (
        "_doubted_s",
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
    ):
        self.pacer = HallPacer(catalog.limits, limit_share)
        self.catalog = catalog
        self.counts = counts
        self.demand = demand or DemandMeter(halls=1)
        self.hall = hall
        self.services = services
        self.clock = clock
        self.rng = rng
        self._queue: WaitingQueue[SlotRequest, SlotReply] = WaitingQueue()
        self._doubted_s: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """How many requests of the hall wait for a slot."""
        return len(self._queue)

    def receive_counts(self, request: SlotRequest) -> None:
        """Take over what a daemon reports; queued requests may fit now."""
        now_s = self.clock.now_s()
        self.catalog.limits.merge(request.limits, now_s)
        self.counts.receive(request.sender, request.running, now_s, request.seen)
        self.assign_free_slots()

    async def acquire(self, request: SlotRequest) -> SlotReply:
        """Return a slot, at once or within the `hold_s` of the request."""
        self.receive_counts(request)
        reply = await self._acquire(request)
        lacking = self.catalog.limits.reports_beyond(request.limits, self.clock.now_s())
        return replace(reply, limits=lacking) if lacking else reply

    async def _acquire(self, request: SlotRequest) -> SlotReply:
        self._note_doubts(request)
        if request.model and request.hold_s <= 0:
            self.demand.asked(request.service, request.model)
        endpoints = self._endpoints(request)
        if not endpoints:
            return SlotReply("", 0)
        rank = (*request.rank, self.clock.now_s() + request.left_s)
        needs = (request.service, request.model)
        reply = None
        if not self._queue.must_wait(rank, needs):
            reply = self._take(request, endpoints)
        if reply is not None:
            return reply
        limited_for_s = self._limited_for_s(needs, endpoints)
        if request.hold_s > limited_for_s:
            reply = await self._queue.wait(rank, needs, request, request.hold_s, request.leaves_out)
        return reply or SlotReply("", len(endpoints), limited_for_s=limited_for_s)

    def assign_free_slots(self) -> None:
        """Assign free slots to queued requests, highest priority first."""
        self._queue.assign_free_slots(lambda r: self._take(r, self._endpoints(r)))

    def _limited_for_s(self, needs: tuple[str, str], endpoints: list[Endpoint]) -> float:
        """Return in how many seconds limits allow a request that waits behind all others.

        0 if some endpoint is not held back by a limit now.
        """
        now_s = self.clock.now_s()
        targets = [endpoint.target for endpoint in endpoints]
        first_s = min(self.pacer.wait_s(target, now_s) for target in targets)
        if first_s <= 0 or isinf(first_s):
            return min(first_s, UNGRANTED_S)
        granted_per_s = sum(self.pacer.rate_per_s(target) or 0.0 for target in targets)
        return first_s + self._queue.waiting_for(needs) / granted_per_s

    def _take(self, request: SlotRequest, endpoints: list[Endpoint]) -> SlotReply | None:
        """Return a slot of the least loaded endpoint, counted as taken; None if all are full."""
        service = self.services(request.service)
        if service is None:
            return None
        now_s = self.clock.now_s()
        candidates = [
            Candidate(
                endpoint,
                self.counts.total(endpoint.target.target_id),
                max_requests(service, endpoint.target),
                self._is_doubtful(endpoint.target.target_id),
            )
            for endpoint in self._within_limits(endpoints, now_s)
        ]
        chosen = least_loaded(candidates, self.hall, HALL_SELECTION, self.rng)
        if chosen is None:
            return None
        target_id = chosen.target.target_id
        if request.model:
            self.demand.granted(request.service, request.model)
        self.pacer.take(chosen.target, now_s)
        grant = self.counts.grant(request.sender, target_id, now_s)
        return SlotReply(target_id, len(endpoints), grant)

    def _within_limits(self, endpoints: list[Endpoint], now_s: float) -> list[Endpoint]:
        """Return the endpoints that limits allow a request now."""
        if not self.catalog.limits:
            return endpoints
        return [e for e in endpoints if self.pacer.wait_s(e.target, now_s) <= 0]

    def _note_doubts(self, request: SlotRequest) -> None:
        """Note the targets that the sender of a request for a model avoids."""
        now_s = self.clock.now_s()
        if request.model and request.avoid:
            self._doubted_s = {
                i: at_s for i, at_s in self._doubted_s.items() if now_s - at_s < DOUBT_S
            }
            self._doubted_s.update(dict.fromkeys(request.avoid, now_s))

    def _is_doubtful(self, target_id: str) -> bool:
        return self.clock.now_s() - self._doubted_s.get(target_id, float("-inf")) < DOUBT_S

    def sample_demand(self) -> None:
        """Take the hall's requests in flight, by model, into the demand."""
        in_flight: Counter[tuple[str, str]] = Counter()
        for target_id, count in self.counts.of_hall().items():
            target = self.catalog.directory.targets.get(target_id)
            if target is not None and target.models:
                in_flight[target.service, target.models[0]] += count
        self.demand.sample(in_flight, self.clock.now_s())

    def _endpoints(self, request: SlotRequest) -> list[Endpoint]:
        """Return the endpoints that the sender does not leave out."""
        service = self.services(request.service)
        if service is None:
            return []
        endpoints = self.catalog.endpoints(service, request.model)
        left_out = request.leaves_out
        return [e for e in endpoints if e.target.target_id not in left_out]
