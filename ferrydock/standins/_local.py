"""Stand-ins that are called directly instead of over HTTP, for unit tests and simulations."""

from collections.abc import AsyncIterator

from ..engines import (
    BoxState,
    CacheEvents,
    Fence,
    Order,
    OrderAccepted,
    OrderRefused,
)
from ..outcomes import Unavailable, Unknown
from ..store import (
    Box,
    LeaseGranted,
    LeaseLost,
    MemoryStore,
    Position,
    RangeDone,
    Txn,
    TxnDone,
    WatchBatch,
)
from ._engine import StandInFleet

__all__ = ["FaultyStore", "LocalBoxList", "LocalControl"]


class LocalControl:
    """Control port of the boxes of a `StandInFleet`; the address of a box is its name.

    Parameters
    ----------
    fleet : StandInFleet
        The boxes.

    Attributes
    ----------
    unreachable : set of str
        Names of boxes that calls do not reach.
    hold_orders : bool
        Whether orders are held back until `deliver_held`.
    sent : list of (str, Order)
        Address and order of each call of `send`, in order of sending.
    cancelled : list of str
        Ids of the requests that `cancel` was called with.
    """

    def __init__(self, fleet: StandInFleet):
        self.fleet = fleet
        self.unreachable: set[str] = set()
        self.hold_orders = False
        self.held_orders: list[tuple[str, Order]] = []
        self.sent: list[tuple[str, Order]] = []
        self.cancelled: list[str] = []

    def _box(self, url: str):
        box = self.fleet.boxes.get(url)
        is_down = box is None or not box.alive or not box.running_gate.is_set()
        return None if is_down or url in self.unreachable else box

    async def state(self, url: str) -> BoxState | Unavailable:
        box = self._box(url)
        return Unavailable("no answer") if box is None else box.state()

    async def send(
        self, url: str, order: Order
    ) -> OrderAccepted | OrderRefused | Unavailable | Unknown:
        self.sent.append((url, order))
        if self.hold_orders:
            self.held_orders.append((url, order))
            return Unknown("no answer yet")
        box = self._box(url)
        return Unavailable("no answer") if box is None else box.obey(order)

    def deliver_held(self) -> None:
        """Deliver the orders that were held back."""
        held_orders, self.held_orders = self.held_orders, []
        self._deliver(held_orders)

    def repeat_orders(self, fence: Fence) -> None:
        """Deliver all sent orders with `fence` again, as if the network duplicated them."""
        self._deliver([(url, order) for url, order in self.sent if order.fence == fence])

    def _deliver(self, orders: list[tuple[str, Order]]) -> None:
        for url, order in orders:
            box = self._box(url)
            if box is not None:
                box.obey(order)

    async def cache_events(self, url: str, after: int) -> CacheEvents | Unavailable:
        box = self._box(url)
        if box is None:
            return Unavailable("no answer")
        return CacheEvents(box.incarnation, box.published_events(after))

    async def cancel(self, url: str, request_id: str) -> None:
        self.cancelled.append(request_id)
        box = self._box(url)
        if box is not None:
            box.cancel(request_id)

    async def close(self) -> None:
        return None


class LocalBoxList:
    """The box list of a `StandInFleet`, always up to date.

    Attributes
    ----------
    down : bool
        Whether the list cannot be read.
    leaving, delisted : set of str
        Names of boxes that the list marks as leaving, and of boxes that it omits.
    """

    def __init__(self, fleet: StandInFleet):
        self.fleet = fleet
        self.down = False
        self.leaving: set[str] = set()
        self.delisted: set[str] = set()

    async def fetch(self, hall: str) -> tuple[Box, ...] | Unavailable:
        if self.down:
            return Unavailable("the box list is down")
        return tuple(
            Box(box.name, hall, box.fabric_domain, box.name, 8, box.name in self.leaving)
            for box in self.fleet.boxes.values()
            if box.hall == hall and box.name not in self.delisted
        )

    async def close(self) -> None:
        return None


class FaultyStore:
    """One client's connection to a `MemoryStore`, which can lose writes and answers.

    Parameters
    ----------
    store : MemoryStore
        The store, which several clients may share.

    Attributes
    ----------
    down : bool
        Whether all calls fail; watches still work.
    lose_answers : int
        Number of coming writes that are applied and whose answer is lost.
    lose_writes : int
        Number of coming writes that do not reach the store. The client gets `Unknown`, as for a
        lost answer, and cannot distinguish the two.
    late_writes : list of Txn
        Writes that did not reach the store and that `deliver_late` applies.
    calls : int
        Number of calls.
    """

    def __init__(self, store: MemoryStore):
        self.store = store
        self.down = False
        self.lose_answers = 0
        self.lose_writes = 0
        self.late_writes: list[Txn] = []
        self.calls = 0

    @property
    def era(self) -> int:
        """The era of the store behind it."""
        return self.store.era

    def raise_era(self, era: int) -> None:
        self.store.raise_era(era)

    async def range(self, key: str, range_end: str = "") -> RangeDone | Unavailable:
        self.calls += 1
        return Unavailable("down") if self.down else await self.store.range(key, range_end)

    async def transact(self, txn: Txn) -> TxnDone | Unavailable | Unknown:
        self.calls += 1
        if self.down:
            return Unavailable("down")
        if self.lose_writes > 0:
            self.lose_writes -= 1
            self.late_writes.append(txn)
            return Unknown("lost on its way")
        done = await self.store.transact(txn)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Unknown("the answer was lost")
        return done

    async def deliver_late(self) -> None:
        """Apply the writes of `late_writes`, as a network that delays messages does."""
        late_writes, self.late_writes = self.late_writes, []
        for txn in late_writes:
            await self.store.transact(txn)

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        self.calls += 1
        return Unavailable("down") if self.down else await self.store.grant_lease(ttl_s)

    async def renew_lease(self, lease_id: int) -> LeaseGranted | LeaseLost | Unavailable:
        self.calls += 1
        return Unavailable("down") if self.down else await self.store.renew_lease(lease_id)

    async def revoke_lease(self, lease_id: int) -> LeaseLost | Unavailable:
        self.calls += 1
        return Unavailable("down") if self.down else await self.store.revoke_lease(lease_id)

    def watch(self, prefix: str, after: Position) -> AsyncIterator[WatchBatch]:
        self.calls += 1
        return self.store.watch(prefix, after)

    async def close(self) -> None:
        return None
