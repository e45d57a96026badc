"""The port to the platform's key-value service, and the values that pass through it."""

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
    """A stored key. Revisions count the store's changes of an era; `lease_id` 0 means none."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


class CompareField(Enum):
    """What of a key a transaction may compare; a key that is absent compares as 0."""

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
    """If all `compares` hold, apply `success` at once; else read the keys of `failure_reads`.

    `success` may hold transactions of its own: each is decided by its own compares.

    Attributes
    ----------
    era : int or None
        Era in which the revisions of `compares` were read; a store that has left it must not take
        them for its own. None where they name no revision but 0, or the store has no eras.
    """

    compares: tuple[Compare, ...]
    success: tuple["Put | Delete | Txn", ...]
    failure_reads: tuple[str, ...] = ()
    era: int | None = None


@dataclass(frozen=True, slots=True)
class TxnDone:
    """What a transaction did.

    Attributes
    ----------
    succeeded : bool
        Whether the compares held.
    revision : int
        The store's revision after it.
    reads : tuple of (KeyValue or None)
        The `failure_reads` in their order; empty where it succeeded.
    nested : tuple of TxnDone
        The outcome of each transaction among `success`, in order.
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
        """The store's position after it."""
        return Position(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class RangeDone:
    """Keys found, sorted, as they stood at `revision` of `era`."""

    items: tuple[KeyValue, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """The store's position when they were read."""
        return Position(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease lives for `ttl_s` after the store last heard of it; its id counts in one era."""

    lease_id: int
    ttl_s: float
    era: int = 0


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The store no longer knows the lease."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes made by one revision. A value of None means that the key was removed."""

    revision: int
    changes: tuple[tuple[str, bytes | None], ...]
    era: int = 0

    @property
    def position(self) -> Position:
        """The store's position after them."""
        return Position(self.era, self.revision)


class Store(Protocol):
    """What ferrydock asks of the platform's key-value service.

    A read that fails is `Unavailable`. A write is `Unavailable` only where it surely had no
    effect; once it may have left this process its outcome is `Unknown`.

    Attributes
    ----------
    era : int
        Newest era that any answer has named: how often the store has come back from an older copy.
        Nothing that was read or written in an earlier one is certain any more, leases included.
    """

    @property
    def era(self) -> int:
        """See above."""

    def note_era(self, era: int) -> None:
        """Note an era of the store that another daemon has seen."""

    async def range(self, key: str, range_end: str = "") -> RangeDone | Unavailable:
        """Read `key`, or all keys in ``[key, range_end)``."""

    async def transact(self, txn: Txn) -> TxnDone | Unavailable | Unknown:
        """Apply `txn` atomically."""

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable | Unknown:
        """Open a lease."""

    async def keep_lease(self, lease_id: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease for its whole time to live."""

    async def revoke_lease(self, lease_id: int) -> LeaseLost | Unavailable | Unknown:
        """End a lease and remove the keys bound to it."""

    def watch(self, prefix: str, after: Position) -> AsyncGenerator[WatchBatch, None]:
        """Yield changes under `prefix` after a position; ends when the stream or the era does."""

    async def close(self) -> None:
        """Give up the connections."""


def prefix_end(prefix: str) -> str:
    """Return the end of the range of all keys that begin with `prefix`.

    Examples
    --------
    >>> prefix_end("/table/")
    '/table0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
