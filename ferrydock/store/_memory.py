"""A key-value service in memory: the embedded default, and the core of the stand-in."""

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import dataclass, replace

from sortedcontainers import SortedDict

from ..clock import Clock, SystemClock
from ._position import Position
from ._store import (
    Compare,
    CompareField,
    Delete,
    KeyValue,
    LeaseGranted,
    LeaseLost,
    Put,
    RangeDone,
    Txn,
    TxnDone,
    WatchBatch,
)

__all__ = ["MemoryStore", "StoreCopy"]

_HISTORY_BATCHES = 4096


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_s: float


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """All that a store holds at one moment: keys, leases, and the numbers given out so far."""

    keys: dict[str, KeyValue]
    leases: dict[int, _Lease]
    revision: int
    next_lease: int


class MemoryStore:
    """Keys, leases and watches held in one process.

    Parameters
    ----------
    clock : Clock, default=SystemClock()
        Drives the expiry of leases.

    Attributes
    ----------
    era : int
        How often it has come back older by `come_back_older`.
    """

    __slots__ = (
        "_changed",
        "_history",
        "_keys",
        "_leases",
        "_next_lease",
        "_revision",
        "clock",
        "era",
    )

    def __init__(self, clock: Clock | None = None):
        self.clock = clock or SystemClock()
        self._keys: SortedDict = SortedDict()
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._revision = 1
        self._history: list[WatchBatch] = []
        self._changed = asyncio.Event()
        self.era = 0

    @property
    def revision(self) -> int:
        """The number of the last change."""
        return self._revision

    def snapshot(self) -> tuple[dict[str, KeyValue], int]:
        """Return a copy of all keys and the revision, for a later `restore`."""
        return dict(self._keys), self._revision

    def restore(self, snapshot: tuple[dict[str, KeyValue], int]) -> None:
        """Go back to an earlier state, as an operator who restores a backup does."""
        keys, self._revision = snapshot
        self._keys = SortedDict(keys)
        self._history.clear()
        self._notify()

    def copy(self) -> StoreCopy:
        """Return a copy for a later `come_back_older`."""
        leases = {i: replace(lease) for i, lease in self._leases.items()}
        return StoreCopy(dict(self._keys), leases, self._revision, self._next_lease)

    def come_back_older(self, copy: StoreCopy) -> None:
        """Go back to a copy in a new era: revisions and leases are given out again.

        Leases of the copy live on for their whole time: they wait while the store is away.
        """
        now_s = self.clock.now_s()
        self._keys = SortedDict(copy.keys)
        self._leases = {
            i: _Lease(lease.ttl_s, now_s + lease.ttl_s) for i, lease in copy.leases.items()
        }
        self._revision, self._next_lease = copy.revision, copy.next_lease
        self._history.clear()
        self.era += 1
        self._notify()

    def note_era(self, era: int) -> None:
        """Do nothing: its own era is the newest."""

    def put(self, key: str, value: bytes) -> int:
        """Write a key without a condition, as another writer does; return the revision."""
        changes: dict[str, bytes | None] = {}
        self._apply_write(Put(key, value), self._revision + 1, changes)
        self._commit(changes)
        return self._revision

    def remove(self, key: str) -> int:
        """Remove a key without a condition; return the revision."""
        if key in self._keys:
            del self._keys[key]
            self._commit({key: None})
        return self._revision

    async def range(self, key: str, range_end: str = "") -> RangeDone:
        self.expire_leases()
        return RangeDone(self._read(key, range_end), self._revision, self.era)

    async def transact(self, txn: Txn) -> TxnDone:
        self.expire_leases()
        if txn.era not in (None, self.era):
            return self._refused(txn)
        changes: dict[str, bytes | None] = {}
        done = self._apply(txn, self._revision + 1, changes)
        if changes:
            self._commit(changes)
        return done

    async def grant_lease(self, ttl_s: float) -> LeaseGranted:
        lease_id = self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = _Lease(ttl_s, self.clock.now_s() + ttl_s)
        return LeaseGranted(lease_id, ttl_s, self.era)

    async def keep_lease(self, lease_id: int) -> LeaseGranted | LeaseLost:
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return LeaseLost(lease_id)
        lease.expires_s = self.clock.now_s() + lease.ttl_s
        return LeaseGranted(lease_id, lease.ttl_s, self.era)

    async def revoke_lease(self, lease_id: int) -> LeaseLost:
        self._drop_lease(lease_id)
        return LeaseLost(lease_id)

    async def watch(self, prefix: str, after: Position) -> AsyncGenerator[WatchBatch, None]:
        seen = after.revision
        while self.era == after.era:
            changed = self._changed  # taken first: a change during a yield must not be missed
            for batch in self._batches_after(seen):
                seen = batch.revision
                wanted = tuple(c for c in batch.changes if c[0].startswith(prefix))
                if wanted:
                    yield WatchBatch(batch.revision, wanted, batch.era)
            await changed.wait()

    async def close(self) -> None:
        return None

    def expire_leases(self) -> None:
        """Remove the leases whose time is over, with their keys."""
        now_s = self.clock.now_s()
        for lease_id in [i for i, lease in self._leases.items() if lease.expires_s <= now_s]:
            self._drop_lease(lease_id)

    def lapse_leases(self) -> None:
        """End all leases at once, as a store does that lost track of their holders."""
        for lease_id in list(self._leases):
            self._drop_lease(lease_id)

    def _drop_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        bound = [item.key for item in self._keys.values() if item.lease_id == lease_id]
        for key in bound:
            del self._keys[key]
        if bound:
            self._commit(dict.fromkeys(bound))

    def _read(self, key: str, range_end: str) -> tuple[KeyValue, ...]:
        if not range_end:
            item = self._keys.get(key)
            return (item,) if item else ()
        keys = self._keys.irange(key, range_end, inclusive=(True, False))
        return tuple(self._keys[k] for k in keys)

    def _holds(self, compare: Compare) -> bool:
        item = self._keys.get(compare.key)
        if item is None:
            return compare.revision == 0
        if compare.field is CompareField.CREATE_REVISION:
            return item.create_revision == compare.revision
        return item.mod_revision == compare.revision

    def _apply(self, txn: Txn, revision: int, changes: dict[str, bytes | None]) -> TxnDone:
        if not all(self._holds(compare) for compare in txn.compares):
            return self._refused(txn)
        nested = []
        for operation in txn.success:
            if isinstance(operation, Txn):
                nested.append(self._apply(operation, revision, changes))
            else:
                self._apply_write(operation, revision, changes)
        after = revision if changes else self._revision
        return TxnDone(True, after, nested=tuple(nested), era=self.era)

    def _refused(self, txn: Txn) -> TxnDone:
        reads = tuple(self._keys.get(key) for key in txn.failure_reads)
        return TxnDone(False, self._revision, reads, era=self.era)

    def _apply_write(self, write: Put | Delete, revision: int, changes: dict) -> None:
        if isinstance(write, Put):
            before = self._keys.get(write.key)
            created = before.create_revision if before else revision
            self._keys[write.key] = KeyValue(
                write.key, write.value, created, revision, write.lease_id
            )
            changes[write.key] = write.value
            return
        for item in self._read(write.key, write.range_end):
            del self._keys[item.key]
            changes[item.key] = None

    def _commit(self, changes: dict[str, bytes | None]) -> None:
        self._revision += 1
        self._history.append(WatchBatch(self._revision, tuple(changes.items()), self.era))
        del self._history[:-_HISTORY_BATCHES]
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _batches_after(self, seen: int) -> list[WatchBatch]:
        return [batch for batch in self._history if batch.revision > seen]
