"""Choice of a target by the hall's scheduler, and by this daemon alone where that is away."""

from ..scheduling import Endpoint, SchedulerClient, SlotRequest
from ._endpoint_selector import EndpointSelector
from ._exchange import Exchange

__all__ = ["HallEndpointSelector"]


class HallEndpointSelector(EndpointSelector):
    """Asks the scheduler for each place.

    Attributes
    ----------
    dispatch : SchedulerClient or None
        Reaches the scheduler; None to decide alone.
    """

    __slots__ = ("dispatch",)

    def __init__(self, *arguments, dispatch: SchedulerClient | None = None):
        super().__init__(*arguments)
        self.dispatch = dispatch

    async def place(self, exchange: Exchange, patience_s: float) -> Endpoint | None:
        if self.dispatch is None:
            return await super().place(exchange, patience_s)
        until_s = self.clock.now_s() + patience_s
        for may_wait in (False, True):
            left_s = until_s - self.clock.now_s()
            if may_wait and left_s <= 0:
                return None
            placed = await self.dispatch.ask(self._request(exchange, left_s if may_wait else 0.0))
            if placed is None or not placed.candidates:
                break
            if placed.target_id:
                place = self._known(exchange, placed.target_id)
                if place is None:
                    break  # the scheduler's list is newer or older than the one here
                self.loads.began(place.target.target_id, self.clock.now_s())
                return place
            if may_wait:
                return None
        return await super().place(exchange, until_s - self.clock.now_s())

    def release(self, place: Endpoint) -> None:
        super().release(place)
        if self.dispatch is not None:
            self.dispatch.note_end()

    def _known(self, exchange: Exchange, target_id: str) -> Endpoint | None:
        return next((p for p in self._endpoints(exchange) if p.target.target_id == target_id), None)

    def _request(self, exchange: Exchange, hold_s: float) -> SlotRequest:
        now_s = self.clock.now_s()
        return SlotRequest(
            sender="",
            service=exchange.service.name,
            model=exchange.inbound.model if exchange.service.engine else "",
            avoid=self._to_avoid(exchange, now_s),
            rank=exchange.rank[:2],
            left_s=exchange.until_s - now_s,
            hold_s=hold_s,
        )

    def _to_avoid(self, exchange: Exchange, now_s: float) -> tuple[str, ...]:
        """Return the targets that were tried, or that this daemon holds for bad."""
        avoid = set(exchange.tried)
        for target in self.directory.of_service(exchange.service.name):
            if self.loads.is_ejected(target.target_id, now_s):
                avoid.add(target.target_id)
        for replica in self.directory.replicas(exchange.service.name):
            if replica.key in self.broken:
                avoid.add(replica.head.target_id)
        return tuple(sorted(avoid))
