"""The lease that makes a daemon the leader of a hall, and the hall's keys; used by both programs.

The lease lives in the store; this module owns until when its holder may rely on it. Which daemon
tries for it, and when, is decided by `route_daemon._own_leadership` and by `hall.HallController`.
"""

import uuid
from dataclasses import dataclass, replace

import orjson

from .clock import Clock
from .outcomes import Conflict, Unavailable, Unknown
from .store import (
    Compare,
    CompareField,
    Delete,
    KeyValue,
    LeaseGranted,
    LeaseLost,
    Position,
    Put,
    RangeDone,
    Store,
    Txn,
)

__all__ = [
    "ControllerLease",
    "HeldLease",
    "controller_address",
    "controller_cores",
    "controller_key",
    "placement_key",
]

# How long before the store could let a lease lapse its holder stops relying on it. Covers the time
# between a look at the clock and the end of what is done under the lease. Chosen, not measured.
CLOCK_MARGIN_S = 0.25


def controller_key(hall: str) -> str:
    """Return the key that a hall's controller holds."""
    return f"/ferrydock/hall/{hall}/controller"


def placement_key(hall: str) -> str:
    """Return the key of a hall's placement record."""
    return f"/ferrydock/hall/{hall}/placement"


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease as its holder knows it.

    Attributes
    ----------
    term : int
        Rank of the store's position at which the controller's key was created: rank of its
        orders.
    lease_id : int
        Lease that the key is bound to.
    valid_until_s : float
        Time on the local clock up to which the store cannot have let the lease lapse.
    era : int
        Era of the store that all of this belongs to.
    value : bytes
        What the holder wrote to the key; no other write is like it.
    """

    term: int
    lease_id: int
    valid_until_s: float
    era: int
    value: bytes


class ControllerLease:
    """Takes, keeps and gives back the lease.

    Parameters
    ----------
    store : Store
        Grants it.
    clock : Clock
        Tells how long it is still valid.
    hall, holder : str
        Which hall; name of this daemon.
    address : str, default=""
        ``IP:PORT`` at which other daemons reach the holder.
    processor_cores : float, optional
        Processor of the holder's machine, written to the key for its followers; None to leave it
        out.

    Notes
    -----
    Validity counts from before the call was sent, less a margin. A holder that wakes after a
    pause therefore sees that its time is over before it does anything else.

    A lease is believed only in the era of the store in which it was taken or reclaimed: a store
    that has come back older may have lost it, and given its id to another daemon.
    """

    __slots__ = ("address", "clock", "hall", "held", "holder", "processor_cores", "store")

    def __init__(
        self,
        store: Store,
        clock: Clock,
        hall: str,
        holder: str,
        address: str = "",
        processor_cores: float | None = None,
    ):
        self.address = address
        self.processor_cores = processor_cores
        self.store = store
        self.clock = clock
        self.hall = hall
        self.holder = holder
        self.held: HeldLease | None = None

    @property
    def valid(self) -> bool:
        """Whether this daemon may act as the leader right now."""
        held = self.held
        if held is None or held.era != self.store.era:
            return False
        return self.clock.now_s() < held.valid_until_s

    async def acquire(self, ttl_s: float) -> HeldLease | Conflict | Unavailable | Unknown:
        """Try to take the lease; `Conflict` if another daemon holds it."""
        sent_s = self.clock.now_s()
        lease = await self.store.grant_lease(ttl_s)
        if not isinstance(lease, LeaseGranted):
            return lease
        nonce = uuid.uuid4().hex
        key = controller_key(self.hall)
        fields: dict[str, str | float] = {
            "holder": self.holder,
            "nonce": nonce,
            "address": self.address,
        }
        if self.processor_cores is not None:
            fields["processor_cores"] = self.processor_cores
        value = orjson.dumps(fields)
        absent = Compare(key, 0, CompareField.CREATE_REVISION)
        done = await self.store.transact(Txn((absent,), (Put(key, value, lease.lease_id),), (key,)))
        if isinstance(done, Unavailable):
            return done
        if isinstance(done, Unknown):
            return await self._read_back(key, value, lease, sent_s)
        if not done.succeeded:
            await self._give_up(lease)
            return Conflict(f"{_holder_of(done.reads[0])} is the controller")
        if done.era != lease.era:
            return await self._take_back(key, done.position)
        return self._hold(done.position, lease, sent_s, value)

    async def _read_back(
        self, key: str, value: bytes, lease: LeaseGranted, sent_s: float
    ) -> HeldLease | Conflict | Unavailable | Unknown:
        """Find out whether a write whose answer was lost took effect."""
        found = await self.store.range(key)
        if not isinstance(found, RangeDone):
            return Unknown("the answer to the lease was lost and could not be read back")
        if found.items and found.items[0].value == value:
            created = Position(found.era, found.items[0].create_revision)
            if found.era != lease.era:
                return await self._take_back(key, created)
            return self._hold(created, lease, sent_s, value)
        await self._give_up(lease)
        return Conflict("the lease was not taken")

    async def _take_back(self, key: str, created: Position) -> Conflict:
        """Remove our key, which was bound to the id of a lease that the store has forgotten.

        In the new era that id may be another daemon's, and our key would stand as long as that.
        """
        condition = Compare(key, created.revision, CompareField.CREATE_REVISION)
        await self.store.transact(Txn((condition,), (Delete(key),), (), created.era))
        return Conflict("the store came back older while the lease was taken")

    async def _give_up(self, lease: LeaseGranted) -> None:
        """End a lease that came to nothing; one of an older era may be another daemon's now."""
        if lease.era == self.store.era:
            await self.store.revoke_lease(lease.lease_id)

    def _hold(
        self, created: Position, lease: LeaseGranted, sent_s: float, value: bytes
    ) -> HeldLease:
        until_s = sent_s + lease.ttl_s - CLOCK_MARGIN_S
        self.held = HeldLease(created.rank(), lease.lease_id, until_s, created.era, value)
        return self.held

    async def reclaim(self) -> bool:
        """Go on with the lease in a new era of the store, if it certainly never ended.

        That is so if its time, by the last renewal of the older era, is not over, and the key in
        the new era is still this daemon's and bound to the same lease: then no other daemon can
        have taken the hall in between. The time is not extended by this.
        """
        held = self.held
        if held is None or held.era == self.store.era:
            return False
        found = await self.store.range(controller_key(self.hall))
        if not isinstance(found, RangeDone) or not found.items:
            return False
        item = found.items[0]
        is_ours = item.value == held.value and item.lease_id == held.lease_id
        if not is_ours or self.clock.now_s() >= held.valid_until_s:
            return False
        term = Position(found.era, item.create_revision).rank()
        self.held = replace(held, term=term, era=found.era)
        return self.valid

    async def keep(self) -> HeldLease | LeaseLost | Unavailable:
        """Renew the lease; `LeaseLost` if the store has let it lapse."""
        held = self.held
        if held is None:
            return LeaseLost(0)
        sent_s = self.clock.now_s()
        kept = await self.store.keep_lease(held.lease_id)
        if held.era != self.store.era:
            # It may be another daemon's lease that was renewed or is gone: see `reclaim`.
            return Unavailable("the store has come back older")
        if isinstance(kept, LeaseLost):
            self.held = None
            return kept
        if isinstance(kept, Unavailable):
            return kept
        until_s = max(held.valid_until_s, sent_s + kept.ttl_s - CLOCK_MARGIN_S)
        self.held = replace(held, valid_until_s=until_s)
        return self.held

    async def give_back(self) -> None:
        """End the lease, so that another daemon can take it without waiting."""
        held, self.held = self.held, None
        if held is not None and held.era == self.store.era:
            await self.store.revoke_lease(held.lease_id)


def controller_address(value: bytes) -> str:
    """Return the address in a controller's key; empty if there is none in it."""
    return str(orjson.loads(value).get("address", ""))


def controller_cores(value: bytes) -> float | None:
    """Return the processor of a controller's machine; None if its key does not tell it."""
    cores = orjson.loads(value).get("processor_cores")
    return float(cores) if isinstance(cores, int | float) else None


def _holder_of(item: KeyValue | None) -> str:
    return str(orjson.loads(item.value)["holder"]) if item is not None else "another daemon"
