"""Chooses targets through the hall scheduler, or locally if the scheduler is unreachable.

Owns no state beyond the `EndpointSelector` it extends; relies on `scheduling.SchedulerClient`.
"""

from collections import Counter
from typing import TypeGuard

from ..scheduling import Endpoint, SchedulerClient, SlotReply, SlotRequest
from ._endpoint_selector import EndpointSelector
from ._exchange import Exchange, NoEndpoint, NoEndpointReason

__all__ = ["HallEndpointSelector"]


class HallEndpointSelector(EndpointSelector):
    """Requests each slot from the hall scheduler.

    Attributes
    ----------
    scheduler : SchedulerClient or None
        Sends requests to the scheduler; None to choose targets locally.
    """

    __slots__ = ("scheduler",)

    def __init__(self, *arguments, scheduler: SchedulerClient | None = None):
        super().__init__(*arguments)
        self.scheduler = scheduler

    def waiting_by_team(self) -> dict[str, int]:
        """Return the requests of each team in this daemon's queue and, if it leads, the hall's."""
        waiting = Counter(super().waiting_by_team())
        if self.scheduler is not None:
            waiting.update(self.scheduler.scheduler.waiting_by_team())
        return waiting

    async def acquire(self, exchange: Exchange, max_queue_s: float) -> Endpoint | None:
        """Acquire a slot; return its endpoint, or None if none became free in time.

        Up to two requests go to the scheduler. The first does not wait in its queue, so that a
        scheduler that is down costs 0.15 s and not the queue time; the second does.
        """
        until_s = self.clock.now_s() + max_queue_s
        exchange.no_endpoint = NoEndpoint()
        self.catalog.cold.note_request()
        if not await self._wait_for_backoffs(exchange, until_s) or self._is_evacuated(exchange):
            return None
        reply = await self._request_slot(exchange, 0.0)
        if _is_full(reply):
            left_s = until_s - self.clock.now_s()
            if left_s > reply.limited_for_s:
                reply = await self._request_slot(exchange, left_s)
            if _is_full(reply):
                if self._is_evacuated(exchange):
                    return None
                if reply.limited_for_s > 0:
                    limited = NoEndpointReason.TARGETS_LIMITED
                    exchange.no_endpoint = NoEndpoint(limited, reply.limited_for_s)
                elif reply.over_share_for_s > 0:
                    over_share = NoEndpointReason.TEAM_OVER_SHARE
                    exchange.no_endpoint = NoEndpoint(over_share, reply.over_share_for_s)
                return None
        if reply is not None and reply.target_id:
            endpoint = self._find_usable(exchange, reply)
            if endpoint is not None:
                exchange.chosen_s = self.clock.now_s()
                self.loads.request_started(endpoint.target.target_id, exchange.chosen_s)
                return endpoint
        # Choose locally: there is no reply, the scheduler knows no target, or its target is backed
        # off, not listed here (this daemon's list may be older or newer than the scheduler's), or
        # cold or in a hall that is closed, without the scheduler's knowledge.
        return await super().acquire(exchange, until_s - self.clock.now_s())

    def release(self, endpoint: Endpoint) -> None:
        """Release a slot, and report that to the scheduler."""
        super().release(endpoint)
        self.report()

    def report(self) -> None:
        """Schedule a report of this daemon's state to the scheduler."""
        if self.scheduler is not None:
            self.scheduler.schedule_report()

    async def _request_slot(self, exchange: Exchange, hold_s: float) -> SlotReply | None:
        if self.scheduler is None:
            return None
        return await self.scheduler.request_slot(self._slot_request(exchange, hold_s))

    def _find_usable(self, exchange: Exchange, reply: SlotReply) -> Endpoint | None:
        """Return the endpoint of a granted slot; None if it may not get the request.

        It may not if it is not listed here or excluded for this request, is backed off, is in a
        closed hall, or is cold here although the scheduler has granted it as a warm one: the list
        of a leader that is cut off from the store is old.
        """
        now_s = self.clock.now_s()
        for endpoint in self._permitted(exchange):
            target = endpoint.target
            if target.target_id == reply.target_id:
                is_unpaced = not reply.waited_s and self.catalog.cold.remaining_s(target, now_s) > 0
                is_backed_off = self.catalog.backoffs.remaining_s(target, now_s) > 0
                return None if is_unpaced or is_backed_off else endpoint
        return None

    def _slot_request(self, exchange: Exchange, hold_s: float) -> SlotRequest:
        now_s = self.clock.now_s()
        return SlotRequest(
            sender="",
            service=exchange.service.name,
            model=exchange.inbound.model if exchange.service.engine else "",
            avoid=self._target_ids_to_avoid(exchange, now_s),
            rank=exchange.rank[:3],
            left_s=exchange.rank[3] - now_s,
            hold_s=hold_s,
            resting=self._backed_off_ids(exchange, now_s),
            team=exchange.team if self._queue.shares is not None else "",
        )

    def _backed_off_ids(self, exchange: Exchange, now_s: float) -> tuple[str, ...]:
        """Return the ids of targets that have requested a back-off from this daemon."""
        if not self.catalog.backoffs:
            return ()
        targets = (e.target for e in self._endpoints(exchange))
        resting = (t.target_id for t in targets if self.catalog.backoffs.remaining_s(t, now_s) > 0)
        return tuple(sorted(resting))

    def _target_ids_to_avoid(self, exchange: Exchange, now_s: float) -> tuple[str, ...]:
        """Return the ids of targets that may not get a request, or are ejected or broken here.

        For a retry at a plain service, also those whose last attempt failed: it may be the last
        attempt. If the scheduler knows no other target, this daemon chooses by itself.
        """
        avoid = set(self._excluded_target_ids(exchange))
        directory = self.catalog.directory
        is_plain_retry = bool(exchange.tried_target_ids) and exchange.service.engine is None
        for target in directory.of_service(exchange.service.name):
            has_failed = is_plain_retry and self.loads.has_failed_last(target.target_id)
            if has_failed or self.loads.is_ejected(target.target_id, now_s):
                avoid.add(target.target_id)
        for replica in directory.replicas(exchange.service.name):
            if self.catalog.is_avoided(replica.key):
                avoid.add(replica.head.target_id)
        return tuple(sorted(avoid))


def _is_full(reply: SlotReply | None) -> TypeGuard[SlotReply]:
    """Return whether the scheduler replied that all targets for the request are full."""
    return reply is not None and reply.candidates > 0 and not reply.target_id
