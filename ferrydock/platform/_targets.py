"""The platform's list of workers as a source of targets.

Owns the position up to which the list was followed, while it is followed. The platform says worker
and group where ferrydock says target and replica, and zone where it says hall.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Iterable, Mapping

import orjson

from ..logs import log_event
from ..outcomes import Unavailable
from ..store import Position, WatchBatch, prefix_end
from ..targets import Membership, ReplicaState, Target, TargetChanges
from ._decoding import assumed
from ._store import MAX_WATCH_MS, HistoryGone, PlatformStore

__all__ = ["PlatformTargetSource", "parse_membership", "parse_target"]

_LOG = logging.getLogger("ferrydock.platform")
_PREFIX = "servers/"
_DRAINING = "draining"

# What is assumed of a worker that does not say how many requests it takes at a time.
_ASSUMED_SLOTS = 1


class PlatformTargetSource:
    """Follows ``servers/``: the whole list once, then its changes.

    Parameters
    ----------
    store : PlatformStore
        Where the list lies.
    batch_window_s : float
        Pause after each answer, so that changes which come together cost one call.
    """

    __slots__ = ("_store", "batch_window_s")

    def __init__(self, store: PlatformStore, batch_window_s: float):
        self._store = store
        self.batch_window_s = batch_window_s

    async def follow(
        self, known_position: Position | None = None
    ) -> AsyncIterator[TargetChanges | Unavailable]:
        """Yield the whole list, then changes; read the list again where history was dropped.

        A daemon that lost its leader and knows the list up to a position asks only for what came
        after it, and not for an entry of each worker.
        """
        known = known_position
        found: TargetChanges | HistoryGone | Unavailable
        while True:
            if known is None:
                found = await self._whole_list()
            else:
                found = await self._changes_after(known, MAX_WATCH_MS)
            if isinstance(found, HistoryGone):
                known = None
                continue
            yield found
            if isinstance(found, TargetChanges):
                # After an answer and not before the first question: a daemon that has lost its
                # leader learns 0.4 s sooner what it has missed.
                known = found.position
                await asyncio.sleep(self.batch_window_s)

    async def changes_after(self, known: Position) -> TargetChanges | Unavailable:
        """Ask once for what changed after a position; the whole list if its history is gone."""
        found = await self._changes_after(known, 0)
        return await self._whole_list() if isinstance(found, HistoryGone) else found

    async def _whole_list(self) -> TargetChanges | Unavailable:
        listed = await self._store.range(_PREFIX, prefix_end(_PREFIX))
        if isinstance(listed, Unavailable):
            return listed
        entries = (_read(item.key, item.value) for item in listed.items)
        return TargetChanges(True, tuple(e for e in entries if e), (), listed.position)

    async def _changes_after(
        self, known: Position, wait_ms: int
    ) -> TargetChanges | HistoryGone | Unavailable:
        watched = await self._store.watch_once(_PREFIX, known, wait_ms)
        return _changes(watched) if isinstance(watched, WatchBatch) else watched


def _changes(watched: WatchBatch) -> TargetChanges:
    """Return the last change of each worker; one that was removed and is back counts as both."""
    entries: dict[str, Target] = {}
    removed: list[str] = []
    for key, value in watched.changes:
        target_id = key[len(_PREFIX) :]
        if value is None:
            entries.pop(target_id, None)
            removed.append(target_id)
            continue
        target = _read(key, value)
        if target is not None:
            entries[target_id] = target
    return TargetChanges(False, tuple(entries.values()), tuple(removed), watched.position)


def _read(key: str, value: bytes) -> Target | None:
    """Return the target of an entry; one that cannot be read is logged and left out."""
    try:
        return parse_target(key[len(_PREFIX) :], orjson.loads(value))
    except (KeyError, TypeError, ValueError) as error:
        log_event(_LOG, logging.WARNING, "target_unreadable", key=key, why=repr(error))
        return None


def parse_target(target_id: str, fields: Mapping) -> Target:
    """Return the target of an entry.

    ``state`` is the worker's own (ready or draining); the state of its group stands in ``group``.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a field is missing or of the wrong type.
    """
    return Target(
        target_id=target_id,
        service=fields["service"],
        address=fields["address"],
        hall=assumed("worker", fields, "zone", ""),
        slots=int(assumed("worker", fields, "slots", _ASSUMED_SLOTS)),
        draining=fields.get("state") == _DRAINING,
        domain=str(fields.get("domain", "")),
        staged=_names(fields.get("staged")),
        models=_names(fields.get("models")),
        membership=parse_membership(fields.get("group")),
        age_mark=_age_mark(fields),
    )


def _age_mark(fields: Mapping) -> tuple[int, int]:
    """Return a worker's start and the number of its entries since; 0 where it does not say."""
    return int(fields.get("born") or 0), int(fields.get("sequence") or 0)


def parse_membership(fields: Mapping | None) -> Membership | None:
    """Return a worker's place in a group, or None if it belongs to none."""
    if not fields or not fields.get("name"):
        return None
    return Membership(
        replica=fields["name"],
        epoch=int(fields.get("epoch", 0)),
        rank=int(fields.get("rank", 0)),
        state=ReplicaState(fields["state"]),
    )


def _names(models: Iterable | None) -> tuple[str, ...]:
    """Return names of models, which come as texts or as objects with more about each."""
    return tuple(model if isinstance(model, str) else model["name"] for model in models or ())
