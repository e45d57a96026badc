"""The lease that makes a daemon the leader of a hall, and the hall's keys in the store.

Used by the route daemon and by ``ferrydockd``. The lease is in the store; this module owns the time
until which its holder may rely on it. `route_daemon._own_leadership`,
`route_daemon._remote_leadership` and `hall.HallController` decide which daemon tries to acquire it,
and when.
"""

import logging
import uuid
from dataclasses import dataclass, replace

import msgspec
import orjson
from msgspec import Struct

from .clock import Clock
from .logs import log_event
from .outcomes import Conflict, Fault, Unavailable, Unknown
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
from .typed_json import decode

__all__ = [
    "ControllerLease",
    "HeldLease",
    "ControllerFields",
    "controller_key",
    "decode_controller",
    "placement_key",
]

_LOG = logging.getLogger("ferrydock.hall_lease")

# How long before the store could let a lease expire its holder stops relying on it. Covers the time
# between reading the clock and the end of an action under the lease.
CLOCK_MARGIN_S = 0.25


def controller_key(hall: str) -> str:
    """Return the store key that the daemon with a hall's lease holds."""
    return f"/ferrydock/hall/{hall}/controller"


def placement_key(hall: str) -> str:
    """Return the store key of a hall's placement record."""
    return f"/ferrydock/hall/{hall}/placement"


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease and its validity, as known to its holder.

    Attributes
    ----------
    created : Position
        Position of the store at which the controller's key was created, or found again in a new
        era: all that earlier leaders wrote is no later.
    lease_id : int
        Id of the store's lease to which the key is bound.
    valid_until_s : float
        Local time until which the store cannot have let the lease expire.
    value : bytes
        Value that the holder wrote to the key; unique to this write.
    """

    created: Position
    lease_id: int
    valid_until_s: float
    value: bytes

    @property
    def term(self) -> int:
        """Rank of the position at which the key was created; it ranks the holder's orders."""
        return self.created.rank()

    @property
    def era(self) -> int:
        """Era of the store to which the lease belongs."""
        return self.created.era


class ControllerLease:
    """Acquires, renews and releases the lease of a hall.

    Parameters
    ----------
    store : Store
        Grants the lease.
    clock : Clock
        Used to determine whether the lease is still valid.
    hall, holder : str
        Name of the hall, and name of this daemon.
    address : str, default=""
        ``IP:PORT`` at which other daemons reach the holder.
    processor_cores : float, optional
        Processor cores of the holder's machine, written to the key for its followers; None to omit
        them.

    Notes
    -----
    Validity is counted from before the call was sent, less a margin, so a holder that resumes after
    a pause of its process finds the lease expired before it acts.

    A lease counts only in the era of the store in which it was acquired or reclaimed: a store that
    was restored from an older copy may have lost the lease, and may have granted its id to another
    daemon.
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
    def is_valid(self) -> bool:
        """Whether this daemon may currently act as the hall's leader."""
        held = self.held
        if held is None or held.era != self.store.era:
            return False
        return self.clock.now_s() < held.valid_until_s

    def remaining_s(self) -> float:
        """Return for how many seconds this daemon may still act as the hall's leader."""
        held = self.held
        return max(0.0, held.valid_until_s - self.clock.now_s()) if held and self.is_valid else 0.0

    async def acquire(self, ttl_s: float) -> HeldLease | Conflict | Unavailable | Unknown:
        """Try to acquire the lease; return `Conflict` if another daemon holds it."""
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
        key_absent = Compare(key, 0, CompareField.CREATE_REVISION)
        done = await self.store.transact(
            Txn((key_absent,), (Put(key, value, lease.lease_id),), (key,))
        )
        if isinstance(done, Unavailable):
            return done
        if isinstance(done, Unknown):
            return await self._read_back(key, value, lease, sent_s)
        if not done.succeeded:
            await self._revoke_unused(lease)
            return Conflict(f"{_holder_of(done.reads[0])} is the controller")
        if done.era != lease.era:
            return await self._remove_own_key(key, done.position)
        return self._record_held(done.position, lease, sent_s, value)

    async def _read_back(
        self, key: str, value: bytes, lease: LeaseGranted, sent_s: float
    ) -> HeldLease | Conflict | Unavailable | Unknown:
        """Read the key to determine whether a write whose answer was lost took effect."""
        read = await self.store.range(key)
        if not isinstance(read, RangeDone):
            return Unknown("the answer to the lease was lost and could not be read back")
        if read.items and read.items[0].value == value:
            created = Position(read.era, read.items[0].create_revision)
            if read.era != lease.era:
                return await self._remove_own_key(key, created)
            return self._record_held(created, lease, sent_s, value)
        await self._revoke_unused(lease)
        return Conflict("the lease was not taken")

    async def _remove_own_key(self, key: str, created: Position) -> Conflict:
        """Delete this daemon's key, which is bound to the id of a lease that the store has lost.

        In the new era that id may belong to another daemon's lease, and the key would exist as long
        as that lease.
        """
        condition = Compare(key, created.revision, CompareField.CREATE_REVISION)
        await self.store.transact(Txn((condition,), (Delete(key),), (), created.era))
        return Conflict("the store came back older while the lease was taken")

    async def _revoke_unused(self, lease: LeaseGranted) -> None:
        """Revoke a granted lease that the key was not bound to.

        Not if it is of an older era: its id may belong to another daemon's lease in the new one.
        """
        if lease.era == self.store.era:
            await self.store.revoke_lease(lease.lease_id)

    def _record_held(
        self, created: Position, lease: LeaseGranted, sent_s: float, value: bytes
    ) -> HeldLease:
        valid_until_s = sent_s + lease.ttl_s - CLOCK_MARGIN_S
        self.held = HeldLease(created, lease.lease_id, valid_until_s, value)
        return self.held

    async def reclaim(self) -> bool:
        """Continue to use the lease in a new era of the store if it has certainly never ended.

        That is the case if it has not expired by its last renewal in the older era, and the key in
        the new era is still this daemon's and bound to the same lease: then no other daemon can
        have led the hall in between. The lease is not extended by this. Returns whether the lease
        is valid.
        """
        held = self.held
        if held is None or held.era == self.store.era:
            return False
        read = await self.store.range(controller_key(self.hall))
        if not isinstance(read, RangeDone) or not read.items:
            return False
        item = read.items[0]
        is_own = item.value == held.value and item.lease_id == held.lease_id
        if not is_own or self.clock.now_s() >= held.valid_until_s:
            return False
        self.held = replace(held, created=Position(read.era, item.create_revision))
        return self.is_valid

    async def renew(self) -> HeldLease | LeaseLost | Unavailable:
        """Renew the lease; return `LeaseLost` if it has expired in the store."""
        held = self.held
        if held is None:
            return LeaseLost(0)
        sent_s = self.clock.now_s()
        renewed = await self.store.renew_lease(held.lease_id)
        if held.era != self.store.era:
            # The id may belong to another daemon's lease in the new era: see `reclaim`.
            return Unavailable("the store has come back older")
        if isinstance(renewed, LeaseLost):
            self.held = None
            return renewed
        if isinstance(renewed, Unavailable):
            return renewed
        valid_until_s = max(held.valid_until_s, sent_s + renewed.ttl_s - CLOCK_MARGIN_S)
        self.held = replace(held, valid_until_s=valid_until_s)
        return self.held

    async def release(self) -> None:
        """Revoke the lease, so that another daemon can acquire it without waiting."""
        held, self.held = self.held, None
        if held is not None and held.era == self.store.era:
            await self.store.revoke_lease(held.lease_id)


class ControllerFields(Struct):
    """What the value of a controller's key says of its holder.

    Attributes
    ----------
    address : str
        ``IP:PORT``; empty if absent.
    """

    holder: str = "another daemon"
    address: str = ""
    processor_cores: float | None = None


_CONTROLLER_DECODER = msgspec.json.Decoder(ControllerFields)


def decode_controller(value: bytes) -> ControllerFields:
    """Decode the value of a controller's key; one that cannot be decoded tells nothing of it.

    Whoever wrote it, the key exists, so the hall has a leader.
    """
    fields = decode(_CONTROLLER_DECODER, value)
    if isinstance(fields, Fault):
        log_event(_LOG, logging.WARNING, "controller_unreadable", why=fields)
        return ControllerFields()
    return fields


def _holder_of(item: KeyValue | None) -> str:
    return (decode_controller(item.value) if item is not None else ControllerFields()).holder
