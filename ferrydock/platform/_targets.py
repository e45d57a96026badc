"""Source of targets that reads the platform's list of workers from the platform's store.

`PlatformTargetSource.follow` holds the position in the store up to which it has read the list. An
entry that cannot be decoded names no target; the others are used. The
platform's worker, group and zone are ferrydock's target, replica and hall.
"""

import asyncio
from collections.abc import AsyncIterator, Iterable

from ..outcomes import Fault, Unavailable
from ..store import Position, prefix_end
from ..targets import Target, TargetChanges
from ._store import MAX_WATCH_MS, TARGETS_PREFIX, HistoryCompacted, PlatformStore
from ._unused_entries import UnusedEntryLog
from ._worker_messages import decode_target

__all__ = ["PlatformTargetSource"]


class PlatformTargetSource:
    """Reads the complete list under ``servers/`` once, then its changes.

    Parameters
    ----------
    store : PlatformStore
        Store that holds the list.
    batch_window_s : float
        Pause after each batch, in seconds, so that changes that are written within it are read
        by one call.
    """

    __slots__ = ("_store", "_unused_entries", "batch_window_s")

    def __init__(self, store: PlatformStore, batch_window_s: float):
        self._store = store
        self._unused_entries = UnusedEntryLog()
        self.batch_window_s = batch_window_s

    async def follow(
        self, known_position: Position | None = None
    ) -> AsyncIterator[TargetChanges | Unavailable]:
        """Yield the complete list, then its changes; the list again if the history is compacted.

        Parameters
        ----------
        since : Position, optional
            Position up to which the caller knows the list. A daemon that lost its leader then reads
            only the later changes instead of the entry of each worker.
        """
        known_position = known_position
        update: TargetChanges | HistoryCompacted | Unavailable
        while True:
            if known_position is None:
                update = await self._read_complete_list()
            else:
                update = await self._read_changes_after(known_position, MAX_WATCH_MS)
            if isinstance(update, HistoryCompacted):
                known_position = None
                continue
            yield update
            if isinstance(update, TargetChanges):
                # No pause before the first call: a daemon that has lost its leader then learns
                # 0.4 s sooner which changes it has missed.
                known_position = update.position
                await asyncio.sleep(self.batch_window_s)

    async def changes_after(
        self, known: Position, is_on_new_connection: bool = False
    ) -> TargetChanges | Unavailable:
        """Read the changes after a position without waiting; the complete list if compacted."""
        update = await self._read_changes_after(known, 0, is_on_new_connection)
        return await self._read_complete_list() if isinstance(update, HistoryCompacted) else update

    async def _read_complete_list(self) -> TargetChanges | Unavailable:
        listing = await self._store.range(TARGETS_PREFIX, prefix_end(TARGETS_PREFIX))
        if isinstance(listing, Unavailable):
            return listing
        entries = ((item.key, item.value) for item in listing.items)
        return self._decode_changes(True, entries, listing.position)

    async def _read_changes_after(
        self, known: Position, wait_ms: int, is_on_new_connection: bool = False
    ) -> TargetChanges | HistoryCompacted | Unavailable:
        batch = await self._store.watch_once(TARGETS_PREFIX, known, wait_ms, is_on_new_connection)
        if isinstance(batch, HistoryCompacted | Unavailable):
            return batch
        return self._decode_changes(False, batch.changes, batch.position)

    def _decode_changes(
        self, is_whole: bool, changes: Iterable[tuple[str, bytes | None]], position: Position
    ) -> TargetChanges:
        """Return the last change of each worker.

        A worker that was removed and then added again is in both the removed ids and the entries.
        An entry that cannot be decoded removes the worker whose entry it replaced; in the complete
        list too, since a new era of the store may keep a worker that is only missing from it.
        """
        entries: dict[str, Target] = {}
        removed: list[str] = []
        for key, value in changes:
            target_id = key.removeprefix(TARGETS_PREFIX)
            target = self._decode(target_id, value) if value is not None else None
            if target is not None:
                entries[target_id] = target
            else:
                entries.pop(target_id, None)
                removed.append(target_id)
        return TargetChanges(is_whole, tuple(entries.values()), tuple(removed), position)

    def _decode(self, target_id: str, value: bytes) -> Target | None:
        """Return the target in an entry; None if it cannot be decoded, which is logged."""
        target = decode_target(target_id, value)
        if isinstance(target, Fault):
            now_s = asyncio.get_running_loop().time()
            self._unused_entries.note(TARGETS_PREFIX + target_id, target, now_s)
            return None
        return target
