"""Interface of the platform's key-value service, and the types of its arguments and results."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..outcomes import Unavailable, Unknown
from ._position import Position

__all__ = [
    "Compare",
    "CompareField",
    "Delete",
    "KeyValue",
    "LeaseGranted",
    "LeaseLost",
    "Put",
    "RangeDone",
    "Store",
    "Txn",
    "TxnDone",
    "WatchBatch",
    "prefix_end",
]


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A stored key and its value.

    Attributes
    ----------
    create_revision, mod_revision : int
        Revisions of the store, within its era, at which the key was created and last written.
    lease_id : int
        Lease that the key is bound to; 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


class CompareField(Enum):
    """Revision of a key that a transaction can compare; it is 0 for a key that does not exist."""

    MOD_REVISION = "MOD"
    CREATE_REVISION = "CREATE"


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition: the `field` of `key` equals `revision`."""

    key: str
    revision: int
    field: CompareField = CompareField.MOD_REVISION


@dataclass(frozen=True, slots=True)
class Put:
    """Write `value` under `key`, bound to a lease if `lease_id` is not 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove `key`, or all keys in ``[key, range_end)``."""

    key: str
    range_end: str = ""


@dataclass(frozen=True, slots=True)
class Txn:
    """If all `compares` hold, apply `success` atomically; else read the keys of `failure_reads`.

    `success` may contain nested transactions, each of which depends on its own compares only.

    Attributes
    ----------
    era : int or None
        Era in which the revisions of `compares` were read. A store in another era must refuse the
        transaction, since the revisions have another meaning there. None if all of them are 0, or
        if the store has no eras.
    """

    compares: tuple[Compare, ...]
    success: tuple["Put | Delete | Txn", ...]
    failure_reads: tuple[str, ...] = ()
    era: int | None = None


@dataclass(frozen=True, slots=True)
class TxnDone:
    """The result of a transaction.

    Attributes
    ----------
    succeeded : bool
        Whether the compares held.
    revision : int
        The store's revision after the transaction.
    reads : tuple of (KeyValue or None)
        The values of `failure_reads` in the same order; empty if the transaction succeeded.
    nested : tuple of TxnDone
        The results of the transactions in `success`, in the same order.
    era : int
        The store's era.
    """

    succeeded: bool
    revision: int
    reads: tuple[KeyValue | None, ...] = ()
    nested: tuple["TxnDone", ...] = ()
    era: int = 0

    @property
    def position(self) -> Position:
        """The store's position after the transaction."""
        return Position(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class RangeDone:
    """The keys of a range in sorted order, as of `revision` in `era`."""

    items: tuple[KeyValue, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """The store's position at which the keys were read."""
        return Position(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease was granted or renewed: it expires after `ttl_s` seconds unless it is renewed.

    The id is valid only in `era`.
    """

    lease_id: int
    ttl_s: float
    era: int = 0


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The store has no such lease: it has expired or was revoked."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """The changes of one revision, as pairs of key and value; None means that it was removed."""

    revision: int
    changes: tuple[tuple[str, bytes | None], ...]
    era: int = 0

    @property
    def position(self) -> Position:
        """The store's position after the changes."""
        return Position(self.era, self.revision)


class Store(Protocol):
    """Interface of the platform's key-value service.

    A failed read returns `Unavailable`. A failed write returns `Unavailable` only if it certainly
    had no effect; if the request may have left this process, it returns `Unknown`.

    Attributes
    ----------
    era : int
        Newest era that any response has named: how often the store has been restored from an older
        copy. Data and leases that were read or written in an earlier era may be lost.
    """

    @property
    def era(self) -> int:
        """See the attributes of the class."""

    def raise_era(self, era: int) -> None:
        """Record an era of the store that another daemon has reported."""

    async def range(self, key: str, range_end: str = "") -> RangeDone | Unavailable:
        """Read `key`, or all keys in ``[key, range_end)``."""

    async def transact(self, txn: Txn) -> TxnDone | Unavailable | Unknown:
        """Apply `txn` atomically."""

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable | Unknown:
        """Create a lease that expires after `ttl_s` seconds unless it is renewed."""

    async def renew_lease(self, lease_id: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease for its full time to live."""

    async def revoke_lease(self, lease_id: int) -> LeaseLost | Unavailable | Unknown:
        """Revoke a lease and remove the keys bound to it."""

    def watch(self, prefix: str, after: Position) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes under `prefix` after a position, until the stream or the era ends."""

    async def close(self) -> None:
        """Close the connections."""


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the range of all keys that begin with `prefix`.

    Examples
    --------
    >>> prefix_end("/table/")
    '/table0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
