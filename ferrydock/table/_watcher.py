"""Follows the table in the store on behalf of a hall.

One daemon of the hall watches the store; the daemon that would replace it polls the store.
"""

import asyncio
import logging
from enum import StrEnum

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..store import Compare, Position, Put, Store, Txn, TxnDone
from ._history import AcceptedEdit
from ._keeper import OfferResult, TableCopy, TableKeeper
from ._repository import (
    HEAD_KEY,
    Head,
    TableRepository,
    head_value,
    table_writes,
)

__all__ = ["StoreComparison", "TableWatcher"]

_LOG = logging.getLogger("ferrydock.table")


class StoreComparison(StrEnum):
    """Result of comparing the table in the store with the table in force.

    Attributes
    ----------
    SAME
        Both are equal, or the edits that the store lacked are written to it.
    NEWER
        The store had further edits, which are read.
    OLDER
        The store lacks edits that are in force, and writing them was refused.
    DIVERGED
        The tables have different histories.
    UNREACHABLE
        The store did not answer.
    """

    SAME = "same"
    NEWER = "newer"
    OLDER = "older"
    DIVERGED = "diverged"
    UNREACHABLE = "away"


class TableWatcher:
    """Copies the table and its edits from the store to a `TableKeeper`.

    Parameters
    ----------
    repository : TableRepository
        Reads the store.
    keeper : TableKeeper
        Receives the table and the edits read.
    clock : Clock
        Gives the time of the store's last answer.

    Notes
    -----
    A watch stream can fail without an error. So the watching daemon also polls the head, and so
    does, less often, the daemon that would replace it.
    """

    __slots__ = ("last_answer_s", "clock", "keeper", "repository", "comparison")

    def __init__(self, repository: TableRepository, keeper: TableKeeper, clock: Clock):
        self.repository = repository
        self.keeper = keeper
        self.clock = clock
        self.last_answer_s: float | None = None
        self.comparison = StoreComparison.UNREACHABLE

    @property
    def store(self) -> Store:
        """The platform's key-value service."""
        return self.repository.store

    async def poll(self) -> StoreComparison:
        """Read the head, and apply the edits that the store has beyond the table in force."""
        head = await self.repository.read_head()
        if isinstance(head, Unavailable):
            self.comparison = StoreComparison.UNREACHABLE
            return self.comparison
        self.last_answer_s = self.clock.now_s()
        self.comparison = await self._compare(head)
        return self.comparison

    async def _compare(self, head: Head) -> StoreComparison:
        keeper = self.keeper
        if not keeper.loaded:
            return await self._load()
        if head.revision == keeper.revision:
            if head.lineage == keeper.lineage:
                return StoreComparison.SAME
            log_event(_LOG, logging.ERROR, "store_diverged", revision=head.revision)
            return StoreComparison.DIVERGED
        if head.revision < keeper.revision:
            return await self._restore_missing_edits(head)
        edits = await self.repository.read_edits(keeper.revision)
        if isinstance(edits, Unavailable):
            return StoreComparison.UNREACHABLE
        offer = keeper.offer_edits(edits)
        if offer is OfferResult.GAP:
            return await self._load()
        return StoreComparison.DIVERGED if offer is OfferResult.DIVERGED else StoreComparison.NEWER

    async def _load(self) -> StoreComparison:
        stored = await self.repository.read_all()
        if isinstance(stored, Unavailable):
            return StoreComparison.UNREACHABLE
        offer = self.keeper.offer_copy(TableCopy(stored.table, stored.head.lineage, stored.edits))
        return StoreComparison.DIVERGED if offer is OfferResult.DIVERGED else StoreComparison.NEWER

    async def _restore_missing_edits(self, head: Head) -> StoreComparison:
        """Write the edits that the store lacks after being restored from an older copy.

        These edits were accepted, so they must not revert. Nothing is written if the table in the
        store is not an earlier revision of the table in force, or if not all edits since are kept.
        """
        keeper = self.keeper
        known = keeper.history.edit_by_revision(head.revision)
        missing = keeper.history.edits_since(head.revision)
        lineage = known.lineage if known is not None else head.lineage
        log_event(
            _LOG,
            logging.ERROR,
            "store_is_older",
            store_revision=head.revision,
            in_force=keeper.revision,
        )
        if missing is None or lineage != head.lineage:
            return StoreComparison.DIVERGED
        return await self._write_edits(head, missing)

    async def _write_edits(self, head: Head, missing: tuple[AcceptedEdit, ...]) -> StoreComparison:
        writes = table_writes(self.keeper.table, missing)
        newest = missing[-1]
        put_head = Put(HEAD_KEY, head_value(newest))
        txn = Txn((Compare(HEAD_KEY, head.mod_revision),), (put_head, *writes))
        done = await self.store.transact(txn)
        if isinstance(done, Unavailable | Unknown):
            return StoreComparison.UNREACHABLE
        if isinstance(done, TxnDone) and done.succeeded:
            log_event(
                _LOG,
                logging.WARNING,
                "edits_written_again",
                revision=newest.revision,
                edits=len(missing),
            )
            return StoreComparison.SAME
        return StoreComparison.OLDER

    async def follow(self, stall_timeout_s: float) -> None:
        """Watch the store, and poll it once at the start and at each change of the head.

        Returns when the stream ends, when it sends nothing for `stall_timeout_s` (after polling
        the store once more), or when the store is unreachable or has diverged.
        """
        comparison = await self.poll()
        if comparison in (StoreComparison.UNREACHABLE, StoreComparison.DIVERGED):
            return
        head = await self.repository.read_head()
        if isinstance(head, Unavailable):
            return
        stream = self.store.watch(HEAD_KEY, Position(self.store.era, head.mod_revision))
        pending: asyncio.Future | None = None
        try:
            while True:
                pending = asyncio.ensure_future(anext(stream, None))
                done, _ = await asyncio.wait({pending}, timeout=stall_timeout_s)
                if not done:
                    await self.poll()
                    return
                if pending.result() is None:
                    return
                if await self.poll() in (StoreComparison.UNREACHABLE, StoreComparison.DIVERGED):
                    return
        finally:
            if pending is not None:
                pending.cancel()
                await asyncio.gather(pending, return_exceptions=True)
            await stream.aclose()
