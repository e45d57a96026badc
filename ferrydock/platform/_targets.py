"""The platform's list of workers as a source of targets."""

import asyncio
import logging
from collections.abc import AsyncIterator, Mapping

import orjson

from ..logs import log_event
from ..outcomes import Unavailable
from ..store import prefix_end
from ..targets import Membership, ReplicaState, Target, TargetChanges
from ._store import HistoryGone, PlatformStore, Watched

__all__ = ["PlatformTargetSource", "parse_target"]

_LOG = logging.getLogger("ferrydock.platform")
_PREFIX = "servers/"
_DRAINING = "draining"


class PlatformTargetSource:
    """Follows ``servers/``: the whole list once, then its changes.

    Parameters
    ----------
    store : PlatformStore
        Where the list lies.
    gather_s : float
        Pause after each answer, so that changes which come together cost one call.
    """

    __slots__ = ("_store", "gather_s")

    def __init__(self, store: PlatformStore, gather_s: float):
        self._store = store
        self.gather_s = gather_s

    async def follow(self) -> AsyncIterator[TargetChanges | Unavailable]:
        revision = None
        while True:
            if revision is None:
                listed = await self._store.range(_PREFIX, prefix_end(_PREFIX))
                if isinstance(listed, Unavailable):
                    yield listed
                    continue
                revision = listed.revision
                entries = [_read(item.key, item.value) for item in listed.items]
                known = tuple(entry for entry in entries if entry)
                yield TargetChanges(True, known, (), revision)
            await asyncio.sleep(self.gather_s)
            news = await self._store.watch_once(_PREFIX, revision)
            if isinstance(news, Watched):
                revision = news.revision
                if news.changes:
                    yield _changes(news)
            elif isinstance(news, HistoryGone):
                revision = None
            else:
                yield news


def _changes(news: Watched) -> TargetChanges:
    entries: dict[str, Target] = {}
    removed: list[str] = []
    for key, value in news.changes:
        target_id = key[len(_PREFIX) :]
        if value is None:
            entries.pop(target_id, None)
            removed.append(target_id)
            continue
        target = _read(key, value)
        if target is not None:
            entries[target_id] = target
    return TargetChanges(False, tuple(entries.values()), tuple(removed), news.revision)


def _read(key: str, value: bytes) -> Target | None:
    try:
        return parse_target(key[len(_PREFIX) :], orjson.loads(value))
    except (KeyError, TypeError, ValueError) as error:
        log_event(_LOG, logging.WARNING, "target_unreadable", key=key, why=repr(error))
        return None


def parse_target(target_id: str, fields: Mapping) -> Target:
    """Return the target of an entry; raises KeyError, TypeError, ValueError."""
    return Target(
        target_id=target_id,
        service=fields["service"],
        address=fields["address"],
        hall=fields.get("zone", ""),
        slots=int(fields.get("slots", 1)),
        draining=fields.get("state") == _DRAINING,
        domain=str(fields.get("domain", "")),
        staged=tuple(_names(fields.get("staged"))),
        models=tuple(_names(fields.get("models"))),
        membership=parse_membership(fields.get("group")),
    )


def parse_membership(fields: Mapping | None) -> Membership | None:
    """Return a worker's place in a group, or None if it has none."""
    if not fields or not fields.get("name"):
        return None
    return Membership(
        replica=fields["name"],
        epoch=int(fields.get("epoch", 0)),
        rank=int(fields.get("rank", 0)),
        state=ReplicaState(fields["state"]),
    )


def _names(models) -> list[str]:
    return [model if isinstance(model, str) else model["name"] for model in models or ()]
