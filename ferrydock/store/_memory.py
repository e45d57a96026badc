"""A key-value service in memory, for the embedded mode and as the core of the stand-ins."""

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

_MAX_HISTORY_BATCHES = 4096


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_s: float


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The state of a store at one moment: keys, leases, last revision and next lease id."""

    keys: dict[str, KeyValue]
    leases: dict[int, _Lease]
    revision: int
    next_lease: int


class MemoryStore:
    """A key-value service with leases and watches, in the memory of one process.

    Parameters
    ----------
    clock : Clock, default=SystemClock()
        Drives the expiry of leases.

    Attributes
    ----------
    era : int
        How often `come_back_older` has restored it from an older copy.
    """

    __slots__ = (
        "_change_event",
        "_history",
        "_keys",
        "_leases",
        "_next_lease_id",
        "_revision",
        "clock",
        "era",
    )

    def __init__(self, clock: Clock | None = None):
        self.clock = clock or SystemClock()
        self._keys: SortedDict = SortedDict()
        self._leases: dict[int, _Lease] = {}
        self._next_lease_id = 1
        self._revision = 1
        self._history: list[WatchBatch] = []
        self._change_event = asyncio.Event()
        self.era = 0

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    def snapshot(self) -> tuple[dict[str, KeyValue], int]:
        """Return a copy of all keys and the revision, for `restore`."""
        return dict(self._keys), self._revision

    def restore(self, snapshot: tuple[dict[str, KeyValue], int]) -> None:
        """Restore an earlier snapshot within the same era; leases are unchanged.

        Simulates a store that an operator restores from a backup and that does not count eras.
        """
        keys, self._revision = snapshot
        self._keys = SortedDict(keys)
        self._history.clear()
        self._notify()

    def copy(self) -> StoreCopy:
        """Return a copy of the state, for `come_back_older`."""
        leases = {i: replace(lease) for i, lease in self._leases.items()}
        return StoreCopy(dict(self._keys), leases, self._revision, self._next_lease_id)

    def come_back_older(self, copy: StoreCopy) -> None:
        """Restore an older copy and begin a new era, in which revisions and lease ids repeat.

        Leases of the copy get their full time to live again, because leases do not expire while
        the store is down.
        """
        now_s = self.clock.now_s()
        self._keys = SortedDict(copy.keys)
        self._leases = {
            i: _Lease(lease.ttl_s, now_s + lease.ttl_s) for i, lease in copy.leases.items()
        }
        self._revision, self._next_lease_id = copy.revision, copy.next_lease
        self._history.clear()
        self.era += 1
        self._notify()

    def raise_era(self, era: int) -> None:
        """Do nothing: no other daemon can know a newer era than the store itself."""

    def put(self, key: str, value: bytes) -> int:
        """Write a key unconditionally, to simulate another writer; return the new revision."""
        changes: dict[str, bytes | None] = {}
        self._apply_write(Put(key, value), self._revision + 1, changes)
        self._commit(changes)
        return self._revision

    def remove(self, key: str) -> int:
        """Remove a key unconditionally; return the store's revision afterwards."""
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
            return self._failure_result(txn)
        changes: dict[str, bytes | None] = {}
        done = self._apply_txn(txn, self._revision + 1, changes)
        if changes:
            self._commit(changes)
        return done

    async def grant_lease(self, ttl_s: float) -> LeaseGranted:
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = _Lease(ttl_s, self.clock.now_s() + ttl_s)
        return LeaseGranted(lease_id, ttl_s, self.era)

    async def renew_lease(self, lease_id: int) -> LeaseGranted | LeaseLost:
        self.expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return LeaseLost(lease_id)
        lease.expires_s = self.clock.now_s() + lease.ttl_s
        return LeaseGranted(lease_id, lease.ttl_s, self.era)

    async def revoke_lease(self, lease_id: int) -> LeaseLost:
        self._remove_lease(lease_id)
        return LeaseLost(lease_id)

    async def watch(self, prefix: str, after: Position) -> AsyncGenerator[WatchBatch, None]:
        last_revision = after.revision
        while self.era == after.era:
            # Read before the batches: a change during a yield must not be missed.
            change_event = self._change_event
            for batch in self._batches_after(last_revision):
                last_revision = batch.revision
                wanted = tuple(c for c in batch.changes if c[0].startswith(prefix))
                if wanted:
                    yield WatchBatch(batch.revision, wanted, batch.era)
            await change_event.wait()

    async def close(self) -> None:
        return None

    def expire_leases(self) -> None:
        """Remove the expired leases and the keys bound to them."""
        now_s = self.clock.now_s()
        for lease_id in [i for i, lease in self._leases.items() if lease.expires_s <= now_s]:
            self._remove_lease(lease_id)

    def lapse_leases(self) -> None:
        """Remove all leases and their keys, to simulate a store that has lost its leases."""
        for lease_id in list(self._leases):
            self._remove_lease(lease_id)

    def _remove_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        bound_keys = [item.key for item in self._keys.values() if item.lease_id == lease_id]
        for key in bound_keys:
            del self._keys[key]
        if bound_keys:
            self._commit(dict.fromkeys(bound_keys))

    def _read(self, key: str, range_end: str) -> tuple[KeyValue, ...]:
        if not range_end:
            item = self._keys.get(key)
            return (item,) if item else ()
        keys = self._keys.irange(key, range_end, inclusive=(True, False))
        return tuple(self._keys[k] for k in keys)

    def _is_satisfied(self, compare: Compare) -> bool:
        item = self._keys.get(compare.key)
        if item is None:
            return compare.revision == 0
        if compare.field is CompareField.CREATE_REVISION:
            return item.create_revision == compare.revision
        return item.mod_revision == compare.revision

    def _apply_txn(self, txn: Txn, revision: int, changes: dict[str, bytes | None]) -> TxnDone:
        if not all(self._is_satisfied(compare) for compare in txn.compares):
            return self._failure_result(txn)
        nested = []
        for operation in txn.success:
            if isinstance(operation, Txn):
                nested.append(self._apply_txn(operation, revision, changes))
            else:
                self._apply_write(operation, revision, changes)
        after = revision if changes else self._revision
        return TxnDone(True, after, nested=tuple(nested), era=self.era)

    def _failure_result(self, txn: Txn) -> TxnDone:
        reads = tuple(self._keys.get(key) for key in txn.failure_reads)
        return TxnDone(False, self._revision, reads, era=self.era)

    def _apply_write(self, write: Put | Delete, revision: int, changes: dict) -> None:
        if isinstance(write, Put):
            existing = self._keys.get(write.key)
            create_revision = existing.create_revision if existing else revision
            self._keys[write.key] = KeyValue(
                write.key, write.value, create_revision, revision, write.lease_id
            )
            changes[write.key] = write.value
            return
        for item in self._read(write.key, write.range_end):
            del self._keys[item.key]
            changes[item.key] = None

    def _commit(self, changes: dict[str, bytes | None]) -> None:
        self._revision += 1
        self._history.append(WatchBatch(self._revision, tuple(changes.items()), self.era))
        del self._history[:-_MAX_HISTORY_BATCHES]
        self._notify()

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _batches_after(self, last_revision: int) -> list[WatchBatch]:
        return [batch for batch in self._history if batch.revision > last_revision]
