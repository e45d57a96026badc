"""Follows the table in the store, for a whole hall: one daemon watches, others only look now and
then whether the watcher still does."""

import asyncio
import logging
from enum import StrEnum

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..store import Compare, Position, Put, Store, Txn, TxnDone
from ._history import AcceptedEdit
from ._keeper import Offer, TableCopy, TableKeeper
from ._repository import (
    HEAD_KEY,
    Head,
    TableRepository,
    head_value,
    table_writes,
)

__all__ = ["StoreSight", "TableWatcher"]

_LOG = logging.getLogger("ferrydock.table")


class StoreSight(StrEnum):
    """What the last look at the store showed."""

    SAME = "same"
    NEWER = "newer"
    OLDER = "older"
    DIVERGED = "diverged"
    AWAY = "away"


class TableWatcher:
    """Brings what the store holds into a `TableKeeper`.

    Parameters
    ----------
    repository : TableRepository
        Reads the store.
    keeper : TableKeeper
        Takes what is new.
    clock : Clock
        Dates the last answer of the store.

    Notes
    -----
    A watch stream can die without a sign. So the watcher also reads the head now and then, and
    so does, more seldom, the daemon that would take over.
    """

    __slots__ = ("answered_s", "clock", "keeper", "repository", "sight")

    def __init__(self, repository: TableRepository, keeper: TableKeeper, clock: Clock):
        self.repository = repository
        self.keeper = keeper
        self.clock = clock
        self.answered_s: float | None = None
        self.sight = StoreSight.AWAY

    @property
    def store(self) -> Store:
        """The platform's key-value service."""
        return self.repository.store

    async def look(self) -> StoreSight:
        """Read the head, and whatever is new behind it."""
        head = await self.repository.read_head()
        if isinstance(head, Unavailable):
            self.sight = StoreSight.AWAY
            return self.sight
        self.answered_s = self.clock.now_s()
        self.sight = await self._compare(head)
        return self.sight

    async def _compare(self, head: Head) -> StoreSight:
        keeper = self.keeper
        if not keeper.loaded:
            return await self._load()
        if head.revision == keeper.revision:
            if head.lineage == keeper.lineage:
                return StoreSight.SAME
            log_event(_LOG, logging.ERROR, "store_diverged", revision=head.revision)
            return StoreSight.DIVERGED
        if head.revision < keeper.revision:
            return await self._older(head)
        edits = await self.repository.read_edits(keeper.revision)
        if isinstance(edits, Unavailable):
            return StoreSight.AWAY
        offer = keeper.offer_edits(edits)
        if offer is Offer.GAP:
            return await self._load()
        return StoreSight.DIVERGED if offer is Offer.DIVERGED else StoreSight.NEWER

    async def _load(self) -> StoreSight:
        stored = await self.repository.read_all()
        if isinstance(stored, Unavailable):
            return StoreSight.AWAY
        offer = self.keeper.offer_copy(TableCopy(stored.table, stored.head.lineage, stored.edits))
        return StoreSight.DIVERGED if offer is Offer.DIVERGED else StoreSight.NEWER

    async def _older(self, head: Head) -> StoreSight:
        """Deal with a store that came back older than the table in force.

        If what it holds is the beginning of this daemon's own history, the missing edits are
        written again: they were accepted, so they must not revert. Otherwise nothing is done.
        """
        keeper = self.keeper
        known = keeper.history.at(head.revision)
        missing = keeper.history.since(head.revision)
        lineage = known.lineage if known is not None else head.lineage
        log_event(
            _LOG,
            logging.ERROR,
            "store_is_older",
            store_revision=head.revision,
            in_force=keeper.revision,
        )
        if missing is None or lineage != head.lineage:
            return StoreSight.DIVERGED
        return await self._write_again(head, missing)

    async def _write_again(self, head: Head, missing: tuple[AcceptedEdit, ...]) -> StoreSight:
        writes = table_writes(self.keeper.table, missing)
        newest = missing[-1]
        put_head = Put(HEAD_KEY, head_value(newest))
        txn = Txn((Compare(HEAD_KEY, head.mod_revision),), (put_head, *writes))
        done = await self.store.transact(txn)
        if isinstance(done, Unavailable | Unknown):
            return StoreSight.AWAY
        if isinstance(done, TxnDone) and done.succeeded:
            log_event(
                _LOG,
                logging.WARNING,
                "edits_written_again",
                revision=newest.revision,
                edits=len(missing),
            )
            return StoreSight.SAME
        return StoreSight.OLDER

    async def follow(self, stalled_s: float) -> None:
        """Watch the store until the stream ends, or until it has been silent for `stalled_s`
        while a look shows that it missed something."""
        sight = await self.look()
        if sight in (StoreSight.AWAY, StoreSight.DIVERGED):
            return
        head = await self.repository.read_head()
        if isinstance(head, Unavailable):
            return
        stream = self.store.watch(HEAD_KEY, Position(self.store.era, head.mod_revision))
        pending: asyncio.Future | None = None
        try:
            while True:
                pending = asyncio.ensure_future(anext(stream, None))
                done, _ = await asyncio.wait({pending}, timeout=stalled_s)
                if not done:
                    await self.look()
                    return
                if pending.result() is None:
                    return
                if await self.look() in (StoreSight.AWAY, StoreSight.DIVERGED):
                    return
        finally:
            if pending is not None:
                pending.cancel()
                await asyncio.gather(pending, return_exceptions=True)
            await stream.aclose()
