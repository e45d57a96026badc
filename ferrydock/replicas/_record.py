"""A hall's placement record in the store: what was planned, and the epochs that follow from it.

The record itself lives in the store; this module owns only the position it was last written at. The
stored fields are read by other versions and by people: they keep their names.
"""

import logging
import uuid

import orjson

from ..hall_lease import placement_key
from ..invariants import existing
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..store import Compare, KeyValue, Position, Put, RangeDone, Store, Txn, TxnDone
from ._plan import Formation

__all__ = ["PlacementRecord"]

_LOG = logging.getLogger("ferrydock.replicas")


class PlacementRecord:
    """Writes plans on condition that no other daemon has written since.

    Parameters
    ----------
    store : Store
        Keeps the record.
    hall, holder : str
        Whose record; name of this daemon.

    Notes
    -----
    The rank of a write's position is the epoch of the replicas planned by it. Positions only rise,
    also over a return of the store to an older copy, so the orders of a controller that was
    replaced never outrank those of its successor, and no epoch comes twice.
    """

    __slots__ = ("_position", "hall", "holder", "store")

    def __init__(self, store: Store, hall: str, holder: str):
        self.store = store
        self.hall = hall
        self.holder = holder
        self._position: Position | None = None

    def forget(self) -> None:
        """Read the record anew before the next write."""
        self._position = None

    async def read(self) -> bool:
        """Find out where the record was written; return whether that is known."""
        if self._position is not None and self._position.era == self.store.era:
            return True
        found = await self.store.range(placement_key(self.hall))
        if not isinstance(found, RangeDone):
            log_event(_LOG, logging.INFO, "placement_unread", hall=self.hall, why=found.reason)
            return False
        self._position = _written_at(found.era, found.items[0] if found.items else None)
        return True

    async def write(self, plans: dict[str, Formation]) -> int | None:
        """Write plans by the names of their replicas.

        Returns
        -------
        int or None
            The rank of the write's position; None if it is certainly not in force (the reason is
            logged).
        """
        key = placement_key(self.hall)
        value = self._encode(plans)
        read = existing(self._position, "the position of the record that was read")
        txn = Txn((Compare(key, read.revision),), (Put(key, value),), (key,), read.era)
        done = await self.store.transact(txn)
        if isinstance(done, Unknown):
            done = await self._settle(key, value)
        if isinstance(done, Unavailable):
            log_event(_LOG, logging.INFO, "placement_unwritten", hall=self.hall, why=done.reason)
            return None
        if not done.succeeded:
            item = done.reads[0] if done.reads else None
            self._position = _written_at(done.era, item)
            log_event(_LOG, logging.WARNING, "placement_contested", hall=self.hall)
            return None
        self._position = done.position
        return done.position.rank()

    def _encode(self, plans: dict[str, Formation]) -> bytes:
        """Return the stored value; the nonce tells this write from any other."""
        rows = [
            {
                "name": name,
                "model": formation.model.name,
                "members": [member.target_id for member in formation.members],
            }
            for name, formation in plans.items()
        ]
        return orjson.dumps({"holder": self.holder, "nonce": uuid.uuid4().hex, "replicas": rows})

    async def _settle(self, key: str, value: bytes) -> TxnDone | Unavailable:
        """Find out whether a write whose answer was lost took effect."""
        found = await self.store.range(key)
        if not isinstance(found, RangeDone):
            self._position = None
            return Unavailable("the record could not be read back")
        item = found.items[0] if found.items else None
        if item is not None and item.value == value:
            return TxnDone(True, item.mod_revision, era=found.era)
        # It may still be done later, on its condition: the next write of ours makes it void.
        return TxnDone(False, found.revision, (item,), era=found.era)


def _written_at(era: int, item: KeyValue | None) -> Position:
    """Return where the record was written; revision 0 if it is not there."""
    return Position(era, item.mod_revision if item is not None else 0)
